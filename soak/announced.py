"""Runs the daemons of an announced fleet under seeded faults and checks invariants.

The faults are partitions of entries from backend servers; servers that ask for rest,
say that they shut down, or crash; and killed, stopped or paused processes of the
system. Faults of different groups overlap. The checks use only what callers and
servers observe.
"""

import asyncio
import itertools
import shutil
import signal
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from random import Random

from soak.run import Result
from tests.platform_fleet import Cut, Node, PlatformFleet
from tests.platform_load import Load

INITIAL_CALM = 1.5  # seconds without faults at the start
RECOVERY_TIME = 3.0  # seconds without faults at the end
MIN_GAP, MAX_GAP = 0.2, 2.0  # seconds between the starts of two faults
MIN_DURATION, MAX_DURATION = 0.4, 4.0  # seconds
FLAP_INTERVAL = 0.5  # seconds between the changes of a flapping partition
REST_SECONDS = (1.0, 3.0)
REST_GRACE = 0.5  # seconds from a response until requests count
MAX_RESTING_REQUESTS = 2  # from one entry in one rest
RESTART_SECONDS = 1.5  # until a server that ended is back
DRAIN_SECONDS = 2.0  # from a response until no request may arrive
SETTLING_TIME = 2.0  # seconds of a partition that do not count
MIN_SERVED_RATIO = 0.9  # of requests at cut entries to those at the others
MIN_SAMPLE = 100  # requests at cut entries, below which the ratio is not checked
DEADLINE = 1.0  # seconds, of each request
ROUNDING = 0.05  # seconds
LATE_END = 0.5  # seconds after the deadline by which a response has ended
RESPONSE_TIMEOUT = 2.0  # seconds until a caller gives up
CLOSE_TIME = 8.0  # seconds from a signal to stop until all connections are closed
RESPONSE_DELAY = 0.1  # seconds from a server's response until its sender has read it
FINAL_SUCCESSES = 60
FINAL_TIMEOUT = 15.0  # seconds
REFUSALS = frozenset({408, 421, 429, 503})  # which promise that a request did not run
ENTRY_ZONES = ("east", "east", "west", "west", "west")
SERVER_ZONES = ("east", "east", "west", "west", "west", "west")
CONTROL_COUNT = 3


class Kind(Enum):
    """Kind of a fault."""

    CUT = "partition"
    FLAP = "flapping partition"
    REST = "rest"
    LEAVE = "leave"
    CRASH = "crash"
    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"


class Group(Enum):
    """What a fault strikes; at most one fault of a group is active at a time."""

    LINKS = "links"
    SERVERS = "servers"
    ENTRIES = "entries"
    CONTROL = "control"


_KINDS = {
    Group.LINKS: (Kind.CUT, Kind.CUT, Kind.FLAP),
    Group.SERVERS: (Kind.REST, Kind.REST, Kind.LEAVE, Kind.CRASH),
    Group.ENTRIES: (Kind.KILL, Kind.STOP, Kind.PAUSE),
    Group.CONTROL: (Kind.KILL, Kind.STOP, Kind.PAUSE),
}


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedFault:
    """One planned fault.

    Attributes:
        at: Start, in seconds from the start of the run.
        seconds: Duration.
        targets: Indexes of the entries, servers or control replicas that it strikes.
        how: Form of a partition.
        rest: Seconds of rest that a server asks for.
    """

    at: float
    seconds: float
    group: Group
    kind: Kind
    targets: tuple[int, ...]
    how: Cut = Cut.SILENT
    rest: float = 0.0

    @property
    def end(self) -> float:
        """End, in seconds from the start of the run."""
        return self.at + self.seconds


def plan_announced_faults(seed: int, seconds: float) -> list[PlannedFault]:
    """Returns the faults of a seed."""
    random = Random(seed)
    free_at = dict.fromkeys(Group, 0.0)
    faults = []
    at = INITIAL_CALM
    while at < seconds - RECOVERY_TIME:
        group = random.choice(list(Group))
        kind = random.choice(_KINDS[group])
        duration = random.uniform(MIN_DURATION, MAX_DURATION)
        if kind is Kind.LEAVE:
            duration += DRAIN_SECONDS
        if kind in (Kind.LEAVE, Kind.CRASH):
            duration += RESTART_SECONDS
        fault = PlannedFault(
            at=at,
            seconds=min(duration, seconds - RECOVERY_TIME - at),
            group=group,
            kind=kind,
            targets=_choose_targets(random, group),
            how=random.choice(list(Cut)),
            rest=random.choice(REST_SECONDS),
        )
        at += random.uniform(MIN_GAP, MAX_GAP)
        if fault.at < free_at[group]:
            continue
        free_at[group] = fault.end + 1.0
        faults.append(fault)
    return faults


def _choose_targets(random: Random, group: Group) -> tuple[int, ...]:
    if group is Group.LINKS:
        count = random.randint(1, len(ENTRY_ZONES) - 1)
        return tuple(sorted(random.sample(range(len(ENTRY_ZONES)), count)))
    sizes = {
        Group.SERVERS: len(SERVER_ZONES),
        Group.ENTRIES: len(ENTRY_ZONES),
        Group.CONTROL: CONTROL_COUNT,
    }
    return (random.randrange(sizes[group]),)


@dataclass(slots=True, kw_only=True)
class Window:
    """A time in which some entries were cut off and no other fault struck them."""

    since: float
    until: float
    cut: list[str]


@dataclass(slots=True)
class FaultInjector:
    """Begins and ends faults.

    Attributes:
        fleet: The processes, servers and proxies.
        disturbed: Start and end of each time in which a process was struck, by name.
        windows: Times in which entries were cut off.
        ended: Descriptions of processes that had ended before they were struck.
    """

    fleet: PlatformFleet
    disturbed: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    windows: list[Window] = field(default_factory=list)
    ended: list[str] = field(default_factory=list)
    _locks: dict[str, asyncio.Lock] = field(default_factory=dict)

    async def run(self, fault: PlannedFault) -> None:
        """Begins a fault and ends it after its duration."""
        match fault.kind:
            case Kind.CUT:
                await self._cut(fault)
            case Kind.FLAP:
                await self._flap(fault)
            case Kind.REST:
                server = self.fleet.servers[fault.targets[0]]
                server.rest = fault.rest
                await asyncio.sleep(fault.seconds)
                server.rest = 0.0
            case Kind.LEAVE:
                await self._leave(fault)
            case Kind.CRASH:
                await self.fleet.servers[fault.targets[0]].crash()
            case _:
                await self._strike_process(fault)

    async def _cut(self, fault: PlannedFault) -> None:
        entries = [self.fleet.entries[number] for number in fault.targets]
        await asyncio.gather(*(self.fleet.cut(entry, fault.how) for entry in entries))
        since = time.monotonic() + SETTLING_TIME
        await asyncio.sleep(fault.seconds)
        until = time.monotonic()
        if until > since:
            names = [entry.name for entry in entries]
            self.windows.append(Window(since=since, until=until, cut=names))
        await asyncio.gather(*(self.fleet.heal(entry) for entry in entries))

    async def _flap(self, fault: PlannedFault) -> None:
        entries = [self.fleet.entries[number] for number in fault.targets]
        until = time.monotonic() + fault.seconds
        while time.monotonic() < until:
            for entry in entries:
                await self.fleet.cut(entry, fault.how)
            await asyncio.sleep(FLAP_INTERVAL)
            for entry in entries:
                await self.fleet.heal(entry)
            await asyncio.sleep(FLAP_INTERVAL)

    async def _leave(self, fault: PlannedFault) -> None:
        server = self.fleet.servers[fault.targets[0]]
        server.extra_headers = {"Server-Leaving": "1"}
        await asyncio.sleep(max(0.0, fault.seconds - RESTART_SECONDS))
        server.extra_headers = {}
        await server.crash()

    async def _strike_process(self, fault: PlannedFault) -> None:
        group = {
            Group.ENTRIES: self.fleet.entries,
            Group.CONTROL: self.fleet.controls,
        }[fault.group]
        node: Node = group[fault.targets[0]]
        # A graceful stop may last beyond its planned end.
        async with self._locks.setdefault(node.name, asyncio.Lock()):
            await self._strike_node(node, fault)

    async def _strike_node(self, node: Node, fault: PlannedFault) -> None:
        code = node.process.poll()
        if code is not None:
            self.ended.append(f"{node.name} ended by itself with code {code}")
            return
        struck_at = time.monotonic()
        if fault.kind is Kind.PAUSE:
            node.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.seconds)
            node.process.send_signal(signal.SIGCONT)
        elif fault.kind is Kind.STOP:
            node.process.send_signal(signal.SIGTERM)
            await asyncio.to_thread(node.process.wait)
            node.start()
        else:
            node.process.kill()
            await asyncio.to_thread(node.process.wait)
            await asyncio.sleep(fault.seconds)
            node.start()
        times = self.disturbed.setdefault(node.name, [])
        times.append((struck_at, time.monotonic()))

    def is_disturbed(self, name: str, since: float, until: float) -> bool:
        """Returns whether a process was struck, or cut off, in a time."""
        for start, end in self.disturbed.get(name, ()):
            if start < until and since < end:
                return True
        return False


def run_announced_seed(seed: int, seconds: float) -> Result:
    """Runs the plan of a seed and returns the result.

    Odd seeds play a pool with keys, even seeds one without.
    """
    folder = Path(tempfile.mkdtemp(prefix=f"soak-announced-{seed}-"))
    faults = plan_announced_faults(seed, seconds)
    violations: list[str] = []
    try:
        violations += asyncio.run(_run_plan(folder, faults, seconds, keyed=seed % 2))
    except Exception as error:
        violations.append(f"{type(error).__name__}: {error}")
    if not violations:
        shutil.rmtree(folder)
    return Result(
        seed=seed,
        faults=len(faults),
        samples=[],
        violations=violations,
        folder=folder if violations else None,
    )


async def _run_plan(
    folder: Path, faults: list[PlannedFault], seconds: float, *, keyed: bool
) -> list[str]:
    async with PlatformFleet(
        folder,
        controls=CONTROL_COUNT,
        entries=ENTRY_ZONES,
        servers=SERVER_ZONES,
        proxied=True,
        keyed=bool(keyed),
    ) as fleet:
        injector = FaultInjector(fleet=fleet)
        load = Load(fleet)
        callers = asyncio.create_task(load.run())
        started_at = time.monotonic()
        tasks = []
        for fault in faults:
            await asyncio.sleep(started_at + fault.at - time.monotonic())
            tasks.append(asyncio.create_task(injector.run(fault)))
        await asyncio.gather(*tasks)
        await asyncio.sleep(max(0.0, started_at + seconds - time.monotonic()))
        callers.cancel()
        is_back = await _wait_for_successes(fleet)
        violations = [] if is_back else ["no service after the faults had ended"]
        violations += injector.ended
        violations += check_processes(fleet)
        violations += check_runs(fleet, load)
        violations += check_lost_connections(load, injector)
        violations += check_rests(fleet, injector)
        violations += check_leaving(fleet, load, injector)
        violations += check_cut_entries(load, injector)
        return violations


async def _wait_for_successes(fleet: PlatformFleet) -> bool:
    until = time.monotonic() + FINAL_TIMEOUT
    successes = 0
    for number in itertools.count():
        entry = fleet.entries[number % len(fleet.entries)]
        status = await fleet.send(
            entry, "/lookup/", request_id=f"last-{number}", key=997 * number % 65_536
        )
        successes = successes + 1 if status == 200 else 0
        if successes >= FINAL_SUCCESSES:
            return True
        if time.monotonic() > until:
            return False


def check_processes(fleet: PlatformFleet) -> list[str]:
    """Checks that no process has ended by itself."""
    violations = []
    for node in (*fleet.controls, *fleet.entries):
        code = node.process.poll()
        if code is not None:
            violations.append(f"{node.name} ended by itself with code {code}")
    return violations


def check_runs(fleet: PlatformFleet, load: Load) -> list[str]:
    """Checks that requests run at most once, and not if they were refused."""
    runs: Counter[str] = Counter()
    for server in fleet.servers:
        for contact in server.contacts:
            runs[contact.request_id] += not contact.rest
    violations = []
    for outcome in load.outcomes:
        count = runs[outcome.request_id]
        if outcome.is_unsafe and count > 1:
            violations.append(f"{outcome.request_id} ran {count} times")
        if outcome.is_unsafe and outcome.status in REFUSALS and count:
            violations.append(f"{outcome.request_id} ran and got {outcome.status}")
    return violations


def check_lost_connections(load: Load, injector: FaultInjector) -> list[str]:
    """Checks that callers get a response from entries that were not struck."""
    violations = []
    for outcome in load.outcomes:
        if outcome.status is not None:
            continue
        # A response that is incomplete at the deadline ends with its connection.
        if DEADLINE - ROUNDING <= outcome.seconds <= DEADLINE + LATE_END:
            continue
        until = outcome.at + RESPONSE_TIMEOUT
        if not injector.is_disturbed(outcome.entry, outcome.at - CLOSE_TIME, until):
            violations.append(f"{outcome.request_id} got no response")
    return violations


def check_rests(fleet: PlatformFleet, injector: FaultInjector) -> list[str]:
    """Checks that servers get no requests from entries that they asked for rest."""
    violations = []
    names = {entry.ip: entry.name for entry in fleet.entries}
    for server in fleet.servers:
        for contact in server.contacts:
            if not contact.rest:
                continue
            since, until = contact.at + REST_GRACE, contact.at + contact.rest
            name = names[contact.peer]
            if injector.is_disturbed(name, contact.at, until):
                continue
            count = 0
            for other in server.contacts:
                is_counted = other.peer == contact.peer and other.born == contact.born
                count += is_counted and since <= other.at < until
            if count > MAX_RESTING_REQUESTS:
                violations.append(f"{count} requests from {name} in a rest")
    return violations


def check_leaving(
    fleet: PlatformFleet, load: Load, injector: FaultInjector
) -> list[str]:
    """Checks that servers get no requests from entries that know that they leave."""
    violations = []
    sent_at = {outcome.request_id: outcome.at for outcome in load.outcomes}
    names = {entry.ip: entry.name for entry in fleet.entries}
    for server in fleet.servers:
        first: dict[tuple[str, int], float] = {}
        for contact in server.contacts:
            known_at = first.get((contact.peer, contact.born))
            if known_at is not None:
                late = sent_at.get(contact.request_id, 0.0) > known_at + DRAIN_SECONDS
                name = names[contact.peer]
                if late and not injector.is_disturbed(name, known_at, contact.at):
                    violations.append(f"{contact.request_id} reached a leaving server")
            if contact.is_leaving:
                answered_at = contact.at + server.service_time + RESPONSE_DELAY
                first.setdefault((contact.peer, contact.born), answered_at)
    return violations


def check_cut_entries(load: Load, injector: FaultInjector) -> list[str]:
    """Checks that callers of cut entries are served as well as those of the others."""
    at_cut: Counter[int | None] = Counter()
    at_others: Counter[int | None] = Counter()
    for window in injector.windows:
        for name, count in load.count(window.since, window.until).items():
            if injector.is_disturbed(name, window.since - CLOSE_TIME, window.until):
                continue
            (at_cut if name in window.cut else at_others).update(count)
    if min(at_cut.total(), at_others.total()) < MIN_SAMPLE:
        return []
    ratio = (at_cut[200] / at_cut.total()) / (at_others[200] / at_others.total())
    if ratio >= MIN_SERVED_RATIO:
        return []
    return [f"cut entries served {ratio:.2f} as often: {at_cut}, {at_others}"]
