"""Memory and processor time of the view, and sizes of its deltas."""

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

FRAME_HEADER_SIZE = 4  # bytes of the length prefix of a frame
GATE_CHANGES = 20  # releases and appointments that are timed


def count_push_bytes(delta: Delta) -> int:
    """Returns the size of the frame that carries a delta to one entry."""
    return FRAME_HEADER_SIZE + len(messages.encode(DeltaPush(delta=delta.pack())))


def measure_view(
    variable: str, sizes: Sequence[int], *, repeat: int, fixed: dict | None = None
) -> list[Series]:
    """Measures the view by one argument of `LargeFleet`.

    Args:
        variable: Argument that varies.
        sizes: Values of that argument.
        repeat: Number of timed calls.
        fixed: Other arguments of `LargeFleet`.
    """
    recorder = Recorder(section=f"view_by_{variable}", variable=variable)
    for size in sizes:
        fleet = LargeFleet(**{variable: size}, **(fixed or {}))
        view = fleet.state.view
        packed = view.pack()
        frame = messages.encode(
            ViewPush(revision=view.revision, last=True, data=packed)
        )
        recorder.add(size, "packed", "bytes", len(frame) + FRAME_HEADER_SIZE)
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
        delta = fleet.apply(ReleaseGate(server=server, gate_epoch=epoch))
        packed.append(delta.pack())
        delta = fleet.appoint_gate(0, number % len(view.hosts), replaces=epoch)
        packed.append(delta.pack())
    packed_deltas = iter(packed)
    return measure_microseconds(
        lambda: view.apply(Delta.unpack(next(packed_deltas))), repeat=len(packed)
    )


def measure_lookups(sizes: Sequence[int], *, repeat: int) -> list[Series]:
    """Measures look-ups of owners by number of distinct keys."""
    recorder = Recorder(section="lookup", variable="keys in use")
    fleet = LargeFleet(servers=300, overrides=64)
    view = fleet.state.view
    pool = fleet.pools[0]

    def look_up(count: int) -> None:
        for number in range(count):
            view.locate(pool, f"customer-{number}")

    for size in sizes:
        microseconds = (
            measure_microseconds(lambda n=size: look_up(n), repeat=repeat) / size
        )
        recorder.add(size, "per_lookup", "us", microseconds)
        recorder.add(size, "state", "bytes", measure_bytes(lambda n=size: look_up(n)))
    return recorder.list_series()


def measure_catalogues(sizes: Sequence[int], *, repeat: int) -> list[Series]:
    """Measures a catalogue change by number of routes.

    The catalogue has one workspace per four routes.
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
        deltas = [fleet.apply_change(ApplyCatalogue, text=text) for text in texts[1:]]
        packed_deltas = iter([delta.pack() for delta in deltas])
        recorder.add(size, "text", "bytes", len(texts[0]))
        recorder.add(size, "log_entry", "bytes", len(messages.encode(command)))
        recorder.add(size, "delta", "bytes", count_push_bytes(deltas[0]))
        push = DeltaPush(delta=deltas[0].pack())
        encode = measure_microseconds(lambda m=push: messages.encode(m), repeat=repeat)
        recorder.add(size, "push", "us", encode)
        recorder.add(
            size,
            "apply",
            "us",
            measure_microseconds(
                lambda view=view, packed_deltas=packed_deltas: view.apply(
                    Delta.unpack(next(packed_deltas))
                ),
                repeat=repeat,
            ),
        )
    return recorder.list_series()


def measure_moves(sizes: Sequence[int]) -> list[Series]:
    """Measures the two deltas of a move by number of moved runs of slices."""
    recorder = Recorder(section="move", variable="runs")
    for size in sizes:
        fleet = LargeFleet(servers=2)
        pool = fleet.pools[0]
        table = fleet.state.view.slices[pool]
        step = SLICE_COUNT // (2 * size)
        runs = []
        for start in range(0, step * size, step):
            runs += [start, 1, table.get(start).epoch]
        begin_delta = fleet.begin_move(pool, runs, [])
        finish_delta = fleet.finish_move(pool, 1, runs, [])
        recorder.add(size, "begin_delta", "bytes", count_push_bytes(begin_delta))
        recorder.add(size, "finish_delta", "bytes", count_push_bytes(finish_delta))
    return recorder.list_series()


def measure_deltas(sizes: Sequence[int]) -> list[Series]:
    """Measures every kind of small delta by number of servers."""
    recorder = Recorder(section="delta", variable="servers")
    for size in sizes:
        fleet = LargeFleet(servers=size)
        for kind, delta in _apply_small_changes(fleet).items():
            recorder.add(size, kind, "bytes", count_push_bytes(delta))
    return recorder.list_series()


def _apply_small_changes(fleet: LargeFleet) -> dict[str, Delta]:
    view = fleet.state.view
    pool = fleet.pools[0]
    server = name_server(0)
    deltas = {}
    deltas["service_change"] = fleet.set_service(0, in_service=False)
    fleet.set_service(0, in_service=True)
    deltas["withdrawn_key"] = fleet.apply_change(WithdrawKey, key_digest="f" * 64)
    gate = view.gates[server].epoch
    deltas["gate_release"] = fleet.apply(ReleaseGate(server=server, gate_epoch=gate))
    deltas["gate_appointment"] = fleet.appoint_gate(0, 1, replaces=gate)
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
    deltas["backup_confirmed"] = fleet.apply(ConfirmBackup(shard=0, epoch=shard))
    host = name_host(2)
    epoch = view.hosts[host].epoch
    deltas["host_loss"] = fleet.apply(DeregisterHost(host=host, epoch=epoch))
    deltas["host_registration"] = fleet.apply(register_host(2, boot="f" * 16))
    epoch, gate = view.servers[server].epoch, view.gates[server].epoch
    forget = DeregisterServer(server=server, epoch=epoch, gate_epoch=gate)
    deltas["server_loss"] = fleet.apply(forget)
    deltas["server_registration"] = fleet.apply(register_server(0, pool, boot="f" * 16))
    return deltas
