"""Counts of a rollout's responses, added up over the reports of all entries."""

from dataclasses import dataclass, field, replace

from monsoonlug.exceptions import DamagedFrame
from monsoonlug.rollout_messages import RolloutReport

MAX_COUNT = 1_000_000_000  # in a row of a report
MAX_LOG_SUM = 1e11  # sum of logarithms in a row of a report
MAX_ROUTES = 1_000  # in one report
# Processes whose counts are kept for one rollout. Entries seldom restart within one.
MAX_PROCESSES = 2_000
TARGET = 1
OTHERS = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseCounts:
    """Cumulative counts of one version on one route.

    Attributes:
        sent: Requests that were sent.
        responses: Responses, failures included.
        log_sum: Sum of the natural logarithms of the service times in seconds.
        running: Requests that run now.
    """

    sent: float = 0
    responses: float = 0
    failures: float = 0
    log_sum: float = 0.0
    running: float = 0

    def __add__(self, other: "ResponseCounts") -> "ResponseCounts":
        return ResponseCounts(
            sent=self.sent + other.sent,
            responses=self.responses + other.responses,
            failures=self.failures + other.failures,
            log_sum=self.log_sum + other.log_sum,
            running=self.running + other.running,
        )

    def __sub__(self, earlier: "ResponseCounts") -> "ResponseCounts":
        """Returns what was added since earlier counts; `running` is the later one."""
        return ResponseCounts(
            sent=self.sent - earlier.sent,
            responses=self.responses - earlier.responses,
            failures=self.failures - earlier.failures,
            log_sum=self.log_sum - earlier.log_sum,
            running=self.running,
        )

    def remove(self, part: "ResponseCounts") -> "ResponseCounts":
        """Returns the counts without a part of them."""
        return replace(self - part, running=self.running - part.running)


# Counts by version (`TARGET` or `OTHERS`) and name of the route.
RouteCounts = dict[tuple[int, str], ResponseCounts]


def sum_counts(counts: RouteCounts, version: int) -> ResponseCounts:
    """Returns the counts of a version on all routes."""
    total = ResponseCounts()
    for (found, _), row in counts.items():
        if found == version:
            total += row
    return total


def subtract_counts(counts: RouteCounts, earlier: RouteCounts) -> RouteCounts:
    """Returns what was added to counts since earlier ones."""
    nothing = ResponseCounts()
    return {key: row - earlier.get(key, nothing) for key, row in counts.items()}


def check_report(report: RolloutReport) -> None:
    """Checks the rows of a report, which decoding leaves unchecked.

    Raises:
        DamagedFrame: If a row is malformed.
    """
    if len(report.rows) > 2 * MAX_ROUTES:
        raise DamagedFrame(f"a report of a rollout has {len(report.rows)} rows")
    for row in report.rows:
        if not isinstance(row, list) or len(row) != 7:
            raise DamagedFrame("a row of a rollout does not have 7 values")
        version, route, *counts, log_sum, running = row
        if version not in (TARGET, OTHERS) or not isinstance(route, str):
            raise DamagedFrame("a row of a rollout names no version or route")
        for count in (*counts, running):
            if not isinstance(count, int) or not 0 <= count <= MAX_COUNT:
                raise DamagedFrame(f"a row of a rollout has the count {count!r}")
        if not isinstance(log_sum, int | float) or not abs(log_sum) <= MAX_LOG_SUM:
            raise DamagedFrame(f"a row of a rollout has the sum {log_sum!r}")


@dataclass(slots=True, kw_only=True)
class ReportTotals:
    """Latest reports of a rollout by host and process, and their sum.

    Counts of a process stay after its end, as its requests have reached the servers.
    """

    reports: int = 0
    _rows: dict[tuple[str, str], RouteCounts] = field(default_factory=dict)
    _totals: RouteCounts = field(default_factory=dict)

    def record(self, report: RolloutReport) -> bool:
        """Records a report; returns False if it is older than one of the process."""
        counts: RouteCounts = {}
        for version, route, sent, responses, failures, log_sum, running in report.rows:
            counts[version, route] = ResponseCounts(
                sent=sent,
                responses=responses,
                failures=failures,
                log_sum=log_sum,
                running=running,
            )
        process = (report.host, report.boot)
        previous = self._rows.get(process)
        if previous is None and len(self._rows) >= MAX_PROCESSES:
            return False
        if previous is not None and _count_events(counts) < _count_events(previous):
            return False
        self._rows[process] = counts
        self.reports += 1
        nothing = ResponseCounts()
        for key in counts.keys() | (previous or {}).keys():
            total = self._totals.get(key, nothing) + counts.get(key, nothing)
            if previous is not None and key in previous:
                total = total.remove(previous[key])
            self._totals[key] = total
        return True

    def sum(self) -> RouteCounts:
        """Returns the counts of all processes by version and route."""
        return dict(self._totals)


def _count_events(counts: RouteCounts) -> float:
    return sum(row.sent + row.responses for row in counts.values())
