"""Counts what became of the requests to the servers of each version during a rollout.

The host of a gate counts, not the caller's entry. Each request to a server is sent by
exactly one gate, which knows the server and so its version, when the request left the
queue, whether the server was cold, and the route from the head of the request. The
caller's entry knows none of these but the route, and its time includes the queue. A
request that is sent again counts once for each server that it was sent to. The one
thing that only the caller's entry knows is why it cancels a request; the gate tells a
missed deadline from a caller that left by the deadline, which it knows, too.

The counts of one version and route are:

- sent: requests that were passed to the client of a server;
- responses: those of a warm server with an outcome that says something about the
  server, which are complete responses of any status, and failures. The mean of the
  logarithms is their sum divided by this count;
- failures, see `classify`. Those of a cold server are not among the responses, so there
  may be more failures than responses for some seconds.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from monsoonlug.exceptions import ConnectionLost, OutcomeUnknown
from monsoonlug.fleet import FleetView
from monsoonlug.fleet_messages import FleetServer
from monsoonlug.ids import PoolId, ServerId
from monsoonlug.rollout_messages import RolloutReport, RolloutState

REPORT_INTERVAL = 0.2  # seconds between two reports on a pool
# Seconds between two reports while only counts of the old version change and control
# does not wait for its last requests. With 72 entries and 10 routes, reports take
# 0.2 MB/s of the leader's link at the shorter interval.
BASELINE_REPORT_INTERVAL = 0.5
# Routes that are counted on their own; further ones share the row without a name. A
# report then has less than 10 KB.
MAX_ROUTES = 100
OTHER_ROUTES = ""
MIN_SERVICE_TIME = 1e-4  # seconds; of the logarithm
# Seconds before its deadline from which a cancelled request counts as late. The
# caller's entry and the gate count the same time from the sending and the arrival of
# the request, so the cancellation may arrive before the deadline of the gate.
DEADLINE_MARGIN = 0.1


class Verdict(Enum):
    """What the end of a request says about its server.

    RESPONSE: the server responded.
    FAILURE: the server is at fault.
    NONE: nothing, as the cause is elsewhere or the request was not run.
    """

    RESPONSE = "response"
    FAILURE = "failure"
    NONE = "none"


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptEnd:
    """How a request that was sent to a server ended; times in seconds.

    Attributes:
        error: The error, or None after a complete response.
        status: Status of the response, or 0 if there was none.
        is_cancelled: Whether the caller's entry cancelled the request.
        is_unreachable: Whether no connection to the server can be opened now.
        is_blocked: Whether the server had to wait for the caller to send or to read.
        elapsed: Time since the request was sent.
        remaining: Time until the deadline; negative after it.
        expected: Mean service time of the route.
    """

    error: BaseException | None = None
    status: int = 0
    is_cancelled: bool = False
    is_unreachable: bool = False
    is_blocked: bool = False
    elapsed: float = 0.0
    remaining: float = math.inf
    expected: float = 0.0


def classify(end: AttemptEnd) -> Verdict:
    """Returns what the end of a request says about its server.

    Failures are statuses from 500 on, connections that were lost after the request was
    sent, invalid or cut responses, and no response within the deadline. Not at fault is
    a server that said that it did not run the request, that the network may hide, that
    had to wait for the caller, or that had less time than usual, as the request waited
    in a queue before.
    """
    if end.error is None:
        return Verdict.FAILURE if end.status >= 500 else Verdict.RESPONSE
    if not isinstance(end.error, OutcomeUnknown):
        return Verdict.NONE
    if isinstance(end.error, ConnectionLost) and not end.is_cancelled:
        return Verdict.FAILURE
    if end.is_unreachable:
        return Verdict.NONE
    is_late = end.remaining <= DEADLINE_MARGIN
    if end.is_cancelled and not is_late:
        return Verdict.NONE
    if is_late and (end.is_blocked or end.elapsed < end.expected):
        return Verdict.NONE
    return Verdict.FAILURE


def is_rollout_target(view: FleetView, server: FleetServer) -> bool:
    """Returns whether a server has the target version of a running rollout."""
    rollout = view.find_running_rollout(server.pool)
    return rollout is not None and view.is_target(server)


@dataclass(slots=True)
class RouteCounts:
    """Counts of one version and route; see the attributes of `RolloutReport`."""

    sent: int = 0
    responses: int = 0
    failures: int = 0
    log_time: float = 0.0
    running: int = 0


@dataclass(slots=True, kw_only=True)
class _PoolCounts:
    """Counts of one rollout, and what was reported of them.

    Attributes:
        targets: Servers of the target version.
        routes: Names of the routes with rows of their own.
        changes: Number of changes of the counts of the other versions, and of the
            target version.
        reported: What `changes` was at the last report.
        session: Number of the session with a leader in which that was sent.
    """

    number: int
    share: float = 0.0
    targets: set[ServerId] = field(default_factory=set)
    rows: dict[tuple[bool, str], RouteCounts] = field(default_factory=dict)
    routes: set[str] = field(default_factory=set)
    changes: list[int] = field(default_factory=lambda: [0, 0])
    reported: list[int] = field(default_factory=lambda: [0, 0])
    reported_at: float = -math.inf
    session: int = -1


@dataclass(frozen=True, slots=True, kw_only=True)
class CountedRequest:
    """A request that was sent to a server of a pool with a running rollout.

    Attributes:
        was_cold: Whether the server was cold when it was sent.
        is_adopted: Whether it was sent before the rollout.
    """

    pool: PoolId
    pool_counts: _PoolCounts
    row: RouteCounts
    is_target: bool
    was_cold: bool
    is_adopted: bool


def _ignore(pool: str, version: str, event: str) -> None:
    pass


class VersionOutcomes:
    """Counts of this host's gates for all pools with a running rollout.

    Args:
        host: Name of this host.
        boot: Identifies the process.
        on_event: Called with the pool, "target" or "old", and "sent", "response" or
            "failure" for each request that is counted.
    """

    def __init__(
        self,
        *,
        host: str = "",
        boot: str = "",
        on_event: Callable[[str, str, str], None] = _ignore,
    ):
        self._host = host
        self._boot = boot
        self._on_event = on_event
        self._pools: dict[PoolId, _PoolCounts] = {}

    def __len__(self) -> int:
        return len(self._pools)

    @property
    def is_idle(self) -> bool:
        """Whether no pool has a running rollout, so that there is nothing to report."""
        return not self._pools

    def update(self, view: FleetView) -> bool:
        """Applies a changed view; counts of rollouts that ended are discarded.

        Returns:
            Whether a rollout is new, so that `adopt` is to be called.
        """
        has_new = False
        for pool, counts in list(self._pools.items()):
            rollout = view.find_running_rollout(pool)
            if rollout is None or rollout.number != counts.number:
                del self._pools[pool]
        for pool, rollout in view.rollouts.items():
            if rollout.state is not RolloutState.RUNNING:
                continue
            if pool not in self._pools:
                has_new = True
                self._pools[pool] = _PoolCounts(number=rollout.number)
            counts = self._pools[pool]
            counts.share = rollout.share
            counts.targets = set()
        if not self._pools:
            return False
        for record in view.servers.values():
            if is_rollout_target(view, record):
                self._pools[record.pool].targets.add(record.server)
        return has_new

    def record_start(
        self, pool: PoolId, server: ServerId, route: str, *, is_cold: bool
    ) -> CountedRequest | None:
        """Counts a request that is sent; returns None if there is no rollout.

        Args:
            pool: Pool of the request.
            server: The server that it is sent to.
            route: Name of its route.
            is_cold: Whether the server is cold.
        """
        counts = self._pools.get(pool)
        if counts is None:
            return None
        request = self._add_running(pool, counts, server, route, is_cold=is_cold)
        request.row.sent += 1
        self._on_event(pool, _name_version(request.is_target), "sent")
        return request

    def adopt(
        self,
        pool: PoolId,
        server: ServerId,
        route: str,
        known: CountedRequest | None,
    ) -> CountedRequest | None:
        """Counts a request that was sent before the rollout as running, only.

        Control waits for it before the old servers are stopped.

        Args:
            pool: Pool of the request.
            server: The server that it was sent to.
            route: Name of its route.
            known: How it was counted so far.

        Returns:
            How it is counted from now on.
        """
        counts = self._pools.get(pool)
        if counts is None or (known is not None and known.pool_counts is counts):
            return known
        return self._add_running(pool, counts, server, route, is_adopted=True)

    def _add_running(
        self,
        pool: PoolId,
        counts: _PoolCounts,
        server: ServerId,
        route: str,
        *,
        is_cold: bool = False,
        is_adopted: bool = False,
    ) -> CountedRequest:
        is_target = server in counts.targets
        row = self._find_row(counts, is_target, route)
        row.running += 1
        counts.changes[is_target] += 1
        return CountedRequest(
            pool=pool,
            pool_counts=counts,
            row=row,
            is_target=is_target,
            was_cold=is_cold,
            is_adopted=is_adopted,
        )

    def record_end(
        self, request: CountedRequest, end: AttemptEnd, *, is_cold: bool = False
    ) -> None:
        """Counts the end of a request that `record_start` returned.

        Args:
            request: The request.
            end: How it ended.
            is_cold: Whether the server is known to be cold now.
        """
        row = request.row
        row.running -= 1
        request.pool_counts.changes[request.is_target] += 1
        if request.is_adopted:
            return
        verdict = classify(end)
        if verdict is Verdict.NONE:
            return
        is_cold = is_cold or request.was_cold
        # A cold server is slow, and so misses deadlines, with any version.
        if is_cold and end.error is not None and end.remaining <= DEADLINE_MARGIN:
            return
        version = _name_version(request.is_target)
        if verdict is Verdict.FAILURE:
            row.failures += 1
            self._on_event(request.pool, version, "failure")
        if is_cold:
            return
        row.responses += 1
        row.log_time += math.log(max(end.elapsed, MIN_SERVICE_TIME))
        self._on_event(request.pool, version, "response")

    def list_reports(self, now: float, session: int) -> list[RolloutReport]:
        """Returns the reports to send to the leader now.

        Each report that is sent is to be passed to `record_sent`.

        Args:
            now: Seconds of a monotonic clock.
            session: Number of the session with the leader; a report is sent again in
                each new session.
        """
        reports = []
        for pool, counts in self._pools.items():
            if counts.rows and _is_due(counts, now, session):
                reports.append(self._build_report(pool, counts))
        return reports

    def record_sent(self, now: float, session: int, report: RolloutReport) -> None:
        """Records that a report was sent, with the counts as they are now."""
        counts = self._pools[report.pool]
        counts.reported = list(counts.changes)
        counts.reported_at = now
        counts.session = session

    def _find_row(
        self, counts: _PoolCounts, is_target: bool, route: str
    ) -> RouteCounts:
        if route not in counts.routes:
            if len(counts.routes) >= MAX_ROUTES:
                route = OTHER_ROUTES
            else:
                counts.routes.add(route)
        return counts.rows.setdefault((is_target, route), RouteCounts())

    def _build_report(self, pool: PoolId, counts: _PoolCounts) -> RolloutReport:
        rows = []
        for (is_target, route), row in counts.rows.items():
            rows.append(
                [
                    int(is_target),
                    route,
                    row.sent,
                    row.responses,
                    row.failures,
                    round(row.log_time, 4),
                    row.running,
                ]
            )
        return RolloutReport(
            host=self._host,
            boot=self._boot,
            pool=pool,
            number=counts.number,
            rows=rows,
        )


def _is_due(counts: _PoolCounts, now: float, session: int) -> bool:
    since = now - counts.reported_at
    if since < REPORT_INTERVAL:
        return False
    if session != counts.session:
        return True
    if counts.changes == counts.reported:
        return False
    # Control ends the rollout when no request runs at an old server any more.
    is_urgent = counts.changes[True] != counts.reported[True] or counts.share >= 1
    return is_urgent or since >= BASELINE_REPORT_INTERVAL


def _name_version(is_target: bool) -> str:
    return "target" if is_target else "old"
