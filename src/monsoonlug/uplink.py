"""An entry's streams to control: heartbeats, tokens and the view."""

import asyncio
from collections.abc import Callable
from functools import partial
from random import Random

from monsoonlug.deltas import Delta
from monsoonlug.exceptions import (
    DamagedFrame,
    DigestMismatch,
    GapError,
    StaleRevision,
)
from monsoonlug.ids import Term, WorkspaceId
from monsoonlug.links import Link
from monsoonlug.logs import get_logger
from monsoonlug.messages import (
    DeltaPush,
    Heartbeat,
    HeartbeatAnswer,
    Redirect,
    ReportAnswer,
    ReportAsk,
    TokenAnswer,
    TokenAsk,
    ViewPush,
)
from monsoonlug.purse import TokenPurse
from monsoonlug.quota import pack_demands, pack_holdings
from monsoonlug.sessions import HEARTBEAT_INTERVAL, SessionLease
from monsoonlug.settings import EntrySettings
from monsoonlug.view import View

ROLE = "entry"
LEADER_SILENCE = 0.150  # seconds without an answer until all replicas are asked
SEARCH_INTERVAL = 0.025  # seconds between two heartbeats while no leader is known

logger = get_logger("uplink")


class Uplink:
    """Keeps the session, the tokens and the view of this host.

    Args:
        settings: Settings of this host.
        boot: Identifies this process.
        clock: Monotonic clock, in seconds.
        random: Source of the jitter of connections.
        on_view: Called with the view after each change.
        on_tokens: Called after each answer that may carry tokens.
        on_ask: Answers a request of the leader for a report.
    """

    def __init__(
        self,
        *,
        settings: EntrySettings,
        boot: str,
        clock: Callable[[], float],
        random: Random,
        on_view: Callable[[View], None],
        on_tokens: Callable[[], None],
        on_ask: Callable[[ReportAsk], ReportAnswer],
    ):
        self.view = View()
        self.lease = SessionLease()
        self.purse = TokenPurse(now=clock())
        self.is_leaving = False
        self.hot_slices: list[list] = []
        self.hot_keys: list[list] = []
        self._settings = settings
        self._boot = boot
        self._clock = clock
        self._on_view = on_view
        self._on_tokens = on_tokens
        self._on_ask = on_ask
        self._sequence = 0
        self._leader = ""
        self._answered_at = clock()
        self._wake = asyncio.Event()
        self._is_changed = False
        self._parts: dict[str, list[bytes]] = {}
        self._links: dict[str, Link] = {}
        for member in settings.control:
            self._links[member.replica] = Link(
                address=member.stream,
                role=ROLE,
                sender=settings.host,
                on_message=partial(self._receive, member.replica),
                random=random,
                on_close=partial(self._close, member.replica),
            )

    def list_tasks(self) -> list:
        """Returns the coroutines to run until this host stops."""
        return [self._run(), *(link.run() for link in self._links.values())]

    def report(self, message: object) -> None:
        """Sends a message to the leader, if one is known; it may be lost."""
        link = self._links.get(self._leader)
        if link is not None:
            link.send(message)

    def ask(self) -> None:
        """Asks for tokens if requests wait for them."""
        now = self._clock()
        if not self._leader or not self.purse.ask_due(now):
            return
        self._sequence += 1
        report = self.purse.report(now, self._sequence)
        ask = TokenAsk(
            sequence=self._sequence,
            host=self._settings.host,
            boot=self._boot,
            closed=report.closed,
            dropped_term=report.dropped_term,
            holdings=pack_holdings(report.holdings),
            wanted=pack_demands(report.wanted),
        )
        self.report(ask)

    def beat(self) -> None:
        """Sends a heartbeat now instead of at the next interval."""
        self._wake.set()

    async def _run(self) -> None:
        while True:
            self._send_heartbeat()
            pause = HEARTBEAT_INTERVAL if self._leader else SEARCH_INTERVAL
            self._wake.clear()
            try:
                await asyncio.wait_for(self._wake.wait(), pause)
            except TimeoutError:
                continue

    def _send_heartbeat(self) -> None:
        now = self._clock()
        if now - self._answered_at > LEADER_SILENCE:
            self._leader = ""
        self._sequence += 1
        report = self.purse.report(now, self._sequence)
        heartbeat = Heartbeat(
            sequence=self._sequence,
            host=self._settings.host,
            failure_domain=self._settings.failure_domain,
            stream=self._settings.stream,
            announce=self._settings.announce,
            boot=self._boot,
            revision=0 if self.view.damaged else self.view.revision,
            closed=report.closed,
            dropped_term=report.dropped_term,
            holdings=pack_holdings(report.holdings),
            wanted=pack_demands(report.wanted),
            hot_slices=self.hot_slices,
            hot_keys=self.hot_keys,
            leaving=self.is_leaving,
        )
        self.lease.record_sent(now, self._sequence)
        self.hot_slices, self.hot_keys = [], []
        for replica, link in self._links.items():
            if self._leader in ("", replica):
                link.send(heartbeat)

    def _close(self, replica: str) -> None:
        self._parts.pop(replica, None)
        if self._leader == replica:
            self._leader = ""
            self._wake.set()

    def _receive(self, replica: str, message: object) -> None:
        match message:
            case HeartbeatAnswer():
                self._take_answer(replica, message)
            case TokenAnswer():
                self._take_tokens(message)
            case DeltaPush():
                self._take_delta(replica, message)
            case ViewPush():
                self._take_view(replica, message)
            case ReportAsk():
                self._links[replica].send(self._on_ask(message))
            case Redirect():
                if self._leader == replica:
                    self._leader = ""
                    self._wake.set()

    def _take_answer(self, replica: str, answer: HeartbeatAnswer) -> None:
        if answer.term < self.purse.term:
            return
        if self._leader != replica:
            logger.info("Control leader is {} in term {}.", replica, answer.term)
        self._leader = replica
        self._answered_at = self._clock()
        self._take_tokens(answer)
        self.lease.record_answer(answer.sequence, answer.commit_revision)
        self._extend()

    def _take_tokens(self, answer: HeartbeatAnswer | TokenAnswer) -> None:
        self.purse.receive(
            self._clock(),
            answer.sequence,
            Term(answer.term),
            {WorkspaceId(name): count for name, count in answer.tokens.items()},
            {WorkspaceId(name): pause for name, pause in answer.refusals.items()},
        )
        self._on_tokens()

    def _take_delta(self, replica: str, push: DeltaPush) -> None:
        try:
            self.view.apply(Delta.unpack(push.delta))
        except StaleRevision:
            return
        except (GapError, DigestMismatch, DamagedFrame) as error:
            logger.warning("Change of the view from {} refused: {}.", replica, error)
            self._links[replica].close()
            return
        self._change_view()

    def _take_view(self, replica: str, push: ViewPush) -> None:
        parts = self._parts.setdefault(replica, [])
        parts.append(push.data)
        if not push.last:
            return
        del self._parts[replica]
        try:
            self.view = View.unpack(b"".join(parts), current=self.view)
        except StaleRevision:
            return
        except (DigestMismatch, DamagedFrame) as error:
            logger.warning("View from {} refused: {}.", replica, error)
            self._links[replica].close()
            return
        self._change_view()

    def _change_view(self) -> None:
        if not self._is_changed:
            self._is_changed = True
            asyncio.get_running_loop().call_soon(self._pass_view_on)

    def _pass_view_on(self) -> None:
        """Passes on what may be many changes at once, and then extends the lease.

        The lease waits for it, as the gates must act on the view that it stands for.
        """
        self._is_changed = False
        self._on_view(self.view)
        self.lease.record_applied(self.view.revision)
        self._extend()

    def _extend(self) -> None:
        self.purse.extend(self.lease.valid_until())
