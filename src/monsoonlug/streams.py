"""Length-prefixed msgpack messages over TCP between processes of the system."""

import asyncio
import socket
import struct
import time
from collections.abc import AsyncIterator

from monsoonlug import messages
from monsoonlug.exceptions import DamagedFrame, StreamClosed, UnknownMessage
from monsoonlug.logs import get_logger
from monsoonlug.memory_budget import Holding
from monsoonlug.settings import split_address

_LENGTH = struct.Struct(">I")
_IP_FAMILIES = (socket.AF_INET, socket.AF_INET6)
HELLO_TIMEOUT = 2.0  # seconds
READ_BUFFER_BYTES = 65_536  # the double pauses reading, after the handshake
MAX_HELLO_BYTES = 4_096  # of the first frame; names have at most 64 characters
# Larger frames are read in parts, whose size counts towards the memory budget.
PART_BYTES = 65_536
# Bytes of the objects and of the read buffer that a stream holds at all times.
STREAM_COST = 32_768
USER_TIMEOUT_MS = 1_000  # until unacknowledged data fails the connection

logger = get_logger("links")


class MessageStream:
    """Bidirectional stream of messages over one connection.

    Args:
        reader: Reader of the connection.
        writer: Writer of the connection.

    Attributes:
        peer: Name of the peer, or an empty string before the handshake.
        peer_role: Role of the peer, or an empty string before the handshake.
        active_at: Monotonic time, in seconds, of the last complete frame received.
    """

    def __init__(self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._reader = reader
        self._writer = writer
        self._batch: list[bytes] = []
        self._batch_bytes = 0
        self._is_batching = False
        self._holding: Holding | None = None
        self.peer = ""
        self.peer_role = ""
        self.active_at = time.monotonic()
        set_user_timeout(writer)

    def send(self, message: object, *, batched: bool = False) -> None:
        """Sends a message.

        Args:
            message: The message.
            batched: Whether to combine the message with other batched messages of this
                event loop iteration, except the first, in one write. Messages to
                control are not batched, as their sender may block on a file sync in the
                same iteration.

        Raises:
            StreamClosed: If the stream is closed.
        """
        self.send_encoded(messages.encode(message), batched=batched)

    def send_encoded(self, body: bytes, *, batched: bool = False) -> None:
        """Sends an encoded message; see `send`.

        A message to several streams needs to be encoded only once.
        """
        if self._writer.is_closing():
            raise StreamClosed()
        if len(body) > messages.MAX_FRAME_BYTES:
            raise ValueError(
                f"frame of {len(body)} bytes exceeds the limit of "
                f"{messages.MAX_FRAME_BYTES}"
            )
        self._batch += (_LENGTH.pack(len(body)), body)
        self._batch_bytes += _LENGTH.size + len(body)
        if batched and self._is_batching:
            return
        self._flush()
        if batched:
            # The first message is written at once, so that a single one is not delayed.
            self._is_batching = True
            asyncio.get_running_loop().call_soon(self._end_batch)

    def _end_batch(self) -> None:
        self._is_batching = False
        self._flush()

    def _flush(self) -> None:
        if not self._batch:
            return
        data = b"".join(self._batch)
        self._batch.clear()
        self._batch_bytes = 0
        if not self._writer.is_closing():
            self._writer.write(data)

    async def drain(self) -> None:
        """Flushes the batch and waits while the write buffer is too full.

        Raises:
            StreamClosed: If the stream is closed.
        """
        self._flush()
        try:
            await self._writer.drain()
        except OSError:
            raise StreamClosed() from None

    async def receive(
        self,
        *,
        max_bytes: int = messages.MAX_FRAME_BYTES,
        skips_unknown: bool = True,
    ) -> object:
        """Returns the next message of a type that this version knows.

        Args:
            max_bytes: Size that the frame may have.
            skips_unknown: Whether messages of other types are skipped.

        Raises:
            StreamClosed: If the stream ended.
            DamagedFrame: If the frame is too long or cannot be decoded, or has a type
                that is not skipped.
        """
        while True:
            body = await self._read_frame(max_bytes)
            self.active_at = time.monotonic()
            try:
                return messages.decode(body)
            except UnknownMessage as error:
                if not skips_unknown:
                    raise DamagedFrame(f"first message: {error}") from None
                # The peer may run a later version.
                logger.info("Skipped a message from {}: {}.", self.peer, error)
                # Reads of buffered frames do not let other tasks run.
                await asyncio.sleep(0)

    async def _read_frame(self, max_bytes: int) -> bytes:
        try:
            (length,) = _LENGTH.unpack(await self._reader.readexactly(_LENGTH.size))
            if length > max_bytes:
                raise DamagedFrame(
                    f"frame of {length} bytes exceeds the limit of {max_bytes}"
                )
            if length > PART_BYTES and self._holding is not None:
                return await self._read_parts(length)
            return await self._reader.readexactly(length)
        except (asyncio.IncompleteReadError, OSError):
            raise StreamClosed() from None

    async def _read_parts(self, length: int) -> bytes:
        """Reads a large frame, whose sender may never complete it."""
        parts = []
        held = 0
        while held < length:
            size = min(PART_BYTES, length - held)
            parts.append(await self._reader.readexactly(size))
            held += size
            if not self._holding.resize(STREAM_COST + held):
                raise StreamClosed("there is no memory for a frame")
        frame = b"".join(parts)
        self._holding.resize(STREAM_COST)
        return frame

    def hold_memory(self, holding: Holding) -> None:
        """Counts the memory of this stream towards a budget.

        Raises:
            StreamClosed: If there is no memory.
        """
        self._holding = holding
        if not holding.resize(STREAM_COST):
            raise StreamClosed("there is no memory for a stream")

    def release_memory(self) -> None:
        """Ends what `hold_memory` began, if it was called."""
        if self._holding is not None:
            self._holding.close()

    async def iterate(self) -> AsyncIterator[object]:
        """Yields messages until the stream ends.

        Raises:
            DamagedFrame: If a frame is too long or cannot be decoded.
        """
        while True:
            try:
                message = await self.receive()
            except StreamClosed:
                return
            yield message

    def close(self) -> None:
        """Closes the stream after delivering the messages already sent."""
        self._flush()
        self._writer.close()

    def abort(self) -> None:
        """Closes the stream at once, without delivering messages already sent."""
        self._writer.transport.abort()

    @property
    def closed(self) -> bool:
        """Whether the stream is closed on this side."""
        return self._writer.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """Bytes in the batch and in the write buffer of the connection."""
        return self._batch_bytes + self._writer.transport.get_write_buffer_size()

    async def handshake(self, *, role: str, sender: str) -> None:
        """Exchanges `Hello` messages with the peer.

        Raises:
            DamagedFrame: If the peer sends another message or another protocol version.
            StreamClosed: If the peer closed the stream or did not answer in time.
        """
        hello = messages.Hello(
            version=messages.PROTOCOL_VERSION, role=role, sender=sender
        )
        self.send(hello)
        try:
            answer = await asyncio.wait_for(
                self.receive(max_bytes=MAX_HELLO_BYTES, skips_unknown=False),
                HELLO_TIMEOUT,
            )
        except TimeoutError:
            raise StreamClosed() from None
        if not isinstance(answer, messages.Hello):
            raise DamagedFrame(
                f"first message is {type(answer).__name__}, expected Hello"
            )
        if answer.version != messages.PROTOCOL_VERSION:
            raise DamagedFrame(
                f"protocol version {answer.version} is not supported, "
                f"expected {messages.PROTOCOL_VERSION}"
            )
        self.peer = answer.sender
        self.peer_role = answer.role
        # Listeners read little ahead from peers that are not known yet.
        self._reader._limit = READ_BUFFER_BYTES


def set_user_timeout(
    transport: asyncio.StreamWriter | asyncio.BaseTransport,
    *,
    milliseconds: int = USER_TIMEOUT_MS,
) -> None:
    """Sets TCP_USER_TIMEOUT, so that a connection to a dead host fails soon.

    A host that lost power sends no reset, and the kernel would retransmit for minutes.
    """
    connection = transport.get_extra_info("socket")
    if connection is None or connection.family not in _IP_FAMILIES:
        return
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


async def connect(address: str, *, role: str, sender: str) -> MessageStream:
    """Opens a stream to another process and does the handshake.

    Raises:
        OSError: If the connection fails.
        StreamClosed: If the peer closed the stream or did not answer in time.
        DamagedFrame: If the peer sends another message or another protocol version.
    """
    host, port = split_address(address)
    reader, writer = await asyncio.open_connection(host, port)
    stream = MessageStream(reader=reader, writer=writer)
    try:
        await stream.handshake(role=role, sender=sender)
    except BaseException:
        stream.close()
        raise
    return stream
