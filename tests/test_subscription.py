"""Tests of an entry's view of control, without control."""

import asyncio
from random import Random

import pytest

from monsoonlug import messages
from monsoonlug.fleet import ViewPart
from monsoonlug.fleet_messages import EntryAnswer, FleetDelta, KeyStatusPush
from monsoonlug.messages import Redirect
from monsoonlug.subscription import (
    VIEW_DELAY,
    EntryIdentity,
    KeyBlocks,
    Subscription,
)
from tests.test_fleet import Fleet, build_server, change
from tests.test_items import build_pool, build_route

SEED = "127.0.0.1:1"
LEADER = "127.0.0.1:2"


class Entry:
    def __init__(self):
        self.now = 100.0
        self.views = 0
        self.subscription = Subscription(
            identity=EntryIdentity(
                host="h1", failure_domain="east", stream="127.0.0.1:3", boot="b"
            ),
            seeds=[SEED],
            clock=lambda: self.now,
            random=Random(1),
            on_view=lambda view, changed: None,
            on_hosts=lambda hosts: None,
            on_cold=lambda server, seconds: None,
            on_tokens=lambda: None,
            collect=lambda: ([], []),
        )

    def receive(self, message, address=SEED):
        self.subscription._receive(address, message)

    def answer(self, sequence, revision, *, term=1, address=SEED):
        message = EntryAnswer(
            sequence=sequence,
            term=term,
            revision=revision,
            members=[SEED],
            tokens={},
            pauses={},
            shares={},
        )
        self.receive(message, address)


@pytest.fixture
async def entry():
    entry = Entry()
    task = asyncio.create_task(entry.subscription.run())
    await asyncio.sleep(0)
    yield entry
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_redirect_to_a_leader_that_is_no_seed_is_followed(entry):
    """Guards against an entry without a view after a restart of all hosts."""
    entry.receive(Redirect(leader=LEADER))
    assert LEADER in entry.subscription._links


async def test_view_is_confirmed_from_the_sending_of_a_beat(entry):
    """Guards against a view that looks younger than what a majority confirmed."""
    entry.now += 0.7
    entry.answer(1, 0)
    assert entry.subscription.find_age() == pytest.approx(0.7)


async def test_answer_for_a_later_revision_confirms_nothing(entry):
    """Guards against a confirmed view that lacks a withdrawn key."""
    entry.answer(1, 5)
    assert entry.subscription.find_age() == float("inf")


async def test_answer_of_an_earlier_leader_is_ignored(entry):
    """Guards against a deposed leader that confirms an old view."""
    entry.answer(1, 0, term=4)
    entry.now += 1.0
    entry.subscription._send_beat()
    entry.answer(2, 0, term=3, address=LEADER)
    assert entry.subscription.find_age() == pytest.approx(1.0)


async def test_deltas_change_the_view_in_order_only(entry):
    """Guards against a view that leaves out a change."""
    state = Fleet().state
    _, first = state.apply(1, change(build_pool()))
    _, second = state.apply(2, change(build_route()))
    entry.receive(second)
    assert entry.subscription.view.revision == 0
    entry.receive(first)
    entry.receive(second)
    entry.receive(first)
    assert entry.subscription.view.revision == 2


async def test_keys_between_two_owners_are_blocked(entry):
    """Guards against requests that a server rejects while keys move."""
    blocks = entry.subscription.blocks
    entry.receive(KeyStatusPush(rows=[["desk", 0, 9, 7, False]]))
    assert blocks.find(entry.now, "desk", 5, 7)
    assert not blocks.find(entry.now, "desk", 5, 8)
    assert not blocks.find(entry.now, "desk", 10, 7)
    entry.receive(KeyStatusPush(rows=[["desk", 0, 9, 7, True]]))
    assert not blocks.find(entry.now, "desk", 5, 7)


def test_block_ends_by_itself():
    """Guards against keys that nobody serves as a message was lost."""
    blocks = KeyBlocks()
    blocks.add(10.0, "desk", 0, 9, 7)
    assert blocks.find(11.0, "desk", 0, 7)
    assert not blocks.find(12.0, "desk", 0, 7)


async def test_changes_of_servers_are_passed_on_together():
    """Guards against work for each of many servers that start at the same time."""
    entry = Entry()
    passed = []
    entry.subscription._on_view = lambda view, changed: passed.append(changed)
    for number in range(20):
        change = messages.encode(build_server(f"s{number}", address=f"a{number}"))
        delta = FleetDelta(base=number, revision=number + 1, changes=[change])
        entry.receive(delta)
    assert passed == []
    await asyncio.sleep(3 * VIEW_DELAY)
    assert passed == [{ViewPart.SERVERS}]


async def test_word_of_keys_is_passed_on_at_once():
    """Guards against requests that wait longer than the owner of their key needs."""
    entry = Entry()
    passed = []
    entry.subscription._on_view = lambda view, changed: passed.append(changed)
    entry.receive(KeyStatusPush(rows=[["p", 0, 9, 3, True]]))
    assert passed == [{ViewPart.KEYS}]
