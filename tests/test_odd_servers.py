"""Tests of entries of the servers' list that another writer has left."""

import json
from types import SimpleNamespace

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from monsoonlug import messages
from monsoonlug.exceptions import BadRequest, ConnectFailed
from monsoonlug.fleet import FleetView
from monsoonlug.fleet_messages import FleetServer
from monsoonlug.gatehost import ClosingTimes, GateHost, build_gate_id
from monsoonlug.items import ItemKind
from monsoonlug.platform.documents import (
    build_heartbeat_answer,
    read_heartbeat,
    read_server_name,
)
from monsoonlug.platform.headers import open_backend
from monsoonlug.registrar import INITIAL_ASSIGNMENT_DELAY
from tests.backends import make_request
from tests.test_platform import HEARTBEAT
from tests.test_probes import POOL
from tests.test_registrar import Leader

MAX_ANSWER_BYTES = 4_096  # of the answer to a heartbeat
DEEP = '{"a":' * 50_000 + "1" + "}" * 50_000
NUMBERS = (-1, 2**31, 2**53 + 1, 2**64, 10**400, 1.5, True, None)
ADDRESSES = (
    "10.0.0.9:65536",
    "10.0.0.9:99999",
    "10.0.0.9:0",
    "10.0.0.9:-1",
    "10.0.0.9:²",
    "10.0.0.9:",
    "10.0.0.9",
    "10.0.0.256:80",
    "localhost:80",
    "[::1]:80",
    "user@10.0.0.9:80",
    "10.0.0.9/x:80",
    "10.0.0.9:80\r\nX: 1",
    "\ud800:80",
)
TEXTS = ("", "\ud800", 5, None, [], {})
ODD_VALUES = {
    "service": TEXTS,
    "zone": TEXTS,
    "address": (*TEXTS, *ADDRESSES),
    "state": (*TEXTS, "gone"),
    "capacity": (*NUMBERS, 0, "2"),
    "sequence": [value for value in NUMBERS if value != 2**31],
    "born": [value for value in NUMBERS if value != 2**31],
    "warmupLeft": (*TEXTS, "9" * 400 + "s", "1e9s", "-1s", "NaNs", 1.0),
    "holds": (5, [5], [[0, 70_000, 1]], [[0, 1, 2**64]], [[0, 1, -1]], [[0, 1]]),
    "freed": (5, [[0, 1, 5]], [[0, 1, "x" * 65]], [[0, 1, "\n"]], [[1, 0, "x"]]),
}


def list_odd_bodies():
    for name, values in ODD_VALUES.items():
        for value in values:
            yield json.dumps(HEARTBEAT | {name: value}).encode()
            yield json.dumps(HEARTBEAT | {name: {"nested": value}}).encode()
        yield (json.dumps(HEARTBEAT | {name: "DEEP"}).replace('"DEEP"', DEEP).encode())


@pytest.mark.parametrize("body", list_odd_bodies())
def test_odd_value_in_any_field_names_no_server(body):
    """Guards against an odd entry that control cannot store or pass on."""
    with pytest.raises(BadRequest):
        read_heartbeat("i-1", body)


@pytest.mark.parametrize("name", ["", "a b", "a\r\nb", "\ud800", "é", "x" * 101])
def test_odd_id_names_no_server(name):
    """Guards against an id that cannot be sent in a header."""
    with pytest.raises(BadRequest):
        read_server_name(name)


@pytest.mark.parametrize(
    "body", [b"\xff\xfe", b"", DEEP.encode(), b"[" * 200_000, b" " * 300_000]
)
def test_body_that_cannot_be_read_names_no_server(body):
    """Guards against bytes that end the process or occupy it."""
    with pytest.raises(BadRequest):
        read_heartbeat("i-1", body)


json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["10.0.0.9:70000", "9s", "ready", "1e400s"]),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=8,
)


@settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=300,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(changes=st.dictionaries(st.sampled_from(list(HEARTBEAT)), json_values))
def test_control_stores_and_answers_every_heartbeat_that_it_accepts(changes):
    """Guards against a heartbeat that fails only after it was accepted."""
    body = json.dumps(HEARTBEAT | changes).encode()
    try:
        heartbeat = read_heartbeat("i-1", body)
    except BadRequest:
        return
    leader = Leader()
    leader.start_servers("s1", "s2")
    leader.commit(leader.registrar.handle_heartbeat(leader.now, heartbeat) or [])
    leader.registrar.renew_lease(leader.now, "i-1", heartbeat.born)
    leader.now += INITIAL_ASSIGNMENT_DELAY
    leader.run_timer()
    for server in ("s1", "s2"):
        grant = leader.registrar.renew_lease(leader.now, server, 1)
        answer = build_heartbeat_answer(grant, "http://10.0.0.1:8407/x")
        assert len(answer) <= MAX_ANSWER_BYTES
    for notice in leader.registrar.take_notices():
        assert "Infinity" not in repr(notice)
    assert FleetView.unpack(leader.fleet.state.view.pack()).servers


def build_record(address="127.0.0.1:1", slots=2, name="s1"):
    return FleetServer(
        server=name,
        born=1,
        pool="desk",
        address=address,
        failure_domain="east",
        slots=slots,
        draining=False,
    )


@pytest.mark.parametrize(
    "address", sorted(set(ADDRESSES) - {"[::1]:80", "localhost:80"})
)
async def test_entry_lives_with_an_odd_record_in_its_view(address):
    """Guards against an entry that fails on a record which an older control accepted.

    Other servers are probed, and requests for the odd one are known not to have run.
    """
    view = FleetView()
    view.items._items[ItemKind.POOL, "desk"] = POOL
    records = [build_record(address, slots=2**62), build_record(name="s2")]
    view.servers = {record.server: record for record in records}
    gates = {build_gate_id(record): [record] for record in records}
    time = SimpleNamespace(now=0.0)
    host = GateHost(
        clock=lambda: time.now, closing_times=ClosingTimes(), open_backend=open_backend
    )
    host.update(view, gates)
    await host.probe_servers(lambda gate: True)
    assert await host._try_connect("s1", 0.1) is not None
    host.list_server_loads()
    backend = host._get_backend("s1")
    request = make_request(
        backend, headers=[("X-Monsoonlug-Request-Id", "id")], time_to_deadline=1.0
    )
    with pytest.raises(ConnectFailed):
        await backend.send(request)
    await host.stop()


@pytest.mark.parametrize("record", [build_record("\u00b2:80"), build_record("x" * 9)])
def test_odd_record_is_stored_and_read(record):
    """Guards against a view that cannot be passed on."""
    assert messages.decode(messages.encode(record)) == record
