"""Timeouts and heartbeat interval of the consensus protocol of a control group."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ConsensusTiming:
    """Timing of a control group, in seconds.

    The defaults complete a failover within 1 s, the longest time for which a key may
    have no owner. A group whose callers tolerate a longer failover uses longer times,
    so that a slow disk or processor does not start an election.

    Attributes:
        heartbeat_interval: Time between two heartbeats of the leader.
        min_election_timeout: Minimum time without a message from the leader before a
            replica starts an election.
        max_election_timeout: Maximum of the same time.
        quorum_timeout: The leader steps down if it receives no answers from a majority
            for this long.
        min_startup_timeout: Minimum time without a message from a leader before a
            replica that has just started begins an election. It may be short, as a
            replica that receives messages from a leader grants no pre-vote.
        max_startup_timeout: Maximum of the same time.
    """

    heartbeat_interval: float = 0.050
    min_election_timeout: float = 0.150
    max_election_timeout: float = 0.300
    quorum_timeout: float = 0.300
    min_startup_timeout: float = 0.150
    max_startup_timeout: float = 0.300


DEFAULT_TIMING = ConsensusTiming()
