"""Tests of backend servers that send a response twice on a connection in use again."""

import asyncio
import contextlib
from random import Random

import pytest

from monsoonlug.exceptions import BackendRefused, OutcomeUnknown
from monsoonlug.http_connections import MAX_REQUESTS_PER_CONNECTION
from monsoonlug.platform.headers import PlatformBackend
from tests.backends import make_request, read_body

REQUESTS = 200


def build_answer(body, request_id=None, *, status="200 OK", extra=""):
    identity = f"X-Monsoonlug-Request-Id: {request_id}\r\n" if request_id else ""
    head = f"HTTP/1.1 {status}\r\n{identity}{extra}Content-Length: {len(body)}\r\n\r\n"
    return (head + body).encode()


class RepeatingServer:
    """Answers with the request's id as the body, and sends some answers again.

    The copies differ in their id and in when they arrive: with the first answer, while
    the connection is idle, or after the next request was received.
    """

    def __init__(self, seed):
        self.random = Random(seed)
        self.copies = 0
        self.sent = []

    async def serve(self, reader, writer):
        late = b""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                request_id = head.partition("x-monsoonlug-request-id: ")[2]
                request_id = request_id.partition("\r\n")[0]
                writer.write(late)
                self.sent.append(late)
                late = b""
                if self.random.random() < 0.5:
                    await asyncio.sleep(0.001)
                answer = build_answer(request_id, request_id)
                copy = self.choose_copy(request_id)
                when = self.random.choice(("joined", "idle", "late", "cut"))
                if when == "joined":
                    answer += copy
                writer.write(answer)
                if when == "late":
                    late = copy
                if when == "cut":
                    late = copy[: len(copy) // 2]
                if when == "idle":
                    await asyncio.sleep(0)
                    writer.write(copy)
                await writer.drain()

    def choose_copy(self, request_id):
        if self.random.random() < 0.4:
            return b""
        self.copies += 1
        refusal = {
            "status": "503 Service Unavailable",
            "extra": "X-Monsoonlug-Not-Executed: 1\r\n",
        }
        return self.random.choice(
            (
                build_answer(request_id, request_id),
                build_answer(request_id),
                build_answer(request_id, "other"),
                build_answer(request_id, **refusal),
                build_answer(request_id, request_id, **refusal),
            )
        )


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("method", ["GET", "PUT"])
async def test_nobody_gets_the_answer_of_another_request(seed, method):
    """Guards against a copy that is taken for the response to the next request.

    A copy that cannot be told from it makes the outcome unknown. It must not look like
    a refusal either, as the request runs.
    """
    repeating = RepeatingServer(seed)
    server = await asyncio.start_server(repeating.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    backend = PlatformBackend(server="s1", address=f"127.0.0.1:{port}", connections=1)
    answered = 0
    try:
        for number in range(REQUESTS):
            headers = [("X-Monsoonlug-Request-Id", f"id-{number}")]
            request = make_request(
                backend, number, method=method, headers=headers, time_to_deadline=0.2
            )
            try:
                response = await backend.send(request)
                assert await read_body(response) == f"id-{number}".encode()
                answered += 1
            except OutcomeUnknown:
                continue
            except BackendRefused:
                pytest.fail(f"a copy was taken for the response: {repeating.sent[-3:]}")
    finally:
        await backend.close()
        server.close()
    assert repeating.copies > REQUESTS / 4
    assert answered > REQUESTS / 2


class RefusingServer:
    """Refuses the first request with an id, and runs the second one.

    On the connection of a refusal it sends the refusal again, when the next request has
    arrived there or `delay` seconds later.

    Attributes:
        runs: Ids of the requests that it ran.
        connections: Number of accepted connections.
    """

    def __init__(self, delay=0.0):
        self.delay = delay
        self.refused = set()
        self.runs = []
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        copies = []
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                request_id = head.partition("x-monsoonlug-request-id: ")[2]
                request_id = request_id.partition("\r\n")[0]
                if copies:
                    writer.write(copies.pop(0))
                if request_id in self.refused:
                    self.runs.append(request_id)
                    await asyncio.sleep(self.delay)
                    writer.write(build_answer(request_id, request_id))
                    continue
                self.refused.add(request_id)
                refusal = build_answer(
                    "",
                    request_id,
                    status="503 Service Unavailable",
                    extra="X-Monsoonlug-Not-Executed: 1\r\n",
                )
                writer.write(refusal)
                copies.append(refusal)
                if len(copies) > 2:
                    copies.pop(0)


@contextlib.asynccontextmanager
async def run_backend(refusing, *, connections=4):
    server = await asyncio.start_server(refusing.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    backend = PlatformBackend(
        server="s1", address=f"127.0.0.1:{port}", connections=connections
    )
    try:
        yield backend
    finally:
        await backend.close()
        server.close()


def make_numbered(backend, number, attempt, *, method="PUT"):
    headers = [("X-Monsoonlug-Request-Id", f"id-{number}")]
    return make_request(
        backend,
        f"{number}.{attempt}",
        method=method,
        headers=headers,
        time_to_deadline=2.0,
    )


@pytest.mark.parametrize("method", ["GET", "PUT"])
@pytest.mark.parametrize("connections", [1, 4])
async def test_late_refusal_is_not_the_answer_to_a_second_attempt(method, connections):
    """Guards against a request that is reported as not run while the server runs it.

    Both attempts carry the caller's id, so the id of the late copy fits.
    """
    refusing = RefusingServer(delay=0.001)
    async with run_backend(refusing, connections=connections) as backend:
        for number in range(100):
            with pytest.raises(BackendRefused):
                await backend.send(make_numbered(backend, number, 1, method=method))
            request = make_numbered(backend, number, 2, method=method)
            response = await backend.send(request)
            assert await read_body(response) == f"id-{number}".encode()
    assert refusing.runs == [f"id-{number}" for number in range(100)]


async def test_connection_that_carried_an_id_serves_other_requests():
    """Guards against a new connection for each request after a refusal."""
    refusing = RefusingServer()
    async with run_backend(refusing) as backend:
        for number in range(100):
            with pytest.raises(BackendRefused):
                await backend.send(make_numbered(backend, number, 1))
            refusing.refused.clear()
    assert refusing.connections <= 100 / 2 + 1


async def test_connection_is_replaced_before_it_forgets_an_id():
    """Guards against ids that a connection has carried but does not remember."""
    refusing = RefusingServer()
    refusing.refused.update(f"id-{n}" for n in range(MAX_REQUESTS_PER_CONNECTION + 1))
    async with run_backend(refusing, connections=1) as backend:
        for number in range(MAX_REQUESTS_PER_CONNECTION + 1):
            response = await backend.send(make_numbered(backend, number, 1))
            await read_body(response)
    assert refusing.connections == 2


async def test_answer_with_an_id_is_not_the_answer_to_a_probe():
    """Guards against a late copy that tells the state of a server to a probe."""

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            late = "Retry-After: 30\r\n"
            writer.write(build_answer("", "id-1", status="503 Full", extra=late))
            load = "X-Monsoonlug-Server-Load: 0,0,2,250\r\n"
            writer.write(build_answer("", extra=load))
            await reader.read()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    backend = PlatformBackend(server="s1", address=f"127.0.0.1:{port}", connections=1)
    try:
        assert await backend.probe("/healthz") == 2.5
        assert backend.resting_until < backend._clock()
    finally:
        await backend.close()
        server.close()
