"""State machine for the attempts of one request: retries, deadline and outcome."""

from dataclasses import dataclass, field
from enum import Enum
from random import Random

from monsoonlug.exceptions import (
    BackendFenced,
    BackendRefused,
    ConnectFailed,
    DeadlineExceeded,
    HostIsolated,
    LeaseOver,
    MonsoonlugError,
    NoOwner,
    NotGate,
    OutcomeUnknown,
    Overloaded,
    ProcessGone,
    Refusal,
    ServerCrashed,
    ServerDraining,
    ServerResting,
    ServerUnreachable,
    ShuttingDown,
    StreamClosed,
)
from monsoonlug.ids import Ran, RequestId

MAX_ATTEMPTS = 3  # at backend servers
MAX_REROUTE_DOUBLINGS = 3  # of the backoff; 20 reroutes then take more than 1 s
MAX_UNREACHED = 3  # gates that cannot reach the server, until the request is refused
MAX_REROUTES = 20  # attempts that fail before they reach a backend server
RETRY_RATIO = 0.1  # retries per request, on average
RETRY_BURST = 10.0  # retries that may be sent in a burst
INITIAL_BACKOFF = 0.010  # seconds; doubles with each attempt
# Share of a request's time that must be left to try another server after a refusal for
# load. A later attempt waits in a queue when the time ends, and its outcome is unknown.
MIN_RETRY_TIME_SHARE = 0.15
SHUTDOWN_RETRY_AFTER = 0.050  # seconds; the next connection goes to another host
# The gate could not connect to the backend server; another gate may be able to.
UNREACHED_ERRORS = frozenset((ConnectFailed, ProcessGone))
GATE_ERRORS = UNREACHED_ERRORS | {HostIsolated}
# The server does not run the request now; another server of the pool may.
SERVER_ERRORS = frozenset((BackendRefused, Overloaded, ServerDraining, ServerResting))
# A request that fails with one of these put no load on a backend server, so a retry
# does not count against the retry budget. When many keys move at once, the budget would
# otherwise run out and refuse requests that the new owner can serve.
REROUTABLE_ERRORS = GATE_ERRORS | {
    ServerResting,
    BackendFenced,
    LeaseOver,
    NoOwner,
    NotGate,
    StreamClosed,
}
RETRIABLE_ERRORS = REROUTABLE_ERRORS | {
    BackendRefused,
    ServerDraining,
    ShuttingDown,
}


class AttemptState(Enum):
    """State of the current attempt.

    From MAYBE_SENT on, the backend server may have received a part of the request. From
    FORWARDED on, the caller may have received a part of the response.
    """

    NOT_SENT = "not sent"
    MAYBE_SENT = "maybe sent"
    ANSWERED = "answered"
    FORWARDED = "forwarded"


@dataclass(frozen=True, slots=True, kw_only=True)
class Begin:
    """The request starts."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Sending:
    """The first byte of an attempt is about to be written."""

    attempt: int


@dataclass(frozen=True, slots=True, kw_only=True)
class BodyDiscarded:
    """A part of the request's body was discarded, so it cannot be sent again."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HeadArrived:
    """The status and headers of a response arrived.

    Attributes:
        length: Length of the body in bytes, or None if the headers do not state it.
    """

    attempt: int
    request_id: RequestId
    length: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class PartArrived:
    """A part of a response's body arrived.

    Attributes:
        offset: Bytes of the body before this part.
        size: Bytes of this part.
        last: Whether this part completes the response.
    """

    attempt: int
    request_id: RequestId
    offset: int
    size: int
    last: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFailed:
    """An attempt failed; the gate reported it or this host detected it.

    Attributes:
        ran: What is known about whether the request ran.
        retry_after: Seconds to wait before a retry, or None if unknown.
        has_alternative: Whether another host, or another server, may run the request.
    """

    attempt: int
    request_id: RequestId
    error: type[MonsoonlugError]
    ran: Ran
    retry_after: float | None = None
    has_alternative: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamLost:
    """The stream of an attempt was closed or could not be opened."""

    attempt: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerDisconnected:
    """The caller closed its connection."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Stopping:
    """This host stops before the response can arrive."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TimerFired:
    """The time that `Attempts.wake_at` returned may have been reached."""


Event = (
    Begin
    | Sending
    | BodyDiscarded
    | HeadArrived
    | PartArrived
    | AttemptFailed
    | StreamLost
    | CallerDisconnected
    | Stopping
    | TimerFired
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Send this attempt to a gate."""

    attempt: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Retry:
    """Wait until `at`, in seconds of the monotonic clock, and report `TimerFired`."""

    attempt: int
    at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Forward:
    """Forward the frame to the caller; the last one completes the response.

    The head goes out together with the first part of the body.
    """

    last: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Refuse the request, as nothing was forwarded, and cancel the attempt."""

    refusal: Refusal


@dataclass(frozen=True, slots=True, kw_only=True)
class Abort:
    """Abort the caller's connection, as the response is incomplete, and cancel."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Wait:
    """Do nothing."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Drop:
    """Drop the frame, as it is not part of the response to this request."""


Action = Send | Retry | Forward | Refuse | Abort | Wait | Drop


@dataclass(slots=True)
class DropCounts:
    """Numbers of dropped frames, by reason."""

    late: int = 0
    mismatched: int = 0
    duplicate: int = 0


@dataclass(slots=True)
class RetryBudget:
    """Token bucket that limits the retries of one host to a ratio of its requests.

    Attributes:
        ratio: Retries per request.
        burst: Maximum of `available`.
        available: Retries that may be sent now.
    """

    ratio: float = RETRY_RATIO
    burst: float = RETRY_BURST
    available: float = field(default=RETRY_BURST)

    def deposit(self) -> None:
        """Adds `ratio` retries for one request."""
        self.available = min(self.burst, self.available + self.ratio)

    def try_withdraw(self) -> bool:
        """Takes one retry; returns False if none is available."""
        if self.available < 1:
            return False
        self.available -= 1
        return True


class Attempts:
    """State machine of one request, from its first attempt to its outcome.

    Args:
        request_id: Id that frames of the response must carry.
        idempotent: Whether the request may run more than once.
        pooled: Whether any server of the pool can run the request.
        deadline: Time in seconds of the monotonic clock.
        budget: Retry budget of this host.
        drops: Dropped frames of this host.
        random: Source of retry jitter.
        max_attempts: Maximum number of attempts at backend servers.
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
        self._unreached = 0
        self._maybe_ran = False
        self._begun_at: float | None = None
        self._retry_at: float | None = None
        self._received = 0
        self._length: int | None = None
        self.attempt = 0
        self.state = AttemptState.NOT_SENT
        self.ended = False

    def decide(self, now: float, event: Event) -> Action:
        """Processes an event and returns the action to take.

        Raises:
            ValueError: If `Begin` is repeated, or `Sending` does not name the current
                attempt.
        """
        match event:
            case Begin():
                return self._handle_begin(now)
            case Sending():
                return self._handle_sending(event)
            case BodyDiscarded():
                self._replayable = False
                return Wait()
            case HeadArrived() | PartArrived() | AttemptFailed():
                return self._handle_frame(now, event)
            case StreamLost():
                return self._handle_stream_lost(now, event)
            case CallerDisconnected():
                return self._end(Abort())
            case Stopping():
                return self._handle_stop()
            case TimerFired():
                return self._handle_timer(now)

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run on a backend server."""
        return self._maybe_ran or self.state is not AttemptState.NOT_SENT

    def wake_at(self) -> float:
        """Returns when to report `TimerFired`, in seconds of the monotonic clock."""
        if self._retry_at is None:
            return self._deadline
        return min(self._retry_at, self._deadline)

    def _handle_begin(self, now: float) -> Action:
        if self._begun_at is not None:
            raise ValueError("Begin was reported twice for one request")
        self._begun_at = now
        self._budget.deposit()
        if now >= self._deadline:
            return self._refuse(DeadlineExceeded, None)
        self.attempt = 1
        return Send(attempt=1)

    def _handle_sending(self, event: Sending) -> Action:
        if self.ended or event.attempt != self.attempt or self._retry_at is not None:
            raise ValueError(
                f"Sending names attempt {event.attempt}; expected attempt "
                f"{self.attempt}, neither ended nor waiting for a retry"
            )
        if self.state is AttemptState.NOT_SENT:
            self.state = AttemptState.MAYBE_SENT
        return Wait()

    def _handle_frame(
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
            return self._handle_failure(now, event)
        if self.state is AttemptState.NOT_SENT:
            self._drops.mismatched += 1
            return Drop()
        if isinstance(event, HeadArrived):
            return self._handle_head(event)
        return self._handle_part(now, event)

    def _handle_head(self, event: HeadArrived) -> Action:
        if self.state is not AttemptState.MAYBE_SENT:
            self._drops.duplicate += 1
            return Drop()
        self.state = AttemptState.ANSWERED
        self._length = event.length
        return Forward(last=False)

    def _handle_part(self, now: float, event: PartArrived) -> Action:
        if self.state is AttemptState.MAYBE_SENT:
            self._drops.mismatched += 1
            return Drop()
        end = event.offset + event.size
        if end <= self._received and event.size and not event.last:
            self._drops.duplicate += 1
            return Drop()
        if event.offset != self._received:
            return self._handle_loss(now, OutcomeUnknown)
        if self._length is not None:
            is_complete = end == self._length
            if end > self._length or (event.last and not is_complete):
                return self._handle_loss(now, OutcomeUnknown)
        self._received = end
        self.state = AttemptState.FORWARDED
        if not event.last:
            return Forward(last=False)
        return self._end(Forward(last=True))

    def _handle_failure(self, now: float, event: AttemptFailed) -> Action:
        if self.state is AttemptState.FORWARDED:
            return self._end(Abort())
        if event.ran is not Ran.NOT_RUN or self.state is AttemptState.ANSWERED:
            self._maybe_ran = True
        retriable = event.error in RETRIABLE_ERRORS
        if event.error is Overloaded:
            retriable = self._pooled
        if event.error in (Overloaded, BackendRefused) and not self._has_time(now):
            retriable = False
        if event.error in UNREACHED_ERRORS:
            self._unreached += 1
            retriable = self._unreached < MAX_UNREACHED and event.has_alternative
        if event.error is HostIsolated:
            retriable = event.has_alternative
        if event.error is ServerResting:
            retriable = self._pooled and event.has_alternative
        if event.error in (OutcomeUnknown, ServerCrashed, ServerUnreachable):
            retriable = self._idempotent
        if retriable and self._is_safe_to_repeat():
            # Another gate may send the request at once.
            is_gate_specific = event.error in GATE_ERRORS or (
                self._pooled and event.error in SERVER_ERRORS
            )
            wait = 0.0 if is_gate_specific else event.retry_after
            is_rerouted = event.error in REROUTABLE_ERRORS and event.ran is Ran.NOT_RUN
            retry = self._retry(now, wait or 0.0, is_rerouted=is_rerouted)
            if retry is not None:
                return retry
        return self._refuse(event.error, event.retry_after)

    def _handle_stream_lost(self, now: float, event: StreamLost) -> Action:
        if self.ended or event.attempt != self.attempt or self._retry_at is not None:
            return Wait()
        return self._handle_loss(now, StreamClosed)

    def _handle_loss(self, now: float, error: type[MonsoonlugError]) -> Action:
        """Handles the loss of the response, or of the request on its way."""
        if self.state is AttemptState.FORWARDED:
            return self._end(Abort())
        if self.state is not AttemptState.NOT_SENT:
            self._maybe_ran = True
        if self._is_safe_to_repeat():
            retry = self._retry(now, 0.0, is_rerouted=False)
            if retry is not None:
                return retry
        return self._refuse(error, None)

    def _handle_stop(self) -> Action:
        if self.ended or self.state is AttemptState.FORWARDED:
            return Wait()
        if self.state is not AttemptState.NOT_SENT:
            self._maybe_ran = True
        retry_after = None if self._maybe_ran else SHUTDOWN_RETRY_AFTER
        return self._refuse(ShuttingDown, retry_after)

    def _handle_timer(self, now: float) -> Action:
        if self.ended:
            return Wait()
        if now >= self._deadline:
            if self.state is AttemptState.FORWARDED:
                return self._end(Abort())
            if self.state is not AttemptState.NOT_SENT:
                self._maybe_ran = True
            return self._refuse(DeadlineExceeded, None)
        if self._retry_at is None or now < self._retry_at:
            return Wait()
        self._retry_at = None
        return Send(attempt=self.attempt)

    def _is_safe_to_repeat(self) -> bool:
        return self._idempotent or not self._maybe_ran

    def _retry(self, now: float, min_wait: float, *, is_rerouted: bool) -> Retry | None:
        if not self._replayable or not self._has_attempts_left(is_rerouted):
            return None
        exponent = self.attempt - self._reroutes - 1
        if is_rerouted:
            exponent = min(self._reroutes, MAX_REROUTE_DOUBLINGS)
        backoff = INITIAL_BACKOFF * 2**exponent
        at = now + max(min_wait, backoff * (0.5 + self._random.random()))
        if at >= self._deadline:
            return None
        if is_rerouted:
            self._reroutes += 1
        elif not self._budget.try_withdraw():
            return None
        self.attempt += 1
        self.state = AttemptState.NOT_SENT
        self._received = 0
        self._length = None
        self._retry_at = at
        return Retry(attempt=self.attempt, at=at)

    def _has_time(self, now: float) -> bool:
        """Returns whether another server may still run the request in time."""
        total = self._deadline - self._begun_at
        return self._deadline - now >= MIN_RETRY_TIME_SHARE * total

    def _has_attempts_left(self, is_rerouted: bool) -> bool:
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
