"""An entry's streams to control: its copy of the view, and tokens."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from random import Random

from monsoonlug.exceptions import DamagedFrame, GapError, StaleRevision
from monsoonlug.fleet import FleetView, ViewPart, find_part
from monsoonlug.fleet_messages import (
    EntryAnswer,
    EntryBeat,
    FleetDelta,
    HostsPush,
    KeysAssigned,
    KeyStatusPush,
    RateAsk,
    RateGrant,
    ServerCold,
    StatePush,
    covers_all_keys,
    read_range,
)
from monsoonlug.gatehost import LiveHost
from monsoonlug.ids import FailureDomain, HostId, PoolId, ServerId
from monsoonlug.keyranges import NO_OWNER
from monsoonlug.links import Link
from monsoonlug.logs import get_logger
from monsoonlug.messages import Redirect
from monsoonlug.rates import LocalRateLimiter

ROLE = "entry"
BEAT_INTERVAL = 0.400  # seconds
SEARCH_INTERVAL = 0.100  # seconds between two beats while no leader is known
LEADER_SILENCE = 0.900  # seconds without an answer until all replicas are asked
PENDING_TIME = 1.5  # seconds after which keys count as served without word of it
VIEW_DELAY = 0.030  # seconds for which changes of the view are collected
MAX_UNANSWERED = 64  # beats whose send times are kept

logger = get_logger("subscription")


@dataclass(frozen=True, slots=True, kw_only=True)
class _Block:
    """Keys whose owner does not serve them now."""

    start: int
    end: int
    epoch: int
    until: float


class KeyBlocks:
    """Keys that are between two owners, by pool."""

    def __init__(self):
        self._blocks: dict[PoolId, list[_Block]] = {}

    def add(
        self,
        now: float,
        pool: PoolId,
        start: int,
        end: int,
        epoch: int,
        *,
        seconds: float = PENDING_TIME,
    ) -> None:
        """Blocks keys until word comes that their owner serves them."""
        block = _Block(start=start, end=end, epoch=epoch, until=now + seconds)
        kept = [item for item in self._blocks.get(pool, ()) if item.until > now]
        self._blocks[pool] = [*kept, block]

    def clear(self, pool: PoolId, start: int, end: int, epoch: int) -> None:
        """Ends the blocks of keys up to an epoch."""
        kept = []
        for block in self._blocks.get(pool, ()):
            inside = start <= block.start and block.end <= end
            if not inside or block.epoch > epoch:
                kept.append(block)
        self._blocks[pool] = kept

    def find(self, now: float, pool: PoolId, key: int, epoch: int) -> bool:
        """Returns whether a key is blocked under an epoch."""
        for block in self._blocks.get(pool, ()):
            if block.start <= key <= block.end and block.epoch == epoch:
                if now < block.until:
                    return True
        return False


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryIdentity:
    """Who an entry is to control.

    Attributes:
        stream: Address of its streams.
        boot: Identifies the process.
    """

    host: HostId
    failure_domain: FailureDomain
    stream: str
    boot: str


class Subscription:
    """Keeps the view, the live hosts and the tokens of this host.

    Args:
        identity: This host.
        seeds: Stream addresses of control replicas to begin with.
        clock: Steady clock, in seconds.
        random: Source of the jitter of connections.
        on_view: Called with the view, and the parts that have changed since.
        on_hosts: Called with the live hosts after a change.
        on_cold: Called with a server and the seconds for which it is cold.
        on_tokens: Called after each answer with tokens.
        collect: Returns the rows `loads` and `servers` of the next beat.
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
        on_tokens: Callable[[], None],
        collect: Callable[[], tuple[list, list]],
    ):
        self.view = FleetView()
        self.wallet = LocalRateLimiter(now=clock(), random=random)
        self.blocks = KeyBlocks()
        self.is_leaving = False
        self.confirmed_at = float("-inf")
        self._identity = identity
        self._seeds = tuple(seeds)
        self._clock = clock
        self._random = random
        self._on_view = on_view
        self._on_hosts = on_hosts
        self._on_cold = on_cold
        self._on_tokens = on_tokens
        self._collect = collect
        self._sequence = 0
        self._sent: dict[int, float] = {}
        self._leader = ""
        self._term = 0
        self._answered_at = clock()
        self._parts: dict[str, list[bytes]] = {}
        self._links: dict[str, Link] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._members: tuple[str, ...] = ()
        self._wake = asyncio.Event()
        self._changed: set[ViewPart] = set()

    def find_age(self) -> float:
        """Returns how many seconds ago the view was surely in force."""
        return self._clock() - self.confirmed_at

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Takes the seeds of changed settings."""
        self._seeds = tuple(seeds)
        self._fit_links()

    def beat(self) -> None:
        """Sends a beat now instead of at the next interval."""
        self._wake.set()

    def ask(self) -> None:
        """Asks for tokens if some are wanted."""
        link = self._links.get(self._leader)
        if link is None:
            return
        wanted = self.wallet.build_urgent_request(self._clock())
        if not wanted:
            return
        self._sequence += 1
        link.send(
            RateAsk(sequence=self._sequence, host=self._identity.host, wanted=wanted)
        )

    async def run(self) -> None:
        """Sends beats until cancelled."""
        self._fit_links()
        try:
            while True:
                self._send_beat()
                pause = BEAT_INTERVAL if self._leader else SEARCH_INTERVAL
                self._wake.clear()
                try:
                    await asyncio.wait_for(self._wake.wait(), pause)
                except TimeoutError:
                    continue
        finally:
            for task in self._tasks.values():
                task.cancel()

    def _fit_links(self) -> None:
        wanted = set(self._members) | set(self._seeds)
        for address in set(self._links) - wanted:
            del self._links[address]
            self._tasks.pop(address).cancel()
            if self._leader == address:
                self._leader = ""
        for address in sorted(wanted - set(self._links)):
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

    def _send_beat(self) -> None:
        now = self._clock()
        if self._leader and now - self._answered_at > LEADER_SILENCE:
            logger.warning(
                "Control leader {} is silent for {:.2f} s; the view has revision {} "
                "and is {:.2f} s old.",
                self._leader,
                now - self._answered_at,
                self.view.revision,
                self.find_age(),
            )
            self._leader = ""
        self._sequence += 1
        loads, servers = self._collect() if self._leader else ([], [])
        identity = self._identity
        beat = EntryBeat(
            sequence=self._sequence,
            host=identity.host,
            failure_domain=identity.failure_domain,
            stream=identity.stream,
            boot=identity.boot,
            revision=self.view.revision if self.view.revision else -1,
            leaving=self.is_leaving,
            loads=loads,
            servers=servers,
            wanted=self.wallet.build_prefetch_request(now) if self._leader else {},
        )
        self._sent[self._sequence] = now
        while len(self._sent) > MAX_UNANSWERED:
            del self._sent[next(iter(self._sent))]
        for address, link in self._links.items():
            if self._leader in ("", address):
                link.send(beat)

    def _close(self, address: str) -> None:
        self._parts.pop(address, None)
        if self._leader == address:
            logger.warning("Lost the stream to control leader {}.", address)
            self._leader = ""
            self._wake.set()

    def _receive(self, address: str, message: object) -> None:
        match message:
            case EntryAnswer():
                self._take_answer(address, message)
            case FleetDelta():
                self._take_delta(address, message)
            case StatePush():
                self._take_view(address, message)
            case RateGrant():
                self._take_grant(message)
            case KeyStatusPush():
                self._take_status(message)
            case HostsPush():
                self._take_hosts(message)
            case ServerCold():
                self._on_cold(ServerId(message.server), message.seconds)
            case Redirect():
                self._take_redirect(address, message)

    def _take_redirect(self, address: str, redirect: Redirect) -> None:
        if self._leader == address:
            self._leader = ""
            self._wake.set()
        if redirect.leader and redirect.leader not in self._links:
            # The leader need not be among the seeds.
            self._members = (*self._members, redirect.leader)
            self._fit_links()

    def _take_answer(self, address: str, answer: EntryAnswer) -> None:
        if answer.term < self._term:
            return
        now = self._clock()
        if self._leader != address:
            logger.info(
                "Control leader is {} in term {}, revision {}.",
                address,
                answer.term,
                answer.revision,
            )
        self._leader = address
        self._term = answer.term
        self._answered_at = now
        self.wallet.record_response(now)
        if answer.tokens:
            self.wallet.apply_grant(
                now, answer.tokens, answer.pauses, answer.shares, urgent=False
            )
            self._on_tokens()
        sent_at = self._sent.pop(answer.sequence, None)
        if sent_at is not None and answer.revision <= self.view.revision:
            self.confirmed_at = max(self.confirmed_at, sent_at)
        if tuple(answer.members) != self._members:
            self._members = tuple(answer.members)
            logger.info("Control replicas are {}.", ", ".join(self._members))
            self._fit_links()

    def _take_delta(self, address: str, delta: FleetDelta) -> None:
        try:
            changes = self.view.apply(delta)
        except StaleRevision:
            return
        except (GapError, DamagedFrame) as error:
            logger.warning("Change of the view from {} refused: {}.", address, error)
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
        self._note_changed({find_part(change) for change in changes})

    def _take_view(self, address: str, push: StatePush) -> None:
        parts = self._parts.setdefault(address, [])
        parts.append(push.data)
        if not push.last:
            return
        del self._parts[address]
        try:
            view = FleetView.unpack(b"".join(parts))
        except DamagedFrame as error:
            logger.warning("View from {} refused: {}.", address, error)
            self._links[address].close()
            return
        if view.revision < self.view.revision:
            return
        self.view = view
        self._note_changed(set(ViewPart))

    def _take_grant(self, grant: RateGrant) -> None:
        if grant.term < self._term:
            return
        self.wallet.apply_grant(
            self._clock(), grant.tokens, grant.pauses, grant.shares, urgent=True
        )
        self._on_tokens()

    def _take_status(self, push: KeyStatusPush) -> None:
        now = self._clock()
        for pool, start, end, epoch, ready in push.rows:
            if ready:
                self.blocks.clear(PoolId(pool), start, end, epoch)
            else:
                self.blocks.add(now, PoolId(pool), start, end, epoch)
        self._note_changed({ViewPart.KEYS})

    def _take_hosts(self, push: HostsPush) -> None:
        if push.term < self._term:
            return
        hosts = []
        for host, domain, stream in push.rows:
            hosts.append(
                LiveHost(
                    host=HostId(host),
                    failure_domain=FailureDomain(domain),
                    stream=stream,
                )
            )
        self.wallet.set_host_count(len(hosts))
        self._on_hosts(hosts)

    def _note_changed(self, parts: set[ViewPart]) -> None:
        """Passes the view on soon, as many servers may change one after the other.

        Ranges of keys are read in the view itself, and requests that wait for the owner
        of a key go on at once.
        """
        if parts == {ViewPart.KEYS}:
            self._on_view(self.view, parts)
            return
        if not self._changed:
            asyncio.get_running_loop().call_later(VIEW_DELAY, self._pass_view_on)
        self._changed |= parts

    def _pass_view_on(self) -> None:
        changed, self._changed = self._changed, set()
        self._on_view(self.view, changed)
