"""Decides when large responses may use the link of this host.

Large responses cross the link of the host that received the caller's request twice:
from the server and to the caller. Without a bound, the messages of all other requests
wait behind them. All times are seconds of the host's monotonic clock.
"""

import math

MAX_LIMITED_MBPS = 100.0  # Mbit/s; 540 KB occupy a faster link for less than 45 ms
BYTES_PER_MEGABIT = 125_000
TRANSMISSION_WINDOW_BYTES = 65_536  # that one response may have in transmission
# Seconds for which the transmission windows of all large responses may occupy the link.
MAX_WINDOWS_TIME = 0.100
# Share of the link's rate that large responses from servers are expected to get. At 0.7
# fewer of them are on the link at once, but three times as many miss their objective.
READ_SHARE = 0.85
# Share of the link's rate for writes to callers. In bursts, others use the rest.
WRITE_SHARE = 0.7
# The same for writes of a response that would otherwise miss its objective. 540 KB take
# 1.3 s at 3.7 Mbit/s, instead of 1.7 s of an objective of 2.3 s.
URGENT_WRITE_SHARE = 0.9
MAX_PIECE_BYTES = 16_384  # the pieces in which relays pass on large responses
# Seconds for which one piece may occupy the link: 16 KiB at 3.7 Mbit/s.
MAX_PIECE_TIME = 0.036
MIN_PIECE_BYTES = 1_024  # below this, headers of packets take more than a tenth
# Bytes that are expected of a response that has not ended, however many were read.
MIN_REMAINING_BYTES = 4_096
# Seconds without a read after which a response is taken to have stalled. A transmission
# window takes 0.26 s at 2 Mbit/s.
STALL_TIME = 0.3
INITIAL_SAMPLES = 20  # samples below which a mean is the arithmetic mean
SAMPLE_WEIGHT = 0.05  # of one response in the moving mean
# Seconds until a request or a writer that waits is considered again at the earliest.
# Estimates change with time, and each look costs processor time.
MIN_WAIT = 0.005
TIME_TOLERANCE = 1e-6  # seconds; absorbs rounding errors


class Transfer:
    """The use of the link by one large response, from sending its request.

    Args:
        share: The link that it is part of.
        route: Name of its route.
        sent_at: When the request was sent.
        work: Seconds until the response head is expected.
        remaining: Bytes that are expected from the server.
    """

    __slots__ = (
        "_read_at",
        "_remaining",
        "_route",
        "_sent_at",
        "_share",
        "_work",
    )

    def __init__(
        self,
        *,
        share: "LinkShare",
        route: str,
        sent_at: float,
        work: float,
        remaining: float,
    ):
        self._share = share
        self._route = route
        self._sent_at = sent_at
        self._work = work
        self._remaining = remaining
        self._read_at: float | None = None  # the head, or a part

    @property
    def remaining(self) -> float:
        """Bytes that are still expected from the server."""
        return max(self._remaining, MIN_REMAINING_BYTES)

    def set_remaining(self, size: float) -> None:
        """Sets the bytes that are still expected from the server."""
        self._remaining = size

    def record_read(self, now: float, size: int) -> None:
        """Records bytes that were read from the server."""
        self._read_at = now
        self._remaining -= size

    def record_head(self, now: float) -> None:
        """Records that the response head has arrived."""
        self._read_at = now
        self._share.record_work(self._route, now - self._sent_at)

    def find_start(self, now: float) -> float:
        """Returns when the response is expected to be on the link.

        The longer a head or a part is overdue, the later it is expected, so that a
        server that hangs, or a response that cannot be held, does not block the link.
        """
        if self._read_at is None:
            return now + abs(now - self._sent_at - self._work)
        idle = now - self._read_at
        return now if idle < STALL_TIME else now + idle

    def close(self) -> None:
        """Gives the place on the link back; has no effect the second time."""
        self._share.remove(self)


class LinkShare:
    """Shares the link of this host between large responses and everything else.

    Args:
        mbps: Rate of the link, in Mbit/s.

    Attributes:
        places: Large responses that may be in transmission from servers at a time.
        piece_bytes: Largest piece of a response to write to a caller at once.
    """

    def __init__(self, *, mbps: float):
        rate = mbps * BYTES_PER_MEGABIT
        self._read_rate = READ_SHARE * rate
        self._write_rate = WRITE_SHARE * rate
        self._urgent_write_rate = URGENT_WRITE_SHARE * rate
        self.places = max(1, int(MAX_WINDOWS_TIME * rate / TRANSMISSION_WINDOW_BYTES))
        piece = min(MAX_PIECE_BYTES, int(MAX_PIECE_TIME * rate))
        self.piece_bytes = max(MIN_PIECE_BYTES, piece)
        self._transfers: dict[Transfer, None] = {}
        self._work: dict[str, tuple[int, float]] = {}
        self._next_write = -math.inf
        self._writers: dict[object, float] = {}  # those that wait, and their objectives

    @property
    def open_transfers(self) -> int:
        """Number of large responses that are awaited or read."""
        return len(self._transfers)

    # Requests to servers.

    def estimate_work(self, route: str) -> float:
        """Returns the expected seconds from sending a request to its response head."""
        _, mean = self._work.get(route, (0, 0.0))
        return mean

    def estimate_transfer(self, size: float) -> float:
        """Returns the expected seconds of reading a response from its server."""
        return size / self._read_rate

    def record_work(self, route: str, seconds: float) -> None:
        """Adds the time from sending a request to its response head."""
        count, mean = self._work.get(route, (0, 0.0))
        count = min(count + 1, INITIAL_SAMPLES)
        weight = SAMPLE_WEIGHT if count == INITIAL_SAMPLES else 1 / count
        self._work[route] = (count, mean + weight * (seconds - mean))

    def find_send_time(self, now: float, route: str, size: float) -> float:
        """Returns `now` if a request may be sent, or when to ask again.

        Args:
            now: The time.
            route: Name of the request's route.
            size: Expected bytes of its response.
        """
        if len(self._transfers) < self.places:
            return now
        work = self.estimate_work(route)
        duration = self.estimate_transfer(size)
        intervals = self._list_intervals(now)
        if self._is_free(now + work, duration, intervals):
            return now
        ends = sorted(end for _, end in intervals if end > now + work)
        for end in ends:
            if self._is_free(end, duration, intervals):
                return max(now + MIN_WAIT, end - work)
        return now + MIN_WAIT

    def open(self, now: float, route: str, size: float) -> Transfer:
        """Adds the response to a request that is sent now."""
        transfer = Transfer(
            share=self,
            route=route,
            sent_at=now,
            work=self.estimate_work(route),
            remaining=size,
        )
        self._transfers[transfer] = None
        return transfer

    def remove(self, transfer: Transfer) -> None:
        """Removes a response; see `Transfer.close`."""
        self._transfers.pop(transfer, None)

    def _list_intervals(self, now: float) -> list[tuple[float, float]]:
        """Returns when each open response is expected to use the link.

        Responses share the link's rate, so they end as if they used it in turn.
        """
        starts = []
        for transfer in self._transfers:
            starts.append((transfer.find_start(now), transfer.remaining))
        starts.sort()
        intervals = []
        free_at = now
        for start, remaining in starts:
            free_at = max(free_at, start) + self.estimate_transfer(remaining)
            intervals.append((start, free_at))
        return intervals

    def _is_free(
        self, start: float, duration: float, intervals: list[tuple[float, float]]
    ) -> bool:
        others = 0
        for other_start, other_end in intervals:
            if other_end <= start + TIME_TOLERANCE:
                continue
            others += other_start < start + duration
        return others < self.places

    # Writes to callers.

    def request_write(
        self, now: float, writer: object, size: int, *, left: float, objective: float
    ) -> float:
        """Returns `now` if a piece may be written, or when to ask again.

        Of the writers that wait, the one with the earliest objective is next. A writer
        that gives up must call `cancel_write`.

        Args:
            now: The time.
            writer: Identifies the response.
            size: Bytes of the piece, at most `piece_bytes`.
            left: Bytes of the response that are not written yet, with the piece.
            objective: Time until which the response meets its latency objective.
        """
        self._writers[writer] = objective
        if now < self._next_write:
            return self._next_write
        if objective > min(self._writers.values()):
            return now + MIN_WAIT
        del self._writers[writer]
        is_urgent = now + left / self._write_rate > objective
        rate = self._urgent_write_rate if is_urgent else self._write_rate
        # A timer that fires late does not reduce the rate.
        start = max(self._next_write, now - MIN_WAIT)
        self._next_write = start + size / rate
        return now

    def cancel_write(self, writer: object) -> None:
        """Removes a writer that waits; has no effect on others."""
        self._writers.pop(writer, None)


def build_link_share(mbps: float | None) -> LinkShare | None:
    """Returns how a link is shared, or None if its rate is unknown or high.

    Args:
        mbps: Rate of the link in Mbit/s, or None if it is unknown.
    """
    if mbps is None or mbps > MAX_LIMITED_MBPS:
        return None
    return LinkShare(mbps=mbps)
