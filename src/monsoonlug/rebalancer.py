"""Rebalancing of one keyed pool: moves slices and hot keys between its servers.

A move has two commands. `BeginMove` makes the owner release slices or keys, and
`FinishMove` gives them to the target once the owner has confirmed the release.
Unowned slices need only `FinishMove`.
"""

from collections import Counter
from collections.abc import Mapping

from monsoonlug.catalogue import Pool
from monsoonlug.commands import BeginMove, Command, FinishMove
from monsoonlug.ids import SLICE_COUNT, PoolId, ServerId, SliceState
from monsoonlug.messages import KeysReleased, SlicesReleased
from monsoonlug.placement import (
    KeyMove,
    Move,
    list_targets,
    must_evacuate,
    plan_keys,
    plan_moves,
    plan_unowned,
)
from monsoonlug.slices import SliceTable, find_slice
from monsoonlug.view import View

MAX_MOVING_SLICES = 2048  # slices that may be in transit between owners at once
STEP_INTERVAL = 0.100  # seconds between steps that begin moves
MAX_KEY_MOVES_PER_STEP = 8  # hot keys that begin to move in one step
# Seconds until a key that is no longer hot loses its override.
OVERRIDE_RETENTION = 60.0


class PoolRebalancer:
    """Decides the moves of one pool and tracks the targets and confirmed releases.

    Targets are not replicated. After a change of leader, a slice that is being released
    goes to the server that then has the fewest slices.
    """

    def __init__(self, *, pool: PoolId):
        self.pool = pool
        self._targets: dict[int, ServerId] = {}
        self._key_targets: dict[int, ServerId] = {}
        self._released: dict[int, int] = {}
        self._keys_released: dict[int, int] = {}
        self._last_hot_at: dict[int, float] = {}
        self._next_step = 0.0
        self._last_planned: tuple | None = None

    def record_release(self, message: SlicesReleased | KeysReleased) -> None:
        """Records slices or keys that their owner has stopped serving."""
        if isinstance(message, SlicesReleased):
            for number, epoch in zip(message.slices, message.epochs, strict=False):
                if isinstance(number, int) and 0 <= number < SLICE_COUNT:
                    self._released[number] = epoch
        else:
            self._keys_released.update(zip(message.keys, message.epochs, strict=False))

    def decide(
        self,
        now: float,
        view: View,
        pool: Pool,
        loads: Mapping[int, float],
        key_rates: Mapping[int, float],
    ) -> list[Command]:
        """Returns the next commands. No command of this pool may be pending."""
        table = view.slices[self.pool]
        if not self._has_work(now, view, table, loads, key_rates):
            return []
        targets = {record.server for record in list_targets(view, self.pool)}
        if not targets:
            return []
        moves = self._plan_unowned(view, table)
        moves += self._plan_finished_slices(view, table, targets)
        keys = self._plan_finished_keys(view, table, targets)
        if moves or keys:
            return _build_finish_commands(view, self.pool, moves, keys)
        if now < self._next_step:
            return []
        self._next_step = now + STEP_INTERVAL
        planned = (view.revision, id(loads), id(key_rates))
        if planned == self._last_planned and not self._has_cooled_keys(now, table):
            return []
        commands = self._begin_moves(now, view, table, pool, loads, key_rates)
        if not commands:
            self._last_planned = planned
        return commands

    def _has_work(self, now, view, table, loads, key_rates) -> bool:
        if self._released or self._keys_released:
            return True
        if table.count_state(SliceState.UNOWNED):
            return True
        if any(item.state is SliceState.UNOWNED for item in table.overrides.values()):
            return True
        return now >= self._next_step

    def _plan_unowned(self, view: View, table: SliceTable) -> list[Move]:
        if not table.count_state(SliceState.UNOWNED):
            return []
        return plan_unowned(view, self.pool, incoming=self._count_incoming())

    def _count_incoming(self) -> Counter:
        return Counter(self._targets.values())

    def _plan_finished_slices(
        self, view: View, table: SliceTable, targets: set
    ) -> list[Move]:
        moves = []
        incoming = self._count_incoming()
        for number, epoch in sorted(self._released.items()):
            location = table.get(number)
            if location.state is not SliceState.RELEASING or location.epoch != epoch:
                continue
            target = self._targets.pop(number, None)
            if target not in targets:
                target = _find_least_loaded(table, targets, incoming)
                incoming[target] += 1
            moves.append(
                Move(
                    pool=self.pool,
                    start=location.slice,
                    count=1,
                    epoch=location.epoch,
                    source=location.owner,
                    target=target,
                )
            )
        self._released.clear()
        return moves

    def _plan_finished_keys(self, view: View, table: SliceTable, targets: set):
        moves = []
        for key_hash in sorted(table.overrides):
            record = table.overrides[key_hash]
            released = self._keys_released.get(key_hash) == record.epoch
            if record.state is SliceState.OWNED:
                continue
            if record.state is SliceState.RELEASING and not released:
                continue
            target = self._key_targets.pop(key_hash, None)
            if target not in targets:
                target = self._choose_key_target(table, key_hash, targets)
            moves.append(
                KeyMove(
                    pool=self.pool,
                    key_hash=key_hash,
                    epoch=record.epoch,
                    target=target,
                )
            )
        self._keys_released.clear()
        return moves

    def _choose_key_target(
        self, table: SliceTable, key_hash: int, targets: set
    ) -> ServerId:
        slice_owner = table.get(find_slice(key_hash)).owner
        if slice_owner in targets:
            return slice_owner
        return _find_least_loaded(table, targets, self._count_incoming())

    def _begin_moves(self, now, view, table, pool, loads, key_rates) -> list[Command]:
        releasing = table.count_state(SliceState.RELEASING)
        if not releasing:
            self._targets.clear()
        cold_start = max(pool.limits.cold_seconds, STEP_INTERVAL)
        servers = max(1, len(table.list_owners()))
        slices_per_server = SLICE_COUNT / servers
        moves = plan_moves(
            view,
            self.pool,
            limit=MAX_MOVING_SLICES - releasing,
            max_per_target=max(
                1, round(slices_per_server * STEP_INTERVAL / cold_start)
            ),
            loads=loads,
            incoming=self._count_incoming(),
        )
        keys = self._plan_keys(now, view, table, loads, key_rates)
        if not moves and not keys:
            return []
        runs = []
        for move in moves:
            runs.extend((move.start, move.count, move.epoch))
            for number in range(move.start, move.start + move.count):
                self._targets[number] = move.target
        pairs = []
        for move in keys:
            pairs.extend((move.key_hash, move.epoch))
            self._key_targets[move.key_hash] = move.target
        return [BeginMove(pool=self.pool, runs=runs, keys=pairs)]

    def _plan_keys(self, now, view, table, loads, key_rates) -> list[KeyMove]:
        moves = plan_keys(
            view,
            self.pool,
            loads=loads,
            key_rates=key_rates,
            limit=MAX_KEY_MOVES_PER_STEP,
        )
        for key_hash in key_rates:
            self._last_hot_at[key_hash] = now
        moved_keys = {move.key_hash for move in moves}
        targets = {record.server for record in list_targets(view, self.pool)}
        for key_hash in sorted(table.overrides):
            record = table.overrides[key_hash]
            if len(moves) >= MAX_KEY_MOVES_PER_STEP:
                break
            if record.state is not SliceState.OWNED or key_hash in moved_keys:
                continue
            owner = view.servers.get(record.owner)
            is_evacuated = owner is not None and must_evacuate(view, owner)
            if not is_evacuated and not self._has_cooled(now, key_hash):
                continue
            target = self._choose_key_target(table, key_hash, targets)
            if (
                target == record.owner
                and table.get(find_slice(key_hash)).owner != target
            ):
                continue
            moves.append(
                KeyMove(
                    pool=self.pool,
                    key_hash=key_hash,
                    epoch=record.epoch,
                    target=target,
                )
            )
        return moves

    def _has_cooled(self, now: float, key_hash: int) -> bool:
        return now - self._last_hot_at.setdefault(key_hash, now) >= OVERRIDE_RETENTION

    def _has_cooled_keys(self, now: float, table: SliceTable) -> bool:
        for key_hash, record in table.overrides.items():
            if record.state is SliceState.OWNED and self._has_cooled(now, key_hash):
                return True
        return False


def _find_least_loaded(table: SliceTable, targets: set, incoming: Counter) -> ServerId:
    return min(
        targets, key=lambda name: (table.count_held(name) + incoming[name], name)
    )


def _build_finish_commands(
    view: View, pool: PoolId, moves: list[Move], keys: list[KeyMove]
) -> list[Command]:
    runs: dict[ServerId, list[int]] = {}
    pairs: dict[ServerId, list[int]] = {}
    for move in moves:
        append_run(runs.setdefault(move.target, []), move)
    for move in keys:
        pairs.setdefault(move.target, []).extend((move.key_hash, move.epoch))
    commands = []
    for owner in sorted({*runs, *pairs}):
        commands.append(
            FinishMove(
                pool=pool,
                owner=owner,
                owner_epoch=view.servers[owner].epoch,
                runs=runs.get(owner, []),
                keys=pairs.get(owner, []),
            )
        )
    return commands


def append_run(runs: list[int], move: Move) -> None:
    """Appends a move to the runs of a command; extends the last run if possible.

    >>> runs = [4, 2, 9]
    >>> append_run(
    ...     runs, Move(pool="p", start=6, count=1, epoch=9, source="a", target="b")
    ... )
    >>> runs
    [4, 3, 9]
    """
    if runs and runs[-3] + runs[-2] == move.start and runs[-1] == move.epoch:
        runs[-2] += move.count
        return
    runs.extend((move.start, move.count, move.epoch))
