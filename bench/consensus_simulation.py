"""Discrete-event simulation of the replicated log under faults, checked by an oracle.

Time is virtual. The oracle checks that all replicas apply the same commands in the
same order, that no acknowledged command is lost, that each term has at most one
leader, and that a confirmed round covers all commands acknowledged before it began.
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
    """Probabilities and rates of the simulated faults.

    Attributes:
        loss: Probability that a message is lost.
        duplication: Probability that a message is sent twice.
        delay: Maximum delay of a message without a spike, in seconds.
        delay_spike: Probability of a delay of up to `max_delay_spike` seconds.
        max_delay_spike: Maximum delay of a message with a spike, in seconds.
        sync_crash: Probability that the next sync of a replica crashes it.
        interval: Mean time between other faults, in seconds; 0 disables them.
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay: float = 0.002
    delay_spike: float = 0.0
    max_delay_spike: float = 0.5
    sync_crash: float = 0.0
    interval: float = 0.0


FUZZ_FAULTS = Faults(
    loss=0.03,
    duplication=0.03,
    delay_spike=0.02,
    sync_crash=0.001,
    interval=0.4,
)


class Simulation:
    """A simulated group of replicas in virtual time.

    Args:
        seed: Seed of the random number generators.
        size: Number of replicas.
        faults: Faults to inject.
        with_clients: Whether simulated clients propose commands, begin rounds and
            compact logs.
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
        self.blocked_links: set[tuple[str, str]] = set()
        self.steps = 0
        self.under_repair: str | None = None
        self.repairs = 0
        self.crashes = 0
        self.messages_sent = 0
        self._identities = 0
        self._commands = 0
        self._events: list[tuple[float, int, Callable]] = []
        self._event_count = 0
        for name in self.names:
            self.add_node(name)
        self.with_clients = with_clients
        if with_clients:
            self.schedule(0.01, self._run_client)
        if self.faults.interval:
            self.schedule(1.0, self._inject_fault)

    # Events.

    def schedule(self, delay: float, action: Callable) -> None:
        """Schedules an action after a delay in seconds."""
        self._event_count += 1
        heapq.heappush(self._events, (self.now + delay, self._event_count, action))

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
        """Runs events for a duration in seconds."""
        end = self.now + duration
        while self._events[0][0] <= end:
            self.step()
        self.now = end

    def run_until(self, condition: Callable[[], bool], *, limit: float = 10.0) -> None:
        """Runs events until a condition holds.

        Raises:
            OracleError: If it does not hold within `limit` seconds.
        """
        end = self.now + limit
        while not condition():
            if self.now > end:
                raise OracleError(f"condition not met within {limit} s of virtual time")
            self.step()

    def settle(self) -> None:
        """Ends all faults and checks that the group commits and lost no command."""
        self.faults = Faults()
        self.blocked_links.clear()
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
                raise OracleError(
                    f"{node.name} is at index {node.last_index} instead of {highest}"
                )

    # Replicas.

    def add_node(self, name: ReplicaId) -> Node:
        """Adds and starts a replica with an empty disk."""
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
        node.starts += 1
        node.last_index = 0
        node.digest = b""
        node.pending_terms.clear()
        node.round_min_indexes.clear()
        starts = node.starts
        self.schedule(
            self.random.uniform(0, TICK_INTERVAL), lambda: self._tick(starts, node)
        )

    def crash(self, name: str) -> None:
        """Crashes a replica, which loses all unsynced writes."""
        self.nodes[name].replica = None
        self.nodes[name].paused_until = 0.0
        self.crashes += 1

    def wipe(self, name: str) -> None:
        """Crashes a replica and replaces its disk by an empty one."""
        self.crash(name)
        self.nodes[name].disk = self._create_disk()

    def restore_disk(self, name: str, disk: Disk) -> None:
        """Restarts a replica on an earlier copy of its disk with the same identity."""
        self.crash(name)
        self.oracle.is_disk_lost = True
        self.nodes[name].disk = disk
        self.start(name)

    def isolate(self, name: str) -> None:
        """Partitions a replica from all others."""
        for other in self.nodes:
            if other != name:
                self.blocked_links |= {(name, other), (other, name)}

    def pause(self, name: str, duration: float) -> None:
        """Pauses a replica for some seconds and delays its messages until then."""
        self.nodes[name].paused_until = self.now + duration

    def find_leader(self) -> Node | None:
        """Returns the running leader with the highest term."""
        leaders = []
        for node in self.nodes.values():
            if node.replica and node.replica.role is Role.LEADER:
                leaders.append(node)
        return max(leaders, key=lambda node: node.replica.term, default=None)

    def wait_for_leader(self, *, limit: float = 10.0) -> Node:
        """Runs until a leader has confirmed a round and returns it."""
        self.run_until(lambda: self._is_settled_leader(self.find_leader()), limit=limit)
        return self.find_leader()

    def call(self, node: Node, action: Callable) -> object:
        """Calls a replica, executes the resulting actions and returns its value."""
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
            self.schedule(
                self.random.uniform(0.01, 0.5), lambda: self._restart_if_down(node)
            )
            return None
        value, actions = result if isinstance(result, tuple) else (None, result)
        for item in actions or []:
            self._execute(node, item)
        return value

    def propose(self, node: Node, command: bytes = b"") -> int | None:
        """Proposes a command, by default a unique one, and returns its index."""
        self._commands += 1
        command = command or self._commands.to_bytes(8, "big")
        flush = self.random.random() < 0.5
        index = self.call(node, lambda r, now: r.propose(now, command, flush=flush))
        if index is None or node.replica is None:
            return None
        if index <= node.last_index:
            self.oracle.acknowledge(index)
        else:
            # It is acknowledged once the command is applied with this term.
            node.pending_terms[index] = node.replica.term
        return index

    def confirm_round(self, node: Node) -> int | None:
        """Begins a leadership confirmation round and returns its id."""
        min_index = self.oracle.highest_acknowledged
        node.round_min_indexes[0] = min_index  # a group of one confirms within the call
        round_id = self.call(node, lambda r, now: r.begin_round(now))
        if round_id is not None:
            node.round_min_indexes[round_id] = min_index
        return round_id

    def compact(self, node: Node, *, padding: int = 0) -> None:
        """Compacts a replica's log; the state grows by `padding` zero bytes."""
        index = node.last_index
        state = msgpack.packb([node.last_index, node.digest, bytes(padding)])
        self.call(node, lambda r, now: r.compact(index, state))

    def repair(self, name: str) -> bool:
        """Takes the next step of a repair and returns whether the repair is done."""
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

    # Internals.

    def _create_disk(self) -> Disk:
        self._identities += 1
        return Disk(identity=f"identity-{self._identities}")

    def _is_settled_leader(self, node: Node | None) -> bool:
        if node is None:
            return False
        if not node.round_min_indexes:
            self.confirm_round(node)
        return node.replica is not None and math.isfinite(node.replica.confirmed_at())

    def _tick(self, starts: int, node: Node) -> None:
        if node.replica is None or node.starts != starts:
            return
        if self.now < node.paused_until:
            self.schedule(
                node.paused_until - self.now, lambda: self._tick(starts, node)
            )
            return
        self.call(node, lambda r, now: r.tick(now))
        self.schedule(TICK_INTERVAL, lambda: self._tick(starts, node))

    def _restart_if_down(self, node: Node) -> None:
        if node.replica is None:
            self.start(node.name)

    def _execute(self, node: Node, action: object) -> None:
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
            min_index = node.round_min_indexes.pop(
                action.round_id, node.round_min_indexes.get(0, 0)
            )
            self.oracle.check_round(action.commit_index, min_index)
        elif isinstance(action, RoleChanged):
            node.pending_terms.clear()
            node.round_min_indexes.clear()
            if action.role is Role.LEADER:
                self.oracle.check_leader(action.term, node.name)

    def _apply(self, node: Node, action: Apply) -> None:
        if action.index <= node.last_index:
            raise OracleError(f"{node.name} applied index {action.index} twice")
        if node.disk.last_index < action.index:
            raise OracleError(
                f"{node.name} applied index {action.index} before syncing it"
            )
        row = msgpack.packb([node.digest, action.index, action.term, action.command])
        node.digest = hashlib.blake2b(row, digest_size=8).digest()
        node.last_index = action.index
        self.oracle.check_digest(action.index, node.digest, node.name)
        if node.pending_terms.pop(action.index, None) == action.term:
            self.oracle.acknowledge(action.index)

    def _send(self, sender: str, action: Send) -> None:
        self.messages_sent += 1
        body = messages.encode(action.message)
        if len(body) > messages.MAX_FRAME_BYTES:
            raise OracleError(f"a frame of {len(body)} bytes exceeds the limit")
        copies = 2 if self.random.random() < self.faults.duplication else 1
        for _ in range(copies):
            if self.random.random() < self.faults.loss:
                continue
            delay = self.random.uniform(0.0003, self.faults.delay)
            if self.random.random() < self.faults.delay_spike:
                delay = self.random.uniform(0, self.faults.max_delay_spike)
            self.schedule(delay, lambda: self._deliver(sender, action.to, body))

    def _deliver(self, sender: str, to: str, body: bytes) -> None:
        node = self.nodes.get(to)
        if node is None or node.replica is None or (sender, to) in self.blocked_links:
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
            self._send_client_calls(self.random.choice(leaders))
        node = self.random.choice(list(self.nodes.values()))
        if node.replica and node.last_index and self.random.random() < 0.02:
            self.compact(node)

    def _send_client_calls(self, leader: Node) -> None:
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
            self.schedule(
                self.random.uniform(0, 1.0), lambda: self._restart_if_down(node)
            )
        elif kind == 1:
            self.pause(name, self.random.uniform(0, 1.0))
        elif kind == 2:
            self.isolate(name)
            self.schedule(self.random.uniform(0.1, 1.5), self.blocked_links.clear)
        elif kind == 3:
            other = self.random.choice(list(self.nodes))
            self.blocked_links.add((name, other))
            self.schedule(self.random.uniform(0.1, 1.5), self.blocked_links.clear)
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
                self.random.uniform(0, 0.3),
                functools.partial(self._restart_if_down, node),
            )

    def _begin_repair(self, node: Node, *, is_wiped: bool) -> None:
        if len(self.nodes) < 3:
            return  # a smaller group cannot survive the loss of a disk
        if is_wiped:
            if not self._is_group_formed():
                return
            self.wipe(node.name)
            self.schedule(
                self.random.uniform(0, 0.3), lambda: self._restart_if_down(node)
            )
        else:
            leader = self.find_leader()
            if leader is None:
                return
            try:
                self.call(leader, lambda r, now: r.remove(now, node.name))
            except (MembershipRefused, NotLeader):
                return
        self.under_repair = node.name
        self.schedule(0.05, self._continue_repair)

    def _is_group_formed(self) -> bool:
        return self.oracle.highest_acknowledged > 0

    def _continue_repair(self) -> None:
        if self.under_repair is None:
            return
        if self.repair(self.under_repair):
            self.repairs += 1
            self.under_repair = None
            return
        self.schedule(0.02, self._continue_repair)
