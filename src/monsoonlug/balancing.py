"""Load balancing of key ranges across the backend servers of a pool (pure functions).

Busy keys are often close together, so every server gets many narrow ranges that are
spread over the key space instead of one wide range.
"""

import math
from bisect import bisect_left
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace

from monsoonlug.ids import SLICE_COUNT, FailureDomain, ServerId
from monsoonlug.keyranges import KeyRange
from monsoonlug.lateness import (
    MAX_UTILIZATION,
    estimate_marginal_lateness,
    find_utilization,
)

RANGES_PER_SERVER = 20  # at first; the answer to a heartbeat is limited to 4 KiB
MAX_RANGES_PER_POOL = 4_096  # at first; every entry receives all of them
MIN_INITIAL_RANGES = 2  # of a slow server, so that its speed continues to be measured
MAX_INITIAL_RANGES = 52
GOLDEN_RATIO = 0.618034
MAX_RANGES_PER_SERVER = 64  # for the same reason
LOAD_DECAY_TIME = 3.0  # seconds; time constant of the average request rate of a key
HOT_KEY_DECAY_TIME = 0.8  # seconds; the same for the recent rate of a key
MIN_HOT_KEY_RATE = 8.0  # requests per second, from which the recent rate counts
MIN_RECENT_RATE = 0.5  # requests per second, below which it is no longer tracked
HOT_KEY_SHARE = 0.4  # of a server's rate, from which its busiest key is moved first
MIN_KEY_RATE = 0.02  # requests per second, below which a key is no longer tracked
INITIAL_UTILIZATION = 0.6  # of the pool, assumed before any load is measured

# A move pauses the service of its keys, which smaller gains are not worth.
MIN_MARGINAL_GAP = 0.15  # in marginal lateness, between source and target
MIN_KEY_MOVE_GAIN = 0.15  # of the source's utilization, saved by moving one hot key
MIN_MOVE_RATE = 0.5  # requests per second
MIN_DENSITY_RATIO = 1.0  # of the pool's mean requests for each key
MAX_MOVES_PER_SOURCE = 8  # ranges that one server releases at a time
BISECTION_STEPS = 16


@dataclass(slots=True, kw_only=True)
class ServerLoad:
    """Load of a backend server that may own keys.

    Attributes:
        slots: Requests that the server runs concurrently.
        utilization: Offered load divided by the capacity of the server's slots.
        cost: Increase of `utilization` per request per second.
        latency_factor: Service time of a request relative to the mean of the pool.
        is_cold: Whether the server bears only little load yet.
        key_count: Number of keys that the server owns.
        range_count: Number of ranges that the server owns.
    """

    server: ServerId
    failure_domain: FailureDomain = FailureDomain("")
    slots: int = 2
    utilization: float = 0.0
    cost: float = 0.0
    latency_factor: float = 1.0
    is_cold: bool = False
    key_count: int = 0
    range_count: int = 0

    def estimate_marginal_lateness(self, rate: float = 0.0) -> float:
        """Returns the late responses per further request, after adding a rate."""
        return estimate_marginal_lateness(
            self.latency_factor, self.utilization + rate * self.cost, self.slots
        )


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
    """Request rates of the keys of one pool.

    A rate is averaged over `LOAD_DECAY_TIME`. A key that suddenly becomes hot counts
    with its rate over `HOT_KEY_DECAY_TIME`, as moving it is urgent.
    """

    rates: dict[int, float] = field(default_factory=dict)
    updated_at: float = 0.0
    _recent: dict[int, float] = field(default_factory=dict)
    _sorted: list[int] | None = None

    def add(self, key: int, count: int) -> None:
        """Adds requests for a key."""
        if key not in self.rates:
            self._sorted = None
        self.rates[key] = self.rates.get(key, 0.0) + count / LOAD_DECAY_TIME
        self._recent[key] = self._recent.get(key, 0.0) + count / HOT_KEY_DECAY_TIME

    def decay(self, now: float) -> None:
        """Decays all rates to the given time and drops those below `MIN_KEY_RATE`."""
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        factor = math.exp(-elapsed / HOT_KEY_DECAY_TIME)
        self._recent = _decay_rates(self._recent, factor, MIN_RECENT_RATE)
        factor = math.exp(-elapsed / LOAD_DECAY_TIME)
        self.rates = _decay_rates(self.rates, factor, MIN_KEY_RATE)
        self._sorted = None

    @property
    def total(self) -> float:
        """Summed rate of all keys, without the recent rates of hot keys."""
        return sum(self.rates.values())

    def get_rate(self, key: int) -> float:
        """Returns the rate of a measured key."""
        recent = self._recent.get(key, 0.0)
        return max(self.rates[key], recent if recent >= MIN_HOT_KEY_RATE else 0.0)

    def iterate_between(self, start: int, end: int) -> Iterator[tuple[int, float]]:
        """Yields measured keys and their rates, from `start` to `end` included."""
        if self._sorted is None:
            self._sorted = sorted(self.rates)
        position = bisect_left(self._sorted, start)
        while position < len(self._sorted) and self._sorted[position] <= end:
            key = self._sorted[position]
            yield key, self.get_rate(key)
            position += 1

    def sum_between(self, start: int, end: int) -> float:
        """Returns the summed rate of all keys from `start` to `end` included."""
        return sum(rate for _, rate in self.iterate_between(start, end))


def _decay_rates(
    rates: dict[int, float], factor: float, minimum: float
) -> dict[int, float]:
    remaining = {}
    for key, rate in rates.items():
        decayed = rate * factor
        if decayed >= minimum:
            remaining[key] = decayed
    return remaining


def plan_initial_ranges(
    servers: Mapping[ServerId, ServerLoad],
) -> list[tuple[int, int, ServerId]]:
    """Returns start, end and owner of the initial ranges of a pool.

    Fast servers get more ranges, as far as their speeds are known.

    >>> loads = {name: ServerLoad(server=name) for name in map(ServerId, "ab")}
    >>> plan_initial_ranges(loads)[:2]
    [(0, 1637, 'a'), (1638, 3275, 'b')]
    """
    positions = []
    for number, (server, count) in enumerate(_count_initial_ranges(servers).items()):
        for turn in range(count):
            # An even spread with a varying offset, so that the neighbours of a server
            # vary.
            offset = GOLDEN_RATIO * (number + RANGES_PER_SERVER * turn) % 1
            positions.append(((turn + offset) / count, server))
    positions.sort()
    ranges = []
    for number, (_, owner) in enumerate(positions):
        start = number * SLICE_COUNT // len(positions)
        end = (number + 1) * SLICE_COUNT // len(positions) - 1
        ranges.append((start, end, owner))
    return ranges


def _count_initial_ranges(servers: Mapping[ServerId, ServerLoad]) -> dict:
    units = {}
    for name, item in servers.items():
        units[name] = replace(item, cost=item.latency_factor / item.slots)
    capacity = sum(1 / item.cost for item in units.values())
    rates = plan_rates(units, INITIAL_UTILIZATION * capacity)
    total = sum(rates.values())
    range_count = min(RANGES_PER_SERVER * len(servers), MAX_RANGES_PER_POOL)
    counts = {}
    for name, rate in rates.items():
        count = round(rate / total * range_count)
        counts[name] = min(max(count, MIN_INITIAL_RANGES), MAX_INITIAL_RANGES)
    return counts


def choose_target(
    candidates: Mapping[ServerId, ServerLoad],
    rate: float,
    *,
    excluded: Iterable[ServerId] = (),
) -> ServerLoad | None:
    """Returns the server with the lowest marginal lateness after adding a rate.

    Returns None if every server is excluded or has `MAX_RANGES_PER_SERVER`.
    """
    best = None
    for candidate in candidates.values():
        if (
            candidate.server in excluded
            or candidate.range_count >= MAX_RANGES_PER_SERVER
        ):
            continue
        rank = (
            candidate.is_cold,
            candidate.estimate_marginal_lateness(rate),
            candidate.key_count * candidate.latency_factor,
            candidate.server,
        )
        if best is None or rank < best[0]:
            best = (rank, candidate)
    return best[1] if best else None


def plan_rates(
    candidates: Mapping[ServerId, ServerLoad], total: float
) -> dict[ServerId, float]:
    """Divides a request rate so that the fewest responses are late.

    That is where one more request would cause equally many late responses on all
    servers. If the servers cannot bear the rate, all get the same utilization.

    Args:
        candidates: The servers; all have a cost above 0.
        total: Requests per second.
    """
    capacity = sum(MAX_UTILIZATION / item.cost for item in candidates.values())
    if total >= capacity:
        scale = total / capacity
        return {
            name: scale * MAX_UTILIZATION / item.cost
            for name, item in candidates.items()
        }
    low, high = 0.0, 1.0
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if sum(_list_rates(candidates, middle).values()) < total:
            low = middle
        else:
            high = middle
    rates = _list_rates(candidates, high)
    planned = sum(rates.values())
    if planned <= 0:
        return rates
    return {name: rate * total / planned for name, rate in rates.items()}


def _list_rates(
    candidates: Mapping[ServerId, ServerLoad], marginal: float
) -> dict[ServerId, float]:
    rates = {}
    for name, item in candidates.items():
        utilization = find_utilization(item.latency_factor, marginal, item.slots)
        rates[name] = utilization / item.cost
    return rates


def plan_moves(
    owned: Mapping[ServerId, list[KeyRange]],
    candidates: Mapping[ServerId, ServerLoad],
    loads: KeyLoads,
    *,
    excluded: set[ServerId],
    max_sources: int,
) -> list[RangeMove]:
    """Plans which keys to move away from servers with more than their best share.

    Args:
        owned: Ranges of each server.
        candidates: All servers that may own keys.
        loads: Request rates of the keys.
        excluded: Servers from which no keys may be moved now.
        max_sources: Maximum number of servers from which keys are moved.
    """
    costed = {name: item for name, item in candidates.items() if item.cost > 0}
    if len(costed) < 2 or max_sources <= 0:
        return []
    rates = {name: item.utilization / item.cost for name, item in costed.items()}
    warm = {name: item for name, item in costed.items() if not item.is_cold}
    planned = plan_rates(warm or costed, sum(rates.values()))
    excess = {name: rates[name] - planned.get(name, 0.0) for name in costed}
    marginals = {
        name: item.estimate_marginal_lateness() for name, item in costed.items()
    }
    room = {name: -value for name, value in excess.items() if value < 0}
    min_density = MIN_DENSITY_RATIO * loads.total / SLICE_COUNT
    moves: list[RangeMove] = []
    sources = 0
    for source in sorted(excess, key=lambda name: (-marginals[name], name)):
        if sources >= max_sources or not room:
            break
        if source in excluded or source in room:
            continue
        target = min(room, key=lambda name: (marginals[name], name))
        if marginals[source] - marginals[target] < MIN_MARGINAL_GAP:
            break
        wanted = min(excess[source], sum(room.values()))
        key_ranges = owned.get(source, [])
        hot_key = _find_hot_key(key_ranges, loads, costed[source], costed)
        if hot_key is not None and hot_key.rate >= HOT_KEY_SHARE * rates[source]:
            found = [hot_key]
        else:
            found = _find_range_parts(key_ranges, loads, wanted, min_density, source)
        if not found:
            continue
        sources += 1
        moves += found
        _take_room(room, sum(move.rate for move in found))
    return moves


def _take_room(room: dict[ServerId, float], rate: float) -> None:
    for name in sorted(room, key=lambda name: -room[name]):
        taken = min(rate, room[name])
        room[name] -= taken
        rate -= taken
        if room[name] < MIN_MOVE_RATE:
            del room[name]
        if rate <= 0:
            return


def _find_range_parts(
    ranges: list[KeyRange],
    loads: KeyLoads,
    wanted: float,
    min_density: float,
    source: ServerId,
) -> list[RangeMove]:
    """Returns ranges, or parts of them, with up to the wanted rate.

    Ranges with many requests for each key come first, as fewer keys then change hands,
    and those with less than `min_density` requests per second and key are kept.
    A part starts or ends where its range does, so that no range is split into three.
    """
    busy = []
    for key_range in ranges:
        rate = loads.sum_between(key_range.start, key_range.end)
        density = rate / key_range.size
        if rate >= MIN_MOVE_RATE and density >= min_density:
            busy.append((density, rate, key_range))
    busy.sort(key=lambda row: (-row[0], row[2].start))
    moves: list[RangeMove] = []
    for _, rate, key_range in busy:
        if wanted < MIN_MOVE_RATE or len(moves) >= MAX_MOVES_PER_SOURCE:
            break
        move: RangeMove | None = RangeMove(
            start=key_range.start, end=key_range.end, source=source, rate=rate
        )
        if rate > wanted:
            keys = list(loads.iterate_between(key_range.start, key_range.end))
            move = _cut_range(key_range, keys, wanted, source)
        if move is None or move.rate < MIN_MOVE_RATE:
            continue
        moves.append(move)
        wanted -= move.rate
    return moves


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
    if target_load is None or target_load.is_cold:
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
