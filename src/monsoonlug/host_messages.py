"""Messages about the capacities of hosts, which earlier builds ignore."""

import math
from dataclasses import dataclass

from monsoonlug import messages
from monsoonlug.exceptions import DamagedFrame

MAX_CAPACITY = 1e9  # Mbit/s or cores, above which a value is damaged


@messages.register(260)
@dataclass(frozen=True, slots=True, kw_only=True)
class HostCapacity:
    """What the settings of an entry's process give as its limits.

    Attributes:
        link_mbps: Rate of the host's link in Mbit/s; 0 if not limited.
        cores: Processor time of the process in cores; 0 if not limited.
    """

    host: str
    link_mbps: float
    cores: float


@messages.register(261)
@dataclass(frozen=True, slots=True, kw_only=True)
class HostWeights:
    """Weights of the hosts in the next `LiveHostList`, as rows of name and weight."""

    term: int
    rows: list


def check_host_capacity(capacity: HostCapacity) -> None:
    """Checks the values of a report.

    Raises:
        DamagedFrame: If a value is not a number from 0 to `MAX_CAPACITY`.
    """
    for value in (capacity.link_mbps, capacity.cores):
        if not math.isfinite(value) or not 0 <= value <= MAX_CAPACITY:
            raise DamagedFrame(f"a capacity of a host is {value}")
