"""Backend server of the benchmark: slots, service time, cold start, slow moments."""

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Protocol

from standins.capacity import COLD_BURST, OVERLOAD_LATENCY_FACTOR, OVERLOAD_SECONDS

LOAD_MEMORY = 0.2  # seconds between two samples of the load


class Clock(Protocol):
    """Virtual time and its events."""

    now: float

    def after(self, delay: float, run: Callable[[], None]) -> None:
        """Runs an event after a delay in seconds."""


class LoadServer:
    """Runs requests in the order of their arrival; excess waits at the server.

    Args:
        clock: Virtual time.
        random: Source of service times.
        slots: Requests that run at the same time.
        service: Mean service time in seconds.
        cold_rate: Requests per second that it bears while cold.
        cold_until: End of its cold start, in seconds.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        random: Random,
        slots: int,
        service: float,
        cold_rate: float,
        cold_until: float = 0.0,
    ):
        self._clock = clock
        self._random = random
        self._slots = slots
        self._service = service
        self._cold_rate = cold_rate
        self.cold_until = cold_until
        self._level = COLD_BURST
        self._level_at = clock.now
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
        self._open: dict[str, int] = {}
        self.connections: dict[str, int] = {}

    @property
    def is_cold(self) -> bool:
        """Whether it bears little load at this moment."""
        return self._clock.now < self.cold_until

    def receive(self, sender: str, answer: Callable[[], None]) -> None:
        """Takes a request; `answer` is called when it has ended."""
        if not self.is_alive:
            return
        now = self._clock.now
        self.received += 1
        self.last_received = now
        self._count_cold(now)
        self._open[sender] = self._open.get(sender, 0) + 1
        most = max(self.connections.get(sender, 0), self._open[sender])
        self.connections[sender] = most

        def finish() -> None:
            self._open[sender] -= 1
            answer()

        if self._running < self._slots:
            self._start(finish)
            return
        self._waiting.append(finish)

    def read_load(self, delay: float) -> float:
        """Returns its load from 0 to 1 as it was `delay` seconds ago."""
        now = self._clock.now
        load = min(1.0, (self._running + len(self._waiting)) / self._slots)
        self._history.append((now, load))
        while len(self._history) > 1 and self._history[1][0] <= now - delay:
            self._history.popleft()
        return self._history[0][1]

    def _count_cold(self, now: float) -> None:
        if not self.is_cold:
            return
        earned = (now - self._level_at) * self._cold_rate
        self._level = min(COLD_BURST, self._level + earned)
        self._level_at = now
        if self._level < 1 - 1e-9:
            self.cold_overruns += 1
            self._overrun_until = now + OVERLOAD_SECONDS
            return
        self._level -= 1

    def _start(self, finish: Callable[[], None]) -> None:
        self._running += 1
        now = self._clock.now
        seconds = self._service * self._random.uniform(0.5, 1.5)
        if now < self.slow_until:
            seconds *= self.slow_factor
        if now < self._overrun_until:
            seconds *= OVERLOAD_LATENCY_FACTOR
        self._clock.after(seconds, lambda: self._finish(finish))

    def _finish(self, finish: Callable[[], None]) -> None:
        if not self.is_alive:
            return
        self._running -= 1
        finish()
        if self._waiting:
            self._start(self._waiting.popleft())
