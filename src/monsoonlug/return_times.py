"""Times at which the rejected requests of a gate may return.

Requests that are rejected at the same moment with the same `Retry-After` return at the
same moment, and most of them are rejected again. A gate tells each a time of its own.
"""

import bisect
from dataclasses import dataclass

MIN_RETRY_AFTER = 0.050  # seconds
# Share of its remaining time for which a caller waits as Retry-After tells it.
FOLLOWED_SHARE = 1 / 3
MAX_RETURN_TIMES = 256  # of one gate; bounds the memory and the time of a search


@dataclass(frozen=True, slots=True, kw_only=True)
class ReturnTime:
    """When a rejected request may return.

    Attributes:
        retry_after: Seconds from now.
        is_exhausted: Whether no slot is expected to be free in time, so that this is
            the longest time that callers follow.
    """

    retry_after: float
    is_exhausted: bool


class ReturnTimes:
    """Schedule of returns with a fixed distance, without randomness."""

    def __init__(self):
        self._times: list[float] = []

    def __len__(self) -> int:
        """Returns the number of assigned times that were not over at the last call."""
        return len(self._times)

    def assign(
        self,
        now: float,
        *,
        wait: float,
        remaining: float,
        service_time: float,
        rate: float,
    ) -> ReturnTime:
        """Returns when a rejected request may return.

        It is the longest that callers follow if that is too early for the request to be
        served. Such a time is not recorded, as no slot is expected to be free then.

        Args:
            now: Seconds of a monotonic clock.
            wait: Seconds until the gate is expected to accept the request.
            remaining: Seconds until the request's deadline.
            service_time: Expected service time of the request, in seconds.
            rate: Requests per second for which slots become free.
        """
        del self._times[: bisect.bisect_right(self._times, now)]
        longest = max(remaining * FOLLOWED_SHARE, MIN_RETRY_AFTER)
        latest = now + min(longest, remaining - service_time)
        at = self._find_time(now + max(wait, MIN_RETRY_AFTER), latest, rate)
        if at is None:
            return ReturnTime(retry_after=longest, is_exhausted=True)
        bisect.insort(self._times, at)
        return ReturnTime(retry_after=at - now, is_exhausted=False)

    def _find_time(self, earliest: float, latest: float, rate: float) -> float | None:
        """Returns the first time with the distance 1 / rate to all others, or None."""
        if rate <= 0 or len(self._times) >= MAX_RETURN_TIMES:
            return None
        distance = 1 / rate
        at = earliest
        for position in range(
            bisect.bisect_left(self._times, earliest - distance), len(self._times)
        ):
            other = self._times[position]
            if other - at >= distance or at > latest:
                break
            at = max(at, other + distance)
        return at if at <= latest else None
