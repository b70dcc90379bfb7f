"""Relays requests of callers' hosts to backend servers, and their responses back."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from monsoonlug.backend import BackendProtocol, BackendRequest, BackendResponse
from monsoonlug.exceptions import DamagedFrame, MonsoonlugError, StreamClosed
from monsoonlug.exchanges import MAX_CHUNK_BYTES, WINDOW_BYTES, CreditWindow, Peer
from monsoonlug.ids import SLICE_COUNT, Epoch, RequestId, Slice
from monsoonlug.memory_budget import Holding
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
from monsoonlug.response_room import ExpectedResponse

POOLED = -1  # slice number of a request on a pooled route


@dataclass(frozen=True, slots=True, kw_only=True)
class _BodyPart:
    data: bytes
    last: bool


class Job:
    """One request at its gate, relayed between a peer's stream and a backend server.

    Request and response bodies are subject to credit-based flow control.

    Args:
        head: Head of the request.
        peer: The peer that sent the request and receives the response.
        deadline: Seconds of this host's clock.

    Attributes:
        status: Status of the response, or 0 while there is none.
        is_blocked: Whether the response had to wait for the caller to read.
        is_body_sent: Whether the caller has sent the whole request.
        expected: The memory that its response needs, if it is large.
        holding: The memory of the parts of its body that the server has not read.
    """

    def __init__(self, *, head: RequestHead, peer: Peer, deadline: float):
        self.head = head
        self.peer = peer
        self.deadline = deadline
        self.ended = False
        self.has_response = False
        self.status = 0
        self.is_blocked = False
        self.is_body_sent = not head.has_body
        self.expected: ExpectedResponse | None = None
        self.holding: Holding | None = None
        self._body_parts: asyncio.Queue[_BodyPart | None] = asyncio.Queue()
        self._unread_bytes = 0
        self._sent_bytes = 0
        self._credit = CreditWindow()

    @property
    def unit(self) -> int:
        """The slice, or a number above all slices for a key with an override."""
        if self.head.key_hash is None:
            return self.head.slice
        return build_override_unit(self.head.key_hash)

    def receive_body(self, message: RequestBody) -> bool:
        """Queues a part of the request's body.

        Returns:
            Whether there was memory for it.

        Raises:
            DamagedFrame: If the sender exceeds the flow-control window.
        """
        self._unread_bytes += len(message.data)
        if self._unread_bytes > WINDOW_BYTES:
            raise DamagedFrame("request body exceeds its flow-control window")
        if self.holding is not None and not self.holding.resize(self._unread_bytes):
            return False
        self._body_parts.put_nowait(_BodyPart(data=message.data, last=message.last))
        return True

    def add_credit(self, size: int) -> None:
        """Adds flow-control credit, in bytes, for the response body."""
        self._credit.add(size)

    def limit_window(self, reduction: int) -> None:
        """Reduces the flow-control window of the response body, in bytes."""
        self._credit.reduce(reduction)

    async def iterate_body(self) -> AsyncIterator[bytes]:
        """Yields the parts of the request's body.

        Raises:
            StreamClosed: If the caller disconnected before the end of the body.
        """
        while True:
            part = await self._body_parts.get()
            if part is None:
                raise StreamClosed()
            self._unread_bytes -= len(part.data)
            if self.holding is not None:
                self.holding.resize(self._unread_bytes)
            if part.data:
                yield part.data
            if part.last:
                self.is_body_sent = True
                return
            self.peer.send(Credit(stream=self.head.stream, size=len(part.data)))

    def send_head(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes | None = None,
        *,
        wait: float = 0.0,
    ) -> None:
        """Sends the status and headers of the response.

        Args:
            status: HTTP status.
            headers: Names and values.
            body: The complete body, of at most `MAX_CHUNK_BYTES` bytes, or None if it
                follows by `send_part`. The initial window always has room for such a
                body.
            wait: Predicted seconds until the response to a new request.

        Raises:
            StreamClosed: If the caller disconnected or its host is unreachable.
        """
        if self.ended:
            raise StreamClosed()
        message = ResponseHead(
            stream=self.head.stream,
            request=self.head.request,
            status=status,
            headers=headers,
            data=body or b"",
            last=body is not None,
            wait=wait,
        )
        self.peer.send(message)

    async def send_part(self, data: bytes, *, last: bool = False) -> None:
        """Sends a part of the response body once there is enough credit.

        Raises:
            StreamClosed: If the caller's host is unreachable.
        """
        for start in range(0, max(1, len(data)), MAX_CHUNK_BYTES):
            piece = data[start : start + MAX_CHUNK_BYTES]
            if not self._credit.has(len(piece)):
                self.is_blocked = True
            await self._credit.acquire(len(piece))
            message = ResponseBody(
                stream=self.head.stream,
                offset=self._sent_bytes,
                data=piece,
                last=last and start + MAX_CHUNK_BYTES >= len(data),
            )
            self.peer.send(message)
            self._sent_bytes += len(piece)

    async def run(
        self,
        backend: BackendProtocol,
        *,
        estimate_latency: Callable[[], float] | None = None,
        on_head: Callable[[], None] = lambda: None,
        observer: "ResponseObserver | None" = None,
    ) -> None:
        """Sends the request to its server and relays the response.

        A large response may be passed on after this method has returned.

        Args:
            backend: Client of the server.
            estimate_latency: Returns the predicted seconds until the response to a new
                request; called when the response head arrives. None if the prediction
                is not sent to the caller's host.
            on_head: Called when the response head has arrived.
            observer: Learns the response's size and relays it if it is large.

        Raises:
            MonsoonlugError: If there is no response, or only a part of it.
        """
        head = self.head
        message = BackendRequest(
            request=RequestId(head.request),
            workspace=head.workspace or None,
            method=head.method,
            target=head.target,
            headers=[(name, value) for name, value in head.headers],
            slice=Slice(head.slice) if head.slice != POOLED else None,
            slice_epoch=Epoch(head.slice_epoch),
            gate_epoch=Epoch(head.gate_epoch),
            idempotency_key=head.idempotency_key,
            deadline=self.deadline,
            idempotent=head.idempotent,
        )
        body = self.iterate_body() if head.has_body else None
        response = await backend.send(message, body)
        self.has_response = True
        self.status = response.status
        on_head()
        try:
            body = response.read_whole(MAX_CHUNK_BYTES)
            wait = estimate_latency() if estimate_latency is not None else 0.0
            self.send_head(response.status, response.headers, body, wait=wait)
            relay = None
            if observer is not None:
                relay = observer.begin(self, response, body)
            if body is not None:
                return
            if relay is not None:
                await relay.read(response)
                observer.end(self, response, relay.total)
                return
            total = 0
            async for part in response.iterate():
                total += len(part)
                await self.send_part(part)
            await self.send_part(b"", last=True)
            if observer is not None:
                observer.end(self, response, total)
        except BaseException:
            response.cancel()
            raise

    def fail(self, error: MonsoonlugError) -> None:
        """Ends the request with an error."""
        self.close()
        retry_after = -1.0 if error.retry_after is None else error.retry_after
        message = RequestFailed(
            stream=self.head.stream,
            request=self.head.request,
            code=error.code,
            ran=error.ran.value,
            retry_after=retry_after,
            text=str(error),
        )
        try:
            self.peer.send(message)
        except StreamClosed:
            return

    def close(self) -> None:
        """Ends the request and wakes the tasks that wait for its body or credit."""
        self.ended = True
        self._body_parts.put_nowait(None)
        self._credit.close()
        if self.expected is not None:
            self.expected.close()
        if self.holding is not None:
            self.holding.close()


class ResponseReader(ABC):
    """Reads one response as fast as its server sends it.

    Attributes:
        total: Bytes that were read.
    """

    total: int

    @abstractmethod
    async def read(self, response: BackendResponse) -> None:
        """Reads a response to its end, which may be before it was passed on.

        Raises:
            MonsoonlugError: If the response is incomplete.
        """


class ResponseObserver(ABC):
    """Is told of the responses at a gate."""

    @abstractmethod
    def begin(
        self, job: Job, response: BackendResponse, body: bytes | None
    ) -> ResponseReader | None:
        """Handles a response whose head has arrived.

        Args:
            job: The request.
            response: The response.
            body: The body if it has arrived as well; it then needs no reader.

        Returns:
            What reads and passes on the response, or None if the job does.
        """

    @abstractmethod
    def end(self, job: Job, response: BackendResponse, total: int) -> None:
        """Handles the end of a response with a body of `total` bytes."""


class JobTable:
    """The requests at the gates of this host, by peer and stream number.

    Args:
        open_job: Called with the peer and the head of each new request.
        cancel_job: Called when the caller of a request has disconnected.
        drop_job: Called when there is no memory for the body of a request.
        withdraw_job: Called when the caller's host stops.
    """

    def __init__(
        self,
        *,
        open_job: Callable[[Peer, RequestHead], None],
        cancel_job: Callable[[Job], None],
        drop_job: Callable[[Job], None] | None = None,
        withdraw_job: Callable[[Job], None] = lambda job: None,
    ):
        self._open_job = open_job
        self._cancel_job = cancel_job
        self._drop_job = drop_job or cancel_job
        self._withdraw_job = withdraw_job
        self._jobs: dict[Peer, dict[int, Job]] = {}
        self.unknown_frames = 0

    def add(self, job: Job) -> None:
        """Adds a request and removes the ended requests of its peer."""
        jobs = self._jobs.setdefault(job.peer, {})
        for stream in [number for number, item in jobs.items() if item.ended]:
            del jobs[stream]
        jobs[job.head.stream] = job

    def receive(self, peer: Peer, message: object) -> None:
        """Handles a frame of a request stream.

        Raises:
            DamagedFrame: If the peer violates the protocol.
        """
        if isinstance(message, RequestHead):
            self._open_job(peer, message)
            return
        job = self._jobs.get(peer, {}).get(getattr(message, "stream", None))
        if job is None or job.ended:
            self.unknown_frames += 1
            return
        match message:
            case RequestBody():
                if not job.receive_body(message):
                    self._drop_job(job)
            case Credit():
                job.add_credit(message.size)
            case Cancel():
                self._cancel_job(job)
            case Withdraw():
                self._withdraw_job(job)
            case _:
                self.unknown_frames += 1

    def remove_peer(self, peer: Peer) -> None:
        """Cancels the requests of a peer whose connection was lost."""
        for job in list(self._jobs.pop(peer, {}).values()):
            self._cancel_job(job)


def build_override_unit(key_hash: int) -> int:
    """Returns the unit number of a key that has an override.

    >>> build_override_unit(0) == SLICE_COUNT
    True
    """
    return SLICE_COUNT + key_hash
