"""Records of the view, and the numbered deltas that change them.

A record doubles as the change that adds or replaces it.
"""

from dataclasses import dataclass
from enum import Enum

import msgpack

from monsoonlug import messages
from monsoonlug.exceptions import DamagedFrame
from monsoonlug.ids import (
    Epoch,
    FailureDomain,
    HostId,
    PoolId,
    Revision,
    ServerId,
    ServiceKind,
    SliceState,
)

MAX_DELTA_BYTES = 1_040_000  # leaves room for the frame of `DeltaPush`


class RecordKind(Enum):
    """Kind of record that `RecordRemoved` can remove."""

    HOST = "host"
    SERVER = "server"
    GATE = "gate"
    SERVICE = "service"
    WITHDRAWN = "withdrawn"


@messages.register(121)
@dataclass(frozen=True, slots=True, kw_only=True)
class HostRecord:
    """A registered entry host.

    Attributes:
        stream: Address at which the host accepts streams.
        announce: Address at which the host accepts announcements of backend servers.
        boot: Identifies the process.
        epoch: Log index of the registration.
    """

    host: HostId
    failure_domain: FailureDomain
    stream: str
    announce: str
    boot: str
    epoch: Epoch


@messages.register(122)
@dataclass(frozen=True, slots=True, kw_only=True)
class ServerRecord:
    """A registered backend server.

    Attributes:
        boot: Identifies the process.
        epoch: Log index of the registration of this process.
        draining: Whether the server announced that it is shutting down.
    """

    server: ServerId
    pool: PoolId
    address: str
    failure_domain: FailureDomain
    boot: str
    epoch: Epoch
    draining: bool


@messages.register(123)
@dataclass(frozen=True, slots=True, kw_only=True)
class GateRecord:
    """The host that is the gate of a backend server.

    Attributes:
        epoch: Log index of the appointment.
        releasing: Whether the gate must finish its requests and report `GateReleased`.
        predecessor_lost: Whether the previous gate was lost; its requests may still be
            running.
    """

    server: ServerId
    host: HostId
    epoch: Epoch
    releasing: bool
    predecessor_lost: bool


@messages.register(124)
@dataclass(frozen=True, slots=True, kw_only=True)
class ShardRecord:
    """Primary and backup host of one shard of idempotency records.

    An empty name stands for no host.

    Attributes:
        backup_ready: Whether the backup has a copy of all records and may take over.
        records_lost_epoch: Epoch of the last assignment whose primary had no copy of
            the earlier records, or 0. Such a primary answers "outcome unknown" for a
            while.
        lost_host: Host that held all records when its session ended, if the shard has
            no primary. If the same process comes back, it still holds them.
        lost_boot: Identifies that process.
    """

    shard: int
    primary: HostId
    backup: HostId
    epoch: Epoch
    backup_ready: bool
    records_lost_epoch: Epoch
    lost_host: HostId = HostId("")
    lost_boot: str = ""


@messages.register(125)
@dataclass(frozen=True, slots=True, kw_only=True)
class OutOfServiceRecord:
    """A host, backend server or failure domain that operators took out of service."""

    kind: ServiceKind
    name: str


@messages.register(126)
@dataclass(frozen=True, slots=True, kw_only=True)
class WithdrawnKeyRecord:
    """Digest of a workspace key that operators withdrew."""

    key_digest: str


@messages.register(127)
@dataclass(frozen=True, slots=True, kw_only=True)
class CatalogueRecord:
    """The catalogue as JSON text."""

    text: str


@messages.register(128)
@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigRevisionRecord:
    """Revision of the operators' configuration."""

    revision: Revision


@messages.register(129)
@dataclass(frozen=True, slots=True, kw_only=True)
class RecordRemoved:
    """Removes a record; an out-of-service record has the key `kind:name`."""

    kind: RecordKind
    key: str


@messages.register(130)
@dataclass(frozen=True, slots=True, kw_only=True)
class SliceTableChanged:
    """Adds an empty slice table for a pool, or removes the pool's table."""

    pool: PoolId
    present: bool


@messages.register(131)
@dataclass(frozen=True, slots=True, kw_only=True)
class SlicesChanged:
    """Changes owner, epoch and state of slices of a pool.

    Attributes:
        owner: New owner, or None to keep it.
        epoch: New epoch, or None to keep it.
        runs: Flat list of the start and length of each run of slices.
    """

    pool: PoolId
    owner: ServerId | None
    epoch: Epoch | None
    state: SliceState
    runs: list


@messages.register(132)
@dataclass(frozen=True, slots=True, kw_only=True)
class OverrideRemoved:
    """Removes the override of a hot key."""

    pool: PoolId
    key_hash: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """Difference between two revisions of the view.

    Attributes:
        base: Revision of the view that the delta applies to.
        revision: Revision of the view after the delta, which is the log index of the
            command that caused it.
        digest: Digest of the view after the delta.
        changes: Records and changes, in order.
    """

    base: Revision
    revision: Revision
    digest: bytes
    changes: list

    def pack(self) -> bytes:
        """Returns the delta, serialized for a `DeltaPush`."""
        changes = [messages.encode(change) for change in self.changes]
        return msgpack.packb([self.base, self.revision, self.digest, changes])

    @classmethod
    def unpack(cls, data: bytes) -> "Delta":
        """Returns the delta that `pack` serialized.

        Raises:
            DamagedFrame: If the data cannot be decoded.
        """
        try:
            base, revision, digest, packed = msgpack.unpackb(data)
            changes = [messages.decode(change) for change in packed]
        except (ValueError, TypeError) as error:
            raise DamagedFrame(f"delta cannot be decoded: {error!r}") from error
        return cls(base=base, revision=revision, digest=digest, changes=changes)


def pair_runs(runs: list) -> list[tuple[int, int]]:
    """Returns the runs of `SlicesChanged` as pairs of start and length.

    >>> pair_runs([0, 2, 7, 1])
    [(0, 2), (7, 1)]
    """
    return list(zip(runs[::2], runs[1::2], strict=True))
