"""Configuration items, each with a version of its own, and the check of a change.

Of each name the highest version holds, whether it sets the item or removes it. A lower
or equal version changes nothing, so a change can be sent again at any time.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from monsoonlug import messages
from monsoonlug.exceptions import BadRequest
from monsoonlug.ids import PoolId, RequestClass, RouteId, WorkspaceId


class ItemKind(Enum):
    """Kind of a configuration item."""

    ROUTE = "route"
    POOL = "pool"
    WORKSPACE = "workspace"
    LIMITS = "limits"


@messages.register(200)
@dataclass(frozen=True, slots=True, kw_only=True)
class RouteItem:
    """Requests to a host and path prefix, and the pools that serve them.

    Attributes:
        host: Value of the Host header, without a port.
        prefix: Path prefix; the longest one that matches decides.
        idempotent: Whether a request may run more than once.
        timeout: Seconds until the caller gets a final answer.
        objective: Seconds within which a good answer should come.
        priority: Rank; 0 is served first.
        split: Rows of pool and weight.
        max_attempts: Backend servers to which one request may be sent.
        open: Whether the route needs no workspace key.
    """

    name: RouteId
    version: int
    host: str
    prefix: str
    idempotent: bool
    timeout: float
    objective: float
    priority: int
    split: list
    max_attempts: int
    open: bool


@messages.register(201)
@dataclass(frozen=True, slots=True, kw_only=True)
class PoolItem:
    """A set of backend servers that serve the same routes.

    Attributes:
        keyed: Whether each routing key has one owner among the servers.
        connections: Connections that one server accepts from all hosts together.
        cold_seconds: Seconds for which a server is cold after its start.
        cold_rate: Requests per second that a cold server bears.
    """

    name: PoolId
    version: int
    keyed: bool
    connections: int
    cold_seconds: float
    cold_rate: float


@messages.register(202)
@dataclass(frozen=True, slots=True, kw_only=True)
class WorkspaceItem:
    """A tenant with its keys and its limits, summed over all hosts.

    Attributes:
        key_digests: SHA-256 digests of the keys.
        priority: Rank that replaces the route's, or -1 if it has none.
        rate: Requests per second; 0 for no limit.
        burst: Requests that may come at once.
    """

    name: WorkspaceId
    version: int
    key_digests: list
    priority: int
    rate: float
    burst: int


@messages.register(203)
@dataclass(frozen=True, slots=True, kw_only=True)
class LimitsItem:
    """What a caller may send; times in seconds."""

    name: str
    version: int
    header_bytes: int
    body_bytes: int
    header_timeout: float
    idle_timeout: float


Item = RouteItem | PoolItem | WorkspaceItem | LimitsItem

_KINDS = {
    RouteItem: ItemKind.ROUTE,
    PoolItem: ItemKind.POOL,
    WorkspaceItem: ItemKind.WORKSPACE,
    LimitsItem: ItemKind.LIMITS,
}


@messages.register(204)
@dataclass(frozen=True, slots=True, kw_only=True)
class ItemRemoved:
    """Removal of an item, which holds against all lower versions."""

    kind: ItemKind
    name: str
    version: int


def find_kind(item: Item) -> ItemKind:
    """Returns the kind of an item."""
    return _KINDS[type(item)]


def rank_request(route: RouteItem, workspace: WorkspaceItem | None) -> RequestClass:
    """Returns the class of a request; the workspace's priority replaces the route's."""
    priority = route.priority
    if workspace is not None and workspace.priority >= 0:
        priority = workspace.priority
    return RequestClass(min(priority, RequestClass.BACKGROUND.value))


class ItemTable:
    """The items in force, and the versions at which others were removed."""

    def __init__(self):
        self._items: dict[tuple[ItemKind, str], Item] = {}
        self._removed: dict[tuple[ItemKind, str], int] = {}

    def __len__(self) -> int:
        return len(self._items)

    def find(self, kind: ItemKind, name: str) -> Item | None:
        """Returns the item in force, if there is one."""
        return self._items.get((kind, name))

    def iterate(self, kind: ItemKind) -> Iterator[Item]:
        """Yields the items of a kind."""
        for (found, _), item in self._items.items():
            if found is kind:
                yield item

    def list_changes(self) -> list[Item | ItemRemoved]:
        """Returns the changes that lead from an empty table to this one."""
        changes: list[Item | ItemRemoved] = list(self._items.values())
        for (kind, name), version in self._removed.items():
            changes.append(ItemRemoved(kind=kind, name=name, version=version))
        return changes

    def select_newer(
        self, changes: Iterable[Item | ItemRemoved]
    ) -> list[Item | ItemRemoved]:
        """Returns the changes whose version is above the one held."""
        newest: dict[tuple[ItemKind, str], Item | ItemRemoved] = {}
        for change in changes:
            key = _find_key(change)
            held = newest.get(key)
            least = self._find_version(key) if held is None else held.version
            if change.version > least:
                newest[key] = change
        return list(newest.values())

    def put(self, change: Item | ItemRemoved) -> None:
        """Puts a change in force."""
        key = _find_key(change)
        if isinstance(change, ItemRemoved):
            self._items.pop(key, None)
            self._removed[key] = change.version
            return
        self._removed.pop(key, None)
        self._items[key] = change

    def check(self, changes: Iterable[Item | ItemRemoved]) -> None:
        """Checks the table that the changes would lead to.

        Raises:
            BadRequest: If a route names an unknown pool, two routes stand for the same
                place, or two workspaces share a key.
        """
        items = dict(self._items)
        for change in changes:
            key = _find_key(change)
            if isinstance(change, ItemRemoved):
                items.pop(key, None)
                continue
            items[key] = change
        _check_routes(items)
        _check_keys(items)

    def _find_version(self, key: tuple[ItemKind, str]) -> int:
        held = self._items.get(key)
        if held is not None:
            return held.version
        return self._removed.get(key, -1)


def _find_key(change: Item | ItemRemoved) -> tuple[ItemKind, str]:
    if isinstance(change, ItemRemoved):
        return change.kind, change.name
    return find_kind(change), change.name


def _check_routes(items: dict[tuple[ItemKind, str], Item]) -> None:
    places: dict[tuple[str, str], str] = {}
    for (kind, name), item in items.items():
        if kind is not ItemKind.ROUTE:
            continue
        other = places.setdefault((item.host, item.prefix), name)
        if other != name:
            raise BadRequest(f"routes {other} and {name} stand for the same place")
        for pool, _ in item.split:
            if (ItemKind.POOL, pool) not in items:
                raise BadRequest(f"route {name} names the unknown pool {pool}")


def _check_keys(items: dict[tuple[ItemKind, str], Item]) -> None:
    owners: dict[str, str] = {}
    for (kind, name), item in items.items():
        if kind is not ItemKind.WORKSPACE:
            continue
        for digest in item.key_digests:
            other = owners.setdefault(digest, name)
            if other != name:
                raise BadRequest(f"workspaces {other} and {name} share a key")
