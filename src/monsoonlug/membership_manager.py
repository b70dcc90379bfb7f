"""Automatic membership changes of a control group, chosen by its leader.

Replicas that are new, or that lost their data folder, are admitted automatically: as
learners first, and as voters once they have synced everything committed. If the group
has its maximum of voters, a learner replaces a voter that does not respond.
"""

from collections.abc import Callable
from dataclasses import dataclass

from monsoonlug.actions import Action
from monsoonlug.consensus import Replica
from monsoonlug.ids import ReplicaId
from monsoonlug.membership import MemberRole

MAX_VOTERS = 5  # so that any two may fail at the same time
VOTER_TIMEOUT = 2.5  # seconds without a response until a voter may be replaced
LEARNER_TIMEOUT = 10.0  # seconds without a response until a non-voter is removed


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberChange:
    """A membership change: a method of the replica and its arguments after the time."""

    change: Callable[..., list[Action]]
    arguments: tuple[str, ...]


class MembershipManager:
    """Chooses the next membership change.

    Args:
        replica: This replica.
        is_responsive: Whether a replica responded within a number of seconds.
    """

    def __init__(
        self, *, replica: Replica, is_responsive: Callable[[ReplicaId, float], bool]
    ):
        self._replica = replica
        self._is_responsive = is_responsive

    def choose_change(self) -> MemberChange | None:
        """Returns the change to propose now, or None while one is not committed yet."""
        replica = self._replica
        if replica.has_pending_change:
            return None
        return self._admit() or self._promote() or self._remove_unresponsive()

    def _admit(self) -> MemberChange | None:
        replica = self._replica
        known = {member.identity for member in replica.members.members}
        for name, identity in sorted(replica.refused_identities.items()):
            if identity in known or replica.members.accepts(name, identity):
                continue
            if self._is_last_voter(name):
                continue
            return MemberChange(change=replica.add_learner, arguments=(name, identity))
        return None

    def _is_last_voter(self, name: ReplicaId) -> bool:
        """Whether this is the only voter, so that its id cannot be bound again."""
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
            unresponsive = self._find_unresponsive_voter()
            if unresponsive is not None:
                return MemberChange(change=replica.remove, arguments=(unresponsive,))
        return None

    def _find_unresponsive_voter(self) -> ReplicaId | None:
        for voter in self._replica.members.voters:
            if not self._is_responsive(voter, VOTER_TIMEOUT):
                return voter
        return None

    def _remove_unresponsive(self) -> MemberChange | None:
        replica = self._replica
        for member in replica.members.members:
            if member.role is MemberRole.VOTER:
                continue
            if not self._is_responsive(member.replica_id, LEARNER_TIMEOUT):
                return MemberChange(
                    change=replica.remove, arguments=(member.replica_id,)
                )
        return None
