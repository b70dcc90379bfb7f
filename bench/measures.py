"""Measures of the deployment benchmark and their goals."""

from dataclasses import dataclass, field

from bench.keyed_scenario import EventImpact, KeyedResult, run_keyed, run_keyed_baseline
from bench.pooled_scenario import (
    FLOOD_SERVICE_TIME,
    PooledResult,
    PooledScenario,
    StrategyName,
    admit_arrivals,
    find_lowest_share,
    make_flood,
    make_steady_load,
    run_pooled,
)
from bench.profiles import Deployment, Durations
from bench.quota import WARM_UP_SECONDS, Admission

# Goals under load in section 5 of the design page.
MAX_WRONGLY_REFUSED_PER_10_000 = 1.0  # requests
MIN_ANSWERED_SHARE = 0.95  # of the requests that a workspace's limit allows
MAX_COLD_OVERRUNS = 0  # requests beyond the cold rate
MAX_DRAIN_TIME = 2.0  # seconds until a removed domain gets no more requests
MAX_TAIL_RATIO = 1 / 3  # of the baseline's tail latency
MAX_CHURN = 1.2  # slices moved, divided by slices that had to move
MAX_OUTAGE = 1.0  # seconds until a key is served again after a loss


@dataclass(frozen=True, slots=True, kw_only=True)
class Goal:
    """Goal for the router's value of a measure.

    Attributes:
        text: The bound as it is printed.
        is_met: Whether the value is within the bound.
    """

    text: str
    is_met: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Measure:
    """One row of the table.

    Attributes:
        name: What was measured, with its unit.
        gate: Value for the router, which sends through gates.
        baseline: Value for entries that do not coordinate.
        shares: Value for leased slots, or an empty string.
        goal: Goal for the router's value, or None.
    """

    name: str
    gate: float | str
    baseline: float | str
    shares: float | str = ""
    goal: Goal | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """All measures of one deployment."""

    deployment: str
    seed: int
    measures: list[Measure] = field(default_factory=list)

    def list_missed(self) -> list[str]:
        """Returns one line for each measure that misses its goal."""
        missed = []
        for measure in self.measures:
            if measure.goal is not None and not measure.goal.is_met:
                missed.append(f"{measure.name}: {measure.gate}, {measure.goal.text}")
        return missed


def measure_deployment(
    *, deployment: Deployment, durations: Durations, seed: int
) -> Report:
    """Runs all scenarios of a deployment.

    Args:
        deployment: Size and delays.
        durations: Durations of the parts of a run.
        seed: Seed of the random number generators.
    """
    measures = measure_keyed(deployment=deployment, durations=durations, seed=seed)
    measures += measure_slow_servers(
        deployment=deployment, durations=durations, seed=seed
    )
    measures += measure_flood(deployment=deployment, durations=durations, seed=seed)
    measures += measure_refusals(deployment=deployment, durations=durations, seed=seed)
    return Report(deployment=deployment.name.value, seed=seed, measures=measures)


def measure_keyed(
    *, deployment: Deployment, durations: Durations, seed: int
) -> list[Measure]:
    """Measures slice moves, and the impact of lost domains and gates."""
    gate = run_keyed(deployment=deployment, durations=durations, seed=seed)
    baseline = run_keyed_baseline(deployment=deployment, durations=durations, seed=seed)
    measures = [
        Measure(
            name="imbalance of slices (max/mean)",
            gate=round(gate.imbalance, 3),
            baseline=round(baseline.imbalance, 3),
        ),
        Measure(
            name="churn, domain leaves (moved/needed)",
            gate=round(gate.removal_churn, 3),
            baseline=round(baseline.removal_churn, 3),
            goal=_make_upper_bound(gate.removal_churn, MAX_CHURN),
        ),
        Measure(
            name="churn, domain returns (moved/needed)",
            gate=round(gate.restore_churn, 3),
            baseline=round(baseline.restore_churn, 3),
            goal=_make_upper_bound(gate.restore_churn, MAX_CHURN),
        ),
        Measure(
            name="new work to a leaving domain stops after (s)",
            gate=round(gate.drain_time, 2),
            baseline=round(baseline.drain_time, 2),
            goal=_make_upper_bound(gate.drain_time, MAX_DRAIN_TIME),
        ),
        Measure(
            name="cold-start overruns (requests)",
            gate=gate.cold_overruns,
            baseline=baseline.cold_overruns,
            goal=_make_upper_bound(gate.cold_overruns, MAX_COLD_OVERRUNS),
        ),
    ]
    measures += _compare_impacts(gate, baseline)
    return measures


def measure_slow_servers(
    *, deployment: Deployment, durations: Durations, seed: int
) -> list[Measure]:
    """Measures tail latency on pooled routes, with and without slow servers."""
    _, arrivals = make_steady_load(seed=seed, seconds=durations.load_seconds)
    admissions = [Admission(at=item.at, arrival=item) for item in arrivals]
    measures = []
    for scenario, text in (
        (PooledScenario(), "all quick"),
        (PooledScenario(has_slow_servers=True), "3 slowed, reports late or false"),
    ):
        runs = _run_strategies(
            deployment, scenario, dict.fromkeys(StrategyName, admissions), seed
        )
        for share in (0.5, 0.99, 0.999):
            name = f"latency at the caller, {text}, {100 * share:g}% (ms)"
            has_goal = scenario.has_slow_servers and share > 0.5
            measures.append(_compare_latency(name, runs, share, has_goal=has_goal))
    measures.append(_compare_connections(runs, deployment))
    return measures


def measure_flood(
    *, deployment: Deployment, durations: Durations, seed: int
) -> list[Measure]:
    """Measures fairness between workspaces while one sends 5 times its rate."""
    limits, arrivals, allowed_counts = make_flood(
        seed=seed, seconds=durations.load_seconds
    )
    admissions = {}
    for strategy in (StrategyName.GATE, StrategyName.BASELINE):
        admissions[strategy] = admit_arrivals(
            deployment=deployment,
            arrivals=arrivals,
            limits=limits,
            strategy_name=strategy,
        ).admitted
    admissions[StrategyName.SHARES] = admissions[StrategyName.GATE]
    scenario = PooledScenario(service_time=FLOOD_SERVICE_TIME)
    runs = _run_strategies(deployment, scenario, admissions, seed)
    shares = {
        strategy: find_lowest_share(run, allowed_counts)
        for strategy, run in runs.items()
    }
    lowest_share = Measure(
        name="worst-served workspace under a flood (share of due)",
        gate=round(shares[StrategyName.GATE], 3),
        baseline=round(shares[StrategyName.BASELINE], 3),
        shares=round(shares[StrategyName.SHARES], 3),
        goal=Goal(
            text=f"at least {MIN_ANSWERED_SHARE:g}",
            is_met=shares[StrategyName.GATE] >= MIN_ANSWERED_SHARE,
        ),
    )
    tail = _compare_latency(
        "latency at the caller under a flood, 99% (ms)", runs, 0.99, has_goal=False
    )
    return [lowest_share, tail]


def measure_refusals(
    *, deployment: Deployment, durations: Durations, seed: int
) -> list[Measure]:
    """Measures requests within their limits that are refused or not answered."""
    limits, arrivals = make_steady_load(seed=seed + 1, seconds=durations.quota_seconds)
    rates = {}
    request_count = sum(item.at > WARM_UP_SECONDS for item in arrivals)
    for strategy in StrategyName:
        tokens = admit_arrivals(
            deployment=deployment,
            arrivals=arrivals,
            limits=limits,
            strategy_name=strategy,
        )
        run = run_pooled(
            deployment=deployment,
            strategy_name=strategy,
            scenario=PooledScenario(),
            admissions=tokens.admitted,
            seed=seed,
        )
        wrongly_refused = tokens.refused + run.unanswered
        rates[strategy] = 10_000 * wrongly_refused / max(1, request_count)
    rate = rates[StrategyName.GATE]
    return [
        Measure(
            name="wrongly refused (per 10,000)",
            gate=round(rate, 2),
            baseline=round(rates[StrategyName.BASELINE], 2),
            shares=round(rates[StrategyName.SHARES], 2),
            goal=_make_upper_bound(rate, MAX_WRONGLY_REFUSED_PER_10_000),
        )
    ]


def _compare_impacts(gate: KeyedResult, baseline: KeyedResult) -> list[Measure]:
    measures = []
    for name, router, reference, has_goal in (
        (
            "domain leaves and returns",
            gate.planned_impact,
            baseline.planned_impact,
            False,
        ),
        ("domain is lost", gate.loss_impact, baseline.loss_impact, True),
        ("gate's host is lost", gate.gate_loss_impact, baseline.gate_loss_impact, True),
    ):
        measures.append(
            Measure(
                name=f"{name}: lost requests",
                gate=_describe(router),
                baseline=_describe(reference),
            )
        )
        longest = router.longest_outage
        measures.append(
            Measure(
                name=f"{name}: longest time without service of a key (s)",
                gate=round(longest, 2),
                baseline=round(reference.longest_outage, 2),
                goal=_make_upper_bound(longest, MAX_OUTAGE) if has_goal else None,
            )
        )
    return measures


def _describe(impact: EventImpact) -> str:
    return f"{impact.lost} of {impact.requests}, {impact.in_flight_lost} under way"


def _run_strategies(
    deployment: Deployment, scenario: PooledScenario, admissions: dict, seed: int
) -> dict[StrategyName, PooledResult]:
    runs = {}
    for strategy in StrategyName:
        runs[strategy] = run_pooled(
            deployment=deployment,
            strategy_name=strategy,
            scenario=scenario,
            admissions=admissions[strategy],
            seed=seed,
        )
    return runs


def _compare_latency(name: str, runs: dict, share: float, *, has_goal: bool) -> Measure:
    values = {}
    for strategy, run in runs.items():
        values[strategy] = 1000 * run.find_latency_quantile(share)
    gate, baseline = values[StrategyName.GATE], values[StrategyName.BASELINE]
    goal = None
    if has_goal:
        bound = MAX_TAIL_RATIO * baseline
        text = f"at most a third of the baseline, {bound:.1f}"
        goal = Goal(text=text, is_met=gate <= bound)
    return Measure(
        name=name,
        gate=round(gate, 1),
        baseline=round(baseline, 1),
        shares=round(values[StrategyName.SHARES], 1),
        goal=goal,
    )


def _compare_connections(runs: dict, deployment: Deployment) -> Measure:
    gate = runs[StrategyName.GATE].max_connections
    return Measure(
        name="connections of one server, 3 slowed (most)",
        gate=gate,
        baseline=runs[StrategyName.BASELINE].max_connections,
        shares=runs[StrategyName.SHARES].max_connections,
        goal=_make_upper_bound(gate, deployment.max_connections),
    )


def _make_upper_bound(value: float, bound: float) -> Goal:
    return Goal(text=f"at most {bound:g}", is_met=value <= bound)
