"""Ownership table of the keys of one pool, as contiguous key ranges.

A backend server holds its ranges under a lease that it measures on its own clock. The
table records which server may be granted a key. A key changes its owner only by a new
assignment, whose fencing epoch is higher than all earlier ones.
"""

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

from monsoonlug.ids import SLICE_COUNT, Epoch, PoolId, ServerId

LAST_KEY = SLICE_COUNT - 1
NO_OWNER = ServerId("")


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyRange:
    """Contiguous keys with the same owner and epoch.

    Attributes:
        start: First key.
        end: Last key, included.
        owner: Backend server, or `NO_OWNER`.
        born: Start time of the owner's process, in Unix milliseconds.
        epoch: Fencing epoch of the assignment.
        handover: Token with which the previous owner released the keys. With it, the
            new owner takes over the previous owner's state.
    """

    start: int
    end: int
    owner: ServerId = NO_OWNER
    born: int = 0
    epoch: Epoch = Epoch(0)
    handover: str = ""

    @property
    def size(self) -> int:
        """Number of keys."""
        return self.end - self.start + 1

    def cut(self, start: int, end: int) -> "KeyRange":
        """Returns the part of the range from `start` to `end` included."""
        return replace(self, start=max(start, self.start), end=min(end, self.end))

    def overlaps(self, start: int, end: int) -> bool:
        """Returns whether the range contains a key from `start` to `end` included."""
        return self.start <= end and start <= self.end

    def subtract(self, rows: Iterable[tuple[int, int]]) -> Iterator["KeyRange"]:
        """Yields the parts of the range outside of rows of first and last key.

        >>> [part.end for part in KeyRange(start=0, end=9).subtract([(3, 5)])]
        [2, 9]
        """
        start = self.start
        for first, last in sorted(row for row in rows if self.overlaps(*row)):
            if start < first:
                yield self.cut(start, first - 1)
            start = max(start, last + 1)
        if start <= self.end:
            yield self.cut(start, self.end)

    def can_merge_with(self, other: "KeyRange") -> bool:
        """Returns whether a range follows this one and has the same owner and epoch."""
        if self.end + 1 != other.start:
            return False
        return (self.owner, self.born, self.epoch, self.handover) == (
            other.owner,
            other.born,
            other.epoch,
            other.handover,
        )


class KeyTable:
    """Sorted key ranges that cover all keys of a pool without gaps.

    Args:
        pool: Name of the pool.
    """

    def __init__(self, *, pool: PoolId):
        self.pool = pool
        self._ranges = [KeyRange(start=0, end=LAST_KEY)]
        self._starts = [0]
        # First keys of each owner's ranges; built by the first `iterate_owned`.
        self._starts_by_owner: dict[ServerId, set[int]] | None = None

    def __len__(self) -> int:
        return len(self._ranges)

    def find(self, key: int) -> KeyRange:
        """Returns the range that contains a key."""
        return self._ranges[bisect_right(self._starts, key) - 1]

    def iterate(self) -> Iterator[KeyRange]:
        """Yields all ranges in key order."""
        return iter(self._ranges)

    def iterate_owned(self, owner: ServerId) -> Iterator[KeyRange]:
        """Yields the ranges of an owner in key order."""
        if self._starts_by_owner is None:
            self._starts_by_owner = {}
            self._add_to_index(self._ranges)
        for start in sorted(self._starts_by_owner.get(owner, ())):
            yield self.find(start)

    def iterate_between(self, start: int, end: int) -> Iterator[KeyRange]:
        """Yields the parts of ranges from `start` to `end` included."""
        position = bisect_right(self._starts, start) - 1
        while position < len(self._ranges) and self._ranges[position].start <= end:
            yield self._ranges[position].cut(start, end)
            position += 1

    def assign(self, new: KeyRange) -> None:
        """Replaces the ownership of all keys in a range and merges equal neighbours."""
        first = bisect_right(self._starts, new.start) - 1
        last = bisect_right(self._starts, new.end) - 1
        pieces = []
        if self._ranges[first].start < new.start:
            pieces.append(self._ranges[first].cut(0, new.start - 1))
        pieces.append(new)
        if self._ranges[last].end > new.end:
            pieces.append(self._ranges[last].cut(new.end + 1, LAST_KEY))
        previous = self._ranges[first - 1] if first else None
        if previous is not None and previous.can_merge_with(pieces[0]):
            first -= 1
            pieces[0] = replace(previous, end=pieces[0].end)
        following = self._ranges[last + 1] if last + 1 < len(self._ranges) else None
        if following is not None and pieces[-1].can_merge_with(following):
            last += 1
            pieces[-1] = replace(pieces[-1], end=following.end)
        if self._starts_by_owner is not None:
            for key_range in self._ranges[first : last + 1]:
                self._starts_by_owner[key_range.owner].discard(key_range.start)
            self._add_to_index(pieces)
        self._ranges[first : last + 1] = pieces
        self._starts[first : last + 1] = [piece.start for piece in pieces]

    def _add_to_index(self, ranges: list[KeyRange]) -> None:
        for key_range in ranges:
            owned = self._starts_by_owner.setdefault(key_range.owner, set())
            owned.add(key_range.start)

    def assign_all(self, ranges: list[KeyRange]) -> None:
        """Replaces the ownership of all keys.

        Args:
            ranges: Ranges in key order that cover all keys without gaps.

        Raises:
            ValueError: If the ranges have gaps or overlap.
        """
        if not are_contiguous(ranges):
            raise ValueError("the ranges have gaps, overlap or are out of order")
        self._ranges = list(ranges)
        self._starts = [key_range.start for key_range in ranges]
        self._starts_by_owner = None


def are_contiguous(ranges: list[KeyRange]) -> bool:
    """Returns whether ranges cover all keys in order, without gaps.

    >>> are_contiguous([KeyRange(start=0, end=9), KeyRange(start=10, end=LAST_KEY)])
    True
    """
    next_start = 0
    for key_range in ranges:
        if key_range.start != next_start or key_range.end < next_start:
            return False
        next_start = key_range.end + 1
    return next_start == SLICE_COUNT
