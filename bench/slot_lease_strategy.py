"""Routing strategy in which entries lease server slots from the control leader."""

from collections import Counter, deque
from dataclasses import dataclass, field
from functools import partial
from random import Random

from bench.routing_strategies import RoutingStrategy, SimulatedRequest
from bench.simulated_fleet import Fleet
from monsoonlug.dispatch import Sending
from monsoonlug.fairness import NO_SLICE, FairQueue, QueuedRequest
from monsoonlug.gate import Outcome
from monsoonlug.ids import RequestClass, RequestId
from monsoonlug.server_selection import ServerSelector

MAX_SLOT_HOLD = 0.100  # seconds until an entry returns a slot that it still needs
SLOT_LEASE_DURATION = 0.414  # seconds until the slot of a lost entry is free again


@dataclass(slots=True, kw_only=True)
class _SlotPool:
    """Slots of one server, as the control leader manages them."""

    free: int
    waiting_entries: deque = field(default_factory=deque)


class SlotLeaseStrategy(RoutingStrategy):
    """Sends directly to a server while the entry holds a lease on one of its slots.

    An entry returns a slot as soon as it has no request for it, or after
    `MAX_SLOT_HOLD`. No leased slot stays idle, so the results are an upper bound for
    strategies that lease shares of a server's capacity.

    Args:
        fleet: Hosts and servers.
        random: Random number generator for choices.
        slots: Concurrent requests of each server.
    """

    def __init__(self, *, fleet: Fleet, random: Random, slots: int):
        super().__init__(fleet=fleet, random=random)
        self._slot_pools = {server: _SlotPool(free=slots) for server in fleet.servers}
        self._queues: dict[tuple[str, str], FairQueue] = {}
        self._requested_slots: Counter = Counter()
        self._leased_slots: Counter = Counter()
        self._selectors: dict[str, ServerSelector] = {}

    def record_loads(self, loads: dict[str, float]) -> None:
        for selector in self._selectors.values():
            for server, load in loads.items():
                selector.record_load(server, load)

    def handle_host_loss(self, host: str) -> None:
        super().handle_host_loss(host)
        for (entry, server), count in list(self._leased_slots.items()):
            if entry != host:
                continue
            for _ in range(count):
                return_slot = lambda server=server: self._return_slot(server)
                self.clock.call_later(SLOT_LEASE_DURATION, return_slot)

    def _start_attempt(self, request: SimulatedRequest, attempt: int) -> None:
        entry, now = request.entry, self.clock.now
        request_id = RequestId(f"{request.number}.{attempt}")
        if request.slice != NO_SLICE:
            server = self.fleet.locate(entry, request.slice).server
        else:
            server = self._get_selector(entry).choose(now)
            self._get_selector(entry).record_start(now, server, request_id)
        request.server = server
        queue = self._queues.setdefault((entry, server), FairQueue())
        queued = QueuedRequest(
            request_id=request_id,
            workspace=request.workspace,
            request_class=RequestClass.NORMAL,
            deadline=request.deadline,
            payload=(request, attempt),
        )
        queue.push(queued)
        if self._requested_slots[entry, server] < len(queue):
            self._requested_slots[entry, server] += 1
            self.clock.call_later(
                self.fleet.delay, lambda: self._request_slot(entry, server)
            )

    def _get_selector(self, entry: str) -> ServerSelector:
        selector = self._selectors.get(entry)
        if selector is None:
            selector = self._selectors[entry] = ServerSelector(random=self.random)
            selector.set_servers(self.fleet.list_pooled_servers(entry))
        return selector

    def _request_slot(self, entry: str, server: str) -> None:
        slot_pool = self._slot_pools[server]
        slot_pool.waiting_entries.append(entry)
        self._grant_slots(server)

    def _return_slot(self, server: str) -> None:
        self._slot_pools[server].free += 1
        self._grant_slots(server)

    def _grant_slots(self, server: str) -> None:
        slot_pool = self._slot_pools[server]
        while slot_pool.free and slot_pool.waiting_entries:
            entry = slot_pool.waiting_entries.popleft()
            slot_pool.free -= 1
            hold_until = self.clock.now + MAX_SLOT_HOLD
            accept = partial(self._accept_slot, entry, server, hold_until)
            self.clock.call_later(self.fleet.delay, accept)

    def _accept_slot(self, entry: str, server: str, hold_until: float) -> None:
        self._requested_slots[entry, server] -= 1
        self._leased_slots[entry, server] += 1
        if not self.fleet.is_alive(entry):
            self.clock.call_later(
                SLOT_LEASE_DURATION, lambda: self._return_slot(server)
            )
            return
        self._use_slot(entry, server, hold_until)

    def _use_slot(self, entry: str, server: str, hold_until: float) -> None:
        if not self.fleet.is_alive(entry):
            return
        queue = self._queues[entry, server]
        queued = self._pop_unfinished(queue)
        if queued is None or self.clock.now >= hold_until:
            if queued is not None:
                queue.push(queued, first=True)
                self._requested_slots[entry, server] += 1
                self.clock.call_later(
                    self.fleet.delay, lambda: self._request_slot(entry, server)
                )
            self._leased_slots[entry, server] -= 1
            self.clock.call_later(self.fleet.delay, lambda: self._return_slot(server))
            return
        request, attempt = queued.payload
        self._handle_event(request, Sending(attempt=attempt))

        def on_answer() -> None:
            if request.slice == NO_SLICE:
                selector = self._get_selector(entry)
                now = self.clock.now
                selector.record_finish(now, server, queued.request_id, Outcome.ANSWERED)
            self._deliver_answer(request, attempt)
            self._use_slot(entry, server, hold_until)

        answer = lambda: self.clock.call_later(self.fleet.delay, on_answer)
        receive = lambda: self.fleet.servers[server].receive(entry, answer)
        self.clock.call_later(self.fleet.delay, receive)

    def _pop_unfinished(self, queue: FairQueue) -> QueuedRequest | None:
        queued = queue.pop()
        while queued is not None and queued.payload[0].outcome is not None:
            queued = queue.pop()
        return queued
