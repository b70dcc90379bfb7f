"""Fleet simulation in virtual time: leaders, hosts and servers with drifting clocks."""

import heapq
import math
import random
from bisect import bisect_right

from monsoonlug.commands import ApplyCatalogue, decode_command, encode_command
from monsoonlug.coordinator import DECIDE_INTERVAL, Coordinator
from monsoonlug.exceptions import RevisionGap, StaleRevision
from monsoonlug.ids import SLICE_COUNT, SliceState
from monsoonlug.messages import (
    GateReleased,
    Heartbeat,
    ServerAnnounced,
    ServerLost,
    SlicesReleased,
)
from monsoonlug.sessions import (
    HEARTBEAT_INTERVAL,
    LEASE_MARGIN,
    MAX_CLOCK_DRIFT,
    VIEW_MAX_AGE,
    SessionLease,
    SessionTable,
)
from monsoonlug.state import ControlState
from monsoonlug.view import View
from tests.fleet_builder import POOL, write_catalogue

# Slices that the oracle checks.
SAMPLED_SLICES = range(0, SLICE_COUNT, SLICE_COUNT // 16)
ANNOUNCE_INTERVAL = 0.100  # seconds between two announcements of a server
# Largest error of a clock's rate; two clocks then differ by less than MAX_CLOCK_DRIFT.
MAX_RATE_ERROR = (MAX_CLOCK_DRIFT - 1) / 2 * 0.99


class Node:
    """A process with a clock of its own, which can be paused and killed."""

    def __init__(self, world, name, domain):
        self.world, self.name, self.domain = world, name, domain
        self.rate = 1 + world.rng.uniform(-MAX_RATE_ERROR, MAX_RATE_ERROR)
        self.offset = world.rng.uniform(0, 1000)
        self.boot = f"b{world.allocate_boot()}"
        self.alive = True
        self.paused_until = 0.0

    @property
    def now(self):
        return self.world.time * self.rate + self.offset

    def repeat(self, interval, callback):
        def run():
            callback()
            self.world.at(interval / self.rate, run, self)

        self.world.at(self.world.rng.uniform(0, interval), run, self)


class Leader(Node):
    def __init__(self, world, domain):
        super().__init__(world, "leader", domain)
        self.coordinator = Coordinator(now=self.now)
        self.sessions = SessionTable()
        self.sessions.begin(self.now, world.view.hosts.values())
        self.repeat(DECIDE_INTERVAL, self.decide)

    def decide(self):
        commands = self.coordinator.decide(self.now, self.world.state, self.sessions)
        self.world.propose(self, commands)

    def receive(self, sender, message):
        now = self.now
        self.coordinator.receive(now, message)
        if isinstance(message, Heartbeat):
            delay = self.world.rng.uniform(0.001, 0.010)
            confirm = lambda: self.confirm(now, sender, message)
            self.world.at(delay, confirm, self)

    def confirm(self, received, sender, message):
        if self.world.leader is not self:
            return
        if self.sessions.renew(received, message.host, message.boot):
            revision = self.world.view.revision
            response = lambda: sender.lease.record_response(message.sequence, revision)
            self.world.send(response, sender)


class Host(Node):
    def __init__(self, world, name, domain):
        super().__init__(world, name, domain)
        self.view, self.lease = View(), SessionLease()
        self.sequence, self.leaving = 0, False
        self.delivery, self.cached_gates, self.final_messages = 0.0, (None,), {}
        self.finished_epochs = {}  # by server: epoch of the gate that this host gave up
        self.gate_since = {}  # by server: epoch and start of the gate
        self.grant_limits = {}  # by server: gate epoch and latest end of the grant
        self.confirmed_releases = set()  # slices and epochs released by their server
        self.repeat(HEARTBEAT_INTERVAL, self.send_heartbeat)
        self.repeat(0.020, self.update_gates)
        world.at(0, self.resync, self)

    def send_heartbeat(self):
        self.sequence += 1
        self.lease.record_sent(self.now, self.sequence)
        self.send_to_leader(
            Heartbeat(
                sequence=self.sequence,
                host=self.name,
                failure_domain=self.domain,
                stream="",
                announce="",
                boot=self.boot,
                revision=self.view.revision,
                dropped_term=0,
                closed=0,
                holdings={},
                wanted={},
                hot_slices=[],
                hot_keys=[],
                leaving=self.leaving,
            )
        )

    def send_to_leader(self, message):
        leader = self.world.leader
        if leader is not None:
            self.world.send(lambda: leader.receive(self, message), leader)

    def resync(self):
        self.world.at(0.02, lambda: self.receive_view(self.world.pack_view()), self)

    def receive_view(self, data):
        try:
            self.view = View.unpack(data, current=self.view)
        except StaleRevision:
            return
        self.lease.record_applied(self.view.revision)

    def receive_delta(self, delta):
        try:
            self.view.apply(delta)
        except RevisionGap:
            self.resync()
            return
        except StaleRevision:
            return
        self.lease.record_applied(self.view.revision)
        self.update_gates()

    def gate_epoch(self, server):
        """Returns the epoch under which this host is the gate of a server, or 0."""
        gate, record = self.view.gates.get(server), self.view.hosts.get(self.name)
        if gate is None or gate.host != self.name or record.boot != self.boot:
            return 0
        return 0 if self.finished_epochs.get(server) == gate.epoch else gate.epoch

    def list_gates_and_owners(self):
        """Returns the servers gated by this host and owners of the sampled slices."""
        key = (id(self.view), self.view.revision, sum(self.finished_epochs.values()))
        if self.cached_gates[0] != key:
            gated = {name for name in self.view.gates if self.gate_epoch(name)}
            owners = {}
            for name in gated:
                samples = self.list_samples(name, SliceState.OWNED)
                owners.update(dict.fromkeys(samples, name))
            self.cached_gates = (key, gated, owners)
        return self.cached_gates[1:]

    def may_act(self):
        return self.lease.is_valid(self.now) and not self.view.damaged

    def grant_ends(self, server, epoch):
        known, until = self.grant_limits.get(server, (0, -math.inf))
        return until if known == epoch else -math.inf

    def announce(self, server, sent, phase):
        epoch, record = self.gate_epoch(server.name), self.view.servers.get(server.name)
        gate = self.view.gates.get(server.name)
        if epoch and record.boot == server.boot and self.may_act():
            if (phase == "draining") != record.draining:
                self.send_to_leader(self.make_server_seen(server, phase))
            if gate.releasing:
                return
            remaining = self.lease.valid_until() - self.now
            until = self.now + remaining * MAX_CLOCK_DRIFT + LEASE_MARGIN
            until = max(until, self.grant_ends(server.name, epoch))
            self.grant_limits[server.name] = (epoch, until)
            slices = self.list_samples(server.name, SliceState.OWNED)
            grant = lambda: server.accept_grant(self, epoch, sent, remaining, slices)
            self.world.send(grant, server)
            return
        self.send_to_leader(self.make_server_seen(server, phase))
        other = self.world.hosts.get(gate.host) if gate else None
        if other is not None and other is not self:
            self.world.send(lambda: server.redirect(other), server)

    def make_server_seen(self, server, phase):
        return ServerAnnounced(
            server=server.name,
            pool=POOL,
            address="",
            failure_domain=server.domain,
            boot=server.boot,
            phase=phase,
        )

    def list_samples(self, server, state):
        table = self.view.slices.get(POOL)
        found = {}
        for number in SAMPLED_SLICES:
            place = table.get(number)
            if place.owner == server and place.state is state:
                found[number] = place.epoch
        return found

    def update_gates(self):
        if not self.may_act():
            return
        for name in list(self.view.gates):
            epoch = self.gate_epoch(name)
            if epoch:
                self.serve(name, epoch)
            elif self.finished_epochs.get(name) == self.view.gates[name].epoch:
                self.send_to_leader(self.final_messages[name])

    def serve(self, name, epoch):
        server, gate = self.world.servers[name], self.view.gates[name]
        if self.gate_since.get(name, (0, 0))[0] != epoch:
            self.gate_since[name] = (epoch, self.now)
        is_expired = self.grant_ends(name, epoch) < self.now
        if gate.releasing:
            if is_expired:
                self.end_gate(name, epoch)
            else:
                self.world.send(lambda: server.drop_grant(self, epoch), server)
            return
        if is_expired and self.now - self.gate_since[name][1] > 0.45:
            boot = self.view.servers[name].boot
            lost = ServerLost(server=name, boot=boot, gate_epoch=epoch)
            self.finish_gate(name, epoch, lost)
            return
        self.release_slices(server, epoch, is_expired)

    def end_gate(self, name, epoch):
        if self.gate_epoch(name) == epoch:
            self.finish_gate(name, epoch, GateReleased(server=name, gate_epoch=epoch))

    def finish_gate(self, name, epoch, message):
        self.finished_epochs[name] = epoch
        self.final_messages[name] = message
        self.send_to_leader(message)

    def release_slices(self, server, epoch, is_expired):
        table = self.view.slices[POOL]
        if not table.count_state(SliceState.RELEASING):
            return
        runs = table.list_runs(state=SliceState.RELEASING, owner=server.name)
        if not runs:
            return
        samples = self.list_samples(server.name, SliceState.RELEASING)
        waiting = set(samples.items()) - self.confirmed_releases
        if waiting and not is_expired:
            ask = lambda: server.release(self, epoch, samples)
            self.world.send(ask, server)
            return
        slices, epochs = [], []
        for run in runs:
            slices.extend(range(run.start, run.start + run.count))
            epochs.extend([run.epoch] * run.count)
        self.send_to_leader(
            SlicesReleased(server=server.name, pool=POOL, slices=slices, epochs=epochs)
        )


class Server(Node):
    def __init__(self, world, name, domain):
        super().__init__(world, name, domain)
        self.until, self.slices, self.gate_epoch = -math.inf, {}, 0
        self.ignore_before = -math.inf
        self.phase, self.target, self.answered = "cold", None, -math.inf
        self.repeat(ANNOUNCE_INTERVAL, self.announce)

    def announce(self):
        sent = self.now
        if self.target is None or sent - self.answered > 1.5 * ANNOUNCE_INTERVAL:
            self.target = self.world.rng.choice(list(self.world.hosts.values()))
        host, phase = self.target, self.phase
        self.world.send(lambda: host.announce(self, sent, phase), host)

    def redirect(self, host):
        self.target, self.answered = host, self.now

    def accept_grant(self, host, epoch, sent, remaining, slices):
        if epoch < self.gate_epoch or sent <= self.ignore_before:
            return
        self.target, self.answered, self.gate_epoch = host, self.now, epoch
        self.until = max(self.until, sent + remaining)
        self.slices = slices

    def release(self, host, epoch, samples):
        self.ignore_before = self.now
        for number in samples:
            self.slices.pop(number, None)
        confirm = lambda: host.confirmed_releases.update(samples.items())
        self.world.send(confirm, host)

    def drop_grant(self, host, epoch):
        self.ignore_before, self.until, self.slices = self.now, -math.inf, {}
        self.target = None
        self.world.send(lambda: host.end_gate(self.name, epoch), host)


class World:
    """The simulated fleet with its network and its safety oracle."""

    def __init__(self, *, seed, hosts=4, servers=6, domains=4, loss=0.0):
        self.rng = random.Random(seed)
        self.time, self.loss, self.steps = 0.0, loss, 0
        self.events, self.pending, self.history = [], [], []
        self.boot_count = 0
        self.state, self.leader = ControlState(), None
        self.last_commit = 0.0
        self.cache = (None, b"")
        self.hosts, self.servers = {}, {}
        catalogue = write_catalogue(POOL, cold_seconds=1)
        self.apply(ApplyCatalogue(change_id="first", base=0, text=catalogue))
        for number in range(hosts):
            name = f"h{number}"
            self.hosts[name] = Host(self, name, f"d{number % domains}")
        for number in range(servers):
            name = f"s{number}"
            self.servers[name] = Server(self, name, f"d{number % domains}")
        self.elect("d0")

    @property
    def view(self):
        return self.state.view

    def allocate_boot(self):
        self.boot_count += 1
        return self.boot_count

    def pack_view(self):
        if self.cache[0] != self.view.revision:
            self.cache = (self.view.revision, self.view.pack())
        return self.cache[1]

    def at(self, delay, callback, node=None):
        self.steps += 1
        event = (self.time + delay, self.steps, callback, node)
        heapq.heappush(self.events, event)

    def send(self, callback, node):
        if self.rng.random() >= self.loss:
            self.at(self.rng.uniform(0.0005, 0.010), callback, node)

    def run(self, seconds, until=None):
        """Runs events until a condition or the time-out; returns whether it was met."""
        end = self.time + seconds
        while self.events and self.events[0][0] <= end:
            self.time, _, callback, node = heapq.heappop(self.events)
            if node is not None and not node.alive:
                continue
            if node is not None and node.paused_until > self.time:
                self.at(node.paused_until - self.time, callback, node)
                continue
            callback()
            self.check()
            if until is not None and until():
                return True
        self.time = end
        return False

    # Control.

    def propose(self, leader, commands):
        for command in commands:
            if leader is not self.leader:
                continue
            assert command not in self.pending, f"{command} was proposed twice"
            self.pending.append(command)
            delay = self.rng.uniform(0.004, 0.015)
            self.last_commit = max(self.last_commit, self.time + delay)
            commit = lambda command=command: self.commit(leader, command)
            self.at(self.last_commit - self.time, commit)

    def commit(self, leader, command):
        if leader is not self.leader or command not in self.pending:
            return
        self.pending.remove(command)
        self.apply(command)
        leader.coordinator.mark_committed(command)
        self.at(0.0005, leader.decide, leader)

    def apply(self, command):
        command = decode_command(encode_command(command))
        result, delta = self.state.apply(self.state.applied_index + 1, command)
        if delta is None:
            return result
        self.history.append((self.time, delta.revision))
        for host in self.hosts.values():
            if self.rng.random() < self.loss / 4:
                self.at(0.05, host.resync, host)
                continue
            arrives = self.time + self.rng.uniform(0.001, 0.010)
            host.delivery = max(host.delivery, arrives)
            push = lambda host=host: host.receive_delta(delta)
            self.at(host.delivery - self.time, push, host)
        return result

    def elect(self, domain):
        """Starts a leader after a random part of the pending commands is committed."""
        for command in self.pending[: self.rng.randint(0, len(self.pending))]:
            self.apply(command)
        self.pending.clear()
        self.leader = Leader(self, domain)

    def depose(self, gap, domain):
        """Ends a leadership; the old leader runs on, but can commit nothing."""
        self.leader = None
        self.at(gap, lambda: self.leader is None and self.elect(domain))

    def restart(self, nodes, name):
        old = nodes[name]
        old.alive = False
        nodes[name] = type(old)(self, name, old.domain)

    def change(self, command, /, **fields):
        change_id = f"c{self.state.applied_index}"
        base = self.view.config_revision
        return self.apply(command(change_id=change_id, base=base, **fields))

    # Oracle.

    def check(self):
        """Checks that nothing has two gates or owners and no stale view counts."""
        gates, senders, owners = {}, {}, {}
        for host in self.hosts.values():
            if host.alive:
                self.check_host(host, gates, senders)
        for server in self.servers.values():
            if not server.alive or server.until <= server.now:
                continue
            for number in server.slices:
                other = owners.setdefault(number, server.name)
                assert other == server.name, (
                    f"slice {number} has two owners: {other}, {server.name}"
                )

    def check_host(self, host, gates, senders):
        now = host.now
        if host.lease.is_view_fresh(now):
            bound = self.time - VIEW_MAX_AGE * MAX_CLOCK_DRIFT - 0.001
            needed = self.find_revision(bound)
            assert host.view.revision >= needed, (
                f"{host.name} counts view revision {host.view.revision} as fresh, "
                f"the oldest fresh one is {needed}"
            )
        if not host.may_act():
            return
        gated, owners = host.list_gates_and_owners()
        for name in gated:
            other = gates.setdefault(name, host.name)
            assert other == host.name, f"{name} has two gates: {other}, {host.name}"
        for number, owner in owners.items():
            other = senders.setdefault(number, owner)
            assert other == owner, f"slice {number} has two senders: {other}, {owner}"

    def find_revision(self, time):
        position = bisect_right(self.history, (time, math.inf))
        return self.history[position - 1][1] if position else 0

    def is_served(self, number):
        """Whether a live gate sends requests of a slice to a live server with grant."""
        for host in self.hosts.values():
            if not host.alive or not host.may_act() or not host.view.slices:
                continue
            place = host.view.slices[POOL].get(number)
            if place.state is not SliceState.OWNED or not host.gate_epoch(place.owner):
                continue
            server = self.servers[place.owner]
            if server.alive and server.until > server.now:
                return True
        return False

    def serves_all(self):
        return all(self.is_served(number) for number in SAMPLED_SLICES)
