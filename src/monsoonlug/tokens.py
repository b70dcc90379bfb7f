"""Lets callers' requests wait for tokens of their workspace."""

import asyncio
from collections.abc import Callable

from monsoonlug.exceptions import DeadlineExceeded, RateExceeded, StaleView
from monsoonlug.ids import RequestId, WorkspaceId
from monsoonlug.purse import Settled
from monsoonlug.uplink import Uplink

SETTLE_INTERVAL = 0.005  # seconds between two checks of waiting requests
STALE_RETRY_AFTER = 1.0  # seconds


class TokenQueue:
    """Requests that wait for tokens.

    Args:
        uplink: Where tokens come from.
        clock: Monotonic clock, in seconds.
    """

    def __init__(self, *, uplink: Uplink, clock: Callable[[], float]):
        self._uplink = uplink
        self._clock = clock
        self._waiting: dict[RequestId, asyncio.Future] = {}
        self._has_waiting = asyncio.Event()

    async def take(
        self, workspace: WorkspaceId, request: RequestId, deadline: float
    ) -> None:
        """Takes one token, and waits for it if need be.

        Args:
            workspace: The request's workspace.
            request: The request.
            deadline: Seconds of the monotonic clock.

        Raises:
            RateExceeded: If the authority says that no token can be had soon.
            DeadlineExceeded: If the deadline passed first.
            StaleView: If control could not be reached for too long.
        """
        now = self._clock()
        purse = self._uplink.purse
        if purse.take(now, workspace):
            self._uplink.ask()
            return
        purse.wait(now, workspace, request, deadline)
        future = asyncio.get_running_loop().create_future()
        self._waiting[request] = future
        self._has_waiting.set()
        self._uplink.ask()
        try:
            await future
        except asyncio.CancelledError:
            purse.cancel(workspace, request)
            raise
        finally:
            self._waiting.pop(request, None)

    async def run(self) -> None:
        """Settles waiting requests until cancelled."""
        while True:
            # Without a waiting request, a timer would only wake the process.
            await self._has_waiting.wait()
            await asyncio.sleep(SETTLE_INTERVAL)
            if not self._waiting:
                self._has_waiting.clear()
                continue
            self._uplink.ask()
            self.settle()

    def settle(self) -> None:
        """Tells waiting requests whether they have a token."""
        now = self._clock()
        for settled in self._uplink.purse.settle(now):
            self._finish(settled)
        if self._uplink.lease.is_view_fresh(now):
            return
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(StaleView(retry_after=STALE_RETRY_AFTER))

    def _finish(self, settled: Settled) -> None:
        future = self._waiting.get(settled.request)
        if future is None or future.done():
            return
        if settled.admitted:
            future.set_result(None)
        elif settled.retry_after > 0:
            future.set_exception(RateExceeded(retry_after=settled.retry_after))
        else:
            future.set_exception(DeadlineExceeded())
