"""Benchmark of the order of requests at a gate when demand exceeds capacity.

`python -m bench.slot_order` prints a table in virtual time. The gate is the router's
own queue; servers and callers are models. Callers follow `Retry-After` up to a third of
the time that they have left, and then retry once. Each row is a run with a fixed seed.
"""

import bisect
import heapq
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

import cyclopts

from bench.event_queue import EventQueue
from monsoonlug.fairness import QueuedRequest
from monsoonlug.gate import Outcome
from monsoonlug.ids import RequestClass, RequestId, ServerId, WorkspaceId
from monsoonlug.serverqueue import ServerQueue, ServiceTimeModel

DOMAINS = 4
SLOTS = 4
LATE_VALUE = 0.15  # of a response after the objective, relative to one within it
DISTURBED_FACTOR = 3.0  # of service times
DISTURBED_TIME = 0.4  # seconds, on average
DISTURBED_SHARE = 0.2  # of the time
FOLLOWED_SHARE = 1 / 3  # of its remaining time that a caller waits for a retry
BOUND_WINDOW = 4.0  # seconds of arrivals for which the bound is computed at once
CAPACITY_STEP = 0.01  # seconds
RETURN_INTERVAL = 0.1  # seconds in which returns are counted
DURATION = 60.0  # seconds of arrivals
MAX_WAKE_INTERVAL = 0.001  # seconds between two runs of the queue at least


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Requests of one route.

    Attributes:
        share: Demand relative to the capacity of the gate without disturbances.
        work: Mean seconds of work on a server of mean speed.
        objective: Seconds.
        timeout: Seconds until the deadline.
        find_factor: Returns the factor of the rate at a time and in a failure domain.
    """

    name: str
    share: float
    work: float
    objective: float
    timeout: float
    request_class: RequestClass = RequestClass.NORMAL
    find_factor: Callable[[float, int], float] = lambda now, domain: 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """A load on one gate; the server is the only one if the pool is keyed."""

    name: str
    speeds: tuple[float, ...]
    demands: tuple[Demand, ...]
    is_keyed: bool = False


@dataclass(slots=True, kw_only=True, eq=False)
class Call:
    """A request of a caller, which may be sent twice."""

    demand: Demand
    domain: int
    at: float
    work: float
    rejections: int = 0
    value: float = 0.0

    @property
    def objective_at(self) -> float:
        return self.at + self.demand.objective

    @property
    def deadline(self) -> float:
        return self.at + self.demand.timeout


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """What became of the calls of one run.

    Attributes:
        value: Mean value of a call, from 0 to 1.
        rejected: Calls that were rejected at least once.
        rejected_again: Calls that were rejected after their return as well.
        peak_returns: Largest number of calls that returned within 0.1 s.
        by_class: Mean value by request class.
        by_domain: Mean value by failure domain.
        bound: Largest mean value that any order could reach.
    """

    calls: int
    value: float
    rejected: int
    rejected_again: int
    peak_returns: int
    by_class: dict[RequestClass, float]
    by_domain: dict[int, float]
    bound: float


class ArrivalOrderQueue(ServerQueue):
    """The queue before objectives decided its order: first come, first served."""

    @property
    def is_objective_ordered(self) -> bool:
        return False


@dataclass(slots=True, kw_only=True)
class _Server:
    """Model of a server; the periods are starts and ends of its disturbances."""

    name: ServerId
    speed: float
    periods: list[tuple[float, float]] = field(default_factory=list)

    def find_factor(self, now: float) -> float:
        index = bisect.bisect_right(self.periods, (now, math.inf)) - 1
        if index >= 0 and now < self.periods[index][1]:
            return DISTURBED_FACTOR
        return 1.0


def build_servers(scenario: Scenario, random: Random) -> list[_Server]:
    """Returns the servers with their disturbances during a run."""
    pause = DISTURBED_TIME * (1 / DISTURBED_SHARE - 1)
    servers = []
    for index, speed in enumerate(scenario.speeds):
        server = _Server(name=ServerId(f"s{index}"), speed=speed)
        now = random.expovariate(1 / pause)
        while now < 2 * DURATION:
            end = now + random.expovariate(1 / DISTURBED_TIME)
            server.periods.append((now, end))
            now = end + random.expovariate(1 / pause)
        servers.append(server)
    return servers


def build_calls(scenario: Scenario, random: Random) -> list[Call]:
    """Returns the calls of a run, which are the same for every queue."""
    capacity = SLOTS * sum(scenario.speeds)  # seconds of work per second
    calls = []
    for demand in scenario.demands:
        rate = demand.share * capacity / demand.work / DOMAINS
        for domain in range(DOMAINS):
            now = 0.0
            while now < DURATION:
                factor = max(demand.find_factor(now, domain), 0.01)
                now += random.expovariate(rate * factor)
                work = demand.work * random.uniform(0.5, 1.5)
                calls.append(Call(demand=demand, domain=domain, at=now, work=work))
    return sorted(calls, key=lambda item: item.at)


class GateRun:
    """One gate with its callers and servers, in virtual time."""

    def __init__(self, *, scenario: Scenario, servers: list[_Server], queue_type: type):
        self.clock = EventQueue()
        self.queue: ServerQueue = queue_type(model=ServiceTimeModel())
        self.returns: Counter[int] = Counter()
        self._servers = {item.name: item for item in servers}
        self._only_server = servers[0].name if scenario.is_keyed else None
        self._number = 0
        self._wake_at = math.inf
        for server in servers:
            self.queue.set_server(server.name, slots=SLOTS, cold_rate=0.0)

    def send(self, call: Call) -> None:
        """Sends a call to the gate."""
        now = self.clock.now
        self._number += 1
        request = QueuedRequest(
            request_id=RequestId(str(self._number)),
            workspace=WorkspaceId(""),
            request_class=call.demand.request_class,
            deadline=call.deadline,
            objective=min(now + call.demand.objective, call.deadline),
            route=call.demand.name,
            origin=f"domain-{call.domain}",
            payload=call,
        )
        refusal = self.queue.enqueue(now, request, self._only_server)
        if refusal is not None:
            self._reject(call, refusal.retry_after)
            return
        self._run()

    def _reject(self, call: Call, retry_after: float | None) -> None:
        call.rejections += 1
        remaining = call.deadline - self.clock.now
        if call.rejections > 1 or remaining <= 0:
            return
        wait = min(retry_after or 0.0, FOLLOWED_SHARE * remaining)
        self.returns[math.floor((self.clock.now + wait) / RETURN_INTERVAL)] += 1
        self.clock.call_later(wait, partial(self.send, call))

    def _run(self) -> None:
        now = self.clock.now
        for request, name in self.queue.dequeue(now):
            call: Call = request.payload
            server = self._servers[name]
            factor = server.find_factor(now)
            finish = partial(self._finish, request, name, factor)
            self.clock.call_later(call.work / server.speed * factor, finish)
        for request, refusal in self.queue.expire(now):
            self._reject(request.payload, refusal.retry_after)
        wake = self.queue.find_wake_time(now)
        if wake is not None and (self._wake_at <= now or wake < self._wake_at):
            self._wake_at = max(wake, now + MAX_WAKE_INTERVAL)
            self.clock.call_later(self._wake_at - now, self._run)

    def _finish(self, request: QueuedRequest, name: ServerId, factor: float) -> None:
        now = self.clock.now
        call: Call = request.payload
        if now <= call.objective_at:
            call.value = 1.0
        elif now <= call.deadline:
            call.value = LATE_VALUE
        self.queue.finish(
            now, request.request_id, name, Outcome.ANSWERED, slowdown=factor
        )
        self._run()


def find_bound(calls: list[Call], servers: list[_Server]) -> float:
    """Returns an upper bound of the mean value that any order could reach.

    For the arrivals of each window, all slots work on the largest set of requests that
    can meet their objectives (Moore and Hodgson), as if the slots were one fast server
    that starts with no other request at the start of the window.
    """
    done = [0.0]
    while len(done) * CAPACITY_STEP < 2 * DURATION:
        now = len(done) * CAPACITY_STEP
        amount = sum(item.speed / item.find_factor(now) for item in servers)
        done.append(done[-1] + SLOTS * amount * CAPACITY_STEP)

    timely = 0
    start = 0.0
    while start < DURATION:
        window = [call for call in calls if start <= call.at < start + BOUND_WINDOW]
        base = done[int(start / CAPACITY_STEP)]
        chosen: list[float] = []
        total = 0.0
        for call in sorted(window, key=lambda item: item.objective_at):
            heapq.heappush(chosen, -call.work)
            total += call.work
            if total > done[int(call.objective_at / CAPACITY_STEP) + 1] - base:
                total += heapq.heappop(chosen)
        timely += len(chosen)
        start += BOUND_WINDOW
    return (timely + LATE_VALUE * (len(calls) - timely)) / len(calls)


def run_scenario(scenario: Scenario, queue_type: type, *, seed: int) -> Result:
    """Runs a scenario with one kind of queue."""
    random = Random(seed)
    servers = build_servers(scenario, random)
    calls = build_calls(scenario, random)
    run = GateRun(scenario=scenario, servers=servers, queue_type=queue_type)
    for call in calls:
        run.clock.call_later(call.at, partial(run.send, call))
    run.clock.run_until(2 * DURATION)
    return Result(
        calls=len(calls),
        value=sum(call.value for call in calls) / len(calls),
        rejected=sum(call.rejections > 0 for call in calls),
        rejected_again=sum(call.rejections > 1 for call in calls),
        peak_returns=max(run.returns.values(), default=0),
        by_class=_average(calls, lambda call: call.demand.request_class),
        by_domain=_average(calls, lambda call: call.domain),
        bound=find_bound(calls, servers),
    )


def _average(calls: list[Call], find_key: Callable[[Call], object]) -> dict:
    counts = Counter(find_key(call) for call in calls)
    values: Counter = Counter()
    for call in calls:
        values[find_key(call)] += call.value
    return {key: values[key] / count for key, count in counts.items()}


def burst(factor: float, seconds: float) -> Callable[[float, int], float]:
    """Returns a rate that is multiplied for some seconds of every 12 s."""
    return lambda now, domain: factor if now % 12.0 >= 12.0 - seconds else 1.0


def wave(now: float, domain: int) -> float:
    """Returns the factor of a demand that oscillates with a phase per domain."""
    return 1 + 0.55 * math.sin(2 * math.pi * (now / 17.0 + 0.08 * domain))


def flood(now: float, domain: int) -> float:
    """Returns a demand of which most comes from one failure domain."""
    return 3.1 if domain == 0 else 0.3


def list_scenarios() -> list[Scenario]:
    """Returns loads like those of `heavy-load.md`, section 2."""
    slow_to_fast = (0.6, 1.0, 1.6)
    short = Demand(name="short", share=0.45, work=0.231, objective=0.505, timeout=4.0)
    middle = Demand(name="middle", share=0.15, work=0.304, objective=1.01, timeout=1.5)
    long = Demand(name="long", share=0.15, work=0.570, objective=3.0, timeout=8.0)
    waves = Demand(
        name="waves",
        share=0.8,
        work=0.270,
        objective=1.46,
        timeout=6.0,
        find_factor=wave,
    )
    mixed = (
        Demand(name="a", share=0.35, work=0.115, objective=0.89, timeout=4.0),
        Demand(name="b", share=0.35, work=0.363, objective=1.79, timeout=5.0),
        Demand(name="c", share=0.30, work=0.570, objective=3.0, timeout=8.0),
    )
    surge = burst(2.6, 5.0)
    return [
        Scenario(
            name="burst of short",
            speeds=slow_to_fast,
            demands=(_change(short, find_factor=surge), middle, long),
        ),
        Scenario(
            name="burst of long",
            speeds=slow_to_fast,
            demands=(
                _change(short, share=0.3),
                middle,
                _change(long, share=0.3, find_factor=surge),
            ),
        ),
        Scenario(name="waves", speeds=(0.5, 1.0, 1.7), demands=(waves,)),
        Scenario(name="waves, keyed", speeds=(1.0,), demands=(waves,), is_keyed=True),
        Scenario(name="mixed routes", speeds=slow_to_fast, demands=mixed),
        Scenario(
            name="flood of a domain",
            speeds=slow_to_fast,
            demands=(_change(waves, share=1.3, find_factor=flood),),
        ),
        Scenario(
            name="classes",
            speeds=slow_to_fast,
            demands=(
                _change(waves, share=1.0, request_class=RequestClass.CRITICAL),
                _change(waves, name="n", share=0.2),
                _change(
                    waves, name="b", share=0.2, request_class=RequestClass.BACKGROUND
                ),
            ),
        ),
    ]


def _change(demand: Demand, **changes: object) -> Demand:
    fields = {name: getattr(demand, name) for name in Demand.__slots__}
    return Demand(**(fields | changes))


def main(*, seed: int = 1) -> None:
    """Prints a table of all scenarios, for first come, first served and the order.

    Args:
        seed: Seed of arrivals, service times and disturbances.
    """
    print("| load | order | value | bound | rejected | again | peak | class | domain |")
    print("|---|---|---|---|---|---|---|---|---|")
    for scenario in list_scenarios():
        for queue_type in (ArrivalOrderQueue, ServerQueue):
            result = run_scenario(scenario, queue_type, seed=seed)
            name = "objective" if queue_type is ServerQueue else "arrival"
            print(
                f"| {scenario.name} | {name} | {result.value:.3f} | {result.bound:.3f} "
                f"| {result.rejected} of {result.calls} | {result.rejected_again} "
                f"| {result.peak_returns} "
                f"| {min(result.by_class.values()):.3f} "
                f"| {min(result.by_domain.values()):.3f} |"
            )


if __name__ == "__main__":
    cyclopts.run(main)
