"""Tests of large responses: learned sizes, room at a gate, and slow readers."""

import asyncio
import dataclasses
from random import Random
from types import SimpleNamespace

import pytest

from monsoonlug.backend import BackendProtocol, BackendResponse
from monsoonlug.caller_buffers import CallerBuffers
from monsoonlug.exceptions import AnswerCutOff, ConnectFailed, OutcomeUnknown
from monsoonlug.exchanges import Peer
from monsoonlug.fleet import FleetView
from monsoonlug.fleet_messages import KeysAssigned, KeyTableChanged, pack_range
from monsoonlug.fleet_targets import REMOTE_DOMAIN_PENALTY, FleetTargetFinder
from monsoonlug.gatehost import ClosingTimes, GateHost, LiveHost, list_gates
from monsoonlug.items import ItemKind
from monsoonlug.keyranges import KeyRange
from monsoonlug.memory_budget import MemoryBudget
from monsoonlug.messages import (
    Cancel,
    Credit,
    RequestBody,
    RequestFailed,
    ResponseBody,
)
from monsoonlug.response_relays import (
    LARGE_CHUNK_BYTES,
    LARGE_WINDOW_BYTES,
    MAX_LINK_DELAY,
    LargeResponses,
)
from monsoonlug.response_room import (
    MAX_WAITING,
    MIN_ROOM_WAIT,
    ResponseRoom,
    RoomRequest,
    find_latest,
)
from monsoonlug.response_sizes import ResponseSizes
from monsoonlug.subscription import KeyBlocks
from tests.test_exchanges import HEAD
from tests.test_items import build_pool
from tests.test_odd_servers import build_record

ROUTE = "files"
SIZE = 540_000  # bytes; of the largest downloads
MEAN = 90_000  # bytes; of all downloads
PART = 65_536  # bytes
BUDGET = 4 * 1_048_576  # bytes
SLOTS = 6
OBJECTIVE = 20.0  # seconds


def build_sizes(*recorded):
    sizes = ResponseSizes()
    for size in recorded or (MEAN,):
        sizes.record(ROUTE, size)
    return sizes


# Sizes.


def test_sizes_of_earlier_deployments_are_not_large():
    """Guards against routes of earlier deployments that are served differently."""
    random = Random(1)
    sizes = ResponseSizes()
    for _ in range(1_000):
        sizes.record(ROUTE, round(random.uniform(400, 30_000)))
        assert not sizes.is_large(ROUTE)
    assert not sizes.is_large("unknown")


def test_sizes_of_downloads_are_learned():
    """Guards against downloads that are not recognized, or only late."""
    random = Random(2)
    sizes = ResponseSizes()
    for count in range(1_000):
        sizes.record(ROUTE, min(SIZE, round(random.expovariate(1 / MEAN))))
        assert count < 30 or sizes.is_large(ROUTE)
    assert 0.5 * MEAN < sizes.get_mean(ROUTE) < 2 * MEAN
    assert 0.3 * SIZE < sizes.get_maximum(ROUTE) <= SIZE


def test_exceptional_maximum_is_forgotten():
    """Guards against one response that reserves memory for ever."""
    sizes = build_sizes(50 * SIZE)
    for _ in range(1_000):
        sizes.record(ROUTE, MEAN)
    assert sizes.get_maximum(ROUTE) < 1.1 * MEAN
    sizes.retain(["other"])
    assert sizes.get_mean(ROUTE) == 0


def test_remote_gates_cost_more_with_larger_responses():
    """Guards against downloads that cross failure domains, and changes for others."""
    sizes = build_sizes()
    sizes.record("small", 30_000)
    finder = FleetTargetFinder(
        clock=lambda: 0.0,
        random=Random(1),
        host="h",
        failure_domain="east",
        is_reachable=lambda host: True,
        blocks=KeyBlocks(),
        closing_times=ClosingTimes(),
        sizes=sizes,
    )
    assert finder._estimate_remote_penalty("small") == REMOTE_DOMAIN_PENALTY
    assert finder._estimate_remote_penalty("unknown") == REMOTE_DOMAIN_PENALTY
    # 90 KB take 0.12 s at 6 Mbit/s and 0.36 s at 2 Mbit/s.
    assert 0.12 <= finder._estimate_remote_penalty(ROUTE) <= 0.36


# Sender.


def build_senders(*, keyed, cold=()):
    """Returns a finder of host h, and the view, in which host g serves all gates."""
    sizes = build_sizes()
    sizes.record("small", 30_000)
    view = FleetView()
    view.apply_change(build_pool(keyed=keyed))
    view.apply_change(build_record(name="s1"))
    view.apply_change(build_record(name="s2", address="127.0.0.1:2"))
    if keyed:
        row = KeyRange(start=0, end=65_535, owner="s1", born=1, epoch=7)
        view.apply_change(KeyTableChanged(pool="desk", present=True))
        view.apply_change(KeysAssigned(pool="desk", rows=[pack_range(row)]))
    finder = FleetTargetFinder(
        clock=lambda: 0.0,
        random=Random(1),
        host="h",
        failure_domain="west",
        is_reachable=lambda host: True,
        blocks=KeyBlocks(),
        closing_times=ClosingTimes(),
        sizes=sizes,
        is_cold=lambda server: server in cold,
    )
    finder.update_fleet(view, list_gates(view))
    hosts = [("h", "west"), ("g", "east")]
    finder.update_hosts(
        [
            LiveHost(host=host, failure_domain=domain, stream=f"{host}:1")
            for host, domain in hosts
        ]
    )
    return finder


def find_sender(finder, route, *, keyed):
    admitted = SimpleNamespace(
        routing_key="5" if keyed else "",
        route=SimpleNamespace(name=route, pool="desk"),
    )
    return finder.find(admitted).host


@pytest.mark.parametrize("keyed", [False, True])
def test_entries_send_requests_with_large_responses_themselves(keyed):
    """Guards against the link of a gate's host that all large responses pass."""
    finder = build_senders(keyed=keyed)
    assert find_sender(finder, ROUTE, keyed=keyed) == "h"
    assert find_sender(finder, "small", keyed=keyed) == "g"
    assert find_sender(finder, "unknown", keyed=keyed) == "g"


@pytest.mark.parametrize("keyed", [False, True])
def test_gates_pace_cold_servers_with_large_responses(keyed):
    """Guards against many entries that send to a cold server at the same time."""
    finder = build_senders(keyed=keyed, cold=("s1",))
    assert find_sender(finder, ROUTE, keyed=keyed) == "g"


@pytest.mark.parametrize("reported", [(["desk"], []), ([], ["s1", "s2"])])
def test_entries_cut_off_from_servers_use_gates_for_large_responses(reported):
    """Guards against requests that fail at an entry which cannot reach the servers."""
    finder = build_senders(keyed=False)
    finder.update_reachability("h", *reported)
    assert find_sender(finder, ROUTE, keyed=False) == "g"
    finder.update_reachability("h", [], [])
    target = finder.find(
        SimpleNamespace(routing_key="", route=SimpleNamespace(name=ROUTE, pool="desk"))
    )
    finder.record_failure(target, ConnectFailed)
    assert find_sender(finder, ROUTE, keyed=False) == "g"


def test_servers_are_not_unreachable_behind_a_busy_link():
    """Guards against checks that fail because this host's own link is full.

    At 2 Mbit/s, 90 KB occupy the link for 0.36 s, longer than a check may take.
    """
    budget = MemoryBudget(limit=BUDGET)
    responses = LargeResponses(
        clock=lambda: 0.0, budget=budget, sizes=build_sizes(), on_room=lambda: None
    )
    assert responses.estimate_link_delay() == 0.0
    expected = responses.room.open(ROUTE)
    assert 0.3 < responses.estimate_link_delay() < 0.4
    others = [responses.room.open(ROUTE) for _ in range(20)]
    assert responses.estimate_link_delay() == MAX_LINK_DELAY
    for item in (expected, *others):
        item.close()
    assert responses.estimate_link_delay() == 0.0


# Room.


def build_room(*recorded, limit=BUDGET):
    budget = MemoryBudget(limit=limit)
    return budget, ResponseRoom(budget=budget, sizes=build_sizes(*recorded))


def add_waiting(room, count, latest=MIN_ROOM_WAIT):
    refused = 0
    for _ in range(count):
        request = RoomRequest(
            request_id=f"r{room.waiting}",
            route=ROUTE,
            latest=latest,
            payload=None,
        )
        refused += room.enqueue(request) is not None
    return refused


def test_room_admits_what_fits():
    """Guards against responses that do not fit into memory if all callers are slow."""
    _, room = build_room(MEAN, SIZE, MEAN, MEAN, MEAN)
    add_waiting(room, MAX_WAITING)
    admitted = room.admit()
    assert 10 < len(admitted) < MAX_WAITING
    sizes = build_sizes(MEAN, SIZE, MEAN, MEAN, MEAN)
    margin = sizes.get_maximum(ROUTE) - sizes.get_mean(ROUTE)
    assert room.needed + margin <= BUDGET
    assert room.admit() == []
    for _, expected in admitted:
        expected.close()
    assert room.needed == 0
    assert len(room.admit()) == min(len(admitted), MAX_WAITING - len(admitted))


def test_known_length_replaces_the_mean():
    """Guards against room that is granted twice for large responses."""
    _, room = build_room()
    responses = [room.open(ROUTE) for _ in range(4)]
    for response in responses:
        response.set_expected(SIZE)
        response.record_read(PART)
        response.record_passed(PART // 2)
    assert room.needed == 4 * (SIZE - PART // 2)
    assert room.held == 4 * (PART // 2)


def test_waiting_requests_are_refused_as_not_run():
    """Guards against requests that wait for longer than their callers."""
    budget, room = build_room()
    budget.open(evict=lambda: None).resize(BUDGET)
    add_waiting(room, 3)
    assert room.admit() == []
    assert room.find_wake_time() == MIN_ROOM_WAIT
    assert room.expire(MIN_ROOM_WAIT - 0.01) == []
    expired = room.expire(MIN_ROOM_WAIT)
    assert len(expired) == 3
    for _, refusal in expired:
        error = refusal.build_error()
        assert (error.code, error.ran.value) == ("overloaded", "not run")
        assert error.retry_after > 0
    assert room.refused == 3


def test_wait_for_room_ends_before_the_objective():
    """Guards against requests that are sent too late to be of use."""
    assert find_latest(10.0, objective=14.0, deadline=20.0) == 12.0
    assert find_latest(10.0, objective=10.1, deadline=20.0) == 10.0 + MIN_ROOM_WAIT
    assert find_latest(10.0, objective=14.0, deadline=10.1) == 10.1


def test_too_many_waiting_requests_are_refused_at_once():
    """Guards against a queue without a bound."""
    budget, room = build_room()
    budget.open(evict=lambda: None).resize(BUDGET)
    assert add_waiting(room, MAX_WAITING + 5) == 5


def test_response_above_the_budget_is_admitted_alone():
    """Guards against a route that is never served."""
    _, room = build_room(10 * BUDGET)
    add_waiting(room, 2)
    assert len(room.admit()) == 1


# Buffers of callers.


class FakeRequest:
    """A caller's request that records whether its connection was aborted."""

    version = (1, 1)

    def __init__(self):
        self.is_aborted = False
        self.transport = self

    def abort(self):
        self.is_aborted = True


def test_caller_that_holds_the_most_is_disconnected():
    """Guards against slow callers that take the memory of all others."""
    budget = MemoryBudget(limit=10 * PART)
    buffers = CallerBuffers(budget=budget, sizes=build_sizes())
    assert buffers.open("small", FakeRequest()) is None
    requests = [FakeRequest() for _ in range(3)]
    opened = [buffers.open(ROUTE, request) for request in requests]
    opened[0].hold(5 * PART)
    opened[1].hold(4 * PART)
    opened[2].hold(3 * PART)
    assert [request.is_aborted for request in requests] == [True, False, False]
    with pytest.raises(AnswerCutOff):
        opened[1].hold(8 * PART)
    assert buffers.evicted == 2
    for buffer in opened:
        buffer.close()
    assert buffers.held == budget.used == 0


# Relays at a gate.


class FakeResponse(BackendResponse):
    """A response whose server sends as fast as it is read."""

    def __init__(self, backend, request, size):
        self.status = 200
        self.headers = [("Content-Length", str(size))]
        self.size = size
        self.read = 0
        self.is_cancelled = False
        self.broken_at = None
        self._backend = backend
        self._request = request

    async def iterate(self):
        try:
            while self.read < self.size:
                await asyncio.sleep(0)
                if self.is_cancelled or self.read == self.broken_at:
                    raise OutcomeUnknown("cut off")
                part = bytes([self.read // PART]) * min(PART, self.size - self.read)
                self.read += len(part)
                yield part
        finally:
            self._backend.running.pop(self._request, None)

    def cancel(self):
        self.is_cancelled = True


class FakeBackend(BackendProtocol):
    """A server that counts how many responses it holds at a time."""

    def __init__(self):
        self.running = {}
        self.responses = []
        self.most_running = 0
        self.size = SIZE
        self.broken_at = None
        self.is_hanging = False

    async def send(self, request, body=None):
        response = FakeResponse(self, request.request, self.size)
        response.broken_at = self.broken_at
        self.running[request.request] = response
        self.responses.append(response)
        self.most_running = max(self.most_running, len(self.running))
        await asyncio.sleep(0)
        while self.is_hanging:
            if response.is_cancelled:
                del self.running[request.request]
                raise OutcomeUnknown("cancelled")
            await asyncio.sleep(0)
        return response

    def cancel(self, request):
        response = self.running.get(request)
        if response is not None:
            response.cancel()
        return response is not None

    async def probe(self, path):
        return None

    async def close(self):
        return None

    @staticmethod
    def parse_announcement(body):
        raise NotImplementedError

    @staticmethod
    def build_announcement_answer(answer):
        raise NotImplementedError


class CallerPeer(Peer):
    """The host of callers that read only when told to."""

    def __init__(self):
        self.bodies = {}
        self.unread = {}
        self.ended = set()
        self.failed = {}

    def send(self, message):
        if isinstance(message, RequestFailed):
            self.failed[message.stream] = message
        if isinstance(message, ResponseBody):
            stream = message.stream
            self.bodies[stream] = self.bodies.get(stream, b"") + message.data
            self.unread[stream] = self.unread.get(stream, 0) + len(message.data)
            assert self.unread[stream] <= LARGE_WINDOW_BYTES
            if message.last:
                self.ended.add(stream)


class Gate:
    """A gate of one server, with callers that read slowly."""

    def __init__(self, *, limit=BUDGET, mean=SIZE):
        self.time = SimpleNamespace(now=0.0)
        self.backend = FakeBackend()
        self.budget = MemoryBudget(limit=limit)
        self.peer = CallerPeer()
        self.host = GateHost(
            clock=lambda: self.time.now,
            closing_times=ClosingTimes(),
            open_backend=lambda record, pool: self.backend,
            budget=self.budget,
            sizes=build_sizes(mean),
        )
        view = FleetView()
        view.items._items[ItemKind.POOL, "desk"] = build_pool(keyed=False)
        view.servers = {"s1": build_record(slots=SLOTS)}
        gates = list_gates(view)
        self.name = next(iter(gates)).name
        self.host.update(view, gates)
        self.host.add_peer(self.peer)
        self.most_used = 0

    async def send(self, *streams, **fields):
        for stream in streams:
            head = dataclasses.replace(
                HEAD,
                **fields,
                stream=stream,
                request=f"r{stream}.1",
                server=self.name,
                pool="desk",
                route=ROUTE,
                remaining=30.0,
                objective=OBJECTIVE,
            )
            self.host.receive(self.peer, head)
            await self.settle(5)

    async def settle(self, turns=400):
        for _ in range(turns):
            await asyncio.sleep(0)
            self.most_used = max(self.most_used, self.budget.used)

    async def read(self, stream):
        """Lets a caller read all that was sent to it."""
        size, self.peer.unread[stream] = self.peer.unread.get(stream, 0), 0
        if size:
            self.host.receive(self.peer, Credit(stream=stream, size=size))
        await self.settle(20)


async def test_unread_response_is_read_from_the_server():
    """Guards against a server that cuts off what its caller reads slowly."""
    gate = Gate()
    await gate.send(1, 2, 3)
    await gate.settle()
    assert [item.read for item in gate.backend.responses] == [SIZE] * 3
    assert not gate.backend.running
    assert gate.host.running == 0
    assert gate.host.is_busy
    held = 3 * (SIZE - LARGE_WINDOW_BYTES)
    assert gate.budget.used == held == gate.host.large_responses.room.held
    for _ in range(1 + SIZE // LARGE_CHUNK_BYTES):
        for stream in (1, 2, 3):
            await gate.read(stream)
    assert gate.peer.ended == {1, 2, 3}
    for body in gate.peer.bodies.values():
        assert len(body) == SIZE
        assert body == b"".join(
            bytes([n]) * min(PART, SIZE - n * PART) for n in range(1 + SIZE // PART)
        )
    assert gate.budget.used == 0
    assert gate.host.large_responses.room.needed == 0
    assert not gate.host.is_busy


async def test_memory_and_slots_bound_what_is_sent():
    """Guards against a process or a server that ends for lack of memory.

    A request for which there is no room is never sent, so that it was not run.
    """
    gate = Gate()
    await gate.send(*range(1, 41))
    await gate.settle()
    sent = len(gate.backend.responses)
    assert 4 <= sent <= BUDGET // (SIZE - LARGE_WINDOW_BYTES)
    assert gate.most_used <= BUDGET
    assert gate.backend.most_running <= SLOTS
    assert all(item.read == SIZE for item in gate.backend.responses)
    gate.time.now += OBJECTIVE / 2
    gate.host.process_queues()
    assert len(gate.peer.failed) == 40 - sent
    for failure in gate.peer.failed.values():
        assert (failure.code, failure.ran) == ("overloaded", "not run")
    assert len(gate.backend.responses) == sent


async def test_server_gets_no_more_large_responses_than_slots():
    """Guards against a server that ends because it holds too many responses."""
    gate = Gate(limit=100 * SIZE)
    await gate.send(*range(1, 31))
    await gate.settle()
    assert len(gate.backend.responses) == 30
    assert 1 < gate.backend.most_running <= SLOTS


async def test_response_above_the_budget_is_read_as_its_caller_reads():
    """Guards against a response that is larger than all memory."""
    gate = Gate(limit=200_000)
    gate.backend.size = 20 * PART
    await gate.send(1)
    await gate.settle()
    assert gate.most_used <= 200_000
    assert gate.backend.responses[0].read <= 200_000 + LARGE_WINDOW_BYTES + 2 * PART
    for _ in range(400):
        await gate.read(1)
    assert gate.peer.ended == {1}
    assert len(gate.peer.bodies[1]) == 20 * PART
    assert gate.most_used <= 200_000


@pytest.mark.parametrize("is_read", [False, True])
async def test_caller_leaves_in_the_middle(is_read):
    """Guards against a server that goes on, and memory that is held, for nobody."""
    gate = Gate(limit=20 * PART)
    gate.backend.size = 4 * PART if is_read else 200 * PART
    await gate.send(1)
    await gate.settle()
    response = gate.backend.responses[0]
    assert (response.read == response.size) == is_read
    gate.host.receive(gate.peer, Cancel(stream=1))
    await gate.settle()
    # The reader of a full gate looks again after a short time.
    await asyncio.sleep(0.2)
    assert is_read or response.is_cancelled
    assert gate.budget.used == 0
    assert gate.host.large_responses.room.needed == 0
    assert not gate.host.is_busy
    assert not gate.peer.ended


async def test_cut_response_never_looks_complete():
    """Guards against a part of a response that is passed on as the whole."""
    gate = Gate()
    gate.backend.broken_at = 3 * PART
    await gate.send(1)
    await gate.settle()
    assert gate.peer.failed[1].ran == "outcome unknown"
    assert not gate.peer.ended
    assert gate.budget.used == 0
    assert not gate.host.is_busy


async def test_largest_held_response_is_dropped_first():
    """Guards against a full budget that refuses small holders."""
    gate = Gate()
    await gate.send(1)
    await gate.settle()
    others = [gate.budget.open(evict=lambda: None) for _ in range(100)]
    assert all(holding.resize(BUDGET // 100) for holding in others)
    await gate.settle()
    assert gate.peer.failed[1].ran == "outcome unknown"
    assert not gate.peer.ended
    assert not gate.host.is_busy
    assert gate.budget.used == 100 * (BUDGET // 100)


async def test_small_responses_are_relayed_as_before():
    """Guards against a change for routes whose responses are small."""
    gate = Gate(mean=20_000)
    gate.backend.size = 30_000
    await gate.send(*range(1, 11))
    await gate.settle()
    assert len(gate.peer.ended) == 10
    assert gate.most_used == 0
    assert gate.host.large_responses.room.needed == 0


async def test_bodies_that_servers_do_not_read_count_in_the_budget():
    """Guards against memory without a bound for servers that read slowly.

    The worst one is dropped. One that was not sent is reported as not run.
    """
    gate = Gate(limit=4 * PART, mean=20_000)
    gate.backend.is_hanging = True
    streams = range(1, SLOTS + 3)
    await gate.send(*streams, has_body=True)
    assert len(gate.backend.responses) == SLOTS
    for stream in streams:
        # Among holders of one size, the oldest one is dropped first.
        size = PART - 1_000 + 100 * (stream > SLOTS)
        part = RequestBody(stream=stream, data=b"x" * size, last=False)
        gate.host.receive(gate.peer, part)
        assert gate.budget.used <= 4 * PART
    await gate.settle()
    assert {1, SLOTS + 1} <= set(gate.peer.failed)
    rans = {stream: failure.ran for stream, failure in gate.peer.failed.items()}
    for stream, ran in rans.items():
        expected = "outcome unknown" if stream <= SLOTS else "not run"
        assert ran == expected, rans
    for stream in streams:
        gate.host.receive(gate.peer, Cancel(stream=stream))
    await gate.settle()
    assert gate.budget.used == 0
