import hypothesis.strategies as st
from hypothesis import given, settings

from monsoonlug.keyranges import LAST_KEY, KeyRange, KeyTable

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
