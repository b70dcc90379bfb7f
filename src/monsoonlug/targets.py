"""Finds the gate that a request is sent to, and waits while there is none."""

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
from monsoonlug.server_selection import ServerSelector
from monsoonlug.view import View

OWNER_WAIT_TIMEOUT = 1.5  # seconds; after a failure a key has a new owner within 1 s


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """A gate and the ownership data that it was chosen by.

    Attributes:
        slice: Slice of the routing key, or -1 on a pooled route.
        key_hash: Hash of the routing key if the key has an override, or None.
        pool: Pool of the request in an announced fleet, or an empty string.
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
    """Finds the targets of requests in the view.

    Args:
        clock: Monotonic clock, in seconds.
        random: Source of the choice among the servers of a pool.

    Attributes:
        wait_timeout: Seconds that `wait` waits for a target at most.
    """

    def __init__(self, *, clock: Callable[[], float], random: Random):
        self._clock = clock
        self._random = random
        self._view = View()
        self._changed = asyncio.Event()
        self._selectors: dict[PoolId, ServerSelector] = {}
        self.wait_timeout = OWNER_WAIT_TIMEOUT

    def update(self, view: View) -> None:
        """Applies a new revision of the view."""
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
            selector = self._selectors.get(pool.name)
            if selector is None:
                selector = self._selectors[pool.name] = ServerSelector(
                    random=self._random
                )
            selector.set_servers(sorted(pools.get(pool.name, [])))
        self.wake_waiters()

    def wake_waiters(self) -> None:
        """Makes requests that wait for a target search again."""
        self._changed.set()
        self._changed = asyncio.Event()

    def find(
        self, admitted: AdmittedRequest, exclude: Collection[ServerId] = ()
    ) -> Target | None:
        """Returns the target of a request, or None if there is none at present.

        Args:
            admitted: The request.
            exclude: Servers of a pool to use only if there is no alternative.
        """
        if admitted.routing_key:
            return self._find_owner(admitted)
        selector = self._selectors.get(PoolId(admitted.route.pool))
        if selector is None:
            return None
        now = self._clock()
        server = selector.choose(now, exclude) or selector.choose(now)
        return None if server is None else self._build_target(server)

    def record_start(
        self, admitted: AdmittedRequest, target: Target, request_id: str
    ) -> None:
        """Records the start of an attempt on a pooled route."""
        selector = self._selectors.get(PoolId(admitted.route.pool))
        if selector is not None:
            selector.record_start(self._clock(), target.server, RequestId(request_id))

    def record_finish(
        self,
        admitted: AdmittedRequest,
        target: Target,
        request_id: str,
        outcome: Outcome,
    ) -> None:
        """Records the end of an attempt on a pooled route."""
        selector = self._selectors.get(PoolId(admitted.route.pool))
        if selector is not None:
            now = self._clock()
            selector.record_finish(now, target.server, RequestId(request_id), outcome)

    def record_wait(self, target: Target, wait: float) -> None:
        """Records the wait in seconds that a gate reported; does nothing by default."""

    def record_failure(self, target: Target, error: type[MonsoonlugError]) -> None:
        """Records the error of a failed attempt; does nothing by default."""

    def can_serve(self) -> bool:
        """Returns whether any request could reach a backend server."""
        return True

    def has_alternative(self, target: Target, tried: Collection[ServerId]) -> bool:
        """Returns whether another host, or another server, may run a failed request.

        Args:
            target: Target of the last attempt.
            tried: Servers to which the request was sent.
        """
        return True

    async def wait(
        self,
        admitted: AdmittedRequest,
        deadline: float,
        exclude: Collection[ServerId] = (),
    ) -> Target | None:
        """Waits for the target of a request and returns it.

        Args:
            admitted: The request.
            deadline: Time in seconds of the monotonic clock.
            exclude: Servers of a pool to use only if there is no alternative.

        Returns:
            The target, or None if there is none until the deadline or within
            `wait_timeout` seconds.
        """
        wait_deadline = min(deadline, self._clock() + self.wait_timeout)
        while True:
            target = self.find(admitted, exclude)
            remaining = wait_deadline - self._clock()
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
