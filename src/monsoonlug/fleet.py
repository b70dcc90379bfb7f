"""The replicated state of a fleet whose backend servers announce themselves to control.

It holds the configuration items, the failure domains that are out of service, the
backend servers and the ranges of keys that each may hold. Entries keep a copy of it,
which they change by numbered deltas.
"""

from enum import Enum

import msgpack

from monsoonlug import messages
from monsoonlug.exceptions import BadRequest, DamagedFrame, GapError, StaleRevision
from monsoonlug.fleet_messages import (
    AssignKeys,
    ChangeItems,
    DomainChanged,
    DropServer,
    FleetAnswer,
    FleetCommand,
    FleetDelta,
    KeysAssigned,
    PutServer,
    ServerDropped,
    ServerPut,
    TableReset,
    pack_range,
    read_range,
)
from monsoonlug.ids import Epoch, FailureDomain, PoolId, Revision, ServerId
from monsoonlug.items import Item, ItemKind, ItemRemoved, ItemTable, find_kind
from monsoonlug.keyranges import NO_OWNER, KeyRange, KeyTable
from monsoonlug.state_machine import StateMachine


class ViewPart(Enum):
    """What of a view has changed; its users work out again only what rests on it."""

    ITEMS = "items"
    SERVERS = "servers"
    KEYS = "keys"


def find_part(change: object) -> ViewPart:
    """Returns the part of the view that a change belongs to."""
    if isinstance(change, KeysAssigned):
        return ViewPart.KEYS
    if isinstance(change, ServerPut | ServerDropped | DomainChanged):
        return ViewPart.SERVERS
    return ViewPart.ITEMS


class FleetView:
    """Items, servers and key ranges at one revision.

    Attributes:
        revision: Log index of the last command that changed the view.
    """

    def __init__(self):
        self.revision = Revision(0)
        self.items = ItemTable()
        self.servers: dict[ServerId, ServerPut] = {}
        self.tables: dict[PoolId, KeyTable] = {}
        self.domains_out: set[FailureDomain] = set()

    def is_in_service(self, server: ServerPut) -> bool:
        """Returns whether a server may get new work."""
        return not server.draining and server.failure_domain not in self.domains_out

    def apply(self, delta: FleetDelta) -> list:
        """Applies the next delta and returns its changes.

        Raises:
            StaleRevision: If the view already has this revision or a later one.
            GapError: If deltas are missing before this one.
            DamagedFrame: If a change cannot be read.
        """
        if delta.revision <= self.revision:
            raise StaleRevision()
        if delta.base != self.revision:
            raise GapError(f"delta follows {delta.base}, view is at {self.revision}")
        changes = [messages.decode(change) for change in delta.changes]
        for change in changes:
            self.change(change)
        self.revision = Revision(delta.revision)
        return changes

    def change(self, change: object) -> None:
        """Applies one change; the revision stays."""
        match change:
            case ServerPut():
                self.servers[change.server] = change
            case ServerDropped():
                self.servers.pop(change.server, None)
            case KeysAssigned():
                table = self.tables[change.pool]
                for row in change.rows:
                    table.assign(read_range(row))
            case DomainChanged(in_service=True):
                self.domains_out.discard(change.failure_domain)
            case DomainChanged(in_service=False):
                self.domains_out.add(change.failure_domain)
            case TableReset(present=True):
                self.tables[change.pool] = KeyTable(pool=change.pool)
            case TableReset(present=False):
                self.tables.pop(change.pool, None)
            case _:
                self.items.put(change)

    def list_changes(self) -> list:
        """Returns the changes that lead from an empty view to this one."""
        changes = self.items.list_changes()
        changes.extend(self.servers.values())
        for pool, table in self.tables.items():
            rows = [pack_range(row) for row in table.iterate() if row.epoch]
            changes.append(TableReset(pool=pool, present=True))
            changes.append(KeysAssigned(pool=pool, rows=rows))
        for domain in sorted(self.domains_out):
            changes.append(DomainChanged(failure_domain=domain, in_service=False))
        return changes

    def pack(self) -> bytes:
        """Returns the whole view as bytes."""
        changes = [messages.encode(change) for change in self.list_changes()]
        return msgpack.packb([self.revision, changes])

    @classmethod
    def unpack(cls, data: bytes) -> "FleetView":
        """Returns the view that was packed.

        Raises:
            DamagedFrame: If the data are no view.
        """
        view = cls()
        try:
            revision, changes = msgpack.unpackb(data)
        except (ValueError, TypeError) as error:
            raise DamagedFrame(f"view cannot be decoded: {error!r}") from error
        for change in changes:
            view.change(messages.decode(change))
        view.revision = Revision(revision)
        return view


class FleetState(StateMachine):
    """The view, and the text of each item as its operator sent it."""

    def __init__(self):
        self.view = FleetView()
        self._sources: dict[tuple[ItemKind, str], str] = {}

    def list_sources(self) -> list[tuple[ItemKind, str, str]]:
        """Returns kind, name and text of the items in force."""
        return [(kind, name, text) for (kind, name), text in self._sources.items()]

    def apply(
        self, index: int, command: FleetCommand
    ) -> tuple[FleetAnswer, FleetDelta | None]:
        """Applies the command at a log index; see `StateMachine`."""
        try:
            changes = self._decide(index, command)
        except BadRequest as error:
            return FleetAnswer(accepted=False, text=str(error)), None
        if not changes:
            return FleetAnswer(accepted=True, text="nothing changed"), None
        base = self.view.revision
        for change in changes:
            self.view.change(change)
        self.view.revision = Revision(index)
        delta = FleetDelta(
            base=base,
            revision=index,
            changes=[messages.encode(change) for change in changes],
        )
        return FleetAnswer(accepted=True, text=""), delta

    def pack(self) -> bytes:
        """Returns the whole state as bytes."""
        rows = [[kind.value, name, text] for kind, name, text in self.list_sources()]
        return msgpack.packb([self.view.pack(), rows])

    @classmethod
    def unpack(cls, data: bytes) -> "FleetState":
        """Returns the state that was packed; see `StateMachine`."""
        state = cls()
        try:
            view, rows = msgpack.unpackb(data)
        except (ValueError, TypeError) as error:
            raise DamagedFrame(f"state cannot be decoded: {error!r}") from error
        state.view = FleetView.unpack(view)
        for kind, name, text in rows:
            state._sources[ItemKind(kind), name] = text
        return state

    @staticmethod
    def decode_command(data: bytes) -> FleetCommand:
        """Returns the command in a log entry; see `StateMachine`."""
        command = messages.decode(data)
        if not isinstance(command, FleetCommand):
            raise DamagedFrame(f"{type(command).__name__} is no command")
        return command

    def _decide(self, index: int, command: FleetCommand) -> list:
        match command:
            case ChangeItems():
                return self._change_items(command)
            case DomainChanged():
                is_out = command.failure_domain in self.view.domains_out
                return [command] if is_out == command.in_service else []
            case PutServer():
                return self._put_server(command)
            case DropServer():
                return self._drop_server(command.server, command.born)
            case AssignKeys():
                return self._assign_keys(index, command)

    def _change_items(self, command: ChangeItems) -> list:
        changes = [messages.decode(change) for change in command.changes]
        sources = dict(zip(map(_name_change, changes), command.sources, strict=True))
        newer = self.view.items.select_newer(changes)
        self.view.items.check(newer)
        for change in newer:
            key = _name_change(change)
            if isinstance(change, ItemRemoved):
                self._sources.pop(key, None)
                continue
            self._sources[key] = sources[key]
        return [*newer, *self._reset_tables(newer)]

    def _reset_tables(self, changes: list[Item | ItemRemoved]) -> list[TableReset]:
        resets = []
        for change in changes:
            kind, name = _name_change(change)
            if kind is not ItemKind.POOL:
                continue
            keyed = not isinstance(change, ItemRemoved) and change.keyed
            if keyed != (name in self.view.tables):
                resets.append(TableReset(pool=PoolId(name), present=keyed))
        return resets

    def _put_server(self, command: PutServer) -> list:
        new = command.record
        put = messages.decode(new)
        held = self.view.servers.get(put.server)
        if held is not None and put.born < held.born:
            return []
        changes = []
        for other in self.view.servers.values():
            if other.server == put.server or other.address != put.address:
                continue
            if other.born > put.born:
                return []
            # Two processes cannot listen at one address.
            changes += self._drop_server(other.server, other.born)
        if held is not None and held.born != put.born:
            changes += self._free_keys(held.server, held.born)
        if put != held:
            changes.append(put)
        return changes

    def _drop_server(self, server: ServerId, born: int) -> list:
        held = self.view.servers.get(server)
        if held is None or held.born != born:
            return []
        changes: list = self._free_keys(server, born)
        changes.append(ServerDropped(server=server, born=born))
        return changes

    def _free_keys(self, server: ServerId, born: int) -> list[KeysAssigned]:
        changes = []
        for pool, table in self.view.tables.items():
            rows = []
            for row in table.iterate():
                if row.owner != server or row.born != born:
                    continue
                freed = KeyRange(start=row.start, end=row.end, epoch=row.epoch)
                rows.append(pack_range(freed))
            if rows:
                changes.append(KeysAssigned(pool=pool, rows=rows))
        return changes

    def _assign_keys(self, index: int, command: AssignKeys) -> list:
        table = self.view.tables.get(command.pool)
        if table is None:
            return []
        rows = []
        for row in command.rows:
            wanted = read_range(row)
            # The owner may have ended between the decision and its commit.
            owner = self.view.servers.get(wanted.owner)
            if wanted.owner != NO_OWNER and (
                owner is None or owner.born != wanted.born
            ):
                wanted = KeyRange(
                    start=wanted.start, end=wanted.end, handover=wanted.handover
                )
            new = KeyRange(
                start=wanted.start,
                end=wanted.end,
                owner=wanted.owner,
                born=wanted.born,
                epoch=Epoch(index),
                handover=wanted.handover,
            )
            rows.append(pack_range(new))
        return [KeysAssigned(pool=command.pool, rows=rows)]


def _name_change(change: Item | ItemRemoved) -> tuple[ItemKind, str]:
    if isinstance(change, ItemRemoved):
        return change.kind, change.name
    return find_kind(change), change.name
