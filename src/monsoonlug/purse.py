"""Token purse of an entry: admits requests with tokens from the authority.

The purse predicts the demand of each workspace from its last heartbeats, asks ahead
for what it expects to need, and gives back what it does not. When it runs dry it asks
at once and the requests wait for the answer. See `quota` for the proof of the bound.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from monsoonlug.ids import RequestId, Term, WorkspaceId
from monsoonlug.quota import (
    FIRST_GRANT_AFTER,
    MAX_DRIFT,
    TOKEN_LIFETIME,
    Demand,
    Holding,
)

ANSWER_TIMEOUT = 0.100  # seconds until an answer is given up
PATIENCE = 0.400  # seconds that a request may wait; 0.250 refused 1.2 per 10,000
ASK_INTERVAL = 0.010  # seconds between asks while the authority has no tokens
SPARE_INTERVAL = 0.030  # seconds between asks for tokens that no request waits for
AHEAD = 0.120  # seconds of demand that the purse asks ahead for
LOW_SHARE = 0.5  # of the target; below it the purse asks between heartbeats
DEMAND_TIME = 0.400  # seconds over which demand is averaged
START_DELAY = FIRST_GRANT_AFTER * MAX_DRIFT  # seconds without tokens after a start


@dataclass(frozen=True, slots=True, kw_only=True)
class TokenReport:
    """What goes into a `Heartbeat` or `TokenRequest`.

    Attributes:
        sequence: Number of the message; heartbeats and asks share one counter.
        closed: Answers up to this number are ignored from now on.
        dropped_term: No tokens of terms before this one are held or taken.
        holdings: Tokens spent and held, by workspace.
        wanted: Tokens wanted, by workspace.
    """

    sequence: int
    closed: int
    dropped_term: Term
    holdings: dict[WorkspaceId, Holding]
    wanted: dict[WorkspaceId, Demand]


@dataclass(frozen=True, slots=True, kw_only=True)
class Settled:
    """The outcome for a request that waited for a token.

    Attributes:
        retry_after: Seconds until a token can be had, if not admitted.
    """

    workspace: WorkspaceId
    request: RequestId
    admitted: bool
    retry_after: float = 0.0


@dataclass(slots=True, kw_only=True)
class _Waiter:
    request: RequestId
    deadline: float


@dataclass(slots=True, kw_only=True)
class _Lot:
    expires_at: float
    tokens: int
    spent: int = 0


@dataclass(slots=True, kw_only=True)
class _Pocket:
    """Tokens and demand of one workspace."""

    lots: dict[int, _Lot] = field(default_factory=dict)
    spent: int = 0
    waiters: deque[_Waiter] = field(default_factory=deque)
    demand: float = 0.0
    demand_at: float
    urgent_after: float = -math.inf
    spare_after: float = -math.inf

    def count_demand(self, now: float, tokens: int) -> None:
        """Averages demand in tokens per second, the newest weighing most."""
        elapsed = max(0.0, now - self.demand_at)
        self.demand *= math.exp(-elapsed / DEMAND_TIME)
        self.demand += tokens / DEMAND_TIME
        self.demand_at = now


@dataclass(slots=True, kw_only=True)
class _Ask:
    sent_at: float
    wanted: dict[WorkspaceId, Demand]


class TokenPurse:
    """Holds the tokens of one entry process.

    A new process takes no tokens for `START_DELAY`. Its predecessor may have told a new
    authority that this host takes no tokens of older terms, which the new process does
    not know; after that time no older authority can grant.

    Args:
        now: Start of the process, seconds.
    """

    def __init__(self, *, now: float):
        self.term = Term(0)
        self._ready_at = now + START_DELAY
        self._lease_until = -math.inf
        self._closed = -1
        self._asks: dict[int, _Ask] = {}
        self._last_sequence = -1
        self._pockets: dict[WorkspaceId, _Pocket] = {}
        self._touched: dict[WorkspaceId, None] = {}  # a set that keeps its order
        self._refused: list[Settled] = []

    def extend(self, lease_until: float) -> None:
        """Allows spending until the end of the session lease (seconds).

        A host may be forgotten once its session is over, and a new authority does not
        wait for the tokens of a forgotten host. `receive` must see the heartbeat's
        answer first, so that tokens of older terms are gone.
        """
        self._lease_until = lease_until

    def take(self, now: float, workspace: WorkspaceId) -> bool:
        """Spends a token for a request that has just arrived.

        Returns:
            Whether the request is admitted; otherwise it may `wait`.
        """
        pocket = self._open_pocket(now, workspace)
        pocket.count_demand(now, 1)
        return self._spend(now, pocket)

    def wait(
        self, now: float, workspace: WorkspaceId, request: RequestId, deadline: float
    ) -> None:
        """Lets a request wait for a token until its deadline (seconds)."""
        pocket = self._open_pocket(now, workspace)
        pocket.waiters.append(_Waiter(request=request, deadline=deadline))

    def cancel(self, workspace: WorkspaceId, request: RequestId) -> None:
        """Forgets a waiting request whose caller has gone."""
        pocket = self._pockets.get(workspace)
        if pocket is None:
            return
        kept = [item for item in pocket.waiters if item.request != request]
        pocket.waiters = deque(kept)

    def settle(self, now: float) -> list[Settled]:
        """Returns the outcomes of waiting requests that are known by now."""
        outcomes = self._refused
        self._refused = []
        for workspace in self._touched:
            pocket = self._pockets[workspace]
            while pocket.waiters:
                waiter = pocket.waiters[0]
                admitted = now < waiter.deadline and self._spend(now, pocket)
                if not admitted and now < waiter.deadline:
                    break
                pocket.waiters.popleft()
                outcomes.append(
                    Settled(
                        workspace=workspace, request=waiter.request, admitted=admitted
                    )
                )
        return outcomes

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a token."""
        return sum(len(pocket.waiters) for pocket in self._pockets.values())

    def ask_due(self, now: float) -> bool:
        """Whether to ask the authority now instead of at the next heartbeat."""
        if now < self._ready_at:
            return False
        for workspace in list(self._touched):
            pocket = self._pockets[workspace]
            demand = self._count_wanted(now, workspace, pocket)
            if demand.urgent and now >= pocket.urgent_after:
                return True
            low = demand.spare > _count_target(now, pocket) * LOW_SHARE
            if low and now >= pocket.spare_after:
                return True
            if not pocket.waiters:
                del self._touched[workspace]
        return False

    def wanted(self, now: float) -> dict[WorkspaceId, Demand]:
        """Returns the tokens wanted beyond those held and asked for."""
        wanted = {}
        if now < self._ready_at:
            return wanted
        for workspace, pocket in self._pockets.items():
            demand = self._count_wanted(now, workspace, pocket)
            if demand.urgent or demand.spare:
                wanted[workspace] = demand
        return wanted

    def report(self, now: float, sequence: int) -> TokenReport:
        """Prepares the next message, which must be sent at once.

        Args:
            now: Send time, seconds.
            sequence: Number of the message, larger than all before.
        """
        for number, ask in list(self._asks.items()):
            if now - ask.sent_at > ANSWER_TIMEOUT:
                del self._asks[number]
        self._closed = min(self._asks, default=self._last_sequence + 1) - 1
        holdings = {}
        for workspace, pocket in self._pockets.items():
            self._return_excess(now, pocket)
            holdings[workspace] = self._close_lots(pocket)
        wanted = self.wanted(now)
        self._asks[sequence] = _Ask(sent_at=now, wanted=wanted)
        self._last_sequence = sequence
        for workspace in wanted:
            self._pockets[workspace].spare_after = now + SPARE_INTERVAL
        return TokenReport(
            sequence=sequence,
            closed=self._closed,
            dropped_term=self.term,
            holdings=holdings,
            wanted=wanted,
        )

    def receive(
        self,
        now: float,
        sequence: int,
        term: Term,
        tokens: dict[WorkspaceId, int],
        refusals: dict[WorkspaceId, float],
    ) -> bool:
        """Takes in an answer.

        Args:
            now: Seconds.
            sequence: Number of the message that is answered.
            term: Term of the authority.
            tokens: Tokens granted, by workspace.
            refusals: Seconds until the missing tokens can be had, by workspace.

        Returns:
            Whether the answer counts: it is the first one to its message, not too
            late and of no older term.
        """
        if term < self.term:
            return False
        if term > self.term:
            self._drop_all(term)
        ask = self._asks.pop(sequence, None)
        if ask is None:
            return False
        expires_at = ask.sent_at + TOKEN_LIFETIME
        for workspace, count in tokens.items():
            if count <= 0:
                continue
            pocket = self._open_pocket(now, workspace)
            pocket.lots[sequence] = _Lot(expires_at=expires_at, tokens=count)
        for workspace, demand in ask.wanted.items():
            if tokens.get(workspace, 0) < demand.urgent:
                self._pockets[workspace].urgent_after = now + ASK_INTERVAL
        for workspace, retry_after in refusals.items():
            self._refuse(now, workspace, retry_after)
        return True

    def _refuse(self, now: float, workspace: WorkspaceId, retry_after: float) -> None:
        """Refuses the newest waiting requests that would wait too long."""
        pocket = self._open_pocket(now, workspace)
        if retry_after <= PATIENCE:
            return
        _drop_expired(now, pocket)
        waiting = max(0, len(pocket.waiters) - _count_tokens(pocket))
        kept = math.floor(waiting * PATIENCE / retry_after)
        for _ in range(waiting - kept):
            waiter = pocket.waiters.pop()
            self._refused.append(
                Settled(
                    workspace=workspace,
                    request=waiter.request,
                    admitted=False,
                    retry_after=retry_after,
                )
            )

    def _drop_all(self, term: Term) -> None:
        self.term = term
        for pocket in self._pockets.values():
            pocket.lots = {}
            pocket.spent = 0

    def _spend(self, now: float, pocket: _Pocket) -> bool:
        if now >= self._lease_until:
            return False
        _drop_expired(now, pocket)
        for lot in pocket.lots.values():
            if lot.tokens:
                lot.tokens -= 1
                lot.spent += 1
                return True
        return False

    def _open_pocket(self, now: float, workspace: WorkspaceId) -> _Pocket:
        self._touched[workspace] = None
        pocket = self._pockets.get(workspace)
        if pocket is None:
            pocket = _Pocket(demand_at=now)
            self._pockets[workspace] = pocket
        return pocket

    def _count_wanted(
        self, now: float, workspace: WorkspaceId, pocket: _Pocket
    ) -> Demand:
        _drop_expired(now, pocket)
        asked_urgent = 0
        asked_spare = 0
        for ask in self._asks.values():
            demand = ask.wanted.get(workspace)
            if demand is None or now - ask.sent_at > ANSWER_TIMEOUT:
                continue
            asked_urgent += demand.urgent
            asked_spare += demand.spare
        tokens = _count_tokens(pocket)
        urgent = max(0, len(pocket.waiters) - tokens - asked_urgent)
        target = _count_target(now, pocket)
        spare = max(0, target - tokens - asked_spare)
        return Demand(urgent=urgent, spare=spare)

    def _return_excess(self, now: float, pocket: _Pocket) -> None:
        """Drops tokens beyond the demand, the ones that expire first."""
        _drop_expired(now, pocket)
        excess = _count_tokens(pocket) - len(pocket.waiters)
        excess -= max(1, _count_target(now, pocket))
        for lot in pocket.lots.values():
            dropped = max(0, min(excess, lot.tokens))
            lot.tokens -= dropped
            excess -= dropped

    def _close_lots(self, pocket: _Pocket) -> Holding:
        """Reports closed lots only: spends of open ones come with their closing."""
        held = 0
        for number, lot in list(pocket.lots.items()):
            if number > self._closed:
                continue
            pocket.spent += lot.spent
            lot.spent = 0
            held += lot.tokens
            if not lot.tokens:
                del pocket.lots[number]
        return Holding(spent=pocket.spent, held=held)


def _count_tokens(pocket: _Pocket) -> int:
    return sum(lot.tokens for lot in pocket.lots.values())


def _count_target(now: float, pocket: _Pocket) -> int:
    pocket.count_demand(now, 0)
    return math.floor(pocket.demand * AHEAD + 0.5)


def _drop_expired(now: float, pocket: _Pocket) -> None:
    for lot in pocket.lots.values():
        if now >= lot.expires_at:
            lot.tokens = 0
