"""Limits on the streams that other processes, or untrusted clients, open."""

import asyncio
import contextlib
from random import Random

import pytest

from monsoonlug.links import Listener, StreamLimits
from monsoonlug.memory_budget import MemoryBudget
from monsoonlug.messages import MAX_FRAME_BYTES, Cancel, ResponseBody
from monsoonlug.streams import MAX_HELLO_BYTES, STREAM_COST, connect

TIMEOUT = 5.0  # seconds until a test fails
MAX_STREAMS = 3


class Peers:
    """A listener with limits, and the messages that it received."""

    def __init__(self, *, budget=10_000_000):
        self.reasons = []
        self.received = asyncio.Queue()
        self.budget = MemoryBudget(limit=budget)
        self.limits = StreamLimits(
            max_streams=MAX_STREAMS, budget=self.budget, record=self.reasons.append
        )

    async def serve(self, stream):
        async for message in stream.iterate():
            self.received.put_nowait((stream.peer, message))

    async def connect(self, name):
        stream = await connect(self.address, role="entry", sender=name)
        stream.send(Cancel(stream=1))
        assert (await self.received.get())[0] == name
        return stream

    async def open_raw(self, data=b""):
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        # The other side sends its own first message at once.
        await reader.read(4)
        return reader, writer


@contextlib.asynccontextmanager
async def listen(**options):
    peers = Peers(**options)
    listener = Listener(
        address="127.0.0.1:0",
        role="entry",
        sender="own",
        serve=peers.serve,
        limits=peers.limits,
    )
    await listener.start()
    port = listener._server.sockets[0].getsockname()[1]
    peers.address = f"127.0.0.1:{port}"
    try:
        async with asyncio.timeout(TIMEOUT):
            yield peers
    finally:
        await listener.stop()


async def read_to_end(reader):
    with contextlib.suppress(ConnectionError):
        while await reader.read(65_536):
            pass


async def test_first_frame_is_small():
    """Guards against a peer that sends a frame without end before the handshake."""
    async with listen() as peers:
        size = (MAX_HELLO_BYTES + 1).to_bytes(4, "big")
        reader, writer = await peers.open_raw(size)
        await read_to_end(reader)
        writer.close()
        while peers.budget.holdings:
            await asyncio.sleep(0.01)
        assert peers.budget.used == 0


async def test_stream_without_handshake_is_closed_first():
    """Guards against silent connections that keep other processes out."""
    async with listen() as peers:
        first = await peers.connect("first")
        silent, writer = await peers.open_raw()
        second = await peers.connect("second")
        third = await peers.connect("third")
        await read_to_end(silent)
        assert peers.reasons == ["too-many-connections"]
        for stream in (first, second, third):
            stream.send(Cancel(stream=2))
            await peers.received.get()
            stream.close()
        writer.close()


async def test_longest_silent_stream_is_closed_if_all_did_the_handshake():
    """Guards against clients that do the handshake and keep other processes out."""
    async with listen() as peers:
        active = await peers.connect("active")
        silent = await peers.connect("silent")
        other = await peers.connect("other")
        active.send(Cancel(stream=2))
        await peers.received.get()
        newest = await peers.connect("newest")
        assert peers.reasons == ["too-many-connections"]
        await read_to_end(silent._reader)
        for stream in (active, other, newest):
            stream.send(Cancel(stream=3))
            await peers.received.get()


async def test_large_frame_counts_while_it_arrives():
    """Guards against frames that are never completed and take all memory."""
    async with listen(budget=4 * STREAM_COST + MAX_FRAME_BYTES // 2) as peers:
        small = await peers.connect("small")
        large = await peers.connect("large")
        length = (MAX_FRAME_BYTES - 1).to_bytes(4, "big")
        large._writer.write(length + b"x" * (MAX_FRAME_BYTES - 10))
        await read_to_end(large._reader)
        small.send(Cancel(stream=2))
        assert await peers.received.get() == ("small", Cancel(stream=2))
        assert peers.budget.used == STREAM_COST


@pytest.mark.parametrize("size", [10, 65_536, 65_537, 500_000])
async def test_frames_of_all_sizes_arrive(size):
    """Guards against large frames that are put together in the wrong way."""
    async with listen() as peers:
        stream = await peers.connect("peer")
        data = Random(1).randbytes(size)
        message = ResponseBody(stream=1, offset=0, data=data, last=True)
        stream.send(message)
        assert (await peers.received.get())[1] == message
        assert peers.budget.used == STREAM_COST
