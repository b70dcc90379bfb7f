"""The protocol of a backend server, as an abstract base class."""

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
    """What a failed attempt proves."""

    NOT_SENT = "not sent"
    REFUSED = "refused without running"
    MAYBE_RUN = "maybe run"


def classify_failure(error: MonsoonlugError) -> FailureKind:
    """Returns what an error of `BackendProtocol` proves about the attempt.

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
        headers: Admitted headers; Content-Length, if known, is among them.
        slice: Slice of the routing key; None on pooled routes.
        slice_epoch: Epoch of the slice's assignment.
        gate_epoch: Epoch of the sender's appointment as gate.
        idempotency_key: The caller's Idempotency-Key, or an empty string.
        deadline: Time on the backend's clock until which an answer is of use.
        idempotent: Whether the request may run more than once.
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


class BackendAnswer(ABC):
    """The answer of a backend server: its head, and its body in parts.

    Whoever receives it iterates over the body or cancels it; until then it holds a
    connection.

    Attributes:
        status: HTTP status.
        headers: Headers to forward, without those of one hop.
    """

    status: int
    headers: list[tuple[str, str]]

    def read_whole(self, limit: int) -> bytes | None:
        """Returns the whole body if it has come and is small, and ends the answer.

        Args:
            limit: Bytes that the body may have.

        Returns:
            The body, or None if it must be read with `iterate`.
        """
        return None

    @abstractmethod
    def iterate(self) -> AsyncIterator[bytes]:
        """Yields the parts of the body; it ends only after the whole body.

        Raises:
            OutcomeUnknown: If the body is cut off, damaged or late.
        """

    @abstractmethod
    def cancel(self) -> None:
        """Drops the rest of the answer and its connection."""


class BackendProtocol(ABC):
    """How requests reach one backend server.

    Attributes:
        slowdown: How much longer than usual work takes on the server's machine at the
            moment, by its last answer; 1 if it does not say.
    """

    slowdown: float = 1.0

    @abstractmethod
    async def send(
        self, request: BackendRequest, body: AsyncIterator[bytes] | None = None
    ) -> BackendAnswer:
        """Sends one request once and returns when the answer's head is there.

        Args:
            request: Head of the request.
            body: Parts of the body, or None if it has none.

        Raises:
            ProcessGone: If the connection was refused; nothing was sent.
            ConnectFailed: If there was no connection; nothing was sent.
            LeaseOver: If the lease ended before; nothing was sent.
            DeadlineExceeded: If the deadline has passed; nothing was sent.
            BackendRefused: If the server says that it did not run the request.
            BackendFenced: If the server refused the fencing token.
            OutcomeUnknown: If the request may have run.
        """

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
        """Returns the announcement in a request's body.

        Raises:
            BadRequest: If it is not valid.
        """

    @staticmethod
    @abstractmethod
    def build_announcement_answer(answer: AnnouncementAnswer) -> bytes:
        """Returns the body of the answer to an announcement."""
