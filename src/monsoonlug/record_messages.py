"""Messages between entry hosts for replicating idempotency records."""

from dataclasses import dataclass

from monsoonlug.messages import register


@register(70)
@dataclass(frozen=True, slots=True, kw_only=True)
class RecordBegin:
    """Asks the primary of a shard whether a request may run.

    Attributes:
        fingerprint: Digest of the request.
        remaining: Seconds left until the request's deadline.
    """

    shard: int
    workspace: str
    key: str
    request: str
    fingerprint: str
    remaining: float


@register(71)
@dataclass(frozen=True, slots=True, kw_only=True)
class RecordBeginResult:
    """Answers a `RecordBegin`; if the request may run, the backup holds the record.

    Attributes:
        answer: Status, headers and body of the stored answer, or an empty list.
    """

    shard: int
    request: str
    verdict: str
    answer: list


@register(72)
@dataclass(frozen=True, slots=True, kw_only=True)
class RecordFinish:
    """Reports the outcome of a request to the primary of its shard."""

    shard: int
    workspace: str
    key: str
    request: str
    ran: str
    answer: list


@register(73)
@dataclass(frozen=True, slots=True, kw_only=True)
class RecordCopy:
    """Copies a record to the backup, or removes it there if `record` is empty."""

    shard: int
    epoch: int
    sequence: int
    workspace: str
    key: str
    record: list


@register(74)
@dataclass(frozen=True, slots=True, kw_only=True)
class RecordSync:
    """Copies one part of a full set of records to the backup.

    Attributes:
        first: Whether this is the first part, which starts an empty set.
        last: Whether this is the last part, with which the set is complete.
        unknown_seconds: Seconds for which keys without a record count as unknown.
        records: Rows of workspace, key and record.
    """

    shard: int
    epoch: int
    sequence: int
    first: bool
    last: bool
    unknown_seconds: float
    records: list


@register(75)
@dataclass(frozen=True, slots=True, kw_only=True)
class RecordAck:
    """Acknowledges all messages up to a sequence number on behalf of the backup."""

    shard: int
    epoch: int
    sequence: int
