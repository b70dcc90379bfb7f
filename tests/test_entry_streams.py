"""Tests of the server side of the entries' streams."""

from types import SimpleNamespace

from monsoonlug.commands import DeregisterHost
from monsoonlug.entry_streams import EntryStreams
from monsoonlug.exceptions import NotLeader


def test_leadership_lost_inside_a_proposal():
    """Guards against an error when a leader steps down within `propose_all`."""
    proposed = []

    def propose(command):
        proposed.append(command)
        raise NotLeader()

    streams = EntryStreams(clock=lambda: 0.0)
    streams.group = SimpleNamespace(is_leader=True, state=None, propose_all=propose)
    commands = [DeregisterHost(host="h", epoch=1)] * 2
    streams.coordinator = SimpleNamespace(decide=lambda *_: commands)
    streams.decide()
    assert len(proposed) == 1
