"""Decides how each command of the coordinator changes the view.

A command is ignored if the epochs that it names are no longer those of the view.
"""

from dataclasses import replace

from monsoonlug.commands import (
    AppointGate,
    AssignShard,
    BeginMove,
    Command,
    CommandStatus,
    ConfirmBackup,
    Decision,
    DeregisterHost,
    DeregisterServer,
    FinishMove,
    RegisterHost,
    RegisterServer,
    ReleaseGate,
    iterate_keys,
    iterate_runs,
)
from monsoonlug.deltas import (
    GateRecord,
    HostRecord,
    OverrideRemoved,
    RecordKind,
    RecordRemoved,
    ServerRecord,
    ShardRecord,
    SlicesChanged,
)
from monsoonlug.ids import (
    SLICE_COUNT,
    Epoch,
    HostId,
    ServerId,
    ServerPhase,
    SliceState,
)
from monsoonlug.slices import MAX_OVERRIDES, OverrideRecord, SliceTable, find_slice
from monsoonlug.view import SHARD_COUNT, View

_ASSIGNABLE_STATES = frozenset({SliceState.UNOWNED, SliceState.RELEASING})
_IGNORED = Decision(
    status=CommandStatus.IGNORED, text="the state has changed since the decision"
)


def decide_coordinator_command(view: View, index: int, command: Command) -> Decision:
    """Returns the changes of the view that a command causes at a log index.

    The index becomes the epoch of what the command registers or assigns.
    """
    match command:
        case RegisterHost():
            return _register_host(view, index, command)
        case DeregisterHost():
            return _deregister_host(view, command)
        case RegisterServer():
            return _register_server(view, index, command)
        case DeregisterServer():
            return _deregister_server(view, command)
        case ReleaseGate():
            return _release_gate(view, command)
        case AppointGate():
            return _appoint_gate(view, index, command)
        case BeginMove():
            return _begin_move(view, command)
        case FinishMove():
            return _finish_move(view, index, command)
        case AssignShard():
            return _assign_shard(view, index, command)
        case ConfirmBackup():
            return _confirm_backup(view, command)


def _register_host(view: View, index: int, command: RegisterHost) -> Decision:
    old = view.hosts.get(command.host)
    if old is not None and old.boot == command.boot:
        return _IGNORED
    if any(gate.host == command.host for gate in view.gates.values()):
        return _IGNORED
    if _remove_from_shards(view, command.host):
        return _IGNORED
    record = HostRecord(
        host=command.host,
        failure_domain=command.failure_domain,
        stream=command.stream,
        announce=command.announce,
        boot=command.boot,
        epoch=Epoch(index),
    )
    return Decision(changes=(record,))


def _deregister_host(view: View, command: DeregisterHost) -> Decision:
    record = view.hosts.get(command.host)
    if record is None or record.epoch != command.epoch:
        return _IGNORED
    changes = [RecordRemoved(kind=RecordKind.HOST, key=command.host)]
    for server in sorted(view.gates):
        if view.gates[server].host == command.host:
            changes.append(RecordRemoved(kind=RecordKind.GATE, key=server))
    changes.extend(_remove_from_shards(view, command.host))
    return Decision(changes=tuple(changes))


def _remove_from_shards(view: View, host: str) -> list[ShardRecord]:
    changes = []
    for shard in sorted(view.shards):
        old = view.shards[shard]
        if host not in (old.primary, old.backup):
            continue
        record = replace(old, backup="", backup_ready=False)
        if host == old.primary and old.backup_ready:
            record = replace(record, primary=old.backup)
        elif host == old.primary:
            boot = view.hosts[host].boot
            record = replace(record, primary="", lost_host=host, lost_boot=boot)
        changes.append(record)
    return changes


def _register_server(view: View, index: int, command: RegisterServer) -> Decision:
    if all(pool.name != command.pool for pool in view.catalogue.pools):
        return _IGNORED
    old = view.servers.get(command.server)
    same_process = old is not None and _is_same_process(old, command)
    if old is not None and not same_process and command.server in view.gates:
        return _IGNORED
    record = ServerRecord(
        server=command.server,
        pool=command.pool,
        address=command.address,
        failure_domain=command.failure_domain,
        boot=command.boot,
        epoch=old.epoch if same_process else Epoch(index),
        draining=command.phase is ServerPhase.DRAINING,
    )
    if record == old:
        return _IGNORED
    unassigned = (
        [] if old is None or same_process else _unassign_slices(view, command.server)
    )
    return Decision(changes=(record, *unassigned))


def _deregister_server(view: View, command: DeregisterServer) -> Decision:
    record = view.servers.get(command.server)
    if record is None or record.epoch != command.epoch:
        return _IGNORED
    gate = view.gates.get(command.server)
    if (gate.epoch if gate else 0) != command.gate_epoch:
        return _IGNORED
    changes = [RecordRemoved(kind=RecordKind.SERVER, key=command.server)]
    if gate:
        changes.append(RecordRemoved(kind=RecordKind.GATE, key=command.server))
    changes.extend(_unassign_slices(view, command.server))
    return Decision(changes=tuple(changes))


def _unassign_slices(view: View, server: ServerId) -> list:
    changes = []
    for pool in sorted(view.slices):
        table = view.slices[pool]
        runs = []
        for state in (SliceState.OWNED, SliceState.RELEASING):
            for run in table.list_runs(state=state, owner=server):
                runs.extend((run.start, run.count))
        if runs:
            changes.append(
                SlicesChanged(
                    pool=pool,
                    owner=ServerId(""),
                    epoch=None,
                    state=SliceState.UNOWNED,
                    runs=runs,
                )
            )
        for old in table.overrides.values():
            if old.owner == server:
                changes.append(
                    replace(old, owner=ServerId(""), state=SliceState.UNOWNED)
                )
    return changes


def _release_gate(view: View, command: ReleaseGate) -> Decision:
    gate = view.gates.get(command.server)
    if gate is None or gate.epoch != command.gate_epoch or gate.releasing:
        return _IGNORED
    return Decision(changes=(replace(gate, releasing=True),))


def _appoint_gate(view: View, index: int, command: AppointGate) -> Decision:
    server = view.servers.get(command.server)
    host = view.hosts.get(command.host)
    gate = view.gates.get(command.server)
    if server is None or server.epoch != command.server_epoch:
        return _IGNORED
    if host is None or host.epoch != command.host_epoch:
        return _IGNORED
    if (gate.epoch if gate else 0) != command.replaces:
        return _IGNORED
    if gate is not None and not gate.releasing:
        return _IGNORED
    record = GateRecord(
        server=command.server,
        host=command.host,
        epoch=Epoch(index),
        releasing=False,
        predecessor_lost=gate is None and _owns_slices(view, server),
    )
    return Decision(changes=(record,))


def _owns_slices(view: View, server: ServerRecord) -> bool:
    table = view.slices.get(server.pool)
    return table is not None and table.count_held(server.server) > 0


def _begin_move(view: View, command: BeginMove) -> Decision:
    table = view.slices.get(command.pool)
    if table is None:
        return _IGNORED
    changes = []
    runs = _select_runs(table, command.runs, frozenset({SliceState.OWNED}))
    if runs:
        changes.append(
            SlicesChanged(
                pool=command.pool,
                owner=None,
                epoch=None,
                state=SliceState.RELEASING,
                runs=runs,
            )
        )
    free_overrides = MAX_OVERRIDES - len(table.overrides)
    for key_hash, epoch in iterate_keys(command.keys):
        old = table.overrides.get(key_hash) or table.get(find_slice(key_hash))
        if old.epoch != epoch or old.state is not SliceState.OWNED:
            continue
        if key_hash not in table.overrides:
            if free_overrides <= 0:
                continue
            free_overrides -= 1
        changes.append(
            OverrideRecord(
                pool=command.pool,
                key_hash=key_hash,
                owner=old.owner,
                epoch=old.epoch,
                state=SliceState.RELEASING,
            )
        )
    return Decision(changes=tuple(changes)) if changes else _IGNORED


def _finish_move(view: View, index: int, command: FinishMove) -> Decision:
    table = view.slices.get(command.pool)
    server = view.servers.get(command.owner)
    if table is None or server is None or server.epoch != command.owner_epoch:
        return _IGNORED
    if server.pool != command.pool:
        return _IGNORED
    runs = _select_runs(table, command.runs, _ASSIGNABLE_STATES)
    changes = []
    for key_hash, epoch in iterate_keys(command.keys):
        old = table.overrides.get(key_hash)
        if old is None or old.epoch != epoch or old.state not in _ASSIGNABLE_STATES:
            continue
        home_slice = table.get(find_slice(key_hash))
        if home_slice.owner == command.owner and home_slice.state is SliceState.OWNED:
            changes.append(OverrideRemoved(pool=command.pool, key_hash=key_hash))
            runs.extend((home_slice.slice, 1))
            continue
        changes.append(
            OverrideRecord(
                pool=command.pool,
                key_hash=key_hash,
                owner=command.owner,
                epoch=Epoch(index),
                state=SliceState.OWNED,
            )
        )
    if runs:
        changes.append(
            SlicesChanged(
                pool=command.pool,
                owner=command.owner,
                epoch=Epoch(index),
                state=SliceState.OWNED,
                runs=runs,
            )
        )
    return Decision(changes=tuple(changes)) if changes else _IGNORED


def _assign_shard(view: View, index: int, command: AssignShard) -> Decision:
    old = view.shards.get(command.shard)
    if (old.epoch if old else 0) != command.epoch:
        return _IGNORED
    if not 0 <= command.shard < SHARD_COUNT or command.primary == command.backup:
        return _IGNORED
    if not _is_registered(view, command.primary, command.primary_epoch):
        return _IGNORED
    if command.backup and not _is_registered(
        view, command.backup, command.backup_epoch
    ):
        return _IGNORED
    record_holders = set()
    if old is not None:
        record_holders = {old.primary} | ({old.backup} if old.backup_ready else set())
    has_records = command.primary in record_holders or _is_returning_primary(
        view, old, command.primary
    )
    if old is not None and old.primary and not has_records:
        return _IGNORED
    record = ShardRecord(
        shard=command.shard,
        primary=command.primary,
        backup=command.backup,
        epoch=Epoch(index),
        backup_ready=has_records
        and bool(command.backup)
        and command.backup in record_holders,
        records_lost_epoch=old.records_lost_epoch if old else Epoch(0),
    )
    if old is not None and not has_records:
        record = replace(record, records_lost_epoch=record.epoch)
    return Decision(changes=(record,))


def _is_returning_primary(view: View, old: ShardRecord | None, primary: HostId) -> bool:
    # No other host has been primary since, so the process still holds every record.
    if old is None or old.primary or old.lost_host != primary:
        return False
    return view.hosts[primary].boot == old.lost_boot


def _is_registered(view: View, host: str, epoch: Epoch) -> bool:
    record = view.hosts.get(host)
    return record is not None and record.epoch == epoch


def _confirm_backup(view: View, command: ConfirmBackup) -> Decision:
    old = view.shards.get(command.shard)
    if old is None or old.epoch != command.epoch:
        return _IGNORED
    if not old.backup or old.backup_ready:
        return _IGNORED
    return Decision(changes=(replace(old, backup_ready=True),))


def _is_same_process(old: ServerRecord, command: RegisterServer) -> bool:
    return old.boot == command.boot and old.pool == command.pool


def _select_runs(
    table: SliceTable, runs: list, states: frozenset[SliceState]
) -> list[int]:
    selected = []
    for start, count, epoch in iterate_runs(runs):
        if start < 0 or count < 1 or start + count > SLICE_COUNT:
            continue
        for run in table.iterate_runs(start, count):
            if run.epoch == epoch and run.state in states:
                selected.extend((run.start, run.count))
    return selected
