"""Timing of a control group."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ConsensusTimes:
    """Timing of a control group, in seconds.

    The defaults bound a failover within the second that a lost key may be without an
    owner. A group whose callers bear a longer failover uses longer times, so that a
    slow disk or processor starts no election.

    Attributes:
        heartbeat: Between two heartbeats of the leader.
        election_min: Least silence of the leader before an election.
        election_max: Longest silence of the leader before an election.
        quorum: Silence of a majority after which the leader steps down.
        start_min: Least silence of a leader after the start of a replica. It may be
            short, as a replica that hears a leader grants no pre-vote.
        start_max: Longest silence of a leader after the start of a replica.
    """

    heartbeat: float = 0.050
    election_min: float = 0.150
    election_max: float = 0.300
    quorum: float = 0.300
    start_min: float = 0.150
    start_max: float = 0.300


DEFAULT_TIMES = ConsensusTimes()
