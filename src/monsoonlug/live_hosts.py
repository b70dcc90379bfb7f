"""The live entries of a fleet, as its control leader lists them."""

from dataclasses import dataclass

from monsoonlug.fleet_messages import FleetHeartbeat, LiveHostList
from monsoonlug.host_messages import HostCapacity, HostWeights
from monsoonlug.host_weights import HostCapacities
from monsoonlug.ids import HostId
from monsoonlug.logs import get_logger

ENTRY_TIMEOUT = 1.6  # seconds without a heartbeat until an entry is not live

logger = get_logger("control")


@dataclass(frozen=True, slots=True, kw_only=True)
class _LiveEntry:
    heartbeat: FleetHeartbeat
    last_heartbeat_at: float


class LiveHosts:
    """Entries with recent heartbeats, and the weights of their hosts."""

    def __init__(self):
        self._entries: dict[HostId, _LiveEntry] = {}
        self._capacities = HostCapacities()
        self._weights: dict[HostId, float] = {}
        self.rows: list[list[str]] = []

    def record_heartbeat(self, now: float, heartbeat: FleetHeartbeat) -> None:
        """Records that an entry is live, or leaves."""
        host = HostId(heartbeat.host)
        self._entries[host] = _LiveEntry(heartbeat=heartbeat, last_heartbeat_at=now)
        if heartbeat.leaving:
            self._capacities.remove(host)

    def record_capacity(self, capacity: HostCapacity) -> None:
        """Records what a host reported; the next update takes it into account."""
        self._capacities.record(capacity)

    def update(self, now: float, *, may_change: bool) -> bool:
        """Removes silent entries; returns whether the list or the weights changed.

        Args:
            now: Seconds of a monotonic clock.
            may_change: Whether the list may be replaced already.
        """
        rows = []
        for host in sorted(self._entries):
            entry = self._entries[host]
            if now - entry.last_heartbeat_at > ENTRY_TIMEOUT:
                del self._entries[host]
                logger.info(
                    "Removed entry {} from the live entries: no heartbeat for "
                    "{:.2f} s.",
                    host,
                    now - entry.last_heartbeat_at,
                )
                continue
            if not entry.heartbeat.leaving:
                rows.append(
                    [host, entry.heartbeat.failure_domain, entry.heartbeat.stream]
                )
        weights = self._capacities.find_weights([HostId(row[0]) for row in rows])
        if not may_change or (rows == self.rows and weights == self._weights):
            return False
        if rows != self.rows:
            logger.info("Live entries are {}.", ", ".join(row[0] for row in rows))
        if weights != self._weights:
            items = (f"{host} {weight:g}" for host, weight in weights.items())
            logger.info("Weights of hosts are {}.", ", ".join(items) or "equal")
        self.rows = rows
        self._weights = weights
        return True

    def build_messages(self, term: int) -> list[HostWeights | LiveHostList]:
        """Returns the messages that inform an entry, in the order to send them."""
        listed = LiveHostList(term=term, rows=self.rows)
        if not self._weights:
            return [listed]
        rows = [[host, weight] for host, weight in self._weights.items()]
        return [HostWeights(term=term, rows=rows), listed]
