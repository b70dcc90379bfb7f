"""The replicated control state: commands in, changes of the view and answers out."""

from collections import deque

import msgpack

from monsoonlug import messages
from monsoonlug.commands import (
    Answer,
    AnswerStatus,
    Command,
    OperatorCommand,
    Outcome,
    decode_command,
)
from monsoonlug.configuration import decide_change
from monsoonlug.deltas import ConfigRevisionRecord, Delta
from monsoonlug.exceptions import DamagedFrame, StaleRevision
from monsoonlug.ids import Revision
from monsoonlug.rules import decide_command
from monsoonlug.state_machine import StateMachine
from monsoonlug.view import View

MAX_ANSWERS = 10_000  # answers that are kept for repeated changes
MAX_SUMMARIES = 64  # summaries of changes that are kept for conflicts
MAX_CONFLICTS = 10  # summaries in one answer


class ControlState(StateMachine):
    """View, answers to operators and summaries of the last changes.

    Every replica applies the same commands with the same log indexes and therefore has
    the same state.

    Attributes:
        view: The view after the last command.
        applied: Log index of the last command.
    """

    def __init__(self):
        self.view = View()
        self.applied = 0
        self._answers: dict[str, Answer] = {}
        self._summaries: deque[tuple[int, str]] = deque(maxlen=MAX_SUMMARIES)

    def apply(self, index: int, command: Command) -> tuple[Answer, Delta | None]:
        """Applies the command at a log index.

        Returns:
            The answer, and the delta if the view changed.

        Raises:
            StaleRevision: If the index was applied before.
        """
        if index <= self.applied:
            raise StaleRevision(f"log index {index} was already applied")
        self.applied = index
        if isinstance(command, OperatorCommand):
            return self._apply_change(index, command)
        outcome = decide_command(self.view, index, command)
        return self._answer(outcome), self._commit(index, outcome.changes)

    def pack(self) -> bytes:
        """Returns the whole state as bytes."""
        answers = [[key, messages.encode(item)] for key, item in self._answers.items()]
        summaries = list(self._summaries)
        return msgpack.packb([self.applied, self.view.pack(), answers, summaries])

    @classmethod
    def unpack(cls, data: bytes) -> "ControlState":
        """Returns the state that was packed.

        Raises:
            DamagedFrame: If the data are no state.
            DigestMismatch: If the view does not fit its digest.
        """
        state = cls()
        try:
            state.applied, view, answers, summaries = msgpack.unpackb(data)
            for change_id, answer in answers:
                state._answers[change_id] = messages.decode(answer)
            state._summaries.extend((revision, text) for revision, text in summaries)
        except (ValueError, TypeError) as error:
            raise DamagedFrame(f"state cannot be decoded: {error!r}") from error
        state.view = View.unpack(view)
        return state

    @staticmethod
    def decode_command(data: bytes) -> Command:
        """Returns the command in a log entry; see `StateMachine`."""
        return decode_command(data)

    def _answer(self, outcome: Outcome) -> Answer:
        return Answer(
            status=outcome.status,
            revision=self.view.config_revision,
            text=outcome.text,
            conflicts=[],
        )

    def _commit(self, index: int, changes: tuple) -> Delta | None:
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

    def _apply_change(
        self, index: int, command: OperatorCommand
    ) -> tuple[Answer, Delta | None]:
        known = self._answers.get(command.change_id)
        if known is not None:
            return known, None
        current = self.view.config_revision
        delta = None
        if command.base != current:
            answer = self._refuse_base(command.base)
        else:
            outcome = decide_change(self.view, command)
            if outcome.status is AnswerStatus.ACCEPTED:
                revision = Revision(current + 1)
                record = ConfigRevisionRecord(revision=revision)
                delta = self._commit(index, (*outcome.changes, record))
                self._summaries.append((revision, outcome.text))
            answer = self._answer(outcome)
        self._answers[command.change_id] = answer
        if len(self._answers) > MAX_ANSWERS:
            del self._answers[next(iter(self._answers))]
        return answer, delta

    def _refuse_base(self, base: Revision) -> Answer:
        current = self.view.config_revision
        later = []
        for number, summary in self._summaries:
            if number > base:
                later.append(f"{number}: {summary}")
        hidden = current - base - len(later[-MAX_CONFLICTS:])
        text = f"based on revision {base}, but the revision is {current}"
        if base < current and hidden > 0:
            text += f"; {hidden} earlier changes are not listed"
        return Answer(
            status=AnswerStatus.CONFLICT,
            revision=current,
            text=text,
            conflicts=later[-MAX_CONFLICTS:],
        )
