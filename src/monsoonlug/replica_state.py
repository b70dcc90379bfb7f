"""State of a replica that is shared by elections, follower and leader."""

import math
import random as random_module

from monsoonlug.actions import (
    Action,
    Apply,
    FolderRefused,
    MembersChanged,
    Restore,
    Role,
    RoleChanged,
    Send,
)
from monsoonlug.consensus_timing import DEFAULT_TIMING, ConsensusTiming
from monsoonlug.entry_log import EntryLog
from monsoonlug.ids import ReplicaId
from monsoonlug.journal import Entry, EntryKind, Storage
from monsoonlug.leadership import Leadership


class ReplicaState:
    """Term, vote, log, role and pending actions of a replica.

    Args:
        replica_id: Id of this replica.
        storage: Durable state.
        random: Random source for the election timeouts.
        now: Time in seconds.
        times: Timing of the group.
    """

    def __init__(
        self,
        *,
        replica_id: ReplicaId,
        storage: Storage,
        random: random_module.Random,
        now: float,
        times: ConsensusTiming = DEFAULT_TIMING,
    ):
        self.times = times
        self.replica_id = replica_id
        self.identity = storage.identity
        self.random = random
        self.now = now
        self._storage = storage
        stored = storage.load()
        self.term = stored.term
        self.vote = stored.vote
        self.log = EntryLog(storage=storage)
        self.commit = self.log.base_index
        self._applied = self.log.base_index
        self.role = Role.FOLLOWER
        self.leader = ReplicaId("")
        self.leadership: Leadership | None = None
        self.is_refused = False
        self._leader_contact_at = -math.inf
        self.actions: list[Action] = []
        self.restore()
        self.election_due_at = now + random.uniform(
            times.min_startup_timeout, times.max_startup_timeout
        )

    @property
    def applied(self) -> int:
        """Index up to which `Apply` and `Restore` actions were added."""
        return self._applied

    @property
    def is_empty(self) -> bool:
        """Whether the log has never held an entry."""
        return self.log.last_index == 0

    @property
    def is_voter(self) -> bool:
        """Whether the latest member list has this data folder as a voter."""
        return self.log.members.is_voter(self.replica_id, self.identity)

    def drain_actions(self) -> list[Action]:
        """Returns the pending actions and clears them."""
        actions, self.actions = self.actions, []
        return actions

    def send(self, to: ReplicaId, message: object) -> None:
        """Adds a message to the actions."""
        self.actions.append(Send(to=to, message=message))

    def reset_election_timer(self) -> None:
        """Starts a new random election timeout."""
        self.election_due_at = self.now + self.random.uniform(
            self.times.min_election_timeout, self.times.max_election_timeout
        )

    def record_leader_contact(self) -> None:
        """Records a message of the leader and resets the election timer."""
        self._leader_contact_at = self.now
        self.reset_election_timer()

    def has_live_leader(self) -> bool:
        """Whether this replica leads, or a leader sent a message recently.

        Recently means within the minimum election timeout.
        """
        if self.leadership:
            return True
        return self.now - self._leader_contact_at < self.times.min_election_timeout

    def save_vote(self, term: int, vote: str) -> None:
        """Stores term and vote durably.

        Raises:
            SyncFailed: If the storage failed, which is fatal.
        """
        self._storage.save_vote(term, vote)
        self.term = term
        self.vote = vote

    def enter_term(self, term: int, *, vote: str) -> None:
        """Becomes a follower in a later term, whose leader is not known yet.

        Raises:
            SyncFailed: If the storage failed, which is fatal.
        """
        self.save_vote(term, vote)
        self.leadership = None
        self.set_role(Role.FOLLOWER, ReplicaId(""), is_new_term=True)

    def follow(self, leader: ReplicaId) -> None:
        """Becomes a follower in the current term.

        Args:
            leader: The leader, or an empty string if it is not known.
        """
        if self.leadership:
            self.reset_election_timer()
        self.leadership = None
        self.set_role(Role.FOLLOWER, leader)

    def set_role(
        self, role: Role, leader: ReplicaId, *, is_new_term: bool = False
    ) -> None:
        """Sets role and known leader, and adds `RoleChanged` if they changed."""
        if (role, leader) == (self.role, self.leader) and not is_new_term:
            return
        self.role = role
        self.leader = leader
        self.actions.append(RoleChanged(role=role, term=self.term, leader=leader))

    def append(self, kind: EntryKind, data: bytes) -> int:
        """Appends an entry of the current term and returns its index."""
        index = self.log.last_index + 1
        self.log.append([Entry(index=index, term=self.term, kind=kind, data=data)])
        return index

    def commit_to(self, index: int) -> None:
        """Raises the commit index and adds `Apply` for newly committed commands."""
        self.commit = max(self.commit, index)
        while self._applied < self.commit:
            self._applied += 1
            entry = self.log.get(self._applied)
            if entry.kind is not EntryKind.COMMAND:
                continue
            self.actions.append(
                Apply(index=entry.index, term=entry.term, command=entry.data)
            )

    def restore(self) -> None:
        """Resets commit index and state to the snapshot, if there is one."""
        snapshot = self.log.snapshot
        if snapshot:
            self.commit = snapshot.index
            self._applied = snapshot.index
            self.actions.append(Restore(index=snapshot.index, state=snapshot.state))
        if not self.is_empty:
            self.report_members()

    def report_members(self) -> None:
        """Adds `MembersChanged` with the latest member list to the actions."""
        self.actions.append(MembersChanged(members=self.log.members))

    def mark_refused(self) -> None:
        """Stops voting until a leader accepts the identity of this data folder."""
        if not self.is_refused:
            self.is_refused = True
            self.actions.append(FolderRefused(identity=self.identity))
