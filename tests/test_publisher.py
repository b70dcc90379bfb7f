"""Tests of the leader's streams to entries, without network."""

import asyncio
from types import SimpleNamespace

import pytest

from monsoonlug import messages
from monsoonlug.fleet import FleetView
from monsoonlug.fleet_messages import (
    EntryBeat,
    KeyStatus,
    KeyStatusPush,
    RateAsk,
    RateGrant,
    ServerCold,
    StatePush,
)
from monsoonlug.limits import Limit
from monsoonlug.publisher import GRANT_AGE, READY_DELAY, Publisher
from monsoonlug.rates import RateAuthority
from monsoonlug.subscribers import Subscriber


class FakeStream:
    """A stream that keeps what is sent."""

    def __init__(self):
        self.peer = "h1"
        self.closed = False
        self.unsent = 0
        self.sent = []

    def send_encoded(self, body):
        self.sent.append(messages.decode(body))


@pytest.fixture
def leader():
    replica = SimpleNamespace(term=3, leader="c1", confirmed_at=lambda: 10.0)
    publisher = Publisher(clock=lambda: leader.now, period=0.9)
    publisher.group = SimpleNamespace(is_leader=True, replica=replica)
    publisher.registrar = object()
    publisher._authority = RateAuthority(now=0.0)
    limits = {"tenant": Limit(rate=100, burst=100)}
    publisher._authority.configure(0.0, limits)
    leader = SimpleNamespace(now=10.0, publisher=publisher)
    return leader


@pytest.mark.parametrize(("age", "grants"), [(0.1, 1), (GRANT_AGE + 0.01, 0)])
def test_tokens_need_a_recent_majority(leader, age, grants):
    """Guards against a deposed leader that grants tokens beside the next one."""
    leader.now = 10.0 + age
    stream = FakeStream()
    ask = RateAsk(sequence=1, host="h1", wanted={"tenant": [2, 0, 0.5]})
    leader.publisher._receive(SimpleNamespace(stream=stream), ask)
    assert len(stream.sent) == grants
    for grant in stream.sent:
        assert isinstance(grant, RateGrant)
        assert grant.tokens == {"tenant": 2}


async def test_word_of_served_keys_is_collected(leader):
    """Guards against a message to every entry with every heartbeat of a server.

    What takes service away, and cold servers, must be told at once.
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
    assert [type(message) for message in stream.sent] == [ServerCold, KeyStatusPush]
    await asyncio.sleep(2 * READY_DELAY)
    assert [row[1] for row in stream.sent[-1].rows] == list(range(10))
    assert len(stream.sent) == 3


def test_view_is_sent_once_on_a_stream(leader):
    """Guards against whole views that pile up for entries behind small links.

    The pattern: all hosts start at once and beat five times before they have a view.
    """
    publisher = leader.publisher
    publisher.group.state = SimpleNamespace(view=FleetView())
    publisher.registrar = SimpleNamespace(list_status=lambda now: [])
    publisher.rounds = SimpleNamespace(run_after_round=lambda answer: None)
    stream = FakeStream()
    subscriber = Subscriber(stream=stream)
    for number in range(5):
        beat = EntryBeat(
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
        publisher._receive(subscriber, beat)
    assert sum(isinstance(message, StatePush) for message in stream.sent) == 1
