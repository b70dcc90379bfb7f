"""An entry is killed; another one closes its callers' connections without an answer."""

import asyncio
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import (
    HOST,
    KEY,
    ZONES,
    Fleet,
    Server,
    build_limits,
    build_route,
    build_service,
    build_tenant,
    read_body,
    read_head,
    run_case,
)

SERVICE = "catalogo"
SERVERS = 28
WORK = 0.29  # seconds; the mean of `roll-hold` in the site file
CALLERS = 14  # kept connections to each entry
DEADLINE = 1.4  # seconds; the route's timeout is 1.5 s
KILLS = 3
DOWN_SECONDS = 1.5  # until a killed process is started again
PAUSE = 5.0  # seconds until the next kill
MAX_CLOSED = 3  # the rule's bound


class StreamingServer(Server):
    """Sends the head of an answer when it begins to work, the body when it is done."""

    async def run_request(self, writer, request):
        """Does the work of a request and answers it with the request's id."""
        body = request.encode()
        stamp = [("X-Monsoonlug-Server-Stamp", f"{self.id}.{len(self.runs)}")]
        answer = self.build_answer(200, request, body, stamp)
        writer.write(answer[: -len(body)])
        await asyncio.sleep(self.work)
        writer.write(body)


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """How a request ended.

    Attributes:
        is_kept: Whether its connection had carried a request before.
        received: Bytes of an answer that arrived before the connection ended, or -1 if
            it did not end.
        is_last: Whether the answer says that the connection is closed after it.
    """

    entry: str
    request: str
    method: str
    status: int | None
    is_kept: bool
    received: int
    seconds: float
    is_last: bool


class Caller:
    """Sends one request after the other on a kept connection to one entry."""

    def __init__(self, fleet, entry, number, outcomes):
        self._fleet = fleet
        self._entry = entry
        self._number = number
        self._outcomes = outcomes
        self._sent = 0
        self.is_stopped = False

    async def run(self):
        """Sends requests until it is stopped."""
        host, port = self._entry.address.split(":")
        while not self.is_stopped:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.2)
                continue
            is_kept = False
            while not self.is_stopped:
                outcome = await self._send(reader, writer, is_kept)
                self._outcomes.append(outcome)
                if outcome.status is None or outcome.is_last:
                    break
                is_kept = True
                await asyncio.sleep(0.02)
            writer.close()

    async def _send(self, reader, writer, is_kept):
        self._sent += 1
        request = f"{self._entry.name}-{self._number}-{self._sent}"
        method, target, body = (
            ("GET", "/swatches/x", b"")
            if self._sent % 2
            else ("POST", "/holds/x", b"1")
        )
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Monsoonlug-Request-Id: {request}",
            f"X-Monsoonlug-Deadline-Ms: {round(1000 * DEADLINE)}",
            f"Authorization: Bearer {KEY}",
            f"X-Monsoonlug-Shard-Key: {random.randrange(65536)}",
            f"Content-Length: {len(body)}",
        ]
        record = self._fleet.record
        record.write(f"caller sends {request} {method} (kept: {is_kept})")
        sent_at = time.monotonic()
        status = None
        is_last = False
        received = -1
        try:
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            async with asyncio.timeout(DEADLINE + 1.0):
                first, headers = await read_head(reader)
                await read_body(reader, headers)
            status = int(first.split()[1])
            is_last = headers.get("connection", "").lower() == "close"
        except asyncio.IncompleteReadError as error:
            received = len(error.partial)
        except ConnectionError:
            received = 0
        except TimeoutError:
            received = -1
        seconds = time.monotonic() - sent_at
        record.write(
            f"caller of {request}: "
            + (
                f"gets {status}"
                if status
                else f"closed after {received} bytes, {seconds:.3f} s"
            )
        )
        return Outcome(
            entry=self._entry.name,
            request=request,
            method=method,
            status=status,
            is_kept=is_kept,
            received=received,
            seconds=seconds,
            is_last=is_last,
        )


async def play(record, has_trouble):
    """Plays the case and returns what broke the rule."""
    async with Fleet(record, controls=5, entries=4) as fleet:
        await fleet.patch(
            [
                build_route("r-swatch", 1, "/swatches/", SERVICE, "safe"),
                build_route("r-hold", 1, "/holds/", SERVICE),
                build_service(SERVICE, 1, keyed=True, warmup="0s"),
                build_tenant(1),
                build_limits(1),
            ]
        )
        servers = []
        for number in range(SERVERS):
            zone = ZONES[number % len(ZONES)]
            servers.append(StreamingServer(fleet, SERVICE, zone, keyed=True, work=WORK))
        await fleet.add_servers(servers)
        await fleet.wait_ready()
        await fleet.wait_until(lambda: fleet.owners.covers_all(SERVICE), "no owners")
        outcomes = []
        callers = []
        for entry in fleet.entries:
            for number in range(CALLERS):
                callers.append(Caller(fleet, entry, number, outcomes))
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        await asyncio.sleep(4.0)
        for entry in fleet.entries[1 : 1 + KILLS]:
            if has_trouble:
                record.write(f"{entry.name} is killed")
                await entry.kill()
            await asyncio.sleep(DOWN_SECONDS)
            if has_trouble:
                await entry.start()
                record.write(f"{entry.name} is started")
            await asyncio.sleep(PAUSE)
        for caller in callers:
            caller.is_stopped = True
        await asyncio.gather(*tasks)
        return judge(record, fleet, outcomes)


def judge(record, fleet, outcomes):
    """Returns a line if the entry that was never struck closed too many connections."""
    name = fleet.entries[0].name
    runs = {request for server in fleet.servers for request in server.runs}
    own = [item for item in outcomes if item.entry == name]
    statuses = Counter(item.status for item in own)
    record.write(f"answers of {name} by status: {dict(statuses)}")
    closed = []
    for item in own:
        is_early = item.seconds < DEADLINE
        if item.is_kept and item.received == 0 and is_early and item.request in runs:
            closed.append(item)
            record.write(
                f"{name} closed the kept connection of {item.method} {item.request} "
                f"without an answer after {item.seconds:.3f} s"
            )
    if len(closed) <= MAX_CLOSED:
        return []
    methods = Counter(item.method for item in closed)
    return [
        f"LOST: {name}, in touch all the while, closed {len(closed)} kept connections "
        f"without an answer to a request that it had passed on ({dict(methods)})"
    ]


run_case(play, Path(__file__).resolve().parent)
