"""Expected share of late responses of a backend server, by its speed and utilization.

The mean response time follows from an approximation of a queue with several slots, and
the share of responses beyond the latency objective from an exponential tail. Both are
in multiples of the mean service time of the pool. Neighbours on a server's machine
disturb it now and then, which adds to the mean and to the variance of service times.
"""

import math
from bisect import bisect_right
from functools import lru_cache

OBJECTIVE_RATIO = 3.0  # latency objective, in mean service times of the pool
MEAN_DISTURBANCE = 1.4  # mean service time relative to an undisturbed machine
# Factor of the waiting time due to the variance of service times, which is 1 for an
# exponential distribution.
VARIANCE_FACTOR = 1.75
UTILIZATION_STEP = 0.02  # between two rows of a table
MAX_UTILIZATION = 0.66  # on undisturbed machines, up to which lateness is modelled
OVERLOAD_SLOPE = 10.0  # of the marginal lateness above `MAX_UTILIZATION`
BUCKET_RATIO = 1.1  # between the latency factors of two tables


def estimate_lateness(latency_factor: float, utilization: float, slots: int) -> float:
    """Returns the expected share of late responses of a server.

    Args:
        latency_factor: Service time relative to the mean of the pool.
        utilization: Offered load divided by the slots, at most `MAX_UTILIZATION`.
        slots: Requests that the server runs concurrently.

    >>> estimate_lateness(0.6, 0.2, 2) < estimate_lateness(0.6, 0.4, 2)
    True
    """
    disturbed = MEAN_DISTURBANCE * utilization
    exponent = math.sqrt(2 * (slots + 1)) - 1
    wait = VARIANCE_FACTOR * disturbed**exponent / (slots * (1 - disturbed))
    response_time = latency_factor * MEAN_DISTURBANCE * (1 + wait)
    return math.exp(-OBJECTIVE_RATIO / response_time)


def estimate_marginal_lateness(
    latency_factor: float, utilization: float, slots: int
) -> float:
    """Returns how many more responses are late for each further request.

    >>> round(estimate_marginal_lateness(1.0, 0.0, 2), 2)
    0.12
    """
    table = _tabulate(_find_bucket(latency_factor), slots)
    if utilization >= MAX_UTILIZATION:
        return table[-1] + OVERLOAD_SLOPE * (utilization - MAX_UTILIZATION)
    return table[max(0, int(utilization / UTILIZATION_STEP))]


def find_utilization(latency_factor: float, marginal: float, slots: int) -> float:
    """Returns the utilization at which a server reaches a marginal lateness."""
    table = _tabulate(_find_bucket(latency_factor), slots)
    return UTILIZATION_STEP * bisect_right(table, marginal)


@lru_cache(maxsize=4_096)
def _find_bucket(latency_factor: float) -> int:
    return round(math.log(latency_factor) / math.log(BUCKET_RATIO))


@lru_cache(maxsize=1_024)
def _tabulate(bucket: int, slots: int) -> tuple[float, ...]:
    """Returns the marginal lateness for each step of the utilization."""
    latency_factor = BUCKET_RATIO**bucket
    table: list[float] = []
    previous = 0.0
    for step in range(1, round(MAX_UTILIZATION / UTILIZATION_STEP) + 1):
        utilization = step * UTILIZATION_STEP
        late = utilization * estimate_lateness(latency_factor, utilization, slots)
        marginal = (late - previous) / UTILIZATION_STEP
        previous = late
        # Saturation lowers the marginal lateness of a slow server again, which must
        # not attract load.
        table.append(max(marginal, table[-1] if table else 0.0))
    return tuple(table)
