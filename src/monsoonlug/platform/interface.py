"""HTTP interface of control: heartbeats, configuration and evacuations."""

from collections.abc import Awaitable, Callable

from aiohttp import web

from monsoonlug.exceptions import (
    BadRequest,
    ControlUnreachable,
    InternalError,
    MonsoonlugError,
    NotLeader,
    RolloutConflict,
    RolloutNotFound,
    RolloutUnavailable,
)
from monsoonlug.fleet_control import FleetControlService
from monsoonlug.ids import FailureDomain, PoolId
from monsoonlug.logs import get_logger
from monsoonlug.platform.documents import (
    build_heartbeat_answer,
    build_items,
    build_rollout,
    read_heartbeat,
    read_order,
    read_patch,
    read_server_name,
)
from monsoonlug.request_bodies import read_body
from monsoonlug.settings import split_address

HEARTBEAT_PATH = "/monsoonlug/Instances.Heartbeat/{server}"
LEAVE_PATH = "/monsoonlug/Instances.Leave/{server}"
CHANGE_PATH = "/monsoonlug/Config.Patch"
READ_PATH = "/monsoonlug/Config.Get"
TAKE_OUT_PATH = "/monsoonlug/Evacuations.Start/{domain}"
BRING_BACK_PATH = "/monsoonlug/Evacuations.End/{domain}"
ORDER_PATH = "/monsoonlug/Rollouts.Start"
ROLLOUT_PATH = "/monsoonlug/Rollouts.Get/{service}"
REFUSALS = (
    BadRequest,
    ControlUnreachable,
    RolloutConflict,
    RolloutNotFound,
    RolloutUnavailable,
)
MAX_BODY_BYTES = 32 * 1_048_576

logger = get_logger("interface")


class ControlInterface:
    """HTTP server for the calls of backend servers and operators.

    Args:
        control: The control replica that executes the calls.
        address: Address to listen on; its port must be the same on all machines, as
            calls are redirected to that port of the leader.
    """

    def __init__(self, *, control: FleetControlService, address: str):
        self._control = control
        self._address = address

    async def start(self) -> web.AppRunner:
        """Starts listening and returns the runner to clean up."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.add_routes(
            [
                web.post(HEARTBEAT_PATH, self._handle_errors(self._take_beat)),
                web.post(LEAVE_PATH, self._handle_errors(self._take_leave)),
                web.post(CHANGE_PATH, self._handle_errors(self._change)),
                web.get(READ_PATH, self._handle_errors(self._read)),
                web.post(TAKE_OUT_PATH, self._handle_errors(self._take_out)),
                web.post(BRING_BACK_PATH, self._handle_errors(self._bring_back)),
                web.post(ORDER_PATH, self._handle_errors(self._order)),
                web.get(ROLLOUT_PATH, self._handle_errors(self._read_rollout)),
            ]
        )
        ports = self._control.ports
        runner = ports.build_runner(
            "control", app, max_connections=ports.limits.get_client_connections()
        )
        await runner.setup()
        await ports.start_site(runner, self._address)
        return runner

    def _handle_errors(
        self, handle: Callable[[web.Request], Awaitable[web.Response]]
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        """Returns a handler that also counts the call and answers its errors."""
        # The names of the handlers are values of a metric label.
        kind = handle.__name__.strip("_")

        async def handle_call(request: web.Request) -> web.Response:
            outcome = "done"
            try:
                return await handle(request)
            except NotLeader as error:
                outcome = error.code
                return self._redirect(request)
            except REFUSALS as error:
                outcome = error.code
                logger.info(
                    "Refused call {}: {} ({}).", request.path, error.code, error
                )
                return _build_error(error)
            except web.HTTPException as error:
                outcome = "refused"
                raise error
            except Exception:
                outcome = InternalError.code
                logger.exception("Call {} failed.", request.path)
                return _build_error(InternalError())
            finally:
                self._control.metrics.count_call(kind, outcome)

        return handle_call

    async def _take_beat(self, request: web.Request) -> web.Response:
        heartbeat = read_heartbeat(
            request.match_info["server"], await _read_body(request)
        )
        answer = await self._control.handle_heartbeat(heartbeat)
        path = request.path
        body = build_heartbeat_answer(answer, f"http://{self._address}{path}")
        return web.Response(body=body, content_type="application/json")

    async def _take_leave(self, request: web.Request) -> web.Response:
        await self._control.handle_leave(read_server_name(request.match_info["server"]))
        return web.json_response({})

    async def _change(self, request: web.Request) -> web.Response:
        changes, sources = read_patch(await _read_body(request))
        await self._control.change_items(changes, sources)
        return web.json_response({})

    async def _read(self, request: web.Request) -> web.Response:
        sources = await self._control.list_items()
        return web.Response(body=build_items(sources), content_type="application/json")

    async def _order(self, request: web.Request) -> web.Response:
        self._control.rollouts.check_configured()
        order = read_order(await _read_body(request))
        await self._control.rollouts.start(*order)
        return web.json_response({})

    async def _read_rollout(self, request: web.Request) -> web.Response:
        pool = PoolId(request.match_info["service"])
        rollout = await self._control.rollouts.read(pool)
        return web.Response(
            body=build_rollout(rollout), content_type="application/json"
        )

    async def _take_out(self, request: web.Request) -> web.Response:
        return await self._set_domain(request, in_service=False)

    async def _bring_back(self, request: web.Request) -> web.Response:
        return await self._set_domain(request, in_service=True)

    async def _set_domain(
        self, request: web.Request, *, in_service: bool
    ) -> web.Response:
        domain = FailureDomain(request.match_info["domain"])
        await self._control.set_domain(domain, in_service=in_service)
        return web.json_response({})

    def _redirect(self, request: web.Request) -> web.Response:
        leader = self._control.leader
        host, _ = split_address(leader) if leader else ("", 0)
        own, port = split_address(self._address)
        if not host or host == own:
            return _build_error(NotLeader())
        location = f"http://{host}:{port}{request.path_qs}"
        return web.Response(status=307, headers={"Location": location})


async def _read_body(request: web.Request) -> bytes:
    return await read_body(request, max_size=MAX_BODY_BYTES)


def _build_error(error: MonsoonlugError) -> web.Response:
    document = {"code": error.code, "message": str(error)}
    return web.json_response(document, status=error.status)
