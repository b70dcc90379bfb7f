"""Tests of the plans of slice moves, hot keys and gates."""

import random
from collections import Counter

import pytest

from monsoonlug.commands import BeginMove, DeregisterServer, ReleaseGate
from monsoonlug.ids import SLICE_COUNT, ServerPhase, ServiceKind, SliceState
from monsoonlug.placement import (
    plan_gate_releases,
    plan_gates,
    plan_keys,
    plan_moves,
    plan_unowned,
)
from monsoonlug.slices import find_slice
from tests.fleet_builder import POOL, FleetBuilder

STEP = 2048


@pytest.fixture
def fleet():
    return FleetBuilder()


def count(fleet):
    table = fleet.view.slices[POOL]
    return {name: table.count_held(name) for name in fleet.view.servers}


def carry_out(fleet, moves):
    for move in moves:
        runs = [move.start, move.count, move.epoch]
        fleet.apply(BeginMove(pool=POOL, runs=runs, keys=[]))
        fleet.assign_slices(move.target, runs)


def settle(fleet, **options):
    """Carries out plans until none is left; returns how often slices moved."""
    moved = 0
    for _ in range(400):
        moves = plan_moves(fleet.view, POOL, limit=STEP, **options)
        if not moves:
            return moved
        step = sum(move.count for move in moves)
        assert step <= STEP
        moved += step
        carry_out(fleet, moves)
    raise AssertionError("the plan never ends")


def test_unowned_slices_are_balanced():
    """Guards against a first assignment that overloads one server."""
    fleet = FleetBuilder(slices=False)
    carry_out(fleet, plan_unowned(fleet.view, POOL))
    assert set(count(fleet).values()) == {SLICE_COUNT // 8}


def test_balanced_pool_stays(fleet):
    """Guards against moves without need."""
    assert plan_moves(fleet.view, POOL, limit=STEP) == []


@pytest.mark.parametrize("seed", range(5))
def test_churn_is_what_balance_needs(seed):
    """Guards against slices that move twice."""
    rng = random.Random(seed)
    fleet = FleetBuilder(slices=False)
    table = fleet.view.slices[POOL]
    start = 0
    for name in sorted(fleet.view.servers):
        size = rng.randint(0, SLICE_COUNT // 5)
        size = min(size, SLICE_COUNT - start)
        if size:
            fleet.assign_slices(name, [start, size, 0])
        start += size
    fleet.assign_slices(
        "s0", [start, SLICE_COUNT - start, 0] if start < SLICE_COUNT else []
    )
    quota = SLICE_COUNT // 8
    needed = sum(max(0, held - quota) for held in count(fleet).values())
    assert settle(fleet) <= 1.2 * needed
    assert max(count(fleet).values()) - min(count(fleet).values()) <= 1
    assert table.count_state(SliceState.OWNED) == SLICE_COUNT


@pytest.mark.parametrize("limit", [1, 100, STEP])
def test_taken_out_domain_is_spread_over_the_others(fleet, limit):
    """Guards against a domain that leaves too fast, or onto one server."""
    fleet.set_service(ServiceKind.FAILURE_DOMAIN, "d1")
    moves = plan_moves(fleet.view, POOL, limit=limit)
    received = Counter()
    for move in moves:
        received[move.target] += move.count
        assert move.source in ("s1", "s5")
    assert sum(received.values()) == limit
    assert max(received.values()) <= limit // 6 + 1
    before = sum(count(fleet)[name] for name in ("s1", "s5"))
    assert settle(fleet) <= 1.2 * before
    assert (count(fleet)["s1"], count(fleet)["s5"]) == (0, 0)
    assert max(count(fleet).values()) <= SLICE_COUNT / 6 + 2


def test_return_is_paced_for_each_server(fleet):
    """Guards against a returning server that gets more than its cold start bears."""
    fleet.set_service(ServiceKind.BACKEND_SERVER, "s1")
    settle(fleet)
    fleet.set_service(ServiceKind.BACKEND_SERVER, "s1", in_service=True)
    moves = plan_moves(fleet.view, POOL, limit=STEP, per_target=50)
    assert sum(move.count for move in moves) == 50
    assert settle(fleet, per_target=50 * 8) <= SLICE_COUNT / 8 * 1.2


def test_draining_server_gives_its_slices_away(fleet):
    """Guards against a leaving server that keeps its work."""
    fleet.add_server("s3", "d3", phase=ServerPhase.DRAINING)
    settle(fleet)
    assert count(fleet)["s3"] == 0


def test_no_balance_while_a_server_has_no_gate(fleet):
    """Guards against slices that move twice around a change of gates."""
    fleet.add_server("s9", "d1")
    fleet.appoint_gate("s9", "h1")
    assert plan_moves(fleet.view, POOL, limit=STEP)
    epoch = fleet.view.gates["s0"].epoch
    fleet.apply(ReleaseGate(server="s0", gate_epoch=epoch))
    assert plan_moves(fleet.view, POOL, limit=STEP) == []
    fleet.appoint_gate("s0", "h1", epoch)
    assert plan_moves(fleet.view, POOL, limit=STEP)


def test_measured_load_is_balanced(fleet):
    """Guards against a plan that counts slices and leaves the load on one server."""
    loads = {number: 10.0 for number in range(0, 2000, 2)}

    def imbalance():
        load = Counter()
        for number, rate in loads.items():
            load[fleet.view.slices[POOL].get(number).owner] += rate
        return max(load.values()) * 8 / sum(load.values())

    assert imbalance() == 8
    settle(fleet, loads=loads)
    assert imbalance() < 1.5
    assert plan_moves(fleet.view, POOL, limit=STEP, loads=loads) == []


def test_hot_key_goes_to_the_least_loaded_server(fleet):
    """Guards against one key that takes up a server with other work."""
    hot = 7 << 48
    home = fleet.view.slices[POOL].get(find_slice(hot)).owner
    loads = {number * 512 + 9: 10.0 for number in range(128)}
    del loads[112 * 512 + 9]  # the last server has the least load
    options = {"loads": loads, "limit": 9}
    moves = plan_keys(fleet.view, POOL, key_rates={hot: 100.0}, **options)
    assert [move.key_hash for move in moves] == [hot]
    assert moves[0].target != home
    assert plan_keys(fleet.view, POOL, key_rates={hot: 9.0}, **options) == []
    alone = plan_keys(fleet.view, POOL, key_rates={hot: 9.0}, loads={}, limit=9)
    assert alone == []


def test_gates_are_balanced_and_near():
    """Guards against one host that gets all gates, or needless hops."""
    fleet = FleetBuilder(gates=False, slices=False)
    plan = plan_gates(fleet.view, set(fleet.view.hosts))
    assert set(Counter(item.host for item in plan).values()) == {2}
    for item in plan:
        domain = fleet.view.servers[item.server].failure_domain
        assert fleet.view.hosts[item.host].failure_domain == domain


def test_gates_avoid_hosts_that_are_dead_or_out():
    """Guards against a gate where nobody serves."""
    fleet = FleetBuilder(gates=False, slices=False)
    fleet.set_service(ServiceKind.HOST, "h0")
    plan = plan_gates(fleet.view, {"h0", "h1", "h2"})
    assert {item.host for item in plan} == {"h1", "h2"}
    assert plan_gates(fleet.view, {"h0"}) == []


def test_gates_leave_hosts_in_small_numbers(fleet):
    """Guards against a host that leaves with all its gates at once, or keeps them."""
    live = set(fleet.view.hosts)
    plan = plan_gate_releases(fleet.view, live, leaving={"h1"}, limit=1)
    assert [fleet.view.gates[item.server].host for item in plan] == ["h1"]
    fleet.apply(plan[0])
    assert plan_gate_releases(fleet.view, live, leaving={"h1"}, limit=1) == []
    assert plan_gate_releases(fleet.view, live, leaving=set(), limit=9) == []


def test_gates_of_a_dead_host_wait_for_its_session(fleet):
    """Guards against a plan that fails or asks a dead host before `DeregisterHost`."""
    live = set(fleet.view.hosts) - {"h1"}
    assert plan_gate_releases(fleet.view, live, leaving=set(), limit=9) == []


def test_gates_of_a_new_host_come_one_at_a_time():
    """Guards against gates that never or all at once follow a new host."""
    fleet = FleetBuilder(hosts=1)
    fleet.add_host("h1", "d1")
    live, moved = {"h0", "h1"}, 0
    while plan := plan_gate_releases(fleet.view, live, leaving=set(), limit=8):
        assert len(plan) == 1
        fleet.apply(ReleaseGate(server=plan[0].server, gate_epoch=plan[0].gate_epoch))
        released = {plan[0].server: plan[0].gate_epoch}
        fleet.apply(plan_gates(fleet.view, live, servers=released)[0])
        moved += 1
    hosts = Counter(gate.host for gate in fleet.view.gates.values())
    assert moved <= 4 and min(hosts.values()) >= 3


def test_plan_without_targets_is_empty(fleet):
    """Guards against a plan that fails when every server is gone."""
    for name, record in sorted(fleet.view.servers.items()):
        epoch = fleet.view.gates[name].epoch
        fleet.apply(DeregisterServer(server=name, epoch=record.epoch, gate_epoch=epoch))
    assert plan_moves(fleet.view, POOL, limit=STEP) == []
    assert plan_unowned(fleet.view, POOL) == []
