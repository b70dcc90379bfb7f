"""Translates the platform's settings of a process into the product's."""

import json
from pathlib import Path

from monsoonlug.exceptions import BadRequest, InvalidFile, Problem
from monsoonlug.fleet_control import FleetControlSettings
from monsoonlug.fleet_entry import FleetEntrySettings
from monsoonlug.ids import FailureDomain, HostId
from monsoonlug.platform.fields import parse_seconds
from monsoonlug.settings import split_address

SETTINGS_VARIABLE = "MONSOONLUG_NODE_FILE"
READINESS_PATH = "/monsoonlug/readyz"
METRICS_PORT = 9464  # the port that ../../../deploy/system.toml names
FIRST_HEARTBEAT = "1s"  # assumed where the settings name none
NO_BOUND = "86400s"  # for a bound that is not in force


class NodeFile:
    """The settings file of one process.

    Args:
        path: Path of the file.

    Raises:
        InvalidFile: If the file cannot be read.
    """

    def __init__(self, path: Path):
        self._path = path
        self._problems: list[Problem] = []
        try:
            self._document = json.loads(path.read_text())
        except (OSError, ValueError) as error:
            raise InvalidFile(
                [Problem(file=str(path), path="$", value="", allowed=str(error))]
            ) from None

    def build_control(self) -> FleetControlSettings:
        """Returns the settings of a control replica.

        Raises:
            InvalidFile: With every invalid field.
        """
        settings = FleetControlSettings(
            stream=self._find_stream(),
            data_folder=Path(self._read("dataDir", str, "")) / "group",
            seeds=self.list_seeds(),
            can_bootstrap=self._read("bootstrap", bool, False),
            period=self._read_time("heartbeat", FIRST_HEARTBEAT),
            metrics=self._find_metrics(),
        )
        self._check()
        return settings

    def build_entry(self) -> FleetEntrySettings:
        """Returns the settings of an entry.

        Raises:
            InvalidFile: With every invalid field.
        """
        listen = self._read("listen", dict, {})
        bounds = self._list_bounds()
        is_strict = bounds.get("strictRevoke") == "true"
        settings = FleetEntrySettings(
            host=HostId(self._read("nodeName", str, "")),
            failure_domain=FailureDomain(self._read("zone", str, "")),
            listen=self._pick(listen, "front"),
            readiness=self._pick(listen, "readiness"),
            readiness_path=READINESS_PATH,
            stream=self._find_stream(),
            seeds=self.list_seeds(),
            revoke_bound=self._parse(
                "bounds", bounds.get("revoke", NO_BOUND) if is_strict else NO_BOUND
            ),
            grace=self._parse("bounds", bounds.get("grace", "6s")),
            metrics=self._find_metrics(),
        )
        self._check()
        return settings

    def find_interface(self) -> str:
        """Returns the address at which servers and operators call control.

        Raises:
            InvalidFile: If there is none.
        """
        address = self._pick(self._read("listen", dict, {}), "control")
        self._check()
        return address

    def list_seeds(self) -> tuple[str, ...]:
        """Returns the stream addresses of the seeds."""
        port = self._find_port()
        seeds = []
        for address in self._read("seeds", list, []):
            host, _ = split_address(str(address))
            seeds.append(f"{host}:{port}")
        return tuple(seeds)

    def _find_stream(self) -> str:
        return f"{self._read('ip', str, '')}:{self._find_port()}"

    def _find_metrics(self) -> str:
        return f"{self._read('ip', str, '')}:{METRICS_PORT}"

    def _find_port(self) -> int:
        # The range is the same on all machines of an installation.
        ports = self._read("internalPortRange", list, [0, 0])
        return ports[0] if ports and isinstance(ports[0], int) else 0

    def _list_bounds(self) -> dict[str, str]:
        bounds = {}
        for text in self._read("bounds", list, []):
            name, _, value = str(text).partition("=")
            bounds[name] = value
        return bounds

    def _read_time(self, name: str, default: str) -> float:
        return self._parse(name, self._document.get(name) or default)

    def _parse(self, name: str, text: str) -> float:
        try:
            return parse_seconds(text)
        except (BadRequest, TypeError):
            self._note(name, text, "a time such as 870ms")
            return 0.0

    def _pick(self, listen: dict, name: str) -> str:
        address = listen.get(name)
        if not isinstance(address, str):
            self._note(f"listen.{name}", address, "an address")
            return ""
        return address

    def _read(self, name: str, kind: type, default):
        value = self._document.get(name)
        if isinstance(value, kind):
            return value
        self._note(name, value, f"a value of the type {kind.__name__}")
        return default

    def _note(self, name: str, value: object, allowed: str) -> None:
        self._problems.append(
            Problem(
                file=str(self._path),
                path=f"$.{name}",
                value=json.dumps(value),
                allowed=allowed,
            )
        )

    def _check(self) -> None:
        if self._problems:
            raise InvalidFile(self._problems)
