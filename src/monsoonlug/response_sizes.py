"""Learns how large the responses of each route are."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

# Mean size in bytes above which a route's responses are large. The responses of routes
# that are not downloads have 400 to 30,000 bytes, those of downloads 90,000 on average.
LARGE_RESPONSE_BYTES = 49_152
INITIAL_SAMPLES = 20  # samples below which the mean is the arithmetic mean
SAMPLE_WEIGHT = 0.05  # of one response in the moving mean
# Share of the distance to the mean by which the maximum falls with each response, so
# that one exceptional response is forgotten after some hundred others.
MAXIMUM_DECAY = 0.01


@dataclass(slots=True, kw_only=True)
class _RouteSizes:
    count: int = 0
    mean: float = 0.0
    maximum: float = 0.0


class ResponseSizes:
    """Moving mean and maximum of the response sizes of each route, in bytes.

    Only successful responses count, as those of failures are small on every route.
    """

    def __init__(self):
        self._routes: dict[str, _RouteSizes] = {}

    def record(self, route: str, size: int) -> None:
        """Adds the size of one successful response."""
        sizes = self._routes.setdefault(route, _RouteSizes())
        sizes.count += 1
        weight = max(1 / sizes.count, SAMPLE_WEIGHT)
        if sizes.count >= INITIAL_SAMPLES:
            weight = SAMPLE_WEIGHT
        sizes.mean += weight * (size - sizes.mean)
        sizes.maximum -= MAXIMUM_DECAY * max(0.0, sizes.maximum - sizes.mean)
        sizes.maximum = max(sizes.maximum, size)

    def get_mean(self, route: str) -> float:
        """Returns the mean size; 0 for a route without responses so far."""
        sizes = self._routes.get(route)
        return sizes.mean if sizes is not None else 0.0

    def get_maximum(self, route: str) -> float:
        """Returns the recent maximum; 0 for a route without responses so far."""
        sizes = self._routes.get(route)
        return sizes.maximum if sizes is not None else 0.0

    def is_large(self, route: str) -> bool:
        """Returns whether the responses of a route are large."""
        return self.get_mean(route) > LARGE_RESPONSE_BYTES

    def retain(self, routes: Collection[str]) -> None:
        """Forgets the routes that are no longer configured."""
        for route in set(self._routes) - set(routes):
            del self._routes[route]


def find_length(headers: Iterable[Iterable[str]]) -> int | None:
    """Returns the length that a response's headers declare, or None."""
    for name, value in headers:
        if name.lower() == "content-length" and value.isdigit():
            return int(value)
    return None


def is_counted(method: str, status: int) -> bool:
    """Returns whether the size of a response is one of its route."""
    return method != "HEAD" and 200 <= status < 300
