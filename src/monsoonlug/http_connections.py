"""Connections to backend servers: when one may carry a request, and how it ends."""

import functools
import math
import time
from collections.abc import Callable

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

from monsoonlug.exceptions import LeaseOver
from monsoonlug.streams import set_user_timeout

SILENT_TIMEOUT = 2_000  # milliseconds for which sent data may stay unacknowledged


class TrackedHandler(ResponseHandler):
    """Remembers whether its connection was reset."""

    is_reset = False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Takes the end of the connection."""
        self.is_reset = exc is not None
        super().connection_lost(exc)


class CheckedConnector(aiohttp.TCPConnector):
    """Checks the lease and the connection right before a request is written.

    Idle connections on which the server sent something unasked are closed. The pool of
    aiohttp hands them out, and the surplus answer would then be taken for the answer to
    the next request.
    """

    def __init__(self, *, may_send: Callable[[], bool], **options):
        super().__init__(**options)
        self._factory = functools.partial(TrackedHandler, loop=self._loop)
        self._may_send = may_send
        self._idle_limit = math.inf

    def set_idle_limit(self, seconds: float) -> None:
        """Bounds how long the connection of the next request may have been idle."""
        self._idle_limit = seconds

    async def connect(self, *arguments, **options):
        """Returns a connection for the next request.

        Raises:
            LeaseOver: If nothing may be sent any more.
        """
        connection = await super().connect(*arguments, **options)
        # This process may have been paused since the gate let the request go.
        if not self._may_send():
            connection.release()
            raise LeaseOver()
        return connection

    async def _get(self, key, traces):
        rested = self._set_aside(key)
        try:
            while True:
                connection = await super()._get(key, traces)
                if connection is None or not connection.protocol.should_close:
                    return connection
                connection.close()
        finally:
            if rested:
                self._conns[key].extendleft(reversed(rested))

    def _set_aside(self, key) -> list:
        """Takes the connections that were idle for too long out of the pool."""
        now = time.monotonic()
        rested = []
        connections = self._conns.get(key)
        while connections and now - connections[0][1] > self._idle_limit:
            rested.append(connections.popleft())
        if connections is not None and not connections:
            del self._conns[key]
        return rested

    async def _create_connection(self, *arguments, **options):
        protocol = await super()._create_connection(*arguments, **options)
        set_user_timeout(protocol.transport, milliseconds=SILENT_TIMEOUT)
        return protocol


class CheckedResponse(aiohttp.ClientResponse):
    """Skips answers that echo the id of another request."""

    request_id_header = ""

    async def start(self, connection):
        """Reads the head of the answer to this request."""
        sent = self.request_info.headers.get(self.request_id_header)
        protocol = connection.protocol
        while sent is not None:
            try:
                message, payload = await protocol.read()
            except HttpProcessingError as error:
                raise aiohttp.ClientPayloadError("the answer is not HTTP") from error
            echoed = message.headers.get(self.request_id_header)
            if message.code < 200 or echoed is None or echoed == sent:
                # The answer is put back for the reader of the library.
                protocol._buffer.appendleft(((message, payload), 0))
                break
            protocol.force_close()
            while not payload.at_eof():
                await payload.readany()
        return await super().start(connection)
