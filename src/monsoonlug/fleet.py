"""Replicated state machine of a fleet whose backend servers register with control.

It holds the configuration items, the failure domains that are out of service, the
backend servers and the key ranges that each server owns. Entries keep a copy of it, the
view, and update the copy with numbered deltas.
"""

from collections.abc import Sequence
from enum import Enum

import msgpack

from monsoonlug import messages
from monsoonlug.exceptions import (
    BadRequest,
    DamagedFrame,
    RevisionGap,
    StaleRevision,
    UnknownMessage,
)
from monsoonlug.fleet_messages import (
    AssignKeys,
    ChangeItems,
    DomainChanged,
    FleetCommand,
    FleetCommandResult,
    FleetDelta,
    FleetServer,
    KeysAssigned,
    KeyTableChanged,
    PutServer,
    RemoveServer,
    ServerRemoved,
    pack_range,
    read_range,
)
from monsoonlug.ids import Epoch, FailureDomain, PoolId, Revision, ServerId
from monsoonlug.items import Item, ItemKind, ItemRemoved, ItemTable, get_key
from monsoonlug.keyranges import NO_OWNER, KeyRange, KeyTable, are_contiguous
from monsoonlug.logs import get_logger
from monsoonlug.rollout_messages import (
    CommandLevelRaised,
    Rollout,
    RolloutAdvanced,
    RolloutStarted,
    RolloutState,
    ServerVersionSet,
)
from monsoonlug.rollout_state import (
    advance_rollout,
    end_dropped_rollout,
    set_version,
    start_rollout,
)
from monsoonlug.state_machine import StateMachine

logger = get_logger("subscription")


class ViewPart(Enum):
    """Part of a view; a change of it affects only what is computed from that part."""

    ITEMS = "items"
    SERVERS = "servers"
    KEYS = "keys"


def classify_change(change: object) -> ViewPart:
    """Returns the part of the view that a change affects."""
    if isinstance(change, KeysAssigned):
        return ViewPart.KEYS
    if isinstance(
        change,
        FleetServer | ServerRemoved | DomainChanged | Rollout | ServerVersionSet,
    ):
        return ViewPart.SERVERS
    return ViewPart.ITEMS


class FleetView:
    """Items, servers and key ownership at one revision.

    Attributes:
        revision: Log index of the last command that changed the view.
        tables: Key ownership of each pool that is routed by key.
        rollouts: Latest rollout of each pool that had one.
        versions: Software versions of servers, where known; a row may be one of an
            earlier process.
    """

    def __init__(self):
        self.revision = Revision(0)
        self.items = ItemTable()
        self.servers: dict[ServerId, FleetServer] = {}
        self.tables: dict[PoolId, KeyTable] = {}
        self.out_of_service_domains: set[FailureDomain] = set()
        self.rollouts: dict[PoolId, Rollout] = {}
        self.versions: dict[ServerId, ServerVersionSet] = {}

    def get_version(self, server: FleetServer) -> str:
        """Returns the software version of a server, or an empty string."""
        row = self.versions.get(server.server)
        return row.version if row is not None and row.born == server.born else ""

    def find_running_rollout(self, pool: PoolId) -> Rollout | None:
        """Returns the rollout of a pool if it is running."""
        rollout = self.rollouts.get(pool)
        if rollout is None or rollout.state is not RolloutState.RUNNING:
            return None
        return rollout

    def is_target(self, server: FleetServer) -> bool:
        """Returns whether a server has the target version of its pool's rollout.

        A rollout that succeeded has no effect any more.
        """
        rollout = self.rollouts.get(server.pool)
        if rollout is None or rollout.state is RolloutState.SUCCEEDED:
            return False
        return self.get_version(server) == rollout.version

    def is_in_service(self, server: FleetServer) -> bool:
        """Returns whether a server may receive new requests."""
        return (
            not server.draining
            and server.failure_domain not in self.out_of_service_domains
            and not self.is_rolled_back(server)
        )

    def is_rolled_back(self, server: FleetServer) -> bool:
        """Returns whether the latest rollout rolled back the version of a server."""
        rollout = self.rollouts.get(server.pool)
        if rollout is None or rollout.state is not RolloutState.ROLLED_BACK:
            return False
        return self.get_version(server) == rollout.version

    def apply(self, delta: FleetDelta) -> list:
        """Applies the next delta and returns its changes.

        Raises:
            StaleRevision: If the view is at this revision or a later one.
            RevisionGap: If the delta's base is not the revision of the view.
            DamagedFrame: If a change cannot be decoded.
        """
        if delta.revision <= self.revision:
            raise StaleRevision()
        if delta.base != self.revision:
            raise RevisionGap(
                f"delta applies to revision {delta.base}, "
                f"but the view is at revision {self.revision}"
            )
        changes = _decode_known(delta.changes)
        for change in changes:
            self.apply_change(change)
        self.revision = Revision(delta.revision)
        return changes

    def apply_change(self, change: object) -> None:
        """Applies one change without updating the revision."""
        match change:
            case FleetServer():
                self.servers[change.server] = change
            case ServerRemoved():
                self.servers.pop(change.server, None)
                self.versions.pop(change.server, None)
            case Rollout():
                self.rollouts[change.pool] = change
            case ServerVersionSet():
                self.versions[change.server] = change
            case KeysAssigned():
                self._assign_keys(change)
            case DomainChanged(in_service=True):
                self.out_of_service_domains.discard(change.failure_domain)
            case DomainChanged(in_service=False):
                self.out_of_service_domains.add(change.failure_domain)
            case KeyTableChanged(present=True):
                self.tables[change.pool] = KeyTable(pool=change.pool)
            case KeyTableChanged(present=False):
                self.tables.pop(change.pool, None)
            case _:
                self.items.apply(change)

    def _assign_keys(self, change: KeysAssigned) -> None:
        table = self.tables[change.pool]
        ranges = [read_range(row) for row in change.rows]
        if are_contiguous(ranges):
            table.assign_all(ranges)
            return
        for key_range in ranges:
            table.assign(key_range)

    def list_changes(self) -> list:
        """Returns the changes that build this view from an empty one."""
        changes = self.items.list_changes()
        changes.extend(self.servers.values())
        for pool, table in self.tables.items():
            rows = [pack_range(row) for row in table.iterate() if row.epoch]
            changes.append(KeyTableChanged(pool=pool, present=True))
            changes.append(KeysAssigned(pool=pool, rows=rows))
        for domain in sorted(self.out_of_service_domains):
            changes.append(DomainChanged(failure_domain=domain, in_service=False))
        changes.extend(self.versions.values())
        changes.extend(self.rollouts.values())
        return changes

    def pack(self) -> bytes:
        """Returns the view, serialized."""
        changes = [messages.encode(change) for change in self.list_changes()]
        return msgpack.packb([self.revision, changes])

    @classmethod
    def unpack(cls, data: bytes, *, skip_unknown: bool = False) -> "FleetView":
        """Returns the view that `pack` serialized.

        Args:
            data: The serialized view.
            skip_unknown: Whether to leave out changes of later versions, as entries
                may, but replicas of the state may not.

        Raises:
            DamagedFrame: If the data cannot be decoded.
        """
        view = cls()
        try:
            revision, changes = msgpack.unpackb(data)
        except (ValueError, TypeError) as error:
            raise DamagedFrame(f"view cannot be decoded: {error!r}") from error
        if skip_unknown:
            known = _decode_known(changes)
        else:
            known = [messages.decode(change) for change in changes]
        for change in known:
            view.apply_change(change)
        view.revision = Revision(revision)
        return view


def build_item_command(
    changes: Sequence[Item | ItemRemoved], sources: Sequence[str]
) -> ChangeItems:
    """Returns the command for the changes of one call, without overtaken ones.

    A command with several changes of an item would keep the text of the last one, not
    of the newest. That is decided here and not when the command is applied, as the
    replicas of all versions must get the same state from it.

    Args:
        changes: The changes.
        sources: Text of each change; empty for a removal.
    """
    newest = ItemTable().find_newest(changes)
    return ChangeItems(
        changes=[messages.encode(changes[position]) for position in newest],
        sources=[sources[position] for position in newest],
    )


class FleetState(StateMachine):
    """The view, and the source text of each item as the operator submitted it.

    Attributes:
        command_level: Level of the commands that all members of the group understand.
    """

    def __init__(self):
        self.view = FleetView()
        self.command_level = 0
        self._sources: dict[tuple[ItemKind, str], str] = {}

    def list_sources(self) -> list[tuple[ItemKind, str, str]]:
        """Returns kind, name and source text of the current items."""
        return [(kind, name, text) for (kind, name), text in self._sources.items()]

    def apply(
        self, index: int, command: FleetCommand
    ) -> tuple[FleetCommandResult, FleetDelta | None]:
        """Applies the command at a log index; see `StateMachine`."""
        try:
            changes = self._compute_changes(index, command)
        except BadRequest as error:
            return FleetCommandResult(accepted=False, text=str(error)), None
        if not changes:
            return FleetCommandResult(accepted=True, text="nothing changed"), None
        base = self.view.revision
        for change in changes:
            self.view.apply_change(change)
        self.view.revision = Revision(index)
        delta = FleetDelta(
            base=base,
            revision=index,
            changes=[messages.encode(change) for change in changes],
        )
        return FleetCommandResult(accepted=True, text=""), delta

    def pack(self) -> bytes:
        """Returns the state, serialized."""
        rows = [[kind.value, name, text] for kind, name, text in self.list_sources()]
        values: list = [self.view.pack(), rows]
        if self.command_level:
            # Members of level 0 read exactly two values.
            values.append(self.command_level)
        return msgpack.packb(values)

    @classmethod
    def unpack(cls, data: bytes) -> "FleetState":
        """Returns the state that `pack` serialized; see `StateMachine`."""
        state = cls()
        try:
            view, rows, *levels = msgpack.unpackb(data)
        except (ValueError, TypeError) as error:
            raise DamagedFrame(f"state cannot be decoded: {error!r}") from error
        state.view = FleetView.unpack(view)
        state.command_level = levels[0] if levels else 0
        for kind, name, text in rows:
            state._sources[ItemKind(kind), name] = text
        return state

    @staticmethod
    def decode_command(data: bytes) -> FleetCommand:
        """Decodes the command in a log entry; see `StateMachine`."""
        command = messages.decode(data)
        if not isinstance(command, FleetCommand):
            raise DamagedFrame(f"{type(command).__name__} is not a fleet command")
        return command

    def _compute_changes(self, index: int, command: FleetCommand) -> list:
        match command:
            case ChangeItems():
                return self._change_items(command)
            case DomainChanged():
                is_out = command.failure_domain in self.view.out_of_service_domains
                return [command] if is_out == command.in_service else []
            case PutServer():
                return self._put_server(command)
            case RemoveServer():
                return self._remove_server(command.server, command.born)
            case AssignKeys():
                return self._assign_keys(index, command)
            case RolloutStarted():
                return start_rollout(self.view, index, command)
            case RolloutAdvanced():
                return advance_rollout(self.view, command)
            case ServerVersionSet():
                return set_version(self.view, command)
            case CommandLevelRaised():
                self.command_level = max(self.command_level, command.level)
                return []

    def _change_items(self, command: ChangeItems) -> list:
        changes = [messages.decode(change) for change in command.changes]
        # `build_item_command` leaves one change of each item. Commands of earlier
        # versions may have more; their last text counts, as on the replicas of these.
        sources = dict(zip(map(get_key, changes), command.sources, strict=True))
        newer = self.view.items.select_newer(changes)
        self.view.items.check(newer)
        for change in newer:
            key = get_key(change)
            if isinstance(change, ItemRemoved):
                self._sources.pop(key, None)
                continue
            self._sources[key] = sources[key]
        return [
            *self._end_dropped_rollouts(newer),
            *newer,
            *self._update_key_tables(newer),
        ]

    def _end_dropped_rollouts(self, changes: list[Item | ItemRemoved]) -> list:
        ended = []
        for change in changes:
            if isinstance(change, ItemRemoved) and change.kind is ItemKind.POOL:
                ended += end_dropped_rollout(self.view, PoolId(change.name))
        return ended

    def _update_key_tables(
        self, changes: list[Item | ItemRemoved]
    ) -> list[KeyTableChanged]:
        updates = []
        for change in changes:
            kind, name = get_key(change)
            if kind is not ItemKind.POOL:
                continue
            keyed = not isinstance(change, ItemRemoved) and change.keyed
            if keyed != (name in self.view.tables):
                updates.append(KeyTableChanged(pool=PoolId(name), present=keyed))
        return updates

    def _put_server(self, command: PutServer) -> list:
        encoded = command.record
        record = messages.decode(encoded)
        current = self.view.servers.get(record.server)
        if current is not None and record.born < current.born:
            return []
        changes = []
        for other in self.view.servers.values():
            if other.server == record.server or other.address != record.address:
                continue
            if other.born > record.born:
                return []
            # Two processes cannot listen on one address, so the older one has ended.
            changes += self._remove_server(other.server, other.born)
        if current is not None and current.born != record.born:
            changes += self._unassign_keys(current.server, current.born)
        if record != current:
            changes.append(record)
        return changes

    def _remove_server(self, server: ServerId, born: int) -> list:
        current = self.view.servers.get(server)
        if current is None or current.born != born:
            return []
        changes: list = self._unassign_keys(server, born)
        changes.append(ServerRemoved(server=server, born=born))
        return changes

    def _unassign_keys(self, server: ServerId, born: int) -> list[KeysAssigned]:
        changes = []
        for pool, table in self.view.tables.items():
            rows = []
            for row in table.iterate():
                if row.owner != server or row.born != born:
                    continue
                unowned = KeyRange(start=row.start, end=row.end, epoch=row.epoch)
                rows.append(pack_range(unowned))
            if rows:
                changes.append(KeysAssigned(pool=pool, rows=rows))
        return changes

    def _assign_keys(self, index: int, command: AssignKeys) -> list:
        table = self.view.tables.get(command.pool)
        if table is None:
            return []
        rows = []
        for row in command.rows:
            requested = read_range(row)
            # The owner may have been removed or replaced between the leader's decision
            # and the commit. The range then stays without an owner.
            owner = self.view.servers.get(requested.owner)
            if requested.owner != NO_OWNER and (
                owner is None or owner.born != requested.born
            ):
                requested = KeyRange(
                    start=requested.start,
                    end=requested.end,
                    handover=requested.handover,
                )
            new = KeyRange(
                start=requested.start,
                end=requested.end,
                owner=requested.owner,
                born=requested.born,
                epoch=Epoch(index),
                handover=requested.handover,
            )
            rows.append(pack_range(new))
        return [KeysAssigned(pool=command.pool, rows=rows)]


def _decode_known(changes: list[bytes]) -> list:
    """Decodes changes of a view and leaves out those of later versions."""
    known = []
    for change in changes:
        try:
            known.append(messages.decode(change))
        except UnknownMessage as error:
            logger.info("Left out a change of the view: {}.", error)
    return known
