"""Tests of the choice of servers with many slots at a gate, in virtual time."""

import heapq
import math
from random import Random

import pytest

from monsoonlug.fairness import FairQueue, QueuedRequest
from monsoonlug.gate import Outcome
from monsoonlug.ids import RequestClass
from monsoonlug.server_choice import (
    CONFIDENT_RESPONSES,
    LATE_INTERVAL,
    ServerChoice,
    ServerOption,
    estimate_times,
)
from monsoonlug.serverqueue import ServerQueue, ServiceTimeModel

WORK = 0.304  # seconds; requests of deployment B that may run at most once
OBJECTIVE = 1.01  # seconds
SPEEDS = {"slow": 0.6, "mean": 1.0, "fast": 1.6}
RATE = 202 / 36 * len(SPEEDS)  # requests per second at a gate of three of 36 servers
SPELL = 0.4  # seconds for which a machine is disturbed, a fifth of the time
SLOWDOWN = 3.0


class EvenQueue(ServerQueue):
    """Baseline: the share of the slots and the speed decide, not the objective."""

    def _choose_server(self, now, request, ready):
        def rank(server):
            factor = self._service_model.get_latency_factor(server.name)
            time = factor * server.get_slowdown(now)
            share = (len(server.running) + 1) / server.slots
            return server.is_cold(now), share * math.sqrt(time)

        return min(ready, key=rank).name


def build_request(number, now, *, objective=OBJECTIVE, workspace="w"):
    return QueuedRequest(
        request_id=f"r{number}",
        workspace=workspace,
        request_class=RequestClass.NORMAL,
        deadline=now + 4.0,
        objective=now + objective,
        route="r",
    )


def count_in_time(queue_type, *, seed, seconds=200):
    """Returns how many requests of the load meet their objective at a gate."""
    random = Random(seed)
    queue = queue_type(model=ServiceTimeModel())
    disturbed = {}
    for server in SPEEDS:
        queue.set_server(server, slots=4, cold_rate=0.0)
        disturbed[server] = random.random() * 5 * SPELL
    events = []
    now = 0.0
    for number in range(int(RATE * seconds)):
        now += random.expovariate(RATE)
        heapq.heappush(events, (now, number, "", now))
    in_time = 0
    while events:
        now, number, server, arrived_at = heapq.heappop(events)
        slowdowns = {
            name: SLOWDOWN if (now + phase) % (5 * SPELL) < SPELL else 1.0
            for name, phase in disturbed.items()
        }
        if server:
            in_time += now - arrived_at <= OBJECTIVE
            queue.finish(
                now,
                f"r{number}",
                server,
                Outcome.ANSWERED,
                slowdown=slowdowns[server],
            )
        else:
            queue.enqueue(now, build_request(number, now), None)
        for request, name in queue.dequeue(now):
            seconds = random.gammavariate(4, WORK / 4) / SPEEDS[name]
            end = now + seconds * slowdowns[name]
            sent_at = request.objective - OBJECTIVE
            item = (end, int(request.request_id[1:]), name, sent_at)
            heapq.heappush(events, item)
        queue.expire(now)
    return in_time


def test_more_requests_meet_their_objective_than_with_the_even_choice():
    """Guards against free slots of disturbed servers that win over fast ones."""
    seeds = range(3)
    even = sum(count_in_time(EvenQueue, seed=seed) for seed in seeds)
    by_objective = sum(count_in_time(ServerQueue, seed=seed) for seed in seeds)
    assert by_objective > even


def choose(ready, *, busy=(), remaining=1.0, choice=None, **arguments):
    return (choice or ServerChoice()).choose(
        remaining=remaining,
        route_time=0.3,
        mean_slowdown=1.0,
        ready=ready,
        busy=busy,
        find_wait=lambda name: 0.2,
        **arguments,
    )


def build_option(name, latency=0.3, **fields):
    fields = {"share": 0.25, "slowdown": 1.0, "latency_count": 1000, **fields}
    return ServerOption(name=name, base_latency=latency, **fields)


@pytest.mark.parametrize(
    ("remaining", "expected"), [(math.inf, "disturbed"), (1.0, "half busy")]
)
def test_objective_decides_between_a_disturbed_and_a_busy_server(remaining, expected):
    """Guards against misses on a disturbed server, and uneven load without need."""
    options = [
        build_option("disturbed", slowdown=3.0),
        build_option("half busy", share=0.75),
    ]
    assert choose(options, remaining=remaining) == expected


def test_cold_server_is_taken_only_without_a_warm_one():
    """Guards against requests that wait at a cold server for its first response."""
    cold = build_option("cold", 0.1, is_cold=True)
    assert choose([cold, build_option("late", 0.9)]) == "late"
    assert choose([cold]) == "cold"


def test_request_waits_only_for_a_server_that_meets_its_objective():
    """Guards against slots that stay free although waiting does not help."""
    ready = [build_option("slow", slowdown=6.0)]
    busy = [build_option("fast")]
    assert choose(ready, busy=busy) is None
    assert choose(ready, busy=busy, is_alone=False) == "slow"
    assert choose(ready, busy=busy, remaining=0.4) == "slow"


def test_speed_of_an_unknown_server_is_the_mean():
    """Guards against a new server that gets all requests, or none, by one response."""
    options = [build_option("a", 0.2), build_option("b", 0.4)]
    options.append(build_option("new", 0.0, latency_count=0))
    options.append(build_option("one", 3.0, latency_count=1))
    times = estimate_times(options[:3], 0.3, 1.0)
    assert times["new"] == pytest.approx(0.3)
    assert times["b"] == pytest.approx(2 * times["a"], rel=0.02)
    most = 0.3 * (1 + (3.0 / 0.3 - 1) / (1 + CONFIDENT_RESPONSES))
    assert 0.3 < estimate_times(options, 0.3, 1.0)["one"] < most


def test_share_of_late_choices_is_reported_once_per_interval():
    """Guards against a log line with each late request, and against none."""
    choice = ServerChoice()
    assert choice.find_late_share(LATE_INTERVAL) is None
    option = build_option("slow", 2.0)
    for _ in range(30):
        choose([option], remaining=0.1, choice=choice)
    assert choice.find_late_share(1.5 * LATE_INTERVAL) is None
    assert choice.find_late_share(2 * LATE_INTERVAL) == 1.0
    assert choice.find_late_share(3 * LATE_INTERVAL) is None
    assert choice.count_results() == {"in-time": 0, "late": 30, "wait": 0}


@pytest.mark.parametrize("seed", range(20))
def test_next_request_is_known_before_it_is_popped(seed):
    """Guards against a server that is chosen by another request than the one sent."""
    random = Random(seed)
    costs = {name: random.choice((0.4, 1.0, 2.5, 7.9)) for name in "abcd"}
    queue = FairQueue(cost=costs.get)
    for number in range(100):
        if random.random() < 0.6:
            queue.push(build_request(number, 0.0, workspace=random.choice("abcd")))
            continue
        assert queue.peek() is queue.peek()
        assert queue.peek() is queue.pop()
