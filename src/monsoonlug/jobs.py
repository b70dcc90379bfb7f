"""One request at its gate: body parts that come in, answer frames that go out."""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from monsoonlug.backend import BackendProtocol, BackendRequest
from monsoonlug.exceptions import DamagedFrame, MonsoonlugError, StreamClosed
from monsoonlug.exchanges import MAX_CHUNK_BYTES, WINDOW_BYTES, CreditWindow, Peer
from monsoonlug.ids import SLICE_COUNT, Epoch, RequestId, Slice
from monsoonlug.messages import (
    Cancel,
    Credit,
    RequestBody,
    RequestFailed,
    RequestHead,
    ResponseBody,
    ResponseHead,
)

POOLED = -1


@dataclass(frozen=True, slots=True, kw_only=True)
class _Part:
    data: bytes
    last: bool


class Job:
    """One request at its gate.

    Args:
        head: The request's head.
        peer: Where the request came from and its answer goes.
        deadline: Seconds of this host's clock.
    """

    def __init__(self, *, head: RequestHead, peer: Peer, deadline: float):
        self.head = head
        self.peer = peer
        self.deadline = deadline
        self.ended = False
        self._parts: asyncio.Queue[_Part | None] = asyncio.Queue()
        self._unread = 0
        self._sent = 0
        self._credit = CreditWindow()

    @property
    def unit(self) -> int:
        """Slice, or a number above all slices for a key with an override."""
        if self.head.key_hash is None:
            return self.head.slice
        return number_override(self.head.key_hash)

    def feed(self, message: RequestBody) -> None:
        """Takes a part of the request's body.

        Raises:
            DamagedFrame: If the sender ignores the window.
        """
        self._unread += len(message.data)
        if self._unread > WINDOW_BYTES:
            raise DamagedFrame("a request's body overran its window")
        self._parts.put_nowait(_Part(data=message.data, last=message.last))

    def add_credit(self, size: int) -> None:
        """Lets more of the answer's body be sent."""
        self._credit.add(size)

    async def iterate_body(self) -> AsyncIterator[bytes]:
        """Yields the parts of the request's body.

        Raises:
            StreamClosed: If the caller went away before the end.
        """
        while True:
            part = await self._parts.get()
            if part is None:
                raise StreamClosed()
            self._unread -= len(part.data)
            if part.data:
                yield part.data
            if part.last:
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
        """Sends the answer's status and headers.

        Args:
            status: HTTP status.
            headers: Names and values.
            body: The whole body, of at most `MAX_CHUNK_BYTES` bytes, or None if
                `send_part` sends it. The window of a new answer always has room for it.
            wait: Seconds until a new request would be answered.

        Raises:
            StreamClosed: If the caller went away or its host cannot be reached.
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
        """Sends a part of the answer's body when the caller's host has room for it.

        Raises:
            StreamClosed: If the caller's host cannot be reached.
        """
        for start in range(0, max(1, len(data)), MAX_CHUNK_BYTES):
            piece = data[start : start + MAX_CHUNK_BYTES]
            await self._credit.acquire(len(piece))
            message = ResponseBody(
                stream=self.head.stream,
                offset=self._sent,
                data=piece,
                last=last and start + MAX_CHUNK_BYTES >= len(data),
            )
            self.peer.send(message)
            self._sent += len(piece)

    async def run(
        self,
        backend: BackendProtocol,
        *,
        find_wait: Callable[[], float] | None = None,
    ) -> None:
        """Sends the request to its server and passes the answer on.

        Args:
            backend: Protocol to the server.
            find_wait: Returns the seconds until a new request would be answered, when
                the answer's head has come; None if callers are not told.

        Raises:
            MonsoonlugError: If there is no answer, or if it is cut off.
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
        answer = await backend.send(message, body)
        try:
            body = answer.read_whole(MAX_CHUNK_BYTES)
            wait = find_wait() if find_wait is not None else 0.0
            self.send_head(answer.status, answer.headers, body, wait=wait)
            if body is not None:
                return
            async for part in answer.iterate():
                await self.send_part(part)
            await self.send_part(b"", last=True)
        except BaseException:
            answer.cancel()
            raise

    def fail(self, error: MonsoonlugError) -> None:
        """Ends the request without a whole answer."""
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
        """Ends all waiting of this request."""
        self.ended = True
        self._parts.put_nowait(None)
        self._credit.close()


class JobTable:
    """The requests at the gates of this host, by the peer that they came from.

    Args:
        open_job: Takes the head of each new request.
        cancel_job: Takes that the caller of a request no longer waits.
    """

    def __init__(
        self,
        *,
        open_job: Callable[[Peer, RequestHead], None],
        cancel_job: Callable[[Job], None],
    ):
        self._open_job = open_job
        self._cancel_job = cancel_job
        self._jobs: dict[Peer, dict[int, Job]] = {}
        self.unknown_frames = 0

    def add(self, job: Job) -> None:
        """Adds a request and forgets those of its peer that have ended."""
        jobs = self._jobs.setdefault(job.peer, {})
        for stream in [number for number, item in jobs.items() if item.ended]:
            del jobs[stream]
        jobs[job.head.stream] = job

    def receive(self, peer: Peer, message: object) -> None:
        """Takes a frame of a request stream.

        Raises:
            DamagedFrame: If the peer does not keep to the protocol.
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
                job.feed(message)
            case Credit():
                job.add_credit(message.size)
            case Cancel():
                self._cancel_job(job)
            case _:
                self.unknown_frames += 1

    def lose_peer(self, peer: Peer) -> None:
        """Takes the loss of a peer: its callers no longer wait."""
        for job in list(self._jobs.pop(peer, {}).values()):
            self._cancel_job(job)


def number_override(key_hash: int) -> int:
    """Returns the unit of a key that has an override.

    >>> number_override(0) == SLICE_COUNT
    True
    """
    return SLICE_COUNT + key_hash
