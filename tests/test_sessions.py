"""Tests of the session lease, on the leader and on the entry host."""

import pytest

from monsoonlug.deltas import HostRecord
from monsoonlug.sessions import (
    LEASE_DURATION,
    MAX_CLOCK_DRIFT,
    SESSION_TIMEOUT,
    VIEW_MAX_AGE,
    SessionLease,
    SessionTable,
)


def record(epoch=1, boot="b"):
    return HostRecord(
        host="h", failure_domain="d", stream="", announce="", boot=boot, epoch=epoch
    )


@pytest.fixture
def table():
    table = SessionTable()
    table.begin(10.0, [record()])
    return table


@pytest.fixture
def lease():
    lease = SessionLease()
    lease.record_sent(1.0, 1)
    return lease


def test_session_outlasts_the_lease():
    """Guards against a host with a slow clock that acts after its session expired."""
    assert SESSION_TIMEOUT > LEASE_DURATION * MAX_CLOCK_DRIFT


def test_times_are_those_of_the_design():
    """Guards against values that differ from those promised in the design."""
    assert (LEASE_DURATION, VIEW_MAX_AGE) == (0.37, 2.0)
    assert round(SESSION_TIMEOUT, 6) == 0.4137


def test_new_leader_presumes_all_alive_for_one_lease(table):
    """Guards against a new leader that reassigns gates whose hosts hold a lease."""
    assert table.expire(10.0 + SESSION_TIMEOUT - 0.001) == []
    assert table.expire(10.0 + SESSION_TIMEOUT) == ["h"]


def test_session_ends_after_the_last_renewal(table):
    """Guards against a renewal that is lost or that shortens the session."""
    assert table.renew(10.3, "h", "b")
    assert table.renew(10.1, "h", "b")
    assert table.expire(10.3 + SESSION_TIMEOUT - 0.001) == []
    assert table.list_live() == {"h"}
    assert table.expire(10.3 + SESSION_TIMEOUT) == ["h"]
    assert table.list_live() == set()


def test_expired_session_is_not_renewed_until_forgotten(table):
    """Guards against two gates: a lease renewed before the host is deregistered."""
    table.expire(11.0)
    assert not table.renew(11.0, "h", "b")
    table.track(11.0, [record()])
    assert not table.renew(11.0, "h", "b")
    table.track(11.1, [record(epoch=2)])
    assert table.renew(11.1, "h", "b")


@pytest.mark.parametrize("host, boot", [("x", "b"), ("h", "other")])
def test_only_the_registered_process_is_renewed(table, host, boot):
    """Guards against a lease for a process that is not registered."""
    assert not table.renew(10.0, host, boot)


def test_lease_starts_when_the_heartbeat_is_sent(lease):
    """Guards against a slow answer that extends the lease."""
    lease.record_response(1, 0)
    assert lease.valid_until() == 1.0 + LEASE_DURATION
    assert lease.is_valid(1.0 + LEASE_DURATION - 0.001)
    assert not lease.is_valid(1.0 + LEASE_DURATION)


def test_lease_waits_for_the_view(lease):
    """Guards against a host that acts before its view shows that its gates moved."""
    lease.record_applied(6)
    lease.record_response(1, 7)
    assert not lease.is_valid(1.0)
    lease.record_applied(7)
    assert lease.is_valid(1.0)


def test_view_is_stale_after_its_age(lease):
    """Guards against requests served by a view that was not confirmed recently."""
    assert not lease.is_view_fresh(1.0)
    lease.record_response(1, 0)
    assert lease.is_view_fresh(1.0 + VIEW_MAX_AGE - 0.001)
    assert not lease.is_view_fresh(1.0 + VIEW_MAX_AGE)


def test_late_or_unknown_answers_change_nothing(lease):
    """Guards against an old or unknown answer that changes the lease."""
    lease.record_sent(1.2, 2)
    lease.record_response(2, 0)
    lease.record_response(1, 0)
    lease.record_response(99, 0)
    lease.record_response(2, 0)
    assert lease.valid_until() == 1.2 + LEASE_DURATION


def test_unanswered_heartbeats_are_bounded(lease):
    """Guards against memory growth while no control replica answers."""
    for sequence in range(2, 1000):
        lease.record_sent(1.0, sequence)
    assert len(lease._send_times) <= 64
