"""What must hold over all replicas of a simulated group."""

import random
from dataclasses import dataclass, field

from bench.memory_storage import Disk, MemoryStorage
from monsoonlug.actions import Send
from monsoonlug.consensus import Replica
from monsoonlug.ids import ReplicaId
from monsoonlug.membership import MemberRole, Members
from monsoonlug.peer_messages import AppendResponse, VoteResponse


class OracleError(AssertionError):
    """A property of the replicated log is broken."""


@dataclass(slots=True, kw_only=True)
class Node:
    """One replica with its disk, its clock and the state that it applied."""

    name: ReplicaId
    disk: Disk
    random: random.Random
    replica: Replica | None = None
    storage: MemoryStorage | None = None
    boots: int = 0
    clock_offset: float = 0.0
    clock_rate: float = 1.0
    paused_until: float = 0.0
    last_index: int = 0
    digest: bytes = b""
    waiting: dict[int, int] = field(default_factory=dict)
    rounds: dict[int, int] = field(default_factory=dict)

    def read_clock(self, now: float) -> float:
        """Returns the time on the node's own clock."""
        return self.clock_offset + self.clock_rate * now


class Oracle:
    """What must hold over all replicas."""

    def __init__(self):
        self.digests: dict[int, bytes] = {0: b""}
        self.leaders: dict[int, str] = {}
        self.acknowledged: set[int] = set()
        self.highest_acknowledged = 0
        self.rounds_confirmed = 0
        self.is_disk_lost = False

    def check_leader(self, term: int, name: str) -> None:
        """Checks that a term has one leader."""
        if self.leaders.setdefault(term, name) != name:
            raise OracleError(f"term {term} has two leaders")

    def check_digest(self, index: int, digest: bytes, name: str) -> None:
        """Checks that all replicas applied the same commands up to an index."""
        if self.digests.setdefault(index, digest) != digest:
            raise OracleError(f"{name} applied something else up to {index}")

    def acknowledge(self, index: int) -> None:
        """Notes that a caller was told that a command is committed."""
        self.acknowledged.add(index)
        self.highest_acknowledged = max(self.highest_acknowledged, index)

    def check_round(self, commit_index: int, floor: int) -> None:
        """Checks that a round covers what was acknowledged before it began."""
        self.rounds_confirmed += 1
        if commit_index < floor:
            raise OracleError(f"a round returned {commit_index}, acknowledged {floor}")

    def check_members(self, members: Members) -> None:
        """Checks that no replica is revoked whose disk is sound."""
        for member in members.members:
            if member.role is MemberRole.REVOKED and not self.is_disk_lost:
                raise OracleError(f"{member.replica_id} was revoked without a reason")

    def check_durable(self, node: Node, action: Send) -> None:
        """Checks that an answer promises only what is on the disk."""
        answer = action.message
        if isinstance(answer, AppendResponse) and answer.accepted:
            if node.disk.last_index < answer.match_index:
                raise OracleError(f"{node.name} acknowledged before a sync")
        if isinstance(answer, VoteResponse) and answer.granted and not answer.pre_vote:
            stored = node.disk.state
            if (stored.term, stored.vote) != (answer.election_term, action.to):
                raise OracleError(f"{node.name} voted before a sync")

    def check_last(self, index: int, name: str) -> None:
        """Checks that a replica which settled holds every acknowledged command."""
        if index < self.highest_acknowledged:
            raise OracleError(f"{name} lost commands after {index}")
