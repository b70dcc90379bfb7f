"""The gate of one backend server: queue, slots, deadlines and cold start."""

import heapq
from collections.abc import Callable, Iterable
from enum import Enum

from monsoonlug.catalogue import PoolLimits
from monsoonlug.exceptions import (
    DeadlineExceeded,
    KeyRefused,
    MonsoonlugError,
    Overloaded,
    Refusal,
    ServerDraining,
)
from monsoonlug.fairness import NO_SLICE, FairQueue, QueuedRequest
from monsoonlug.ids import RequestClass, RequestId, ServerPhase, Slice, WorkspaceId
from monsoonlug.ramp import Ramp

COST_WEIGHT = 1 / 8  # of one answer in a workspace's service time
LOWEST_COST = 1 / 8  # of the mean
HIGHEST_COST = 8.0  # of the mean; also bounds the rounds of one `pop`
MAX_COSTS = 4096  # workspaces whose service time is remembered
SWEEP_INTERVAL = 0.010  # seconds between two checks of the whole queue
LEAST_RETRY_AFTER = 0.050  # seconds
MOST_LINGER = 1.0  # seconds

Refused = tuple[QueuedRequest, Refusal]


class Outcome(Enum):
    """How a request that was sent to the backend server ended.

    ANSWERED: a whole answer came. SHED: the server refused without running it.
    ABANDONED: it was cancelled or timed out, and the server may still run it.
    LOST: the connection ended first. UNREACHED: no connection could be opened.
    """

    ANSWERED = "answered"
    SHED = "shed"
    ABANDONED = "abandoned"
    LOST = "lost"
    UNREACHED = "unreached"


class Gate:
    """Decides what one backend server is sent, and when.

    After each event, call `next` and `expire`, and call both again at `wake_at`. Each
    request that `enqueue` accepts ends exactly once: in the result of `next`, `expire`,
    `drop`, `forward` or `cancel`.

    Args:
        limits: What the server bears.
        now: Seconds of a monotonic clock.
        phase: Phase that the server reports; COLD if it has reported none.
        fair_by_time: Whether workspaces share the server's time instead of the number
            of requests.
    """

    def __init__(
        self,
        *,
        limits: PoolLimits,
        now: float,
        phase: ServerPhase = ServerPhase.COLD,
        fair_by_time: bool = False,
    ):
        self.ramp = Ramp(limits=limits, now=now, phase=phase)
        self.phase = phase
        self.limits = limits
        self._fair_by_time = fair_by_time
        self._queues = [FairQueue(cost=self._cost) for _ in RequestClass]
        self._counts: list[dict[WorkspaceId, int]] = [{} for _ in RequestClass]
        self._held: dict[Slice, dict[RequestId, QueuedRequest]] = {}
        self._holds_all = False
        self._waiting: dict[RequestId, QueuedRequest] = {}
        self._running: dict[RequestId, QueuedRequest] = {}
        self._running_slices: dict[Slice, int] = {}
        self._lingering: list[float] = []
        self._deadlines: list[tuple[float, int, QueuedRequest]] = []
        self._sequence = 0
        self._refused: list[Refused] = []
        self._service_times: dict[WorkspaceId, float] = {}
        self._swept_at = now

    @property
    def queued(self) -> int:
        """Requests that wait, held back ones included."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Requests that were sent and have not ended."""
        return len(self._running)

    def enqueue(self, now: float, request: QueuedRequest) -> Refusal | None:
        """Queues a request, or returns why it is refused.

        A request that cannot end before its deadline by the present estimate is refused
        at once. If the queue is full, a request of the lowest class and of the
        workspace with the most waiting makes room; `expire` returns it.

        Raises:
            ValueError: If a request with this id already waits or runs.
        """
        if request.request_id in self._waiting or request.request_id in self._running:
            raise ValueError(f"request {request.request_id} is already at the gate")
        if now >= request.deadline:
            return Refusal(error=DeadlineExceeded)
        if self.phase is ServerPhase.DRAINING and request.slice == NO_SLICE:
            return Refusal(error=ServerDraining)
        if request.slice == NO_SLICE and self.ramp.is_probing and self._is_busy(now):
            # Another server can run it sooner than one that is tried with one request.
            return _refuse_overloaded(self.ramp.estimate_interval())
        held = request.slice in self._held
        if not held and not self._stopped:
            late = self._estimate_lateness(now, request)
            if late > 0:
                return _refuse_overloaded(late)
        if len(self._waiting) >= self.limits.queue and not self._make_room(request):
            return _refuse_overloaded(self.ramp.estimate_interval())
        self._admit(request)
        if held:
            self._held[request.slice][request.request_id] = request
        else:
            self._queues[request.request_class.value].push(request)
        return None

    def next(self, now: float, lease_until: float) -> list[QueuedRequest]:
        """Returns the requests that may be sent at this moment.

        Args:
            now: Seconds of a monotonic clock.
            lease_until: End of the host's session lease on the same clock; nothing is
                returned from then on.
        """
        sent = []
        if self._stopped:
            return sent
        while now < lease_until and self.ramp.allows(now, self._count_busy(now)):
            request = self._pop()
            if request is None:
                break
            if self._refuse_late(now, request):
                continue
            self._start(now, request)
            sent.append(request)
        return sent

    def finished(
        self, now: float, request_id: RequestId, outcome: Outcome, latency: float
    ) -> list[Slice]:
        """Takes the end of a request that `next` returned; ignores any other.

        Args:
            now: Seconds of a monotonic clock.
            request_id: Which request ended.
            outcome: How it ended.
            latency: Seconds from the send to the end.

        Returns:
            The slice of the request if it is being released and nothing of it runs.
        """
        request = self._running.pop(request_id, None)
        if request is None:
            return []
        if outcome is Outcome.ANSWERED:
            self.ramp.record_answer(now, latency)
            self._learn_cost(request.workspace, latency)
        elif outcome is Outcome.SHED:
            self.ramp.back_off(now)
        elif outcome is Outcome.ABANDONED:
            linger = min(self.ramp.latency_estimator.recent, MOST_LINGER)
            heapq.heappush(self._lingering, now + linger)
            self.ramp.record_abandoned(now, latency)
        if self.ramp.is_probing:
            self._refuse_pooled()
        return self._end_slice(request.slice)

    def expire(self, now: float) -> list[Refused]:
        """Returns the requests that are refused: late ones and those that made room."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, request = heapq.heappop(self._deadlines)
            if self._waiting.get(request.request_id) is request:
                self._refuse(request, Refusal(error=DeadlineExceeded))
        if now - self._swept_at >= SWEEP_INTERVAL:
            self._swept_at = now
            self._sweep(now)
        refused, self._refused = self._refused, []
        return refused

    def _refuse_pooled(self) -> None:
        for request in list(self._waiting.values()):
            if request.slice == NO_SLICE:
                self._refuse(request, _refuse_overloaded(self.ramp.estimate_interval()))

    def _is_busy(self, now: float) -> bool:
        return bool(self._waiting) or self._count_busy(now) > 0

    def set_phase(self, now: float, phase: ServerPhase, cold_rate: float) -> None:
        """Takes the phase of each announcement of the server.

        A draining server is sent nothing more. Waiting requests of pooled routes are
        refused, as another server can run them; those of slices wait until their slices
        have moved.
        """
        self.phase = phase
        if phase is not ServerPhase.DRAINING:
            self.ramp.update_phase(now, phase, cold_rate)
            return
        for request in list(self._waiting.values()):
            if request.slice == NO_SLICE:
                self._refuse(request, Refusal(error=ServerDraining))

    def release(self, slices: Iterable[Slice]) -> list[Slice]:
        """Holds back requests of slices and returns the slices of which nothing runs.

        Of any other slice, `finished` tells when nothing of it runs any more.
        """
        idle = []
        for number in slices:
            self._held.setdefault(number, {})
            if number not in self._running_slices:
                idle.append(number)
        for request in self._waiting.values():
            if request.slice not in self._held:
                continue
            if self._queues[request.request_class.value].remove(request):
                self._held[request.slice][request.request_id] = request
        return idle

    def resume(self, slices: Iterable[Slice]) -> None:
        """Stops holding back requests of slices that stay with this server."""
        for number in slices:
            held = self._held.pop(number, {})
            for request in reversed(held.values()):
                self._queues[request.request_class.value].push(request, first=True)

    def forward(self, slices: Iterable[Slice]) -> list[QueuedRequest]:
        """Removes and returns requests of slices that moved, to go to another gate."""
        moved = []
        for number in slices:
            moved += self._held.pop(number, {}).values()
        for request in moved:
            self._discharge(request)
        return moved

    def release_gate(self) -> bool:
        """Holds back everything; returns whether nothing runs any more."""
        self._holds_all = True
        return not self._running

    def forward_all(self) -> list[QueuedRequest]:
        """Removes and returns every waiting request, to go to another gate."""
        moved = list(self._waiting.values())
        for request in moved:
            self._remove(request)
        return moved

    def drop(
        self,
        predicate: Callable[[QueuedRequest], bool],
        error: type[MonsoonlugError] = KeyRefused,
    ) -> list[Refused]:
        """Removes waiting requests and returns them with their refusal."""
        dropped = [item for item in self._waiting.values() if predicate(item)]
        for request in dropped:
            self._remove(request)
        return [(request, Refusal(error=error)) for request in dropped]

    def cancel(self, request_id: RequestId) -> bool:
        """Removes a waiting request whose caller left; returns whether it waited."""
        request = self._waiting.get(request_id)
        if request is None:
            return False
        self._remove(request)
        return True

    def wake_at(self, now: float, lease_until: float) -> float | None:
        """Time at which to call `next` and `expire` again, or None if nothing waits.

        A renewed lease is an event of its own, after which to call them too.
        """
        if self._refused:
            return now
        while self._deadlines:
            _, _, request = self._deadlines[0]
            if self._waiting.get(request.request_id) is request:
                break
            heapq.heappop(self._deadlines)
        if not self._deadlines:
            return None
        wake = self._deadlines[0][0]
        if self._stopped or now >= lease_until or not any(map(len, self._queues)):
            return wake
        if self._count_busy(now) < self.ramp.concurrency:
            return max(now, min(wake, self.ramp.find_next_send()))
        if self._lingering:
            return min(wake, self._lingering[0])
        return wake

    def _cost(self, workspace: WorkspaceId) -> float:
        if not self._fair_by_time:
            return 1.0
        mean = self.ramp.latency_estimator.recent
        own = self._service_times.get(workspace, mean)
        return min(max(own / max(mean, 1e-9), LOWEST_COST), HIGHEST_COST)

    def _learn_cost(self, workspace: WorkspaceId, latency: float) -> None:
        known = self._service_times.pop(workspace, latency)
        self._service_times[workspace] = known + COST_WEIGHT * (latency - known)
        if len(self._service_times) > MAX_COSTS:
            del self._service_times[next(iter(self._service_times))]

    @property
    def _stopped(self) -> bool:
        return self._holds_all or self.phase is ServerPhase.DRAINING

    def _count_busy(self, now: float) -> int:
        while self._lingering and self._lingering[0] <= now:
            heapq.heappop(self._lingering)
        return len(self._running) + len(self._lingering)

    def _estimate_lateness(self, now: float, request: QueuedRequest) -> float:
        ahead = 0
        for queue in self._queues[: request.request_class.value]:
            ahead += len(queue)
        ahead += self._queues[request.request_class.value].count_ahead(
            request.workspace
        )
        return self._find_end(now, ahead) - request.deadline

    def _find_end(self, now: float, ahead: int) -> float:
        busy = self._count_busy(now)
        if not ahead and not busy:
            # An idle server is always tried, or one slow answer would refuse all.
            return max(now, self.ramp.find_next_send())
        service = self.ramp.latency_estimator.recent
        start = max(now, self.ramp.find_next_send())
        if busy >= self.ramp.concurrency:
            start = max(start, now + self.ramp.estimate_interval() / 2)
        return start + ahead * self.ramp.estimate_interval() + service

    def _make_room(self, request: QueuedRequest) -> bool:
        for priority in reversed(RequestClass):
            counts = self._counts[priority.value]
            if priority.value < request.request_class.value:
                return False
            if priority is request.request_class:
                counts = dict(counts)
                counts[request.workspace] = counts.get(request.workspace, 0) + 1
            if not counts:
                continue
            most = max(counts.values())
            if priority is request.request_class and counts[request.workspace] == most:
                return False
            workspace = next(name for name, count in counts.items() if count == most)
            victim = self._find_victim(priority, workspace)
            self._refuse(victim, _refuse_overloaded(self.ramp.estimate_interval()))
            return True
        return False

    def _find_victim(
        self, priority: RequestClass, workspace: WorkspaceId
    ) -> QueuedRequest:
        newest = self._queues[priority.value].find_newest(workspace)
        if newest is not None:
            return newest
        return next(
            request
            for request in reversed(self._waiting.values())
            if request.workspace == workspace and request.request_class is priority
        )

    def _pop(self) -> QueuedRequest | None:
        for queue in self._queues:
            request = queue.pop()
            if request is not None:
                return request
        return None

    def _refuse_late(self, now: float, request: QueuedRequest) -> bool:
        if now < request.deadline:
            return False
        self._discharge(request)
        self._refused.append((request, Refusal(error=DeadlineExceeded)))
        return True

    def _start(self, now: float, request: QueuedRequest) -> None:
        self._discharge(request)
        self._running[request.request_id] = request
        if request.slice != NO_SLICE:
            count = self._running_slices.get(request.slice, 0)
            self._running_slices[request.slice] = count + 1
        self.ramp.record_send(now)

    def _end_slice(self, number: Slice) -> list[Slice]:
        if number == NO_SLICE:
            return []
        self._running_slices[number] -= 1
        if self._running_slices[number]:
            return []
        del self._running_slices[number]
        return [number] if number in self._held else []

    def _admit(self, request: QueuedRequest) -> None:
        self._waiting[request.request_id] = request
        counts = self._counts[request.request_class.value]
        counts[request.workspace] = counts.get(request.workspace, 0) + 1
        self._sequence += 1
        item = (request.deadline, self._sequence, request)
        heapq.heappush(self._deadlines, item)
        if len(self._deadlines) > 4 * self.limits.queue:
            self._deadlines = [
                row
                for row in self._deadlines
                if self._waiting.get(row[2].request_id) is row[2]
            ]
            heapq.heapify(self._deadlines)

    def _discharge(self, request: QueuedRequest) -> None:
        del self._waiting[request.request_id]
        counts = self._counts[request.request_class.value]
        counts[request.workspace] -= 1
        if not counts[request.workspace]:
            del counts[request.workspace]

    def _remove(self, request: QueuedRequest) -> None:
        if not self._queues[request.request_class.value].remove(request):
            self._held[request.slice].pop(request.request_id)
        self._discharge(request)

    def _refuse(self, request: QueuedRequest, refusal: Refusal) -> None:
        self._remove(request)
        self._refused.append((request, refusal))

    def _sweep(self, now: float) -> None:
        if self._stopped or not self._waiting:
            return
        first = self._find_end(now, 0)
        spacing = self.ramp.estimate_interval()
        ahead = 0
        late_ones = []
        for queue in self._queues:
            for request in queue.iterate():
                late = first + ahead * spacing - request.deadline
                if late > 0:
                    late_ones.append((request, late))
                    continue
                ahead += 1
        for request, late in late_ones:
            self._refuse(request, _refuse_overloaded(late))


def _refuse_overloaded(retry_after: float) -> Refusal:
    return Refusal(error=Overloaded, retry_after=max(retry_after, LEAST_RETRY_AFTER))
