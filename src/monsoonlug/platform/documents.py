"""Converts the JSON bodies of the platform's calls to and from the router's types.

Error messages quote only numbers and durations, as any other value may be an API key.
"""

import ipaddress
import json
import re

from monsoonlug.catalogue import digest_key
from monsoonlug.exceptions import BadRequest
from monsoonlug.heartbeats import LeaseGrant, ServerHeartbeat
from monsoonlug.ids import FailureDomain, PoolId, RouteId, ServerId, WorkspaceId
from monsoonlug.items import (
    MAX_RATE,
    MIN_RATE,
    Item,
    ItemKind,
    ItemRemoved,
    LimitsItem,
    PoolItem,
    RouteItem,
    WorkspaceItem,
    is_rate,
)
from monsoonlug.json_documents import InvalidJson, parse_json
from monsoonlug.keyranges import LAST_KEY
from monsoonlug.logs import get_logger
from monsoonlug.platform.fields import (
    JSON_TYPE_NAMES,
    MAX_COUNT,
    format_seconds,
    read_count,
    read_field,
    read_object,
    read_seconds,
    read_text,
    read_version,
)
from monsoonlug.rollout_calls import MAX_VERSION_LENGTH
from monsoonlug.rollout_messages import Rollout, RolloutState

_ITEM_KINDS = {
    "routes": ItemKind.ROUTE,
    "services": ItemKind.POOL,
    "tenants": ItemKind.WORKSPACE,
    "limits": ItemKind.LIMITS,
}
# The size of a route's responses is learned, so downloads need no mark of their own.
_IDEMPOTENT_BY_TYPE = {"safe": True, "unsafe": False, "download": True}
_STATE_NAMES = {
    RolloutState.RUNNING: "running",
    RolloutState.SUCCEEDED: "succeeded",
    RolloutState.ROLLED_BACK: "rolled_back",
}
_DRAINING_BY_STATE = {"ready": False, "draining": True}
MAX_HEARTBEAT_BYTES = 262_144
MAX_SLOTS = 65_536  # of one server
MAX_COLD_SECONDS = 86_400.0
# Text of a server that goes into headers, or into answers of at most 4 KiB.
_SERVER_NAME = re.compile(r"[!-~]{1,100}")
_HANDOVER = re.compile(r"[!-~]{0,64}")
_PORT = re.compile(r"[0-9]{1,5}")

logger = get_logger("interface")


def read_heartbeat(server: str, body: bytes) -> ServerHeartbeat:
    """Parses a heartbeat of a backend server.

    Raises:
        BadRequest: If a field is missing, of another type or has an unknown value.
    """
    name = read_server_name(server)
    if len(body) > MAX_HEARTBEAT_BYTES:
        raise BadRequest(f"the body is longer than {MAX_HEARTBEAT_BYTES} bytes")
    document = read_object(body)
    state = read_text(document, "state")
    if state not in _DRAINING_BY_STATE:
        raise BadRequest(
            f"the field state is not one of {', '.join(_DRAINING_BY_STATE)}"
        )
    address = read_text(document, "address")
    _check_address(address)
    return ServerHeartbeat(
        server=name,
        born=_read_born(document),
        sequence=read_count(document, "sequence"),
        pool=PoolId(read_text(document, "service")),
        address=address,
        failure_domain=FailureDomain(read_text(document, "zone")),
        slots=read_count(document, "capacity", minimum=1, maximum=MAX_SLOTS),
        draining=_DRAINING_BY_STATE[state],
        cold_seconds=_read_cold_seconds(document),
        held=_read_held_ranges(document),
        freed=_read_freed_ranges(document),
        version=_read_server_version(document),
    )


def read_order(body: bytes) -> tuple[PoolId, str, float]:
    """Parses the order of a rollout.

    Returns:
        The pool, the target version and the duration in seconds.

    Raises:
        BadRequest: If a field is missing or invalid.
    """
    document = read_object(body)
    pool = PoolId(read_text(document, "service"))
    version = read_text(document, "targetVersion")
    return pool, version, read_seconds(document, "duration")


def build_rollout(rollout: Rollout) -> bytes:
    """Builds the response body that describes a rollout."""
    state = _STATE_NAMES[rollout.state]
    return json.dumps({"state": state, "targetVersion": rollout.version}).encode()


def read_server_name(text: str) -> ServerId:
    """Checks the id of a server, which is sent to it in a header.

    Raises:
        BadRequest: If it cannot be the value of a header.
    """
    if not _SERVER_NAME.fullmatch(text):
        raise BadRequest(
            "the id of the server is not 1 to 100 visible ASCII characters"
        )
    return ServerId(text)


def build_heartbeat_answer(answer: LeaseGrant | None, url: str) -> bytes:
    """Builds the response body for a heartbeat."""
    document: dict = {"heartbeatUrl": url} if url else {}
    if answer is not None:
        document["holds"] = [
            [row.start, row.end, row.epoch, row.handover] for row in answer.ranges
        ]
        document["hold_time"] = format_seconds(answer.lease_time)
    return json.dumps(document, separators=(",", ":")).encode()


def read_patch(body: bytes) -> tuple[list[Item | ItemRemoved], list[str]]:
    """Parses a configuration patch.

    Returns:
        The changes, and the JSON text of each item as it was sent; empty for a removal.

    Raises:
        BadRequest: If any part of the patch is invalid.
    """
    document = read_object(body)
    changes: list[Item | ItemRemoved] = []
    sources = []
    for position, entry in enumerate(_read_entries(document.get("upsert", {}))):
        try:
            changes.append(_read_item(entry))
        except BadRequest as error:
            raise BadRequest(f"resources[{position}]: {error}") from None
        sources.append(json.dumps(entry, separators=(",", ":")))
    removed = _read_removals(document.get("remove", {}))
    return [*changes, *removed], [*sources, *([""] * len(removed))]


def collect_patch(body: bytes) -> tuple[list[Item | ItemRemoved], list[str]]:
    """Parses a configuration patch, or a list of all items, as far as it is valid.

    Returns:
        The valid changes, and why each of the others is invalid.
    """
    changes: list[Item | ItemRemoved] = []
    problems = []
    try:
        document = read_object(body)
        upsert = document if "resources" in document else document.get("upsert", {})
        entries = _read_entries(upsert)
        changes.extend(_read_removals(document.get("remove", {})))
    except BadRequest as error:
        return [], [str(error)]
    for position, entry in enumerate(entries):
        try:
            changes.append(_read_item(entry))
        except BadRequest as error:
            problems.append(f"resources[{position}]: {error}")
    return changes, problems


def get_kind_name(kind: ItemKind) -> str:
    """Returns the name of a kind of items in the platform's documents."""
    return next(name for name, other in _ITEM_KINDS.items() if other is kind)


def build_items(sources: list[tuple[ItemKind, str, str]]) -> bytes:
    """Builds the response body that lists all configured items.

    Earlier versions stored texts that are no JSON. These are left out, as the other
    items could not be read either.
    """
    entries = []
    for kind, name, text in sources:
        try:
            parse_json(text)
        except InvalidJson as error:
            logger.error(
                "The text of {} {!r} cannot be read ({}); send the item again.",
                get_kind_name(kind),
                name,
                error,
            )
            continue
        entries.append(text)
    return b'{"resources":[' + ",".join(entries).encode() + b"]}"


def _read_server_version(document: dict) -> str:
    if document.get("version", "") == "":
        return ""
    version = read_text(document, "version")
    if len(version) > MAX_VERSION_LENGTH:
        raise BadRequest(
            f"the field version is longer than {MAX_VERSION_LENGTH} characters"
        )
    return version


def _read_born(document: dict) -> int:
    # Not all servers send their start time; 0 stands for an unknown one.
    if "born" not in document:
        return 0
    return read_count(document, "born")


def _read_cold_seconds(document: dict) -> float:
    if "warmupLeft" not in document:
        return 0.0
    return min(read_seconds(document, "warmupLeft"), MAX_COLD_SECONDS)


def _read_ranges(document: dict, name: str, value_type: type) -> tuple:
    rows = document.get(name, [])
    if not isinstance(rows, list):
        raise BadRequest(f"the field {name} is not an array")
    ranges = []
    for row in rows:
        if not isinstance(row, list) or len(row) != 3:
            raise BadRequest(f"a row of the field {name} does not have three values")
        start, end, value = row
        types = (type(start), type(end), type(value))
        if types != (int, int, value_type) or not 0 <= start <= end <= LAST_KEY:
            raise BadRequest(
                f"a row of the field {name} is not "
                f"[start, end, {JSON_TYPE_NAMES[value_type]}] "
                f"with 0 <= start <= end <= {LAST_KEY}"
            )
        ranges.append((start, end, value))
    return tuple(ranges)


def _read_held_ranges(document: dict) -> tuple[tuple[int, int, int], ...]:
    rows = _read_ranges(document, "holds", int)
    if not all(0 <= epoch <= MAX_COUNT for _, _, epoch in rows):
        raise BadRequest(f"an epoch in the field holds is not in 0 to {MAX_COUNT}")
    return rows


def _read_freed_ranges(document: dict) -> tuple[tuple[int, int, str], ...]:
    rows = _read_ranges(document, "freed", str)
    if not all(_HANDOVER.fullmatch(handover) for _, _, handover in rows):
        raise BadRequest(
            "a handover in the field freed is not at most 64 visible ASCII characters"
        )
    return rows


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise BadRequest(
            "the field address does not begin with an IPv4 address"
        ) from None
    if not _PORT.fullmatch(port) or not 0 < int(port) < 65_536:
        raise BadRequest("the field address does not end with a port from 1 to 65535")


def _read_entries(upsert: object) -> list:
    if not isinstance(upsert, dict):
        raise BadRequest("the field upsert is not an object")
    entries = upsert.get("resources", [])
    if not isinstance(entries, list) or set(upsert) - {"resources"}:
        raise BadRequest("the field upsert may hold only an array named resources")
    return entries


def _read_item(entry: object) -> Item:
    if not isinstance(entry, dict):
        raise BadRequest("an element of resources is not an object")
    kind = _ITEM_KINDS.get(read_text(entry, "resourceType"))
    metadata = read_field(entry, "metadata", dict)
    spec = read_field(entry, "spec", dict)
    version = read_version(metadata)
    match kind:
        case ItemKind.ROUTE:
            return _read_route(read_text(metadata, "name"), version, spec)
        case ItemKind.POOL:
            return _read_pool(read_text(metadata, "name"), version, spec)
        case ItemKind.WORKSPACE:
            return _read_workspace(read_text(metadata, "name"), version, spec)
        case ItemKind.LIMITS:
            return _read_limits(version, spec)
    raise BadRequest(f"the field resourceType is not one of {', '.join(_ITEM_KINDS)}")


def _read_route(name: str, version: int, spec: dict) -> RouteItem:
    kind = read_text(spec, "type")
    if kind not in _IDEMPOTENT_BY_TYPE:
        raise BadRequest(
            f"the field type of a route is not one of {', '.join(_IDEMPOTENT_BY_TYPE)}"
        )
    prefix = read_text(spec, "pathPrefix")
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise BadRequest("the field pathPrefix does not begin and end with a slash")
    return RouteItem(
        name=RouteId(name),
        version=version,
        host=read_text(spec, "host"),
        prefix=prefix,
        idempotent=_IDEMPOTENT_BY_TYPE[kind],
        timeout=read_seconds(spec, "timeout"),
        objective=read_seconds(spec, "targetLatency"),
        priority=read_count(spec, "priority"),
        split=_read_split(spec),
        max_attempts=read_count(spec, "maxAttempts", minimum=1),
        open=read_field(spec, "public", bool) if "public" in spec else False,
    )


def _read_split(spec: dict) -> list[list]:
    if "trafficSplit" not in spec:
        return [[read_text(spec, "service"), 1]]
    rows = read_field(spec, "trafficSplit", list)
    split = []
    for row in rows:
        if not isinstance(row, dict):
            raise BadRequest("an element of trafficSplit is not an object")
        split.append([read_text(row, "service"), read_count(row, "weight")])
    if not any(weight for _, weight in split):
        raise BadRequest("the field trafficSplit has no element with a weight above 0")
    return split


def _read_rate(spec: dict, name: str) -> float:
    rate = spec.get(name, 0)
    is_number = isinstance(rate, int | float) and not isinstance(rate, bool)
    if not is_number or not is_rate(rate):
        raise BadRequest(
            f"the field {name} is not 0 or a number from {MIN_RATE:g} to {MAX_RATE:g}"
        )
    return float(rate)


def _read_pool(name: str, version: int, spec: dict) -> PoolItem:
    keyed = read_field(spec, "sharded", bool) if "sharded" in spec else False
    return PoolItem(
        name=PoolId(name),
        version=version,
        keyed=keyed,
        connections=read_count(spec, "maxConnections", minimum=1),
        cold_seconds=read_seconds(spec, "warmup") if "warmup" in spec else 0.0,
        cold_rate=_read_rate(spec, "warmupPerS"),
        health_path=read_text(spec, "healthPath") if "healthPath" in spec else "",
    )


def _read_workspace(name: str, version: int, spec: dict) -> WorkspaceItem:
    keys = read_field(spec, "apiKeys", list)
    if not all(isinstance(key, str) and key for key in keys):
        raise BadRequest("the field apiKeys is not an array of non-empty strings")
    return WorkspaceItem(
        name=WorkspaceId(name),
        version=version,
        key_digests=[digest_key(key) for key in keys],
        priority=read_count(spec, "priority") if "priority" in spec else -1,
        rate=_read_rate(spec, "ratePerS"),
        burst=read_count(spec, "burst") if "burst" in spec else 0,
    )


def _read_limits(version: int, spec: dict) -> LimitsItem:
    return LimitsItem(
        name="",
        version=version,
        header_bytes=read_count(spec, "maxHeaderBytes", minimum=1),
        body_bytes=read_count(spec, "maxBodyBytes"),
        header_timeout=read_seconds(spec, "headerTimeout"),
        idle_timeout=read_seconds(spec, "idleTimeout"),
    )


def _read_removals(removed: object) -> list[ItemRemoved]:
    if not isinstance(removed, dict):
        raise BadRequest("the field remove is not an object")
    changes = []
    for name, rows in removed.items():
        kind = _ITEM_KINDS.get(name)
        if kind is None or not isinstance(rows, list):
            raise BadRequest(
                f"the field remove may hold only arrays named {', '.join(_ITEM_KINDS)}"
            )
        for row in rows:
            if not isinstance(row, dict):
                raise BadRequest(
                    f"an element of {name} in the field remove is not an object"
                )
            changes.append(
                ItemRemoved(
                    kind=kind, name=read_text(row, "name"), version=read_version(row)
                )
            )
    return changes
