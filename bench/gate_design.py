"""The router's own design: requests pass through the one gate of each server."""

from dataclasses import dataclass
from random import Random

from bench.request_designs import Design, LoadRequest
from bench.request_fleet import Fleet, GateTarget
from monsoonlug.dispatch import Sending, StreamLost
from monsoonlug.exceptions import NoOwner, NotGate, StreamClosed
from monsoonlug.fairness import NO_SLICE, QueuedRequest
from monsoonlug.gate import Gate, Outcome
from monsoonlug.ids import RequestClass, RequestId, Slice
from monsoonlug.server_selection import ServerSelector
from monsoonlug.targets import OWNER_WAIT_TIMEOUT

OWNER_POLL = 0.005  # seconds between two looks for an owner


@dataclass(frozen=True, slots=True, kw_only=True)
class _Job:
    request: LoadRequest
    attempt: int
    target: GateTarget


class GateDesign(Design):
    """Sends through the gate of each server; the router's own design."""

    def __init__(self, *, fleet: Fleet, random: Random):
        super().__init__(fleet=fleet, random=random)
        self._routers: dict[str, ServerSelector] = {}
        self._wakes: dict[int, float] = {}
        self._jobs: dict[str, dict[str, _Job]] = {}

    def take_reports(self, loads: dict[str, float]) -> None:
        for router in self._routers.values():
            for server, load in loads.items():
                router.record_load(server, load)

    def lose_host(self, host: str) -> None:
        super().lose_host(host)
        for job in list(self._jobs.pop(host, {}).values()):
            event = StreamLost(attempt=job.attempt)
            self._later(lambda job=job, event=event: self._decide(job.request, event))

    def _later(self, run, hop: bool = True) -> None:
        self.clock.after(self.fleet.delay if hop else 0.0, run)

    def _find_router(self, entry: str) -> ServerSelector:
        router = self._routers.get(entry)
        if router is None:
            router = self._routers[entry] = ServerSelector(random=self.random)
            router.set_servers(self.fleet.list_pooled(entry))
        return router

    def _send(self, request: LoadRequest, attempt: int) -> None:
        self._look(request, attempt, self.clock.now + OWNER_WAIT_TIMEOUT)

    def _look(self, request: LoadRequest, attempt: int, until: float) -> None:
        if request.end is not None:
            return
        target = self._find_target(request)
        if target is None and self.clock.now < until:
            again = lambda: self._look(request, attempt, until)
            self.clock.after(OWNER_POLL, again)
            return
        if target is None:
            self._fail(request, attempt, NoOwner)
            return
        job = _Job(request=request, attempt=attempt, target=target)
        request.server = target.server
        request.tried.add(target.server)
        if request.slice == NO_SLICE:
            router = self._find_router(request.entry)
            router.record_start(self.clock.now, target.server, _name(job))
        self._decide(request, Sending(attempt=attempt))
        if not self.fleet.is_alive(target.host):
            self._count_end(job, Outcome.ABANDONED)
            self._fail(request, attempt, StreamClosed)
            return
        self._jobs.setdefault(target.host, {})[_name(job)] = job
        self._later(lambda: self._arrive(job), target.host != request.entry)

    def _find_target(self, request: LoadRequest) -> GateTarget | None:
        entry = request.entry
        if request.slice != NO_SLICE:
            return self.fleet.locate(entry, request.slice)
        router = self._find_router(entry)
        now = self.clock.now
        server = router.choose(now, request.tried) or router.choose(now)
        return self.fleet.locate_pooled(entry, server)

    def _arrive(self, job: _Job) -> None:
        host = job.target.host
        if not self.fleet.is_alive(host):
            self._jobs.get(host, {}).pop(_name(job), None)
            event = StreamLost(attempt=job.attempt)
            self._later(lambda: self._decide(job.request, event))
            return
        gate = self.fleet.find_gate(job.target, job.request.slice)
        if gate is None:
            self._refuse(job, NotGate)
            return
        queued = QueuedRequest(
            request_id=_name(job),
            workspace=job.request.workspace,
            request_class=RequestClass.NORMAL,
            deadline=job.request.deadline,
            slice=Slice(job.request.slice),
            payload=job,
        )
        refusal = gate.enqueue(self.clock.now, queued)
        if refusal is not None:
            self._refuse(job, refusal.error, refusal.retry_after)
            return
        self.pump(host, job.target.server, gate)

    def _refuse(self, job: _Job, error, retry_after: float | None = None) -> None:
        if self._jobs.get(job.target.host, {}).pop(_name(job), None) is None:
            return

        def tell() -> None:
            self._count_end(job, Outcome.SHED)
            self._fail(job.request, job.attempt, error, retry_after)

        self._later(tell, job.target.host != job.request.entry)

    def _count_end(self, job: _Job, outcome: Outcome) -> None:
        if job.request.slice != NO_SLICE:
            return
        router = self._find_router(job.request.entry)
        router.record_finish(self.clock.now, job.target.server, _name(job), outcome)

    def hand_back(self, queued: list[QueuedRequest]) -> None:
        """Refuses requests that a gate gave up; none of them was sent."""
        for request in queued:
            self._refuse(request.payload, NotGate)

    def pump(self, host: str, server: str, gate: Gate) -> None:
        """Sends what a gate may send now and refuses what is late."""
        if not self.fleet.is_alive(host):
            return
        now = self.clock.now
        lease_end = self.fleet.find_lease_end(host, server)
        if lease_end > now:
            for queued in gate.dequeue(now, lease_end):
                self._start(host, server, gate, queued.payload)
        for queued, refusal in gate.expire(now):
            self._refuse(queued.payload, refusal.error, refusal.retry_after)
        wake = gate.find_wake_time(now, lease_end)
        if wake is None:
            return
        wake = max(wake, now + 0.001)
        known = self._wakes.get(id(gate), 0.0)
        if now < known <= wake:
            return
        self._wakes[id(gate)] = wake
        self.clock.after(wake - now, lambda: self.pump(host, server, gate))

    def _start(self, host: str, server: str, gate: Gate, job: _Job) -> None:
        sent_at = self.clock.now

        def answered() -> None:
            if not self.fleet.is_alive(host):
                return
            latency = self.clock.now - sent_at
            gate.finish(self.clock.now, _name(job), Outcome.ANSWERED, latency)
            self._jobs.get(host, {}).pop(_name(job), None)
            self._later(lambda: self._finish(job), host != job.request.entry)
            self.pump(host, server, gate)

        def received() -> None:
            answer = lambda: self._later(answered)
            self.fleet.servers[server].receive(host, answer)

        self._later(received)

    def _finish(self, job: _Job) -> None:
        self._count_end(job, Outcome.ANSWERED)
        self._answer(job.request, job.attempt)


def _name(job: _Job) -> RequestId:
    return RequestId(f"{job.request.number}.{job.attempt}")
