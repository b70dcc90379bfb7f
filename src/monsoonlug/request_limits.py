"""Request limits that backend servers name for all hosts together.

A host schedules its sends to a limited server at its share of the limit. Control learns
the limits from the hosts that send, and tells all hosts the limit and the number of
senders. A host that takes over a gate therefore knows the limit before its first send.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from monsoonlug.ids import HostId, ServerId

BURST = 2  # requests that a host may send without a pause in between
# Seconds for which the host of a response from a limited server counts as a sender.
SENDER_TIMEOUT = 2.5


class RequestLimiter:
    """Schedules the requests to one server; at most `rate * w + BURST` in `w` seconds.

    The schedule is that of the generic cell rate algorithm.

    Args:
        limit: Requests per second that the server accepts from all hosts together.

    Attributes:
        senders: Number of hosts that share the limit.
    """

    def __init__(self, *, limit: float):
        self.limit = limit
        self.senders = 1
        self._due_at = -math.inf  # when the next send is due at an even rate

    @property
    def rate(self) -> float:
        """Requests per second that this host may send."""
        return self.limit / self.senders

    @property
    def next_send(self) -> float:
        """Earliest time of the next send, in seconds of the clock of the sends."""
        return self._due_at - (BURST - 1) / self.rate

    def estimate_delay(self, now: float, count: float) -> float:
        """Returns the seconds until a send that follows `count` others."""
        due_at = max(now, self._due_at) + (count - BURST + 1) / self.rate
        return max(0.0, due_at - now)

    def record_send(self, now: float) -> None:
        """Records that a request is sent."""
        self._due_at = max(now, self._due_at) + 1 / self.rate


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitReport:
    """What a server's last response to a host said.

    Attributes:
        limit: Requests per second; 0 if the response lifted an earlier limit.
        age: Seconds since the response.
    """

    server: ServerId
    limit: float
    age: float


class RequestLimits:
    """Limiters of the servers that a host sends requests to."""

    def __init__(self):
        self._limiters: dict[ServerId, RequestLimiter] = {}
        self._responses: dict[ServerId, tuple[float, float]] = {}

    def __len__(self) -> int:
        return len(self._limiters)

    def find(self, server: ServerId) -> RequestLimiter | None:
        """Returns the limiter of a server, or None if it names no limit."""
        return self._limiters.get(server)

    def record_response(
        self, now: float, server: ServerId, limit: float | None
    ) -> bool:
        """Records the limit that a response names, or None if it names none.

        Returns:
            Whether the limit of the server changed.
        """
        if limit is not None or server in self._limiters:
            self._responses[server] = (limit or 0.0, now)
        return self._set_limit(server, limit or 0.0)

    def apply_notice(self, server: ServerId, limit: float, senders: int) -> bool:
        """Applies what control knows of a server; a limit of 0 lifts it.

        Returns:
            Whether the limit of the server changed.
        """
        has_changed = self._set_limit(server, limit)
        if limit > 0:
            self._limiters[server].senders = max(1, senders)
        return has_changed

    def list_reports(self, now: float) -> Iterator[LimitReport]:
        """Yields the reports for control on recent responses."""
        for server, (limit, at) in list(self._responses.items()):
            if now - at > SENDER_TIMEOUT:
                del self._responses[server]
                continue
            yield LimitReport(server=server, limit=limit, age=now - at)

    def remove(self, server: ServerId) -> None:
        """Forgets a server whose process has ended."""
        self._limiters.pop(server, None)
        self._responses.pop(server, None)

    def _set_limit(self, server: ServerId, limit: float) -> bool:
        limiter = self._limiters.get(server)
        if limit <= 0:
            return self._limiters.pop(server, None) is not None
        if limiter is None:
            self._limiters[server] = RequestLimiter(limit=limit)
            return True
        if limiter.limit == limit:
            return False
        limiter.limit = limit
        return True


@dataclass(slots=True, kw_only=True)
class _KnownLimit:
    """Limit of one server; the last one that was announced to hosts, and its senders.

    Attributes:
        named_at: Time of the response that named `limit`.
        senders: Time of the last response to each host.
    """

    limit: float
    named_at: float
    senders: dict[HostId, float] = field(default_factory=dict)
    announced: tuple[float, int] = (0.0, 1)


class FleetLimits:
    """Limits of all servers and the hosts that send to them, at the control leader."""

    def __init__(self):
        self._known: dict[ServerId, _KnownLimit] = {}

    def find(self, server: ServerId) -> float | None:
        """Returns the limit of a server, or None if it names none."""
        known = self._known.get(server)
        return known.limit if known is not None and known.limit > 0 else None

    def record(self, now: float, host: HostId, report: LimitReport) -> None:
        """Records the report of a host; the most recent response counts."""
        at = now - report.age
        known = self._known.get(report.server)
        if known is None:
            if report.limit <= 0:
                return
            known = _KnownLimit(limit=report.limit, named_at=at)
            self._known[report.server] = known
        known.senders[host] = max(at, known.senders.get(host, -math.inf))
        if at >= known.named_at:
            known.limit = report.limit
            known.named_at = at

    def remove(self, now: float, server: ServerId) -> None:
        """Lifts the limit of a server whose process has ended."""
        known = self._known.get(server)
        if known is not None:
            known.limit = 0.0
            known.named_at = now

    def take_changes(self, now: float) -> Iterator[tuple[ServerId, float, int]]:
        """Yields server, limit and senders of each limit to announce to all hosts."""
        for server, known in list(self._known.items()):
            # Older reports, which could restore a lifted limit, have arrived by then.
            if known.limit <= 0 and now - known.named_at > 2 * SENDER_TIMEOUT:
                del self._known[server]
                continue
            for host, at in list(known.senders.items()):
                if now - at > SENDER_TIMEOUT:
                    del known.senders[host]
            senders = max(1, len(known.senders)) if known.limit > 0 else 1
            if known.announced == (known.limit, senders):
                continue
            known.announced = (known.limit, senders)
            yield server, known.limit, senders

    def iterate(self) -> Iterator[tuple[ServerId, float, int]]:
        """Yields server, limit and senders of the announced limits."""
        for server, known in self._known.items():
            limit, senders = known.announced
            if limit > 0:
                yield server, limit, senders
