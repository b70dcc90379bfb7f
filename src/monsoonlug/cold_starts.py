"""What a host knows about the cold starts of backend servers.

A server counts as warm only on evidence: its own health response, or a contact with one
process of it that has lasted longer than a cold start. The evidence ends with that
contact, and when the server falls silent. Without it, the host sends at the rate of a
cold server and asks the server. Silence proves nothing, as a server may restart while
no host hears from control. A refused connection proves that a process ended, so that
the next one starts cold.
"""

import math
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field

from monsoonlug.backend import Contact, HealthReport
from monsoonlug.ids import ServerId

# Seconds for which a health response counts whatever becomes of its connection. Some
# servers close it, and no process ends and starts again within this time.
REPORT_TTL = 0.25
# Seconds for which a health response counts while this host has no news from control.
UNINFORMED_TTL = 0.5
# Seconds without a response after which an open connection is no evidence of a process.
SILENCE_TTL = 1.0
# Seconds from a refused connection to the next attempt, within which a process may have
# been started.
START_MARGIN = 0.25
SEND_WINDOW = 1.0  # seconds over which a cold server tolerates a number of requests


@dataclass(slots=True, kw_only=True)
class ColdPace:
    """What a host sent to a server lately, which a cold start is charged with.

    Attributes:
        next_send: From when on the rate of a cold server allows another request.
        sends: Times of the requests of the last second.
    """

    next_send: float = 0.0
    sends: deque[float] = field(default_factory=deque)

    def record_send(self, now: float) -> None:
        """Records that a request was sent."""
        self.sends.append(now)
        self.count(now)

    def count(self, now: float) -> int:
        """Returns the number of requests that were sent within the last second."""
        while self.sends and self.sends[0] <= now - SEND_WINDOW:
            self.sends.popleft()
        return len(self.sends)

    def begin(self, now: float, rate: float) -> None:
        """Starts to limit the rate, in requests per second.

        The requests of the last second may have reached a cold server already.
        """
        allowed = max(1, int(rate * SEND_WINDOW))
        self.next_send = max(self.next_send, now)
        if self.count(now) >= allowed:
            self.next_send = max(now, self.sends[-allowed] + SEND_WINDOW)


@dataclass(slots=True, kw_only=True)
class _Knowledge:
    """What is known of one server; times in seconds.

    Attributes:
        announced_until: End of the cold start that control announced.
        presumed_until: End of the cold start of a process that may have been started
            after another one had ended.
        silent_until: Until when a server counts as cold as it does not answer.
        report: The last health response.
        doubted_at: When the server may last have become cold without a new contact.
        heard_at: When the server last responded.
    """

    announced_until: float = -math.inf
    presumed_until: float = -math.inf
    silent_until: float = -math.inf
    report: HealthReport | None = None
    doubted_at: float = -math.inf
    heard_at: float = -math.inf

    def find_end(self) -> float:
        until = max(self.announced_until, self.presumed_until, self.silent_until)
        return until if self.report is None else max(until, self.report.cold_until)


class ColdStarts:
    """Decides whether a server is cold, is warm, or may be either."""

    def __init__(self):
        self._servers: dict[ServerId, _Knowledge] = {}
        self._doubted_at = -math.inf
        # Whether a health response has named a cold start, so that one that names none
        # is a statement as well.
        self._is_told = False

    def announce(self, now: float, server: ServerId, seconds: float) -> None:
        """Records for how many more seconds a server is cold, by word of control."""
        self._get(server).announced_until = now + seconds

    def record_report(self, server: ServerId, report: HealthReport) -> None:
        """Records a health response of a server.

        It is more exact than a presumption, unless servers do not tell cold starts.
        """
        known = self._get(server)
        if known.report is not None and report.asked_at < known.report.asked_at:
            return
        known.report = report
        known.silent_until = -math.inf
        self.record_response(report.asked_at, server)
        if report.cold_until > report.asked_at:
            self._is_told = True
        if self._is_told:
            known.presumed_until = -math.inf

    def record_response(self, now: float, server: ServerId) -> None:
        """Records that a server responded."""
        known = self._get(server)
        known.heard_at = max(known.heard_at, now)

    def record_end(self, now: float, server: ServerId, warm_up: float) -> None:
        """Records that a connection was refused, as no process listens.

        Args:
            now: Seconds of a monotonic clock.
            server: The server.
            warm_up: Seconds that a cold start takes.
        """
        self._presume(server, now + START_MARGIN + warm_up)

    def record_loss(self, now: float, server: ServerId, warm_up: float) -> None:
        """Records that other hosts cannot reach a server, whose process may have ended.

        Args:
            now: Seconds of a monotonic clock.
            server: The server.
            warm_up: Seconds that a cold start takes.
        """
        if not self._is_told:
            self._presume(server, now + START_MARGIN + warm_up)

    def record_silence(self, now: float, server: ServerId, seconds: float) -> None:
        """Takes a server that does not say whether it is cold for cold for a while."""
        self._get(server).silent_until = now + seconds

    def _presume(self, server: ServerId, until: float) -> None:
        known = self._get(server)
        known.presumed_until = max(known.presumed_until, until)

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
        is_reported = report is not None and report.asked_at > doubted_at
        if is_reported and now - report.asked_at < REPORT_TTL:
            return True
        if contact is None or now - known.heard_at > SILENCE_TTL:
            return False
        if is_reported and contact is report.contact:
            if is_informed or now - report.asked_at < UNINFORMED_TTL:
                return True
        return is_informed and now - max(contact.since, doubted_at) >= warm_up

    def retain(self, now: float, servers: Collection[ServerId]) -> None:
        """Forgets servers that do not exist any more."""
        for server in [name for name in self._servers if name not in servers]:
            if self._servers[server].announced_until <= now:
                del self._servers[server]

    def _get(self, server: ServerId) -> _Knowledge:
        return self._servers.setdefault(server, _Knowledge())
