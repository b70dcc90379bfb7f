"""Tests of the gates of one host, with a fake backend client."""

import asyncio

import pytest

from monsoonlug.announcements import Announcement
from monsoonlug.backend import BackendProtocol, BackendResponse
from monsoonlug.commands import (
    ApplyCatalogue,
    AppointGate,
    BeginMove,
    DeregisterHost,
    DeregisterServer,
    FinishMove,
    RegisterHost,
    RegisterServer,
    WithdrawKey,
)
from monsoonlug.exceptions import OutcomeUnknown
from monsoonlug.exchanges import Peer
from monsoonlug.gate_manager import GateManager
from monsoonlug.ids import SLICE_COUNT, ServerPhase
from monsoonlug.messages import RequestFailed, RequestHead, ResponseBody, SlicesReleased
from monsoonlug.sessions import CANCEL_GRACE, LEASE_DURATION, SESSION_TIMEOUT
from monsoonlug.state import ControlState

CATALOGUE = (
    '{"pools": [{"name": "p", "owner": "o", "keyed": true,'
    ' "limits": {"slots": 1, "cold_rate": 1000}}],'
    ' "routes": [{"name": "r", "owner": "o", "pool": "p", "prefix": "/",'
    ' "limits": {"deadline": 0.2}}]}'
)
DEADLINE = 0.2  # seconds
DIGEST = "a" * 64


class FakeAnswer(BackendResponse):
    status = 200
    headers = []

    async def iterate(self):
        yield b"ok"

    def cancel(self):
        pass


class FakeBackend(BackendProtocol):
    """Responds when `answers` is set; a cancelled request has an unknown outcome."""

    def __init__(self):
        self.sent = []
        self.cancelled = {}
        self.answers = asyncio.Event()

    async def send(self, request, body=None):
        self.sent.append(request.request)
        cancelled = self.cancelled[request.request] = asyncio.Event()
        waits = [self.answers.wait(), cancelled.wait()]
        tasks = [asyncio.ensure_future(item) for item in waits]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        if cancelled.is_set():
            raise OutcomeUnknown()
        return FakeAnswer()

    async def probe(self, path):
        return None

    def cancel(self, request):
        self.cancelled[request].set()
        return True

    async def close(self):
        pass

    parse_announcement = build_announcement_answer = None


class FakePeer(Peer):
    def __init__(self):
        self.messages = []
        self.arrived = asyncio.Event()

    def send(self, message):
        self.messages.append(message)
        self.arrived.set()

    async def wait_for(self, kind):
        while True:
            for message in self.messages:
                if isinstance(message, kind):
                    return message
            self.arrived.clear()
            await asyncio.wait_for(self.arrived.wait(), 5)


class Host:
    """A gate manager that runs the gate of server s1, which owns all slices."""

    def __init__(self):
        self.now = 0.0
        self.lease_end = LEASE_DURATION
        self.backend = FakeBackend()
        self.reports = []
        self.peer = FakePeer()
        self.state = ControlState()
        self.index = 0
        self.manager = GateManager(
            host="h",
            clock=lambda: self.now,
            find_lease_end=lambda: self.lease_end,
            open_backend=lambda server, pool: self.backend,
            send_to_leader=self.reports.append,
        )
        self.apply(ApplyCatalogue(change_id="1", base=0, text=CATALOGUE))
        self.apply(
            RegisterHost(host="h", failure_domain="d", stream="", announce="", boot="b")
        )
        for name in ("s1", "s2"):
            self.register(name)
        self.appoint()
        self.finish("s1", 0)
        self.announce()
        # A new gate sends nothing in the first interval of its cold start.
        self.now = 0.01

    def appoint(self):
        view = self.state.view
        self.apply(
            AppointGate(
                server="s1",
                server_epoch=view.servers["s1"].epoch,
                host="h",
                host_epoch=view.hosts["h"].epoch,
                replaces=0,
            )
        )

    def take_over(self):
        """Makes this host the gate again after it was lost."""
        self.apply(DeregisterHost(host="h", epoch=self.state.view.hosts["h"].epoch))
        self.apply(
            RegisterHost(host="h", failure_domain="d", stream="", announce="", boot="c")
        )
        self.appoint()

    def register(self, name):
        self.apply(
            RegisterServer(
                server=name,
                pool="p",
                address="127.0.0.1:1",
                failure_domain="d",
                boot="b",
                phase=ServerPhase.WARM,
            )
        )

    def apply(self, command):
        self.index += 1
        self.state.apply(self.index, command)
        self.manager.update(self.state.view)

    def finish(self, owner, epoch, count=SLICE_COUNT):
        self.apply(
            FinishMove(
                pool="p",
                owner=owner,
                owner_epoch=self.state.view.servers[owner].epoch,
                runs=[0, count, epoch],
                keys=[],
            )
        )

    def announce(self):
        return self.manager.announce(
            Announcement(
                server="s1",
                pool="p",
                address="127.0.0.1:1",
                failure_domain="d",
                boot="b",
                phase=ServerPhase.WARM,
                load=0.0,
            )
        )

    def request(self, number, **changes):
        view = self.state.view
        location = view.locate("p", "k")
        fields = {
            "stream": number,
            "request": f"r{number}",
            "server": "s1",
            "gate_epoch": view.gates["s1"].epoch,
            "revision": view.revision,
            "slice": location.slice,
            "slice_epoch": location.epoch,
            "key_hash": None,
            "route": "r",
            "workspace": "w",
            "request_class": 0,
            "key_digest": DIGEST,
            "remaining": 5.0,
            "method": "GET",
            "target": "/",
            "headers": [],
            "idempotency_key": "",
            "has_body": False,
        }
        self.manager.receive(self.peer, RequestHead(**fields | changes))

    def list_codes(self):
        return [
            message.code
            for message in self.peer.messages
            if isinstance(message, RequestFailed)
        ]


@pytest.fixture
async def host():
    yield Host()


async def test_request_is_answered(host):
    """Guards against a gate that refuses a valid request."""
    host.backend.answers.set()
    host.request(1)
    part = await host.peer.wait_for(ResponseBody)
    assert part.data == b"ok"


@pytest.mark.parametrize(
    "changes",
    [{"gate_epoch": 1}, {"slice_epoch": 1}, {"server": "s2"}, {"slice": SLICE_COUNT}],
)
async def test_request_on_old_ownership_is_not_run(host, changes):
    """Guards against sending a request that carries an outdated gate or slice epoch."""
    host.request(1, **changes)
    assert host.list_codes() == ["not-gate"]
    assert host.backend.sent == []


async def test_nothing_is_sent_after_the_lease(host):
    """Guards against sending after a process pause that outlasted the session lease."""
    host.lease_end = host.now
    host.request(1)
    await asyncio.sleep(0)
    assert host.backend.sent == []
    host.lease_end = host.now + LEASE_DURATION
    host.manager.tick()
    await asyncio.sleep(0)
    assert host.backend.sent == ["r1"]


async def test_running_request_is_cancelled_when_the_lease_ends(host):
    """Guards against a server that acts on a key which has a new owner.

    Requests of an owner whose lease ended are cancelled before its session is over.
    """
    host.request(1)
    await asyncio.sleep(0)
    assert host.backend.sent == ["r1"]
    host.now = LEASE_DURATION
    host.manager.tick()
    assert host.list_codes() == []
    host.now = LEASE_DURATION + CANCEL_GRACE
    assert LEASE_DURATION + CANCEL_GRACE < SESSION_TIMEOUT
    host.manager.tick()
    failed = await host.peer.wait_for(RequestFailed)
    assert failed.ran == "outcome unknown"


async def test_withdrawn_key_ends_a_queued_request(host):
    """Guards against running a queued request whose workspace key was withdrawn."""
    host.request(1)
    host.request(2)
    await asyncio.sleep(0)
    host.apply(WithdrawKey(change_id="2", base=1, key_digest=DIGEST))
    assert host.list_codes() == ["key-refused"]
    host.request(3)
    assert host.list_codes() == ["key-refused", "key-refused"]
    assert host.backend.sent == ["r1"]


async def test_slice_is_released_only_when_nothing_runs(host):
    """Guards against releasing a slice while one of its requests is running."""
    host.request(1)
    await asyncio.sleep(0)
    number = host.state.view.locate("p", "k").slice
    epoch = host.state.view.locate("p", "k").epoch
    host.apply(BeginMove(pool="p", runs=[number, 1, epoch], keys=[]))
    host.request(2)
    assert not any(isinstance(item, SlicesReleased) for item in host.reports)
    host.backend.answers.set()
    await host.peer.wait_for(ResponseBody)
    await asyncio.sleep(0)
    host.manager.tick()
    released = [item for item in host.reports if isinstance(item, SlicesReleased)]
    assert released[-1].slices == [number]
    assert host.backend.sent == ["r1"]


async def test_cut_off_request_holds_its_slice_until_its_deadline(host):
    """Guards against releasing a slice while the server may still run a request.

    The server may run a request with an unknown outcome until its deadline.
    """
    host.request(1, remaining=2.0)
    await asyncio.sleep(0)
    host.backend.cancel("r1")
    await host.peer.wait_for(RequestFailed)
    await asyncio.sleep(0)
    number = host.state.view.locate("p", "k").slice
    epoch = host.state.view.locate("p", "k").epoch
    host.apply(BeginMove(pool="p", runs=[number, 1, epoch], keys=[]))
    assert not any(isinstance(item, SlicesReleased) for item in host.reports)
    host.lease_end = 3.0
    host.now = 1.9
    host.announce()
    host.now = 2.02
    host.manager.tick()
    assert any(isinstance(item, SlicesReleased) for item in host.reports)


async def test_new_gate_waits_for_requests_of_a_lost_one(host):
    """Guards against releasing a slice while a request of a lost gate may run.

    The new gate does not know these requests, and waits for the longest deadline.
    """
    host.take_over()
    host.announce()
    number = host.state.view.locate("p", "k").slice
    epoch = host.state.view.locate("p", "k").epoch
    host.apply(BeginMove(pool="p", runs=[number, 1, epoch], keys=[]))
    assert not any(isinstance(item, SlicesReleased) for item in host.reports)
    host.lease_end = host.now = host.now + DEADLINE
    host.manager.tick()
    assert any(isinstance(item, SlicesReleased) for item in host.reports)


async def test_forgotten_server_gets_no_grant(host):
    """Guards against a grant for a server whose slices have a new owner."""
    assert host.announce().lease > 0
    record = host.state.view.servers["s1"]
    gate = host.state.view.gates["s1"]
    host.apply(DeregisterServer(server="s1", epoch=record.epoch, gate_epoch=gate.epoch))
    assert host.announce() is None


async def test_silent_server_is_lost_only_after_its_grant(host):
    """Guards against reporting a silent server as lost while its grant is valid."""
    host.lease_end = 1.0
    host.announce()
    host.now = 0.9
    host.manager.tick()
    assert host.reports == []
    host.now = 1.0
    host.manager.tick()
    assert [type(item).__name__ for item in host.reports] == ["ServerLost"]
    assert host.announce() is None
