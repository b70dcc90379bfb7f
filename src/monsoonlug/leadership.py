"""Leader side of replication: follower progress, quorum checks, read-index rounds."""

from dataclasses import dataclass

from monsoonlug.actions import ReadIndexConfirmed, Send
from monsoonlug.consensus_timing import DEFAULT_TIMING, ConsensusTiming
from monsoonlug.entry_log import EntryLog
from monsoonlug.ids import ReplicaId
from monsoonlug.membership import MemberRole
from monsoonlug.peer_messages import (
    AppendRequest,
    AppendResponse,
    SnapshotChunk,
    SnapshotResponse,
)

QUORUM_TIMEOUT = DEFAULT_TIMING.quorum_timeout  # seconds, in a group with default times
CHUNK_SIZE = 262_144  # bytes
MAX_IN_FLIGHT_ENTRIES = 2_048  # sent to a follower and not yet acknowledged


@dataclass(slots=True, kw_only=True)
class Progress:
    """Replication progress of one follower.

    Attributes:
        match: Last index known to be durable at the follower and equal to the leader's.
        next: Index of the next entry to send.
        probing: Whether `next` is a guess, so that no entries are sent yet.
        last_response_at: Time of the last response, in seconds.
        acknowledged: Highest sequence number that the follower has responded to.
        durable_commit: Committed index that the follower has acknowledged as durable.
        durable_commit_sequence: Requests from this sequence number on were sent after
            that acknowledgement.
        has_regressed: Whether the follower lost entries up to `durable_commit`.
        snapshot_index: Index of the snapshot being sent.
        snapshot_offset: Bytes of that snapshot that the follower has.
        chunk_sequence: Sequence number of the last chunk sent.
        chunk_sent_at: Time of the last chunk, in seconds.
    """

    next: int
    last_response_at: float
    match: int = 0
    probing: bool = False
    acknowledged: int = 0
    durable_commit: int = 0
    durable_commit_sequence: int = 0
    has_regressed: bool = False
    snapshot_index: int = 0
    snapshot_offset: int = 0
    chunk_sequence: int = 0
    chunk_sent_at: float = float("-inf")


@dataclass(frozen=True, slots=True, kw_only=True)
class _Round:
    round_id: int
    first_sequence: int
    started_at: float


class Leadership:
    """Leader state for one term.

    Args:
        replica_id: Id of the leader.
        term: Term of the leader.
        log: Log of the leader.
        now: Time of the election in seconds.
        times: Timing of the group.
    """

    def __init__(
        self,
        *,
        replica_id: ReplicaId,
        term: int,
        log: EntryLog,
        now: float,
        times: ConsensusTiming = DEFAULT_TIMING,
    ):
        self._times = times
        self._replica_id = replica_id
        self._term = term
        self._log = log
        self._sequence = 0
        self._progress: dict[ReplicaId, Progress] = {}
        self._rounds: list[_Round] = []
        self.term_start_index = log.last_index + 1
        self.heartbeat_due_at = now
        self.confirmed_at = float("-inf")
        self.refused_identities: dict[ReplicaId, str] = {}

    def update_followers(self, now: float) -> None:
        """Tracks exactly the followers in the latest member list."""
        members = self._log.members
        wanted = set()
        for member in members.members:
            if member.replica_id == self._replica_id:
                continue
            if member.role is not MemberRole.REVOKED:
                wanted.add(member.replica_id)
        for replica_id in set(self._progress) - wanted:
            del self._progress[replica_id]
        for replica_id in sorted(wanted - set(self._progress)):
            self._progress[replica_id] = Progress(
                next=self._log.last_index + 1, last_response_at=now
            )

    def forget(self, replica_id: ReplicaId) -> None:
        """Drops the progress of a follower whose id is bound to a new identity."""
        self._progress.pop(replica_id, None)

    def find(self, replica_id: ReplicaId) -> Progress | None:
        """Returns the progress of a follower, if it is tracked."""
        return self._progress.get(replica_id)

    def list_regressed(self) -> list[ReplicaId]:
        """Returns the followers that lost entries which they had acknowledged."""
        return [name for name, p in self._progress.items() if p.has_regressed]

    def broadcast(self, now: float, commit: int) -> list[Send]:
        """Sends a heartbeat, with any pending entries, to every follower."""
        self.heartbeat_due_at = now + self._times.heartbeat_interval
        return [self._send_append(name, commit) for name in self._progress]

    def send_pending(self, commit: int) -> list[Send]:
        """Sends new entries to the followers whose in-flight limit allows it."""
        sends = []
        for name, progress in self._progress.items():
            if self._has_pending(progress):
                sends.append(self._send_append(name, commit))
        return sends

    def handle_append_response(
        self, now: float, sender: ReplicaId, response: AppendResponse, commit: int
    ) -> list[Send]:
        """Handles a response of this term from a follower with an accepted identity."""
        progress = self._record_response(now, sender, response)
        if progress is None:
            return []
        if response.accepted:
            progress.match = max(progress.match, response.match_index)
            progress.next = max(progress.next, progress.match + 1)
            progress.probing = False
            progress.snapshot_offset = 0
            self._record_durable_commit(progress, commit)
            if self._has_pending(progress):
                return [self._send_append(sender, commit)]
            return []
        progress.probing = True
        progress.next = max(
            progress.match + 1, min(progress.next - 1, response.match_index + 1)
        )
        if progress.next > self._log.base_index:
            return [self._send_append(sender, commit)]
        if now - progress.chunk_sent_at < self._times.heartbeat_interval:
            return []
        return [self._send_chunk(now, sender)]

    def handle_snapshot_response(
        self, now: float, sender: ReplicaId, response: SnapshotResponse
    ) -> list[Send]:
        """Handles a response of this term to a snapshot chunk."""
        progress = self._record_response(now, sender, response)
        if progress is None or response.index != progress.snapshot_index:
            return []
        if progress.next > self._log.base_index:
            return []
        is_restarted = (
            response.received < progress.snapshot_offset
            and response.sequence >= progress.chunk_sequence
        )
        if response.received <= progress.snapshot_offset and not is_restarted:
            return []  # a repeated response must not start a second stream of chunks
        progress.snapshot_offset = response.received
        return [self._send_chunk(now, sender)]

    def record_durable_commits(self, commit: int) -> None:
        """Records which committed entries each follower has acknowledged."""
        for progress in self._progress.values():
            self._record_durable_commit(progress, commit)

    def find_commit(self) -> int:
        """Returns the last index that is durable at a majority of the voters."""
        matches = []
        for voter in self._log.members.voters:
            matches.append(self._find_match(voter))
        matches.sort(reverse=True)
        return matches[self._log.members.quorum - 1]

    def is_responsive(self, replica_id: ReplicaId, now: float) -> bool:
        """Whether a follower responded within the quorum timeout.

        A follower that lost acknowledged entries never counts as responsive.
        """
        progress = self._progress.get(replica_id)
        if progress is None or progress.has_regressed:
            return False
        return progress.last_response_at >= now - self._times.quorum_timeout

    def has_quorum(self, now: float) -> bool:
        """Whether a majority of the voters responded within the quorum timeout."""
        responsive = 0
        for voter in self._log.members.voters:
            if voter == self._replica_id:
                responsive += 1
                continue
            responsive += self.is_responsive(voter, now)
        return responsive >= self._log.members.quorum

    def begin_round(self, now: float, round_id: int) -> None:
        """Begins a read-index round, which counts only requests sent from now on."""
        self._rounds.append(
            _Round(round_id=round_id, first_sequence=self._sequence + 1, started_at=now)
        )

    def pop_confirmed_rounds(self, commit: int) -> list[ReadIndexConfirmed]:
        """Returns the read-index rounds confirmed by a majority since the last call.

        No round is confirmed before an entry of this term is committed, as until then
        the commit index may be below that of an earlier leader.
        """
        if commit < self.term_start_index or not self._rounds:
            return []
        reached = self._find_acknowledged()
        confirmed = []
        for pending in self._rounds:
            if pending.first_sequence > reached:
                break
            self.confirmed_at = pending.started_at
            confirmed.append(
                ReadIndexConfirmed(
                    round_id=pending.round_id,
                    commit_index=commit,
                    started_at=pending.started_at,
                )
            )
        del self._rounds[: len(confirmed)]
        return confirmed

    def _record_response(
        self, now: float, sender: ReplicaId, response: AppendResponse | SnapshotResponse
    ) -> Progress | None:
        progress = self._progress.get(sender)
        if progress is None or progress.has_regressed:
            return None
        is_later = response.sequence >= progress.durable_commit_sequence
        if is_later and response.last_index < progress.durable_commit:
            # Committed entries are never truncated, so only a lost or replaced disk can
            # lower this index. The response is not a late one either, because its
            # request was sent after `durable_commit` was known.
            progress.has_regressed = True
            return None
        progress.last_response_at = now
        progress.acknowledged = max(progress.acknowledged, response.sequence)
        return progress

    def _record_durable_commit(self, progress: Progress, commit: int) -> None:
        durable_commit = min(progress.match, commit)
        if durable_commit > progress.durable_commit:
            progress.durable_commit = durable_commit
            progress.durable_commit_sequence = self._sequence + 1

    def _find_match(self, voter: ReplicaId) -> int:
        if voter == self._replica_id:
            return self._log.last_index
        progress = self._progress.get(voter)
        return progress.match if progress and not progress.has_regressed else 0

    def _find_acknowledged(self) -> int:
        sequences = []
        for voter in self._log.members.voters:
            if voter == self._replica_id:
                sequences.append(self._sequence + 1)
                continue
            progress = self._progress.get(voter)
            counts = progress is not None and not progress.has_regressed
            sequences.append(progress.acknowledged if counts else 0)
        sequences.sort(reverse=True)
        return sequences[self._log.members.quorum - 1]

    def _has_pending(self, progress: Progress) -> bool:
        if progress.probing or progress.next > self._log.last_index:
            return False
        return progress.next - progress.match <= MAX_IN_FLIGHT_ENTRIES

    def _send_append(self, to: ReplicaId, commit: int) -> Send:
        progress = self._progress[to]
        # For a follower that needs a snapshot, the request checks whether it holds the
        # snapshot's last entry.
        previous = max(progress.next - 1, self._log.base_index)
        entries = []
        if previous == progress.next - 1 and self._has_pending(progress):
            entries = self._log.list_batch(progress.next)
            progress.next += len(entries)
        self._sequence += 1
        request = AppendRequest(
            term=self._term,
            sequence=self._sequence,
            previous_index=previous,
            previous_term=self._log.term_at(previous),
            commit=commit,
            entries=[[e.term, e.kind.value, e.data] for e in entries],
        )
        return Send(to=to, message=request)

    def _send_chunk(self, now: float, to: ReplicaId) -> Send:
        progress = self._progress[to]
        snapshot = self._log.snapshot
        if progress.snapshot_index != snapshot.index:
            progress.snapshot_index = snapshot.index
            progress.snapshot_offset = 0
        self._sequence += 1
        progress.chunk_sequence = self._sequence
        progress.chunk_sent_at = now
        end = progress.snapshot_offset + CHUNK_SIZE
        chunk = SnapshotChunk(
            term=self._term,
            sequence=self._sequence,
            index=snapshot.index,
            index_term=snapshot.term,
            members=snapshot.members,
            offset=progress.snapshot_offset,
            data=snapshot.state[progress.snapshot_offset : end],
            last=end >= len(snapshot.state),
        )
        return Send(to=to, message=chunk)
