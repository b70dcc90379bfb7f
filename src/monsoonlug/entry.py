"""Daemon of an entry host: its front end, its gates and its links to other hosts."""

import asyncio
import secrets
import time
from dataclasses import replace
from functools import partial
from random import Random

from aiohttp import web

from monsoonlug.announcements import (
    ANNOUNCE_PATH,
    MAX_ANNOUNCEMENT_BYTES,
    Announcement,
    AnnouncementAnswer,
    GateAddress,
)
from monsoonlug.catalogue import Pool
from monsoonlug.client_ports import ClientPorts
from monsoonlug.connection_limits import SWEEP_INTERVAL, ClientLimits
from monsoonlug.control_client import ROLE, ControlClient
from monsoonlug.daemons import DaemonService
from monsoonlug.delivery import DeliveryContext
from monsoonlug.deltas import ServerRecord
from monsoonlug.exceptions import BadRequest
from monsoonlug.exchanges import ExchangeTable, LocalPeer, Peer
from monsoonlug.frontend import Frontend
from monsoonlug.gate_manager import GateManager
from monsoonlug.host_limits import MEGABYTE, HostLimits
from monsoonlug.host_links import HostLinks, StreamPeer
from monsoonlug.http_backend import HttpBackend
from monsoonlug.ids import HostId, ServerId
from monsoonlug.links import Listener
from monsoonlug.logs import get_logger
from monsoonlug.messages import ReportRequest, ReportResponse, ServerAnnounced
from monsoonlug.prometheus_metrics import PrometheusMetrics
from monsoonlug.record_manager import RecordManager
from monsoonlug.record_messages import RecordAck, RecordBeginResult
from monsoonlug.recordclient import RecordClient
from monsoonlug.request_bodies import read_body
from monsoonlug.settings import EntrySettings
from monsoonlug.statsd_metrics import open_statsd_client
from monsoonlug.streams import MessageStream
from monsoonlug.targets import TargetFinder
from monsoonlug.token_queue import TokenQueue
from monsoonlug.view import View

CHECK_INTERVAL = 0.050  # seconds between checks of the gates and record shards
METRICS_INTERVAL = 1.0  # seconds
GATE_RELEASE_TIMEOUT = 10.0  # seconds; a leaving host then stops with its gates
DRAIN_TIMEOUT = 65.0  # seconds; above the longest deadline of a route
POLL_INTERVAL = 0.020  # seconds between checks while this host is leaving
BOOT_ID_BYTES = 8
# Above the sum of the limits that admission has for the target and for the headers.
CLIENT_LIMITS = ClientLimits(head_bytes=32_768, head_timeout=10.0, idle_timeout=75.0)

logger = get_logger("entry")


class EntryService(DaemonService):
    """Runs one entry host.

    Args:
        settings: Settings of the host.
    """

    def __init__(self, *, settings: EntrySettings):
        super().__init__(logger=logger)
        self._settings = settings
        self._host = HostId(settings.host)
        self._web_runners: list[web.ServerRunner | web.AppRunner] = []
        memory = settings.memory_mb
        self._ports = ClientPorts(
            limits=HostLimits(
                memory_bytes=None if memory is None else memory * MEGABYTE,
                descriptors=settings.descriptors,
            ),
            metrics=PrometheusMetrics(),
        )

    async def on_start(self) -> None:
        """Creates the components, opens the listeners and starts background tasks."""
        settings = self._settings
        clock = time.monotonic
        random = Random()
        self._metrics = open_statsd_client(
            settings.statsd, daemon=f"entry.{settings.host}"
        )
        boot = secrets.token_hex(BOOT_ID_BYTES)
        self._control_client = ControlClient(
            settings=settings,
            boot=boot,
            clock=clock,
            random=random,
            on_view=self._apply_view,
            on_tokens=self._handle_tokens,
            on_report_request=self._build_report_response,
        )
        self._gate_manager = GateManager(
            host=self._host,
            clock=clock,
            find_lease_end=self._control_client.lease.valid_until,
            open_backend=self._open_backend,
            send_to_leader=self._control_client.send_to_leader,
        )
        self._record_manager = RecordManager(
            host=self._host,
            boot=boot,
            clock=clock,
            find_lease_end=self._control_client.lease.valid_until,
            send=self._send,
            send_to_leader=self._control_client.send_to_leader,
        )
        self._record_client = RecordClient(clock=clock, send=self._send)
        self._exchanges = ExchangeTable()
        self._add_local_peer()
        self._host_links = HostLinks(
            host=self._host,
            role=ROLE,
            on_open=self._open_host,
            on_close=self._close_host,
            on_message=self._receive_response,
            random=random,
        )
        self._target_finder = TargetFinder(clock=clock, random=random)
        self._token_queue = TokenQueue(control_client=self._control_client, clock=clock)
        delivery_context = DeliveryContext(
            finder=self._target_finder,
            exchanges=self._exchanges,
            records=self._record_client,
            clock=clock,
        )
        self._frontend = Frontend(
            host=self._host,
            control_client=self._control_client,
            token_queue=self._token_queue,
            delivery_context=delivery_context,
            clock=clock,
            random=random,
            metrics=self._metrics,
        )
        await self._listen()
        self._spawn(self._run_periodically(SWEEP_INTERVAL, self._ports.close_expired))
        for coroutine in self._control_client.list_tasks():
            self._spawn(coroutine)
        self._spawn(self._token_queue.run())
        self._spawn(self._tick())
        self._spawn(self._send_metrics())
        logger.info("Entry {} listens at {}.", self._host, settings.listen)

    async def on_stop(self) -> None:
        """Hands over the gates, finishes running requests and closes the listeners."""
        logger.info(
            "Entry {} is stopping; waiting until its gates have moved to other hosts.",
            self._host,
        )
        self._frontend.is_leaving = True
        self._control_client.is_leaving = True
        self._control_client.send_heartbeat_now()
        notice = asyncio.sleep(self._settings.leave_notice)
        await asyncio.gather(notice, self._wait_for_gates())
        await self._close_sites()
        await _wait_until(lambda: not self._frontend.running, DRAIN_TIMEOUT)
        self._frontend.is_closed = True
        await self._gate_manager.stop()
        await self._cancel_tasks()
        self._host_links.stop()
        await self._listener.stop()
        for runner in self._web_runners:
            await runner.cleanup()
        logger.info("Entry {} stopped.", self._host)

    async def _wait_for_gates(self) -> None:
        await _wait_until(lambda: not self._gate_manager.runners, GATE_RELEASE_TIMEOUT)

    async def _listen(self) -> None:
        settings = self._settings
        self._listener = Listener(
            address=settings.stream,
            role=ROLE,
            sender=settings.host,
            serve=self._serve_stream,
            limits=self._ports.build_stream_limits(),
        )
        await self._listener.start()
        server = self._ports.build_server(
            "caller",
            self._frontend.handle,
            get_limits=lambda: CLIENT_LIMITS,
            handler_cancellation=True,
        )
        app = web.Application(client_max_size=MAX_ANNOUNCEMENT_BYTES)
        app.add_routes([web.post(ANNOUNCE_PATH, self._serve_announcement)])
        self._web_runners = [
            web.ServerRunner(server),
            self._ports.build_runner(
                "announce", app, max_connections=self._ports.limits.get_streams()
            ),
        ]
        addresses = (settings.listen, settings.announce)
        self._sites = []
        for runner, address in zip(self._web_runners, addresses, strict=True):
            await runner.setup()
            self._sites.append(await self._ports.start_site(runner, address))

    async def _close_sites(self) -> None:
        for site in self._sites:
            await site.stop()

    def _open_backend(self, server: ServerRecord, pool: Pool) -> HttpBackend:
        return HttpBackend(
            server=server.server,
            address=server.address,
            connections=pool.limits.connections,
            may_send=self._may_send,
        )

    def _may_send(self) -> bool:
        return self._control_client.lease.is_valid(time.monotonic())

    def _add_local_peer(self) -> None:
        responses = LocalPeer(deliver=partial(self._receive_response, self._host))
        self._local_peer = LocalPeer(deliver=partial(self._receive_request, responses))
        self._exchanges.add_peer(self._host, self._local_peer)

    def _send(self, host: HostId, message: object) -> bool:
        if host != self._host:
            return self._host_links.send(host, message)
        self._local_peer.send(message)
        return True

    def _open_host(self, host: HostId, peer: Peer) -> None:
        self._exchanges.add_peer(host, peer)
        self._record_manager.resync_backup(host)

    def _close_host(self, host: HostId) -> None:
        self._exchanges.remove_peer(host)
        self._record_client.fail_host(host)

    def _receive_request(self, peer: Peer, message: object) -> None:
        if not self._record_manager.receive(peer, message):
            self._gate_manager.receive(peer, message)

    def _receive_response(self, host: HostId, message: object) -> None:
        match message:
            case RecordBeginResult():
                self._record_client.receive(message)
            case RecordAck():
                self._record_manager.receive(self._local_peer, message)
            case _:
                self._exchanges.receive(host, message)

    def _apply_view(self, view: View) -> None:
        self._frontend.update(view)
        self._target_finder.update(view)
        self._host_links.update(
            {host: record.stream for host, record in view.hosts.items()}
        )
        self._gate_manager.update(view)
        self._record_client.update(view)
        self._record_manager.update(view)

    def _handle_tokens(self) -> None:
        self._token_queue.resolve_waiting()
        self._gate_manager.tick()

    def _build_report_response(self, request: ReportRequest) -> ReportResponse:
        report = self._frontend.burn_counter.report(time.monotonic())
        return ReportResponse(
            number=request.number, host=self._host, report=report.to_json()
        )

    def _refresh_hot_spots(self) -> None:
        hot_spots = self._frontend.hot_spots
        if hot_spots.refresh(time.monotonic()):
            # Hot keys are not reported, so that no key gets an override. A gate counts
            # requests that were sent before the override under their slice, and would
            # report the key as released while one of them is running.
            self._control_client.hot_slices = hot_spots.slice_rows

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            self._refresh_hot_spots()
            self._gate_manager.tick()
            self._record_manager.tick()

    async def _serve_stream(self, stream: MessageStream) -> None:
        peer = StreamPeer(stream=stream)
        try:
            async for message in stream.iterate():
                self._receive_request(peer, message)
        finally:
            self._gate_manager.remove_peer(peer)

    async def _serve_announcement(self, request: web.Request) -> web.Response:
        try:
            body = await read_body(request, max_size=MAX_ANNOUNCEMENT_BYTES)
            announcement = HttpBackend.parse_announcement(body)
        except BadRequest as error:
            document = {"code": error.code, "message": str(error)}
            return web.json_response(document, status=error.status)
        answer = self._gate_manager.announce(announcement)
        if answer is None or self._differs_from_view(announcement):
            self._control_client.send_to_leader(_build_server_announced(announcement))
        gate = self._find_gate(ServerId(announcement.server))
        if answer is None:
            answer = AnnouncementAnswer(gate=None, lease=0.0, grants_revision=-1)
        elif answer.lease <= 0:
            # Without a gate, the server announces itself to another host, which tells
            # control that it is alive.
            gate = None
        body = HttpBackend.build_announcement_answer(replace(answer, gate=gate))
        return web.Response(body=body, content_type="application/json")

    def _differs_from_view(self, announcement: Announcement) -> bool:
        record = self._control_client.view.servers.get(ServerId(announcement.server))
        is_draining = announcement.phase.value == "draining"
        return record is None or record.draining != is_draining

    def _find_gate(self, server: ServerId) -> GateAddress | None:
        gate = self._control_client.view.gates.get(server)
        if gate is None or gate.host not in self._control_client.view.hosts:
            return None
        host = self._control_client.view.hosts[gate.host]
        return GateAddress(address=host.announce, host=gate.host)

    async def _send_metrics(self) -> None:
        while True:
            await asyncio.sleep(METRICS_INTERVAL)
            metrics = self._metrics
            now = time.monotonic()
            metrics.gauge("running", self._frontend.running)
            metrics.gauge("gates", len(self._gate_manager.runners))
            metrics.gauge(
                "view_fresh", int(self._control_client.lease.is_view_fresh(now))
            )
            metrics.gauge("lease_valid", int(self._control_client.lease.is_valid(now)))
            metrics.gauge("revision", self._control_client.view.revision)
            metrics.gauge("damaged_frames", self._listener.damaged_frames)
            metrics.gauge("held_bytes", self._ports.budget.used)
            metrics.gauge("client_refusals", self._ports.refusals)
            drops = self._frontend.drops
            metrics.gauge("dropped_frames.late", drops.late)
            metrics.gauge("dropped_frames.mismatched", drops.mismatched)
            metrics.gauge("dropped_frames.duplicate", drops.duplicate)


def _build_server_announced(announcement: Announcement) -> ServerAnnounced:
    return ServerAnnounced(
        server=announcement.server,
        pool=announcement.pool,
        address=announcement.address,
        failure_domain=announcement.failure_domain,
        boot=announcement.boot,
        phase=announcement.phase.value,
    )


async def _wait_until(is_done, timeout: float) -> None:
    """Waits until `is_done()` is true, or for `timeout` seconds."""
    loop = asyncio.get_running_loop()
    until = loop.time() + timeout
    while not is_done() and loop.time() < until:
        await asyncio.sleep(POLL_INTERVAL)
