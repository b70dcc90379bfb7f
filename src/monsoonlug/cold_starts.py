"""What a host knows about the cold starts of backend servers.

A server counts as warm only on evidence: its own health response, or a contact with one
process of it that has lasted longer than a cold start. The evidence ends with that
contact. Without it, the host sends at the rate of a cold server and asks the server.
Silence proves nothing, as a server may restart while no host hears from control. A
refused connection proves that a process ended, so that the next one starts cold.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass

from monsoonlug.backend import Contact, HealthReport
from monsoonlug.ids import ServerId

# Seconds for which a health response counts whatever becomes of its connection. Some
# servers close it, and no process ends and starts again within this time.
REPORT_TTL = 0.25
# Seconds for which a health response counts while this host has no news from control.
UNINFORMED_TTL = 0.5


@dataclass(slots=True, kw_only=True)
class _Knowledge:
    """What is known of one server; times in seconds.

    Attributes:
        announced_until: End of the cold start that control announced.
        presumed_until: End of the cold start of a process that was started after
            another one had ended.
        has_ended: Whether a process ended and there was no contact since.
        report: The last health response.
        doubted_at: When the server may last have become cold without a new contact.
    """

    announced_until: float = -math.inf
    presumed_until: float = -math.inf
    has_ended: bool = False
    report: HealthReport | None = None
    doubted_at: float = -math.inf

    def find_end(self) -> float:
        until = max(self.announced_until, self.presumed_until)
        return until if self.report is None else max(until, self.report.cold_until)


class ColdStarts:
    """Decides whether a server is cold, is warm, or may be either."""

    def __init__(self):
        self._servers: dict[ServerId, _Knowledge] = {}
        self._doubted_at = -math.inf

    def announce(self, now: float, server: ServerId, seconds: float) -> None:
        """Records for how many more seconds a server is cold, by word of control."""
        self._get(server).announced_until = now + seconds

    def record_report(self, server: ServerId, report: HealthReport) -> None:
        """Records a health response of a server.

        A response that names a cold start is more exact than a presumption. One that
        names none does not disprove it, as not all servers tell.
        """
        known = self._get(server)
        known.report = report
        if report.cold_until > report.asked_at:
            known.presumed_until = -math.inf

    def record_end(self, server: ServerId) -> None:
        """Records that the process of a server has ended."""
        self._get(server).has_ended = True

    def presume(
        self, server: ServerId, contact: Contact | None, warm_up: float
    ) -> bool:
        """Takes a process that was started since the last one ended for cold.

        Args:
            server: The server.
            contact: The present contact with its process, or None.
            warm_up: Seconds that a cold start takes.

        Returns:
            Whether this changed what `find_end` returns.
        """
        known = self._servers.get(server)
        if known is None or not known.has_ended or contact is None:
            return False
        known.has_ended = False
        known.presumed_until = contact.since + warm_up
        return True

    def doubt(self, now: float, server: ServerId) -> None:
        """Discards the evidence that a server is warm."""
        self._get(server).doubted_at = now

    def doubt_all(self, now: float) -> None:
        """Discards the evidence that any server is warm."""
        self._doubted_at = now

    def find_end(self, server: ServerId) -> float:
        """Returns until when a server is known to be cold, in seconds of the clock."""
        known = self._servers.get(server)
        return -math.inf if known is None else known.find_end()

    def count(self, now: float) -> int:
        """Returns the number of servers that are known to be cold."""
        return sum(known.find_end() > now for known in self._servers.values())

    def is_confirmed(
        self,
        now: float,
        server: ServerId,
        *,
        contact: Contact | None,
        warm_up: float,
        is_informed: bool,
    ) -> bool:
        """Returns whether a server is cold only if `find_end` says so.

        Args:
            now: Seconds of a monotonic clock.
            server: The server.
            contact: The present contact with its process, or None.
            warm_up: Seconds that a cold start takes.
            is_informed: Whether this host has recent news from control.
        """
        known = self._servers.get(server) or _Knowledge()
        doubted_at = max(known.doubted_at, self._doubted_at)
        report = known.report
        if report is not None and report.asked_at > doubted_at:
            age = now - report.asked_at
            if age < REPORT_TTL:
                return True
            is_lasting = contact is not None and contact is report.contact
            if is_lasting and (is_informed or age < UNINFORMED_TTL):
                return True
        if contact is None or not is_informed:
            return False
        return now - max(contact.since, doubted_at) >= warm_up

    def retain(self, now: float, servers: Collection[ServerId]) -> None:
        """Forgets servers that do not exist any more."""
        for server in [name for name in self._servers if name not in servers]:
            if self._servers[server].announced_until <= now:
                del self._servers[server]

    def _get(self, server: ServerId) -> _Knowledge:
        return self._servers.setdefault(server, _Knowledge())
