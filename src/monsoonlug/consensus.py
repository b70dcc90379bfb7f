"""Raft consensus: elections, commits, read-index rounds and membership changes.

A `Replica` does no I/O except through its storage: calls return the actions that the
caller must take, in order. Times are float seconds of a monotonic clock. An error from
the storage is fatal: the replica must not be used again. A new one may start from the
reopened storage, as after a restart of the process.
"""

import math
import random as random_module
from collections.abc import Callable

from monsoonlug.actions import Action, Role
from monsoonlug.consensus_timing import DEFAULT_TIMING, ConsensusTiming
from monsoonlug.elections import Elections
from monsoonlug.exceptions import CommandTooLarge, MembershipRefused, NotLeader
from monsoonlug.follower import Follower
from monsoonlug.ids import ReplicaId
from monsoonlug.journal import EntryKind, Storage
from monsoonlug.leadership import Leadership
from monsoonlug.membership import BoundMember, MemberRole, Members
from monsoonlug.peer_messages import (
    AppendRequest,
    AppendResponse,
    IdentityRefused,
    SnapshotChunk,
    SnapshotResponse,
    VoteRequest,
    VoteResponse,
)
from monsoonlug.replica_state import ReplicaState

MAX_COMMAND_SIZE = 786_432  # bytes, so that an entry and its envelope fit into a frame


class Replica:
    """One replica of the replicated log.

    The first election of a group needs the votes of all members in the settings, and
    the first leader binds each id to the identity that came with its vote. A replica
    that lost its data folder can therefore neither bootstrap a second group while
    another member has a log, nor vote in the existing one.

    Args:
        replica_id: Id of this replica.
        members: Ids of the members in the settings, used while the log is empty.
        storage: Durable state.
        random: Random source for the election timeouts.
        now: Time in seconds.
        times: Timing of the group.
        can_bootstrap: Whether replicas without a log may form a new group. This must
            be false for a replica that joins an existing group, even if all replicas
            that it knows are empty.
    """

    def __init__(
        self,
        *,
        replica_id: ReplicaId,
        members: list[ReplicaId],
        storage: Storage,
        random: random_module.Random,
        now: float,
        times: ConsensusTiming = DEFAULT_TIMING,
        can_bootstrap: bool = True,
    ):
        state = ReplicaState(
            replica_id=replica_id,
            storage=storage,
            random=random,
            now=now,
            times=times,
        )
        self._id = replica_id
        self._state = state
        self._log = state.log
        self._initial_members = tuple(dict.fromkeys(members))
        self._elections = Elections(
            state=state, members=self._initial_members, can_bootstrap=can_bootstrap
        )
        self._follower = Follower(state=state)
        self._round_count = 0
        self._handlers: dict[type, Callable] = {
            VoteRequest: self._handle_vote_request,
            VoteResponse: self._handle_vote_response,
            AppendRequest: self._handle_append_request,
            AppendResponse: self._handle_append_response,
            SnapshotChunk: self._handle_snapshot_chunk,
            SnapshotResponse: self._handle_snapshot_response,
            IdentityRefused: self._handle_identity_refused,
        }
        bootstrap_voters = self._initial_members if can_bootstrap else ()
        if (state.log.members.voters or bootstrap_voters) == (replica_id,):
            state.election_due_at = now

    @property
    def role(self) -> Role:
        """Role in the current term."""
        return self._state.role

    @property
    def term(self) -> int:
        """Current term."""
        return self._state.term

    @property
    def leader(self) -> ReplicaId:
        """Leader of the current term, or an empty string if it is not known."""
        return self._state.leader

    @property
    def commit_index(self) -> int:
        """Index up to which the log is known to be committed."""
        return self._state.commit

    @property
    def members(self) -> Members:
        """Latest member list, committed or not; empty before the first election."""
        return self._log.members

    @property
    def has_pending_change(self) -> bool:
        """Whether the latest member list is not committed yet."""
        return self._log.members_index > self._state.commit

    @property
    def refused_identities(self) -> dict[ReplicaId, str]:
        """Identities that this leader refused, by replica id.

        These are the candidates for `add_learner`.
        """
        return (
            dict(self._state.leadership.refused_identities)
            if self._state.leadership
            else {}
        )

    @property
    def is_refused(self) -> bool:
        """Whether the group refuses the identity of this data folder."""
        return self._state.is_refused

    def next_tick_at(self) -> float:
        """Returns the time at which the next timer is due, in seconds."""
        if self._state.leadership:
            return self._state.leadership.heartbeat_due_at
        return self._state.election_due_at

    def tick(self, now: float) -> list[Action]:
        """Runs the timers that are due and flushes the proposed commands."""
        now = self._advance_clock(now)
        if self._state.leadership is None:
            if now >= self._state.election_due_at:
                self._elections.start_pre_vote()
                self._become_leader_if_elected(self._elections.advance_campaign())
            return self._state.drain_actions()
        self._revoke_regressed()
        self._flush()
        if self._state.leadership and now >= self._state.leadership.heartbeat_due_at:
            self._state.actions += self._state.leadership.broadcast(
                now, self._state.commit
            )
        return self._state.drain_actions()

    def receive(self, now: float, sender: ReplicaId, message: object) -> list[Action]:
        """Handles a message of another replica; other message types are ignored.

        Raises:
            DamagedFrame: If an entry in the message is malformed.
            SyncFailed: If the storage failed, which is fatal.
        """
        now = self._advance_clock(now)
        handler = self._handlers.get(type(message))
        if handler is not None and sender != self._id:
            handler(sender, message)
            if self._state.leadership:
                self._flush()
        return self._state.drain_actions()

    def propose(
        self, now: float, command: bytes, *, flush: bool = True
    ) -> tuple[int, list[Action]]:
        """Appends a command to the log and returns its index and the actions.

        The command is committed once its `Apply` action with this index and the current
        term appears.

        Args:
            now: Time in seconds.
            command: The command.
            flush: Whether to sync and send at once. If not, the next call of `tick`,
                `receive`, `begin_round`, a flushing `propose` or a membership change
                does so for all commands proposed until then.

        Raises:
            NotLeader: If this replica is not the leader.
            CommandTooLarge: If the command does not fit into one message.
            SyncFailed: If the storage failed, which is fatal.
        """
        if len(command) > MAX_COMMAND_SIZE:
            raise CommandTooLarge(
                f"command has {len(command)} bytes, the maximum is {MAX_COMMAND_SIZE}"
            )
        now = self._advance_clock(now)
        self._get_leadership()
        index = self._state.append(EntryKind.COMMAND, command)
        if flush:
            self._flush()
        return index, self._state.drain_actions()

    def begin_round(self, now: float) -> tuple[int, list[Action]]:
        """Begins a read-index round and returns its id and the actions.

        The round is confirmed once its `ReadIndexConfirmed` action appears.

        Raises:
            NotLeader: If this replica is not the leader.
        """
        now = self._advance_clock(now)
        leadership = self._get_leadership()
        self._round_count += 1
        leadership.begin_round(now, self._round_count)
        self._log.sync()
        self._state.actions += leadership.broadcast(now, self._state.commit)
        self._flush()
        return self._round_count, self._state.drain_actions()

    def confirmed_at(self) -> float:
        """Returns when the last confirmed read-index round began, in seconds.

        It is minus infinity if no round was confirmed in this term of leadership.
        """
        return (
            self._state.leadership.confirmed_at if self._state.leadership else -math.inf
        )

    def compact(self, index: int, state: bytes) -> None:
        """Replaces the log up to `index` by a snapshot.

        Args:
            index: Index of the last entry that the snapshot includes.
            state: Serialized state after that entry.

        Raises:
            ValueError: If the entry was not applied yet.
            SyncFailed: If the storage failed, which is fatal.
        """
        if index > self._state.applied:
            raise ValueError(
                f"cannot compact up to entry {index}: "
                f"the last applied entry is {self._state.applied}"
            )
        if index > self._log.base_index:
            self._log.compact(index, state)

    def set_contacts(self, contacts: tuple[ReplicaId, ...]) -> None:
        """Sets the replicas that a joining replica asks for admission."""
        self._elections.set_contacts(contacts)

    def add_learner(
        self, now: float, replica_id: ReplicaId, identity: str
    ) -> list[Action]:
        """Proposes to add a learner; a known id is bound to the new identity.

        Raises:
            NotLeader: If this replica is not the leader.
            MembershipRefused: If the members cannot be changed so now.
        """
        members = self._prepare_change(now).add_learner(replica_id, identity)
        self._get_leadership().forget(replica_id)
        return self._change_members(members)

    def promote(self, now: float, replica_id: ReplicaId) -> list[Action]:
        """Proposes to make a learner a voter.

        Raises:
            NotLeader: If this replica is not the leader.
            MembershipRefused: If the learner has not synced everything committed or has
                not responded within the quorum timeout, or if the members cannot be
                changed so now.
        """
        members = self._prepare_change(now).promote(replica_id)
        if not self._holds_committed(replica_id):
            raise MembershipRefused(f"{replica_id} has not synced everything committed")
        return self._change_members(members)

    def remove(self, now: float, replica_id: ReplicaId) -> list[Action]:
        """Proposes to remove a replica from the group.

        Raises:
            NotLeader: If this replica is not the leader.
            MembershipRefused: If the members cannot be changed so now.
        """
        return self._change_members(self._prepare_change(now).remove(replica_id))

    def is_repaired(self, replica_id: ReplicaId) -> bool:
        """Whether a replica is a committed voter that has synced everything committed.

        Raises:
            NotLeader: If this replica is not the leader.
        """
        self._get_leadership()
        if replica_id not in self._log.members_at(self._state.commit).voters:
            return False
        return replica_id == self._id or self._holds_committed(replica_id)

    def is_caught_up(self, replica_id: ReplicaId) -> bool:
        """Whether a member responded recently and has synced everything committed.

        Raises:
            NotLeader: If this replica is not the leader.
        """
        return self._holds_committed(replica_id)

    def last_response_at(self, replica_id: ReplicaId) -> float:
        """Returns the time of the last response of a follower, in seconds.

        It is minus infinity if the follower is not tracked.

        Raises:
            NotLeader: If this replica is not the leader.
        """
        progress = self._get_leadership().find(replica_id)
        return progress.last_response_at if progress else float("-inf")

    def _advance_clock(self, now: float) -> float:
        state = self._state
        state.now = max(state.now, now)
        # Checked before any message is handled, so that responses which queued up while
        # this process was paused do not extend its leadership.
        if state.leadership and not state.leadership.has_quorum(state.now):
            state.follow(ReplicaId(""))
        return state.now

    def _get_leadership(self) -> Leadership:
        if self._state.leadership is None:
            raise NotLeader()
        return self._state.leadership

    def _become_leader_if_elected(self, votes: dict[ReplicaId, str] | None) -> None:
        if votes is None:
            return
        state = self._state
        state.leadership = Leadership(
            replica_id=self._id,
            term=state.term,
            log=self._log,
            now=state.now,
            times=state.times,
        )
        state.set_role(Role.LEADER, self._id)
        if state.is_empty:
            self._adopt_members(_bind_members(self._initial_members, votes))
        else:
            state.leadership.update_followers(state.now)
            state.append(EntryKind.NOOP, b"")
        self._log.sync()
        state.actions += state.leadership.broadcast(state.now, state.commit)
        self._flush()

    def _flush(self) -> None:
        state = self._state
        leadership = self._get_leadership()
        self._log.sync()
        state.actions += leadership.send_pending(state.commit)
        index = leadership.find_commit()
        # Raft commits an entry of an earlier term only through a later entry of the
        # current term.
        if index > state.commit and self._log.term_at(index) == state.term:
            state.commit_to(index)
            leadership.record_durable_commits(index)
        state.actions += leadership.pop_confirmed_rounds(state.commit)
        if not state.is_voter and self._log.members_index <= state.commit:
            state.actions += leadership.broadcast(state.now, state.commit)
            state.follow(ReplicaId(""))

    def _handle_vote_request(self, sender: ReplicaId, request: VoteRequest) -> None:
        members = self._log.members
        if self._state.leadership and not members.accepts(sender, request.identity):
            self._refuse(sender, request.identity)
            return
        self._elections.handle_vote_request(sender, request)

    def _handle_vote_response(self, sender: ReplicaId, response: VoteResponse) -> None:
        self._become_leader_if_elected(
            self._elections.handle_vote_response(sender, response)
        )

    def _handle_append_request(self, sender: ReplicaId, request: AppendRequest) -> None:
        if self._follower.handle_append_request(sender, request):
            self._elections.cancel_campaign()

    def _handle_snapshot_chunk(self, sender: ReplicaId, chunk: SnapshotChunk) -> None:
        if self._follower.handle_snapshot_chunk(sender, chunk):
            self._elections.cancel_campaign()

    def _handle_append_response(
        self, sender: ReplicaId, response: AppendResponse
    ) -> None:
        if self._is_accepted(sender, response):
            state = self._state
            state.actions += state.leadership.handle_append_response(
                state.now, sender, response, state.commit
            )

    def _handle_snapshot_response(
        self, sender: ReplicaId, response: SnapshotResponse
    ) -> None:
        if self._is_accepted(sender, response):
            state = self._state
            state.actions += state.leadership.handle_snapshot_response(
                state.now, sender, response
            )

    def _handle_identity_refused(
        self, sender: ReplicaId, refusal: IdentityRefused
    ) -> None:
        if refusal.identity != self._state.identity:
            return
        if refusal.term >= self._state.term:
            self._state.mark_refused()

    def _is_accepted(
        self, sender: ReplicaId, response: AppendResponse | SnapshotResponse
    ) -> bool:
        state = self._state
        if state.leadership is None:
            return False
        if not self._log.members.accepts(sender, response.identity):
            self._refuse(sender, response.identity)
            return False
        if response.term > state.term:
            state.enter_term(response.term, vote="")
            return False
        return response.request_term == state.term

    def _refuse(self, sender: ReplicaId, identity: str) -> None:
        state = self._state
        if self._log.members_index > state.commit:
            # A refused replica stops voting, so it must not be refused because of an
            # uncommitted membership change, which a later leader may replace.
            return
        state.leadership.refused_identities[sender] = identity
        state.send(sender, IdentityRefused(term=state.term, identity=identity))

    def _holds_committed(self, replica_id: ReplicaId) -> bool:
        leadership = self._get_leadership()
        if not leadership.is_responsive(replica_id, self._state.now):
            return False
        return leadership.find(replica_id).match >= self._state.commit

    def _prepare_change(self, now: float) -> Members:
        self._advance_clock(now)
        leadership = self._get_leadership()
        # Without a committed entry of this term, two successive leaders could each
        # commit a membership change by majorities that do not overlap.
        if self._state.commit < leadership.term_start_index:
            raise MembershipRefused(
                "the leader has not committed an entry of its own term yet"
            )
        if self._log.members_index > self._state.commit:
            raise MembershipRefused(
                f"the membership change at entry {self._log.members_index} "
                "is not committed yet"
            )
        return self._log.members

    def _adopt_members(self, members: Members) -> None:
        state = self._state
        state.append(EntryKind.MEMBERS, members.pack())
        state.report_members()
        state.leadership.update_followers(state.now)

    def _change_members(self, members: Members) -> list[Action]:
        self._adopt_members(members)
        self._flush()
        return self._state.drain_actions()

    def _revoke_regressed(self) -> None:
        for replica_id in self._state.leadership.list_regressed():
            try:
                members = self._prepare_change(self._state.now).revoke(replica_id)
            except MembershipRefused:
                return
            self._adopt_members(members)


def _bind_members(names: tuple[ReplicaId, ...], votes: dict[ReplicaId, str]) -> Members:
    members = []
    for name in names:
        member = BoundMember(
            replica_id=name, identity=votes[name], role=MemberRole.VOTER
        )
        members.append(member)
    return Members(members=tuple(members))
