"""Tests of the follower side of replication."""

import pytest

from bench.consensus_simulation import Faults
from bench.memory_storage import Crash, CrashPoint
from monsoonlug.actions import Restore
from monsoonlug.exceptions import (
    DamagedFrame,
)
from monsoonlug.membership import Members
from monsoonlug.peer_messages import (
    AppendResponse,
    SnapshotChunk,
)
from tests.consensus_helpers import (
    list_indexes,
    list_messages,
    make_append_request,
    make_follower,
    make_group,
)


@pytest.mark.parametrize(
    "row", [7, [], [1, 1], [1, 99, b""], ["1", 1, b""], [1, 1, "text"], [1, 1, b"", 0]]
)
def test_malformed_entry_is_rejected_without_effect(row):
    """Guards against a malformed entry that reaches the log or ends the process."""
    replica, storage = make_follower()
    before = storage.load()
    with pytest.raises(DamagedFrame):
        replica.receive(
            0.0, "b", make_append_request(term=9, entries=[[1, 1, b"3"], row])
        )
    assert storage.load() == before
    assert replica.term == 1


@pytest.mark.parametrize("point", [CrashPoint.BEFORE_SYNC, CrashPoint.AFTER_SYNC])
def test_no_response_is_sent_before_the_sync(point):
    """Guards against an acknowledgement of an entry that a crash can lose."""
    replica, storage = make_follower()
    storage.crash_point = point
    request = make_append_request(
        previous_index=3, previous_term=1, entries=[[1, 1, b"3"]]
    )
    with pytest.raises(Crash):
        replica.receive(0.0, "b", request)


def test_conflicting_log_suffix_is_replaced():
    """Guards against uncommitted entries of a deposed leader that stay in the log."""
    replica, storage = make_follower()
    request = make_append_request(
        term=2, previous_index=2, previous_term=1, entries=[[2, 1, b"new"]]
    )
    actions = replica.receive(0.0, "c", request)
    assert list_messages(actions, AppendResponse)[0].match_index == 3
    assert storage.load().entries[-1].data == b"new"


def test_commit_index_stops_at_the_verified_prefix():
    """Guards against commits of a log suffix that the leader has not compared."""
    replica, _ = make_follower()
    request = make_append_request(term=2, previous_index=2, previous_term=1, commit=3)
    assert list_indexes(replica.receive(0.0, "c", request)) == [2]


def test_old_snapshot_chunk_does_not_revert_the_state():
    """Guards against a delayed snapshot that reverts applied commands."""
    replica, _ = make_follower()
    replica.receive(
        0.0, "b", make_append_request(previous_index=3, previous_term=1, commit=3)
    )
    chunk = SnapshotChunk(
        term=1,
        sequence=2,
        index=2,
        index_term=1,
        members=Members().pack(),
        offset=0,
        data=b"old",
        last=True,
    )
    actions = replica.receive(0.0, "b", chunk)
    assert not any(isinstance(action, Restore) for action in actions)
    assert replica.commit_index == 3


def test_large_snapshot_is_sent_in_chunks():
    """Guards against frames above the limit and duplicate transfers of a snapshot."""
    simulation, leader, others = make_group(commands=30, faults=Faults(duplication=1.0))
    simulation.crash(others[0].name)
    simulation.propose(leader)
    simulation.run_for(0.2)
    simulation.compact(leader, padding=3_000_000)
    simulation.start(others[0].name)
    before = simulation.messages_sent
    simulation.run_until(lambda: others[0].last_index == leader.last_index)
    assert others[0].disk.state.snapshot.index == leader.last_index
    assert simulation.messages_sent - before < 120
