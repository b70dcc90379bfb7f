"""Tests of the failure detector for entries."""

from monsoonlug.failure_detector import PING_IDLE_TIME, PONG_TIMEOUT, FailureDetector
from monsoonlug.fleet_messages import Ping


class DetectorHarness:
    """A failure detector with a simulated clock and recorded pings."""

    def __init__(self):
        self.now = 0.0
        self.busy = []
        self.sent = []
        self.detector = FailureDetector(
            clock=lambda: self.now, list_active_hosts=lambda: self.busy, send=self.send
        )

    def send(self, host, message):
        self.sent.append((host, message))
        return True

    def advance(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += 0.05
            self.detector.check_hosts()


def test_paused_host_becomes_unresponsive():
    """Guards against requests to a paused gate that wait until their deadlines."""
    harness = DetectorHarness()
    harness.detector.add_host("a")
    harness.busy = ["a"]
    harness.advance(PING_IDLE_TIME + PONG_TIMEOUT + 0.2)
    assert isinstance(harness.sent[0][1], Ping)
    assert harness.detector.is_unresponsive("a")
    harness.detector.record_frame("a")
    assert not harness.detector.is_unresponsive("a")


def test_host_that_answers_pings_is_not_unresponsive():
    """Guards against avoiding a gate whose backend servers are slow."""
    harness = DetectorHarness()
    harness.detector.add_host("a")
    harness.busy = ["a"]
    for _ in range(20):
        harness.advance(0.1)
        if harness.sent:
            harness.sent.clear()
            harness.detector.record_frame("a")
        assert not harness.detector.is_unresponsive("a")


def test_hosts_without_requests_are_not_pinged():
    """Guards against pings between all hosts while there are no requests."""
    harness = DetectorHarness()
    harness.detector.add_host("a")
    harness.advance(5.0)
    assert not harness.sent


def test_unresponsive_host_is_pinged_again():
    """Guards against a host that stays excluded after it has recovered."""
    harness = DetectorHarness()
    harness.detector.add_host("a")
    harness.busy = ["a"]
    harness.advance(1.0)
    assert harness.detector.is_unresponsive("a")
    harness.busy = []
    harness.sent.clear()
    harness.advance(1.0)
    assert harness.sent
