"""What backend servers say to control, and what they are answered."""

from dataclasses import dataclass

from monsoonlug.ids import FailureDomain, PoolId, ServerId
from monsoonlug.keyranges import KeyRange

HOLD_TIME = 4.0  # seconds of a lease; covers a failover of control and two heartbeats


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerBeat:
    """One heartbeat of a backend server.

    Attributes:
        born: Start time of the process, in Unix milliseconds.
        sequence: Grows with each heartbeat of the process.
        cold_seconds: For how much longer the server is cold.
        held: Start, end and epoch of the ranges that it holds or still works on.
        freed: Start, end and handover of the ranges that it released.
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


@dataclass(frozen=True, slots=True, kw_only=True)
class HoldAnswer:
    """What a server is to hold, for `HOLD_TIME` from the sending of its heartbeat."""

    ranges: list[KeyRange]
    hold_time: float = HOLD_TIME
