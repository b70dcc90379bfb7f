"""Tests of the leader's side of the streams to entries."""

from types import SimpleNamespace

from monsoonlug.commands import DeregisterHost
from monsoonlug.exceptions import NotLeader
from monsoonlug.feed import Feed


def test_leadership_lost_inside_a_proposal():
    """Guards against a leader that ends when its quorum fell silent unnoticed."""
    proposed = []

    def propose(command):
        proposed.append(command)
        raise NotLeader()

    feed = Feed(clock=lambda: 0.0)
    feed.group = SimpleNamespace(is_leader=True, state=None, propose_all=propose)
    commands = [DeregisterHost(host="h", epoch=1)] * 2
    feed.coordinator = SimpleNamespace(decide=lambda *_: commands)
    feed.decide()
    assert len(proposed) == 1
