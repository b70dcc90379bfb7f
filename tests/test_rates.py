from random import Random

import pytest

from monsoonlug.limits import Limit
from monsoonlug.rates import (
    FALLBACK_TIMEOUT,
    GlobalRateLimiter,
    LocalRateLimiter,
)

WINDOW = 5.0  # seconds
MAX_OVERSHOOT = 1.1  # times the rate and burst of a window, plus SLACK_REQUESTS
SLACK_REQUESTS = 20


class Simulation:
    """Simulates one workspace whose requests arrive at several entries.

    The leader, if there is one, responds to token requests after a delay.
    """

    def __init__(self, *, rate, burst, hosts=12, delay=0.004, seed=1):
        self.limits = {"tenant": Limit(rate=rate, burst=burst)}
        self.now = 0.0
        self.leader = GlobalRateLimiter(now=0.0)
        self.leader.configure(0.0, self.limits)
        self.limiters = [
            LocalRateLimiter(now=0.0, random=Random(host)) for host in range(hosts)
        ]
        for limiter in self.limiters:
            limiter.configure(0.0, self.limits)
            limiter.set_host_count(hosts)
        self.delay = delay
        self.has_leader = True
        self.disconnected = set()
        self.answers = []
        self.waiting = [[] for _ in range(hosts)]
        self.spent = []
        self.refused = 0
        self.random = Random(seed)
        self.heartbeat_at = 0.0

    def elect_leader(self):
        self.leader = GlobalRateLimiter(now=self.now)
        self.leader.configure(self.now, self.limits)
        self.has_leader = True

    def run(self, seconds, per_second, *, step=0.01):
        until = self.now + seconds
        due = 0.0
        while self.now < until:
            self.now += step
            due += per_second * step
            while due >= 1:
                due -= 1
                self.request(self.random.randrange(len(self.limiters)))
            self.send_requests()
            self.deliver_answers()

    def request(self, host):
        limiter = self.limiters[host]
        limiter.record_demand(self.now, "tenant")
        if limiter.try_acquire(self.now, "tenant"):
            self.spent.append(self.now)
            return
        if limiter.get_retry_after(self.now, "tenant") > 0:
            self.refused += 1
            return
        limiter.change_waiting("tenant", 1)
        self.waiting[host].append(self.now)

    def send_requests(self):
        is_heartbeat = self.now >= self.heartbeat_at
        if is_heartbeat:
            self.heartbeat_at = self.now + 0.4
        for host, limiter in enumerate(self.limiters):
            requests = [(limiter.build_urgent_request(self.now), True)]
            if is_heartbeat:
                requests.append((limiter.build_prefetch_request(self.now), False))
            for wanted, urgent in requests:
                is_connected = self.has_leader and host not in self.disconnected
                if is_connected and (wanted or is_heartbeat):
                    at = self.now + self.delay
                    self.answers.append((at, host, wanted, urgent))

    def deliver_answers(self):
        due = [item for item in self.answers if item[0] <= self.now]
        self.answers = [item for item in self.answers if item[0] > self.now]
        for _, host, wanted, urgent in due:
            limiter = self.limiters[host]
            limiter.record_response(self.now, self.now - self.delay)
            self.leader.record_heartbeat(self.now, f"h{host}")
            for workspace, (tokens, prefetch, share) in wanted.items():
                result = self.leader.grant(
                    self.now, f"h{host}", workspace, tokens, prefetch, share
                )
                retry_delays = (
                    {workspace: result.retry_after} if result.retry_after else {}
                )
                limiter.apply_grant(
                    self.now,
                    {workspace: result.tokens},
                    retry_delays,
                    {workspace: result.share},
                    urgent=urgent,
                )
        for host, limiter in enumerate(self.limiters):
            kept = []
            for since in self.waiting[host]:
                if limiter.try_acquire(self.now, "tenant"):
                    self.spent.append(self.now)
                elif self.now - since > 0.25 or limiter.get_retry_after(
                    self.now, "tenant"
                ):
                    self.refused += 1
                else:
                    kept.append(since)
                    continue
                limiter.change_waiting("tenant", -1)
            self.waiting[host] = kept

    def find_busiest_window(self):
        maximum = 0
        for start in self.spent:
            inside = [at for at in self.spent if start <= at < start + WINDOW]
            maximum = max(maximum, len(inside))
        return maximum

    @property
    def bound(self):
        limit = self.limits["tenant"]
        allowed = limit.rate * WINDOW + limit.burst
        return allowed * MAX_OVERSHOOT + SLACK_REQUESTS


@pytest.mark.parametrize("rate", [8, 12, 60, 110])
def test_flood_of_one_workspace_stays_within_its_limit(rate):
    """Guards against tokens held by many hosts that add to the burst.

    The workspace sends half its rate, then eight times its rate.
    """
    simulation = Simulation(rate=rate, burst=rate)
    simulation.run(4.0, rate / 2)
    simulation.run(8.0, 8 * rate)
    assert simulation.find_busiest_window() <= simulation.bound


@pytest.mark.parametrize("rate", [12, 60])
def test_requests_within_the_rate_are_not_refused(rate):
    """Guards against refusals while the workspace has tokens."""
    simulation = Simulation(rate=rate, burst=rate)
    simulation.run(10.0, 0.8 * rate)
    assert simulation.refused <= 0.01 * len(simulation.spent)


@pytest.mark.parametrize("rate", [12, 110])
def test_service_goes_on_while_no_leader_answers(rate):
    """Guards against an interruption of service while control is down for seconds."""
    simulation = Simulation(rate=rate, burst=rate)
    simulation.run(6.0, 0.5 * rate)
    simulation.has_leader = False
    simulation.answers = []
    served = len(simulation.spent)
    simulation.run(5.0, 0.5 * rate)
    assert len(simulation.spent) - served >= 0.6 * 5.0 * 0.5 * rate


@pytest.mark.parametrize("rate", [12, 60, 110])
def test_limit_holds_over_changes_of_the_leader(rate):
    """Guards against a new leader that grants the burst a second time.

    The leader is replaced twice during a flood.
    """
    simulation = Simulation(rate=rate, burst=rate)
    simulation.run(4.0, rate / 2)
    simulation.run(1.5, 6 * rate)
    for _ in range(2):
        simulation.has_leader = False
        simulation.answers = []
        simulation.run(FALLBACK_TIMEOUT + 0.8, 6 * rate)
        simulation.elect_leader()
        simulation.run(2.5, 6 * rate)
    assert simulation.find_busiest_window() <= simulation.bound


@pytest.mark.parametrize("new_leader", [False, True])
def test_limit_holds_while_some_hosts_are_cut_off(new_leader):
    """Guards against shares that disconnected and connected hosts both spend.

    A third of the hosts cannot reach control during a flood.
    """
    simulation = Simulation(rate=61, burst=61, hosts=9)
    simulation.run(5.0, 30)
    simulation.disconnected = {0, 1, 2}
    if new_leader:
        simulation.run(0.5, 400)
        simulation.has_leader = False
        simulation.answers = []
        simulation.run(1.0, 400)
        simulation.elect_leader()
    simulation.run(6.0, 400)
    assert simulation.find_busiest_window() <= simulation.bound


@pytest.mark.parametrize("silence", [0.0, 0.4, 1.0])
@pytest.mark.parametrize(
    ("hosts", "rate", "disconnected"), [(9, 110, 5), (9, 61, 3), (79, 41, 23)]
)
def test_limit_holds_while_some_hosts_and_the_leader_are_lost(
    hosts, rate, disconnected, silence
):
    """Guards against shares that add up to more than one.

    Some hosts cannot reach control, a flood begins, and later the leader is replaced.
    Connected hosts must not get the shares of disconnected ones, tokens spent by silent
    hosts must count, and many hosts must not each round their share up to one token.
    """
    simulation = Simulation(rate=rate, burst=rate, hosts=hosts)
    simulation.run(5.0, rate / 1.6)
    simulation.disconnected = set(range(disconnected))
    simulation.run(0.1, rate / 1.6)
    simulation.run(1.5, 5 * rate)
    if silence:
        simulation.has_leader = False
        simulation.answers = []
        simulation.run(silence, 5 * rate)
        simulation.elect_leader()
    simulation.run(6.0, 5 * rate)
    assert simulation.find_busiest_window() <= simulation.bound


def test_request_that_waits_is_served_soon_after_the_leader_falls_silent():
    """Guards against refusals in the first second after the leader stops responding.

    The leader freezes while requests continue within the rate.
    """
    simulation = Simulation(rate=60, burst=60)
    simulation.run(6.0, 30)
    simulation.has_leader = False
    simulation.answers = []
    refused = simulation.refused
    simulation.run(1.0, 30)
    assert simulation.refused - refused <= 0.2 * 30


def test_lost_token_request_does_not_make_a_host_refill_itself():
    """Guards against tokens of a host's own on top of those that the leader grants."""
    limiter = LocalRateLimiter(now=0.0, random=Random(1))
    limiter.configure(0.0, {"w": Limit(rate=10.0, burst=10.0)})
    limiter.change_waiting("w", 1)
    assert limiter.build_urgent_request(1.0)
    limiter.change_waiting("w", -1)
    assert limiter.is_disconnected(1.2)
    # The response to a heartbeat that was sent before the request proves nothing.
    limiter.record_response(1.25, sent_at=0.9)
    assert limiter.is_disconnected(1.3)
    limiter.record_response(1.7, sent_at=1.3)
    assert not limiter.is_disconnected(1.8)
