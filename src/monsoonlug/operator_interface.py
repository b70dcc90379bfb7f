"""The operators' interface: the HTTP and JSON API of a control replica."""

import asyncio
import json
import re
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict

from aiohttp import web

from monsoonlug.burn_rate import HostReport, find_window, merge_reports
from monsoonlug.catalogue import Catalogue
from monsoonlug.commands import (
    ApplyCatalogue,
    CommandResult,
    CommandStatus,
    OperatorCommand,
    RestoreKey,
    SetService,
    WithdrawKey,
)
from monsoonlug.consensus import Replica
from monsoonlug.exceptions import (
    BadRequest,
    ControlUnreachable,
    InvalidFile,
    MonsoonlugError,
    NotLeader,
    OperatorError,
    RevisionConflict,
)
from monsoonlug.group import ControlGroup
from monsoonlug.ids import (
    ChangeId,
    ReplicaId,
    Revision,
    RouteId,
    ServiceKind,
    SliceState,
)
from monsoonlug.json_documents import InvalidJson, parse_json
from monsoonlug.logs import get_logger
from monsoonlug.membership import BoundMember, MemberRole
from monsoonlug.settings import Member, check_document

COMMIT_TIMEOUT = 1.5  # seconds; then the response is `ControlUnreachable`
MAX_CHANGE_ID_LENGTH = 64  # characters
POLL_INTERVAL = 0.010  # seconds between checks of a pending membership change

_KEY_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")

logger = get_logger("operators")


class OperatorInterface:
    """HTTP handlers of the operators' interface.

    Args:
        group: Driver of this control replica.
        members: Settings of all control replicas.
        confirm: Waits until a majority has confirmed that this replica is the leader.
        collect_reports: Returns the reports of the entries that respond in time.
    """

    def __init__(
        self,
        *,
        group: ControlGroup,
        members: list[Member],
        confirm: Callable[[], Awaitable[None]],
        collect_reports: Callable[[], Awaitable[list[HostReport]]],
    ):
        self._group = group
        self._members = {member.replica: member.operators for member in members}
        self._confirm = confirm
        self._collect_reports = collect_reports

    def build_app(self) -> web.Application:
        """Returns the web application."""
        app = web.Application(middlewares=[self._convert_errors])
        app.add_routes(
            [
                web.get("/live", self._show_live),
                web.get("/v1/status", self._show_status),
                web.get("/v1/catalogue", self._show_catalogue),
                web.get("/v1/report", self._show_report),
                web.post("/v1/changes", self._handle_change),
                web.post("/v1/members", self._handle_membership_change),
            ]
        )
        return app

    @web.middleware
    async def _convert_errors(self, request, handler):
        try:
            return await handler(request)
        except NotLeader as error:
            leader = self._members.get(self._group.replica.leader)
            document = _describe_error(error) | {"leader": leader}
            return web.json_response(document, status=error.status)
        except MonsoonlugError as error:
            return web.json_response(_describe_error(error), status=error.status)

    async def _show_live(self, request) -> web.Response:
        return web.json_response({"live": True})

    async def _show_status(self, request) -> web.Response:
        await self._confirm()
        return web.json_response(_describe_group(self._group))

    async def _show_catalogue(self, request) -> web.Response:
        await self._confirm()
        document = self._group.state.view.catalogue.model_dump(mode="json")
        return web.json_response(document)

    async def _show_report(self, request) -> web.Response:
        await self._confirm()
        view = self._group.state.view
        report = merge_reports(
            await self._collect_reports(),
            hosts=view.hosts,
            objectives={route.name: route.objective for route in view.catalogue.routes},
        )
        document = asdict(report)
        route = request.query.get("route")
        if route:
            document["routes"] = [asdict(report.find_route(RouteId(route)))]
        window = request.query.get("window")
        if window:
            label = find_window(window).label
            for row in document["routes"]:
                row["burn_rates"] = {label: row["burn_rates"][label]}
        document["text"] = report.format_table()
        return web.json_response(document)

    async def _handle_change(self, request) -> web.Response:
        document = await _read_object(request)
        command = _build_command(document)
        if not self._group.is_leader:
            raise NotLeader()
        try:
            proposal = self._group.propose(command)
            result = await asyncio.wait_for(proposal, COMMIT_TIMEOUT)
        except TimeoutError:
            raise ControlUnreachable() from None
        logger.info(
            "Configuration change {} ({}) requested by {}: {}.",
            command.change_id,
            type(command).__name__,
            request.remote,
            result.status.value,
        )
        return _build_result_response(result)

    async def _handle_membership_change(self, request) -> web.Response:
        document = await _read_object(request)
        replica = self._group.replica
        changes = {
            "add-learner": (replica.add_learner, ("replica", "identity")),
            "promote": (replica.promote, ("replica",)),
            "remove": (replica.remove, ("replica",)),
        }
        change = changes.get(document.get("kind"))
        if change is None:
            raise BadRequest(f"kind must be one of {', '.join(changes)}")
        function, names = change
        arguments = [_read_text(document, name) for name in names]
        if not self._group.is_leader:
            raise NotLeader()
        # A change may be repeated because its first response was lost.
        if not _is_already_made(replica, document):
            self._group.change_members(function, *arguments)
            logger.info(
                "Membership change ({} {}) requested by {} was proposed.",
                document["kind"],
                arguments[0],
                request.remote,
            )
        await self._wait_until_committed()
        response = {"replica": arguments[0], "kind": document["kind"], "accepted": True}
        return web.json_response(response)

    async def _wait_until_committed(self) -> None:
        replica = self._group.replica
        term = replica.term
        deadline = time.monotonic() + COMMIT_TIMEOUT
        while replica.has_pending_change:
            if time.monotonic() > deadline or replica.term != term:
                raise ControlUnreachable()
            await asyncio.sleep(POLL_INTERVAL)
        if replica.term != term:
            raise ControlUnreachable()


def _build_command(document: dict) -> OperatorCommand:
    kind = document.get("kind")
    change_id = ChangeId(_read_text(document, "change_id"))
    base = document.get("base")
    if len(change_id) > MAX_CHANGE_ID_LENGTH:
        raise BadRequest(
            f"change_id has {len(change_id)} characters; at most "
            f"{MAX_CHANGE_ID_LENGTH} are allowed"
        )
    if not isinstance(base, int) or isinstance(base, bool):
        raise BadRequest("base must be a configuration revision, as an integer")
    common_fields = {"change_id": change_id, "base": Revision(base)}
    match kind:
        case "apply-catalogue":
            return ApplyCatalogue(text=_read_catalogue(document), **common_fields)
        case "set-service":
            return _build_service_change(document, common_fields)
        case "withdraw-key":
            return WithdrawKey(key_digest=_read_digest(document), **common_fields)
        case "restore-key":
            return RestoreKey(key_digest=_read_digest(document), **common_fields)
    raise BadRequest(
        "kind must be one of apply-catalogue, set-service, withdraw-key, restore-key"
    )


def _is_already_made(replica: Replica, document: dict) -> bool:
    name = ReplicaId(document["replica"])
    if document["kind"] == "promote":
        # A voter that lost its data folder is still listed as a voter.
        return replica.is_repaired(name)
    member = replica.members.find(name)
    if member is None:
        return False
    if document["kind"] == "add-learner":
        is_same = member.identity == document["identity"]
        return is_same and member.role is MemberRole.LEARNER
    return False


def _build_service_change(document: dict, common_fields: dict) -> SetService:
    try:
        target = ServiceKind(document.get("target"))
    except ValueError:
        kinds = ", ".join(kind.value for kind in ServiceKind)
        raise BadRequest(f"target must be one of {kinds}") from None
    in_service = document.get("in_service")
    if not isinstance(in_service, bool):
        raise BadRequest("in_service must be true or false")
    name = _read_text(document, "name")
    return SetService(kind=target, name=name, in_service=in_service, **common_fields)


def _read_catalogue(document: dict) -> str:
    checked = check_document(document.get("catalogue"), Catalogue, file="catalogue")
    return json.dumps(checked.model_dump(mode="json"), sort_keys=True)


def _read_text(document: dict, name: str) -> str:
    value = document.get(name)
    if not isinstance(value, str) or not value:
        raise BadRequest(f"{name} must be a string of at least one character")
    return value


def _read_digest(document: dict) -> str:
    digest = _read_text(document, "digest")
    # An operator may send the key itself by mistake. It must not get into the
    # replicated log.
    if not _KEY_DIGEST_PATTERN.fullmatch(digest):
        raise BadRequest(
            "digest must be 64 lower-case hexadecimal digits (SHA-256 of the key)"
        )
    return digest


async def _read_object(request) -> dict:
    try:
        document = parse_json(await request.read())
    except InvalidJson as error:
        raise BadRequest(f"the request body is not valid JSON: {error}") from None
    if not isinstance(document, dict):
        raise BadRequest("the request body must be a JSON object")
    return document


def _build_result_response(result: CommandResult) -> web.Response:
    document = {
        "status": result.status.value,
        "config_revision": result.revision,
        "message": result.text,
    }
    match result.status:
        case CommandStatus.ACCEPTED:
            return web.json_response(document)
        case CommandStatus.CONFLICT:
            document |= {"code": RevisionConflict.code, "difference": result.conflicts}
            return web.json_response(document, status=409)
    document["code"] = OperatorError.code
    return web.json_response(document, status=400)


def _describe_error(error: MonsoonlugError) -> dict:
    document = {"code": error.code, "message": str(error)}
    if isinstance(error, InvalidFile):
        document["problems"] = [str(problem) for problem in error.problems]
    return document


def _describe_group(group: ControlGroup) -> dict:
    view = group.state.view
    replica = group.replica
    refused_replicas = [
        {"replica": name, "identity": identity}
        for name, identity in replica.refused_identities.items()
        if not replica.members.accepts(name, identity)
    ]
    hosts = [
        {
            "host": item.host,
            "failure_domain": item.failure_domain,
            "in_service": view.is_in_service(item),
        }
        for item in view.hosts.values()
    ]
    out_of_service = [f"{kind.value} {name}" for kind, name in view.out_of_service]
    return {
        "config_revision": view.config_revision,
        "revision": view.revision,
        "leader": replica.leader,
        "term": replica.term,
        "replicas": [_describe_member(group, m) for m in replica.members.members],
        "refused_replicas": refused_replicas,
        "hosts": hosts,
        "backend_servers": [_describe_server(view, item) for item in view.servers],
        "pools": [_describe_pool(view, pool) for pool in view.slices],
        "record_shards": _describe_shards(view),
        "out_of_service": sorted(out_of_service),
        "withdrawn_keys": len(view.withdrawn),
    }


def _describe_member(group: ControlGroup, member: BoundMember) -> dict:
    return {
        "replica": member.replica_id,
        "role": member.role.name.lower(),
        "repaired": group.replica.is_repaired(member.replica_id),
        "identity": member.identity,
    }


def _describe_server(view, server) -> dict:
    record = view.servers[server]
    gate = view.gates.get(server)
    table = view.slices.get(record.pool)
    return {
        "backend_server": server,
        "pool": record.pool,
        "failure_domain": record.failure_domain,
        "in_service": view.is_in_service(record),
        "draining": record.draining,
        "gate": gate.host if gate else None,
        "slices": table.count_held(server) if table else None,
    }


def _describe_shards(view) -> dict:
    copied = sum(record.backup_ready for record in view.shards.values())
    return {"copied": copied, "not_copied": len(view.shards) - copied}


def _describe_pool(view, pool) -> dict:
    table = view.slices[pool]
    counts = {state.name.lower(): table.count_state(state) for state in SliceState}
    return {"pool": pool, "overrides": len(table.overrides)} | counts
