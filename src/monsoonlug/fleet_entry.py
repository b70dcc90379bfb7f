"""Daemon of an entry in an announced fleet.

An entry accepts callers' requests and runs the gates that send them to backend servers.
"""

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random

from aiohttp import web

from monsoonlug.backend import BackendProtocol
from monsoonlug.caller_buffers import CallerBuffers
from monsoonlug.client_ports import ClientPorts
from monsoonlug.clocks import read_clock
from monsoonlug.connection_limits import SWEEP_INTERVAL
from monsoonlug.crash_tracking import CrashTracker, RequestState, RequestVerdict
from monsoonlug.daemons import DaemonService
from monsoonlug.delivery import DeliveryContext
from monsoonlug.due_timers import DueTimer
from monsoonlug.exchanges import ExchangeTable, LocalPeer, Peer
from monsoonlug.failure_detector import CHECK_INTERVAL, FailureDetector
from monsoonlug.fleet import FleetView, ViewPart
from monsoonlug.fleet_messages import (
    FleetServer,
    GateReport,
    Ping,
    Pong,
    check_gate_report,
)
from monsoonlug.fleet_targets import FleetTargetFinder
from monsoonlug.gatehost import (
    EQUAL_WEIGHT,
    ClosingTimes,
    GateHost,
    KnownGates,
    LiveHost,
    list_gates,
)
from monsoonlug.host_limits import HostLimits
from monsoonlug.host_links import HostLinks, StreamPeer
from monsoonlug.host_weights import CapacityReporter
from monsoonlug.ids import FailureDomain, HostId, ServerId
from monsoonlug.ingress import CallerProtocol, Ingress, StopTimes
from monsoonlug.items import ItemKind, PoolItem
from monsoonlug.link_share import build_link_share
from monsoonlug.links import Listener
from monsoonlug.logs import get_logger
from monsoonlug.prometheus_metrics import PrometheusMetrics
from monsoonlug.response_sizes import ResponseSizes
from monsoonlug.streams import MessageStream
from monsoonlug.subscription import (
    ROLE,
    EntryIdentity,
    HeartbeatReports,
    Subscription,
)
from monsoonlug.version_outcomes import VersionOutcomes

BOOT_ID_BYTES = 8
DEPARTED_HOST_RETENTION = 10.0  # seconds; longer than a host takes to shut down
# Seconds. The load balancer asks every second and decides by two responses.
LEAVE_NOTICE = 2.6
SHUTDOWN_MARGIN = 0.7  # seconds of the grace period reserved for closing streams
# Seconds of the grace period reserved for answers to requests that are still running.
ANSWER_MARGIN = 0.15
# Seconds after SIGTERM in which requests are sent to servers that may work on them
# until the end of the grace period.
MAX_SEND_TIME = 3.0
PROBE_INTERVAL = 0.5  # seconds between two probes of a server
# Seconds without news from control after which notices may have been missed.
MAX_NEWS_AGE = 0.7
SILENCE_POLL_INTERVAL = 0.100  # seconds
DRAIN_POLL_INTERVAL = 0.020  # seconds
REPORT_POLL_INTERVAL = 0.100  # seconds between two checks for reports on rollouts
MAX_LINE_BYTES = 16_384  # in a request line or one header field
REVOCATION_MARGIN = 0.5  # seconds before the revocation bound at which a view expires

logger = get_logger("entry")


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetEntrySettings:
    """Settings of one entry.

    Attributes:
        listen: Address for callers' requests.
        readiness: Address of the readiness check of the load balancer.
        readiness_path: URL path of the readiness check.
        stream: Address for streams from other entries.
        seeds: Stream addresses of the control replicas to contact first.
        revocation_bound: Seconds after which no host may accept a withdrawn key.
        grace_period: Seconds from SIGTERM until the process is killed.
        metrics_address: Address that serves metrics, or None.
        host_limits: Limits of the host, and of what clients may hold.
    """

    host: HostId
    failure_domain: FailureDomain
    listen: str
    readiness: str
    readiness_path: str
    stream: str
    seeds: tuple[str, ...]
    revocation_bound: float
    grace_period: float
    metrics_address: str | None = None
    host_limits: HostLimits = HostLimits()


class FleetEntryService(DaemonService):
    """Runs one entry.

    Args:
        settings: Settings of the entry.
        caller_protocol: Reads the headers of callers' requests.
        open_backend: Returns the client of a backend server.
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
        self._known_hosts: dict[HostId, LiveHost] = {}
        self._capacity_reporter = CapacityReporter(
            host=settings.host, limits=settings.host_limits
        )
        self._departed_at: dict[HostId, float] = {}
        self._known_gates = KnownGates()
        self._exchanges = ExchangeTable(on_open=self._watch_host)
        self._metrics = PrometheusMetrics()
        self._ports = ClientPorts(limits=settings.host_limits, metrics=self._metrics)

    async def on_start(self) -> None:
        """Starts listening."""
        settings = self._settings
        random = Random()
        boot = secrets.token_hex(BOOT_ID_BYTES)
        self._subscription = Subscription(
            identity=EntryIdentity(
                host=settings.host,
                failure_domain=settings.failure_domain,
                stream=settings.stream,
                boot=boot,
            ),
            seeds=settings.seeds,
            clock=read_clock,
            random=random,
            on_view=self._handle_view,
            on_hosts=self._handle_hosts,
            on_cold=lambda server, seconds: self._gate_host.set_cold(server, seconds),
            on_limit=lambda *limit: self._gate_host.apply_request_limit(*limit),
            on_verdict=self._apply_verdict,
            on_tokens=lambda: self._ingress.notify_token_waiters(),
            collect_reports=self._collect_reports,
        )
        self._crash_tracker = CrashTracker()
        budget = self._ports.budget
        self._response_sizes = ResponseSizes()
        self._link = build_link_share(settings.host_limits.link_mbps)
        self._caller_buffers = CallerBuffers(
            budget=budget,
            sizes=self._response_sizes,
            link=self._link,
            read_clock=read_clock,
        )
        self._closing_times = ClosingTimes()
        self._outcomes = VersionOutcomes(
            host=settings.host,
            boot=boot,
            on_event=self._metrics.count_rollout_request,
        )
        self._gate_host = GateHost(
            clock=read_clock,
            closing_times=self._closing_times,
            open_backend=self._open_backend,
            random=random,
            on_notice=self._subscription.send_heartbeat_now,
            outcomes=self._outcomes,
            budget=budget,
            sizes=self._response_sizes,
            link=self._link,
            on_send=lambda: self._silence_timer.wake(
                self._gate_host.find_silence_due()
            ),
            is_informed=lambda: self._subscription.get_view_age() < MAX_NEWS_AGE,
            find_rank=lambda gate: self._finder.find_rank(gate),
        )
        self._failure_detector = FailureDetector(
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
            closing_times=self._closing_times,
            get_view_age=self._subscription.get_view_age,
            sizes=self._response_sizes,
            is_cold=self._gate_host.is_cold,
        )
        delivery_context = DeliveryContext(
            finder=self._finder,
            exchanges=self._exchanges,
            records=None,
            clock=read_clock,
            connect=lambda host: self._host_links.connect(host),
            crash_tracker=self._crash_tracker,
            on_crash=self._subscription.send_heartbeat_now,
            caller_buffers=self._caller_buffers,
        )
        self._ingress = Ingress(
            protocol=self._caller_protocol,
            subscription=self._subscription,
            delivery_context=delivery_context,
            clock=read_clock,
            random=random,
            max_view_age=settings.revocation_bound - REVOCATION_MARGIN,
            record=self._metrics.count_request,
        )
        self._host_links = HostLinks(
            host=settings.host,
            role=ROLE,
            on_open=self._open_host,
            on_close=self._close_host,
            on_message=self._receive_response,
            random=random,
            on_demand=True,
        )
        self._add_timers()
        self._add_own_peer()
        await self._listen()
        await self._start_metrics()
        self._spawn(self._subscription.run())
        self._spawn(self._run_periodically(PROBE_INTERVAL, self._probe_servers))
        self._spawn(self._run_periodically(SWEEP_INTERVAL, self._ports.close_expired))
        logger.info("Entry {} listens at {}.", settings.host, settings.listen)

    async def on_stop(self) -> None:
        """Drains the requests in flight and stops listening."""
        started_at = read_clock()
        logger.info(
            "Entry {} is shutting down and reports itself as unready.",
            self._settings.host,
        )
        self._ingress.is_leaving = True
        self._subscription.is_leaving = True
        self._subscription.send_heartbeat_now()
        await asyncio.sleep(LEAVE_NOTICE)
        grace_period = self._settings.grace_period
        killed_at = started_at + grace_period
        drain_until = killed_at - SHUTDOWN_MARGIN
        times = StopTimes(
            send_until=started_at + min(MAX_SEND_TIME, grace_period / 2),
            answer_until=killed_at - ANSWER_MARGIN,
        )
        self._ingress.close(times)
        call_later = asyncio.get_running_loop().call_later
        now = read_clock()
        call_later(times.send_until - now, self._ingress.stop_unsent)
        call_later(times.answer_until - now, self._ingress.stop_deliveries)
        # Closes idle connections at once and the others after their responses.
        for runner in self._runners:
            await runner.cleanup()
        while self._gate_host.is_busy and read_clock() < drain_until:
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
        if self._ingress.running or self._gate_host.running:
            logger.warning(
                "Shutting down with {} requests of callers and {} at gates unfinished.",
                self._ingress.running,
                self._gate_host.running,
            )
        await self._cancel_tasks()
        for timer in self._timers.values():
            timer.stop()
        self._host_links.stop()
        await self._listener.stop()
        await self._ports.stop_metrics()
        logger.info("Entry {} stopped.", self._settings.host)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replaces the seeds after the settings have changed."""
        self._subscription.set_seeds(seeds)

    def _add_timers(self) -> None:
        self._host_timer = DueTimer(
            clock=read_clock,
            interval=CHECK_INTERVAL,
            step=self._failure_detector.check_hosts,
            find_due=self._failure_detector.find_due,
        )
        self._silence_timer = DueTimer(
            clock=read_clock,
            interval=SILENCE_POLL_INTERVAL,
            step=self._gate_host.check_silent_servers,
            find_due=self._gate_host.find_silence_due,
        )
        self._report_timer = DueTimer(
            clock=read_clock,
            interval=REPORT_POLL_INTERVAL,
            step=self._send_reports,
            find_due=lambda: None if self._outcomes.is_idle else read_clock(),
        )
        self._timers = {
            "hosts": self._host_timer,
            "silence": self._silence_timer,
            "rollouts": self._report_timer,
        }
        self._metrics.add_counters(
            "timed_checks",
            "Checks of hosts and servers in use, and for reports on rollouts.",
            "check",
            lambda: {name: timer.calls for name, timer in self._timers.items()},
        )

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
            self._ingress.handle,
            get_limits=self._ingress.get_client_limits,
            handler_cancellation=True,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
        )
        app = web.Application()
        app.add_routes([web.get(settings.readiness_path, self._handle_readiness)])
        # `stop_deliveries` ends the requests that still run before.
        shutdown_timeout = max(0.0, settings.grace_period - LEAVE_NOTICE)
        self._runners = [
            web.ServerRunner(server, shutdown_timeout=shutdown_timeout),
            self._ports.build_small_runner("readiness", app),
        ]
        addresses = (settings.listen, settings.readiness)
        for runner, address in zip(self._runners, addresses, strict=True):
            await runner.setup()
            is_small = address == settings.readiness
            await self._ports.start_site(runner, address, is_small=is_small)

    async def _start_metrics(self) -> None:
        add_gauge = self._metrics.add_gauge
        add_gauge("running", "Requests of callers.", lambda: self._ingress.running)
        add_gauge("at_servers", "Requests at servers.", lambda: self._gate_host.running)
        add_gauge(
            "limited_servers",
            "Servers at gates that limit their requests.",
            lambda: self._gate_host.limited_servers,
        )
        add_gauge(
            "resting_servers",
            "Servers at gates that asked for rest.",
            lambda: self._gate_host.resting_servers,
        )
        add_gauge(
            "cold_servers",
            "Servers that are known to be in their cold start.",
            lambda: self._gate_host.cold_servers,
        )
        add_gauge(
            "isolated_pools",
            "Pools of which this host reaches no server.",
            lambda: self._gate_host.isolated_pools,
        )
        add_gauge(
            "unreachable_servers",
            "Servers that this host cannot connect to.",
            lambda: self._gate_host.unreachable_servers,
        )
        add_gauge(
            "blocked_requests",
            "Requests that crash servers and are blocked.",
            lambda: self._crash_tracker.count_blocked(read_clock()),
        )
        self._add_memory_gauges(add_gauge)
        self._add_overload_gauges(add_gauge)
        add_gauge("host_weight", "Weight of this host for gates.", self._get_weight)
        add_gauge(
            "served_gates",
            "Gates that this host serves.",
            lambda: self._gate_host.served_gates,
        )
        add_gauge(
            "queued", "Requests that wait at gates.", lambda: self._gate_host.queued
        )
        add_gauge(
            "stale_rollouts",
            "Pools in a rollout that use the old version only, as the view is old.",
            lambda: self._finder.stale_rollouts,
        )
        add_gauge(
            "view_age_seconds", "Age of the view.", self._subscription.get_view_age
        )
        add_gauge(
            "view_revision",
            "Revision of the view.",
            lambda: self._subscription.view.revision,
        )
        add_gauge(
            "busiest_server_utilization",
            "Largest share of slots in use of a server with many slots, at gates.",
            lambda: self._gate_host.busiest_utilization,
        )
        add_gauge(
            "mean_server_utilization",
            "Mean share of slots in use of the servers with many slots, at gates.",
            lambda: self._gate_host.mean_utilization,
        )
        add_gauge(
            "spilled_share",
            "Largest share of a pool's requests for other failure domains.",
            lambda: self._finder.spreader.max_spill,
        )
        self._metrics.add_counters(
            "gate_requests",
            "Requests that this entry sent to a gate of servers with many slots.",
            "gate",
            self._finder.spreader.count_sent,
        )
        self._metrics.add_counters(
            "server_choices",
            "Choices of a server with many slots at gates.",
            "result",
            self._gate_host.server_choice.count_results,
        )
        if self._settings.metrics_address is not None:
            await self._ports.start_metrics(self._settings.metrics_address)

    def _add_overload_gauges(self, add_gauge: Callable) -> None:
        counts = self._gate_host.overload_counts
        add_gauge(
            "late_starts",
            "Requests sent too late for their objective, at servers with many slots.",
            lambda: counts.late_starts,
        )
        add_gauge(
            "scheduled_returns",
            "Rejected requests that were told a time of their own to return.",
            lambda: counts.scheduled_returns,
        )
        add_gauge(
            "exhausted_returns",
            "Rejected requests for which no slot is expected before their deadline.",
            lambda: counts.exhausted_returns,
        )

    def _add_memory_gauges(self, add_gauge: Callable) -> None:
        room = self._gate_host.large_responses.room
        add_gauge(
            "held_response_bytes",
            "Bytes of large responses that are held for slow readers.",
            lambda: room.held + self._caller_buffers.held,
        )
        add_gauge(
            "expected_response_bytes",
            "Bytes that large responses hold or may still need at gates.",
            lambda: room.needed,
        )
        add_gauge(
            "waiting_for_memory",
            "Requests with large responses that wait at gates for memory.",
            lambda: room.waiting,
        )
        add_gauge(
            "refused_for_memory",
            "Requests with large responses that were refused for lack of memory.",
            lambda: room.refused,
        )
        if self._link is not None:
            add_gauge(
                "link_transfers",
                "Large responses that are awaited from servers or read.",
                lambda: self._link.open_transfers,
            )
            add_gauge(
                "refused_for_link",
                "Requests with large responses that were refused, as the link is busy.",
                lambda: room.refused_for_link,
            )
        add_gauge(
            "evicted_callers",
            "Callers of large responses that were disconnected for lack of memory.",
            lambda: self._caller_buffers.evicted,
        )

    async def _handle_readiness(self, request: web.Request) -> web.Response:
        return web.Response(status=200 if self._ingress.is_ready() else 503)

    # Streams to other entries.

    def _add_own_peer(self) -> None:
        own = self._settings.host
        responses = LocalPeer(deliver=partial(self._receive_response, own))
        requests = LocalPeer(deliver=partial(self._gate_host.receive, responses))
        self._exchanges.add_peer(own, requests)
        self._gate_host.add_peer(responses, own)

    def _open_host(self, host: HostId, peer: Peer) -> None:
        self._exchanges.add_peer(host, peer)
        self._failure_detector.add_host(host)

    def _close_host(self, host: HostId) -> None:
        self._exchanges.remove_peer(host)
        self._failure_detector.remove_host(host)
        self._finder.remove_reachability(host)

    def _watch_host(self, host: HostId) -> None:
        """Checks whether a host responds, while requests to it are open."""
        due = self._failure_detector.find_due(host)
        if due is not None:
            self._host_timer.wake(due)

    def _is_reachable(self, host: HostId) -> bool:
        if not self._exchanges.has_peer(host):
            return self._host_links.may_open(host)
        return not self._failure_detector.is_unresponsive(host)

    def _send(self, host: HostId, message: object) -> bool:
        return self._host_links.send(host, message)

    def _receive_response(self, host: HostId, message: object) -> None:
        is_back = self._failure_detector.is_unresponsive(host)
        self._failure_detector.record_frame(host)
        if is_back:
            self._watch_host(host)
        match message:
            case Pong():
                return
            case GateReport():
                check_gate_report(message)
                lost = self._finder.list_unreachable(host) | set(message.unreachable)
                self._finder.update_reachability(
                    host, message.isolated_pools, message.unreachable
                )
                self._gate_host.record_losses(lost)
                for server, born in message.leaving:
                    self._gate_host.record_leaving(ServerId(server), born)
            case _:
                self._exchanges.receive(host, message)

    async def _serve_stream(self, stream: MessageStream) -> None:
        peer = StreamPeer(stream=stream)
        self._gate_host.add_peer(peer, HostId(stream.peer))
        try:
            async for message in stream.iterate():
                if isinstance(message, Ping):
                    peer.send(Pong(number=message.number))
                    continue
                self._gate_host.receive(peer, message)
        finally:
            self._gate_host.remove_peer(peer)

    # Updates from control.

    def _handle_view(self, view: FleetView, changed: set[ViewPart]) -> None:
        if ViewPart.ITEMS in changed:
            self._ingress.update(view)
            routes = {item.name for item in view.items.iterate(ItemKind.ROUTE)}
            self._response_sizes.retain(routes)
        if changed != {ViewPart.KEYS}:
            gates = list_gates(view, self._known_gates)
            self._closing_times.update(read_clock(), view)
            self._finder.update_fleet(view, gates)
            self._gate_host.update(view, gates)
            if not self._outcomes.is_idle:
                self._report_timer.wake()
        self._finder.wake_waiters()

    def _handle_hosts(self, hosts: list[LiveHost]) -> None:
        names = ", ".join(host.host for host in hosts)
        logger.info("Live entries are {}.", names)
        now = read_clock()
        live = {host.host: host for host in hosts}
        for host in set(self._known_hosts) - set(live):
            self._departed_at.setdefault(host, now)
        self._known_hosts |= live
        for host in live:
            self._departed_at.pop(host, None)
        self._gate_host.update_hosts(self._known_hosts.values())
        self._update_host_links(now)
        self._finder.update_hosts(hosts)

    def _get_weight(self) -> float:
        own = self._known_hosts.get(self._settings.host)
        return own.weight if own is not None else EQUAL_WEIGHT

    def _update_host_links(self, now: float) -> None:
        """Closes streams to departed hosts once no responses can arrive any more."""
        for host, departed_at in list(self._departed_at.items()):
            if now - departed_at > DEPARTED_HOST_RETENTION:
                del self._departed_at[host]
                del self._known_hosts[host]
        self._host_links.update(
            {host: item.stream for host, item in self._known_hosts.items()}
        )

    def _collect_reports(self) -> HeartbeatReports:
        session = self._subscription.leader_session
        if self._capacity_reporter.find_due(session) is not None:
            self._report_timer.wake()
        outcomes = []
        for report in self._crash_tracker.list_reports(read_clock()):
            outcomes.append(
                [
                    report.fingerprint,
                    report.gate,
                    int(report.has_crashed),
                    round(report.age, 3),
                ]
            )
        return HeartbeatReports(
            loads=self._ingress.collect_key_counts(),
            servers=self._gate_host.list_server_loads(),
            limits=self._gate_host.list_request_limits(),
            outcomes=outcomes,
            notices=self._gate_host.list_server_notices(),
        )

    def _send_reports(self) -> None:
        now = read_clock()
        session = self._subscription.leader_session
        capacity = self._capacity_reporter.find_due(session)
        if capacity is not None and self._subscription.send_to_leader(capacity):
            self._capacity_reporter.record_sent(session)
        for report in self._outcomes.list_reports(now, session):
            if self._subscription.send_to_leader(report):
                self._outcomes.record_sent(now, session, report)

    def _apply_verdict(self, verdict: RequestVerdict) -> None:
        self._crash_tracker.apply_verdict(read_clock(), verdict)
        if verdict.state is RequestState.BLOCKED:
            logger.warning(
                "Request {} crashes backend servers and is blocked for {:.0f} s.",
                verdict.fingerprint,
                verdict.seconds,
            )

    async def _probe_servers(self) -> None:
        await self._gate_host.probe_servers(self._finder.is_own_gate)
