"""One call that sets and drops the same name makes the whole config unreadable."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import (
    ZONES,
    Fleet,
    Server,
    build_limits,
    build_route,
    build_service,
    build_tenant,
    run_case,
)

SERVICE = "catalogo"
CONTACT = 3.0  # seconds for which the operator asks for the config at least
NEW = 9  # version of the route that is set
OLD = 7  # version of the drop


async def play(record, has_trouble):
    """Plays the case and returns what broke the rule."""
    async with Fleet(record, controls=5, entries=2) as fleet:
        first = [
            build_route("r-hold", 1, "/holds/", SERVICE),
            build_service(SERVICE, 1),
            build_tenant(1),
            build_limits(1),
        ]
        await fleet.patch(first)
        servers = [Server(fleet, SERVICE, zone, keyed=False) for zone in ZONES]
        await fleet.add_servers(servers)
        await fleet.wait_ready()
        wanted = build_route("r-swatch", NEW, "/swatches/", SERVICE, "safe")
        dropped = {
            "routes": [{"name": "r-swatch", "version": f"{OLD:08x}"}],
        }
        if has_trouble:
            answers = [await fleet.patch([wanted], dropped)]
        else:
            answers = [await fleet.patch([], dropped), await fleet.patch([wanted])]
        if any(answer.status != 200 for answer in answers):
            raise AssertionError("a valid change was refused")
        await asyncio.sleep(2.5)
        _, answer = await fleet.send(fleet.entries[0], "/swatches/1")
        record.write(f"the new route answers {answer and answer.status}")
        return await read_back(record, fleet, [*first, wanted])


async def read_back(record, fleet, wanted):
    """Asks for the config for a while; returns why it never was what is in force."""
    names = {(i["resourceType"], i["metadata"].get("name", "")): i for i in wanted}
    problems = {}
    for _ in range(round(2 * CONTACT)):
        answer = await fleet.order("GET", "/monsoonlug/Config.Get")
        await asyncio.sleep(0.5)
        try:
            document = json.loads(answer.body)
        except ValueError as error:
            record.write(f"config as read back: {answer.body.decode()}")
            problems[f"CONFIG: the config can't be read back: {error}"] = True
            continue
        found = {
            (item["resourceType"], item["metadata"].get("name", "")): item
            for item in document["resources"]
        }
        if found == names:
            return []
        record.write(f"config as read back: {answer.body.decode()}")
        problems["CONFIG: the config read back isn't what was acknowledged"] = True
    return list(problems)


run_case(play, Path(__file__).resolve().parent)
