"""Burn rates and error budgets of the routes' service-level objectives.

Each entry process counts good and bad requests per route in time buckets. Its report is
compact and can be merged with those of other hosts. A host that does not answer is
listed as missing instead of counted as zero.

A request is bad if it was refused without fault of the caller, failed, or took longer
than the route's objective. Status 429 for an exceeded rate and 4xx for errors of the
caller count as good.
"""

import math
from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from monsoonlug.catalogue import Objective
from monsoonlug.exceptions import UnknownReportRoute, UnknownWindow
from monsoonlug.ids import HostId, RouteId

FINE_BUCKET_SECONDS = 10
COARSE_BUCKET_SECONDS = 300  # for the window of 3 days, to bound memory
MAX_FINE_BUCKETS = 6 * 3600 // FINE_BUCKET_SECONDS  # kept for windows of up to 6 h
MIN_LATENCY_BOUND = 0.0001  # seconds; upper bound of the first latency bucket
LATENCY_BOUND_RATIO = 1.1  # of the bounds of consecutive latency buckets
LATENCY_BOUND_COUNT = 140  # the largest bound is 0.0001 * 1.1**139, about 57 s
LATENCY_ERROR = math.sqrt(LATENCY_BOUND_RATIO) - 1  # relative error of an estimate
LATENCY_BOUNDS = tuple(
    MIN_LATENCY_BOUND * LATENCY_BOUND_RATIO**index
    for index in range(LATENCY_BOUND_COUNT)
)
QUANTILES = (0.5, 0.99, 0.999)


class Window(Enum):
    """Time window of a burn rate, in seconds."""

    FIVE_MINUTES = 300
    ONE_HOUR = 3_600
    SIX_HOURS = 21_600
    THREE_DAYS = 259_200

    @property
    def label(self) -> str:
        """Short name for tables and command-line options."""
        return _WINDOW_LABELS[self]


_WINDOW_LABELS = {
    Window.FIVE_MINUTES: "5m",
    Window.ONE_HOUR: "1h",
    Window.SIX_HOURS: "6h",
    Window.THREE_DAYS: "3d",
}


class Outcome(Enum):
    """Outcome of a request, as the objective distinguishes it."""

    ANSWERED = "answered"
    CALLER_ERROR = "caller-error"
    RATE_EXCEEDED = "rate-exceeded"
    REFUSED = "refused"
    FAILED = "failed"


def find_window(label: str) -> Window:
    """Returns the window with a label.

    >>> find_window("5m")
    <Window.FIVE_MINUTES: 300>

    Raises:
        UnknownWindow: If there is none; the message lists the labels.
    """
    for window in Window:
        if window.label == label:
            return window
    known = ", ".join(window.label for window in Window)
    raise UnknownWindow(f"window {label!r} is not known; known windows: {known}")


@dataclass(slots=True, kw_only=True)
class Counts:
    """Numbers of good and bad requests."""

    good: int = 0
    bad: int = 0

    @property
    def total(self) -> int:
        """Number of all requests."""
        return self.good + self.bad

    def add(self, other: "Counts") -> None:
        """Adds the counts of another bucket or host."""
        self.good += other.good
        self.bad += other.bad


@dataclass(slots=True, kw_only=True)
class Latencies:
    """Latency histogram with logarithmic buckets, by index of the upper bound."""

    counts: dict[int, int] = field(default_factory=dict)

    def record(self, seconds: float) -> None:
        """Counts one latency."""
        index = bisect_left(LATENCY_BOUNDS, seconds)
        self.counts[index] = self.counts.get(index, 0) + 1

    def add(self, other: "Latencies") -> None:
        """Adds the counts of another host."""
        for index, count in other.counts.items():
            self.counts[index] = self.counts.get(index, 0) + count

    def estimate(self, quantile: float) -> float | None:
        """Returns a quantile in seconds, or None without any request.

        The relative error is at most `LATENCY_ERROR` between 0.1 ms and 57 s. Outside
        this range, the estimate is the nearest of its bounds.
        """
        total = sum(self.counts.values())
        if not total:
            return None
        rank = max(1, math.ceil(quantile * total))
        for index in sorted(self.counts):
            rank -= self.counts[index]
            if rank <= 0:
                break
        if index == 0:
            return LATENCY_BOUNDS[0]
        if index == LATENCY_BOUND_COUNT:
            return LATENCY_BOUNDS[-1]
        return math.sqrt(LATENCY_BOUNDS[index - 1] * LATENCY_BOUNDS[index])


@dataclass(slots=True, kw_only=True)
class RouteReport:
    """Counts of one route.

    Attributes:
        windows: Requests in each window.
        latencies: Latencies of all answers since the start of the process.
    """

    windows: dict[Window, Counts]
    latencies: Latencies


@dataclass(slots=True, kw_only=True)
class HostReport:
    """Request counts of one entry process.

    Attributes:
        host: The host.
        covered: Seconds since the process started.
        routes: Counts by route.
    """

    host: HostId
    covered: float
    routes: dict[RouteId, RouteReport]

    def to_json(self) -> dict:
        """Returns values for JSON or msgpack, without empty histogram buckets."""
        routes = {}
        for route, report in self.routes.items():
            windows = {}
            for window, counts in report.windows.items():
                windows[window.label] = [counts.good, counts.bad]
            rows = sorted(report.latencies.counts.items())
            routes[route] = {
                "windows": windows,
                "latencies": [list(row) for row in rows],
            }
        return {"host": self.host, "covered": self.covered, "routes": routes}

    @classmethod
    def from_json(cls, document: dict) -> "HostReport":
        """Builds a report from the result of `to_json`.

        Raises:
            UnknownWindow: If the report names an unknown window.
        """
        routes = {}
        for route, report in document["routes"].items():
            windows = {}
            for label, (good, bad) in report["windows"].items():
                windows[find_window(label)] = Counts(good=good, bad=bad)
            latencies = Latencies(counts=dict(map(tuple, report["latencies"])))
            routes[route] = RouteReport(windows=windows, latencies=latencies)
        return cls(host=document["host"], covered=document["covered"], routes=routes)


@dataclass(slots=True, kw_only=True)
class _RouteCounts:
    """Counts of one route by number of the time bucket, oldest first."""

    fine: dict[int, Counts] = field(default_factory=dict)
    coarse: dict[int, Counts] = field(default_factory=dict)
    latencies: Latencies = field(default_factory=Latencies)


class BurnCounter:
    """Counts the requests of one entry process.

    Args:
        host: The host.
        now: Start of the process, seconds.
    """

    def __init__(self, *, host: HostId, now: float):
        self._host = host
        self._started_at = now
        self._routes: dict[RouteId, _RouteCounts] = {}

    def record(
        self,
        now: float,
        route: RouteId,
        outcome: Outcome,
        latency: float,
        objective: Objective,
    ) -> None:
        """Counts one request.

        Args:
            now: End of the request, seconds.
            route: Its route.
            outcome: Its outcome.
            latency: Seconds from its arrival to the end of the answer.
            objective: The route's objective.
        """
        counts = self._routes.setdefault(route, _RouteCounts())
        bad = _is_bad(outcome, latency, objective)
        one = Counts(good=int(not bad), bad=int(bad))
        fine = math.floor(now / FINE_BUCKET_SECONDS)
        coarse = math.floor(now / COARSE_BUCKET_SECONDS)
        counts.fine.setdefault(fine, Counts()).add(one)
        counts.coarse.setdefault(coarse, Counts()).add(one)
        if outcome is Outcome.ANSWERED:
            counts.latencies.record(latency)
        _drop_buckets_before(counts.fine, fine - MAX_FINE_BUCKETS)
        _drop_buckets_before(
            counts.coarse, coarse - Window.THREE_DAYS.value // COARSE_BUCKET_SECONDS
        )

    def report(self, now: float) -> HostReport:
        """Returns the counts for each window that ends now.

        The start of a window is rounded down to a whole bucket: to 10 s, or to 300 s
        for the window of 3 days.
        """
        routes = {}
        for route, counts in self._routes.items():
            windows = {}
            for window in Window:
                windows[window] = _sum_window(now, counts, window)
            latencies = Latencies(counts=dict(counts.latencies.counts))
            routes[route] = RouteReport(windows=windows, latencies=latencies)
        return HostReport(
            host=self._host, covered=now - self._started_at, routes=routes
        )


def _is_bad(outcome: Outcome, latency: float, objective: Objective) -> bool:
    if outcome in (Outcome.REFUSED, Outcome.FAILED):
        return True
    return outcome is Outcome.ANSWERED and latency > objective.latency


def _drop_buckets_before(buckets: dict[int, Counts], first: int) -> None:
    while buckets:
        oldest = next(iter(buckets))
        if oldest >= first:
            return
        del buckets[oldest]


def _sum_window(now: float, counts: _RouteCounts, window: Window) -> Counts:
    buckets, seconds = counts.fine, FINE_BUCKET_SECONDS
    if window is Window.THREE_DAYS:
        buckets, seconds = counts.coarse, COARSE_BUCKET_SECONDS
    first = math.floor((now - window.value) / seconds)
    total = Counts()
    for number in reversed(buckets):
        if number < first:
            break
        total.add(buckets[number])
    return total


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteBurn:
    """Burn rates and error budget of one route, over all hosts that answered.

    Attributes:
        objective: Share of requests that must be good.
        objective_latency: Seconds after which an answer counts as bad.
        burn_rates: Share of bad requests divided by the share that the objective
            allows, by window label; None without any request.
        budget_left: Share of the error budget of 3 days that is left; negative if it
            is overspent, None without any request.
        requests: Requests in 3 days.
        bad: Bad requests in 3 days.
        latencies: Estimated seconds, by quantile name; None without any answer.
    """

    route: RouteId
    objective: float
    objective_latency: float
    burn_rates: dict[str, float | None]
    budget_left: float | None
    requests: int
    bad: int
    latencies: dict[str, float | None]

    def get_burn_rate(self, label: str) -> float | None:
        """Returns the burn rate of one window.

        Raises:
            UnknownWindow: If the window is unknown.
        """
        return self.burn_rates[find_window(label).label]


@dataclass(frozen=True, slots=True, kw_only=True)
class BurnReport:
    """Burn rates and error budgets of all routes.

    Attributes:
        routes: One row per route, sorted by name.
        hosts: Hosts that answered.
        missing: Hosts that did not answer; their requests are not counted.
        covered: Seconds since the process started, by host that answered.
        latency_error: Largest relative error of the latencies.
    """

    routes: tuple[RouteBurn, ...]
    hosts: tuple[HostId, ...]
    missing: tuple[HostId, ...]
    covered: dict[HostId, float]
    latency_error: float = LATENCY_ERROR

    def find_route(self, route: RouteId) -> RouteBurn:
        """Returns the row of one route.

        Raises:
            UnknownReportRoute: If there is none; the message lists the routes.
        """
        for row in self.routes:
            if row.route == route:
                return row
        raise _build_route_error(route, [row.route for row in self.routes])

    def format_table(self) -> str:
        """Returns a text table, followed by the hosts whose counts are incomplete."""
        labels = [window.label for window in Window]
        head = ["route", "objective", *labels, "budget left"]
        head += [_format_quantile(quantile) for quantile in QUANTILES]
        rows = [head]
        for row in self.routes:
            cells = [row.route, f"{row.objective:.3%} in {row.objective_latency:g} s"]
            for label in labels:
                cells.append(_format_optional(row.burn_rates[label], "{:.2f}"))
            cells.append(_format_optional(row.budget_left, "{:.1%}"))
            for latency in row.latencies.values():
                cells.append(_format_optional(latency, "{:.4g} s"))
            rows.append(cells)
        widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
        lines = []
        for cells in rows:
            padded = [
                cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
            ]
            lines.append("  ".join(padded).rstrip())
        lines.append(f"latencies: within {self.latency_error:.1%}")
        count = len(self.hosts) + len(self.missing)
        lines.append(f"hosts that answered: {len(self.hosts)} of {count}")
        if self.missing:
            lines.append(f"missing, not counted: {', '.join(self.missing)}")
        for host, covered in self.covered.items():
            if covered < Window.THREE_DAYS.value:
                hours = covered / 3600
                lines.append(f"{host} started {hours:.1f} h ago; earlier counts lost")
        return "\n".join(lines)


def merge_reports(
    reports: Iterable[HostReport],
    *,
    hosts: Iterable[HostId],
    objectives: dict[RouteId, Objective],
) -> BurnReport:
    """Merges the reports of all hosts.

    Args:
        reports: Reports of the hosts that answered. Only the last report of a host
            counts.
        hosts: All registered hosts.
        objectives: Objectives of all routes in the catalogue. Other routes are left
            out.
    """
    by_host = {report.host: report for report in reports}
    rows = []
    for route, objective in sorted(objectives.items()):
        windows = {window: Counts() for window in Window}
        latencies = Latencies()
        for report in by_host.values():
            part = report.routes.get(route)
            if part is None:
                continue
            latencies.add(part.latencies)
            for window, counts in part.windows.items():
                windows[window].add(counts)
        rows.append(_build_row(route, objective, windows, latencies))
    return BurnReport(
        routes=tuple(rows),
        hosts=tuple(sorted(by_host)),
        missing=tuple(sorted(set(hosts) - set(by_host))),
        covered={host: by_host[host].covered for host in sorted(by_host)},
    )


def _build_row(
    route: RouteId,
    objective: Objective,
    windows: dict[Window, Counts],
    latencies: Latencies,
) -> RouteBurn:
    rates = {}
    for window, counts in windows.items():
        rates[window.label] = _compute_burn_rate(counts, objective)
    longest = windows[Window.THREE_DAYS]
    spent = _compute_burn_rate(longest, objective)
    estimates = {}
    for quantile in QUANTILES:
        estimates[_format_quantile(quantile)] = latencies.estimate(quantile)
    return RouteBurn(
        route=route,
        objective=objective.availability,
        objective_latency=objective.latency,
        burn_rates=rates,
        budget_left=None if spent is None else 1.0 - spent,
        requests=longest.total,
        bad=longest.bad,
        latencies=estimates,
    )


def _compute_burn_rate(counts: Counts, objective: Objective) -> float | None:
    if not counts.total:
        return None
    return counts.bad / counts.total / (1.0 - objective.availability)


def _format_quantile(quantile: float) -> str:
    return f"p{quantile * 100:g}"


def _format_optional(value: float | None, template: str) -> str:
    return "no data" if value is None else template.format(value)


def _build_route_error(route: RouteId, known: list[RouteId]) -> UnknownReportRoute:
    names = ", ".join(known) or "none"
    return UnknownReportRoute(f"route {route!r} is not known; known routes: {names}")
