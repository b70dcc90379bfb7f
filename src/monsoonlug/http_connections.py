"""Connections to backend servers, checked before each request and at their end."""

import functools
import math
import re
import time
from collections.abc import Callable

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import RawResponseMessage

from monsoonlug.exceptions import LeaseOver
from monsoonlug.streams import set_user_timeout

_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9]")
UNACKED_TIMEOUT_MS = 2_000  # for sent data without a TCP acknowledgement


class TrackedHandler(ResponseHandler):
    """Records whether its connection was reset."""

    is_reset = False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handles the end of the connection."""
        self.is_reset = exc is not None
        super().connection_lost(exc)


class CheckedConnector(aiohttp.TCPConnector):
    """Checks the lease and the connection right before a request is written.

    Idle connections with unsolicited data from the server are closed. The connection
    pool of aiohttp would reuse them, and the data would be read as the response to the
    next request.
    """

    def __init__(self, *, may_send: Callable[[], bool], **options):
        super().__init__(**options)
        self._factory = functools.partial(TrackedHandler, loop=self._loop)
        self._may_send = may_send
        self._max_idle = math.inf

    def set_max_idle(self, seconds: float) -> None:
        """Limits the idle time of the connection for the next request, in seconds."""
        self._max_idle = seconds

    async def connect(self, *arguments, **options):
        """Returns a connection for the next request.

        Raises:
            LeaseOver: If the lease has ended, so that nothing may be sent.
        """
        connection = await super().connect(*arguments, **options)
        # This process may have been paused since the gate dequeued the request.
        if not self._may_send():
            connection.release()
            raise LeaseOver()
        return connection

    async def _get(self, key, traces):
        too_idle = self._take_idle_connections(key)
        try:
            while True:
                connection = await super()._get(key, traces)
                if connection is None or not connection.protocol.should_close:
                    return connection
                connection.close()
        finally:
            if too_idle:
                self._conns[key].extendleft(reversed(too_idle))

    def _take_idle_connections(self, key) -> list:
        """Removes and returns pooled connections that were idle for too long.

        `_get` puts them back, as a request with a higher limit may use them.
        """
        now = time.monotonic()
        too_idle = []
        connections = self._conns.get(key)
        while connections and now - connections[0][1] > self._max_idle:
            too_idle.append(connections.popleft())
        if connections is not None and not connections:
            del self._conns[key]
        return too_idle

    async def _create_connection(self, *arguments, **options):
        protocol = await super()._create_connection(*arguments, **options)
        set_user_timeout(protocol.transport, milliseconds=UNACKED_TIMEOUT_MS)
        return protocol


def _contains_status_line(message: RawResponseMessage) -> bool:
    """Returns whether a response was cut off in its head and another one follows."""
    if _STATUS_LINE.search(message.reason.encode()):
        return True
    return any(_STATUS_LINE.search(value) for _, value in message.raw_headers)


class CheckedResponse(aiohttp.ClientResponse):
    """Skips responses that carry the id of another request."""

    request_id_header = ""

    async def start(self, connection):
        """Reads the head of the response to this request."""
        sent = self.request_info.headers.get(self.request_id_header)
        protocol = connection.protocol
        while sent is not None:
            try:
                message, payload = await protocol.read()
            except HttpProcessingError as error:
                raise aiohttp.ClientPayloadError("invalid HTTP response") from error
            if _contains_status_line(message):
                raise aiohttp.ClientPayloadError("head joined from two responses")
            echoed = message.headers.get(self.request_id_header)
            if message.code < 200 or echoed is None or echoed == sent:
                # Put the response back, for aiohttp to read it.
                protocol._buffer.appendleft(((message, payload), 0))
                break
            protocol.force_close()
            while not payload.at_eof():
                await payload.readany()
        return await super().start(connection)
