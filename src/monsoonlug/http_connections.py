"""Connections to backend servers, checked before each request and at their end."""

import asyncio
import functools
import math
import re
import time
from collections import deque
from collections.abc import Callable
from contextvars import ContextVar
from dataclasses import dataclass

import aiohttp
from aiohttp import HttpVersion10, HttpVersion11
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import RawResponseMessage

from monsoonlug.backend import Contact
from monsoonlug.exceptions import LeaseOver
from monsoonlug.streams import set_user_timeout

_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9]")
UNACKED_TIMEOUT_MS = 2_000  # for sent data without a TCP acknowledgement
# Bounds the memory for the ids that a connection has carried.
MAX_REQUESTS_PER_CONNECTION = 256
# Bytes that are parsed at once. A read may hold thousands of short responses.
MAX_PART_BYTES = 32_768
# Complete heads that wait to be read. There is one request at a time, so that all but
# one are copies, or answers to other requests; a server may repeat them without end.
MAX_WAITING_RESPONSES = 16
# Responses to other requests, and the bytes of their bodies, that one request skips.
MAX_SKIPPED_RESPONSES = 16
MAX_SKIPPED_BYTES = 4 * 1_048_576
SWITCHING_PROTOCOLS = 101  # never requested, so that it is no informational status
_VERSIONS = (HttpVersion10, HttpVersion11)


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionUse:
    """What a request needs of its connection.

    Attributes:
        request_id: Id that the response echoes, or an empty string.
        max_idle: Seconds for which the connection may have been idle.
    """

    request_id: str = ""
    max_idle: float = math.inf


_ANY_CONNECTION = ConnectionUse()
_next_use: ContextVar[ConnectionUse] = ContextVar("next_use", default=_ANY_CONNECTION)


class ContactTracker:
    """Tells for how long a server's process is known to have lived.

    Args:
        clock: Monotonic clock, in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]):
        self._clock = clock
        self._open = 0
        self.contact: Contact | None = None

    def record_open(self) -> None:
        """Records that a connection was opened."""
        if not self._open:
            self.contact = Contact(since=self._clock())
        self._open += 1

    def record_close(self, *, is_reset: bool) -> None:
        """Records that a connection was closed, or reset.

        The process may have ended after a reset, although others seem open.
        """
        self._open -= 1
        if not self._open:
            self.contact = None
        elif is_reset:
            self.contact = Contact(since=self._clock())


class TrackedHandler(ResponseHandler):
    """Records which requests a connection has carried and whether it was reset.

    Args:
        tracker: Is told when the connection opens and closes; None if nobody asks.

    Attributes:
        is_reset: Whether the connection ended with an error.
        is_idle: Whether it waits for its next request; then no byte may arrive.
    """

    is_reset = False
    is_idle = False

    def __init__(self, *arguments, tracker: ContactTracker | None = None, **options):
        super().__init__(*arguments, **options)
        self._tracker = tracker
        self._carried: set[str] = set()
        self._request_count = 0

    def record_request(self, request_id: str) -> None:
        """Records that the connection carries a request."""
        self._request_count += 1
        if request_id:
            self._carried.add(request_id)

    def has_carried(self, request_id: str) -> bool:
        """Returns whether the connection has carried a request with an id."""
        return request_id in self._carried

    @property
    def should_close(self) -> bool:
        """Whether the connection must not carry another request."""
        if self._request_count >= MAX_REQUESTS_PER_CONNECTION:
            return True
        return super().should_close

    def data_received(self, data: bytes) -> None:
        """Parses bytes from the server in parts, up to a bound on whole responses."""
        if self.is_idle and data:
            # The parser would skip blank lines without end.
            if self.transport is not None:
                self.transport.abort()
            return
        if len(data) <= MAX_PART_BYTES:
            super().data_received(data)
            self._check_waiting()
            return
        for start in range(0, len(data), MAX_PART_BYTES):
            super().data_received(data[start : start + MAX_PART_BYTES])
            if self._check_waiting():
                return

    def _check_waiting(self) -> bool:
        """Ends the connection if too many responses wait; returns whether it did."""
        if len(self._buffer) <= MAX_WAITING_RESPONSES:
            return False
        if self.transport is not None:
            self.transport.abort()
        while len(self._buffer) > MAX_WAITING_RESPONSES:
            self._buffer.pop()
        self.set_exception(HttpProcessingError(message="responses without end"))
        return True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handles the start of the connection."""
        super().connection_made(transport)
        if self._tracker is not None:
            self._tracker.record_open()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handles the end of the connection."""
        self.is_reset = exc is not None
        if self._tracker is not None:
            self._tracker.record_close(is_reset=self.is_reset)
        super().connection_lost(exc)


class CheckedConnector(aiohttp.TCPConnector):
    """Checks the lease and the connection right before a request is written.

    Idle connections with unsolicited data from the server are closed. The connection
    pool of aiohttp would reuse them, and the data would be read as the response to the
    next request. For the same reason, no connection carries two requests with the same
    id: the second one would take a late copy of the first response for its own.
    """

    def __init__(
        self,
        *,
        may_send: Callable[[], bool],
        tracker: ContactTracker | None = None,
        **options,
    ):
        super().__init__(**options)
        self._factory = functools.partial(
            TrackedHandler, loop=self._loop, tracker=tracker
        )
        self._may_send = may_send

    def prepare(self, use: ConnectionUse) -> None:
        """Sets what the next request of the current task needs of its connection."""
        _next_use.set(use)

    async def connect(self, *arguments, **options):
        """Returns a connection for the next request.

        Raises:
            LeaseOver: If the lease has ended, so that nothing may be sent.
        """
        connection = await super().connect(*arguments, **options)
        connection.protocol.is_idle = False
        # This process may have been paused since the gate dequeued the request.
        if not self._may_send():
            connection.release()
            raise LeaseOver()
        connection.protocol.record_request(_next_use.get().request_id)
        return connection

    def _release(self, key, protocol, **options) -> None:
        protocol.is_idle = True
        super()._release(key, protocol, **options)

    async def _get(self, key, traces):
        unusable = self._set_unusable_aside(key)
        connection = None
        try:
            while True:
                connection = await super()._get(key, traces)
                if connection is None or not connection.protocol.should_close:
                    return connection
                connection.close()
        finally:
            if connection is None:
                self._close_excess(key, unusable)
            if unusable:
                usable = self._conns.get(key, ())
                merged = sorted([*unusable, *usable], key=lambda item: item[1])
                self._conns[key] = deque(merged)

    def _set_unusable_aside(self, key) -> list:
        """Removes and returns the pooled connections that the next request cannot use.

        `_get` puts them back, as other requests may use them.
        """
        use = _next_use.get()
        now = time.monotonic()
        usable = deque()
        unusable = []
        for item in self._conns.get(key, ()):
            protocol, released_at = item
            is_too_idle = now - released_at > use.max_idle
            if is_too_idle or protocol.has_carried(use.request_id):
                unusable.append(item)
            else:
                usable.append(item)
        if unusable:
            del self._conns[key]
        if unusable and usable:
            self._conns[key] = usable
        return unusable

    def _close_excess(self, key, pooled: list) -> None:
        """Closes pooled connections so that a new one does not exceed the limit."""
        while pooled and self._available_connections(key) <= len(pooled):
            pooled.pop(0)[0].close()

    async def _create_connection(self, *arguments, **options):
        protocol = await super()._create_connection(*arguments, **options)
        set_user_timeout(protocol.transport, milliseconds=UNACKED_TIMEOUT_MS)
        return protocol


def _contains_status_line(message: RawResponseMessage) -> bool:
    """Returns whether a response was cut off in its head and another one follows."""
    if _STATUS_LINE.search(message.reason.encode()):
        return True
    return any(_STATUS_LINE.search(value) for _, value in message.raw_headers)


def _check_status_line(message: RawResponseMessage) -> None:
    """Checks what the parser accepts beyond the protocol.

    Raises:
        aiohttp.ClientPayloadError: If the response has no valid status line.
    """
    if message.version not in _VERSIONS:
        raise aiohttp.ClientPayloadError("unknown version of HTTP")
    if not 100 <= message.code <= 599:
        raise aiohttp.ClientPayloadError("status outside the range 100 to 599")
    is_final = "Content-Length" in message.headers or message.chunked
    if message.code < 200 and is_final:
        raise aiohttp.ClientPayloadError("informational status with a body")


class CheckedResponse(aiohttp.ClientResponse):
    """Skips responses that carry the id of another request."""

    request_id_header = ""

    async def start(self, connection):
        """Reads the head of the response to this request."""
        sent = self.request_info.headers.get(self.request_id_header)
        protocol = connection.protocol
        skipped = 0
        while True:
            try:
                message, payload = await protocol.read()
            except HttpProcessingError as error:
                raise aiohttp.ClientPayloadError("invalid HTTP response") from error
            _check_status_line(message)
            if _contains_status_line(message):
                raise aiohttp.ClientPayloadError("head joined from two responses")
            if message.code < 200 and message.code != SWITCHING_PROTOCOLS:
                continue  # An informational response precedes the final one.
            echoed = message.headers.get(self.request_id_header)
            if not echoed or echoed == sent or message.code < 200:
                # Put the response back, for aiohttp to read it.
                protocol._buffer.appendleft(((message, payload), 0))
                break
            protocol.force_close()
            skipped += 1
            if skipped > MAX_SKIPPED_RESPONSES:
                raise aiohttp.ClientPayloadError("too many answers to other requests")
            await _skip_body(payload)
        return await super().start(connection)


async def _skip_body(payload: aiohttp.StreamReader) -> None:
    """Reads the body of a response to another request.

    Raises:
        aiohttp.ClientPayloadError: If it is too long.
    """
    size = 0
    while not payload.at_eof():
        size += len(await payload.readany())
        if size > MAX_SKIPPED_BYTES:
            raise aiohttp.ClientPayloadError("too long an answer to another request")
