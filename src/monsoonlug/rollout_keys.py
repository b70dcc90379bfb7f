"""Which servers may own keys while a rollout of their pool runs (pure functions).

Below share 1, the servers of other versions own the keys, and the share of the target
servers is the number of them that get keys at all, by directed moves. The balancer does
not choose between the versions: it would move keys away from a slow version, which
hides that it is slow. At share 1 only target servers may own keys.
"""

import math
from collections.abc import Iterable, Iterator, Mapping

from monsoonlug.balancing import KeyLoads, RangeMove, ServerLoad
from monsoonlug.fleet import FleetView
from monsoonlug.fleet_messages import FleetServer
from monsoonlug.ids import SLICE_COUNT, PoolId, ServerId
from monsoonlug.keyranges import NO_OWNER, KeyRange, KeyTable
from monsoonlug.releases import Release
from monsoonlug.rollout_decisions import PoolServers
from monsoonlug.rollout_messages import ServerVersionSet

MAX_MOVES_PER_SOURCE = 2  # ranges that one server is asked to release at a time
MIN_MEASURED_RATE = 1.0  # requests per second of a pool, below which keys are counted
# Of the wanted load; a larger range would make a canary much busier than planned.
MAX_OVERSHOOT = 1.3
_SPREAD = 40_503  # odd, so that multiples modulo the number of keys visit all of them


def split_candidates(
    view: FleetView, pool: PoolId, candidates: dict[ServerId, ServerLoad]
) -> tuple[dict[ServerId, ServerLoad], dict[ServerId, ServerLoad]]:
    """Returns the owners of keys and the canaries, of all possible ones.

    Canaries are the target servers that may own keys while servers of other versions
    own the rest. Those that already own keys come first.
    """
    rollout = view.find_running_rollout(pool)
    if rollout is None:
        return candidates, {}
    targets, others = {}, {}
    for name, candidate in candidates.items():
        is_target = view.is_target(view.servers[name])
        (targets if is_target else others)[name] = candidate
    if not targets or not others:
        return candidates, {}
    if rollout.share >= 1:
        return targets, {}
    count = math.ceil(rollout.share * len(targets))
    ranked = sorted(targets, key=lambda name: (not targets[name].key_count, name))
    return others, {name: targets[name] for name in ranked[:count]}


def must_release(
    view: FleetView,
    record: FleetServer,
    owners: Mapping[ServerId, ServerLoad],
    canaries: Mapping[ServerId, ServerLoad],
) -> bool:
    """Returns whether a server must release its keys because of a rollout.

    Args:
        view: The view.
        record: The server.
        owners: The owners of keys; see `split_candidates`.
        canaries: The canaries.
    """
    rollout = view.find_running_rollout(record.pool)
    if rollout is None or not owners or record.server in canaries:
        return False
    has_target_owners = view.is_target(view.servers[next(iter(owners))])
    return view.is_target(record) != has_target_owners


def plan_canary_moves(
    view: FleetView,
    table: KeyTable,
    loads: KeyLoads,
    releases: Iterable[Release],
    canaries: Mapping[ServerId, ServerLoad],
) -> list[RangeMove]:
    """Plans the moves that give the canaries as much load as they get at the end.

    Args:
        view: The view.
        table: Key ranges of the pool.
        loads: Request rates of the keys.
        releases: Releases that have begun.
        canaries: The target servers that may own keys.
    """
    if not canaries:
        return []
    targets = list(_iterate_targets(view, table.pool))
    total = loads.total
    is_measured = total >= MIN_MEASURED_RATE

    def measure(start: int, end: int) -> float:
        if is_measured:
            return loads.sum_between(start, end) / total
        return (end - start + 1) / SLICE_COUNT

    wanted = len(canaries) / max(1, len(targets))
    for key_range in table.iterate():
        if key_range.owner in canaries:
            wanted -= measure(key_range.start, key_range.end)
    busy = set()
    for release in releases:
        busy.add(release.start)
        if release.target in canaries:
            wanted -= measure(release.start, release.end)
    limit = wanted * MAX_OVERSHOOT
    moves: list[RangeMove] = []
    counts: dict[ServerId, int] = {}
    for key_range in sorted(table.iterate(), key=_rank_range):
        if wanted <= 0:
            break
        if not _is_movable(view, key_range, busy):
            continue
        part = measure(key_range.start, key_range.end)
        if part > limit or counts.get(key_range.owner, 0) >= MAX_MOVES_PER_SOURCE:
            continue
        counts[key_range.owner] = counts.get(key_range.owner, 0) + 1
        wanted -= part
        limit -= part
        move = RangeMove(
            start=key_range.start, end=key_range.end, source=key_range.owner
        )
        moves.append(move)
    return moves


def describe_servers(
    view: FleetView, pool: PoolId, *, usable: set[ServerId], warm: set[ServerId]
) -> PoolServers:
    """Returns what the decisions on a rollout need to know of its servers.

    Args:
        view: The view.
        pool: The pool.
        usable: Servers that send heartbeats and do not leave.
        warm: Servers that are not in their cold start.
    """
    targets = warm_targets = others = 0
    for record in view.servers.values():
        if record.pool != pool:
            continue
        if not view.is_target(record):
            others += 1
            continue
        if record.server in usable and view.is_in_service(record):
            targets += 1
            warm_targets += record.server in warm
    table = view.tables.get(pool)
    other_ranges = 0
    rollout = view.find_running_rollout(pool)
    # They are needed only at the end, and a table may have thousands of ranges.
    if table is not None and rollout is not None and rollout.share >= 1:
        for key_range in table.iterate():
            owner = view.servers.get(key_range.owner)
            other_ranges += owner is None or not view.is_target(owner)
    return PoolServers(
        is_keyed=table is not None,
        targets=targets,
        warm_targets=warm_targets,
        others=others,
        other_ranges=other_ranges,
    )


def plan_version(
    view: FleetView, record: FleetServer, version: str
) -> list[ServerVersionSet]:
    """Returns the command that records the version of a server, if it is new.

    It comes before the server's record, so that no view has a new server without it.
    """
    if view.get_version(record) == version:
        return []
    return [ServerVersionSet(server=record.server, born=record.born, version=version)]


def _iterate_targets(view: FleetView, pool: PoolId) -> Iterator[ServerId]:
    for record in view.servers.values():
        if (
            record.pool == pool
            and view.is_target(record)
            and view.is_in_service(record)
        ):
            yield record.server


def _is_movable(view: FleetView, key_range: KeyRange, busy: set[int]) -> bool:
    if key_range.owner == NO_OWNER or key_range.start in busy:
        return False
    owner = view.servers.get(key_range.owner)
    return owner is not None and not view.is_target(owner)


def _rank_range(key_range: KeyRange) -> int:
    """Spreads the chosen ranges over the key space."""
    return key_range.start * _SPREAD % SLICE_COUNT
