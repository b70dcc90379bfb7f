"""Tests of membership changes, data folder identities and repairs."""

import pytest

from bench.consensus_simulation import SETTLE_TIME, Simulation
from bench.memory_storage import Disk, MemoryStorage
from monsoonlug.actions import FolderRefused, Role
from monsoonlug.exceptions import (
    MembershipRefused,
)
from monsoonlug.journal import EntryKind
from monsoonlug.leadership import QUORUM_TIMEOUT
from monsoonlug.membership import MemberRole, Members
from monsoonlug.peer_messages import (
    IdentityRefused,
    VoteRequest,
    VoteResponse,
)
from tests.consensus_helpers import (
    list_messages,
    make_append_request,
    make_append_response,
    make_follower,
    make_group,
    make_leadership,
    make_member,
    make_new_leader,
    make_replica,
)


def test_wiped_replica_does_not_count():
    """Guards against a majority that includes a replica that lost its data folder."""
    simulation, leader, others = make_group(commands=10)
    wiped, other = others
    simulation.wipe(wiped.name)
    simulation.start(wiped.name)
    simulation.run_for(0.5)
    assert wiped.replica.is_refused
    assert leader.replica.refused_identities == {wiped.name: wiped.disk.identity}
    simulation.crash(other.name)
    simulation.run_for(2.0)
    assert simulation.find_leader() is None
    assert wiped.replica.members.members == ()


def test_vote_of_a_wiped_replica_does_not_count():
    """Guards against a leader that lacks what the wiped replica acknowledged."""
    simulation, leader, others = make_group(commands=10)
    terms = dict(simulation.oracle.leaders)
    simulation.crash(leader.name)
    simulation.wipe(others[0].name)
    simulation.start(others[0].name)
    simulation.run_for(3.0)
    assert simulation.oracle.leaders == terms


def test_refused_replica_votes_again_once_a_leader_accepts_it():
    """Guards against votes of a refused replica and against a permanent refusal."""
    replica, _ = make_follower()
    refusal = IdentityRefused(term=1, identity="folder of a")
    assert replica.receive(0.0, "b", refusal) == [FolderRefused(identity="folder of a")]
    fields = {"identity": "y", "last_index": 3, "last_term": 1, "pre_vote": True}
    request = VoteRequest(term=5, **fields)
    responses = list_messages(replica.receive(1.0, "c", request), VoteResponse)
    assert not responses[0].granted
    replica.receive(1.0, "b", make_append_request(previous_index=3, previous_term=1))
    responses = list_messages(replica.receive(2.0, "c", request), VoteResponse)
    assert responses[0].granted


def test_follower_that_lost_entries_is_excluded_from_quorums():
    """Guards against a quorum with a follower that lost acknowledged entries."""
    leadership = make_leadership()
    leadership.broadcast(0.0, 2)
    leadership.handle_append_response(
        0.1, "b", make_append_response(match_index=2, last_index=2), 2
    )
    leadership.broadcast(0.2, 2)
    lost = make_append_response(sequence=3, accepted=False, last_index=1)
    leadership.handle_append_response(0.3, "b", lost, 2)
    assert leadership.list_regressed() == ["b"]
    assert not leadership.is_responsive("b", 0.3)
    leadership.begin_round(0.8, 1)
    leadership.broadcast(0.8, 2)
    again = make_append_response(sequence=9, match_index=2, last_index=2)
    leadership.handle_append_response(0.9, "b", again, 2)
    assert leadership.find_commit() == 0
    assert leadership.pop_confirmed_rounds(2) == []
    assert not leadership.has_quorum(0.9)


def test_two_wiped_replicas_bootstrap_no_second_group():
    """Guards against a second group with an empty log beside the existing one."""
    simulation, leader, others = make_group(commands=10)
    for node in others:
        simulation.wipe(node.name)
        simulation.start(node.name)
    simulation.run_for(3.0)
    assert simulation.find_leader() is None
    simulation.crash(leader.name)
    simulation.run_for(3.0)
    assert simulation.find_leader() is None


def test_first_election_needs_every_member():
    """Guards against two groups that bootstrap before the identities are known."""
    simulation = Simulation(seed=1, with_clients=False)
    simulation.crash("r2")
    simulation.run_for(3.0)
    assert simulation.find_leader() is None
    simulation.start("r2")
    simulation.wait_for_leader()


def test_replica_restored_from_a_backup_is_revoked():
    """Guards against a voter that lost acknowledged entries with an older disk."""
    simulation, leader, others = make_group()
    restored, other = others
    backup = restored.disk.copy()
    for _ in range(20):
        simulation.propose(leader)
    simulation.run_for(0.2)
    simulation.restore_disk(restored.name, backup)
    simulation.run_for(1.0)
    member = leader.replica.members.find(restored.name)
    assert member.role is MemberRole.REVOKED
    assert restored.replica.is_refused
    with pytest.raises(MembershipRefused):
        leader.replica.promote(0.0, restored.name)
    simulation.crash(other.name)
    simulation.run_for(1.0)
    assert simulation.find_leader() is None


@pytest.mark.parametrize("lost", [0, 1])
@pytest.mark.parametrize("seed", range(3))
def test_group_survives_a_second_loss_after_a_reported_repair(seed, lost):
    """Guards against a repair reported before the replica can replace another one."""
    simulation, leader, others = make_group(seed=seed, commands=50)
    simulation.compact(leader)
    repaired = others[0]
    simulation.wipe(repaired.name)
    simulation.start(repaired.name)
    for _ in range(20):
        simulation.propose(leader)
    simulation.run_until(lambda: simulation.repair(repaired.name))
    simulation.crash([leader, others[1]][lost].name)
    leader = simulation.wait_for_leader()
    simulation.propose(leader)
    simulation.run_for(SETTLE_TIME)
    for node in simulation.nodes.values():
        if node.replica:
            simulation.oracle.check_last(node.last_index, node.name)


def test_learner_is_not_promoted_before_it_has_synced_everything():
    """Guards against a voter that lacks committed entries."""
    simulation, leader, others = make_group(commands=10)
    learner = others[0]
    simulation.wipe(learner.name)
    simulation.repair(learner.name)
    simulation.run_for(0.2)
    with pytest.raises(MembershipRefused, match="has not synced"):
        simulation.call(leader, lambda r, now: r.promote(now, learner.name))
    simulation.start(learner.name)
    simulation.run_until(lambda: simulation.repair(learner.name))
    assert learner.name in leader.replica.members.voters


def test_lost_learner_is_not_promoted():
    """Guards against a larger quorum that depends on a replica which is down."""
    simulation, leader, others = make_group(commands=10)
    learner = others[0]
    simulation.wipe(learner.name)
    simulation.start(learner.name)
    simulation.repair(learner.name)
    simulation.run_for(0.5)
    simulation.crash(learner.name)
    simulation.run_for(QUORUM_TIMEOUT + 0.1)
    with pytest.raises(MembershipRefused, match="has not synced"):
        simulation.call(leader, lambda r, now: r.promote(now, learner.name))


def test_uncommitted_change_refuses_no_replica():
    """Guards against a voter that stays refused after the change was replaced."""
    new_leader = make_new_leader()
    response = make_append_response(sequence=3, match_index=4, last_index=4)
    new_leader.receive(1.0, "b", response)
    new_leader.remove(1.0, "c")
    request = VoteRequest(
        term=3, identity="folder of c", last_index=3, last_term=1, pre_vote=True
    )
    assert new_leader.receive(1.0, "c", request) == []
    response = make_append_response(sequence=4, match_index=5, last_index=5)
    new_leader.receive(1.0, "b", response)
    refusals = list_messages(new_leader.receive(1.0, "c", request), IdentityRefused)
    assert refusals[0].identity == "folder of c"


def test_repair_is_not_reported_while_entries_are_missing():
    """Guards against a repair reported before the replica has synced everything."""
    simulation, leader, others = make_group(commands=10)
    assert leader.replica.is_repaired(others[0].name)
    simulation.isolate(others[0].name)
    simulation.propose(leader)
    simulation.run_for(0.1)
    assert leader.last_index == simulation.oracle.highest_acknowledged
    assert not leader.replica.is_repaired(others[0].name)
    simulation.blocked_links.clear()
    simulation.run_for(0.2)
    assert leader.replica.is_repaired(others[0].name)


def test_member_list_of_a_truncated_entry_is_reverted():
    """Guards against a quorum by a member list that was never committed."""
    replica, _ = make_follower()
    before = replica.members
    changed = Members(members=(make_member("z"),)).pack()
    rows = [[1, EntryKind.MEMBERS.value, changed]]
    replica.receive(
        0.0, "b", make_append_request(previous_index=3, previous_term=1, entries=rows)
    )
    assert replica.members.voters == ("z",)
    request = make_append_request(
        term=2, previous_index=3, previous_term=1, entries=[[2, 1, b"new"]]
    )
    replica.receive(0.0, "c", request)
    assert replica.members == before


def test_only_one_membership_change_at_a_time():
    """Guards against two changes with disjoint majorities."""
    simulation, leader, others = make_group()
    simulation.isolate(leader.name)
    simulation.call(leader, lambda r, now: r.add_learner(now, "d", "folder of d"))
    with pytest.raises(MembershipRefused, match="entry 2 is not committed"):
        simulation.call(leader, lambda r, now: r.remove(now, others[0].name))


def test_removed_leader_steps_down():
    """Guards against a group without a leader after its leader is removed."""
    simulation, leader, _ = make_group(commands=5)
    simulation.call(leader, lambda r, now: r.remove(now, leader.name))
    simulation.run_for(1.0)
    assert leader.replica.role is Role.FOLLOWER
    new = simulation.wait_for_leader()
    assert new is not leader
    assert leader.name not in new.replica.members.voters


def test_last_voter_cannot_be_removed_or_replaced():
    """Guards against a group that can never commit again."""
    replica = make_replica(MemoryStorage(disk=Disk(identity="x")))
    replica.tick(0.0)
    for call in (
        lambda: replica.remove(0.0, "a"),
        lambda: replica.add_learner(0.0, "a", "new"),
    ):
        with pytest.raises(MembershipRefused, match="last voter"):
            call()
