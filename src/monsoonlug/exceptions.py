"""Exceptions of the package, each with a stable error code.

The doc comment of a class is its default message, which callers see.
"""

from dataclasses import dataclass

from monsoonlug.ids import Ran


class MonsoonlugError(Exception):
    """Base class of all errors.

    Attributes:
        code: Error code; it never changes, so that callers and scripts can rely on it.
        status: HTTP status of the response to a caller.
        ran: Whether the request ran, as far as is known.
        retry_after: Seconds after which a caller may retry, if known.
    """

    code = "internal-error"
    status = 500
    ran = Ran.NOT_RUN

    def __init__(self, message: str = "", *, retry_after: float | None = None):
        super().__init__(message or type(self).__doc__)
        self.retry_after = retry_after


@dataclass(frozen=True, kw_only=True)
class Problem:
    """One invalid field of a settings or catalogue file."""

    file: str
    path: str
    value: str
    allowed: str

    def __str__(self):
        return f"{self.file}: {self.path}: {self.value} is not valid: {self.allowed}"


class InvalidFile(MonsoonlugError):
    """A settings or catalogue file has invalid fields."""

    code = "invalid-file"
    status = 400

    def __init__(self, problems: list[Problem]):
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class DamagedFrame(MonsoonlugError):
    """A frame on a stream between processes is damaged or foreign."""

    code = "damaged-frame"


class UnknownMessage(DamagedFrame):
    """A frame holds a message of a type that this version does not know."""


class StreamClosed(MonsoonlugError):
    """The stream to another process is closed."""

    code = "stream-closed"
    status = 503


class RevisionGap(MonsoonlugError):
    """A delta does not follow the revision of the view."""

    code = "revision-gap"


class DigestMismatch(MonsoonlugError):
    """A view differs from the one that its delta was made for."""

    code = "digest-mismatch"


class StaleRevision(MonsoonlugError):
    """A delta or view is older than the view that is held."""

    code = "stale-revision"


class NotLeader(MonsoonlugError):
    """This control replica is not the leader."""

    code = "not-leader"
    status = 503


class RevisionConflict(MonsoonlugError):
    """The configuration changed since the revision that the change was based on."""

    code = "revision-conflict"
    status = 409


class OperatorError(MonsoonlugError):
    """A control replica refused an operator's change."""

    code = "change-refused"
    status = 409

    def __init__(self, document: dict):
        super().__init__(document.get("message", ""))
        self.code = document.get("code", self.code)
        self.document = document


class ControlUnreachable(MonsoonlugError):
    """No control replica answered in time; a change may have been made."""

    code = "control-unreachable"
    status = 503
    ran = Ran.UNKNOWN


class BadRequest(MonsoonlugError):
    """The request is malformed."""

    code = "bad-request"
    status = 400


class HeadersTooLarge(MonsoonlugError):
    """The request's headers are too large."""

    code = "headers-too-large"
    status = 431


class BodyTooLarge(MonsoonlugError):
    """The request's body is larger than its route allows."""

    code = "body-too-large"
    status = 413


class UnknownRoute(MonsoonlugError):
    """No route of the catalogue matches the request."""

    code = "unknown-route"
    status = 404


class MethodNotAllowed(MonsoonlugError):
    """The route does not allow the request's method."""

    code = "method-not-allowed"
    status = 405


class MissingRoutingKey(MonsoonlugError):
    """The request has no routing key, but its route needs one."""

    code = "missing-routing-key"
    status = 400


class KeyRefused(MonsoonlugError):
    """The workspace key is missing, unknown or withdrawn."""

    code = "key-refused"
    status = 401


class RateExceeded(MonsoonlugError):
    """The workspace has used up its rate and burst."""

    code = "rate-exceeded"
    status = 429


class StaleView(MonsoonlugError):
    """This host has not heard from a control majority for too long."""

    code = "stale-view"
    status = 503


class NoOwner(MonsoonlugError):
    """No backend server may serve this key at the moment."""

    code = "no-owner"
    status = 503


class NotGate(MonsoonlugError):
    """This host is not the gate of the backend server."""

    code = "not-gate"
    status = 503


class LeaseOver(MonsoonlugError):
    """The lease of the gate ended before the request was sent."""

    code = "lease-over"
    status = 503


class Overloaded(MonsoonlugError):
    """The backend server cannot take the request before its deadline."""

    code = "overloaded"
    status = 503


class DeadlineExceeded(MonsoonlugError):
    """The deadline passed before the request was sent to a backend server."""

    code = "deadline-exceeded"
    status = 504


class ShuttingDown(MonsoonlugError):
    """This host is shutting down."""

    code = "shutting-down"
    status = 503


class BackendRefused(MonsoonlugError):
    """The backend server refused the request without running it."""

    code = "backend-refused"
    status = 503


class BackendFenced(MonsoonlugError):
    """The backend server refused the request's fencing token without running it."""

    code = "backend-fenced"
    status = 503


class RequestBlocked(MonsoonlugError):
    """The request ended each backend server that ran it and is blocked for now."""

    code = "request-blocked"
    status = 503


class ConnectFailed(MonsoonlugError):
    """No connection to the backend server could be opened; nothing was sent."""

    code = "connect-failed"
    status = 503


class ProcessGone(MonsoonlugError):
    """The backend server's host refused the connection; its process is gone."""

    code = "process-gone"
    status = 503


class HostIsolated(MonsoonlugError):
    """The gate's host reaches no backend server of the pool; nothing was sent."""

    code = "host-isolated"
    status = 503


class ServerResting(MonsoonlugError):
    """The backend server asked for a time without requests and ran nothing."""

    code = "server-resting"
    status = 503


class OutcomeUnknown(MonsoonlugError):
    """The answer was lost after the request may have reached a backend server."""

    code = "outcome-unknown"
    status = 502
    ran = Ran.UNKNOWN


class ConnectionLost(OutcomeUnknown):
    """The connection to the backend server was lost before its response."""


class ServerUnreachable(MonsoonlugError):
    """The backend server's host became unreachable while the request may have run."""

    code = "server-unreachable"
    status = 502
    ran = Ran.UNKNOWN


class ServerCrashed(MonsoonlugError):
    """The backend server's process ended while it ran the request."""

    code = "server-crashed"
    status = 502
    ran = Ran.UNKNOWN


class AnswerCutOff(MonsoonlugError):
    """The answer was lost after a part of it had been sent to the caller."""

    code = "answer-cut-off"
    status = 502
    ran = Ran.UNKNOWN


class InternalError(MonsoonlugError):
    """The router failed; the request may have run."""

    code = "internal-error"
    ran = Ran.UNKNOWN


class InProgress(MonsoonlugError):
    """A request with the same idempotency key is still running."""

    code = "in-progress"
    status = 409
    ran = Ran.UNKNOWN


class SyncFailed(MonsoonlugError):
    """The data folder could not be written; its replica must not be used again."""

    code = "sync-failed"


class JournalDamaged(MonsoonlugError):
    """A file of the data folder is damaged other than by a torn last record."""

    code = "journal-damaged"


class FolderLocked(MonsoonlugError):
    """Another process uses the data folder."""

    code = "folder-locked"


class FolderCopied(MonsoonlugError):
    """The data folder is a copy; start with an empty folder and a new identity."""

    code = "folder-copied"


class MembershipRefused(MonsoonlugError):
    """The members of the control group cannot be changed in this way now."""

    code = "membership-refused"
    status = 409


class CommandTooLarge(MonsoonlugError):
    """The command does not fit into one entry of the replicated log."""

    code = "command-too-large"
    status = 413


class ServerDraining(MonsoonlugError):
    """The backend server is leaving and takes no new work."""

    code = "server-draining"
    status = 503


class IdempotencyConflict(MonsoonlugError):
    """The idempotency key was used for a different request."""

    code = "idempotency-conflict"
    status = 422


class RecordsUnavailable(MonsoonlugError):
    """No record of the request can be kept at the moment."""

    code = "records-unavailable"
    status = 503


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Reason for refusing a request, and whether the request ran.

    Attributes:
        error: Class of the error that the caller receives.
        ran: Whether the request ran, as far as is known.
        retry_after: Seconds after which a caller may retry, if known.
    """

    error: type[MonsoonlugError]
    ran: Ran = Ran.NOT_RUN
    retry_after: float | None = None

    def build_error(self) -> MonsoonlugError:
        """Creates the error to raise or to send."""
        error = self.error(retry_after=self.retry_after)
        error.ran = self.ran
        return error


def find_error(code: str) -> type[MonsoonlugError]:
    """Returns the error class of a code, or `OutcomeUnknown` if the code is unknown.

    >>> find_error("no-owner").__name__
    'NoOwner'
    """
    for error in list_errors():
        if error.code == code:
            return error
    return OutcomeUnknown


class UnknownWindow(MonsoonlugError):
    """The burn report has no such window."""

    code = "unknown-window"
    status = 400


class UnknownReportRoute(MonsoonlugError):
    """The burn report has no such route."""

    code = "unknown-report-route"
    status = 404


class RolloutConflict(MonsoonlugError):
    """A rollout of the pool to another version is running."""

    code = "rollout-conflict"
    status = 409


class RolloutNotFound(MonsoonlugError):
    """The pool never had a rollout."""

    code = "rollout-not-found"
    status = 404


class RolloutUnavailable(MonsoonlugError):
    """Rollouts cannot be ordered at the moment."""

    code = "rollout-unavailable"
    status = 503


def list_errors() -> list[type[MonsoonlugError]]:
    """Returns every error class of this module, in the order of definition.

    Subclasses defined elsewhere, such as in tests and benchmarks, are excluded.

    >>> list_errors()[0].code
    'invalid-file'
    """
    errors = MonsoonlugError.__subclasses__()
    return [error for error in errors if error.__module__ == __name__]
