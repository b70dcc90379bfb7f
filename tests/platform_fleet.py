"""Real processes of an announced fleet on loopback addresses, and stand-in servers.

Ports are the same on all machines of a fleet, so each process has its own address.
"""

import asyncio
import contextlib
import itertools
import json
import os
import socket
import subprocess
import sys
import time
from dataclasses import dataclass
from enum import Enum
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
UNSAFE_PREFIX = "/orders/"
DOWNLOAD_PREFIX = "/files/"
LARGE_PART = 16_384  # bytes that a server writes at a time
WORKSPACE_KEY = "key-of-the-counter"

_networks = itertools.count(1)
_boots = itertools.count(int(time.time() * 1000))


class Node:
    """One process of the system.

    Attributes:
        addresses: For an entry, proxies to use in place of servers' addresses.
    """

    def __init__(self, *, folder, name, role, ip, zone, seeds):
        self.name = name
        self.role = role
        self.zone = zone
        self.addresses = {}
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
        root = Path(__file__).parent.parent
        environment = {
            **os.environ,
            "MONSOONLUG_NODE_FILE": str(path),
            "PYTHONPATH": f"{root / 'src'}:{root}",
        }
        command = ["monsoonlug.platform", self.role]
        if self.addresses:
            proxies = self.folder / "proxies.json"
            proxies.write_text(json.dumps(self.addresses))
            command = ["tests.proxied_entry", str(proxies)]
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *command],
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


@dataclass(frozen=True, kw_only=True)
class Contact:
    """A request at a server.

    Attributes:
        born: Start time of the server's process.
        peer: IP address of the sender.
        rest: Seconds of rest that the server asked for instead of running the request.
        is_leaving: Whether the response says that the server shuts down.
    """

    at: float
    born: int
    request_id: str
    peer: str
    rest: float
    is_leaving: bool


class StandInServer:
    """A backend server that registers itself and answers with the request's id.

    It crashes when it gets a request whose path or body is in `deadly`, and is back
    after a while as a new process at the same address.

    Attributes:
        arrivals: Time, path and body of each request.
        heads: Head of each request, as it was received.
        contacts: Each request as a `Contact`.
        rest: Seconds of rest that it asks for with each request that it turns away; 0
            while it accepts requests.
        raw_answer: Bytes that it sends in place of each answer, with ID for the id of
            the request, before it closes the connection; or None.
        crashes: Times of the crashes.
        version: Software version in its heartbeats.
        body_size: Bytes of the bodies on the route for downloads.
        part_delay: Seconds between two parts of such a body.
        patience: Seconds after which a response that is not read is cut off.
        is_chunked: Whether such a body has no declared length.
        unread: Number of responses that were cut off for that reason.
        abandoned: Number of such responses whose connection was lost.
    """

    version = "v1"

    def __init__(
        self, *, ip, zone, controls, service_time=0.01, downtime=1.0, keyed=False
    ):
        self.keyed = keyed
        self.held = []
        self.address = f"{ip}:{SERVER_PORT}"
        self.zone = zone
        self.controls = itertools.cycle(controls)
        self.control = next(self.controls)
        self.contacts = []
        self.service_time = service_time
        self.downtime = downtime
        self.deadly = set()
        self.arrivals = []
        self.heads = []
        self.crashes = []
        self.extra_headers = {}
        self.rest = 0.0
        self.raw_answer = None
        self.body_size = 0
        self.part_delay = 0.0
        self.patience = 1.0
        self.is_chunked = False
        self.unread = 0
        self.abandoned = 0
        self._writers = set()
        self._tasks = set()

    async def start(self):
        self.born = next(_boots)
        self.name = f"i-{self.born}"
        self._sequence = 0
        self.held = []
        self._freed = []
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

    async def crash(self):
        """Ends the process and starts it again at the same address."""
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
                    "version": self.version,
                    "capacity": 2,
                    "state": "ready",
                    "warmupLeft": "0ms",
                    "sequence": self._sequence,
                    "born": born,
                    "holds": [row[:3] for row in self.held],
                    "freed": [[*row[:2], "token"] for row in self._freed],
                }
                url = f"http://{self.control}:{CONTROL_PORT}"
                path = f"/monsoonlug/Instances.Heartbeat/{self.name}"
                try:
                    async with session.post(
                        url + path, json=body, timeout=1.0
                    ) as response:
                        if response.status == 200:
                            self._freed = []
                            self._hold(await response.json())
                        else:
                            self.control = next(self.controls)
                except (aiohttp.ClientError, TimeoutError):
                    self.control = next(self.controls)
                await asyncio.sleep(0.1 if self._freed else HEARTBEAT_INTERVAL)

    def _hold(self, answer):
        """Takes the ranges of an answer and releases what it leaves out."""
        granted = answer.get("holds")
        if granted is None:
            return
        for start, end, *_ in self.held:
            at = start
            for first, last, *_ in sorted(granted):
                if last < at or first > end:
                    continue
                if first > at:
                    self._freed.append([at, first - 1])
                at = last + 1
            if at <= end:
                self._freed.append([at, end])
        self.held = granted

    def _holds_key(self, key):
        return any(start <= key <= end for start, end, *_ in self.held)

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
        request_id = named.get("x-monsoonlug-request-id", "")
        key = int(named.get("x-monsoonlug-shard-key", 0))
        if self.keyed and not self._holds_key(key):
            writer.write(
                "HTTP/1.1 421 Misdirected\r\nX-Monsoonlug-Not-Executed: 1\r\n"
                f"X-Monsoonlug-Request-Id: {request_id}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        self.arrivals.append((time.monotonic(), path, body))
        self.heads.append(head)
        contact = Contact(
            at=time.monotonic(),
            born=self.born,
            request_id=request_id,
            peer=writer.get_extra_info("peername")[0],
            rest=self.rest,
            is_leaving="Server-Leaving" in self.extra_headers,
        )
        self.contacts.append(contact)
        if self.rest:
            lines = [
                "HTTP/1.1 503 Resting",
                "X-Monsoonlug-Not-Executed: 1",
                f"X-Monsoonlug-Request-Id: {request_id}",
                f"Retry-After: {self.rest}",
                "Content-Length: 0",
            ]
            writer.write("\r\n".join([*lines, "", ""]).encode())
            return True
        if path in self.deadly or body in self.deadly:
            self._spawn(self.crash())
            return False
        await asyncio.sleep(self.service_time)
        if self.raw_answer is not None:
            writer.write(self.raw_answer.replace(b"ID", request_id.encode()))
            await writer.drain()
            # The router reads what was sent before the connection ends.
            await asyncio.sleep(self.service_time)
            return False
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Monsoonlug-Request-Id: {request_id}",
            f"X-Monsoonlug-Server-Stamp: {self.name}",
        ]
        if self.body_size and path.startswith(DOWNLOAD_PREFIX):
            return await self._answer_large(writer, lines)
        lines.append(f"Content-Length: {len(path)}")
        lines += [f"{name}: {value}" for name, value in self.extra_headers.items()]
        writer.write("\r\n".join([*lines, "", path]).encode())
        await writer.drain()
        return True

    async def _answer_large(self, writer, lines):
        """Sends a large body as fast as it is read; cuts it off if it is not."""
        framing = f"Content-Length: {self.body_size}"
        if self.is_chunked:
            framing = "Transfer-Encoding: chunked"
        writer.write("\r\n".join([*lines, framing, "", ""]).encode())
        writer.transport.set_write_buffer_limits(high=LARGE_PART)
        # The kernel would take a whole response, and nobody would notice a slow reader.
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, LARGE_PART)
        try:
            for start in range(0, self.body_size, LARGE_PART):
                part = b"x" * min(LARGE_PART, self.body_size - start)
                if self.is_chunked:
                    part = f"{len(part):x}\r\n".encode() + part + b"\r\n"
                writer.write(part)
                async with asyncio.timeout(self.patience):
                    await writer.drain()
                await asyncio.sleep(self.part_delay)
            if self.is_chunked:
                writer.write(b"0\r\n\r\n")
            await writer.drain()
        except TimeoutError:
            self.unread += 1
            writer.transport.abort()
            return False
        except ConnectionError:
            self.abandoned += 1
            return False
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


class Cut(Enum):
    """How a proxy partitions an entry from a server."""

    SILENT = "connections hang, and so do new ones"
    RESET = "connections are reset and new ones refused"
    REFUSE_NEW = "connections live on and new ones are refused"


class CutProxy:
    """Forwards the connections of one entry to one server, until it is cut.

    Args:
        address: Address on which it listens.
        target: Address of the server.
        source: IP address of the entry, from which it connects to the server.
    """

    def __init__(self, *, address, target, source):
        self.address = address
        self._source = source
        self._target = target
        self._cut = None
        self._flowing = asyncio.Event()
        self._flowing.set()
        self._writers = set()
        self._fillers = []

    async def start(self):
        host, port = self.address.split(":")
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host, int(port)))
        self._socket.listen(0 if self._cut is Cut.SILENT else 100)
        self._listener = None
        if self._cut is Cut.SILENT:
            # Once the queue of connections is full, the kernel drops further SYNs.
            for _ in range(2):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex((host, int(port)))
                self._fillers.append(filler)
            return
        self._listener = await asyncio.start_server(self._serve, sock=self._socket)

    async def cut(self, how):
        self._cut = how
        self._close_listener()
        if how is Cut.SILENT:
            self._flowing.clear()
            await self.start()
        if how is Cut.RESET:
            self._abort()

    async def heal(self):
        if self._cut is Cut.SILENT:
            self._close_listener()
            # What was held up is lost, as after a partition of some seconds.
            self._abort()
            self._flowing.set()
        self._cut = None
        await self.start()

    def stop(self):
        self._close_listener()
        self._abort()

    def _close_listener(self):
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        if self._listener is not None:
            self._listener.close()
        self._socket.close()

    def _abort(self):
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        host, port = self._target.split(":")
        try:
            remote_reader, remote_writer = await asyncio.open_connection(
                host, port, local_addr=(self._source, 0)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, remote_writer}
        try:
            await asyncio.gather(
                self._pump(reader, remote_writer), self._pump(remote_reader, writer)
            )
        except OSError:
            return
        finally:
            for item in (writer, remote_writer):
                self._writers.discard(item)
                item.transport.abort()

    async def _pump(self, reader, writer):
        while data := await reader.read(65536):
            await self._flowing.wait()
            writer.write(data)
            await writer.drain()
        writer.write_eof()


class PlatformFleet:
    """Control replicas, entries and stand-in servers of one pool.

    Args:
        folder: Folder for settings, data and logs.
        controls: Number of control replicas.
        entries: Failure domain of each entry.
        servers: Failure domain of each server.
        proxied: Whether each entry reaches each server through a `CutProxy`.
        keyed: Whether the pool is routed by key.
        has_workspace: Whether the first configuration has a workspace.
        server_options: Options of the servers.
    """

    def __init__(
        self,
        folder,
        *,
        controls=1,
        entries=("east",) * 2,
        servers=("east",) * 4,
        proxied=False,
        keyed=False,
        has_workspace=True,
        **server_options,
    ):
        self.keyed = keyed
        self.has_workspace = has_workspace
        network = self._allocate_network()
        seeds = [f"{network}.{1 + number}" for number in range(controls)]
        self.controls = []
        for number, seed in enumerate(seeds):
            control = Node(
                folder=folder,
                name=f"control-{number + 1}",
                role="control",
                ip=seed,
                zone="east",
                seeds=seeds,
            )
            self.controls.append(control)
        self.entries = []
        for number, zone in enumerate(entries):
            node = Node(
                folder=folder,
                name=f"entry-{number + 1}",
                role="entry",
                ip=f"{network}.{10 + number}",
                zone=zone,
                seeds=seeds,
            )
            self.entries.append(node)
        self.servers = []
        for number, zone in enumerate(servers):
            server = StandInServer(
                ip=f"{network}.{100 + number}",
                zone=zone,
                controls=seeds,
                keyed=keyed,
                **server_options,
            )
            self.servers.append(server)
        self.proxies = {entry.name: [] for entry in self.entries}
        if proxied:
            for entry in self.entries:
                self._add_proxies(entry)

    @staticmethod
    def _allocate_network():
        return f"127.{64 + os.getpid() % 128}.{next(_networks) % 256}"

    def _add_proxies(self, entry):
        network = self._allocate_network()
        for number, server in enumerate(self.servers):
            address = f"{network}.{100 + number}:{SERVER_PORT}"
            proxy = CutProxy(address=address, target=server.address, source=entry.ip)
            entry.addresses[server.address] = address
            self.proxies[entry.name].append(proxy)

    async def cut(self, entry, how):
        """Partitions an entry from all servers."""
        for proxy in self.proxies[entry.name]:
            await proxy.cut(how)

    async def heal(self, entry):
        for proxy in self.proxies[entry.name]:
            await proxy.heal()

    async def __aenter__(self):
        for proxies in self.proxies.values():
            for proxy in proxies:
                await proxy.start()
        for node in (*self.controls, *self.entries):
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
        nodes = (*self.entries, *self.controls)
        await asyncio.gather(*(asyncio.to_thread(node.stop) for node in nodes))
        for proxies in self.proxies.values():
            for proxy in proxies:
                proxy.stop()

    async def send(
        self,
        entry,
        path,
        *,
        request_id,
        body=None,
        deadline=1.0,
        key=0,
        extra_headers=None,
    ):
        """Sends a request; returns the status, or None if the connection was lost.

        An extra header without a value is not sent.
        """
        headers = {
            "Host": HOST_HEADER,
            "Authorization": f"Bearer {WORKSPACE_KEY}",
            "X-Monsoonlug-Shard-Key": str(key),
            "X-Monsoonlug-Request-Id": request_id,
            "X-Monsoonlug-Deadline-Ms": str(round(1000 * deadline)),
        } | (extra_headers or {})
        headers = {name: value for name, value in headers.items() if value}
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
        unsafe = route | {"pathPrefix": UNSAFE_PREFIX, "type": "unsafe"}
        download = route | {
            "pathPrefix": DOWNLOAD_PREFIX,
            "type": "download",
            "timeout": "20s",
            "targetLatency": "10s",
        }
        service = {
            "healthPath": "/healthz",
            "maxConnections": 100,
            "protocol": "h1",
            "tls": False,
            "warmup": "0s",
            "warmupPerS": 1000.0,
        }
        if self.keyed:
            service |= {"sharded": True, "warm": "0s", "grants": "heartbeat"}
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
            ("routes", "r-2", unsafe),
            ("routes", "r-3", download),
            ("services", SERVICE, service),
            ("tenants", "counter", tenant),
            ("limits", "", limits),
        ):
            if kind == "tenants" and not self.has_workspace:
                continue
            metadata = version | ({"name": name} if name else {})
            resources.append({"resourceType": kind, "metadata": metadata, "spec": spec})
        await self.patch(resources, {})

    async def patch(self, resources, removed):
        """Changes the configuration; returns once control has acknowledged it."""
        patch = {"upsert": {"resources": resources}, "remove": removed}
        controls = itertools.cycle(self.controls)
        until = time.monotonic() + START_TIMEOUT
        while time.monotonic() < until:
            ip = next(controls).ip
            url = f"http://{ip}:{CONTROL_PORT}/monsoonlug/Config.Patch"
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
