"""Checks changes of configuration items before they are sent to control.

Errors are what control would refuse. Warnings are items that can never take effect and
limits that contradict each other, which control accepts.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, fields
from enum import Enum

from monsoonlug.items import (
    Item,
    ItemKind,
    ItemRemoved,
    ItemTable,
    LimitsItem,
    PoolItem,
    RouteItem,
    WorkspaceItem,
    get_key,
)


class Severity(Enum):
    """How serious a finding is."""

    WARNING = "warning"
    ERROR = "error"


class ChangeType(Enum):
    """What a change does to the item in force."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"
    OUTDATED = "outdated"


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """A problem of an item, or of the whole configuration.

    Attributes:
        kind: Kind of the item, or None.
        name: Name of the item, or an empty string.
    """

    severity: Severity
    text: str
    kind: ItemKind | None = None
    name: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """What one change does to the items in force.

    Attributes:
        fields: Names of the fields whose values differ.
    """

    type: ChangeType
    kind: ItemKind
    name: str
    fields: tuple[str, ...] = ()


def check_changes(
    table: ItemTable, changes: Sequence[Item | ItemRemoved]
) -> list[Finding]:
    """Returns the findings in a table as it would be after the changes.

    Args:
        table: The items in force; empty if they are not known.
        changes: The changes to send.
    """
    result = ItemTable()
    for change in table.list_changes():
        result.apply(change)
    for change in result.select_newer(changes):
        result.apply(change)
    findings = []
    for text in result.list_problems():
        findings.append(Finding(severity=Severity.ERROR, text=text))
    for kind, name, text in _list_warnings(result):
        findings.append(
            Finding(severity=Severity.WARNING, kind=kind, name=name, text=text)
        )
    return findings


def compare_changes(
    table: ItemTable, changes: Sequence[Item | ItemRemoved]
) -> list[Difference]:
    """Returns what each change does to a table, without those that repeat an item."""
    differences = []
    effective = set(table.find_newest(changes))
    for position, change in enumerate(changes):
        kind, _ = get_key(change)
        present = table.find(kind, change.name)
        if change == present:
            continue
        changed: tuple[str, ...] = ()
        if position not in effective:
            change_type = ChangeType.OUTDATED
        elif isinstance(change, ItemRemoved):
            change_type = ChangeType.REMOVED
        elif present is None:
            change_type = ChangeType.ADDED
        else:
            change_type = ChangeType.CHANGED
            changed = _list_changed_fields(present, change)
        differences.append(
            Difference(type=change_type, kind=kind, name=change.name, fields=changed)
        )
    return differences


def _list_changed_fields(present: Item, change: Item) -> tuple[str, ...]:
    names = []
    for field in fields(change):
        if getattr(present, field.name) != getattr(change, field.name):
            names.append(field.name)
    return tuple(names)


def _list_warnings(table: ItemTable) -> Iterator[tuple[ItemKind, str, str]]:
    routes: list[RouteItem] = list(table.iterate(ItemKind.ROUTE))
    used_pools = set()
    for route in routes:
        for text in _list_route_warnings(route):
            yield ItemKind.ROUTE, route.name, text
        used_pools.update(pool for pool, weight in route.split if weight > 0)
    for pool in table.iterate(ItemKind.POOL):
        for text in _list_pool_warnings(pool, pool.name in used_pools):
            yield ItemKind.POOL, pool.name, text
    needs_keys = any(not route.open for route in routes)
    for workspace in table.iterate(ItemKind.WORKSPACE):
        for text in _list_workspace_warnings(workspace, needs_keys):
            yield ItemKind.WORKSPACE, workspace.name, text
    for limits in table.iterate(ItemKind.LIMITS):
        for text in _list_limits_warnings(limits):
            yield ItemKind.LIMITS, limits.name, text


def _list_route_warnings(route: RouteItem) -> Iterator[str]:
    if ":" in route.host:
        yield "no request matches, as the host has a port; ports are not compared"
    if route.timeout <= 0:
        yield "every request is refused, as the timeout is 0"
    elif route.objective > route.timeout:
        yield (
            f"the latency objective of {route.objective:g} s is longer than the "
            f"timeout of {route.timeout:g} s"
        )
    for pool, weight in route.split:
        if weight == 0:
            yield f"pool {pool} gets no requests, as its weight is 0"


def _list_pool_warnings(pool: PoolItem, is_used: bool) -> Iterator[str]:
    if not is_used:
        yield "no route sends requests to the pool"
    if pool.cold_rate > 0 and pool.cold_seconds <= 0:
        yield "the cold rate has no effect, as a cold start takes 0 s"


def _list_workspace_warnings(
    workspace: WorkspaceItem, needs_keys: bool
) -> Iterator[str]:
    if not workspace.key_digests:
        yield "no request matches, as the workspace has no key"
    elif not needs_keys:
        yield "its keys are never checked, as all routes are open"
    if workspace.rate > 0 and workspace.burst < 1:
        yield "the rate admits no request, as the burst is 0"
    if workspace.rate <= 0 and workspace.burst > 0:
        yield "the burst has no effect, as the rate is not limited"


def _list_limits_warnings(limits: LimitsItem) -> Iterator[str]:
    if limits.body_bytes == 0:
        yield "every request with a body is refused, as its size is limited to 0"
    if 0 < limits.idle_timeout < limits.header_timeout:
        yield (
            f"the time for a head of {limits.header_timeout:g} s is longer than the "
            f"idle time of {limits.idle_timeout:g} s"
        )
