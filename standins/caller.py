"""A caller that sends a mix of requests at a fixed rate and checks every answer.

Run it with `python -m standins.caller --address HOST:PORT --rate 100 --seconds 10`; it
prints a JSON summary. Requests start on schedule whether or not earlier ones have
been answered, so that a slow router does not lower the load.
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

MAX_BODY = 2_048  # bytes of a reservation's or payment's body
CONNECTIONS = 130
MAX_WRONG = 20  # descriptions of wrong answers kept
NOT_RUN = "not run"  # what a refusal's field `ran` says
UNKNOWN_CODES = frozenset({"outcome-unknown", "in-progress"})


class Operation(Enum):
    """Kinds of requests, by their path."""

    LOOKUP = "lookup"
    RESERVATION = "reservation"
    PAYMENT = "payment"
    LARGE = "large"


@dataclass(frozen=True, kw_only=True)
class CallerSettings:
    """What a caller sends.

    Attributes:
        addresses: Entry addresses, used in turn.
        rate: Requests per second.
        seconds: Length of the run.
        seed: Seed of the mix.
        keys: Number of routing keys.
        shares: Shares of look-ups, reservations, payments and large answers.
        workspace_key: Key to present, or an empty string.
        timeout: Seconds until an answer is given up.
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
    """One planned request."""

    call: str
    at: float
    operation: Operation
    key: str
    body: bytes


@dataclass(kw_only=True)
class Summary:
    """What came of all requests; latencies are in milliseconds.

    Attributes:
        refused: Answers that say "not run", by code.
        unknown: Requests of which nobody knows whether they ran, by reason.
        wrong: Answers that are not the whole answer to their own request.
        late_starts: Requests that started over 10 ms after their time.
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

    def count_wrong(self, call: Call, what: str) -> None:
        """Counts a wrong answer and describes the first ones."""
        self.wrong_count += 1
        if len(self.wrong) < MAX_WRONG:
            self.wrong.append(f"{call.call}: {what}")


def plan_calls(settings: CallerSettings) -> list[Call]:
    """Returns the requests of a run; the same settings give the same requests."""
    chosen = random.Random(settings.seed)
    calls = []
    for number in range(int(settings.rate * settings.seconds)):
        operation = chosen.choices(list(Operation), settings.shares)[0]
        body = b""
        if operation in (Operation.RESERVATION, Operation.PAYMENT):
            body = chosen.randbytes(chosen.randint(1, MAX_BODY))
        calls.append(
            Call(
                call=f"{settings.seed}-{number}",
                at=number / settings.rate,
                operation=operation,
                key=f"k{chosen.randrange(settings.keys)}",
                body=body,
            )
        )
    return calls


def find_fault(call: Call, headers, body: bytes) -> str | None:
    """Returns what is wrong with a successful answer, or None."""
    if headers.get("X-Call-Id") != call.call:
        return "the answer belongs to another call"
    if headers.get("X-Key") != call.key:
        return "the answer is about another key"
    if headers.get("X-Body-Digest") != hashlib.sha256(body).hexdigest():
        return f"the digest of the body's {len(body)} bytes differs"
    if call.operation is Operation.LARGE:
        return None
    document = json.loads(body)
    if (document["call"], document["key"]) != (call.call, call.key):
        return "the body belongs to another call"
    if document["body_digest"] != hashlib.sha256(call.body).hexdigest():
        return "the server received another body"
    return None


def build_trace() -> aiohttp.TraceConfig:
    """Returns a trace that adds to a request's list each time its head is sent."""

    async def note(session, context, parameters) -> None:
        context.trace_request_ctx.append(True)

    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(note)
    return trace


class Caller:
    """Sends the planned requests.

    Args:
        settings: What to send.
    """

    def __init__(self, *, settings: CallerSettings):
        self.settings = settings
        self.summary = Summary()
        self.successes: list[Call] = []
        self.not_run: list[Call] = []
        self.started: dict[str, float] = {}
        self._is_stopped = False
        self._latencies: list[float] = []

    async def run(self) -> Summary:
        """Sends everything, waits for all answers and returns the summary."""
        timeout = aiohttp.ClientTimeout(total=self.settings.timeout)
        connector = aiohttp.TCPConnector(limit=CONNECTIONS)
        async with aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            cookie_jar=aiohttp.DummyCookieJar(),
            trace_configs=[build_trace()],
        ) as session:
            begun = time.monotonic()
            async with asyncio.TaskGroup() as group:
                for call in plan_calls(self.settings):
                    await asyncio.sleep(begun + call.at - time.monotonic())
                    if self._is_stopped:
                        break
                    if time.monotonic() - begun - call.at > 0.010:
                        self.summary.late_starts += 1
                    group.create_task(self._send(session, call))
        if self._latencies:
            cuts = statistics.quantiles(self._latencies * 2, n=100, method="inclusive")
            self.summary.p50_ms = round(cuts[49] * 1000, 3)
            self.summary.p99_ms = round(cuts[98] * 1000, 3)
        return self.summary

    def stop(self) -> None:
        """Starts no further request; may be called from another thread."""
        self._is_stopped = True

    async def _send(self, session: aiohttp.ClientSession, call: Call) -> None:
        address = self.settings.addresses[
            self.summary.sent % len(self.settings.addresses)
        ]
        self.summary.sent += 1
        headers = {"X-Call-Id": call.call}
        if self.settings.workspace_key:
            headers["X-Workspace-Key"] = self.settings.workspace_key
        if call.operation is Operation.PAYMENT:
            headers["Idempotency-Key"] = call.call
        begun = time.monotonic()
        self.started[call.call] = begun
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
                # The library repeats a GET by itself after a kept connection was lost.
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
        fault = find_fault(call, response.headers, body)
        if fault is not None:
            self.summary.count_wrong(call, fault)
            return
        self._latencies.append(time.monotonic() - begun)
        self.summary.ok += 1
        self.successes.append(call)

    def _count_refusal(
        self, call: Call, response: aiohttp.ClientResponse, body: bytes
    ) -> None:
        try:
            document = json.loads(body)
            code = document["code"]
            not_run = document.get("ran", NOT_RUN) == NOT_RUN
        except (ValueError, KeyError, TypeError):
            code = f"http-{response.status}"
            headers = response.headers
            not_run = "1" in (headers.get("X-Not-Run"), headers.get("X-Fenced"))
        if not_run and code not in UNKNOWN_CODES:
            self._count_not_run(call, code)
            return
        self.summary.unknown[code] += 1

    def _count_not_run(self, call: Call, code: str) -> None:
        self.summary.refused[code] += 1
        self.not_run.append(call)


def main(
    *,
    address: Annotated[list[str], cyclopts.Parameter(negative=())],
    rate: float = 100.0,
    seconds: float = 5.0,
    seed: int = 1,
    keys: int = 1000,
    workspace_key: str = "",
) -> None:
    """Sends look-ups, reservations and payments, and prints a JSON summary.

    Args:
        address: Address of an entry; may be given more than once.
        rate: Requests per second.
        seconds: Length of the run.
        seed: Seed of the mix.
        keys: Number of routing keys.
        workspace_key: Key to present.
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
