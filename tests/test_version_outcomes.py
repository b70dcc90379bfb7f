"""Tests of the counts of requests by version, at a gate without a network."""

import asyncio
import math
from random import Random

import pytest
import xxhash

from monsoonlug import messages
from monsoonlug.backend import BackendResponse
from monsoonlug.exceptions import (
    BackendFenced,
    BackendRefused,
    ConnectFailed,
    ConnectionLost,
    OutcomeUnknown,
)
from monsoonlug.gatehost import ClosingTimes, GateHost, list_gates
from monsoonlug.jobs import POOLED
from monsoonlug.messages import Cancel, Credit, RequestHead
from monsoonlug.rollout_messages import RolloutReport, RolloutState
from monsoonlug.version_outcomes import (
    BASELINE_REPORT_INTERVAL,
    MAX_ROUTES,
    REPORT_INTERVAL,
    AttemptEnd,
    Verdict,
    VersionOutcomes,
    classify,
)
from tests.test_items import build_pool
from tests.test_subscription import LEADER, SEED, Entry
from tests.test_version_split import OLD, TARGET, add_servers, build_view, set_rollout

OLD_GATE = "desk/east/0"
TARGET_GATE = f"desk/east/0~{xxhash.xxh32_hexdigest(TARGET.encode())}"
DEADLINE = 2.0  # seconds that a request has


class FakeResponse(BackendResponse):
    """A response whose body is complete, or ends with an error."""

    def __init__(self, status, body_error):
        self.status = status
        self.headers = []
        self._body_error = body_error

    def read_whole(self, limit):
        return None if self._body_error else b"ok"

    async def iterate(self):
        yield b"o"
        raise self._body_error

    def cancel(self):
        """Nothing is held."""


class FakeBackend:
    """Ends each request when the test says how."""

    slowdown = 1.0
    request_limit = None
    resting_until = -math.inf
    is_leaving = False

    def __init__(self):
        self.calls = {}

    async def send(self, request, body=None):
        self.calls[request.request] = asyncio.get_running_loop().create_future()
        try:
            status, body_error = await self.calls[request.request]
        finally:
            del self.calls[request.request]
        return FakeResponse(status, body_error)

    def cancel(self, request):
        self.calls[request].set_exception(OutcomeUnknown("the request was cancelled"))
        return True

    async def try_connect(self, timeout):
        """The result does not matter, as nothing is sent again."""

    async def close(self):
        """Nothing is open."""


class FakePeer:
    def send(self, message):
        """Drops the answer to the caller's entry."""


class Gate:
    """A gate host with one gate of each version, and a clock set by the test."""

    def __init__(self, *, share=0.5, keyed=False):
        self.now = 100.0
        self.backend = FakeBackend()
        self.events = []
        self.outcomes = VersionOutcomes(
            host="h1", boot="b", on_event=lambda *event: self.events.append(event)
        )
        self.host = GateHost(
            clock=lambda: self.now,
            closing_times=ClosingTimes(),
            open_backend=lambda record, pool: self.backend,
            random=Random(1),
            outcomes=self.outcomes,
        )
        self.view = build_view(old=1, target=1)
        self.view.apply_change(build_pool(keyed=keyed, version=2))
        self.set_rollout(share)
        self.peer = FakePeer()
        self.streams = 0

    def set_rollout(self, share, **fields):
        set_rollout(self.view, share, **fields)
        self.host.update(self.view, list_gates(self.view))

    async def start(
        self,
        gate=TARGET_GATE,
        *,
        route="r",
        key=POOLED,
        left=DEADLINE,
        has_body=False,
    ):
        self.streams += 1
        head = RequestHead(
            stream=self.streams,
            request=f"q{self.streams}",
            server=gate,
            gate_epoch=0,
            revision=1,
            slice=key,
            slice_epoch=0,
            key_hash=None,
            route=route,
            workspace="",
            request_class=0,
            key_digest="",
            remaining=left,
            method="GET",
            target="/",
            headers=[],
            idempotency_key="",
            has_body=has_body,
            pool="desk",
        )
        self.host.receive(self.peer, head)
        await self.settle()
        return head.request

    async def settle(self):
        for _ in range(10):
            await asyncio.sleep(0)

    async def end(self, request, status=200, *, after=0.1, error=None, body_error=None):
        self.now += after
        call = self.backend.calls[request]
        if error is not None:
            call.set_exception(error)
        else:
            call.set_result((status, body_error))
        await self.settle()

    async def cancel(self, *, after):
        self.now += after
        self.host.receive(self.peer, Cancel(stream=self.streams))
        await self.settle()

    def read(self, is_target=1, route="r"):
        """Returns sent, responses, failures, the log sum and running requests."""
        for report in self.outcomes.list_reports(self.now + 1.0, session=1):
            for row in report.rows:
                if row[:2] == [is_target, route]:
                    return row[2:]
        return None


@pytest.fixture
async def gate():
    gate = Gate()
    yield gate
    await gate.host.stop()


async def test_responses_are_counted_by_version_and_route(gate):
    """Guards against a fault on one route, or of one version, that is not seen."""
    await gate.end(await gate.start(route="a"))
    await gate.end(await gate.start(route="b"), after=0.2)
    await gate.end(await gate.start(OLD_GATE, route="a"), after=0.4)
    running = await gate.start(route="a")
    expected = [2, 1, 0, pytest.approx(math.log(0.1), abs=1e-3), 1]
    assert gate.read(1, "a") == expected
    assert gate.read(1, "b") == [1, 1, 0, pytest.approx(math.log(0.2), abs=1e-3), 0]
    assert gate.read(0, "a") == [1, 1, 0, pytest.approx(math.log(0.4), abs=1e-3), 0]
    assert gate.events.count(("desk", "target", "sent")) == 3
    assert gate.events.count(("desk", "old", "response")) == 1
    await gate.end(running)


@pytest.mark.parametrize(
    "fault",
    [
        {"status": 500},
        {"status": 503},
        {"error": ConnectionLost()},
        {"error": OutcomeUnknown("the response carries the id of another request")},
        {"body_error": OutcomeUnknown("the response body was cut off")},
    ],
)
async def test_failures_of_the_server_are_counted_once(gate, fault):
    """Guards against a bad version whose failures are not seen, or seen twice."""
    await gate.end(await gate.start(), **fault)
    sent, responses, failures, log_time, running = gate.read()
    assert [sent, responses, failures, running] == [1, 1, 1, 0]
    assert log_time == pytest.approx(math.log(0.1), abs=1e-3)
    assert gate.events.count(("desk", "target", "failure")) == 1


@pytest.mark.parametrize(
    "error", [BackendRefused(retry_after=0.1), BackendFenced(), ConnectFailed()]
)
async def test_requests_that_were_not_run_are_no_failures(gate, error):
    """Guards against a sound version that is rolled back, as its servers are full."""
    await gate.end(await gate.start(), error=error)
    assert gate.read() == [1, 0, 0, 0.0, 0]


async def test_refusal_by_the_router_is_not_counted(gate):
    """Guards against load that counts as a fault of the version."""
    await gate.start(left=0.0)
    await gate.start("no-such-gate")
    assert gate.read() is None
    assert gate.events == []


async def test_caller_that_leaves_is_not_counted(gate):
    """Guards against a sound version that is blamed for callers that disconnect."""
    await gate.start()
    await gate.cancel(after=0.5)
    assert gate.read() == [1, 0, 0, 0.0, 0]


@pytest.mark.parametrize("after", [DEADLINE, DEADLINE - 0.05])
async def test_missed_deadline_counts_with_its_time(gate, after):
    """Guards against a version that never responds, and so has no service times.

    The cancellation of the caller's entry may come shortly before the deadline.
    """
    await gate.start()
    await gate.cancel(after=after)
    sent, responses, failures, log_time, running = gate.read()
    assert [sent, responses, failures, running] == [1, 1, 1, 0]
    assert log_time == pytest.approx(math.log(after), abs=1e-3)


@pytest.mark.parametrize(
    "end",
    [
        {"remaining": 0.0, "is_blocked": True},
        {"remaining": -0.01, "is_cancelled": True, "is_blocked": True},
        {"remaining": 0.0, "is_unreachable": True},
        {"remaining": 1.0, "is_unreachable": True, "is_cancelled": True},
        {"remaining": 1.0, "is_cancelled": True},
    ],
)
def test_causes_elsewhere_are_no_failures(end):
    """Guards against a version that is blamed for slow callers or a cut network."""
    lost = AttemptEnd(error=OutcomeUnknown(), elapsed=1.0, expected=0.1, **end)
    assert classify(lost) is Verdict.NONE


def test_server_that_crashed_is_at_fault():
    """Guards against a version that crashes and is taken for a cut network."""
    end = AttemptEnd(error=ConnectionLost(), remaining=1.0, is_unreachable=True)
    assert classify(end) is Verdict.FAILURE


async def test_caller_that_reads_slowly_does_not_make_the_server_slow(gate):
    """Guards against a sound version that is blamed for the readers it has."""
    request = await gate.start()
    gate.host._running[request].job._credit._size = 0
    await gate.end(request, body_error=OutcomeUnknown("cut off"))
    gate.now += 1.0
    gate.host.receive(gate.peer, Credit(stream=gate.streams, size=100))
    await gate.settle()
    sent, responses, failures, log_time, running = gate.read()
    assert [sent, responses, failures, running] == [1, 1, 1, 0]
    assert log_time == pytest.approx(math.log(0.1), abs=1e-3)


async def test_deadline_missed_for_a_caller_or_the_network_is_not_counted(gate):
    """Guards against a sound version that is blamed for slow uploads or a cut."""
    await gate.start(has_body=True)
    await gate.cancel(after=DEADLINE)
    await gate.start()
    gate.host._reachability._unreachable[f"desk-{TARGET}-0"] = gate.now
    await gate.cancel(after=DEADLINE)
    assert gate.read() == [2, 0, 0, 0.0, 0]


async def test_deadline_missed_for_lack_of_time_is_not_counted(gate):
    """Guards against a sound version that is blamed for the wait in a queue."""
    await gate.end(await gate.start(), after=0.5)
    before = gate.read()
    await gate.start(left=0.2)
    await gate.cancel(after=0.2)
    assert gate.read()[1:] == before[1:]


async def test_cold_server_is_not_slow(gate):
    """Guards against a version that is rolled back as its servers just started."""
    gate.host.set_cold(f"desk-{TARGET}-0", 3.0)
    await gate.end(await gate.start(), after=0.9)
    await gate.end(await gate.start(), 500, after=0.9)
    # Sent while the server is cold, and ended when it is not.
    await gate.end(await gate.start(), after=1.5)
    assert gate.read() == [3, 0, 1, 0.0, 0]
    await gate.end(await gate.start(), after=0.1)
    assert gate.read()[:3] == [4, 1, 1]
    gate.host.set_cold(f"desk-{TARGET}-0", 3.0)
    await gate.start()
    await gate.cancel(after=DEADLINE)
    assert gate.read()[:3] == [5, 1, 1]


async def test_keyed_requests_count_for_the_server_that_served():
    """Guards against pools with keys whose versions cannot be compared."""
    gate = Gate(keyed=True)
    await gate.end(await gate.start(f"desk-{TARGET}-0", key=5))
    await gate.end(await gate.start(f"desk-{OLD}-0", key=6), 500)
    assert gate.read(1)[:3] == [1, 1, 0]
    assert gate.read(0)[:3] == [1, 1, 1]
    await gate.host.stop()


async def test_nothing_is_counted_without_a_running_rollout(gate):
    """Guards against reports in fleets without rollouts, and after the end of one."""
    early = await gate.start()
    for state in (RolloutState.ROLLED_BACK, RolloutState.SUCCEEDED):
        gate.set_rollout(1.0, state=state)
        await gate.end(await gate.start(OLD_GATE))
        assert gate.outcomes.list_reports(gate.now + 9.0, session=2) == []
        assert len(gate.outcomes) == 0
    events = len(gate.events)
    await gate.end(early)
    assert gate.outcomes.list_reports(gate.now + 9.0, session=3) == []
    gate.set_rollout(0.1, number=8)
    assert gate.read() is None
    assert len(gate.events) <= events + 1


async def test_requests_from_before_the_order_are_running_only(gate):
    """Guards against old servers that are stopped while they run a request."""
    gate.view.rollouts.clear()
    del gate.view.servers[f"desk-{TARGET}-0"]
    gate.host.update(gate.view, list_gates(gate.view))
    early = await gate.start(OLD_GATE)
    gate.set_rollout(0.0, number=8)
    assert gate.read(0) == [0, 0, 0, 0.0, 1]
    gate.set_rollout(0.1, number=8)
    assert gate.read(0) == [0, 0, 0, 0.0, 1]
    gate.set_rollout(0.0, number=9)
    assert gate.read(0) == [0, 0, 0, 0.0, 1]
    await gate.end(early, 500)
    assert gate.read(0) == [0, 0, 0, 0.0, 0]


async def test_gates_that_are_gone_leave_nothing_behind(gate):
    """Guards against a host whose gates grow in number with every version."""
    for number in range(10, 60):
        version = f"v{number}"
        add_servers(gate.view, TARGET, 1, version=version)
        gate.set_rollout(0.5, number=number, version=version)
        digest = xxhash.xxh32_hexdigest(version.encode())
        await gate.start(f"desk/east/0~{digest}")
        await gate.cancel(after=0.1)
    await gate.start(OLD_GATE)
    await gate.cancel(after=0.1)
    assert len(gate.host._queues) == 2


async def test_counts_of_many_rollouts_take_no_memory():
    """Guards against an entry that grows with every rollout or route name."""
    gate = Gate()
    for number in range(10, 60):
        gate.set_rollout(0.5, number=number)
        for route in range(3):
            await gate.end(await gate.start(route=f"r{number}-{route}"))
    (report,) = gate.outcomes.list_reports(gate.now + 1.0, session=1)
    assert len(report.rows) == 3
    for route in range(MAX_ROUTES + 50):
        await gate.end(await gate.start(route=f"x{route}"))
    (report,) = gate.outcomes.list_reports(gate.now + 1.0, session=1)
    assert len(report.rows) == MAX_ROUTES + 1
    assert gate.read(route="")[0] == 53
    assert len(messages.encode(report)) < 10_000
    await gate.host.stop()


class Reporter:
    """Counts of one pool, without a gate, and the reports on them."""

    def __init__(self, *, share=0.1):
        self.outcomes = VersionOutcomes(host="h1", boot="b")
        self.view = build_view(old=1, target=1)
        set_rollout(self.view, share)
        self.outcomes.update(self.view)

    def count(self, version=TARGET):
        self.outcomes.record_start("desk", f"desk-{version}-0", "r", is_cold=False)

    def report(self, now, session=1):
        """Returns how many reports are sent."""
        reports = self.outcomes.list_reports(now, session)
        for report in reports:
            assert messages.decode(messages.encode(report)) == report
            self.outcomes.record_sent(now, session, report)
        return len(reports)


def test_reports_are_sent_only_after_changes_and_at_intervals():
    """Guards against entries that use up the link of the leader."""
    reporter = Reporter()
    assert reporter.report(10.0) == 0
    reporter.count()
    assert reporter.report(10.0) == 1
    reporter.count()
    assert reporter.report(10.0 + 0.9 * REPORT_INTERVAL) == 0
    assert reporter.report(10.0 + REPORT_INTERVAL + 0.001) == 1
    assert reporter.report(20.0) == 0
    reporter.count(OLD)
    assert reporter.report(20.0) == 1
    reporter.count(OLD)
    assert reporter.report(20.0 + REPORT_INTERVAL + 0.001) == 0
    assert reporter.report(20.0 + BASELINE_REPORT_INTERVAL + 0.001) == 1


def test_last_requests_of_the_old_version_are_reported_soon():
    """Guards against a rollout that waits for the next report on the old version."""
    reporter = Reporter(share=1.0)
    reporter.count(OLD)
    assert reporter.report(10.0) == 1
    reporter.count(OLD)
    assert reporter.report(10.0 + REPORT_INTERVAL + 0.001) == 1


def test_report_that_could_not_be_sent_is_due_again():
    """Guards against counts that are lost while no leader is known."""
    reporter = Reporter()
    reporter.count()
    assert len(reporter.outcomes.list_reports(10.0, 1)) == 1
    assert len(reporter.outcomes.list_reports(10.0, 1)) == 1


def test_new_leader_gets_the_counts_without_a_change():
    """Guards against a new leader that lacks the requests sent under the last one."""
    reporter = Reporter()
    reporter.count()
    assert reporter.report(10.0, session=1) == 1
    assert reporter.report(11.0, session=1) == 0
    assert reporter.report(11.0, session=2) == 1
    assert reporter.report(12.0, session=2) == 0


async def test_session_changes_with_leader_term_and_stream():
    """Guards against counts that are not sent again after a change of the leader."""
    entry = Entry()
    report = RolloutReport(host="h1", boot="b", pool="desk", number=7, rows=[])
    assert not entry.subscription.send_to_leader(report)
    sessions = [entry.subscription.leader_session]

    def answer(term, address):
        entry.subscription._sequence += 1
        entry.answer(entry.subscription._sequence, 0, term=term, address=address)
        sessions.append(entry.subscription.leader_session)

    answer(1, SEED)
    answer(1, SEED)
    assert sessions[-1] == sessions[-2] > sessions[0]
    answer(2, LEADER)
    assert sessions[-1] > sessions[-2]
    answer(3, LEADER)
    assert sessions[-1] > sessions[-2]
    entry.subscription._close(LEADER)
    answer(3, LEADER)
    assert sessions[-1] > sessions[-2]


def test_servers_that_register_later_count_for_their_version():
    """Guards against target servers that are counted as old ones."""
    reporter = Reporter()
    add_servers(reporter.view, TARGET, 3)
    reporter.outcomes.update(reporter.view)
    reporter.outcomes.record_start("desk", f"desk-{TARGET}-2", "r", is_cold=False)
    (report,) = reporter.outcomes.list_reports(10.0, 1)
    assert [row[:3] for row in report.rows] == [[1, "r", 1]]
    add_servers(reporter.view, TARGET, 3, version=OLD)
    reporter.outcomes.update(reporter.view)
    reporter.count()
    (report,) = reporter.outcomes.list_reports(10.0, 1)
    assert [row[:3] for row in report.rows] == [[1, "r", 1], [0, "r", 1]]
