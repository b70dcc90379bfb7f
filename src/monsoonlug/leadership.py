"""What a leader knows about its followers: progress, contact and read-index rounds."""

from dataclasses import dataclass

from monsoonlug.actions import RoundConfirmed, Send
from monsoonlug.consensus_timing import DEFAULT_TIMING, ConsensusTiming
from monsoonlug.entry_log import EntryLog
from monsoonlug.ids import ReplicaId
from monsoonlug.membership import MemberRole
from monsoonlug.peer_messages import (
    AppendAnswer,
    AppendRequest,
    SnapshotAnswer,
    SnapshotChunk,
)

QUORUM_TIMEOUT = DEFAULT_TIMING.quorum_timeout  # seconds, in a group with default times
CHUNK_SIZE = 262_144  # bytes
MAX_IN_FLIGHT = 2_048  # entries sent to a follower and not yet acknowledged


@dataclass(slots=True, kw_only=True)
class Progress:
    """What the leader knows about one follower.

    Attributes:
        match: Last index known to be durable at the follower and equal to ours.
        next: Index of the next entry to send.
        probing: Whether `next` is a guess, so that no entries are sent yet.
        heard_at: Time of the last answer, in seconds.
        acknowledged: Highest sequence number that was answered.
        floor: Committed index that the follower has acknowledged as durable.
        floor_sequence: Requests from this number on were sent after that.
        has_regressed: Whether the follower lost entries below its floor.
        snapshot_index: Index of the snapshot being sent.
        offset: Bytes of that snapshot that the follower has.
        chunk_sequence: Sequence number of the last chunk sent.
        chunk_sent_at: Time of the last chunk, in seconds.
    """

    next: int
    heard_at: float
    match: int = 0
    probing: bool = False
    acknowledged: int = 0
    floor: int = 0
    floor_sequence: int = 0
    has_regressed: bool = False
    snapshot_index: int = 0
    offset: int = 0
    chunk_sequence: int = 0
    chunk_sent_at: float = float("-inf")


@dataclass(frozen=True, slots=True, kw_only=True)
class _Round:
    round_id: int
    first_sequence: int
    started_at: float


class Leadership:
    """The leader's side of one term.

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
        self.start_index = log.last_index + 1
        self.heartbeat_at = now
        self.confirmed_at = float("-inf")
        self.strangers: dict[ReplicaId, str] = {}

    def follow_members(self, now: float) -> None:
        """Tracks exactly the followers of the list of members in force."""
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
                next=self._log.last_index + 1, heard_at=now
            )

    def forget(self, replica_id: ReplicaId) -> None:
        """Drops what is known about a follower whose id is bound anew."""
        self._progress.pop(replica_id, None)

    def find(self, replica_id: ReplicaId) -> Progress | None:
        """Returns the progress of a follower, if it is tracked."""
        return self._progress.get(replica_id)

    def list_regressed(self) -> list[ReplicaId]:
        """Returns the followers that lost entries they had acknowledged."""
        return [name for name, p in self._progress.items() if p.has_regressed]

    def broadcast(self, now: float, commit: int) -> list[Send]:
        """Sends a heartbeat, with entries where they are due, to every follower."""
        self.heartbeat_at = now + self._times.heartbeat_interval
        return [self._send_append(name, commit) for name in self._progress]

    def send_pending(self, commit: int) -> list[Send]:
        """Sends new entries to the followers that can take them."""
        sends = []
        for name, progress in self._progress.items():
            if self._has_pending(progress):
                sends.append(self._send_append(name, commit))
        return sends

    def take_append_answer(
        self, now: float, sender: ReplicaId, answer: AppendAnswer, commit: int
    ) -> list[Send]:
        """Takes an answer of this term from a follower whose identity is accepted."""
        progress = self._take_contact(now, sender, answer)
        if progress is None:
            return []
        if answer.accepted:
            progress.match = max(progress.match, answer.match_index)
            progress.next = max(progress.next, progress.match + 1)
            progress.probing = False
            progress.offset = 0
            self._raise_floor(progress, commit)
            if self._has_pending(progress):
                return [self._send_append(sender, commit)]
            return []
        progress.probing = True
        progress.next = max(
            progress.match + 1, min(progress.next - 1, answer.match_index + 1)
        )
        if progress.next > self._log.base_index:
            return [self._send_append(sender, commit)]
        if now - progress.chunk_sent_at < self._times.heartbeat_interval:
            return []
        return [self._send_chunk(now, sender)]

    def take_snapshot_answer(
        self, now: float, sender: ReplicaId, answer: SnapshotAnswer
    ) -> list[Send]:
        """Takes an answer of this term to a part of a snapshot."""
        progress = self._take_contact(now, sender, answer)
        if progress is None or answer.index != progress.snapshot_index:
            return []
        if progress.next > self._log.base_index:
            return []
        is_restarted = (
            answer.received < progress.offset
            and answer.sequence >= progress.chunk_sequence
        )
        if answer.received <= progress.offset and not is_restarted:
            return []  # a repeated answer must not start a second stream of chunks
        progress.offset = answer.received
        return [self._send_chunk(now, sender)]

    def raise_floors(self, commit: int) -> None:
        """Notes which committed entries each follower has acknowledged."""
        for progress in self._progress.values():
            self._raise_floor(progress, commit)

    def find_commit(self) -> int:
        """Returns the last index that a majority of the voters has durably."""
        matches = []
        for voter in self._log.members.voters:
            matches.append(self._find_match(voter))
        matches.sort(reverse=True)
        return matches[self._log.members.quorum - 1]

    def hears(self, replica_id: ReplicaId, now: float) -> bool:
        """Whether a follower that counts answered within the quorum timeout."""
        progress = self._progress.get(replica_id)
        if progress is None or progress.has_regressed:
            return False
        return progress.heard_at >= now - self._times.quorum_timeout

    def has_quorum(self, now: float) -> bool:
        """Whether a majority of the voters answered within the quorum timeout."""
        heard = 0
        for voter in self._log.members.voters:
            if voter == self._replica_id:
                heard += 1
                continue
            heard += self.hears(voter, now)
        return heard >= self._log.members.quorum

    def begin_round(self, now: float, round_id: int) -> None:
        """Begins a round, which counts only requests sent from now on."""
        self._rounds.append(
            _Round(round_id=round_id, first_sequence=self._sequence + 1, started_at=now)
        )

    def take_confirmed(self, commit: int) -> list[RoundConfirmed]:
        """Returns the rounds that a majority has confirmed since the last call.

        No round is confirmed before an entry of this term is committed, as until then
        the commit index may be below that of an earlier leader.
        """
        if commit < self.start_index or not self._rounds:
            return []
        reached = self._find_acknowledged()
        confirmed = []
        for pending in self._rounds:
            if pending.first_sequence > reached:
                break
            self.confirmed_at = pending.started_at
            confirmed.append(
                RoundConfirmed(
                    round_id=pending.round_id,
                    commit_index=commit,
                    started_at=pending.started_at,
                )
            )
        del self._rounds[: len(confirmed)]
        return confirmed

    def _take_contact(
        self, now: float, sender: ReplicaId, answer: AppendAnswer | SnapshotAnswer
    ) -> Progress | None:
        progress = self._progress.get(sender)
        if progress is None or progress.has_regressed:
            return None
        is_later = answer.sequence >= progress.floor_sequence
        if is_later and answer.last_index < progress.floor:
            # Only a lost or replaced disk can lower this index, as committed entries
            # are never truncated. The answer is not a late one, because its request
            # was sent after the floor was known.
            progress.has_regressed = True
            return None
        progress.heard_at = now
        progress.acknowledged = max(progress.acknowledged, answer.sequence)
        return progress

    def _raise_floor(self, progress: Progress, commit: int) -> None:
        floor = min(progress.match, commit)
        if floor > progress.floor:
            progress.floor = floor
            progress.floor_sequence = self._sequence + 1

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
        return progress.next - progress.match <= MAX_IN_FLIGHT

    def _send_append(self, to: ReplicaId, commit: int) -> Send:
        progress = self._progress[to]
        # A follower that needs a snapshot is asked about the snapshot's last entry.
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
            progress.offset = 0
        self._sequence += 1
        progress.chunk_sequence = self._sequence
        progress.chunk_sent_at = now
        end = progress.offset + CHUNK_SIZE
        chunk = SnapshotChunk(
            term=self._term,
            sequence=self._sequence,
            index=snapshot.index,
            index_term=snapshot.term,
            members=snapshot.members,
            offset=progress.offset,
            data=snapshot.state[progress.offset : end],
            last=end >= len(snapshot.state),
        )
        return Send(to=to, message=chunk)
