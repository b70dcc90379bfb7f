"""Tests of rollouts with real control processes and stand-in servers.

The test plays an entry that reports the responses of both versions.
"""

import asyncio
import itertools
import math
import random
import time

import aiohttp
import pytest

from monsoonlug.links import Link
from monsoonlug.rollout_messages import RolloutReport
from tests.platform_fleet import (
    CONTROL_PORT,
    INTERNAL_PORT,
    SERVICE,
    PlatformFleet,
)

BOUNDS = ["exposeShare=0.1", "exposeSlack=50", "rollback=5000ms"]
DURATION = 9.0  # seconds
CALL_TIMEOUT = 8.0  # seconds until a call must have been answered by some replica
REPORT_INTERVAL = 0.2  # seconds
PREFIX = "/monsoonlug"


class Reporter:
    """An entry that reports sound responses of both versions to all replicas.

    Attributes:
        target_failures: Share of the target's responses that are failures.
    """

    def __init__(self, fleet):
        self._links = []
        self._tasks = []
        self._started_at = time.monotonic()
        self.target_failures = 0.0
        for control in fleet.controls:
            link = Link(
                address=f"{control.ip}:{INTERNAL_PORT}",
                role="entry",
                sender="h-report",
                on_message=lambda message: None,
                random=random.Random(1),
            )
            self._links.append(link)
            self._tasks.append(asyncio.create_task(link.run()))

    def start(self, number):
        self._tasks.append(asyncio.create_task(self._run(number)))

    def stop(self):
        for task in self._tasks:
            task.cancel()

    async def _run(self, number):
        counts = [0, 0]
        while True:
            await asyncio.sleep(REPORT_INTERVAL)
            counts = [counts[0] + 60, counts[1] + 4]
            failures = round(counts[1] * self.target_failures)
            rows = [
                [0, "r-1", counts[0], counts[0], 0, counts[0] * math.log(0.05), 0],
                [
                    1,
                    "r-1",
                    counts[1],
                    counts[1],
                    failures,
                    counts[1] * math.log(0.05),
                    0,
                ],
            ]
            report = RolloutReport(
                host="h-report", boot="b", pool=SERVICE, number=number, rows=rows
            )
            for link in self._links:
                link.send(report)


def build_fleet(folder, *, controls=3, bounds=BOUNDS, **options):
    fleet = PlatformFleet(
        folder,
        controls=controls,
        entries=("east",),
        servers=("east", "east", "west", "west"),
        **options,
    )
    for node in fleet.controls:
        node.settings["bounds"] = [*node.settings["bounds"], *bounds]
    for server in fleet.servers[2:]:
        server.version = "v2"
    return fleet


async def call(fleet, path, body=None, *, controls=None, timeout=1.0):
    """Calls one replica; returns status and document, or None if it is away."""
    control = (controls or fleet.controls)[0]
    url = f"http://{control.ip}:{CONTROL_PORT}{PREFIX}/{path}"
    method = "GET" if body is None else "POST"
    try:
        async with fleet.session.request(
            method, url, json=body, timeout=aiohttp.ClientTimeout(total=timeout)
        ) as response:
            return response.status, await response.json(content_type=None)
    except (aiohttp.ClientError, TimeoutError):
        return None


async def call_until(fleet, path, body=None, *, controls=None, accepted=(200,)):
    """Repeats a call at all replicas in turn until it is answered as accepted."""
    until = time.monotonic() + CALL_TIMEOUT
    answer = None
    for control in itertools.cycle(controls or fleet.controls):
        answer = await call(fleet, path, body, controls=[control])
        if answer is not None and answer[0] in accepted:
            return answer
        assert time.monotonic() < until, (path, answer)
        await asyncio.sleep(0.1)


def build_order(version="v2", *, service=SERVICE, duration=DURATION):
    return {
        "service": service,
        "targetVersion": version,
        "duration": f"{round(duration * 1000)}ms",
    }


async def read(fleet, controls=None):
    path = f"Rollouts.Get/{SERVICE}"
    _, document = await call_until(fleet, path, controls=controls)
    return document["state"], document["targetVersion"]


async def wait_for_end(fleet, *, seconds=DURATION + 3.0, controls=None):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        state, _ = await read(fleet, controls)
        if state != "running":
            return state
        await asyncio.sleep(0.1)
    raise AssertionError("the rollout did not end")


def find_number(fleet):
    """Returns the number of the rollout, which the leader's log names."""
    for control in fleet.controls:
        for line in control.read_log():
            if "Acknowledged the order of rollout" in line["message"]:
                return int(line["message"].split("rollout ")[1].split()[0])
    raise AssertionError("no order was logged")


def find_leader(fleet):
    terms = {}
    for control in fleet.controls:
        for line in control.read_log():
            if "Became the leader in term" in line["message"]:
                terms[int(line["message"].split("term ")[1].split()[0])] = control
    return terms[max(terms)]


async def test_order_is_taken_and_repeated_at_any_replica(tmp_path):
    """Guards against an order that depends on the replica, or is acted on twice.

    All control processes are killed and restarted in the middle.
    """
    async with build_fleet(tmp_path) as fleet:
        await call_until(fleet, "Rollouts.Start", build_order())
        ordered_at = time.monotonic()
        number = find_number(fleet)
        for control in fleet.controls:
            answer = await call(
                fleet, "Rollouts.Start", build_order(), controls=[control]
            )
            assert answer is not None and answer[0] == 200
            other = build_order("v3")
            answer = await call(fleet, "Rollouts.Start", other, controls=[control])
            assert answer[0] == 409
            assert await read(fleet, [control]) == ("running", "v2")
        for body in (
            build_order(service="nowhere"),
            build_order("") | {"targetVersion": ""},
            build_order() | {"duration": 12},
            {},
        ):
            assert (await call(fleet, "Rollouts.Start", body))[0] == 400
        assert (await call(fleet, "Rollouts.Get/nowhere"))[0] == 404
        for control in fleet.controls:
            control.process.kill()
            control.process.wait()
        await asyncio.sleep(0.5)
        for control in fleet.controls:
            control.start()
        if time.monotonic() - ordered_at < 3.5:
            await call_until(fleet, "Rollouts.Start", build_order())
        assert await read(fleet) == ("running", "v2")
        # No entry reports anything, so there is no evidence.
        assert await wait_for_end(fleet) == "rolled_back"
        assert time.monotonic() < ordered_at + DURATION + 1.0
        assert find_number(fleet) == number
        assert all(server.held == [] for server in fleet.servers[2:])


@pytest.mark.parametrize("target_failures", [0.0, 0.5])
async def test_leader_killed_halfway(tmp_path, target_failures):
    """Guards against a rollout that stops with its leader, or ends the wrong way.

    A domain is evacuated and put back, and the configuration changes in the middle.
    """
    async with build_fleet(tmp_path, keyed=True) as fleet:
        await call_until(fleet, "Rollouts.Start", build_order())
        ordered_at = time.monotonic()
        reporter = Reporter(fleet)
        reporter.start(find_number(fleet))
        try:
            await asyncio.sleep(1.0)
            await call_until(fleet, "Evacuations.Start/east", {})
            await call_until(fleet, "Evacuations.End/east", {})
            leader = find_leader(fleet)
            leader.process.kill()
            leader.process.wait()
            left = [control for control in fleet.controls if control is not leader]
            reporter.target_failures = target_failures
            tenant = {"apiKeys": ["another-key"], "priority": 1}
            resource = {
                "resourceType": "tenants",
                "metadata": {"version": "00000001", "name": "second"},
                "spec": tenant,
            }
            patch = {"upsert": {"resources": [resource]}, "remove": {}}
            await call_until(fleet, "Config.Patch", patch, controls=left)
            expected = "rolled_back" if target_failures else "succeeded"
            assert await wait_for_end(fleet, controls=left) == expected
            assert time.monotonic() < ordered_at + DURATION + 0.5
            _, document = await call_until(fleet, "Config.Get", controls=left)
            assert "second" in str(document)
            await asyncio.sleep(3.0)
        finally:
            reporter.stop()
        owners = fleet.servers[:2] if target_failures else fleet.servers[2:]
        others = fleet.servers[2:] if target_failures else fleet.servers[:2]
        assert all(server.held == [] for server in others)
        assert sum(row[1] - row[0] + 1 for s in owners for row in s.held) == 65_536


async def test_order_waits_for_a_member_of_an_earlier_build(tmp_path):
    """Guards against commands that a member which does not report would halt at."""
    fleet = build_fleet(tmp_path)
    late = fleet.controls[2]
    bounds, late.settings["bounds"] = late.settings["bounds"], ["grace=6s"]
    async with fleet:
        await asyncio.sleep(3.0)
        # Calls are redirected to the leader, and the late member does not know them.
        until = time.monotonic() + CALL_TIMEOUT
        answer = await call(fleet, "Rollouts.Start", build_order())
        while answer is not None and answer[0] == 404 and time.monotonic() < until:
            assert find_leader(fleet) is late
            late.stop()
            await asyncio.sleep(1.5)
            late.start()
            await asyncio.sleep(2.0)
            answer = await call(fleet, "Rollouts.Start", build_order())
        assert answer is not None and answer[0] == 503
        late.stop()
        late.settings["bounds"] = bounds
        late.start()
        await call_until(fleet, "Rollouts.Start", build_order())


async def test_dropped_pool_ends_its_rollout(tmp_path):
    """Guards against a rollout that goes on, or is forgotten, without its pool."""
    async with build_fleet(tmp_path, controls=1) as fleet:
        await call_until(fleet, "Rollouts.Start", build_order())
        removed = {
            "routes": [
                {"name": name, "version": "00000002"} for name in ("r-1", "r-2", "r-3")
            ],
            "services": [{"name": SERVICE, "version": "00000002"}],
        }
        await call_until(fleet, "Config.Patch", {"remove": removed})
        assert await read(fleet) == ("rolled_back", "v2")


async def test_calls_are_unknown_where_rollouts_are_not_configured(tmp_path):
    """Guards against new behaviour in deployments that do not ask for it."""
    async with build_fleet(tmp_path, controls=1, bounds=[]) as fleet:
        await asyncio.sleep(2.0)
        for body in (build_order(), {}):
            assert (await call(fleet, "Rollouts.Start", body))[0] == 404
        assert (await call(fleet, f"Rollouts.Get/{SERVICE}"))[0] == 404
        assert await fleet.send(fleet.entries[0], "/", request_id="r") == 200
        log = str(fleet.controls[0].read_log())
        assert "commands of level" not in log
