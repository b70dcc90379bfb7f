"""Event loop driver of one control replica: timers, messages, commands, compaction."""

import asyncio
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass

from monsoonlug import messages
from monsoonlug.actions import (
    Action,
    Apply,
    FolderRefused,
    MembersChanged,
    ReadIndexConfirmed,
    Restore,
    Role,
    RoleChanged,
    Send,
)
from monsoonlug.consensus import Replica
from monsoonlug.exceptions import (
    ControlUnreachable,
    DamagedFrame,
    MonsoonlugError,
    NotLeader,
    SyncFailed,
)
from monsoonlug.ids import ReplicaId
from monsoonlug.links import Link
from monsoonlug.logs import describe_exception, get_logger
from monsoonlug.membership import Members
from monsoonlug.peer_messages import AppendRequest
from monsoonlug.state import ControlState
from monsoonlug.state_machine import StateMachine

COMPACTION_THRESHOLD = 1_000  # log entries since the last snapshot
MAX_TICK_INTERVAL = 0.020  # seconds
REOPEN_INTERVAL = 0.250  # seconds between attempts to reopen a failed data folder

logger = get_logger("control")


@dataclass(slots=True, kw_only=True)
class _Proposal:
    term: int
    result: asyncio.Future


class ControlGroup:
    """One replica of a group, with its state and its streams to the other replicas.

    A replica whose data folder fails is halted: it neither leads nor votes nor
    acknowledges anything. If the data folder can be written again later, a new replica
    starts from it, as after a restart of the process.

    Args:
        replica: The replica.
        links: Streams to the other replicas.
        clock: Monotonic clock, in seconds.
        on_applied: Called with each committed command and its delta of the view.
        on_restored: Called after a snapshot replaced the state.
        on_role: Called after the role, the term or the leader changed.
        on_round: Called with each confirmed read-index round.
        on_members: Called after the member list changed.
        state_type: Class of the replicated state.
        reopen: Opens the data folder again and returns its replica; raises
            `SyncFailed` if it cannot be written. If None, `run` ends after a failure.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        links: Mapping[ReplicaId, Link],
        clock: Callable[[], float],
        on_applied: Callable[[object, object | None], None],
        on_restored: Callable[[], None],
        on_role: Callable[[RoleChanged], None],
        on_round: Callable[[ReadIndexConfirmed], None],
        on_members: Callable[[Members], None] | None = None,
        state_type: type[StateMachine] = ControlState,
        reopen: Callable[[], Replica] | None = None,
    ):
        self.replica = replica
        self.state = state_type()
        self._state_type = state_type
        self._on_members = on_members
        self._links = links
        self._clock = clock
        self._on_applied = on_applied
        self._on_restored = on_restored
        self._on_role = on_role
        self._on_round = on_round
        self._proposals: dict[int, _Proposal] = {}
        self._compacted_index = 0
        self._reopen = reopen
        self._failure: SyncFailed | None = None
        self._reopen_at = 0.0
        self._last_seen_leader = ReplicaId("")
        self._wake_event = asyncio.Event()

    @property
    def is_leader(self) -> bool:
        """Whether this replica believes that it is the leader."""
        return not self.is_halted and self.replica.role is Role.LEADER

    @property
    def is_halted(self) -> bool:
        """Whether the data folder failed and has not been reopened."""
        return self._failure is not None

    @property
    def leader(self) -> ReplicaId:
        """The known leader, or an empty string.

        On a halted replica it is the last one that sent log entries or a heartbeat.
        """
        return self._last_seen_leader if self.is_halted else self.replica.leader

    async def run(self) -> None:
        """Runs the timers until cancelled.

        Raises:
            SyncFailed: If the storage failed and cannot be reopened.
        """
        while True:
            self.advance()
            due_at = self.replica.next_tick_at()
            if self.is_halted:
                due_at = self._reopen_at
            pause = due_at - self._clock()
            self._wake_event.clear()
            try:
                timeout = max(0.0, min(pause, MAX_TICK_INTERVAL))
                await asyncio.wait_for(self._wake_event.wait(), timeout)
            except TimeoutError:
                continue

    def advance(self) -> None:
        """Runs the timers that are due, or tries to reopen a failed data folder.

        Raises:
            SyncFailed: If the storage failed and cannot be reopened.
        """
        if not self.is_halted:
            with self._halting_on_failure():
                self._execute(self.replica.tick(self._clock()))
        elif self._reopen is None:
            raise self._failure
        elif self._clock() >= self._reopen_at:
            self._restart()

    def receive(self, sender: str, message: object) -> None:
        """Handles a message of another replica.

        Raises:
            DamagedFrame: If the message is malformed.
        """
        if isinstance(message, AppendRequest):
            self._last_seen_leader = ReplicaId(sender)
        if self.is_halted:
            return
        with self._halting_on_failure():
            self._execute(
                self.replica.receive(self._clock(), ReplicaId(sender), message)
            )

    def propose(self, command: object) -> asyncio.Future:
        """Proposes a command; the future gets its result once it is applied.

        If the storage fails, the future fails with `ControlUnreachable`, as the command
        may have been stored and may still be committed.

        Raises:
            NotLeader: If this replica is not the leader.
        """
        self._check_running()
        result = asyncio.get_running_loop().create_future()
        with self._halting_on_failure():
            now = self._clock()
            index, actions = self.replica.propose(now, messages.encode(command))
            self._proposals[index] = _Proposal(term=self.replica.term, result=result)
            self._execute(actions)
        if self.is_halted and not result.done():
            result.set_exception(ControlUnreachable())
        return result

    def propose_all(self, commands: list) -> None:
        """Proposes commands without returning their results, with one sync for all.

        Raises:
            NotLeader: If this replica is not the leader.
        """
        self._check_running()
        with self._halting_on_failure():
            actions: list[Action] = []
            for command in commands:
                now = self._clock()
                packed = messages.encode(command)
                actions += self.replica.propose(now, packed, flush=False)[1]
            self._execute(actions + self.replica.tick(self._clock()))

    def begin_round(self, on_begun: Callable[[int], None]) -> None:
        """Begins a read-index round.

        Args:
            on_begun: Called with the round's id before it can be confirmed.

        Raises:
            NotLeader: If this replica is not the leader.
        """
        self._check_running()
        with self._halting_on_failure():
            round_id, actions = self.replica.begin_round(self._clock())
            on_begun(round_id)
            self._execute(actions)

    def change_members(self, change: Callable[..., list[Action]], *arguments) -> None:
        """Proposes a membership change.

        Args:
            change: `add_learner`, `promote` or `remove` of the replica.
            arguments: Its arguments after the time.

        Raises:
            NotLeader: If this replica is not the leader.
            MembershipRefused: If the change is not possible now.
        """
        self._check_running()
        with self._halting_on_failure():
            self._execute(change(self._clock(), *arguments))

    def _check_running(self) -> None:
        if self.is_halted:
            raise NotLeader()

    @contextmanager
    def _halting_on_failure(self) -> Iterator[None]:
        """Halts the replica if its storage fails within the block.

        After any other unexpected error, its memory may differ from its storage. It is
        halted then, too, and starts again from the storage.
        """
        try:
            yield
        except SyncFailed as error:
            self._halt(error)
        except MonsoonlugError:
            raise
        except Exception as error:
            if self._reopen is None:
                raise
            logger.exception("The replica failed.")
            self._halt(SyncFailed(describe_exception(error)))

    def _halt(self, error: SyncFailed) -> None:
        logger.error(
            "Stopped taking part in the group in term {} at log index {}: {}.",
            self.replica.term,
            self.replica.commit_index,
            error,
        )
        self._failure = error
        self._reopen_at = self._clock() + REOPEN_INTERVAL
        self._wake_event.set()
        self._change_role(
            RoleChanged(role=Role.FOLLOWER, term=self.replica.term, leader="")
        )

    def _restart(self) -> None:
        """Replaces the replica by one from the reopened data folder."""
        try:
            replica = self._reopen()
        except SyncFailed as error:
            self._reopen_at = self._clock() + REOPEN_INTERVAL
            logger.debug("The data folder still fails: {}.", error)
            return
        self.replica = replica
        self._failure = None
        self.state = self._state_type()
        self._compacted_index = 0
        self._on_restored()
        logger.info(
            "Reopened the data folder; taking part in the group from log index {} on.",
            replica.commit_index,
        )

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send():
                    self._send(action)
                case Apply():
                    self._apply(action)
                case Restore():
                    self._restore(action)
                case ReadIndexConfirmed():
                    self._on_round(action)
                case RoleChanged():
                    self._change_role(action)
                case MembersChanged():
                    logger.info("Members are now {}.", _format_members(action))
                    if self._on_members is not None:
                        self._on_members(action.members)
                case FolderRefused():
                    logger.error(
                        "The group refuses this data folder (identity {}). "
                        "Add it as a learner.",
                        action.identity,
                    )

    def _send(self, action: Send) -> None:
        link = self._links.get(action.to)
        if link is not None:
            link.send(action.message)

    def _apply(self, action: Apply) -> None:
        try:
            command = self.state.decode_command(action.command)
        except DamagedFrame as error:
            # Replicas that skip a command differ from the others afterwards.
            raise SyncFailed(
                f"the command at log index {action.index} cannot be applied: {error}"
            ) from error
        result, delta = self.state.apply(action.index, command)
        proposal = self._proposals.pop(action.index, None)
        if proposal is not None and not proposal.result.done():
            if proposal.term == action.term:
                proposal.result.set_result(result)
            else:
                proposal.result.set_exception(ControlUnreachable())
        self._on_applied(command, delta)
        if action.index - self._compacted_index >= COMPACTION_THRESHOLD:
            self._compacted_index = action.index
            self.replica.compact(action.index, self.state.pack())

    def _restore(self, action: Restore) -> None:
        self.state = self._state_type.unpack(action.state)
        self._compacted_index = action.index
        self._on_restored()

    def _change_role(self, action: RoleChanged) -> None:
        logger.info(
            "Role is {} in term {}, leader is {}.",
            action.role.value,
            action.term,
            action.leader or "not known",
        )
        if action.role is not Role.LEADER:
            self._fail_proposals(ControlUnreachable())
        self._on_role(action)

    def _fail_proposals(self, error: MonsoonlugError) -> None:
        proposals, self._proposals = self._proposals, {}
        for proposal in proposals.values():
            if not proposal.result.done():
                proposal.result.set_exception(error)
                # Marks the exception as retrieved, as nothing awaits the proposals of
                # the coordinator and asyncio would log them.
                proposal.result.exception()


def _format_members(action: MembersChanged) -> str:
    rows = [f"{m.replica_id} ({m.role.name.lower()})" for m in action.members.members]
    return ", ".join(rows)
