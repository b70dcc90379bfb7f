"""Tests of the queue of one gate, in virtual time."""

from collections import Counter

import pytest

from monsoonlug.exceptions import (
    ConnectFailed,
    NotGate,
    Overloaded,
    ServerDraining,
    ServerResting,
)
from monsoonlug.fairness import QueuedRequest
from monsoonlug.gate import Outcome
from monsoonlug.ids import Ran, RequestClass
from monsoonlug.request_limits import BURST, RequestLimits
from monsoonlug.serverqueue import (
    KEY_MOVE_TIME,
    RECONNECT_DELAY,
    ServerQueue,
    ServiceTimeModel,
)


class SimulatedGate:
    """A gate whose servers take a fixed service time, driven in virtual time."""

    def __init__(self, *servers, slots=2, cold_rate=3.0):
        self.model = ServiceTimeModel()
        self.limits = RequestLimits()
        self.queue = ServerQueue(model=self.model, limits=self.limits)
        for server in servers:
            self.queue.set_server(server, slots=slots, cold_rate=cold_rate)
        self.now = 0.0
        self.number = 0
        self.running = []
        self.started = []
        self.refused = []

    def add(
        self,
        *,
        request_class=RequestClass.NORMAL,
        deadline=1.0,
        server=None,
        workspace="w",
    ):
        self.number += 1
        request = QueuedRequest(
            request_id=f"r{self.number}",
            workspace=workspace,
            request_class=request_class,
            deadline=self.now + deadline,
            route="lookup",
        )
        refusal = self.queue.enqueue(self.now, request, server)
        if refusal is not None:
            self.refused.append((request.request_id, refusal))
        self.process_queue()
        return request.request_id, refusal

    def process_queue(self, service=0.1):
        for request, server in self.queue.dequeue(self.now):
            self.started.append((self.now, request.request_id, server))
            self.running.append((self.now + service, request.request_id, server))
        for request, refusal in self.queue.expire(self.now):
            self.refused.append((request.request_id, refusal))

    def advance(self, seconds, *, step=0.01, outcome=Outcome.ANSWERED):
        until = self.now + seconds
        while self.now < until:
            self.now += step
            ended = [item for item in self.running if item[0] <= self.now]
            self.running = [item for item in self.running if item[0] > self.now]
            for _, request_id, server in ended:
                self.queue.finish(self.now, request_id, server, outcome)
            self.process_queue()


def test_a_server_never_gets_more_than_its_slots():
    """Guards against a burst of requests for one server that exceeds its slots.

    Some servers never respond to requests that they cannot queue.
    """
    gate = SimulatedGate("a")
    for _ in range(20):
        gate.add(server="a", deadline=5.0)
    most = 0
    for _ in range(100):
        gate.advance(0.01)
        most = max(most, len(gate.running))
    assert most == 2


def test_critical_requests_precede_waiting_background_ones():
    """Guards against critical requests that wait behind a burst of background ones."""
    gate = SimulatedGate("a")
    for _ in range(6):
        gate.add(server="a", request_class=RequestClass.BACKGROUND, deadline=5.0)
    urgent, _ = gate.add(server="a", request_class=RequestClass.CRITICAL, deadline=5.0)
    gate.advance(0.6)
    order = [request_id for _, request_id, _ in gate.started]
    assert order.index(urgent) == 2


def test_request_predicted_to_be_late_is_refused_at_once():
    """Guards against requests that queue until their deadline under overload.

    Requests arrive at twice the service rate of the server.
    """
    gate = SimulatedGate("a")
    for _ in range(200):
        gate.add(server="a", deadline=0.6)
        gate.advance(0.025)
    assert gate.refused
    for _, refusal in gate.refused:
        assert refusal.error is Overloaded
        assert 0 < refusal.retry_after <= 2.0
    waited = [at for at, _, _ in gate.started]
    assert len(waited) > 0.85 * 200 / 2


def test_workspaces_of_a_class_are_served_fairly():
    """Guards against one workspace starving another.

    One workspace queues twelve requests at once, then another workspace queues one.
    """
    gate = SimulatedGate("a")
    for _ in range(12):
        gate.add(server="a", deadline=5.0, workspace="large")
    small, _ = gate.add(server="a", deadline=5.0, workspace="small")
    gate.advance(0.35)
    assert small in [request_id for _, request_id, _ in gate.started]


def test_requests_of_the_last_second_are_counted():
    """Guards against a log that cannot tell what a cold server got before the news."""
    gate = SimulatedGate("a")
    for _ in range(6):
        gate.add(server="a", deadline=5.0)
    gate.advance(0.15)
    assert gate.queue.count_recent_sends(gate.now, "a") == 4
    gate.advance(1.2)
    assert gate.queue.count_recent_sends(gate.now, "a") == 0
    assert gate.queue.count_recent_sends(gate.now, "other") == 0


def test_cold_server_is_spared():
    """Guards against overloading a server during its cold start.

    Arrivals at full load continue while a failure domain comes back cold.
    """
    gate = SimulatedGate("a", cold_rate=3.0)
    gate.queue.set_cold(gate.now, "a", 3.0)
    for _ in range(60):
        gate.add(server="a", deadline=3.0)
        gate.advance(0.05)
    for start, _, _ in gate.started:
        if start > 2.0:
            continue
        inside = [at for at, _, _ in gate.started if start <= at < start + 1.0]
        assert len(inside) <= 3.0 * 1.5 + 5


def test_shared_requests_prefer_the_fast_server():
    """Guards against a slow server that receives as many requests as a fast one."""
    gate = SimulatedGate("fast", "slow")
    for _ in range(30):
        gate.model.record("lookup", "fast", 0.05)
        gate.model.record("lookup", "slow", 0.20)
    for _ in range(40):
        gate.add(deadline=2.0)
        gate.advance(0.1)
    servers = [server for _, _, server in gate.started]
    assert servers.count("fast") > 0.9 * len(servers)


def test_unreachable_server_is_skipped_until_reconnect_delay():
    """Guards against requests that wait for a connection to an unreachable server."""
    gate = SimulatedGate("a")
    gate.add(server="a")
    gate.add(server="a")
    waiting, _ = gate.add(server="a", deadline=2.0)
    gate.advance(0.15, outcome=Outcome.UNREACHED)
    assert waiting in [request_id for request_id, _ in gate.refused]
    _, refusal = gate.add(server="a", deadline=2.0)
    assert refusal.error is ConnectFailed
    assert 0 < refusal.retry_after <= RECONNECT_DELAY
    gate.advance(RECONNECT_DELAY + 0.1)
    _, refusal = gate.add(server="a", deadline=2.0)
    assert refusal is None


def test_gate_that_reaches_no_server_refuses_at_once():
    """Guards against requests that wait at a gate whose servers are all unreachable.

    Another gate can send them, as long as they are told from lost ones.
    """
    gate = SimulatedGate("a", "b")
    for _ in range(6):
        gate.add(deadline=2.0)
    gate.advance(0.15, outcome=Outcome.UNREACHED)
    assert len(gate.refused) == 2
    _, refusal = gate.add(deadline=2.0)
    assert refusal.error is ConnectFailed
    assert 0 < refusal.retry_after <= RECONNECT_DELAY
    gate.advance(RECONNECT_DELAY)
    _, refusal = gate.add(deadline=2.0)
    assert refusal is None


def test_request_does_not_wait_for_an_unreachable_server():
    """Guards against a slow server left idle for a fast one that is unreachable."""
    gate = SimulatedGate("fast", "slow")
    for server, service_time in (("fast", 0.1), ("slow", 0.9)) * 10:
        gate.model.record("lookup", server, service_time)
    gate.queue.mark_unreachable(gate.now, "fast")
    gate.add(deadline=2.0)
    assert [server for _, _, server in gate.started] == ["slow"]


def test_servers_with_overdue_responses_are_counted():
    """Guards against a cut host that waits for each silent server on its own."""
    servers = ("s1", "s2", "s3")
    gate = SimulatedGate(*servers)
    for server in servers:
        gate.add(server=server)
    gate.queue.finish(0.1, "r1", "s1", Outcome.ANSWERED)
    assert gate.queue.count_overdue_servers(0.25, 0.3) == 0
    assert gate.queue.count_overdue_servers(0.31, 0.3) == 2


def test_nothing_is_sent_to_a_resting_server():
    """Guards against requests in the time in which a server wants none."""
    gate = SimulatedGate("s1")
    waiting, _ = gate.add(server="s1")
    gate.add(server="s1")
    gate.add(server="s1")
    gate.queue.set_rest("s1", 3.0)
    gate.process_queue()
    assert [error.error for _, error in gate.refused] == [ServerResting]
    _, refusal = gate.add(server="s1", deadline=1.5)
    assert refusal.error is ServerResting
    assert refusal.ran is Ran.NOT_RUN
    assert 0 < refusal.retry_after <= KEY_MOVE_TIME
    gate.advance(3.0)
    assert len(gate.started) == 2
    gate.add(server="s1")
    assert len(gate.started) == 3


def test_request_waits_for_the_end_of_a_short_rest():
    """Guards against refusals of what the server could still run in time."""
    gate = SimulatedGate("s1")
    gate.queue.set_rest("s1", 0.03)
    _, refusal = gate.add(server="s1")
    assert refusal is None
    assert gate.started == []
    gate.advance(0.05)
    assert len(gate.started) == 1


def test_shared_requests_pass_by_a_resting_server():
    """Guards against requests that wait for one server while another is free."""
    gate = SimulatedGate("s1", "s2")
    gate.queue.set_rest("s1", 3.0)
    for _ in range(5):
        gate.add()
        gate.advance(0.2)
    assert {server for _, _, server in gate.started} == {"s2"}
    gate.add()
    gate.add()
    gate.add()
    gate.queue.set_rest("s2", gate.now + 1.0)
    gate.process_queue()
    _, refusal = gate.add()
    assert refusal.error is ServerResting
    assert [item.error for _, item in gate.refused] == 2 * [ServerResting]


def test_shared_requests_pass_by_a_closed_server():
    """Guards against requests that wait for a server that shuts down."""
    gate = SimulatedGate("s1", "s2")
    gate.queue.close_server("s1", 0.5)
    gate.advance(0.5)
    for _ in range(5):
        gate.add()
        gate.advance(0.2)
    assert {server for _, _, server in gate.started} == {"s2"}
    gate.queue.close_server("s2", gate.now)
    _, refusal = gate.add()
    assert refusal.error is ServerDraining


def test_nothing_is_sent_to_a_closed_server():
    """Guards against new requests to a server whose leave was acknowledged."""
    gate = SimulatedGate("a")
    for _ in range(4):
        gate.add(server="a", deadline=5.0)
    gate.queue.close_server("a", gate.now + 0.05)
    gate.advance(0.3)
    assert len(gate.started) == 2
    assert {refusal.error for _, refusal in gate.refused} == {ServerDraining}


@pytest.mark.parametrize("server", ["a", None])
def test_requests_of_a_removed_server_are_refused(server):
    """Guards against requests without any response after their server was removed."""
    gate = SimulatedGate("a")
    for _ in range(4):
        gate.add(server=server, deadline=5.0)
    gate.queue.remove_server("a")
    gate.process_queue()
    assert [refusal.error for _, refusal in gate.refused] == [NotGate, NotGate]


def test_cancelled_request_is_not_sent():
    """Guards against running requests whose caller has disconnected."""
    gate = SimulatedGate("a")
    gate.add(server="a")
    gate.add(server="a")
    left, _ = gate.add(server="a", deadline=2.0)
    assert gate.queue.cancel(left)
    gate.advance(0.5)
    assert left not in [request_id for _, request_id, _ in gate.started]


def count_most(times, window):
    return max(sum(start <= at < start + window for at in times) for start in times)


def test_limited_server_gets_at_most_its_rate_and_a_burst():
    """Guards against sends above a server's request limit in any window."""
    gate = SimulatedGate("a", slots=4)
    gate.limits.record_response(0.0, "a", 1.5)
    for _ in range(400):
        gate.add(server="a", deadline=1.0)
        gate.advance(0.05, step=0.05)
    times = [at for at, _, _ in gate.started]
    for window in (1.0, 4.0, 10.0):
        assert count_most(times, window) <= 1.5 * window + BURST
    assert len(times) > 1.5 * 20 - 2


def test_lowered_limit_refuses_waiting_requests_at_once():
    """Guards against requests that wait in vain after a server lowered its limit."""
    gate = SimulatedGate("a", slots=1)
    for _ in range(6):
        gate.add(server="a", deadline=1.0)
    gate.limits.record_response(0.0, "a", 0.5)
    gate.advance(0.05)
    # One request runs, and a burst of two remains.
    assert len(gate.refused) == 3
    assert all(refusal.error is Overloaded for _, refusal in gate.refused)


def test_lifted_limit_restores_the_full_rate():
    """Guards against a limit that outlasts the server's need."""
    gate = SimulatedGate("a")
    gate.limits.record_response(0.0, "a", 1.0)
    gate.limits.record_response(0.0, "a", None)
    for _ in range(20):
        gate.add(server="a", deadline=5.0)
    gate.advance(1.1)
    assert len(gate.started) >= 20


def test_other_servers_take_what_a_limited_one_cannot():
    """Answers the pattern of one server in need among several of a pool."""
    gate = SimulatedGate("a", "b")
    gate.limits.record_response(0.0, "a", 1.0)
    for _ in range(100):
        gate.add(deadline=1.0)
        gate.advance(0.1)
    counts = Counter(server for _, _, server in gate.started)
    assert counts["a"] <= 1.0 * 10 + BURST
    assert counts["a"] + counts["b"] == 100
