"""Clock for leases, deadlines and the age of views."""

import time


def read_clock() -> float:
    """Returns seconds of a monotonic clock that includes time in suspension.

    `time.monotonic` does not advance while the host is suspended, so a lease that ended
    in that time would still appear valid after the host resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
