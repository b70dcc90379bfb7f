"""Tests of the client side of request streams."""

import pytest

from monsoonlug.exceptions import StreamClosed
from monsoonlug.exchanges import ExchangeTable, LocalPeer
from monsoonlug.jobs import Job
from monsoonlug.messages import RequestHead, ResponseBody, ResponseHead

HEAD = RequestHead(
    stream=1,
    request="r.1",
    server="s",
    gate_epoch=1,
    revision=1,
    slice=-1,
    slice_epoch=0,
    key_hash=None,
    route="look-up",
    workspace="w",
    request_class=0,
    key_digest="",
    remaining=1.0,
    method="GET",
    target="/",
    headers=[],
    idempotency_key="",
    has_body=False,
)


class RecordingPeer(LocalPeer):
    """Records the messages that are sent to it."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


@pytest.fixture
def peer():
    return RecordingPeer()


@pytest.fixture
def exchange(peer):
    table = ExchangeTable()
    table.add_peer("h", peer)
    return table.open("h", HEAD, attempt=1)


def test_answer_in_one_frame_has_head_and_body(peer, exchange):
    """Guards against a body that is lost or duplicated if its head carries it."""
    job = Job(head=HEAD, peer=peer, deadline=1.0)
    job.send_head(200, [("A", "b")], b"ok")
    exchange.handle_frame(peer.sent[-1])
    head, body = exchange.receive_nowait(), exchange.receive_nowait()
    assert (head.status, head.request) == (200, "r.1")
    assert body == ResponseBody(stream=1, offset=0, data=b"ok", last=True)
    assert exchange.receive_nowait() is None
    assert exchange.ended


def test_head_without_body_does_not_end_the_exchange(peer, exchange):
    """Guards against an answer that ends before its body has arrived."""
    Job(head=HEAD, peer=peer, deadline=1.0).send_head(200, [])
    exchange.handle_frame(peer.sent[-1])
    assert isinstance(exchange.receive_nowait(), ResponseHead)
    assert exchange.receive_nowait() is None
    assert not exchange.ended


def test_closed_job_sends_no_answer(peer):
    """Guards against an answer to a caller that has disconnected."""
    job = Job(head=HEAD, peer=peer, deadline=1.0)
    job.close()
    with pytest.raises(StreamClosed):
        job.send_head(200, [], b"ok")
    assert not peer.sent


def test_lost_peer_closes_the_exchange(exchange):
    """Guards against waiting for an answer of a host whose connection was lost."""
    exchange.handle_peer_loss()
    with pytest.raises(StreamClosed):
        exchange.receive_nowait()
