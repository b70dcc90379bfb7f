import random

import pytest

from monsoonlug.exceptions import DamagedFrame
from monsoonlug.ids import SliceState
from monsoonlug.slices import (
    DIGEST_BLOCK_SIZE,
    OverrideRecord,
    SliceTable,
    find_slice,
    hash_key,
)

KNOWN_HASH = (12_589_511_620_021_431_232, 44_726)  # hash and slice of "booking-17"
OWNED, UNOWNED = SliceState.OWNED, SliceState.UNOWNED


def build_table(seed):
    """Returns a table after random changes."""
    rng = random.Random(seed)
    table = SliceTable(pool="p")
    for epoch in range(1, 60):
        runs = [(rng.randrange(60_000), rng.randrange(1, 5_000)) for _ in range(3)]
        owner = rng.choice(["a", "b", "c", "d"])
        table.change(runs, state=rng.choice(list(SliceState)), owner=owner, epoch=epoch)
        table.digest()
    return table


def test_slice_of_a_key_never_changes():
    """Guards against a new seed or hash that would move every key."""
    assert (hash_key("booking-17"), find_slice(hash_key("booking-17"))) == KNOWN_HASH


def test_incremental_digest_equals_full_digest():
    """Guards against a changed block that the digest omits."""
    table = build_table(1)
    copy = SliceTable.unpack(table.pack())
    assert copy.digest() == table.digest()
    before = table.digest()
    table.change([(DIGEST_BLOCK_SIZE - 1, 2)], state=OWNED, owner="z", epoch=99)
    assert table.digest() != before


def test_runs_and_counts_match_single_slices():
    """Guards against runs or counts that omit or repeat slices."""
    table = build_table(2)
    for state in SliceState:
        seen = []
        for run in table.list_runs(state=state):
            for number in range(run.start, run.start + run.count):
                location = table.get(number)
                assert (location.owner, location.epoch) == (run.owner, run.epoch)
                assert location.state is state
                seen.append(number)
        assert len(seen) == len(set(seen)) == table.count_state(state)
        for owner in table.list_owners():
            by_owner = table.list_runs(state=state, owner=owner)
            assert by_owner == [
                r for r in table.list_runs(state=state) if r.owner == owner
            ]
    held = sum(table.count_held(owner) for owner in table.list_owners())
    unnamed = sum(not table.get(number).owner for number in range(65_536))
    assert held + unnamed == 65_536


def test_override_locates_its_key_only():
    """Guards against an override that is ignored or that moves its slice."""
    table = SliceTable(pool="p")
    table.change([(0, 65_536)], state=OWNED, owner="a", epoch=1)
    digest = table.digest()
    table.put_override(
        OverrideRecord(
            pool="p", key_hash=hash_key("hot"), owner="b", epoch=2, state=OWNED
        )
    )
    assert (table.locate("hot").owner, table.locate("hot").epoch) == ("b", 2)
    assert table.locate("cold").owner == "a"
    assert table.get(find_slice(hash_key("hot"))).owner == "a"
    table.drop_override(hash_key("hot"))
    assert table.digest() == digest


def test_number_of_an_owner_without_slices_is_reused():
    """Guards against a name list that grows with every server ever seen."""
    table = SliceTable(pool="p")
    for epoch in range(1, 100):
        table.change([(0, 10)], state=OWNED, owner=f"s{epoch}", epoch=epoch)
        table.change([(0, 10)], state=UNOWNED, owner="")
    assert len(table._owner_names) < 5


@pytest.mark.parametrize("data", [b"", b"x", SliceTable(pool="p").pack()[:-9]])
def test_damaged_table_is_rejected(data):
    """Guards against a truncated snapshot that is accepted as a table."""
    with pytest.raises(DamagedFrame):
        SliceTable.unpack(data)
