"""Series of measurements at several sizes, with a least-squares line."""

import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass

MICROSECONDS_PER_SECOND = 1e6


@dataclass(frozen=True, slots=True, kw_only=True)
class Point:
    """Measured value at one size."""

    size: int
    value: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Series:
    """Measurements of one quantity as a function of one variable.

    Attributes:
        name: Name of the quantity, as `section.quantity`.
        unit: Unit of the values.
        variable: Name of the variable that the sizes count.
        points: Measurements, one per size.

    >>> points = [Point(size=size, value=2 * size + 1) for size in range(3)]
    >>> line = Series(name="x.y", unit="bytes", variable="hosts", points=points)
    >>> line.slope, line.intercept, line.extrapolate(10)
    (2.0, 1.0, 21.0)
    """

    name: str
    unit: str
    variable: str
    points: Sequence[Point]

    @property
    def slope(self) -> float:
        """Slope of the least-squares line, per unit of the variable."""
        return self._fit().slope

    @property
    def intercept(self) -> float:
        """Value of the least-squares line at size 0."""
        return self._fit().intercept

    def extrapolate(self, size: int) -> float:
        """Returns the measured value at a size, or else that of the line."""
        for point in self.points:
            if point.size == size:
                return float(point.value)
        return self.intercept + self.slope * size

    def to_json(self) -> dict:
        """Returns the series as a JSON document."""
        return {
            "name": self.name,
            "unit": self.unit,
            "variable": self.variable,
            "points": [[point.size, round(point.value, 4)] for point in self.points],
            "slope": self.slope,
            "intercept": self.intercept,
        }

    def _fit(self) -> statistics.LinearRegression:
        sizes = [point.size for point in self.points]
        return statistics.linear_regression(sizes, [p.value for p in self.points])


class Recorder:
    """Collects the series of one section.

    Args:
        section: Name of the section, the first part of the name of each series.
        variable: Name of the variable that the sizes count.
    """

    def __init__(self, *, section: str, variable: str):
        self._section = section
        self._variable = variable
        self._points: dict[tuple[str, str], list[Point]] = {}

    def add(self, size: int, quantity: str, unit: str, value: float) -> None:
        """Adds one measurement."""
        points = self._points.setdefault((quantity, unit), [])
        points.append(Point(size=size, value=value))

    def add_median(
        self, size: int, quantity: str, unit: str, seconds: Sequence[float]
    ) -> None:
        """Adds the median of times in seconds, converted to microseconds."""
        self.add(
            size, quantity, unit, statistics.median(seconds) * MICROSECONDS_PER_SECOND
        )

    def list_series(self) -> list[Series]:
        """Returns one series per quantity."""
        result = []
        for (quantity, unit), points in self._points.items():
            series = Series(
                name=f"{self._section}.{quantity}",
                unit=unit,
                variable=self._variable,
                points=points,
            )
            result.append(series)
        return result


def measure_microseconds(call: Callable[[], object], *, repeat: int) -> float:
    """Returns the median processor time of a call, in microseconds."""
    return _measure(call, repeat, time.process_time)


def measure_wall_microseconds(call: Callable[[], object], *, repeat: int) -> float:
    """Returns the median elapsed time of a call, in microseconds."""
    return _measure(call, repeat, time.perf_counter)


def measure_bytes(build: Callable[[], object]) -> int:
    """Returns the memory that the result of a call occupies, in bytes."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        result = build()
        after, _ = tracemalloc.get_traced_memory()
        del result
        return after - before
    finally:
        tracemalloc.stop()


def _measure(
    call: Callable[[], object], repeat: int, clock: Callable[[], float]
) -> float:
    times = []
    for _ in range(repeat):
        started_at = clock()
        call()
        times.append(clock() - started_at)
    return statistics.median(times) * MICROSECONDS_PER_SECOND
