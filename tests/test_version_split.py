"""Tests of the choice of a version during a rollout."""

from collections import Counter
from dataclasses import replace
from random import Random
from types import SimpleNamespace

import pytest

from monsoonlug.fleet import FleetView
from monsoonlug.fleet_messages import FleetServer
from monsoonlug.fleet_targets import FleetTargetFinder
from monsoonlug.gatehost import ClosingTimes, LiveHost, list_gates
from monsoonlug.rollout_messages import Rollout, RolloutState, ServerVersionSet
from monsoonlug.subscription import KeyBlocks
from monsoonlug.version_split import MAX_LOAD_RATIO, MAX_VIEW_AGE
from tests.test_items import build_pool

DOMAINS = ("east", "north", "south", "west")
OLD, TARGET = "v1", "v2"


def add_servers(view, group, count, *, pool="desk", version=None):
    """Adds servers with names and, unless given, the version of a group."""
    version = version or group
    for number in range(count):
        name = f"{pool}-{group}-{number}"
        view.apply_change(
            FleetServer(
                server=name,
                born=1,
                pool=pool,
                address=f"{name}:80",
                failure_domain=DOMAINS[number % len(DOMAINS)],
                slots=6,
                draining=False,
            )
        )
        view.apply_change(ServerVersionSet(server=name, born=1, version=version))


def build_view(*, old=84, target=84):
    view = FleetView()
    view.apply_change(build_pool(keyed=False))
    add_servers(view, OLD, old)
    add_servers(view, TARGET, target)
    return view


def set_rollout(
    view, share, *, state=RolloutState.RUNNING, number=7, pool="desk", version=TARGET
):
    view.apply_change(
        Rollout(
            pool=pool,
            version=version,
            number=number,
            ordered_at_ms=0,
            duration=12.0,
            state=state,
            share=share,
        )
    )


class Chooser:
    """The part of an entry that chooses gates, with a view age set by the test."""

    def __init__(self, view, seed=1, domain="east"):
        self.view = view
        self.age = 0.0
        self.finder = FleetTargetFinder(
            clock=lambda: 50.0,
            random=Random(seed),
            host="h1",
            failure_domain=domain,
            is_reachable=lambda host: True,
            blocks=KeyBlocks(),
            closing_times=ClosingTimes(),
            get_view_age=lambda: self.age,
        )
        self.update()
        self.finder.update_hosts(
            [LiveHost(host="h1", failure_domain="east", stream="")]
        )

    def update(self):
        gates = list_gates(self.view)
        self.gates = {gate.name: servers for gate, servers in gates.items()}
        self.finder.update_fleet(self.view, gates)

    def choose(self, exclude=()):
        """Returns the gate of a request, or None."""
        route = SimpleNamespace(name="read", pool="desk")
        admitted = SimpleNamespace(routing_key="", route=route)
        target = self.finder.find(admitted, exclude)
        return target and target.server

    def send(self, count):
        """Returns how many requests went to each gate of the target version."""
        sent = Counter(self.choose() for _ in range(count))
        return {name: n for name, n in sent.items() if self.is_target(name)}

    def is_target(self, name):
        return self.gates[name][0].server.startswith(f"desk-{TARGET}")


@pytest.mark.parametrize("share", [0.0, 0.013, 0.05, 0.37, 0.999])
def test_share_is_exact_after_any_number_of_requests(share):
    """Guards against a bad version that gets more than its share by chance."""
    chooser = Chooser(build_view())
    set_rollout(chooser.view, share)
    chooser.update()
    sent = 0
    for count in range(1, 5_000):
        sent += chooser.is_target(chooser.choose())
        assert abs(sent - share * count) <= 1 + 1e-9


def test_share_is_exact_over_many_entries_with_few_requests():
    """Guards against entries that all send their first request to the target version.

    72 entries send 10 requests each at a share of 0.02.
    """
    view = build_view()
    set_rollout(view, 0.02)
    for trial in range(5):
        total = 0
        for entry in range(72):
            chooser = Chooser(view, seed=1_000 * trial + entry)
            total += sum(chooser.send(10).values())
        assert total <= 2 * 0.02 * 720


def test_a_higher_share_starts_without_a_burst():
    """Guards against requests that make up for those at an earlier share."""
    chooser = Chooser(build_view())
    total = 0
    for share in (0.02, 0.5, 0.02, 0.5):
        set_rollout(chooser.view, share)
        chooser.update()
        total += sum(chooser.send(100).values())
    assert total == pytest.approx(104, abs=1)


def test_shares_of_rollouts_without_target_servers_are_not_made_up_for():
    """Guards against a burst when the first target server registers."""
    chooser = Chooser(build_view(target=0))
    set_rollout(chooser.view, 0.1)
    chooser.update()
    assert chooser.send(1_000) == {}
    add_servers(chooser.view, TARGET, 3)
    chooser.update()
    assert sum(chooser.send(100).values()) <= 11


@pytest.mark.parametrize("share", [0.01, 0.03, 0.1, 0.5, 1.0])
def test_target_servers_in_use_have_the_load_of_the_end(share):
    """Guards against a fault under load that shows only when all requests have moved.

    One gate has 3 of the 84 servers, so a share below 0.036 loads it less. Entries of
    all domains send, as they prefer the gates of their own.
    """
    view = build_view()
    set_rollout(view, share)
    choosers = [Chooser(view, domain=domain) for domain in DOMAINS]
    count = 5_000
    sent = sum((Counter(chooser.send(count)) for chooser in choosers), Counter())
    servers = sum(len(choosers[0].gates[name]) for name in sent)
    load = sent.total() / servers
    end = count * len(DOMAINS) / 84
    assert load <= 1.01 * MAX_LOAD_RATIO * end
    assert load >= 0.5 * end or servers == 3
    # Without the waits of the gates, domains with one gate less are loaded more.
    busiest = max(n / len(choosers[0].gates[name]) for name, n in sent.items())
    assert busiest <= 2 * load


def test_all_entries_use_the_same_target_gates_and_keep_them():
    """Guards against a small share that is spread over all target servers."""
    view = build_view()
    used = set()
    for share in (0.02, 0.1, 0.3, 0.7, 1.0):
        set_rollout(view, share)
        found = set()
        for entry in range(8):
            chooser = Chooser(view, seed=entry, domain=DOMAINS[entry % 4])
            found |= set(chooser.send(1_000))
        assert used <= found
        assert len(found) <= share * 28 + 1
        used = found
    assert len(used) == 28


def test_old_view_sends_to_the_old_version_until_control_is_heard():
    """Guards against an entry that is cut off and never hears of the rollback."""
    chooser = Chooser(build_view())
    set_rollout(chooser.view, 1.0)
    chooser.update()
    assert sum(chooser.send(10).values()) == 10
    chooser.age = MAX_VIEW_AGE + 0.01
    assert chooser.send(100) == {}
    assert chooser.finder.stale_rollouts == 1
    chooser.age = 0.3
    assert sum(chooser.send(10).values()) == 10
    assert chooser.finder.stale_rollouts == 0


def test_old_view_does_not_matter_without_a_rollout():
    """Guards against refusals in a fleet without rollouts while control is away."""
    chooser = Chooser(build_view(old=0))
    chooser.age = 60.0
    assert chooser.choose() is not None


@pytest.mark.parametrize("share", [0.05, 0.9])
def test_retries_go_to_the_old_version(share):
    """Guards against requests that a bad version fails twice."""
    chooser = Chooser(build_view())
    set_rollout(chooser.view, share)
    chooser.update()
    target = next(name for name in chooser.gates if chooser.is_target(name))
    for _ in range(100):
        assert not chooser.is_target(chooser.choose(exclude={target}))
    # Retries do not count towards the share of first attempts.
    assert sum(chooser.send(1_000).values()) == pytest.approx(1_000 * share, abs=1)


def test_retries_avoid_old_servers_that_are_about_to_stop():
    """Guards against retries that are lost with the old servers at the end."""
    chooser = Chooser(build_view())
    set_rollout(chooser.view, 1.0)
    chooser.update()
    first = chooser.choose()
    for _ in range(100):
        second = chooser.choose(exclude={first})
        assert chooser.is_target(second) and second != first


def test_failed_target_request_has_an_alternative_only_at_the_old_version():
    """Guards against retries for which no gate is left."""
    chooser = Chooser(build_view(old=3, target=6))
    set_rollout(chooser.view, 0.5)
    chooser.update()
    old = [name for name in chooser.gates if not chooser.is_target(name)]
    tried = {name for name in chooser.gates if chooser.is_target(name)}
    target = SimpleNamespace(server=next(iter(tried)), slice=-1)
    assert chooser.finder.has_alternative(target, tried)
    assert not chooser.finder.has_alternative(target, set(old))


@pytest.mark.parametrize(
    ("old", "target", "share", "expected"),
    [(6, 0, 0.5, OLD), (6, 0, 1.0, OLD), (0, 6, 0.5, None), (0, 6, 1.0, TARGET)],
)
def test_version_without_gates(old, target, share, expected):
    """Guards against a share that is exceeded as the old servers are gone."""
    chooser = Chooser(build_view(old=old, target=target))
    set_rollout(chooser.view, share)
    chooser.update()
    for _ in range(100):
        gate = chooser.choose()
        version = gate and (TARGET if chooser.is_target(gate) else OLD)
        assert version == expected


def test_gates_are_unchanged_without_a_running_rollout():
    """Guards against queues that are lost in fleets without rollouts, and at the order.

    The target servers of the second view start after the order.
    """
    plain = build_view(target=0)
    with_versions = build_view(target=0)
    plain.versions = {}
    expected = list_gates(plain)
    assert list_gates(with_versions) == expected
    for state in RolloutState:
        set_rollout(with_versions, 0.1, state=state)
        assert list_gates(with_versions) == expected
    add_servers(with_versions, TARGET, 20)
    set_rollout(with_versions, 0.1)
    gates = list_gates(with_versions)
    others = {gate: servers for gate, servers in gates.items() if gate in expected}
    assert others == expected
    assert sum(len(servers) for servers in gates.values()) == 104


def test_gates_of_the_target_version_survive_the_end_of_the_rollout():
    """Guards against requests for servers that were stopped when it succeeded.

    An entry that knows of the success sends to a host that does not.
    """
    view = build_view(old=30, target=30)
    set_rollout(view, 1.0)
    before = {gate.name: servers for gate, servers in list_gates(view).items()}
    for number in range(30):
        record = view.servers[f"desk-{OLD}-{number}"]
        view.apply_change(replace(record, draining=True))
    set_rollout(view, 1.0, state=RolloutState.SUCCEEDED)
    after = list_gates(view)
    assert len(after) == 12
    for gate, servers in after.items():
        assert before[gate.name] == servers


def test_every_gate_has_servers_of_one_version():
    """Guards against requests for the old version that a target server gets."""
    view = build_view(old=30, target=30)
    set_rollout(view, 0.1)
    for servers in list_gates(view).values():
        assert len({view.get_version(record) for record in servers}) == 1
        assert len(servers) <= 3


def test_keyed_pool_keeps_its_gates():
    """Guards against keyed requests for gates that no entry serves."""
    view = build_view(old=4, target=4)
    view.apply_change(build_pool(keyed=True, version=2))
    expected = list_gates(view)
    set_rollout(view, 0.5)
    assert list_gates(view) == expected


def test_ended_rollouts_leave_nothing_behind():
    """Guards against an entry that grows with every rollout and version.

    There are four gates of each version.
    """
    chooser = Chooser(build_view(old=12, target=12))
    for number in range(10, 300):
        version = f"v{number}"
        add_servers(chooser.view, TARGET, 12, version=version)
        set_rollout(chooser.view, 0.5, number=number, version=version)
        chooser.update()
        chooser.send(20)
        state = RolloutState.ROLLED_BACK if number % 2 else RolloutState.SUCCEEDED
        set_rollout(chooser.view, 0.0, state=state, number=number, version=version)
        chooser.update()
        assert len(chooser.finder._splits) == 0
        assert len(chooser.finder._loads) <= 8


def test_a_later_rollout_of_the_pool_is_followed():
    """Guards against an entry that keeps the share of the previous rollout."""
    chooser = Chooser(build_view())
    set_rollout(chooser.view, 1.0, number=7)
    chooser.update()
    set_rollout(chooser.view, 0.0, number=9)
    chooser.update()
    assert chooser.send(100) == {}
