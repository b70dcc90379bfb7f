"""Size and processor time of the log, snapshots, restarts and record shards."""

import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

from bench.large_fleet import name_host, register_host
from bench.series import (
    Recorder,
    Series,
    measure_bytes,
    measure_microseconds,
    measure_wall_microseconds,
)
from monsoonlug import messages
from monsoonlug.commands import Command, SetService, decode_command, encode_command
from monsoonlug.idempotency import RecordStore, ShardRole
from monsoonlug.ids import Ran, ServiceKind
from monsoonlug.journal import Entry, EntryKind, FileStorage, Snapshot
from monsoonlug.records import RecordKey, StoredAnswer
from monsoonlug.state import ControlState

SYNCED_COMMITS = 100  # entries synced one by one; the others are synced in batches
SYNC_BATCH = 500  # entries per sync
ANSWER_SIZE = 1_024  # bytes of a stored answer's body
HEADERS = [["Content-Type", "application/json"], ["ETag", '"0123456789abcdef"']]
DISTANT_FUTURE = 1e9  # seconds


def measure_log(sizes: Sequence[int], *, repeat: int) -> list[Series]:
    """Measures log, snapshot and restart by number of operators' changes."""
    recorder = Recorder(section="log", variable="entries")
    for size in sizes:
        with tempfile.TemporaryDirectory() as folder:
            data = Path(folder) / "data"
            _fill_journal(recorder, data, size)
            _measure_restart(recorder, data, size, repeat)
    return recorder.list_series()


def _list_entries(size: int) -> list[Entry]:
    commands: list[Command] = [register_host(0)]
    for number in range(size - 1):
        commands.append(
            SetService(
                change_id=f"operator-change-{number:08}",
                base=number,
                kind=ServiceKind.HOST,
                name=name_host(0),
                in_service=bool(number % 2),
            )
        )
    entries = []
    for index, command in enumerate(commands, start=1):
        data = encode_command(command)
        entries.append(Entry(index=index, term=1, kind=EntryKind.COMMAND, data=data))
    return entries


def _fill_journal(recorder: Recorder, folder: Path, size: int) -> None:
    entries = _list_entries(size)
    synced = min(size, SYNCED_COMMITS) // 2
    remaining_entries = iter(entries)
    storage = FileStorage(folder=folder)
    storage.save_vote(1, "control-1")
    journal = folder / "journal"
    before = journal.stat().st_size

    def commit() -> None:
        storage.append([next(remaining_entries)])
        storage.sync()

    recorder.add(size, "commit", "us", measure_microseconds(commit, repeat=synced))
    wall = measure_wall_microseconds(commit, repeat=synced)
    recorder.add(size, "commit_elapsed", "us", wall)
    recorder.add(
        size, "entry", "bytes", (journal.stat().st_size - before) / (2 * synced)
    )
    rest = list(remaining_entries)
    for start in range(0, len(rest), SYNC_BATCH):
        storage.append(rest[start : start + SYNC_BATCH])
        storage.sync()
    recorder.add(size, "journal", "bytes", journal.stat().st_size - before)
    storage.close()


def _measure_restart(recorder: Recorder, folder: Path, size: int, repeat: int) -> None:
    """Measures restarts from the log and from a snapshot of the same state."""
    times = []
    state = ControlState()
    for _ in range(repeat):
        started_at = time.process_time()
        storage = FileStorage(folder=folder)
        state = ControlState()
        for entry in storage.load().entries:
            state.apply(entry.index, decode_command(entry.data))
        times.append(time.process_time() - started_at)
        storage.close()
    recorder.add_median(size, "restart_from_log", "us", times)
    packed = state.pack()
    recorder.add(size, "snapshot", "bytes", len(packed))
    pack = measure_microseconds(state.pack, repeat=repeat)
    recorder.add(size, "snapshot_pack", "us", pack)
    storage = FileStorage(folder=folder)
    snapshot = Snapshot(index=state.applied_index, term=1, members=b"", state=packed)
    install = measure_microseconds(
        lambda: storage.install_snapshot(snapshot), repeat=repeat
    )
    recorder.add(size, "snapshot_install", "us", install)
    storage.close()
    times = []
    for _ in range(repeat):
        started_at = time.process_time()
        storage = FileStorage(folder=folder)
        ControlState.unpack(storage.load().snapshot.state)
        times.append(time.process_time() - started_at)
        storage.close()
    recorder.add_median(size, "restart_from_snapshot", "us", times)
    memory = measure_bytes(lambda: ControlState.unpack(packed))
    recorder.add(size, "state_memory", "bytes", memory)


def measure_records(sizes: Sequence[int], *, repeat: int) -> list[Series]:
    """Measures a record shard by number of records, with and without answers."""
    recorder = Recorder(section="records", variable="records")
    for size in sizes:
        for label, answer in (("running", None), ("answered", _make_answer())):
            memory = measure_bytes(lambda a=answer, n=size: _fill_store(n, a))
            recorder.add(size, f"memory_{label}", "bytes", memory)
            store = _fill_store(size, answer)
            sync = measure_microseconds(lambda s=store: s.sync(1.0), repeat=repeat)
            recorder.add(size, f"sync_{label}", "us", sync)
            sent = sum(len(messages.encode(part)) for part in store.sync(1.0))
            recorder.add(size, f"sync_{label}", "bytes", sent)
    return recorder.list_series()


def _make_answer() -> StoredAnswer:
    return StoredAnswer(status=200, headers=HEADERS, body=bytes(ANSWER_SIZE))


def _fill_store(size: int, answer: StoredAnswer | None) -> RecordStore:
    # A shard drops answers over its limit, so the limit grows with the records.
    store = RecordStore(
        shard=0, max_records=size + 1, max_answers_size=size * 2 * ANSWER_SIZE
    )
    store.assign(0.0, epoch=1, previous=0, role=ShardRole.PRIMARY, has_backup=True)
    for number in range(size):
        key = RecordKey(workspace="workspace-0", key=f"order-{number:012}")
        request = f"{number:016x}"
        store.begin(
            0.0,
            lease_until=DISTANT_FUTURE,
            key=key,
            request_id=request,
            fingerprint=f"{number:032x}",
            remaining=5.0,
        )
        if answer is None:
            continue
        stored = StoredAnswer(status=200, headers=list(HEADERS), body=answer.body[:-1])
        store.finish(0.0, key=key, request_id=request, ran=Ran.RAN, answer=stored)
    return store
