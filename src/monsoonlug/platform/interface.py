"""The platform's calls to control: heartbeats, configuration, evacuations."""

from collections.abc import Awaitable, Callable

from aiohttp import web

from monsoonlug.exceptions import (
    BadRequest,
    ControlUnreachable,
    MonsoonlugError,
    NotLeader,
)
from monsoonlug.fleet_control import FleetControlService
from monsoonlug.ids import FailureDomain, ServerId
from monsoonlug.logs import get_logger
from monsoonlug.platform.documents import (
    build_beat_answer,
    build_items,
    read_beat,
    read_patch,
)
from monsoonlug.settings import split_address

HEARTBEAT = "/monsoonlug/Instances.Heartbeat/{server}"
LEAVE = "/monsoonlug/Instances.Leave/{server}"
CHANGE = "/monsoonlug/Config.Patch"
READ = "/monsoonlug/Config.Get"
TAKE_OUT = "/monsoonlug/Evacuations.Start/{domain}"
BRING_BACK = "/monsoonlug/Evacuations.End/{domain}"
MAX_BODY = 32 * 1_048_576  # bytes

logger = get_logger("interface")


class ControlInterface:
    """Answers servers and operators.

    Args:
        control: The daemon that decides.
        address: Address of this interface; its port is the same on all machines.
    """

    def __init__(self, *, control: FleetControlService, address: str):
        self._control = control
        self._address = address

    async def start(self) -> web.AppRunner:
        """Starts to listen."""
        app = web.Application(client_max_size=MAX_BODY)
        app.add_routes(
            [
                web.post(HEARTBEAT, self._guard(self._take_beat)),
                web.post(LEAVE, self._guard(self._take_leave)),
                web.post(CHANGE, self._guard(self._change)),
                web.get(READ, self._guard(self._read)),
                web.post(TAKE_OUT, self._guard(self._take_out)),
                web.post(BRING_BACK, self._guard(self._bring_back)),
            ]
        )
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        host, port = split_address(self._address)
        await web.TCPSite(runner, host, port, backlog=512).start()
        return runner

    def _guard(
        self, handle: Callable[[web.Request], Awaitable[web.Response]]
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        kind = handle.__name__.strip("_")

        async def guarded(request: web.Request) -> web.Response:
            outcome = "done"
            try:
                return await handle(request)
            except NotLeader as error:
                outcome = error.code
                return self._redirect(request)
            except (BadRequest, ControlUnreachable) as error:
                outcome = error.code
                logger.info("Refused {}: {} ({}).", request.path, error.code, error)
                return _build_error(error)
            finally:
                self._control.instruments.count_call(kind, outcome)

        return guarded

    async def _take_beat(self, request: web.Request) -> web.Response:
        beat = read_beat(request.match_info["server"], await request.read())
        answer = await self._control.beat(beat)
        path = request.path
        body = build_beat_answer(answer, f"http://{self._address}{path}")
        return web.Response(body=body, content_type="application/json")

    async def _take_leave(self, request: web.Request) -> web.Response:
        await self._control.leave(ServerId(request.match_info["server"]))
        return web.json_response({})

    async def _change(self, request: web.Request) -> web.Response:
        changes, sources = read_patch(await request.read())
        await self._control.change_items(changes, sources)
        return web.json_response({})

    async def _read(self, request: web.Request) -> web.Response:
        sources = await self._control.list_items()
        return web.Response(body=build_items(sources), content_type="application/json")

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


def _build_error(error: MonsoonlugError) -> web.Response:
    document = {"code": error.code, "message": str(error)}
    return web.json_response(document, status=error.status)
