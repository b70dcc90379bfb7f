"""Tests with clients that exceed the limits, at each port of real processes.

Each test starts a crowd at one port and checks that the process is still running, that
its resident memory and open descriptors stayed within the limits of its host, and that
it answers one ordinary request afterwards, while the crowd is still connected.
"""

import asyncio

import aiohttp
import pytest

from monsoonlug.exceptions import MonsoonlugError
from monsoonlug.fleet_messages import Ping, Pong
from monsoonlug.messages import MAX_FRAME_BYTES
from monsoonlug.streams import connect
from tests.client_crowds import Crowd, Form, UsageSampler, wait_until
from tests.platform_fleet import (
    CONTROL_PORT,
    FRONT_PORT,
    HOST_HEADER,
    INTERNAL_PORT,
    READINESS_PORT,
    WORKSPACE_KEY,
    PlatformFleet,
)

METRICS_PORT = 9464
# The host of the processes: far smaller than in operation, so that few clients suffice.
MEMORY_MB = 96
MAX_DESCRIPTORS = 300
HEAD_BYTES = 4_096
LIMITS = {
    "maxHeaderBytes": HEAD_BYTES,
    "maxBodyBytes": 67108864,
    "headerTimeout": "3000ms",
    "idleTimeout": "15000ms",
}
REQUEST_TIMEOUT = 20.0  # seconds; not a bound on the time that a request takes
MANY = 350  # connections, more than the host has descriptors
FEW = 8
BYTES = 8 * 1_048_576  # sent by one client at most

PATHS = {
    "front": "/x",
    "readiness": "/monsoonlug/readyz",
    "metrics": "/metrics",
    "control": "/monsoonlug/Config.Get",
    "control-metrics": "/metrics",
}
BODY_PATHS = {"front": "/orders/x", "control": "/monsoonlug/Config.Patch"}


def build_head(port, method="GET", headers=()):
    path = PATHS[port] if method == "GET" else BODY_PATHS.get(port, PATHS[port])
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST_HEADER}",
        f"Authorization: Bearer {WORKSPACE_KEY}",
        *headers,
    ]
    return "".join(f"{line}\r\n" for line in lines).encode()


def build_forms(port):
    """Returns the forms by name."""
    head = build_head(port)
    request = head + b"\r\n"
    chunked = build_head(port, "POST", ["Transfer-Encoding: chunked"]) + b"\r\n"
    slow = build_head(port, "POST", ["Content-Length: 60000"]) + b"\r\n"
    large = build_head(port, "POST", ["Content-Length: 30000000"]) + b"\r\n"
    field = b"X-Field: " + b"y" * 8_000 + b"\r\n"
    blank = b"\r\n" * 2_048
    filler = b"y" * 4_096
    return {
        # An endless head.
        "long-line": Form(
            clients=FEW, start=head + b"X-Long: ", block=filler, times=BYTES // 4_096
        ),
        "short-lines": Form(
            clients=FEW, start=head, block=b"X-A: b\r\n" * 500, times=BYTES // 4_000
        ),
        "many-fields": Form(clients=80, start=head, block=field, times=120),
        "endless-target": Form(
            clients=FEW, start=b"GET /", block=filler, times=BYTES // 4_096
        ),
        "slow-head": Form(
            clients=MANY, start=head + b"X-Slow: ", block=b"y", times=10, pause=0.3
        ),
        # Empty lines before a request.
        "empty-lines": Form(clients=FEW, block=blank, times=BYTES // len(blank)),
        "slow-empty-lines": Form(clients=MANY, block=b"\r\n", times=10, pause=0.3),
        "empty-lines-after-request": Form(
            clients=FEW, start=request, block=blank, times=BYTES // len(blank)
        ),
        "slow-empty-lines-after-request": Form(
            clients=MANY, start=request, block=b"\r\n", times=10, pause=0.3
        ),
        # A body that never ends.
        "chunk-size": Form(
            clients=FEW, start=chunked, block=b"0" * 4_096, times=BYTES // 4_096
        ),
        "chunk-extension": Form(
            clients=FEW, start=chunked + b"1;", block=filler, times=BYTES // 4_096
        ),
        "trailer": Form(
            clients=80, start=chunked + b"1\r\nx\r\n0\r\n", block=field, times=120
        ),
        "slow-body": Form(
            clients=MANY, start=slow + b"b" * 50_000, block=b"b", times=10, pause=0.3
        ),
        "large-body": Form(clients=FEW, start=large, block=filler, times=6_000),
        # Silence.
        "half-heads": Form(clients=MANY, start=head),
        "half-heads-after-request": Form(clients=MANY, start=request + head),
        "idle": Form(clients=MANY),
        "idle-after-request": Form(clients=MANY, start=request),
        # Responses that are not read.
        "pipelining": Form(clients=FEW, start=request * 1_000),
    }


FRAME_LENGTH = MAX_FRAME_BYTES.to_bytes(4, "big")
STREAM_FORMS = {
    "idle": Form(clients=MANY),
    "half-length": Form(clients=MANY, start=b"\0\0"),
    "large-first-frame": Form(
        clients=100, start=FRAME_LENGTH, block=b"y" * 65_536, times=15
    ),
    "slow-first-frame": Form(
        clients=MANY, start=FRAME_LENGTH, block=b"y", times=10, pause=0.3
    ),
}
PORTS = {
    "front": ("entry", FRONT_PORT),
    "readiness": ("entry", READINESS_PORT),
    "metrics": ("entry", METRICS_PORT),
    "control": ("control", CONTROL_PORT),
    "control-metrics": ("control", METRICS_PORT),
}
# The readiness and metrics ports have no bodies of their own.
SHORT_LIST = (
    "many-fields",
    "empty-lines",
    "slow-head",
    "chunk-extension",
    "trailer",
    "slow-body",
    "large-body",
    "half-heads",
    "idle",
    "pipelining",
)


def list_rows():
    for port in PORTS:
        for form in build_forms(port):
            if port in BODY_PATHS or form in SHORT_LIST:
                yield port, form


class SmallHosts(PlatformFleet):
    """One control replica, one entry and one server, on hosts with low limits."""

    def __init__(self, folder):
        super().__init__(folder, controls=1, entries=("east",), servers=("east",))
        for node in (*self.controls, *self.entries):
            node.settings["limits"] = {
                "memoryMb": MEMORY_MB,
                "maxFds": MAX_DESCRIPTORS,
            }

    def get_node(self, role):
        return self.entries[0] if role == "entry" else self.controls[0]

    async def __aexit__(self, *error):
        # A graceful stop takes seconds, and no test of this file looks at it.
        for node in (*self.entries, *self.controls):
            node.process.kill()
        await super().__aexit__(*error)

    async def set_limits(self):
        resource = {
            "resourceType": "limits",
            "metadata": {"version": "00000002"},
            "spec": LIMITS,
        }
        patch = {"upsert": {"resources": [resource]}, "remove": {}}
        url = f"http://{self.controls[0].ip}:{CONTROL_PORT}/monsoonlug/Config.Patch"
        async with self.session.post(url, json=patch) as response:
            assert response.status == 200

    async def is_answered(self, port):
        """Returns whether one ordinary request on a new connection is answered."""
        role, number = PORTS[port]
        url = f"http://{self.get_node(role).ip}:{number}{PATHS[port]}"
        headers = {
            "Host": HOST_HEADER,
            "Authorization": f"Bearer {WORKSPACE_KEY}",
            "X-Monsoonlug-Request-Id": "ordinary",
            "Connection": "close",
        }
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.get(url, headers=headers) as response:
                    await response.read()
                    return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def is_stream_answered(self, role):
        """Returns whether a new stream is accepted, and a ping on it is answered."""
        address = f"{self.get_node(role).ip}:{INTERNAL_PORT}"
        try:
            stream = await connect(address, role="entry", sender="ordinary")
        except (OSError, MonsoonlugError):
            return False
        try:
            if role == "control":
                return True
            stream.send(Ping(number=1))
            async with asyncio.timeout(REQUEST_TIMEOUT):
                return isinstance(await stream.receive(), Pong)
        except (TimeoutError, MonsoonlugError):
            return False
        finally:
            stream.close()


async def check_crowd(tmp_path, role, number, form, is_answered):
    async with SmallHosts(tmp_path) as fleet:
        await fleet.set_limits()
        node = fleet.get_node(role)
        crowd = Crowd((node.ip, number), form)
        try:
            async with UsageSampler(node.process.pid) as sampler:
                await crowd.run()
            answered = await wait_until(
                lambda: is_answered(fleet), timeout=REQUEST_TIMEOUT
            )
        finally:
            crowd.close()
        usage = sampler.usage
        seen = f"{usage.memory:.0f} MB, {usage.descriptors} descriptors"
        print(seen)  # pytest -rP shows it for tests that passed
        assert node.process.poll() is None, f"the process ended; {seen}"
        assert usage.memory <= MEMORY_MB, seen
        assert usage.descriptors <= MAX_DESCRIPTORS, seen
        assert answered, f"no answer to an ordinary request; {seen}"


@pytest.mark.parametrize(("port", "name"), list(list_rows()))
async def test_process_survives_clients(tmp_path, port, name):
    """Guards against clients that take all memory or descriptors of a process."""
    role, number = PORTS[port]
    await check_crowd(
        tmp_path,
        role,
        number,
        build_forms(port)[name],
        lambda fleet: fleet.is_answered(port),
    )


@pytest.mark.parametrize("role", ["entry", "control"])
@pytest.mark.parametrize("name", STREAM_FORMS)
async def test_process_survives_streams(tmp_path, role, name):
    """Guards against peers that take all memory or descriptors before a handshake."""
    await check_crowd(
        tmp_path,
        role,
        INTERNAL_PORT,
        STREAM_FORMS[name],
        lambda fleet: fleet.is_stream_answered(role),
    )
