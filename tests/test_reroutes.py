"""Tests of attempts that fail before they reach a backend server."""

from random import Random

import pytest

from monsoonlug.dispatch import (
    AttemptFailed,
    Attempts,
    Begin,
    DropCounts,
    Refuse,
    Retry,
    RetryBudget,
    Sending,
    TimerFired,
)
from monsoonlug.exceptions import (
    BackendRefused,
    NotGate,
    ServerResting,
    StreamClosed,
)
from monsoonlug.ids import Ran

MAX_GATE_FAILOVER = 0.8  # seconds until a failed gate is replaced


def test_reroutes_spend_no_retry_budget():
    """Guards against a retry budget that refuses requests when many keys move."""
    budget = RetryBudget(available=0.0)
    attempts = Attempts(
        request_id="r",
        idempotent=False,
        pooled=False,
        deadline=60.0,
        budget=budget,
        drops=DropCounts(),
        random=Random(1),
    )
    attempts.decide(0.0, Begin())
    for _ in range(10):
        attempts.decide(0.0, Sending(attempt=attempts.attempt))
        action = attempts.decide(0.0, _build_failure(attempts))
        assert isinstance(action, Retry)
        attempts.decide(action.at, TimerFired())
    assert budget.available < 1


def test_reroutes_are_bounded():
    """Guards against a request that is rerouted between gates until its deadline."""
    attempts = Attempts(
        request_id="r",
        idempotent=True,
        pooled=True,
        deadline=60.0,
        budget=RetryBudget(),
        drops=DropCounts(),
        random=Random(1),
    )
    attempts.decide(0.0, Begin())
    now = 0.0
    for _ in range(100):
        attempts.decide(now, Sending(attempt=attempts.attempt))
        action = attempts.decide(now, _build_failure(attempts))
        if isinstance(action, Refuse):
            break
        now = action.at
        attempts.decide(now, TimerFired())
    assert isinstance(action, Refuse)
    assert action.refusal.ran is Ran.NOT_RUN
    assert now < 2.0


def test_lost_host_of_a_gate_spends_no_retry_budget():
    """Guards against refusals after a gate's host fails, until its lease expires."""
    budget = RetryBudget(available=0.0)
    attempts = Attempts(
        request_id="r",
        idempotent=False,
        pooled=False,
        deadline=60.0,
        budget=budget,
        drops=DropCounts(),
        random=Random(1),
    )
    attempts.decide(0.0, Begin())
    now = 0.0
    while now < MAX_GATE_FAILOVER:
        attempts.decide(now, Sending(attempt=attempts.attempt))
        action = attempts.decide(now, _build_failure(attempts, StreamClosed))
        assert isinstance(action, Retry)
        now = action.at
        attempts.decide(now, TimerFired())
    assert budget.available < 1


@pytest.mark.parametrize("error", [BackendRefused, ServerResting])
def test_other_server_is_tried_at_once_if_one_wants_rest(error):
    """Guards against requests that wait as long as one server of the pool rests."""
    attempts = Attempts(
        request_id="r",
        idempotent=False,
        pooled=True,
        deadline=1.5,
        budget=RetryBudget(),
        drops=DropCounts(),
        random=Random(1),
    )
    attempts.decide(0.0, Begin())
    attempts.decide(0.0, Sending(attempt=1))
    action = attempts.decide(0.0, _build_failure(attempts, error, retry_after=3.0))
    assert isinstance(action, Retry)
    assert action.at < 0.05


def test_request_is_refused_at_once_if_its_only_server_rests():
    """Guards against requests that are held though they cannot be served in time."""
    attempts = Attempts(
        request_id="r",
        idempotent=True,
        pooled=False,
        deadline=1.5,
        budget=RetryBudget(),
        drops=DropCounts(),
        random=Random(1),
    )
    attempts.decide(0.0, Begin())
    attempts.decide(0.0, Sending(attempt=1))
    failure = _build_failure(attempts, ServerResting, retry_after=1.0)
    action = attempts.decide(0.0, failure)
    assert isinstance(action, Refuse)
    assert action.refusal.retry_after == 1.0


def _build_failure(attempts, error=NotGate, retry_after=None):
    return AttemptFailed(
        attempt=attempts.attempt,
        request_id="r",
        error=error,
        ran=Ran.NOT_RUN,
        retry_after=retry_after,
    )
