"""Bounds on memory and descriptors of a process, derived from those of its host."""

from dataclasses import dataclass

MEGABYTE = 1_048_576
# Of a host that names no memory; far more than well-behaved clients need.
DEFAULT_BUDGET_BYTES = 512 * MEGABYTE
DEFAULT_DESCRIPTORS = 65_536
# Resident memory of an idle process is up to 62 MB, with the shared pages of libraries.
# The rest is for views, queues and requests in normal operation.
BASE_MEMORY_BYTES = 72 * MEGABYTE
# Share of the other memory for bytes that the kernel received and the process did not
# read. They are outside the budget, as the process cannot see all of them.
UNREAD_SHARE = 0.25
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
# Bytes that the kernel may hold for a stream between processes, before it doubles the
# value for its own data; above the bandwidth-delay product of 50 Mbit/s and 10 ms.
RECEIVE_BUFFER_BYTES = 65_536
# The same for a connection of a client. There are many of them, and most carry a head
# and a small body at a time.
CLIENT_RECEIVE_BUFFER_BYTES = 8_192
KERNEL_FACTOR = 2
# Shares of the unread bytes: of connections that are accepted, and of those that wait
# for it. The rest is for small ports.
ACCEPTED_SHARE = 0.5
BACKLOG_SHARE = 0.25
MAX_BACKLOG = 512  # connections that the kernel accepts ahead of the process
SMALL_PORT_BACKLOG = 16
MIN_CLIENT_CONNECTIONS = 32


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
        33
        """
        if self.budget_bytes is not None:
            return self.budget_bytes
        if self.memory_bytes is None:
            return DEFAULT_BUDGET_BYTES
        free = self.memory_bytes - BASE_MEMORY_BYTES
        return max(MIN_BUDGET_BYTES, int(BUDGET_SHARE * (1 - UNREAD_SHARE) * free))

    def get_client_connections(self) -> int:
        """Returns how many connections callers, or clients of control, may have open.

        >>> HostLimits(descriptors=1638).get_client_connections()
        819
        >>> limits = HostLimits(descriptors=1638, memory_bytes=160 * MEGABYTE)
        >>> limits.get_client_connections()
        704
        """
        if self.client_connections is not None:
            return self.client_connections
        connections = int(CLIENT_SHARE * self._get_descriptors())
        return min(connections, self._count_connections(ACCEPTED_SHARE))

    def get_backlog(self) -> int:
        """Returns how many connections the kernel may accept ahead at a port."""
        return min(MAX_BACKLOG, self._count_connections(BACKLOG_SHARE))

    def _count_connections(self, share: float) -> int:
        """Returns the connections whose unread bytes fit into a share of them."""
        if self.memory_bytes is None:
            return self._get_descriptors()
        unread = UNREAD_SHARE * (self.memory_bytes - BASE_MEMORY_BYTES)
        size = KERNEL_FACTOR * CLIENT_RECEIVE_BUFFER_BYTES
        return max(MIN_CLIENT_CONNECTIONS, int(share * unread / size))

    def get_streams(self) -> int:
        """Returns how many streams other processes may have open to this one."""
        return int(STREAM_SHARE * self._get_descriptors())

    def get_small_port_connections(self) -> int:
        """Returns how many connections a readiness or metrics port may have open."""
        share = int(SMALL_PORT_SHARE * self._get_descriptors())
        return min(MAX_SMALL_PORT_CONNECTIONS, share)

    def get_receive_buffer(self) -> int | None:
        """Returns the bytes that the kernel may receive for a stream, or None.

        Bytes that a process has not read yet count towards the memory of its host.
        Without a limit of memory, the kernel's default applies.
        """
        return None if self.memory_bytes is None else RECEIVE_BUFFER_BYTES

    def get_client_receive_buffer(self) -> int | None:
        """Returns the same for a connection of a client."""
        return None if self.memory_bytes is None else CLIENT_RECEIVE_BUFFER_BYTES

    def _get_descriptors(self) -> int:
        return max(MIN_DESCRIPTORS, self.descriptors or DEFAULT_DESCRIPTORS)
