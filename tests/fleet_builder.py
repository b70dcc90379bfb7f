"""Builds control states for the tests of control."""

import json

from monsoonlug.commands import (
    ApplyCatalogue,
    AppointGate,
    FinishMove,
    RegisterHost,
    RegisterServer,
    SetService,
)
from monsoonlug.ids import SLICE_COUNT, ServerPhase
from monsoonlug.state import ControlState

POOL = "p"


def write_catalogue(*pools, digests=(), cold_seconds=10):
    """Returns the JSON of a catalogue with keyed pools and one workspace."""
    workspace = {"name": "w", "owner": "o", "limits": {"rate": 1, "burst": 1}}
    pool = {"owner": "o", "keyed": True, "limits": {"cold_seconds": cold_seconds}}
    return json.dumps(
        {
            "pools": [{**pool, "name": name} for name in pools],
            "workspaces": [{**workspace, "key_digests": list(digests)}],
        }
    )


class FleetBuilder:
    """Control state with hosts and servers spread over failure domains."""

    def __init__(self, *, hosts=4, servers=8, domains=4, gates=True, slices=True):
        self.state = ControlState()
        self.deltas = []
        self.apply_change(ApplyCatalogue, text=write_catalogue(POOL))
        for number in range(hosts):
            self.add_host(f"h{number}", f"d{number % domains}")
        for number in range(servers):
            self.add_server(f"s{number}", f"d{number % domains}")
            if gates:
                self.appoint_gate(f"s{number}", f"h{number % hosts}")
        if slices:
            count = SLICE_COUNT // servers
            for number in range(servers):
                self.assign_slices(f"s{number}", [number * count, count, 0])

    @property
    def view(self):
        return self.state.view

    def apply(self, command):
        """Applies a command at the next log index and records its delta."""
        answer, delta = self.state.apply(self.state.applied_index + 1, command)
        if delta is not None:
            self.deltas.append(delta)
        return answer

    def apply_change(self, command, /, change_id=None, base=None, **fields):
        """Applies an operator's change."""
        change_id = change_id or f"c{self.state.applied_index}"
        base = self.view.config_revision if base is None else base
        return self.apply(command(change_id=change_id, base=base, **fields))

    def set_service(self, kind, name, in_service=False, **fields):
        return self.apply_change(
            SetService, kind=kind, name=name, in_service=in_service, **fields
        )

    def add_host(self, host, domain, boot="b"):
        return self.apply(
            RegisterHost(
                host=host, failure_domain=domain, stream="", announce="", boot=boot
            )
        )

    def add_server(self, server, domain, boot="b", phase=ServerPhase.COLD):
        return self.apply(
            RegisterServer(
                server=server,
                pool=POOL,
                address="127.0.0.1:1",
                failure_domain=domain,
                boot=boot,
                phase=phase,
            )
        )

    def appoint_gate(self, server, host, replaces=0):
        return self.apply(
            AppointGate(
                server=server,
                server_epoch=self.view.servers[server].epoch,
                host=host,
                host_epoch=self.view.hosts[host].epoch,
                replaces=replaces,
            )
        )

    def assign_slices(self, server, runs, keys=()):
        return self.apply(
            FinishMove(
                pool=POOL,
                owner=server,
                owner_epoch=self.view.servers[server].epoch,
                runs=list(runs),
                keys=list(keys),
            )
        )
