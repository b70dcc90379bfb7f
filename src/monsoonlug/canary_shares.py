"""Chooses the share of requests for the few servers that first show a new version.

The choice responds to the request rate of a pool. Where the exposure permits a canary
of a few servers only, their speeds hide whether the version is slow. Many servers then
get requests in short bursts, each with the load that it would get at the end.
"""

import math
from dataclasses import dataclass

from monsoonlug.version_comparison import COLD_SECONDS

CANARY_PART = 0.5  # of the permitted exposure that a steady canary may use
START_SHARE = 0.02  # while the request rate is unknown
MAX_CANARY_SHARE = 0.5
# Share above which a new leader, who does not know the rate, takes a share for a burst
# of the previous leader.
MAX_INHERITED_SHARE = 0.1
MIN_CANARY_TIME = 2.0  # seconds over which the canary's exposure is spread at least
CANARY_INTERVAL = 1.0  # seconds between two changes of the canary's share
MIN_SHARE_CHANGE = 0.25  # of the canary's share
HEADROOM_SECONDS = 1.0  # for which the canary's exposure is planned ahead
MIN_STEADY_SERVERS = 4  # of a steady canary, below which bursts are used
# Requests until the cold starts are over. A version that is slow must not show its 50th
# bad response in that time, as times say little then and the time to roll back runs.
PROBE_REQUESTS = 24
BURST_REQUESTS = 80
MAX_BURST_TIME = 2.0  # seconds that a burst at the largest share may need
MIN_BURST_SERVERS = 3
# Share of a burst in a pool with keys, which follow a share within seconds.
MAX_KEYED_SHARE = 0.35
# Seconds after a burst in which a window may not begin: mostly slow responses are left,
# also of a sound version.
LATE_RESPONSE_TIME = 1.0
BURST_GAP = 1.5  # seconds between two bursts, in which slow responses arrive
MAX_BURST_DELAY = 5.0  # seconds by which a window may begin earlier, not to divide one
# Seconds for which a burst goes on without a leader: 0.4 for reports and views, and 1
# until entries take their view for too old.
LEADERLESS_TIME = 1.4
KEY_RETURN_TIME = 1.5  # seconds until half of the keys have left the canaries
BURST_PART = 0.9  # of the permitted exposure that bursts may use if the leader is lost


@dataclass(frozen=True, slots=True, kw_only=True)
class CanaryLoad:
    """Load of a pool during a rollout.

    Attributes:
        until: Time at which the last steps begin, in seconds.
        rate: Requests per second that reach the pool; 0 if unknown.
        total: Requests that reached the pool since the order.
        spent: Those of them that the target version got.
        total_at_end: Requests that are expected until the deadline.
        share: Present share of the target version.
        changed_at: Time of its last change, in seconds.
        targets: Servers of the target version.
        is_inherited: Whether the share may be the previous leader's while the rate is
            unknown.
        first_response_at: Time of the target's first response; infinite before it.
    """

    now: float
    until: float
    rate: float
    total: float
    spent: float
    total_at_end: float
    share: float
    changed_at: float
    targets: int
    is_keyed: bool
    is_inherited: bool
    first_response_at: float


class CanaryPlan:
    """The shares of one rollout until its last steps, during one term of a leader.

    Args:
        expose_share: Share of the pool's requests that a bad version may get.
        expose_slack: Requests that it may get beyond that.
    """

    def __init__(self, *, expose_share: float, expose_slack: float):
        self._expose_share = expose_share
        self._expose_slack = expose_slack
        self._uses_bursts: bool | None = None  # None while the rate is unknown
        self._burst_until_spent: float | None = None  # None outside a burst
        self._burst_share = 0.0
        self._bursts: list[tuple[float, float]] = []  # begin, and end if it is over

    def choose(self, load: CanaryLoad) -> tuple[float, str]:
        """Returns the share from now on, and the reason if it differs."""
        if load.is_inherited and load.share > MAX_INHERITED_SHARE:
            return START_SHARE, "a burst of the previous leader may still run"
        if load.is_inherited and load.rate > 0:
            return load.share, ""
        if load.rate <= 0:
            return max(load.share, START_SHARE), "target servers are warm"
        steady = self._compute_steady_share(load)
        if self._uses_bursts is None:
            self._uses_bursts = self._needs_bursts(load, steady)
        if not self._uses_bursts:
            return self._follow(load, steady)
        if load.now < load.first_response_at + COLD_SECONDS:
            probe = round(PROBE_REQUESTS / (load.rate * COLD_SECONDS), 4)
            return self._follow(load, min(steady, probe))
        return self._choose_burst(load)

    def find_window_start(self, at: float) -> float:
        """Returns a time, or the begin of the burst whose responses it would divide."""
        for begin, end in self._bursts:
            if begin < at < end + LATE_RESPONSE_TIME:
                return max(begin, at - MAX_BURST_DELAY)
        return at

    def _choose_burst(self, load: CanaryLoad) -> tuple[float, str]:
        if self._burst_until_spent is not None:
            if load.spent < self._burst_until_spent:
                return self._burst_share, "a burst to many target servers begins"
            self._burst_until_spent = None
            self._bursts[-1] = (self._bursts[-1][0], load.now)
            return 0.0, "a burst to many target servers is over"
        is_ending = bool(self._bursts) and load.share > 0  # the view lags behind
        is_recent = not load.share and load.now - load.changed_at < BURST_GAP
        if is_ending or is_recent:
            return 0.0, "a burst to many target servers is over"
        share = self._compute_burst_share(load)
        if share * load.targets < MIN_BURST_SERVERS:
            return 0.0, "the exposure permits no further burst"
        self._burst_until_spent = load.spent + BURST_REQUESTS
        self._burst_share = share
        self._bursts.append((load.now, math.inf))
        return share, "a burst to many target servers begins"

    def _compute_burst_share(self, load: CanaryLoad) -> float:
        """Returns the share of a burst that may begin now; 0 if none may.

        The exposure must suffice even if the leader is lost at the end of the burst.
        """
        spent = load.spent + BURST_REQUESTS
        if spent > self._get_permitted(load.total):
            return 0.0
        left = BURST_PART * self._get_permitted(load.total_at_end) - spent
        seconds = LEADERLESS_TIME + (KEY_RETURN_TIME if load.is_keyed else 0.0)
        share = min(_get_max_share(load), left / (load.rate * seconds))
        return round(max(0.0, share), 4)

    def _needs_bursts(self, load: CanaryLoad, steady: float) -> bool:
        """Returns whether bursts reach more servers than a steady canary."""
        if math.ceil(steady * load.targets) >= MIN_STEADY_SERVERS:
            return False
        if _get_max_share(load) * load.targets < MIN_BURST_SERVERS:
            return False
        return load.rate * MAX_CANARY_SHARE * MAX_BURST_TIME >= BURST_REQUESTS

    def _compute_steady_share(self, load: CanaryLoad) -> float:
        horizon = max(load.until - load.now, MIN_CANARY_TIME)
        final = self._get_permitted(load.total + load.rate * horizon)
        planned = (CANARY_PART * final - load.spent) / (load.rate * horizon)
        headroom = CANARY_PART * self._get_permitted(load.total) - load.spent
        allowed = headroom / (load.rate * HEADROOM_SECONDS)
        return round(max(0.0, min(planned, allowed, MAX_CANARY_SHARE)), 4)

    def _follow(self, load: CanaryLoad, share: float) -> tuple[float, str]:
        """Returns the wanted share if it differs enough from the present one."""
        if not load.share:
            return share, "target servers are warm"
        change = abs(share - load.share) / load.share
        is_recent = load.now - load.changed_at < CANARY_INTERVAL
        if change < MIN_SHARE_CHANGE or is_recent:
            return load.share, ""
        return share, "the exposure permitted has changed"

    def _get_permitted(self, total: float) -> float:
        return self._expose_slack + self._expose_share * total


def _get_max_share(load: CanaryLoad) -> float:
    return MAX_KEYED_SHARE if load.is_keyed else MAX_CANARY_SHARE
