from random import Random

import pytest

from monsoonlug.limits import Limit
from monsoonlug.rates import (
    ANSWER_TIMEOUT,
    RateAuthority,
    RateWallet,
)

WINDOW = 5.0  # seconds
OVERSHOOT = 1.1  # of rate and burst in a window, and 20 requests more
SLACK = 20


class Tenant:
    """One workspace whose requests come to several entries.

    An ask is answered after a delay, as long as a leader answers at all.
    """

    def __init__(self, *, rate, burst, hosts=12, delay=0.004, seed=1):
        self.limits = {"tenant": Limit(rate=rate, burst=burst)}
        self.now = 0.0
        self.authority = RateAuthority(now=0.0)
        self.authority.configure(0.0, self.limits)
        self.wallets = [
            RateWallet(now=0.0, random=Random(host)) for host in range(hosts)
        ]
        for wallet in self.wallets:
            wallet.configure(0.0, self.limits)
            wallet.set_hosts(hosts)
        self.delay = delay
        self.has_leader = True
        self.cut_off = set()
        self.answers = []
        self.waiting = [[] for _ in range(hosts)]
        self.spent = []
        self.refused = 0
        self.random = Random(seed)
        self.beat_at = 0.0

    def elect(self):
        self.authority = RateAuthority(now=self.now)
        self.authority.configure(self.now, self.limits)
        self.has_leader = True

    def run(self, seconds, per_second, *, step=0.01):
        until = self.now + seconds
        due = 0.0
        while self.now < until:
            self.now += step
            due += per_second * step
            while due >= 1:
                due -= 1
                self.request(self.random.randrange(len(self.wallets)))
            self.exchange()
            self.settle()

    def request(self, host):
        wallet = self.wallets[host]
        wallet.count(self.now, "tenant")
        if wallet.take(self.now, "tenant"):
            self.spent.append(self.now)
            return
        if wallet.find_pause(self.now, "tenant") > 0:
            self.refused += 1
            return
        wallet.wait("tenant", 1)
        self.waiting[host].append(self.now)

    def exchange(self):
        is_beat = self.now >= self.beat_at
        if is_beat:
            self.beat_at = self.now + 0.4
        for host, wallet in enumerate(self.wallets):
            asks = [(wallet.build_urgent(self.now), True)]
            if is_beat:
                asks.append((wallet.build_spare(self.now), False))
            for ask, urgent in asks:
                is_heard = self.has_leader and host not in self.cut_off
                if is_heard and (ask or is_beat):
                    at = self.now + self.delay
                    self.answers.append((at, host, ask, urgent))

    def settle(self):
        due = [item for item in self.answers if item[0] <= self.now]
        self.answers = [item for item in self.answers if item[0] > self.now]
        for _, host, ask, urgent in due:
            wallet = self.wallets[host]
            wallet.note_answer(self.now)
            self.authority.hear(self.now, f"h{host}")
            for workspace, (wanted, spare, share) in ask.items():
                result = self.authority.grant(
                    self.now, f"h{host}", workspace, wanted, spare, share
                )
                pauses = {workspace: result.pause} if result.pause else {}
                wallet.receive(
                    self.now,
                    {workspace: result.tokens},
                    pauses,
                    {workspace: result.share},
                    urgent=urgent,
                )
        for host, wallet in enumerate(self.wallets):
            kept = []
            for since in self.waiting[host]:
                if wallet.take(self.now, "tenant"):
                    self.spent.append(self.now)
                elif self.now - since > 0.25 or wallet.find_pause(self.now, "tenant"):
                    self.refused += 1
                else:
                    kept.append(since)
                    continue
                wallet.wait("tenant", -1)
            self.waiting[host] = kept

    def find_most(self):
        most = 0
        for start in self.spent:
            inside = [at for at in self.spent if start <= at < start + WINDOW]
            most = max(most, len(inside))
        return most

    @property
    def bound(self):
        limit = self.limits["tenant"]
        allowed = limit.rate * WINDOW + limit.burst
        return allowed * OVERSHOOT + SLACK


@pytest.mark.parametrize("rate", [8, 12, 60, 110])
def test_flood_of_one_workspace_stays_within_its_limit(rate):
    """Guards against tokens kept at many hosts that come on top of the burst.

    The pattern: a workspace sends half its rate, then eight times its rate.
    """
    tenant = Tenant(rate=rate, burst=rate)
    tenant.run(4.0, rate / 2)
    tenant.run(8.0, 8 * rate)
    assert tenant.find_most() <= tenant.bound


@pytest.mark.parametrize("rate", [12, 60])
def test_requests_within_the_rate_are_not_refused(rate):
    """Guards against refusals while the workspace has tokens."""
    tenant = Tenant(rate=rate, burst=rate)
    tenant.run(10.0, 0.8 * rate)
    assert tenant.refused <= 0.01 * len(tenant.spent)


@pytest.mark.parametrize("rate", [12, 110])
def test_service_goes_on_while_no_leader_answers(rate):
    """Guards against a stop of service while control is away for some seconds."""
    tenant = Tenant(rate=rate, burst=rate)
    tenant.run(6.0, 0.5 * rate)
    tenant.has_leader = False
    tenant.answers = []
    served = len(tenant.spent)
    tenant.run(5.0, 0.5 * rate)
    assert len(tenant.spent) - served >= 0.6 * 5.0 * 0.5 * rate


@pytest.mark.parametrize("rate", [12, 60, 110])
def test_limit_holds_over_changes_of_the_leader(rate):
    """Guards against a new leader that gives the burst away a second time.

    The pattern: a flood, during which the leader is replaced twice.
    """
    tenant = Tenant(rate=rate, burst=rate)
    tenant.run(4.0, rate / 2)
    tenant.run(1.5, 6 * rate)
    for _ in range(2):
        tenant.has_leader = False
        tenant.answers = []
        tenant.run(ANSWER_TIMEOUT + 0.8, 6 * rate)
        tenant.elect()
        tenant.run(2.5, 6 * rate)
    assert tenant.find_most() <= tenant.bound


@pytest.mark.parametrize("new_leader", [False, True])
def test_limit_holds_while_some_hosts_are_cut_off(new_leader):
    """Guards against shares that are spent by cut off hosts and by the others.

    The pattern: a flood, while a third of the hosts cannot reach control.
    """
    tenant = Tenant(rate=61, burst=61, hosts=9)
    tenant.run(5.0, 30)
    tenant.cut_off = {0, 1, 2}
    if new_leader:
        tenant.run(0.5, 400)
        tenant.has_leader = False
        tenant.answers = []
        tenant.run(1.0, 400)
        tenant.elect()
    tenant.run(6.0, 400)
    assert tenant.find_most() <= tenant.bound


@pytest.mark.parametrize("silence", [0.0, 0.4, 1.0])
@pytest.mark.parametrize(
    ("hosts", "rate", "cut_off"), [(9, 110, 5), (9, 61, 3), (79, 41, 23)]
)
def test_limit_holds_while_some_hosts_and_the_leader_are_lost(
    hosts, rate, cut_off, silence
):
    """Guards against shares that add up to more than one.

    The pattern: some hosts cannot reach control, a flood begins, and later the leader
    is replaced. Hosts that are heard must not be told the shares of those that are not,
    what silent hosts spent must count, and many hosts must not take a token each.
    """
    tenant = Tenant(rate=rate, burst=rate, hosts=hosts)
    tenant.run(5.0, rate / 1.6)
    tenant.cut_off = set(range(cut_off))
    tenant.run(0.1, rate / 1.6)
    tenant.run(1.5, 5 * rate)
    if silence:
        tenant.has_leader = False
        tenant.answers = []
        tenant.run(silence, 5 * rate)
        tenant.elect()
    tenant.run(6.0, 5 * rate)
    assert tenant.find_most() <= tenant.bound


def test_request_that_waits_is_served_soon_after_the_leader_falls_silent():
    """Guards against refusals in the first second of a silent leader.

    The pattern: the leader freezes while requests within the rate go on.
    """
    tenant = Tenant(rate=60, burst=60)
    tenant.run(6.0, 30)
    tenant.has_leader = False
    tenant.answers = []
    refused = tenant.refused
    tenant.run(1.0, 30)
    assert tenant.refused - refused <= 0.2 * 30
