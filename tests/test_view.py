"""Tests of the view and its deltas."""

import dataclasses

import pytest

from monsoonlug.commands import ApplyCatalogue, BeginMove, DeregisterServer, WithdrawKey
from monsoonlug.deltas import MAX_DELTA_BYTES, Delta, HostRecord
from monsoonlug.exceptions import (
    DamagedFrame,
    DigestMismatch,
    RevisionGap,
    StaleRevision,
)
from monsoonlug.ids import SLICE_COUNT, ServiceKind
from monsoonlug.view import View
from tests.fleet_builder import POOL, FleetBuilder, write_catalogue


@pytest.fixture
def fleet():
    fleet = FleetBuilder()
    fleet.set_service(ServiceKind.HOST, "h1")
    fleet.set_service(ServiceKind.FAILURE_DOMAIN, "d2")
    fleet.apply_change(WithdrawKey, key_digest="a" * 64)
    epoch = fleet.view.slices[POOL].get(0).epoch
    fleet.apply(BeginMove(pool=POOL, runs=[0, 9, epoch], keys=[5 << 40, epoch]))
    fleet.apply(
        DeregisterServer(
            server="s3", epoch=fleet.view.servers["s3"].epoch, gate_epoch=0
        )
    )
    fleet.set_service(ServiceKind.HOST, "h1", in_service=True)
    return fleet


def follow(deltas, view=None):
    view = view or View()
    for delta in deltas:
        view.apply(Delta.unpack(delta.pack()))
    return view


def test_deltas_reproduce_the_view(fleet):
    """Guards against a change by the leader that is missing from its deltas."""
    view = follow(fleet.deltas)
    assert view.digest() == fleet.view.digest()
    assert view.pack() == fleet.view.pack()


def test_deltas_apply_to_an_unpacked_view(fleet):
    """Guards against a serialized view that lacks data which later deltas need."""
    half = len(fleet.deltas) // 2
    view = View.unpack(follow(fleet.deltas[:half]).pack())
    assert follow(fleet.deltas[half:], view).pack() == fleet.view.pack()


def test_missing_delta_is_rejected(fleet):
    """Guards against a lost delta that is not detected."""
    view = follow(fleet.deltas[:3])
    with pytest.raises(RevisionGap):
        view.apply(fleet.deltas[4])
    assert view.revision == fleet.deltas[2].revision
    assert not view.damaged


def test_revision_never_decreases(fleet):
    """Guards against a lagging replica that replaces a view with an older one."""
    view = follow(fleet.deltas)
    old = follow(fleet.deltas[:5]).pack()
    with pytest.raises(StaleRevision):
        view.apply(fleet.deltas[5])
    for packed in (old, fleet.view.pack()):
        with pytest.raises(StaleRevision):
            View.unpack(packed, current=view)


def test_view_with_digest_mismatch_refuses_lookups(fleet):
    """Guards against a damaged view that is still used for routing."""
    view = follow(fleet.deltas[:-1])
    host = HostRecord(
        host="x", failure_domain="d", stream="", announce="", boot="b", epoch=1
    )
    wrong = dataclasses.replace(fleet.deltas[-1], changes=[host])
    with pytest.raises(DigestMismatch):
        view.apply(wrong)
    with pytest.raises(DigestMismatch):
        view.locate(POOL, "key")
    with pytest.raises(DigestMismatch):
        view.apply(fleet.deltas[-1])
    assert View.unpack(fleet.view.pack(), current=view).revision == fleet.view.revision


def test_delta_of_another_view_is_rejected(fleet):
    """Guards against a delta that refers to records the view does not have."""
    view = View()
    view.revision = fleet.deltas[-1].base
    with pytest.raises(DigestMismatch):
        view.apply(fleet.deltas[-1])


@pytest.mark.parametrize("data", [b"", b"\x90", b"\xc1", b"\x01"])
def test_malformed_bytes_are_rejected(data):
    """Guards against truncated bytes that are accepted as a delta or view."""
    with pytest.raises(DamagedFrame):
        Delta.unpack(data)
    with pytest.raises(DamagedFrame):
        View.unpack(data)


def test_largest_delta_fits_into_a_frame():
    """Guards against an assignment that exceeds the frame size of the streams.

    The largest delta assigns every other slice, so that no two share a run.
    """
    fleet = FleetBuilder(servers=2, slices=False)
    runs = []
    for start in range(0, SLICE_COUNT, 2):
        runs.extend((start, 1, 0))
    fleet.assign_slices("s0", runs)
    assert SLICE_COUNT // 4 < len(fleet.deltas[-1].pack()) <= MAX_DELTA_BYTES


def test_first_assignment_is_compact():
    """Guards against a row for each slice in the delta that assigns a whole pool."""
    fleet = FleetBuilder(servers=1)
    assert len(fleet.deltas[-1].pack()) < 200


def test_removed_pool_keeps_owned_slices():
    """Guards against two owners of a slice after a pool is removed and added again."""
    fleet = FleetBuilder()
    fleet.apply_change(ApplyCatalogue, text=write_catalogue("q"))
    assert fleet.view.slices[POOL].get(0).owner == "s0"
    assert follow(fleet.deltas).pack() == fleet.view.pack()
