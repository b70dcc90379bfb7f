"""Pending releases of key ranges by backend servers."""

from dataclasses import dataclass

from monsoonlug.ids import ServerId


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
