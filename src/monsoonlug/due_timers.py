"""Timers that run only while their function could have an effect.

Each wake-up of an idle process costs more than most of the functions that it runs.
"""

import asyncio
from collections.abc import Callable

from monsoonlug.logs import get_logger

# Seconds after the due time at which the function is called. Timers of the event loop
# may be a millisecond early, and the function would then find nothing due.
DUE_MARGIN = 0.002

logger = get_logger("timers")


class DueTimer:
    """Calls a function when something may be due, and not while nothing can be.

    An unexpected error of the function is logged and costs only one call.

    Args:
        clock: Monotonic clock, in seconds.
        interval: Seconds between two calls at least.
        step: The function.
        find_due: Returns the earliest time at which the function may have an effect, in
            seconds of the clock, or None until the next `wake`.
        call_later: Calls a function after some seconds; None for the event loop's.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        interval: float,
        step: Callable[[], object],
        find_due: Callable[[], float | None],
        call_later: Callable[..., asyncio.TimerHandle] | None = None,
    ):
        self._call_later = call_later
        self._clock = clock
        self._interval = interval
        self._step = step
        self._find_due = find_due
        self._handle: asyncio.TimerHandle | None = None
        self._due = 0.0
        self._is_stopped = False
        self.calls = 0

    def wake(self, due: float | None = None) -> None:
        """Ensures a call at a time, but not before the interval from now has passed.

        Args:
            due: Seconds of the clock, or None for the end of the interval.
        """
        if self._handle is not None and due is not None and self._due <= due:
            return
        earliest = self._clock() + self._interval
        due = earliest if due is None else max(due, earliest)
        if self._is_stopped or (self._handle is not None and self._due <= due):
            return
        self._schedule(due)

    def stop(self) -> None:
        """Makes no more calls."""
        self._is_stopped = True
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _schedule(self, due: float) -> None:
        if self._handle is not None:
            self._handle.cancel()
        self._due = due
        delay = max(0.0, due - self._clock()) + DUE_MARGIN
        call_later = self._call_later or asyncio.get_running_loop().call_later
        self._handle = call_later(delay, self._run)

    def _run(self) -> None:
        self._handle = None
        self.calls += 1
        try:
            self._step()
        except Exception:
            logger.exception("A timed check failed; it is run again.")
        due = self._find_due()
        if due is not None:
            self.wake(due)
