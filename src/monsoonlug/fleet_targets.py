"""Selects the gate of a request in an announced fleet."""

import math
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from random import Random

from monsoonlug.admission import AdmittedRequest
from monsoonlug.dispatch import MAX_UNREACHED, UNREACHED_ERRORS
from monsoonlug.exceptions import BackendFenced, MonsoonlugError, ServerUnreachable
from monsoonlug.fleet import FleetView
from monsoonlug.fleet_messages import FleetServer
from monsoonlug.gate import Outcome
from monsoonlug.gatehost import (
    VERSION_MARK,
    ClosingTimes,
    GateId,
    LiveHost,
    build_gate_id,
)
from monsoonlug.host_weights import HostRanking
from monsoonlug.ids import Epoch, FailureDomain, HostId, PoolId, ServerId
from monsoonlug.jobs import POOLED
from monsoonlug.load_spreading import LoadSpreader
from monsoonlug.response_sizes import ResponseSizes
from monsoonlug.subscription import KeyBlocks
from monsoonlug.targets import Target, TargetFinder
from monsoonlug.version_split import VersionSplits

OWNER_TIMEOUT = 0.9  # seconds that a request waits for an owner; about one heartbeat
FENCED_BLOCK_TIME = 0.25  # seconds until a server that rejected a key is retried
# Seconds of waiting time that are accepted to keep traffic in the failure domain.
REMOTE_DOMAIN_PENALTY = 0.060
# Seconds that one byte of a response takes between failure domains, at 4 Mbit/s; links
# have 2 to 6 Mbit/s. 30 KB, the size of the largest small responses, take the 60 ms.
REMOTE_SECONDS_PER_BYTE = 2e-6
DEFAULT_WAIT = 0.150  # seconds, assumed until the first response of a gate
MAX_WAIT = 2.0  # seconds; longer waits are counted as this
# Seconds in which the estimate decays from the last reported wait to the mean.
WAIT_DECAY_TIME = 0.5
MIN_SAMPLE_WEIGHT = 0.05  # of one response in the mean wait
MEAN_TIME_CONSTANT = 3.0  # seconds; of the exponential moving average
UNREACHED_TIME = 1.0  # seconds for which a host that cannot reach a server is avoided
TIE_RANGE = 0.030  # seconds; gates that differ by less are chosen at random


@dataclass(slots=True, kw_only=True)
class GateLoad:
    """Estimated waiting time at one gate; times in seconds."""

    last_wait: float = DEFAULT_WAIT
    mean_wait: float = DEFAULT_WAIT
    reported_at: float = 0.0

    def record(self, now: float, wait: float) -> None:
        """Adds a wait that the gate reported.

        The weight of a sample grows with the time since the previous one. With fixed
        weights, each of many hosts, which sends a gate one request per second or fewer,
        would keep sending to the gate long after it has become slow.
        """
        decayed = 1 - math.exp(-max(0.0, now - self.reported_at) / MEAN_TIME_CONSTANT)
        weight = max(MIN_SAMPLE_WEIGHT, decayed)
        self.mean_wait += weight * (min(wait, MAX_WAIT) - self.mean_wait)
        self.last_wait = wait
        self.reported_at = now

    def estimate(self, now: float) -> float:
        """Returns the expected wait, in seconds."""
        recent = max(0.0, 1 - (now - self.reported_at) / WAIT_DECAY_TIME)
        return self.mean_wait + recent * (
            min(self.last_wait, MAX_WAIT) - self.mean_wait
        )


class FleetTargetFinder(TargetFinder):
    """Finds targets from the view and the list of live hosts.

    Args:
        clock: Monotonic clock, in seconds.
        random: Random source for the choice among gates of similar cost.
        host: Name of this host.
        failure_domain: Failure domain of this host.
        is_reachable: Whether there is an open, responsive stream to a host.
        blocks: Key ranges that are temporarily not served.
        closing_times: Closing times of servers out of service; updated by their owner.
        get_view_age: Returns the seconds since the view was known to be current.
        sizes: Response sizes of the routes.
        is_cold: Whether a server is in its cold start, as far as this host knows.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        random: Random,
        host: HostId,
        failure_domain: FailureDomain,
        is_reachable: Callable[[HostId], bool],
        blocks: KeyBlocks,
        closing_times: ClosingTimes,
        get_view_age: Callable[[], float] = lambda: 0.0,
        sizes: ResponseSizes | None = None,
        is_cold: Callable[[ServerId], bool] = lambda server: False,
    ):
        super().__init__(clock=clock, random=random)
        self.wait_timeout = OWNER_TIMEOUT
        self._host = host
        self._domain = failure_domain
        self._is_reachable = is_reachable
        self._blocks = blocks
        self._fleet = FleetView()
        self._closing_times = closing_times
        self._sizes = sizes or ResponseSizes()
        self._is_cold = is_cold
        self._pool_gates: dict[PoolId, list[GateId]] = {}
        self._hosts: list[LiveHost] = []
        self._ranking = HostRanking([])
        self._unreached: dict[str, dict[HostId, float]] = {}
        self._isolated_pools: dict[HostId, frozenset[PoolId]] = {}
        self._unreachable: dict[HostId, frozenset[ServerId]] = {}
        # Of the servers that a host cannot reach, those that others reached since.
        self._served_elsewhere: dict[HostId, set[ServerId]] = {}
        self._gate_ids: dict[str, GateId] = {}
        self._gate_servers: dict[str, list[ServerId]] = {}
        self._loads: dict[str, GateLoad] = {}
        self._splits = VersionSplits(random=random, get_view_age=get_view_age)
        self.spreader = LoadSpreader(random=random, failure_domain=failure_domain)

    @property
    def stale_rollouts(self) -> int:
        """Pools in a rollout that use the old version only, as the view is old."""
        return self._splits.stale_count

    def update_fleet(
        self, view: FleetView, gates: Mapping[GateId, Sequence[FleetServer]]
    ) -> None:
        """Applies a view with changed items or servers, and its gates."""
        self._fleet = view
        self._pool_gates = {}
        self._gate_ids = {gate.name: gate for gate in gates}
        self._gate_servers = {}
        for gate, records in gates.items():
            self._gate_servers[gate.name] = [item.server for item in records]
        for name in set(self._unreached) - set(self._gate_servers):
            del self._unreached[name]
        for gate in gates:
            if gate.pool not in view.tables:
                self._pool_gates.setdefault(gate.pool, []).append(gate)
        self._splits.update(view, gates)
        # Each version that a rollout moves requests to adds gates with new names.
        for name in set(self._loads) - set(self._gate_servers):
            if VERSION_MARK in name:
                del self._loads[name]
        self.spreader.update(
            {
                gate: records
                for gate, records in gates.items()
                if gate.pool not in view.tables
            }
        )

    def update_hosts(self, hosts: list[LiveHost]) -> None:
        """Sets the live hosts."""
        self._hosts = hosts
        self._ranking = HostRanking(hosts)
        self.wake_waiters()

    def update_reachability(
        self,
        host: HostId,
        isolated_pools: Iterable[PoolId],
        unreachable: Iterable[ServerId],
    ) -> None:
        """Applies what a host reports of its connections to backend servers.

        Args:
            host: The host.
            isolated_pools: Pools of which it reaches no server.
            unreachable: Servers that it cannot connect to.
        """
        self._isolated_pools[host] = frozenset(isolated_pools)
        self._unreachable[host] = frozenset(unreachable)
        self._served_elsewhere.setdefault(host, set()).intersection_update(unreachable)

    def list_unreachable(self, host: HostId) -> frozenset[ServerId]:
        """Returns the servers that a host cannot connect to, as it reports."""
        return self._unreachable.get(host, frozenset())

    def remove_reachability(self, host: HostId) -> None:
        """Forgets the reports of a host whose stream was lost."""
        self._isolated_pools.pop(host, None)
        self._unreachable.pop(host, None)
        self._served_elsewhere.pop(host, None)

    def find(
        self, admitted: AdmittedRequest, exclude: Collection[ServerId] = ()
    ) -> Target | None:
        """Returns the target of a request, or None if there is none now."""
        if admitted.routing_key:
            return self._find_key_owner(admitted)
        return self._find_gate(admitted, exclude)

    def record_start(
        self, admitted: AdmittedRequest, target: Target, request_id: str
    ) -> None:
        """Does nothing, as the load of a gate is learned only from its responses."""

    def record_finish(
        self,
        admitted: AdmittedRequest,
        target: Target,
        request_id: str,
        outcome: Outcome,
    ) -> None:
        """Raises the estimated wait of a gate whose server shed the request."""
        if outcome is Outcome.SHED and not admitted.routing_key:
            load = self._get_load(target.server)
            load.last_wait = MAX_WAIT
            load.reported_at = self._clock()
            self.spreader.record_shed(load.reported_at, target.pool, target.server)

    def record_wait(self, target: Target, wait: float) -> None:
        """Records the wait that a gate reported with a response."""
        now = self._clock()
        self._get_load(target.server).record(now, wait)
        self.spreader.record_wait(now, target.pool, target.server, wait)
        servers = self._gate_servers.get(target.server, ())
        for host, unreachable in self._unreachable.items():
            if host != target.host and unreachable.issuperset(servers):
                self._served_elsewhere[host].update(servers)

    def record_failure(self, target: Target, error: type[MonsoonlugError]) -> None:
        """Avoids a gate's host that cannot reach its server, or blocks a key range.

        The key range is blocked if its server rejected the request as not the owner.
        The server is unlikely to own the range a few milliseconds later, and each
        rejected request would count against the retry limit.
        """
        if error in UNREACHED_ERRORS or error is ServerUnreachable:
            until = self._clock() + UNREACHED_TIME
            self._unreached.setdefault(target.server, {})[target.host] = until
        table = self._fleet.tables.get(PoolId(target.pool))
        if error is not BackendFenced or target.slice == POOLED or table is None:
            return
        row = table.find(target.slice)
        if row.epoch == target.slice_epoch:
            now = self._clock()
            self._blocks.add(
                now,
                table.pool,
                row.start,
                row.end,
                row.epoch,
                seconds=FENCED_BLOCK_TIME,
            )

    def _find_key_owner(self, admitted: AdmittedRequest) -> Target | None:
        pool = PoolId(admitted.route.pool)
        table = self._fleet.tables.get(pool)
        if table is None:
            return None
        key = int(admitted.routing_key)
        row = table.find(key)
        now = self._clock()
        record = self._fleet.servers.get(row.owner)
        if record is None or record.born != row.born:
            return None
        if now >= self._closing_times.find(row.owner):
            return None
        if self._blocks.is_blocked(now, pool, key, row.epoch):
            return None
        gate = build_gate_id(record)
        return Target(
            host=self._choose_sender(gate, admitted.route.name),
            server=ServerId(gate.name),
            gate_epoch=Epoch(0),
            revision=self._fleet.revision,
            slice=key,
            slice_epoch=row.epoch,
            pool=pool,
        )

    def _find_gate(
        self, admitted: AdmittedRequest, exclude: Collection[ServerId]
    ) -> Target | None:
        pool = PoolId(admitted.route.pool)
        gates = self._splits.select(
            pool, self._pool_gates.get(pool, []), is_retry=bool(exclude)
        )
        fresh = [gate for gate in gates if gate.name not in exclude]
        if self._sizes.is_large(admitted.route.name):
            # A retry may cross, as the servers of this domain may all be down.
            fresh = self._select_local(fresh) or fresh
        penalty = self._estimate_remote_penalty(admitted.route.name)
        if self.spreader.is_spread(pool):
            gate = self.spreader.choose(
                self._clock(), pool, fresh or gates, crossing_cost=penalty
            )
        else:
            gate = min(
                fresh or gates,
                key=lambda gate: self._estimate_cost(gate, penalty),
                default=None,
            )
        if gate is None:
            return None
        return Target(
            host=self._choose_sender(gate, admitted.route.name),
            server=ServerId(gate.name),
            gate_epoch=Epoch(0),
            revision=self._fleet.revision,
            pool=pool,
        )

    def _select_local(self, gates: list[GateId]) -> list[GateId]:
        """Returns the gates of this failure domain.

        Large responses leave it only if there is none. One of 90 KB occupies the links
        of several hosts for as long as 50 small ones; when those of a busy domain went
        to the others, the small responses of all domains were late.
        """
        return [gate for gate in gates if gate.failure_domain == self._domain]

    def find_rank(self, gate: GateId) -> int:
        """Returns how many of the live hosts are preferred to this one for a gate."""
        ranked = self._ranking.rank(gate)
        for rank, item in enumerate(ranked):
            if item.host == self._host:
                return rank
        return len(ranked)

    def is_own_gate(self, gate: GateId) -> bool:
        """Returns whether this host serves a gate of its own failure domain."""
        if gate.failure_domain != self._domain or not self._hosts:
            return False
        return self._choose_host(gate) == self._host

    def _estimate_remote_penalty(self, route: str) -> float:
        """Returns the seconds added to the wait of a gate in another failure domain."""
        transfer = self._sizes.get_mean(route) * REMOTE_SECONDS_PER_BYTE
        return max(REMOTE_DOMAIN_PENALTY, transfer)

    def _estimate_cost(self, gate: GateId, remote_penalty: float) -> float:
        wait = self._get_load(gate.name).estimate(self._clock())
        penalty = remote_penalty if gate.failure_domain != self._domain else 0.0
        return wait + penalty + TIE_RANGE * self._random.random()

    def can_serve(self) -> bool:
        """Returns whether a host that accepts requests reaches servers of any pool."""
        pools = {gate.pool for gate in self._gate_ids.values()}
        if not pools or not self._hosts:
            return True
        for host in self._hosts:
            if any(self._is_available(host.host, pool) for pool in pools):
                return True
        return False

    def has_alternative(self, target: Target, tried: Collection[ServerId]) -> bool:
        """Returns whether another host, or another gate, may run a failed request."""
        gate = self._gate_ids.get(target.server)
        if gate is None:
            return True
        if target.slice != POOLED:
            return self._find_host(gate) is not None
        gates = self._splits.select(
            gate.pool, self._pool_gates.get(gate.pool, []), is_retry=True
        )
        for other in gates:
            if other.name not in tried and self._find_host(other) is not None:
                return True
        return False

    def _choose_sender(self, gate: GateId, route: str) -> HostId:
        """Returns the host that sends a request to a server of a gate.

        This host sends requests with large responses itself. All responses of a gate
        pass the link of its host, which three servers with such responses overload.
        Cold servers bear only what one host paces.
        """
        if not self._sizes.is_large(route) or not self._can_send(gate):
            return self._choose_host(gate)
        return self._host

    def _can_send(self, gate: GateId) -> bool:
        """Returns whether this host may send to the servers of a gate by itself."""
        if gate.pool in self._isolated_pools.get(self._host, ()):
            return False
        if self._reports_unreachable(self._host, gate):
            return False
        if self._host in self._list_unreached(gate):
            return False
        servers = self._gate_servers.get(gate.name, ())
        return not any(self._is_cold(server) for server in servers)

    def _choose_host(self, gate: GateId) -> HostId:
        host = self._find_host(gate)
        if host is not None:
            return host
        for item in self._ranking.rank(gate):
            if self._is_available(item.host, gate.pool):
                return item.host
        return self._host

    def _find_host(self, gate: GateId) -> HostId | None:
        """Returns the best host that may reach the servers of a gate.

        There is none if several hosts cannot reach them, as the servers are at fault.
        Hosts are no evidence of this if they miss servers that others reach.
        """
        failed = self._list_unreached(gate)
        failed_domains = set()
        failures = 0
        second_choice = None
        for item in self._ranking.rank(gate):
            if not self._is_available(item.host, gate.pool):
                continue
            if item.host in failed or self._reports_unreachable(item.host, gate):
                failures += not self._served_elsewhere.get(item.host)
                if failures == MAX_UNREACHED:
                    break
                if item.host in failed:
                    failed_domains.add(item.failure_domain)
                continue
            # A failure domain may be cut off as a whole.
            if item.failure_domain not in failed_domains:
                return item.host
            second_choice = second_choice or item.host
        return second_choice

    def _is_available(self, host: HostId, pool: PoolId) -> bool:
        """Returns whether a host accepts requests and reaches servers of a pool."""
        if pool in self._isolated_pools.get(host, ()):
            return False
        return host == self._host or self._is_reachable(host)

    def _reports_unreachable(self, host: HostId, gate: GateId) -> bool:
        unreachable = self._unreachable.get(host)
        if not unreachable:
            return False
        return unreachable.issuperset(self._gate_servers.get(gate.name, ()))

    def _list_unreached(self, gate: GateId) -> set[HostId]:
        """Returns the hosts at which attempts to reach a server just failed."""
        times = self._unreached.get(gate.name)
        if not times:
            return set()
        now = self._clock()
        for host in [host for host, until in times.items() if until <= now]:
            del times[host]
        return set(times)

    def _get_load(self, name: str) -> GateLoad:
        return self._loads.setdefault(name, GateLoad())
