"""Tests of the fault soak, and one short run of it."""

from types import SimpleNamespace

import pytest

from soak.plan import MAX_DURATION, Role, plan_faults
from soak.run import check_gates, run_seed

SIZES = {Role.CONTROL: 3, Role.ENTRY: 4, Role.SERVER: 6}
SHORT_SEED = 3
SHORT_DURATION = 9.0  # seconds


def test_seed_determines_plan():
    """Guards against a failing seed that cannot be reproduced."""
    first = plan_faults(7, 30.0, SIZES)
    assert first == plan_faults(7, 30.0, SIZES)
    assert first != plan_faults(8, 30.0, SIZES)


@pytest.mark.parametrize("seed", range(30))
def test_plan_affects_one_process_of_a_role_at_a_time(seed):
    """Guards against plans with more simultaneous faults than must be tolerated."""
    faults = plan_faults(seed, 40.0, SIZES)
    assert faults
    for role in Role:
        in_role = [fault for fault in faults if fault.role is role]
        for before, after in zip(in_role, in_role[1:], strict=False):
            assert before.end < after.at
    assert all(0 < fault.seconds <= MAX_DURATION for fault in faults)


def test_plans_have_overlapping_faults():
    """Guards against plans in which no two faults overlap."""
    faults = plan_faults(1, 60.0, SIZES)
    pairs = [
        (one, other)
        for one in faults
        for other in faults
        if one.at < other.at < one.end
    ]
    assert pairs


def test_decreasing_gate_epoch_is_detected():
    """Guards against a soak that ignores gate epochs."""
    rows = [{"server": "s1", "gate_epoch": 5}, {"server": "s1", "gate_epoch": 4}]
    fleet = SimpleNamespace(read_executions=lambda: rows)
    with pytest.raises(AssertionError):
        check_gates(fleet)


def test_short_run_violates_no_invariant():
    """Guards against an invariant that is violated under a few faults."""
    result = run_seed(SHORT_SEED, SHORT_DURATION)
    assert result.violations == [], result
    assert sum(sample.ok for sample in result.samples) > 0
