"""Simulated responses of two versions of a pool, without a network, in virtual time."""

import heapq
import itertools
import math
from dataclasses import dataclass, field, replace
from random import Random

from monsoonlug.rollout_decisions import PoolServers, RolloutDecider, RolloutLimits
from monsoonlug.rollout_messages import Rollout, RolloutReport, RolloutState

LIMITS = RolloutLimits(expose_share=0.1, expose_slack=50, rollback=5.0)
TICK = 0.05  # seconds
DECISION_INTERVAL = 0.25  # seconds
REPORT_INTERVAL = 0.2  # seconds
VIEW_DELAY = 0.05  # seconds from a decision until entries use it
KEY_MOVE_TIME = 3.0  # seconds in which keys follow a raised share
ORDERED_AT = 1_700_000_000.0
ENTRIES = 8
ROUTES = (("read", 0.5, 0.04), ("write", 0.3, 0.09), ("list", 0.2, 0.2))
WEIGHTS = [weight for _, weight, _ in ROUTES]


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """A pool and the behaviour of its target version.

    Attributes:
        fail_share: Share of its requests that the target version fails.
        slowdown: Factor of its service times.
        bad_from: Seconds after the start of its servers from which it is bad.
        bad_above: Share of the load at the end from which a server of it is bad.
        bad_route: The only route on which it is bad, or an empty string.
        warm_at: Seconds after the order at which the target servers are warm.
        cold_seconds: Seconds after that in which they are twice as slow all the same.
        lost_leader_at: Seconds after the order at which the leader is lost, or None.
        counts_delay: Seconds from the next leader's start to its first reports.
    """

    rate: float = 850.0
    servers: int = 84
    duration: float = 12.0
    is_keyed: bool = False
    base_failures: float = 0.005
    fail_share: float = 0.0
    slowdown: float = 1.0
    bad_from: float = 0.0
    bad_above: float = 0.0
    bad_route: str = ""
    warm_at: float = 1.0
    cold_seconds: float = 0.0
    lost_leader_at: float | None = None
    counts_delay: float = 0.2
    leader_gap: float = 0.9

    @property
    def is_bad(self):
        return self.fail_share > 0 or self.slowdown > 1


class Server:
    """A server whose machine is disturbed a fifth of the time."""

    def __init__(self, random):
        self.speed = random.uniform(0.5, 1.7)
        self._random = random
        self._until = random.uniform(0.0, 4.0)
        self._is_disturbed = False

    def get_factor(self, now):
        while now >= self._until:
            self._is_disturbed = not self._is_disturbed
            mean = self._random.uniform(0.3, 1.6)
            gap = mean if self._is_disturbed else self._random.expovariate(1 / 3.8)
            self._until += gap
        return self.speed * (3.0 if self._is_disturbed else 1.0)


@dataclass(kw_only=True)
class Outcome:
    """What a simulated rollout came to.

    Attributes:
        ended_at: Seconds after the order.
        exposure: Requests that the target version got until the deadline.
        total: Requests that reached the pool until the deadline.
        last_sent_at: Time of the last request to the target version.
        bad_responses_at: Times of bad responses of the target version.
    """

    state: RolloutState = RolloutState.RUNNING
    reason: str = ""
    ended_at: float = math.inf
    exposure: int = 0
    total: int = 0
    last_sent_at: float = 0.0
    bad_responses_at: list = field(default_factory=list)
    shares: list = field(default_factory=list)
    comparison: object = None

    @property
    def bound(self):
        return LIMITS.expose_share * self.total + LIMITS.expose_slack


class Simulation:
    """One rollout."""

    def __init__(self, scenario, seed):
        self.scenario = scenario
        self.random = Random(seed)
        self.outcome = Outcome()
        self.others = [Server(self.random) for _ in range(scenario.servers)]
        self.targets = [Server(self.random) for _ in range(scenario.servers)]
        self.rollout = Rollout(
            pool="desk",
            version="v2",
            number=7,
            ordered_at_ms=round(ORDERED_AT * 1000),
            duration=scenario.duration,
            state=RolloutState.RUNNING,
            share=0.0,
        )
        self.rows = [{} for _ in range(ENTRIES)]
        self.completions = []
        self.order = itertools.count()
        self.changes = []  # time from which entries use a share, and the share
        self.entry_share = 0.0
        self.decider = RolloutDecider(
            now=ORDERED_AT, rollout=self.rollout, limits=LIMITS
        )
        self.decider_from = 0.0
        self.reports_from = 0.0

    def run(self):
        """Runs until a second after the deadline."""
        step = 0
        while step * TICK < self.scenario.duration + 1.0:
            lost_at = self.scenario.lost_leader_at
            now = step * TICK
            self._apply_changes(now)
            self._send_requests(now)
            self._complete(now)
            self._report(now, step)
            if lost_at is not None and now >= lost_at:
                self._change_leader(now)
            is_due = step % round(DECISION_INTERVAL / TICK) == 0
            if now >= self.decider_from and (is_due or step % 2 == 0):
                self._decide(now)
            step += 1
        return self.outcome

    def _change_leader(self, now):
        self.scenario = replace(self.scenario, lost_leader_at=None)
        self.decider_from = now + self.scenario.leader_gap
        self.reports_from = self.decider_from + self.scenario.counts_delay
        self.decider = RolloutDecider(
            now=ORDERED_AT + self.decider_from,
            rollout=self.rollout,
            limits=LIMITS,
            is_new_leader=True,
        )

    def _apply_changes(self, now):
        while self.changes and self.changes[0][0] <= now:
            self.entry_share = self.changes.pop(0)[1]
        if not self.scenario.is_keyed:
            self.share = self.entry_share
            return
        current = getattr(self, "share", 0.0)
        most = current + TICK / KEY_MOVE_TIME
        self.share = min(self.entry_share, most)

    def _send_requests(self, now):
        scenario = self.scenario
        expected = scenario.rate * TICK
        count = max(0, round(self.random.gauss(expected, math.sqrt(expected))))
        if expected < 5:
            count = sum(self.random.random() < expected / 10 for _ in range(10))
        target_count = max(1, math.ceil(self.share * scenario.servers))
        for _ in range(count):
            is_target = self.random.random() < self.share
            if now <= scenario.duration:
                self.outcome.total += 1
                self.outcome.exposure += is_target
            if is_target:
                self.outcome.last_sent_at = now
            self._send_request(now, is_target, target_count)

    def _send_request(self, now, is_target, target_count):
        scenario, random = self.scenario, self.random
        ((route, _, seconds),) = random.choices(ROUTES, WEIGHTS)
        servers = self.targets[:target_count] if is_target else self.others
        server = servers[int(random.random() * len(servers))]
        seconds *= server.get_factor(now) * math.exp(random.gauss(0.0, 0.5))
        fails = random.random() < scenario.base_failures
        is_bad = is_target and self._is_bad_now(now, route, target_count)
        if is_target and now < scenario.warm_at + scenario.cold_seconds:
            seconds *= 2.0
        if is_bad:
            seconds *= scenario.slowdown
            fails = fails or random.random() < scenario.fail_share
        entry = int(random.random() * ENTRIES)
        row = self.rows[entry].setdefault((int(is_target), route), [0, 0, 0, 0.0, 0])
        row[0] += 1
        row[4] += 1
        was_bad = is_bad and (fails or scenario.slowdown > 1)
        heapq.heappush(
            self.completions,
            (now + seconds, next(self.order), row, seconds, fails, was_bad),
        )

    def _is_bad_now(self, now, route, target_count):
        scenario = self.scenario
        if not scenario.is_bad or now < scenario.bad_from:
            return False
        if scenario.bad_route and route != scenario.bad_route:
            return False
        load = self.share * scenario.servers / target_count
        return load >= scenario.bad_above

    def _complete(self, now):
        while self.completions and self.completions[0][0] <= now:
            at, _, row, seconds, fails, was_bad = heapq.heappop(self.completions)
            row[1] += 1
            row[2] += fails
            row[3] += math.log(seconds)
            row[4] -= 1
            if was_bad:
                self.outcome.bad_responses_at.append(at)

    def _report(self, now, step):
        if now < self.reports_from or now < self.decider_from:
            return
        for entry, rows in enumerate(self.rows):
            if (step + entry) % round(REPORT_INTERVAL / TICK) or not rows:
                continue
            report = RolloutReport(
                host=f"h{entry}",
                boot="b",
                pool="desk",
                number=7,
                rows=[[version, route, *row] for (version, route), row in rows.items()],
            )
            self.decider.record(report)

    def _decide(self, now):
        if self.rollout.state is not RolloutState.RUNNING:
            return
        scenario = self.scenario
        is_warm = now >= scenario.warm_at
        others = 0 if self.share >= 1 else 400
        servers = PoolServers(
            is_keyed=scenario.is_keyed,
            targets=scenario.servers,
            warm_targets=scenario.servers if is_warm else 0,
            others=scenario.servers,
            other_ranges=others if scenario.is_keyed else 0,
        )
        decision = self.decider.decide(
            ORDERED_AT + now, self.rollout, servers, may_raise=True
        )
        if decision is None:
            return
        self.rollout = replace(self.rollout, state=decision.state, share=decision.share)
        self.outcome.shares.append((round(now, 2), decision.share, decision.reason))
        self.changes.append((now + VIEW_DELAY, decision.share))
        if decision.state is not RolloutState.RUNNING:
            self.outcome.state = decision.state
            self.outcome.reason = decision.reason
            self.outcome.ended_at = now
            self.outcome.comparison = decision.comparison


def simulate(scenario, seed):
    """Returns the outcome of one rollout."""
    return Simulation(scenario, seed).run()
