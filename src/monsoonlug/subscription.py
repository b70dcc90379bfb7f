"""Client side of an entry's streams to control: heartbeats, the view and tokens."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from monsoonlug.crash_tracking import RequestVerdict
from monsoonlug.exceptions import DamagedFrame, RevisionGap, StaleRevision
from monsoonlug.fleet import FleetView, ViewPart, classify_change
from monsoonlug.fleet_messages import (
    FleetDelta,
    FleetHeartbeat,
    FleetHeartbeatResponse,
    FleetTokenRequest,
    FleetTokenResponse,
    FleetViewChunk,
    KeysAssigned,
    KeyStatusBatch,
    LiveHostList,
    RequestStateChanged,
    ServerCold,
    ServerLimited,
    covers_all_keys,
    read_range,
)
from monsoonlug.gatehost import EQUAL_WEIGHT, LiveHost
from monsoonlug.host_messages import HostWeights
from monsoonlug.ids import FailureDomain, Fingerprint, HostId, PoolId, ServerId
from monsoonlug.keyranges import NO_OWNER
from monsoonlug.links import Link
from monsoonlug.logs import get_logger
from monsoonlug.messages import Redirect
from monsoonlug.rates import LocalRateLimiter

ROLE = "entry"
HEARTBEAT_INTERVAL = 0.400  # seconds
LEADER_SEARCH_INTERVAL = 0.100  # seconds between heartbeats while no leader is known
LEADER_TIMEOUT = 0.900  # seconds without a response until all replicas get heartbeats
KEY_BLOCK_TIMEOUT = 1.5  # seconds, in case the message that lifts a block is lost
VIEW_BATCH_DELAY = 0.030  # seconds for which view changes are batched
MAX_UNANSWERED_HEARTBEATS = 64  # whose send times are kept
# Seconds between two heartbeats from which on this host counts as suspended meanwhile.
MIN_SUSPENSION = 1.0
RESUME_TIME = 0.300  # seconds within which a host that was suspended gets a response

logger = get_logger("subscription")


@dataclass(frozen=True, slots=True, kw_only=True)
class _KeyBlock:
    """A key range that its owner does not serve yet under an epoch."""

    epoch: int
    until: float


class KeyBlocks:
    """Key ranges in handover to a new owner, by pool, first and last key."""

    def __init__(self):
        self._blocks: dict[PoolId, dict[tuple[int, int], _KeyBlock]] = {}
        self._purge_at = 0.0

    def add(
        self,
        now: float,
        pool: PoolId,
        start: int,
        end: int,
        epoch: int,
        *,
        seconds: float = KEY_BLOCK_TIMEOUT,
    ) -> None:
        """Blocks a key range until `clear` or until the time-out."""
        if now >= self._purge_at:
            self._purge(now)
        block = _KeyBlock(epoch=epoch, until=now + seconds)
        self._blocks.setdefault(pool, {})[start, end] = block

    def clear(self, pool: PoolId, start: int, end: int, epoch: int) -> None:
        """Removes the blocks within a key range whose epoch is at most this one."""
        blocks = self._blocks.get(pool, {})
        exact = blocks.get((start, end))
        if exact is not None and exact.epoch == epoch:
            # Blocks of earlier epochs have no effect any more.
            del blocks[start, end]
            return
        for first, last in list(blocks):
            inside = start <= first and last <= end
            if inside and blocks[first, last].epoch <= epoch:
                del blocks[first, last]

    def is_blocked(self, now: float, pool: PoolId, key: int, epoch: int) -> bool:
        """Returns whether a key is blocked for an epoch of its assignment."""
        for (start, end), block in self._blocks.get(pool, {}).items():
            if start <= key <= end and block.epoch == epoch and now < block.until:
                return True
        return False

    def _purge(self, now: float) -> None:
        self._purge_at = now + KEY_BLOCK_TIMEOUT
        for blocks in self._blocks.values():
            for key_range in [k for k, block in blocks.items() if block.until <= now]:
                del blocks[key_range]


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryIdentity:
    """How an entry identifies itself to control.

    Attributes:
        stream: Address at which the entry accepts streams.
        boot: Identifies the process.
    """

    host: HostId
    failure_domain: FailureDomain
    stream: str
    boot: str


@dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatReports:
    """Rows of the fields of `FleetHeartbeat` with the same names."""

    loads: list = field(default_factory=list)
    servers: list = field(default_factory=list)
    limits: list = field(default_factory=list)
    outcomes: list = field(default_factory=list)
    notices: list = field(default_factory=list)


class Subscription:
    """Receives the view, the live hosts and the tokens of this host from control.

    Args:
        identity: Identity of this host.
        seeds: Stream addresses of the control replicas to contact first.
        clock: Monotonic clock, in seconds.
        random: Source of the reconnect jitter.
        on_view: Called with the view and the parts changed since the last call.
        on_hosts: Called with the live hosts after a change.
        on_cold: Called with a server and for how many more seconds it is cold.
        on_limit: Called with a server, its request limit (0 for none) and the number
            of hosts that send to it.
        on_verdict: Called with a change of a request's state.
        on_tokens: Called after each response with tokens.
        collect_reports: Returns the reports for the next `FleetHeartbeat`.
    """

    def __init__(
        self,
        *,
        identity: EntryIdentity,
        seeds: Iterable[str],
        clock: Callable[[], float],
        random: Random,
        on_view: Callable[[FleetView, set[ViewPart]], None],
        on_hosts: Callable[[list[LiveHost]], None],
        on_cold: Callable[[ServerId, float], None],
        on_limit: Callable[[ServerId, float, int], None],
        on_verdict: Callable[[RequestVerdict], None],
        on_tokens: Callable[[], None],
        collect_reports: Callable[[], HeartbeatReports],
    ):
        self.view = FleetView()
        self.rate_limiter = LocalRateLimiter(now=clock(), random=random)
        self.blocks = KeyBlocks()
        self.is_leaving = False
        # Times at which the view was last known to be current: the view that `on_view`
        # was called with, and the one that may have further changes.
        self.confirmed_at = float("-inf")
        self._applied_at = float("-inf")
        self._identity = identity
        self._seeds = tuple(seeds)
        self._clock = clock
        self._random = random
        self._on_view = on_view
        self._on_hosts = on_hosts
        self._on_cold = on_cold
        self._on_limit = on_limit
        self._on_verdict = on_verdict
        self._on_tokens = on_tokens
        self._collect_reports = collect_reports
        self._sequence = 0
        self._heartbeat_at = clock()
        self._resuming_until = float("-inf")
        self._confirmed = asyncio.Event()
        self._sent_at: dict[int, float] = {}
        self._leader = ""
        self._term = 0
        self._leader_session = 0
        self._last_response_at = clock()
        self._view_chunks: dict[str, list[bytes]] = {}
        self._host_weights: dict[str, HostWeights] = {}
        self._links: dict[str, Link] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._members: tuple[str, ...] = ()
        self._heartbeat_due = asyncio.Event()
        self._changed_parts: set[ViewPart] = set()

    def get_view_age(self) -> float:
        """Returns the seconds since the view was last known to be current.

        This is the view that `on_view` was called with, which may lack the latest
        changes for `VIEW_BATCH_DELAY`.
        """
        return self._clock() - self.confirmed_at

    @property
    def is_resuming(self) -> bool:
        """Whether this host was suspended until a moment ago.

        Its view is old then, but a response of control may be due.
        """
        now = self._clock()
        if now - self._heartbeat_at >= MIN_SUSPENSION:
            return True
        return now < self._resuming_until

    async def wait_until_confirmed(self) -> None:
        """Waits until the view is known to be current, for `RESUME_TIME` at most."""
        if self._clock() - self._heartbeat_at >= MIN_SUSPENSION:
            # The timers of the event loop do not count the time in suspension.
            self.send_heartbeat_now()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._confirmed.wait(), RESUME_TIME)

    @property
    def leader_session(self) -> int:
        """Number that rises with each new leader or term, and each new contact."""
        return self._leader_session

    def send_to_leader(self, message: object) -> bool:
        """Sends a message to the leader; returns False if that is not possible now."""
        link = self._links.get(self._leader)
        return link is not None and link.send(message)

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replaces the seeds, after a change of the settings."""
        self._seeds = tuple(seeds)
        self._update_links()

    def send_heartbeat_now(self) -> None:
        """Sends a heartbeat now instead of at the next interval."""
        self._heartbeat_due.set()

    def request_tokens(self) -> None:
        """Requests the tokens that waiting requests need, if any."""
        link = self._links.get(self._leader)
        if link is None:
            return
        wanted = self.rate_limiter.build_urgent_request(self._clock())
        if not wanted:
            return
        self._sequence += 1
        link.send(
            FleetTokenRequest(
                sequence=self._sequence, host=self._identity.host, wanted=wanted
            )
        )

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        self._update_links()
        try:
            while True:
                try:
                    self._send_heartbeat()
                except Exception:
                    logger.exception("A heartbeat was not sent.")
                pause = HEARTBEAT_INTERVAL if self._leader else LEADER_SEARCH_INTERVAL
                self._heartbeat_due.clear()
                try:
                    await asyncio.wait_for(self._heartbeat_due.wait(), pause)
                except TimeoutError:
                    continue
        finally:
            for task in self._tasks.values():
                task.cancel()

    def _update_links(self) -> None:
        addresses = set(self._members) | set(self._seeds)
        for address in set(self._links) - addresses:
            del self._links[address]
            self._tasks.pop(address).cancel()
            if self._leader == address:
                self._leader = ""
        for address in sorted(addresses - set(self._links)):
            link = Link(
                address=address,
                role=ROLE,
                sender=self._identity.host,
                on_message=partial(self._receive, address),
                random=self._random,
                on_close=partial(self._close, address),
            )
            self._links[address] = link
            self._tasks[address] = asyncio.create_task(link.run())

    def _send_heartbeat(self) -> None:
        now = self._clock()
        if now - self._heartbeat_at >= MIN_SUSPENSION:
            self._resuming_until = now + RESUME_TIME
        self._heartbeat_at = now
        if self._leader and now - self._last_response_at > LEADER_TIMEOUT:
            logger.warning(
                "Control leader {} is silent for {:.2f} s; the view has revision {} "
                "and is {:.2f} s old.",
                self._leader,
                now - self._last_response_at,
                self.view.revision,
                self.get_view_age(),
            )
            self._leader = ""
        self._sequence += 1
        reports = self._collect_reports() if self._leader else HeartbeatReports()
        identity = self._identity
        heartbeat = FleetHeartbeat(
            sequence=self._sequence,
            host=identity.host,
            failure_domain=identity.failure_domain,
            stream=identity.stream,
            boot=identity.boot,
            revision=self.view.revision if self.view.revision else -1,
            leaving=self.is_leaving,
            loads=reports.loads,
            servers=reports.servers,
            wanted=self.rate_limiter.build_prefetch_request(now)
            if self._leader
            else {},
            limits=reports.limits,
            outcomes=reports.outcomes,
            notices=reports.notices,
        )
        self._sent_at[self._sequence] = now
        while len(self._sent_at) > MAX_UNANSWERED_HEARTBEATS:
            del self._sent_at[next(iter(self._sent_at))]
        for address, link in self._links.items():
            if self._leader in ("", address):
                link.send(heartbeat)

    def _close(self, address: str) -> None:
        self._view_chunks.pop(address, None)
        self._host_weights.pop(address, None)
        if self._leader == address:
            logger.warning(
                "Lost the stream to control leader {}; contacting all replicas.",
                address,
            )
            self._leader = ""
            self._heartbeat_due.set()

    def _receive(self, address: str, message: object) -> None:
        match message:
            case FleetHeartbeatResponse():
                self._handle_response(address, message)
            case FleetDelta():
                self._handle_delta(address, message)
            case FleetViewChunk():
                self._handle_view_chunk(address, message)
            case FleetTokenResponse():
                self._handle_token_response(message)
            case KeyStatusBatch():
                self._handle_key_status(message)
            case HostWeights():
                self._host_weights[address] = message
            case LiveHostList():
                self._handle_live_hosts(address, message)
            case ServerCold():
                self._on_cold(ServerId(message.server), message.seconds)
            case ServerLimited():
                self._on_limit(ServerId(message.server), message.limit, message.senders)
            case RequestStateChanged():
                self._on_verdict(
                    RequestVerdict(
                        fingerprint=Fingerprint(message.fingerprint),
                        state=message.state,
                        seconds=message.seconds,
                    )
                )
            case Redirect():
                self._handle_redirect(address, message)

    def _handle_redirect(self, address: str, redirect: Redirect) -> None:
        if self._leader == address:
            self._leader = ""
            self._heartbeat_due.set()
        if redirect.leader and redirect.leader not in self._links:
            # The leader may be missing from the seeds and the known members.
            self._members = (*self._members, redirect.leader)
            self._update_links()

    def _handle_response(self, address: str, response: FleetHeartbeatResponse) -> None:
        if response.term < self._term:
            return
        now = self._clock()
        if self._leader != address:
            logger.info(
                "Control leader is {} in term {}, revision {}.",
                address,
                response.term,
                response.revision,
            )
        if self._leader != address or self._term != response.term:
            self._leader_session += 1
        self._leader = address
        self._term = response.term
        self._last_response_at = now
        sent_at = self._sent_at.pop(response.sequence, None)
        self.rate_limiter.record_response(now, sent_at)
        if response.tokens:
            self.rate_limiter.apply_grant(
                now,
                response.tokens,
                response.retry_after,
                response.shares,
                urgent=False,
            )
            self._on_tokens()
        if sent_at is not None and response.revision <= self.view.revision:
            self._applied_at = max(self._applied_at, sent_at)
            if not self._changed_parts:
                self._confirm()
        if tuple(response.members) != self._members:
            self._members = tuple(response.members)
            logger.info("Control replicas are {}.", ", ".join(self._members))
            self._update_links()

    def _handle_delta(self, address: str, delta: FleetDelta) -> None:
        try:
            changes = self.view.apply(delta)
        except StaleRevision:
            return
        except (RevisionGap, DamagedFrame) as error:
            logger.warning(
                "Closed the stream to {} after an invalid view delta: {}.",
                address,
                error,
            )
            self._links[address].close()
            return
        now = self._clock()
        for change in changes:
            if not isinstance(change, KeysAssigned) or covers_all_keys(change):
                continue
            for packed in change.rows:
                row = read_range(packed)
                if row.owner != NO_OWNER:
                    self.blocks.add(now, change.pool, row.start, row.end, row.epoch)
        self._schedule_view_update({classify_change(change) for change in changes})

    def _handle_view_chunk(self, address: str, chunk: FleetViewChunk) -> None:
        chunks = self._view_chunks.setdefault(address, [])
        chunks.append(chunk.data)
        if not chunk.last:
            return
        del self._view_chunks[address]
        try:
            view = FleetView.unpack(b"".join(chunks), skip_unknown=True)
        except DamagedFrame as error:
            logger.warning(
                "Closed the stream to {} after an invalid view: {}.", address, error
            )
            self._links[address].close()
            return
        if view.revision < self.view.revision:
            return
        self.view = view
        self._schedule_view_update(set(ViewPart))

    def _handle_token_response(self, response: FleetTokenResponse) -> None:
        if response.term < self._term:
            return
        self.rate_limiter.apply_grant(
            self._clock(),
            response.tokens,
            response.retry_after,
            response.shares,
            urgent=True,
        )
        self._on_tokens()

    def _handle_key_status(self, batch: KeyStatusBatch) -> None:
        now = self._clock()
        for pool, start, end, epoch, ready in batch.rows:
            if ready:
                self.blocks.clear(PoolId(pool), start, end, epoch)
            else:
                self.blocks.add(now, PoolId(pool), start, end, epoch)
        self._schedule_view_update({ViewPart.KEYS})

    def _handle_live_hosts(self, address: str, listed: LiveHostList) -> None:
        weighted = self._host_weights.pop(address, None)
        if listed.term < self._term:
            return
        weights = {}
        if weighted is not None and weighted.term == listed.term:
            weights = dict(weighted.rows)
        hosts = []
        for host, domain, stream in listed.rows:
            hosts.append(
                LiveHost(
                    host=HostId(host),
                    failure_domain=FailureDomain(domain),
                    stream=stream,
                    weight=weights.get(host, EQUAL_WEIGHT),
                )
            )
        self.rate_limiter.set_host_count(len(hosts))
        self._on_hosts(hosts)

    def _schedule_view_update(self, parts: set[ViewPart]) -> None:
        """Schedules `on_view`, batching changes as many servers may change in a row.

        Changes of keys alone are passed on at once, as requests may be waiting for the
        owner of a key. They cost little, as key ranges are read from the view itself.
        """
        if parts == {ViewPart.KEYS}:
            self._on_view(self.view, parts)
            return
        if not self._changed_parts:
            asyncio.get_running_loop().call_later(VIEW_BATCH_DELAY, self._deliver_view)
        self._changed_parts |= parts

    def _deliver_view(self) -> None:
        changed, self._changed_parts = self._changed_parts, set()
        self._on_view(self.view, changed)
        self._confirm()

    def _confirm(self) -> None:
        if self._applied_at == self.confirmed_at:
            return
        self.confirmed_at = self._applied_at
        self._confirmed.set()
        self._confirmed = asyncio.Event()
