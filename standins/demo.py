"""Demo: runs a whole fleet on the loopback interface under load and process failures.

Three control replicas, three entries and six stand-in servers run as separate
processes. The control leader, one entry and one server are killed during the load.
"""

import asyncio
import hashlib
import json
import sys
import tempfile
from pathlib import Path

from standins.caller import Caller, CallerSettings, Summary
from standins.fleet import Fleet, FleetError

WORKSPACE_KEY = "demo-key-of-the-counter"
REQUEST_RATE = 60.0  # requests per second
DURATION = 4.0  # seconds
KILL_DELAY = 1.0  # seconds


def build_catalogue() -> dict:
    """Returns a catalogue that matches the stand-in servers."""
    digest = hashlib.sha256(WORKSPACE_KEY.encode()).hexdigest()
    common = {"owner": "demo", "request_class": "critical"}
    limits = {"slots": 2, "connections": 130, "cold_rate": 1000.0}
    return {
        "pools": [
            {"name": "booking", "keyed": True, "fenced": True, "limits": limits}
            | common,
            {"name": "payment", "keyed": False, "limits": limits} | common,
        ],
        "workspaces": [
            {
                "name": "counter",
                "limits": {"rate": 200, "burst": 100},
                "key_digests": [digest],
            }
            | common
        ],
        "routes": [
            {
                "name": "look-up",
                "prefix": "/lookup",
                "pool": "booking",
                "idempotent": True,
            }
            | common,
            {
                "name": "reserve",
                "prefix": "/reservation",
                "methods": ["POST"],
                "pool": "booking",
            }
            | common,
            {
                "name": "pay",
                "prefix": "/payment",
                "methods": ["POST"],
                "pool": "payment",
            }
            | common,
        ],
    }


def build_fleet(folder: Path) -> Fleet:
    """Returns the demo's fleet without starting it."""
    fleet = Fleet(folder=folder)
    fleet.add_controls(3)
    fleet.add_entries(3)
    fleet.add_servers("booking", 4, fenced=True, leased=True, cold_seconds=0.0)
    fleet.add_servers("payment", 2, keyed=False, cold_seconds=0.0)
    return fleet


def apply_catalogue(fleet: Fleet, catalogue: dict) -> dict:
    """Applies a catalogue with `monsoonlug apply` and returns the answer.

    Raises:
        FleetError: If the command fails.
    """
    path = fleet.folder / "catalogue.json"
    path.write_text(json.dumps(catalogue))
    done = fleet.run_command("apply", str(path))
    if done.returncode:
        raise FleetError(f"`monsoonlug apply` failed: {done.stdout}{done.stderr}")
    return json.loads(done.stdout)


async def send_requests(
    addresses: list[str], *, seed: int, kill_processes=None
) -> Summary:
    """Sends requests for a fixed time and calls `kill_processes` meanwhile."""
    settings = CallerSettings(
        addresses=addresses,
        rate=REQUEST_RATE,
        seconds=DURATION,
        seed=seed,
        workspace_key=WORKSPACE_KEY,
    )
    running = asyncio.create_task(Caller(settings=settings).run())
    if kill_processes is not None:
        await asyncio.sleep(KILL_DELAY)
        kill_processes()
    return await running


def format_summary(summary: Summary) -> str:
    """Returns a summary as one line of text."""
    parts = [f"{summary.ok} of {summary.sent} answered"]
    for code, count in summary.refused.items():
        parts.append(f"{count} refused ({code}, not run)")
    for reason, count in summary.unknown.items():
        parts.append(f"{count} of unknown outcome ({reason})")
    parts.append(f"{summary.wrong_count} wrong")
    parts.append(f"p50 {summary.p50_ms:.1f} ms, p99 {summary.p99_ms:.1f} ms")
    return ", ".join(parts)


def run(folder: Path) -> int:
    """Runs the demo and returns the exit code."""
    fleet = build_fleet(folder)
    fleet.start()
    try:
        answer = apply_catalogue(fleet, build_catalogue())
        print(f"catalogue in force, configuration revision {answer['config_revision']}")
        fleet.wait_ready(servers=6)
        print("3 control replicas, 3 entries, 6 backend servers, each its own process")
        healthy = asyncio.run(send_requests(fleet.entry_addresses, seed=1))
        print(f"all healthy: {format_summary(healthy)}")
        leader = fleet.find_leader()

        def kill_processes() -> None:
            fleet.controls[leader].kill()
            fleet.entries["host-3"].kill()
            fleet.servers["booking-1"].kill()

        degraded = asyncio.run(
            send_requests(
                fleet.entry_addresses[:2], seed=2, kill_processes=kill_processes
            )
        )
        print(f"{leader}, host-3 and booking-1 killed: {format_summary(degraded)}")
        fleet.wait_ready(servers=5)
        after = asyncio.run(send_requests(fleet.entry_addresses[:2], seed=3))
        print(f"afterwards: {format_summary(after)}")
    except FleetError as error:
        print(f"demo failed: {error}", file=sys.stderr)
        return 1
    finally:
        fleet.stop()
    wrong = healthy.wrong_count + degraded.wrong_count + after.wrong_count
    is_ok = healthy.ok == healthy.sent and after.ok == after.sent and not wrong
    return 0 if is_ok else 1


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as name:
        sys.exit(run(Path(name)))
