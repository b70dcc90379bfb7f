"""Failure domains of the entries that send requests to the gates of this host."""

from collections.abc import Iterable, Iterator

from monsoonlug.exchanges import Peer
from monsoonlug.ids import FailureDomain, HostId

UNKNOWN_HOST = HostId("")


class RequestOrigins:
    """Maps the peers of this host to failure domains.

    A stream names the peer's host, and control the failure domain of each live host.
    """

    def __init__(self):
        self._hosts: dict[Peer, HostId] = {}
        self._domains: dict[HostId, FailureDomain] = {}

    def __iter__(self) -> Iterator[Peer]:
        return iter(self._hosts)

    def add(self, peer: Peer, host: HostId) -> None:
        """Adds a peer, with the name of its host."""
        self._hosts[peer] = host

    def remove(self, peer: Peer) -> None:
        """Removes a peer whose connection was lost."""
        self._hosts.pop(peer, None)

    def update(self, domains: Iterable[tuple[HostId, FailureDomain]]) -> None:
        """Sets the failure domains of the known hosts."""
        self._domains = dict(domains)

    def find(self, peer: Peer) -> str:
        """Returns the failure domain of a peer, or its host's name while unknown."""
        host = self._hosts.get(peer, UNKNOWN_HOST)
        return self._domains.get(host, host)
