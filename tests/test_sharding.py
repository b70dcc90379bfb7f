"""Tests of the assignment of idempotency record shards to hosts."""

from collections import Counter

import pytest

from monsoonlug.commands import ConfirmBackup, DeregisterHost
from monsoonlug.ids import ServiceKind
from monsoonlug.sharding import plan_shards
from monsoonlug.view import SHARD_COUNT
from tests.fleet_builder import FleetBuilder


def apply_plans(fleet, live=None):
    """Applies plans until there is none left and returns the number of new copies."""
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
    raise AssertionError("plan still changes assignments after 300 rounds")


@pytest.fixture
def fleet():
    fleet = FleetBuilder(servers=1)
    apply_plans(fleet)
    return fleet


def check_balance(fleet, hosts):
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
    """Guards against a primary and a backup in the same failure domain."""
    check_balance(fleet, {"h0", "h1", "h2", "h3"})
    assert all(record.records_lost_epoch == 0 for record in fleet.view.shards.values())


def test_loss_of_a_host_changes_only_its_shards(fleet):
    """Guards against copying or losing records of shards of other hosts."""
    held = [
        record.shard
        for record in fleet.view.shards.values()
        if "h1" in (record.primary, record.backup)
    ]
    fleet.apply(DeregisterHost(host="h1", epoch=fleet.view.hosts["h1"].epoch))
    assert apply_plans(fleet) <= 1.2 * len(held)
    check_balance(fleet, {"h0", "h2", "h3"})
    assert all(record.records_lost_epoch == 0 for record in fleet.view.shards.values())


def test_loss_of_both_copies_is_recorded(fleet):
    """Guards against running requests again after both copies of a record are lost.

    The view must record the loss, so that the new primary treats them as unknown.
    """
    record = fleet.view.shards[0]
    for host in (record.primary, record.backup):
        fleet.apply(DeregisterHost(host=host, epoch=fleet.view.hosts[host].epoch))
    apply_plans(fleet)
    assert fleet.view.shards[0].records_lost_epoch > record.epoch


def test_host_out_of_service_keeps_no_shards(fleet):
    """Guards against new records on a host that was taken out of service."""
    fleet.set_service(ServiceKind.HOST, "h2")
    apply_plans(fleet)
    check_balance(fleet, {"h0", "h1", "h3"})
    assert all(record.records_lost_epoch == 0 for record in fleet.view.shards.values())


def test_new_host_gets_its_share(fleet):
    """Guards against a new host without shards, and against losing moved records."""
    fleet.add_host("h4", "d1")
    assert apply_plans(fleet) <= 1.2 * SHARD_COUNT * 2 / 5
    check_balance(fleet, {"h0", "h1", "h2", "h3", "h4"})
    assert all(record.records_lost_epoch == 0 for record in fleet.view.shards.values())


def test_single_host_keeps_all_shards_without_backups():
    """Guards against a plan that fails or never settles with a single host."""
    fleet = FleetBuilder(hosts=1, servers=1)
    assert apply_plans(fleet) == SHARD_COUNT


def test_primary_stays_until_its_backup_is_complete():
    """Guards against making an incomplete backup the primary, which loses records."""
    fleet = FleetBuilder(servers=1)
    live = set(fleet.view.hosts)
    for command in plan_shards(fleet.view, live):
        fleet.apply(command)
    for command in plan_shards(fleet.view, live - {"h1"}):
        assert command.primary == fleet.view.shards[command.shard].primary


@pytest.mark.parametrize(("boot", "records_lost"), [("b", False), ("c", True)])
def test_records_survive_the_end_of_a_session(boot, records_lost):
    """Guards against losing the records of a process that only lost its session.

    A new process of the same host (boot "c") has no records, and its shards must be
    marked as having lost them.
    """
    fleet = FleetBuilder(hosts=1, servers=1)
    apply_plans(fleet)
    fleet.apply(DeregisterHost(host="h0", epoch=fleet.view.hosts["h0"].epoch))
    fleet.add_host("h1", "d1")
    assert plan_shards(fleet.view, {"h1"}, await_lost_hosts=True) == []
    fleet.add_host("h0", "d0", boot=boot)
    apply_plans(fleet)
    lost = {bool(record.records_lost_epoch) for record in fleet.view.shards.values()}
    assert lost == {records_lost}


def test_shards_of_a_host_that_does_not_return_are_reassigned():
    """Guards against shards that wait forever for a lost host."""
    fleet = FleetBuilder(hosts=1, servers=1)
    apply_plans(fleet)
    fleet.apply(DeregisterHost(host="h0", epoch=fleet.view.hosts["h0"].epoch))
    fleet.add_host("h1", "d1")
    apply_plans(fleet)
    records = fleet.view.shards.values()
    assert all(
        record.primary == "h1" and record.records_lost_epoch for record in records
    )
