"""Processor time, memory and traffic of daemons that run as processes."""

import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from contextlib import AsyncExitStack, contextmanager, suppress
from pathlib import Path

from bench.large_fleet import write_catalogue
from bench.path import (
    POOL,
    SERVER_SETTINGS,
    WARM_UP_REQUESTS,
    BenchmarkError,
    Options,
    Target,
    find_router_target,
    measure_cpu,
    read_cpu_seconds,
    read_rss,
    run_process,
    start_fleet,
    wait_ready,
)
from bench.series import MICROSECONDS_PER_SECOND, Recorder, Series
from bench.standin_entries import StandinGroup
from standins.demo import apply_catalogue
from standins.fleet import Fleet, FleetError, wait_for

WORKSPACES = 8
LOG_TAIL_SIZE = 2_000  # characters of a daemon's log in an error message
MIN_ANSWERED_SHARE = 0.9  # of heartbeats; with fewer, the leader is overloaded
SETTLE_TIME = 1.5  # seconds between a change of the load and a measurement
PRINT_RSS = "print(open('/proc/self/status').read().split('VmRSS:')[1].split()[0])"
IMPORT_STATEMENTS = (
    ("interpreter", "pass"),
    ("asyncio", "import asyncio"),
    ("msgpack_xxhash", "import msgpack, xxhash"),
    ("loguru", "import loguru"),
    ("pydantic", "import pydantic"),
    ("mode", "import mode"),
    ("aiohttp", "import aiohttp.web"),
    ("all_libraries", "import msgpack, xxhash, loguru, pydantic, mode, aiohttp.web"),
    ("control_imports", "import monsoonlug.control"),
    ("entry_imports", "import monsoonlug.entry"),
    ("command_imports", "import monsoonlug.main"),
)


def measure_imports() -> dict[str, int]:
    """Returns the resident memory, in bytes, of Python after each import."""
    sizes = {}
    for name, statement in IMPORT_STATEMENTS:
        completed = subprocess.run(
            [sys.executable, "-c", f"{statement}\n{PRINT_RSS}"],
            capture_output=True,
            text=True,
            check=True,
            env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
        )
        sizes[name] = int(completed.stdout) * 1024
    return sizes


class ProcessMonitor:
    """Measures processor time and memory of processes over an interval."""

    def __init__(self, *, pids: dict[str, int]):
        self._pids = pids

    async def measure(self, seconds: float) -> tuple[dict[str, float], dict[str, int]]:
        """Returns the share of a core and the resident bytes of each process."""
        before = {name: read_cpu_seconds(pid) for name, pid in self._pids.items()}
        started_at = time.monotonic()
        await asyncio.sleep(seconds)
        elapsed = time.monotonic() - started_at
        shares, sizes = {}, {}
        for name, pid in self._pids.items():
            shares[name] = (read_cpu_seconds(pid) - before[name]) / elapsed
            sizes[name] = read_rss(pid)
        return shares, sizes


@contextmanager
def run_controls(folder: Path):
    """Runs three control replicas with a catalogue and yields the fleet."""
    fleet = Fleet(folder=folder)
    fleet.add_controls(3)
    try:
        fleet.start()
        wait_for(fleet.read_status, timeout=20, what="a status")
        catalogue = json.loads(write_catalogue(pools=1, workspaces=WORKSPACES))
        apply_catalogue(fleet, catalogue)
        yield fleet
    finally:
        fleet.stop()


def list_control_pids(fleet: Fleet) -> dict[str, int]:
    """Returns the process ids of the leader and of one follower.

    Raises:
        FleetError: If no replica is known as leader.
    """
    leader = fleet.find_leader()
    if leader not in fleet.controls:
        raise FleetError("no control replica leads")
    names = [name for name in fleet.controls if name != leader]
    return {
        "leader": fleet.controls[leader].process.pid,
        "follower": fleet.controls[names[0]].process.pid,
    }


def list_stream_addresses(fleet: Fleet) -> dict[str, str]:
    """Returns the stream address of each control replica."""
    members = next(iter(fleet.controls.values())).settings["members"]
    return {member["replica"]: member["stream"] for member in members}


def check_running(fleet: Fleet) -> None:
    """Checks that all control replicas run.

    Raises:
        BenchmarkError: With the end of the log of a replica that has stopped.
    """
    for name, daemon in fleet.controls.items():
        if not daemon.is_running:
            code, log = daemon.process.returncode, daemon.read_log()[-LOG_TAIL_SIZE:]
            raise BenchmarkError(f"{name} stopped with exit code {code}: {log}")


async def measure_leader(sizes: Sequence[int], *, seconds: float) -> list[Series]:
    """Measures control replicas by number of stand-in entries with heartbeats.

    Args:
        sizes: Numbers of stand-in entries, in ascending order.
        seconds: Duration of one measurement.
    """
    recorder = Recorder(section="control", variable="hosts")
    with tempfile.TemporaryDirectory() as folder, run_controls(Path(folder)) as fleet:
        group = StandinGroup(
            addresses=list_stream_addresses(fleet),
            leader=fleet.find_leader(),
            workspaces=WORKSPACES,
        )
        try:
            for size in sizes:
                await group.grow(size)
                await asyncio.sleep(SETTLE_TIME)
                check_running(fleet)
                # An overloaded group may have no leader; the previous processes stay.
                with suppress(FleetError):
                    pids = await asyncio.to_thread(list_control_pids, fleet)
                monitor = ProcessMonitor(pids=pids)
                await _measure_load(recorder, size, group, monitor, seconds)
                status = await asyncio.to_thread(fleet.read_status)
                if status is not None:
                    recorder.add(size, "status", "bytes", len(json.dumps(status)))
        except BenchmarkError as error:
            # The smaller sizes still give slopes.
            print(f"control with {size} hosts: {error}", file=sys.stderr)
        finally:
            await group.stop()
    return recorder.list_series()


async def _measure_load(
    recorder: Recorder,
    size: int,
    group: StandinGroup,
    monitor: ProcessMonitor,
    seconds: float,
) -> None:
    counters = (
        "bytes_sent",
        "bytes_received",
        "heartbeats_sent",
        "heartbeats_answered",
        "redirects",
    )
    before = {name: group.sum_counter(name) for name in counters}
    shares, sizes = await monitor.measure(seconds)
    counts = {name: group.sum_counter(name) - before[name] for name in counters}
    heartbeats = counts["heartbeats_sent"]
    answered = counts["heartbeats_answered"] / heartbeats
    recorder.add(size, "beats", "per second", heartbeats / seconds)
    recorder.add(size, "beats_answered", "share", answered)
    recorder.add(size, "redirects", "per second", counts["redirects"] / seconds)
    if answered < MIN_ANSWERED_SHARE:
        return
    for name, share in shares.items():
        recorder.add(size, f"{name}_core", "share", share)
        recorder.add(size, f"{name}_memory", "bytes", sizes[name])
    recorder.add(
        size, "sent_by_entry", "bytes per beat", counts["bytes_sent"] / heartbeats
    )
    recorder.add(
        size,
        "received_by_entry",
        "bytes per beat",
        counts["bytes_received"] / heartbeats,
    )


async def measure_entry(
    sizes: Sequence[int], *, seconds: float, cold_seconds: float
) -> list[Series]:
    """Measures an entry without requests by number of servers whose gate it is.

    Args:
        sizes: Numbers of servers, in ascending order.
        seconds: Duration of one measurement.
        cold_seconds: Seconds until slices no longer move to a cold server.
    """
    recorder = Recorder(section="idle_entry", variable="servers")
    with tempfile.TemporaryDirectory() as folder, run_controls(Path(folder)) as fleet:
        fleet.add_entries(1)
        entry = next(iter(fleet.entries.values()))
        entry.start()
        monitor = ProcessMonitor(pids={"entry": entry.process.pid})
        fleet.add_servers("pool-0", max(sizes), cold_seconds=0.0)
        servers = list(fleet.servers.values())
        for size in sizes:
            for server in servers[:size]:
                if not server.is_running:
                    server.start()
            if size:
                await asyncio.to_thread(fleet.wait_ready, servers=size)
                await asyncio.sleep(cold_seconds)
            await asyncio.sleep(SETTLE_TIME)
            shares, memory = await monitor.measure(seconds)
            recorder.add(size, "core", "share", shares["entry"])
            recorder.add(size, "memory", "bytes", memory["entry"])
    return recorder.list_series()


def measure_client(*, repeat: int) -> dict[str, float]:
    """Returns processor time in us and peak memory in bytes of `monsoonlug status`.

    The peak is an upper bound, as it includes this process's image before the exec.
    """
    times, peaks = [], []
    with tempfile.TemporaryDirectory() as folder, run_controls(Path(folder)) as fleet:
        address = fleet.operator_addresses[0]
        for _ in range(repeat):
            command = [sys.executable, "-m", "monsoonlug.main", "status", "--json"]
            process = subprocess.Popen(
                [*command, "--control", address], stdout=subprocess.DEVNULL
            )
            _, _, usage = os.wait4(process.pid, 0)
            process.returncode = 0
            times.append((usage.ru_utime + usage.ru_stime) * MICROSECONDS_PER_SECOND)
            peaks.append(usage.ru_maxrss * 1024)
    middle = repeat // 2
    return {"cpu": sorted(times)[middle], "memory": sorted(peaks)[middle]}


async def measure_path(*, requests: int, rounds: int) -> dict[str, float]:
    """Returns processor time per request, in us, of an entry as front and as gate.

    The result also holds the resident memory, in bytes, of the larger entry.
    """
    totals = {"front": 0.0, "gate": 0.0}
    options = Options(path="/lookup/k1", rounds=rounds, requests=requests)
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        fleet = start_fleet(folder)
        stack.callback(fleet.stop)
        entries = [item.settings["announce"] for item in fleet.entries.values()]
        path = folder / "server.json"
        path.write_text(
            json.dumps({**SERVER_SETTINGS, "pool": POOL, "entries": entries})
        )
        await stack.enter_async_context(
            run_process("standins.server", "--settings", str(path))
        )
        target = await find_router_target(fleet)
        pids = _find_router_pids(fleet, target)
        await wait_ready(options, target)
        idle, _ = await ProcessMonitor(pids=pids).measure(SETTLE_TIME)
        for _ in range(rounds):
            await _add_request_times(totals, options, target, pids, idle)
        memory = max(read_rss(pid) for pid in pids.values())
    figures = {name: value / rounds for name, value in totals.items()}
    return figures | {"memory": float(memory)}


def _find_router_pids(fleet: Fleet, target: Target) -> dict[str, int]:
    pids = {}
    for entry in fleet.entries.values():
        is_front = entry.settings["listen"] in target.addresses
        pids["front" if is_front else "gate"] = entry.process.pid
    return pids


async def _add_request_times(
    totals: dict[str, float],
    options: Options,
    target: Target,
    pids: dict[str, int],
    idle: dict[str, float],
) -> None:
    # `measure_cpu` sends warm-up requests too, so all requests are counted.
    before = {name: read_cpu_seconds(pid) for name, pid in pids.items()}
    started_at = time.monotonic()
    await measure_cpu(options, target)
    elapsed = time.monotonic() - started_at
    sent = options.requests + WARM_UP_REQUESTS
    for name, pid in pids.items():
        used = read_cpu_seconds(pid) - before[name] - idle[name] * elapsed
        totals[name] += used / sent * MICROSECONDS_PER_SECOND
