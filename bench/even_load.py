"""Benchmark of the spread of requests over a pool's gates, in virtual time.

`python -m bench.even_load` prints a table. Many entries choose at the same moment, by
information that is old. The gates are the router's own queues; servers, callers and the
network are models. Each row is one run with a fixed seed.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import Enum
from functools import partial
from random import Random

import cyclopts

from bench.even_load_gates import (
    DISTURBED_FACTOR,
    MEAN_WORK,
    ROUTE,
    FastestFirstQueue,
    ModelGate,
    ModelServer,
)
from bench.even_load_strategies import (
    CountedSends,
    EvenSpread,
    FilledLevels,
    GateChooser,
    GateMeasure,
    LeasedShares,
    LowestWait,
    Response,
    SampledGates,
)
from bench.event_queue import EventQueue
from bench.server_model import ServerModel
from monsoonlug.fairness import QueuedRequest
from monsoonlug.gatehost import SERVERS_PER_GATE, GateId
from monsoonlug.ids import (
    FailureDomain,
    PoolId,
    RequestClass,
    RequestId,
    ServerId,
    WorkspaceId,
)
from monsoonlug.serverqueue import ServerQueue

DOMAINS = 4
MIN_SPEED, MAX_SPEED = 0.5, 1.7  # of the mean
DISTURBED_TIMES = (0.3, 1.6)  # seconds
DISTURBED_SHARE = 0.2  # of the time
LOCAL_DELAY = 0.001  # seconds to a gate of the same failure domain and back
REMOTE_DELAY = 0.003  # seconds to another failure domain
CONNECT_FAILURE_DELAY = 0.004  # seconds until a lost gate is detected
VIEW_DELAY = 1.0  # seconds until the view is without a lost domain
OBJECTIVE_FACTOR = 2.5  # of the mean work
DEADLINE_FACTOR = 8.0  # of the mean work
MAX_ATTEMPTS = 3
PEAK_PERIOD = 12.0  # seconds between two peaks of a domain's demand
PEAK_SHARE = 0.4  # of the mean demand that a peak is above it
WARM_UP = 6.0  # seconds
FAULT_AT = 10.0  # seconds
SLOW_SPELL = 6.0  # seconds
SLOW_SHARE = 5  # one of this many servers is slow
ENTRIES = (10, 100, 1000)
AGES = (0.010, 0.100, 0.500)  # seconds
LOADS = (0.5, 0.6, 0.85, 0.95)
SMALL_POOLS = (12, 24, 36)  # servers
SMALL_POOL_SLOTS = 4
WINDOW = 5.0  # seconds of the shorter measure of evenness


class Fault(Enum):
    """Disturbances besides those of single machines."""

    NONE = "none"
    SLOW_SPELL = "a fifth slow"
    LOST_DOMAIN = "domain lost"


class StrategyName(Enum):
    """Strategies, named as in the table."""

    LOWEST_WAIT = "lowest wait (today)"
    LOWEST_WAIT_EVEN = "lowest wait, even gate"
    LEASED = "leased shares"
    COUNTED = "counted sends"
    SAMPLED = "sampled gates"
    FILLED = "spread over age"
    EVEN = "even spread"


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """Conditions of a run.

    Attributes:
        age: Seconds by which information about a gate is late.
        load: Mean demand divided by the mean capacity.
        peak: Share by which the demand of a domain exceeds its mean at its peak.
        seconds: Virtual duration with the warm-up.
    """

    entries: int = 100
    age: float = 0.1
    servers: int = 84
    slots: int = 6
    load: float = 0.75
    fault: Fault = Fault.NONE
    peak: float = PEAK_SHARE
    seconds: float = 20.4
    seed: int = 1


@dataclass(slots=True, kw_only=True)
class Result:
    """Measures of a run after the warm-up.

    Attributes:
        busiest: Load of the busiest server relative to the mean, each by the share of
            the capacity that it had; over the whole run.
        busiest_window: The same in the worst window of `WINDOW` seconds.
        latencies: Of answered requests, ascending, in seconds.
        within: Share of all requests answered within the objective.
        refused: Share of requests refused or lost.
        crossed: Share of attempts sent to another failure domain.
    """

    busiest: float = 0.0
    busiest_window: float = 0.0
    latencies: list[float] = field(default_factory=list)
    within: float = 0.0
    refused: float = 0.0
    crossed: float = 0.0
    requests: int = 0

    def find_quantile(self, share: float) -> float:
        """Returns a quantile of the latencies in milliseconds."""
        if not self.latencies:
            return math.inf
        return 1000 * self.latencies[math.ceil(share * len(self.latencies)) - 1]


class Simulation:
    """One run.

    Args:
        scenario: Conditions.
        strategy: How entries choose.
    """

    def __init__(self, *, scenario: Scenario, strategy: StrategyName):
        self._scenario = scenario
        self._clock = EventQueue()
        self._random = Random(scenario.seed)
        self._domains = [FailureDomain(f"d{number}") for number in range(DOMAINS)]
        self._lost_domain: FailureDomain | None = None
        self._coordinator: dict[GateId, GateMeasure] = {}
        is_old = strategy is StrategyName.LOWEST_WAIT
        self._gates = self._build_gates(FastestFirstQueue if is_old else ServerQueue)
        self._capacity = sum(
            server.find_capacity(0.0, 1.0) for server in self._list_servers()
        )
        self._entries = self._build_entries(strategy)
        self._result = Result()
        self._attempts = 0
        self._crossings = 0
        self._answered_in_time = 0
        self._number = 0

    def run(self) -> Result:
        """Runs the scenario and returns its measures."""
        scenario = self._scenario
        for server in self._list_servers():
            self._schedule_disturbance(server)
        for domain in self._domains:
            self._schedule_arrival(domain)
        if scenario.fault is Fault.SLOW_SPELL:
            self._clock.call_later(FAULT_AT, self._start_slow_spell)
        if scenario.fault is Fault.LOST_DOMAIN:
            self._clock.call_later(FAULT_AT, self._lose_domain)
        self._clock.call_later(0.0, self._coordinate)
        self._clock.run_until(scenario.seconds)
        return self._summarize()

    def _list_servers(self) -> list[ModelServer]:
        return [item for gate in self._gates.values() for item in gate.servers.values()]

    def _build_gates(self, queue_type: type[ServerQueue]) -> dict[GateId, ModelGate]:
        gates = {}
        scenario = self._scenario
        for position, domain in enumerate(self._domains):
            servers = []
            for number in range(position, scenario.servers, DOMAINS):
                speed = self._random.uniform(MIN_SPEED, MAX_SPEED)
                model = ServerModel(
                    clock=self._clock,
                    random=Random(self._random.random()),
                    slots=scenario.slots,
                    mean_service_time=MEAN_WORK / speed,
                    cold_rate=0.0,
                )
                server = ModelServer(
                    name=ServerId(f"s{number}"),
                    slots=scenario.slots,
                    speed=speed,
                    model=model,
                )
                servers.append(server)
            count = -(-len(servers) // SERVERS_PER_GATE)
            for number in range(count):
                part = servers[number::count]
                name = f"p/{domain}/{number}"
                gate = GateId(pool=PoolId("p"), name=name, failure_domain=domain)
                gates[gate] = ModelGate(
                    clock=self._clock, gate=gate, servers=part, queue_type=queue_type
                )
        return gates

    def _build_entries(
        self, strategy: StrategyName
    ) -> dict[FailureDomain, list[GateChooser]]:
        entries = {}
        slots = {gate: item.slots for gate, item in self._gates.items()}
        for position, domain in enumerate(self._domains):
            entries[domain] = []
            for _ in range(position, self._scenario.entries, DOMAINS):
                arguments = {
                    "random": Random(self._random.random()),
                    "domain": domain,
                    "entries": self._scenario.entries,
                }
                chooser = self._build_chooser(strategy, arguments)
                chooser.set_gates(slots)
                entries[domain].append(chooser)
        return entries

    def _build_chooser(self, strategy: StrategyName, arguments: dict) -> GateChooser:
        match strategy:
            case StrategyName.LOWEST_WAIT | StrategyName.LOWEST_WAIT_EVEN:
                return LowestWait(**arguments)
            case StrategyName.LEASED:
                return LeasedShares(coordinator=self._coordinator, **arguments)
            case StrategyName.COUNTED:
                return CountedSends(**arguments)
            case StrategyName.SAMPLED:
                return SampledGates(**arguments)
            case StrategyName.FILLED:
                return FilledLevels(**arguments)
            case StrategyName.EVEN:
                return EvenSpread(**arguments)

    def _coordinate(self) -> None:
        """Passes the gates' measures to the coordinator of leased shares."""
        for gate, item in self._gates.items():
            report = item.measure().measure
            update = partial(self._coordinator.__setitem__, gate, report)
            self._clock.call_later(self._scenario.age, update)
        self._clock.call_later(1.0, self._coordinate)

    # Disturbances.

    def _schedule_disturbance(self, server: ModelServer) -> None:
        mean = sum(DISTURBED_TIMES) / 2
        gap = self._random.expovariate(DISTURBED_SHARE / (1 - DISTURBED_SHARE) / mean)
        self._clock.call_later(gap, partial(self._disturb, server))

    def _disturb(self, server: ModelServer) -> None:
        seconds = self._random.uniform(*DISTURBED_TIMES)
        self._slow_down(server, seconds)
        self._clock.call_later(seconds, partial(self._schedule_disturbance, server))

    def _slow_down(self, server: ModelServer, seconds: float) -> None:
        now = self._clock.now
        until = now + seconds
        if until <= server.model.slow_until:
            return
        server.model.slow_until = until
        server.model.slow_factor = DISTURBED_FACTOR
        while server.changes[-1][0] > now:
            server.changes.pop()
        if server.changes[-1][1] == 1.0:
            server.changes.append((now, DISTURBED_FACTOR))
        server.changes.append((until, 1.0))

    def _start_slow_spell(self) -> None:
        for server in self._list_servers()[::SLOW_SHARE]:
            self._slow_down(server, SLOW_SPELL)

    def _lose_domain(self) -> None:
        self._lost_domain = self._domains[-1]
        now = self._clock.now
        for gate, item in self._gates.items():
            if gate.failure_domain != self._lost_domain:
                continue
            item.is_lost = True
            for server in item.servers.values():
                server.model.is_alive = False
                server.changes = [row for row in server.changes if row[0] < now]
                server.changes.append((now, math.inf))
        self._clock.call_later(VIEW_DELAY, self._update_view)

    def _update_view(self) -> None:
        slots = {
            gate: item.slots for gate, item in self._gates.items() if not item.is_lost
        }
        for choosers in self._entries.values():
            for chooser in choosers:
                chooser.set_gates(slots)

    # Requests.

    def _schedule_arrival(self, domain: FailureDomain) -> None:
        """Schedules the next request of a domain before thinning."""
        peak_rate = self._find_mean_rate() * (1 + self._scenario.peak)
        delay = self._random.expovariate(peak_rate)
        self._clock.call_later(delay, partial(self._handle_arrival, domain))

    def _find_mean_rate(self) -> float:
        factor = 1 - DISTURBED_SHARE * (1 - 1 / DISTURBED_FACTOR)
        return self._scenario.load * factor * self._capacity / DOMAINS

    def _handle_arrival(self, domain: FailureDomain) -> None:
        self._schedule_arrival(domain)
        phase = self._domains.index(domain) / DOMAINS
        cycle = math.sin(2 * math.pi * (self._clock.now / PEAK_PERIOD + phase))
        share = (1 + self._scenario.peak * cycle) / (1 + self._scenario.peak)
        if self._random.random() >= share:
            return
        if domain == self._lost_domain:
            domain = self._random.choice(self._domains[:-1])
        chooser = self._random.choice(self._entries[domain])
        self._number += 1
        if self._is_counted(self._clock.now):
            self._result.requests += 1
        self._send(chooser, self._number, self._clock.now, set())

    def _send(
        self, chooser: GateChooser, number: int, arrived_at: float, tried: set[GateId]
    ) -> None:
        now = self._clock.now
        gate = chooser.choose(now, tried)
        tried.add(gate)
        is_remote = gate.failure_domain != chooser.domain
        if now >= WARM_UP:
            self._attempts += 1
            self._crossings += is_remote
        chooser.record_start(now, gate)
        delay = REMOTE_DELAY if is_remote else LOCAL_DELAY
        item = self._gates[gate]

        def end(is_answered: bool, response: Response | None) -> None:
            self._clock.call_later(
                delay / 2, lambda: receive_end(is_answered, response)
            )

        def receive_end(is_answered: bool, response: Response | None) -> None:
            chooser.record_end(self._clock.now, gate)
            if is_answered:
                self._clock.call_later(
                    self._scenario.age,
                    lambda: chooser.record_response(self._clock.now, gate, response),
                )
                self._record_answer(arrived_at)
                return
            chooser.record_shed(self._clock.now, gate)
            if len(tried) < MAX_ATTEMPTS:
                self._send(chooser, number, arrived_at, tried)

        request = QueuedRequest(
            request_id=RequestId(f"{number}.{len(tried)}"),
            workspace=WorkspaceId("w"),
            request_class=RequestClass.NORMAL,
            deadline=arrived_at + DEADLINE_FACTOR * MEAN_WORK,
            objective=arrived_at + OBJECTIVE_FACTOR * MEAN_WORK,
            route=ROUTE,
            payload=end,
        )

        def arrive() -> None:
            if item.is_lost:
                self._clock.call_later(CONNECT_FAILURE_DELAY, lambda: end(False, None))
                return
            item.receive(request)

        self._clock.call_later(delay / 2, arrive)

    def _is_counted(self, arrived_at: float) -> bool:
        """Returns whether a request arrived in the measured time and could finish."""
        end = self._scenario.seconds - DEADLINE_FACTOR * MEAN_WORK
        return WARM_UP <= arrived_at < end

    def _record_answer(self, arrived_at: float) -> None:
        if not self._is_counted(arrived_at):
            return
        latency = self._clock.now - arrived_at
        self._result.latencies.append(latency)
        self._answered_in_time += latency <= OBJECTIVE_FACTOR * MEAN_WORK

    # Results.

    def _summarize(self) -> Result:
        scenario, result = self._scenario, self._result
        start = WARM_UP if scenario.fault is Fault.NONE else FAULT_AT
        if scenario.fault is Fault.LOST_DOMAIN:
            start += VIEW_DELAY
        end = scenario.seconds
        if scenario.fault is Fault.SLOW_SPELL:
            end = min(end, FAULT_AT + SLOW_SPELL)
        result.busiest = self._find_busiest(start, end)
        while start + WINDOW <= end:
            found = self._find_busiest(start, start + WINDOW)
            result.busiest_window = max(result.busiest_window, found)
            start += WINDOW
        result.latencies.sort()
        result.within = self._answered_in_time / max(1, result.requests)
        result.refused = 1 - len(result.latencies) / max(1, result.requests)
        result.crossed = self._crossings / max(1, self._attempts)
        return result

    def _find_busiest(self, start: float, end: float) -> float:
        loads = []
        total_sent, total_capacity = 0.0, 0.0
        for server in self._list_servers():
            capacity = server.find_capacity(start, end)
            if capacity <= 0:
                continue
            sent = sum(start <= at < end for at in server.sent_at)
            loads.append(sent / capacity)
            total_sent += sent
            total_capacity += capacity
        return max(loads) / (total_sent / total_capacity)


def measure(scenario: Scenario, strategy: StrategyName) -> Result:
    """Returns the measures of one run."""
    return Simulation(scenario=scenario, strategy=strategy).run()


def list_scenarios() -> Iterator[tuple[str, Scenario]]:
    """Yields the rows of the table with their names."""
    for fault in (Fault.SLOW_SPELL, Fault.LOST_DOMAIN):
        yield fault.value, Scenario(load=0.6, fault=fault)
    for servers in SMALL_POOLS:
        yield f"{servers} servers", Scenario(servers=servers, slots=SMALL_POOL_SLOTS)
    for load in LOADS:
        yield f"load {load:g}", Scenario(load=load)
    yield "equal demand", Scenario(peak=0.0)
    for entries in ENTRIES:
        for age in AGES:
            name = f"{entries} entries, {1000 * age:.0f} ms"
            yield name, Scenario(entries=entries, age=age)


def format_row(name: str, strategy: StrategyName, result: Result) -> str:
    """Returns a row of the table in Markdown."""
    cells = (
        name,
        strategy.value,
        f"{result.busiest:.2f}",
        f"{result.busiest_window:.2f}",
        f"{result.find_quantile(0.5):.0f}",
        f"{result.find_quantile(0.99):.0f}",
        f"{result.within:.3f}",
        f"{result.refused:.4f}",
        f"{result.crossed:.3f}",
    )
    return f"| {' | '.join(cells)} |"


def run(*, only: str = "", strategy: str = "", seed: int = 1) -> None:
    """Prints the table.

    Args:
        only: Part of the names of the rows to run; all of them if empty.
        strategy: Part of the names of the strategies to run; all of them if empty.
        seed: Seed of the random number generators.
    """
    print(
        "| conditions | strategy | busiest | busiest in 5 s | p50 (ms) | p99 (ms) "
        "| within objective | refused | crossed |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    for name, scenario in list_scenarios():
        if only not in name:
            continue
        for item in StrategyName:
            if strategy not in item.value:
                continue
            result = measure(replace(scenario, seed=seed), item)
            print(format_row(name, item, result), flush=True)


if __name__ == "__main__":
    cyclopts.run(run)
