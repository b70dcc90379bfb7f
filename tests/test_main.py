"""Tests of the command line and of the repair of lost replicas."""

import json
import os
import shutil
import subprocess
import sys

import pytest

from monsoonlug import main
from monsoonlug.exceptions import ControlUnreachable, InvalidFile
from monsoonlug.operator_client import OperatorClient, Reply
from standins.fleet import Fleet, wait_for

SECRET = "a-raw-workspace-key"


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(folder=tmp_path)
    fleet.add_controls(3)
    fleet.start()
    yield fleet
    fleet.stop()


def run(fleet, *arguments, code=0):
    done = fleet.run_command(*arguments)
    assert done.returncode == code, done.stdout + done.stderr
    return json.loads(done.stdout)


def find_row(status, replica):
    return next(row for row in status["replicas"] if row["replica"] == replica)


def test_lost_replica_is_repaired_from_the_command_line(fleet):
    """Guards against a replica reported as repaired before it has the whole log."""
    leader = fleet.find_leader()
    lost = next(name for name in fleet.controls if name != leader)
    daemon = fleet.controls[lost]
    daemon.kill()
    shutil.rmtree(daemon.settings["data_folder"])
    status = wait_for(fleet.read_status, timeout=10, what="a status")
    wait_for(
        lambda: not find_row(fleet.read_status(), lost)["repaired"],
        timeout=10,
        what="the loss in the status",
    )
    daemon.start()
    refused = wait_for(
        lambda: fleet.read_status()["refused_replicas"],
        timeout=10,
        what="a refused replica",
    )
    identity = refused[0]["identity"]
    assert identity != find_row(status, lost)["identity"]
    for name in ("none", lost):
        answer = run(fleet, "members", "promote", name, code=1)
        assert answer["code"] == "membership-refused"
    for _ in range(2):  # as after a lost answer
        run(fleet, "members", "add-learner", lost, identity)
    status = run(fleet, "status")
    row = find_row(status, lost)
    assert (row["role"], row["repaired"]) == ("learner", False)
    assert not status["refused_replicas"]
    wait_for(
        lambda: not fleet.run_command("members", "promote", lost).returncode,
        timeout=10,
        what="a learner that holds everything",
    )
    status = run(fleet, "status")
    assert find_row(status, lost)["role"] == "voter"
    assert find_row(status, lost)["repaired"]
    run(fleet, "members", "remove", lost)
    assert len(run(fleet, "status")["replicas"]) == 2


def test_resent_change_is_made_once(fleet, tmp_path):
    """Guards against a second change when an operator resends the first."""
    path = tmp_path / "catalogue.json"
    path.write_text("{}")
    first = run(fleet, "apply", str(path), "--change-id", "c1")
    again = run(fleet, "apply", str(path), "--change-id", "c1")
    assert first == again
    stale = run(fleet, "apply", str(path), "--base", "0", code=1)
    assert stale["code"] == "revision-conflict"


def test_unanswered_change_can_be_resent():
    """Guards against a time-out error without the options that resend the change."""
    client = OperatorClient(addresses=["127.0.0.1:1"], timeout=0.01)
    with pytest.raises(ControlUnreachable, match="--change-id c1 --base 3"):
        client.change("set-service", base=3, change_id="c1")


async def test_change_interrupted_by_an_election_is_retried(monkeypatch):
    """Guards against a change that is reported as refused but may be in force."""
    lost = Reply(status=503, document={"code": "control-unreachable"})
    client = OperatorClient(addresses=["127.0.0.1:1"])
    session = FakeSession([lost, Reply(status=200, document={"status": "accepted"})])
    first = await client._request_once(session, "127.0.0.1:1", "POST", "/", {})
    second = await client._request_once(session, "127.0.0.1:1", "POST", "/", {})
    assert (first, second.status) == (None, 200)


class FakeSession:
    """Session of an HTTP client that returns replies from a list."""

    def __init__(self, replies):
        self._replies = replies

    def request(self, method, url, json):
        return self

    async def __aenter__(self):
        self._reply = self._replies.pop(0)
        self.status = self._reply.status
        return self

    async def __aexit__(self, *details):
        return None

    async def json(self):
        return self._reply.document


@pytest.mark.parametrize("command", ["withdraw", "restore"])
def test_key_given_instead_of_its_digest_is_not_sent(command):
    """Guards against a workspace key in the replicated log or in an error."""
    with pytest.raises(InvalidFile) as caught:
        main.app([command, SECRET, "--control", "127.0.0.1:1"])
    assert SECRET not in str(caught.value)


def test_help_of_every_command_has_an_example_and_exit_codes(capsys):
    """Guards against a command without an example or exit codes in its help."""
    names = ["control", "entry", "check", "apply", "take-out", "bring-back"]
    names += ["withdraw", "restore", "status", "catalogue", "report", "errors"]
    paths = [[name] for name in names]
    paths += [["members", name] for name in ("add-learner", "promote", "remove")]
    listed = {name for name in main.app if not name.startswith("-")}
    assert listed == {*names, "members"}
    for path in paths:
        with pytest.raises(SystemExit):
            main.app([*path, "--help"])
        text = capsys.readouterr().out
        assert f"Example: monsoonlug {' '.join(path)}" in text
        assert text.count("Exit codes:") == 2


def test_closed_output_ends_without_a_traceback():
    """Guards against a traceback when a reader such as `head` closes the pipe."""
    reader, writer = os.pipe()
    os.close(reader)
    command = [sys.executable, "-m", "monsoonlug.main", "errors"]
    with os.fdopen(writer, "w") as output:
        done = subprocess.run(command, stdout=output, stderr=subprocess.PIPE)
    assert done.stderr == b""
