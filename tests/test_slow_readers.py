"""Tests with real processes of large responses whose readers or gates fail or stall."""

import asyncio
import contextlib
import signal
import socket
from collections import Counter

import pytest

from tests.platform_fleet import (
    DOWNLOAD_PREFIX,
    FRONT_PORT,
    HOST_HEADER,
    WORKSPACE_KEY,
    PlatformFleet,
)

SIZE = 540_000  # bytes; of the largest downloads
# Bytes of responses that neither the kernel's buffers nor a flow-control window of 256
# KiB can take, as they do with the largest downloads on loopback addresses.
STALLED_SIZE = 2_000_000
CALLERS = 40
# Bytes by which an entry may grow: its budget, and half as much for the allocator.
BUDGET_MEGABYTES = 8
MAX_GROWTH = 1.5 * BUDGET_MEGABYTES * 1_048_576
STALL_TIME = 3.0  # seconds; servers cut off after one second
# Bytes. Without these limits of a caller's socket, the kernel takes more than a
# megabyte of each response on loopback addresses, where segments have 64 KiB.
RECEIVE_BUFFER = 8_192
SEGMENT_SIZE = 1_460


async def open_download(entry, request_id, *, is_slow=False):
    """Sends a request and returns the reader and writer, without reading."""
    connection = socket.socket()
    if is_slow:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_SIZE)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, (entry.ip, FRONT_PORT))
    reader, writer = await asyncio.open_connection(sock=connection, limit=1_024)
    lines = [
        f"GET {DOWNLOAD_PREFIX}x HTTP/1.1",
        f"Host: {HOST_HEADER}",
        f"Authorization: Bearer {WORKSPACE_KEY}",
        f"X-Monsoonlug-Request-Id: {request_id}",
        "X-Monsoonlug-Deadline-Ms: 20000",
    ]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    return reader, writer


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    first, *fields = head.split("\r\n")
    named = dict(field.split(": ", 1) for field in fields if field)
    return int(first.split()[1]), named


def read_resident(entry):
    """Returns the resident memory of an entry, in bytes."""
    with open(f"/proc/{entry.process.pid}/status") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return 1024 * int(line.split()[1])
    raise AssertionError("the entry is not running")


async def warm_up(fleet, entries=None):
    """Lets the entries, or some of them, learn the size of the responses."""
    for number in range(3):
        for entry in entries or fleet.entries:
            path = f"{DOWNLOAD_PREFIX}warm"
            status = await fleet.send(
                entry, path, request_id=f"warm-{entry.name}-{number}", deadline=5.0
            )
            assert status == 200


async def wait_for_gate(fleet, entry, gate):
    """Waits until an entry's requests go to the gate at another entry."""
    async with asyncio.timeout(10.0):
        while True:
            await fleet.send(entry, "/item/", request_id="gate")
            lines = [line for line in entry.read_log() if line.get("sent_to")]
            if lines[-1]["sent_to"].endswith(f" by {gate.name}"):
                return
            await asyncio.sleep(0.1)


async def finish_download(reader, writer):
    """Reads a response; returns its status and whether it is whole."""
    try:
        status, named = await read_head(reader)
        body = b""
        if status == 200:
            body = await reader.readexactly(int(named["content-length"]))
    finally:
        writer.close()
    return status, body == b"x" * STALLED_SIZE


async def test_callers_that_read_slowly(tmp_path):
    """Guards against memory without a bound, and responses that servers cut off.

    The callers stall for longer than servers wait. Each gets a whole response then, or
    was told that its request was not run.
    """
    fleet = PlatformFleet(tmp_path, servers=("east",) * 2)
    for entry in fleet.entries:
        entry.settings["clientLimits"] = {"memoryMb": BUDGET_MEGABYTES}
    async with fleet:
        for server in fleet.servers:
            server.body_size = STALLED_SIZE
        await warm_up(fleet)
        before = [read_resident(entry) for entry in fleet.entries]
        opened = []
        for number in range(CALLERS):
            entry = fleet.entries[number % 2]
            opened.append(await open_download(entry, f"slow-{number}", is_slow=True))
        growth = 0
        for _ in range(30):
            await asyncio.sleep(STALL_TIME / 30)
            for entry, size in zip(fleet.entries, before, strict=True):
                growth = max(growth, read_resident(entry) - size)
        print("resident before", before, "growth", growth)
        ordinary = await fleet.send(fleet.entries[0], "/item/", request_id="ordinary")
        results = await asyncio.gather(*(finish_download(*item) for item in opened))
        unread = sum(server.unread for server in fleet.servers)
        statuses = Counter(status for status, _ in results)
        print("statuses", statuses, "unread", unread, "ordinary", ordinary)
        assert ordinary == 200
        assert unread == 0
        assert growth <= MAX_GROWTH
        for status, is_whole in results:
            assert status == 503 or (status == 200 and is_whole)
        assert sum(is_whole for _, is_whole in results) > 0


@pytest.mark.parametrize("is_chunked", [False, True])
async def test_gate_fails_in_the_middle(tmp_path, is_chunked):
    """Guards against a part that looks complete, and a server that goes on for nobody.

    The gate of the only server is at the entry in its failure domain, once the other
    one knows of it. Only the gate's entry has learned that the responses are large, as
    the other one would send the request itself.
    """
    async with PlatformFleet(
        tmp_path, entries=("west", "east"), servers=("east",)
    ) as fleet:
        (server,) = fleet.servers
        server.body_size = SIZE
        await warm_up(fleet, fleet.entries[1:])
        await wait_for_gate(fleet, fleet.entries[0], fleet.entries[1])
        server.is_chunked = is_chunked
        server.part_delay = 0.05
        reader, writer = await open_download(fleet.entries[0], "cut")
        status, named = await read_head(reader)
        assert status == 200
        assert ("content-length" in named) != is_chunked
        received = await reader.readexactly(4 * 16_384)
        fleet.entries[1].process.send_signal(signal.SIGKILL)
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(10.0):
                while part := await reader.read(65_536):
                    received += part
        writer.close()
        assert len(received) < SIZE
        assert not received.endswith(b"0\r\n\r\n")
        await wait_until_abandoned(server, 1)


async def test_caller_leaves_in_the_middle(tmp_path):
    """Guards against a server that sends the rest of a response to nobody."""
    async with PlatformFleet(
        tmp_path, entries=("west", "east"), servers=("east",)
    ) as fleet:
        (server,) = fleet.servers
        server.body_size = SIZE
        await warm_up(fleet)
        server.part_delay = 0.05
        for count, entry in enumerate(fleet.entries, start=1):
            reader, writer = await open_download(entry, f"leaving-{count}")
            assert (await read_head(reader))[0] == 200
            await reader.readexactly(16_384)
            writer.transport.abort()
            await wait_until_abandoned(server, count)


async def wait_until_abandoned(server, count):
    async with asyncio.timeout(10.0):
        while server.abandoned < count:
            await asyncio.sleep(0.05)


async def test_callers_share_a_slow_link(tmp_path):
    """Guards against a response that is cut or never sent where the link is shared.

    One caller stalls; the others, with deadlines of 20 s, must not wait for it.
    """
    fleet = PlatformFleet(tmp_path, servers=("east",) * 2)
    for entry in fleet.entries:
        entry.settings["limits"] = {"linkMbps": 12}
    async with fleet:
        for server in fleet.servers:
            server.body_size = STALLED_SIZE
        await warm_up(fleet)
        entry = fleet.entries[0]
        stalled = await open_download(entry, "stalled", is_slow=True)
        opened = [await open_download(entry, f"other-{n}") for n in range(4)]
        results = await asyncio.gather(*(finish_download(*item) for item in opened))
        assert results == [(200, True)] * 4
        assert await finish_download(*stalled) == (200, True)
        assert sum(server.unread for server in fleet.servers) == 0
