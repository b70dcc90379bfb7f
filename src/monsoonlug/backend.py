"""Abstract client interface for requests to one backend server."""

import math
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from enum import Enum

from monsoonlug.announcements import (
    Announcement,
    AnnouncementAnswer,
)
from monsoonlug.exceptions import (
    BackendFenced,
    BackendRefused,
    ConnectFailed,
    DeadlineExceeded,
    LeaseOver,
    MonsoonlugError,
    ProcessGone,
)
from monsoonlug.ids import Epoch, RequestId, Slice, WorkspaceId


class FailureKind(Enum):
    """Whether a failed attempt may have run on the server."""

    NOT_SENT = "not sent"
    REFUSED = "refused without running"
    MAYBE_RUN = "maybe run"


class ConnectResult(Enum):
    """Result of an attempt to connect to a server."""

    ACCEPTED = "accepted"
    REFUSED = "refused by the server's host"
    NO_ANSWER = "no answer"


@dataclass(frozen=True, slots=True, eq=False, kw_only=True)
class Contact:
    """A time in which at least one connection to a server was open throughout.

    No connection was reset in it, so that the server's process did not end.

    Attributes:
        since: When it began, in seconds of the client's clock.
    """

    since: float


@dataclass(frozen=True, slots=True, kw_only=True)
class HealthReport:
    """What a server said about its cold start; times of the client's clock.

    Attributes:
        asked_at: When it was asked.
        cold_until: Until when it is cold; in the past if it is warm.
        contact: The contact in which it answered.
    """

    asked_at: float
    cold_until: float
    contact: Contact | None


def classify_failure(error: MonsoonlugError) -> FailureKind:
    """Returns whether an attempt with this `BackendProtocol` error may have run.

    >>> classify_failure(ProcessGone()).value
    'not sent'
    """
    if isinstance(error, ConnectFailed | ProcessGone | DeadlineExceeded | LeaseOver):
        return FailureKind.NOT_SENT
    if isinstance(error, BackendRefused | BackendFenced):
        return FailureKind.REFUSED
    return FailureKind.MAYBE_RUN


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendRequest:
    """One request to a backend server.

    Attributes:
        workspace: Name of the workspace; None on open routes.
        headers: Headers to forward, with Content-Length if the length is known.
        slice: Slice of the routing key; None on pooled routes.
        slice_epoch: Epoch of the slice's assignment.
        gate_epoch: Epoch of the assignment of the gate to the sender.
        idempotency_key: The caller's Idempotency-Key, or an empty string.
        deadline: Time on the clock of the `BackendProtocol` after which a response is
            of no use.
        idempotent: Whether the request may be run more than once.
    """

    request: RequestId
    workspace: WorkspaceId | None
    method: str
    target: str
    headers: Sequence[tuple[str, str]]
    slice: Slice | None
    slice_epoch: Epoch
    gate_epoch: Epoch
    idempotency_key: str
    deadline: float
    idempotent: bool = True


class BackendResponse(ABC):
    """A streamed response of a backend server.

    It occupies a connection until its receiver has iterated over the body or cancelled
    the response.

    Attributes:
        status: HTTP status.
        headers: Headers to forward, without hop-by-hop headers.
    """

    status: int
    headers: list[tuple[str, str]]

    def read_whole(self, limit: int) -> bytes | None:
        """Returns the body if it is fully buffered, and releases the connection.

        Args:
            limit: Maximum size of the body, in bytes.

        Returns:
            The body, or None if it must be read with `iterate`.
        """
        return None

    @abstractmethod
    def iterate(self) -> AsyncIterator[bytes]:
        """Yields the parts of the body; ends normally only if the body is complete.

        Raises:
            OutcomeUnknown: If the body is truncated, malformed or late.
        """

    @abstractmethod
    def cancel(self) -> None:
        """Discards the rest of the response and closes its connection."""


class BackendProtocol(ABC):
    """Client of one backend server.

    Attributes:
        slowdown: Current service time on the server's machine relative to normal, from
            its last response; 1 if it does not report any.
        request_limit: Requests per second that the server accepts from all hosts
            together, from its last response; None if it names no limit.
        resting_until: Time on its clock until which the server asked this host for no
            requests.
        is_leaving: Whether a response said that the server is shutting down.
        link_delay: Seconds that connecting may take longer, as the link of this host is
            busy.
        health: What the server last said about its cold start, or None.
    """

    slowdown: float = 1.0
    request_limit: float | None = None
    resting_until: float = -math.inf
    is_leaving: bool = False
    link_delay: float = 0.0
    health: HealthReport | None = None

    def find_contact(self) -> Contact | None:
        """Returns the present contact with the server's process, or None."""
        return None

    @abstractmethod
    async def send(
        self, request: BackendRequest, body: AsyncIterator[bytes] | None = None
    ) -> BackendResponse:
        """Sends one request once and returns when the response head has arrived.

        Args:
            request: Head of the request.
            body: Parts of the body, or None if it has none.

        Raises:
            ProcessGone: If the connection was refused; nothing was sent.
            ConnectFailed: If no connection was available; nothing was sent.
            LeaseOver: If the lease has ended; nothing was sent.
            DeadlineExceeded: If the deadline has passed; nothing was sent.
            BackendRefused: If the server reports that it did not run the request.
            BackendFenced: If the server rejected the fencing token.
            ConnectionLost: If the connection ended before a response.
            OutcomeUnknown: If the request may have run.
        """

    @abstractmethod
    async def probe(self, path: str) -> float | None:
        """Requests the health path of the server.

        Returns:
            The slowdown that the server reports, or None if it reports none.

        Raises:
            MonsoonlugError: If there is no response.
        """

    async def try_connect(self, timeout: float) -> ConnectResult:
        """Opens and closes a connection to the server.

        Args:
            timeout: Seconds after which the result is `NO_ANSWER`.
        """
        return ConnectResult.ACCEPTED

    @abstractmethod
    def cancel(self, request: RequestId) -> bool:
        """Cancels a request; its `send` or `iterate` raises `OutcomeUnknown`.

        Returns:
            Whether the request was running.
        """

    @abstractmethod
    async def close(self) -> None:
        """Closes all connections."""

    @staticmethod
    @abstractmethod
    def parse_announcement(body: bytes) -> Announcement:
        """Parses the announcement in a request's body.

        Raises:
            BadRequest: If the announcement is not valid.
        """

    @staticmethod
    @abstractmethod
    def build_announcement_answer(answer: AnnouncementAnswer) -> bytes:
        """Returns the body of the response to an announcement."""
