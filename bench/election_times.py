"""Measures how long the replicated log is without a leader after a crash."""

import random

import cyclopts

from bench.consensus_simulation import Faults, Simulation

app = cyclopts.App(help="Measures elections in virtual time.")


def measure_election(seed: int, *, replicas: int = 3, delay: float = 0.002) -> float:
    """Returns the seconds from the crash of a leader until a new leader can serve.

    A new leader can serve once it has confirmed a round.

    Args:
        seed: Seed of the simulation.
        replicas: Number of replicas.
        delay: Maximum one-way delay in seconds.
    """
    faults = Faults(delay=delay)
    simulation = Simulation(seed=seed, size=replicas, faults=faults, with_clients=False)
    leader = simulation.wait_for_leader()
    simulation.run_for(random.Random(seed).uniform(0.5, 0.6))
    simulation.crash(leader.name)
    crashed_at = simulation.now
    simulation.wait_for_leader()
    return simulation.now - crashed_at


@app.default
def report(*, seeds: int = 1_000, replicas: int = 3, delay: float = 0.002) -> None:
    """Prints the distribution of election times over many seeds.

    Args:
        seeds: Number of seeds.
        replicas: Number of replicas.
        delay: Maximum one-way delay in seconds.
    """
    times = []
    for seed in range(seeds):
        times.append(measure_election(seed, replicas=replicas, delay=delay))
    times.sort()
    within = sum(time <= 0.310 for time in times) / len(times)
    for share in (0.0, 0.5, 0.9, 0.95, 0.99, 1.0):
        position = min(int(share * len(times)), len(times) - 1)
        print(f"{share:.0%} of elections within {times[position] * 1000:.0f} ms")
    print(f"{within:.2%} within 310 ms")


if __name__ == "__main__":
    app()
