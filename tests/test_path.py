"""Tests of the benchmark of the request path, without checks of its figures."""

import os

import pytest

from bench.path import (
    CLOCK_TICKS_PER_SECOND,
    SERVER_SETTINGS,
    BenchmarkError,
    Figures,
    Options,
    Target,
    compare,
    measure_cpu,
    measure_latencies,
    measure_memory,
    read_cpu_seconds,
    read_rss,
    summarize,
)
from standins.capacity import ServerSettings
from standins.server import StandinServer


@pytest.fixture
async def target():
    settings = ServerSettings(pool="p", **SERVER_SETTINGS)
    server = StandinServer(settings=settings)
    await server.start()
    yield Target(name="direct", addresses=[server.address], pids=[os.getpid()])
    await server.stop()


def test_process_figures_are_read():
    """Guards against reading the wrong fields of files in /proc."""
    # User and system time are each rounded to a clock tick, so their sums differ by up
    # to two ticks.
    tick = 1 / os.sysconf("SC_CLK_TCK")
    before = read_cpu_seconds(os.getpid()) - 2 * tick
    times = os.times()
    after = read_cpu_seconds(os.getpid())
    tick = 1 / CLOCK_TICKS_PER_SECOND  # the sum of two floats may be rounded down
    assert before - tick < times.user + times.system < after + tick
    assert 1_000_000 < read_rss(os.getpid()) < 32 * 2**30


async def test_target_is_measured(target):
    """Guards against measuring other requests than those that are counted."""
    options = Options(path="/lookup/k1", rounds=1, requests=20)
    await measure_latencies(options, [target, target])
    await measure_cpu(options, target)
    await measure_memory(options, target)
    assert (len(target.latencies), target.requests) == (40, 20)
    assert target.cpu_seconds >= 0
    assert len(target.rss) == len(target.idle_rss) == 1


async def test_failed_requests_give_no_figures(target):
    """Guards against counting a fast error response as a fast response."""
    with pytest.raises(BaseExceptionGroup) as caught:
        await measure_cpu(Options(path="/none", rounds=1, requests=1), target)
    assert caught.group_contains(BenchmarkError)


def test_ratios_and_missing_cpu_time():
    """Guards against inverted ratios, and a division by zero without CPU time."""
    values = {"p99_ms": 1, "idle_rss_mib": 1, "rss_mib": 1}
    slow = Figures(median_ms=4, requests_per_cpu_second=5, **values)
    fast = Figures(median_ms=2, requests_per_cpu_second=10, **values)
    ratios = compare(slow, fast)
    assert (ratios["median_ms"], ratios["requests_per_cpu_second"]) == (2, 0.5)
    idle = Target(name="x", addresses=[], pids=[], latencies=[1, 2], requests=1)
    with pytest.raises(BenchmarkError):
        summarize(idle)
