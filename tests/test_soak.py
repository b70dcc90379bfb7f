"""Tests of the fault soak, and one short run of it."""

from types import SimpleNamespace

import pytest

from soak.plan import MOST_TIME, Role, plan_faults
from soak.run import check_gates, run_seed

SIZES = {Role.CONTROL: 3, Role.ENTRY: 4, Role.SERVER: 6}
SHORT_SEED = 3
SHORT_TIME = 9.0  # seconds


def test_seed_gives_the_whole_plan():
    """Guards against a failed seed that cannot be played again."""
    first = plan_faults(7, 30.0, SIZES)
    assert first == plan_faults(7, 30.0, SIZES)
    assert first != plan_faults(8, 30.0, SIZES)


@pytest.mark.parametrize("seed", range(30))
def test_plan_strikes_one_process_of_a_role_at_a_time(seed):
    """Guards against plans that take away more than the system must bear."""
    faults = plan_faults(seed, 40.0, SIZES)
    assert faults
    for role in Role:
        mine = [fault for fault in faults if fault.role is role]
        for before, after in zip(mine, mine[1:], strict=False):
            assert before.end < after.at
    assert all(0 < fault.seconds <= MOST_TIME for fault in faults)


def test_plans_have_overlapping_faults():
    """Guards against a soak that only ever plays one fault after the other."""
    faults = plan_faults(1, 60.0, SIZES)
    pairs = [
        (one, other)
        for one in faults
        for other in faults
        if one.at < other.at < one.end
    ]
    assert pairs


def test_send_under_an_older_gate_is_noticed():
    """Guards against a soak that does not look at the epochs of gates."""
    rows = [{"server": "s1", "gate_epoch": 5}, {"server": "s1", "gate_epoch": 4}]
    fleet = SimpleNamespace(read_executions=lambda: rows)
    with pytest.raises(AssertionError):
        check_gates(fleet)


def test_short_run_keeps_all_promises():
    """Guards against a promise that breaks under a few faults in series."""
    result = run_seed(SHORT_SEED, SHORT_TIME)
    assert result.broken == [], result
    assert sum(sample.ok for sample in result.samples) > 0
