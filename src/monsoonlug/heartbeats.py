"""Heartbeats of backend servers and the leases that control grants in response."""

from dataclasses import dataclass

from monsoonlug.ids import FailureDomain, PoolId, ServerId
from monsoonlug.keyranges import KeyRange

LEASE_TIME = 4.0  # seconds; outlasts a failover of control and two heartbeats


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerHeartbeat:
    """A heartbeat of a backend server.

    Attributes:
        born: Start time of the process, in Unix milliseconds.
        sequence: Number of the heartbeat, which increases while the process runs.
        slots: Maximum number of concurrent requests.
        draining: Whether the server is shutting down and accepts no new work.
        cold_seconds: Seconds until the server has warmed up.
        held: Start, end and epoch of the ranges that it holds or still
            processes requests for.
        freed: Start, end and handover token of the ranges that it released.
        version: Software version of the server; empty if it names none.
    """

    server: ServerId
    born: int
    sequence: int
    pool: PoolId
    address: str
    failure_domain: FailureDomain
    slots: int
    draining: bool
    cold_seconds: float
    held: tuple[tuple[int, int, int], ...] = ()
    freed: tuple[tuple[int, int, str], ...] = ()
    version: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseGrant:
    """Ranges that a server may hold until `lease_time` after it sent its heartbeat."""

    ranges: list[KeyRange]
    lease_time: float = LEASE_TIME
