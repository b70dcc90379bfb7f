"""Chooses the server of a shared request at a gate.

Gates of servers with many slots spread requests by capacity over the servers on which
they are expected to meet their objectives. Gates of servers with few slots fill the
fastest server first.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from monsoonlug.ids import ServerId

# Multiple of the expected service time that must remain before the objective, as
# the service times of one route differ from their mean.
SERVICE_TIME_MARGIN = 1.5
# A shared request waits for a busy server if the fastest free one would take longer
# than this multiple of the time in which the busy one would finish the request.
FASTER_SERVER_RATIO = 1.5
# Responses of a server after which its measured speed and the mean count equally.
CONFIDENT_RESPONSES = 5
LATE_INTERVAL = 5.0  # seconds over which the share of late choices is measured
# Late choices of a host in this time that are reported. Single disturbances of servers
# rarely cause as many.
MIN_LATE_SHARE = 0.1
MIN_CHOICES = 20


class ChoiceResult(Enum):
    """What was decided for a request."""

    IN_TIME = "in-time"
    LATE = "late"
    WAIT = "wait"


@dataclass(slots=True, kw_only=True)
class ServerOption:
    """A server that may run the next request.

    Attributes:
        name: Identity of the server.
        is_cold: Whether the server is within its cold start.
        share: Share of its slots in use, including the request.
        base_latency: Mean service time in seconds without the slowdown; 0 if unknown.
        latency_count: Number of responses that `base_latency` is taken from.
        slowdown: Service time on the server's machine relative to normal.
    """

    name: ServerId
    is_cold: bool = False
    share: float
    base_latency: float = 0.0
    latency_count: int = 0
    slowdown: float

    @property
    def confidence(self) -> float:
        """Weight of the measured speed; the rest counts as the mean."""
        return self.latency_count / (self.latency_count + CONFIDENT_RESPONSES)


@dataclass(frozen=True, slots=True, kw_only=True)
class FreeServer:
    """A ready server of a gate of servers with few slots.

    Attributes:
        is_cold: Whether the server is within its cold start.
        latency_factor: Latency relative to the pool's average.
        slowdown: Service time on the server's machine relative to normal.
    """

    name: ServerId
    is_cold: bool
    latency_factor: float
    slowdown: float


class ServerChoice:
    """Chooses servers by the objectives of requests, and counts the results.

    One object serves all gates of a host.
    """

    def __init__(self):
        self._counts: Counter[ChoiceResult] = Counter()
        self._measured_at = 0.0
        self._measured_counts: Counter[ChoiceResult] = Counter()

    def count_results(self) -> dict[str, int]:
        """Returns how many choices had each result."""
        return {result.value: self._counts[result] for result in ChoiceResult}

    def find_late_share(self, now: float) -> float | None:
        """Returns the share of late choices if it was large; at most once per interval.

        Args:
            now: Seconds of a monotonic clock.
        """
        if now - self._measured_at < LATE_INTERVAL:
            return None
        recent = self._counts - self._measured_counts
        self._measured_at = now
        self._measured_counts = self._counts.copy()
        total = recent[ChoiceResult.IN_TIME] + recent[ChoiceResult.LATE]
        if total < MIN_CHOICES:
            return None
        share = recent[ChoiceResult.LATE] / total
        return share if share >= MIN_LATE_SHARE else None

    def choose(
        self,
        *,
        remaining: float,
        route_time: float,
        mean_slowdown: float,
        ready: Sequence[ServerOption],
        busy: Sequence[ServerOption],
        find_wait: Callable[[ServerId], float],
        is_alone: bool = True,
    ) -> ServerId | None:
        """Returns the server of a request, or None if it waits for a busy one.

        Args:
            remaining: Seconds in which the server must respond for the objective.
            route_time: Mean service time of the request's route, in seconds.
            mean_slowdown: Mean slowdown of the responses that `route_time` is from.
            ready: Servers that can start the request now; at least one.
            busy: Other servers that are warm and in service.
            find_wait: Returns the seconds until a busy server can start the request.
            is_alone: Whether no other request waits at the gate. A request does not
                wait beside others, as the free slot is then needed: in
                `bench.even_load` at load 0.95, waiting would lower the share within the
                objective from 0.61 to 0.56.
        """
        times = estimate_times((*ready, *busy), route_time, mean_slowdown)
        best: ServerOption | None = None
        best_rank = math.inf
        for option in ready:
            expected = times[option.name]
            if option.is_cold or SERVICE_TIME_MARGIN * expected > remaining:
                continue
            rank = rank_load(option.share, expected)
            if rank < best_rank:
                best, best_rank = option, rank
        if best is not None:
            self._counts[ChoiceResult.IN_TIME] += 1
            return best.name
        best = min(ready, key=lambda item: (item.is_cold, times[item.name]))
        ends = (find_wait(item.name) + times[item.name] for item in busy)
        in_time = (end for end in ends if end <= remaining)
        is_late = times[best.name] > remaining
        if is_alone and is_late and is_worth_waiting(times[best.name], in_time):
            self._counts[ChoiceResult.WAIT] += 1
            return None
        self._counts[ChoiceResult.LATE] += 1
        return best.name


def estimate_times(
    servers: Iterable[ServerOption], route_time: float, mean_slowdown: float
) -> dict[ServerId, float]:
    """Returns the expected service time of a request on each server, in seconds."""
    total = 0.0
    latency_sum = 0.0
    weighted = []
    for item in servers:
        confidence = item.confidence
        total += confidence
        latency_sum += confidence * item.base_latency
        weighted.append((item, confidence))
    mean_latency = latency_sum / total if total > 0 else 0.0
    time = route_time / mean_slowdown
    times = {}
    for item, confidence in weighted:
        relative = 1.0
        if mean_latency > 0:
            relative += confidence * (item.base_latency / mean_latency - 1)
        times[item.name] = time * relative * item.slowdown
    return times


def rank_load(share: float, service_time: float) -> float:
    """Ranks a server by the share of its slots in use, and by its speed.

    The share alone loads servers most evenly, by their capacity. With the service time
    as a factor, fast servers get more and responses are quicker. Its square root gave
    most of both in `bench.even_load`.
    """
    return share * math.sqrt(service_time)


def is_worth_waiting(service_time: float, ends: Iterable[float]) -> bool:
    """Returns whether a busy server would finish a request much earlier.

    Args:
        service_time: Expected service time on the best free server, in seconds.
        ends: Seconds after which each busy server would have finished the request.
    """
    return any(FASTER_SERVER_RATIO * end < service_time for end in ends)


def choose_fastest(ready: Iterable[FreeServer]) -> ServerId:
    """Returns the fastest server that is ready; warm servers come first."""

    def rank(server: FreeServer) -> tuple[bool, float]:
        return server.is_cold, server.latency_factor * server.slowdown

    return min(ready, key=rank).name
