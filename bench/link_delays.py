"""Benchmark of small and large responses on one host's link, in virtual time.

`python -m bench.link_delays` prints a table. The decisions are the router's; link,
servers and callers are models. The load is that of deployment A
(docs/design/heavy-load.md, section 2), with small responses in both directions. Each
direction of the link sends in order of arrival, and each response has at most a
transmission window in each direction.
"""

import math
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

import cyclopts

from monsoonlug.link_share import BYTES_PER_MEGABIT, LinkShare
from monsoonlug.memory_budget import MemoryBudget
from monsoonlug.response_room import (
    ExpectedResponse,
    ResponseRoom,
    RoomRequest,
    find_latest,
)
from monsoonlug.response_sizes import ResponseSizes

BUDGET = 44 * 1_048_576  # bytes; of a host with 160 MB
LINK_RATES = (3.7, 12)  # Mbit/s
LOADS = (1, 2)  # multiples of the rate of section 2
SEEDS = range(4)
ROUTE = "files"
STEP = 0.002  # seconds
WINDOW = 65_536  # bytes
RATE = 77 / 83  # requests per second and host
MEAN = 90_000  # bytes
MAXIMUM = 540_000  # bytes
SPREAD = 0.8  # standard deviation of the logarithm of the size
WORK = 0.230  # seconds
OBJECTIVE = 2.3  # seconds
DEADLINE = 4.6  # seconds
DURATION = 170.0  # seconds; ten waves
SMALL_RATE = 934 / 83  # small responses per second and host, in each direction
SMALL_SIZE = 5_000  # bytes


class Direction:
    """One direction of a link.

    Args:
        rate: Bytes per second.
    """

    def __init__(self, *, rate: float):
        self._step_bytes = rate * STEP
        self._rate = rate
        self._queue = deque()
        self.queued = 0.0

    @property
    def delay(self) -> float:
        """Seconds that a small message would wait now."""
        return self.queued / self._rate

    def push(self, response: "Response | None", size: float) -> None:
        """Adds bytes of a large response, or of a small one."""
        self._queue.append([response, size])
        self.queued += size

    def run(self) -> "Iterator[tuple[Response, float]]":
        """Yields the large responses and bytes that leave the link in one step."""
        free = self._step_bytes
        while self._queue and free > 0:
            response, size = self._queue[0]
            sent = min(size, free)
            free -= sent
            self.queued -= sent
            self._queue[0][1] -= sent
            if sent == size:
                self._queue.popleft()
            if response is not None:
                yield response, sent


@dataclass(eq=False)
class Response:
    """A request and its response; times in seconds, sizes in bytes."""

    arrived_at: float
    size: float
    work: float
    head_at: float = math.inf
    expected: ExpectedResponse | None = None
    unsent: float = 0.0
    on_link: float = 0.0
    read: float = 0.0
    passed: float = 0.0
    to_caller: float = 0.0
    done: float = 0.0
    piece: float = 0.0
    write_at: float = 0.0


@dataclass
class Result:
    """Counts of one run, and the delays of small messages, in seconds."""

    in_time: int = 0
    late: int = 0
    refused: int = 0
    unfinished: int = 0
    delays_in: list[float] = field(default_factory=list)
    delays_out: list[float] = field(default_factory=list)

    @property
    def in_time_share(self) -> float:
        """Share of the large responses that met their objective."""
        total = self.in_time + self.late + self.refused + self.unfinished
        return self.in_time / total


@dataclass(frozen=True, slots=True, kw_only=True)
class Summary:
    """Measures of several runs.

    Attributes:
        in_time: Share of the large responses that met their objective.
        refused: Number of requests that were refused.
        delay_in: 99th percentile of the wait of small messages to the host, in seconds.
        delay_out: The same for messages from it.
    """

    in_time: float
    refused: int
    delay_in: float
    delay_out: float


def find_quantile(values: list[float], share: float) -> float:
    """Returns a quantile of unsorted values."""
    return sorted(values)[int(share * (len(values) - 1))]


class Simulation:
    """One host that receives requests with large responses.

    Args:
        mbps: Rate of its link.
        shared: Whether `LinkShare` decides; otherwise memory alone does.
        seed: Seed of the random source.
        load: Multiple of the rate of section 2.
        hanging: Share of the requests whose servers never respond.
    """

    def __init__(
        self,
        *,
        mbps: float,
        shared: bool,
        seed: int,
        load: float = 1.0,
        hanging: float = 0.0,
    ):
        self._random = Random(seed)
        self._load, self._hanging = load, hanging
        self.now = 0.0
        rate = mbps * BYTES_PER_MEGABIT
        self._incoming, self._outgoing = Direction(rate=rate), Direction(rate=rate)
        self._link = LinkShare(mbps=mbps) if shared else None
        sizes = ResponseSizes()
        sizes.record(ROUTE, MEAN)
        self._room = ResponseRoom(
            budget=MemoryBudget(limit=BUDGET),
            sizes=sizes,
            link=self._link,
            read_clock=lambda: self.now,
        )
        self._sent: list[Response] = []
        self.result = Result()

    def run(self) -> Result:
        """Runs the simulation to its end."""
        while self.now < DURATION:
            self.now += STEP
            self._add_request()
            for request, _ in self._room.expire(self.now):
                assert self.now <= request.deadline
                self.result.refused += 1
            for request, expected in self._room.admit():
                self._send(request.payload, expected)
            for response in self._sent:
                self._serve(response)
                self._write(response)
            self._move()
            if self._random.random() < STEP * SMALL_RATE:
                self._incoming.push(None, SMALL_SIZE)
                self._outgoing.push(None, SMALL_SIZE)
            self.result.delays_in.append(self._incoming.delay)
            self.result.delays_out.append(self._outgoing.delay)
        self.result.unfinished = self._room.waiting + len(self._sent)
        return self.result

    def _add_request(self) -> None:
        random = self._random
        wave = 1 + 0.55 * math.sin(2 * math.pi * self.now / 17)
        if random.random() >= STEP * RATE * self._load * wave:
            return
        size = random.lognormvariate(math.log(MEAN) - SPREAD**2 / 2, SPREAD)
        speed = random.uniform(0.5, 1.7)
        slowdown = 3.0 if random.random() < 0.2 else 1.0
        response = Response(
            arrived_at=self.now,
            size=min(MAXIMUM, size),
            work=WORK * slowdown / speed * random.lognormvariate(-0.045, 0.3),
        )
        if random.random() < self._hanging:
            response.work = math.inf
        request = RoomRequest(
            request_id=f"r{self.now}",
            route=ROUTE,
            latest=find_latest(
                self.now,
                objective=self.now + OBJECTIVE,
                deadline=self.now + DEADLINE,
            ),
            payload=response,
            objective=self.now + OBJECTIVE,
            deadline=self.now + DEADLINE,
        )
        self.result.refused += self._room.enqueue(request) is not None

    def _send(self, response: Response, expected: ExpectedResponse) -> None:
        response.expected = expected
        response.head_at = self.now + response.work
        self._sent.append(response)

    def _serve(self, response: Response) -> None:
        if self.now < response.head_at:
            return
        if not response.read and not response.on_link and not response.unsent:
            response.unsent = response.size
            response.expected.set_expected(response.size)
            response.expected.record_head()
        size = min(response.unsent, WINDOW - response.on_link)
        if size > 0:
            response.unsent -= size
            response.on_link += size
            self._incoming.push(response, size)

    def _write(self, response: Response) -> None:
        limit = self._link.piece_bytes if self._link else WINDOW
        while True:
            if not response.piece:
                piece = min(limit, response.read - response.passed)
                is_end = response.read >= response.size - 1
                if piece < 1 or (piece < limit and not is_end):
                    return
                if response.to_caller + piece > WINDOW:
                    return
                response.piece = piece
            if not self._may_write(response):
                return
            response.passed += response.piece
            response.to_caller += response.piece
            self._outgoing.push(response, response.piece)
            response.piece = 0.0

    def _may_write(self, response: Response) -> bool:
        if self._link is None:
            return True
        if self.now < response.write_at:
            return False
        response.write_at = self._link.request_write(
            self.now,
            id(response),
            response.piece,
            left=response.size - response.passed,
            objective=response.arrived_at + OBJECTIVE,
        )
        return response.write_at <= self.now

    def _move(self) -> None:
        for response, size in self._incoming.run():
            response.on_link -= size
            response.read += size
            response.expected.record_read(size)
            if response.read >= response.size - 1:
                response.expected.record_end()
        for response, size in self._outgoing.run():
            response.to_caller -= size
            response.done += size
        for response in list(self._sent):
            elapsed = self.now - response.arrived_at
            is_done = response.done >= response.size - 1
            if not is_done and elapsed < DEADLINE + 1.0:
                continue
            self._sent.remove(response)
            if self._link is not None:
                self._link.cancel_write(id(response))
            response.expected.close()
            is_in_time = is_done and elapsed <= OBJECTIVE
            self.result.in_time += is_in_time
            self.result.late += not is_in_time


def measure(
    *, mbps: float, shared: bool, load: float = 1.0, hanging: float = 0.0
) -> Summary:
    """Returns the measures of one run for each seed; see `Simulation`."""
    results = []
    for seed in SEEDS:
        simulation = Simulation(
            mbps=mbps, shared=shared, seed=seed, load=load, hanging=hanging
        )
        results.append(simulation.run())
    delays_in: list[float] = []
    delays_out: list[float] = []
    for result in results:
        delays_in += result.delays_in
        delays_out += result.delays_out
    return Summary(
        in_time=sum(result.in_time_share for result in results) / len(results),
        refused=sum(result.refused for result in results),
        delay_in=find_quantile(delays_in, 0.99),
        delay_out=find_quantile(delays_out, 0.99),
    )


def run() -> None:
    """Prints the table."""
    print(
        "| link (Mbit/s) | load | decision | in time | refused "
        "| wait of messages in, p99 (ms) | out, p99 (ms) |"
    )
    print("|---|---|---|---|---|---|---|")
    for mbps in LINK_RATES:
        for load in LOADS:
            for shared in (False, True):
                summary = measure(mbps=mbps, shared=shared, load=load)
                cells = (
                    f"{mbps:g}",
                    f"{load:g}",
                    "shared" if shared else "all at once",
                    f"{summary.in_time:.3f}",
                    f"{summary.refused}",
                    f"{1000 * summary.delay_in:.0f}",
                    f"{1000 * summary.delay_out:.0f}",
                )
                print(f"| {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    cyclopts.run(run)
