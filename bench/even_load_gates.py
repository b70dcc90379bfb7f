"""Gates of the product over models of backend servers, in virtual time."""

import math
from dataclasses import dataclass, field
from functools import partial

from bench.even_load_strategies import GateMeasure, Response
from bench.event_queue import EventQueue
from bench.server_model import ServerModel
from monsoonlug.fairness import QueuedRequest
from monsoonlug.gate import Outcome
from monsoonlug.gatehost import GateId
from monsoonlug.ids import RequestClass, ServerId
from monsoonlug.serverqueue import ServerQueue, ServiceTimeModel

MEAN_WORK = 0.300  # seconds on a server of average speed
DISTURBED_FACTOR = 3.0  # of service times
ROUTE = "r"


@dataclass(slots=True, kw_only=True)
class ModelServer:
    name: ServerId
    slots: int
    speed: float
    model: ServerModel
    sent_at: list[float] = field(default_factory=list)
    # Times and factors from which on the machine's speed is divided by the factor.
    changes: list[tuple[float, float]] = field(default_factory=lambda: [(0.0, 1.0)])

    def find_capacity(self, start: float, end: float) -> float:
        """Returns the work that the server could run in a time, in requests."""
        total = 0.0
        for position, (at, factor) in enumerate(self.changes):
            until = end
            if position + 1 < len(self.changes):
                until = min(end, self.changes[position + 1][0])
            total += max(0.0, until - max(start, at)) / factor
        return total * self.slots * self.speed / MEAN_WORK


class FastestFirstQueue(ServerQueue):
    """Fills the fastest server first, as gates did before requests were spread."""

    @property
    def is_spread(self) -> bool:
        return False


class ModelGate:
    """A gate of the product with the models of its servers."""

    def __init__(
        self,
        *,
        clock: EventQueue,
        gate: GateId,
        servers: list[ModelServer],
        queue_type: type[ServerQueue],
    ):
        self.gate = gate
        self.servers: dict[ServerId, ModelServer] = {
            item.name: item for item in servers
        }
        self.slots = sum(item.slots for item in servers)
        self.is_lost = False
        self._clock = clock
        self._queue = queue_type(model=ServiceTimeModel())
        for server in servers:
            self._queue.set_server(server.name, slots=server.slots, cold_rate=0.0)
        self._wake_at = math.inf
        self._running = 0

    @property
    def backlog(self) -> int:
        """Requests that run or wait at this gate."""
        return self._running + self._queue.queued

    def receive(self, request: QueuedRequest) -> None:
        """Queues a request; `payload` is called with its end."""
        refusal = self._queue.enqueue(self._clock.now, request, None)
        if refusal is not None:
            request.payload(False, self.measure())
            return
        self._run()

    def measure(self) -> Response:
        """Returns what a response tells about this gate."""
        now = self._clock.now
        wait = self._queue.predict_latency(now, ROUTE, RequestClass.NORMAL)
        return Response(
            measured_at=now,
            wait=wait,
            backlog=self.backlog,
            measure=GateMeasure(
                utilization=self.backlog / self.slots,
                capacity=self._find_capacity(now),
            ),
        )

    def _find_capacity(self, now: float) -> float:
        """Returns requests per second; the alternatives know it exactly."""
        capacity = 0.0
        for server in self.servers.values():
            factor = DISTURBED_FACTOR if now < server.model.slow_until else 1.0
            capacity += server.slots * server.speed / factor / MEAN_WORK
        return capacity

    def _run(self) -> None:
        now = self._clock.now
        for request, name in self._queue.dequeue(now):
            server = self.servers[name]
            server.sent_at.append(now)
            self._running += 1
            server.model.receive("gate", partial(self._finish, request, server))
        for request, _ in self._queue.expire(now):
            request.payload(False, self.measure())
        wake = self._queue.find_wake_time(now)
        if wake is not None and (self._wake_at <= now or wake < self._wake_at):
            self._wake_at = max(wake, now + 0.001)
            self._clock.call_later(self._wake_at - now, self._run)

    def _finish(self, request: QueuedRequest, server: ModelServer) -> None:
        now = self._clock.now
        is_slow = now < server.model.slow_until
        response = self.measure()
        self._running -= 1
        self._queue.finish(
            now,
            request.request_id,
            server.name,
            Outcome.ANSWERED,
            slowdown=server.model.slow_factor if is_slow else 1.0,
        )
        request.payload(True, response)
        self._run()
