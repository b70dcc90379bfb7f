"""Reads large responses at once and passes them on as fast as their callers read."""

import asyncio
from collections import deque
from collections.abc import Callable

from monsoonlug.backend import BackendResponse
from monsoonlug.exceptions import OutcomeUnknown, StreamClosed
from monsoonlug.exchanges import WINDOW_BYTES
from monsoonlug.jobs import Job, ResponseObserver, ResponseReader
from monsoonlug.link_share import LinkShare
from monsoonlug.logs import get_logger
from monsoonlug.memory_budget import MemoryBudget
from monsoonlug.response_room import ExpectedResponse, ResponseRoom
from monsoonlug.response_sizes import ResponseSizes, find_length, is_counted

# Flow-control window of a large response; what a caller does not read stays at the gate
# rather than at the caller's host. 64 KiB in 10 ms are more than 50 Mbit/s.
LARGE_WINDOW_BYTES = 65_536
LARGE_CHUNK_BYTES = 16_384  # small responses wait at most for such chunks
ROOM_POLL_INTERVAL = 0.050  # seconds until the budget is asked again
# Seconds that one byte of a large response occupies a link of 2 Mbit/s.
LINK_SECONDS_PER_BYTE = 4e-6
MAX_LINK_DELAY = 0.75  # seconds; checks of servers must still fail within about 1 s
RELAY_GRACE = 1.0  # seconds after the deadline at which a held response is dropped

logger = get_logger("gate")


class ResponseRelay(ResponseReader):
    """Holds what was read of one response until the caller's host has taken it.

    Args:
        job: The request.
        expected: Its part of the gate's room.
        budget: Memory budget of the process.
        timeout: Seconds after which it is dropped.
        on_end: Called when nothing is held any more.
    """

    def __init__(
        self,
        *,
        job: Job,
        expected: ExpectedResponse,
        budget: MemoryBudget,
        timeout: float,
        on_end: Callable[["ResponseRelay"], None],
    ):
        self.job = job
        self._expected = expected
        self._holding = budget.open(evict=self._evict)
        self._timeout = timeout
        self._on_end = on_end
        self._parts: deque[bytes] = deque()
        self._held = 0
        self.is_complete = False
        self._is_evicted = False
        self._changed = asyncio.Event()
        self._writer: asyncio.Task | None = None
        self.total = 0

    @property
    def task(self) -> asyncio.Task | None:
        """The task that passes the response on."""
        return self._writer

    async def read(self, response: BackendResponse) -> None:
        """Reads the response; a task of its own passes it on."""
        self.job.limit_window(WINDOW_BYTES - LARGE_WINDOW_BYTES)
        self._writer = asyncio.create_task(self._write())
        # A task that is cancelled before it starts does not run any code of its own.
        self._writer.add_done_callback(lambda _: self._release())
        try:
            async for part in response.iterate():
                self.total += len(part)
                await self._append(part)
            self._check_running()
        except BaseException:
            self._writer.cancel()
            raise
        self._expected.record_end()
        self.is_complete = True
        self._changed.set()

    async def _append(self, part: bytes) -> None:
        # With nothing held, one part is taken in any case, so that each response makes
        # progress. The server's slots bound the number of these parts.
        while not self._holding.resize(self._held + len(part)):
            self._check_running()
            if not self._held:
                break
            # The server is read no further until the caller has read some more.
            self._changed.clear()
            try:
                async with asyncio.timeout(ROOM_POLL_INTERVAL):
                    await self._changed.wait()
            except TimeoutError:
                continue
        self._check_running()
        self._held += len(part)
        self._expected.record_read(len(part))
        self._parts.append(part)
        self._changed.set()

    def _check_running(self) -> None:
        if self._is_evicted:
            raise OutcomeUnknown("the response was dropped, as memory was short")
        if self._writer.done():
            raise StreamClosed()

    async def _write(self) -> None:
        try:
            async with asyncio.timeout(self._timeout):
                await self._write_parts()
        except StreamClosed:
            logger.debug("The caller of {} left.", self.job.head.request)
        except TimeoutError:
            logger.bind(request=self.job.head.request).info(
                "Dropped {} bytes of a response after its deadline.", self._held
            )

    async def _write_parts(self) -> None:
        while True:
            if self._parts:
                await self._write_part(self._parts.popleft())
                continue
            if self.is_complete:
                break
            self._changed.clear()
            await self._changed.wait()
        await self.job.send_part(b"", last=True)

    async def _write_part(self, part: bytes) -> None:
        for start in range(0, len(part), LARGE_CHUNK_BYTES):
            piece = part[start : start + LARGE_CHUNK_BYTES]
            await self.job.peer.drain()
            await self.job.send_part(piece)
            self._held -= len(piece)
            self._holding.resize(self._held)
            self._expected.record_passed(len(piece))
            self._changed.set()

    def _evict(self) -> None:
        self._is_evicted = True
        held = self._held
        if self._writer is not None:
            self._writer.cancel()
        self._parts.clear()
        logger.bind(request=self.job.head.request).warning(
            "Dropped {} bytes of a response, as memory was short.", held
        )
        if self.is_complete:
            # Nobody reads the server any more, so nobody else reports the end.
            self.job.fail(OutcomeUnknown("the response was dropped for memory"))

    def _release(self) -> None:
        self._parts.clear()
        self._held = 0
        self._holding.close()
        self._expected.close()
        if self.is_complete:
            self.job.close()
        self._changed.set()
        self._on_end(self)


class LargeResponses(ResponseObserver):
    """The large responses of one gate host, and the requests that wait for room.

    Args:
        clock: Monotonic clock, in seconds.
        budget: Memory budget of the process.
        sizes: Response sizes of the routes, which it also records.
        on_room: Called when there may be room for further responses.
        link: Shares the host's link, or None if it is not limited.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        budget: MemoryBudget,
        sizes: ResponseSizes,
        on_room: Callable[[], None],
        link: LinkShare | None = None,
    ):
        self._clock = clock
        self._budget = budget
        self._sizes = sizes
        self._on_room = on_room
        self._relays: dict[Job, ResponseRelay] = {}
        self.room = ResponseRoom(
            budget=budget, sizes=sizes, link=link, read_clock=clock
        )

    @property
    def tasks(self) -> list[asyncio.Task]:
        """The tasks that pass on responses."""
        relays = self._relays.values()
        return [relay.task for relay in relays if relay.task is not None]

    def is_large(self, route: str) -> bool:
        """Returns whether the responses of a route are large."""
        return self._sizes.is_large(route)

    def estimate_link_delay(self) -> float:
        """Returns the seconds for which large responses may occupy this host's link.

        The packets of a new connection wait behind them. Without this time, a server
        is taken for unreachable because this host's own link is full.
        """
        return min(MAX_LINK_DELAY, LINK_SECONDS_PER_BYTE * self.room.needed)

    def has_taken_over(self, job: Job) -> bool:
        """Returns whether a response is passed on after its server is done."""
        relay = self._relays.get(job)
        return relay is not None and relay.is_complete

    def begin(
        self, job: Job, response: BackendResponse, body: bytes | None
    ) -> ResponseRelay | None:
        """Records a response's size; returns its relay if its route's are large."""
        route = job.head.route
        length = len(body) if body is not None else find_length(response.headers)
        if length is not None:
            self._record(job, response, length)
        if body is not None or not self._sizes.is_large(route):
            return None
        if job.expected is None:
            # The request was sent before the route was known to have large responses.
            job.expected = self.room.open(route)
        job.expected.record_head()
        if length is not None:
            job.expected.set_expected(length)
        relay = ResponseRelay(
            job=job,
            expected=job.expected,
            budget=self._budget,
            timeout=job.deadline - self._clock() + RELAY_GRACE,
            on_end=self._end,
        )
        self._relays[job] = relay
        return relay

    def end(self, job: Job, response: BackendResponse, total: int) -> None:
        """Records the size of a response that declared none."""
        if find_length(response.headers) is None:
            self._record(job, response, total)

    def _record(self, job: Job, response: BackendResponse, size: int) -> None:
        if is_counted(job.head.method, response.status):
            self._sizes.record(job.head.route, size)

    def _end(self, relay: ResponseRelay) -> None:
        self._relays.pop(relay.job, None)
        self._on_room()
