"""Heavy-hitter counters for slices and keys, in bounded memory."""

from monsoonlug.ids import PoolId

MAX_COUNTERS = 512  # for slices, and as many for keys
MAX_ROWS = 64  # in a report, for slices, and as many for keys
REPORT_INTERVAL = 1.0  # seconds
MIN_RATE = 1.0  # requests per second, below which an item is not reported
MIN_COUNT = 5  # requests in an interval; fewer may hit one slice by chance

_Item = tuple[PoolId, int]


class HotSpots:
    """Finds the hottest slices and keys with the Space-Saving algorithm.

    A new item replaces the item with the smallest count and continues that count.
    Counts may thus be too high, by at most the replaced count, but no hot item is
    missed.

    Args:
        now: Seconds of a monotonic clock.
    """

    def __init__(self, *, now: float):
        self._interval_start = now
        self._slices: dict[_Item, int] = {}
        self._keys: dict[_Item, int] = {}
        self.slice_rows: list[list] = []
        self.key_rows: list[list] = []

    def count(self, pool: PoolId, slice_number: int, key_hash: int) -> None:
        """Counts one request for a slice and a key."""
        _count(self._slices, (pool, slice_number))
        _count(self._keys, (pool, key_hash))

    def refresh(self, now: float) -> bool:
        """Replaces the rows at the end of an interval; returns whether it did.

        A row holds pool, slice number or key hash, and requests per second.
        """
        elapsed = now - self._interval_start
        if elapsed < REPORT_INTERVAL:
            return False
        self.slice_rows = _list_rows(self._slices, elapsed)
        self.key_rows = _list_rows(self._keys, elapsed)
        self._slices = {}
        self._keys = {}
        self._interval_start = now
        return True


def _count(counts: dict[_Item, int], item: _Item) -> None:
    known = counts.get(item)
    if known is None and len(counts) >= MAX_COUNTERS:
        smallest = min(counts, key=counts.get)
        known = counts.pop(smallest)
    counts[item] = (known or 0) + 1


def _list_rows(counts: dict[_Item, int], elapsed: float) -> list[list]:
    hottest = sorted(counts.items(), key=lambda row: (-row[1], row[0]))[:MAX_ROWS]
    rows = []
    for (pool, number), count in hottest:
        if count < MIN_COUNT:
            continue
        rate = count / elapsed
        if rate >= MIN_RATE:
            rows.append([pool, number, round(rate, 1)])
    return rows
