"""Identifier types and enumerations used by several modules."""

from enum import Enum
from typing import NewType

HostId = NewType("HostId", str)
FailureDomain = NewType("FailureDomain", str)
WorkspaceId = NewType("WorkspaceId", str)
ServerId = NewType("ServerId", str)
PoolId = NewType("PoolId", str)
RouteId = NewType("RouteId", str)
RequestId = NewType("RequestId", str)
Fingerprint = NewType("Fingerprint", str)
ReplicaId = NewType("ReplicaId", str)
ChangeId = NewType("ChangeId", str)
Slice = NewType("Slice", int)
Epoch = NewType("Epoch", int)
Revision = NewType("Revision", int)
Term = NewType("Term", int)

SLICE_COUNT = 65_536


class SliceState(Enum):
    """Ownership state of one slice."""

    UNOWNED = 0
    OWNED = 1
    RELEASING = 2


class ServerPhase(Enum):
    """Lifecycle phase of a backend server."""

    COLD = "cold"
    WARM = "warm"
    DRAINING = "draining"


class RequestClass(Enum):
    """Priority class of a request; lower values are served first."""

    CRITICAL = 0
    NORMAL = 1
    BACKGROUND = 2


class Ran(Enum):
    """Whether a request ran on a backend server, as far as is known."""

    NOT_RUN = "not run"
    UNKNOWN = "outcome unknown"
    RAN = "ran"


class ServiceKind(Enum):
    """Kinds of objects that an operator can take out of service."""

    HOST = "host"
    BACKEND_SERVER = "backend-server"
    FAILURE_DOMAIN = "failure-domain"
