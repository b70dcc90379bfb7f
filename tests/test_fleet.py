import pytest

from monsoonlug import messages
from monsoonlug.exceptions import GapError, StaleRevision
from monsoonlug.fleet import FleetState, FleetView
from monsoonlug.fleet_messages import (
    AssignKeys,
    ChangeItems,
    DomainChanged,
    DropServer,
    PutServer,
    ServerPut,
    pack_range,
)
from monsoonlug.keyranges import KeyRange
from tests.test_items import build_pool, build_route


def build_server(server="s1", *, born=1, address="10.0.0.1:80", draining=False):
    return ServerPut(
        server=server,
        born=born,
        pool="desk",
        address=address,
        failure_domain="east",
        slots=2,
        draining=draining,
    )


def put(record):
    return PutServer(record=messages.encode(record))


def change(*items, sources=None):
    return ChangeItems(
        changes=[messages.encode(item) for item in items],
        sources=sources or [f"text of {item.name}" for item in items],
    )


def own(start, end, owner, born=1, handover=""):
    row = KeyRange(start=start, end=end, owner=owner, born=born, handover=handover)
    return AssignKeys(pool="desk", rows=[pack_range(row)])


class Fleet:
    """A state and a view that follows it by deltas."""

    def __init__(self):
        self.state = FleetState()
        self.view = FleetView()
        self.index = 0

    def apply(self, command):
        self.index += 1
        answer, delta = self.state.apply(self.index, command)
        if delta is not None:
            self.view.apply(delta)
        return answer


@pytest.fixture
def fleet():
    fleet = Fleet()
    fleet.apply(change(build_pool(), build_route()))
    fleet.apply(put(build_server()))
    fleet.apply(own(0, 99, "s1"))
    return fleet


def test_view_follows_the_state(fleet):
    """Guards against entries that route by other owners than control."""
    fleet.apply(put(build_server("s2", address="10.0.0.2:80")))
    fleet.apply(own(50, 99, "s2", handover="token"))
    fleet.apply(DomainChanged(failure_domain="east", in_service=False))
    assert fleet.view.pack() == fleet.state.view.pack()
    assert not fleet.view.is_in_service(fleet.view.servers["s2"])


def test_state_survives_a_snapshot(fleet):
    """Guards against acknowledged items that a compacted log forgets."""
    copy = FleetState.unpack(fleet.state.pack())
    assert copy.pack() == fleet.state.pack()
    assert copy.list_sources() == fleet.state.list_sources()


def test_refused_change_leaves_no_part(fleet):
    """Guards against the valid half of an invalid change coming into force."""
    answer = fleet.apply(
        change(build_route(version=2), build_route("bad", pool="nowhere", prefix="/b/"))
    )
    assert not answer.accepted
    assert fleet.state.view.items.find(_route(), "lookup").version == 1


def test_epoch_grows_with_each_assignment(fleet):
    """Guards against a fencing token that an earlier owner also had."""
    first = fleet.view.tables["desk"].find(0).epoch
    fleet.apply(put(build_server("s2", address="10.0.0.2:80")))
    fleet.apply(own(0, 99, "s2"))
    assert fleet.view.tables["desk"].find(0).epoch > first


def test_later_process_at_the_address_frees_the_keys(fleet):
    """Guards against keys that wait for a process that is proved gone."""
    fleet.apply(put(build_server("s9", born=5)))
    assert "s1" not in fleet.view.servers
    assert fleet.view.tables["desk"].find(0).owner == ""


def test_late_record_of_an_earlier_process_is_ignored(fleet):
    """Guards against a delayed heartbeat of a dead process that replaces its heir."""
    fleet.apply(put(build_server("s9", born=5)))
    fleet.apply(put(build_server("s1", born=1)))
    assert set(fleet.view.servers) == {"s9"}


def test_restart_under_the_same_id_frees_the_keys(fleet):
    """Guards against a new process that is taken for the holder of its old keys."""
    fleet.apply(put(build_server(born=7)))
    assert fleet.view.tables["desk"].find(0).owner == ""


def test_assignment_to_a_server_that_ended_leaves_keys_free(fleet):
    """Guards against keys of an owner that ended before the commit."""
    fleet.apply(DropServer(server="s1", born=1))
    fleet.apply(own(0, 99, "s1", handover="token"))
    found = fleet.view.tables["desk"].find(0)
    assert (found.owner, found.handover) == ("", "token")


def test_gap_and_repeat_are_noticed(fleet):
    """Guards against a view that goes back or leaves out a change."""
    state, view = FleetState(), FleetView()
    _, first = state.apply(1, change(build_pool()))
    _, second = state.apply(2, change(build_route()))
    with pytest.raises(GapError):
        view.apply(second)
    view.apply(first)
    with pytest.raises(StaleRevision):
        view.apply(first)


def _route():
    from monsoonlug.items import ItemKind

    return ItemKind.ROUTE
