"""Tests of the session lease on both sides."""

import pytest

from monsoonlug.deltas import HostRecord
from monsoonlug.sessions import (
    CLOCK_DRIFT,
    LEASE,
    SESSION_OVER,
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
    lease.sent(1.0, 1)
    return lease


def test_leader_outwaits_the_holder():
    """Guards against timers with which a slow holder acts after its session."""
    assert SESSION_OVER > LEASE * CLOCK_DRIFT


def test_promised_times_are_kept():
    """Guards against a longer lease or age that breaks a promise of the design."""
    assert (LEASE, VIEW_MAX_AGE) == (0.37, 2.0)
    assert round(SESSION_OVER, 6) == 0.4137


def test_new_leader_presumes_all_alive_for_one_lease(table):
    """Guards against a new leader that gives away gates that may still act."""
    assert table.expired(10.0 + SESSION_OVER - 0.001) == []
    assert table.expired(10.0 + SESSION_OVER) == ["h"]


def test_session_ends_after_the_last_renewal(table):
    """Guards against a renewal that is lost or that shortens the session."""
    assert table.renew(10.3, "h", "b")
    assert table.renew(10.1, "h", "b")
    assert table.expired(10.3 + SESSION_OVER - 0.001) == []
    assert table.list_live() == {"h"}
    assert table.expired(10.3 + SESSION_OVER) == ["h"]
    assert table.list_live() == set()


def test_expired_session_is_not_renewed_until_forgotten(table):
    """Guards against an answer between the decision and `DeregisterHost`: two gates."""
    table.expired(11.0)
    assert not table.renew(11.0, "h", "b")
    table.track(11.0, [record()])
    assert not table.renew(11.0, "h", "b")
    table.track(11.1, [record(epoch=2)])
    assert table.renew(11.1, "h", "b")


@pytest.mark.parametrize("host, boot", [("x", "b"), ("h", "other")])
def test_only_the_registered_process_is_renewed(table, host, boot):
    """Guards against a lease for a process whose gates nobody knows."""
    assert not table.renew(10.0, host, boot)


def test_lease_counts_from_the_sending(lease):
    """Guards against a slow answer that makes the lease longer."""
    lease.confirmed(1, 0)
    assert lease.valid_until() == 1.0 + LEASE
    assert lease.is_valid(1.0 + LEASE - 0.001)
    assert not lease.is_valid(1.0 + LEASE)


def test_lease_waits_for_the_view(lease):
    """Guards against a host that acts before it learns that its gates were moved."""
    lease.applied(6)
    lease.confirmed(1, 7)
    assert not lease.is_valid(1.0)
    lease.applied(7)
    assert lease.is_valid(1.0)


def test_view_is_stale_after_its_age(lease):
    """Guards against a view that serves although nobody confirmed it for too long."""
    assert not lease.view_fresh(1.0)
    lease.confirmed(1, 0)
    assert lease.view_fresh(1.0 + VIEW_MAX_AGE - 0.001)
    assert not lease.view_fresh(1.0 + VIEW_MAX_AGE)


def test_late_or_foreign_answers_change_nothing(lease):
    """Guards against an answer that moves the lease back or makes one up."""
    lease.sent(1.2, 2)
    lease.confirmed(2, 0)
    lease.confirmed(1, 0)
    lease.confirmed(99, 0)
    lease.confirmed(2, 0)
    assert lease.valid_until() == 1.2 + LEASE


def test_unanswered_heartbeats_are_bounded(lease):
    """Guards against memory that grows while control is away."""
    for sequence in range(2, 1000):
        lease.sent(1.0, sequence)
    assert len(lease._sent) <= 64
