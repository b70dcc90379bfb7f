"""Raft messages between control replicas."""

from dataclasses import dataclass

from monsoonlug.messages import register


@register(50)
@dataclass(frozen=True, slots=True, kw_only=True)
class VoteRequest:
    """Requests a vote or a pre-vote.

    Attributes:
        term: Term of the election.
        identity: Identity of the candidate's data folder.
        last_index: Index of the candidate's last entry.
        last_term: Term of that entry.
        pre_vote: Whether this is a pre-vote, which changes no state of the voter.
    """

    term: int
    identity: str
    last_index: int
    last_term: int
    pre_vote: bool


@register(51)
@dataclass(frozen=True, slots=True, kw_only=True)
class VoteResponse:
    """Response to a `VoteRequest`.

    Attributes:
        term: Term of the voter.
        election_term: Term of the request.
        identity: Identity of the voter's data folder.
    """

    term: int
    election_term: int
    identity: str
    granted: bool
    pre_vote: bool


@register(52)
@dataclass(frozen=True, slots=True, kw_only=True)
class AppendRequest:
    """Carries entries from the leader; without entries it is a heartbeat.

    Attributes:
        term: Term of the leader.
        sequence: Number that grows with each request and chunk of this leader.
        previous_index: Index of the entry before the first one in `entries`.
        previous_term: Term of that entry.
        commit: Commit index of the leader.
        entries: A row of term, kind and data for each entry.
    """

    term: int
    sequence: int
    previous_index: int
    previous_term: int
    commit: int
    entries: list


@register(53)
@dataclass(frozen=True, slots=True, kw_only=True)
class AppendResponse:
    """Response to an `AppendRequest` or to the last `SnapshotChunk`.

    It is sent only after a sync.

    Attributes:
        identity: Identity of the follower's data folder.
        request_term: Term of the request. A response to a late request of an earlier
            term must not count in the current one.
        sequence: Sequence number of the request.
        accepted: Whether the follower's log matches the leader's up to the entry before
            the first one in the request.
        match_index: If accepted, last index up to which the log is known to match the
            leader's; otherwise the index after which the leader should retry.
        last_index: Index of the follower's last entry.
    """

    term: int
    identity: str
    request_term: int
    sequence: int
    accepted: bool
    match_index: int
    last_index: int


@register(54)
@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotChunk:
    """Carries a chunk of a snapshot's state.

    Attributes:
        index: Index of the last entry that the snapshot includes.
        index_term: Term of that entry.
        members: Serialized member list as of that entry.
        offset: Bytes of the state before this chunk.
        last: Whether this is the last chunk.
    """

    term: int
    sequence: int
    index: int
    index_term: int
    members: bytes
    offset: int
    data: bytes
    last: bool


@register(55)
@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotResponse:
    """Response to a `SnapshotChunk` that did not complete the snapshot.

    Attributes:
        request_term: Term of the chunk.
        index: Index of the snapshot.
        received: Bytes of the state that the follower has received.
    """

    term: int
    identity: str
    request_term: int
    sequence: int
    index: int
    received: int
    last_index: int


@register(56)
@dataclass(frozen=True, slots=True, kw_only=True)
class IdentityRefused:
    """Tells a replica that the member list does not accept its identity.

    Attributes:
        identity: The identity that was refused.
    """

    term: int
    identity: str
