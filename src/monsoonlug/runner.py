"""Runs the requests of one gate on its backend server, under a session lease."""

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

ANNOUNCEMENT_TIMEOUT = 0.300  # seconds; without an announcement, sending stops
STOP_TIMEOUT = 60.0  # seconds; the longest deadline that a route may have

logger = get_logger("gate")


class GateRunner:
    """Runs the requests of one gate.

    Args:
        server: Record of the backend server.
        gate: Record that assigns the gate to this host.
        pool: Pool of the server.
        backend: Client of the server.
        clock: Monotonic clock, in seconds.
        find_lease_end: Returns the end of the session lease on the same clock.
        longest_deadline: Seconds for which requests of a previous gate may still run.
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
        self.applied_table: tuple | None = None
        self.grants_revision = Revision(0)
        self.is_lost = False
        self.is_released = False
        self.load = 0.0
        self._clock = clock
        self._find_lease_end = find_lease_end
        self._last_announced_at = now
        self._has_grant = False
        self._grant_expires_at = now
        self._connection_refused = False
        self._jobs: dict[RequestId, Job] = {}
        self._tasks: dict[RequestId, asyncio.Task] = {}
        self._abandoned_until: dict[int, float] = {}
        self._predecessor_until = (
            now + longest_deadline if gate.predecessor_lost else now
        )
        self._timer: asyncio.TimerHandle | None = None

    def submit(self, job: Job) -> None:
        """Queues a request for this server, or fails it with the reason."""
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
            job.fail(OutcomeUnknown("a request with this id is already at the gate"))
            return
        refusal = self.gate.enqueue(self._clock(), request)
        if refusal is not None:
            job.fail(refusal.build_error())
            return
        self._jobs[request.request_id] = job
        self.process_queue()

    def cancel(self, job: Job) -> None:
        """Cancels a request whose caller disconnected."""
        request_id = RequestId(job.head.request)
        if self._jobs.get(request_id) is not job:
            return
        job.close()
        if self.gate.cancel(request_id):
            del self._jobs[request_id]
            return
        self.backend.cancel(request_id)

    def process_queue(self) -> None:
        """Sends requests that are due, refuses late ones and schedules the next run."""
        now = self._clock()
        self._check_lease(now)
        self._check_announcements(now)
        if not self.is_stopped(now):
            for request in self.gate.dequeue(now, self._find_lease_end()):
                task = asyncio.create_task(self._run(request))
                self._tasks[request.request_id] = task
        self._refuse(self.gate.expire(now))
        self._schedule(now)

    def is_stopped(self, now: float) -> bool:
        """Whether the server has no grant, is lost or has stopped announcing itself."""
        if not self._has_grant:
            return True
        return (
            self.is_lost
            or self._connection_refused
            or now - self._last_announced_at > ANNOUNCEMENT_TIMEOUT
        )

    def announce(self, phase: ServerPhase, load: float) -> float:
        """Handles an announcement of the server's process.

        Returns:
            Seconds for which the server's grants are valid, counted from the time at
            which it sent the announcement; 0 if they are not valid.
        """
        now = self._clock()
        if self.is_lost or self.is_released:
            return 0.0
        self._last_announced_at = now
        self._has_grant = True
        self._connection_refused = False
        self.load = load
        self.gate.set_phase(now, phase, self.pool.limits.cold_rate)
        lease_end = self._find_lease_end()
        self.process_queue()
        if lease_end <= now:
            return 0.0
        self._grant_expires_at = max(self._grant_expires_at, lease_end)
        return lease_end - now

    def mark_lost(self) -> None:
        """Marks the server as lost and refuses its waiting requests."""
        if self.is_lost:
            return
        self.is_lost = True
        logger.warning(
            "Backend server {} is lost; refusing its waiting requests.",
            self.server.server,
        )
        self.refuse_all(NotGate())

    def refuse_all(self, error: MonsoonlugError) -> None:
        """Refuses all waiting requests, which were not sent."""
        for request in self.gate.remove_all():
            self._fail(request, error)

    def hold_units(self, units: set[int]) -> None:
        """Stops sending requests of units that are being moved."""
        self.releasing |= units
        self.gate.hold_slices(sorted(units))

    def resume_units(self, units: set[int]) -> None:
        """Sends requests of held units again; the units stay with this server."""
        self.releasing -= units
        self.gate.resume_slices(sorted(units))
        self.process_queue()

    def refuse_units(self, units: set[int], error: MonsoonlugError) -> None:
        """Refuses the waiting requests of units that have moved; none was sent."""
        self.releasing -= units
        for request in self.gate.remove_held(sorted(units)):
            self._fail(request, error)

    def list_idle_units(self) -> list[int]:
        """Returns the units being moved that can have no running requests any more."""
        now = self._clock()
        if now < self._predecessor_until:
            return []
        self._remove_expired_units(now)
        idle = self.gate.hold_slices(sorted(self.releasing))
        return [unit for unit in idle if unit not in self._abandoned_until]

    def is_idle(self) -> bool:
        """Whether none of the requests that this gate sent can still be running."""
        self._remove_expired_units(self._clock())
        return not self._abandoned_until and self.gate.running == 0

    def refuse_keys(self, digests: set[str], error: type[MonsoonlugError]) -> None:
        """Refuses the waiting requests whose workspace key was withdrawn."""
        dropped = self.gate.drop(lambda item: item.key_digest in digests, error)
        self._refuse(dropped)

    async def stop(self) -> None:
        """Waits for the running requests, then closes the connections."""
        if self._timer is not None:
            self._timer.cancel()
        if self._tasks:
            await asyncio.wait(list(self._tasks.values()), timeout=STOP_TIMEOUT)
        await self.backend.close()

    def _check_lease(self, now: float) -> None:
        """Cancels running requests of slices CANCEL_GRACE after the end of the lease.

        From then on the slices may be assigned to another server, which must not act on
        a key while this server still does. Without the grace period, each slow change
        of the control leader would cancel requests that need a few more milliseconds.
        """
        if now < self._find_lease_end() + CANCEL_GRACE:
            return
        for request_id, job in self._jobs.items():
            if job.head.slice != POOLED and request_id in self._tasks:
                self.backend.cancel(request_id)

    def _check_announcements(self, now: float) -> None:
        if self.is_lost:
            return
        if (
            now - self._last_announced_at > ANNOUNCEMENT_TIMEOUT
            and now >= self._grant_expires_at
        ):
            self.mark_lost()
            return
        # Requests that are still running show that the process is alive.
        if self._connection_refused and self.gate.running == 0:
            self.mark_lost()

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
            self._connection_refused = True
            job.fail(error)
        except StreamClosed:
            outcome = Outcome.ABANDONED
            job.close()
        except MonsoonlugError as error:
            if isinstance(error, OutcomeUnknown):
                outcome = Outcome.ABANDONED
            job.fail(error)
        finally:
            self._finish(request, outcome, started)

    def _finish(self, request: QueuedRequest, outcome: Outcome, started: float) -> None:
        now = self._clock()
        job: Job = request.payload
        job.close()
        self._jobs.pop(request.request_id, None)
        self._tasks.pop(request.request_id, None)
        if outcome is Outcome.ABANDONED:
            # The server may run the request until the deadline that it was sent.
            until = max(job.deadline, self._abandoned_until.get(request.slice, 0.0))
            self._abandoned_until[request.slice] = until
        self.gate.finish(now, request.request_id, outcome, now - started)
        self.process_queue()

    def _remove_expired_units(self, now: float) -> None:
        expired = [
            unit for unit, until in self._abandoned_until.items() if until <= now
        ]
        for unit in expired:
            del self._abandoned_until[unit]

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
        self._timer = loop.call_later(max(0.001, wake - now), self.process_queue)
