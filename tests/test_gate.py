"""Tests of the gate of one backend server."""

from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from bench.gate import simulate
from monsoonlug.catalogue import PoolLimits
from monsoonlug.exceptions import DeadlineExceeded, Overloaded
from monsoonlug.fairness import NO_SLICE, QueuedRequest
from monsoonlug.gate import Gate, Outcome
from monsoonlug.ids import RequestClass, ServerPhase
from monsoonlug.ramp import MIN_SAMPLES, Stage

LIMITS = PoolLimits(slots=2, cold_rate=20.0, cold_seconds=1.0, queue=6)
FAR_FUTURE = 1e9  # seconds; later than the end of every test


def make_request(
    number, *, workspace="w0", deadline=FAR_FUTURE, slice=NO_SLICE, **fields
):
    return QueuedRequest(
        request_id=f"r{number}",
        workspace=workspace,
        request_class=fields.pop("request_class", RequestClass.NORMAL),
        deadline=deadline,
        slice=slice,
        **fields,
    )


def make_gate(**fields):
    limits = LIMITS.model_copy(update=fields)
    return Gate(limits=limits, now=0.0, phase=ServerPhase.WARM)


class GateMachine(RuleBasedStateMachine):
    """Checks a gate against a model of its waiting, running and ended requests."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.number = 0
        self.waiting = {}
        self.running = {}
        self.ended = set()
        self.held_slices = set()
        self.draining = False
        self.is_cut_back = False
        self.cold_sends = [0.0]

    @initialize(phase=st.sampled_from([ServerPhase.COLD, ServerPhase.WARM]))
    def start(self, phase):
        self.gate = Gate(limits=LIMITS, now=0.0, phase=phase)
        self.reported_cold = phase is ServerPhase.COLD
        self.cold_until = LIMITS.cold_seconds if self.reported_cold else 0.0

    def remove_request(self, request):
        assert request.request_id not in self.ended, "a request ended twice"
        assert self.waiting.pop(request.request_id) is request
        self.ended.add(request.request_id)

    def restart_cold_phase(self):
        self.cold_until = self.now + LIMITS.cold_seconds

    @rule(
        workspace=st.sampled_from(["w0", "w1", "w2"]),
        request_class=st.sampled_from(RequestClass),
        time_to_deadline=st.sampled_from([0.03, 0.2, 1.0, 5.0, 5.0, 5.0]),
        slice=st.sampled_from([NO_SLICE, 1, 2]),
        copies=st.integers(1, 4),
    )
    def enqueue(self, workspace, request_class, time_to_deadline, slice, copies):
        for _ in range(copies):
            self.number += 1
            request = make_request(
                self.number,
                workspace=workspace,
                request_class=request_class,
                deadline=self.now + time_to_deadline,
                slice=slice,
            )
            if self.gate.enqueue(self.now, request) is None:
                self.waiting[request.request_id] = request
            self.collect_refused()

    @rule(
        step=st.sampled_from([0.0, 0.0, 0.001, 0.049, 0.05, 0.3]),
        lease=st.sampled_from([-0.1, 0.0, 0.001, 0.4, 0.4]),
    )
    def send(self, step, lease):
        self.now += step
        for request in self.gate.dequeue(self.now, self.now + lease):
            assert lease > 0, "a request was sent after the end of the lease"
            assert not self.draining
            assert self.now < request.deadline
            assert request.slice not in self.held_slices
            for other in self.waiting.values():
                if other.slice in self.held_slices or other.deadline <= self.now:
                    continue
                later = other.request_class.value >= request.request_class.value
                assert later, "a lower class was served first"
            if self.now < self.cold_until:
                assert not self.running, "a cold server was sent a second request"
                self.cold_sends.append(self.now)
            self.remove_request(request)
            self.running[request.request_id] = request
        self.collect_refused()

    @precondition(lambda self: self.running)
    @rule(
        data=st.data(),
        outcome=st.sampled_from([Outcome.ANSWERED, *Outcome]),
        latency=st.sampled_from([0.004, 0.01, 0.012, 0.5]),
    )
    def finish(self, data, outcome, latency):
        name = data.draw(st.sampled_from(sorted(self.running)))
        request = self.running.pop(name)
        freed = self.gate.finish(self.now, name, outcome, latency)
        others = [item.slice for item in self.running.values()]
        idle = request.slice in self.held_slices and request.slice not in others
        assert freed == ([request.slice] if idle else [])
        assert self.gate.finish(self.now, name, outcome, latency) == []
        if outcome is Outcome.SHED:
            self.is_cut_back = True
            self.restart_cold_phase()
        # While the server is probed, the gate refuses waiting requests without a slice.
        self.collect_refused()

    @rule(phase=st.sampled_from([*ServerPhase, ServerPhase.WARM]))
    def report_phase(self, phase):
        self.gate.set_phase(self.now, phase, LIMITS.cold_rate)
        self.draining = phase is ServerPhase.DRAINING
        if phase is ServerPhase.COLD:
            self.is_cut_back = False
            self.restart_cold_phase()
        elif phase is ServerPhase.WARM and self.reported_cold and not self.is_cut_back:
            self.cold_until = self.now
        self.reported_cold = phase is ServerPhase.COLD
        self.collect_refused()

    @rule(
        number=st.sampled_from([1, 2]),
        operation=st.sampled_from(["hold", "hold", "resume", "remove"]),
    )
    def hold_or_release_slice(self, number, operation):
        if operation == "hold":
            runs = any(item.slice == number for item in self.running.values())
            assert self.gate.hold_slices([number]) == ([] if runs else [number])
            self.held_slices.add(number)
            return
        if operation == "resume":
            self.gate.resume_slices([number])
        elif number in self.held_slices:
            waiting = list(self.waiting.values())
            moved = self.gate.remove_held([number])
            assert set(moved) == {item for item in waiting if item.slice == number}
            for request in moved:
                self.remove_request(request)
        self.held_slices.discard(number)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def remove_waiting(self, data):
        name = data.draw(st.sampled_from(sorted(self.waiting)))
        chosen = self.waiting[name]
        if data.draw(st.booleans()):
            assert self.gate.cancel(name)
            self.remove_request(chosen)
            return
        for request, _ in self.gate.drop(lambda item: item.slice == chosen.slice):
            self.remove_request(request)
        assert all(item.slice != chosen.slice for item in self.waiting.values())

    @rule()
    def collect_refused(self):
        for request, _ in self.gate.expire(self.now):
            self.remove_request(request)
        for request in self.waiting.values():
            assert self.now < request.deadline

    @invariant()
    def check_bounds(self):
        assert len(self.running) <= LIMITS.slots
        assert self.gate.running == len(self.running)
        assert self.gate.queued == len(self.waiting) <= LIMITS.queue
        for earlier, later in zip(self.cold_sends, self.cold_sends[1:], strict=False):
            assert later - earlier >= 1 / LIMITS.cold_rate - 1e-9

    def teardown(self):
        for request in self.gate.remove_all():
            self.remove_request(request)
        assert not self.waiting, "a request was lost"


TestGateMachine = GateMachine.TestCase
TestGateMachine.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=80,
    stateful_step_count=50,
)


def test_full_queue_evicts_lowest_class_and_busiest_workspace():
    """Guards against low classes or one workspace filling the queue."""
    gate = make_gate(queue=3)
    for number, workspace in enumerate(["w1", "w2", "w2"]):
        request = make_request(
            number, workspace=workspace, request_class=RequestClass.BACKGROUND
        )
        assert gate.enqueue(0.0, request) is None
    assert gate.enqueue(0.0, make_request(3)) is None
    [(shed, refusal)] = gate.expire(0.0)
    assert shed.request_id == "r2"
    assert refusal.error is Overloaded
    late = make_request(4, workspace="w1", request_class=RequestClass.BACKGROUND)
    assert gate.enqueue(0.0, late).error is Overloaded


def test_request_predicted_to_be_late_is_refused_at_once():
    """Guards against requests that queue although they will miss their deadline."""
    gate = make_gate(queue=100)
    for number in range(40):
        assert gate.enqueue(0.0, make_request(number)) is None
    refusal = gate.enqueue(0.0, make_request(40, deadline=0.1))
    assert refusal.error is Overloaded
    assert 0.05 <= refusal.retry_after < 1.0
    assert gate.enqueue(0.0, make_request(41, deadline=0.5)) is None


def test_idle_server_is_tried_after_slow_answers():
    """Guards against an estimate that refuses all requests and gets no new sample."""
    gate = make_gate()
    for number in range(3):
        gate.enqueue(0.0, make_request(number))
        [request] = gate.dequeue(0.0, FAR_FUTURE)
        gate.finish(0.0, request.request_id, Outcome.ANSWERED, 60.0)
    assert gate.enqueue(1.0, make_request(9, deadline=2.0)) is None
    assert gate.dequeue(1.0, FAR_FUTURE)


def test_hold_slices_holds_requests_that_already_wait():
    """Guards against sends to the old owner of a slice after its release."""
    gate = make_gate()
    for number in range(3):
        gate.enqueue(0.0, make_request(number, slice=7))
    assert len(gate.dequeue(0.0, FAR_FUTURE)) == 2
    assert gate.hold_slices([7, 8]) == [8]
    assert gate.finish(0.0, "r0", Outcome.ANSWERED, 0.01) == []
    assert gate.finish(0.0, "r1", Outcome.ANSWERED, 0.01) == [7]
    assert gate.dequeue(1.0, FAR_FUTURE) == []
    gate.resume_slices([7])
    assert len(gate.dequeue(1.0, FAR_FUTURE)) == 1


def test_request_past_its_deadline_is_not_sent():
    """Guards against a send after the deadline if `dequeue` runs before `expire`."""
    gate = make_gate()
    gate.enqueue(0.0, make_request(1, deadline=0.1))
    assert gate.dequeue(0.1, FAR_FUTURE) == []
    assert len(gate.expire(0.1)) == 1


def test_reports_of_a_warm_server_do_not_restart_the_ramp():
    """Guards against a rate limit for a server that repeats its WARM report."""
    gate = make_gate()
    gate.set_phase(0.0, ServerPhase.WARM, LIMITS.cold_rate)
    assert gate.ramp.stage is Stage.FULL


def test_warm_report_after_a_cut_back_counts_only_after_a_cold_one():
    """Guards against delayed WARM reports that end a cold start too early."""
    gate = Gate(limits=LIMITS, now=0.0)
    gate.enqueue(0.1, make_request(1))
    gate.dequeue(0.1, FAR_FUTURE)
    gate.finish(0.1, "r1", Outcome.SHED, 0.01)
    gate.set_phase(0.1, ServerPhase.WARM, LIMITS.cold_rate)
    assert gate.ramp.stage is Stage.COLD
    gate.set_phase(0.2, ServerPhase.COLD, LIMITS.cold_rate)
    gate.set_phase(0.3, ServerPhase.WARM, LIMITS.cold_rate)
    assert gate.ramp.stage is Stage.GROWING


def test_held_request_expires_but_is_not_refused_before():
    """Guards against early refusal of requests that wait for a slice to move."""
    gate = make_gate()
    gate.hold_slices([7])
    assert gate.enqueue(0.0, make_request(1, slice=7, deadline=0.001)) is None
    assert gate.dequeue(0.0, FAR_FUTURE) == [] and gate.expire(0.0) == []
    [(_, refusal)] = gate.expire(0.001)
    assert refusal.error is DeadlineExceeded


@pytest.mark.parametrize("outcomes", [[(Outcome.SHED, 0.01)], "slow"])
def test_server_that_turns_cold_again_is_cut_back(outcomes):
    """Guards against full load on a server that became cold without reporting it."""
    gate = make_gate()
    if outcomes == "slow":
        outcomes = [(Outcome.ANSWERED, 0.01)] * 20 + [(Outcome.ANSWERED, 0.1)]
    for number, (outcome, latency) in enumerate(outcomes):
        gate.enqueue(0.0, make_request(number))
        [request] = gate.dequeue(0.0, FAR_FUTURE)
        gate.finish(0.0, request.request_id, outcome, latency)
    assert gate.ramp.stage in (Stage.COLD, Stage.SUSPECT)
    gate.set_phase(0.0, ServerPhase.WARM, LIMITS.cold_rate)
    for number in range(100, 103):
        gate.enqueue(0.0, make_request(number))
    assert gate.dequeue(0.0, FAR_FUTURE) == []
    assert len(gate.dequeue(0.06, FAR_FUTURE)) == 1
    assert gate.dequeue(0.20, FAR_FUTURE) == []


def test_ramp_grows_to_full_while_answers_are_quick():
    """Guards against a server that stays at its cold rate forever."""
    gate = Gate(limits=LIMITS, now=0.0)
    now = 0.0
    for number in range(60):
        gate.enqueue(now, make_request(number))
        now = max(now, gate.find_wake_time(now, FAR_FUTURE))
        for request in gate.dequeue(now, FAR_FUTURE):
            now += 0.02
            gate.finish(now, request.request_id, Outcome.ANSWERED, 0.02)
    assert gate.ramp.stage is Stage.FULL
    assert now > LIMITS.cold_seconds


def test_abandoned_request_keeps_its_slot_for_a_while():
    """Guards against overload by cancelled requests that the server still runs."""
    gate = make_gate(slots=1)
    gate.enqueue(0.0, make_request(1))
    gate.dequeue(0.0, FAR_FUTURE)
    gate.finish(0.0, "r1", Outcome.ABANDONED, 0.0)
    gate.enqueue(0.0, make_request(2))
    assert gate.dequeue(0.0, FAR_FUTURE) == []
    assert gate.find_wake_time(0.0, FAR_FUTURE) == pytest.approx(0.01)
    assert len(gate.dequeue(0.01, FAR_FUTURE)) == 1


def test_hold_all_waits_for_running_requests():
    """Guards against two gates that send to one server at the same time."""
    gate = make_gate()
    for number in range(3):
        gate.enqueue(0.0, make_request(number, slice=number))
    assert len(gate.dequeue(0.0, FAR_FUTURE)) == 2
    assert not gate.hold_all()
    for name in ("r0", "r1"):
        gate.finish(0.0, name, Outcome.ANSWERED, 0.01)
    assert gate.dequeue(0.1, FAR_FUTURE) == []
    assert gate.hold_all()
    assert [request.request_id for request in gate.remove_all()] == ["r2"]


def test_each_workspace_gets_its_fair_share():
    """Guards against a workspace that gains share by sending more requests."""
    fair_rate = 12.5  # requests/s; eight workspaces at this rate saturate the server
    rates = {f"w{number}": fair_rate for number in range(8)} | {"w0": 5 * fair_rate}
    served = simulate(
        make_gate(queue=200),
        rates=rates,
        mean_service_time=lambda _: 0.02,
        seconds=60,
        random=Random(1),
    )
    assert min(served.values()) >= 0.95 * 60 * fair_rate


def make_server_suspect(gate):
    """Makes the server SUSPECT by one slow response after fast ones.

    Returns the virtual time afterwards.
    """
    now = 0.0
    for number in range(MIN_SAMPLES + 1):
        request = make_request(number)
        assert gate.enqueue(now, request) is None
        assert gate.dequeue(now, FAR_FUTURE) == [request]
        now += 0.010
        gate.finish(now, request.request_id, Outcome.ANSWERED, 0.010)
    for number in range(100, 104):
        assert gate.enqueue(now, make_request(number)) is None
    sent = gate.dequeue(now, FAR_FUTURE)
    gate.finish(now + 0.4, sent[0].request_id, Outcome.ANSWERED, 0.4)
    assert gate.ramp.stage is Stage.SUSPECT
    return now + 0.4


def test_requests_do_not_wait_behind_the_probe_of_a_slowed_server():
    """Guards against requests of several hosts that queue behind one probe.

    One of several servers becomes slow while requests wait for it. Other servers can
    run them sooner, so waiting and later requests are refused as not run.
    """
    gate = make_gate()
    now = make_server_suspect(gate)
    refused = {request.request_id for request, _ in gate.expire(now)}
    assert refused == {"r102", "r103"}
    assert gate.running == 1
    refusal = gate.enqueue(now, make_request(200))
    assert refusal.error is Overloaded
    assert refusal.retry_after > 0


def test_requests_for_slices_still_wait_for_a_slowed_server():
    """Guards against refusing requests for keys that no other server may run."""
    gate = make_gate()
    now = make_server_suspect(gate)
    assert gate.enqueue(now, make_request(200, slice=7)) is None
