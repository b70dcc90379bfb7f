"""Load of callers on an announced fleet of real processes."""

import asyncio
import itertools
import time
from collections import Counter
from dataclasses import dataclass
from random import Random

from monsoonlug.ids import SLICE_COUNT
from tests.platform_fleet import UNSAFE_PREFIX

RATE = 200  # requests per second to all entries


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """How a request ended.

    Attributes:
        at: When it was sent.
        entry: Name of the entry that it was sent to.
        status: HTTP status, or None if the connection was lost or no response came.
        is_unsafe: Whether it must not run twice.
        seconds: Time until it ended.
    """

    at: float
    entry: str
    status: int | None
    request_id: str
    is_unsafe: bool
    seconds: float


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
        self.outcomes.append(
            Outcome(
                at=at,
                entry=entry.name,
                status=status,
                request_id=f"id-{number}",
                is_unsafe=is_unsafe,
                seconds=time.monotonic() - at,
            )
        )

    def count(self, since, until):
        """Returns by entry the number of requests by status."""
        counts = {}
        for outcome in self.outcomes:
            if since <= outcome.at < until:
                counts.setdefault(outcome.entry, Counter())[outcome.status] += 1
        return counts


def compute_share(counts, names):
    total = sum(sum(counts[name].values()) for name in names)
    return sum(counts[name][200] for name in names) / total
