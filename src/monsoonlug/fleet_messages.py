"""Commands, view changes and stream messages of an announced fleet."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from monsoonlug import messages
from monsoonlug.crash_tracking import RequestState
from monsoonlug.exceptions import DamagedFrame
from monsoonlug.ids import SLICE_COUNT, Epoch, FailureDomain, PoolId, ServerId
from monsoonlug.keyranges import LAST_KEY, KeyRange
from monsoonlug.rollout_messages import (
    CommandLevelRaised,
    RolloutAdvanced,
    RolloutStarted,
    ServerVersionSet,
)

MAX_REPORTED_NUMBER = 1_000_000_000  # in a row of an entry's heartbeat
MAX_START_TIME_MS = 2**53  # of a process, in Unix milliseconds

# Changes of the view.


@messages.register(210)
@dataclass(frozen=True, slots=True, kw_only=True)
class FleetServer:
    """Record of a backend server; also the change that adds or replaces the record.

    Attributes:
        born: Start time of the process, in Unix milliseconds.
        slots: Maximum number of concurrent requests.
        draining: Whether the server is shutting down and accepts no new requests.
    """

    server: ServerId
    born: int
    pool: PoolId
    address: str
    failure_domain: FailureDomain
    slots: int
    draining: bool


@messages.register(211)
@dataclass(frozen=True, slots=True, kw_only=True)
class ServerRemoved:
    """Removes a backend server."""

    server: ServerId
    born: int


@messages.register(212)
@dataclass(frozen=True, slots=True, kw_only=True)
class KeysAssigned:
    """Changes the owners of key ranges; `pack_range` defines the rows."""

    pool: PoolId
    rows: list


@messages.register(213)
@dataclass(frozen=True, slots=True, kw_only=True)
class KeyTableChanged:
    """Adds an empty key table for a pool, or removes the pool's key table."""

    pool: PoolId
    present: bool


@messages.register(214)
@dataclass(frozen=True, slots=True, kw_only=True)
class DomainChanged:
    """Takes a failure domain out of or into service; also the command to do so."""

    failure_domain: FailureDomain
    in_service: bool


@messages.register(215)
@dataclass(frozen=True, slots=True, kw_only=True)
class FleetDelta:
    """Difference between two revisions of the view.

    Attributes:
        base: Revision of the view that the delta applies to.
        revision: Revision of the view after the delta.
        changes: Encoded changes, in order.
    """

    base: int
    revision: int
    changes: list


# Commands.


@messages.register(220)
@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeItems:
    """Sets and removes configuration items atomically.

    Attributes:
        changes: Encoded items and removals.
        sources: Text of each item as the operator submitted it; empty for a removal.
    """

    changes: list
    sources: list


@messages.register(221)
@dataclass(frozen=True, slots=True, kw_only=True)
class PutServer:
    """Registers a backend server or updates its record.

    Attributes:
        record: An encoded `FleetServer`.
    """

    record: bytes


@messages.register(222)
@dataclass(frozen=True, slots=True, kw_only=True)
class RemoveServer:
    """Removes a backend server that left or whose lease expired."""

    server: ServerId
    born: int


@messages.register(223)
@dataclass(frozen=True, slots=True, kw_only=True)
class AssignKeys:
    """Assigns key ranges to owners; the command's log index becomes their epoch."""

    pool: PoolId
    rows: list


@messages.register(224)
@dataclass(frozen=True, slots=True, kw_only=True)
class FleetCommandResult:
    """Result of a command.

    Attributes:
        text: Why the command was rejected, or a note on its effect.
    """

    accepted: bool
    text: str


FleetCommand = (
    ChangeItems
    | DomainChanged
    | PutServer
    | RemoveServer
    | AssignKeys
    | RolloutStarted
    | RolloutAdvanced
    | ServerVersionSet
    | CommandLevelRaised
)

# Messages between entries and control.


@messages.register(230)
@dataclass(frozen=True, slots=True, kw_only=True)
class FleetHeartbeat:
    """Heartbeat of an entry; also requests a confirmation of its view, and tokens.

    Attributes:
        sequence: Sequence number, incremented by each message of this process.
        stream: Address at which the entry accepts streams.
        boot: Identifies the process.
        revision: Revision of the entry's view; -1 requests the whole view.
        leaving: Whether the entry is shutting down.
        loads: Rows of pool, key and number of requests since the last heartbeat.
        servers: Rows with the fields of `ServerReport`.
        wanted: By workspace, the urgent and the prefetched tokens requested and the
            share that the last leader reported.
        limits: Rows with the fields of `LimitReport`.
        outcomes: Rows with the fields of `OutcomeReport`; 1 for a crash, 0 otherwise.
        notices: Rows with the fields of `ServerNotice`; 1 for true, 0 for false.
    """

    sequence: int
    host: str
    failure_domain: str
    stream: str
    boot: str
    revision: int
    leaving: bool
    loads: list
    servers: list
    wanted: dict
    limits: list = field(default_factory=list)
    outcomes: list = field(default_factory=list)
    notices: list = field(default_factory=list)


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerNotice:
    """What a backend server says of itself in its responses to one host.

    Attributes:
        born: Start time of the process, in Unix milliseconds.
        rest: Seconds for which it wants no more requests from the host; 0 if it does.
        is_leaving: Whether it is shutting down.
    """

    server: ServerId
    born: int
    rest: float
    is_leaving: bool


@messages.register(231)
@dataclass(frozen=True, slots=True, kw_only=True)
class FleetHeartbeatResponse:
    """Response to a heartbeat, sent after a majority confirmed the leader.

    Attributes:
        revision: Revision of the leader's view when it sent the response.
        members: Stream addresses of the control replicas.
        tokens: Tokens granted, by workspace.
        retry_after: Seconds until the next token is available, by workspace that lacks
            tokens.
        shares: Share of recently granted tokens that this host got, by workspace.
    """

    sequence: int
    term: int
    revision: int
    members: list
    tokens: dict
    retry_after: dict
    shares: dict


@messages.register(232)
@dataclass(frozen=True, slots=True, kw_only=True)
class FleetViewChunk:
    """Chunk of a serialized view; the chunk with `last` completes it."""

    revision: int
    last: bool
    data: bytes


@messages.register(233)
@dataclass(frozen=True, slots=True, kw_only=True)
class LiveHostList:
    """Live entries, as rows of name, failure domain and stream address."""

    term: int
    rows: list


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyStatus:
    """Reports whether the owner of a key range serves it.

    Attributes:
        epoch: Epoch of the assignment.
        ready: False while the owner releases the keys, or does not yet know that it
            owns them.
    """

    pool: PoolId
    start: int
    end: int
    epoch: int
    ready: bool


@messages.register(234)
@dataclass(frozen=True, slots=True, kw_only=True)
class KeyStatusBatch:
    """Several `KeyStatus`, as rows of their fields."""

    rows: list


@messages.register(235)
@dataclass(frozen=True, slots=True, kw_only=True)
class ServerCold:
    """Reports for how many more seconds a backend server is cold."""

    server: str
    seconds: float


@messages.register(236)
@dataclass(frozen=True, slots=True, kw_only=True)
class FleetTokenRequest:
    """Requests tokens between two heartbeats.

    Attributes:
        wanted: By workspace, the urgent and the prefetched tokens requested and the
            share that the last leader reported.
    """

    sequence: int
    host: str
    wanted: dict


@messages.register(237)
@dataclass(frozen=True, slots=True, kw_only=True)
class FleetTokenResponse:
    """Response to a `FleetTokenRequest`.

    Attributes:
        term: Term of the leader that granted the tokens.
        tokens: Tokens granted, by workspace.
        retry_after: Seconds until the next token is available, by workspace that lacks
            tokens.
        shares: Share of recently granted tokens that this host got, by workspace.
    """

    sequence: int
    term: int
    tokens: dict
    retry_after: dict
    shares: dict


@messages.register(238)
@dataclass(frozen=True, slots=True, kw_only=True)
class Ping:
    """Requests an immediate `Pong` from a host."""

    number: int


@messages.register(239)
@dataclass(frozen=True, slots=True, kw_only=True)
class Pong:
    """Response to a `Ping`."""

    number: int


@messages.register(240)
@dataclass(frozen=True, slots=True, kw_only=True)
class GroupMembers:
    """Members of the control group, sent to a replica that is not one of them."""

    members: list


@messages.register(241)
@dataclass(frozen=True, slots=True, kw_only=True)
class ServerLimited:
    """Reports the request limit of a backend server.

    Attributes:
        limit: Requests per second from all hosts together; 0 if there is no limit.
        senders: Number of hosts that send requests to the server.
    """

    server: str
    limit: float
    senders: int


@messages.register(242)
@dataclass(frozen=True, slots=True, kw_only=True)
class RequestStateChanged:
    """Reports whether a request may run; see `RequestVerdict`."""

    fingerprint: str
    state: RequestState
    seconds: float


@messages.register(243)
@dataclass(frozen=True, slots=True, kw_only=True)
class GateReport:
    """Reports what the gates of the sending host found out about backend servers.

    It is sent to the entries with an open stream, after each change and on opening.

    Attributes:
        isolated_pools: Pools of which the host reaches no server.
        unreachable: Names of the servers that were found to be unreachable.
        leaving: Rows of the name and the start time, in Unix milliseconds, of servers
            whose responses say that they shut down.
    """

    isolated_pools: list
    unreachable: list
    leaving: list


_NUMBER = (int, float)


def check_heartbeat(heartbeat: FleetHeartbeat) -> None:
    """Checks the rows of a heartbeat, which decoding leaves unchecked.

    Raises:
        DamagedFrame: If a row is malformed.
    """
    _check_rows("loads", heartbeat.loads, (str, int, int))
    if any(key > LAST_KEY for _, key, _ in heartbeat.loads):
        raise DamagedFrame(f"a row of loads has a key above {LAST_KEY}")
    _check_rows("servers", heartbeat.servers, (str, _NUMBER, _NUMBER, _NUMBER))
    _check_rows("limits", heartbeat.limits, (str, _NUMBER, _NUMBER))
    _check_rows("outcomes", heartbeat.outcomes, (str, str, int, _NUMBER))
    _check_rows(
        "notices",
        heartbeat.notices,
        (str, int, _NUMBER, int),
        maximum=MAX_START_TIME_MS,
    )
    check_wanted_tokens(heartbeat.wanted)


def check_gate_report(report: GateReport) -> None:
    """Checks the rows of a report, which decoding leaves unchecked.

    Raises:
        DamagedFrame: If a row is malformed.
    """
    names = (*report.isolated_pools, *report.unreachable)
    if not all(isinstance(name, str) for name in names):
        raise DamagedFrame("a name in a report of gates is not a string")
    _check_rows("leaving", report.leaving, (str, int), maximum=MAX_START_TIME_MS)


def check_wanted_tokens(wanted: dict) -> None:
    """Checks the tokens that an entry requests.

    Raises:
        DamagedFrame: If a workspace or a row is malformed.
    """
    if not all(isinstance(workspace, str) for workspace in wanted):
        raise DamagedFrame("a workspace in wanted is not a string")
    # The share is -1 if it is unknown.
    _check_rows("wanted", wanted.values(), (int, int, _NUMBER), minimum=-1)


def _check_rows(
    name: str,
    rows: Iterable,
    types: tuple,
    *,
    minimum: int = 0,
    maximum: int = MAX_REPORTED_NUMBER,
) -> None:
    for row in rows:
        if not isinstance(row, list) or len(row) != len(types):
            raise DamagedFrame(f"a row of {name} does not have {len(types)} values")
        for value, expected in zip(row, types, strict=True):
            if not isinstance(value, expected) or isinstance(value, bool):
                raise DamagedFrame(
                    f"a row of {name} has a value of type {type(value).__name__}"
                )
            if expected is not str and not minimum <= value <= maximum:
                raise DamagedFrame(f"a row of {name} has the value {value}")


def covers_all_keys(change: KeysAssigned) -> bool:
    """Returns whether an assignment covers all keys, as the first one of a pool does.

    No server owned a key before it, so no request has to wait for a release.
    """
    return sum(row[1] - row[0] + 1 for row in change.rows) == SLICE_COUNT


def pack_range(row: KeyRange) -> list:
    """Returns a key range as a row of start, end, owner, born, epoch and handover."""
    return [row.start, row.end, row.owner, row.born, row.epoch, row.handover]


def read_range(row: list) -> KeyRange:
    """Returns the key range in a row that `pack_range` made.

    Raises:
        DamagedFrame: If the row is malformed.
    """
    try:
        start, end, owner, born, epoch, handover = row
        is_valid = 0 <= start <= end < SLICE_COUNT and epoch >= 0 and born >= 0
    except (TypeError, ValueError) as error:
        raise DamagedFrame(
            f"{row!r} is not a key range: expected start, end, owner, born, epoch and "
            "handover"
        ) from error
    if not is_valid or not isinstance(owner, str) or not isinstance(handover, str):
        raise DamagedFrame(f"{row!r} is not a key range: a value is out of range")
    return KeyRange(
        start=start,
        end=end,
        owner=ServerId(owner),
        born=born,
        epoch=Epoch(epoch),
        handover=handover,
    )
