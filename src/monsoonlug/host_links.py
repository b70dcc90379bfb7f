"""Connections to the other entry hosts, for requests to the gates at these hosts."""

import asyncio
from collections.abc import Callable, Mapping
from functools import partial
from random import Random

from monsoonlug.exceptions import StreamClosed
from monsoonlug.exchanges import Peer
from monsoonlug.ids import HostId
from monsoonlug.links import MAX_UNSENT_BYTES, Link
from monsoonlug.logs import get_logger
from monsoonlug.streams import MessageStream

OPEN_TIMEOUT = 0.3  # seconds that a request waits for a stream to open

logger = get_logger("links")


class StreamPeer(Peer):
    """A host that is reached over an accepted stream.

    Args:
        stream: The open stream.
    """

    def __init__(self, *, stream: MessageStream):
        self._stream = stream

    def send(self, message: object) -> None:
        """Sends a message; see `Peer`."""
        if self._stream.unsent_bytes > MAX_UNSENT_BYTES:
            self._stream.close()
        self._stream.send(message, batched=True)

    async def drain(self) -> None:
        """Waits while too much is queued; see `Peer`."""
        await self._stream.drain()


class LinkPeer(Peer):
    """A host that is reached over a link of this host.

    Args:
        link: The link to the host.
    """

    def __init__(self, *, link: Link):
        self._link = link

    def send(self, message: object) -> None:
        """Sends a message; see `Peer`."""
        if not self._link.send(message, batched=True):
            raise StreamClosed()


class HostLinks:
    """Keeps a link to each of the other hosts, or to those that are sent requests.

    Links on demand save connections and handshakes where hundreds of hosts each send
    requests to only some of the others at a time.

    Args:
        host: Name of this host.
        role: Role of this process.
        on_open: Called when a stream to a host is open.
        on_close: Called when a stream to a host is lost.
        on_message: Called with each message from a host.
        random: Source of the reconnect jitter.
        on_demand: Whether a link opens with the first call of `connect` for its host.
    """

    def __init__(
        self,
        *,
        host: HostId,
        role: str,
        on_open: Callable[[HostId, Peer], None],
        on_close: Callable[[HostId], None],
        on_message: Callable[[HostId, object], None],
        random: Random,
        on_demand: bool = False,
    ):
        self._on_demand = on_demand
        self._addresses: dict[HostId, str] = {}
        self._opening: dict[HostId, asyncio.Event] = {}
        self._added_at: dict[HostId, float] = {}
        self._host = host
        self._role = role
        self._on_open = on_open
        self._on_close = on_close
        self._on_message = on_message
        self._random = random
        self._links: dict[HostId, Link] = {}
        self._tasks: dict[HostId, asyncio.Task] = {}

    def update(self, addresses: Mapping[HostId, str]) -> None:
        """Opens and closes links to match the stream addresses of all hosts.

        The address of this host is ignored. Links on demand are only closed.
        """
        self._addresses = {
            host: address for host, address in addresses.items() if host != self._host
        }
        for host, link in list(self._links.items()):
            if self._addresses.get(host) != link.address:
                self._remove(host)
        if self._on_demand:
            return
        for host in self._addresses:
            if host not in self._links:
                self._add(host)

    def may_open(self, host: HostId) -> bool:
        """Returns whether a link to a host is opening or would open on demand."""
        if host not in self._addresses:
            return False
        if host not in self._links:
            return self._on_demand
        now = asyncio.get_running_loop().time()
        return host in self._opening and now - self._added_at[host] < OPEN_TIMEOUT

    async def connect(self, host: HostId) -> None:
        """Opens the link to a host and waits until it is open, or for a time-out."""
        if host not in self._links:
            if host not in self._addresses:
                return
            self._add(host)
        opened = self._opening.get(host)
        if opened is None:
            return
        try:
            await asyncio.wait_for(opened.wait(), OPEN_TIMEOUT)
        except TimeoutError:
            logger.debug("No stream to {} within {} s.", host, OPEN_TIMEOUT)

    def send(self, host: HostId, message: object) -> bool:
        """Sends a message to a host; returns False if the link cannot take it."""
        link = self._links.get(host)
        return link is not None and link.send(message)

    def stop(self) -> None:
        """Closes all links."""
        for host in list(self._links):
            self._remove(host)

    def _add(self, host: HostId) -> None:
        link = Link(
            address=self._addresses[host],
            role=self._role,
            sender=self._host,
            on_message=partial(self._on_message, host),
            random=self._random,
            on_open=partial(self._open, host),
            on_close=partial(self._on_close, host),
        )
        self._links[host] = link
        self._opening[host] = asyncio.Event()
        self._added_at[host] = asyncio.get_running_loop().time()
        self._tasks[host] = asyncio.create_task(link.run())

    def _open(self, host: HostId) -> None:
        self._on_open(host, LinkPeer(link=self._links[host]))
        self._end_opening(host)

    def _remove(self, host: HostId) -> None:
        del self._links[host]
        del self._added_at[host]
        self._end_opening(host)
        self._tasks.pop(host).cancel()

    def _end_opening(self, host: HostId) -> None:
        """Wakes the requests that wait for a stream to open."""
        opening = self._opening.pop(host, None)
        if opening is not None:
            opening.set()
