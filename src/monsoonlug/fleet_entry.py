"""The daemon of an entry of a fleet that announces itself to control."""

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random

from aiohttp import web

from monsoonlug.backend import BackendProtocol
from monsoonlug.clocks import read_clock
from monsoonlug.daemons import DaemonService
from monsoonlug.delivery import DeliveryContext
from monsoonlug.exchanges import ExchangeTable, LocalPeer, Peer
from monsoonlug.failure_detector import CHECK_INTERVAL, FailureDetector
from monsoonlug.fleet import FleetView, ViewPart
from monsoonlug.fleet_messages import FleetServer, Ping, Pong
from monsoonlug.fleet_targets import FleetTargetFinder
from monsoonlug.gatehost import ClosingTimes, GateHost, LiveHost, list_gates
from monsoonlug.host_links import HostLinks, StreamPeer
from monsoonlug.ids import FailureDomain, HostId
from monsoonlug.ingress import CallerProtocol, Ingress
from monsoonlug.instruments import Instruments
from monsoonlug.items import PoolItem
from monsoonlug.links import Listener
from monsoonlug.logs import get_logger
from monsoonlug.settings import split_address
from monsoonlug.streams import MessageStream
from monsoonlug.subscription import ROLE, EntryIdentity, Subscription

BOOT_SIZE = 8  # bytes
LINGER_TIME = 10.0  # seconds; more than a host takes to stop
LEAVE_NOTICE = 2.6  # seconds; the balancer asks every second and goes by two answers
END_MARGIN = 0.7  # seconds of the grace time that are left for closing
POLL_INTERVAL = 0.020  # seconds between two checks while this host leaves
MAX_LINE = 16_384  # bytes of a request line or of one header
REVOKE_MARGIN = 0.5  # seconds by which a view is given up before keys may be withdrawn

logger = get_logger("entry")


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetEntrySettings:
    """Settings of one entry.

    Attributes:
        listen: Where callers' requests come in.
        readiness: Where the balancer asks whether this host is ready.
        readiness_path: What it asks for.
        stream: Where other hosts of the system connect.
        seeds: Stream addresses of control replicas to begin with.
        revoke_bound: Seconds after which a withdrawn key must not work anywhere.
        grace: Seconds from SIGTERM until the process is killed.
        metrics: Where counters and histograms are served, or None.
    """

    host: HostId
    failure_domain: FailureDomain
    listen: str
    readiness: str
    readiness_path: str
    stream: str
    seeds: tuple[str, ...]
    revoke_bound: float
    grace: float
    metrics: str | None = None


class FleetEntryService(DaemonService):
    """Runs one entry.

    Args:
        settings: Settings of the entry.
        caller_protocol: Headers of the callers.
        open_backend: Returns the protocol to a backend server.
    """

    def __init__(
        self,
        *,
        settings: FleetEntrySettings,
        caller_protocol: CallerProtocol,
        open_backend: Callable[[FleetServer, PoolItem], BackendProtocol],
    ):
        super().__init__(logger=logger)
        self._settings = settings
        self._caller_protocol = caller_protocol
        self._open_backend = open_backend
        self._runners: list[web.BaseRunner] = []
        self._known: dict[HostId, LiveHost] = {}
        self._left: dict[HostId, float] = {}
        self._exchanges = ExchangeTable()
        self._instruments = Instruments()

    async def on_start(self) -> None:
        """Starts to listen."""
        settings = self._settings
        random = Random()
        self._subscription = Subscription(
            identity=EntryIdentity(
                host=settings.host,
                failure_domain=settings.failure_domain,
                stream=settings.stream,
                boot=secrets.token_hex(BOOT_SIZE),
            ),
            seeds=settings.seeds,
            clock=read_clock,
            random=random,
            on_view=self._take_view,
            on_hosts=self._take_hosts,
            on_cold=lambda server, seconds: self._gates.set_cold(server, seconds),
            on_tokens=lambda: self._ingress.notify_token_waiters(),
            collect_loads=self._collect,
        )
        self._closings = ClosingTimes()
        self._gates = GateHost(
            clock=read_clock,
            closings=self._closings,
            open_backend=self._open_backend,
        )
        self._watch = FailureDetector(
            clock=read_clock,
            list_active_hosts=self._exchanges.list_active_hosts,
            send=self._send,
        )
        self._finder = FleetTargetFinder(
            clock=read_clock,
            random=random,
            host=settings.host,
            failure_domain=settings.failure_domain,
            is_reachable=self._is_reachable,
            blocks=self._subscription.blocks,
            closings=self._closings,
        )
        delivery_context = DeliveryContext(
            finder=self._finder,
            exchanges=self._exchanges,
            records=None,
            clock=read_clock,
        )
        self._ingress = Ingress(
            protocol=self._caller_protocol,
            subscription=self._subscription,
            delivery_context=delivery_context,
            clock=read_clock,
            random=random,
            max_view_age=settings.revoke_bound - REVOKE_MARGIN,
            record=self._instruments.count_request,
        )
        self._neighbours = HostLinks(
            host=settings.host,
            role=ROLE,
            on_open=self._open_host,
            on_close=self._close_host,
            on_message=self._receive_answer,
            random=random,
        )
        self._add_own_peer()
        await self._listen()
        await self._start_metrics()
        self._spawn(self._subscription.run())
        self._spawn(self._run_watch())
        logger.info("Entry {} listens at {}.", settings.host, settings.listen)

    async def on_stop(self) -> None:
        """Ends what runs and stops to listen."""
        began = read_clock()
        logger.info("Entry {} is leaving.", self._settings.host)
        self._ingress.is_leaving = True
        self._subscription.is_leaving = True
        self._subscription.send_heartbeat_soon()
        await asyncio.sleep(LEAVE_NOTICE)
        until = began + self._settings.grace - END_MARGIN
        # Idle connections are closed at once, the others after their answers.
        for runner in self._runners:
            await runner.cleanup()
        self._ingress.is_closed = True
        while self._gates.running and read_clock() < until:
            await asyncio.sleep(POLL_INTERVAL)
        if self._ingress.running or self._gates.running:
            logger.warning(
                "Stops with {} requests of callers and {} at gates under way.",
                self._ingress.running,
                self._gates.running,
            )
        await self._cancel_tasks()
        self._neighbours.stop()
        await self._listener.stop()
        await self._instruments.stop()
        logger.info("Entry {} stopped.", self._settings.host)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Takes the seeds of changed settings."""
        self._subscription.set_seeds(seeds)

    async def _listen(self) -> None:
        settings = self._settings
        self._listener = Listener(
            address=settings.stream,
            role=ROLE,
            sender=settings.host,
            serve=self._serve_stream,
        )
        await self._listener.start()
        server = web.Server(
            self._ingress.handle,
            access_log=None,
            handler_cancellation=True,
            max_line_size=MAX_LINE,
            max_field_size=MAX_LINE,
        )
        app = web.Application()
        app.add_routes([web.get(settings.readiness_path, self._answer_readiness)])
        patience = max(0.0, settings.grace - LEAVE_NOTICE - END_MARGIN)
        self._runners = [
            web.ServerRunner(server, shutdown_timeout=patience),
            web.AppRunner(app, access_log=None),
        ]
        addresses = (settings.listen, settings.readiness)
        for runner, address in zip(self._runners, addresses, strict=True):
            await runner.setup()
            host, port = split_address(address)
            await web.TCPSite(runner, host, port, backlog=512).start()

    async def _start_metrics(self) -> None:
        watch = self._instruments.watch
        watch("running", "Requests of callers.", lambda: self._ingress.running)
        watch("at_servers", "Requests at servers.", lambda: self._gates.running)
        watch("queued", "Requests that wait at gates.", lambda: self._gates.queued)
        watch("view_age_seconds", "Age of the view.", self._subscription.get_view_age)
        watch(
            "view_revision",
            "Revision of the view.",
            lambda: self._subscription.view.revision,
        )
        if self._settings.metrics is not None:
            await self._instruments.start(self._settings.metrics)

    async def _answer_readiness(self, request: web.Request) -> web.Response:
        return web.Response(status=200 if self._ingress.is_ready() else 503)

    # Streams to other entries.

    def _add_own_peer(self) -> None:
        own = self._settings.host
        answers = LocalPeer(deliver=partial(self._receive_answer, own))
        requests = LocalPeer(deliver=partial(self._gates.receive, answers))
        self._exchanges.add_peer(own, requests)

    def _open_host(self, host: HostId, peer: Peer) -> None:
        self._exchanges.add_peer(host, peer)
        self._watch.add_host(host)

    def _close_host(self, host: HostId) -> None:
        self._exchanges.remove_peer(host)
        self._watch.remove_host(host)

    def _is_reachable(self, host: HostId) -> bool:
        return self._exchanges.has_peer(host) and not self._watch.is_unresponsive(host)

    def _send(self, host: HostId, message: object) -> bool:
        return self._neighbours.send(host, message)

    def _receive_answer(self, host: HostId, message: object) -> None:
        self._watch.record_frame(host)
        if not isinstance(message, Pong):
            self._exchanges.receive(host, message)

    async def _serve_stream(self, stream: MessageStream) -> None:
        peer = StreamPeer(stream=stream)
        try:
            async for message in stream.iterate():
                if isinstance(message, Ping):
                    peer.send(Pong(number=message.number))
                    continue
                self._gates.receive(peer, message)
        finally:
            self._gates.remove_peer(peer)

    # What control says.

    def _take_view(self, view: FleetView, changed: set[ViewPart]) -> None:
        if ViewPart.ITEMS in changed:
            self._ingress.update(view)
        if changed != {ViewPart.KEYS}:
            gates = list_gates(view)
            self._closings.update(read_clock(), view)
            self._finder.update_fleet(view, gates)
            self._gates.update(view, gates)
        self._finder.wake_waiters()

    def _take_hosts(self, hosts: list[LiveHost]) -> None:
        names = ", ".join(host.host for host in hosts)
        logger.info("Live entries are {}.", names)
        now = read_clock()
        live = {host.host: host for host in hosts}
        for host in set(self._known) - set(live):
            self._left.setdefault(host, now)
        self._known |= live
        for host in live:
            self._left.pop(host, None)
        self._fit_neighbours(now)
        self._finder.update_hosts(hosts)

    def _fit_neighbours(self, now: float) -> None:
        """Keeps streams to hosts that left for as long as answers may come."""
        for host, since in list(self._left.items()):
            if now - since > LINGER_TIME:
                del self._left[host]
                del self._known[host]
        self._neighbours.update(
            {host: item.stream for host, item in self._known.items()}
        )

    def _collect(self) -> tuple[list, list]:
        return self._ingress.collect_key_counts(), self._gates.list_server_loads()

    async def _run_watch(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            self._watch.check_hosts()
