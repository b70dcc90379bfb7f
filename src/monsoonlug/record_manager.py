"""Manages the shards of idempotency records that this host holds."""

from collections.abc import Callable

from monsoonlug.deltas import ShardRecord
from monsoonlug.exceptions import StreamClosed
from monsoonlug.exchanges import Peer
from monsoonlug.idempotency import (
    BeginResult,
    GrantedRequest,
    RecordStore,
    ShardRole,
    Verdict,
)
from monsoonlug.ids import Epoch, HostId, Ran, RequestId
from monsoonlug.messages import BackupReady
from monsoonlug.record_messages import (
    RecordAck,
    RecordBegin,
    RecordBeginResult,
    RecordCopy,
    RecordFinish,
    RecordSync,
)
from monsoonlug.records import RecordKey, pack_answer, unpack_answer
from monsoonlug.view import View

NO_PREVIOUS_EPOCH = Epoch(-1)  # matches no epoch of an assignment
ACKNOWLEDGEMENT_TIMEOUT = 0.100  # seconds until all records are sent again


class RecordManager:
    """Runs the record shards that the view assigns to this process.

    Each shard has a primary and a backup host; see `RecordStore`.

    Args:
        host: Name of this host.
        boot: Identifies this process.
        clock: Monotonic clock, in seconds.
        find_lease_end: Returns the end of the session lease on the same clock.
        send: Sends a message to another host; False if it cannot be reached.
        send_to_leader: Sends a message to the control leader.
    """

    def __init__(
        self,
        *,
        host: HostId,
        boot: str,
        clock: Callable[[], float],
        find_lease_end: Callable[[], float],
        send: Callable[[HostId, object], bool],
        send_to_leader: Callable[[object], None],
    ):
        self._host = host
        self._boot = boot
        self._clock = clock
        self._find_lease_end = find_lease_end
        self._send = send
        self._send_to_leader = send_to_leader
        self._stores: dict[int, RecordStore] = {}
        self._shards: dict[int, ShardRecord] = {}
        self._requesters: dict[RequestId, Peer] = {}
        self._behind_since: dict[int, float] = {}

    @property
    def count(self) -> int:
        """Number of records in all shards of this host."""
        return sum(store.count for store in self._stores.values())

    def update(self, view: View) -> None:
        """Applies a new revision of the view."""
        own = view.hosts.get(self._host)
        if own is None or own.boot != self._boot:
            # The assignments are those of an earlier process, whose records are lost.
            return
        for number, shard in view.shards.items():
            if self._shards.get(number) == shard:
                continue
            self._shards[number] = shard
            if self._host in (shard.primary, shard.backup) or number in self._stores:
                self._assign(shard)

    def tick(self) -> None:
        """Resends unacknowledged records and reports backups that have all records."""
        now = self._clock()
        for number, store in self._stores.items():
            shard = self._shards[number]
            if not store.is_backup_behind:
                self._behind_since.pop(number, None)
            elif (
                now - self._behind_since.setdefault(number, now)
                > ACKNOWLEDGEMENT_TIMEOUT
            ):
                # The backup discards messages of an assignment that is not yet in its
                # view.
                self._behind_since[number] = now
                self._send_all(shard.backup, store.sync(now))
            if (
                store.is_replicated
                and not shard.backup_ready
                and shard.epoch == store.epoch
            ):
                self._send_to_leader(BackupReady(shard=number, epoch=shard.epoch))

    def resync_backup(self, host: HostId) -> None:
        """Resends all records of the shards that a reconnected host backs up.

        Copies sent over the previous stream may be lost.
        """
        for number, store in self._stores.items():
            if self._shards[number].backup == host:
                self._send_all(host, store.sync(self._clock()))

    def receive(self, peer: Peer, message: object) -> bool:
        """Handles a message about records.

        Args:
            peer: Receives the responses.
            message: The message.

        Returns:
            Whether the message was about records; other messages are ignored.
        """
        match message:
            case RecordBegin():
                self._begin(peer, message)
            case RecordFinish():
                self._finish(message)
            case RecordCopy() | RecordSync():
                self._receive_copy(peer, message)
            case RecordAck():
                self._receive_acknowledgement(message)
            case _:
                return False
        return True

    def _assign(self, shard: ShardRecord) -> None:
        store = self._stores.get(shard.shard)
        if store is None:
            store = RecordStore(shard=shard.shard)
            self._stores[shard.shard] = store
        role = ShardRole.NONE
        if shard.primary == self._host:
            role = ShardRole.PRIMARY
        elif shard.backup == self._host:
            role = ShardRole.BACKUP
        # With this `records_lost_epoch`, the new primary holds no copy of the records.
        previous = store.epoch
        if shard.records_lost_epoch == shard.epoch:
            previous = NO_PREVIOUS_EPOCH
        messages = store.assign(
            self._clock(),
            epoch=shard.epoch,
            previous=previous,
            role=role,
            has_backup=bool(shard.backup),
        )
        self._send_all(shard.backup, messages)

    def _send_all(self, host: HostId, messages: list[RecordSync]) -> None:
        for message in messages:
            self._send(host, message)

    def _begin(self, peer: Peer, message: RecordBegin) -> None:
        request_id = RequestId(message.request)
        store = self._stores.get(message.shard)
        if store is None:
            _send_result(
                peer,
                message.shard,
                request_id,
                BeginResult(verdict=Verdict.UNAVAILABLE),
            )
            return
        result = store.begin(
            self._clock(),
            lease_until=self._find_lease_end(),
            key=RecordKey(workspace=message.workspace, key=message.key),
            request_id=request_id,
            fingerprint=message.fingerprint,
            remaining=message.remaining,
        )
        if result.copy is None:
            _send_result(peer, message.shard, request_id, result)
            return
        self._requesters[request_id] = peer
        self._send(self._shards[message.shard].backup, result.copy)

    def _receive_acknowledgement(self, message: RecordAck) -> None:
        store = self._stores.get(message.shard)
        if store is None:
            return
        granted = store.acknowledge(self._clock(), self._find_lease_end(), message)
        for item in granted:
            self._grant(message.shard, item)

    def _grant(self, shard: int, granted: GrantedRequest) -> None:
        peer = self._requesters.pop(granted.request_id, None)
        if peer is not None:
            _send_result(
                peer, shard, granted.request_id, BeginResult(verdict=Verdict.FIRST)
            )

    def _finish(self, message: RecordFinish) -> None:
        request_id = RequestId(message.request)
        self._requesters.pop(request_id, None)
        store = self._stores.get(message.shard)
        if store is None:
            return
        copy = store.finish(
            self._clock(),
            key=RecordKey(workspace=message.workspace, key=message.key),
            request_id=request_id,
            ran=Ran(message.ran),
            answer=unpack_answer(message.answer),
        )
        if copy is not None:
            self._send(self._shards[message.shard].backup, copy)

    def _receive_copy(self, peer: Peer, message: RecordCopy | RecordSync) -> None:
        store = self._stores.get(message.shard)
        if store is None:
            return
        acknowledgement = store.receive(self._clock(), message)
        if acknowledgement is None:
            return
        try:
            peer.send(acknowledgement)
        except StreamClosed:
            return


def _send_result(
    peer: Peer, shard: int, request_id: RequestId, result: BeginResult
) -> None:
    message = RecordBeginResult(
        shard=shard,
        request=request_id,
        verdict=result.verdict.value,
        answer=pack_answer(result.answer),
    )
    try:
        peer.send(message)
    except StreamClosed:
        return
