"""A TCP proxy that cuts, delays and resets, for tests with faulty links."""

import asyncio
import contextlib
import threading
from dataclasses import dataclass, field

from monsoonlug.settings import split_address

READ_SIZE = 65_536  # bytes


def _build_flowing() -> asyncio.Event:
    event = asyncio.Event()
    event.set()
    return event


@dataclass(slots=True, kw_only=True)
class _Link:
    """State of one proxy; a direction that does not flow holds its bytes back."""

    forward: asyncio.Event = field(default_factory=_build_flowing)
    back: asyncio.Event = field(default_factory=_build_flowing)
    delay: float = 0.0
    writers: set[asyncio.StreamWriter] = field(default_factory=set)


class Proxies:
    """Proxies on an event loop in a thread of its own."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._links: dict[str, _Link] = {}
        self._tasks: set[asyncio.Task] = set()

    def add(self, target: str) -> str:
        """Returns the address of a new proxy to a target."""
        opening = asyncio.run_coroutine_threadsafe(self._open(target), self._loop)
        return opening.result(timeout=10)

    def cut(self, addresses, *, one_way=False) -> None:
        """Holds back all bytes, also of new connections.

        With `one_way`, only those to the target.
        """
        for address in addresses:
            link = self._links[address]
            self._loop.call_soon_threadsafe(link.forward.clear)
            if not one_way:
                self._loop.call_soon_threadsafe(link.back.clear)

    def mend(self, addresses) -> None:
        """Passes on all bytes again, those that were held back first."""
        for address in addresses:
            link = self._links[address]
            self._loop.call_soon_threadsafe(link.forward.set)
            self._loop.call_soon_threadsafe(link.back.set)

    def delay(self, addresses, seconds: float) -> None:
        """Passes bytes on later by some seconds; 0 ends that."""
        for address in addresses:
            self._links[address].delay = seconds

    def reset(self, addresses) -> None:
        """Resets the connections that are open now."""
        for address in addresses:
            self._loop.call_soon_threadsafe(self._abort, self._links[address])

    def stop(self) -> None:
        """Closes everything."""
        asyncio.run_coroutine_threadsafe(self._cancel(), self._loop).result(timeout=10)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(timeout=10)
        self._loop.close()

    async def _cancel(self) -> None:
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
                await self._join(link, target, reader, writer)
            except asyncio.CancelledError:
                return
            finally:
                self._tasks.discard(task)

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self._links[f"{host}:{port}"] = link
        return f"{host}:{port}"

    async def _join(self, link, target, reader, writer) -> None:
        try:
            await link.forward.wait()
            host, port = split_address(target)
            back_reader, back_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.close()
            return
        link.writers |= {writer, back_writer}
        try:
            await asyncio.gather(
                _pass_on(link, link.forward, reader, back_writer),
                _pass_on(link, link.back, back_reader, writer),
            )
        finally:
            link.writers -= {writer, back_writer}
            writer.close()
            back_writer.close()


async def _pass_on(link: _Link, flowing: asyncio.Event, reader, writer) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(READ_SIZE):
            if link.delay:
                await asyncio.sleep(link.delay)
            await flowing.wait()
            writer.write(data)
            await writer.drain()
    writer.close()
