"""Command levels of the members of a control group, as its leader knows them."""

from collections.abc import Iterable

from monsoonlug.ids import ReplicaId
from monsoonlug.rollout_messages import COMMAND_LEVEL

REPORT_INTERVAL = 1.0  # seconds between two reports of a member to the leader


class CommandLevels:
    """Levels that the members have reported in this term.

    Args:
        own: Id of this replica.
    """

    def __init__(self, *, own: ReplicaId):
        self._own = own
        self._levels: dict[ReplicaId, int] = {}
        self._reported_to = ReplicaId("")
        self._reported_at = 0.0

    def reset(self) -> None:
        """Forgets the reports after a change of role, term or leader."""
        self._levels = {}
        self._reported_to = ReplicaId("")

    def record(self, member: ReplicaId, level: int) -> None:
        """Records what a member reports."""
        self._levels[member] = level

    def find_common(self, members: Iterable[ReplicaId]) -> int:
        """Returns the highest level that all members understand."""
        levels = [
            COMMAND_LEVEL if member == self._own else self._levels.get(member, 0)
            for member in members
        ]
        return min(levels, default=0)

    def must_report(self, now: float, leader: ReplicaId) -> bool:
        """Returns whether this member has to report its level to the leader now."""
        if not leader or leader == self._own:
            return False
        is_recent = now - self._reported_at < REPORT_INTERVAL
        return leader != self._reported_to or not is_recent

    def record_sent(self, now: float, leader: ReplicaId) -> None:
        """Records that this member has reported its level."""
        self._reported_to, self._reported_at = leader, now
