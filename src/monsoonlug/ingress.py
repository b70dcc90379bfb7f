"""HTTP ingress of an announced fleet: admission, rate limits and error responses."""

import asyncio
import contextlib
import itertools
import secrets
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from aiohttp import web

from monsoonlug.admission import (
    AdmittedRequest,
    check_host,
    group_headers,
    list_connection_names,
    read_headers,
    read_length,
    strip_headers,
)
from monsoonlug.authentication import (
    STALE_RETRY_AFTER,
    authenticate,
    check_denial,
)
from monsoonlug.connection_limits import ClientLimits
from monsoonlug.delivery import Delivery, DeliveryContext
from monsoonlug.dispatch import SHUTDOWN_RETRY_AFTER, Attempts, DropCounts, RetryBudget
from monsoonlug.exceptions import (
    AnswerCutOff,
    BadRequest,
    BodyTooLarge,
    InternalError,
    KeyRefused,
    MissingRoutingKey,
    MonsoonlugError,
    RateExceeded,
    ShuttingDown,
    StaleView,
    UnknownRoute,
)
from monsoonlug.fleet import FleetView
from monsoonlug.ids import Ran, RequestId, WorkspaceId
from monsoonlug.items import RouteItem, classify_request
from monsoonlug.keyranges import LAST_KEY
from monsoonlug.logs import get_logger
from monsoonlug.lookup import BodyLimits, ItemIndex, ServedRoute
from monsoonlug.rates import list_limits
from monsoonlug.refusals import (
    abort_connection,
    build_error_response,
    close_if_body_unread,
)
from monsoonlug.subscription import Subscription

TOKEN_POLL_INTERVAL = 0.050  # seconds, while the leader does not respond
TOKEN_TIMEOUT = 0.250  # seconds that a request waits for a rate-limit token
MIN_RETRY_AFTER = 0.020  # seconds
RETRY_RATIO = 0.10  # retries per request; the limit for all hosts together is 0.2
RETRY_BURST = 3.0  # retries that one host may send in a burst
DEFAULT_TIMEOUT = 5.0  # seconds, for a request without a deadline header
MAX_TIMEOUT = 60.0  # seconds
PROCESS_TAG_BYTES = 4  # that tell requests of this process from those of others
MAX_LOGGED_AGE = 9999.0  # seconds; JSON cannot represent infinity

logger = get_logger("front")


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerHeaders:
    """Values of the request headers that are addressed to the router.

    Attributes:
        request_id: Request id that the caller sent, or an empty string.
        timeout: Seconds that the caller waits, or None if it set no deadline.
        routing_key: Key that determines the owner, or None.
        workspace_keys: The different workspace keys in the headers, at most one unless
            the request is malformed or the configuration has no workspace.
    """

    request_id: str
    timeout: float | None
    routing_key: int | None
    workspace_keys: tuple[str, ...]


class CallerProtocol(ABC):
    """Reads the caller's identity and deadline from request headers."""

    @abstractmethod
    def read_headers(self, named: dict[str, list[str]]) -> CallerHeaders:
        """Parses the request headers that are addressed to the router.

        Args:
            named: Values of all headers, by lower-case name.

        Raises:
            BadRequest: If one of them is malformed.
        """

    @property
    @abstractmethod
    def reserved_headers(self) -> frozenset[str]:
        """Lower-case names of headers that only the router may set."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StopTimes:
    """Times of a planned stop, in seconds of the monotonic clock.

    Attributes:
        send_until: From then on, a request is sent to a server only if its deadline is
            reached by `answer_until`.
        answer_until: Time at which the requests that still run are answered.
    """

    send_until: float
    answer_until: float


@dataclass(frozen=True, slots=True, kw_only=True)
class _RequestContext:
    """An admitted request with its route, key digest and deadline."""

    request: AdmittedRequest
    route: RouteItem
    key_digest: str
    deadline: float


class Ingress:
    """Handles HTTP requests of callers, from admission to response.

    Args:
        protocol: Parser of the callers' headers.
        subscription: Source of the view and of rate-limit tokens.
        delivery_context: Objects that all deliveries share.
        clock: Monotonic clock, in seconds.
        random: Source of retry jitter.
        max_view_age: View age in seconds from which on workspace keys are refused.
        record: Called with the route, the outcome and the duration in seconds of each
            request.
    """

    def __init__(
        self,
        *,
        protocol: CallerProtocol,
        subscription: Subscription,
        delivery_context: DeliveryContext,
        clock: Callable[[], float],
        random: Random,
        max_view_age: float,
        record: Callable[[str, str, float], None],
    ):
        self._protocol = protocol
        self._subscription = subscription
        self._delivery_context = delivery_context
        self._clock = clock
        self._random = random
        self._max_view_age = max_view_age
        self._record = record
        self._budget = RetryBudget(
            ratio=RETRY_RATIO, burst=RETRY_BURST, available=RETRY_BURST
        )
        self._request_numbers = itertools.count(1)
        self._process_tag = secrets.token_hex(PROCESS_TAG_BYTES)
        self._index = ItemIndex(items=subscription.view.items, random=random)
        self._tokens_changed = asyncio.Event()
        self._key_counts: dict[tuple[str, int], int] = {}
        self._deliveries: set[Delivery] = set()
        self.drops = DropCounts()
        self.is_leaving = False
        self.running = 0
        self._closing: StopTimes | None = None

    def update(self, view: FleetView) -> None:
        """Applies a new view."""
        self._index = ItemIndex(
            items=view.items, random=self._random, previous=self._index
        )
        self._subscription.rate_limiter.configure(
            self._clock(), list_limits(view.items)
        )

    def get_client_limits(self) -> ClientLimits:
        """Returns the limits on callers' connections."""
        return self._index.client_limits

    def close(self, times: StopTimes) -> None:
        """Refuses all further requests, after the port stopped listening."""
        self._closing = times

    def stop_unsent(self) -> None:
        """Refuses the requests that no server has and that would be cut off."""
        times = self._closing
        for delivery in list(self._deliveries):
            # A timer may call this slightly before `send_until`.
            if delivery.deadline > times.answer_until:
                delivery.stop_unless_sent()

    def _may_send(self, deadline: float) -> bool:
        """Returns whether the answer to a request can arrive before this host stops.

        Args:
            deadline: Deadline of the request.
        """
        times = self._closing
        if times is None or self._clock() < times.send_until:
            return True
        return deadline <= times.answer_until

    def stop_deliveries(self) -> None:
        """Answers the callers whose responses cannot arrive before this host stops."""
        for delivery in list(self._deliveries):
            delivery.stop()

    def notify_token_waiters(self) -> None:
        """Wakes requests that wait for rate-limit tokens."""
        self._tokens_changed.set()
        self._tokens_changed = asyncio.Event()

    def collect_key_counts(self) -> list[list]:
        """Returns and resets the request counts, as rows of pool, key and count."""
        counts, self._key_counts = self._key_counts, {}
        return [[pool, key, count] for (pool, key), count in counts.items()]

    def is_ready(self) -> bool:
        """Returns whether load balancers should send new connections to this host."""
        if self.is_leaving or self._index.is_empty:
            return False
        # Without workspaces, no request is refused because of the view's age.
        if (
            self._index.has_workspaces
            and self._subscription.get_view_age() >= self._max_view_age
        ):
            return False
        return self._delivery_context.finder.can_serve()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles one request and returns its response."""
        self.running += 1
        started = self._clock()
        try:
            return await self._serve(request, started)
        finally:
            self.running -= 1

    async def _serve(
        self, request: web.BaseRequest, started: float
    ) -> web.StreamResponse:
        request_id = RequestId("")
        route_name = ""
        outcome = "failed"
        context: _RequestContext | None = None
        delivery: Delivery | None = None
        try:
            headers = read_headers(request.raw_headers)
            named = group_headers(headers)
            caller = self._protocol.read_headers(named)
            request_id = RequestId(caller.request_id)
            context = await self._admit(request, headers, named, caller, started)
            route_name = context.route.name
            while not await self._acquire_token(context, started):
                # Its key moved, or is not needed any more, while it waited for a token.
                context = await self._admit(request, headers, named, caller, started)
            delivery = self._build_delivery(request, context, caller)
            self._deliveries.add(delivery)
            response = await delivery.run()
            outcome = "answered"
            self._bind_logger(request_id, started, context, delivery).bind(
                status=response.status
            ).info("Request answered.")
            return response
        except AnswerCutOff:
            outcome = "cut-off"
            self._bind_logger(request_id, started, context, delivery).info(
                "Response cut off."
            )
            abort_connection(request)
            raise asyncio.CancelledError from None
        except MonsoonlugError as error:
            outcome = error.code
            if delivery is not None and error.ran is Ran.NOT_RUN:
                self._refund_token(context)
            return self._refuse(request, request_id, error, started, context, delivery)
        except (ConnectionError, asyncio.CancelledError):
            outcome = "caller-left"
            raise
        except Exception:
            logger.bind(request=request_id).exception("Request failed.")
            if delivery is not None and delivery.has_started:
                abort_connection(request)
                raise asyncio.CancelledError from None
            error = InternalError()
            return self._refuse(request, request_id, error, started, context, delivery)
        finally:
            if delivery is not None:
                self._deliveries.discard(delivery)
            self._record(route_name, outcome, self._clock() - started)

    async def _admit(
        self,
        request: web.BaseRequest,
        headers: list[tuple[str, str]],
        named: dict[str, list[str]],
        caller: CallerHeaders,
        started: float,
    ) -> _RequestContext:
        """Admits a request, which waits for a current view if this host just resumed.

        Requests that arrived while the host was suspended are handled before the
        changes of the view, although the servers can take them a moment later.
        """
        try:
            return self._admit_request(request, headers, named, caller, started)
        except StaleView:
            if not self._subscription.is_resuming:
                raise
        await self._subscription.wait_until_confirmed()
        return self._admit_request(request, headers, named, caller, started)

    def _admit_request(
        self,
        request: web.BaseRequest,
        headers: list[tuple[str, str]],
        named: dict[str, list[str]],
        caller: CallerHeaders,
        started: float,
    ) -> _RequestContext:
        if self._closing is not None:
            raise ShuttingDown(retry_after=SHUTDOWN_RETRY_AFTER)
        if self._index.is_empty:
            raise StaleView(
                "this host has not received a configuration yet",
                retry_after=STALE_RETRY_AFTER,
            )
        check_host(named)
        connection_headers = list_connection_names(named)
        length = read_length(named)
        if length is not None and length > self._index.limits.body_bytes:
            raise BodyTooLarge()
        host = named["host"][0].partition(":")[0]
        path = request.raw_path.partition("?")[0]
        try:
            route = self._index.match(host, path)
            identity = authenticate(
                self._index,
                route,
                caller.workspace_keys,
                view_age=self._subscription.get_view_age(),
                max_view_age=self._max_view_age,
            )
        except (UnknownRoute, KeyRefused) as error:
            raise self._check_denial(error) from None
        pool = self._index.choose_pool(route)
        served = ServedRoute(
            name=route.name,
            pool=pool,
            priority=classify_request(route, identity.workspace),
            idempotent=route.idempotent,
            limits=BodyLimits(body=self._index.limits.body_bytes),
        )
        timeout = caller.timeout or DEFAULT_TIMEOUT
        deadline = started + min(timeout, route.timeout, MAX_TIMEOUT)
        admitted = AdmittedRequest(
            route=served,
            workspace=identity.workspace.name if identity.workspace else None,
            key_digest="",
            routing_key=self._read_routing_key(pool, caller),
            method=request.method,
            target=request.raw_path,
            headers=self._build_forwarded_headers(
                headers, connection_headers, caller.workspace_keys
            ),
            content_length=length,
            idempotency_key="",
            objective_at=started + route.objective,
        )
        return _RequestContext(
            request=admitted,
            route=route,
            key_digest=identity.key_digest,
            deadline=deadline,
        )

    def _check_denial(self, error: MonsoonlugError) -> MonsoonlugError:
        """Returns `error`, or `StaleView` if the view may lack a new route or key."""
        return check_denial(error, view_age=self._subscription.get_view_age())

    def _read_routing_key(self, pool: str, caller: CallerHeaders) -> str:
        if not self._index.is_keyed(pool):
            return ""
        key = caller.routing_key
        if key is None:
            raise MissingRoutingKey()
        if not 0 <= key <= LAST_KEY:
            raise BadRequest(f"the routing key is not in the range 0 to {LAST_KEY}")
        pool_and_key = (pool, key)
        self._key_counts[pool_and_key] = self._key_counts.get(pool_and_key, 0) + 1
        return str(key)

    def _build_forwarded_headers(
        self,
        headers: list[tuple[str, str]],
        connection_headers: set[str],
        keys: tuple[str, ...],
    ) -> list[tuple[str, str]]:
        # Without workspaces, the header Authorization is the backend servers' own.
        has_workspaces = self._index.has_workspaces
        key = keys[0] if keys and has_workspaces else ""
        reserved = self._protocol.reserved_headers
        kept = []
        for name, value in strip_headers(
            headers, connection_headers, key, keep_authorization=not has_workspaces
        ):
            # CGI-style servers treat X_Name and X-Name as the same header.
            if name.lower().replace("_", "-") not in reserved:
                kept.append((name, value))
        return kept

    async def _acquire_token(self, context: _RequestContext, started: float) -> bool:
        """Waits for a token; returns False if the request must be admitted anew."""
        workspace = context.request.workspace
        if workspace is None:
            return True
        rate_limiter = self._subscription.rate_limiter
        rate_limiter.record_demand(started, workspace)
        if rate_limiter.try_acquire(started, workspace):
            return True
        self._check_rate_limit(workspace)
        rate_limiter.change_waiting(workspace, 1)
        try:
            await self._wait_for_token(workspace, started + TOKEN_TIMEOUT)
        finally:
            rate_limiter.change_waiting(workspace, -1)
        # The workspace key may have been withdrawn, or have moved to another workspace,
        # while the request waited.
        owner = self._index.find_owner(context.key_digest)
        if owner == workspace:
            return True
        rate_limiter.refund(workspace)
        if owner is None and self._index.has_workspaces:
            raise KeyRefused()
        return False

    async def _wait_for_token(self, workspace: WorkspaceId, deadline: float) -> None:
        rate_limiter = self._subscription.rate_limiter
        while True:
            self._subscription.request_tokens()
            changed = self._tokens_changed
            remaining = deadline - self._clock()
            if remaining <= 0:
                raise RateExceeded(retry_after=MIN_RETRY_AFTER + TOKEN_TIMEOUT)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    changed.wait(), min(remaining, TOKEN_POLL_INTERVAL)
                )
            if rate_limiter.try_acquire(self._clock(), workspace):
                return
            self._check_rate_limit(workspace)

    def _refund_token(self, context: _RequestContext) -> None:
        if context.request.workspace is not None:
            self._subscription.rate_limiter.refund(context.request.workspace)

    def _check_rate_limit(self, workspace: WorkspaceId) -> None:
        retry_after = self._subscription.rate_limiter.get_retry_after(
            self._clock(), workspace
        )
        if retry_after > 0:
            raise RateExceeded(retry_after=retry_after)

    def _build_delivery(
        self, request: web.BaseRequest, context: _RequestContext, caller: CallerHeaders
    ) -> Delivery:
        # A load balancer may send one request through two hosts at the same time, and
        # callers may name no id, so neither the id nor the number is unique.
        number = next(self._request_numbers)
        request_id = RequestId(f"{caller.request_id}.{self._process_tag}-{number}")
        attempts = Attempts(
            request_id=request_id,
            idempotent=context.route.idempotent,
            pooled=not context.request.routing_key,
            deadline=context.deadline,
            budget=self._budget,
            drops=self.drops,
            random=self._random,
            max_attempts=context.route.max_attempts,
        )
        return Delivery(
            context=self._delivery_context,
            admitted=context.request,
            request_id=request_id,
            deadline=context.deadline,
            attempts=attempts,
            request=request,
            on_prepare=self._close_if_leaving,
            may_send=self._may_send,
            is_leaving=self.is_leaving,
        )

    def _close_if_leaving(self, response: web.StreamResponse) -> None:
        # A keep-alive connection would be cut at shutdown and could lose a request.
        if self.is_leaving:
            response.force_close()

    def _bind_logger(
        self,
        request_id: RequestId,
        started: float,
        context: _RequestContext | None,
        delivery: Delivery | None,
    ):
        """Returns a logger bound to the fields of a request."""
        return logger.bind(
            request=request_id,
            route=context.route.name if context else "",
            workspace=(context.request.workspace or "") if context else "",
            milliseconds=round(1000 * (self._clock() - started)),
            sent_to=delivery.sent_to if delivery else "",
            failures=delivery.failures if delivery else [],
            revision=self._subscription.view.revision,
            view_age=round(min(self._subscription.get_view_age(), MAX_LOGGED_AGE), 3),
        )

    def _refuse(
        self,
        request: web.BaseRequest,
        request_id: RequestId,
        error: MonsoonlugError,
        started: float,
        context: _RequestContext | None,
        delivery: Delivery | None,
    ) -> web.Response:
        self._bind_logger(request_id, started, context, delivery).bind(
            code=error.code,
            reason=str(error),
            ran=error.ran.value,
            retry_after=error.retry_after,
        ).info("Request refused.")
        response = build_error_response(request_id, error)
        if error.retry_after is not None:
            retry_after = max(MIN_RETRY_AFTER, error.retry_after)
            response.headers["Retry-After"] = f"{retry_after:.3f}"
        self._close_if_leaving(response)
        close_if_body_unread(request, response)
        return response
