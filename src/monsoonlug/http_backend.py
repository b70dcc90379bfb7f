"""HTTP/1.1 client for requests to one backend server."""

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
from monsoonlug.backend import (
    BackendProtocol,
    BackendRequest,
    BackendResponse,
    ConnectResult,
    Contact,
    HealthReport,
)
from monsoonlug.exceptions import (
    BackendFenced,
    BackendRefused,
    BadRequest,
    ConnectFailed,
    ConnectionLost,
    DeadlineExceeded,
    OutcomeUnknown,
    ProcessGone,
)
from monsoonlug.http_connections import (
    CheckedConnector,
    CheckedResponse,
    ConnectionUse,
    ContactTracker,
    TrackedHandler,
)
from monsoonlug.ids import RequestId, ServerId

CONNECT_TIMEOUT = 1.0  # seconds
# Share of the time until the deadline. A connect timeout before the deadline still
# proves that nothing was sent.
CONNECT_TIMEOUT_SHARE = 0.9
PROBE_TIMEOUT = 0.5  # seconds until the response to a probe
KEEPALIVE_TIMEOUT = 60.0  # seconds
KEEPALIVE_TIMEOUT_SHARE = 0.6  # of the Keep-Alive timeout that the server announces
READ_SIZE = 65_536  # bytes per read of a response body
MAX_REST_TIME = 60.0  # seconds that a server may ask for; longer times are cut
MAX_REFUSAL_BODY = 4_096  # bytes read from a refusal to keep its connection open

_SECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_HOST = re.compile(r"[0-9A-Za-z.-]{1,253}|\[[0-9A-Fa-f:.]{2,45}\]")
_PORT = re.compile(r"[0-9]{1,5}")
_KEEP_ALIVE = re.compile(r"timeout=(\d{1,6})")
_BODILESS_STATUSES = frozenset({204, 304})
_OMITTED_DEFAULT_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@dataclass(slots=True, kw_only=True)
class _Call:
    """State of one running request."""

    task: asyncio.Task | None
    response: aiohttp.ClientResponse | None = None
    protocol: "TrackedHandler | None" = None
    cancelled: bool = False


def _always() -> bool:
    return True


class HttpBackend(BackendProtocol):
    """Sends requests to one backend server over HTTP/1.1.

    A subclass for another header scheme overrides the header names, the headers of
    requests, and the detection of responses to requests that did not run.

    Args:
        server: Name of the server.
        address: IP address and port of the server.
        connections: Maximum number of open connections.
        may_send: Called right before the first byte of a request is written; returns
            whether the request may be sent.
        clock: Monotonic clock of the deadlines, in seconds.
        connect_timeout: Seconds until an attempt to connect is aborted.
        max_idle_nonidempotent: Seconds for which a connection may have been idle before
            it carries a request that is not idempotent. If the server closes an idle
            connection at that moment, it is unknown whether the request ran.
    """

    slowdown = 1.0
    request_limit: float | None = None
    # Whether a response without a request id cannot be the response to a request that
    # has one. It may be a copy of an earlier response.
    always_echoes_id = False
    accepts_close_delimited = False  # whether the end of the connection may end a body
    request_id_header = "X-Request-Id"
    private_headers = ROUTER_HEADERS  # of responses, not forwarded to callers

    def __init__(
        self,
        *,
        server: ServerId,
        address: str,
        connections: int,
        may_send: Callable[[], bool] = _always,
        clock: Callable[[], float] = time.monotonic,
        connect_timeout: float = CONNECT_TIMEOUT,
        max_idle_nonidempotent: float = KEEPALIVE_TIMEOUT,
    ):
        self._connect_timeout = connect_timeout
        self._max_idle_nonidempotent = max_idle_nonidempotent
        self.server = server
        self.address = address
        self._host_and_port = _parse_address(address)
        self.mismatched_responses = 0
        self._clock = clock
        self._calls: dict[RequestId, _Call] = {}
        self._max_idle = KEEPALIVE_TIMEOUT
        self._contact_tracker = ContactTracker(clock=clock)
        connector = CheckedConnector(
            may_send=may_send,
            tracker=self._contact_tracker,
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
            skip_auto_headers=_OMITTED_DEFAULT_HEADERS,
            middlewares=(_translate_errors,),
        )

    async def send(
        self, request: BackendRequest, body: AsyncIterator[bytes] | None = None
    ) -> BackendResponse:
        """Sends one request once; see `BackendProtocol.send`."""
        call = _Call(task=asyncio.current_task())
        if self._calls.setdefault(request.request, call) is not call:
            raise ValueError("a request with this id is already running")
        try:
            return await self._send(call, request, body)
        except BaseException as error:
            self._remove_call(request.request, call)
            if isinstance(error, asyncio.CancelledError) and call.cancelled:
                call.task.uncancel()
                raise OutcomeUnknown("the request was cancelled") from None
            raise

    async def _send(
        self, call: _Call, request: BackendRequest, body: AsyncIterator[bytes] | None
    ) -> BackendResponse:
        remaining = request.deadline - self._clock()
        if remaining <= 0:
            raise DeadlineExceeded()
        connect = min(
            self._connect_timeout + self.link_delay, CONNECT_TIMEOUT_SHARE * remaining
        )
        headers = self.build_headers(request, remaining)
        self._connector.prepare(
            ConnectionUse(
                request_id=headers.get(self.request_id_header, ""),
                max_idle=self._max_idle
                if request.idempotent
                else self._max_idle_nonidempotent,
            )
        )
        try:
            async with asyncio.timeout(remaining):
                call.response = await self._session.request(
                    request.method,
                    self._build_url(request.target),
                    headers=headers,
                    data=None if body is None else _check_body_length(request, body),
                    allow_redirects=False,
                    timeout=aiohttp.ClientTimeout(total=None, connect=connect),
                )
                await self._check_head(request, call.response)
                if _is_close_delimited(call.response):
                    call.protocol = call.response._protocol
        except TimeoutError:
            self._abort(call)
            raise OutcomeUnknown("no response before the deadline") from None
        except BaseException:
            self._abort(call)
            raise
        call.task = None
        return _HttpResponse(backend=self, request=request, call=call)

    async def probe(self, path: str) -> float | None:
        """Requests the health path of the server; see `BackendProtocol.probe`."""
        self._connector.prepare(ConnectionUse(max_idle=self._max_idle))
        asked_at = self._clock()
        response = None
        try:
            async with asyncio.timeout(PROBE_TIMEOUT):
                response = await self._session.get(
                    self._build_url(path), allow_redirects=False
                )
                self.read_server_state(response)
                slowdown = self.read_slowdown(response)
                cold_seconds = self.read_cold_seconds(response)
                if cold_seconds is not None:
                    self.health = HealthReport(
                        asked_at=asked_at,
                        cold_until=self._clock() + cold_seconds,
                        contact=self.find_contact(),
                    )
                await drain_refusal(response)
        except TimeoutError:
            raise OutcomeUnknown("no response to a probe") from None
        finally:
            if response is not None:
                response.close()
        return slowdown

    def find_contact(self) -> Contact | None:
        """Returns the present contact; see `BackendProtocol.find_contact`."""
        return self._contact_tracker.contact

    async def try_connect(self, timeout: float) -> ConnectResult:
        """Opens and closes a connection; see `BackendProtocol.try_connect`."""
        if self._host_and_port is None:
            return ConnectResult.NO_ANSWER
        try:
            async with asyncio.timeout(timeout):
                _, writer = await asyncio.open_connection(*self._host_and_port)
        except ConnectionRefusedError:
            return ConnectResult.REFUSED
        except OSError:  # includes the timeout
            return ConnectResult.NO_ANSWER
        writer.close()
        return ConnectResult.ACCEPTED

    def _build_url(self, target: str) -> URL:
        if self._host_and_port is None:
            raise ConnectFailed(f"the address {self.address[:50]!r} cannot be used")
        return URL(f"http://{self.address}{target}", encoded=True)

    def read_slowdown(self, response: aiohttp.ClientResponse) -> float | None:
        """Returns the slowdown that a response reports, or None if it reports none."""
        return None

    def read_cold_seconds(self, response: aiohttp.ClientResponse) -> float | None:
        """Returns for how many seconds a server is cold, or None if it does not say."""
        return None

    def build_headers(self, request: BackendRequest, remaining: float) -> CIMultiDict:
        """Returns the headers to send.

        Args:
            request: The request.
            remaining: Seconds until its deadline.
        """
        return _build_headers(request, remaining)

    def get_echoed_id(self, request: BackendRequest) -> str:
        """Returns the id that the response must carry if it carries any."""
        return request.request

    async def check_refusal(self, response: aiohttp.ClientResponse) -> None:
        """Raises an error if the server reports that it did not run the request.

        Raises:
            BackendRefused: If the server reports this.
            BackendFenced: If the server rejected the fencing token.
        """
        if response.status == 503 and response.headers.get("X-Not-Run") == "1":
            await drain_refusal(response)
            raise BackendRefused(retry_after=read_retry_after(response))
        if response.status == 409 and response.headers.get("X-Fenced") == "1":
            await drain_refusal(response)
            raise BackendFenced()

    def handle_response_head(self, response: aiohttp.ClientResponse) -> None:
        """Reads what a response to one of our requests tells about the server."""
        match = _KEEP_ALIVE.search(response.headers.get("Keep-Alive", ""))
        if match is not None:
            self._max_idle = KEEPALIVE_TIMEOUT_SHARE * int(match.group(1))
            self._max_idle_nonidempotent = min(
                self._max_idle_nonidempotent, self._max_idle
            )

    def read_server_state(self, response: aiohttp.ClientResponse) -> None:
        """Reads from any response whether the server wants further requests."""
        if response.status == 503:
            rest = min(read_retry_after(response) or 0.0, MAX_REST_TIME)
            self.resting_until = max(self.resting_until, self._clock() + rest)

    def _build_response_class(self) -> type[aiohttp.ClientResponse]:
        # A server may send a response twice, the second one when the connection already
        # carries the next request. The echoed request id identifies such a duplicate.
        header = self.request_id_header

        class Response(CheckedResponse):
            request_id_header = header

        return Response

    async def _check_head(
        self, request: BackendRequest, response: aiohttp.ClientResponse
    ) -> None:
        echoed = response.headers.getall(self.request_id_header, [])
        expected = self.get_echoed_id(request)
        if echoed and echoed != [expected]:
            self.mismatched_responses += 1
            raise OutcomeUnknown("the response carries the id of another request")
        if not echoed and expected and self.always_echoes_id:
            self.mismatched_responses += 1
            raise OutcomeUnknown("the response carries no request id")
        self.handle_response_head(response)
        self.read_server_state(response)
        await self.check_refusal(response)
        if response.status < 200:
            raise OutcomeUnknown(f"unexpected informational status {response.status}")
        if request.method == "HEAD" or response.status in _BODILESS_STATUSES:
            return
        lengths = response.headers.getall("Content-Length", [])
        codings = response.headers.getall("Transfer-Encoding", [])
        chunked = [coding.lower() for coding in codings] == ["chunked"]
        if not lengths and not codings and self.accepts_close_delimited:
            return
        # Without a length or chunked coding, a lost connection cannot be distinguished
        # from the end of the body.
        if len(lengths) + len(codings) != 1 or (codings and not chunked):
            raise OutcomeUnknown("the response body has no unambiguous length")

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
        """Parses an announcement in a JSON body; see `BackendProtocol`."""
        return decode_announcement(body)

    @staticmethod
    def build_announcement_answer(answer: AnnouncementAnswer) -> bytes:
        """Returns the JSON body of the response; see `BackendProtocol`."""
        return encode_answer(answer)

    def _abort(self, call: _Call) -> None:
        if call.response is not None:
            call.response.close()

    def _remove_call(self, request: RequestId, call: _Call) -> None:
        if self._calls.get(request) is call:
            del self._calls[request]


@dataclass(slots=True, kw_only=True)
class _HttpResponse(BackendResponse):
    """The response to one HTTP request."""

    backend: HttpBackend
    request: BackendRequest
    call: _Call
    status: int = field(init=False)
    headers: list[tuple[str, str]] = field(init=False)

    def __post_init__(self):
        self.status = self.call.response.status
        self.headers = _list_forwarded_headers(
            self.call.response, self.backend.private_headers
        )

    def read_whole(self, limit: int) -> bytes | None:
        """Returns the body if it is fully buffered; see `BackendResponse`."""
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
        """Yields the parts of the body; see `BackendResponse.iterate`."""
        try:
            while part := await self._read_part():
                yield part
        finally:
            # This closes the connection unless the body was read completely.
            self.cancel()

    async def _read_part(self) -> bytes:
        content = self.call.response.content
        remaining = self.request.deadline - self.backend._clock()
        try:
            # Checked here, as reads of buffered data never run into the timeout below.
            if remaining <= 0:
                raise TimeoutError
            # Most bodies arrive with the head and need no timeout.
            part = content.read_nowait(READ_SIZE)
            if not part and not content.at_eof():
                async with asyncio.timeout(remaining):
                    part = await content.read(READ_SIZE)
            if not part:
                self._check_end()
            return part
        except TimeoutError:
            raise OutcomeUnknown(
                "the response body is incomplete at the deadline"
            ) from None
        except (aiohttp.ClientError, OSError):
            raise OutcomeUnknown("the response body was cut off or cancelled") from None

    def _check_end(self) -> None:
        """Checks that a close-delimited body did not end with a connection reset.

        aiohttp treats both as the end of the body.

        Raises:
            ConnectionResetError: If the connection was reset.
        """
        if self.call.protocol is not None and self.call.protocol.is_reset:
            raise ConnectionResetError

    def cancel(self) -> None:
        """Discards the rest of the response; see `BackendResponse.cancel`."""
        self.call.response.close()
        self.backend._remove_call(self.request.request, self.call)


def _parse_address(address: str) -> tuple[str, int] | None:
    """Returns host and port, or None if no connection to the address is possible.

    A record of a server may have come from another version of control, which checked
    less.
    """
    host, _, port = address.rpartition(":")
    if not _HOST.fullmatch(host) or not _PORT.fullmatch(port):
        return None
    return (host.strip("[]"), int(port)) if 0 < int(port) < 65_536 else None


def _is_close_delimited(response: aiohttp.ClientResponse) -> bool:
    headers = response.headers
    return "Content-Length" not in headers and "Transfer-Encoding" not in headers


async def _translate_errors(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    # aiohttp retries idempotent requests if a reused connection is lost, but only after
    # its own exceptions. This middleware runs inside the retry loop and replaces them.
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError as error:
        if isinstance(error.os_error, ConnectionRefusedError):
            raise ProcessGone() from None
        raise ConnectFailed() from None
    except (aiohttp.ConnectionTimeoutError, aiohttp.InvalidURL):
        raise ConnectFailed() from None
    except (aiohttp.ClientError, OSError) as error:
        if isinstance(error, TimeoutError) and not isinstance(
            error, aiohttp.ClientError
        ):
            raise
        raise ConnectionLost(
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


async def _check_body_length(
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
            raise BadRequest("the request body is longer than its Content-Length")
        yield part
    if declared is not None and sent < declared:
        raise BadRequest("the request body is shorter than its Content-Length")


async def drain_refusal(response: aiohttp.ClientResponse) -> None:
    """Reads the rest of a refusal, so that its connection can be reused."""
    with contextlib.suppress(aiohttp.ClientError, OSError):
        await response.content.read(MAX_REFUSAL_BODY)
    if response.content.at_eof():
        response.release()


def read_retry_after(response: aiohttp.ClientResponse) -> float | None:
    """Returns the seconds of the Retry-After header, or None if it names none."""
    text = response.headers.get("Retry-After", "").strip()
    return float(text) if _SECONDS.fullmatch(text) else None


def _list_forwarded_headers(
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
    # aiohttp encodes header values as UTF-8; other bytes must be Latin-1.
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")
