"""Reading of whole request bodies: content, size limit and copies."""

import asyncio
import tracemalloc

import pytest
from aiohttp import web
from aiohttp.base_protocol import BaseProtocol
from aiohttp.streams import StreamReader

from monsoonlug.request_bodies import SMALL_PART_BYTES, read_body


class FakeRequest:
    """A request whose body arrives in the given parts."""

    def __init__(self, parts=(), *, is_complete=True):
        loop = asyncio.get_running_loop()
        protocol = BaseProtocol(loop)
        protocol.connection_made(asyncio.Transport())
        self.content = StreamReader(protocol, 2**16, loop=loop)
        for part in parts:
            self.content.feed_data(part)
        if is_complete:
            self.content.feed_eof()


@pytest.mark.parametrize(
    "sizes",
    [[], [1], [1] * 10_000, [SMALL_PART_BYTES], [10, 9_000, 10, 10, 5_000, 1]],
)
async def test_body_is_whole_and_in_order(sizes):
    """Guards against parts that are lost, or out of order as small ones are joined."""
    parts = [bytes([number % 256]) * size for number, size in enumerate(sizes)]
    body = await read_body(FakeRequest(parts))
    assert body == b"".join(parts)


async def test_body_that_ends_later_is_awaited():
    """Guards against a body that is taken for complete between two parts."""
    request = FakeRequest([b"a" * 5_000], is_complete=False)
    task = asyncio.create_task(read_body(request))
    await asyncio.sleep(0)
    request.content.feed_data(b"b")
    await asyncio.sleep(0)
    assert not task.done()
    request.content.feed_eof()
    assert await task == b"a" * 5_000 + b"b"


async def test_chunked_body_is_whole():
    """Guards against an end of the body at the end of a chunk."""
    request = FakeRequest(is_complete=False)
    content = request.content
    for part in (b"a" * 10, b"b" * 9_000):
        content.begin_http_chunk_receiving()
        content.feed_data(part)
        content.end_http_chunk_receiving()
    content.feed_eof()
    assert await read_body(request) == b"a" * 10 + b"b" * 9_000


async def test_body_over_the_limit_is_refused_before_its_end():
    """Guards against bodies that are held beyond the limit."""
    request = FakeRequest([b"a" * 9_000, b"a" * 1_001], is_complete=False)
    with pytest.raises(web.HTTPRequestEntityTooLarge):
        await read_body(request, max_size=10_000)


@pytest.mark.parametrize("part_size", [1, 16_384])
async def test_incomplete_body_is_held_once(part_size):
    """Guards against a second copy of what has arrived while more is awaited."""
    size = 49_152
    request = FakeRequest(is_complete=False)
    tracemalloc.start()
    try:
        task = asyncio.create_task(read_body(request))
        for number in range(size // part_size):
            request.content.feed_data(bytes([number % 256]) * part_size)
        await asyncio.sleep(0)
        held, _ = tracemalloc.get_traced_memory()
        assert not task.done()
    finally:
        tracemalloc.stop()
        task.cancel()
    assert held < 1.5 * size
