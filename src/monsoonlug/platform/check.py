"""The command that checks a configuration before it is sent to control."""

import json
import sys
from enum import IntEnum
from pathlib import Path

from monsoonlug.item_checks import (
    Difference,
    Finding,
    Severity,
    check_changes,
    compare_changes,
)
from monsoonlug.items import Item, ItemRemoved, ItemTable
from monsoonlug.platform.documents import collect_patch, get_kind_name


class ExitCode(IntEnum):
    """Exit codes of the command."""

    SOUND = 0
    WARNINGS = 1
    ERRORS = 2


def check_file(file: Path, in_force: Path | None, *, as_json: bool) -> ExitCode:
    """Prints what is wrong with a configuration, and what it would change.

    Args:
        file: The body of the call that changes the configuration.
        in_force: The configuration in force, as control returns it, or None.
        as_json: Whether to print one JSON document.
    """
    table = ItemTable()
    present, problems = _read_changes(in_force) if in_force else ([], [])
    for item in present:
        table.apply(item)
    changes, own_problems = _read_changes(file)
    findings = []
    for text in (*problems, *own_problems):
        findings.append(Finding(severity=Severity.ERROR, text=text))
    # Items that could not be read would be reported as missing.
    if not findings:
        findings = check_changes(table, changes)
    differences = compare_changes(table, changes) if in_force else []
    if as_json:
        _print_json(findings, differences)
    else:
        _print_text(findings, differences)
    if any(item.severity is Severity.ERROR for item in findings):
        return ExitCode.ERRORS
    return ExitCode.WARNINGS if findings else ExitCode.SOUND


def _read_changes(file: Path) -> tuple[list[Item | ItemRemoved], list[str]]:
    try:
        body = file.read_bytes()
    except OSError as error:
        return [], [f"{file}: cannot be read ({error.strerror})"]
    changes, problems = collect_patch(body)
    return changes, [f"{file}: {problem}" for problem in problems]


def _print_json(findings: list[Finding], differences: list[Difference]) -> None:
    document = {"findings": [], "differences": []}
    for item in findings:
        document["findings"].append(
            {
                "severity": item.severity.value,
                "resourceType": get_kind_name(item.kind) if item.kind else "",
                "name": item.name,
                "text": item.text,
            }
        )
    for item in differences:
        document["differences"].append(
            {
                "change": item.type.value,
                "resourceType": get_kind_name(item.kind),
                "name": item.name,
                "fields": list(item.fields),
            }
        )
    json.dump(document, sys.stdout)
    print()


def _print_text(findings: list[Finding], differences: list[Difference]) -> None:
    for item in findings:
        subject = f"{get_kind_name(item.kind)} {item.name}: " if item.kind else ""
        print(f"{item.severity.value}: {subject}{item.text}")
    for item in differences:
        fields = f" ({', '.join(item.fields)})" if item.fields else ""
        print(f"{item.type.value}: {get_kind_name(item.kind)} {item.name}{fields}")
    if not findings:
        print("no errors or warnings")
