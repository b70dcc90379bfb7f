"""Tests of the queue of requests that wait for rate-limit tokens."""

import asyncio

import pytest

from monsoonlug.token_cache import TokenOutcome
from monsoonlug.token_queue import CHECK_INTERVAL, TokenQueue

TIMEOUT = 5.0  # seconds


class FakeControlClient:
    """Admits a waiting request at the next check, without a control process."""

    def __init__(self):
        self.request_count = 0
        self.has_token = False
        self.waiting = []
        self.token_cache = self.lease = self

    def request_tokens(self):
        self.request_count += 1

    def try_acquire(self, now, workspace):
        return self.has_token

    def enqueue(self, now, workspace, request, deadline):
        self.waiting.append(
            TokenOutcome(workspace=workspace, request=request, admitted=True)
        )

    def pop_outcomes(self, now):
        outcomes, self.waiting = self.waiting, []
        return outcomes

    def is_view_fresh(self, now):
        return True


@pytest.fixture
async def control_client():
    return FakeControlClient()


@pytest.fixture
async def queue(control_client):
    queue = TokenQueue(
        control_client=control_client, clock=asyncio.get_running_loop().time
    )
    task = asyncio.create_task(queue.run())
    yield queue
    task.cancel()


async def test_waiting_request_is_admitted_after_idle_time(queue):
    """Guards against a queue that stops checking after a time without requests."""
    for request in ("r1", "r2"):
        async with asyncio.timeout(TIMEOUT):
            await queue.acquire("w", request, TIMEOUT)
        # The next check finds no request, so the queue stops checking.
        await asyncio.sleep(2 * CHECK_INTERVAL)


async def test_queue_without_requests_sets_no_timer(queue, monkeypatch):
    """Guards against timers that wake an idle process."""
    timers = []
    loop = asyncio.get_running_loop()
    monkeypatch.setattr(loop, "call_later", lambda *args: timers.append(args))
    task = asyncio.create_task(queue.run())
    for _ in range(3):
        await asyncio.sleep(0)
    task.cancel()
    assert not timers
