"""Command line interface of `monsoonlug`.

Exit codes: 0 done, 1 refused, 2 invalid input, 3 control did not answer in time (a
change may have been made), 4 a daemon stopped after an error.
"""

import json
import os
import re
import sys
from pathlib import Path
from typing import Annotated, Literal
from urllib.parse import urlencode

from cyclopts import App, Parameter

from monsoonlug.exceptions import ControlUnreachable, InvalidFile, MonsoonlugError

EXIT_REFUSED = 1
EXIT_INVALID = 2
EXIT_UNREACHABLE = 3

_EPILOGUE = (
    "Exit codes: 0 done, 1 refused, 2 invalid input, 3 control did not answer in time "
    "(a change may have been made), 4 a daemon stopped after an error."
)
_KEY_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")

app = App(
    name="monsoonlug",
    help=(
        "Router for backend servers that own keys exclusively.\n\n"
        "`monsoonlug COMMAND --help` shows an example of each command. "
        "MONSOONLUG_CONTROL may hold the addresses for `--control`, separated by "
        "spaces."
    ),
    help_epilogue=_EPILOGUE,
    help_format="markdown",
)
members = App(name="members", help="Changes the members of the control group.")
app.command(members)

Control = Annotated[
    list[str],
    Parameter(
        name="--control",
        negative="",
        env_var="MONSOONLUG_CONTROL",
        help="Address of a control replica's operators' interface; may be repeated.",
    ),
]
Base = Annotated[
    int | None,
    Parameter(
        help="Configuration revision that the change is based on. Without it the "
        "newest is taken, and another operator's change is not noticed."
    ),
]
ChangeId = Annotated[
    str | None,
    Parameter(
        help="Id of a change whose answer was lost. If it was made, its first answer "
        "is shown and nothing is changed again."
    ),
]
AsJson = Annotated[bool, Parameter(name="--json", negative="", help="Print JSON.")]
Settings = Annotated[Path, Parameter(help="Settings file, in JSON.")]
Digest = Annotated[
    str, Parameter(help="SHA-256 of the key, 64 lower-case hexadecimal digits.")
]
Kind = Literal["host", "backend-server", "failure-domain"]


@app.command
def control(*, settings: Settings):
    """Runs a control replica until SIGTERM.

    Example: monsoonlug control --settings control.json

    Exit codes: 0 stopped by a signal, 2 invalid settings, 4 could not start or failed.
    """
    from monsoonlug.control import ControlService
    from monsoonlug.settings import ControlSettings, read_file

    _run_daemon(ControlService, read_file(settings, ControlSettings))


@app.command
def entry(*, settings: Settings):
    """Runs an entry process until SIGTERM.

    Example: monsoonlug entry --settings entry.json

    Exit codes: 0 stopped by a signal, 2 invalid settings, 4 could not start or failed.
    """
    from monsoonlug.entry import EntryService
    from monsoonlug.settings import EntrySettings, read_file

    _run_daemon(EntryService, read_file(settings, EntrySettings))


@app.command
def check(
    files: list[Path],
    /,
    *,
    kind: Literal["control", "entry", "catalogue"],
    json_: AsJson = False,
):
    """Checks settings or catalogue files and reports every problem.

    Example: monsoonlug check --kind catalogue catalogue.json

    Exit codes: 0 all files are valid, 2 at least one is not.
    """
    from monsoonlug import catalogue, settings

    models = {
        "control": settings.ControlSettings,
        "entry": settings.EntrySettings,
        "catalogue": catalogue.Catalogue,
    }
    problems = []
    for file in files:
        try:
            settings.read_file(file, models[kind])
        except InvalidFile as error:
            problems.extend(error.problems)
    if problems:
        raise InvalidFile(problems)
    _print({"checked": [str(file) for file in files]}, json_)


@app.command
def apply(
    catalogue: Path,
    /,
    *,
    control: Control,
    base: Base = None,
    change_id: ChangeId = None,
    json_: AsJson = False,
):
    """Applies a catalogue, which replaces the current one.

    Example: monsoonlug apply catalogue.json --base 7

    Exit codes: 0 in force, 1 refused (another change came first, or the catalogue is
    not allowed), 2 invalid file, 3 no answer in time (it may be in force).
    """
    from monsoonlug.catalogue import Catalogue
    from monsoonlug.settings import read_file

    checked = read_file(catalogue, Catalogue)
    document = checked.model_dump(mode="json")
    kind = "apply-catalogue"
    _change(control, json_, kind, base, change_id, catalogue=document)


@app.command(name="take-out")
def take_out(
    kind: Kind,
    name: str,
    /,
    *,
    control: Control,
    base: Base = None,
    change_id: ChangeId = None,
    json_: AsJson = False,
):
    """Takes a host, a backend server or a failure domain out of service.

    Requests that run there finish; no new work starts there after a few seconds.

    Example: monsoonlug take-out failure-domain b

    Exit codes: 0 done, 1 refused (not known, or another change came first), 3 no
    answer in time (it may be out).
    """
    fields = {"target": kind, "name": name, "in_service": False}
    _change(control, json_, "set-service", base, change_id, **fields)


@app.command(name="bring-back")
def bring_back(
    kind: Kind,
    name: str,
    /,
    *,
    control: Control,
    base: Base = None,
    change_id: ChangeId = None,
    json_: AsJson = False,
):
    """Brings a host, a backend server or a failure domain back into service.

    Example: monsoonlug bring-back failure-domain b

    Exit codes: 0 done, 1 refused (not out of service, or another change came first),
    3 no answer in time (it may be back).
    """
    fields = {"target": kind, "name": name, "in_service": True}
    _change(control, json_, "set-service", base, change_id, **fields)


@app.command
def withdraw(
    digest: Digest,
    /,
    *,
    control: Control,
    base: Base = None,
    change_id: ChangeId = None,
    json_: AsJson = False,
):
    """Withdraws a workspace key, named by its digest.

    Example: monsoonlug withdraw $(printf %s "$KEY" | sha256sum | cut -c -64)

    Exit codes: 0 done, 1 refused (another change came first), 2 no digest, 3 no answer
    in time (it may be withdrawn).
    """
    _check_digest(digest)
    _change(control, json_, "withdraw-key", base, change_id, digest=digest)


@app.command
def restore(
    digest: Digest,
    /,
    *,
    control: Control,
    base: Base = None,
    change_id: ChangeId = None,
    json_: AsJson = False,
):
    """Allows a withdrawn workspace key again, if the catalogue lists it.

    Example: monsoonlug restore $(printf %s "$KEY" | sha256sum | cut -c -64)

    Exit codes: 0 done, 1 refused (not withdrawn, or another change came first), 2 no
    digest, 3 no answer in time (it may be restored).
    """
    _check_digest(digest)
    _change(control, json_, "restore-key", base, change_id, digest=digest)


@app.command
def status(*, control: Control, json_: AsJson = False):
    """Shows replicas, hosts, backend servers, gates and slices.

    Example: monsoonlug status --control 10.0.1.1:7500

    Exit codes: 0 shown, 3 no replica that leads a majority answered in time.
    """
    _print(_build_client(control).read("/v1/status"), json_)


@app.command
def catalogue(*, control: Control):
    """Prints the catalogue in force as JSON.

    Example: monsoonlug catalogue > catalogue.json

    Exit codes: 0 printed, 3 no replica that leads a majority answered in time.
    """
    _print(_build_client(control).read("/v1/catalogue"), True)


@app.command
def report(
    *,
    control: Control,
    route: str = "",
    window: str = "",
    json_: AsJson = False,
):
    """Shows the burn rates and error budget of each route over several windows.

    With --json, --route and --window keep only one route or window.

    Example: monsoonlug report --json --route reserve --window 1h

    Exit codes: 0 shown, 1 no such route or window, 3 no replica that leads a majority
    answered in time.
    """
    query = urlencode({"route": route, "window": window})
    document = _build_client(control).read(f"/v1/report?{query}")
    if json_:
        _print(document, True)
        return
    print(document["text"])


@app.command
def errors(*, json_: AsJson = False):
    """Lists the error codes with their HTTP status and whether the request ran.

    Example: monsoonlug errors --json

    Exit codes: 0 listed.
    """
    from monsoonlug.exceptions import list_errors

    rows = {
        error.code: {"status": error.status, "request": error.ran.value}
        for error in list_errors()
    }
    _print(rows, json_)


@members.command(name="add-learner")
def add_learner(
    replica: str, identity: str, /, *, control: Control, json_: AsJson = False
):
    """Adds a replica that copies the log and does not vote.

    A replica that lost its data folder is listed under refused_replicas of `status`,
    with the identity of its new folder.

    Example: monsoonlug members add-learner control-2 5f0c...

    Exit codes: 0 done, 1 refused, 3 no answer in time (see `status`).
    """
    _change_members(control, json_, "add-learner", replica, identity=identity)


@members.command
def promote(replica: str, /, *, control: Control, json_: AsJson = False):
    """Makes a learner that holds everything committed a voter.

    Example: monsoonlug members promote control-2

    Exit codes: 0 done, 1 refused (not a learner, or not caught up yet), 3 no answer in
    time (see `status`).
    """
    _change_members(control, json_, "promote", replica)


@members.command
def remove(replica: str, /, *, control: Control, json_: AsJson = False):
    """Takes a replica out of the control group.

    Example: monsoonlug members remove control-2

    Exit codes: 0 done, 1 refused (not a member, or the last voter), 3 no answer in
    time (see `status`).
    """
    _change_members(control, json_, "remove", replica)


def run() -> None:
    """Runs the command line; exits with one of the exit codes after an error."""
    try:
        app()
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of the output, such as `head`, has closed the pipe. Python flushes
        # standard output again at exit, which must not fail.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    except InvalidFile as error:
        _exit_with_error(error, EXIT_INVALID)
    except ControlUnreachable as error:
        _exit_with_error(error, EXIT_UNREACHABLE)
    except MonsoonlugError as error:
        _exit_with_error(error, EXIT_REFUSED)


def _exit_with_error(error: MonsoonlugError, exit_code: int) -> None:
    document = getattr(error, "document", {})
    if "--json" in sys.argv:
        document = {"code": error.code, "message": str(error)} | document
        print(json.dumps(document))
    else:
        print(f"monsoonlug: {error.code}: {error}", file=sys.stderr)
        for row in document.get("difference", []):
            print(f"  changed since: {row}", file=sys.stderr)
    sys.exit(exit_code)


def _build_client(control: list[str]):
    from monsoonlug.exceptions import Problem
    from monsoonlug.operator_client import OperatorClient
    from monsoonlug.settings import check_address

    problems = []
    for address in control:
        try:
            check_address(address)
        except ValueError as error:
            problem = Problem(
                file="command line", path="--control", value=address, allowed=str(error)
            )
            problems.append(problem)
    if problems:
        raise InvalidFile(problems)
    return OperatorClient(addresses=control)


def _check_digest(digest: str) -> None:
    if _KEY_DIGEST_PATTERN.fullmatch(digest):
        return
    from monsoonlug.exceptions import Problem

    # The value may be the key itself, so it is not shown.
    allowed = "64 lower-case hexadecimal digits"
    problem = Problem(
        file="command line", path="DIGEST", value="(hidden)", allowed=allowed
    )
    raise InvalidFile([problem])


def _change(control, as_json, kind, base, change_id, **fields) -> None:
    client = _build_client(control)
    answer = client.change(kind, base=base, change_id=change_id, **fields)
    _print(answer, as_json)


def _change_members(control, as_json, kind, replica, **fields) -> None:
    answer = _build_client(control).change_members(kind, replica=replica, **fields)
    _print(answer, as_json)


def _print(document: dict, as_json: bool) -> None:
    if as_json:
        print(json.dumps(document))
        return
    for name, value in document.items():
        if not isinstance(value, list) or not value:
            print(f"{name}: {_format_value(value)}")
            continue
        print(f"{name}:")
        for row in value:
            print(f"  {_format_value(row)}")


def _format_value(value: object) -> str:
    if isinstance(value, dict):
        return ", ".join(
            f"{name} {_format_value(item)}" for name, item in value.items()
        )
    if isinstance(value, bool):
        return "yes" if value else "no"
    if value is None or value == []:
        return "none"
    return str(value)


def _run_daemon(service, settings) -> None:
    from monsoonlug.daemons import DaemonWorker
    from monsoonlug.logs import configure_logs

    configure_logs(log_format=settings.log_format, log_level=settings.log_level)
    sys.exit(DaemonWorker(service(settings=settings)).run())


if __name__ == "__main__":
    run()
