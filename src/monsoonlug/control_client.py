"""Client side of an entry's streams to control: heartbeats, the view and tokens."""

import asyncio
from collections.abc import Callable
from functools import partial
from random import Random

from monsoonlug.deltas import Delta
from monsoonlug.exceptions import (
    DamagedFrame,
    DigestMismatch,
    RevisionGap,
    StaleRevision,
)
from monsoonlug.ids import Term, WorkspaceId
from monsoonlug.links import Link
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
from monsoonlug.quota import pack_demands, pack_holdings
from monsoonlug.sessions import HEARTBEAT_INTERVAL, SessionLease
from monsoonlug.settings import EntrySettings
from monsoonlug.token_cache import TokenCache
from monsoonlug.view import View

ROLE = "entry"
LEADER_TIMEOUT = 0.150  # seconds without a response; then all replicas get heartbeats
LEADER_SEARCH_INTERVAL = 0.025  # seconds between heartbeats while no leader is known

logger = get_logger("uplink")


class ControlClient:
    """Maintains the session, the view and the tokens of this host.

    Args:
        settings: Settings of this host.
        boot: Identifies this process.
        clock: Monotonic clock, in seconds.
        random: Source of the jitter of reconnections.
        on_view: Called with the view after one or more changes.
        on_tokens: Called after each response that may contain tokens.
        on_report_request: Builds the response to the leader's request for a report.
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
        on_report_request: Callable[[ReportRequest], ReportResponse],
    ):
        self.view = View()
        self.lease = SessionLease()
        self.token_cache = TokenCache(now=clock())
        self.is_leaving = False
        self.hot_slices: list[list] = []
        self.hot_keys: list[list] = []
        self._settings = settings
        self._boot = boot
        self._clock = clock
        self._on_view = on_view
        self._on_tokens = on_tokens
        self._on_report_request = on_report_request
        self._sequence = 0
        self._leader = ""
        self._last_response_at = clock()
        self._heartbeat_due = asyncio.Event()
        self._delivery_scheduled = False
        self._view_chunks: dict[str, list[bytes]] = {}
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

    def send_to_leader(self, message: object) -> None:
        """Sends a message to the leader, if one is known; it may get lost."""
        link = self._links.get(self._leader)
        if link is not None:
            link.send(message)

    def request_tokens(self) -> None:
        """Requests tokens if waiting requests or the expected demand need them now."""
        now = self._clock()
        if not self._leader or not self.token_cache.is_request_due(now):
            return
        self._sequence += 1
        report = self.token_cache.build_report(now, self._sequence)
        message = TokenRequest(
            sequence=self._sequence,
            host=self._settings.host,
            boot=self._boot,
            closed=report.closed,
            dropped_term=report.dropped_term,
            holdings=pack_holdings(report.holdings),
            wanted=pack_demands(report.wanted),
        )
        self.send_to_leader(message)

    def send_heartbeat_now(self) -> None:
        """Sends a heartbeat now instead of at the next interval."""
        self._heartbeat_due.set()

    async def _run(self) -> None:
        while True:
            self._send_heartbeat()
            pause = HEARTBEAT_INTERVAL if self._leader else LEADER_SEARCH_INTERVAL
            self._heartbeat_due.clear()
            try:
                await asyncio.wait_for(self._heartbeat_due.wait(), pause)
            except TimeoutError:
                continue

    def _send_heartbeat(self) -> None:
        now = self._clock()
        if now - self._last_response_at > LEADER_TIMEOUT:
            self._leader = ""
        self._sequence += 1
        report = self.token_cache.build_report(now, self._sequence)
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
        self._view_chunks.pop(replica, None)
        if self._leader == replica:
            self._leader = ""
            self._heartbeat_due.set()

    def _receive(self, replica: str, message: object) -> None:
        match message:
            case HeartbeatResponse():
                self._receive_heartbeat_response(replica, message)
            case TokenResponse():
                self._receive_tokens(message)
            case DeltaPush():
                self._receive_delta(replica, message)
            case ViewPush():
                self._receive_view(replica, message)
            case ReportRequest():
                self._links[replica].send(self._on_report_request(message))
            case Redirect():
                if self._leader == replica:
                    self._leader = ""
                    self._heartbeat_due.set()

    def _receive_heartbeat_response(
        self, replica: str, response: HeartbeatResponse
    ) -> None:
        if response.term < self.token_cache.term:
            return
        if self._leader != replica:
            logger.info("Control leader is {} in term {}.", replica, response.term)
        self._leader = replica
        self._last_response_at = self._clock()
        self._receive_tokens(response)
        self.lease.record_response(response.sequence, response.commit_revision)
        self._extend_lease()

    def _receive_tokens(self, response: HeartbeatResponse | TokenResponse) -> None:
        self.token_cache.receive(
            self._clock(),
            response.sequence,
            Term(response.term),
            {WorkspaceId(name): count for name, count in response.tokens.items()},
            {WorkspaceId(name): delay for name, delay in response.retry_after.items()},
        )
        self._on_tokens()

    def _receive_delta(self, replica: str, push: DeltaPush) -> None:
        try:
            self.view.apply(Delta.unpack(push.delta))
        except StaleRevision:
            return
        except (RevisionGap, DigestMismatch, DamagedFrame) as error:
            logger.warning(
                "Closed the stream to {} after an invalid view delta: {}.",
                replica,
                error,
            )
            self._links[replica].close()
            return
        self._schedule_delivery()

    def _receive_view(self, replica: str, push: ViewPush) -> None:
        chunks = self._view_chunks.setdefault(replica, [])
        chunks.append(push.data)
        if not push.last:
            return
        del self._view_chunks[replica]
        try:
            self.view = View.unpack(b"".join(chunks), current=self.view)
        except StaleRevision:
            return
        except (DigestMismatch, DamagedFrame) as error:
            logger.warning(
                "Closed the stream to {} after an invalid view: {}.", replica, error
            )
            self._links[replica].close()
            return
        self._schedule_delivery()

    def _schedule_delivery(self) -> None:
        if not self._delivery_scheduled:
            self._delivery_scheduled = True
            asyncio.get_running_loop().call_soon(self._deliver_view)

    def _deliver_view(self) -> None:
        """Delivers the view after one or more changes, and then extends the lease.

        The lease is extended only now, as the gates must apply the view that it
        confirms before they use it.
        """
        self._delivery_scheduled = False
        self._on_view(self.view)
        self.lease.record_applied(self.view.revision)
        self._extend_lease()

    def _extend_lease(self) -> None:
        self.token_cache.set_lease_end(self.lease.valid_until())
