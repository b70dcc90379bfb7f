"""Admission of requests: validates and sanitises a request's head.

`admit_request` validates the head as received, matches the route, extracts the routing
key, authenticates the workspace key and returns the request as it is forwarded. The
caller of this module checks the age of the view and the rate limit.

Error messages never contain a value from the request, because any value may contain a
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
MAX_LENGTH_DIGITS = 15  # of Content-Length; 64 MiB needs 8
MIN_DETECTED_KEY_LENGTH = 8  # characters; shorter keys occur elsewhere by chance

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
# Only the router may set these; a backend server trusts their values.
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
# A backend server that honours these runs a method that was not checked.
_METHOD_OVERRIDES = frozenset(
    {"x-http-method", "x-http-method-override", "x-method-override"}
)
_WORKSPACE_KEY_HEADERS = frozenset({"authorization", "x-workspace-key"})
_STRIPPED_HEADERS = (
    HOP_BY_HOP
    | ROUTER_HEADERS
    | _METHOD_OVERRIDES
    | _WORKSPACE_KEY_HEADERS
    | {"host", "expect", "idempotency-key"}
)
# Headers that Connection must not list, because another hop would remove them.
_END_TO_END_HEADERS = frozenset(
    {"host", "content-length", "content-type", "idempotency-key"}
    | _WORKSPACE_KEY_HEADERS
)
_WORKSPACE_KEY_PARAMETER = "workspace_key"

_HEADER_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_HEADER_VALUE = re.compile(rb"[^\x00-\x08\x0a-\x1f\x7f]*")
_TARGET = re.compile(r"/[!-~]*")
_MALFORMED_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
_ENCODED_SEPARATOR = re.compile(r"%2f|%5c|\\", re.IGNORECASE)
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x1f\x7f]")
_HOST = re.compile(r"([A-Za-z0-9._-]{1,255}|\[[0-9A-Fa-f:.]{2,45}\])(:[0-9]{1,5})?")
_LENGTH = re.compile(rf"[0-9]{{1,{MAX_LENGTH_DIGITS}}}")
_PARAMETER_SEPARATORS = re.compile(r"([&;])")


@dataclass(frozen=True, slots=True, kw_only=True)
class ReceivedHead:
    """A request's head as received from the caller.

    Attributes:
        method: Method of the request line.
        target: Request target, still percent-encoded.
        headers: Names and values in the order received.
    """

    method: str
    target: str = field(repr=False)
    headers: Sequence[tuple[bytes, bytes]] = field(repr=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmittedRequest:
    """A request whose head passed all checks.

    Attributes:
        route: Route of the request.
        workspace: Workspace that the key belongs to; None on open routes.
        key_digest: Digest of the workspace key, which is checked again when the
            request leaves a queue; empty on open routes.
        routing_key: Key that determines the owner; empty on pooled routes.
        method: Method of the request.
        target: Path and query without the workspace key.
        headers: Headers to forward, including Content-Length.
        content_length: Bytes of the body, or None if the body is chunked.
        idempotency_key: Value of the Idempotency-Key header, or an empty string.
        objective_at: Time until which a response meets the latency objective, in
            seconds of the host's clock.
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
    """Enforces the size limit of one request body.

    Args:
        limit: Maximum size of the body in bytes.
    """

    def __init__(self, *, limit: int):
        self._remaining = limit

    def add(self, size: int) -> None:
        """Adds `size` bytes to the count.

        Raises:
            BodyTooLarge: If the body exceeds the limit.
        """
        self._remaining -= size
        if self._remaining < 0:
            raise BodyTooLarge()


class CatalogueIndex:
    """Index of routes and workspace keys for one catalogue revision.

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
            prefix = _decode_path(route.prefix).rstrip("/")
            methods = self._routes.setdefault(prefix, {})
            for method in route.methods:
                methods.setdefault(method, route)
        for workspace in catalogue.workspaces:
            for digest in workspace.key_digests:
                self._workspaces[digest] = WorkspaceId(workspace.name)

    def match_route(self, method: str, path: str) -> tuple[Route, str]:
        """Returns the route of a decoded path and the path after the prefix.

        Prefixes match whole path segments. The longest matching prefix is used even if
        it does not allow the method, so that no request falls back to a shorter prefix
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
        """Returns the workspace of a key digest, or None if the key is unknown."""
        return self._workspaces.get(digest)

    def is_keyed(self, route: Route) -> bool:
        """Returns whether requests on the route need a routing key."""
        return self._keyed[route.pool]


def admit_request(
    head: ReceivedHead, *, index: CatalogueIndex, withdrawn: Collection[str]
) -> AdmittedRequest:
    """Validates a request's head and returns the request to forward.

    Args:
        head: The head as received.
        index: Index of the current catalogue.
        withdrawn: Digests of withdrawn workspace keys.

    Raises:
        BadRequest: If the head is malformed or ambiguous.
        HeadersTooLarge: If the target or the headers exceed their limits.
        BodyTooLarge: If the declared body is larger than the route allows.
        UnknownRoute: If no route matches.
        MethodNotAllowed: If the route does not allow the method.
        MissingRoutingKey: If the pool is keyed and the request has no routing key.
        KeyRefused: If the workspace key is missing, unknown or withdrawn.
    """
    if head.method not in KNOWN_METHODS:
        raise MethodNotAllowed()
    headers = read_headers(head.headers)
    named = group_headers(headers)
    check_host(named)
    connection_headers = list_connection_names(named)
    length = read_length(named)
    path, query = _split_target(head.target)
    route, suffix = index.match_route(head.method, path)
    if length is not None and length > route.limits.body:
        raise BodyTooLarge()

    target, query_keys = _strip_workspace_key(head.target, query)
    key = _find_workspace_key(named, query_keys)
    routing_key = _find_routing_key(named, connection_headers, route, suffix, index)
    idempotency_key = _read_idempotency_key(named)
    for text in (target, routing_key, idempotency_key):
        if _contains_key(text, key):
            raise BadRequest(
                "the workspace key also occurs in the target, the routing key or the "
                "idempotency key"
            )
    workspace, digest = _authenticate(key, route, index, withdrawn)
    return AdmittedRequest(
        route=route,
        workspace=workspace,
        key_digest=digest,
        routing_key=routing_key,
        method=head.method,
        target=target,
        headers=strip_headers(headers, connection_headers, key),
        content_length=length,
        idempotency_key=idempotency_key,
    )


def check_key(
    digest: str, *, index: CatalogueIndex, withdrawn: Collection[str]
) -> WorkspaceId:
    """Returns the workspace of a valid key digest.

    Raises:
        KeyRefused: If the key is unknown or withdrawn.
    """
    workspace = index.find_workspace(digest)
    if workspace is None or digest in withdrawn:
        raise KeyRefused()
    return workspace


def read_headers(raw: Sequence[tuple[bytes, bytes]]) -> list[tuple[str, str]]:
    """Decodes headers and returns their names and values.

    Raises:
        BadRequest: If a name or value has invalid characters.
        HeadersTooLarge: If there are too many headers or their total size is too large.
    """
    if len(raw) > MAX_HEADERS:
        raise HeadersTooLarge(f"the request has more than {MAX_HEADERS} headers")
    size = 0
    headers = []
    for name, value in raw:
        size += len(name) + len(value)
        if size > MAX_HEADER_BYTES:
            raise HeadersTooLarge(
                f"the headers have more than {MAX_HEADER_BYTES} bytes"
            )
        if not _HEADER_NAME.fullmatch(name):
            raise BadRequest("a header name is empty or has invalid characters")
        if not _HEADER_VALUE.fullmatch(value):
            raise BadRequest("a header value has control characters")
        try:
            text = value.decode().strip(" \t")
        except UnicodeDecodeError:
            raise BadRequest("a header value is not valid UTF-8") from None
        headers.append((name.decode("ascii"), text))
    return headers


def group_headers(headers: list[tuple[str, str]]) -> dict[str, list[str]]:
    """Groups header values by lower-case name."""
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
    """Validates the Host header.

    Raises:
        BadRequest: If it is missing, repeated or malformed.
    """
    host = _read_single(named, "host")
    if host is None or not _HOST.fullmatch(host):
        raise BadRequest("the header host is missing or not a host name or address")


def list_connection_names(named: dict[str, list[str]]) -> set[str]:
    """Returns the lower-case names of headers that Connection lists.

    Raises:
        BadRequest: If Connection lists a header that must reach the backend server.
    """
    names = set()
    for value in named.get("connection", ()):
        for part in value.split(","):
            names.add(part.strip(" \t").lower())
    if names & _END_TO_END_HEADERS:
        raise BadRequest("the header connection lists an end-to-end header")
    return names


def read_length(named: dict[str, list[str]]) -> int | None:
    """Returns the length of the body in bytes, or None if the body is chunked.

    Raises:
        BadRequest: If the headers contradict each other or are malformed.
    """
    length = _read_single(named, "content-length")
    transfer_encoding = _read_single(named, "transfer-encoding")
    if transfer_encoding is not None and length is not None:
        raise BadRequest("both content-length and transfer-encoding are present")
    if transfer_encoding is not None:
        if transfer_encoding.lower() != "chunked":
            raise BadRequest("the only transfer-encoding allowed is chunked")
        return None
    if length is None:
        return 0
    if not _LENGTH.fullmatch(length):
        raise BadRequest(
            f"the header content-length is not 1 to {MAX_LENGTH_DIGITS} digits"
        )
    return int(length)


def _split_target(target: str) -> tuple[str, str | None]:
    if len(target) > MAX_TARGET:
        raise HeadersTooLarge(f"the target is longer than {MAX_TARGET} bytes")
    if not _TARGET.fullmatch(target) or "#" in target:
        raise BadRequest("the target is not an absolute path in printable ASCII")
    path, separator, query = target.partition("?")
    if _MALFORMED_ESCAPE.search(path) or _ENCODED_SEPARATOR.search(path):
        raise BadRequest(
            "the path has an invalid escape, a backslash or an escaped separator"
        )
    # A backend server resolves dot segments and may merge empty ones, and would then
    # serve a path other than the one that the route was matched with.
    decoded = _decode_path(path)
    segments = decoded.split("/")[1:]
    if "." in segments or ".." in segments or "" in segments[:-1]:
        raise BadRequest("the path has empty or dot segments")
    return decoded, query if separator else None


def _decode_path(path: str) -> str:
    raw = unquote_to_bytes(path)
    if _CONTROL_CHARACTER.search(raw):
        raise BadRequest("the path has control characters")
    try:
        return raw.decode()
    except UnicodeDecodeError:
        raise BadRequest("the path is not valid UTF-8") from None


def _strip_workspace_key(target: str, query: str | None) -> tuple[str, list[str]]:
    if not query:
        return target, []
    kept: list[str] = []
    keys = []
    # Some backend servers also accept semicolons as separators.
    parts = _PARAMETER_SEPARATORS.split(query)
    for position in range(0, len(parts), 2):
        name, _, value = parts[position].partition("=")
        if unquote_plus(name).strip().lower() == _WORKSPACE_KEY_PARAMETER:
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


def _authenticate(
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
    connection_headers: set[str],
    route: Route,
    suffix: str,
    index: CatalogueIndex,
) -> str:
    if not index.is_keyed(route):
        return ""
    if route.key_header is None:
        key = suffix.partition("/")[0]
    else:
        name = route.key_header.lower()
        if name in connection_headers:
            raise BadRequest("the header connection lists the routing key's header")
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
            f"the header idempotency-key is not 1 to {MAX_IDEMPOTENCY_KEY} bytes long"
        )
    return key


def _contains_key(text: str, key: str) -> bool:
    if len(key) < MIN_DETECTED_KEY_LENGTH:
        return False
    if key in text:
        return True
    return "%" in text and (key in unquote(text) or key in unquote_plus(text))


def strip_headers(
    headers: list[tuple[str, str]],
    connection_headers: set[str],
    key: str,
    *,
    keep_authorization: bool = False,
) -> list[tuple[str, str]]:
    """Returns the headers to forward to a backend server.

    Args:
        headers: Names and values.
        connection_headers: Lower-case names of headers that Connection lists.
        key: The workspace key; headers that contain it are removed.
        keep_authorization: Whether the header Authorization is addressed to the server.
    """
    kept = []
    for name, value in headers:
        lower = name.lower()
        if keep_authorization and lower == "authorization":
            kept.append((name, value))
            continue
        # CGI-style servers treat X_Workspace and X-Workspace as the same header.
        if lower.replace("_", "-") in _STRIPPED_HEADERS or lower in connection_headers:
            continue
        if "_" in name and lower.replace("_", "-") == "content-length":
            continue
        # Headers such as Referer and X-Original-URI may contain the target, and with
        # it the key.
        if _contains_key(value, key) or _contains_key(name, key):
            continue
        kept.append((name, value))
    return kept
