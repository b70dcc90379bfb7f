"""Runs the real programs under a plan of faults and checks what must always hold.

Callers and backend servers are stand-ins; only what they see is judged. Callers keep
their connections, and send requests that must not run twice.
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

TICK = 0.05  # seconds between two looks at the plan
SAMPLE_TIME = 1.0  # seconds of one row of the table
RATE = 60.0  # requests per second
SHARES = (0.4, 0.4, 0.2, 0.0)  # of look-ups, reservations, payments, large answers
CALLER_TIMEOUT = 6.0  # seconds
LAST_CALLS = 60  # answers that must be good once all faults are over
WITHDRAWN = "0" * 63 + "1"  # digest of a key that no caller has


@dataclass(slots=True, kw_only=True)
class Sample:
    """What callers were told in one second, and the faults that began in it."""

    at: float
    ok: int
    refused: int
    unknown: int
    faults: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """Outcome of one run.

    Attributes:
        broken: What did not hold; empty if all did.
        folder: Logs and executions, kept if something did not hold.
    """

    seed: int
    faults: int
    samples: list[Sample]
    broken: list[str]
    folder: Path | None


class Injector:
    """Begins and ends the faults of a plan.

    Args:
        fleet: The processes.
        faults: The plan.
    """

    def __init__(self, *, fleet: ProxiedFleet, faults: list[Fault]):
        self._fleet = fleet
        self._waiting = sorted(faults, key=lambda fault: fault.at)
        self._active: list[Fault] = []

    def step(self, now: float) -> Iterator[str]:
        """Yields a line for each fault that begins or ends."""
        for fault in [item for item in self._active if item.end <= now]:
            self._active.remove(fault)
            self._end(fault)
            yield f"-{self._name(fault)}"
        while self._waiting and self._waiting[0].at <= now:
            fault = self._waiting.pop(0)
            self._active.append(fault)
            self._begin(fault)
            yield f"+{self._name(fault)}"

    def end_all(self) -> None:
        """Ends what is still active."""
        for fault in self._active:
            self._end(fault)
        self._active.clear()

    def _name(self, fault: Fault) -> str:
        return f"{fault.kind.value} {self._find(fault).name}"

    def _find(self, fault: Fault) -> Daemon:
        return _list_processes(self._fleet)[fault.role][fault.target]

    def _list_links(self, fault: Fault) -> list[str]:
        name = self._find(fault).name
        return [link for pair, link in self._fleet.links.items() if name in pair]

    def _begin(self, fault: Fault) -> None:
        daemon = self._find(fault)
        proxies = self._fleet.proxies
        match fault.kind:
            case FaultKind.KILL:
                daemon.kill()
            case FaultKind.STOP:
                daemon.signal(signal.SIGTERM)
            case FaultKind.PAUSE:
                daemon.signal(signal.SIGSTOP)
            case FaultKind.CUT:
                proxies.cut(self._list_links(fault))
            case FaultKind.CUT_ONE_WAY:
                proxies.cut(self._list_links(fault), one_way=True)
            case FaultKind.DELAY:
                proxies.delay(self._list_links(fault), fault.delay)
            case FaultKind.RESET:
                proxies.reset(self._list_links(fault))

    def _end(self, fault: Fault) -> None:
        daemon = self._find(fault)
        proxies = self._fleet.proxies
        match fault.kind:
            case FaultKind.KILL:
                daemon.start()
            case FaultKind.STOP:
                # A stop that is under way is not cut off; the start comes after it.
                daemon.process.wait()
                daemon.start()
            case FaultKind.PAUSE:
                daemon.signal(signal.SIGCONT)
            case FaultKind.CUT | FaultKind.CUT_ONE_WAY:
                proxies.mend(self._list_links(fault))
            case FaultKind.DELAY:
                proxies.delay(self._list_links(fault), 0.0)


def run_seed(seed: int, seconds: float) -> Result:
    """Plays the plan of a seed and returns what held."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    broken: list[str] = []
    samples: list[Sample] = []
    faults: list[Fault] = []
    try:
        with run_fleet(folder) as fleet:
            groups = _list_processes(fleet)
            sizes = {role: len(daemons) for role, daemons in groups.items()}
            faults = plan_faults(seed, seconds, sizes)
            _play(fleet, seed, faults, seconds, samples)
    except AssertionError as error:
        broken.append(f"{type(error).__name__}: {error}")
    except Exception as error:
        notes = getattr(error, "__notes__", [])
        broken.append(f"{type(error).__name__}: {error} {' '.join(notes)}")
    if not broken:
        shutil.rmtree(folder)
    return Result(
        seed=seed,
        faults=len(faults),
        samples=samples,
        broken=broken,
        folder=folder if broken else None,
    )


def _list_processes(fleet: ProxiedFleet) -> dict[Role, list[Daemon]]:
    return {
        Role.CONTROL: list(fleet.controls.values()),
        Role.ENTRY: list(fleet.entries.values()),
        Role.SERVER: list(fleet.servers.values()),
    }


def _play(
    fleet: ProxiedFleet,
    seed: int,
    faults: list[Fault],
    seconds: float,
    samples: list[Sample],
) -> None:
    injector = Injector(fleet=fleet, faults=faults)
    acknowledged = run_command(fleet, "withdraw", WITHDRAWN)
    load = BackgroundLoad(
        fleet, seed=seed, rate=RATE, shares=SHARES, timeout=CALLER_TIMEOUT
    )
    try:
        with RevisionMonitor(fleet), load:
            _inject(injector, load, seconds, samples)
            injector.end_all()
            fleet.restore()
    finally:
        injector.end_all()
    check_executions(fleet, load)
    check_gates(fleet)
    with BackgroundLoad(fleet, seed=seed + 1, rate=RATE, shares=SHARES) as last:
        last.wait_for_successes(LAST_CALLS)
    check_executions(fleet, load, last)
    status = fleet.read_status()
    assert status["config_revision"] >= acknowledged["config_revision"], status
    assert status["withdrawn_keys"] == 1, "an acknowledged change is gone"


def _inject(
    injector: Injector, load: BackgroundLoad, seconds: float, samples: list[Sample]
) -> None:
    began = time.monotonic()
    before = (0, 0, 0)
    names: list[str] = []
    while (now := time.monotonic() - began) < seconds:
        names += injector.step(now)
        if now >= (len(samples) + 1) * SAMPLE_TIME:
            summary = load.summary
            total = (
                summary.ok,
                sum(summary.refused.values()),
                sum(summary.unknown.values()),
            )
            ok, refused, unknown = (
                new - old for new, old in zip(total, before, strict=True)
            )
            samples.append(
                Sample(at=now, ok=ok, refused=refused, unknown=unknown, faults=names)
            )
            before = total
            names = []
        time.sleep(TICK)


def check_gates(fleet: ProxiedFleet) -> None:
    """Checks that no server was sent anything under an older gate than before."""
    newest: dict[str, int] = {}
    for row in fleet.read_executions():
        epoch = row["gate_epoch"]
        assert epoch >= newest.get(row["server"], 0), row
        newest[row["server"]] = epoch
