"""Failure detector for entries that stop responding on an open stream.

A paused host or a network partition does not close a stream. A host that sends nothing
while requests wait for it is pinged. If it does not respond in time, it counts as
unresponsive, and new requests go to another gate.
"""

from collections.abc import Callable
from dataclasses import dataclass

from monsoonlug.fleet_messages import Ping
from monsoonlug.ids import HostId
from monsoonlug.logs import get_logger

CHECK_INTERVAL = 0.050  # seconds
PING_IDLE_TIME = 0.200  # seconds without a frame until an active host is pinged
PONG_TIMEOUT = 0.250  # seconds after a ping until a host is unresponsive
PING_RETRY_INTERVAL = 0.300  # seconds between pings to an unresponsive host

logger = get_logger("peers")


@dataclass(slots=True, kw_only=True)
class _Peer:
    last_frame_at: float
    pinged_at: float = 0.0
    is_unresponsive: bool = False


class FailureDetector:
    """Decides which hosts are unresponsive.

    Args:
        clock: Monotonic clock, in seconds.
        list_active_hosts: Returns the hosts with open requests.
        send: Sends a message to a host; returns False if there is no stream.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        list_active_hosts: Callable[[], list[HostId]],
        send: Callable[[HostId, object], bool],
    ):
        self._clock = clock
        self._list_active_hosts = list_active_hosts
        self._send = send
        self._peers: dict[HostId, _Peer] = {}
        self._pinged: set[HostId] = set()
        self._ping_number = 0

    def find_due(self, host: HostId | None = None) -> float | None:
        """Returns from when on `check_hosts` may act, in seconds of the clock.

        Args:
            host: The only host to consider, or None for all.

        Returns:
            The time, or None if only a new request or frame can change something.
        """
        times = []
        for other in self._pinged if host is None else self._pinged & {host}:
            peer = self._peers[other]
            limit = PING_RETRY_INTERVAL if peer.is_unresponsive else PONG_TIMEOUT
            times.append(peer.pinged_at + limit)
        for other in self._list_active_hosts() if host is None else [host]:
            peer = self._peers.get(other)
            if peer is not None and other not in self._pinged:
                times.append(peer.last_frame_at + PING_IDLE_TIME)
        return min(times, default=None)

    def is_unresponsive(self, host: HostId) -> bool:
        """Returns whether a host with an open stream has stopped responding."""
        peer = self._peers.get(host)
        return peer is not None and peer.is_unresponsive

    def add_host(self, host: HostId) -> None:
        """Starts to watch a host whose stream was opened."""
        self._peers[host] = _Peer(last_frame_at=self._clock())
        self._pinged.discard(host)

    def remove_host(self, host: HostId) -> None:
        """Stops watching a host whose stream was lost."""
        self._peers.pop(host, None)
        self._pinged.discard(host)

    def record_frame(self, host: HostId) -> None:
        """Records that a frame of any kind arrived from a host."""
        peer = self._peers.get(host)
        if peer is None:
            return
        peer.last_frame_at = self._clock()
        self._pinged.discard(host)
        if peer.is_unresponsive:
            peer.is_unresponsive = False
            logger.info("Entry {} responds again and gets new requests.", host)

    def check_hosts(self) -> None:
        """Pings idle hosts with open requests and checks those pinged before."""
        now = self._clock()
        for host in list(self._pinged):
            self._check_pinged(now, host, self._peers[host])
        for host in self._list_active_hosts():
            peer = self._peers.get(host)
            if peer is None or host in self._pinged:
                continue
            if now - peer.last_frame_at > PING_IDLE_TIME:
                self._ping(now, host, peer)

    def _check_pinged(self, now: float, host: HostId, peer: _Peer) -> None:
        waited = now - peer.pinged_at
        if not peer.is_unresponsive and waited > PONG_TIMEOUT:
            peer.is_unresponsive = True
            logger.warning(
                "Entry {} does not respond to a ping and gets no new requests; its "
                "last frame arrived {:.2f} s ago.",
                host,
                now - peer.last_frame_at,
            )
        if peer.is_unresponsive and waited > PING_RETRY_INTERVAL:
            self._ping(now, host, peer)

    def _ping(self, now: float, host: HostId, peer: _Peer) -> None:
        self._ping_number += 1
        peer.pinged_at = now
        self._pinged.add(host)
        self._send(host, Ping(number=self._ping_number))
