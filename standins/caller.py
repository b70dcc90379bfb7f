"""Load generator that sends requests at a fixed rate and verifies every answer.

Run it with `python -m standins.caller --address HOST:PORT --rate 100 --seconds 10`; it
prints a JSON summary. The load is open-loop: requests start on schedule whether or not
earlier ones were answered, so that a slow router does not reduce it.
"""

import asyncio
import hashlib
import json
import random
import statistics
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from enum import Enum
from typing import Annotated

import aiohttp
import cyclopts

MAX_BODY_SIZE = 2_048  # bytes; limit for the body of a reservation or payment
MAX_CONNECTIONS = 130
MAX_WRONG_DESCRIPTIONS = 20  # later wrong answers are only counted
NOT_RUN = "not run"  # value of a refusal's field `ran`
UNKNOWN_OUTCOME_CODES = frozenset({"outcome-unknown", "in-progress"})


class Operation(Enum):
    """Kinds of requests; the values are the first segments of their paths."""

    LOOKUP = "lookup"
    RESERVATION = "reservation"
    PAYMENT = "payment"
    LARGE = "large"


@dataclass(frozen=True, kw_only=True)
class CallerSettings:
    """Settings of a caller.

    Attributes:
        addresses: Entry addresses, used round-robin.
        rate: Requests per second.
        seconds: Length of the run.
        seed: Seed of the random requests.
        keys: Number of routing keys.
        shares: Relative weights of look-ups, reservations, payments and large answers.
        workspace_key: Workspace key to present, or an empty string for none.
        timeout: Seconds after which a request is abandoned.
    """

    addresses: Sequence[str]
    rate: float
    seconds: float
    seed: int = 1
    keys: int = 1000
    shares: Sequence[float] = (0.7, 0.2, 0.1, 0.0)
    workspace_key: str = ""
    timeout: float = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One planned request.

    Attributes:
        at: Seconds from the start of the run.
    """

    call_id: str
    at: float
    operation: Operation
    key: str
    body: bytes


@dataclass(kw_only=True)
class Summary:
    """Outcomes of all requests.

    Attributes:
        refused: Numbers of requests that were certainly not run, by code.
        unknown: Numbers of requests that may have run, by reason.
        wrong: Descriptions of the first answers that did not match their request.
        wrong_count: Number of all such answers.
        late_starts: Requests that started more than 10 ms late.
    """

    sent: int = 0
    ok: int = 0
    refused: Counter = field(default_factory=Counter)
    unknown: Counter = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)
    wrong_count: int = 0
    late_starts: int = 0
    p50_ms: float = 0.0
    p99_ms: float = 0.0

    def count_wrong(self, call: Call, description: str) -> None:
        """Counts a wrong answer and keeps the first descriptions."""
        self.wrong_count += 1
        if len(self.wrong) < MAX_WRONG_DESCRIPTIONS:
            self.wrong.append(f"{call.call_id}: {description}")


def plan_calls(settings: CallerSettings) -> list[Call]:
    """Returns the requests of a run, which the settings determine completely."""
    rng = random.Random(settings.seed)
    calls = []
    for number in range(int(settings.rate * settings.seconds)):
        operation = rng.choices(list(Operation), settings.shares)[0]
        body = b""
        if operation in (Operation.RESERVATION, Operation.PAYMENT):
            body = rng.randbytes(rng.randint(1, MAX_BODY_SIZE))
        calls.append(
            Call(
                call_id=f"{settings.seed}-{number}",
                at=number / settings.rate,
                operation=operation,
                key=f"k{rng.randrange(settings.keys)}",
                body=body,
            )
        )
    return calls


def find_mismatch(call: Call, headers, body: bytes) -> str | None:
    """Returns how a successful answer differs from the expected one, or None."""
    if headers.get("X-Call-Id") != call.call_id:
        return "X-Call-Id is that of another call"
    if headers.get("X-Key") != call.key:
        return "X-Key is another key"
    if headers.get("X-Body-Digest") != hashlib.sha256(body).hexdigest():
        return f"X-Body-Digest does not match the body of {len(body)} bytes"
    if call.operation is Operation.LARGE:
        return None
    document = json.loads(body)
    if (document["call"], document["key"]) != (call.call_id, call.key):
        return "the body names another call or key"
    if document["body_digest"] != hashlib.sha256(call.body).hexdigest():
        return "the server received a different request body"
    return None


def build_trace_config() -> aiohttp.TraceConfig:
    """Returns a trace that adds an item to a request's list when headers are sent."""

    async def record(session, context, parameters) -> None:
        context.trace_request_ctx.append(True)

    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(record)
    return trace


class Caller:
    """Sends the planned requests.

    Args:
        settings: Requests, addresses and time-outs.

    Attributes:
        successes: Calls with a verified answer.
        not_executed: Calls that were certainly not run.
        started: Start of each call on the monotonic clock, by id.
    """

    def __init__(self, *, settings: CallerSettings):
        self.settings = settings
        self.summary = Summary()
        self.successes: list[Call] = []
        self.not_executed: list[Call] = []
        self.started: dict[str, float] = {}
        self._is_stopped = False
        self._latencies: list[float] = []

    async def run(self) -> Summary:
        """Sends all requests, waits for the answers and returns the summary."""
        timeout = aiohttp.ClientTimeout(total=self.settings.timeout)
        connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
        async with aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            cookie_jar=aiohttp.DummyCookieJar(),
            trace_configs=[build_trace_config()],
        ) as session:
            started_at = time.monotonic()
            async with asyncio.TaskGroup() as group:
                for call in plan_calls(self.settings):
                    await asyncio.sleep(started_at + call.at - time.monotonic())
                    if self._is_stopped:
                        break
                    if time.monotonic() - started_at - call.at > 0.010:
                        self.summary.late_starts += 1
                    group.create_task(self._send(session, call))
        if self._latencies:
            cuts = statistics.quantiles(self._latencies * 2, n=100, method="inclusive")
            self.summary.p50_ms = round(cuts[49] * 1000, 3)
            self.summary.p99_ms = round(cuts[98] * 1000, 3)
        return self.summary

    def stop(self) -> None:
        """Prevents further requests; may be called from another thread."""
        self._is_stopped = True

    async def _send(self, session: aiohttp.ClientSession, call: Call) -> None:
        address = self.settings.addresses[
            self.summary.sent % len(self.settings.addresses)
        ]
        self.summary.sent += 1
        headers = {"X-Call-Id": call.call_id}
        if self.settings.workspace_key:
            headers["X-Workspace-Key"] = self.settings.workspace_key
        if call.operation is Operation.PAYMENT:
            headers["Idempotency-Key"] = call.call_id
        started_at = time.monotonic()
        self.started[call.call_id] = started_at
        sent: list[bool] = []
        try:
            async with session.request(
                "POST" if call.body else "GET",
                f"http://{address}/{call.operation.value}/{call.key}",
                headers=headers,
                data=call.body or None,
                trace_request_ctx=sent,
            ) as response:
                body = await response.read()
        except aiohttp.ClientConnectorError:
            if sent:
                # aiohttp sent it on a reused connection, then failed to reconnect.
                self.summary.unknown["connection-lost"] += 1
                return
            self._count_not_run(call, "no-connection")
            return
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.summary.unknown[type(error).__name__] += 1
            return
        if response.status != 200:
            self._count_refusal(call, response, body)
            return
        mismatch = find_mismatch(call, response.headers, body)
        if mismatch is not None:
            self.summary.count_wrong(call, mismatch)
            return
        self._latencies.append(time.monotonic() - started_at)
        self.summary.ok += 1
        self.successes.append(call)

    def _count_refusal(
        self, call: Call, response: aiohttp.ClientResponse, body: bytes
    ) -> None:
        try:
            document = json.loads(body)
            code = document["code"]
            not_executed = document.get("ran", NOT_RUN) == NOT_RUN
        except (ValueError, KeyError, TypeError):
            code = f"http-{response.status}"
            headers = response.headers
            not_executed = "1" in (headers.get("X-Not-Run"), headers.get("X-Fenced"))
        if not_executed and code not in UNKNOWN_OUTCOME_CODES:
            self._count_not_run(call, code)
            return
        self.summary.unknown[code] += 1

    def _count_not_run(self, call: Call, code: str) -> None:
        self.summary.refused[code] += 1
        self.not_executed.append(call)


def main(
    *,
    address: Annotated[list[str], cyclopts.Parameter(negative=())],
    rate: float = 100.0,
    seconds: float = 5.0,
    seed: int = 1,
    keys: int = 1000,
    workspace_key: str = "",
) -> None:
    """Sends look-ups, reservations and payments and prints a JSON summary.

    Args:
        address: Address of an entry; may be repeated.
        rate: Requests per second.
        seconds: Length of the run.
        seed: Seed of the random requests.
        keys: Number of routing keys.
        workspace_key: Workspace key to present.
    """
    settings = CallerSettings(
        addresses=address,
        rate=rate,
        seconds=seconds,
        seed=seed,
        keys=keys,
        workspace_key=workspace_key,
    )
    summary = asyncio.run(Caller(settings=settings).run())
    print(json.dumps(asdict(summary)))


if __name__ == "__main__":
    cyclopts.run(main)
