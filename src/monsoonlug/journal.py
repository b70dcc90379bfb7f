"""Durable storage of one replica: write-ahead journal and snapshot.

A data folder holds four files. `lock` excludes a second process. `identity` holds the
random identity of the folder. `journal` is a write-ahead log of votes and entries, with
one frame for each sync, so that an interrupted write can damage only the last frame.
`snapshot` holds the last snapshot. Each file but `lock` records its own inode number,
by which a copied folder is detected.
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
from monsoonlug.frames import decode_frames, encode_frame

FORMAT_VERSION = 1
IDENTITY_SIZE = 16  # bytes
LOCK_NAME = "lock"
IDENTITY_NAME = "identity"
JOURNAL_NAME = "journal"
SNAPSHOT_NAME = "snapshot"
TEMPORARY_SUFFIX = ".tmp"


class EntryKind(Enum):
    """Type of a log entry."""

    NOOP = 0
    COMMAND = 1
    MEMBERS = 2


class RecordKind(Enum):
    """Type of a journal record."""

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
    """Serialized state after the entry `index`.

    Attributes:
        index: Index of the last entry that the state includes.
        term: Term of that entry.
        members: Serialized member list as of that entry.
        state: Serialized state.
    """

    index: int
    term: int
    members: bytes
    state: bytes


@dataclass(slots=True, kw_only=True)
class StoredState:
    """Content of a storage.

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
        """Returns the content of the storage."""

    @abstractmethod
    def save_vote(self, term: int, vote: str) -> None:
        """Stores term and vote; they are durable on return.

        Raises:
            SyncFailed: If they may not be durable.
        """

    @abstractmethod
    def append(self, entries: list[Entry]) -> None:
        """Appends entries, which are durable after the next `sync`."""

    @abstractmethod
    def truncate_from(self, index: int) -> None:
        """Removes the entry `index` and all later ones.

        The change is durable after the next `sync`.
        """

    @abstractmethod
    def sync(self) -> None:
        """Makes all preceding changes durable.

        Raises:
            SyncFailed: If anything may not be durable.
        """

    @abstractmethod
    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Stores a snapshot durably and removes the entries that it replaces.

        Entries after the snapshot are kept if the log agrees with the snapshot.

        Raises:
            SyncFailed: If the snapshot may not be durable.
        """


def retain_after_snapshot(
    snapshot: Snapshot, base_index: int, base_term: int, entries: list[Entry]
) -> list[Entry]:
    """Returns the entries to keep after a snapshot is installed.

    These are the later entries, or none if the log contradicts the snapshot.

    Args:
        snapshot: The snapshot.
        base_index: Index before the first entry.
        base_term: Term of the entry `base_index`.
        entries: Consecutive entries after `base_index`.

    >>> entry = Entry(index=2, term=1, kind=EntryKind.NOOP, data=b"")
    >>> snapshot = Snapshot(index=1, term=1, members=b"", state=b"")
    >>> len(retain_after_snapshot(snapshot, 1, 1, [entry]))
    1
    >>> retain_after_snapshot(snapshot, 0, 0, [])
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
    """Storage in a data folder, which is locked until `close`.

    Args:
        folder: The data folder; created if it does not exist.
        detect_copies: Whether a file whose inode number differs from the recorded one
            is rejected as copied. This must be off for file systems that assign new
            inode numbers at each start.

    Raises:
        FolderLocked: If another process uses the folder.
        FolderCopied: If the folder is a copy of another one.
        JournalDamaged: If a file is damaged.
        SyncFailed: If the folder cannot be written.
    """

    def __init__(self, *, folder: Path, detect_copies: bool = True):
        self._folder = folder
        self._detect_copies = detect_copies
        self._is_unusable = False
        self._records: list[list] = []
        self._base_index = 0
        self._base_term = 0
        self._stored = StoredState()
        self._journal = -1
        self._lock = -1
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock = self._acquire_lock()
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
        """Returns the content, including changes that are not synced yet."""
        return StoredState(
            term=self._stored.term,
            vote=self._stored.vote,
            snapshot=self._stored.snapshot,
            entries=list(self._stored.entries),
        )

    def save_vote(self, term: int, vote: str) -> None:
        """Stores term and vote durably."""
        self._append_record([RecordKind.VOTE.value, term, vote])
        self.sync()

    def append(self, entries: list[Entry]) -> None:
        """Appends entries, which must follow the last one."""
        for entry in entries:
            self._append_record(_pack_entry(entry))

    def truncate_from(self, index: int) -> None:
        """Removes the entry `index` and all later ones."""
        self._append_record([RecordKind.TRUNCATE.value, index])

    def sync(self) -> None:
        """Writes all new records as one frame and syncs the journal."""
        self._check_usable()
        if not self._records:
            return
        data = encode_frame(msgpack.packb(self._records))
        try:
            _write_all(self._journal, data)
            os.fsync(self._journal)
        except OSError as error:
            self._raise_sync_failed(error)
        self._records = []

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Writes the snapshot file, then a new journal with the entries after it."""
        self._check_usable()
        entries = retain_after_snapshot(
            snapshot, self._base_index, self._base_term, self._stored.entries
        )
        row = [snapshot.index, snapshot.term, snapshot.members, snapshot.state]
        try:
            os.close(self._create_file(SNAPSHOT_NAME, [row]))
            self._stored.snapshot = snapshot
            self._stored.entries = list(entries)
            self._replace_journal(snapshot.index, snapshot.term)
        except OSError as error:
            self._raise_sync_failed(error)

    def rewrite_journal(self) -> None:
        """Replaces the journal by a synced copy of its content.

        After a failed sync, records that were read back may exist only in the page
        cache, and no later sync of the same file writes them.

        Raises:
            SyncFailed: If the folder cannot be written.
        """
        self._check_usable()
        try:
            self._replace_journal(self._base_index, self._base_term)
        except OSError as error:
            self._raise_sync_failed(error)

    def close(self) -> None:
        """Closes and unlocks the folder; records that were not synced are lost."""
        self._is_unusable = True
        if self._journal >= 0:
            os.close(self._journal)
            self._journal = -1
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def _append_record(self, record: list) -> None:
        self._check_usable()
        self._replay(record)
        self._records.append(record)

    def _check_usable(self) -> None:
        if self._is_unusable:
            raise SyncFailed(f"{self._folder}: the storage failed or is closed")

    def _raise_sync_failed(self, error: OSError) -> None:
        # After a failed fsync the kernel may drop the dirty pages and report success
        # for the next fsync, so the storage must not be used again.
        self._is_unusable = True
        raise SyncFailed(f"{self._folder}: {error.strerror}") from error

    def _acquire_lock(self) -> int:
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
        # A crash during the first start leaves a journal with only a header.
        path = self._folder / JOURNAL_NAME
        if not path.exists():
            return False
        payloads, _ = decode_frames(path.read_bytes(), name=str(path))
        return len(payloads) > 1 or any(msgpack.unpackb(p)[4:] for p in payloads)

    def _create_file(self, name: str, rows: list[list]) -> int:
        temporary = self._folder / (name + TEMPORARY_SUFFIX)
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        file = os.open(temporary, flags, 0o600)
        try:
            inode = os.fstat(file).st_ino
            payload = [FORMAT_VERSION, self._identity, inode, *rows]
            _write_all(file, encode_frame(msgpack.packb(payload)))
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
        payloads, size = decode_frames(data, name=str(path))
        if not payloads or (name != JOURNAL_NAME and size != len(data)):
            raise JournalDamaged(
                f"{path}: only {size} of {len(data)} bytes are complete frames"
            )
        version, identity, inode, *rows = msgpack.unpackb(payloads[0])
        if version != FORMAT_VERSION:
            raise JournalDamaged(
                f"{path}: unsupported format version {version}, expected "
                f"{FORMAT_VERSION}"
            )
        if self._detect_copies and inode != path.stat().st_ino:
            raise FolderCopied(
                f"{path}: the file was copied and may lack entries that this replica "
                "has acknowledged; start with an empty data folder and add the replica "
                "as a learner"
            )
        if name != IDENTITY_NAME and identity != self._identity:
            raise JournalDamaged(
                f"{path}: the file belongs to the data folder with identity "
                f"{identity}, this one has {self._identity}"
            )
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
        self._drop_compacted_entries(path)

    def _drop_compacted_entries(self, path: Path) -> None:
        snapshot = self._stored.snapshot
        base = (self._base_index, self._base_term)
        if snapshot is None:
            if base != (0, 0):
                raise JournalDamaged(
                    f"{path}: the journal starts after entry {base[0]}, but the "
                    "snapshot is missing"
                )
            return
        if base == (snapshot.index, snapshot.term):
            return
        if self._base_index >= snapshot.index:
            raise JournalDamaged(
                f"{path}: the journal starts after entry {self._base_index}, the "
                f"snapshot is older and ends at entry {snapshot.index}"
            )
        # The process stopped after it wrote the snapshot and before the new journal.
        self._stored.entries = retain_after_snapshot(
            snapshot, *base, self._stored.entries
        )
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
                raise JournalDamaged(
                    f"{self._folder}: journal record truncates at entry {fields[0]}, "
                    f"expected {self._base_index + 1} to {following}"
                )
            del entries[fields[0] - self._base_index - 1 :]
            return
        entry = _unpack_entry(fields)
        if entry.index != following:
            raise JournalDamaged(
                f"{self._folder}: journal holds entry {entry.index}, expected "
                f"entry {following}"
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
