"""HTTP headers of the platform, on callers' requests and towards backend servers."""

import re

import aiohttp
from multidict import CIMultiDict

from monsoonlug.backend import BackendRequest
from monsoonlug.clocks import read_clock
from monsoonlug.exceptions import BackendFenced, BackendRefused, BadRequest
from monsoonlug.fleet_messages import FleetServer
from monsoonlug.http_backend import HttpBackend, drain_refusal, read_retry_after
from monsoonlug.ingress import CallerHeaders, CallerProtocol
from monsoonlug.items import PoolItem
from monsoonlug.platform.documents import MAX_COLD_SECONDS

REQUEST_ID_HEADER = "X-Monsoonlug-Request-Id"
DEADLINE_HEADER = "X-Monsoonlug-Deadline-Ms"
# Selects the backend server that may run the request.
ROUTING_KEY_HEADER = "X-Monsoonlug-Shard-Key"
# Id of the server's process, which changes with most restarts.
EXPECTED_SERVER_HEADER = "X-Monsoonlug-Expect-Instance"
WORKSPACE_HEADER = "X-Monsoonlug-Tenant-Id"
NOT_RUN_HEADER = "X-Monsoonlug-Not-Executed"
SERVER_LOAD_HEADER = "X-Monsoonlug-Server-Load"
# In health responses: name of the server, and milliseconds for which it stays cold.
SERVER_NAME_HEADER = "X-Monsoonlug-Instance-Id"
COLD_HEADER = "X-Monsoonlug-Warmup-Ms"
# Requests per second that the server accepts from all hosts together.
REQUEST_LIMIT_HEADERS = ("X-Monsoonlug-Server-Limit", "Server-Limit")
LEAVING_HEADERS = ("X-Monsoonlug-Server-Leaving", "Server-Leaving")
MISDIRECTED_STATUS = 421  # also sent by a server that does not hold the routing key

CONNECT_TIMEOUT = 0.3  # seconds; opening a connection takes about 1 ms
MIN_WORK_TIME_PERCENT = 10  # of the usual; lower reported values are implausible
MIN_REQUEST_LIMIT = 0.1  # requests per second; lower limits would stop all service
MAX_IDLE_TIME = 0.4  # seconds; servers may drop an idle connection without notice

_REQUEST_ID_PATTERN = re.compile(r"[!-~]{1,100}")
_NUMBER_PATTERN = re.compile(r"[0-9]{1,9}")
_DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_SINGLE_VALUED_HEADERS = (
    REQUEST_ID_HEADER.lower(),
    DEADLINE_HEADER.lower(),
    ROUTING_KEY_HEADER.lower(),
)


class PlatformCallerProtocol(CallerProtocol):
    """Reads the platform's headers on callers' requests."""

    def read_headers(self, named: dict[str, list[str]]) -> CallerHeaders:
        """Reads the router's headers; see `CallerProtocol`."""
        for name in _SINGLE_VALUED_HEADERS:
            if len(named.get(name, ())) > 1:
                raise BadRequest(f"the header {name} occurs more than once")
        request_id = _get_first(named, REQUEST_ID_HEADER)
        if request_id and not _REQUEST_ID_PATTERN.fullmatch(request_id):
            raise BadRequest(
                f"the header {REQUEST_ID_HEADER.lower()} is not 1 to 100 "
                "visible ASCII characters"
            )
        milliseconds = _read_number(named, DEADLINE_HEADER)
        return CallerHeaders(
            request_id=request_id,
            timeout=None if milliseconds is None else milliseconds / 1000,
            routing_key=_read_number(named, ROUTING_KEY_HEADER),
            workspace_keys=_read_workspace_keys(named),
        )

    @property
    def reserved_headers(self) -> frozenset[str]:
        """Names of headers that only the router may set; see `CallerProtocol`."""
        names = (
            DEADLINE_HEADER,
            EXPECTED_SERVER_HEADER,
            WORKSPACE_HEADER,
            NOT_RUN_HEADER,
        )
        return frozenset(name.lower() for name in names)


class PlatformBackend(HttpBackend):
    """HTTP client of one backend server of the platform."""

    always_echoes_id = True
    accepts_close_delimited = True
    request_id_header = REQUEST_ID_HEADER
    private_headers = frozenset({SERVER_LOAD_HEADER.lower()})

    def build_headers(self, request: BackendRequest, remaining: float) -> CIMultiDict:
        """Returns the headers to send; see `HttpBackend`."""
        headers = CIMultiDict(request.headers)
        headers[DEADLINE_HEADER] = str(int(remaining * 1000))
        headers[EXPECTED_SERVER_HEADER] = self.server
        if request.workspace is not None:
            headers[WORKSPACE_HEADER] = request.workspace
        return headers

    def handle_response_head(self, response: aiohttp.ClientResponse) -> None:
        """Updates the slowdown and the request limit; see `HttpBackend`."""
        super().handle_response_head(response)
        self.slowdown = self.read_slowdown(response) or self.slowdown
        self.request_limit = self._read_request_limit(response)

    def read_server_state(self, response: aiohttp.ClientResponse) -> None:
        """Reads whether the server is shutting down; see `HttpBackend`."""
        super().read_server_state(response)
        if any(response.headers.get(name) == "1" for name in LEAVING_HEADERS):
            self.is_leaving = True

    def _read_request_limit(self, response: aiohttp.ClientResponse) -> float | None:
        for name in REQUEST_LIMIT_HEADERS:
            text = response.headers.get(name, "").strip()
            if _DECIMAL_PATTERN.fullmatch(text):
                return max(float(text), MIN_REQUEST_LIMIT)
            if text:  # An unreadable value does not lift the last limit.
                return self.request_limit
        return None

    def read_slowdown(self, response: aiohttp.ClientResponse) -> float | None:
        """Reads the slowdown of the server's machine; see `HttpBackend`."""
        # Running and waiting requests, slots, and work time in percent of the usual.
        fields = response.headers.get(SERVER_LOAD_HEADER, "").split(",")
        if len(fields) != 4 or not _NUMBER_PATTERN.fullmatch(fields[3].strip()):
            return None
        return max(int(fields[3]), MIN_WORK_TIME_PERCENT) / 100

    def read_cold_seconds(self, response: aiohttp.ClientResponse) -> float | None:
        """Reads the rest of the cold start; see `HttpBackend`.

        A server of another name may have got the address, and a response without a
        name is a rejection of the request.
        """
        if response.headers.get(SERVER_NAME_HEADER) != self.server:
            return None
        text = response.headers.get(COLD_HEADER, "0").strip()
        if not _DECIMAL_PATTERN.fullmatch(text):
            return None
        return min(float(text) / 1000, MAX_COLD_SECONDS)

    def get_echoed_id(self, request: BackendRequest) -> str:
        """Returns the caller's id, which the response echoes; see `HttpBackend`."""
        for name, value in request.headers:
            if name.lower() == REQUEST_ID_HEADER.lower():
                return value
        return ""

    async def check_refusal(self, response: aiohttp.ClientResponse) -> None:
        """Raises if the server did not run the request; see `HttpBackend`."""
        if response.status == MISDIRECTED_STATUS:
            await drain_refusal(response)
            raise BackendFenced()
        if NOT_RUN_HEADER in response.headers:
            await drain_refusal(response)
            raise BackendRefused(retry_after=read_retry_after(response))


def open_backend(record: FleetServer, pool: PoolItem) -> PlatformBackend:
    """Returns the client of a backend server."""
    return PlatformBackend(
        server=record.server,
        address=record.address,
        connections=pool.connections,
        clock=read_clock,
        connect_timeout=CONNECT_TIMEOUT,
        max_idle_nonidempotent=MAX_IDLE_TIME,
    )


def _get_first(named: dict[str, list[str]], name: str) -> str:
    values = named.get(name.lower())
    return values[0] if values else ""


def _read_number(named: dict[str, list[str]], name: str) -> int | None:
    text = _get_first(named, name)
    if not text:
        return None
    if not _NUMBER_PATTERN.fullmatch(text):
        raise BadRequest(f"the header {name.lower()} is not a number of 1 to 9 digits")
    return int(text)


def _read_workspace_keys(named: dict[str, list[str]]) -> tuple[str, ...]:
    keys = set()
    for value in named.get("authorization", ()):
        scheme, _, credentials = value.partition(" ")
        if scheme.lower() == "bearer":
            keys.add(credentials.strip(" \t"))
    return tuple(sorted(keys))
