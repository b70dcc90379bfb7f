"""Statistical comparison of the responses of two software versions (pure functions).

A version is bad if a part of its responses are failures or if it is several times
slower. The cold start of a server, disturbed machines and different speeds of servers
are not evidence: the thresholds leave room for them, and more of it the fewer servers
and seconds they had to average out.
"""

import math
from dataclasses import dataclass
from enum import Enum

from monsoonlug.rollout_reports import (
    OTHERS,
    TARGET,
    ResponseCounts,
    RouteCounts,
    sum_counts,
)

# Failure share above that of the other version which is allowed. Versions to be found
# fail at least 0.15 of the requests; faults of machines hit both versions.
ALLOWED_EXCESS = 0.015
MIN_SOUND_SHARE = 0.01  # of failures that a sound version may have in any case
BASELINE_MARGIN = 2.0  # standard errors of the other version's failure share
# Logarithm of the likelihood ratio from which failures are evidence. About 40 windows
# and routes that overlap little are tested in a rollout, and the allowed share is above
# the expected one, which keeps false alarms below 1 in 1,000.
MIN_LOG_RATIO = 10.0
MIN_FAILURES = 8  # more than one crash of a server with 6 slots causes
DOUBTFUL_LOG_RATIO = 3.5  # from which failures are no evidence, but speak against it
DOUBTFUL_FAILURES = 3
FOUND_EXCESS = 0.15  # failure share above that of the other version that is to be found
# Ratio of mean service times that is allowed beyond all noise; versions to be found are
# at least 3 times as slow.
ALLOWED_SLOWDOWN = 1.2
# Ratio that the speeds of single servers explain: up to 1.7 times as slow as the mean.
MAX_SPEED_RATIO = 1.8
COLD_SLOWDOWN = 2.0  # of a server in the first `COLD_SECONDS` of its start
COLD_SECONDS = 3.0
MIN_TIMED_RESPONSES = 50
# Seconds of a window in which times are compared, as one disturbance lasts up to 1.6 s,
# or disturbances that all servers together may have in a shorter one.
MIN_TIMED_SECONDS = 2.0
MIN_TIMED_EPISODES = 8.0
MIN_BASELINE_RESPONSES = 25
RESPONSE_DEVIATION = 0.8  # of the logarithm of one response's service time
# Standard deviation that the disturbance of one machine adds to the mean logarithm:
# three times as slow a fifth of the time, so log(3) * sqrt(0.2 * 0.8).
DISTURBANCE_DEVIATION = 0.44
DISTURBANCE_SECONDS = 1.0  # for which one lasts on average
SPEED_DEVIATION = 0.35  # of the logarithm of a server's speed
# Standard errors of the difference of the times: of the servers' speeds, which stay as
# they are, and of the noise, which each of about 40 windows and routes draws anew. With
# 2.6 for both, 4 of 300 simulated sound versions with a cold start were called bad.
SPEED_MARGIN = 2.6
NOISE_MARGIN = 3.5
# Instead, for the one comparison that cannot be put off. With 2.3, 1 of 300 simulated
# sound versions in a small pool was called bad.
LAST_LOOK_MARGIN = 2.8
MIN_SOUND_RESPONSES = 20  # that make a version sound if nothing speaks against it
MAX_SOUND_SLOWDOWN = 2.0


class Verdict(Enum):
    """Result of a comparison."""

    BAD = "bad"
    DOUBTFUL = "doubtful"
    SOUND = "sound so far"
    TOO_FEW = "too few"


@dataclass(frozen=True, slots=True, kw_only=True)
class Comparison:
    """A verdict with the figures that decided it.

    Attributes:
        route: Route whose responses decided, or an empty string for all routes.
        responses: Responses of the target version.
        failure_share: Share of failures at the target version.
        baseline_share: The same at the other version.
        slowdown: Ratio of the service times; 1 if unknown.
    """

    verdict: Verdict
    route: str = ""
    responses: float = 0
    failure_share: float = 0.0
    baseline_share: float = 0.0
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Window:
    """Circumstances of the responses that are compared.

    Attributes:
        seconds: Duration of the window.
        servers: Target servers that got requests.
        cold_share: Share of the target's responses that may be from cold starts.
        is_last_look: Whether a bad version breaks a bound if it is not found now; the
            times on all routes together are then compared more strictly.
        is_whole: Whether the window is the whole rollout. Failures that a bad version
            explains better than a sound one then speak against the version.
    """

    seconds: float
    servers: float
    cold_share: float = 0.0
    is_last_look: bool = False
    is_whole: bool = False


def compare_versions(
    counts: RouteCounts,
    window: Window,
    *,
    min_responses: int = MIN_SOUND_RESPONSES,
) -> Comparison:
    """Compares the versions on all routes together and on each route alone.

    Args:
        counts: What was added to the counts in the window.
        window: The window.
        min_responses: Responses from which a version can be called sound.
    """
    target, others = sum_counts(counts, TARGET), sum_counts(counts, OTHERS)
    is_doubtful = False
    for (version, route), row in counts.items():
        if version != TARGET:
            continue
        baseline = counts.get((OTHERS, route), ResponseCounts())
        difference = _compare_times({route: (row, baseline)})
        if _fails_more(row, baseline) or _is_slower(difference, window, NOISE_MARGIN):
            return _build(Verdict.BAD, route, row, baseline, difference)
        is_doubtful = is_doubtful or _has_doubtful_failures(row, baseline)
    pairs = _pair_routes(counts)
    difference = _compare_times(pairs)
    verdict = Verdict.SOUND
    margin = LAST_LOOK_MARGIN if window.is_last_look else NOISE_MARGIN
    if _fails_more(target, others) or _is_slower(difference, window, margin):
        verdict = Verdict.BAD
    elif (
        is_doubtful
        or _has_doubtful_failures(target, others)
        or _has_doubtful_times(difference)
        or (window.is_whole and _fails_like_bad_version(target, others))
    ):
        verdict = Verdict.DOUBTFUL
    elif target.responses < min_responses:
        verdict = Verdict.TOO_FEW
    return _build(verdict, "", target, others, difference)


def _pair_routes(
    counts: RouteCounts,
) -> dict[str, tuple[ResponseCounts, ResponseCounts]]:
    pairs = {}
    for (version, route), row in counts.items():
        if version == TARGET and (OTHERS, route) in counts:
            pairs[route] = (row, counts[OTHERS, route])
    return pairs


@dataclass(frozen=True, slots=True, kw_only=True)
class _TimeDifference:
    """Difference of the mean logarithms of the service times, target less others."""

    value: float = 0.0
    target_count: float = 0
    baseline_count: float = 0


def _compare_times(
    pairs: dict[str, tuple[ResponseCounts, ResponseCounts]],
) -> _TimeDifference:
    """Compares routes that have enough baseline, weighted by the target's responses."""
    total = count = baseline_count = 0.0
    for target, baseline in pairs.values():
        if target.responses <= 0 or baseline.responses < MIN_BASELINE_RESPONSES:
            continue
        difference = (
            target.log_sum / target.responses - baseline.log_sum / baseline.responses
        )
        total += target.responses * difference
        count += target.responses
        baseline_count += baseline.responses
    if count <= 0:
        return _TimeDifference()
    return _TimeDifference(
        value=total / count, target_count=count, baseline_count=baseline_count
    )


def _fails_more(target: ResponseCounts, baseline: ResponseCounts) -> bool:
    if target.failures < MIN_FAILURES:
        return False
    return _compute_log_ratio(target, baseline) > MIN_LOG_RATIO


def _compute_log_ratio(target: ResponseCounts, baseline: ResponseCounts) -> float:
    """Returns the log likelihood ratio of the observed failures and allowed ones."""
    if target.responses <= 0:
        return 0.0
    observed = min(1.0, target.failures / target.responses)
    allowed = _estimate_allowed_share(baseline)
    if observed <= allowed:
        return 0.0
    return target.responses * _compute_divergence(observed, allowed)


def _estimate_allowed_share(baseline: ResponseCounts) -> float:
    """Returns the failure share that a sound version may have."""
    if baseline.responses <= 0:
        return ALLOWED_EXCESS
    # A part of a failure is added, so that a few responses without one do not count as
    # a share of exactly 0.
    share = (baseline.failures + 0.2) / (baseline.responses + 10)
    error = math.sqrt(share * (1 - share) / (baseline.responses + 10))
    return min(0.95, share + BASELINE_MARGIN * error + ALLOWED_EXCESS)


def _compute_divergence(observed: float, expected: float) -> float:
    """Returns the log likelihood ratio per response of two failure shares."""
    divergence = 0.0
    if observed > 0:
        divergence += observed * math.log(observed / expected)
    if observed < 1:
        divergence += (1 - observed) * math.log((1 - observed) / (1 - expected))
    return divergence


def _is_slower(
    difference: _TimeDifference, window: Window, noise_margin: float
) -> bool:
    if difference.target_count < MIN_TIMED_RESPONSES:
        return False
    threshold = math.log(ALLOWED_SLOWDOWN)
    threshold += window.cold_share * math.log(COLD_SLOWDOWN)
    servers = max(1.0, window.servers)
    episodes = servers * max(1.0, window.seconds / DISTURBANCE_SECONDS)
    if window.seconds < MIN_TIMED_SECONDS and episodes < MIN_TIMED_EPISODES:
        return False
    variance = RESPONSE_DEVIATION**2 * (
        1 / difference.target_count + 1 / difference.baseline_count
    )
    variance += DISTURBANCE_DEVIATION**2 / episodes
    speeds = min(
        SPEED_MARGIN * SPEED_DEVIATION / math.sqrt(servers), math.log(MAX_SPEED_RATIO)
    )
    margin = math.hypot(speeds, noise_margin * math.sqrt(variance))
    return difference.value > threshold + margin


def _has_doubtful_failures(target: ResponseCounts, baseline: ResponseCounts) -> bool:
    """Returns whether failures speak against a version without being evidence."""
    if target.failures < DOUBTFUL_FAILURES:
        return False
    return _compute_log_ratio(target, baseline) > DOUBTFUL_LOG_RATIO


def _fails_like_bad_version(target: ResponseCounts, baseline: ResponseCounts) -> bool:
    """Returns whether a bad version explains the failures better than a sound one.

    With little traffic, 4 failures in 56 responses are below every threshold, but are
    more likely at the failure share that is to be found.
    """
    if target.failures < DOUBTFUL_FAILURES:
        return False
    sound = max(MIN_SOUND_SHARE, baseline.failures / max(1, baseline.responses))
    sound = min(0.8, sound)
    bad = sound + FOUND_EXCESS
    successes = max(0.0, target.responses - target.failures)
    ratio = target.failures * math.log(bad / sound)
    ratio += successes * math.log((1 - bad) / (1 - sound))
    return ratio > 0


def _has_doubtful_times(difference: _TimeDifference) -> bool:
    """Returns whether times speak against a version without being evidence."""
    if difference.target_count < MIN_SOUND_RESPONSES:
        return False
    return difference.value > math.log(MAX_SOUND_SLOWDOWN)


def _build(
    verdict: Verdict,
    route: str,
    target: ResponseCounts,
    baseline: ResponseCounts,
    difference: _TimeDifference,
) -> Comparison:
    return Comparison(
        verdict=verdict,
        route=route,
        responses=target.responses,
        failure_share=target.failures / max(1, target.responses),
        baseline_share=baseline.failures / max(1, baseline.responses),
        slowdown=math.exp(difference.value),
    )
