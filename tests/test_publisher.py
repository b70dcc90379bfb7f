"""Tests of the leader's streams to entries, without network."""

from types import SimpleNamespace

import pytest

from monsoonlug import messages
from monsoonlug.fleet_messages import RateAsk, RateGrant
from monsoonlug.publisher import GRANT_AGE, Publisher
from monsoonlug.rates import RateAuthority, RateLimit


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
    limits = {"tenant": RateLimit(rate=100, burst=100)}
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
