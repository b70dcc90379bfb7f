"""Tests of requests that crash each backend server that runs them."""

import asyncio
import itertools
import time
from collections import Counter

from tests.platform_fleet import PlatformFleet

DEADLY_PATH = "/lookup/deadly"
CONTACT = 3.0  # seconds in which all hosts must have learned of a deadly request
MAX_LATE_RETRIES = 3  # that may reach servers later than that after the third crash
SECONDS = 9.0  # duration of the load
DEADLY_INTERVAL = 0.25  # seconds between two deadly requests of the callers
SOUND_INTERVAL = 0.025  # seconds between two other requests


async def send_load(fleet, path, interval, outcomes):
    """Sends requests to the entries in turn until cancelled."""
    tasks = set()
    try:
        for number in itertools.count():
            entry = fleet.entries[number % len(fleet.entries)]

            async def send(entry=entry, number=number):
                target = path.format(number=number)
                request_id = f"{target.replace('/', '-')}-{number}"
                status = await fleet.send(entry, target, request_id=request_id)
                outcomes.append((time.monotonic(), status))

            task = asyncio.create_task(send())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(interval)
    finally:
        for task in tasks:
            task.cancel()


async def test_request_that_crashes_servers_is_kept_from_further_ones(tmp_path):
    """Guards against one request that crashes server after server.

    It comes again and again, at every entry, as the bound of the users states it.
    """
    deadly, sound = [], []
    async with PlatformFleet(tmp_path) as fleet:
        for server in fleet.servers:
            server.deadly.add(DEADLY_PATH)
        loads = [
            asyncio.create_task(send_load(fleet, DEADLY_PATH, DEADLY_INTERVAL, deadly)),
            asyncio.create_task(
                send_load(fleet, "/lookup/{number}", SOUND_INTERVAL, sound)
            ),
        ]
        await asyncio.sleep(SECONDS)
        for load in loads:
            load.cancel()
        await asyncio.gather(*loads, return_exceptions=True)
        arrivals = sorted(
            at
            for server in fleet.servers
            for at, path, _ in server.arrivals
            if path == DEADLY_PATH
        )
    crashes = sorted(at for server in fleet.servers for at in server.crashes)
    assert arrivals
    if len(crashes) >= 3:
        late = [at for at in arrivals if at > crashes[2] + CONTACT]
        assert len(late) <= MAX_LATE_RETRIES
    # Requests that run beside a deadly one fail with it, the others are served.
    counts = Counter(status for at, status in sound if at > sound[0][0] + CONTACT)
    assert counts[200] >= 0.95 * sum(counts.values())
