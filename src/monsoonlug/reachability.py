"""Checks which backend servers this host can connect to.

A server is checked after a failed connection or an overdue response. While it cannot be
reached, it is checked again and again and gets no requests from this host. If no server
can be reached, the host is isolated: the gates of other hosts take over.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable, Collection
from random import Random

from monsoonlug.backend import ConnectResult
from monsoonlug.ids import ServerId
from monsoonlug.logs import get_logger

CHECK_TIMEOUT = 0.25  # seconds until a server that accepts no connection is unreachable
CHECK_INTERVAL = 0.15  # seconds between two checks of an unreachable server
SILENCE_CHECK_INTERVAL = 1.0  # seconds between two checks of a silent server
ISOLATION_CHECK_INTERVAL = 0.5  # seconds between two checks of all servers in use
MIN_SILENCE = 0.1  # seconds without a response until the host may be isolated
CRASH_CHECK_TIMEOUT = 0.1  # seconds; the host of an ended process refuses at once
CRASH_CHECK_SERVERS = 4  # others, of which one must be reachable
ISOLATION_CHECK_SERVERS = 3  # of which an isolated host reaches none

logger = get_logger("gate")


class ReachabilityMonitor:
    """Checks servers by opening connections to them.

    Args:
        clock: Monotonic clock, in seconds.
        random: Source of the choice of servers to check.
        connect: Returns the result of connecting to a server within a time-out in
            seconds, or None if the server has left.
        list_servers: Returns the servers that this host may send requests to.
        list_active: Returns those that it has lately sent requests to.
        on_unreachable: Called after each check of a server that failed.
        on_reachable: Called when a checked server can be connected to.
        on_change: Called after a change of `is_isolated` or `unreachable`.

    Attributes:
        is_isolated: Whether this host reaches no server.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        random: Random,
        connect: Callable[[ServerId, float], Awaitable[ConnectResult | None]],
        list_servers: Callable[[], Collection[ServerId]],
        list_active: Callable[[], Collection[ServerId]],
        on_unreachable: Callable[[ServerId, ConnectResult], None],
        on_reachable: Callable[[ServerId], None],
        on_change: Callable[[], None],
    ):
        self._clock = clock
        self._random = random
        self._connect = connect
        self._list_servers = list_servers
        self._list_active = list_active
        self._on_unreachable = on_unreachable
        self._on_reachable = on_reachable
        self._on_change = on_change
        self.is_isolated = False
        self._unreachable: dict[ServerId, float] = {}
        self._last_contact_at = -math.inf
        self._isolation_checked_at = -math.inf
        self._checks: dict[ServerId, asyncio.Task] = {}
        self._isolation_check: asyncio.Task | None = None
        self._silence_checked_at: dict[ServerId, float] = {}

    @property
    def unreachable(self) -> list[ServerId]:
        """The servers that are checked as the last connection to them failed."""
        return sorted(self._unreachable)

    def check_silent(self, server: ServerId) -> None:
        """Checks a server whose responses are overdue, unless it was checked lately."""
        now = self._clock()
        checked_at = self._silence_checked_at.get(server, -math.inf)
        if now - checked_at > SILENCE_CHECK_INTERVAL:
            self._silence_checked_at[server] = now
            self.check(server)

    def check_isolation(self, silence: float = MIN_SILENCE) -> None:
        """Checks the servers in use and some others, as all may be out of reach.

        Args:
            silence: Seconds without a response after which this is worth a check.
        """
        now = self._clock()
        if now - self._last_contact_at < silence:
            return
        if now - self._isolation_checked_at < ISOLATION_CHECK_INTERVAL:
            return
        self._isolation_checked_at = now
        self._isolation_check = asyncio.create_task(self._run_isolation_check())

    def check(self, server: ServerId) -> None:
        """Checks a server until it can be reached."""
        if server in self._checks:
            return
        self.check_isolation()
        task = asyncio.create_task(self._run_checks(server))
        self._checks[server] = task
        task.add_done_callback(lambda _: self._checks.pop(server, None))

    async def has_process_ended(self, server: ServerId) -> bool:
        """Returns whether the process of a server ended.

        A partition may refuse connections, too, so another server must be reachable.
        """
        result = await self._connect(server, CRASH_CHECK_TIMEOUT)
        if result is not ConnectResult.REFUSED:
            return False
        others = [item for item in self._list_servers() if item != server]
        sample = self._random.sample(others, min(len(others), CRASH_CHECK_SERVERS))
        results = await asyncio.gather(
            *(self._connect(item, CRASH_CHECK_TIMEOUT) for item in sample)
        )
        return ConnectResult.ACCEPTED in results

    def record_contact(self) -> None:
        """Records that a server sent something to this host."""
        self._last_contact_at = self._clock()

    def stop(self) -> None:
        """Ends all checks."""
        for task in self._checks.values():
            task.cancel()
        if self._isolation_check is not None:
            self._isolation_check.cancel()

    async def _run_checks(self, server: ServerId) -> None:
        if server in self._unreachable:
            await asyncio.sleep(CHECK_INTERVAL)
        while True:
            result = await self._connect_once(server)
            if result in (ConnectResult.ACCEPTED, None):
                break
            self._mark_unreachable(server, result)
            self.check_isolation()
            await asyncio.sleep(CHECK_INTERVAL)
        since = self._unreachable.pop(server, None)
        if since is not None:
            seconds = self._clock() - since
            logger.info("Server {} is reachable after {:.2f} s.", server, seconds)
            self._on_change()
        if not self._unreachable:
            self._end_isolation()
        self._on_reachable(server)

    async def _connect_once(self, server: ServerId) -> ConnectResult | None:
        result = await self._connect(server, CHECK_TIMEOUT)
        if result is ConnectResult.ACCEPTED:
            self.record_contact()
            self._end_isolation()
        return result

    def _mark_unreachable(self, server: ServerId, result: ConnectResult) -> None:
        if server not in self._unreachable:
            self._unreachable[server] = self._clock()
            logger.warning("Server {} is not reachable: {}.", server, result.value)
            self._on_change()
        self._on_unreachable(server, result)

    async def _run_isolation_check(self) -> None:
        started_at = self._clock()
        active = set(self._list_active())
        others = sorted(set(self._list_servers()) - active)
        count = min(len(others), ISOLATION_CHECK_SERVERS)
        servers = sorted(active) + self._random.sample(others, count)
        results = await asyncio.gather(*(self._connect_once(item) for item in servers))
        failures = 0
        for server, result in zip(servers, results, strict=True):
            if result in (ConnectResult.ACCEPTED, None):
                continue
            failures += 1
            if server in active:
                self._mark_unreachable(server, result)
                self.check(server)
        if self._last_contact_at >= started_at or not self._unreachable:
            return
        if failures >= min(ISOLATION_CHECK_SERVERS, len(self._list_servers())):
            self._begin_isolation()

    def _begin_isolation(self) -> None:
        if not self.is_isolated:
            self.is_isolated = True
            logger.warning("This host reaches no backend server.")
            self._on_change()

    def _end_isolation(self) -> None:
        # Not after a response: connections may live on while none can be opened.
        if self.is_isolated:
            self.is_isolated = False
            logger.info("This host reaches backend servers again.")
            self._on_change()
