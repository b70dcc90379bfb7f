"""Tests of the stand-ins on whose results benchmarks and failure tests rely."""

import asyncio
import contextlib
import hashlib
import json
import socket

import aiohttp
import pytest
from aiohttp import web

from monsoonlug.announcements import (
    AnnouncementAnswer,
    GateAddress,
    compress_grants,
    decode_announcement,
    encode_answer,
)
from monsoonlug.exceptions import BackendFenced, BackendRefused
from monsoonlug.http_backend import HttpBackend
from monsoonlug.ids import ServerPhase
from standins.caller import Call, Caller, CallerSettings, Operation, find_mismatch
from standins.capacity import ColdStart, ControlRequest, GrantTable, ServerSettings
from standins.passthrough import Passthrough
from standins.server import StandinServer
from tests.backends import EVENT_TIMEOUT, format_address, make_request, read_body


@pytest.fixture
async def start():
    async with contextlib.AsyncExitStack() as stack:

        async def call(**fields):
            fields = {"server": "s1", "pool": "p", "cold_seconds": 0, **fields}
            server = StandinServer(settings=ServerSettings(**fields))
            await server.start()
            stack.push_async_callback(server.stop)
            return server

        yield call


@pytest.fixture
async def connect():
    async with contextlib.AsyncExitStack() as stack:

        def call(server):
            backend = HttpBackend(server="s1", address=server.address, connections=9)
            stack.push_async_callback(backend.close)
            return backend

        yield call


@pytest.fixture
async def entry():
    """Entry that records announcements and answers with `answer`, or 503 if None."""
    seen = asyncio.Queue()

    async def handle(request):
        seen.put_nowait(decode_announcement(await request.read()))
        if handle.answer is None:
            return web.Response(status=503)
        return web.Response(body=handle.answer(), content_type="application/json")

    runner = web.ServerRunner(web.Server(handle), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    handle.seen = seen
    handle.address = f"127.0.0.1:{runner.addresses[0][1]}"
    handle.answer = None
    yield handle
    await runner.cleanup()


async def wait_until(check):
    async with asyncio.timeout(EVENT_TIMEOUT):
        while not check():
            await asyncio.sleep(0.001)


async def run_caller(addresses, **fields):
    fields = {"rate": 200, "seconds": 0.2, "shares": (1, 1, 1, 1), **fields}
    caller = Caller(settings=CallerSettings(addresses=addresses, **fields))
    async with asyncio.timeout(EVENT_TIMEOUT):
        return caller, await caller.run()


@pytest.mark.parametrize("through_proxy", [False, True])
async def test_caller_verifies_every_answer(start, through_proxy):
    """Guards against stand-ins that lose, alter or miscount requests."""
    server = await start(slots=50)
    passthrough = Passthrough(listen="127.0.0.1:0", servers=[server.address])
    await passthrough.start()
    address = passthrough.address if through_proxy else server.address
    caller, summary = await run_caller([address])
    await passthrough.stop()
    assert (summary.sent, summary.ok, summary.wrong) == (40, 40, [])
    ran = {execution.call for execution in server.executions}
    assert ran == {call.call_id for call in caller.successes}
    for name, operation in (("reservation", "POST"), ("payment", "POST")):
        runs = [item for item in server.executions if item.operation == name]
        assert {item.method for item in runs} <= {operation}
        counted = (n for key, n in server.counts.items() if key.startswith(name))
        assert sum(counted) == len(runs) > 0


def make_answer(call, key, body):
    digest = hashlib.sha256(body).hexdigest()
    return {"X-Call-Id": call, "X-Key": key, "X-Body-Digest": digest}


def test_caller_detects_mismatched_and_damaged_answers():
    """Guards against a caller that accepts answers to other calls or damaged ones."""
    call = Call(call_id="1-1", at=0, operation=Operation.LOOKUP, key="k", body=b"")
    document = {"call": "1-1", "key": "k"}
    document["body_digest"] = hashlib.sha256(b"").hexdigest()
    body = json.dumps(document).encode()
    right = make_answer("1-1", "k", body)
    assert find_mismatch(call, right, body) is None
    assert find_mismatch(call, right, body[:-1])
    assert find_mismatch(call, {**right, "X-Call-Id": "1-2"}, body)
    assert find_mismatch(call, {**right, "X-Key": "l"}, body)
    for name in document:
        other = json.dumps({**document, name: "x"}).encode()
        assert find_mismatch(call, make_answer("1-1", "k", other), other)


async def test_caller_counts_refusals_and_lost_connections(start):
    """Guards against refusals counted as unknown outcomes, or the reverse."""
    server = await start(leased=True)
    _, summary = await run_caller([server.address])
    assert summary.refused == {"http-503": 40}
    await server.stop()
    _, summary = await run_caller([server.address])
    assert summary.refused == {"no-connection": 40}


async def test_request_on_a_lost_connection_has_unknown_outcome():
    """Guards against counting a request as not run after aiohttp has sent it once.

    The server reads the second request of a reused connection and then closes
    everything, so that aiohttp's own retry cannot connect.
    """
    received = []

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            while len(received) < 2:
                received.append(await reader.readuntil(b"\r\n\r\n"))
                if len(received) == 1:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        server.close()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    settings = CallerSettings(
        addresses=[f"{host}:{port}"], rate=10.0, seconds=0.2, shares=(1.0, 0, 0, 0)
    )
    caller = Caller(settings=settings)
    await caller.run()
    assert len(received) == 2
    assert caller.not_executed == []
    assert caller.summary.unknown["connection-lost"] == 1


@pytest.mark.parametrize("chunked", [0, 1])
async def test_large_answer_is_complete(start, connect, chunked):
    """Guards against a large answer that does not match its digest or length."""
    backend = connect(await start())
    target = f"/large/k?size=100001&chunked={chunked}"
    answer = await backend.send(make_request(backend, target=target))
    body = await read_body(answer)
    named = dict(answer.headers)
    assert len(body) == 100_001
    assert named["X-Body-Digest"] == hashlib.sha256(body).hexdigest()
    assert ("Content-Length" in named) is not bool(chunked)


async def test_excess_is_shed_or_queued(start, connect):
    """Guards against a server that runs more requests than it has slots."""
    server = await start(slots=1, queue=1, work_seconds=0)
    backend = connect(server)
    server.control(ControlRequest(frozen=True))
    async with asyncio.TaskGroup() as group:
        tasks = []
        for number in range(3):
            request = make_request(backend, number, target="/lookup/k")
            tasks.append(group.create_task(send_and_read(backend, request)))
        await wait_until(lambda: server.frozen_requests == 3)
        server.control(ControlRequest(frozen=False))
    results = [task.result() for task in tasks]
    assert results.count(BackendRefused) == server.shed_count == 1
    assert (len(server.executions), server.peak_running) == (2, 1)


async def test_queued_request_is_shed_after_queue_timeout(start, connect):
    """Guards against a long server queue that hides overload from the router."""
    server = await start(slots=1, queue=1, queue_seconds=0.01)
    backend = connect(server)
    async with server._slots:
        request = make_request(backend, target="/lookup/k")
        assert await send_and_read(backend, request) is BackendRefused
    assert (server.shed_count, len(server.executions)) == (1, 0)
    assert await send_and_read(backend, make_request(backend, target="/lookup/k"))


async def send_and_read(backend, request):
    try:
        return await read_body(await backend.send(request))
    except (BackendRefused, BackendFenced) as error:
        return type(error)


async def test_connections_over_the_limit_are_closed(start):
    """Guards against a router that opens too many connections unnoticed."""
    server = await start(connections=1)
    host, port = server.address.split(":")
    reader, writer = await asyncio.open_connection(host, port)
    other, closing = await asyncio.open_connection(host, port)
    async with asyncio.timeout(EVENT_TIMEOUT):
        with contextlib.suppress(ConnectionResetError):
            assert await other.read() == b""
    assert (server.describe()["connections_refused"], reader.at_eof()) == (1, False)
    writer.close()
    closing.close()


def test_grants_fence_earlier_owners_and_expire():
    """Guards against executing requests fenced by an earlier owner's epoch."""
    table = GrantTable()
    answer = {"lease_ms": 400, "grants_revision": 1, "grants": [[0, 9, 5], [10, 10, 7]]}
    assert not table.allows(1.0, 3, 5)
    table.renew(answer, sent_at=1.0)
    assert table.allows(1.39, 3, 5) and not table.allows(1.4, 3, 5)
    assert not table.allows(1.1, 10, 5) and not table.allows(1.1, -1, 9)
    assert table.allows(1.1, 10, 8) and not table.allows(1.1, 10, 7)
    table.renew({**answer, "grants": [[4, 9, 5]]}, sent_at=2.0)
    assert not table.allows(2.1, 3, 5) and table.allows(2.1, 4, 5)
    table.renew({"lease_ms": 400, "grants_revision": 1}, sent_at=3.0)
    assert table.allows(3.1, 4, 5)
    table.renew({"lease_ms": 0, "grants_revision": 0}, sent_at=3.2)
    assert table.allows(3.3, 4, 5) and not table.allows(3.4, 4, 5)


def test_overloaded_cold_server_slows_down():
    """Guards against a cold server that accepts excess load without slowing down."""
    cold = ColdStart(rate=10, seconds=5, now=0.0)
    assert [
        cold.count_request(0.0),
        cold.count_request(0.0),
        cold.count_request(0.1),
    ] == [1, 1, 1]
    assert cold.count_request(0.1) == 10 and cold.overloads == 1
    assert cold.count_request(1.3) == 1
    assert [cold.count_request(6.0) for _ in range(9)] == [1] * 9
    cold.begin(7.0)
    assert cold.is_cold(11.9) and not cold.is_cold(12.0)


async def test_announcements_find_a_gate_and_renew_grants(start, connect, entry):
    """Guards against a server that finds no gate or runs under an expired grant."""
    gate = GateAddress(address=entry.address, host="h")
    grants = compress_grants([(7, 41)])
    held = socket.create_server(("127.0.0.1", 0), backlog=0)
    dead = format_address(held)
    held.close()

    answer = AnnouncementAnswer(gate=gate, lease=60, grants_revision=3, grants=grants)
    entry.answer = lambda: encode_answer(answer)
    server = await start(
        entries=[dead, entry.address],
        fenced=True,
        leased=True,
        announce_seconds=0.01,
        false_load=0.25,
    )
    await wait_until(lambda: server.grants.revision == 3)
    first = entry.seen.get_nowait()
    assert (first.address, first.load) == (server.address, 0.25)
    assert (server.describe()["gate"], first.grants_revision) == (entry.address, -1)
    backend = connect(server)
    for number, epoch, result in ((1, 41, True), (2, 40, False), (3, 42, True)):
        request = make_request(
            backend, number, target="/lookup/k", slice=7, slice_epoch=epoch
        )
        outcome = await send_and_read(backend, request)
        assert (outcome is not BackendFenced) is result
    entry.answer = None
    await wait_until(lambda: server.describe()["gate"] is None)
    server.grants.lease_until = 0.0
    request = make_request(backend, 4, target="/lookup/k", slice=7, slice_epoch=42)
    assert await send_and_read(backend, request) is BackendRefused


async def test_control_freezes_and_drains(start, entry):
    """Guards against control requests without effect."""
    server = await start(entries=[entry.address], announce_seconds=0.01)
    async with aiohttp.ClientSession(f"http://{server.address}") as session:
        control_request = {"cold": True, "drain": True}
        async with session.post("/_standin/control", json=control_request) as response:
            assert (await response.json())["phase"] == "draining"
        async with asyncio.timeout(EVENT_TIMEOUT):
            while (await entry.seen.get()).phase is not ServerPhase.DRAINING:
                continue
        await session.post("/_standin/control", json={"frozen": True})
        answer = asyncio.create_task(session.get("/lookup/k"))
        await wait_until(lambda: server.frozen_requests == 1)
        assert not server.executions
        await session.post("/_standin/control", json={"frozen": False, "slow": 2})
        assert (await answer).status == 200
        async with session.get("/_standin/executions") as response:
            (row,) = await response.json()
        assert (row["operation"], row["key"]) == ("lookup", "k")


async def test_load_report_is_delayed(start):
    """Guards against load reports that ignore the configured delay."""
    server = await start(load_delay=5)
    server._running = 2
    assert server._sample_load(0.0) == 1
    server._running = 0
    assert [server._sample_load(now) for now in (1.0, 4.0, 6.0)] == [1, 1, 0]
