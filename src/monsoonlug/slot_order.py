"""Order in which the waiting requests of a gate get free slots."""

import bisect
import math
from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from itertools import chain, islice

from monsoonlug.fairness import FairQueue, QueuedRequest
from monsoonlug.ids import RequestClass, RequestId

# Requests of other classes that are started while one of a class waits. Two classes may
# be due at once; the second one then gets every tenth start as well.
MAX_STARTS_BEFORE = 8
_CLASSES = tuple(RequestClass)
REPORT_INTERVAL = 5.0  # seconds between two log lines about rejected requests

# Position of a request in its flow: a time, then the number of its arrival.
_Position = tuple[float, int]


@dataclass(slots=True, kw_only=True)
class OverloadCounts:
    """Counts of all gates of a host whose order depends on objectives.

    Attributes:
        late_starts: Requests that were sent too late to meet their objective.
        scheduled_returns: Rejected requests that were told a time of their own.
        exhausted_returns: Rejected requests for which no slot is expected in time.
    """

    late_starts: int = 0
    scheduled_returns: int = 0
    exhausted_returns: int = 0
    _reported_at: float = field(default=-math.inf, repr=False)
    _reported: int = field(default=0, repr=False)

    def __str__(self) -> str:
        return (
            f"{self.scheduled_returns} requests were rejected with a time to return, "
            f"{self.exhausted_returns} without capacity before their deadline, and "
            f"{self.late_starts} were sent too late for their objective since the start"
        )

    def record_return(self, *, is_exhausted: bool) -> None:
        """Counts a rejected request."""
        if is_exhausted:
            self.exhausted_returns += 1
            return
        self.scheduled_returns += 1

    def is_report_due(self, now: float) -> bool:
        """Returns whether to log the counts, which changed since the last report."""
        rejected = self.scheduled_returns + self.exhausted_returns
        if rejected == self._reported or now - self._reported_at < REPORT_INTERVAL:
            return False
        self._reported_at = now
        self._reported = rejected
        return True


class RequestQueue(ABC):
    """Waiting requests of one class, for one server or for all servers of a gate."""

    @abstractmethod
    def __len__(self) -> int:
        """Returns the number of waiting requests."""

    @abstractmethod
    def push(self, request: QueuedRequest, latest_start: float) -> None:
        """Adds a request.

        Args:
            request: The request.
            latest_start: When it must start to meet its objective, in seconds of the
                gate's clock.
        """

    @abstractmethod
    def peek(self, now: float) -> QueuedRequest | None:
        """Returns the request that `pop` would return, or None if there is none."""

    @abstractmethod
    def pop(self, now: float) -> QueuedRequest | None:
        """Removes and returns the request to serve next, or None if there is none."""

    @abstractmethod
    def remove(self, request: QueuedRequest) -> bool:
        """Removes a request and returns whether it was queued."""

    @abstractmethod
    def iterate(self) -> Iterator[QueuedRequest]:
        """Yields the requests in approximate service order."""

    @abstractmethod
    def iterate_ahead(
        self, now: float, request: QueuedRequest, latest_start: float
    ) -> Iterator[QueuedRequest]:
        """Yields the requests that would be served before a new one."""


class ArrivalQueue(RequestQueue):
    """Serves workspaces by deficit round robin, and each in order of arrival."""

    def __init__(self):
        self._queue = FairQueue()

    def __len__(self) -> int:
        return len(self._queue)

    def push(self, request: QueuedRequest, latest_start: float) -> None:
        """Adds a request to the end of its workspace's queue."""
        self._queue.push(request)

    def peek(self, now: float) -> QueuedRequest | None:
        """Returns the request to serve next; see `FairQueue`."""
        return self._queue.peek()

    def pop(self, now: float) -> QueuedRequest | None:
        """Removes and returns the request to serve next; see `FairQueue`."""
        return self._queue.pop()

    def remove(self, request: QueuedRequest) -> bool:
        """Removes a request and returns whether it was queued."""
        return self._queue.remove(request)

    def iterate(self) -> Iterator[QueuedRequest]:
        """Yields the requests in approximate service order."""
        return self._queue.iterate()

    def iterate_ahead(
        self, now: float, request: QueuedRequest, latest_start: float
    ) -> Iterator[QueuedRequest]:
        """Yields all requests."""
        return self._queue.iterate()


class _Flows:
    """Requests in flows that are served round robin, each in order of a time."""

    def __init__(self):
        self._flows: OrderedDict[str, list[tuple[_Position, QueuedRequest]]] = (
            OrderedDict()
        )
        self._positions: dict[RequestId, _Position] = {}

    def __len__(self) -> int:
        return len(self._positions)

    def push(self, request: QueuedRequest, position: _Position) -> None:
        entries = self._flows.setdefault(find_flow(request), [])
        bisect.insort(entries, (position, request), key=_get_position)
        self._positions[request.request_id] = position

    def peek(self) -> QueuedRequest | None:
        if not self._flows:
            return None
        _, request = self._flows[next(iter(self._flows))][0]
        return request

    def pop(self) -> QueuedRequest | None:
        if not self._flows:
            return None
        flow = next(iter(self._flows))
        request = self._pop_first(flow)
        if flow in self._flows:
            self._flows.move_to_end(flow)
        return request

    def pop_before(self, time: float) -> Iterator[tuple[_Position, QueuedRequest]]:
        """Removes and yields the requests whose time is earlier than this."""
        for flow in list(self._flows):
            while flow in self._flows and self._flows[flow][0][0][0] < time:
                position = self._flows[flow][0][0]
                yield position, self._pop_first(flow)

    def remove(self, request: QueuedRequest) -> bool:
        position = self._positions.pop(request.request_id, None)
        if position is None:
            return False
        flow = find_flow(request)
        entries = self._flows[flow]
        del entries[bisect.bisect_left(entries, position, key=_get_position)]
        if not entries:
            del self._flows[flow]
        return True

    def iterate(self) -> Iterator[QueuedRequest]:
        longest = max(map(len, self._flows.values()), default=0)
        for index in range(longest):
            for entries in self._flows.values():
                if index < len(entries):
                    yield entries[index][1]

    def iterate_ahead(self, flow: str, time: float) -> Iterator[QueuedRequest]:
        """Yields the requests that would be served before one of a flow and a time."""
        own = self._flows.get(flow, [])
        count = bisect.bisect_right(own, time, key=lambda entry: entry[0][0])
        for other, entries in self._flows.items():
            limit = count if other == flow else count + 1
            for _, request in entries[:limit]:
                yield request

    def _pop_first(self, flow: str) -> QueuedRequest:
        entries = self._flows[flow]
        _, request = entries.pop(0)
        del self._positions[request.request_id]
        if not entries:
            del self._flows[flow]
        return request


def _get_position(entry: tuple[_Position, QueuedRequest]) -> _Position:
    return entry[0]


def find_flow(request: QueuedRequest) -> str:
    """Returns what requests are scheduled fairly by: workspace, or failure domain."""
    return request.workspace or request.origin


class ObjectiveQueue(RequestQueue):
    """Serves the requests first that can still meet their objective.

    Each of the two groups is served round robin by workspace, or by failure domain of
    the sender. The group that meets its objective is ordered by the latest start within
    a flow, the other one by the deadline.
    """

    def __init__(self):
        self._timely = _Flows()
        self._late = _Flows()
        self._arrivals = 0

    def __len__(self) -> int:
        return len(self._timely) + len(self._late)

    def push(self, request: QueuedRequest, latest_start: float) -> None:
        """Adds a request; see `RequestQueue`."""
        self._arrivals += 1
        self._timely.push(request, (latest_start, self._arrivals))

    def peek(self, now: float) -> QueuedRequest | None:
        """Returns the request to serve next, or None if there is none."""
        self._move_late(now)
        return self._timely.peek() or self._late.peek()

    def pop(self, now: float) -> QueuedRequest | None:
        """Removes and returns the request to serve next, or None if there is none."""
        self._move_late(now)
        return self._timely.pop() or self._late.pop()

    def _move_late(self, now: float) -> None:
        for position, request in self._timely.pop_before(now):
            self._late.push(request, (request.deadline, position[1]))

    def remove(self, request: QueuedRequest) -> bool:
        """Removes a request and returns whether it was queued."""
        return self._timely.remove(request) or self._late.remove(request)

    def iterate(self) -> Iterator[QueuedRequest]:
        """Yields the requests in approximate service order."""
        yield from self._timely.iterate()
        yield from self._late.iterate()

    def iterate_ahead(
        self, now: float, request: QueuedRequest, latest_start: float
    ) -> Iterator[QueuedRequest]:
        """Yields the requests that would be served before a new one."""
        flow = find_flow(request)
        if latest_start >= now:
            yield from self._timely.iterate_ahead(flow, latest_start)
            return
        yield from self._timely.iterate()
        yield from self._late.iterate_ahead(flow, request.deadline)


class SlotOrder(ABC):
    """Order of the classes of a gate, and kind of their queues."""

    @abstractmethod
    def build_queues(self) -> list[RequestQueue]:
        """Returns an empty queue for each class."""

    @abstractmethod
    def rank_classes(self) -> Sequence[RequestClass]:
        """Returns the classes in the order in which they get the next slot."""

    @abstractmethod
    def record_start(
        self, request_class: RequestClass, waiting: list[list[RequestQueue]]
    ) -> None:
        """Counts a start of a class.

        Args:
            request_class: Class of the request that is started.
            waiting: Queues, by class, of the requests that wait for the same slot.
        """

    @abstractmethod
    def iterate_ahead(
        self,
        now: float,
        queues: list[RequestQueue],
        request: QueuedRequest,
        latest_start: float,
    ) -> Iterator[QueuedRequest]:
        """Yields the requests of all classes that would be served before a new one."""


class StrictOrder(SlotOrder):
    """Strict priority between classes, and order of arrival in each workspace."""

    def build_queues(self) -> list[RequestQueue]:
        """Returns an empty queue for each class."""
        return [ArrivalQueue() for _ in RequestClass]

    def rank_classes(self) -> Sequence[RequestClass]:
        """Returns the classes by priority."""
        return _CLASSES

    def record_start(
        self, request_class: RequestClass, waiting: list[list[RequestQueue]]
    ) -> None:
        """Does nothing, as the order does not depend on earlier starts."""

    def iterate_ahead(
        self,
        now: float,
        queues: list[RequestQueue],
        request: QueuedRequest,
        latest_start: float,
    ) -> Iterator[QueuedRequest]:
        """Yields all requests of the class and of more urgent ones."""
        for queue in queues[: request.request_class.value + 1]:
            yield from queue.iterate()


class ObjectiveOrder(SlotOrder):
    """Priority between classes with a tenth of the starts for each that waits."""

    def __init__(self):
        self._starts_before = [0] * len(_CLASSES)

    def build_queues(self) -> list[RequestQueue]:
        """Returns an empty queue for each class."""
        return [ObjectiveQueue() for _ in RequestClass]

    def rank_classes(self) -> Sequence[RequestClass]:
        """Returns the classes by priority, after those whose share is due."""
        if max(self._starts_before) < MAX_STARTS_BEFORE:
            return _CLASSES
        return sorted(_CLASSES, key=self._rank)

    def record_start(
        self, request_class: RequestClass, waiting: list[list[RequestQueue]]
    ) -> None:
        """Counts a start of a class, for each other class with waiting requests."""
        for index, starts in enumerate(self._starts_before):
            is_waiting = any(len(queues[index]) for queues in waiting)
            is_counted = is_waiting and index != request_class.value
            self._starts_before[index] = starts + 1 if is_counted else 0

    def iterate_ahead(
        self,
        now: float,
        queues: list[RequestQueue],
        request: QueuedRequest,
        latest_start: float,
    ) -> Iterator[QueuedRequest]:
        """Yields requests of the class, and of more urgent ones up to their share."""
        index = request.request_class.value
        own = list(queues[index].iterate_ahead(now, request, latest_start))
        urgent = chain.from_iterable(queue.iterate() for queue in queues[:index])
        yield from islice(urgent, MAX_STARTS_BEFORE * (len(own) + 1))
        yield from own

    def _rank(self, request_class: RequestClass) -> tuple[int, int]:
        starts = self._starts_before[request_class.value]
        due = starts if starts >= MAX_STARTS_BEFORE else 0
        return -due, request_class.value
