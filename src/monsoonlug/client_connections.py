"""HTTP servers whose connections are bounded in number, memory and time.

aiohttp's parser bounds a line and the number of fields, but not a whole head, and
neither the bytes nor the time between two requests or between two parts of a chunked
body. Its protocol keeps a connection without a complete request open for an hour.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler, _ErrInfo

from monsoonlug.connection_limits import (
    ClientConnection,
    ClientLimits,
    CloseReason,
    ConnectionTable,
    Phase,
)
from monsoonlug.memory_budget import MemoryBudget

# Bytes that are parsed at once. A head that begins in the same part as the body before
# it ends is only counted from the next part on. The parser's errors quote a part.
MAX_PART_BYTES = 16_384
# Requests of one connection that wait for the one that runs; further ones stay unread.
MAX_QUEUED_REQUESTS = 4
# Bytes of a request's body that may wait to be read; the double pauses the connection.
READ_BUFFER_BYTES = 65_536
# Bytes of the objects of a connection and of a queued request. With 2,000 connections,
# an idle one took 6,000 bytes, its running request 5,000 and each queued one 1,800.
CONNECTION_COST = 16_384
QUEUED_REQUEST_COST = 4_096
# Smaller changes of the bytes that are held do not update the budget.
MIN_ACCOUNTED_CHANGE = 4_096
MIN_SHUTDOWN_TIMEOUT = 0.010  # seconds
LINE_ENDS = b"\r\n"
STATUSES = {CloseReason.HEAD_TOO_LARGE: 431, CloseReason.EMPTY_LINES: 400}


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientPort:
    """What the connections of one port share.

    Attributes:
        table: The open connections.
        budget: The memory budget of the process.
        get_limits: Returns the present limits.
        record: Called with the reason of each closed connection or refused request.
        kept_body_bytes: Bytes of a body that the handler keeps while it runs a request.
    """

    table: ConnectionTable
    budget: MemoryBudget
    get_limits: Callable[[], ClientLimits]
    record: Callable[[CloseReason], None]
    kept_body_bytes: int


class BoundedRequestHandler(RequestHandler, ClientConnection):
    """A connection of a client, with bounds on what it holds and for how long.

    Args:
        manager: The server.
        port: What the connections of the port share.
    """

    __slots__ = (
        "_accounted",
        "_backlog",
        "_blank_bytes",
        "_body_end",
        "_client_transport",
        "_earlier_bytes",
        "_holding",
        "_is_refused",
        "_payload",
        "_port",
        "_unproductive",
    )

    def __init__(self, manager: web.Server, *, port: ClientPort, **options):
        super().__init__(manager, read_bufsize=READ_BUFFER_BYTES, **options)
        self._port = port
        self._max_msg_queue_size = MAX_QUEUED_REQUESTS
        self._msg_queue_resume_size = MAX_QUEUED_REQUESTS // 2
        self._client_transport: asyncio.Transport | None = None
        self._is_refused = False
        # Bytes that are read from the socket but not parsed yet.
        self._backlog = b""
        # Body of the last request whose head has arrived.
        self._payload = EMPTY_PAYLOAD
        # Set while the connection only waits for the rest of that body.
        self._body_end: asyncio.Future[None] | None = None
        # Bytes since the last byte of a body, or the last end of a head or request.
        self._unproductive = 0
        self._blank_bytes = 0
        # Bytes of the bodies of requests that wait for the one that runs.
        self._earlier_bytes = 0
        self._accounted = 0

    # Connection.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Adds the connection to the table and the budget."""
        super().connection_made(transport)
        self._client_transport = transport
        self._holding = self._port.budget.open(evict=self._evict)
        self._port.table.open(self)
        self._update_budget()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Removes the connection from the table and the budget."""
        self._backlog = b""
        self._client_transport = None
        self._port.table.close(self)
        self._holding.close()
        super().connection_lost(exc)
        if self._body_end is not None and not self._body_end.done():
            self._body_end.set_result(None)

    def close(self) -> None:
        """Ends the connection after the running request, whose body may still arrive.

        aiohttp drops what arrives after this call, so that the request would never be
        complete.
        """
        if self._is_body_due:
            if self._body_end is None:
                self._body_end = self._loop.create_future()
            return
        super().close()

    async def shutdown(self, timeout: float | None = 15.0) -> None:
        """Ends the connection; see `close`.

        Args:
            timeout: Seconds to wait for the running request and the rest of its body.
        """
        if self._body_end is not None and timeout is not None:
            started_at = self._loop.time()
            await asyncio.wait([self._body_end], timeout=timeout)
            timeout -= self._loop.time() - started_at
            # aiohttp takes 0 for no time-out.
            timeout = max(timeout, MIN_SHUTDOWN_TIMEOUT)
        await super().shutdown(timeout)

    @property
    def _is_body_due(self) -> bool:
        """Whether the rest of the body of a running request is still to arrive."""
        if self._is_refused or self._payload.is_eof():
            return False
        return self._request_in_progress or bool(self._messages)

    def _check_body_end(self) -> None:
        """Continues with `close` once the body has arrived, or is not needed."""
        if self._body_end is None or self._body_end.done() or self._is_body_due:
            return
        self._body_end.set_result(None)
        super().close()

    def end(self, reason: CloseReason) -> None:
        """Closes the connection at once; see `ClientConnection`."""
        self._port.record(reason)
        self._abort()

    @property
    def body_bytes(self) -> int:
        """Bytes of the body of the last request; see `ClientConnection`."""
        return self._payload.total_bytes

    @property
    def unsent_bytes(self) -> int:
        """Bytes in the write buffer; see `ClientConnection`."""
        transport = self._client_transport
        return 0 if transport is None else transport.get_write_buffer_size()

    def _evict(self) -> None:
        self.end(CloseReason.MEMORY)

    def _abort(self) -> None:
        self._is_refused = True
        self._backlog = b""
        self._port.table.close(self)
        self._holding.close()
        if self._client_transport is not None:
            self._client_transport.abort()

    def pause_writing(self) -> None:
        """Starts to watch whether the client takes its responses."""
        super().pause_writing()
        self._port.table.record_stall(self)
        self._update_budget()

    def resume_writing(self) -> None:
        """Stops to watch whether the client takes its responses."""
        self._port.table.end_stall(self)
        super().resume_writing()
        self._update_budget()

    # Bytes from the client.

    def data_received(self, data: bytes) -> None:
        """Parses bytes in parts, unless the connection is refused or full.

        aiohttp calls this method without bytes when it has room for more.
        """
        if self._is_refused or self._force_close or self._close:
            return
        if not data:
            self._feed(data)
        data = self._backlog + data if self._backlog else data
        self._backlog = b""
        offset = 0
        while offset < len(data) and not self._is_full and not self._is_refused:
            self._feed(data[offset : offset + MAX_PART_BYTES])
            offset += MAX_PART_BYTES
        if self._is_refused:
            return
        self._backlog = data[offset:]
        if self._backlog and not self._reading_paused and not self._buffer_paused:
            self._pause_reading_for_buffer()
        self._update_phase()
        self._update_budget()
        self._check_body_end()

    @property
    def _is_full(self) -> bool:
        """Whether aiohttp has no room for further bytes."""
        return self._reading_paused or len(self._messages) >= self._max_msg_queue_size

    def _feed(self, data: bytes) -> None:
        """Parses bytes and counts those that led to no progress."""
        payload = self._payload
        was_complete = payload.is_eof()
        body_bytes = payload.total_bytes
        requests = self._request_count
        counted = data
        if was_complete and not self._unproductive:
            # Between two requests, or before the first.
            counted = data.lstrip(LINE_ENDS)
            self._blank_bytes += len(data) - len(counted)
        super().data_received(data)
        if self._request_count != requests:
            self._take_heads(self._request_count - requests, len(counted))
            return
        if payload.total_bytes != body_bytes or payload.is_eof() != was_complete:
            self._unproductive = 0
            return
        self._unproductive += len(counted)
        limit = self._port.get_limits().head_bytes
        if self._blank_bytes > limit:
            self._refuse(CloseReason.EMPTY_LINES)
        elif self._unproductive > limit and was_complete:
            self._refuse(CloseReason.HEAD_TOO_LARGE)
        elif self._unproductive > limit:
            # The request may be running, so that no status may be sent.
            self.end(CloseReason.BODY_FRAMING)

    def _take_heads(self, count: int, size: int) -> None:
        """Handles the heads that have just been parsed.

        Args:
            count: Number of heads.
            size: Bytes of the part in which they ended.
        """
        limit = self._port.get_limits().head_bytes
        is_suspect = self._unproductive + size > limit
        self._unproductive = 0
        self._blank_bytes = 0
        for position in range(len(self._messages) - count, len(self._messages)):
            message, payload = self._messages[position]
            if isinstance(message, _ErrInfo):
                self._end_after_invalid()
                return
            if is_suspect and _count_head_bytes(message) > limit:
                while len(self._messages) > position:
                    self._messages.pop()
                self._refuse(CloseReason.HEAD_TOO_LARGE)
                return
            self._earlier_bytes += self._count_body_bytes()
            self._payload = payload

    def _refuse(self, reason: CloseReason) -> None:
        """Answers with an error after the requests that were received before it."""
        self._port.record(reason)
        status = STATUSES[reason]
        error = HttpProcessingError(code=status, message=reason.value)
        info = _ErrInfo(status=status, exc=error, message=reason.value)
        self._messages.append((info, EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        self._stop_reading()

    def _end_after_invalid(self) -> None:
        """Stops reading after bytes that are no request, which aiohttp answers."""
        if self._payload.is_eof():
            self._port.record(CloseReason.INVALID)
            self._stop_reading()
        else:
            # The body of a request that may be running has no valid end.
            self.end(CloseReason.BODY_FRAMING)

    def _stop_reading(self) -> None:
        self._is_refused = True
        self._backlog = b""
        self._pause_transport_reading()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the response to bytes that are no request, or to a failed one.

        aiohttp would quote the bytes in the response and in a log line.
        """
        if not isinstance(exc, HttpProcessingError) or request.writer.output_size > 0:
            return super().handle_error(request, status, exc, message)
        response = web.Response(status=status)
        response.force_close()
        return response

    # Requests.

    async def _handle_request(
        self, request: web.BaseRequest, start_time: float | None, request_handler
    ) -> tuple[web.StreamResponse, bool]:
        self._update_phase()
        try:
            return await super()._handle_request(request, start_time, request_handler)
        finally:
            if not self._messages:
                self._earlier_bytes = 0
                if self._payload.is_eof():
                    # Releases what the handler did not read.
                    self._payload = EMPTY_PAYLOAD
            if self._client_transport is not None and not self._is_refused:
                self._update_phase()
                self._update_budget()
            self._check_body_end()

    def _update_phase(self) -> None:
        requests = len(self._messages) + self._request_in_progress
        if not self._payload.is_eof() and requests <= 1:
            phase = Phase.BODY
        elif requests:
            phase = Phase.BUSY
        elif self._unproductive:
            phase = Phase.HEAD
        else:
            phase = Phase.IDLE
        self._port.table.set_phase(self, phase)

    # Memory.

    def _update_budget(self) -> None:
        size = (
            CONNECTION_COST
            + QUEUED_REQUEST_COST * len(self._messages)
            + len(self._backlog)
            + self._unproductive
            + self._earlier_bytes
            + self._count_body_bytes()
            + self.unsent_bytes
        )
        if abs(size - self._accounted) < MIN_ACCOUNTED_CHANGE:
            return
        self._accounted = size
        if not self._holding.resize(size) and not self._is_refused:
            self.end(CloseReason.MEMORY)

    def _count_body_bytes(self) -> int:
        """Returns the bytes that are held of the body of the last request."""
        payload = self._payload
        if payload is EMPTY_PAYLOAD:
            return 0
        unread = payload._size
        if not self._messages and not self._request_in_progress:
            return unread
        read = payload.total_bytes - unread
        # The parts are joined, so that there are two copies for a moment.
        return unread + 2 * min(read, self._port.kept_body_bytes)


class BoundedServer(web.Server):
    """Creates bounded connections.

    Args:
        handler: Handles a request.
        port: What the connections of the port share.
    """

    def __init__(self, handler, *, port: ClientPort, **options):
        super().__init__(handler, **options)
        self._port = port

    def __call__(self) -> RequestHandler:
        """Returns the protocol of a new connection."""
        return BoundedRequestHandler(
            self, port=self._port, loop=self._loop, **self._kwargs
        )


class BoundedAppRunner(web.AppRunner):
    """Runs an application with bounded connections.

    Args:
        app: The application.
        port: What the connections of the port share.
    """

    __slots__ = ("_port",)

    def __init__(self, app: web.Application, *, port: ClientPort, **options):
        super().__init__(app, access_log=None, **options)
        self._port = port

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return BoundedServer(
            server.request_handler,
            port=self._port,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )


def _count_head_bytes(message: RawRequestMessage) -> int:
    """Returns the bytes of a head that has been parsed."""
    # Two blanks, the version and the line ends of the request line and of the head.
    size = len(message.method) + len(message.path) + 14
    for name, value in message.raw_headers:
        size += len(name) + len(value) + 4
    return size
