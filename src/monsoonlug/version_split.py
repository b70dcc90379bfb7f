"""Chooses the software version that a request goes to during a rollout.

It responds to the share that control has set, to the age of the view and to whether the
request is a retry. How the requests of a version are spread over its gates is decided
elsewhere.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from random import Random

import xxhash

from monsoonlug.fleet import FleetView
from monsoonlug.fleet_messages import FleetServer
from monsoonlug.gatehost import GateId
from monsoonlug.ids import FailureDomain, PoolId
from monsoonlug.logs import get_logger
from monsoonlug.rollout_messages import Rollout
from monsoonlug.version_outcomes import is_rollout_target

# Seconds; control may have lowered the share since a view of this age was current.
MAX_VIEW_AGE = 1.0
# Load of the target servers in use, relative to their load when all requests go to the
# target version. A higher load could make a sound version fail; a lower one would hide
# faults that only show under load.
MAX_LOAD_RATIO = 1.1

logger = get_logger("subscription")


class VersionSplit:
    """Divides the requests of one pool between the versions of one rollout.

    Args:
        number: Number of the rollout.
        random: Source of the initial position, so that hosts do not all send their
            first request to the target version at the same time.
    """

    def __init__(self, *, number: int, random: Random):
        self.number = number
        self._credit = random.random()
        self._share = 0.0
        self._others: list[GateId] = []
        self._targets: list[GateId] = []
        self._targets_in_use: list[GateId] = []

    @property
    def targets(self) -> list[GateId]:
        """The gates of the target version."""
        return self._targets

    @property
    def targets_in_use(self) -> list[GateId]:
        """The gates of the target version that get requests at this share."""
        return self._targets_in_use

    def update(
        self, *, share: float, targets: Mapping[GateId, int], others: Iterable[GateId]
    ) -> None:
        """Sets the share and the gates.

        Args:
            share: Share of the requests that the target version gets, 0 to 1.
            targets: Gates of the target version, with the slots of their servers.
            others: Gates of the other versions.
        """
        self._share = share
        self._others = list(others)
        self._targets = self._order(targets)
        self._targets_in_use = self._choose_in_use(targets)

    def choose(self, *, is_retry: bool, is_stale: bool) -> list[GateId]:
        """Returns the gates that a request may go to; empty if there is none now.

        Args:
            is_retry: Whether an earlier attempt of the request failed.
            is_stale: Whether the view is too old to send to the target version.
        """
        if is_stale:
            return self._others
        # Control stops the old servers once all requests go to the target version, so
        # retries must not go back to them.
        if self._share >= 1:
            return self._targets or self._others
        # Without a gate of the old version, requests wait and choose again, and a
        # waiting request that chose several times would exceed the share.
        if is_retry or not self._others or not self._targets:
            return self._others
        # Smooth weighted round robin of two versions.
        self._credit += self._share
        if self._credit < 1:
            return self._others
        self._credit -= 1
        return self._targets_in_use

    def _order(self, targets: Iterable[GateId]) -> list[GateId]:
        """Returns gates in the order in which a rising share adds them.

        All hosts use the same order, so that the requests at a small share reach the
        same few servers. The failure domains take turns, as hosts prefer the gates of
        their own and would load few gates of one domain unevenly.
        """

        def rank(gate: GateId) -> int:
            return xxhash.xxh64_intdigest(f"{self.number}|{gate.name}".encode())

        positions: Counter[FailureDomain] = Counter()
        rows = []
        for gate in sorted(targets, key=rank):
            rows.append((positions[gate.failure_domain], rank(gate), gate))
            positions[gate.failure_domain] += 1
        return [gate for _, _, gate in sorted(rows)]

    def _choose_in_use(self, targets: Mapping[GateId, int]) -> list[GateId]:
        """Returns as few gates as have the capacity for the share."""
        if self._share >= 1:
            return self._targets
        total = sum(targets.values())
        chosen: list[GateId] = []
        slots = 0
        for gate in self._targets:
            if chosen and slots * MAX_LOAD_RATIO >= self._share * total:
                break
            chosen.append(gate)
            slots += targets[gate]
        return chosen


class VersionSplits:
    """The splits of all pools without keys that have a running rollout.

    Args:
        random: Source of the initial positions.
        get_view_age: Returns the seconds since the view was known to be current.
    """

    def __init__(self, *, random: Random, get_view_age: Callable[[], float]):
        self._random = random
        self._get_view_age = get_view_age
        self._splits: dict[PoolId, VersionSplit] = {}
        self._rollouts: dict[PoolId, Rollout] = {}
        self._stale_pools: set[PoolId] = set()

    def __len__(self) -> int:
        return len(self._splits)

    @property
    def stale_count(self) -> int:
        """Number of pools whose requests go to the old version, as the view is old."""
        return len(self._splits) if self._get_view_age() > MAX_VIEW_AGE else 0

    def update(
        self, view: FleetView, gates: Mapping[GateId, Sequence[FleetServer]]
    ) -> None:
        """Applies a changed view and its gates."""
        for pool, split in list(self._splits.items()):
            rollout = _find_running(view, pool)
            if rollout is not None and rollout.number == split.number:
                continue
            self._remove(view, pool)
        for pool in view.rollouts:
            rollout = _find_running(view, pool)
            if rollout is not None:
                self._update_split(view, rollout, gates)

    def select(
        self, pool: PoolId, gates: list[GateId], *, is_retry: bool
    ) -> list[GateId]:
        """Returns the gates that the next request of a pool may go to.

        Args:
            pool: The pool.
            gates: All gates of the pool.
            is_retry: Whether an earlier attempt of the request failed.
        """
        split = self._splits.get(pool)
        if split is None:
            return gates
        age = self._get_view_age()
        is_stale = age > MAX_VIEW_AGE
        if is_stale != (pool in self._stale_pools):
            self._record_staleness(pool, age, is_stale)
        return split.choose(is_retry=is_retry, is_stale=is_stale)

    def _update_split(
        self,
        view: FleetView,
        rollout: Rollout,
        gates: Mapping[GateId, Sequence[FleetServer]],
    ) -> None:
        targets: dict[GateId, int] = {}
        others: list[GateId] = []
        for gate, records in gates.items():
            if gate.pool != rollout.pool:
                continue
            if is_rollout_target(view, records[0]):
                targets[gate] = sum(record.slots for record in records)
                continue
            others.append(gate)
        split = self._splits.get(rollout.pool)
        if split is None:
            split = VersionSplit(number=rollout.number, random=self._random)
            self._splits[rollout.pool] = split
        split.update(share=rollout.share, targets=targets, others=others)
        previous = self._rollouts.get(rollout.pool)
        self._rollouts[rollout.pool] = rollout
        if rollout == previous:
            return
        logger.info(
            "Rollout {} of pool {} to version {} has a share of {:.3f}; requests of "
            "that share go to {} of {} gates of the version.",
            rollout.number,
            rollout.pool,
            rollout.version,
            rollout.share,
            len(split.targets_in_use),
            len(split.targets),
        )

    def _remove(self, view: FleetView, pool: PoolId) -> None:
        del self._splits[pool]
        self._stale_pools.discard(pool)
        rollout = self._rollouts.pop(pool)
        latest = view.rollouts.get(pool)
        is_same = latest is not None and latest.number == rollout.number
        logger.info(
            "Rollout {} of pool {} to version {} ended: {}.",
            rollout.number,
            pool,
            rollout.version,
            latest.state.value if is_same else "replaced",
        )

    def _record_staleness(self, pool: PoolId, age: float, is_stale: bool) -> None:
        if is_stale:
            self._stale_pools.add(pool)
            logger.warning(
                "The view is {:.2f} s old; requests of pool {}, which has a running "
                "rollout, go to the old version only.",
                age,
                pool,
            )
            return
        self._stale_pools.discard(pool)
        logger.info(
            "The view is current again; requests of pool {} go to both versions.", pool
        )


def _find_running(view: FleetView, pool: PoolId) -> Rollout | None:
    """Returns the running rollout of a pool without keys, or None."""
    return None if pool in view.tables else view.find_running_rollout(pool)
