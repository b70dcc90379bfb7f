"""Tests that the user documentation agrees with the source."""

import json
import re
from pathlib import Path

import pytest

from monsoonlug import admission, catalogue, records, sessions, state
from monsoonlug.announcements import Announcement
from monsoonlug.backend import BackendRequest
from monsoonlug.exceptions import list_errors
from monsoonlug.http_backend import (
    _build_headers,  # headers listed in backend-servers.md
)
from monsoonlug.main import app, members
from monsoonlug.settings import ControlSettings, EntrySettings, check_document

ROOT = Path(__file__).resolve().parent.parent
SOURCES = sorted((ROOT / "src" / "monsoonlug").glob("*.py"))
# Error codes that callers never see: of processes, operators and the command line.
INTERNAL_CODES = {
    "invalid-file",
    "damaged-frame",
    "revision-gap",
    "digest-mismatch",
    "stale-revision",
    "not-leader",
    "revision-conflict",
    "change-refused",
    "control-unreachable",
    "sync-failed",
    "journal-damaged",
    "folder-locked",
    "folder-copied",
    "membership-refused",
    "command-too-large",
    # Attempts fail with these; callers see outcome-unknown.
    "server-crashed",
    "server-unreachable",
    "unknown-window",
    "unknown-report-route",
    # Operators' calls on rollouts.
    "rollout-conflict",
    "rollout-not-found",
    "rollout-unavailable",
}


def read_page(name):
    return (ROOT / "docs" / name).read_text()


def find_in_sources(pattern):
    found = set()
    for path in SOURCES:
        found.update(re.findall(pattern, path.read_text()))
    return found


def list_rows(page, heading):
    """Returns the first cells of the tables below a heading."""
    section = page.partition(f"\n## {heading}\n")[2].partition("\n## ")[0]
    return set(re.findall(r"^\| `([^`]+)` \|", section, flags=re.MULTILINE))


def test_error_table_matches_the_source():
    """Guards against a missing error code, or a wrong status, outcome or message."""
    section = read_page("operators.md").partition("\n## Error codes\n")[2]
    expected = []
    for error in list_errors():
        cells = (f"`{error.code}`", error.status, error.ran.value, error.__doc__)
        expected.append(f"| {' | '.join(str(cell) for cell in cells)} |")
    assert [line for line in section.splitlines() if line.startswith("| `")] == expected


def test_callers_page_lists_every_code_that_callers_see():
    """Guards against an error code without advice for callers."""
    rows = re.findall(r"^\| `([a-z-]+)` \| (\d+) \|", read_page("callers.md"), re.M)
    expected = {
        (error.code, str(error.status))
        for error in list_errors()
        if error.code not in INTERNAL_CODES
    }
    assert set(rows) == expected


def test_every_metric_is_documented():
    """Guards against a metric whose meaning operators cannot look up."""
    names = find_in_sources(r"\.(?:gauge|incr|timing)\(\s*f?\"([^\"]+)\"")
    names = {re.sub(r"\{[^}]*\}", "CODE", name) for name in names}
    assert len(names) > 10
    assert list_rows(read_page("operators.md"), "Metrics") == names


def test_every_log_prefix_is_documented():
    """Guards against a log prefix that operators cannot look up."""
    section = read_page("operators.md").partition("\n## Logs\n")[2]
    names = find_in_sources(r"get_logger\(\"([a-z]+)\"\)")
    assert len(names) > 5
    for name in names:
        assert f"`{name}`" in section.partition("\n## ")[0]


def test_every_command_is_documented():
    """Guards against a command that only its help text describes."""
    page = read_page("operators.md")
    names = [name for name in app if not name.startswith("-") and name != "members"]
    names += [f"members {name}" for name in members if not name.startswith("-")]
    for name in names:
        assert f"monsoonlug {name}" in page, name


@pytest.mark.parametrize("page", ["operators.md", "backend-servers.md"])
def test_examples_are_valid(page):
    """Guards against an example that validation rejects."""
    blocks = re.findall(r"```json\n(.*?)```", read_page(page), flags=re.DOTALL)
    assert blocks
    models = {
        "data_folder": ControlSettings,
        "listen": EntrySettings,
        "pools": catalogue.Catalogue,
        "boot": Announcement,
    }
    for block in blocks:
        document = json.loads(block)
        (model,) = [model for name, model in models.items() if name in document]
        check_document(document, model, file=page)


def test_servers_page_lists_every_header():
    """Guards against a header that authors of backend servers cannot look up."""
    request = BackendRequest(
        request="r",
        workspace="w",
        method="GET",
        target="/",
        headers=[],
        slice=1,
        slice_epoch=2,
        gate_epoch=3,
        idempotency_key="i",
        deadline=0.0,
    )
    page = read_page("backend-servers.md")
    for name in _build_headers(request, 1.0):
        assert f"| `{name}` |" in page


def test_documented_limits_match_the_source():
    """Guards against a limit that was changed only in the source."""
    callers, operators = read_page("callers.md"), read_page("operators.md")
    for number in (admission.MAX_HEADER_BYTES, admission.MAX_TARGET):
        assert f"{number:,} bytes" in callers
    assert f"{admission.MAX_ROUTING_KEY} bytes" in callers
    assert f"1 to {admission.MAX_IDEMPOTENCY_KEY} bytes" in callers
    assert f"{records.MAX_STORED_BODY:,} bytes" in callers
    assert f"for {records.RETENTION_SECONDS:.0f} s" in callers
    limits = catalogue.RouteLimits()
    assert f"{limits.deadline:.0f} s by default" in callers
    assert (
        f"{sessions.HEARTBEAT_INTERVAL:.3f} s; {sessions.LEASE_DURATION:.3f} s"
        in operators
    )
    assert f"serves nothing | {sessions.VIEW_MAX_AGE} s" in operators
    assert f"{state.MAX_STORED_RESULTS:,}" in operators


@pytest.mark.parametrize("page", ["operators.md", "callers.md", "backend-servers.md"])
def test_links_lead_to_existing_pages(page):
    """Guards against a link to a page that does not exist."""
    for link in re.findall(r"\]\(([^)#:]+)\)", read_page(page)):
        assert (ROOT / "docs" / link).exists(), link
