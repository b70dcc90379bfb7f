"""The replicated log: elections, commit, read-index rounds and membership changes.

A `Replica` does no I/O except through its storage. Time is float seconds of a monotonic
clock. Actions must be carried out in order. An error from the storage is fatal: the
process stops without carrying out anything more.
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
    AppendAnswer,
    AppendRequest,
    IdentityRefused,
    SnapshotAnswer,
    SnapshotChunk,
    VoteAnswer,
    VoteRequest,
)
from monsoonlug.replica_state import ReplicaState

MAX_COMMAND_SIZE = 786_432  # bytes; an entry and its envelope fit into a frame


class Replica:
    """One replica of the replicated log.

    The first election of a group needs the votes of all members of the settings, and
    the first leader binds each id to the identity that came with its vote. A wiped
    replica can therefore neither start a new group while another member has a log, nor
    vote in the old one.

    Args:
        replica_id: Id of this replica.
        members: Ids of the members in the settings, used while the log is empty.
        storage: Durable state.
        random: Source of the election timeouts.
        now: Time in seconds.
        times: Timing of the group.
        may_found: Whether replicas without a log may form a new group. A replica that
            joins an existing group must not, even if all that it knows are empty.
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
        may_found: bool = True,
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
        self._initial = tuple(dict.fromkeys(members))
        self._elections = Elections(
            state=state, members=self._initial, may_found=may_found
        )
        self._follower = Follower(state=state)
        self._round_count = 0
        self._handlers: dict[type, Callable] = {
            VoteRequest: self._take_vote_request,
            VoteAnswer: self._take_vote_answer,
            AppendRequest: self._take_append_request,
            AppendAnswer: self._take_append_answer,
            SnapshotChunk: self._take_chunk,
            SnapshotAnswer: self._take_snapshot_answer,
            IdentityRefused: self._take_refusal,
        }
        alone = self._initial if may_found else ()
        if (state.log.members.voters or alone) == (replica_id,):
            state.elect_at = now

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
        """Known leader of the current term, or an empty string."""
        return self._state.leader

    @property
    def commit_index(self) -> int:
        """Index up to which the log is known to be committed."""
        return self._state.commit

    @property
    def members(self) -> Members:
        """Members in force; empty before the group's first election."""
        return self._log.members

    @property
    def has_pending_change(self) -> bool:
        """Whether the members in force are not committed yet."""
        return self._log.members_index > self._state.commit

    @property
    def strangers(self) -> dict[ReplicaId, str]:
        """Identities that this leader refused, by replica id, for `add_learner`."""
        return dict(self._state.leadership.strangers) if self._state.leadership else {}

    @property
    def is_refused(self) -> bool:
        """Whether the group refuses this data folder."""
        return self._state.is_refused

    def next_tick_at(self) -> float:
        """Returns the time of the next timer, in seconds."""
        if self._state.leadership:
            return self._state.leadership.heartbeat_at
        return self._state.elect_at

    def tick(self, now: float) -> list[Action]:
        """Runs the timers that are due and sends what was proposed."""
        now = self._advance(now)
        if self._state.leadership is None:
            if now >= self._state.elect_at:
                self._elections.start_trial()
                self._lead_if_elected(self._elections.count_votes())
            return self._state.take_actions()
        self._revoke_regressed()
        self._flush()
        if self._state.leadership and now >= self._state.leadership.heartbeat_at:
            self._state.actions += self._state.leadership.broadcast(
                now, self._state.commit
            )
        return self._state.take_actions()

    def receive(self, now: float, sender: ReplicaId, message: object) -> list[Action]:
        """Takes a message of another replica; a message of another kind is ignored.

        Raises:
            DamagedFrame: If the message's rows are malformed.
            SyncFailed: If the storage failed, which is fatal.
        """
        now = self._advance(now)
        handler = self._handlers.get(type(message))
        if handler is not None and sender != self._id:
            handler(sender, message)
            if self._state.leadership:
                self._flush()
        return self._state.take_actions()

    def propose(
        self, now: float, command: bytes, *, flush: bool = True
    ) -> tuple[int, list[Action]]:
        """Adds a command to the log and returns its index.

        The command is committed once its `Apply` action with this index and the current
        term appears.

        Args:
            now: Time in seconds.
            command: The command.
            flush: Whether to sync and send at once. Without it, the next call of any
                kind does so for all commands proposed until then.

        Raises:
            NotLeader: If this replica is not the leader.
            CommandTooLarge: If the command does not fit into one message.
            SyncFailed: If the storage failed, which is fatal.
        """
        if len(command) > MAX_COMMAND_SIZE:
            raise CommandTooLarge(
                f"a command of {len(command)} bytes exceeds {MAX_COMMAND_SIZE}"
            )
        now = self._advance(now)
        self._get_leadership()
        index = self._state.append(EntryKind.COMMAND, command)
        if flush:
            self._flush()
        return index, self._state.take_actions()

    def confirm_round(self, now: float) -> tuple[int, list[Action]]:
        """Begins a read-index round and returns its id.

        Raises:
            NotLeader: If this replica is not the leader.
        """
        now = self._advance(now)
        leadership = self._get_leadership()
        self._round_count += 1
        leadership.begin_round(now, self._round_count)
        self._log.sync()
        self._state.actions += leadership.broadcast(now, self._state.commit)
        self._flush()
        return self._round_count, self._state.take_actions()

    def confirmed_at(self) -> float:
        """Returns the start of the last confirmed round, in seconds.

        It is minus infinity if this replica has confirmed none as the current leader.
        """
        return (
            self._state.leadership.confirmed_at if self._state.leadership else -math.inf
        )

    def compact(self, index: int, state: bytes) -> None:
        """Replaces the log up to `index` by the packed state after that entry.

        Raises:
            ValueError: If the entry was not applied yet.
            SyncFailed: If the storage failed, which is fatal.
        """
        if index > self._state.applied:
            raise ValueError(f"entry {index} is not applied yet")
        if index > self._log.base_index:
            self._log.compact(index, state)

    def set_contacts(self, contacts: tuple[ReplicaId, ...]) -> None:
        """Names the replicas that a joining replica asks to be admitted."""
        self._elections.set_contacts(contacts)

    def add_learner(
        self, now: float, replica_id: ReplicaId, identity: str
    ) -> list[Action]:
        """Proposes a learner; a known id is bound to the new identity.

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
            MembershipRefused: If the learner has not synced everything committed or was
                not heard within the quorum timeout, or if the members cannot be changed
                so now.
        """
        members = self._prepare_change(now).promote(replica_id)
        if not self._holds_committed(replica_id):
            raise MembershipRefused(f"{replica_id} has not synced everything committed")
        return self._change_members(members)

    def remove(self, now: float, replica_id: ReplicaId) -> list[Action]:
        """Proposes to take a replica out of the group.

        Raises:
            NotLeader: If this replica is not the leader.
            MembershipRefused: If the members cannot be changed so now.
        """
        return self._change_members(self._prepare_change(now).remove(replica_id))

    def is_repaired(self, replica_id: ReplicaId) -> bool:
        """Whether a replica is a voter by a committed change and has synced everything.

        Raises:
            NotLeader: If this replica is not the leader.
        """
        self._get_leadership()
        if replica_id not in self._log.members_at(self._state.commit).voters:
            return False
        return replica_id == self._id or self._holds_committed(replica_id)

    def is_caught_up(self, replica_id: ReplicaId) -> bool:
        """Whether a member was heard lately and has synced everything committed.

        Raises:
            NotLeader: If this replica is not the leader.
        """
        return self._holds_committed(replica_id)

    def heard_at(self, replica_id: ReplicaId) -> float:
        """Returns when a follower answered last, in seconds.

        Raises:
            NotLeader: If this replica is not the leader.
        """
        progress = self._get_leadership().find(replica_id)
        return progress.heard_at if progress else float("-inf")

    def _advance(self, now: float) -> float:
        state = self._state
        state.now = max(state.now, now)
        # Checked before anything else, so that answers which queued up while this
        # process was paused do not extend the leadership.
        if state.leadership and not state.leadership.has_quorum(state.now):
            state.follow(ReplicaId(""))
        return state.now

    def _get_leadership(self) -> Leadership:
        if self._state.leadership is None:
            raise NotLeader()
        return self._state.leadership

    def _lead_if_elected(self, votes: dict[ReplicaId, str] | None) -> None:
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
            self._adopt_members(_bind_members(self._initial, votes))
        else:
            state.leadership.follow_members(state.now)
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
        # An entry of an earlier term is committed only by a later one of this term.
        if index > state.commit and self._log.term_at(index) == state.term:
            state.commit_to(index)
            leadership.raise_floors(index)
        state.actions += leadership.take_confirmed(state.commit)
        if not state.is_voter and self._log.members_index <= state.commit:
            state.actions += leadership.broadcast(state.now, state.commit)
            state.follow(ReplicaId(""))

    def _take_vote_request(self, sender: ReplicaId, request: VoteRequest) -> None:
        members = self._log.members
        if self._state.leadership and not members.accepts(sender, request.identity):
            self._refuse(sender, request.identity)
            return
        self._elections.take_request(sender, request)

    def _take_vote_answer(self, sender: ReplicaId, answer: VoteAnswer) -> None:
        self._lead_if_elected(self._elections.take_answer(sender, answer))

    def _take_append_request(self, sender: ReplicaId, request: AppendRequest) -> None:
        if self._follower.take_append(sender, request):
            self._elections.drop()

    def _take_chunk(self, sender: ReplicaId, chunk: SnapshotChunk) -> None:
        if self._follower.take_chunk(sender, chunk):
            self._elections.drop()

    def _take_append_answer(self, sender: ReplicaId, answer: AppendAnswer) -> None:
        if self._is_accepted(sender, answer):
            state = self._state
            state.actions += state.leadership.take_append_answer(
                state.now, sender, answer, state.commit
            )

    def _take_snapshot_answer(self, sender: ReplicaId, answer: SnapshotAnswer) -> None:
        if self._is_accepted(sender, answer):
            state = self._state
            state.actions += state.leadership.take_snapshot_answer(
                state.now, sender, answer
            )

    def _take_refusal(self, sender: ReplicaId, refusal: IdentityRefused) -> None:
        if refusal.identity != self._state.identity:
            return
        if refusal.term >= self._state.term:
            self._state.refuse()

    def _is_accepted(
        self, sender: ReplicaId, answer: AppendAnswer | SnapshotAnswer
    ) -> bool:
        state = self._state
        if state.leadership is None:
            return False
        if not self._log.members.accepts(sender, answer.identity):
            self._refuse(sender, answer.identity)
            return False
        if answer.term > state.term:
            state.enter_term(answer.term, vote="")
            return False
        return answer.request_term == state.term

    def _refuse(self, sender: ReplicaId, identity: str) -> None:
        state = self._state
        if self._log.members_index > state.commit:
            # A refused replica no longer votes, so it must not be refused for a change
            # that a later leader may replace.
            return
        state.leadership.strangers[sender] = identity
        state.send(sender, IdentityRefused(term=state.term, identity=identity))

    def _holds_committed(self, replica_id: ReplicaId) -> bool:
        leadership = self._get_leadership()
        if not leadership.hears(replica_id, self._state.now):
            return False
        return leadership.find(replica_id).match >= self._state.commit

    def _prepare_change(self, now: float) -> Members:
        self._advance(now)
        leadership = self._get_leadership()
        # Without a committed entry of this term, two leaders in turn could each
        # commit a change with majorities that do not overlap.
        if self._state.commit < leadership.start_index:
            raise MembershipRefused("the leader has not committed an entry yet")
        if self._log.members_index > self._state.commit:
            raise MembershipRefused("another change of the members is under way")
        return self._log.members

    def _adopt_members(self, members: Members) -> None:
        state = self._state
        state.append(EntryKind.MEMBERS, members.pack())
        state.report_members()
        state.leadership.follow_members(state.now)

    def _change_members(self, members: Members) -> list[Action]:
        self._adopt_members(members)
        self._flush()
        return self._state.take_actions()

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
