"""The ports of a process that clients reach, and what all of them share."""

import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from aiohttp import web

from monsoonlug.client_connections import BoundedAppRunner, BoundedServer, ClientPort
from monsoonlug.connection_limits import ClientLimits, CloseReason, ConnectionTable
from monsoonlug.host_limits import SMALL_PORT_BACKLOG, HostLimits
from monsoonlug.links import StreamLimits, limit_receive_buffers
from monsoonlug.logs import get_logger
from monsoonlug.lookup import DEFAULT_LIMITS
from monsoonlug.memory_budget import MemoryBudget
from monsoonlug.prometheus_metrics import PrometheusMetrics
from monsoonlug.settings import split_address

LOG_INTERVAL = 5.0  # seconds between two log lines on the same port and reason
BODY_GRACE = 10.0  # seconds for any body on a port without request deadlines
# Seconds. Metrics may be read once a minute, on one connection.
SMALL_PORT_IDLE_TIMEOUT = 75.0

logger = get_logger("clients")


class RefusalLog:
    """Counts closed connections and refused requests, and logs them at a bounded rate.

    Args:
        clock: Monotonic clock, in seconds.
        metrics: Metrics of the process.
    """

    def __init__(self, *, clock: Callable[[], float], metrics: PrometheusMetrics):
        self._clock = clock
        self._metrics = metrics
        self.total = 0
        self._logged_at: dict[tuple[str, str], float] = {}
        self._counts: dict[tuple[str, str], int] = {}

    def record(self, port: str, reason: str) -> None:
        """Counts one connection or request."""
        self.total += 1
        self._metrics.count_client_refusal(port, reason)
        key = (port, reason)
        count = self._counts.get(key, 0) + 1
        now = self._clock()
        logged_at = self._logged_at.get(key)
        if logged_at is not None and now - logged_at < LOG_INTERVAL:
            self._counts[key] = count
            return
        self._logged_at[key] = now
        self._counts[key] = 0
        logger.bind(port=port, reason=reason, count=count).warning(
            "Closed connections or refused requests of clients."
        )


class ClientPorts:
    """Servers with bounded connections, and the memory budget of the process.

    Args:
        limits: Limits of the host.
        metrics: Metrics of the process.
        clock: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        *,
        limits: HostLimits,
        metrics: PrometheusMetrics,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.limits = limits
        self.budget = MemoryBudget(limit=limits.get_budget_bytes())
        self._clock = clock
        self._metrics = metrics
        self._refusals = RefusalLog(clock=clock, metrics=metrics)
        self._tables: list[ConnectionTable] = []
        self._metrics_runner: web.AppRunner | None = None
        metrics.add_gauge(
            "held_bytes",
            "Bytes held for clients and servers.",
            lambda: self.budget.used,
        )
        metrics.add_gauge(
            "held_bytes_limit", "Size of the memory budget.", lambda: self.budget.limit
        )
        metrics.add_gauge(
            "memory_refusals",
            "Holders without room that were the largest, or evicted for a smaller one.",
            lambda: self.budget.refusals + self.budget.evictions,
        )

    def build_server(
        self, name: str, handler, *, get_limits: Callable[[], ClientLimits], **options
    ) -> web.Server:
        """Returns a server for requests that have deadlines of their own.

        Args:
            name: Name of the port in metrics and logs.
            handler: Handles a request.
            get_limits: Returns the present limits.
            **options: Options of `web.Server`.
        """
        # A delivery keeps bodies up to this size, to send them again.
        port = self._add_port(
            name, self.limits.get_client_connections(), get_limits, kept=65_536
        )
        return BoundedServer(handler, port=port, access_log=None, **options)

    def build_small_runner(self, name: str, app: web.Application) -> web.AppRunner:
        """Returns the runner of an application that reads no bodies.

        Args:
            name: Name of the port in metrics and logs.
            app: The application.
        """
        connections = self.limits.get_small_port_connections()
        port = self._add_port(name, connections, _get_small_port_limits, kept=0)
        return BoundedAppRunner(app, port=port, lingering_time=0)

    @property
    def refusals(self) -> int:
        """Closed connections and refused requests of clients since the start."""
        return self._refusals.total

    def build_runner(
        self, name: str, app: web.Application, *, max_connections: int
    ) -> web.AppRunner:
        """Returns the runner of an application that reads whole bodies.

        Args:
            name: Name of the port in metrics and logs.
            app: The application.
            max_connections: Number of connections that may be open.
        """
        port = self._add_port(
            name,
            max_connections,
            _get_default_limits,
            kept=app._client_max_size,
        )
        return BoundedAppRunner(app, port=port)

    def close_expired(self) -> None:
        """Closes the connections of all ports that exceed a time limit."""
        for table in self._tables:
            table.close_expired()

    def build_stream_limits(self) -> StreamLimits:
        """Returns the limits of the streams that other processes open."""
        return StreamLimits(
            max_streams=self.limits.get_streams(),
            budget=self.budget,
            record=partial(self._refusals.record, "streams"),
            receive_buffer=self.limits.get_receive_buffer(),
        )

    async def start_site(
        self, runner: web.BaseRunner, address: str, *, is_small: bool = False
    ) -> web.TCPSite:
        """Listens on an address; the kernel holds few bytes for each connection.

        Args:
            runner: Serves the connections.
            address: Address and port.
            is_small: Whether only a few clients use the port.

        Raises:
            OSError: If the address is not available.
        """
        host, port = split_address(address)
        backlog = SMALL_PORT_BACKLOG if is_small else self.limits.get_backlog()
        site = web.TCPSite(runner, host, port, backlog=backlog)
        await site.start()
        limit_receive_buffers(site._server, self.limits.get_client_receive_buffer())
        return site

    async def start_metrics(self, address: str) -> None:
        """Starts serving the metrics of the process.

        Raises:
            OSError: If the address is not available.
        """
        runner = self.build_small_runner("metrics", self._metrics.build_app())
        await runner.setup()
        self._metrics_runner = runner
        await self.start_site(runner, address, is_small=True)

    async def stop_metrics(self) -> None:
        """Stops serving the metrics."""
        if self._metrics_runner is not None:
            await self._metrics_runner.cleanup()

    def _add_port(
        self,
        name: str,
        max_connections: int,
        get_limits: Callable[[], ClientLimits],
        *,
        kept: int,
    ) -> ClientPort:
        table = ConnectionTable(
            clock=self._clock, max_connections=max_connections, get_limits=get_limits
        )
        self._tables.append(table)
        self._metrics.add_gauge(
            f"{name}_connections", f"Open connections: {name}.", lambda: len(table)
        )

        def record(reason: CloseReason) -> None:
            self._refusals.record(name, reason.value)

        return ClientPort(
            table=table,
            budget=self.budget,
            get_limits=get_limits,
            record=record,
            kept_body_bytes=kept,
        )


_DEFAULT_CLIENT_LIMITS = ClientLimits(
    head_bytes=DEFAULT_LIMITS.header_bytes,
    head_timeout=DEFAULT_LIMITS.header_timeout,
    idle_timeout=DEFAULT_LIMITS.idle_timeout,
    body_grace=BODY_GRACE,
)
_SMALL_PORT_LIMITS = replace(
    _DEFAULT_CLIENT_LIMITS, idle_timeout=SMALL_PORT_IDLE_TIMEOUT
)


def _get_default_limits() -> ClientLimits:
    return _DEFAULT_CLIENT_LIMITS


def _get_small_port_limits() -> ClientLimits:
    return _SMALL_PORT_LIMITS
