"""Interface of a simulated fleet to routing strategies, and a fleet that is static."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from bench.server_model import Clock, ServerModel
from monsoonlug.gate import Gate


@dataclass(frozen=True, slots=True, kw_only=True)
class GateTarget:
    """The gate that is responsible for a request in an entry's view."""

    server: str
    host: str
    gate_epoch: int = 0
    slice_epoch: int = 0


class Fleet(ABC):
    """Hosts and servers with their state, as a routing strategy uses them.

    Attributes:
        clock: Virtual time.
        delay: One-way delay between two hosts, in seconds.
        servers: Servers by name.
    """

    clock: Clock
    delay: float
    servers: dict[str, ServerModel]

    @abstractmethod
    def list_pooled_servers(self, entry: str) -> list[str]:
        """Returns the servers of the pool that an entry may use."""

    @abstractmethod
    def locate(self, entry: str, slice_number: int) -> GateTarget | None:
        """Returns the target of a slice in the view of an entry."""

    @abstractmethod
    def locate_pooled(self, entry: str, server: str) -> GateTarget | None:
        """Returns the gate of a pooled server in the view of an entry."""

    @abstractmethod
    def find_gate(self, target: GateTarget, slice_number: int) -> Gate | None:
        """Returns the gate of a target, or None if its host no longer holds it."""

    @abstractmethod
    def is_alive(self, host: str) -> bool:
        """Returns whether a host is running."""

    @abstractmethod
    def find_lease_end(self, host: str, server: str) -> float:
        """Returns the end of a host's lease on a server; in the past if it has none."""


class StaticFleet(Fleet):
    """Servers of one pool with fixed gates and without failures.

    Args:
        clock: Virtual time.
        delay: One-way delay between two hosts, in seconds.
        servers: Servers by name.
        gates: Gate of each server, by its name.
        hosts: Entry hosts, to which the gates are assigned in turn.
    """

    def __init__(self, *, clock, delay, servers, gates, hosts):
        self.clock, self.delay, self.servers = clock, delay, servers
        self._gates: dict[str, Gate] = gates
        self._server_names = sorted(servers)
        self._gate_hosts = {}
        for number, name in enumerate(self._server_names):
            self._gate_hosts[name] = hosts[number % len(hosts)]
        self._lost_hosts: set[str] = set()

    def stop_host(self, host: str) -> None:
        """Stops a host for the rest of the run."""
        self._lost_hosts.add(host)

    def list_pooled_servers(self, entry: str) -> list[str]:
        return self._server_names

    def locate(self, entry: str, slice_number: int) -> GateTarget | None:
        return self.locate_pooled(
            entry, self._server_names[slice_number % len(self._server_names)]
        )

    def locate_pooled(self, entry: str, server: str) -> GateTarget | None:
        return GateTarget(server=server, host=self._gate_hosts[server])

    def find_gate(self, target: GateTarget, slice_number: int) -> Gate | None:
        return self._gates[target.server]

    def is_alive(self, host: str) -> bool:
        return host not in self._lost_hosts

    def find_lease_end(self, host: str, server: str) -> float:
        return self.clock.now + 1.0
