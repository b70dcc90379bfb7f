"""Extrapolates measured series to the deployment size expected in two years."""

from collections.abc import Mapping
from dataclasses import dataclass

from bench.series import Series

NODE_COUNT = 1_300
REGION_COUNT = 6
FAILURE_DOMAIN_COUNT = 13
REQUESTS_PER_SECOND = 4_400_000
CHANGES_PER_DAY = 2_600
HOST_RESTARTS_PER_DAY = 160
HOST_LOSSES_PER_DAY = 4
SECONDS_PER_DAY = 86_400
HEARTBEATS_PER_SECOND = 10  # per node

SERVER_COUNT = 3_000  # assumed; the target size does not state it
POOL_COUNT = 4  # assumed
OVERRIDE_COUNT = 1_024
ROUTE_COUNT = 100  # assumed
WORKSPACES_PER_NODE = 8  # assumed
STORED_ANSWERS = 10_000
# Per node; from `bench.quota` at load 0.80 and a one-way delay of 0.5 ms.
TOKEN_REQUESTS_PER_SECOND = 20.5

CORE_SHARE_LIMIT = 0.011  # of a core, for control at a node
MEMORY_LIMIT = 32_000_000  # bytes, for control at a node
BYTES_LIMIT = 5_000.0  # per second, for control at a node
MICROSECONDS_PER_SECOND = 1e6


@dataclass(frozen=True, slots=True, kw_only=True)
class Figure:
    """Extrapolated value at the target size, with its limit if one is specified."""

    name: str
    value: float
    unit: str
    limit: float | None = None

    @property
    def factor(self) -> float | None:
        """Value divided by limit, or None without a limit; at most 1 is within it."""
        return None if self.limit is None else self.value / self.limit


class TargetSize:
    """Calculates figures from the series and constants of one run.

    Args:
        series: Series by name; of two with the same name, that in bytes.
        constants: Result of `bench.slopes.measure_constants`.
    """

    def __init__(self, *, series: Mapping[str, Series], constants: Mapping):
        self._series = series
        self._constants = constants

    def list_figures(self) -> list[Figure]:
        """Returns all figures."""
        return [
            *self._list_bytes(),
            *self._list_memory(),
            *self._list_node_times(),
            *self._list_leader_times(),
            *self._list_requests(),
        ]

    def _extrapolate(self, name: str, size: float) -> float:
        return self._series[name].extrapolate(size)

    def count_restart_bytes(self) -> float:
        """Returns the bytes of deltas that one host's restart sends to one node."""
        gates = SERVER_COUNT / NODE_COUNT
        shards = 2 * 64 / NODE_COUNT
        sizes = {}
        for name in (
            "gate_release",
            "gate_appointment",
            "shard_assignment",
            "backup_confirmed",
            "host_registration",
        ):
            sizes[name] = self._extrapolate(f"delta.{name}", SERVER_COUNT)
        # Gates and shards leave the host, and others are assigned to it afterwards.
        moves = 2 * gates * (sizes["gate_release"] + sizes["gate_appointment"])
        moves += 2 * shards * (sizes["shard_assignment"] + sizes["backup_confirmed"])
        empty_loss = sizes["gate_release"]
        return moves + sizes["host_registration"] + empty_loss

    def count_view_bytes(self) -> float:
        """Returns the size of a complete view in bytes."""
        return self._sum_views("packed")

    def _sum_views(self, quantity: str) -> float:
        # Each series varies one size, so its growth over its smallest size is added.
        total = self._extrapolate(f"view_by_servers.{quantity}", SERVER_COUNT)
        for variable, size in (
            ("hosts", NODE_COUNT),
            ("overrides", OVERRIDE_COUNT),
            ("pools", POOL_COUNT),
        ):
            series = self._series[f"view_by_{variable}.{quantity}"]
            total += series.extrapolate(size) - series.points[0].value
        return total

    def _list_bytes(self) -> list[Figure]:
        heartbeat = self._extrapolate("heartbeat.request", WORKSPACES_PER_NODE)
        heartbeat += self._extrapolate("heartbeat.answer", WORKSPACES_PER_NODE)
        token_request = self._extrapolate("heartbeat.ask", WORKSPACES_PER_NODE)
        token_request += self._extrapolate("heartbeat.ask_answer", WORKSPACES_PER_NODE)
        hot = self._extrapolate("heartbeat.hot_rows", WORKSPACES_PER_NODE)
        small = (
            CHANGES_PER_DAY
            * self._extrapolate("delta.service_change", SERVER_COUNT)
            / SECONDS_PER_DAY
        )
        large = (
            CHANGES_PER_DAY
            * self._extrapolate("catalogue.delta", ROUTE_COUNT)
            / SECONDS_PER_DAY
        )
        restarts = (
            (HOST_RESTARTS_PER_DAY + HOST_LOSSES_PER_DAY)
            * self.count_restart_bytes()
            / SECONDS_PER_DAY
        )
        views = (
            (HOST_RESTARTS_PER_DAY + HOST_LOSSES_PER_DAY)
            / NODE_COUNT
            * self.count_view_bytes()
            / SECONDS_PER_DAY
        )
        total = (
            HEARTBEATS_PER_SECOND * heartbeat
            + hot
            + TOKEN_REQUESTS_PER_SECOND * token_request
            + large
            + restarts
            + views
        )
        idle = self._extrapolate("heartbeat.request", 0) + self._extrapolate(
            "heartbeat.answer", 0
        )
        rows = [
            ("heartbeats", HEARTBEATS_PER_SECOND * heartbeat),
            ("heartbeats without tokens", HEARTBEATS_PER_SECOND * idle),
            ("hot rows", hot),
            ("token asks", TOKEN_REQUESTS_PER_SECOND * token_request),
            ("changes, all small", small),
            ("changes, all of the catalogue", large),
            ("restarts and losses", restarts),
            ("views after restarts", views),
        ]
        figures = _make_figures("node", [(*row, "bytes/s", None) for row in rows])
        figures += _make_figures("node", [("all", total, "bytes/s", BYTES_LIMIT)])
        view = self.count_view_bytes()
        return figures + _make_figures("view", [("whole", view, "bytes", None)])

    def _list_memory(self) -> list[Figure]:
        imports = self._constants["imports_bytes"]
        libraries = imports["all_libraries"]
        state = self._sum_views("memory")
        answers = self._extrapolate("log.state_memory", STORED_ANSWERS)
        entry = self._series["idle_entry.memory"].points[0].value + state
        control = self._series["control.leader_memory"].points[0].value
        control += state + answers
        follower = self._series["control.follower_memory"].points[0].value
        rows = [
            ("interpreter", imports["interpreter"]),
            ("interpreter and libraries", libraries),
            ("view", state),
            ("entry, whole process", entry),
            ("entry, without interpreter and libraries", entry - libraries),
            ("leader, whole process", control),
            ("leader, without interpreter and libraries", control - libraries),
            ("follower, whole process", follower + state + answers),
        ]
        return [
            Figure(
                name=f"memory: {name}", value=value, unit="bytes", limit=MEMORY_LIMIT
            )
            for name, value in rows
        ]

    def _list_node_times(self) -> list[Figure]:
        gates = SERVER_COUNT / NODE_COUNT
        idle = self._extrapolate("idle_entry.core", gates)
        changes = (
            CHANGES_PER_DAY
            * self._extrapolate("catalogue.apply", ROUTE_COUNT)
            / SECONDS_PER_DAY
            / MICROSECONDS_PER_SECOND
        )
        return [
            Figure(
                name="node: core while no requests run",
                value=idle + changes,
                unit="share",
                limit=CORE_SHARE_LIMIT,
            ),
            Figure(name="node: catalogue changes", value=changes, unit="share"),
        ]

    def _list_leader_times(self) -> list[Figure]:
        figures = []
        for name, hosts, servers in (
            ("all", NODE_COUNT, SERVER_COUNT),
            ("region", NODE_COUNT // REGION_COUNT, SERVER_COUNT // REGION_COUNT),
        ):
            figures += self._list_leader(name, hosts, servers)
        return figures

    def _list_leader(self, name: str, hosts: int, servers: int) -> list[Figure]:
        by_hosts = self._series["tick_by_hosts.balance"]
        by_servers = self._series["tick_by_servers.balance"]
        balance = by_hosts.slope * hosts + by_servers.extrapolate(servers)
        balance /= MICROSECONDS_PER_SECOND
        core = self._series["control.leader_core"]
        token_requests = (
            TOKEN_REQUESTS_PER_SECOND
            * hosts
            * self._extrapolate("tokens.ask", hosts)
            / MICROSECONDS_PER_SECOND
        )
        ticks = (
            40
            * self._extrapolate("tick_by_hosts.idle", hosts)
            / MICROSECONDS_PER_SECOND
        )
        push = (
            hosts
            * self._extrapolate("catalogue.push", ROUTE_COUNT)
            / MICROSECONDS_PER_SECOND
        )
        rows = [
            ("core for heartbeats", core.intercept + core.slope * hosts, "share", 1),
            ("core for token asks", token_requests, "share", 1),
            ("core for idle ticks", ticks, "share", None),
            ("one tick that balances gates", balance, "s", 0.150),
            ("encoding a catalogue change", push, "s", None),
            (
                "bytes of a catalogue change",
                hosts * self._extrapolate("catalogue.delta", ROUTE_COUNT),
                "bytes",
                None,
            ),
        ]
        return [
            Figure(
                name=f"leader of {name}: {label}", value=value, unit=unit, limit=limit
            )
            for label, value, unit, limit in rows
        ]

    def _list_requests(self) -> list[Figure]:
        path = self._constants["path_us"]
        both = (path["front"] + path["gate"]) / MICROSECONDS_PER_SECOND
        cores = REQUESTS_PER_SECOND / NODE_COUNT * both
        rows = [
            (
                "per core as front",
                MICROSECONDS_PER_SECOND / path["front"],
                "per second",
                None,
            ),
            (
                "per core as gate",
                MICROSECONDS_PER_SECOND / path["gate"],
                "per second",
                None,
            ),
            ("per core as both", 1 / both, "per second", None),
            ("cores at each node", cores, "cores", 1),
        ]
        return _make_figures("requests", rows)


def _make_figures(prefix: str, rows: list[tuple]) -> list[Figure]:
    figures = []
    for name, value, unit, limit in rows:
        label = f"{prefix}: {name}"
        figures.append(Figure(name=label, value=value, unit=unit, limit=limit))
    return figures
