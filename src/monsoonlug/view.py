"""Replica of the control state at each entry, updated with numbered deltas."""

import json

import msgpack
import xxhash

from monsoonlug import messages
from monsoonlug.catalogue import Catalogue
from monsoonlug.deltas import (
    CatalogueRecord,
    ConfigRevisionRecord,
    Delta,
    GateRecord,
    HostRecord,
    OutOfServiceRecord,
    OverrideRemoved,
    RecordKind,
    RecordRemoved,
    ServerRecord,
    ShardRecord,
    SlicesChanged,
    SliceTableChanged,
    WithdrawnKeyRecord,
    pair_runs,
)
from monsoonlug.exceptions import (
    DamagedFrame,
    DigestMismatch,
    RevisionGap,
    StaleRevision,
)
from monsoonlug.ids import HostId, PoolId, Revision, ServerId, ServiceKind
from monsoonlug.slices import (
    DIGEST_MASK,
    Location,
    OverrideRecord,
    SliceTable,
    digest_record,
)

SHARD_COUNT = 64  # shards of the idempotency records


class View:
    """Configuration, servers, hosts, gates and slices at one revision.

    Attributes:
        revision: Log index of the last command that changed the view.
        config_revision: Number of configuration changes by operators so far.
        damaged: Whether a delta failed to apply or left another digest than its sender
            had. A damaged view refuses lookups and deltas, and must be replaced.
    """

    def __init__(self):
        self.revision = Revision(0)
        self.config_revision = Revision(0)
        self.catalogue = Catalogue()
        self.catalogue_text = ""
        self.servers: dict[ServerId, ServerRecord] = {}
        self.hosts: dict[HostId, HostRecord] = {}
        self.gates: dict[ServerId, GateRecord] = {}
        self.slices: dict[PoolId, SliceTable] = {}
        self.shards: dict[int, ShardRecord] = {}
        self.out_of_service: set[tuple[ServiceKind, str]] = set()
        self.withdrawn: set[str] = set()
        self.damaged = False
        self._digest_sum = 0

    def locate(self, pool: PoolId, routing_key: str) -> Location:
        """Returns the slice or override of a routing key, with its owner.

        Raises:
            KeyError: If the pool has no slices.
            DigestMismatch: If the view is damaged.
        """
        if self.damaged:
            raise DigestMismatch()
        return self.slices[pool].locate(routing_key)

    def is_in_service(self, record: HostRecord | ServerRecord) -> bool:
        """Returns whether a host or backend server and its domain are in service."""
        domain = (ServiceKind.FAILURE_DOMAIN, record.failure_domain)
        if isinstance(record, HostRecord):
            own = (ServiceKind.HOST, record.host)
        else:
            own = (ServiceKind.BACKEND_SERVER, record.server)
        return own not in self.out_of_service and domain not in self.out_of_service

    def apply(self, delta: Delta) -> None:
        """Applies the next delta.

        Raises:
            StaleRevision: If the view is at this revision or a later one.
            RevisionGap: If the delta's base is not the revision of the view.
            DigestMismatch: If the view was damaged already, or is after this delta.
        """
        if self.damaged:
            raise DigestMismatch()
        if delta.revision <= self.revision:
            raise StaleRevision()
        if delta.base != self.revision:
            raise RevisionGap(
                f"delta applies to revision {delta.base}, "
                f"but the view is at revision {self.revision}"
            )
        try:
            for change in delta.changes:
                self.apply_change(change)
        except Exception as error:
            self.damaged = True
            raise DigestMismatch(
                f"delta cannot be applied to the view: {error!r}"
            ) from error
        if self._digest_at(delta.revision) != delta.digest:
            self.damaged = True
            raise DigestMismatch()
        self.revision = delta.revision

    def apply_change(self, change: object) -> None:
        """Applies one change of a delta without updating the revision."""
        match change:
            case HostRecord():
                self._put_record(self.hosts, change.host, change)
            case ServerRecord():
                self._put_record(self.servers, change.server, change)
            case GateRecord():
                self._put_record(self.gates, change.server, change)
            case ShardRecord():
                self._put_record(self.shards, change.shard, change)
            case OutOfServiceRecord():
                self._add_member(
                    self.out_of_service, (change.kind, change.name), change
                )
            case WithdrawnKeyRecord():
                self._add_member(self.withdrawn, change.key_digest, change)
            case SlicesChanged():
                self.slices[change.pool].change(
                    pair_runs(change.runs),
                    state=change.state,
                    owner=change.owner,
                    epoch=change.epoch,
                )
            case OverrideRecord():
                self.slices[change.pool].put_override(change)
            case OverrideRemoved():
                self.slices[change.pool].drop_override(change.key_hash)
            case _:
                self._apply_rare_change(change)

    def digest(self) -> bytes:
        """Returns the digest of the whole view, 16 bytes."""
        return self._digest_at(self.revision)

    def pack(self) -> bytes:
        """Returns the view, serialized."""
        records = [messages.encode(record) for record in self._list_records()]
        tables = [self.slices[pool].pack() for pool in sorted(self.slices)]
        return msgpack.packb([self.revision, self.digest(), records, tables])

    @classmethod
    def unpack(cls, data: bytes, *, current: "View | None" = None) -> "View":
        """Returns the view that `pack` serialized.

        Args:
            data: The serialized view.
            current: The view that the result replaces, if any.

        Raises:
            DamagedFrame: If the data cannot be decoded.
            DigestMismatch: If the digest in the data does not match the content.
            StaleRevision: If the current view is newer, or as new and not damaged.
        """
        try:
            revision, digest, records, tables = msgpack.unpackb(data)
            if current is not None and _is_up_to_date(current, revision):
                raise StaleRevision()
            view = cls()
            for packed in records:
                view.apply_change(messages.decode(packed))
            for packed in tables:
                table = SliceTable.unpack(packed)
                view.slices[table.pool] = table
        except (ValueError, TypeError) as error:
            raise DamagedFrame(f"view cannot be decoded: {error!r}") from error
        view.revision = revision
        if view.digest() != digest:
            raise DigestMismatch()
        return view

    def _apply_rare_change(self, change: object) -> None:
        match change:
            case CatalogueRecord():
                self._replace_catalogue(change)
            case ConfigRevisionRecord():
                old = ConfigRevisionRecord(revision=self.config_revision)
                self._digest_sum -= digest_record(old) if self.config_revision else 0
                self._digest_sum += digest_record(change)
                self.config_revision = change.revision
            case SliceTableChanged(present=True):
                self.slices[change.pool] = SliceTable(pool=change.pool)
            case SliceTableChanged(present=False):
                del self.slices[change.pool]
            case RecordRemoved():
                self._remove_record(change)
            case _:
                raise DamagedFrame(
                    f"{type(change).__name__} is not a change of the view"
                )

    def _replace_catalogue(self, change: CatalogueRecord) -> None:
        catalogue = Catalogue.model_validate(json.loads(change.text))
        if self.catalogue_text:
            self._digest_sum -= digest_record(CatalogueRecord(text=self.catalogue_text))
        self._digest_sum += digest_record(change)
        self.catalogue = catalogue
        self.catalogue_text = change.text

    def _put_record(self, table: dict, key: object, record: object) -> None:
        old = table.get(key)
        if old is not None:
            self._digest_sum -= digest_record(old)
        self._digest_sum += digest_record(record)
        table[key] = record

    def _add_member(self, names: set, name: object, record: object) -> None:
        if name in names:
            return
        self._digest_sum += digest_record(record)
        names.add(name)

    def _remove_record(self, change: RecordRemoved) -> None:
        match change.kind:
            case RecordKind.HOST:
                self._digest_sum -= digest_record(self.hosts.pop(change.key))
            case RecordKind.SERVER:
                self._digest_sum -= digest_record(self.servers.pop(change.key))
            case RecordKind.GATE:
                self._digest_sum -= digest_record(self.gates.pop(change.key))
            case RecordKind.WITHDRAWN:
                self.withdrawn.remove(change.key)
                self._digest_sum -= digest_record(
                    WithdrawnKeyRecord(key_digest=change.key)
                )
            case RecordKind.SERVICE:
                kind, _, name = change.key.partition(":")
                record = OutOfServiceRecord(kind=ServiceKind(kind), name=name)
                self.out_of_service.remove((record.kind, record.name))
                self._digest_sum -= digest_record(record)

    def _digest_at(self, revision: Revision) -> bytes:
        total = self._digest_sum
        for table in self.slices.values():
            total += table.digest()
        body = (total & DIGEST_MASK).to_bytes(16, "big") + msgpack.packb(revision)
        return xxhash.xxh3_128_digest(body)

    def _list_records(self) -> list:
        records = []
        if self.config_revision:
            records.append(ConfigRevisionRecord(revision=self.config_revision))
        if self.catalogue_text:
            records.append(CatalogueRecord(text=self.catalogue_text))
        for table in (self.hosts, self.servers, self.gates, self.shards):
            records.extend(table[key] for key in sorted(table))
        for kind, name in sorted(self.out_of_service, key=_get_service_sort_key):
            records.append(OutOfServiceRecord(kind=kind, name=name))
        for digest in sorted(self.withdrawn):
            records.append(WithdrawnKeyRecord(key_digest=digest))
        return records


def _is_up_to_date(current: View, revision: Revision) -> bool:
    if current.damaged:
        return current.revision > revision
    return current.revision >= revision


def _get_service_sort_key(item: tuple[ServiceKind, str]) -> tuple[str, str]:
    return item[0].value, item[1]
