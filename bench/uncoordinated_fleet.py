"""Baseline fleet of keyed servers: entries choose the owner of a key independently.

Each entry hashes keys over the servers that it considers available. It checks the
health of each server once per second, excludes it after two failures in a row, and
reads the list of failure domains out of service every five seconds.
"""

from random import Random

from bench.coordinated_fleet import COLD_RATE, COLD_SECONDS, MEAN_SERVICE_TIME
from bench.event_queue import EventQueue
from bench.profiles import DOMAINS, HOSTS, SLOTS, Deployment
from bench.server_model import ServerModel
from bench.simulated_fleet import Fleet, GateTarget
from monsoonlug.gate import Gate

CHECK_INTERVAL = 1.0  # seconds between two health checks of a server
MAX_CHECK_FAILURES = 2  # in a row, until a server is excluded
POLL_INTERVAL = 5.0  # seconds between reads of what is out of service
SLICE_GROUPS = 1024  # the slices of a group prefer servers in the same order
SLICES_PER_GROUP = 64


class UncoordinatedFleet(Fleet):
    """Keyed servers with each entry's own view of their availability.

    Args:
        clock: Virtual time.
        deployment: Size and delays.
        seed: Seed of the random number generator.
    """

    def __init__(self, *, clock: EventQueue, deployment: Deployment, seed: int):
        self.clock = clock
        self.delay = deployment.delay
        self.random = Random(seed)
        self.servers: dict[str, ServerModel] = {}
        self.domains: dict[str, str] = {}
        self.out_of_service: set[str] = set()
        self.host_domains = {}
        self._lost_hosts: set[str] = set()
        for number, host in enumerate(HOSTS):
            self.host_domains[host] = DOMAINS[number % len(DOMAINS)]
        for number in range(deployment.keyed_servers):
            name = f"k{number}"
            self.domains[name] = DOMAINS[number % len(DOMAINS)]
            self.start_server(name, is_cold=False)
        self._failures: dict[tuple[str, str], int] = {}
        self._known_out_of_service: dict[str, set[str]] = {
            host: set() for host in HOSTS
        }
        self._preferences = [
            self._make_preference(group) for group in range(SLICE_GROUPS)
        ]
        for host in HOSTS:
            self._repeat(
                POLL_INTERVAL, lambda host=host: self._poll_out_of_service(host)
            )
            self._repeat(CHECK_INTERVAL, lambda host=host: self._check_health(host))

    def start_server(self, name: str, *, is_cold: bool = True) -> None:
        """Starts a new process of a server, cold or warm."""
        old = self.servers.get(name)
        server = ServerModel(
            clock=self.clock,
            random=Random(self.random.random()),
            slots=SLOTS,
            mean_service_time=MEAN_SERVICE_TIME,
            cold_rate=COLD_RATE,
            cold_until=self.clock.now + COLD_SECONDS if is_cold else 0.0,
        )
        server.cold_overruns = old.cold_overruns if old is not None else 0
        self.servers[name] = server

    def set_host_alive(self, host: str, *, is_alive: bool) -> None:
        """Sets whether an entry host is running."""
        if is_alive:
            self._lost_hosts.discard(host)
        else:
            self._lost_hosts.add(host)

    def list_pooled_servers(self, entry: str) -> list[str]:
        return []

    def locate_pooled(self, entry: str, server: str) -> GateTarget | None:
        return None

    def locate(self, entry: str, slice_number: int) -> GateTarget | None:
        preference = self._preferences[slice_number // SLICES_PER_GROUP]
        for name in preference:
            if self._failures.get((entry, name), 0) >= MAX_CHECK_FAILURES:
                continue
            if self.domains[name] in self._known_out_of_service[entry]:
                continue
            return GateTarget(server=name, host=entry)
        return GateTarget(server=preference[0], host=entry)

    def find_gate(self, target: GateTarget, slice_number: int) -> Gate | None:
        return None

    def is_alive(self, host: str) -> bool:
        return host not in self._lost_hosts

    def find_lease_end(self, host: str, server: str) -> float:
        return self.clock.now + 1.0

    def find_owners(self) -> list[str]:
        """Returns the owner of each slice group in the view of the first live entry."""
        entry = next(host for host in HOSTS if host not in self._lost_hosts)
        return [
            self.locate(entry, group * SLICES_PER_GROUP).server
            for group in range(SLICE_GROUPS)
        ]

    def count_unserved(self, group: int) -> float:
        """Returns the fraction of live entries that send a group to a lost server."""
        live = [host for host in HOSTS if host not in self._lost_hosts]
        lost = 0
        for host in live:
            name = self.locate(host, group * SLICES_PER_GROUP).server
            lost += not self.servers[name].is_alive
        return lost / len(live)

    def _make_preference(self, group: int) -> list[str]:
        return self.random.sample(sorted(self.servers), len(self.servers))

    def _repeat(self, interval: float, task) -> None:
        def run() -> None:
            task()
            self.clock.call_later(interval, run)

        self.clock.call_later(self.random.uniform(0, interval), run)

    def _poll_out_of_service(self, host: str) -> None:
        self._known_out_of_service[host] = set(self.out_of_service)

    def _check_health(self, host: str) -> None:
        for name, server in self.servers.items():
            key = (host, name)
            if server.is_alive:
                self._failures[key] = 0
                continue
            self._failures[key] = self._failures.get(key, 0) + 1
