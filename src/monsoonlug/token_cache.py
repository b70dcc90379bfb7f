"""An entry's local cache of rate-limit tokens granted by the token authority.

The cache averages the demand of each workspace, prefetches the tokens that it expects
to need, and returns those that it does not need. If it has none left, it requests more
at once and the callers' requests wait for the response. See `quota` for the proof that
the limits hold.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from monsoonlug.ids import RequestId, Term, WorkspaceId
from monsoonlug.quota import (
    FIRST_GRANT_DELAY,
    MAX_CLOCK_DRIFT,
    TOKEN_LIFETIME,
    Demand,
    Holding,
)

RESPONSE_TIMEOUT = 0.100  # seconds after which a response is ignored
MAX_TOKEN_WAIT = 0.400  # seconds; 0.250 refused 1.2 of 10,000 requests
URGENT_REQUEST_INTERVAL = 0.010  # seconds, while the authority has too few tokens
PREFETCH_INTERVAL = 0.030  # seconds between requests that only prefetch
PREFETCH_TIME = 0.120  # seconds of demand for which tokens are prefetched
MAX_MISSING_RATIO = 0.5  # of the target; if more is missing, a request is due
DEMAND_DECAY_TIME = 0.400  # seconds; time constant of the average of demand
START_DELAY = FIRST_GRANT_DELAY * MAX_CLOCK_DRIFT  # seconds; see `TokenCache`


@dataclass(frozen=True, slots=True, kw_only=True)
class TokenReport:
    """The token fields of a `Heartbeat` or `TokenRequest` message.

    Attributes:
        sequence: Sequence number of the message; both types share one counter.
        closed: Further responses up to this number are ignored.
        dropped_term: Tokens of earlier terms are neither held nor accepted.
        holdings: Tokens spent and held, by workspace.
        wanted: Requested tokens, by workspace.
    """

    sequence: int
    closed: int
    dropped_term: Term
    holdings: dict[WorkspaceId, Holding]
    wanted: dict[WorkspaceId, Demand]


@dataclass(frozen=True, slots=True, kw_only=True)
class TokenOutcome:
    """Outcome of a request that waited for a token.

    Attributes:
        retry_after: Seconds until a token is available; 0 if the request was admitted
            or its deadline passed.
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
class _HeldGrant:
    expires_at: float
    tokens: int
    spent: int = 0


@dataclass(slots=True, kw_only=True)
class _WorkspaceTokens:
    """Tokens and demand of one workspace."""

    grants: dict[int, _HeldGrant] = field(default_factory=dict)
    spent: int = 0
    waiters: deque[_Waiter] = field(default_factory=deque)
    demand: float = 0.0
    demand_updated_at: float
    next_urgent_at: float = -math.inf
    next_prefetch_at: float = -math.inf

    def update_demand(self, now: float, tokens: int) -> None:
        """Updates the exponential average of demand, in tokens per second."""
        elapsed = max(0.0, now - self.demand_updated_at)
        self.demand *= math.exp(-elapsed / DEMAND_DECAY_TIME)
        self.demand += tokens / DEMAND_DECAY_TIME
        self.demand_updated_at = now


@dataclass(slots=True, kw_only=True)
class _PendingRequest:
    sent_at: float
    wanted: dict[WorkspaceId, Demand]


class TokenCache:
    """Holds the tokens of one entry process.

    A new process requests no tokens for `START_DELAY`. Its predecessor may have
    reported to a new authority that this host accepts no tokens of older terms, and the
    new process does not know that term. After the delay, no older authority can grant
    tokens.

    Args:
        now: Start time of the process, in seconds.
    """

    def __init__(self, *, now: float):
        self.term = Term(0)
        self._start_at = now + START_DELAY
        self._lease_end = -math.inf
        self._closed = -1
        self._pending: dict[int, _PendingRequest] = {}
        self._last_sequence = -1
        self._workspaces: dict[WorkspaceId, _WorkspaceTokens] = {}
        self._active: dict[WorkspaceId, None] = {}  # an ordered set
        self._refused: list[TokenOutcome] = []

    def set_lease_end(self, lease_end: float) -> None:
        """Sets the end of the session lease, in seconds, which ends the use of tokens.

        A host may be removed once its session is over, and a new authority does not
        wait for the tokens of a removed host. `receive` must process the response to
        the heartbeat first, as it discards tokens of older terms.
        """
        self._lease_end = lease_end

    def try_acquire(self, now: float, workspace: WorkspaceId) -> bool:
        """Spends a token for a new request and returns whether there was one.

        Without a token, the request may wait; see `enqueue`.
        """
        state = self._get_state(now, workspace)
        state.update_demand(now, 1)
        return self._spend(now, state)

    def enqueue(
        self, now: float, workspace: WorkspaceId, request: RequestId, deadline: float
    ) -> None:
        """Queues a request for a token until its deadline, in seconds."""
        state = self._get_state(now, workspace)
        state.waiters.append(_Waiter(request=request, deadline=deadline))

    def cancel(self, workspace: WorkspaceId, request: RequestId) -> None:
        """Removes a waiting request whose caller disconnected."""
        state = self._workspaces.get(workspace)
        if state is None:
            return
        kept = [item for item in state.waiters if item.request != request]
        state.waiters = deque(kept)

    def pop_outcomes(self, now: float) -> list[TokenOutcome]:
        """Removes the waiting requests that are decided and returns their outcomes."""
        outcomes = self._refused
        self._refused = []
        for workspace in self._active:
            state = self._workspaces[workspace]
            while state.waiters:
                waiter = state.waiters[0]
                admitted = now < waiter.deadline and self._spend(now, state)
                if not admitted and now < waiter.deadline:
                    break
                state.waiters.popleft()
                outcomes.append(
                    TokenOutcome(
                        workspace=workspace, request=waiter.request, admitted=admitted
                    )
                )
        return outcomes

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a token."""
        return sum(len(state.waiters) for state in self._workspaces.values())

    def is_request_due(self, now: float) -> bool:
        """Whether to request tokens now instead of with the next heartbeat."""
        if now < self._start_at:
            return False
        for workspace in list(self._active):
            state = self._workspaces[workspace]
            demand = self._count_wanted(now, workspace, state)
            if demand.urgent and now >= state.next_urgent_at:
                return True
            low = demand.prefetch > _count_target(now, state) * MAX_MISSING_RATIO
            if low and now >= state.next_prefetch_at:
                return True
            if not state.waiters:
                del self._active[workspace]
        return False

    def list_demands(self, now: float) -> dict[WorkspaceId, Demand]:
        """Returns the tokens needed beyond those held and requested, by workspace."""
        wanted = {}
        if now < self._start_at:
            return wanted
        for workspace, state in self._workspaces.items():
            demand = self._count_wanted(now, workspace, state)
            if demand.urgent or demand.prefetch:
                wanted[workspace] = demand
        return wanted

    def build_report(self, now: float, sequence: int) -> TokenReport:
        """Builds the token fields of the next message, which must be sent at once.

        Args:
            now: Send time, in seconds.
            sequence: Sequence number of the message, above all earlier ones.
        """
        for number, pending in list(self._pending.items()):
            if now - pending.sent_at > RESPONSE_TIMEOUT:
                del self._pending[number]
        self._closed = min(self._pending, default=self._last_sequence + 1) - 1
        holdings = {}
        for workspace, state in self._workspaces.items():
            self._discard_excess(now, state)
            holdings[workspace] = self._build_holding(state)
        wanted = self.list_demands(now)
        self._pending[sequence] = _PendingRequest(sent_at=now, wanted=wanted)
        self._last_sequence = sequence
        for workspace in wanted:
            self._workspaces[workspace].next_prefetch_at = now + PREFETCH_INTERVAL
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
        """Processes a response of the authority.

        Args:
            now: Seconds.
            sequence: Sequence number of the message that it responds to.
            term: Term of the authority.
            tokens: Tokens granted, by workspace.
            refusals: Seconds until the missing tokens are available, by workspace.

        Returns:
            Whether the response was accepted: it is the first one to its message,
            within the time-out, and not of an older term.
        """
        if term < self.term:
            return False
        if term > self.term:
            self._discard_all(term)
        pending = self._pending.pop(sequence, None)
        if pending is None:
            return False
        expires_at = pending.sent_at + TOKEN_LIFETIME
        for workspace, count in tokens.items():
            if count <= 0:
                continue
            state = self._get_state(now, workspace)
            state.grants[sequence] = _HeldGrant(expires_at=expires_at, tokens=count)
        for workspace, demand in pending.wanted.items():
            if tokens.get(workspace, 0) < demand.urgent:
                self._workspaces[workspace].next_urgent_at = (
                    now + URGENT_REQUEST_INTERVAL
                )
        for workspace, retry_after in refusals.items():
            self._refuse(now, workspace, retry_after)
        return True

    def _refuse(self, now: float, workspace: WorkspaceId, retry_after: float) -> None:
        """Refuses the newest waiting requests that would exceed `MAX_TOKEN_WAIT`."""
        state = self._get_state(now, workspace)
        if retry_after <= MAX_TOKEN_WAIT:
            return
        _discard_expired(now, state)
        waiting = max(0, len(state.waiters) - _count_tokens(state))
        kept = math.floor(waiting * MAX_TOKEN_WAIT / retry_after)
        for _ in range(waiting - kept):
            waiter = state.waiters.pop()
            self._refused.append(
                TokenOutcome(
                    workspace=workspace,
                    request=waiter.request,
                    admitted=False,
                    retry_after=retry_after,
                )
            )

    def _discard_all(self, term: Term) -> None:
        self.term = term
        for state in self._workspaces.values():
            state.grants = {}
            state.spent = 0

    def _spend(self, now: float, state: _WorkspaceTokens) -> bool:
        if now >= self._lease_end:
            return False
        _discard_expired(now, state)
        for grant in state.grants.values():
            if grant.tokens:
                grant.tokens -= 1
                grant.spent += 1
                return True
        return False

    def _get_state(self, now: float, workspace: WorkspaceId) -> _WorkspaceTokens:
        self._active[workspace] = None
        state = self._workspaces.get(workspace)
        if state is None:
            state = _WorkspaceTokens(demand_updated_at=now)
            self._workspaces[workspace] = state
        return state

    def _count_wanted(
        self, now: float, workspace: WorkspaceId, state: _WorkspaceTokens
    ) -> Demand:
        _discard_expired(now, state)
        requested_urgent = 0
        requested_prefetch = 0
        for pending in self._pending.values():
            demand = pending.wanted.get(workspace)
            if demand is None or now - pending.sent_at > RESPONSE_TIMEOUT:
                continue
            requested_urgent += demand.urgent
            requested_prefetch += demand.prefetch
        tokens = _count_tokens(state)
        urgent = max(0, len(state.waiters) - tokens - requested_urgent)
        target = _count_target(now, state)
        prefetch = max(0, target - tokens - requested_prefetch)
        return Demand(urgent=urgent, prefetch=prefetch)

    def _discard_excess(self, now: float, state: _WorkspaceTokens) -> None:
        """Discards tokens beyond the demand, starting with those that expire first."""
        _discard_expired(now, state)
        excess = _count_tokens(state) - len(state.waiters)
        excess -= max(1, _count_target(now, state))
        for grant in state.grants.values():
            dropped = max(0, min(excess, grant.tokens))
            grant.tokens -= dropped
            excess -= dropped

    def _build_holding(self, state: _WorkspaceTokens) -> Holding:
        """Counts tokens of closed grants; those of open grants are reported later."""
        held = 0
        for number, grant in list(state.grants.items()):
            if number > self._closed:
                continue
            state.spent += grant.spent
            grant.spent = 0
            held += grant.tokens
            if not grant.tokens:
                del state.grants[number]
        return Holding(spent=state.spent, held=held)


def _count_tokens(state: _WorkspaceTokens) -> int:
    return sum(grant.tokens for grant in state.grants.values())


def _count_target(now: float, state: _WorkspaceTokens) -> int:
    state.update_demand(now, 0)
    return math.floor(state.demand * PREFETCH_TIME + 0.5)


def _discard_expired(now: float, state: _WorkspaceTokens) -> None:
    for grant in state.grants.values():
        if now >= grant.expires_at:
            grant.tokens = 0
