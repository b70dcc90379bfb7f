"""Index of the configuration items: finds a request's route, pool and workspace."""

from dataclasses import dataclass
from random import Random

from monsoonlug.catalogue import digest_key
from monsoonlug.connection_limits import ClientLimits
from monsoonlug.exceptions import KeyRefused, UnknownRoute
from monsoonlug.ids import PoolId, RequestClass, RouteId, WorkspaceId
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
    """Size limit of a request's body.

    Attributes:
        body: Maximum size in bytes.
    """

    body: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ServedRoute:
    """The properties of a route that the delivery of one request needs."""

    name: RouteId
    pool: PoolId
    priority: RequestClass
    idempotent: bool
    limits: BodyLimits


class WeightedRoundRobin:
    """Distributes the requests of one route over its pools by weight.

    Smooth weighted round robin keeps the shares close to the weights after any number
    of requests, not only on average.

    Args:
        split: Rows of pool and weight.
        random: Source of the initial position, so that hosts do not all choose the same
            pool at the same time.
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
            raise UnknownRoute("the route has no pool with a weight above 0")
        for pool, weight in self._weights.items():
            self._credits[pool] += weight
        chosen = max(self._credits, key=lambda pool: self._credits[pool])
        self._credits[chosen] -= sum(self._weights.values())
        return chosen


class ItemIndex:
    """Index of one revision of the configuration items.

    Args:
        items: The items.
        random: Source of the initial positions of traffic splits.
        previous: Index of the previous revision; unchanged splits keep their position.

    Attributes:
        has_workspaces: Whether a workspace is in force, even one without keys.
    """

    def __init__(
        self, *, items: ItemTable, random: Random, previous: "ItemIndex | None" = None
    ):
        self._routes: dict[str, list[RouteItem]] = {}
        self._pool_choosers: dict[RouteId, tuple[list, WeightedRoundRobin]] = {}
        self._workspaces: dict[str, WorkspaceItem] = {}
        self.is_empty = len(items) == 0
        self.limits = items.find(ItemKind.LIMITS, "") or DEFAULT_LIMITS
        self.client_limits = ClientLimits(
            head_bytes=self.limits.header_bytes,
            # A time of 0 would leave no caller any time.
            head_timeout=self.limits.header_timeout or DEFAULT_LIMITS.header_timeout,
            idle_timeout=self.limits.idle_timeout or DEFAULT_LIMITS.idle_timeout,
        )
        for route in items.iterate(ItemKind.ROUTE):
            self._routes.setdefault(route.host, []).append(route)
            chooser = previous._pool_choosers.get(route.name) if previous else None
            if chooser is None or chooser[0] != route.split:
                chooser = (
                    route.split,
                    WeightedRoundRobin(split=route.split, random=random),
                )
            self._pool_choosers[route.name] = chooser
        for routes in self._routes.values():
            routes.sort(key=lambda route: -len(route.prefix))
        self.has_workspaces = False
        for workspace in items.iterate(ItemKind.WORKSPACE):
            self.has_workspaces = True
            for digest in workspace.key_digests:
                self._workspaces[digest] = workspace
        self._keyed = {pool.name: pool.keyed for pool in items.iterate(ItemKind.POOL)}

    def match(self, host: str, path: str) -> RouteItem:
        """Returns the route of a host with the longest prefix of the path.

        Raises:
            UnknownRoute: If no route matches.
        """
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        raise UnknownRoute()

    def choose_pool(self, route: RouteItem) -> PoolId:
        """Returns the pool for the next request on a route."""
        if len(route.split) == 1:
            return PoolId(route.split[0][0])
        return self._pool_choosers[route.name][1].choose()

    def is_keyed(self, pool: PoolId) -> bool:
        """Returns whether requests to a pool need a routing key."""
        return self._keyed.get(pool, False)

    def requires_key(self, route: RouteItem) -> bool:
        """Returns whether requests on a route need a workspace key."""
        return self.has_workspaces and not route.open

    def find_workspace(self, key: str) -> tuple[WorkspaceItem, str]:
        """Returns the workspace of a key and the key's digest.

        Raises:
            KeyRefused: If no workspace has the key.
        """
        digest = digest_key(key)
        workspace = self._workspaces.get(digest)
        if workspace is None:
            raise KeyRefused()
        return workspace, digest

    def find_owner(self, digest: str) -> WorkspaceId | None:
        """Returns the workspace that has the key with a digest, or None."""
        workspace = self._workspaces.get(digest)
        return workspace.name if workspace is not None else None
