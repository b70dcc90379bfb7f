"""Tests of the state machine for the attempts of one request."""

from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from monsoonlug.dispatch import (
    MAX_ATTEMPTS,
    MAX_REROUTES,
    Abort,
    AttemptFailed,
    Attempts,
    Begin,
    BodyDiscarded,
    CallerDisconnected,
    Drop,
    DropCounts,
    Forward,
    HeadArrived,
    PartArrived,
    Refuse,
    Retry,
    RetryBudget,
    Send,
    Sending,
    Stopping,
    StreamLost,
    TimerFired,
    Wait,
)
from monsoonlug.exceptions import (
    BackendRefused,
    KeyRefused,
    NotGate,
    OutcomeUnknown,
    Overloaded,
    ShuttingDown,
    StreamClosed,
)
from monsoonlug.ids import Ran

BODY_SIZE = 30  # bytes of each response body


def make_attempts(**fields):
    values = {
        "request_id": "r1",
        "idempotent": False,
        "pooled": True,
        "deadline": 5.0,
        "budget": RetryBudget(),
        "drops": DropCounts(),
        "random": Random(1),
    }
    return Attempts(**(values | fields))


class AttemptsMachine(RuleBasedStateMachine):
    """Runs one request against a fake server over streams that lose frames.

    A request may reach the server at any time after its first byte was written, even
    after the router has ended the request.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.drops = DropCounts()
        self.attempts = None
        self.pending_attempt = None
        self.in_flight = []
        self.runs = 0
        self.reroutes = 0
        self.frames = []
        self.forwarded = 0
        self.has_forwarded = False
        self.has_caller_left = False
        self.result = None
        self.drop_count = 0

    @precondition(lambda self: self.attempts is None)
    @rule(idempotent=st.booleans(), burst=st.sampled_from([0.0, 1.0, 10.0]))
    def begin(self, idempotent, burst):
        self.idempotent = idempotent
        self.attempts = make_attempts(
            idempotent=idempotent,
            budget=RetryBudget(burst=burst, available=burst),
            drops=self.drops,
        )
        self.handle_action(self.attempts.decide(self.now, Begin()))

    def handle_action(self, action):
        if not isinstance(action, Wait | Drop):
            assert self.result is None, "an ended request took an action"
        if isinstance(action, Send):
            self.pending_attempt = action.attempt
        elif isinstance(action, Retry):
            # Attempts that a gate refused put no load on a server.
            assert action.attempt - self.reroutes <= MAX_ATTEMPTS
            assert self.reroutes <= MAX_REROUTES
            assert self.idempotent or not (self.runs or self.in_flight)
        elif isinstance(action, Refuse | Abort):
            is_answer_owed = not (self.has_forwarded or self.has_caller_left)
            assert isinstance(action, Refuse) or not is_answer_owed
            self.result = action
        elif isinstance(action, Drop):
            self.drop_count += 1

    @precondition(lambda self: self.pending_attempt)
    @rule(
        outcome=st.sampled_from(
            ["refused", "lost", "refused by gate", "unsure", "sent"]
        )
    )
    def send(self, outcome):
        attempt, self.pending_attempt = self.pending_attempt, None
        if self.result is not None:
            return
        if outcome == "refused":
            self.handle_action(
                self.attempts.decide(self.now, StreamLost(attempt=attempt))
            )
            return
        self.attempts.decide(self.now, Sending(attempt=attempt))
        if outcome == "refused by gate":
            self.reroutes += 1
            self.fail(attempt, NotGate, Ran.NOT_RUN)
            return
        self.in_flight.append(attempt)
        if outcome == "lost":
            self.handle_action(
                self.attempts.decide(self.now, StreamLost(attempt=attempt))
            )
        elif outcome == "unsure":
            self.fail(attempt, NotGate, Ran.UNKNOWN)

    def fail(self, attempt, error, ran):
        event = AttemptFailed(attempt=attempt, request_id="r1", error=error, ran=ran)
        self.handle_action(self.attempts.decide(self.now, event))

    @precondition(lambda self: self.in_flight)
    @rule(
        cut=st.integers(0, BODY_SIZE), part_count=st.integers(1, 4), lost=st.booleans()
    )
    def run_on_server(self, cut, part_count, lost):
        """The server runs one request, and its response may be cut off."""
        attempt = self.in_flight.pop(0)
        self.runs += 1
        answer = [HeadArrived(attempt=attempt, request_id="r1", length=BODY_SIZE)]
        offset = 0
        for number in range(part_count):
            last = number == part_count - 1
            size = BODY_SIZE - offset if last else BODY_SIZE // part_count
            if lost and offset + size > cut:
                answer.append(StreamLost(attempt=attempt))
                break
            answer.append(
                PartArrived(
                    attempt=attempt,
                    request_id="r1",
                    offset=offset,
                    size=size,
                    last=last,
                )
            )
            offset += size
        self.frames += answer

    @precondition(lambda self: self.frames)
    @rule(
        data=st.data(), fault=st.sampled_from(["", "", "duplicate", "gap", "foreign"])
    )
    def deliver_frame(self, data, fault):
        position = 0
        if fault == "gap":
            position = data.draw(st.integers(0, len(self.frames) - 1))
        frame = self.frames[position]
        if fault != "duplicate":
            del self.frames[: position + 1]
        if fault == "foreign":
            frame = HeadArrived(attempt=frame.attempt, request_id="other", length=1)
        action = self.attempts.decide(self.now, frame)
        if fault == "foreign":
            assert isinstance(action, Drop)
        if isinstance(action, Forward) and isinstance(frame, PartArrived):
            assert frame.offset == self.forwarded, "the response has a gap"
            self.forwarded += frame.size
            self.has_forwarded = True
        self.handle_action(action)
        if action == Forward(last=True):
            assert self.forwarded == BODY_SIZE, (
                "a truncated response was forwarded as complete"
            )
            self.result = action

    @precondition(lambda self: self.attempts)
    @rule(step=st.sampled_from([0.0, 0.02, 0.1, 5.0]))
    def advance_clock(self, step):
        self.now += step
        self.handle_action(self.attempts.decide(self.now, TimerFired()))

    @precondition(lambda self: self.attempts)
    @rule()
    def stop(self):
        if self.result is None:
            self.handle_action(self.attempts.decide(self.now, Stopping()))

    @precondition(lambda self: self.attempts)
    @rule(event=st.sampled_from([CallerDisconnected(), BodyDiscarded()]))
    def disconnect_or_discard(self, event):
        if self.result is None:
            self.has_caller_left |= isinstance(event, CallerDisconnected)
            self.handle_action(self.attempts.decide(self.now, event))

    def teardown(self):
        total = self.drops.late + self.drops.mismatched + self.drops.duplicate
        assert total == self.drop_count
        possible_runs = self.runs + len(self.in_flight)
        if self.attempts and not self.idempotent:
            assert possible_runs <= 1, "a request that is not idempotent can run twice"
        if isinstance(self.result, Refuse):
            refusal = self.result.refusal
            assert refusal.ran is not Ran.NOT_RUN or not possible_runs
            assert (refusal.error is OutcomeUnknown) == (refusal.ran is Ran.UNKNOWN)


TestAttemptsMachine = AttemptsMachine.TestCase
TestAttemptsMachine.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=300,
    stateful_step_count=25,
)


def test_machine_allows_a_reroute_after_two_lost_attempts():
    """Guards against a bound of the machine that counts reroutes as attempts."""
    machine = AttemptsMachine()
    machine.begin(idempotent=False, burst=10.0)
    machine.send("refused")
    machine.advance_clock(0.02)
    machine.send("refused")
    machine.advance_clock(0.1)
    machine.send("refused by gate")
    assert machine.attempts.attempt == MAX_ATTEMPTS + 1
    machine.teardown()


def start(attempts, *, sent=True):
    assert attempts.decide(0.0, Begin()) == Send(attempt=1)
    if sent:
        attempts.decide(0.0, Sending(attempt=1))
    return attempts


def test_refusal_after_lost_attempt_is_not_reported_as_not_run():
    """Guards against reporting "not run" when an earlier attempt may have run."""
    attempts = start(make_attempts(idempotent=True))
    retry = attempts.decide(0.1, StreamLost(attempt=1))
    assert isinstance(retry, Retry)
    assert attempts.decide(retry.at, TimerFired()) == Send(attempt=2)
    action = attempts.decide(
        retry.at,
        AttemptFailed(attempt=2, request_id="r1", error=KeyRefused, ran=Ran.NOT_RUN),
    )
    assert action.refusal.ran is Ran.UNKNOWN
    assert action.refusal.error is OutcomeUnknown


@pytest.mark.parametrize("sent", [False, True])
def test_refusal_at_deadline_reports_whether_bytes_were_sent(sent):
    """Guards against reporting "not run" once a byte may have reached the server."""
    action = start(make_attempts(), sent=sent).decide(5.0, TimerFired())
    assert action.refusal.ran is (Ran.UNKNOWN if sent else Ran.NOT_RUN)


def test_retries_stay_within_the_budget():
    """Guards against retries that multiply the load of a failing server."""
    budget = RetryBudget(burst=2.0, available=2.0)
    retries = 0
    for _ in range(100):
        attempts = start(make_attempts(budget=budget), sent=False)
        action = attempts.decide(0.0, StreamLost(attempt=1))
        while isinstance(action, Retry):
            retries += 1
            attempts.decide(action.at, TimerFired())
            action = attempts.decide(action.at, StreamLost(attempt=action.attempt))
        assert action.refusal.error is StreamClosed
    assert retries <= 2 + 0.1 * 100


def test_streamed_request_is_not_sent_again_without_its_body():
    """Guards against a retry that sends only a part of the body."""
    attempts = start(make_attempts(idempotent=True))
    attempts.decide(0.0, BodyDiscarded())
    assert isinstance(attempts.decide(0.0, StreamLost(attempt=1)), Refuse)


def test_late_answer_of_an_earlier_attempt_is_dropped():
    """Guards against forwarding a response of an earlier attempt."""
    attempts = start(make_attempts(idempotent=True))
    retry = attempts.decide(0.0, StreamLost(attempt=1))
    attempts.decide(retry.at, TimerFired())
    attempts.decide(retry.at, Sending(attempt=2))
    late = HeadArrived(attempt=1, request_id="r1")
    assert attempts.decide(retry.at, late) == Drop()
    head = HeadArrived(attempt=2, request_id="r1")
    assert attempts.decide(retry.at, head) == Forward(last=False)
    assert attempts.decide(retry.at, head) == Drop()


def test_answer_of_another_request_is_dropped():
    """Guards against a response that reaches the wrong caller."""
    drops = DropCounts()
    attempts = start(make_attempts(drops=drops))
    head = HeadArrived(attempt=1, request_id="r2")
    assert attempts.decide(0.0, head) == Drop()
    assert drops.mismatched == 1


def make_part(offset, size, *, last=False, attempt=1):
    return PartArrived(
        attempt=attempt, request_id="r1", offset=offset, size=size, last=last
    )


@pytest.mark.parametrize("is_forwarded", [False, True])
@pytest.mark.parametrize(
    ("offset", "size", "last"), [(0, 7, True), (0, 9, False), (1, 7, False)]
)
def test_answer_with_a_wrong_length_is_not_completed(is_forwarded, offset, size, last):
    """Guards against forwarding a truncated response as complete."""
    attempts = start(make_attempts())
    attempts.decide(0.0, HeadArrived(attempt=1, request_id="r1", length=10))
    if is_forwarded:
        part = make_part(0, 2)
        assert attempts.decide(0.0, part) == Forward(last=False)
    else:
        size += 2
    part = make_part(offset + 2 * is_forwarded, size, last=last)
    action = attempts.decide(0.0, part)
    if is_forwarded:
        assert action == Abort()
    else:
        assert action.refusal.error is OutcomeUnknown


LOSSES = (
    StreamLost(attempt=1),
    AttemptFailed(attempt=1, request_id="r1", error=OutcomeUnknown, ran=Ran.UNKNOWN),
    make_part(3, 1),
)


@pytest.mark.parametrize("loss", [*LOSSES, TimerFired()])
@pytest.mark.parametrize("is_forwarded", [False, True])
def test_caller_without_a_byte_of_the_answer_gets_one(loss, is_forwarded):
    """Guards against a connection that is closed though an answer is owed.

    Only the head of the response had come from the gate, or a part of its body, too.
    """
    attempts = start(make_attempts())
    attempts.decide(0.0, HeadArrived(attempt=1, request_id="r1", length=10))
    if is_forwarded:
        attempts.decide(0.0, make_part(0, 2))
    action = attempts.decide(5.0 if loss == TimerFired() else 1.0, loss)
    if is_forwarded:
        assert action == Abort()
        return
    assert action.refusal.error is OutcomeUnknown
    assert action.refusal.ran is Ran.UNKNOWN


@pytest.mark.parametrize("loss", LOSSES)
def test_answer_lost_after_its_head_is_requested_again(loss):
    """Guards against a failure of a request that may run once more."""
    attempts = start(make_attempts(idempotent=True))
    attempts.decide(0.0, HeadArrived(attempt=1, request_id="r1", length=10))
    retry = attempts.decide(0.1, loss)
    assert isinstance(retry, Retry)
    attempts.decide(retry.at, TimerFired())
    attempts.decide(retry.at, Sending(attempt=2))
    head = HeadArrived(attempt=2, request_id="r1", length=4)
    assert attempts.decide(retry.at, head) == Forward(last=False)
    part = make_part(0, 4, last=True, attempt=2)
    assert attempts.decide(retry.at, part) == Forward(last=True)


@pytest.mark.parametrize("idempotent", [False, True])
@pytest.mark.parametrize(
    ("state", "error"),
    [("waiting", ShuttingDown), ("sent", OutcomeUnknown), ("answered", OutcomeUnknown)],
)
def test_stopping_host_answers_at_once(state, error, idempotent):
    """Guards against a connection that is closed at the stop of its host."""
    attempts = start(make_attempts(idempotent=idempotent), sent=state != "waiting")
    if state == "answered":
        attempts.decide(0.0, HeadArrived(attempt=1, request_id="r1", length=10))
    assert attempts.decide(1.0, Stopping()).refusal.error is error


def test_stopping_host_leaves_a_response_that_has_begun():
    """Guards against a response that is cut before its time."""
    attempts = start(make_attempts())
    attempts.decide(0.0, HeadArrived(attempt=1, request_id="r1", length=10))
    attempts.decide(0.0, make_part(0, 2))
    assert attempts.decide(1.0, Stopping()) == Wait()
    assert attempts.decide(1.0, make_part(2, 8, last=True)) == Forward(last=True)


@pytest.mark.parametrize("error", [Overloaded, BackendRefused])
@pytest.mark.parametrize(("share", "is_retried"), [(0.8, True), (0.9, False)])
def test_refusal_for_load_near_the_deadline_is_passed_on(error, share, is_retried):
    """Guards against 502 for requests that no server has run.

    A last attempt waited in another queue at the deadline, so that callers could not
    send requests again that may run only once.
    """
    attempts = make_attempts(idempotent=False, pooled=True, deadline=3.0)
    start(attempts)
    event = AttemptFailed(
        attempt=1, request_id="r1", error=error, ran=Ran.NOT_RUN, retry_after=0.1
    )
    action = attempts.decide(share * 3.0, event)
    if is_retried:
        assert isinstance(action, Retry)
        return
    assert action.refusal.error is error
    assert action.refusal.ran is Ran.NOT_RUN
    assert action.refusal.retry_after == 0.1
