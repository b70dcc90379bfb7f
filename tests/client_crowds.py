"""Crowds of clients that send what no well-behaved client sends, to one port."""

import asyncio
import contextlib
import socket
import time
from dataclasses import dataclass
from pathlib import Path

CONNECT_TIMEOUT = 5.0  # seconds
SEND_TIMEOUT = 8.0  # seconds for what one client sends
SILENCE = 1.0  # seconds for which the crowd stays after all has been sent
SAMPLE_INTERVAL = 0.02  # seconds
RECEIVE_BUFFER = 4_096  # bytes, of clients that do not read


@dataclass(frozen=True, kw_only=True)
class Form:
    """What each client of a crowd sends before it falls silent.

    Attributes:
        clients: Number of connections.
        start: Bytes that are sent first, at once.
        block: Bytes that are then sent again and again.
        times: How often `block` is sent, unless the connection ends before.
        pause: Seconds between two blocks.
    """

    clients: int
    start: bytes = b""
    block: bytes = b""
    times: int = 0
    pause: float = 0.0


@dataclass(kw_only=True)
class Usage:
    """Highest use of memory and descriptors of a process.

    Attributes:
        memory: Resident memory in MB.
        descriptors: Number of open descriptors.
    """

    memory: float = 0.0
    descriptors: int = 0


class UsageSampler:
    """Samples the use of a process while it is served by a context manager.

    Args:
        pid: Id of the process.
    """

    def __init__(self, pid):
        self._folder = Path(f"/proc/{pid}")
        self.usage = Usage()

    async def __aenter__(self):
        # Resets the highest resident memory of the process.
        (self._folder / "clear_refs").write_text("5")
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *error):
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self.sample()

    def sample(self):
        with contextlib.suppress(OSError):
            status = (self._folder / "status").read_text()
            for line in status.splitlines():
                if line.startswith("VmHWM:"):
                    memory = int(line.split()[1]) / 1024
                    self.usage.memory = max(self.usage.memory, memory)
            count = len(list((self._folder / "fd").iterdir()))
            self.usage.descriptors = max(self.usage.descriptors, count)

    async def _run(self):
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL)


class Crowd:
    """Clients that are connected to one address and send one form.

    Args:
        address: Address and port of the process.
        form: What each client sends.
    """

    def __init__(self, address, form):
        self._address = address
        self._form = form
        self._sockets = []

    async def run(self):
        """Connects, sends the form, and waits; the connections stay open."""
        clients = [self._run_client() for _ in range(self._form.clients)]
        await asyncio.gather(*clients)
        await asyncio.sleep(SILENCE)

    def close(self):
        for connection in self._sockets:
            connection.close()

    async def _run_client(self):
        loop = asyncio.get_running_loop()
        connection = socket.socket()
        self._sockets.append(connection)
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        # A connection that the process refuses or closes is as good as any other.
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await loop.sock_connect(connection, self._address)
            async with asyncio.timeout(SEND_TIMEOUT):
                await self._send(loop, connection)

    async def _send(self, loop, connection):
        form = self._form
        if form.start:
            await loop.sock_sendall(connection, form.start)
        for _ in range(form.times):
            await loop.sock_sendall(connection, form.block)
            await asyncio.sleep(form.pause)


async def wait_until(check, *, timeout):
    """Calls an asynchronous check until it returns True, or returns False."""
    until = time.monotonic() + timeout
    while time.monotonic() < until:
        if await check():
            return True
        await asyncio.sleep(0.1)
    return False
