"""Hosts and one backend server that crashes and turns cold, in virtual time.

The hosts are the product's own; the server, its connections and control are simulated.
The server restarts under its old name, so that requests of earlier hosts reach it.
"""

import asyncio
import dataclasses
import itertools
from random import Random

from monsoonlug.backend import (
    BackendProtocol,
    BackendResponse,
    ConnectResult,
    HealthReport,
)
from monsoonlug.exceptions import (
    ConnectFailed,
    ConnectionLost,
    OutcomeUnknown,
    ProcessGone,
)
from monsoonlug.exchanges import Peer
from monsoonlug.fleet import FleetView
from monsoonlug.gatehost import ClosingTimes, GateHost, list_gates
from monsoonlug.http_connections import ContactTracker
from monsoonlug.items import ItemKind
from monsoonlug.messages import RequestFailed, ResponseHead
from tests.test_exchanges import HEAD
from tests.test_items import build_pool
from tests.test_odd_servers import build_record

COLD_RATE = 3.8  # requests per second
WARM_UP = 3.0  # seconds
MOST_PER_SECOND = 1.5 * COLD_RATE + 5  # that a cold server tolerates
SLOTS = 2
SERVICE_TIME = 0.08  # seconds; twice as long while the server is cold
NETWORK_DELAY = 0.001  # seconds, one way
HEARTBEAT_INTERVAL = 0.87  # seconds
DEADLINE = 0.8  # seconds
HEALTH_PATH = "/health"


def now():
    return asyncio.get_running_loop().time()


class Server:
    """The backend server.

    Attributes:
        arrivals: Times at which requests arrived while it was cold.
        probes: Number of health checks.
        is_heard: Whether its heartbeats reach control.
        tells_cold_starts: Whether its health responses name a cold start.
        answers_health: Whether it responds to health checks.
    """

    name = "s1"

    def __init__(self):
        self.is_up = True
        self.is_dark = False
        self.is_heard = True
        self.tells_cold_starts = True
        self.answers_health = True
        self.cold_until = 0.0
        self.arrivals = []
        self.probes = 0
        self.served = 0
        self.connections = set()

    @property
    def cold_left(self):
        return max(0.0, self.cold_until - now())

    def turn_cold(self):
        self.cold_until = now() + WARM_UP

    def crash(self, *, is_dark=False):
        """Ends the process; callers are told unless its machine falls silent."""
        self.is_up = False
        self.is_dark = is_dark
        for connection in self.connections:
            connection.end(is_told=not is_dark)
        self.connections = set()

    def start(self):
        """Starts the process again, cold and at the same address."""
        self.is_up = True
        self.is_dark = False
        self.turn_cold()

    async def run(self):
        if self.cold_left > 0:
            self.arrivals.append(now())
        await asyncio.sleep(SERVICE_TIME * (2 if self.cold_left > 0 else 1))
        self.served += 1

    def count_most(self):
        """Returns the most requests that arrived within a second while it was cold."""
        most = 0
        for start in self.arrivals:
            inside = [at for at in self.arrivals if start <= at < start + 1.0]
            most = max(most, len(inside))
        return most


class Connection:
    """A connection to one process of the server.

    Attributes:
        is_open: Whether the host takes it for open.
        is_alive: Whether the process at its other end still exists.
    """

    def __init__(self, backend):
        self._backend = backend
        self.is_open = True
        self.is_alive = True
        self.is_busy = False
        self.is_reset = asyncio.Event()

    def end(self, *, is_told):
        self.is_alive = False
        if is_told:
            self.reset()

    def reset(self):
        if self.is_open:
            self.is_open = False
            self._backend.connections.remove(self)
            self._backend.tracker.record_close(is_reset=True)
            self.is_reset.set()


class Response(BackendResponse):
    status = 200
    headers = ()

    def read_whole(self, limit):
        return b""

    async def iterate(self):
        yield b""

    def cancel(self):
        """The response is complete."""


class SimulatedBackend(BackendProtocol):
    """A host's client of the server."""

    def __init__(self, server):
        self.server = server
        self.connections = []
        self.tracker = ContactTracker(clock=now)
        self._calls = {}

    def find_contact(self):
        return self.tracker.contact

    async def _connect(self, timeout):
        await asyncio.sleep(NETWORK_DELAY)
        if not self.server.is_up and self.server.is_dark:
            await asyncio.sleep(timeout)
            raise ConnectFailed()
        await asyncio.sleep(NETWORK_DELAY)
        if not self.server.is_up:
            raise ProcessGone()
        connection = Connection(self)
        self.tracker.record_open()
        self.connections.append(connection)
        self.server.connections.add(connection)
        return connection

    async def _exchange(self, work, deadline):
        idle = [item for item in self.connections if not item.is_busy]
        connection = idle[0] if idle else await self._connect(0.3)
        connection.is_busy = True
        try:
            await asyncio.sleep(NETWORK_DELAY)
            if not connection.is_alive and self.server.is_up:
                connection.reset()
            if not connection.is_open:
                raise ConnectionLost("reset")
            running = asyncio.ensure_future(
                work() if connection.is_alive else asyncio.sleep(3_600)
            )
            reset = asyncio.ensure_future(connection.is_reset.wait())
            try:
                await asyncio.wait(
                    [running, reset],
                    timeout=max(0.0, deadline - now()),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if reset.done():
                    raise ConnectionLost("reset")
                if not running.done():
                    connection.reset()
                    raise OutcomeUnknown("no response")
            finally:
                running.cancel()
                reset.cancel()
            await asyncio.sleep(NETWORK_DELAY)
        finally:
            connection.is_busy = False

    async def send(self, request, body=None):
        self._calls[request.request] = asyncio.current_task()
        try:
            await self._exchange(self.server.run, request.deadline)
        except asyncio.CancelledError:
            raise OutcomeUnknown("cancelled") from None
        finally:
            del self._calls[request.request]
        return Response()

    async def probe(self, path):
        assert path == HEALTH_PATH

        asked_at = now()
        left = 0.0

        async def check():
            nonlocal left
            if not self.server.answers_health:
                await asyncio.sleep(3_600)
            self.server.probes += 1
            left = self.server.cold_left if self.server.tells_cold_starts else 0.0

        await self._exchange(check, now() + 0.5)
        self.health = HealthReport(
            asked_at=asked_at, cold_until=now() + left, contact=self.find_contact()
        )
        return 1.0

    async def try_connect(self, timeout):
        try:
            connection = await self._connect(timeout)
        except ProcessGone:
            return ConnectResult.REFUSED
        except ConnectFailed:
            return ConnectResult.NO_ANSWER
        self.connections.remove(connection)
        self.tracker.record_close(is_reset=False)
        self.server.connections.discard(connection)
        return ConnectResult.ACCEPTED

    def cancel(self, request):
        task = self._calls.get(request)
        if task is not None:
            task.cancel()
        return task is not None

    async def close(self):
        self.connections.clear()

    @staticmethod
    def parse_announcement(body):
        raise NotImplementedError

    @staticmethod
    def build_announcement_answer(answer):
        raise NotImplementedError


class Callers(Peer):
    """Counts the answers of one host."""

    def __init__(self):
        self.answered = 0
        self.failed = []
        self.waits = []
        self.sent_at = {}

    def send(self, message):
        if isinstance(message, ResponseHead):
            self.answered += 1
        elif isinstance(message, RequestFailed):
            self.failed.append(message.code)
        else:
            return
        self.waits.append(now() - self.sent_at[message.stream])


class Host:
    """One entry host, and the callers that use it."""

    def __init__(self, fleet, number):
        self.number = number
        self.callers = Callers()
        self.is_informed = True
        self.rank = 0
        self.closing_times = ClosingTimes()
        self.view = FleetView()
        pool = dataclasses.replace(
            build_pool(keyed=False),
            cold_rate=COLD_RATE,
            cold_seconds=WARM_UP,
            health_path=HEALTH_PATH,
        )
        self.view.items._items[ItemKind.POOL, "desk"] = pool
        self.view.servers = {fleet.server.name: build_record(slots=SLOTS)}
        self.gate = next(iter(list_gates(self.view))).name
        self.gate_host = GateHost(
            clock=asyncio.get_running_loop().time,
            closing_times=self.closing_times,
            open_backend=lambda record, pool: SimulatedBackend(fleet.server),
            random=Random(number),
            is_informed=lambda: self.is_informed,
            find_rank=lambda gate: self.rank,
        )
        self.update()
        self.gate_host.add_peer(self.callers)
        self._streams = itertools.count(1)

    def update(self):
        self.closing_times.update(now(), self.view)
        self.gate_host.update(self.view, list_gates(self.view))

    def set_in_service(self, is_in_service):
        domains = self.view.out_of_service_domains
        domains.discard("east") if is_in_service else domains.add("east")
        self.update()

    def send(self):
        stream = next(self._streams)
        head = dataclasses.replace(
            HEAD,
            stream=stream,
            request=f"r{self.number}.{stream}",
            server=self.gate,
            pool="desk",
            remaining=DEADLINE,
            objective=DEADLINE / 2,
        )
        self.callers.sent_at[stream] = now()
        self.gate_host.receive(self.callers, head)


class Fleet:
    """Hosts, the server, and control, which passes on what the server reports.

    Attributes:
        senders: Numbers of the hosts that callers' requests go to.
        rate: Requests per second at each of them.
        has_control: Whether control receives heartbeats and informs the hosts.
        uninformed: Numbers of hosts that control cannot reach.
    """

    def __init__(self, *, hosts=2, seed=1, rate=40.0):
        self.random = Random(seed)
        self.server = Server()
        self.hosts = [Host(self, number) for number in range(hosts)]
        self.senders = [0]
        self.rate = rate
        self.has_control = True
        self.uninformed = set()
        self._was_cold = False
        self._tasks = []

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        for step in (self._call, self._beat, self._check_silence):
            self._tasks.append(loop.create_task(step()))
        return self

    async def __aexit__(self, *error):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.sleep(2 * DEADLINE)  # ends the requests that wait or run
        for host in self.hosts:
            await host.gate_host.stop()

    @property
    def answered(self):
        return sum(host.callers.answered for host in self.hosts)

    @property
    def failed(self):
        return [code for host in self.hosts for code in host.callers.failed]

    async def _call(self):
        while True:
            await asyncio.sleep(self.random.expovariate(self.rate))
            for number in self.senders:
                self.hosts[number].send()

    async def _check_silence(self):
        while True:
            await asyncio.sleep(0.05)
            for host in self.hosts:
                host.gate_host.check_silent_servers()

    async def _beat(self):
        while True:
            if self.server.is_up:
                asyncio.get_running_loop().call_later(
                    2 * NETWORK_DELAY, self._publish, self.server.cold_left
                )
            await asyncio.sleep(HEARTBEAT_INTERVAL)

    def _publish(self, cold_left):
        if not self.has_control or not self.server.is_heard:
            return
        if cold_left > 0 or self._was_cold:
            for host in self.hosts:
                if host.number not in self.uninformed:
                    host.gate_host.set_cold(self.server.name, cold_left)
        self._was_cold = cold_left > 0
