"""Runs the daemons under a plan of faults and checks invariants.

Callers and backend servers are stand-ins, and the checks use only what these observe.
Callers reuse connections and send requests that must not run twice.
"""

import shutil
import signal
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from soak.plan import Fault, FaultKind, Role, plan_faults
from standins.fleet import Daemon
from tests.process_fleet import (
    BackgroundLoad,
    ProxiedFleet,
    RevisionMonitor,
    check_executions,
    run_command,
    run_fleet,
)

STEP_INTERVAL = 0.05  # seconds between steps of the fault injector
SAMPLE_INTERVAL = 1.0  # seconds per row of the table
REQUEST_RATE = 60.0  # requests per second
# Shares of look-ups, reservations, payments and large answers.
OPERATION_SHARES = (0.4, 0.4, 0.2, 0.0)
CALLER_TIMEOUT = 6.0  # seconds
FINAL_SUCCESSES = 60  # answers that must succeed after all faults have ended
WITHDRAWN_DIGEST = "0" * 63 + "1"  # digest of a workspace key that no caller uses


@dataclass(slots=True, kw_only=True)
class Sample:
    """Outcomes that callers saw in one interval, and the fault events in it.

    Attributes:
        at: End of the interval, in seconds from the start of the run.
        faults: Begins (`+`) and ends (`-`) of faults.
    """

    at: float
    ok: int
    refused: int
    unknown: int
    faults: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """Outcome of one run.

    Attributes:
        faults: Number of planned faults.
        violations: Descriptions of violated invariants and other errors.
        folder: Logs and executions, kept only after violations.
    """

    seed: int
    faults: int
    samples: list[Sample]
    violations: list[str]
    folder: Path | None


class FaultInjector:
    """Begins and ends the faults of a plan.

    Args:
        fleet: The processes and the links between them.
        faults: The planned faults.
    """

    def __init__(self, *, fleet: ProxiedFleet, faults: list[Fault]):
        self._fleet = fleet
        self._planned = sorted(faults, key=lambda fault: fault.at)
        self._active: list[Fault] = []

    def step(self, now: float) -> Iterator[str]:
        """Begins and ends the faults that are due and yields a text for each."""
        for fault in [item for item in self._active if item.end <= now]:
            self._active.remove(fault)
            self._end(fault)
            yield f"-{self._format_fault(fault)}"
        while self._planned and self._planned[0].at <= now:
            fault = self._planned.pop(0)
            self._active.append(fault)
            self._begin(fault)
            yield f"+{self._format_fault(fault)}"

    def end_all(self) -> None:
        """Ends all active faults."""
        for fault in self._active:
            self._end(fault)
        self._active.clear()

    def _format_fault(self, fault: Fault) -> str:
        return f"{fault.kind.value} {self._find_process(fault).name}"

    def _find_process(self, fault: Fault) -> Daemon:
        return _list_processes(self._fleet)[fault.role][fault.target]

    def _list_links(self, fault: Fault) -> list[str]:
        name = self._find_process(fault).name
        return [link for pair, link in self._fleet.links.items() if name in pair]

    def _begin(self, fault: Fault) -> None:
        daemon = self._find_process(fault)
        proxies = self._fleet.proxies
        match fault.kind:
            case FaultKind.KILL:
                daemon.kill()
            case FaultKind.STOP:
                daemon.signal(signal.SIGTERM)
            case FaultKind.PAUSE:
                daemon.signal(signal.SIGSTOP)
            case FaultKind.PARTITION:
                proxies.block(self._list_links(fault))
            case FaultKind.PARTITION_ONE_WAY:
                proxies.block(self._list_links(fault), one_way=True)
            case FaultKind.DELAY:
                proxies.delay(self._list_links(fault), fault.delay)
            case FaultKind.RESET:
                proxies.reset(self._list_links(fault))

    def _end(self, fault: Fault) -> None:
        daemon = self._find_process(fault)
        proxies = self._fleet.proxies
        match fault.kind:
            case FaultKind.KILL:
                daemon.start()
            case FaultKind.STOP:
                # The restart waits until the graceful stop has completed.
                daemon.process.wait()
                daemon.start()
            case FaultKind.PAUSE:
                daemon.signal(signal.SIGCONT)
            case FaultKind.PARTITION | FaultKind.PARTITION_ONE_WAY:
                proxies.unblock(self._list_links(fault))
            case FaultKind.DELAY:
                proxies.delay(self._list_links(fault), 0.0)


def run_seed(seed: int, seconds: float) -> Result:
    """Runs the plan of a seed and returns the result."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    violations: list[str] = []
    samples: list[Sample] = []
    faults: list[Fault] = []
    try:
        with run_fleet(folder) as fleet:
            groups = _list_processes(fleet)
            sizes = {role: len(daemons) for role, daemons in groups.items()}
            faults = plan_faults(seed, seconds, sizes)
            _run_plan(fleet, seed, faults, seconds, samples)
    except AssertionError as error:
        violations.append(f"{type(error).__name__}: {error}")
    except Exception as error:
        notes = getattr(error, "__notes__", [])
        violations.append(f"{type(error).__name__}: {error} {' '.join(notes)}")
    if not violations:
        shutil.rmtree(folder)
    return Result(
        seed=seed,
        faults=len(faults),
        samples=samples,
        violations=violations,
        folder=folder if violations else None,
    )


def _list_processes(fleet: ProxiedFleet) -> dict[Role, list[Daemon]]:
    return {
        Role.CONTROL: list(fleet.controls.values()),
        Role.ENTRY: list(fleet.entries.values()),
        Role.SERVER: list(fleet.servers.values()),
    }


def _run_plan(
    fleet: ProxiedFleet,
    seed: int,
    faults: list[Fault],
    seconds: float,
    samples: list[Sample],
) -> None:
    injector = FaultInjector(fleet=fleet, faults=faults)
    acknowledged = run_command(fleet, "withdraw", WITHDRAWN_DIGEST)
    load = BackgroundLoad(
        fleet,
        seed=seed,
        rate=REQUEST_RATE,
        shares=OPERATION_SHARES,
        timeout=CALLER_TIMEOUT,
    )
    try:
        with RevisionMonitor(fleet), load:
            _inject_faults(injector, load, seconds, samples)
            injector.end_all()
            fleet.restore()
    finally:
        injector.end_all()
    check_executions(fleet, load)
    check_gates(fleet)
    with BackgroundLoad(
        fleet, seed=seed + 1, rate=REQUEST_RATE, shares=OPERATION_SHARES
    ) as last:
        last.wait_for_successes(FINAL_SUCCESSES)
    check_executions(fleet, load, last)
    status = fleet.read_status()
    assert status["config_revision"] >= acknowledged["config_revision"], status
    assert status["withdrawn_keys"] == 1, "an acknowledged change was lost"


def _inject_faults(
    injector: FaultInjector, load: BackgroundLoad, seconds: float, samples: list[Sample]
) -> None:
    started_at = time.monotonic()
    previous = (0, 0, 0)
    names: list[str] = []
    while (now := time.monotonic() - started_at) < seconds:
        names += injector.step(now)
        if now >= (len(samples) + 1) * SAMPLE_INTERVAL:
            summary = load.summary
            total = (
                summary.ok,
                sum(summary.refused.values()),
                sum(summary.unknown.values()),
            )
            ok, refused, unknown = (
                new - old for new, old in zip(total, previous, strict=True)
            )
            samples.append(
                Sample(at=now, ok=ok, refused=refused, unknown=unknown, faults=names)
            )
            previous = total
            names = []
        time.sleep(STEP_INTERVAL)


def check_gates(fleet: ProxiedFleet) -> None:
    """Checks that the gate epochs received by each server never decrease."""
    highest: dict[str, int] = {}
    for row in fleet.read_executions():
        epoch = row["gate_epoch"]
        assert epoch >= highest.get(row["server"], 0), row
        highest[row["server"]] = epoch
