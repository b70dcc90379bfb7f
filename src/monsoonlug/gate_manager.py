"""Manages the gates of this host: ownership checks, releases and announcements."""

import asyncio
from collections.abc import Callable

from monsoonlug.announcements import (
    Announcement,
    AnnouncementAnswer,
    GrantRange,
)
from monsoonlug.backend import BackendProtocol
from monsoonlug.catalogue import Pool
from monsoonlug.deltas import ServerRecord
from monsoonlug.exceptions import (
    DeadlineExceeded,
    KeyRefused,
    NotGate,
)
from monsoonlug.exchanges import Peer
from monsoonlug.ids import SLICE_COUNT, HostId, ServerId, Slice, SliceState
from monsoonlug.jobs import POOLED, Job, JobTable, build_override_unit
from monsoonlug.logs import get_logger
from monsoonlug.messages import (
    GateReleased,
    KeysReleased,
    RequestHead,
    ServerLost,
    SlicesReleased,
)
from monsoonlug.runner import GateRunner
from monsoonlug.view import View

VIEW_TIMEOUT = 0.200  # seconds for which a request waits for a newer view

logger = get_logger("gate")


class GateManager:
    """Runs the gates that the view assigns to this host.

    A request is submitted to its gate only if it was sent under the current gate epoch
    and slice epoch. Slices and keys that are being moved are released once none of
    their requests can still be running.

    Args:
        host: Name of this host.
        clock: Monotonic clock, in seconds.
        find_lease_end: Returns the end of the session lease on the same clock.
        open_backend: Returns a client of a server, for its pool's protocol.
        send_to_leader: Sends a message to the control leader.
    """

    def __init__(
        self,
        *,
        host: HostId,
        clock: Callable[[], float],
        find_lease_end: Callable[[], float],
        open_backend: Callable[[ServerRecord, Pool], BackendProtocol],
        send_to_leader: Callable[[object], None],
    ):
        self._host = host
        self._clock = clock
        self._find_lease_end = find_lease_end
        self._open_backend = open_backend
        self._send_to_leader = send_to_leader
        self._view = View()
        self._view_changed = asyncio.Event()
        self._runners: dict[ServerId, GateRunner] = {}
        self._jobs = JobTable(open_job=self._open_job, cancel_job=self._cancel_job)
        self._withdrawn_keys: set[str] = set()
        self._stop_tasks: set[asyncio.Task] = set()
        self._view_waits: set[asyncio.Task] = set()

    @property
    def runners(self) -> dict[ServerId, GateRunner]:
        """The running gates, by server."""
        return self._runners

    # Messages from other hosts and from this host's front end.

    def receive(self, peer: Peer, message: object) -> None:
        """Handles a frame of a request stream; see `JobTable`."""
        self._jobs.receive(peer, message)

    def remove_peer(self, peer: Peer) -> None:
        """Cancels the requests of a peer whose connection was lost."""
        self._jobs.remove_peer(peer)

    def _open_job(self, peer: Peer, head: RequestHead) -> None:
        deadline = self._clock() + head.remaining
        job = Job(head=head, peer=peer, deadline=deadline)
        self._jobs.add(job)
        if head.revision <= self._view.revision:
            self._submit(job)
            return
        task = asyncio.create_task(self._wait_for_view(job))
        self._view_waits.add(task)
        task.add_done_callback(self._view_waits.discard)

    async def _wait_for_view(self, job: Job) -> None:
        until = min(job.deadline, self._clock() + VIEW_TIMEOUT)
        while self._view.revision < job.head.revision:
            remaining = until - self._clock()
            if remaining <= 0 or job.ended:
                break
            try:
                await asyncio.wait_for(self._view_changed.wait(), remaining)
            except TimeoutError:
                break
        if not job.ended:
            self._submit(job)

    def _submit(self, job: Job) -> None:
        if self._clock() >= job.deadline:
            job.fail(DeadlineExceeded())
            return
        runner = self._runners.get(ServerId(job.head.server))
        if runner is None or runner.record.epoch != job.head.gate_epoch:
            job.fail(NotGate())
            return
        if runner.is_lost or not self._is_owner(job):
            job.fail(NotGate())
            return
        # The key may have been withdrawn after the sender admitted the request.
        if job.head.key_digest in self._view.withdrawn:
            job.fail(KeyRefused())
            return
        if job.head.slice == POOLED and not self._view.is_in_service(runner.server):
            job.fail(NotGate())
            return
        runner.submit(job)

    def _is_owner(self, job: Job) -> bool:
        head = job.head
        if head.slice == POOLED:
            return True
        table = self._view.slices.get(self._runners[head.server].pool.name)
        if table is None or not 0 <= head.slice < SLICE_COUNT:
            return False
        if head.key_hash is not None:
            location = table.overrides.get(head.key_hash)
        else:
            location = table.get(Slice(head.slice))
        if location is None or location.state is SliceState.UNOWNED:
            return False
        return location.owner == head.server and location.epoch == head.slice_epoch

    def _cancel_job(self, job: Job) -> None:
        runner = self._runners.get(ServerId(job.head.server))
        if runner is not None:
            runner.cancel(job)
        job.close()

    # Updates of the view.

    def update(self, view: View) -> None:
        """Applies a new revision of the view."""
        withdrawn = view.withdrawn - self._withdrawn_keys
        self._withdrawn_keys = set(view.withdrawn)
        self._view = view
        self._remove_gates()
        for server, gate in view.gates.items():
            if gate.host != self._host:
                continue
            record = view.servers.get(server)
            if record is None:
                continue
            runner = self._runners.get(server)
            if runner is None:
                runner = self._add_gate(record)
            if runner is None:
                continue
            runner.record = gate
            runner.server = record
            if gate.releasing:
                runner.gate.hold_all()
            table = view.slices.get(runner.pool.name)
            if table is not None and runner.applied_table != (table, table.version):
                runner.applied_table = (table, table.version)
                self._update_units(runner)
                runner.grants_revision = view.revision
            if withdrawn:
                runner.refuse_keys(withdrawn, KeyRefused)
        self._view_changed.set()
        self._view_changed = asyncio.Event()
        self.tick()

    def tick(self) -> None:
        """Sends requests that are due and reports releases and lost servers."""
        for runner in list(self._runners.values()):
            runner.process_queue()
            self._report_runner(runner)

    def _remove_gates(self) -> None:
        for server, runner in list(self._runners.items()):
            gate = self._view.gates.get(server)
            record = self._view.servers.get(server)
            if gate is not None and record is not None:
                same = gate.host == self._host and gate.epoch == runner.record.epoch
                if same and record.epoch == runner.server.epoch:
                    continue
            del self._runners[server]
            logger.info(
                "Gate of backend server {} was removed from this host; "
                "refusing its waiting requests.",
                server,
            )
            runner.refuse_all(NotGate())
            task = asyncio.create_task(runner.stop())
            self._stop_tasks.add(task)
            task.add_done_callback(self._stop_tasks.discard)

    def _add_gate(self, record: ServerRecord) -> GateRunner | None:
        for pool in self._view.catalogue.pools:
            if pool.name != record.pool:
                continue
            runner = GateRunner(
                server=record,
                gate=self._view.gates[record.server],
                pool=pool,
                backend=self._open_backend(record, pool),
                clock=self._clock,
                find_lease_end=self._find_lease_end,
                longest_deadline=self._find_longest_deadline(pool),
            )
            self._runners[record.server] = runner
            logger.info(
                "Gate of backend server {} was added to this host.", record.server
            )
            return runner
        return None

    def _find_longest_deadline(self, pool: Pool) -> float:
        routes = self._view.catalogue.routes
        deadlines = [item.limits.deadline for item in routes if item.pool == pool.name]
        return max(deadlines, default=0.0)

    def _update_units(self, runner: GateRunner) -> None:
        table = self._view.slices.get(runner.pool.name)
        if table is None:
            return
        server = runner.server.server
        releasing: set[int] = set()
        for run in table.list_runs(state=SliceState.RELEASING, owner=server):
            releasing.update(range(run.start, run.start + run.count))
        for key_hash, item in table.overrides.items():
            if item.owner == server and item.state is SliceState.RELEASING:
                releasing.add(build_override_unit(key_hash))
        ended = runner.releasing - releasing
        if ended:
            kept = {unit for unit in ended if self._still_owns(runner, unit)}
            runner.resume_units(kept)
            runner.refuse_units(ended - kept, NotGate())
        started = releasing - runner.releasing
        if started:
            runner.hold_units(started)

    def _still_owns(self, runner: GateRunner, unit: int) -> bool:
        location = self._find_unit(runner, unit)
        if location is None or location.state is not SliceState.OWNED:
            return False
        return location.owner == runner.server.server

    def _find_unit(self, runner: GateRunner, unit: int):
        table = self._view.slices[runner.pool.name]
        if unit < SLICE_COUNT:
            return table.get(Slice(unit))
        return table.overrides.get(unit - SLICE_COUNT)

    def _report_runner(self, runner: GateRunner) -> None:
        server = runner.server.server
        if runner.is_lost:
            message = ServerLost(
                server=server,
                boot=runner.server.boot,
                gate_epoch=runner.record.epoch,
            )
            self._send_to_leader(message)
            return
        if runner.record.releasing and (runner.is_released or runner.is_idle()):
            runner.is_released = True
            message = GateReleased(server=server, gate_epoch=runner.record.epoch)
            self._send_to_leader(message)
        idle = runner.list_idle_units() if runner.releasing else []
        if idle:
            self._report_units(runner, idle)

    def _report_units(self, runner: GateRunner, idle: list[int]) -> None:
        server, pool = runner.server.server, runner.pool.name
        slices = [unit for unit in idle if unit < SLICE_COUNT]
        keys = [unit - SLICE_COUNT for unit in idle if unit >= SLICE_COUNT]
        if slices:
            epochs = [self._find_unit(runner, unit).epoch for unit in slices]
            message = SlicesReleased(
                server=server, pool=pool, slices=slices, epochs=epochs
            )
            self._send_to_leader(message)
        if keys:
            table = self._view.slices[pool]
            epochs = [table.overrides[key].epoch for key in keys]
            message = KeysReleased(server=server, pool=pool, keys=keys, epochs=epochs)
            self._send_to_leader(message)

    # Announcements of backend servers.

    def announce(self, announcement: Announcement) -> AnnouncementAnswer | None:
        """Handles an announcement of a server whose gate this host runs.

        Returns:
            The response without the gate's address, or None if this host does not run
            the gate of the announced process.
        """
        runner = self._runners.get(ServerId(announcement.server))
        if runner is None or runner.is_lost:
            return None
        if announcement.boot != runner.server.boot:
            # Two processes cannot listen at the same address, so the old one ended.
            if announcement.address == runner.server.address:
                runner.mark_lost()
                self._report_runner(runner)
            return None
        lease = runner.announce(announcement.phase, announcement.load)
        grants = None
        if announcement.grants_revision != runner.grants_revision:
            grants = self._list_grants(runner)
        return AnnouncementAnswer(
            gate=None,
            lease=lease,
            grants_revision=runner.grants_revision,
            grants=grants,
        )

    def _list_grants(self, runner: GateRunner) -> list[GrantRange]:
        table = self._view.slices.get(runner.pool.name)
        if table is None:
            return []
        # Runs of slices, as listing single slices blocked the event loop for 40 ms per
        # announcement.
        runs = table.list_runs(state=SliceState.OWNED, owner=runner.server.server)
        return [
            GrantRange(
                first=run.start, last=Slice(run.start + run.count - 1), epoch=run.epoch
            )
            for run in runs
        ]

    async def stop(self) -> None:
        """Waits until all running requests have ended."""
        stopping = [runner.stop() for runner in self._runners.values()]
        await asyncio.gather(*stopping, *self._stop_tasks)
