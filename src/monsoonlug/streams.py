"""Framed msgpack streams over TCP between the system's processes."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator

from monsoonlug import messages
from monsoonlug.exceptions import DamagedFrame, StreamClosed
from monsoonlug.settings import split_address

_LENGTH = struct.Struct(">I")
_IP_FAMILIES = (socket.AF_INET, socket.AF_INET6)
HELLO_TIMEOUT = 2.0  # seconds
SILENT_TIMEOUT = 1_000  # milliseconds for which sent data may stay unacknowledged


class MessageStream:
    """One stream of messages.

    Args:
        reader: Reader of the connection.
        writer: Writer of the connection.
    """

    def __init__(self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._reader = reader
        self._writer = writer
        self._queued: list[bytes] = []
        self._queued_size = 0
        self._is_batching = False
        self.peer = ""
        self.peer_role = ""
        limit_silence(writer)

    def send(self, message: object, *, batched: bool = False) -> None:
        """Sends a message.

        Args:
            message: The message.
            batched: Whether to join the message with others of this turn of the event
                loop, apart from the first, in one write. Messages to control are not
                batched, as their sender may sync a file in the same turn.

        Raises:
            StreamClosed: If the stream is closed.
        """
        self.send_encoded(messages.encode(message), batched=batched)

    def send_encoded(self, body: bytes, *, batched: bool = False) -> None:
        """Sends a message that was encoded once for several streams; see `send`."""
        if self._writer.is_closing():
            raise StreamClosed()
        if len(body) > messages.MAX_FRAME:
            raise ValueError(f"frame of {len(body)} bytes is too long")
        self._queued += (_LENGTH.pack(len(body)), body)
        self._queued_size += _LENGTH.size + len(body)
        if batched and self._is_batching:
            return
        self._flush()
        if batched:
            # The first message is not delayed, so a lone request loses no time.
            self._is_batching = True
            asyncio.get_running_loop().call_soon(self._end_batch)

    def _end_batch(self) -> None:
        self._is_batching = False
        self._flush()

    def _flush(self) -> None:
        if not self._queued:
            return
        data = b"".join(self._queued)
        self._queued.clear()
        self._queued_size = 0
        if not self._writer.is_closing():
            self._writer.write(data)

    async def drain(self) -> None:
        """Waits until the peer has taken enough of what was sent.

        Raises:
            StreamClosed: If the stream is closed.
        """
        self._flush()
        try:
            await self._writer.drain()
        except OSError:
            raise StreamClosed() from None

    async def receive(self) -> object:
        """Returns the next message.

        Raises:
            StreamClosed: If the stream ended.
            DamagedFrame: If the frame cannot be read.
        """
        try:
            (length,) = _LENGTH.unpack(await self._reader.readexactly(_LENGTH.size))
            if length > messages.MAX_FRAME:
                raise DamagedFrame(f"frame of {length} bytes is too long")
            body = await self._reader.readexactly(length)
        except (asyncio.IncompleteReadError, OSError):
            raise StreamClosed() from None
        return messages.decode(body)

    async def iterate(self) -> AsyncIterator[object]:
        """Yields messages until the stream ends.

        Raises:
            DamagedFrame: If a frame cannot be read.
        """
        while True:
            try:
                message = await self.receive()
            except StreamClosed:
                return
            yield message

    def close(self) -> None:
        """Closes the stream; what was sent is still delivered."""
        self._flush()
        self._writer.close()

    @property
    def closed(self) -> bool:
        """Whether the stream is closed on this side."""
        return self._writer.is_closing()

    @property
    def unsent(self) -> int:
        """Bytes that the peer has not taken yet."""
        return self._queued_size + self._writer.transport.get_write_buffer_size()

    async def greet(self, *, role: str, sender: str) -> None:
        """Sends our `Hello` and takes the peer's.

        Raises:
            DamagedFrame: If the peer is not a process of the system.
            StreamClosed: If the peer closed the stream or did not answer in time.
        """
        hello = messages.Hello(
            version=messages.PROTOCOL_VERSION, role=role, sender=sender
        )
        self.send(hello)
        try:
            answer = await asyncio.wait_for(self.receive(), HELLO_TIMEOUT)
        except TimeoutError:
            raise StreamClosed() from None
        if not isinstance(answer, messages.Hello):
            raise DamagedFrame("the first frame is not Hello")
        if answer.version != messages.PROTOCOL_VERSION:
            raise DamagedFrame(f"protocol version {answer.version} is not known")
        self.peer = answer.sender
        self.peer_role = answer.role


def limit_silence(
    transport: asyncio.StreamWriter | asyncio.BaseTransport,
    *,
    milliseconds: int = SILENT_TIMEOUT,
) -> None:
    """Makes a connection fail once its peer is silent.

    A host without power sends no reset, and the system would go on sending for minutes.
    """
    connection = transport.get_extra_info("socket")
    if connection is None or connection.family not in _IP_FAMILIES:
        return
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


async def connect(address: str, *, role: str, sender: str) -> MessageStream:
    """Opens a stream to another process.

    Raises:
        OSError: If the connection is refused.
        StreamClosed: If the peer does not answer.
        DamagedFrame: If the peer is not a process of the system.
    """
    host, port = split_address(address)
    reader, writer = await asyncio.open_connection(host, port)
    stream = MessageStream(reader=reader, writer=writer)
    try:
        await stream.greet(role=role, sender=sender)
    except BaseException:
        stream.close()
        raise
    return stream
