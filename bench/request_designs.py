"""The way of requests from an entry to a backend server, in virtual time."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from bench.request_fleet import Fleet
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


class End(Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "not run"
    UNKNOWN = "outcome unknown"
    BROKEN = "connection broken with the entry"


@dataclass(slots=True, kw_only=True, eq=False)
class LoadRequest:
    """One request of the load; times in virtual seconds.

    Attributes:
        slice: Slice of the routing key, or -1 on a pooled route.
        arrived: When the caller sent it.
        server: Server that it was sent to last.
        error: Name of the error that ended it.
        tried: Pooled servers that it was sent to.
    """

    number: int
    entry: str
    workspace: WorkspaceId
    arrived: float
    deadline: float
    slice: int = NO_SLICE
    server: str = ""
    error: str = ""
    tried: set[str] = field(default_factory=set)
    end: End | None = None
    ended: float = 0.0
    attempts: Attempts | None = None

    @property
    def latency(self) -> float:
        """Seconds from arrival to end; at least to the deadline if not answered."""
        if self.end is End.ANSWERED:
            return self.ended - self.arrived
        return max(self.ended, self.deadline) - self.arrived


class Design(ABC):
    """One way from an entry to a backend server.

    Args:
        fleet: Hosts and servers.
        random: Source of choices.
    """

    def __init__(self, *, fleet: Fleet, random: Random):
        self.fleet = fleet
        self.clock = fleet.clock
        self.random = random
        self.requests: list[LoadRequest] = []
        self.drops = DropCounts()
        self.reported: dict[str, float] = {}
        self._budgets: dict[str, RetryBudget] = {}

    def submit(self, request: LoadRequest) -> None:
        """Takes a request that has its token."""
        self.requests.append(request)
        budget = self._budgets.setdefault(request.entry, RetryBudget())
        request.attempts = Attempts(
            request_id=RequestId(str(request.number)),
            idempotent=False,
            pooled=request.slice == NO_SLICE,
            deadline=request.deadline,
            budget=budget,
            drops=self.drops,
            random=self.random,
        )
        self._decide(request, Begin())
        wait = request.deadline - self.clock.now
        self.clock.after(wait, lambda: self._decide(request, TimerFired()))

    def take_reports(self, loads: dict[str, float]) -> None:
        """Takes the load that servers report, from 0 to 1; a design may ignore it."""
        self.reported = loads

    def lose_host(self, host: str) -> None:
        """Takes the loss of an entry host; its callers' connections break."""
        for request in self.requests:
            if request.entry == host and request.end is None:
                self._close(request, End.BROKEN)

    @abstractmethod
    def _send(self, request: LoadRequest, attempt: int) -> None:
        """Starts an attempt."""

    def _decide(self, request: LoadRequest, event) -> None:
        if request.end is not None or not self.fleet.is_alive(request.entry):
            return
        self._act(request, request.attempts.decide(self.clock.now, event))

    def _act(self, request: LoadRequest, action: Action) -> None:
        match action:
            case Send():
                self._send(request, action.attempt)
            case Retry():
                wait = action.at - self.clock.now
                self.clock.after(wait, lambda: self._decide(request, TimerFired()))
            case Forward(last=True):
                self._close(request, End.ANSWERED)
            case Refuse():
                request.error = action.refusal.error.__name__
                is_known = action.refusal.ran is Ran.NOT_RUN
                self._close(request, End.REFUSED if is_known else End.UNKNOWN)

    def _close(self, request: LoadRequest, end: End) -> None:
        request.end, request.ended = end, self.clock.now

    def _answer(self, request: LoadRequest, attempt: int) -> None:
        name = RequestId(str(request.number))
        self._decide(request, HeadArrived(attempt=attempt, request_id=name, length=0))
        part = PartArrived(
            attempt=attempt, request_id=name, offset=0, size=0, last=True
        )
        self._decide(request, part)

    def _fail(
        self,
        request: LoadRequest,
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
        self._decide(request, event)


class DirectDesign(Design):
    """The baseline: every entry sends directly and decides alone."""

    def _send(self, request: LoadRequest, attempt: int) -> None:
        server = self._choose(request)
        request.server = server
        self._decide(request, Sending(attempt=attempt))
        answer = lambda: self.clock.after(
            self.fleet.delay, lambda: self._answer(request, attempt)
        )

        def receive() -> None:
            target = self.fleet.servers[server]
            if target.is_alive:
                target.receive(request.entry, answer)
                return
            refuse = lambda: self._fail(request, attempt, ConnectFailed)
            self.clock.after(self.fleet.delay, refuse)

        self.clock.after(self.fleet.delay, receive)

    def _choose(self, request: LoadRequest) -> str:
        if request.slice != NO_SLICE:
            return self.fleet.locate(request.entry, request.slice).server
        return self.random.choice(self.fleet.list_pooled(request.entry))
