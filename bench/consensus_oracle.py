"""Safety checks over all replicas of a simulated Raft group."""

import random
from dataclasses import dataclass, field

from bench.memory_storage import Disk, MemoryStorage
from monsoonlug.actions import Send
from monsoonlug.consensus import Replica
from monsoonlug.ids import ReplicaId
from monsoonlug.membership import MemberRole, Members
from monsoonlug.peer_messages import AppendResponse, VoteResponse


class OracleError(AssertionError):
    """A safety or liveness property of the replicated log was violated."""


@dataclass(slots=True, kw_only=True)
class Node:
    """A replica with its disk, its clock and the state that it applied.

    Attributes:
        starts: Number of times that the replica was started.
        clock_offset: Seconds by which its clock is ahead at virtual time 0.
        clock_rate: Seconds of its clock per second of virtual time.
        paused_until: Virtual time until which it handles no events.
        last_index: Index of the last applied command.
        digest: Hash over all applied commands.
        pending_terms: Term in which each unacknowledged command was proposed, by index.
        round_min_indexes: Commit index that each round must at least return, by id.
    """

    name: ReplicaId
    disk: Disk
    random: random.Random
    replica: Replica | None = None
    storage: MemoryStorage | None = None
    starts: int = 0
    clock_offset: float = 0.0
    clock_rate: float = 1.0
    paused_until: float = 0.0
    last_index: int = 0
    digest: bytes = b""
    pending_terms: dict[int, int] = field(default_factory=dict)
    round_min_indexes: dict[int, int] = field(default_factory=dict)

    def read_clock(self, now: float) -> float:
        """Returns the time on the node's clock."""
        return self.clock_offset + self.clock_rate * now


class Oracle:
    """Checks safety properties over all replicas."""

    def __init__(self):
        self.digests: dict[int, bytes] = {0: b""}
        self.leaders: dict[int, str] = {}
        self.acknowledged: set[int] = set()
        self.highest_acknowledged = 0
        self.rounds_confirmed = 0
        self.is_disk_lost = False

    def check_leader(self, term: int, name: str) -> None:
        """Checks that a term has at most one leader."""
        if self.leaders.setdefault(term, name) != name:
            raise OracleError(
                f"term {term} has two leaders: {self.leaders[term]} and {name}"
            )

    def check_digest(self, index: int, digest: bytes, name: str) -> None:
        """Checks that replicas applied the same commands up to an index."""
        if self.digests.setdefault(index, digest) != digest:
            raise OracleError(f"{name} applied other commands up to index {index}")

    def acknowledge(self, index: int) -> None:
        """Records that a command was acknowledged to a caller."""
        self.acknowledged.add(index)
        self.highest_acknowledged = max(self.highest_acknowledged, index)

    def check_round(self, commit_index: int, min_index: int) -> None:
        """Checks that a round covers all commands acknowledged before it began."""
        self.rounds_confirmed += 1
        if commit_index < min_index:
            raise OracleError(
                f"a round returned {commit_index}, but {min_index} was acknowledged"
            )

    def check_members(self, members: Members) -> None:
        """Checks that replicas are revoked only after a disk was rolled back."""
        for member in members.members:
            if member.role is MemberRole.REVOKED and not self.is_disk_lost:
                raise OracleError(
                    f"{member.replica_id} was revoked although no disk was lost"
                )

    def check_durable(self, node: Node, action: Send) -> None:
        """Checks that a response confirms only state that was synced to disk."""
        response = action.message
        if isinstance(response, AppendResponse) and response.accepted:
            if node.disk.last_index < response.match_index:
                raise OracleError(f"{node.name} confirmed entries before syncing them")
        if (
            isinstance(response, VoteResponse)
            and response.granted
            and not response.pre_vote
        ):
            state = node.disk.state
            if (state.term, state.vote) != (response.election_term, action.to):
                raise OracleError(f"{node.name} granted a vote before syncing it")

    def check_last(self, index: int, name: str) -> None:
        """Checks that a replica without faults applied every acknowledged command."""
        if index < self.highest_acknowledged:
            raise OracleError(f"{name} lost acknowledged commands after index {index}")
