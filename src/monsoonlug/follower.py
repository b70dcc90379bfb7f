"""Follower side of replication: entries and snapshots from the leader."""

from monsoonlug.entry_log import EntryLog
from monsoonlug.exceptions import DamagedFrame, JournalDamaged
from monsoonlug.ids import ReplicaId
from monsoonlug.journal import Entry, EntryKind, Snapshot
from monsoonlug.peer_messages import (
    AppendRequest,
    AppendResponse,
    SnapshotChunk,
    SnapshotResponse,
)
from monsoonlug.replica_state import ReplicaState


class Follower:
    """Stores the entries and snapshots of the leader and responds after a sync.

    Args:
        state: State of the replica.
    """

    def __init__(self, *, state: ReplicaState):
        self._state = state
        self._incoming_snapshot = (0, 0)
        self._snapshot_data = bytearray()

    def handle_append_request(self, sender: ReplicaId, request: AppendRequest) -> bool:
        """Handles an append request, which is a heartbeat if it has no entries.

        Returns:
            Whether the sender is the leader.

        Raises:
            DamagedFrame: If the entries are malformed.
            JournalDamaged: If a committed entry differs from the leader's, or if this
                replica leads the same term.
            SyncFailed: If the storage failed, which is fatal.
        """
        entries = _unpack_entries(request)
        state = self._state
        log = state.log
        if not self._accept_leader(sender, request.term):
            self._respond(sender, request, accepted=False, match_index=0)
            return False
        previous = request.previous_index
        if previous < log.base_index:
            # The snapshot holds only committed entries, which match the leader's.
            entries = [e for e in entries if e.index > log.base_index]
            previous = log.base_index
        elif log.term_at(previous) != request.previous_term:
            retry = _find_retry_index(log, previous, state.commit)
            self._respond(sender, request, accepted=False, match_index=retry)
            return True
        self._store(entries)
        state.is_refused = False
        match = previous + len(entries)
        state.commit_to(min(request.commit, match))
        self._respond(sender, request, accepted=True, match_index=match)
        return True

    def handle_snapshot_chunk(self, sender: ReplicaId, chunk: SnapshotChunk) -> bool:
        """Handles a snapshot chunk.

        Returns:
            Whether the sender is the leader.

        Raises:
            SyncFailed: If the storage failed, which is fatal.
        """
        state = self._state
        if not self._accept_leader(sender, chunk.term):
            self._respond(sender, chunk, accepted=False, match_index=0)
            return False
        if chunk.index > state.commit and not self._add_chunk(chunk):
            response = SnapshotResponse(
                term=state.term,
                identity=state.identity,
                request_term=chunk.term,
                sequence=chunk.sequence,
                index=chunk.index,
                received=len(self._snapshot_data),
                last_index=state.log.last_index,
            )
            state.send(sender, response)
            return True
        state.is_refused = False
        self._respond(sender, chunk, accepted=True, match_index=chunk.index)
        return True

    def _accept_leader(self, sender: ReplicaId, term: int) -> bool:
        state = self._state
        if term < state.term:
            return False
        if term > state.term:
            state.enter_term(term, vote="")
        elif state.leadership:
            raise JournalDamaged(
                f"term {term} has two leaders: this replica and {sender}"
            )
        state.follow(sender)
        state.record_leader_contact()
        return True

    def _respond(
        self,
        to: ReplicaId,
        request: AppendRequest | SnapshotChunk,
        *,
        accepted: bool,
        match_index: int,
    ) -> None:
        state = self._state
        response = AppendResponse(
            term=state.term,
            identity=state.identity,
            request_term=request.term,
            sequence=request.sequence,
            accepted=accepted,
            match_index=match_index,
            last_index=state.log.last_index,
        )
        state.send(to, response)

    def _store(self, entries: list[Entry]) -> None:
        state = self._state
        log = state.log
        members_index = log.members_index
        for position, entry in enumerate(entries):
            if log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= state.commit:
                raise JournalDamaged(
                    f"committed entry {entry.index} has term "
                    f"{log.term_at(entry.index)}, the leader sent term {entry.term}"
                )
            if entry.index <= log.last_index:
                log.truncate_from(entry.index)
            log.append(entries[position:])
            break
        log.sync()
        if log.members_index != members_index:
            state.report_members()

    def _add_chunk(self, chunk: SnapshotChunk) -> bool:
        if self._incoming_snapshot != (chunk.term, chunk.index):
            self._incoming_snapshot = (chunk.term, chunk.index)
            self._snapshot_data = bytearray()
        if chunk.offset != len(self._snapshot_data):
            return False
        self._snapshot_data += chunk.data
        if not chunk.last:
            return False
        snapshot = Snapshot(
            index=chunk.index,
            term=chunk.index_term,
            members=chunk.members,
            state=bytes(self._snapshot_data),
        )
        self._incoming_snapshot = (0, 0)
        self._snapshot_data = bytearray()
        self._state.log.install(snapshot)
        self._state.restore()
        return True


def _find_retry_index(log: EntryLog, previous: int, commit: int) -> int:
    if previous > log.last_index:
        return log.last_index
    return max(commit, log.find_term_start(previous) - 1)


def _unpack_entries(request: AppendRequest) -> list[Entry]:
    entries = []
    for number, row in enumerate(request.entries, start=1):
        try:
            term, kind, data = row
            entry = Entry(
                index=request.previous_index + number,
                term=term,
                kind=EntryKind(kind),
                data=data,
            )
        except (TypeError, ValueError) as error:
            raise DamagedFrame(
                f"entry {number} of an append request is malformed: {error}"
            ) from error
        if not isinstance(term, int) or not isinstance(data, bytes):
            raise DamagedFrame(
                f"entry {number} of an append request has a term of type "
                f"{type(term).__name__} and data of type {type(data).__name__}, "
                "must be int and bytes"
            )
        entries.append(entry)
    return entries
