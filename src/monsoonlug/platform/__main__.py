"""Starts a daemon on the platform: `python -m monsoonlug.platform entry|control`."""

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path

from cyclopts import App

from monsoonlug.daemons import DaemonWorker
from monsoonlug.exceptions import InvalidFile
from monsoonlug.fleet_control import FleetControlService
from monsoonlug.fleet_entry import FleetEntryService
from monsoonlug.logs import configure_bounded_logs, get_logger
from monsoonlug.platform.headers import PlatformCallers, open_backend
from monsoonlug.platform.interface import ControlInterface
from monsoonlug.platform.settings import SETTINGS_VARIABLE, NodeFile

EXIT_INVALID = 2
RELOAD_INTERVAL = 1.0  # seconds; the settings may change without a signal

app = App(name="monsoonlug.platform", help="Daemons on the platform.")
logger = get_logger("platform")


class PlatformControl(FleetControlService):
    """A control replica with the platform's calls in front."""

    def __init__(self, *, path: Path):
        file = NodeFile(path)
        super().__init__(settings=file.build_control())
        self._path = path
        self._interface = ControlInterface(control=self, address=file.find_interface())

    async def on_start(self) -> None:
        """Starts the replica and its interface."""
        await super().on_start()
        self._calls = await self._interface.start()
        self._spawn(follow_settings(self._path, self))

    async def on_stop(self) -> None:
        """Stops the interface and the replica."""
        await self._calls.cleanup()
        await super().on_stop()


class PlatformEntry(FleetEntryService):
    """An entry for the platform's callers and servers."""

    def __init__(self, *, path: Path):
        super().__init__(
            settings=NodeFile(path).build_entry(),
            caller_protocol=PlatformCallers(),
            open_backend=open_backend,
        )
        self._path = path

    async def on_start(self) -> None:
        """Starts the entry."""
        await super().on_start()
        self._spawn(follow_settings(self._path, self))


async def follow_settings(
    path: Path, service: FleetControlService | FleetEntryService
) -> None:
    """Reads the settings again after a signal, and when their file has changed."""
    changed = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, changed.set)
    seen = path.read_bytes()
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(changed.wait(), RELOAD_INTERVAL)
        changed.clear()
        try:
            found = path.read_bytes()
            if found == seen:
                continue
            seeds = NodeFile(path).list_seeds()
        except (OSError, InvalidFile) as error:
            logger.warning("Settings are not read again: {}.", error)
            continue
        seen = found
        service.set_seeds(seeds)
        logger.info("Settings were read again; seeds are {}.", ", ".join(seeds))


@app.command
def control():
    """Runs a control replica until SIGTERM."""
    run(PlatformControl)


@app.command
def entry():
    """Runs an entry until SIGTERM."""
    run(PlatformEntry)


def run(service: type[PlatformControl] | type[PlatformEntry]) -> None:
    """Runs a daemon with the settings that the environment names."""
    configure_bounded_logs(log_level="INFO")
    try:
        daemon = service(path=Path(os.environ.get(SETTINGS_VARIABLE, "node.json")))
    except InvalidFile as error:
        logger.critical("Cannot start: {}.", error)
        sys.exit(EXIT_INVALID)
    sys.exit(DaemonWorker(daemon).run())


if __name__ == "__main__":
    app()
