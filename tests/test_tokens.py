"""Tests of the requests that wait for tokens."""

import asyncio

import pytest

from monsoonlug.purse import Settled
from monsoonlug.tokens import SETTLE_INTERVAL, TokenQueue

BOUND = 5.0  # seconds


class FakeUplink:
    """Counts asks and admits a waiting request when it is asked again."""

    def __init__(self):
        self.asks = 0
        self.has_token = False
        self.waiting = []
        self.purse = self.lease = self

    def ask(self):
        self.asks += 1

    def take(self, now, workspace):
        return self.has_token

    def wait(self, now, workspace, request, deadline):
        self.waiting.append(
            Settled(workspace=workspace, request=request, admitted=True)
        )

    def settle(self, now):
        settled, self.waiting = self.waiting, []
        return settled

    def is_view_fresh(self, now):
        return True


@pytest.fixture
async def uplink():
    return FakeUplink()


@pytest.fixture
async def tokens(uplink):
    tokens = TokenQueue(uplink=uplink, clock=asyncio.get_running_loop().time)
    task = asyncio.create_task(tokens.run())
    yield tokens
    task.cancel()


async def test_waiting_request_is_settled_after_idle_times(tokens):
    """Guards against a request that nobody settles after a time without one."""
    for request in ("r1", "r2"):
        async with asyncio.timeout(BOUND):
            await tokens.take("w", request, BOUND)
        # One more check finds nothing, after which the queue rests.
        await asyncio.sleep(2 * SETTLE_INTERVAL)


async def test_queue_without_requests_sets_no_timer(tokens, monkeypatch):
    """Guards against timers that wake an idle process."""
    timers = []
    loop = asyncio.get_running_loop()
    monkeypatch.setattr(loop, "call_later", lambda *args: timers.append(args))
    task = asyncio.create_task(tokens.run())
    for _ in range(3):
        await asyncio.sleep(0)
    task.cancel()
    assert not timers
