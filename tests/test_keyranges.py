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
def test_assignments_equal_a_plain_table(rows):
    """Guards against keys that get lost or two owners when ranges are cut."""
    table = KeyTable(pool="orders")
    plain = {}
    edges = {0, LAST_KEY}
    for epoch, (first, last, owner) in enumerate(rows, start=1):
        start, end = min(first, last), max(first, last)
        table.assign(KeyRange(start=start, end=end, owner=owner, epoch=epoch))
        plain[start, end] = (owner, epoch)
        edges |= {start, end, max(0, start - 1), min(LAST_KEY, end + 1)}
    for key in edges:
        expected = ("", 0)
        for (start, end), value in plain.items():
            if start <= key <= end and value[1] >= expected[1]:
                expected = value
        found = table.find(key)
        assert (found.owner, found.epoch) == expected
    following = 0
    for row in table.iterate():
        assert row.start == following
        following = row.end + 1
    assert following == LAST_KEY + 1


def test_equal_neighbours_are_joined():
    """Guards against a table that grows with each move of the same keys."""
    table = KeyTable(pool="orders")
    table.assign(KeyRange(start=0, end=9, owner="a", epoch=1))
    table.assign(KeyRange(start=10, end=19, owner="a", epoch=1))
    table.assign(KeyRange(start=20, end=LAST_KEY, owner="a", epoch=1))
    assert len(table) == 1
