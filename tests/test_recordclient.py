import asyncio
from types import SimpleNamespace

import pytest

from monsoonlug.delivery import build_stored_response
from monsoonlug.deltas import ShardRecord
from monsoonlug.exceptions import InProgress, RecordsUnavailable
from monsoonlug.ids import Ran
from monsoonlug.record_messages import RecordBegin, RecordBeginResult, RecordFinish
from monsoonlug.recordclient import AVAILABILITY_TIMEOUT, RecordClient
from monsoonlug.records import StoredAnswer, pack_answer
from monsoonlug.view import SHARD_COUNT, View

ADMITTED = SimpleNamespace(
    workspace="w", idempotency_key="k", method="POST", target="/", routing_key="r"
)
ANSWER = StoredAnswer(status=200, headers=[["A", "b"]], body=b"ok")


class Primary:
    """Fake primary that answers with the next of `verdicts`; None is unreachable."""

    def __init__(self, *verdicts):
        self.verdicts = list(verdicts)
        self.messages = []
        self.now = 0.0
        self.client = RecordClient(clock=self.read_clock, send=self.send)
        view = View()
        for number in range(SHARD_COUNT):
            view.shards[number] = ShardRecord(
                shard=number,
                primary="h",
                backup="i",
                epoch=1,
                backup_ready=True,
                records_lost_epoch=0,
            )
        self.client.update(view)

    def read_clock(self):
        self.now += AVAILABILITY_TIMEOUT / 3
        return self.now

    def send(self, host, message):
        assert host == "h"
        self.messages.append(message)
        if not isinstance(message, RecordBegin):
            return True
        verdict = self.verdicts.pop(0)
        if verdict is None:
            return False
        answer = RecordBeginResult(
            shard=message.shard,
            request=message.request,
            verdict=verdict,
            answer=pack_answer(ANSWER) if verdict == "repeat" else [],
        )
        # Delivers the answer after the client has registered its request.
        asyncio.get_running_loop().call_soon(self.client.receive, answer)
        return True

    async def begin(self):
        return await self.client.begin(ADMITTED, "r1", b"", 100.0)


async def test_first_request_may_run_and_a_repeat_gets_the_answer():
    """Guards against a repeated request that runs, or a first one that does not."""
    assert await Primary("first").begin() is None
    assert await Primary("repeat").begin() == ANSWER
    with pytest.raises(InProgress):
        await Primary("in progress").begin()


async def test_unreachable_primary_is_retried():
    """Guards against a refusal while a failed primary is being replaced."""
    assert await Primary(None, "first").begin() is None


async def test_timed_out_request_releases_its_key():
    """Guards against a key that stays in use by a request that never ran."""
    primary = Primary("unavailable", "unavailable", "unavailable", "unavailable")
    with pytest.raises(RecordsUnavailable) as caught:
        await primary.begin()
    assert caught.value.ran is Ran.NOT_RUN
    last = primary.messages[-1]
    assert isinstance(last, RecordFinish)
    assert last.ran == Ran.NOT_RUN.value


def test_repeated_response_has_all_headers_of_the_first():
    """Guards against a repeat that lacks one of two headers with the same name."""
    headers = [["Set-Cookie", "a=1"], ["Set-Cookie", "b=2"], ["Content-Type", "x/y"]]
    stored = StoredAnswer(status=201, headers=headers, body=b"z")
    response = build_stored_response(stored)
    assert response.status == 201
    assert response.headers.getall("Set-Cookie") == ["a=1", "b=2"]
    assert response.headers.getall("Content-Type") == ["x/y"]
