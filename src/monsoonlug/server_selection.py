"""Server selection for pooled routes: two random choices and straggler ejection."""

import statistics
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from random import Random

from monsoonlug.gate import Outcome
from monsoonlug.ids import RequestId, ServerId

LATENCY_WEIGHT = 0.2  # of a new sample in the moving average of the latency
INITIAL_LATENCY = 0.010  # seconds, assumed until a server of the pool has responded
REPORTED_LOAD_WEIGHT = 0.1  # score increase of a server that reports full load
# Older latencies are ignored, so that a server that lost every comparison is retried.
MAX_LATENCY_AGE = 1.0  # seconds
# Scores closer than this are equal, as noise would select the same server every time.
SCORE_TIE_RATIO = 1.05
STRAGGLER_FACTOR = 3.0  # multiple of the pool's median latency
MIN_STRAGGLER_DELAY = 0.005  # seconds above the pool's median; smaller delays are noise
MIN_LATENCY_SAMPLES = 3  # responses before the average latency is compared
STRAGGLER_CONSECUTIVE_FAILURES = 3
BASE_EJECTION_SECONDS = 1.0  # doubles with each consecutive ejection
MAX_EJECTION_SECONDS = 8.0
STRAGGLER_CHECK_INTERVAL = 0.010  # seconds


@dataclass(slots=True)
class ServerStats:
    """What this host has observed of one server; times are in seconds.

    Attributes:
        latency: Moving average, or None without a response since the last ejection.
        start_times: Start of each running request, oldest first.
        reported_load: Load that the server reported, from 0 to 1.
        consecutive_ejections: Ejections since the last response within the straggler
            limit.
    """

    latency: float | None = None
    last_response_at: float = 0.0
    responses: int = 0
    consecutive_failures: int = 0
    reported_load: float = 0.0
    ejected_until: float = 0.0
    consecutive_ejections: int = 0
    start_times: dict[RequestId, float] = field(default_factory=dict)

    def find_latency(self, now: float, median_latency: float) -> float:
        """Returns the average latency, or the age of the oldest request if higher."""
        latency = median_latency if self.latency is None else self.latency
        if now - self.last_response_at > MAX_LATENCY_AGE:
            latency = median_latency
        if not self.start_times:
            return latency
        return max(latency, now - next(iter(self.start_times.values())))


class ServerSelector:
    """Selects a server of one pool by the power of two random choices.

    Args:
        random: Source of the candidates.
    """

    def __init__(self, *, random: Random):
        self._random = random
        self._stats: dict[ServerId, ServerStats] = {}
        self._median_latency = INITIAL_LATENCY
        self._stragglers_checked_at = float("-inf")

    def set_servers(self, servers: Iterable[ServerId]) -> None:
        """Sets the servers of the pool and drops the statistics of all others."""
        self._stats = {
            server: self._stats.get(server, ServerStats()) for server in servers
        }
        self._stragglers_checked_at = float("-inf")

    def choose(self, now: float, exclude: Collection[ServerId] = ()) -> ServerId | None:
        """Returns the server for a request, or None if there is none.

        An ejected server is returned only if every other server is excluded.
        """
        self._check_stragglers(now)
        allowed = [server for server in self._stats if server not in exclude]
        healthy = [
            server for server in allowed if self._stats[server].ejected_until <= now
        ]
        candidates = healthy or allowed
        if not candidates:
            return None
        if len(candidates) > 2:
            candidates = self._random.sample(candidates, 2)
        scores = [self._score(now, server) for server in candidates]
        if max(scores) <= min(scores) * SCORE_TIE_RATIO:
            return self._random.choice(candidates)
        return candidates[scores.index(min(scores))]

    def record_start(self, now: float, server: ServerId, request_id: RequestId) -> None:
        """Records that a request is sent to a server."""
        stats = self._stats.get(server)
        if stats is not None:
            stats.start_times[request_id] = now

    def record_finish(
        self, now: float, server: ServerId, request_id: RequestId, outcome: Outcome
    ) -> None:
        """Records the end of a request; ignores an unknown request.

        Failures are not latency samples, as quick ones would make the server look fast.
        An abandoned request is one unless it took less than the average.
        """
        stats = self._stats.get(server)
        if stats is None or request_id not in stats.start_times:
            return
        latency = now - stats.start_times.pop(request_id)
        if outcome in (Outcome.LOST, Outcome.SHED):
            stats.consecutive_failures += 1
            return
        if outcome is Outcome.ABANDONED and latency < (
            stats.latency or self._median_latency
        ):
            return
        stats.consecutive_failures = 0
        stats.responses += 1
        stats.last_response_at = now
        if stats.latency is None:
            stats.latency = latency
        stats.latency += LATENCY_WEIGHT * (latency - stats.latency)
        if latency <= self._find_straggler_limit():
            stats.consecutive_ejections = 0

    def record_load(self, server: ServerId, load: float) -> None:
        """Records the load, from 0 to 1, that a server reported.

        It has little weight, because reports may be wrong.
        """
        stats = self._stats.get(server)
        if stats is not None:
            stats.reported_load = min(max(load, 0.0), 1.0)

    def list_ejected(self, now: float) -> list[ServerId]:
        """Returns the servers that are currently ejected."""
        return [
            server for server, stats in self._stats.items() if stats.ejected_until > now
        ]

    def _score(self, now: float, server: ServerId) -> float:
        stats = self._stats[server]
        latency = stats.find_latency(now, self._median_latency)
        load = (len(stats.start_times) + 1) * latency
        return load * (1 + REPORTED_LOAD_WEIGHT * stats.reported_load)

    def _find_straggler_limit(self) -> float:
        return max(
            self._median_latency * STRAGGLER_FACTOR,
            self._median_latency + MIN_STRAGGLER_DELAY,
        )

    def _check_stragglers(self, now: float) -> None:
        if now - self._stragglers_checked_at < STRAGGLER_CHECK_INTERVAL:
            return
        self._stragglers_checked_at = now
        latencies = [
            stats.latency for stats in self._stats.values() if stats.latency is not None
        ]
        if latencies:
            self._median_latency = statistics.median_low(latencies)
        slow = []
        for server, stats in self._stats.items():
            if stats.ejected_until > now:
                continue
            if self._is_straggler(now, stats):
                slow.append((stats.find_latency(now, self._median_latency), server))
        ejected = self.list_ejected(now)
        ejected.sort(key=lambda server: self._stats[server].ejected_until)
        remaining_ejections = len(self._stats) // 2 - len(ejected)
        for server in ejected[: max(-remaining_ejections, 0)]:
            # After servers have left, more than half of the rest may be ejected.
            self._stats[server].ejected_until = now
        slow.sort(reverse=True)
        for _, server in slow[: max(remaining_ejections, 0)]:
            self._eject(now, self._stats[server])

    def _is_straggler(self, now: float, stats: ServerStats) -> bool:
        if stats.consecutive_failures >= STRAGGLER_CONSECUTIVE_FAILURES:
            return True
        limit = self._find_straggler_limit()
        if stats.responses >= MIN_LATENCY_SAMPLES and stats.latency > limit:
            return True
        if not stats.start_times:
            return False
        return now - next(iter(stats.start_times.values())) > limit

    def _eject(self, now: float, stats: ServerStats) -> None:
        seconds = BASE_EJECTION_SECONDS * 2**stats.consecutive_ejections
        stats.ejected_until = now + min(seconds, MAX_EJECTION_SECONDS)
        stats.consecutive_ejections = min(stats.consecutive_ejections + 1, 8)
        # Reset, so that the first response after the ejection sets the latency.
        stats.latency = None
        stats.responses = 0
        stats.consecutive_failures = 0
