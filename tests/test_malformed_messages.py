"""Seeded fuzzing of the messages that processes of an announced fleet receive.

A malformed message may close its stream. It must neither end the process nor prevent
later messages and decisions.
"""

import asyncio
import contextlib
from random import Random
from types import SimpleNamespace

import msgpack
import pytest

from monsoonlug import messages
from monsoonlug.exceptions import DamagedFrame, MonsoonlugError
from monsoonlug.exchanges import Peer
from monsoonlug.fleet import FleetView
from monsoonlug.fleet_messages import (
    FleetHeartbeat,
    FleetTokenRequest,
    KeysAssigned,
    KeyTableChanged,
    check_heartbeat,
    pack_range,
)
from monsoonlug.gatehost import ClosingTimes, GateHost
from monsoonlug.host_messages import HostCapacity
from monsoonlug.keyranges import KeyRange
from monsoonlug.leases import FormerOwners
from monsoonlug.limits import Limit
from monsoonlug.messages import RequestHead
from monsoonlug.publisher import Publisher
from monsoonlug.rates import GlobalRateLimiter
from monsoonlug.registrar import Registrar
from monsoonlug.subscribers import Subscriber
from tests.test_items import build_pool, build_route

INPUTS = 4_000
VALUES = (
    *(None, True, -1, 0, 1, 70_000, 2**63, -2.5, float("nan"), float("inf")),
    *("", "x", "x" * 10_000, b"\xed\xb3\xbf", b"\x00\xff", [], [[]], [[[]]], {}),
    *({1: 2}, ["x", 1, 1], [["x", "y", 1]], [["desk", "5", 1]], [["desk", 5, "1"]]),
    *({"w": [1]}, {"w": ["1", 0, 0]}, {"w": [1, 0, 10**12]}),
    [["s1", "fast", 0.1, 0.1]],
)


def mutate(random, body):
    """Returns a valid message body with some values replaced, dropped or doubled."""
    values = msgpack.unpackb(body, strict_map_key=False)
    for _ in range(random.randint(1, 3)):
        place = random.randrange(1, len(values)) if len(values) > 1 else 0
        action = random.random()
        if action < 0.8:
            values[place] = random.choice(VALUES)
        elif action < 0.9:
            del values[place]
        else:
            values.insert(place, values[place])
        if not values:
            break
    packed = msgpack.packb(values, use_bin_type=True)
    if random.random() < 0.1:
        cut = random.randrange(len(packed) + 1)
        packed = packed[:cut] + random.randbytes(random.randrange(4))
    return packed


def build_heartbeat(**changes):
    fields = {
        "sequence": 1,
        "host": "h1",
        "failure_domain": "east",
        "stream": "127.0.0.1:3",
        "boot": "b",
        "revision": 0,
        "leaving": False,
        "loads": [["desk", 5, 2]],
        "servers": [["s1", 1.0, 0.1, 0.5]],
        "wanted": {"w": [1, 2, 0.5]},
        "limits": [["s1", 2.0, 0.1]],
    }
    return FleetHeartbeat(**(fields | changes))


class FakeStream:
    peer = "h1"
    closed = False
    unsent_bytes = 0

    def send_encoded(self, body):
        messages.decode(body)


class FakePeer(Peer):
    def send(self, message):
        messages.encode(message)


def build_publisher():
    view = FleetView()
    for item in (build_pool(keyed=True), build_route()):
        view.apply_change(item)
    view.apply_change(KeyTableChanged(pool="desk", present=True))
    members = SimpleNamespace(members=[])
    replica = SimpleNamespace(
        term=3, leader="c1", confirmed_at=lambda: 10.0, members=members
    )
    publisher = Publisher(clock=lambda: 10.0, server_heartbeat_interval=0.9)
    publisher.group = SimpleNamespace(
        is_leader=True,
        replica=replica,
        state=SimpleNamespace(view=view),
        propose_all=lambda commands: None,
    )
    publisher.registrar = Registrar(
        now=0.0,
        view=view,
        heartbeat_interval=0.9,
        former_owners=FormerOwners(),
    )
    publisher._rate_limiter = GlobalRateLimiter(now=0.0)
    publisher._rate_limiter.configure(0.0, {"w": Limit(rate=100, burst=100)})
    publisher.read_index_queue = SimpleNamespace(
        run_after_round=lambda answer: answer()
    )
    return publisher


@pytest.mark.parametrize("seed", range(4))
async def test_control_survives_malformed_messages(seed):
    """Guards against one entry that stops the decisions of every leader."""
    random = Random(seed)
    publisher = build_publisher()
    subscriber = Subscriber(stream=FakeStream())
    bodies = [
        messages.encode(build_heartbeat()),
        messages.encode(
            FleetTokenRequest(sequence=1, host="h1", wanted={"w": [1, 0, -1]})
        ),
        messages.encode(HostCapacity(host="h1", link_mbps=3.7, cores=0.5)),
    ]
    refused = 0
    for _ in range(INPUTS):
        try:
            message = messages.decode(mutate(random, random.choice(bodies)))
            publisher._receive(subscriber, message)
        except DamagedFrame:
            refused += 1
    publisher._receive(subscriber, build_heartbeat())
    publisher.decide()
    assert refused > INPUTS / 4


@pytest.mark.parametrize(
    "changes",
    [
        {"loads": [["desk", "5", 1]]},
        {"loads": [["desk", 65_536, 1]]},
        {"loads": [["desk", 5, -1]]},
        {"servers": [["s1", float("nan"), 0.1, 0.1]]},
        {"wanted": {"w": [1, 0]}},
        {"wanted": {7: [1, 0, 0.5]}},
    ],
)
def test_rows_of_a_heartbeat_are_checked(changes):
    """Guards against values that fail only later, in a decision about all servers."""
    with pytest.raises(DamagedFrame):
        check_heartbeat(build_heartbeat(**changes))


@pytest.mark.parametrize("seed", range(4))
def test_view_survives_malformed_changes(seed):
    """Guards against a delta that leaves a table which cannot be read any more."""
    random = Random(seed)
    view = FleetView()
    view.apply_change(KeyTableChanged(pool="desk", present=True))
    rows = [pack_range(KeyRange(start=5, end=9, owner="s1", born=1, epoch=2))]
    for _ in range(INPUTS):
        mutated = [list(row) for row in rows]
        mutated[0][random.randrange(6)] = random.choice(VALUES)
        with contextlib.suppress(DamagedFrame):
            view.apply_change(KeysAssigned(pool="desk", rows=mutated))
    assert sum(row.size for row in view.tables["desk"].iterate()) == 65_536
    assert view.tables["desk"].find(7) is not None


@pytest.mark.parametrize("seed", range(4))
async def test_gate_survives_malformed_messages(seed):
    """Guards against one entry that stops the gates of another."""
    random = Random(seed)
    gate_host = GateHost(
        clock=lambda: 10.0,
        closing_times=ClosingTimes(),
        open_backend=lambda record, pool: None,
    )
    peer = FakePeer()
    head = RequestHead(
        stream=1, request="r1", server="s1", gate_epoch=0, revision=1, slice=5,
        slice_epoch=2, key_hash=None, route="r", workspace="w", request_class=1,
        key_digest="", remaining=1.0, method="GET", target="/", headers=[],
        idempotency_key="", has_body=False,
    )  # fmt: skip
    body = messages.encode(head)
    for _ in range(INPUTS):
        try:
            message = messages.decode(mutate(random, body))
            gate_host.receive(peer, message)
        except MonsoonlugError:
            continue
    gate_host.process_queues()
    await asyncio.sleep(0)
