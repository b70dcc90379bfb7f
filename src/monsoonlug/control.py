"""Daemon of a control replica."""

import asyncio
import contextlib
import time
from random import Random

from aiohttp import web

from monsoonlug.consensus import Replica
from monsoonlug.coordinator import DECIDE_INTERVAL
from monsoonlug.daemons import DaemonService
from monsoonlug.entry_streams import EntryStreams
from monsoonlug.exceptions import StreamClosed
from monsoonlug.group import ControlGroup
from monsoonlug.ids import ReplicaId
from monsoonlug.journal import FileStorage
from monsoonlug.links import Link, Listener
from monsoonlug.logs import get_logger
from monsoonlug.operator_interface import OperatorInterface
from monsoonlug.settings import ControlSettings, Member, split_address
from monsoonlug.statsd_metrics import open_statsd_client
from monsoonlug.streams import MessageStream

ROLE = "control"
METRICS_INTERVAL = 1.0  # seconds

logger = get_logger("control")


class ControlService(DaemonService):
    """Runs a control replica: its log, its streams and the operators' interface.

    Args:
        settings: Settings of the replica.
    """

    def __init__(self, *, settings: ControlSettings):
        super().__init__(logger=logger)
        self._settings = settings

    async def on_start(self) -> None:
        """Opens the data folder and starts listening."""
        settings = self._settings
        own_member = _find_own_member(settings)
        random = Random()
        # The storage locks the data folder, so no second process can use it.
        self._storage = FileStorage(folder=settings.data_folder)
        replica = Replica(
            replica_id=ReplicaId(settings.replica),
            members=[ReplicaId(member.replica) for member in settings.members],
            storage=self._storage,
            random=random,
            now=time.monotonic(),
        )
        links = self._build_links(random)
        self._entry_streams = EntryStreams(clock=time.monotonic)
        self._group = ControlGroup(
            replica=replica,
            links=links,
            clock=time.monotonic,
            on_applied=self._entry_streams.handle_applied,
            on_restored=self._entry_streams.handle_restored,
            on_role=self._entry_streams.change_role,
            on_round=self._entry_streams.confirm,
        )
        self._entry_streams.group = self._group
        self._listener = Listener(
            address=own_member.stream,
            role=ROLE,
            sender=settings.replica,
            serve=self._serve_stream,
        )
        await self._listener.start()
        await self._start_operator_interface(own_member.operators)
        self._metrics = open_statsd_client(
            settings.statsd, daemon=f"control.{settings.replica}"
        )
        for link in links.values():
            self._spawn(link.run())
        self._spawn(self._group.run())
        self._spawn(self._run_decisions())
        self._spawn(self._send_metrics())
        logger.info("Replica {} listens at {}.", settings.replica, own_member.stream)

    async def on_stop(self) -> None:
        """Stops listening and closes the data folder."""
        await self._cancel_tasks()
        await self._web_runner.cleanup()
        await self._listener.stop()
        self._storage.close()
        logger.info("Replica {} stopped.", self._settings.replica)

    def _build_links(self, random: Random) -> dict[ReplicaId, Link]:
        links = {}
        for member in self._settings.members:
            if member.replica == self._settings.replica:
                continue
            links[ReplicaId(member.replica)] = Link(
                address=member.stream,
                role=ROLE,
                sender=self._settings.replica,
                on_message=_ignore,
                random=random,
            )
        return links

    async def _start_operator_interface(self, address: str) -> None:
        interface = OperatorInterface(
            group=self._group,
            members=self._settings.members,
            confirm=self._entry_streams.wait_confirmed,
            collect_reports=self._entry_streams.collect_reports,
        )
        self._web_runner = web.AppRunner(interface.build_app(), access_log=None)
        await self._web_runner.setup()
        host, port = split_address(address)
        await web.TCPSite(self._web_runner, host, port).start()

    async def _serve_stream(self, stream: MessageStream) -> None:
        if stream.peer_role != ROLE:
            await self._entry_streams.serve(stream)
            return
        with contextlib.suppress(StreamClosed):
            async for message in stream.iterate():
                self._group.receive(stream.peer, message)

    async def _run_decisions(self) -> None:
        while True:
            await asyncio.sleep(DECIDE_INTERVAL)
            self._entry_streams.decide()

    async def _send_metrics(self) -> None:
        while True:
            await asyncio.sleep(METRICS_INTERVAL)
            state = self._group.state
            self._metrics.gauge("leader", int(self._group.is_leader))
            self._metrics.gauge("term", self._group.replica.term)
            self._metrics.gauge("revision", state.view.revision)
            self._metrics.gauge("config_revision", state.view.config_revision)
            self._metrics.gauge("entries", self._entry_streams.subscribers)
            self._metrics.gauge("damaged_frames", self._listener.damaged_frames)


def _find_own_member(settings: ControlSettings) -> Member:
    return next(item for item in settings.members if item.replica == settings.replica)


def _ignore(message: object) -> None:
    """Ignores a message on an outgoing stream; a peer responds on its own stream."""
