"""A bound on the memory of a process that is held for callers and servers.

Heads, bodies in both directions and responses that are read slowly share one budget.
When it is exhausted, the holder with the most bytes is evicted, so that many small
holders are not refused because of a few large ones.
"""

import heapq
import itertools
from collections.abc import Callable

from monsoonlug.logs import get_logger

# Stale heap entries per holding, above which the heap is rebuilt.
MAX_STALE_RATIO = 2
MIN_REBUILD_SIZE = 64  # heap entries

logger = get_logger("memory")


class Holding:
    """Bytes that one connection or request holds; see `MemoryBudget.open`.

    Args:
        budget: The budget that the bytes count towards.
        number: Sequence number; older holdings have lower numbers.
        evict: Called once if the holding is evicted.
    """

    __slots__ = ("_budget", "_evict", "is_open", "number", "size")

    def __init__(
        self, *, budget: "MemoryBudget", number: int, evict: Callable[[], None]
    ):
        self._budget = budget
        self._evict = evict
        self.number = number
        self.size = 0
        self.is_open = True

    def resize(self, size: int) -> bool:
        """Sets the bytes that are held now.

        If there is no room, the holding with the most bytes is evicted: it leaves the
        budget at once, and its callback runs before this method returns. Of holdings
        with the same size, the oldest one is evicted.

        Args:
            size: Bytes that are held now, not those that are added.

        Returns:
            Whether the bytes may be held. False if there is no room and this holding
            would be the one with the most bytes, or if it was evicted or closed; its
            recorded size is then unchanged.
        """
        return self._budget.resize(self, size)

    def close(self) -> None:
        """Gives all bytes back; has no effect if the holding was evicted or closed."""
        self._budget.close(self)

    def run_eviction(self) -> None:
        """Calls the callback of an evicted holding; an error in it is logged."""
        try:
            self._evict()
        except Exception:
            logger.exception("The callback of an evicted memory holder failed.")


class MemoryBudget:
    """The memory budget of one process; all operations take O(log n) amortized.

    Args:
        limit: Bytes that all holdings together may have.
    """

    def __init__(self, *, limit: int):
        if limit < 1:
            raise ValueError(f"the limit is {limit} bytes, expected at least 1")
        self.limit = limit
        self.used = 0
        self.holdings = 0
        self.evictions = 0
        self.refusals = 0
        self._numbers = itertools.count()
        # Entries of (-size, number, holding). An entry is stale once the holding is
        # closed or has another size; stale entries are dropped when they get to the
        # front, or when there are too many of them.
        self._heap: list[tuple[int, int, Holding]] = []

    def open(self, *, evict: Callable[[], None]) -> Holding:
        """Returns a new holding of zero bytes.

        Args:
            evict: Called once if the holding is evicted. It must release the bytes
                before it returns, for example by aborting a connection. It may resize
                and close other holdings.
        """
        self.holdings += 1
        return Holding(budget=self, number=next(self._numbers), evict=evict)

    def resize(self, holding: Holding, size: int) -> bool:
        """Sets the size of a holding; see `Holding.resize`."""
        if size < 0:
            raise ValueError(f"the size is {size} bytes, expected at least 0")
        if not holding.is_open:
            return False
        if size == holding.size:
            return True
        if self.used + size - holding.size <= self.limit:
            self._set_size(holding, size)
            return True
        worst = self._find_worst(holding)
        if worst is None or (worst.size, -worst.number) < (size, -holding.number):
            self.refusals += 1
            return False
        # One eviction is enough, as the evicted holding has at least `size` bytes. It
        # leaves the budget before its callback runs, which may use the budget.
        self.evictions += 1
        self.close(worst)
        self._set_size(holding, size)
        worst.run_eviction()
        return holding.is_open

    def close(self, holding: Holding) -> None:
        """Removes a holding; see `Holding.close`."""
        if not holding.is_open:
            return
        holding.is_open = False
        self.used -= holding.size
        self.holdings -= 1
        # Entries of closed holdings keep their callbacks, and thus connections, alive.
        self._limit_heap()

    def _set_size(self, holding: Holding, size: int) -> None:
        self.used += size - holding.size
        holding.size = size
        if size == 0:
            return
        heapq.heappush(self._heap, (-size, holding.number, holding))
        self._limit_heap()

    def _limit_heap(self) -> None:
        allowed = max(MIN_REBUILD_SIZE, (1 + MAX_STALE_RATIO) * self.holdings)
        if len(self._heap) > allowed:
            self._rebuild_heap()

    def _find_worst(self, excluded: Holding) -> Holding | None:
        """Returns the open holding with the most bytes other than `excluded`."""
        set_aside = None
        worst = None
        while self._heap:
            entry = self._heap[0]
            negative_size, _, holding = entry
            if not holding.is_open or holding.size != -negative_size:
                heapq.heappop(self._heap)
                continue
            if holding is not excluded:
                worst = holding
                break
            set_aside = heapq.heappop(self._heap)
        if set_aside is not None:
            heapq.heappush(self._heap, set_aside)
        return worst

    def _rebuild_heap(self) -> None:
        """Drops stale and repeated entries.

        This takes O(n) time after at least n pushes or closed holdings.
        """
        current = {}
        for entry in self._heap:
            negative_size, number, holding = entry
            if holding.is_open and holding.size == -negative_size:
                current[number] = entry
        self._heap = list(current.values())
        heapq.heapify(self._heap)
