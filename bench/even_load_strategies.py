"""Strategies by which an entry chooses the gate of a request, in virtual time."""

import math
from abc import ABC, abstractmethod
from collections import Counter, deque
from dataclasses import dataclass
from random import Random

from monsoonlug.fleet_targets import (
    MAX_WAIT,
    REMOTE_DOMAIN_PENALTY,
    TIE_RANGE,
    GateLoad,
)
from monsoonlug.gatehost import GateId
from monsoonlug.ids import FailureDomain
from monsoonlug.load_spreading import PoolSpreader

LEASE_TIME = 1.0  # seconds for which shares of slots are leased
SAMPLED_GATES = 2
REPORT_MEMORY = 2.0  # seconds in which a report decays to the mean of the gates


@dataclass(frozen=True, slots=True, kw_only=True)
class GateMeasure:
    """What the alternatives need to know of a gate besides its wait.

    Attributes:
        utilization: Requests at the gate divided by the slots of its servers.
        capacity: Requests per second that its servers can run; 0 if unknown.
    """

    utilization: float
    capacity: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """What an entry learns from a response, or from a gate's refusal.

    Attributes:
        measured_at: When the gate measured it, in virtual seconds.
        wait: Predicted seconds until the gate responds to a new request.
        backlog: Requests at the gate, running and waiting.
        measure: Utilization and capacity; a response would need a further field.
    """

    measured_at: float
    wait: float
    backlog: int
    measure: GateMeasure


class GateChooser(ABC):
    """Base of the strategies of one entry.

    Args:
        random: Source of randomness.
        domain: Failure domain of the entry.
        entries: Number of entries that choose.
    """

    def __init__(self, *, random: Random, domain: FailureDomain, entries: int):
        self.random = random
        self.domain = domain
        self.entries = entries
        self.gates: dict[GateId, int] = {}

    def set_gates(self, gates: dict[GateId, int]) -> None:
        """Sets the gates with their slots."""
        self.gates = gates

    @abstractmethod
    def choose(self, now: float, tried: set[GateId]) -> GateId:
        """Returns the gate of a request."""

    def record_start(self, now: float, gate: GateId) -> None:  # noqa: B027
        """Records that a request was sent."""

    def record_end(self, now: float, gate: GateId) -> None:  # noqa: B027
        """Records that a request ended."""

    def record_response(  # noqa: B027
        self, now: float, gate: GateId, response: Response
    ) -> None:
        """Records what a response told."""

    def record_shed(self, now: float, gate: GateId) -> None:  # noqa: B027
        """Records that a gate refused a request."""

    def list_fresh(self, tried: set[GateId]) -> list[GateId]:
        """Returns the gates that were not tried, or all of them."""
        return [gate for gate in self.gates if gate not in tried] or list(self.gates)

    def find_penalty(self, gate: GateId) -> float:
        """Returns the seconds that a crossing between failure domains costs."""
        return 0.0 if gate.failure_domain == self.domain else REMOTE_DOMAIN_PENALTY


class LowestWait(GateChooser):
    """Baseline: the lowest wait with a penalty and a random spread."""

    def __init__(self, **arguments):
        super().__init__(**arguments)
        self._loads: dict[GateId, GateLoad] = {}

    def choose(self, now: float, tried: set[GateId]) -> GateId:
        best = None
        for gate in self.list_fresh(tried):
            cost = self._get_load(gate).estimate(now) + self.find_penalty(gate)
            cost += TIE_RANGE * self.random.random()
            if best is None or cost < best[0]:
                best = (cost, gate)
        return best[1]

    def record_response(self, now: float, gate: GateId, response: Response) -> None:
        self._get_load(gate).record(now, response.wait)

    def record_shed(self, now: float, gate: GateId) -> None:
        load = self._get_load(gate)
        load.last_wait = MAX_WAIT
        load.reported_at = now

    def _get_load(self, gate: GateId) -> GateLoad:
        return self._loads.setdefault(gate, GateLoad())


class _ReportingChooser(GateChooser):
    """Base of strategies that use the last report of each gate."""

    def __init__(self, **arguments):
        super().__init__(**arguments)
        self.responses: dict[GateId, Response] = {}
        self.mean_utilization = 0.5
        self._mean_capacity = 0.0

    def record_response(self, now: float, gate: GateId, response: Response) -> None:
        self.responses[gate] = response
        measures = [item.measure for item in self.responses.values()]
        total = sum(item.utilization for item in measures)
        self.mean_utilization = total / len(measures)
        known = [item.capacity for item in measures if item.capacity > 0]
        self._mean_capacity = sum(known) / len(known) if known else 0.0

    def find_capacity(self, gate: GateId) -> float:
        """Returns the reported requests per second, or the mean of the gates."""
        found = self.responses.get(gate)
        if found is not None and found.measure.capacity > 0:
            return found.measure.capacity
        return self._mean_capacity or float(self.gates[gate])

    def estimate_backlog(self, now: float, gate: GateId) -> float:
        """Returns the requests at a gate; the report decays to the mean utilization."""
        mean = self.mean_utilization * self.gates[gate]
        found = self.responses.get(gate)
        if found is None:
            return mean
        weight = math.exp(-(now - found.measured_at) / REPORT_MEMORY)
        return mean + weight * (found.backlog - mean)


class LeasedShares(_ReportingChooser):
    """Each entry gets an equal part of each gate's slots from a coordinator.

    The parts are renewed with the capacity of the gates at the time of the lease, which
    needs messages to and from the coordinator. An entry fills its parts evenly.
    """

    def __init__(self, *, coordinator: dict[GateId, GateMeasure], **arguments):
        super().__init__(**arguments)
        self._coordinator = coordinator
        self._running: Counter[GateId] = Counter()
        self._leased: dict[GateId, float] = {}
        self._leased_until = -math.inf

    def choose(self, now: float, tried: set[GateId]) -> GateId:
        if now >= self._leased_until:
            self._leased = {
                gate: report.capacity for gate, report in self._coordinator.items()
            }
            self._leased_until = now + LEASE_TIME
        best = None
        for gate in self.list_fresh(tried):
            # The coordinator knows no capacity before the first responses.
            capacity = self._leased.get(gate, 0.0) or float(self.gates[gate])
            part = capacity / self.entries
            cost = (self._running[gate] + self.random.random()) / part
            cost += self.find_penalty(gate)
            if best is None or cost < best[0]:
                best = (cost, gate)
        return best[1]

    def record_start(self, now: float, gate: GateId) -> None:
        self._running[gate] += 1

    def record_end(self, now: float, gate: GateId) -> None:
        self._running[gate] -= 1


class CountedSends(_ReportingChooser):
    """Lowest backlog: the last report, with own sends and those of peers since then.

    Peers are assumed to send what the gate can run at its reported utilization.
    """

    def __init__(self, **arguments):
        super().__init__(**arguments)
        self._sent: dict[GateId, deque[float]] = {}

    def choose(self, now: float, tried: set[GateId]) -> GateId:
        best = None
        for gate in self.list_fresh(tried):
            backlog = self.estimate_backlog(now, gate) + self._count_sent(now, gate)
            cost = (backlog + 1) / self.find_capacity(gate) + self.find_penalty(gate)
            cost += 1e-3 * self.random.random()
            if best is None or cost < best[0]:
                best = (cost, gate)
        return best[1]

    def record_start(self, now: float, gate: GateId) -> None:
        self._sent.setdefault(gate, deque()).append(now)

    def _count_sent(self, now: float, gate: GateId) -> int:
        sent = self._sent.get(gate)
        if not sent:
            return 0
        found = self.responses.get(gate)
        # A request has left the gate after the mean time that it takes there.
        stay = self.gates[gate] / self.find_capacity(gate)
        since = max(now - stay, found.measured_at if found is not None else -math.inf)
        while sent and sent[0] < since:
            sent.popleft()
        return len(sent)


class SampledGates(_ReportingChooser):
    """The lower reported backlog of two random gates, chosen by capacity."""

    def choose(self, now: float, tried: set[GateId]) -> GateId:
        fresh = self.list_fresh(tried)
        weights = [self.find_capacity(gate) for gate in fresh]
        best = None
        for gate in self.random.choices(fresh, weights, k=2 * SAMPLED_GATES):
            backlog = self.estimate_backlog(now, gate)
            cost = (backlog + 1) / self.find_capacity(gate) + self.find_penalty(gate)
            if best is None or cost < best[0]:
                best = (cost, gate)
        return best[1]


class FilledLevels(_ReportingChooser):
    """Spreads over the age of the information.

    A gate is chosen with a probability by which all gates that are below a level reach
    it with the requests that all entries send until the next reports.
    """

    def choose(self, now: float, tried: set[GateId]) -> GateId:
        rows = []
        total_rate = 0.0
        ages = []
        for gate in self.list_fresh(tried):
            capacity = self.find_capacity(gate)
            backlog = self.estimate_backlog(now, gate)
            rows.append((backlog / capacity + self.find_penalty(gate), capacity, gate))
            total_rate += self.mean_utilization * capacity
            found = self.responses.get(gate)
            ages.append(REPORT_MEMORY if found is None else now - found.measured_at)
        age = sorted(ages)[len(ages) // 2]
        rows.sort(key=lambda row: row[0])
        level = self._find_level(rows, total_rate * max(age, 0.01))
        weights = [max(0.0, level - cost) * capacity for cost, capacity, _ in rows]
        if sum(weights) <= 0:
            return rows[0][2]
        return self.random.choices([row[2] for row in rows], weights)[0]

    def _find_level(self, rows: list, work: float) -> float:
        capacity = 0.0
        filled = 0.0
        for position, (cost, part, _) in enumerate(rows):
            capacity += part
            filled += part * cost
            level = (work + filled) / capacity
            if position + 1 == len(rows) or level <= rows[position + 1][0]:
                return level
        return 0.0


class EvenSpread(GateChooser):
    """The product's strategy: `monsoonlug.load_spreading`."""

    def __init__(self, **arguments):
        super().__init__(**arguments)
        self.spreader = PoolSpreader(random=self.random, failure_domain=self.domain)

    def set_gates(self, gates: dict[GateId, int]) -> None:
        super().set_gates(gates)
        self.spreader.set_gates(gates)

    def choose(self, now: float, tried: set[GateId]) -> GateId:
        return self.spreader.choose(now, self.list_fresh(tried))

    def record_response(self, now: float, gate: GateId, response: Response) -> None:
        self.spreader.record_wait(now, gate.name, response.wait)

    def record_shed(self, now: float, gate: GateId) -> None:
        self.spreader.record_shed(now, gate.name)
