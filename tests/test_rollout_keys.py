"""Tests of the keys of a pool while a rollout runs, in virtual time."""

import pytest

from monsoonlug.fleet_messages import DomainChanged
from monsoonlug.ids import SLICE_COUNT
from monsoonlug.rollout_messages import RolloutAdvanced, RolloutStarted, RolloutState
from tests.test_registrar import PERIOD, Leader

STEP = 0.05  # seconds
OLD = tuple(f"s{number}" for number in range(1, 7))
NEW = tuple(f"s{number}" for number in range(11, 17))


class Pool:
    """Servers of two versions that release keys as the answers tell them."""

    def __init__(self):
        self.leader = Leader()
        self.held = {name: [] for name in (*OLD, *NEW)}
        self.freed = {name: [] for name in self.held}
        self.due = {}
        for number, name in enumerate(self.held):
            self.due[name] = self.leader.now + number * PERIOD / len(self.held)
        self.silent = set(NEW)
        self.run_for(5.0)
        self.silent = set()
        started = RolloutStarted(
            pool="desk", version="v2", ordered_at_ms=1_000, duration=12.0
        )
        self.leader.commit([started])
        self.run_for(2.0)

    @property
    def view(self):
        return self.leader.fleet.state.view

    def run_for(self, seconds):
        end = self.leader.now + seconds
        while self.leader.now < end:
            self.leader.now += STEP
            for name in self.held:
                if name not in self.silent and self.due[name] <= self.leader.now:
                    self._beat(name)
            if round(self.leader.now / STEP) % 5 == 0:
                self.leader.run_timer()
            self.check_single_owners()

    def _beat(self, name):
        self.due[name] = self.leader.now + PERIOD
        freed, self.freed[name] = self.freed[name], []
        granted = self.leader.send_heartbeat(
            name,
            held=self.held[name],
            freed=freed,
            version="v1" if name in OLD else "v2",
            domain="east" if name in OLD else "west",
        )
        rows = [(row.start, row.end, row.epoch) for row in granted or ()]
        kept = {key for start, end, _ in rows for key in range(start, end + 1)}
        for start, end, _ in self.held[name]:
            if not kept.issuperset(range(start, end + 1)):
                self.freed[name].append((start, end, "token"))
        self.held[name] = rows

    def check_single_owners(self):
        holders = {}
        for name, rows in self.held.items():
            for start, *_ in rows:
                assert start not in holders, (start, name, holders[start])
                holders[start] = name

    def count_keys(self, names):
        return sum(self.leader.count_keys(name) for name in names)

    def count_held(self, names):
        return sum(
            end - start + 1 for name in names for start, end, _ in self.held[name]
        )

    def advance(self, share, state=RolloutState.RUNNING):
        number = self.view.rollouts["desk"].number
        command = RolloutAdvanced(pool="desk", number=number, state=state, share=share)
        self.leader.commit([command])


@pytest.fixture
def pool():
    return Pool()


def test_no_target_server_owns_keys_at_share_0(pool):
    """Guards against requests of a version on which no decision was made yet."""
    assert pool.count_keys(OLD) == SLICE_COUNT
    assert pool.view.get_version(pool.view.servers["s11"]) == "v2"
    assert pool.view.get_version(pool.view.servers["s1"]) == "v1"


def test_canary_gets_as_many_keys_as_at_the_end(pool):
    """Guards against a canary without evidence, and one that takes the whole pool.

    The pool has no load, so the balancer alone would move nothing.
    """
    pool.advance(0.05)
    pool.run_for(4.0)
    owners = [name for name in NEW if pool.leader.count_keys(name)]
    assert len(owners) == 1
    assert 0.6 < pool.count_held(owners) / (SLICE_COUNT / len(NEW)) < 1.4
    pool.advance(0.5)
    pool.run_for(4.0)
    owners = [name for name in NEW if pool.leader.count_keys(name)]
    assert len(owners) == 3
    assert 0.4 < pool.count_held(NEW) / SLICE_COUNT < 0.6


def test_all_keys_move_at_share_1(pool):
    """Guards against keys at old servers at the moment in which these are stopped."""
    pool.advance(0.05)
    pool.run_for(3.0)
    pool.advance(1.0)
    pool.run_for(3.5)
    assert pool.count_keys(OLD) == 0
    assert pool.count_held(NEW) == SLICE_COUNT
    pool.advance(1.0, RolloutState.SUCCEEDED)
    pool.run_for(1.0)
    assert pool.count_held(NEW) == SLICE_COUNT


def test_keys_return_after_a_rollback(pool):
    """Guards against keys that stay with a bad version."""
    pool.advance(0.3)
    pool.run_for(4.0)
    assert pool.count_held(NEW) > 0
    pool.advance(0.0, RolloutState.ROLLED_BACK)
    pool.run_for(3.0)
    assert pool.count_keys(NEW) == 0
    assert pool.count_held(OLD) == SLICE_COUNT


def test_restarted_server_of_a_rolled_back_version_gets_no_keys(pool):
    """Guards against a bad version that is back with the next process."""
    pool.advance(0.0, RolloutState.ROLLED_BACK)
    pool.leader.send_heartbeat("s20", version="v2")
    pool.run_for(3.0)
    assert not pool.view.is_in_service(pool.view.servers["s20"])
    assert pool.leader.count_keys("s20") == 0


def test_new_leader_goes_on_with_the_moves(pool):
    """Guards against keys that stay at old servers after a change of leader."""
    pool.advance(0.5)
    pool.run_for(2.0)
    pool.leader.elect()
    pool.advance(1.0)
    pool.run_for(6.0)
    assert pool.count_keys(OLD) == 0


def test_evacuation_of_all_targets_leaves_the_keys_to_old_servers(pool):
    """Guards against keys without an owner when all target servers are evacuated."""
    pool.advance(1.0)
    pool.leader.commit([DomainChanged(failure_domain="west", in_service=False)])
    pool.run_for(4.0)
    assert pool.count_keys(OLD) == SLICE_COUNT
    described = pool.leader.registrar.describe_pool(pool.leader.now, "desk")
    assert (described.targets, described.others) == (0, len(OLD))
