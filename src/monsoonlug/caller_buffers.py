"""Accounts for the parts of large responses that wait for their callers to read.

What a caller's socket has been given and not taken counts with its connection.
"""

import asyncio
import math
from collections.abc import Callable

from aiohttp import web

from monsoonlug.clocks import read_clock
from monsoonlug.exceptions import AnswerCutOff
from monsoonlug.link_share import LinkShare
from monsoonlug.logs import get_logger
from monsoonlug.memory_budget import MemoryBudget
from monsoonlug.refusals import abort_connection
from monsoonlug.response_sizes import ResponseSizes

logger = get_logger("front")


class CallerBuffer:
    """Bytes of one response that this host holds for its caller.

    Args:
        buffers: The buffers of all callers.
        request: The caller's request.
        size: Expected bytes of the response.
        objective: Time until which it meets its latency objective.
    """

    def __init__(
        self,
        *,
        buffers: "CallerBuffers",
        request: web.BaseRequest,
        size: float = 0.0,
        objective: float = math.inf,
    ):
        self._left = size
        self._objective = objective
        self._buffers = buffers
        self._request = request
        self._held = 0
        self._holding = buffers.budget.open(evict=self._evict)

    def hold(self, queued: int) -> None:
        """Records what is held before the next part is written.

        Args:
            queued: Bytes that have arrived and are not written yet.

        Raises:
            AnswerCutOff: If memory is short and this caller holds the most.
        """
        if not self._holding.resize(queued):
            self._log(queued)
            raise AnswerCutOff("memory is short, and the caller reads slowly")
        self._buffers.held += queued - self._held
        self._held = queued

    async def write(self, response: web.StreamResponse, data: bytes) -> None:
        """Writes a part to the caller, at the pace that the host's link permits.

        Raises:
            ConnectionError: If the caller has disconnected.
        """
        link = self._buffers.link
        if link is None:
            await response.write(data)
            return
        for start in range(0, len(data), link.piece_bytes):
            piece = data[start : start + link.piece_bytes]
            await self._wait_for_link(link, len(piece))
            self._left -= len(piece)
            await response.write(piece)

    async def _wait_for_link(self, link: LinkShare, size: int) -> None:
        try:
            while True:
                now = self._buffers.read_clock()
                write_at = link.request_write(
                    now,
                    self,
                    size,
                    left=max(self._left, size),
                    objective=self._objective,
                )
                if write_at <= now:
                    return
                await asyncio.sleep(write_at - now)
        finally:
            link.cancel_write(self)

    def close(self) -> None:
        """Gives the bytes back."""
        self._holding.close()
        self._buffers.held -= self._held
        self._held = 0

    def _evict(self) -> None:
        self._log(self._held)
        abort_connection(self._request)

    def _log(self, held: int) -> None:
        self._buffers.evicted += 1
        logger.warning(
            "Closed the connection of a caller that reads slowly, as memory is short; "
            "{} bytes were held for it.",
            held,
        )


class CallerBuffers:
    """The buffers of all callers that receive large responses.

    Args:
        budget: Memory budget of the process.
        sizes: Response sizes of the routes.
        link: Shares the host's link, or None if it is not limited.
        read_clock: Returns the time.

    Attributes:
        held: Bytes that are held.
        evicted: Number of callers whose connections were closed for lack of memory.
    """

    def __init__(
        self,
        *,
        budget: MemoryBudget,
        sizes: ResponseSizes,
        link: LinkShare | None = None,
        read_clock: Callable[[], float] = read_clock,
    ):
        self.link = link
        self.read_clock = read_clock
        self.budget = budget
        self.sizes = sizes
        self.held = 0
        self.evicted = 0

    def open(
        self,
        route: str,
        request: web.BaseRequest,
        *,
        length: int | None = None,
        objective: float = math.inf,
    ) -> CallerBuffer | None:
        """Returns the buffer of a response, or None if its route's are not large.

        Args:
            route: Name of the request's route.
            request: The caller's request.
            length: Bytes of the response, or None if it does not declare them.
            objective: Time until which the response meets its latency objective.
        """
        if not self.sizes.is_large(route):
            return None
        return CallerBuffer(
            buffers=self,
            request=request,
            size=self.sizes.get_mean(route) if length is None else length,
            objective=objective,
        )
