"""Tests of the platform adapter: documents, headers, settings and its isolation."""

import ast
import asyncio
import json
import re
from collections import Counter
from pathlib import Path

import pytest

from monsoonlug.exceptions import BadRequest, InvalidFile
from monsoonlug.heartbeats import LeaseGrant
from monsoonlug.items import ItemKind, ItemRemoved, RouteItem
from monsoonlug.keyranges import KeyRange
from monsoonlug.platform.documents import (
    build_heartbeat_answer,
    build_items,
    build_rollout,
    read_heartbeat,
    read_order,
    read_patch,
)
from monsoonlug.platform.headers import PlatformCallerProtocol
from monsoonlug.platform.settings import NodeFile
from monsoonlug.rollout_decisions import RolloutLimits
from monsoonlug.rollout_messages import Rollout, RolloutState
from tests.platform_fleet import PlatformFleet

SOURCE_FOLDER = Path(__file__).parent.parent / "src" / "monsoonlug"
WIRE_NAME_PATTERN = re.compile(
    r"X-Monsoonlug|Instances\.|Config\.(Patch|Get)|Evacuations|warmupLeft|apiKeys"
    r"|Rollouts\.|targetVersion|exposeShare|exposeSlack"
    r"|maxAttempts|trafficSplit|ratePerS|heartbeatUrl|resourceType|pathPrefix"
)

HEARTBEAT = {
    "service": "desk",
    "address": "10.0.0.9:8080",
    "zone": "east",
    "version": "v1",
    "capacity": 2,
    "state": "ready",
    "warmupLeft": "1500ms",
    "sequence": 4,
    "born": 1700000000000,
    "holds": [[0, 9, 7]],
    "freed": [[10, 19, "token"]],
}


def list_modules():
    return [path for path in SOURCE_FOLDER.glob("*.py")]


def build_resource(kind, name, spec, version="0000000c"):
    metadata = {"version": version} | ({"name": name} if name else {})
    return {"resourceType": kind, "metadata": metadata, "spec": spec}


def build_route_spec(**changes):
    return {
        "host": "a.example",
        "pathPrefix": "/a/",
        "type": "safe",
        "timeout": "1500ms",
        "targetLatency": "0.6s",
        "priority": 2,
        "service": "desk",
        "maxAttempts": 2,
        "public": False,
    } | changes


def build_patch(*resources, remove=None):
    return json.dumps(
        {"upsert": {"resources": list(resources)}, "remove": remove or {}}
    ).encode()


def test_router_does_not_import_the_adapter():
    """Guards against router code that depends on the platform."""
    for path in list_modules():
        for node in ast.walk(ast.parse(path.read_text())):
            names = []
            if isinstance(node, ast.ImportFrom):
                names = [node.module or ""]
            elif isinstance(node, ast.Import):
                names = [alias.name for alias in node.names]
            assert not any(name.startswith("monsoonlug.platform") for name in names)


def test_wire_names_occur_only_in_the_adapter():
    """Guards against names of the platform's formats in router code."""
    for path in list_modules():
        assert not WIRE_NAME_PATTERN.search(path.read_text()), path.name


def test_adapter_is_below_a_tenth_of_the_source():
    """Guards against logic that moves into the adapter."""
    adapter = sum(
        len(path.read_text().splitlines())
        for path in SOURCE_FOLDER.glob("platform/*.py")
    )
    router = sum(len(path.read_text().splitlines()) for path in list_modules())
    assert adapter < (adapter + router) / 10


def test_heartbeat_is_parsed():
    """Guards against fields that are mixed up."""
    heartbeat = read_heartbeat("i-1", json.dumps(HEARTBEAT).encode())
    assert heartbeat.server == "i-1"
    assert (heartbeat.pool, heartbeat.failure_domain, heartbeat.slots) == (
        "desk",
        "east",
        2,
    )
    assert (heartbeat.sequence, heartbeat.born, heartbeat.cold_seconds) == (
        4,
        1700000000000,
        1.5,
    )
    assert heartbeat.held == ((0, 9, 7),)
    assert heartbeat.freed == ((10, 19, "token"),)
    assert not heartbeat.draining
    assert heartbeat.version == "v1"


def test_heartbeat_without_a_version_is_accepted():
    """Guards against a server of an earlier day that cannot register any more."""
    document = {name: HEARTBEAT[name] for name in HEARTBEAT if name != "version"}
    assert read_heartbeat("i-1", json.dumps(document).encode()).version == ""


def test_order_is_parsed():
    """Guards against an order of another pool, version or duration."""
    order = {"service": "desk", "targetVersion": "v2", "duration": "12s"}
    assert read_order(json.dumps(order).encode()) == ("desk", "v2", 12.0)
    for name in order:
        with pytest.raises(BadRequest):
            read_order(json.dumps(order | {name: 7}).encode())


@pytest.mark.parametrize("state", RolloutState)
def test_rollout_is_described(state):
    """Guards against a state that the platform does not know."""
    rollout = Rollout(
        pool="desk",
        version="v2",
        number=1,
        ordered_at_ms=1,
        duration=12.0,
        state=state,
        share=0.0,
    )
    body = json.loads(build_rollout(rollout))
    assert body == {"state": state.value, "targetVersion": "v2"}


def build_control(folder, *bounds):
    path = folder / "node.json"
    settings = {
        "ip": "10.0.0.1",
        "dataDir": "data",
        "bootstrap": True,
        "seeds": [],
        "internalPortRange": [7000, 7010],
        "bounds": list(bounds),
    }
    path.write_text(json.dumps(settings))
    return NodeFile(path).build_control()


def test_bounds_of_rollouts_are_read(tmp_path):
    """Guards against rollouts in a deployment that does not ask for them."""
    assert build_control(tmp_path, "grace=6s", "rollback=5000ms").rollouts is None
    limits = build_control(
        tmp_path, "exposeShare=0.2", "exposeSlack=30", "rollback=4000ms"
    ).rollouts
    assert limits == RolloutLimits(expose_share=0.2, expose_slack=30, rollback=4.0)
    for bound in ("exposeShare=1.5", "exposeShare=some", "exposeShare=nan"):
        with pytest.raises(InvalidFile):
            build_control(tmp_path, bound)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "dancing"},
        {"state": None},
        {"service": 7},
        {"capacity": "two"},
        {"capacity": 0},
        {"capacity": True},
        {"sequence": 1.5},
        {"address": "nowhere"},
        {"warmupLeft": 15},
        {"warmupLeft": "soon"},
        {"holds": [[0, 9]]},
        {"holds": [[9, 0, 7]]},
        {"holds": "all"},
        {"freed": [[0, 70000, "token"]]},
        {"born": "today"},
        {"version": 7},
        {"version": None},
        {"version": "\ud800"},
    ],
    ids=str,
)
def test_invalid_heartbeats_are_rejected(change):
    """Guards against registering a server from a malformed heartbeat."""
    with pytest.raises(BadRequest):
        read_heartbeat("i-1", json.dumps(HEARTBEAT | change).encode())


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"\xff\xfe", b"null"])
def test_malformed_bodies_are_rejected(body):
    """Guards against a malformed body that is not reported to its sender."""
    with pytest.raises(BadRequest):
        read_heartbeat("i-1", body)
    with pytest.raises(BadRequest):
        read_patch(body)


def test_heartbeat_answer_lists_ranges_with_handover_tokens():
    """Guards against a new holder that starts without its predecessor's state."""
    rows = [KeyRange(start=0, end=9, owner="i-1", epoch=12, handover="token")]
    body = build_heartbeat_answer(LeaseGrant(ranges=rows, lease_time=4.0), "http://x/y")
    assert json.loads(body) == {
        "heartbeatUrl": "http://x/y",
        "holds": [[0, 9, 12, "token"]],
        "hold_time": "4000ms",
    }
    assert json.loads(build_heartbeat_answer(None, "")) == {}


def test_heartbeat_answer_stays_below_the_size_limit_of_servers():
    """Guards against an answer that is too large for a server to read."""
    rows = [
        KeyRange(start=60000 + i, end=60000 + i, owner="i", epoch=10**6, handover="f")
        for i in range(64)
    ]
    assert len(build_heartbeat_answer(LeaseGrant(ranges=rows), "http://x" * 8)) < 4096


def test_patch_is_parsed_and_its_source_is_kept():
    """Guards against items that are read back differently than they were sent."""
    route = build_resource("routes", "r1", build_route_spec(note="kept"))
    changes, sources = read_patch(
        build_patch(route, remove={"routes": [{"name": "r2", "version": "00000010"}]})
    )
    assert isinstance(changes[0], RouteItem)
    assert (changes[0].version, changes[0].timeout) == (12, 1.5)
    assert changes[0].objective == 0.6
    assert changes[1] == ItemRemoved(kind=ItemKind.ROUTE, name="r2", version=16)
    rows = [(ItemKind.ROUTE, "r1", sources[0])]
    assert json.loads(build_items(rows)) == {"resources": [route]}


@pytest.mark.parametrize(
    "spec",
    [
        build_route_spec(maxAttempts=0),
        build_route_spec(host=""),
        build_route_spec(type="maybe"),
        build_route_spec(timeout="1500"),
        build_route_spec(trafficSplit=[{"service": "desk"}]),
        build_route_spec(trafficSplit=[]),
        build_route_spec(pathPrefix="a"),
        {},
    ],
)
def test_invalid_routes_are_rejected(spec):
    """Guards against accepting a configuration that cannot be served."""
    with pytest.raises(BadRequest):
        read_patch(build_patch(build_resource("routes", "r1", spec)))


def test_caller_headers_are_parsed():
    """Guards against deadlines and keys that are mixed up."""
    callers = PlatformCallerProtocol()
    found = callers.read_headers(
        {
            "x-monsoonlug-request-id": ["9c41"],
            "x-monsoonlug-deadline-ms": ["1500"],
            "x-monsoonlug-shard-key": ["0"],
            "authorization": ["Bearer secret"],
        }
    )
    assert (found.request_id, found.timeout) == ("9c41", 1.5)
    assert (found.routing_key, found.workspace_keys) == (0, ("secret",))
    assert "x-monsoonlug-tenant-id" in callers.reserved_headers


def test_all_workspace_keys_are_reported():
    """Guards against a choice among keys that two hosts could make differently.

    More than one key is refused by `authenticate`, but only where keys are needed.
    """
    named = {"authorization": ["Bearer b", "Basic x", "Bearer a", "Bearer b"]}
    assert PlatformCallerProtocol().read_headers(named).workspace_keys == ("a", "b")


@pytest.mark.parametrize(
    ("kind", "idempotent"), [("safe", True), ("unsafe", False), ("download", True)]
)
def test_requests_of_some_types_may_run_twice(kind, idempotent):
    """Guards against a request that is repeated although it may run only once."""
    patch = build_patch(build_resource("routes", "r1", build_route_spec(type=kind)))
    assert read_patch(patch)[0][0].idempotent is idempotent


@pytest.mark.parametrize(
    "named",
    [
        {"x-monsoonlug-deadline-ms": ["soon"]},
        {"x-monsoonlug-shard-key": ["1", "2"]},
    ],
)
def test_malformed_headers_are_rejected(named):
    """Guards against ambiguous headers that two hosts could read differently."""
    with pytest.raises(BadRequest):
        PlatformCallerProtocol().read_headers(named)


def test_all_settings_errors_are_reported_at_once(tmp_path):
    """Guards against a check that stops at the first invalid setting."""
    path = tmp_path / "node.json"
    path.write_text(json.dumps({"zone": 7, "heartbeat": "often"}))
    with pytest.raises(InvalidFile) as caught:
        NodeFile(path).build_entry()
    paths = {problem.path for problem in caught.value.problems}
    assert {"$.zone", "$.nodeName", "$.ip", "$.listen.front"} <= paths


@pytest.mark.parametrize(
    ("group", "name"),
    [
        ("limits", "memoryMb"),
        ("limits", "maxFds"),
        ("clientLimits", "memoryMb"),
        ("clientLimits", "connections"),
    ],
)
@pytest.mark.parametrize("value", [0, -1, "96", True, [], 10**12, 1e99])
def test_invalid_limits_of_clients_are_reported(tmp_path, group, name, value):
    """Guards against limits of clients that have no effect, or refuse everyone."""
    path = tmp_path / "node.json"
    path.write_text(json.dumps({group: {name: value}}))
    with pytest.raises(InvalidFile) as caught:
        NodeFile(path).build_entry()
    assert f"$.{group}.{name}" in {problem.path for problem in caught.value.problems}


async def test_requests_without_ids_of_two_entries_are_told_apart(tmp_path):
    """Guards against two requests at one gate that have the same id.

    Both entries count their requests from one, and these callers name no id.
    """
    async with PlatformFleet(
        tmp_path, entries=("east", "east"), servers=("east",), service_time=0.05
    ) as fleet:
        await asyncio.gather(
            *(fleet.send(fleet.entries[0], "/warm/", request_id="") for _ in range(2))
        )
        tasks = []
        for _ in range(20):
            for entry in fleet.entries:
                task = fleet.send(entry, "/lookup/", request_id="", deadline=5.0)
                tasks.append(asyncio.create_task(task))
            await asyncio.sleep(0.04)
        statuses = Counter(await asyncio.gather(*tasks))
        assert statuses.keys() <= {200, 503}, statuses
        assert statuses[200] > 30
