"""Tests with clients whose bytes wait unread, as their earlier requests still run.

Bytes that have arrived count towards the memory of a host before a process reads them,
also on connections that it has not accepted. Each test checks that resident memory and
unread bytes together stay within the memory of the host, that the process is still
running, and that it answers one ordinary request afterwards.
"""

import asyncio
import contextlib
from pathlib import Path

import pytest

from tests.client_crowds import Crowd, Form, UsageSampler, wait_until
from tests.platform_fleet import (
    CONTROL_PORT,
    FRONT_PORT,
    HOST_HEADER,
    READINESS_PORT,
    WORKSPACE_KEY,
)
from tests.test_clients import REQUEST_TIMEOUT, SmallHosts, build_head

MEMORY_MB = 96
MAX_DESCRIPTORS = 800
CLIENTS = 400  # half of the descriptors
# Requests to it wait for the first server of its pool.
EMPTY_SERVICE = "empty"
EMPTY_PREFIX = "/empty/"
FILL_TIME = 6.0  # seconds for which the clients send as much as is taken
BLOCK = 8_192  # bytes


class UnreadSampler(UsageSampler):
    """Adds the bytes that wait unread at any port of a process.

    Args:
        pid: Id of the process.
        ip: Address of the process, which no other process has.
    """

    def __init__(self, pid, ip):
        super().__init__(pid)
        parts = reversed(ip.split("."))
        self._address = "".join(f"{int(part):02X}" for part in parts)
        self.most = 0.0
        self.unread = 0.0

    def sample(self):
        super().sample()
        with contextlib.suppress(OSError):
            status = (self._folder / "status").read_text()
            resident = 0
            for line in status.splitlines():
                if line.startswith("VmRSS:"):
                    resident = int(line.split()[1]) / 1024
            unread = self._count_unread() / 1_048_576
            if resident + unread > self.most:
                self.most, self.unread = resident + unread, unread

    def _count_unread(self):
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            is_listening = fields[3] == "0A"
            if fields[1].startswith(self._address) and not is_listening:
                total += int(fields[4].split(":")[1], 16)
        return total


def build_requests(port, count):
    """Returns requests that a process works on for as long as it can."""
    if port != "front":
        return (build_head(port) + b"\r\n") * count
    lines = [
        f"GET {EMPTY_PREFIX}x HTTP/1.1",
        f"Host: {HOST_HEADER}",
        f"Authorization: Bearer {WORKSPACE_KEY}",
        "X-Monsoonlug-Deadline-Ms: 5000",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() * count


def build_forms(port):
    requests = build_requests(port, 8)
    head = build_head(port)
    return {
        "head": Form(
            clients=CLIENTS, start=requests + head, block=b"X-A: b\r\n" * 1_024
        ),
        "line": Form(clients=CLIENTS, start=requests + head, block=b"y" * BLOCK),
        "empty-lines": Form(clients=CLIENTS, start=requests, block=b"\r\n" * 4_096),
        "requests": Form(
            clients=CLIENTS, start=requests, block=build_requests(port, 50)
        ),
    }


PORTS = {
    "front": ("entry", FRONT_PORT),
    "readiness": ("entry", READINESS_PORT),
    "control": ("control", CONTROL_PORT),
}


class FillingCrowd(Crowd):
    """Clients that send as much as the process, or its kernel, takes."""

    async def run(self):
        clients = [self._run_client() for _ in range(self._form.clients)]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FILL_TIME):
                await asyncio.gather(*clients)

    async def _send(self, loop, connection):
        await loop.sock_sendall(connection, self._form.start)
        while True:
            await loop.sock_sendall(connection, self._form.block)


class UnreadHosts(SmallHosts):
    """Hosts with more descriptors, and a service without servers."""

    def __init__(self, folder):
        super().__init__(folder)
        for node in (*self.controls, *self.entries):
            node.settings["limits"] = {
                "memoryMb": MEMORY_MB,
                "maxFds": MAX_DESCRIPTORS,
            }

    async def add_empty_service(self):
        version = {"version": "00000002"}
        service = {
            "healthPath": "/healthz",
            "maxConnections": 100,
            "protocol": "h1",
            "tls": False,
        }
        route = {
            "host": HOST_HEADER,
            "pathPrefix": EMPTY_PREFIX,
            "type": "safe",
            "timeout": "5000ms",
            "targetLatency": "3000ms",
            "priority": 1,
            "service": EMPTY_SERVICE,
            "maxAttempts": 1,
            "public": False,
        }
        resources = []
        for kind, name, spec in (
            ("services", EMPTY_SERVICE, service),
            ("routes", "r-empty", route),
        ):
            metadata = version | {"name": name}
            resources.append({"resourceType": kind, "metadata": metadata, "spec": spec})
        await self.patch(resources, {})


@pytest.mark.parametrize("name", build_forms("front"))
@pytest.mark.parametrize("port", PORTS)
async def test_unread_bytes_fit_into_memory(tmp_path, port, name):
    """Guards against clients that fill the memory of a host with bytes not yet read."""
    role, number = PORTS[port]
    async with UnreadHosts(tmp_path) as fleet:
        await fleet.set_limits()
        await fleet.add_empty_service()
        node = fleet.get_node(role)
        crowd = FillingCrowd((node.ip, number), build_forms(port)[name])
        try:
            async with UnreadSampler(node.process.pid, node.ip) as sampler:
                await crowd.run()
        finally:
            crowd.close()
        answered = await wait_until(
            lambda: fleet.is_answered(port), timeout=REQUEST_TIMEOUT
        )
        usage = sampler.usage
        seen = (
            f"{sampler.most:.0f} MB, of these {sampler.unread:.0f} MB unread, "
            f"{usage.descriptors} descriptors"
        )
        print(seen)  # pytest -rP shows it for tests that passed
        assert node.process.poll() is None, f"the process ended; {seen}"
        assert sampler.most <= MEMORY_MB, seen
        assert usage.descriptors <= MAX_DESCRIPTORS, seen
        assert answered, f"no answer to an ordinary request; {seen}"
