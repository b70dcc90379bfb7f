"""Tests of backend servers that send a response twice on a connection in use again."""

import asyncio
import contextlib
from random import Random

import pytest

from monsoonlug.exceptions import BackendRefused, OutcomeUnknown
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
