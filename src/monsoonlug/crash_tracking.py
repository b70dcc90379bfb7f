"""Identifies requests that crash each backend server that runs them."""

import xxhash

from monsoonlug.ids import Fingerprint, WorkspaceId

MAX_FINGERPRINT_BODY = 65_536  # bytes of the body that count


def compute_fingerprint(
    workspace: WorkspaceId | None, method: str, target: str, body: bytes
) -> Fingerprint:
    """Returns what a request has in common with its repeats.

    Requests of the same head differ only in the second half.

    >>> compute_fingerprint("w", "GET", "/a", b"") == compute_fingerprint(
    ...     "w", "GET", "/a", b"")
    True
    """
    head = "\0".join((workspace or "", method, target)).encode()
    content = body[:MAX_FINGERPRINT_BODY]
    return Fingerprint(
        xxhash.xxh3_64_hexdigest(head) + xxhash.xxh3_64_hexdigest(content)
    )
