"""Ownership of the keys of one pool, as ranges.

A backend server holds its ranges by a lease that it counts on its own clock. The table
says who may be given a key; a key changes hands only by a new assignment, whose fencing
epoch is higher than all before.
"""

from bisect import bisect_right
from collections.abc import Iterator
from dataclasses import dataclass, replace

from monsoonlug.ids import SLICE_COUNT, Epoch, PoolId, ServerId

LAST_KEY = SLICE_COUNT - 1
NO_OWNER = ServerId("")


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyRange:
    """Keys with the same owner.

    Attributes:
        start: First key.
        end: Last key, included.
        owner: Backend server, or an empty name.
        born: Start time of the owner's process, in Unix milliseconds.
        epoch: Fencing epoch of the assignment.
        handover: Token with which the last holder released the keys; a new holder that
            gets it starts with the state of the last one.
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
        """Returns the part of the range between two keys, both included."""
        return replace(self, start=max(start, self.start), end=min(end, self.end))

    def is_continued_by(self, other: "KeyRange") -> bool:
        """Returns whether another range can be joined to the end of this one."""
        if self.end + 1 != other.start:
            return False
        return (self.owner, self.born, self.epoch, self.handover) == (
            other.owner,
            other.born,
            other.epoch,
            other.handover,
        )


class KeyTable:
    """All keys of a pool, as sorted ranges without a gap.

    Args:
        pool: Name of the pool.
    """

    def __init__(self, *, pool: PoolId):
        self.pool = pool
        self._ranges = [KeyRange(start=0, end=LAST_KEY)]
        self._starts = [0]

    def __len__(self) -> int:
        return len(self._ranges)

    def find(self, key: int) -> KeyRange:
        """Returns the range of a key."""
        return self._ranges[bisect_right(self._starts, key) - 1]

    def iterate(self) -> Iterator[KeyRange]:
        """Yields all ranges in the order of their keys."""
        return iter(self._ranges)

    def iterate_between(self, start: int, end: int) -> Iterator[KeyRange]:
        """Yields the parts of ranges between two keys, both included."""
        position = bisect_right(self._starts, start) - 1
        while position < len(self._ranges) and self._ranges[position].start <= end:
            yield self._ranges[position].cut(start, end)
            position += 1

    def assign(self, new: KeyRange) -> None:
        """Replaces the ownership of the keys of a range."""
        first = bisect_right(self._starts, new.start) - 1
        last = bisect_right(self._starts, new.end) - 1
        pieces = []
        if self._ranges[first].start < new.start:
            pieces.append(self._ranges[first].cut(0, new.start - 1))
        pieces.append(new)
        if self._ranges[last].end > new.end:
            pieces.append(self._ranges[last].cut(new.end + 1, LAST_KEY))
        before = self._ranges[first - 1] if first else None
        if before is not None and before.is_continued_by(pieces[0]):
            first -= 1
            pieces[0] = replace(before, end=pieces[0].end)
        after = self._ranges[last + 1] if last + 1 < len(self._ranges) else None
        if after is not None and pieces[-1].is_continued_by(after):
            last += 1
            pieces[-1] = replace(pieces[-1], end=after.end)
        self._ranges[first : last + 1] = pieces
        self._starts[first : last + 1] = [piece.start for piece in pieces]
