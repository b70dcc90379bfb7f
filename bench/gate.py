"""Cost of the gate's decisions, and its fairness in virtual time.

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

NEVER = 1e9  # seconds
REQUESTS = 50_000
WORKSPACES = 8
BACKLOG = 100  # requests


def simulate(
    gate: Gate,
    *,
    rates: dict[WorkspaceId, float],
    service: Callable[[WorkspaceId], float],
    seconds: float,
    random: Random,
    patience: float = 2.0,
) -> dict[WorkspaceId, int]:
    """Runs a gate against a server in virtual time.

    Args:
        gate: Gate of a warm server.
        rates: Requests per second of each workspace, with random gaps.
        service: Returns the mean seconds that a workspace's request takes.
        seconds: Virtual seconds during which requests arrive.
        random: Source of gaps and service times.
        patience: Seconds from arrival to deadline.

    Returns:
        Answers by workspace.
    """
    served = dict.fromkeys(rates, 0)
    arrivals = []
    for workspace, rate in rates.items():
        at = random.expovariate(rate)
        while at < seconds:
            arrivals.append((at, workspace))
            at += random.expovariate(rate)
    arrivals.sort(reverse=True)
    ends = []
    number = 0
    while arrivals or ends:
        if arrivals and (not ends or arrivals[-1][0] < ends[0][0]):
            now, workspace = arrivals.pop()
            number += 1
            gate.enqueue(now, _make_request(number, workspace, now + patience))
        else:
            now, _, request, latency = heapq.heappop(ends)
            served[request.workspace] += 1
            gate.finish(now, request.request_id, Outcome.ANSWERED, latency)
        gate.expire(now)
        for request in gate.dequeue(now, NEVER):
            latency = service(request.workspace) * random.uniform(0.5, 1.5)
            heapq.heappush(ends, (now + latency, request.request_id, request, latency))
    return served


def measure_operations(*, backlog: int) -> float:
    """Returns how often per processor-second a request can pass through a gate.

    One pass is `enqueue`, `next`, `expire` and `finished`.

    Args:
        backlog: Requests that wait all the time.
    """
    limits = PoolLimits(queue=backlog + 10)
    gate = Gate(limits=limits, now=0.0, phase=ServerPhase.WARM)
    requests = [
        _make_request(number, WorkspaceId(f"w{number % WORKSPACES}"), NEVER)
        for number in range(REQUESTS + backlog)
    ]
    for request in requests[:backlog]:
        gate.enqueue(0.0, request)
    running = []
    now = 0.0
    began = time.process_time()
    for request in requests[backlog:]:
        now += 0.0005
        gate.enqueue(now, request)
        running += gate.dequeue(now, NEVER)
        gate.expire(now)
        ended = running.pop(0)
        gate.finish(now, ended.request_id, Outcome.ANSWERED, 0.001)
    return REQUESTS / (time.process_time() - began)


def measure_shares(*, fair_by_time: bool, heavy: float) -> dict[WorkspaceId, int]:
    """Returns answers by workspace while all send too much.

    Args:
        fair_by_time: Whether workspaces share the server's time.
        heavy: How much longer the requests of the first workspace take.
    """
    limits = PoolLimits(queue=200)
    gate = Gate(
        limits=limits, now=0.0, phase=ServerPhase.WARM, fair_by_time=fair_by_time
    )
    first = WorkspaceId("w0")
    return simulate(
        gate,
        rates={WorkspaceId(f"w{number}"): 25.0 for number in range(WORKSPACES)},
        service=lambda name: 0.02 * heavy if name == first else 0.02,
        seconds=60,
        random=Random(1),
    )


def run() -> None:
    """Prints every figure."""
    figures = {
        "passes_per_cpu_second_idle": round(measure_operations(backlog=0)),
        "passes_per_cpu_second_backlog": round(measure_operations(backlog=BACKLOG)),
        "answers_by_count": measure_shares(fair_by_time=False, heavy=5.0),
        "answers_by_time": measure_shares(fair_by_time=True, heavy=5.0),
    }
    print(json.dumps(figures, indent=2))


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
