from random import Random

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from monsoonlug.ids import SLICE_COUNT
from monsoonlug.keyranges import LAST_KEY, NO_OWNER, KeyRange, KeyTable

KEYS = st.integers(min_value=0, max_value=LAST_KEY)


@settings(derandomize=True, database=None, max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(KEYS, KEYS, st.sampled_from(["a", "b", ""])), min_size=1, max_size=30
    )
)
def test_table_matches_a_list_of_assignments(rows):
    """Guards against keys that are lost or get two owners when ranges are split."""
    table = KeyTable(pool="orders")
    assignments = {}
    edges = {0, LAST_KEY}
    for epoch, (first, last, owner) in enumerate(rows, start=1):
        start, end = min(first, last), max(first, last)
        table.assign(KeyRange(start=start, end=end, owner=owner, epoch=epoch))
        assignments[start, end] = (owner, epoch)
        edges |= {start, end, max(0, start - 1), min(LAST_KEY, end + 1)}
    for key in edges:
        expected = ("", 0)
        for (start, end), value in assignments.items():
            if start <= key <= end and value[1] >= expected[1]:
                expected = value
        found = table.find(key)
        assert (found.owner, found.epoch) == expected
    next_start = 0
    for row in table.iterate():
        assert row.start == next_start
        next_start = row.end + 1
    assert next_start == LAST_KEY + 1


def test_equal_neighbours_are_merged():
    """Guards against a table that grows whenever the same keys are moved."""
    table = KeyTable(pool="orders")
    table.assign(KeyRange(start=0, end=9, owner="a", epoch=1))
    table.assign(KeyRange(start=10, end=19, owner="a", epoch=1))
    table.assign(KeyRange(start=20, end=LAST_KEY, owner="a", epoch=1))
    assert len(table) == 1


def test_index_of_owners_follows_every_assignment():
    """Guards against a lease that lacks a range, or holds one of another server."""
    random = Random(3)
    table = KeyTable(pool="p")
    list(table.iterate_owned("a"))
    for epoch in range(1, 400):
        start = random.randrange(SLICE_COUNT)
        end = min(SLICE_COUNT - 1, start + random.randrange(1, 9_000))
        owner = random.choice(("a", "b", "c", NO_OWNER))
        table.assign(KeyRange(start=start, end=end, owner=owner, epoch=epoch // 3))
        for name in ("a", "b", "c", NO_OWNER):
            expected = [row for row in table.iterate() if row.owner == name]
            assert list(table.iterate_owned(name)) == expected


def test_first_assignment_replaces_the_whole_table():
    """Guards against a table with gaps, which would have keys that are never found."""
    table = KeyTable(pool="p")
    list(table.iterate_owned("a"))
    first = KeyRange(start=0, end=99, owner="a", epoch=1)
    second = KeyRange(start=100, end=LAST_KEY, owner="b", epoch=1)
    table.assign_all([first, second])
    assert list(table.iterate_owned("b")) == [second]
    for wrong in ([second], [first], [second, first], [first, first, second]):
        with pytest.raises(ValueError):
            table.assign_all(wrong)
    assert table.find(50) == first
