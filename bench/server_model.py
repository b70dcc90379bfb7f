"""Queueing model of a backend server with cold starts and slow periods."""

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Protocol

from standins.capacity import COLD_BURST, OVERLOAD_LATENCY_FACTOR, OVERLOAD_SECONDS

LOAD_MEMORY = 0.2  # seconds between two samples of the load


class Clock(Protocol):
    """Virtual time with scheduled callbacks."""

    now: float

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedules a callback after a delay in seconds."""


class ServerModel:
    """Runs requests in order of arrival in a fixed number of slots.

    Requests queue while all slots are busy. A cold server that receives more than its
    cold rate is slow for a while after that.

    Args:
        clock: Virtual time.
        random: Random number generator for service times.
        slots: Requests that run concurrently.
        mean_service_time: In seconds; service times vary from half to 1.5 times this.
        cold_rate: Requests per second that the server can take while cold.
        cold_until: End of the cold start, in virtual seconds.

    Attributes:
        slow_until: End of the current slow period, in virtual seconds.
        slow_factor: Factor of service times in a slow period.
        cold_overruns: Requests beyond the cold rate.
        last_received: Time of the last request, in virtual seconds.
        peak_connections: Largest number of concurrent requests by sender.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        random: Random,
        slots: int,
        mean_service_time: float,
        cold_rate: float,
        cold_until: float = 0.0,
    ):
        self._clock = clock
        self._random = random
        self._slots = slots
        self._mean_service_time = mean_service_time
        self._cold_rate = cold_rate
        self.cold_until = cold_until
        self._tokens = COLD_BURST
        self._refilled_at = clock.now
        self._overrun_until = 0.0
        self._waiting: deque[Callable[[], None]] = deque()
        self._running = 0
        self._history: deque[tuple[float, float]] = deque()
        self.slow_until = 0.0
        self.slow_factor = 1.0
        self.is_alive = True
        self.cold_overruns = 0
        self.last_received = 0.0
        self.received = 0
        self.senders: set[str] = set()
        self._open_connections: dict[str, int] = {}
        self.peak_connections: dict[str, int] = {}

    @property
    def is_cold(self) -> bool:
        """Whether the cold start is still in progress."""
        return self._clock.now < self.cold_until

    def receive(self, sender: str, on_finish: Callable[[], None]) -> None:
        """Queues a request and calls `on_finish` when it has run.

        A server that is not alive ignores the request.
        """
        if not self.is_alive:
            return
        now = self._clock.now
        self.received += 1
        self.last_received = now
        self._check_cold_rate(now)
        self._open_connections[sender] = self._open_connections.get(sender, 0) + 1
        peak = max(self.peak_connections.get(sender, 0), self._open_connections[sender])
        self.peak_connections[sender] = peak

        def finish() -> None:
            self._open_connections[sender] -= 1
            on_finish()

        if self._running < self._slots:
            self._start(finish)
            return
        self._waiting.append(finish)

    def read_load(self, delay: float) -> float:
        """Returns the load, from 0 to 1, of the last call `delay` or more seconds ago.

        Without such a call, it is the load of the oldest one.
        """
        now = self._clock.now
        load = min(1.0, (self._running + len(self._waiting)) / self._slots)
        self._history.append((now, load))
        while len(self._history) > 1 and self._history[1][0] <= now - delay:
            self._history.popleft()
        return self._history[0][1]

    def _check_cold_rate(self, now: float) -> None:
        if not self.is_cold:
            return
        refill = (now - self._refilled_at) * self._cold_rate
        self._tokens = min(COLD_BURST, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1 - 1e-9:
            self.cold_overruns += 1
            self._overrun_until = now + OVERLOAD_SECONDS
            return
        self._tokens -= 1

    def _start(self, finish: Callable[[], None]) -> None:
        self._running += 1
        now = self._clock.now
        seconds = self._mean_service_time * self._random.uniform(0.5, 1.5)
        if now < self.slow_until:
            seconds *= self.slow_factor
        if now < self._overrun_until:
            seconds *= OVERLOAD_LATENCY_FACTOR
        self._clock.call_later(seconds, lambda: self._finish(finish))

    def _finish(self, finish: Callable[[], None]) -> None:
        if not self.is_alive:
            return
        self._running -= 1
        finish()
        if self._waiting:
            self._start(self._waiting.popleft())
