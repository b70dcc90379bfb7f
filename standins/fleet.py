"""Starts the system's daemons and stand-in servers as processes on the loopback.

For tests, the demo and benchmarks. Each process is started by one command with one
settings file, in a folder that the caller names.
"""

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

STOP_TIMEOUT = 90.0  # seconds; more than a graceful stop may take
POLL_INTERVAL = 0.05  # seconds
HTTP_TIMEOUT = 2.0  # seconds
DOMAINS = ("a", "b", "c", "d")
PORTS = range(20_000, 32_000)  # below Linux's default range of ephemeral ports
SOURCE = Path(__file__).resolve().parent.parent


class FleetError(Exception):
    """A process did not do in time what was expected."""


def _walk_ports() -> Iterator[int]:
    start = Random(os.getpid()).randrange(len(PORTS))
    for step in itertools.count():
        yield PORTS[(start + step) % len(PORTS)]


_ports = _walk_ports()


def find_address() -> str:
    """Returns a loopback address with a port that is free and not returned before.

    The port is outside the range from which the kernel takes ports of outgoing
    connections and of listeners without a port. One of these could take it before the
    process that it is meant for.
    """
    while True:
        port = next(_ports)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"


def build_environment() -> dict[str, str]:
    """Returns an environment whose processes run this source."""
    return os.environ | {"PYTHONPATH": f"{SOURCE / 'src'}{os.pathsep}{SOURCE}"}


def wait_for(
    check: Callable[[], object], *, timeout: float, what: str, interval=POLL_INTERVAL
):
    """Waits until `check()` is true and returns its result.

    Raises:
        FleetError: If it is not true within `timeout` seconds.
    """
    until = time.monotonic() + timeout
    while time.monotonic() < until:
        result = check()
        if result:
            return result
        time.sleep(interval)
    raise FleetError(f"{what} did not happen within {timeout} s")


def read_json(url: str) -> dict | None:
    """Returns the JSON document at a URL, or None if there is none."""
    try:
        with urllib.request.urlopen(url, timeout=HTTP_TIMEOUT) as response:
            return json.loads(response.read())
    except urllib.error.HTTPError as error:
        error.close()
        return None
    except (OSError, ValueError):
        return None


def post_json(url: str, document: dict) -> None:
    """Posts a JSON document.

    Raises:
        OSError: If the server does not take it.
    """
    request = urllib.request.Request(
        url,
        data=json.dumps(document).encode(),
        headers={"Content-Type": "application/json"},
    )
    with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT) as response:
        response.read()


@dataclass(slots=True, kw_only=True)
class Daemon:
    """One process and its settings."""

    name: str
    command: list[str]
    settings: dict
    folder: Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process; its output goes to a file in the folder."""
        path = self.settings_path
        path.write_text(json.dumps(self.settings))
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.command, "--settings", str(path)],
                stdout=log,
                stderr=log,
                env=build_environment(),
            )

    @property
    def settings_path(self) -> Path:
        """Where the settings file is written."""
        return self.folder / f"{self.name}.json"

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Ends the process at once."""
        self.process.kill()
        self.process.wait()

    def stop(self) -> int:
        """Asks the process to end and returns its exit code."""
        self.process.terminate()
        return self.process.wait(STOP_TIMEOUT)

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def read_log(self) -> str:
        """Returns what the process has printed."""
        return (self.folder / f"{self.name}.log").read_text()


@dataclass(slots=True, kw_only=True)
class Fleet:
    """Control replicas, entries and stand-in servers.

    Attributes:
        folder: Where settings, logs and data folders go.
    """

    folder: Path
    controls: dict[str, Daemon] = field(default_factory=dict)
    entries: dict[str, Daemon] = field(default_factory=dict)
    servers: dict[str, Daemon] = field(default_factory=dict)

    def add_controls(self, count: int) -> None:
        """Prepares control replicas that know each other."""
        members = [
            {
                "replica": f"control-{number}",
                "stream": find_address(),
                "operators": find_address(),
            }
            for number in range(1, count + 1)
        ]
        for number, member in enumerate(members):
            name = member["replica"]
            settings = {
                "replica": name,
                "failure_domain": DOMAINS[number % len(DOMAINS)],
                "data_folder": str(self.folder / f"{name}.data"),
                "members": members,
            }
            self.controls[name] = self._build(
                name, ["-m", "monsoonlug.main", "control"], settings
            )

    def add_entries(self, count: int, **extra: object) -> None:
        """Prepares entry hosts, spread over the failure domains."""
        members = next(iter(self.controls.values())).settings["members"]
        for number in range(1, count + 1):
            name = f"host-{number}"
            settings = {
                "host": name,
                "failure_domain": DOMAINS[(number - 1) % len(DOMAINS)],
                "listen": find_address(),
                "announce": find_address(),
                "stream": find_address(),
                "control": members,
            }
            self.entries[name] = self._build(
                name, ["-m", "monsoonlug.main", "entry"], settings | extra
            )

    def add_servers(self, pool: str, count: int, **extra: object) -> None:
        """Prepares stand-in servers of one pool."""
        entries = [entry.settings["announce"] for entry in self.entries.values()]
        for number in range(1, count + 1):
            name = f"{pool}-{number}"
            settings = {
                "server": name,
                "pool": pool,
                "listen": find_address(),
                "failure_domain": DOMAINS[(number - 1) % len(DOMAINS)],
                "entries": entries[number % len(entries) :] + entries,
                "executions_file": str(self.folder / f"{name}.executions"),
            }
            self.servers[name] = self._build(
                name, ["-m", "standins.server"], settings | extra
            )

    def list_daemons(self) -> list[Daemon]:
        """Returns all processes, in the order in which they start."""
        groups = (self.controls, self.entries, self.servers)
        return [daemon for group in groups for daemon in group.values()]

    def start(self) -> None:
        """Starts all processes that were prepared."""
        for daemon in self.list_daemons():
            daemon.start()

    def stop(self) -> None:
        """Ends all processes that still run."""
        for daemon in self.list_daemons():
            if daemon.is_running:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.kill()

    def restart_missing(self) -> None:
        """Wakes paused processes and starts those that have ended."""
        for daemon in self.list_daemons():
            if daemon.is_running:
                daemon.signal(signal.SIGCONT)
                continue
            daemon.start()

    def read_executions(self) -> list[dict]:
        """Returns the executions of all servers, also of killed ones, by time."""
        rows = []
        for name in self.servers:
            path = self.folder / f"{name}.executions"
            if not path.exists():
                continue
            lines = path.read_text().splitlines()
            rows.extend(json.loads(line) for line in lines)
        return sorted(rows, key=lambda row: row["time"])

    def order(self, server: str, **fields: object) -> None:
        """Sends a test's order, with the fields of `ControlOrder`, to a server."""
        address = self.servers[server].settings["listen"]
        post_json(f"http://{address}/_standin/control", fields)

    @property
    def operator_addresses(self) -> list[str]:
        """Addresses of the operators' interfaces."""
        members = next(iter(self.controls.values())).settings["members"]
        return [member["operators"] for member in members]

    @property
    def entry_addresses(self) -> list[str]:
        """Addresses at which callers are served."""
        return [entry.settings["listen"] for entry in self.entries.values()]

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess:
        """Runs the command line against the control replicas."""
        options = []
        for address in self.operator_addresses:
            options += ["--control", address]
        return subprocess.run(
            [sys.executable, "-m", "monsoonlug.main", *arguments, *options, "--json"],
            capture_output=True,
            text=True,
            env=build_environment(),
            timeout=30,
        )

    def read_status(self) -> dict | None:
        """Returns the status from the leader, or None."""
        for address in self.operator_addresses:
            status = read_json(f"http://{address}/v1/status")
            if status is not None:
                return status
        return None

    def find_leader(self) -> str:
        """Returns the name of the leading control replica."""
        status = wait_for(self.read_status, timeout=10, what="a status")
        return status["leader"]

    def wait_ready(self, *, servers: int, timeout: float = 30.0) -> dict:
        """Waits until all entries are ready and nothing lacks an owner or a copy.

        Args:
            servers: Number of backend servers that must have a gate.
            timeout: Seconds.

        Raises:
            FleetError: If that takes too long.
        """
        for name, entry in self.entries.items():
            if not entry.is_running:
                continue
            url = f"http://{entry.settings['listen']}/ready"
            wait_for(
                lambda url=url: read_json(url), timeout=timeout, what=f"{name} ready"
            )

        def check():
            status = self.read_status()
            if status is None:
                return None
            rows = status["backend_servers"]
            placed = [row for row in rows if row["gate"] is not None]
            moving = [row for row in status["pools"] if row["unowned"]]
            is_whole = not moving and not status["record_shards"]["not_copied"]
            return status if len(placed) >= servers and is_whole else None

        what = "an owner for every slice and a copy of every record shard"
        return wait_for(check, timeout=timeout, what=what)

    def _build(self, name: str, command: list[str], settings: dict) -> Daemon:
        return Daemon(name=name, command=command, settings=settings, folder=self.folder)
