"""Pending releases of key ranges by backend servers."""

from collections.abc import Iterator
from dataclasses import dataclass

from monsoonlug.ids import ServerId
from monsoonlug.keyranges import KeyRange


@dataclass(slots=True, kw_only=True)
class Release:
    """A key range that a server is asked to release, and the server that gets it."""

    start: int
    end: int
    source: ServerId
    target: ServerId


def find_release(releases: list[Release], key: int) -> Release | None:
    """Returns the pending release of a key, or None."""
    for release in releases:
        if release.start <= key <= release.end:
            return release
    return None


def subtract_releases(
    key_range: KeyRange, releases: list[Release]
) -> Iterator[KeyRange]:
    """Yields the parts of a range without a pending release."""
    start = key_range.start
    overlaps = sorted(
        (max(r.start, key_range.start), min(r.end, key_range.end))
        for r in releases
        if r.start <= key_range.end and key_range.start <= r.end
    )
    for first, last in overlaps:
        if start < first:
            yield key_range.cut(start, first - 1)
        start = max(start, last + 1)
    if start <= key_range.end:
        yield key_range.cut(start, key_range.end)
