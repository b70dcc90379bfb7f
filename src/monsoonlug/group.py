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
    MonsoonlugError,
    SyncFailed,
)
from monsoonlug.ids import ReplicaId
from monsoonlug.links import Link
from monsoonlug.logs import get_logger
from monsoonlug.membership import Members
from monsoonlug.state import ControlState
from monsoonlug.state_machine import StateMachine

COMPACTION_THRESHOLD = 1_000  # log entries since the last snapshot
MAX_TICK_INTERVAL = 0.020  # seconds

logger = get_logger("control")


@dataclass(slots=True, kw_only=True)
class _Proposal:
    term: int
    result: asyncio.Future


class ControlGroup:
    """One replica of a group, with its state and its streams to the other replicas.

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
        self._failure: SyncFailed | None = None
        self._wake_event = asyncio.Event()

    @property
    def is_leader(self) -> bool:
        """Whether this replica believes that it is the leader."""
        return self.replica.role is Role.LEADER

    async def run(self) -> None:
        """Runs the timers until cancelled.

        Raises:
            SyncFailed: If the storage failed at any time.
        """
        while True:
            if self._failure is not None:
                raise self._failure
            self._execute(self.replica.tick(self._clock()))
            pause = self.replica.next_tick_at() - self._clock()
            self._wake_event.clear()
            try:
                timeout = max(0.0, min(pause, MAX_TICK_INTERVAL))
                await asyncio.wait_for(self._wake_event.wait(), timeout)
            except TimeoutError:
                continue

    def receive(self, sender: str, message: object) -> None:
        """Handles a message of another replica.

        Raises:
            DamagedFrame: If the message is malformed.
        """
        with self._recording_failure():
            self._execute(
                self.replica.receive(self._clock(), ReplicaId(sender), message)
            )

    def propose(self, command: object) -> asyncio.Future:
        """Proposes a command; the future gets its result once it is applied.

        Raises:
            NotLeader: If this replica is not the leader.
        """
        result = asyncio.get_running_loop().create_future()
        with self._recording_failure():
            now = self._clock()
            index, actions = self.replica.propose(now, messages.encode(command))
            self._proposals[index] = _Proposal(term=self.replica.term, result=result)
            self._execute(actions)
        return result

    def propose_all(self, commands: list) -> None:
        """Proposes commands without returning their results, with one sync for all.

        Raises:
            NotLeader: If this replica is not the leader.
        """
        with self._recording_failure():
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
        with self._recording_failure():
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
        with self._recording_failure():
            self._execute(change(self._clock(), *arguments))

    @contextmanager
    def _recording_failure(self) -> Iterator[None]:
        """Records a failed sync in any call, so that `run` ends the process."""
        try:
            yield
        except SyncFailed as error:
            self._failure = error
            self._wake_event.set()
            raise

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
        command = self.state.decode_command(action.command)
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
