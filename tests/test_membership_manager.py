"""Tests of automatic membership changes."""

from monsoonlug.membership import MemberRole
from monsoonlug.membership_manager import VOTER_TIMEOUT, MembershipManager
from tests.consensus_helpers import make_group


class ManagedGroup:
    """A simulated group whose leader runs a `MembershipManager`."""

    def __init__(self, simulation):
        self.simulation = simulation

    def run_for(self, seconds):
        until = self.simulation.now + seconds
        while self.simulation.now < until:
            self.simulation.run_for(0.2)
            leader = self.simulation.find_leader()
            if leader is not None:
                self.run_manager(leader)

    def run_manager(self, leader):
        now = leader.read_clock(self.simulation.now)

        def is_responsive(name, seconds):
            if name == leader.name:
                return True
            return leader.replica.last_response_at(name) > now - seconds

        manager = MembershipManager(replica=leader.replica, is_responsive=is_responsive)
        change = manager.choose_change()
        if change is not None:
            self.simulation.call(
                leader,
                lambda replica, at: change.change(at, *change.arguments),
            )

    def list_voters(self):
        leader = self.simulation.wait_for_leader()
        return set(leader.replica.members.voters)


def test_new_replicas_become_voters():
    """Guards against a group that never admits replicas added after its bootstrap."""
    simulation, _, _ = make_group(commands=5)
    group = ManagedGroup(simulation)
    simulation.add_node("r4")
    simulation.add_node("r5")
    group.run_for(6.0)
    assert len(group.list_voters()) == 5


def test_wiped_replica_is_readmitted():
    """Guards against a group that cannot survive another loss after a lost disk."""
    simulation, leader, others = make_group(commands=5)
    group = ManagedGroup(simulation)
    wiped = others[0]
    simulation.wipe(wiped.name)
    simulation.start(wiped.name)
    group.run_for(4.0)
    member = leader.replica.members.find(wiped.name)
    assert member.role is MemberRole.VOTER
    assert member.identity == wiped.disk.identity
    simulation.crash(others[1].name)
    simulation.run_for(2.0)
    assert simulation.find_leader() is not None


def test_unresponsive_voter_is_replaced_by_a_new_replica():
    """Guards against a quorum that includes hosts which never come back."""
    simulation, _, others = make_group(commands=5)
    group = ManagedGroup(simulation)
    simulation.add_node("r4")
    simulation.add_node("r5")
    group.run_for(6.0)
    gone = others[0].name
    simulation.crash(gone)
    simulation.add_node("r6")
    group.run_for(VOTER_TIMEOUT + 5.0)
    voters = group.list_voters()
    assert gone not in voters
    assert "r6" in voters
    assert len(voters) == 5


def test_unresponsive_voter_without_a_replacement_is_kept():
    """Guards against a group that shrinks during a network partition."""
    simulation, _, others = make_group(commands=5)
    group = ManagedGroup(simulation)
    simulation.crash(others[0].name)
    group.run_for(VOTER_TIMEOUT + 3.0)
    assert others[0].name in group.list_voters()
