"""Messages exchanged between processes, and their msgpack encoding.

A message is encoded as an array: its type number, followed by the values of its
fields in order. Type numbers, the order of fields and their types must not change. A
field that is added at the end needs a default, which stands for it in older messages.
Later versions may add fields, which are ignored here.
"""

import dataclasses
import typing
import zlib
from dataclasses import dataclass
from enum import Enum

import msgpack

from monsoonlug.exceptions import DamagedFrame, UnknownMessage

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 1_048_576
MAX_REASON_LENGTH = 100  # characters of an error
MIN_COMPRESSED_BYTES = 1_024  # of a message that is sent to many entries
MAX_DECOMPRESSED_BYTES = 2 * MAX_FRAME_BYTES
COMPRESSION_LEVEL = 6

# Name, allowed types and, for an enum, its class, which replaces the allowed types.
FieldCheck = tuple[str, tuple[type, ...], type | None]

_types_by_number: dict[int, type] = {}
_numbers_by_type: dict[type, int] = {}
_checks_by_type: dict[type, list[FieldCheck]] = {}
# Fields before the first one with a default.
_required_counts_by_type: dict[type, int] = {}


def register(number: int):
    """Returns a class decorator that registers a dataclass under a type number.

    Its fields must have types that msgpack can serialize, or be enums.

    Raises:
        ValueError: If the number is already registered (raised by the decorator).
    """

    def add(message_type: type) -> type:
        if number in _types_by_number:
            raise ValueError(
                f"message number {number} is already registered for "
                f"{_types_by_number[number].__name__}"
            )
        _types_by_number[number] = message_type
        _numbers_by_type[message_type] = number
        _checks_by_type[message_type] = _list_field_checks(message_type)
        _required_counts_by_type[message_type] = _count_required(message_type)
        return message_type

    return add


def encode(message: object) -> bytes:
    """Serializes a message as the body of a frame."""
    values = [_numbers_by_type[type(message)]]
    for name, _, enum in _checks_by_type[type(message)]:
        value = getattr(message, name)
        values.append(value.value if enum else value)
    return msgpack.packb(values)


def decode(body: bytes) -> object:
    """Returns the message in the body of a frame.

    >>> decode(encode(Cancel(stream=1)))
    Cancel(stream=1)

    Raises:
        DamagedFrame: If the body is not a valid message.
        UnknownMessage: If its type is not registered.
    """
    try:
        values = msgpack.unpackb(body, use_list=True, strict_map_key=False)
        if isinstance(values[0], int) and values[0] not in _types_by_number:
            raise UnknownMessage(f"message number {values[0]} is not known")
        message_type = _types_by_number[values[0]]
        checks = _checks_by_type[message_type]
        # Stored messages of earlier versions lack the fields that were added at the end
        # with a default.
        required = _required_counts_by_type[message_type]
        if len(values) <= required:
            raise DamagedFrame(
                f"{message_type.__name__} has {len(values) - 1} fields; "
                f"expected at least {required}"
            )
        fields = {}
        for (name, allowed, enum), value in zip(checks, values[1:], strict=False):
            if enum:
                value = enum(value)
            elif not isinstance(value, allowed):
                expected = " or ".join(item.__name__ for item in allowed)
                raise DamagedFrame(
                    f"{message_type.__name__}.{name} is of type "
                    f"{type(value).__name__}; expected {expected}"
                )
            fields[name] = value
        message = message_type(**fields)
    except (ValueError, TypeError, KeyError, IndexError) as error:
        # The text of some errors quotes the frame.
        reason = repr(error)[:MAX_REASON_LENGTH]
        raise DamagedFrame(f"frame cannot be decoded: {reason}") from None
    return _decompress(message) if isinstance(message, Compressed) else message


def encode_compressed(message: object) -> bytes:
    """Serializes a message like `encode`, compressed if it is large.

    >>> decode(encode_compressed(Redirect(leader="c" * 10_000))).leader[:3]
    'ccc'
    """
    body = encode(message)
    if len(body) < MIN_COMPRESSED_BYTES:
        return body
    return encode(Compressed(data=zlib.compress(body, COMPRESSION_LEVEL)))


def _decompress(message: "Compressed") -> object:
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(message.data, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise DamagedFrame(f"compressed frame cannot be decoded: {error}") from error
    if not decompressor.eof:
        raise DamagedFrame(
            "compressed frame is incomplete or exceeds the limit of "
            f"{MAX_DECOMPRESSED_BYTES} bytes"
        )
    inner = decode(body)
    if isinstance(inner, Compressed):
        raise DamagedFrame("a compressed frame contains another one")
    return inner


def _count_required(message_type: type) -> int:
    count = 0
    for field in dataclasses.fields(message_type):
        has_factory = field.default_factory is not dataclasses.MISSING
        if has_factory or field.default is not dataclasses.MISSING:
            break
        count += 1
    return count


def _list_field_checks(message_type: type) -> list[FieldCheck]:
    hints = typing.get_type_hints(message_type)
    checks = []
    for field in dataclasses.fields(message_type):
        hint = hints[field.name]
        if isinstance(hint, type) and issubclass(hint, Enum):
            checks.append((field.name, (), hint))
            continue
        checks.append((field.name, _list_allowed_types(hint), None))
    return checks


def _list_allowed_types(hint: object) -> tuple[type, ...]:
    while hasattr(hint, "__supertype__"):  # a NewType
        hint = hint.__supertype__
    if hint is float:
        return (float, int)
    origin = typing.get_origin(hint)
    if origin in (list, tuple):
        return (list, tuple)
    if origin is not None and origin is not dict:
        return sum((_list_allowed_types(part) for part in typing.get_args(hint)), ())
    return (origin or hint,)


@register(2)
@dataclass(frozen=True, slots=True, kw_only=True)
class Compressed:
    """Another encoded message, compressed with zlib."""

    data: bytes


@register(1)
@dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """First frame of every stream.

    Attributes:
        version: `PROTOCOL_VERSION` of the sender.
        role: Kind of stream that the sender opens.
        sender: Name of the sending process.
    """

    version: int
    role: str
    sender: str


@register(10)
@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Asks the leader to renew the session of a host; also requests tokens.

    Attributes:
        sequence: Sequence number, incremented by each message of this process.
        stream: Address at which the host accepts streams.
        announce: Address at which the host accepts announcements.
        boot: Identifies the process.
        revision: Revision of the sender's view.
        closed: The sender ignores responses up to this sequence number from now on.
        dropped_term: The sender holds and accepts no tokens of terms before this one.
        holdings: Tokens spent and held, as a pair for each workspace.
        wanted: Urgent and prefetched tokens requested, as a pair for each workspace.
        hot_slices: Rows of pool, slice and requests per second, by descending rate.
        hot_keys: Rows of pool, key hash and requests per second, by descending rate.
        leaving: Whether the host is shutting down and its gates must move.
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
class HeartbeatResponse:
    """Response to a heartbeat, sent after a majority confirmed the leader.

    Attributes:
        commit_revision: Revision that was committed when the round was confirmed.
        tokens: Tokens granted, by workspace.
        retry_after: Seconds until the next token is available, by workspace that lacks
            tokens.
    """

    sequence: int
    term: int
    commit_revision: int
    tokens: dict
    retry_after: dict


@register(12)
@dataclass(frozen=True, slots=True, kw_only=True)
class TokenRequest:
    """Requests tokens between two heartbeats; the fields are those of `Heartbeat`."""

    sequence: int
    host: str
    boot: str
    closed: int
    dropped_term: int
    holdings: dict
    wanted: dict


@register(13)
@dataclass(frozen=True, slots=True, kw_only=True)
class TokenResponse:
    """Response to a `TokenRequest`; the fields are those of `HeartbeatResponse`."""

    sequence: int
    term: int
    tokens: dict
    retry_after: dict


@register(14)
@dataclass(frozen=True, slots=True, kw_only=True)
class Redirect:
    """Response of a replica that is not the leader.

    Attributes:
        leader: Leader that the replica knows of, or an empty string.
    """

    leader: str


@register(15)
@dataclass(frozen=True, slots=True, kw_only=True)
class DeltaPush:
    """Carries one serialized delta of the view."""

    delta: bytes


@register(16)
@dataclass(frozen=True, slots=True, kw_only=True)
class ViewPush:
    """Chunk of a serialized view; the chunk with `last` completes it."""

    revision: int
    last: bool
    data: bytes


@register(17)
@dataclass(frozen=True, slots=True, kw_only=True)
class ServerAnnounced:
    """Reports an announcement of a backend server to the leader.

    Attributes:
        boot: Identifies the server's process.
        phase: Value of a `ServerPhase`.
    """

    server: str
    pool: str
    address: str
    failure_domain: str
    boot: str
    phase: str


@register(18)
@dataclass(frozen=True, slots=True, kw_only=True)
class ServerLost:
    """Reports that a server's process is known to have ended or its grant has expired.

    Attributes:
        gate_epoch: Epoch at which the sender was appointed the server's gate.
    """

    server: str
    boot: str
    gate_epoch: int


@register(19)
@dataclass(frozen=True, slots=True, kw_only=True)
class SlicesReleased:
    """Reports that a server no longer handles requests for slices.

    Attributes:
        slices: Slice numbers.
        epochs: Epochs of the slices, in the same order.
    """

    server: str
    pool: str
    slices: list
    epochs: list


@register(20)
@dataclass(frozen=True, slots=True, kw_only=True)
class GateReleased:
    """Reports that the sender no longer acts as the gate of a server.

    Attributes:
        gate_epoch: Epoch at which the sender was appointed.
    """

    server: str
    gate_epoch: int


@register(25)
@dataclass(frozen=True, slots=True, kw_only=True)
class KeysReleased:
    """Reports that a server no longer handles requests for hot keys.

    Attributes:
        keys: Key hashes.
        epochs: Epochs of the keys, in the same order.
    """

    server: str
    pool: str
    keys: list
    epochs: list


@register(26)
@dataclass(frozen=True, slots=True, kw_only=True)
class BackupReady:
    """Reports that the backup of a record shard holds a copy of all records.

    Attributes:
        epoch: Epoch of the shard's assignment.
    """

    shard: int
    epoch: int


@register(21)
@dataclass(frozen=True, slots=True, kw_only=True)
class ReportRequest:
    """Asks an entry for its service-level counts.

    Attributes:
        number: Number of the request, repeated in the response.
    """

    number: int


@register(22)
@dataclass(frozen=True, slots=True, kw_only=True)
class ReportResponse:
    """Response to a `ReportRequest`.

    Attributes:
        number: Number of the request.
        report: Fields of a `HostReport` as basic types.
    """

    number: int
    host: str
    report: dict


@register(30)
@dataclass(frozen=True, slots=True, kw_only=True)
class RequestHead:
    """Starts a request at the gate of a backend server.

    Attributes:
        stream: Number of the request on this connection.
        request: Request id.
        gate_epoch: Epoch of the gate in the view that the sender routed on.
        revision: Revision of the view that the sender routed on.
        slice: Slice of the routing key, or -1 on a route whose pool is not keyed.
        slice_epoch: Epoch of the slice or of the key's override.
        key_hash: Hash of the routing key if the key has an override.
        request_class: Value of a `RequestClass`.
        key_digest: Digest of the workspace key; empty on a route that needs no key.
        remaining: Seconds left until the request's deadline.
        has_body: Whether the body follows in `RequestBody` messages.
        pool: Pool of the request if its gate serves announced servers, otherwise
            empty.
        objective: Seconds left until a response misses the latency objective.
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
    """Part of a request's body; the part with `last` completes it."""

    stream: int
    data: bytes
    last: bool


@register(32)
@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead:
    """Status and headers of a response, with its body if that is complete and small.

    Attributes:
        data: The complete body if `last`, otherwise empty.
        last: Whether the response is complete; otherwise its body follows.
        wait: Predicted seconds until the same gate responds to a new request.
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
    """Part of a response's body.

    Attributes:
        offset: Number of bytes of the body before this part.
        last: Whether this part completes the response.
    """

    stream: int
    offset: int
    data: bytes
    last: bool


@register(34)
@dataclass(frozen=True, slots=True, kw_only=True)
class RequestFailed:
    """Ends a request whose response is missing or incomplete.

    Attributes:
        code: Code of the error.
        ran: Value of a `Ran`: whether the backend server ran the request.
        retry_after: Seconds until a retry may succeed, or negative if unknown.
        text: Error message.
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
    """Cancels a request whose caller disconnected or stopped waiting."""

    stream: int


@register(37)
@dataclass(frozen=True, slots=True, kw_only=True)
class Withdraw:
    """Ends a request unless it was sent to a backend server.

    The sender stops, and could not pass on a response that comes late.
    """

    stream: int


@register(36)
@dataclass(frozen=True, slots=True, kw_only=True)
class Credit:
    """Flow control: allows the peer to send more bytes of a body.

    Attributes:
        size: Number of additional bytes.
    """

    stream: int
    size: int
