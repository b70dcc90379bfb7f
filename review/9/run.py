"""Invalid configurations: numbers that JSON does not have."""

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
CALLS = 3  # the sites' days send three to eight invalid configurations
GAP = 0.6  # seconds between them
NUMBERS = ("NaN", "Infinity", "-Infinity")  # RFC 8259, section 6: not permitted


def run(record, has_trouble):
    deployment = Deployment(record, controls=3, entries=0)
    try:
        for node in deployment.controls:
            node.start()
        operator = Operator(deployment)
        tenant = {"apiKeys": ["2b9wu3fexd9dnn2ctnfz"], "ratePerS": 41, "burst": 41}
        operator.patch([
            build_item("services", SERVICE, 1, build_service()),
            build_item("routes", "r-pay", 1, build_route(HOST, "/pay/", SERVICE)),
            build_item("limits", "", 1, LIMITS),
            build_item("tenants", "huka270", 1, tenant),
        ])
        problems = []
        for number in range(CALLS):
            if has_trouble:
                problems += send_invalid(record, operator, tenant, number)
            time.sleep(GAP)
        status, body = operator.order("GET", "/monsoonlug/Config.Get")
        record.write(f"operator: Config.Get -> {status} {body.decode()}")
        return problems + read(body)
    finally:
        deployment.close()


def send_invalid(record, operator, tenant, number):
    """Sends a change of the tenant's cap that is not JSON."""
    item = build_item("tenants", "huka270", 2 + number, tenant | {"ratePerS": "?"})
    body = json.dumps({"upsert": {"resources": [item]}, "remove": {}})
    body = body.replace('"?"', NUMBERS[number])
    status, answer = operator.order("POST", "/monsoonlug/Config.Patch", body)
    record.write(f"operator: Config.Patch {body} -> {status} {answer.decode()}")
    if not 200 <= status < 300:
        return []
    return [f"CONFIG: acknowledged with {status}, though no JSON: {NUMBERS[number]}"]


def read(body):
    def refuse(constant):
        raise ValueError(f"{constant} is not a JSON number")

    try:
        items = json.loads(body, parse_constant=refuse)["resources"]
    except ValueError as error:
        return [f"CONFIG: what is invalid is in force, and read back: {error}"]
    versions = {
        item["metadata"]["version"]
        for item in items
        if item["resourceType"] == "tenants"
    }
    if versions != {"00000001"}:
        return [f"CONFIG: read back, the tenant has version {versions}"]
    return []


if __name__ == "__main__":
    run_case(FOLDER / "record.txt", run)
