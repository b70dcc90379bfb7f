"""Actions that a consensus replica returns to its driver, to be taken in order."""

from dataclasses import dataclass
from enum import Enum

from monsoonlug.ids import ReplicaId
from monsoonlug.membership import Members


class Role(Enum):
    """Role of a replica in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Send a message to another replica; it may be lost."""

    to: ReplicaId
    message: object


@dataclass(frozen=True, slots=True, kw_only=True)
class Apply:
    """Apply a committed command to the state."""

    index: int
    term: int
    command: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Restore:
    """Replace the state by a snapshot taken after the entry `index`."""

    index: int
    state: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadIndexConfirmed:
    """A majority confirmed after `started_at` that this replica leads.

    Attributes:
        commit_index: Commit index, which is at or above the index of every command
            acknowledged before the round began.
        started_at: Time at which the round began, in seconds.
    """

    round_id: int
    commit_index: int
    started_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RoleChanged:
    """The role, the term or the known leader changed.

    Attributes:
        leader: The leader, or an empty string if it is not known.
    """

    role: Role
    term: int
    leader: str


@dataclass(frozen=True, slots=True, kw_only=True)
class MembersChanged:
    """The member list changed; messages go to these replicas from now on."""

    members: Members


@dataclass(frozen=True, slots=True, kw_only=True)
class FolderRefused:
    """The group refuses the identity of this data folder.

    The replica takes part again only after `add_learner` with this identity.
    """

    identity: str


Action = (
    Send
    | Apply
    | Restore
    | ReadIndexConfirmed
    | RoleChanged
    | MembersChanged
    | FolderRefused
)
