"""The daemon of one entry host."""

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
from monsoonlug.daemons import DaemonService
from monsoonlug.delivery import DeliveryContext
from monsoonlug.deltas import ServerRecord
from monsoonlug.exceptions import BadRequest
from monsoonlug.exchanges import ExchangeTable, LocalPeer, Peer
from monsoonlug.front import Front
from monsoonlug.gatekeeper import GateKeeper
from monsoonlug.host_links import HostLinks, StreamPeer
from monsoonlug.http_backend import HttpBackend
from monsoonlug.ids import HostId, ServerId
from monsoonlug.links import Listener
from monsoonlug.logs import get_logger
from monsoonlug.messages import ReportAnswer, ReportAsk, ServerSeen
from monsoonlug.metrics import open_client
from monsoonlug.record_messages import RecordAck, RecordBeginResult
from monsoonlug.recordclient import RecordClient
from monsoonlug.recordkeeper import RecordKeeper
from monsoonlug.settings import EntrySettings, split_address
from monsoonlug.streams import MessageStream
from monsoonlug.targets import TargetFinder
from monsoonlug.tokens import TokenQueue
from monsoonlug.uplink import ROLE, Uplink
from monsoonlug.view import View

TICK = 0.050  # seconds between two checks of the gates
METRICS_INTERVAL = 1.0  # seconds
GATES_TIMEOUT = 10.0  # seconds that a leaving host waits for its gates to move
REQUESTS_TIMEOUT = 65.0  # seconds; more than the longest deadline of a route
POLL_INTERVAL = 0.020  # seconds between two checks while this host leaves
BOOT_SIZE = 8  # bytes

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
        self._runners: list[web.ServerRunner | web.AppRunner] = []

    async def on_start(self) -> None:
        """Starts to listen."""
        settings = self._settings
        clock = time.monotonic
        random = Random()
        self._metrics = open_client(settings.statsd, daemon=f"entry.{settings.host}")
        boot = secrets.token_hex(BOOT_SIZE)
        self._uplink = Uplink(
            settings=settings,
            boot=boot,
            clock=clock,
            random=random,
            on_view=self._take_view,
            on_tokens=self._take_tokens,
            on_ask=self._answer_report,
        )
        self._keeper = GateKeeper(
            host=self._host,
            clock=clock,
            find_lease_end=self._uplink.lease.valid_until,
            open_backend=self._open_backend,
            report=self._uplink.report,
        )
        self._record_keeper = RecordKeeper(
            host=self._host,
            boot=boot,
            clock=clock,
            find_lease_end=self._uplink.lease.valid_until,
            send=self._send,
            report=self._uplink.report,
        )
        self._records = RecordClient(clock=clock, send=self._send)
        self._exchanges = ExchangeTable()
        self._add_own_peer()
        self._neighbours = HostLinks(
            host=self._host,
            role=ROLE,
            on_open=self._open_host,
            on_close=self._close_host,
            on_message=self._receive_answer,
            random=random,
        )
        self._finder = TargetFinder(clock=clock, random=random)
        self._tokens = TokenQueue(uplink=self._uplink, clock=clock)
        delivery_context = DeliveryContext(
            finder=self._finder,
            exchanges=self._exchanges,
            records=self._records,
            clock=clock,
        )
        self._front = Front(
            host=self._host,
            uplink=self._uplink,
            tokens=self._tokens,
            delivery_context=delivery_context,
            clock=clock,
            random=random,
            metrics=self._metrics,
        )
        await self._listen()
        for coroutine in self._uplink.list_tasks():
            self._spawn(coroutine)
        self._spawn(self._tokens.run())
        self._spawn(self._tick())
        self._spawn(self._send_metrics())
        logger.info("Entry {} listens at {}.", self._host, settings.listen)

    async def on_stop(self) -> None:
        """Moves the gates away, ends what runs, and stops to listen."""
        logger.info("Entry {} is leaving.", self._host)
        self._front.is_leaving = True
        self._uplink.is_leaving = True
        self._uplink.beat()
        notice = asyncio.sleep(self._settings.leave_notice)
        await asyncio.gather(notice, self._wait_for_gates())
        await self._close_sites()
        await _wait_until(lambda: not self._front.running, REQUESTS_TIMEOUT)
        self._front.is_closed = True
        await self._keeper.stop()
        await self._cancel_tasks()
        self._neighbours.stop()
        await self._listener.stop()
        for runner in self._runners:
            await runner.cleanup()
        logger.info("Entry {} stopped.", self._host)

    async def _wait_for_gates(self) -> None:
        await _wait_until(lambda: not self._keeper.runners, GATES_TIMEOUT)

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
            self._front.handle, access_log=None, handler_cancellation=True
        )
        app = web.Application(client_max_size=MAX_ANNOUNCEMENT_BYTES)
        app.add_routes([web.post(ANNOUNCE_PATH, self._serve_announcement)])
        self._runners = [
            web.ServerRunner(server),
            web.AppRunner(app, access_log=None),
        ]
        addresses = (settings.listen, settings.announce)
        self._sites = []
        for runner, address in zip(self._runners, addresses, strict=True):
            await runner.setup()
            host, port = split_address(address)
            site = web.TCPSite(runner, host, port)
            await site.start()
            self._sites.append(site)

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
        return self._uplink.lease.is_valid(time.monotonic())

    def _add_own_peer(self) -> None:
        answers = LocalPeer(deliver=partial(self._receive_answer, self._host))
        self._own = LocalPeer(deliver=partial(self._receive_request, answers))
        self._exchanges.add_peer(self._host, self._own)

    def _send(self, host: HostId, message: object) -> bool:
        if host != self._host:
            return self._neighbours.send(host, message)
        self._own.send(message)
        return True

    def _open_host(self, host: HostId, peer: Peer) -> None:
        self._exchanges.add_peer(host, peer)
        self._record_keeper.open_host(host)

    def _close_host(self, host: HostId) -> None:
        self._exchanges.remove_peer(host)
        self._records.fail_host(host)

    def _receive_request(self, peer: Peer, message: object) -> None:
        if not self._record_keeper.receive(peer, message):
            self._keeper.receive(peer, message)

    def _receive_answer(self, host: HostId, message: object) -> None:
        match message:
            case RecordBeginResult():
                self._records.receive(message)
            case RecordAck():
                self._record_keeper.receive(self._own, message)
            case _:
                self._exchanges.receive(host, message)

    def _take_view(self, view: View) -> None:
        self._front.update(view)
        self._finder.update(view)
        self._neighbours.update(
            {host: record.stream for host, record in view.hosts.items()}
        )
        self._keeper.update(view)
        self._records.update(view)
        self._record_keeper.update(view)

    def _take_tokens(self) -> None:
        self._tokens.settle()
        self._keeper.tick()

    def _answer_report(self, ask: ReportAsk) -> ReportAnswer:
        report = self._front.burn.report(time.monotonic())
        return ReportAnswer(number=ask.number, host=self._host, report=report.to_json())

    def _refresh_spots(self) -> None:
        spots = self._front.spots
        if spots.refresh(time.monotonic()):
            # Hot keys are not reported, so none gets an override: a gate counts earlier
            # requests for the key under their slice, and would report the key as
            # released while one of them runs.
            self._uplink.hot_slices = spots.slice_rows

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK)
            self._refresh_spots()
            self._keeper.tick()
            self._record_keeper.tick()

    async def _serve_stream(self, stream: MessageStream) -> None:
        peer = StreamPeer(stream=stream)
        try:
            async for message in stream.iterate():
                self._receive_request(peer, message)
        finally:
            self._keeper.remove_peer(peer)

    async def _serve_announcement(self, request: web.Request) -> web.Response:
        try:
            announcement = HttpBackend.parse_announcement(await request.read())
        except BadRequest as error:
            document = {"code": error.code, "message": str(error)}
            return web.json_response(document, status=error.status)
        answer = self._keeper.announce(announcement)
        if answer is None or self._must_tell(announcement):
            self._uplink.report(_build_report(announcement))
        gate = self._find_gate(ServerId(announcement.server))
        if answer is None:
            answer = AnnouncementAnswer(gate=None, lease=0.0, grants_revision=-1)
        elif answer.lease <= 0:
            # The server must tell control through another host that it is alive.
            gate = None
        body = HttpBackend.build_announcement_answer(replace(answer, gate=gate))
        return web.Response(body=body, content_type="application/json")

    def _must_tell(self, announcement: Announcement) -> bool:
        record = self._uplink.view.servers.get(ServerId(announcement.server))
        is_draining = announcement.phase.value == "draining"
        return record is None or record.draining != is_draining

    def _find_gate(self, server: ServerId) -> GateAddress | None:
        gate = self._uplink.view.gates.get(server)
        if gate is None or gate.host not in self._uplink.view.hosts:
            return None
        host = self._uplink.view.hosts[gate.host]
        return GateAddress(address=host.announce, host=gate.host)

    async def _send_metrics(self) -> None:
        while True:
            await asyncio.sleep(METRICS_INTERVAL)
            metrics = self._metrics
            now = time.monotonic()
            metrics.gauge("running", self._front.running)
            metrics.gauge("gates", len(self._keeper.runners))
            metrics.gauge("view_fresh", int(self._uplink.lease.is_view_fresh(now)))
            metrics.gauge("lease_valid", int(self._uplink.lease.is_valid(now)))
            metrics.gauge("revision", self._uplink.view.revision)
            metrics.gauge("damaged_frames", self._listener.damaged_frames)
            drops = self._front.drops
            metrics.gauge("dropped_frames.late", drops.late)
            metrics.gauge("dropped_frames.mismatched", drops.mismatched)
            metrics.gauge("dropped_frames.duplicate", drops.duplicate)


def _build_report(announcement: Announcement) -> ServerSeen:
    return ServerSeen(
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
