"""The leader's decisions: which commands to propose now.

The daemon hands in messages with `receive`, calls `decide` on each tick and after each
commit, proposes what it returns, and reports each applied command with `committed`.
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
from monsoonlug.moves import PoolMoves
from monsoonlug.placement import plan_gate_releases, plan_gates
from monsoonlug.sessions import SessionTable
from monsoonlug.sharding import plan_shards
from monsoonlug.slices import KEY_HASH_COUNT
from monsoonlug.state import ControlState
from monsoonlug.view import View

TICK = 0.025  # seconds between two calls of `decide` without other events
SEEN_WINDOW = 0.300  # seconds; three announcements of a live server
RECORDS_PATIENCE = 3.0  # seconds; else a shard answers "unknown" for 600 s
IN_FLIGHT = 2.0  # seconds after which a command that was not committed is lost
GATE_STEP = 8  # gates that may be between two hosts at the same time
GATE_BALANCE = 1.0  # seconds between two gate moves for the sake of balance
LOAD_INTERVAL = 5.0  # seconds between two sums of the reported loads
LOAD_MAX_AGE = 2.0  # seconds after which a host's report no longer counts


@dataclass(frozen=True, slots=True, kw_only=True)
class _Subject:
    """What a command changes; one subject has one open command or batch."""

    kind: type
    name: str | int


@dataclass(slots=True, kw_only=True)
class _Open:
    """Commands that were returned and not yet committed."""

    commands: list[Command]
    until: float


@dataclass(frozen=True, slots=True, kw_only=True)
class _Heard:
    """Last message of a host or about a server, and when it came."""

    at: float
    message: Heartbeat | ServerAnnounced


class Coordinator:
    """Decisions of one leader; it has soft state only.

    Args:
        now: Time of the election, in seconds.
    """

    def __init__(self, *, now: float):
        self._begun = now
        self._open: dict[_Subject, _Open] = {}
        self._hosts: dict[HostId, _Heard] = {}
        self._hot: dict[HostId, _Heard] = {}
        self._servers: dict[ServerId, _Heard] = {}
        self._lost: dict[ServerId, ServerLost] = {}
        self._gates_released: dict[ServerId, int] = {}
        self._ready: dict[int, int] = {}
        self._pools: dict[PoolId, PoolMoves] = {}
        self._loads: dict[PoolId, dict[int, float]] = {}
        self._key_rates: dict[PoolId, dict[int, float]] = {}
        self._summed_at = now
        self._gate_balance_at = now
        self._shards_planned: tuple | None = None
        self._records_lost_at = math.inf

    def receive(self, now: float, message: object) -> None:
        """Notes a message of an entry; the next `decide` acts on it."""
        match message:
            case Heartbeat():
                self._hosts[message.host] = _Heard(at=now, message=message)
                if message.hot_slices or message.hot_keys:
                    self._hot[message.host] = _Heard(at=now, message=message)
            case ServerAnnounced():
                self._servers[message.server] = _Heard(at=now, message=message)
            case ServerLost():
                self._lost[message.server] = message
                heard = self._servers.get(message.server)
                if heard is not None and heard.message.boot == message.boot:
                    del self._servers[message.server]
            case GateReleased():
                self._gates_released[message.server] = message.gate_epoch
            case SlicesReleased() | KeysReleased():
                self._get_pool(message.pool).release(message)
            case BackupReady():
                self._ready[message.shard] = message.epoch

    def committed(self, command: Command) -> None:
        """Notes that a command was applied, whoever proposed it."""
        subject = _find_subject(command)
        entry = self._open.get(subject)
        if entry is None or command not in entry.commands:
            return
        entry.commands.remove(command)
        if not entry.commands:
            del self._open[subject]

    def decide(
        self, now: float, state: ControlState, sessions: SessionTable
    ) -> list[Command]:
        """Returns the commands to propose now.

        The rules of `ControlState.apply` ignore a command that no longer applies when
        it is committed. A command is returned again only if it was not committed
        within `IN_FLIGHT`.
        """
        view = state.view
        sessions.track(now, view.hosts.values())
        expired = set(sessions.expired(now))
        self._drop_overdue(now)
        commands: list[Command] = []
        self._add(now, commands, self._forget_hosts(view, expired))
        live = sessions.list_live()
        leaving = self._list_leaving(view)
        usable = live - leaving
        self._add(now, commands, self._register_hosts(now, view))
        self._add(now, commands, self._register_servers(now, view))
        self._add(now, commands, self._forget_lost(view))
        self._add(now, commands, self._place_gateless(now, view, usable))
        self._add(now, commands, self._replace_gates(view, usable))
        self._add(now, commands, self._release_gates(now, view, live, leaving))
        self._add(now, commands, self._confirm_backups(view))
        self._add(now, commands, self._place_shards(now, view, usable))
        self._sum_loads(now)
        for pool in view.catalogue.pools:
            if pool.keyed and not self._is_open(FinishMove, pool.name):
                moves = self._get_pool(pool.name)
                loads = self._loads.get(pool.name, _NO_LOADS)
                rates = self._key_rates.get(pool.name, _NO_LOADS)
                batch = moves.decide(now, view, pool, loads, rates)
                self._open_batch(now, commands, batch)
        return commands

    # Commands in flight.

    def _add(
        self, now: float, commands: list[Command], found: Iterable[Command]
    ) -> None:
        for command in found:
            subject = _find_subject(command)
            if subject in self._open:
                continue
            self._open[subject] = _Open(commands=[command], until=now + IN_FLIGHT)
            commands.append(command)

    def _open_batch(
        self, now: float, commands: list[Command], batch: list[Command]
    ) -> None:
        if not batch:
            return
        subject = _find_subject(batch[0])
        self._open[subject] = _Open(commands=list(batch), until=now + IN_FLIGHT)
        commands.extend(batch)

    def _is_open(self, kind: type, name: str) -> bool:
        return _Subject(kind=kind, name=name) in self._open

    def _drop_overdue(self, now: float) -> None:
        overdue = [key for key, entry in self._open.items() if entry.until <= now]
        for subject in overdue:
            del self._open[subject]

    # Hosts.

    def _forget_hosts(self, view: View, expired: set[HostId]) -> Iterable[Command]:
        for host in sorted(expired):
            if host in view.hosts:
                yield DeregisterHost(host=host, epoch=view.hosts[host].epoch)

    def _register_hosts(self, now: float, view: View) -> Iterable[Command]:
        for host, heard in list(self._hosts.items()):
            if now - heard.at >= LOAD_MAX_AGE:
                del self._hosts[host]
                continue
            message = heard.message
            record = view.hosts.get(host)
            if record is not None and record.boot == message.boot:
                continue
            if now - heard.at >= SEEN_WINDOW or _may_act(view, host):
                continue
            yield RegisterHost(
                host=host,
                failure_domain=message.failure_domain,
                stream=message.stream,
                announce=message.announce,
                boot=message.boot,
            )

    def _list_leaving(self, view: View) -> set[HostId]:
        leaving = set()
        for host, heard in self._hosts.items():
            record = view.hosts.get(host)
            if heard.message.leaving and record and record.boot == heard.message.boot:
                leaving.add(host)
        return leaving

    # Servers and their gates.

    def _register_servers(self, now: float, view: View) -> Iterable[Command]:
        pools = {pool.name for pool in view.catalogue.pools}
        for server, heard in list(self._servers.items()):
            if now - heard.at >= SEEN_WINDOW:
                del self._servers[server]
                continue
            message = heard.message
            record = view.servers.get(server)
            phase = _read_phase(message.phase)
            if message.pool not in pools or phase is None:
                continue
            if record is not None:
                same = record.boot == message.boot and record.pool == message.pool
                draining = phase is ServerPhase.DRAINING
                if same and record.draining == draining:
                    continue
                if not same and server in view.gates:
                    continue
            yield RegisterServer(
                server=server,
                pool=message.pool,
                address=message.address,
                failure_domain=message.failure_domain,
                boot=message.boot,
                phase=phase,
            )

    def _forget_lost(self, view: View) -> Iterable[Command]:
        for server, message in list(self._lost.items()):
            record, gate = view.servers.get(server), view.gates.get(server)
            if (
                record is None
                or gate is None
                or record.boot != message.boot
                or gate.epoch != message.gate_epoch
            ):
                del self._lost[server]
                continue
            yield DeregisterServer(
                server=server, epoch=record.epoch, gate_epoch=gate.epoch
            )

    def _place_gateless(
        self, now: float, view: View, usable: set[HostId]
    ) -> Iterable[Command]:
        if len(view.gates) == len(view.servers):
            return
        seen = {}
        for server in sorted(view.servers):
            if server in view.gates:
                continue
            record = view.servers[server]
            heard = self._servers.get(server)
            if heard is not None and heard.message.boot == record.boot:
                seen[server] = 0
                continue
            # A new leader has heard of no server yet.
            if now - self._begun >= SEEN_WINDOW:
                yield DeregisterServer(server=server, epoch=record.epoch, gate_epoch=0)
        yield from plan_gates(view, usable, servers=seen)

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
        gateless = len(view.gates) != len(view.servers)
        hosts = {gate.host for gate in view.gates.values()}
        forced = leaving | {
            host
            for host in hosts
            if host in view.hosts and not view.is_in_service(view.hosts[host])
        }
        if not hosts & forced:
            if gateless or now < self._gate_balance_at:
                return
            self._gate_balance_at = now + GATE_BALANCE
        yield from plan_gate_releases(view, live, leaving=leaving, limit=GATE_STEP)

    # Record shards.

    def _confirm_backups(self, view: View) -> Iterable[Command]:
        for shard, epoch in list(self._ready.items()):
            record = view.shards.get(shard)
            is_current = record is not None and record.epoch == epoch
            # The rules ignore a confirmation of a shard that has lost its backup, so
            # it would be proposed again after each commit.
            if not is_current or not record.backup or record.backup_ready:
                del self._ready[shard]
                continue
            yield ConfirmBackup(shard=shard, epoch=epoch)

    def _place_shards(
        self, now: float, view: View, usable: set[HostId]
    ) -> Iterable[Command]:
        if any(record.lost_host for record in view.shards.values()):
            self._records_lost_at = min(self._records_lost_at, now)
        else:
            self._records_lost_at = math.inf
        patient = now - self._records_lost_at < RECORDS_PATIENCE
        planned = (view.revision, frozenset(usable), now // IN_FLIGHT, patient)
        if planned == self._shards_planned:
            return
        self._shards_planned = planned
        yield from plan_shards(view, usable, await_lost_hosts=patient)

    # Pools.

    def _get_pool(self, pool: PoolId) -> PoolMoves:
        moves = self._pools.get(pool)
        if moves is None:
            moves = self._pools[pool] = PoolMoves(pool=pool)
        return moves

    def _sum_loads(self, now: float) -> None:
        if now - self._summed_at < LOAD_INTERVAL:
            return
        self._summed_at = now
        loads: dict[PoolId, dict[int, float]] = {}
        rates: dict[PoolId, dict[int, float]] = {}
        for host, heard in list(self._hot.items()):
            if now - heard.at >= LOAD_INTERVAL:
                del self._hot[host]
                continue
            _add_rows(loads, heard.message.hot_slices, SLICE_COUNT)
            _add_rows(rates, heard.message.hot_keys, KEY_HASH_COUNT)
        self._loads, self._key_rates = loads, rates


_NO_LOADS: Mapping[int, float] = {}


def _find_subject(command: Command) -> _Subject:
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


def _may_act(view: View, host: HostId) -> bool:
    if any(gate.host == host for gate in view.gates.values()):
        return True
    return any(host in (item.primary, item.backup) for item in view.shards.values())


def _read_phase(phase: str) -> ServerPhase | None:
    try:
        return ServerPhase(phase)
    except ValueError:
        return None


def _add_rows(sums: dict[PoolId, dict[int, float]], rows: list, bound: int) -> None:
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
