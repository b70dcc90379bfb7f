"""The streams of the entries that a control leader serves."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from monsoonlug import messages
from monsoonlug.exceptions import StreamClosed
from monsoonlug.group import ControlGroup
from monsoonlug.logs import get_logger
from monsoonlug.read_index import ReadIndexQueue
from monsoonlug.streams import MessageStream

logger = get_logger("control")


@dataclass(slots=True, kw_only=True, eq=False)
class Subscriber:
    """One stream of an entry.

    Attributes:
        sent: Revision of the view that the entry will reach, or None for none.
        hosts_sent: Whether it was told the live entries, where control lists them.
    """

    stream: MessageStream
    sent: int | None = None
    hosts_sent: bool = False


class SubscriberStreams(ABC):
    """Serves entries: takes what they send, and sends them changes and views.

    Args:
        clock: Steady clock, in seconds.
        max_unsent: Bytes that may wait for a slow entry.
    """

    def __init__(self, *, clock: Callable[[], float], max_unsent: int):
        self.group: ControlGroup | None = None
        self.rounds = ReadIndexQueue(clock=clock, find_group=lambda: self.group)
        self._clock = clock
        self._max_unsent = max_unsent
        self._subscribers: set[Subscriber] = set()

    @property
    def subscribers(self) -> int:
        """Number of entries that are connected."""
        return len(self._subscribers)

    async def serve(self, stream: MessageStream) -> None:
        """Serves one stream of an entry until it ends."""
        subscriber = Subscriber(stream=stream)
        self._subscribers.add(subscriber)
        try:
            async for message in stream.iterate():
                self._receive(subscriber, message)
        finally:
            self._subscribers.discard(subscriber)

    @abstractmethod
    def _receive(self, subscriber: Subscriber, message: object) -> None:
        """Takes a message of an entry."""

    def _send(self, subscriber: Subscriber, message: object) -> None:
        self._send_encoded(subscriber, messages.encode(message))

    def _send_all(self, message: object) -> None:
        """Sends a message, encoded once, to all entries."""
        body = messages.encode(message)
        for subscriber in list(self._subscribers):
            self._send_encoded(subscriber, body)

    def _send_delta(self, base: int, revision: int, message: object) -> None:
        """Sends a change of the view, encoded once, to the entries that reach it."""
        body = messages.encode(message)
        for subscriber in list(self._subscribers):
            if subscriber.sent == base:
                self._send_encoded(subscriber, body)
                subscriber.sent = revision

    def _send_view(
        self,
        subscriber: Subscriber,
        revision: int,
        data: bytes,
        *,
        part: type,
        size: int,
    ) -> None:
        """Sends a packed view.

        Args:
            subscriber: Who gets it.
            revision: Revision of the view.
            data: The packed view.
            part: Type of the messages that carry it.
            size: Bytes of one message.
        """
        for start in range(0, len(data), size):
            message = part(
                revision=revision,
                last=start + size >= len(data),
                data=data[start : start + size],
            )
            self._send(subscriber, message)

    def _send_encoded(self, subscriber: Subscriber, body: bytes) -> None:
        stream = subscriber.stream
        if stream.closed:
            return
        if stream.unsent > self._max_unsent:
            logger.warning("Closed the stream to {}: it is too slow.", stream.peer)
            stream.close()
            return
        try:
            stream.send_encoded(body)
        except StreamClosed:
            logger.debug("Stream to {} is closed.", stream.peer)
