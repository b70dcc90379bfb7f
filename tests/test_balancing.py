import pytest

from monsoonlug.balancing import (
    KeyLoads,
    ServerLoad,
    choose_target,
    plan_initial_ranges,
    plan_moves,
)
from monsoonlug.ids import SLICE_COUNT
from monsoonlug.keyranges import KeyRange


def build_loads(rates):
    return KeyLoads(rates=dict(rates))


def build_candidates(utilizations, *, cost=0.1, latency_factor=None):
    latency_factor = latency_factor or {}
    return {
        name: ServerLoad(
            server=name,
            utilization=utilization,
            cost=cost,
            latency_factor=latency_factor.get(name, 1.0),
        )
        for name, utilization in utilizations.items()
    }


@pytest.mark.parametrize("count", [1, 3, 29, 143])
def test_initial_ranges_cover_all_keys_evenly(count):
    """Guards against keys without an owner and against uneven initial ranges."""
    servers = [f"s{number}" for number in range(count)]
    ranges = plan_initial_ranges(servers)
    next_start = 0
    sizes = dict.fromkeys(servers, 0)
    for start, end, owner in ranges:
        assert start == next_start
        next_start = end + 1
        sizes[owner] += end - start + 1
    assert next_start == SLICE_COUNT
    assert max(sizes.values()) < 1.2 * min(sizes.values())


def test_initial_ranges_spread_neighbouring_busy_keys():
    """Guards against one server that gets most of the load before load is measured.

    All load is on one contiguous eighth of the keys.
    """
    servers = [f"s{number}" for number in range(29)]
    busy = SLICE_COUNT // 8
    loads = dict.fromkeys(servers, 0)
    for start, end, owner in plan_initial_ranges(servers):
        loads[owner] += max(0, min(end, busy) - start)
    assert max(loads.values()) < 1.6 * busy / len(servers)


def test_load_above_the_mean_is_moved_away():
    """Guards against a busy range that stays on an overloaded server.

    Neighbouring keys of one range get most requests.
    """
    owned = {
        "a": [KeyRange(start=0, end=99, owner="a", epoch=1)],
        "b": [KeyRange(start=100, end=199, owner="b", epoch=1)],
    }
    loads = build_loads({key: 0.2 for key in range(100)})
    candidates = build_candidates({"a": 2.0, "b": 0.0})
    (move,) = plan_moves(owned, candidates, loads, excluded=set(), max_moves=4)
    assert move.source == "a"
    assert 0.3 * 20 < move.rate < 0.7 * 20
    assert move.start == 0 or move.end == 99


def test_servers_with_low_load_keep_their_keys():
    """Guards against needless moves, each of which causes a pause."""
    owned = {"a": [KeyRange(start=0, end=99, owner="a", epoch=1)], "b": []}
    loads = build_loads({key: 0.02 for key in range(100)})
    candidates = build_candidates({"a": 0.2, "b": 0.05})
    assert not plan_moves(owned, candidates, loads, excluded=set(), max_moves=4)


def test_keys_move_from_a_slow_server_to_a_fast_one():
    """Guards against late answers of a slow server while a fast one has room.

    The servers of the pool differ in speed; both are about half utilized.
    """
    owned = {
        "slow": [KeyRange(start=0, end=99, owner="slow", epoch=1)],
        "fast": [KeyRange(start=100, end=199, owner="fast", epoch=1)],
    }
    loads = build_loads({key: 0.06 for key in range(200)})
    candidates = build_candidates(
        {"slow": 0.6, "fast": 0.3}, latency_factor={"slow": 1.7, "fast": 0.7}
    )
    moves = plan_moves(owned, candidates, loads, excluded=set(), max_moves=4)
    assert [move.source for move in moves] == ["slow"]


def test_single_hot_key_moves_to_a_faster_server():
    """Guards against one hot key that stays on a slow server.

    One key gets a third of all requests, more than the slow server can serve.
    """
    owned = {
        "slow": [KeyRange(start=0, end=9, owner="slow", epoch=1)],
        "fast": [KeyRange(start=10, end=19, owner="fast", epoch=1)],
    }
    loads = build_loads({5: 25.0})
    candidates = build_candidates(
        {"slow": 4.0, "fast": 0.1}, cost=0.16, latency_factor={"slow": 1.6, "fast": 0.7}
    )
    candidates["fast"].cost = 0.07
    (move,) = plan_moves(owned, candidates, loads, excluded=set(), max_moves=4)
    assert (move.start, move.end) == (5, 5)


def test_hot_key_does_not_move_between_equal_servers():
    """Guards against a key that moves back and forth without a gain."""
    owned = {"a": [KeyRange(start=0, end=9, owner="a", epoch=1)], "b": []}
    candidates = build_candidates({"a": 2.5, "b": 0.0})
    loads = build_loads({5: 25.0})
    assert not plan_moves(owned, candidates, loads, excluded=set(), max_moves=4)


def test_server_with_too_many_ranges_is_not_chosen():
    """Guards against a heartbeat answer that is too long for a server to read."""
    candidates = build_candidates({"a": 0.0, "b": 0.5})
    candidates["a"].range_count = 64
    assert choose_target(candidates, 1.0).server == "b"


def test_rates_decay():
    """Guards against keys that count as busy long after their last request."""
    loads = KeyLoads()
    loads.add(7, 30)
    loads.decay(1.0)
    first = loads.rates[7]
    loads.decay(4.0)
    assert loads.rates[7] < 0.5 * first
    loads.decay(60.0)
    assert 7 not in loads.rates
