"""Streams from entries, as a control leader serves them."""

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
    """One stream from an entry.

    Attributes:
        sent_revision: Revision that the entry reaches with the messages sent so far, or
            None if no view was sent.
        live_hosts_sent: Whether a `LiveHostList` was sent, where control sends any.
    """

    stream: MessageStream
    sent_revision: int | None = None
    live_hosts_sent: bool = False


class SubscriberStreams(ABC):
    """Base class of the servers that send views and deltas to entries.

    Args:
        clock: Monotonic clock, in seconds.
        max_unsent_bytes: Bytes queued for an entry above which its stream is closed.
    """

    def __init__(self, *, clock: Callable[[], float], max_unsent_bytes: int):
        self.group: ControlGroup | None = None
        self.read_index_queue = ReadIndexQueue(
            clock=clock, find_group=lambda: self.group
        )
        self._clock = clock
        self._max_unsent_bytes = max_unsent_bytes
        self._subscribers: set[Subscriber] = set()

    @property
    def subscribers(self) -> int:
        """Number of open streams from entries."""
        return len(self._subscribers)

    async def serve(self, stream: MessageStream) -> None:
        """Serves one stream from an entry until it ends."""
        subscriber = Subscriber(stream=stream)
        self._subscribers.add(subscriber)
        try:
            async for message in stream.iterate():
                self._receive(subscriber, message)
        finally:
            self._subscribers.discard(subscriber)

    @abstractmethod
    def _receive(self, subscriber: Subscriber, message: object) -> None:
        """Handles a message from an entry."""

    def _send(self, subscriber: Subscriber, message: object) -> None:
        self._send_encoded(subscriber, messages.encode_compressed(message))

    def _send_all(self, message: object) -> None:
        """Sends a message to all entries, encoding it once."""
        body = messages.encode_compressed(message)
        for subscriber in list(self._subscribers):
            self._send_encoded(subscriber, body)

    def _send_delta(self, base: int, revision: int, message: object) -> None:
        """Sends a delta to the entries that are at its base, encoding it once."""
        body = messages.encode_compressed(message)
        for subscriber in list(self._subscribers):
            if subscriber.sent_revision == base:
                self._send_encoded(subscriber, body)
                subscriber.sent_revision = revision

    def _send_view(
        self,
        subscriber: Subscriber,
        revision: int,
        data: bytes,
        *,
        chunk_type: type,
        chunk_size: int,
    ) -> None:
        """Sends a serialized view in chunks.

        Args:
            subscriber: Receiver of the view.
            revision: Revision of the view.
            data: The serialized view.
            chunk_type: Type of the messages that carry the chunks.
            chunk_size: Bytes of data in one message.
        """
        for start in range(0, len(data), chunk_size):
            message = chunk_type(
                revision=revision,
                last=start + chunk_size >= len(data),
                data=data[start : start + chunk_size],
            )
            self._send(subscriber, message)

    def _send_encoded(self, subscriber: Subscriber, body: bytes) -> None:
        stream = subscriber.stream
        if stream.closed:
            return
        if stream.unsent_bytes > self._max_unsent_bytes:
            logger.warning(
                "Closed the stream to {}: {} bytes are unsent, more than {}.",
                stream.peer,
                stream.unsent_bytes,
                self._max_unsent_bytes,
            )
            stream.close()
            return
        try:
            stream.send_encoded(body)
        except StreamClosed:
            logger.debug("Dropped a message to {}: the stream is closed.", stream.peer)
