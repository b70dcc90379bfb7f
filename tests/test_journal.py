"""Tests of the journal and snapshot files of a data folder."""

import os
import shutil

import msgpack
import pytest

from monsoonlug.exceptions import (
    FolderCopied,
    FolderLocked,
    JournalDamaged,
    SyncFailed,
)
from monsoonlug.frames import encode_frame
from monsoonlug.journal import Entry, EntryKind, FileStorage, Snapshot

# Size in bytes of the frame that holds the tenth entry of the fixture `filled`.
LAST_FRAME_SIZE = len(encode_frame(msgpack.packb([[1, 10, 1, 1, b"command"]])))


def make_entry(index, term=1, data=b"command"):
    return Entry(index=index, term=term, kind=EntryKind.COMMAND, data=data)


def make_snapshot(index, term=1, state=b"state"):
    return Snapshot(index=index, term=term, members=b"members", state=state)


def list_indexes(storage):
    return [entry.index for entry in storage.load().entries]


@pytest.fixture
def folder(tmp_path):
    return tmp_path / "data"


@pytest.fixture
def reopen(folder):
    """Closes the last storage of the folder and opens a new one."""
    opened = []

    def open_again():
        for storage in opened:
            storage.close()
        opened.append(FileStorage(folder=folder))
        return opened[-1]

    yield open_again
    for storage in opened:
        storage.close()


@pytest.fixture
def filled(reopen, folder):
    """A closed folder with a vote and ten entries, each synced by itself."""
    storage = reopen()
    storage.save_vote(1, "a")
    for index in range(1, 11):
        storage.append([make_entry(index)])
        storage.sync()
    storage.close()
    return folder / "journal"


def test_synced_records_survive_a_restart(reopen):
    """Guards against lost votes, entries or truncations."""
    storage = reopen()
    storage.append([make_entry(index) for index in range(1, 6)])
    storage.truncate_from(3)
    storage.append([make_entry(3, term=2)])
    storage.save_vote(2, "b")
    stored = reopen().load()
    assert (stored.term, stored.vote) == (2, "b")
    assert [(e.index, e.term) for e in stored.entries] == [(1, 1), (2, 1), (3, 2)]


def test_unsynced_records_are_not_written(reopen):
    """Guards against a write before the sync, which could tear an earlier frame."""
    storage = reopen()
    storage.append([make_entry(1)])
    assert list_indexes(reopen()) == []


def test_identity_is_random_and_persistent(reopen, tmp_path):
    """Guards against data folders with equal or changing identities."""
    first = reopen().identity
    assert reopen().identity == first
    other = FileStorage(folder=tmp_path / "other")
    assert other.identity != first
    other.close()


def test_torn_last_record_is_truncated_at_every_length(filled, reopen):
    """Guards against a start that fails, or keeps half a record, after a torn write."""
    data = filled.read_bytes()
    for cut in range(1, LAST_FRAME_SIZE + 1):
        filled.write_bytes(data[:-cut])
        storage = reopen()
        assert list_indexes(storage) == list(range(1, 10))
        storage.append([make_entry(10, term=2)])
        storage.sync()
        assert reopen().load().entries[-1].term == 2


def test_unwritten_last_pages_are_truncated(filled, reopen):
    """Guards against a failed start after a crash that left zeros at the end."""
    data = filled.read_bytes()
    for lost in (1, 10, LAST_FRAME_SIZE):
        filled.write_bytes(data[:-lost] + bytes(lost))
        assert list_indexes(reopen()) == list(range(1, 10))


def test_damage_in_the_middle_is_an_error(filled, reopen):
    """Guards against the silent loss of acknowledged entries."""
    data = filled.read_bytes()
    for position in range(len(data) - LAST_FRAME_SIZE):
        damaged = bytearray(data)
        damaged[position] ^= 0x40
        filled.write_bytes(damaged)
        with pytest.raises(JournalDamaged):
            reopen()


def test_lost_frame_in_the_middle_is_an_error(filled, reopen):
    """Guards against a gap between complete frames."""
    data = filled.read_bytes()
    filled.write_bytes(data[: -3 * LAST_FRAME_SIZE] + data[-2 * LAST_FRAME_SIZE :])
    with pytest.raises(JournalDamaged, match="holds entry 9, expected entry 8"):
        reopen()


@pytest.mark.parametrize("name", ["journal", "identity", "snapshot"])
def test_missing_file_is_an_error(reopen, folder, name):
    """Guards against a replica that starts empty with its previous identity."""
    storage = reopen()
    storage.append([make_entry(1), make_entry(2)])
    storage.sync()
    storage.install_snapshot(make_snapshot(1))
    storage.close()
    (folder / name).unlink()
    with pytest.raises(JournalDamaged, match="missing"):
        reopen()


def test_copied_folder_is_refused(reopen, folder, tmp_path):
    """Guards against an older copy that votes without the entries it acknowledged."""
    reopen().close()
    shutil.copytree(folder, tmp_path / "copy")
    with pytest.raises(FolderCopied, match="as a learner"):
        FileStorage(folder=tmp_path / "copy")


def test_older_journal_in_its_folder_is_refused(filled, reopen, tmp_path):
    """Guards against an older journal that is restored over the current one."""
    copy = tmp_path / "backup"
    shutil.copy(filled, copy)
    os.replace(copy, filled)
    with pytest.raises(FolderCopied):
        reopen()


def test_second_process_is_refused(reopen, folder):
    """Guards against two writers of one journal."""
    reopen()
    with pytest.raises(FolderLocked):
        FileStorage(folder=folder)


def test_storage_is_unusable_after_a_failed_sync(reopen, monkeypatch):
    """Guards against a retry, which the kernel may report as successful after it
    dropped the dirty pages.
    """
    storage = reopen()
    storage.append([make_entry(1)])

    def fail(file):
        raise OSError(5, "Input/output error")

    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", fail)
        with pytest.raises(SyncFailed):
            storage.sync()
    with pytest.raises(SyncFailed):
        storage.sync()
    with pytest.raises(SyncFailed):
        storage.append([make_entry(2)])
    with pytest.raises(SyncFailed):
        storage.save_vote(9, "x")


def test_snapshot_replaces_only_the_entries_up_to_it(reopen):
    """Guards against a journal that never shrinks and against lost later entries."""
    storage = reopen()
    storage.save_vote(1, "a")
    storage.append([make_entry(index) for index in range(1, 801)])
    storage.sync()
    storage.install_snapshot(make_snapshot(500))
    storage.append([make_entry(801)])
    storage.sync()
    stored = reopen().load()
    assert stored.snapshot == make_snapshot(500)
    assert (stored.term, stored.vote) == (1, "a")
    assert [e.index for e in stored.entries] == list(range(501, 802))


def test_snapshot_with_a_conflicting_term_discards_the_log(reopen):
    """Guards against conflicting entries that follow a snapshot of the leader."""
    storage = reopen()
    storage.append([make_entry(1), make_entry(2)])
    storage.sync()
    storage.install_snapshot(make_snapshot(1, term=2))
    assert list_indexes(reopen()) == []


@pytest.mark.parametrize("name", ["fsync", "replace"])
@pytest.mark.parametrize("position", range(5))
def test_crash_while_a_snapshot_is_stored(reopen, monkeypatch, name, position):
    """Guards against a mix of old and new files that cannot be opened."""
    storage = reopen()
    storage.save_vote(3, "a")
    storage.append([make_entry(index) for index in range(1, 5)])
    storage.sync()
    real = getattr(os, name)
    calls = []

    def fail(*arguments):
        calls.append(arguments)
        if len(calls) > position:
            raise OSError(5, "the process ends here")
        return real(*arguments)

    with monkeypatch.context() as patch:
        patch.setattr(os, name, fail)
        try:
            storage.install_snapshot(make_snapshot(2))
        except SyncFailed:
            pass
    stored = reopen().load()
    base = stored.snapshot.index if stored.snapshot else 0
    assert (stored.term, stored.vote) == (3, "a")
    assert [e.index for e in stored.entries] == list(range(base + 1, 5))
    assert base in (0, 2)


@pytest.mark.parametrize("position", range(4))
def test_crash_while_the_folder_is_created(folder, reopen, monkeypatch, position):
    """Guards against a folder that cannot be opened after a crash at first start."""
    real = os.fsync
    calls = []

    def fail(file):
        calls.append(file)
        if len(calls) > position:
            raise OSError(5, "the process ends here")
        real(file)

    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", fail)
        with pytest.raises(SyncFailed):
            FileStorage(folder=folder)
    assert reopen().load().entries == []
