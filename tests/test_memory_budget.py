"""The memory budget: sizes, evictions, and operations inside eviction callbacks."""

from random import Random

import pytest

from monsoonlug.memory_budget import MemoryBudget

LIMIT = 1_000


class Holders:
    """Holdings by name, and the names of those that were evicted, in order."""

    def __init__(self, budget):
        self.budget = budget
        self.evicted = []

    def open(self, name, size=0):
        holding = self.budget.open(evict=lambda: self.evicted.append(name))
        assert holding.resize(size)
        return holding


@pytest.fixture
def budget():
    return MemoryBudget(limit=LIMIT)


@pytest.fixture
def holders(budget):
    return Holders(budget)


def test_sizes_are_added_up_and_given_back(budget, holders):
    # Guards against bytes that stay counted after their holder has gone.
    first, second = holders.open("first", 300), holders.open("second", 400)
    assert budget.used == 700
    assert first.resize(100)
    assert budget.used == 500
    second.close()
    second.close()
    assert (budget.used, budget.holdings) == (100, 1)
    assert holders.evicted == []


def test_holder_with_most_bytes_is_evicted_not_the_newest(budget, holders):
    # Guards against refusing ordinary callers while a few connections hold everything.
    holders.open("large", 600)
    holders.open("small", 300)
    newest = holders.open("newest")
    assert newest.resize(200)
    assert holders.evicted == ["large"]
    assert budget.used == 500


def test_growing_holder_with_most_bytes_is_refused(budget, holders):
    # Guards against evicting others for the sake of the one that takes the most.
    large = holders.open("large", 600)
    holders.open("small", 400)
    assert not large.resize(601)
    assert large.size == 600
    assert budget.used == LIMIT
    assert budget.refusals == 1
    assert holders.evicted == []


def test_size_above_the_limit_is_refused(budget, holders):
    # Guards against emptying the budget for a size that can never fit.
    holders.open("other", 900)
    alone = holders.open("alone")
    assert not alone.resize(LIMIT + 1)
    assert budget.used == 900
    assert holders.evicted == []


def test_oldest_of_equal_holders_is_evicted(budget, holders):
    # Guards against evicting the newest of many holders of the same size.
    for number in range(10):
        holders.open(number, 100)
    assert holders.open("newest").resize(100)
    assert holders.evicted == [0]


def test_former_size_does_not_count(budget, holders):
    # Guards against evicting a holder for bytes that it gave back.
    shrunk = holders.open("shrunk", 900)
    assert shrunk.resize(10)
    holders.open("large", 800)
    assert holders.open("newest").resize(300)
    assert holders.evicted == ["large"]


def test_evicted_holding_cannot_grow(budget, holders):
    # Guards against an aborted connection that goes on to take memory.
    evicted = holders.open("evicted", 800)
    assert holders.open("other").resize(400)
    assert not evicted.resize(1)
    evicted.close()
    assert (budget.used, budget.holdings) == (400, 1)


def test_callback_may_use_the_budget(budget, holders):
    # Guards against a callback that runs while the structures are being changed.
    seen = []

    def evict():
        seen.append(budget.used)
        partner.close()
        assert budget.open(evict=lambda: None).resize(50)

    partner = holders.open("partner", 100)
    large = budget.open(evict=evict)
    assert large.resize(900)
    assert holders.open("newest").resize(200)
    assert seen == [300]
    assert budget.used == 250


def test_callback_that_fails_does_not_stop_the_caller(budget, holders):
    # Guards against an ordinary request that fails for the error of another one.
    def evict():
        raise OSError("the transport is closed")

    assert budget.open(evict=evict).resize(900)
    assert holders.open("newest").resize(200)
    assert budget.used == 200


def test_callback_may_evict_the_requester(budget):
    # Guards against True for bytes that an eviction within the eviction took away.
    def evict():
        assert budget.open(evict=lambda: None).resize(450)

    large = budget.open(evict=evict)
    requester = budget.open(evict=lambda: None)
    assert large.resize(900)
    assert not requester.resize(600)
    assert not requester.is_open
    assert budget.used == 450


def test_many_resizes_keep_few_entries(budget, holders):
    # Guards against memory that grows with the number of resizes.
    holdings = [holders.open(number) for number in range(30)]
    for step in range(10_000):
        assert holdings[step % 30].resize(step % 20 + 1)
    assert len(budget._heap) <= 100


def test_closed_holdings_are_not_kept(budget, holders):
    # Guards against connections that stay in memory after they were closed.
    for holding in [holders.open(number, 1) for number in range(900)]:
        holding.close()
    assert len(budget._heap) <= 100


@pytest.mark.parametrize("seed", range(20))
def test_agrees_with_a_search_of_all_holders(seed):
    # Guards against a stale entry that hides or imitates the worst holder.
    random = Random(seed)
    budget = MemoryBudget(limit=LIMIT)
    sizes = {}
    holdings = {}
    evicted = []
    for number in range(2_000):
        if number % 3 == 0 or not sizes:
            holdings[number] = budget.open(
                evict=lambda name=number: evicted.append(name)
            )
            sizes[number] = 0
        name = random.choice(list(sizes))
        if random.random() < 0.2:
            holdings[name].close()
            del sizes[name]
            continue
        size = random.randrange(400)
        others = sum(sizes.values()) - sizes[name]
        worst = max((s, -n) for n, s in (sizes | {name: size}).items())
        accepted = holdings[name].resize(size)
        if others + size <= LIMIT:
            assert accepted
            assert not evicted
        elif worst == (size, -name):
            assert not accepted
            assert not evicted
            continue
        else:
            assert accepted
            assert evicted == [-worst[1]]
            del sizes[evicted.pop()]
        sizes[name] = size
        assert budget.used == sum(sizes.values()) <= LIMIT


@pytest.mark.parametrize("limit", [0, -1])
def test_limit_must_be_positive(limit):
    # Guards against a budget that refuses everything.
    with pytest.raises(ValueError, match="at least 1"):
        MemoryBudget(limit=limit)
