"""Admission control and priority queueing for the backend servers of one gate.

A gate limits the concurrent requests of each server to the server's slots, because some
servers never respond to requests that they cannot queue. Excess requests wait in the
gate's queues, in the order that `slot_order` decides. A request that is predicted to
miss its deadline is rejected immediately, with a Retry-After that estimates when there
will be capacity.
"""

import math
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import chain

from monsoonlug.cold_starts import ColdPace
from monsoonlug.exceptions import (
    ConnectFailed,
    DeadlineExceeded,
    NotGate,
    Overloaded,
    Refusal,
    ServerDraining,
    ServerResting,
)
from monsoonlug.fairness import QueuedRequest
from monsoonlug.gate import Outcome, RefusedRequest
from monsoonlug.gate_measures import MIN_SPREAD_SLOTS, GateMeter, ServerCapacity
from monsoonlug.ids import RequestClass, RequestId, ServerId
from monsoonlug.request_limits import RequestLimits
from monsoonlug.return_times import MIN_RETRY_AFTER, ReturnTimes
from monsoonlug.server_choice import (
    FreeServer,
    ServerChoice,
    ServerOption,
    choose_fastest,
    is_worth_waiting,
)
from monsoonlug.server_speeds import (
    MeanSlowdown,
    ServerReport,
    ServerSpeed,
    ServiceTimeModel,
)
from monsoonlug.slot_order import (
    ObjectiveOrder,
    OverloadCounts,
    RequestQueue,
    SlotOrder,
    StrictOrder,
)

RESPONSE_DELIVERY_TIME = 0.015  # seconds from the server's response to the caller
# Multiple of the configured cold rate that is sent to a cold server, which tolerates
# 1.5 times that rate for one second.
COLD_RATE_FACTOR = 1.1
MAX_RETRY_AFTER = 2.0  # seconds
# Multiple of a request's expected service time that must remain before its latency
# objective when it is sent.
OBJECTIVE_MARGIN = 1.25
# Share of the expected service time that must remain before the deadline for a queued
# request to stay queued; it may still finish in less than its expected time.
MIN_REMAINING_SHARE = 0.7
# Share of the expected service time that a request may always wait, even if the server
# is too slow to meet the latency objective.
MIN_QUEUE_WAIT_SHARE = 0.3
SWEEP_INTERVAL = 0.020  # seconds between two scans of all waiting requests
SLOWDOWN_TTL = 0.3  # seconds for which a reported slowdown is used
DEFAULT_SLOWDOWN = 1.2  # assumed without a report within SLOWDOWN_TTL
MAX_REPORT_AGE = 1.0  # seconds for which an idle server is reported after a probe
# Seconds after which the keys of a resting server have another owner.
KEY_MOVE_TIME = 1.0
RECONNECT_DELAY = 0.5  # seconds until an unreachable server is tried again
MIN_SILENCE = 0.3  # seconds without a response until a server may be silent
SILENCE_FACTOR = 2.5  # times the expected service time; the same for slow requests
ACTIVE_TIME = 1.0  # seconds after a response for which a server counts as active
UTILIZATION_WINDOW = 1.0  # seconds over which utilization is measured


@dataclass(slots=True, kw_only=True)
class _RunningRequest:
    request: QueuedRequest
    started_at: float
    estimate: float


@dataclass(slots=True, kw_only=True, eq=False)
class _ServerState:
    """State of one backend server of the gate.

    Attributes:
        cold_rate: Requests per second while the server is cold.
        is_confirmed: Whether the server is cold only until `cold_until`; else it may be
            cold and is paced, but expected to be warm.
        cold_share: Share of the rate of a cold server that this host may send, as
            others may send to the server as well.
        pace: What this host sent to the server lately.
        arrivals: Arrival time and expected service time of recent requests that only
            this server may run.
        speed: Measured service times.
        limits: Request limits of all servers of this host.
    """

    name: ServerId
    slots: int
    cold_rate: float
    limits: RequestLimits
    cold_until: float = 0.0
    is_confirmed: bool = True
    cold_share: float = 1.0
    pace: ColdPace = field(default_factory=ColdPace)
    closed_at: float = math.inf
    unreachable_until: float = 0.0
    resting_until: float = -math.inf
    slowdown: float = 1.0
    slowdown_reported_at: float = -math.inf
    last_response_at: float = -math.inf
    running: dict[RequestId, _RunningRequest] = field(default_factory=dict)
    queues: list[RequestQueue]
    arrivals: deque[tuple[float, float]] = field(default_factory=deque)
    speed: ServerSpeed = field(default_factory=ServerSpeed)

    def is_cold(self, now: float) -> bool:
        return now < self.cold_until

    def is_paced(self, now: float) -> bool:
        """Returns whether the server may get the rate of a cold server only."""
        return self.cold_rate > 0 and (not self.is_confirmed or self.is_cold(now))

    @property
    def cold_spacing(self) -> float:
        """Seconds between two requests to the server while it is cold."""
        return 1 / (self.cold_rate * COLD_RATE_FACTOR * self.cold_share)

    @property
    def is_barred(self) -> bool:
        """Whether this host sends nothing while the server is or may be cold."""
        return self.cold_share <= 0

    @property
    def rest_until(self) -> float:
        """Time until which the server wants nothing, at least from this host."""
        if self.is_barred and self.cold_rate > 0:
            return max(self.resting_until, self.cold_until)
        return self.resting_until

    @property
    def paused_until(self) -> float:
        """Time until which nothing is sent, whatever the server's load."""
        return max(self.unreachable_until, self.rest_until)

    def may_send(self, now: float) -> bool:
        if len(self.running) >= self.slots or now >= self.closed_at:
            return False
        if now < self.paused_until:
            return False
        return now >= self.find_next_send(now)

    def find_next_send(self, now: float) -> float:
        """Returns from when on the server's rates allow another request."""
        limiter = self.limits.find(self.name)
        at = limiter.next_send if limiter is not None else -math.inf
        if not self.is_paced(now):
            return at
        return math.inf if self.is_barred else max(at, self.pace.next_send)

    def estimate_send_delay(self, now: float, count: float) -> float:
        """Returns the seconds until the server's rates allow a request.

        Args:
            now: Seconds of a monotonic clock.
            count: Number of requests that are sent before.
        """
        delay = 0.0
        if self.is_cold(now) and self.cold_rate > 0 and not self.is_barred:
            delay = self.pace.next_send - now + count * self.cold_spacing
        limiter = self.limits.find(self.name)
        if limiter is not None:
            delay = max(delay, limiter.estimate_delay(now, count))
        return delay

    def get_slowdown(self, now: float) -> float:
        if now - self.slowdown_reported_at > SLOWDOWN_TTL:
            return DEFAULT_SLOWDOWN
        return self.slowdown

    def measure_capacity(self, now: float) -> ServerCapacity:
        """Returns the slots and the service time, or the rate limit if it is lower."""
        service_time = self.speed.base_latency * self.get_slowdown(now)
        limiter = self.limits.find(self.name)
        if limiter is not None:
            service_time = max(service_time, self.slots / limiter.rate)
        if self.is_cold(now) and self.cold_rate > 0:
            rate = self.cold_rate * COLD_RATE_FACTOR
            service_time = max(service_time, self.slots / rate)
        return ServerCapacity(slots=self.slots, service_time=service_time)

    def build_option(self, now: float) -> ServerOption:
        """Returns what the choice of a server depends on."""
        return ServerOption(
            name=self.name,
            is_cold=self.is_cold(now),
            share=(len(self.running) + 1) / self.slots,
            base_latency=self.speed.base_latency,
            latency_count=self.speed.latency_count,
            slowdown=self.get_slowdown(now),
        )

    def record_send(self, now: float) -> None:
        limiter = self.limits.find(self.name)
        if limiter is not None:
            limiter.record_send(now)
        self.pace.record_send(now)
        if self.is_paced(now) and not self.is_barred:
            next_send = max(now, self.pace.next_send)
            self.pace.next_send = next_send + self.cold_spacing

    def begin_pacing(self, now: float) -> None:
        """Starts to send at the rate of a cold server."""
        if self.cold_rate > 0:
            rate = self.cold_rate * COLD_RATE_FACTOR * self.cold_share
            self.pace.begin(now, rate)


class ServerQueue:
    """Queue of one gate: one server of a keyed pool, or several of another pool.

    Call `dequeue` and `expire` after each event, and again at the time that
    `find_wake_time` returns. Each request that `enqueue` accepts is returned exactly
    once, by `dequeue`, `expire` or `cancel`.

    Args:
        model: Service time estimates of the pool.
        limits: Request limits of the servers; those of the host if it has several
            queues, as a server may move between them.
        choice: Chooses the servers of shared requests; that of the host if it has
            several queues, as it counts its choices.
        counts: What the order and the rejections add to; shared by the host's queues.
        paces: What the host sent to each server lately; that of the host if it has
            several queues, as a server may move between them.
    """

    def __init__(
        self,
        *,
        model: ServiceTimeModel,
        limits: RequestLimits | None = None,
        choice: ServerChoice | None = None,
        counts: OverloadCounts | None = None,
        paces: dict[ServerId, ColdPace] | None = None,
    ):
        self._paces = paces if paces is not None else {}
        self._service_model = model
        self._choice = choice if choice is not None else ServerChoice()
        self._mean_slowdown = MeanSlowdown()
        self._limits = limits if limits is not None else RequestLimits()
        self._servers: dict[ServerId, _ServerState] = {}
        self._counts = counts if counts is not None else OverloadCounts()
        self._order: SlotOrder = StrictOrder()
        self._shared = self._order.build_queues()
        self._return_times = ReturnTimes()
        self._waiting: dict[RequestId, tuple[QueuedRequest, ServerId | None]] = {}
        self._refused: list[RefusedRequest] = []
        self._last_sweep_at = -math.inf
        self._meter = GateMeter()

    @property
    def servers(self) -> list[ServerId]:
        """The servers of this gate."""
        return list(self._servers)

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    @property
    def is_idle(self) -> bool:
        """Whether `dequeue` and `expire` have nothing to return at any time."""
        return not self._waiting and not self._refused

    @property
    def is_spread(self) -> bool:
        """Whether requests are spread over the servers by capacity."""
        return all(item.slots >= MIN_SPREAD_SLOTS for item in self._servers.values())

    @property
    def is_objective_ordered(self) -> bool:
        """Whether objectives decide the order, and rejected requests return spread."""
        return self.is_spread

    def set_server(self, server: ServerId, *, slots: int, cold_rate: float) -> None:
        """Adds a server, or updates its limits."""
        state = self._servers.get(server)
        if state is None:
            self._servers[server] = _ServerState(
                name=server,
                slots=slots,
                cold_rate=cold_rate,
                limits=self._limits,
                pace=self._paces.setdefault(server, ColdPace()),
                queues=self._order.build_queues(),
            )
            self._update_order()
            return
        state.slots = slots
        state.cold_rate = cold_rate
        self._update_order()

    def _update_order(self) -> None:
        """Moves the waiting requests to other queues if the order changed."""
        order_type = ObjectiveOrder if self.is_objective_ordered else StrictOrder
        if type(self._order) is order_type:
            return
        self._order = order_type()
        self._shared = self._order.build_queues()
        for state in self._servers.values():
            state.queues = self._order.build_queues()
        for request, server in self._waiting.values():
            self._push(request, server)

    def remove_server(self, server: ServerId) -> None:
        """Removes a server and refuses its waiting requests, which were not run."""
        if self._servers.pop(server, None) is None:
            return
        for request, only_server in list(self._waiting.values()):
            if only_server == server:
                self._refuse(request, Refusal(error=NotGate))
        if not self._servers:
            for request, _ in list(self._waiting.values()):
                self._refuse(request, Refusal(error=NotGate))
            return
        self._update_order()

    def close_server(self, server: ServerId, at: float) -> None:
        """Sets the time from which a server is sent no more requests."""
        state = self._servers.get(server)
        if state is not None:
            state.closed_at = at
            self._last_sweep_at = -math.inf

    def set_cold(self, now: float, server: ServerId, seconds: float) -> None:
        """Treats a server as cold for the given seconds from now on."""
        state = self._servers.get(server)
        if state is None:
            return
        if seconds > 0 and not state.is_paced(now):
            state.begin_pacing(now)
        state.cold_until = now + seconds

    def set_confirmed(self, now: float, server: ServerId, is_confirmed: bool) -> None:
        """Sets whether it is certain that a server is not cold beyond `set_cold`."""
        state = self._servers.get(server)
        if state is None or state.is_confirmed == is_confirmed:
            return
        if not state.is_paced(now):
            state.begin_pacing(now)
        state.is_confirmed = is_confirmed

    def set_cold_share(self, server: ServerId, share: float) -> None:
        """Sets which share of the rate of a cold server this host may send, 0 to 1."""
        state = self._servers.get(server)
        if state is not None:
            state.cold_share = share

    def count_recent_sends(self, now: float, server: ServerId) -> int:
        """Returns the number of requests that a server got in the last second."""
        state = self._servers.get(server)
        return 0 if state is None else state.pace.count(now)

    def list_held_up(self, now: float) -> list[ServerId]:
        """Returns servers whose requests wait only because they may be cold."""
        held_up = []
        if not self._waiting:
            return held_up
        for server in self._servers.values():
            if server.is_confirmed or server.cold_rate <= 0 or server.is_cold(now):
                continue
            if len(server.running) < server.slots and now >= server.paused_until:
                held_up.append(server.name)
        return held_up

    def enqueue(
        self, now: float, request: QueuedRequest, server: ServerId | None
    ) -> Refusal | None:
        """Queues a request, or returns why it is refused.

        Args:
            now: Seconds of a monotonic clock.
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
            self._record_arrival(now, self._servers[server], request)
            down_for = self._servers[server].unreachable_until - now
            if down_for > 0:
                return Refusal(error=ConnectFailed, retry_after=down_for)
        if server is None:
            refusal = self._find_outage(now)
            if refusal is not None:
                return refusal
        if now >= request.deadline:
            return Refusal(error=DeadlineExceeded)
        if server is not None and self._rests_too_long(now, request, server):
            return self._refuse_resting(now, server)
        wait, service_time = self._predict(now, request, server)
        lateness = now + wait + service_time + RESPONSE_DELIVERY_TIME - request.deadline
        # An idle server is always tried; otherwise one slow response could make the
        # estimate refuse all requests, and no new sample would ever correct it.
        if lateness > 0 and wait > 0:
            return self._reject(now, request, server, lateness)
        excess_wait = wait - self._find_max_wait(now, request, service_time)
        if excess_wait > 0:
            return self._reject(now, request, server, excess_wait)
        self._waiting[request.request_id] = (request, server)
        self._push(request, server)
        return None

    def dequeue(self, now: float) -> list[tuple[QueuedRequest, ServerId]]:
        """Removes and returns the requests to send now, each with its server."""
        sent = []
        while self._waiting:
            found = self._dequeue_one(now)
            if found is None:
                break
            request, server = found
            del self._waiting[request.request_id]
            estimate = self._service_model.estimate(request.route, server.name)
            if server.running and now + 0.5 * estimate > request.deadline:
                refusal = self._reject(now, request, server.name, estimate)
                self._refused.append((request, refusal))
                continue
            if self.is_objective_ordered:
                self._record_start(request, server, now + estimate)
            server.record_send(now)
            server.running[request.request_id] = _RunningRequest(
                request=request, started_at=now, estimate=estimate
            )
            sent.append((request, server.name))
        return sent

    def finish(
        self,
        now: float,
        request_id: RequestId,
        server: ServerId,
        outcome: Outcome,
        *,
        slowdown: float = 1.0,
    ) -> None:
        """Records the end of a request that `dequeue` returned and frees its slot.

        Args:
            now: Seconds of a monotonic clock.
            request_id: The request that ended.
            server: The server that it was sent to.
            outcome: How it ended.
            slowdown: Current service time on the server's machine relative to normal.
        """
        state = self._servers.get(server)
        running = state.running.pop(request_id, None) if state else None
        if running is None:
            return
        latency = now - running.started_at
        state.slowdown = slowdown
        state.slowdown_reported_at = now
        if outcome in (Outcome.ANSWERED, Outcome.SHED):
            state.last_response_at = now
        if outcome is Outcome.UNREACHED:
            self._mark_unreachable(now, state)
        if outcome is Outcome.ANSWERED:
            state.speed.record_slowdown(now, slowdown)
            state.speed.record_latency(latency, slowdown)
            self._mean_slowdown.record(slowdown)
            self._service_model.record(running.request.route, server, latency)
        elif outcome is Outcome.ABANDONED and latency > running.estimate:
            # The time until the abort is a lower bound of the latency.
            self._service_model.record(running.request.route, server, latency)

    def expire(self, now: float) -> list[RefusedRequest]:
        """Returns requests that were queued and are now refused, with the reasons."""
        if self._waiting and now - self._last_sweep_at >= SWEEP_INTERVAL:
            self._last_sweep_at = now
            self._sweep(now)
        refused, self._refused = self._refused, []
        return refused

    def cancel(self, request_id: RequestId) -> bool:
        """Removes a request whose caller disconnected; returns whether it waited."""
        found = self._waiting.pop(request_id, None)
        if found is None:
            return False
        request, server = found
        self._get_queues(server)[request.request_class.value].remove(request)
        return True

    def find_wake_time(self, now: float) -> float | None:
        """Returns when to call `dequeue` and `expire` next; None if nothing waits."""
        if self._refused:
            return now
        if not self._waiting:
            return None
        wake = now + SWEEP_INTERVAL
        for server in self._servers.values():
            if server.paused_until > now:
                wake = min(wake, server.paused_until)
            if len(server.running) < server.slots:
                at = server.find_next_send(now)
                wake = min(wake, at) if at > now else wake
        return wake

    def predict_latency(
        self, now: float, route: str, request_class: RequestClass
    ) -> float:
        """Returns the seconds after which a new shared request would be finished."""
        if not self._servers:
            return math.inf
        if self.is_spread:
            predicted = self._predict_spread(now)
            if predicted is not None:
                return predicted
        queues = self._shared[: request_class.value + 1]
        requests = chain.from_iterable(queue.iterate() for queue in queues)
        return sum(self._predict_shared(now, route, requests))

    def list_utilizations(self) -> list[float]:
        """Returns the share of the slots in use of each server."""
        return [len(item.running) / item.slots for item in self._servers.values()]

    def _predict_spread(self, now: float) -> float | None:
        servers = []
        running = 0
        for server in self._servers.values():
            running += len(server.running)
            if server.paused_until <= now < server.closed_at:
                servers.append(server.measure_capacity(now))
        return self._meter.predict(now, running + self.queued, servers)

    def record_probe(self, now: float, server: ServerId, slowdown: float) -> None:
        """Adds a slowdown that a server reported to a probe."""
        state = self._servers.get(server)
        if state is not None:
            state.speed.record_slowdown(now, slowdown)

    def needs_probe(self, now: float, server: ServerId, count: int) -> bool:
        """Returns whether to ask a server that reported its slowdown less often."""
        state = self._servers.get(server)
        if state is None or now < state.paused_until or now >= state.closed_at:
            return False
        return state.speed.report_count < count

    def iterate_reports(self, now: float) -> Iterator[ServerReport]:
        """Yields what was measured of each server in use or recently probed."""
        for server in self._servers.values():
            while server.arrivals and server.arrivals[0][0] < now - UTILIZATION_WINDOW:
                server.arrivals.popleft()
            if not server.arrivals and now - server.speed.recorded_at > MAX_REPORT_AGE:
                continue
            work = sum(amount for _, amount in server.arrivals)
            yield ServerReport(
                server=server.name,
                slowdown=server.speed.slowdown,
                base_latency=server.speed.base_latency,
                utilization=work / (UTILIZATION_WINDOW * server.slots),
            )

    def find_silent_servers(self, now: float) -> Iterator[ServerId]:
        """Yields servers whose responses are overdue."""
        for server in self._servers.values():
            if not server.running:
                continue
            oldest = min(server.running.values(), key=lambda item: item.started_at)
            since = max(oldest.started_at, server.last_response_at)
            if now - since > max(MIN_SILENCE, SILENCE_FACTOR * oldest.estimate):
                yield server.name

    def count_overdue_servers(self, now: float, silence: float) -> int:
        """Returns how many servers exceeded the expected time of a request.

        Args:
            now: Seconds of a monotonic clock.
            silence: Seconds that a request must have taken at least.
        """
        count = 0
        for server in self._servers.values():
            for running in server.running.values():
                if now - running.started_at > max(silence, running.estimate):
                    count += 1
                    break
        return count

    def iterate_active(self, now: float) -> Iterator[ServerId]:
        """Yields servers that run requests or responded a short time ago."""
        for server in self._servers.values():
            if server.running or now - server.last_response_at < ACTIVE_TIME:
                yield server.name

    def mark_unreachable(self, now: float, server: ServerId) -> None:
        """Pauses sending to a server that this host cannot connect to."""
        state = self._servers.get(server)
        if state is not None:
            self._mark_unreachable(now, state)

    def set_rest(self, server: ServerId, until: float) -> None:
        """Sends nothing to a server until a time, as it asked for."""
        state = self._servers.get(server)
        if state is None or state.resting_until == until:
            return
        state.resting_until = until
        self._last_sweep_at = -math.inf

    def mark_reachable(self, now: float, server: ServerId) -> None:
        """Ends the pause of a server that this host can connect to again."""
        state = self._servers.get(server)
        if state is not None:
            state.unreachable_until = now

    def _mark_unreachable(self, now: float, server: _ServerState) -> None:
        """Refuses the requests that wait for a server and pauses sending to it."""
        server.unreachable_until = now + RECONNECT_DELAY
        for request, only_server in list(self._waiting.values()):
            if only_server == server.name:
                refusal = Refusal(error=ConnectFailed, retry_after=RECONNECT_DELAY)
                self._refuse(request, refusal)
        self._refuse_in_outage(now)

    def _refuse_in_outage(self, now: float) -> None:
        """Refuses requests for any server if none is tried now."""
        refusal = self._find_outage(now)
        if refusal is None:
            return
        for request, only_server in list(self._waiting.values()):
            if only_server is None:
                self._refuse(request, refusal)

    def _find_outage(self, now: float) -> Refusal | None:
        """Returns why no server of the gate is tried now, or None if one is."""
        open_servers = [item for item in self._servers.values() if now < item.closed_at]
        if not open_servers:
            return Refusal(error=ServerDraining)
        first = min(open_servers, key=lambda item: item.paused_until)
        if first.paused_until <= now:
            return None
        is_unreachable = first.unreachable_until > now
        return Refusal(
            error=ConnectFailed if is_unreachable else ServerResting,
            retry_after=first.paused_until - now,
        )

    def _rests_too_long(
        self, now: float, request: QueuedRequest, server: ServerId
    ) -> bool:
        """Returns whether a server rests until it is too late for a request."""
        rest = self._servers[server].rest_until - now
        if rest <= 0:
            return False
        service_time = self._service_model.estimate(request.route, server)
        if now + rest + MIN_REMAINING_SHARE * service_time > request.deadline:
            return True
        return rest > self._find_max_wait(now, request, service_time)

    def _refuse_resting(self, now: float, server: ServerId) -> Refusal:
        return build_rest_refusal(self._servers[server].rest_until - now)

    def _record_arrival(
        self, now: float, server: _ServerState, request: QueuedRequest
    ) -> None:
        estimate = self._service_model.estimate(request.route, server.name)
        server.arrivals.append((now, estimate))
        while server.arrivals[0][0] < now - UTILIZATION_WINDOW:
            server.arrivals.popleft()

    def _find_max_wait(
        self, now: float, request: QueuedRequest, service_time: float
    ) -> float:
        """Returns the longest queueing delay of a request, in seconds.

        A longer queue would not raise the throughput, but every request would miss its
        latency objective. A request beyond the limit is refused at once, and its caller
        can retry when there is capacity.
        """
        slack = (
            request.objective
            - now
            - OBJECTIVE_MARGIN * service_time
            - RESPONSE_DELIVERY_TIME
        )
        return max(MIN_QUEUE_WAIT_SHARE * service_time, slack)

    def _push(self, request: QueuedRequest, server: ServerId | None) -> None:
        queue = self._get_queues(server)[request.request_class.value]
        queue.push(request, self._find_latest_start(request, server))

    def _find_latest_start(
        self, request: QueuedRequest, server: ServerId | None
    ) -> float:
        """Returns when a request must start to meet its objective.

        The mean of the servers is used, as any of them may have the next free slot.
        """
        servers = self._servers if server is None else (server,)
        total = 0.0
        for name in servers:
            total += self._service_model.estimate(request.route, name)
        return request.objective - total / len(servers) - RESPONSE_DELIVERY_TIME

    def _record_start(
        self, request: QueuedRequest, server: _ServerState, expected_end: float
    ) -> None:
        """Informs the order of a start, and counts those that miss their objective."""
        waiting = [self._shared, server.queues] if self._waiting else []
        self._order.record_start(request.request_class, waiting)
        if expected_end + RESPONSE_DELIVERY_TIME > request.objective:
            self._counts.late_starts += 1

    def _get_queues(self, server: ServerId | None) -> list[RequestQueue]:
        if server is None:
            return self._shared
        return self._servers[server].queues

    def _predict(
        self, now: float, request: QueuedRequest, server: ServerId | None
    ) -> tuple[float, float]:
        """Returns the expected queueing delay and service time, in seconds."""
        if server is None:
            ahead = self._iterate_ahead(now, request, server)
            return self._predict_shared(now, request.route, ahead)
        state = self._servers[server]
        ahead = 0.0
        count = 0
        for other in self._iterate_ahead(now, request, server):
            ahead += self._service_model.estimate(other.route, server)
            count += 1
        wait = self._estimate_wait(now, state, ahead, count)
        return wait, self._service_model.estimate(request.route, server)

    def _iterate_ahead(
        self, now: float, request: QueuedRequest, server: ServerId | None
    ) -> Iterator[QueuedRequest]:
        """Returns the waiting requests that start before a new one."""
        latest_start = self._find_latest_start(request, server)
        queues = self._get_queues(server)
        return self._order.iterate_ahead(now, queues, request, latest_start)

    def _predict_shared(
        self, now: float, route: str, requests: Iterable[QueuedRequest]
    ) -> tuple[float, float]:
        """Returns the expected queueing delay after some requests, and service time."""
        ahead = 0.0
        count = 0
        for other in requests:
            ahead += self._service_model.estimate(other.route, ServerId(""))
            count += 1
        share = len(self._servers)
        best = (math.inf, 0.0)
        for server in self._servers.values():
            if now >= server.closed_at:
                continue
            latency_factor = self._service_model.get_latency_factor(server.name)
            wait = self._estimate_wait(
                now, server, ahead * latency_factor / share, count / share
            )
            wait = max(wait, server.paused_until - now)
            service_time = self._service_model.estimate(route, server.name)
            if wait + service_time < sum(best):
                best = (wait, service_time)
        return best

    def _estimate_wait(
        self, now: float, server: _ServerState, ahead: float, count: float
    ) -> float:
        """Returns the seconds until a server can start a request.

        Args:
            now: Seconds of a monotonic clock.
            server: The server.
            ahead: Expected service time of the requests ahead, in seconds.
            count: Number of requests ahead.
        """
        remaining_times = []
        for running in server.running.values():
            elapsed = now - running.started_at
            remaining_times.append(
                max(running.estimate - elapsed, 0.2 * running.estimate)
            )
        wait = ahead / server.slots
        if len(remaining_times) >= server.slots:
            wait += min(remaining_times)
        return max(wait, server.estimate_send_delay(now, count))

    def _dequeue_one(self, now: float) -> tuple[QueuedRequest, _ServerState] | None:
        ready = [item for item in self._servers.values() if item.may_send(now)]
        if not ready:
            return None
        for request_class in self._order.rank_classes():
            for server in ready:
                request = server.queues[request_class.value].pop(now)
                if request is not None:
                    return request, server
            shared = self._shared[request_class.value]
            request = shared.peek(now)
            if request is None:
                continue
            name = self._choose_server(now, request, ready)
            if name is None:
                return None
            return shared.pop(now), self._servers[name]
        return None

    def _choose_server(
        self, now: float, request: QueuedRequest, ready: list[_ServerState]
    ) -> ServerId | None:
        """Returns the server of a shared request, or None if it waits for a busy one.

        Servers with many slots are chosen by the request's objective and evenly. The
        fastest would otherwise be overloaded while others are idle.
        """
        if not self.is_spread:
            return self._choose_fastest(now, ready)
        return self._choice.choose(
            remaining=request.objective - now - RESPONSE_DELIVERY_TIME,
            route_time=self._service_model.estimate(request.route, ServerId("")),
            mean_slowdown=self._mean_slowdown.value,
            ready=[item.build_option(now) for item in ready],
            busy=[item.build_option(now) for item in self._iterate_busy(now, ready)],
            find_wait=lambda name: self._estimate_wait(
                now, self._servers[name], 0.0, 0.0
            ),
            is_alone=self.queued == 1,
        )

    def _choose_fastest(self, now: float, ready: list[_ServerState]) -> ServerId | None:
        get_factor = self._service_model.get_latency_factor
        best = choose_fastest(
            FreeServer(
                name=item.name,
                is_cold=item.is_cold(now),
                latency_factor=get_factor(item.name),
                slowdown=item.get_slowdown(now),
            )
            for item in ready
        )
        ends = (
            self._estimate_wait(now, item, 0.0, 0.0) + self._estimate_any(now, item)
            for item in self._iterate_busy(now, ready)
        )
        best_time = self._estimate_any(now, self._servers[best])
        return None if is_worth_waiting(best_time, ends) else best

    def _estimate_any(self, now: float, server: _ServerState) -> float:
        """Returns the time of a request of no known route on a server, in seconds."""
        return self._service_model.estimate("", server.name) * server.get_slowdown(now)

    def _iterate_busy(
        self, now: float, ready: list[_ServerState]
    ) -> Iterator[_ServerState]:
        """Yields the warm servers in service that cannot start a request now."""
        for server in self._servers.values():
            if server in ready or server.is_cold(now) or now < server.paused_until:
                continue
            if now < server.closed_at:
                yield server

    def _sweep(self, now: float) -> None:
        self._refuse_in_outage(now)
        for request, server in list(self._waiting.values()):
            if server is not None and now >= self._servers[server].closed_at:
                self._refuse(request, Refusal(error=ServerDraining))
                continue
            if server is not None and self._rests_too_long(now, request, server):
                self._refuse(request, self._refuse_resting(now, server))
                continue
            service_time = self._estimate_service(request, server)
            if now + MIN_REMAINING_SHARE * service_time <= request.deadline:
                continue
            self._refuse(request, self._reject(now, request, server, service_time))
        for state in self._servers.values():
            if self._limits.find(state.name) is not None:
                self._refuse_beyond_limit(now, state)

    def _refuse_beyond_limit(self, now: float, server: _ServerState) -> None:
        """Refuses requests that were queued before the server lowered its limit."""
        count = 0
        for queue in server.queues:
            for request in list(queue.iterate()):
                service_time = self._service_model.estimate(request.route, server.name)
                delay = server.estimate_send_delay(now, count)
                end = now + delay + MIN_REMAINING_SHARE * service_time
                if end <= request.deadline:
                    count += 1
                    continue
                lateness = end - request.deadline
                refusal = self._reject(now, request, server.name, lateness)
                self._refuse(request, refusal)

    def _estimate_service(
        self, request: QueuedRequest, server: ServerId | None
    ) -> float:
        if server is not None:
            return self._service_model.estimate(request.route, server)
        return min(
            self._service_model.estimate(request.route, name) for name in self._servers
        )

    def _reject(
        self, now: float, request: QueuedRequest, server: ServerId | None, wait: float
    ) -> Refusal:
        """Returns the refusal of a request that could be accepted after a wait."""
        if not self.is_objective_ordered:
            retry_after = min(max(wait, MIN_RETRY_AFTER), MAX_RETRY_AFTER)
            return Refusal(error=Overloaded, retry_after=retry_after)
        found = self._return_times.assign(
            now,
            wait=wait,
            remaining=request.deadline - now,
            service_time=self._estimate_service(request, server),
            rate=self._measure_rate(now, server),
        )
        self._counts.record_return(is_exhausted=found.is_exhausted)
        return Refusal(error=Overloaded, retry_after=found.retry_after)

    def _measure_rate(self, now: float, only_server: ServerId | None) -> float:
        """Returns the requests per second for which slots become free."""
        rate = 0.0
        for server in self._servers.values():
            if only_server is not None and server.name != only_server:
                continue
            capacity = server.measure_capacity(now)
            service_time = capacity.service_time or self._service_model.estimate(
                "", server.name
            )
            rate += capacity.slots / service_time
        return rate

    def _refuse(self, request: QueuedRequest, refusal: Refusal) -> None:
        _, server = self._waiting.pop(request.request_id)
        if server is None or server in self._servers:
            self._get_queues(server)[request.request_class.value].remove(request)
        self._refused.append((request, refusal))


def build_rest_refusal(rest: float) -> Refusal:
    """Returns the refusal of a request whose key a resting server owns.

    Args:
        rest: Seconds until the server accepts requests again.
    """
    return Refusal(error=ServerResting, retry_after=min(rest, KEY_MOVE_TIME))
