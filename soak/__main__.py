"""Fault soak: `python -m soak --first 1 --last 50`."""

import sys

from cyclopts import App

from soak.run import Result, run_seed

WIDTH = 40  # characters of the longest bar
FULL_RATE = 60  # good answers in a second that fill it

app = App(name="soak", help="Runs the programs under seeded faults.")


@app.default
def run(*, first: int = 1, last: int = 1, seconds: float = 20.0, table: bool = True):
    """Runs all seeds from the first to the last; exits with 1 if a promise broke.

    Args:
        first: First seed.
        last: Last seed.
        seconds: Length of the faults of one seed.
        table: Whether to print what callers were told in each second.
    """
    failed = []
    for seed in range(first, last + 1):
        result = run_seed(seed, seconds)
        if table:
            print_table(result)
        verdict = "; ".join(result.broken) or "held"
        kept = f" (kept in {result.folder})" if result.folder else ""
        print(f"seed {seed}: {result.faults} faults, {verdict}{kept}", flush=True)
        if result.broken:
            failed.append(seed)
    print(f"{last - first + 1} seeds, {len(failed)} failed: {failed}")
    sys.exit(1 if failed else 0)


def print_table(result: Result) -> None:
    """Prints one row for each second."""
    print("second  good  refused  unknown")
    for sample in result.samples:
        bar = "#" * min(WIDTH, round(WIDTH * sample.ok / FULL_RATE))
        print(
            f"{sample.at:6.0f} {sample.ok:5d} {sample.refused:8d} "
            f"{sample.unknown:8d}  {bar:{WIDTH}}  {', '.join(sample.faults)}"
        )


if __name__ == "__main__":
    app()
