"""The decisions which connections of clients stay open, with an injected clock."""

import pytest

from monsoonlug.connection_limits import (
    ClientConnection,
    ClientLimits,
    CloseReason,
    ConnectionTable,
    Phase,
)
from monsoonlug.host_limits import BASE_MEMORY_BYTES, SMALL_PORT_BACKLOG, HostLimits

LIMITS = ClientLimits(
    head_bytes=4_096,
    head_timeout=3.0,
    idle_timeout=15.0,
    body_grace=10.0,
    body_rate=100.0,
    write_timeout=60.0,
)


class Connection(ClientConnection):
    def __init__(self):
        self.reasons = []
        self.body = 0
        self.unsent = 0

    def end(self, reason):
        self.reasons.append(reason)

    @property
    def body_bytes(self):
        return self.body

    @property
    def unsent_bytes(self):
        return self.unsent


class Port:
    """A table with a clock that the test moves, and connections by number."""

    def __init__(self, *, max_connections=3, limits=LIMITS):
        self.now = 100.0
        self.table = ConnectionTable(
            clock=lambda: self.now,
            max_connections=max_connections,
            get_limits=lambda: limits,
        )

    def open(self):
        connection = Connection()
        self.table.open(connection)
        return connection

    def pass_time(self, seconds):
        """Lets time pass, with sweeps like those of a process."""
        for _ in range(round(seconds / 0.25)):
            self.now += 0.25
            self.table.close_expired()


@pytest.fixture
def port():
    return Port()


def test_longest_without_complete_request_is_closed_first(port):
    """Guards against refusing new callers while silent connections stay open."""
    served, silent, other = (port.open() for _ in range(3))
    port.now += 1
    port.table.set_phase(served, Phase.BUSY)
    port.table.set_phase(served, Phase.IDLE)
    newest = port.open()
    assert silent.reasons == [CloseReason.TOO_MANY]
    assert served.reasons == other.reasons == newest.reasons == []
    assert len(port.table) == 3


def test_bytes_without_a_complete_request_do_not_help(port):
    """Guards against connections that outlive others by starting heads and bodies."""
    slow = port.open()
    port.now += 1
    port.open()
    port.open()
    port.table.set_phase(slow, Phase.HEAD)
    port.table.set_phase(slow, Phase.BODY)
    port.open()
    assert slow.reasons == [CloseReason.TOO_MANY]


def test_newest_is_closed_while_all_others_run_requests(port):
    """Guards against cutting running requests for a new connection."""
    running = [port.open() for _ in range(3)]
    for connection in running:
        port.table.set_phase(connection, Phase.BUSY)
    newest = port.open()
    assert newest.reasons == [CloseReason.TOO_MANY]
    assert all(connection.reasons == [] for connection in running)


def test_client_that_reads_nothing_is_closed_before_the_newest(port):
    """Guards against clients that block a port by not reading their responses."""
    running = [port.open() for _ in range(3)]
    for connection in running:
        port.table.set_phase(connection, Phase.BUSY)
    running[1].unsent = 100_000
    port.table.record_stall(running[1])
    newest = port.open()
    assert running[1].reasons == [CloseReason.TOO_MANY]
    assert newest.reasons == []


def test_head_that_never_ends_is_closed(port):
    """Guards against heads that arrive slowly, or of which only a part arrives."""
    connection = port.open()
    port.pass_time(10)
    port.table.set_phase(connection, Phase.HEAD)
    port.pass_time(2.75)
    assert connection.reasons == []
    port.pass_time(0.5)
    assert connection.reasons == [CloseReason.HEAD_TIMEOUT]
    assert len(port.table) == 0


def test_head_within_its_time_restarts_nothing_else(port):
    """Guards against closing a caller whose heads take almost the allowed time."""
    connection = port.open()
    for _ in range(5):
        port.table.set_phase(connection, Phase.HEAD)
        port.pass_time(2.75)
        port.table.set_phase(connection, Phase.BUSY)
        port.pass_time(30)
        port.table.set_phase(connection, Phase.IDLE)
        port.pass_time(12)
    assert connection.reasons == []


def test_idle_connection_is_closed(port):
    """Guards against connections that send nothing."""
    connection = port.open()
    port.pass_time(15)
    assert connection.reasons == []
    port.pass_time(0.25)
    assert connection.reasons == [CloseReason.IDLE]


def test_body_must_keep_a_rate(port):
    """Guards against bodies that arrive so slowly that they never end."""
    slow, fast = port.open(), port.open()
    for connection in (slow, fast):
        port.table.set_phase(connection, Phase.BODY)
    for _ in range(40):
        port.pass_time(1)
        fast.body += 150
        slow.body += 10
    assert slow.reasons == [CloseReason.BODY_TIMEOUT]
    assert fast.reasons == []


def test_body_without_rate_is_left_to_its_deadline():
    """Guards against cutting an upload that the deadline of its request allows."""
    port = Port(
        limits=ClientLimits(head_bytes=4_096, head_timeout=3.0, idle_timeout=15.0)
    )
    connection = port.open()
    port.table.set_phase(connection, Phase.BODY)
    port.pass_time(59)
    assert connection.reasons == []


def test_slow_reader_is_kept_and_stopped_reader_is_closed(port):
    """Guards against clients that pipeline and read nothing, not against slow ones."""
    slow, stopped = port.open(), port.open()
    for connection in (slow, stopped):
        port.table.set_phase(connection, Phase.BUSY)
        connection.unsent = 100_000
        port.table.record_stall(connection)
    for _ in range(8):
        port.pass_time(10)
        slow.unsent -= 1
    assert slow.reasons == []
    assert stopped.reasons == [CloseReason.UNREAD]
    port.table.end_stall(slow)
    port.pass_time(120)
    assert slow.reasons == []


def test_closed_connection_is_forgotten(port):
    """Guards against closing a connection twice, or one that reports late."""
    connection = port.open()
    port.table.set_phase(connection, Phase.HEAD)
    port.table.close(connection)
    port.table.set_phase(connection, Phase.IDLE)
    port.table.record_stall(connection)
    port.pass_time(100)
    assert connection.reasons == []
    assert len(port.table) == 0


def test_host_limits_leave_room_for_other_descriptors():
    """Guards against callers that leave no descriptors for backend servers."""
    limits = HostLimits(memory_bytes=160 * 1_048_576, descriptors=1_638)
    used = limits.get_client_connections() + limits.get_streams()
    used += 2 * limits.get_small_port_connections()
    assert used <= 0.8 * 1_638
    # An entry that is otherwise idle has 47 MB; objects double what is counted.
    assert 47 * 1_048_576 + 2 * limits.get_budget_bytes() <= 160 * 1_048_576


@pytest.mark.parametrize(
    ("megabytes", "descriptors"),
    [(160, 1_638), (200, 4_100), (296, 4_096), (300, 4_100), (440, 10_250)],
)
def test_unread_bytes_of_all_client_ports_fit_into_memory(megabytes, descriptors):
    """Guards against a crowd that fills the kernel's buffers of every connection."""
    memory = megabytes * 1_048_576
    limits = HostLimits(memory_bytes=memory, descriptors=descriptors)
    small = limits.get_small_port_connections() + SMALL_PORT_BACKLOG
    connections = limits.get_client_connections() + limits.get_backlog() + 2 * small
    # The kernel doubles the size of a buffer.
    unread = connections * 2 * limits.get_client_receive_buffer()
    held = 2 * limits.get_budget_bytes()
    assert BASE_MEMORY_BYTES + unread + held <= memory
    # A busy entry has some hundred connections of callers.
    assert limits.get_client_connections() >= 500
    assert limits.get_backlog() >= 300


def test_settings_replace_derived_limits():
    """Guards against settings without effect."""
    limits = HostLimits(
        memory_bytes=160 * 1_048_576,
        descriptors=1_638,
        budget_bytes=5,
        client_connections=7,
    )
    assert limits.get_budget_bytes() == 5
    assert limits.get_client_connections() == 7


def test_hosts_without_limits_have_generous_ones():
    """Guards against new refusals where the settings name no limits."""
    limits = HostLimits()
    assert limits.get_client_connections() >= 10_000
    assert limits.get_budget_bytes() >= 256 * 1_048_576
    assert limits.get_receive_buffer() is None
