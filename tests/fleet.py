"""Builds control states for the tests of the control side."""

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
    """Returns a catalogue with these keyed pools and one workspace."""
    workspace = {"name": "w", "owner": "o", "limits": {"rate": 1, "burst": 1}}
    pool = {"owner": "o", "keyed": True, "limits": {"cold_seconds": cold_seconds}}
    return json.dumps(
        {
            "pools": [{**pool, "name": name} for name in pools],
            "workspaces": [{**workspace, "key_digests": list(digests)}],
        }
    )


class Fleet:
    """A control state with hosts and servers spread over failure domains."""

    def __init__(self, *, hosts=4, servers=8, domains=4, gates=True, slices=True):
        self.state = ControlState()
        self.deltas = []
        self.change(ApplyCatalogue, text=write_catalogue(POOL))
        for number in range(hosts):
            self.add_host(f"h{number}", f"d{number % domains}")
        for number in range(servers):
            self.add_server(f"s{number}", f"d{number % domains}")
            if gates:
                self.appoint(f"s{number}", f"h{number % hosts}")
        if slices:
            count = SLICE_COUNT // servers
            for number in range(servers):
                self.own(f"s{number}", [number * count, count, 0])

    @property
    def view(self):
        return self.state.view

    def do(self, command):
        """Applies a command at the next index and keeps its delta."""
        answer, delta = self.state.apply(self.state.applied_index + 1, command)
        if delta is not None:
            self.deltas.append(delta)
        return answer

    def change(self, command, /, change_id=None, base=None, **fields):
        """Applies an operator's change."""
        change_id = change_id or f"c{self.state.applied_index}"
        base = self.view.config_revision if base is None else base
        return self.do(command(change_id=change_id, base=base, **fields))

    def set_service(self, kind, name, in_service=False, **fields):
        return self.change(
            SetService, kind=kind, name=name, in_service=in_service, **fields
        )

    def add_host(self, host, domain, boot="b"):
        return self.do(
            RegisterHost(
                host=host, failure_domain=domain, stream="", announce="", boot=boot
            )
        )

    def add_server(self, server, domain, boot="b", phase=ServerPhase.COLD):
        return self.do(
            RegisterServer(
                server=server,
                pool=POOL,
                address="127.0.0.1:1",
                failure_domain=domain,
                boot=boot,
                phase=phase,
            )
        )

    def appoint(self, server, host, replaces=0):
        return self.do(
            AppointGate(
                server=server,
                server_epoch=self.view.servers[server].epoch,
                host=host,
                host_epoch=self.view.hosts[host].epoch,
                replaces=replaces,
            )
        )

    def own(self, server, runs, keys=()):
        return self.do(
            FinishMove(
                pool=POOL,
                owner=server,
                owner_epoch=self.view.servers[server].epoch,
                runs=list(runs),
                keys=list(keys),
            )
        )
