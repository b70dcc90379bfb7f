"""A server repeats a refusal late; the router takes it for the answer to its retry."""

import asyncio
import random
import sys
import time
from collections import Counter
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
RATE = 250  # requests per second
WINDOWS = 6  # times in which servers repeat answers
GARBLE_SECONDS = 5.0  # for_s of `garble` "extra late" in the site file
GARBLE_SHARE = 0.6  # share of the servers there
GARBLE_X = 0.03  # share of their answers there
SHED_SECONDS = 8.5  # for_s of `srv_grey` "shed all" in the site file
SHED_X = 0.12  # share of the requests; the site file has 0.55
REFUSALS = (408, 421, 429, 503)  # which promise that a request has not run


class TroubledServer(Server):
    """Sheds some requests, and sends a second copy of some of its answers late.

    Attributes:
        shed: Share of requests that it rejects.
        extra: Share of answers that it sends again.
    """

    shed = 0.0
    extra = 0.0

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self._copies = {}

    def choose_refusal(self, headers, request):
        """Returns the status with which a request is rejected, or None."""
        status = super().choose_refusal(headers, request)
        if status is None and random.random() < self.shed:
            return 503
        return status

    def on_arrival(self, writer, request):
        """Sends the copy of the last answer, where the next answer is expected."""
        copy = self._copies.pop(writer, None)
        if copy is not None:
            self.log(f"sends the answer to {copy[0]} again; {request} has arrived")
            writer.write(copy[1])

    def on_answer(self, writer, request, answer):
        """Keeps a copy of some answers."""
        if random.random() < self.extra:
            self._copies[writer] = (request, answer)


async def play(record, has_trouble):
    """Plays the case and returns what broke the rule."""
    async with Fleet(record, controls=5, entries=4) as fleet:
        await fleet.patch(
            [
                build_route("r-two", 1, "/two/", SERVICE, maxAttempts=2),
                build_route("r-three", 1, "/three/", SERVICE, maxAttempts=3),
                build_service(SERVICE, 1, keyed=True, warmup="0s"),
                build_tenant(1),
                build_limits(1),
            ]
        )
        servers = []
        for number in range(16):
            zone = ZONES[number % len(ZONES)]
            servers.append(TroubledServer(fleet, SERVICE, zone, keyed=True, work=0.01))
        await fleet.add_servers(servers)
        await fleet.wait_ready()
        await fleet.wait_until(lambda: fleet.owners.covers_all(SERVICE), "no owners")
        load = asyncio.create_task(send_load(fleet))
        await asyncio.sleep(1.0)
        for _ in range(WINDOWS):
            if has_trouble:
                await trouble(record, servers)
            else:
                await asyncio.sleep(SHED_SECONDS)
            await asyncio.sleep(0.5)
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
        await asyncio.sleep(2.5)
        return judge(record, fleet)


async def trouble(record, servers):
    """Plays one time of `srv_grey` and one of `garble` within it."""
    record.write(f"all servers shed {SHED_X} of their requests")
    for server in servers:
        server.shed = SHED_X
    await asyncio.sleep(1.0)
    struck = random.sample(servers, round(GARBLE_SHARE * len(servers)))
    record.write(f"{len(struck)} servers send {GARBLE_X} of their answers twice")
    for server in struck:
        server.extra = GARBLE_X
    await asyncio.sleep(GARBLE_SECONDS)
    for server in struck:
        server.extra = 0.0
    record.write("no answers are sent twice")
    await asyncio.sleep(SHED_SECONDS - GARBLE_SECONDS - 1.0)
    for server in servers:
        server.shed = 0.0
    record.write("no requests are shed")


async def send_load(fleet):
    """Sends requests that are not idempotent, each with an id of its own."""
    tasks = set()
    number = 0
    due = time.monotonic()
    try:
        while True:
            task = asyncio.create_task(
                fleet.send(
                    fleet.entries[number % len(fleet.entries)],
                    "/two/x" if number % 2 else "/three/x",
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
    """Returns a line for each request that ran twice, or ran though it was refused."""
    runs = Counter(request for server in fleet.servers for request in server.runs)
    statuses = Counter(
        answer.status if answer else None for answer in fleet.answers.values()
    )
    record.write(f"answers by status: {dict(statuses)}")
    broken = []
    for request, answer in fleet.answers.items():
        if runs[request] > 1:
            broken.append(f"TWICE: request {request} ran {runs[request]} times")
        if answer is not None and answer.status in REFUSALS and runs[request]:
            broken.append(f"REFUSED: {request} was answered {answer.status} and ran")
    return broken


run_case(play, Path(__file__).resolve().parent)
