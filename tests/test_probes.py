"""Tests of probes, by which hosts learn the speed of idle servers."""

import asyncio
import math
import time
from types import SimpleNamespace

import pytest

from monsoonlug.exceptions import OutcomeUnknown
from monsoonlug.fleet import FleetView
from monsoonlug.fleet_messages import FleetServer
from monsoonlug.gatehost import PROBE_COUNT, ClosingTimes, GateHost, build_gate_id
from monsoonlug.items import ItemKind, PoolItem
from monsoonlug.platform.headers import PlatformBackend

POOL = PoolItem(
    name="desk",
    version=1,
    keyed=True,
    connections=10,
    cold_seconds=0.0,
    cold_rate=0.0,
    health_path="/health",
)


def build_server(name):
    return FleetServer(
        server=name,
        born=1,
        pool="desk",
        address="127.0.0.1:1",
        failure_domain="east",
        slots=2,
        draining=False,
    )


class FakeBackend:
    """Reports a slowdown, or fails like a server that is out of reach."""

    slowdown = 1.0
    resting_until = -math.inf
    is_leaving = False
    health = None

    def __init__(self, reported):
        self.reported = reported
        self.probes = 0

    async def probe(self, path):
        assert path == "/health"
        self.probes += 1
        if self.reported is None:
            raise OutcomeUnknown()
        return self.reported


def build_gate_host(clock, backends):
    gate_host = GateHost(
        clock=clock,
        closing_times=ClosingTimes(),
        open_backend=lambda record, pool: backends[record.server],
    )
    view = FleetView()
    view.items._items[ItemKind.POOL, "desk"] = POOL
    servers = [build_server(name) for name in backends]
    view.servers = {record.server: record for record in servers}
    gates = {build_gate_id(record): [record] for record in servers}
    gate_host.update(view, gates)
    return gate_host


async def test_idle_servers_are_probed_until_their_speed_is_known():
    """Answers the pattern of first keys that are assigned before any request."""
    time = SimpleNamespace(now=0.0)
    backends = {"s1": FakeBackend(0.5), "s2": FakeBackend(1.5), "s3": FakeBackend(None)}
    gate_host = build_gate_host(lambda: time.now, backends)
    for _ in range(PROBE_COUNT + 3):
        await gate_host.probe_servers(lambda gate: gate.name != "s2")
        time.now += 0.5
    assert backends["s1"].probes == PROBE_COUNT
    assert backends["s2"].probes == 0
    assert backends["s3"].probes == PROBE_COUNT + 3


async def test_probed_servers_are_reported_without_requests():
    """Guards against a speed that control never learns."""
    backends = {"s1": FakeBackend(0.5)}
    gate_host = build_gate_host(lambda: 7.0, backends)
    assert gate_host.list_server_loads() == []
    await gate_host.probe_servers(lambda gate: True)
    assert gate_host.list_server_loads() == [["s1", 0.5, 0.0, 0.0]]


@pytest.mark.parametrize(
    ("load", "slowdown"), [("1,0,2,150", 1.5), ("1,0,2", None), ("1,0,2,x", None)]
)
async def test_probe_reads_the_reported_slowdown(load, slowdown):
    """Guards against a probe that waits for more than the head of the response."""

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"GET /health HTTP/1.1\r\n")
        writer.write(
            f"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
            f"X-Monsoonlug-Server-Load: {load}\r\n\r\nok".encode()
        )

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    backend = PlatformBackend(server="s1", address=f"127.0.0.1:{port}", connections=2)
    try:
        assert await backend.probe("/health") == slowdown
    finally:
        await backend.close()
        server.close()


async def test_probe_of_a_silent_server_fails_in_time():
    """Guards against probes that pile up at a server that does not respond."""
    server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    backend = PlatformBackend(server="s1", address=f"127.0.0.1:{port}", connections=2)
    try:
        with pytest.raises(OutcomeUnknown):
            await asyncio.wait_for(backend.probe("/health"), 2.0)
    finally:
        await backend.close()
        server.close()


@pytest.mark.parametrize(
    ("status", "headers", "cold_seconds"),
    [
        ("200 OK", {"X-Monsoonlug-Instance-Id": "s1"}, 0.0),
        (
            "200 OK",
            {"X-Monsoonlug-Instance-Id": "s1", "X-Monsoonlug-Warmup-Ms": "2500"},
            2.5,
        ),
        ("200 OK", {"X-Monsoonlug-Warmup-Ms": "2500"}, None),
        ("503 Service Unavailable", {"X-Monsoonlug-Not-Executed": "1"}, None),
        (
            "503 Service Unavailable",
            {"X-Monsoonlug-Instance-Id": "s1", "X-Monsoonlug-Warmup-Ms": "800.5"},
            0.8005,
        ),
        ("200 OK", {"X-Monsoonlug-Instance-Id": "other"}, None),
        (
            "200 OK",
            {"X-Monsoonlug-Instance-Id": "s1", "X-Monsoonlug-Warmup-Ms": "soon"},
            None,
        ),
    ],
)
async def test_health_response_tells_a_cold_start(status, headers, cold_seconds):
    """Guards against the word of another server, or one that cannot be read."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        lines = [f"HTTP/1.1 {status}", "Content-Length: 2"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("".join(f"{line}\r\n" for line in lines).encode() + b"\r\nok")

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    backend = PlatformBackend(server="s1", address=f"127.0.0.1:{port}", connections=2)
    started_at = time.monotonic()
    try:
        await backend.probe("/health")
        contact = backend.find_contact()
        assert contact is not None
        assert (backend.health is None) == (cold_seconds is None)
        if backend.health is not None:
            assert backend.health.contact is contact
            assert backend.health.asked_at >= started_at
            assert backend.health.cold_until >= started_at + cold_seconds
            assert backend.health.cold_until <= time.monotonic() + cold_seconds
    finally:
        await backend.close()
        server.close()


async def test_contact_ends_with_the_connections_of_a_server():
    """Guards against a server that restarts in what looks like one contact."""
    writers = []

    async def serve(reader, writer):
        writers.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    backend = PlatformBackend(server="s1", address=f"127.0.0.1:{port}", connections=2)
    try:
        assert backend.find_contact() is None
        await backend.probe("/health")
        first = backend.find_contact()
        writers[0].transport.abort()
        async with asyncio.timeout(5.0):
            while backend.find_contact() is not None:
                await asyncio.sleep(0.01)
        await backend.probe("/health")
        assert backend.find_contact() not in (None, first)
    finally:
        await backend.close()
        server.close()
