"""A frozen entry wakes up after the first tenants were added."""

import http.client
import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet_2 import (  # noqa: E402
    LIMITS,
    CannotRun,
    Deployment,
    Operator,
    Server,
    build_item,
    build_route,
    build_service,
    is_ready,
    run_case,
    wait_until,
)

HOST = "ficu95.example"
SERVICE = "till-ledger"
KEY = "2b9wu3fexd9dnn2ctnfz"
UNKNOWN_KEY = "0000000000000000000x"  # in no configuration
TENANT = "huka270"
ENTRIES = 10
FREEZE = 3.5  # seconds; for_s is 5 unless a day says otherwise
SENT_BEFORE_WAKE = 0.4  # seconds
CONFIG_BOUND = 2.0  # seconds
REQUESTS = 12
DEADLINE_MS = 1000


class Client:
    """A client with one kept connection."""

    def __init__(self, node, number, record):
        self._record = record
        self._number = number
        port = node.deployment.front_port
        self._connection = http.client.HTTPConnection(node.ip, port, timeout=3.0)

    def send(self, path, request_id, key=None):
        headers = {
            "Host": HOST,
            "X-Monsoonlug-Request-Id": request_id,
            "X-Monsoonlug-Deadline-Ms": str(DEADLINE_MS),
        }
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        self._record.write(f"client {self._number}: sends {request_id}, key {key}")
        try:
            self._connection.request("POST", path, body=b"x", headers=headers)
            response = self._connection.getresponse()
            response.read()
            status = response.status
        except (OSError, http.client.HTTPException) as error:
            status = type(error).__name__
        self._record.write(f"client {self._number}: {request_id} -> {status}")
        return status


def run(record, has_trouble):
    deployment = Deployment(record, controls=3, entries=ENTRIES)
    servers = []
    try:
        for node in (*deployment.controls, *deployment.entries):
            node.start()
        operator = Operator(deployment)
        route = build_route(HOST, "/pay/", SERVICE, kind="unsafe")
        operator.patch([
            build_item("services", SERVICE, 1, build_service()),
            build_item("routes", "r-pay", 1, route),
            build_item("limits", "", 1, LIMITS),
        ])
        for number in range(4):
            server = Server(
                deployment, ip=deployment.address(50 + number),
                port=deployment.control_port + 1, service=SERVICE, zone="kingston",
            )
            server.start()
            servers.append(server)
        frozen = deployment.entries[0]
        for node in deployment.entries:
            wait_until(lambda node=node: is_ready(node), f"{node.name} is ready")
        clients = [Client(frozen, number, record) for number in range(REQUESTS)]
        wait_until(
            lambda: clients[0].send("/pay/a", f"w{time.monotonic_ns()}") == 200,
            "the first answer",
        )
        for number, client in enumerate(clients):
            client.send("/pay/a", f"warm-{number}")
        return check(record, has_trouble, operator, frozen, clients, servers)
    finally:
        for server in servers:
            server.stop()
        deployment.close()


def check(record, has_trouble, operator, frozen, clients, servers):
    frozen_at = time.monotonic()
    if has_trouble:
        frozen.signal(signal.SIGSTOP)
    tenant = {"apiKeys": [KEY], "priority": 1, "ratePerS": 500, "burst": 500}
    operator.patch([build_item("tenants", TENANT, 2, tenant)])
    acked_at = time.monotonic()
    time.sleep(max(0.0, frozen_at + FREEZE - SENT_BEFORE_WAKE - time.monotonic()))
    sent_at = time.monotonic()
    record.write(f"requests are sent {sent_at - acked_at:.2f} s after the ack")
    threads = []
    for number, client in enumerate(clients):
        key = KEY if number % 2 == 0 else UNKNOWN_KEY
        arguments = ("/pay/b", f"late-{number}", key)
        thread = threading.Thread(target=client.send, args=arguments)
        thread.start()
        threads.append(thread)
    time.sleep(max(0.0, frozen_at + FREEZE - time.monotonic()))
    if has_trouble:
        frozen.signal(signal.SIGCONT)
    for thread in threads:
        thread.join()
    if sent_at - acked_at < CONFIG_BOUND:
        raise CannotRun("the configuration was acknowledged too late")
    problems = []
    for server in servers:
        for _, seen in server.ran:
            if not seen["id"].startswith("late-"):
                continue
            if int(seen["id"][5:]) % 2:
                problems.append(
                    f"ROUTE: {seen['id']} ran, whose key no configuration ever held"
                )
            if seen["authorization"] is not None:
                problems.append(
                    f"UNASKED: the key of {seen['id']} was passed to {server.name}"
                )
            elif seen["tenant"] != TENANT:
                problems.append(f"UNASKED: {seen['id']} ran for {seen['tenant']}")
    return problems


if __name__ == "__main__":
    run_case(FOLDER / "record.txt", run)
