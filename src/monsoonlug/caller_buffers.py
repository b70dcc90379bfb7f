"""Accounts for the parts of large responses that wait for their callers to read.

What a caller's socket has been given and not taken counts with its connection.
"""

from aiohttp import web

from monsoonlug.exceptions import AnswerCutOff
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
    """

    def __init__(self, *, buffers: "CallerBuffers", request: web.BaseRequest):
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

    Attributes:
        held: Bytes that are held.
        evicted: Number of callers whose connections were closed for lack of memory.
    """

    def __init__(self, *, budget: MemoryBudget, sizes: ResponseSizes):
        self.budget = budget
        self.sizes = sizes
        self.held = 0
        self.evicted = 0

    def open(self, route: str, request: web.BaseRequest) -> CallerBuffer | None:
        """Returns the buffer of a response, or None if its route's are not large."""
        if not self.sizes.is_large(route):
            return None
        return CallerBuffer(buffers=self, request=request)
