"""The control leader's dealings with backend servers: heartbeats, leases and keys.

A server holds its keys by a lease that it counts on its own clock from the moment at
which it sent a heartbeat. Only the answer of a confirmed leader renews the lease, and
what the answer leaves out the server releases. Keys go to another server only once the
last one has released them, was replaced by a later process, or cannot hold a lease any
more. All of this is soft state; the assignments themselves are replicated.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

from monsoonlug import messages
from monsoonlug.balancing import (
    KeyLoads,
    Receiver,
    Shift,
    choose_receiver,
    plan_shifts,
    plan_stripes,
)
from monsoonlug.fleet import FleetView
from monsoonlug.fleet_messages import (
    AssignKeys,
    FleetCommand,
    FleetServer,
    KeysAssigned,
    KeyStatus,
    PutServer,
    RemoveServer,
    ServerCold,
    covers_all_keys,
    pack_range,
    read_range,
)
from monsoonlug.heartbeats import HOLD_TIME, HoldAnswer, ServerBeat
from monsoonlug.ids import Epoch, FailureDomain, PoolId, ServerId
from monsoonlug.items import ItemKind
from monsoonlug.keyranges import NO_OWNER, KeyRange, KeyTable
from monsoonlug.releases import Release, find_release, subtract_releases

CLOCK_DRIFT = 1.02  # by which a server's clock may run slow
LEASE_MARGIN = 0.2  # seconds, for rounding and for a server's own timers
LEASE_END = HOLD_TIME * CLOCK_DRIFT + LEASE_MARGIN  # seconds after an answer
SETTLE_TIME = 1.2  # seconds without a new server until keys are given out at first
FORGET_AFTER = 20.0  # seconds of silence; longer than any heartbeat is under way
SILENT_BEATS = 2.5  # heartbeats that a server misses before it counts as silent
FIRST_HANDOFF = 0.20  # seconds that a server takes to release keys after an answer
LAST_HANDOFF = 0.60  # seconds after which keys would wait too long for their new owner
PATIENT_TICKS = 6  # heartbeats for which a source waits for a receiver in time
WORSE_OWNER = 0.3  # in pressure, above which a timely receiver is not taken
SHIFT_SHARE = 0.25  # of the servers that may give keys away at the same time
USE_WEIGHT = 0.3  # of a new report in a server's average use


@dataclass(slots=True, kw_only=True)
class _Live:
    """What the leader heard of one process of a backend server."""

    born: int
    heard_at: float
    sequence: int = -1
    lease_end: float
    cold_until: float = 0.0
    has_left: bool = False
    use: float = 0.0
    slowness: float = 1.0
    waits: int = 0
    held: frozenset[tuple[int, int, int]] = frozenset()


@dataclass(slots=True, kw_only=True)
class _PoolPlan:
    loads: KeyLoads = field(default_factory=KeyLoads)
    wanted: list[Shift] = field(default_factory=list)
    releases: list[Release] = field(default_factory=list)
    changed_at: float = 0.0


class Registrar:
    """Soft state of one term of leadership.

    Args:
        now: Time of the election, in seconds.
        view: The replicated view, which this object only reads.
        period: Seconds between two heartbeats of a server.
    """

    def __init__(self, *, now: float, view: FleetView, period: float):
        self._view = view
        self._period = period
        self._live: dict[ServerId, _Live] = {}
        self._plans: dict[PoolId, _PoolPlan] = {}
        self._pending: dict[tuple[PoolId, int, int], int] = {}
        self._notices: list[object] = []
        for record in view.servers.values():
            # The last leader may have renewed every lease just before it was deposed.
            self._live[record.server] = _Live(
                born=record.born, heard_at=now, lease_end=now + LEASE_END
            )

    def take_notices(self) -> list[object]:
        """Returns messages for all entries and forgets them."""
        notices, self._notices = self._notices, []
        return notices

    def list_status(self, now: float) -> list[object]:
        """Returns the messages that an entry needs that has just connected."""
        status: list[object] = []
        for server, live in self._live.items():
            if live.cold_until > now:
                left = live.cold_until - now
                status.append(ServerCold(server=server, seconds=left))
        for pool, plan in self._plans.items():
            for release in plan.releases:
                status += self._build_status(pool, release.start, release.end, False)
        return status

    # Heartbeats.

    def observe(self, now: float, beat: ServerBeat) -> list[FleetCommand] | None:
        """Takes a heartbeat and returns what must be committed before its answer.

        Returns:
            The commands, or None for a late heartbeat of an earlier moment.
        """
        record = self._view.servers.get(beat.server)
        live = self._live.get(beat.server)
        if self._is_late(beat, record, live):
            return None
        if self._view.items.find(ItemKind.POOL, beat.pool) is None:
            return []
        if live is None or live.born != beat.born:
            live = _Live(born=beat.born, heard_at=now, lease_end=now)
            self._live[beat.server] = live
            self._get_plan(beat.pool).changed_at = now
        live.heard_at = now
        live.sequence = beat.sequence
        live.held = frozenset(beat.held)
        self._note_cold(now, beat, live)
        commands: list[FleetCommand] = []
        wanted = FleetServer(
            server=beat.server,
            born=beat.born,
            pool=beat.pool,
            address=beat.address,
            failure_domain=beat.failure_domain,
            slots=beat.slots,
            draining=beat.draining or live.has_left or _is_leaving(record, beat),
        )
        if wanted != record:
            commands.append(PutServer(record=messages.encode(wanted)))
        commands += self._take_freed(now, beat)
        return commands

    def leave(self, server: ServerId) -> list[FleetCommand]:
        """Takes that a server is about to end, and returns what must be committed."""
        record = self._view.servers.get(server)
        if record is None:
            return []
        live = self._live.get(server)
        if live is not None:
            live.has_left = True
        if record.draining:
            return []
        wanted = replace(record, draining=True)
        return [PutServer(record=messages.encode(wanted))]

    def answer(self, now: float, server: ServerId, born: int) -> HoldAnswer | None:
        """Returns what a server is to hold; it counts as granted from now on.

        Returns:
            The answer, or None if the server has no keys or this is not its record.
        """
        record = self._view.servers.get(server)
        live = self._live.get(server)
        if record is None or live is None or record.born != born or live.born != born:
            return None
        table = self._view.tables.get(record.pool)
        if table is None:
            return None
        if not live.has_left:
            self._begin_releases(now, record, live, table)
        releases = self._get_plan(record.pool).releases
        ranges = []
        for row in table.iterate():
            if row.owner != server or row.born != born:
                continue
            for part in subtract_releases(row, releases):
                self._note_granted(record.pool, part)
                ranges.append(self._strip_handover(live, part))
        if live.has_left:
            ranges = []
        if ranges:
            live.lease_end = max(live.lease_end, now + LEASE_END)
        return HoldAnswer(ranges=ranges)

    def note_committed(self, now: float, changes: Iterable[object]) -> None:
        """Takes the changes of a committed command."""
        for change in changes:
            if not isinstance(change, KeysAssigned) or covers_all_keys(change):
                continue
            plan = self._get_plan(change.pool)
            for packed in change.rows:
                row = read_range(packed)
                plan.releases = [
                    item
                    for item in plan.releases
                    if item.end < row.start or item.start > row.end
                ]
                if row.owner != NO_OWNER:
                    self._pending[change.pool, row.start, row.end] = row.epoch

    # Load.

    def take_load(self, pool: PoolId, key: int, count: int) -> None:
        """Counts requests for a key that an entry reports."""
        self._get_plan(pool).loads.add(key, count)

    def take_use(self, server: ServerId, slowness: float, use: float) -> None:
        """Takes what the gate of a server measured."""
        live = self._live.get(server)
        if live is None:
            return
        live.slowness = slowness
        live.use += USE_WEIGHT * (use - live.use)

    # Decisions on a timer.

    def decide(self, now: float) -> list[FleetCommand]:
        """Returns the commands to propose now."""
        commands: list[FleetCommand] = []
        for pool, table in self._view.tables.items():
            plan = self._get_plan(pool)
            plan.loads.age(now)
            receivers = self._list_receivers(now, pool, table)
            commands += self._assign_unowned(now, pool, table, plan, receivers)
            plan.wanted = self._plan_shifts(pool, table, plan, receivers)
        commands += self._forget_silent(now)
        return commands

    def _is_late(
        self, beat: ServerBeat, record: FleetServer | None, live: _Live | None
    ) -> bool:
        if record is not None and beat.born < record.born:
            return True
        if live is not None and live.born == beat.born:
            return beat.sequence <= live.sequence
        for other in self._view.servers.values():
            if other.address == beat.address and other.born > beat.born:
                return True
        return False

    def _note_cold(self, now: float, beat: ServerBeat, live: _Live) -> None:
        until = now + beat.cold_seconds if beat.cold_seconds > 0 else 0.0
        if beat.cold_seconds <= 0 and live.cold_until <= now:
            return
        if abs(until - live.cold_until) > 0.1 * self._period:
            notice = ServerCold(server=beat.server, seconds=beat.cold_seconds)
            self._notices.append(notice)
        live.cold_until = until

    def _get_plan(self, pool: PoolId) -> _PoolPlan:
        plan = self._plans.get(pool)
        if plan is None:
            plan = self._plans[pool] = _PoolPlan()
        return plan

    def _list_receivers(
        self, now: float, pool: PoolId, table: KeyTable
    ) -> dict[ServerId, Receiver]:
        receivers = {}
        plan = self._get_plan(pool)
        for record in self._view.servers.values():
            live = self._live.get(record.server)
            if record.pool != pool or live is None or live.has_left:
                continue
            if not self._view.is_in_service(record) or self._is_silent(now, live):
                continue
            receivers[record.server] = Receiver(
                server=record.server,
                failure_domain=record.failure_domain,
                slowness=live.slowness,
            )
        rates = dict.fromkeys(receivers, 0.0)
        for row in table.iterate():
            receiver = receivers.get(row.owner)
            if receiver is None:
                continue
            receiver.size += row.size
            receiver.ranges += 1
            rates[row.owner] += plan.loads.sum_between(row.start, row.end)
        self._set_costs(receivers, rates)
        for release in plan.releases:
            moving = plan.loads.sum_between(release.start, release.end)
            if release.target in receivers:
                receivers[release.target].use += moving * receivers[release.target].cost
            if release.source in receivers:
                receivers[release.source].use -= moving * receivers[release.source].cost
        return receivers

    def _set_costs(
        self, receivers: dict[ServerId, Receiver], rates: dict[ServerId, float]
    ) -> None:
        # The work of a request, on a server of the pool's mean speed with one slot.
        work = 0.0
        for server in receivers:
            live = self._live[server]
            slots = self._view.servers[server].slots
            work += live.use * slots / live.slowness
        total = sum(rates.values())
        work = work / total if total > 0 else 0.0
        for server, receiver in receivers.items():
            slots = self._view.servers[server].slots
            receiver.cost = work * receiver.slowness / slots
            # Counts of keys follow a move at once, unlike the measured use.
            receiver.use = rates[server] * receiver.cost

    def _is_silent(self, now: float, live: _Live) -> bool:
        return now - live.heard_at > SILENT_BEATS * self._period

    def _assign_unowned(
        self,
        now: float,
        pool: PoolId,
        table: KeyTable,
        plan: _PoolPlan,
        receivers: dict[ServerId, Receiver],
    ) -> Iterator[FleetCommand]:
        unowned = [row for row in table.iterate() if self._is_free(now, row)]
        if not unowned or not receivers:
            return
        rows = []
        if len(table) == 1 and table.find(0).epoch == 0:
            if now - plan.changed_at < SETTLE_TIME:
                return
            for start, end, owner in plan_stripes(self._mix_domains(receivers)):
                rows.append(self._own(start, end, owner, ""))
        else:
            for row in unowned:
                rows.append(self._place(row, plan, receivers))
        yield AssignKeys(pool=pool, rows=[pack_range(row) for row in rows])

    def _is_free(self, now: float, row: KeyRange) -> bool:
        if row.owner == NO_OWNER:
            return True
        live = self._live.get(row.owner)
        if live is None:
            return True
        return self._is_silent(now, live) and now > live.lease_end

    def _mix_domains(self, receivers: dict[ServerId, Receiver]) -> list[ServerId]:
        domains: dict[FailureDomain, list[ServerId]] = {}
        for server in sorted(receivers):
            domain = receivers[server].failure_domain
            domains.setdefault(domain, []).append(server)
        order = []
        rows = list(domains.values())
        while any(rows):
            for row in rows:
                if row:
                    order.append(row.pop())
        return order

    def _place(
        self, row: KeyRange, plan: _PoolPlan, receivers: dict[ServerId, Receiver]
    ) -> KeyRange:
        rate = plan.loads.sum_between(row.start, row.end)
        receiver = choose_receiver(receivers, rate, exclude=(row.owner,))
        if receiver is None:
            return KeyRange(start=row.start, end=row.end, handover=row.handover)
        receiver.use += rate * receiver.cost
        receiver.size += row.size
        receiver.ranges += 1
        handover = row.handover if row.owner == NO_OWNER else ""
        return self._own(row.start, row.end, receiver.server, handover)

    def _own(self, start: int, end: int, owner: ServerId, handover: str) -> KeyRange:
        born = self._view.servers[owner].born
        return KeyRange(start=start, end=end, owner=owner, born=born, handover=handover)

    def _forget_silent(self, now: float) -> Iterator[FleetCommand]:
        for server, live in list(self._live.items()):
            record = self._view.servers.get(server)
            if record is None:
                if self._is_silent(now, live):
                    del self._live[server]
                continue
            if now - live.heard_at > FORGET_AFTER:
                yield RemoveServer(server=server, born=live.born)

    # Releases.

    def _plan_shifts(
        self,
        pool: PoolId,
        table: KeyTable,
        plan: _PoolPlan,
        receivers: dict[ServerId, Receiver],
    ) -> list[Shift]:
        sources = {release.source for release in plan.releases}
        limit = max(1, int(SHIFT_SHARE * len(receivers))) - len(sources)
        if len(receivers) < 2 or limit <= 0:
            return []
        owned: dict[ServerId, list[KeyRange]] = {}
        for row in table.iterate():
            owned.setdefault(row.owner, []).append(row)
        resting = sources | self._list_pending_owners(pool)
        return plan_shifts(owned, receivers, plan.loads, busy=resting, limit=limit)

    def _list_pending_owners(self, pool: PoolId) -> set[ServerId]:
        table = self._view.tables[pool]
        owners = set()
        for found, start, _ in self._pending:
            if found == pool:
                owners.add(table.find(start).owner)
        return owners

    def _begin_releases(
        self, now: float, record: FleetServer, live: _Live, table: KeyTable
    ) -> None:
        plan = self._get_plan(record.pool)
        if self._view.is_in_service(record):
            mine = [item for item in plan.wanted if item.source == record.server]
        else:
            mine = _list_all(record, table)
        if not mine:
            return
        receivers = self._list_receivers(now, record.pool, table)
        receivers.pop(record.server, None)
        live.waits += 1
        begun = False
        for item in mine:
            start, end = item.start, item.end
            if any(start <= r.end and r.start <= end for r in plan.releases):
                continue
            patient = self._view.is_in_service(record) and live.waits < PATIENT_TICKS
            rate = plan.loads.sum_between(start, end)
            target = self._choose_target(now, receivers, rate, patient)
            if target is None:
                continue
            target.use += rate * target.cost
            target.size += end - start + 1
            target.ranges += 1
            if item in plan.wanted:
                plan.wanted.remove(item)
            plan.releases.append(
                Release(
                    start=start, end=end, source=record.server, target=target.server
                )
            )
            self._notices += self._build_status(record.pool, start, end, False)
            begun = True
        if begun:
            live.waits = 0

    def _choose_target(
        self,
        now: float,
        receivers: dict[ServerId, Receiver],
        rate: float,
        patient: bool,
    ) -> Receiver | None:
        """Prefers a receiver whose next heartbeat comes soon after the release."""
        timely = {}
        for server, receiver in receivers.items():
            since = now - self._live[server].heard_at
            wait = (self._period - since) % self._period
            if FIRST_HANDOFF <= wait <= LAST_HANDOFF:
                timely[server] = receiver
        best = choose_receiver(receivers, rate)
        found = choose_receiver(timely, rate)
        if found is None:
            return None if patient else best
        # Waiting for a heartbeat costs less than an owner with much more to do.
        if best is not None and found.pressure > best.pressure + WORSE_OWNER:
            return None if patient else best
        return found

    def _take_freed(self, now: float, beat: ServerBeat) -> list[FleetCommand]:
        table = self._view.tables.get(beat.pool)
        if table is None or not beat.freed:
            return []
        plan = self._get_plan(beat.pool)
        receivers = self._list_receivers(now, beat.pool, table)
        receivers.pop(beat.server, None)
        rows = []
        for start, end, handover in beat.freed:
            for row in table.iterate_between(start, end):
                if row.owner != beat.server or row.born != beat.born:
                    continue
                rows += self._hand_over(row, handover, plan, receivers)
        if not rows:
            return []
        return [AssignKeys(pool=beat.pool, rows=[pack_range(row) for row in rows])]

    def _hand_over(
        self,
        row: KeyRange,
        handover: str,
        plan: _PoolPlan,
        receivers: dict[ServerId, Receiver],
    ) -> list[KeyRange]:
        rows = []
        start = row.start
        while start <= row.end:
            release = find_release(plan.releases, start)
            end = row.end
            if release is not None:
                end = min(end, release.end)
            else:
                later = [r.start for r in plan.releases if start < r.start <= end]
                end = min(later) - 1 if later else end
            if release is not None and release.target in receivers:
                rows.append(self._own(start, end, release.target, handover))
            else:
                free = KeyRange(start=start, end=end, handover=handover)
                rows.append(self._place(free, plan, receivers))
            start = end + 1
        return rows

    # What entries are told.

    def _build_status(
        self, pool: PoolId, start: int, end: int, ready: bool
    ) -> list[KeyStatus]:
        table = self._view.tables.get(pool)
        if table is None:
            return []
        rows = []
        for row in table.iterate_between(start, end):
            rows.append(
                KeyStatus(
                    pool=pool,
                    start=row.start,
                    end=row.end,
                    epoch=row.epoch,
                    ready=ready,
                )
            )
        return rows

    def _note_granted(self, pool: PoolId, part: KeyRange) -> None:
        for key in list(self._pending):
            found, start, end = key
            if found != pool or end < part.start or start > part.end:
                continue
            epoch = self._pending.pop(key)
            status = KeyStatus(pool=pool, start=start, end=end, epoch=epoch, ready=True)
            self._notices.append(status)

    def _strip_handover(self, live: _Live, row: KeyRange) -> KeyRange:
        if not row.handover:
            return row
        for start, end, epoch in live.held:
            if start <= row.start and row.end <= end and epoch == row.epoch:
                return KeyRange(
                    start=row.start,
                    end=row.end,
                    owner=row.owner,
                    born=row.born,
                    epoch=Epoch(row.epoch),
                )
        return row


def _is_leaving(record: FleetServer | None, beat: ServerBeat) -> bool:
    """Returns whether a process said that it leaves, which it never takes back.

    Its heartbeats may be on their way for seconds and arrive after that.
    """
    return record is not None and record.born == beat.born and record.draining


def _list_all(record: FleetServer, table: KeyTable) -> list[Shift]:
    shifts = []
    for row in table.iterate():
        if row.owner == record.server and row.born == record.born:
            shifts.append(Shift(start=row.start, end=row.end, source=record.server))
    return shifts
