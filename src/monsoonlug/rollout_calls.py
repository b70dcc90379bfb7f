"""Calls of operators on rollouts."""

import time
from collections.abc import Awaitable, Callable

from monsoonlug.exceptions import (
    BadRequest,
    RolloutConflict,
    RolloutNotFound,
    RolloutUnavailable,
)
from monsoonlug.fleet import FleetState
from monsoonlug.ids import PoolId
from monsoonlug.logs import get_logger
from monsoonlug.rollout_messages import (
    COMMAND_LEVEL,
    Rollout,
    RolloutStarted,
    RolloutState,
)

MAX_DURATION = 3_600.0  # seconds
MAX_VERSION_LENGTH = 1_024  # characters; every entry holds the versions

logger = get_logger("control")


class RolloutCalls:
    """Starts rollouts and reads their state.

    Args:
        is_configured: Whether rollouts are in use in this deployment.
        check_leader: Raises `NotLeader` if this replica does not lead.
        commit: Commits a command.
        confirm: Waits for the confirmation of a majority; see `confirm_leadership`.
        find_state: Returns the replicated state.
    """

    def __init__(
        self,
        *,
        is_configured: bool,
        check_leader: Callable[[], object],
        commit: Callable[[object], Awaitable[None]],
        confirm: Callable[..., Awaitable[None]],
        find_state: Callable[[], FleetState],
    ):
        self._is_configured = is_configured
        self._check_leader = check_leader
        self._commit = commit
        self._confirm = confirm
        self._find_state = find_state

    def check_configured(self) -> None:
        """Checks that rollouts are in use.

        Raises:
            RolloutNotFound: If the settings have no bounds for rollouts.
        """
        if not self._is_configured:
            raise RolloutNotFound("Rollouts are not configured.")

    async def start(self, pool: PoolId, version: str, duration: float) -> None:
        """Orders a rollout; the same order may be repeated.

        Args:
            pool: The pool.
            version: Target version.
            duration: Seconds until the deadline.

        Raises:
            NotLeader: If this replica is not the leader.
            BadRequest: If the pool is unknown or a value is out of range.
            RolloutConflict: If a rollout of the pool to another version is running.
            RolloutUnavailable: If there is no configuration, or a member of the group
                does not understand the commands of rollouts yet.
            ControlUnreachable: If the order was not committed in time; it may still be.
        """
        self.check_configured()
        _check_order(version, duration)
        self._check_leader()
        state = self._find_state()
        if state.command_level < COMMAND_LEVEL:
            raise RolloutUnavailable(
                "A member of the group does not know rollouts yet."
            )
        if not state.list_sources() and pool not in state.view.rollouts:
            raise RolloutUnavailable("There is no configuration yet.")
        command = RolloutStarted(
            pool=pool,
            version=version,
            ordered_at_ms=time.time_ns() // 1_000_000,
            duration=duration,
        )
        try:
            await self._commit(command)
        except BadRequest:
            self._check_conflict(pool, version)
            raise
        await self._confirm()
        current = self._find_state().view.rollouts[pool]
        logger.info(
            "Acknowledged the order of rollout {} of pool {} to version {!r} within "
            "{:.1f} s; it is {} at share {}.",
            current.number,
            pool,
            version,
            current.duration,
            current.state.value,
            current.share,
        )

    async def read(self, pool: PoolId) -> Rollout:
        """Returns the latest rollout of a pool.

        Raises:
            NotLeader: If this replica is not the leader.
            RolloutNotFound: If the pool never had one, or rollouts are not in use.
        """
        self.check_configured()
        self._check_leader()
        await self._confirm(allow_recent=False)
        rollout = self._find_state().view.rollouts.get(pool)
        if rollout is None:
            raise RolloutNotFound()
        return rollout

    def _check_conflict(self, pool: PoolId, version: str) -> None:
        current = self._find_state().view.rollouts.get(pool)
        if current is None or current.version == version:
            return
        if current.state is RolloutState.RUNNING:
            raise RolloutConflict()


def _check_order(version: str, duration: float) -> None:
    if not 0 < duration <= MAX_DURATION:
        raise BadRequest(f"the duration is not above 0 and up to {MAX_DURATION:.0f} s")
    if len(version) > MAX_VERSION_LENGTH:
        raise BadRequest(f"the version is longer than {MAX_VERSION_LENGTH} characters")
