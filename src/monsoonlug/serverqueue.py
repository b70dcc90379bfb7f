"""Decides what the backend servers of one gate are sent, and when.

A gate never sends a server more than it has slots for, as some servers never answer
what they cannot queue. Requests wait here instead: the lower class waits for the higher
one, workspaces of a class are served in turn, and what can no longer end before its
deadline is refused at once, with the time at which there will be room.
"""

import math
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from monsoonlug.exceptions import (
    DeadlineExceeded,
    MonsoonlugError,
    NotGate,
    Overloaded,
    Refusal,
    ServerDraining,
)
from monsoonlug.fairness import FairQueue, QueuedRequest
from monsoonlug.gate import Outcome, Refused
from monsoonlug.ids import RequestClass, RequestId, ServerId

RETURN_TIME = 0.015  # seconds from a server's answer until the caller has it
FIRST_WORK = 0.150  # seconds of a request's work, assumed before the first answer
WORK_WEIGHT = 0.02  # of one answer in the mean work of a route
FIRST_ANSWERS = 20  # answers that count as much as all before in the mean work
SLOWNESS_WEIGHT = 0.20  # of one answer in the slowness of a server
LEAST_SLOWNESS = 0.3
MOST_SLOWNESS = 12.0
COLD_SHARE = 1.1  # of the rate that a cold server bears; it bears 1.5 for a second
LEAST_RETRY_AFTER = 0.050  # seconds
MOST_RETRY_AFTER = 2.0  # seconds
CAUTION = 1.25  # times a request's usual time, that must be left before its objective
LEAST_CHANCE = 0.7  # of a request's usual time, in which it may still end
LEAST_PATIENCE = 0.3  # of a request's time, that it may wait on a slow server
SWEEP_INTERVAL = 0.020  # seconds between two checks of the whole queue
SLOW_FACTOR = 1.5  # of the best server's time, above which a shared request waits
SLOWDOWN_TIME = 0.3  # seconds for which a reported slowdown is believed
USUAL_SLOWDOWN = 1.2  # assumed of a server's machine that has said nothing lately
DOWN_TIME = 0.5  # seconds until a server that could not be reached is tried again
USE_WINDOW = 1.0  # seconds over which the use of a server is measured


class WorkModel:
    """Mean work of each route and slowness of each server of a pool.

    A request's time at a server is about the work of its route times the slowness of
    the server, which is 1 for a server of mean speed.
    """

    def __init__(self):
        self._work: dict[str, float] = {}
        self._answers: dict[str, int] = {}
        self._slowness: dict[ServerId, float] = {}

    def estimate(self, route: str, server: ServerId) -> float:
        """Returns the seconds that a request will probably take."""
        return self._work.get(route, FIRST_WORK) * self.find_slowness(server)

    def find_slowness(self, server: ServerId) -> float:
        """Returns the slowness of a server."""
        return self._slowness.get(server, 1.0)

    def learn(self, route: str, server: ServerId, latency: float) -> None:
        """Takes the time that a whole answer took, in seconds."""
        work = self._work.get(route, latency)
        answers = self._answers.get(route, 0) + 1
        slowness = self.find_slowness(server)
        weight = 1 / answers if answers < FIRST_ANSWERS else WORK_WEIGHT
        work += weight * (latency / slowness - work)
        self._work[route] = max(work, 1e-4)
        self._answers[route] = answers
        ratio = latency / self._work[route]
        slowness += SLOWNESS_WEIGHT * (ratio - slowness)
        self._slowness[server] = min(max(slowness, LEAST_SLOWNESS), MOST_SLOWNESS)

    def forget(self, server: ServerId) -> None:
        """Drops what is known about a server that is gone."""
        self._slowness.pop(server, None)


@dataclass(slots=True, kw_only=True)
class _Running:
    request: QueuedRequest
    started: float
    estimate: float


@dataclass(slots=True, kw_only=True, eq=False)
class _Server:
    """One server of the gate.

    Attributes:
        offered: Times and work of the requests that came for it.
    """

    name: ServerId
    slots: int
    cold_rate: float
    cold_until: float = 0.0
    closed_at: float = math.inf
    down_until: float = 0.0
    slowdown: float = 1.0
    slowdown_at: float = -math.inf
    next_cold_send: float = 0.0
    running: dict[RequestId, _Running] = field(default_factory=dict)
    queues: list[FairQueue] = field(
        default_factory=lambda: [FairQueue() for _ in RequestClass]
    )
    offered: deque[tuple[float, float]] = field(default_factory=deque)

    def is_cold(self, now: float) -> bool:
        return now < self.cold_until

    def may_send(self, now: float) -> bool:
        if len(self.running) >= self.slots or now >= self.closed_at:
            return False
        if now < self.down_until:
            return False
        return not self.is_cold(now) or now >= self.next_cold_send

    def find_slowdown(self, now: float) -> float:
        if now - self.slowdown_at > SLOWDOWN_TIME:
            return USUAL_SLOWDOWN
        return self.slowdown

    def note_sent(self, now: float) -> None:
        if self.is_cold(now) and self.cold_rate > 0:
            spacing = 1 / (self.cold_rate * COLD_SHARE)
            self.next_cold_send = max(now, self.next_cold_send) + spacing


class ServerQueue:
    """The gate of one server of a keyed pool, or of some servers of another pool.

    After each event call `next` and `expire`, and call both again at `wake_at`. Each
    request that `enqueue` accepts ends exactly once: in the result of `next`, `expire`
    or `cancel`.

    Args:
        model: Estimates of the pool.
    """

    def __init__(self, *, model: WorkModel):
        self._model = model
        self._servers: dict[ServerId, _Server] = {}
        self._shared = [FairQueue() for _ in RequestClass]
        self._waiting: dict[RequestId, tuple[QueuedRequest, ServerId | None]] = {}
        self._refused: list[Refused] = []
        self._swept_at = -math.inf

    @property
    def servers(self) -> list[ServerId]:
        """The servers of this gate."""
        return list(self._servers)

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return len(self._waiting)

    def put_server(self, server: ServerId, *, slots: int, cold_rate: float) -> None:
        """Adds a server, or changes what it bears."""
        known = self._servers.get(server)
        if known is None:
            self._servers[server] = _Server(
                name=server, slots=slots, cold_rate=cold_rate
            )
            return
        known.slots = slots
        known.cold_rate = cold_rate

    def drop_server(self, server: ServerId) -> None:
        """Removes a server; what waits for it is refused as not run."""
        if self._servers.pop(server, None) is None:
            return
        for request, bound in list(self._waiting.values()):
            if bound == server:
                self._refuse(request, Refusal(error=NotGate))
        if not self._servers:
            for request, _ in list(self._waiting.values()):
                self._refuse(request, Refusal(error=NotGate))

    def close_server(self, server: ServerId, at: float) -> None:
        """Sends nothing more to a server from a time on."""
        known = self._servers.get(server)
        if known is not None:
            known.closed_at = at

    def set_cold(self, now: float, server: ServerId, seconds: float) -> None:
        """Takes for how long a server is cold from now on."""
        known = self._servers.get(server)
        if known is None:
            return
        if seconds > 0 and not known.is_cold(now):
            known.next_cold_send = now
        known.cold_until = now + seconds

    def enqueue(
        self, now: float, request: QueuedRequest, server: ServerId | None
    ) -> Refusal | None:
        """Queues a request, or returns why it is refused.

        Args:
            now: Seconds.
            request: The request.
            server: The only server that may run it, or None for any.
        """
        if server is not None and server not in self._servers:
            return Refusal(error=NotGate)
        if not self._servers:
            return Refusal(error=NotGate)
        if server is not None and now >= self._servers[server].closed_at:
            return Refusal(error=ServerDraining)
        if server is not None:
            self._note_offered(now, self._servers[server], request)
            down_for = self._servers[server].down_until - now
            if down_for > 0:
                return _refuse_overloaded(down_for)
        if now >= request.deadline:
            return Refusal(error=DeadlineExceeded)
        wait, service = self._predict(now, request, server)
        late = now + wait + service + RETURN_TIME - request.deadline
        # A free server is always tried, or one slow answer would close it for good.
        if late > 0 and wait > 0:
            return _refuse_overloaded(late)
        too_long = wait - self._find_patience(now, request, service)
        if too_long > 0:
            return _refuse_overloaded(too_long)
        self._waiting[request.request_id] = (request, server)
        self._find_queues(server)[request.request_class.value].push(request)
        return None

    def next(self, now: float) -> list[tuple[QueuedRequest, ServerId]]:
        """Returns the requests to send now, each with its server."""
        sent = []
        while True:
            found = self._choose(now)
            if found is None:
                return sent
            request, server = found
            del self._waiting[request.request_id]
            estimate = self._model.estimate(request.route, server.name)
            if server.running and now + 0.5 * estimate > request.deadline:
                self._refused.append((request, _refuse_overloaded(estimate)))
                continue
            server.note_sent(now)
            server.running[request.request_id] = _Running(
                request=request, started=now, estimate=estimate
            )
            sent.append((request, server.name))

    def finished(
        self,
        now: float,
        request_id: RequestId,
        server: ServerId,
        outcome: Outcome,
        *,
        slowdown: float = 1.0,
    ) -> None:
        """Takes the end of a request that `next` returned.

        Args:
            now: Seconds.
            request_id: Which request ended.
            server: Where it ran.
            outcome: How it ended.
            slowdown: How much longer than usual work takes on the server's machine.
        """
        known = self._servers.get(server)
        running = known.running.pop(request_id, None) if known else None
        if running is None:
            return
        latency = now - running.started
        known.slowdown = slowdown
        known.slowdown_at = now
        if outcome is Outcome.UNREACHED:
            self._take_down(now, known)
        if outcome is Outcome.ANSWERED:
            self._model.learn(running.request.route, server, latency)
        elif outcome is Outcome.ABANDONED and latency > running.estimate:
            # It took at least this long.
            self._model.learn(running.request.route, server, latency)

    def expire(self, now: float) -> list[Refused]:
        """Returns the requests that are refused, as they would end too late."""
        if self._waiting and now - self._swept_at >= SWEEP_INTERVAL:
            self._swept_at = now
            self._sweep(now)
        refused, self._refused = self._refused, []
        return refused

    def cancel(self, request_id: RequestId) -> bool:
        """Removes a waiting request whose caller left; returns whether it waited."""
        found = self._waiting.pop(request_id, None)
        if found is None:
            return False
        request, server = found
        self._find_queues(server)[request.request_class.value].remove(request)
        return True

    def wake_at(self, now: float) -> float | None:
        """Time at which to call `next` and `expire` again, or None."""
        if self._refused:
            return now
        if not self._waiting:
            return None
        wake = now + SWEEP_INTERVAL
        for server in self._servers.values():
            if server.down_until > now:
                wake = min(wake, server.down_until)
            if len(server.running) < server.slots and server.is_cold(now):
                wake = min(wake, max(now, server.next_cold_send))
        return wake

    def predict(self, now: float, route: str, rank: RequestClass) -> float:
        """Returns the seconds until a new shared request would be answered."""
        if not self._servers:
            return math.inf
        return sum(self._predict_shared(now, route, rank))

    def measure(self, now: float) -> Iterator[tuple[ServerId, float, float]]:
        """Yields each server, its slowness and its offered load over its slots."""
        for server in self._servers.values():
            while server.offered and server.offered[0][0] < now - USE_WINDOW:
                server.offered.popleft()
            work = sum(amount for _, amount in server.offered)
            use = work / (USE_WINDOW * server.slots)
            yield server.name, self._model.find_slowness(server.name), use

    def _take_down(self, now: float, server: _Server) -> None:
        """Stops sending to a server that could not be reached, for a moment."""
        server.down_until = now + DOWN_TIME
        for request, bound in list(self._waiting.values()):
            if bound == server.name:
                self._refuse(request, _refuse_overloaded(DOWN_TIME))

    def _note_offered(
        self, now: float, server: _Server, request: QueuedRequest
    ) -> None:
        estimate = self._model.estimate(request.route, server.name)
        server.offered.append((now, estimate))
        while server.offered[0][0] < now - USE_WINDOW:
            server.offered.popleft()

    def _find_patience(
        self, now: float, request: QueuedRequest, service: float
    ) -> float:
        """Returns the seconds for which a request may wait.

        A longer queue would serve as many requests, but each of them late. What waits
        longer is refused at once and can come back when there is room.
        """
        spare = request.objective - now - CAUTION * service - RETURN_TIME
        return max(LEAST_PATIENCE * service, spare)

    def _find_queues(self, server: ServerId | None) -> list[FairQueue]:
        if server is None:
            return self._shared
        return self._servers[server].queues

    def _predict(
        self, now: float, request: QueuedRequest, server: ServerId | None
    ) -> tuple[float, float]:
        """Returns the seconds until a request starts, and that it takes then."""
        if server is None:
            return self._predict_shared(now, request.route, request.request_class)
        known = self._servers[server]
        ahead = 0.0
        count = 0
        for queue in known.queues[: request.request_class.value + 1]:
            for other in queue.iterate():
                ahead += self._model.estimate(other.route, server)
                count += 1
        wait = self._find_wait(now, known, ahead, count)
        return wait, self._model.estimate(request.route, server)

    def _predict_shared(
        self, now: float, route: str, rank: RequestClass
    ) -> tuple[float, float]:
        ahead = 0.0
        count = 0
        for queue in self._shared[: rank.value + 1]:
            for other in queue.iterate():
                ahead += self._model.estimate(other.route, ServerId(""))
                count += 1
        share = len(self._servers)
        best = (math.inf, 0.0)
        for server in self._servers.values():
            slowness = self._model.find_slowness(server.name)
            wait = self._find_wait(now, server, ahead * slowness / share, count / share)
            wait = max(wait, server.down_until - now)
            service = self._model.estimate(route, server.name)
            if wait + service < sum(best):
                best = (wait, service)
        return best

    def _find_wait(
        self, now: float, server: _Server, ahead: float, count: float
    ) -> float:
        left = []
        for running in server.running.values():
            elapsed = now - running.started
            left.append(max(running.estimate - elapsed, 0.2 * running.estimate))
        wait = ahead / server.slots
        if len(left) >= server.slots:
            wait += min(left)
        if server.is_cold(now) and server.cold_rate > 0:
            turn = count / (server.cold_rate * COLD_SHARE)
            wait = max(wait, server.next_cold_send - now + turn)
        return wait

    def _choose(self, now: float) -> tuple[QueuedRequest, _Server] | None:
        ready = [item for item in self._servers.values() if item.may_send(now)]
        if not ready:
            return None
        for rank in RequestClass:
            for server in ready:
                request = server.queues[rank.value].pop()
                if request is not None:
                    return request, server
            if not len(self._shared[rank.value]):
                continue
            server = self._choose_server(now, ready)
            if server is None:
                return None
            return self._shared[rank.value].pop(), server
        return None

    def _choose_server(self, now: float, ready: list[_Server]) -> _Server | None:
        """Returns the fastest free server, or None if a better one is soon free."""
        best = min(ready, key=lambda item: self._rank_speed(now, item))
        own = self._model.estimate("", best.name) * best.find_slowdown(now)
        for other in self._servers.values():
            if other in ready or other.is_cold(now):
                continue
            soon = self._find_wait(now, other, 0.0, 0.0)
            service = self._model.estimate("", other.name) * other.find_slowdown(now)
            if SLOW_FACTOR * (soon + service) < own:
                return None
        return best

    def _rank_speed(self, now: float, server: _Server) -> tuple[bool, float]:
        slowness = self._model.find_slowness(server.name)
        return server.is_cold(now), slowness * server.find_slowdown(now)

    def _sweep(self, now: float) -> None:
        for request, server in list(self._waiting.values()):
            if server is not None and now >= self._servers[server].closed_at:
                self._refuse(request, Refusal(error=ServerDraining))
                continue
            service = self._estimate_service(request, server)
            if now + LEAST_CHANCE * service <= request.deadline:
                continue
            self._refuse(request, _refuse_overloaded(service))

    def _estimate_service(
        self, request: QueuedRequest, server: ServerId | None
    ) -> float:
        if server is not None:
            return self._model.estimate(request.route, server)
        return min(self._model.estimate(request.route, name) for name in self._servers)

    def _refuse(self, request: QueuedRequest, refusal: Refusal) -> None:
        _, server = self._waiting.pop(request.request_id)
        if server is None or server in self._servers:
            self._find_queues(server)[request.request_class.value].remove(request)
        self._refused.append((request, refusal))


def _refuse_overloaded(retry_after: float) -> Refusal:
    pause = min(max(retry_after, LEAST_RETRY_AFTER), MOST_RETRY_AFTER)
    error: type[MonsoonlugError] = Overloaded
    return Refusal(error=error, retry_after=pause)
