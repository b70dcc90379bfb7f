"""Predicts the time that a gate takes for a request, from its recent load."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

# Slots of each server from which on the requests of a pool are spread by capacity. With
# fewer, all slots of a gate are often taken; the wait alone distinguishes the gates.
MIN_SPREAD_SLOTS = 4
WAIT_TIME = 0.3  # seconds; of the moving average of the time that requests wait
# The same for the service time, which changes with each short disturbance of a server.
SERVICE_TIME = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerCapacity:
    """Slots of one server and its mean service time in seconds; 0 if unknown."""

    slots: int
    service_time: float


class GateMeter:
    """Averages the wait and the service time of a gate whose requests are spread.

    An entry may get one response of the gate in several seconds. What the gate holds at
    that moment would say little, so the averaging takes place at the gate.
    """

    def __init__(self):
        self._wait = 0.0
        self._service_time = 0.0
        self._measured_at = -math.inf

    def predict(
        self, now: float, requests: int, servers: Iterable[ServerCapacity]
    ) -> float | None:
        """Adds the present load; returns the seconds that a request takes, or None.

        There is no prediction before the first response. The prediction is for the mean
        of the routes, so that gates can be compared by responses of different routes.

        Args:
            now: Seconds of a monotonic clock.
            requests: Requests that run or wait at the gate.
            servers: Servers in use.
        """
        slots = 0
        known_slots = 0
        capacity = 0.0  # requests per second
        for item in servers:
            slots += item.slots
            if item.service_time > 0:
                known_slots += item.slots
                capacity += item.slots / item.service_time
        if capacity <= 0:
            return None
        service_time = known_slots / capacity
        wait = max(0, requests + 1 - slots) * service_time / slots
        age = now - self._measured_at
        self._measured_at = now
        weight = 1 - math.exp(-age / SERVICE_TIME)
        self._service_time += weight * (service_time - self._service_time)
        self._wait += (1 - math.exp(-age / WAIT_TIME)) * (wait - self._wait)
        return self._wait + self._service_time
