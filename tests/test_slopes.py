"""Tests of the measurements for the capacity page; times are not checked."""

import json

import pytest

from bench import slopes
from bench.series import Recorder
from bench.slope_processes import list_control_pids
from bench.target_size import (
    BYTES_LIMIT,
    CHANGES_PER_DAY,
    HEARTBEATS_PER_SECOND,
    SECONDS_PER_DAY,
    TargetSize,
)
from standins.fleet import Fleet, FleetError

CONSTANTS = {
    "path_us": {"front": 600.0, "gate": 400.0},
    "imports_bytes": {"interpreter": 9_000_000, "all_libraries": 40_000_000},
}


@pytest.fixture(scope="module")
def series():
    sections = ("view", "changes", "decisions", "storage")
    by_name_and_unit = {}
    for section in sections:
        for item in slopes.SECTIONS[section](slopes.TINY):
            by_name_and_unit[item.name, item.unit] = item
    return by_name_and_unit


@pytest.fixture(scope="module")
def figures(series):
    by_name = {item.name: item for item in series.values()}
    for section in ("control", "idle_entry"):
        recorder = Recorder(section=section, variable="v")
        for size in (0, 1, 2):
            recorder.add(size, "core", "share", 0.1 * size)
            recorder.add(size, "leader_core", "share", 0.1 * size)
            recorder.add(size, "leader_memory", "bytes", 50_000_000)
            recorder.add(size, "follower_memory", "bytes", 50_000_000)
            recorder.add(size, "memory", "bytes", 50_000_000)
        by_name |= {item.name: item for item in recorder.list_series()}
    target = TargetSize(series=by_name, constants=CONSTANTS)
    return {item.name: item for item in target.list_figures()}


def test_command_prints_json(capsys):
    """Guards against a command that fails or prints a different document."""
    slopes.main(section=["changes"], tiny=True, as_json=True)
    report = json.loads(capsys.readouterr().out)
    assert {"name", "unit", "points", "slope"} <= set(report["series"][0])


def test_unknown_section_is_refused():
    """Guards against a misspelt section that is ignored silently."""
    with pytest.raises(SystemExit, match="no such section: veiw"):
        slopes.main(section=["veiw"], tiny=True)


def test_lookups_keep_no_state_per_key(series):
    """Guards against state per routing key."""
    assert max(p.value for p in series["lookup.state", "bytes"].points) < 1_000


def test_delta_size_is_independent_of_fleet_size(series):
    """Guards against a delta that carries more than the change."""
    sizes = ("gate_appointment", "service_change", "withdrawn_key")
    for name in sizes:
        assert max(p.value for p in series[f"delta.{name}", "bytes"].points) < 150


def test_small_changes_stay_within_byte_limit(series):
    """Guards against small changes that use up the control traffic limit."""
    size = series["delta.withdrawn_key", "bytes"].points[-1].value
    assert size * CHANGES_PER_DAY / SECONDS_PER_DAY < BYTES_LIMIT / 100


def test_heartbeats_of_8_workspaces_stay_within_byte_limit(series):
    """Guards against heartbeats that exceed the control traffic limit."""
    heartbeat = series["heartbeat.request", "bytes"].extrapolate(8)
    answer = series["heartbeat.answer", "bytes"].extrapolate(8)
    assert (heartbeat + answer) * HEARTBEATS_PER_SECOND < BYTES_LIMIT


def test_heartbeat_size_grows_only_with_own_workspaces(series):
    """Guards against heartbeats that carry state of other hosts' workspaces."""
    assert series["heartbeat.request", "bytes"].slope < 40
    assert series["heartbeat.answer", "bytes"].slope < 20


def test_size_that_was_not_measured_is_extrapolated():
    """Guards against a figure at the target size that ignores the slope."""
    recorder = Recorder(section="s", variable="v")
    for size in (1, 2, 3):
        recorder.add(size, "q", "bytes", 10 * size)
    (line,) = recorder.list_series()
    assert line.extrapolate(100) == pytest.approx(1_000)


def test_target_size_figures_use_slopes_and_limits(figures):
    """Guards against a figure that ignores its slope or its limit."""
    assert figures["requests: cores at each node"].factor == pytest.approx(3.385, 0.01)
    assert figures["leader of all: core for heartbeats"].factor == pytest.approx(130)
    assert figures["leader of region: core for heartbeats"].factor < 22
    entry = figures["memory: entry, whole process"]
    assert entry.value > 50_000_000 and entry.factor > 1.5


def test_restarts_and_losses_stay_within_byte_limit(figures):
    """Guards against a host restart that sends too much to every other host."""
    assert figures["node: restarts and losses"].value < BYTES_LIMIT / 100
    assert figures["node: views after restarts"].value < BYTES_LIMIT / 100


def test_group_without_leader_is_reported(tmp_path, monkeypatch):
    """Guards against a KeyError that loses all slopes when no replica leads."""
    monkeypatch.setattr(Fleet, "find_leader", lambda fleet: "")
    with pytest.raises(FleetError, match="no control replica leads"):
        list_control_pids(Fleet(folder=tmp_path))
