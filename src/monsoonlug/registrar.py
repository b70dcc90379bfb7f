"""Registration, leases and key assignment of backend servers at the control leader.

A server holds its keys under a lease that it measures on its own clock, from the time
at which it sent a heartbeat. Only the response of a confirmed leader renews the lease,
and the server releases the ranges that the response omits. Keys are assigned to another
server only once the owner has released them, was replaced by a later process, or can
no longer hold a lease. This module keeps soft state; the assignments are replicated.
"""

import math
import statistics
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace

from monsoonlug import messages
from monsoonlug.balancing import (
    KeyLoads,
    RangeMove,
    ServerLoad,
    choose_target,
    plan_initial_ranges,
    plan_moves,
)
from monsoonlug.fleet import FleetView
from monsoonlug.fleet_messages import (
    AssignKeys,
    FleetCommand,
    FleetServer,
    KeysAssigned,
    KeyStatus,
    KeyTableChanged,
    PutServer,
    RemoveServer,
    ServerCold,
    ServerLimited,
    ServerNotice,
    covers_all_keys,
    pack_range,
    read_range,
)
from monsoonlug.heartbeats import LeaseGrant, ServerHeartbeat
from monsoonlug.ids import SLICE_COUNT, Epoch, FailureDomain, PoolId, ServerId
from monsoonlug.items import ItemKind
from monsoonlug.keyranges import NO_OWNER, KeyRange, KeyTable
from monsoonlug.leases import LEASE_TIMEOUT, FormerOwners, ServerLease
from monsoonlug.logs import get_logger
from monsoonlug.releases import Release, find_release
from monsoonlug.request_limits import FleetLimits
from monsoonlug.rollout_decisions import PoolServers
from monsoonlug.rollout_keys import (
    describe_servers,
    must_release,
    plan_canary_moves,
    plan_version,
    split_candidates,
)
from monsoonlug.rollout_messages import Rollout

# Milliseconds by which the times of day of a server and of control may differ.
MAX_CLOCK_SKEW_MS = 1_000
# Seconds after the last new server, in which entries probe the speed of the servers.
INITIAL_ASSIGNMENT_DELAY = 2.8
REMOVAL_TIMEOUT = 20.0  # seconds; longer than any heartbeat is in transit
MAX_MISSED_HEARTBEATS = 2.5  # heartbeats until a server counts as silent
MIN_HANDOFF_DELAY = 0.20  # seconds that a server takes to release keys
MAX_HANDOFF_DELAY = 0.60  # seconds that keys may wait for their new owner
MAX_DEFERRALS = 6  # heartbeats for which a source waits for a timely target
MAX_DEFERRED_LATENESS = 1.0  # marginal lateness of a source that waits for a target
MAX_CANDIDATES_AGE = 0.3  # seconds; longer than the interval of decisions
MAX_TARGET_GAP = 0.10  # in marginal lateness, of a timely target over the best one
MAX_RELEASING_SHARE = 0.25  # of the servers that may release keys at the same time
# Ratio of mean service times from which a server is slower than it reports.
MIN_LATENCY_RATIO = 1.5
MIN_LATENCY_FACTOR = 0.2
MAX_LATENCY_FACTOR = 12.0
# Seconds of rest from which keys move to other servers, which takes about one second.
MIN_REST_TO_MOVE = 1.0
REST_BACKOFF = 1.0  # seconds after a rest without new keys; doubles with each rest
MAX_REST_BACKOFF = 8.0  # seconds
REST_MEMORY = 5.0  # seconds from the end of a rest until the next one counts as first
MAX_RESTING_SHARE = 0.5  # of a pool's servers, whose keys the others can take
UTILIZATION_WEIGHT = 0.3  # of a new report, in a server's average utilization

logger = get_logger("control")


@dataclass(slots=True, kw_only=True)
class _Process:
    """State of one process of a backend server, known from its heartbeats.

    Attributes:
        born: Start time of the process, in Unix milliseconds.
        lease: Its lease, and what its heartbeats tell about it.
        slowdown: Service time on the server's machine relative to normal.
        base_latency: Mean service time in seconds without the slowdown; 0 if unknown.
        deferrals: Heartbeats at which a release waited for a timely target.
        has_new_epoch: Whether one of its ranges was assigned to it once more, so that
            its heartbeats show that it takes answers of this leader.
        is_leaving: Whether its responses say that it shuts down.
        resting_until: Time until which it wants no requests.
        avoided_until: Time until which it gets no keys.
        rest_count: Number of its rests one after the other.
    """

    born: int
    last_heartbeat_at: float
    lease: ServerLease
    cold_until: float = 0.0
    has_left: bool = False
    utilization: float = 0.0
    slowdown: float = 1.0
    base_latency: float = 0.0
    deferrals: int = 0
    has_new_epoch: bool = False
    is_leaving: bool = False
    resting_until: float = -math.inf
    avoided_until: float = -math.inf
    rest_count: int = 0

    def record_rest(self, now: float, rest: float) -> None:
        """Records that the process wants no requests for some seconds."""
        if now > self.resting_until:
            is_repeated = now < self.avoided_until + REST_MEMORY
            self.rest_count = self.rest_count + 1 if is_repeated else 1
        self.resting_until = max(self.resting_until, now + rest)
        backoff = min(REST_BACKOFF * 2 ** (self.rest_count - 1), MAX_REST_BACKOFF)
        self.avoided_until = self.resting_until + backoff


@dataclass(slots=True, kw_only=True)
class _PoolPlan:
    """Planned moves and measured loads of one pool.

    Attributes:
        candidates: Servers that may own keys, with the effect of all choices since
            `candidates_at`.
        canaries: Servers of a rollout's target version that may own some of the keys.
        canary_moves: Planned moves to the canaries.
    """

    loads: KeyLoads = field(default_factory=KeyLoads)
    planned_moves: list[RangeMove] = field(default_factory=list)
    candidates: dict[ServerId, ServerLoad] = field(default_factory=dict)
    canaries: dict[ServerId, ServerLoad] = field(default_factory=dict)
    canary_moves: list[RangeMove] = field(default_factory=list)
    candidates_at: float = -math.inf
    releases: list[Release] = field(default_factory=list)
    last_joined_at: float = 0.0


class Registrar:
    """Tracks backend servers and assigns keys to them during one term of a leader.

    Args:
        now: Time of the election, in seconds.
        view: The replicated view, which is only read here.
        heartbeat_interval: Seconds between two heartbeats of a server.
        former_owners: Owners of keys whose table was dropped; updated by the caller.
        stores_versions: Returns whether software versions of servers are replicated.

    Attributes:
        limits: Request limits of the servers, as the entries report them.
    """

    def __init__(
        self,
        *,
        now: float,
        view: FleetView,
        heartbeat_interval: float,
        former_owners: FormerOwners,
        stores_versions: Callable[[], bool] = lambda: False,
    ):
        self._view = view
        self._heartbeat_interval = heartbeat_interval
        self._processes: dict[ServerId, _Process] = {}
        self._plans: dict[PoolId, _PoolPlan] = {}
        # Epochs of assignments that were not granted yet, by owner, pool and range.
        self._pending_grants: dict[ServerId, dict[tuple[PoolId, int, int], int]] = {}
        # First and last keys of assignments that are being committed.
        self._proposed_rows: dict[PoolId, set[tuple[int, int]]] = {}
        self._proposed_removals: set[tuple[ServerId, int]] = set()
        self._notices: list[object] = []
        self.limits = FleetLimits()
        self._first_epoch = view.revision
        self._former_owners = former_owners
        self._stores_versions = stores_versions
        for record in view.servers.values():
            # The previous leader may have renewed every lease just before it lost its
            # role.
            self._processes[record.server] = self._build_process(
                now, record.born, lease_end=now + LEASE_TIMEOUT
            )

    def take_notices(self) -> list[object]:
        """Returns and clears the messages to send to all entries."""
        notices, self._notices = self._notices, []
        return notices

    def list_status(self, now: float) -> list[object]:
        """Returns the messages that a newly connected entry needs."""
        status: list[object] = []
        for server, process in self._processes.items():
            if process.cold_until > now:
                left = process.cold_until - now
                status.append(ServerCold(server=server, seconds=left))
        for server, limit, senders in self.limits.iterate():
            status.append(ServerLimited(server=server, limit=limit, senders=senders))
        for pool, plan in self._plans.items():
            for release in plan.releases:
                status += self._build_status(pool, release.start, release.end, False)
        return status

    # Heartbeats.

    def handle_heartbeat(
        self, now: float, heartbeat: ServerHeartbeat
    ) -> list[FleetCommand] | None:
        """Processes a heartbeat.

        Returns:
            The commands to commit before the response to the heartbeat, or None if
            the heartbeat is outdated.
        """
        record = self._view.servers.get(heartbeat.server)
        process = self._processes.get(heartbeat.server)
        if self._is_outdated(heartbeat, record, process):
            return None
        if self._view.items.find(ItemKind.POOL, heartbeat.pool) is None:
            return []
        if process is None or process.born != heartbeat.born:
            process = self._build_process(now, heartbeat.born, lease_end=now)
            self._processes[heartbeat.server] = process
            self.limits.remove(now, heartbeat.server)
            plan = self._get_plan(heartbeat.pool)
            plan.last_joined_at = now
            plan.candidates_at = -math.inf
        process.last_heartbeat_at = now
        process.lease.record_heartbeat(now, heartbeat, self._view.revision)
        self._update_cold_state(now, heartbeat, process)
        commands: list[FleetCommand] = []
        updated = FleetServer(
            server=heartbeat.server,
            born=heartbeat.born,
            pool=heartbeat.pool,
            address=heartbeat.address,
            failure_domain=heartbeat.failure_domain,
            slots=heartbeat.slots,
            draining=heartbeat.draining
            or process.has_left
            or _is_leaving(record, heartbeat),
        )
        if self._stores_versions():
            commands += plan_version(self._view, updated, heartbeat.version)
        if updated != record:
            _log_change(record, updated)
            commands.append(PutServer(record=messages.encode(updated)))
        commands += self._reassign_released(now, updated, process)
        commands += self._assign_new_epoch(now, updated, process)
        return commands

    def handle_leave(
        self, now: float, server: ServerId, *, unix_ms: int
    ) -> list[FleetCommand]:
        """Marks a server as shutting down and returns the commands to commit.

        Args:
            now: Time in seconds.
            server: The server.
            unix_ms: Time of day in Unix milliseconds.
        """
        record = self._view.servers.get(server)
        if record is None:
            return [self._record_unknown_leave(now, server, unix_ms)]
        process = self._processes.get(server)
        if process is not None:
            process.has_left = True
        if record.draining:
            return []
        updated = replace(record, draining=True)
        return [PutServer(record=messages.encode(updated))]

    def _record_unknown_leave(
        self, now: float, server: ServerId, unix_ms: int
    ) -> FleetCommand:
        """Returns the command that keeps an unknown server out of service.

        Its first heartbeat may arrive after its leave. A heartbeat counts as outdated
        unless its process was started after the leave.
        """
        record = FleetServer(
            server=server,
            born=unix_ms + MAX_CLOCK_SKEW_MS,
            pool=PoolId(""),
            # Unique, as a record replaces another one with the same address.
            address=server,
            failure_domain=FailureDomain(""),
            slots=1,
            draining=True,
        )
        process = self._build_process(now, record.born, lease_end=now)
        process.has_left = True
        self._processes[server] = process
        return PutServer(record=messages.encode(record))

    def renew_lease(self, now: float, server: ServerId, born: int) -> LeaseGrant | None:
        """Grants a server its ranges for the next lease and starts planned releases.

        Returns:
            The granted ranges, or None if the pool has no keys, the server is being
            removed, or another process is registered for it.
        """
        record = self._view.servers.get(server)
        process = self._processes.get(server)
        if (
            record is None
            or process is None
            or record.born != born
            or process.born != born
            or (server, born) in self._proposed_removals
        ):
            return None
        table = self._view.tables.get(record.pool)
        if table is None:
            return None
        if not process.has_left:
            self._start_releases(now, record, process, table)
        leaving_rows = self._list_leaving_rows(record.pool)
        ranges: list[KeyRange] = []
        withheld: list[KeyRange] = []
        for key_range in table.iterate_owned(server):
            if key_range.born != born:
                continue
            if process.has_left:
                withheld.append(key_range)
                continue
            rows = [row for row in leaving_rows if key_range.overlaps(*row)]
            if not rows:
                ranges.append(self._strip_handover(process, key_range))
                continue
            for part in key_range.subtract(rows):
                ranges.append(self._strip_handover(process, part))
            withheld += [key_range.cut(*row) for row in rows]
        self._confirm_granted(server, record.pool, ranges)
        process.lease.record_answer(now, ranges, withheld)
        return LeaseGrant(ranges=ranges)

    def apply_committed(
        self, now: float, command: FleetCommand, changes: Iterable[object]
    ) -> None:
        """Updates releases and pending grants for a committed command.

        Args:
            now: Time in seconds.
            command: The command.
            changes: The changes of the view that it caused.
        """
        if isinstance(command, AssignKeys):
            rows = {(row[0], row[1]) for row in command.rows}
            self._proposed_rows.get(command.pool, set()).difference_update(rows)
        elif isinstance(command, RemoveServer):
            self._proposed_removals.discard((command.server, command.born))
        for change in changes:
            if isinstance(change, KeyTableChanged):
                self._get_plan(change.pool).releases = []
            if isinstance(change, Rollout):
                self._get_plan(change.pool).candidates_at = -math.inf
            if not isinstance(change, KeysAssigned) or covers_all_keys(change):
                continue
            plan = self._get_plan(change.pool)
            for packed in change.rows:
                key_range = read_range(packed)
                plan.releases = [
                    item
                    for item in plan.releases
                    if item.end < key_range.start or item.start > key_range.end
                ]
                if key_range.owner != NO_OWNER:
                    pending = self._pending_grants.setdefault(key_range.owner, {})
                    pending[change.pool, key_range.start, key_range.end] = (
                        key_range.epoch
                    )

    # Load reports.

    def record_requests(self, pool: PoolId, key: int, count: int) -> None:
        """Adds requests for a key that an entry reported."""
        self._get_plan(pool).loads.add(key, count)

    def record_utilization(
        self,
        server: ServerId,
        *,
        slowdown: float,
        base_latency: float,
        utilization: float,
    ) -> None:
        """Records what the gate of a server measured; see `ServerReport`."""
        process = self._processes.get(server)
        if process is None:
            return
        process.slowdown = slowdown
        process.base_latency = base_latency
        process.utilization += UTILIZATION_WEIGHT * (utilization - process.utilization)

    def record_notice(self, now: float, notice: ServerNotice) -> None:
        """Records what a server said of itself in a response."""
        process = self._processes.get(notice.server)
        record = self._view.servers.get(notice.server)
        if process is None or process.born != notice.born or record is None:
            return
        if notice.rest > 0:
            process.record_rest(now, notice.rest)
            self._get_plan(record.pool).candidates_at = -math.inf
        if notice.is_leaving:
            process.is_leaving = True

    # Periodic decisions.

    def plan_commands(self, now: float) -> list[FleetCommand]:
        """Plans moves of keys and returns the commands to propose now."""
        commands: list[FleetCommand] = []
        for pool, table in self._view.tables.items():
            plan = self._get_plan(pool)
            plan.loads.decay(now)
            candidates = self._update_candidates(now, pool, table)
            commands += self._assign_unowned(now, pool, table, plan, candidates)
            plan.planned_moves = self._plan_moves(pool, table, plan, candidates)
            plan.canary_moves = plan_canary_moves(
                self._view, table, plan.loads, plan.releases, plan.canaries
            )
        commands += self._remove_silent_servers(now)
        commands += self._drain_leaving_servers()
        for server, limit, senders in self.limits.take_changes(now):
            notice = ServerLimited(server=server, limit=limit, senders=senders)
            self._notices.append(notice)
        return commands

    def describe_pool(self, now: float, pool: PoolId) -> PoolServers:
        """Returns what the decisions on a rollout need to know of a pool's servers."""
        usable, warm = set(), set()
        for server, process in self._processes.items():
            if process.has_left or self._is_silent(now, process):
                continue
            usable.add(server)
            if process.cold_until <= now:
                warm.add(server)
        return describe_servers(self._view, pool, usable=usable, warm=warm)

    def _is_outdated(
        self,
        heartbeat: ServerHeartbeat,
        record: FleetServer | None,
        process: _Process | None,
    ) -> bool:
        if record is not None and heartbeat.born < record.born:
            return True
        if process is not None and heartbeat.born < process.born:
            return True
        if process is not None and process.born == heartbeat.born:
            return heartbeat.sequence <= process.lease.sequence
        for other in self._view.servers.values():
            if other.address == heartbeat.address and other.born > heartbeat.born:
                return True
        return False

    def _update_cold_state(
        self, now: float, heartbeat: ServerHeartbeat, process: _Process
    ) -> None:
        until = now + heartbeat.cold_seconds if heartbeat.cold_seconds > 0 else 0.0
        if heartbeat.cold_seconds <= 0 and process.cold_until <= now:
            return
        if abs(until - process.cold_until) > 0.1 * self._heartbeat_interval:
            notice = ServerCold(server=heartbeat.server, seconds=heartbeat.cold_seconds)
            self._notices.append(notice)
        process.cold_until = until

    def _build_process(self, now: float, born: int, *, lease_end: float) -> _Process:
        lease = ServerLease(
            expires_at=lease_end, trusted_at=lease_end, first_epoch=self._first_epoch
        )
        return _Process(born=born, last_heartbeat_at=now, lease=lease)

    def _get_plan(self, pool: PoolId) -> _PoolPlan:
        plan = self._plans.get(pool)
        if plan is None:
            plan = self._plans[pool] = _PoolPlan()
        return plan

    def _get_candidates(
        self, now: float, pool: PoolId, table: KeyTable
    ) -> dict[ServerId, ServerLoad]:
        """Returns the candidates of the last decision, or new ones if it is too old.

        Listing them goes through all ranges, which is too slow for each heartbeat.
        """
        plan = self._get_plan(pool)
        if now - plan.candidates_at > MAX_CANDIDATES_AGE:
            self._update_candidates(now, pool, table)
        return self._select_usable(plan.candidates)

    def _select_usable(
        self, candidates: dict[ServerId, ServerLoad]
    ) -> dict[ServerId, ServerLoad]:
        """Returns the candidates that are still in service since they were listed."""
        usable = {}
        for server, candidate in candidates.items():
            record = self._view.servers.get(server)
            process = self._processes.get(server)
            if record is None or process is None or process.has_left:
                continue
            if self._view.is_in_service(record):
                usable[server] = candidate
        return usable

    def _update_candidates(
        self, now: float, pool: PoolId, table: KeyTable
    ) -> dict[ServerId, ServerLoad]:
        plan = self._get_plan(pool)
        candidates = self._list_candidates(now, pool, table)
        plan.candidates, plan.canaries = split_candidates(self._view, pool, candidates)
        plan.candidates_at = now
        return plan.candidates

    def _list_candidates(
        self, now: float, pool: PoolId, table: KeyTable
    ) -> dict[ServerId, ServerLoad]:
        candidates = {}
        plan = self._get_plan(pool)
        records = self._list_usable(now, pool)
        for record in records:
            process = self._processes[record.server]
            candidates[record.server] = ServerLoad(
                server=record.server,
                failure_domain=record.failure_domain,
                slots=record.slots,
                is_cold=process.cold_until > now,
            )
        self._set_latency_factors(candidates)
        rates = dict.fromkeys(candidates, 0.0)
        for key_range in table.iterate():
            candidate = candidates.get(key_range.owner)
            if candidate is None:
                continue
            candidate.key_count += key_range.size
            candidate.range_count += 1
            rates[key_range.owner] += plan.loads.sum_between(
                key_range.start, key_range.end
            )
        self._set_costs(candidates, rates)
        for release in plan.releases:
            moving = plan.loads.sum_between(release.start, release.end)
            if release.target in candidates:
                candidates[release.target].utilization += (
                    moving * candidates[release.target].cost
                )
            if release.source in candidates:
                candidates[release.source].utilization -= (
                    moving * candidates[release.source].cost
                )
        return candidates

    def _list_usable(self, now: float, pool: PoolId) -> list[FleetServer]:
        """Returns the servers of a pool that may own keys."""
        usable = []
        rested = []
        for record in self._view.servers.values():
            process = self._processes.get(record.server)
            if record.pool != pool or process is None or process.has_left:
                continue
            if not self._view.is_in_service(record) or self._is_silent(now, process):
                continue
            usable.append(record)
            if now >= process.avoided_until:
                rested.append(record)
        return (
            rested if len(rested) >= (1 - MAX_RESTING_SHARE) * len(usable) else usable
        )

    def _set_latency_factors(self, candidates: dict[ServerId, ServerLoad]) -> None:
        # Gates report absolute times, as each measures only a few servers of a pool.
        processes = {server: self._processes[server] for server in candidates}
        measured = [p.base_latency for p in processes.values() if p.base_latency > 0]
        typical = statistics.median(measured) if measured else 1.0
        latencies = {}
        for server, process in processes.items():
            ratio = process.base_latency / typical
            # Smaller differences are noise; the slowdown tells the machine's speed.
            if not 1 / MIN_LATENCY_RATIO < ratio < MIN_LATENCY_RATIO and ratio > 0:
                latencies[server] = process.slowdown * ratio
            else:
                latencies[server] = process.slowdown
        mean = statistics.median(latencies.values()) if latencies else 1.0
        for server, candidate in candidates.items():
            factor = latencies[server] / mean
            candidate.latency_factor = min(
                max(factor, MIN_LATENCY_FACTOR), MAX_LATENCY_FACTOR
            )

    def _set_costs(
        self, candidates: dict[ServerId, ServerLoad], rates: dict[ServerId, float]
    ) -> None:
        # Work of a request: slot seconds on a server of the pool's mean speed.
        work = 0.0
        for server in candidates:
            process = self._processes[server]
            slots = self._view.servers[server].slots
            work += process.utilization * slots / candidates[server].latency_factor
        total = sum(rates.values())
        work = work / total if total > 0 else 0.0
        for server, candidate in candidates.items():
            slots = self._view.servers[server].slots
            candidate.cost = work * candidate.latency_factor / slots
            limit = self.limits.find(server)
            if limit is not None:
                candidate.cost = max(candidate.cost, 1 / limit)
            # Request counts follow a move at once, unlike the measured utilization.
            candidate.utilization = rates[server] * candidate.cost

    def _is_silent(self, now: float, process: _Process) -> bool:
        return (
            now - process.last_heartbeat_at
            > MAX_MISSED_HEARTBEATS * self._heartbeat_interval
        )

    def _assign_unowned(
        self,
        now: float,
        pool: PoolId,
        table: KeyTable,
        plan: _PoolPlan,
        candidates: dict[ServerId, ServerLoad],
    ) -> Iterator[FleetCommand]:
        unowned: list[KeyRange] = []
        for key_range in table.iterate():
            if not self._is_assignable(now, key_range):
                continue
            if self._is_proposed(pool, key_range):
                continue
            unowned += self._former_owners.find_parts(now, pool, key_range)
        if not unowned or not candidates:
            return
        rows = []
        if len(unowned) == 1 and unowned[0].size == SLICE_COUNT:
            if now - plan.last_joined_at < INITIAL_ASSIGNMENT_DELAY:
                return
            for start, end, owner in plan_initial_ranges(
                self._interleave_domains(candidates)
            ):
                rows.append(self._build_range(start, end, owner, ""))
        else:
            for key_range in unowned:
                if self._is_assignable(now, key_range):
                    rows.append(self._assign_range(key_range, plan, candidates))
                else:
                    # A former owner may still hold the keys, and keeps them.
                    rows.append(replace(key_range, handover=""))
        yield self._build_assignment(pool, rows)

    def _is_assignable(self, now: float, key_range: KeyRange) -> bool:
        if key_range.owner == NO_OWNER:
            return True
        process = self._processes.get(key_range.owner)
        # Two processes of a server never run at the same time.
        if process is None or process.born != key_range.born:
            return True
        return self._is_silent(now, process) and now > process.lease.expires_at

    def _interleave_domains(
        self, candidates: dict[ServerId, ServerLoad]
    ) -> dict[ServerId, ServerLoad]:
        domains: dict[FailureDomain, list[ServerId]] = {}
        for server in sorted(candidates):
            domain = candidates[server].failure_domain
            domains.setdefault(domain, []).append(server)
        interleaved = {}
        groups = list(domains.values())
        while any(groups):
            for group in groups:
                if group:
                    server = group.pop()
                    interleaved[server] = candidates[server]
        return interleaved

    def _assign_range(
        self,
        key_range: KeyRange,
        plan: _PoolPlan,
        candidates: dict[ServerId, ServerLoad],
    ) -> KeyRange:
        rate = plan.loads.sum_between(key_range.start, key_range.end)
        candidate = choose_target(candidates, rate, excluded=(key_range.owner,))
        if candidate is None:
            return KeyRange(
                start=key_range.start, end=key_range.end, handover=key_range.handover
            )
        candidate.utilization += rate * candidate.cost
        candidate.key_count += key_range.size
        candidate.range_count += 1
        handover = key_range.handover if key_range.owner == NO_OWNER else ""
        return self._build_range(
            key_range.start, key_range.end, candidate.server, handover
        )

    def _build_assignment(self, pool: PoolId, ranges: list[KeyRange]) -> AssignKeys:
        """Returns a command to propose; its ranges are not granted meanwhile."""
        proposed = self._proposed_rows.setdefault(pool, set())
        proposed.update((key_range.start, key_range.end) for key_range in ranges)
        return AssignKeys(
            pool=pool, rows=[pack_range(key_range) for key_range in ranges]
        )

    def _is_proposed(self, pool: PoolId, key_range: KeyRange) -> bool:
        rows = self._proposed_rows.get(pool, ())
        return any(key_range.overlaps(*row) for row in rows)

    def _list_leaving_rows(self, pool: PoolId) -> list[tuple[int, int]]:
        """Returns first and last keys of the ranges that are changing their owner."""
        rows = [(item.start, item.end) for item in self._get_plan(pool).releases]
        return [*rows, *self._proposed_rows.get(pool, ())]

    def _build_range(
        self, start: int, end: int, owner: ServerId, handover: str
    ) -> KeyRange:
        born = self._view.servers[owner].born
        return KeyRange(start=start, end=end, owner=owner, born=born, handover=handover)

    def _remove_silent_servers(self, now: float) -> Iterator[FleetCommand]:
        for server, process in list(self._processes.items()):
            record = self._view.servers.get(server)
            if record is None:
                if self._is_silent(now, process):
                    del self._processes[server]
                    self.limits.remove(now, server)
                continue
            if now - process.last_heartbeat_at > REMOVAL_TIMEOUT:
                self._proposed_removals.add((server, process.born))
                yield RemoveServer(server=server, born=process.born)

    def _drain_leaving_servers(self) -> Iterator[FleetCommand]:
        """Takes servers out of service that tell only their callers that they leave."""
        for server, process in self._processes.items():
            record = self._view.servers.get(server)
            if record is None or record.born != process.born:
                continue
            if process.is_leaving and not record.draining:
                yield PutServer(record=messages.encode(replace(record, draining=True)))

    # Releases.

    def _plan_moves(
        self,
        pool: PoolId,
        table: KeyTable,
        plan: _PoolPlan,
        candidates: dict[ServerId, ServerLoad],
    ) -> list[RangeMove]:
        sources = {release.source for release in plan.releases}
        max_sources = max(1, int(MAX_RELEASING_SHARE * len(candidates))) - len(sources)
        if len(candidates) < 2 or max_sources <= 0:
            return []
        owned: dict[ServerId, list[KeyRange]] = {}
        for key_range in table.iterate():
            owned.setdefault(key_range.owner, []).append(key_range)
        excluded = sources | self._list_pending_owners(pool)
        return plan_moves(
            owned, candidates, plan.loads, excluded=excluded, max_sources=max_sources
        )

    def _list_pending_owners(self, pool: PoolId) -> set[ServerId]:
        owners = set()
        for owner, pending in self._pending_grants.items():
            if any(found == pool for found, _, _ in pending):
                owners.add(owner)
        return owners

    def _start_releases(
        self, now: float, record: FleetServer, process: _Process, table: KeyTable
    ) -> None:
        plan = self._get_plan(record.pool)
        if self._must_release_all(now, record, process, table):
            moves = self._list_releasable(record, process, table)
        elif process.lease.is_trusted:
            planned = [*plan.canary_moves, *plan.planned_moves]
            moves = [item for item in planned if item.source == record.server]
        else:
            return
        if not moves:
            return
        candidates = self._get_candidates(now, record.pool, table)
        canaries = self._select_usable(plan.canaries)
        source = candidates.pop(record.server, None)
        is_urgent = source is None or (
            source.estimate_marginal_lateness() > MAX_DEFERRED_LATENESS
        )
        process.deferrals += 1
        has_started = False
        for item in moves:
            start, end = item.start, item.end
            if any(start <= r.end and r.start <= end for r in plan.releases):
                continue
            may_defer = not is_urgent and process.deferrals < MAX_DEFERRALS
            rate = plan.loads.sum_between(start, end)
            if item in plan.canary_moves:
                target = self._choose_target(now, canaries, rate, False)
            else:
                target = self._choose_target(now, candidates, rate, may_defer)
            if target is None:
                continue
            target.utilization += rate * target.cost
            target.key_count += end - start + 1
            target.range_count += 1
            if source is not None:
                source.utilization -= rate * source.cost
            for planned in (plan.planned_moves, plan.canary_moves):
                if item in planned:
                    planned.remove(item)
            plan.releases.append(
                Release(
                    start=start, end=end, source=record.server, target=target.server
                )
            )
            self._notices += self._build_status(record.pool, start, end, False)
            has_started = True
        if has_started:
            process.deferrals = 0

    def _must_release_all(
        self, now: float, record: FleetServer, process: _Process, table: KeyTable
    ) -> bool:
        """Returns whether a server should own no keys any more."""
        if not self._view.is_in_service(record):
            return True
        if self._view.find_running_rollout(record.pool) is not None:
            candidates = self._get_candidates(now, record.pool, table)
            canaries = self._get_plan(record.pool).canaries
            if must_release(self._view, record, candidates, canaries):
                return True
        return self._must_rest(now, record, process, table)

    def _list_releasable(
        self, record: FleetServer, process: _Process, table: KeyTable
    ) -> list[RangeMove]:
        """Returns moves of all ranges that a server may be asked to release now.

        It keeps the ranges with an epoch of this leader until it has reported one.
        """
        moves = []
        for key_range in table.iterate_owned(record.server):
            if key_range.born != record.born:
                continue
            if not process.lease.is_trusted and key_range.epoch > self._first_epoch:
                continue
            moves.append(
                RangeMove(
                    start=key_range.start, end=key_range.end, source=record.server
                )
            )
        return moves

    def _must_rest(
        self, now: float, record: FleetServer, process: _Process, table: KeyTable
    ) -> bool:
        """Returns whether a server rests long enough for its keys to move."""
        if process.resting_until - now < MIN_REST_TO_MOVE:
            return False
        return record.server not in self._get_candidates(now, record.pool, table)

    def _choose_target(
        self,
        now: float,
        candidates: dict[ServerId, ServerLoad],
        rate: float,
        may_defer: bool,
    ) -> ServerLoad | None:
        """Chooses a target, preferably one with a heartbeat soon after the release."""
        timely = {}
        for server, candidate in candidates.items():
            elapsed = now - self._processes[server].last_heartbeat_at
            wait = (self._heartbeat_interval - elapsed) % self._heartbeat_interval
            if MIN_HANDOFF_DELAY <= wait <= MAX_HANDOFF_DELAY:
                timely[server] = candidate
        best = choose_target(candidates, rate)
        found = choose_target(timely, rate)
        if found is None:
            return None if may_defer else best
        # Waiting for a heartbeat costs less than an owner with a much higher load.
        if (
            best is not None
            and found.estimate_marginal_lateness(rate)
            > best.estimate_marginal_lateness(rate) + MAX_TARGET_GAP
        ):
            return None if may_defer else best
        return found

    def _reassign_released(
        self, now: float, record: FleetServer, process: _Process
    ) -> list[FleetCommand]:
        """Returns the commands that assign the ranges that a server has released."""
        table = self._view.tables.get(record.pool)
        if table is None:
            return []
        released = [
            key_range
            for key_range in process.lease.list_released(table)
            if not self._is_proposed(record.pool, key_range)
        ]
        if not released:
            return []
        plan = self._get_plan(record.pool)
        candidates = self._get_candidates(now, record.pool, table)
        candidates.pop(record.server, None)
        rows = []
        for key_range in released:
            rows += self._reassign_range(key_range, plan, candidates)
        return [self._build_assignment(record.pool, rows)]

    def _assign_new_epoch(
        self, now: float, record: FleetServer, process: _Process
    ) -> list[FleetCommand]:
        """Returns the command that gives a range of a server a new epoch.

        A server that has to release its ranges can thus show early in a term that a
        heartbeat is not one from before the last answer of the previous leader.
        """
        table = self._view.tables.get(record.pool)
        if process.lease.is_trusted or process.has_new_epoch or table is None:
            return []
        if process.has_left or not self._must_release_all(now, record, process, table):
            return []
        owned = [
            key_range
            for key_range in table.iterate_owned(record.server)
            if key_range.born == record.born
            and not self._is_proposed(record.pool, key_range)
        ]
        if not owned:
            return []
        process.has_new_epoch = True
        smallest = min(owned, key=lambda key_range: key_range.size)
        return [self._build_assignment(record.pool, [replace(smallest, handover="")])]

    def _reassign_range(
        self,
        key_range: KeyRange,
        plan: _PoolPlan,
        candidates: dict[ServerId, ServerLoad],
    ) -> list[KeyRange]:
        rows = []
        takers = {*candidates, *self._select_usable(plan.canaries)}
        handover = key_range.handover
        start = key_range.start
        while start <= key_range.end:
            release = find_release(plan.releases, start)
            end = key_range.end
            if release is not None:
                end = min(end, release.end)
            else:
                later = [r.start for r in plan.releases if start < r.start <= end]
                end = min(later) - 1 if later else end
            if release is not None and release.target in takers:
                rows.append(self._build_range(start, end, release.target, handover))
            else:
                free = KeyRange(start=start, end=end, handover=handover)
                rows.append(self._assign_range(free, plan, candidates))
            start = end + 1
        return rows

    # Notices to entries.

    def _build_status(
        self, pool: PoolId, start: int, end: int, ready: bool
    ) -> list[KeyStatus]:
        table = self._view.tables.get(pool)
        if table is None:
            return []
        rows = []
        for key_range in table.iterate_between(start, end):
            rows.append(
                KeyStatus(
                    pool=pool,
                    start=key_range.start,
                    end=key_range.end,
                    epoch=key_range.epoch,
                    ready=ready,
                )
            )
        return rows

    def _confirm_granted(
        self, server: ServerId, pool: PoolId, granted: list[KeyRange]
    ) -> None:
        pending = self._pending_grants.get(server)
        if not pending:
            return
        table = self._view.tables[pool]
        for key, epoch in list(pending.items()):
            found, start, end = key
            if found != pool:
                continue
            if table.find(start).epoch != epoch:  # assigned again since
                del pending[key]
                continue
            if any(part.start <= end and start <= part.end for part in granted):
                del pending[key]
                status = KeyStatus(
                    pool=pool, start=start, end=end, epoch=epoch, ready=True
                )
                self._notices.append(status)
        if not pending:
            del self._pending_grants[server]

    def _strip_handover(self, process: _Process, key_range: KeyRange) -> KeyRange:
        if not key_range.handover:
            return key_range
        for start, end, epoch in process.lease.held:
            if (
                start <= key_range.start
                and key_range.end <= end
                and epoch == key_range.epoch
            ):
                return KeyRange(
                    start=key_range.start,
                    end=key_range.end,
                    owner=key_range.owner,
                    born=key_range.born,
                    epoch=Epoch(key_range.epoch),
                )
        return key_range


def _log_change(record: FleetServer | None, updated: FleetServer) -> None:
    if updated.draining:
        change = "is leaving"
    elif record is None:
        change = "is registered"
    elif record.born != updated.born:
        change = "was restarted"
    else:
        change = "changed its record"
    logger.info(
        "Backend server {} of pool {} at {}, started at {} ms, {}.",
        updated.server,
        updated.pool,
        updated.address,
        updated.born,
        change,
    )


def _is_leaving(record: FleetServer | None, heartbeat: ServerHeartbeat) -> bool:
    """Returns whether a process has said that it is leaving, which is final.

    Heartbeats that it sent earlier may arrive seconds later.
    """
    return record is not None and record.born == heartbeat.born and record.draining
