import pytest

from monsoonlug.balancing import (
    KeyLoads,
    Receiver,
    choose_receiver,
    plan_shifts,
    plan_stripes,
)
from monsoonlug.ids import SLICE_COUNT
from monsoonlug.keyranges import KeyRange


def build_loads(rates):
    return KeyLoads(rates=dict(rates))


def build_receivers(uses, *, cost=0.1, slowness=None):
    slowness = slowness or {}
    return {
        name: Receiver(
            server=name, use=use, cost=cost, slowness=slowness.get(name, 1.0)
        )
        for name, use in uses.items()
    }


@pytest.mark.parametrize("count", [1, 3, 29, 143])
def test_stripes_cover_all_keys_evenly(count):
    """Guards against keys without an owner, and one server with wide ranges."""
    servers = [f"s{number}" for number in range(count)]
    stripes = plan_stripes(servers)
    following = 0
    sizes = dict.fromkeys(servers, 0)
    for start, end, owner in stripes:
        assert start == following
        following = end + 1
        sizes[owner] += end - start + 1
    assert following == SLICE_COUNT
    assert max(sizes.values()) < 1.2 * min(sizes.values())


def test_busy_neighbours_are_spread_by_the_first_stripes():
    """Guards against one server that gets most of the load before any measurement.

    The pattern: an eighth of all keys, next to each other, has all the load.
    """
    servers = [f"s{number}" for number in range(29)]
    busy = SLICE_COUNT // 8
    loads = dict.fromkeys(servers, 0)
    for start, end, owner in plan_stripes(servers):
        loads[owner] += max(0, min(end, busy) - start)
    assert max(loads.values()) < 1.6 * busy / len(servers)


def test_load_above_the_mean_is_given_away():
    """Guards against a busy range that stays with a server beyond its slots.

    The pattern: neighbouring keys of one range get most requests.
    """
    owned = {
        "a": [KeyRange(start=0, end=99, owner="a", epoch=1)],
        "b": [KeyRange(start=100, end=199, owner="b", epoch=1)],
    }
    loads = build_loads({key: 0.2 for key in range(100)})
    receivers = build_receivers({"a": 2.0, "b": 0.0})
    (shift,) = plan_shifts(owned, receivers, loads, busy=set(), limit=4)
    assert shift.source == "a"
    assert 0.3 * 20 < shift.rate < 0.7 * 20
    assert shift.start == 0 or shift.end == 99


def test_calm_servers_keep_their_keys():
    """Guards against moves, each with a pause, that nobody needs."""
    owned = {"a": [KeyRange(start=0, end=99, owner="a", epoch=1)], "b": []}
    loads = build_loads({key: 0.02 for key in range(100)})
    receivers = build_receivers({"a": 0.2, "b": 0.05})
    assert not plan_shifts(owned, receivers, loads, busy=set(), limit=4)


def test_slow_server_gives_work_to_a_fast_one():
    """Guards against late answers of a slow server while a fast one has room.

    The pattern: servers of one pool differ in speed; both are half used.
    """
    owned = {
        "slow": [KeyRange(start=0, end=99, owner="slow", epoch=1)],
        "fast": [KeyRange(start=100, end=199, owner="fast", epoch=1)],
    }
    loads = build_loads({key: 0.06 for key in range(200)})
    receivers = build_receivers(
        {"slow": 0.6, "fast": 0.3}, slowness={"slow": 1.7, "fast": 0.7}
    )
    shifts = plan_shifts(owned, receivers, loads, busy=set(), limit=4)
    assert [shift.source for shift in shifts] == ["slow"]


def test_single_busy_key_goes_to_a_faster_server():
    """Guards against one busy key that stays on a slow server.

    The pattern: a third of all requests is about one key, more than a server bears.
    """
    owned = {
        "slow": [KeyRange(start=0, end=9, owner="slow", epoch=1)],
        "fast": [KeyRange(start=10, end=19, owner="fast", epoch=1)],
    }
    loads = build_loads({5: 25.0})
    receivers = build_receivers(
        {"slow": 4.0, "fast": 0.1}, cost=0.16, slowness={"slow": 1.6, "fast": 0.7}
    )
    receivers["fast"].cost = 0.07
    (shift,) = plan_shifts(owned, receivers, loads, busy=set(), limit=4)
    assert (shift.start, shift.end) == (5, 5)


def test_busy_key_does_not_move_between_equal_servers():
    """Guards against a key that moves to and fro without a gain."""
    owned = {"a": [KeyRange(start=0, end=9, owner="a", epoch=1)], "b": []}
    receivers = build_receivers({"a": 2.5, "b": 0.0})
    loads = build_loads({5: 25.0})
    assert not plan_shifts(owned, receivers, loads, busy=set(), limit=4)


def test_receiver_with_too_many_ranges_is_passed_over():
    """Guards against an answer that is longer than a server reads."""
    receivers = build_receivers({"a": 0.0, "b": 0.5})
    receivers["a"].ranges = 64
    assert choose_receiver(receivers, 1.0).server == "b"


def test_counts_fade():
    """Guards against keys that count as busy long after their time."""
    loads = KeyLoads()
    loads.add(7, 30)
    loads.age(1.0)
    first = loads.rates[7]
    loads.age(4.0)
    assert loads.rates[7] < 0.5 * first
    loads.age(60.0)
    assert 7 not in loads.rates
