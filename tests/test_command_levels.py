"""Tests that no member gets a command that it does not understand."""

import pytest

from monsoonlug.command_levels import REPORT_INTERVAL, CommandLevels
from monsoonlug.exceptions import (
    BadRequest,
    RolloutConflict,
    RolloutNotFound,
    RolloutUnavailable,
)
from monsoonlug.fleet import FleetState
from monsoonlug.fleet_messages import PutServer
from monsoonlug.leases import FormerOwners
from monsoonlug.registrar import Registrar
from monsoonlug.rollout_calls import MAX_DURATION, RolloutCalls
from monsoonlug.rollout_messages import CommandLevelRaised, ServerVersionSet
from tests.test_fleet import change
from tests.test_items import build_pool
from tests.test_registrar import Leader


def test_level_is_common_to_all_members():
    """Guards against a command that halts a member of an earlier build."""
    levels = CommandLevels(own="a")
    levels.record("b", 1)
    assert levels.find_common(["a", "b", "c"]) == 0
    levels.record("c", 2)
    assert levels.find_common(["a", "b", "c"]) == 1
    levels.reset()
    assert levels.find_common(["a", "b", "c"]) == 0


def test_level_is_reported_to_each_leader_and_again():
    """Guards against a leader that never learns of a member's level."""
    levels = CommandLevels(own="a")
    assert not levels.must_report(5.0, "")
    assert not levels.must_report(5.0, "a")
    assert levels.must_report(5.0, "b")
    levels.record_sent(5.0, "b")
    assert not levels.must_report(5.1, "b")
    assert levels.must_report(5.1, "c")
    assert levels.must_report(5.0 + REPORT_INTERVAL, "b")


@pytest.mark.parametrize("is_raised", [False, True])
def test_versions_are_proposed_only_from_the_level_on(is_raised):
    """Guards against a heartbeat's version that a member cannot apply."""
    leader = Leader()
    leader.registrar = Registrar(
        now=leader.now,
        view=leader.fleet.state.view,
        heartbeat_interval=0.87,
        former_owners=FormerOwners(),
        stores_versions=lambda: is_raised,
    )
    proposed = []
    commit = leader.commit
    leader.commit = lambda commands: (proposed.extend(commands), commit(commands))
    leader.send_heartbeat("s1", version="v2")
    expected = [ServerVersionSet, PutServer] if is_raised else [PutServer]
    assert [type(command) for command in proposed] == expected


class Calls:
    """Calls on a group of one member, whose commands are applied at once."""

    def __init__(self, *, is_configured=True):
        self.state = FleetState()
        self.index = 0
        self.calls = RolloutCalls(
            is_configured=is_configured,
            check_leader=lambda: None,
            commit=self.commit,
            confirm=self.confirm,
            find_state=lambda: self.state,
        )

    async def commit(self, command):
        self.index += 1
        result, _ = self.state.apply(self.index, command)
        if not result.accepted:
            raise BadRequest(result.text)

    async def confirm(self, *, allow_recent=True):
        pass


async def test_order_waits_for_the_level_and_a_configuration():
    """Guards against an order that halts a member, or that is refused for good."""
    group = Calls()
    with pytest.raises(RolloutUnavailable):
        await group.calls.start("desk", "v2", 12.0)
    assert group.index == 0
    await group.commit(CommandLevelRaised(level=1))
    with pytest.raises(RolloutUnavailable):
        await group.calls.start("desk", "v2", 12.0)
    await group.commit(change(build_pool()))
    with pytest.raises(BadRequest):
        await group.calls.start("nowhere", "v2", 12.0)
    await group.calls.start("desk", "v2", 12.0)
    with pytest.raises(RolloutConflict):
        await group.calls.start("desk", "v3", 12.0)
    assert (await group.calls.read("desk")).version == "v2"
    with pytest.raises(RolloutNotFound):
        await group.calls.read("nowhere")


@pytest.mark.parametrize("duration", [0.0, -1.0, MAX_DURATION + 1, float("nan")])
async def test_durations_out_of_range_are_rejected(duration):
    """Guards against a rollout that ends before it begins, or never."""
    with pytest.raises(BadRequest):
        await Calls().calls.start("desk", "v2", duration)


async def test_calls_are_unknown_without_bounds():
    """Guards against new behaviour in deployments that do not ask for it."""
    group = Calls(is_configured=False)
    with pytest.raises(RolloutNotFound):
        await group.calls.start("desk", "v2", 12.0)
    with pytest.raises(RolloutNotFound):
        await group.calls.read("desk")
