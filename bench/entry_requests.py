"""Processor time per request of the entries of a small announced fleet.

`python -m bench.entry_requests` runs control, four entries and stand-in servers as
processes and tasks on loopback. It measures the entries while they are idle and while
requests arrive at a fixed rate on connections that are kept. Run it in turn with the
source of each version that is to be compared.
"""

import asyncio
import json
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import cyclopts

from monsoonlug.ids import SLICE_COUNT
from tests.platform_fleet import Node, PlatformFleet

ENTRY_ZONES = ("east", "east", "west", "west")
SERVER_ZONES = ("east", "west") * 6
SETTLE_TIME = 3.0  # seconds after which keys have owners and nothing else starts
SERVICE_TIME = 0.02  # seconds
NANOSECONDS = 1_000_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """What the entries used so far.

    Attributes:
        cpu_seconds: Processor time.
        wakeups: How often a process waited for events.
    """

    cpu_seconds: float
    wakeups: int


def read_usage(nodes: list[Node]) -> Usage:
    """Returns what the processes of all nodes used together."""
    nanoseconds = 0
    wakeups = 0
    for node in nodes:
        folder = Path(f"/proc/{node.process.pid}")
        # The times in `stat` are in steps of 10 ms.
        nanoseconds += int((folder / "schedstat").read_text().split()[0])
        for line in (folder / "status").read_text().splitlines():
            if line.startswith("voluntary_ctxt_switches"):
                wakeups += int(line.split()[1])
    return Usage(cpu_seconds=nanoseconds / NANOSECONDS, wakeups=wakeups)


async def send_load(fleet: PlatformFleet, rate: float, seconds: float) -> int:
    """Sends requests in turn to all entries; returns how many were answered."""
    started_at = time.monotonic()
    count = round(rate * seconds)
    async with asyncio.TaskGroup() as group:
        tasks = []
        for number in range(count):
            entry = fleet.entries[number % len(fleet.entries)]
            sending = fleet.send(
                entry,
                "/lookup/",
                request_id=f"id-{number}-{started_at}",
                key=997 * number % SLICE_COUNT,
            )
            tasks.append(group.create_task(sending))
            due = started_at + (number + 1) / rate
            await asyncio.sleep(max(0.0, due - time.monotonic()))
    return sum(task.result() == 200 for task in tasks)


async def measure(*, rate: float, seconds: float, keyed: bool, fleet_folder: Path):
    """Returns what the entries used while idle and for each request."""
    async with PlatformFleet(
        fleet_folder,
        entries=ENTRY_ZONES,
        servers=SERVER_ZONES,
        keyed=keyed,
        service_time=SERVICE_TIME,
    ) as fleet:
        await asyncio.sleep(SETTLE_TIME)
        first = read_usage(fleet.entries)
        await asyncio.sleep(seconds)
        second = read_usage(fleet.entries)
        answered = await send_load(fleet, rate, seconds)
        third = read_usage(fleet.entries)
    idle = second.cpu_seconds - first.cpu_seconds
    idle_wakeups = second.wakeups - first.wakeups
    count = len(ENTRY_ZONES)
    requests = round(rate * seconds)
    busy = third.cpu_seconds - second.cpu_seconds - idle
    wakeups = third.wakeups - second.wakeups - idle_wakeups
    return {
        "keyed": keyed,
        "answered": f"{answered} of {requests}",
        "idle_ms_per_second": round(1000 * idle / seconds / count, 3),
        "idle_wakeups_per_second": round(idle_wakeups / seconds / count, 1),
        "request_ms": round(1000 * busy / requests, 3),
        "request_wakeups": round(wakeups / requests, 2),
    }


def main(
    *,
    rate: float = 80.0,
    seconds: float = 6.0,
    keyed: bool = False,
    profile: Path | None = None,
) -> None:
    """Measures the entries and prints a JSON report.

    Args:
        rate: Requests per second to all four entries together.
        seconds: Duration of each of the two parts.
        keyed: Whether the pool is routed by key.
        profile: Folder for a cProfile file of each entry; profiling slows them.
    """
    if profile is not None:
        _profile_entries(profile)
    with tempfile.TemporaryDirectory() as folder:
        report = asyncio.run(
            measure(rate=rate, seconds=seconds, keyed=keyed, fleet_folder=Path(folder))
        )
    print(json.dumps(report))


def _profile_entries(folder: Path) -> None:
    """Makes each entry write a profile when it stops."""

    def start(node: Node) -> None:
        executable = sys.executable
        if node.role == "entry":
            output = folder / f"{node.name}.prof"
            script = folder / f"{node.name}.sh"
            script.write_text(
                f'#!/bin/sh\nexec {executable} -m cProfile -o {output} "$@"\n'
            )
            script.chmod(0o700)
            sys.executable = str(script)
        try:
            start_node(node)
        finally:
            sys.executable = executable

    start_node = Node.start
    Node.start = start


if __name__ == "__main__":
    cyclopts.run(main)
