"""Tests of the replicated state of rollouts."""

import pytest

from monsoonlug.fleet import FleetState
from monsoonlug.fleet_messages import ChangeItems, DomainChanged
from monsoonlug.items import ItemKind, ItemRemoved
from monsoonlug.messages import encode
from monsoonlug.rollout_messages import (
    CommandLevelRaised,
    RolloutAdvanced,
    RolloutStarted,
    RolloutState,
    ServerVersionSet,
)
from monsoonlug.rollout_state import REPEAT_PERIOD_MS
from tests.test_fleet import Fleet, build_server, change, put
from tests.test_items import build_pool

ORDERED_AT = 1_700_000_000_000


def order(version="v2", *, later=0, pool="desk"):
    return RolloutStarted(
        pool=pool, version=version, ordered_at_ms=ORDERED_AT + later, duration=12.0
    )


def register(fleet, server, version, *, born=1):
    fleet.apply(ServerVersionSet(server=server, born=born, version=version))
    fleet.apply(put(build_server(server, born=born, address=f"10.0.0.{server[1:]}:80")))


@pytest.fixture
def fleet():
    fleet = Fleet()
    fleet.apply(CommandLevelRaised(level=1))
    fleet.apply(change(build_pool()))
    register(fleet, "s1", "v1")
    register(fleet, "s2", "v2")
    return fleet


def find(fleet):
    return fleet.state.view.rollouts["desk"]


def end(fleet, state):
    share = 1.0 if state is RolloutState.SUCCEEDED else 0.0
    command = RolloutAdvanced(
        pool="desk", number=find(fleet).number, state=state, share=share
    )
    return fleet.apply(command)


def list_in_service(fleet):
    view = fleet.state.view
    return {name for name, row in view.servers.items() if view.is_in_service(row)}


def test_repeated_order_changes_nothing(fleet):
    """Guards against a repeat that moves the deadline or starts a second rollout."""
    fleet.apply(order())
    first = find(fleet)
    assert fleet.apply(order(later=3_999)).accepted
    assert find(fleet) == first


def test_order_of_another_version_conflicts_while_one_runs(fleet):
    """Guards against a rollout that is replaced before it has ended."""
    fleet.apply(order())
    assert not fleet.apply(order("v3")).accepted
    assert find(fleet).version == "v2"


def test_unknown_pool_is_rejected(fleet):
    """Guards against a rollout without servers that can never end."""
    assert not fleet.apply(order(pool="nowhere")).accepted
    assert "nowhere" not in fleet.state.view.rollouts


@pytest.mark.parametrize(
    ("state", "later", "starts"),
    [
        (RolloutState.ROLLED_BACK, 3_999, False),
        (RolloutState.ROLLED_BACK, REPEAT_PERIOD_MS + 1, True),
        (RolloutState.SUCCEEDED, 3_999, False),
        (RolloutState.SUCCEEDED, REPEAT_PERIOD_MS + 1, False),
    ],
)
def test_same_order_after_the_end(fleet, state, later, starts):
    """Guards against a late repeat that restarts, and an order that is ignored."""
    fleet.apply(order())
    number = find(fleet).number
    end(fleet, state)
    assert fleet.apply(order(later=later)).accepted
    assert (find(fleet).number > number) == starts
    assert find(fleet).state is (RolloutState.RUNNING if starts else state)


def test_success_drains_the_other_versions_in_the_same_command(fleet):
    """Guards against a moment in which a server that is being stopped gets requests."""
    fleet.apply(order())
    index = fleet.index
    end(fleet, RolloutState.SUCCEEDED)
    assert fleet.index == index + 1
    assert list_in_service(fleet) == {"s2"}
    assert fleet.view.pack() == fleet.state.view.pack()


def test_rollback_keeps_the_version_out_of_service(fleet):
    """Guards against a bad version that gets requests as soon as it is restarted."""
    fleet.apply(order())
    end(fleet, RolloutState.ROLLED_BACK)
    register(fleet, "s3", "v2")
    register(fleet, "s2", "v2", born=9)
    register(fleet, "s4", "v1")
    assert list_in_service(fleet) == {"s1", "s4"}
    fleet.apply(order(later=REPEAT_PERIOD_MS + 1))
    assert list_in_service(fleet) == {"s1", "s2", "s3", "s4"}


def test_ended_rollout_stays_as_it_is(fleet):
    """Guards against a deposed leader's step that reaches a later rollout."""
    fleet.apply(order())
    first = find(fleet).number
    end(fleet, RolloutState.ROLLED_BACK)
    end(fleet, RolloutState.SUCCEEDED)
    assert find(fleet).state is RolloutState.ROLLED_BACK
    fleet.apply(order("v3"))
    fleet.apply(
        RolloutAdvanced(
            pool="desk", number=first, state=RolloutState.RUNNING, share=0.5
        )
    )
    assert find(fleet).share == 0.0


def test_dropped_pool_ends_its_rollout(fleet):
    """Guards against a rollout that runs on without a pool."""
    fleet.apply(order())
    removal = ItemRemoved(kind=ItemKind.POOL, name="desk", version=2)
    fleet.apply(ChangeItems(changes=[encode(removal)], sources=[""]))
    assert find(fleet).state is RolloutState.ROLLED_BACK
    assert fleet.state.view.servers["s2"].draining
    assert not fleet.state.view.servers["s1"].draining
    assert fleet.view.pack() == fleet.state.view.pack()


def test_version_of_an_earlier_process_is_ignored(fleet):
    """Guards against a late heartbeat that marks a new process as the old version."""
    register(fleet, "s2", "v3", born=9)
    fleet.apply(ServerVersionSet(server="s2", born=1, version="v2"))
    view = fleet.state.view
    assert view.get_version(view.servers["s2"]) == "v3"


def test_snapshot_holds_rollouts_versions_and_level(fleet):
    """Guards against an acknowledged order that log compaction loses."""
    fleet.apply(order())
    copy = FleetState.unpack(fleet.state.pack())
    assert copy.pack() == fleet.state.pack()
    assert copy.view.rollouts == fleet.state.view.rollouts
    assert copy.view.versions == fleet.state.view.versions
    assert copy.command_level == 1


def test_level_alone_changes_no_view(fleet):
    """Guards against entries that get a delta without changes."""
    state = FleetState()
    state.apply(1, DomainChanged(failure_domain="east", in_service=False))
    answer, delta = state.apply(2, CommandLevelRaised(level=1))
    assert (answer.accepted, delta, state.view.revision) == (True, None, 1)
