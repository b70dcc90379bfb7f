"""Tests of the fault soak, and one short run of it."""

from collections import Counter
from types import SimpleNamespace

import pytest

from soak.announced import (
    Group,
    Kind,
    check_cut_entries,
    check_leaving,
    check_rests,
    check_runs,
    plan_announced_faults,
    run_announced_seed,
)
from soak.plan import MAX_DURATION, Role, plan_faults
from soak.run import check_gates, run_seed

SIZES = {Role.CONTROL: 3, Role.ENTRY: 4, Role.SERVER: 6}
SHORT_SEED = 3
SHORT_DURATION = 9.0  # seconds
SHORT_ANNOUNCED_SEED = 34
SHORT_ANNOUNCED_DURATION = 15.0  # seconds


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


@pytest.mark.parametrize("seed", range(30))
def test_announced_plan_strikes_one_target_of_a_group_at_a_time(seed):
    """Guards against plans that strike the majority of the control group."""
    faults = plan_announced_faults(seed, 40.0)
    assert faults == plan_announced_faults(seed, 40.0)
    for group in Group:
        in_group = [fault for fault in faults if fault.group is group]
        for before, after in zip(in_group, in_group[1:], strict=False):
            assert before.end < after.at


def build_contact(at, *, request_id="id-1", rest=0.0, is_leaving=False):
    return SimpleNamespace(
        at=at,
        born=1,
        request_id=request_id,
        peer="127.0.0.9",
        rest=rest,
        is_leaving=is_leaving,
    )


def build_observed_fleet(*contacts):
    server = SimpleNamespace(contacts=list(contacts), service_time=0.01)
    entry = SimpleNamespace(name="entry-1", ip="127.0.0.9")
    return SimpleNamespace(servers=[server], entries=[entry])


CALM = SimpleNamespace(is_disturbed=lambda name, since, until: False)


def test_second_run_and_run_after_a_refusal_are_detected():
    """Guards against a soak that does not count runs."""
    fleet = build_observed_fleet(build_contact(1.0), build_contact(2.0))
    outcome = SimpleNamespace(request_id="id-1", is_unsafe=True, status=503)
    load = SimpleNamespace(outcomes=[outcome])
    assert len(check_runs(fleet, load)) == 2


def test_requests_in_a_rest_are_detected():
    """Guards against a soak that does not see requests at resting servers."""
    contacts = [build_contact(0.0, rest=3.0)]
    contacts += [build_contact(1.0 + number) for number in range(2)]
    assert check_rests(build_observed_fleet(*contacts), CALM) == []
    contacts += [build_contact(2.5)]
    assert check_rests(build_observed_fleet(*contacts), CALM)


def test_request_at_a_leaving_server_is_detected():
    """Guards against a soak that does not see requests at leaving servers."""
    fleet = build_observed_fleet(
        build_contact(0.0, is_leaving=True), build_contact(2.5, request_id="id-2")
    )
    late = SimpleNamespace(request_id="id-2", at=2.4)
    early = SimpleNamespace(request_id="id-2", at=1.9)
    assert check_leaving(fleet, SimpleNamespace(outcomes=[late]), CALM)
    assert check_leaving(fleet, SimpleNamespace(outcomes=[early]), CALM) == []


@pytest.mark.parametrize(("served", "is_violated"), [(95, False), (80, True)])
def test_worse_service_at_cut_entries_is_detected(served, is_violated):
    """Guards against a soak that does not compare cut entries with the others."""
    counts = {
        "entry-1": Counter({200: served, 503: 100 - served}),
        "entry-2": Counter({200: 100}),
    }
    window = SimpleNamespace(since=0.0, until=4.0, cut=["entry-1"])
    injector = SimpleNamespace(windows=[window], is_disturbed=CALM.is_disturbed)
    load = SimpleNamespace(count=lambda since, until: counts)
    assert bool(check_cut_entries(load, injector)) is is_violated


def test_short_announced_run_violates_no_invariant():
    """Guards against rules that a few faults of an announced fleet break."""
    faults = plan_announced_faults(SHORT_ANNOUNCED_SEED, SHORT_ANNOUNCED_DURATION)
    kinds = {fault.kind for fault in faults}
    assert {Kind.CUT, Kind.REST, Kind.LEAVE} <= kinds, kinds
    result = run_announced_seed(SHORT_ANNOUNCED_SEED, SHORT_ANNOUNCED_DURATION)
    assert result.violations == [], result
