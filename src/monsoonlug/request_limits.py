"""Request limits that backend servers name, and the schedule of sends under them."""

import math

from monsoonlug.ids import ServerId

BURST = 2  # requests that may be sent without a pause in between


class RequestLimiter:
    """Schedules the requests to one server; at most `rate * w + BURST` in `w` seconds.

    The schedule is that of the generic cell rate algorithm.

    Args:
        limit: Requests per second that the server accepts from all hosts together.
    """

    def __init__(self, *, limit: float):
        self.limit = limit
        self._due_at = -math.inf  # when the next send is due at an even rate

    @property
    def rate(self) -> float:
        """Requests per second that this host may send."""
        return self.limit

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


class RequestLimits:
    """Limiters of the servers that this host sends requests to."""

    def __init__(self):
        self._limiters: dict[ServerId, RequestLimiter] = {}

    def __len__(self) -> int:
        return len(self._limiters)

    def find(self, server: ServerId) -> RequestLimiter | None:
        """Returns the limiter of a server, or None if it names no limit."""
        return self._limiters.get(server)

    def set_limit(self, server: ServerId, limit: float | None) -> bool:
        """Sets or, with None, lifts the limit of a server.

        Returns:
            Whether the limit changed.
        """
        limiter = self._limiters.get(server)
        if limit is None:
            return self._limiters.pop(server, None) is not None
        if limiter is None:
            self._limiters[server] = RequestLimiter(limit=limit)
            return True
        if limiter.limit == limit:
            return False
        limiter.limit = limit
        return True

    def remove(self, server: ServerId) -> None:
        """Forgets a server whose process has ended."""
        self._limiters.pop(server, None)
