"""Rate and burst of a workspace, summed over all hosts, without a stop of service.

The control leader keeps one token bucket for each workspace and hands its tokens to the
entries that ask. An entry spends a token for each request. While no leader answers, an
entry refills itself at its recent share of the rate: the shares of all entries add up
to at most the rate, so the limit holds and service goes on. A new leader starts with a
small part of the burst, as its predecessor may have given away the rest.
"""

import math
from dataclasses import dataclass, field
from random import Random

from monsoonlug.ids import HostId, WorkspaceId
from monsoonlug.items import ItemKind, ItemTable
from monsoonlug.limits import Limit

# The shares and levels below come from the model in tests/test_rates.py: with them, 9
# or 79 hosts, some of them cut off, and a change of the leader stay within the bound.
FIRST_LEVEL = 0.1  # of the burst, in the bucket of a new leader
SHARE_MEMORY = 4.0  # seconds over which the shares of the hosts are averaged
SPARE_LEVEL = 0.5  # of the burst that spare tokens must leave in the bucket
SPARE_TIME = 0.8  # seconds of a host's demand that it keeps as spare tokens
SPARE_MEMORY = 1.0  # seconds for which spare tokens count as held by their host
SILENT_TIME = 0.9  # seconds without a beat after which a host may refill itself
RESERVE_TIME = 12.0  # seconds; longer than a cut after which a view is too old
CLAIM_TIME = 6.0  # seconds for which a new leader goes by the shares of the last one
FIRST_RATE = 0.75  # of what is claimed, that a new leader gives away in that time
LEAST_FREE = 0.05  # of the rate, counted as left when a silent host is heard again
NO_SHARE = -1.0  # of a host that was told none
ASK_TIMEOUT = 0.150  # seconds without an answer until a host asks again
ANSWER_TIMEOUT = 1.000  # seconds without an answer, of two beats, until it refills
IDLE_TIME = 2.0  # seconds after which a host drops tokens that it does not use
DEMAND_MEMORY = 2.0  # seconds over which a host's demand is averaged
LEAST_DEMAND = 0.2  # requests per second below which a host keeps no tokens
REFILL_SHARE = 0.75  # of its share, as others' shares may have grown since it was told
ADVANCE_TIME = 0.7  # seconds of its refill that a host gets at once
FIRST_HOSTS = 20  # hosts among which a rate is divided before their number is known
LEAST_PAUSE = 0.050  # seconds


def list_limits(items: ItemTable) -> dict[WorkspaceId, Limit]:
    """Returns the limits of all workspaces that have one."""
    limits = {}
    for item in items.iterate(ItemKind.WORKSPACE):
        if item.rate > 0:
            limits[item.name] = Limit(rate=item.rate, burst=item.burst)
    return limits


@dataclass(frozen=True, slots=True, kw_only=True)
class RateResult:
    """Tokens granted for one ask.

    Attributes:
        pause: Seconds until another token can be had; 0 if all urgent ones were.
        share: Share of the workspace's recent tokens that went to the host.
    """

    tokens: int
    pause: float
    share: float


@dataclass(slots=True, kw_only=True)
class _Bucket:
    limit: Limit
    level: float
    filled_at: float
    spare: float = 0.0
    granted: dict[HostId, float] = field(default_factory=dict)
    reserved: dict[HostId, float] = field(default_factory=dict)
    claimed: dict[HostId, float] = field(default_factory=dict)


class RateAuthority:
    """Token buckets of one leader.

    Args:
        now: Time of the election, in seconds.
    """

    def __init__(self, *, now: float):
        self._buckets: dict[WorkspaceId, _Bucket] = {}
        self._began_at = now
        self._aged_at = now
        self._heard: dict[HostId, float] = {}

    def hear(self, now: float, host: HostId) -> None:
        """Notes that a host is heard; a silent one refills itself at its share."""
        self._heard[host] = now

    def forget(self, host: HostId) -> None:
        """Takes that a host is shutting down and spends nothing more."""
        self._heard.pop(host, None)
        for bucket in self._buckets.values():
            bucket.reserved.pop(host, None)

    def configure(self, now: float, limits: dict[WorkspaceId, Limit]) -> None:
        """Puts limits in force."""
        for workspace in set(self._buckets) - set(limits):
            del self._buckets[workspace]
        for workspace, limit in limits.items():
            bucket = self._buckets.get(workspace)
            if bucket is None:
                self._buckets[workspace] = _Bucket(
                    limit=limit, level=FIRST_LEVEL * limit.burst, filled_at=now
                )
                continue
            self._fill(now, bucket)
            bucket.limit = limit
            bucket.level = min(bucket.level, limit.burst)

    def grant(
        self,
        now: float,
        host: HostId,
        workspace: WorkspaceId,
        urgent: int,
        spare: int,
        share: float = NO_SHARE,
    ) -> RateResult:
        """Grants tokens to a host.

        Args:
            now: Seconds.
            host: The host.
            workspace: The workspace.
            urgent: Tokens that requests wait for.
            spare: Tokens that the host expects to need soon.
            share: Share of the rate that the last leader told the host, or `NO_SHARE`.
        """
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return RateResult(tokens=urgent + spare, pause=0.0, share=1.0)
        self._age(now)
        bucket.claimed.setdefault(host, share)
        self._fill(now, bucket)
        tokens = min(urgent, int(bucket.level))
        missing = urgent - tokens
        room = bucket.level - tokens - SPARE_LEVEL * bucket.limit.burst
        if not missing and room > 0:
            extra = min(spare, int(room))
            tokens += extra
            bucket.spare += extra
        bucket.level -= tokens
        bucket.granted[host] = bucket.granted.get(host, 0.0) + tokens
        pause = 0.0
        if missing:
            pause = max(LEAST_PAUSE, (missing - bucket.level) / bucket.limit.rate)
        return RateResult(tokens=tokens, pause=pause, share=_find_share(bucket, host))

    def _fill(self, now: float, bucket: _Bucket) -> None:
        elapsed = max(0.0, now - bucket.filled_at)
        bucket.filled_at = now
        bucket.spare *= math.exp(-elapsed / SPARE_MEMORY)
        rate = bucket.limit.rate * (1 - sum(bucket.reserved.values()))
        if now - self._began_at < CLAIM_TIME:
            rate *= _sum_claims(bucket)
        filled = bucket.level + elapsed * max(0.0, rate)
        # Spare tokens that the hosts still hold can be spent in the same window.
        bucket.level = min(filled, max(0.0, bucket.limit.burst - bucket.spare))

    def _age(self, now: float) -> None:
        if now - self._aged_at < SHARE_MEMORY / 8:
            return
        factor = math.exp(-(now - self._aged_at) / SHARE_MEMORY)
        self._aged_at = now
        for bucket in self._buckets.values():
            self._reserve(now, bucket)
            for host in list(bucket.granted):
                bucket.granted[host] *= factor
                if bucket.granted[host] < 0.01:
                    del bucket.granted[host]

    def _reserve(self, now: float, bucket: _Bucket) -> None:
        """Keeps the shares of silent hosts, which may go on spending them."""
        for host in list(bucket.granted):
            silence = now - self._heard.get(host, now)
            if silence > SILENT_TIME:
                share = _find_share(bucket, host)
                bucket.reserved[host] = share
                del bucket.granted[host]
                # The host has refilled itself since it was heard for the last time.
                refilled = REFILL_SHARE * share * (silence + ADVANCE_TIME)
                bucket.level -= refilled * bucket.limit.rate
        for host in list(bucket.reserved):
            silence = now - self._heard.get(host, -math.inf)
            if silence <= SILENT_TIME:
                share = bucket.reserved.pop(host)
                free = max(LEAST_FREE, 1 - sum(bucket.reserved.values()) - share)
                total = sum(bucket.granted.values())
                bucket.granted[host] = total * share / free
            elif silence > RESERVE_TIME:
                del bucket.reserved[host]


def _sum_claims(bucket: _Bucket) -> float:
    """Returns the part of the rate that a new leader may give away.

    What no host that is heard claims may be spent by those that are not heard.
    """
    claims = [share for share in bucket.claimed.values() if share >= 0]
    if not claims:
        return 1.0
    return FIRST_RATE * min(1.0, sum(claims))


def _find_share(bucket: _Bucket, host: HostId) -> float:
    total = sum(bucket.granted.values())
    if total <= 0:
        return 0.0
    # The shares of silent hosts are still theirs, so all shares add up to one at most.
    free = max(0.0, 1 - sum(bucket.reserved.values()))
    return free * bucket.granted.get(host, 0.0) / total


@dataclass(slots=True, kw_only=True)
class _Purse:
    limit: Limit
    filled_at: float
    tokens: float = 0.0
    share: float = NO_SHARE
    told_at: float = 0.0
    demand: float = 0.0
    demand_at: float = 0.0
    used_at: float = 0.0
    waiting: int = 0
    asked: int = 0
    asked_at: float = 0.0
    has_advance: bool = True
    refused_until: float = 0.0


class RateWallet:
    """Tokens of one entry.

    Args:
        now: Seconds.
        random: Source of the choice of hosts that get a token in advance.
    """

    def __init__(self, *, now: float, random: Random):
        self._random = random
        self._hosts = FIRST_HOSTS
        self._purses: dict[WorkspaceId, _Purse] = {}
        self._answered_at = now
        self._unanswered_since = math.inf

    def configure(self, now: float, limits: dict[WorkspaceId, Limit]) -> None:
        """Puts limits in force."""
        for workspace in set(self._purses) - set(limits):
            del self._purses[workspace]
        for workspace, limit in limits.items():
            purse = self._purses.get(workspace)
            if purse is None:
                self._purses[workspace] = _Purse(limit=limit, filled_at=now)
                continue
            purse.limit = limit

    def set_hosts(self, count: int) -> None:
        """Takes the number of live hosts."""
        self._hosts = max(1, count)

    def is_cut_off(self, now: float) -> bool:
        """Whether no leader answers, so that this host refills itself."""
        if now - self._unanswered_since > ASK_TIMEOUT:
            return True
        return now - self._answered_at > ANSWER_TIMEOUT

    def count(self, now: float, workspace: WorkspaceId) -> None:
        """Counts the demand of one request."""
        purse = self._purses.get(workspace)
        if purse is None:
            return
        elapsed = max(0.0, now - purse.demand_at)
        purse.demand_at = now
        purse.demand *= math.exp(-elapsed / DEMAND_MEMORY)
        purse.demand += 1 / DEMAND_MEMORY

    def take(self, now: float, workspace: WorkspaceId) -> bool:
        """Spends a token; returns False if there is none."""
        purse = self._purses.get(workspace)
        if purse is None:
            return True
        self._refill(now, purse)
        if purse.tokens < 1:
            return False
        purse.tokens -= 1
        purse.used_at = now
        return True

    def refund(self, workspace: WorkspaceId) -> None:
        """Gives a token back whose request was refused without running."""
        purse = self._purses.get(workspace)
        if purse is not None:
            purse.tokens += 1

    def find_pause(self, now: float, workspace: WorkspaceId) -> float:
        """Returns seconds for which the leader said that there are no tokens."""
        purse = self._purses.get(workspace)
        return max(0.0, purse.refused_until - now) if purse else 0.0

    def wait(self, workspace: WorkspaceId, change: int) -> None:
        """Counts a request that begins (1) or ends (-1) to wait for a token."""
        purse = self._purses.get(workspace)
        if purse is not None:
            purse.waiting = max(0, purse.waiting + change)

    def build_urgent(self, now: float) -> dict[str, list[float]]:
        """Returns the tokens that requests wait for; empty if none does."""
        wanted = {}
        for workspace, purse in self._purses.items():
            if now - purse.asked_at > ASK_TIMEOUT:
                purse.asked = 0
            # Tokens that are asked for twice would be kept and spent later, on top of
            # the burst of that time.
            urgent = purse.waiting - purse.asked
            if urgent <= 0:
                continue
            purse.asked += urgent
            purse.asked_at = now
            self._unanswered_since = min(self._unanswered_since, now)
            wanted[workspace] = [urgent, 0, self._find_share(purse)]
        return wanted

    def build_spare(self, now: float) -> dict[str, list[float]]:
        """Returns the tokens to ask for with a beat."""
        wanted = {}
        for workspace, purse in self._purses.items():
            self._drop_idle(now, purse)
            spare = self._count_spare(now, purse)
            if spare:
                wanted[workspace] = [0, spare, self._find_share(purse)]
        return wanted

    def _count_spare(self, now: float, purse: _Purse) -> int:
        since = max(0.0, now - purse.demand_at)
        demand = purse.demand * math.exp(-since / DEMAND_MEMORY)
        if demand < LEAST_DEMAND:
            return 0
        return max(0, round(demand * SPARE_TIME - purse.tokens))

    def receive(
        self,
        now: float,
        tokens: dict[str, int],
        pauses: dict[str, float],
        shares: dict[str, float],
        *,
        urgent: bool,
    ) -> None:
        """Takes the answer to an ask for urgent tokens, or for spare ones."""
        self._answered_at = now
        if urgent:
            self._unanswered_since = math.inf
        for workspace, count in tokens.items():
            purse = self._purses.get(workspace)
            if purse is None:
                continue
            purse.tokens += count
            purse.filled_at = now
            purse.has_advance = True
            if workspace in shares:
                purse.share = shares[workspace]
                purse.told_at = now
            if not urgent:
                continue
            purse.asked = 0
            pause = pauses.get(workspace, 0.0)
            purse.refused_until = now + pause if pause else 0.0

    def note_answer(self, now: float) -> None:
        """Notes that the leader answers, with or without tokens."""
        self._answered_at = now

    def _refill(self, now: float, purse: _Purse) -> None:
        elapsed = max(0.0, now - max(purse.filled_at, self._answered_at))
        purse.filled_at = now
        if not self.is_cut_off(now):
            return
        share = self._find_share(purse)
        if share < 0:
            share = 1 / self._hosts
        rate = purse.limit.rate * share * REFILL_SHARE
        if purse.waiting and purse.has_advance:
            # A small share would take longer to make up a token than a request waits.
            purse.has_advance = False
            purse.tokens = max(self._draw(rate * ADVANCE_TIME), purse.tokens)
        # Not more than one second's share is kept, as no one knows for how long.
        purse.tokens = min(max(1.0, rate, purse.tokens), purse.tokens + elapsed * rate)

    def _find_share(self, purse: _Purse) -> float:
        """Returns the host's share at the last answer of a leader, or `NO_SHARE`.

        A leader tells a share right after it granted a token. The share of a host that
        asked for none since is smaller by then.
        """
        if purse.share < 0:
            return NO_SHARE
        age = max(0.0, self._answered_at - purse.told_at)
        return purse.share * math.exp(-age / SHARE_MEMORY)

    def _draw(self, advance: float) -> float:
        """Returns an advance; less than a token becomes a whole one for some hosts.

        With a whole token for each of many hosts, they would exceed the rate together.
        """
        if advance >= 1 or self._random.random() >= advance:
            return advance
        return 1.0

    def _drop_idle(self, now: float, purse: _Purse) -> None:
        if now - purse.used_at > IDLE_TIME:
            purse.tokens = 0.0
