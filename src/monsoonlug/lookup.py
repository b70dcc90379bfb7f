"""Finds the route and the workspace of a request among the configuration items."""

from dataclasses import dataclass
from random import Random

from monsoonlug.catalogue import digest_key
from monsoonlug.exceptions import KeyRefused, UnknownRoute
from monsoonlug.ids import PoolId, RequestClass, RouteId
from monsoonlug.items import ItemKind, ItemTable, LimitsItem, RouteItem, WorkspaceItem

DEFAULT_LIMITS = LimitsItem(
    name="",
    version=-1,
    header_bytes=16_384,
    body_bytes=64 * 1_048_576,
    header_timeout=3.0,
    idle_timeout=15.0,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class BodyLimits:
    """Limits of a request's body.

    Attributes:
        body: Bytes of the body.
    """

    body: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ServedRoute:
    """What the delivery of one request needs to know about its route."""

    name: RouteId
    pool: PoolId
    priority: RequestClass
    idempotent: bool
    limits: BodyLimits


class SplitCursor:
    """Distributes the requests of one route over its pools by their weights.

    Smooth weighted round robin keeps the shares close to the weights after any number
    of requests, and not only on average.

    Args:
        split: Rows of pool and weight.
        random: Source of the first position, so that hosts do not move in step.
    """

    def __init__(self, *, split: list, random: Random):
        self._weights = {PoolId(pool): weight for pool, weight in split if weight > 0}
        total = sum(self._weights.values())
        self._credits = {pool: random.random() * total for pool in self._weights}

    def choose(self) -> PoolId:
        """Returns the pool of the next request.

        Raises:
            UnknownRoute: If no pool has a weight.
        """
        if not self._weights:
            raise UnknownRoute("the route has no pool")
        for pool, weight in self._weights.items():
            self._credits[pool] += weight
        best = max(self._credits, key=lambda pool: self._credits[pool])
        self._credits[best] -= sum(self._weights.values())
        return best


class ItemIndex:
    """Lookup tables of one revision of the items.

    Args:
        items: The items.
        random: Source of the first positions of splits.
        previous: Index of an earlier revision, whose splits go on.
    """

    def __init__(
        self, *, items: ItemTable, random: Random, previous: "ItemIndex | None" = None
    ):
        self._routes: dict[str, list[RouteItem]] = {}
        self._cursors: dict[RouteId, tuple[list, SplitCursor]] = {}
        self._workspaces: dict[str, WorkspaceItem] = {}
        self.is_empty = len(items) == 0
        self.limits = items.find(ItemKind.LIMITS, "") or DEFAULT_LIMITS
        for route in items.iterate(ItemKind.ROUTE):
            self._routes.setdefault(route.host, []).append(route)
            known = previous._cursors.get(route.name) if previous else None
            if known is None or known[0] != route.split:
                known = (route.split, SplitCursor(split=route.split, random=random))
            self._cursors[route.name] = known
        for routes in self._routes.values():
            routes.sort(key=lambda route: -len(route.prefix))
        for workspace in items.iterate(ItemKind.WORKSPACE):
            for digest in workspace.key_digests:
                self._workspaces[digest] = workspace
        self._keyed = {pool.name: pool.keyed for pool in items.iterate(ItemKind.POOL)}

    def match(self, host: str, path: str) -> RouteItem:
        """Returns the route with the longest prefix that begins the path.

        Raises:
            UnknownRoute: If no route matches.
        """
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        raise UnknownRoute()

    def choose_pool(self, route: RouteItem) -> PoolId:
        """Returns the pool of the next request on a route."""
        if len(route.split) == 1:
            return PoolId(route.split[0][0])
        return self._cursors[route.name][1].choose()

    def is_keyed(self, pool: PoolId) -> bool:
        """Returns whether requests to a pool carry a routing key."""
        return self._keyed.get(pool, False)

    def find_workspace(self, key: str) -> tuple[WorkspaceItem, str]:
        """Returns the workspace of a key, and the key's digest.

        Raises:
            KeyRefused: If no workspace holds the key.
        """
        digest = digest_key(key)
        workspace = self._workspaces.get(digest)
        if workspace is None:
            raise KeyRefused()
        return workspace, digest

    def holds_digest(self, digest: str) -> bool:
        """Returns whether a key is still in force."""
        return digest in self._workspaces
