"""A zone's servers come back cold while all processes of the core are away."""

import asyncio
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import fleet_3 as f  # noqa: E402

HOST = "lights.example"
KEY = "2b9wu3fexd9dnn2ctnfz"
# The servers of till-ledger with their speeds, and the callers' rates at it, by zone.
ZONES = {
    "kingston": ((0.5, 1.0, 1.5), 10.8), "spanish-town": ((1.0, 1.0), 14.3),
    "may-pen": ((1.0, 1.5), 10.4), "portmore": ((1.0,), 13.7),
}
COLD_ZONE = "may-pen"
BURST, BURST_TIME = 1.7, 3.0  # factor, seconds
WORK = 0.11  # seconds at speed 1, that of deposit-charge
DEADLINE = 800  # milliseconds, that of deposit-charge
DOWN_TIME = 4.2  # seconds for which the zone's servers are down
CORE_DOWN_TIME = 0.9  # seconds
WARMUP = 3.0  # seconds
WARMUP_RATE = 3.8  # requests per second
FACTOR, SLACK = 1.5, 5  # `warmupFactor` and `warmupSlack` of the site
ALLOWED = WARMUP_RATE * FACTOR + SLACK


async def call_zone(fleet, number, rate, state):
    """Sends requests to the entry of a zone at a mean rate, and more in a burst."""
    entry = fleet.entries[number]
    pending, sent = set(), 0

    async def send(request_id):
        reply = await fleet.send(entry, f.build_request(
            "PUT", HOST, "/till/deposit", request_id=request_id, key=KEY,
            body=b"{}", deadline=DEADLINE,
        ), 2.0)
        state["counts"][reply.status] = state["counts"].get(reply.status, 0) + 1
        fleet.record.write(f"sent {request_id}: {reply.status}")

    while not state["is_over"]:
        sent += 1
        task = asyncio.create_task(send(f"{number:08x}{sent:08x}"))
        pending.add(task)
        task.add_done_callback(pending.discard)
        is_burst = time.monotonic() < state["burst_until"]
        await asyncio.sleep(random.expovariate(rate * (BURST if is_burst else 1.0)))
    if pending:
        await asyncio.wait(pending, timeout=3.0)


async def warm_up(server, back_at):
    """Lets the pings of a server say how long it stays cold."""
    while True:
        left = max(0.0, back_at + WARMUP - time.monotonic())
        server.warmup = f"{int(left * 1000)}ms"
        await asyncio.sleep(0.02)


def count_most(times):
    """Returns the most requests in one second."""
    return max(
        (sum(1 for t in times if start <= t < start + 1.0) for start in times),
        default=0,
    )


async def check(fleet, has_trouble):
    servers = [
        fleet.add_server("till-ledger", work=WORK / speed, zone=zone)
        for zone, (speeds, _) in ZONES.items() for speed in speeds
    ]
    for server in servers:
        await server.start()
    reply = await fleet.configure([
        f.service("till-ledger", warmup="3s", rate=WARMUP_RATE),
        f.tenant("huka270", [KEY]), f.limits(),
        f.route("r-till", "/till/", "till-ledger", kind="unsafe", host=HOST),
    ])
    if reply.status != 200:
        raise f.CaseError(f"config: {reply}")
    await fleet.wait_ready()
    await asyncio.sleep(4.0)
    counts = {}
    state = {"counts": counts, "is_over": False, "burst_until": 0.0}
    callers = [
        asyncio.create_task(call_zone(fleet, number, rate, state))
        for number, (_, rate) in enumerate(ZONES.values())
    ]
    await asyncio.sleep(4.0)
    zone = COLD_ZONE
    cold = [server for server in servers if server.zone == zone]
    before = len([1 for s in cold for t, *_ in s.runs if t > time.monotonic() - 2.0])
    fleet.record.write(f"servers of {zone} end; {before} runs in the 2 s before")
    for server in cold:
        await server.crash()
    await asyncio.sleep(DOWN_TIME - 0.2)
    if has_trouble:
        fleet.record.write("all processes of the core are killed")
        for node in fleet.controls:
            node.kill()
    await asyncio.sleep(0.2)
    back_at = time.monotonic()
    state["burst_until"] = back_at + BURST_TIME
    fleet.record.write(f"servers of {zone} come back cold, under their ids")
    warmers = []
    for server in cold:
        warmers.append(asyncio.create_task(warm_up(server, back_at)))
        server.warmup = f"{int(WARMUP * 1000)}ms"
        await server.start()
    await asyncio.sleep(CORE_DOWN_TIME - 0.2)
    if has_trouble:
        fleet.record.write("the processes of the core start again")
        for node in fleet.controls:
            node.bootstrap = False
            node.start()
    await asyncio.sleep(WARMUP + 1.0)
    state["is_over"] = True
    await asyncio.wait(callers, timeout=4.0)
    for task in warmers:
        task.cancel()
    findings = []
    for server in cold:
        times = sorted(t for t, *_ in server.runs if back_at <= t < back_at + WARMUP)
        most = count_most(times)
        fleet.record.write(
            f"{server.name} was cold and got {len(times)} requests in {WARMUP} s, "
            f"{most} in one second; {ALLOWED:.2f} are allowed: "
            f"{[round(t - back_at, 2) for t in times]}"
        )
        if most > ALLOWED:
            findings.append(
                f"FAILBACK: {server.name}, cold for {WARMUP} s, got {most} requests in "
                f"one second where {ALLOWED:.2f} are allowed"
            )
    fleet.record.write(f"answers {counts}")
    if not has_trouble and not counts.get(200):
        raise f.CaseError("requests without the disruption were not served")
    return findings


f.run_case(HERE / "record.txt", check, entries=len(ZONES), zones=tuple(ZONES))
