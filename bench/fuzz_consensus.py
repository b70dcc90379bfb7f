"""Fuzzes the replicated log with seeded faults: `python -m bench.fuzz_consensus`."""

import sys

import cyclopts

from bench.consensus_oracle import OracleError
from bench.consensus_simulation import FUZZ_FAULTS, Simulation

app = cyclopts.App(help="Fuzzes the replicated log with seeded faults.")


def run_seed(seed: int, steps: int, replicas: int) -> Simulation:
    """Runs one seed, ends all faults and returns the simulation.

    Raises:
        OracleError: If a property is violated.
    """
    simulation = Simulation(seed=seed, size=replicas, faults=FUZZ_FAULTS)
    simulation.run_steps(steps)
    simulation.settle()
    return simulation


@app.default
def fuzz(
    *, seed: int = 1, seeds: int = 1, steps: int = 100_000, replicas: int = 3
) -> None:
    """Runs seeds in sequence and stops at the first violated property.

    Args:
        seed: First seed.
        seeds: Number of seeds.
        steps: Number of events per seed.
        replicas: Number of replicas.
    """
    for current in range(seed, seed + seeds):
        try:
            simulation = run_seed(current, steps, replicas)
        except OracleError as error:
            print(f"seed {current}: {error}")
            sys.exit(1)
        oracle = simulation.oracle
        print(
            f"seed {current}: {simulation.steps} steps, {simulation.now:.1f} s virtual,"
            f" {len(oracle.acknowledged)} acknowledged, {max(oracle.leaders)} terms,"
            f" {oracle.rounds_confirmed} rounds, {simulation.crashes} crashes,"
            f" {simulation.repairs} repairs"
        )


if __name__ == "__main__":
    app()
