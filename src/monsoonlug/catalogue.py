"""Model of the catalogue: the pools, workspaces and routes that operators define."""

import hashlib
from typing import Annotated, Literal

from pydantic import Field, field_validator, model_validator

from monsoonlug.ids import RequestClass
from monsoonlug.settings import Name, StrictModel

KeyDigest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
ClassName = Literal["critical", "normal", "background"]


def digest_key(key: str) -> str:
    """Returns the SHA-256 digest that stands for a workspace key in the catalogue.

    >>> digest_key("a")[:8]
    'ca978112'
    """
    return hashlib.sha256(key.encode()).hexdigest()


class CatalogueEntry(StrictModel):
    """Fields that every entry of the catalogue has.

    Attributes:
        owner: Person or team responsible for the entry.
        request_class: Priority class of requests.
    """

    name: Name
    owner: str = Field(min_length=1, max_length=200)
    request_class: ClassName = "normal"

    @property
    def priority(self) -> RequestClass:
        """`request_class` as an enum."""
        return RequestClass[self.request_class.upper()]


class PoolLimits(StrictModel):
    """Limits of each backend server of a pool.

    Attributes:
        slots: Maximum number of concurrent requests.
        connections: Maximum number of open connections.
        cold_rate: Maximum rate during a cold start, in requests per second.
        cold_seconds: Seconds after the last report of `cold`, or after the rate was
            cut back, until the rate increases without a report of `warm`.
        queue: Maximum number of requests that wait at the server's gate.
    """

    slots: int = Field(default=2, ge=1, le=1024)
    connections: int = Field(default=110, ge=1, le=100_000)
    cold_rate: float = Field(default=20.0, gt=0)
    cold_seconds: float = Field(default=10.0, ge=0)
    queue: int = Field(default=200, ge=1)


class Pool(CatalogueEntry):
    """A set of backend servers that serve the same routes.

    Attributes:
        keyed: Whether each routing key has one owner among the servers.
        fenced: Whether the servers check fencing tokens.
    """

    keyed: bool
    fenced: bool = False
    limits: PoolLimits = PoolLimits()


class WorkspaceLimits(StrictModel):
    """Rate limit of a workspace, over all hosts together.

    Attributes:
        rate: Maximum rate, in requests per second.
        burst: Maximum number of requests admitted at once.
    """

    rate: float = Field(gt=0)
    burst: int = Field(ge=1)


class Workspace(CatalogueEntry):
    """A tenant, which callers identify by a workspace key.

    Attributes:
        key_digests: SHA-256 digests of the workspace's keys.
    """

    limits: WorkspaceLimits
    key_digests: list[KeyDigest] = []


class RouteLimits(StrictModel):
    """Limits of one request on a route.

    Attributes:
        deadline: Seconds until the request is abandoned.
        body: Maximum size of the request's body, in bytes.
    """

    deadline: float = Field(default=5.0, gt=0, le=60)
    body: int = Field(default=1_048_576, ge=0, le=64 * 1_048_576)


class Objective(StrictModel):
    """Service-level objective of a route.

    Attributes:
        availability: Fraction of requests that must succeed.
        latency: Seconds within which a request must succeed.
    """

    availability: float = Field(default=0.999, gt=0, lt=1)
    latency: float = Field(default=1.0, gt=0)


class Route(CatalogueEntry):
    """A path prefix and the pool that serves it.

    Attributes:
        prefix: Path prefix; the longest matching prefix wins.
        idempotent: Whether a request may run more than once.
        open: Whether the route needs no workspace key.
        key_header: Header that holds the routing key; by default, the routing key is
            the path segment after the prefix.
    """

    prefix: str = Field(pattern=r"^/[!-~]*$")
    methods: list[Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]] = ["GET"]
    pool: Name
    idempotent: bool = False
    open: bool = False
    key_header: str | None = None
    limits: RouteLimits = RouteLimits()
    objective: Objective = Objective()


class Catalogue(StrictModel):
    """The catalogue: everything that operators configure."""

    pools: list[Pool] = []
    workspaces: list[Workspace] = []
    routes: list[Route] = []

    @field_validator("pools", "workspaces", "routes")
    @classmethod
    def _check_names(cls, entries):
        names = [entry.name for entry in entries]
        duplicates = sorted({name for name in names if names.count(name) > 1})
        if duplicates:
            listed = ", ".join(duplicates)
            raise ValueError(f"names that occur once only; twice: {listed}")
        return entries

    @model_validator(mode="after")
    def _check_references(self):
        known = {pool.name for pool in self.pools}
        problems = sorted(
            f"route {route.name} names the unknown pool {route.pool}"
            for route in self.routes
            if route.pool not in known
        )
        owners = {}
        for workspace in self.workspaces:
            for digest in workspace.key_digests:
                other = owners.setdefault(digest, workspace.name)
                if other != workspace.name:
                    problems.append(f"{other} and {workspace.name} share a key")
        if problems:
            raise ValueError("; ".join(problems))
        return self
