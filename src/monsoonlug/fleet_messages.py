"""Commands, changes and stream messages of a fleet that announces itself to control."""

from dataclasses import dataclass

from monsoonlug import messages
from monsoonlug.exceptions import DamagedFrame
from monsoonlug.ids import SLICE_COUNT, Epoch, FailureDomain, PoolId, ServerId
from monsoonlug.keyranges import KeyRange

# Changes of the view.


@messages.register(210)
@dataclass(frozen=True, slots=True, kw_only=True)
class ServerPut:
    """Adds a backend server or replaces its record.

    Attributes:
        born: Start time of the process, in Unix milliseconds.
        slots: Requests that run at the same time.
        draining: Whether the server is leaving and takes no new work.
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
class ServerDropped:
    """Removes a backend server."""

    server: ServerId
    born: int


@messages.register(212)
@dataclass(frozen=True, slots=True, kw_only=True)
class KeysAssigned:
    """Changes the owners of keys; see `pack_range` for the rows."""

    pool: PoolId
    rows: list


@messages.register(213)
@dataclass(frozen=True, slots=True, kw_only=True)
class TableReset:
    """Adds an empty table of keys for a pool, or removes the pool's table."""

    pool: PoolId
    present: bool


@messages.register(214)
@dataclass(frozen=True, slots=True, kw_only=True)
class DomainChanged:
    """Takes a failure domain out of service or back; also the command to do so."""

    failure_domain: FailureDomain
    in_service: bool


@messages.register(215)
@dataclass(frozen=True, slots=True, kw_only=True)
class FleetDelta:
    """Difference between two revisions of the view.

    Attributes:
        base: Revision of the view that it applies to.
        revision: Revision after it.
        changes: Encoded changes, in order.
    """

    base: int
    revision: int
    changes: list


# Commands.


@messages.register(220)
@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeItems:
    """Sets and removes configuration items, all or none of them.

    Attributes:
        changes: Encoded items and removals.
        sources: Text of each item as its operator sent it; empty for a removal.
    """

    changes: list
    sources: list


@messages.register(221)
@dataclass(frozen=True, slots=True, kw_only=True)
class PutServer:
    """Registers a backend server or changes its record.

    Attributes:
        record: An encoded `ServerPut`.
    """

    record: bytes


@messages.register(222)
@dataclass(frozen=True, slots=True, kw_only=True)
class DropServer:
    """Removes a backend server that left or whose lease is over."""

    server: ServerId
    born: int


@messages.register(223)
@dataclass(frozen=True, slots=True, kw_only=True)
class AssignKeys:
    """Gives ranges of keys to owners, with the log index as their epoch."""

    pool: PoolId
    rows: list


@messages.register(224)
@dataclass(frozen=True, slots=True, kw_only=True)
class FleetAnswer:
    """Answer to a command.

    Attributes:
        text: Why it was refused, or what was done.
    """

    accepted: bool
    text: str


FleetCommand = ChangeItems | DomainChanged | PutServer | DropServer | AssignKeys

# Messages between entries and control.


@messages.register(230)
@dataclass(frozen=True, slots=True, kw_only=True)
class EntryBeat:
    """Says that an entry is alive and asks for a confirmation of its view.

    Attributes:
        sequence: Grows with each beat of this process.
        stream: Address of its streams.
        boot: Identifies the process.
        revision: Revision of its view; -1 asks for the whole view.
        leaving: Whether the entry is shutting down.
        loads: Rows of pool, key and requests since the last beat.
        servers: Rows of server, slowness relative to its pool and offered load over its
            slots.
        wanted: Urgent and spare tokens, and the share that the last leader told, by
            workspace.
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


@messages.register(231)
@dataclass(frozen=True, slots=True, kw_only=True)
class EntryAnswer:
    """Confirms a beat after a majority confirmed the leader.

    Attributes:
        revision: Revision of the leader's view at that moment.
        members: Stream addresses of the control replicas.
        tokens: Tokens granted, by workspace.
        pauses: Seconds until a token can be had, by workspace without one.
        shares: Share of the workspace's recent tokens that went to this host.
    """

    sequence: int
    term: int
    revision: int
    members: list
    tokens: dict
    pauses: dict
    shares: dict


@messages.register(232)
@dataclass(frozen=True, slots=True, kw_only=True)
class StatePush:
    """Carries a part of a packed view; the view is whole after the last part."""

    revision: int
    last: bool
    data: bytes


@messages.register(233)
@dataclass(frozen=True, slots=True, kw_only=True)
class HostsPush:
    """Lists the live entries as rows of name, failure domain and stream address."""

    term: int
    rows: list


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyStatus:
    """Says whether the owner of keys serves them now.

    Attributes:
        epoch: Epoch of the assignment that this is about.
        ready: False while the owner releases them or has not yet heard of them.
    """

    pool: PoolId
    start: int
    end: int
    epoch: int
    ready: bool


@messages.register(234)
@dataclass(frozen=True, slots=True, kw_only=True)
class KeyStatusPush:
    """Carries several `KeyStatus` as rows of their fields."""

    rows: list


@messages.register(235)
@dataclass(frozen=True, slots=True, kw_only=True)
class ServerCold:
    """Says for how many more seconds a backend server is cold."""

    server: str
    seconds: float


@messages.register(236)
@dataclass(frozen=True, slots=True, kw_only=True)
class RateAsk:
    """Asks for tokens.

    Attributes:
        wanted: Urgent and spare tokens, and the share that the last leader told, by
            workspace.
    """

    sequence: int
    host: str
    wanted: dict


@messages.register(237)
@dataclass(frozen=True, slots=True, kw_only=True)
class RateGrant:
    """Answers a `RateAsk`.

    Attributes:
        term: Term of the leader that granted.
        tokens: Tokens granted, by workspace.
        pauses: Seconds until a token can be had, by workspace without one.
        shares: Share of the workspace's recent tokens that went to this host.
    """

    sequence: int
    term: int
    tokens: dict
    pauses: dict
    shares: dict


@messages.register(238)
@dataclass(frozen=True, slots=True, kw_only=True)
class Ping:
    """Asks a host to answer at once."""

    number: int


@messages.register(239)
@dataclass(frozen=True, slots=True, kw_only=True)
class Pong:
    """Answers a `Ping`."""

    number: int


@messages.register(240)
@dataclass(frozen=True, slots=True, kw_only=True)
class GroupTold:
    """Tells a replica that asks to be admitted who is in the group."""

    members: list


def covers_all_keys(change: KeysAssigned) -> bool:
    """Returns whether an assignment is the first one of its pool.

    No server held a key before, so nobody needs to wait for a release.
    """
    return sum(row[1] - row[0] + 1 for row in change.rows) == SLICE_COUNT


def pack_range(row: KeyRange) -> list:
    """Returns a range as start, end, owner, born, epoch and handover."""
    return [row.start, row.end, row.owner, row.born, row.epoch, row.handover]


def read_range(row: list) -> KeyRange:
    """Returns the range that `pack_range` made a row of.

    Raises:
        DamagedFrame: If the row is malformed.
    """
    try:
        start, end, owner, born, epoch, handover = row
    except (TypeError, ValueError) as error:
        raise DamagedFrame(f"{row!r} is no range of keys") from error
    return KeyRange(
        start=start,
        end=end,
        owner=ServerId(owner),
        born=born,
        epoch=Epoch(epoch),
        handover=handover,
    )
