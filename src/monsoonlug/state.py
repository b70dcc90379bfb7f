"""Replicated state machine of the control group: the view and results of changes."""

from collections import deque

import msgpack

from monsoonlug import messages
from monsoonlug.commands import (
    Command,
    CommandResult,
    CommandStatus,
    Decision,
    OperatorCommand,
    decode_command,
)
from monsoonlug.coordinator_decisions import decide_coordinator_command
from monsoonlug.deltas import ConfigRevisionRecord, Delta
from monsoonlug.exceptions import DamagedFrame, StaleRevision
from monsoonlug.ids import Revision
from monsoonlug.operator_decisions import decide_operator_command
from monsoonlug.state_machine import StateMachine
from monsoonlug.view import View

MAX_STORED_RESULTS = 10_000  # results returned again to repeated changes
MAX_STORED_SUMMARIES = 64  # summaries of changes, listed in later conflicts
MAX_LISTED_CONFLICTS = 10  # summaries in one result


class ControlState(StateMachine):
    """The view, results of operators' changes and summaries of the last changes.

    Every replica applies the same commands at the same log indexes and therefore has
    the same state.

    Attributes:
        view: The view after the last command.
        applied_index: Log index of the last applied command.
    """

    def __init__(self):
        self.view = View()
        self.applied_index = 0
        self._results: dict[str, CommandResult] = {}
        self._summaries: deque[tuple[int, str]] = deque(maxlen=MAX_STORED_SUMMARIES)

    def apply(self, index: int, command: Command) -> tuple[CommandResult, Delta | None]:
        """Applies the command at a log index.

        Returns:
            The result, and the delta if the view changed, otherwise None.

        Raises:
            StaleRevision: If the index is not above `applied_index`.
        """
        if index <= self.applied_index:
            raise StaleRevision(
                f"log index {index} was already applied; "
                f"the last applied index is {self.applied_index}"
            )
        self.applied_index = index
        if isinstance(command, OperatorCommand):
            return self._apply_operator_command(index, command)
        decision = decide_coordinator_command(self.view, index, command)
        return self._build_result(decision), self._change_view(index, decision.changes)

    def pack(self) -> bytes:
        """Serializes the whole state."""
        results = [[key, messages.encode(item)] for key, item in self._results.items()]
        summaries = list(self._summaries)
        return msgpack.packb([self.applied_index, self.view.pack(), results, summaries])

    @classmethod
    def unpack(cls, data: bytes) -> "ControlState":
        """Returns the state that `pack` serialized.

        Raises:
            DamagedFrame: If the data are not a serialized state.
            DigestMismatch: If the view does not match its digest.
        """
        state = cls()
        try:
            state.applied_index, view, results, summaries = msgpack.unpackb(data)
            for change_id, result in results:
                state._results[change_id] = messages.decode(result)
            state._summaries.extend((revision, text) for revision, text in summaries)
        except (ValueError, TypeError) as error:
            raise DamagedFrame(f"state cannot be decoded: {error!r}") from error
        state.view = View.unpack(view)
        return state

    @staticmethod
    def decode_command(data: bytes) -> Command:
        """Returns the command in a log entry; see `StateMachine`."""
        return decode_command(data)

    def _build_result(self, decision: Decision) -> CommandResult:
        return CommandResult(
            status=decision.status,
            revision=self.view.config_revision,
            text=decision.text,
            conflicts=[],
        )

    def _change_view(self, index: int, changes: tuple) -> Delta | None:
        if not changes:
            return None
        view = self.view
        base = view.revision
        for change in changes:
            view.apply_change(change)
        view.revision = Revision(index)
        return Delta(
            base=base,
            revision=view.revision,
            digest=view.digest(),
            changes=list(changes),
        )

    def _apply_operator_command(
        self, index: int, command: OperatorCommand
    ) -> tuple[CommandResult, Delta | None]:
        stored = self._results.get(command.change_id)
        if stored is not None:
            return stored, None
        current = self.view.config_revision
        delta = None
        if command.base != current:
            result = self._build_conflict(command.base)
        else:
            decision = decide_operator_command(self.view, command)
            if decision.status is CommandStatus.ACCEPTED:
                revision = Revision(current + 1)
                record = ConfigRevisionRecord(revision=revision)
                delta = self._change_view(index, (*decision.changes, record))
                self._summaries.append((revision, decision.text))
            result = self._build_result(decision)
        self._results[command.change_id] = result
        if len(self._results) > MAX_STORED_RESULTS:
            del self._results[next(iter(self._results))]
        return result, delta

    def _build_conflict(self, base: Revision) -> CommandResult:
        current = self.view.config_revision
        later = []
        for revision, summary in self._summaries:
            if revision > base:
                later.append(f"{revision}: {summary}")
        unlisted = current - base - len(later[-MAX_LISTED_CONFLICTS:])
        text = f"based on revision {base}, but the revision is {current}"
        if base < current and unlisted > 0:
            text += f"; {unlisted} earlier changes are not listed"
        return CommandResult(
            status=CommandStatus.CONFLICT,
            revision=current,
            text=text,
            conflicts=later[-MAX_LISTED_CONFLICTS:],
        )
