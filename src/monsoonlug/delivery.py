"""Delivers an admitted request to a gate and the response to the caller."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from aiohttp import web

from monsoonlug.admission import AdmittedRequest, BodyCounter
from monsoonlug.caller_buffers import CallerBuffer, CallerBuffers
from monsoonlug.crash_tracking import (
    MAX_FINGERPRINT_BODY,
    CrashTracker,
    RequestDigest,
)
from monsoonlug.dispatch import (
    SHUTDOWN_RETRY_AFTER,
    Abort,
    Action,
    AttemptFailed,
    Attempts,
    Begin,
    BodyDiscarded,
    CallerDisconnected,
    Event,
    Forward,
    HeadArrived,
    PartArrived,
    Refuse,
    Retry,
    Send,
    Sending,
    Stopping,
    StreamLost,
    TimerFired,
    Wait,
)
from monsoonlug.exceptions import (
    AnswerCutOff,
    BadRequest,
    BodyTooLarge,
    MonsoonlugError,
    NoOwner,
    RequestBlocked,
    ServerCrashed,
    ShuttingDown,
    StreamClosed,
    find_error,
)
from monsoonlug.exchanges import MAX_CHUNK_BYTES, Exchange, ExchangeTable, ResponseFrame
from monsoonlug.gate import Outcome
from monsoonlug.ids import HostId, Ran, RequestId, ServerId
from monsoonlug.logs import get_logger
from monsoonlug.messages import (
    RequestFailed,
    RequestHead,
    ResponseBody,
    ResponseHead,
)
from monsoonlug.recordclient import RecordClient
from monsoonlug.records import StoredAnswer
from monsoonlug.request_bodies import read_body
from monsoonlug.response_sizes import find_length, is_counted
from monsoonlug.targets import Target, TargetFinder

MAX_REPLAY_BODY = 65_536  # bytes; only a body up to this size can be sent again
MAX_STORED_BODY = 65_536  # bytes; a larger response is not stored for repeats
NO_OWNER_RETRY_AFTER = 1.0  # seconds
LATE_WRITE_TIME = 1.0  # seconds after the deadline for which a write may take
BODILESS_STATUSES = frozenset({204, 304})

logger = get_logger("front")


@dataclass(frozen=True, slots=True, kw_only=True)
class DeliveryContext:
    """Objects that all deliveries of this host share.

    Attributes:
        clock: Monotonic clock, in seconds.
        connect: Opens the stream to a host; None if streams open by themselves.
        crash_tracker: Requests that crash servers.
        on_crash: Called after a crash was recorded.
        caller_buffers: Accounts for large responses; None if they are not bounded.
    """

    finder: TargetFinder
    exchanges: ExchangeTable
    records: RecordClient
    clock: Callable[[], float]
    connect: Callable[[HostId], Awaitable[None]] | None = None
    crash_tracker: CrashTracker = field(default_factory=CrashTracker)
    on_crash: Callable[[], None] = lambda: None
    caller_buffers: CallerBuffers | None = None


class Delivery:
    """Delivery of one request, from its first attempt to the end of its response.

    Args:
        context: Objects that all deliveries share.
        admitted: The admitted request.
        request_id: Id of the request.
        deadline: Time in seconds of the monotonic clock.
        attempts: State machine of the request's attempts.
        request: The caller's request.
        on_prepare: Called with the response before its headers are sent.
        may_send: Returns whether the answer to a request with a deadline can still
            arrive, or None if this host does not stop.
        is_leaving: Whether this host is about to stop.

    Attributes:
        sent_to: Server and host of the last attempt, or an empty string.
        failures: Server, host and error code of each attempt that failed at a gate.
    """

    def __init__(
        self,
        *,
        context: DeliveryContext,
        admitted: AdmittedRequest,
        request_id: RequestId,
        deadline: float,
        attempts: Attempts,
        request: web.BaseRequest,
        on_prepare: Callable[[web.StreamResponse], None],
        may_send: Callable[[float], bool] | None = None,
        is_leaving: bool = False,
    ):
        self._context = context
        self._admitted = admitted
        self._request_id = request_id
        self._deadline = deadline
        self._may_send = may_send
        self._is_leaving = is_leaving
        self._body_reader: asyncio.Future[bytes] | None = None
        self.sent_to = ""
        self.failures: list[str] = []
        self._attempts = attempts
        self._request = request
        self._on_prepare = on_prepare
        self._body = b""
        self._is_streamed = False
        self._digest = RequestDigest(
            admitted.workspace, admitted.method, admitted.target
        )
        self._body_error: MonsoonlugError | None = None
        self._stored_body: bytearray | None = None
        self._target: Target | None = None
        self._tried: set[ServerId] = set()
        self._outcome = Outcome.ABANDONED
        self._exchange: Exchange | None = None
        self._body_task: asyncio.Task | None = None
        self._response_head: ResponseHead | None = None
        self._response: web.StreamResponse | None = None
        self._is_stopping = False
        self._caller_buffer: CallerBuffer | None = None
        self._response_size = 0

    async def run(self) -> web.StreamResponse:
        """Delivers the request and returns the response that was sent.

        Raises:
            MonsoonlugError: If the request is refused or its outcome is unknown.
            AnswerCutOff: If the response ended early and a part of it was sent.
        """
        try:
            await self._read_body()
            if not self._needs_record:
                return await self._deliver()
            stored = await self._begin_record()
            if stored is not None:
                return await self._send_stored(stored)
            return await self._deliver_recorded()
        except (asyncio.CancelledError, ConnectionError):
            self._decide(CallerDisconnected())
            raise
        finally:
            self._close_exchange()
            if self._caller_buffer is not None:
                self._caller_buffer.close()

    @property
    def has_started(self) -> bool:
        """Whether a part of the response may have reached the caller."""
        return self._response is not None

    @property
    def deadline(self) -> float:
        """Time in seconds of the monotonic clock."""
        return self._deadline

    def stop_unless_sent(self) -> None:
        """Refuses the request unless its gate has sent it to a server."""
        if self._exchange is not None:
            self._exchange.withdraw()
            return
        if self.has_started:
            return
        self._is_stopping = True
        if self._body_reader is not None:
            self._body_reader.cancel()

    def stop(self) -> None:
        """Answers the caller now, unless a part of the response was sent."""
        if self.has_started:
            return
        self._is_stopping = True
        if self._exchange is not None:
            self._exchange.handle_peer_loss()

    @property
    def _must_stop(self) -> bool:
        if self._is_stopping:
            return True
        return self._may_send is not None and not self._may_send(self._deadline)

    @property
    def _needs_record(self) -> bool:
        admitted = self._admitted
        if admitted.route.idempotent or admitted.workspace is None:
            return False
        return bool(admitted.idempotency_key)

    async def _begin_record(self) -> StoredAnswer | None:
        return await self._context.records.begin(
            self._admitted, self._request_id, self._body, self._deadline
        )

    async def _deliver_recorded(self) -> web.StreamResponse:
        self._stored_body = bytearray()
        ran, stored = Ran.UNKNOWN, None
        try:
            response = await self._deliver()
            ran = Ran.RAN
            stored = self._build_stored()
            return response
        except MonsoonlugError as error:
            ran = error.ran
            raise
        except asyncio.CancelledError:
            ran = Ran.UNKNOWN if self._attempts.may_have_run else Ran.NOT_RUN
            raise
        finally:
            self._context.records.finish(self._admitted, self._request_id, ran, stored)

    def _build_stored(self) -> StoredAnswer | None:
        if self._stored_body is None:
            return None
        return StoredAnswer(
            status=self._response_head.status,
            headers=[list(pair) for pair in self._response_head.headers],
            body=bytes(self._stored_body),
        )

    async def _send_stored(self, stored: StoredAnswer) -> web.StreamResponse:
        response = build_stored_response(stored)
        response.headers["X-Request-Id"] = self._request_id
        response.headers["X-Repeated"] = "1"
        self._on_prepare(response)
        await response.prepare(self._request)
        await response.write_eof()
        return response

    async def _deliver(self) -> web.StreamResponse:
        action = self._decide(Begin())
        while True:
            if isinstance(action, Send):
                action = await self._send(action)
                continue
            if isinstance(action, Refuse):
                raise self._body_error or action.refusal.build_error()
            if isinstance(action, Abort):
                raise AnswerCutOff()
            if isinstance(action, Retry):
                self._close_exchange()
            try:
                frame = await self._receive(action)
                event = self._read_event(frame)
            except StreamClosed:
                self._outcome = Outcome.LOST
                event = StreamLost(attempt=self._attempts.attempt)
                if self._is_stopping:
                    event = Stopping()
            action = self._decide(event)
            if not isinstance(action, Forward):
                continue
            await self._forward(frame)
            if action.last:
                return self._response

    def _find_block(self) -> float:
        """Returns for how many seconds the request is blocked, or 0."""
        tracker = self._context.crash_tracker
        if tracker.is_idle:
            return 0.0
        return tracker.find_block(self._context.clock(), self._digest.fingerprint)

    def _decide(self, event: Event) -> Action:
        return self._attempts.decide(self._context.clock(), event)

    async def _send(self, send: Send) -> Action:
        if self._must_stop:
            return self._decide(Stopping())
        blocked_for = self._find_block()
        if blocked_for > 0:
            return self._fail_attempt(send.attempt, RequestBlocked, blocked_for)
        target = await self._context.finder.wait(
            self._admitted, self._deadline, exclude=self._tried
        )
        if target is None:
            return self._fail_attempt(send.attempt, NoOwner, NO_OWNER_RETRY_AFTER)
        connect = self._context.connect
        if connect is not None and not self._context.exchanges.has_peer(target.host):
            await connect(target.host)
        if self._must_stop:
            return self._decide(Stopping())
        self._decide(Sending(attempt=send.attempt))
        head = self._build_head(target, send.attempt)
        try:
            self._exchange = self._context.exchanges.open(
                target.host, head, attempt=send.attempt
            )
        except StreamClosed:
            return self._fail_attempt(send.attempt, StreamClosed, None)
        self._target = target
        self.sent_to = f"{target.server} by {target.host}"
        self._tried.add(target.server)
        self._outcome = Outcome.ABANDONED
        self._context.finder.record_start(self._admitted, target, head.request)
        if head.has_body:
            self._body_task = asyncio.create_task(self._send_body(self._exchange))
        return Wait()

    def _fail_attempt(
        self, attempt: int, error: type[MonsoonlugError], retry_after: float | None
    ) -> Action:
        event = AttemptFailed(
            attempt=attempt,
            request_id=self._request_id,
            error=error,
            ran=Ran.NOT_RUN,
            retry_after=retry_after,
        )
        return self._decide(event)

    def _build_head(self, target: Target, attempt: int) -> RequestHead:
        admitted = self._admitted
        return RequestHead(
            stream=self._context.exchanges.allocate_stream_number(),
            request=self._format_attempt_id(attempt),
            server=target.server,
            gate_epoch=target.gate_epoch,
            revision=target.revision,
            slice=target.slice,
            slice_epoch=target.slice_epoch,
            key_hash=target.key_hash,
            route=admitted.route.name,
            workspace=admitted.workspace or "",
            request_class=admitted.route.priority.value,
            key_digest=admitted.key_digest,
            remaining=self._deadline - self._context.clock(),
            method=admitted.method,
            target=admitted.target,
            headers=[list(pair) for pair in admitted.headers],
            idempotency_key=admitted.idempotency_key,
            has_body=admitted.content_length != 0,
            pool=target.pool,
            idempotent=admitted.route.idempotent,
            objective=min(admitted.objective_at, self._deadline)
            - self._context.clock(),
        )

    def _format_attempt_id(self, attempt: int) -> str:
        return f"{self._request_id}.{attempt}"

    async def _receive(self, action: Action) -> ResponseFrame | None:
        """Returns the next frame, or None if the timer fired first.

        Raises:
            StreamClosed: If the connection to the gate's host was lost.
        """
        timeout = max(0.0, self._attempts.wake_at() - self._context.clock())
        if isinstance(action, Retry) or self._exchange is None:
            await asyncio.sleep(timeout)
            return None
        if timeout <= 0:
            return None
        # A frame that has already arrived is taken without the cost of a timer.
        frame = self._exchange.receive_nowait()
        if frame is not None:
            return frame
        try:
            async with asyncio.timeout(timeout):
                return await self._exchange.receive()
        except TimeoutError:
            return None

    def _read_event(self, frame: ResponseFrame | None) -> Event:
        if frame is None:
            return TimerFired()
        attempt = self._attempts.attempt
        match frame:
            case ResponseHead():
                self._context.finder.record_wait(self._target, frame.wait)
                tracker = self._context.crash_tracker
                if not tracker.is_idle:
                    tracker.report_response(
                        self._context.clock(), self._digest.fingerprint
                    )
                return HeadArrived(
                    attempt=attempt,
                    request_id=self._find_request_id(frame.request),
                    length=self._find_length(frame),
                )
            case ResponseBody():
                if frame.last:
                    self._outcome = Outcome.ANSWERED
                return PartArrived(
                    attempt=attempt,
                    request_id=self._request_id,
                    offset=frame.offset,
                    size=len(frame.data),
                    last=frame.last,
                )
            case RequestFailed():
                self._outcome = _classify_failure(frame)
                self.failures.append(f"{self.sent_to}: {frame.code}")
                if find_error(frame.code) is ServerCrashed:
                    self._record_crash()
                finder = self._context.finder
                finder.record_failure(self._target, find_error(frame.code))
                return AttemptFailed(
                    attempt=attempt,
                    request_id=self._find_request_id(frame.request),
                    error=find_error(frame.code),
                    ran=Ran(frame.ran),
                    retry_after=frame.retry_after if frame.retry_after >= 0 else None,
                    has_alternative=finder.has_alternative(self._target, self._tried),
                )

    def _record_crash(self) -> None:
        context = self._context
        context.crash_tracker.report_crash(
            context.clock(), self._digest.fingerprint, self._target.server
        )
        context.on_crash()
        logger.bind(
            request=self._request_id,
            route=self._admitted.route.name,
            workspace=self._admitted.workspace or "",
            sent_to=self.sent_to,
            fingerprint=self._digest.fingerprint,
        ).warning("A backend server ended while it ran a request.")

    def _find_request_id(self, attempt_id: str) -> RequestId:
        if attempt_id == self._format_attempt_id(self._attempts.attempt):
            return self._request_id
        return RequestId(attempt_id)

    def _find_length(self, head: ResponseHead) -> int | None:
        if self._admitted.method == "HEAD" or head.status in BODILESS_STATUSES:
            return 0
        return find_length(head.headers)

    async def _forward(self, frame: ResponseFrame) -> None:
        if isinstance(frame, ResponseHead):
            self._response_head = frame
            return
        self._response_size += len(frame.data)
        if frame.last:
            self._record_size()
        self._store_part(frame.data)
        if self._response is None and frame.last:
            # A single write sends head and body of a small response in one packet.
            self._response = self._build_complete_response(frame.data)
            await self._response.prepare(self._request)
            await self._response.write_eof()
            return
        if self._response is None:
            self._response = self._build_response()
            await self._response.prepare(self._request)
            self._open_buffer()
        if frame.data:
            if self._caller_buffer is not None:
                self._caller_buffer.hold(self._exchange.queued_bytes + len(frame.data))
            await self._write(frame.data)
            self._exchange.return_credit(len(frame.data))
        if frame.last:
            await self._response.write_eof()

    async def _write(self, data: bytes) -> None:
        if self._caller_buffer is None:
            await self._response.write(data)
            return
        # Without a time-out, a caller that reads nothing would hold memory for ever.
        remaining = self._deadline - self._context.clock()
        try:
            async with asyncio.timeout(max(0.0, remaining) + LATE_WRITE_TIME):
                await self._caller_buffer.write(self._response, data)
        except TimeoutError:
            raise AnswerCutOff("the caller did not read the response") from None

    def _open_buffer(self) -> None:
        buffers = self._context.caller_buffers
        if buffers is not None:
            route = self._admitted.route.name
            self._caller_buffer = buffers.open(
                route,
                self._request,
                length=self._find_length(self._response_head),
                objective=self._admitted.objective_at,
            )

    def _record_size(self) -> None:
        buffers = self._context.caller_buffers
        method, status = self._admitted.method, self._response_head.status
        if buffers is not None and is_counted(method, status):
            buffers.sizes.record(self._admitted.route.name, self._response_size)

    def _store_part(self, data: bytes) -> None:
        if self._stored_body is None:
            return
        self._stored_body += data
        if len(self._stored_body) > MAX_STORED_BODY:
            self._stored_body = None

    def _build_complete_response(self, data: bytes) -> web.Response:
        response = web.Response(status=self._response_head.status, body=data)
        self._set_headers(response)
        return response

    def _build_response(self) -> web.StreamResponse:
        response = web.StreamResponse(status=self._response_head.status)
        self._set_headers(response)
        return response

    def _set_headers(self, response: web.StreamResponse) -> None:
        for name, value in self._response_head.headers:
            response.headers.add(name, value)
        response.headers["X-Request-Id"] = self._request_id
        self._on_prepare(response)

    # Request body.

    async def _read_body(self) -> None:
        length = self._admitted.content_length
        if length == 0:
            return
        if length is None or length > MAX_REPLAY_BODY:
            self._is_streamed = True
            # A streamed body may end too late for an answer before this host stops.
            is_held = self._is_leaving and length is None
            if is_held or self._context.crash_tracker.tracks_head(self._digest.head):
                self._body = await self._wait_for_body(self._read_prefix())
                self._digest.add_body(self._body)
            return
        try:
            self._body = await self._wait_for_body(read_body(self._request))
        except web.HTTPRequestEntityTooLarge:
            raise BodyTooLarge() from None
        if len(self._body) != length:
            raise BadRequest(
                f"the body ended after {len(self._body)} of {length} bytes"
            )
        self._digest.add_body(self._body)

    async def _wait_for_body(self, reading: Awaitable[bytes]) -> bytes:
        """Returns what was read of the body, unless this host stops meanwhile."""
        timeout = self._deadline - self._context.clock()
        self._body_reader = asyncio.ensure_future(reading)
        try:
            return await asyncio.wait_for(self._body_reader, timeout)
        except asyncio.CancelledError:
            if self._is_stopping:
                raise ShuttingDown(retry_after=SHUTDOWN_RETRY_AFTER) from None
            raise
        except TimeoutError:
            raise BadRequest("the body did not arrive before the deadline") from None

    async def _read_prefix(self) -> bytes:
        """Returns as much of a body as is compared, or all of it if it is shorter."""
        content = self._request.content
        counter = BodyCounter(limit=self._admitted.route.limits.body)
        prefix = b""
        while len(prefix) < MAX_FINGERPRINT_BODY:
            part = await content.readany()
            if not part:
                self._is_streamed = False
                break
            counter.add(len(part))
            prefix += part
        return prefix

    async def _send_body(self, exchange: Exchange) -> None:
        try:
            if not self._is_streamed:
                await exchange.send_body(self._body, last=True)
                return
            counter = BodyCounter(limit=self._admitted.route.limits.body)
            if self._body:
                counter.add(len(self._body))
                self._decide(BodyDiscarded())
                await exchange.send_body(self._body, last=False)
            async for part in self._request.content.iter_chunked(MAX_CHUNK_BYTES):
                counter.add(len(part))
                self._digest.add_body(part)
                self._decide(BodyDiscarded())
                await exchange.send_body(part, last=False)
            await exchange.send_body(b"", last=True)
        except StreamClosed:
            return
        except MonsoonlugError as error:
            self._fail_body(exchange, error)
        except (OSError, web.HTTPException):
            self._fail_body(
                exchange, BadRequest("the body could not be read to its end")
            )

    def _fail_body(self, exchange: Exchange, error: MonsoonlugError) -> None:
        # The backend server received a part of the request and may have processed it.
        error.ran = Ran.UNKNOWN
        self._body_error = error
        frame = RequestFailed(
            stream=exchange.stream,
            request=self._format_attempt_id(exchange.attempt),
            code=error.code,
            ran=error.ran.value,
            retry_after=-1.0,
            text=str(error),
        )
        exchange.handle_frame(frame)

    def _close_exchange(self) -> None:
        if self._body_task is not None:
            self._body_task.cancel()
            self._body_task = None
        if self._exchange is None:
            return
        self._context.exchanges.close(self._target.host, self._exchange)
        attempt_id = self._format_attempt_id(self._exchange.attempt)
        self._exchange = None
        self._context.finder.record_finish(
            self._admitted, self._target, attempt_id, self._outcome
        )


def build_stored_response(stored: StoredAnswer) -> web.Response:
    """Returns the response that repeats a stored one."""
    response = web.Response(status=stored.status, body=stored.body)
    for name, value in stored.headers:
        response.headers.add(name, value)
    return response


def _classify_failure(frame: RequestFailed) -> Outcome:
    if frame.ran == Ran.NOT_RUN.value:
        return Outcome.SHED
    return Outcome.LOST
