"""Decision logic of the control leader: chooses the commands to propose.

The caller passes messages from entries to `receive`, calls `decide` periodically and
after each commit, proposes the returned commands, and reports each applied command
with `mark_committed`.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from monsoonlug.commands import (
    AppointGate,
    AssignShard,
    BeginMove,
    Command,
    ConfirmBackup,
    DeregisterHost,
    DeregisterServer,
    FinishMove,
    RegisterHost,
    RegisterServer,
    ReleaseGate,
)
from monsoonlug.ids import SLICE_COUNT, HostId, PoolId, ServerId, ServerPhase
from monsoonlug.messages import (
    BackupReady,
    GateReleased,
    Heartbeat,
    KeysReleased,
    ServerAnnounced,
    ServerLost,
    SlicesReleased,
)
from monsoonlug.placement import plan_gate_releases, plan_gates
from monsoonlug.rebalancer import PoolRebalancer
from monsoonlug.sessions import SessionTable
from monsoonlug.sharding import plan_shards
from monsoonlug.slices import KEY_HASH_COUNT
from monsoonlug.state import ControlState
from monsoonlug.view import View

DECIDE_INTERVAL = 0.025  # seconds between calls of `decide` without commits
OBSERVATION_TIMEOUT = 0.300  # seconds; a live server announces itself three times in it
# Seconds for which a record shard that lost both its hosts waits for the process that
# may still hold the records. A new, empty shard responds "unknown" for 600 s.
SHARD_REASSIGN_DELAY = 3.0
PROPOSAL_TIMEOUT = 2.0  # seconds until an uncommitted command may be proposed again
MAX_RELEASING_GATES = 8  # gates that may be in transit between hosts at once
GATE_BALANCE_INTERVAL = 1.0  # seconds between gate moves that only improve the balance
LOAD_SUM_INTERVAL = 5.0  # seconds between sums of the reported loads
HEARTBEAT_MAX_AGE = 2.0  # seconds after which a host's last heartbeat is ignored


@dataclass(frozen=True, slots=True, kw_only=True)
class _Subject:
    """Entity that a command changes; it has one pending command or batch at a time."""

    kind: type
    name: str | int


@dataclass(slots=True, kw_only=True)
class _Pending:
    """Proposed commands that are not committed yet."""

    commands: list[Command]
    expires_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class _ReceivedMessage:
    """Last message from a host or about a server, with its time of receipt."""

    received_at: float
    message: Heartbeat | ServerAnnounced


class Coordinator:
    """Decision logic of one leader; its state is not replicated.

    Args:
        now: Time of the election, in seconds.
    """

    def __init__(self, *, now: float):
        self._elected_at = now
        self._pending: dict[_Subject, _Pending] = {}
        self._heartbeats: dict[HostId, _ReceivedMessage] = {}
        self._load_reports: dict[HostId, _ReceivedMessage] = {}
        self._announcements: dict[ServerId, _ReceivedMessage] = {}
        self._lost_servers: dict[ServerId, ServerLost] = {}
        self._gates_released: dict[ServerId, int] = {}
        self._ready_backups: dict[int, int] = {}
        self._rebalancers: dict[PoolId, PoolRebalancer] = {}
        self._loads: dict[PoolId, dict[int, float]] = {}
        self._key_rates: dict[PoolId, dict[int, float]] = {}
        self._loads_summed_at = now
        self._next_gate_balance = now
        self._shards_planned: tuple | None = None
        self._records_lost_at = math.inf

    def receive(self, now: float, message: object) -> None:
        """Stores a message from an entry for the next call of `decide`."""
        match message:
            case Heartbeat():
                self._heartbeats[message.host] = _ReceivedMessage(
                    received_at=now, message=message
                )
                if message.hot_slices or message.hot_keys:
                    self._load_reports[message.host] = _ReceivedMessage(
                        received_at=now, message=message
                    )
            case ServerAnnounced():
                self._announcements[message.server] = _ReceivedMessage(
                    received_at=now, message=message
                )
            case ServerLost():
                self._lost_servers[message.server] = message
                received = self._announcements.get(message.server)
                if received is not None and received.message.boot == message.boot:
                    del self._announcements[message.server]
            case GateReleased():
                self._gates_released[message.server] = message.gate_epoch
            case SlicesReleased() | KeysReleased():
                self._get_rebalancer(message.pool).record_release(message)
            case BackupReady():
                self._ready_backups[message.shard] = message.epoch

    def mark_committed(self, command: Command) -> None:
        """Marks a command as committed, whichever replica proposed it."""
        subject = _get_subject(command)
        pending = self._pending.get(subject)
        if pending is None or command not in pending.commands:
            return
        pending.commands.remove(command)
        if not pending.commands:
            del self._pending[subject]

    def decide(
        self, now: float, state: ControlState, sessions: SessionTable
    ) -> list[Command]:
        """Returns the commands to propose now.

        `ControlState.apply` ignores a command that no longer applies when it is
        committed. A command is returned again only if it was not committed within
        `PROPOSAL_TIMEOUT`.
        """
        view = state.view
        sessions.track(now, view.hosts.values())
        expired = set(sessions.expire(now))
        self._drop_expired(now)
        commands: list[Command] = []
        self._propose(now, commands, self._deregister_hosts(view, expired))
        live = sessions.list_live()
        leaving = self._list_leaving_hosts(view)
        usable = live - leaving
        self._propose(now, commands, self._register_hosts(now, view))
        self._propose(now, commands, self._register_servers(now, view))
        self._propose(now, commands, self._deregister_lost_servers(view))
        self._propose(now, commands, self._appoint_first_gates(now, view, usable))
        self._propose(now, commands, self._replace_gates(view, usable))
        self._propose(now, commands, self._release_gates(now, view, live, leaving))
        self._propose(now, commands, self._confirm_backups(view))
        self._propose(now, commands, self._place_shards(now, view, usable))
        self._sum_loads(now)
        for pool in view.catalogue.pools:
            if pool.keyed and not self._is_pending(FinishMove, pool.name):
                rebalancer = self._get_rebalancer(pool.name)
                loads = self._loads.get(pool.name, _NO_LOADS)
                rates = self._key_rates.get(pool.name, _NO_LOADS)
                batch = rebalancer.decide(now, view, pool, loads, rates)
                self._propose_batch(now, commands, batch)
        return commands

    # Pending commands.

    def _propose(
        self, now: float, commands: list[Command], candidates: Iterable[Command]
    ) -> None:
        for command in candidates:
            subject = _get_subject(command)
            if subject in self._pending:
                continue
            self._pending[subject] = _Pending(
                commands=[command], expires_at=now + PROPOSAL_TIMEOUT
            )
            commands.append(command)

    def _propose_batch(
        self, now: float, commands: list[Command], batch: list[Command]
    ) -> None:
        if not batch:
            return
        subject = _get_subject(batch[0])
        self._pending[subject] = _Pending(
            commands=list(batch), expires_at=now + PROPOSAL_TIMEOUT
        )
        commands.extend(batch)

    def _is_pending(self, kind: type, name: str) -> bool:
        return _Subject(kind=kind, name=name) in self._pending

    def _drop_expired(self, now: float) -> None:
        expired_subjects = [
            subject
            for subject, pending in self._pending.items()
            if pending.expires_at <= now
        ]
        for subject in expired_subjects:
            del self._pending[subject]

    # Hosts.

    def _deregister_hosts(self, view: View, expired: set[HostId]) -> Iterable[Command]:
        for host in sorted(expired):
            if host in view.hosts:
                yield DeregisterHost(host=host, epoch=view.hosts[host].epoch)

    def _register_hosts(self, now: float, view: View) -> Iterable[Command]:
        for host, received in list(self._heartbeats.items()):
            if now - received.received_at >= HEARTBEAT_MAX_AGE:
                del self._heartbeats[host]
                continue
            message = received.message
            record = view.hosts.get(host)
            if record is not None and record.boot == message.boot:
                continue
            if now - received.received_at >= OBSERVATION_TIMEOUT or _has_role(
                view, host
            ):
                continue
            yield RegisterHost(
                host=host,
                failure_domain=message.failure_domain,
                stream=message.stream,
                announce=message.announce,
                boot=message.boot,
            )

    def _list_leaving_hosts(self, view: View) -> set[HostId]:
        leaving = set()
        for host, received in self._heartbeats.items():
            record = view.hosts.get(host)
            if (
                received.message.leaving
                and record
                and record.boot == received.message.boot
            ):
                leaving.add(host)
        return leaving

    # Backend servers and their gates.

    def _register_servers(self, now: float, view: View) -> Iterable[Command]:
        pools = {pool.name for pool in view.catalogue.pools}
        for server, received in list(self._announcements.items()):
            if now - received.received_at >= OBSERVATION_TIMEOUT:
                del self._announcements[server]
                continue
            message = received.message
            record = view.servers.get(server)
            phase = _read_phase(message.phase)
            if message.pool not in pools or phase is None:
                continue
            if record is not None:
                is_same_process = (
                    record.boot == message.boot and record.pool == message.pool
                )
                draining = phase is ServerPhase.DRAINING
                if is_same_process and record.draining == draining:
                    continue
                if not is_same_process and server in view.gates:
                    continue
            yield RegisterServer(
                server=server,
                pool=message.pool,
                address=message.address,
                failure_domain=message.failure_domain,
                boot=message.boot,
                phase=phase,
            )

    def _deregister_lost_servers(self, view: View) -> Iterable[Command]:
        for server, message in list(self._lost_servers.items()):
            record, gate = view.servers.get(server), view.gates.get(server)
            if (
                record is None
                or gate is None
                or record.boot != message.boot
                or gate.epoch != message.gate_epoch
            ):
                del self._lost_servers[server]
                continue
            yield DeregisterServer(
                server=server, epoch=record.epoch, gate_epoch=gate.epoch
            )

    def _appoint_first_gates(
        self, now: float, view: View, usable: set[HostId]
    ) -> Iterable[Command]:
        if len(view.gates) == len(view.servers):
            return
        announced = {}
        for server in sorted(view.servers):
            if server in view.gates:
                continue
            record = view.servers[server]
            received = self._announcements.get(server)
            if received is not None and received.message.boot == record.boot:
                announced[server] = 0
                continue
            # A new leader must first wait for the announcements of live servers.
            if now - self._elected_at >= OBSERVATION_TIMEOUT:
                yield DeregisterServer(server=server, epoch=record.epoch, gate_epoch=0)
        yield from plan_gates(view, usable, servers=announced)

    def _replace_gates(self, view: View, usable: set[HostId]) -> Iterable[Command]:
        released = {}
        for server, epoch in list(self._gates_released.items()):
            gate = view.gates.get(server)
            if gate is None or gate.epoch != epoch or not gate.releasing:
                del self._gates_released[server]
                continue
            released[server] = epoch
        if released:
            yield from plan_gates(view, usable, servers=released)

    def _release_gates(
        self, now: float, view: View, live: set[HostId], leaving: set[HostId]
    ) -> Iterable[Command]:
        has_gateless_servers = len(view.gates) != len(view.servers)
        hosts = {gate.host for gate in view.gates.values()}
        evacuated = leaving | {
            host
            for host in hosts
            if host in view.hosts and not view.is_in_service(view.hosts[host])
        }
        if not hosts & evacuated:
            if has_gateless_servers or now < self._next_gate_balance:
                return
            self._next_gate_balance = now + GATE_BALANCE_INTERVAL
        yield from plan_gate_releases(
            view, live, leaving=leaving, limit=MAX_RELEASING_GATES
        )

    # Record shards.

    def _confirm_backups(self, view: View) -> Iterable[Command]:
        for shard, epoch in list(self._ready_backups.items()):
            record = view.shards.get(shard)
            is_current = record is not None and record.epoch == epoch
            # The state ignores the confirmation of a shard without a backup. It would
            # be proposed again after each commit.
            if not is_current or not record.backup or record.backup_ready:
                del self._ready_backups[shard]
                continue
            yield ConfirmBackup(shard=shard, epoch=epoch)

    def _place_shards(
        self, now: float, view: View, usable: set[HostId]
    ) -> Iterable[Command]:
        if any(record.lost_host for record in view.shards.values()):
            self._records_lost_at = min(self._records_lost_at, now)
        else:
            self._records_lost_at = math.inf
        await_lost_hosts = now - self._records_lost_at < SHARD_REASSIGN_DELAY
        planned = (
            view.revision,
            frozenset(usable),
            now // PROPOSAL_TIMEOUT,
            await_lost_hosts,
        )
        if planned == self._shards_planned:
            return
        self._shards_planned = planned
        yield from plan_shards(view, usable, await_lost_hosts=await_lost_hosts)

    # Pools.

    def _get_rebalancer(self, pool: PoolId) -> PoolRebalancer:
        rebalancer = self._rebalancers.get(pool)
        if rebalancer is None:
            rebalancer = self._rebalancers[pool] = PoolRebalancer(pool=pool)
        return rebalancer

    def _sum_loads(self, now: float) -> None:
        if now - self._loads_summed_at < LOAD_SUM_INTERVAL:
            return
        self._loads_summed_at = now
        loads: dict[PoolId, dict[int, float]] = {}
        rates: dict[PoolId, dict[int, float]] = {}
        for host, received in list(self._load_reports.items()):
            if now - received.received_at >= LOAD_SUM_INTERVAL:
                del self._load_reports[host]
                continue
            _add_rates(loads, received.message.hot_slices, SLICE_COUNT)
            _add_rates(rates, received.message.hot_keys, KEY_HASH_COUNT)
        self._loads, self._key_rates = loads, rates


_NO_LOADS: Mapping[int, float] = {}


def _get_subject(command: Command) -> _Subject:
    match command:
        case RegisterHost() | DeregisterHost():
            return _Subject(kind=DeregisterHost, name=command.host)
        case RegisterServer() | DeregisterServer() | ReleaseGate() | AppointGate():
            return _Subject(kind=DeregisterServer, name=command.server)
        case BeginMove() | FinishMove():
            return _Subject(kind=FinishMove, name=command.pool)
        case AssignShard() | ConfirmBackup():
            return _Subject(kind=AssignShard, name=command.shard)
        case _:
            return _Subject(kind=type(command), name=command.change_id)


def _has_role(view: View, host: HostId) -> bool:
    if any(gate.host == host for gate in view.gates.values()):
        return True
    return any(host in (item.primary, item.backup) for item in view.shards.values())


def _read_phase(phase: str) -> ServerPhase | None:
    try:
        return ServerPhase(phase)
    except ValueError:
        return None


def _add_rates(sums: dict[PoolId, dict[int, float]], rows: list, bound: int) -> None:
    for row in rows:
        if not isinstance(row, list | tuple) or len(row) != 3:
            continue
        pool, number, rate = row
        if not isinstance(number, int) or not 0 <= number < bound:
            continue
        if not isinstance(rate, int | float) or not rate > 0:
            continue
        pool_sums = sums.setdefault(pool, {})
        pool_sums[number] = pool_sums.get(number, 0.0) + rate
