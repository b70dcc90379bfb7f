"""Tests of entries that are partitioned from all backend servers for some seconds.

Callers, control and the other entries still reach them.
"""

import asyncio
import time
from random import Random

import pytest

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
from monsoonlug.exceptions import ConnectFailed, ProcessGone, ServerUnreachable
from monsoonlug.fairness import QueuedRequest
from monsoonlug.fleet_targets import UNREACHED_TIME, FleetTargetFinder
from monsoonlug.gate import Outcome
from monsoonlug.gatehost import ClosingTimes, GateId, LiveHost
from monsoonlug.ids import Ran, RequestClass
from monsoonlug.server_speeds import DEFAULT_SERVICE_TIME, ServiceTimeModel
from monsoonlug.serverqueue import MIN_SILENCE, SILENCE_FACTOR, ServerQueue
from monsoonlug.subscription import KeyBlocks
from monsoonlug.targets import Target
from tests.platform_fleet import Cut, PlatformFleet
from tests.platform_load import Load, compute_share

CUT_SECONDS = 4.0
SETTLING_TIME = 2.0  # seconds after the start of a cut, which do not count
HEAL_SECONDS = 1.5
MIN_SERVED_RATIO = 0.9  # of first tries at cut entries to those at the others


@pytest.mark.parametrize("keyed", [False, True])
async def test_cut_entries_serve_their_callers(tmp_path, keyed):
    """Guards against entries that refuse what other entries could serve for them.

    All entries of one failure domain are cut, and the gates of its servers are there.
    """
    zones = ("east", "east", "west")
    async with PlatformFleet(
        tmp_path,
        entries=zones,
        servers=("east", "east", "east", "west", "west"),
        proxied=True,
        keyed=keyed,
    ) as fleet:
        load = Load(fleet)
        task = asyncio.create_task(load.run())
        await asyncio.sleep(1.0)
        cut = next(entry for entry in fleet.entries if entry.zone == "west")
        others = [entry.name for entry in fleet.entries if entry is not cut]
        windows = {}
        for how in Cut:
            await fleet.cut(cut, how)
            since = time.monotonic() + SETTLING_TIME
            await asyncio.sleep(CUT_SECONDS)
            windows[how] = (since, time.monotonic())
            await fleet.heal(cut)
            await asyncio.sleep(HEAL_SECONDS)
        task.cancel()
        await asyncio.sleep(1.0)
        shares = {}
        for how, (since, until) in windows.items():
            counts = load.count(since, until)
            shares[how] = (
                compute_share(counts, [cut.name]),
                compute_share(counts, others),
            )
        print({how.name: pair for how, pair in shares.items()})
        for at_cut, at_others in shares.values():
            assert at_cut >= MIN_SERVED_RATIO * at_others
            assert at_others >= MIN_SERVED_RATIO


@pytest.mark.parametrize("how", Cut)
async def test_callers_are_served_while_most_entries_are_cut(tmp_path, how):
    """Guards against requests that are tried only at cut hosts and then refused.

    Four of five entries are cut, all of one failure domain among them.
    """
    async with PlatformFleet(
        tmp_path,
        entries=("east", "east", "west", "west", "west"),
        servers=("east", "east", "west", "west", "west", "west"),
        proxied=True,
        keyed=True,
    ) as fleet:
        load = Load(fleet)
        task = asyncio.create_task(load.run())
        await asyncio.sleep(1.0)
        cut = fleet.entries[1:]
        await asyncio.gather(*(fleet.cut(entry, how) for entry in cut))
        since = time.monotonic() + SETTLING_TIME
        await asyncio.sleep(CUT_SECONDS)
        until = time.monotonic()
        await asyncio.gather(*(fleet.heal(entry) for entry in cut))
        await asyncio.sleep(HEAL_SECONDS)
        task.cancel()
        await asyncio.sleep(1.0)
        counts = load.count(since, until)
        at_cut = compute_share(counts, [entry.name for entry in cut])
        at_other = compute_share(counts, [fleet.entries[0].name])
        print({name: dict(count) for name, count in sorted(counts.items())})
        assert at_other >= MIN_SERVED_RATIO
        assert at_cut >= MIN_SERVED_RATIO * at_other


class Finder:
    """A target finder with a gate in the failure domain west, in virtual time."""

    def __init__(self):
        self.now = 0.0
        self.finder = FleetTargetFinder(
            clock=lambda: self.now,
            random=Random(1),
            host="e1",
            failure_domain="east",
            is_reachable=lambda host: True,
            blocks=KeyBlocks(),
            closing_times=ClosingTimes(),
        )
        hosts = []
        for name, domain in (("w1", "west"), ("w2", "west"), ("e1", "east")):
            hosts.append(LiveHost(host=name, failure_domain=domain, stream=name))
        self.finder.update_hosts(hosts)
        self.gate = GateId(pool="desk", name="s1", failure_domain="west")

    def choose(self):
        return self.finder._choose_host(self.gate)

    def fail(self, host, error=ConnectFailed):
        target = Target(
            host=host,
            server=self.gate.name,
            gate_epoch=0,
            revision=1,
            pool=self.gate.pool,
        )
        self.finder.record_failure(target, error)


@pytest.mark.parametrize("error", [ConnectFailed, ProcessGone, ServerUnreachable])
def test_host_that_cannot_reach_a_server_is_avoided(error):
    """Guards against requests for a gate whose host is cut from the server.

    A host of another failure domain takes over, as all of this one may be cut.
    """
    finder = Finder()
    first = finder.choose()
    assert first in ("w1", "w2")
    finder.fail(first, error)
    assert finder.choose() == "e1"
    finder.now += UNREACHED_TIME + 0.01
    assert finder.choose() == first


def test_server_that_no_host_reaches_stays_with_its_gate():
    """Guards against a search through all hosts for a server that has ended."""
    finder = Finder()
    first = finder.choose()
    for host in ("w1", "w2", "e1"):
        finder.fail(host)
    assert finder.choose() == first


def test_unreached_server_is_refused_after_a_few_gates():
    """Guards against requests that wait for a server that no host reaches."""
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
    for _ in range(MAX_UNREACHED):
        attempts.decide(now, Sending(attempt=attempts.attempt))
        failure = AttemptFailed(
            attempt=attempts.attempt,
            request_id="r",
            error=ConnectFailed,
            ran=Ran.NOT_RUN,
            retry_after=0.5,
        )
        action = attempts.decide(now, failure)
        if isinstance(action, Retry):
            now = action.at
            attempts.decide(now, TimerFired())
    assert isinstance(action, Refuse)
    assert action.refusal.ran is Ran.NOT_RUN
    assert action.refusal.retry_after == 0.5
    assert now < 0.2


def test_silent_server_is_found_by_overdue_responses():
    """Guards against requests that hang at a cut server until their deadline."""
    queue = ServerQueue(model=ServiceTimeModel())
    queue.set_server("s1", slots=2, cold_rate=0.0)
    for number, at in enumerate((0.0, 0.1)):
        request = QueuedRequest(
            request_id=f"r{number}",
            workspace="w",
            request_class=RequestClass.NORMAL,
            deadline=5.0,
        )
        assert queue.enqueue(at, request, "s1") is None
        assert len(queue.dequeue(at)) == 1
    overdue = max(MIN_SILENCE, SILENCE_FACTOR * DEFAULT_SERVICE_TIME) + 0.01
    assert list(queue.find_silent_servers(overdue - 0.1)) == []
    assert list(queue.find_silent_servers(overdue)) == ["s1"]
    queue.finish(overdue, "r1", "s1", Outcome.ANSWERED)
    assert list(queue.find_silent_servers(overdue + 0.1)) == []
