"""Replicated log of one replica, held in memory and in its storage."""

from monsoonlug.journal import (
    Entry,
    EntryKind,
    Snapshot,
    Storage,
    retain_after_snapshot,
)
from monsoonlug.membership import Members

MAX_BATCH_SIZE = 262_144  # bytes of entry data
MAX_BATCH_ENTRIES = 512


class EntryLog:
    """Entries after the last snapshot, and the member lists that they contain.

    Args:
        storage: Storage that holds the log.
    """

    def __init__(self, *, storage: Storage):
        self._storage = storage
        stored = storage.load()
        self.snapshot = stored.snapshot
        self._entries = stored.entries
        self._members: list[tuple[int, Members]] = []
        self._is_synced = True
        self._rebuild_members()

    @property
    def base_index(self) -> int:
        """Index of the last entry in the snapshot, 0 without a snapshot."""
        return self.snapshot.index if self.snapshot else 0

    @property
    def last_index(self) -> int:
        """Index of the last entry, durable or not."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.term_at(self.last_index)

    @property
    def members(self) -> Members:
        """Latest member list in the log, committed or not."""
        return self._members[-1][1]

    @property
    def members_index(self) -> int:
        """Index of the entry with the latest member list, 0 if there is none."""
        return self._members[-1][0]

    def members_at(self, index: int) -> Members:
        """Returns the member list as of an entry."""
        found = Members()
        for start, members in self._members:
            if start > index:
                break
            found = members
        return found

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None if the log does not hold it."""
        if index == self.base_index:
            return self.snapshot.term if self.snapshot else 0
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def find_term_start(self, index: int) -> int:
        """Returns the first index after the snapshot with the term of entry `index`."""
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def get(self, index: int) -> Entry:
        """Returns an entry, which must be after the snapshot."""
        return self._entries[index - self.base_index - 1]

    def list_batch(self, start: int) -> list[Entry]:
        """Returns the entries from `start` on that fit into one message.

        It returns at least one entry, even if that is above the size limit.
        """
        batch = []
        size = 0
        position = start - self.base_index - 1
        for entry in self._entries[position : position + MAX_BATCH_ENTRIES]:
            size += len(entry.data)
            if batch and size > MAX_BATCH_SIZE:
                break
            batch.append(entry)
        return batch

    def append(self, entries: list[Entry]) -> None:
        """Appends entries, which are durable after the next `sync`."""
        self._storage.append(entries)
        self._entries.extend(entries)
        for entry in entries:
            self._record_members(entry)
        self._is_synced = False

    def truncate_from(self, index: int) -> None:
        """Removes the entry `index` and all later ones."""
        self._storage.truncate_from(index)
        del self._entries[index - self.base_index - 1 :]
        while self._members[-1][0] >= index:
            self._members.pop()
        self._is_synced = False

    def sync(self) -> None:
        """Makes the log durable.

        Raises:
            SyncFailed: If it may not be durable.
        """
        if self._is_synced:
            return
        self._storage.sync()
        self._is_synced = True

    def compact(self, index: int, state: bytes) -> None:
        """Replaces the entries up to `index` by a snapshot.

        Raises:
            SyncFailed: If the snapshot may not be durable.
        """
        snapshot = Snapshot(
            index=index,
            term=self.term_at(index),
            members=self.members_at(index).pack(),
            state=state,
        )
        self.install(snapshot)

    def install(self, snapshot: Snapshot) -> None:
        """Stores a snapshot and removes the entries that it replaces.

        Raises:
            SyncFailed: If the snapshot may not be durable.
        """
        self._storage.install_snapshot(snapshot)
        base = (self.base_index, self.term_at(self.base_index))
        self._entries = list(retain_after_snapshot(snapshot, *base, self._entries))
        self.snapshot = snapshot
        self._rebuild_members()

    def _rebuild_members(self) -> None:
        self._members = [(0, Members())]
        if self.snapshot:
            members = Members.unpack(self.snapshot.members)
            self._members = [(self.snapshot.index, members)]
        for entry in self._entries:
            self._record_members(entry)

    def _record_members(self, entry: Entry) -> None:
        if entry.kind is EntryKind.MEMBERS:
            self._members.append((entry.index, Members.unpack(entry.data)))
