"""Load scenarios of pooled routes: slow servers, a flooding workspace, a lost host."""

import math
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from random import Random

from bench.event_queue import EventQueue
from bench.gate_strategy import GateStrategy
from bench.profiles import BURST_SECONDS, HOSTS, SLOTS, Deployment
from bench.quota import (
    HOST_COUNT,
    WARM_UP_SECONDS,
    Admission,
    Arrival,
    Bucket,
    Simulation,
    list_limits,
    make_load,
    run_static_shares,
)
from bench.routing_strategies import (
    CallerOutcome,
    DirectStrategy,
    RoutingStrategy,
    SimulatedRequest,
)
from bench.server_model import ServerModel
from bench.simulated_fleet import StaticFleet
from bench.slot_lease_strategy import SlotLeaseStrategy
from monsoonlug.catalogue import PoolLimits
from monsoonlug.gate import Gate
from monsoonlug.ids import ServerPhase, WorkspaceId
from monsoonlug.quota import Limit

DEADLINE = 5.0  # seconds
MEAN_SERVICE_TIME = 0.010  # seconds
FLOOD_SERVICE_TIME = 0.014  # seconds; keeps the pool 80% busy at the rate limits
SLOW_SERVERS = 3
SLOW_FACTOR = 10.0  # of service times
SLOW_PERIOD = 1.0  # seconds
MEAN_SLOW_INTERVAL = 2.0  # seconds between two slow periods of a server
REPORT_INTERVAL = 0.100  # seconds between load reports
REPORT_DELAY = 2.0  # seconds by which load reports are late
FLOODING_WORKSPACE = "w0"
FLOOD_FACTOR = 5  # of the flooding workspace's limit
STEADY_LOAD = 0.6  # fraction of the rate limits
OTHERS_LOAD = 0.9  # fraction of the rate limits, while one workspace floods

assert HOST_COUNT == len(HOSTS)


class StrategyName(Enum):
    """Routing strategies, named as the columns of the table."""

    GATE = "gate"
    BASELINE = "baseline"
    SHARES = "shares"


@dataclass(frozen=True, slots=True, kw_only=True)
class PooledResult:
    """Result of one run.

    Attributes:
        latencies: Latencies at the caller in ascending order, in seconds.
        max_connections: Largest number of connections of one server.
        answered: Answered requests by workspace.
        unanswered: Requests that were admitted but not answered.
        host_loss_outcomes: Requests by outcome that were in flight when a host was
            lost, or arrived up to one second later.
    """

    latencies: list[float]
    max_connections: int
    answered: Counter
    unanswered: int
    host_loss_outcomes: Counter

    def find_latency_quantile(self, fraction: float) -> float:
        """Returns a quantile, from 0 to 1, of the latencies, in seconds."""
        return self.latencies[math.ceil(fraction * len(self.latencies)) - 1]


@dataclass(frozen=True, slots=True, kw_only=True)
class PooledScenario:
    """Conditions of a run.

    Attributes:
        service_time: Mean service time in seconds.
        has_slow_servers: Whether some servers have slow periods, and load reports are
            late or false.
        lost_at: Time at which a host is lost, in virtual seconds, or None.
    """

    service_time: float = MEAN_SERVICE_TIME
    has_slow_servers: bool = False
    lost_at: float | None = None


def run_pooled(
    *,
    deployment: Deployment,
    strategy_name: StrategyName,
    scenario: PooledScenario,
    admissions: list[Admission],
    seed: int,
) -> PooledResult:
    """Runs admitted requests against the pool.

    Args:
        deployment: Size and delays.
        strategy_name: Routing strategy.
        scenario: Conditions of the run.
        admissions: Admitted requests in order of their admission.
        seed: Seed of the random number generators.
    """
    clock = EventQueue()
    fleet = _build_fleet(clock, deployment, scenario, Random(seed))
    strategy = _build_strategy(strategy_name, fleet, Random(seed + 1))
    end = max(item.at for item in admissions) + DEADLINE
    if scenario.has_slow_servers:
        _schedule_slow_periods(clock, fleet, Random(seed + 2), end)
        _schedule_reports(clock, fleet, strategy)
    for number, item in enumerate(admissions):
        request = _make_request(number, item)
        delay = item.at
        clock.call_later(delay, lambda request=request: _submit(strategy, request))
    if scenario.lost_at is not None:
        clock.call_later(
            scenario.lost_at, lambda: _lose_host(strategy, fleet, HOSTS[0])
        )
    clock.run_until(end)
    return _summarize(strategy, fleet, deployment, scenario)


def admit_arrivals(
    *,
    deployment: Deployment,
    arrivals: list[Arrival],
    limits,
    strategy_name: StrategyName,
):
    """Runs admission control and returns its result, with admissions in order."""
    if strategy_name is StrategyName.BASELINE:
        result = run_static_shares(limits=limits, arrivals=arrivals)
    else:
        simulation = Simulation(limits=limits, delay=deployment.delay)
        result = simulation.run(arrivals)
    result.admitted.sort(key=lambda item: item.at)
    return result


def make_steady_load(*, seed: int, seconds: float, load: float = STEADY_LOAD):
    """Returns limits, and arrivals that an ideal token bucket would admit."""
    limits = list_limits(BURST_SECONDS)
    arrivals = make_load(rng=Random(seed), limits=limits, load=load, seconds=seconds)
    return limits, arrivals


def make_flood(*, seed: int, seconds: float):
    """Returns limits, arrivals and allowed requests by workspace while one floods."""
    limits = list_limits(BURST_SECONDS)
    limit = limits[FLOODING_WORKSPACE]
    others = {name: item for name, item in limits.items() if name != FLOODING_WORKSPACE}
    raised = Limit(rate=limit.rate * FLOOD_FACTOR, burst=limit.burst * FLOOD_FACTOR)
    rng = Random(seed)
    arrivals = make_load(rng=rng, limits=others, load=OTHERS_LOAD, seconds=seconds)
    arrivals += make_load(
        rng=rng, limits={FLOODING_WORKSPACE: raised}, load=1.0, seconds=seconds
    )
    arrivals.sort(key=lambda item: item.at)
    bucket = Bucket(rate=limit.rate, burst=limit.burst, now=0.0)
    allowed_counts = Counter()
    for item in arrivals:
        is_allowed = item.workspace != FLOODING_WORKSPACE or bucket.take(item.at)
        if is_allowed and item.at > WARM_UP_SECONDS:
            allowed_counts[item.workspace] += 1
    return limits, arrivals, allowed_counts


def find_lowest_share(run: PooledResult, allowed_counts: Counter) -> float:
    """Returns the lowest answered fraction of a workspace's allowed requests."""
    shares = [run.answered[name] / count for name, count in allowed_counts.items()]
    return min(1.0, *shares)


def _build_fleet(
    clock, deployment: Deployment, scenario: PooledScenario, random: Random
):
    servers, gates = {}, {}
    limits = PoolLimits(slots=SLOTS, connections=deployment.max_connections)
    for number in range(deployment.pooled_servers):
        name = f"p{number}"
        servers[name] = ServerModel(
            clock=clock,
            random=Random(random.random()),
            slots=SLOTS,
            mean_service_time=scenario.service_time,
            cold_rate=limits.cold_rate,
        )
        gates[name] = Gate(limits=limits, now=0.0, phase=ServerPhase.WARM)
    return StaticFleet(
        clock=clock, delay=deployment.delay, servers=servers, gates=gates, hosts=HOSTS
    )


def _build_strategy(
    strategy_name: StrategyName, fleet: StaticFleet, random: Random
) -> RoutingStrategy:
    match strategy_name:
        case StrategyName.GATE:
            return GateStrategy(fleet=fleet, random=random)
        case StrategyName.BASELINE:
            return DirectStrategy(fleet=fleet, random=random)
        case StrategyName.SHARES:
            return SlotLeaseStrategy(fleet=fleet, random=random, slots=SLOTS)


def _schedule_slow_periods(clock, fleet, random: Random, end: float) -> None:
    for name in sorted(fleet.servers)[:SLOW_SERVERS]:
        server = fleet.servers[name]
        server.slow_factor = SLOW_FACTOR
        at = random.uniform(0, MEAN_SLOW_INTERVAL)
        while at < end:
            until = at + SLOW_PERIOD
            clock.call_later(
                at, lambda server=server, until=until: _begin_slow_period(server, until)
            )
            at = until + random.expovariate(1 / MEAN_SLOW_INTERVAL)


def _begin_slow_period(server: ServerModel, until: float) -> None:
    server.slow_until = until


def _schedule_reports(clock, fleet, strategy: RoutingStrategy) -> None:
    """Schedules late load reports; the first slow server always reports no load."""
    names = sorted(fleet.servers)

    def report() -> None:
        loads = {name: fleet.servers[name].read_load(REPORT_DELAY) for name in names}
        loads[names[0]] = 0.0
        strategy.record_loads(loads)
        clock.call_later(REPORT_INTERVAL, report)

    clock.call_later(REPORT_INTERVAL, report)


def _make_request(number: int, item: Admission) -> SimulatedRequest:
    return SimulatedRequest(
        number=number,
        entry=HOSTS[item.arrival.host],
        workspace=WorkspaceId(item.arrival.workspace),
        arrived_at=item.arrival.at,
        deadline=item.arrival.at + DEADLINE,
    )


def _submit(strategy: RoutingStrategy, request: SimulatedRequest) -> None:
    # The load balancer sends no requests to a lost entry.
    if not strategy.fleet.is_alive(request.entry):
        request.entry = HOSTS[1]
    strategy.submit(request)


def _lose_host(strategy: RoutingStrategy, fleet: StaticFleet, host: str) -> None:
    fleet.stop_host(host)
    strategy.handle_host_loss(host)


def _summarize(
    strategy, fleet, deployment: Deployment, scenario: PooledScenario
) -> PooledResult:
    latencies, answered, host_loss_outcomes = [], Counter(), Counter()
    unanswered = 0
    for request in strategy.requests:
        if scenario.lost_at is not None:
            _count_host_loss_outcome(request, scenario.lost_at, host_loss_outcomes)
        if request.arrived_at <= WARM_UP_SECONDS:
            continue
        if request.outcome is CallerOutcome.ANSWERED:
            answered[request.workspace] += 1
        elif request.outcome is not CallerOutcome.BROKEN:
            unanswered += 1
        latencies.append(request.latency + 2 * deployment.client_delay)
    max_connections = max(
        sum(server.peak_connections.values()) for server in fleet.servers.values()
    )
    return PooledResult(
        latencies=sorted(latencies),
        max_connections=max_connections,
        answered=answered,
        unanswered=unanswered,
        host_loss_outcomes=host_loss_outcomes,
    )


def _count_host_loss_outcome(
    request: SimulatedRequest, lost_at: float, outcomes: Counter
) -> None:
    if request.outcome is CallerOutcome.ANSWERED and request.ended_at <= lost_at:
        return
    if request.arrived_at <= lost_at:
        outcomes[f"before: {request.outcome.value if request.outcome else 'none'}"] += 1
    elif request.arrived_at <= lost_at + 1.0:
        outcomes[f"after: {request.outcome.value if request.outcome else 'none'}"] += 1
