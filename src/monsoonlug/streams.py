"""Length-prefixed msgpack messages over TCP between processes of the system."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator

from monsoonlug import messages
from monsoonlug.exceptions import DamagedFrame, StreamClosed, UnknownMessage
from monsoonlug.logs import get_logger
from monsoonlug.settings import split_address

_LENGTH = struct.Struct(">I")
_IP_FAMILIES = (socket.AF_INET, socket.AF_INET6)
HELLO_TIMEOUT = 2.0  # seconds
USER_TIMEOUT_MS = 1_000  # until unacknowledged data fails the connection

logger = get_logger("links")


class MessageStream:
    """Bidirectional stream of messages over one connection.

    Args:
        reader: Reader of the connection.
        writer: Writer of the connection.
    """

    def __init__(self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._reader = reader
        self._writer = writer
        self._batch: list[bytes] = []
        self._batch_bytes = 0
        self._is_batching = False
        self.peer = ""
        self.peer_role = ""
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

    async def receive(self) -> object:
        """Returns the next message of a type that this version knows.

        Raises:
            StreamClosed: If the stream ended.
            DamagedFrame: If the frame is too long or cannot be decoded.
        """
        while True:
            body = await self._read_frame()
            try:
                return messages.decode(body)
            except UnknownMessage as error:
                # The peer may run a later version.
                logger.info("Skipped a message from {}: {}.", self.peer, error)

    async def _read_frame(self) -> bytes:
        try:
            (length,) = _LENGTH.unpack(await self._reader.readexactly(_LENGTH.size))
            if length > messages.MAX_FRAME_BYTES:
                raise DamagedFrame(
                    f"frame of {length} bytes exceeds the limit of "
                    f"{messages.MAX_FRAME_BYTES}"
                )
            return await self._reader.readexactly(length)
        except (asyncio.IncompleteReadError, OSError):
            raise StreamClosed() from None

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
            answer = await asyncio.wait_for(self.receive(), HELLO_TIMEOUT)
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
