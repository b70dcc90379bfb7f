"""Tests of servers that end a response early, in its head or in its body."""

import asyncio
import contextlib
import signal
import socket

import pytest

from monsoonlug.exceptions import OutcomeUnknown
from monsoonlug.platform.headers import PlatformBackend
from monsoonlug.refusals import RESET_ON_CLOSE
from tests.backends import make_request, read_body
from tests.platform_fleet import (
    FRONT_PORT,
    HOST_HEADER,
    UNSAFE_PREFIX,
    WORKSPACE_KEY,
    PlatformFleet,
)

BODY = b"0123456789"
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Monsoonlug-Request-Id: ID\r\n"
    b"X-Monsoonlug-Server-Stamp: s\r\n"
)
CHUNKS = b"5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n"
ANSWERS = {
    "length": HEAD + b"Content-Length: 10\r\n\r\n" + BODY,
    "length-first": HEAD.replace(b"X-Mon", b"Content-Length: 10\r\nX-Mon", 1)
    + b"\r\n"
    + BODY,
    "chunked": HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKS,
    "close": HEAD + b"\r\n" + BODY,
}


class CuttingServer:
    """Answers the first request of a connection, and cuts the second answer.

    Attributes:
        answer: What it sends as the second answer before the connection ends.
        is_reset: Whether it resets the connection.
    """

    def __init__(self):
        self.answer = b""
        self.is_reset = False

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            for answer in (ANSWERS["length"], self.answer):
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                request_id = head.partition("x-monsoonlug-request-id: ")[2]
                request_id = request_id.partition("\r\n")[0]
                writer.write(answer.replace(b"ID", request_id.encode()))
            await writer.drain()
        if self.is_reset:
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.close()


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("form", ANSWERS)
async def test_answer_that_ends_at_any_byte_is_not_whole(form, is_reset):
    """Guards against a response that was cut in its head and counts as an empty one.

    Only a body without a length ends with its connection, if that is not reset.
    """
    cutting = CuttingServer()
    cutting.is_reset = is_reset
    server = await asyncio.start_server(cutting.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    backend = PlatformBackend(server="s1", address=f"127.0.0.1:{port}", connections=1)
    body_start = len(ANSWERS[form].partition(b"\r\n\r\n")[0]) + 4
    try:
        for size in range(len(ANSWERS[form])):
            cutting.answer = ANSWERS[form][:size]
            for number in (1, 2):
                identity = [("X-Monsoonlug-Request-Id", f"id-{number}")]
                request = make_request(
                    backend, f"{size}-{number}", method="PUT", headers=identity
                )
                if number == 1:
                    assert await read_body(await backend.send(request)) == BODY
                    continue
                if form == "close" and size >= body_start and not is_reset:
                    response = await backend.send(request)
                    received = await read_body(response)
                    assert received == ANSWERS[form][body_start:size]
                    continue
                with pytest.raises(OutcomeUnknown):
                    await read_body(await backend.send(request))
    finally:
        await backend.close()
        server.close()


async def read_answer(entry, method, path, request_id, version, *, deadline=1.0):
    """Returns status, body and whether the answer looks whole to its caller."""
    reader, writer = await asyncio.open_connection(entry.ip, FRONT_PORT)
    lines = [
        f"{method} {path} HTTP/{version}",
        f"Host: {HOST_HEADER}",
        f"Authorization: Bearer {WORKSPACE_KEY}",
        f"X-Monsoonlug-Request-Id: {request_id}",
        f"X-Monsoonlug-Deadline-Ms: {round(1000 * deadline)}",
        "Connection: close",
    ]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    received = b""
    is_reset = False
    try:
        async with asyncio.timeout(3.0):
            while part := await reader.read(65536):
                received += part
    except ConnectionError:
        is_reset = True
    finally:
        writer.close()
    head, _, body = received.partition(b"\r\n\r\n")
    first, *fields = head.decode().lower().split("\r\n")
    named = dict(field.split(": ", 1) for field in fields)
    status = int(first.split()[1]) if first else None
    if "content-length" in named:
        return status, body, len(body) == int(named["content-length"])
    if named.get("transfer-encoding") == "chunked":
        return status, body, body.endswith(b"0\r\n\r\n")
    return status, body, not is_reset


@pytest.mark.parametrize("form", ["length", "chunked"])
async def test_caller_sees_that_an_answer_was_cut(tmp_path, form):
    """Guards against a short body that is framed as whole towards the caller.

    The caller gets 502 as long as no part of the body has arrived, and a response that
    is visibly incomplete afterwards.
    """
    whole = ANSWERS[form]
    body_start = len(whole.partition(b"\r\n\r\n")[0]) + 4
    sizes = [0, 20, body_start - 30, body_start - 2, body_start, body_start + 9]
    if form == "chunked":
        sizes += [len(whole) - 5, len(whole) - 2]
    async with PlatformFleet(
        tmp_path, entries=("east", "west"), servers=("east",)
    ) as fleet:
        number = 0
        for size in sizes:
            fleet.servers[0].raw_answer = whole[:size]
            for entry in fleet.entries:
                for version in ("1.1", "1.0"):
                    number += 1
                    status, body, is_whole = await read_answer(
                        entry, "PUT", f"{UNSAFE_PREFIX}x", f"id-{number}", version
                    )
                    if status == 200:
                        assert size > body_start
                        assert not is_whole, (size, version, body)
                    else:
                        assert (status, is_whole) == (502, True), (size, version)
        fleet.servers[0].raw_answer = whole
        status, _, is_whole = await read_answer(entry, "PUT", "/x", "id", "1.1")
        assert (status, is_whole) == (200, True)


async def test_caller_of_a_stopping_entry_gets_an_answer(tmp_path):
    """Guards against a kept connection that is closed while its server works.

    The grace time of the entry ends before the server is done.
    """
    fleet = PlatformFleet(tmp_path, entries=("east",), servers=("east",))
    fleet.entries[0].settings["bounds"] = ["grace=4s", "strictRevoke=true"]
    async with fleet:
        entry = fleet.entries[0]
        fleet.servers[0].service_time = 1.9
        entry.process.send_signal(signal.SIGTERM)
        asyncio.get_running_loop().call_later(4.0, entry.process.kill)
        await asyncio.sleep(2.3)
        path = f"{UNSAFE_PREFIX}x"
        answer = await read_answer(entry, "PUT", path, "id", "1.1", deadline=1.95)
        assert answer[0] == 502
        assert answer[2]
