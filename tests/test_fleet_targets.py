"""Tests of gate selection and of the grouping of servers into gates."""

from monsoonlug.fleet_targets import GateLoad
from monsoonlug.gatehost import list_gates
from tests.test_fleet import Fleet, build_server, change, put
from tests.test_items import build_pool

SMALL_LINK = 250_000  # bytes per second of a host with 2 Mbit/s
RESPONSE_SIZE = 5_000  # bytes
SERVER_RATE = 9.0  # responses per second of a server with two slots at 50% load


def test_hosts_with_few_requests_detect_that_a_gate_became_slow():
    """Guards against 79 hosts that keep sending to a slow gate for many seconds.

    Each host sends the gate one request in two seconds, and the wait there rises from
    0.1 s to 0.6 s. The baseline averages the same responses with a fixed weight.
    """
    load = GateLoad(mean_wait=0.1, last_wait=0.1, reported_at=0.0)
    baseline = 0.1
    for sample in range(1, 4):
        load.record(2.0 * sample, 0.6)
        baseline += 0.05 * (0.6 - baseline)
    assert load.estimate(8.0) > 0.4
    assert baseline < 0.2


def test_one_slow_response_of_a_busy_gate_changes_its_mean_wait_little():
    """Guards against all hosts avoiding a gate after one slow response."""
    load = GateLoad(mean_wait=0.1, last_wait=0.1, reported_at=10.0)
    load.record(10.02, 0.6)
    assert load.mean_wait < 0.13


def test_gates_of_many_servers_fit_a_small_link():
    """Guards against a gate whose responses saturate the link of its host.

    24 servers without keys are in one failure domain, each at 50% load.
    """
    fleet = Fleet()
    fleet.apply(change(build_pool(keyed=False)))
    for number in range(24):
        fleet.apply(put(build_server(f"s{number}", address=f"10.0.0.{number}:80")))
    gates = list_gates(fleet.state.view)
    rates = [len(servers) * SERVER_RATE * RESPONSE_SIZE for servers in gates.values()]
    assert sum(len(servers) for servers in gates.values()) == 24
    assert max(rates) <= SMALL_LINK
