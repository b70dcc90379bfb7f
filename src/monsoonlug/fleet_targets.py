"""Finds the gate of a request in a fleet that announces itself to control."""

import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from random import Random

from monsoonlug.admission import AdmittedRequest
from monsoonlug.exceptions import BackendFenced, MonsoonlugError
from monsoonlug.fleet import FleetView
from monsoonlug.gate import Outcome
from monsoonlug.gatehost import (
    ClosingTimes,
    GateId,
    LiveHost,
    name_gate,
    rank_hosts,
)
from monsoonlug.ids import Epoch, FailureDomain, HostId, PoolId, ServerId
from monsoonlug.jobs import POOLED
from monsoonlug.subscription import KeyBlocks
from monsoonlug.targets import Target, TargetFinder

PATIENCE = 0.9  # seconds that a request waits for an owner; about one heartbeat
FENCED_TIME = 0.25  # seconds until a server that did not hold a key is asked again
FOREIGN_COST = 0.060  # seconds; what bytes across a border are worth in waiting time
FIRST_WAIT = 0.150  # seconds, assumed of a gate that has not answered yet
MOST_WAIT = 2.0  # seconds; a longer wait says no more
WAIT_MEMORY = 0.5  # seconds after which a reported wait has faded to the usual one
USUAL_WEIGHT = 0.05  # of one answer in the usual wait, at least
USUAL_MEMORY = 3.0  # seconds after which the usual wait is that of the last answers
EQUAL_COST = 0.030  # seconds; gates that differ by less are chosen by chance


@dataclass(slots=True, kw_only=True)
class GateLoad:
    """What this host knows of the load of one gate; times in seconds."""

    wait: float = FIRST_WAIT
    usual: float = FIRST_WAIT
    told_at: float = 0.0

    def note(self, now: float, wait: float) -> None:
        """Takes the wait at a gate.

        The weight of an answer grows with the time since the last one. Each of many
        hosts sends a gate a request in a second or less, and would otherwise go on
        sending to a gate for long after it has become slow.
        """
        memory = 1 - math.exp(-max(0.0, now - self.told_at) / USUAL_MEMORY)
        weight = max(USUAL_WEIGHT, memory)
        self.usual += weight * (min(wait, MOST_WAIT) - self.usual)
        self.wait = wait
        self.told_at = now

    def estimate(self, now: float) -> float:
        """Returns the wait to expect, in seconds."""
        recent = max(0.0, 1 - (now - self.told_at) / WAIT_MEMORY)
        return self.usual + recent * (min(self.wait, MOST_WAIT) - self.usual)


class FleetFinder(TargetFinder):
    """Finds targets in the view and among the live hosts.

    Args:
        clock: Steady clock, in seconds.
        random: Source of the choice among equal gates.
        host: Name of this host.
        failure_domain: Failure domain of this host.
        is_reachable: Whether a stream to a host is open and answers.
        blocks: Keys that are between two owners.
        closings: When servers out of service are closed; its owner updates it.
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
        closings: ClosingTimes,
    ):
        super().__init__(clock=clock, random=random)
        self.wait_timeout = PATIENCE
        self._host = host
        self._domain = failure_domain
        self._is_reachable = is_reachable
        self._blocks = blocks
        self._fleet = FleetView()
        self._closings = closings
        self._pool_gates: dict[PoolId, list[GateId]] = {}
        self._hosts: list[LiveHost] = []
        self._ranks: dict[str, list[HostId]] = {}
        self._loads: dict[str, GateLoad] = {}

    def update_fleet(self, view: FleetView, gates: Iterable[GateId]) -> None:
        """Takes a view with changed items or servers, and its gates."""
        self._fleet = view
        self._pool_gates = {}
        for gate in gates:
            if gate.pool not in view.tables:
                self._pool_gates.setdefault(gate.pool, []).append(gate)

    def update_hosts(self, hosts: list[LiveHost]) -> None:
        """Takes the live entries."""
        self._hosts = hosts
        self._ranks = {}
        self.wake_waiters()

    def find(
        self, admitted: AdmittedRequest, exclude: Collection[ServerId] = ()
    ) -> Target | None:
        """Returns the target of a request, or None if there is none now."""
        if admitted.routing_key:
            return self._find_holder(admitted)
        return self._find_gate(admitted, exclude)

    def record_start(
        self, admitted: AdmittedRequest, target: Target, request_id: str
    ) -> None:
        """Does nothing; only the answers of a gate tell its load."""

    def record_finish(
        self,
        admitted: AdmittedRequest,
        target: Target,
        request_id: str,
        outcome: Outcome,
    ) -> None:
        """Counts the end of an attempt."""
        if outcome is Outcome.SHED and not admitted.routing_key:
            load = self._get_load(target.server)
            load.wait = MOST_WAIT
            load.told_at = self._clock()

    def record_wait(self, target: Target, wait: float) -> None:
        """Takes what a gate said of its load."""
        self._get_load(target.server).note(self._clock(), wait)

    def record_failure(self, target: Target, error: type[MonsoonlugError]) -> None:
        """Takes why an attempt failed.

        A server that does not hold a key will not hold it a few milliseconds later, and
        each request that it rejects counts against the bound on retries.
        """
        table = self._fleet.tables.get(PoolId(target.pool))
        if error is not BackendFenced or target.slice == POOLED or table is None:
            return
        row = table.find(target.slice)
        if row.epoch == target.slice_epoch:
            now = self._clock()
            self._blocks.add(
                now, table.pool, row.start, row.end, row.epoch, seconds=FENCED_TIME
            )

    def _find_holder(self, admitted: AdmittedRequest) -> Target | None:
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
        if now >= self._closings.find(row.owner):
            return None
        if self._blocks.is_blocked(now, pool, key, row.epoch):
            return None
        gate = name_gate(record)
        return Target(
            host=self._choose_host(gate),
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
        gates = self._pool_gates.get(pool, [])
        fresh = [gate for gate in gates if gate.name not in exclude]
        best = None
        for gate in fresh or gates:
            cost = self._rank_gate(gate)
            if best is None or cost < best[0]:
                best = (cost, gate)
        if best is None:
            return None
        return Target(
            host=self._choose_host(best[1]),
            server=ServerId(best[1].name),
            gate_epoch=Epoch(0),
            revision=self._fleet.revision,
            pool=pool,
        )

    def _rank_gate(self, gate: GateId) -> float:
        wait = self._get_load(gate.name).estimate(self._clock())
        foreign = FOREIGN_COST if gate.failure_domain != self._domain else 0.0
        return wait + foreign + EQUAL_COST * self._random.random()

    def _choose_host(self, gate: GateId) -> HostId:
        ranked = self._ranks.get(gate.name)
        if ranked is None:
            ranked = [host.host for host in rank_hosts(gate, self._hosts)]
            self._ranks[gate.name] = ranked
        for host in ranked:
            if host == self._host or self._is_reachable(host):
                return host
        return self._host

    def _get_load(self, name: str) -> GateLoad:
        return self._loads.setdefault(name, GateLoad())
