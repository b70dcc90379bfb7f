"""Seeded plan of the faults of one soak run."""

from dataclasses import dataclass
from enum import Enum
from random import Random

INITIAL_CALM = 2.0  # seconds without faults at the start
RECOVERY_TIME = 2.0  # seconds without faults at the end and after each role's faults
MIN_GAP, MAX_GAP = 0.3, 2.5  # seconds between the starts of two faults
MIN_DURATION, MAX_DURATION = 0.3, 4.0  # seconds
LINK_DELAYS = (0.02, 0.1, 0.4)  # seconds


class FaultKind(Enum):
    """Fault of a process, or of the links between control replicas."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    PARTITION = "partition"
    PARTITION_ONE_WAY = "one-way partition"
    DELAY = "delay"
    RESET = "reset"


class Role(Enum):
    """Role of the process that a fault affects."""

    CONTROL = "control"
    ENTRY = "entry"
    SERVER = "server"


_FAULT_KINDS = {
    Role.CONTROL: tuple(FaultKind),
    Role.ENTRY: (FaultKind.KILL, FaultKind.STOP, FaultKind.PAUSE),
    Role.SERVER: (FaultKind.KILL, FaultKind.STOP, FaultKind.PAUSE),
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """One planned fault.

    Attributes:
        at: Start, in seconds from the start of the run.
        seconds: Duration of the fault.
        target: Index of the affected process among those of its role.
        delay: Added latency in seconds, for `FaultKind.DELAY`.
    """

    at: float
    seconds: float
    kind: FaultKind
    role: Role
    target: int
    delay: float = 0.0

    @property
    def end(self) -> float:
        """End, in seconds from the start of the run."""
        return self.at + self.seconds


def plan_faults(seed: int, seconds: float, sizes: dict[Role, int]) -> list[Fault]:
    """Returns the faults of a seed; faults in different roles may overlap.

    At most one process of each role is affected at a time, because the smallest group
    of control replicas tolerates one failed member.

    Args:
        seed: Seed of the plan.
        seconds: Length of the run.
        sizes: Number of processes of each role.
    """
    rng = Random(seed)
    free_at = dict.fromkeys(Role, 0.0)
    faults = []
    at = INITIAL_CALM
    while at < seconds - RECOVERY_TIME:
        role = rng.choice(list(Role))
        kind = rng.choice(_FAULT_KINDS[role])
        duration = rng.uniform(MIN_DURATION, MAX_DURATION)
        fault = Fault(
            at=at,
            seconds=min(duration, seconds - RECOVERY_TIME - at),
            kind=kind,
            role=role,
            target=rng.randrange(sizes[role]),
            delay=rng.choice(LINK_DELAYS) if kind is FaultKind.DELAY else 0.0,
        )
        at += rng.uniform(MIN_GAP, MAX_GAP)
        if fault.at < free_at[role]:
            continue
        free_at[role] = fault.end + RECOVERY_TIME
        faults.append(fault)
    return faults
