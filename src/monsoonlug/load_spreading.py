"""Spreads the requests of a pool over its gates by their capacity.

An entry learns of a gate only from the gate's responses, seconds apart if there are
many entries, and all entries choose at the same time. The gate that looked best in its
last response is therefore not preferred by itself. Each response carries the time that
the gate predicts for a request. The least that a gate predicts shows its capacity; what
it predicts beyond that is time spent waiting. Requests are divided among the gates of
the entry's failure domain by these times, evenly in each short period. A share goes to
other failure domains while waiting there is shorter by more than the crossing costs.

The load that it responds to is the waiting time at the gates.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from random import Random

from monsoonlug.fleet_messages import FleetServer
from monsoonlug.gate_measures import MIN_SPREAD_SLOTS
from monsoonlug.gatehost import GateId
from monsoonlug.ids import FailureDomain, PoolId

# Seconds of waiting that a request must save to cross between failure domains.
CROSSING_COST = 0.060
MAX_SPILL = 0.75  # share of an entry's requests that other failure domains get at most
# Share that is spilled at once for each second that it saves beyond the cost, and by
# which the share rises in each second. If the share rose faster, the waits of the
# domains would swing, as it acts on them only after the age of the information.
SPILL_GAIN = 3.0  # per second
SPILL_RATE = 0.3  # per square second
# The same while a request saves less than it costs. The share returns to 0 within some
# seconds of the end of a peak, instead of nearly a minute.
SPILL_RETURN_RATE = 4.0  # per square second
TIME_CONSTANT = 0.5  # seconds; of the moving average of a gate's predictions
MIN_WEIGHT = 0.3  # of one response in that average
MAX_PREDICTION = 2.0  # seconds; longer predictions are counted as this
MIN_PREDICTION = 0.001  # seconds; shorter ones are counted as this
# Seconds in which the least prediction of a gate follows its mean, so that a gate whose
# servers have become slower is not taken for one where requests wait.
BASE_TIME = 15.0
MAX_BASE_WEIGHT = 0.05  # of one response in the least prediction
WAIT_TTL = 10.0  # seconds after which a gate's waiting time is not known
# Waiting time of another failure domain, relative to the own one, that is assumed while
# nothing is known. Few requests are spilled at first, and their responses correct it.
UNKNOWN_WAIT_RATIO = 0.5
SHED_TIME = 0.5  # seconds for which a gate that refused a request is avoided


@dataclass(slots=True, kw_only=True)
class _GateState:
    """What is known of a gate; times in seconds.

    Attributes:
        credit: Requests that the gate is behind its share.
        predicted: Moving average of the predictions; 0 before the first.
        base: Least prediction, without waiting.
        sent: Requests that were sent to it.
    """

    gate: GateId
    slots: int
    credit: float
    predicted: float = 0.0
    base: float = 0.0
    reported_at: float = -math.inf
    avoided_until: float = -math.inf
    sent: int = 0

    def record(self, now: float, predicted: float, mean_base: float) -> None:
        predicted = min(max(predicted, MIN_PREDICTION), MAX_PREDICTION)
        age = now - self.reported_at
        self.reported_at = now
        if self.predicted <= 0:
            self.predicted = predicted
            # Requests may already wait at a gate that is heard of for the first time.
            self.base = min(predicted, mean_base)
            return
        weight = max(MIN_WEIGHT, 1 - math.exp(-age / TIME_CONSTANT))
        self.predicted += weight * (predicted - self.predicted)
        weight = min(MAX_BASE_WEIGHT, 1 - math.exp(-age / BASE_TIME))
        self.base += weight * (self.predicted - self.base)
        self.base = min(self.base, self.predicted)

    def rate_knowledge(self, now: float) -> float:
        """Returns from 1 to 0 how far the information about the gate is in date."""
        return max(0.0, 1 - (now - self.reported_at) / WAIT_TTL)


@dataclass(slots=True, kw_only=True)
class _DomainTotal:
    """Totals of the gates of a failure domain that may be chosen."""

    weight: float = 0.0
    known_weight: float = 0.0
    waits: float = 0.0  # weighted seconds

    def add(self, now: float, state: _GateState, weight: float) -> None:
        known = weight * state.rate_knowledge(now)
        self.weight += weight
        if known > 0:
            self.known_weight += known
            self.waits += known * (state.predicted - state.base)

    @property
    def mean_wait(self) -> float:
        """Mean waiting time of the gates that are known."""
        return self.waits / self.known_weight if self.known_weight > 0 else 0.0

    def estimate_wait(self, assumed: float) -> float:
        """Returns the mean waiting time; `assumed` stands for what is not known."""
        unknown = self.weight - self.known_weight
        return (self.waits + unknown * assumed) / self.weight


class PoolSpreader:
    """Chooses the gates of one pool for the requests of one entry.

    Args:
        random: Source of the initial order of the gates, which differs between entries.
        failure_domain: Failure domain of the entry.
    """

    def __init__(self, *, random: Random, failure_domain: FailureDomain):
        self._random = random
        self._domain = failure_domain
        self._gates: dict[str, _GateState] = {}
        # Mean of the gates since the last change of a prediction or of the slots.
        self._mean_rate: float | None = None
        self._spill = 0.0
        self._spill_base = 0.0
        self._spill_updated_at = -math.inf

    @property
    def spill(self) -> float:
        """Share of the requests that other failure domains get."""
        return self._spill

    @property
    def sent(self) -> dict[str, int]:
        """Requests sent to each gate since it was added."""
        return {name: state.sent for name, state in self._gates.items()}

    def set_gates(self, gates: Mapping[GateId, int]) -> None:
        """Sets the gates with their slots; forgets all others."""
        states = {}
        # A new gate starts near the mean credit; with another one it would get a burst
        # of requests, or none for a while.
        credits = [state.credit for state in self._gates.values()]
        mean_credit = sum(credits) / len(credits) if credits else 0.0
        for gate, slots in gates.items():
            state = self._gates.get(gate.name)
            if state is None:
                credit = mean_credit + self._random.random() - 0.5
                state = _GateState(gate=gate, slots=slots, credit=credit)
            state.slots = slots
            states[gate.name] = state
        self._gates = states
        self._mean_rate = None

    def record_wait(self, now: float, name: str, predicted: float) -> None:
        """Records the seconds that a gate predicts for a new request."""
        state = self._gates.get(name)
        if state is not None:
            mean_base = self._find_mean_base() if state.predicted <= 0 else 0.0
            state.record(now, predicted, mean_base)
            self._mean_rate = None

    def _find_mean_base(self) -> float:
        """Returns the mean of the least predictions, in seconds, or infinity."""
        bases = [state.base for state in self._gates.values() if state.base > 0]
        return sum(bases) / len(bases) if bases else math.inf

    def record_shed(self, now: float, name: str) -> None:
        """Avoids a gate that refused a request."""
        state = self._gates.get(name)
        if state is not None:
            state.avoided_until = now + SHED_TIME

    def choose(
        self,
        now: float,
        gates: Sequence[GateId],
        *,
        crossing_cost: float = CROSSING_COST,
    ) -> GateId | None:
        """Returns the gate of the next request, or None if there is none.

        Args:
            now: Seconds of a monotonic clock.
            gates: Gates that may be chosen.
            crossing_cost: Seconds of waiting that the request must save to cross
                between failure domains.
        """
        states = [self._gates[gate.name] for gate in gates if gate.name in self._gates]
        if not states:
            return None
        states = [state for state in states if now >= state.avoided_until] or states
        weights = self._weigh(states)
        totals: dict[FailureDomain, _DomainTotal] = {}
        for state, weight in zip(states, weights, strict=True):
            domain = state.gate.failure_domain
            total = totals.get(domain)
            if total is None:
                total = totals[domain] = _DomainTotal()
            total.add(now, state, weight)
        shares = self._divide(now, totals, crossing_cost)
        best = None
        for state, weight in zip(states, weights, strict=True):
            domain = state.gate.failure_domain
            # A gate may have credit left from the time of an earlier share.
            if shares[domain] <= 0:
                continue
            state.credit += shares[domain] * weight / totals[domain].weight
            if best is None or state.credit > best.credit:
                best = state
        best.credit -= 1.0
        best.sent += 1
        return best.gate

    def _weigh(self, states: list[_GateState]) -> list[float]:
        """Returns the weight of each gate: its slots by the time of a request."""
        mean = self._mean_rate
        if mean is None:
            mean = self._mean_rate = self._find_mean_rate()
        weights = []
        for state in states:
            # A gate without responses counts as the mean of the others.
            rate = 1 / state.predicted if state.predicted > 0 else mean
            weights.append(state.slots * rate)
        return weights

    def _find_mean_rate(self) -> float:
        """Returns the requests per second of one slot, or 1 if nothing is known."""
        slots = 0
        weight = 0.0
        for state in self._gates.values():
            if state.predicted > 0:
                slots += state.slots
                weight += state.slots / state.predicted
        return weight / slots if slots else 1.0

    def _divide(
        self,
        now: float,
        totals: dict[FailureDomain, _DomainTotal],
        crossing_cost: float,
    ) -> dict[FailureDomain, float]:
        """Returns the share of the requests for each failure domain."""
        others = {name: item for name, item in totals.items() if name != self._domain}
        if not others:
            return {self._domain: 1.0}
        own = totals.get(self._domain)
        own_wait = own.mean_wait if own is not None else 0.0
        waits = {}
        rooms = {}
        for name, item in others.items():
            waits[name] = item.estimate_wait(UNKNOWN_WAIT_RATIO * own_wait)
            # The shorter the wait, the more of the spilled requests a domain gets.
            rooms[name] = item.weight * CROSSING_COST / (CROSSING_COST + waits[name])
        room = sum(rooms.values())
        shares = {name: value / room for name, value in rooms.items()}
        if own is None:
            return shares
        saved = own_wait
        for name, share in shares.items():
            saved -= share * waits[name]
        if crossing_cost > CROSSING_COST:
            # Requests that cost more to cross leave the spill of the others as it is.
            spill = SPILL_GAIN * (saved - crossing_cost)
            spill = min(max(spill, 0.0), MAX_SPILL)
        else:
            self._update_spill(now, saved)
            spill = self._spill
        shares = {name: spill * share for name, share in shares.items()}
        shares[self._domain] = 1 - spill
        return shares

    def _update_spill(self, now: float, saved: float) -> None:
        """Raises the spilled share while it saves more than it costs, or lowers it."""
        elapsed = min(now - self._spill_updated_at, 1.0)
        self._spill_updated_at = now
        excess = saved - CROSSING_COST
        rate = SPILL_RATE if excess > 0 else SPILL_RETURN_RATE
        self._spill_base += elapsed * rate * excess
        self._spill_base = min(max(self._spill_base, 0.0), MAX_SPILL)
        spill = self._spill_base + SPILL_GAIN * excess
        self._spill = min(max(spill, 0.0), MAX_SPILL)


class LoadSpreader:
    """Spreads the requests of all pools whose servers have many slots.

    Args:
        random: Source of the initial order of the gates.
        failure_domain: Failure domain of this host.
    """

    def __init__(self, *, random: Random, failure_domain: FailureDomain):
        self._random = random
        self._domain = failure_domain
        self._pools: dict[PoolId, PoolSpreader] = {}

    @property
    def max_spill(self) -> float:
        """Largest share of a pool's requests that other failure domains get."""
        return max((item.spill for item in self._pools.values()), default=0.0)

    def count_sent(self) -> dict[str, int]:
        """Returns the requests that this entry sent to each gate since it was added."""
        counts = {}
        for spreader in self._pools.values():
            counts.update(spreader.sent)
        return counts

    def update(self, gates: Mapping[GateId, Iterable[FleetServer]]) -> None:
        """Applies the gates of all pools without keys; forgets all others."""
        slots: dict[PoolId, dict[GateId, int]] = {}
        excluded = set()
        for gate, records in gates.items():
            counts = [record.slots for record in records]
            if min(counts) < MIN_SPREAD_SLOTS:
                excluded.add(gate.pool)
            slots.setdefault(gate.pool, {})[gate] = sum(counts)
        for pool in excluded:
            del slots[pool]
        for pool in set(self._pools) - set(slots):
            del self._pools[pool]
        for pool, pool_gates in slots.items():
            if pool not in self._pools:
                self._pools[pool] = PoolSpreader(
                    random=self._random, failure_domain=self._domain
                )
            self._pools[pool].set_gates(pool_gates)

    def is_spread(self, pool: PoolId) -> bool:
        """Returns whether the requests of a pool are spread by capacity."""
        return pool in self._pools

    def choose(
        self,
        now: float,
        pool: PoolId,
        gates: Sequence[GateId],
        *,
        crossing_cost: float = CROSSING_COST,
    ) -> GateId | None:
        """Returns the gate of the next request of a pool; see `PoolSpreader`."""
        return self._pools[pool].choose(now, gates, crossing_cost=crossing_cost)

    def record_wait(self, now: float, pool: str, name: str, predicted: float) -> None:
        """Records the seconds that a gate predicts for a new request."""
        spreader = self._pools.get(PoolId(pool))
        if spreader is not None:
            spreader.record_wait(now, name, predicted)

    def record_shed(self, now: float, pool: str, name: str) -> None:
        """Avoids a gate that refused a request."""
        spreader = self._pools.get(PoolId(pool))
        if spreader is not None:
            spreader.record_shed(now, name)
