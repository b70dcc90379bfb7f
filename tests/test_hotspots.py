"""Tests of the heavy-hitter counters for slices and keys."""

from random import Random

from monsoonlug.hotspots import MAX_COUNTERS, MAX_ROWS, HotSpots


def test_hot_key_is_found_among_many():
    """Guards against a hot key whose counter is evicted by many cold keys."""
    spots = HotSpots(now=0.0)
    random = Random(1)
    for number in range(20_000):
        key = 7 if number % 20 == 0 else random.randrange(10**6, 10**9)
        spots.count("p", key % 65_536, key)
    assert spots.refresh(1.0)
    assert [row[1] for row in spots.key_rows][0] == 7
    assert spots.key_rows[0][2] >= 1000
    assert len(spots.key_rows) <= MAX_ROWS
    assert len(spots._keys) <= MAX_COUNTERS


def test_rows_are_rates_of_the_last_interval():
    """Guards against counts that are not reset after an interval."""
    spots = HotSpots(now=0.0)
    for _ in range(50):
        spots.count("p", 1, 2)
    assert not spots.refresh(0.5)
    assert spots.refresh(2.0)
    assert spots.slice_rows == [["p", 1, 25.0]]
    assert spots.refresh(4.0)
    assert spots.slice_rows == []


def test_chance_hits_are_not_reported():
    """Guards against moves of slices that a few requests hit by chance."""
    spots = HotSpots(now=0.0)
    random = Random(1)
    for _ in range(200):
        spots.count("p", random.randrange(65_536), random.randrange(10**9))
    assert spots.refresh(1.0)
    assert spots.slice_rows == []
    assert spots.key_rows == []
