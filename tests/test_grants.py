"""Tests of the grants in a gate's response to an announcement."""

from types import SimpleNamespace

import pytest

from monsoonlug.announcements import Announcement, compress_grants
from monsoonlug.gate_manager import GateManager
from monsoonlug.ids import SLICE_COUNT, ServerPhase, SliceState
from tests.fleet_builder import POOL, FleetBuilder


@pytest.fixture
def fleet():
    return FleetBuilder(hosts=1, servers=4, domains=1)


@pytest.fixture
async def manager(fleet):
    manager = GateManager(
        host="h0",
        clock=lambda: 0.0,
        find_lease_end=lambda: 0.4,
        open_backend=lambda server, pool: SimpleNamespace(),
        send_to_leader=lambda message: None,
    )
    manager.update(fleet.view)
    return manager


async def test_grants_are_the_owned_slices(fleet, manager):
    """Guards against a grant of a slice that another server owns or that is moving."""
    fleet.assign_slices("s1", [100, 7, 0])
    table = fleet.view.slices[POOL]
    table.change([(200, 50)], state=SliceState.RELEASING)
    manager.update(fleet.view)
    answer = manager.announce(
        Announcement(
            server="s0",
            pool=POOL,
            address="127.0.0.1:1",
            failure_domain="d0",
            boot="b",
            phase=ServerPhase.WARM,
            load=0.0,
            grants_revision=-1,
        )
    )
    items = ((number, table.get(number)) for number in range(SLICE_COUNT))
    owned = [
        (number, item.epoch)
        for number, item in items
        if item.owner == "s0" and item.state is SliceState.OWNED
    ]
    assert answer.grants == compress_grants(owned)
