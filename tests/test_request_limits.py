"""Tests of backend servers that limit the requests that they accept."""

import asyncio
import contextlib

from monsoonlug.clocks import read_clock
from monsoonlug.fleet import FleetView
from monsoonlug.fleet_messages import FleetServer
from monsoonlug.gatehost import ClosingTimes, GateHost, build_gate_id
from monsoonlug.items import ItemKind, PoolItem
from monsoonlug.messages import RequestHead
from monsoonlug.platform.headers import open_backend

SERVER = "s1"
LIMIT = 2.0  # requests per second
WINDOW = 4.0  # seconds
MAX_IN_WINDOW = 1.5 * LIMIT * WINDOW + 5  # requests; what a server tolerates
SECONDS = 6.0  # duration of the load
INTERVAL = 0.020  # seconds between two requests of the load

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


def build_gate_host(port):
    gate_host = GateHost(
        clock=read_clock, closing_times=ClosingTimes(), open_backend=open_backend
    )
    view = FleetView()
    view.items._items[ItemKind.POOL, "desk"] = POOL
    record = FleetServer(
        server=SERVER,
        born=1,
        pool="desk",
        address=f"127.0.0.1:{port}",
        failure_domain="east",
        slots=2,
        draining=False,
    )
    view.servers = {SERVER: record}
    gate_host.update(view, {build_gate_id(record): [record]})
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


async def test_limited_server_gets_no_more_requests_than_it_named():
    """Guards against a gate that ignores the request limit of a server in need."""
    limiting = LimitingServer()
    server = await asyncio.start_server(limiting.serve, "127.0.0.1", 0)
    gate_host = build_gate_host(server.sockets[0].getsockname()[1])
    peer = SilentPeer()
    try:
        started_at = read_clock()
        number = 0
        while read_clock() < started_at + SECONDS:
            number += 1
            gate_host.receive(peer, build_head(number))
            await asyncio.sleep(INTERVAL)
    finally:
        await gate_host.stop()
        server.close()
    assert limiting.count_most(since=started_at + 0.5) <= MAX_IN_WINDOW
    # The limit is used, too.
    assert len(limiting.arrivals) >= LIMIT * SECONDS - 2
