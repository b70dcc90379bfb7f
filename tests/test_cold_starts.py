"""Tests of what all hosts together send to a cold server, in virtual time.

A cold server must not get more than it tolerates in any second, whichever way it became
cold and whether or not the hosts that send to it have heard of that.
"""

import asyncio
from random import Random

import pytest

from monsoonlug.backend import Contact, HealthReport
from monsoonlug.cold_starts import (
    REPORT_TTL,
    SILENCE_TTL,
    START_MARGIN,
    UNINFORMED_TTL,
    ColdStarts,
)
from monsoonlug.gatehost import COLD_SHARES, GateId
from monsoonlug.http_connections import ContactTracker
from tests.cold_server_simulation import MOST_PER_SECOND, WARM_UP, Fleet
from tests.virtual_time import run_in_virtual_time

SEEDS = range(1, 6)


def play(scenario, **options):
    """Plays a scenario and returns the fleet at its end."""

    async def run():
        async with Fleet(**options) as fleet:
            await asyncio.sleep(2.0)
            await scenario(fleet)
            await asyncio.sleep(WARM_UP + 0.5)
            return fleet

    return run_in_virtual_time(run())


def check_spared(scenario, **options):
    """Plays a scenario with each seed."""
    for seed in SEEDS:
        fleet = play(scenario, seed=seed, **options)
        assert fleet.server.arrivals, f"seed {seed}"
        assert fleet.server.count_most() <= MOST_PER_SECOND, f"seed {seed}"


@pytest.mark.parametrize("is_dark", [False, True])
def test_restarted_server_is_spared_without_news(is_dark):
    """Guards against full load on a server whose restart control does not report."""
    for downtime in (0.05, 0.3, 1.0, 4.0):

        async def restart(fleet, downtime=downtime):
            fleet.has_control = False
            fleet.server.crash(is_dark=is_dark)
            await asyncio.sleep(downtime)
            fleet.server.start()

        check_spared(restart)


def test_server_restarted_behind_a_partition_is_spared():
    """Guards against full load on a cold server that control cannot hear."""

    async def restart(fleet):
        fleet.server.is_heard = False
        fleet.server.crash()
        await asyncio.sleep(0.2)
        fleet.server.start()

    check_spared(restart)


def test_server_is_spared_after_its_domain_returns():
    """Guards against full load on servers that turned cold while out of service."""

    async def take_out(fleet):
        for host in fleet.hosts:
            host.set_in_service(False)
        await asyncio.sleep(4.0)
        fleet.has_control = False
        fleet.server.turn_cold()
        for host in fleet.hosts:
            host.set_in_service(True)

    check_spared(take_out)


def test_cold_server_is_spared_by_the_next_host_of_its_gate():
    """Guards against a new host of a gate that was not told of a cold server."""
    for moved_after in (0.0, 0.3, 1.5):

        async def move(fleet, moved_after=moved_after):
            fleet.uninformed = {1}
            fleet.server.crash()
            await asyncio.sleep(1.0)
            fleet.server.start()
            await asyncio.sleep(moved_after)
            fleet.has_control = False
            fleet.senders = [1]

        check_spared(move)


def test_cold_server_is_spared_by_hosts_that_are_cut_off():
    """Guards against many hosts that each take all others for lost."""

    async def restart(fleet):
        fleet.has_control = False
        fleet.senders = [host.number for host in fleet.hosts]
        for host in fleet.hosts:
            host.rank = host.number
            host.is_informed = False
        await asyncio.sleep(0.5)
        fleet.server.crash()
        await asyncio.sleep(1.0)
        fleet.server.start()

    check_spared(restart, hosts=6)


def test_server_that_turns_cold_while_up_is_spared_by_a_host_without_news():
    """Guards against evidence of a warm server that outlives the news from control."""

    async def turn_cold(fleet):
        fleet.has_control = False
        fleet.hosts[0].is_informed = False
        await asyncio.sleep(2.0)
        fleet.server.turn_cold()

    check_spared(turn_cold)


def test_warm_server_is_used_fully_without_news():
    """Guards against requests that are refused because a warm server may be cold."""

    async def lose_control(fleet):
        fleet.has_control = False
        for host in fleet.hosts:
            host.is_informed = False
        await asyncio.sleep(3.0)

    async def move_and_lose_control(fleet):
        await lose_control(fleet)
        fleet.senders = [1]
        await asyncio.sleep(3.0)
        for host in fleet.hosts:
            host.is_informed = True

    async def rest(fleet):
        await asyncio.sleep(3.0)

    async def rest_longer(fleet):
        await asyncio.sleep(6.0)

    for seed in SEEDS:
        usual = play(rest, seed=seed, rate=15.0)
        fleet = play(lose_control, seed=seed, rate=15.0)
        assert abs(fleet.answered - usual.answered) <= 1
        usual = play(rest_longer, seed=seed, rate=15.0)
        fleet = play(move_and_lose_control, seed=seed, rate=15.0)
        assert abs(fleet.answered - usual.answered) <= 1


class RandomTroubles:
    """Draws what becomes of the server, of control, and of the hosts of the gate."""

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._random = Random(seed)

    async def run(self):
        for _ in range(12):
            draw = self._random.choice(
                (self._crash, self._take_out, self._move, self._lose_news, self._hear)
            )
            await draw()
            await asyncio.sleep(self._random.choice((0.0, 0.2, 0.9, 2.5)))

    async def _crash(self):
        server = self._fleet.server
        server.crash(is_dark=self._random.random() < 0.4)
        await asyncio.sleep(self._random.choice((0.05, 0.4, 1.2, 3.0)))
        server.start()

    async def _take_out(self):
        for host in self._fleet.hosts:
            host.set_in_service(False)
        await asyncio.sleep(4.0)
        self._fleet.server.turn_cold()
        for host in self._fleet.hosts:
            host.set_in_service(True)

    async def _move(self):
        ranks = list(range(len(self._fleet.hosts)))
        self._random.shuffle(ranks)
        for host, rank in zip(self._fleet.hosts, ranks, strict=True):
            host.rank = rank
        count = self._random.randint(1, len(ranks))
        self._fleet.senders = self._random.sample(ranks, count)
        self._fleet.rate = 40.0 / count

    async def _lose_news(self):
        self._fleet.has_control = self._random.random() < 0.5
        self._fleet.server.is_heard = self._random.random() < 0.7
        for host in self._fleet.hosts:
            host.is_informed = self._fleet.has_control and self._random.random() < 0.6
            if not host.is_informed:
                self._fleet.uninformed.add(host.number)

    async def _hear(self):
        self._fleet.has_control = self._fleet.server.is_heard = True
        self._fleet.uninformed.clear()
        for host in self._fleet.hosts:
            host.is_informed = True


@pytest.mark.parametrize("seed", range(1, 13))
def test_cold_server_is_spared_in_random_troubles(seed):
    """Guards against a way to a cold server that no other test names."""

    async def trouble(fleet):
        await RandomTroubles(fleet, seed).run()

    fleet = play(trouble, seed=seed, hosts=4)
    assert fleet.server.count_most() <= MOST_PER_SECOND


# Evidence.


def test_evidence_ends_with_its_contact():
    """Guards against a restarted server that counts as warm by an old response."""
    starts = ColdStarts()
    contact = Contact(since=0.0)

    def is_confirmed(now, *, contact, is_informed=True):
        starts.record_response(now, "s1")
        return starts.is_confirmed(
            now, "s1", contact=contact, warm_up=WARM_UP, is_informed=is_informed
        )

    assert not is_confirmed(1.0, contact=contact)
    assert is_confirmed(WARM_UP, contact=contact)
    assert not is_confirmed(WARM_UP, contact=contact, is_informed=False)
    starts.record_report(
        "s1", HealthReport(asked_at=1.0, cold_until=0.9, contact=contact)
    )
    assert is_confirmed(1.0 + REPORT_TTL / 2, contact=None)
    assert not is_confirmed(1.0 + REPORT_TTL, contact=None)
    assert not is_confirmed(2.0, contact=Contact(since=1.5))
    assert is_confirmed(2.0, contact=contact)
    assert is_confirmed(1.4, contact=contact, is_informed=False)
    assert not is_confirmed(1.0 + UNINFORMED_TTL, contact=contact, is_informed=False)
    starts.doubt(1.25, "s1")
    assert not is_confirmed(1.375, contact=contact)
    assert is_confirmed(1.25 + WARM_UP, contact=contact)
    starts.doubt_all(9.0)
    assert not is_confirmed(9.0, contact=contact)


def test_contact_lasts_while_a_connection_is_open():
    """Guards against a contact that goes on over a restart of the server."""
    tracker = ContactTracker(clock=lambda: 7.0)
    assert tracker.contact is None
    tracker.record_open()
    first = tracker.contact
    assert first.since == 7.0
    tracker.record_open()
    tracker.record_close(is_reset=False)
    assert tracker.contact is first
    tracker.record_open()
    tracker.record_close(is_reset=True)
    assert tracker.contact is not first
    tracker.record_close(is_reset=False)
    assert tracker.contact is None


def test_two_hosts_stay_within_what_a_cold_server_tolerates():
    """Guards against a rate of each host that adds up to too much."""

    async def restart(fleet):
        fleet.has_control = False
        fleet.senders = list(range(len(COLD_SHARES)))
        for host in fleet.hosts:
            host.rank = host.number
        fleet.server.crash()
        await asyncio.sleep(1.0)
        fleet.server.start()

    check_spared(restart)


def test_restarted_server_that_does_not_tell_is_spared():
    """Guards against a health response without a cold start that disproves one."""

    async def restart(fleet):
        fleet.has_control = False
        fleet.server.tells_cold_starts = False
        fleet.server.crash()
        await asyncio.sleep(1.0)
        fleet.server.start()

    check_spared(restart)


def test_named_cold_start_replaces_a_presumed_one():
    """Guards against a server that is spared for longer than it says."""
    starts = ColdStarts()
    contact = Contact(since=5.0)
    starts.record_end(4.0, "s1", WARM_UP)
    starts.record_end(5.0, "s1", WARM_UP)
    presumed = starts.find_end("s1")
    assert presumed == 5.0 + START_MARGIN + WARM_UP
    starts.record_report(
        "s1", HealthReport(asked_at=5.5, cold_until=5.4, contact=contact)
    )
    assert starts.find_end("s1") == presumed
    starts.record_report(
        "s1", HealthReport(asked_at=5.6, cold_until=6.0, contact=contact)
    )
    assert starts.find_end("s1") == 6.0
    starts.record_report(
        "s1", HealthReport(asked_at=5.5, cold_until=9.0, contact=contact)
    )
    assert starts.find_end("s1") == 6.0


def test_next_host_spares_a_server_that_does_not_tell():
    """Guards against a new host of a gate that trusts a health response too much."""

    async def restart(fleet):
        fleet.has_control = False
        fleet.server.tells_cold_starts = False
        fleet.server.crash()
        await asyncio.sleep(1.0)
        fleet.hosts[1].gate_host.record_losses([fleet.server.name])
        fleet.server.start()
        fleet.senders = [1]

    check_spared(restart)


def test_losses_at_other_hosts_do_not_slow_warm_servers():
    """Guards against a host that spares servers which only others cannot reach."""

    async def lose(fleet):
        fleet.hosts[0].gate_host.record_losses([fleet.server.name])
        await asyncio.sleep(3.0)

    async def rest(fleet):
        await asyncio.sleep(3.0)

    for seed in SEEDS:
        usual = play(rest, seed=seed, rate=15.0)
        assert play(lose, seed=seed, rate=15.0).answered == usual.answered


def test_named_cold_starts_make_other_responses_count():
    """Guards against a warm server that is spared although servers tell."""
    starts = ColdStarts()
    starts.record_report("s2", HealthReport(asked_at=1.0, cold_until=2.0, contact=None))
    starts.record_loss(5.0, "s1", WARM_UP)
    assert starts.find_end("s1") < 5.0
    starts.record_end(5.0, "s1", WARM_UP)
    assert starts.find_end("s1") > 5.0 + WARM_UP
    starts.record_report(
        "s1", HealthReport(asked_at=5.5, cold_until=5.4, contact=Contact(since=5.0))
    )
    assert starts.find_end("s1") == 5.4


def test_silent_server_loses_its_evidence():
    """Guards against connections that stay open after a host lost power."""
    starts = ColdStarts()
    contact = Contact(since=0.0)
    report = HealthReport(asked_at=1.0, cold_until=0.9, contact=contact)
    starts.record_report("s1", report)

    def is_confirmed(now):
        return starts.is_confirmed(
            now, "s1", contact=contact, warm_up=WARM_UP, is_informed=True
        )

    assert is_confirmed(1.0 + SILENCE_TTL)
    assert not is_confirmed(1.5 + SILENCE_TTL)
    starts.record_response(2.0, "s1")
    assert is_confirmed(2.0 + SILENCE_TTL)
    assert not is_confirmed(9.0)


def test_idle_connections_do_not_hide_a_restart():
    """Guards against a server that restarts while a host sends it nothing."""

    async def restart(fleet):
        fleet.senders = []
        await asyncio.sleep(1.5)
        fleet.server.is_heard = False
        fleet.server.crash(is_dark=True)
        await asyncio.sleep(1.0)
        fleet.server.start()
        fleet.senders = [0]

    check_spared(restart)


def test_news_that_were_missed_without_requests_are_asked_for():
    """Guards against evidence that outlives an outage of control in a calm time."""

    async def miss(fleet):
        fleet.senders = []
        fleet.has_control = False
        host = fleet.hosts[0]
        host.is_informed = False
        await host.gate_host.probe_servers(lambda gate: False)
        await asyncio.sleep(0.8)
        fleet.server.turn_cold()
        fleet.has_control = True
        fleet.server.is_heard = False
        host.is_informed = True
        fleet.senders = [0]

    check_spared(miss)


def test_server_that_moves_between_gates_of_a_host_is_spared():
    """Guards against a pace that starts anew with each gate of a server."""

    async def move(fleet):
        fleet.has_control = False
        fleet.server.crash()
        await asyncio.sleep(1.0)
        fleet.server.start()
        host = fleet.hosts[0]
        record = host.view.servers[fleet.server.name]
        for number in range(20):
            gate = GateId(
                pool="desk",
                name=f"desk/east/{number}",
                failure_domain=record.failure_domain,
            )
            host.gate_host.update(host.view, {gate: [record]})
            host.gate = gate.name
            await asyncio.sleep(0.09)

    check_spared(move)


def test_requests_that_cannot_be_sent_are_refused_at_once():
    """Guards against requests that wait for a server which does not answer checks."""

    async def silence(fleet):
        fleet.server.answers_health = False
        fleet.hosts[0].is_informed = False
        fleet.hosts[0].rank = 5
        await asyncio.sleep(3.0)

    for seed in SEEDS:
        fleet = play(silence, seed=seed, rate=10.0)
        waits = sorted(fleet.hosts[0].callers.waits[-20:])
        assert waits[10] < 0.25, f"seed {seed}"


def test_next_process_after_a_long_absence_is_not_presumed_cold():
    """Guards against a warm server that is spared as it ended a long time ago."""

    async def return_late(fleet):
        fleet.server.tells_cold_starts = False
        fleet.server.crash()
        await asyncio.sleep(0.3)
        fleet.senders = []
        fleet.server.start()
        await asyncio.sleep(20.0)
        fleet.senders = [0]
        await asyncio.sleep(3.0)

    async def rest(fleet):
        fleet.senders = []
        await asyncio.sleep(20.3)
        fleet.senders = [0]
        await asyncio.sleep(3.0)

    for seed in SEEDS:
        usual = play(rest, seed=seed, rate=15.0)
        fleet = play(return_late, seed=seed, rate=15.0)
        assert fleet.answered >= usual.answered - 20
