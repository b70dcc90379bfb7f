"""Tests of the leader's streams to entries, without a network."""

import asyncio
from types import SimpleNamespace

import pytest

from monsoonlug import messages
from monsoonlug.fleet import FleetView
from monsoonlug.fleet_messages import (
    DomainChanged,
    FleetDelta,
    FleetHeartbeat,
    FleetHeartbeatResponse,
    FleetTokenRequest,
    FleetTokenResponse,
    FleetViewChunk,
    KeyStatus,
    KeyStatusBatch,
    ServerCold,
)
from monsoonlug.limits import Limit
from monsoonlug.publisher import (
    DELTA_BATCH_DELAY,
    MAX_CONFIRMATION_AGE,
    READY_BATCH_DELAY,
    Publisher,
)
from monsoonlug.rates import GlobalRateLimiter
from monsoonlug.subscribers import Subscriber


class FakeStream:
    """A stream that records the messages sent on it."""

    def __init__(self):
        self.peer = "h1"
        self.closed = False
        self.unsent_bytes = 0
        self.sent = []

    def send_encoded(self, body):
        self.sent.append(messages.decode(body))


def build_heartbeat(number):
    return FleetHeartbeat(
        sequence=number,
        host="h1",
        failure_domain="east",
        stream="127.0.0.1:3",
        boot="b",
        revision=-1,
        leaving=False,
        loads=[],
        servers=[],
        wanted={},
    )


@pytest.fixture
def leader():
    replica = SimpleNamespace(term=3, leader="c1", confirmed_at=lambda: 10.0)
    publisher = Publisher(clock=lambda: leader.now, server_heartbeat_interval=0.9)
    state = SimpleNamespace(view=FleetView())
    publisher.group = SimpleNamespace(is_leader=True, replica=replica, state=state)
    publisher.registrar = object()
    publisher._rate_limiter = GlobalRateLimiter(now=0.0)
    limits = {"tenant": Limit(rate=100, burst=100)}
    publisher._rate_limiter.configure(0.0, limits)
    leader = SimpleNamespace(now=10.0, publisher=publisher)
    return leader


@pytest.mark.parametrize(
    ("age", "grants"), [(0.1, 1), (MAX_CONFIRMATION_AGE + 0.01, 0)]
)
def test_tokens_need_a_recent_majority(leader, age, grants):
    """Guards against a deposed leader that grants tokens together with the next one."""
    leader.now = 10.0 + age
    stream = FakeStream()
    request = FleetTokenRequest(sequence=1, host="h1", wanted={"tenant": [2, 0, 0.5]})
    leader.publisher._receive(SimpleNamespace(stream=stream), request)
    assert len(stream.sent) == grants
    for grant in stream.sent:
        assert isinstance(grant, FleetTokenResponse)
        assert grant.tokens == {"tenant": 2}


async def test_ready_key_status_is_batched(leader):
    """Guards against a message to every entry for each heartbeat of a server.

    Key status without `ready`, and cold servers, must be sent at once.
    """
    stream = FakeStream()
    leader.publisher._subscribers.add(Subscriber(stream=stream))
    notices = []
    leader.publisher.registrar = SimpleNamespace(take_notices=lambda: notices)
    for start in range(10):
        notices[:] = [KeyStatus(pool="p", start=start, end=start, epoch=3, ready=True)]
        leader.publisher.send_notices()
    assert stream.sent == []
    notices[:] = [
        KeyStatus(pool="p", start=20, end=29, epoch=4, ready=False),
        ServerCold(server="s1", seconds=3.0),
    ]
    leader.publisher.send_notices()
    assert [type(message) for message in stream.sent] == [ServerCold, KeyStatusBatch]
    await asyncio.sleep(2 * READY_BATCH_DELAY)
    assert [row[1] for row in stream.sent[-1].rows] == list(range(10))
    assert len(stream.sent) == 3


def test_view_is_sent_once_per_stream(leader):
    """Guards against several whole views queued for an entry on a slow link.

    An entry that starts sends several heartbeats before it has received a view.
    """
    publisher = leader.publisher
    publisher.registrar = SimpleNamespace(list_status=lambda now: [])
    publisher.read_index_queue = SimpleNamespace(run_after_round=lambda answer: None)
    stream = FakeStream()
    subscriber = Subscriber(stream=stream)
    for number in range(5):
        heartbeat = build_heartbeat(number)
        publisher._receive(subscriber, heartbeat)
    assert sum(isinstance(message, FleetViewChunk) for message in stream.sent) == 1


async def test_commits_in_quick_succession_reach_entries_as_one_delta(leader):
    """Answers the pattern of hundreds of heartbeats per second that change keys.

    Each message costs each of hundreds of entries the same, whatever its size.
    """
    publisher = leader.publisher
    publisher.registrar = SimpleNamespace(apply_committed=lambda *arguments: None)
    streams = [FakeStream() for _ in range(3)]
    for stream in streams:
        publisher._subscribers.add(Subscriber(stream=stream, sent_revision=0))
    view = publisher.group.state.view
    copy = FleetView()
    for revision in range(1, 21):
        change = DomainChanged(failure_domain=f"z{revision}", in_service=False)
        delta = FleetDelta(
            base=revision - 1, revision=revision, changes=[messages.encode(change)]
        )
        view.apply(delta)
        publisher.handle_applied(change, delta)
    await asyncio.sleep(2 * DELTA_BATCH_DELAY)
    for stream in streams:
        (sent,) = stream.sent
        assert sent.revision == 20
    copy.apply(streams[0].sent[0])
    assert copy.out_of_service_domains == view.out_of_service_domains


async def test_response_to_a_heartbeat_follows_the_deltas(leader):
    """Guards against a view that counts as confirmed before its last change is sent."""
    publisher = leader.publisher
    publisher.registrar = SimpleNamespace(apply_committed=lambda *arguments: None)
    stream = FakeStream()
    subscriber = Subscriber(stream=stream, sent_revision=0)
    publisher._subscribers.add(subscriber)
    publisher.group.replica.members = SimpleNamespace(members=[])
    change = DomainChanged(failure_domain="z1", in_service=False)
    delta = FleetDelta(base=0, revision=1, changes=[messages.encode(change)])
    publisher.group.state.view.apply(delta)
    publisher.handle_applied(change, delta)
    publisher._respond(subscriber, build_heartbeat(1))
    assert [type(message) for message in stream.sent] == [
        FleetDelta,
        FleetHeartbeatResponse,
    ]
