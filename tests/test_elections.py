"""Tests of elections and leader failover."""

import pytest

from bench.election_times import measure_election
from monsoonlug.actions import Role
from monsoonlug.exceptions import (
    MembershipRefused,
    NotLeader,
)
from monsoonlug.leadership import QUORUM_TIMEOUT
from monsoonlug.peer_messages import (
    VoteRequest,
    VoteResponse,
)
from tests.consensus_helpers import (
    list_indexes,
    list_messages,
    make_append_response,
    make_follower,
    make_group,
    make_new_leader,
    make_replica,
)


@pytest.mark.parametrize("term", [1, 5])
def test_replica_votes_once_per_term_across_a_restart(term):
    """Guards against two leaders in one term."""
    replica, storage = make_follower()
    fields = {"term": term, "identity": "y", "last_index": 3, "last_term": 1}
    request = VoteRequest(**fields, pre_vote=False)
    responses = list_messages(replica.receive(1.0, "b", request), VoteResponse)
    assert responses[0].granted
    replica = make_replica(storage, now=1.0, members=("a", "b", "c"))
    responses = list_messages(replica.receive(2.0, "c", request), VoteResponse)
    assert not responses[0].granted
    responses = list_messages(replica.receive(2.0, "b", request), VoteResponse)
    assert responses[0].granted


def test_replica_with_a_live_leader_grants_no_vote():
    """Guards against a removed replica that deposes the leader."""
    replica, _ = make_follower()
    request = VoteRequest(
        term=5, identity="y", last_index=9, last_term=1, pre_vote=False
    )
    responses = list_messages(replica.receive(0.1, "b", request), VoteResponse)
    assert not responses[0].granted
    assert replica.term == 1


def test_entry_of_an_earlier_term_is_not_committed_by_replica_count():
    """Guards against a committed entry that a later leader may still replace."""
    new_leader = make_new_leader()
    response = make_append_response(sequence=1, match_index=3, last_index=3)
    assert list_indexes(new_leader.receive(1.0, "b", response)) == []
    response = make_append_response(sequence=3, match_index=4, last_index=4)
    assert list_indexes(new_leader.receive(1.0, "b", response)) == [2, 3]


def test_new_leader_changes_no_members_before_its_first_commit():
    """Guards against changes by successive leaders with disjoint majorities."""
    new_leader = make_new_leader()
    with pytest.raises(MembershipRefused, match="has not committed"):
        new_leader.remove(1.0, "c")


@pytest.mark.parametrize(("index", "term"), [(2, 1), (9, 0)])
def test_candidate_with_an_older_log_gets_no_vote(index, term):
    """Guards against a leader that lacks committed entries."""
    replica, _ = make_follower()
    request = VoteRequest(
        term=5, identity="y", last_index=index, last_term=term, pre_vote=False
    )
    responses = list_messages(replica.receive(1.0, "b", request), VoteResponse)
    assert not responses[0].granted


def test_reconnected_replica_does_not_depose_the_leader():
    """Guards against an election whenever an isolated replica reconnects."""
    simulation, leader, others = make_group()
    term = leader.replica.term
    simulation.isolate(others[0].name)
    simulation.run_for(2.0)
    assert others[0].replica.term == term
    simulation.blocked_links.clear()
    simulation.run_for(1.0)
    assert simulation.find_leader() is leader
    assert leader.replica.term == term


def test_failover_time_is_within_its_budget():
    """Guards against elections longer than the budget for a lost failure domain."""
    times = sorted(measure_election(seed) for seed in range(60))
    assert times[len(times) // 2] < 0.250
    assert times[int(len(times) * 0.95)] < 0.310
    assert times[-1] < 0.600


def test_isolated_leader_steps_down():
    """Guards against a leader that stays in office without a majority."""
    simulation, leader, _ = make_group()
    simulation.isolate(leader.name)
    simulation.run_for(QUORUM_TIMEOUT + 0.02)
    assert leader.replica.role is Role.FOLLOWER


def test_paused_leader_confirms_no_round():
    """Guards against a leader that counts responses from before its pause."""
    simulation, leader, others = make_group(commands=5)
    simulation.confirm_round(leader)
    simulation.pause(leader.name, 2.0)
    simulation.run_for(1.0)
    new = [node for node in others if node.replica.role is Role.LEADER]
    simulation.propose(new[0])
    simulation.run_for(0.5)
    before = simulation.oracle.rounds_confirmed
    leader.paused_until = 0.0
    with pytest.raises(NotLeader):
        simulation.confirm_round(leader)
    simulation.run_for(1.0)
    assert simulation.oracle.rounds_confirmed == before
    assert leader.replica.role is Role.FOLLOWER
