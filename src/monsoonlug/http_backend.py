"""The HTTP form of the protocol of a backend server."""

import asyncio
import contextlib
import re
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from monsoonlug.admission import HOP_BY_HOP, ROUTER_HEADERS
from monsoonlug.announcements import (
    Announcement,
    AnnouncementAnswer,
    decode_announcement,
    encode_answer,
)
from monsoonlug.backend import BackendAnswer, BackendProtocol, BackendRequest
from monsoonlug.exceptions import (
    BackendFenced,
    BackendRefused,
    BadRequest,
    ConnectFailed,
    DeadlineExceeded,
    OutcomeUnknown,
    ProcessGone,
)
from monsoonlug.http_connections import (
    CheckedConnector,
    CheckedResponse,
    TrackedHandler,
)
from monsoonlug.ids import RequestId, ServerId

CONNECT_TIMEOUT = 1.0  # seconds
CONNECT_SHARE = 0.9  # of the remaining time, so that a timeout still proves "not sent"
KEEPALIVE_TIMEOUT = 60.0  # seconds
KEEPALIVE_SHARE = 0.6  # of the idle time that the server names
MAX_PART = 65_536  # bytes of a body read at once
MAX_REFUSAL = 4_096  # bytes of a refusal's body read to keep the connection

_KEEP_ALIVE = re.compile(r"timeout=(\d{1,6})")
_BODILESS_STATUSES = frozenset({204, 304})
_SKIPPED_DEFAULTS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@dataclass(slots=True, kw_only=True)
class _Call:
    """A running request."""

    task: asyncio.Task | None
    response: aiohttp.ClientResponse | None = None
    protocol: "TrackedHandler | None" = None
    cancelled: bool = False


def _always() -> bool:
    return True


class HttpBackend(BackendProtocol):
    """Sends requests to one backend server over HTTP/1.1.

    A subclass for another dialect overrides the names of the headers, what is sent with
    a request, and how an answer says that the request did not run.

    Args:
        server: Name of the server, for messages.
        address: IP address and port of the server.
        connections: Connections that may be open at the same time.
        may_send: Asked right before the first byte of each request is written.
        clock: Monotonic clock of the deadlines, in seconds.
        connect_timeout: Seconds until an attempt to connect is given up.
        reuse_limit: Seconds for which a connection may have been idle to carry a
            request that must not be repeated. The server may just be closing it, and
            then nobody knows whether the request ran.
    """

    slowdown = 1.0  # of the server's machine, as its last answer said
    accepts_unframed = False  # whether an answer may end with its connection
    request_id_header = "X-Request-Id"
    private_headers = ROUTER_HEADERS  # of answers, which callers do not get

    def __init__(
        self,
        *,
        server: ServerId,
        address: str,
        connections: int,
        may_send: Callable[[], bool] = _always,
        clock: Callable[[], float] = time.monotonic,
        connect_timeout: float = CONNECT_TIMEOUT,
        reuse_limit: float = KEEPALIVE_TIMEOUT,
    ):
        self._connect_timeout = connect_timeout
        self._reuse_limit = reuse_limit
        self.server = server
        self.address = address
        self.mismatched = 0
        self._clock = clock
        self._calls: dict[RequestId, _Call] = {}
        self._idle_limit = KEEPALIVE_TIMEOUT
        connector = CheckedConnector(
            may_send=may_send,
            limit=connections,
            limit_per_host=connections,
            keepalive_timeout=KEEPALIVE_TIMEOUT,
            use_dns_cache=False,
        )
        self._connector = connector
        self._session = aiohttp.ClientSession(
            connector=connector,
            response_class=self._build_response_class(),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_SKIPPED_DEFAULTS,
            middlewares=(_translate_errors,),
        )

    async def send(
        self, request: BackendRequest, body: AsyncIterator[bytes] | None = None
    ) -> BackendAnswer:
        """Sends one request once; see `BackendProtocol.send`."""
        call = _Call(task=asyncio.current_task())
        if self._calls.setdefault(request.request, call) is not call:
            raise ValueError("a request with this id is running")
        try:
            return await self._send(call, request, body)
        except BaseException as error:
            self._forget(request.request, call)
            if isinstance(error, asyncio.CancelledError) and call.cancelled:
                call.task.uncancel()
                raise OutcomeUnknown("the request was cancelled") from None
            raise

    async def _send(
        self, call: _Call, request: BackendRequest, body: AsyncIterator[bytes] | None
    ) -> BackendAnswer:
        remaining = request.deadline - self._clock()
        if remaining <= 0:
            raise DeadlineExceeded()
        connect = min(self._connect_timeout, CONNECT_SHARE * remaining)
        self._connector.set_idle_limit(
            self._idle_limit if request.idempotent else self._reuse_limit
        )
        try:
            async with asyncio.timeout(remaining):
                call.response = await self._session.request(
                    request.method,
                    URL(f"http://{self.address}{request.target}", encoded=True),
                    headers=self.build_headers(request, remaining),
                    data=None if body is None else _check_body(request, body),
                    allow_redirects=False,
                    timeout=aiohttp.ClientTimeout(total=None, connect=connect),
                )
                await self._check_head(request, call.response)
                if _is_unframed(call.response):
                    call.protocol = call.response._protocol
        except TimeoutError:
            self._abort(call)
            raise OutcomeUnknown("the answer did not come in time") from None
        except BaseException:
            self._abort(call)
            raise
        call.task = None
        return _HttpAnswer(backend=self, request=request, call=call)

    def build_headers(self, request: BackendRequest, remaining: float) -> CIMultiDict:
        """Returns the headers to send with a request that has so many seconds left."""
        return _build_headers(request, remaining)

    def find_request_id(self, request: BackendRequest) -> str:
        """Returns the id that the answer to a request must echo, if it echoes any."""
        return request.request

    async def check_refusal(self, response: aiohttp.ClientResponse) -> None:
        """Checks whether the server says that it did not run the request.

        Raises:
            BackendRefused: If the server says so.
            BackendFenced: If the server refused the fencing token.
        """
        if response.status == 503 and response.headers.get("X-Not-Run") == "1":
            await finish_refusal(response)
            raise BackendRefused(retry_after=_read_retry_after(response))
        if response.status == 409 and response.headers.get("X-Fenced") == "1":
            await finish_refusal(response)
            raise BackendFenced()

    def note_answer(self, response: aiohttp.ClientResponse) -> None:
        """Takes what the head of an answer says about the server."""
        match = _KEEP_ALIVE.search(response.headers.get("Keep-Alive", ""))
        if match is not None:
            self._idle_limit = KEEPALIVE_SHARE * int(match.group(1))
            self._reuse_limit = min(self._reuse_limit, self._idle_limit)

    def _build_response_class(self) -> type[aiohttp.ClientResponse]:
        # An answer may come twice, and the second one late, when the connection
        # carries the next request. The id that it echoes tells it apart.
        header = self.request_id_header

        class Response(CheckedResponse):
            request_id_header = header

        return Response

    async def _check_head(
        self, request: BackendRequest, response: aiohttp.ClientResponse
    ) -> None:
        self.note_answer(response)
        echoed = response.headers.getall(self.request_id_header, [])
        if echoed and echoed != [self.find_request_id(request)]:
            self.mismatched += 1
            raise OutcomeUnknown("the answer belongs to another request")
        await self.check_refusal(response)
        if response.status < 200:
            raise OutcomeUnknown(f"the answer has the status {response.status}")
        if request.method == "HEAD" or response.status in _BODILESS_STATUSES:
            return
        lengths = response.headers.getall("Content-Length", [])
        codings = response.headers.getall("Transfer-Encoding", [])
        chunked = [coding.lower() for coding in codings] == ["chunked"]
        if not lengths and not codings and self.accepts_unframed:
            return
        # Without either, a lost connection looks like the end of the body.
        if len(lengths) + len(codings) != 1 or (codings and not chunked):
            raise OutcomeUnknown("the answer's body has no clear end")

    def cancel(self, request: RequestId) -> bool:
        """Cancels a running request; see `BackendProtocol.cancel`."""
        call = self._calls.get(request)
        if call is None:
            return False
        call.cancelled = True
        if call.task is not None:
            call.task.cancel()
        elif call.response is not None:
            call.response.close()
        return True

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    @staticmethod
    def parse_announcement(body: bytes) -> Announcement:
        """Returns the announcement in a JSON body; see `BackendProtocol`."""
        return decode_announcement(body)

    @staticmethod
    def build_announcement_answer(answer: AnnouncementAnswer) -> bytes:
        """Returns the JSON body of the answer; see `BackendProtocol`."""
        return encode_answer(answer)

    def _abort(self, call: _Call) -> None:
        if call.response is not None:
            call.response.close()

    def _forget(self, request: RequestId, call: _Call) -> None:
        if self._calls.get(request) is call:
            del self._calls[request]


@dataclass(slots=True, kw_only=True)
class _HttpAnswer(BackendAnswer):
    """The answer to one HTTP request."""

    backend: HttpBackend
    request: BackendRequest
    call: _Call
    status: int = field(init=False)
    headers: list[tuple[str, str]] = field(init=False)

    def __post_init__(self):
        self.status = self.call.response.status
        self.headers = _list_answer_headers(
            self.call.response, self.backend.private_headers
        )

    def read_whole(self, limit: int) -> bytes | None:
        """Returns the body if it is small and whole; see `BackendAnswer`."""
        content = self.call.response.content
        if not content.is_eof() or content.exception() is not None:
            return None
        if self.call.protocol is not None and self.call.protocol.is_reset:
            return None
        is_late = self.request.deadline <= self.backend._clock()
        if is_late or content.total_bytes > limit:
            return None
        body = content.read_nowait()
        self.cancel()
        return body

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yields the parts of the body; see `BackendAnswer.iterate`."""
        try:
            while part := await self._read_part():
                yield part
        finally:
            # Closing drops the connection unless the body was read to its end.
            self.cancel()

    async def _read_part(self) -> bytes:
        content = self.call.response.content
        remaining = self.request.deadline - self.backend._clock()
        try:
            # A body that is always ahead of its reader never waits for a timer.
            if remaining <= 0:
                raise TimeoutError
            # Most bodies came with the head; they need no timer.
            part = content.read_nowait(MAX_PART)
            if not part and not content.at_eof():
                async with asyncio.timeout(remaining):
                    part = await content.read(MAX_PART)
            if not part:
                self._check_end()
            return part
        except TimeoutError:
            raise OutcomeUnknown("the answer did not end in time") from None
        except (aiohttp.ClientError, OSError):
            raise OutcomeUnknown("the answer was cut off or cancelled") from None

    def _check_end(self) -> None:
        """Checks that an answer without a length did not end with a reset.

        Raises:
            ConnectionResetError: If it did; the library takes both for the end.
        """
        if self.call.protocol is not None and self.call.protocol.is_reset:
            raise ConnectionResetError

    def cancel(self) -> None:
        """Drops the rest of the answer; see `BackendAnswer.cancel`."""
        self.call.response.close()
        self.backend._forget(self.request.request, self.call)


def _is_unframed(response: aiohttp.ClientResponse) -> bool:
    headers = response.headers
    return "Content-Length" not in headers and "Transfer-Encoding" not in headers


async def _translate_errors(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    # aiohttp itself sends GET and others again if a kept connection is lost, but only
    # after its own errors; so they are replaced here, below its loop of attempts.
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError as error:
        if isinstance(error.os_error, ConnectionRefusedError):
            raise ProcessGone() from None
        raise ConnectFailed() from None
    except aiohttp.ConnectionTimeoutError:
        raise ConnectFailed() from None
    except (aiohttp.ClientError, OSError) as error:
        if isinstance(error, TimeoutError) and not isinstance(
            error, aiohttp.ClientError
        ):
            raise
        raise OutcomeUnknown(
            f"the connection was lost ({type(error).__name__})"
        ) from None


def _build_headers(request: BackendRequest, remaining: float) -> CIMultiDict:
    headers = CIMultiDict(request.headers)
    headers["X-Request-Id"] = request.request
    headers["X-Deadline-Ms"] = str(int(remaining * 1000))
    headers["X-Gate-Epoch"] = str(request.gate_epoch)
    if request.workspace is not None:
        headers["X-Workspace"] = request.workspace
    if request.slice is not None:
        headers["X-Slice"] = str(request.slice)
        headers["X-Fencing-Epoch"] = str(request.slice_epoch)
    if request.idempotency_key:
        headers["Idempotency-Key"] = request.idempotency_key
    return headers


async def _check_body(
    request: BackendRequest, body: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    declared = None
    for name, value in request.headers:
        if name.lower() == "content-length":
            declared = int(value)
    sent = 0
    async for part in body:
        sent += len(part)
        if declared is not None and sent > declared:
            raise BadRequest("the body is longer than its content-length")
        yield part
    if declared is not None and sent < declared:
        raise BadRequest("the body is shorter than its content-length")


async def finish_refusal(response: aiohttp.ClientResponse) -> None:
    """Reads the rest of a refusal, so that its connection can be used again."""
    with contextlib.suppress(aiohttp.ClientError, OSError):
        await response.content.read(MAX_REFUSAL)
    if response.content.at_eof():
        response.release()


def _read_retry_after(response: aiohttp.ClientResponse) -> float | None:
    text = response.headers.get("Retry-After", "")
    return float(text) if text.isascii() and text.isdigit() else None


def _list_answer_headers(
    response: aiohttp.ClientResponse, private: frozenset[str]
) -> list[tuple[str, str]]:
    dropped = set()
    for value in response.headers.getall("Connection", []):
        for part in value.split(","):
            dropped.add(part.strip().lower())
    kept = []
    for name, value in response.raw_headers:
        text = name.decode("latin-1")
        lower = text.lower()
        if lower in HOP_BY_HOP or lower in private or lower in dropped:
            continue
        kept.append((text, _decode_value(value)))
    return kept


def _decode_value(value: bytes) -> str:
    # aiohttp writes header values as UTF-8; other bytes can only be Latin-1.
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")
