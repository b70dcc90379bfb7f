"""Tests of `Replica`: random faults, commands, restarts and read-index rounds."""

import math

import pytest

from bench.consensus_oracle import OracleError
from bench.consensus_simulation import FUZZ_FAULTS, Simulation
from bench.memory_storage import Disk, MemoryStorage
from monsoonlug.actions import Apply, ReadIndexConfirmed, Restore, Role
from monsoonlug.consensus import MAX_COMMAND_SIZE
from monsoonlug.exceptions import (
    CommandTooLarge,
    NotLeader,
)
from monsoonlug.journal import FileStorage
from tests.consensus_helpers import (
    list_indexes,
    make_append_response,
    make_group,
    make_leadership,
    make_replica,
)


@pytest.mark.parametrize(
    ("seed", "size"), [(0, 3), (1, 3), (2, 3), (3, 3), (4, 5), (5, 5)]
)
def test_random_faults_violate_no_invariant(seed, size):
    """Guards against lost or reordered commands, two leaders in a term, stale reads."""
    simulation = Simulation(seed=seed, size=size, faults=FUZZ_FAULTS)
    simulation.run_steps(6_000)
    simulation.settle()
    assert len(simulation.oracle.acknowledged) > 200
    assert simulation.oracle.rounds_confirmed > 10


def test_oracle_detects_a_lost_command():
    """Guards against an oracle that accepts any history."""
    simulation, leader, others = make_group(commands=20)
    for node in others:
        simulation.oracle.is_disk_lost = True
        node.disk.state.entries[5:] = []
        simulation.crash(node.name)
        simulation.start(node.name)
    simulation.crash(leader.name)
    with pytest.raises(OracleError):
        simulation.settle()


def test_single_member_commits_at_once():
    """Guards against a single-member group that waits for a response or a timer."""
    replica = make_replica(MemoryStorage(disk=Disk(identity="x")))
    replica.tick(0.0)
    assert replica.role is Role.LEADER
    index, actions = replica.propose(0.0, b"command")
    assert actions == [Apply(index=index, term=1, command=b"command")]
    round_id, actions = replica.begin_round(0.5)
    confirmed = ReadIndexConfirmed(
        round_id=round_id, commit_index=index, started_at=0.5
    )
    assert actions == [confirmed]
    assert replica.confirmed_at() == 0.5


def test_restart_replays_snapshot_then_tail(tmp_path):
    """Guards against lost or repeated entries after a restart from files."""
    storage = FileStorage(folder=tmp_path)
    replica = make_replica(storage)
    replica.tick(0.0)
    for number in range(700):
        index, _ = replica.propose(0.0, b"%d" % number, flush=number % 50 == 0)
    replica.tick(0.0)
    replica.compact(400, b"state")
    storage.close()
    storage = FileStorage(folder=tmp_path)
    replica = make_replica(storage, now=9.0)
    actions = replica.tick(9.0)
    storage.close()
    assert actions[0] == Restore(index=400, state=b"state")
    assert list_indexes(actions) == list(range(401, index + 1))


def test_proposals_without_flush_share_one_sync(monkeypatch):
    """Guards against a sync for each command of a batch."""
    storage = MemoryStorage(disk=Disk(identity="x"))
    replica = make_replica(storage)
    replica.tick(0.0)
    syncs = []
    monkeypatch.setattr(storage, "sync", lambda: syncs.append(1))
    for _ in range(10):
        _, actions = replica.propose(0.0, b"command", flush=False)
        assert actions == []
    assert len(list_indexes(replica.tick(0.0))) == 10
    assert len(syncs) == 1


def test_follower_rejects_leader_calls():
    """Guards against a follower that proposes commands or membership changes."""
    replica = make_replica(MemoryStorage(disk=Disk(identity="x")), members=("a", "b"))
    for call in (
        lambda: replica.propose(0.0, b""),
        lambda: replica.begin_round(0.0),
        lambda: replica.add_learner(0.0, "c", "z"),
        lambda: replica.is_repaired("a"),
    ):
        with pytest.raises(NotLeader):
            call()
    assert replica.confirmed_at() == -math.inf


def test_oversized_command_is_refused():
    """Guards against an entry that exceeds the size limit of a frame."""
    replica = make_replica(MemoryStorage(disk=Disk(identity="x")))
    replica.tick(0.0)
    replica.propose(0.0, bytes(MAX_COMMAND_SIZE))
    with pytest.raises(CommandTooLarge):
        replica.propose(0.0, bytes(MAX_COMMAND_SIZE + 1))


def test_round_counts_only_requests_sent_after_it_began():
    """Guards against a round confirmed by the response to an earlier heartbeat."""
    leadership = make_leadership()
    leadership.broadcast(0.0, 2)
    leadership.begin_round(0.1, 1)
    leadership.handle_append_response(0.2, "b", make_append_response(sequence=2), 2)
    assert leadership.pop_confirmed_rounds(2) == []
    leadership.broadcast(0.2, 2)
    leadership.handle_append_response(0.3, "b", make_append_response(sequence=3), 2)
    assert leadership.pop_confirmed_rounds(2)[0].started_at == 0.1


def test_new_leader_confirms_no_round_before_its_first_commit():
    """Guards against a read at a commit index below that of the previous leader."""
    leadership = make_leadership()
    leadership.begin_round(0.1, 1)
    leadership.broadcast(0.1, 1)
    response = make_append_response(sequence=2, accepted=False, match_index=1)
    leadership.handle_append_response(0.2, "b", response, 1)
    assert leadership.pop_confirmed_rounds(1) == []
    assert len(leadership.pop_confirmed_rounds(2)) == 1


def test_response_to_a_request_of_an_earlier_term_does_not_count():
    """Guards against a late response that confirms a round or revokes a follower.

    A replica led twice. A follower already in its second term responded to a request
    of its first term, with a higher sequence number (found by seed 303).
    """
    simulation, leader, others = make_group(commands=5)
    simulation.isolate(leader.name)
    late = make_append_response(
        term=leader.replica.term,
        identity=others[0].disk.identity,
        request_term=leader.replica.term - 1,
        sequence=1_000_000,
        last_index=0,
    )
    simulation.confirm_round(leader)
    before = simulation.oracle.rounds_confirmed
    simulation.call(leader, lambda r, now: r.receive(now, others[0].name, late))
    simulation.call(leader, lambda r, now: r.tick(now))
    assert simulation.oracle.rounds_confirmed == before
