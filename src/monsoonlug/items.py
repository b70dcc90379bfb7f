"""Versioned configuration items of a fleet, and validation of their changes.

For each name, the change with the highest version is in force, whether it sets or
removes the item. A change with a lower or equal version has no effect, so any change
can be sent again at any time.
"""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum

from monsoonlug import messages
from monsoonlug.exceptions import BadRequest
from monsoonlug.ids import PoolId, RequestClass, RouteId, WorkspaceId

MIN_RATE = 1e-6  # requests per second; the time between two requests must be finite
MAX_RATE = 2.0**53  # requests per second


class ItemKind(Enum):
    """Kind of a configuration item."""

    ROUTE = "route"
    POOL = "pool"
    WORKSPACE = "workspace"
    LIMITS = "limits"


@messages.register(200)
@dataclass(frozen=True, slots=True, kw_only=True)
class RouteItem:
    """A route: host and path prefix of its requests, and the pools that serve them.

    Attributes:
        host: Value of the Host header, without a port.
        prefix: Path prefix; the longest matching prefix wins.
        idempotent: Whether a request may run more than once.
        timeout: Seconds until the caller gets a final response.
        objective: Latency objective of a successful response, in seconds.
        priority: Priority of requests; 0 is the highest.
        split: Rows of pool and weight, which divide the requests.
        max_attempts: Maximum number of backend servers tried for one request.
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
        connections: Maximum number of connections to one server, over all hosts.
        cold_seconds: Seconds for which a server is cold after its start.
        cold_rate: Maximum rate of a cold server, in requests per second.
        health_path: URL path of the servers' health check, or an empty string.
    """

    name: PoolId
    version: int
    keyed: bool
    connections: int
    cold_seconds: float
    cold_rate: float
    health_path: str = ""


@messages.register(202)
@dataclass(frozen=True, slots=True, kw_only=True)
class WorkspaceItem:
    """A tenant with its keys, and its rate limit over all hosts together.

    Attributes:
        key_digests: SHA-256 digests of the keys.
        priority: Priority that replaces the route's, or -1 for none.
        rate: Maximum rate in requests per second; 0 for no limit.
        burst: Maximum number of requests admitted at once.
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
    """Limits on what a caller may send.

    Attributes:
        header_bytes: Maximum size of a request's headers.
        body_bytes: Maximum size of a request's body.
        header_timeout: Seconds within which a request's headers must arrive.
        idle_timeout: Seconds until an idle connection is closed.
    """

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
    """Removes an item; overrides all lower versions of it."""

    kind: ItemKind
    name: str
    version: int


def is_rate(number: float) -> bool:
    """Returns whether a number is a rate, or 0 for no limit."""
    return number == 0 or MIN_RATE <= number <= MAX_RATE


def get_kind(item: Item) -> ItemKind:
    """Returns the kind of an item."""
    return _KINDS[type(item)]


def get_key(change: Item | ItemRemoved) -> tuple[ItemKind, str]:
    """Returns kind and name of the item that a change sets or removes."""
    if isinstance(change, ItemRemoved):
        return change.kind, change.name
    return get_kind(change), change.name


def classify_request(route: RouteItem, workspace: WorkspaceItem | None) -> RequestClass:
    """Returns the class of a request; the workspace's priority replaces the route's."""
    priority = route.priority
    if workspace is not None and workspace.priority >= 0:
        priority = workspace.priority
    return RequestClass(min(priority, RequestClass.BACKGROUND.value))


class ItemTable:
    """The items in force, and the versions at which other items were removed."""

    def __init__(self):
        self._items: dict[tuple[ItemKind, str], Item] = {}
        self._removed: dict[tuple[ItemKind, str], int] = {}

    def __len__(self) -> int:
        return len(self._items)

    def find(self, kind: ItemKind, name: str) -> Item | None:
        """Returns the item in force, or None."""
        return self._items.get((kind, name))

    def iterate(self, kind: ItemKind) -> Iterator[Item]:
        """Yields the items of a kind."""
        for (item_kind, _), item in self._items.items():
            if item_kind is kind:
                yield item

    def iterate_names(self, kind: ItemKind) -> Iterator[str]:
        """Yields the names of the items of a kind, with those of removed items."""
        for item_kind, name in (*self._items, *self._removed):
            if item_kind is kind:
                yield name

    def list_changes(self) -> list[Item | ItemRemoved]:
        """Returns the changes that build this table from an empty one."""
        changes: list[Item | ItemRemoved] = list(self._items.values())
        for (kind, name), version in self._removed.items():
            changes.append(ItemRemoved(kind=kind, name=name, version=version))
        return changes

    def find_newest(self, changes: Sequence[Item | ItemRemoved]) -> list[int]:
        """Returns the positions of the changes that take effect.

        That is the newest change of each item, if newer than the table's version. Among
        changes with equal versions, the first one takes effect.
        """
        newest: dict[tuple[ItemKind, str], int] = {}
        for position, change in enumerate(changes):
            key = get_key(change)
            earlier = newest.get(key)
            if earlier is None:
                version = self._get_version(key)
            else:
                version = changes[earlier].version
            if change.version > version:
                newest[key] = position
        return list(newest.values())

    def select_newer(
        self, changes: Sequence[Item | ItemRemoved]
    ) -> list[Item | ItemRemoved]:
        """Returns the newest change of each item, if newer than the table's version."""
        return [changes[position] for position in self.find_newest(changes)]

    def apply(self, change: Item | ItemRemoved) -> None:
        """Applies a change regardless of its version."""
        key = get_key(change)
        if isinstance(change, ItemRemoved):
            self._items.pop(key, None)
            self._removed[key] = change.version
            return
        self._removed.pop(key, None)
        self._items[key] = change

    def check(self, changes: Iterable[Item | ItemRemoved]) -> None:
        """Validates the table as it would be after the changes.

        Raises:
            BadRequest: If a route names an unknown pool, two routes have the same host
                and path prefix, or two workspaces share a key.
        """
        items = dict(self._items)
        for change in changes:
            key = get_key(change)
            if isinstance(change, ItemRemoved):
                items.pop(key, None)
                continue
            items[key] = change
        for problem in _list_problems(items):
            raise BadRequest(problem)

    def list_problems(self) -> list[str]:
        """Returns why `check` would refuse the table as it is."""
        return list(_list_problems(self._items))

    def _get_version(self, key: tuple[ItemKind, str]) -> int:
        item = self._items.get(key)
        if item is not None:
            return item.version
        return self._removed.get(key, -1)


def _list_problems(items: dict[tuple[ItemKind, str], Item]) -> Iterator[str]:
    yield from _list_route_problems(items)
    yield from _list_key_problems(items)


def _list_route_problems(items: dict[tuple[ItemKind, str], Item]) -> Iterator[str]:
    names: dict[tuple[str, str], str] = {}
    for (kind, name), item in items.items():
        if kind is not ItemKind.ROUTE:
            continue
        other = names.setdefault((item.host, item.prefix), name)
        if other != name:
            yield (
                f"routes {other} and {name} have the same host {item.host!r} "
                f"and path prefix {item.prefix!r}"
            )
        for pool, _ in item.split:
            if (ItemKind.POOL, pool) not in items:
                yield f"route {name} names the unknown pool {pool}"


def _list_key_problems(items: dict[tuple[ItemKind, str], Item]) -> Iterator[str]:
    owners: dict[str, str] = {}
    for (kind, name), item in items.items():
        if kind is not ItemKind.WORKSPACE:
            continue
        for digest in item.key_digests:
            other = owners.setdefault(digest, name)
            if other != name:
                yield f"workspaces {other} and {name} share a key"
