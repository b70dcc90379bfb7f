"""Notices entries that no longer answer on an open stream.

A host that is paused, and a link that is cut, give no sign on the stream. While
requests wait for a host that is silent, it is asked to answer at once; if it does not,
new requests go to another gate.
"""

from collections.abc import Callable
from dataclasses import dataclass

from monsoonlug.fleet_messages import Ping
from monsoonlug.ids import HostId
from monsoonlug.logs import get_logger

TICK = 0.050  # seconds between two checks
QUIET_TIME = 0.200  # seconds without a frame until a host with open requests is asked
ANSWER_TIME = 0.250  # seconds until a host that was asked counts as silent
PROBE_INTERVAL = 0.300  # seconds between two questions to a silent host

logger = get_logger("peers")


@dataclass(slots=True, kw_only=True)
class _Peer:
    heard_at: float
    asked_at: float = 0.0
    is_silent: bool = False


class PeerWatch:
    """Decides which hosts are silent.

    Args:
        clock: Steady clock, in seconds.
        list_busy: Returns the hosts for which requests wait.
        send: Sends a message to a host; returns False if there is no stream.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        list_busy: Callable[[], list[HostId]],
        send: Callable[[HostId, object], bool],
    ):
        self._clock = clock
        self._list_busy = list_busy
        self._send = send
        self._peers: dict[HostId, _Peer] = {}
        self._asked: set[HostId] = set()
        self._number = 0

    def is_silent(self, host: HostId) -> bool:
        """Returns whether a host with an open stream does not answer."""
        peer = self._peers.get(host)
        return peer is not None and peer.is_silent

    def open(self, host: HostId) -> None:
        """Takes a new stream to a host."""
        self._peers[host] = _Peer(heard_at=self._clock())
        self._asked.discard(host)

    def close(self, host: HostId) -> None:
        """Takes the loss of the stream to a host."""
        self._peers.pop(host, None)
        self._asked.discard(host)

    def hear(self, host: HostId) -> None:
        """Takes any frame of a host."""
        peer = self._peers.get(host)
        if peer is None:
            return
        peer.heard_at = self._clock()
        self._asked.discard(host)
        if peer.is_silent:
            peer.is_silent = False
            logger.info("Entry {} answers again.", host)

    def tick(self) -> None:
        """Asks quiet hosts, and judges those that were asked."""
        now = self._clock()
        for host in list(self._asked):
            self._judge(now, host, self._peers[host])
        for host in self._list_busy():
            peer = self._peers.get(host)
            if peer is None or host in self._asked:
                continue
            if now - peer.heard_at > QUIET_TIME:
                self._ask(now, host, peer)

    def _judge(self, now: float, host: HostId, peer: _Peer) -> None:
        waited = now - peer.asked_at
        if not peer.is_silent and waited > ANSWER_TIME:
            peer.is_silent = True
            logger.warning(
                "Entry {} is silent; its last frame came {:.2f} s ago.",
                host,
                now - peer.heard_at,
            )
        if peer.is_silent and waited > PROBE_INTERVAL:
            self._ask(now, host, peer)

    def _ask(self, now: float, host: HostId, peer: _Peer) -> None:
        self._number += 1
        peer.asked_at = now
        self._asked.add(host)
        self._send(host, Ping(number=self._number))
