"""Read-index queue: callbacks that wait until a majority confirms the leader."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from monsoonlug.exceptions import NotLeader
from monsoonlug.group import ControlGroup

ROUND_TIMEOUT = 0.050  # seconds; then a new round begins before the last is confirmed


@dataclass(slots=True, kw_only=True)
class _Round:
    """A read-index round and the callbacks to run once it is confirmed."""

    began_at: float
    callbacks: list[Callable[[], None]] = field(default_factory=list)


class ReadIndexQueue:
    """Runs callbacks after read-index rounds.

    One round serves all callbacks that were added before it began.

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
        """Drops all callbacks and fails all `wait` calls, as the role changed."""
        self._waiting = []
        self._rounds = {}
        for reader in self._readers:
            if not reader.done():
                reader.set_exception(NotLeader())

    async def wait(self, timeout: float) -> None:
        """Waits until a majority has confirmed that this replica is the leader.

        Args:
            timeout: Longest wait, in seconds.

        Raises:
            NotLeader: If this replica is not the leader, or is not confirmed in time.
        """
        if not self._find_group().is_leader:
            raise NotLeader()
        reader = asyncio.get_running_loop().create_future()
        self._readers.add(reader)
        reader.add_done_callback(self._readers.discard)
        self.run_after_round(partial(_finish, reader))
        try:
            await asyncio.wait_for(reader, timeout)
        except TimeoutError:
            raise NotLeader() from None

    def run_after_round(self, callback: Callable[[], None]) -> None:
        """Calls `callback` once a round that begins after this call is confirmed."""
        now = self._clock()
        self._waiting.append(callback)
        newest = max((item.began_at for item in self._rounds.values()), default=0.0)
        if not self._rounds or now - newest > ROUND_TIMEOUT:
            self.begin_round(now)

    def begin_round(self, now: float) -> None:
        """Begins a round for all waiting callbacks."""
        callbacks, self._waiting = self._waiting, []
        begun = _Round(began_at=now, callbacks=callbacks)
        try:
            self._find_group().begin_round(partial(self._register_round, begun))
        except NotLeader:
            # The replica steps down inside the call if its quorum did not respond in
            # time. The clients of the callbacks repeat their requests.
            self.reset()

    def confirm(self, round_id: int) -> None:
        """Runs the callbacks of the rounds up to this one."""
        for known in sorted(self._rounds):
            if known > round_id:
                break
            for callback in self._rounds.pop(known).callbacks:
                callback()
        if self._waiting:
            self.begin_round(self._clock())

    def _register_round(self, begun: _Round, round_id: int) -> None:
        self._rounds[round_id] = begun


def _finish(reader: asyncio.Future) -> None:
    if not reader.done():
        reader.set_result(None)
