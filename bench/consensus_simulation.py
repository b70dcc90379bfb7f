"""Replicas of the replicated log under simulated faults, with an oracle.

Time is virtual. The oracle checks that every replica applies the same commands in the
same order, that no acknowledged command is lost, that each term has one leader, and
that a confirmed round covers everything acknowledged before the round began.
"""

import functools
import hashlib
import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass

import msgpack

from bench.consensus_oracle import Node, Oracle, OracleError
from bench.memory_storage import Crash, CrashPoint, Disk, MemoryStorage
from monsoonlug import messages
from monsoonlug.actions import (
    Apply,
    MembersChanged,
    ReadIndexConfirmed,
    Restore,
    Role,
    RoleChanged,
    Send,
)
from monsoonlug.consensus import Replica
from monsoonlug.exceptions import MembershipRefused, NotLeader
from monsoonlug.ids import ReplicaId
from monsoonlug.membership import MemberRole

TICK_INTERVAL = 0.005  # seconds
SETTLE_TIME = 2.0  # seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class Faults:
    """Chances and rates of the simulated faults.

    Attributes:
        loss: Chance that a message is lost.
        duplication: Chance that a message arrives twice.
        delay: Longest usual delay of a message, in seconds.
        stray: Chance that a message is delayed by up to `stray_delay` seconds.
        sync_crash: Chance that a call ends with a crash at its next sync.
        interval: Mean time between other faults, in seconds; 0 for none.
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay: float = 0.002
    stray: float = 0.0
    stray_delay: float = 0.5
    sync_crash: float = 0.0
    interval: float = 0.0


ROUGH = Faults(
    loss=0.03,
    duplication=0.03,
    stray=0.02,
    sync_crash=0.001,
    interval=0.4,
)


class Simulation:
    """A group of replicas in virtual time.

    Args:
        seed: Seed of all randomness.
        size: Number of replicas.
        faults: Faults to inject.
        with_clients: Whether commands, rounds and compactions happen by themselves.
    """

    def __init__(
        self,
        *,
        seed: int,
        size: int = 3,
        faults: Faults | None = None,
        with_clients: bool = True,
    ):
        self.random = random.Random(seed)
        self.now = 0.0
        self.faults = faults or Faults()
        self.oracle = Oracle()
        self.names = [ReplicaId(f"r{number}") for number in range(size)]
        self.nodes: dict[str, Node] = {}
        self.cut: set[tuple[str, str]] = set()
        self.steps = 0
        self.under_repair: str | None = None
        self.repairs = 0
        self.crashes = 0
        self.messages_sent = 0
        self._identities = 0
        self._commands = 0
        self._events: list[tuple[float, int, Callable]] = []
        self._order = 0
        for name in self.names:
            self.add_node(name)
        self.with_clients = with_clients
        if with_clients:
            self.schedule(0.01, self._run_client)
        if self.faults.interval:
            self.schedule(1.0, self._inject_fault)

    # Running

    def schedule(self, delay: float, action: Callable) -> None:
        """Runs an action after a delay in seconds."""
        self._order += 1
        heapq.heappush(self._events, (self.now + delay, self._order, action))

    def step(self) -> None:
        """Runs the next event."""
        self.now, _, action = heapq.heappop(self._events)
        self.steps += 1
        action()

    def run_steps(self, count: int) -> None:
        """Runs a number of events."""
        for _ in range(count):
            self.step()

    def run_for(self, duration: float) -> None:
        """Runs until a duration in seconds has passed."""
        end = self.now + duration
        while self._events[0][0] <= end:
            self.step()
        self.now = end

    def run_until(self, condition: Callable[[], bool], *, limit: float = 10.0) -> None:
        """Runs until a condition holds.

        Raises:
            OracleError: If it does not hold within `limit` seconds.
        """
        end = self.now + limit
        while not condition():
            if self.now > end:
                raise OracleError(f"nothing after {limit} s of virtual time")
            self.step()

    def settle(self) -> None:
        """Ends all faults and checks that the group works and lost nothing."""
        self.faults = Faults()
        self.cut.clear()
        for node in self.nodes.values():
            node.paused_until = 0.0
            node.clock_rate = 1.0
            if node.replica is None:
                self.start(node.name)
        self.run_until(lambda: self.under_repair is None, limit=30.0)
        self.run_for(SETTLE_TIME)
        self.with_clients = False
        self.run_until(self._try_propose)
        self.run_for(1.0)
        highest = max(node.last_index for node in self.nodes.values())
        for node in self.nodes.values():
            self.oracle.check_last(node.last_index, node.name)
            if node.last_index != highest:
                raise OracleError(f"{node.name} did not catch up")

    # Nodes

    def add_node(self, name: ReplicaId) -> Node:
        """Starts a replica with an empty disk."""
        node = Node(
            name=name,
            disk=self._create_disk(),
            random=random.Random(self.random.random()),
            clock_offset=self.random.uniform(0, 1_000),
            clock_rate=self.random.uniform(0.99, 1.01),
        )
        self.nodes[name] = node
        self.start(name)
        return node

    def start(self, name: str) -> None:
        """Starts a replica from its disk."""
        node = self.nodes[name]
        node.storage = MemoryStorage(disk=node.disk)
        node.replica = Replica(
            replica_id=node.name,
            members=self.names,
            storage=node.storage,
            random=node.random,
            now=node.read_clock(self.now),
        )
        node.boots += 1
        node.last_index = 0
        node.digest = b""
        node.waiting.clear()
        node.rounds.clear()
        boots = node.boots
        self.schedule(
            self.random.uniform(0, TICK_INTERVAL), lambda: self._tick(boots, node)
        )

    def crash(self, name: str) -> None:
        """Ends a replica; what it did not sync is lost."""
        self.nodes[name].replica = None
        self.nodes[name].paused_until = 0.0
        self.crashes += 1

    def wipe(self, name: str) -> None:
        """Ends a replica and gives it an empty disk."""
        self.crash(name)
        self.nodes[name].disk = self._create_disk()

    def restore_disk(self, name: str, disk: Disk) -> None:
        """Restarts a replica on an older copy of its disk, with the same identity."""
        self.crash(name)
        self.oracle.is_disk_lost = True
        self.nodes[name].disk = disk
        self.start(name)

    def isolate(self, name: str) -> None:
        """Cuts a replica off from all others."""
        for other in self.nodes:
            if other != name:
                self.cut |= {(name, other), (other, name)}

    def pause(self, name: str, duration: float) -> None:
        """Stops a replica for a time in seconds; its messages wait."""
        self.nodes[name].paused_until = self.now + duration

    def find_leader(self) -> Node | None:
        """Returns the running leader with the highest term."""
        leaders = []
        for node in self.nodes.values():
            if node.replica and node.replica.role is Role.LEADER:
                leaders.append(node)
        return max(leaders, key=lambda node: node.replica.term, default=None)

    def wait_for_leader(self, *, limit: float = 10.0) -> Node:
        """Runs until a leader can confirm rounds and returns it."""
        self.run_until(lambda: self._is_settled_leader(self.find_leader()), limit=limit)
        return self.find_leader()

    def call(self, node: Node, action: Callable) -> object:
        """Calls a replica and carries out the actions; the last result is returned."""
        if node.replica is None:
            return None
        if self.random.random() < self.faults.sync_crash:
            node.storage.crash_point = self.random.choice(
                [CrashPoint.BEFORE_SYNC, CrashPoint.AFTER_SYNC]
            )
        try:
            result = action(node.replica, node.read_clock(self.now))
        except Crash:
            self.crash(node.name)
            self.schedule(self.random.uniform(0.01, 0.5), lambda: self._revive(node))
            return None
        value, actions = result if isinstance(result, tuple) else (None, result)
        for item in actions or []:
            self._carry_out(node, item)
        return value

    def propose(self, node: Node, command: bytes = b"") -> int | None:
        """Proposes a command, unique by default, and returns its index."""
        self._commands += 1
        command = command or self._commands.to_bytes(8, "big")
        flush = self.random.random() < 0.5
        index = self.call(node, lambda r, now: r.propose(now, command, flush=flush))
        if index is None or node.replica is None:
            return None
        if index <= node.last_index:
            self.oracle.acknowledge(index)
        else:
            # The acknowledgement is due if the command is applied in this term.
            node.waiting[index] = node.replica.term
        return index

    def confirm_round(self, node: Node) -> int | None:
        """Begins a round and returns its id."""
        floor = self.oracle.highest_acknowledged
        node.rounds[0] = floor  # a single replica confirms within the call
        round_id = self.call(node, lambda r, now: r.begin_round(now))
        if round_id is not None:
            node.rounds[round_id] = floor
        return round_id

    def compact(self, node: Node, *, padding: int = 0) -> None:
        """Compacts a replica's log; `padding` bytes make the state larger."""
        index = node.last_index
        state = msgpack.packb([node.last_index, node.digest, bytes(padding)])
        self.call(node, lambda r, now: r.compact(index, state))

    def repair(self, name: str) -> bool:
        """Takes the next step of a repair; returns whether the repair is done."""
        leader = self.find_leader()
        if leader is None:
            return False
        identity = self.nodes[name].disk.identity
        member = leader.replica.members.find(ReplicaId(name))
        try:
            if member is None or member.identity != identity:
                self.call(leader, lambda r, now: r.add_learner(now, name, identity))
            elif member.role is MemberRole.LEARNER:
                self.call(leader, lambda r, now: r.promote(now, name))
            elif member.role is MemberRole.VOTER:
                return leader.replica.is_repaired(name)
        except (MembershipRefused, NotLeader):
            return False
        return False

    # Internals

    def _create_disk(self) -> Disk:
        self._identities += 1
        return Disk(identity=f"identity-{self._identities}")

    def _is_settled_leader(self, node: Node | None) -> bool:
        if node is None:
            return False
        if not node.rounds:
            self.confirm_round(node)
        return node.replica is not None and math.isfinite(node.replica.confirmed_at())

    def _tick(self, boots: int, node: Node) -> None:
        if node.replica is None or node.boots != boots:
            return
        if self.now < node.paused_until:
            self.schedule(node.paused_until - self.now, lambda: self._tick(boots, node))
            return
        self.call(node, lambda r, now: r.tick(now))
        self.schedule(TICK_INTERVAL, lambda: self._tick(boots, node))

    def _revive(self, node: Node) -> None:
        if node.replica is None:
            self.start(node.name)

    def _carry_out(self, node: Node, action: object) -> None:
        if isinstance(action, Send):
            self.oracle.check_durable(node, action)
            self._send(node.name, action)
        elif isinstance(action, Apply):
            self._apply(node, action)
        elif isinstance(action, Restore):
            index, digest, _ = msgpack.unpackb(action.state)
            node.last_index, node.digest = index, digest
            self.oracle.check_digest(index, digest, node.name)
        elif isinstance(action, MembersChanged):
            self.oracle.check_members(action.members)
        elif isinstance(action, ReadIndexConfirmed):
            floor = node.rounds.pop(action.round_id, node.rounds.get(0, 0))
            self.oracle.check_round(action.commit_index, floor)
        elif isinstance(action, RoleChanged):
            node.waiting.clear()
            node.rounds.clear()
            if action.role is Role.LEADER:
                self.oracle.check_leader(action.term, node.name)

    def _apply(self, node: Node, action: Apply) -> None:
        if action.index <= node.last_index:
            raise OracleError(f"{node.name} applied {action.index} twice")
        if node.disk.last_index < action.index:
            raise OracleError(f"{node.name} applied {action.index} before a sync")
        row = msgpack.packb([node.digest, action.index, action.term, action.command])
        node.digest = hashlib.blake2b(row, digest_size=8).digest()
        node.last_index = action.index
        self.oracle.check_digest(action.index, node.digest, node.name)
        if node.waiting.pop(action.index, None) == action.term:
            self.oracle.acknowledge(action.index)

    def _send(self, sender: str, action: Send) -> None:
        self.messages_sent += 1
        body = messages.encode(action.message)
        if len(body) > messages.MAX_FRAME_BYTES:
            raise OracleError(f"a frame of {len(body)} bytes")
        copies = 2 if self.random.random() < self.faults.duplication else 1
        for _ in range(copies):
            if self.random.random() < self.faults.loss:
                continue
            delay = self.random.uniform(0.0003, self.faults.delay)
            if self.random.random() < self.faults.stray:
                delay = self.random.uniform(0, self.faults.stray_delay)
            self.schedule(delay, lambda: self._deliver(sender, action.to, body))

    def _deliver(self, sender: str, to: str, body: bytes) -> None:
        node = self.nodes.get(to)
        if node is None or node.replica is None or (sender, to) in self.cut:
            return
        if self.now < node.paused_until:
            wait = node.paused_until - self.now
            self.schedule(wait, lambda: self._deliver(sender, to, body))
            return
        message = messages.decode(body)
        self.call(node, lambda r, now: r.receive(now, sender, message))

    def _try_propose(self) -> bool:
        leader = self.find_leader()
        if leader is None:
            return False
        try:
            return self.propose(leader) is not None
        except NotLeader:
            return False

    def _run_client(self) -> None:
        if not self.with_clients:
            return
        self.schedule(self.random.expovariate(100), self._run_client)
        leaders = []
        for node in self.nodes.values():
            is_up = node.replica and self.now >= node.paused_until
            if is_up and node.replica.role is Role.LEADER:
                leaders.append(node)
        if leaders:
            self._use(self.random.choice(leaders))
        node = self.random.choice(list(self.nodes.values()))
        if node.replica and node.last_index and self.random.random() < 0.02:
            self.compact(node)

    def _use(self, leader: Node) -> None:
        try:
            if self.random.random() < 0.3:
                self.confirm_round(leader)
                return
            for _ in range(self.random.choice([1, 1, 1, 5, 30])):
                self.propose(leader)
        except NotLeader:
            return

    def _inject_fault(self) -> None:
        if not self.faults.interval:
            return
        delay = self.random.expovariate(1 / self.faults.interval)
        self.schedule(delay, self._inject_fault)
        name = self.random.choice(list(self.nodes))
        node = self.nodes[name]
        kind = self.random.randrange(8)
        if kind == 0 and node.replica:
            self.crash(name)
            self.schedule(self.random.uniform(0, 1.0), lambda: self._revive(node))
        elif kind == 1:
            self.pause(name, self.random.uniform(0, 1.0))
        elif kind == 2:
            self.isolate(name)
            self.schedule(self.random.uniform(0.1, 1.5), self.cut.clear)
        elif kind == 3:
            other = self.random.choice(list(self.nodes))
            self.cut.add((name, other))
            self.schedule(self.random.uniform(0.1, 1.5), self.cut.clear)
        elif kind == 4:
            node.clock_offset += self.random.uniform(-0.5, 1.0)
        elif kind == 5:
            self._crash_all()
        elif kind >= 6 and self.under_repair is None:
            self._begin_repair(node, is_wiped=kind == 6)

    def _crash_all(self) -> None:
        for node in self.nodes.values():
            self.crash(node.name)
            self.schedule(
                self.random.uniform(0, 0.3), functools.partial(self._revive, node)
            )

    def _begin_repair(self, node: Node, *, is_wiped: bool) -> None:
        if len(self.nodes) < 3:
            return  # such a group does not survive the loss of a disk
        if is_wiped:
            if not self._is_group_formed():
                return
            self.wipe(node.name)
            self.schedule(self.random.uniform(0, 0.3), lambda: self._revive(node))
        else:
            leader = self.find_leader()
            if leader is None:
                return
            try:
                self.call(leader, lambda r, now: r.remove(now, node.name))
            except (MembershipRefused, NotLeader):
                return
        self.under_repair = node.name
        self.schedule(0.05, self._go_on_with_repair)

    def _is_group_formed(self) -> bool:
        return self.oracle.highest_acknowledged > 0

    def _go_on_with_repair(self) -> None:
        if self.under_repair is None:
            return
        if self.repair(self.under_repair):
            self.repairs += 1
            self.under_repair = None
            return
        self.schedule(0.02, self._go_on_with_repair)
