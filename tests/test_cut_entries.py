"""Tests of entries that are partitioned from all backend servers for some seconds.

Callers, control and the other entries still reach them.
"""

import asyncio
import itertools
import time
from collections import Counter
from random import Random

import pytest

from monsoonlug.ids import SLICE_COUNT
from tests.platform_fleet import UNSAFE_PREFIX, Cut, PlatformFleet

RATE = 200  # requests per second to all entries
CUT_SECONDS = 4.0
SETTLING_TIME = 2.0  # seconds after the start of a cut, which do not count
HEAL_SECONDS = 1.5
MIN_SERVED_RATIO = 0.9  # of first tries at cut entries to those at the others


class Load:
    """Callers that keep their connections, in turn at each entry."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.outcomes = []
        self._tasks = set()
        self._random = Random(1)

    async def run(self):
        started_at = time.monotonic()
        for number in itertools.count():
            entry = self.fleet.entries[number % len(self.fleet.entries)]
            task = asyncio.create_task(self._send(entry, number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            pause = started_at + (number + 1) / RATE - time.monotonic()
            await asyncio.sleep(max(0.0, pause))

    async def _send(self, entry, number):
        at = time.monotonic()
        is_unsafe = number % 4 == 0
        status = await self.fleet.send(
            entry,
            UNSAFE_PREFIX if is_unsafe else "/lookup/",
            request_id=f"id-{number}",
            body=b"x" if is_unsafe else None,
            key=self._random.randrange(SLICE_COUNT),
        )
        self.outcomes.append((at, entry.name, status))

    def count(self, since, until):
        """Returns by entry the number of requests by status."""
        counts = {}
        for at, name, status in self.outcomes:
            if since <= at < until:
                counts.setdefault(name, Counter())[status] += 1
        return counts


def compute_share(counts, names):
    total = sum(sum(counts[name].values()) for name in names)
    return sum(counts[name][200] for name in names) / total


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
