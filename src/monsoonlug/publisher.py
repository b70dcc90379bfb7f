"""Server side of the entries' streams at the control leader of an announced fleet.

The leader responds to a heartbeat only after a majority has confirmed, since the
heartbeat arrived, that it is the leader. An entry whose view has reached the revision
in the response therefore knows that the view was current when it sent the heartbeat.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial

from monsoonlug import messages
from monsoonlug.actions import ReadIndexConfirmed, Role, RoleChanged
from monsoonlug.crash_tracking import (
    CrashTracker,
    OutcomeReport,
    RequestState,
    RequestVerdict,
)
from monsoonlug.exceptions import NotLeader
from monsoonlug.fleet import FleetView
from monsoonlug.fleet_messages import (
    ChangeItems,
    FleetDelta,
    FleetHeartbeat,
    FleetHeartbeatResponse,
    FleetTokenRequest,
    FleetTokenResponse,
    FleetViewChunk,
    KeyStatus,
    KeyStatusBatch,
    KeyTableChanged,
    RequestStateChanged,
    ServerNotice,
    check_heartbeat,
    check_wanted_tokens,
)
from monsoonlug.host_messages import HostCapacity, check_host_capacity
from monsoonlug.ids import Fingerprint, HostId, PoolId, ServerId, WorkspaceId
from monsoonlug.items import Item
from monsoonlug.leases import FormerOwners
from monsoonlug.live_hosts import LiveHosts
from monsoonlug.logs import get_logger
from monsoonlug.messages import Redirect
from monsoonlug.rates import GlobalRateLimiter, list_limits
from monsoonlug.registrar import Registrar
from monsoonlug.request_limits import LimitReport
from monsoonlug.rollout_control import RolloutController
from monsoonlug.rollout_messages import COMMAND_LEVEL, RolloutReport
from monsoonlug.subscribers import Subscriber, SubscriberStreams

MAX_KEPT_DELTAS = 500  # an entry that lags further gets the whole view
MAX_MERGED_BYTES = 524_288  # of the changes in one delta
MAX_UNSENT_BYTES = 4 * 1_048_576  # queued for a slow entry
VIEW_CHUNK_BYTES = 262_144  # in one `FleetViewChunk`
DELTA_BATCH_DELAY = 0.030  # seconds for which deltas are batched at least
READY_BATCH_DELAY = 0.050  # seconds; the same for `KeyStatus` with `ready`
BATCH_DELAY_PER_ENTRY = 0.0006  # seconds
MAX_BATCH_DELAY = 0.120  # seconds
MAX_CONFIRMATION_AGE = 0.3  # seconds since a confirmed round, to grant tokens
HOST_LIST_DELAY = 0.6  # seconds after an election, for entries to send heartbeats

logger = get_logger("control")


class Publisher(SubscriberStreams):
    """Serves the entries while this replica is the leader.

    Args:
        clock: Monotonic clock, in seconds.
        server_heartbeat_interval: Seconds between two heartbeats of a backend server.
        rollouts: Decides on rollouts, or None if they are not in use.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        server_heartbeat_interval: float,
        rollouts: RolloutController | None = None,
    ):
        super().__init__(clock=clock, max_unsent_bytes=MAX_UNSENT_BYTES)
        self.registrar: Registrar | None = None
        self._rollouts = rollouts
        self._former_owners = FormerOwners()
        self._rate_limiter: GlobalRateLimiter | None = None
        self._crash_tracker = CrashTracker()
        self._server_heartbeat_interval = server_heartbeat_interval
        self._ready_batch: list[KeyStatus] = []
        self._deltas: deque[FleetDelta] = deque(maxlen=MAX_KEPT_DELTAS)
        self._live_hosts = LiveHosts()
        self._confirmed_since = 0.0
        self._flush_timer: asyncio.TimerHandle | None = None

    def decide(self) -> None:
        """Proposes the registrar's decisions and updates the list of live entries."""
        if self.registrar is None or not self.group.is_leader:
            return
        now = self._clock()
        commands = list(self.registrar.plan_commands(now))
        if commands:
            try:
                self.group.propose_all(commands)
            except NotLeader:
                # The replica steps down inside the call if no quorum has responded.
                return
        self._update_live_rows(now)
        self._send_verdicts(now)
        self.send_notices()
        if self._rollouts is not None and self._rollouts.is_active:
            # A proposal within the round's callback would apply its actions before
            # those that the replica returned with the confirmation.
            loop = asyncio.get_running_loop()
            self.read_index_queue.run_after_round(
                partial(loop.call_soon, self._decide_rollouts)
            )

    def _decide_rollouts(self) -> None:
        """Proposes the decisions on rollouts."""
        if self.registrar is None or not self.group.is_leader:
            return
        now = self._clock()
        age = now - self.group.replica.confirmed_at()
        commands = self._rollouts.decide(
            now, self._view, self.registrar, may_raise=age <= MAX_CONFIRMATION_AGE
        )
        if not commands:
            return
        try:
            self.group.propose_all(commands)
        except NotLeader:
            logger.info("Did not propose steps of rollouts: not the leader any more.")

    def _stores_versions(self) -> bool:
        level = self.group.state.command_level
        return self._rollouts is not None and level >= COMMAND_LEVEL

    def send_notices(self) -> None:
        """Sends the registrar's notices to all entries.

        `KeyStatus` with `ready` are batched: most heartbeats of backend servers cause
        one, and each message costs every entry the same whatever its size.
        """
        if self.registrar is None:
            return
        urgent = []
        for notice in self.registrar.take_notices():
            if not isinstance(notice, KeyStatus) or not notice.ready:
                urgent.append(notice)
                continue
            if not self._ready_batch:
                loop = asyncio.get_running_loop()
                delay = self._get_batch_delay(READY_BATCH_DELAY)
                loop.call_later(delay, self._send_ready)
            self._ready_batch.append(notice)
        self._send_notices(urgent)

    def _send_verdicts(self, now: float) -> None:
        for verdict in self._crash_tracker.take_verdicts(now):
            if verdict.state is RequestState.BLOCKED:
                logger.warning(
                    "Blocked request {} for {:.0f} s: it crashes backend servers.",
                    verdict.fingerprint,
                    verdict.seconds,
                )
            self._send_all(_build_state(verdict))

    def _send_ready(self) -> None:
        # An entry ignores the status of an assignment that it does not know yet.
        self._flush_deltas()
        ready, self._ready_batch = self._ready_batch, []
        self._send_notices(ready)

    def _send_notices(self, notices: list[object]) -> None:
        for notice in _batch_key_status(notices):
            self._send_all(notice)

    def change_role(self, change: RoleChanged) -> None:
        """Resets the state of the term after the replica's role changed."""
        self.read_index_queue.reset()
        self.registrar = None
        self._rate_limiter = None
        self._crash_tracker = CrashTracker()
        self._live_hosts = LiveHosts()
        self._ready_batch = []
        if self._rollouts is not None:
            self._rollouts.reset()
        for subscriber in self._subscribers:
            subscriber.sent_revision = None
            subscriber.live_hosts_sent = False
        if change.role is Role.LEADER:
            self.read_index_queue.begin_round(self._clock())

    def confirm(self, confirmed: ReadIndexConfirmed) -> None:
        """Responds to the heartbeats that arrived before a confirmed round began.

        The registrar starts with the first confirmed round of a term, when everything
        committed in earlier terms is known to be applied.
        """
        if self.registrar is None:
            now = self._clock()
            view = self._view
            self._confirmed_since = now
            self.registrar = Registrar(
                now=now,
                view=view,
                heartbeat_interval=self._server_heartbeat_interval,
                former_owners=self._former_owners,
                stores_versions=self._stores_versions,
            )
            if self._rollouts is not None:
                self._rollouts.begin(view)
            self._rate_limiter = GlobalRateLimiter(now=now)
            self._rate_limiter.configure(now, list_limits(view.items))
            logger.info(
                "Became the leader in term {} at revision {} with {} backend servers.",
                self.group.replica.term,
                view.revision,
                len(view.servers),
            )
        self.read_index_queue.confirm(confirmed.round_id)

    def handle_applied(self, command: object, delta: FleetDelta | None) -> None:
        """Sends the delta of a committed command to the entries."""
        packed = delta.changes if delta is not None else []
        if isinstance(command, ChangeItems):
            for change in map(messages.decode, packed):
                if isinstance(change, KeyTableChanged):
                    self._former_owners.record_change(self._clock(), change, self._view)
        if self.registrar is not None:
            changes = [messages.decode(change) for change in packed]
            self.registrar.apply_committed(self._clock(), command, changes)
            if self._rollouts is not None:
                self._rollouts.apply_committed(changes)
            if any(isinstance(change, Item) for change in changes):
                self._rate_limiter.configure(
                    self._clock(), list_limits(self._view.items)
                )
        if delta is None:
            return
        self._deltas.append(delta)
        if self._flush_timer is None and self._subscribers:
            loop = asyncio.get_running_loop()
            delay = self._get_batch_delay(DELTA_BATCH_DELAY)
            self._flush_timer = loop.call_later(delay, self._flush_deltas)

    def _get_batch_delay(self, shortest: float) -> float:
        """Returns the seconds for which messages to all entries are batched.

        The work that a message causes grows with the number of entries.
        """
        needed = BATCH_DELAY_PER_ENTRY * len(self._subscribers)
        return max(shortest, min(needed, MAX_BATCH_DELAY))

    def _flush_deltas(self) -> None:
        """Sends the deltas of the last commits to all entries, as one message."""
        self._flush_timer = None
        bodies: dict[int, bytes] = {}
        revision = self._view.revision
        for subscriber in list(self._subscribers):
            base = subscriber.sent_revision
            if base is None or base == revision:
                continue
            if base not in bodies:
                merged = self._merge_deltas(base)
                if merged is None:
                    subscriber.sent_revision = None
                    continue
                bodies[base] = messages.encode_compressed(merged)
            self._send_encoded(subscriber, bodies[base])
            subscriber.sent_revision = revision

    def _merge_deltas(self, base: int) -> FleetDelta | None:
        """Returns one delta from a revision to the current one.

        Returns None if the revision is not known or the whole view is sent better.
        """
        missing = [item for item in self._deltas if item.base >= base]
        if not missing or missing[0].base != base:
            return None
        changes = [change for item in missing for change in item.changes]
        if sum(len(change) for change in changes) > MAX_MERGED_BYTES:
            return None
        return FleetDelta(base=base, revision=missing[-1].revision, changes=changes)

    def handle_restored(self) -> None:
        """Drops the kept deltas after the whole state was replaced."""
        self._deltas.clear()
        self._former_owners = FormerOwners.from_snapshot(self._clock(), self._view)
        for subscriber in self._subscribers:
            subscriber.sent_revision = None

    @property
    def _view(self) -> FleetView:
        return self.group.state.view

    def _receive(self, subscriber: Subscriber, message: object) -> None:
        if not self.group.is_leader or self.registrar is None:
            self._send(subscriber, Redirect(leader=self.group.leader))
            return
        match message:
            case FleetHeartbeat():
                check_heartbeat(message)
                self._handle_heartbeat(subscriber, message)
            case HostCapacity():
                check_host_capacity(message)
                self._live_hosts.record_capacity(message)
            case RolloutReport():
                if self._rollouts is not None and self._rollouts.record(message):
                    self._decide_rollouts()
            case FleetTokenRequest():
                check_wanted_tokens(message.wanted)
                # Without a recent majority, a deposed leader could grant tokens at the
                # same time as its successor.
                age = self._clock() - self.group.replica.confirmed_at()
                if age > MAX_CONFIRMATION_AGE:
                    return
                grant = self._grant_tokens(
                    message.sequence, message.host, message.wanted
                )
                self._send(subscriber, grant)

    def _handle_heartbeat(
        self, subscriber: Subscriber, heartbeat: FleetHeartbeat
    ) -> None:
        now = self._clock()
        self._live_hosts.record_heartbeat(now, heartbeat)
        self._rate_limiter.record_heartbeat(now, HostId(heartbeat.host))
        if heartbeat.leaving:
            self._rate_limiter.remove_host(HostId(heartbeat.host))
            self._update_live_rows(now)
        for pool, key, count in heartbeat.loads:
            self.registrar.record_requests(PoolId(pool), key, count)
        for server, slowdown, base_latency, utilization in heartbeat.servers:
            self.registrar.record_utilization(
                ServerId(server),
                slowdown=slowdown,
                base_latency=base_latency,
                utilization=utilization,
            )
        for server, limit, age in heartbeat.limits:
            report = LimitReport(server=ServerId(server), limit=limit, age=age)
            self.registrar.limits.record(now, HostId(heartbeat.host), report)
        for server, born, rest, is_leaving in heartbeat.notices:
            notice = ServerNotice(
                server=ServerId(server),
                born=born,
                rest=rest,
                is_leaving=bool(is_leaving),
            )
            self.registrar.record_notice(now, notice)
        for fingerprint, gate, has_crashed, age in heartbeat.outcomes:
            report = OutcomeReport(
                fingerprint=Fingerprint(fingerprint),
                gate=gate,
                has_crashed=bool(has_crashed),
                age=age,
            )
            self._crash_tracker.apply_report(now, report)
        if heartbeat.outcomes:
            self._send_verdicts(now)
        # Sending a view takes seconds on a slow link. Heartbeats that arrive meanwhile
        # must not cause another one.
        if subscriber.sent_revision is None:
            self._catch_up(subscriber, heartbeat.revision)
        if not subscriber.live_hosts_sent and self._live_hosts.rows:
            subscriber.live_hosts_sent = True
            for message in self._live_hosts.build_messages(self.group.replica.term):
                self._send(subscriber, message)
        self.read_index_queue.run_after_round(
            partial(self._respond, subscriber, heartbeat)
        )

    def _respond(self, subscriber: Subscriber, heartbeat: FleetHeartbeat) -> None:
        if subscriber.sent_revision != self._view.revision:
            self._flush_deltas()
        grant = self._grant_tokens(heartbeat.sequence, heartbeat.host, heartbeat.wanted)
        response = FleetHeartbeatResponse(
            sequence=heartbeat.sequence,
            term=self.group.replica.term,
            revision=self._view.revision,
            members=[m.replica_id for m in self.group.replica.members.members],
            tokens=grant.tokens,
            retry_after=grant.retry_after,
            shares=grant.shares,
        )
        self._send(subscriber, response)

    def _grant_tokens(
        self, sequence: int, host: str, wanted: dict
    ) -> FleetTokenResponse:
        now = self._clock()
        grant = FleetTokenResponse(
            sequence=sequence,
            term=self.group.replica.term,
            tokens={},
            retry_after={},
            shares={},
        )
        for workspace, (urgent, prefetch, share) in wanted.items():
            result = self._rate_limiter.grant(
                now, HostId(host), WorkspaceId(workspace), urgent, prefetch, share
            )
            grant.tokens[workspace] = result.tokens
            grant.shares[workspace] = round(result.share, 3)
            if result.retry_after:
                grant.retry_after[workspace] = round(result.retry_after, 3)
        return grant

    # Live entries.

    def _update_live_rows(self, now: float) -> None:
        may_change = now - self._confirmed_since >= HOST_LIST_DELAY
        if not self._live_hosts.update(now, may_change=may_change):
            return
        for subscriber in self._subscribers:
            subscriber.live_hosts_sent = True
        for message in self._live_hosts.build_messages(self.group.replica.term):
            self._send_all(message)

    # Views.

    def _catch_up(self, subscriber: Subscriber, revision: int) -> None:
        view = self._view
        merged = self._merge_deltas(revision)
        if revision < 0 or (revision != view.revision and merged is None):
            data = view.pack()
            self._send_view(
                subscriber,
                view.revision,
                data,
                chunk_type=FleetViewChunk,
                chunk_size=VIEW_CHUNK_BYTES,
            )
        elif merged is not None:
            self._send(subscriber, merged)
        subscriber.sent_revision = view.revision
        now = self._clock()
        for status in _batch_key_status(self.registrar.list_status(now)):
            self._send(subscriber, status)
        for verdict in self._crash_tracker.list_verdicts(now):
            self._send(subscriber, _build_state(verdict))


def _build_state(verdict: RequestVerdict) -> RequestStateChanged:
    return RequestStateChanged(
        fingerprint=verdict.fingerprint,
        state=verdict.state,
        seconds=round(verdict.seconds, 3),
    )


def _batch_key_status(notices: list[object]) -> list[object]:
    """Returns the notices, with all `KeyStatus` merged into one `KeyStatusBatch`."""
    rows = []
    batched = []
    for notice in notices:
        if not isinstance(notice, KeyStatus):
            batched.append(notice)
            continue
        rows.append([notice.pool, notice.start, notice.end, notice.epoch, notice.ready])
    return [*batched, KeyStatusBatch(rows=rows)] if rows else batched
