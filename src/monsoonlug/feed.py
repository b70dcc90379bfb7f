"""The leader's side of the streams to entries: sessions, tokens and the view.

A heartbeat is answered only after a round that began after its receipt was confirmed
by a majority. One round serves all heartbeats that came before it began.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial

from monsoonlug.actions import ReadIndexConfirmed, Role, RoleChanged
from monsoonlug.burn import HostReport
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
    Refusal,
    TokenAuthority,
    unpack_demands,
    unpack_holdings,
)
from monsoonlug.sessions import SessionTable
from monsoonlug.subscribers import Subscriber, SubscriberStreams

KEPT_DELTAS = 2_000
MAX_UNSENT = 8 * 1_048_576  # bytes that may wait for a slow entry
VIEW_PART = 524_288  # bytes of one `ViewPush`
READ_TIMEOUT = 1.0  # seconds
REPORT_TIMEOUT = 1.5  # seconds until a host counts as missing

logger = get_logger("control")


class Feed(SubscriberStreams):
    """Serves the entries as long as this replica leads.

    Args:
        clock: Monotonic clock, in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]):
        super().__init__(clock=clock, max_unsent_bytes=MAX_UNSENT)
        self.sessions = SessionTable()
        self.authority = TokenAuthority()
        self.coordinator: Coordinator | None = None
        self._deltas: deque[tuple[int, int, bytes]] = deque(maxlen=KEPT_DELTAS)
        self._authority_term = Term(0)
        self._deciding: asyncio.Handle | None = None
        self._report_number = 0
        self._reports: dict[HostId, HostReport] = {}
        self._reports_changed = asyncio.Event()

    def decide(self) -> None:
        """Proposes what the coordinator decides now."""
        self._deciding = None
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
            # The replica steps down inside the call if its quorum was silent.
            return

    def _decide_soon(self) -> None:
        if self._deciding is None:
            loop = asyncio.get_running_loop()
            self._deciding = loop.call_soon(self.decide)

    def change_role(self, change: RoleChanged) -> None:
        """Takes the replica's new role."""
        self.rounds.reset()
        if change.role is not Role.LEADER:
            self.coordinator = None
            return
        now = self._clock()
        self.coordinator = Coordinator(now=now)
        self.sessions.begin(now, self.group.state.view.hosts.values())
        self.rounds.begin_round(now)

    def confirm(self, confirmed: ReadIndexConfirmed) -> None:
        """Answers the heartbeats that came before a round began."""
        self._begin_authority()
        self.rounds.confirm(confirmed.round_id)

    async def wait_confirmed(self) -> None:
        """Waits until a majority has confirmed that this replica leads.

        Raises:
            NotLeader: If it does not lead.
        """
        await self.rounds.wait(READ_TIMEOUT)

    async def collect_reports(self) -> list[HostReport]:
        """Returns the reports of all entries that answer in time."""
        self._report_number += 1
        self._reports = {}
        self._reports_changed.clear()
        self._send_all(ReportRequest(number=self._report_number))
        until = self._clock() + REPORT_TIMEOUT
        expected = set(self.group.state.view.hosts)
        while not expected <= set(self._reports):
            remaining = until - self._clock()
            if remaining <= 0:
                break
            try:
                await asyncio.wait_for(self._reports_changed.wait(), remaining)
            except TimeoutError:
                break
            self._reports_changed.clear()
        return list(self._reports.values())

    def take_applied(self, command: Command, delta: Delta | None) -> None:
        """Takes a committed command and sends its change to the entries."""
        if self.coordinator is not None:
            self.coordinator.committed(command)
            self._decide_soon()
        if delta is None:
            return
        packed = delta.pack()
        self._deltas.append((delta.base, delta.revision, packed))
        if self.group.is_leader:
            self._configure_limits()
        self._send_delta(delta.base, delta.revision, DeltaPush(delta=packed))

    def take_restored(self) -> None:
        """Takes that the state was replaced as a whole."""
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
                self._take_heartbeat(subscriber, message)
            case TokenRequest():
                self._take_ask(subscriber, message)
            case ReportResponse():
                self._take_report(message)
            case _:
                self.coordinator.receive(self._clock(), message)

    def _take_report(self, answer: ReportResponse) -> None:
        if answer.number != self._report_number:
            return
        self._reports[HostId(answer.host)] = HostReport.from_json(answer.report)
        self._reports_changed.set()

    def _take_heartbeat(self, subscriber: Subscriber, heartbeat: Heartbeat) -> None:
        now = self._clock()
        self.coordinator.receive(now, heartbeat)
        if subscriber.sent_revision is None:
            self._catch_up(subscriber, heartbeat.revision)
        self.rounds.run_after_round(partial(self._answer, subscriber, heartbeat, now))

    def _answer(
        self, subscriber: Subscriber, heartbeat: Heartbeat, received_at: float
    ) -> None:
        host = HostId(heartbeat.host)
        if not self.sessions.renew(received_at, host, heartbeat.boot):
            return
        tokens, refusals = self._grant(heartbeat)
        answer = HeartbeatResponse(
            sequence=heartbeat.sequence,
            term=self.group.replica.term,
            commit_revision=self.group.state.view.revision,
            tokens=tokens,
            retry_after=refusals,
        )
        self._send(subscriber, answer)

    def _take_ask(self, subscriber: Subscriber, ask: TokenRequest) -> None:
        # A new authority waits only for the tokens of registered hosts.
        if not self.sessions.is_live(HostId(ask.host), ask.boot):
            return
        tokens, refusals = self._grant(ask)
        answer = TokenResponse(
            sequence=ask.sequence,
            term=self.group.replica.term,
            tokens=tokens,
            retry_after=refusals,
        )
        self._send(subscriber, answer)

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
            if isinstance(result, Refusal):
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
        # Only now is every registration of older terms known to be applied.
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
                chunk_size=VIEW_PART,
            )
        else:
            for _, _, packed in missing:
                self._send(subscriber, DeltaPush(delta=packed))
        subscriber.sent_revision = view.revision
