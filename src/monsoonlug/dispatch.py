"""The attempts of one request: retries, deadlines and outcome."""

from dataclasses import dataclass, field
from enum import Enum
from random import Random

from monsoonlug.exceptions import (
    BackendFenced,
    BackendRefused,
    ConnectFailed,
    DeadlineExceeded,
    LeaseOver,
    MonsoonlugError,
    NoOwner,
    NotGate,
    OutcomeUnknown,
    Overloaded,
    ProcessGone,
    Refusal,
    ServerDraining,
    ShuttingDown,
    StreamClosed,
)
from monsoonlug.ids import Ran, RequestId

MAX_ATTEMPTS = 3  # on backend servers
MOST_REROUTE_DOUBLINGS = 3  # of the backoff; then 20 reroutes last over 1 s
MAX_REROUTES = 20  # attempts that ended before any backend server was reached
RETRY_SHARE = 0.1  # retries per request, over time
RETRY_RESERVE = 10.0  # retries that may come at once
FIRST_BACKOFF = 0.010  # seconds; doubles with each attempt
# These put no load on a backend server, so they spend nothing of the retry budget. In
# a mass move the budget would otherwise refuse requests that their new owner can serve.
REROUTED = frozenset(
    (BackendFenced, LeaseOver, NoOwner, NotGate, ProcessGone, StreamClosed)
)
RETRIABLE = REROUTED | {
    BackendRefused,
    ConnectFailed,
    ServerDraining,
    ShuttingDown,
}


class AttemptState(Enum):
    """What is known about the present attempt.

    From MAYBE_SENT on, one byte may have reached the backend server.
    """

    NOT_SENT = "not sent"
    MAYBE_SENT = "maybe sent"
    ANSWERED = "answered"


@dataclass(frozen=True, slots=True, kw_only=True)
class Begin:
    """Asks for the first attempt."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Sending:
    """The first byte of an attempt is about to be written."""

    attempt: int


@dataclass(frozen=True, slots=True, kw_only=True)
class BodyDropped:
    """A part of the request's body is no longer held, so it cannot be sent again."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HeadArrived:
    """Status and headers of an answer arrived.

    Attributes:
        length: Bytes that the body must have, or None if the headers do not say.
    """

    attempt: int
    request_id: RequestId
    length: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class PartArrived:
    """A part of an answer's body arrived.

    Attributes:
        offset: Bytes of the body before this part.
        size: Bytes of this part.
        last: Whether the answer is whole after this part.
    """

    attempt: int
    request_id: RequestId
    offset: int
    size: int
    last: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFailed:
    """The peer ended an attempt without a whole answer.

    Attributes:
        ran: What the peer knows about whether the request ran.
        retry_after: Seconds, or None if unknown.
    """

    attempt: int
    request_id: RequestId
    error: type[MonsoonlugError]
    ran: Ran
    retry_after: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamLost:
    """The connection of an attempt ended, or could not be opened."""

    attempt: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLeft:
    """The caller closed its connection."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TimePassed:
    """The time that `Attempts.wake_at` named may have come."""


Event = (
    Begin
    | Sending
    | BodyDropped
    | HeadArrived
    | PartArrived
    | AttemptFailed
    | StreamLost
    | CallerLeft
    | TimePassed
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Start this attempt."""

    attempt: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Retry:
    """Wait until `at`, in seconds of the monotonic clock; then report `TimePassed`."""

    attempt: int
    at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """Pass the frame on to the caller; after the last one, the answer is whole."""

    last: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Refuse the request; its head has not been passed on. Cancel what runs."""

    refusal: Refusal


@dataclass(frozen=True, slots=True, kw_only=True)
class Abort:
    """Abort the caller's connection, as its answer was cut off. Cancel what runs."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Wait:
    """Do nothing."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Drop:
    """Drop the frame, as it is not part of this request's answer."""


Action = Send | Retry | Answer | Refuse | Abort | Wait | Drop


@dataclass(slots=True)
class DropCounts:
    """How many frames were dropped, by reason."""

    late: int = 0
    mismatched: int = 0
    duplicate: int = 0


@dataclass(slots=True)
class RetryBudget:
    """Bounds the retries of one host to a share of its requests.

    Attributes:
        share: Retries earned by each request.
        reserve: Retries that may come at once.
    """

    share: float = RETRY_SHARE
    reserve: float = RETRY_RESERVE
    level: float = field(default=RETRY_RESERVE)

    def earn(self) -> None:
        """Counts one request."""
        self.level = min(self.reserve, self.level + self.share)

    def spend(self) -> bool:
        """Takes one retry; returns False if there is none left."""
        if self.level < 1:
            return False
        self.level -= 1
        return True


class Attempts:
    """State machine of one request, from its first attempt to its outcome.

    Args:
        request_id: Id that the frames of the answer carry.
        idempotent: Whether the route lets a request run more than once.
        pooled: Whether another server can run the request.
        deadline: Seconds of the monotonic clock.
        budget: Retry budget of this host.
        drops: Counters of this host.
        random: Source of the jitter of retries.
        max_attempts: Backend servers to which the request may be sent.
    """

    def __init__(
        self,
        *,
        request_id: RequestId,
        idempotent: bool,
        pooled: bool,
        deadline: float,
        budget: RetryBudget,
        drops: DropCounts,
        random: Random,
        max_attempts: int = MAX_ATTEMPTS,
    ):
        self._max_attempts = max_attempts
        self._request_id = request_id
        self._idempotent = idempotent
        self._pooled = pooled
        self._deadline = deadline
        self._budget = budget
        self._drops = drops
        self._random = random
        self._replayable = True
        self._reroutes = 0
        self._maybe_ran = False
        self._begun = False
        self._retry_at: float | None = None
        self._received = 0
        self._length: int | None = None
        self.attempt = 0
        self.state = AttemptState.NOT_SENT
        self.ended = False

    def decide(self, now: float, event: Event) -> Action:
        """Takes an event and returns what to do.

        Raises:
            ValueError: If an attempt that is not the present one is being sent.
        """
        match event:
            case Begin():
                return self._begin(now)
            case Sending():
                return self._mark_sending(event)
            case BodyDropped():
                self._replayable = False
                return Wait()
            case HeadArrived() | PartArrived() | AttemptFailed():
                return self._take_frame(now, event)
            case StreamLost():
                return self._lose_stream(now, event)
            case CallerLeft():
                return self._end(Abort())
            case TimePassed():
                return self._check_time(now)

    @property
    def may_have_run(self) -> bool:
        """Whether some attempt may have run on a backend server."""
        return self._maybe_ran or self.state is not AttemptState.NOT_SENT

    def wake_at(self) -> float:
        """Time at which to report `TimePassed`, in seconds of the monotonic clock."""
        if self._retry_at is None:
            return self._deadline
        return min(self._retry_at, self._deadline)

    def _begin(self, now: float) -> Action:
        if self._begun:
            raise ValueError("the request has already begun")
        self._begun = True
        self._budget.earn()
        if now >= self._deadline:
            return self._refuse(DeadlineExceeded, None)
        self.attempt = 1
        return Send(attempt=1)

    def _mark_sending(self, event: Sending) -> Action:
        if self.ended or event.attempt != self.attempt or self._retry_at is not None:
            raise ValueError(f"attempt {event.attempt} is not the present one")
        if self.state is AttemptState.NOT_SENT:
            self.state = AttemptState.MAYBE_SENT
        return Wait()

    def _take_frame(
        self, now: float, event: HeadArrived | PartArrived | AttemptFailed
    ) -> Action:
        if event.request_id != self._request_id:
            self._drops.mismatched += 1
            return Drop()
        late = self.ended or event.attempt != self.attempt
        if late or self._retry_at is not None:
            self._drops.late += 1
            return Drop()
        if isinstance(event, AttemptFailed):
            return self._take_failure(now, event)
        if self.state is AttemptState.NOT_SENT:
            self._drops.mismatched += 1
            return Drop()
        if isinstance(event, HeadArrived):
            return self._take_head(event)
        return self._take_part(event)

    def _take_head(self, event: HeadArrived) -> Action:
        if self.state is AttemptState.ANSWERED:
            self._drops.duplicate += 1
            return Drop()
        self.state = AttemptState.ANSWERED
        self._length = event.length
        return Answer(last=False)

    def _take_part(self, event: PartArrived) -> Action:
        if self.state is not AttemptState.ANSWERED:
            self._drops.mismatched += 1
            return Drop()
        end = event.offset + event.size
        if end <= self._received and event.size and not event.last:
            self._drops.duplicate += 1
            return Drop()
        if event.offset != self._received:
            return self._end(Abort())
        self._received = end
        if self._length is not None and end > self._length:
            return self._end(Abort())
        if not event.last:
            return Answer(last=False)
        if self._length is not None and end != self._length:
            return self._end(Abort())
        return self._end(Answer(last=True))

    def _take_failure(self, now: float, event: AttemptFailed) -> Action:
        if self.state is AttemptState.ANSWERED:
            return self._end(Abort())
        if event.ran is not Ran.NOT_RUN:
            self._maybe_ran = True
        retriable = event.error in RETRIABLE
        if event.error is Overloaded:
            retriable = self._pooled
        if event.error is OutcomeUnknown:
            retriable = self._idempotent
        if retriable and self._may_repeat():
            wait = 0.0 if event.error is Overloaded else event.retry_after
            is_rerouted = event.error in REROUTED and event.ran is Ran.NOT_RUN
            retry = self._retry(now, wait or 0.0, is_rerouted=is_rerouted)
            if retry is not None:
                return retry
        return self._refuse(event.error, event.retry_after)

    def _lose_stream(self, now: float, event: StreamLost) -> Action:
        if self.ended or event.attempt != self.attempt or self._retry_at is not None:
            return Wait()
        if self.state is AttemptState.ANSWERED:
            return self._end(Abort())
        if self.state is AttemptState.MAYBE_SENT:
            self._maybe_ran = True
        if self._may_repeat():
            retry = self._retry(now, 0.0, is_rerouted=False)
            if retry is not None:
                return retry
        return self._refuse(StreamClosed, None)

    def _check_time(self, now: float) -> Action:
        if self.ended:
            return Wait()
        if now >= self._deadline:
            if self.state is AttemptState.ANSWERED:
                return self._end(Abort())
            if self.state is AttemptState.MAYBE_SENT:
                self._maybe_ran = True
            return self._refuse(DeadlineExceeded, None)
        if self._retry_at is None or now < self._retry_at:
            return Wait()
        self._retry_at = None
        return Send(attempt=self.attempt)

    def _may_repeat(self) -> bool:
        return self._idempotent or not self._maybe_ran

    def _retry(
        self, now: float, least_wait: float, *, is_rerouted: bool
    ) -> Retry | None:
        if not self._replayable or not self._has_attempts(is_rerouted):
            return None
        exponent = self.attempt - self._reroutes - 1
        if is_rerouted:
            exponent = min(self._reroutes, MOST_REROUTE_DOUBLINGS)
        backoff = FIRST_BACKOFF * 2**exponent
        at = now + max(least_wait, backoff * (0.5 + self._random.random()))
        if at >= self._deadline:
            return None
        if is_rerouted:
            self._reroutes += 1
        elif not self._budget.spend():
            return None
        self.attempt += 1
        self.state = AttemptState.NOT_SENT
        self._retry_at = at
        return Retry(attempt=self.attempt, at=at)

    def _has_attempts(self, is_rerouted: bool) -> bool:
        if is_rerouted:
            return self._reroutes < MAX_REROUTES
        return self.attempt - self._reroutes < self._max_attempts

    def _refuse(
        self, error: type[MonsoonlugError], retry_after: float | None
    ) -> Action:
        ran = Ran.UNKNOWN if self._maybe_ran else Ran.NOT_RUN
        if self._maybe_ran:
            error = OutcomeUnknown
        refusal = Refusal(error=error, ran=ran, retry_after=retry_after)
        return self._end(Refuse(refusal=refusal))

    def _end(self, action: Action) -> Action:
        self.ended = True
        self._retry_at = None
        return action
