"""Failover scenario of keyed routes, for the router and for its baseline.

While requests run, a failure domain is taken out of service and brought back, another
one is lost together with the control leader and returns, and a gate's host is lost.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from bench.coordinated_fleet import BenchmarkWorld, CoordinatedFleet
from bench.event_queue import EventQueue
from bench.gate_strategy import GateStrategy
from bench.profiles import HOSTS, Deployment, Durations
from bench.routing_strategies import (
    CallerOutcome,
    DirectStrategy,
    RoutingStrategy,
    SimulatedRequest,
)
from bench.server_model import Clock
from bench.uncoordinated_fleet import SLICE_GROUPS, SLICES_PER_GROUP, UncoordinatedFleet
from monsoonlug.commands import SetService
from monsoonlug.ids import SLICE_COUNT, ServiceKind, WorkspaceId

DEADLINE = 5.0  # seconds
INITIAL_SETTLE_TIME = 5.0  # seconds from the start to the first event
REMOVED_DOMAIN = "d1"  # taken out of service, restarted and brought back
LOST_DOMAIN = "d2"  # lost together with the leader; its servers return cold
LOST_GATE_HOST = HOSTS[0]
RESTART_DELAY = 4.0  # seconds from removal to restart of the domain
RESTORE_DELAY = 5.5  # seconds from removal until it is brought back
LOSS_DURATION = 2.0  # seconds from loss to return of the domain
ELECTION_DURATION = 0.300  # seconds without a leader after the loss
BALANCER_DELAY = 1.0  # seconds until the load balancer follows a service change
SAMPLED_SLICES = range(0, SLICE_COUNT, SLICE_COUNT // 32)
SAMPLE_INTERVAL = 0.020  # seconds
HOT_SLICES = 16
HOT_REQUEST_SHARE = 0.1  # fraction of the requests that go to hot slices


@dataclass(frozen=True, slots=True, kw_only=True)
class Timeline:
    """Times of the events of a run, in virtual seconds.

    Attributes:
        removed_at: A domain is taken out of service.
        restored_at: It is brought back.
        domain_lost_at: Another domain is lost.
        domain_returned_at: It returns.
        gate_lost_at: A gate's host is lost.
        ended_at: The run ends.
    """

    removed_at: float
    restored_at: float
    domain_lost_at: float
    domain_returned_at: float
    gate_lost_at: float
    ended_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class EventImpact:
    """Impact of one event on requests; those of lost entry hosts do not count.

    Attributes:
        requests: Requests that arrived after the event.
        lost: Requests that arrived after the event and were not answered.
        in_flight_lost: Requests that were in flight at the event and not answered.
        refused: Those of them that were refused as not run.
        errors: Lost requests of both kinds by the error's class name.
        longest_outage: Longest outage of a sampled key, in seconds.
    """

    requests: int
    lost: int
    in_flight_lost: int
    refused: int
    errors: Counter
    longest_outage: float


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyedResult:
    """Result of one run.

    Attributes:
        imbalance: Maximum of the slices per server divided by the mean, before the
            last event.
        removal_churn: Slices moved, divided by slices that had to move, when the
            domain was taken out of service.
        restore_churn: The same ratio when it was brought back.
        drain_time: Seconds from removal to the last request to the domain.
        cold_overruns: Requests beyond the cold rate of servers.
        planned_impact: Impact of removal and return of a domain.
        loss_impact: Impact of the loss of a domain.
        gate_loss_impact: Impact of the loss of a gate's host.
    """

    imbalance: float
    removal_churn: float
    restore_churn: float
    drain_time: float
    cold_overruns: int
    planned_impact: EventImpact
    loss_impact: EventImpact
    gate_loss_impact: EventImpact


def plan_timeline(durations: Durations) -> Timeline:
    """Returns the times of the events."""
    removed_at = INITIAL_SETTLE_TIME
    restored_at = removed_at + RESTORE_DELAY
    domain_lost_at = restored_at + durations.settle_seconds
    domain_returned_at = domain_lost_at + LOSS_DURATION
    gate_lost_at = domain_returned_at + durations.settle_seconds
    ended_at = gate_lost_at + DEADLINE + 1.0
    return Timeline(
        removed_at=removed_at,
        restored_at=restored_at,
        domain_lost_at=domain_lost_at,
        domain_returned_at=domain_returned_at,
        gate_lost_at=gate_lost_at,
        ended_at=ended_at,
    )


class _OutageTracker:
    """Tracks the longest outage of the sampled keys in each period of a run.

    Args:
        clock: Virtual time.
        boundaries: Times at which a period ends and the next begins, in seconds.
        measure_outage: Returns the fraction of entries for which a slice is unserved.
    """

    def __init__(self, *, clock: Clock, boundaries: list[float], measure_outage):
        self._clock, self._boundaries = clock, boundaries
        self._measure_outage = measure_outage
        self._current = dict.fromkeys(SAMPLED_SLICES, 0.0)
        self._longest = [0.0] * (len(boundaries) + 1)
        clock.call_later(boundaries[0], self._sample)

    def _sample(self) -> None:
        period = sum(boundary <= self._clock.now for boundary in self._boundaries)
        for slice_number in SAMPLED_SLICES:
            share = self._measure_outage(slice_number)
            if not share:
                self._current[slice_number] = 0.0
                continue
            self._current[slice_number] += share * SAMPLE_INTERVAL
            self._longest[period] = max(
                self._longest[period], self._current[slice_number]
            )
        self._clock.call_later(SAMPLE_INTERVAL, self._sample)

    def find_longest(self, period: int) -> float:
        """Returns the longest outage of a key in a period, in seconds."""
        return self._longest[period]


def run_keyed(
    *, deployment: Deployment, durations: Durations, seed: int
) -> KeyedResult:
    """Runs the scenario with the router's coordinator and gates."""
    world = BenchmarkWorld(deployment=deployment, seed=seed)
    fleet = CoordinatedFleet(world=world)
    strategy = GateStrategy(fleet=fleet, random=Random(seed + 1))
    world.process_gate = strategy.process_gate
    world.refuse_queued = strategy.refuse_queued
    timeline = plan_timeline(durations)
    is_unserved = lambda slice_number: not world.is_key_served(slice_number)
    boundaries = [timeline.removed_at, timeline.domain_lost_at, timeline.gate_lost_at]
    outages = _OutageTracker(
        clock=world.clock, boundaries=boundaries, measure_outage=is_unserved
    )
    _schedule_requests(
        clock=world.clock,
        strategy=strategy,
        accepts_traffic=lambda host: _accepts_traffic(world, timeline, host),
        record_request=world.count_request,
        rate=durations.keyed_rate,
        random=Random(seed + 2),
        timeline=timeline,
    )
    world.run(INITIAL_SETTLE_TIME)
    world.is_settled = True
    removal_needed = world.count_owned(REMOVED_DOMAIN)
    moved_slices = world.moved_slices
    _set_domain_in_service(world, in_service=False)
    world.run(RESTART_DELAY)
    drain_time = _find_last_received(fleet, world, REMOVED_DOMAIN) - timeline.removed_at
    removal_moved = world.moved_slices - moved_slices
    for name in world.list_in_domain(world.servers, REMOVED_DOMAIN):
        world.server_models[name].is_alive = False
        world.restart(world.servers, name)
    for name in world.list_in_domain(world.hosts, REMOVED_DOMAIN):
        world.restart(world.hosts, name)
    world.run(timeline.restored_at - world.time)
    moved_slices = world.moved_slices
    _set_domain_in_service(world, in_service=True)
    world.run(timeline.domain_lost_at - world.time)
    restore_needed = world.count_owned(REMOVED_DOMAIN)
    restore_moved = world.moved_slices - moved_slices
    _lose_domain(world, strategy)
    world.run(timeline.domain_returned_at - world.time)
    for nodes in (world.hosts, world.servers):
        for name in world.list_in_domain(nodes, LOST_DOMAIN):
            world.restart(nodes, name)
    world.run(timeline.gate_lost_at - world.time)
    imbalance = world.find_imbalance()
    world.hosts[LOST_GATE_HOST].alive = False
    strategy.handle_host_loss(LOST_GATE_HOST)
    world.run(timeline.ended_at - world.time)
    return KeyedResult(
        imbalance=imbalance,
        removal_churn=removal_moved / max(1, removal_needed),
        restore_churn=restore_moved / max(1, restore_needed),
        drain_time=max(0.0, drain_time),
        cold_overruns=_count_overruns(fleet.servers.values()),
        planned_impact=_measure_impact(
            strategy, timeline.removed_at, timeline.domain_lost_at, outages, 1
        ),
        loss_impact=_measure_impact(
            strategy, timeline.domain_lost_at, timeline.gate_lost_at, outages, 2
        ),
        gate_loss_impact=_measure_impact(
            strategy, timeline.gate_lost_at, timeline.ended_at, outages, 3
        ),
    )


def run_keyed_baseline(
    *, deployment: Deployment, durations: Durations, seed: int
) -> KeyedResult:
    """Runs the scenario with entries that do not coordinate."""
    clock = EventQueue()
    fleet = UncoordinatedFleet(clock=clock, deployment=deployment, seed=seed)
    strategy = DirectStrategy(fleet=fleet, random=Random(seed + 1))
    timeline = plan_timeline(durations)
    measure_outage = lambda slice_number: fleet.count_unserved(
        slice_number // SLICES_PER_GROUP
    )
    boundaries = [timeline.removed_at, timeline.domain_lost_at, timeline.gate_lost_at]
    outages = _OutageTracker(
        clock=clock, boundaries=boundaries, measure_outage=measure_outage
    )
    _schedule_requests(
        clock=clock,
        strategy=strategy,
        accepts_traffic=lambda host: _accepts_traffic_baseline(fleet, timeline, host),
        record_request=lambda entry, slice_number: None,
        rate=durations.keyed_rate,
        random=Random(seed + 2),
        timeline=timeline,
    )
    clock.run_until(timeline.removed_at)
    owners_before = fleet.find_owners()
    fleet.out_of_service.add(REMOVED_DOMAIN)
    clock.run_until(timeline.restored_at - 0.001)
    last_received = max(
        fleet.servers[name].last_received
        for name, domain in fleet.domains.items()
        if domain == REMOVED_DOMAIN
    )
    owners_during = fleet.find_owners()
    for name, domain in fleet.domains.items():
        if domain == REMOVED_DOMAIN:
            fleet.start_server(name)
    fleet.out_of_service.clear()
    clock.run_until(timeline.domain_lost_at)
    owners_after = fleet.find_owners()
    for host in HOSTS:
        if fleet.host_domains[host] == LOST_DOMAIN:
            fleet.set_host_alive(host, is_alive=False)
            strategy.handle_host_loss(host)
    for name, domain in fleet.domains.items():
        if domain == LOST_DOMAIN:
            fleet.servers[name].is_alive = False
    clock.run_until(timeline.domain_returned_at)
    for host in HOSTS:
        fleet.set_host_alive(host, is_alive=True)
    for name, domain in fleet.domains.items():
        if domain == LOST_DOMAIN:
            fleet.start_server(name)
    clock.run_until(timeline.gate_lost_at)
    owners = fleet.find_owners()
    fleet.set_host_alive(LOST_GATE_HOST, is_alive=False)
    strategy.handle_host_loss(LOST_GATE_HOST)
    clock.run_until(timeline.ended_at)
    counts = [owners.count(name) for name in fleet.servers]
    return KeyedResult(
        imbalance=max(counts) * len(counts) / SLICE_GROUPS,
        removal_churn=_find_churn(owners_before, owners_during, fleet.domains),
        restore_churn=_find_churn(owners_after, owners_during, fleet.domains),
        drain_time=max(0.0, last_received - timeline.removed_at),
        cold_overruns=_count_overruns(fleet.servers.values()),
        planned_impact=_measure_impact(
            strategy, timeline.removed_at, timeline.domain_lost_at, outages, 1
        ),
        loss_impact=_measure_impact(
            strategy, timeline.domain_lost_at, timeline.gate_lost_at, outages, 2
        ),
        gate_loss_impact=_measure_impact(
            strategy, timeline.gate_lost_at, timeline.ended_at, outages, 3
        ),
    )


def _schedule_requests(
    *,
    clock: Clock,
    strategy: RoutingStrategy,
    accepts_traffic: Callable[[str], bool],
    record_request: Callable[[str, int], None],
    rate: float,
    random: Random,
    timeline: Timeline,
) -> None:
    hot_slices = [random.randrange(SLICE_COUNT) for _ in range(HOT_SLICES)]
    request_numbers = iter(range(10**9))

    def arrive() -> None:
        if clock.now > timeline.ended_at - DEADLINE:
            return
        clock.call_later(random.expovariate(rate), arrive)
        entry = HOSTS[int(len(HOSTS) * random.random() ** 2)]
        is_hot = random.random() < HOT_REQUEST_SHARE
        slice_number = (
            random.choice(hot_slices) if is_hot else random.randrange(SLICE_COUNT)
        )
        if not accepts_traffic(entry):
            entry = next(host for host in HOSTS[::-1] if accepts_traffic(host))
        request = SimulatedRequest(
            number=next(request_numbers),
            entry=entry,
            workspace=WorkspaceId("w"),
            arrived_at=clock.now,
            deadline=clock.now + DEADLINE,
            slice=slice_number,
        )
        record_request(entry, slice_number)
        strategy.submit(request)

    clock.call_later(INITIAL_SETTLE_TIME / 2, arrive)


def _accepts_traffic(world: BenchmarkWorld, timeline: Timeline, host: str) -> bool:
    node = world.hosts[host]
    is_excluded = (
        timeline.removed_at + BALANCER_DELAY
        <= world.time
        < timeline.restored_at + BALANCER_DELAY
    )
    if is_excluded and node.domain == REMOVED_DOMAIN:
        return False
    return node.alive and node.lease.is_view_fresh(node.now)


def _accepts_traffic_baseline(
    fleet: UncoordinatedFleet, timeline: Timeline, host: str
) -> bool:
    now = fleet.clock.now
    is_excluded = (
        timeline.removed_at + BALANCER_DELAY
        <= now
        < timeline.restored_at + BALANCER_DELAY
    )
    if is_excluded and fleet.host_domains[host] == REMOVED_DOMAIN:
        return False
    return fleet.is_alive(host)


def _set_domain_in_service(world: BenchmarkWorld, *, in_service: bool) -> None:
    world.change(
        SetService,
        kind=ServiceKind.FAILURE_DOMAIN,
        name=REMOVED_DOMAIN,
        in_service=in_service,
    )


def _lose_domain(world: BenchmarkWorld, strategy: RoutingStrategy) -> None:
    for name in world.list_in_domain(world.hosts, LOST_DOMAIN):
        world.hosts[name].alive = False
        strategy.handle_host_loss(name)
    for name in world.list_in_domain(world.servers, LOST_DOMAIN):
        world.servers[name].alive = False
        world.server_models[name].is_alive = False
    world.depose(ELECTION_DURATION, "d0")


def _find_last_received(
    fleet: CoordinatedFleet, world: BenchmarkWorld, domain: str
) -> float:
    names = world.list_in_domain(world.servers, domain)
    return max(fleet.servers[name].last_received for name in names)


def _count_overruns(servers: Iterable) -> int:
    return sum(server.cold_overruns for server in servers)


def _find_churn(complete: list[str], reduced: list[str], domains: dict) -> float:
    moved_slices = needed = 0
    for owner, other in zip(complete, reduced, strict=True):
        moved_slices += owner != other
        needed += domains[owner] == REMOVED_DOMAIN
    return moved_slices / max(1, needed)


def _measure_impact(
    strategy: RoutingStrategy,
    since: float,
    until: float,
    outages: _OutageTracker,
    period: int,
) -> EventImpact:
    requests = lost = in_flight_lost = refused = 0
    errors: Counter = Counter()
    for request in strategy.requests:
        if request.outcome is CallerOutcome.BROKEN:
            continue
        is_answered = request.outcome is CallerOutcome.ANSWERED
        if not is_answered and request.arrived_at < until <= request.ended_at:
            # In flight at the next event, whose impact includes it.
            continue
        if since <= request.arrived_at < until:
            requests += 1
            if not is_answered:
                lost += 1
                errors[request.error] += 1
            continue
        is_in_flight = (
            since - DEADLINE <= request.arrived_at < since <= request.ended_at
        )
        if is_in_flight and not is_answered:
            in_flight_lost += 1
            errors[request.error] += 1
            refused += request.outcome is CallerOutcome.REFUSED
    return EventImpact(
        requests=requests,
        lost=lost,
        in_flight_lost=in_flight_lost,
        refused=refused,
        errors=errors,
        longest_outage=outages.find_longest(period),
    )
