"""Starts a daemon on the platform: `python -m monsoonlug.platform entry|control`."""

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from monsoonlug.daemons import DaemonWorker
from monsoonlug.exceptions import InvalidFile
from monsoonlug.fleet_control import FleetControlService
from monsoonlug.fleet_entry import FleetEntryService
from monsoonlug.logs import configure_rate_limited_logs, get_logger
from monsoonlug.platform.headers import PlatformCallerProtocol, open_backend
from monsoonlug.platform.interface import ControlInterface
from monsoonlug.platform.settings import SETTINGS_VARIABLE, NodeFile

EXIT_INVALID_SETTINGS = 2
SETTINGS_POLL_INTERVAL = 1.0  # seconds; the file may change without a SIGHUP

AsJson = Annotated[bool, Parameter(name="--json", negative="", help="Print JSON.")]

app = App(name="monsoonlug.platform", help="Daemons on the platform.")
logger = get_logger("platform")


class PlatformControl(FleetControlService):
    """A control replica that serves the platform's HTTP calls.

    Args:
        path: Path of the settings file.
    """

    def __init__(self, *, path: Path):
        file = NodeFile(path)
        super().__init__(settings=file.build_control())
        self._path = path
        self._interface = ControlInterface(
            control=self, address=file.read_interface_address()
        )

    async def on_start(self) -> None:
        """Starts the replica and its HTTP interface."""
        await super().on_start()
        self._runner = await self._interface.start()
        self._spawn(watch_settings(self._path, self))

    async def on_stop(self) -> None:
        """Stops the HTTP interface and the replica."""
        await self._runner.cleanup()
        await super().on_stop()


class PlatformEntry(FleetEntryService):
    """An entry with the platform's headers.

    Args:
        path: Path of the settings file.
    """

    def __init__(self, *, path: Path):
        super().__init__(
            settings=NodeFile(path).build_entry(),
            caller_protocol=PlatformCallerProtocol(),
            open_backend=open_backend,
        )
        self._path = path

    async def on_start(self) -> None:
        """Starts the entry."""
        await super().on_start()
        self._spawn(watch_settings(self._path, self))


async def watch_settings(
    path: Path, service: FleetControlService | FleetEntryService
) -> None:
    """Reloads the seeds on SIGHUP and when the settings file has changed."""
    changed = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, changed.set)
    applied = path.read_bytes()
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(changed.wait(), SETTINGS_POLL_INTERVAL)
        changed.clear()
        try:
            content = path.read_bytes()
            if content == applied:
                continue
            seeds = NodeFile(path).list_seeds()
        except (OSError, InvalidFile) as error:
            logger.warning("Settings were not reloaded: {}.", error)
            continue
        applied = content
        service.set_seeds(seeds)
        logger.info("Settings were reloaded; the seeds are {}.", ", ".join(seeds))


@app.command
def control():
    """Runs a control replica until SIGTERM."""
    run(PlatformControl)


@app.command
def entry():
    """Runs an entry until SIGTERM."""
    run(PlatformEntry)


@app.command
def check(file: Path, /, *, in_force: Path | None = None, json_: AsJson = False):
    """Checks a configuration before it is sent, and says what it would change.

    Example: python -m monsoonlug.platform check patch.json --in-force config.json

    Exit codes: 0 nothing was found, 1 warnings, 2 errors.

    Parameters
    ----------
    file
        Body of the call that changes the configuration.
    in_force
        Configuration in force, as the call that reads it answers.
    """
    from monsoonlug.platform.check import check_file

    sys.exit(check_file(file, in_force, as_json=json_))


def run(service: type[PlatformControl] | type[PlatformEntry]) -> None:
    """Runs a daemon with the settings file that the environment names."""
    configure_rate_limited_logs(log_level="INFO")
    try:
        daemon = service(path=Path(os.environ.get(SETTINGS_VARIABLE, "node.json")))
    except InvalidFile as error:
        logger.critical("Cannot start: {}.", error)
        sys.exit(EXIT_INVALID_SETTINGS)
    sys.exit(DaemonWorker(daemon).run())


if __name__ == "__main__":
    app()
