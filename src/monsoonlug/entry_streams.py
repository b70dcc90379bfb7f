"""Server side of the entries' streams: heartbeats, tokens, views and reports.

The leader responds to a heartbeat only after a majority has confirmed, in a round that
began after the heartbeat arrived, that it is the leader. One round serves all
heartbeats that arrived before it began.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial

from monsoonlug.actions import ReadIndexConfirmed, Role, RoleChanged
from monsoonlug.burn_rate import HostReport
from monsoonlug.commands import Command
from monsoonlug.coordinator import Coordinator
from monsoonlug.deltas import Delta
from monsoonlug.exceptions import NotLeader
from monsoonlug.ids import HostId, Term, WorkspaceId
from monsoonlug.logs import get_logger
from monsoonlug.messages import (
    DeltaPush,
    Heartbeat,
    HeartbeatResponse,
    Redirect,
    ReportRequest,
    ReportResponse,
    TokenRequest,
    TokenResponse,
    ViewPush,
)
from monsoonlug.quota import (
    Limit,
    TokenAuthority,
    TokenRefusal,
    unpack_demands,
    unpack_holdings,
)
from monsoonlug.sessions import SessionTable
from monsoonlug.subscribers import Subscriber, SubscriberStreams

MAX_KEPT_DELTAS = 2_000  # an entry that lags further gets the whole view
MAX_UNSENT_BYTES = 8 * 1_048_576  # queued for a slow entry
VIEW_CHUNK_BYTES = 524_288  # in one `ViewPush`
READ_TIMEOUT = 1.0  # seconds for a majority to confirm the leader
REPORT_TIMEOUT = 1.5  # seconds until a host is reported as missing

logger = get_logger("control")


class EntryStreams(SubscriberStreams):
    """Serves the entries while this replica is the leader.

    Args:
        clock: Monotonic clock, in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]):
        super().__init__(clock=clock, max_unsent_bytes=MAX_UNSENT_BYTES)
        self.sessions = SessionTable()
        self.authority = TokenAuthority()
        self.coordinator: Coordinator | None = None
        self._deltas: deque[tuple[int, int, bytes]] = deque(maxlen=MAX_KEPT_DELTAS)
        self._authority_term = Term(0)
        self._decide_handle: asyncio.Handle | None = None
        self._report_number = 0
        self._reports: dict[HostId, HostReport] = {}
        self._reports_changed = asyncio.Event()

    def decide(self) -> None:
        """Proposes the commands that the coordinator returns."""
        self._decide_handle = None
        if self.coordinator is None or not self.group.is_leader:
            return
        commands = self.coordinator.decide(
            self._clock(), self.group.state, self.sessions
        )
        if not commands:
            return
        try:
            self.group.propose_all(commands)
        except NotLeader:
            # The replica steps down within the call if its quorum has not responded.
            return

    def _schedule_decide(self) -> None:
        if self._decide_handle is None:
            loop = asyncio.get_running_loop()
            self._decide_handle = loop.call_soon(self.decide)

    def change_role(self, change: RoleChanged) -> None:
        """Starts or stops the duties of a leader after a change of role."""
        self.read_index_queue.reset()
        if change.role is not Role.LEADER:
            self.coordinator = None
            return
        now = self._clock()
        self.coordinator = Coordinator(now=now)
        self.sessions.begin(now, self.group.state.view.hosts.values())
        self.read_index_queue.begin_round(now)

    def confirm(self, confirmed: ReadIndexConfirmed) -> None:
        """Responds to the heartbeats that arrived before the confirmed round began."""
        self._begin_authority()
        self.read_index_queue.confirm(confirmed.round_id)

    async def wait_confirmed(self) -> None:
        """Waits until a majority has confirmed that this replica is the leader.

        Raises:
            NotLeader: If it is not the leader.
        """
        await self.read_index_queue.wait(READ_TIMEOUT)

    async def collect_reports(self) -> list[HostReport]:
        """Returns the reports of all entries that respond within `REPORT_TIMEOUT`."""
        self._report_number += 1
        self._reports = {}
        self._reports_changed.clear()
        self._send_all(ReportRequest(number=self._report_number))
        deadline = self._clock() + REPORT_TIMEOUT
        expected = set(self.group.state.view.hosts)
        while not expected <= set(self._reports):
            remaining = deadline - self._clock()
            if remaining <= 0:
                break
            try:
                await asyncio.wait_for(self._reports_changed.wait(), remaining)
            except TimeoutError:
                break
            self._reports_changed.clear()
        return list(self._reports.values())

    def handle_applied(self, command: Command, delta: Delta | None) -> None:
        """Handles an applied command and sends its delta to the entries."""
        if self.coordinator is not None:
            self.coordinator.mark_committed(command)
            self._schedule_decide()
        if delta is None:
            return
        packed = delta.pack()
        self._deltas.append((delta.base, delta.revision, packed))
        if self.group.is_leader:
            self._configure_limits()
        self._send_delta(delta.base, delta.revision, DeltaPush(delta=packed))

    def handle_restored(self) -> None:
        """Resets the deltas after the whole state was restored from a snapshot."""
        self._deltas.clear()
        for subscriber in self._subscribers:
            subscriber.sent_revision = None

    def _receive(self, subscriber: Subscriber, message: object) -> None:
        if not self.group.is_leader:
            leader = self.group.replica.leader
            self._send(subscriber, Redirect(leader=leader))
            return
        match message:
            case Heartbeat():
                self._handle_heartbeat(subscriber, message)
            case TokenRequest():
                self._handle_token_request(subscriber, message)
            case ReportResponse():
                self._handle_report(message)
            case _:
                self.coordinator.receive(self._clock(), message)

    def _handle_report(self, response: ReportResponse) -> None:
        if response.number != self._report_number:
            return
        self._reports[HostId(response.host)] = HostReport.from_json(response.report)
        self._reports_changed.set()

    def _handle_heartbeat(self, subscriber: Subscriber, heartbeat: Heartbeat) -> None:
        now = self._clock()
        self.coordinator.receive(now, heartbeat)
        if subscriber.sent_revision is None:
            self._catch_up(subscriber, heartbeat.revision)
        self.read_index_queue.run_after_round(
            partial(self._send_heartbeat_response, subscriber, heartbeat, now)
        )

    def _send_heartbeat_response(
        self, subscriber: Subscriber, heartbeat: Heartbeat, received_at: float
    ) -> None:
        host = HostId(heartbeat.host)
        if not self.sessions.renew(received_at, host, heartbeat.boot):
            return
        tokens, refusals = self._grant(heartbeat)
        response = HeartbeatResponse(
            sequence=heartbeat.sequence,
            term=self.group.replica.term,
            commit_revision=self.group.state.view.revision,
            tokens=tokens,
            retry_after=refusals,
        )
        self._send(subscriber, response)

    def _handle_token_request(
        self, subscriber: Subscriber, request: TokenRequest
    ) -> None:
        # After an election, the token authority waits for the holdings of registered
        # hosts only, so a process without a session gets no tokens.
        if not self.sessions.is_live(HostId(request.host), request.boot):
            return
        tokens, refusals = self._grant(request)
        response = TokenResponse(
            sequence=request.sequence,
            term=self.group.replica.term,
            tokens=tokens,
            retry_after=refusals,
        )
        self._send(subscriber, response)

    def _grant(self, message: Heartbeat | TokenRequest) -> tuple[dict, dict]:
        now = self._clock()
        host = HostId(message.host)
        tokens: dict[str, int] = {}
        refusals: dict[str, float] = {}
        is_new = self.authority.receive_report(
            now,
            host,
            message.boot,
            message.sequence,
            message.closed,
            Term(message.dropped_term),
            unpack_holdings(message.holdings),
        )
        if not is_new:
            return tokens, refusals
        confirmed_at = self.group.replica.confirmed_at()
        for workspace, demand in unpack_demands(message.wanted).items():
            result = self.authority.grant(
                now,
                host,
                message.boot,
                message.sequence,
                workspace,
                demand,
                confirmed_at,
            )
            if isinstance(result, TokenRefusal):
                refusals[workspace] = result.retry_after
                continue
            tokens[workspace] = result.tokens
            if result.retry_after:
                refusals[workspace] = result.retry_after
        return tokens, refusals

    def _begin_authority(self) -> None:
        term = Term(self.group.replica.term)
        if term == self._authority_term:
            return
        # The confirmed round proves that all registrations of older terms are applied.
        self._authority_term = term
        self.authority.start_term(
            self._clock(), term, list(self.group.state.view.hosts)
        )
        self._configure_limits()

    def _configure_limits(self) -> None:
        limits = {}
        for workspace in self.group.state.view.catalogue.workspaces:
            limits[WorkspaceId(workspace.name)] = Limit(
                rate=workspace.limits.rate, burst=workspace.limits.burst
            )
        self.authority.configure(self._clock(), limits)

    def _catch_up(self, subscriber: Subscriber, revision: int) -> None:
        view = self.group.state.view
        if revision > view.revision:
            return
        missing = [item for item in self._deltas if item[0] >= revision]
        if revision != view.revision and (not missing or missing[0][0] != revision):
            data = view.pack()
            self._send_view(
                subscriber,
                view.revision,
                data,
                chunk_type=ViewPush,
                chunk_size=VIEW_CHUNK_BYTES,
            )
        else:
            for _, _, packed in missing:
                self._send(subscriber, DeltaPush(delta=packed))
        subscriber.sent_revision = view.revision
