"""Tests of what all hosts together send to a cold server, in virtual time.

A cold server must not get more than it tolerates in any second, whichever way it became
cold and whether or not the hosts that send to it have heard of that.
"""

import asyncio

import pytest

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
