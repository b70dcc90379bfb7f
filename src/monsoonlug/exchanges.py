"""Client side of the request streams between hosts, with flow control."""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from collections.abc import Callable

from monsoonlug.exceptions import StreamClosed
from monsoonlug.ids import HostId
from monsoonlug.messages import (
    Cancel,
    Credit,
    RequestBody,
    RequestFailed,
    RequestHead,
    ResponseBody,
    ResponseHead,
    Withdraw,
)

WINDOW_BYTES = 262_144  # flow-control window of a body, in each direction
MAX_CHUNK_BYTES = 65_536  # in one body frame

ResponseFrame = ResponseHead | ResponseBody | RequestFailed


class Peer(ABC):
    """Other end of a connection that carries request streams."""

    @abstractmethod
    def send(self, message: object) -> None:
        """Sends a message.

        Raises:
            StreamClosed: If the peer cannot be reached.
        """

    async def drain(self) -> None:
        """Waits while too much is queued for the peer; needed for large bodies only.

        A peer that takes everything at once only lets other tasks run.

        Raises:
            StreamClosed: If the connection was lost.
        """
        await asyncio.sleep(0)


class LocalPeer(Peer):
    """A peer in this process.

    Args:
        deliver: Called with each message, in order.
    """

    def __init__(self, *, deliver: Callable[[object], None]):
        self._deliver = deliver

    def send(self, message: object) -> None:
        """Delivers the message in the next iteration of the event loop."""
        asyncio.get_running_loop().call_soon(self._deliver, message)


class CreditWindow:
    """Flow-control window: the bytes of a body that may be sent without new credit."""

    def __init__(self):
        self._size = WINDOW_BYTES
        self._changed = asyncio.Event()
        self._closed = False

    def add(self, size: int) -> None:
        """Adds credit for bytes that the receiver has consumed."""
        self._size += size
        self._changed.set()

    def reduce(self, size: int) -> None:
        """Withdraws credit that was not used, for a smaller window."""
        self._size -= size

    def close(self) -> None:
        """Makes pending and later calls of `acquire` raise `StreamClosed`."""
        self._closed = True
        self._changed.set()

    def has(self, size: int) -> bool:
        """Returns whether `acquire` would not have to wait for credit."""
        return self._size >= min(size, WINDOW_BYTES)

    async def acquire(self, size: int) -> None:
        """Waits for credit and uses it for a chunk of this size.

        Raises:
            StreamClosed: If the exchange has ended.
        """
        while not self.has(size):
            if self._closed:
                raise StreamClosed()
            self._changed.clear()
            await self._changed.wait()
        if self._closed:
            raise StreamClosed()
        self._size -= size


class Exchange:
    """One attempt to get the response to a request from a gate.

    Args:
        peer: Connection to the gate's host.
        stream: Number of the request stream.
        attempt: Number of the attempt.

    Attributes:
        queued_bytes: Bytes of the response's body that were not received yet.
    """

    def __init__(self, *, peer: Peer, stream: int, attempt: int):
        self.peer = peer
        self.stream = stream
        self.attempt = attempt
        self.ended = False
        self.queued_bytes = 0
        self._frames: asyncio.Queue[ResponseFrame | None] = asyncio.Queue()
        self._credit = CreditWindow()

    async def receive(self) -> ResponseFrame:
        """Returns the next frame of the response, waiting for it.

        Raises:
            StreamClosed: If the connection to the peer was lost.
        """
        return self._take(await self._frames.get())

    def receive_nowait(self) -> ResponseFrame | None:
        """Returns the next frame of the response, or None if none has arrived.

        Raises:
            StreamClosed: If the connection to the peer was lost.
        """
        if self._frames.empty():
            return None
        return self._take(self._frames.get_nowait())

    def _take(self, frame: ResponseFrame | None) -> ResponseFrame:
        if frame is None:
            raise StreamClosed()
        if isinstance(frame, ResponseBody):
            self.queued_bytes -= len(frame.data)
        return frame

    async def send_body(self, data: bytes, *, last: bool) -> None:
        """Sends a part of the request's body as the window of the gate permits.

        Raises:
            StreamClosed: If the exchange has ended.
        """
        for start in range(0, max(1, len(data)), MAX_CHUNK_BYTES):
            part = data[start : start + MAX_CHUNK_BYTES]
            is_last = last and start + MAX_CHUNK_BYTES >= len(data)
            await self._credit.acquire(len(part))
            self.peer.send(RequestBody(stream=self.stream, data=part, last=is_last))

    def return_credit(self, size: int) -> None:
        """Returns credit to the gate for bytes of the response that were passed on."""
        if self.ended or not size:
            return
        try:
            self.peer.send(Credit(stream=self.stream, size=size))
        except StreamClosed:
            return

    def handle_frame(self, frame: ResponseFrame) -> None:
        """Queues a frame of the response; the last one ends the exchange."""
        self._frames.put_nowait(frame)
        if isinstance(frame, ResponseBody):
            self.queued_bytes += len(frame.data)
        if isinstance(frame, ResponseHead) and frame.last:
            self._handle_whole_body(frame)
        elif isinstance(frame, RequestFailed) or getattr(frame, "last", False):
            self.end()

    def _handle_whole_body(self, head: ResponseHead) -> None:
        body = ResponseBody(stream=head.stream, offset=0, data=head.data, last=True)
        self.handle_frame(body)

    def add_credit(self, size: int) -> None:
        """Adds credit for sending the request's body."""
        self._credit.add(size)

    def withdraw(self) -> None:
        """Asks the gate to refuse the request unless it was sent to a server."""
        if self.ended:
            return
        with contextlib.suppress(StreamClosed):
            self.peer.send(Withdraw(stream=self.stream))

    def end(self) -> None:
        """Marks the exchange as ended and stops sending the request's body."""
        self.ended = True
        self._credit.close()

    def handle_peer_loss(self) -> None:
        """Ends the exchange; receivers get `StreamClosed` after the queued frames."""
        self.end()
        self._frames.put_nowait(None)


class ExchangeTable:
    """Open exchanges of this host, by the host of the gate.

    Args:
        on_open: Called with the host of each new exchange.
    """

    def __init__(self, *, on_open: Callable[[HostId], None] = lambda host: None):
        self._on_open = on_open
        self._peers: dict[HostId, Peer] = {}
        self._open: dict[HostId, dict[int, Exchange]] = {}
        self._last_stream = 0
        self.unknown_frames = 0

    def add_peer(self, host: HostId, peer: Peer) -> None:
        """Adds the connection to a host."""
        self._peers[host] = peer
        self._open.setdefault(host, {})

    def remove_peer(self, host: HostId) -> None:
        """Removes a lost connection and ends the exchanges on it."""
        self._peers.pop(host, None)
        for exchange in self._open.pop(host, {}).values():
            exchange.handle_peer_loss()

    def open(self, host: HostId, head: RequestHead, *, attempt: int) -> Exchange:
        """Sends a request head whose `stream` comes from `allocate_stream_number`.

        Raises:
            StreamClosed: If there is no connection to the host; nothing was sent.
        """
        peer = self._peers.get(host)
        if peer is None:
            raise StreamClosed(f"no open stream to host {host}")
        peer.send(head)
        exchange = Exchange(peer=peer, stream=head.stream, attempt=attempt)
        self._open[host][head.stream] = exchange
        self._on_open(host)
        return exchange

    def has_peer(self, host: HostId) -> bool:
        """Returns whether there is a connection to a host."""
        return host in self._peers

    def list_active_hosts(self) -> list[HostId]:
        """Returns the hosts with open exchanges."""
        return [host for host, exchanges in self._open.items() if exchanges]

    def allocate_stream_number(self) -> int:
        """Allocates the number of a new request stream."""
        self._last_stream += 1
        return self._last_stream

    def close(self, host: HostId, exchange: Exchange) -> None:
        """Removes an exchange and cancels its request if it has not ended."""
        self._open.get(host, {}).pop(exchange.stream, None)
        if exchange.ended:
            return
        exchange.end()
        try:
            exchange.peer.send(Cancel(stream=exchange.stream))
        except StreamClosed:
            return

    def receive(self, host: HostId, message: object) -> None:
        """Dispatches a message from a host; counts frames of unknown streams."""
        stream = getattr(message, "stream", None)
        exchange = self._open.get(host, {}).get(stream)
        if exchange is None:
            self.unknown_frames += 1
            return
        if isinstance(message, Credit):
            exchange.add_credit(message.size)
            return
        if isinstance(message, ResponseFrame):
            exchange.handle_frame(message)
            return
        self.unknown_frames += 1
