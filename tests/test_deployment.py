"""Tests of the deployment benchmark: short runs meet the goals of docs/design.md."""

import functools
from random import Random

import pytest

from bench.deployment import format_table
from bench.event_queue import EventQueue
from bench.measures import (
    Goal,
    Measure,
    Report,
    measure_flood,
    measure_keyed,
    measure_refusals,
    measure_slow_servers,
)
from bench.pooled_scenario import (
    PooledScenario,
    StrategyName,
    make_steady_load,
    run_pooled,
)
from bench.profiles import DEPLOYMENTS, SHORT_RUN, DeploymentName
from bench.quota import Admission
from bench.server_model import ServerModel

SEED = 1
FAR_TAIL_SEED = 4
MEASUREMENTS = (measure_keyed, measure_slow_servers, measure_flood, measure_refusals)


@functools.lru_cache
def run_measurement(name, measurement, seed=SEED):
    return measurement(deployment=DEPLOYMENTS[name], durations=SHORT_RUN, seed=seed)


def list_missed_goals(name, measures):
    report = Report(deployment=name.value, seed=SEED, measures=measures)
    return report.list_missed()


@pytest.mark.parametrize("measurement", MEASUREMENTS)
@pytest.mark.parametrize("name", DeploymentName)
def test_goals_are_met(name, measurement):
    """Guards against routing decisions that miss a goal under load."""
    measures = run_measurement(name, measurement)
    assert any(measure.goal for measure in measures)
    assert list_missed_goals(name, measures) == []


@pytest.mark.parametrize("name", DeploymentName)
def test_far_tail_of_slowed_servers(name):
    """Guards against requests that queue behind probes of slowed servers."""
    measures = run_measurement(name, measure_slow_servers, FAR_TAIL_SEED)
    assert list_missed_goals(name, measures) == []


def test_runs_are_deterministic():
    """Guards against results that depend on anything but the seed."""
    _, arrivals = make_steady_load(seed=SEED, seconds=4.0)
    runs = []
    for _ in range(2):
        run = run_pooled(
            deployment=DEPLOYMENTS[DeploymentName.TANGLE_FREE],
            strategy_name=StrategyName.GATE,
            scenario=PooledScenario(has_slow_servers=True),
            admissions=[Admission(at=item.at, arrival=item) for item in arrivals],
            seed=SEED,
        )
        runs.append(run)
    assert runs[0].latencies
    assert runs[0] == runs[1]


def test_missed_goal_is_reported():
    """Guards against a table that hides a missed goal."""
    goal = Goal(text="at most 1", is_met=False)
    measure = Measure(name="churn", gate=2.0, baseline=1.0, goal=goal)
    report = Report(deployment="d", seed=SEED, measures=[measure])
    assert report.list_missed() == ["churn: 2.0, at most 1"]
    assert "| churn | 2.0 | 1.0 |  | at most 1: MISSED |" in format_table(report)


@pytest.mark.parametrize(("count", "overruns"), [(2, 0), (3, 1)])
def test_cold_server_counts_requests_above_its_rate(count, overruns):
    """Guards against a simulated cold server without a rate limit."""
    clock = EventQueue()
    server = ServerModel(
        clock=clock,
        random=Random(SEED),
        slots=2,
        mean_service_time=0.010,
        cold_rate=10.0,
        cold_until=5.0,
    )
    for _ in range(count):
        server.receive("h0", lambda: None)
    clock.run_until(4.0)
    assert server.cold_overruns == overruns
