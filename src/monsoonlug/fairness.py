"""Fair queue of waiting requests of one class: deficit round robin by workspace."""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from monsoonlug.ids import Epoch, RequestClass, RequestId, Slice, WorkspaceId

QUANTUM = 1.0  # cost that a workspace may spend in one round
NO_SLICE = Slice(-1)


@dataclass(frozen=True, slots=True, kw_only=True, eq=False)
class QueuedRequest:
    """One request at the gate of a backend server.

    Attributes:
        deadline: Seconds of the gate's monotonic clock.
        slice: Slice of the routing key, or -1 on a pooled route.
        key_digest: Digest of the workspace key that came with the request.
        objective: Time on the same clock until which an answer is in time.
        route: Name of the route, whose requests take about the same time.
        payload: What the daemon needs to send the request.
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


def cost_one(workspace: WorkspaceId) -> float:
    """Returns the cost of a request if all cost the same."""
    return 1.0


class FairQueue:
    """Waiting requests of one class, served by deficit round robin.

    Args:
        cost: Returns the cost of a workspace's next request.
    """

    def __init__(self, *, cost: Callable[[WorkspaceId], float] = cost_one):
        self._cost = cost
        self._waiting: dict[WorkspaceId, OrderedDict[RequestId, QueuedRequest]] = {}
        self._ring: OrderedDict[WorkspaceId, None] = OrderedDict()
        self._deficits: dict[WorkspaceId, float] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def push(self, request: QueuedRequest, *, first: bool = False) -> None:
        """Adds a request as its workspace's last, or as its first."""
        waiting = self._waiting.get(request.workspace)
        if waiting is None:
            waiting = self._waiting[request.workspace] = OrderedDict()
            self._ring[request.workspace] = None
            self._deficits[request.workspace] = 0.0
        waiting[request.request_id] = request
        if first:
            waiting.move_to_end(request.request_id, last=False)
        self._count += 1

    def pop(self) -> QueuedRequest | None:
        """Removes and returns the request to serve next, or None if there is none.

        The workspace at the head of the ring is served while its deficit covers the
        cost of its next request; then it goes to the end of the ring.
        """
        if not self._count:
            return None
        while True:
            workspace = next(iter(self._ring))
            cost = self._cost(workspace)
            if self._deficits[workspace] >= cost:
                break
            self._deficits[workspace] += QUANTUM
            if self._deficits[workspace] >= cost:
                break
            self._ring.move_to_end(workspace)
        _, request = self._waiting[workspace].popitem(last=False)
        self._count -= 1
        self._deficits[workspace] -= cost
        if not self._waiting[workspace]:
            self._forget(workspace)
        elif self._deficits[workspace] < self._cost(workspace):
            self._ring.move_to_end(workspace)
        return request

    def remove(self, request: QueuedRequest) -> bool:
        """Removes a request; returns whether it was there."""
        waiting = self._waiting.get(request.workspace)
        if waiting is None or waiting.pop(request.request_id, None) is None:
            return False
        self._count -= 1
        if not waiting:
            self._forget(request.workspace)
        return True

    def find_newest(self, workspace: WorkspaceId) -> QueuedRequest | None:
        """Returns a workspace's newest request, or None if it has none."""
        waiting = self._waiting.get(workspace)
        if waiting is None:
            return None
        return waiting[next(reversed(waiting))]

    def count_ahead(self, workspace: WorkspaceId) -> int:
        """Returns how many requests come before a new one of a workspace."""
        own = len(self._waiting.get(workspace, ()))
        ahead = own
        for other, waiting in self._waiting.items():
            if other != workspace:
                ahead += min(len(waiting), own + 1)
        return ahead

    def iterate(self) -> Iterator[QueuedRequest]:
        """Yields the requests in about the order in which they will be served."""
        rows = [iter(self._waiting[workspace].values()) for workspace in self._ring]
        while rows:
            remaining = []
            for row in rows:
                request = next(row, None)
                if request is None:
                    continue
                remaining.append(row)
                yield request
            rows = remaining

    def _forget(self, workspace: WorkspaceId) -> None:
        del self._waiting[workspace]
        del self._ring[workspace]
        del self._deficits[workspace]
