"""Processor time of one entry of a large announced fleet, apart from requests.

`python -m bench.entry_updates` runs an entry with a stand-in of control on loopback,
in this process. The stand-in describes a fleet of 80 hosts and 200 servers, answers
heartbeats, and sends deltas, key assignments or lists of live hosts at a fixed rate.
Run it in turn with the source of each version that is to be compared.
"""

import asyncio
import cProfile
import json
import resource
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

import cyclopts
import uvloop

from monsoonlug import messages
from monsoonlug.fleet import FleetView
from monsoonlug.fleet_entry import FleetEntryService, FleetEntrySettings
from monsoonlug.fleet_messages import (
    FleetDelta,
    FleetHeartbeat,
    FleetHeartbeatResponse,
    FleetServer,
    FleetViewChunk,
    KeysAssigned,
    KeyTableChanged,
    LiveHostList,
    pack_range,
)
from monsoonlug.ids import SLICE_COUNT, Revision
from monsoonlug.items import PoolItem, RouteItem
from monsoonlug.keyranges import KeyRange
from monsoonlug.links import Listener
from monsoonlug.logs import configure_logs
from monsoonlug.platform.headers import PlatformCallerProtocol, open_backend
from monsoonlug.streams import MessageStream

ADDRESS = "127.0.0.1"
CONTROL_PORT = 24_071
ENTRY_PORT = 24_072  # the first of three
HOST_COUNT = 80
DOMAINS = ("a", "b", "c", "d")
KEYED_POOL = "keyed"
POOL_SIZES = {KEYED_POOL: 101, "large": 71, "small": 14, "other": 14}
RANGES_PER_SERVER = 4
START_TIME = 1.0  # seconds until the entry has the view and the list of hosts


@dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """What an entry used while updates arrived at a rate.

    Attributes:
        cpu_ms_per_second: Processor time, with that of the stand-in.
        wakeups_per_second: How often the process waited for events.
    """

    cpu_ms_per_second: float
    wakeups_per_second: float


def build_view() -> FleetView:
    """Returns the view of a fleet of 200 servers in 4 pools."""
    view = FleetView()
    born = 1
    for pool, size in POOL_SIZES.items():
        view.apply_change(
            PoolItem(
                name=pool,
                version=1,
                keyed=pool == KEYED_POOL,
                connections=100,
                cold_seconds=0.0,
                cold_rate=100.0,
            )
        )
        view.apply_change(_build_route(pool))
        for number in range(size):
            view.apply_change(
                FleetServer(
                    server=f"i-{pool}-{number}",
                    born=born,
                    pool=pool,
                    address=f"{ADDRESS}:1",
                    failure_domain=DOMAINS[number % len(DOMAINS)],
                    slots=4,
                    draining=False,
                )
            )
            born += 1
    view.apply_change(KeyTableChanged(pool=KEYED_POOL, present=True))
    view.apply_change(KeysAssigned(pool=KEYED_POOL, rows=_build_rows()))
    view.revision = Revision(1)
    return view


def _build_route(pool: str) -> RouteItem:
    return RouteItem(
        name=f"to-{pool}",
        version=1,
        host="lights.example",
        prefix=f"/{pool}/",
        idempotent=True,
        timeout=2.0,
        objective=1.0,
        priority=1,
        split=[[pool, 1]],
        max_attempts=2,
        open=True,
    )


def _build_rows() -> list[list]:
    count = RANGES_PER_SERVER * POOL_SIZES[KEYED_POOL]
    rows = []
    for number in range(count):
        owner = number % POOL_SIZES[KEYED_POOL]
        key_range = KeyRange(
            start=number * SLICE_COUNT // count,
            end=(number + 1) * SLICE_COUNT // count - 1,
            owner=f"i-{KEYED_POOL}-{owner}",
            born=owner + 1,
            epoch=1,
        )
        rows.append(pack_range(key_range))
    return rows


class StandinControl:
    """Answers the heartbeats of one entry and sends it updates."""

    def __init__(self):
        self.view = build_view()
        self._rows = _build_rows()
        self._streams: list[MessageStream] = []
        self._changes = 0
        self._listener = Listener(
            address=f"{ADDRESS}:{CONTROL_PORT}",
            role="control",
            sender="standin",
            serve=self._serve,
        )

    async def start(self) -> None:
        await self._listener.start()

    async def stop(self) -> None:
        await self._listener.stop()

    def send_nothing(self) -> None:
        """Leaves the entry alone."""

    def send_delta(self) -> None:
        """Changes whether one server of a pool without keys is draining."""
        self._changes += 1
        record = self.view.servers[f"i-large-{self._changes // 2 % 71}"]
        self._push([replace(record, draining=not record.draining)])

    def send_keys(self) -> None:
        """Moves one key range to another server."""
        self._changes += 1
        row = self._rows[self._changes % len(self._rows)]
        row[2:5] = [f"i-{KEYED_POOL}-0", 1, self.view.revision + 1]
        self._push([KeysAssigned(pool=KEYED_POOL, rows=[row])])

    def send_hosts(self) -> None:
        """Removes one host from the list of live hosts, or adds it again."""
        self._changes += 1
        rows = []
        for number in range(HOST_COUNT):
            if number == 10 + self._changes // 2 % 60 and self._changes % 2:
                continue
            domain = DOMAINS[number % len(DOMAINS)]
            rows.append([f"entry-{number}", domain, f"{ADDRESS}:{ENTRY_PORT}"])
        self._send(LiveHostList(term=1, rows=rows))

    def _push(self, changes: list) -> None:
        base = self.view.revision
        for change in changes:
            self.view.apply_change(change)
        self.view.revision = Revision(base + 1)
        encoded = [messages.encode(change) for change in changes]
        self._send(FleetDelta(base=base, revision=base + 1, changes=encoded))

    def _send(self, message: object) -> None:
        for stream in self._streams:
            stream.send(message)

    async def _serve(self, stream: MessageStream) -> None:
        data = self.view.pack()
        revision = self.view.revision
        stream.send(FleetViewChunk(revision=revision, last=True, data=data))
        self._streams.append(stream)
        self.send_hosts()
        async for message in stream.iterate():
            if not isinstance(message, FleetHeartbeat):
                continue
            response = FleetHeartbeatResponse(
                sequence=message.sequence,
                term=1,
                revision=self.view.revision,
                members=[f"{ADDRESS}:{CONTROL_PORT}"],
                tokens={},
                retry_after={},
                shares={},
            )
            stream.send(response)


def build_entry() -> FleetEntryService:
    """Returns the first of the entries."""
    settings = FleetEntrySettings(
        host="entry-0",
        failure_domain=DOMAINS[0],
        listen=f"{ADDRESS}:{ENTRY_PORT}",
        readiness=f"{ADDRESS}:{ENTRY_PORT + 1}",
        readiness_path="/ready",
        stream=f"{ADDRESS}:{ENTRY_PORT + 2}",
        seeds=(f"{ADDRESS}:{CONTROL_PORT}",),
        revocation_bound=5.0,
        grace_period=3.0,
    )
    return FleetEntryService(
        settings=settings,
        caller_protocol=PlatformCallerProtocol(),
        open_backend=open_backend,
    )


async def measure_updates(
    send: Callable[[], None], rate: float, seconds: float
) -> Figures:
    """Sends updates at a rate per second and returns what the process used."""
    switches = resource.getrusage(resource.RUSAGE_SELF).ru_nvcsw
    used = time.process_time()
    started_at = time.monotonic()
    for number in range(round(rate * seconds)):
        send()
        due = started_at + (number + 1) / rate
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    elapsed = time.monotonic() - started_at
    used = time.process_time() - used
    switches = resource.getrusage(resource.RUSAGE_SELF).ru_nvcsw - switches
    return Figures(
        cpu_ms_per_second=1000 * used / elapsed,
        wakeups_per_second=switches / elapsed,
    )


async def measure(rate: float, seconds: float) -> dict:
    """Starts the stand-in and the entry; returns all figures.

    The cost of an update is what the process used beyond an idle one, in milliseconds.
    """
    control = StandinControl()
    await control.start()
    entry = build_entry()
    await entry.on_start()
    await asyncio.sleep(START_TIME)
    idle = await measure_updates(control.send_nothing, 1.0, seconds)
    report = {
        "idle_ms_per_second": round(idle.cpu_ms_per_second, 3),
        "idle_wakeups_per_second": round(idle.wakeups_per_second, 1),
    }
    for name, send in (
        ("delta_ms", control.send_delta),
        ("keys_ms", control.send_keys),
        ("hosts_ms", control.send_hosts),
    ):
        busy = await measure_updates(send, rate, seconds)
        cost = (busy.cpu_ms_per_second - idle.cpu_ms_per_second) / rate
        report[name] = round(cost, 3)
    await entry.on_stop()
    await control.stop()
    return report


def main(
    *, rate: float = 10.0, seconds: float = 4.0, profile: Path | None = None
) -> None:
    """Measures an entry and prints a JSON report.

    Args:
        rate: Updates per second.
        seconds: Duration of each of the four parts.
        profile: File for a cProfile of the whole run.
    """
    configure_logs(log_format="json", log_level="INFO", write=lambda line: None)
    profiler = cProfile.Profile()
    if profile is not None:
        profiler.enable()
    report = uvloop.run(measure(rate, seconds))
    if profile is not None:
        profiler.disable()
        profiler.dump_stats(profile)
    print(json.dumps(report))


if __name__ == "__main__":
    cyclopts.run(main)
