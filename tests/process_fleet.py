"""A fleet of real processes on the loopback interface, with load and checks."""

import hashlib
import http.client
import json
import threading
import urllib.error
import urllib.request
from asyncio import run
from collections import Counter
from contextlib import contextmanager
from dataclasses import dataclass, field

from standins.caller import Caller, CallerSettings
from standins.fleet import Fleet, FleetError, read_json, wait_for
from tests.proxies import Proxies

WAIT_TIMEOUT = 15.0  # seconds
SERVER_COUNT = 6
WORKSPACE_KEYS = {"counter": "key-of-the-counter", "office": "key-of-the-office"}
RATES = {"counter": 400, "office": 40}  # requests per second
BURSTS = {"counter": 400, "office": 20}
# Shares of look-ups, reservations, payments and large answers, for a caller that sends
# no idempotency keys.
RESERVATION_SHARES = (0.6, 0.4, 0.0, 0.0)


def digest(text):
    return hashlib.sha256(text.encode()).hexdigest()


def build_catalogue():
    common = {"owner": "tests", "request_class": "critical"}
    limits = {"slots": 2, "connections": 130, "cold_rate": 1000.0}
    pools = [("booking", True), ("payment", False)]
    routes = [
        ("lookup", "GET", "booking", True),
        ("reservation", "POST", "booking", False),
        ("payment", "POST", "payment", False),
        ("large", "GET", "booking", True),
    ]
    return {
        "pools": [
            {"name": name, "keyed": keyed, "fenced": keyed, "limits": limits} | common
            for name, keyed in pools
        ],
        "workspaces": [
            {
                "name": name,
                "limits": {"rate": RATES[name], "burst": BURSTS[name]},
                "key_digests": [digest(key)],
            }
            | common
            for name, key in WORKSPACE_KEYS.items()
        ],
        "routes": [
            {
                "name": name,
                "prefix": f"/{name}",
                "methods": [method],
                "pool": pool,
                "idempotent": idempotent,
            }
            | common
            for name, method, pool, idempotent in routes
        ],
    }


@dataclass(slots=True, kw_only=True)
class ProxiedFleet(Fleet):
    """A fleet whose control replicas reach each other through proxies."""

    proxies: Proxies = field(default_factory=Proxies)
    links: dict[tuple[str, str], str] = field(default_factory=dict)

    def add_proxies(self):
        for name, control in self.controls.items():
            members = []
            for member in control.settings["members"]:
                if member["replica"] != name:
                    address = self.proxies.add(member["stream"])
                    self.links[name, member["replica"]] = address
                    member = member | {"stream": address}
                members.append(member)
            control.settings["members"] = members

    @contextmanager
    def isolate(self, replica):
        """Partitions a control replica from the others, but not from the entries."""
        links = [link for pair, link in self.links.items() if replica in pair]
        self.proxies.block(links)
        try:
            yield
        finally:
            self.proxies.unblock(links)

    def restore(self):
        """Undoes partitions and restarts processes that an earlier test stopped."""
        self.proxies.unblock(self.links.values())
        self.restart_exited()
        return self.wait_ready(servers=SERVER_COUNT)


def build_fleet(folder):
    fleet = ProxiedFleet(folder=folder)
    fleet.add_controls(3)
    fleet.add_entries(4, leave_notice=0.5)
    fleet.add_servers("booking", 4, fenced=True, leased=True, cold_seconds=0.0)
    fleet.add_servers("payment", 2, keyed=False, cold_seconds=0.0)
    fleet.add_proxies()
    return fleet


@contextmanager
def run_fleet(folder):
    """Runs a fleet with an applied catalogue, and stops it at the end of the block."""
    fleet = build_fleet(folder)
    try:
        # In stages: on a busy machine, sessions time out while 13 interpreters start.
        for control in fleet.controls.values():
            control.start()
        wait_for(fleet.read_status, timeout=WAIT_TIMEOUT, what="a leader")
        apply_catalogue(fleet, build_catalogue())
        for entry in fleet.entries.values():
            entry.start()
        for entry in fleet.entries.values():
            wait_for(
                lambda entry=entry: is_ready(entry),
                timeout=WAIT_TIMEOUT,
                what="entries",
            )
        fleet.restart_exited()
        fleet.wait_ready(servers=SERVER_COUNT)
        yield fleet
    finally:
        fleet.stop()
        fleet.proxies.stop()


def apply_catalogue(fleet, catalogue, *options):
    path = fleet.folder / "catalogue.json"
    path.write_text(json.dumps(catalogue))
    return run_command(fleet, "apply", str(path), *options)


def run_command(fleet, *arguments, code=0):
    """Runs a command, checks its exit code and returns its parsed output."""
    done = fleet.run_command(*arguments)
    assert done.returncode == code, done.stdout + done.stderr
    assert "Traceback" not in done.stderr
    return json.loads(done.stdout)


class BackgroundLoad:
    """A caller that sends requests from a separate thread during a `with` block."""

    def __init__(self, fleet, *, seed, entries=None, rate=80.0, **fields):
        names = entries or list(fleet.entries)
        settings = {
            "workspace_key": WORKSPACE_KEYS["counter"],
            "shares": RESERVATION_SHARES,
        } | fields
        self.caller = Caller(
            settings=CallerSettings(
                addresses=[fleet.entries[name].settings["listen"] for name in names],
                rate=rate,
                seconds=60.0,
                seed=seed,
                **settings,
            )
        )
        self._error = None
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def summary(self):
        return self.caller.summary

    def wait_for_successes(self, count):
        """Waits until `count` more requests were answered successfully."""
        wanted = self.summary.ok + count
        try:
            wait_for(
                lambda: self.summary.ok >= wanted,
                timeout=WAIT_TIMEOUT,
                what="successful answers",
            )
        except FleetError as error:
            error.add_note(str(self.summary))
            raise

    def __enter__(self):
        self._thread.start()
        self.wait_for_successes(20)
        return self

    def __exit__(self, *error):
        self.caller.stop()
        self._thread.join(timeout=WAIT_TIMEOUT)
        assert not self._thread.is_alive()
        if self._error is not None:
            raise self._error

    def _run(self):
        try:
            run(self.caller.run())
        except BaseException as error:
            self._error = error


def check_executions(fleet, *loads):
    """Checks the outcomes that callers saw against the servers' execution logs."""
    rows = fleet.read_executions()
    counts = Counter(row["call"] for row in rows)
    for row in rows:
        if row["operation"] in ("reservation", "payment"):
            assert counts[row["call"]] == 1, row
    for load in loads:
        assert load.summary.wrong == []
        for call in load.caller.successes:
            assert counts[call.call_id] >= 1, call
        for call in load.caller.not_executed:
            assert counts[call.call_id] == 0, call


def send_request(
    address,
    path,
    *,
    method="GET",
    key=WORKSPACE_KEYS["counter"],
    body=None,
    headers=(),
    port=None,
):
    """Sends one request and returns status, headers and body."""
    connection = port or http.client.HTTPConnection(address, timeout=WAIT_TIMEOUT)
    sent = dict(headers)
    if key:
        sent["X-Workspace-Key"] = key
    connection.request(method, path, body=body, headers=sent)
    response = connection.getresponse()
    data = response.read()
    if port is None:
        connection.close()
    return response.status, response.headers, data


def wait_for_status(fleet, check, what):
    """Waits until the leader's status satisfies a condition, and returns it."""

    def read():
        status = fleet.read_status()
        return status if status is not None and check(status) else None

    return wait_for(read, timeout=WAIT_TIMEOUT, what=what)


def post_change(address, document):
    """Sends a change to one control replica; returns status and answer."""
    request = urllib.request.Request(
        f"http://{address}/v1/changes",
        data=json.dumps(document).encode(),
        headers={"Content-Type": "application/json"},
    )
    try:
        with urllib.request.urlopen(request, timeout=WAIT_TIMEOUT) as response:
            return response.status, json.loads(response.read())
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read())


def is_ready(daemon):
    return read_json(f"http://{daemon.settings['listen']}/ready") is not None


def find_gates(status):
    return {row["backend_server"]: row["gate"] for row in status["backend_servers"]}


class KeepAliveConnections:
    """One persistent connection to each entry."""

    def __init__(self, fleet, names=None):
        self.connections = {}
        for name in names or fleet.entries:
            address = fleet.entries[name].settings["listen"]
            self.connections[name] = http.client.HTTPConnection(
                address, timeout=WAIT_TIMEOUT
            )
            self.connections[name].connect()
            self.connections[name].auto_open = False

    def get(self, path, *, key):
        """Returns status and document of each entry's answer, by entry name."""
        answers = {}
        for name, connection in self.connections.items():
            connection.request("GET", path, headers={"X-Workspace-Key": key})
            response = connection.getresponse()
            answers[name] = (response.status, json.loads(response.read()))
        return answers

    def close(self):
        for connection in self.connections.values():
            connection.close()


class RevisionMonitor:
    """Checks that the configuration revision of each entry never decreases."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.revisions = {name: [] for name in fleet.entries}

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *error):
        self._stopped.set()
        self._thread.join(timeout=WAIT_TIMEOUT)
        for name, revisions in self.revisions.items():
            assert revisions, name
            assert revisions == sorted(revisions), name

    def _run(self):
        while not self._stopped.wait(0.05):
            for name, entry in self._fleet.entries.items():
                answer = read_json(f"http://{entry.settings['listen']}/ready")
                if answer is not None:
                    self.revisions[name].append(answer["config_revision"])
