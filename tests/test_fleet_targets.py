"""Tests of the choice of a gate, without network."""

from monsoonlug.fleet_targets import GateLoad
from monsoonlug.gatehost import list_gates
from tests.test_fleet import Fleet, build_server, change, put
from tests.test_items import build_pool

SMALL_LINK = 250_000  # bytes per second of a host with 2 Mbit/s
ANSWER_SIZE = 5_000  # bytes
SERVER_RATE = 9.0  # answers per second of a server with two slots that is half used


def test_gate_that_has_become_slow_is_noticed_by_hosts_with_few_requests():
    """Guards against 79 hosts that go on sending to one slow gate for many seconds.

    The pattern: each host sends a gate one request in two seconds, and the wait there
    rises from 0.1 s to 0.6 s. Baseline: the same answers with equal weights.
    """
    load = GateLoad(usual=0.1, wait=0.1, told_at=0.0)
    baseline = 0.1
    for answer in range(1, 4):
        load.note(2.0 * answer, 0.6)
        baseline += 0.05 * (0.6 - baseline)
    assert load.estimate(8.0) > 0.4
    assert baseline < 0.2


def test_answer_of_a_busy_gate_changes_its_usual_wait_little():
    """Guards against all hosts leaving a gate after one slow answer."""
    load = GateLoad(usual=0.1, wait=0.1, told_at=10.0)
    load.note(10.02, 0.6)
    assert load.usual < 0.13


def test_gates_of_many_servers_fit_a_small_link():
    """Guards against a gate whose answers fill the link of its host.

    The pattern: 24 servers without keys in one failure domain, each half used.
    """
    fleet = Fleet()
    fleet.apply(change(build_pool(keyed=False)))
    for number in range(24):
        fleet.apply(put(build_server(f"s{number}", address=f"10.0.0.{number}:80")))
    gates = list_gates(fleet.state.view)
    rates = [len(servers) * SERVER_RATE * ANSWER_SIZE for servers in gates.values()]
    assert sum(len(servers) for servers in gates.values()) == 24
    assert max(rates) <= SMALL_LINK
