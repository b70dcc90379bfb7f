"""Real processes of an announced fleet on loopback addresses, and stand-in servers.

Ports are the same on all machines of a fleet, so each process has its own address.
"""

import asyncio
import contextlib
import itertools
import json
import os
import subprocess
import sys
import time
from pathlib import Path

import aiohttp

CONTROL_PORT = 8407
FRONT_PORT = 8405
READINESS_PORT = 8406
INTERNAL_PORT = 7660
SERVER_PORT = 8105
HEARTBEAT_INTERVAL = 0.4  # seconds
START_TIMEOUT = 20.0  # seconds
STOP_TIMEOUT = 10.0  # seconds
POLL_INTERVAL = 0.05  # seconds
SERVICE = "desk"
HOST_HEADER = "lights.example"
WORKSPACE_KEY = "key-of-the-counter"

_networks = itertools.count(1)
_boots = itertools.count(int(time.time() * 1000))


class Node:
    """One process of the system."""

    def __init__(self, *, folder, name, role, ip, zone, seeds):
        self.name = name
        self.role = role
        self.ip = ip
        self.folder = folder / name
        self.folder.mkdir()
        (self.folder / "data").mkdir()
        if role == "control":
            listen = {"control": f"{ip}:{CONTROL_PORT}"}
        else:
            listen = {
                "front": f"{ip}:{FRONT_PORT}",
                "readiness": f"{ip}:{READINESS_PORT}",
            }
        self.settings = {
            "nodeName": name,
            "zone": zone,
            "ip": ip,
            "listen": listen,
            "internalPortRange": [INTERNAL_PORT, INTERNAL_PORT + 15],
            "seeds": [f"{seed}:{CONTROL_PORT}" for seed in seeds],
            "bootstrap": True,
            "dataDir": str(self.folder / "data"),
            "heartbeat": f"{HEARTBEAT_INTERVAL}s",
            "bounds": ["grace=6s", "strictRevoke=true", "revoke=5000ms"],
        }
        self.process = None

    def start(self):
        path = self.folder / "node.json"
        path.write_text(json.dumps(self.settings))
        source = Path(__file__).parent.parent / "src"
        environment = {
            **os.environ,
            "MONSOONLUG_NODE_FILE": str(path),
            "PYTHONPATH": str(source),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "monsoonlug.platform", self.role],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def stop(self):
        if self.process is None:
            return
        self.process.terminate()
        try:
            self.process.wait(STOP_TIMEOUT)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()

    def read_log(self):
        lines = []
        for line in (self.folder / "log").read_text().splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines


class StandInServer:
    """A backend server that registers itself and answers with the request's id.

    It crashes when it gets a request whose path or body is in `deadly`, and is back
    after a while as a new process at the same address.

    Attributes:
        arrivals: Time, path and body of each request.
        crashes: Times of the crashes.
    """

    def __init__(self, *, ip, zone, control, service_time=0.01, downtime=1.0):
        self.address = f"{ip}:{SERVER_PORT}"
        self.zone = zone
        self.control = control
        self.service_time = service_time
        self.downtime = downtime
        self.deadly = set()
        self.arrivals = []
        self.crashes = []
        self.extra_headers = {}
        self._writers = set()
        self._tasks = set()

    async def start(self):
        self.born = next(_boots)
        self.name = f"i-{self.born}"
        self._sequence = 0
        host, port = self.address.split(":")
        self._listener = await asyncio.start_server(self._serve, host, int(port))
        self._spawn(self._beat())

    async def stop(self):
        for task in list(self._tasks):
            task.cancel()
        await self._close()

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _close(self):
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _crash(self):
        self.crashes.append(time.monotonic())
        self.born = 0
        await self._close()
        await asyncio.sleep(self.downtime)
        await self.start()

    async def _beat(self):
        born = self.born
        async with aiohttp.ClientSession() as session:
            while self.born == born:
                self._sequence += 1
                body = {
                    "service": SERVICE,
                    "address": self.address,
                    "zone": self.zone,
                    "version": "v1",
                    "capacity": 2,
                    "state": "ready",
                    "warmupLeft": "0ms",
                    "sequence": self._sequence,
                    "born": born,
                    "holds": [],
                    "freed": [],
                }
                url = f"http://{self.control}:{CONTROL_PORT}"
                path = f"/monsoonlug/Instances.Heartbeat/{self.name}"
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    async with session.post(url + path, json=body, timeout=1.0):
                        pass
                await asyncio.sleep(HEARTBEAT_INTERVAL)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while await self._answer(reader, writer):
                pass
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        path = head.split(" ", 2)[1]
        named = {}
        for line in head.split("\r\n")[1:]:
            name, _, value = line.partition(":")
            named[name.lower()] = value.strip()
        body = await _read_body(reader, named)
        self.arrivals.append((time.monotonic(), path, body))
        if path in self.deadly or body in self.deadly:
            self._spawn(self._crash())
            return False
        await asyncio.sleep(self.service_time)
        request_id = named.get("x-monsoonlug-request-id", "")
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Monsoonlug-Request-Id: {request_id}",
            f"X-Monsoonlug-Server-Stamp: {self.name}",
            f"Content-Length: {len(path)}",
        ]
        lines += [f"{name}: {value}" for name, value in self.extra_headers.items()]
        writer.write("\r\n".join([*lines, "", path]).encode())
        await writer.drain()
        return True


async def _read_body(reader, named):
    if "content-length" in named:
        return await reader.readexactly(int(named["content-length"]))
    body = b""
    if named.get("transfer-encoding") == "chunked":
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    return body


class PlatformFleet:
    """One control replica, entries and stand-in servers of one pool without keys."""

    def __init__(self, folder, *, entries=2, servers=4, **server_options):
        network = f"127.{64 + os.getpid() % 128}.{next(_networks) % 256}"
        control = f"{network}.1"
        self.control = Node(
            folder=folder,
            name="control-1",
            role="control",
            ip=control,
            zone="east",
            seeds=[control],
        )
        self.entries = []
        for number in range(entries):
            node = Node(
                folder=folder,
                name=f"entry-{number + 1}",
                role="entry",
                ip=f"{network}.{10 + number}",
                zone="east",
                seeds=[control],
            )
            self.entries.append(node)
        self.servers = []
        for number in range(servers):
            server = StandInServer(
                ip=f"{network}.{100 + number}",
                zone="east",
                control=control,
                **server_options,
            )
            self.servers.append(server)

    async def __aenter__(self):
        for node in (self.control, *self.entries):
            node.start()
        self.session = aiohttp.ClientSession()
        for server in self.servers:
            await server.start()
        await self._configure()
        for entry in self.entries:
            await self._wait_until_ready(entry)
        return self

    async def __aexit__(self, *error):
        await self.session.close()
        for server in self.servers:
            await server.stop()
        for node in (*self.entries, self.control):
            await asyncio.to_thread(node.stop)

    async def send(self, entry, path, *, request_id, body=None, deadline=1.0, key=None):
        """Sends a request; returns the status, or None if the connection was lost."""
        headers = {
            "Host": HOST_HEADER,
            "Authorization": f"Bearer {key or WORKSPACE_KEY}",
            "X-Monsoonlug-Request-Id": request_id,
            "X-Monsoonlug-Deadline-Ms": str(round(1000 * deadline)),
        }
        try:
            async with self.session.request(
                "GET" if body is None else "POST",
                f"http://{entry.ip}:{FRONT_PORT}{path}",
                headers=headers,
                data=body,
                timeout=aiohttp.ClientTimeout(total=deadline + 1.0),
            ) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def _configure(self):
        version = {"version": "00000001"}
        route = {
            "host": HOST_HEADER,
            "pathPrefix": "/",
            "type": "safe",
            "timeout": "2000ms",
            "targetLatency": "600ms",
            "priority": 1,
            "service": SERVICE,
            "maxAttempts": 2,
            "public": False,
        }
        service = {
            "healthPath": "/healthz",
            "maxConnections": 100,
            "protocol": "h1",
            "tls": False,
            "warmup": "0s",
            "warmupPerS": 1000.0,
        }
        tenant = {"apiKeys": [WORKSPACE_KEY], "priority": 1}
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        }
        resources = []
        for kind, name, spec in (
            ("routes", "r-1", route),
            ("services", SERVICE, service),
            ("tenants", "counter", tenant),
            ("limits", "", limits),
        ):
            metadata = version | ({"name": name} if name else {})
            resources.append({"resourceType": kind, "metadata": metadata, "spec": spec})
        patch = {"upsert": {"resources": resources}, "remove": {}}
        url = f"http://{self.control.ip}:{CONTROL_PORT}/monsoonlug/Config.Patch"
        until = time.monotonic() + START_TIMEOUT
        while time.monotonic() < until:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with self.session.post(url, json=patch, timeout=1.0) as response:
                    if response.status == 200:
                        return
            await asyncio.sleep(POLL_INTERVAL)
        raise AssertionError("control did not take the configuration")

    async def _wait_until_ready(self, entry):
        until = time.monotonic() + START_TIMEOUT
        number = itertools.count()
        while time.monotonic() < until:
            request_id = f"ready-{entry.name}-{next(number)}"
            if await self.send(entry, "/ready", request_id=request_id) == 200:
                return
            await asyncio.sleep(POLL_INTERVAL)
        raise AssertionError(f"{entry.name} serves nothing")
