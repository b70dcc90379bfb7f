"""Durable record files of one replica: vote, log entries and snapshot.

A data folder holds four files. `lock` keeps a second process out. `identity` names the
folder. `journal` is a sequence of frames, one for each sync, so that an interrupted
write can damage only the last frame. `snapshot` holds the last snapshot. Each file
records its own inode number, which shows that a folder was copied.
"""

import fcntl
import os
import secrets
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

import msgpack

from monsoonlug.exceptions import (
    FolderCopied,
    FolderLocked,
    JournalDamaged,
    SyncFailed,
)
from monsoonlug.frames import frame, read_frames

FORMAT_VERSION = 1
IDENTITY_SIZE = 16  # bytes
LOCK_NAME = "lock"
IDENTITY_NAME = "identity"
JOURNAL_NAME = "journal"
SNAPSHOT_NAME = "snapshot"
TEMPORARY_SUFFIX = ".tmp"


class EntryKind(Enum):
    """What an entry of the log carries."""

    NOOP = 0
    COMMAND = 1
    MEMBERS = 2


class RecordKind(Enum):
    """What a record of the journal says."""

    VOTE = 0
    ENTRY = 1
    TRUNCATE = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """One entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    data: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """The state after the entry `index`.

    Attributes:
        index: Index of the last entry that the state includes.
        term: Term of that entry.
        members: Packed list of the members as of that entry.
        state: Packed state.
    """

    index: int
    term: int
    members: bytes
    state: bytes


@dataclass(slots=True, kw_only=True)
class StoredState:
    """What a storage held when it was opened.

    Attributes:
        vote: Replica voted for in `term`, or an empty string.
        entries: Entries after the snapshot.
    """

    term: int = 0
    vote: str = ""
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)


class Storage(ABC):
    """Durable state of one replica."""

    @property
    @abstractmethod
    def identity(self) -> str:
        """Random identity of this storage, fixed when it was created."""

    @abstractmethod
    def load(self) -> StoredState:
        """Returns what was durable when the storage was opened."""

    @abstractmethod
    def save_vote(self, term: int, vote: str) -> None:
        """Stores term and vote; they are durable on return.

        Raises:
            SyncFailed: If they may not be durable.
        """

    @abstractmethod
    def append(self, entries: list[Entry]) -> None:
        """Adds entries, which are durable after the next `sync`."""

    @abstractmethod
    def truncate_from(self, index: int) -> None:
        """Drops the entry `index` and all later ones with the next `sync`."""

    @abstractmethod
    def sync(self) -> None:
        """Makes everything durable.

        Raises:
            SyncFailed: If anything may not be durable.
        """

    @abstractmethod
    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Stores a snapshot durably and drops the entries that it replaces.

        Entries after the snapshot stay if the log agrees with the snapshot.

        Raises:
            SyncFailed: If the snapshot may not be durable.
        """


def keep_after(
    snapshot: Snapshot, base_index: int, base_term: int, entries: list[Entry]
) -> list[Entry]:
    """Returns the entries that stay valid after a snapshot.

    Args:
        snapshot: The snapshot.
        base_index: Index before the first entry.
        base_term: Term of the entry `base_index`.
        entries: Consecutive entries after `base_index`.

    >>> entry = Entry(index=2, term=1, kind=EntryKind.NOOP, data=b"")
    >>> snapshot = Snapshot(index=1, term=1, members=b"", state=b"")
    >>> len(keep_after(snapshot, 1, 1, [entry]))
    1
    >>> keep_after(snapshot, 0, 0, [])
    []
    """
    position = snapshot.index - base_index
    if position == 0 and base_term == snapshot.term:
        return entries
    if not 0 < position <= len(entries):
        return []
    if entries[position - 1].term != snapshot.term:
        return []
    return entries[position:]


class FileStorage(Storage):
    """A storage in a data folder, which it locks until `close`.

    Args:
        folder: The data folder; created if it does not exist.
        detects_copies: Whether a file with another inode number than it was created
            with counts as copied. Some disks number their files anew at each start.

    Raises:
        FolderLocked: If another process uses the folder.
        FolderCopied: If the folder is a copy of another one.
        JournalDamaged: If a file is damaged.
        SyncFailed: If the folder cannot be written.
    """

    def __init__(self, *, folder: Path, detects_copies: bool = True):
        self._folder = folder
        self._detects_copies = detects_copies
        self._failed = False
        self._records: list[list] = []
        self._base_index = 0
        self._base_term = 0
        self._stored = StoredState()
        self._journal = -1
        folder.mkdir(parents=True, exist_ok=True)
        self._lock = self._take_lock()
        try:
            self._remove_temporary_files()
            self._identity = self._open_identity()
            self._read_snapshot()
            self._read_journal()
        except OSError as error:
            self.close()
            raise SyncFailed(f"{folder}: {error.strerror}") from error
        except BaseException:
            self.close()
            raise

    @property
    def identity(self) -> str:
        """Random identity of the folder."""
        return self._identity

    def load(self) -> StoredState:
        """Returns the state as of the last call that changed it."""
        return StoredState(
            term=self._stored.term,
            vote=self._stored.vote,
            snapshot=self._stored.snapshot,
            entries=list(self._stored.entries),
        )

    def save_vote(self, term: int, vote: str) -> None:
        """Stores term and vote durably."""
        self._add([RecordKind.VOTE.value, term, vote])
        self.sync()

    def append(self, entries: list[Entry]) -> None:
        """Adds entries that follow the last one."""
        for entry in entries:
            self._add(_pack_entry(entry))

    def truncate_from(self, index: int) -> None:
        """Drops the entry `index` and all later ones."""
        self._add([RecordKind.TRUNCATE.value, index])

    def sync(self) -> None:
        """Writes all new records as one frame and syncs the journal."""
        self._check_usable()
        if not self._records:
            return
        data = frame(msgpack.packb(self._records))
        try:
            _write_all(self._journal, data)
            os.fsync(self._journal)
        except OSError as error:
            self._fail(error)
        self._records = []

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Stores the snapshot, then a journal of the entries after it."""
        self._check_usable()
        entries = keep_after(
            snapshot, self._base_index, self._base_term, self._stored.entries
        )
        row = [snapshot.index, snapshot.term, snapshot.members, snapshot.state]
        try:
            os.close(self._create_file(SNAPSHOT_NAME, [row]))
            self._stored.snapshot = snapshot
            self._stored.entries = list(entries)
            self._replace_journal(snapshot.index, snapshot.term)
        except OSError as error:
            self._fail(error)

    def close(self) -> None:
        """Releases the folder; records that were not synced are lost."""
        self._failed = True
        if self._journal >= 0:
            os.close(self._journal)
            self._journal = -1
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def _add(self, record: list) -> None:
        self._check_usable()
        self._replay(record)
        self._records.append(record)

    def _check_usable(self) -> None:
        if self._failed:
            raise SyncFailed(f"{self._folder}: the storage failed or is closed")

    def _fail(self, error: OSError) -> None:
        # After a failed fsync the kernel may drop the dirty pages and report success
        # for the next one, so the storage must not be used again.
        self._failed = True
        raise SyncFailed(f"{self._folder}: {error.strerror}") from error

    def _take_lock(self) -> int:
        lock = os.open(self._folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(lock)
            raise FolderLocked(
                f"{self._folder}: another process uses this data folder"
            ) from None
        return lock

    def _remove_temporary_files(self) -> None:
        for path in self._folder.glob("*" + TEMPORARY_SUFFIX):
            path.unlink()

    def _open_identity(self) -> str:
        path = self._folder / IDENTITY_NAME
        if path.exists():
            (row,), _ = self._read_file(IDENTITY_NAME)
            return row[0]
        if (self._folder / SNAPSHOT_NAME).exists() or self._has_records():
            raise JournalDamaged(f"{path}: the file is missing")
        self._identity = secrets.token_hex(IDENTITY_SIZE)
        self._replace_journal(0, 0)
        os.close(self._create_file(IDENTITY_NAME, [[self._identity]]))
        return self._identity

    def _has_records(self) -> bool:
        # A crash during the first start leaves a journal with a header only.
        path = self._folder / JOURNAL_NAME
        if not path.exists():
            return False
        payloads, _ = read_frames(path.read_bytes(), name=str(path))
        return len(payloads) > 1 or any(msgpack.unpackb(p)[4:] for p in payloads)

    def _create_file(self, name: str, rows: list[list]) -> int:
        temporary = self._folder / (name + TEMPORARY_SUFFIX)
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        file = os.open(temporary, flags, 0o600)
        try:
            inode = os.fstat(file).st_ino
            payload = [FORMAT_VERSION, self._identity, inode, *rows]
            _write_all(file, frame(msgpack.packb(payload)))
            os.fsync(file)
            os.replace(temporary, self._folder / name)
            self._sync_folder()
        except BaseException:
            os.close(file)
            raise
        return file

    def _sync_folder(self) -> None:
        folder = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def _read_file(self, name: str) -> tuple[list[list], list[bytes]]:
        path = self._folder / name
        data = path.read_bytes()
        payloads, size = read_frames(data, name=str(path))
        if not payloads or (name != JOURNAL_NAME and size != len(data)):
            raise JournalDamaged(f"{path}: the file is not whole")
        version, identity, inode, *rows = msgpack.unpackb(payloads[0])
        if version != FORMAT_VERSION:
            raise JournalDamaged(f"{path}: format version {version} is not known")
        if self._detects_copies and inode != path.stat().st_ino:
            raise FolderCopied(
                f"{path}: the file was copied and may be older than what this replica "
                "acknowledged; start with an empty data folder and add the replica as "
                "a learner"
            )
        if name != IDENTITY_NAME and identity != self._identity:
            raise JournalDamaged(f"{path}: the file belongs to another data folder")
        if size < len(data):
            os.truncate(path, size)
        return rows, payloads[1:]

    def _read_snapshot(self) -> None:
        if not (self._folder / SNAPSHOT_NAME).exists():
            return
        (row,), _ = self._read_file(SNAPSHOT_NAME)
        index, term, members, state = row
        self._stored.snapshot = Snapshot(
            index=index, term=term, members=members, state=state
        )

    def _read_journal(self) -> None:
        path = self._folder / JOURNAL_NAME
        if not path.exists():
            raise JournalDamaged(f"{path}: the file is missing")
        (base, *rows), payloads = self._read_file(JOURNAL_NAME)
        self._base_index, self._base_term = base
        for row in rows:
            self._replay(row)
        for payload in payloads:
            for record in msgpack.unpackb(payload):
                self._replay(record)
        if self._journal < 0:
            self._journal = os.open(path, os.O_RDWR | os.O_APPEND)
        os.fsync(self._journal)
        self._drop_replaced_entries(path)

    def _drop_replaced_entries(self, path: Path) -> None:
        snapshot = self._stored.snapshot
        base = (self._base_index, self._base_term)
        if snapshot is None:
            if base != (0, 0):
                raise JournalDamaged(f"{path}: the snapshot at {base[0]} is missing")
            return
        if base == (snapshot.index, snapshot.term):
            return
        if self._base_index >= snapshot.index:
            raise JournalDamaged(f"{path}: the snapshot is older than the journal")
        # The process stopped between the snapshot and the new journal.
        self._stored.entries = keep_after(snapshot, *base, self._stored.entries)
        self._replace_journal(snapshot.index, snapshot.term)

    def _replay(self, record: list) -> None:
        kind, *fields = record
        entries = self._stored.entries
        if kind == RecordKind.VOTE.value:
            self._stored.term, self._stored.vote = fields
            return
        following = self._base_index + len(entries) + 1
        if kind == RecordKind.TRUNCATE.value:
            if not self._base_index < fields[0] <= following:
                raise JournalDamaged(f"{self._folder}: truncation at {fields[0]}")
            del entries[fields[0] - self._base_index - 1 :]
            return
        entry = _unpack_entry(fields)
        if entry.index != following:
            raise JournalDamaged(
                f"{self._folder}: entry {entry.index} where {following} should be"
            )
        entries.append(entry)

    def _replace_journal(self, base_index: int, base_term: int) -> None:
        rows = [[base_index, base_term]]
        if self._stored.term:
            rows.append([RecordKind.VOTE.value, self._stored.term, self._stored.vote])
        for entry in self._stored.entries:
            rows.append(_pack_entry(entry))
        file = self._create_file(JOURNAL_NAME, rows)
        if self._journal >= 0:
            os.close(self._journal)
        self._journal = file
        self._base_index = base_index
        self._base_term = base_term
        self._records = []


def _pack_entry(entry: Entry) -> list:
    return [
        RecordKind.ENTRY.value,
        entry.index,
        entry.term,
        entry.kind.value,
        entry.data,
    ]


def _unpack_entry(fields: list) -> Entry:
    index, term, kind, data = fields
    return Entry(index=index, term=term, kind=EntryKind(kind), data=data)


def _write_all(file: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(file, view) :]
