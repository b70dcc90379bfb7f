"""Leases of backend servers, as the control leader of one term knows them.

A server holds a key under a lease that it measures on its own clock, from the time at
which it sent a heartbeat. It reports in each heartbeat which keys it holds. Heartbeats
may arrive seconds late, and a new leader does not know which heartbeats its predecessor
has answered. It therefore does not believe what a server no longer holds until it knows
that the heartbeat was sent after the server's last answer from an earlier leader.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from monsoonlug.fleet import FleetView
from monsoonlug.fleet_messages import KeyTableChanged
from monsoonlug.heartbeats import LEASE_TIME, ServerHeartbeat
from monsoonlug.ids import PoolId
from monsoonlug.items import ItemKind
from monsoonlug.keyranges import KeyRange, KeyTable

MAX_CLOCK_DRIFT = 1.02  # factor by which a server's clock may run slow
LEASE_MARGIN = 0.2  # seconds; covers rounding and delays of a server's timers
# Seconds after a response, by when the server's lease has expired on its own clock.
LEASE_TIMEOUT = LEASE_TIME * MAX_CLOCK_DRIFT + LEASE_MARGIN


@dataclass(slots=True, kw_only=True)
class ServerLease:
    """Lease of one process of a backend server.

    Attributes:
        expires_at: Time from which the process holds no keys, unless it is renewed.
        trusted_at: Time from which no answer of an earlier leader has any effect. Until
            then, the heartbeats of the process may have been sent before such an answer
            that granted more keys.
        first_epoch: Epochs above this one were assigned by this leader.
        sequence: Number of the last heartbeat; -1 before the first one.
        is_trusted: Whether the last heartbeat was sent after all answers of earlier
            leaders to this process.
        held: Start, end and epoch of the ranges in the last heartbeat.
        handovers: Start, end and handover token of ranges that it released.
        withheld: Ranges of the process that the last answer left out.
    """

    expires_at: float
    trusted_at: float
    first_epoch: int
    sequence: int = -1
    is_trusted: bool = False
    held: frozenset[tuple[int, int, int]] = frozenset()
    handovers: list[tuple[int, int, str]] = field(default_factory=list)
    withheld: list[KeyRange] = field(default_factory=list)

    def record_heartbeat(
        self, now: float, heartbeat: ServerHeartbeat, last_epoch: int
    ) -> None:
        """Records a heartbeat that is not outdated.

        Args:
            now: Time in seconds.
            heartbeat: The heartbeat.
            last_epoch: No range has been assigned with a higher epoch.
        """
        self.sequence = heartbeat.sequence
        self.held = frozenset(heartbeat.held)
        known = [row for row in self.handovers if row not in heartbeat.freed]
        self.handovers = [*known, *heartbeat.freed]
        # Only an answer of this leader can have brought such an epoch. Its predecessors
        # had lost the majority by then and answered no later heartbeat.
        self.is_trusted = (
            self.is_trusted
            or now >= self.trusted_at
            or any(
                self.first_epoch < epoch <= last_epoch for _, _, epoch in heartbeat.held
            )
        )

    def record_answer(
        self, now: float, granted: list[KeyRange], withheld: list[KeyRange]
    ) -> None:
        """Records the answer to the last heartbeat.

        Args:
            now: Time in seconds.
            granted: Ranges that the process is to hold.
            withheld: Other ranges that it owns.
        """
        if granted:
            self.expires_at = max(self.expires_at, now + LEASE_TIMEOUT)
        self.withheld = withheld
        self.handovers = [
            (start, end, handover)
            for start, end, handover in self.handovers
            if any(key_range.overlaps(start, end) for key_range in withheld)
        ]

    def list_released(self, table: KeyTable) -> list[KeyRange]:
        """Returns the ranges that the process owns but has released, with handovers.

        A range is released once an answer has left it out and a later heartbeat does
        not list it. A handover does not show this, as it may be that of an earlier
        assignment of the same keys.
        """
        if not self.is_trusted:
            return []
        released: list[KeyRange] = []
        held = [(start, end) for start, end, _ in self.held]
        for withheld in self.withheld:
            for key_range in table.iterate_between(withheld.start, withheld.end):
                if key_range.epoch != withheld.epoch:
                    continue
                for part in key_range.subtract(held):
                    released += self._add_handovers(part)
        return released

    def _add_handovers(self, key_range: KeyRange) -> Iterator[KeyRange]:
        rows: list[tuple[int, int]] = []
        for start, end, handover in reversed(self.handovers):
            if not key_range.overlaps(start, end):
                continue
            for part in key_range.cut(start, end).subtract(rows):
                yield replace(part, handover=handover)
            rows.append((start, end))
        for part in key_range.subtract(rows):
            yield replace(part, handover="")


class FormerOwners:
    """Owners of keys whose table was dropped; their leases outlive the table.

    A pool that is removed, or is no longer routed by key, loses its table, and gets a
    new one without owners when it is put back. Each replica remembers the old table
    until its leases have ended. A replica that starts from a snapshot does not know the
    tables that were dropped before.
    """

    def __init__(self):
        # The tables that may be dropped, as the view no longer has them then.
        self._tables: dict[PoolId, KeyTable] = {}
        self._ranges: dict[PoolId, list[KeyRange]] = {}
        self._dropped_at: dict[PoolId, float] = {}
        self._unknown_pools: set[PoolId] = set()
        self._unknown_until = -math.inf

    @classmethod
    def from_snapshot(cls, now: float, view: FleetView) -> "FormerOwners":
        """Returns what a replica knows that starts from a view.

        Args:
            now: Time in seconds.
            view: The replicated view.
        """
        owners = cls()
        owners._tables = dict(view.tables)
        owners._unknown_until = now + LEASE_TIMEOUT
        for name in view.items.iterate_names(ItemKind.POOL):
            table = view.tables.get(PoolId(name))
            if table is None or any(row.epoch == 0 for row in table.iterate()):
                owners._unknown_pools.add(PoolId(name))
        return owners

    def record_change(
        self, now: float, change: KeyTableChanged, view: FleetView
    ) -> None:
        """Records that the table of a pool was dropped, or created in the view."""
        self._remove_expired(now)
        table = self._tables.pop(change.pool, None)
        if change.present:
            self._tables[change.pool] = view.tables[change.pool]
            return
        if table is None:
            return
        ranges: list[KeyRange] = []
        for key_range in table.iterate():
            # The table may be dropped again before its keys were assigned.
            ranges += self._find_parts(change.pool, key_range)
        self._ranges[change.pool] = ranges
        self._dropped_at[change.pool] = now

    def find_parts(
        self, now: float, pool: PoolId, key_range: KeyRange
    ) -> list[KeyRange]:
        """Returns the parts of a range without an owner, with their former owners.

        Returns an empty list while a server that this replica does not know may hold
        the range.
        """
        if key_range.epoch > 0:
            return [key_range]
        if pool in self._unknown_pools and now <= self._unknown_until:
            return []
        self._remove_expired(now)
        return self._find_parts(pool, key_range)

    def _find_parts(self, pool: PoolId, key_range: KeyRange) -> list[KeyRange]:
        if key_range.epoch > 0 or pool not in self._ranges:
            return [key_range]
        return [
            former.cut(key_range.start, key_range.end)
            for former in self._ranges[pool]
            if former.overlaps(key_range.start, key_range.end)
        ]

    def _remove_expired(self, now: float) -> None:
        for pool, dropped_at in list(self._dropped_at.items()):
            if now > dropped_at + LEASE_TIMEOUT:
                del self._dropped_at[pool], self._ranges[pool]
