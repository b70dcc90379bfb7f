"""Placement planning for slices, hot keys and gates (pure functions).

The planners assign slices and hot keys to backend servers, and gates to hosts. They
balance the load and empty whatever is draining or out of service.
"""

import heapq
import math
from bisect import bisect_left
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from monsoonlug.commands import AppointGate, ReleaseGate
from monsoonlug.deltas import HostRecord, ServerRecord
from monsoonlug.ids import (
    SLICE_COUNT,
    Epoch,
    FailureDomain,
    HostId,
    PoolId,
    ServerId,
    Slice,
    SliceState,
)
from monsoonlug.slices import SliceRun, SliceTable, find_slice
from monsoonlug.view import View

LOAD_TOLERANCE = 0.05  # of the mean weight; smaller changes of the load are random
HOT_KEY_SHARE = 0.25  # of the mean load of a server, above which a key is hot
CROSS_DOMAIN_PENALTY = 2  # gates; added to the cost of a host in another failure domain
MIN_GATE_GAIN = 2  # reduction of a gate's cost that justifies a move


@dataclass(frozen=True, slots=True, kw_only=True)
class Move:
    """Move of consecutive slices; the source is empty for unowned slices."""

    pool: PoolId
    start: Slice
    count: int
    epoch: Epoch
    source: ServerId
    target: ServerId


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyMove:
    """Move of a hot key."""

    pool: PoolId
    key_hash: int
    epoch: Epoch
    target: ServerId


def list_targets(view: View, pool: PoolId) -> list[ServerRecord]:
    """Returns the servers of a pool that may receive slices, sorted by name."""
    targets = []
    for server in sorted(view.servers):
        record = view.servers[server]
        gate = view.gates.get(server)
        if record.pool != pool or gate is None or gate.releasing:
            continue
        if must_evacuate(view, record):
            continue
        targets.append(record)
    return targets


def must_evacuate(view: View, record: ServerRecord) -> bool:
    """Returns whether a server must be emptied of its slices."""
    return record.draining or not view.is_in_service(record)


@dataclass(slots=True)
class _Piece:
    """Consecutive slices with the same epoch and weight that can be moved."""

    start: int
    count: int
    epoch: Epoch
    weight: float


class _MovePlan:
    """Moves planned so far, and the weight that each target has after them.

    A slice weighs 1 plus its measured load, in units of the mean slice load.
    """

    def __init__(
        self,
        *,
        view: View,
        pool: PoolId,
        loads: Mapping[Slice, float],
        incoming: Mapping[ServerId, int],
    ):
        self.pool = pool
        self.table: SliceTable = view.slices[pool]
        self.moves: list[Move] = []
        self.received: Counter[ServerId] = Counter()
        self._relative_loads = _scale_loads(loads)
        self._measured_slices = sorted(self._relative_loads)
        self.weights: dict[ServerId, float] = {}
        releasing = Counter()
        if self.table.count_state(SliceState.RELEASING):
            for run in self.table.list_runs(state=SliceState.RELEASING):
                releasing[run.owner] += run.count
        for record in list_targets(view, pool):
            owner = record.server
            held = self.table.count_held(owner) - releasing[owner]
            self.weights[owner] = held + incoming.get(owner, 0)
        for number, load in self._relative_loads.items():
            location = self.table.get(number)
            if location.state is SliceState.OWNED and location.owner in self.weights:
                self.weights[location.owner] += load

    def split(self, runs: list[SliceRun]) -> list[_Piece]:
        """Splits runs at measured slices; the heaviest slices come last."""
        pieces, heavy = [], []
        for run in runs:
            start, end = run.start, run.start + run.count
            first = bisect_left(self._measured_slices, start)
            for number in self._measured_slices[
                first : bisect_left(self._measured_slices, end)
            ]:
                if number > start:
                    pieces.append(_Piece(start, number - start, run.epoch, 1.0))
                heavy.append(
                    _Piece(number, 1, run.epoch, 1 + self._relative_loads[number])
                )
                start = number + 1
            if start < end:
                pieces.append(_Piece(start, end - start, run.epoch, 1.0))
        return pieces + sorted(heavy, key=lambda piece: piece.weight)

    def list_owned(self, owner: ServerId) -> list[_Piece]:
        """Returns the owned slices of a server, the heaviest last."""
        return self.split(self.table.list_runs(state=SliceState.OWNED, owner=owner))

    def move(
        self, piece: _Piece, count: int, source: ServerId, target: ServerId
    ) -> None:
        """Plans the move of the last slices of a piece and removes them from it."""
        piece.count -= count
        weight = count * piece.weight
        self.weights[target] += weight
        self.received[target] += count
        if source in self.weights:
            self.weights[source] -= weight
        self.moves.append(
            Move(
                pool=self.pool,
                start=Slice(piece.start + piece.count),
                count=count,
                epoch=piece.epoch,
                source=source,
                target=target,
            )
        )


def plan_moves(
    view: View,
    pool: PoolId,
    *,
    limit: int,
    max_per_target: int = SLICE_COUNT,
    loads: Mapping[Slice, float] | None = None,
    incoming: Mapping[ServerId, int] | None = None,
) -> list[Move]:
    """Plans one step of evacuating servers that must be emptied and of balancing.

    Args:
        view: The view.
        pool: A keyed pool.
        limit: Maximum number of slices that move in this step.
        max_per_target: Maximum number of slices that one server receives for balance.
        loads: Requests per second of measured slices. Without any, all slices weigh
            the same; otherwise a slice weighs 1 plus its load relative to the mean
            slice load.
        incoming: Slices that each server will receive from moves in progress.
    """
    plan = _MovePlan(view=view, pool=pool, loads=loads or {}, incoming=incoming or {})
    if not plan.weights or limit <= 0:
        return []
    limit -= _evacuate(plan, view, limit)
    if limit > 0 and _is_settled(view, pool, plan):
        tolerance = 1.0
        if loads:
            mean = sum(plan.weights.values()) / len(plan.weights)
            tolerance = max(1.0, LOAD_TOLERANCE * mean)
        _balance(plan, limit, max_per_target, tolerance)
    return plan.moves


def plan_unowned(
    view: View, pool: PoolId, *, incoming: Mapping[ServerId, int] | None = None
) -> list[Move]:
    """Assigns an owner to every unowned slice."""
    plan = _MovePlan(view=view, pool=pool, loads={}, incoming=incoming or {})
    if not plan.weights:
        return []
    pieces = plan.split(plan.table.list_runs(state=SliceState.UNOWNED))
    _distribute(plan, pieces, ServerId(""), limit=SLICE_COUNT, share=SLICE_COUNT)
    return plan.moves


def _evacuate(plan: _MovePlan, view: View, limit: int) -> int:
    moved = 0
    share = math.ceil(limit / len(plan.weights))
    for owner in plan.table.list_owners():
        if moved >= limit:
            break
        record = view.servers.get(owner)
        if record is None or owner in plan.weights or not must_evacuate(view, record):
            continue
        pieces = plan.list_owned(owner)
        moved += _distribute(plan, pieces, owner, limit=limit - moved, share=share)
    return moved


def _distribute(
    plan: _MovePlan, pieces: list[_Piece], source: ServerId, *, limit: int, share: int
) -> int:
    # Returns the number of moved slices. No target gets more than `share` in a row.
    total = sum(plan.weights.values())
    total += sum(piece.count * piece.weight for piece in pieces)
    quota = total / len(plan.weights)
    heap = [(weight, target) for target, weight in plan.weights.items()]
    heapq.heapify(heap)
    moved = 0
    while pieces and moved < limit:
        piece = pieces[-1]
        weight, target = heapq.heappop(heap)
        max_count = min(
            share, limit - moved, max(1, int((quota - weight) / piece.weight))
        )
        count = min(piece.count, max_count)
        plan.move(piece, count, source, target)
        moved += count
        if not piece.count:
            pieces.pop()
        heapq.heappush(heap, (plan.weights[target], target))
    return moved


def _is_settled(view: View, pool: PoolId, plan: _MovePlan) -> bool:
    # A server whose gate is changing hosts keeps its slices and is a target again
    # within one lease. Balancing without it would move slices twice.
    for record in view.servers.values():
        if record.pool != pool or record.server in plan.weights:
            continue
        if not must_evacuate(view, record):
            return False
    return True


def _balance(
    plan: _MovePlan, limit: int, max_per_target: int, tolerance: float
) -> None:
    mean = sum(plan.weights.values()) / len(plan.weights)
    held: dict[ServerId, list] = {}
    blocked: set[ServerId] = set()
    while limit > 0:
        targets = [name for name in plan.weights if name not in blocked]
        if not targets:
            return
        target = min(targets, key=lambda name: (plan.weights[name], name))
        source = max(plan.weights, key=lambda name: (plan.weights[name], name))
        deficit = mean - plan.weights[target]
        surplus = plan.weights[source] - mean
        gap = plan.weights[source] - plan.weights[target]
        if deficit <= 0 or max(deficit, surplus) < tolerance or gap < 2:
            return
        if source not in held:
            held[source] = plan.list_owned(source)
        max_count = min(limit, max_per_target - plan.received[target])
        count = _move_heaviest(
            plan, held[source], source, target, max_count, min(deficit, surplus)
        )
        limit -= count
        if not count or plan.received[target] >= max_per_target:
            blocked.add(target)


def _move_heaviest(
    plan: _MovePlan,
    pieces: list[_Piece],
    source: ServerId,
    target: ServerId,
    max_count: int,
    weight: float,
) -> int:
    # Moves the heaviest slices that fit into `weight` and returns their number. One
    # slice of weight 1 moves even if `weight` is smaller, as the larger of the two
    # weights decreases.
    moved = 0
    left = max(weight, 1.0)
    for piece in reversed(pieces):
        count = min(piece.count, max_count - moved, int(left / piece.weight))
        if count < 1:
            continue
        plan.move(piece, count, source, target)
        left -= count * piece.weight
        moved += count
    return moved


def _scale_loads(loads: Mapping[Slice, float]) -> dict[Slice, float]:
    total = sum(loads.values())
    if total <= 0:
        return {}
    return {number: load * SLICE_COUNT / total for number, load in loads.items()}


def plan_keys(
    view: View,
    pool: PoolId,
    *,
    loads: Mapping[Slice, float],
    key_rates: Mapping[int, float],
    limit: int,
) -> list[KeyMove]:
    """Plans ownership overrides for hot keys, which move without their slice.

    Args:
        view: The view.
        pool: A keyed pool.
        loads: Requests per second of measured slices, including their hot keys.
        key_rates: Requests per second of measured keys, by key hash.
        limit: Maximum number of keys that move in this step.
    """
    table = view.slices[pool]
    rates = {record.server: 0.0 for record in list_targets(view, pool)}
    if len(rates) < 2:
        return []
    key_rates_by_slice = Counter()
    for key_hash, rate in key_rates.items():
        override = table.overrides.get(key_hash)
        if override is None:
            key_rates_by_slice[find_slice(key_hash)] += rate
        elif override.owner in rates:
            rates[override.owner] += rate
    for number in {*loads, *key_rates_by_slice}:
        owner = table.get(number).owner
        if owner in rates:
            rates[owner] += max(loads.get(number, 0.0), key_rates_by_slice[number])
    threshold = HOT_KEY_SHARE * sum(rates.values()) / len(rates)
    moves = []
    for key_hash in sorted(key_rates, key=lambda key: (-key_rates[key], key)):
        rate = key_rates[key_hash]
        if rate <= threshold or len(moves) >= limit:
            break
        location = table.overrides.get(key_hash) or table.get(find_slice(key_hash))
        if location.state is not SliceState.OWNED or location.owner not in rates:
            continue
        target = min(rates, key=lambda name: (rates[name], name))
        if rates[target] + rate >= rates[location.owner]:
            continue
        rates[location.owner] -= rate
        rates[target] += rate
        moves.append(
            KeyMove(pool=pool, key_hash=key_hash, epoch=location.epoch, target=target)
        )
    return moves


class _GateCounts:
    """Number of gates of each usable host.

    The heaps assume that no count decreases after the first call of `choose_host`.
    """

    def __init__(self, *, view: View, hosts: Iterable[HostId]):
        self.hosts = select_hosts(view, hosts)
        self.counts = Counter(gate.host for gate in view.gates.values())
        self._heaps: dict[FailureDomain, list[tuple[int, HostId]]] = {}

    def compute_cost(self, host: HostId, record: ServerRecord) -> int:
        is_cross_domain = self.hosts[host].failure_domain != record.failure_domain
        return self.counts[host] + (CROSS_DOMAIN_PENALTY if is_cross_domain else 0)

    def choose_host(self, record: ServerRecord) -> HostId | None:
        if not self.hosts:
            return None
        if not self._heaps:
            self._build_heaps()
        # Within a failure domain, costs differ only by the number of gates.
        candidates = [self._find_least_loaded(heap) for heap in self._heaps.values()]
        return min(candidates, key=lambda host: (self.compute_cost(host, record), host))

    def _build_heaps(self) -> None:
        for host, record in self.hosts.items():
            heap = self._heaps.setdefault(record.failure_domain, [])
            heap.append((self.counts[host], host))
        for heap in self._heaps.values():
            heapq.heapify(heap)

    def _find_least_loaded(self, heap: list[tuple[int, HostId]]) -> HostId:
        while True:
            count, host = heap[0]
            if count == self.counts[host]:
                return host
            heapq.heapreplace(heap, (self.counts[host], host))


def plan_gates(
    view: View,
    live_hosts: Collection[HostId],
    *,
    servers: Mapping[ServerId, Epoch] | None = None,
) -> list[AppointGate]:
    """Assigns gates to hosts, balanced by number.

    A host in the server's own failure domain is preferred.

    Args:
        view: The view.
        live_hosts: Hosts with a session that are not about to leave.
        servers: Servers that need a gate, with the epoch of the gate that was
            released, or 0 for none. By default all servers without a gate.
    """
    if servers is None:
        servers = {name: 0 for name in view.servers if name not in view.gates}
    gates = _GateCounts(view=view, hosts=live_hosts)
    for server, replaces in servers.items():
        if replaces:
            gates.counts[view.gates[server].host] -= 1
    plan = []
    for server in sorted(servers):
        record = view.servers[server]
        host = gates.choose_host(record)
        if host is None:
            continue
        gates.counts[host] += 1
        plan.append(
            AppointGate(
                server=server,
                server_epoch=record.epoch,
                host=host,
                host_epoch=view.hosts[host].epoch,
                replaces=servers[server],
            )
        )
    return plan


def plan_gate_releases(
    view: View,
    live_hosts: Collection[HostId],
    *,
    leaving: Collection[HostId],
    limit: int,
) -> list[ReleaseGate]:
    """Chooses the gates that their hosts release, so that other hosts get them.

    Gates on hosts that are leaving or out of service come first. If there are none, one
    gate at a time moves to improve the balance.

    Args:
        view: The view.
        live_hosts: Hosts with a session.
        leaving: Hosts that are shutting down.
        limit: Maximum number of gates in transit between hosts.
    """
    gates = _GateCounts(view=view, hosts=set(live_hosts) - set(leaving))
    if not gates.hosts:
        return []
    releasing = sum(gate.releasing for gate in view.gates.values())
    evacuated = []
    for server in sorted(view.gates):
        gate = view.gates[server]
        if gate.releasing or gate.host in gates.hosts:
            continue
        if gate.host in live_hosts:
            evacuated.append(ReleaseGate(server=server, gate_epoch=gate.epoch))
    if evacuated or releasing:
        return evacuated[: max(0, limit - releasing)]
    best_gain, best = MIN_GATE_GAIN - 1, None
    least_costs: dict[FailureDomain, int] = {}
    for server in sorted(view.gates):
        gate, record = view.gates[server], view.servers[server]
        if gate.host not in gates.hosts:
            continue
        domain = record.failure_domain
        if domain not in least_costs:
            # The least cost depends only on the server's failure domain. Comparing
            # every gate with every host took 2 s for 1,300 hosts and 3,000 servers.
            least_costs[domain] = gates.compute_cost(gates.choose_host(record), record)
        gain = gates.compute_cost(gate.host, record) - 1 - least_costs[domain]
        if gain > best_gain:
            best_gain = gain
            best = ReleaseGate(server=server, gate_epoch=gate.epoch)
    return [best] if best else []


def select_hosts(view: View, hosts: Iterable[HostId]) -> dict[HostId, HostRecord]:
    """Returns the records of the hosts that are registered and in service."""
    selected = {}
    for host in sorted(hosts):
        record = view.hosts.get(host)
        if record is not None and view.is_in_service(record):
            selected[host] = record
    return selected
