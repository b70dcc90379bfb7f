"""Statsd client of a daemon, or a client that sends nothing."""

import statsd

from monsoonlug.settings import split_address

PREFIX = "monsoonlug"


class NullStatsClient(statsd.StatsClient):
    """A statsd client that sends nothing."""

    def __init__(self):
        self._prefix = None

    def _after(self, data):
        pass

    def close(self):
        """Does nothing, as this client has no socket."""


def open_statsd_client(address: str | None, *, daemon: str) -> statsd.StatsClient:
    """Creates the client for a daemon's metrics.

    Args:
        address: Address of the statsd server, or None to send no metrics.
        daemon: Name of the daemon in the prefix of each metric.
    """
    if address is None:
        return NullStatsClient()
    host, port = split_address(address)
    ipv6 = ":" in host
    return statsd.StatsClient(host, port, prefix=f"{PREFIX}.{daemon}", ipv6=ipv6)
