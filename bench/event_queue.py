"""Event queue of a discrete-event simulation."""

import heapq
from collections.abc import Callable


class EventQueue:
    """Runs callbacks in order of their scheduled virtual times, in seconds."""

    def __init__(self):
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedules a callback after a delay in seconds."""
        self._count += 1
        heapq.heappush(
            self._events, (self.now + max(0.0, delay), self._count, callback)
        )

    def run_until(self, end: float) -> None:
        """Runs all callbacks scheduled up to a time, in virtual seconds."""
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = end
