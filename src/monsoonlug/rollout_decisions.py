"""Decides the share of requests for a rollout's target version, and its end.

The decisions need no I/O: the time, the order, the servers and the entries' counts are
handed in. They respond to the load of a pool, as the exposure that is permitted depends
on the requests that reach it. Times are Unix seconds, as the deadline is in the log.
"""

import math
from collections import deque
from dataclasses import dataclass, replace

from monsoonlug.canary_shares import MAX_BURST_DELAY, CanaryLoad, CanaryPlan
from monsoonlug.rollout_messages import Rollout, RolloutReport, RolloutState
from monsoonlug.rollout_reports import (
    OTHERS,
    TARGET,
    ReportTotals,
    RouteCounts,
    subtract_counts,
    sum_counts,
)
from monsoonlug.version_comparison import (
    COLD_SECONDS,
    MIN_SOUND_RESPONSES,
    Comparison,
    Verdict,
    Window,
    compare_versions,
)

# Seconds that the entries' counts and views lag behind: 0.2 between two reports, 0.1
# until the next decision, 0.1 for the commit and its delta.
REACTION_TIME = 0.4
# Seconds before the deadline and shares of the last steps. Moving keys takes 2 to 4 s;
# a request runs up to about 1 s.
STEPS = ((2.8, 0.15), (1.9, 0.45), (1.1, 1.0))
KEYED_STEPS = ((4.5, 0.3), (3.6, 1.0))
MAX_STEP_PART = 0.3  # of the duration, which shortens the steps of a short rollout
STEP_INTERVAL = 0.5  # seconds between two steps
# Seconds before the deadline at which the rollout ends at the latest. The decisions run
# every 0.25 s, and a commit and its delta should be through by the deadline.
FINAL_MARGIN = 0.45
COUNTS_MARGIN = 0.15  # seconds before the deadline until which counts are awaited
QUIET_TIME = 1.0  # seconds without new requests, after which none runs at an old server
MIN_QUIET_TIME = 0.5  # the same, if the reports say that none runs
LEADER_DELAY = 1.0  # seconds in which a new leader does not raise the share
PROPOSAL_TIMEOUT = 1.0  # seconds until a decision that is not in the view is repeated
MIN_BASELINE = 100  # responses of other versions on a route in a window
KEY_MOVE_TIME = 3.0  # seconds in which keys follow a raised share
MIN_BACKLOG = 15  # running requests of the target version
MAX_BACKLOG_RATIO = 2.0  # of running requests to those expected for the share
ROLLBACK_RESPONSES = 50  # bad ones, from which the bound on the rollback counts
LAST_LOOK_LEAD = 0.8  # seconds before that bound, in which the entries learn of the end
MIN_SAMPLE_INTERVAL = 0.09  # seconds
RATE_WINDOW = 1.5  # seconds
MIN_LIGHT_RESPONSES = 5  # that are enough where the exposure cannot be exceeded
MAX_SPENT_PART = 0.8  # of the exposure, above which doubtful evidence stops the target


@dataclass(frozen=True, slots=True, kw_only=True)
class RolloutLimits:
    """Bounds on what a bad version may do.

    Attributes:
        expose_share: Share of a pool's requests that it may get from the order to the
            deadline.
        expose_slack: Requests that it may get beyond that.
        rollback: Seconds from its 50th bad response until it gets no new request.
    """

    expose_share: float
    expose_slack: float
    rollback: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolServers:
    """Servers of a pool during its rollout.

    Attributes:
        targets: Servers of the target version that are in service.
        warm_targets: Those of them that are not in their cold start.
        others: Registered servers of other versions.
        other_ranges: Key ranges that target servers do not own; 0 below share 1.
    """

    is_keyed: bool
    targets: int
    warm_targets: int
    others: int
    other_ranges: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """A step or the end of a rollout, with the figures that decided it.

    Attributes:
        spent: Requests that the target version got, as far as is known or extrapolated.
        permitted: Exposure that is permitted up to now.
    """

    state: RolloutState
    share: float
    reason: str
    comparison: Comparison
    spent: float
    permitted: float


@dataclass(frozen=True, slots=True, kw_only=True)
class _Sample:
    """Counts at one time.

    Attributes:
        server_weight: Sum of the target's responses, each times the number of servers
            that shared the requests.
        exposed_seconds: Time in which the target version got requests.
    """

    at: float
    counts: RouteCounts
    server_weight: float
    exposed_seconds: float = 0.0


class RolloutDecider:
    """Decides on one rollout during one term of a leader.

    Args:
        now: Time of the election or, later, of the order.
        rollout: The rollout when the term or the rollout began.
        limits: Bounds on a bad version.
        is_new_leader: Whether the rollout was ordered in an earlier term.
    """

    def __init__(
        self,
        *,
        now: float,
        rollout: Rollout,
        limits: RolloutLimits,
        is_new_leader: bool = False,
    ):
        self._limits = limits
        self._deadline = rollout.ordered_at_ms / 1000 + rollout.duration
        self._duration = rollout.duration
        self._raise_from = now + LEADER_DELAY if is_new_leader else now
        # The first reports to a new leader hold all counts since the order.
        self._rate_known_from = self._raise_from + RATE_WINDOW if is_new_leader else now
        self._totals = ReportTotals()
        self._samples: deque[_Sample] = deque()
        self._server_weight = self._exposed_seconds = 0.0
        self._canary = CanaryPlan(
            expose_share=limits.expose_share, expose_slack=limits.expose_slack
        )
        self._share = rollout.share
        self._share_changed_at = now
        self._is_lowered = False  # whether the last change lowered the share
        self._exposed_share = rollout.share  # that the target servers have by now
        self._first_response_at = math.inf
        self._last_look_at = math.inf
        self._warm_sample: _Sample | None = None  # the first one after cold starts
        self._cold_responses = 0.0  # in the first `COLD_SECONDS` of the responses
        self._proposed: tuple[RolloutState, float] | None = None
        self._proposed_at = -math.inf

    @property
    def reports(self) -> int:
        """Number of reports that were counted."""
        return self._totals.reports

    def record(self, report: RolloutReport) -> None:
        """Counts a report of an entry, which `check_report` has checked."""
        self._totals.record(report)

    def decide(
        self, now: float, rollout: Rollout, servers: PoolServers, *, may_raise: bool
    ) -> Decision | None:
        """Returns the step to propose now, or None.

        Args:
            now: Time in Unix seconds.
            rollout: The rollout according to the leader's view; it is running.
            servers: Servers of the pool.
            may_raise: Whether a majority has confirmed the leader recently.
        """
        if rollout.share != self._share:
            self._is_lowered = rollout.share < self._share
            self._share = rollout.share
            self._share_changed_at = now
        self._add_sample(now, servers)
        comparison = self._compare(now, servers)
        state, share, reason = self._choose(now, servers, comparison)
        is_raise = state is RolloutState.SUCCEEDED or share > self._share
        if is_raise and not may_raise:
            return None
        if is_raise and now < min(self._raise_from, self._deadline - FINAL_MARGIN):
            return None
        wanted = (state, share)
        if wanted == (RolloutState.RUNNING, self._share):
            return None
        if wanted == self._proposed and now - self._proposed_at < PROPOSAL_TIMEOUT:
            return None
        self._proposed, self._proposed_at = wanted, now
        return Decision(
            state=state,
            share=share,
            reason=reason,
            comparison=comparison,
            spent=self._estimate_spent(),
            permitted=self._get_permitted(self._get_total()),
        )

    def _choose(
        self, now: float, servers: PoolServers, comparison: Comparison
    ) -> tuple[RolloutState, float, str]:
        running, share = RolloutState.RUNNING, self._share
        if comparison.verdict is Verdict.BAD:
            return RolloutState.ROLLED_BACK, 0.0, "the target version is bad"
        if servers.targets and not servers.others:
            return RolloutState.SUCCEEDED, 1.0, "no server has another version"
        if now >= self._deadline - FINAL_MARGIN:
            return self._choose_end(now, servers, comparison)
        if not servers.targets:
            return running, 0.0, "no target server is in service"
        if share >= 1:
            is_doubtful = self._is_doubtful(now, servers, comparison)
            if self._is_quiet(now, servers) and not is_doubtful:
                return RolloutState.SUCCEEDED, 1.0, "no request runs at an old server"
            return running, share, ""
        is_doubtful = comparison.verdict is not Verdict.SOUND
        is_doubtful = is_doubtful or self._is_doubtful(now, servers, comparison)
        spent, permitted = self._estimate_spent(), self._get_permitted_by_end(now)
        if is_doubtful and share and spent > MAX_SPENT_PART * permitted:
            return running, 0.0, "the exposure is spent and the evidence doubtful"
        steps = self._list_steps(servers)
        if now >= self._deadline - steps[0][0]:
            return running, *self._choose_step(now, servers, comparison)
        if not servers.warm_targets:
            return running, share, ""
        return running, *self._choose_canary(now, self._deadline - steps[0][0], servers)

    def _choose_end(
        self, now: float, servers: PoolServers, comparison: Comparison
    ) -> tuple[RolloutState, float, str]:
        steps = self._list_steps(servers)
        has_counts = self._get_total() > 0
        if self._is_doubtful(now, servers, comparison):
            return RolloutState.ROLLED_BACK, 0.0, "the evidence is doubtful"
        if self._share >= 1:
            return RolloutState.SUCCEEDED, 1.0, "the deadline is near"
        if self._share >= steps[0][1] and comparison.verdict is Verdict.SOUND:
            return RolloutState.SUCCEEDED, 1.0, "the deadline is near"
        if not has_counts and now < self._deadline - COUNTS_MARGIN:
            return RolloutState.RUNNING, self._share, ""
        if not has_counts and self._share >= steps[-2][1]:
            # The previous leader took the last steps but one on sound evidence.
            return RolloutState.SUCCEEDED, 1.0, "the deadline is near"
        return RolloutState.ROLLED_BACK, 0.0, "too little evidence by the deadline"

    def _is_quiet(self, now: float, servers: PoolServers) -> bool:
        """Returns whether the old servers can be stopped."""
        if servers.is_keyed and servers.other_ranges:
            return False
        elapsed = now - self._share_changed_at
        if elapsed >= QUIET_TIME:
            return True
        running = sum_counts(self._totals.sum(), OTHERS).running
        return elapsed >= MIN_QUIET_TIME and self.reports > 0 and running == 0

    def _list_steps(self, servers: PoolServers) -> list[tuple[float, float]]:
        steps = KEYED_STEPS if servers.is_keyed else STEPS
        scale = min(1.0, MAX_STEP_PART * self._duration / steps[0][0])
        return [(scale * seconds, share) for seconds, share in steps]

    def _choose_step(
        self, now: float, servers: PoolServers, comparison: Comparison
    ) -> tuple[float, str]:
        steps = self._list_steps(servers)
        if comparison.verdict is not Verdict.SOUND:
            return self._share, ""
        if self._is_doubtful(now, servers, comparison):
            return self._share, ""
        is_first = self._share < steps[0][1]
        if not is_first and now - self._share_changed_at < STEP_INTERVAL:
            return self._share, ""
        for seconds, share in steps:
            if share <= self._share:
                continue
            if now < self._deadline - seconds:
                break
            return share, "the target version is sound so far"
        return self._share, ""

    def _is_doubtful(
        self, now: float, servers: PoolServers, comparison: Comparison
    ) -> bool:
        """Returns whether anything speaks against the version, evidence or not."""
        return (
            comparison.verdict is Verdict.DOUBTFUL
            or self._is_step_doubtful(now)
            or self._has_backlog(now, servers)
        )

    def _is_step_doubtful(self, now: float) -> bool:
        """Returns whether responses since the last step speak against the version.

        They come from more servers than those before, which may all have been fast.
        After a lowered share, only slow responses are left, also of a sound version.
        """
        if self._is_lowered:
            return False
        sample = self._find_sample(self._share_changed_at + REACTION_TIME / 2)
        if sample is None:
            return False
        window = self._build_window(now, sample)
        part = self._cut_counts(self._samples[-1].counts, sample.counts)
        verdict = compare_versions(part, window).verdict
        return verdict in (Verdict.BAD, Verdict.DOUBTFUL)

    def _has_backlog(self, now: float, servers: PoolServers) -> bool:
        """Returns whether too many of the target's requests run for its share.

        Slow responses are counted late, so the first ones after a step are fast.
        """
        if servers.is_keyed or not 0 < self._share < 1:
            return False
        if now - self._share_changed_at < REACTION_TIME:
            return False
        counts = self._samples[-1].counts
        target, others = sum_counts(counts, TARGET), sum_counts(counts, OTHERS)
        if target.running < MIN_BACKLOG:
            return False
        expected = others.running * self._share / (1 - self._share)
        return target.running > MAX_BACKLOG_RATIO * expected

    def _choose_canary(
        self, now: float, until: float, servers: PoolServers
    ) -> tuple[float, str]:
        rate, total = self._measure_rate(now), self._get_total()
        load = CanaryLoad(
            now=now,
            until=until,
            rate=rate,
            total=total,
            spent=self._estimate_spent(),
            total_at_end=total + rate * max(0.0, self._deadline - now),
            share=self._share,
            changed_at=self._share_changed_at,
            targets=servers.targets,
            is_keyed=servers.is_keyed,
            is_inherited=now < self._rate_known_from,
            first_response_at=self._first_response_at,
        )
        return self._canary.choose(load)

    # Counts.

    def _add_sample(self, now: float, servers: PoolServers) -> None:
        if self._samples and now - self._samples[-1].at < MIN_SAMPLE_INTERVAL:
            return
        counts = self._totals.sum()
        responses = sum_counts(counts, TARGET).responses
        previous = self._samples[-1].counts if self._samples else {}
        added = responses - sum_counts(previous, TARGET).responses
        elapsed = now - self._samples[-1].at if self._samples else 0.0
        most = math.inf
        if servers.is_keyed:
            most = self._exposed_share + elapsed / KEY_MOVE_TIME
        # Responses to requests before a lowered share arrive for some time.
        if not self._is_lowered or now - self._share_changed_at >= REACTION_TIME:
            self._exposed_share = min(self._share, most)
        if self._share > 0:
            self._exposed_seconds += elapsed
        self._server_weight += added * _count_exposed(servers, self._exposed_share)
        if responses > 0 and self._first_response_at == math.inf:
            self._first_response_at = now
        if responses >= ROLLBACK_RESPONSES:
            last_look_at = now + self._limits.rollback - LAST_LOOK_LEAD
            self._last_look_at = min(self._last_look_at, last_look_at)
        if now < self._first_response_at + COLD_SECONDS:
            self._cold_responses = responses
        sample = _Sample(
            at=now,
            counts=counts,
            server_weight=self._server_weight,
            exposed_seconds=self._exposed_seconds,
        )
        self._samples.append(sample)
        is_warm = now >= self._first_response_at + COLD_SECONDS
        if is_warm and self._warm_sample is None:
            self._warm_sample = sample
        # One sample is kept that is older than the longest window.
        longest = max(self._limits.rollback, RATE_WINDOW) + MAX_BURST_DELAY
        while len(self._samples) > 2 and self._samples[1].at < now - longest:
            self._samples.popleft()

    def _compare(self, now: float, servers: PoolServers) -> Comparison:
        """Compares the versions in each window.

        A window that shows a bad version decides. Otherwise the whole rollout does.
        """
        counts = self._samples[-1].counts
        rollback = self._limits.rollback
        ages = (rollback / 4, rollback / 2, rollback)
        starts = [self._canary.find_window_start(now - seconds) for seconds in ages]
        samples = [self._find_sample(start) for start in starts]
        for sample in (*samples, self._warm_sample):
            if sample is None or sample.at >= now:
                continue
            window = self._build_window(now, sample)
            is_last_look = sample is self._warm_sample and now >= self._last_look_at
            window = replace(window, is_last_look=is_last_look)
            part = self._cut_counts(counts, sample.counts)
            found = compare_versions(part, window)
            if found.verdict is Verdict.BAD:
                return found
        began = min(self._first_response_at, now)
        whole = _Sample(at=began, counts={}, server_weight=0.0)
        window = replace(self._build_window(now, whole), is_whole=True)
        minimum = MIN_SOUND_RESPONSES
        if self._is_light(now):
            minimum = MIN_LIGHT_RESPONSES
        return compare_versions(counts, window, min_responses=minimum)

    def _cut_counts(self, counts: RouteCounts, earlier: RouteCounts) -> RouteCounts:
        """Returns the counts since earlier ones.

        A route with few responses of other versions keeps the whole baseline. They
        become few when the share is raised, and some failures are normal.
        """
        part = subtract_counts(counts, earlier)
        for (version, route), row in part.items():
            if version == OTHERS and row.responses < MIN_BASELINE:
                part[version, route] = counts[version, route]
        return part

    def _build_window(self, now: float, sample: _Sample) -> Window:
        earlier = sum_counts(sample.counts, TARGET).responses
        responses = sum_counts(self._samples[-1].counts, TARGET).responses - earlier
        if responses <= 0:
            return Window(seconds=now - sample.at, servers=1.0, cold_share=1.0)
        cold = max(0.0, self._cold_responses - earlier)
        return Window(
            seconds=self._exposed_seconds - sample.exposed_seconds,
            servers=(self._server_weight - sample.server_weight) / responses,
            cold_share=min(1.0, cold / responses),
        )

    def _find_sample(self, at: float) -> _Sample | None:
        """Returns the last sample that is not later than a time."""
        found = None
        for sample in self._samples:
            if sample.at > at:
                break
            found = sample
        return found

    def _measure_rate(self, now: float) -> float:
        """Returns the requests per second that reach the pool, or 0 if unknown."""
        sample = self._find_sample(now - RATE_WINDOW) or self._samples[0]
        elapsed = self._samples[-1].at - sample.at
        if elapsed <= 0:
            return 0.0
        added = subtract_counts(self._samples[-1].counts, sample.counts)
        return sum(row.sent for row in added.values()) / elapsed

    def _get_total(self) -> float:
        return sum(row.sent for row in self._samples[-1].counts.values())

    def _estimate_spent(self) -> float:
        """Returns the target's requests, including those that are not reported yet."""
        now = self._samples[-1].at
        sent = sum_counts(self._samples[-1].counts, TARGET).sent
        return sent + self._share * self._measure_rate(now) * REACTION_TIME

    def _get_permitted(self, total: float) -> float:
        return self._limits.expose_slack + self._limits.expose_share * total

    def _get_permitted_by_end(self, now: float) -> float:
        left = max(0.0, self._deadline - now)
        return self._get_permitted(self._get_total() + self._measure_rate(now) * left)

    def _is_light(self, now: float) -> bool:
        """Returns whether all further requests stay within the permitted exposure."""
        left = max(0.0, self._deadline - now)
        expected = self._estimate_spent() + self._measure_rate(now) * left
        return expected <= self._get_permitted_by_end(now)


def _count_exposed(servers: PoolServers, share: float) -> float:
    """Returns how many target servers share the requests for the target version.

    Requests go to so many that each gets as much load as it would get at the end.
    """
    return max(1.0, math.ceil(share * servers.targets))
