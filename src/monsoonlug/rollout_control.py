"""Runs the decisions on all rollouts while this replica leads the control group."""

from collections.abc import Callable, Iterable

from monsoonlug.fleet import FleetView
from monsoonlug.ids import PoolId
from monsoonlug.logs import get_logger
from monsoonlug.prometheus_metrics import PrometheusMetrics
from monsoonlug.registrar import Registrar
from monsoonlug.rollout_decisions import Decision, RolloutDecider, RolloutLimits
from monsoonlug.rollout_messages import (
    Rollout,
    RolloutAdvanced,
    RolloutReport,
    RolloutState,
)
from monsoonlug.rollout_reports import check_report

MIN_DECISION_INTERVAL = 0.1  # seconds between two decisions that reports cause
STATE_NUMBERS = {
    RolloutState.RUNNING: 0,
    RolloutState.SUCCEEDED: 1,
    RolloutState.ROLLED_BACK: 2,
}

logger = get_logger("control")


class RolloutController:
    """Keeps the counts of the running rollouts and decides on their steps.

    Args:
        limits: Bounds on a bad version.
        read_time: Returns the time of day, in Unix seconds.
    """

    def __init__(self, *, limits: RolloutLimits, read_time: Callable[[], float]):
        self._limits = limits
        self._read_time = read_time
        self._deciders: dict[tuple[PoolId, int], RolloutDecider] = {}
        self._decided_at = 0.0
        self.reports = 0

    @property
    def is_active(self) -> bool:
        """Whether a rollout runs that this replica decides on."""
        return bool(self._deciders)

    def reset(self) -> None:
        """Drops the state of a term, as the role changed."""
        self._deciders = {}

    def begin(self, view: FleetView) -> None:
        """Begins a term with the rollouts in the view."""
        self.reset()
        for rollout in view.rollouts.values():
            if rollout.state is RolloutState.RUNNING:
                logger.info(
                    "Continuing rollout {} of pool {} to version {!r} at share {}.",
                    rollout.number,
                    rollout.pool,
                    rollout.version,
                    rollout.share,
                )
                self._add_decider(rollout, is_new_leader=True)

    def apply_committed(self, changes: Iterable[object]) -> None:
        """Follows the rollouts that committed commands began or ended."""
        for change in changes:
            if not isinstance(change, Rollout):
                continue
            key = (change.pool, change.number)
            if change.state is not RolloutState.RUNNING:
                if self._deciders.pop(key, None) is not None:
                    logger.info(
                        "Rollout {} of pool {} to version {!r} ended as {}.",
                        change.number,
                        change.pool,
                        change.version,
                        change.state.value,
                    )
            elif key not in self._deciders:
                self._add_decider(change, is_new_leader=False)

    def record(self, report: RolloutReport) -> bool:
        """Counts a report.

        Returns:
            Whether decisions are due.

        Raises:
            DamagedFrame: If a row of the report is malformed.
        """
        check_report(report)
        decider = self._deciders.get((PoolId(report.pool), report.number))
        if decider is None:
            return False
        self.reports += 1
        decider.record(report)
        return self._read_time() - self._decided_at >= MIN_DECISION_INTERVAL

    def decide(
        self, now: float, view: FleetView, registrar: Registrar, *, may_raise: bool
    ) -> list[RolloutAdvanced]:
        """Returns the commands to propose now.

        Args:
            now: Time of the registrar's clock, in seconds.
            view: The replicated view.
            registrar: The servers of this term.
            may_raise: Whether a majority has confirmed the leader recently.
        """
        unix_now = self._decided_at = self._read_time()
        commands = []
        for (pool, number), decider in self._deciders.items():
            rollout = view.find_running_rollout(pool)
            if rollout is None or rollout.number != number:
                continue
            servers = registrar.describe_pool(now, pool)
            decision = decider.decide(unix_now, rollout, servers, may_raise=may_raise)
            if decision is None:
                continue
            _log_decision(rollout, decision)
            command = RolloutAdvanced(
                pool=pool, number=number, state=decision.state, share=decision.share
            )
            commands.append(command)
        return commands

    def _add_decider(self, rollout: Rollout, *, is_new_leader: bool) -> None:
        self._deciders[rollout.pool, rollout.number] = RolloutDecider(
            now=self._read_time(),
            rollout=rollout,
            limits=self._limits,
            is_new_leader=is_new_leader,
        )


def add_rollout_metrics(
    metrics: PrometheusMetrics,
    controller: RolloutController,
    find_view: Callable[[], FleetView],
) -> None:
    """Adds the metrics of rollouts at a control replica."""

    def read_shares() -> dict[str, float]:
        return {pool: row.share for pool, row in find_view().rollouts.items()}

    def read_states() -> dict[str, float]:
        rows = find_view().rollouts.items()
        return {pool: STATE_NUMBERS[row.state] for pool, row in rows}

    metrics.add_gauge(
        "rollout_reports", "Reports counted here.", lambda: controller.reports
    )
    metrics.add_gauges("rollout_share", "Share of the target.", "pool", read_shares)
    metrics.add_gauges(
        "rollout_state",
        "0 while the latest rollout runs, 1 if it succeeded, 2 if it was rolled back.",
        "pool",
        read_states,
    )


def _log_decision(rollout: Rollout, decision: Decision) -> None:
    found = decision.comparison
    logger.info(
        "Rollout {} of pool {} to version {!r}: {} at share {} (before: {}), as {}. "
        "Evidence: {}{}, {:.0f} responses, failures {:.3f} against {:.3f}, {:.2f} "
        "times as slow; {:.0f} requests of {:.0f} permitted so far.",
        rollout.number,
        rollout.pool,
        rollout.version,
        decision.state.value,
        decision.share,
        rollout.share,
        decision.reason,
        found.verdict.value,
        f" on route {found.route}" if found.route else "",
        found.responses,
        found.failure_share,
        found.baseline_share,
        found.slowdown,
        decision.spent,
        decision.permitted,
    )
