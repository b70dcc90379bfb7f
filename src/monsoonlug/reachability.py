"""Checks which backend servers this host can connect to.

A server is checked after a failed connection or an overdue response. While it cannot be
reached, it is checked again and again and gets no requests from this host.
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
        list_servers: Returns the servers that this host may send requests to.
        on_unreachable: Called after each check of a server that failed.
        on_reachable: Called when a checked server can be connected to.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        random: Random,
        connect: Callable[[ServerId, float], Awaitable[ConnectResult | None]],
        list_servers: Callable[[], Collection[ServerId]],
        on_unreachable: Callable[[ServerId, ConnectResult], None],
        on_reachable: Callable[[ServerId], None],
    ):
        self._clock = clock
        self._random = random
        self._connect = connect
        self._list_servers = list_servers
        self._on_unreachable = on_unreachable
        self._on_reachable = on_reachable
        self._checks: dict[ServerId, asyncio.Task] = {}
        self._silence_checked_at: dict[ServerId, float] = {}

    def check_silent(self, server: ServerId) -> None:
        """Checks a server whose responses are overdue, unless it was checked lately."""
        now = self._clock()
        checked_at = self._silence_checked_at.get(server, -math.inf)
        if now - checked_at > SILENCE_CHECK_INTERVAL:
            self._silence_checked_at[server] = now
            self.check(server)

    def check(self, server: ServerId) -> None:
        """Checks a server until it can be reached."""
        if server in self._checks:
            return
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

    def stop(self) -> None:
        """Ends all checks."""
        for task in self._checks.values():
            task.cancel()

    async def _run_checks(self, server: ServerId) -> None:
        unreachable_since = None
        while True:
            result = await self._connect(server, CHECK_TIMEOUT)
            if result in (ConnectResult.ACCEPTED, None):
                if unreachable_since is not None:
                    seconds = self._clock() - unreachable_since
                    logger.info(
                        "Server {} is reachable after {:.2f} s.", server, seconds
                    )
                self._on_reachable(server)
                return
            if unreachable_since is None:
                unreachable_since = self._clock()
                logger.warning("Server {} is not reachable: {}.", server, result.value)
            self._on_unreachable(server, result)
            await asyncio.sleep(CHECK_INTERVAL)
