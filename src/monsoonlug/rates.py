"""Distributed token-bucket rate limiting per workspace that survives control outages.

The control leader keeps one token bucket per workspace and grants tokens to the entries
that request them. An entry spends one token per request. While no leader responds, an
entry refills its local bucket at its recent share of the rate. The shares of all
entries add up to at most the rate, so the limit holds while requests are still served.
A new leader starts with a small part of the burst, because its predecessor may have
granted the rest.
"""

import math
from dataclasses import dataclass, field
from random import Random

from monsoonlug.ids import HostId, WorkspaceId
from monsoonlug.items import ItemKind, ItemTable, is_rate
from monsoonlug.limits import Limit

# With these values, the simulation in tests/test_rates.py stays within its bound for 9
# and 79 hosts, some of them disconnected, and across a change of the leader.
INITIAL_FILL_RATIO = 0.1  # of the burst, in a new leader's bucket
SHARE_DECAY_TIME = 4.0  # seconds; time constant of the average of host shares
PREFETCH_RESERVE_RATIO = 0.5  # of the burst that prefetching must leave
PREFETCH_TIME = 0.8  # seconds of demand for which a host prefetches tokens
PREFETCH_DECAY_TIME = 1.0  # seconds; time constant of unspent prefetched tokens
HEARTBEAT_TIMEOUT = 0.9  # seconds; a host may then refill its own bucket
RESERVATION_TIME = 12.0  # seconds; a host cut off for this long has too old a view
TAKEOVER_TIME = 6.0  # seconds in which a new leader uses the previous shares
TAKEOVER_RATE_RATIO = 0.75  # of the reported shares, granted in TAKEOVER_TIME
MIN_UNRESERVED_SHARE = 0.05  # of the rate, when a silent host reconnects
UNKNOWN_SHARE = -1.0  # of a host that has not received its share yet
REQUEST_TIMEOUT = 0.150  # seconds until a host repeats an unanswered request
FALLBACK_TIMEOUT = 1.000  # seconds, two heartbeats; a host then refills itself
IDLE_TIMEOUT = 2.0  # seconds until a host discards unused tokens
DEMAND_DECAY_TIME = 2.0  # seconds; time constant of the average of demand
MIN_DEMAND = 0.2  # requests per second, below which a host does not prefetch
FALLBACK_RATE_RATIO = 0.75  # of the share, as other hosts' shares may have grown since
ADVANCE_TIME = 0.7  # seconds of refill that a disconnected host gets at once
DEFAULT_HOST_COUNT = 20  # divides the rate until the number of hosts is known
MIN_RETRY_AFTER = 0.050  # seconds


def list_limits(items: ItemTable) -> dict[WorkspaceId, Limit]:
    """Returns the rate limits of all workspaces that have one.

    Earlier versions accepted rates that are none, such as infinity. Such a workspace
    is limited to its burst in each second.
    """
    limits = {}
    for item in items.iterate(ItemKind.WORKSPACE):
        if not is_rate(item.rate):
            rate = max(1.0, float(item.burst))
            limits[item.name] = Limit(rate=rate, burst=item.burst)
        elif item.rate > 0:
            limits[item.name] = Limit(rate=item.rate, burst=item.burst)
    return limits


@dataclass(frozen=True, slots=True, kw_only=True)
class TokenGrant:
    """Tokens granted for one request of a host.

    Attributes:
        retry_after: Seconds until another token is available; 0 if all urgent tokens
            were granted.
        share: Part of the workspace's recently granted tokens that the host got.
    """

    tokens: int
    retry_after: float
    share: float


@dataclass(slots=True, kw_only=True)
class _Bucket:
    limit: Limit
    level: float
    refilled_at: float
    prefetched: float = 0.0
    granted: dict[HostId, float] = field(default_factory=dict)
    reserved: dict[HostId, float] = field(default_factory=dict)
    last_shares: dict[HostId, float] = field(default_factory=dict)


class GlobalRateLimiter:
    """Token buckets of all workspaces during one term of a leader.

    Args:
        now: Time of the election, in seconds.
    """

    def __init__(self, *, now: float):
        self._buckets: dict[WorkspaceId, _Bucket] = {}
        self._elected_at = now
        self._decayed_at = now
        self._last_heartbeats: dict[HostId, float] = {}

    def record_heartbeat(self, now: float, host: HostId) -> None:
        """Records a heartbeat; a host without one refills itself at its share."""
        self._last_heartbeats[host] = now

    def remove_host(self, host: HostId) -> None:
        """Removes a host that is shutting down, with the share reserved for it."""
        self._last_heartbeats.pop(host, None)
        for bucket in self._buckets.values():
            bucket.reserved.pop(host, None)

    def configure(self, now: float, limits: dict[WorkspaceId, Limit]) -> None:
        """Sets the limits of all workspaces; a workspace without one is unlimited."""
        for workspace in set(self._buckets) - set(limits):
            del self._buckets[workspace]
        for workspace, limit in limits.items():
            bucket = self._buckets.get(workspace)
            if bucket is None:
                self._buckets[workspace] = _Bucket(
                    limit=limit, level=INITIAL_FILL_RATIO * limit.burst, refilled_at=now
                )
                continue
            self._refill(now, bucket)
            bucket.limit = limit
            bucket.level = min(bucket.level, limit.burst)

    def grant(
        self,
        now: float,
        host: HostId,
        workspace: WorkspaceId,
        urgent: int,
        prefetch: int,
        share: float = UNKNOWN_SHARE,
    ) -> TokenGrant:
        """Grants tokens to a host.

        Args:
            now: Seconds of the leader's clock.
            host: The host that requests tokens.
            workspace: The workspace whose bucket is used.
            urgent: Tokens that queued requests need now.
            prefetch: Tokens that the host expects to need soon.
            share: Share that the previous leader sent to the host, or `UNKNOWN_SHARE`.
        """
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return TokenGrant(tokens=urgent + prefetch, retry_after=0.0, share=1.0)
        self._decay_grants(now)
        bucket.last_shares.setdefault(host, share)
        self._refill(now, bucket)
        tokens = min(urgent, int(bucket.level))
        unserved = urgent - tokens
        surplus = bucket.level - tokens - PREFETCH_RESERVE_RATIO * bucket.limit.burst
        if not unserved and surplus > 0:
            extra = min(prefetch, int(surplus))
            tokens += extra
            bucket.prefetched += extra
        bucket.level -= tokens
        bucket.granted[host] = bucket.granted.get(host, 0.0) + tokens
        retry_after = 0.0
        if unserved:
            retry_after = max(
                MIN_RETRY_AFTER, (unserved - bucket.level) / bucket.limit.rate
            )
        return TokenGrant(
            tokens=tokens, retry_after=retry_after, share=_compute_share(bucket, host)
        )

    def _refill(self, now: float, bucket: _Bucket) -> None:
        elapsed = max(0.0, now - bucket.refilled_at)
        bucket.refilled_at = now
        bucket.prefetched *= math.exp(-elapsed / PREFETCH_DECAY_TIME)
        rate = bucket.limit.rate * (1 - sum(bucket.reserved.values()))
        if now - self._elected_at < TAKEOVER_TIME:
            rate *= _compute_takeover_ratio(bucket)
        filled = bucket.level + elapsed * max(0.0, rate)
        # Hosts can still spend their prefetched tokens within the same window.
        bucket.level = min(filled, max(0.0, bucket.limit.burst - bucket.prefetched))

    def _decay_grants(self, now: float) -> None:
        if now - self._decayed_at < SHARE_DECAY_TIME / 8:
            return
        factor = math.exp(-(now - self._decayed_at) / SHARE_DECAY_TIME)
        self._decayed_at = now
        for bucket in self._buckets.values():
            self._update_reservations(now, bucket)
            for host in list(bucket.granted):
                bucket.granted[host] *= factor
                if bucket.granted[host] < 0.01:
                    del bucket.granted[host]

    def _update_reservations(self, now: float, bucket: _Bucket) -> None:
        """Reserves the shares of silent hosts, which may still be spending them."""
        for host in list(bucket.granted):
            silence = now - self._last_heartbeats.get(host, now)
            if silence > HEARTBEAT_TIMEOUT:
                share = _compute_share(bucket, host)
                bucket.reserved[host] = share
                del bucket.granted[host]
                # The host has been refilling its own bucket since its last heartbeat.
                refilled = FALLBACK_RATE_RATIO * share * (silence + ADVANCE_TIME)
                bucket.level -= refilled * bucket.limit.rate
        for host in list(bucket.reserved):
            silence = now - self._last_heartbeats.get(host, -math.inf)
            if silence <= HEARTBEAT_TIMEOUT:
                share = bucket.reserved.pop(host)
                unreserved = max(
                    MIN_UNRESERVED_SHARE, 1 - sum(bucket.reserved.values()) - share
                )
                total = sum(bucket.granted.values())
                bucket.granted[host] = total * share / unreserved
            elif silence > RESERVATION_TIME:
                del bucket.reserved[host]


def _compute_takeover_ratio(bucket: _Bucket) -> float:
    """Returns the part of the rate that a new leader may grant.

    The shares that no reporting host holds may be in use by hosts that cannot reach the
    leader.
    """
    known_shares = [share for share in bucket.last_shares.values() if share >= 0]
    if not known_shares:
        return 1.0
    return TAKEOVER_RATE_RATIO * min(1.0, sum(known_shares))


def _compute_share(bucket: _Bucket, host: HostId) -> float:
    total = sum(bucket.granted.values())
    if total <= 0:
        return 0.0
    # Shares of silent hosts stay reserved, so all shares add up to at most 1.
    unreserved = max(0.0, 1 - sum(bucket.reserved.values()))
    return unreserved * bucket.granted.get(host, 0.0) / total


@dataclass(slots=True, kw_only=True)
class _LocalBucket:
    limit: Limit
    refilled_at: float
    tokens: float = 0.0
    share: float = UNKNOWN_SHARE
    share_updated_at: float = 0.0
    demand: float = 0.0
    demand_updated_at: float = 0.0
    last_used_at: float = 0.0
    waiting: int = 0
    requested: int = 0
    requested_at: float = 0.0
    is_advance_available: bool = True
    empty_until: float = 0.0


class LocalRateLimiter:
    """Token buckets of one entry, filled by the leader or by the entry itself.

    Args:
        now: Seconds of the entry's clock.
        random: Decides which hosts round a fractional advance up to one token.
    """

    def __init__(self, *, now: float, random: Random):
        self._random = random
        self._host_count = DEFAULT_HOST_COUNT
        self._buckets: dict[WorkspaceId, _LocalBucket] = {}
        self._last_response_at = now
        self._unanswered_since = math.inf

    def configure(self, now: float, limits: dict[WorkspaceId, Limit]) -> None:
        """Sets the limits of all workspaces; a workspace without one is unlimited."""
        for workspace in set(self._buckets) - set(limits):
            del self._buckets[workspace]
        for workspace, limit in limits.items():
            bucket = self._buckets.get(workspace)
            if bucket is None:
                self._buckets[workspace] = _LocalBucket(limit=limit, refilled_at=now)
                continue
            bucket.limit = limit

    def set_host_count(self, count: int) -> None:
        """Sets the number of live hosts."""
        self._host_count = max(1, count)

    def is_disconnected(self, now: float) -> bool:
        """Whether no leader responds, so that this host refills its own buckets."""
        if now - self._unanswered_since > REQUEST_TIMEOUT:
            return True
        return now - self._last_response_at > FALLBACK_TIMEOUT

    def record_demand(self, now: float, workspace: WorkspaceId) -> None:
        """Adds one request to the average demand."""
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return
        elapsed = max(0.0, now - bucket.demand_updated_at)
        bucket.demand_updated_at = now
        bucket.demand *= math.exp(-elapsed / DEMAND_DECAY_TIME)
        bucket.demand += 1 / DEMAND_DECAY_TIME

    def try_acquire(self, now: float, workspace: WorkspaceId) -> bool:
        """Spends one token and returns True, or returns False if there is none."""
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return True
        self._refill(now, bucket)
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        bucket.last_used_at = now
        return True

    def refund(self, workspace: WorkspaceId) -> None:
        """Returns the token of a request that was refused without running."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.tokens += 1

    def get_retry_after(self, now: float, workspace: WorkspaceId) -> float:
        """Returns seconds until the leader expects to have tokens again, or 0."""
        bucket = self._buckets.get(workspace)
        return max(0.0, bucket.empty_until - now) if bucket else 0.0

    def change_waiting(self, workspace: WorkspaceId, change: int) -> None:
        """Adds 1 when a request starts to wait for a token, -1 when it stops."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.waiting = max(0, bucket.waiting + change)

    def build_urgent_request(self, now: float) -> dict[str, list[float]]:
        """Returns the tokens that waiting requests need; empty if none waits."""
        wanted = {}
        for workspace, bucket in self._buckets.items():
            if now - bucket.requested_at > REQUEST_TIMEOUT:
                bucket.requested = 0
            # Tokens requested twice would be kept and later be spent on top of the
            # burst.
            urgent = bucket.waiting - bucket.requested
            if urgent <= 0:
                continue
            bucket.requested += urgent
            bucket.requested_at = now
            self._unanswered_since = min(self._unanswered_since, now)
            wanted[workspace] = [urgent, 0, self._compute_share(bucket)]
        return wanted

    def build_prefetch_request(self, now: float) -> dict[str, list[float]]:
        """Returns the tokens to prefetch with a heartbeat."""
        wanted = {}
        for workspace, bucket in self._buckets.items():
            self._drop_idle_tokens(now, bucket)
            tokens = self._count_prefetch(now, bucket)
            if tokens:
                wanted[workspace] = [0, tokens, self._compute_share(bucket)]
        return wanted

    def _count_prefetch(self, now: float, bucket: _LocalBucket) -> int:
        since = max(0.0, now - bucket.demand_updated_at)
        demand = bucket.demand * math.exp(-since / DEMAND_DECAY_TIME)
        if demand < MIN_DEMAND:
            return 0
        return max(0, round(demand * PREFETCH_TIME - bucket.tokens))

    def apply_grant(
        self,
        now: float,
        tokens: dict[str, int],
        retry_delays: dict[str, float],
        shares: dict[str, float],
        *,
        urgent: bool,
    ) -> None:
        """Adds the tokens that the leader granted to an urgent or prefetch request."""
        self._last_response_at = now
        if urgent:
            self._unanswered_since = math.inf
        for workspace, count in tokens.items():
            bucket = self._buckets.get(workspace)
            if bucket is None:
                continue
            bucket.tokens += count
            bucket.refilled_at = now
            bucket.is_advance_available = True
            if workspace in shares:
                bucket.share = shares[workspace]
                bucket.share_updated_at = now
            if not urgent:
                continue
            bucket.requested = 0
            retry_after = retry_delays.get(workspace, 0.0)
            bucket.empty_until = now + retry_after if retry_after else 0.0

    def record_response(self, now: float, sent_at: float | None) -> None:
        """Records a response of the leader to a heartbeat.

        A token request that was sent before the heartbeat was answered or is lost.

        Args:
            now: Seconds of the entry's clock.
            sent_at: When the heartbeat was sent, or None if that is not known.
        """
        self._last_response_at = now
        if sent_at is not None and sent_at >= self._unanswered_since:
            self._unanswered_since = math.inf

    def _refill(self, now: float, bucket: _LocalBucket) -> None:
        elapsed = max(0.0, now - max(bucket.refilled_at, self._last_response_at))
        bucket.refilled_at = now
        if not self.is_disconnected(now):
            return
        share = self._compute_share(bucket)
        if share < 0:
            share = 1 / self._host_count
        rate = bucket.limit.rate * share * FALLBACK_RATE_RATIO
        if bucket.waiting and bucket.is_advance_available:
            # At a small share, one token would take longer than a request waits.
            bucket.is_advance_available = False
            bucket.tokens = max(self._round_advance(rate * ADVANCE_TIME), bucket.tokens)
        # Holds at most the refill of one second, as the outage may last for long.
        bucket.tokens = min(
            max(1.0, rate, bucket.tokens), bucket.tokens + elapsed * rate
        )

    def _compute_share(self, bucket: _LocalBucket) -> float:
        """Returns the share at the leader's last response, or `UNKNOWN_SHARE`.

        The leader sends a share only with a grant. After that, the share of a host that
        requests no tokens decays.
        """
        if bucket.share < 0:
            return UNKNOWN_SHARE
        age = max(0.0, self._last_response_at - bucket.share_updated_at)
        return bucket.share * math.exp(-age / SHARE_DECAY_TIME)

    def _round_advance(self, advance: float) -> float:
        """Returns the advance, rounded up at random to one token if it is smaller.

        If each of many hosts rounded it up, they would exceed the rate together.
        """
        if advance >= 1 or self._random.random() >= advance:
            return advance
        return 1.0

    def _drop_idle_tokens(self, now: float, bucket: _LocalBucket) -> None:
        if now - bucket.last_used_at > IDLE_TIMEOUT:
            bucket.tokens = 0.0
