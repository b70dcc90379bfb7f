"""Plans of which backend server gets which keys (pure functions).

Busy keys lie close to one another, so every server gets many narrow ranges that are
spread over all keys instead of one wide range.
"""

import math
from bisect import bisect_left
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from monsoonlug.ids import SLICE_COUNT, FailureDomain, ServerId
from monsoonlug.keyranges import KeyRange

RANGES_PER_SERVER = 20  # at the first assignment; a heartbeat's answer has 4 KiB
MAX_RANGES = 64  # of one server, for the same reason
LOAD_MEMORY = 3.0  # seconds over which the requests of a key are averaged
LEAST_RATE = 0.02  # requests per second below which a key is forgotten
HOT_PRESSURE = 0.35  # above which a server gives keys away
LEAST_GAP = 0.20  # in pressure between two servers that makes a move worth its pause
SLOW_EXPONENT = 0.5  # of the slowness, in the pressure on a server
KEY_GAIN = 0.15  # of its use that the move of a single busy key must save
SMALL_SHARE = 0.25  # of the wanted rate below which a part is not worth its pause
LEAST_SHIFT = 0.5  # requests per second below which no part is worth its pause


@dataclass(slots=True, kw_only=True)
class Receiver:
    """A backend server that may own keys.

    Attributes:
        use: Offered load over what its slots bear.
        cost: Growth of `use` for each request per second.
        slowness: Time of a request relative to the mean of the pool.
        size: Keys that it owns.
        ranges: Ranges that it owns.
    """

    server: ServerId
    failure_domain: FailureDomain = FailureDomain("")
    use: float = 0.0
    cost: float = 0.0
    slowness: float = 1.0
    size: int = 0
    ranges: int = 0

    @property
    def weight(self) -> float:
        """Pressure for each unit of use.

        Requests on a slow server are late even without a queue, so it gets less work
        than what would keep its slots as busy as those of a fast one.
        """
        return self.slowness**SLOW_EXPONENT

    @property
    def pressure(self) -> float:
        """Use, weighted by how late the server's answers are."""
        return self.use * self.weight


@dataclass(frozen=True, slots=True, kw_only=True)
class Shift:
    """A plan to give keys of one server to another, or to whom it suits best."""

    start: int
    end: int
    source: ServerId
    rate: float = 0.0


@dataclass(slots=True, kw_only=True)
class KeyLoads:
    """Requests per second of the keys of one pool, averaged over `LOAD_MEMORY`."""

    rates: dict[int, float] = field(default_factory=dict)
    updated_at: float = 0.0
    _sorted: list[int] | None = None

    def add(self, key: int, count: int) -> None:
        """Counts requests for a key."""
        if key not in self.rates:
            self._sorted = None
        self.rates[key] = self.rates.get(key, 0.0) + count / LOAD_MEMORY

    def age(self, now: float) -> None:
        """Lets the counts fade with time."""
        factor = math.exp(-max(0.0, now - self.updated_at) / LOAD_MEMORY)
        self.updated_at = now
        kept = {}
        for key, rate in self.rates.items():
            faded = rate * factor
            if faded >= LEAST_RATE:
                kept[key] = faded
        self.rates = kept
        self._sorted = None

    def iterate_between(self, start: int, end: int) -> Iterator[tuple[int, float]]:
        """Yields measured keys between two keys, both included, and their rates."""
        if self._sorted is None:
            self._sorted = sorted(self.rates)
        position = bisect_left(self._sorted, start)
        while position < len(self._sorted) and self._sorted[position] <= end:
            key = self._sorted[position]
            yield key, self.rates[key]
            position += 1

    def sum_between(self, start: int, end: int) -> float:
        """Returns the requests per second of all keys between two keys."""
        return sum(rate for _, rate in self.iterate_between(start, end))


def plan_stripes(servers: list[ServerId]) -> list[tuple[int, int, ServerId]]:
    """Returns start, end and owner of the first ranges of a pool.

    >>> plan_stripes([ServerId("a"), ServerId("b")])[:2]
    [(0, 1637, 'a'), (1638, 3275, 'b')]
    """
    count = len(servers) * RANGES_PER_SERVER
    stripes = []
    for number in range(count):
        start = number * SLICE_COUNT // count
        end = (number + 1) * SLICE_COUNT // count - 1
        # Each round starts at another server, so that none is next to the same others.
        turn = number // len(servers)
        owner = servers[(number + turn) % len(servers)]
        stripes.append((start, end, owner))
    return stripes


def choose_receiver(
    receivers: Mapping[ServerId, Receiver],
    rate: float,
    *,
    exclude: Iterable[ServerId] = (),
) -> Receiver | None:
    """Returns the server that bears a rate of requests best, or None."""
    best = None
    for receiver in receivers.values():
        if receiver.server in exclude or receiver.ranges >= MAX_RANGES:
            continue
        use = receiver.use + rate * receiver.cost
        rank = (use * receiver.weight, receiver.size, receiver.server)
        if best is None or rank < best[0]:
            best = (rank, receiver)
    return best[1] if best else None


def plan_shifts(
    owned: Mapping[ServerId, list[KeyRange]],
    receivers: Mapping[ServerId, Receiver],
    loads: KeyLoads,
    *,
    busy: set[ServerId],
    limit: int,
) -> list[Shift]:
    """Plans which keys leave the servers with the highest use.

    Args:
        owned: Ranges of each server.
        receivers: All servers that may own keys.
        loads: Requests per second of the keys.
        busy: Servers that already give keys away.
        limit: Number of shifts to plan at most.
    """
    shifts: list[Shift] = []
    pressures = {name: item.pressure for name, item in receivers.items()}
    for source in sorted(pressures, key=lambda name: -pressures[name]):
        if len(shifts) >= limit or pressures[source] < HOT_PRESSURE:
            break
        if source in busy:
            continue
        target = min(pressures, key=lambda name: (pressures[name], name))
        giver, taker = receivers[source], receivers[target]
        gap = pressures[source] - pressures[target]
        costs = giver.cost * giver.weight + taker.cost * taker.weight
        if gap < LEAST_GAP or costs <= 0:
            continue
        rows = owned.get(source, [])
        shift = _find_part(rows, loads, gap / costs, source)
        if shift is None:
            shift = _find_key(rows, loads, giver, receivers)
        if shift is None:
            continue
        shifts.append(shift)
        pressures[source] -= shift.rate * giver.cost * giver.weight
        pressures[target] += shift.rate * taker.cost * taker.weight
    return shifts


def _find_part(
    ranges: list[KeyRange], loads: KeyLoads, wanted: float, source: ServerId
) -> Shift | None:
    """Returns the part of a range whose rate comes closest to the wanted one.

    A part starts or ends where its range does, so that no range is cut in three.
    """
    best: Shift | None = None
    for row in ranges:
        keys = list(loads.iterate_between(row.start, row.end))
        total = sum(rate for _, rate in keys)
        if best is not None and total <= best.rate:
            continue
        if total <= wanted:
            best = Shift(start=row.start, end=row.end, source=source, rate=total)
            continue
        part = _cut_part(row, keys, wanted, source)
        if part is not None and (best is None or part.rate > best.rate):
            best = part
    if best is None or best.rate < max(LEAST_SHIFT, SMALL_SHARE * wanted):
        return None
    return best


def _find_key(
    ranges: list[KeyRange],
    loads: KeyLoads,
    giver: Receiver,
    receivers: Mapping[ServerId, Receiver],
) -> Shift | None:
    """Returns the busiest key of a server if a faster server bears it better."""
    busiest: tuple[float, int] | None = None
    for row in ranges:
        for key, rate in loads.iterate_between(row.start, row.end):
            if busiest is None or rate > busiest[0]:
                busiest = (rate, key)
    if busiest is None:
        return None
    rate, key = busiest
    taker = choose_receiver(receivers, rate, exclude=(giver.server,))
    if taker is None:
        return None
    saved = giver.use - (taker.use + rate * taker.cost)
    if saved < KEY_GAIN * giver.use:
        return None
    return Shift(start=key, end=key, source=giver.server, rate=rate)


def _cut_part(
    row: KeyRange, keys: list[tuple[int, float]], wanted: float, source: ServerId
) -> Shift | None:
    best = None
    for forward in (True, False):
        total = 0.0
        edge = None
        for key, rate in keys if forward else reversed(keys):
            if total + rate > wanted:
                break
            total += rate
            edge = key
        if edge is None or (best is not None and total <= best.rate):
            continue
        start, end = (row.start, edge) if forward else (edge, row.end)
        best = Shift(start=start, end=end, source=source, rate=total)
    return best
