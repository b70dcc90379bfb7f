"""Tests of the announcements of backend servers."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from monsoonlug.announcements import (
    AnnouncementAnswer,
    GateAddress,
    compress_grants,
    decode_announcement,
    encode_answer,
)
from monsoonlug.exceptions import BadRequest
from monsoonlug.ids import ServerPhase

VALID = {
    "server": "s1",
    "pool": "p",
    "address": "127.0.0.1:80",
    "failure_domain": "a",
    "boot": "b1",
    "phase": "cold",
    "load": 0.5,
}
DETERMINISTIC = settings(
    derandomize=True, database=None, deadline=None, max_examples=100
)


def test_valid_announcement_is_parsed():
    """Guards against a server that cannot register although its document is valid."""
    announcement = decode_announcement(json.dumps(VALID).encode())
    assert announcement.phase is ServerPhase.COLD
    assert announcement.grants_revision == -1


@pytest.mark.parametrize(
    "change",
    [
        {"address": "server.example:80"},
        {"phase": "hot"},
        {"load": -1},
        {"load": float("nan")},
        {"load": "x"},
        {"boot": "a\nb"},
        {"server": "../x"},
        {"grants_revision": 1.5},
        {"more": 1},
        {"pool": "p" * 5000},
    ],
)
def test_invalid_announcement_is_rejected(change):
    """Guards against invalid values in the control state."""
    with pytest.raises(BadRequest):
        decode_announcement(json.dumps({**VALID, **change}).encode())


@pytest.mark.parametrize("body", [b"", b"[]", b"\xff", b"{", b"[" * 4000])
def test_malformed_announcement_is_rejected(body):
    """Guards against an exception other than `BadRequest`."""
    with pytest.raises(BadRequest):
        decode_announcement(body)


def test_answer_has_gate_lease_and_grants():
    """Guards against a lease that is rounded up and unchanged grants sent again."""
    gate = GateAddress(address="127.0.0.1:81", host="h")
    grants = compress_grants([(1, 9), (2, 9), (3, 8)])
    answer = AnnouncementAnswer(gate=gate, lease=0.1239, grants_revision=4)
    document = {"gate": {"address": "127.0.0.1:81", "host": "h"}, "lease_ms": 123}
    document["grants_revision"] = 4
    assert json.loads(encode_answer(answer)) == document
    answer = AnnouncementAnswer(gate=None, lease=-1, grants_revision=4, grants=grants)
    assert json.loads(encode_answer(answer)) == {
        "gate": None,
        "lease_ms": 0,
        "grants_revision": 4,
        "grants": [[1, 2, 9], [3, 3, 8]],
    }


@DETERMINISTIC
@given(st.dictionaries(st.integers(0, 40), st.integers(1, 3)))
def test_grant_ranges_cover_the_same_slices(epochs):
    """Guards against a slice that is lost, added or given a wrong epoch."""
    ranges = compress_grants(sorted(epochs.items()))
    expanded = {}
    for item in ranges:
        for slice_number in range(item.first, item.last + 1):
            expanded[slice_number] = item.epoch
    assert expanded == epochs
