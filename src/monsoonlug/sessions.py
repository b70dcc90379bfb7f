"""Session lease of an entry host: the leader's side and the host's side.

A host may act as a gate only while it holds a lease, and the leader gives its gates to
other hosts only after the session has expired. The host counts the lease from sending a
heartbeat, the leader the session from receiving it, so the lease ends first. All times
are seconds of the process's own monotonic clock.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from monsoonlug.deltas import HostRecord
from monsoonlug.ids import Epoch, HostId, Revision

HEARTBEAT_INTERVAL = 0.100  # seconds
LEASE_DURATION = 0.370  # seconds on the host's clock, from sending a heartbeat
MAX_CLOCK_DRIFT = 1.01  # largest ratio of the rates of two clocks
CANCEL_GRACE = 0.030  # seconds after the lease, for requests that already run
LEASE_MARGIN = 0.040  # seconds; `CANCEL_GRACE`, and rounding and drift on both sides
# Seconds on the leader's clock, from receiving a heartbeat.
SESSION_TIMEOUT = LEASE_DURATION * MAX_CLOCK_DRIFT + LEASE_MARGIN
VIEW_MAX_AGE = 2.0  # seconds; a host with an older view refuses requests
MAX_UNANSWERED_HEARTBEATS = 64  # heartbeats whose send times are kept


@dataclass(slots=True, kw_only=True)
class _Session:
    """Session of a host process, for one registration."""

    epoch: Epoch
    boot: str
    expires_at: float
    expired: bool = False


class SessionTable:
    """Sessions of all registered hosts, kept by the leader."""

    def __init__(self):
        self._sessions: dict[HostId, _Session] = {}

    def begin(self, now: float, hosts: Iterable[HostRecord]) -> None:
        """Starts new sessions for all hosts after an election.

        The new leader does not know which leases are valid, so it presumes all hosts
        alive for `SESSION_TIMEOUT`.
        """
        self._sessions = {}
        self.track(now, hosts)

    def track(self, now: float, hosts: Iterable[HostRecord]) -> None:
        """Updates the registered hosts; a new registration starts a session."""
        sessions = {}
        for record in hosts:
            session = self._sessions.get(record.host)
            if session is None or session.epoch != record.epoch:
                session = _Session(
                    epoch=record.epoch,
                    boot=record.boot,
                    expires_at=now + SESSION_TIMEOUT,
                )
            sessions[record.host] = session
        self._sessions = sessions

    def renew(self, now: float, host: HostId, boot: str) -> bool:
        """Renews a session, before the response to a confirmed heartbeat is sent.

        Args:
            now: Time at which the heartbeat was received.
            host: Sender of the heartbeat.
            boot: Id of the process that sent it.

        Returns:
            Whether to respond to the heartbeat. A host whose session has expired
            must be deregistered and registered again first.
        """
        session = self._sessions.get(host)
        if session is None or session.expired or session.boot != boot:
            return False
        session.expires_at = max(session.expires_at, now + SESSION_TIMEOUT)
        return True

    def expire(self, now: float) -> list[HostId]:
        """Marks sessions that are over as expired; returns the hosts of all expired."""
        hosts = []
        for host, session in self._sessions.items():
            if session.expires_at <= now:
                session.expired = True
            if session.expired:
                hosts.append(host)
        return hosts

    def is_live(self, host: HostId, boot: str) -> bool:
        """Returns whether this process of a host has a session."""
        session = self._sessions.get(host)
        return session is not None and not session.expired and session.boot == boot

    def list_live(self) -> set[HostId]:
        """Returns the hosts whose sessions are not marked as expired."""
        return {host for host, item in self._sessions.items() if not item.expired}


class SessionLease:
    """Lease of an entry host and freshness of its view.

    A response extends the lease only once the view has reached the commit revision that
    the response names.
    """

    def __init__(self):
        self._send_times: dict[int, float] = {}
        self._pending_responses: dict[int, Revision] = {}
        self._revision = Revision(0)
        self._lease_start = -math.inf

    def record_sent(self, now: float, sequence: int) -> None:
        """Records the send time of a heartbeat."""
        self._send_times[sequence] = now
        while len(self._send_times) > MAX_UNANSWERED_HEARTBEATS:
            oldest = next(iter(self._send_times))
            del self._send_times[oldest]
            self._pending_responses.pop(oldest, None)

    def record_response(self, sequence: int, commit_revision: Revision) -> None:
        """Records the leader's response to a heartbeat."""
        if sequence not in self._send_times:
            return
        self._pending_responses[sequence] = commit_revision
        self._extend()

    def record_applied(self, revision: Revision) -> None:
        """Records that the view has reached a revision."""
        self._revision = max(self._revision, revision)
        self._extend()

    def valid_until(self) -> float:
        """Returns the end of the lease, or a time in the past if there is none."""
        return self._lease_start + LEASE_DURATION

    def is_valid(self, now: float) -> bool:
        """Returns whether this host may act as a gate."""
        return now < self.valid_until()

    def is_view_fresh(self, now: float) -> bool:
        """Returns whether the view is fresh enough to serve requests."""
        return now < self._lease_start + VIEW_MAX_AGE

    def _extend(self) -> None:
        for sequence, revision in list(self._pending_responses.items()):
            if revision > self._revision:
                continue
            del self._pending_responses[sequence]
            self._lease_start = max(self._lease_start, self._send_times.pop(sequence))
