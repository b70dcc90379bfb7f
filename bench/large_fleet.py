"""Control states of configurable size, built by applying commands."""

import json

from monsoonlug.catalogue import digest_key
from monsoonlug.commands import (
    ApplyCatalogue,
    AppointGate,
    AssignShard,
    BeginMove,
    Command,
    CommandResult,
    CommandStatus,
    FinishMove,
    RegisterHost,
    RegisterServer,
    SetService,
)
from monsoonlug.deltas import Delta
from monsoonlug.ids import SLICE_COUNT, ServerPhase, ServiceKind
from monsoonlug.slices import find_slice, hash_key
from monsoonlug.state import ControlState
from monsoonlug.view import SHARD_COUNT

FAILURE_DOMAINS = 13  # number of failure domains at the target size
RUNS_PER_SERVER = 4  # moves leave an owner's slices in several runs
KEYS_PER_WORKSPACE = 2


class CommandRefused(Exception):
    """A command that builds the state was refused."""


def write_catalogue(
    *, pools: int, workspaces: int = 8, routes: int = 12, revision: int = 0
) -> str:
    """Returns a catalogue of keyed pools as JSON text.

    Args:
        pools: Number of pools.
        workspaces: Number of workspaces, with two keys each.
        routes: Number of routes.
        revision: Number in the text that makes it unique without changing its size.
    """
    common = {"owner": f"team-{revision:06}", "request_class": "critical"}
    document = {"pools": [], "workspaces": [], "routes": []}
    for number in range(pools):
        document["pools"].append(common | {"name": f"pool-{number}", "keyed": True})
    for number in range(workspaces):
        digests = [digest_key(f"{number}/{key}") for key in range(KEYS_PER_WORKSPACE)]
        document["workspaces"].append(
            common
            | {
                "name": f"workspace-{number}",
                "limits": {"rate": 10_000.0, "burst": 10_000},
                "key_digests": digests,
            }
        )
    for number in range(routes):
        document["routes"].append(
            common
            | {
                "name": f"route-{number}",
                "prefix": f"/service/{number}",
                "methods": ["GET", "POST"],
                "pool": f"pool-{number % pools}",
            }
        )
    return json.dumps(document)


class LargeFleet:
    """Control state with hosts, servers, gates, slices, overrides and record shards.

    Args:
        hosts: Number of entry hosts.
        servers: Number of backend servers, spread over the pools.
        pools: Number of keyed pools.
        overrides: Number of hot keys with an override, all in the first pool.
        catalogue: Text of the catalogue, or an empty string for a default one.
    """

    def __init__(
        self,
        *,
        hosts: int = 12,
        servers: int = 30,
        pools: int = 1,
        overrides: int = 0,
        catalogue: str = "",
    ):
        self.state = ControlState()
        self.pools = [f"pool-{number}" for number in range(pools)]
        self.apply_change(
            ApplyCatalogue, text=catalogue or write_catalogue(pools=pools)
        )
        for number in range(hosts):
            self.apply(register_host(number))
        for number in range(servers):
            self.apply(register_server(number, self.pools[number % pools]))
        for number in range(servers):
            self.appoint_gate(number, number % hosts)
        self._assign_slices(servers)
        self._add_overrides(overrides)
        if hosts > 1:
            self._assign_shards(hosts)

    def apply(self, command: Command) -> Delta:
        """Applies a command and returns its delta.

        Raises:
            CommandRefused: If the command is not accepted or changes nothing.
        """
        answer, delta = self.state.apply(self.state.applied_index + 1, command)
        if answer.status is not CommandStatus.ACCEPTED or delta is None:
            raise CommandRefused(f"{type(command).__name__}: {format_answer(answer)}")
        return delta

    def apply_change(self, command: type, /, **fields) -> Delta:
        """Applies an operator's change and returns its delta."""
        return self.apply(self.build_change(command, **fields))

    def build_change(self, command: type, /, **fields) -> Command:
        """Returns an operator's change based on the newest revision."""
        base = self.state.view.config_revision
        number = self.state.applied_index
        return command(change_id=f"change-{number:08}", base=base, **fields)

    def set_service(self, number: int, in_service: bool) -> Delta:
        """Takes a host out of service or brings it back."""
        return self.apply_change(
            SetService,
            kind=ServiceKind.HOST,
            name=name_host(number),
            in_service=in_service,
        )

    def appoint_gate(self, server: int, host: int, *, replaces: int = 0) -> Delta:
        """Appoints the gate of a server."""
        view = self.state.view
        return self.apply(
            AppointGate(
                server=name_server(server),
                server_epoch=view.servers[name_server(server)].epoch,
                host=name_host(host),
                host_epoch=view.hosts[name_host(host)].epoch,
                replaces=replaces,
            )
        )

    def assign_shard(self, number: int, *, primary: int, backup: int) -> Delta:
        """Assigns primary and backup host of a shard of idempotency records."""
        view = self.state.view
        shard = view.shards.get(number)
        return self.apply(
            AssignShard(
                shard=number,
                epoch=shard.epoch if shard else 0,
                primary=name_host(primary),
                primary_epoch=view.hosts[name_host(primary)].epoch,
                backup=name_host(backup),
                backup_epoch=view.hosts[name_host(backup)].epoch,
            )
        )

    def begin_move(self, pool: str, runs: list, keys: list) -> Delta:
        """Begins a move of slices and keys away from their owners.

        Args:
            pool: Pool of the slices.
            runs: Start, count and epoch of each run of slices, in one flat list.
            keys: Hash and epoch of each hot key, in one flat list.
        """
        return self.apply(BeginMove(pool=pool, runs=runs, keys=keys))

    def finish_move(self, pool: str, server: int, runs: list, keys: list) -> Delta:
        """Assigns slices and keys, in the form that `begin_move` takes, to a server."""
        name = name_server(server)
        return self.apply(
            FinishMove(
                pool=pool,
                owner=name,
                owner_epoch=self.state.view.servers[name].epoch,
                runs=runs,
                keys=keys,
            )
        )

    def _assign_slices(self, servers: int) -> None:
        pools = len(self.pools)
        for place, pool in enumerate(self.pools):
            owners = list(range(place, servers, pools))
            parts = RUNS_PER_SERVER * len(owners)
            bounds = [SLICE_COUNT * part // parts for part in range(parts + 1)]
            for rank, server in enumerate(owners):
                runs = []
                for part in range(rank, parts, len(owners)):
                    runs += [bounds[part], bounds[part + 1] - bounds[part], 0]
                self.finish_move(pool, server, runs, [])

    def _add_overrides(self, count: int) -> None:
        pool = self.pools[0]
        table = self.state.view.slices[pool]
        for number in range(count):
            key = hash_key(f"hot-{number}")
            location = table.get(find_slice(key))
            self.begin_move(pool, [], [key, location.epoch])
            # A key that returns to the slice's owner would have no override.
            candidates = [name_server(0), name_server(len(self.pools))]
            target = 0 if location.owner != candidates[0] else len(self.pools)
            self.finish_move(pool, target, [], [key, table.overrides[key].epoch])

    def _assign_shards(self, hosts: int) -> None:
        for number in range(SHARD_COUNT):
            self.assign_shard(
                number, primary=number % hosts, backup=(number + 1) % hosts
            )


def name_host(number: int) -> str:
    """Returns the name of an entry host."""
    return f"entry-{number:04}"


def name_server(number: int) -> str:
    """Returns the name of a backend server."""
    return f"server-{number:04}"


def register_host(number: int, *, boot: str = "0123456789abcdef") -> RegisterHost:
    """Returns the registration of an entry host."""
    return RegisterHost(
        host=name_host(number),
        failure_domain=f"domain-{number % FAILURE_DOMAINS:02}",
        stream=f"10.0.{number // 250}.{number % 250}:7001",
        announce=f"10.0.{number // 250}.{number % 250}:7002",
        boot=boot,
    )


def register_server(
    number: int, pool: str, *, boot: str = "0123456789abcdef"
) -> RegisterServer:
    """Returns the registration of a backend server."""
    return RegisterServer(
        server=name_server(number),
        pool=pool,
        address=f"10.1.{number // 250}.{number % 250}:8001",
        failure_domain=f"domain-{number % FAILURE_DOMAINS:02}",
        boot=boot,
        phase=ServerPhase.COLD,
    )


def format_answer(answer: CommandResult) -> str:
    """Returns status and text of an answer as one string."""
    return f"{answer.status.value} {answer.text}"
