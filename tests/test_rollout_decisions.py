"""Tests of the decisions on rollouts, with simulated responses in virtual time."""

import math

import pytest

from monsoonlug.canary_shares import CanaryLoad, CanaryPlan
from monsoonlug.exceptions import DamagedFrame
from monsoonlug.rollout_messages import RolloutReport, RolloutState
from monsoonlug.rollout_reports import ReportTotals, check_report
from monsoonlug.rollout_reports import ResponseCounts as Counts
from monsoonlug.version_comparison import Verdict, Window, compare_versions
from tests.rollout_simulation import LIMITS, ORDERED_AT, Scenario, Simulation, simulate

SEEDS = range(6)
SMALL = {"rate": 200.0, "servers": 20}
KEYED = SMALL | {"is_keyed": True, "duration": 14.0}
SOUND = {
    "plain": {},
    "cold": {"cold_seconds": 3.0},
    "failures of all versions": {"base_failures": 0.04},
    "small pool": SMALL,
    "keyed": KEYED,
    "keyed and cold": KEYED | {"cold_seconds": 3.0},
    "little traffic": {"rate": 30.0, "servers": 20},
    "hardly any traffic": {"rate": 5.0, "servers": 20},
    "late servers": {"warm_at": 6.0},
    "leader lost": {"lost_leader_at": 5.0},
    "leader lost, counts late": {"lost_leader_at": 5.0, "counts_delay": 1.5},
    "leader lost in the last steps": {"lost_leader_at": 10.0},
    "leader lost at the end": {"lost_leader_at": 10.6},
    "leader lost in a burst": SMALL | {"lost_leader_at": 4.7},
}
BAD = {
    "fails 0.15": {"fail_share": 0.15},
    "fails 0.3": {"fail_share": 0.3},
    "fails 0.6": {"fail_share": 0.6},
    "fails 0.15 beside other failures": {"fail_share": 0.15, "base_failures": 0.04},
    "3 times as slow": {"slowdown": 3.0},
    "8 times as slow": {"slowdown": 8.0},
    "fails after 2 s": {"fail_share": 0.15, "bad_from": 3.0},
    "fails after 4 s": {"fail_share": 0.3, "bad_from": 5.0},
    "slow after 4 s": {"slowdown": 3.0, "bad_from": 5.0},
    "fails under load": {"fail_share": 0.15, "bad_above": 0.6},
    "slow under load": {"slowdown": 4.0, "bad_above": 0.6},
    "fails on one route": {"fail_share": 0.3, "bad_route": "list"},
    "slow on one route": {"slowdown": 3.0, "bad_route": "read"},
    "fails in a small pool": SMALL | {"fail_share": 0.15},
    "slow in a small pool": SMALL | {"slowdown": 4.0},
    "3 times as slow in a small pool": SMALL | {"slowdown": 3.0},
    "3 times as slow in a keyed pool": KEYED | {"slowdown": 3.0},
    "fails 0.15 on one route": {"fail_share": 0.15, "bad_route": "list"},
    "fails 0.15 with little traffic": {"rate": 30.0, "servers": 20, "fail_share": 0.15},
    "fails in a keyed pool": KEYED | {"fail_share": 0.15},
    "fails with little traffic": {"rate": 30.0, "servers": 20, "fail_share": 0.4},
    "leader lost": {"fail_share": 0.15, "lost_leader_at": 3.0},
    "leader lost in a burst": SMALL | {"fail_share": 0.3, "lost_leader_at": 4.7},
    "leader lost, counts late": {
        "fail_share": 0.3,
        "lost_leader_at": 2.0,
        "counts_delay": 1.5,
    },
    "leader lost in the last steps": {
        "fail_share": 0.3,
        "bad_from": 9.7,
        "lost_leader_at": 9.8,
    },
}


@pytest.mark.parametrize("name", SOUND)
@pytest.mark.parametrize("seed", SEEDS)
def test_sound_version_succeeds_by_the_deadline(name, seed):
    """Guards against a false alarm, and a sound version that comes too late."""
    scenario = Scenario(**SOUND[name])
    outcome = simulate(scenario, seed)
    assert outcome.state is RolloutState.SUCCEEDED, outcome
    assert outcome.ended_at < scenario.duration


@pytest.mark.parametrize("name", BAD)
@pytest.mark.parametrize("seed", SEEDS)
def test_bad_version_is_rolled_back_within_its_exposure(name, seed):
    """Guards against a bad version that stays, or gets more than its exposure."""
    scenario = Scenario(**BAD[name])
    outcome = simulate(scenario, seed)
    assert outcome.state is RolloutState.ROLLED_BACK, outcome
    assert outcome.ended_at < scenario.duration
    assert outcome.exposure <= outcome.bound


@pytest.mark.parametrize("name", BAD)
@pytest.mark.parametrize("seed", SEEDS)
def test_bad_version_gets_nothing_long_after_it_showed(name, seed):
    """Guards against a bad version that gets requests after the rollback bound."""
    outcome = simulate(Scenario(**BAD[name]), seed)
    bad = sorted(outcome.bad_responses_at)
    if len(bad) >= 50:
        assert outcome.last_sent_at <= bad[49] + LIMITS.rollback


def test_no_target_server_ends_in_a_rollback():
    """Guards against a pool without servers after its old ones are stopped."""
    outcome = simulate(Scenario(warm_at=99.0), 1)
    assert outcome.state is RolloutState.ROLLED_BACK
    assert outcome.exposure == 0


def test_share_is_not_raised_while_the_leader_is_not_confirmed():
    """Guards against a deposed leader that raises the share beside its successor."""
    simulation = Simulation(Scenario(), 1)
    decide = simulation.decider.decide
    simulation.decider.decide = lambda *args, may_raise: decide(*args, may_raise=False)
    assert simulation.run().exposure == 0


def test_new_leader_waits_before_it_raises_the_share():
    """Guards against a leader that raises the share before it has the counts."""
    simulation = Simulation(Scenario(lost_leader_at=9.0), 3)
    outcome = simulation.run()
    assert not [at for at, _, _ in outcome.shares if 9.0 < at < 10.85], outcome.shares


def test_order_without_servers_of_other_versions_succeeds_at_once():
    """Guards against a pool that is left without any server at share 0."""
    simulation = Simulation(Scenario(), 1)
    servers = {"is_keyed": False, "targets": 4, "warm_targets": 4, "others": 0}
    decision = simulation.decider.decide(
        ORDERED_AT + 0.3,
        simulation.rollout,
        type("Servers", (), servers | {"other_ranges": 0}),
        may_raise=True,
    )
    assert decision.state is RolloutState.SUCCEEDED


def build_load(now, **changes):
    values = {
        "now": now,
        "until": 9.2,
        "rate": 200.0,
        "total": 200.0 * now,
        "spent": 24.0,
        "total_at_end": 2_400.0,
        "share": 0.04,
        "changed_at": 1.0,
        "targets": 20,
        "is_keyed": False,
        "is_inherited": False,
        "first_response_at": 1.2,
    }
    return CanaryLoad(**values | changes)


def test_burst_begins_and_ends_once_while_the_view_lags():
    """Guards against a burst that is lost, or repeated at once, before its commit."""
    plan = CanaryPlan(expose_share=0.1, expose_slack=50)
    shares = [plan.choose(build_load(now))[0] for now in (1.3, 4.3, 4.4)]
    assert shares == [0.04, 0.5, 0.5]
    for now in (5.0, 5.1):
        load = build_load(now, share=0.5, changed_at=4.5, spent=110.0)
        assert plan.choose(load)[0] == 0.0


def test_pool_of_few_servers_keeps_its_canary():
    """Guards against a canary that stops where a burst would reach too few servers."""
    plan = CanaryPlan(expose_share=0.1, expose_slack=50)
    shares = [plan.choose(build_load(now, targets=4))[0] for now in (1.3, 4.3, 4.4)]
    assert all(shares), shares


def test_new_leader_ends_a_burst():
    """Guards against a burst that goes on while the next leader learns the rate."""
    plan = CanaryPlan(expose_share=0.1, expose_slack=50)
    load = build_load(5.6, rate=0.0, share=0.5, is_inherited=True)
    assert plan.choose(load)[0] < 0.04


def build_report(*rows, host="h1", boot="b1"):
    return RolloutReport(host=host, boot=boot, pool="p", number=1, rows=list(rows))


def test_counts_of_an_earlier_process_stay():
    """Guards against exposure that is forgotten when an entry is restarted."""
    totals = ReportTotals()
    totals.record(build_report([1, "r", 5, 4, 1, -2.0, 1]))
    totals.record(build_report([1, "r", 9, 9, 2, -3.0, 0]))
    totals.record(build_report([1, "r", 3, 3, 0, -1.0, 0], boot="b2"))
    assert not totals.record(build_report([1, "r", 6, 6, 1, -2.0, 0]))
    expected = Counts(sent=12, responses=12, failures=2, log_sum=-4.0, running=0)
    assert totals.sum() == {(1, "r"): expected}


@pytest.mark.parametrize(
    "row",
    [
        [],
        [2, "r", 1, 1, 0, 0.0, 0],
        [1, 7, 1, 1, 0, 0.0, 0],
        [1, "r", -1, 1, 0, 0.0, 0],
        [1, "r", 1, 1.5, 0, 0.0, 0],
        [1, "r", 1, 1, 0, float("nan"), 0],
        [1, "r", 1, 1, 0, "0", 0],
        [[], "r", 1, 1, 0, 0.0, 0],
    ],
    ids=str,
)
def test_malformed_reports_are_rejected(row):
    """Guards against a report that stops the leader's decisions."""
    with pytest.raises(DamagedFrame):
        check_report(build_report(row))


def compare(target, others, *, servers=84.0, seconds=5.0):
    window = Window(seconds=seconds, servers=servers)
    return compare_versions({(1, "r"): target, (0, "r"): others}, window).verdict


@pytest.mark.parametrize(
    ("failures", "verdict"),
    [(0, Verdict.SOUND), (2, Verdict.SOUND), (23, Verdict.BAD), (90, Verdict.BAD)],
)
def test_failures_in_150_responses(failures, verdict):
    """Guards against a failure share of 0.15 that 150 responses do not show."""
    others = Counts(responses=3_000, failures=15)
    target = Counts(responses=150, failures=failures)
    assert compare(target, others) is verdict


@pytest.mark.parametrize(
    ("failures", "verdict"), [(3, Verdict.SOUND), (4, Verdict.DOUBTFUL)]
)
def test_failures_in_56_responses_of_a_whole_rollout(failures, verdict):
    """Guards against success with little traffic at a failure share of 0.15."""
    counts = {
        (0, "r"): Counts(responses=300, failures=2),
        (1, "r"): Counts(responses=56, failures=failures),
    }
    window = Window(seconds=9.0, servers=4.0, is_whole=True)
    assert compare_versions(counts, window).verdict is verdict


@pytest.mark.parametrize(
    ("factor", "servers", "verdict"),
    [
        (1.0, 4, Verdict.SOUND),
        (1.7, 1, Verdict.SOUND),
        (1.9, 4, Verdict.SOUND),
        (2.2, 4, Verdict.DOUBTFUL),
        (3.0, 4, Verdict.BAD),
        (3.0, 84, Verdict.BAD),
    ],
)
def test_times_in_150_responses(factor, servers, verdict):
    """Guards against a slow version that passes, and a slow server that does not."""
    others = Counts(responses=3_000, log_sum=3_000 * math.log(0.05))
    target = Counts(responses=150, log_sum=150 * math.log(0.05 * factor))
    assert compare(target, others, servers=float(servers)) is verdict


def test_few_responses_are_no_evidence():
    """Guards against a version that succeeds, or fails, on a handful of responses."""
    others = Counts(responses=3_000)
    assert compare(Counts(responses=5), others) is Verdict.TOO_FEW
    assert compare(Counts(responses=6, failures=6), others) is Verdict.DOUBTFUL
