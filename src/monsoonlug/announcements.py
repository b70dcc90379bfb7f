"""JSON encoding of the announcements of backend servers and of their answers."""

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Annotated

from pydantic import Field, ValidationError

from monsoonlug.exceptions import BadRequest
from monsoonlug.ids import Epoch, ServerPhase, Slice
from monsoonlug.settings import Address, Name, StrictModel

ANNOUNCE_PATH = "/_monsoonlug/announce"
MAX_ANNOUNCEMENT_BYTES = 4_096
MAX_LOAD = 1_000_000.0


class Announcement(StrictModel):
    """Registration or heartbeat that a backend server posts to an entry.

    Attributes:
        boot: Identifies the server's process.
        load: Load as the server estimates it, 1.0 at capacity; only a hint.
        grants_revision: Revision of the grants that the server holds, or -1.
    """

    server: Name
    pool: Name
    address: Address
    failure_domain: Name
    boot: Annotated[str, Field(pattern=r"^[!-~]{1,64}$")]
    phase: ServerPhase
    load: Annotated[float, Field(ge=0, le=MAX_LOAD, allow_inf_nan=False)]
    grants_revision: Annotated[int, Field(ge=-1)] = -1


@dataclass(frozen=True, slots=True, kw_only=True)
class GateAddress:
    """The host that is the gate of a backend server.

    Attributes:
        address: Address at which the host accepts announcements.
    """

    address: str
    host: str


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantRange:
    """Consecutive slices granted with the same epoch, `last` included."""

    first: Slice
    last: Slice
    epoch: Epoch


@dataclass(frozen=True, slots=True, kw_only=True)
class AnnouncementAnswer:
    """Answer to an announcement.

    Attributes:
        gate: The server's gate, or None while it has none.
        lease: Seconds for which the grants are valid, from the sending of the
            announcement.
        grants_revision: Revision of the grants.
        grants: All granted slices, or None if the server already has this revision.
    """

    gate: GateAddress | None
    lease: float
    grants_revision: int
    grants: Sequence[GrantRange] | None = None


def compress_grants(epochs: Iterable[tuple[Slice, Epoch]]) -> list[GrantRange]:
    """Merges adjacent slices with the same epoch into ranges.

    Args:
        epochs: Slices in ascending order, each with its epoch.

    >>> [(r.first, r.last) for r in compress_grants([(1, 7), (2, 7), (4, 7)])]
    [(1, 2), (4, 4)]
    """
    ranges: list[GrantRange] = []
    first = last = epoch = None
    for slice_number, slice_epoch in epochs:
        if last is not None and slice_number == last + 1 and slice_epoch == epoch:
            last = slice_number
            continue
        if last is not None:
            ranges.append(GrantRange(first=first, last=last, epoch=epoch))
        first = last = slice_number
        epoch = slice_epoch
    if last is not None:
        ranges.append(GrantRange(first=first, last=last, epoch=epoch))
    return ranges


def decode_announcement(body: bytes) -> Announcement:
    """Parses and validates the JSON body of an announcement.

    Raises:
        BadRequest: If the body is not valid; the message names the invalid fields.
    """
    if len(body) > MAX_ANNOUNCEMENT_BYTES:
        raise BadRequest(
            f"the announcement has {len(body)} bytes, "
            f"at most {MAX_ANNOUNCEMENT_BYTES} are allowed"
        )
    try:
        return Announcement.model_validate_json(body)
    except ValidationError as error:
        fields = {str(part) for item in error.errors() for part in item["loc"][:1]}
        named = ", ".join(sorted(fields)) or "the document"
        raise BadRequest(f"the announcement is not valid: {named}") from None


def encode_answer(answer: AnnouncementAnswer) -> bytes:
    """Returns the JSON body of the answer to an announcement."""
    document = {
        "gate": None,
        # Rounded down, so that the lease expires at the server first.
        "lease_ms": max(0, int(answer.lease * 1000)),
        "grants_revision": answer.grants_revision,
    }
    if answer.gate is not None:
        document["gate"] = {"address": answer.gate.address, "host": answer.gate.host}
    if answer.grants is not None:
        document["grants"] = [
            [item.first, item.last, item.epoch] for item in answer.grants
        ]
    return json.dumps(document, separators=(",", ":")).encode()
