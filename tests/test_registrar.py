import pytest

from monsoonlug import messages
from monsoonlug.fleet_messages import (
    ChangeItems,
    DomainChanged,
    KeyStatus,
    KeyTableChanged,
    ServerCold,
    ServerLimited,
    ServerNotice,
)
from monsoonlug.heartbeats import ServerHeartbeat
from monsoonlug.items import ItemKind, ItemRemoved
from monsoonlug.keyranges import LAST_KEY
from monsoonlug.leases import FormerOwners
from monsoonlug.registrar import (
    INITIAL_ASSIGNMENT_DELAY,
    LEASE_TIMEOUT,
    MAX_REST_BACKOFF,
    REMOVAL_TIMEOUT,
    REST_BACKOFF,
    Registrar,
)
from monsoonlug.request_limits import LimitReport
from tests.test_fleet import Fleet, change
from tests.test_items import build_pool, build_route

PERIOD = 0.87


class Leader:
    """A leader with its registrar, and servers whose heartbeats the test sends."""

    def __init__(self, *, fleet=None):
        self.fleet = fleet or Fleet()
        self.now = 100.0
        self.sequence = 0
        self.former_owners = FormerOwners()
        self.elect()
        if fleet is None:
            self.commit([change(build_pool(), build_route())])

    def elect(self, *, from_snapshot=False):
        """Starts a term of this replica, or of one that starts from a snapshot."""
        view = self.fleet.state.view
        if from_snapshot:
            self.former_owners = FormerOwners.from_snapshot(self.now, view)
        self.registrar = Registrar(
            now=self.now,
            view=view,
            heartbeat_interval=PERIOD,
            former_owners=self.former_owners,
            stores_versions=lambda: True,
        )

    def commit(self, commands):
        for command in commands:
            before = self.fleet.state.view.revision
            self.fleet.index += 1
            _, delta = self.fleet.state.apply(self.fleet.index, command)
            changes = []
            if delta is None:
                assert self.fleet.state.view.revision == before
            else:
                changes = self.fleet.view.apply(delta)
            for item in changes:
                if isinstance(item, KeyTableChanged):
                    self.former_owners.record_change(
                        self.now, item, self.fleet.state.view
                    )
            self.registrar.apply_committed(self.now, command, changes)

    def run_timer(self):
        self.commit(list(self.registrar.plan_commands(self.now)))

    def send_heartbeat(self, server, *, born=1, held=(), freed=(), **fields):
        self.sequence += 1
        heartbeat = ServerHeartbeat(
            server=server,
            born=born,
            sequence=fields.pop("sequence", self.sequence),
            pool="desk",
            address=fields.pop("address", f"10.0.0.{server[1:]}:80"),
            failure_domain=fields.pop("domain", "east"),
            slots=2,
            draining=fields.pop("draining", False),
            cold_seconds=fields.pop("cold", 0.0),
            held=tuple(held),
            freed=tuple(freed),
            version=fields.pop("version", ""),
        )
        commands = self.registrar.handle_heartbeat(self.now, heartbeat)
        if commands is None:
            return None
        self.commit(commands)
        answer = self.registrar.renew_lease(self.now, server, born)
        return None if answer is None else answer.ranges

    def find_owner(self, key):
        return self.fleet.state.view.tables["desk"].find(key).owner

    def start_servers(self, *servers):
        for server in servers:
            self.send_heartbeat(server)
        self.now += INITIAL_ASSIGNMENT_DELAY + 0.1
        for server in servers:
            self.send_heartbeat(server)
        self.run_timer()

    def find_first_range(self, server):
        table = self.fleet.state.view.tables["desk"]
        return next(row for row in table.iterate() if row.owner == server)

    def count_keys(self, server):
        table = self.fleet.state.view.tables["desk"]
        return sum(row.size for row in table.iterate() if row.owner == server)


@pytest.fixture
def leader():
    leader = Leader()
    leader.start_servers("s1", "s2")
    return leader


def test_first_keys_are_spread_over_all_servers(leader):
    """Guards against a first server that gets all keys because it registered first."""
    assert abs(leader.count_keys("s1") - leader.count_keys("s2")) < LAST_KEY / 20
    assert leader.count_keys("s1") + leader.count_keys("s2") == LAST_KEY + 1


def test_keys_of_a_silent_server_wait_for_its_lease(leader):
    """Guards against a second owner while the lease of the first is still valid."""
    leader.send_heartbeat("s1")
    key = leader.find_first_range("s1").start
    granted_at = leader.now
    while leader.now < granted_at + LEASE_TIMEOUT:
        assert leader.find_owner(key) == "s1"
        leader.now += 0.3
        leader.send_heartbeat("s2")
        leader.run_timer()
    leader.now += 0.5
    leader.send_heartbeat("s2")
    leader.run_timer()
    assert leader.count_keys("s1") == 0


def test_new_leader_waits_for_leases_of_the_last_one(leader):
    """Guards against a new leader that assumes a silent server's lease has expired."""
    leader.now += 1.0
    leader.elect()
    started = leader.now
    while leader.now < started + LEASE_TIMEOUT - 0.1:
        leader.now += 0.2
        leader.send_heartbeat("s2")
        leader.run_timer()
        assert leader.count_keys("s1") > 0
    leader.now += 0.5
    leader.send_heartbeat("s2")
    leader.run_timer()
    assert leader.count_keys("s1") == 0


def test_restart_frees_keys_at_once(leader):
    """Guards against keys that wait for the lease of a process that has ended."""
    leader.now += 0.5
    leader.send_heartbeat("s9", born=8, address="10.0.0.1:80")
    leader.run_timer()
    assert leader.count_keys("s1") == 0


def test_released_keys_go_on_with_their_handover(leader):
    """Guards against a slow start of released keys: the handover must go with them."""
    leader.send_heartbeat("s1")
    first = leader.find_first_range("s1")
    ranges = leader.send_heartbeat("s1", draining=True)
    assert ranges == []
    assert leader.find_owner(first.start) == "s1"
    leader.send_heartbeat(
        "s1", draining=True, freed=[(first.start, first.end, "token")]
    )
    assert leader.find_owner(first.start) == "s2"
    granted = leader.send_heartbeat("s2")
    row = next(row for row in granted if row.start <= first.start <= row.end)
    assert row.handover == "token"
    assert row.epoch > first.epoch


def list_rows(ranges):
    return [(row.start, row.end, row.epoch) for row in ranges]


def test_late_releases_take_no_keys_at_a_new_leader(leader):
    """Guards against the reassignment of keys that were granted again since.

    Two heartbeats with released keys were in transit while the server got them back.
    """
    first = leader.find_first_range("s1")
    leader.send_heartbeat("s1")
    leader.commit([DomainChanged(failure_domain="east", in_service=False)])
    leader.send_heartbeat("s3", domain="west")
    leader.elect()
    late = [(first.start, first.end, "token")]
    for _ in range(2):
        leader.send_heartbeat("s1", freed=late)
        assert leader.find_owner(first.start) == "s1"


def test_new_leader_believes_releases_once_earlier_leases_are_over(leader):
    """Guards against keys that stay with a server that has released them."""
    first = leader.find_first_range("s1")
    leader.elect()
    leader.now += LEASE_TIMEOUT
    leader.send_heartbeat("s2")
    leader.send_heartbeat("s1", draining=True)
    leader.send_heartbeat("s1", draining=True)
    assert leader.find_owner(first.start) == "s2"


def test_draining_server_releases_its_keys_early_in_a_term(leader):
    """Guards against keys that nobody serves until the leases of the last term end.

    The server shows by the epoch of one range that it takes this leader's answers.
    """
    held = list_rows(leader.send_heartbeat("s1"))
    leader.elect()
    leader.send_heartbeat("s2")
    granted = list_rows(leader.send_heartbeat("s1", draining=True, held=held))
    assert len(granted) == 1
    assert granted[0][2] > max(epoch for _, _, epoch in held)
    before = leader.count_keys("s1")
    assert leader.send_heartbeat("s1", draining=True, held=granted) == []
    assert leader.count_keys("s1") < before / 2
    leader.send_heartbeat("s1", draining=True)
    assert leader.count_keys("s1") == 0


def test_keys_that_were_never_granted_are_released(leader):
    """Guards against keys that wait for a report which their server cannot send.

    The server got them assigned, and its domain was taken out before its heartbeat.
    """
    leader.commit(leader.registrar.handle_leave(leader.now, "s2", unix_ms=1))
    leader.send_heartbeat("s3", domain="west")
    leader.commit([DomainChanged(failure_domain="east", in_service=False)])
    leader.send_heartbeat("s1")
    leader.send_heartbeat("s1")
    assert leader.count_keys("s1") == 0
    assert leader.count_keys("s3") > 0


def test_keys_that_a_server_still_works_on_are_not_released(leader):
    """Guards against a second owner while a request for the keys is running."""
    rows = list_rows(leader.send_heartbeat("s1"))
    busy = rows[0]
    leader.send_heartbeat("s1", draining=True, held=rows)
    freed = [(start, end, "token") for start, end, _ in rows]
    leader.send_heartbeat("s1", draining=True, held=[busy], freed=freed)
    assert leader.find_owner(busy[0]) == "s1"
    assert leader.count_keys("s1") == busy[1] - busy[0] + 1
    leader.send_heartbeat("s1", draining=True)
    assert leader.count_keys("s1") == 0


def drop_service(leader, version):
    removals = [
        ItemRemoved(kind=ItemKind.ROUTE, name="lookup", version=version),
        ItemRemoved(kind=ItemKind.POOL, name="desk", version=version),
    ]
    changes = [messages.encode(item) for item in removals]
    leader.commit([ChangeItems(changes=changes, sources=["", ""])])


def put_service_back(leader, version):
    leader.commit([change(build_pool(version=version), build_route(version=version))])


def list_owners(leader):
    table = leader.fleet.state.view.tables["desk"]
    return [(row.start, row.end, row.owner) for row in table.iterate()]


@pytest.mark.parametrize("drops", [1, 2])
def test_service_that_is_put_back_leaves_its_keys_where_they_are(leader, drops):
    """Guards against new owners while the leases of the old ones still run."""
    for server in ("s1", "s2"):
        leader.send_heartbeat(server)
    before = list_owners(leader)
    epoch = max(row.epoch for row in leader.fleet.state.view.tables["desk"].iterate())
    for number in range(drops):
        drop_service(leader, 2 + 2 * number)
        leader.now += 0.4
        put_service_back(leader, 3 + 2 * number)
    leader.run_timer()
    assert list_owners(leader) == before
    rows = leader.fleet.state.view.tables["desk"].iterate()
    assert min(row.epoch for row in rows) > epoch
    assert leader.send_heartbeat("s1")


def test_service_without_keys_for_a_while_leaves_them_where_they_are(leader):
    """Guards against the same fault on the path that keeps the pool."""
    leader.send_heartbeat("s1")
    before = list_owners(leader)
    pool = build_pool(version=2, keyed=False)
    leader.commit([change(pool, build_route(version=2))])
    assert "desk" not in leader.fleet.state.view.tables
    leader.now += 1.0
    put_service_back(leader, 3)
    leader.run_timer()
    assert list_owners(leader) == before


def test_keys_of_an_ended_server_are_not_kept_for_it(leader):
    """Guards against keys that wait for a server which ended without its table."""
    leader.send_heartbeat("s2")
    drop_service(leader, 2)
    leader.now += 0.2
    put_service_back(leader, 3)
    leader.send_heartbeat("s1", born=9)
    leader.run_timer()
    assert leader.count_keys("s1") + leader.count_keys("s2") == LAST_KEY + 1
    table = leader.fleet.state.view.tables["desk"]
    assert {row.born for row in table.iterate() if row.owner == "s1"} <= {9}


def test_new_leader_leaves_the_keys_of_a_dropped_service_where_they_are(leader):
    """Guards against a leader that forgets what it applied as a follower."""
    for server in ("s1", "s2"):
        leader.send_heartbeat(server)
    before = list_owners(leader)
    drop_service(leader, 2)
    leader.elect()
    put_service_back(leader, 3)
    for server in ("s1", "s2"):
        leader.send_heartbeat(server)
    leader.run_timer()
    assert list_owners(leader) == before


def test_leader_that_starts_from_a_snapshot_waits_for_all_leases(leader):
    """Guards against the assignment of keys that unknown servers may hold."""
    drop_service(leader, 2)
    leader.elect(from_snapshot=True)
    elected_at = leader.now
    put_service_back(leader, 3)
    while leader.now < elected_at + LEASE_TIMEOUT:
        for server in ("s1", "s2"):
            leader.send_heartbeat(server)
        leader.run_timer()
        assert len(list_owners(leader)) == 1
        leader.now += 0.25
    leader.run_timer()
    assert leader.count_keys("s1") + leader.count_keys("s2") == LAST_KEY + 1


def test_leaving_server_never_gets_its_keys_back(leader):
    """Guards against keys that stay with a draining server."""
    leader.send_heartbeat("s1", draining=True)
    leader.now += 0.1
    assert leader.send_heartbeat("s1", draining=True) == []


def test_left_server_loses_its_lease(leader):
    """Guards against a lease renewal after a server has said that it shuts down."""
    leader.commit(leader.registrar.handle_leave(leader.now, "s1", unix_ms=1))
    assert leader.send_heartbeat("s1") == []
    leader.now += LEASE_TIMEOUT + 2.5 * PERIOD
    leader.send_heartbeat("s2")
    leader.run_timer()
    leader.run_timer()
    assert leader.count_keys("s1") == 0


@pytest.mark.parametrize("new_leader", [False, True])
def test_late_heartbeat_does_not_bring_a_left_server_back(leader, new_leader):
    """Guards against new work for a server whose leave was acknowledged.

    Its last heartbeat, with the state ready, was in transit for seconds.
    """
    leader.now += 0.5
    leader.send_heartbeat("s2")
    leader.commit(leader.registrar.handle_leave(leader.now, "s1", unix_ms=1))
    for _ in range(6):
        leader.now += 0.5
        leader.send_heartbeat("s2")
        leader.run_timer()
    if new_leader:
        leader.elect()
    leader.send_heartbeat("s1")
    assert leader.fleet.state.view.servers["s1"].draining


@pytest.mark.parametrize("new_leader", [False, True])
def test_left_server_that_was_never_registered_stays_out(leader, new_leader):
    """Guards against new work for a server whose first heartbeat arrives after its
    leave was acknowledged, as when it could reach control only for a moment.
    """
    leader.commit(leader.registrar.handle_leave(leader.now, "s7", unix_ms=10_000))
    leader.commit(leader.registrar.handle_leave(leader.now, "s8", unix_ms=10_000))
    if new_leader:
        leader.elect()
    leader.now += 2.3
    for server in ("s7", "s8"):
        assert leader.send_heartbeat(server, born=9_900) is None
        assert not leader.fleet.state.view.is_in_service(
            leader.fleet.state.view.servers[server]
        )
    leader.send_heartbeat("s7", born=14_000)
    record = leader.fleet.state.view.servers["s7"]
    assert leader.fleet.state.view.is_in_service(record)
    leader.now += REMOVAL_TIMEOUT
    leader.run_timer()
    assert "s8" not in leader.fleet.state.view.servers


def test_left_server_is_forgotten_in_the_end(leader):
    """Guards against records of servers that never come back."""
    leader.commit(leader.registrar.handle_leave(leader.now, "s1", unix_ms=1))
    leader.now += REMOVAL_TIMEOUT + 1
    leader.send_heartbeat("s2")
    leader.run_timer()
    assert "s1" not in leader.fleet.state.view.servers


def test_late_heartbeat_changes_nothing(leader):
    """Guards against a delayed heartbeat that clears the draining state."""
    leader.send_heartbeat("s1", draining=True)
    assert leader.send_heartbeat("s1", sequence=1) is None
    assert leader.fleet.state.view.servers["s1"].draining


def test_heartbeat_of_a_dead_process_changes_nothing(leader):
    """Guards against a delayed heartbeat of the previous process at an address."""
    leader.send_heartbeat("s9", born=8, address="10.0.0.1:80")
    assert leader.send_heartbeat("s1", born=1) is None
    assert "s9" in leader.fleet.state.view.servers


def test_domain_out_of_service_gives_its_keys_away(leader):
    """Guards against keys that stay in a failure domain that is out of service."""
    leader.send_heartbeat("s3", domain="west")
    leader.commit([DomainChanged(failure_domain="east", in_service=False)])
    assert leader.send_heartbeat("s1") == []


def test_entries_hear_when_keys_are_between_owners(leader):
    """Guards against requests to a server that no longer holds the key."""
    leader.registrar.take_notices()
    first = leader.find_first_range("s1")
    leader.send_heartbeat("s1", draining=True)
    notices = [n for n in leader.registrar.take_notices() if isinstance(n, KeyStatus)]
    assert any(not n.ready and n.epoch == first.epoch for n in notices)
    leader.send_heartbeat(
        "s1", draining=True, freed=[(first.start, first.end, "token")]
    )
    leader.send_heartbeat("s2")
    epoch = leader.fleet.state.view.tables["desk"].find(first.start).epoch
    notices = [n for n in leader.registrar.take_notices() if isinstance(n, KeyStatus)]
    assert any(n.ready and n.epoch == epoch for n in notices)


def test_cold_servers_are_told_once(leader):
    """Guards against a message to all entries at each heartbeat."""
    leader.registrar.take_notices()
    leader.send_heartbeat("s1", cold=3.0)
    leader.now += PERIOD
    leader.send_heartbeat("s1", cold=3.0 - PERIOD)
    notices = [n for n in leader.registrar.take_notices() if isinstance(n, ServerCold)]
    assert len(notices) == 1


def test_server_that_stays_silent_is_forgotten(leader):
    """Guards against a list of servers that only grows."""
    leader.now += REMOVAL_TIMEOUT + 1
    leader.send_heartbeat("s2")
    leader.run_timer()
    assert set(leader.fleet.state.view.servers) == {"s2"}


def test_hot_keys_leave_a_server_that_has_too_much_to_do(leader):
    """Guards against busy keys that stay together on one overloaded server.

    All requests are for neighbouring keys of one range.
    """
    table = leader.fleet.state.view.tables["desk"]
    hot = leader.find_first_range("s1")
    before = leader.count_keys("s1")
    for _ in range(10):
        leader.now += PERIOD
        for key in range(hot.start, hot.start + 100):
            leader.registrar.record_requests("desk", key, 1)
        for server, utilization in (("s1", 1.5), ("s2", 0.1)):
            leader.registrar.record_utilization(
                server, slowdown=1.0, base_latency=0.1, utilization=utilization
            )
        leader.send_heartbeat("s2")
        leader.run_timer()
        held = leader.send_heartbeat("s1")
        kept = {(row.start, row.end) for row in held}
        missing = [
            row
            for row in table.iterate()
            if row.owner == "s1" and (row.start, row.end) not in kept
        ]
        if missing:
            break
    assert missing
    assert leader.count_keys("s1") == before


def test_speeds_measured_on_different_hosts_are_comparable(leader):
    """Guards against a slow server that looks like a fast one.

    Each host measures only the servers whose gates it serves. A factor relative to
    these says nothing about the rest of the pool.
    """
    table = leader.fleet.state.view.tables["desk"]
    before = leader.count_keys("s1")
    for _ in range(10):
        leader.now += PERIOD
        for row in table.iterate():
            leader.registrar.record_requests("desk", row.start, 1)
        for server, latency in (("s1", 0.12), ("s2", 0.04)):
            leader.registrar.record_utilization(
                server, slowdown=1.0, base_latency=latency, utilization=0.3
            )
        held = leader.send_heartbeat("s2")
        leader.run_timer()
        held = leader.send_heartbeat("s1")
        if sum(row.size for row in held) < before:
            return
    pytest.fail("no key left the slow server")


def test_keys_leave_a_server_that_limits_its_requests(leader):
    """Answers the pattern of a server in need that owns as many keys as the others.

    Requests beyond its limit are refused until other servers own the keys.
    """
    table = leader.fleet.state.view.tables["desk"]
    before = leader.count_keys("s1")
    for _ in range(10):
        leader.now += PERIOD
        for row in table.iterate():
            leader.registrar.record_requests("desk", row.start, 1)
        for server in ("s1", "s2"):
            leader.registrar.record_utilization(
                server, slowdown=1.0, base_latency=0.1, utilization=0.3
            )
        report = LimitReport(server="s1", limit=1.0, age=0.0)
        leader.registrar.limits.record(leader.now, "h1", report)
        leader.send_heartbeat("s2")
        leader.run_timer()
        held = leader.send_heartbeat("s1")
        if sum(row.size for row in held) < before:
            return
    pytest.fail("no key left the limited server")


def test_new_entry_hears_of_limits(leader):
    """Guards against a host that starts with a full rate to a limited server."""
    report = LimitReport(server="s1", limit=1.0, age=0.0)
    leader.registrar.limits.record(leader.now, "h1", report)
    leader.run_timer()
    notice = ServerLimited(server="s1", limit=1.0, senders=1)
    assert notice in leader.registrar.take_notices()
    assert notice in leader.registrar.list_status(leader.now)


def send_notice(leader, server, *, born=1, rest=0.0, is_leaving=False):
    notice = ServerNotice(server=server, born=born, rest=rest, is_leaving=is_leaving)
    leader.registrar.record_notice(leader.now, notice)


def run_heartbeats(leader, servers, held, seconds, *, rest_of=()):
    """Sends heartbeats in turn; servers release what their responses leave out."""
    freed = {server: [] for server in servers}
    until = leader.now + seconds
    while leader.now < until:
        for server in servers:
            leader.now += PERIOD / len(servers)
            for resting in rest_of:
                send_notice(leader, resting, rest=3.0)
            rows = [(row.start, row.end, row.epoch) for row in held[server]]
            granted = leader.send_heartbeat(server, held=rows, freed=freed[server])
            kept = {(row.start, row.end) for row in granted}
            freed[server] = [
                (row.start, row.end, "token")
                for row in held[server]
                if (row.start, row.end) not in kept
            ]
            held[server] = granted
            leader.run_timer()


def test_keys_leave_a_resting_server_and_come_back():
    """Guards against requests that are refused as long as one server rests."""
    leader = Leader()
    servers = ("s1", "s2", "s3")
    leader.start_servers(*servers)
    held = {server: leader.send_heartbeat(server) for server in servers}
    run_heartbeats(leader, servers, held, 2 * PERIOD, rest_of=["s1"])
    assert leader.count_keys("s1") == 0
    assert leader.count_keys("s2") > 0
    run_heartbeats(leader, servers, held, 4.1)
    candidates = leader.registrar._list_usable(leader.now, "desk")
    assert [record.server for record in candidates] == ["s1", "s2", "s3"]


def test_keys_stay_during_a_short_rest(leader):
    """Guards against moves that take longer than the rest itself."""
    before = leader.count_keys("s1")
    send_notice(leader, "s1", rest=0.5)
    leader.send_heartbeat("s1")
    assert leader.registrar.renew_lease(leader.now, "s1", 1).ranges
    assert leader.count_keys("s1") == before


def test_keys_stay_if_most_servers_rest(leader):
    """Guards against the keys of all servers moving to the last one."""
    send_notice(leader, "s1", rest=5.0)
    send_notice(leader, "s2", rest=5.0)
    for server in ("s1", "s2"):
        assert leader.send_heartbeat(server)


def test_server_that_rests_again_and_again_gets_keys_later_each_time(leader):
    """Guards against keys that move to a server which turns them away at once."""
    pauses = []
    for _ in range(6):
        send_notice(leader, "s1", rest=2.0)
        rested_at = leader.now + 2.0
        leader.now = rested_at
        while len(leader.registrar._list_usable(leader.now, "desk")) < 2:
            leader.now += 0.1
            leader.send_heartbeat("s1")
            leader.send_heartbeat("s2")
        pauses.append(round(leader.now - rested_at, 1))
    assert pauses == sorted(pauses)
    assert pauses[0] <= REST_BACKOFF + 0.1
    assert REST_BACKOFF < pauses[-1] <= MAX_REST_BACKOFF + 0.1


def test_rest_of_an_earlier_process_changes_nothing(leader):
    """Guards against a restarted server that counts as resting."""
    leader.send_heartbeat("s1", born=2)
    send_notice(leader, "s1", born=1, rest=5.0)
    leader.now += 1.0
    leader.send_heartbeat("s2")
    assert len(leader.registrar._list_usable(leader.now, "desk")) == 2


def test_server_that_tells_only_its_callers_that_it_leaves_is_drained(leader):
    """Guards against keys that stay with a server whose heartbeats never say so."""
    send_notice(leader, "s1", is_leaving=True)
    leader.run_timer()
    assert leader.fleet.state.view.servers["s1"].draining
    leader.send_heartbeat("s1")
    assert leader.fleet.state.view.servers["s1"].draining
    send_notice(leader, "s2", born=0, is_leaving=True)
    leader.run_timer()
    assert not leader.fleet.state.view.servers["s2"].draining
