import pytest

from monsoonlug.exceptions import NotGate, Overloaded, ServerDraining
from monsoonlug.fairness import QueuedRequest
from monsoonlug.gate import Outcome
from monsoonlug.ids import RequestClass
from monsoonlug.serverqueue import DOWN_TIME, ServerQueue, WorkModel


class Gate:
    """A gate with servers that take a fixed time for each request."""

    def __init__(self, *servers, slots=2, cold_rate=3.0):
        self.model = WorkModel()
        self.queue = ServerQueue(model=self.model)
        for server in servers:
            self.queue.put_server(server, slots=slots, cold_rate=cold_rate)
        self.now = 0.0
        self.number = 0
        self.running = []
        self.started = []
        self.refused = []

    def add(
        self, *, rank=RequestClass.NORMAL, deadline=1.0, server=None, workspace="w"
    ):
        self.number += 1
        request = QueuedRequest(
            request_id=f"r{self.number}",
            workspace=workspace,
            request_class=rank,
            deadline=self.now + deadline,
            route="lookup",
        )
        refusal = self.queue.enqueue(self.now, request, server)
        if refusal is not None:
            self.refused.append((request.request_id, refusal))
        self.pump()
        return request.request_id, refusal

    def pump(self, service=0.1):
        for request, server in self.queue.next(self.now):
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
                self.queue.finished(self.now, request_id, server, outcome)
            self.pump()


def test_a_server_never_gets_more_than_its_slots():
    """Guards against a server that hangs on what it cannot queue.

    The pattern: a burst of requests for one server.
    """
    gate = Gate("a")
    for _ in range(20):
        gate.add(server="a", deadline=5.0)
    most = 0
    for _ in range(100):
        gate.advance(0.01)
        most = max(most, len(gate.running))
    assert most == 2


def test_urgent_requests_overtake_waiting_ones():
    """Guards against payments that wait behind lookups in a burst."""
    gate = Gate("a")
    for _ in range(6):
        gate.add(server="a", rank=RequestClass.BACKGROUND, deadline=5.0)
    urgent, _ = gate.add(server="a", rank=RequestClass.CRITICAL, deadline=5.0)
    gate.advance(0.6)
    order = [request_id for _, request_id, _ in gate.started]
    assert order.index(urgent) == 2


def test_what_cannot_end_in_time_is_refused_at_once():
    """Guards against requests that wait until their deadline in an overload.

    The pattern: twice as many requests come as a server can serve.
    """
    gate = Gate("a")
    for _ in range(200):
        gate.add(server="a", deadline=0.6)
        gate.advance(0.025)
    assert gate.refused
    for _, refusal in gate.refused:
        assert refusal.error is Overloaded
        assert 0 < refusal.retry_after <= 2.0
    waited = [at for at, _, _ in gate.started]
    assert len(waited) > 0.85 * 200 / 2


def test_workspaces_of_a_class_are_served_in_turn():
    """Guards against a small workspace that waits behind all of a large one.

    The pattern: one workspace sends many requests at once, another one a few.
    """
    gate = Gate("a")
    for _ in range(12):
        gate.add(server="a", deadline=5.0, workspace="large")
    small, _ = gate.add(server="a", deadline=5.0, workspace="small")
    gate.advance(0.35)
    assert small in [request_id for _, request_id, _ in gate.started]


def test_cold_server_is_spared():
    """Guards against a server that falls over in its cold start.

    The pattern: a domain comes back cold under full load.
    """
    gate = Gate("a", cold_rate=3.0)
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
    """Guards against a slow server that takes as much as a fast one."""
    gate = Gate("fast", "slow")
    for _ in range(30):
        gate.model.learn("lookup", "fast", 0.05)
        gate.model.learn("lookup", "slow", 0.20)
    for _ in range(40):
        gate.add(deadline=2.0)
        gate.advance(0.1)
    servers = [server for _, _, server in gate.started]
    assert servers.count("fast") > 0.9 * len(servers)


def test_unreachable_server_is_skipped_for_a_moment():
    """Guards against requests that wait for a connection to a server that is gone."""
    gate = Gate("a")
    gate.add(server="a")
    gate.add(server="a")
    waiting, _ = gate.add(server="a", deadline=2.0)
    gate.advance(0.15, outcome=Outcome.UNREACHED)
    assert waiting in [request_id for request_id, _ in gate.refused]
    _, refusal = gate.add(server="a", deadline=2.0)
    assert refusal.error is Overloaded
    gate.advance(DOWN_TIME + 0.1)
    _, refusal = gate.add(server="a", deadline=2.0)
    assert refusal is None


def test_nothing_is_sent_to_a_closed_server():
    """Guards against new work for a server that was acknowledged as leaving."""
    gate = Gate("a")
    for _ in range(4):
        gate.add(server="a", deadline=5.0)
    gate.queue.close_server("a", gate.now + 0.05)
    gate.advance(0.3)
    assert len(gate.started) == 2
    assert {refusal.error for _, refusal in gate.refused} == {ServerDraining}


@pytest.mark.parametrize("server", ["a", None])
def test_requests_of_a_dropped_server_are_handed_back(server):
    """Guards against requests that no one answers after their server is gone."""
    gate = Gate("a")
    for _ in range(4):
        gate.add(server=server, deadline=5.0)
    gate.queue.drop_server("a")
    gate.pump()
    assert [refusal.error for _, refusal in gate.refused] == [NotGate, NotGate]


def test_cancelled_request_is_not_sent():
    """Guards against work for a caller that has left."""
    gate = Gate("a")
    gate.add(server="a")
    gate.add(server="a")
    left, _ = gate.add(server="a", deadline=2.0)
    assert gate.queue.cancel(left)
    gate.advance(0.5)
    assert left not in [request_id for _, request_id, _ in gate.started]
