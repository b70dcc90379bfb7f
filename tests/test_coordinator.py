"""Tests of the coordinator, in a simulated fleet and in isolation."""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from monsoonlug.commands import (
    AppointGate,
    AssignShard,
    ConfirmBackup,
    DeregisterHost,
    DeregisterServer,
    RegisterServer,
    SetService,
)
from monsoonlug.coordinator import OBSERVATION_TIMEOUT, PROPOSAL_TIMEOUT, Coordinator
from monsoonlug.ids import ServiceKind, SliceState
from monsoonlug.messages import BackupReady, ServerAnnounced, ServerLost
from monsoonlug.sessions import SESSION_TIMEOUT, SessionTable
from tests.fleet_builder import POOL, FleetBuilder
from tests.simulation import SAMPLED_SLICES, World

MAX_RECOVERY_TIME = 1.0  # seconds until every key is served after a tolerated loss
SETTLE_TIMEOUT = 12.0  # seconds for all moves to finish once all faults are over

HOSTS = st.sampled_from(["h0", "h1", "h2", "h3"])
SERVERS = st.sampled_from(["s0", "s1", "s2", "s3", "s4", "s5"])
KINDS = st.sampled_from(ServiceKind)
DOMAINS = st.sampled_from(["d0", "d1", "d2", "d3"])


class FleetMachine(RuleBasedStateMachine):
    """Injects faults at any time; the world checks its oracle after each event."""

    @initialize(seed=st.integers(0, 2**32), loss=st.sampled_from([0.0, 0.01, 0.05]))
    def begin(self, seed, loss):
        self.world = World(seed=seed, loss=loss)
        self.world.run(0.5)

    @rule(seconds=st.floats(0.01, 0.8))
    def wait(self, seconds):
        self.world.run(seconds)

    @rule(name=HOSTS, seconds=st.floats(0.05, 1.5))
    def pause_host(self, name, seconds):
        self.world.hosts[name].paused_until = self.world.time + seconds
        self.world.run(0.05)

    @rule(name=SERVERS, seconds=st.floats(0.05, 1.5))
    def freeze_server(self, name, seconds):
        self.world.servers[name].paused_until = self.world.time + seconds
        self.world.run(0.05)

    @rule(name=HOSTS)
    def restart_host(self, name):
        self.world.restart(self.world.hosts, name)

    @rule(name=SERVERS)
    def restart_server(self, name):
        self.world.restart(self.world.servers, name)

    @rule(gap=st.floats(0.15, 0.31), domain=DOMAINS)
    def change_leader(self, gap, domain):
        self.world.depose(gap, domain)

    @rule(name=HOSTS, leaving=st.booleans())
    def leave(self, name, leaving):
        self.world.hosts[name].leaving = leaving

    @rule(name=SERVERS, draining=st.booleans())
    def drain(self, name, draining):
        self.world.servers[name].phase = "draining" if draining else "warm"

    @rule(
        kind=st.sampled_from(ServiceKind), number=st.integers(0, 3), back=st.booleans()
    )
    def set_service(self, kind, number, back):
        prefix = {ServiceKind.HOST: "h", ServiceKind.BACKEND_SERVER: "s"}.get(kind, "d")
        name = f"{prefix}{number}"
        self.world.change(SetService, kind=kind, name=name, in_service=back)

    def teardown(self):
        world = getattr(self, "world", None)
        if world is None:
            return
        for kind, name in list(world.view.out_of_service):
            world.change(SetService, kind=kind, name=name, in_service=True)
        for host in world.hosts.values():
            host.leaving = False
        for server in world.servers.values():
            server.phase = "warm"
        world.loss = 0.0

        def is_settled():
            table = world.view.slices[POOL]
            owned = table.count_state(SliceState.OWNED) == 65_536
            if not owned or len(world.view.gates) < len(world.servers):
                return False
            held = [table.count_held(name) for name in world.servers]
            return max(held) - min(held) <= 1 and world.serves_all()

        assert world.run(SETTLE_TIMEOUT, until=is_settled), (
            f"moves did not finish within {SETTLE_TIMEOUT} s"
        )


TestFleet = FleetMachine.TestCase
TestFleet.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=5,
    stateful_step_count=20,
    phases=[Phase.generate],  # a run takes a second, so shrinking would take minutes
    suppress_health_check=list(HealthCheck),
)


def start_world(seed, **options):
    world = World(seed=seed, **options)
    assert world.run(3.0, until=world.serves_all)
    world.run(2.0)
    return world


def kill_domain(world, domain):
    """Kills every process of a failure domain, including the leader if it is there."""
    for node in [*world.hosts.values(), *world.servers.values()]:
        if node.domain == domain:
            node.alive = False
    leader = world.leader
    if leader.domain == domain:
        leader.alive = False
        world.depose(0.310, "d1")  # longest election time-out plus one vote round


def measure_recovery(world):
    lost = world.time
    assert world.run(3.0, until=world.serves_all)
    return world.time - lost


@pytest.mark.parametrize("seed", range(4))
def test_recovery_from_loss_of_a_domain_with_its_leader(seed):
    """Guards against time-outs that add up to more than the promised second."""
    world = start_world(seed)
    kill_domain(world, "d0")
    assert not world.serves_all()
    assert measure_recovery(world) <= MAX_RECOVERY_TIME


@pytest.mark.parametrize("seed", range(2))
def test_recovery_from_loss_of_a_host(seed):
    """Guards against servers that are forgotten or delayed when only a gate is lost."""
    world = start_world(seed)
    servers = {name: record.epoch for name, record in world.view.servers.items()}
    world.hosts["h2"].alive = False
    assert measure_recovery(world) <= MAX_RECOVERY_TIME
    kept = {name: record.epoch for name, record in world.view.servers.items()}
    assert kept == servers


def test_domain_out_of_service_is_evacuated_within_two_seconds():
    """Guards against slices and gates that stay in a domain out of service."""
    world = start_world(3, servers=8)
    world.run(3.0)
    world.change(
        SetService, kind=ServiceKind.FAILURE_DOMAIN, name="d1", in_service=False
    )
    table = world.view.slices[POOL]

    def is_empty():
        names = [name for name, item in world.servers.items() if item.domain == "d1"]
        if any(table.count_held(name) for name in names):
            return False
        hosts = {name for name, item in world.hosts.items() if item.domain == "d1"}
        return not any(gate.host in hosts for gate in world.view.gates.values())

    assert world.run(2.0, until=is_empty)
    assert all(table.get(number).owner for number in SAMPLED_SLICES)


@pytest.fixture
def leader():
    return Leader(FleetBuilder())


class Leader:
    """A coordinator whose commands are applied only by `commit`."""

    def __init__(self, fleet):
        self.fleet, self.now = fleet, 100.0
        self.coordinator = Coordinator(now=self.now)
        self.sessions = SessionTable()
        self.sessions.begin(self.now, fleet.view.hosts.values())

    def decide(self, *kinds):
        state = self.fleet.state
        commands = self.coordinator.decide(self.now, state, self.sessions)
        return [item for item in commands if not kinds or isinstance(item, kinds)]

    def commit(self, commands):
        for command in commands:
            self.fleet.apply(command)
            self.coordinator.mark_committed(command)

    def renew(self, *hosts):
        for host in hosts:
            assert self.sessions.renew(self.now, host, "b")

    def see(self, server, boot="b", phase="warm", domain="d0"):
        self.coordinator.receive(
            self.now,
            ServerAnnounced(
                server=server,
                pool=POOL,
                address="",
                failure_domain=domain,
                boot=boot,
                phase=phase,
            ),
        )


def test_pending_command_is_not_proposed_again(leader):
    """Guards against a log full of duplicate commands while commits are slow."""
    leader.see("new")
    first = leader.decide(RegisterServer)
    leader.now += OBSERVATION_TIMEOUT / 2
    leader.see("new")
    assert len(first) == 1 and leader.decide(RegisterServer) == []
    leader.now += PROPOSAL_TIMEOUT
    leader.see("new")
    assert leader.decide(RegisterServer) == first
    leader.commit(first)
    leader.see("new")
    assert leader.decide(RegisterServer) == []


def test_only_announced_servers_of_a_lost_host_get_a_new_gate(leader):
    """Guards against a gate for a dead server, or the removal of a live one."""
    hosts = sorted(leader.fleet.view.hosts)
    leader.now += SESSION_TIMEOUT - 0.1
    leader.renew(*hosts[1:])
    leader.now += 0.1
    leader.see("s0")
    assert [item.host for item in leader.decide(AppointGate)] == []
    leader.commit(
        [DeregisterHost(host="h0", epoch=leader.fleet.view.hosts["h0"].epoch)]
    )
    commands = leader.decide(AppointGate, DeregisterServer)
    kinds = {item.server: type(item) for item in commands}
    assert kinds == {"s0": AppointGate, "s4": DeregisterServer}


def test_new_leader_waits_for_announcements_before_it_forgets_servers():
    """Guards against a new leader that removes servers before they can announce."""
    leader = Leader(FleetBuilder(gates=False))
    assert leader.decide(DeregisterServer) == []
    leader.now += OBSERVATION_TIMEOUT + 0.001
    assert len(leader.decide(DeregisterServer)) == 8


def test_old_announcement_does_not_register_a_lost_server(leader):
    """Guards against a lost server that its last announcement registers again."""
    epoch = leader.fleet.view.gates["s0"].epoch
    leader.see("s0")
    leader.coordinator.receive(
        leader.now, ServerLost(server="s0", boot="b", gate_epoch=epoch)
    )
    leader.commit(leader.decide(DeregisterServer))
    assert "s0" not in leader.fleet.view.servers
    assert leader.decide(RegisterServer) == []


def test_loss_reported_by_an_earlier_gate_is_ignored(leader):
    """Guards against a late `ServerLost` that removes a server with a newer gate."""
    leader.coordinator.receive(
        leader.now, ServerLost(server="s0", boot="b", gate_epoch=1)
    )
    assert leader.decide(DeregisterServer) == []


def test_lost_backup_is_not_confirmed():
    """Guards against a confirmation that is proposed again after each commit."""
    fleet = FleetBuilder(hosts=2, servers=1)
    hosts = fleet.view.hosts
    shard = AssignShard(
        shard=0,
        epoch=0,
        primary="h0",
        primary_epoch=hosts["h0"].epoch,
        backup="h1",
        backup_epoch=hosts["h1"].epoch,
    )
    fleet.apply(shard)
    ready = BackupReady(shard=0, epoch=fleet.view.shards[0].epoch)
    fleet.apply(DeregisterHost(host="h1", epoch=hosts["h1"].epoch))
    assert fleet.view.shards[0].epoch == ready.epoch
    coordinator = Coordinator(now=0.0)
    coordinator.receive(0.0, ready)
    commands = coordinator.decide(0.0, fleet.state, SessionTable())
    assert not [item for item in commands if isinstance(item, ConfirmBackup)]
