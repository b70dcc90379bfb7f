"""Tests that this build and the previous one read what the other stores and sends.

`data/previous-build` was written by `write_previous_build.py` with the sources of
eb6de7c.
"""

import asyncio
import shutil
from pathlib import Path

import msgpack
import pytest

from monsoonlug import messages
from monsoonlug.exceptions import StaleRevision
from monsoonlug.fleet import FleetState, FleetView
from monsoonlug.fleet_messages import FleetDelta, Ping
from monsoonlug.journal import FileStorage
from monsoonlug.streams import MessageStream
from tests.test_storage_failures import ControlFleet
from tests.write_previous_build import (
    LATER_TYPES,
    SNAPSHOT_INDEX,
    build_samples,
    import_all_modules,
    write_folder,
)

import_all_modules()
PREVIOUS = Path(__file__).parent / "data" / "previous-build"
LATER_TYPE = 9_999


def read_log():
    commands, states = msgpack.unpackb(
        (PREVIOUS / "log").read_bytes(), strict_map_key=False
    )
    return commands, states


def test_messages_of_the_previous_build_are_read():
    """Guards against a message whose fields changed their order, type or number."""
    for body in msgpack.unpackb((PREVIOUS / "messages").read_bytes()):
        assert messages.encode(messages.decode(body)) == body


def test_messages_are_written_for_the_previous_build():
    """Guards against a field or a type that the previous build does not know.

    It closes a stream on which one arrives.
    """
    known = set(msgpack.unpackb((PREVIOUS / "messages").read_bytes()))
    assert {messages.encode(message) for message in build_samples()} == known
    numbers = {msgpack.unpackb(body, strict_map_key=False)[0] for body in known}
    later = set(messages._types_by_number) - numbers
    assert later - {messages._numbers_by_type[messages.Compressed]} == LATER_TYPES


def test_both_builds_apply_a_log_to_the_same_state():
    """Guards against replicas of two builds whose states differ."""
    commands, states = read_log()
    state = FleetState()
    for index, command in enumerate(commands, start=1):
        state.apply(index, FleetState.decode_command(command))
        if index in states:
            assert state.pack() == states[index]


def test_states_of_the_previous_build_are_continued():
    """Guards against a snapshot that is read into another state."""
    commands, states = read_log()
    last = max(states)
    for start, packed in states.items():
        state = FleetState.unpack(packed)
        for index in range(start + 1, last + 1):
            state.apply(index, FleetState.decode_command(commands[index - 1]))
        assert state.pack() == states[last]


def test_data_folder_of_the_previous_build_is_read(tmp_path):
    """Guards against a replica that does not start after its upgrade."""
    shutil.copytree(PREVIOUS / "data", tmp_path / "data")
    storage = FileStorage(folder=tmp_path / "data", detect_copies=False)
    stored = storage.load()
    storage.close()
    commands, states = read_log()
    assert (stored.term, stored.vote) == (3, "10.0.0.1:7660")
    assert stored.snapshot.index == SNAPSHOT_INDEX
    assert [entry.data for entry in stored.entries] == commands[SNAPSHOT_INDEX:]
    state = FleetState.unpack(stored.snapshot.state)
    for entry in stored.entries:
        state.apply(entry.index, FleetState.decode_command(entry.data))
    assert state.pack() == states[max(states)]


def test_data_folder_is_written_for_the_previous_build(tmp_path):
    """Guards against a journal or snapshot that the previous build cannot read."""
    write_folder(tmp_path / "folder")
    for name in ("messages", "log"):
        written = (tmp_path / "folder" / name).read_bytes()
        assert written == (PREVIOUS / name).read_bytes()
    sizes = {
        name: (tmp_path / "folder" / "data" / name).stat().st_size
        for name in ("journal", "snapshot")
    }
    for name, size in sizes.items():
        # The identity of the folder differs in its value, not in its length.
        assert size == (PREVIOUS / "data" / name).stat().st_size


async def test_stream_skips_messages_of_later_versions():
    """Guards against a closed stream after the peer was upgraded."""
    received = []

    async def serve(reader, writer):
        stream = MessageStream(reader=reader, writer=writer)
        received.append(await stream.receive())
        stream.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for body in (msgpack.packb([LATER_TYPE, 1]), messages.encode(Ping(number=7))):
        writer.write(len(body).to_bytes(4, "big") + body)
    assert await asyncio.wait_for(reader.read(), 5.0) == b""
    writer.close()
    server.close()
    assert received == [Ping(number=7)]


def test_entry_leaves_out_changes_of_later_versions():
    """Guards against an entry that asks for the whole view again and again."""
    later = msgpack.packb([LATER_TYPE, 1])
    view = FleetView()
    view.apply(FleetDelta(base=0, revision=5, changes=[later]))
    assert view.revision == 5
    with pytest.raises(StaleRevision):
        view.apply(FleetDelta(base=0, revision=5, changes=[]))
    packed = msgpack.packb([6, [later]])
    assert FleetView.unpack(packed, skip_unknown=True).revision == 6


def test_replicas_halt_at_a_command_of_a_later_version(tmp_path):
    """Guards against replicas that skip a command and then differ from the others.

    They go on as soon as a later version starts from their data folders.
    """
    fleet = ControlFleet(tmp_path)
    fleet.run_for(3.0)
    leader = fleet.find_leader()
    with leader._halting_on_failure():
        _, actions = leader.replica.propose(fleet.now, msgpack.packb([LATER_TYPE, 1]))
        leader._execute(actions)
    halted = set()
    for _ in range(200):
        fleet.run_for(0.02)
        halted |= {name for name, group in fleet.groups.items() if group.is_halted}
        assert not any(group.state.view.revision for group in fleet.groups.values())
    assert halted == set(fleet.groups)
    fleet.close()
