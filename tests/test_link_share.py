"""Tests of the link between large and small responses, mostly in virtual time.

The load is that of deployment A. The baseline is the present behaviour: requests are
sent in order of arrival, and responses are written as they arrive.
"""

from functools import cache

import pytest

from bench.link_delays import LINK_RATES, measure
from monsoonlug.caller_buffers import CallerBuffers
from monsoonlug.link_share import LinkShare, build_link_share
from monsoonlug.memory_budget import MemoryBudget
from monsoonlug.platform.settings import NodeFile
from monsoonlug.response_room import ROOM_RETRY_AFTER, ResponseRoom, RoomRequest
from tests.test_large_responses import BUDGET, MEAN, ROUTE, Gate, build_sizes

# Seconds that a small message may wait for large responses: a few tens of milliseconds.
MAX_SMALL_DELAY = 0.050
MAX_IN_TIME_LOSS = 0.01  # share of the large responses


@cache
def simulate(mbps, *, shared, hanging=0.0):
    return measure(mbps=mbps, shared=shared, hanging=hanging)


@pytest.mark.parametrize("mbps", LINK_RATES)
def test_small_messages_to_callers_do_not_wait(mbps):
    """Guards against small responses behind large ones on the way to callers."""
    shared, baseline = simulate(mbps, shared=True), simulate(mbps, shared=False)
    assert shared.delay_out <= MAX_SMALL_DELAY
    assert shared.delay_out < baseline.delay_out


@pytest.mark.parametrize("mbps", LINK_RATES)
def test_small_messages_from_hosts_do_not_wait(mbps):
    """Guards against messages of gates behind large responses of servers."""
    shared, baseline = simulate(mbps, shared=True), simulate(mbps, shared=False)
    assert shared.delay_in <= baseline.delay_in
    assert shared.delay_in <= MAX_SMALL_DELAY


@pytest.mark.parametrize("mbps", LINK_RATES)
def test_small_messages_from_hosts_wait_less_than_before(mbps):
    """Guards against a bound on concurrent responses that has no effect."""
    shared, baseline = simulate(mbps, shared=True), simulate(mbps, shared=False)
    assert shared.delay_in <= baseline.delay_in


@pytest.mark.parametrize("hanging", [0.0, 0.05])
@pytest.mark.parametrize("mbps", LINK_RATES)
def test_large_responses_meet_their_objective(mbps, hanging):
    """Guards against a link that is idle while requests wait for it.

    Servers that never respond must not keep it from the others.
    """
    shared = simulate(mbps, shared=True, hanging=hanging)
    baseline = simulate(mbps, shared=False, hanging=hanging)
    assert shared.in_time >= baseline.in_time - MAX_IN_TIME_LOSS


def test_fast_or_unknown_links_are_not_limited(tmp_path):
    """Guards against a change for earlier deployments, and a link without a place."""
    for mbps in (None, 100.1, 1_000):
        assert build_link_share(mbps) is None
    rates = [0.5, 2, 3.7, 12, 100]
    assert [build_link_share(mbps).places for mbps in rates] == [1, 1, 1, 2, 19]
    path = tmp_path / "node.json"
    path.write_text('{"limits": {"linkMbps": 3.7}}')
    assert NodeFile(path)._read_host_limits().link_mbps == 3.7
    path.write_text('{"limits": {"memoryMb": 160}}')
    assert NodeFile(path)._read_host_limits().link_mbps is None


# Requests that wait.


class Room:
    """A room with a link of 3.7 Mbit/s; 90 KB are read in 0.23 s."""

    def __init__(self):
        self.now = 0.0
        self.link = LinkShare(mbps=3.7)
        self.room = ResponseRoom(
            budget=MemoryBudget(limit=BUDGET),
            sizes=build_sizes(),
            link=self.link,
            read_clock=lambda: self.now,
        )

    def add(self, name, *, objective, deadline=30.0):
        request = RoomRequest(
            request_id=name,
            route=ROUTE,
            latest=0.0,
            payload=None,
            objective=objective,
            deadline=deadline,
        )
        assert self.room.enqueue(request) is None

    def admit(self):
        return [request.request_id for request, _ in self.room.admit()]


def test_earliest_objective_goes_first():
    """Guards against late requests, and lost ones, that delay those still in time."""
    room = Room()
    current = room.room.open(ROUTE)
    for name, objective in (("lost", 0.1), ("later", 9.0), ("sooner", 5.0)):
        room.add(name, objective=objective)
    assert room.admit() == []
    wake = room.room.find_wake_time()
    assert 0.0 < wake < 0.5
    for expected in ("sooner", "later", "lost"):
        current.close()
        ((request, current),) = room.room.admit()
        assert request.request_id == expected
    assert room.room.find_wake_time() is None


def test_place_is_free_before_the_caller_has_read():
    """Guards against a caller that reads slowly and keeps the link from others."""
    room = Room()
    current = room.room.open(ROUTE)
    current.record_head()
    current.record_read(MEAN)
    room.add("next", objective=5.0)
    current.record_end()
    assert room.admit() == ["next"]
    assert current.held == MEAN


def test_response_that_stalls_does_not_block_the_link():
    """Guards against one server or full memory that stops all large responses."""
    room = Room()
    room.room.open(ROUTE).set_expected(6 * MEAN)
    room.add("next", objective=5.0)
    assert room.admit() == []
    room.now = 1.0
    assert room.admit() == ["next"]


def test_request_without_a_chance_is_refused_at_once():
    """Guards against callers that wait in vain, and requests that run too late."""
    room = Room()
    current = room.room.open(ROUTE)
    current.set_expected(6 * MEAN)
    room.add("served", objective=2.0, deadline=2.3)
    room.add("refused", objective=2.1, deadline=1.8)
    assert room.admit() == []
    ((request, refusal),) = room.room.expire(0.0)
    assert request.request_id == "refused"
    error = refusal.build_error()
    assert (error.code, error.ran.value) == ("overloaded", "not run")
    # The response in transmission and that of the other request take 1.6 s.
    assert ROOM_RETRY_AFTER < error.retry_after < 1.8
    assert room.room.refused_for_link == 1
    room.now = 2.2
    current.close()
    assert room.admit() == []
    assert len(room.room.expire(room.now)) == 1


async def test_gate_sends_one_request_after_the_other():
    """Guards against a gate host that does not ask before it sends."""
    gate = Gate()
    gate.host.large_responses.room.link = LinkShare(mbps=3.7)
    gate.backend.is_hanging = True
    await gate.send(1, 2, 3)
    assert len(gate.backend.responses) == 1
    gate.backend.is_hanging = False
    await gate.settle()
    assert len(gate.backend.responses) == 3
    assert not gate.peer.failed


# Writes to callers.


async def test_parts_are_written_in_pieces():
    """Guards against a part that occupies the link at once, and lost bytes."""
    for link in (None, LinkShare(mbps=100), LinkShare(mbps=8)):
        written = []

        class Response:
            async def write(self, data, written=written):
                written.append(data)

        buffers = CallerBuffers(
            budget=MemoryBudget(limit=BUDGET), sizes=build_sizes(), link=link
        )
        buffer = buffers.open(ROUTE, None, length=40_000, objective=0.0)
        data = bytes(range(250)) * 160
        await buffer.write(Response(), data)
        assert b"".join(written) == data
        limit = len(data) if link is None else link.piece_bytes
        assert max(map(len, written)) == min(len(data), limit)


def test_writes_leave_a_share_of_the_link():
    """Guards against large responses that use the whole link, or miss objectives."""
    for objective, share in ((100.0, 0.7), (0.0, 0.9)):
        link = LinkShare(mbps=3.7)
        written, now = 0, 0.0
        while now < 10.0:
            time = link.request_write(now, "w", 16_384, left=MEAN, objective=objective)
            written += 16_384 * (time <= now)
            now = max(now + 0.001, time)
        assert written == pytest.approx(10 * share * 3.7 * 125_000, rel=0.01)


def test_earliest_objective_is_written_first():
    """Guards against callers that are late because others were served in turn.

    A writer that has left, or whose caller reads slowly, must not delay the others.
    """
    link = LinkShare(mbps=3.7)
    assert link.request_write(0.0, "a", 16_384, left=MEAN, objective=9.0) == 0.0
    now = link.request_write(0.0, "late", 16_384, left=MEAN, objective=8.0)
    assert now > 0.0
    assert link.request_write(0.0, "gone", 16_384, left=MEAN, objective=1.0) == now
    assert link.request_write(0.0, "soon", 16_384, left=MEAN, objective=5.0) == now
    assert link.request_write(now, "late", 16_384, left=MEAN, objective=8.0) > now
    link.cancel_write("gone")
    assert link.request_write(now, "soon", 16_384, left=MEAN, objective=5.0) == now
    now += 0.2
    assert link.request_write(now, "late", 16_384, left=MEAN, objective=8.0) == now
