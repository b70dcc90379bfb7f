"""Entry that reaches backend servers through proxies: `proxied_entry FILE`.

The file maps the addresses of servers to those of their proxies.
"""

import dataclasses
import json
import os
import sys
from pathlib import Path

from monsoonlug.daemons import DaemonWorker
from monsoonlug.fleet_entry import FleetEntryService
from monsoonlug.logs import configure_rate_limited_logs
from monsoonlug.platform.headers import PlatformCallerProtocol, open_backend
from monsoonlug.platform.settings import SETTINGS_VARIABLE, NodeFile


def run():
    addresses = json.loads(Path(sys.argv[1]).read_text())

    def open_proxied(record, pool):
        address = addresses.get(record.address, record.address)
        return open_backend(dataclasses.replace(record, address=address), pool)

    configure_rate_limited_logs(log_level="INFO")
    service = FleetEntryService(
        settings=NodeFile(Path(os.environ[SETTINGS_VARIABLE])).build_entry(),
        caller_protocol=PlatformCallerProtocol(),
        open_backend=open_proxied,
    )
    sys.exit(DaemonWorker(service).run())


if __name__ == "__main__":
    run()
