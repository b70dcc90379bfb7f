"""Benchmark of a gate: its throughput, and its fairness in virtual time.

Run with `python -m bench.gate`. Prints one JSON object.
"""

import heapq
import json
import time
from collections.abc import Callable
from random import Random

from monsoonlug.catalogue import PoolLimits
from monsoonlug.fairness import QueuedRequest
from monsoonlug.gate import Gate, Outcome
from monsoonlug.ids import RequestClass, RequestId, ServerPhase, WorkspaceId

FAR_FUTURE = 1e9  # seconds; deadline and lease end that do not pass
REQUEST_COUNT = 50_000
WORKSPACE_COUNT = 8
BACKLOG = 100  # requests


def simulate(
    gate: Gate,
    *,
    rates: dict[WorkspaceId, float],
    mean_service_time: Callable[[WorkspaceId], float],
    seconds: float,
    random: Random,
    timeout: float = 2.0,
) -> dict[WorkspaceId, int]:
    """Runs a gate against a server in virtual time.

    Args:
        gate: Gate of a warm server.
        rates: Mean requests per second of each workspace, with Poisson arrivals.
        mean_service_time: Returns the mean service time of a workspace in seconds.
        seconds: Virtual seconds during which requests arrive.
        random: Random number generator for arrivals and service times.
        timeout: Seconds from arrival to deadline.

    Returns:
        Answered requests by workspace.
    """
    answered = dict.fromkeys(rates, 0)
    arrivals = []
    for workspace, rate in rates.items():
        arrived_at = random.expovariate(rate)
        while arrived_at < seconds:
            arrivals.append((arrived_at, workspace))
            arrived_at += random.expovariate(rate)
    arrivals.sort(reverse=True)
    completions = []
    number = 0
    while arrivals or completions:
        if arrivals and (not completions or arrivals[-1][0] < completions[0][0]):
            now, workspace = arrivals.pop()
            number += 1
            gate.enqueue(now, _make_request(number, workspace, now + timeout))
        else:
            now, _, request, latency = heapq.heappop(completions)
            answered[request.workspace] += 1
            gate.finish(now, request.request_id, Outcome.ANSWERED, latency)
        gate.expire(now)
        for request in gate.dequeue(now, FAR_FUTURE):
            latency = mean_service_time(request.workspace) * random.uniform(0.5, 1.5)
            heapq.heappush(
                completions, (now + latency, request.request_id, request, latency)
            )
    return answered


def measure_throughput(*, backlog: int) -> float:
    """Returns the requests per CPU second that a gate can process.

    Each takes one call of `enqueue`, `dequeue`, `expire` and `finish`.

    Args:
        backlog: Requests that are queued throughout.
    """
    limits = PoolLimits(queue=backlog + 10)
    gate = Gate(limits=limits, now=0.0, phase=ServerPhase.WARM)
    requests = [
        _make_request(number, WorkspaceId(f"w{number % WORKSPACE_COUNT}"), FAR_FUTURE)
        for number in range(REQUEST_COUNT + backlog)
    ]
    for request in requests[:backlog]:
        gate.enqueue(0.0, request)
    running = []
    now = 0.0
    started_at = time.process_time()
    for request in requests[backlog:]:
        now += 0.0005
        gate.enqueue(now, request)
        running += gate.dequeue(now, FAR_FUTURE)
        gate.expire(now)
        finished = running.pop(0)
        gate.finish(now, finished.request_id, Outcome.ANSWERED, 0.001)
    return REQUEST_COUNT / (time.process_time() - started_at)


def measure_fairness(
    *, fair_by_time: bool, slow_factor: float
) -> dict[WorkspaceId, int]:
    """Returns answered requests by workspace while all exceed their fair share.

    Args:
        fair_by_time: Whether workspaces share service time, not numbers of requests.
        slow_factor: Factor of the first workspace's service time.
    """
    limits = PoolLimits(queue=200)
    gate = Gate(
        limits=limits, now=0.0, phase=ServerPhase.WARM, fair_by_time=fair_by_time
    )
    first = WorkspaceId("w0")
    return simulate(
        gate,
        rates={WorkspaceId(f"w{number}"): 25.0 for number in range(WORKSPACE_COUNT)},
        mean_service_time=lambda name: 0.02 * slow_factor if name == first else 0.02,
        seconds=60,
        random=Random(1),
    )


def run() -> None:
    """Prints all results."""
    results = {
        "passes_per_cpu_second_idle": round(measure_throughput(backlog=0)),
        "passes_per_cpu_second_backlog": round(measure_throughput(backlog=BACKLOG)),
        "answers_by_count": measure_fairness(fair_by_time=False, slow_factor=5.0),
        "answers_by_time": measure_fairness(fair_by_time=True, slow_factor=5.0),
    }
    print(json.dumps(results, indent=2))


def _make_request(
    number: int, workspace: WorkspaceId, deadline: float
) -> QueuedRequest:
    return QueuedRequest(
        request_id=RequestId(f"r{number}"),
        workspace=workspace,
        request_class=RequestClass.NORMAL,
        deadline=deadline,
    )


if __name__ == "__main__":
    run()
