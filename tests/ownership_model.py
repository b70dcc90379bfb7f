"""A fleet in virtual time: leaders, servers that count their leases, and faults.

Servers count their leases on slow clocks, heartbeats arrive late, and leaders change
while commands are being committed. The model fails as soon as two servers hold a key at
the same time.
"""

import heapq
import itertools
from dataclasses import dataclass, field
from random import Random

from monsoonlug import messages
from monsoonlug.fleet import FleetState
from monsoonlug.fleet_messages import ChangeItems, DomainChanged, KeyTableChanged
from monsoonlug.heartbeats import LEASE_TIME, ServerHeartbeat
from monsoonlug.ids import SLICE_COUNT
from monsoonlug.items import ItemKind, ItemRemoved
from monsoonlug.keyranges import KeyRange
from monsoonlug.leases import FormerOwners
from monsoonlug.registrar import Registrar
from tests.test_items import build_pool, build_route

HEARTBEAT_INTERVAL = 0.9
HEARTBEAT_TIMEOUT = 1.0
RELEASE_INTERVAL = 0.1  # seconds until the heartbeat of a server that releases keys
MAX_LATENESS = 10.0  # seconds
CLOCK_DRIFT = 1.02  # of the servers' clocks, which run slow
DECISION_INTERVAL = 0.25
NETWORK_DELAY = 0.002
DOMAINS = ("east", "west", "north")


@dataclass(kw_only=True)
class Disruptions:
    """What disturbs the fleet; rates are per second.

    Attributes:
        late_share: Share of the heartbeats that arrive late.
        late_release_share: The same of those that report released keys.
        snapshot_share: Share of the new leaders that started from a snapshot.
    """

    late_share: float = 0.0
    late_release_share: float = 0.0
    leader_changes: float = 0.0
    domain_changes: float = 0.0
    restarts: float = 0.0
    partitions: float = 0.0
    service_changes: float = 0.0
    snapshot_share: float = 0.0
    max_commit_delay: float = 0.005


@dataclass(kw_only=True)
class Server:
    """A backend server as the users' pages describe it."""

    name: str
    address: str
    domain: str
    born: int
    holds: dict = field(default_factory=dict)  # epochs by first and last key
    releasing: dict = field(default_factory=dict)  # seconds by first and last key
    freed: list = field(default_factory=list)
    lease_until: float = 0.0
    sequence: int = 0
    is_draining: bool = False
    is_cut_off: bool = False
    is_up: bool = True

    def build_heartbeat(self):
        self.sequence += 1
        rows = [(*row, epoch) for row, epoch in self.holds.items()]
        return ServerHeartbeat(
            server=self.name,
            born=self.born,
            sequence=self.sequence,
            pool="desk",
            address=self.address,
            failure_domain=self.domain,
            slots=2,
            draining=self.is_draining,
            cold_seconds=0.0,
            held=tuple(rows),
            freed=tuple(self.freed),
        )


@dataclass(kw_only=True)
class Proposal:
    """A command on its way to a majority, and what follows its commit."""

    command: object
    commits_at: float
    on_commit: object = None


class Model:
    """Runs the fleet; see the module.

    Args:
        seed: Seed of all choices.
        servers: Number of servers.
    """

    def __init__(self, *, seed, servers=9):
        self.random = Random(seed)
        self.disruptions = Disruptions()
        self.now = 0.0
        self.state = FleetState()
        self.former_owners = FormerOwners()
        self.index = 0
        self.version = 1
        self.registrar = None
        self.term = 0
        self.proposals = []
        self.events = []
        self.order = itertools.count()
        self.late = []
        self.log = []
        self.has_load = False
        self.out_of_service = set()
        self.has_service = True
        self.apply(self.build_change())
        self.servers = []
        for number in range(servers):
            server = Server(
                name=f"s{number}",
                address=f"10.0.0.{number}:80",
                domain=DOMAINS[number % len(DOMAINS)],
                born=1_000 + number,
            )
            self.servers.append(server)
            wait = self.random.uniform(0, HEARTBEAT_INTERVAL)
            self.at(wait, self.beat, server, server.born)
        self.elect()
        self.at(DECISION_INTERVAL, self.decide)

    # Events.

    def at(self, delay, action, *arguments):
        event = (self.now + delay, next(self.order), action, arguments)
        heapq.heappush(self.events, event)

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now = until

    def disturb(self, disruptions, until):
        """Runs the fleet with disruptions, under a changing load."""
        self.disruptions = disruptions
        self.has_load = True
        plans = (
            (self.disruptions.leader_changes, self.change_leader),
            (self.disruptions.domain_changes, self.change_domain),
            (self.disruptions.restarts, self.restart_server),
            (self.disruptions.partitions, self.cut_server_off),
            (self.disruptions.service_changes, self.change_service),
        )
        for rate, action in plans:
            at = 0.0
            while rate:
                at += self.random.expovariate(rate)
                if self.now + at >= until:
                    break
                self.at(at, action)
        self.run(until)

    def note(self, text):
        self.log.append(f"{self.now:8.3f} {text}")

    # Control.

    def elect(self):
        self.term += 1
        if self.random.random() < self.disruptions.snapshot_share:
            self.former_owners = FormerOwners.from_snapshot(self.now, self.state.view)
            self.note("the next leader started from a snapshot")
        self.registrar = Registrar(
            now=self.now,
            view=self.state.view,
            heartbeat_interval=HEARTBEAT_INTERVAL,
            former_owners=self.former_owners,
        )
        self.note(f"term {self.term} begins")
        late, self.late = self.late, []
        for sent_at, server, heartbeat in late:
            if self.now - sent_at < MAX_LATENESS and self.random.random() < 0.5:
                delay = self.random.uniform(0.0, 0.3)
                self.at(delay, self.receive_late, server, heartbeat)

    def change_leader(self):
        if self.registrar is None:
            return
        self.registrar = None
        self.note("the leader is lost")
        # The next leader has a prefix of what this one proposed.
        kept = self.random.randint(0, len(self.proposals))
        proposals, self.proposals = self.proposals[:kept], []
        for proposal in proposals:
            self.apply(proposal.command)
        self.at(self.random.uniform(0.5, 1.2), self.elect)

    def propose(self, command, on_commit=None):
        delay = self.random.uniform(0.001, self.disruptions.max_commit_delay)
        last = self.proposals[-1].commits_at if self.proposals else 0.0
        proposal = Proposal(
            command=command,
            commits_at=max(self.now + delay, last),
            on_commit=on_commit,
        )
        self.proposals.append(proposal)
        self.at(proposal.commits_at - self.now, self.commit, self.term)

    def commit(self, term):
        if term != self.term or self.registrar is None or not self.proposals:
            return
        proposal = self.proposals.pop(0)
        self.apply(proposal.command)
        if proposal.on_commit is not None:
            proposal.on_commit()

    def apply(self, command):
        self.index += 1
        _, delta = self.state.apply(self.index, command)
        changes = [messages.decode(item) for item in delta.changes] if delta else []
        for change in changes:
            if isinstance(change, KeyTableChanged):
                self.former_owners.record_change(self.now, change, self.state.view)
        if self.registrar is None:
            return
        self.registrar.apply_committed(self.now, command, changes)

    def decide(self):
        self.at(DECISION_INTERVAL, self.decide)
        if self.registrar is None:
            return
        if self.has_load:
            self.report_loads()
        for command in list(self.registrar.plan_commands(self.now)):
            self.propose(command)

    def report_loads(self):
        hot = self.random.randrange(SLICE_COUNT)
        for _ in range(10):
            self.registrar.record_requests("desk", hot, 1)
        for server in self.servers:
            self.registrar.record_utilization(
                server.name,
                slowdown=self.random.choice((0.6, 1.0, 3.0)),
                base_latency=0.1,
                utilization=self.random.random(),
            )

    def receive(self, server, heartbeat, answer):
        """Handles a heartbeat like the control daemon, and answers it."""
        if self.registrar is None:
            return
        term = self.term
        commands = self.registrar.handle_heartbeat(self.now, heartbeat)
        if commands is None:
            return

        def respond():
            if term != self.term or self.registrar is None:
                return
            grant = self.registrar.renew_lease(
                self.now, heartbeat.server, heartbeat.born
            )
            answer(None if grant is None else grant.ranges)

        if not commands:
            respond()
            return
        for command in commands[:-1]:
            self.propose(command)
        self.propose(commands[-1], on_commit=respond)

    # Servers.

    def beat(self, server, born):
        """Sends a heartbeat and plans the next one."""
        if not server.is_up or born != server.born:
            return
        heartbeat = server.build_heartbeat()
        sent_at = self.now
        answered = []

        def answer(ranges):
            self.at(NETWORK_DELAY, take, ranges)

        def take(ranges):
            if answered or self.now > sent_at + HEARTBEAT_TIMEOUT:
                return
            if server.born != heartbeat.born or not server.is_up:
                return
            answered.append(True)
            self.take_grant(server, ranges, sent_at, len(heartbeat.freed))
            pause = HEARTBEAT_INTERVAL
            if server.releasing or server.freed:
                pause = RELEASE_INTERVAL
            self.at(pause, self.beat, server, server.born)

        def give_up():
            if not answered:
                answered.append(False)
                self.beat(server, heartbeat.born)

        self.at(HEARTBEAT_TIMEOUT, give_up)
        if server.is_cut_off:
            return
        late_share = self.disruptions.late_share
        if heartbeat.freed:
            late_share = max(late_share, self.disruptions.late_release_share)
        if self.random.random() < late_share:
            lateness = self.random.uniform(HEARTBEAT_TIMEOUT, MAX_LATENESS)
            self.late.append((self.now, server, heartbeat))
            self.at(lateness, self.receive_late, server, heartbeat)
            return
        self.at(NETWORK_DELAY, self.receive, server, heartbeat, answer)

    def receive_late(self, server, heartbeat):
        """Handles a heartbeat whose server does not wait for an answer any more."""
        self.receive(server, heartbeat, lambda ranges: None)

    def take_grant(self, server, ranges, sent_at, reported):
        del server.freed[:reported]
        if ranges is None:
            return
        granted = {(row.start, row.end): row.epoch for row in ranges}
        for row, epoch in list(server.holds.items()):
            del server.holds[row]
            old = KeyRange(start=row[0], end=row[1])
            for part in old.subtract(granted):
                left_out = (part.start, part.end)
                server.holds[left_out] = epoch
                if left_out in server.releasing:
                    continue
                wait = self.random.choice((0.0, 0.0, self.random.uniform(0.0, 0.6)))
                server.releasing[left_out] = self.now + wait
                self.at(wait, self.release, server, left_out, server.born)
        server.holds.update(granted)
        for row in list(server.releasing):
            if row in granted or row not in server.holds:
                del server.releasing[row]
        server.lease_until = sent_at + LEASE_TIME * CLOCK_DRIFT
        self.at(server.lease_until - self.now, self.expire, server, server.born)
        self.check_owners(server)

    def release(self, server, row, born):
        if server.born != born or server.releasing.get(row, self.now + 1) > self.now:
            return
        del server.releasing[row]
        if server.holds.pop(row, None) is not None:
            server.freed.append((*row, f"token-{next(self.order)}"))

    def expire(self, server, born):
        if server.born == born and self.now >= server.lease_until - 1e-9:
            server.holds.clear()
            server.releasing.clear()

    def check_owners(self, server):
        """Fails if another server holds a key of this one."""
        for other in self.servers:
            if other is server or not other.is_up:
                continue
            for start, end in server.holds:
                for first, last in other.holds:
                    overlap = (max(start, first), min(end, last))
                    assert overlap[0] > overlap[1], (
                        f"{server.name} and {other.name} both hold keys {overlap} at "
                        f"{self.now:.3f} s; {self.log[-12:]}"
                    )

    # Disruptions.

    def change_domain(self):
        if self.registrar is None:
            return
        domain = self.random.choice(DOMAINS)
        if domain in self.out_of_service:
            self.out_of_service.remove(domain)
        elif not self.out_of_service:
            self.out_of_service.add(domain)
        else:
            return
        in_service = domain not in self.out_of_service
        self.note(f"domain {domain} is {'in' if in_service else 'out of'} service")
        self.propose(DomainChanged(failure_domain=domain, in_service=in_service))

    def restart_server(self):
        server = self.random.choice(self.servers)
        if not server.is_up:
            return
        self.note(f"{server.name} ends")
        server.is_up = False
        self.at(self.random.uniform(0.5, 6.0), self.start_again, server)

    def start_again(self, server):
        self.servers.remove(server)
        born = max(item.born for item in self.servers) + 1_000
        # A new process has the old id, or another one at the old address.
        name = self.random.choice((server.name, f"s{born}"))
        replacement = Server(
            name=name, address=server.address, domain=server.domain, born=born
        )
        self.note(f"{name} starts")
        self.servers.append(replacement)
        self.beat(replacement, born)

    def cut_server_off(self):
        server = self.random.choice(self.servers)
        server.is_cut_off = True
        self.note(f"{server.name} is cut off from control")
        self.at(self.random.uniform(2.0, 12.0), self.heal, server)

    def heal(self, server):
        server.is_cut_off = False

    def build_change(self, *, keyed=True):
        self.version += 1
        items = [
            build_pool(version=self.version, keyed=keyed),
            build_route(version=self.version),
        ]
        return ChangeItems(
            changes=[messages.encode(item) for item in items], sources=["", ""]
        )

    def change_service(self):
        """Drops the service, or makes it one without keys, and puts it back."""
        if self.registrar is None or not self.has_service:
            return
        self.has_service = False
        if self.random.random() < 0.5:
            self.note("the service is not sharded")
            self.propose(self.build_change(keyed=False))
        else:
            self.version += 1
            removed = [
                ItemRemoved(kind=kind, name=name, version=self.version)
                for kind, name in ((ItemKind.ROUTE, "lookup"), (ItemKind.POOL, "desk"))
            ]
            self.note("the service is dropped")
            self.propose(
                ChangeItems(
                    changes=[messages.encode(item) for item in removed],
                    sources=["", ""],
                )
            )
        self.at(self.random.choice((0.05, 0.4, 1.0, 3.0)), self.put_service_back)

    def put_service_back(self):
        if self.registrar is None:
            self.at(0.3, self.put_service_back)
            return
        self.has_service = True
        self.note("the service is back")
        self.propose(self.build_change())

    # Checks at the end.

    def calm(self):
        """Ends all disruptions and gives the fleet time to recover."""
        self.disruptions = Disruptions()
        self.has_load = False
        for server in self.servers:
            server.is_cut_off = False
        if self.registrar is None:
            self.run(self.now + 2.0)
        for domain in list(self.out_of_service):
            self.out_of_service.remove(domain)
            self.propose(DomainChanged(failure_domain=domain, in_service=True))
        self.propose(self.build_change())
        self.run(self.now + 30.0)

    def check_all_served(self):
        held = sum(
            end - start + 1
            for server in self.servers
            if server.is_up
            for start, end in server.holds
        )
        assert held == SLICE_COUNT, f"{held} of {SLICE_COUNT} keys are held"
