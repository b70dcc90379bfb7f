"""Sizes of the deployments in section 1 of the design page, and durations of runs."""

from dataclasses import dataclass
from enum import Enum

HOSTS = tuple(f"h{number}" for number in range(12))
DOMAINS = ("d0", "d1", "d2", "d3")
SLOTS = 2  # concurrent requests of a backend server
BURST_SECONDS = 0.25  # a workspace's burst is what its rate allows in this time


class DeploymentName(Enum):
    TANGLE_FREE = "tangle-free"
    LUZ_DE_PALCO = "luz-de-palco"


@dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """Size and delays of one deployment.

    Attributes:
        delay: One-way delay between failure domains, in seconds.
        client_delay: One-way delay between clients and entries, in seconds.
        keyed_servers: Number of keyed backend servers.
        pooled_servers: Number of pooled backend servers.
        max_connections: Connections that one backend server can take.
    """

    name: DeploymentName
    delay: float
    client_delay: float = 0.008
    keyed_servers: int
    pooled_servers: int = 8
    max_connections: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Durations:
    """Durations of the parts of a run, in virtual seconds.

    Attributes:
        load_seconds: Duration of the load on pooled routes.
        quota_seconds: Duration of the load that measures wrong refusals.
        settle_seconds: Time between two events on keyed routes.
        keyed_rate: Requests per second on keyed routes.
    """

    load_seconds: float
    quota_seconds: float
    settle_seconds: float
    keyed_rate: float


FULL_RUN = Durations(
    load_seconds=60.0, quota_seconds=120.0, settle_seconds=14.0, keyed_rate=300.0
)
SHORT_RUN = Durations(
    load_seconds=8.0, quota_seconds=5.0, settle_seconds=3.5, keyed_rate=150.0
)

DEPLOYMENTS = {
    DeploymentName.TANGLE_FREE: Deployment(
        name=DeploymentName.TANGLE_FREE,
        delay=0.0005,
        keyed_servers=30,
        max_connections=130,
    ),
    DeploymentName.LUZ_DE_PALCO: Deployment(
        name=DeploymentName.LUZ_DE_PALCO,
        delay=0.0015,
        keyed_servers=25,
        max_connections=110,
    ),
}
