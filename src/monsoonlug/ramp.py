"""How much one backend server may be sent: cold start, growth and cut-back."""

from dataclasses import dataclass
from enum import Enum

from monsoonlug.catalogue import PoolLimits
from monsoonlug.ids import ServerPhase

GROWTH_ANSWERS = 4  # quick answers in a row until the rate doubles
JUMP_FACTOR = 4.0  # times the usual latency
JUMP_FLOOR = 0.005  # seconds above the usual latency; below this is noise
JUMP_ANSWERS = 3  # slow answers in a row that show a cold server
USUAL_WEIGHT = 1 / 64  # of one answer in the usual latency
RECENT_WEIGHT = 1 / 8  # of one answer in the recent latency
HISTORY_ANSWERS = 16  # answers until a jump can be judged
FULL_HEADROOM = 2.0  # rate over measured capacity at which the rate bound ends
FIRST_LATENCY = 0.010  # seconds, assumed before the first answer


class Stage(Enum):
    """Stage of the ramp.

    COLD has a hard bound, SUSPECT the same bound after one slow answer, GROWING a
    bound that doubles, FULL only the server's slots.
    """

    COLD = "cold"
    SUSPECT = "suspect"
    GROWING = "growing"
    FULL = "full"


@dataclass(slots=True)
class LatencyHistory:
    """Usual and recent latency of one server, in seconds."""

    usual: float = FIRST_LATENCY
    recent: float = FIRST_LATENCY
    answers: int = 0

    def add(self, latency: float) -> None:
        """Takes the latency of one answer, in seconds."""
        self.answers += 1
        if self.answers == 1:
            self.usual = self.recent = latency
            return
        if self.answers > HISTORY_ANSWERS:
            # One outlier must not make the estimate refuse what could be served.
            latency = min(latency, max(self.usual * JUMP_FACTOR, JUMP_FLOOR))
        weight = max(USUAL_WEIGHT, 1 / self.answers)
        self.usual += weight * (latency - self.usual)
        self.recent += RECENT_WEIGHT * (latency - self.recent)

    def is_jump(self, latency: float) -> bool:
        """Whether a latency in seconds stands out from what is usual."""
        if self.answers < HISTORY_ANSWERS:
            return False
        return latency > max(self.usual * JUMP_FACTOR, self.usual + JUMP_FLOOR)


class Ramp:
    """Bounds concurrency and rate of one backend server.

    In the stages COLD and SUSPECT, one request runs at a time and sends are at least
    `1 / cold_rate` seconds apart, so a window of `w` seconds holds at most
    `1 + cold_rate * w` sends. The time of creation counts as a send, as another gate
    may just have sent.

    Args:
        limits: What each server of the pool bears.
        now: Seconds of a monotonic clock.
        phase: Phase that the server reports; COLD if it has reported none.
    """

    def __init__(
        self,
        *,
        limits: PoolLimits,
        now: float,
        phase: ServerPhase = ServerPhase.COLD,
    ):
        self._cold_rate = limits.cold_rate
        self._cold_seconds = limits.cold_seconds
        self._most = min(limits.slots, limits.connections)
        self._sent_at = now
        self._cold_until = now + limits.cold_seconds
        self._cut = False
        self._reported = phase
        self._quick = 0
        self._slow = 0
        self.history = LatencyHistory()
        self.stage = Stage.COLD
        self.rate = limits.cold_rate
        self.concurrency = 1
        if phase is ServerPhase.WARM:
            self._become_full()

    def report(self, now: float, phase: ServerPhase, cold_rate: float) -> None:
        """Takes the phase that the server reports.

        After a cut-back, WARM is believed only if the server has reported COLD since,
        because the reports of a server that became cold without notice are late.
        """
        self._cold_rate = cold_rate
        if phase is ServerPhase.COLD:
            self._reported = phase
            self._cut = False
            self._become_cold(now)
            return
        was_cold = self._reported is ServerPhase.COLD
        self._reported = phase
        if phase is ServerPhase.WARM and was_cold and not self._cut:
            self._begin_growth()

    @property
    def is_probing(self) -> bool:
        """Whether a server that was cut back or suspected is tried with one request."""
        return self._cut or self.stage is Stage.SUSPECT

    def allows(self, now: float, running: int) -> bool:
        """Whether one more request may be sent while `running` run."""
        if self.stage is Stage.FULL:
            return running < self._most
        if self.stage is Stage.COLD and now >= self._cold_until:
            self._begin_growth()
        return running < self.concurrency and now >= self.next_send_at()

    def next_send_at(self) -> float:
        """Earliest time of the next send that the rate allows, in seconds."""
        if self.stage is Stage.FULL:
            return self._sent_at
        return self._sent_at + 1 / self.rate

    def sent(self, now: float) -> None:
        """Counts one send."""
        self._sent_at = now

    def spacing(self) -> float:
        """Mean seconds between sends at which the server's queue drains."""
        service = self.history.recent / self.concurrency
        if self.stage is Stage.FULL:
            return service
        return max(service, 1 / self.rate)

    def shed(self, now: float) -> None:
        """Cuts back because the server shed a request."""
        self._cut = True
        self._become_cold(now)

    def answered(self, now: float, latency: float) -> None:
        """Takes the latency of one answer in seconds; grows or cuts back."""
        jumped = self.history.is_jump(latency)
        self.history.add(latency)
        if jumped:
            self._take_slow(now)
            return
        self._slow = 0
        self._quick += 1
        if self.stage is Stage.SUSPECT and self._quick >= GROWTH_ANSWERS:
            self._begin_growth()
        elif self.stage is Stage.GROWING and self._quick >= GROWTH_ANSWERS:
            self._grow()

    def abandoned(self, now: float, latency: float) -> None:
        """Takes the time in seconds that a request ran until it was given up."""
        if latency < self.history.recent:
            return
        jumped = self.history.is_jump(latency)
        self.history.add(latency)
        if jumped:
            self._take_slow(now)

    def _take_slow(self, now: float) -> None:
        self._quick = 0
        self._slow += 1
        if self.stage is Stage.COLD:
            return
        if self._slow >= JUMP_ANSWERS:
            self._slow = 0
            self.shed(now)
            return
        self._bound(Stage.SUSPECT)

    def _become_cold(self, now: float) -> None:
        self._cold_until = now + self._cold_seconds
        self._bound(Stage.COLD)

    def _bound(self, stage: Stage) -> None:
        self.stage = stage
        self.rate = self._cold_rate
        self.concurrency = 1
        self._quick = 0

    def _begin_growth(self) -> None:
        self._cut = False
        self._bound(Stage.GROWING)

    def _grow(self) -> None:
        self._quick = 0
        self.rate *= 2
        self.concurrency = min(self.concurrency + 1, self._most)
        capacity = self._most / max(self.history.recent, 1e-6)
        if self.concurrency == self._most and self.rate >= FULL_HEADROOM * capacity:
            self._become_full()

    def _become_full(self) -> None:
        self.stage = Stage.FULL
        self.concurrency = self._most
