"""Tests of the replicated control state."""

import pytest

from monsoonlug.commands import (
    Answer,
    AnswerStatus,
    ApplyCatalogue,
    AssignShard,
    BeginMove,
    ConfirmBackup,
    FinishMove,
    ForgetHost,
    ForgetServer,
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
from monsoonlug.state import MAX_ANSWERS, ControlState
from tests.fleet_builder import POOL, FleetBuilder, write_catalogue

DIGEST = "a" * 64
ACCEPTED, CONFLICT = AnswerStatus.ACCEPTED, AnswerStatus.CONFLICT
INVALID, IGNORED = AnswerStatus.INVALID, AnswerStatus.IGNORED


@pytest.fixture
def fleet():
    return FleetBuilder()


def copy(fleet):
    fleet.state = ControlState.unpack(fleet.state.pack())


def test_commands_survive_the_log():
    """Guards against a field or enum that the log loses."""
    command = SetService(
        change_id="c", base=3, kind=ServiceKind.HOST, name="h", in_service=True
    )
    assert decode_command(encode_command(command)) == command
    with pytest.raises(DamagedFrame):
        decode_command(encode(Cancel(stream=1)))


def test_index_is_applied_once(fleet):
    """Guards against a log entry that is replayed on top of itself."""
    with pytest.raises(StaleRevision):
        fleet.state.apply(fleet.state.applied, ForgetHost(host="h0", epoch=1))


def test_of_equal_bases_exactly_one_wins(fleet):
    """Guards against operators who silently overwrite each other."""
    base = fleet.view.config_revision
    catalogue = write_catalogue(POOL, "q")
    first = fleet.apply_change(ApplyCatalogue, "one", base, text=catalogue)
    second = fleet.set_service(ServiceKind.HOST, "h0", change_id="two", base=base)
    assert (first.status, second.status) == (ACCEPTED, CONFLICT)
    assert second.conflicts == [f"{base + 1}: catalogue: pools +q"]
    assert not fleet.view.out_of_service


@pytest.mark.parametrize("packed", [False, True])
def test_repeated_change_gets_its_first_answer(fleet, packed):
    """Guards against a resent change that runs twice or loses its answer."""
    base = fleet.view.config_revision
    answers = []
    for _ in range(3):
        for change_id, name in (("a", "h0"), ("b", "h1"), ("c", "nothing")):
            answers.append(
                fleet.set_service(
                    ServiceKind.HOST, name, change_id=change_id, base=base
                )
            )
        if packed:
            copy(fleet)
    assert [answer.status for answer in answers[:3]] == [ACCEPTED, CONFLICT, CONFLICT]
    assert answers[:3] == answers[3:6] == answers[6:]
    assert fleet.view.config_revision == base + 1


def test_last_answers_are_kept_through_compaction(fleet):
    """Guards against answers that are forgotten too early or never."""
    first = fleet.apply_change(WithdrawKey, "first", key_digest=DIGEST)
    for number in range(MAX_ANSWERS - 1):
        fleet.apply_change(WithdrawKey, f"n{number}", base=0, key_digest=DIGEST)
    copy(fleet)
    assert fleet.apply_change(WithdrawKey, "first", key_digest=DIGEST) == first
    fleet.apply_change(WithdrawKey, "last", base=0, key_digest=DIGEST)
    assert len(fleet.state._answers) == MAX_ANSWERS
    assert fleet.apply_change(WithdrawKey, "first", base=0, key_digest=DIGEST) != first


def test_old_base_learns_how_much_is_not_listed(fleet):
    """Guards against a conflict that hides changes."""
    base = fleet.view.config_revision
    for number in range(80):
        fleet.apply_change(WithdrawKey, key_digest=f"{number:064x}")
    answer = fleet.apply_change(WithdrawKey, base=base, key_digest=DIGEST)
    assert len(answer.conflicts) == 10
    assert "70 earlier changes" in answer.text


@pytest.mark.parametrize(
    "kind, name, known",
    [
        (ServiceKind.HOST, "h9", "h0, h1"),
        (ServiceKind.BACKEND_SERVER, "h0", "s0, s1"),
        (ServiceKind.FAILURE_DOMAIN, "h0", "d0, d1"),
    ],
)
def test_unknown_thing_cannot_be_taken_out(fleet, kind, name, known):
    """Guards against a misspelt name that takes out nothing but looks done."""
    answer = fleet.set_service(kind, name)
    assert answer.status is INVALID
    assert known in answer.text
    assert not fleet.view.out_of_service


def test_service_is_taken_out_and_brought_back(fleet):
    """Guards against something that stays out, or counts as in, after a change."""
    fleet.set_service(ServiceKind.FAILURE_DOMAIN, "d1")
    assert not fleet.view.is_in_service(fleet.view.servers["s1"])
    assert not fleet.view.is_in_service(fleet.view.hosts["h1"])
    assert fleet.view.is_in_service(fleet.view.servers["s0"])
    fleet.set_service(ServiceKind.FAILURE_DOMAIN, "d1", in_service=True)
    assert fleet.view.is_in_service(fleet.view.servers["s1"])
    again = fleet.set_service(ServiceKind.FAILURE_DOMAIN, "d1", in_service=True)
    assert again.status is INVALID


def test_withdrawn_key_stays_withdrawn_under_a_later_catalogue(fleet):
    """Guards against a catalogue that revives a withdrawn key."""
    fleet.apply_change(WithdrawKey, key_digest=DIGEST)
    fleet.apply_change(ApplyCatalogue, text=write_catalogue(POOL, digests=[DIGEST]))
    copy(fleet)
    assert DIGEST in fleet.view.withdrawn
    assert fleet.apply_change(RestoreKey, key_digest=DIGEST).status is ACCEPTED
    assert DIGEST not in fleet.view.withdrawn
    assert fleet.apply_change(RestoreKey, key_digest=DIGEST).status is INVALID


@pytest.mark.parametrize("text", ["{", '{"pools": 1}', "[" * 100_000, " " * 900_001])
def test_wrong_catalogue_changes_nothing(fleet, text):
    """Guards against a catalogue that stops the replicas or is half applied."""
    before = fleet.view.digest()
    assert fleet.apply_change(ApplyCatalogue, text=text).status is INVALID
    assert fleet.view.digest() == before


def test_commands_with_old_epochs_are_ignored(fleet):
    """Guards against a late command that acts on a state it was not decided on."""
    view = fleet.view
    late = [
        ForgetHost(host="h0", epoch=view.hosts["h0"].epoch - 1),
        ForgetServer(server="s0", epoch=view.servers["s0"].epoch, gate_epoch=0),
        ForgetServer(
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
    assert {fleet.apply(command).status for command in late} == {IGNORED}
    assert fleet.appoint_gate("s0", "h1").status is IGNORED
    assert fleet.appoint_gate("s0", "h1", view.gates["s0"].epoch).status is IGNORED
    assert (
        fleet.assign_slices("s1", [0, 9, view.slices[POOL].get(0).epoch]).status
        is IGNORED
    )
    assert view.digest() == before


def test_second_process_waits_for_the_first(fleet):
    """Guards against two processes of one name that both may act."""
    assert fleet.add_host("h0", "d0", boot="second").status is IGNORED
    assert fleet.add_server("s0", "d0", boot="second").status is IGNORED
    fleet.apply(ForgetHost(host="h0", epoch=fleet.view.hosts["h0"].epoch))
    assert fleet.add_server("s0", "d0", boot="second").status is ACCEPTED
    assert fleet.view.slices[POOL].get(0).state is SliceState.UNOWNED


def test_epoch_of_a_hot_key_grows_with_each_move(fleet):
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
    """Guards against an override table that grows without end."""
    epoch = fleet.view.slices[POOL].get(0).epoch
    keys = []
    for number in range(MAX_OVERRIDES + 5):
        keys.extend((number, epoch))
    fleet.apply(BeginMove(pool=POOL, runs=[], keys=keys))
    assert len(fleet.view.slices[POOL].overrides) == MAX_OVERRIDES


def test_answers_are_equal_on_every_replica(fleet):
    """Guards against replicas that decide differently after a snapshot."""
    other = ControlState.unpack(fleet.state.pack())
    command = WithdrawKey(change_id="x", base=0, key_digest=DIGEST)
    index = fleet.state.applied + 1
    answer, _ = fleet.state.apply(index, command)
    assert isinstance(answer, Answer)
    assert other.apply(index, command)[0] == answer
    assert other.pack() == fleet.state.pack()


def test_released_gate_is_replaced_only_by_its_epoch(fleet):
    """Guards against a new gate while the last one has not reported its end."""
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
    """Guards against a backup without the records that lets a request run twice."""
    assign(fleet, "h0", "h1", 0)
    epoch = fleet.view.shards[0].epoch
    assert assign(fleet, "h2", "h1", epoch).status is IGNORED
    if ready:
        fleet.apply(ConfirmBackup(shard=0, epoch=epoch))
    fleet.apply(ForgetHost(host="h0", epoch=fleet.view.hosts["h0"].epoch))
    assert fleet.view.shards[0].primary == ("h1" if ready else "")
    assign(fleet, "h1", "h2", epoch)
    record = fleet.view.shards[0]
    assert (record.primary, record.backup, record.backup_ready) == ("h1", "h2", False)
    assert record.records_lost_epoch == (0 if ready else record.epoch)
