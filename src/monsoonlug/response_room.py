"""Decides when a request whose response is large may be sent to a backend server.

A server cuts off a response that nobody reads for some seconds, so a gate must be able
to read each response at once and hold it for a slow caller. A request is sent only
while the responses that are expected and those that are held fit into the memory
budget.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass

from monsoonlug.exceptions import Overloaded, Refusal
from monsoonlug.logs import get_logger
from monsoonlug.memory_budget import MemoryBudget
from monsoonlug.response_sizes import ResponseSizes

MIN_ROOM_WAIT = 0.25  # seconds that any request may wait for room; as for a token
# Share of the time until a request's latency objective that it may wait for room; the
# server and the transfer need the rest.
ROOM_WAIT_SHARE = 0.5
MAX_WAITING = 64  # requests that wait for room; further ones are refused at once
ROOM_RETRY_AFTER = 0.5  # seconds; a response of 90 KB takes 0.36 s at 2 Mbit/s
# Share of the budget that is kept free for one response of the maximum size at most. A
# larger response is read only as fast as its caller reads it.
MAX_MARGIN_SHARE = 0.25

logger = get_logger("gate")


@dataclass(frozen=True, slots=True, kw_only=True)
class RoomRequest:
    """A request that waits for room.

    Attributes:
        request_id: Id of the request.
        route: Name of its route.
        latest: Time until which it may wait, on the gate's clock.
        payload: Data that the gate's owner needs to send it.
    """

    request_id: str
    route: str
    latest: float
    payload: object


class ExpectedResponse:
    """The memory that one large response needs, or may need later.

    Args:
        room: The room that it is part of.
        expected: Bytes that are still expected from the server.
    """

    __slots__ = ("_expected", "_held", "_room", "is_open")

    def __init__(self, *, room: "ResponseRoom", expected: float):
        self._room = room
        self._expected = expected
        self._held = 0
        self.is_open = True

    @property
    def needed(self) -> float:
        """Bytes that are held or expected."""
        return self._expected + self._held

    @property
    def held(self) -> int:
        """Bytes that are held now."""
        return self._held

    def set_expected(self, size: float) -> None:
        """Sets the bytes that are still expected from the server."""
        self._update(expected=size, held=self._held)

    def record_read(self, size: int) -> None:
        """Records bytes that were read from the server and are held now."""
        expected = max(0.0, self._expected - size)
        self._update(expected=expected, held=self._held + size)

    def record_passed(self, size: int) -> None:
        """Records held bytes that were passed on."""
        self._update(expected=self._expected, held=self._held - size)

    def close(self) -> None:
        """Gives all bytes back; has no effect the second time."""
        if self.is_open:
            self._update(expected=0.0, held=0)
            self.is_open = False
            self._room.remove(self)

    def _update(self, *, expected: float, held: int) -> None:
        if not self.is_open:
            return
        self._room.needed += expected + held - self.needed
        self._room.held += held - self._held
        self._expected, self._held = expected, held


class ResponseRoom:
    """Admits requests whose responses are large, in the order of their arrival.

    Call `admit` and `expire` after each event, and again at the time that
    `find_wake_time` returns.

    Args:
        budget: Memory budget of the process.
        sizes: Response sizes of the routes.

    Attributes:
        needed: Bytes that all admitted responses hold or may need.
        held: Bytes that they hold.
        refused: Number of requests that were refused because there was no room.
    """

    def __init__(self, *, budget: MemoryBudget, sizes: ResponseSizes):
        self._budget = budget
        self._sizes = sizes
        self._waiting: OrderedDict[str, RoomRequest] = OrderedDict()
        self._open: set[ExpectedResponse] = set()
        self._is_full = False
        self.needed = 0.0
        self.held = 0
        self.refused = 0

    @property
    def waiting(self) -> int:
        """Number of requests that wait for room."""
        return len(self._waiting)

    def enqueue(self, request: RoomRequest) -> Refusal | None:
        """Adds a request to those that wait, or returns why it is refused."""
        if len(self._waiting) >= MAX_WAITING:
            return self._refuse()
        self._waiting[request.request_id] = request
        return None

    def admit(self) -> list[tuple[RoomRequest, ExpectedResponse]]:
        """Removes and returns the requests that there is room for."""
        admitted = []
        while self._waiting:
            request = next(iter(self._waiting.values()))
            if not self.has_room(request.route):
                self._log_full(True)
                break
            del self._waiting[request.request_id]
            admitted.append((request, self.open(request.route)))
        if not self._waiting:
            self._log_full(False)
        return admitted

    def expire(self, now: float) -> list[tuple[RoomRequest, Refusal]]:
        """Removes and returns the requests that have waited for too long."""
        expired = []
        for request in list(self._waiting.values()):
            if now >= request.latest:
                del self._waiting[request.request_id]
                expired.append((request, self._refuse()))
        return expired

    def cancel(self, request_id: str) -> bool:
        """Removes a request whose caller left; returns whether it waited."""
        return self._waiting.pop(request_id, None) is not None

    def find_wake_time(self) -> float | None:
        """Returns when to call `expire` next; None if nothing waits."""
        if not self._waiting:
            return None
        return min(request.latest for request in self._waiting.values())

    def has_room(self, route: str) -> bool:
        """Returns whether one more response of a route fits into the budget.

        Responses of which nothing is known yet count with the mean of their route. One
        of them may be as large as the maximum.
        """
        limit = self._budget.limit
        others = self._budget.used - self.held
        mean = self._sizes.get_mean(route)
        margin = max(0.0, self._sizes.get_maximum(route) - mean)
        margin = min(margin, MAX_MARGIN_SHARE * limit)
        if not self._open:
            # A route whose mean exceeds the budget is served one request at a time.
            return others + min(mean, MAX_MARGIN_SHARE * limit) <= limit
        return others + self.needed + mean + margin <= limit

    def open(self, route: str) -> ExpectedResponse:
        """Adds a response of a route without regard to the room."""
        response = ExpectedResponse(room=self, expected=0.0)
        self._open.add(response)
        response.set_expected(self._sizes.get_mean(route))
        return response

    def remove(self, response: ExpectedResponse) -> None:
        """Removes a response; see `ExpectedResponse.close`."""
        self._open.discard(response)
        if not self._open:
            self.needed = 0.0  # without rounding errors

    def _refuse(self) -> Refusal:
        self.refused += 1
        return Refusal(error=Overloaded, retry_after=ROOM_RETRY_AFTER)

    def _log_full(self, is_full: bool) -> None:
        if is_full == self._is_full:
            return
        self._is_full = is_full
        if not is_full:
            logger.info("There is room for further large responses.")
            return
        logger.info(
            "Requests with large responses wait: {} bytes are held and {} more are "
            "expected of {} responses, and the memory budget is {} bytes.",
            self.held,
            math.ceil(self.needed - self.held),
            len(self._open),
            self._budget.limit,
        )


def find_latest(now: float, *, objective: float, deadline: float) -> float:
    """Returns until when a request may wait for room, on the clock of its times."""
    return min(deadline, now + max(MIN_ROOM_WAIT, ROOM_WAIT_SHARE * (objective - now)))
