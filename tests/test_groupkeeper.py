"""Tests of the members that a leader admits and replaces by itself."""

from monsoonlug.groupkeeper import GONE_AFTER, GroupKeeper
from monsoonlug.membership import MemberRole
from tests.consensus_helpers import make_group


class Keeper:
    """Lets whichever replica leads keep the members of a simulated group."""

    def __init__(self, simulation):
        self.simulation = simulation

    def run_for(self, seconds):
        until = self.simulation.now + seconds
        while self.simulation.now < until:
            self.simulation.run_for(0.2)
            leader = self.simulation.find_leader()
            if leader is not None:
                self.keep(leader)

    def keep(self, leader):
        now = leader.read_clock(self.simulation.now)

        def is_heard(name, seconds):
            if name == leader.name:
                return True
            return leader.replica.heard_at(name) > now - seconds

        keeper = GroupKeeper(replica=leader.replica, is_heard=is_heard)
        change = keeper.choose()
        if change is not None:
            self.simulation.call(
                leader,
                lambda replica, at: change.change(at, *change.arguments),
            )

    def list_voters(self):
        leader = self.simulation.wait_for_leader()
        return set(leader.replica.members.voters)


def test_new_replicas_become_voters():
    """Guards against a group that stays at the replicas that founded it."""
    simulation, _, _ = make_group(commands=5)
    keeper = Keeper(simulation)
    simulation.add_node("r4")
    simulation.add_node("r5")
    keeper.run_for(6.0)
    assert len(keeper.list_voters()) == 5


def test_wiped_replica_is_admitted_again():
    """Guards against a group that a second loss would stop after a lost disk."""
    simulation, leader, others = make_group(commands=5)
    keeper = Keeper(simulation)
    wiped = others[0]
    simulation.wipe(wiped.name)
    simulation.start(wiped.name)
    keeper.run_for(4.0)
    member = leader.replica.members.find(wiped.name)
    assert member.role is MemberRole.VOTER
    assert member.identity == wiped.disk.identity
    simulation.crash(others[1].name)
    simulation.run_for(2.0)
    assert simulation.find_leader() is not None


def test_voter_that_is_gone_makes_room_for_a_new_one():
    """Guards against a quorum that counts machines which never come back."""
    simulation, _, others = make_group(commands=5)
    keeper = Keeper(simulation)
    simulation.add_node("r4")
    simulation.add_node("r5")
    keeper.run_for(6.0)
    gone = others[0].name
    simulation.crash(gone)
    simulation.add_node("r6")
    keeper.run_for(GONE_AFTER + 5.0)
    voters = keeper.list_voters()
    assert gone not in voters
    assert "r6" in voters
    assert len(voters) == 5


def test_silent_voter_without_an_heir_stays():
    """Guards against a group that shrinks while some of it are cut off."""
    simulation, _, others = make_group(commands=5)
    keeper = Keeper(simulation)
    simulation.crash(others[0].name)
    keeper.run_for(GONE_AFTER + 3.0)
    assert others[0].name in keeper.list_voters()
