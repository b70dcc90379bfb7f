"""Serves this host's gates: queues requests and sends them to backend servers.

The host of a gate is chosen by rendezvous hashing among the live entries, so all
entries with the same list of live hosts agree on it without coordination. A gate only
limits load; the servers themselves check the ownership of keys. If two hosts serve the
gate of a server at the same time, their combined load still fits the server's queue.
"""

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from functools import partial
from random import Random

import xxhash

from monsoonlug.backend import BackendProtocol, ConnectResult, Contact
from monsoonlug.cold_starts import ColdPace, ColdStarts
from monsoonlug.dispatch import SHUTDOWN_RETRY_AFTER
from monsoonlug.exceptions import (
    BackendFenced,
    BackendRefused,
    ConnectFailed,
    ConnectionLost,
    DeadlineExceeded,
    HostIsolated,
    InternalError,
    MonsoonlugError,
    NotGate,
    OutcomeUnknown,
    Overloaded,
    ProcessGone,
    Refusal,
    ServerCrashed,
    ServerUnreachable,
    ShuttingDown,
    StreamClosed,
)
from monsoonlug.exchanges import Peer
from monsoonlug.fairness import QueuedRequest
from monsoonlug.fleet import FleetView
from monsoonlug.fleet_messages import FleetServer, GateReport
from monsoonlug.gate import Outcome
from monsoonlug.host_limits import DEFAULT_BUDGET_BYTES
from monsoonlug.ids import (
    FailureDomain,
    HostId,
    PoolId,
    RequestClass,
    RequestId,
    ServerId,
    Slice,
)
from monsoonlug.items import ItemKind, PoolItem, is_rate
from monsoonlug.jobs import POOLED, Job, JobTable
from monsoonlug.link_share import LinkShare
from monsoonlug.logs import get_logger
from monsoonlug.memory_budget import MemoryBudget
from monsoonlug.messages import RequestHead
from monsoonlug.reachability import ReachabilityMonitor
from monsoonlug.request_limits import RequestLimits
from monsoonlug.request_origins import UNKNOWN_HOST, RequestOrigins
from monsoonlug.response_relays import LargeResponses
from monsoonlug.response_room import ROOM_RETRY_AFTER, RoomRequest, find_latest
from monsoonlug.response_sizes import ResponseSizes
from monsoonlug.rollout_messages import RolloutState
from monsoonlug.server_choice import ServerChoice
from monsoonlug.server_speeds import ServiceTimeModel
from monsoonlug.serverqueue import (
    MIN_SILENCE,
    RECONNECT_DELAY,
    ServerQueue,
    build_rest_refusal,
)
from monsoonlug.slot_order import OverloadCounts
from monsoonlug.version_outcomes import (
    AttemptEnd,
    CountedRequest,
    VersionOutcomes,
)

# Servers of a pool without keys that share one gate. Responses of 5 KB from eight busy
# servers saturate the 2 Mbit/s link of a small host; those of three use half of it.
SERVERS_PER_GATE = 3
EQUAL_WEIGHT = 1.0  # of a host whose weight is not known
# In the name of a gate of a rollout's target version, before the version's digest.
VERSION_MARK = "~"
LEAVING_GRACE = 1.2  # seconds; no requests may arrive 2 s after a leave is acknowledged
DOMAIN_GRACE = 3.5  # seconds; no requests may arrive 5 s after a domain is taken out
POOL_SILENCE = 0.3  # seconds without a response of a pool that call for a check
MIN_OVERDUE_SERVERS = 2  # whose responses are overdue in that time
PROBE_COUNT = 3  # probes after which the speed of an idle server is known
STOP_TIMEOUT = 10.0  # seconds; longer than the shutdown of a host may take
FALLBACK_COLD_RATE = 1.0  # requests per second, if the configured rate is invalid
CHECK_RETRY_DELAY = 0.2  # seconds until a server that did not answer is asked again
# Seconds for which it counts as cold then; longer than until the next answer is due.
CHECK_SILENCE_TIME = 1.0
CHECK_ATTEMPTS = 5
# Shares of the rate of a cold server, by the rank of a host for its gate; others send
# it nothing. The sum is tolerated, as each host may take those before it for lost.
COLD_SHARES = (1.0, 0.5)

logger = get_logger("gate")


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class GateId:
    """Identifies a gate: of one keyed server, or of several servers of a pool.

    The servers of one gate are in the same failure domain.
    """

    pool: PoolId
    name: str
    failure_domain: FailureDomain

    def __hash__(self) -> int:
        # Names are unique. The hash of all fields takes three times as long.
        return hash(self.name)


@dataclass(frozen=True, slots=True, kw_only=True)
class LiveHost:
    """A host whose entry sends heartbeats to control.

    Attributes:
        weight: Capacity for gates, relative to those of the other hosts.
    """

    host: HostId
    failure_domain: FailureDomain
    stream: str
    weight: float = EQUAL_WEIGHT


def build_gate_id(record: FleetServer) -> GateId:
    """Returns the gate of a server of a keyed pool."""
    return GateId(
        pool=record.pool,
        name=str(record.server),
        failure_domain=record.failure_domain,
    )


class KnownGates:
    """Gates that were listed before, to build only those whose servers changed."""

    def __init__(self):
        self._keyed: dict[ServerId, tuple[FleetServer, GateId]] = {}
        self._groups: dict[tuple, tuple[list[FleetServer], dict]] = {}

    def find_keyed(self, record: FleetServer) -> GateId:
        """Returns the gate of a server of a keyed pool."""
        known = self._keyed.get(record.server)
        if known is not None and known[0] is record:
            return known[1]
        gate = build_gate_id(record)
        self._keyed[record.server] = (record, gate)
        return gate

    def find_group(
        self, location: tuple[PoolId, FailureDomain, str], records: list[FleetServer]
    ) -> dict[GateId, list[FleetServer]]:
        """Returns the gates of the servers at a location; see `_group_servers`."""
        known = self._groups.get(location)
        if known is not None and known[0] == records:
            return known[1]
        groups = _group_servers(*location, list(records))
        self._groups[location] = (records, groups)
        return groups

    def retain(
        self, view: FleetView, locations: Collection[tuple[PoolId, FailureDomain, str]]
    ) -> None:
        """Forgets servers and locations that do not exist any more."""
        for server in [name for name in self._keyed if name not in view.servers]:
            del self._keyed[server]
        for location in [item for item in self._groups if item not in locations]:
            del self._groups[location]


def list_gates(
    view: FleetView, known: KnownGates | None = None
) -> dict[GateId, list[FleetServer]]:
    """Returns all gates with their servers; the lists must not be changed.

    A leaving server of a keyed pool keeps its gate while it still owns keys. Servers of
    other pools that are out of service have no gate. Servers of the version that the
    latest rollout of such a pool moves requests to have gates of their own.

    Args:
        view: The view.
        known: Gates of the previous call, which is updated; None for none.
    """
    known = known or KnownGates()
    keyed = {item.name: item.keyed for item in view.items.iterate(ItemKind.POOL)}
    locations: dict[tuple[PoolId, FailureDomain, str], list[FleetServer]] = {}
    gates: dict[GateId, list[FleetServer]] = {}
    for record in view.servers.values():
        if record.pool not in keyed:
            continue
        if keyed[record.pool]:
            gates[known.find_keyed(record)] = [record]
        elif view.is_in_service(record):
            suffix = _find_suffix(view, record)
            location = (record.pool, record.failure_domain, suffix)
            locations.setdefault(location, []).append(record)
    for location, records in locations.items():
        gates.update(known.find_group(location, records))
    known.retain(view, locations)
    return gates


def _find_suffix(view: FleetView, record: FleetServer) -> str:
    """Returns the end of the name of a server's gate.

    The gates of a target version keep their names after the rollout has succeeded. The
    old servers stop at that moment, and an entry with the new view may send to a host
    with the previous one, which must not have old servers in a gate of that name.
    """
    rollout = view.rollouts.get(record.pool)
    if rollout is None or rollout.state is RolloutState.ROLLED_BACK:
        return ""
    if view.get_version(record) != rollout.version:
        return ""
    digest = xxhash.xxh32_hexdigest(rollout.version.encode())
    return f"{VERSION_MARK}{digest}"


def _group_servers(
    pool: PoolId, domain: FailureDomain, suffix: str, records: list[FleetServer]
) -> dict[GateId, list[FleetServer]]:
    """Divides the servers of a pool in a failure domain into gates of similar size.

    Without a suffix, the names are those of a pool without a rollout, so that the
    queues of the present servers outlive the start of one.

    Servers are ordered by hash, so adding or removing one moves at most one server of
    each gate to the next gate.
    """
    records.sort(key=lambda item: xxhash.xxh32_intdigest(item.server.encode()))
    count = -(-len(records) // SERVERS_PER_GATE)
    gates: dict[GateId, list[FleetServer]] = {}
    for position, record in enumerate(records):
        number = position * count // len(records)
        name = f"{pool}/{domain}/{number}{suffix}"
        gate = GateId(pool=pool, name=name, failure_domain=domain)
        gates.setdefault(gate, []).append(record)
    return gates


class ClosingTimes:
    """Times after which servers that are out of service get no more requests."""

    def __init__(self):
        self._times: dict[ServerId, float] = {}
        self._announced: dict[ServerId, tuple[int, float]] = {}

    def update(self, now: float, view: FleetView) -> None:
        """Updates the times for a changed view."""
        times = {}
        for record in view.servers.values():
            if view.is_in_service(record):
                continue
            grace = LEAVING_GRACE if record.draining else DOMAIN_GRACE
            known = self._times.get(record.server, math.inf)
            times[record.server] = min(known, now + grace)
        self._times = times
        for server, (born, _) in list(self._announced.items()):
            record = view.servers.get(server)
            if record is None or record.born != born:
                del self._announced[server]

    def record_leaving(self, now: float, server: ServerId, born: int) -> None:
        """Closes a server whose responses say that it shuts down.

        Args:
            now: Seconds of a monotonic clock.
            server: The server.
            born: Start time of its process, in Unix milliseconds.
        """
        known = self._announced.get(server)
        if known is None or known[0] != born:
            self._announced[server] = (born, now + LEAVING_GRACE)

    def find(self, server: ServerId) -> float:
        """Returns the time after which a server gets no requests, or infinity."""
        _, announced = self._announced.get(server, (0, math.inf))
        return min(self._times.get(server, math.inf), announced)


@dataclass(slots=True, kw_only=True)
class _Attempt:
    """A request that was sent to a server and has not ended.

    Attributes:
        started_at: When it was sent, in seconds of this host's clock.
        counted: How the rollout of its pool counts it; None without one.
        is_given_up: Whether it was cancelled because the server is unreachable.
        head_at: When the response head arrived, or None.
    """

    server: ServerId
    job: Job
    task: asyncio.Task
    started_at: float
    counted: CountedRequest | None = None
    is_given_up: bool = False
    head_at: float | None = None


class GateHost:
    """Serves the gates that the requests of any entry are addressed to.

    Args:
        clock: Monotonic clock, in seconds.
        open_backend: Returns the client of a server.
        closing_times: Closing times of servers out of service; updated by their owner.
        random: Source of the choice of servers to check.
        on_notice: Called when `list_server_notices` has a new row.
        outcomes: Counts the requests of pools with a running rollout.
        budget: Memory budget of the process.
        sizes: Response sizes of the routes.
        link: Shares the host's link, or None if it is not limited.
        on_send: Called when requests are sent to servers.
        is_informed: Returns whether this host has recent news from control.
        find_rank: Returns how many live hosts are preferred to this one for a gate.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        closing_times: ClosingTimes,
        open_backend: Callable[[FleetServer, PoolItem], BackendProtocol],
        random: Random | None = None,
        on_notice: Callable[[], None] = lambda: None,
        outcomes: VersionOutcomes | None = None,
        budget: MemoryBudget | None = None,
        sizes: ResponseSizes | None = None,
        link: LinkShare | None = None,
        on_send: Callable[[], None] = lambda: None,
        is_informed: Callable[[], bool] = lambda: True,
        find_rank: Callable[[GateId], int] = lambda gate: 0,
    ):
        self._on_notice = on_notice
        self._is_informed = is_informed
        self._find_rank = find_rank
        self._on_send = on_send
        self._outcomes = VersionOutcomes() if outcomes is None else outcomes
        self._budget = budget or MemoryBudget(limit=DEFAULT_BUDGET_BYTES)
        self._large_responses = LargeResponses(
            clock=clock,
            budget=self._budget,
            sizes=sizes or ResponseSizes(),
            on_room=self.process_queues,
            link=link,
        )
        self._clock = clock
        self._open_backend = open_backend
        self._view = FleetView()
        self._gates: dict[str, tuple[GateId, list[FleetServer]]] = {}
        self._queues: dict[str, ServerQueue] = {}
        self._models: dict[PoolId, ServiceTimeModel] = {}
        self.server_choice = ServerChoice()
        self._backends: dict[ServerId, tuple[FleetServer, BackendProtocol]] = {}
        self._cold_starts = ColdStarts()
        self._paces: dict[ServerId, ColdPace] = {}
        self._was_informed = True
        self._out_of_service: set[ServerId] = set()
        self._checks: dict[ServerId, asyncio.Task] = {}
        self._request_limits = RequestLimits()
        self._closing_times = closing_times
        self._jobs = JobTable(
            open_job=self._open_job,
            cancel_job=self._cancel_job,
            drop_job=self._drop_job,
            withdraw_job=self._withdraw_job,
        )
        self._running: dict[RequestId, _Attempt] = {}
        self._server_states: dict[ServerId, tuple[float, bool]] = {}
        self._reachability = ReachabilityMonitor(
            clock=clock,
            random=random or Random(),
            connect=self._try_connect,
            list_pools=self._list_pools,
            list_active=self._list_active_servers,
            on_unreachable=self._handle_unreachable,
            on_reachable=self._handle_reachable,
            on_change=self._schedule_report,
        )
        self._peers = RequestOrigins()
        self.overload_counts = OverloadCounts()
        self._is_report_due = False
        self._timer: asyncio.TimerHandle | None = None
        self._close_tasks: set[asyncio.Task] = set()

    @property
    def running(self) -> int:
        """Number of requests that were sent and have not ended."""
        return len(self._running)

    @property
    def limited_servers(self) -> int:
        """Number of servers that limit the requests that they accept."""
        return len(self._request_limits)

    @property
    def isolated_pools(self) -> int:
        """Number of pools of which this host reaches no server."""
        return len(self._reachability.isolated_pools)

    @property
    def unreachable_servers(self) -> int:
        """Number of servers that this host cannot connect to."""
        return len(self._reachability.unreachable)

    @property
    def resting_servers(self) -> int:
        """Number of servers that want no requests now."""
        now = self._clock()
        return sum(until > now for until, _ in self._server_states.values())

    @property
    def cold_servers(self) -> int:
        """Number of servers that are known to be cold."""
        return self._cold_starts.count(self._clock())

    @property
    def served_gates(self) -> int:
        """Number of gates that this host got requests for and still has."""
        return len(self._queues)

    @property
    def queued(self) -> int:
        """Number of waiting requests at all gates."""
        queued = sum(queue.queued for queue in self._queues.values())
        return queued + self._large_responses.room.waiting

    @property
    def large_responses(self) -> LargeResponses:
        """The large responses at the gates of this host."""
        return self._large_responses

    @property
    def is_busy(self) -> bool:
        """Whether requests are running, or responses are being passed on."""
        return bool(self._running or self._large_responses.tasks)

    @property
    def busiest_utilization(self) -> float:
        """Largest share of a server's slots in use, of servers with many slots."""
        return max(self._list_utilizations(), default=0.0)

    @property
    def mean_utilization(self) -> float:
        """Mean share of a server's slots in use, of servers with many slots."""
        shares = self._list_utilizations()
        return sum(shares) / len(shares) if shares else 0.0

    def _list_utilizations(self) -> list[float]:
        shares = []
        for queue in self._queues.values():
            if queue.is_spread:
                shares.extend(queue.list_utilizations())
        return shares

    def update(self, view: FleetView, gates: dict[GateId, list[FleetServer]]) -> None:
        """Applies a view with changed items or servers, and its gates."""
        self._view = view
        if self._outcomes.update(view):
            self._adopt_running()
        self._gates = {gate.name: (gate, servers) for gate, servers in gates.items()}
        self._doubt_returned()
        for name in list(self._queues):
            self._sync_servers(name)
        for server, (record, backend) in list(self._backends.items()):
            existing = view.servers.get(server)
            if existing is not None and existing.born == record.born:
                continue
            del self._backends[server]
            if self._server_states.pop(server, None) is not None:
                for queue in self._queues.values():
                    queue.set_rest(server, -math.inf)
            self._request_limits.remove(server)
            self._cold_starts.doubt(self._clock(), server)
            task = asyncio.create_task(self._close_backend(server, backend))
            self._close_tasks.add(task)
            task.add_done_callback(self._close_tasks.discard)
        self.process_queues()
        # Their waiting requests were refused above. Each version that a rollout moves
        # requests to adds gates with new names.
        for name in set(self._queues) - set(self._gates):
            del self._queues[name]

    def set_cold(self, server: ServerId, seconds: float) -> None:
        """Treats a server as cold for the given seconds from now on."""
        now = self._clock()
        if seconds > 0 and not self._is_cold(now, server):
            self._log_cold_start(now, server, seconds)
        self._cold_starts.announce(now, server, seconds)
        self._apply_cold_start(now, server)
        self.process_queues()

    def _apply_cold_start(self, now: float, server: ServerId) -> None:
        left = self._cold_starts.find_end(server) - now
        for queue in self._queues.values():
            queue.set_cold(now, server, max(0.0, left))

    def _doubt_returned(self) -> None:
        """Doubts servers that are back in service, as they may be cold since."""
        now = self._clock()
        view = self._view
        out = set()
        for record in view.servers.values():
            if not view.is_in_service(record):
                out.add(record.server)
        for server in self._out_of_service - out:
            self._cold_starts.doubt(now, server)
        self._out_of_service = out
        self._cold_starts.retain(now, view.servers)
        for server in [name for name in self._paces if name not in view.servers]:
            del self._paces[server]

    def list_server_loads(self) -> list[list]:
        """Returns the reports on servers of this host as rows of `FleetHeartbeat`."""
        now = self._clock()
        rows = []
        for queue in self._queues.values():
            for report in queue.iterate_reports(now):
                rows.append(
                    [
                        report.server,
                        round(report.slowdown, 2),
                        round(report.base_latency, 4),
                        round(report.utilization, 2),
                    ]
                )
        return rows

    def apply_request_limit(self, server: ServerId, limit: float, senders: int) -> None:
        """Applies the request limit of a server that control reports; 0 lifts it."""
        if self._request_limits.apply_notice(server, limit, senders):
            _log_request_limit(server, limit, "control")
        self.process_queues()

    def list_request_limits(self) -> list[list]:
        """Returns the request limits in responses as rows of `FleetHeartbeat`."""
        rows = []
        for report in self._request_limits.list_reports(self._clock()):
            rows.append([report.server, report.limit, round(report.age, 3)])
        return rows

    def record_leaving(self, server: ServerId, born: int) -> None:
        """Stops sending to a server that shuts down, after a grace period."""
        self._closing_times.record_leaving(self._clock(), server, born)
        for queue in self._queues.values():
            queue.close_server(server, self._closing_times.find(server))

    def list_server_notices(self) -> list[list]:
        """Returns what servers say of themselves as rows of `FleetHeartbeat`."""
        now = self._clock()
        rows = []
        for server, (resting_until, is_leaving) in self._server_states.items():
            rest = max(0.0, resting_until - now)
            if rest <= 0 and not is_leaving:
                continue
            record, _ = self._backends[server]
            rows.append([server, record.born, round(rest, 3), int(is_leaving)])
        return rows

    async def probe_servers(self, is_own: Callable[[GateId], bool]) -> None:
        """Asks servers whose speed is not known yet how slow their machines are.

        The first keys can then be assigned by speed, before there are any requests.

        Args:
            is_own: Whether this host serves a gate.
        """
        self._update_news(self._clock())
        probes = []
        for gate, servers in list(self._gates.values()):
            if not is_own(gate):
                continue
            for record in servers:
                queue = self._get_queue(gate.name)
                if queue.needs_probe(self._clock(), record.server, PROBE_COUNT):
                    probes.append(self._probe_server(queue, record))
        await asyncio.gather(*probes)

    async def _probe_server(self, queue: ServerQueue, record: FleetServer) -> None:
        pool = self._view.items.find(ItemKind.POOL, record.pool)
        if pool is None or not pool.health_path:
            return
        backend = self._get_backend(record.server)
        try:
            slowdown = await backend.probe(pool.health_path)
        except MonsoonlugError as error:
            logger.debug("Probe of server {} failed: {}.", record.server, error)
            return
        if slowdown is not None:
            queue.record_probe(self._clock(), record.server, slowdown)
        self._apply_server_state(record.server, backend)
        self._apply_health(record.server, backend)

    # Cold starts.

    def record_losses(self, servers: Iterable[ServerId]) -> None:
        """Records that another host cannot reach some servers, or could not until now.

        A server that this host is in contact with has not ended.
        """
        now = self._clock()
        for server in servers:
            pool = self._find_pool(server)
            if pool is None or self._find_contact(server) is not None:
                continue
            self._cold_starts.record_loss(now, server, pool.cold_seconds)
            self._apply_cold_start(now, server)

    def _record_end(self, server: ServerId) -> None:
        pool = self._find_pool(server)
        if pool is not None:
            now = self._clock()
            self._cold_starts.record_end(now, server, pool.cold_seconds)
            self._apply_cold_start(now, server)

    def _find_pool(self, server: ServerId) -> PoolItem | None:
        record = self._view.servers.get(server)
        if record is None:
            return None
        return self._view.items.find(ItemKind.POOL, record.pool)

    def _find_contact(self, server: ServerId) -> Contact | None:
        existing = self._backends.get(server)
        return None if existing is None else existing[1].find_contact()

    def _update_news(self, now: float) -> bool:
        """Returns whether there is recent news from control."""
        is_informed = self._is_informed()
        if is_informed and not self._was_informed:
            # Notices may have been missed.
            self._cold_starts.doubt_all(now)
        self._was_informed = is_informed
        return is_informed

    def _apply_health(self, server: ServerId, backend: BackendProtocol) -> None:
        """Acts on what a server said about its cold start."""
        if backend.health is None:
            return
        now = self._clock()
        left = backend.health.cold_until - now
        if left > 0 and not self._is_cold(now, server):
            self._log_cold_start(now, server, left)
        self._cold_starts.record_report(server, backend.health)
        self._apply_cold_start(now, server)

    def _update_confirmations(self, now: float, name: str, queue: ServerQueue) -> None:
        """Informs a queue which of its servers are certain to be warm."""
        known = self._gates.get(name)
        if known is None:
            return
        gate, records = known
        pool = self._view.items.find(ItemKind.POOL, gate.pool)
        if pool is None or not pool.health_path or _get_cold_rate(pool) <= 0:
            return
        is_informed = self._update_news(now)
        for record in records:
            server = record.server
            is_confirmed = self._cold_starts.is_confirmed(
                now,
                server,
                contact=self._find_contact(server),
                warm_up=pool.cold_seconds,
                is_informed=is_informed,
            )
            share = 1.0
            if not is_confirmed or self._is_cold(now, server):
                rank = self._find_rank(gate)
                share = COLD_SHARES[rank] if rank < len(COLD_SHARES) else 0.0
            queue.set_cold_share(server, share)
            queue.set_confirmed(now, server, is_confirmed)

    def _check_held_up(self, now: float, queue: ServerQueue) -> None:
        """Asks servers whether they are cold if requests wait only for that."""
        for server in queue.list_held_up(now):
            if server in self._checks:
                continue
            pool = self._find_pool(server)
            if pool is None:
                continue
            task = asyncio.create_task(self._check_cold_start(server, pool))
            self._checks[server] = task
            task.add_done_callback(lambda _, server=server: self._end_check(server))

    async def _check_cold_start(self, server: ServerId, pool: PoolItem) -> None:
        for _ in range(CHECK_ATTEMPTS):
            if await self._ask_server(server, pool):
                return
            # Requests that this would make late are refused now.
            now = self._clock()
            self._cold_starts.record_silence(now, server, CHECK_SILENCE_TIME)
            self._apply_cold_start(now, server)
            self.process_queues()
            await asyncio.sleep(CHECK_RETRY_DELAY)

    async def _ask_server(self, server: ServerId, pool: PoolItem) -> bool:
        """Asks a server for its cold start; returns whether it told."""
        asked_at = self._clock()
        try:
            backend = self._get_backend(server)
            await backend.probe(pool.health_path)
        except MonsoonlugError as error:
            logger.debug("Server {} does not say if it is cold: {}.", server, error)
            return False
        self._apply_server_state(server, backend)
        self._apply_health(server, backend)
        if backend.health is not None and backend.health.asked_at >= asked_at:
            return True
        logger.debug("Server {} does not say if it is cold.", server)
        return False

    def _end_check(self, server: ServerId) -> None:
        del self._checks[server]
        self.process_queues()

    # Handlers of request streams.

    def update_hosts(self, hosts: Iterable[LiveHost]) -> None:
        """Sets the hosts that may send requests."""
        self._peers.update((item.host, item.failure_domain) for item in hosts)

    def add_peer(self, peer: Peer, host: HostId = UNKNOWN_HOST) -> None:
        """Reports the reachability of servers to a peer of a host from now on."""
        self._peers.add(peer, host)
        report = self._build_report()
        if report.isolated_pools or report.unreachable or report.leaving:
            _send_to_peer(peer, report)

    def receive(self, peer: Peer, message: object) -> None:
        """Handles a frame of a request stream; see `JobTable`."""
        self._jobs.receive(peer, message)

    def remove_peer(self, peer: Peer) -> None:
        """Cancels the requests of a peer whose connection was lost."""
        self._peers.remove(peer)
        self._jobs.remove_peer(peer)

    async def stop(self) -> None:
        """Waits for the running requests, then closes the connections to servers."""
        self._reachability.stop()
        for task in self._checks.values():
            task.cancel()
        tasks = [attempt.task for attempt in self._running.values()]
        tasks += self._large_responses.tasks
        if tasks:
            await asyncio.wait(tasks, timeout=STOP_TIMEOUT)
        for _, backend in self._backends.values():
            await backend.close()

    def process_queues(self) -> None:
        """Sends requests that are due, refuses late ones and schedules the next run."""
        now = self._clock()
        wake = self._admit_large(now)
        for name, queue in self._queues.items():
            if queue.is_idle:
                continue
            self._update_confirmations(now, name, queue)
            for request, server in queue.dequeue(now):
                task = asyncio.create_task(self._run(queue, request, server))
                self._running[request.request_id] = _Attempt(
                    server=server,
                    job=request.payload,
                    task=task,
                    started_at=now,
                    counted=self._outcomes.record_start(
                        PoolId(request.payload.head.pool),
                        server,
                        request.route,
                        is_cold=self._is_cold(now, server),
                    ),
                )
            for request, refusal in queue.expire(now):
                request.payload.fail(refusal.build_error())
            self._check_held_up(now, queue)
            found = queue.find_wake_time(now)
            if found is not None:
                wake = found if wake is None else min(wake, found)
        if self.overload_counts.is_report_due(now):
            logger.info("Demand exceeds capacity: {}.", self.overload_counts)
        if self._running:
            self._on_send()
        self._schedule(now, wake)
        late = self.server_choice.find_late_share(now)
        if late is not None:
            logger.warning(
                "Chose servers on which requests are expected to miss their objectives:"
                " {:.0%} of the choices.",
                late,
            )

    def _schedule(self, now: float, wake: float | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if wake is None:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(0.001, wake - now), self.process_queues)

    def _open_job(self, peer: Peer, head: RequestHead) -> None:
        now = self._clock()
        job = Job(head=head, peer=peer, deadline=now + head.remaining)
        self._jobs.add(job)
        if head.has_body:
            job.holding = self._budget.open(evict=partial(self._drop_job, job))
        if now >= job.deadline:
            job.fail(DeadlineExceeded())
            return
        if self._reachability.is_isolated(PoolId(head.pool)):
            job.fail(HostIsolated(retry_after=RECONNECT_DELAY))
            return
        if self._get_queue(head.server) is None:
            job.fail(NotGate())
            return
        request = QueuedRequest(
            request_id=RequestId(head.request),
            workspace=head.workspace,
            request_class=RequestClass(head.request_class),
            deadline=job.deadline,
            slice=Slice(head.slice),
            key_digest=head.key_digest,
            payload=job,
            objective=now + head.objective,
            route=head.route,
            origin=self._peers.find(peer),
        )
        if self._large_responses.is_large(head.route):
            refusal = self._wait_for_room(now, request)
        else:
            refusal = self._enqueue(now, request)
        if refusal is not None:
            job.fail(refusal.build_error())
            return
        self.process_queues()

    def _enqueue(self, now: float, request: QueuedRequest) -> Refusal | None:
        head = request.payload.head
        queue = self._get_queue(head.server)
        if queue is None:
            return Refusal(error=NotGate)
        only_server = ServerId(head.server) if head.slice != POOLED else None
        return queue.enqueue(now, request, only_server)

    def _wait_for_room(self, now: float, request: QueuedRequest) -> Refusal | None:
        """Lets a request wait until its large response would fit into memory."""
        waiting = RoomRequest(
            request_id=request.request_id,
            route=request.route,
            latest=find_latest(
                now, objective=request.objective, deadline=request.deadline
            ),
            payload=request,
            objective=request.objective,
            deadline=request.deadline,
        )
        return self._large_responses.room.enqueue(waiting)

    def _admit_large(self, now: float) -> float | None:
        """Queues the requests that there is room for; returns when to look again."""
        room = self._large_responses.room
        for waiting, expected in room.admit():
            job: Job = waiting.payload.payload
            job.expected = expected
            refusal = self._enqueue(now, waiting.payload)
            if refusal is not None:
                job.fail(refusal.build_error())
        for waiting, refusal in room.expire(now):
            waiting.payload.payload.fail(refusal.build_error())
        return room.find_wake_time()

    def _get_queue(self, name: str) -> ServerQueue | None:
        queue = self._queues.get(name)
        if queue is not None:
            return queue
        if name not in self._gates:
            return None
        gate, _ = self._gates[name]
        model = self._models.setdefault(gate.pool, ServiceTimeModel())
        self._queues[name] = ServerQueue(
            model=model,
            limits=self._request_limits,
            choice=self.server_choice,
            counts=self.overload_counts,
            paces=self._paces,
        )
        self._sync_servers(name)
        logger.info("Started to serve gate {}.", name)
        return self._queues[name]

    def _sync_servers(self, name: str) -> None:
        """Updates the servers of a gate's queue from the view."""
        queue = self._queues[name]
        now = self._clock()
        known = self._gates.get(name)
        servers = known[1] if known else []
        wanted = {record.server for record in servers}
        for server in queue.servers:
            if server not in wanted:
                queue.remove_server(server)
        for record in servers:
            pool = self._view.items.find(ItemKind.POOL, record.pool)
            queue.set_server(
                record.server, slots=record.slots, cold_rate=_get_cold_rate(pool)
            )
            queue.close_server(record.server, self._closing_times.find(record.server))
            rest, _ = self._server_states.get(record.server, (-math.inf, False))
            queue.set_rest(record.server, rest)
            cold = self._cold_starts.find_end(record.server) - now
            if cold > 0:
                queue.set_cold(now, record.server, cold)

    def _cancel_job(self, job: Job) -> None:
        if job.ended:
            return
        job.close()
        if not self._remove_waiting(job):
            self._cancel_running(job)

    def _drop_job(self, job: Job) -> None:
        """Ends a request for whose body there is no memory."""
        if job.ended:
            return
        logger.bind(request=job.head.request).warning(
            "Dropped a request whose body the server does not read, as memory is short."
        )
        if self._remove_waiting(job):
            job.fail(Overloaded(retry_after=ROOM_RETRY_AFTER))
            return
        job.fail(OutcomeUnknown("memory is short, and the server does not read"))
        self._cancel_running(job)

    def _withdraw_job(self, job: Job) -> None:
        """Refuses a request whose caller's host stops, unless it was sent."""
        if self._remove_waiting(job):
            job.fail(ShuttingDown(retry_after=SHUTDOWN_RETRY_AFTER))

    def _remove_waiting(self, job: Job) -> bool:
        """Removes a request that was not sent; returns whether it waited."""
        request_id = RequestId(job.head.request)
        if self._large_responses.room.cancel(request_id):
            return True
        queue = self._queues.get(job.head.server)
        return queue is not None and queue.cancel(request_id)

    def _cancel_running(self, job: Job) -> None:
        request_id = RequestId(job.head.request)
        running = self._running.get(request_id)
        if running is None:
            return
        existing = self._backends.get(running.server)
        if existing is not None:
            existing[1].cancel(request_id)

    async def _run(
        self, queue: ServerQueue, request: QueuedRequest, server: ServerId
    ) -> None:
        job: Job = request.payload
        attempt = self._running[request.request_id]
        outcome = Outcome.LOST
        try:
            await self._send_counted(queue, attempt)
            outcome = Outcome.ANSWERED
        except (ConnectFailed, ProcessGone) as error:
            outcome = Outcome.UNREACHED
            if isinstance(error, ProcessGone):
                self._record_end(server)
            self._log_failure(job, server, error)
            job.fail(error)
        except (BackendRefused, BackendFenced) as error:
            outcome = Outcome.SHED
            self._handle_response(server)
            self._log_failure(job, server, error)
            job.fail(self._replace_refusal(job, server, error))
        except StreamClosed:
            outcome = Outcome.ABANDONED
            job.close()
        except MonsoonlugError as error:
            if isinstance(error, OutcomeUnknown):
                outcome = Outcome.ABANDONED
            if attempt.is_given_up:
                error = ServerUnreachable()
            elif isinstance(
                error, ConnectionLost
            ) and await self._reachability.has_process_ended(server):
                error = ServerCrashed()
                outcome = Outcome.UNREACHED
            if isinstance(error, ConnectionLost | ServerCrashed):
                self._cold_starts.doubt(self._clock(), server)
            self._log_failure(job, server, error)
            job.fail(error)
        except Exception:
            logger.bind(request=job.head.request).exception("Attempt failed.")
            job.fail(InternalError())
        finally:
            if not self._large_responses.has_taken_over(job):
                job.close()
            del self._running[request.request_id]
            existing = self._backends.get(server)
            slowdown = existing[1].slowdown if existing is not None else 1.0
            queue.finish(
                self._clock(), request.request_id, server, outcome, slowdown=slowdown
            )
            if outcome is Outcome.UNREACHED:
                self._reachability.check(PoolId(job.head.pool), server)
            self.process_queues()

    def _replace_refusal(
        self, job: Job, server: ServerId, error: MonsoonlugError
    ) -> MonsoonlugError:
        """Returns the error of a request that a server turned away.

        A resting server need not be tried again for a request that only it may run.
        """
        existing = self._backends.get(server)
        if existing is None or job.head.slice == POOLED:
            return error
        rest = existing[1].resting_until - self._clock()
        return build_rest_refusal(rest).build_error() if rest > 0 else error

    async def _try_connect(
        self, server: ServerId, timeout: float
    ) -> ConnectResult | None:
        """Returns the result of connecting to a server, or None if it has left."""
        try:
            backend = self._get_backend(server)
        except NotGate:
            return None
        delay = self._large_responses.estimate_link_delay()
        return await backend.try_connect(timeout + delay)

    def find_silence_due(self) -> float | None:
        """Returns from when on `check_silent_servers` may act; None if nothing runs.

        No response is overdue before the shortest silence has passed, whatever the
        expected service time.
        """
        oldest = next(iter(self._running.values()), None)
        if oldest is None:
            return None
        return oldest.started_at + min(MIN_SILENCE, POOL_SILENCE)

    def check_silent_servers(self) -> None:
        """Starts to check servers whose responses are overdue."""
        now = self._clock()
        overdue: Counter[PoolId] = Counter()
        for name, queue in self._queues.items():
            if name not in self._gates:
                continue
            pool = self._gates[name][0].pool
            overdue[pool] += queue.count_overdue_servers(now, POOL_SILENCE)
            for server in queue.find_silent_servers(now):
                self._reachability.check_silent(pool, server)
        for pool, count in overdue.items():
            if count >= MIN_OVERDUE_SERVERS:
                self._reachability.check_isolation(pool, POOL_SILENCE)

    def _handle_unreachable(self, server: ServerId, result: ConnectResult) -> None:
        for queue in self._queues.values():
            queue.mark_unreachable(self._clock(), server)
        if result is ConnectResult.NO_ANSWER:
            self._give_up_requests(server)
            self._cold_starts.doubt(self._clock(), server)
        if result is ConnectResult.REFUSED:
            self._record_end(server)
        self.process_queues()

    def _handle_reachable(self, server: ServerId) -> None:
        for queue in self._queues.values():
            queue.mark_reachable(self._clock(), server)
        self.process_queues()

    def _list_pools(self) -> dict[PoolId, list[ServerId]]:
        """Returns the servers of all gates by pool."""
        servers: dict[PoolId, list[ServerId]] = {}
        for gate, records in self._gates.values():
            known = servers.setdefault(gate.pool, [])
            known.extend(item.server for item in records)
        return servers

    def _list_active_servers(self) -> list[ServerId]:
        now = self._clock()
        servers = []
        for queue in self._queues.values():
            servers.extend(queue.iterate_active(now))
        return servers

    def _schedule_report(self) -> None:
        """Reports the reachability to all peers once, as several servers may change."""
        if not self._is_report_due:
            self._is_report_due = True
            asyncio.get_running_loop().call_soon(self._send_report)

    def _send_report(self) -> None:
        self._is_report_due = False
        report = self._build_report()
        for peer in list(self._peers):
            _send_to_peer(peer, report)

    def _build_report(self) -> GateReport:
        return GateReport(
            isolated_pools=self._reachability.isolated_pools,
            unreachable=self._reachability.unreachable,
            leaving=self._list_leaving(),
        )

    def _list_leaving(self) -> list[list]:
        rows = []
        for server, (record, backend) in self._backends.items():
            if backend.is_leaving:
                rows.append([server, record.born])
        return rows

    def _give_up_requests(self, server: ServerId) -> None:
        """Cancels requests without a response that another gate may send again."""
        existing = self._backends.get(server)
        for request_id, attempt in self._running.items():
            job = attempt.job
            if attempt.server != server or job.has_response or not job.head.idempotent:
                continue
            attempt.is_given_up = True
            if existing is not None:
                existing[1].cancel(request_id)

    async def _send_counted(self, queue: ServerQueue, attempt: _Attempt) -> None:
        """Sends a request and counts its end, before the job is closed by it."""
        try:
            await self._send_request(queue, attempt)
        except BaseException as error:
            self._count_end(attempt, error)
            raise
        self._count_end(attempt, None)

    def _count_end(self, attempt: _Attempt, error: BaseException | None) -> None:
        if attempt.counted is None:
            return
        now = self._clock()
        job = attempt.job
        # A caller that reads slowly says nothing about the server.
        is_read_late = job.is_blocked and attempt.head_at is not None
        ended_at = attempt.head_at if is_read_late else now
        model = self._models.get(PoolId(job.head.pool), ServiceTimeModel())
        end = AttemptEnd(
            error=error,
            status=job.status,
            is_cancelled=job.ended,
            is_unreachable=attempt.is_given_up
            or attempt.server in self._reachability.unreachable,
            is_blocked=job.is_blocked or not job.is_body_sent,
            elapsed=ended_at - attempt.started_at,
            remaining=job.deadline - now,
            expected=model.estimate(job.head.route, ServerId("")),
        )
        is_cold = self._is_cold(now, attempt.server)
        self._outcomes.record_end(attempt.counted, end, is_cold=is_cold)

    def _adopt_running(self) -> None:
        """Lets the counts of a new rollout include the requests that run already."""
        for attempt in self._running.values():
            pool = PoolId(attempt.job.head.pool)
            attempt.counted = self._outcomes.adopt(
                pool, attempt.server, attempt.job.head.route, attempt.counted
            )

    def _log_cold_start(self, now: float, server: ServerId, seconds: float) -> None:
        sent = sum(
            queue.count_recent_sends(now, server) for queue in self._queues.values()
        )
        logger.info(
            "Server {} is cold for {:.2f} s; this host sent it {} requests in the last"
            " second.",
            server,
            seconds,
            sent,
        )

    def is_cold(self, server: ServerId) -> bool:
        """Returns whether a server is in its cold start, as far as is known."""
        return self._is_cold(self._clock(), server)

    def _is_cold(self, now: float, server: ServerId) -> bool:
        return now < self._cold_starts.find_end(server)

    async def _send_request(self, queue: ServerQueue, attempt: _Attempt) -> None:
        job = attempt.job
        head = job.head

        def estimate_latency() -> float:
            request_class = RequestClass(head.request_class)
            return queue.predict_latency(self._clock(), head.route, request_class)

        is_pooled = head.slice == POOLED
        backend = self._get_backend(attempt.server)
        backend.link_delay = self._large_responses.estimate_link_delay()
        await job.run(
            backend,
            estimate_latency=estimate_latency if is_pooled else None,
            on_head=partial(self._handle_head, attempt),
            observer=self._large_responses,
        )

    def _handle_head(self, attempt: _Attempt) -> None:
        attempt.head_at = self._clock()
        self._handle_response(attempt.server)

    def _handle_response(self, server: ServerId) -> None:
        """Records that a server responded, and what it says of itself."""
        existing = self._backends.get(server)
        if existing is None:
            return
        self._apply_server_state(server, existing[1])
        self._cold_starts.record_response(self._clock(), server)
        self._reachability.record_contact(existing[0].pool)
        limit = existing[1].request_limit
        if self._request_limits.record_response(self._clock(), server, limit):
            _log_request_limit(server, limit or 0.0, "its response")

    def _apply_server_state(self, server: ServerId, backend: BackendProtocol) -> None:
        """Acts on a server's wish to rest, and on its shutdown."""
        state = (backend.resting_until, backend.is_leaving)
        if self._server_states.get(server, (-math.inf, False)) == state:
            return
        self._server_states[server] = state
        now = self._clock()
        for queue in self._queues.values():
            queue.set_rest(server, backend.resting_until)
        rest = backend.resting_until - now
        if rest > 0:
            logger.info("Server {} asks for {:.1f} s of rest.", server, rest)
        if backend.is_leaving:
            logger.info("Server {} says that it is shutting down.", server)
            self.record_leaving(server, self._backends[server][0].born)
            self._schedule_report()
        self._on_notice()

    def _get_backend(self, server: ServerId) -> BackendProtocol:
        existing = self._backends.get(server)
        if existing is not None:
            return existing[1]
        record = self._view.servers.get(server)
        pool = record and self._view.items.find(ItemKind.POOL, record.pool)
        if pool is None:
            raise NotGate()
        backend = self._open_backend(record, pool)
        self._backends[server] = (record, backend)
        return backend

    async def _close_backend(self, server: ServerId, backend: BackendProtocol) -> None:
        # Requests that are still running on a removed server may complete.
        running = [
            item.task for item in self._running.values() if item.server == server
        ]
        if running:
            await asyncio.wait(running, timeout=STOP_TIMEOUT)
        await backend.close()

    def _log_failure(self, job: Job, server: ServerId, error: MonsoonlugError) -> None:
        logger.bind(
            request=job.head.request,
            server=server,
            code=error.code,
            reason=str(error),
            ran=error.ran.value,
            epoch=job.head.slice_epoch,
            revision=self._view.revision,
        ).info("Attempt failed.")


def _get_cold_rate(pool: PoolItem) -> float:
    # Earlier versions accepted rates that are none, such as infinity.
    return pool.cold_rate if is_rate(pool.cold_rate) else FALLBACK_COLD_RATE


def _send_to_peer(peer: Peer, message: object) -> None:
    try:
        peer.send(message)
    except StreamClosed:
        logger.debug("A stream was closed before {!r} was sent.", message)


def _log_request_limit(server: ServerId, limit: float, source: str) -> None:
    if limit > 0:
        logger.info(
            "Server {} accepts {} requests per second, says {}.", server, limit, source
        )
        return
    logger.info("Server {} no longer limits its requests, says {}.", server, source)
