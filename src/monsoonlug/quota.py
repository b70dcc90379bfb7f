"""Token authority of the control leader: rate and burst summed over all hosts.

Why at most ``burst + rate * w`` requests are admitted in any window of w seconds:

* Every token is in one of three places: the bucket's level, the tokens counted as
  outstanding, or gone. Refill stops at ``level + outstanding = burst``. At the start
  of a window at most ``burst`` tokens exist that can still be spent; the window adds
  at most ``rate * w``.
* Outstanding is never too low. A host reports states, not events: what it still holds
  of all answers up to a closed sequence number, and how much of these answers it has
  spent in total. It ignores answers up to that number that arrive later. The
  difference was neither spent nor can be, so it goes back to the level. Reports that
  are older than the newest one are ignored; lost ones are replaced by the next.
* The authority settles the oldest grants first, so what stays outstanding expires no
  earlier than what the host holds. A token expires at the host 0.400 s after the
  request was sent, which is before the grant, and counts as gone 0.414 s after the
  grant. With clocks that differ by 1% the host is first. A gone token never returns.
* A cut-off leader grants for less than 0.200 s after the start of its last confirmed
  round, and a new leader's election came after that start. The new authority has
  level 0 and no refill until either all hosts have dropped the tokens of older terms,
  and will not take any, or the last such token has expired. What it grants is the
  refill of a time in which no older token could be spent.
* Lower limits bound every window that starts 0.414 s after the change. Refill is
  divided by 1.01, so that the bound holds on every process's clock.

A host runs one entry process at a time (its address is bound); grants to an earlier
process stay outstanding until they expire.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from monsoonlug.exceptions import DamagedFrame
from monsoonlug.ids import HostId, Term, WorkspaceId
from monsoonlug.limits import Limit

MAX_DRIFT = 1.01  # ratio of the speeds of two clocks
TOKEN_LIFETIME = 0.400  # seconds after the send time, on the host's clock
GRANT_LIFETIME = TOKEN_LIFETIME * MAX_DRIFT + 0.010  # seconds after the grant
CONFIRMED_WITHIN = 0.200  # seconds since the start of the last confirmed round
FIRST_GRANT_AFTER = CONFIRMED_WITHIN * MAX_DRIFT  # seconds after the election
RECOVERY_TIME = FIRST_GRANT_AFTER + GRANT_LIFETIME  # seconds after the election
QUEUE_LIFETIME = 0.150  # seconds without a request until a host loses its turn
ACTIVE_WITHIN = 1.0  # seconds since the last request of an active host
SPARE_SHARE = 0.5  # of the level, for tokens that no request waits for
UNKNOWN_RETRY = 60.0  # seconds, for a workspace without limits
EPSILON = 1e-9  # tokens; float error of a level


@dataclass(frozen=True, slots=True, kw_only=True)
class Holding:
    """What a host says about its tokens of one workspace.

    Attributes:
        spent: Total of tokens spent of closed answers, in this term and process.
        held: Unspent tokens of closed answers.
    """

    spent: int
    held: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Tokens that a host wants.

    Attributes:
        urgent: Tokens that requests wait for.
        spare: Further tokens that the host expects to need soon.
    """

    urgent: int
    spare: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """Tokens granted to a host.

    Attributes:
        tokens: Number of tokens.
        retry_after: Seconds until the missing urgent tokens can be had; 0 if none.
    """

    tokens: int
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """No token can be granted now.

    Attributes:
        retry_after: Seconds until a token can be had.
    """

    retry_after: float


@dataclass(slots=True, kw_only=True)
class _Lot:
    sequence: int
    granted_at: float
    tokens: int


@dataclass(slots=True, kw_only=True)
class _Account:
    """Tokens of one workspace at one process."""

    lots: deque[_Lot] = field(default_factory=deque)
    spent: int = 0


@dataclass(slots=True, kw_only=True)
class _Process:
    """What the authority knows about one entry process."""

    sequence: int = -1
    closed: int = -1
    seen_at: float


@dataclass(slots=True, kw_only=True)
class _Turn:
    """A process that waits for urgent tokens."""

    since: float
    asked_at: float
    urgent: int


@dataclass(slots=True, kw_only=True)
class _Bucket:
    limit: Limit
    level: float = 0.0
    outstanding: int = 0
    filled_at: float
    lots: deque[_Lot] = field(default_factory=deque)
    accounts: dict[tuple[HostId, str], _Account] = field(default_factory=dict)
    turns: dict[tuple[HostId, str], _Turn] = field(default_factory=dict)
    asked: dict[tuple[HostId, str], float] = field(default_factory=dict)


def pack_holdings(holdings: dict[WorkspaceId, Holding]) -> dict:
    """Returns the field `holdings` of a message."""
    return {name: [item.spent, item.held] for name, item in holdings.items()}


def read_holdings(rows: dict) -> dict[WorkspaceId, Holding]:
    """Reads the field `holdings` of a message.

    Raises:
        DamagedFrame: If a row is not a pair of counts.
    """
    holdings = {}
    for workspace, row in rows.items():
        total, held = _read_pair(row)
        holdings[workspace] = Holding(spent=total, held=held)
    return holdings


def pack_demands(wanted: dict[WorkspaceId, Demand]) -> dict:
    """Returns the field `wanted` of a message."""
    return {name: [item.urgent, item.spare] for name, item in wanted.items()}


def read_demands(wanted: dict) -> dict[WorkspaceId, Demand]:
    """Reads the field `wanted` of a message.

    Raises:
        DamagedFrame: If a row is not a pair of counts.
    """
    demands = {}
    for workspace, row in wanted.items():
        urgent, spare = _read_pair(row)
        demands[workspace] = Demand(urgent=urgent, spare=spare)
    return demands


def _read_pair(row: object) -> tuple[int, int]:
    valid = isinstance(row, list | tuple) and len(row) == 2
    if not valid or not all(type(item) is int and item >= 0 for item in row):
        raise DamagedFrame(f"{row!r} is not a pair of counts")
    return row[0], row[1]


class TokenAuthority:
    """Grants tokens as long as this control replica leads."""

    def __init__(self):
        self._term = Term(0)
        self._began_at = -math.inf
        self._recovering = True
        self._undropped: set[HostId] = set()
        self._processes: dict[tuple[HostId, str], _Process] = {}
        self._buckets: dict[WorkspaceId, _Bucket] = {}

    def begin(self, now: float, term: Term, hosts: list[HostId]) -> None:
        """Starts a term after an election.

        Args:
            now: Seconds.
            term: The new term.
            hosts: Every registered host; each may hold tokens of older terms.
        """
        self._term = term
        self._began_at = now
        self._recovering = True
        self._undropped = set(hosts)
        self._processes = {}
        for workspace, bucket in self._buckets.items():
            self._buckets[workspace] = _Bucket(limit=bucket.limit, filled_at=now)

    def configure(self, now: float, limits: dict[WorkspaceId, Limit]) -> None:
        """Puts the catalogue's limits in force.

        A new workspace starts at level 0, as it may have been removed a moment ago.
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
                self._buckets[workspace] = _Bucket(limit=limit, filled_at=now)
                continue
            bucket.limit = limit
        for bucket in self._buckets.values():
            _cap(bucket)

    def report(
        self,
        now: float,
        host: HostId,
        boot: str,
        sequence: int,
        closed: int,
        dropped_term: Term,
        holdings: dict[WorkspaceId, Holding],
    ) -> bool:
        """Takes in what a host says about its tokens.

        Args:
            now: Seconds.
            host: The host.
            boot: Identity of its process.
            sequence: Sequence number of the message.
            closed: The host ignores answers up to this sequence number from now on.
            dropped_term: The host holds and takes no tokens of terms before this one.
            holdings: Tokens of this term.

        Returns:
            Whether the message is newer than all before; no tokens may be requested
            for one that is not.
        """
        self._recover(now)
        process = self._processes.get((host, boot))
        if process is None:
            self._forget_processes(now)
            process = _Process(seen_at=now)
            self._processes[host, boot] = process
            if self._recovering:
                self._undropped.add(host)
        if sequence <= process.sequence:
            return False
        process.sequence = sequence
        process.seen_at = now
        if dropped_term >= self._term:
            self._undropped.discard(host)
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

    def request(
        self,
        now: float,
        host: HostId,
        boot: str,
        sequence: int,
        workspace: WorkspaceId,
        demand: Demand,
        confirmed_at: float,
    ) -> Grant | Refusal:
        """Grants tokens for a message that `report` has taken in.

        Args:
            now: Seconds.
            host: The host.
            boot: Identity of its process.
            sequence: Sequence number of the message.
            workspace: The workspace.
            demand: Tokens wanted.
            confirmed_at: Start of the last round that a majority confirmed, seconds.

        Returns:
            A grant, possibly of no tokens while this authority may not grant yet: the
            requests wait then. A refusal if the workspace's tokens are used up.
        """
        self._recover(now)
        if not self._may_grant(now, confirmed_at):
            return Grant(tokens=0)
        process = self._processes.get((host, boot))
        bucket = self._buckets.get(workspace)
        if process is None or sequence <= process.closed:
            return Grant(tokens=0)
        if bucket is None or bucket.limit.burst == 0:
            return Refusal(retry_after=UNKNOWN_RETRY)
        self._advance(now, bucket)
        key = (host, boot)
        bucket.asked[key] = now
        urgent, unmet = _grant_urgent(now, bucket, key, demand.urgent)
        tokens = urgent
        if not unmet:
            tokens += _count_spare(bucket, demand.spare, urgent)
        if tokens:
            bucket.level -= tokens
            bucket.outstanding += tokens
            lot = _Lot(sequence=sequence, granted_at=now, tokens=tokens)
            bucket.lots.append(lot)
            bucket.accounts.setdefault(key, _Account()).lots.append(lot)
        retry_after = _estimate_wait(bucket) if unmet else 0.0
        if tokens == 0 and unmet:
            return Refusal(retry_after=retry_after)
        return Grant(tokens=tokens, retry_after=retry_after)

    def _may_grant(self, now: float, confirmed_at: float) -> bool:
        if now - confirmed_at >= CONFIRMED_WITHIN:
            return False
        if now < self._began_at + FIRST_GRANT_AFTER:
            return False
        return not self._recovering

    def _advance(self, now: float, bucket: _Bucket) -> None:
        """Refills a bucket and expires its grants, in the order of their times.

        Refill before a grant's expiry must not use the room that the expiry makes.
        """
        while bucket.lots and now - bucket.lots[0].granted_at >= GRANT_LIFETIME:
            lot = bucket.lots.popleft()
            self._refill(lot.granted_at + GRANT_LIFETIME, bucket)
            bucket.outstanding -= lot.tokens
            lot.tokens = 0
        self._refill(now, bucket)

    def _refill(self, now: float, bucket: _Bucket) -> None:
        elapsed = max(0.0, now - bucket.filled_at)
        bucket.filled_at = max(now, bucket.filled_at)
        if self._recovering:
            return
        bucket.level += elapsed * bucket.limit.rate / MAX_DRIFT
        _cap(bucket)

    def _recover(self, now: float) -> None:
        if not self._recovering:
            return
        since = now - self._began_at
        if since < FIRST_GRANT_AFTER:
            return
        if self._undropped and since < RECOVERY_TIME:
            return
        self._recovering = False
        ended_at = now
        if since >= RECOVERY_TIME:
            ended_at = self._began_at + RECOVERY_TIME
        for bucket in self._buckets.values():
            bucket.filled_at = ended_at

    def _forget_processes(self, now: float) -> None:
        """Forgets processes whose last grant has expired."""
        for key, process in list(self._processes.items()):
            if now - process.seen_at <= RECOVERY_TIME:
                continue
            del self._processes[key]
            for bucket in self._buckets.values():
                bucket.accounts.pop(key, None)


def _settle(bucket: _Bucket, account: _Account, closed: int, holding: Holding) -> None:
    """Settles the oldest grants up to what the host still holds of closed ones."""
    while account.lots and not account.lots[0].tokens:
        account.lots.popleft()
    counted = 0
    for lot in account.lots:
        if lot.sequence <= closed:
            counted += lot.tokens
    settled = max(0, counted - holding.held)
    newly_spent = max(0, holding.spent - account.spent)
    account.spent += newly_spent
    left = settled
    for lot in account.lots:
        if lot.sequence > closed:
            continue
        taken = min(left, lot.tokens)
        lot.tokens -= taken
        left -= taken
    bucket.outstanding -= settled
    bucket.level += max(0, settled - newly_spent)
    _cap(bucket)


def _cap(bucket: _Bucket) -> None:
    room = max(0.0, bucket.limit.burst - bucket.outstanding)
    bucket.level = min(bucket.level, room)


def _grant_urgent(
    now: float, bucket: _Bucket, key: tuple[HostId, str], urgent: int
) -> tuple[int, int]:
    """Returns the urgent tokens granted and the number still missing.

    Hosts take turns: tokens that a host asked for earlier are kept for it.
    """
    for other, turn in list(bucket.turns.items()):
        if now - turn.asked_at > QUEUE_LIFETIME:
            del bucket.turns[other]
    own = bucket.turns.pop(key, None)
    if urgent == 0:
        return 0, 0
    since = now if own is None else own.since
    kept = 0
    for turn in bucket.turns.values():
        if turn.since <= since:
            kept += turn.urgent
    granted = max(0, min(urgent, math.floor(bucket.level - kept + EPSILON)))
    unmet = urgent - granted
    if unmet:
        since = now if granted else since
        bucket.turns[key] = _Turn(since=since, asked_at=now, urgent=unmet)
    return granted, unmet


def _count_spare(bucket: _Bucket, wanted: int, urgent: int) -> int:
    """Returns a fair number of tokens that no request waits for yet."""
    now = bucket.filled_at
    for key, asked_at in list(bucket.asked.items()):
        if now - asked_at > ACTIVE_WITHIN:
            del bucket.asked[key]
    kept = sum(turn.urgent for turn in bucket.turns.values())
    free = bucket.level - urgent - kept
    share = math.floor(free * SPARE_SHARE / max(1, len(bucket.asked)))
    return max(0, min(wanted, share))


def _estimate_wait(bucket: _Bucket) -> float:
    """Returns seconds until the level covers every urgent token."""
    missing = sum(turn.urgent for turn in bucket.turns.values()) - bucket.level
    return max(0.0, missing) * MAX_DRIFT / bucket.limit.rate
