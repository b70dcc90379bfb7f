"""Tests of the message streams between processes."""

import asyncio

import pytest

from monsoonlug.exceptions import StreamClosed
from monsoonlug.messages import Cancel
from monsoonlug.streams import MessageStream

TIMEOUT = 5.0  # seconds


@pytest.fixture
async def pair():
    accepted = asyncio.get_running_loop().create_future()

    def accept(reader, writer):
        accepted.set_result(MessageStream(reader=reader, writer=writer))

    listener = await asyncio.start_server(accept, "127.0.0.1", 0)
    address = listener.sockets[0].getsockname()[:2]
    reader, writer = await asyncio.open_connection(*address)
    stream = MessageStream(reader=reader, writer=writer)
    async with asyncio.timeout(TIMEOUT):
        peer = await accepted
    yield stream, peer
    stream.close()
    peer.close()
    listener.close()


async def test_batched_messages_after_the_first_share_a_write(pair, monkeypatch):
    """Guards against a write for each frame, a late first one and reordering."""
    stream, peer = pair
    writes = []
    write = stream._writer.write
    monkeypatch.setattr(
        stream._writer, "write", lambda data: (writes.append(data), write(data))
    )
    for number in range(3):
        stream.send(Cancel(stream=number), batched=True)
    assert len(writes) == 1
    async with asyncio.timeout(TIMEOUT):
        received = [(await peer.receive()).stream for _ in range(3)]
    assert (received, len(writes)) == ([0, 1, 2], 2)


async def test_batched_message_counts_as_unsent(pair):
    """Guards against a batch that the limit for slow peers does not include."""
    stream, _ = pair
    for number in range(2):
        stream.send(Cancel(stream=number), batched=True)
    assert stream.unsent_bytes > 0
    await stream.drain()
    assert stream.unsent_bytes == 0


async def test_unbatched_message_is_written_at_once(pair):
    """Guards against a heartbeat delayed by a file sync in the same loop iteration."""
    stream, peer = pair
    for number in range(2):
        stream.send(Cancel(stream=number), batched=True)
    stream.send(Cancel(stream=2))
    assert stream.unsent_bytes == 0
    async with asyncio.timeout(TIMEOUT):
        assert [(await peer.receive()).stream for _ in range(3)] == [0, 1, 2]


async def test_close_delivers_sent_messages(pair):
    """Guards against a last message that is lost when its stream is closed."""
    stream, peer = pair
    for number in range(2):
        stream.send(Cancel(stream=number), batched=True)
    stream.close()
    with pytest.raises(StreamClosed):
        stream.send(Cancel(stream=2))
    async with asyncio.timeout(TIMEOUT):
        received = [item.stream async for item in peer.iterate()]
    assert received == [0, 1]
