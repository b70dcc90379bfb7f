"""Routing strategies: how an entry sends requests to servers, in virtual time."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from bench.simulated_fleet import Fleet
from monsoonlug.dispatch import (
    Action,
    AttemptFailed,
    Attempts,
    Begin,
    DropCounts,
    Forward,
    HeadArrived,
    PartArrived,
    Refuse,
    Retry,
    RetryBudget,
    Send,
    Sending,
    TimerFired,
)
from monsoonlug.exceptions import ConnectFailed, MonsoonlugError
from monsoonlug.fairness import NO_SLICE
from monsoonlug.ids import Ran, RequestId, WorkspaceId


class CallerOutcome(Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "not run"
    UNKNOWN = "outcome unknown"
    BROKEN = "connection broken with the entry"


@dataclass(slots=True, kw_only=True, eq=False)
class SimulatedRequest:
    """A request with its state; times are in virtual seconds.

    Attributes:
        entry: Host of the entry that received it.
        arrived_at: When the entry received it from the caller.
        slice: Slice of the routing key, or -1 on a pooled route.
        server: Server of the last attempt.
        error: Class name of the error with which it was refused, or an empty string.
        tried_servers: Pooled servers of all attempts.
        outcome: How it ended, or None while it is in progress.
        attempts: State machine of its attempts.
    """

    number: int
    entry: str
    workspace: WorkspaceId
    arrived_at: float
    deadline: float
    slice: int = NO_SLICE
    server: str = ""
    error: str = ""
    tried_servers: set[str] = field(default_factory=set)
    outcome: CallerOutcome | None = None
    ended_at: float = 0.0
    attempts: Attempts | None = None

    @property
    def latency(self) -> float:
        """Seconds from arrival to the end; at least to the deadline if unanswered."""
        if self.outcome is CallerOutcome.ANSWERED:
            return self.ended_at - self.arrived_at
        return max(self.ended_at, self.deadline) - self.arrived_at


class RoutingStrategy(ABC):
    """Base of the strategies by which an entry sends requests to backend servers.

    Args:
        fleet: Hosts and servers.
        random: Random number generator for choices.
    """

    def __init__(self, *, fleet: Fleet, random: Random):
        self.fleet = fleet
        self.clock = fleet.clock
        self.random = random
        self.requests: list[SimulatedRequest] = []
        self.drops = DropCounts()
        self.reported_loads: dict[str, float] = {}
        self._retry_budgets: dict[str, RetryBudget] = {}

    def submit(self, request: SimulatedRequest) -> None:
        """Starts a request that has passed admission control."""
        self.requests.append(request)
        budget = self._retry_budgets.setdefault(request.entry, RetryBudget())
        request.attempts = Attempts(
            request_id=RequestId(str(request.number)),
            idempotent=False,
            pooled=request.slice == NO_SLICE,
            deadline=request.deadline,
            budget=budget,
            drops=self.drops,
            random=self.random,
        )
        self._handle_event(request, Begin())
        delay = request.deadline - self.clock.now
        self.clock.call_later(delay, lambda: self._handle_event(request, TimerFired()))

    def record_loads(self, loads: dict[str, float]) -> None:
        """Stores the load that each server reports, from 0 to 1.

        `DirectStrategy` does not use it.
        """
        self.reported_loads = loads

    def handle_host_loss(self, host: str) -> None:
        """Ends the requests of a lost entry host, as its callers' connections break."""
        for request in self.requests:
            if request.entry == host and request.outcome is None:
                self._record_outcome(request, CallerOutcome.BROKEN)

    @abstractmethod
    def _start_attempt(self, request: SimulatedRequest, attempt: int) -> None:
        """Starts an attempt of a request."""

    def _handle_event(self, request: SimulatedRequest, event) -> None:
        if request.outcome is not None or not self.fleet.is_alive(request.entry):
            return
        self._perform(request, request.attempts.decide(self.clock.now, event))

    def _perform(self, request: SimulatedRequest, action: Action) -> None:
        match action:
            case Send():
                self._start_attempt(request, action.attempt)
            case Retry():
                delay = action.at - self.clock.now
                self.clock.call_later(
                    delay, lambda: self._handle_event(request, TimerFired())
                )
            case Forward(last=True):
                self._record_outcome(request, CallerOutcome.ANSWERED)
            case Refuse():
                request.error = action.refusal.error.__name__
                is_not_run = action.refusal.ran is Ran.NOT_RUN
                self._record_outcome(
                    request,
                    CallerOutcome.REFUSED if is_not_run else CallerOutcome.UNKNOWN,
                )

    def _record_outcome(
        self, request: SimulatedRequest, outcome: CallerOutcome
    ) -> None:
        request.outcome, request.ended_at = outcome, self.clock.now

    def _deliver_answer(self, request: SimulatedRequest, attempt: int) -> None:
        request_id = RequestId(str(request.number))
        self._handle_event(
            request, HeadArrived(attempt=attempt, request_id=request_id, length=0)
        )
        part = PartArrived(
            attempt=attempt, request_id=request_id, offset=0, size=0, last=True
        )
        self._handle_event(request, part)

    def _fail_attempt(
        self,
        request: SimulatedRequest,
        attempt: int,
        error: type[MonsoonlugError],
        retry_after: float | None = None,
    ) -> None:
        event = AttemptFailed(
            attempt=attempt,
            request_id=RequestId(str(request.number)),
            error=error,
            ran=Ran.NOT_RUN,
            retry_after=retry_after,
        )
        self._handle_event(request, event)


class DirectStrategy(RoutingStrategy):
    """Baseline: every entry sends directly to servers, without coordination."""

    def _start_attempt(self, request: SimulatedRequest, attempt: int) -> None:
        server = self._choose_server(request)
        request.server = server
        self._handle_event(request, Sending(attempt=attempt))
        answer = lambda: self.clock.call_later(
            self.fleet.delay, lambda: self._deliver_answer(request, attempt)
        )

        def receive() -> None:
            target = self.fleet.servers[server]
            if target.is_alive:
                target.receive(request.entry, answer)
                return
            refuse = lambda: self._fail_attempt(request, attempt, ConnectFailed)
            self.clock.call_later(self.fleet.delay, refuse)

        self.clock.call_later(self.fleet.delay, receive)

    def _choose_server(self, request: SimulatedRequest) -> str:
        if request.slice != NO_SLICE:
            return self.fleet.locate(request.entry, request.slice).server
        return self.random.choice(self.fleet.list_pooled_servers(request.entry))
