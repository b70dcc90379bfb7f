"""Tests of the placement of gates on hosts by their capacity."""

import asyncio
import dataclasses
import json
import re
from collections import Counter
from functools import partial
from types import SimpleNamespace

import pytest
import xxhash

from monsoonlug.exceptions import DamagedFrame, InvalidFile
from monsoonlug.fleet_messages import LiveHostList
from monsoonlug.gatehost import GateId, LiveHost
from monsoonlug.host_limits import HostLimits
from monsoonlug.host_messages import HostCapacity, HostWeights, check_host_capacity
from monsoonlug.host_weights import (
    CALLER_LOAD,
    LOCAL_CANDIDATES,
    CapacityReporter,
    HostCapacities,
    HostRanking,
)
from monsoonlug.live_hosts import LiveHosts
from monsoonlug.platform.settings import NodeFile
from monsoonlug.subscription import Subscription
from tests.platform_fleet import PlatformFleet
from tests.test_clients import METRICS_PORT
from tests.test_publisher import build_heartbeat

# Deployment A: hosts in 4 failure domains, each with Mbit/s and cores.
SMALL, LARGE = (3.7, 0.322), (12.0, 1.07)
HOSTS = {f"h{number}": LARGE if number % 5 == 0 else SMALL for number in range(80)}
GATES = [
    GateId(pool="p", name=f"p/{number}", failure_domain=f"d{number % 4}")
    for number in range(2000)
]


def build_capacity(host, limits):
    return HostCapacity(host=host, link_mbps=limits[0], cores=limits[1])


def build_hosts(*, names=HOSTS, limits=HOSTS):
    capacities = HostCapacities()
    for name in limits:
        capacities.record(build_capacity(name, limits[name]))
    weights = capacities.find_weights(list(names))
    return [
        LiveHost(
            host=name,
            failure_domain=f"d{int(name[1:]) % 4}",
            stream="",
            weight=weights.get(name, 1.0),
        )
        for name in names
    ]


def rank_equally(gate, hosts):
    """Baseline: the order of hosts before they had weights."""

    def rank(host):
        return -xxhash.xxh64_intdigest(f"{gate.name}|{host.host}".encode())

    ranked = sorted(hosts, key=rank)
    local = [item for item in ranked if item.failure_domain == gate.failure_domain]
    preferred = local[:LOCAL_CANDIDATES]
    return preferred + [item for item in ranked if item not in preferred]


@pytest.mark.parametrize("weight", [1.0, 0.2])
def test_order_of_equal_hosts_is_as_before(weight):
    """Guards against gates that move in fleets whose hosts are all alike."""
    hosts = build_hosts(limits=dict.fromkeys(HOSTS, SMALL))
    assert {item.weight for item in hosts} == {1.0}
    hosts = [dataclasses.replace(item, weight=weight) for item in hosts]
    ranking = HostRanking(hosts)
    for gate in GATES[:200]:
        assert ranking.rank(gate) == rank_equally(gate, hosts)


def test_load_of_a_host_follows_its_capacity():
    """Guards against small hosts whose links are full while large ones are idle.

    Callers use 0.8 of each small host, and hosts get gates by what they have left, but
    for chance.
    """
    hosts = build_hosts()
    weights = {item.host: item.weight for item in hosts}
    counts = Counter(HostRanking(hosts).rank(gate)[0].host for gate in GATES)
    for domain in range(4):
        names = [name for name in HOSTS if int(name[1:]) % 4 == domain]
        gates = sum(counts[name] for name in names)
        large = [name for name in names if HOSTS[name] is LARGE]
        share = sum(weights[name] for name in large) / sum(map(weights.get, names))
        found = sum(counts[name] for name in large)
        deviation = (gates * share * (1 - share)) ** 0.5
        assert abs(found - gates * share) <= 4 * deviation
        # With equal weights, the large hosts get no more than their share of the hosts.
        assert found > gates * len(large) / len(names) + 4 * deviation


def test_loss_of_a_large_host_moves_only_its_gates():
    """Guards against gates that move although their hosts are live."""
    before = HostRanking(build_hosts())
    after = HostRanking(build_hosts(names=[name for name in HOSTS if name != "h5"]))
    moved = 0
    for gate in GATES:
        if before.rank(gate)[0].host == "h5":
            moved += 1
            continue
        assert after.rank(gate)[0].host == before.rank(gate)[0].host
    assert moved


@pytest.mark.parametrize(
    ("limits", "expected"),
    [
        ({"h1": (4.0, 1.0), "h2": (8.0, 4.0)}, {"h1": 1.0, "h2": 2.0}),
        ({"h1": (4.0, 0.0), "h2": (8.0, 0.0)}, {"h1": 1.0, "h2": 2.0}),
        ({"h1": (4.0, 0.0), "h2": (0.0, 2.0)}, {}),
        ({"h2": (4.0, 1.0)}, {}),
        ({"h2": (4.0, 1.0), "h3": (8.0, 2.0)}, {"h1": 1.0, "h2": 1.0, "h3": 2.0}),
        ({}, {}),
    ],
)
def test_capacity_is_the_lower_of_link_and_cores(limits, expected):
    """Guards against weights by a limit that another one makes useless."""
    capacities = HostCapacities()
    for host, values in limits.items():
        capacities.record(build_capacity(host, values))
    found = capacities.find_weights(sorted({"h1", "h2", *limits}))
    assert found == {
        host: pytest.approx(value - CALLER_LOAD) for host, value in expected.items()
    }


def test_weights_precede_the_list_only_where_hosts_differ():
    """Guards against a new message where nothing calls for it, or a list without it."""
    live = LiveHosts()
    for host in ("h1", "h2"):
        heartbeat = dataclasses.replace(build_heartbeat(1), host=host)
        live.record_heartbeat(0.0, heartbeat)
    assert live.update(0.0, may_change=True)
    assert [type(item) for item in live.build_messages(1)] == [LiveHostList]
    live.record_capacity(build_capacity("h1", SMALL))
    assert not live.update(0.1, may_change=True)
    live.record_capacity(build_capacity("h2", LARGE))
    assert live.update(0.2, may_change=True)
    weights, listed = live.build_messages(1)
    assert weights.rows[0] == ["h1", 0.2]
    assert listed.rows == live.rows
    live.record_heartbeat(1.0, build_heartbeat(2))
    assert live.update(1.7, may_change=True)
    assert [type(item) for item in live.build_messages(1)] == [LiveHostList]


@pytest.mark.parametrize(("term", "weight"), [(4, 2.4), (3, 1.0)])
def test_entry_applies_weights_with_the_next_list_only(term, weight):
    """Guards against weights of an earlier list, or of another leader."""
    received = []
    entry = SimpleNamespace(
        _host_weights={},
        _term=4,
        rate_limiter=SimpleNamespace(set_host_count=[].append),
        _on_hosts=received.append,
    )
    entry._handle_live_hosts = partial(Subscription._handle_live_hosts, entry)
    listed = LiveHostList(term=4, rows=[["h1", "d1", "s"]])
    Subscription._receive(entry, "c1", HostWeights(term=term, rows=[["h1", 2.4]]))
    for _ in range(2):
        Subscription._receive(entry, "c1", listed)
    assert [hosts[0].weight for hosts in received] == [weight, 1.0]


def test_capacity_is_reported_once_per_contact_and_only_if_limited():
    """Guards against a leader that never learns a capacity, and needless messages."""
    reporter = CapacityReporter(host="h1", limits=HostLimits(link_mbps=3.7))
    assert reporter.find_due(0) is None
    assert reporter.find_due(1) == build_capacity("h1", (3.7, 0.0))
    reporter.record_sent(1)
    assert reporter.find_due(1) is None
    assert reporter.find_due(2) is not None
    assert CapacityReporter(host="h1", limits=HostLimits()).find_due(1) is None


@pytest.mark.parametrize("value", [float("nan"), float("inf"), -1.0, 1e10])
def test_damaged_capacity_is_refused(value):
    """Guards against one host's report that makes the weights of all useless."""
    with pytest.raises(DamagedFrame):
        check_host_capacity(build_capacity("h1", (value, 1.0)))


def read_limits(folder, limits):
    path = folder / "node.json"
    settings = {
        "nodeName": "h1",
        "zone": "a",
        "ip": "10.0.0.1",
        "listen": {"front": "10.0.0.1:80", "readiness": "10.0.0.1:81"},
        "seeds": [],
        "internalPortRange": [7000, 7010],
        "bounds": [],
        "limits": limits,
    }
    path.write_text(json.dumps(settings))
    return NodeFile(path).build_entry().host_limits


@pytest.mark.parametrize(
    ("limits", "expected"),
    [
        ({}, (None, None)),
        ({"linkMbps": 0, "cpuCores": None}, (None, None)),
        ({"linkMbps": 3.7, "cpuShare": 0.322, "cpuCores": 1}, (3.7, 0.322)),
        ({"linkMbps": 12, "cpuCores": 2}, (12.0, 2.0)),
        ({"cpuShare": 0.5, "cpuCores": 2}, (None, 1.0)),
    ],
)
def test_limits_of_the_settings_are_read(tmp_path, limits, expected):
    """Guards against a large host that counts as one without limits."""
    found = read_limits(tmp_path, limits)
    assert (found.link_mbps, found.cores) == expected


@pytest.mark.parametrize("name", ["linkMbps", "cpuShare", "cpuCores"])
@pytest.mark.parametrize("value", [-1, "fast", True, float("nan"), 1e99])
def test_invalid_limits_are_reported(tmp_path, name, value):
    """Guards against a limit that is ignored without a word."""
    with pytest.raises(InvalidFile) as caught:
        read_limits(tmp_path, {name: value})
    assert [item.path for item in caught.value.problems] == [f"$.limits.{name}"]


async def read_weight(fleet, entry):
    async with fleet.session.get(f"http://{entry.ip}:{METRICS_PORT}/metrics") as answer:
        text = await answer.text()
    return float(re.search(r"^monsoonlug_host_weight (\S+)$", text, re.M).group(1))


async def test_processes_use_the_weights_of_their_settings(tmp_path):
    """Guards against weights that no process sends, receives or applies."""
    entries = ("east",) * 3
    fleet = PlatformFleet(tmp_path, entries=entries, servers=("east",))
    for entry, link in zip(fleet.entries, (12.0, 4.0, None), strict=True):
        entry.settings["limits"] = {"linkMbps": link}
    async with fleet:
        for _ in range(100):
            weights = [await read_weight(fleet, entry) for entry in fleet.entries]
            if weights == [2.2, 0.2, 0.2]:
                break
            await asyncio.sleep(0.05)
        assert weights == [2.2, 0.2, 0.2]
        for entry in fleet.entries:
            answer = await fleet.send(
                entry, "/lookup/", request_id=entry.name, deadline=5.0
            )
            assert answer == 200
