"""Benchmark of the request path: direct calls, a plain proxy and the router.

`python -m bench.path` starts a stand-in server, a pass-through proxy, three control
replicas and two entries as processes. Requests to the router go to the entry that is
not the server's gate, so that each takes the extra hop. Measurements of the targets
alternate, so that changes of the machine's speed affect all of them.
"""

import asyncio
import json
import os
import statistics
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import asdict, dataclass, field
from pathlib import Path

import aiohttp
import cyclopts

from monsoonlug.catalogue import digest_key
from standins.demo import apply_catalogue
from standins.fleet import Fleet, FleetError

CONNECTIONS = 130  # open connections while memory is measured
CONCURRENCY = 16  # concurrent requests while CPU time is measured
WARM_UP_REQUESTS = 100
START_TIMEOUT = 10.0  # seconds
REQUEST_TIMEOUT = 10.0  # seconds
POLL_INTERVAL = 0.05  # seconds
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
MIB = 1_048_576  # bytes
POOL = "bench"
WORKSPACE_KEY = "key-of-the-benchmark"
SERVER_SETTINGS = {
    "server": "bench-1",
    "slots": 1000,
    "connections": 10_000,
    "connect_seconds": 0,
    "work_seconds": 0,
    "cold_seconds": 0,
}


class BenchmarkError(Exception):
    """A process or a target failed, so that there are no results."""


@dataclass(frozen=True, kw_only=True)
class Options:
    """Parameters of a measurement.

    Attributes:
        path: URL path of the requests.
        rounds: Number of rounds.
        requests: Requests to each target in a round, for latency and for CPU time each.
        profile: Folder for a cProfile file of each entry, or None.
    """

    path: str
    rounds: int
    requests: int
    profile: Path | None = None


@dataclass(kw_only=True)
class Target:
    """A path to the server, with its measured values.

    Attributes:
        addresses: Addresses to which requests are sent in turn.
        pids: Processes whose CPU time and memory are measured.
        workspace_key: Workspace key of the requests, or an empty string.
        latencies: Latencies of single requests, in seconds.
        requests: Requests in the measured CPU time.
        cpu_seconds: CPU time of all processes.
        idle_rss: Resident memory of each process before the connections, in bytes.
        rss: Resident memory of each process with all connections open, in bytes.
    """

    name: str
    addresses: Sequence[str]
    pids: Sequence[int]
    workspace_key: str = ""
    latencies: list[float] = field(default_factory=list)
    requests: int = 0
    cpu_seconds: float = 0.0
    idle_rss: list[int] = field(default_factory=list)
    rss: list[int] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True)
class Figures:
    """Results of one target; memory is that of its largest process."""

    median_ms: float
    p99_ms: float
    requests_per_cpu_second: float
    idle_rss_mib: float
    rss_mib: float


def read_cpu_seconds(pid: int) -> float:
    """Returns the CPU time of a process, in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text()
    # The process name in parentheses may contain spaces.
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def read_rss(pid: int) -> int:
    """Returns the resident memory of a process, in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == "VmRSS":
            return int(value.split()[0]) * 1024
    raise BenchmarkError(f"/proc/{pid}/status has no VmRSS line")


@asynccontextmanager
async def run_process(*arguments: str) -> AsyncIterator[tuple[str, int]]:
    """Runs a stand-in and yields its address and process id."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", *arguments, stdout=asyncio.subprocess.PIPE
    )
    try:
        async with asyncio.timeout(START_TIMEOUT):
            line = await process.stdout.readline()
        if not line:
            raise BenchmarkError(f"{arguments[0]} exited before it printed its address")
        yield json.loads(line)["address"], process.pid
    finally:
        if process.returncode is None:
            process.terminate()
        await process.wait()


@asynccontextmanager
async def open_client(target: Target) -> AsyncIterator[aiohttp.ClientSession]:
    """Opens an HTTP client for requests to a target."""
    headers = {}
    if target.workspace_key:
        headers["X-Workspace-Key"] = target.workspace_key
    async with aiohttp.ClientSession(
        headers=headers,
        connector=aiohttp.TCPConnector(limit=CONNECTIONS),
        timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT),
        cookie_jar=aiohttp.DummyCookieJar(),
    ) as client:
        yield client


async def request_once(
    client: aiohttp.ClientSession, options: Options, address: str
) -> float:
    """Sends one request and returns its latency in seconds."""
    started_at = time.perf_counter()
    async with client.get(f"http://{address}{options.path}") as response:
        body = await response.read()
    if response.status != 200:
        raise BenchmarkError(f"{address} answered {response.status}: {body[:200]!r}")
    return time.perf_counter() - started_at


async def wait_ready(options: Options, target: Target) -> None:
    """Waits until every address of a target answers with status 200."""
    async with open_client(target) as client, asyncio.timeout(START_TIMEOUT):
        for address in target.addresses:
            while True:
                try:
                    await request_once(client, options, address)
                    break
                except (BenchmarkError, aiohttp.ClientError):
                    await asyncio.sleep(POLL_INTERVAL)


async def send_many(
    client: aiohttp.ClientSession,
    options: Options,
    target: Target,
    *,
    count: int,
    concurrency: int,
) -> None:
    """Sends requests in a closed loop with a fixed concurrency."""
    remaining = iter(range(count))

    async def send_remaining():
        for number in remaining:
            address = target.addresses[number % len(target.addresses)]
            await request_once(client, options, address)

    async with asyncio.TaskGroup() as group:
        for _ in range(concurrency):
            group.create_task(send_remaining())


async def measure_latencies(options: Options, targets: Sequence[Target]) -> None:
    """Measures latency with one request at a time.

    Requests to the targets alternate, as on a busy machine the latency differs more
    between rounds than between targets.
    """
    async with AsyncExitStack() as stack:
        clients = []
        for target in targets:
            client = await stack.enter_async_context(open_client(target))
            warm_up = {"count": WARM_UP_REQUESTS, "concurrency": 1}
            await send_many(client, options, target, **warm_up)
            clients.append(client)
        for number in range(options.requests):
            for target, client in zip(targets, clients, strict=True):
                address = target.addresses[number % len(target.addresses)]
                latency = await request_once(client, options, address)
                target.latencies.append(latency)


async def measure_cpu(options: Options, target: Target) -> None:
    """Measures the CPU time of concurrent requests."""
    async with open_client(target) as client:
        warm_up = {"count": WARM_UP_REQUESTS, "concurrency": CONCURRENCY}
        await send_many(client, options, target, **warm_up)
        before = sum(read_cpu_seconds(pid) for pid in target.pids)
        await send_many(
            client, options, target, count=options.requests, concurrency=CONCURRENCY
        )
        after = sum(read_cpu_seconds(pid) for pid in target.pids)
        target.cpu_seconds += after - before
        target.requests += options.requests


async def measure_memory(options: Options, target: Target) -> None:
    """Measures memory before and while `CONNECTIONS` connections are open."""
    target.idle_rss.extend(read_rss(pid) for pid in target.pids)
    async with open_client(target) as client:
        load = {"count": 4 * CONNECTIONS, "concurrency": CONNECTIONS}
        await send_many(client, options, target, **load)
        target.rss.extend(read_rss(pid) for pid in target.pids)


def summarize(target: Target) -> Figures:
    """Returns the results of a target."""
    if not target.cpu_seconds:
        raise BenchmarkError(
            f"{target.name}: no CPU time was measured for {target.requests} requests;"
            " send more"
        )
    percentiles = statistics.quantiles(target.latencies, n=100, method="inclusive")
    return Figures(
        median_ms=round(percentiles[49] * 1000, 3),
        p99_ms=round(percentiles[98] * 1000, 3),
        requests_per_cpu_second=round(target.requests / target.cpu_seconds, 1),
        idle_rss_mib=round(max(target.idle_rss) / MIB, 1),
        rss_mib=round(max(target.rss) / MIB, 1),
    )


def compare(figures: Figures, baseline: Figures) -> dict[str, float]:
    """Returns the ratio of each value to that of the baseline."""
    ratios = {}
    for name, value in asdict(figures).items():
        ratios[name] = round(value / getattr(baseline, name), 3)
    return ratios


async def measure(options: Options) -> dict:
    """Starts all processes, measures all targets and returns the report."""
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        fleet = start_fleet(folder, options.profile)
        stack.callback(fleet.stop)
        entries = [entry.settings["announce"] for entry in fleet.entries.values()]
        settings = {**SERVER_SETTINGS, "pool": POOL, "entries": entries}
        path = folder / "server.json"
        path.write_text(json.dumps(settings))
        server, server_pid = await stack.enter_async_context(
            run_process("standins.server", "--settings", str(path))
        )
        passthrough, passthrough_pid = await stack.enter_async_context(
            run_process("standins.passthrough", "--server", server)
        )
        targets = [
            Target(name="direct", addresses=[server], pids=[server_pid]),
            Target(name="passthrough", addresses=[passthrough], pids=[passthrough_pid]),
            await find_router_target(fleet),
        ]
        for target in targets:
            await wait_ready(options, target)
        for _ in range(options.rounds):
            await measure_latencies(options, targets)
            for target in targets:
                await measure_cpu(options, target)
        for target in targets:
            await measure_memory(options, target)
        if options.profile is not None:
            # Entries write their profile when they stop, not when they are killed.
            for entry in fleet.entries.values():
                await asyncio.to_thread(entry.stop)
    figures = {target.name: summarize(target) for target in targets}
    return {
        "options": {"rounds": options.rounds, "requests": options.requests},
        "figures": {name: asdict(item) for name, item in figures.items()},
        "ratios_to_passthrough": {
            name: compare(item, figures["passthrough"])
            for name, item in figures.items()
        },
    }


def start_fleet(folder: Path, profile: Path | None) -> Fleet:
    """Starts control replicas and entries with a catalogue for the stand-in server."""
    fleet = Fleet(folder=folder)
    fleet.add_controls(3)
    fleet.add_entries(2)
    if profile is not None:
        for entry in fleet.entries.values():
            output = str(profile / f"{entry.name}.prof")
            entry.command = ["-m", "cProfile", "-o", output, *entry.command]
    fleet.start()
    common = {"owner": "bench", "request_class": "critical"}
    limits = {"slots": 1000, "connections": 1000, "cold_rate": 1e6, "queue": 1000}
    catalogue = {
        "pools": [{"name": POOL, "keyed": True, "limits": limits} | common],
        "workspaces": [
            {
                "name": "bench",
                "limits": {"rate": 1e6, "burst": 1_000_000},
                "key_digests": [digest_key(WORKSPACE_KEY)],
            }
            | common
        ],
        "routes": [
            {"name": "look-up", "prefix": "/lookup", "pool": POOL, "idempotent": True}
            | common
        ],
    }
    apply_catalogue(fleet, catalogue)
    return fleet


async def find_router_target(fleet: Fleet) -> Target:
    """Returns the target of the router: the entry that is not the server's gate."""
    status = await asyncio.to_thread(fleet.wait_ready, servers=1)
    gate = status["backend_servers"][0]["gate"]
    names = [name for name in fleet.entries if name != gate]
    return Target(
        name="router",
        addresses=[fleet.entries[name].settings["listen"] for name in names],
        pids=[entry.process.pid for entry in fleet.entries.values()],
        workspace_key=WORKSPACE_KEY,
    )


def main(
    *,
    path: str = "/lookup/k1",
    rounds: int = 5,
    requests: int = 2000,
    profile: Path | None = None,
) -> None:
    """Measures the request path and prints a JSON report.

    Args:
        path: URL path of the requests.
        rounds: Number of rounds.
        requests: Requests to each target in a round, for latency and for CPU time each.
        profile: Folder for a cProfile file of each entry; profiling slows the router.
    """
    options = Options(path=path, rounds=rounds, requests=requests, profile=profile)
    try:
        report = asyncio.run(measure(options))
    except (BenchmarkError, FleetError, TimeoutError, ExceptionGroup) as error:
        sys.exit(f"bench.path: no figures: {error!r}")
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    cyclopts.run(main)
