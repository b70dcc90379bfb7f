"""Tests of the operators' interface and of replicas that restart."""

import json
import shutil
import subprocess
import sys

import pytest

from standins.fleet import build_environment, read_json, wait_for
from tests.process_fleet import (
    SERVER_COUNT,
    WAIT_TIMEOUT,
    apply_catalogue,
    build_catalogue,
    post_change,
    run_command,
    wait_for_status,
)

DIGEST = "{:08x}" + "0" * 56
MISSED_CHANGES = 300  # missed by a replica that was down


def find_address(fleet, replica):
    members = fleet.controls[replica].settings["members"]
    return next(m["operators"] for m in members if m["replica"] == replica)


def withdraw(fleet, number, *, base, change_id):
    """Sends a change to the leader and returns status and answer."""
    document = {
        "kind": "withdraw-key",
        "base": base,
        "change_id": change_id,
        "digest": DIGEST.format(number),
    }
    return post_change(find_address(fleet, fleet.find_leader()), document)


def test_changes_with_equal_base(fleet):
    """Guards against a change that silently overwrites a concurrent one."""
    base = str(fleet.wait_ready(servers=SERVER_COUNT)["config_revision"])
    first = run_command(fleet, "withdraw", DIGEST.format(1), "--base", base)
    assert first["config_revision"] > int(base)
    second = run_command(fleet, "withdraw", DIGEST.format(2), "--base", base, code=1)
    assert second["code"] == "revision-conflict"
    assert DIGEST.format(1)[:8] in str(second["difference"])


def test_resent_change_after_a_lost_leader(fleet):
    """Guards against a change that is made twice or refused when it is sent again."""
    base = fleet.wait_ready(servers=SERVER_COUNT)["config_revision"]
    first = withdraw(fleet, 3, base=base, change_id="resent")
    assert first[0] == 200
    assert withdraw(fleet, 3, base=base, change_id="resent") == first
    leader = fleet.find_leader()
    fleet.controls[leader].kill()
    wait_for_status(fleet, lambda s: s["leader"] != leader, "another leader")
    assert withdraw(fleet, 3, base=base, change_id="resent") == first


def test_unreachable_control(fleet):
    """Guards against a traceback when no control replica answers."""
    done = subprocess.run(
        [sys.executable, "-m", "monsoonlug.main", "status", "--control", "127.0.0.1:1"],
        capture_output=True,
        text=True,
        timeout=60,
        env=build_environment(),
    )
    assert done.returncode == 3
    assert "control-unreachable" in done.stderr
    assert "Traceback" not in done.stderr


def test_invalid_catalogue(fleet):
    """Guards against a catalogue whose errors are reported one at a time."""
    catalogue = build_catalogue()
    catalogue["pools"][0]["limits"]["slots"] = 0
    catalogue["workspaces"][0]["rate"] = 1
    catalogue["routes"][0]["prefix"] = "no-slash"
    path = fleet.folder / "invalid.json"
    path.write_text(json.dumps(catalogue))
    answer = run_command(fleet, "apply", str(path), code=2)
    for field in ("pools[0].limits.slots", "workspaces[0].rate", "routes[0].prefix"):
        assert field in answer["message"]
    base = fleet.wait_ready(servers=SERVER_COUNT)["config_revision"]
    assert apply_catalogue(fleet, build_catalogue())["config_revision"] >= base


@pytest.fixture
def follower(fleet):
    leader = fleet.find_leader()
    return next(name for name in fleet.controls if name != leader)


def test_replica_returns_after_many_changes(fleet, follower):
    """Guards against a replica that cannot catch up or serves stale state."""
    fleet.controls[follower].kill()
    base = fleet.wait_ready(servers=SERVER_COUNT)["config_revision"]
    for number in range(MISSED_CHANGES):
        change_id = f"missed-{number}"
        status, answer = withdraw(fleet, 100 + number, base=base, change_id=change_id)
        assert status == 200, answer
        base = answer["config_revision"]
    fleet.controls[follower].start()
    others = [name for name in fleet.controls if name != follower]
    wait_for(
        lambda: "leader is control" in fleet.controls[follower].read_log()[-400:],
        timeout=WAIT_TIMEOUT,
        what="a leader at the returned replica",
    )
    # A majority now needs the replica that missed the changes.
    leader = fleet.find_leader()
    fleet.controls[next(name for name in others if name != leader)].kill()
    status, answer = withdraw(fleet, 99, base=base, change_id="after")
    assert status == 200, answer
    fleet.controls[leader].kill()
    fleet.controls[leader].start()
    status = wait_for_status(
        fleet, lambda s: s["config_revision"] >= answer["config_revision"], "the change"
    )
    assert status["withdrawn_keys"] >= MISSED_CHANGES


def test_replica_with_an_empty_folder_is_refused(fleet, follower):
    """Guards against a replica that votes after losing its earlier votes."""
    fleet.controls[follower].kill()
    data = fleet.folder / f"{follower}.data"
    kept = fleet.folder / f"{follower}.kept"
    data.rename(kept)
    fleet.controls[follower].start()
    status = wait_for_status(
        fleet, lambda s: s["refused_replicas"], "a refused replica"
    )
    assert [row["replica"] for row in status["refused_replicas"]] == [follower]
    fleet.controls[follower].kill()
    shutil.rmtree(data)
    kept.rename(data)


def test_second_process_with_the_same_folder_is_refused(fleet, follower):
    """Guards against two processes that write to the same log."""
    control = fleet.controls[follower]
    members = control.settings["members"]
    address = next(m["operators"] for m in members if m["replica"] == follower)
    # The previous test may have restarted the replica. It must lock the folder first.
    live = f"http://{address}/live"
    wait_for(lambda: read_json(live), timeout=WAIT_TIMEOUT, what=f"{follower} live")
    done = subprocess.run(
        [sys.executable, *control.command, "--settings", str(control.settings_path)],
        capture_output=True,
        text=True,
        timeout=WAIT_TIMEOUT,
        env=build_environment(),
    )
    assert done.returncode == 4
    assert "folder-locked" in done.stderr
    assert "Traceback" not in done.stderr
    assert control.is_running
