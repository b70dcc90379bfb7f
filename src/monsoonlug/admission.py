"""Checks one request's head and strips what no backend server may see.

The module takes the head of a request as it was received, matches the route, finds the
routing key and the workspace, and returns the request in the form in which it is
forwarded. Freshness of the view and tokens are checked by the caller of this module.

Error messages never contain a value from the request, as any value may hold a
workspace key.
"""

import math
import re
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from urllib.parse import unquote, unquote_plus, unquote_to_bytes

from monsoonlug.catalogue import Catalogue, Route, digest_key
from monsoonlug.exceptions import (
    BadRequest,
    BodyTooLarge,
    HeadersTooLarge,
    KeyRefused,
    MethodNotAllowed,
    MissingRoutingKey,
    UnknownRoute,
)
from monsoonlug.ids import Revision, WorkspaceId
from monsoonlug.lookup import ServedRoute

MAX_HEADERS = 100
MAX_HEADER_BYTES = 16_384  # bytes of all names and values
MAX_TARGET = 8_192  # bytes
MAX_ROUTING_KEY = 512  # bytes
MAX_IDEMPOTENCY_KEY = 255  # bytes
MAX_LENGTH_DIGITS = 15  # of a Content-Length; 64 MiB needs 8
MIN_LEAK_LENGTH = 8  # characters; shorter keys occur in other values by chance

KNOWN_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})
HOP_BY_HOP = frozenset(
    {
        "connection",
        "http2-settings",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Set by the router alone; a caller's value would be taken for the router's.
ROUTER_HEADERS = frozenset(
    {
        "x-request-id",
        "x-workspace",
        "x-deadline-ms",
        "x-slice",
        "x-fencing-epoch",
        "x-gate-epoch",
        "x-not-run",
        "x-fenced",
    }
)
# A server that honours these runs another method than the one that was checked.
_METHOD_OVERRIDES = frozenset(
    {"x-http-method", "x-http-method-override", "x-method-override"}
)
_KEY_HEADERS = frozenset({"authorization", "x-workspace-key"})
_STRIPPED = (
    HOP_BY_HOP
    | ROUTER_HEADERS
    | _METHOD_OVERRIDES
    | _KEY_HEADERS
    | {"host", "expect", "idempotency-key"}
)
# Headers that Connection must not name, because another hop would drop them.
_END_TO_END = frozenset(
    {"host", "content-length", "content-type", "idempotency-key"} | _KEY_HEADERS
)
_KEY_PARAMETER = "workspace_key"

_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_VALUE = re.compile(rb"[^\x00-\x08\x0a-\x1f\x7f]*")
_TARGET = re.compile(r"/[!-~]*")
_BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
_HIDDEN_SEPARATOR = re.compile(r"%2f|%5c|\\", re.IGNORECASE)
_CONTROL = re.compile(rb"[\x00-\x1f\x7f]")
_HOST = re.compile(r"([A-Za-z0-9._-]{1,255}|\[[0-9A-Fa-f:.]{2,45}\])(:[0-9]{1,5})?")
_LENGTH = re.compile(rf"[0-9]{{1,{MAX_LENGTH_DIGITS}}}")
_PARAMETER_SEPARATORS = re.compile(r"([&;])")


@dataclass(frozen=True, slots=True, kw_only=True)
class ReceivedHead:
    """The head of a request as the caller sent it.

    Attributes:
        method: Method of the request line.
        target: Target of the request line, still percent-encoded.
        headers: Names and values in the order received.
    """

    method: str
    target: str = field(repr=False)
    headers: Sequence[tuple[bytes, bytes]] = field(repr=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmittedRequest:
    """A request that passed all checks of its head.

    Attributes:
        route: Route of the request.
        workspace: Workspace of the presented key; None on open routes.
        key_digest: Digest of the presented key, to check it again when the request
            leaves a queue; empty on open routes.
        routing_key: Key that decides the owner; empty on pooled routes.
        method: Method of the request.
        target: Path and query without the workspace key.
        headers: Headers to forward, Content-Length included.
        content_length: Bytes of the body, or None if the body is chunked.
        idempotency_key: The caller's Idempotency-Key, or an empty string.
        objective_at: Time on the host's clock from which on an answer is late.
    """

    route: Route | ServedRoute
    workspace: WorkspaceId | None
    key_digest: str
    routing_key: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    content_length: int | None
    idempotency_key: str
    objective_at: float = math.inf


class BodyCounter:
    """Counts the bytes of one body against its route's limit.

    Args:
        limit: Bytes that the body may have.
    """

    def __init__(self, *, limit: int):
        self._left = limit

    def add(self, size: int) -> None:
        """Counts `size` more bytes.

        Raises:
            BodyTooLarge: If the body is now larger than the limit.
        """
        self._left -= size
        if self._left < 0:
            raise BodyTooLarge()


class CatalogueIndex:
    """Lookup tables of one catalogue revision.

    Args:
        revision: Configuration revision of the catalogue.
        catalogue: The catalogue.
    """

    def __init__(self, *, revision: Revision, catalogue: Catalogue):
        self.revision = revision
        self._keyed = {pool.name: pool.keyed for pool in catalogue.pools}
        self._routes: dict[str, dict[str, Route]] = {}
        self._workspaces: dict[str, WorkspaceId] = {}
        for route in catalogue.routes:
            prefix = _decode(route.prefix).rstrip("/")
            methods = self._routes.setdefault(prefix, {})
            for method in route.methods:
                methods.setdefault(method, route)
        for workspace in catalogue.workspaces:
            for digest in workspace.key_digests:
                self._workspaces[digest] = WorkspaceId(workspace.name)

    def match_route(self, method: str, path: str) -> tuple[Route, str]:
        """Returns the route of a decoded path and the path after the prefix.

        Prefixes match whole segments. The longest matching prefix decides, even if
        it does not allow the method, so that no request slips to a shorter prefix
        with weaker checks.

        Raises:
            UnknownRoute: If no prefix matches.
            MethodNotAllowed: If the longest prefix does not allow the method.
        """
        end = len(path)
        while end >= 0:
            methods = self._routes.get(path[:end])
            if methods is None:
                end = path.rfind("/", 0, end)
                continue
            route = methods.get(method)
            if route is None:
                raise MethodNotAllowed()
            return route, path[end + 1 :]
        raise UnknownRoute()

    def find_workspace(self, digest: str) -> WorkspaceId | None:
        """Returns the workspace that holds a key with this digest."""
        return self._workspaces.get(digest)

    def is_keyed(self, route: Route) -> bool:
        """Returns whether the route's pool needs a routing key."""
        return self._keyed[route.pool]


def admit_request(
    head: ReceivedHead, *, index: CatalogueIndex, withdrawn: Collection[str]
) -> AdmittedRequest:
    """Checks a request's head and returns the request to forward.

    Args:
        head: The head as received.
        index: Tables of the catalogue in force.
        withdrawn: Digests of withdrawn keys.

    Raises:
        BadRequest: If the head is malformed or ambiguous.
        HeadersTooLarge: If the target or the headers exceed their limits.
        BodyTooLarge: If the declared body is larger than the route allows.
        UnknownRoute: If no route matches.
        MethodNotAllowed: If the route does not allow the method.
        MissingRoutingKey: If the pool is keyed and the request names no key.
        KeyRefused: If the workspace key is missing, unknown or withdrawn.
    """
    if head.method not in KNOWN_METHODS:
        raise MethodNotAllowed()
    headers = read_headers(head.headers)
    named = group_headers(headers)
    check_host(named)
    dropped = list_connection_names(named)
    length = read_length(named)
    path, query = _split_target(head.target)
    route, rest = index.match_route(head.method, path)
    if length is not None and length > route.limits.body:
        raise BodyTooLarge()

    target, query_keys = _strip_query(head.target, query)
    key = _find_workspace_key(named, query_keys)
    routing_key = _find_routing_key(named, dropped, route, rest, index)
    idempotency_key = _read_idempotency_key(named)
    for text in (target, routing_key, idempotency_key):
        if _holds_key(text, key):
            raise BadRequest("the workspace key occurs in another part of the request")
    workspace, digest = _identify(key, route, index, withdrawn)
    return AdmittedRequest(
        route=route,
        workspace=workspace,
        key_digest=digest,
        routing_key=routing_key,
        method=head.method,
        target=target,
        headers=strip_headers(headers, dropped, key),
        content_length=length,
        idempotency_key=idempotency_key,
    )


def check_key(
    digest: str, *, index: CatalogueIndex, withdrawn: Collection[str]
) -> WorkspaceId:
    """Returns the workspace of a key digest that is in force.

    Raises:
        KeyRefused: If the key is unknown or withdrawn.
    """
    workspace = index.find_workspace(digest)
    if workspace is None or digest in withdrawn:
        raise KeyRefused()
    return workspace


def read_headers(raw: Sequence[tuple[bytes, bytes]]) -> list[tuple[str, str]]:
    """Returns names and values of headers as text.

    Raises:
        BadRequest: If a name or value has characters that are not allowed.
        HeadersTooLarge: If there are too many, or too long ones.
    """
    if len(raw) > MAX_HEADERS:
        raise HeadersTooLarge(f"more than {MAX_HEADERS} headers")
    size = 0
    headers = []
    for name, value in raw:
        size += len(name) + len(value)
        if size > MAX_HEADER_BYTES:
            raise HeadersTooLarge(f"headers are longer than {MAX_HEADER_BYTES} bytes")
        if not _NAME.fullmatch(name):
            raise BadRequest("a header name has characters that are not allowed")
        if not _VALUE.fullmatch(value):
            raise BadRequest("a header value has control characters")
        try:
            text = value.decode().strip(" \t")
        except UnicodeDecodeError:
            raise BadRequest("a header value is not valid UTF-8") from None
        headers.append((name.decode("ascii"), text))
    return headers


def group_headers(headers: list[tuple[str, str]]) -> dict[str, list[str]]:
    """Returns the values of headers by lower-case name."""
    named: dict[str, list[str]] = {}
    for name, value in headers:
        named.setdefault(name.lower(), []).append(value)
    return named


def _read_single(named: dict[str, list[str]], name: str) -> str | None:
    values = named.get(name)
    if values is None:
        return None
    if len(values) > 1:
        raise BadRequest(f"the header {name} occurs more than once")
    return values[0]


def check_host(named: dict[str, list[str]]) -> None:
    """Checks the Host header.

    Raises:
        BadRequest: If it is missing, repeated or malformed.
    """
    host = _read_single(named, "host")
    if host is None or not _HOST.fullmatch(host):
        raise BadRequest("the header host is missing or not valid")


def list_connection_names(named: dict[str, list[str]]) -> set[str]:
    """Returns the lower-case names of headers that concern this connection only.

    Raises:
        BadRequest: If Connection names a header that must reach the backend server.
    """
    names = set()
    for value in named.get("connection", ()):
        for part in value.split(","):
            names.add(part.strip(" \t").lower())
    if names & _END_TO_END:
        raise BadRequest("the header connection names an end-to-end header")
    return names


def read_length(named: dict[str, list[str]]) -> int | None:
    """Returns the bytes of the body, or None if it comes in chunks.

    Raises:
        BadRequest: If the headers contradict each other or are malformed.
    """
    length = _read_single(named, "content-length")
    coding = _read_single(named, "transfer-encoding")
    if coding is not None and length is not None:
        raise BadRequest("both content-length and transfer-encoding are present")
    if coding is not None:
        if coding.lower() != "chunked":
            raise BadRequest("the only transfer-encoding allowed is chunked")
        return None
    if length is None:
        return 0
    if not _LENGTH.fullmatch(length):
        raise BadRequest("the header content-length is not a number of bytes")
    return int(length)


def _split_target(target: str) -> tuple[str, str | None]:
    if len(target) > MAX_TARGET:
        raise HeadersTooLarge(f"the target is longer than {MAX_TARGET} bytes")
    if not _TARGET.fullmatch(target) or "#" in target:
        raise BadRequest("the target is not an absolute path of printable ASCII")
    path, mark, query = target.partition("?")
    if _BAD_ESCAPE.search(path) or _HIDDEN_SEPARATOR.search(path):
        raise BadRequest("the path has escapes that are not allowed")
    # A server resolves dot segments and may merge empty ones, so that it would serve
    # another path than the one that the route was chosen by.
    decoded = _decode(path)
    segments = decoded.split("/")[1:]
    if "." in segments or ".." in segments or "" in segments[:-1]:
        raise BadRequest("the path has empty or dot segments")
    return decoded, query if mark else None


def _decode(path: str) -> str:
    raw = unquote_to_bytes(path)
    if _CONTROL.search(raw):
        raise BadRequest("the path has control characters")
    try:
        return raw.decode()
    except UnicodeDecodeError:
        raise BadRequest("the path is not valid UTF-8") from None


def _strip_query(target: str, query: str | None) -> tuple[str, list[str]]:
    if not query:
        return target, []
    kept: list[str] = []
    keys = []
    # Some servers also separate parameters by semicolons.
    parts = _PARAMETER_SEPARATORS.split(query)
    for position in range(0, len(parts), 2):
        name, _, value = parts[position].partition("=")
        if unquote_plus(name).strip().lower() == _KEY_PARAMETER:
            keys.append(unquote_plus(value))
            continue
        if kept:
            kept.append(parts[position - 1])
        kept.append(parts[position])
    if not keys:
        return target, []
    path = target.partition("?")[0]
    return (f"{path}?{''.join(kept)}" if kept else path), keys


def _find_workspace_key(named: dict[str, list[str]], query_keys: list[str]) -> str:
    keys = set(query_keys)
    keys.update(named.get("x-workspace-key", ()))
    for value in named.get("authorization", ()):
        scheme, _, credentials = value.partition(" ")
        if scheme.lower() == "bearer":
            keys.add(credentials.strip(" \t"))
    keys.discard("")
    if len(keys) > 1:
        raise BadRequest("the request holds different workspace keys")
    return keys.pop() if keys else ""


def _identify(
    key: str, route: Route, index: CatalogueIndex, withdrawn: Collection[str]
) -> tuple[WorkspaceId | None, str]:
    if route.open:
        return None, ""
    if not key:
        raise KeyRefused("the request has no workspace key")
    try:
        digest = digest_key(key)
    except UnicodeEncodeError:
        raise KeyRefused() from None
    return check_key(digest, index=index, withdrawn=withdrawn), digest


def _find_routing_key(
    named: dict[str, list[str]],
    dropped: set[str],
    route: Route,
    rest: str,
    index: CatalogueIndex,
) -> str:
    if not index.is_keyed(route):
        return ""
    if route.key_header is None:
        key = rest.partition("/")[0]
    else:
        name = route.key_header.lower()
        if name in dropped:
            raise BadRequest("the header connection names the routing key's header")
        key = _read_single(named, name) or ""
    if not key:
        raise MissingRoutingKey()
    if len(key.encode()) > MAX_ROUTING_KEY:
        raise BadRequest(f"the routing key is longer than {MAX_ROUTING_KEY} bytes")
    return key


def _read_idempotency_key(named: dict[str, list[str]]) -> str:
    key = _read_single(named, "idempotency-key")
    if key is None:
        return ""
    if not key or len(key.encode()) > MAX_IDEMPOTENCY_KEY:
        raise BadRequest(
            f"the header idempotency-key needs 1 to {MAX_IDEMPOTENCY_KEY} bytes"
        )
    return key


def _holds_key(text: str, key: str) -> bool:
    if len(key) < MIN_LEAK_LENGTH:
        return False
    if key in text:
        return True
    return "%" in text and (key in unquote(text) or key in unquote_plus(text))


def strip_headers(
    headers: list[tuple[str, str]], dropped: set[str], key: str
) -> list[tuple[str, str]]:
    """Returns the headers that a backend server may see.

    Args:
        headers: Names and values.
        dropped: Lower-case names of headers of this connection.
        key: The workspace key, which no header may hold.
    """
    kept = []
    for name, value in headers:
        lower = name.lower()
        # Servers in the CGI tradition read X_Workspace as X-Workspace.
        if lower.replace("_", "-") in _STRIPPED or lower in dropped:
            continue
        if "_" in name and lower.replace("_", "-") == "content-length":
            continue
        # Proxies copy the target into headers such as Referer or X-Original-URI.
        if _holds_key(value, key) or _holds_key(name, key):
            continue
        kept.append((name, value))
    return kept
