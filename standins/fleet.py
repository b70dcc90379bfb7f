"""Starts daemons and stand-in servers as processes on the loopback interface.

Used by tests, the demo and benchmarks. Each process gets one settings file and one
log file, in a folder that the caller names.
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

STOP_TIMEOUT = 90.0  # seconds; longer than any graceful shutdown
POLL_INTERVAL = 0.05  # seconds
HTTP_TIMEOUT = 2.0  # seconds
FAILURE_DOMAINS = ("a", "b", "c", "d")
PORT_RANGE = range(20_000, 32_000)  # below Linux's default range of ephemeral ports
REPOSITORY_ROOT = Path(__file__).resolve().parent.parent


class FleetError(Exception):
    """A process failed or did not reach an expected state in time."""


def _generate_ports() -> Iterator[int]:
    start = Random(os.getpid()).randrange(len(PORT_RANGE))
    for step in itertools.count():
        yield PORT_RANGE[(start + step) % len(PORT_RANGE)]


_port_generator = _generate_ports()


def find_address() -> str:
    """Returns a loopback address with a free port that was not returned before.

    The port is outside the kernel's ephemeral range. An outgoing connection, or a
    listener on port 0, could otherwise take it before the process that needs it.
    """
    while True:
        port = next(_port_generator)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"


def build_environment() -> dict[str, str]:
    """Returns environment variables with which Python imports this source tree."""
    return os.environ | {
        "PYTHONPATH": f"{REPOSITORY_ROOT / 'src'}{os.pathsep}{REPOSITORY_ROOT}"
    }


def wait_for(
    check: Callable[[], object], *, timeout: float, what: str, interval=POLL_INTERVAL
):
    """Polls `check()` until its result is true and returns that result.

    Raises:
        FleetError: If no result is true within `timeout` seconds.
    """
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        result = check()
        if result:
            return result
        time.sleep(interval)
    raise FleetError(f"timed out after {timeout} s waiting for {what}")


def read_json(url: str) -> dict | None:
    """Returns the JSON document at a URL, or None if the request fails."""
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
        OSError: If the request fails or is refused.
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
    """A process with its settings file and log file."""

    name: str
    command: list[str]
    settings: dict
    folder: Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process and appends its output to its log file."""
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
        """Path of the settings file."""
        return self.folder / f"{self.name}.json"

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.process.kill()
        self.process.wait()

    def stop(self) -> int:
        """Sends SIGTERM, waits for the process to end and returns its exit code."""
        self.process.terminate()
        return self.process.wait(STOP_TIMEOUT)

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self.process is not None and self.process.poll() is None

    def read_log(self) -> str:
        """Returns the output of the process."""
        return (self.folder / f"{self.name}.log").read_text()


@dataclass(slots=True, kw_only=True)
class Fleet:
    """Control replicas, entries and stand-in servers.

    Attributes:
        folder: Holds the settings files, the logs and the data folders.
    """

    folder: Path
    controls: dict[str, Daemon] = field(default_factory=dict)
    entries: dict[str, Daemon] = field(default_factory=dict)
    servers: dict[str, Daemon] = field(default_factory=dict)

    def add_controls(self, count: int) -> None:
        """Adds control replicas that form one group, without starting them."""
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
                "failure_domain": FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
                "data_folder": str(self.folder / f"{name}.data"),
                "members": members,
            }
            self.controls[name] = self._build(
                name, ["-m", "monsoonlug.main", "control"], settings
            )

    def add_entries(self, count: int, **extra: object) -> None:
        """Adds entry hosts, spread over the failure domains, without starting them."""
        members = next(iter(self.controls.values())).settings["members"]
        for number in range(1, count + 1):
            name = f"host-{number}"
            settings = {
                "host": name,
                "failure_domain": FAILURE_DOMAINS[(number - 1) % len(FAILURE_DOMAINS)],
                "listen": find_address(),
                "announce": find_address(),
                "stream": find_address(),
                "control": members,
            }
            self.entries[name] = self._build(
                name, ["-m", "monsoonlug.main", "entry"], settings | extra
            )

    def add_servers(self, pool: str, count: int, **extra: object) -> None:
        """Adds stand-in servers of one pool, without starting them."""
        entries = [entry.settings["announce"] for entry in self.entries.values()]
        for number in range(1, count + 1):
            name = f"{pool}-{number}"
            settings = {
                "server": name,
                "pool": pool,
                "listen": find_address(),
                "failure_domain": FAILURE_DOMAINS[(number - 1) % len(FAILURE_DOMAINS)],
                "entries": entries[number % len(entries) :] + entries,
                "executions_file": str(self.folder / f"{name}.executions"),
            }
            self.servers[name] = self._build(
                name, ["-m", "standins.server"], settings | extra
            )

    def list_daemons(self) -> list[Daemon]:
        """Returns all processes in start order."""
        groups = (self.controls, self.entries, self.servers)
        return [daemon for group in groups for daemon in group.values()]

    def start(self) -> None:
        """Starts all processes."""
        for daemon in self.list_daemons():
            daemon.start()

    def stop(self) -> None:
        """Kills all running processes, paused ones included."""
        for daemon in self.list_daemons():
            if daemon.is_running:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.kill()

    def restart_exited(self) -> None:
        """Resumes paused processes and starts those that have exited."""
        for daemon in self.list_daemons():
            if daemon.is_running:
                daemon.signal(signal.SIGCONT)
                continue
            daemon.start()

    def read_executions(self) -> list[dict]:
        """Returns the executions of all servers, killed ones included, by time."""
        rows = []
        for name in self.servers:
            path = self.folder / f"{name}.executions"
            if not path.exists():
                continue
            lines = path.read_text().splitlines()
            rows.extend(json.loads(line) for line in lines)
        return sorted(rows, key=lambda row: row["time"])

    def control_server(self, server: str, **fields: object) -> None:
        """Sends a `ControlRequest` with the given fields to a server."""
        address = self.servers[server].settings["listen"]
        post_json(f"http://{address}/_standin/control", fields)

    @property
    def operator_addresses(self) -> list[str]:
        """Addresses of the operators' interface of each control replica."""
        members = next(iter(self.controls.values())).settings["members"]
        return [member["operators"] for member in members]

    @property
    def entry_addresses(self) -> list[str]:
        """Addresses at which the entries accept callers' requests."""
        return [entry.settings["listen"] for entry in self.entries.values()]

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess:
        """Runs a `monsoonlug` command against the control replicas."""
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
        """Returns the first status that a control replica answers, or None."""
        for address in self.operator_addresses:
            status = read_json(f"http://{address}/v1/status")
            if status is not None:
                return status
        return None

    def find_leader(self) -> str:
        """Returns the name of the control leader."""
        status = wait_for(self.read_status, timeout=10, what="a status")
        return status["leader"]

    def wait_ready(self, *, servers: int, timeout: float = 30.0) -> dict:
        """Waits until entries are ready, slices owned and record shards copied.

        Args:
            servers: Number of backend servers that must have a gate.
            timeout: Seconds.

        Raises:
            FleetError: If the fleet is not ready within the timeout.
        """
        for name, entry in self.entries.items():
            if not entry.is_running:
                continue
            url = f"http://{entry.settings['listen']}/ready"
            wait_for(
                lambda url=url: read_json(url),
                timeout=timeout,
                what=f"{name} to be ready",
            )

        def find_complete_status():
            status = self.read_status()
            if status is None:
                return None
            rows = status["backend_servers"]
            gated_servers = [row for row in rows if row["gate"] is not None]
            unowned = [row for row in status["pools"] if row["unowned"]]
            is_complete = not unowned and not status["record_shards"]["not_copied"]
            return status if len(gated_servers) >= servers and is_complete else None

        what = "an owner for every slice and a copy of every record shard"
        return wait_for(find_complete_status, timeout=timeout, what=what)

    def _build(self, name: str, command: list[str], settings: dict) -> Daemon:
        return Daemon(name=name, command=command, settings=settings, folder=self.folder)
