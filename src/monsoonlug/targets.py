"""Finds the gate that a request goes to, and waits while there is none."""

import asyncio
from collections.abc import Callable, Collection
from dataclasses import dataclass
from random import Random

from monsoonlug.admission import AdmittedRequest
from monsoonlug.exceptions import MonsoonlugError
from monsoonlug.gate import Outcome
from monsoonlug.ids import (
    Epoch,
    HostId,
    PoolId,
    RequestId,
    Revision,
    ServerId,
    SliceState,
)
from monsoonlug.jobs import POOLED
from monsoonlug.routing import PoolRouter
from monsoonlug.view import View

OWNER_PATIENCE = 1.5  # seconds; a lost key is served again within 1 s


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """A gate, and the ownership that it was found by.

    Attributes:
        slice: Slice of the routing key, or -1 on a pooled route.
        key_hash: Hash of the routing key if the key has an override.
        pool: Pool of the request if its gate serves announced servers, or empty.
    """

    host: HostId
    server: ServerId
    gate_epoch: Epoch
    revision: Revision
    slice: int = POOLED
    slice_epoch: Epoch = Epoch(0)
    key_hash: int | None = None
    pool: str = ""


class TargetFinder:
    """Finds targets in the view.

    Args:
        clock: Monotonic clock, in seconds.
        random: Source of the choice among the servers of a pool.
    """

    def __init__(self, *, clock: Callable[[], float], random: Random):
        self._clock = clock
        self._random = random
        self._view = View()
        self._changed = asyncio.Event()
        self._routers: dict[PoolId, PoolRouter] = {}
        self.patience = OWNER_PATIENCE

    def update(self, view: View) -> None:
        """Takes a new revision of the view."""
        self._view = view
        pools: dict[PoolId, list[ServerId]] = {}
        for server, record in view.servers.items():
            gate = view.gates.get(server)
            if gate is None or gate.releasing or record.draining:
                continue
            if view.is_in_service(record):
                pools.setdefault(record.pool, []).append(server)
        for pool in view.catalogue.pools:
            if pool.keyed:
                continue
            router = self._routers.get(pool.name)
            if router is None:
                router = self._routers[pool.name] = PoolRouter(random=self._random)
            router.set_servers(sorted(pools.get(pool.name, [])))
        self.wake_waiting()

    def wake_waiting(self) -> None:
        """Lets requests that wait for a target look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    def find(
        self, admitted: AdmittedRequest, exclude: Collection[ServerId] = ()
    ) -> Target | None:
        """Returns the target of a request, or None if there is none now.

        Args:
            admitted: The request.
            exclude: Servers of a pool to use only if there is no other.
        """
        if admitted.routing_key:
            return self._find_owner(admitted)
        router = self._routers.get(PoolId(admitted.route.pool))
        if router is None:
            return None
        now = self._clock()
        server = router.choose(now, exclude) or router.choose(now)
        return None if server is None else self._build_target(server)

    def start(self, admitted: AdmittedRequest, target: Target, request_id: str) -> None:
        """Counts an attempt on a server of a pool."""
        router = self._routers.get(PoolId(admitted.route.pool))
        if router is not None:
            router.started(self._clock(), target.server, RequestId(request_id))

    def finish(
        self,
        admitted: AdmittedRequest,
        target: Target,
        request_id: str,
        outcome: Outcome,
    ) -> None:
        """Counts the end of an attempt on a server of a pool."""
        router = self._routers.get(PoolId(admitted.route.pool))
        if router is not None:
            now = self._clock()
            router.finished(now, target.server, RequestId(request_id), outcome)

    def note_wait(self, target: Target, wait: float) -> None:
        """Takes how many seconds a gate said that a new request would take."""

    def note_failure(self, target: Target, error: type[MonsoonlugError]) -> None:
        """Takes why an attempt failed."""

    async def wait(
        self,
        admitted: AdmittedRequest,
        deadline: float,
        exclude: Collection[ServerId] = (),
    ) -> Target | None:
        """Returns the target as soon as there is one.

        Args:
            admitted: The request.
            deadline: Seconds of the monotonic clock.
            exclude: Servers of a pool to use only if there is no other.

        Returns:
            The target, or None if there was none until the deadline or for
            `patience`.
        """
        until = min(deadline, self._clock() + self.patience)
        while True:
            target = self.find(admitted, exclude)
            remaining = until - self._clock()
            if target is not None or remaining <= 0:
                return target
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                return None

    def _find_owner(self, admitted: AdmittedRequest) -> Target | None:
        pool = PoolId(admitted.route.pool)
        if pool not in self._view.slices:
            return None
        location = self._view.locate(pool, admitted.routing_key)
        if location.state is not SliceState.OWNED:
            return None
        return self._build_target(
            location.owner,
            slice=location.slice,
            slice_epoch=location.epoch,
            key_hash=location.key_hash,
        )

    def _build_target(self, server: ServerId, **ownership) -> Target | None:
        gate = self._view.gates.get(server)
        if gate is None or gate.releasing:
            return None
        return Target(
            host=gate.host,
            server=server,
            gate_epoch=gate.epoch,
            revision=self._view.revision,
            **ownership,
        )
