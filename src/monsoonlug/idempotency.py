"""Replicated idempotency records of one shard, held by a primary and a backup."""

from dataclasses import dataclass
from enum import Enum

from monsoonlug.exceptions import (
    IdempotencyConflict,
    InProgress,
    MonsoonlugError,
    OutcomeUnknown,
    RecordsUnavailable,
    Refusal,
)
from monsoonlug.ids import Epoch, Ran, RequestId
from monsoonlug.record_messages import RecordAck, RecordCopy, RecordSync
from monsoonlug.records import (
    GRACE_SECONDS,
    MAX_ANSWERS_SIZE,
    MAX_RECORDS,
    RECORD_OVERHEAD,
    RETENTION_SECONDS,
    Record,
    RecordKey,
    RecordState,
    RecordTable,
    StoredAnswer,
)

MAX_SYNC_PART_SIZE = 262_144  # bytes; keeps each part below the maximum frame size
RETRY_AFTER = 0.5  # seconds; a failed host has been replaced by then


class ShardRole(Enum):
    """Role of this host for one shard."""

    NONE = "none"
    PRIMARY = "primary"
    BACKUP = "backup"


class Verdict(Enum):
    """Decision of a shard's primary on a request with an idempotency key.

    FIRST: The request may run once `RecordStore.acknowledge` grants it.
    REPEAT: An earlier request with the key ran; its answer may be stored.
    IN_PROGRESS: An earlier request with the key is still running.
    UNKNOWN: It is not known whether an earlier request with the key ran.
    CONFLICT: The key was used for a different request.
    UNAVAILABLE: The request did not run, as its record cannot be stored now.
    """

    FIRST = "first"
    REPEAT = "repeat"
    IN_PROGRESS = "in progress"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True, kw_only=True)
class BeginResult:
    """Result of `RecordStore.begin`.

    Attributes:
        verdict: Whether the request may run.
        answer: Stored answer for REPEAT, or None if it was not stored.
        copy: Message to send to the backup for FIRST.
    """

    verdict: Verdict
    answer: StoredAnswer | None = None
    copy: RecordCopy | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantedRequest:
    """A request that may run now, because the backup holds its record."""

    key: RecordKey
    request_id: RequestId


def build_refusal(result: BeginResult) -> Refusal | None:
    """Returns the refusal for a result, or None for FIRST and a stored answer."""
    if result.verdict is Verdict.REPEAT and result.answer is None:
        return Refusal(error=OutcomeUnknown, ran=Ran.RAN)
    error: type[MonsoonlugError]
    match result.verdict:
        case Verdict.IN_PROGRESS:
            error = InProgress
        case Verdict.UNKNOWN:
            error = OutcomeUnknown
        case Verdict.CONFLICT:
            error = IdempotencyConflict
        case Verdict.UNAVAILABLE:
            return Refusal(error=RecordsUnavailable, retry_after=RETRY_AFTER)
        case _:
            return None
    return Refusal(error=error, ran=error.ran)


class RecordStore:
    """Idempotency records of one shard at its primary or its backup.

    A request runs only after the backup has acknowledged its record. No request is
    granted without a backup, or before a new backup holds all records. Messages to the
    backup carry the epoch of the assignment and a sequence number. The backup accepts
    them only in order, so an acknowledgement covers all earlier messages.

    Args:
        shard: Number of the shard.
        max_records: Maximum number of records; further keys are refused.
        max_answers_size: Maximum size of all stored answers, in bytes.

    Attributes:
        epoch: Epoch of the current assignment.
        role: Role of this host.
        is_complete: Whether this host holds all records that the shard still has.
    """

    def __init__(
        self,
        *,
        shard: int,
        max_records: int = MAX_RECORDS,
        max_answers_size: int = MAX_ANSWERS_SIZE,
    ):
        self._shard = shard
        self._max_records = max_records
        self._max_answers_size = max_answers_size
        self._table = self._create_table()
        self._partial_table: RecordTable | None = None
        self._has_backup = False
        self._sequence = 0
        self._acknowledged = 0
        self._sync_sequence = 0
        self._unacknowledged: dict[RecordKey, int] = {}
        self._unknown_until = 0.0
        self.epoch = Epoch(0)
        self.role = ShardRole.NONE
        self.is_complete = False

    @property
    def count(self) -> int:
        """Number of records."""
        return len(self._table)

    @property
    def is_replicated(self) -> bool:
        """Whether the primary knows that the backup holds all records."""
        if self.role is not ShardRole.PRIMARY or not self._has_backup:
            return False
        return self._acknowledged >= self._sync_sequence

    @property
    def is_backup_behind(self) -> bool:
        """Whether the backup has not yet acknowledged all messages sent to it."""
        if self.role is not ShardRole.PRIMARY or not self._has_backup:
            return False
        return self._acknowledged < self._sequence

    def assign(
        self,
        now: float,
        *,
        epoch: Epoch,
        previous: Epoch,
        role: ShardRole,
        has_backup: bool,
    ) -> list[RecordSync]:
        """Applies an assignment of the shard; returns the messages for the backup.

        A host that becomes primary without all records of the previous assignment
        returns UNKNOWN for keys without a record during `RETENTION_SECONDS`.

        The caller must pass only assignments made after the start of this process: a
        restarted process has lost the records that an earlier assignment assumes.

        Args:
            now: Seconds of a monotonic clock.
            epoch: Number of the assignment; one that is not newer is ignored.
            previous: Number of the previous assignment, or 0 if there was none.
            role: Role of this host.
            has_backup: Whether the shard has a backup now.
        """
        if epoch <= self.epoch:
            return []
        holds_all = self.is_complete and self.epoch == previous
        is_first_assignment = previous == 0
        self.epoch = epoch
        self.role = role
        self._has_backup = has_backup
        self._partial_table = None
        if role is not ShardRole.PRIMARY:
            self._unacknowledged.clear()
            self.is_complete = role is ShardRole.BACKUP and holds_all
            if not self.is_complete:
                self._table = self._create_table()
            self._sequence = 0
            return []
        if not holds_all:
            self._table = self._create_table()
            self._unknown_until = (
                now if is_first_assignment else now + RETENTION_SECONDS
            )
        self.is_complete = True
        return self.sync(now)

    def sync(self, now: float) -> list[RecordSync]:
        """Returns messages with all records for the backup.

        They must be sent first on each new connection to the backup, because copies
        sent on an earlier connection may be lost.
        """
        if self.role is not ShardRole.PRIMARY or not self._has_backup:
            return []
        parts = _split_rows(self._table.list_rows(now))
        messages = []
        for number, rows in enumerate(parts):
            self._sequence += 1
            messages.append(
                RecordSync(
                    shard=self._shard,
                    epoch=self.epoch,
                    sequence=self._sequence,
                    first=number == 0,
                    last=number == len(parts) - 1,
                    unknown_seconds=max(0.0, self._unknown_until - now),
                    records=rows,
                )
            )
        self._sync_sequence = self._sequence
        for key in self._unacknowledged:
            self._unacknowledged[key] = self._sequence
        return messages

    def begin(
        self,
        now: float,
        *,
        lease_until: float,
        key: RecordKey,
        request_id: RequestId,
        fingerprint: str,
        remaining: float,
    ) -> BeginResult:
        """Decides on a request with an idempotency key.

        Args:
            now: Seconds of a monotonic clock.
            lease_until: End of this host's session lease on the same clock.
            key: Workspace and idempotency key.
            request_id: Id of the request.
            fingerprint: Digest of the request.
            remaining: Seconds left until the request's deadline.
        """
        if self.role is not ShardRole.PRIMARY or now >= lease_until:
            return BeginResult(verdict=Verdict.UNAVAILABLE)
        record = self._table.find(now, key)
        if record is not None and not _is_retry(now, record, request_id):
            return _check_repeat(now, record, fingerprint)
        if record is None and now < self._unknown_until:
            return BeginResult(verdict=Verdict.UNKNOWN)
        if not self._has_backup or (record is None and self._table.is_full):
            return BeginResult(verdict=Verdict.UNAVAILABLE)
        running_until = now + remaining + GRACE_SECONDS
        record = Record(
            request_id=request_id,
            fingerprint=fingerprint,
            running_until=running_until,
            expires_at=running_until + RETENTION_SECONDS,
        )
        self._table.put(key, record)
        copy = self._build_copy(now, key, record)
        self._unacknowledged[key] = copy.sequence
        return BeginResult(verdict=Verdict.FIRST, copy=copy)

    def acknowledge(
        self, now: float, lease_until: float, message: RecordAck
    ) -> list[GrantedRequest]:
        """Processes an acknowledgement; returns the requests that may run now."""
        if self.role is not ShardRole.PRIMARY or message.epoch != self.epoch:
            return []
        if message.sequence > self._sequence:
            return []
        self._acknowledged = max(self._acknowledged, message.sequence)
        acknowledged = [
            key
            for key, sequence in self._unacknowledged.items()
            if sequence <= self._acknowledged
        ]
        granted = []
        for key in acknowledged:
            del self._unacknowledged[key]
            record = self._table.find(now, key)
            if record is None or now >= lease_until:
                continue
            if record.get_state(now) is not RecordState.RUNNING:
                continue
            granted.append(GrantedRequest(key=key, request_id=record.request_id))
        return granted

    def finish(
        self,
        now: float,
        *,
        key: RecordKey,
        request_id: RequestId,
        ran: Ran,
        answer: StoredAnswer | None = None,
    ) -> RecordCopy | None:
        """Records the outcome of a request; returns the message for the backup.

        The record of a request that did not run is removed, so that its key can be used
        again.
        """
        if self.role is not ShardRole.PRIMARY:
            return None
        record = self._table.find(now, key)
        if record is None or record.request_id != request_id:
            return None
        if record.state not in (RecordState.RUNNING, RecordState.UNKNOWN):
            return None
        if ran is Ran.NOT_RUN:
            self._unacknowledged.pop(key, None)
            self._table.remove(key)
            return self._build_copy(now, key, None)
        finished = Record(
            request_id=request_id,
            fingerprint=record.fingerprint,
            running_until=now,
            expires_at=now + RETENTION_SECONDS,
            state=_find_final_state(ran, answer),
            answer=answer,
        )
        self._table.put(key, finished)
        return self._build_copy(now, key, finished)

    def receive(self, now: float, message: RecordCopy | RecordSync) -> RecordAck | None:
        """Applies a message of the primary; returns the acknowledgement to send.

        A message that is out of order or of another assignment is ignored.

        Raises:
            ValueError: If a record in the message is malformed.
        """
        if self.role is not ShardRole.BACKUP or message.epoch != self.epoch:
            return None
        if isinstance(message, RecordSync):
            if not self._apply_sync(now, message):
                return None
        elif not self._apply_copy(now, message):
            return None
        self._sequence = message.sequence
        return RecordAck(shard=self._shard, epoch=self.epoch, sequence=message.sequence)

    def _apply_sync(self, now: float, message: RecordSync) -> bool:
        if message.first:
            if message.sequence <= self._sequence:
                return False
            self._partial_table = self._create_table()
        elif self._partial_table is None or message.sequence != self._sequence + 1:
            return False
        for workspace, key, fields in message.records:
            name = RecordKey(workspace=workspace, key=key)
            self._partial_table.put(name, Record.unpack(now, fields))
        if message.last:
            # The old records stay in use until now, in case the primary fails.
            self._table, self._partial_table = self._partial_table, None
            self._unknown_until = now + message.unknown_seconds
            self.is_complete = True
        return True

    def _apply_copy(self, now: float, message: RecordCopy) -> bool:
        in_order = message.sequence == self._sequence + 1
        if not self.is_complete or self._partial_table is not None or not in_order:
            return False
        key = RecordKey(workspace=message.workspace, key=message.key)
        if not message.record:
            self._table.remove(key)
            return True
        self._table.put(key, Record.unpack(now, message.record))
        self._table.expire(now)
        return True

    def _build_copy(
        self, now: float, key: RecordKey, record: Record | None
    ) -> RecordCopy:
        self._sequence += 1
        return RecordCopy(
            shard=self._shard,
            epoch=self.epoch,
            sequence=self._sequence,
            workspace=key.workspace,
            key=key.key,
            record=record.pack(now) if record else [],
        )

    def _create_table(self) -> RecordTable:
        return RecordTable(
            max_records=self._max_records, max_answers_size=self._max_answers_size
        )


def _is_retry(now: float, record: Record, request_id: RequestId) -> bool:
    # `RecordClient` repeats a request only if it was not granted, so it has not run.
    is_running = record.get_state(now) is RecordState.RUNNING
    return is_running and record.request_id == request_id


def _check_repeat(now: float, record: Record, fingerprint: str) -> BeginResult:
    if record.fingerprint != fingerprint:
        return BeginResult(verdict=Verdict.CONFLICT)
    match record.get_state(now):
        case RecordState.RUNNING:
            return BeginResult(verdict=Verdict.IN_PROGRESS)
        case RecordState.UNKNOWN:
            return BeginResult(verdict=Verdict.UNKNOWN)
        case _:
            return BeginResult(verdict=Verdict.REPEAT, answer=record.answer)


def _find_final_state(ran: Ran, answer: StoredAnswer | None) -> RecordState:
    if answer is not None:
        return RecordState.ANSWERED
    return RecordState.NOT_STORED if ran is Ran.RAN else RecordState.UNKNOWN


def _split_rows(rows: list[list]) -> list[list[list]]:
    parts: list[list[list]] = [[]]
    size = 0
    for row in rows:
        answer = row[2][-1]
        size += RECORD_OVERHEAD + len(row[0]) + len(row[1])
        size += len(answer[2]) if answer else 0
        if size > MAX_SYNC_PART_SIZE and parts[-1]:
            parts.append([])
            size = 0
        parts[-1].append(row)
    return parts
