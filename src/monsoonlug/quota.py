"""Distributed token-bucket rate limiting per workspace: the leader's token authority.

The authority keeps one token bucket per workspace and grants tokens to hosts, which
spend one per request; see `token_cache` for the hosts' side.

At most ``burst + rate * w`` requests are admitted in any window of w seconds, because:

* Every token is in the bucket's level, counted as outstanding, or used up (spent or
  expired). Refill stops at ``level + outstanding = burst``. At the start of a window at
  most ``burst`` tokens can still be spent, and the window adds at most ``rate * w``.
* The outstanding count is never too low. A host reports its state, not events: the
  tokens that it still holds from all responses up to a closed sequence number, and the
  total that it has spent of them. It ignores responses up to that number that arrive
  later. The remaining tokens were not spent and cannot be, so they return to the level.
  Reports that are older than the newest one are ignored; a lost report is replaced by
  the next one.
* The authority settles the oldest grants first, so the tokens that stay outstanding
  expire no earlier than those that the host holds. A token expires at the host 0.400 s
  after the request was sent, which is before the grant, and at the authority 0.414 s
  after the grant. With clocks that differ by 1%, it expires at the host first. An
  expired token never returns to the level.
* A disconnected leader grants for less than 0.200 s after the start of its last
  confirmed round, and a new leader is elected after that start. The new authority has
  level 0 and no refill until either all hosts have discarded the tokens of older terms
  and accept no more of them, or the last such token has expired. It only grants tokens
  refilled in a time in which no older token could be spent.
* Lower limits bound every window that starts 0.414 s after the change. Refill is
  divided by 1.01, so that the bound holds on every process's clock.

A host runs one entry process at a time, as its address can be bound only once. Grants
to an earlier process stay outstanding until they expire.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from monsoonlug.exceptions import DamagedFrame
from monsoonlug.ids import HostId, Term, WorkspaceId
from monsoonlug.limits import Limit

MAX_CLOCK_DRIFT = 1.01  # largest ratio of the rates of two clocks
TOKEN_LIFETIME = 0.400  # seconds from sending the request, on the host's clock
GRANT_LIFETIME = TOKEN_LIFETIME * MAX_CLOCK_DRIFT + 0.010  # seconds from the grant
CONFIRMATION_LIFETIME = 0.200  # seconds from the start of a confirmed round
# Both in seconds from the election.
FIRST_GRANT_DELAY = CONFIRMATION_LIFETIME * MAX_CLOCK_DRIFT
RECOVERY_TIME = FIRST_GRANT_DELAY + GRANT_LIFETIME

QUEUE_TIMEOUT = 0.150  # seconds without a request until a host leaves the queue
HOST_IDLE_TIMEOUT = 1.0  # seconds without a request until a host gets no share
PREFETCH_RATIO = 0.5  # of the free level, shared among hosts that prefetch
UNKNOWN_WORKSPACE_RETRY_AFTER = 60.0  # seconds; the workspace has no limits
EPSILON = 1e-9  # tokens; rounding error of a level


@dataclass(frozen=True, slots=True, kw_only=True)
class Holding:
    """A host's tokens of one workspace, as reported to the authority.

    A response is closed once the host would ignore it if it arrived again.

    Attributes:
        spent: Tokens from closed responses that this process spent in this term.
        held: Unspent tokens from closed responses.
    """

    spent: int
    held: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Tokens of one workspace that a host requests.

    Attributes:
        urgent: Tokens that waiting requests need now.
        prefetch: Tokens that the host expects to need soon.
    """

    urgent: int
    prefetch: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """Tokens granted to a host.

    Attributes:
        retry_after: Seconds until the missing urgent tokens are available; 0 if all
            were granted.
    """

    tokens: int
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class TokenRefusal:
    """Refusal of a request for tokens, as none is available.

    Attributes:
        retry_after: Seconds until all urgent tokens are available.
    """

    retry_after: float


@dataclass(slots=True, kw_only=True)
class _OutstandingGrant:
    sequence: int
    granted_at: float
    tokens: int


@dataclass(slots=True, kw_only=True)
class _Account:
    """Grants of one workspace to one entry process, oldest first."""

    grants: deque[_OutstandingGrant] = field(default_factory=deque)
    spent: int = 0


@dataclass(slots=True, kw_only=True)
class _Process:
    """State of one entry process, from its reports."""

    sequence: int = -1
    closed: int = -1
    last_seen_at: float


@dataclass(slots=True, kw_only=True)
class _QueuedDemand:
    """Urgent tokens that an entry process still waits for."""

    queued_at: float
    requested_at: float
    urgent: int


@dataclass(slots=True, kw_only=True)
class _Bucket:
    limit: Limit
    level: float = 0.0
    outstanding: int = 0
    refilled_at: float
    grants: deque[_OutstandingGrant] = field(default_factory=deque)
    accounts: dict[tuple[HostId, str], _Account] = field(default_factory=dict)
    queue: dict[tuple[HostId, str], _QueuedDemand] = field(default_factory=dict)
    last_requests: dict[tuple[HostId, str], float] = field(default_factory=dict)


def pack_holdings(holdings: dict[WorkspaceId, Holding]) -> dict:
    """Builds the field `holdings` of a message."""
    return {name: [item.spent, item.held] for name, item in holdings.items()}


def unpack_holdings(rows: dict) -> dict[WorkspaceId, Holding]:
    """Parses the field `holdings` of a message.

    Raises:
        DamagedFrame: If a row is not a pair of counts.
    """
    holdings = {}
    for workspace, row in rows.items():
        spent, held = _unpack_pair(row)
        holdings[workspace] = Holding(spent=spent, held=held)
    return holdings


def pack_demands(wanted: dict[WorkspaceId, Demand]) -> dict:
    """Builds the field `wanted` of a message."""
    return {name: [item.urgent, item.prefetch] for name, item in wanted.items()}


def unpack_demands(wanted: dict) -> dict[WorkspaceId, Demand]:
    """Parses the field `wanted` of a message.

    Raises:
        DamagedFrame: If a row is not a pair of counts.
    """
    demands = {}
    for workspace, row in wanted.items():
        urgent, prefetch = _unpack_pair(row)
        demands[workspace] = Demand(urgent=urgent, prefetch=prefetch)
    return demands


def _unpack_pair(row: object) -> tuple[int, int]:
    valid = isinstance(row, list | tuple) and len(row) == 2
    if not valid or not all(type(item) is int and item >= 0 for item in row):
        raise DamagedFrame(
            f"row of holdings or wanted is {row!r}, expected two integers of at least 0"
        )
    return row[0], row[1]


class TokenAuthority:
    """Grants tokens to hosts while this control replica is the leader."""

    def __init__(self):
        self._term = Term(0)
        self._elected_at = -math.inf
        self._recovering = True
        self._hosts_with_older_tokens: set[HostId] = set()
        self._processes: dict[tuple[HostId, str], _Process] = {}
        self._buckets: dict[WorkspaceId, _Bucket] = {}

    def start_term(self, now: float, term: Term, hosts: list[HostId]) -> None:
        """Starts a term after an election.

        Args:
            now: Seconds.
            term: The new term.
            hosts: All registered hosts; each may hold tokens of older terms.
        """
        self._term = term
        self._elected_at = now
        self._recovering = True
        self._hosts_with_older_tokens = set(hosts)
        self._processes = {}
        for workspace, bucket in self._buckets.items():
            self._buckets[workspace] = _Bucket(limit=bucket.limit, refilled_at=now)

    def configure(self, now: float, limits: dict[WorkspaceId, Limit]) -> None:
        """Applies the limits of the catalogue.

        A new workspace starts at level 0, as it may be one that was just removed while
        its tokens are still held.
        """
        self._recover(now)
        for workspace, bucket in list(self._buckets.items()):
            self._advance(now, bucket)
            if workspace in limits:
                continue
            bucket.limit = Limit(rate=0.0, burst=0)
            if not bucket.outstanding:
                del self._buckets[workspace]
        for workspace, limit in limits.items():
            bucket = self._buckets.get(workspace)
            if bucket is None:
                self._buckets[workspace] = _Bucket(limit=limit, refilled_at=now)
                continue
            bucket.limit = limit
        for bucket in self._buckets.values():
            _limit_level(bucket)

    def receive_report(
        self,
        now: float,
        host: HostId,
        boot: str,
        sequence: int,
        closed: int,
        dropped_term: Term,
        holdings: dict[WorkspaceId, Holding],
    ) -> bool:
        """Processes a host's report of its tokens.

        Args:
            now: Seconds.
            host: The host.
            boot: Identity of its process.
            sequence: Sequence number of the message.
            closed: The host ignores further responses up to this sequence number.
            dropped_term: The host neither holds nor accepts tokens of earlier terms.
            holdings: The host's tokens of this term, by workspace.

        Returns:
            Whether the message is newer than all earlier ones. Tokens may be granted
            only for such a message.
        """
        self._recover(now)
        process = self._processes.get((host, boot))
        if process is None:
            self._remove_expired_processes(now)
            process = _Process(last_seen_at=now)
            self._processes[host, boot] = process
            if self._recovering:
                self._hosts_with_older_tokens.add(host)
        if sequence <= process.sequence:
            return False
        process.sequence = sequence
        process.last_seen_at = now
        if dropped_term >= self._term:
            self._hosts_with_older_tokens.discard(host)
        if dropped_term != self._term:
            return True
        process.closed = max(process.closed, closed)
        for workspace, holding in holdings.items():
            bucket = self._buckets.get(workspace)
            if bucket is None or (host, boot) not in bucket.accounts:
                continue
            self._advance(now, bucket)
            _settle(bucket, bucket.accounts[host, boot], process.closed, holding)
        return True

    def grant(
        self,
        now: float,
        host: HostId,
        boot: str,
        sequence: int,
        workspace: WorkspaceId,
        demand: Demand,
        confirmed_at: float,
    ) -> Grant | TokenRefusal:
        """Grants tokens for a message whose report was processed by `receive_report`.

        Args:
            now: Seconds.
            host: The host.
            boot: Identity of its process.
            sequence: Sequence number of the message.
            workspace: The workspace.
            demand: The requested tokens.
            confirmed_at: Start of the last round that a majority confirmed, seconds.

        Returns:
            A grant; it has no tokens while this authority may not grant any yet, and
            the requests keep waiting. A refusal if no token is available.
        """
        self._recover(now)
        if not self._may_grant(now, confirmed_at):
            return Grant(tokens=0)
        process = self._processes.get((host, boot))
        bucket = self._buckets.get(workspace)
        if process is None or sequence <= process.closed:
            return Grant(tokens=0)
        if bucket is None or bucket.limit.burst == 0:
            return TokenRefusal(retry_after=UNKNOWN_WORKSPACE_RETRY_AFTER)
        self._advance(now, bucket)
        key = (host, boot)
        bucket.last_requests[key] = now
        urgent, unmet = _grant_urgent(now, bucket, key, demand.urgent)
        tokens = urgent
        if not unmet:
            tokens += _count_prefetch(bucket, demand.prefetch, urgent)
        if tokens:
            bucket.level -= tokens
            bucket.outstanding += tokens
            grant = _OutstandingGrant(sequence=sequence, granted_at=now, tokens=tokens)
            bucket.grants.append(grant)
            bucket.accounts.setdefault(key, _Account()).grants.append(grant)
        retry_after = _estimate_retry_after(bucket) if unmet else 0.0
        if tokens == 0 and unmet:
            return TokenRefusal(retry_after=retry_after)
        return Grant(tokens=tokens, retry_after=retry_after)

    def _may_grant(self, now: float, confirmed_at: float) -> bool:
        if now - confirmed_at >= CONFIRMATION_LIFETIME:
            return False
        if now < self._elected_at + FIRST_GRANT_DELAY:
            return False
        return not self._recovering

    def _advance(self, now: float, bucket: _Bucket) -> None:
        """Refills a bucket and expires its grants, in order of time.

        Refill from before the expiry of a grant must not fill the capacity that the
        expiry frees.
        """
        while bucket.grants and now - bucket.grants[0].granted_at >= GRANT_LIFETIME:
            grant = bucket.grants.popleft()
            self._refill(grant.granted_at + GRANT_LIFETIME, bucket)
            bucket.outstanding -= grant.tokens
            grant.tokens = 0
        self._refill(now, bucket)

    def _refill(self, now: float, bucket: _Bucket) -> None:
        elapsed = max(0.0, now - bucket.refilled_at)
        bucket.refilled_at = max(now, bucket.refilled_at)
        if self._recovering:
            return
        bucket.level += elapsed * bucket.limit.rate / MAX_CLOCK_DRIFT
        _limit_level(bucket)

    def _recover(self, now: float) -> None:
        if not self._recovering:
            return
        elapsed = now - self._elected_at
        if elapsed < FIRST_GRANT_DELAY:
            return
        if self._hosts_with_older_tokens and elapsed < RECOVERY_TIME:
            return
        self._recovering = False
        recovered_at = now
        if elapsed >= RECOVERY_TIME:
            recovered_at = self._elected_at + RECOVERY_TIME
        for bucket in self._buckets.values():
            bucket.refilled_at = recovered_at

    def _remove_expired_processes(self, now: float) -> None:
        """Removes processes whose last grant has expired."""
        for key, process in list(self._processes.items()):
            if now - process.last_seen_at <= RECOVERY_TIME:
                continue
            del self._processes[key]
            for bucket in self._buckets.values():
                bucket.accounts.pop(key, None)


def _settle(bucket: _Bucket, account: _Account, closed: int, holding: Holding) -> None:
    """Settles closed grants, oldest first, down to what the host still holds."""
    while account.grants and not account.grants[0].tokens:
        account.grants.popleft()
    counted = 0
    for grant in account.grants:
        if grant.sequence <= closed:
            counted += grant.tokens
    settled = max(0, counted - holding.held)
    newly_spent = max(0, holding.spent - account.spent)
    account.spent += newly_spent
    remaining = settled
    for grant in account.grants:
        if grant.sequence > closed:
            continue
        taken = min(remaining, grant.tokens)
        grant.tokens -= taken
        remaining -= taken
    bucket.outstanding -= settled
    bucket.level += max(0, settled - newly_spent)
    _limit_level(bucket)


def _limit_level(bucket: _Bucket) -> None:
    room = max(0.0, bucket.limit.burst - bucket.outstanding)
    bucket.level = min(bucket.level, room)


def _grant_urgent(
    now: float, bucket: _Bucket, key: tuple[HostId, str], urgent: int
) -> tuple[int, int]:
    """Returns the number of urgent tokens granted and of those still missing.

    Hosts are served in the order of their requests: tokens are reserved for demands
    that were queued earlier.
    """
    for other, queued in list(bucket.queue.items()):
        if now - queued.requested_at > QUEUE_TIMEOUT:
            del bucket.queue[other]
    own = bucket.queue.pop(key, None)
    if urgent == 0:
        return 0, 0
    since = now if own is None else own.queued_at
    reserved = 0
    for queued in bucket.queue.values():
        if queued.queued_at <= since:
            reserved += queued.urgent
    granted = max(0, min(urgent, math.floor(bucket.level - reserved + EPSILON)))
    unmet = urgent - granted
    if unmet:
        since = now if granted else since
        bucket.queue[key] = _QueuedDemand(
            queued_at=since, requested_at=now, urgent=unmet
        )
    return granted, unmet


def _count_prefetch(bucket: _Bucket, wanted: int, urgent: int) -> int:
    """Returns the number of tokens to prefetch, an equal share for each active host."""
    now = bucket.refilled_at
    for key, requested_at in list(bucket.last_requests.items()):
        if now - requested_at > HOST_IDLE_TIMEOUT:
            del bucket.last_requests[key]
    reserved = sum(queued.urgent for queued in bucket.queue.values())
    free = bucket.level - urgent - reserved
    share = math.floor(free * PREFETCH_RATIO / max(1, len(bucket.last_requests)))
    return max(0, min(wanted, share))


def _estimate_retry_after(bucket: _Bucket) -> float:
    """Returns seconds until the level covers all queued urgent tokens."""
    missing = sum(queued.urgent for queued in bucket.queue.values()) - bucket.level
    return max(0.0, missing) * MAX_CLOCK_DRIFT / bucket.limit.rate
