"""Tests of the placement of slices, hot keys and gates."""

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

MAX_MOVED_SLICES = 2048


@pytest.fixture
def fleet():
    return FleetBuilder()


def count_slices(fleet):
    table = fleet.view.slices[POOL]
    return {name: table.count_held(name) for name in fleet.view.servers}


def carry_out(fleet, moves):
    for move in moves:
        runs = [move.start, move.count, move.epoch]
        fleet.apply(BeginMove(pool=POOL, runs=runs, keys=[]))
        fleet.assign_slices(move.target, runs)


def settle(fleet, **options):
    """Carries out plans until there is nothing to move; returns the moved slices."""
    moved = 0
    for _ in range(400):
        moves = plan_moves(fleet.view, POOL, limit=MAX_MOVED_SLICES, **options)
        if not moves:
            return moved
        step = sum(move.count for move in moves)
        assert step <= MAX_MOVED_SLICES
        moved += step
        carry_out(fleet, moves)
    raise AssertionError("still planning moves after 400 steps")


def test_unowned_slices_are_balanced():
    """Guards against a first assignment that overloads one server."""
    fleet = FleetBuilder(slices=False)
    carry_out(fleet, plan_unowned(fleet.view, POOL))
    assert set(count_slices(fleet).values()) == {SLICE_COUNT // 8}


def test_balanced_pool_has_no_moves(fleet):
    """Guards against unnecessary moves."""
    assert plan_moves(fleet.view, POOL, limit=MAX_MOVED_SLICES) == []


@pytest.mark.parametrize("seed", range(5))
def test_balancing_moves_few_more_slices_than_needed(seed):
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
    needed = sum(max(0, held - quota) for held in count_slices(fleet).values())
    assert settle(fleet) <= 1.2 * needed
    assert max(count_slices(fleet).values()) - min(count_slices(fleet).values()) <= 1
    assert table.count_state(SliceState.OWNED) == SLICE_COUNT


@pytest.mark.parametrize("limit", [1, 100, MAX_MOVED_SLICES])
def test_domain_out_of_service_is_spread_over_the_others(fleet, limit):
    """Guards against moves beyond the limit, or onto one server."""
    fleet.set_service(ServiceKind.FAILURE_DOMAIN, "d1")
    moves = plan_moves(fleet.view, POOL, limit=limit)
    received = Counter()
    for move in moves:
        received[move.target] += move.count
        assert move.source in ("s1", "s5")
    assert sum(received.values()) == limit
    assert max(received.values()) <= limit // 6 + 1
    before = sum(count_slices(fleet)[name] for name in ("s1", "s5"))
    assert settle(fleet) <= 1.2 * before
    assert (count_slices(fleet)["s1"], count_slices(fleet)["s5"]) == (0, 0)
    assert max(count_slices(fleet).values()) <= SLICE_COUNT / 6 + 2


def test_moves_to_a_returning_server_are_limited(fleet):
    """Guards against a returning server that is overloaded during its cold start."""
    fleet.set_service(ServiceKind.BACKEND_SERVER, "s1")
    settle(fleet)
    fleet.set_service(ServiceKind.BACKEND_SERVER, "s1", in_service=True)
    moves = plan_moves(fleet.view, POOL, limit=MAX_MOVED_SLICES, max_per_target=50)
    assert sum(move.count for move in moves) == 50
    assert settle(fleet, max_per_target=50 * 8) <= SLICE_COUNT / 8 * 1.2


def test_draining_server_is_emptied(fleet):
    """Guards against a draining server that keeps its slices."""
    fleet.add_server("s3", "d3", phase=ServerPhase.DRAINING)
    settle(fleet)
    assert count_slices(fleet)["s3"] == 0


def test_no_balance_while_a_server_has_no_gate(fleet):
    """Guards against slices that move twice while a gate changes hosts."""
    fleet.add_server("s9", "d1")
    fleet.appoint_gate("s9", "h1")
    assert plan_moves(fleet.view, POOL, limit=MAX_MOVED_SLICES)
    epoch = fleet.view.gates["s0"].epoch
    fleet.apply(ReleaseGate(server="s0", gate_epoch=epoch))
    assert plan_moves(fleet.view, POOL, limit=MAX_MOVED_SLICES) == []
    fleet.appoint_gate("s0", "h1", epoch)
    assert plan_moves(fleet.view, POOL, limit=MAX_MOVED_SLICES)


def test_measured_load_is_balanced(fleet):
    """Guards against balancing by number of slices when their load is uneven."""
    loads = {number: 10.0 for number in range(0, 2000, 2)}

    def imbalance():
        load = Counter()
        for number, rate in loads.items():
            load[fleet.view.slices[POOL].get(number).owner] += rate
        return max(load.values()) * 8 / sum(load.values())

    assert imbalance() == 8
    settle(fleet, loads=loads)
    assert imbalance() < 1.5
    assert plan_moves(fleet.view, POOL, limit=MAX_MOVED_SLICES, loads=loads) == []


def test_hot_key_goes_to_the_least_loaded_server(fleet):
    """Guards against a hot key on a server that has other load."""
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


def test_gates_are_balanced_and_in_the_servers_domain():
    """Guards against one host with all gates, or gates in a remote domain."""
    fleet = FleetBuilder(gates=False, slices=False)
    plan = plan_gates(fleet.view, set(fleet.view.hosts))
    assert set(Counter(item.host for item in plan).values()) == {2}
    for item in plan:
        domain = fleet.view.servers[item.server].failure_domain
        assert fleet.view.hosts[item.host].failure_domain == domain


def test_gates_avoid_hosts_that_are_dead_or_out_of_service():
    """Guards against a gate on a host that cannot serve it."""
    fleet = FleetBuilder(gates=False, slices=False)
    fleet.set_service(ServiceKind.HOST, "h0")
    plan = plan_gates(fleet.view, {"h0", "h1", "h2"})
    assert {item.host for item in plan} == {"h1", "h2"}
    assert plan_gates(fleet.view, {"h0"}) == []


def test_released_gates_are_limited(fleet):
    """Guards against a leaving host that releases all gates at once, or none."""
    live = set(fleet.view.hosts)
    plan = plan_gate_releases(fleet.view, live, leaving={"h1"}, limit=1)
    assert [fleet.view.gates[item.server].host for item in plan] == ["h1"]
    fleet.apply(plan[0])
    assert plan_gate_releases(fleet.view, live, leaving={"h1"}, limit=1) == []
    assert plan_gate_releases(fleet.view, live, leaving=set(), limit=9) == []


def test_gates_of_a_dead_host_are_not_released(fleet):
    """Guards against a release by a dead host that is still registered."""
    live = set(fleet.view.hosts) - {"h1"}
    assert plan_gate_releases(fleet.view, live, leaving=set(), limit=9) == []


def test_gates_move_to_a_new_host_one_at_a_time():
    """Guards against a new host that gets no gates, or all of them at once."""
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
    """Guards against an error when a pool has no server."""
    for name, record in sorted(fleet.view.servers.items()):
        epoch = fleet.view.gates[name].epoch
        fleet.apply(DeregisterServer(server=name, epoch=record.epoch, gate_epoch=epoch))
    assert plan_moves(fleet.view, POOL, limit=MAX_MOVED_SLICES) == []
    assert plan_unowned(fleet.view, POOL) == []
