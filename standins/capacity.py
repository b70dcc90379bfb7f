"""Settings, slice grants and cold-start capacity of a stand-in server."""

from array import array
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from pydantic import Field

from monsoonlug.ids import SLICE_COUNT
from monsoonlug.settings import Address, Name, StrictModel

OVERLOAD_SECONDS = 1.0  # a cold server stays slow after an overload
OVERLOAD_LATENCY_FACTOR = 10.0  # multiplies the latency after an overload
COLD_BURST = 2.0  # requests that a cold server accepts at once


class ServerSettings(StrictModel):
    """Settings of one stand-in server.

    Attributes:
        key_header: Header that holds the routing key; without it, the path does.
        fenced: Whether the server checks fencing tokens.
        leased: Whether the server refuses requests after its lease has expired.
        slots: Maximum number of requests that run at the same time.
        queue: Maximum number of requests that wait for a slot; excess is shed.
        queue_seconds: Time that a request waits for a slot before it is shed.
        connections: Maximum number of connections; excess is closed at once.
        connect_seconds: Delay of the first request of a new connection.
        work_seconds: Time that one request takes.
        cold_rate: Requests per second that a cold server handles without overload.
        cold_seconds: Time from the start until the server is warm.
        entries: Addresses of entries to which the server announces itself.
        announce_seconds: Interval between announcements.
        load_delay: Age, in seconds, of the load that announcements report.
        false_load: Load that is reported instead of the actual one.
        executions_file: File to which a JSON line is appended before each execution,
            so that executions of a killed process are known.
    """

    server: Name
    pool: Name
    listen: Address = "127.0.0.1:0"
    failure_domain: Name = "a"
    keyed: bool = True
    key_header: str | None = None
    fenced: bool = False
    leased: bool = False
    slots: Annotated[int, Field(ge=1)] = 2
    queue: Annotated[int, Field(ge=0)] = 0
    queue_seconds: Annotated[float, Field(gt=0)] = 0.1
    connections: Annotated[int, Field(ge=1)] = 130
    connect_seconds: Annotated[float, Field(ge=0)] = 0.001
    work_seconds: Annotated[float, Field(ge=0)] = 0.002
    cold_rate: Annotated[float, Field(gt=0)] = 20.0
    cold_seconds: Annotated[float, Field(ge=0)] = 5.0
    entries: list[Address] = []
    announce_seconds: Annotated[float, Field(gt=0)] = 0.1
    load_delay: Annotated[float, Field(ge=0)] = 0.0
    false_load: float | None = None
    executions_file: Path | None = None


class ControlRequest(StrictModel):
    """Changes to a running server; fields that are None change nothing.

    Attributes:
        frozen: Whether requests and announcements are suspended.
        slow: Factor by which the work time is multiplied.
        cold: Whether to begin a cold start.
        drain: Whether the server announces that it is draining.
        announce: Whether the server announces itself.
        false_load: Load to report, or a negative number for the actual load.
        load_delay: Age, in seconds, of the load that announcements report.
    """

    frozen: bool | None = None
    slow: Annotated[float, Field(gt=0)] | None = None
    cold: bool | None = None
    drain: bool | None = None
    announce: bool | None = None
    false_load: float | None = None
    load_delay: Annotated[float, Field(ge=0)] | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Execution:
    """Record of one executed request.

    Attributes:
        call: Id chosen by the caller.
        slice: Slice in the request's headers, or -1.
        epoch: Fencing epoch in the request's headers, or -1.
        gate_epoch: Gate epoch in the request's headers, or -1.
        time: Start on the monotonic clock, in seconds.
    """

    server: str
    request: str
    call: str
    method: str
    operation: str
    key: str
    workspace: str
    slice: int
    epoch: int
    gate_epoch: int
    time: float


class GrantTable:
    """Lease and slice grants of a server, with a minimum fencing epoch per slice."""

    def __init__(self):
        self.revision = -1
        self.lease_until = 0.0
        # Minimum fencing epoch of each slice. It never decreases, so that requests of
        # an earlier owner are refused even after the grant was revoked.
        self._min_epochs = array("q", bytes(8 * SLICE_COUNT))
        self._granted: dict[int, int] = {}

    def renew(self, document: dict, *, sent_at: float) -> None:
        """Applies the answer to an announcement that was sent at `sent_at`.

        An answer never shortens the lease, because an entry that is not the gate grants
        none. A gate revokes a slice by leaving it out of the grants.
        """
        until = sent_at + document["lease_ms"] / 1000
        self.lease_until = max(self.lease_until, until)
        if "grants" not in document:
            return
        granted = {}
        for first, last, epoch in document["grants"]:
            for number in range(first, last + 1):
                granted[number] = epoch
                self._min_epochs[number] = max(self._min_epochs[number], epoch)
        for number, epoch in self._granted.items():
            if number not in granted:
                self._min_epochs[number] = max(self._min_epochs[number], epoch + 1)
        self._granted = granted
        self.revision = document["grants_revision"]

    def allows(self, now: float, slice_number: int, epoch: int) -> bool:
        """Returns whether a request may run, and then requires at least its epoch."""
        if now >= self.lease_until:
            return False
        if (
            not 0 <= slice_number < SLICE_COUNT
            or epoch < self._min_epochs[slice_number]
        ):
            return False
        self._min_epochs[slice_number] = epoch
        return True


class ColdStart:
    """Token bucket that slows a cold server down when its load is too high.

    Args:
        rate: Requests per second that a cold server handles without overload.
        seconds: Time until the server is warm.
        now: Time of the start.
    """

    def __init__(self, *, rate: float, seconds: float, now: float):
        self.overloads = 0
        self._rate = rate
        self._seconds = seconds
        self.begin(now)

    def begin(self, now: float) -> None:
        """Begins a cold period."""
        self._cold_until = now + self._seconds
        self._slow_until = 0.0
        self._tokens = COLD_BURST
        self._refilled_at = now

    def is_cold(self, now: float) -> bool:
        """Returns whether the server is still cold."""
        return now < self._cold_until

    def count_request(self, now: float) -> float:
        """Counts one request and returns the factor by which its latency grows."""
        if self.is_cold(now):
            refill = (now - self._refilled_at) * self._rate
            self._tokens = min(COLD_BURST, self._tokens + refill)
            self._refilled_at = now
            if self._tokens < 1:
                self.overloads += 1
                self._slow_until = now + OVERLOAD_SECONDS
            else:
                self._tokens -= 1
        return OVERLOAD_LATENCY_FACTOR if now < self._slow_until else 1.0
