"""The faults of one run; a seed gives the whole plan."""

from dataclasses import dataclass
from enum import Enum
from random import Random

FIRST_FAULT = 2.0  # seconds of calm at the start
REST = 2.0  # seconds of calm at the end of a plan
LEAST_GAP, MOST_GAP = 0.3, 2.5  # seconds between the starts of two faults
LEAST_TIME, MOST_TIME = 0.3, 4.0  # seconds that a fault lasts
DELAYS = (0.02, 0.1, 0.4)  # seconds


class FaultKind(Enum):
    """What happens to a process or to the links between control replicas."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    CUT = "cut"
    CUT_ONE_WAY = "cut one way"
    DELAY = "delay"
    RESET = "reset"


class Role(Enum):
    """Which processes a fault may strike."""

    CONTROL = "control"
    ENTRY = "entry"
    SERVER = "server"


_KINDS = {
    Role.CONTROL: tuple(FaultKind),
    Role.ENTRY: (FaultKind.KILL, FaultKind.STOP, FaultKind.PAUSE),
    Role.SERVER: (FaultKind.KILL, FaultKind.STOP, FaultKind.PAUSE),
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """One fault.

    Attributes:
        at: Seconds from the start.
        seconds: How long it lasts.
        target: Number of the process among those of its role.
        delay: Seconds by which bytes come later, for `FaultKind.DELAY`.
    """

    at: float
    seconds: float
    kind: FaultKind
    role: Role
    target: int
    delay: float = 0.0

    @property
    def end(self) -> float:
        """Seconds from the start until it is over."""
        return self.at + self.seconds


def plan_faults(seed: int, seconds: float, sizes: dict[Role, int]) -> list[Fault]:
    """Returns the faults of a seed, in series and overlapping.

    At most one process of each role is struck at a time, which is what the smallest
    group of control replicas bears.

    Args:
        seed: Seed of the plan.
        seconds: Length of the run.
        sizes: Number of processes of each role.
    """
    random = Random(seed)
    free_at = dict.fromkeys(Role, 0.0)
    faults = []
    at = FIRST_FAULT
    while at < seconds - REST:
        role = random.choice(list(Role))
        kind = random.choice(_KINDS[role])
        length = random.uniform(LEAST_TIME, MOST_TIME)
        fault = Fault(
            at=at,
            seconds=min(length, seconds - REST - at),
            kind=kind,
            role=role,
            target=random.randrange(sizes[role]),
            delay=random.choice(DELAYS) if kind is FaultKind.DELAY else 0.0,
        )
        at += random.uniform(LEAST_GAP, MOST_GAP)
        if fault.at < free_at[role]:
            continue
        free_at[role] = fault.end + REST
        faults.append(fault)
    return faults
