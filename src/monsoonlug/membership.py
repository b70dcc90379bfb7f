"""Member list of a control group: replica ids, identities and roles."""

from dataclasses import dataclass
from enum import Enum

import msgpack

from monsoonlug.exceptions import MembershipRefused
from monsoonlug.ids import ReplicaId


class MemberRole(Enum):
    """Role of a replica in the group."""

    LEARNER = 0
    VOTER = 1
    REVOKED = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class BoundMember:
    """A replica id that is bound to the identity of a data folder.

    The data folder of a REVOKED member lost entries that it had acknowledged. The
    member neither votes nor counts towards a quorum until its id is bound to a new
    identity.
    """

    replica_id: ReplicaId
    identity: str
    role: MemberRole


@dataclass(frozen=True, slots=True, kw_only=True)
class Members:
    """Immutable member list of a group, in the order of addition."""

    members: tuple[BoundMember, ...] = ()

    def find(self, replica_id: ReplicaId) -> BoundMember | None:
        """Returns the member with this id, or None."""
        for member in self.members:
            if member.replica_id == replica_id:
                return member
        return None

    def accepts(self, replica_id: ReplicaId, identity: str) -> bool:
        """Whether this id is bound to this identity and not revoked."""
        member = self.find(replica_id)
        if member is None or member.role is MemberRole.REVOKED:
            return False
        return member.identity == identity

    def is_voter(self, replica_id: ReplicaId, identity: str) -> bool:
        """Whether this id is bound to this identity and has a vote."""
        if not self.accepts(replica_id, identity):
            return False
        return self.find(replica_id).role is MemberRole.VOTER

    @property
    def voters(self) -> tuple[ReplicaId, ...]:
        """Ids of the voters."""
        return tuple(m.replica_id for m in self.members if m.role is MemberRole.VOTER)

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def add_learner(self, replica_id: ReplicaId, identity: str) -> "Members":
        """Returns the list with a learner; a known id is bound to the new identity.

        Raises:
            MembershipRefused: If the data folder is already bound, or if no voter
                would remain.
        """
        for member in self.members:
            if member.identity == identity:
                raise MembershipRefused(
                    f"identity {identity} is already bound to {member.replica_id}"
                )
        return self._put(replica_id, identity, MemberRole.LEARNER)

    def promote(self, replica_id: ReplicaId) -> "Members":
        """Returns the list with a learner promoted to voter.

        Raises:
            MembershipRefused: If the replica is not a learner.
        """
        member = self.find(replica_id)
        if member is None or member.role is not MemberRole.LEARNER:
            raise MembershipRefused(f"{replica_id} is not a learner")
        return self._put(replica_id, member.identity, MemberRole.VOTER)

    def revoke(self, replica_id: ReplicaId) -> "Members":
        """Returns the list with a member revoked, because it lost acknowledged entries.

        Raises:
            MembershipRefused: If the replica is not a member or the last voter.
        """
        member = self.find(replica_id)
        if member is None:
            raise MembershipRefused(f"{replica_id} is not a member")
        return self._put(replica_id, member.identity, MemberRole.REVOKED)

    def remove(self, replica_id: ReplicaId) -> "Members":
        """Returns the list without a replica.

        Raises:
            MembershipRefused: If the replica is not a member or the last voter.
        """
        kept = tuple(m for m in self.members if m.replica_id != replica_id)
        if len(kept) == len(self.members):
            raise MembershipRefused(f"{replica_id} is not a member")
        return Members(members=kept)._check_voters()

    def pack(self) -> bytes:
        """Serializes the list.

        >>> member = BoundMember(replica_id="a", identity="x", role=MemberRole.VOTER)
        >>> members = Members(members=(member,))
        >>> Members.unpack(members.pack()) == members
        True
        """
        rows = [[m.replica_id, m.identity, m.role.value] for m in self.members]
        return msgpack.packb(rows)

    @classmethod
    def unpack(cls, data: bytes) -> "Members":
        """Returns the list that `pack` serialized."""
        members = []
        for replica_id, identity, role in msgpack.unpackb(data):
            member = BoundMember(
                replica_id=replica_id, identity=identity, role=MemberRole(role)
            )
            members.append(member)
        return cls(members=tuple(members))

    def _put(self, replica_id: ReplicaId, identity: str, role: MemberRole) -> "Members":
        new = BoundMember(replica_id=replica_id, identity=identity, role=role)
        if self.find(replica_id) is None:
            return Members(members=(*self.members, new))
        members = []
        for member in self.members:
            members.append(new if member.replica_id == replica_id else member)
        return Members(members=tuple(members))._check_voters()

    def _check_voters(self) -> "Members":
        if not self.voters:
            raise MembershipRefused(
                "the last voter cannot be removed, revoked or replaced"
            )
        return self
