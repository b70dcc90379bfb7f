"""A ping that arrives late at a new control leader takes keys from their holder."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import (
    PING_TIMEOUT,
    ZONES,
    Fleet,
    Server,
    build_limits,
    build_route,
    build_service,
    build_tenant,
    call,
    run_case,
)

SERVICE = "catalogo"
FREEZE_SECONDS = 4.0  # for_s of `node_freeze` on core in the site file
MAX_LATE_SECONDS = 10.0  # a ping "may arrive seconds late"
MIN_OVERLAP = 0.5  # seconds; the rule's bound
HOME, AWAY = ZONES[0], ZONES[2]


class SlowLinkServer(Server):
    """A server of which two pings to control are held up on their way.

    Attributes:
        is_held_up: Whether its next pings with freed rows are held up.
        late: Node, time of sending and content of the pings that were held up.
    """

    is_held_up = False

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.late = []

    async def send_ping(self):
        """Sends a ping; two that are held up end with a time-out each."""
        if self.is_held_up and self.freed:
            self.is_held_up = False
            nodes = [n for n in self.fleet.controls if n.address != self.url]
            first = self.fleet.servers.index(self)
            for step in range(2):
                node = nodes[(first + 2 * step + first // len(nodes)) % len(nodes)]
                ping = self.build_ping()
                self.late.append((node, time.monotonic(), ping))
                self.log(
                    f"ping {ping['sequence']} to {node.name} is held up; "
                    f"freed {ping['freed']}"
                )
                await asyncio.sleep(PING_TIMEOUT)
            self.url = ""
        await super().send_ping()

    async def deliver_late(self, node):
        """Delivers the pings that were held up on their way to a node."""
        for to, sent_at, ping in self.late:
            if to is not node:
                continue
            seconds = time.monotonic() - sent_at
            self.log(
                f"ping {ping['sequence']} arrives at {node.name}, {seconds:.1f} s late"
            )
            if seconds > MAX_LATE_SECONDS:
                continue
            path = f"/monsoonlug/Instances.Heartbeat/{self.id}"
            headers = {"Content-Type": "application/json"}
            body = json.dumps(ping).encode()
            answer = await call(node.address, "POST", path, headers=headers, body=body)
            # The server has closed its end long ago, so nobody takes this answer.
            self.log(f"the answer to the late ping {ping['sequence']}: {answer.status}")


async def play(record, has_trouble):
    """Plays the case and returns what broke the rule."""
    async with Fleet(record, controls=5, entries=2) as fleet:
        await fleet.patch(
            [
                build_route("r-hold", 1, "/holds/", SERVICE),
                build_service(SERVICE, 1, keyed=True, warmup="0s"),
                build_tenant(1),
                build_limits(1),
            ]
        )
        home = []
        away = []
        for _ in range(12):
            home.append(SlowLinkServer(fleet, SERVICE, HOME, keyed=True))
            away.append(Server(fleet, SERVICE, AWAY, keyed=True))
        await fleet.add_servers([*home, *away])
        await fleet.wait_ready()
        await fleet.wait_until(lambda: fleet.owners.covers_all(SERVICE), "no owners")
        # Planned work: one zone is emptied and taken back, then the other.
        for server in home:
            server.is_held_up = has_trouble
        await empty_zone(fleet, HOME, home)
        await empty_zone(fleet, AWAY, away)
        leader = await fleet.find_leader()
        if has_trouble:
            await freeze(fleet, leader, home)
        else:
            await asyncio.sleep(FREEZE_SECONDS)
        await asyncio.sleep(3.0)
        return judge(record, fleet)


async def empty_zone(fleet, zone, servers):
    """Takes a zone out of service, waits until its servers are empty, takes it back."""
    await fleet.order("POST", f"/monsoonlug/Evacuations.Start/{zone}")

    def is_empty():
        if any(item.holds or item.freed or item.releasing for item in servers):
            return False
        return fleet.owners.covers_all(SERVICE)

    await fleet.wait_until(is_empty, f"zone {zone} is not empty")
    await fleet.order("POST", f"/monsoonlug/Evacuations.End/{zone}")


async def freeze(fleet, leader, servers):
    """Freezes the leader; the late pings arrive when another node leads."""
    frozen_at = time.monotonic()
    fleet.record.write(f"{leader.name}, which leads, is frozen")
    leader.send_signal(signal.SIGSTOP)
    others = [node for node in fleet.controls if node is not leader]
    found = None
    while found is None and time.monotonic() - frozen_at < FREEZE_SECONDS:
        answered = await asyncio.gather(*(is_leader(node) for node in others))
        for node, leads in zip(others, answered, strict=True):
            found = node if leads else found
        await asyncio.sleep(0.02)
    if found is not None:
        fleet.record.write(f"{found.name} leads now")
        await asyncio.gather(*(item.deliver_late(found) for item in servers))
    await asyncio.sleep(max(0.0, FREEZE_SECONDS - (time.monotonic() - frozen_at)))
    leader.send_signal(signal.SIGCONT)
    fleet.record.write(f"{leader.name} runs again")


async def is_leader(node):
    """Returns whether a node answers an operator's call itself."""
    try:
        answer = await call(node.address, "GET", "/monsoonlug/Config.Get", timeout=0.3)
    except (OSError, EOFError, TimeoutError):
        return False
    return answer.status == 200


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
