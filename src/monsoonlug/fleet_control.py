"""The daemon of a control replica of a fleet that announces itself to control."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from random import Random

from monsoonlug import messages
from monsoonlug.actions import ReadIndexConfirmed, Role, RoleChanged
from monsoonlug.clocks import read_clock
from monsoonlug.consensus import Replica
from monsoonlug.daemons import DaemonService
from monsoonlug.exceptions import (
    BadRequest,
    ControlUnreachable,
    MembershipRefused,
    NotLeader,
    StreamClosed,
)
from monsoonlug.fleet import FleetState
from monsoonlug.fleet_messages import ChangeItems, DomainChanged, GroupMembers
from monsoonlug.group import ControlGroup
from monsoonlug.heartbeats import LeaseGrant, ServerHeartbeat
from monsoonlug.ids import FailureDomain, ReplicaId, ServerId
from monsoonlug.instruments import Instruments
from monsoonlug.items import Item, ItemKind, ItemRemoved
from monsoonlug.journal import FileStorage
from monsoonlug.links import Link, Listener
from monsoonlug.logs import get_logger
from monsoonlug.membership import Members
from monsoonlug.membership_manager import MembershipManager
from monsoonlug.peer_messages import VoteRequest
from monsoonlug.publisher import Publisher
from monsoonlug.streams import MessageStream
from monsoonlug.timing import ConsensusTimes

ROLE = "control"
# Failover takes up to a second, which leases of seconds cover. Shorter times would
# start elections whenever a small host's processor or disk is slow for a moment.
FLEET_TIMES = ConsensusTimes(
    heartbeat=0.100,
    election_min=0.450,
    election_max=0.900,
    quorum=0.900,
    start_min=0.100,
    start_max=0.300,
)
DECIDE_INTERVAL = 0.250  # seconds
KEEP_INTERVAL = 0.200  # seconds between two decisions on the members
COMMIT_TIMEOUT = 0.900  # seconds; callers wait for one second
READ_TIMEOUT = 0.600  # seconds
FRESH_FOR = 0.300  # seconds for which a confirmed round proves the leadership

logger = get_logger("control")


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetControlSettings:
    """Settings of one control replica.

    Attributes:
        stream: Address of its streams, which is also its id in the group.
        seeds: Stream addresses of replicas to begin with.
        can_bootstrap: Whether the seeds form a new group.
        period: Seconds between two heartbeats of a backend server.
        metrics: Where counters and histograms are served, or None.
    """

    stream: str
    data_folder: Path
    seeds: tuple[str, ...]
    can_bootstrap: bool
    period: float
    metrics: str | None = None


class PeerLinks(Mapping[ReplicaId, Link]):
    """Streams to other replicas, opened when they are first used.

    Args:
        own: Stream address of this replica.
        random: Source of the jitter between attempts.
        spawn: Runs a coroutine in the background.
        on_message: Called with what a peer sends back.
    """

    def __init__(
        self,
        *,
        own: str,
        random: Random,
        spawn: Callable[..., asyncio.Task],
        on_message: Callable[[object], None],
    ):
        self._own = own
        self._random = random
        self._spawn = spawn
        self._on_message = on_message
        self._links: dict[ReplicaId, Link] = {}
        self._tasks: dict[ReplicaId, asyncio.Task] = {}

    def __getitem__(self, name: ReplicaId) -> Link:
        if name == self._own:
            raise KeyError(name)
        link = self._links.get(name)
        if link is None:
            link = Link(
                address=name,
                role=ROLE,
                sender=self._own,
                on_message=self._on_message,
                random=self._random,
            )
            self._links[name] = link
            self._tasks[name] = self._spawn(link.run())
        return link

    def __iter__(self):
        return iter(self._links)

    def __len__(self) -> int:
        return len(self._links)

    def keep(self, names: Iterable[ReplicaId]) -> None:
        """Closes the streams to all other replicas."""
        for name in set(self._links) - set(names):
            del self._links[name]
            self._tasks.pop(name).cancel()


class FleetControlService(DaemonService):
    """Runs one control replica.

    Args:
        settings: Settings of the replica.
    """

    def __init__(self, *, settings: FleetControlSettings):
        super().__init__(logger=logger)
        self._settings = settings
        self._seeds = settings.seeds
        self._told: tuple[str, ...] = ()
        self._contacts: tuple[ReplicaId, ...] = ()
        self.instruments = Instruments()

    async def on_start(self) -> None:
        """Opens the data folder and starts to listen."""
        settings = self._settings
        random = Random()
        self._storage = FileStorage(folder=settings.data_folder, detect_copies=False)
        own = ReplicaId(settings.stream)
        founders = [ReplicaId(seed) for seed in settings.seeds]
        self._contacts = tuple(founders)
        self._replica = Replica(
            replica_id=own,
            members=founders,
            storage=self._storage,
            random=random,
            now=read_clock(),
            times=FLEET_TIMES,
            can_bootstrap=settings.can_bootstrap and own in founders,
        )
        self._links = PeerLinks(
            own=settings.stream,
            random=random,
            spawn=self._start_task,
            on_message=self._take_told,
        )
        self._publisher = Publisher(clock=read_clock, period=settings.period)
        self._group = ControlGroup(
            replica=self._replica,
            links=self._links,
            clock=read_clock,
            on_applied=self._publisher.handle_applied,
            on_restored=self._publisher.handle_restored,
            on_role=self._change_role,
            on_round=self._confirm,
            on_members=self._take_members,
            state_type=FleetState,
        )
        self._publisher.group = self._group
        self._keeper = MembershipManager(
            replica=self._replica, is_responsive=self._is_heard
        )
        self._listener = Listener(
            address=settings.stream,
            role=ROLE,
            sender=settings.stream,
            serve=self._serve_stream,
        )
        await self._listener.start()
        await self._start_metrics()
        self._spawn(self._group.run())
        self._spawn(self._decide())
        self._spawn(self._keep_members())
        logger.info(
            "Replica {} started at index {} of its log.",
            settings.stream,
            self._replica.commit_index,
        )

    async def on_stop(self) -> None:
        """Stops to listen and closes the data folder."""
        await self._cancel_tasks()
        await self._listener.stop()
        await self.instruments.stop()
        self._storage.close()
        logger.info("Replica {} stopped.", self._settings.stream)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Takes the seeds of changed settings."""
        self._seeds = seeds
        self._update_contacts()

    @property
    def leader(self) -> str:
        """Stream address of the leader as far as it is known, or an empty string."""
        return self._replica.leader

    @property
    def publisher(self) -> Publisher:
        """The streams to entries."""
        return self._publisher

    @property
    def group(self) -> ControlGroup:
        """The replica with its state."""
        return self._group

    # What backend servers and operators ask for.

    async def beat(self, beat: ServerHeartbeat) -> LeaseGrant | None:
        """Takes a heartbeat of a backend server.

        Returns:
            What the server is to hold, or None if it holds no keys.

        Raises:
            NotLeader: If this replica does not lead.
            ControlUnreachable: If what the heartbeat says could not be committed.
        """
        registrar = self._get_registrar()
        commands = registrar.handle_heartbeat(read_clock(), beat)
        if commands is None:
            logger.info(
                "Late heartbeat {} of backend server {}, born {}.",
                beat.sequence,
                beat.server,
                beat.born,
            )
            return None
        for command in commands:
            await self._commit(command)
        await self.confirm()
        registrar = self._get_registrar()
        answer = registrar.renew_lease(read_clock(), beat.server, beat.born)
        self._publisher.send_notices()
        return answer

    async def leave(self, server: ServerId) -> None:
        """Takes that a backend server is about to end.

        Raises:
            NotLeader: If this replica does not lead.
            ControlUnreachable: If it could not be committed.
        """
        for command in self._get_registrar().handle_leave(server):
            await self._commit(command)
        await self.confirm()
        logger.info("Backend server {} leaves.", server)

    async def change_items(
        self, changes: list[Item | ItemRemoved], sources: list[str]
    ) -> None:
        """Puts changes of the configuration in force, all or none.

        Raises:
            NotLeader: If this replica does not lead.
            BadRequest: If the configuration would not be valid.
            ControlUnreachable: If they could not be committed; they may be later.
        """
        self._get_registrar()
        command = ChangeItems(
            changes=[messages.encode(change) for change in changes], sources=sources
        )
        await self._commit(command)
        await self.confirm()
        logger.info(
            "Configuration with {} items is in force at revision {}.",
            len(changes),
            self._group.state.view.revision,
        )

    async def list_items(self) -> list[tuple[ItemKind, str, str]]:
        """Returns kind, name and text of all items in force.

        Raises:
            NotLeader: If this replica does not lead.
        """
        self._get_registrar()
        await self.confirm(fresh=False)
        return self._group.state.list_sources()

    async def set_domain(self, domain: FailureDomain, *, in_service: bool) -> None:
        """Takes a failure domain out of service or back.

        Raises:
            NotLeader: If this replica does not lead.
            ControlUnreachable: If it could not be committed; it may be later.
        """
        self._get_registrar()
        await self._commit(DomainChanged(failure_domain=domain, in_service=in_service))
        await self.confirm()
        state = "in" if in_service else "out of"
        logger.info("Failure domain {} is {} service.", domain, state)

    async def confirm(self, *, fresh: bool = True) -> None:
        """Waits until a majority has confirmed that this replica leads.

        Args:
            fresh: Whether a round of the last moments is enough. It proves that no
                other replica leads, as the others wait longer before an election.

        Raises:
            NotLeader: If it does not lead.
        """
        if not self._group.is_leader:
            raise NotLeader()
        if fresh and read_clock() - self._replica.confirmed_at() < FRESH_FOR:
            return
        await self._publisher.rounds.wait(READ_TIMEOUT)

    async def _start_metrics(self) -> None:
        watch = self.instruments.watch
        watch("leader", "1 on the leader.", lambda: int(self._group.is_leader))
        watch("term", "Term of the group.", lambda: self._replica.term)
        watch("revision", "Revision.", lambda: self._group.state.view.revision)
        watch("entries", "Connected entries.", lambda: self._publisher.subscribers)
        if self._settings.metrics is not None:
            await self.instruments.start(self._settings.metrics)

    def _get_registrar(self):
        if self._publisher.registrar is None or not self._group.is_leader:
            raise NotLeader()
        return self._publisher.registrar

    async def _commit(self, command: object) -> None:
        future = self._group.propose(command)
        try:
            answer = await asyncio.wait_for(asyncio.shield(future), COMMIT_TIMEOUT)
        except TimeoutError:
            raise ControlUnreachable() from None
        if not answer.accepted:
            raise BadRequest(answer.text)

    # The group.

    def _change_role(self, change: RoleChanged) -> None:
        self._publisher.change_role(change)

    def _confirm(self, confirmed: ReadIndexConfirmed) -> None:
        self._publisher.confirm(confirmed)

    def _take_members(self, members: Members) -> None:
        self._told = tuple(m.replica_id for m in members.members)
        self._update_contacts()

    def _take_told(self, message: object) -> None:
        if not isinstance(message, GroupMembers):
            return
        self._told = tuple(message.members)
        self._update_contacts()

    def _update_contacts(self) -> None:
        names = [*self._told, *self._seeds]
        self._contacts = tuple(ReplicaId(name) for name in dict.fromkeys(names))
        self._replica.set_contacts(self._contacts)

    async def _serve_stream(self, stream: MessageStream) -> None:
        if stream.peer_role != ROLE:
            await self._publisher.serve(stream)
            return
        try:
            async for message in stream.iterate():
                self._receive(stream, message)
        except StreamClosed:
            logger.debug("Stream of {} is closed.", stream.peer)

    def _receive(self, stream: MessageStream, message: object) -> None:
        members = self._replica.members
        is_known = members.find(ReplicaId(stream.peer)) is not None
        if isinstance(message, VoteRequest) and members.members and not is_known:
            # The sender may know only some replicas, none of which leads.
            names = [member.replica_id for member in members.members]
            stream.send(GroupMembers(members=names))
        self._group.receive(stream.peer, message)

    def _is_heard(self, replica: ReplicaId, seconds: float) -> bool:
        if replica == self._settings.stream:
            return True
        return self._replica.last_response_at(replica) > read_clock() - seconds

    async def _keep_members(self) -> None:
        while True:
            await asyncio.sleep(KEEP_INTERVAL)
            self._links.keep([*self._contacts, *self._replica.refused_identities])
            if self._replica.role is not Role.LEADER:
                continue
            try:
                change = self._keeper.choose_change()
                if change is not None:
                    self._group.change_members(change.change, *change.arguments)
            except (MembershipRefused, NotLeader) as error:
                logger.info("Members stay as they are: {}.", error)

    async def _decide(self) -> None:
        while True:
            await asyncio.sleep(DECIDE_INTERVAL)
            self._publisher.decide()

    def _start_task(self, coroutine) -> asyncio.Task:
        return asyncio.get_running_loop().create_task(coroutine)
