"""Outgoing streams with automatic reconnection, and the listener for incoming ones."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

from monsoonlug.exceptions import DamagedFrame, StreamClosed
from monsoonlug.logs import get_logger
from monsoonlug.memory_budget import MemoryBudget
from monsoonlug.settings import split_address
from monsoonlug.streams import MAX_HELLO_BYTES, MessageStream, connect

MIN_RECONNECT_DELAY = 0.02  # seconds
MAX_RECONNECT_DELAY = 0.25  # seconds
CONNECT_TIMEOUT = 1.0  # seconds
MAX_UNSENT_BYTES = 4 * 1_048_576  # queued for a slow peer

# Values of a metric label.
MEMORY_REASON = "memory"
TOO_MANY_REASON = "too-many-connections"

logger = get_logger("links")


class Link:
    """Keeps an outgoing stream to another process open, reconnecting when it is lost.

    Args:
        address: Address of the peer.
        role: Role of this process.
        sender: Name of this process.
        on_message: Called with each message from the peer.
        random: Source of the reconnect jitter.
        on_open: Called when a stream is open.
        on_close: Called when an open stream is lost.
    """

    def __init__(
        self,
        *,
        address: str,
        role: str,
        sender: str,
        on_message: Callable[[object], None],
        random: Random,
        on_open: Callable[[], None] | None = None,
        on_close: Callable[[], None] | None = None,
    ):
        self.address = address
        self._role = role
        self._sender = sender
        self._on_message = on_message
        self._on_open = on_open
        self._on_close = on_close
        self._random = random
        self._stream: MessageStream | None = None
        self.damaged_frames = 0

    @property
    def stream(self) -> MessageStream | None:
        """The open stream, or None while there is none."""
        return self._stream

    def send(self, message: object, *, batched: bool = False) -> bool:
        """Sends a message; returns False if there is no stream or its buffer is full.

        Args:
            message: The message.
            batched: See `MessageStream.send`.
        """
        stream = self._stream
        if stream is None or stream.closed or stream.unsent_bytes > MAX_UNSENT_BYTES:
            return False
        stream.send(message, batched=batched)
        return True

    def close(self) -> None:
        """Closes the open stream, if any; `run` then opens a new one."""
        if self._stream is not None:
            self._stream.close()

    async def run(self) -> None:
        """Connects, delivers messages, and reconnects, until cancelled."""
        delay = MIN_RECONNECT_DELAY
        while True:
            delay_after_error = min(MAX_RECONNECT_DELAY, delay * 2)
            try:
                await self._run_stream()
                delay = MIN_RECONNECT_DELAY
            except (OSError, StreamClosed, TimeoutError) as error:
                delay = delay_after_error
                logger.debug("No stream to {}: {!r}.", self.address, error)
            except DamagedFrame as error:
                delay = delay_after_error
                self.damaged_frames += 1
                logger.warning(
                    "Closed the stream to {} after a damaged frame: {}.",
                    self.address,
                    error,
                )
            except Exception:
                # A message that its handler cannot process must not end the link.
                delay = delay_after_error
                logger.exception(
                    "Closed the stream to {} after an unexpected error.", self.address
                )
            await asyncio.sleep(delay * self._random.uniform(0.5, 1.0))

    async def _run_stream(self) -> None:
        opening = connect(self.address, role=self._role, sender=self._sender)
        stream = await asyncio.wait_for(opening, CONNECT_TIMEOUT)
        self._stream = stream
        try:
            if self._on_open is not None:
                self._on_open()
            async for message in stream.iterate():
                self._on_message(message)
        finally:
            self._stream = None
            stream.close()
            if self._on_close is not None:
                self._on_close()


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamLimits:
    """Bounds on the streams that other processes, or untrusted clients, open.

    Attributes:
        max_streams: Number of streams that may be open.
        budget: The memory budget of the process.
        record: Called with the reason whenever a stream is closed for a limit.
        receive_buffer: Bytes that the kernel may receive ahead for each stream, or None
            for its default.
    """

    max_streams: int
    budget: MemoryBudget
    record: Callable[[str], None]
    receive_buffer: int | None = None


class Listener:
    """Accepts streams from other processes of the system.

    Args:
        address: Address to listen on.
        role: Role of this process.
        sender: Name of this process.
        serve: Serves one stream until it ends.
        limits: Bounds on the streams; None for no bounds.
    """

    def __init__(
        self,
        *,
        address: str,
        role: str,
        sender: str,
        serve: Callable[[MessageStream], Awaitable[None]],
        limits: StreamLimits | None = None,
    ):
        self._address = address
        self._limits = limits
        self._role = role
        self._sender = sender
        self._serve = serve
        self._server: asyncio.Server | None = None
        self._open: set[MessageStream] = set()
        self.damaged_frames = 0

    async def start(self) -> None:
        """Starts to accept streams.

        Raises:
            OSError: If the address is not available.
        """
        host, port = split_address(self._address)
        self._server = await asyncio.start_server(
            self._accept, host, port, limit=MAX_HELLO_BYTES
        )
        if self._limits is not None:
            limit_receive_buffers(self._server, self._limits.receive_buffer)

    async def stop(self) -> None:
        """Stops accepting streams and closes those that are open."""
        if self._server is None:
            return
        self._server.close()
        for stream in list(self._open):
            stream.close()
        await self._server.wait_closed()

    async def _accept(self, reader, writer) -> None:
        stream = MessageStream(reader=reader, writer=writer)
        self._open.add(stream)
        try:
            self._apply_limits(stream)
            await stream.handshake(role=self._role, sender=self._sender)
            await self._serve(stream)
        except StreamClosed as error:
            logger.debug("An incoming stream ended: {}.", error)
        except DamagedFrame as error:
            self.damaged_frames += 1
            logger.warning(
                "Closed an incoming stream after a damaged frame: {}.", error
            )
        except Exception:
            logger.exception(
                "Closed the stream from {} after an unexpected error.", stream.peer
            )
        finally:
            self._open.discard(stream)
            stream.close()
            stream.release_memory()

    def _apply_limits(self, stream: MessageStream) -> None:
        """Starts to count the memory of a stream, and closes the worst one of many."""
        limits = self._limits
        if limits is None:
            return

        def evict() -> None:
            limits.record(MEMORY_REASON)
            stream.abort()

        stream.hold_memory(limits.budget.open(evict=evict))
        if len(self._open) <= limits.max_streams:
            return
        # A process sends its first message at once, and further ones every second.
        others = self._open - {stream}
        worst = min(others, key=lambda item: (item.peer_role != "", item.active_at))
        self._open.discard(worst)
        limits.record(TOO_MANY_REASON)
        worst.abort()


def limit_receive_buffers(server: asyncio.Server, size: int | None) -> None:
    """Sets how many bytes the kernel receives ahead for each accepted connection.

    Args:
        server: The listening server.
        size: Number of bytes, or None to leave the kernel's default.
    """
    if size is None:
        return
    for listener in server.sockets:
        # Accepted connections inherit the size.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
