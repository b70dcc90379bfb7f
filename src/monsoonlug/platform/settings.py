"""Reads the platform's settings file of a process."""

import json
import math
from pathlib import Path

from monsoonlug.exceptions import BadRequest, InvalidFile, Problem
from monsoonlug.fleet_control import FleetControlSettings
from monsoonlug.fleet_entry import FleetEntrySettings
from monsoonlug.host_limits import MEGABYTE, HostLimits
from monsoonlug.host_messages import MAX_CAPACITY
from monsoonlug.ids import FailureDomain, HostId
from monsoonlug.platform.fields import JSON_TYPE_NAMES, parse_seconds
from monsoonlug.rollout_decisions import RolloutLimits
from monsoonlug.settings import read_document, split_address

SETTINGS_VARIABLE = "MONSOONLUG_NODE_FILE"
READINESS_PATH = "/monsoonlug/readyz"
DEFAULT_EXPOSE_SLACK = "50"
DEFAULT_ROLLBACK = "5000ms"
METRICS_PORT = 9464  # as in deploy/system.toml
DEFAULT_HEARTBEAT_INTERVAL = "1s"
MAX_MEGABYTES = 1_048_576
MAX_CONNECTIONS = 1_048_576
DISABLED_BOUND = "86400s"  # in place of a bound that is not enforced


class NodeFile:
    """The settings file of one process.

    Args:
        path: Path of the file.

    Raises:
        InvalidFile: If the file cannot be read or is not JSON.
    """

    def __init__(self, path: Path):
        self._path = path
        self._problems: list[Problem] = []
        self._document = read_document(path)

    def build_control(self) -> FleetControlSettings:
        """Returns the settings of a control replica.

        Raises:
            InvalidFile: If fields are invalid; lists all of them.
        """
        settings = FleetControlSettings(
            stream=self._read_stream_address(),
            data_folder=Path(self._read_field("dataDir", str, "")) / "group",
            seeds=self.list_seeds(),
            may_bootstrap=self._read_field("bootstrap", bool, False),
            server_heartbeat_interval=self._read_seconds(
                "heartbeat", DEFAULT_HEARTBEAT_INTERVAL
            ),
            metrics_address=self._read_metrics_address(),
            rollouts=self._read_rollout_limits(),
            host_limits=self._read_host_limits(),
        )
        self._raise_problems()
        return settings

    def build_entry(self) -> FleetEntrySettings:
        """Returns the settings of an entry.

        Raises:
            InvalidFile: If fields are invalid; lists all of them.
        """
        listen = self._read_field("listen", dict, {})
        bounds = self._read_bounds()
        is_strict = bounds.get("strictRevoke") == "true"
        settings = FleetEntrySettings(
            host=HostId(self._read_field("nodeName", str, "")),
            failure_domain=FailureDomain(self._read_field("zone", str, "")),
            listen=self._read_address(listen, "front"),
            readiness=self._read_address(listen, "readiness"),
            readiness_path=READINESS_PATH,
            stream=self._read_stream_address(),
            seeds=self.list_seeds(),
            revocation_bound=self._parse_seconds(
                "bounds",
                bounds.get("revoke", DISABLED_BOUND) if is_strict else DISABLED_BOUND,
            ),
            grace_period=self._parse_seconds("bounds", bounds.get("grace", "6s")),
            metrics_address=self._read_metrics_address(),
            host_limits=self._read_host_limits(),
        )
        self._raise_problems()
        return settings

    def read_interface_address(self) -> str:
        """Returns the address on which control serves servers and operators.

        Raises:
            InvalidFile: If the address is missing.
        """
        address = self._read_address(self._read_field("listen", dict, {}), "control")
        self._raise_problems()
        return address

    def list_seeds(self) -> tuple[str, ...]:
        """Returns the stream addresses of the seeds.

        The file lists other addresses of these machines; their streams are at the same
        port as the streams of this one.
        """
        port = self._read_stream_port()
        seeds = []
        for address in self._read_field("seeds", list, []):
            host, _ = split_address(str(address))
            seeds.append(f"{host}:{port}")
        return tuple(seeds)

    def _read_stream_address(self) -> str:
        return f"{self._read_field('ip', str, '')}:{self._read_stream_port()}"

    def _read_metrics_address(self) -> str:
        return f"{self._read_field('ip', str, '')}:{METRICS_PORT}"

    def _read_host_limits(self) -> HostLimits:
        """Returns the limits of the host, and settings that replace derived values."""
        memory = self._read_count("limits", "memoryMb", MAX_MEGABYTES)
        budget = self._read_count("clientLimits", "memoryMb", MAX_MEGABYTES)
        return HostLimits(
            memory_bytes=None if memory is None else memory * MEGABYTE,
            descriptors=self._read_count("limits", "maxFds", MAX_CONNECTIONS),
            budget_bytes=None if budget is None else budget * MEGABYTE,
            client_connections=self._read_count(
                "clientLimits", "connections", MAX_CONNECTIONS
            ),
            link_mbps=self._read_rate("linkMbps"),
            cores=self._read_cores(),
        )

    def _read_cores(self) -> float | None:
        """Returns the processor time in cores, or None for no limit.

        A host has `cpuShare` of a core that is `cpuCores` times as fast as one core.
        """
        share, speed = self._read_rate("cpuShare"), self._read_rate("cpuCores")
        if share is None and speed is None:
            return None
        return (share or 1.0) * (speed or 1.0)

    def _read_rate(self, name: str) -> float | None:
        """Returns a number of the optional group `limits`, or None for no limit."""
        fields = self._document.get("limits")
        value = fields.get(name) if isinstance(fields, dict) else None
        if value is None:
            return None
        if type(value) not in (int, float) or not 0 <= value <= MAX_CAPACITY:
            self._add_problem(f"limits.{name}", value, "a number, 0 for no limit")
            return None
        return float(value) or None

    def _read_count(self, group: str, name: str, maximum: int) -> int | None:
        """Returns a positive number of an optional group, or None if it is absent."""
        fields = self._document.get(group)
        if fields is None:
            return None
        if not isinstance(fields, dict):
            self._add_problem(group, "(a value)", "a value of the type object")
            return None
        value = fields.get(name)
        if value is None:
            return None
        if type(value) not in (int, float) or not 1 <= value <= maximum:
            self._add_problem(f"{group}.{name}", value, f"a number from 1 to {maximum}")
            return None
        return int(value)

    def _read_stream_port(self) -> int:
        # The range is the same on all machines of an installation.
        ports = self._read_field("internalPortRange", list, [0, 0])
        return ports[0] if ports and isinstance(ports[0], int) else 0

    def _read_bounds(self) -> dict[str, str]:
        bounds = {}
        for text in self._read_field("bounds", list, []):
            name, _, value = str(text).partition("=")
            bounds[name] = value
        return bounds

    def _read_rollout_limits(self) -> RolloutLimits | None:
        # Control reads the bounds for rollouts only; earlier settings may lack them.
        if not isinstance(self._document.get("bounds"), list):
            return None
        bounds = self._read_bounds()
        if "exposeShare" not in bounds:
            return None
        slack = bounds.get("exposeSlack", DEFAULT_EXPOSE_SLACK)
        rollback = bounds.get("rollback", DEFAULT_ROLLBACK)
        return RolloutLimits(
            expose_share=self._parse_number(bounds["exposeShare"], maximum=1.0),
            expose_slack=self._parse_number(slack),
            rollback=self._parse_seconds("bounds", rollback),
        )

    def _parse_number(self, text: str, *, maximum: float = math.inf) -> float:
        try:
            number = float(text)
        except ValueError:
            number = math.nan
        if math.isfinite(number) and 0 <= number <= maximum:
            return number
        self._add_problem("bounds", text, f"a number from 0 to {maximum}")
        return 0.0

    def _read_seconds(self, name: str, default: str) -> float:
        return self._parse_seconds(name, self._document.get(name) or default)

    def _parse_seconds(self, name: str, text: str) -> float:
        try:
            return parse_seconds(text)
        except (BadRequest, TypeError):
            self._add_problem(name, text, "a time with a unit, such as 870ms or 2.5s")
            return 0.0

    def _read_address(self, listen: dict, name: str) -> str:
        address = listen.get(name)
        if not isinstance(address, str):
            self._add_problem(
                f"listen.{name}", address, "an address such as 10.0.0.1:8080"
            )
            return ""
        return address

    def _read_field(self, name: str, value_type: type, default):
        value = self._document.get(name)
        if isinstance(value, value_type):
            return value
        self._add_problem(
            name, value, f"a value of the type {JSON_TYPE_NAMES[value_type]}"
        )
        return default

    def _add_problem(self, name: str, value: object, allowed: str) -> None:
        self._problems.append(
            Problem(
                file=str(self._path),
                path=f"$.{name}",
                value=json.dumps(value),
                allowed=allowed,
            )
        )

    def _raise_problems(self) -> None:
        if self._problems:
            raise InvalidFile(self._problems)
