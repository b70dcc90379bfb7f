"""The platform's headers on requests of callers and to backend servers."""

import re

import aiohttp
from multidict import CIMultiDict

from monsoonlug.backend import BackendRequest
from monsoonlug.clocks import read_clock
from monsoonlug.exceptions import BackendFenced, BackendRefused, BadRequest
from monsoonlug.fleet_messages import FleetServer
from monsoonlug.http_backend import HttpBackend, drain_refusal
from monsoonlug.ingress import CallerHeaders, CallerProtocol
from monsoonlug.items import PoolItem

REQUEST_ID = "X-Monsoonlug-Request-Id"
DEADLINE = "X-Monsoonlug-Deadline-Ms"
# The key that decides which server may run the request.
ROUTING_KEY = "X-Monsoonlug-Shard-Key"
# The id of the server's process, which changes with most starts.
EXPECTED_SERVER = "X-Monsoonlug-Expect-Instance"
WORKSPACE = "X-Monsoonlug-Tenant-Id"
NOT_RUN = "X-Monsoonlug-Not-Executed"
SERVER_LOAD = "X-Monsoonlug-Server-Load"
WRONG_SERVER = 421  # also the answer of a server that does not hold the key

CONNECT_TIMEOUT = 0.3  # seconds; a connection takes about 1 ms to open
LEAST_PERCENT = 10  # of the usual time of work; a lower figure is not believed
REUSE_LIMIT = 0.4  # seconds; servers may forget an idle connection without notice

_ID = re.compile(r"[!-~]{1,100}")
_NUMBER = re.compile(r"[0-9]{1,9}")
_SINGLE = (REQUEST_ID.lower(), DEADLINE.lower(), ROUTING_KEY.lower())


class PlatformCallers(CallerProtocol):
    """Headers of callers."""

    def read_headers(self, named: dict[str, list[str]]) -> CallerHeaders:
        """Reads the router's headers; see `CallerProtocol`."""
        for name in _SINGLE:
            if len(named.get(name, ())) > 1:
                raise BadRequest(f"the header {name} occurs more than once")
        request_id = _first(named, REQUEST_ID)
        if request_id and not _ID.fullmatch(request_id):
            raise BadRequest("the id of the request is not valid")
        milliseconds = _read_number(named, DEADLINE)
        return CallerHeaders(
            request_id=request_id,
            timeout=None if milliseconds is None else milliseconds / 1000,
            routing_key=_read_number(named, ROUTING_KEY),
            workspace_key=_read_key(named),
        )

    @property
    def reserved_headers(self) -> frozenset[str]:
        """Headers that only the router may set; see `CallerProtocol`."""
        names = (DEADLINE, EXPECTED_SERVER, WORKSPACE, NOT_RUN)
        return frozenset(name.lower() for name in names)


class PlatformBackend(HttpBackend):
    """Sends requests to one backend server of the platform."""

    accepts_close_delimited = True
    request_id_header = REQUEST_ID
    private_headers = frozenset({SERVER_LOAD.lower()})

    def build_headers(self, request: BackendRequest, remaining: float) -> CIMultiDict:
        """Returns the headers to send; see `HttpBackend`."""
        headers = CIMultiDict(request.headers)
        headers[DEADLINE] = str(int(remaining * 1000))
        headers[EXPECTED_SERVER] = self.server
        if request.workspace is not None:
            headers[WORKSPACE] = request.workspace
        return headers

    def handle_response_head(self, response: aiohttp.ClientResponse) -> None:
        """Takes what the head of an answer says; see `HttpBackend`."""
        super().handle_response_head(response)
        # Running, waiting, slots, and the time of work in percent of the usual.
        figures = response.headers.get(SERVER_LOAD, "").split(",")
        if len(figures) == 4 and _NUMBER.fullmatch(figures[3].strip()):
            self.slowdown = max(int(figures[3]), LEAST_PERCENT) / 100

    def get_echoed_id(self, request: BackendRequest) -> str:
        """Returns the caller's id, which the answer echoes; see `HttpBackend`."""
        for name, value in request.headers:
            if name.lower() == REQUEST_ID.lower():
                return value
        return ""

    async def check_refusal(self, response: aiohttp.ClientResponse) -> None:
        """Checks whether the server did not run the request; see `HttpBackend`."""
        if response.status == WRONG_SERVER:
            await drain_refusal(response)
            raise BackendFenced()
        if NOT_RUN in response.headers:
            await drain_refusal(response)
            raise BackendRefused()


def open_backend(record: FleetServer, pool: PoolItem) -> PlatformBackend:
    """Returns the protocol to a backend server."""
    return PlatformBackend(
        server=record.server,
        address=record.address,
        connections=pool.connections,
        clock=read_clock,
        connect_timeout=CONNECT_TIMEOUT,
        max_idle_nonidempotent=REUSE_LIMIT,
    )


def _first(named: dict[str, list[str]], name: str) -> str:
    values = named.get(name.lower())
    return values[0] if values else ""


def _read_number(named: dict[str, list[str]], name: str) -> int | None:
    text = _first(named, name)
    if not text:
        return None
    if not _NUMBER.fullmatch(text):
        raise BadRequest(f"the header {name.lower()} is not a number")
    return int(text)


def _read_key(named: dict[str, list[str]]) -> str:
    keys = set()
    for value in named.get("authorization", ()):
        scheme, _, credentials = value.partition(" ")
        if scheme.lower() == "bearer":
            keys.add(credentials.strip(" \t"))
    if len(keys) > 1:
        raise BadRequest("the request holds different workspace keys")
    return keys.pop() if keys else ""
