"""Tests of the replicated control state."""

import pytest

from monsoonlug.commands import (
    ApplyCatalogue,
    AssignShard,
    BeginMove,
    CommandResult,
    CommandStatus,
    ConfirmBackup,
    DeregisterHost,
    DeregisterServer,
    FinishMove,
    ReleaseGate,
    RestoreKey,
    SetService,
    WithdrawKey,
    decode_command,
    encode_command,
)
from monsoonlug.exceptions import DamagedFrame, StaleRevision
from monsoonlug.ids import ServiceKind, SliceState
from monsoonlug.messages import Cancel, encode
from monsoonlug.slices import MAX_OVERRIDES, hash_key
from monsoonlug.state import MAX_STORED_RESULTS, ControlState
from tests.fleet_builder import POOL, FleetBuilder, write_catalogue

DIGEST = "a" * 64
ACCEPTED, CONFLICT = CommandStatus.ACCEPTED, CommandStatus.CONFLICT
INVALID, IGNORED = CommandStatus.INVALID, CommandStatus.IGNORED


@pytest.fixture
def fleet():
    return FleetBuilder()


def restore_from_snapshot(fleet):
    fleet.state = ControlState.unpack(fleet.state.pack())


def test_decoded_command_equals_the_encoded_one():
    """Guards against a field or enum that serialization loses."""
    command = SetService(
        change_id="c", base=3, kind=ServiceKind.HOST, name="h", in_service=True
    )
    assert decode_command(encode_command(command)) == command
    with pytest.raises(DamagedFrame):
        decode_command(encode(Cancel(stream=1)))


def test_index_is_applied_once(fleet):
    """Guards against a log entry that is applied twice."""
    with pytest.raises(StaleRevision):
        fleet.state.apply(fleet.state.applied_index, DeregisterHost(host="h0", epoch=1))


def test_only_one_change_per_base_revision_is_accepted(fleet):
    """Guards against operators who silently overwrite each other."""
    base = fleet.view.config_revision
    catalogue = write_catalogue(POOL, "q")
    first = fleet.apply_change(ApplyCatalogue, "one", base, text=catalogue)
    second = fleet.set_service(ServiceKind.HOST, "h0", change_id="two", base=base)
    assert (first.status, second.status) == (ACCEPTED, CONFLICT)
    assert second.conflicts == [f"{base + 1}: catalogue: pools +q"]
    assert not fleet.view.out_of_service


@pytest.mark.parametrize("packed", [False, True])
def test_repeated_change_gets_its_first_result(fleet, packed):
    """Guards against a resent change that is applied twice or loses its result."""
    base = fleet.view.config_revision
    results = []
    for _ in range(3):
        for change_id, name in (("a", "h0"), ("b", "h1"), ("c", "nothing")):
            results.append(
                fleet.set_service(
                    ServiceKind.HOST, name, change_id=change_id, base=base
                )
            )
        if packed:
            restore_from_snapshot(fleet)
    assert [result.status for result in results[:3]] == [ACCEPTED, CONFLICT, CONFLICT]
    assert results[:3] == results[3:6] == results[6:]
    assert fleet.view.config_revision == base + 1


def test_last_results_are_kept_through_compaction(fleet):
    """Guards against results that are discarded too early or never."""
    first = fleet.apply_change(WithdrawKey, "first", key_digest=DIGEST)
    for number in range(MAX_STORED_RESULTS - 1):
        fleet.apply_change(WithdrawKey, f"n{number}", base=0, key_digest=DIGEST)
    restore_from_snapshot(fleet)
    assert fleet.apply_change(WithdrawKey, "first", key_digest=DIGEST) == first
    fleet.apply_change(WithdrawKey, "last", base=0, key_digest=DIGEST)
    assert len(fleet.state._results) == MAX_STORED_RESULTS
    assert fleet.apply_change(WithdrawKey, "first", base=0, key_digest=DIGEST) != first


def test_conflict_counts_the_changes_it_does_not_list(fleet):
    """Guards against a conflict that omits changes without saying so."""
    base = fleet.view.config_revision
    for number in range(80):
        fleet.apply_change(WithdrawKey, key_digest=f"{number:064x}")
    result = fleet.apply_change(WithdrawKey, base=base, key_digest=DIGEST)
    assert len(result.conflicts) == 10
    assert "70 earlier changes" in result.text


@pytest.mark.parametrize(
    "kind, name, known",
    [
        (ServiceKind.HOST, "h9", "h0, h1"),
        (ServiceKind.BACKEND_SERVER, "h0", "s0, s1"),
        (ServiceKind.FAILURE_DOMAIN, "h0", "d0, d1"),
    ],
)
def test_unknown_name_cannot_be_taken_out_of_service(fleet, kind, name, known):
    """Guards against a misspelt name that is accepted but has no effect."""
    result = fleet.set_service(kind, name)
    assert result.status is INVALID
    assert known in result.text
    assert not fleet.view.out_of_service


def test_service_is_taken_out_and_brought_back(fleet):
    """Guards against a service state that does not follow the change."""
    fleet.set_service(ServiceKind.FAILURE_DOMAIN, "d1")
    assert not fleet.view.is_in_service(fleet.view.servers["s1"])
    assert not fleet.view.is_in_service(fleet.view.hosts["h1"])
    assert fleet.view.is_in_service(fleet.view.servers["s0"])
    fleet.set_service(ServiceKind.FAILURE_DOMAIN, "d1", in_service=True)
    assert fleet.view.is_in_service(fleet.view.servers["s1"])
    repeated = fleet.set_service(ServiceKind.FAILURE_DOMAIN, "d1", in_service=True)
    assert repeated.status is INVALID


def test_withdrawn_key_stays_withdrawn_under_a_later_catalogue(fleet):
    """Guards against a catalogue that restores a withdrawn key."""
    fleet.apply_change(WithdrawKey, key_digest=DIGEST)
    fleet.apply_change(ApplyCatalogue, text=write_catalogue(POOL, digests=[DIGEST]))
    restore_from_snapshot(fleet)
    assert DIGEST in fleet.view.withdrawn
    assert fleet.apply_change(RestoreKey, key_digest=DIGEST).status is ACCEPTED
    assert DIGEST not in fleet.view.withdrawn
    assert fleet.apply_change(RestoreKey, key_digest=DIGEST).status is INVALID


@pytest.mark.parametrize("text", ["{", '{"pools": 1}', "[" * 100_000, " " * 900_001])
def test_invalid_catalogue_changes_nothing(fleet, text):
    """Guards against a catalogue that stops the replicas or is partly applied."""
    before = fleet.view.digest()
    assert fleet.apply_change(ApplyCatalogue, text=text).status is INVALID
    assert fleet.view.digest() == before


def test_commands_with_old_epochs_are_ignored(fleet):
    """Guards against a delayed command that changes a state it was not decided on."""
    view = fleet.view
    delayed = [
        DeregisterHost(host="h0", epoch=view.hosts["h0"].epoch - 1),
        DeregisterServer(server="s0", epoch=view.servers["s0"].epoch, gate_epoch=0),
        DeregisterServer(
            server="s0",
            epoch=view.servers["s0"].epoch - 1,
            gate_epoch=view.gates["s0"].epoch,
        ),
        ReleaseGate(server="s0", gate_epoch=view.gates["s0"].epoch - 1),
        BeginMove(pool=POOL, runs=[0, 9, 1], keys=[hash_key("k"), 1]),
        FinishMove(pool=POOL, owner="s1", owner_epoch=1, runs=[0, 9, 1], keys=[]),
        ConfirmBackup(shard=0, epoch=1),
    ]
    before = view.digest()
    assert {fleet.apply(command).status for command in delayed} == {IGNORED}
    assert fleet.appoint_gate("s0", "h1").status is IGNORED
    assert fleet.appoint_gate("s0", "h1", view.gates["s0"].epoch).status is IGNORED
    assert (
        fleet.assign_slices("s1", [0, 9, view.slices[POOL].get(0).epoch]).status
        is IGNORED
    )
    assert view.digest() == before


def test_second_process_registers_after_the_first_is_removed(fleet):
    """Guards against two processes of one name that are both allowed to act."""
    assert fleet.add_host("h0", "d0", boot="second").status is IGNORED
    assert fleet.add_server("s0", "d0", boot="second").status is IGNORED
    fleet.apply(DeregisterHost(host="h0", epoch=fleet.view.hosts["h0"].epoch))
    assert fleet.add_server("s0", "d0", boot="second").status is ACCEPTED
    assert fleet.view.slices[POOL].get(0).state is SliceState.UNOWNED


def test_epoch_of_a_hot_key_increases_with_each_move(fleet):
    """Guards against an earlier owner of a hot key that passes the fencing check."""
    key, table = "hot", fleet.view.slices[POOL]
    home = table.locate(key).owner
    epochs = [table.locate(key).epoch]
    away = "s0" if home != "s0" else "s1"
    for owner in (away, home, away):
        keys = [hash_key(key), epochs[-1]]
        fleet.apply(BeginMove(pool=POOL, runs=[], keys=keys))
        assert table.locate(key).state is SliceState.RELEASING
        fleet.assign_slices(owner, [], keys)
        assert table.locate(key).owner == owner
        epochs.append(table.locate(key).epoch)
    assert epochs == sorted(set(epochs))


def test_overrides_are_bounded(fleet):
    """Guards against an override table that grows without limit."""
    epoch = fleet.view.slices[POOL].get(0).epoch
    keys = []
    for number in range(MAX_OVERRIDES + 5):
        keys.extend((number, epoch))
    fleet.apply(BeginMove(pool=POOL, runs=[], keys=keys))
    assert len(fleet.view.slices[POOL].overrides) == MAX_OVERRIDES


def test_results_are_equal_on_every_replica(fleet):
    """Guards against replicas whose states diverge after a snapshot."""
    other = ControlState.unpack(fleet.state.pack())
    command = WithdrawKey(change_id="x", base=0, key_digest=DIGEST)
    index = fleet.state.applied_index + 1
    result, _ = fleet.state.apply(index, command)
    assert isinstance(result, CommandResult)
    assert other.apply(index, command)[0] == result
    assert other.pack() == fleet.state.pack()


def test_released_gate_is_replaced_only_by_its_epoch(fleet):
    """Guards against a new gate before the previous one reported its release."""
    epoch = fleet.view.gates["s0"].epoch
    fleet.apply(ReleaseGate(server="s0", gate_epoch=epoch))
    assert fleet.appoint_gate("s0", "h1").status is IGNORED
    assert fleet.appoint_gate("s0", "h1", epoch).status is ACCEPTED
    assert fleet.appoint_gate("s0", "h2", epoch).status is IGNORED


def assign(fleet, primary, backup, epoch):
    hosts = fleet.view.hosts
    return fleet.apply(
        AssignShard(
            shard=0,
            epoch=epoch,
            primary=primary,
            primary_epoch=hosts[primary].epoch,
            backup=backup,
            backup_epoch=hosts[backup].epoch,
        )
    )


@pytest.mark.parametrize("ready", [False, True])
def test_only_a_complete_backup_takes_over_a_shard(fleet, ready):
    """Guards against a request that runs twice because the backup lacks its record."""
    assign(fleet, "h0", "h1", 0)
    epoch = fleet.view.shards[0].epoch
    assert assign(fleet, "h2", "h1", epoch).status is IGNORED
    if ready:
        fleet.apply(ConfirmBackup(shard=0, epoch=epoch))
    fleet.apply(DeregisterHost(host="h0", epoch=fleet.view.hosts["h0"].epoch))
    assert fleet.view.shards[0].primary == ("h1" if ready else "")
    assign(fleet, "h1", "h2", epoch)
    record = fleet.view.shards[0]
    assert (record.primary, record.backup, record.backup_ready) == ("h1", "h2", False)
    assert record.records_lost_epoch == (0 if ready else record.epoch)
