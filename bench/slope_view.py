"""Memory and time of the view, and sizes of its deltas."""

from collections.abc import Sequence

from bench.large_fleet import (
    LargeFleet,
    name_host,
    name_server,
    register_host,
    register_server,
    write_catalogue,
)
from bench.series import Recorder, Series, measure_bytes, measure_microseconds
from monsoonlug import messages
from monsoonlug.commands import (
    ApplyCatalogue,
    ConfirmBackup,
    DeregisterHost,
    DeregisterServer,
    ReleaseGate,
    WithdrawKey,
)
from monsoonlug.deltas import Delta
from monsoonlug.ids import SLICE_COUNT
from monsoonlug.messages import DeltaPush, ViewPush
from monsoonlug.view import View

LENGTH = 4  # bytes in front of each frame
GATE_CHANGES = 20  # deltas whose application is timed


def count_push(delta: Delta) -> int:
    """Returns the bytes that carry a delta to one entry."""
    return LENGTH + len(messages.encode(DeltaPush(delta=delta.pack())))


def measure_view(
    variable: str, sizes: Sequence[int], *, repeat: int, fixed: dict | None = None
) -> list[Series]:
    """Measures the view against one argument of `LargeFleet`."""
    recorder = Recorder(section=f"view_by_{variable}", variable=variable)
    for size in sizes:
        fleet = LargeFleet(**{variable: size}, **(fixed or {}))
        view = fleet.state.view
        packed = view.pack()
        frame = messages.encode(
            ViewPush(revision=view.revision, last=True, data=packed)
        )
        recorder.add(size, "packed", "bytes", len(frame) + LENGTH)
        memory = measure_bytes(lambda data=packed: View.unpack(data))
        recorder.add(size, "memory", "bytes", memory)
        pack = measure_microseconds(view.pack, repeat=repeat)
        recorder.add(size, "pack", "us", pack)
        unpack = measure_microseconds(
            lambda data=packed: View.unpack(data), repeat=repeat
        )
        recorder.add(size, "unpack", "us", unpack)
        recorder.add(size, "apply_gate", "us", _time_gate_changes(fleet))
    return recorder.list_series()


def _time_gate_changes(fleet: LargeFleet) -> float:
    view = View.unpack(fleet.state.view.pack())
    packed = []
    for number in range(GATE_CHANGES):
        server = name_server(0)
        epoch = fleet.state.view.gates[server].epoch
        delta = fleet.run(ReleaseGate(server=server, gate_epoch=epoch))
        packed.append(delta.pack())
        delta = fleet.appoint(0, number % len(view.hosts), replaces=epoch)
        packed.append(delta.pack())
    waiting = iter(packed)
    return measure_microseconds(
        lambda: view.apply(Delta.unpack(next(waiting))), repeat=len(packed)
    )


def measure_lookups(sizes: Sequence[int], *, repeat: int) -> list[Series]:
    """Measures lookups against the number of different keys."""
    recorder = Recorder(section="lookup", variable="keys in use")
    fleet = LargeFleet(servers=300, overrides=64)
    view = fleet.state.view
    pool = fleet.pools[0]

    def look_up(count: int) -> None:
        for number in range(count):
            view.locate(pool, f"customer-{number}")

    for size in sizes:
        time = measure_microseconds(lambda n=size: look_up(n), repeat=repeat) / size
        recorder.add(size, "per_lookup", "us", time)
        recorder.add(size, "state", "bytes", measure_bytes(lambda n=size: look_up(n)))
    return recorder.list_series()


def measure_catalogues(sizes: Sequence[int], *, repeat: int) -> list[Series]:
    """Measures a catalogue change against the routes of the catalogue.

    There is one workspace for each four routes.
    """
    recorder = Recorder(section="catalogue", variable="routes")
    for size in sizes:
        texts = [
            write_catalogue(
                pools=2, routes=size, workspaces=max(1, size // 4), revision=number
            )
            for number in range(repeat + 1)
        ]
        fleet = LargeFleet(pools=2, catalogue=texts[0])
        view = View.unpack(fleet.state.view.pack())
        command = fleet.build_change(ApplyCatalogue, text=texts[1])
        deltas = [fleet.change(ApplyCatalogue, text=text) for text in texts[1:]]
        waiting = iter([delta.pack() for delta in deltas])
        recorder.add(size, "text", "bytes", len(texts[0]))
        recorder.add(size, "log_entry", "bytes", len(messages.encode(command)))
        recorder.add(size, "delta", "bytes", count_push(deltas[0]))
        push = DeltaPush(delta=deltas[0].pack())
        encode = measure_microseconds(lambda m=push: messages.encode(m), repeat=repeat)
        recorder.add(size, "push", "us", encode)
        recorder.add(
            size,
            "apply",
            "us",
            measure_microseconds(
                lambda view=view, waiting=waiting: view.apply(
                    Delta.unpack(next(waiting))
                ),
                repeat=repeat,
            ),
        )
    return recorder.list_series()


def measure_moves(sizes: Sequence[int]) -> list[Series]:
    """Measures the two deltas of a move against the runs that move."""
    recorder = Recorder(section="move", variable="runs")
    for size in sizes:
        fleet = LargeFleet(servers=2)
        pool = fleet.pools[0]
        table = fleet.state.view.slices[pool]
        step = SLICE_COUNT // (2 * size)
        runs = []
        for start in range(0, step * size, step):
            runs += [start, 1, table.get(start).epoch]
        begin = fleet.begin_move(pool, runs, [])
        finish = fleet.finish_move(pool, 1, runs, [])
        recorder.add(size, "begin_delta", "bytes", count_push(begin))
        recorder.add(size, "finish_delta", "bytes", count_push(finish))
    return recorder.list_series()


def measure_deltas(sizes: Sequence[int]) -> list[Series]:
    """Measures every kind of small delta against the number of servers."""
    recorder = Recorder(section="delta", variable="servers")
    for size in sizes:
        fleet = LargeFleet(servers=size)
        for kind, delta in _make_changes(fleet).items():
            recorder.add(size, kind, "bytes", count_push(delta))
    return recorder.list_series()


def _make_changes(fleet: LargeFleet) -> dict[str, Delta]:
    view = fleet.state.view
    pool = fleet.pools[0]
    server = name_server(0)
    deltas = {}
    deltas["service_change"] = fleet.set_service(0, in_service=False)
    fleet.set_service(0, in_service=True)
    deltas["withdrawn_key"] = fleet.change(WithdrawKey, key_digest="f" * 64)
    gate = view.gates[server].epoch
    deltas["gate_release"] = fleet.run(ReleaseGate(server=server, gate_epoch=gate))
    deltas["gate_appointment"] = fleet.appoint(0, 1, replaces=gate)
    key = 2**63 + 5
    table = view.slices[pool]
    epoch = table.get(key >> 48).epoch
    deltas["hot_key_begin"] = fleet.begin_move(pool, [], [key, epoch])
    epoch = table.overrides[key].epoch
    owner = table.get(key >> 48).owner
    target = 0 if owner != server else 1
    deltas["hot_key_finish"] = fleet.finish_move(pool, target, [], [key, epoch])
    deltas["shard_assignment"] = fleet.assign_shard(0, primary=0, backup=2)
    shard = view.shards[0].epoch
    deltas["backup_confirmed"] = fleet.run(ConfirmBackup(shard=0, epoch=shard))
    host = name_host(2)
    epoch = view.hosts[host].epoch
    deltas["host_loss"] = fleet.run(DeregisterHost(host=host, epoch=epoch))
    deltas["host_registration"] = fleet.run(register_host(2, boot="f" * 16))
    epoch, gate = view.servers[server].epoch, view.gates[server].epoch
    forget = DeregisterServer(server=server, epoch=epoch, gate_epoch=gate)
    deltas["server_loss"] = fleet.run(forget)
    deltas["server_registration"] = fleet.run(register_server(0, pool, boot="f" * 16))
    return deltas
