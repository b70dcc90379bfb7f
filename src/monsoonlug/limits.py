"""Rate limit of a workspace, which applies to all hosts together."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Limit:
    """Token-bucket parameters of one workspace.

    Attributes:
        rate: Requests per second.
        burst: Capacity of the bucket, in requests.
    """

    rate: float
    burst: int
