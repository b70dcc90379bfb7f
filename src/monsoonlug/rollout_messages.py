"""Records, view changes, commands and reports of rollouts in an announced fleet."""

from dataclasses import dataclass
from enum import Enum

from monsoonlug import messages
from monsoonlug.ids import PoolId, ServerId

# Number of the set of commands that this build understands; the first set is 0.
COMMAND_LEVEL = 1


class RolloutState(Enum):
    """State of a rollout; the last two are final."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    ROLLED_BACK = "rolled_back"


# Changes of the view.


@messages.register(250)
@dataclass(frozen=True, slots=True, kw_only=True)
class Rollout:
    """The latest rollout of a pool; also the change that adds or replaces it.

    Attributes:
        version: The target version, to whose servers the requests move.
        number: Log index of the order; higher for each later rollout.
        ordered_at_ms: Time of the order, in Unix milliseconds.
        duration: Seconds from the order to the deadline.
        share: Share of the pool's requests that the target version gets, 0 to 1.
    """

    pool: PoolId
    version: str
    number: int
    ordered_at_ms: int
    duration: float
    state: RolloutState
    share: float


@messages.register(251)
@dataclass(frozen=True, slots=True, kw_only=True)
class ServerVersionSet:
    """Sets the software version of a server's process; also the command to do so.

    Attributes:
        born: Start time of the process, in Unix milliseconds.
    """

    server: ServerId
    born: int
    version: str


# Commands.


@messages.register(252)
@dataclass(frozen=True, slots=True, kw_only=True)
class RolloutStarted:
    """Orders a rollout; the command's log index becomes its number.

    The attributes are those of `Rollout`.
    """

    pool: PoolId
    version: str
    ordered_at_ms: int
    duration: float


@messages.register(253)
@dataclass(frozen=True, slots=True, kw_only=True)
class RolloutAdvanced:
    """Changes the state or the share of the rollout with a number."""

    pool: PoolId
    number: int
    state: RolloutState
    share: float


@messages.register(254)
@dataclass(frozen=True, slots=True, kw_only=True)
class CommandLevelRaised:
    """Records that all members of the group understand the commands of a level."""

    level: int


# Messages on streams.


@messages.register(255)
@dataclass(frozen=True, slots=True, kw_only=True)
class RolloutReport:
    """What an entry saw of a pool during a rollout; all counts are cumulative.

    Attributes:
        host: Name of the entry's host.
        boot: Identifies the entry's process.
        number: Number of the rollout.
        rows: For each version and route: 1 for the target version or 0 for the others,
            name of the route, requests sent, responses, failures, sum of the natural
            logarithms of the service times in seconds, and requests that run now.
    """

    host: str
    boot: str
    pool: PoolId
    number: int
    rows: list


@messages.register(256)
@dataclass(frozen=True, slots=True, kw_only=True)
class MemberCapabilities:
    """Tells the leader which commands a member of the group understands."""

    level: int
