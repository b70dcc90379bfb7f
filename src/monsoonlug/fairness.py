"""Fair queueing of requests by workspace with deficit round robin."""

import itertools
import math
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from monsoonlug.ids import Epoch, RequestClass, RequestId, Slice, WorkspaceId

QUANTUM = 1.0  # added to a workspace's deficit in each round, in units of cost
NO_SLICE = Slice(-1)


@dataclass(frozen=True, slots=True, kw_only=True, eq=False)
class QueuedRequest:
    """A request that waits or runs at the gate of a backend server.

    Attributes:
        deadline: Time in seconds of the gate's monotonic clock.
        slice: Slice of the routing key, or -1 on a pooled route.
        key_digest: Digest of the request's workspace key.
        objective: Time until which a response meets the latency objective, on the same
            clock.
        route: Name of the route; requests of one route take about the same time.
        origin: Failure domain of the entry that sent the request, or the entry's host
            if the domain is unknown.
        payload: Data that the gate's owner needs to send the request.
    """

    request_id: RequestId
    workspace: WorkspaceId
    request_class: RequestClass
    deadline: float
    slice: Slice = NO_SLICE
    epoch: Epoch = Epoch(0)
    key_digest: str = ""
    payload: object = None
    objective: float = math.inf
    route: str = ""
    origin: str = ""


def unit_cost(workspace: WorkspaceId) -> float:
    """Returns the same cost for every request."""
    return 1.0


class FairQueue:
    """Queue of one request class, scheduled by deficit round robin over workspaces.

    Args:
        cost: Returns the cost of a workspace's next request.
    """

    def __init__(self, *, cost: Callable[[WorkspaceId], float] = unit_cost):
        self._cost = cost
        self._queues: dict[WorkspaceId, OrderedDict[RequestId, QueuedRequest]] = {}
        self._active: OrderedDict[WorkspaceId, None] = OrderedDict()
        self._deficits: dict[WorkspaceId, float] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def push(self, request: QueuedRequest, *, first: bool = False) -> None:
        """Adds a request to the end of its workspace's queue, or to the front."""
        queue = self._queues.get(request.workspace)
        if queue is None:
            queue = self._queues[request.workspace] = OrderedDict()
            self._active[request.workspace] = None
            self._deficits[request.workspace] = 0.0
        queue[request.request_id] = request
        if first:
            queue.move_to_end(request.request_id, last=False)
        self._count += 1

    def pop(self) -> QueuedRequest | None:
        """Removes and returns the request to serve next, or None if there is none.

        The first active workspace is served while its deficit covers the cost of its
        next request. It then moves to the end of the active list.
        """
        if not self._count:
            return None
        while True:
            workspace = next(iter(self._active))
            cost = self._cost(workspace)
            if self._deficits[workspace] >= cost:
                break
            self._deficits[workspace] += QUANTUM
            if self._deficits[workspace] >= cost:
                break
            self._active.move_to_end(workspace)
        _, request = self._queues[workspace].popitem(last=False)
        self._count -= 1
        self._deficits[workspace] -= cost
        if not self._queues[workspace]:
            self._remove_workspace(workspace)
        elif self._deficits[workspace] < self._cost(workspace):
            self._active.move_to_end(workspace)
        return request

    def peek(self) -> QueuedRequest | None:
        """Returns the request that `pop` would return, and changes nothing."""
        if not self._count:
            return None
        for rounds in itertools.count(1):
            for workspace in self._active:
                # `pop` adds a quantum in each round until the deficit covers the cost.
                deficit = self._deficits[workspace] + rounds * QUANTUM
                cost = self._cost(workspace)
                if deficit >= cost:
                    return next(iter(self._queues[workspace].values()))
        return None

    def remove(self, request: QueuedRequest) -> bool:
        """Removes a request and returns whether it was queued."""
        queue = self._queues.get(request.workspace)
        if queue is None or queue.pop(request.request_id, None) is None:
            return False
        self._count -= 1
        if not queue:
            self._remove_workspace(request.workspace)
        return True

    def find_newest(self, workspace: WorkspaceId) -> QueuedRequest | None:
        """Returns the last request of a workspace's queue, or None if it is empty."""
        queue = self._queues.get(workspace)
        if queue is None:
            return None
        return queue[next(reversed(queue))]

    def count_ahead(self, workspace: WorkspaceId) -> int:
        """Estimates how many requests would be served before a new one."""
        own_count = len(self._queues.get(workspace, ()))
        ahead = own_count
        for other, queue in self._queues.items():
            if other != workspace:
                ahead += min(len(queue), own_count + 1)
        return ahead

    def iterate(self) -> Iterator[QueuedRequest]:
        """Yields the requests in approximate service order."""
        cursors = [iter(self._queues[workspace].values()) for workspace in self._active]
        while cursors:
            remaining = []
            for cursor in cursors:
                request = next(cursor, None)
                if request is None:
                    continue
                remaining.append(cursor)
                yield request
            cursors = remaining

    def _remove_workspace(self, workspace: WorkspaceId) -> None:
        del self._queues[workspace]
        del self._active[workspace]
        del self._deficits[workspace]
