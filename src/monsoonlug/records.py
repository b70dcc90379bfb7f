"""Idempotency records of a shard, with limits on their number, size and age."""

import heapq
from dataclasses import dataclass
from enum import Enum

import xxhash

from monsoonlug.ids import RequestId, WorkspaceId

SHARD_COUNT = 64
RETENTION_SECONDS = 600.0  # after the end of a request
GRACE_SECONDS = 1.0  # after the deadline, in which the outcome may still arrive
MAX_STORED_BODY = 65_536  # bytes
MAX_RECORDS = 4_096  # per shard
MAX_ANSWERS_SIZE = 1_048_576  # bytes of stored answers per shard
RECORD_OVERHEAD = 512  # bytes of a record in a message, without key and body


class RecordState(Enum):
    """What is known about the outcome of a request.

    ANSWERED and NOT_STORED: The request ran; its answer is stored or is not.
    """

    RUNNING = "running"
    UNKNOWN = "unknown"
    ANSWERED = "answered"
    NOT_STORED = "not stored"


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordKey:
    """Idempotency key, scoped to its workspace."""

    workspace: WorkspaceId
    key: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredAnswer:
    """Stored HTTP answer; `headers` are pairs of name and value."""

    status: int
    headers: list
    body: bytes

    def count_bytes(self) -> int:
        """Returns the size of body and headers in bytes.

        >>> StoredAnswer(status=200, headers=[["a", "b"]], body=b"cd").count_bytes()
        4
        """
        headers = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.body) + headers


@dataclass(slots=True, kw_only=True)
class Record:
    """Record of one request with an idempotency key.

    Attributes:
        fingerprint: Digest of the request.
        running_until: Time from which the outcome counts as unknown if none was
            reported, in seconds of the monotonic clock.
        expires_at: Time at which the record is removed, on the same clock.
    """

    request_id: RequestId
    fingerprint: str
    running_until: float
    expires_at: float
    state: RecordState = RecordState.RUNNING
    answer: StoredAnswer | None = None

    def get_state(self, now: float) -> RecordState:
        """Returns the state at a time."""
        if self.state is RecordState.RUNNING and now >= self.running_until:
            return RecordState.UNKNOWN
        return self.state

    def pack(self, now: float) -> list:
        """Returns the fields for a message, with times as remaining seconds."""
        return [
            self.request_id,
            self.fingerprint,
            self.running_until - now,
            self.expires_at - now,
            self.state.value,
            pack_answer(self.answer),
        ]

    @classmethod
    def unpack(cls, now: float, fields: list) -> "Record":
        """Returns the record that `pack` encoded.

        Raises:
            ValueError: If the fields are not those of a record.
        """
        request_id, fingerprint, running, expires, state, answer = fields
        return cls(
            request_id=request_id,
            fingerprint=fingerprint,
            running_until=now + float(running),
            expires_at=now + float(expires),
            state=RecordState(state),
            answer=unpack_answer(answer),
        )


def pack_answer(answer: StoredAnswer | None) -> list:
    """Returns the fields of an answer for a message, or an empty list for None."""
    if answer is None:
        return []
    return [answer.status, answer.headers, answer.body]


def unpack_answer(fields: list) -> StoredAnswer | None:
    """Returns the answer that `pack_answer` encoded.

    Raises:
        ValueError: If the fields are not those of an answer.
    """
    if not fields:
        return None
    status, headers, body = fields
    return StoredAnswer(status=status, headers=headers, body=body)


def find_shard(key: RecordKey) -> int:
    """Returns the number of the shard of a key.

    >>> 0 <= find_shard(RecordKey(workspace="w", key="k")) < SHARD_COUNT
    True
    """
    text = f"{len(key.workspace)}:{key.workspace}{key.key}"
    return xxhash.xxh64_intdigest(text.encode()) % SHARD_COUNT


class RecordTable:
    """Records of one shard, limited in number and in total size of answers.

    Args:
        max_records: Maximum number of records.
        max_answers_size: Maximum size of all stored answers, in bytes.
    """

    def __init__(
        self,
        *,
        max_records: int = MAX_RECORDS,
        max_answers_size: int = MAX_ANSWERS_SIZE,
    ):
        self._max_records = max_records
        self._max_answers_size = max_answers_size
        self._records: dict[RecordKey, Record] = {}
        self._expiries: list[tuple[float, int, RecordKey]] = []
        self._sequence = 0
        self.answers_size = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def is_full(self) -> bool:
        """Whether the maximum number of records is reached."""
        return len(self._records) >= self._max_records

    def find(self, now: float, key: RecordKey) -> Record | None:
        """Returns the record of a key that has not expired, or None."""
        self.expire(now)
        return self._records.get(key)

    def put(self, key: RecordKey, record: Record) -> None:
        """Adds or replaces a record.

        An answer that exceeds a size limit is dropped from the record, and the state is
        set to NOT_STORED.
        """
        self.remove(key)
        if record.answer is not None:
            size = record.answer.count_bytes()
            fits = self.answers_size + size <= self._max_answers_size
            if size > MAX_STORED_BODY or not fits:
                record.answer = None
                record.state = RecordState.NOT_STORED
            else:
                self.answers_size += size
        self._records[key] = record
        self._sequence += 1
        heapq.heappush(self._expiries, (record.expires_at, self._sequence, key))
        if len(self._expiries) > 4 * len(self._records) + 64:
            self._rebuild_expiries()

    def remove(self, key: RecordKey) -> None:
        """Removes the record of a key, if there is one."""
        record = self._records.pop(key, None)
        if record is not None and record.answer is not None:
            self.answers_size -= record.answer.count_bytes()

    def expire(self, now: float) -> None:
        """Removes all expired records."""
        while self._expiries and self._expiries[0][0] <= now:
            expires_at, _, key = heapq.heappop(self._expiries)
            record = self._records.get(key)
            if record is not None and record.expires_at <= expires_at:
                self.remove(key)

    def list_rows(self, now: float) -> list[list]:
        """Returns all records as rows of workspace, key and packed record."""
        self.expire(now)
        return [
            [key.workspace, key.key, record.pack(now)]
            for key, record in self._records.items()
        ]

    def _rebuild_expiries(self) -> None:
        self._expiries = [
            (record.expires_at, number, key)
            for number, (key, record) in enumerate(self._records.items())
        ]
        heapq.heapify(self._expiries)
