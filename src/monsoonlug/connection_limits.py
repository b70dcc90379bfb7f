"""Which connections of clients stay open: bounds on their number, time and progress.

`ConnectionTable` makes the decisions for one port, without I/O. A client that sends
neither a whole head nor a whole body, or that reads nothing, holds a descriptor and
memory for as long as its connection is open.
"""

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

# Seconds without a byte taken by a client that has responses to read. No request may
# take longer, so that a client that waits for another one first still reads in time.
WRITE_TIMEOUT = 60.0
SWEEP_INTERVAL = 0.250  # seconds between two calls of `ConnectionTable.close_expired`


class Phase(Enum):
    """What a connection does.

    Attributes:
        IDLE: No byte of a request has arrived since the last response.
        HEAD: A part of a head has arrived.
        BODY: A head and a part of the body have arrived.
        BUSY: A request has arrived completely and its response is not complete.
    """

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    BUSY = "busy"


class CloseReason(Enum):
    """Why a client's connection was closed or its request refused."""

    TOO_MANY = "too-many-connections"
    IDLE = "idle"
    HEAD_TIMEOUT = "head-timeout"
    HEAD_TOO_LARGE = "head-too-large"
    EMPTY_LINES = "empty-lines"
    BODY_FRAMING = "body-framing"
    BODY_TIMEOUT = "body-timeout"
    INVALID = "invalid-request"
    UNREAD = "unread-responses"
    MEMORY = "memory"


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """Limits on what clients of one port may send and how long they may take.

    Attributes:
        head_bytes: Bytes of a request line and all fields, with their line ends. Also
            of the empty lines before a request, and of the bytes between two parts of a
            chunked body that belong to neither.
        head_timeout: Seconds from the first byte of a head to its last.
        idle_timeout: Seconds until a connection without a request is closed.
        body_grace: Seconds that any body may take, or None if requests have deadlines.
        body_rate: Bytes per second that a body must arrive with after that.
        write_timeout: Seconds without a byte taken by a client that is sent a response.
    """

    head_bytes: int
    head_timeout: float
    idle_timeout: float
    body_grace: float | None = None
    body_rate: float = 16_384.0
    write_timeout: float = WRITE_TIMEOUT


class ClientConnection(ABC):
    """A connection that a client opened."""

    __slots__ = ()

    @abstractmethod
    def end(self, reason: CloseReason) -> None:
        """Closes the connection at once, without sending what is buffered."""

    @property
    @abstractmethod
    def body_bytes(self) -> int:
        """Bytes received of the body of the present request."""

    @property
    @abstractmethod
    def unsent_bytes(self) -> int:
        """Bytes of responses that the client has not taken."""


@dataclass(slots=True, kw_only=True)
class _Stall:
    """When a client last took a byte, and how many were left then."""

    since: float
    unsent: int


class ConnectionTable:
    """The open connections of one port.

    All methods that are called for a request take constant time.

    Args:
        clock: Monotonic clock, in seconds.
        max_connections: Number of connections that may be open.
        get_limits: Returns the present limits.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        max_connections: int,
        get_limits: Callable[[], ClientLimits],
    ):
        self.max_connections = max_connections
        self._clock = clock
        self._get_limits = get_limits
        self._phases: dict[ClientConnection, Phase] = {}
        # Connections without a complete request, by the time since when that is so.
        self._waiting: OrderedDict[ClientConnection, float] = OrderedDict()
        # Those in the middle of a head or body, by the time of its start.
        self._heads: OrderedDict[ClientConnection, float] = OrderedDict()
        self._bodies: OrderedDict[ClientConnection, float] = OrderedDict()
        self._stalled: dict[ClientConnection, _Stall] = {}

    def __len__(self) -> int:
        return len(self._phases)

    def open(self, connection: ClientConnection) -> None:
        """Adds a connection; closes the worst one if there are too many."""
        self._phases[connection] = Phase.IDLE
        self._waiting[connection] = self._clock()
        if len(self._phases) <= self.max_connections:
            return
        worst = self.find_worst()
        self.close(worst)
        worst.end(CloseReason.TOO_MANY)

    def close(self, connection: ClientConnection) -> None:
        """Removes a connection, if it is not removed yet."""
        self._phases.pop(connection, None)
        self._waiting.pop(connection, None)
        self._heads.pop(connection, None)
        self._bodies.pop(connection, None)
        self._stalled.pop(connection, None)

    def set_phase(self, connection: ClientConnection, phase: Phase) -> None:
        """Records what a connection does now."""
        previous = self._phases.get(connection)
        if previous is None or previous is phase:
            return
        self._phases[connection] = phase
        if previous is Phase.HEAD:
            del self._heads[connection]
        elif previous is Phase.BODY:
            del self._bodies[connection]
        if phase is Phase.BUSY:
            del self._waiting[connection]
            return
        if previous is Phase.BUSY:
            self._waiting[connection] = self._clock()
        if phase is Phase.HEAD:
            self._heads[connection] = self._clock()
        elif phase is Phase.BODY:
            self._bodies[connection] = self._clock()

    def record_stall(self, connection: ClientConnection) -> None:
        """Records that the client does not take its responses as fast as they come."""
        if connection in self._phases:
            self._stalled[connection] = _Stall(
                since=self._clock(), unsent=connection.unsent_bytes
            )

    def end_stall(self, connection: ClientConnection) -> None:
        """Records that the client has taken nearly all of its responses."""
        self._stalled.pop(connection, None)

    def find_worst(self) -> ClientConnection:
        """Returns the connection that has gone longest without a complete request.

        A connection whose request runs is closed only if all others also run one; then
        it is the one whose client has not taken a byte for the longest time.
        """
        worst = next(iter(self._waiting))
        is_newest = len(self._waiting) == 1 and worst is next(reversed(self._phases))
        if is_newest and self._stalled:
            return min(self._stalled, key=lambda item: self._stalled[item].since)
        return worst

    def close_expired(self) -> None:
        """Closes the connections that exceed a time limit."""
        expired = self._list_expired(self._clock(), self._get_limits())
        for connection, reason in expired:
            self.close(connection)
            connection.end(reason)

    def _list_expired(
        self, now: float, limits: ClientLimits
    ) -> list[tuple[ClientConnection, CloseReason]]:
        expired = []
        for connection, since in self._heads.items():
            if now - since <= limits.head_timeout:
                break
            expired.append((connection, CloseReason.HEAD_TIMEOUT))
        for connection, since in self._waiting.items():
            if now - since <= limits.idle_timeout:
                break
            if self._phases[connection] is Phase.IDLE:
                expired.append((connection, CloseReason.IDLE))
        expired += self._list_slow_bodies(now, limits)
        for connection, stall in self._stalled.items():
            unsent = connection.unsent_bytes
            if unsent != stall.unsent:
                stall.since, stall.unsent = now, unsent
            elif now - stall.since > limits.write_timeout:
                expired.append((connection, CloseReason.UNREAD))
        return expired

    def _list_slow_bodies(
        self, now: float, limits: ClientLimits
    ) -> list[tuple[ClientConnection, CloseReason]]:
        slow = []
        if limits.body_grace is None:
            return slow
        for connection, since in self._bodies.items():
            allowed = limits.body_grace + connection.body_bytes / limits.body_rate
            if now - since > allowed:
                slow.append((connection, CloseReason.BODY_TIMEOUT))
        return slow
