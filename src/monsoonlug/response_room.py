"""Decides when a request whose response is large may be sent to a backend server.

A server cuts off a response that nobody reads for some seconds, so a gate must be able
to read each response at once and hold it for a slow caller. A request is sent only
while the responses that are expected and those that are held fit into the memory
budget. Where the rate of the host's link is known to be low, it also waits until its
response is expected to find the link free (`link_share`).
"""

import math
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from monsoonlug.exceptions import Overloaded, Refusal
from monsoonlug.link_share import LinkShare, Transfer
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
LINK_LOG_INTERVAL = 10.0  # seconds between log lines on requests refused for the link

logger = get_logger("gate")


@dataclass(frozen=True, slots=True, kw_only=True)
class RoomRequest:
    """A request that waits for room.

    Attributes:
        request_id: Id of the request.
        route: Name of its route.
        latest: Time until which it may wait for memory, on the gate's clock.
        payload: Data that the gate's owner needs to send it.
        objective: Time until which a response meets the latency objective.
        deadline: Time until which the caller waits. Where the link is shared, a request
            waits as long as its response can arrive by then, whatever `latest` is.
    """

    request_id: str
    route: str
    latest: float
    payload: object
    objective: float = math.inf
    deadline: float = math.inf


class ExpectedResponse:
    """The memory that one large response needs, or may need later.

    Args:
        room: The room that it is part of.
        expected: Bytes that are still expected from the server.
        transfer: Its use of the link, or None if the link is not limited.
    """

    __slots__ = ("_expected", "_held", "_room", "_transfer", "is_open")

    def __init__(
        self,
        *,
        room: "ResponseRoom",
        expected: float,
        transfer: Transfer | None = None,
    ):
        self._room = room
        self._transfer = transfer
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
        if self._transfer is not None:
            self._transfer.set_remaining(size)

    def record_head(self) -> None:
        """Records that the response head has arrived."""
        if self._transfer is not None:
            self._transfer.record_head(self._room.read_clock())

    def record_end(self) -> None:
        """Records that all was read, which frees the place on the link."""
        self.set_expected(0.0)
        if self._transfer is not None:
            self._transfer.close()

    def record_read(self, size: int) -> None:
        """Records bytes that were read from the server and are held now."""
        expected = max(0.0, self._expected - size)
        self._update(expected=expected, held=self._held + size)
        if self._transfer is not None:
            self._transfer.record_read(self._room.read_clock(), size)

    def record_passed(self, size: int) -> None:
        """Records held bytes that were passed on."""
        self._update(expected=self._expected, held=self._held - size)

    def close(self) -> None:
        """Gives all bytes back; has no effect the second time."""
        if self.is_open:
            self._update(expected=0.0, held=0)
            self.is_open = False
            if self._transfer is not None:
                self._transfer.close()
            self._room.remove(self)

    def _update(self, *, expected: float, held: int) -> None:
        if not self.is_open:
            return
        self._room.needed += expected + held - self.needed
        self._room.held += held - self._held
        self._expected, self._held = expected, held


class ResponseRoom:
    """Admits requests whose responses are large.

    The order is that of their arrival, or of their objectives where the link is shared.
    Call `expire` and `admit` after each event, and again at the time that
    `find_wake_time` returns.

    Args:
        budget: Memory budget of the process.
        sizes: Response sizes of the routes.
        link: Shares the host's link, or None if it is not limited.
        read_clock: Returns the time; needed only with a link.

    Attributes:
        needed: Bytes that all admitted responses hold or may need.
        held: Bytes that they hold.
        refused: Number of requests that were refused because there was no room.
        refused_for_link: Number of those that were refused because the link is busy.
    """

    def __init__(
        self,
        *,
        budget: MemoryBudget,
        sizes: ResponseSizes,
        link: LinkShare | None = None,
        read_clock: Callable[[], float] = lambda: 0.0,
    ):
        self.link = link
        self.read_clock = read_clock
        self._budget = budget
        self._sizes = sizes
        self._waiting: OrderedDict[str, RoomRequest] = OrderedDict()
        self._open: set[ExpectedResponse] = set()
        self._is_full = False
        self.needed = 0.0
        self.held = 0
        self.refused = 0
        self.refused_for_link = 0
        self._link_logged_at = -math.inf
        self._send_at = math.inf

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
        self._send_at = math.inf
        for request in self._list_in_order():
            if self._is_too_late(request):
                continue
            if not self._may_use_link(request):
                break
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
        if self.link is not None:
            return self._expire_for_link(now)
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
        if self.link is not None:
            return self._find_link_wake_time()
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
        mean = self._sizes.get_mean(route)
        transfer = None
        if self.link is not None:
            transfer = self.link.open(self.read_clock(), route, mean)
        response = ExpectedResponse(room=self, expected=0.0, transfer=transfer)
        self._open.add(response)
        response.set_expected(mean)
        return response

    def remove(self, response: ExpectedResponse) -> None:
        """Removes a response; see `ExpectedResponse.close`."""
        self._open.discard(response)
        if not self._open:
            self.needed = 0.0  # without rounding errors

    # Requests that wait for the link.

    def _list_in_order(self) -> list[RoomRequest]:
        """Returns the waiting requests in the order in which they are to be sent.

        Under overload, requests that are late in any case would otherwise make all
        others late too.
        """
        requests = list(self._waiting.values())
        if self.link is None:
            return requests
        now = self.read_clock()

        def rank(request: RoomRequest) -> tuple[bool, float]:
            end = now + self._estimate_duration(request.route)
            return (end > request.objective, request.objective)

        requests.sort(key=rank)
        return requests

    def _may_use_link(self, request: RoomRequest) -> bool:
        if self.link is None:
            return True
        now = self.read_clock()
        size = self._sizes.get_mean(request.route)
        send_at = self.link.find_send_time(now, request.route, size)
        if send_at <= now:
            return True
        self._send_at = send_at
        return False

    def _is_too_late(self, request: RoomRequest) -> bool:
        if self.link is None:
            return False
        end = self.read_clock() + self._estimate_duration(request.route)
        return end > request.deadline

    def _estimate_duration(self, route: str) -> float:
        """Returns the expected seconds from sending a request to its response's end."""
        size = self._sizes.get_mean(route)
        return self.link.estimate_work(route) + self.link.estimate_transfer(size)

    def _expire_for_link(self, now: float) -> list[tuple[RoomRequest, Refusal]]:
        """Removes the requests whose response cannot arrive by their deadline.

        Each request waits for the transfers of those before it.
        """
        expired = []
        send_at = None
        for request in self._list_in_order():
            size = self._sizes.get_mean(request.route)
            if send_at is None:
                send_at = self.link.find_send_time(now, request.route, size)
            if send_at + self._estimate_duration(request.route) > request.deadline:
                del self._waiting[request.request_id]
                expired.append((request, self._refuse_for_link(now, send_at - now)))
                continue
            send_at += self.link.estimate_transfer(size)
        return expired

    def _refuse_for_link(self, now: float, wait: float) -> Refusal:
        self.refused_for_link += 1
        if now - self._link_logged_at >= LINK_LOG_INTERVAL:
            self._link_logged_at = now
            logger.info(
                "Refused a request with a large response, as the link is busy: {} "
                "requests wait, {} are sent, and the wait is {:.2f} s. {} were refused "
                "so far.",
                len(self._waiting),
                self.link.open_transfers,
                wait,
                self.refused_for_link,
            )
        return Refusal(error=Overloaded, retry_after=max(ROOM_RETRY_AFTER, wait))

    def _find_link_wake_time(self) -> float:
        """Returns when a request may be sent or must be refused next."""
        latest = math.inf
        for request in self._waiting.values():
            duration = self._estimate_duration(request.route)
            latest = min(latest, request.deadline - duration)
        return min(self._send_at, latest)

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
