"""Bounds on memory and descriptors of a process, derived from those of its host."""

from dataclasses import dataclass

MEGABYTE = 1_048_576
# Of a host that names no memory; far more than well-behaved clients need.
DEFAULT_BUDGET_BYTES = 512 * MEGABYTE
DEFAULT_DESCRIPTORS = 65_536
# Resident memory of an idle process is up to 62 MB, with the shared pages of libraries.
# The rest is for views, queues and requests in normal operation.
BASE_MEMORY_BYTES = 72 * MEGABYTE
# Objects and the allocator take about as much memory as the bytes that are counted.
BUDGET_SHARE = 0.5
MIN_BUDGET_BYTES = 8 * MEGABYTE
# The rest of the descriptors is for connections to backend servers, other hosts and
# control, and for files.
CLIENT_SHARE = 0.5
STREAM_SHARE = 0.2
# Readiness checks and metrics come from a few clients.
SMALL_PORT_SHARE = 0.05
MAX_SMALL_PORT_CONNECTIONS = 256
MIN_DESCRIPTORS = 64
# Bytes that the kernel may hold for a connection, before it doubles the value for its
# own data. It is above the bandwidth-delay product of 50 Mbit/s and 10 ms.
RECEIVE_BUFFER_BYTES = 65_536


@dataclass(frozen=True, slots=True, kw_only=True)
class HostLimits:
    """Limits of the host of a process, and settings that replace derived values.

    Attributes:
        memory_bytes: Memory of the process, or None if it is not limited.
        descriptors: Descriptors of the process, or None if they are not limited.
        budget_bytes: Size of the memory budget, or None to derive it.
        client_connections: Open connections of clients, or None to derive it.
        link_mbps: Rate of the host's link in Mbit/s, or None if it is not limited.
        cores: Processor time of the process in cores, or None if it is not limited.
    """

    memory_bytes: int | None = None
    descriptors: int | None = None
    budget_bytes: int | None = None
    client_connections: int | None = None
    link_mbps: float | None = None
    cores: float | None = None

    def get_budget_bytes(self) -> int:
        """Returns the size of the memory budget.

        >>> HostLimits(memory_bytes=160 * MEGABYTE).get_budget_bytes() // MEGABYTE
        44
        """
        if self.budget_bytes is not None:
            return self.budget_bytes
        if self.memory_bytes is None:
            return DEFAULT_BUDGET_BYTES
        free = self.memory_bytes - BASE_MEMORY_BYTES
        return max(MIN_BUDGET_BYTES, int(BUDGET_SHARE * free))

    def get_client_connections(self) -> int:
        """Returns how many connections callers, or clients of control, may have open.

        >>> HostLimits(descriptors=1638).get_client_connections()
        819
        """
        if self.client_connections is not None:
            return self.client_connections
        return int(CLIENT_SHARE * self._get_descriptors())

    def get_streams(self) -> int:
        """Returns how many streams other processes may have open to this one."""
        return int(STREAM_SHARE * self._get_descriptors())

    def get_small_port_connections(self) -> int:
        """Returns how many connections a readiness or metrics port may have open."""
        share = int(SMALL_PORT_SHARE * self._get_descriptors())
        return min(MAX_SMALL_PORT_CONNECTIONS, share)

    def get_receive_buffer(self) -> int | None:
        """Returns the bytes that the kernel may receive, or None for its default.

        Bytes that a process has not read yet count towards the memory of its host.
        """
        return None if self.memory_bytes is None else RECEIVE_BUFFER_BYTES

    def _get_descriptors(self) -> int:
        return max(MIN_DESCRIPTORS, self.descriptors or DEFAULT_DESCRIPTORS)
