"""Servers with bounded connections: what they accept, refuse and count."""

import asyncio
import contextlib

import pytest
from aiohttp import web

from monsoonlug.client_connections import BoundedServer, ClientPort
from monsoonlug.connection_limits import ClientLimits, CloseReason, ConnectionTable
from monsoonlug.memory_budget import MemoryBudget

HEAD_BYTES = 2_048
LINE = b"GET / HTTP/1.1\r\nHost: a\r\n"
REQUEST = LINE + b"\r\n"
CHUNKED = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
TIMEOUT = 10.0  # seconds until a test fails
SILENCE = 0.5  # seconds after which an answer counts as complete


class Service:
    """A server of bounded connections that answers with the body of each request."""

    def __init__(self, *, budget=100_000_000, kept=65_536):
        self.reasons = []
        self.budget = MemoryBudget(limit=budget)
        limits = ClientLimits(
            head_bytes=HEAD_BYTES, head_timeout=3.0, idle_timeout=15.0
        )
        self.table = ConnectionTable(
            clock=lambda: 0.0, max_connections=100, get_limits=lambda: limits
        )
        self.port = ClientPort(
            table=self.table,
            budget=self.budget,
            get_limits=lambda: limits,
            record=self.reasons.append,
            kept_body_bytes=kept,
        )
        self.bodies = []
        self.released = asyncio.Event()
        self.released.set()
        self.response_bytes = 0

    async def handle(self, request):
        body = await request.read()
        self.bodies.append(body)
        await self.released.wait()
        return web.Response(body=body or b"x" * self.response_bytes)

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.number)


@contextlib.asynccontextmanager
async def run_service(**options):
    service = Service(**options)
    server = BoundedServer(service.handle, port=service.port, access_log=None)
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    service.number = runner.addresses[0][1]
    try:
        async with asyncio.timeout(TIMEOUT):
            yield service
    finally:
        service.released.set()
        await runner.cleanup()


async def send(service, *parts):
    """Sends parts with pauses between them, and returns what is answered until then."""
    reader, writer = await service.connect()
    with contextlib.suppress(ConnectionError):
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.02)
    answer = b""
    with contextlib.suppress(ConnectionError, TimeoutError):
        while part := await asyncio.wait_for(reader.read(65_536), SILENCE):
            answer += part
    writer.close()
    return answer


def build_head(size):
    return LINE + b"X: " + b"y" * (size - len(LINE) - 7) + b"\r\n\r\n"


def split(data, size):
    return [data[start : start + size] for start in range(0, len(data), size)]


@pytest.mark.parametrize("piece", [200, 2_048, 100_000])
async def test_head_of_the_limit_is_served_and_a_longer_one_refused(piece):
    """Guards against heads within the limit that are refused, and others served."""
    async with run_service() as service:
        head = build_head(HEAD_BYTES)
        assert len(head) == HEAD_BYTES
        answer = await send(service, *split(head, piece))
        assert answer.startswith(b"HTTP/1.1 200")
        answer = await send(service, *split(build_head(HEAD_BYTES + 1), piece))
        assert b" 431 " in answer[:15]
        assert service.reasons == [CloseReason.HEAD_TOO_LARGE]
        assert len(service.bodies) == 1


async def test_heads_of_the_limit_on_one_connection():
    """Guards against bytes of earlier requests that count towards a head."""
    async with run_service() as service:
        head = build_head(HEAD_BYTES)
        body = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 50000\r\n\r\n"
        parts = [head, body + b"b" * 50_000, b"\r\n" + head, head, b"\r\n\r\n", head]
        answer = await send(service, *parts)
        assert answer.count(b"HTTP/1.1 200") == 5
        assert service.reasons == []


@pytest.mark.parametrize("start", [b"", REQUEST])
async def test_endless_empty_lines_are_refused(start):
    """Guards against empty lines that keep the parser busy for ever."""
    async with run_service() as service:
        answer = await send(service, start, *[b"\r\n" * 500] * 4)
        assert answer.endswith(b"\r\n\r\n")
        assert b" 400 Bad Request" in answer
        assert service.reasons == [CloseReason.EMPTY_LINES]


@pytest.mark.parametrize(
    "block",
    [b"0" * 1_000, b"1;" + b"e" * 1_000, b"0\r\n" + b"T: " + b"t" * 1_000],
    ids=["size", "extension", "trailer"],
)
async def test_endless_chunk_framing_closes_the_connection(block):
    """Guards against chunked bodies that grow without a byte of content."""
    async with run_service() as service:
        answer = await send(service, CHUNKED + b"1\r\nx\r\n", block, *[b"0" * 900] * 3)
        assert answer == b""
        assert service.reasons == [CloseReason.BODY_FRAMING]


async def test_chunked_body_with_extensions_and_trailer_is_read():
    """Guards against refusing chunked bodies for framing that is within the limit."""
    async with run_service() as service:
        chunks = b"2;name=value\r\nab\r\n" * 10_000
        answer = await send(
            service, CHUNKED, *split(chunks, 50_000), b"0\r\nT: t\r\n\r\n"
        )
        assert answer.startswith(b"HTTP/1.1 200")
        assert service.bodies == [b"ab" * 10_000]
        assert service.reasons == []


async def test_invalid_head_is_not_quoted():
    """Guards against responses and log lines as long as what a client sends."""
    async with run_service() as service:
        answer = await send(service, b"G\x00T /secret HTTP/1.1\r\n\r\n")
        assert b" 400 " in answer[:15]
        assert b"secret" not in answer
        assert service.reasons == [CloseReason.INVALID]


async def test_pipelined_requests_are_all_answered():
    """Guards against requests that are lost while the queue of a connection is full."""
    async with run_service() as service:
        service.released.clear()
        sending = asyncio.create_task(send(service, REQUEST * 3_000, REQUEST))
        await asyncio.sleep(0.1)
        service.released.set()
        answer = await sending
        assert answer.count(b"HTTP/1.1 200") == 3_001
        assert service.reasons == []


async def test_worst_holder_is_evicted_and_others_are_served():
    """Guards against a connection whose body leaves no memory for ordinary callers."""
    async with run_service(budget=600_000, kept=10_000_000) as service:
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\n"
        reader, writer = await service.connect()
        writer.write(head + b"b" * 250_000)
        await asyncio.sleep(0.05)
        answers = await asyncio.gather(*(send(service, REQUEST) for _ in range(20)))
        assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)
        assert CloseReason.MEMORY in service.reasons
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
        writer.close()


async def test_unread_responses_pause_the_connection():
    """Guards against responses that pile up for a caller that reads nothing."""
    async with run_service() as service:
        service.response_bytes = 100_000
        reader, writer = await service.connect()
        reader._transport.pause_reading()
        writer.write(REQUEST * 2_000)
        await asyncio.sleep(0.3)
        started = len(service.bodies)
        await asyncio.sleep(0.2)
        assert len(service.bodies) == started < 2_000
        assert 100_000 <= service.budget.used < 1_000_000
        writer.transport.abort()


async def test_all_memory_is_given_back():
    """Guards against bytes that stay counted after a connection has ended."""
    async with run_service() as service:
        body = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 50000\r\n\r\n"
        for parts in ([REQUEST], [body, b"b" * 50_000], [body], [LINE], [CHUNKED]):
            await send(service, *parts)
        while service.budget.holdings:
            await asyncio.sleep(0.01)
        assert service.budget.used == 0
        assert len(service.table) == 0
