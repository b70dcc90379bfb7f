"""The limit of a workspace, summed over all hosts."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Limit:
    """Limits of one workspace.

    Attributes:
        rate: Requests per second.
        burst: Requests that may come at once.
    """

    rate: float
    burst: int
