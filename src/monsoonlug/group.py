"""Drives one control replica: timers, messages, commands and compaction."""

import asyncio
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass

from monsoonlug import messages
from monsoonlug.actions import (
    Action,
    Apply,
    MembersChanged,
    Refused,
    Restore,
    Role,
    RoleChanged,
    RoundConfirmed,
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
from monsoonlug.replicated import ReplicatedState
from monsoonlug.state import ControlState

COMPACT_AFTER = 1_000  # log entries since the last snapshot
LONGEST_SLEEP = 0.020  # seconds between two ticks

logger = get_logger("control")


@dataclass(slots=True, kw_only=True)
class _Proposal:
    term: int
    answer: asyncio.Future


class ControlGroup:
    """One replica with its state and its streams to the other replicas.

    Args:
        replica: The replica.
        links: Streams to the other replicas.
        clock: Monotonic clock, in seconds.
        on_applied: Called with each committed command and its change of the view.
        on_restored: Called when a snapshot replaced the state.
        on_role: Called when the role, the term or the leader changed.
        on_round: Called with each confirmed round.
        on_members: Called when the members changed.
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
        on_round: Callable[[RoundConfirmed], None],
        on_members: Callable[[Members], None] | None = None,
        state_type: type[ReplicatedState] = ControlState,
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
        self._compacted = 0
        self._failure: SyncFailed | None = None
        self._wake = asyncio.Event()

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads, as far as it knows."""
        return self.replica.role is Role.LEADER

    async def run(self) -> None:
        """Runs the timers until cancelled.

        Raises:
            SyncFailed: If the storage failed at any time.
        """
        while True:
            if self._failure is not None:
                raise self._failure
            self._perform(self.replica.tick(self._clock()))
            pause = self.replica.next_tick_at() - self._clock()
            self._wake.clear()
            try:
                timeout = max(0.0, min(pause, LONGEST_SLEEP))
                await asyncio.wait_for(self._wake.wait(), timeout)
            except TimeoutError:
                continue

    def receive(self, sender: str, message: object) -> None:
        """Takes a message of another replica.

        Raises:
            DamagedFrame: If the message is malformed.
        """
        with self._noting_failure():
            self._perform(
                self.replica.receive(self._clock(), ReplicaId(sender), message)
            )

    def propose(self, command: object) -> asyncio.Future:
        """Proposes a command; the future gets the answer once it is committed.

        Raises:
            NotLeader: If this replica does not lead.
        """
        answer = asyncio.get_running_loop().create_future()
        with self._noting_failure():
            now = self._clock()
            index, actions = self.replica.propose(now, messages.encode(command))
            self._proposals[index] = _Proposal(term=self.replica.term, answer=answer)
            self._perform(actions)
        return answer

    def propose_all(self, commands: list) -> None:
        """Proposes commands whose answers nobody waits for, with one sync for all.

        Raises:
            NotLeader: If this replica does not lead.
        """
        with self._noting_failure():
            actions: list[Action] = []
            for command in commands:
                now = self._clock()
                packed = messages.encode(command)
                actions += self.replica.propose(now, packed, flush=False)[1]
            self._perform(actions + self.replica.tick(self._clock()))

    def confirm_round(self, on_begun: Callable[[int], None]) -> None:
        """Begins a read-index round.

        Args:
            on_begun: Called with the round's id before it can be confirmed.

        Raises:
            NotLeader: If this replica does not lead.
        """
        with self._noting_failure():
            round_id, actions = self.replica.confirm_round(self._clock())
            on_begun(round_id)
            self._perform(actions)

    def change_members(self, change: Callable[..., list[Action]], *arguments) -> None:
        """Proposes a change of the members.

        Args:
            change: `add_learner`, `promote` or `remove` of the replica.
            arguments: Its arguments after the time.

        Raises:
            NotLeader: If this replica does not lead.
            MembershipRefused: If the change is not possible now.
        """
        with self._noting_failure():
            self._perform(change(self._clock(), *arguments))

    @contextmanager
    def _noting_failure(self) -> Iterator[None]:
        """Lets `run` end the process after a failed sync, whoever met it."""
        try:
            yield
        except SyncFailed as error:
            self._failure = error
            self._wake.set()
            raise

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send():
                    self._send(action)
                case Apply():
                    self._apply(action)
                case Restore():
                    self._restore(action)
                case RoundConfirmed():
                    self._on_round(action)
                case RoleChanged():
                    self._change_role(action)
                case MembersChanged():
                    logger.info("Members are now {}.", _list_members(action))
                    if self._on_members is not None:
                        self._on_members(action.members)
                case Refused():
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
        answer, delta = self.state.apply(action.index, command)
        proposal = self._proposals.pop(action.index, None)
        if proposal is not None and not proposal.answer.done():
            if proposal.term == action.term:
                proposal.answer.set_result(answer)
            else:
                proposal.answer.set_exception(ControlUnreachable())
        self._on_applied(command, delta)
        if action.index - self._compacted >= COMPACT_AFTER:
            self._compacted = action.index
            self.replica.compact(action.index, self.state.pack())

    def _restore(self, action: Restore) -> None:
        self.state = self._state_type.unpack(action.state)
        self._compacted = action.index
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
            if not proposal.answer.done():
                proposal.answer.set_exception(error)
                # A proposal of the coordinator has nobody who waits for it.
                proposal.answer.exception()


def _list_members(action: MembersChanged) -> str:
    rows = [f"{m.replica_id} ({m.role.name.lower()})" for m in action.members.members]
    return ", ".join(rows)
