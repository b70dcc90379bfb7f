"""Tests of requests that crash each backend server that runs them."""

import asyncio
import dataclasses
import itertools
import time
from collections import Counter

from monsoonlug.crash_tracking import (
    BLOCK_TIME,
    CrashTracker,
    RequestDigest,
    RequestState,
)
from tests.platform_fleet import PlatformFleet
from tests.test_request_limits import build_gate_host, build_head

DEADLY_PATH = "/lookup/deadly"
DEADLY_BODY = b"deadly"
CONTACT = 3.0  # seconds in which all hosts must have learned of a deadly request
MAX_LATE_RETRIES = 3  # that may reach servers later than that after the third crash
SECONDS = 9.0  # duration of the load
DEADLY_INTERVAL = 0.25  # seconds between two deadly requests of the callers
SOUND_INTERVAL = 0.025  # seconds between two other requests


async def send_load(fleet, path, interval, outcomes, bodies=(None,)):
    """Sends requests to the entries in turn until cancelled."""
    tasks = set()
    try:
        for number in itertools.count():
            entry = fleet.entries[number % len(fleet.entries)]
            body = bodies[number % len(bodies)]

            async def send(entry=entry, number=number, body=body):
                target = path.format(number=number)
                request_id = f"{target.replace('/', '-')}-{number}"
                data = None if body is None else iterate_once(body)
                status = await fleet.send(
                    entry, target, request_id=request_id, body=data
                )
                outcomes.append((time.monotonic(), body, status))

            task = asyncio.create_task(send())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(interval)
    finally:
        for task in tasks:
            task.cancel()


async def iterate_once(body):
    """Yields a body, which is then sent in chunks."""
    yield body


def check_late_arrivals(fleet, is_deadly):
    """Checks the bound on a deadly request, from the third crash on."""
    arrivals = []
    for server in fleet.servers:
        for at, path, body in server.arrivals:
            if is_deadly(path, body):
                arrivals.append(at)
    crashes = sorted(at for server in fleet.servers for at in server.crashes)
    assert crashes
    if len(crashes) >= 3:
        late = [at for at in arrivals if at > crashes[2] + CONTACT]
        assert len(late) <= MAX_LATE_RETRIES


async def test_request_that_crashes_servers_is_kept_from_further_ones(tmp_path):
    """Guards against one request that crashes server after server.

    It comes again and again, at every entry, as the bound of the users states it.
    """
    deadly, sound = [], []
    async with PlatformFleet(tmp_path) as fleet:
        for server in fleet.servers:
            server.deadly.add(DEADLY_PATH)
        loads = [
            asyncio.create_task(send_load(fleet, DEADLY_PATH, DEADLY_INTERVAL, deadly)),
            asyncio.create_task(
                send_load(fleet, "/lookup/{number}", SOUND_INTERVAL, sound)
            ),
        ]
        await asyncio.sleep(SECONDS)
        for load in loads:
            load.cancel()
        await asyncio.gather(*loads, return_exceptions=True)
    check_late_arrivals(fleet, lambda path, body: path == DEADLY_PATH)
    # Requests that run beside a deadly one fail with it, the others are served.
    counts = Counter(status for at, _, status in sound if at > sound[0][0] + CONTACT)
    assert counts[200] >= 0.95 * sum(counts.values())


async def test_deadly_body_is_told_from_others_of_its_path(tmp_path):
    """Guards against a block of all requests with the head of a deadly one."""
    outcomes = []
    bodies = [b"%d" % number for number in range(9)] + [DEADLY_BODY]
    async with PlatformFleet(tmp_path) as fleet:
        for server in fleet.servers:
            server.deadly.add(DEADLY_BODY)
        load = asyncio.create_task(
            send_load(fleet, "/orders", SOUND_INTERVAL, outcomes, bodies)
        )
        await asyncio.sleep(SECONDS)
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
    check_late_arrivals(fleet, lambda path, body: body == DEADLY_BODY)
    late = [row for row in outcomes if row[0] > outcomes[0][0] + CONTACT]
    sound = Counter(status for _, body, status in late if body != DEADLY_BODY)
    assert sound[200] >= 0.95 * sum(sound.values())
    deadly = Counter(status for _, body, status in late if body == DEADLY_BODY)
    assert deadly[503] == sum(deadly.values())


def build_fingerprint(path):
    return RequestDigest("w", "GET", path).fingerprint


DEADLY = build_fingerprint("/deadly")
SOUND = build_fingerprint("/sound")


def test_request_is_blocked_after_two_crashes():
    tracker = CrashTracker()
    tracker.record_crash(0.0, DEADLY, "s1")
    assert [verdict.state for verdict in tracker.take_verdicts(0.1)] == [
        RequestState.SUSPECT
    ]
    tracker.record_crash(4.0, DEADLY, "s2")
    (verdict,) = tracker.take_verdicts(4.1)
    assert verdict.state is RequestState.BLOCKED
    entry = CrashTracker()
    entry.apply_verdict(4.2, verdict)
    assert entry.find_block(4.2, DEADLY) > 0.9 * BLOCK_TIME
    assert entry.find_block(4.2, SOUND) == 0


def test_losses_of_one_crash_count_once():
    """Guards against a block by copies of a request on one server."""
    tracker = CrashTracker()
    for age in (0.0, 0.1, 0.2):
        tracker.record_crash(1.0 + age, DEADLY, "s1", age=age)
    assert tracker.find_block(1.3, DEADLY) == 0


def test_request_that_got_a_response_is_not_blocked():
    """Guards against a block of a common request that ran beside a deadly one."""
    tracker = CrashTracker()
    tracker.record_crash(0.0, SOUND, "s1")
    tracker.record_response(0.5, SOUND)
    tracker.record_crash(1.0, SOUND, "s2")
    assert tracker.find_block(1.1, SOUND) == 0
    # The report of an earlier response arrives late.
    tracker.record_crash(2.0, SOUND, "s3")
    tracker.record_response(2.1, SOUND, age=0.5)
    assert tracker.find_block(2.2, SOUND) > 0


def test_neighbour_of_a_blocked_request_may_run():
    """Guards against a block of what ran beside a deadly request twice."""
    tracker = CrashTracker()
    for number in range(3):
        tracker.record_crash(4.0 * number, DEADLY, f"s{number}")
    for number in range(2):
        tracker.record_crash(4.0 * number, SOUND, f"s{number}", age=-0.01)
    assert tracker.find_block(8.1, DEADLY) > 0
    assert tracker.find_block(8.1, SOUND) == 0


def test_request_that_crashes_a_server_after_its_block_is_blocked_at_once():
    """Guards against two more crashes after each block, which also grows."""
    tracker = CrashTracker()
    tracker.record_crash(0.0, DEADLY, "s1")
    tracker.record_crash(4.0, DEADLY, "s2")
    now = 4.0 + BLOCK_TIME + 1.0
    list(tracker.take_verdicts(now))
    assert tracker.find_block(now, DEADLY) == 0
    tracker.record_crash(now, DEADLY, "s3")
    assert tracker.find_block(now, DEADLY) > BLOCK_TIME


def test_entry_blocks_without_control():
    """Guards against an entry that needs a leader to stop sending a deadly request."""
    tracker = CrashTracker()
    tracker.report_crash(0.0, DEADLY, "s1")
    tracker.report_crash(1.0, DEADLY, "s2")
    assert tracker.find_block(1.1, DEADLY) > 0
    assert len(tracker.list_reports(1.1)) == 2


def test_tracked_requests_are_bounded():
    tracker = CrashTracker()
    for number in range(3000):
        tracker.record_crash(0.001 * number, build_fingerprint(f"/{number}"), "s1")
    assert len(tracker._suspects) <= 1000
    assert list(tracker.take_verdicts(200.0))
    assert tracker.is_idle


class RecordingPeer:
    """Takes the frames of a gate."""

    def __init__(self):
        self.frames = []
        self.ended = asyncio.Event()

    def send(self, message):
        self.frames.append(message)
        self.ended.set()


async def lose_connection(*, is_other_reachable, has_unknown_server=False):
    """Returns the error code of a request whose server resets and then refuses."""
    listeners = []

    async def crash(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        listeners[0].close()
        writer.transport.abort()

    async def accept(reader, writer):
        writer.close()

    listeners.append(await asyncio.start_server(crash, "127.0.0.1", 0))
    listeners.append(await asyncio.start_server(accept, "127.0.0.1", 0))
    ports = [listener.sockets[0].getsockname()[1] for listener in listeners]
    if not is_other_reachable:
        listeners[1].close()
    gate_host = build_gate_host(*ports)
    if has_unknown_server:
        record = gate_host._view.servers["s2"]
        left = dataclasses.replace(record, server="s3", pool="", address="s3")
        gate_host._view.servers["s3"] = left
    peer = RecordingPeer()
    try:
        gate_host.receive(peer, build_head(1))
        await asyncio.wait_for(peer.ended.wait(), 5.0)
    finally:
        await gate_host.stop()
        listeners[1].close()
    return peer.frames[0].code


async def test_host_that_reaches_no_server_reports_no_crash():
    """Guards against blocked requests at a host that is cut from all servers.

    A cut may reset connections and refuse new ones, like the end of a process.
    """
    assert await lose_connection(is_other_reachable=True) == "server-crashed"
    assert await lose_connection(is_other_reachable=False) == "outcome-unknown"


async def test_server_without_a_pool_is_not_asked():
    """Guards against an attempt that never ends, after a leave of an unknown server."""
    code = await lose_connection(is_other_reachable=True, has_unknown_server=True)
    assert code == "server-crashed"
