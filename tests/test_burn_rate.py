"""Tests of burn rates and error budgets."""

import dataclasses
import json
import random

import pytest

from monsoonlug import burn_rate
from monsoonlug.burn_rate import BurnCounter, HostReport, Latencies, Outcome, Window
from monsoonlug.catalogue import Objective
from monsoonlug.exceptions import UnknownReportRoute, UnknownWindow

OBJECTIVE = Objective(availability=0.99, latency=0.5)
DAY = 86_400.0  # seconds


def count(counter, now, outcomes, latency=0.01, route="r"):
    for outcome in outcomes:
        counter.record(now, route, outcome, latency, OBJECTIVE)


def merge(*reports, hosts=("a",), routes=("r",)):
    objectives = dict.fromkeys(routes, OBJECTIVE)
    return burn_rate.merge_reports(reports, hosts=hosts, objectives=objectives)


@pytest.fixture
def counter():
    return BurnCounter(host="a", now=0.0)


@pytest.mark.parametrize(
    ("outcome", "latency", "bad"),
    [
        (Outcome.ANSWERED, 0.5, 0),
        (Outcome.ANSWERED, 0.501, 1),
        (Outcome.CALLER_ERROR, 9.0, 0),
        (Outcome.RATE_EXCEEDED, 9.0, 0),
        (Outcome.REFUSED, 0.01, 1),
        (Outcome.FAILED, 0.01, 1),
    ],
)
def test_only_faults_of_the_service_are_bad(counter, outcome, latency, bad):
    """Guards against callers' errors that use up the budget, or faults that do not."""
    counter.record(1.0, "r", outcome, latency, OBJECTIVE)
    assert merge(counter.report(2.0)).find_route("r").bad == bad


def test_each_window_counts_only_its_own_time(counter):
    """Guards against requests that are counted in the wrong windows."""
    start = 4 * DAY
    ages = {"5m": 200.0, "1h": 3000.0, "6h": 20_000.0, "3d": 2 * DAY}
    for age in sorted(ages.values(), reverse=True):
        count(counter, start - age, [Outcome.FAILED] + [Outcome.ANSWERED] * 99)
    row = merge(counter.report(start)).find_route("r")
    assert row.burn_rates == pytest.approx(dict.fromkeys(ages, 1.0))
    assert row.requests == 400
    for index, window in enumerate(Window):
        total = counter.report(start).routes["r"].windows[window].total
        assert total == 100 * (index + 1)
    late = merge(counter.report(start + 3 * DAY + 600)).find_route("r")
    assert late.requests == 0
    assert late.budget_left is None


def test_old_buckets_are_dropped(counter):
    """Guards against memory that grows with the uptime of the process."""
    for minute in range(0, 10 * 24 * 60, 5):
        count(counter, minute * 60.0, [Outcome.ANSWERED])
    counts = counter._routes["r"]
    assert len(counts.fine) <= burn_rate.MAX_FINE_BUCKETS + 1
    assert len(counts.coarse) <= 3 * 24 * 12 + 1


def test_budget_can_be_overspent(counter):
    """Guards against a budget that is cut off at zero."""
    count(counter, 1.0, [Outcome.FAILED] * 3 + [Outcome.ANSWERED] * 97)
    row = merge(counter.report(2.0)).find_route("r")
    assert row.budget_left == pytest.approx(-2.0)
    assert row.get_burn_rate("5m") == pytest.approx(3.0)


def test_missing_host_is_listed_and_not_counted_as_zero(counter):
    """Guards against a missing host that looks like one without bad requests."""
    report = merge(counter.report(1.0), hosts=("a", "b", "c"))
    assert report.missing == ("b", "c")
    assert report.find_route("r").burn_rates["5m"] is None
    table = report.format_table()
    assert "missing, not counted: b, c" in table
    assert "hosts that answered: 1 of 3" in table
    assert "no data" in table


def test_restarted_host_is_listed(counter):
    """Guards against a restart that makes the budget look untouched."""
    table = merge(counter.report(2 * 3600.0)).format_table()
    assert "a started 2.0 h ago; earlier counts lost" in table
    assert "lost" not in merge(counter.report(3 * DAY)).format_table()


def test_merge_equals_one_counter():
    """Guards against a merge that depends on which host counted or on the order."""
    rng = random.Random(5)
    whole = BurnCounter(host="a", now=0.0)
    parts = [BurnCounter(host=host, now=0.0) for host in "abc"]
    for step in range(2000):
        outcome = rng.choice(list(Outcome))
        latency = rng.expovariate(5.0)
        for counter in (whole, rng.choice(parts)):
            counter.record(step * 10.0, "r", outcome, latency, OBJECTIVE)
    reports = [part.report(20_000.0) for part in parts]
    merged = merge(*reports, hosts="abc")
    assert merged.routes == merge(whole.report(20_000.0)).routes
    assert merged == merge(*reversed(reports), hosts="cba")


def test_repeated_report_counts_once(counter):
    """Guards against a host that is counted twice after a repeated answer."""
    count(counter, 1.0, [Outcome.ANSWERED])
    report = counter.report(2.0)
    assert merge(report, report).find_route("r").requests == 1


def test_report_survives_json(counter):
    """Guards against counts that are lost when a report is sent to control."""
    count(counter, 1.0, [Outcome.FAILED, Outcome.ANSWERED])
    report = counter.report(2.0)
    assert HostReport.from_json(json.loads(json.dumps(report.to_json()))) == report
    document = json.dumps(dataclasses.asdict(merge(report)))
    assert json.loads(document)["routes"][0]["bad"] == 1


def test_route_without_requests_is_listed(counter):
    """Guards against a route that vanishes from the report when it gets no request."""
    report = merge(counter.report(1.0), routes=("q", "r"))
    assert [row.route for row in report.routes] == ["q", "r"]


def test_unknown_names_list_the_known_ones(counter):
    """Guards against an error that does not list the valid names."""
    report = merge(counter.report(1.0), routes=("q", "r"))
    with pytest.raises(UnknownReportRoute, match="known routes: q, r"):
        report.find_route("s")
    with pytest.raises(UnknownWindow, match="known windows: 5m, 1h, 6h, 3d"):
        report.find_route("q").get_burn_rate("2m")


@pytest.mark.parametrize("quantile", burn_rate.QUANTILES)
def test_latency_estimate_is_within_its_error(quantile):
    """Guards against estimates outside the documented error."""
    rng = random.Random(7)
    values = sorted(rng.lognormvariate(-4, 1.5) for _ in range(5000))
    latencies = Latencies()
    for value in values:
        latencies.record(value)
    exact = values[-(-int(quantile * 1_000_000) * 5000 // 1_000_000) - 1]
    assert latencies.estimate(quantile) == pytest.approx(
        exact, rel=burn_rate.LATENCY_ERROR + 1e-9
    )


def test_latency_outside_the_buckets_is_kept():
    """Guards against an index error or a lost count outside the bucket range."""
    latencies = Latencies()
    latencies.record(0.0)
    assert latencies.estimate(0.5) == burn_rate.LATENCY_BOUNDS[0]
    latencies.record(1000.0)
    latencies.record(1000.0)
    assert latencies.estimate(0.5) == burn_rate.LATENCY_BOUNDS[-1]
    assert Latencies().estimate(0.5) is None
