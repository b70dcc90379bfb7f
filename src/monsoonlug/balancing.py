"""Load balancing of key ranges across the backend servers of a pool (pure functions).

Busy keys are often close together, so every server gets many narrow ranges that are
spread over the key space instead of one wide range.
"""

import math
from bisect import bisect_left
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from monsoonlug.ids import SLICE_COUNT, FailureDomain, ServerId
from monsoonlug.keyranges import KeyRange

RANGES_PER_SERVER = 20  # at first; the answer to a heartbeat is limited to 4 KiB
MAX_RANGES_PER_SERVER = 64  # for the same reason
LOAD_DECAY_TIME = 3.0  # seconds; time constant of the average request rate of a key
MIN_KEY_RATE = 0.02  # requests per second, below which a key is no longer tracked
OVERLOAD_THRESHOLD = 0.35  # weighted utilization above which keys are moved away
LATENCY_FACTOR_EXPONENT = 0.5  # of the latency factor, in the weighted utilization

# A move pauses the service of its keys, which smaller gains are not worth.
MIN_LOAD_GAP = 0.20  # in weighted utilization, between source and target
MIN_KEY_MOVE_GAIN = 0.15  # of the source's utilization, saved by moving one hot key
MIN_MOVE_RATIO = 0.25  # of the target rate
MIN_MOVE_RATE = 0.5  # requests per second


@dataclass(slots=True, kw_only=True)
class ServerLoad:
    """Load of a backend server that may own keys.

    Attributes:
        utilization: Offered load divided by the capacity of the server's slots.
        cost: Increase of `utilization` per request per second.
        latency_factor: Service time of a request relative to the mean of the pool.
        key_count: Number of keys that the server owns.
        range_count: Number of ranges that the server owns.
    """

    server: ServerId
    failure_domain: FailureDomain = FailureDomain("")
    utilization: float = 0.0
    cost: float = 0.0
    latency_factor: float = 1.0
    key_count: int = 0
    range_count: int = 0

    @property
    def latency_weight(self) -> float:
        """Factor by which the latency factor increases the weighted utilization.

        Requests to a slow server are late even without a queue, so a slow server gets
        less work than would make it as busy as a fast one.
        """
        return self.latency_factor**LATENCY_FACTOR_EXPONENT

    @property
    def weighted_utilization(self) -> float:
        """Utilization, weighted by the latency factor of the server."""
        return self.utilization * self.latency_weight


@dataclass(frozen=True, slots=True, kw_only=True)
class RangeMove:
    """A planned move of a key range away from a server.

    Attributes:
        start: First key.
        end: Last key, included.
        source: Server that owns the keys.
        rate: Requests per second of the keys.
    """

    start: int
    end: int
    source: ServerId
    rate: float = 0.0


@dataclass(slots=True, kw_only=True)
class KeyLoads:
    """Request rates of the keys of one pool, averaged over `LOAD_DECAY_TIME`."""

    rates: dict[int, float] = field(default_factory=dict)
    updated_at: float = 0.0
    _sorted: list[int] | None = None

    def add(self, key: int, count: int) -> None:
        """Adds requests for a key."""
        if key not in self.rates:
            self._sorted = None
        self.rates[key] = self.rates.get(key, 0.0) + count / LOAD_DECAY_TIME

    def decay(self, now: float) -> None:
        """Decays all rates to the given time and drops those below `MIN_KEY_RATE`."""
        factor = math.exp(-max(0.0, now - self.updated_at) / LOAD_DECAY_TIME)
        self.updated_at = now
        remaining = {}
        for key, rate in self.rates.items():
            decayed = rate * factor
            if decayed >= MIN_KEY_RATE:
                remaining[key] = decayed
        self.rates = remaining
        self._sorted = None

    def iterate_between(self, start: int, end: int) -> Iterator[tuple[int, float]]:
        """Yields measured keys and their rates, from `start` to `end` included."""
        if self._sorted is None:
            self._sorted = sorted(self.rates)
        position = bisect_left(self._sorted, start)
        while position < len(self._sorted) and self._sorted[position] <= end:
            key = self._sorted[position]
            yield key, self.rates[key]
            position += 1

    def sum_between(self, start: int, end: int) -> float:
        """Returns the summed rate of all keys from `start` to `end` included."""
        return sum(rate for _, rate in self.iterate_between(start, end))


def plan_initial_ranges(servers: list[ServerId]) -> list[tuple[int, int, ServerId]]:
    """Returns start, end and owner of the initial ranges of a pool.

    >>> plan_initial_ranges([ServerId("a"), ServerId("b")])[:2]
    [(0, 1637, 'a'), (1638, 3275, 'b')]
    """
    count = len(servers) * RANGES_PER_SERVER
    ranges = []
    for number in range(count):
        start = number * SLICE_COUNT // count
        end = (number + 1) * SLICE_COUNT // count - 1
        # Rotates the order in each round, so that the neighbours of a server vary.
        offset = number // len(servers)
        owner = servers[(number + offset) % len(servers)]
        ranges.append((start, end, owner))
    return ranges


def choose_target(
    candidates: Mapping[ServerId, ServerLoad],
    rate: float,
    *,
    excluded: Iterable[ServerId] = (),
) -> ServerLoad | None:
    """Returns the server with the lowest weighted utilization after adding a rate.

    Returns None if every server is excluded or has `MAX_RANGES_PER_SERVER`.
    """
    best = None
    for candidate in candidates.values():
        if (
            candidate.server in excluded
            or candidate.range_count >= MAX_RANGES_PER_SERVER
        ):
            continue
        utilization = candidate.utilization + rate * candidate.cost
        rank = (
            utilization * candidate.latency_weight,
            candidate.key_count,
            candidate.server,
        )
        if best is None or rank < best[0]:
            best = (rank, candidate)
    return best[1] if best else None


def plan_moves(
    owned: Mapping[ServerId, list[KeyRange]],
    candidates: Mapping[ServerId, ServerLoad],
    loads: KeyLoads,
    *,
    excluded: set[ServerId],
    max_moves: int,
) -> list[RangeMove]:
    """Plans which keys to move away from the servers with the highest utilization.

    Args:
        owned: Ranges of each server.
        candidates: All servers that may own keys.
        loads: Request rates of the keys.
        excluded: Servers from which no keys may be moved now.
        max_moves: Maximum number of moves to plan.
    """
    moves: list[RangeMove] = []
    utilizations = {
        name: candidate.weighted_utilization for name, candidate in candidates.items()
    }
    for source in sorted(utilizations, key=lambda name: -utilizations[name]):
        if len(moves) >= max_moves or utilizations[source] < OVERLOAD_THRESHOLD:
            break
        if source in excluded:
            continue
        target = min(utilizations, key=lambda name: (utilizations[name], name))
        source_load, target_load = candidates[source], candidates[target]
        gap = utilizations[source] - utilizations[target]
        costs = (
            source_load.cost * source_load.latency_weight
            + target_load.cost * target_load.latency_weight
        )
        if gap < MIN_LOAD_GAP or costs <= 0:
            continue
        key_ranges = owned.get(source, [])
        move = _find_range_part(key_ranges, loads, gap / costs, source)
        if move is None:
            move = _find_hot_key(key_ranges, loads, source_load, candidates)
        if move is None:
            continue
        moves.append(move)
        utilizations[source] -= (
            move.rate * source_load.cost * source_load.latency_weight
        )
        utilizations[target] += (
            move.rate * target_load.cost * target_load.latency_weight
        )
    return moves


def _find_range_part(
    ranges: list[KeyRange], loads: KeyLoads, target_rate: float, source: ServerId
) -> RangeMove | None:
    """Returns the part of a range with the highest rate up to the target rate.

    A part starts or ends where its range does, so that no range is split into three.
    """
    best: RangeMove | None = None
    for key_range in ranges:
        keys = list(loads.iterate_between(key_range.start, key_range.end))
        total = sum(rate for _, rate in keys)
        if best is not None and total <= best.rate:
            continue
        if total <= target_rate:
            best = RangeMove(
                start=key_range.start, end=key_range.end, source=source, rate=total
            )
            continue
        part = _cut_range(key_range, keys, target_rate, source)
        if part is not None and (best is None or part.rate > best.rate):
            best = part
    if best is None or best.rate < max(MIN_MOVE_RATE, MIN_MOVE_RATIO * target_rate):
        return None
    return best


def _find_hot_key(
    ranges: list[KeyRange],
    loads: KeyLoads,
    source_load: ServerLoad,
    candidates: Mapping[ServerId, ServerLoad],
) -> RangeMove | None:
    """Returns a move of the busiest key, if another server has enough room for it."""
    busiest: tuple[float, int] | None = None
    for key_range in ranges:
        for key, rate in loads.iterate_between(key_range.start, key_range.end):
            if busiest is None or rate > busiest[0]:
                busiest = (rate, key)
    if busiest is None:
        return None
    rate, key = busiest
    target_load = choose_target(candidates, rate, excluded=(source_load.server,))
    if target_load is None:
        return None
    saved = source_load.utilization - (
        target_load.utilization + rate * target_load.cost
    )
    if saved < MIN_KEY_MOVE_GAIN * source_load.utilization:
        return None
    return RangeMove(start=key, end=key, source=source_load.server, rate=rate)


def _cut_range(
    key_range: KeyRange,
    keys: list[tuple[int, float]],
    target_rate: float,
    source: ServerId,
) -> RangeMove | None:
    best = None
    for forward in (True, False):
        total = 0.0
        edge = None
        for key, rate in keys if forward else reversed(keys):
            if total + rate > target_rate:
                break
            total += rate
            edge = key
        if edge is None or (best is not None and total <= best.rate):
            continue
        start, end = (key_range.start, edge) if forward else (edge, key_range.end)
        best = RangeMove(start=start, end=end, source=source, rate=total)
    return best
