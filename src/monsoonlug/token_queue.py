"""Queue of callers' requests that wait for rate-limit tokens of their workspace."""

import asyncio
from collections.abc import Callable

from monsoonlug.control_client import ControlClient
from monsoonlug.exceptions import DeadlineExceeded, RateExceeded, StaleView
from monsoonlug.ids import RequestId, WorkspaceId
from monsoonlug.token_cache import TokenOutcome

CHECK_INTERVAL = 0.005  # seconds between checks of waiting requests
STALE_VIEW_RETRY_AFTER = 1.0  # seconds


class TokenQueue:
    """Queues requests until they get a token, are refused or reach their deadline.

    Args:
        control_client: Requests and holds the tokens of this host.
        clock: Monotonic clock, in seconds.
    """

    def __init__(self, *, control_client: ControlClient, clock: Callable[[], float]):
        self._control_client = control_client
        self._clock = clock
        self._waiting: dict[RequestId, asyncio.Future] = {}
        self._has_waiting = asyncio.Event()

    async def acquire(
        self, workspace: WorkspaceId, request: RequestId, deadline: float
    ) -> None:
        """Acquires one token for a request, waiting for it if necessary.

        Args:
            workspace: The request's workspace.
            request: The request.
            deadline: The request's deadline, in seconds of the monotonic clock.

        Raises:
            RateExceeded: If no token will be available soon.
            DeadlineExceeded: If the deadline passes first.
            StaleView: If control is unreachable for so long that the view is stale.
        """
        now = self._clock()
        cache = self._control_client.token_cache
        if cache.try_acquire(now, workspace):
            self._control_client.request_tokens()
            return
        cache.enqueue(now, workspace, request, deadline)
        future = asyncio.get_running_loop().create_future()
        self._waiting[request] = future
        self._has_waiting.set()
        self._control_client.request_tokens()
        try:
            await future
        except asyncio.CancelledError:
            cache.cancel(workspace, request)
            raise
        finally:
            self._waiting.pop(request, None)

    async def run(self) -> None:
        """Checks waiting requests until cancelled."""
        while True:
            # No timer runs without waiting requests, as it would wake an idle process.
            await self._has_waiting.wait()
            await asyncio.sleep(CHECK_INTERVAL)
            if not self._waiting:
                self._has_waiting.clear()
                continue
            self._control_client.request_tokens()
            self.resolve_waiting()

    def resolve_waiting(self) -> None:
        """Admits or refuses the waiting requests that are decided."""
        now = self._clock()
        for outcome in self._control_client.token_cache.pop_outcomes(now):
            self._resolve(outcome)
        if self._control_client.lease.is_view_fresh(now):
            return
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(StaleView(retry_after=STALE_VIEW_RETRY_AFTER))

    def _resolve(self, outcome: TokenOutcome) -> None:
        future = self._waiting.get(outcome.request)
        if future is None or future.done():
            return
        if outcome.admitted:
            future.set_result(None)
        elif outcome.retry_after > 0:
            future.set_exception(RateExceeded(retry_after=outcome.retry_after))
        else:
            future.set_exception(DeadlineExceeded())
