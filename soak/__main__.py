"""Command line of the fault soak: `python -m soak --first 1 --last 50`."""

import sys

from cyclopts import App

from soak.announced import run_announced_seed
from soak.run import Result, run_seed

BAR_WIDTH = 40  # characters
FULL_BAR_RATE = 60  # successful answers per second that fill the bar

app = App(name="soak", help="Runs the daemons under seeded faults.")


@app.default
def run(
    *,
    first: int = 1,
    last: int = 1,
    seconds: float = 20.0,
    table: bool = True,
    announced: bool = False,
):
    """Runs a range of seeds and exits with 1 if an invariant was violated.

    Args:
        first: First seed.
        last: Last seed.
        seconds: Duration of the faults of one seed.
        table: Whether to print the callers' outcomes in each second.
        announced: Whether to run the daemons of an announced fleet.
    """
    failed = []
    for seed in range(first, last + 1):
        run_one = run_announced_seed if announced else run_seed
        result = run_one(seed, seconds)
        if table and result.samples:
            print_table(result)
        verdict = "; ".join(result.violations) or "all invariants held"
        logs = f" (logs kept in {result.folder})" if result.folder else ""
        print(f"seed {seed}: {result.faults} faults, {verdict}{logs}", flush=True)
        if result.violations:
            failed.append(seed)
    print(f"{last - first + 1} seeds, {len(failed)} failed: {failed}")
    sys.exit(1 if failed else 0)


def print_table(result: Result) -> None:
    """Prints one row for each sample."""
    print("second    ok  refused  unknown")
    for sample in result.samples:
        bar = "#" * min(BAR_WIDTH, round(BAR_WIDTH * sample.ok / FULL_BAR_RATE))
        print(
            f"{sample.at:6.0f} {sample.ok:5d} {sample.refused:8d} "
            f"{sample.unknown:8d}  {bar:{BAR_WIDTH}}  {', '.join(sample.faults)}"
        )


if __name__ == "__main__":
    app()
