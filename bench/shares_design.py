"""Direct sending in which entries lease slots from the control leader."""

from collections import Counter, deque
from dataclasses import dataclass, field
from functools import partial
from random import Random

from bench.request_designs import Design, LoadRequest
from bench.request_fleet import Fleet
from monsoonlug.dispatch import Sending
from monsoonlug.fairness import NO_SLICE, FairQueue, QueuedRequest
from monsoonlug.gate import Outcome
from monsoonlug.ids import RequestClass, RequestId
from monsoonlug.server_selection import ServerSelector

SHARE_HOLD = 0.100  # seconds that an entry may keep a slot while others wait
SHARE_LEASE = 0.414  # seconds after which the slot of a lost entry is free again


@dataclass(slots=True, kw_only=True)
class _Slots:
    """Slots of one server at the authority."""

    free: int
    waiting: deque = field(default_factory=deque)


class SharesDesign(Design):
    """Direct sending in which entries lease single slots from the control leader.

    An entry returns a slot as soon as it is idle, or after `SHARE_HOLD`; this is the
    best that leased shares can do, as no share stays idle.

    Args:
        fleet: Hosts and servers.
        random: Source of choices.
        slots: Slots of each server.
    """

    def __init__(self, *, fleet: Fleet, random: Random, slots: int):
        super().__init__(fleet=fleet, random=random)
        self._slots = {name: _Slots(free=slots) for name in fleet.servers}
        self._queues: dict[tuple[str, str], FairQueue] = {}
        self._asked: Counter = Counter()
        self._held: Counter = Counter()
        self._routers: dict[str, ServerSelector] = {}

    def take_reports(self, loads: dict[str, float]) -> None:
        for router in self._routers.values():
            for server, load in loads.items():
                router.record_load(server, load)

    def lose_host(self, host: str) -> None:
        super().lose_host(host)
        for (entry, server), count in list(self._held.items()):
            if entry != host:
                continue
            for _ in range(count):
                free = lambda server=server: self._give_back(server)
                self.clock.after(SHARE_LEASE, free)

    def _send(self, request: LoadRequest, attempt: int) -> None:
        entry, now = request.entry, self.clock.now
        name = RequestId(f"{request.number}.{attempt}")
        if request.slice != NO_SLICE:
            server = self.fleet.locate(entry, request.slice).server
        else:
            server = self._find_router(entry).choose(now)
            self._find_router(entry).record_start(now, server, name)
        request.server = server
        queue = self._queues.setdefault((entry, server), FairQueue())
        queued = QueuedRequest(
            request_id=name,
            workspace=request.workspace,
            request_class=RequestClass.NORMAL,
            deadline=request.deadline,
            payload=(request, attempt),
        )
        queue.push(queued)
        if self._asked[entry, server] < len(queue):
            self._asked[entry, server] += 1
            self.clock.after(self.fleet.delay, lambda: self._ask(entry, server))

    def _find_router(self, entry: str) -> ServerSelector:
        router = self._routers.get(entry)
        if router is None:
            router = self._routers[entry] = ServerSelector(random=self.random)
            router.set_servers(self.fleet.list_pooled(entry))
        return router

    def _ask(self, entry: str, server: str) -> None:
        slots = self._slots[server]
        slots.waiting.append(entry)
        self._grant(server)

    def _give_back(self, server: str) -> None:
        self._slots[server].free += 1
        self._grant(server)

    def _grant(self, server: str) -> None:
        slots = self._slots[server]
        while slots.free and slots.waiting:
            entry = slots.waiting.popleft()
            slots.free -= 1
            until = self.clock.now + SHARE_HOLD
            run = partial(self._take, entry, server, until)
            self.clock.after(self.fleet.delay, run)

    def _take(self, entry: str, server: str, until: float) -> None:
        self._asked[entry, server] -= 1
        self._held[entry, server] += 1
        if not self.fleet.is_alive(entry):
            self.clock.after(SHARE_LEASE, lambda: self._give_back(server))
            return
        self._use(entry, server, until)

    def _use(self, entry: str, server: str, until: float) -> None:
        if not self.fleet.is_alive(entry):
            return
        queue = self._queues[entry, server]
        queued = self._pop(queue)
        if queued is None or self.clock.now >= until:
            if queued is not None:
                queue.push(queued, first=True)
                self._asked[entry, server] += 1
                self.clock.after(self.fleet.delay, lambda: self._ask(entry, server))
            self._held[entry, server] -= 1
            self.clock.after(self.fleet.delay, lambda: self._give_back(server))
            return
        request, attempt = queued.payload
        self._decide(request, Sending(attempt=attempt))

        def answered() -> None:
            if request.slice == NO_SLICE:
                router = self._find_router(entry)
                now = self.clock.now
                router.record_finish(now, server, queued.request_id, Outcome.ANSWERED)
            self._answer(request, attempt)
            self._use(entry, server, until)

        answer = lambda: self.clock.after(self.fleet.delay, answered)
        receive = lambda: self.fleet.servers[server].receive(entry, answer)
        self.clock.after(self.fleet.delay, receive)

    def _pop(self, queue: FairQueue) -> QueuedRequest | None:
        queued = queue.pop()
        while queued is not None and queued.payload[0].end is not None:
            queued = queue.pop()
        return queued
