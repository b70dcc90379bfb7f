"""Tests of the admission of requests."""

from urllib.parse import unquote

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from monsoonlug.admission import (
    MAX_HEADER_BYTES,
    MAX_HEADERS,
    BodyCounter,
    CatalogueIndex,
    ReceivedHead,
    admit_request,
    check_key,
)
from monsoonlug.catalogue import Catalogue, digest_key
from monsoonlug.exceptions import (
    BadRequest,
    BodyTooLarge,
    HeadersTooLarge,
    KeyRefused,
    MethodNotAllowed,
    MissingRoutingKey,
    MonsoonlugError,
    UnknownRoute,
)

KEY = "wk-0123456789abcdef"
OTHER_KEY = "wk-fedcba9876543210"
HOST_HEADER = (b"Host", b"router")
WORKSPACE_KEY_HEADER = (b"X-Workspace-Key", KEY.encode())
CHUNKED_HEADER = (b"Transfer-Encoding", b"chunked")
SETTINGS = settings(derandomize=True, database=None, deadline=None, max_examples=500)
FRAGMENTS = st.sampled_from(
    ["/lookup", "/open", "/", "a", "..", "%2e", "%", "%77", "?", "&", ";", "=", "+"]
    + ["workspace_key", "Workspace%5Fkey", "X-Workspace-Key", "Bearer ", ", ", "\t"]
    + ["Connection", "Authorization", "Referer", "Host", "X-A", "X_Workspace_Key"]
    + ["Idempotency-Key", "Content-Length", "1", "\u00e9", "\udcff", "\x00", KEY]
)
TEXTS = st.lists(FRAGMENTS, max_size=5).map("".join)
BYTES = TEXTS.map(lambda text: text.encode("utf-8", "surrogateescape"))


def make_route(name, prefix, **fields):
    return {"name": name, "owner": "ops", "prefix": prefix, "pool": "keyed", **fields}


@pytest.fixture(scope="module")
def index():
    limits = {"rate": 1, "burst": 1}
    routes = [
        make_route("lookup", "/lookup"),
        make_route("deep", "/lookup/deep", methods=["POST"], limits={"body": 10}),
        make_route("header", "/by-header", key_header="X-Room"),
        make_route("pooled", "/pay/", methods=["POST"], pool="pooled"),
        make_route("open", "/open", open=True),
    ]
    catalogue = Catalogue.model_validate(
        {
            "pools": [
                {"name": "keyed", "owner": "ops", "keyed": True},
                {"name": "pooled", "owner": "ops", "keyed": False},
            ],
            "workspaces": [
                {
                    "name": name,
                    "owner": "ops",
                    "limits": limits,
                    "key_digests": [digest_key(key)],
                }
                for name, key in (("lights", KEY), ("luz", OTHER_KEY))
            ],
            "routes": routes,
        }
    )
    return CatalogueIndex(revision=1, catalogue=catalogue)


@pytest.fixture
def admit(index):
    def admit_head(
        target="/lookup/a", *headers, method="GET", withdrawn=(), with_key=True
    ):
        first = (HOST_HEADER, WORKSPACE_KEY_HEADER) if with_key else (HOST_HEADER,)
        head = ReceivedHead(method=method, target=target, headers=(*first, *headers))
        return admit_request(head, index=index, withdrawn=withdrawn)

    return admit_head


@pytest.mark.parametrize(
    "method, target, headers, route, key",
    [
        ("GET", "/lookup/a%62/x?y=1", (), "lookup", "ab"),
        ("POST", "/lookup/deep/k", (), "deep", "k"),
        ("GET", "/lookup/deeper", (), "lookup", "deeper"),
        ("GET", "/look%75p/a", (), "lookup", "a"),
        ("GET", "/by-header", ((b"x-room", b"r1"),), "header", "r1"),
        ("POST", "/pay/x", (), "pooled", ""),
        ("POST", "/pay", (), "pooled", ""),
    ],
)
def test_longest_prefix_and_key_are_found(admit, method, target, headers, route, key):
    """Guards against a wrong route and against two routing keys for one path."""
    admitted = admit(target, *headers, method=method)
    assert (admitted.route.name, admitted.routing_key) == (route, key)
    assert (admitted.workspace, admitted.target) == ("lights", target)


@pytest.mark.parametrize(
    "method, target, error",
    [
        ("GET", "/", UnknownRoute),
        ("GET", "/lookups/a", UnknownRoute),
        ("GET", "/lookup/deep/k", MethodNotAllowed),
        ("POST", "/lookup/a", MethodNotAllowed),
        ("TRACE", "/lookup/a", MethodNotAllowed),
        ("get", "/lookup/a", MethodNotAllowed),
        ("GET", "/lookup", MissingRoutingKey),
        ("GET", "/lookup/", MissingRoutingKey),
        ("GET", "/by-header/a", MissingRoutingKey),
        ("GET", "/lookup/" + "k" * 513, BadRequest),
        ("GET", "/lookup/" + "k" * 9000, HeadersTooLarge),
        ("GET", "http://router/lookup/a", BadRequest),
        ("GET", "*", BadRequest),
        ("GET", "/lookup/a b", BadRequest),
        ("GET", "/lookup/a\r\nX: y", BadRequest),
        ("GET", "/lookup/\u00e9", BadRequest),
        ("GET", "/lookup/a#b", BadRequest),
        ("GET", "/open/../lookup/a", BadRequest),
        ("GET", "/open/%2e%2E/lookup/a", BadRequest),
        ("GET", "/open/..%2flookup/a", BadRequest),
        ("GET", "/open/..%5clookup/a", BadRequest),
        ("GET", "/open\\..\\lookup/a", BadRequest),
        ("GET", "//lookup/a", BadRequest),
        ("GET", "/lookup/%0d%0aX", BadRequest),
        ("GET", "/lookup/%ff", BadRequest),
        ("GET", "/lookup/%4", BadRequest),
    ],
)
def test_invalid_request_line_is_refused(admit, method, target, error):
    """Guards against targets that a backend server would parse differently."""
    with pytest.raises(error) as caught:
        admit(target, (b"X-Workspace-Key", KEY.encode()), method=method)
    assert type(caught.value) is error


@pytest.mark.parametrize(
    "headers",
    [
        ((b"Content-Length", b"3"), CHUNKED_HEADER),
        ((b"Content-Length", b"3"), (b"content-length", b"3")),
        ((b"Content-Length", b"3, 3"),),
        ((b"Content-Length", b"+3"),),
        ((b"Content-Length", b"-3"),),
        ((b"Content-Length", b"0x3"),),
        ((b"Content-Length", b""),),
        ((b"Content-Length", "\u0663".encode()),),
        ((b"Content-Length", b"9" * 16),),
        (CHUNKED_HEADER, CHUNKED_HEADER),
        ((b"Transfer-Encoding", b"gzip, chunked"),),
        ((b"Transfer-Encoding", b"xchunked"),),
        ((b"Transfer-Encoding", b"chunked\x0b"),),
        (HOST_HEADER,),
        ((b"X Y", b"1"),),
        ((b"Transfer-Encoding ", b"chunked"),),
        ((b"", b"1"),),
        ((b"X", b"a\nb: c"),),
        ((b"X", b"a\x00"),),
        ((b"X", b"a\x7f"),),
        ((b"X", b"\xff"),),
        ((b"Connection", b"close, Content-Length"),),
        ((b"Connection", b"Host"),),
        ((b"Connection", b"X-Workspace-Key"),),
        ((b"Idempotency-Key", b"a"), (b"Idempotency-Key", b"a")),
        ((b"Idempotency-Key", b""),),
        ((b"Idempotency-Key", b"a" * 256),),
        ((b"Idempotency-Key", KEY.encode()),),
        ((b"X-Workspace-Key", OTHER_KEY.encode()),),
        ((b"Authorization", b"Bearer " + OTHER_KEY.encode()),),
    ],
)
def test_invalid_headers_are_refused(admit, headers):
    """Guards against request smuggling by ambiguous or malformed headers."""
    with pytest.raises(BadRequest):
        admit("/lookup/a", *headers)


@pytest.mark.parametrize(
    "host", [b"", b"a b", b"a/b", b"a@b", b"a:b", b"a,b", b"[::1", b"a:123456"]
)
def test_bad_host_is_refused(index, host):
    """Guards against a Host header that proxies and servers parse differently."""
    for headers in ([(b"Host", host), WORKSPACE_KEY_HEADER], [WORKSPACE_KEY_HEADER]):
        head = ReceivedHead(method="GET", target="/lookup/a", headers=headers)
        with pytest.raises(BadRequest):
            admit_request(head, index=index, withdrawn=())


def test_routing_key_header_must_be_single_and_forwarded(admit):
    """Guards against a server that receives a routing key other than the router's."""
    room = (b"X-Room", b"r1")
    for other in ((b"x-room", b"r2"), (b"Connection", b"x-room")):
        with pytest.raises(BadRequest):
            admit("/by-header", room, other)


@pytest.mark.parametrize(
    "headers",
    [
        [(b"X-%d" % number, b"1") for number in range(MAX_HEADERS)],
        [(b"X", b"a" * MAX_HEADER_BYTES)],
    ],
)
def test_large_headers_are_refused(admit, headers):
    """Guards against unbounded memory use by a request's headers."""
    with pytest.raises(HeadersTooLarge):
        admit("/lookup/a", *headers)


def test_large_body_is_refused(admit):
    """Guards against bodies over the limit, with or without Content-Length."""
    with pytest.raises(BodyTooLarge):
        admit("/lookup/deep/k", (b"Content-Length", b"11"), method="POST")
    admitted = admit("/lookup/deep/k", CHUNKED_HEADER, method="POST")
    assert admitted.content_length is None
    counter = BodyCounter(limit=admitted.route.limits.body)
    counter.add(10)
    with pytest.raises(BodyTooLarge):
        counter.add(1)


@pytest.mark.parametrize(
    "target, headers, forwarded",
    [
        ("/lookup/a?workspace_key=" + KEY, (), "/lookup/a"),
        ("/lookup/a?b=1&workspace_key=" + KEY + "&c=%20", (), "/lookup/a?b=1&c=%20"),
        ("/lookup/a?Workspace%5Fkey=" + KEY + ";b=1", (), "/lookup/a?b=1"),
        ("/lookup/a?b;workspace_key=" + KEY, (), "/lookup/a?b"),
        ("/lookup/a", ((b"Authorization", b"bEARER  " + KEY.encode()),), "/lookup/a"),
        ("/lookup/a", (WORKSPACE_KEY_HEADER, WORKSPACE_KEY_HEADER), "/lookup/a"),
    ],
)
def test_workspace_key_is_removed_from_target_and_headers(
    admit, target, headers, forwarded
):
    """Guards against forwarding a workspace key to a backend server."""
    copies = (KEY.encode(), b"%77" + KEY[1:].encode())
    extra = [(b"Referer", b"http://x/?workspace_key=" + copy) for copy in copies]
    extra.append((b"X-A", b"1"))
    admitted = admit(target, *headers, *extra, with_key=False)
    assert admitted.workspace == "lights"
    assert admitted.target == forwarded
    assert admitted.headers == [("X-A", "1")]
    assert KEY not in repr(admitted)


def test_hop_by_hop_and_router_headers_are_removed(admit):
    """Guards against spoofed router headers and forwarded hop-by-hop headers."""
    names = (
        "Keep-Alive TE Trailer Upgrade Proxy-Authorization Proxy-Connection Expect "
        "X-Request-Id X-Workspace X_Workspace X-Fencing-Epoch X-Gate-Epoch X-Slice "
        "X-Deadline-Ms X-HTTP-Method-Override Authorization Content_Length X-Hop"
    )
    headers = [(name.encode(), b"1") for name in names.split()]
    connection = (b"Connection", b"close, X-Hop")
    kept = (b"Accept", "\u00e9".encode())
    admitted = admit("/lookup/a", connection, *headers, kept)
    assert admitted.headers == [("Accept", "\u00e9")]


@pytest.mark.parametrize(
    "target",
    [
        "/lookup/" + KEY,
        "/lookup/a?x=" + KEY,
        "/lookup/%77" + KEY[1:],
        "/lookup/a?x=%77" + KEY[1:],
    ],
)
def test_key_in_another_part_of_the_target_is_refused(admit, target):
    """Guards against forwarding a workspace key in the path or the query."""
    with pytest.raises(BadRequest) as caught:
        admit(target)
    assert KEY not in str(caught.value)


def test_only_keys_in_force_are_admitted(admit, index):
    """Guards against admitting withdrawn, unknown or missing workspace keys."""
    withdrawn = {digest_key(KEY)}
    admitted = admit()
    for send_request in (
        lambda: admit(withdrawn=withdrawn),
        lambda: admit("/lookup/a?workspace_key=none-such", with_key=False),
        lambda: admit(with_key=False),
        lambda: check_key(admitted.key_digest, index=index, withdrawn=withdrawn),
    ):
        with pytest.raises(KeyRefused):
            send_request()


def test_open_route_needs_no_key(admit):
    """Guards against an open route that needs a key or is charged to a workspace."""
    for with_key in (False, True):
        admitted = admit("/open/a", with_key=with_key)
        assert (admitted.workspace, admitted.key_digest) == (None, "")


def test_errors_and_representations_hold_no_key(index):
    """Guards against a workspace key in log lines and error responses."""
    targets = ["/x?workspace_key=" + KEY, "/lookup?workspace_key=" + KEY, "/" + KEY]
    for target in targets:
        head = ReceivedHead(
            method="GET", target=target, headers=[HOST_HEADER, WORKSPACE_KEY_HEADER]
        )
        assert KEY not in repr(head)
        with pytest.raises(MonsoonlugError) as caught:
            admit_request(head, index=index, withdrawn=())
        assert KEY not in repr(caught.value)


@SETTINGS
@given(TEXTS, st.lists(st.tuples(BYTES, BYTES), max_size=4))
def test_any_head_is_refused_or_forwarded_without_key(index, target, headers):
    """Guards against unexpected exceptions and against leaks of the workspace key."""
    headers = [HOST_HEADER, WORKSPACE_KEY_HEADER, *headers]
    head = ReceivedHead(method="GET", target="/lookup/a" + target, headers=headers)
    try:
        admitted = admit_request(head, index=index, withdrawn=())
    except MonsoonlugError as error:
        assert KEY not in str(error)
        return
    assert admitted.workspace == "lights"
    assert KEY not in unquote(repr(admitted)) and "\udcff" not in admitted.target
