"""Answers that wait until a majority has confirmed that this replica leads."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from monsoonlug.exceptions import NotLeader
from monsoonlug.group import ControlGroup

ROUND_TIMEOUT = 0.050  # seconds after which the next round begins in any case


@dataclass(slots=True, kw_only=True)
class _Round:
    """A round, and what is called once it is confirmed."""

    began_at: float
    waiting: list[Callable[[], None]] = field(default_factory=list)


class RoundQueue:
    """Collects answers for read-index rounds.

    One round serves everything that came before it began.

    Args:
        clock: Monotonic clock, in seconds.
        find_group: Returns the control group.
    """

    def __init__(
        self, *, clock: Callable[[], float], find_group: Callable[[], ControlGroup]
    ):
        self._clock = clock
        self._find_group = find_group
        self._waiting: list[Callable[[], None]] = []
        self._rounds: dict[int, _Round] = {}
        self._readers: set[asyncio.Future] = set()

    def reset(self) -> None:
        """Drops everything that waits, as the role changed."""
        self._waiting = []
        self._rounds = {}
        for reader in self._readers:
            if not reader.done():
                reader.set_exception(NotLeader())

    async def wait(self, timeout: float) -> None:
        """Waits until a majority has confirmed that this replica leads.

        Args:
            timeout: Seconds.

        Raises:
            NotLeader: If it does not lead, or if that is not confirmed in time.
        """
        if not self._find_group().is_leader:
            raise NotLeader()
        reader = asyncio.get_running_loop().create_future()
        self._readers.add(reader)
        reader.add_done_callback(self._readers.discard)
        self.await_round(partial(_finish, reader))
        try:
            await asyncio.wait_for(reader, timeout)
        except TimeoutError:
            raise NotLeader() from None

    def await_round(self, answer: Callable[[], None]) -> None:
        """Calls `answer` once a round that begins after now is confirmed."""
        now = self._clock()
        self._waiting.append(answer)
        newest = max((item.began_at for item in self._rounds.values()), default=0.0)
        if not self._rounds or now - newest > ROUND_TIMEOUT:
            self.begin_round(now)

    def begin_round(self, now: float) -> None:
        """Begins a round for everything that waits."""
        waiting, self._waiting = self._waiting, []
        begun = _Round(began_at=now, waiting=waiting)
        try:
            self._find_group().confirm_round(partial(self._note_round, begun))
        except NotLeader:
            # The replica steps down inside the call if its quorum was silent; whoever
            # waits asks again.
            return

    def confirm(self, round_id: int) -> None:
        """Answers what waited for the rounds up to this one."""
        for known in sorted(self._rounds):
            if known > round_id:
                break
            for answer in self._rounds.pop(known).waiting:
                answer()
        if self._waiting:
            self.begin_round(self._clock())

    def _note_round(self, begun: _Round, round_id: int) -> None:
        self._rounds[round_id] = begun


def _finish(reader: asyncio.Future) -> None:
    if not reader.done():
        reader.set_result(None)
