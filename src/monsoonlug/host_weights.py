"""Weights of hosts by their capacity, and the ranking of hosts for gates."""

import math
from collections.abc import Collection, Iterable

import xxhash

from monsoonlug.gatehost import GateId, LiveHost
from monsoonlug.host_limits import HostLimits
from monsoonlug.host_messages import HostCapacity
from monsoonlug.ids import HostId

# Hosts of a gate's failure domain that are preferred to those of others. The gates of a
# domain of which most hosts fail then do not all move to the few that are left.
LOCAL_CANDIDATES = 3
# Capacity of the smallest host that its callers use. They are spread over all hosts
# alike, so the rest of a host's capacity is for gates.
CALLER_LOAD = 0.8
HASH_RANGE = 2.0**64


class HostCapacities:
    """Capacities that the entries of a fleet reported to its control leader."""

    def __init__(self):
        self._capacities: dict[HostId, HostCapacity] = {}

    def record(self, capacity: HostCapacity) -> None:
        """Adds or replaces the report of a host."""
        self._capacities[HostId(capacity.host)] = capacity

    def remove(self, host: HostId) -> None:
        """Discards the report of a host that leaves."""
        self._capacities.pop(host, None)

    def find_weights(self, hosts: Collection[HostId]) -> dict[HostId, float]:
        """Returns the weights of the live hosts; empty if all of them are alike."""
        if not self._capacities:
            return {}
        known = [self._capacities[host] for host in hosts if host in self._capacities]
        least_link = _find_least(item.link_mbps for item in known)
        least_cores = _find_least(item.cores for item in known)
        weights = {}
        for host in hosts:
            item = self._capacities.get(host)
            ratios = []
            if item is not None and item.link_mbps:
                ratios.append(item.link_mbps / least_link)
            elif least_link:
                ratios.append(1.0)
            if item is not None and item.cores:
                ratios.append(item.cores / least_cores)
            elif least_cores:
                ratios.append(1.0)
            weights[host] = round(min(ratios, default=1.0) - CALLER_LOAD, 3)
        return weights if len(set(weights.values())) > 1 else {}


def _find_least(values: Iterable[float]) -> float:
    """Returns the lowest value that is a limit; 0 if there is none."""
    return min((value for value in values if value > 0), default=0.0)


class CapacityReporter:
    """Reports the capacity of this host once for each contact with a leader.

    Args:
        host: This host.
        limits: Limits in the settings of this process.
    """

    def __init__(self, *, host: HostId, limits: HostLimits):
        self._capacity: HostCapacity | None = None
        if limits.link_mbps or limits.cores:
            self._capacity = HostCapacity(
                host=host,
                link_mbps=limits.link_mbps or 0.0,
                cores=limits.cores or 0.0,
            )
        self._sent_session = 0

    def find_due(self, session: int) -> HostCapacity | None:
        """Returns the report if it was not sent in a session with the leader."""
        return self._capacity if session != self._sent_session else None

    def record_sent(self, session: int) -> None:
        """Records that the report was sent."""
        self._sent_session = session


class HostRanking:
    """Ranks the live hosts for each gate by weighted rendezvous hashing.

    A host gets gates in proportion to its weight, and a host that leaves moves only its
    own gates. With equal weights, hosts are in descending order of their hashes.

    Args:
        hosts: The live hosts.
    """

    def __init__(self, hosts: Iterable[LiveHost]):
        self._hosts = list(hosts)
        self._suffixes = [f"|{item.host}".encode() for item in self._hosts]
        self._is_weighted = len({item.weight for item in self._hosts}) > 1
        self._ranked: dict[str, list[LiveHost]] = {}

    def rank(self, gate: GateId) -> list[LiveHost]:
        """Returns the hosts by descending preference for serving a gate.

        Some hosts of the gate's failure domain come first, so that responses cross
        between failure domains at most once.
        """
        ranked = self._ranked.get(gate.name)
        if ranked is None:
            ranked = self._ranked[gate.name] = self._sort(gate)
        return ranked

    def _sort(self, gate: GateId) -> list[LiveHost]:
        name = gate.name.encode()
        hash_bytes = xxhash.xxh64_intdigest
        hashes = [hash_bytes(name + suffix) for suffix in self._suffixes]
        scores = [-value for value in hashes]
        if self._is_weighted:
            scores = [
                (-math.log((value + 0.5) / HASH_RANGE) / host.weight, -value)
                for value, host in zip(hashes, self._hosts, strict=True)
            ]
        positions = sorted(range(len(scores)), key=scores.__getitem__)
        preferred, others = [], []
        for position in positions:
            host = self._hosts[position]
            is_local = host.failure_domain == gate.failure_domain
            if is_local and len(preferred) < LOCAL_CANDIDATES:
                preferred.append(host)
                continue
            others.append(host)
        return preferred + others
