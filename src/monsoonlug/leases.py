"""Leases of backend servers, as the control leader of one term knows them.

A server holds a key under a lease that it measures on its own clock, from the time at
which it sent a heartbeat. It reports in each heartbeat which keys it holds. Heartbeats
may arrive seconds late, and a new leader does not know which heartbeats its predecessor
has answered. It therefore does not believe what a server no longer holds until it knows
that the heartbeat was sent after the server's last answer from an earlier leader.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from monsoonlug.heartbeats import LEASE_TIME, ServerHeartbeat
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

    def record_heartbeat(self, now: float, heartbeat: ServerHeartbeat) -> None:
        """Records a heartbeat that is not outdated."""
        self.sequence = heartbeat.sequence
        self.held = frozenset(heartbeat.held)
        known = [row for row in self.handovers if row not in heartbeat.freed]
        self.handovers = [*known, *heartbeat.freed]
        # Only an answer of this leader can have brought such an epoch. Its predecessors
        # had lost the majority by then and answered no later heartbeat.
        self.is_trusted = (
            self.is_trusted
            or now >= self.trusted_at
            or any(epoch > self.first_epoch for _, _, epoch in heartbeat.held)
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
