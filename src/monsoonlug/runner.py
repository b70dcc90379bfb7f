"""Sends the requests of one gate to its backend server."""

import asyncio
from collections.abc import Callable

from monsoonlug.backend import BackendProtocol
from monsoonlug.catalogue import Pool
from monsoonlug.deltas import GateRecord, ServerRecord
from monsoonlug.exceptions import (
    BackendRefused,
    MonsoonlugError,
    NotGate,
    OutcomeUnknown,
    ProcessGone,
    StreamClosed,
)
from monsoonlug.fairness import QueuedRequest
from monsoonlug.gate import Gate, Outcome
from monsoonlug.ids import (
    Epoch,
    RequestClass,
    RequestId,
    Revision,
    ServerPhase,
    Slice,
)
from monsoonlug.jobs import POOLED, Job
from monsoonlug.logs import get_logger
from monsoonlug.sessions import CANCEL_GRACE

SILENCE = 0.300  # seconds without an announcement until sending stops
STOP_TIMEOUT = 60.0  # seconds; the longest deadline of a route

logger = get_logger("gate")


class GateRunner:
    """Runs the requests of one gate.

    Args:
        server: Record of the backend server.
        gate: Record of the appointment of this host.
        pool: Pool of the server.
        backend: Protocol to the server.
        clock: Monotonic clock, in seconds.
        find_lease_end: Returns the end of the session lease on the same clock.
        longest_deadline: Seconds for which a request of an earlier gate may run.
    """

    def __init__(
        self,
        *,
        server: ServerRecord,
        gate: GateRecord,
        pool: Pool,
        backend: BackendProtocol,
        clock: Callable[[], float],
        find_lease_end: Callable[[], float],
        longest_deadline: float,
    ):
        now = clock()
        self.server = server
        self.record = gate
        self.pool = pool
        self.backend = backend
        self.gate = Gate(limits=pool.limits, now=now)
        self.releasing: set[int] = set()
        self.table_seen: tuple | None = None
        self.grants_revision = Revision(0)
        self.is_lost = False
        self.is_released = False
        self.load = 0.0
        self._clock = clock
        self._find_lease_end = find_lease_end
        self._heard_at = now
        self._has_grant = False
        self._grant_end = now
        self._is_refused = False
        self._jobs: dict[RequestId, Job] = {}
        self._tasks: dict[RequestId, asyncio.Task] = {}
        self._unsettled: dict[int, float] = {}
        self._inherited_until = now + longest_deadline if gate.inherits else now
        self._timer: asyncio.TimerHandle | None = None

    def submit(self, job: Job) -> None:
        """Takes a request for this server."""
        request = QueuedRequest(
            request_id=RequestId(job.head.request),
            workspace=job.head.workspace,
            request_class=RequestClass(job.head.request_class),
            deadline=job.deadline,
            slice=Slice(job.unit),
            epoch=Epoch(job.head.slice_epoch),
            key_digest=job.head.key_digest,
            payload=job,
        )
        if request.request_id in self._jobs:
            job.fail(OutcomeUnknown("the request is already at the gate"))
            return
        refusal = self.gate.enqueue(self._clock(), request)
        if refusal is not None:
            job.fail(refusal.build_error())
            return
        self._jobs[request.request_id] = job
        self.pump()

    def cancel(self, job: Job) -> None:
        """Takes that the caller of a request no longer waits."""
        request_id = RequestId(job.head.request)
        if self._jobs.get(request_id) is not job:
            return
        job.close()
        if self.gate.cancel(request_id):
            del self._jobs[request_id]
            return
        self.backend.cancel(request_id)

    def pump(self) -> None:
        """Sends what may be sent now and refuses what is late."""
        now = self._clock()
        self._check_lease(now)
        self._check_silence(now)
        if not self.is_stopped(now):
            for request in self.gate.dequeue(now, self._find_lease_end()):
                task = asyncio.create_task(self._run(request))
                self._tasks[request.request_id] = task
        self._refuse(self.gate.expire(now))
        self._schedule(now)

    def is_stopped(self, now: float) -> bool:
        """Whether the server has no grant, is silent or gone."""
        if not self._has_grant:
            return True
        return self.is_lost or self._is_refused or now - self._heard_at > SILENCE

    def announce(self, phase: ServerPhase, load: float) -> float:
        """Takes an announcement of the server's process.

        Returns:
            Seconds for which the server may use its grants, counted from the time at
            which it sent the announcement; 0 if it may not.
        """
        now = self._clock()
        if self.is_lost or self.is_released:
            return 0.0
        self._heard_at = now
        self._has_grant = True
        self._is_refused = False
        self.load = load
        self.gate.set_phase(now, phase, self.pool.limits.cold_rate)
        lease_end = self._find_lease_end()
        self.pump()
        if lease_end <= now:
            return 0.0
        self._grant_end = max(self._grant_end, lease_end)
        return lease_end - now

    def declare_lost(self) -> None:
        """Takes the proof that the server's process is gone."""
        if self.is_lost:
            return
        self.is_lost = True
        logger.warning("Backend server {} is lost.", self.server.server)
        self.hand_back(NotGate())

    def hand_back(self, error: MonsoonlugError) -> None:
        """Refuses all waiting requests; none of them was sent."""
        for request in self.gate.remove_all():
            self._fail(request, error)

    def release_units(self, units: set[int]) -> None:
        """Holds back requests of units that are being moved."""
        self.releasing |= units
        self.gate.hold_slices(sorted(units))

    def resume_units(self, units: set[int]) -> None:
        """Goes on with units that stay with this server."""
        self.releasing -= units
        self.gate.resume_slices(sorted(units))
        self.pump()

    def forward_units(self, units: set[int], error: MonsoonlugError) -> None:
        """Refuses waiting requests of units that have moved; none was sent."""
        self.releasing -= units
        for request in self.gate.remove_held(sorted(units)):
            self._fail(request, error)

    def list_idle_units(self) -> list[int]:
        """Returns the units that are being moved and of which nothing may run."""
        now = self._clock()
        if now < self._inherited_until:
            return []
        self._settle(now)
        idle = self.gate.hold_slices(sorted(self.releasing))
        return [unit for unit in idle if unit not in self._unsettled]

    def is_idle(self) -> bool:
        """Whether nothing that this gate sent may still run."""
        self._settle(self._clock())
        return not self._unsettled and self.gate.running == 0

    def drop_keys(self, digests: set[str], error: type[MonsoonlugError]) -> None:
        """Refuses waiting requests whose workspace key was withdrawn."""
        dropped = self.gate.drop(lambda item: item.key_digest in digests, error)
        self._refuse(dropped)

    async def stop(self) -> None:
        """Waits until what runs has ended and closes the connections."""
        if self._timer is not None:
            self._timer.cancel()
        if self._tasks:
            await asyncio.wait(list(self._tasks.values()), timeout=STOP_TIMEOUT)
        await self.backend.close()

    def _check_lease(self, now: float) -> None:
        """Cancels what runs on slices once the lease and its grace are over.

        The slices may get another owner from then on, which must not act on a key while
        this server still does. Without the grace, each slow change of the control
        leader would end requests that need a few milliseconds more.
        """
        if now < self._find_lease_end() + CANCEL_GRACE:
            return
        for request_id, job in self._jobs.items():
            if job.head.slice != POOLED and request_id in self._tasks:
                self.backend.cancel(request_id)

    def _check_silence(self, now: float) -> None:
        if self.is_lost:
            return
        if now - self._heard_at > SILENCE and now >= self._grant_end:
            self.declare_lost()
            return
        # Requests that still run show that the process is alive.
        if self._is_refused and self.gate.running == 0:
            self.declare_lost()

    async def _run(self, request: QueuedRequest) -> None:
        job: Job = request.payload
        started = self._clock()
        outcome = Outcome.LOST
        try:
            await job.run(self.backend)
            outcome = Outcome.ANSWERED
        except BackendRefused as error:
            outcome = Outcome.SHED
            job.fail(error)
        except ProcessGone as error:
            self._is_refused = True
            job.fail(error)
        except StreamClosed:
            outcome = Outcome.ABANDONED
            job.close()
        except MonsoonlugError as error:
            if isinstance(error, OutcomeUnknown):
                outcome = Outcome.ABANDONED
            job.fail(error)
        finally:
            self._end(request, outcome, started)

    def _end(self, request: QueuedRequest, outcome: Outcome, started: float) -> None:
        now = self._clock()
        job: Job = request.payload
        job.close()
        self._jobs.pop(request.request_id, None)
        self._tasks.pop(request.request_id, None)
        if outcome is Outcome.ABANDONED:
            # The server may go on until the deadline that it was told.
            until = max(job.deadline, self._unsettled.get(request.slice, 0.0))
            self._unsettled[request.slice] = until
        self.gate.finish(now, request.request_id, outcome, now - started)
        self.pump()

    def _settle(self, now: float) -> None:
        settled = [unit for unit, until in self._unsettled.items() if until <= now]
        for unit in settled:
            del self._unsettled[unit]

    def _refuse(self, refused: list) -> None:
        for request, refusal in refused:
            self._fail(request, refusal.build_error())

    def _fail(self, request: QueuedRequest, error: MonsoonlugError) -> None:
        self._jobs.pop(request.request_id, None)
        request.payload.fail(error)

    def _schedule(self, now: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        lease_end = self._find_lease_end()
        wake = self.gate.find_wake_time(now, lease_end)
        cancel_at = lease_end + CANCEL_GRACE
        if self._tasks and cancel_at > now:
            wake = cancel_at if wake is None else min(wake, cancel_at)
        if wake is None:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(0.001, wake - now), self.pump)
