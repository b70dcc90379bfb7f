"""The leader's decisions on the slices and hot keys of one keyed pool."""

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
    must_leave,
    plan_keys,
    plan_moves,
    plan_unowned,
)
from monsoonlug.slices import SliceTable, find_slice
from monsoonlug.view import View

MOVE_STEP = 2048  # slices that may be between two owners at the same time
STEP_INTERVAL = 0.100  # seconds between two steps
KEY_STEP = 8  # hot keys that may start to move in one step
KEY_COOL = 60.0  # seconds after which a key that is no longer hot loses its override


class PoolMoves:
    """Moves of one pool: plans, targets and confirmed releases.

    Targets are kept here only. After a change of leader, a slice that is being
    released goes to the server that has the least then.
    """

    def __init__(self, *, pool: PoolId):
        self.pool = pool
        self._targets: dict[int, ServerId] = {}
        self._key_targets: dict[int, ServerId] = {}
        self._released: dict[int, int] = {}
        self._keys_released: dict[int, int] = {}
        self._hot_at: dict[int, float] = {}
        self._next_step = 0.0
        self._planned: tuple | None = None

    def release(self, message: SlicesReleased | KeysReleased) -> None:
        """Notes slices or keys on which their owner no longer acts."""
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
        """Returns the next commands; call it only when none of this pool is open."""
        table = view.slices[self.pool]
        if not self._has_work(now, view, table, loads, key_rates):
            return []
        targets = {record.server for record in list_targets(view, self.pool)}
        if not targets:
            return []
        moves = self._assign_unowned(view, table)
        moves += self._finish(view, table, targets)
        keys = self._finish_keys(view, table, targets)
        if moves or keys:
            return _make_finishes(view, self.pool, moves, keys)
        if now < self._next_step:
            return []
        self._next_step = now + STEP_INTERVAL
        planned = (view.revision, id(loads), id(key_rates))
        if planned == self._planned and not self._has_cool_keys(now, table):
            return []
        commands = self._begin(now, view, table, pool, loads, key_rates)
        if not commands:
            self._planned = planned
        return commands

    def _has_work(self, now, view, table, loads, key_rates) -> bool:
        if self._released or self._keys_released:
            return True
        if table.count_state(SliceState.UNOWNED):
            return True
        if any(item.state is SliceState.UNOWNED for item in table.overrides.values()):
            return True
        return now >= self._next_step

    def _assign_unowned(self, view: View, table: SliceTable) -> list[Move]:
        if not table.count_state(SliceState.UNOWNED):
            return []
        return plan_unowned(view, self.pool, incoming=self._count_incoming())

    def _count_incoming(self) -> Counter:
        return Counter(self._targets.values())

    def _finish(self, view: View, table: SliceTable, targets: set) -> list[Move]:
        moves = []
        incoming = self._count_incoming()
        for number, epoch in sorted(self._released.items()):
            place = table.get(number)
            if place.state is not SliceState.RELEASING or place.epoch != epoch:
                continue
            target = self._targets.pop(number, None)
            if target not in targets:
                target = _find_least(table, targets, incoming)
                incoming[target] += 1
            moves.append(
                Move(
                    pool=self.pool,
                    start=place.slice,
                    count=1,
                    epoch=place.epoch,
                    source=place.owner,
                    target=target,
                )
            )
        self._released.clear()
        return moves

    def _finish_keys(self, view: View, table: SliceTable, targets: set):
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
                target = self._find_home(table, key_hash, targets)
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

    def _find_home(self, table: SliceTable, key_hash: int, targets: set) -> ServerId:
        home = table.get(find_slice(key_hash)).owner
        if home in targets:
            return home
        return _find_least(table, targets, self._count_incoming())

    def _begin(self, now, view, table, pool, loads, key_rates) -> list[Command]:
        releasing = table.count_state(SliceState.RELEASING)
        if not releasing:
            self._targets.clear()
        cold = max(pool.limits.cold_seconds, STEP_INTERVAL)
        servers = max(1, len(table.list_owners()))
        quota = SLICE_COUNT / servers
        moves = plan_moves(
            view,
            self.pool,
            limit=MOVE_STEP - releasing,
            per_target=max(1, round(quota * STEP_INTERVAL / cold)),
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
            view, self.pool, loads=loads, key_rates=key_rates, limit=KEY_STEP
        )
        for key_hash in key_rates:
            self._hot_at[key_hash] = now
        taken = {move.key_hash for move in moves}
        targets = {record.server for record in list_targets(view, self.pool)}
        for key_hash in sorted(table.overrides):
            record = table.overrides[key_hash]
            if len(moves) >= KEY_STEP:
                break
            if record.state is not SliceState.OWNED or key_hash in taken:
                continue
            owner = view.servers.get(record.owner)
            forced = owner is not None and must_leave(view, owner)
            if not forced and not self._is_cool(now, key_hash):
                continue
            target = self._find_home(table, key_hash, targets)
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

    def _is_cool(self, now: float, key_hash: int) -> bool:
        return now - self._hot_at.setdefault(key_hash, now) >= KEY_COOL

    def _has_cool_keys(self, now: float, table: SliceTable) -> bool:
        for key_hash, record in table.overrides.items():
            if record.state is SliceState.OWNED and self._is_cool(now, key_hash):
                return True
        return False


def _find_least(table: SliceTable, targets: set, incoming: Counter) -> ServerId:
    return min(
        targets, key=lambda name: (table.count_held(name) + incoming[name], name)
    )


def _make_finishes(
    view: View, pool: PoolId, moves: list[Move], keys: list[KeyMove]
) -> list[Command]:
    runs: dict[ServerId, list[int]] = {}
    pairs: dict[ServerId, list[int]] = {}
    for move in moves:
        add_run(runs.setdefault(move.target, []), move)
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


def add_run(runs: list[int], move: Move) -> None:
    """Adds a move to the runs of a command, to the last run where it fits.

    >>> runs = [4, 2, 9]
    >>> add_run(
    ...     runs, Move(pool="p", start=6, count=1, epoch=9, source="a", target="b")
    ... )
    >>> runs
    [4, 3, 9]
    """
    if runs and runs[-3] + runs[-2] == move.start and runs[-1] == move.epoch:
        runs[-2] += move.count
        return
    runs.extend((move.start, move.count, move.epoch))
