"""Assigns the shards of idempotency records to hosts (pure functions)."""

from collections import Counter
from collections.abc import Collection

from monsoonlug.commands import AssignShard
from monsoonlug.deltas import ShardRecord
from monsoonlug.ids import Epoch, HostId
from monsoonlug.placement import select_hosts
from monsoonlug.view import SHARD_COUNT, View

MIN_SHARD_GAIN = 3  # shards by which the new host must have fewer than the old one


class _ShardPlanner:
    """Chooses hosts by the number of their shards, including planned assignments.

    Attributes:
        view: The current view.
        hosts: Hosts that may hold shards.
        roles: Shards of each host, as primary or backup.
        primaries: Shards of each host as primary.
        pairs: Shards of each pair of primary and backup.
    """

    def __init__(self, *, view: View, hosts: Collection[HostId]):
        self.view = view
        self.hosts = select_hosts(view, hosts)
        self.roles = Counter()
        self.primaries = Counter()
        self.pairs = Counter()
        for record in view.shards.values():
            self.roles[record.primary] += 1
            self.roles[record.backup] += 1
            self.primaries[record.primary] += 1
            self.pairs[frozenset((record.primary, record.backup))] += 1

    def choose_host(self, *, other_than: HostId | None = None) -> HostId:
        """Returns the host with the fewest shards, or an empty name if there is none.

        Never returns `other_than`, and prefers hosts outside its failure domain.
        """
        other = self.view.hosts.get(other_than)
        domain = other.failure_domain if other else None
        names = [host for host in self.hosts if host != other_than]
        if not names:
            return HostId("")
        return min(names, key=lambda host: self._rank(host, other_than, domain))

    def _rank(self, host: HostId, other: HostId | None, domain: str | None) -> tuple:
        # Spreads the backups of a host's shards over many hosts, so that its loss does
        # not put all its load on one of them.
        same = self.hosts[host].failure_domain == domain
        load = self.roles[host] + 2 * self.pairs[frozenset((host, other))]
        return same, load, self.primaries[host], host

    def has_other_domain(self, host: HostId, primary: HostId) -> bool:
        """Whether a host and a primary are in different failure domains."""
        domain = self.hosts[primary].failure_domain
        return self.hosts[host].failure_domain != domain

    def is_well_placed(self, record: ShardRecord) -> bool:
        """Whether primary and backup are in different failure domains, if possible."""
        if record.backup not in self.hosts:
            return False
        domain = self.view.hosts[record.primary].failure_domain
        if self.hosts[record.backup].failure_domain != domain:
            return True
        domains = {host.failure_domain for host in self.hosts.values()}
        return domains <= {domain}

    def assign(self, shard: int, primary: HostId, backup: HostId) -> AssignShard:
        """Returns the command that assigns a shard, and updates the counts."""
        old = self.view.shards.get(shard)
        if old is not None:
            self.roles[old.primary] -= 1
            self.roles[old.backup] -= 1
            self.primaries[old.primary] -= 1
            self.pairs[frozenset((old.primary, old.backup))] -= 1
        self.pairs[frozenset((primary, backup))] += 1
        self.roles[primary] += 1
        self.roles[backup] += 1
        self.primaries[primary] += 1
        hosts = self.view.hosts
        return AssignShard(
            shard=shard,
            epoch=old.epoch if old else Epoch(0),
            primary=primary,
            primary_epoch=hosts[primary].epoch,
            backup=backup,
            backup_epoch=hosts[backup].epoch if backup else Epoch(0),
        )


def plan_shards(
    view: View,
    live_hosts: Collection[HostId],
    *,
    await_lost_hosts: bool = False,
    limit: int = 4,
) -> list[AssignShard]:
    """Plans assignments of the shards of idempotency records to hosts.

    A primary is replaced only by its backup, and only once the backup holds all
    records. From then on the backup rejects messages of the earlier assignment. As a
    primary grants no request without a copy at its backup, the old and the new primary
    never act at the same time.

    Args:
        view: The current view.
        live_hosts: Hosts that have a session and are not leaving.
        await_lost_hosts: Whether a shard without hosts waits for the process that held
            its records when its session ended, as it may reconnect.
        limit: Maximum number of assignments that only improve the balance.
    """
    planner = _ShardPlanner(view=view, hosts=live_hosts)
    if not planner.hosts:
        return []
    plan = []
    for number in range(SHARD_COUNT):
        command = _repair_shard(planner, number, await_lost_hosts)
        if command is not None:
            plan.append(command)
    if not plan:
        plan.extend(_balance_shards(planner, limit))
    return plan


def _find_lost(planner: _ShardPlanner, record: ShardRecord) -> HostId | None:
    """Returns the host that lost its session, if its process may hold the records."""
    if not record.lost_host:
        return None
    host = planner.view.hosts.get(record.lost_host)
    if host is not None and host.boot != record.lost_boot:
        return None
    return record.lost_host


def _repair_shard(
    planner: _ShardPlanner, number: int, await_lost_hosts: bool
) -> AssignShard | None:
    record = planner.view.shards.get(number)
    if record is None or not record.primary:
        primary = planner.choose_host()
        lost = _find_lost(planner, record) if record else None
        if lost in planner.hosts:
            primary = lost
        elif lost and await_lost_hosts:
            return None
        return planner.assign(number, primary, planner.choose_host(other_than=primary))
    if record.primary not in planner.hosts:
        if record.backup_ready and record.backup in planner.hosts:
            primary = record.backup
            return planner.assign(
                number, primary, planner.choose_host(other_than=primary)
            )
        if record.primary not in planner.view.hosts:
            return None
    if planner.is_well_placed(record):
        return None
    backup = planner.choose_host(other_than=record.primary)
    if backup == record.backup:
        return None
    return planner.assign(number, record.primary, backup)


def _balance_shards(planner: _ShardPlanner, limit: int) -> list[AssignShard]:
    plan = []
    for number in range(SHARD_COUNT):
        if len(plan) >= limit:
            break
        record = planner.view.shards[number]
        if not record.backup_ready or record.primary not in planner.hosts:
            continue
        primaries = planner.primaries
        if primaries[record.primary] >= primaries[record.backup] + MIN_SHARD_GAIN:
            plan.append(planner.assign(number, record.backup, record.primary))
            continue
        names = sorted(planner.hosts, key=lambda host: (planner.roles[host], host))
        others = [
            host for host in names if planner.has_other_domain(host, record.primary)
        ]
        if not others:
            continue
        other = others[0]
        if planner.roles[record.backup] < planner.roles[other] + MIN_SHARD_GAIN:
            continue
        plan.append(planner.assign(number, record.primary, other))
    return plan
