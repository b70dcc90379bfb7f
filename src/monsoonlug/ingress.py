"""The callers' HTTP interface of a fleet: checks, tokens, delivery and refusals."""

import asyncio
import contextlib
import itertools
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
from monsoonlug.delivery import Delivery, DeliveryTools
from monsoonlug.dispatch import Attempts, DropCounts, RetryBudget
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
from monsoonlug.items import RouteItem, WorkspaceItem, rank_request
from monsoonlug.keyranges import LAST_KEY
from monsoonlug.logs import get_logger
from monsoonlug.lookup import BodyLimits, ItemIndex, ServedRoute
from monsoonlug.rates import list_limits
from monsoonlug.refusals import build_refusal, drop_body
from monsoonlug.subscription import Subscription

TOKEN_LOOK_INTERVAL = 0.050  # seconds between two looks at a silent leader's tokens
TOKEN_PATIENCE = 0.250  # seconds that a request waits for the answer about a token
DENIAL_AGE = 1.0  # seconds; an older view may not know a new route or key yet
STALE_RETRY_AFTER = 0.300  # seconds; about the time until the next beat is answered
LEAVING_RETRY_AFTER = 0.050  # seconds; another host takes the next connection
LEAST_RETRY_AFTER = 0.020  # seconds
RETRY_SHARE = 0.10  # retries per request; the bound of all hosts together is 0.2
RETRY_RESERVE = 3.0  # retries of one host that may come at once
DEFAULT_DEADLINE = 5.0  # seconds, for a request that names none
MOST_DEADLINE = 60.0  # seconds
MOST_AGE = 9999.0  # seconds; JSON has no infinity

logger = get_logger("front")


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerHeaders:
    """What the headers of a request say to the router.

    Attributes:
        request_id: The caller's id of the request, or an empty string.
        remaining: Seconds that the caller waits, or None if it does not say.
        routing_key: Key that decides the owner, or None.
        workspace_key: The workspace key, or an empty string.
    """

    request_id: str
    remaining: float | None
    routing_key: int | None
    workspace_key: str


class CallerProtocol(ABC):
    """How callers say who they are and how long they wait."""

    @abstractmethod
    def read_headers(self, named: dict[str, list[str]]) -> CallerHeaders:
        """Reads the router's headers of a request.

        Args:
            named: Values of all headers by lower-case name.

        Raises:
            BadRequest: If one of them is malformed.
        """

    @property
    @abstractmethod
    def own_headers(self) -> frozenset[str]:
        """Lower-case names of headers that only the router may set."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Admitted:
    """An admitted request and what its delivery needs."""

    request: AdmittedRequest
    route: RouteItem
    key_digest: str
    deadline: float


class Ingress:
    """Serves callers' requests.

    Args:
        protocol: Headers of the callers.
        subscription: View and tokens of this host.
        tools: What all deliveries share.
        clock: Steady clock, in seconds.
        random: Source of the jitter of retries.
        view_limit: Age in seconds above which a view admits no workspace key.
        record: Called with the outcome of each request.
    """

    def __init__(
        self,
        *,
        protocol: CallerProtocol,
        subscription: Subscription,
        tools: DeliveryTools,
        clock: Callable[[], float],
        random: Random,
        view_limit: float,
        record: Callable[[str, str, float], None],
    ):
        self._protocol = protocol
        self._subscription = subscription
        self._tools = tools
        self._clock = clock
        self._random = random
        self._view_limit = view_limit
        self._record = record
        self._budget = RetryBudget(
            share=RETRY_SHARE, reserve=RETRY_RESERVE, level=RETRY_RESERVE
        )
        self._counter = itertools.count(1)
        self._index = ItemIndex(items=subscription.view.items, random=random)
        self._tokens_changed = asyncio.Event()
        self._loads: dict[tuple[str, int], int] = {}
        self.drops = DropCounts()
        self.is_leaving = False
        self.is_closed = False
        self.running = 0

    def update(self, view: FleetView) -> None:
        """Takes a changed view."""
        self._index = ItemIndex(
            items=view.items, random=self._random, previous=self._index
        )
        self._subscription.wallet.configure(self._clock(), list_limits(view.items))

    def settle_tokens(self) -> None:
        """Wakes the requests that wait for tokens."""
        self._tokens_changed.set()
        self._tokens_changed = asyncio.Event()

    def take_loads(self) -> list[list]:
        """Returns rows of pool, key and requests since the last call."""
        loads, self._loads = self._loads, {}
        return [[pool, key, count] for (pool, key), count in loads.items()]

    def is_ready(self) -> bool:
        """Returns whether new connections should come to this host."""
        if self.is_leaving or self._index.is_empty:
            return False
        return self._subscription.get_view_age() < self._view_limit

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request."""
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
        admitted: _Admitted | None = None
        delivery: Delivery | None = None
        try:
            headers = read_headers(request.raw_headers)
            named = group_headers(headers)
            caller = self._protocol.read_headers(named)
            request_id = RequestId(caller.request_id)
            admitted = self._admit(request, headers, named, caller, started)
            route_name = admitted.route.name
            await self._take_token(admitted, started)
            delivery = self._build_delivery(request, admitted, caller)
            response = await delivery.run()
            outcome = "answered"
            self._log(request_id, started, admitted, delivery).bind(
                status=response.status
            ).info("Request answered.")
            return response
        except AnswerCutOff:
            # Closing the connection shows the caller that the answer is not whole.
            outcome = "cut-off"
            request.transport.abort()
            raise asyncio.CancelledError from None
        except MonsoonlugError as error:
            outcome = error.code
            if delivery is not None and error.ran is Ran.NOT_RUN:
                self._refund(admitted)
            return self._refuse(request, request_id, error, started, admitted, delivery)
        except (ConnectionError, asyncio.CancelledError):
            outcome = "caller-left"
            raise
        except Exception:
            logger.bind(request=request_id).exception("Request failed.")
            error = InternalError()
            return self._refuse(request, request_id, error, started, admitted, delivery)
        finally:
            self._record(route_name, outcome, self._clock() - started)

    def _admit(
        self,
        request: web.BaseRequest,
        headers: list[tuple[str, str]],
        named: dict[str, list[str]],
        caller: CallerHeaders,
        started: float,
    ) -> _Admitted:
        if self.is_closed:
            raise ShuttingDown(retry_after=LEAVING_RETRY_AFTER)
        if self._index.is_empty:
            raise StaleView(
                "no configuration has come yet", retry_after=STALE_RETRY_AFTER
            )
        check_host(named)
        dropped = list_connection_names(named)
        length = read_length(named)
        if length is not None and length > self._index.limits.body_bytes:
            raise BodyTooLarge()
        host = named["host"][0].partition(":")[0]
        path = request.raw_path.partition("?")[0]
        try:
            route = self._index.match(host, path)
            workspace, digest = self._identify(route, caller.workspace_key)
        except (UnknownRoute, KeyRefused) as error:
            raise self._doubt(error) from None
        pool = self._index.choose_pool(route)
        served = ServedRoute(
            name=route.name,
            pool=pool,
            priority=rank_request(route, workspace),
            idempotent=route.idempotent,
            limits=BodyLimits(body=self._index.limits.body_bytes),
        )
        remaining = caller.remaining or DEFAULT_DEADLINE
        deadline = started + min(remaining, route.timeout, MOST_DEADLINE)
        admitted = AdmittedRequest(
            route=served,
            workspace=workspace.name if workspace else None,
            key_digest="",
            routing_key=self._read_key(pool, caller),
            method=request.method,
            target=request.raw_path,
            headers=self._strip(headers, dropped, caller.workspace_key),
            content_length=length,
            idempotency_key="",
            objective_at=started + route.objective,
        )
        return _Admitted(
            request=admitted, route=route, key_digest=digest, deadline=deadline
        )

    def _identify(self, route: RouteItem, key: str) -> tuple[WorkspaceItem | None, str]:
        if route.open:
            return None, ""
        age = self._subscription.get_view_age()
        if age >= self._view_limit:
            raise StaleView(
                f"the view is {age:.2f} s old", retry_after=STALE_RETRY_AFTER
            )
        if not key:
            raise KeyRefused("the request has no workspace key")
        return self._index.find_workspace(key)

    def _doubt(self, error: MonsoonlugError) -> MonsoonlugError:
        """Returns a refusal without a verdict if the view may be too old for one."""
        age = self._subscription.get_view_age()
        if age < DENIAL_AGE:
            return error
        return StaleView(
            f"{error.code} by a view that is {age:.2f} s old",
            retry_after=STALE_RETRY_AFTER,
        )

    def _read_key(self, pool: str, caller: CallerHeaders) -> str:
        if not self._index.is_keyed(pool):
            return ""
        key = caller.routing_key
        if key is None:
            raise MissingRoutingKey()
        if not 0 <= key <= LAST_KEY:
            raise BadRequest("the routing key is out of range")
        place = (pool, key)
        self._loads[place] = self._loads.get(place, 0) + 1
        return str(key)

    def _strip(
        self, headers: list[tuple[str, str]], dropped: set[str], key: str
    ) -> list[tuple[str, str]]:
        own = self._protocol.own_headers
        kept = []
        for name, value in strip_headers(headers, dropped, key):
            if name.lower() not in own:
                kept.append((name, value))
        return kept

    async def _take_token(self, admitted: _Admitted, started: float) -> None:
        workspace = admitted.request.workspace
        if workspace is None:
            return
        wallet = self._subscription.wallet
        wallet.record_demand(started, workspace)
        if wallet.try_acquire(started, workspace):
            return
        self._check_pause(workspace)
        wallet.change_waiting(workspace, 1)
        try:
            await self._wait_for_token(workspace, started + TOKEN_PATIENCE)
        finally:
            wallet.change_waiting(workspace, -1)
        # The request may have waited while its key was withdrawn.
        if not self._index.holds_digest(admitted.key_digest):
            raise KeyRefused()

    async def _wait_for_token(self, workspace: WorkspaceId, until: float) -> None:
        wallet = self._subscription.wallet
        while True:
            self._subscription.request_tokens()
            changed = self._tokens_changed
            remaining = until - self._clock()
            if remaining <= 0:
                raise RateExceeded(retry_after=LEAST_RETRY_AFTER + TOKEN_PATIENCE)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    changed.wait(), min(remaining, TOKEN_LOOK_INTERVAL)
                )
            if wallet.try_acquire(self._clock(), workspace):
                return
            self._check_pause(workspace)

    def _refund(self, admitted: _Admitted) -> None:
        if admitted.request.workspace is not None:
            self._subscription.wallet.refund(admitted.request.workspace)

    def _check_pause(self, workspace: WorkspaceId) -> None:
        pause = self._subscription.wallet.get_retry_after(self._clock(), workspace)
        if pause > 0:
            raise RateExceeded(retry_after=pause)

    def _build_delivery(
        self, request: web.BaseRequest, admitted: _Admitted, caller: CallerHeaders
    ) -> Delivery:
        # A balancer may send the same request through two hosts at the same time.
        request_id = RequestId(f"{caller.request_id}.{next(self._counter)}")
        attempts = Attempts(
            request_id=request_id,
            idempotent=admitted.route.idempotent,
            pooled=not admitted.request.routing_key,
            deadline=admitted.deadline,
            budget=self._budget,
            drops=self.drops,
            random=self._random,
            max_attempts=admitted.route.max_attempts,
        )
        return Delivery(
            tools=self._tools,
            admitted=admitted.request,
            request_id=request_id,
            deadline=admitted.deadline,
            attempts=attempts,
            request=request,
            on_prepare=self._end_connection,
        )

    def _end_connection(self, response: web.StreamResponse) -> None:
        # A connection that stays open until the end could lose its next request.
        if self.is_leaving:
            response.force_close()

    def _log(
        self,
        request_id: RequestId,
        started: float,
        admitted: _Admitted | None,
        delivery: Delivery | None,
    ):
        """Returns a logger with what decided about a request."""
        return logger.bind(
            request=request_id,
            route=admitted.route.name if admitted else "",
            workspace=(admitted.request.workspace or "") if admitted else "",
            milliseconds=round(1000 * (self._clock() - started)),
            sent_to=delivery.sent_to if delivery else "",
            revision=self._subscription.view.revision,
            view_age=round(min(self._subscription.get_view_age(), MOST_AGE), 3),
        )

    def _refuse(
        self,
        request: web.BaseRequest,
        request_id: RequestId,
        error: MonsoonlugError,
        started: float,
        admitted: _Admitted | None,
        delivery: Delivery | None,
    ) -> web.Response:
        self._log(request_id, started, admitted, delivery).bind(
            code=error.code,
            reason=str(error),
            ran=error.ran.value,
            retry_after=error.retry_after,
        ).info("Request refused.")
        response = build_refusal(request_id, error)
        if error.retry_after is not None:
            pause = max(LEAST_RETRY_AFTER, error.retry_after)
            response.headers["Retry-After"] = f"{pause:.3f}"
        self._end_connection(response)
        drop_body(request, response)
        return response
