"""Tests of gate selection and of the grouping of servers into gates."""

from random import Random

from monsoonlug.fleet import FleetView
from monsoonlug.fleet_messages import (
    DomainChanged,
    FleetServer,
    ServerRemoved,
)
from monsoonlug.fleet_targets import GateLoad
from monsoonlug.gatehost import KnownGates, list_gates
from monsoonlug.items import PoolItem
from monsoonlug.rollout_messages import ServerVersionSet
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


def test_known_gates_equal_those_of_a_new_list():
    """Guards against entries that disagree on gates after different deltas."""
    random = Random(3)
    view = FleetView()
    for pool in ("keyed", "desk", "other"):
        item = {"name": pool, "version": 1, "keyed": pool == "keyed"}
        view.apply_change(
            PoolItem(**item, connections=1, cold_seconds=0.0, cold_rate=0.0)
        )
    known = KnownGates()
    for number in range(400):
        name = f"i-{random.randrange(60)}"
        pool = random.choice(["keyed", "desk", "other"])
        domain = random.choice(["east", "west"])
        changes = [
            FleetServer(
                server=name,
                born=number,
                pool=pool,
                address=f"{name}:80",
                failure_domain=domain,
                slots=4,
                draining=random.random() < 0.1,
            ),
            ServerRemoved(server=name, born=number),
            DomainChanged(failure_domain=domain, in_service=random.random() < 0.7),
            ServerVersionSet(server=name, born=number, version="v2"),
        ]
        view.apply_change(random.choices(changes, weights=[10, 2, 1, 1])[0])
        if number % 3 == 0:
            continue
        gates = list_gates(view, known)
        expected = list_gates(view)
        assert gates == expected
        assert list(gates) == list(expected)
