"""Fixtures of a fleet of real processes, and known failures from KNOWN-RED.txt."""

from pathlib import Path

# Its plugin imports it at the end of the session otherwise, in frames so deep that the
# parser of Python 3.11 ends the run with a SystemError.
import hypothesis  # noqa: F401
import pytest

from tests.process_fleet import run_fleet

KNOWN_FAILURES_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
TEST_LINE_PREFIX = "test: "


@pytest.fixture(scope="module")
def running_fleet(tmp_path_factory):
    with run_fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        yield fleet


@pytest.fixture
def fleet(running_fleet):
    """The fleet of the module, restored after the previous test."""
    running_fleet.restore()
    return running_fleet


def list_known_failures():
    if not KNOWN_FAILURES_FILE.exists():
        return []
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return [
        line.removeprefix(TEST_LINE_PREFIX)
        for line in lines
        if line.startswith(TEST_LINE_PREFIX)
    ]


def pytest_collection_modifyitems(items):
    known = set(list_known_failures())
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt"))


def pytest_terminal_summary(terminalreporter):
    for name in list_known_failures():
        terminalreporter.write_line(f"known red: {name}")
