"""Benchmark of rate limiting in virtual time: token authority and static shares.

The load is what an ideal token bucket with the workspace's rate and burst admits from
Poisson arrivals, so that every refusal is wrong. Callers are spread unevenly over the
hosts and move between them. Run with `python -m bench.quota`.
"""

import argparse
import bisect
import heapq
import itertools
import math
import random
import sys
from collections import Counter
from dataclasses import dataclass, field

from monsoonlug.quota import RECOVERY_TIME, Grant, Limit, TokenAuthority
from monsoonlug.token_cache import TokenCache

HOST_COUNT = 12
RATES = (400.0, 300.0, 200.0, 40.0, 30.0, 20.0, 10.0, 10.0)  # requests per second
HEARTBEAT_INTERVAL = 0.100  # seconds
TICK_INTERVAL = 0.005  # seconds between checks of waiting requests
DEADLINE = 5.0  # seconds
MEAN_HOST_STAY = 5.0  # seconds between two moves of a caller to another host
CALLERS_PER_WORKSPACE = 24
MAX_REFUSED_PER_10_000 = 1.0  # goal of the design page
WARM_UP_SECONDS = 5.0  # requests of this time are not counted


@dataclass(order=True, slots=True)
class Event:
    """A scheduled callback; `sequence` orders events of the same time."""

    at: float
    sequence: int
    callback: object = field(compare=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """A request that reaches an entry host at `at`, in virtual seconds."""

    at: float
    host: int
    workspace: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Admission:
    """A request that was admitted at `at`, in virtual seconds."""

    at: float
    arrival: Arrival


@dataclass(slots=True, kw_only=True)
class Result:
    """Results of one run; requests of the warm-up count only as admissions.

    Attributes:
        waits: Seconds that admitted requests waited for a token, if they waited.
        token_requests: Reports sent to request tokens, apart from heartbeats.
        over_limit: Admissions beyond rate and burst.
        admitted: All admissions.
    """

    requests: int = 0
    refused: int = 0
    requests_by_workspace: Counter = field(default_factory=Counter)
    refused_by_workspace: Counter = field(default_factory=Counter)
    waits: list[float] = field(default_factory=list)
    token_requests: int = 0
    over_limit: int = 0
    admitted: list[Admission] = field(default_factory=list)

    @property
    def refused_per_10k(self) -> float:
        return 10_000 * self.refused / max(1, self.requests)

    @property
    def worst_refused_per_10k(self) -> float:
        """Refused requests per 10,000 of the workspace with the most."""
        worst = 0.0
        for workspace, count in self.requests_by_workspace.items():
            worst = max(worst, 10_000 * self.refused_by_workspace[workspace] / count)
        return worst

    def find_wait_quantile(self, fraction: float) -> float:
        """Returns a quantile, from 0 to 1, of the token waits, in milliseconds."""
        zeros = self.requests - len(self.waits)
        rank = math.ceil(fraction * self.requests) - 1 - zeros
        return 1000 * sorted(self.waits)[rank] if rank >= 0 else 0.0


class Bucket:
    """An ideal token bucket."""

    def __init__(self, *, rate, burst, now):
        self.rate, self.burst = rate, burst
        self.tokens, self.refilled_at = float(burst), now

    def take(self, now) -> bool:
        self.tokens = min(
            self.burst, self.tokens + (now - self.refilled_at) * self.rate
        )
        self.refilled_at = now
        if self.tokens < 1 - 1e-9:
            return False
        self.tokens -= 1
        return True


def list_limits(burst_seconds: float) -> dict[str, Limit]:
    limits = {}
    for number, rate in enumerate(RATES):
        burst = max(5, math.ceil(rate * burst_seconds))
        limits[f"w{number}"] = Limit(rate=rate, burst=burst)
    return limits


def make_load(*, rng, limits, load, seconds) -> list[Arrival]:
    """Returns the arrivals that an ideal token bucket admits, in order of time.

    Args:
        rng: Random number generator.
        limits: Limits by workspace.
        load: Arrival rate before the bucket, as a fraction of each rate limit.
        seconds: Duration of the load.
    """
    arrivals = []
    for workspace, limit in limits.items():
        weights = [1 / (rank + 1) for rank in range(CALLERS_PER_WORKSPACE)]
        cumulative = list(itertools.accumulate(weights))
        caller_hosts = [int(HOST_COUNT * rng.random() ** 2) for _ in weights]
        move_times = [rng.expovariate(1 / MEAN_HOST_STAY) for _ in weights]
        bucket = Bucket(rate=limit.rate, burst=limit.burst, now=0.0)
        now = rng.expovariate(limit.rate * load)
        while now < seconds:
            caller = bisect.bisect(cumulative, rng.random() * cumulative[-1])
            while move_times[caller] <= now:
                move_times[caller] += rng.expovariate(1 / MEAN_HOST_STAY)
                caller_hosts[caller] = int(HOST_COUNT * rng.random() ** 2)
            if bucket.take(now):
                at = RECOVERY_TIME + 1.5 + now
                host = caller_hosts[caller]
                arrivals.append(Arrival(at=at, host=host, workspace=workspace))
            now += rng.expovariate(limit.rate * load)
    arrivals.sort(key=lambda arrival: arrival.at)
    return arrivals


class Simulation:
    """A token authority and entries that exchange messages with a delay.

    Args:
        limits: Limits by workspace.
        delay: One-way delay in seconds.
    """

    def __init__(self, *, limits, delay):
        self.limits = limits
        self.delay = delay
        self.now = 0.0
        self.events = []
        self.sequence_numbers = itertools.count()
        self.result = Result()
        self.admissions = {workspace: [] for workspace in limits}
        self.waiting_arrivals = {}
        self.authority = TokenAuthority()
        self.authority.start_term(0.0, 1, [str(host) for host in range(HOST_COUNT)])
        self.authority.configure(0.0, limits)
        self.caches = [TokenCache(now=0.0) for _ in range(HOST_COUNT)]
        self.sequences = [0] * HOST_COUNT
        self.is_tick_scheduled = [False] * HOST_COUNT
        for host in range(HOST_COUNT):
            self.caches[host].set_lease_end(math.inf)
            first = HEARTBEAT_INTERVAL * host / HOST_COUNT
            self.schedule(first, lambda host=host: self.send_heartbeat(host))

    def schedule(self, at, callback):
        heapq.heappush(self.events, Event(at, next(self.sequence_numbers), callback))

    def run(self, arrivals) -> Result:
        for arrival in arrivals:
            while self.events and self.events[0].at <= arrival.at:
                event = heapq.heappop(self.events)
                self.now = event.at
                event.callback()
            self.now = arrival.at
            self.receive_request(arrival)
        end = self.now + DEADLINE
        while self.events and self.events[0].at <= end:
            event = heapq.heappop(self.events)
            self.now = event.at
            event.callback()
        self.result.over_limit = self.count_over_limit()
        return self.result

    def receive_request(self, arrival):
        cache = self.caches[arrival.host]
        is_counted = arrival.at > WARM_UP_SECONDS
        if is_counted:
            self.result.requests += 1
            self.result.requests_by_workspace[arrival.workspace] += 1
        if cache.try_acquire(self.now, arrival.workspace):
            self.admit(arrival)
        else:
            request = str(next(self.sequence_numbers))
            self.waiting_arrivals[request] = arrival
            cache.enqueue(self.now, arrival.workspace, request, self.now + DEADLINE)
        self.settle(arrival.host)

    def admit(self, arrival):
        self.admissions[arrival.workspace].append(self.now)
        self.result.admitted.append(Admission(at=self.now, arrival=arrival))

    def send_heartbeat(self, host):
        self.schedule(self.now + HEARTBEAT_INTERVAL, lambda: self.send_heartbeat(host))
        self.send_report(host, 2 * self.delay)

    def send_report(self, host, confirmation_delay=0.0):
        """Sends a token report, with a heartbeat or on its own.

        Args:
            host: Number of the entry host.
            confirmation_delay: Seconds until the leader may answer a heartbeat, or 0.
        """
        self.sequences[host] += 1
        report = self.caches[host].build_report(self.now, self.sequences[host])
        self.schedule(
            self.now + self.delay,
            lambda: self.receive_report(host, report, confirmation_delay),
        )

    def receive_report(self, host, report, confirmation_delay):
        self.authority.receive_report(
            self.now,
            str(host),
            "",
            report.sequence,
            report.closed,
            report.dropped_term,
            report.holdings,
        )
        if confirmation_delay:
            self.schedule(
                self.now + confirmation_delay, lambda: self.answer(host, report)
            )
            return
        self.answer(host, report)

    def answer(self, host, report):
        tokens, refusals = {}, {}
        for workspace, demand in report.wanted.items():
            grant = self.authority.grant(
                self.now, str(host), "", report.sequence, workspace, demand, self.now
            )
            if isinstance(grant, Grant) and grant.tokens:
                tokens[workspace] = grant.tokens
            if grant.retry_after:
                refusals[workspace] = grant.retry_after
        at = self.now + self.delay
        self.schedule(
            at, lambda: self.receive_answer(host, report.sequence, tokens, refusals)
        )

    def receive_answer(self, host, sequence, tokens, refusals):
        self.caches[host].receive(self.now, sequence, 1, tokens, refusals)
        self.settle(host)

    def settle(self, host):
        """Ends the wait of settled requests and requests tokens if that is due."""
        cache = self.caches[host]
        for outcome in cache.pop_outcomes(self.now):
            arrival = self.waiting_arrivals.pop(outcome.request)
            if outcome.admitted:
                self.admit(arrival)
            if arrival.at <= WARM_UP_SECONDS:
                continue
            if outcome.admitted:
                self.result.waits.append(self.now - arrival.at)
                continue
            self.result.refused += 1
            self.result.refused_by_workspace[outcome.workspace] += 1
        if cache.is_request_due(self.now):
            self.result.token_requests += 1
            self.send_report(host)
        if cache.waiting_count and not self.is_tick_scheduled[host]:
            self.is_tick_scheduled[host] = True
            self.schedule(self.now + TICK_INTERVAL, lambda: self.tick(host))

    def tick(self, host):
        self.is_tick_scheduled[host] = False
        self.settle(host)

    def count_over_limit(self) -> int:
        """Counts admissions beyond rate and burst.

        A token bucket that starts full checks the limit in every time window.
        """
        over_limit = 0
        for workspace, times in self.admissions.items():
            limit = self.limits[workspace]
            bucket = Bucket(rate=limit.rate, burst=limit.burst, now=0.0)
            for at in times:
                over_limit += not bucket.take(at)
        return over_limit


def run_static_shares(*, limits, arrivals) -> Result:
    """Admits arrivals with an equal share of each limit per host.

    A share of the burst is at least 1, as a smaller one would admit nothing.
    """
    result = Result()
    buckets = {}
    for arrival in arrivals:
        key = (arrival.host, arrival.workspace)
        if key not in buckets:
            limit = limits[arrival.workspace]
            burst = max(1.0, limit.burst / HOST_COUNT)
            buckets[key] = Bucket(rate=limit.rate / HOST_COUNT, burst=burst, now=0.0)
        admitted = buckets[key].take(arrival.at)
        if admitted:
            result.admitted.append(Admission(at=arrival.at, arrival=arrival))
        if arrival.at <= WARM_UP_SECONDS:
            continue
        result.requests += 1
        result.requests_by_workspace[arrival.workspace] += 1
        if not admitted:
            result.refused += 1
            result.refused_by_workspace[arrival.workspace] += 1
    return result


def main() -> int:
    """Prints one line of results for each burst, load and delay.

    Returns:
        Exit code: 1 if a run missed the goal or exceeded a limit, otherwise 0.
    """
    is_failed = False
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--burst-seconds", type=float, nargs="+", default=[1.0, 0.25])
    options = parser.parse_args()
    print("burst  load delay requests  wrong/10k  worst  static/10k  worst  waited")
    for burst_seconds in options.burst_seconds:
        limits = list_limits(burst_seconds)
        for load, delay in itertools.product((0.5, 0.8, 0.95), (0.0005, 0.0015)):
            rng = random.Random(options.seed)
            seconds = options.seconds
            arrivals = make_load(rng=rng, limits=limits, load=load, seconds=seconds)
            result = Simulation(limits=limits, delay=delay).run(arrivals)
            static = run_static_shares(limits=limits, arrivals=arrivals)
            is_failed = (
                is_failed
                or result.refused_per_10k > MAX_REFUSED_PER_10_000
                or result.over_limit > 0
            )
            waited = len(result.waits) / result.requests
            token_rate = result.token_requests / options.seconds / HOST_COUNT
            print(
                f"{burst_seconds:4.2f}s {load:5.2f} {delay * 1000:3.1f}ms"
                f" {result.requests:8d} {result.refused_per_10k:10.2f}"
                f" {result.worst_refused_per_10k:6.1f}"
                f" {static.refused_per_10k:11.2f}"
                f" {static.worst_refused_per_10k:6.1f} {waited:7.2%}"
                f" p99 {result.find_wait_quantile(0.99):.1f} ms"
                f" p99.9 {result.find_wait_quantile(0.999):.1f} ms"
                f" max {max(result.waits, default=0) * 1000:.0f} ms"
                f" asks/s/host {token_rate:.1f}"
                f" over limit {result.over_limit}",
                flush=True,
            )
    return int(is_failed)


if __name__ == "__main__":
    sys.exit(main())
