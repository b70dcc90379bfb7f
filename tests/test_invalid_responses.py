"""Tests of responses of backend servers whose status line is invalid."""

import asyncio
import contextlib
from random import Random

import pytest

from monsoonlug.dispatch import (
    AttemptFailed,
    Attempts,
    Begin,
    DropCounts,
    Refuse,
    Retry,
    RetryBudget,
    Sending,
)
from monsoonlug.exceptions import OutcomeUnknown, find_error
from monsoonlug.ids import Ran, RequestId
from monsoonlug.platform.headers import PlatformBackend
from tests.backends import make_request, read_body

DEADLINE = 5.0  # seconds; invalid responses are recognized long before
OWN_ID = b"X-Monsoonlug-Request-Id: id-1\r\n"
REFUSAL = b"X-Monsoonlug-Not-Executed: 1\r\n"

# Status lines, and what happened on ad2ee8a to a response with the request's id: the
# caller got it, or waited for another one until its deadline, or neither.
ACCEPTED, AWAITED, REJECTED = "accepted", "awaited", "rejected"
STATUS_LINES = {
    b"HTTP/1.1 000 Zero": REJECTED,
    b"HTTP/1.1 099 Low": REJECTED,
    b"HTTP/1.1 100 Continue": AWAITED,
    b"HTTP/1.1 101 Switching Protocols": REJECTED,
    b"HTTP/1.1 102 Processing": AWAITED,
    b"HTTP/1.1 103 Early Hints": AWAITED,
    b"HTTP/1.1 199 Informational": AWAITED,
    b"HTTP/1.1 600 High": ACCEPTED,
    b"HTTP/1.1 700 High": ACCEPTED,
    b"HTTP/1.1 999 High": ACCEPTED,
    b"HTTP/1.1 20 OK": REJECTED,
    b"HTTP/1.1 2 OK": REJECTED,
    b"HTTP/1.1 2000 OK": REJECTED,
    b"HTTP/1.1 0200 OK": REJECTED,
    b"HTTP/1.1 +200 OK": REJECTED,
    b"HTTP/1.1 -200 OK": REJECTED,
    b"HTTP/1.1 +20 OK": REJECTED,
    b"HTTP/1.1  200 OK": REJECTED,
    b"HTTP/1.1 2 0 OK": REJECTED,
    b"HTTP/1.1 20  OK": REJECTED,
    b"HTTP/1.1    OK": REJECTED,
    b"HTTP/1.1 ": REJECTED,
    b"HTTP/1.1": REJECTED,
    b"HTTP/1.1 two OK": REJECTED,
    b"HTTP/0.9 200 OK": ACCEPTED,
    b"HTTP/1.2 200 OK": REJECTED,
    b"HTTP/2.0 200 OK": ACCEPTED,
    b"HTTP/2 200 OK": REJECTED,
    b"HTTP/11.1 200 OK": REJECTED,
    b"http/1.1 200 OK": REJECTED,
    b"ICY 200 OK": REJECTED,
}
BODIES = {
    "no-body": b"Content-Length: 0\r\n\r\n",
    "body": b"Content-Length: 2\r\n\r\nok",
}


class InvalidServer:
    """Sends the same bytes in answer to each request and counts the connections."""

    def __init__(self, answer):
        self.answer = answer
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(self.answer)
                await writer.drain()
        writer.close()


@contextlib.asynccontextmanager
async def run_backend(server):
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    backend = PlatformBackend(server="s1", address=f"127.0.0.1:{port}", connections=2)
    try:
        yield backend
    finally:
        await backend.close()
        listener.close()


async def send(backend, number, **fields):
    headers = [("X-Monsoonlug-Request-Id", "id-1")]
    request = make_request(
        backend, number, headers=headers, time_to_deadline=DEADLINE, **fields
    )
    async with asyncio.timeout(DEADLINE / 2):
        response = await backend.send(request)
        return response.status, await read_body(response)


@pytest.mark.parametrize("line", STATUS_LINES, ids=repr)
@pytest.mark.parametrize("body", BODIES)
@pytest.mark.parametrize("identity", [b"", OWN_ID], ids=["without-id", "with-id"])
@pytest.mark.parametrize("idempotent", [False, True], ids=["unsafe", "idempotent"])
async def test_invalid_status_line_is_no_response(line, body, identity, idempotent):
    """Guards against callers that receive a status which is none."""
    server = InvalidServer(line + b"\r\n" + identity + BODIES[body])
    async with run_backend(server) as backend:
        for number in (1, 2):
            with pytest.raises(OutcomeUnknown) as caught:
                await send(backend, number, idempotent=idempotent)
            assert caught.value.ran is Ran.UNKNOWN
            assert caught.value.status == 502
    # Neither was the request sent again at the same server, nor its connection reused.
    assert server.connections == 2


@pytest.mark.parametrize("line", [line for line in STATUS_LINES if b"/1.1 " in line])
async def test_invalid_status_line_does_not_prove_that_nothing_ran(line):
    """Guards against "not run" for a request, on the word of a faulty response."""
    server = InvalidServer(line + b"\r\n" + OWN_ID + REFUSAL + BODIES["no-body"])
    async with run_backend(server) as backend:
        with pytest.raises(OutcomeUnknown):
            await send(backend, 1)


@pytest.mark.parametrize("status", [b"200", b"299", b"404", b"500", b"599"])
@pytest.mark.parametrize("version", [b"HTTP/1.0", b"HTTP/1.1"])
async def test_valid_status_lines_are_accepted(version, status):
    """Guards against a check that rejects valid responses, also unusual ones."""
    line = version + b" " + status + b" Text\r\n"
    server = InvalidServer(line + OWN_ID + BODIES["body"])
    async with run_backend(server) as backend:
        assert await send(backend, 1) == (int(status), b"ok")


@pytest.mark.parametrize("status", [b"100", b"102", b"103", b"199"])
async def test_informational_responses_precede_the_final_one(status):
    """Guards against a check that rejects informational responses as such."""
    hint = b"HTTP/1.1 " + status + b" Hint\r\nX-Hint: a\r\n\r\n"
    server = InvalidServer(3 * hint + b"HTTP/1.1 200 OK\r\n" + OWN_ID + BODIES["body"])
    async with run_backend(server) as backend:
        assert await send(backend, 1) == (200, b"ok")


@pytest.mark.parametrize(
    ("idempotent", "pooled", "expected"),
    [
        (True, True, Retry),
        (True, False, Retry),
        (False, True, None),
        (False, False, None),
    ],
    ids=["idempotent-pooled", "idempotent-keyed", "unsafe-pooled", "unsafe-keyed"],
)
async def test_only_idempotent_requests_go_elsewhere(idempotent, pooled, expected):
    """Guards against unsafe requests that run twice, and callers told "not run"."""
    server = InvalidServer(b"HTTP/1.1 600 High\r\n" + OWN_ID + BODIES["body"])
    async with run_backend(server) as backend:
        with pytest.raises(OutcomeUnknown) as caught:
            await send(backend, 1)
    attempts = Attempts(
        request_id=RequestId("id-1"),
        idempotent=idempotent,
        pooled=pooled,
        deadline=10.0,
        budget=RetryBudget(),
        drops=DropCounts(),
        random=Random(1),
    )
    attempts.decide(0.0, Begin())
    attempts.decide(0.0, Sending(attempt=1))
    event = AttemptFailed(
        attempt=1,
        request_id=RequestId("id-1"),
        error=find_error(caught.value.code),
        ran=caught.value.ran,
        retry_after=None,
        has_alternative=True,
    )
    action = attempts.decide(0.1, event)
    if expected is Retry:
        assert isinstance(action, Retry)
        return
    assert isinstance(action, Refuse)
    assert action.refusal.error is OutcomeUnknown
    assert action.refusal.ran is Ran.UNKNOWN
