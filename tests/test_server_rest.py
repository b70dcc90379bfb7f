"""Tests of backend servers that ask a host for rest, or say that they shut down."""

import asyncio
import math
import time

import pytest

from monsoonlug.fleet import FleetView
from monsoonlug.fleet_messages import FleetServer
from monsoonlug.gatehost import LEAVING_GRACE, ClosingTimes
from tests.platform_fleet import PlatformFleet
from tests.platform_load import Load, compute_share

REST_SECONDS = 3.0
GRACE_SECONDS = 0.5  # from the response until requests count
MAX_REQUESTS = 2  # in the time of rest
DRAIN_SECONDS = 2.0  # from the first response until no request may arrive
SETTLING_TIME = 2.0  # seconds in which keys move to other servers
MIN_SERVED = 0.9
SERVERS = ("east", "east", "west", "west")


@pytest.mark.parametrize("keyed", [False, True])
async def test_resting_server_gets_no_requests(tmp_path, keyed):
    """Guards against requests to a server that answered 503 with Retry-After.

    What it would have run goes to the other servers.
    """
    async with PlatformFleet(
        tmp_path, entries=("east", "west"), servers=SERVERS, keyed=keyed
    ) as fleet:
        load = Load(fleet)
        task = asyncio.create_task(load.run())
        await asyncio.sleep(1.0)
        server = fleet.servers[0]
        assert server.arrivals
        server.rest = REST_SECONDS
        rested_at = time.monotonic()
        await asyncio.sleep(2 * REST_SECONDS)
        ended_at = time.monotonic()
        task.cancel()
        await asyncio.sleep(1.0)
        counts = load.count(rested_at + SETTLING_TIME, ended_at)
        print({name: dict(count) for name, count in counts.items()})
        arrivals = [at for at, *_ in server.arrivals if at >= rested_at]
        started_at = arrivals[0]
        during_rest = [
            at
            for at in arrivals
            if started_at + GRACE_SECONDS <= at < started_at + REST_SECONDS
        ]
        assert len(during_rest) <= MAX_REQUESTS
        assert compute_share(counts, counts) >= MIN_SERVED


@pytest.mark.parametrize("keyed", [False, True])
async def test_server_that_says_it_leaves_gets_no_requests(tmp_path, keyed):
    """Guards against requests to a server that shuts down without telling control."""
    async with PlatformFleet(
        tmp_path, entries=("east", "west"), servers=SERVERS, keyed=keyed
    ) as fleet:
        load = Load(fleet)
        task = asyncio.create_task(load.run())
        await asyncio.sleep(1.0)
        server = fleet.servers[0]
        server.extra_headers = {"Server-Leaving": "1"}
        left_at = time.monotonic()
        await asyncio.sleep(2 * DRAIN_SECONDS)
        ended_at = time.monotonic()
        task.cancel()
        await asyncio.sleep(1.0)
        arrivals = [at for at, *_ in server.arrivals if at >= left_at]
        late = [at for at in arrivals if at > arrivals[0] + DRAIN_SECONDS]
        assert late == []
        counts = load.count(left_at + SETTLING_TIME, ended_at)
        assert compute_share(counts, counts) >= MIN_SERVED


def build_view(born):
    record = FleetServer(
        server="s1",
        born=born,
        pool="desk",
        address="10.0.0.1:80",
        failure_domain="east",
        slots=2,
        draining=False,
    )
    view = FleetView()
    view.servers["s1"] = record
    return view


def test_host_that_is_cut_off_from_control_closes_a_server_by_its_word():
    """Guards against requests to a server whose shutdown is not in the view."""
    times = ClosingTimes()
    times.update(0.0, build_view(1))
    assert times.find("s1") == math.inf
    times.record_leaving(1.0, "s1", 1)
    times.record_leaving(2.0, "s1", 1)
    times.update(2.5, build_view(1))
    assert times.find("s1") == 1.0 + LEAVING_GRACE < 1.0 + DRAIN_SECONDS
    times.update(3.0, build_view(2))
    assert times.find("s1") == math.inf
