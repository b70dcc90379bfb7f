"""HTTP backend server for tests, the demo and benchmarks.

It serves keyed or unkeyed requests with limited capacity, announces itself to its
gate and records every execution. `python -m standins.server --settings FILE.json`
runs one as a process; `StandinServer` objects run several in one process.

Paths are `/lookup/KEY` (GET), `/reservation/KEY` (POST), `/payment/KEY` (POST) and
`/large/KEY?size=BYTES&chunked=1` (GET). `/_standin/executions`, `/_standin/state` and
`/_standin/control` are for tests only.
"""

import asyncio
import contextlib
import hashlib
import json
import secrets
import signal
import sys
import time
from collections import Counter, deque
from dataclasses import asdict
from pathlib import Path

import aiohttp
import cyclopts
from aiohttp import web

from monsoonlug.exceptions import InvalidFile
from monsoonlug.ids import ServerPhase
from monsoonlug.settings import check_document, read_file, split_address
from standins.capacity import (
    ColdStart,
    ControlRequest,
    Execution,
    GrantTable,
    ServerSettings,
)

ANNOUNCE_TIMEOUT = 0.1  # seconds
SEARCH_INTERVAL_FACTOR = 0.25  # of the announcement interval while it has no gate
SHUTDOWN_TIMEOUT = 1.0  # seconds
MAX_EXECUTIONS = 1_000_000  # records kept
LARGE_CHUNK_SIZE = 16_384  # bytes
MAX_LARGE_SIZE = 64 * 1_048_576  # bytes
MAX_BODY_SIZE = 64 * 1_048_576  # bytes


class _LimitedServer(web.Server):
    """Web server that closes connections over a limit and keeps connection counts.

    Attributes:
        unused: Handlers of connections that have not carried a request yet.
        peak: Highest number of connections open at the same time.
    """

    def __init__(self, *args, limit: int, **kwargs):
        super().__init__(*args, **kwargs)
        self.opened = 0
        self.refused = 0
        self.peak = 0
        self.unused = set()
        self._limit = limit

    def connection_made(self, handler, transport):
        super().connection_made(handler, transport)
        self.opened += 1
        if len(self.connections) > self._limit:
            self.refused += 1
            transport.abort()
            return
        self.peak = max(self.peak, len(self.connections))
        self.unused.add(handler)

    def connection_lost(self, handler, exc=None):
        self.unused.discard(handler)
        super().connection_lost(handler, exc)


class StandinServer:
    """Stand-in for a backend server.

    Args:
        settings: Settings of the server.
    """

    def __init__(self, *, settings: ServerSettings):
        self.settings = settings
        self.address = settings.listen
        self.boot = secrets.token_hex(8)
        self.executions: deque[Execution] = deque(maxlen=MAX_EXECUTIONS)
        self.counts: Counter[str] = Counter()
        self.grants = GrantTable()
        self.shed_count = 0
        self.fenced_count = 0
        self.peak_running = 0
        self.frozen_requests = 0
        self._running = 0
        self._waiting = 0
        self._slots = asyncio.Semaphore(settings.slots)
        self._work_factor = 1.0
        self._draining = False
        self._announcing = True
        self._false_load = settings.false_load
        self._load_delay = settings.load_delay
        self._loads: deque[tuple[float, float]] = deque()
        self._not_frozen = asyncio.Event()
        self._not_frozen.set()
        self._gate: str | None = None
        self._next_entry = 0
        self._announce_task: asyncio.Task | None = None
        self._executions_file = None

    async def start(self) -> None:
        """Begins to listen and to announce the server.

        Raises:
            OSError: If the address cannot be listened on.
        """
        settings = self.settings
        if settings.executions_file is not None:
            # Line buffering passes each line to the kernel before the request runs.
            self._executions_file = open(settings.executions_file, "a", buffering=1)
        self.cold_start = ColdStart(
            rate=settings.cold_rate, seconds=settings.cold_seconds, now=time.monotonic()
        )
        self._server = _LimitedServer(
            self._handle, limit=settings.connections, access_log=None
        )
        self._runner = web.ServerRunner(self._server, shutdown_timeout=SHUTDOWN_TIMEOUT)
        await self._runner.setup()
        host, port = split_address(settings.listen)
        site = web.TCPSite(self._runner, host, port)
        await site.start()
        port = self._runner.addresses[0][1]
        self.address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        if settings.entries:
            self._announce_task = asyncio.create_task(self._run_announcements())

    async def stop(self) -> None:
        """Closes the listener and aborts all connections, as a process exit would."""
        if self._announce_task is not None:
            self._announce_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._announce_task
        self._not_frozen.set()
        for handler in self._server.connections:
            if handler.transport is not None:
                handler.transport.abort()
        await self._runner.cleanup()
        if self._executions_file is not None:
            self._executions_file.close()

    def control(self, request: ControlRequest) -> None:
        """Applies the changes of a control request."""
        if request.frozen is not None:
            self._not_frozen.clear() if request.frozen else self._not_frozen.set()
        if request.slow is not None:
            self._work_factor = request.slow
        if request.cold:
            self.cold_start.begin(time.monotonic())
        if request.drain is not None:
            self._draining = request.drain
        if request.announce is not None:
            self._announcing = request.announce
        if request.false_load is not None:
            self._false_load = request.false_load if request.false_load >= 0 else None
        if request.load_delay is not None:
            self._load_delay = request.load_delay

    def describe(self) -> dict:
        """Returns counters and state for tests."""
        return {
            "server": self.settings.server,
            "boot": self.boot,
            "phase": self._get_phase(time.monotonic()).value,
            "executions": len(self.executions),
            "overruns": self.cold_start.overloads,
            "held": self.frozen_requests,
            "shed": self.shed_count,
            "fenced": self.fenced_count,
            "most_running": self.peak_running,
            "connections": len(self._server.connections),
            "connections_opened": self._server.opened,
            "connections_refused": self._server.refused,
            "most_connections": self._server.peak,
            "gate": self._gate,
            "grants_revision": self.grants.revision,
        }

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path.startswith("/_standin/"):
            return await self._handle_test_request(request)
        if request.protocol in self._server.unused:
            self._server.unused.discard(request.protocol)
            await asyncio.sleep(self.settings.connect_seconds)
        await self._wait_while_frozen()
        operation, key = self._read_path(request)
        allowed = _METHODS.get(operation)
        if allowed is None:
            return _refuse(request, 404, "no such path")
        if request.method != allowed:
            return _refuse(request, 405, "method not allowed")
        refusal = self._check_grant(request)
        if refusal is not None:
            return refusal
        if not await self._take_slot():
            self.shed_count += 1
            headers = {"X-Not-Run": "1", "Retry-After": "1"}
            return _refuse(request, 503, "no free slot", headers)
        self._running += 1
        self.peak_running = max(self.peak_running, self._running)
        try:
            return await self._run(request, operation, key)
        finally:
            self._running -= 1
            self._slots.release()

    async def _take_slot(self) -> bool:
        if not self._slots.locked():
            # Acquiring a free slot does not suspend, so no other request takes it.
            return await self._slots.acquire()
        if self._waiting >= self.settings.queue:
            return False
        self._waiting += 1
        try:
            async with asyncio.timeout(self.settings.queue_seconds):
                return await self._slots.acquire()
        except TimeoutError:
            return False
        finally:
            self._waiting -= 1

    async def _wait_while_frozen(self) -> None:
        self.frozen_requests += 1
        try:
            await self._not_frozen.wait()
        finally:
            self.frozen_requests -= 1

    def _read_path(self, request: web.BaseRequest) -> tuple[str, str]:
        segments = [*request.path.split("/"), "", ""]
        if self.settings.key_header is None:
            return segments[1], segments[2]
        return segments[1], request.headers.get(self.settings.key_header, "")

    def _check_grant(self, request: web.BaseRequest) -> web.Response | None:
        now = time.monotonic()
        if self.settings.leased and now >= self.grants.lease_until:
            return _refuse(request, 503, "no grant", {"X-Not-Run": "1"})
        if not self.settings.fenced or not self.settings.keyed:
            return None
        epoch = _read_number(request, "X-Fencing-Epoch")
        if self.grants.allows(now, _read_number(request, "X-Slice"), epoch):
            return None
        self.fenced_count += 1
        return _refuse(request, 409, "fencing token is stale", {"X-Fenced": "1"})

    async def _run(
        self, request: web.BaseRequest, operation: str, key: str
    ) -> web.StreamResponse:
        digest = hashlib.sha256()
        size = 0
        async for chunk in request.content.iter_any():
            size += len(chunk)
            digest.update(chunk)
        now = time.monotonic()
        execution = Execution(
            server=self.settings.server,
            request=request.headers.get("X-Request-Id", ""),
            call=request.headers.get("X-Call-Id", ""),
            method=request.method,
            operation=operation,
            key=key,
            workspace=request.headers.get("X-Workspace", ""),
            slice=_read_number(request, "X-Slice"),
            epoch=_read_number(request, "X-Fencing-Epoch"),
            gate_epoch=_read_number(request, "X-Gate-Epoch"),
            time=now,
        )
        self.executions.append(execution)
        if self._executions_file is not None:
            self._executions_file.write(json.dumps(asdict(execution)) + "\n")
        factor = self._work_factor * self.cold_start.count_request(now)
        await asyncio.sleep(self.settings.work_seconds * factor)
        await self._wait_while_frozen()
        if operation in ("reservation", "payment"):
            self.counts[f"{operation}/{key}"] += 1
        if operation == "large":
            return await self._stream_large(request, key)
        document = asdict(execution)
        document["count"] = self.counts[f"reservation/{key}"]
        document["body_size"] = size
        document["body_digest"] = digest.hexdigest()
        body = json.dumps(document).encode()
        headers = _echo(request, key, hashlib.sha256(body).hexdigest())
        return web.Response(body=body, headers=headers, content_type="application/json")

    async def _stream_large(
        self, request: web.BaseRequest, key: str
    ) -> web.StreamResponse:
        size = min(int(request.query.get("size", LARGE_CHUNK_SIZE)), MAX_LARGE_SIZE)
        seed = hashlib.sha256(key.encode()).digest()
        chunk = (seed * (LARGE_CHUNK_SIZE // len(seed) + 1))[:LARGE_CHUNK_SIZE]
        digest = hashlib.sha256()
        for offset in range(0, size, LARGE_CHUNK_SIZE):
            digest.update(chunk[: size - offset])
        headers = _echo(request, key, digest.hexdigest())
        response = web.StreamResponse(headers=headers)
        if request.query.get("chunked") == "1":
            response.enable_chunked_encoding()
        else:
            response.content_length = size
        await response.prepare(request)
        for offset in range(0, size, LARGE_CHUNK_SIZE):
            await response.write(chunk[: size - offset])
        await response.write_eof()
        return response

    async def _handle_test_request(self, request: web.BaseRequest) -> web.Response:
        name = request.path.removeprefix("/_standin/")
        if name == "executions":
            first = int(request.query.get("from", 0))
            rows = [asdict(item) for item in list(self.executions)[first:]]
            return web.json_response(rows)
        if name == "state":
            return web.json_response(self.describe())
        if name == "control" and request.method == "POST":
            document = json.loads(await request.read())
            self.control(check_document(document, ControlRequest, file="control"))
            return web.json_response(self.describe())
        return web.Response(status=404)

    def _get_phase(self, now: float) -> ServerPhase:
        if self._draining:
            return ServerPhase.DRAINING
        if self.cold_start.is_cold(now):
            return ServerPhase.COLD
        return ServerPhase.WARM

    def _sample_load(self, now: float) -> float:
        load = (self._running + self._waiting) / self.settings.slots
        self._loads.append((now, load))
        while len(self._loads) > 1 and self._loads[1][0] <= now - self._load_delay:
            self._loads.popleft()
        return self._loads[0][1] if self._false_load is None else self._false_load

    async def _run_announcements(self) -> None:
        loop = asyncio.get_running_loop()
        timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._not_frozen.wait()
                started_at = loop.time()
                pause = self.settings.announce_seconds
                if self._announcing and not await self._announce_once(session):
                    pause *= SEARCH_INTERVAL_FACTOR
                await asyncio.sleep(started_at + pause - loop.time())

    async def _announce_once(self, session: aiohttp.ClientSession) -> bool:
        """Sends one announcement and returns whether the server's gate answered it."""
        entries = self.settings.entries
        target = self._gate or entries[self._next_entry % len(entries)]
        sent_at = time.monotonic()
        document = {
            "server": self.settings.server,
            "pool": self.settings.pool,
            "address": self.address,
            "failure_domain": self.settings.failure_domain,
            "boot": self.boot,
            "phase": self._get_phase(sent_at).value,
            "load": self._sample_load(sent_at),
            "grants_revision": self.grants.revision,
        }
        url = f"http://{target}/_monsoonlug/announce"
        try:
            async with session.post(url, json=document) as response:
                answer = await response.json() if response.status == 200 else None
        except (aiohttp.ClientError, OSError, ValueError):
            answer = None
        # A frozen process would read the answer only after it is resumed.
        await self._not_frozen.wait()
        if answer is None:
            self._gate = None
            self._next_entry += 1
            return False
        gate = answer["gate"]
        self._gate = gate["address"] if gate else None
        if gate is None:
            self._next_entry += 1
        self.grants.renew(answer, sent_at=sent_at)
        return target == self._gate


_METHODS = {"lookup": "GET", "reservation": "POST", "payment": "POST", "large": "GET"}


def _read_number(request: web.BaseRequest, name: str) -> int:
    text = request.headers.get(name, "")
    return int(text) if text.isascii() and text.isdigit() else -1


def _echo(request: web.BaseRequest, key: str, digest: str) -> dict[str, str]:
    headers = {"X-Key": key, "X-Body-Digest": digest}
    for name in ("X-Request-Id", "X-Call-Id"):
        if name in request.headers:
            headers[name] = request.headers[name]
    return headers


def _refuse(
    request: web.BaseRequest, status: int, text: str, headers: dict | None = None
) -> web.Response:
    headers = {**_echo(request, "", ""), **(headers or {})}
    return web.Response(status=status, text=text, headers=headers)


async def serve(settings: ServerSettings) -> None:
    """Prints the address of a server and runs it until SIGTERM or SIGINT."""
    server = StandinServer(settings=settings)
    await server.start()
    print(json.dumps({"address": server.address}), flush=True)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    await server.stop()


def main(*, settings: Path) -> None:
    """Runs a stand-in server.

    Args:
        settings: JSON file with the server's settings.
    """
    try:
        checked = read_file(settings, ServerSettings)
    except InvalidFile as error:
        sys.exit(str(error))
    asyncio.run(serve(checked))


if __name__ == "__main__":
    cyclopts.run(main)
