"""A storage in memory that can lose everything after the last sync."""

from dataclasses import dataclass, field
from enum import Enum

from monsoonlug.exceptions import MonsoonlugError
from monsoonlug.journal import (
    Entry,
    Snapshot,
    Storage,
    StoredState,
    retain_after_snapshot,
)


class Crash(MonsoonlugError):
    """The simulated process ends here."""

    code = "simulated-crash"


class CrashPoint(Enum):
    """Where a simulated process ends in a sync."""

    NONE = 0
    BEFORE_SYNC = 1
    AFTER_SYNC = 2


@dataclass(slots=True, kw_only=True)
class Disk:
    """What a restart finds."""

    identity: str
    state: StoredState = field(default_factory=StoredState)

    @property
    def last_index(self) -> int:
        """Index of the last entry, in the snapshot or after it."""
        base = self.state.snapshot.index if self.state.snapshot else 0
        return base + len(self.state.entries)

    def copy(self) -> "Disk":
        """Returns a copy, as a backup of the data folder would be."""
        stored = StoredState(
            term=self.state.term,
            vote=self.state.vote,
            snapshot=self.state.snapshot,
            entries=list(self.state.entries),
        )
        return Disk(identity=self.identity, state=stored)


class MemoryStorage(Storage):
    """A storage that writes to a `Disk` only when it is synced.

    Args:
        disk: The disk.
    """

    def __init__(self, *, disk: Disk):
        self._disk = disk
        self._pending: list[tuple[int, list[Entry]]] = []
        self.crash_point = CrashPoint.NONE

    @property
    def identity(self) -> str:
        """Identity of the disk."""
        return self._disk.identity

    def load(self) -> StoredState:
        """Returns the content of the disk."""
        return self._disk.copy().state

    def save_vote(self, term: int, vote: str) -> None:
        """Stores term and vote."""
        with _CrashAround(self):
            self._write_pending()
            self._disk.state.term = term
            self._disk.state.vote = vote

    def append(self, entries: list[Entry]) -> None:
        """Adds entries, which the next sync writes."""
        self._pending.append((0, list(entries)))

    def truncate_from(self, index: int) -> None:
        """Drops entries with the next sync."""
        self._pending.append((index, []))

    def sync(self) -> None:
        """Writes everything."""
        with _CrashAround(self):
            self._write_pending()

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Stores a snapshot and drops the entries that it replaces."""
        with _CrashAround(self):
            self._write_pending()
            state = self._disk.state
            old = state.snapshot
            base = (old.index, old.term) if old else (0, 0)
            state.entries = list(retain_after_snapshot(snapshot, *base, state.entries))
            state.snapshot = snapshot

    def _write_pending(self) -> None:
        state = self._disk.state
        base = state.snapshot.index if state.snapshot else 0
        for truncated, entries in self._pending:
            if truncated:
                del state.entries[truncated - base - 1 :]
            if entries:
                assert entries[0].index == base + len(state.entries) + 1
            state.entries.extend(entries)
        self._pending.clear()


class _CrashAround:
    def __init__(self, storage: MemoryStorage):
        self._storage = storage

    def __enter__(self) -> None:
        if self._storage.crash_point is CrashPoint.BEFORE_SYNC:
            raise Crash()

    def __exit__(self, kind, error, trace) -> None:
        if kind is None and self._storage.crash_point is CrashPoint.AFTER_SYNC:
            raise Crash()
