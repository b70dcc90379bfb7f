"""One call brings a new version of an item together with an older change of it."""

import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet_2 import (  # noqa: E402
    LIMITS,
    Deployment,
    Operator,
    build_item,
    build_route,
    build_service,
    run_case,
)

HOST = "ficu95.example"
SERVICE = "till-ledger"
CONTACT = 3.0  # seconds for which the operator reads the configuration back
READ_INTERVAL = 0.5  # seconds


def run(record, has_trouble):
    deployment = Deployment(record, controls=3, entries=0)
    try:
        for node in deployment.controls:
            node.start()
        operator = Operator(deployment)
        base = [
            build_item("services", SERVICE, 1, build_service()),
            build_item("routes", "r-pay", 1, build_route(HOST, "/pay/", SERVICE)),
            build_item("limits", "", 1, LIMITS),
        ]
        expected = {}
        send(operator, expected, base)
        newer = build_route(HOST, "/desk/", SERVICE, timeout="1200ms")
        older = build_route(HOST, "/desk/", SERVICE, timeout="900ms")
        upsert = [build_item("routes", "r-desk", 9, newer)]
        if has_trouble:
            upsert.append(build_item("routes", "r-desk", 5, older))
        send(operator, expected, upsert)
        problems = read_back(record, operator, expected)
        item = build_item("routes", "r-new", 9, build_route(HOST, "/new/", SERVICE))
        removed = [{"name": "r-new", "version": "00000007"}] if has_trouble else []
        send(operator, expected, [item], {"routes": removed})
        return problems + read_back(record, operator, expected)
    finally:
        deployment.close()


def send(operator, expected, upsert, removed=None):
    """Sends a change; the newest version of each item is expected from its ack on."""
    if operator.patch(upsert, removed) != 200:
        return
    for item in upsert:
        key = identify(item)
        version = item["metadata"]["version"]
        if key not in expected or expected[key]["metadata"]["version"] < version:
            expected[key] = item


def identify(item):
    return item["resourceType"], item["metadata"].get("name", "")


def read_back(record, operator, expected):
    """Reads the configuration for `contact`; returns what is wrong in each answer."""
    until = time.monotonic() + CONTACT
    problems = set()
    was_right = False
    while time.monotonic() < until:
        status, body = operator.order("GET", "/monsoonlug/Config.Get")
        found = list(list_problems(status, body, expected))
        record.write(f"operator: Config.Get -> {status} {body.decode()}")
        problems.update(found)
        was_right = was_right or not found
        time.sleep(READ_INTERVAL)
    return [] if was_right else sorted(problems)


def list_problems(status, body, expected):
    try:
        items = json.loads(body)["resources"]
    except ValueError as error:
        yield f"CONFIG: read back, the configuration is not JSON: {error}"
        return
    held = {identify(item): item for item in items}
    for key, item in expected.items():
        if key not in held:
            yield f"CONFIG: read back, {key} is missing"
        elif held[key] != item:
            yield (
                f"CONFIG: read back, {key} has version "
                f"{held[key]['metadata']['version']} and timeout "
                f"{held[key]['spec'].get('timeout')}; acknowledged was "
                f"{item['metadata']['version']}, {item['spec'].get('timeout')}"
            )


if __name__ == "__main__":
    run_case(FOLDER / "record.txt", run)
