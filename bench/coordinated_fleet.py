"""Simulated fleet of keyed servers that the coordinator assigns, in virtual time.

Extends the simulated fleet of the coordinator's tests: hosts hold real gates, servers
have slots and cold starts, and the slices that move between servers are counted.
"""

import dataclasses
import json
import math
from collections.abc import Callable
from random import Random

from bench.profiles import DOMAINS, HOSTS, SLOTS, Deployment
from bench.server_model import ServerModel
from bench.simulated_fleet import Fleet, GateTarget
from monsoonlug.catalogue import PoolLimits
from monsoonlug.commands import ApplyCatalogue, FinishMove
from monsoonlug.fairness import QueuedRequest
from monsoonlug.gate import Gate
from monsoonlug.hotspots import HotSpots
from monsoonlug.ids import ServerPhase, Slice, SliceState
from monsoonlug.messages import Heartbeat, SlicesReleased
from monsoonlug.runner import ANNOUNCEMENT_TIMEOUT
from monsoonlug.slices import KEY_HASH_COUNT
from monsoonlug.view import View
from tests.fleet_builder import POOL
from tests.simulation import ANNOUNCE_INTERVAL, Host, Server, World

COLD_RATE = 6.0  # requests per second that a cold server can take
COLD_SECONDS = 2.0  # duration of a cold start
MEAN_SERVICE_TIME = 0.020  # seconds
BATCH_DELAY = 0.002  # seconds for which a host batches view changes
MAX_CACHED_REVISIONS = 64  # view revisions whose releasing slices are cached
ANNOUNCEMENTS_PER_INTERVAL = 4  # while a server has no gate, as in standins.server
HASHES_PER_SLICE = KEY_HASH_COUNT >> 16


class WorldClock:
    """Clock of a simulated fleet."""

    def __init__(self, *, world: World):
        self._world = world

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return self._world.time

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedules a callback after a delay in seconds."""
        self._world.at(max(0.0, delay), callback)


class BenchmarkHost(Host):
    """Entry host with the gates that its view assigns to it.

    Attributes:
        gates: Epoch and gate by server.
        held_slices: Slices by server whose requests are held for a release.
        announced_at: Time of each server's last announcement, in seconds.
        gated_cache: Key of a view, and the servers that it assigns to this host.
    """

    def __init__(self, world, name, domain):
        self.gates: dict[str, tuple[int, Gate]] = {}
        self.held_slices: dict[str, set[int]] = {}
        self.announced_at: dict[str, float] = {}
        self.hot_spots = HotSpots(now=world.time)
        self.is_update_scheduled = False
        self.gated_cache: tuple = (None, [])
        super().__init__(world, name, domain)

    @property
    def now(self) -> float:
        """Virtual time; the coordinator's tests cover clocks that drift."""
        return self.world.time

    def send_to_leader(self, message) -> None:
        if isinstance(message, Heartbeat):
            self.hot_spots.refresh(self.now)
            message = dataclasses.replace(
                message,
                hot_slices=self.hot_spots.slice_rows,
                hot_keys=self.hot_spots.key_rows,
            )
        super().send_to_leader(message)

    def receive_view(self, data) -> None:
        super().receive_view(data)
        self.remove_stale_gates()

    def receive_delta(self, delta) -> None:
        super().receive_delta(delta)
        self.remove_stale_gates()

    def finish_gate(self, name, epoch, message) -> None:
        super().finish_gate(name, epoch, message)
        self.remove_stale_gates()

    def announce(self, server, sent, phase) -> None:
        epoch, record = self.gate_epoch(server.name), self.view.servers.get(server.name)
        if epoch and record.boot == server.boot and self.may_act():
            gate = self.open_gate(server.name, epoch)
            gate.set_phase(self.now, ServerPhase(phase), COLD_RATE)
            self.announced_at[server.name] = self.now
            self.world.process_gate(self.name, server.name, gate)
        super().announce(server, sent, phase)

    def open_gate(self, server: str, epoch: int) -> Gate:
        """Returns the gate of a server, which is created if the epoch is new."""
        known, gate = self.gates.get(server, (0, None))
        if known != epoch:
            self.remove_stale_gates()
            gate = Gate(limits=self.world.limits, now=self.now)
            self.gates[server] = (epoch, gate)
            self.held_slices[server] = set()
        return gate

    def remove_stale_gates(self) -> None:
        """Removes gates that this host no longer holds and refuses their requests."""
        for server, (epoch, gate) in list(self.gates.items()):
            if self.gate_epoch(server) == epoch:
                continue
            del self.gates[server]
            self.world.refuse_queued(gate.remove_all())

    def update_gates(self) -> None:
        if self.is_update_scheduled:
            return
        self.is_update_scheduled = True
        self.world.at(BATCH_DELAY, self.apply_changes, self)

    def apply_changes(self) -> None:
        """Applies the view changes since the last call to the gates."""
        self.is_update_scheduled = False
        if not self.may_act():
            return
        for name in self.list_gated_servers():
            epoch = self.gate_epoch(name)
            if epoch:
                self.serve(name, epoch)
            elif self.finished_epochs.get(name) == self.view.gates[name].epoch:
                self.send_to_leader(self.final_messages[name])

    def list_gated_servers(self) -> list[str]:
        """Returns the servers whose gate the view assigns to this host."""
        key = (id(self.view), self.view.revision)
        if self.gated_cache[0] != key:
            gates = self.view.gates
            names = [name for name, gate in gates.items() if gate.host == self.name]
            self.gated_cache = (key, names)
        return self.gated_cache[1]

    def serve(self, name, epoch) -> None:
        gate = self.open_gate(name, epoch)
        if self.view.gates[name].releasing:
            gate.hold_all()
            if gate.running and self.grant_ends(name, epoch) >= self.now:
                return
        super().serve(name, epoch)

    def release_slices(self, server, epoch, is_expired) -> None:
        gate = self.gates[server.name][1]
        table = self.view.slices[POOL]
        releasing = self.world.list_releasing(self.view).get(server.name, {})
        numbers = list(releasing)
        held = self.held_slices[server.name]
        released = sorted(held.difference(numbers))
        if released:
            resumed = [
                item for item in released if table.get(item).owner == server.name
            ]
            gate.resume_slices(resumed)
            moved_slices = held.difference(numbers, resumed)
            self.world.refuse_queued(gate.remove_held(sorted(moved_slices)))
        self.held_slices[server.name] = set(numbers)
        idle = gate.hold_slices(numbers)
        if idle:
            self.send_to_leader(
                SlicesReleased(
                    server=server.name,
                    pool=POOL,
                    slices=list(idle),
                    epochs=[releasing[item] for item in idle],
                )
            )


class BenchmarkServer(Server):
    """Backend server that runs requests and announces whether it is cold."""

    def __init__(self, world, name, domain):
        self.model = ServerModel(
            clock=world.clock,
            random=Random(world.rng.random()),
            slots=SLOTS,
            mean_service_time=MEAN_SERVICE_TIME,
            cold_rate=COLD_RATE,
            cold_until=world.time + COLD_SECONDS if world.is_settled else 0.0,
        )
        old = world.server_models.get(name)
        if old is not None:
            self.model.cold_overruns = old.cold_overruns
        world.server_models[name] = self.model
        super().__init__(world, name, domain)

    def announce(self) -> None:
        super().announce()
        for step in range(1, ANNOUNCEMENTS_PER_INTERVAL):
            self.world.at(
                step * ANNOUNCE_INTERVAL / ANNOUNCEMENTS_PER_INTERVAL,
                self.search_gate,
                self,
            )

    def search_gate(self) -> None:
        """Announces the server again if no gate has answered recently."""
        if self.now - self.answered > 1.5 * ANNOUNCE_INTERVAL:
            super().announce()

    def redirect(self, host) -> None:
        super().redirect(host)
        self.world.at(
            ANNOUNCE_INTERVAL / ANNOUNCEMENTS_PER_INTERVAL, super().announce, self
        )

    @property
    def phase(self) -> str:
        """Phase in the announcements."""
        return "cold" if self.model.is_cold else "warm"

    @phase.setter
    def phase(self, value: str) -> None:
        # The base class sets an initial phase; here the server model determines it.
        del value


class BenchmarkWorld(World):
    """Simulated fleet of one deployment.

    Args:
        deployment: Size and delays.
        seed: Seed of the random number generators.

    Attributes:
        is_settled: Whether the fleet has started; servers that start later are cold.
        moved_slices: Slices moved so far.
        process_gate: Callback of the routing strategy; sends what a gate releases.
        refuse_queued: Callback of the routing strategy; refuses removed requests.
    """

    def __init__(self, *, deployment: Deployment, seed: int):
        self.delay = deployment.delay
        self.is_settled = False
        self.clock = WorldClock(world=self)
        self.server_models: dict[str, ServerModel] = {}
        self.limits = PoolLimits(
            slots=SLOTS,
            connections=deployment.max_connections,
            cold_rate=COLD_RATE,
            cold_seconds=COLD_SECONDS,
        )
        self.moved_slices = 0
        self._releasing_cache: dict[int, dict[str, dict[int, int]]] = {}
        self.process_gate = lambda host, server, gate: None
        self.refuse_queued: Callable[[list[QueuedRequest]], None] = lambda queued: None
        super().__init__(seed=seed, hosts=0, servers=0)
        self.change(ApplyCatalogue, text=self._write_catalogue())
        for number, name in enumerate(HOSTS):
            self.hosts[name] = BenchmarkHost(self, name, DOMAINS[number % len(DOMAINS)])
        for number in range(deployment.keyed_servers):
            name = f"k{number}"
            domain = DOMAINS[number % len(DOMAINS)]
            self.servers[name] = BenchmarkServer(self, name, domain)

    def send(self, callback, node) -> None:
        self.at(self.delay, callback, node)

    def check(self) -> None:
        """Does nothing; the coordinator's tests check the same decisions."""

    def apply(self, command):
        if isinstance(command, FinishMove):
            self.moved_slices += sum(command.runs[1::3])
        return super().apply(command)

    def list_releasing(self, view: View) -> dict[str, dict[int, int]]:
        """Returns the epochs of the slices that each server must release.

        The result is cached by revision, as all views of one revision are equal.
        """
        cached = self._releasing_cache.get(view.revision)
        if cached is not None:
            return cached
        epochs: dict[str, dict[int, int]] = {}
        table = view.slices[POOL]
        if table.count_state(SliceState.RELEASING):
            for run in table.list_runs(state=SliceState.RELEASING):
                span = range(run.start, run.start + run.count)
                epochs.setdefault(run.owner, {}).update(dict.fromkeys(span, run.epoch))
        self._releasing_cache[view.revision] = epochs
        if len(self._releasing_cache) > MAX_CACHED_REVISIONS:
            del self._releasing_cache[next(iter(self._releasing_cache))]
        return epochs

    def count_request(self, entry: str, slice_number: int) -> None:
        """Counts a request for the hot slices and keys that its entry host reports."""
        spots = self.hosts[entry].hot_spots
        spots.count(POOL, slice_number, slice_number * HASHES_PER_SLICE)

    def list_in_domain(self, nodes: dict, domain: str) -> list[str]:
        """Returns the names of the hosts or servers of a failure domain."""
        return [name for name, node in nodes.items() if node.domain == domain]

    def count_owned(self, domain: str) -> int:
        """Returns the slices that the servers of a failure domain own."""
        table = self.view.slices[POOL]
        return sum(
            table.count_held(n) for n in self.list_in_domain(self.servers, domain)
        )

    def find_imbalance(self) -> float:
        """Returns the maximum number of slices per server divided by the mean."""
        counts = [self.view.slices[POOL].count_held(name) for name in self.servers]
        return max(counts) * len(counts) / sum(counts)

    def is_key_served(self, slice_number: int) -> bool:
        """Returns whether a gate may send requests of a slice to a live server."""
        location = self.view.slices[POOL].get(Slice(slice_number))
        gate = self.view.gates.get(location.owner)
        if location.state is not SliceState.OWNED or gate is None or gate.releasing:
            return False
        host, server = self.hosts[gate.host], self.servers[location.owner]
        if not host.alive or not host.may_act() or not server.alive:
            return False
        if not host.gate_epoch(location.owner):
            return False
        viewed = host.view.slices[POOL].get(Slice(slice_number))
        is_owner = viewed.owner == location.owner and viewed.state is SliceState.OWNED
        return is_owner and server.until > server.now

    def _write_catalogue(self) -> str:
        workspace = {"name": "w", "owner": "o", "limits": {"rate": 1, "burst": 1}}
        pool = {"name": POOL, "owner": "o", "keyed": True}
        pool["limits"] = self.limits.model_dump()
        return json.dumps({"pools": [pool], "workspaces": [workspace]})


class CoordinatedFleet(Fleet):
    """Adapter through which a routing strategy uses a `BenchmarkWorld`.

    Args:
        world: The simulated fleet.
    """

    def __init__(self, *, world: BenchmarkWorld):
        self._world = world
        self.clock = world.clock
        self.delay = world.delay

    @property
    def servers(self) -> dict[str, ServerModel]:
        """Models of the current server processes, by server."""
        return self._world.server_models

    def list_pooled_servers(self, entry: str) -> list[str]:
        return []

    def locate_pooled(self, entry: str, server: str) -> GateTarget | None:
        return None

    def locate(self, entry: str, slice_number: int) -> GateTarget | None:
        host = self._world.hosts[entry]
        if not host.lease.is_view_fresh(host.now) or POOL not in host.view.slices:
            return None
        location = host.view.slices[POOL].get(Slice(slice_number))
        gate = host.view.gates.get(location.owner)
        if location.state is not SliceState.OWNED or gate is None or gate.releasing:
            return None
        return GateTarget(
            server=location.owner,
            host=gate.host,
            gate_epoch=gate.epoch,
            slice_epoch=location.epoch,
        )

    def find_gate(self, target: GateTarget, slice_number: int) -> Gate | None:
        host = self._world.hosts[target.host]
        if host.gate_epoch(target.server) != target.gate_epoch:
            return None
        location = host.view.slices[POOL].get(Slice(slice_number))
        if location.owner != target.server or location.epoch != target.slice_epoch:
            return None
        return host.open_gate(target.server, target.gate_epoch)

    def is_alive(self, host: str) -> bool:
        return self._world.hosts[host].alive

    def find_lease_end(self, host: str, server: str) -> float:
        gate_host = self._world.hosts[host]
        if (
            gate_host.now - gate_host.announced_at.get(server, -math.inf)
            > ANNOUNCEMENT_TIMEOUT
        ):
            return -math.inf
        return gate_host.lease.valid_until()
