"""Tests of the streams between entries."""

import asyncio
from random import Random

import pytest

from monsoonlug.host_links import OPEN_TIMEOUT, HostLinks
from monsoonlug.links import Listener


class Host:
    """Accepts streams on a free port and counts them."""

    def __init__(self):
        self.streams = 0

    async def start(self):
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        self.address = f"127.0.0.1:{port}"
        self.listener = Listener(
            address=self.address, role="entry", sender="h2", serve=self._serve
        )
        await self.listener.start()
        return self

    async def _serve(self, stream):
        self.streams += 1
        async for _ in stream.iterate():
            pass


@pytest.fixture
async def host():
    host = await Host().start()
    yield host
    await host.listener.stop()


@pytest.fixture
async def links():
    links = HostLinks(
        host="h1",
        role="entry",
        on_open=lambda host, peer: opened.append(host),
        on_close=lambda host: None,
        on_message=lambda host, message: None,
        random=Random(1),
        on_demand=True,
    )
    opened = links.opened = []
    yield links
    links.stop()


async def test_streams_open_with_the_first_request(host, links):
    """Answers the pattern of hundreds of hosts that start at the same time.

    Streams between all of them cost more than all other work of the first seconds.
    """
    links.update({"h1": "127.0.0.1:1", "h2": host.address})
    await asyncio.sleep(0.05)
    assert links.opened == []
    assert links.may_open("h2")
    await asyncio.gather(*[links.connect("h2") for _ in range(10)])
    assert links.opened == ["h2"]
    assert host.streams == 1
    assert not links.may_open("h1")


async def test_host_without_a_listener_is_given_up(links):
    """Guards against requests that wait until their deadline for a lost host."""
    links.update({"h2": "127.0.0.1:1"})
    started = asyncio.get_running_loop().time()
    await links.connect("h2")
    waited = asyncio.get_running_loop().time() - started
    assert waited < OPEN_TIMEOUT + 0.2
    assert links.opened == []
    assert not links.may_open("h2")


async def test_host_that_left_is_not_connected(host, links):
    """Guards against streams to hosts that are not live any more."""
    links.update({"h2": host.address})
    await links.connect("h2")
    links.update({})
    assert not links.may_open("h2")
    await links.connect("h2")
    assert links.opened == ["h2"]
