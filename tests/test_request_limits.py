"""Tests of backend servers that limit the requests that they accept."""

import asyncio
import contextlib
import dataclasses

import msgpack

from monsoonlug import messages
from monsoonlug.clocks import read_clock
from monsoonlug.fleet import FleetView
from monsoonlug.fleet_messages import FleetHeartbeat, FleetServer, ServerLimited
from monsoonlug.gatehost import ClosingTimes, GateHost, build_gate_id
from monsoonlug.items import ItemKind, PoolItem
from monsoonlug.leases import FormerOwners
from monsoonlug.messages import RequestHead
from monsoonlug.platform.headers import open_backend
from monsoonlug.registrar import Registrar
from monsoonlug.request_limits import (
    SENDER_TIMEOUT,
    FleetLimits,
    LimitReport,
    RequestLimits,
)

SERVER = "s1"
LIMIT = 2.0  # requests per second
WINDOW = 4.0  # seconds
MAX_IN_WINDOW = 1.5 * LIMIT * WINDOW + 5  # requests; what a server tolerates
SECONDS = 6.0  # duration of the load
INTERVAL = 0.020  # seconds between two requests of the load
HEARTBEAT_INTERVAL = 0.4  # seconds between two heartbeats of an entry

POOL = PoolItem(
    name="desk",
    version=1,
    keyed=True,
    connections=10,
    cold_seconds=0.0,
    cold_rate=0.0,
    health_path="/health",
)


class LimitingServer:
    """Responds at once, names a limit, and records when requests arrive."""

    def __init__(self):
        self.limit = LIMIT
        self.arrivals = []

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                self.arrivals.append(read_clock())
                request_id = head.partition("x-monsoonlug-request-id: ")[2]
                request_id = request_id.partition("\r\n")[0]
                named = f"X-Monsoonlug-Server-Limit: {self.limit}\r\n"
                answer = (
                    f"HTTP/1.1 200 OK\r\nX-Monsoonlug-Request-Id: {request_id}\r\n"
                    f"{named if self.limit else ''}Content-Length: 0\r\n\r\n"
                )
                writer.write(answer.encode())
                await writer.drain()

    def count_most(self, since):
        """Returns the most arrivals in a window that begins after `since`."""
        times = [at for at in self.arrivals if at >= since]
        return max(sum(start <= at < start + WINDOW for at in times) for start in times)


class SilentPeer:
    """Takes the responses of a gate."""

    def send(self, message):
        pass


def build_gate_host(*ports):
    """Returns a gate host with a server at each port, the first one named SERVER."""
    gate_host = GateHost(
        clock=read_clock, closing_times=ClosingTimes(), open_backend=open_backend
    )
    view = FleetView()
    view.items._items[ItemKind.POOL, "desk"] = POOL
    for number, port in enumerate(ports):
        name = f"s{number + 1}"
        view.servers[name] = FleetServer(
            server=name,
            born=1,
            pool="desk",
            address=f"127.0.0.1:{port}",
            failure_domain="east",
            slots=2,
            draining=False,
        )
    records = view.servers.values()
    gate_host.update(view, {build_gate_id(record): [record] for record in records})
    return gate_host


def build_head(number):
    return RequestHead(
        stream=number,
        request=f"r{number}",
        server=SERVER,
        gate_epoch=1,
        revision=1,
        slice=7,
        slice_epoch=1,
        key_hash=None,
        route="lookup",
        workspace="lights",
        request_class=1,
        key_digest="",
        remaining=1.0,
        method="GET",
        target="/lookup",
        headers=[["X-Monsoonlug-Request-Id", f"r{number}"]],
        idempotency_key="",
        has_body=False,
        pool="desk",
        objective=0.5,
        idempotent=True,
    )


async def run_load(gate_host, seconds, interval=INTERVAL):
    peer = SilentPeer()
    until = read_clock() + seconds
    number = 0
    while read_clock() < until:
        number += 1
        gate_host.receive(peer, build_head(number))
        await asyncio.sleep(interval)


async def exchange_limits(registrar, gate_hosts):
    """Does for the limits what heartbeats and notices do; never returns."""
    while True:
        await asyncio.sleep(HEARTBEAT_INTERVAL)
        for name, gate_host in gate_hosts.items():
            for server, limit, age in gate_host.list_request_limits():
                report = LimitReport(server=server, limit=limit, age=age)
                registrar.limits.record(read_clock(), name, report)
        list(registrar.plan_commands(read_clock()))
        for notice in registrar.take_notices():
            assert isinstance(notice, ServerLimited)
            for gate_host in gate_hosts.values():
                gate_host.apply_request_limit(
                    notice.server, notice.limit, notice.senders
                )


async def test_limited_server_gets_no_more_requests_than_it_named():
    """Guards against a gate that ignores the request limit of a server in need."""
    limiting = LimitingServer()
    server = await asyncio.start_server(limiting.serve, "127.0.0.1", 0)
    gate_host = build_gate_host(server.sockets[0].getsockname()[1])
    started_at = read_clock()
    try:
        await run_load(gate_host, SECONDS)
    finally:
        await gate_host.stop()
        server.close()
    assert limiting.count_most(since=started_at + 0.5) <= MAX_IN_WINDOW
    # The limit is used, too.
    assert len(limiting.arrivals) >= LIMIT * SECONDS - 2


async def test_lost_request_does_not_lift_a_limit():
    """Guards against a host that lifts a limit without a response of the server.

    It learned the limit from control, and has no response of its own yet.
    """
    listener = await asyncio.start_server(lose_connection, "127.0.0.1", 0)
    gate_host = build_gate_host(listener.sockets[0].getsockname()[1])
    gate_host.apply_request_limit(SERVER, LIMIT, 1)
    try:
        gate_host.receive(SilentPeer(), build_head(1))
        while gate_host.running:
            await asyncio.sleep(INTERVAL)
    finally:
        await gate_host.stop()
        listener.close()
    assert gate_host.limited_servers == 1
    assert gate_host.list_request_limits() == []


async def lose_connection(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.close()


async def test_hosts_that_send_to_one_server_share_its_limit():
    """Guards against two entries that each use the whole limit of a server.

    Entries that cannot reach the host of a gate send to the next one, so a server may
    get requests from two hosts for a while.
    """
    limiting = LimitingServer()
    limiting.limit = 8.0
    server = await asyncio.start_server(limiting.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    gate_hosts = {name: build_gate_host(port) for name in ("h1", "h2")}
    registrar = Registrar(
        now=read_clock(),
        view=FleetView(),
        heartbeat_interval=0.9,
        former_owners=FormerOwners(),
    )
    exchange = asyncio.create_task(exchange_limits(registrar, gate_hosts))
    started_at = read_clock()
    try:
        loads = [run_load(gate_host, SECONDS) for gate_host in gate_hosts.values()]
        await asyncio.gather(*loads)
    finally:
        exchange.cancel()
        for gate_host in gate_hosts.values():
            await gate_host.stop()
        server.close()
    most = limiting.count_most(since=started_at + 0.5)
    assert most <= 1.5 * limiting.limit * WINDOW + 5
    # The hosts learn of each other within two heartbeats, so the excess ends.
    assert limiting.count_most(since=started_at + 1.5) <= limiting.limit * WINDOW + 5


class SharedLimits:
    """Control's table and those of two hosts, in virtual time."""

    def __init__(self):
        self.fleet = FleetLimits()
        self.hosts = {"h1": RequestLimits(), "h2": RequestLimits()}

    def exchange(self, now):
        for name, limits in self.hosts.items():
            for report in limits.list_reports(now):
                self.fleet.record(now, name, report)
        notices = list(self.fleet.take_changes(now))
        for server, limit, senders in notices:
            for limits in self.hosts.values():
                limits.apply_notice(server, limit, senders)
        return notices


def test_limit_is_divided_among_the_hosts_that_send():
    shared = SharedLimits()
    shared.hosts["h1"].record_response(0.0, SERVER, 6.0)
    shared.exchange(0.1)
    assert [limits.find(SERVER).rate for limits in shared.hosts.values()] == [6.0, 6.0]
    shared.hosts["h2"].record_response(0.3, SERVER, 6.0)
    shared.exchange(0.5)
    assert [limits.find(SERVER).rate for limits in shared.hosts.values()] == [3.0, 3.0]
    assert shared.exchange(0.6) == []
    # The other host no longer sends.
    now = 0.3 + SENDER_TIMEOUT + 0.1
    shared.hosts["h2"].record_response(now, SERVER, 6.0)
    shared.exchange(now)
    assert shared.hosts["h2"].find(SERVER).rate == 6.0


def test_older_report_does_not_restore_a_lifted_limit():
    """Guards against a limit that two hosts set and lift in turn."""
    shared = SharedLimits()
    shared.hosts["h1"].record_response(0.0, SERVER, 6.0)
    shared.hosts["h2"].record_response(0.1, SERVER, 6.0)
    shared.exchange(0.2)
    shared.hosts["h2"].record_response(0.3, SERVER, None)
    for number in range(20):
        shared.exchange(0.4 + 0.4 * number)
        assert shared.fleet.find(SERVER) is None
    assert not any(len(limits) for limits in shared.hosts.values())


def test_heartbeat_of_the_previous_version_is_read():
    """Guards against entries that control refuses while a new version is rolled out."""
    heartbeat = FleetHeartbeat(
        sequence=1,
        host="h1",
        failure_domain="east",
        stream="127.0.0.1:3",
        boot="b",
        revision=0,
        leaving=False,
        loads=[],
        servers=[],
        wanted={},
        limits=[["s1", 2.0, 0.1]],
    )
    values = msgpack.unpackb(messages.encode(heartbeat))
    known = [item.name for item in dataclasses.fields(heartbeat)].index("limits")
    read = messages.decode(msgpack.packb(values[: 1 + known]))
    assert read.limits == []


def test_restarted_server_has_no_limit():
    """Guards against the limit of a process that has ended."""
    shared = SharedLimits()
    shared.hosts["h1"].record_response(0.0, SERVER, 6.0)
    shared.exchange(0.1)
    shared.fleet.remove(0.2, SERVER)
    shared.exchange(0.3)
    assert not any(len(limits) for limits in shared.hosts.values())
