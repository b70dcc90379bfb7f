"""HTTP front end of an entry: admits, rate-limits and delivers callers' requests."""

import asyncio
import math
import secrets
from collections.abc import Callable
from random import Random

from aiohttp import web
from statsd import StatsClient

from monsoonlug.admission import (
    AdmittedRequest,
    CatalogueIndex,
    ReceivedHead,
    admit_request,
    check_key,
)
from monsoonlug.burn_rate import BurnCounter, Outcome
from monsoonlug.control_client import ControlClient
from monsoonlug.delivery import Delivery, DeliveryContext
from monsoonlug.dispatch import Attempts, DropCounts, RetryBudget
from monsoonlug.exceptions import (
    AnswerCutOff,
    InternalError,
    MonsoonlugError,
    RateExceeded,
    ShuttingDown,
    StaleView,
)
from monsoonlug.hotspots import HotSpots
from monsoonlug.ids import HostId, Ran, RequestId
from monsoonlug.logs import get_logger
from monsoonlug.refusals import (
    abort_connection,
    build_error_response,
    close_if_body_unread,
)
from monsoonlug.slices import find_slice, hash_key
from monsoonlug.token_queue import STALE_VIEW_RETRY_AFTER, TokenQueue
from monsoonlug.view import View

MIN_RETRY_AFTER = 1  # seconds; the header only has whole seconds
REQUEST_ID_BYTES = 8

logger = get_logger("front")


class Frontend:
    """Handles callers' requests.

    Args:
        host: Name of this host.
        control_client: Session, tokens and view of this host.
        token_queue: Queue of requests that wait for rate-limit tokens.
        delivery_context: Objects shared by all deliveries.
        clock: Monotonic clock, in seconds.
        random: Source of the jitter of retries.
        metrics: Client for counters and timings.
    """

    def __init__(
        self,
        *,
        host: HostId,
        control_client: ControlClient,
        token_queue: TokenQueue,
        delivery_context: DeliveryContext,
        clock: Callable[[], float],
        random: Random,
        metrics: StatsClient,
    ):
        self._control_client = control_client
        self._token_queue = token_queue
        self._delivery_context = delivery_context
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._retry_budget = RetryBudget()
        self.burn_counter = BurnCounter(host=host, now=clock())
        self.hot_spots = HotSpots(now=clock())
        self.drops = DropCounts()
        self.is_leaving = False
        self.is_closed = False
        self.running = 0
        self._index = CatalogueIndex(
            revision=control_client.view.config_revision,
            catalogue=control_client.view.catalogue,
        )

    def update(self, view: View) -> None:
        """Applies a new revision of the view."""
        if view.config_revision == self._index.revision:
            return
        self._index = CatalogueIndex(
            revision=view.config_revision, catalogue=view.catalogue
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles one HTTP request, including health checks."""
        if request.path == "/live":
            return web.json_response({"live": True})
        if request.path == "/ready":
            return self._build_readiness_response()
        self.running += 1
        try:
            return await self._serve(request)
        finally:
            self.running -= 1

    def _build_readiness_response(self) -> web.Response:
        is_fresh = self._control_client.lease.is_view_fresh(self._clock())
        is_ready = is_fresh and not self.is_leaving
        document = {"ready": is_ready, "config_revision": self._index.revision}
        response = web.json_response(document, status=200 if is_ready else 503)
        self._close_if_leaving(response)
        return response

    def _close_if_leaving(self, response: web.StreamResponse) -> None:
        # The next request on a connection that stays open until the process stops
        # would be lost.
        if self.is_leaving:
            response.force_close()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        started = self._clock()
        request_id = RequestId(secrets.token_hex(REQUEST_ID_BYTES))
        try:
            admitted = self._admit(request, started)
        except MonsoonlugError as error:
            return self._refuse(request, request_id, error)
        outcome = Outcome.FAILED
        try:
            response = await self._deliver(request, admitted, request_id, started)
            outcome = Outcome.ANSWERED
            self._metrics.incr("answered")
            self._metrics.timing("latency", (self._clock() - started) * 1000)
            return response
        except AnswerCutOff:
            # The closed connection tells the caller that the response is truncated.
            self._metrics.incr("cut_off")
            logger.bind(request=request_id).warning(
                "Backend response was cut off; closing the caller's connection."
            )
            abort_connection(request)
            raise asyncio.CancelledError from None
        except MonsoonlugError as error:
            outcome = _classify_error(error)
            return self._refuse(request, request_id, error)
        except (ConnectionError, asyncio.CancelledError):
            outcome = Outcome.CALLER_ERROR
            self._metrics.incr("caller_left")
            raise
        except Exception:
            logger.bind(request=request_id).exception(
                "Unexpected error; responding with internal-error."
            )
            return self._refuse(request, request_id, InternalError())
        finally:
            now = self._clock()
            route = admitted.route
            latency = now - started
            self.burn_counter.record(now, route.name, outcome, latency, route.objective)

    async def _deliver(
        self,
        request: web.BaseRequest,
        admitted: AdmittedRequest,
        request_id: RequestId,
        started: float,
    ) -> web.StreamResponse:
        deadline = started + admitted.route.limits.deadline
        if admitted.routing_key:
            key_hash = hash_key(admitted.routing_key)
            self.hot_spots.count(admitted.route.pool, find_slice(key_hash), key_hash)
        if admitted.workspace is not None:
            await self._token_queue.acquire(admitted.workspace, request_id, deadline)
            # The key may have been withdrawn while the request waited.
            check_key(
                admitted.key_digest,
                index=self._index,
                withdrawn=self._control_client.view.withdrawn,
            )
        attempts = Attempts(
            request_id=request_id,
            idempotent=admitted.route.idempotent,
            pooled=not admitted.routing_key,
            deadline=deadline,
            budget=self._retry_budget,
            drops=self.drops,
            random=self._random,
        )
        delivery = Delivery(
            context=self._delivery_context,
            admitted=admitted,
            request_id=request_id,
            deadline=deadline,
            attempts=attempts,
            request=request,
            on_prepare=self._close_if_leaving,
        )
        return await delivery.run()

    def _admit(self, request: web.BaseRequest, now: float) -> AdmittedRequest:
        if self.is_closed:
            raise ShuttingDown(retry_after=STALE_VIEW_RETRY_AFTER)
        if not self._control_client.lease.is_view_fresh(now):
            raise StaleView(retry_after=STALE_VIEW_RETRY_AFTER)
        head = ReceivedHead(
            method=request.method, target=request.raw_path, headers=request.raw_headers
        )
        return admit_request(
            head, index=self._index, withdrawn=self._control_client.view.withdrawn
        )

    def _refuse(
        self, request: web.BaseRequest, request_id: RequestId, error: MonsoonlugError
    ) -> web.Response:
        self._metrics.incr(f"refused.{error.code}")
        logger.bind(request=request_id).debug("Refused: {}.", error.code)
        response = build_error_response(request_id, error)
        if error.retry_after is not None:
            seconds = max(MIN_RETRY_AFTER, math.ceil(error.retry_after))
            response.headers["Retry-After"] = str(seconds)
        self._close_if_leaving(response)
        close_if_body_unread(request, response)
        return response


def _classify_error(error: MonsoonlugError) -> Outcome:
    if isinstance(error, RateExceeded):
        return Outcome.RATE_EXCEEDED
    if error.status < 500:
        return Outcome.CALLER_ERROR
    if error.ran is Ran.NOT_RUN:
        return Outcome.REFUSED
    return Outcome.FAILED
