"""The leader's decisions on who is a member of its control group.

Replicas that are new, or that lost their data folder, are admitted by themselves: as a
learner first, and as a voter once they hold everything committed. A voter that is gone
makes room for one that is there.
"""

from collections.abc import Callable
from dataclasses import dataclass

from monsoonlug.actions import Action
from monsoonlug.consensus import Replica
from monsoonlug.ids import ReplicaId
from monsoonlug.membership import MemberRole

MAX_VOTERS = 5  # so that any two may be lost at the same time
GONE_AFTER = 2.5  # seconds of silence until a voter may be replaced
LEARNER_GONE_AFTER = 10.0  # seconds of silence until a learner is dropped


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberChange:
    """One change of the members: a method of the replica and its arguments."""

    change: Callable[..., list[Action]]
    arguments: tuple[str, ...]


class GroupKeeper:
    """Chooses the next change of the members.

    Args:
        replica: This replica.
        is_heard: Whether a replica answered within a number of seconds.
    """

    def __init__(
        self, *, replica: Replica, is_heard: Callable[[ReplicaId, float], bool]
    ):
        self._replica = replica
        self._is_heard = is_heard

    def choose(self) -> MemberChange | None:
        """Returns the change to make now; at most one may be under way."""
        replica = self._replica
        if replica.has_pending_change:
            return None
        return self._admit() or self._promote() or self._drop()

    def _admit(self) -> MemberChange | None:
        replica = self._replica
        known = {member.identity for member in replica.members.members}
        for name, identity in sorted(replica.strangers.items()):
            if identity in known or replica.members.accepts(name, identity):
                continue
            if self._would_stall(name):
                continue
            return MemberChange(change=replica.add_learner, arguments=(name, identity))
        return None

    def _would_stall(self, name: ReplicaId) -> bool:
        """Whether the rest could not go on without the voter that an id stands for."""
        member = self._replica.members.find(name)
        if member is None or member.role is not MemberRole.VOTER:
            return False
        return len(self._replica.members.voters) <= 1

    def _promote(self) -> MemberChange | None:
        replica = self._replica
        for member in replica.members.members:
            if member.role is not MemberRole.LEARNER:
                continue
            if not replica.is_caught_up(member.replica_id):
                continue
            if len(replica.members.voters) < MAX_VOTERS:
                return MemberChange(
                    change=replica.promote, arguments=(member.replica_id,)
                )
            gone = self._find_gone()
            if gone is not None:
                return MemberChange(change=replica.remove, arguments=(gone,))
        return None

    def _find_gone(self) -> ReplicaId | None:
        for voter in self._replica.members.voters:
            if not self._is_heard(voter, GONE_AFTER):
                return voter
        return None

    def _drop(self) -> MemberChange | None:
        replica = self._replica
        for member in replica.members.members:
            if member.role is MemberRole.VOTER:
                continue
            if not self._is_heard(member.replica_id, LEARNER_GONE_AFTER):
                return MemberChange(
                    change=replica.remove, arguments=(member.replica_id,)
                )
        return None
