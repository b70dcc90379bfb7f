"""Slow start and back-off of one backend server: limits its concurrency and rate."""

from dataclasses import dataclass
from enum import Enum

from monsoonlug.catalogue import PoolLimits
from monsoonlug.ids import ServerPhase

FAST_ANSWERS_TO_GROW = 4  # in a row, without an outlier, until the rate doubles
OUTLIER_FACTOR = 4.0  # times the baseline latency
MIN_OUTLIER_EXCESS = 0.005  # seconds above the baseline; smaller excesses are noise
OUTLIERS_TO_BACK_OFF = 3  # consecutive outliers, which show that a server is cold
BASELINE_WEIGHT = 1 / 64  # of one answer, in the baseline latency
RECENT_WEIGHT = 1 / 8  # of one answer, in the recent latency
MIN_SAMPLES = 16  # answers needed to detect outliers
CAPACITY_HEADROOM = 2.0  # times the measured capacity; no rate limit from there on
INITIAL_LATENCY = 0.010  # seconds, until the first answer


class Stage(Enum):
    """Stage of the ramp.

    COLD has a fixed limit, SUSPECT the same limit after an outlier, and GROWING a limit
    that doubles. FULL is limited only by the server's slots and connections.
    """

    COLD = "cold"
    SUSPECT = "suspect"
    GROWING = "growing"
    FULL = "full"


@dataclass(slots=True)
class LatencyEstimator:
    """Moving averages of one server's latency, in seconds.

    Attributes:
        baseline: Average over the long term, against which outliers are detected.
        recent: Average over the short term.
        samples: Number of answers so far.
    """

    baseline: float = INITIAL_LATENCY
    recent: float = INITIAL_LATENCY
    samples: int = 0

    def add(self, latency: float) -> None:
        """Adds the latency of one answer, in seconds."""
        self.samples += 1
        if self.samples == 1:
            self.baseline = self.recent = latency
            return
        if self.samples > MIN_SAMPLES:
            # Limits an outlier, so that the estimate does not lead to false refusals.
            latency = min(
                latency, max(self.baseline * OUTLIER_FACTOR, MIN_OUTLIER_EXCESS)
            )
        weight = max(BASELINE_WEIGHT, 1 / self.samples)
        self.baseline += weight * (latency - self.baseline)
        self.recent += RECENT_WEIGHT * (latency - self.recent)

    def is_outlier(self, latency: float) -> bool:
        """Whether a latency in seconds is far above the baseline."""
        if self.samples < MIN_SAMPLES:
            return False
        return latency > max(
            self.baseline * OUTLIER_FACTOR, self.baseline + MIN_OUTLIER_EXCESS
        )


class Ramp:
    """Limits concurrency and send rate of one backend server.

    In the stages COLD and SUSPECT, one request runs at a time and sends are at least
    `1 / cold_rate` seconds apart, so a window of `w` seconds holds at most
    `1 + cold_rate * w` sends. The time of creation counts as a send, as another gate
    may just have sent a request.

    Args:
        limits: Limits of each server of the pool.
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
        self._max_concurrency = min(limits.slots, limits.connections)
        self._last_sent_at = now
        self._cold_until = now + limits.cold_seconds
        self._is_backed_off = False
        self._reported_phase = phase
        self._fast_answers = 0
        self._outliers = 0
        self.latency_estimator = LatencyEstimator()
        self.stage = Stage.COLD
        self.rate = limits.cold_rate
        self.concurrency = 1
        if phase is ServerPhase.WARM:
            self._enter_full()

    def update_phase(self, now: float, phase: ServerPhase, cold_rate: float) -> None:
        """Updates the phase that the server reports.

        After a back-off, WARM is ignored until the server has reported COLD, because a
        server that became cold without notice still reports WARM for a while.
        """
        self._cold_rate = cold_rate
        if phase is ServerPhase.COLD:
            self._reported_phase = phase
            self._is_backed_off = False
            self._enter_cold(now)
            return
        was_cold = self._reported_phase is ServerPhase.COLD
        self._reported_phase = phase
        if phase is ServerPhase.WARM and was_cold and not self._is_backed_off:
            self._enter_growing()

    @property
    def is_probing(self) -> bool:
        """Whether single requests probe a server that is suspect or was backed off."""
        return self._is_backed_off or self.stage is Stage.SUSPECT

    def allows(self, now: float, running: int) -> bool:
        """Whether another request may be sent while `running` requests run."""
        if self.stage is Stage.FULL:
            return running < self._max_concurrency
        if self.stage is Stage.COLD and now >= self._cold_until:
            self._enter_growing()
        return running < self.concurrency and now >= self.find_next_send()

    def find_next_send(self) -> float:
        """Returns the earliest time of the next send, in seconds of the clock."""
        if self.stage is Stage.FULL:
            return self._last_sent_at
        return self._last_sent_at + 1 / self.rate

    def record_send(self, now: float) -> None:
        """Records that a request was sent."""
        self._last_sent_at = now

    def estimate_interval(self) -> float:
        """Returns the mean seconds between sends at which the server's queue drains."""
        service_time = self.latency_estimator.recent / self.concurrency
        if self.stage is Stage.FULL:
            return service_time
        return max(service_time, 1 / self.rate)

    def back_off(self, now: float) -> None:
        """Returns to the cold limits, as the server shed a request or became slow."""
        self._is_backed_off = True
        self._enter_cold(now)

    def record_answer(self, now: float, latency: float) -> None:
        """Records the latency of an answer in seconds and adapts the limits to it."""
        is_outlier = self.latency_estimator.is_outlier(latency)
        self.latency_estimator.add(latency)
        if is_outlier:
            self._handle_outlier(now)
            return
        self._outliers = 0
        self._fast_answers += 1
        if self.stage is Stage.SUSPECT and self._fast_answers >= FAST_ANSWERS_TO_GROW:
            self._enter_growing()
        elif self.stage is Stage.GROWING and self._fast_answers >= FAST_ANSWERS_TO_GROW:
            self._grow()

    def record_abandoned(self, now: float, latency: float) -> None:
        """Records how long an abandoned request ran, in seconds.

        A time below the recent latency says nothing about the server.
        """
        if latency < self.latency_estimator.recent:
            return
        is_outlier = self.latency_estimator.is_outlier(latency)
        self.latency_estimator.add(latency)
        if is_outlier:
            self._handle_outlier(now)

    def _handle_outlier(self, now: float) -> None:
        self._fast_answers = 0
        self._outliers += 1
        if self.stage is Stage.COLD:
            return
        if self._outliers >= OUTLIERS_TO_BACK_OFF:
            self._outliers = 0
            self.back_off(now)
            return
        self._restrict(Stage.SUSPECT)

    def _enter_cold(self, now: float) -> None:
        self._cold_until = now + self._cold_seconds
        self._restrict(Stage.COLD)

    def _restrict(self, stage: Stage) -> None:
        self.stage = stage
        self.rate = self._cold_rate
        self.concurrency = 1
        self._fast_answers = 0

    def _enter_growing(self) -> None:
        self._is_backed_off = False
        self._restrict(Stage.GROWING)

    def _grow(self) -> None:
        self._fast_answers = 0
        self.rate *= 2
        self.concurrency = min(self.concurrency + 1, self._max_concurrency)
        capacity = self._max_concurrency / max(self.latency_estimator.recent, 1e-6)
        if (
            self.concurrency == self._max_concurrency
            and self.rate >= CAPACITY_HEADROOM * capacity
        ):
            self._enter_full()

    def _enter_full(self) -> None:
        self.stage = Stage.FULL
        self.concurrency = self._max_concurrency
