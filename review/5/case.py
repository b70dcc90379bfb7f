"""A service that is dropped and put back gets new owners while the old ones hold."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import (
    ZONES,
    Fleet,
    Server,
    build_limits,
    build_route,
    build_service,
    build_tenant,
    run_case,
)

SERVICE = "catalogo"
SERVERS = 16
RATE = 100  # requests per second
LOAD_SECONDS = 8.0  # of traffic before the change
DROPPED_SECONDS = 1.0  # from the drop to the next version
MIN_OVERLAP = 0.5  # seconds; the rule's bound
SPEEDS = (0.6, 1.0, 1.4)  # of the servers, as in the site file


class UnevenServer(Server):
    """A server with a speed of its own, on a machine that it shares."""

    slowdown = 100

    async def start(self):
        """Starts the server and the changes of its speed."""
        self.usual_work = self.work * SPEEDS[len(self.fleet.servers) % len(SPEEDS)]
        await super().start()
        self.spawn(self._vary())

    async def _vary(self):
        while True:
            self.slowdown = 300 if random.random() < 0.2 else 100
            self.work = self.usual_work * self.slowdown / 100
            await asyncio.sleep(0.4)


async def play(record, has_trouble):
    """Plays the case and returns what broke the rule."""
    async with Fleet(record, controls=5, entries=4) as fleet:
        await fleet.patch(
            [
                build_route("r-hold", 1, "/holds/", SERVICE),
                build_service(SERVICE, 1, keyed=True, warmup="0s"),
                build_tenant(1),
                build_limits(1),
            ]
        )
        servers = []
        for number in range(SERVERS):
            zone = ZONES[number % len(ZONES)]
            servers.append(UnevenServer(fleet, SERVICE, zone, keyed=True, work=0.06))
        await fleet.add_servers(servers)
        await fleet.wait_ready()
        await fleet.wait_until(lambda: fleet.owners.covers_all(SERVICE), "no owners")
        load = asyncio.create_task(send_load(fleet))
        await asyncio.sleep(LOAD_SECONDS)
        if has_trouble:
            dropped = {
                "routes": [{"name": "r-hold", "version": "00000002"}],
                "services": [{"name": SERVICE, "version": "00000002"}],
            }
            await expect_ack(fleet.patch([], dropped))
        await asyncio.sleep(DROPPED_SECONDS)
        await expect_ack(
            fleet.patch(
                [
                    build_route("r-hold", 3, "/holds/", SERVICE),
                    build_service(SERVICE, 3, keyed=True, warmup="0s"),
                ]
            )
        )
        await asyncio.sleep(6.0)
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
        return judge(record, fleet)


async def expect_ack(order):
    """Waits for an order, which control must acknowledge."""
    answer = await order
    if answer.status != 200:
        raise AssertionError(f"the order got {answer.status}")


async def send_load(fleet):
    """Sends requests with keys of all ranges."""
    tasks = set()
    number = 0
    due = time.monotonic()
    try:
        while True:
            task = asyncio.create_task(
                fleet.send(
                    fleet.entries[number % len(fleet.entries)],
                    "/holds/x",
                    method="POST",
                    body=b"one roll",
                    key=random.randrange(65536),
                )
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            number += 1
            due += 1 / RATE
            await asyncio.sleep(max(0.0, due - time.monotonic()))
    finally:
        await asyncio.gather(*tasks, return_exceptions=True)


def judge(record, fleet):
    """Returns a line for each row of keys that two servers held for too long."""
    broken = []
    for one, two, first, last, since, until in fleet.owners.find_overlaps(
        SERVICE, MIN_OVERLAP
    ):
        broken.append(
            f"OWNER: {one} and {two} both hold keys {first} to {last} from "
            f"{since - record.started:.3f} to {until - record.started:.3f} s"
        )
    return broken


run_case(play, Path(__file__).resolve().parent)
