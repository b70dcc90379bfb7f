"""Changes of the view that commands of rollouts cause (pure functions).

All replicas compute them from the same view and command, so nothing here may depend on
a clock or on the order of a set.
"""

from collections.abc import Iterator
from dataclasses import replace
from typing import TYPE_CHECKING

from monsoonlug.exceptions import BadRequest
from monsoonlug.fleet_messages import FleetServer
from monsoonlug.ids import PoolId
from monsoonlug.items import ItemKind
from monsoonlug.rollout_messages import (
    Rollout,
    RolloutAdvanced,
    RolloutStarted,
    RolloutState,
    ServerVersionSet,
)

if TYPE_CHECKING:
    from monsoonlug.fleet import FleetView

# Milliseconds after an order in which the same order is a repeat of it. Operators may
# repeat for 4,000 ms; a repeat may be redirected and wait for its commit.
REPEAT_PERIOD_MS = 4_500


def start_rollout(view: "FleetView", index: int, command: RolloutStarted) -> list:
    """Returns the changes of an order.

    Args:
        view: The `FleetView` before the command.
        index: Log index of the command.
        command: The order.

    Raises:
        BadRequest: If the pool is unknown, or its rollout to another version runs.
    """
    current = view.rollouts.get(command.pool)
    if current is not None and is_repeat(current, command):
        return []
    if view.items.find(ItemKind.POOL, command.pool) is None:
        raise BadRequest("the pool of the rollout is not configured")
    if current is not None and current.state is RolloutState.RUNNING:
        raise BadRequest("a rollout of the pool to another version is running")
    rollout = Rollout(
        pool=command.pool,
        version=command.version,
        number=index,
        ordered_at_ms=command.ordered_at_ms,
        duration=command.duration,
        state=RolloutState.RUNNING,
        share=0.0,
    )
    return [rollout]


def is_repeat(current: Rollout, command: RolloutStarted) -> bool:
    """Returns whether an order changes nothing after the latest rollout."""
    if current.version != command.version:
        return False
    if current.state is not RolloutState.ROLLED_BACK:
        return True
    return command.ordered_at_ms - current.ordered_at_ms <= REPEAT_PERIOD_MS


def advance_rollout(view: "FleetView", command: RolloutAdvanced) -> list:
    """Returns the changes of a step or the end of a rollout.

    A command for an earlier rollout, or for one that has ended, changes nothing.
    """
    current = view.rollouts.get(command.pool)
    if current is None or current.number != command.number:
        return []
    if current.state is not RolloutState.RUNNING:
        return []
    updated = replace(current, state=command.state, share=command.share)
    if updated == current:
        return []
    return [*_drain_servers(view, updated), updated]


def end_dropped_rollout(view: "FleetView", pool: PoolId) -> list:
    """Returns the changes that end the running rollout of a pool that is dropped."""
    current = view.rollouts.get(pool)
    if current is None or current.state is not RolloutState.RUNNING:
        return []
    updated = replace(current, state=RolloutState.ROLLED_BACK, share=0.0)
    return [*_drain_servers(view, updated), updated]


def set_version(view: "FleetView", command: ServerVersionSet) -> list:
    """Returns the changes of a version; that of an earlier process has none."""
    current = view.versions.get(command.server)
    if current == command:
        return []
    if current is not None and command.born < current.born:
        return []
    return [command]


def _drain_servers(view: "FleetView", rollout: Rollout) -> Iterator[FleetServer]:
    """Yields the records of the servers that get no requests after a rollout's end."""
    if rollout.state is RolloutState.RUNNING:
        return
    drains_target = rollout.state is RolloutState.ROLLED_BACK
    for server in view.servers.values():
        if server.pool != rollout.pool or server.draining:
            continue
        if (view.get_version(server) == rollout.version) == drains_target:
            yield replace(server, draining=True)
