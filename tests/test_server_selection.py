"""Tests of server selection for pooled routes."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from monsoonlug.gate import Outcome
from monsoonlug.server_selection import ServerSelector

SERVERS = [f"s{number}" for number in range(8)]


def make_selector(servers=SERVERS):
    selector = ServerSelector(random=Random(1))
    selector.set_servers(servers)
    return selector


def simulate(selector, *, latencies, seconds, rate=100):
    """Sends requests at a constant rate in virtual time; returns counts by server."""
    counts = dict.fromkeys(latencies, 0)
    ends = []
    for number in range(int(seconds * rate)):
        now = number / rate
        while ends and ends[0][0] <= now:
            at, server, name = ends.pop(0)
            selector.record_finish(at, server, name, Outcome.ANSWERED)
        server = selector.choose(now)
        counts[server] += 1
        selector.record_start(now, server, f"r{number}")
        ends.append((now + latencies[server], server, f"r{number}"))
        ends.sort()
    return counts


def test_stragglers_receive_few_requests():
    """Guards against a tail latency that is set by slow servers.

    Servers of equal speed must still receive about the same number of requests.
    """
    latencies = dict.fromkeys(SERVERS, 0.02)
    latencies.update(s0=0.2, s1=0.2, s2=0.2)
    selector = make_selector()
    counts = simulate(selector, latencies=latencies, seconds=20)
    slow = counts["s0"] + counts["s1"] + counts["s2"]
    assert slow <= 0.02 * sum(counts.values())
    counts = simulate(
        make_selector(), latencies=dict.fromkeys(SERVERS, 0.02), seconds=20
    )
    assert min(counts.values()) >= 0.8 * max(counts.values())


def test_unresponsive_server_is_ejected_by_request_age():
    """Guards against selecting an unresponsive server until its requests time out."""
    selector = make_selector()
    latencies = dict.fromkeys(SERVERS, 0.02) | {"s3": 1e9}
    counts = simulate(selector, latencies=latencies, seconds=5)
    assert counts["s3"] <= 10
    assert selector.list_ejected(5.0) == ["s3"]


def test_quick_failures_do_not_attract_requests():
    """Guards against a broken server that looks fast because it fails quickly."""
    selector = make_selector()
    chosen = 0
    for number in range(1000):
        now = number / 100
        server = selector.choose(now)
        selector.record_start(now, server, f"r{number}")
        chosen += server == "s0"
        outcome = Outcome.LOST if server == "s0" else Outcome.ANSWERED
        selector.record_finish(now + 0.001, server, f"r{number}", outcome)
    assert chosen <= 50
    assert selector.list_ejected(now) == ["s0"]


def test_server_that_lost_every_comparison_is_tried_again():
    """Guards against a recovered server that is never selected again."""
    selector = make_selector(["s0", "s1"])
    for server, end in [("s0", 0.02), ("s1", 0.01)]:
        selector.record_start(0.0, server, "r")
        selector.record_finish(end, server, "r", Outcome.ANSWERED)
    assert selector.choose(0.1) == "s1"
    assert {selector.choose(1.1) for _ in range(20)} == {"s0", "s1"}


def test_ejections_end_early_if_the_pool_shrinks():
    """Guards against more than half of a pool being ejected after it shrinks."""
    selector = make_selector()
    for server in SERVERS[:3]:
        for number in range(3):
            selector.record_start(0.0, server, f"{server}-{number}")
            selector.record_finish(0.0, server, f"{server}-{number}", Outcome.LOST)
    selector.choose(0.0)
    assert len(selector.list_ejected(0.0)) == 3
    selector.set_servers(SERVERS[:4])
    selector.choose(0.0)
    assert len(selector.list_ejected(0.0)) == 2


def test_reported_load_has_little_weight():
    """Guards against a wrong load report that diverts all requests."""
    selector = make_selector(["s0", "s1"])
    selector.record_load("s0", 100.0)
    assert selector.choose(0.0) == "s1"
    selector.record_start(0.0, "s1", "r1")
    assert selector.choose(0.0) == "s0"


@settings(derandomize=True, database=None, deadline=None, max_examples=200)
@given(
    events=st.lists(
        st.tuples(
            st.sampled_from(["send", "lose", "answer", "resize"]),
            st.floats(0.0, 2.0),
            st.integers(1, 8),
        ),
        max_size=60,
    )
)
def test_at_most_half_of_a_pool_is_ejected(events):
    """Guards against ejections that remove most of a pool's capacity."""
    selector = make_selector()
    size = len(SERVERS)
    now = 0.0
    in_flight = []
    for number, (event, step, count) in enumerate(events):
        now += step
        if event == "resize":
            size = count
            selector.set_servers(SERVERS[:size])
        elif event == "send":
            for index in range(count):
                server = selector.choose(now)
                in_flight.append((server, f"r{number}-{index}"))
                selector.record_start(now, *in_flight[-1])
        else:
            outcome = Outcome.LOST if event == "lose" else Outcome.ANSWERED
            for server, name in in_flight[:count]:
                selector.record_finish(now, server, name, outcome)
            del in_flight[:count]
        assert selector.choose(now) is not None
        assert len(selector.list_ejected(now)) <= size // 2
        assert selector.choose(now, SERVERS) is None
