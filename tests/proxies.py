"""TCP proxies that block, delay and reset connections, for tests of network faults."""

import asyncio
import contextlib
import threading
from dataclasses import dataclass, field

from monsoonlug.settings import split_address

READ_SIZE = 65_536  # bytes


def _create_set_event() -> asyncio.Event:
    event = asyncio.Event()
    event.set()
    return event


@dataclass(slots=True, kw_only=True)
class _Link:
    """State of one proxy.

    Attributes:
        forward: Set while bytes flow to the target; while clear, they are held.
        backward: Set while bytes flow from the target; while clear, they are held.
        delay: Added latency in seconds.
        writers: Writers of all open connections, to both sides.
    """

    forward: asyncio.Event = field(default_factory=_create_set_event)
    backward: asyncio.Event = field(default_factory=_create_set_event)
    delay: float = 0.0
    writers: set[asyncio.StreamWriter] = field(default_factory=set)


class Proxies:
    """TCP proxies on an event loop in a separate thread."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._links: dict[str, _Link] = {}
        self._tasks: set[asyncio.Task] = set()

    def add(self, target: str) -> str:
        """Starts a proxy to a target and returns its address."""
        opening = asyncio.run_coroutine_threadsafe(self._open(target), self._loop)
        return opening.result(timeout=10)

    def block(self, addresses, *, one_way=False) -> None:
        """Holds all bytes, also those of new connections, until `unblock`.

        Args:
            addresses: Addresses of proxies.
            one_way: Whether to hold only the bytes to the target.
        """
        for address in addresses:
            link = self._links[address]
            self._loop.call_soon_threadsafe(link.forward.clear)
            if not one_way:
                self._loop.call_soon_threadsafe(link.backward.clear)

    def unblock(self, addresses) -> None:
        """Forwards all bytes again, beginning with those that were held."""
        for address in addresses:
            link = self._links[address]
            self._loop.call_soon_threadsafe(link.forward.set)
            self._loop.call_soon_threadsafe(link.backward.set)

    def delay(self, addresses, seconds: float) -> None:
        """Adds latency in seconds to both directions; 0 removes it."""
        for address in addresses:
            self._links[address].delay = seconds

    def reset(self, addresses) -> None:
        """Resets all open connections."""
        for address in addresses:
            self._loop.call_soon_threadsafe(self._abort, self._links[address])

    def stop(self) -> None:
        """Closes all connections and ends the thread."""
        asyncio.run_coroutine_threadsafe(self._cancel_tasks(), self._loop).result(
            timeout=10
        )
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(timeout=10)
        self._loop.close()

    async def _cancel_tasks(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @staticmethod
    def _abort(link: _Link) -> None:
        for writer in list(link.writers):
            writer.transport.abort()

    async def _open(self, target: str) -> str:
        link = _Link()

        async def accept(reader, writer):
            task = asyncio.current_task()
            self._tasks.add(task)
            try:
                await self._relay(link, target, reader, writer)
            except asyncio.CancelledError:
                return
            finally:
                self._tasks.discard(task)

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self._links[f"{host}:{port}"] = link
        return f"{host}:{port}"

    async def _relay(self, link, target, reader, writer) -> None:
        try:
            await link.forward.wait()
            host, port = split_address(target)
            target_reader, target_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.close()
            return
        link.writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                _forward_bytes(link, link.forward, reader, target_writer),
                _forward_bytes(link, link.backward, target_reader, writer),
            )
        finally:
            link.writers -= {writer, target_writer}
            writer.close()
            target_writer.close()


async def _forward_bytes(link: _Link, is_open: asyncio.Event, reader, writer) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(READ_SIZE):
            if link.delay:
                await asyncio.sleep(link.delay)
            await is_open.wait()
            writer.write(data)
            await writer.drain()
    writer.close()
