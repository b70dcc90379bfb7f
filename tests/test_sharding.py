"""Tests of the plans of the record shards."""

from collections import Counter

import pytest

from monsoonlug.commands import ConfirmBackup, DeregisterHost
from monsoonlug.ids import ServiceKind
from monsoonlug.sharding import plan_shards
from monsoonlug.view import SHARD_COUNT
from tests.fleet_builder import FleetBuilder


def settle(fleet, live=None):
    """Carries out plans until none is left; returns how many copies were made."""
    copies = 0
    for _ in range(300):
        plan = plan_shards(fleet.view, live or set(fleet.view.hosts))
        for command in plan:
            old = fleet.view.shards.get(command.shard)
            before = {old.primary, old.backup} if old else set()
            copies += len({command.primary, command.backup} - before - {""})
            fleet.apply(command)
        for record in list(fleet.view.shards.values()):
            if record.backup and not record.backup_ready:
                fleet.apply(ConfirmBackup(shard=record.shard, epoch=record.epoch))
        if not plan:
            return copies
    raise AssertionError("the plan never ends")


@pytest.fixture
def fleet():
    fleet = FleetBuilder(servers=1)
    settle(fleet)
    return fleet


def check(fleet, hosts):
    roles, primaries = Counter(), Counter()
    for record in fleet.view.shards.values():
        pair = [fleet.view.hosts[name] for name in (record.primary, record.backup)]
        assert pair[0].failure_domain != pair[1].failure_domain
        roles.update((record.primary, record.backup))
        primaries[record.primary] += 1
    assert set(roles) == hosts
    assert max(roles.values()) - min(roles.values()) <= 4
    assert max(primaries.values()) - min(primaries.values()) <= 4


def test_shards_are_balanced_over_failure_domains(fleet):
    """Guards against shards whose two copies fail together."""
    check(fleet, {"h0", "h1", "h2", "h3"})
    assert all(record.records_lost_epoch == 0 for record in fleet.view.shards.values())


def test_loss_of_a_host_changes_only_its_shards(fleet):
    """Guards against records that are copied or lost without need."""
    held = [
        record.shard
        for record in fleet.view.shards.values()
        if "h1" in (record.primary, record.backup)
    ]
    fleet.apply(DeregisterHost(host="h1", epoch=fleet.view.hosts["h1"].epoch))
    assert settle(fleet) <= 1.2 * len(held)
    check(fleet, {"h0", "h2", "h3"})
    assert all(record.records_lost_epoch == 0 for record in fleet.view.shards.values())


def test_loss_of_both_copies_is_recorded(fleet):
    """Guards against a shard that forgets that requests may have run."""
    record = fleet.view.shards[0]
    for host in (record.primary, record.backup):
        fleet.apply(DeregisterHost(host=host, epoch=fleet.view.hosts[host].epoch))
    settle(fleet)
    assert fleet.view.shards[0].records_lost_epoch > record.epoch


def test_host_out_of_service_gives_its_shards_away(fleet):
    """Guards against new records on a host that leaves."""
    fleet.set_service(ServiceKind.HOST, "h2")
    settle(fleet)
    check(fleet, {"h0", "h1", "h3"})
    assert all(record.records_lost_epoch == 0 for record in fleet.view.shards.values())


def test_new_host_gets_its_part(fleet):
    """Guards against a host that never gets shards, or gets them by losing records."""
    fleet.add_host("h4", "d1")
    assert settle(fleet) <= 1.2 * SHARD_COUNT * 2 / 5
    check(fleet, {"h0", "h1", "h2", "h3", "h4"})
    assert all(record.records_lost_epoch == 0 for record in fleet.view.shards.values())


def test_single_host_keeps_all_shards_without_backups():
    """Guards against a plan that fails or flaps on a small fleet."""
    fleet = FleetBuilder(hosts=1, servers=1)
    assert settle(fleet) == SHARD_COUNT


def test_primary_stays_until_its_backup_is_complete():
    """Guards against a planned change that loses records."""
    fleet = FleetBuilder(servers=1)
    live = set(fleet.view.hosts)
    for command in plan_shards(fleet.view, live):
        fleet.apply(command)
    for command in plan_shards(fleet.view, live - {"h1"}):
        assert command.primary == fleet.view.shards[command.shard].primary


@pytest.mark.parametrize(("boot", "is_blank"), [("b", False), ("c", True)])
def test_records_survive_a_session_that_ended(boot, is_blank):
    """Guards against lost records of a process that lives, and trust in a new one."""
    fleet = FleetBuilder(hosts=1, servers=1)
    settle(fleet)
    fleet.apply(DeregisterHost(host="h0", epoch=fleet.view.hosts["h0"].epoch))
    fleet.add_host("h1", "d1")
    assert plan_shards(fleet.view, {"h1"}, patient=True) == []
    fleet.add_host("h0", "d0", boot=boot)
    settle(fleet)
    blank = {bool(record.records_lost_epoch) for record in fleet.view.shards.values()}
    assert blank == {is_blank}


def test_shards_of_a_host_that_stays_away_are_assigned_anew():
    """Guards against shards that wait for a lost host without end."""
    fleet = FleetBuilder(hosts=1, servers=1)
    settle(fleet)
    fleet.apply(DeregisterHost(host="h0", epoch=fleet.view.hosts["h0"].epoch))
    fleet.add_host("h1", "d1")
    settle(fleet)
    records = fleet.view.shards.values()
    assert all(
        record.primary == "h1" and record.records_lost_epoch for record in records
    )
