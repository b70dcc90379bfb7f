"""Checks which backend servers this host can connect to.

A server is checked after a failed connection or an overdue response. While it cannot be
reached, it is checked again and again and gets no requests from this host. If no server
of a pool can be reached, the host is isolated from the pool: other hosts take over.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable, Collection
from random import Random

from monsoonlug.backend import ConnectResult
from monsoonlug.ids import PoolId, ServerId
from monsoonlug.logs import get_logger

CHECK_TIMEOUT = 0.25  # seconds until a server that accepts no connection is unreachable
CHECK_INTERVAL = 0.15  # seconds between two checks of an unreachable server
SILENCE_CHECK_INTERVAL = 1.0  # seconds between two checks of a silent server
ISOLATION_CHECK_INTERVAL = 0.5  # seconds between two checks of all servers in use
MIN_SILENCE = 0.1  # seconds without a response until the host may be isolated
ISOLATION_CHECK_SERVERS = 3  # of a pool, of which an isolated host reaches none
CRASH_CHECK_TIMEOUT = 0.1  # seconds; the host of an ended process refuses at once
CRASH_CHECK_SERVERS = 4  # others, of which one must be reachable

logger = get_logger("gate")


class ReachabilityMonitor:
    """Checks servers by opening connections to them.

    Args:
        clock: Monotonic clock, in seconds.
        random: Source of the choice of servers to check.
        connect: Returns the result of connecting to a server within a time-out in
            seconds, or None if the server has left.
        list_pools: Returns the servers that this host may send requests to, by pool.
        list_active: Returns the servers that it has lately sent requests to.
        on_unreachable: Called after each check of a server that failed.
        on_reachable: Called when a checked server can be connected to.
        on_change: Called after a change of `isolated_pools` or `unreachable`.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        random: Random,
        connect: Callable[[ServerId, float], Awaitable[ConnectResult | None]],
        list_pools: Callable[[], dict[PoolId, list[ServerId]]],
        list_active: Callable[[], Collection[ServerId]],
        on_unreachable: Callable[[ServerId, ConnectResult], None],
        on_reachable: Callable[[ServerId], None],
        on_change: Callable[[], None],
    ):
        self._clock = clock
        self._random = random
        self._connect = connect
        self._list_pools = list_pools
        self._list_active = list_active
        self._on_unreachable = on_unreachable
        self._on_reachable = on_reachable
        self._on_change = on_change
        self._isolated: set[PoolId] = set()
        self._unreachable: dict[ServerId, float] = {}
        self._last_contact_at: dict[PoolId, float] = {}
        self._isolation_checked_at: dict[PoolId, float] = {}
        self._isolation_checks: set[asyncio.Task] = set()
        self._checks: dict[ServerId, asyncio.Task] = {}
        self._silence_checked_at: dict[ServerId, float] = {}

    @property
    def isolated_pools(self) -> list[PoolId]:
        """The pools of which this host reaches no server."""
        return sorted(self._isolated)

    @property
    def unreachable(self) -> list[ServerId]:
        """The servers that are checked as the last connection to them failed."""
        return sorted(self._unreachable)

    def is_isolated(self, pool: PoolId) -> bool:
        """Returns whether this host reaches no server of a pool."""
        return pool in self._isolated

    def record_contact(self, pool: PoolId) -> None:
        """Records that a server of a pool sent something to this host."""
        self._last_contact_at[pool] = self._clock()

    def check_silent(self, pool: PoolId, server: ServerId) -> None:
        """Checks a server whose responses are overdue, unless it was checked lately."""
        now = self._clock()
        checked_at = self._silence_checked_at.get(server, -math.inf)
        if now - checked_at > SILENCE_CHECK_INTERVAL:
            self._silence_checked_at[server] = now
            self.check(pool, server)

    def check(self, pool: PoolId, server: ServerId) -> None:
        """Checks a server until it can be reached."""
        if server in self._checks:
            return
        self.check_isolation(pool)
        task = asyncio.create_task(self._run_checks(pool, server))
        self._checks[server] = task
        task.add_done_callback(lambda _: self._checks.pop(server, None))

    def check_isolation(self, pool: PoolId, silence: float = MIN_SILENCE) -> None:
        """Checks the servers of a pool that are in use, and some others, together.

        Args:
            pool: The pool.
            silence: Seconds without a response after which this is worth a check.
        """
        now = self._clock()
        if now - self._last_contact_at.get(pool, -math.inf) < silence:
            return
        checked_at = self._isolation_checked_at.get(pool, -math.inf)
        if now - checked_at < ISOLATION_CHECK_INTERVAL:
            return
        self._isolation_checked_at[pool] = now
        task = asyncio.create_task(self._run_isolation_check(pool))
        self._isolation_checks.add(task)
        task.add_done_callback(self._isolation_checks.discard)

    async def has_process_ended(self, server: ServerId) -> bool:
        """Returns whether the process of a server ended.

        A partition may refuse connections, too, so another server must be reachable.
        """
        result = await self._connect(server, CRASH_CHECK_TIMEOUT)
        if result is not ConnectResult.REFUSED:
            return False
        others = []
        for servers in self._list_pools().values():
            others += [item for item in servers if item != server]
        sample = self._random.sample(others, min(len(others), CRASH_CHECK_SERVERS))
        results = await asyncio.gather(
            *(self._connect(item, CRASH_CHECK_TIMEOUT) for item in sample)
        )
        return ConnectResult.ACCEPTED in results

    def stop(self) -> None:
        """Ends all checks."""
        for task in (*self._checks.values(), *self._isolation_checks):
            task.cancel()

    async def _run_checks(self, pool: PoolId, server: ServerId) -> None:
        if server in self._unreachable:
            await asyncio.sleep(CHECK_INTERVAL)
        while True:
            result = await self._connect_once(pool, server)
            if result in (ConnectResult.ACCEPTED, None):
                break
            self._mark_unreachable(server, result)
            self.check_isolation(pool)
            await asyncio.sleep(CHECK_INTERVAL)
        since = self._unreachable.pop(server, None)
        if since is not None:
            seconds = self._clock() - since
            logger.info("Server {} is reachable after {:.2f} s.", server, seconds)
            self._on_change()
        if self._unreachable.keys().isdisjoint(self._list_pools().get(pool, ())):
            self._end_isolation(pool)
        self._on_reachable(server)

    async def _connect_once(
        self, pool: PoolId, server: ServerId
    ) -> ConnectResult | None:
        result = await self._connect(server, CHECK_TIMEOUT)
        if result is ConnectResult.ACCEPTED:
            self.record_contact(pool)
            self._end_isolation(pool)
        return result

    def _mark_unreachable(self, server: ServerId, result: ConnectResult) -> None:
        if server not in self._unreachable:
            self._unreachable[server] = self._clock()
            logger.warning("Server {} is not reachable: {}.", server, result.value)
            self._on_change()
        self._on_unreachable(server, result)

    async def _run_isolation_check(self, pool: PoolId) -> None:
        started_at = self._clock()
        known = self._list_pools().get(pool, [])
        active = set(self._list_active()).intersection(known)
        others = sorted(set(known) - active)
        count = min(len(others), ISOLATION_CHECK_SERVERS)
        servers = sorted(active) + self._random.sample(others, count)
        results = await asyncio.gather(
            *(self._connect_once(pool, item) for item in servers)
        )
        failures = 0
        for server, result in zip(servers, results, strict=True):
            if result in (ConnectResult.ACCEPTED, None):
                continue
            failures += 1
            if server in active:
                self._mark_unreachable(server, result)
                self.check(pool, server)
        if self._last_contact_at.get(pool, -math.inf) >= started_at:
            return
        is_checked = not self._unreachable.keys().isdisjoint(known)
        if is_checked and failures >= min(ISOLATION_CHECK_SERVERS, len(known)):
            self._begin_isolation(pool)

    def _begin_isolation(self, pool: PoolId) -> None:
        if pool in self._isolated:
            return
        self._isolated.add(pool)
        logger.warning("This host reaches no backend server of pool {}.", pool)
        self._on_change()
        for other in self._list_pools():
            self.check_isolation(other)

    def _end_isolation(self, pool: PoolId) -> None:
        # Not after a response: connections may live on while none can be opened.
        if pool in self._isolated:
            self._isolated.discard(pool)
            logger.info("This host reaches backend servers of pool {} again.", pool)
            self._on_change()
