"""The clock that leases, deadlines and the age of a view are counted on."""

import time


def read_clock() -> float:
    """Returns seconds of a steady clock that also counts while the host is suspended.

    The usual monotonic clock stops during a suspension, so a lease checked on it would
    still look valid after the host wakes up.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
