"""In-memory storage of the replicated log that simulates crashes around a sync."""

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
    """The simulated process crashes."""

    code = "simulated-crash"


class CrashPoint(Enum):
    """Point of a sync at which the simulated process crashes."""

    NONE = 0
    BEFORE_SYNC = 1
    AFTER_SYNC = 2


@dataclass(slots=True, kw_only=True)
class Disk:
    """Synced content that a restart loads."""

    identity: str
    state: StoredState = field(default_factory=StoredState)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if no entry follows it."""
        base = self.state.snapshot.index if self.state.snapshot else 0
        return base + len(self.state.entries)

    def copy(self) -> "Disk":
        """Returns a copy, like a backup of the data folder."""
        state = StoredState(
            term=self.state.term,
            vote=self.state.vote,
            snapshot=self.state.snapshot,
            entries=list(self.state.entries),
        )
        return Disk(identity=self.identity, state=state)


class MemoryStorage(Storage):
    """Storage that writes to a `Disk` only when it is synced.

    Args:
        disk: Disk to read and write.

    Attributes:
        crash_point: Point at which the next sync crashes.
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
        """Syncs pending entries, term and vote."""
        with _CrashInjection(self):
            self._write_pending()
            self._disk.state.term = term
            self._disk.state.vote = vote

    def append(self, entries: list[Entry]) -> None:
        """Appends entries, which the next sync writes."""
        self._pending.append((0, list(entries)))

    def truncate_from(self, index: int) -> None:
        """Drops entries from an index on, which the next sync makes durable."""
        self._pending.append((index, []))

    def sync(self) -> None:
        """Writes all pending changes to the disk."""
        with _CrashInjection(self):
            self._write_pending()

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Syncs a snapshot and drops the entries that it replaces."""
        with _CrashInjection(self):
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


class _CrashInjection:
    """Context manager that crashes before or after the sync in its block."""

    def __init__(self, storage: MemoryStorage):
        self._storage = storage

    def __enter__(self) -> None:
        if self._storage.crash_point is CrashPoint.BEFORE_SYNC:
            raise Crash()

    def __exit__(self, kind, error, trace) -> None:
        if kind is None and self._storage.crash_point is CrashPoint.AFTER_SYNC:
            raise Crash()
