"""Tests of callbacks and waits for read-index rounds."""

import time
from types import SimpleNamespace

import pytest

from monsoonlug.exceptions import NotLeader
from monsoonlug.read_index import ReadIndexQueue

TIMEOUT = 30.0  # seconds; longer than the test may take


async def test_wait_ends_at_once_if_no_round_can_begin():
    """Guards against operators who wait for an answer that cannot come.

    The replica still counts as the leader when the round is asked for.
    """

    def begin_round(register):
        raise NotLeader()

    group = SimpleNamespace(is_leader=True, begin_round=begin_round)
    queue = ReadIndexQueue(clock=time.monotonic, find_group=lambda: group)
    started_at = time.monotonic()
    with pytest.raises(NotLeader):
        await queue.wait(TIMEOUT)
    assert time.monotonic() - started_at < TIMEOUT / 2
