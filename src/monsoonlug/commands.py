"""Commands of the replicated control state and their results.

A command names the epochs that it was decided on. `ControlState` ignores it if they
have changed by the time it is committed.

Two kinds of fields are flat lists. `runs` has three numbers for each run of
consecutive slices: first slice, number of slices and epoch. `keys` has two numbers for
each hot key: key hash and epoch.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from monsoonlug import messages
from monsoonlug.exceptions import DamagedFrame
from monsoonlug.ids import (
    ChangeId,
    Epoch,
    FailureDomain,
    HostId,
    PoolId,
    Revision,
    ServerId,
    ServerPhase,
    ServiceKind,
)


class CommandStatus(Enum):
    """What became of a command.

    ACCEPTED: The command was applied.
    CONFLICT: The configuration changed since the command's base revision.
    INVALID: The command is not allowed in the current state.
    IGNORED: The state changed since the coordinator decided on the command.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    IGNORED = "ignored"


@messages.register(135)
@dataclass(frozen=True, slots=True, kw_only=True)
class CommandResult:
    """Result of a command, returned to its proposer.

    Attributes:
        revision: Configuration revision after the command.
        text: Error message, or summary of the change.
        conflicts: Summaries of the changes since the command's base revision.
    """

    status: CommandStatus
    revision: Revision
    text: str
    conflicts: list


@dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """Changes of the view that a command causes, and the result for its proposer.

    Attributes:
        status: What becomes of the command.
        text: Error message, or summary of the change.
        changes: Changes of the view, in the order in which they apply.
    """

    status: CommandStatus = CommandStatus.ACCEPTED
    text: str = ""
    changes: tuple = ()


@messages.register(100)
@dataclass(frozen=True, slots=True, kw_only=True)
class ApplyCatalogue:
    """Replaces the catalogue.

    Attributes:
        change_id: Identifies the change; a repeated change gets the first result.
        base: Configuration revision that the change is based on.
        text: The new catalogue as JSON.
    """

    change_id: ChangeId
    base: Revision
    text: str


@messages.register(101)
@dataclass(frozen=True, slots=True, kw_only=True)
class SetService:
    """Takes a host, backend server or failure domain out of service or back in."""

    change_id: ChangeId
    base: Revision
    kind: ServiceKind
    name: str
    in_service: bool


@messages.register(102)
@dataclass(frozen=True, slots=True, kw_only=True)
class WithdrawKey:
    """Withdraws a workspace key; it stays withdrawn under every later catalogue."""

    change_id: ChangeId
    base: Revision
    key_digest: str


@messages.register(103)
@dataclass(frozen=True, slots=True, kw_only=True)
class RestoreKey:
    """Restores a withdrawn workspace key."""

    change_id: ChangeId
    base: Revision
    key_digest: str


@messages.register(104)
@dataclass(frozen=True, slots=True, kw_only=True)
class RegisterHost:
    """Registers the entry process of a host.

    The command is ignored while an earlier process of the host is a gate or holds a
    record shard, as that process may act until its session expires.
    """

    host: HostId
    failure_domain: FailureDomain
    stream: str
    announce: str
    boot: str


@messages.register(105)
@dataclass(frozen=True, slots=True, kw_only=True)
class DeregisterHost:
    """Removes a host whose session has expired, and its gates."""

    host: HostId
    epoch: Epoch


@messages.register(106)
@dataclass(frozen=True, slots=True, kw_only=True)
class RegisterServer:
    """Registers a backend server's process, or changes whether it is draining."""

    server: ServerId
    pool: PoolId
    address: str
    failure_domain: FailureDomain
    boot: str
    phase: ServerPhase


@messages.register(107)
@dataclass(frozen=True, slots=True, kw_only=True)
class DeregisterServer:
    """Removes a server whose grant has expired; its slices become unowned.

    Attributes:
        gate_epoch: Epoch of its gate, or 0 if it has none.
    """

    server: ServerId
    epoch: Epoch
    gate_epoch: Epoch


@messages.register(108)
@dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseGate:
    """Tells the gate of a server to finish its requests and release the server."""

    server: ServerId
    gate_epoch: Epoch


@messages.register(109)
@dataclass(frozen=True, slots=True, kw_only=True)
class AppointGate:
    """Appoints a host as the gate of a server.

    Attributes:
        replaces: Epoch of the previous gate, which reported `GateReleased`, or 0 if the
            server has no gate.
    """

    server: ServerId
    server_epoch: Epoch
    host: HostId
    host_epoch: Epoch
    replaces: Epoch


@messages.register(110)
@dataclass(frozen=True, slots=True, kw_only=True)
class BeginMove:
    """Starts to move slices and hot keys away from their owners.

    A key without an override gets one with the epoch of its slice.
    """

    pool: PoolId
    runs: list
    keys: list


@messages.register(111)
@dataclass(frozen=True, slots=True, kw_only=True)
class FinishMove:
    """Assigns unowned or released slices and hot keys to a new owner.

    A key that returns to the owner of its slice loses its override. The slice then gets
    a new epoch, so that the epoch of the key still increases.
    """

    pool: PoolId
    owner: ServerId
    owner_epoch: Epoch
    runs: list
    keys: list


@messages.register(112)
@dataclass(frozen=True, slots=True, kw_only=True)
class AssignShard:
    """Assigns a shard of idempotency records to a primary and a backup host.

    Attributes:
        epoch: Epoch of the shard's last assignment, or 0 if it was never assigned.
        backup: Name of the backup, or empty for none.
        backup_epoch: Epoch of the backup host, or 0 for none.
    """

    shard: int
    epoch: Epoch
    primary: HostId
    primary_epoch: Epoch
    backup: HostId
    backup_epoch: Epoch


@messages.register(113)
@dataclass(frozen=True, slots=True, kw_only=True)
class ConfirmBackup:
    """Records that the backup of a shard holds a copy of all records."""

    shard: int
    epoch: Epoch


OperatorCommand = ApplyCatalogue | SetService | WithdrawKey | RestoreKey
Command = (
    OperatorCommand
    | RegisterHost
    | DeregisterHost
    | RegisterServer
    | DeregisterServer
    | ReleaseGate
    | AppointGate
    | BeginMove
    | FinishMove
    | AssignShard
    | ConfirmBackup
)


def encode_command(command: Command) -> bytes:
    """Serializes a command as the data of a log entry."""
    return messages.encode(command)


def decode_command(data: bytes) -> Command:
    """Returns the command in a log entry.

    Raises:
        DamagedFrame: If the data are not a command.
    """
    command = messages.decode(data)
    if not isinstance(command, Command):
        raise DamagedFrame(f"log entry holds {type(command).__name__}, not a command")
    return command


def iterate_runs(runs: list) -> Iterator[tuple[int, int, int]]:
    """Yields the first slice, number of slices and epoch of each run.

    >>> list(iterate_runs([0, 2, 9]))
    [(0, 2, 9)]
    """
    return zip(runs[::3], runs[1::3], runs[2::3], strict=True)


def iterate_keys(keys: list) -> Iterator[tuple[int, int]]:
    """Yields the hash and epoch of each key."""
    return zip(keys[::2], keys[1::2], strict=True)
