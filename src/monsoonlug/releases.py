"""Keys that backend servers are being asked to release."""

from collections.abc import Iterator
from dataclasses import dataclass

from monsoonlug.ids import ServerId
from monsoonlug.keyranges import KeyRange


@dataclass(slots=True, kw_only=True)
class Release:
    """Keys that a server is being asked to release, and who gets them."""

    start: int
    end: int
    source: ServerId
    target: ServerId


def find_release(releases: list[Release], key: int) -> Release | None:
    """Returns the release that a key is part of, if there is one."""
    for release in releases:
        if release.start <= key <= release.end:
            return release
    return None


def subtract_releases(row: KeyRange, releases: list[Release]) -> Iterator[KeyRange]:
    """Yields the parts of a range that are not being released."""
    start = row.start
    cuts = sorted(
        (max(r.start, row.start), min(r.end, row.end))
        for r in releases
        if r.start <= row.end and row.start <= r.end
    )
    for first, last in cuts:
        if start < first:
            yield row.cut(start, first - 1)
        start = max(start, last + 1)
    if start <= row.end:
        yield row.cut(start, row.end)
