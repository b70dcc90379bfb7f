"""Tests of the checks of servers, and of the choice of hosts by their reports."""

import asyncio
from random import Random

import pytest

from monsoonlug.backend import ConnectResult
from monsoonlug.clocks import read_clock
from monsoonlug.dispatch import (
    MAX_UNREACHED,
    AttemptFailed,
    Attempts,
    Begin,
    DropCounts,
    Refuse,
    Retry,
    RetryBudget,
    Sending,
    TimerFired,
)
from monsoonlug.exceptions import ConnectFailed, HostIsolated
from monsoonlug.fleet import FleetView
from monsoonlug.fleet_messages import FleetServer
from monsoonlug.fleet_targets import FleetTargetFinder
from monsoonlug.gatehost import ClosingTimes, GateId, LiveHost
from monsoonlug.host_weights import LOCAL_CANDIDATES
from monsoonlug.ids import Ran
from monsoonlug.reachability import ReachabilityMonitor
from monsoonlug.subscription import KeyBlocks
from monsoonlug.targets import Target

WAIT = 5.0  # seconds until a test fails
POOL = "desk"


class Network:
    """Servers of which some cannot be connected to, and a monitor of them."""

    def __init__(self, servers, *, active):
        self.servers = servers
        self.other_servers = []
        self.unreachable = set()
        self.connects = []
        self.changed = asyncio.Event()
        self.monitor = ReachabilityMonitor(
            clock=read_clock,
            random=Random(1),
            connect=self._connect,
            list_pools=lambda: {POOL: self.servers, "other": self.other_servers},
            list_active=lambda: active,
            on_unreachable=lambda server, result: None,
            on_reachable=lambda server: None,
            on_change=self.changed.set,
        )

    async def _connect(self, server, timeout):
        self.connects.append(server)
        await asyncio.sleep(0)
        if server in self.unreachable:
            return ConnectResult.NO_ANSWER
        return ConnectResult.ACCEPTED

    async def wait(self, condition):
        async with asyncio.timeout(WAIT):
            while not condition():
                self.changed.clear()
                await self.changed.wait()


async def test_host_without_reachable_servers_is_isolated():
    """Guards against gates that find one cut server after the other."""
    servers = [f"s{number}" for number in range(20)]
    network = Network(servers, active=["s1", "s2"])
    network.unreachable = set(servers)
    network.monitor.check(POOL, "s1")
    await network.wait(lambda: network.monitor.isolated_pools)
    assert network.monitor.unreachable == ["s1", "s2"]
    network.unreachable = {"s2"}
    await network.wait(lambda: not network.monitor.isolated_pools)
    await network.wait(lambda: network.monitor.unreachable == ["s2"])
    network.monitor.stop()


@pytest.mark.parametrize("reachable", ["s2", "s3"])
async def test_host_that_reaches_one_server_is_not_isolated(reachable):
    """Guards against hosts that count as isolated after the loss of some servers.

    The server that is reached is in use in one case and idle in the other.
    """
    servers = ["s1", "s2", "s3"]
    network = Network(servers, active=["s1", "s2"])
    network.unreachable = set(servers) - {reachable}
    network.monitor.check(POOL, "s1")
    await network.wait(lambda: network.monitor.unreachable)
    for _ in range(10):
        await asyncio.sleep(0)
    assert reachable in network.connects
    assert not network.monitor.isolated_pools
    network.monitor.stop()


async def test_host_may_be_isolated_from_one_of_two_pools():
    """Guards against hosts that try each server of a pool of which they reach none."""
    network = Network(["s1", "s2", "s3", "s4"], active=["s1", "t1"])
    network.other_servers = ["t1", "t2", "t3"]
    network.unreachable = set(network.servers)
    network.monitor.check(POOL, "s1")
    await network.wait(lambda: network.monitor.isolated_pools)
    assert network.monitor.isolated_pools == [POOL]
    network.unreachable.update(network.other_servers)
    network.monitor.check("other", "t1")
    await network.wait(lambda: len(network.monitor.isolated_pools) == 2)
    network.monitor.stop()


async def test_requests_during_the_check_do_not_delay_isolation():
    """Guards against a cut host that is found only after some seconds.

    It is sent a request for one more server while it checks the others.
    """
    servers = [f"s{number}" for number in range(9)]
    active = ["s1"]
    network = Network(servers, active=active)
    network.unreachable = set(servers)
    network.monitor.check(POOL, "s1")
    while set(network.connects) == {"s1"} or not network.connects:
        await asyncio.sleep(0)
    active.append(next(item for item in servers if item not in network.connects))
    await network.wait(lambda: network.monitor.isolated_pools)
    assert network.connects.count("s1") <= 2
    network.monitor.stop()


async def test_response_does_not_end_isolation():
    """Guards against a host that changes its mind with each late response.

    Connections may live on while no new one can be opened.
    """
    network = Network(["s1"], active=["s1"])
    network.unreachable = {"s1"}
    network.monitor.check(POOL, "s1")
    await network.wait(lambda: network.monitor.isolated_pools)
    network.monitor.record_contact(POOL)
    assert network.monitor.isolated_pools
    network.unreachable = set()
    await network.wait(lambda: not network.monitor.isolated_pools)
    network.monitor.stop()


async def test_single_lost_server_is_checked_alone():
    """Guards against connections to all servers whenever one of them has ended."""
    network = Network(["s1", "s2", "s3"], active=["s1", "s2"])
    network.unreachable = {"s1"}
    network.monitor.record_contact(POOL)
    network.monitor.check(POOL, "s1")
    await network.wait(lambda: network.monitor.unreachable)
    assert set(network.connects) == {"s1"}
    network.monitor.stop()


class Finder:
    """A target finder that knows one gate and the hosts of three failure domains."""

    def __init__(self, *, local=2, remote=2):
        self.now = 0.0
        self.finder = FleetTargetFinder(
            clock=lambda: self.now,
            random=Random(1),
            host="e0",
            failure_domain="east",
            is_reachable=lambda host: True,
            blocks=KeyBlocks(),
            closing_times=ClosingTimes(),
        )
        self.hosts = []
        for domain, count in (("west", local), ("east", remote), ("north", remote)):
            for number in range(count):
                name = f"{domain[0]}{number}"
                self.hosts.append(
                    LiveHost(host=name, failure_domain=domain, stream=name)
                )
        self.finder.update_hosts(self.hosts)
        gates = {}
        for name in ("s1", "s2"):
            gate = GateId(pool="desk", name=name, failure_domain="west")
            server = FleetServer(
                server=name,
                born=1,
                pool="desk",
                address="10.0.0.1:80",
                failure_domain="west",
                slots=2,
                draining=False,
            )
            gates[gate] = [server]
        self.gate = next(iter(gates))
        self.finder.update_fleet(FleetView(), gates)
        self.target = self.build_target("w0", "s1")

    def build_target(self, host, server):
        return Target(
            host=host, server=server, gate_epoch=0, revision=1, slice=5, pool="desk"
        )

    def choose(self):
        return self.finder._choose_host(self.gate)

    def has_alternative(self):
        return self.finder.has_alternative(self.target, ())

    def isolate(self, host, pools=("desk",)):
        self.finder.update_reachability(host, pools, [])


def test_isolated_hosts_are_avoided_until_they_report_again():
    """Guards against requests that reach no server as the first hosts are all cut."""
    finder = Finder()
    first = finder.choose()
    seen = []
    while finder.has_alternative():
        seen.append(finder.choose())
        finder.isolate(seen[-1])
        finder.now += 10.0
    assert sorted(seen) == sorted(item.host for item in finder.hosts)
    assert {host[0] for host in seen[:2]} == {"w"}
    finder.isolate(first, pools=["another"])
    assert finder.choose() == first


def test_entry_is_unready_only_while_no_host_reaches_servers():
    """Guards against new callers at an entry that must refuse all of them."""
    finder = Finder()
    for host in finder.hosts:
        assert finder.finder.can_serve()
        finder.isolate(host.host)
    assert not finder.finder.can_serve()
    finder.isolate("n1", pools=[])
    assert finder.finder.can_serve()


def test_server_that_some_host_cannot_reach_is_served_by_another():
    """Guards against the same host being tried each second while it is cut."""
    finder = Finder()
    first = finder.choose()
    finder.finder.update_reachability(first, [], ["s1", "s2"])
    finder.now += 10.0
    assert finder.choose() != first
    finder.finder.remove_reachability(first)
    assert finder.choose() == first


def test_server_that_no_host_reaches_is_refused_at_once():
    """Guards against a search through all hosts for a server that has ended."""
    finder = Finder(remote=9)
    tried = set()
    while finder.has_alternative():
        host = finder.choose()
        assert host not in tried
        tried.add(host)
        finder.finder.update_reachability(host, [], ["s1"])
    assert len(tried) == MAX_UNREACHED


def test_hosts_that_miss_servers_which_others_reach_are_no_evidence():
    """Guards against servers that count as lost because most hosts are cut from them.

    The hosts reach other servers, so that they are not isolated.
    """
    finder = Finder(remote=9)
    cut = []
    while finder.has_alternative():
        cut.append(finder.choose())
        finder.finder.update_reachability(cut[-1], [], ["s1", "s2"])
    assert len(cut) == MAX_UNREACHED
    finder.finder.record_wait(finder.build_target("n8", "s2"), 0.1)
    assert finder.has_alternative()
    assert finder.choose() not in cut
    for host in cut:
        finder.finder.update_reachability(host, [], ["s1"])
    assert not finder.has_alternative()


def test_isolated_hosts_are_no_evidence_against_a_server():
    """Guards against servers that count as lost because most hosts are cut off."""
    finder = Finder(remote=3)
    for host in ("w0", "w1", "e0", "e1", "n0"):
        finder.finder.update_reachability(host, ["desk"], ["s1"])
    assert finder.choose() in ("e2", "n1", "n2")


def test_gates_of_a_mostly_cut_domain_spread_over_other_domains():
    """Guards against all gates of a failure domain moving to its last host."""
    finder = Finder(local=12, remote=12)
    for number in range(1, 12):
        finder.isolate(f"w{number}")
    chosen = []
    for number in range(100):
        gate = GateId(pool="desk", name=f"g{number}", failure_domain="west")
        chosen.append(finder.finder._choose_host(gate))
    assert chosen.count("w0") < 100 * (LOCAL_CANDIDATES + 2) / 12
    assert {host[0] for host in chosen} == {"w", "e", "n"}


def fail_until_end(error, *, has_alternative, limit):
    """Returns the last action, and its time, after up to `limit` failed attempts."""
    attempts = Attempts(
        request_id="r",
        idempotent=False,
        pooled=False,
        deadline=60.0,
        budget=RetryBudget(available=0.0),
        drops=DropCounts(),
        random=Random(1),
    )
    attempts.decide(0.0, Begin())
    now = 0.0
    for _ in range(limit):
        attempts.decide(now, Sending(attempt=attempts.attempt))
        failure = AttemptFailed(
            attempt=attempts.attempt,
            request_id="r",
            error=error,
            ran=Ran.NOT_RUN,
            retry_after=0.5,
            has_alternative=has_alternative,
        )
        action = attempts.decide(now, failure)
        if not isinstance(action, Retry):
            break
        now = action.at
        attempts.decide(now, TimerFired())
    return action, now


def test_isolated_hosts_do_not_use_up_the_attempts_at_a_server():
    """Guards against refusals while a fourth host could have served the request."""
    action, now = fail_until_end(HostIsolated, has_alternative=True, limit=8)
    assert isinstance(action, Retry)
    assert now < 0.6


@pytest.mark.parametrize("error", [HostIsolated, ConnectFailed])
def test_request_is_refused_at_once_if_no_host_can_serve_it(error):
    """Guards against requests that wait although nobody can serve them."""
    action, now = fail_until_end(error, has_alternative=False, limit=8)
    assert isinstance(action, Refuse)
    assert action.refusal.ran is Ran.NOT_RUN
    assert action.refusal.retry_after == 0.5
    assert now == 0.0
