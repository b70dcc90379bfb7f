"""Service times of backend servers, measured at the gates of a pool."""

import math
import statistics
from collections import deque
from dataclasses import dataclass, field

from monsoonlug.ids import ServerId

DEFAULT_SERVICE_TIME = 0.150  # seconds, assumed before the first response of a route
SERVICE_TIME_WEIGHT = 0.02  # of one sample in a route's moving average
INITIAL_SAMPLES = 20  # samples below which the average is the arithmetic mean
LATENCY_FACTOR_WEIGHT = 0.20  # of one sample in a server's moving average
MIN_LATENCY_FACTOR = 0.3
MAX_LATENCY_FACTOR = 12.0
MAX_SLOWDOWN_REPORTS = 21  # of which the median is a server's typical slowdown
SLOWDOWN_REPORT_INTERVAL = 0.2  # seconds between two of these reports
BASE_LATENCY_WEIGHT = 0.05  # of one response in a server's mean service time
# Of one response in the mean slowdown of a gate. It is that of a route's mean service
# time, as the expected time divides the one by the other.
MEAN_SLOWDOWN_WEIGHT = SERVICE_TIME_WEIGHT


class ServiceTimeModel:
    """Predicts the service times of a pool's requests from moving averages.

    The prediction is the mean service time of the route times the latency factor of the
    server, which is 1 for a server of average speed.
    """

    def __init__(self):
        self._service_times: dict[str, float] = {}
        self._sample_counts: dict[str, int] = {}
        self._latency_factors: dict[ServerId, float] = {}

    def estimate(self, route: str, server: ServerId) -> float:
        """Returns the expected service time of a request, in seconds."""
        return self._service_times.get(
            route, DEFAULT_SERVICE_TIME
        ) * self.get_latency_factor(server)

    def get_latency_factor(self, server: ServerId) -> float:
        """Returns the latency of a server relative to the pool's average."""
        return self._latency_factors.get(server, 1.0)

    def record(self, route: str, server: ServerId, latency: float) -> None:
        """Adds the latency of one complete response, in seconds, to the averages."""
        service_time = self._service_times.get(route, latency)
        samples = self._sample_counts.get(route, 0) + 1
        latency_factor = self.get_latency_factor(server)
        weight = 1 / samples if samples < INITIAL_SAMPLES else SERVICE_TIME_WEIGHT
        service_time += weight * (latency / latency_factor - service_time)
        self._service_times[route] = max(service_time, 1e-4)
        self._sample_counts[route] = samples
        ratio = latency / self._service_times[route]
        latency_factor += LATENCY_FACTOR_WEIGHT * (ratio - latency_factor)
        self._latency_factors[server] = min(
            max(latency_factor, MIN_LATENCY_FACTOR), MAX_LATENCY_FACTOR
        )

    def remove_server(self, server: ServerId) -> None:
        """Discards the latency factor of a server that left the pool."""
        self._latency_factors.pop(server, None)


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerReport:
    """What a gate measured of one server.

    Attributes:
        slowdown: Service time on the server's machine relative to normal.
        base_latency: Mean service time in seconds without the slowdown; 0 if unknown.
        utilization: Offered load divided by the capacity of the slots.
    """

    server: ServerId
    slowdown: float
    base_latency: float
    utilization: float


@dataclass(slots=True, kw_only=True)
class ServerSpeed:
    """Typical slowdown of a server, and its mean service time without the slowdown.

    The slowdown is the median of recent reports, so that short disturbances of the
    server's machine do not change it.
    """

    base_latency: float = 0.0
    latency_count: int = 0
    recorded_at: float = -math.inf
    _reports: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_SLOWDOWN_REPORTS)
    )

    @property
    def slowdown(self) -> float:
        """Typical service time on the server's machine relative to normal."""
        return statistics.median(self._reports) if self._reports else 1.0

    @property
    def report_count(self) -> int:
        """Number of reports that the typical slowdown is taken from."""
        return len(self._reports)

    def record_slowdown(self, now: float, slowdown: float) -> None:
        """Adds a slowdown that the server reported."""
        if now - self.recorded_at >= SLOWDOWN_REPORT_INTERVAL:
            self._reports.append(slowdown)
            self.recorded_at = now

    def record_latency(self, latency: float, slowdown: float) -> None:
        """Adds the latency of a response, in seconds, with its slowdown."""
        self.latency_count += 1
        weight = max(1 / self.latency_count, BASE_LATENCY_WEIGHT)
        self.base_latency += weight * (latency / slowdown - self.base_latency)


@dataclass(slots=True, kw_only=True)
class MeanSlowdown:
    """Moving average of the slowdowns in the responses of all servers of a gate."""

    value: float = 1.0
    count: int = 0

    def record(self, slowdown: float) -> None:
        """Adds the slowdown in one response."""
        self.count += 1
        weight = max(1 / self.count, MEAN_SLOWDOWN_WEIGHT)
        self.value += weight * (slowdown - self.value)
