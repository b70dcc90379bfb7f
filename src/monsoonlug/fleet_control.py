"""Daemon of a control replica in an announced fleet.

In an announced fleet, backend servers register with the control replicas by heartbeats.
"""

import asyncio
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random

from monsoonlug.actions import ReadIndexConfirmed, RoleChanged
from monsoonlug.client_ports import ClientPorts
from monsoonlug.clocks import read_clock
from monsoonlug.command_levels import CommandLevels
from monsoonlug.connection_limits import SWEEP_INTERVAL
from monsoonlug.consensus import Replica
from monsoonlug.consensus_timing import ConsensusTiming
from monsoonlug.daemons import DaemonService
from monsoonlug.exceptions import (
    BadRequest,
    ControlUnreachable,
    MembershipRefused,
    NotLeader,
    StreamClosed,
)
from monsoonlug.fleet import FleetState, build_item_command
from monsoonlug.fleet_messages import DomainChanged, GroupMembers
from monsoonlug.group import ControlGroup
from monsoonlug.heartbeats import LeaseGrant, ServerHeartbeat
from monsoonlug.host_limits import HostLimits
from monsoonlug.ids import FailureDomain, ReplicaId, ServerId
from monsoonlug.items import Item, ItemKind, ItemRemoved
from monsoonlug.journal import FileStorage
from monsoonlug.links import Listener
from monsoonlug.logs import get_logger
from monsoonlug.membership import Members
from monsoonlug.membership_manager import MembershipManager
from monsoonlug.peer_links import PeerLinks
from monsoonlug.peer_messages import VoteRequest
from monsoonlug.prometheus_metrics import PrometheusMetrics
from monsoonlug.publisher import Publisher
from monsoonlug.rollout_calls import RolloutCalls
from monsoonlug.rollout_control import RolloutController, add_rollout_metrics
from monsoonlug.rollout_decisions import RolloutLimits
from monsoonlug.rollout_messages import (
    COMMAND_LEVEL,
    CommandLevelRaised,
    MemberCapabilities,
)
from monsoonlug.streams import MessageStream

ROLE = "control"
# A failover takes up to 1 s, which leases of several seconds cover. Shorter timeouts
# would start an election whenever a small host's processor or disk is briefly slow.
FLEET_TIMING = ConsensusTiming(
    heartbeat_interval=0.100,
    min_election_timeout=0.450,
    max_election_timeout=0.900,
    quorum_timeout=0.900,
    min_startup_timeout=0.100,
    max_startup_timeout=0.300,
)
DECISION_INTERVAL = 0.250  # seconds between two runs of the registrar
MEMBERSHIP_CHECK_INTERVAL = 0.200  # seconds
COMMIT_TIMEOUT = 0.900  # seconds; less than the 1 s that callers wait
READ_TIMEOUT = 0.600  # seconds
MAX_CONFIRMATION_AGE = 0.300  # seconds for which a confirmed round proves leadership

logger = get_logger("control")


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetControlSettings:
    """Settings of one control replica.

    Attributes:
        stream: Address on which it accepts streams; also its id in the group.
        seeds: Stream addresses of the replicas to contact first.
        may_bootstrap: Whether the seeds may form a new group.
        server_heartbeat_interval: Seconds between two heartbeats of a backend server.
        metrics_address: Address that serves metrics, or None.
        rollouts: Bounds on a bad version, or None if rollouts are not in use.
        host_limits: Limits of the host, and of what clients may hold.
    """

    stream: str
    data_folder: Path
    seeds: tuple[str, ...]
    may_bootstrap: bool
    server_heartbeat_interval: float
    metrics_address: str | None = None
    rollouts: RolloutLimits | None = None
    host_limits: HostLimits = HostLimits()


class FleetControlService(DaemonService):
    """Runs one control replica.

    Args:
        settings: Settings of the replica.
    """

    def __init__(self, *, settings: FleetControlSettings):
        super().__init__(logger=logger)
        self._settings = settings
        self._seeds = settings.seeds
        self._reported_members: tuple[str, ...] = ()
        self._contacts: tuple[ReplicaId, ...] = ()
        self._random = Random()
        self.metrics = PrometheusMetrics()
        self._levels = CommandLevels(own=ReplicaId(settings.stream))
        self._rollouts: RolloutController | None = None
        self.rollouts = RolloutCalls(
            is_configured=settings.rollouts is not None,
            check_leader=self._get_registrar,
            commit=self._commit,
            confirm=self.confirm_leadership,
            find_state=lambda: self._group.state,
        )
        self.ports = ClientPorts(limits=settings.host_limits, metrics=self.metrics)

    async def on_start(self) -> None:
        """Opens the data folder and starts listening."""
        settings = self._settings
        self._contacts = tuple(ReplicaId(seed) for seed in settings.seeds)
        self._open_replica()
        self._links = PeerLinks(
            own=settings.stream,
            role=ROLE,
            random=self._random,
            spawn=self._create_task,
            on_message=self._receive_from_peer,
        )
        if settings.rollouts is not None:
            self._rollouts = RolloutController(
                limits=settings.rollouts, read_time=time.time
            )
            self._spawn(self._run_periodically(DECISION_INTERVAL, self._update_level))
        self._publisher = Publisher(
            clock=read_clock,
            server_heartbeat_interval=settings.server_heartbeat_interval,
            rollouts=self._rollouts,
        )
        self._group = ControlGroup(
            replica=self._replica,
            links=self._links,
            clock=read_clock,
            on_applied=self._publisher.handle_applied,
            on_restored=self._publisher.handle_restored,
            on_role=self._handle_role,
            on_round=self._handle_round,
            on_members=self._handle_members,
            state_type=FleetState,
            reopen=self._reopen_replica,
        )
        self._publisher.group = self._group
        self._listener = Listener(
            address=settings.stream,
            role=ROLE,
            sender=settings.stream,
            serve=self._serve_stream,
            limits=self.ports.build_stream_limits(),
        )
        await self._listener.start()
        await self._start_metrics()
        self._spawn(self._group.run())
        self._spawn(self._run_periodically(DECISION_INTERVAL, self._publisher.decide))
        self._spawn(
            self._run_periodically(MEMBERSHIP_CHECK_INTERVAL, self._change_members)
        )
        self._spawn(self._run_periodically(SWEEP_INTERVAL, self.ports.close_expired))
        logger.info(
            "Control replica {} started at log index {}.",
            settings.stream,
            self._replica.commit_index,
        )

    async def on_stop(self) -> None:
        """Stops listening and closes the data folder."""
        await self._cancel_tasks()
        await self._listener.stop()
        await self.ports.stop_metrics()
        self._storage.close()
        logger.info("Control replica {} stopped.", self._settings.stream)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replaces the seeds after the settings have changed."""
        self._seeds = seeds
        self._update_contacts()

    @property
    def leader(self) -> str:
        """Stream address of the leader, or an empty string if it is unknown."""
        return self._group.leader

    @property
    def publisher(self) -> Publisher:
        """Server side of the streams to entries."""
        return self._publisher

    @property
    def group(self) -> ControlGroup:
        """The replica and its replicated state."""
        return self._group

    # Requests of backend servers and operators.

    async def handle_heartbeat(self, heartbeat: ServerHeartbeat) -> LeaseGrant | None:
        """Processes a heartbeat of a backend server.

        Returns:
            The key ranges that the server is to hold, or None if it holds no
            keys or the heartbeat is outdated.

        Raises:
            NotLeader: If this replica is not the leader.
            ControlUnreachable: If the resulting commands could not be committed.
        """
        registrar = self._get_registrar()
        commands = registrar.handle_heartbeat(read_clock(), heartbeat)
        if commands is None:
            logger.info(
                "Ignored outdated heartbeat {} of backend server {} started at {} ms.",
                heartbeat.sequence,
                heartbeat.server,
                heartbeat.born,
            )
            return None
        await self._commit_all(commands)
        await self.confirm_leadership()
        registrar = self._get_registrar()
        grant = registrar.renew_lease(read_clock(), heartbeat.server, heartbeat.born)
        self._publisher.send_notices()
        return grant

    async def handle_leave(self, server: ServerId) -> None:
        """Records that a backend server is about to shut down.

        Raises:
            NotLeader: If this replica is not the leader.
            ControlUnreachable: If the change could not be committed.
        """
        commands = self._get_registrar().handle_leave(
            read_clock(), server, unix_ms=time.time_ns() // 1_000_000
        )
        await self._commit_all(commands)
        await self.confirm_leadership()
        logger.info("Backend server {} announced its shutdown.", server)

    async def change_items(
        self, changes: list[Item | ItemRemoved], sources: list[str]
    ) -> None:
        """Applies configuration changes atomically.

        Raises:
            NotLeader: If this replica is not the leader.
            BadRequest: If the resulting configuration would be invalid.
            ControlUnreachable: If they were not committed in time; they may still be.
        """
        self._get_registrar()
        await self._commit(build_item_command(changes, sources))
        await self.confirm_leadership()
        logger.info(
            "Applied a configuration change of {} items at revision {}.",
            len(changes),
            self._group.state.view.revision,
        )

    async def list_items(self) -> list[tuple[ItemKind, str, str]]:
        """Returns kind, name and source text of all configured items.

        Raises:
            NotLeader: If this replica is not the leader.
        """
        self._get_registrar()
        await self.confirm_leadership(allow_recent=False)
        return self._group.state.list_sources()

    async def set_domain(self, domain: FailureDomain, *, in_service: bool) -> None:
        """Takes a failure domain out of service or puts it back into service.

        Raises:
            NotLeader: If this replica is not the leader.
            ControlUnreachable: If it was not committed in time; it may still be.
        """
        self._get_registrar()
        await self._commit(DomainChanged(failure_domain=domain, in_service=in_service))
        await self.confirm_leadership()
        state = "in" if in_service else "out of"
        logger.info("Failure domain {} is {} service.", domain, state)

    async def confirm_leadership(self, *, allow_recent: bool = True) -> None:
        """Waits until a majority has confirmed that this replica is the leader.

        Args:
            allow_recent: Whether a round confirmed less than `MAX_CONFIRMATION_AGE` ago
                is enough. It proves that no other replica leads, as the others wait
                longer than that before an election.

        Raises:
            NotLeader: If this replica is not the leader.
        """
        if not self._group.is_leader:
            raise NotLeader()
        if (
            allow_recent
            and read_clock() - self._replica.confirmed_at() < MAX_CONFIRMATION_AGE
        ):
            return
        await self._publisher.read_index_queue.wait(READ_TIMEOUT)

    def _open_replica(self) -> None:
        settings = self._settings
        self._storage = FileStorage(folder=settings.data_folder, detect_copies=False)
        own = ReplicaId(settings.stream)
        initial_members = [ReplicaId(seed) for seed in settings.seeds]
        self._replica = Replica(
            replica_id=own,
            members=initial_members,
            storage=self._storage,
            random=self._random,
            now=read_clock(),
            times=FLEET_TIMING,
            can_bootstrap=settings.may_bootstrap and own in initial_members,
        )
        self._replica.set_contacts(self._contacts)
        self._membership_manager = MembershipManager(
            replica=self._replica, is_responsive=self._is_responsive
        )

    def _reopen_replica(self) -> Replica:
        """Opens the data folder again after it failed, and returns its replica.

        Raises:
            SyncFailed: If it cannot be written.
        """
        self._storage.close()
        self._open_replica()
        self._storage.rewrite_journal()
        return self._replica

    async def _start_metrics(self) -> None:
        add_gauge = self.metrics.add_gauge
        add_gauge("leader", "1 on the leader.", lambda: int(self._group.is_leader))
        add_gauge(
            "halted",
            "1 while the data folder cannot be written.",
            lambda: int(self._group.is_halted),
        )
        add_gauge("term", "Term of the group.", lambda: self._replica.term)
        add_gauge("revision", "Revision.", lambda: self._group.state.view.revision)
        add_gauge("entries", "Connected entries.", lambda: self._publisher.subscribers)
        if self._rollouts is not None:
            add_rollout_metrics(
                self.metrics, self._rollouts, lambda: self._group.state.view
            )
        if self._settings.metrics_address is not None:
            await self.ports.start_metrics(self._settings.metrics_address)

    def _get_registrar(self):
        if self._publisher.registrar is None or not self._group.is_leader:
            raise NotLeader()
        return self._publisher.registrar

    async def _commit(self, command: object) -> None:
        await self._commit_all([command])

    async def _commit_all(self, commands: list) -> None:
        """Commits commands in order; all are proposed, even if one fails."""
        futures = [self._group.propose(command) for command in commands]
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT):
                results = await asyncio.gather(*map(asyncio.shield, futures))
        except TimeoutError:
            raise ControlUnreachable() from None
        for result in results:
            if not result.accepted:
                raise BadRequest(result.text)

    # Events of the group and streams of its members.

    def _handle_role(self, change: RoleChanged) -> None:
        self._levels.reset()
        self._publisher.change_role(change)

    def _handle_round(self, confirmed: ReadIndexConfirmed) -> None:
        self._publisher.confirm(confirmed)

    def _handle_members(self, members: Members) -> None:
        self._reported_members = tuple(m.replica_id for m in members.members)
        self._update_contacts()

    def _receive_from_peer(self, message: object) -> None:
        if not isinstance(message, GroupMembers):
            return
        self._reported_members = tuple(message.members)
        self._update_contacts()

    def _update_contacts(self) -> None:
        names = [*self._reported_members, *self._seeds]
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
            logger.debug("Stream from {} closed.", stream.peer)

    def _receive(self, stream: MessageStream, message: object) -> None:
        if isinstance(message, MemberCapabilities):
            self._levels.record(ReplicaId(stream.peer), message.level)
            return
        members = self._replica.members
        is_member = members.find(ReplicaId(stream.peer)) is not None
        if isinstance(message, VoteRequest) and members.members and not is_member:
            # The sender may know only some of the replicas, and not the leader.
            names = [member.replica_id for member in members.members]
            stream.send(GroupMembers(members=names))
        self._group.receive(stream.peer, message)

    def _update_level(self) -> None:
        """Reports this replica's command level, or raises that of the group."""
        now, leader = read_clock(), self._group.leader
        if self._levels.must_report(now, leader):
            link = self._links.get(leader)
            if link is not None and link.send(MemberCapabilities(level=COMMAND_LEVEL)):
                self._levels.record_sent(now, leader)
        if self._publisher.registrar is None or not self._group.is_leader:
            return
        members = [member.replica_id for member in self._replica.members.members]
        level = self._levels.find_common(members)
        if level <= self._group.state.command_level:
            return
        logger.info("All members understand the commands of level {}.", level)
        try:
            self._group.propose_all([CommandLevelRaised(level=level)])
        except NotLeader:
            logger.info("Did not raise the command level: not the leader any more.")

    def _is_responsive(self, replica: ReplicaId, seconds: float) -> bool:
        if replica == self._settings.stream:
            return True
        return self._replica.last_response_at(replica) > read_clock() - seconds

    def _change_members(self) -> None:
        self._links.retain([*self._contacts, *self._replica.refused_identities])
        if not self._group.is_leader:
            return
        try:
            change = self._membership_manager.choose_change()
            if change is not None:
                self._group.change_members(change.change, *change.arguments)
        except (MembershipRefused, NotLeader) as error:
            logger.info("Did not change the group's members: {}.", error)

    def _create_task(self, coroutine) -> asyncio.Task:
        return asyncio.get_running_loop().create_task(coroutine)
