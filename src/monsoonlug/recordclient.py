"""Client for the primaries of the idempotency record shards."""

import asyncio
import hashlib
from collections.abc import Callable

from monsoonlug.admission import AdmittedRequest
from monsoonlug.idempotency import BeginResult, Verdict, build_refusal
from monsoonlug.ids import HostId, Ran, RequestId
from monsoonlug.record_messages import RecordBegin, RecordBeginResult, RecordFinish
from monsoonlug.records import (
    RecordKey,
    StoredAnswer,
    find_shard,
    pack_answer,
    unpack_answer,
)
from monsoonlug.view import View

AVAILABILITY_TIMEOUT = 1.5  # seconds; a failed primary is replaced within 1 s
RETRY_DELAY = 0.025  # seconds until the next attempt
ATTEMPT_TIMEOUT = 0.300  # seconds until an attempt without an answer is repeated


class RecordClient:
    """Checks with the primaries of record shards whether requests of callers may run.

    Args:
        clock: Monotonic clock, in seconds.
        send: Sends a message to a host; returns False if it cannot be reached.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        send: Callable[[HostId, object], bool],
    ):
        self._clock = clock
        self._send = send
        self._view = View()
        self._futures: dict[RequestId, asyncio.Future] = {}
        self._queried_hosts: dict[RequestId, HostId] = {}

    def update(self, view: View) -> None:
        """Sets the view from which primaries are looked up."""
        self._view = view

    async def begin(
        self,
        admitted: AdmittedRequest,
        request_id: RequestId,
        body: bytes,
        deadline: float,
    ) -> StoredAnswer | None:
        """Waits until a request may run.

        Args:
            admitted: The request, which has an idempotency key.
            request_id: Id of the request.
            body: Body of the request, or empty if the body is streamed.
            deadline: Seconds of the monotonic clock.

        Returns:
            None if the request may run now, or the stored answer of an earlier request
            with the same key.

        Raises:
            MonsoonlugError: If the request may not run.
        """
        fingerprint = _compute_fingerprint(admitted, body)
        until = min(deadline, self._clock() + AVAILABILITY_TIMEOUT)
        while True:
            result = await self._query_primary(
                admitted, request_id, fingerprint, deadline
            )
            if result.verdict is not Verdict.UNAVAILABLE or self._clock() >= until:
                break
            await asyncio.sleep(RETRY_DELAY)
        if result.verdict is Verdict.FIRST:
            return None
        if result.verdict is Verdict.UNAVAILABLE:
            # A primary may still hold a record of this request, which must be removed.
            self.finish(admitted, request_id, Ran.NOT_RUN, None)
        refusal = build_refusal(result)
        if refusal is not None:
            raise refusal.build_error()
        return result.answer

    async def _query_primary(
        self,
        admitted: AdmittedRequest,
        request_id: RequestId,
        fingerprint: str,
        deadline: float,
    ) -> BeginResult:
        key = RecordKey(workspace=admitted.workspace, key=admitted.idempotency_key)
        shard = find_shard(key)
        remaining = deadline - self._clock()
        message = RecordBegin(
            shard=shard,
            workspace=key.workspace,
            key=key.key,
            request=request_id,
            fingerprint=fingerprint,
            remaining=remaining,
        )
        primary = self._find_primary(shard)
        if not self._send(primary, message):
            return BeginResult(verdict=Verdict.UNAVAILABLE)
        future = asyncio.get_running_loop().create_future()
        self._futures[request_id] = future
        self._queried_hosts[request_id] = primary
        try:
            return await asyncio.wait_for(future, min(remaining, ATTEMPT_TIMEOUT))
        except TimeoutError:
            return BeginResult(verdict=Verdict.UNAVAILABLE)
        except asyncio.CancelledError:
            self.finish(admitted, request_id, Ran.NOT_RUN, None)
            raise
        finally:
            del self._futures[request_id]
            del self._queried_hosts[request_id]

    def finish(
        self,
        admitted: AdmittedRequest,
        request_id: RequestId,
        ran: Ran,
        answer: StoredAnswer | None,
    ) -> None:
        """Reports the outcome to the primary; without a report it counts as unknown."""
        key = RecordKey(workspace=admitted.workspace, key=admitted.idempotency_key)
        shard = find_shard(key)
        message = RecordFinish(
            shard=shard,
            workspace=key.workspace,
            key=key.key,
            request=request_id,
            ran=ran.value,
            answer=pack_answer(answer),
        )
        self._send(self._find_primary(shard), message)

    def receive(self, message: RecordBeginResult) -> None:
        """Delivers the answer of a primary to the waiting request."""
        future = self._futures.get(RequestId(message.request))
        if future is None or future.done():
            return
        result = BeginResult(
            verdict=Verdict(message.verdict), answer=unpack_answer(message.answer)
        )
        future.set_result(result)

    def fail_host(self, host: HostId) -> None:
        """Fails the attempts at a lost host; none of their requests has run."""
        for request_id, primary in self._queried_hosts.items():
            future = self._futures[request_id]
            if primary == host and not future.done():
                future.set_result(BeginResult(verdict=Verdict.UNAVAILABLE))

    def _find_primary(self, shard: int) -> HostId:
        record = self._view.shards.get(shard)
        return record.primary if record else HostId("")


def _compute_fingerprint(admitted: AdmittedRequest, body: bytes) -> str:
    hasher = hashlib.sha256()
    parts = (admitted.method, admitted.target, admitted.routing_key)
    for part in parts:
        hasher.update(part.encode())
        hasher.update(b"\0")
    hasher.update(body)
    return hasher.hexdigest()
