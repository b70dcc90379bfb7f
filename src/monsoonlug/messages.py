"""Typed messages between the system's processes and their msgpack codec."""

import dataclasses
import typing
from dataclasses import dataclass
from enum import Enum

import msgpack

from monsoonlug.exceptions import DamagedFrame

PROTOCOL_VERSION = 1
MAX_FRAME = 1_048_576  # bytes

_types_by_number: dict[int, type] = {}
_numbers_by_type: dict[type, int] = {}
_checks_by_type: dict[type, list[tuple[str, tuple[type, ...], type | None]]] = {}


def register(number: int):
    """Registers a dataclass as the message with this type number.

    Fields may be of the types that msgpack carries, or enums.
    """

    def add(kind: type) -> type:
        if number in _types_by_number:
            raise ValueError(f"message number {number} is taken")
        _types_by_number[number] = kind
        _numbers_by_type[kind] = number
        _checks_by_type[kind] = _list_checks(kind)
        return kind

    return add


def encode(message: object) -> bytes:
    """Returns the body of the frame that carries a message."""
    values = [_numbers_by_type[type(message)]]
    for name, _, enum in _checks_by_type[type(message)]:
        value = getattr(message, name)
        values.append(value.value if enum else value)
    return msgpack.packb(values)


def decode(body: bytes) -> object:
    """Returns the message in a frame's body.

    >>> decode(encode(Cancel(stream=1)))
    Cancel(stream=1)

    Raises:
        DamagedFrame: If the body is no known message.
    """
    try:
        values = msgpack.unpackb(body, use_list=True, strict_map_key=False)
        kind = _types_by_number[values[0]]
        checks = _checks_by_type[kind]
        if len(values) != len(checks) + 1:
            raise DamagedFrame(f"{kind.__name__} has {len(values) - 1} fields")
        fields = {}
        for (name, allowed, enum), value in zip(checks, values[1:], strict=True):
            if enum:
                value = enum(value)
            elif not isinstance(value, allowed):
                raise DamagedFrame(f"{kind.__name__}.{name} has a wrong type")
            fields[name] = value
        return kind(**fields)
    except (ValueError, TypeError, KeyError, IndexError) as error:
        raise DamagedFrame(f"frame cannot be decoded: {error!r}") from error


def _list_checks(kind: type) -> list[tuple[str, tuple[type, ...], type | None]]:
    hints = typing.get_type_hints(kind)
    checks = []
    for field in dataclasses.fields(kind):
        hint = hints[field.name]
        if isinstance(hint, type) and issubclass(hint, Enum):
            checks.append((field.name, (), hint))
            continue
        checks.append((field.name, _list_allowed(hint), None))
    return checks


def _list_allowed(hint: object) -> tuple[type, ...]:
    while hasattr(hint, "__supertype__"):
        hint = hint.__supertype__
    if hint is float:
        return (float, int)
    origin = typing.get_origin(hint)
    if origin in (list, tuple):
        return (list, tuple)
    if origin is not None and origin is not dict:
        return sum((_list_allowed(part) for part in typing.get_args(hint)), ())
    return (origin or hint,)


@register(1)
@dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """First frame of every stream."""

    version: int
    role: str
    sender: str


@register(10)
@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Asks the leader to renew the session of a host.

    Attributes:
        sequence: Grows with each heartbeat of this process.
        revision: Revision of the sender's view.
        closed: Answers up to this sequence are ignored from now on.
        dropped_term: The sender holds and takes no tokens of terms before this one.
        holdings: Tokens spent and held, as a pair for each workspace.
        wanted: Urgent and spare tokens wanted, as a pair for each workspace.
        hot_slices: Rows of pool, slice and requests per second, the hottest first.
        hot_keys: Rows of pool, key hash and requests per second, the hottest first.
        leaving: Whether the host is shutting down and wants its gates moved.
    """

    sequence: int
    host: str
    failure_domain: str
    stream: str
    announce: str
    boot: str
    revision: int
    closed: int
    dropped_term: int
    holdings: dict
    wanted: dict
    hot_slices: list
    hot_keys: list
    leaving: bool


@register(11)
@dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatAnswer:
    """Confirms a heartbeat after a majority confirmed the leader.

    Attributes:
        commit_revision: Revision that was committed when the round was confirmed.
        tokens: Tokens granted, by workspace.
        refusals: Seconds until a token can be had, by workspace without one.
    """

    sequence: int
    term: int
    commit_revision: int
    tokens: dict
    refusals: dict


@register(12)
@dataclass(frozen=True, slots=True, kw_only=True)
class TokenAsk:
    """Asks the leader for tokens between two heartbeats; see `Heartbeat`.

    Attributes:
        sequence: Grows with each heartbeat or ask of this process.
    """

    sequence: int
    host: str
    boot: str
    closed: int
    dropped_term: int
    holdings: dict
    wanted: dict


@register(13)
@dataclass(frozen=True, slots=True, kw_only=True)
class TokenAnswer:
    """Answers a `TokenAsk`."""

    sequence: int
    term: int
    tokens: dict
    refusals: dict


@register(14)
@dataclass(frozen=True, slots=True, kw_only=True)
class Redirect:
    """Says that the sender is not the leader, and who may be (or an empty name)."""

    leader: str


@register(15)
@dataclass(frozen=True, slots=True, kw_only=True)
class DeltaPush:
    """Carries one packed delta of the view."""

    delta: bytes


@register(16)
@dataclass(frozen=True, slots=True, kw_only=True)
class ViewPush:
    """Carries a part of a packed view; the view is whole after the last part."""

    revision: int
    last: bool
    data: bytes


@register(17)
@dataclass(frozen=True, slots=True, kw_only=True)
class ServerSeen:
    """Reports an announcement of a backend server to the leader."""

    server: str
    pool: str
    address: str
    failure_domain: str
    boot: str
    phase: str


@register(18)
@dataclass(frozen=True, slots=True, kw_only=True)
class ServerLost:
    """Reports that a server's process is proved gone or that its grant ran out.

    Attributes:
        gate_epoch: Epoch of the sender's appointment as gate.
    """

    server: str
    boot: str
    gate_epoch: int


@register(19)
@dataclass(frozen=True, slots=True, kw_only=True)
class Released:
    """Reports that a server no longer acts on slices.

    Attributes:
        slices: Slice numbers.
        epochs: Their epochs, in the same order.
    """

    server: str
    pool: str
    slices: list
    epochs: list


@register(20)
@dataclass(frozen=True, slots=True, kw_only=True)
class GateReleased:
    """Reports that the sender no longer acts as the gate of a server."""

    server: str
    gate_epoch: int


@register(25)
@dataclass(frozen=True, slots=True, kw_only=True)
class KeysReleased:
    """Reports that a server no longer acts on hot keys.

    Attributes:
        keys: Key hashes.
        epochs: Their epochs, in the same order.
    """

    server: str
    pool: str
    keys: list
    epochs: list


@register(26)
@dataclass(frozen=True, slots=True, kw_only=True)
class BackupReady:
    """Reports that the backup of a record shard has a copy of all records."""

    shard: int
    epoch: int


@register(21)
@dataclass(frozen=True, slots=True, kw_only=True)
class ReportAsk:
    """Asks an entry for its service-level counts."""

    number: int


@register(22)
@dataclass(frozen=True, slots=True, kw_only=True)
class ReportAnswer:
    """Answers a `ReportAsk` with plain values of a `HostReport`."""

    number: int
    host: str
    report: dict


@register(30)
@dataclass(frozen=True, slots=True, kw_only=True)
class RequestHead:
    """Opens a request at the gate of a backend server.

    Attributes:
        stream: Number of the request on this connection.
        revision: Revision of the view that the sender routed on.
        slice: Slice of the routing key, or -1 on a pooled route.
        slice_epoch: Epoch of the slice or of the key's override.
        key_hash: Hash of the routing key if the key has an override.
        key_digest: Digest of the workspace key, or empty on an open route.
        remaining: Seconds left until the request's deadline.
        pool: Pool of the request if its gate serves announced servers, or empty.
        objective: Seconds left until an answer is late.
        idempotent: Whether the request may run more than once.
    """

    stream: int
    request: str
    server: str
    gate_epoch: int
    revision: int
    slice: int
    slice_epoch: int
    key_hash: int | None
    route: str
    workspace: str
    request_class: int
    key_digest: str
    remaining: float
    method: str
    target: str
    headers: list
    idempotency_key: str
    has_body: bool
    pool: str = ""
    objective: float = 0.0
    idempotent: bool = False


@register(31)
@dataclass(frozen=True, slots=True, kw_only=True)
class RequestBody:
    """A part of a request's body."""

    stream: int
    data: bytes
    last: bool


@register(32)
@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead:
    """Status and headers of an answer, with its body if that is whole and small.

    Attributes:
        data: The whole body if `last`, otherwise empty.
        last: Whether the answer is whole; otherwise its body follows.
        wait: Seconds until a new request would be answered by the same gate.
    """

    stream: int
    request: str
    status: int
    headers: list
    data: bytes
    last: bool
    wait: float = 0.0


@register(33)
@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseBody:
    """A part of an answer's body.

    Attributes:
        offset: Bytes of the body before this part.
        last: Whether the answer is whole after this part.
    """

    stream: int
    offset: int
    data: bytes
    last: bool


@register(34)
@dataclass(frozen=True, slots=True, kw_only=True)
class RequestFailed:
    """Ends a request without a whole answer.

    Attributes:
        code: Code of the error.
        retry_after: Seconds, or a negative number if unknown.
    """

    stream: int
    request: str
    code: str
    ran: str
    retry_after: float
    text: str


@register(35)
@dataclass(frozen=True, slots=True, kw_only=True)
class Cancel:
    """Says that the caller no longer waits."""

    stream: int


@register(36)
@dataclass(frozen=True, slots=True, kw_only=True)
class Credit:
    """Allows the peer to send more bytes of a body."""

    stream: int
    size: int
