"""The sender's side of request streams: one exchange for each attempt."""

import asyncio
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
)

WINDOW = 262_144  # bytes of one body that may be under way in each direction
PART_SIZE = 65_536  # bytes of one body frame

AnswerFrame = ResponseHead | ResponseBody | RequestFailed


class Peer(ABC):
    """The other end of request streams."""

    @abstractmethod
    def send(self, message: object) -> None:
        """Sends a message.

        Raises:
            StreamClosed: If the peer cannot be reached.
        """


class LocalPeer(Peer):
    """A peer in this process.

    Args:
        deliver: Takes each message, in order.
    """

    def __init__(self, *, deliver: Callable[[object], None]):
        self._deliver = deliver

    def send(self, message: object) -> None:
        """Delivers the message in the next turn of the event loop."""
        asyncio.get_running_loop().call_soon(self._deliver, message)


class CreditWindow:
    """Bytes of a body that may still be sent."""

    def __init__(self):
        self._size = WINDOW
        self._changed = asyncio.Event()
        self._closed = False

    def add(self, size: int) -> None:
        """Adds bytes that the receiver has consumed."""
        self._size += size
        self._changed.set()

    def close(self) -> None:
        """Ends all waiting with `StreamClosed`."""
        self._closed = True
        self._changed.set()

    async def take(self, size: int) -> None:
        """Waits until a part of this size may be sent.

        Raises:
            StreamClosed: If the exchange has ended.
        """
        while self._size < min(size, WINDOW):
            if self._closed:
                raise StreamClosed()
            self._changed.clear()
            await self._changed.wait()
        if self._closed:
            raise StreamClosed()
        self._size -= size


class Exchange:
    """One attempt of one request at a gate.

    Args:
        peer: The gate's host.
        stream: Number of the request on this peer.
        attempt: Number of the attempt.
    """

    def __init__(self, *, peer: Peer, stream: int, attempt: int):
        self.peer = peer
        self.stream = stream
        self.attempt = attempt
        self.ended = False
        self._frames: asyncio.Queue[AnswerFrame | None] = asyncio.Queue()
        self._credit = CreditWindow()

    async def receive(self) -> AnswerFrame:
        """Returns the next frame.

        Raises:
            StreamClosed: If the peer was lost.
        """
        frame = await self._frames.get()
        if frame is None:
            raise StreamClosed()
        return frame

    def receive_ready(self) -> AnswerFrame | None:
        """Returns the next frame if it has come, or None.

        Raises:
            StreamClosed: If the peer was lost.
        """
        if self._frames.empty():
            return None
        frame = self._frames.get_nowait()
        if frame is None:
            raise StreamClosed()
        return frame

    async def send_body(self, data: bytes, *, last: bool) -> None:
        """Sends a part of the request's body when the gate has room for it.

        Raises:
            StreamClosed: If the exchange has ended.
        """
        for start in range(0, max(1, len(data)), PART_SIZE):
            part = data[start : start + PART_SIZE]
            is_last = last and start + PART_SIZE >= len(data)
            await self._credit.take(len(part))
            self.peer.send(RequestBody(stream=self.stream, data=part, last=is_last))

    def consume(self, size: int) -> None:
        """Tells the gate that bytes of the answer were passed on."""
        if self.ended or not size:
            return
        try:
            self.peer.send(Credit(stream=self.stream, size=size))
        except StreamClosed:
            return

    def push(self, frame: AnswerFrame) -> None:
        """Takes a frame of the answer."""
        self._frames.put_nowait(frame)
        if isinstance(frame, ResponseHead) and frame.last:
            self._push_body(frame)
        elif isinstance(frame, RequestFailed) or getattr(frame, "last", False):
            self.end()

    def _push_body(self, head: ResponseHead) -> None:
        body = ResponseBody(stream=head.stream, offset=0, data=head.data, last=True)
        self.push(body)

    def add_credit(self, size: int) -> None:
        """Lets more of the request's body be sent."""
        self._credit.add(size)

    def end(self) -> None:
        """Ends the sending of the request's body."""
        self.ended = True
        self._credit.close()

    def lose(self) -> None:
        """Takes the loss of the peer."""
        self.end()
        self._frames.put_nowait(None)


class ExchangeTable:
    """All exchanges that this host has open, by gate host."""

    def __init__(self):
        self._peers: dict[HostId, Peer] = {}
        self._open: dict[HostId, dict[int, Exchange]] = {}
        self._next_stream = 0
        self.unknown_frames = 0

    def add_peer(self, host: HostId, peer: Peer) -> None:
        """Takes a peer that can be reached now."""
        self._peers[host] = peer
        self._open.setdefault(host, {})

    def remove_peer(self, host: HostId) -> None:
        """Takes the loss of a peer; its exchanges are lost with it."""
        self._peers.pop(host, None)
        for exchange in self._open.pop(host, {}).values():
            exchange.lose()

    def open(self, host: HostId, head: RequestHead, *, attempt: int) -> Exchange:
        """Sends the head of a request; `head.stream` must come from `number`.

        Raises:
            StreamClosed: If the host cannot be reached; nothing was sent then.
        """
        peer = self._peers.get(host)
        if peer is None:
            raise StreamClosed(f"no stream to host {host}")
        peer.send(head)
        exchange = Exchange(peer=peer, stream=head.stream, attempt=attempt)
        self._open[host][head.stream] = exchange
        return exchange

    def has_peer(self, host: HostId) -> bool:
        """Returns whether a host can be reached now."""
        return host in self._peers

    def list_busy(self) -> list[HostId]:
        """Returns the hosts with open exchanges."""
        return [host for host, exchanges in self._open.items() if exchanges]

    def number(self) -> int:
        """Returns a number for the next request stream."""
        self._next_stream += 1
        return self._next_stream

    def close(self, host: HostId, exchange: Exchange) -> None:
        """Forgets an exchange and cancels it if it has not ended."""
        self._open.get(host, {}).pop(exchange.stream, None)
        if exchange.ended:
            return
        exchange.end()
        try:
            exchange.peer.send(Cancel(stream=exchange.stream))
        except StreamClosed:
            return

    def receive(self, host: HostId, message: object) -> None:
        """Takes a message of a gate host; frames of unknown streams are counted."""
        stream = getattr(message, "stream", None)
        exchange = self._open.get(host, {}).get(stream)
        if exchange is None:
            self.unknown_frames += 1
            return
        if isinstance(message, Credit):
            exchange.add_credit(message.size)
            return
        if isinstance(message, AnswerFrame):
            exchange.push(message)
            return
        self.unknown_frames += 1
