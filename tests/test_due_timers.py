"""Tests of timers that run only while their function could have an effect."""

import heapq
import itertools
from random import Random
from types import SimpleNamespace

import pytest

from monsoonlug.due_timers import DUE_MARGIN, DueTimer
from monsoonlug.failure_detector import (
    CHECK_INTERVAL,
    PING_IDLE_TIME,
    PONG_TIMEOUT,
    FailureDetector,
)

SECONDS = 20.0  # of a simulation


class VirtualTime:
    """Runs timers in virtual time."""

    def __init__(self):
        self.now = 0.0
        self._timers = []
        self._numbers = itertools.count()

    def call_later(self, delay, function):
        handle = SimpleNamespace(cancelled=False)
        handle.cancel = lambda: setattr(handle, "cancelled", True)
        row = (self.now + delay, next(self._numbers), handle, function)
        heapq.heappush(self._timers, row)
        return handle

    def advance(self, until):
        while self._timers and self._timers[0][0] <= until:
            self.now, _, handle, function = heapq.heappop(self._timers)
            if not handle.cancelled:
                function()
        self.now = until


class Watch:
    """A failure detector of requests to one host, which may stop responding."""

    def __init__(self, seed, *, is_due_driven):
        self.random = Random(seed)
        self.time = VirtualTime()
        self.open = 0
        self.is_silent = False
        self.pings = 0
        self.detector = FailureDetector(
            clock=lambda: self.time.now,
            list_active_hosts=lambda: ["h"] if self.open else [],
            send=self.send,
        )
        self.detector.add_host("h")
        self.timer = DueTimer(
            clock=lambda: self.time.now,
            interval=CHECK_INTERVAL,
            step=self.detector.check_hosts,
            find_due=self.detector.find_due
            if is_due_driven
            else lambda: self.time.now + CHECK_INTERVAL,
            call_later=self.time.call_later,
        )
        if not is_due_driven:
            self.timer.wake()

    def send(self, host, message):
        self.pings += 1
        self.time.call_later(0.001, self.respond)
        return True

    def respond(self):
        if not self.is_silent:
            self.detector.record_frame("h")

    def request(self, duration):
        self.open += 1
        self.timer.wake(self.detector.find_due("h"))
        self.time.call_later(duration, self.finish)

    def finish(self):
        if not self.is_silent:
            self.open -= 1
            self.respond()

    def run(self, rate):
        """Returns the seconds from the last request until the host is avoided."""
        while self.time.now < SECONDS:
            self.time.advance(self.time.now + self.random.expovariate(rate))
            self.request(self.random.uniform(0.01, 0.6))
        self.is_silent = True
        silent_at = self.time.now
        while not self.detector.is_unresponsive("h"):
            self.time.advance(self.time.now + 0.001)
            assert self.time.now - silent_at < 2.0
        return self.time.now - silent_at


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("rate", [0.5, 4.0, 40.0])
def test_silent_hosts_are_detected_within_the_bound_of_a_periodic_check(seed, rate):
    """Guards against a host that is avoided later since checks run only when due."""
    watch = Watch(seed, is_due_driven=True)
    baseline = Watch(seed, is_due_driven=False)
    bound = PING_IDLE_TIME + PONG_TIMEOUT + 2 * CHECK_INTERVAL + 2 * DUE_MARGIN
    assert watch.run(rate) <= bound
    assert baseline.run(rate) <= bound
    assert watch.timer.calls < baseline.timer.calls


def test_idle_timers_make_no_calls():
    """Guards against wake-ups of an idle process, which cost most of its time."""
    watch = Watch(0, is_due_driven=True)
    watch.request(0.1)
    watch.time.advance(60.0)
    calls = watch.timer.calls
    assert calls <= 2
    watch.time.advance(120.0)
    assert watch.timer.calls == calls


def test_failed_call_does_not_end_the_timer():
    """Guards against hosts that are never checked again after one error."""
    time = VirtualTime()

    def fail():
        raise ValueError

    timer = DueTimer(
        clock=lambda: time.now,
        interval=0.1,
        step=fail,
        find_due=lambda: 0.0,
        call_later=time.call_later,
    )
    timer.wake()
    time.advance(1.05)
    assert 9 <= timer.calls <= 10
    timer.stop()
    time.advance(2.0)
    assert timer.calls <= 10
