"""Routing strategy of the router: requests pass through the gate of their server."""

from dataclasses import dataclass
from random import Random

from bench.routing_strategies import RoutingStrategy, SimulatedRequest
from bench.simulated_fleet import Fleet, GateTarget
from monsoonlug.dispatch import Sending, StreamLost
from monsoonlug.exceptions import NoOwner, NotGate, StreamClosed
from monsoonlug.fairness import NO_SLICE, QueuedRequest
from monsoonlug.gate import Gate, Outcome
from monsoonlug.ids import RequestClass, RequestId, Slice
from monsoonlug.server_selection import ServerSelector
from monsoonlug.targets import OWNER_WAIT_TIMEOUT

OWNER_POLL_INTERVAL = 0.005  # seconds between look-ups while a key has no owner


@dataclass(frozen=True, slots=True, kw_only=True)
class _PendingAttempt:
    """An attempt that was sent to a gate and has not ended."""

    request: SimulatedRequest
    attempt: int
    target: GateTarget


class GateStrategy(RoutingStrategy):
    """Sends each request through the gate of its server, as the router does.

    The gates run on entry hosts; a request to a gate on another host pays the one-way
    delay between hosts.
    """

    def __init__(self, *, fleet: Fleet, random: Random):
        super().__init__(fleet=fleet, random=random)
        self._selectors: dict[str, ServerSelector] = {}
        self._wake_times: dict[int, float] = {}
        self._pending: dict[str, dict[str, _PendingAttempt]] = {}

    def record_loads(self, loads: dict[str, float]) -> None:
        for selector in self._selectors.values():
            for server, load in loads.items():
                selector.record_load(server, load)

    def handle_host_loss(self, host: str) -> None:
        super().handle_host_loss(host)
        for pending in list(self._pending.pop(host, {}).values()):
            event = StreamLost(attempt=pending.attempt)
            self._call_later(
                lambda pending=pending, event=event: self._handle_event(
                    pending.request, event
                )
            )

    def _call_later(self, callback, is_remote: bool = True) -> None:
        self.clock.call_later(self.fleet.delay if is_remote else 0.0, callback)

    def _get_selector(self, entry: str) -> ServerSelector:
        selector = self._selectors.get(entry)
        if selector is None:
            selector = self._selectors[entry] = ServerSelector(random=self.random)
            selector.set_servers(self.fleet.list_pooled_servers(entry))
        return selector

    def _start_attempt(self, request: SimulatedRequest, attempt: int) -> None:
        self._locate_and_send(request, attempt, self.clock.now + OWNER_WAIT_TIMEOUT)

    def _locate_and_send(
        self, request: SimulatedRequest, attempt: int, give_up_at: float
    ) -> None:
        if request.outcome is not None:
            return
        target = self._find_target(request)
        if target is None and self.clock.now < give_up_at:
            retry = lambda: self._locate_and_send(request, attempt, give_up_at)
            self.clock.call_later(OWNER_POLL_INTERVAL, retry)
            return
        if target is None:
            self._fail_attempt(request, attempt, NoOwner)
            return
        pending = _PendingAttempt(request=request, attempt=attempt, target=target)
        request.server = target.server
        request.tried_servers.add(target.server)
        if request.slice == NO_SLICE:
            selector = self._get_selector(request.entry)
            selector.record_start(
                self.clock.now, target.server, _make_request_id(pending)
            )
        self._handle_event(request, Sending(attempt=attempt))
        if not self.fleet.is_alive(target.host):
            self._record_finish(pending, Outcome.ABANDONED)
            self._fail_attempt(request, attempt, StreamClosed)
            return
        self._pending.setdefault(target.host, {})[_make_request_id(pending)] = pending
        self._call_later(lambda: self._enqueue(pending), target.host != request.entry)

    def _find_target(self, request: SimulatedRequest) -> GateTarget | None:
        entry = request.entry
        if request.slice != NO_SLICE:
            return self.fleet.locate(entry, request.slice)
        selector = self._get_selector(entry)
        now = self.clock.now
        server = selector.choose(now, request.tried_servers) or selector.choose(now)
        return self.fleet.locate_pooled(entry, server)

    def _enqueue(self, pending: _PendingAttempt) -> None:
        host = pending.target.host
        if not self.fleet.is_alive(host):
            self._pending.get(host, {}).pop(_make_request_id(pending), None)
            event = StreamLost(attempt=pending.attempt)
            self._call_later(lambda: self._handle_event(pending.request, event))
            return
        gate = self.fleet.find_gate(pending.target, pending.request.slice)
        if gate is None:
            self._refuse(pending, NotGate)
            return
        queued = QueuedRequest(
            request_id=_make_request_id(pending),
            workspace=pending.request.workspace,
            request_class=RequestClass.NORMAL,
            deadline=pending.request.deadline,
            slice=Slice(pending.request.slice),
            payload=pending,
        )
        refusal = gate.enqueue(self.clock.now, queued)
        if refusal is not None:
            self._refuse(pending, refusal.error, refusal.retry_after)
            return
        self.process_gate(host, pending.target.server, gate)

    def _refuse(
        self, pending: _PendingAttempt, error, retry_after: float | None = None
    ) -> None:
        if (
            self._pending.get(pending.target.host, {}).pop(
                _make_request_id(pending), None
            )
            is None
        ):
            return

        def deliver_refusal() -> None:
            self._record_finish(pending, Outcome.SHED)
            self._fail_attempt(pending.request, pending.attempt, error, retry_after)

        self._call_later(deliver_refusal, pending.target.host != pending.request.entry)

    def _record_finish(self, pending: _PendingAttempt, outcome: Outcome) -> None:
        if pending.request.slice != NO_SLICE:
            return
        selector = self._get_selector(pending.request.entry)
        selector.record_finish(
            self.clock.now, pending.target.server, _make_request_id(pending), outcome
        )

    def refuse_queued(self, queued: list[QueuedRequest]) -> None:
        """Refuses requests that were removed from a gate before they were sent."""
        for request in queued:
            self._refuse(request.payload, NotGate)

    def process_gate(self, host: str, server: str, gate: Gate) -> None:
        """Sends the requests that a gate releases and refuses those that expired."""
        if not self.fleet.is_alive(host):
            return
        now = self.clock.now
        lease_end = self.fleet.find_lease_end(host, server)
        if lease_end > now:
            for queued in gate.dequeue(now, lease_end):
                self._send_to_server(host, server, gate, queued.payload)
        for queued, refusal in gate.expire(now):
            self._refuse(queued.payload, refusal.error, refusal.retry_after)
        wake = gate.find_wake_time(now, lease_end)
        if wake is None:
            return
        wake = max(wake, now + 0.001)
        scheduled = self._wake_times.get(id(gate), 0.0)
        if now < scheduled <= wake:
            return
        self._wake_times[id(gate)] = wake
        self.clock.call_later(wake - now, lambda: self.process_gate(host, server, gate))

    def _send_to_server(
        self, host: str, server: str, gate: Gate, pending: _PendingAttempt
    ) -> None:
        sent_at = self.clock.now

        def on_answer() -> None:
            if not self.fleet.is_alive(host):
                return
            latency = self.clock.now - sent_at
            gate.finish(
                self.clock.now, _make_request_id(pending), Outcome.ANSWERED, latency
            )
            self._pending.get(host, {}).pop(_make_request_id(pending), None)
            self._call_later(
                lambda: self._complete(pending), host != pending.request.entry
            )
            self.process_gate(host, server, gate)

        def on_receive() -> None:
            answer = lambda: self._call_later(on_answer)
            self.fleet.servers[server].receive(host, answer)

        self._call_later(on_receive)

    def _complete(self, pending: _PendingAttempt) -> None:
        self._record_finish(pending, Outcome.ANSWERED)
        self._deliver_answer(pending.request, pending.attempt)


def _make_request_id(pending: _PendingAttempt) -> RequestId:
    return RequestId(f"{pending.request.number}.{pending.attempt}")
