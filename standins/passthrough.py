"""Plain aiohttp reverse proxy, the baseline of the request path benchmark.

It forwards requests to its servers round-robin and streams the answers back, without
any checks, limits or slice ownership.
"""

import asyncio
import json
import signal
from collections.abc import Sequence
from itertools import cycle
from typing import Annotated

import aiohttp
import cyclopts
from aiohttp import web
from yarl import URL

from monsoonlug.settings import split_address

MAX_CONNECTIONS = 130
SHUTDOWN_TIMEOUT = 1.0  # seconds
# Hop-by-hop headers, and Host, which the client session sets from the URL.
DROPPED_HEADERS = frozenset({"connection", "host", "keep-alive", "transfer-encoding"})


class Passthrough:
    """Reverse proxy that forwards requests to servers round-robin.

    Args:
        listen: Address to listen on.
        servers: Addresses of the servers.
        connections: Maximum number of connections to all servers together.
    """

    def __init__(
        self, *, listen: str, servers: Sequence[str], connections: int = MAX_CONNECTIONS
    ):
        self.address = listen
        self._servers = cycle(servers)
        self._connections = connections

    async def start(self) -> None:
        """Begins to listen.

        Raises:
            OSError: If the address cannot be listened on.
        """
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=self._connections),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )
        server = web.Server(self._forward, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT)
        await self._runner.setup()
        host, port = split_address(self.address)
        await web.TCPSite(self._runner, host, port).start()
        self.address = f"{host}:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Closes the listener and all connections."""
        await self._runner.cleanup()
        await self._session.close()

    async def _forward(self, request: web.BaseRequest) -> web.StreamResponse:
        url = URL(f"http://{next(self._servers)}{request.raw_path}", encoded=True)
        try:
            async with self._session.request(
                request.method,
                url,
                headers=_filter_headers(request.headers),
                data=request.content if request.body_exists else None,
                allow_redirects=False,
            ) as answer:
                headers = _filter_headers(answer.headers)
                response = web.StreamResponse(status=answer.status, headers=headers)
                await response.prepare(request)
                async for chunk in answer.content.iter_any():
                    await response.write(chunk)
                await response.write_eof()
                return response
        except aiohttp.ClientError:
            return web.Response(status=502)


def _filter_headers(headers) -> list[tuple[str, str]]:
    kept = []
    for name, value in headers.items():
        if name.lower() not in DROPPED_HEADERS:
            kept.append((name, value))
    return kept


async def serve(listen: str, servers: Sequence[str]) -> None:
    """Prints the address of a proxy and runs it until SIGTERM or SIGINT."""
    passthrough = Passthrough(listen=listen, servers=servers)
    await passthrough.start()
    print(json.dumps({"address": passthrough.address}), flush=True)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    await passthrough.stop()


def main(
    *,
    server: Annotated[list[str], cyclopts.Parameter(negative=())],
    listen: str = "127.0.0.1:0",
) -> None:
    """Runs a reverse proxy without any routing logic.

    Args:
        server: Address of a backend server; may be repeated.
        listen: Address to listen on.
    """
    asyncio.run(serve(listen, server))


if __name__ == "__main__":
    cyclopts.run(main)
