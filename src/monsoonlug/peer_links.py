"""Streams from a control replica to the others."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from random import Random

from monsoonlug.ids import ReplicaId
from monsoonlug.links import Link


class PeerLinks(Mapping[ReplicaId, Link]):
    """Streams to other replicas, opened on first use.

    Args:
        own: Stream address of this replica.
        role: Role of this process on streams.
        random: Source of the jitter of the reconnect delays.
        spawn: Runs a coroutine in the background.
        on_message: Called with each message from a peer.
    """

    def __init__(
        self,
        *,
        own: str,
        role: str,
        random: Random,
        spawn: Callable[..., asyncio.Task],
        on_message: Callable[[object], None],
    ):
        self._own = own
        self._role = role
        self._random = random
        self._spawn = spawn
        self._on_message = on_message
        self._links: dict[ReplicaId, Link] = {}
        self._tasks: dict[ReplicaId, asyncio.Task] = {}

    def __getitem__(self, name: ReplicaId) -> Link:
        if name == self._own:
            raise KeyError(name)
        link = self._links.get(name)
        if link is None:
            link = Link(
                address=name,
                role=self._role,
                sender=self._own,
                on_message=self._on_message,
                random=self._random,
            )
            self._links[name] = link
            self._tasks[name] = self._spawn(link.run())
        return link

    def __iter__(self):
        return iter(self._links)

    def __len__(self) -> int:
        return len(self._links)

    def retain(self, names: Iterable[ReplicaId]) -> None:
        """Closes the streams to all replicas that are not in `names`."""
        for name in set(self._links) - set(names):
            del self._links[name]
            self._tasks.pop(name).cancel()
