"""Benchmark of the deployments in section 1 of the design page, in virtual time.

Run with `python -m bench.deployment --deployment tangle-free --seed 1`. The table
compares the router (gate) with entries that do not coordinate (baseline) and, on pooled
routes, with entries that lease single slots of each server (shares).
"""

import dataclasses
import json
import sys
from typing import Annotated

from cyclopts import App, Parameter

from bench.measures import Report, measure_deployment
from bench.profiles import DEPLOYMENTS, FULL_RUN, SHORT_RUN, DeploymentName

app = App(help="Measures a deployment in virtual time.")
AsJson = Annotated[bool, Parameter(name="--json", negative="", help="Print JSON.")]


def format_table(report: Report) -> str:
    """Returns the report as a Markdown table."""
    lines = [
        f"{report.deployment}, seed {report.seed}",
        "",
        "| measure | gate | baseline | shares | goal |",
        "|---|---|---|---|---|",
    ]
    for item in report.measures:
        goal = ""
        if item.goal is not None:
            goal = item.goal.text if item.goal.is_met else f"{item.goal.text}: MISSED"
        lines.append(
            f"| {item.name} | {item.gate} | {item.baseline} | {item.shares} | {goal} |"
        )
    return "\n".join(lines)


@app.default
def run(
    *,
    deployment: DeploymentName = DeploymentName.TANGLE_FREE,
    seed: int = 1,
    short: bool = False,
    json_: AsJson = False,
) -> int:
    """Measures a deployment and prints the results.

    Args:
        deployment: Deployment to measure.
        seed: Seed of the random number generators.
        short: Use the short durations of the tests.
        json_: Print JSON instead of a table.

    Returns:
        Exit code: 1 if a goal was missed, otherwise 0.
    """
    report = measure_deployment(
        deployment=DEPLOYMENTS[deployment],
        durations=SHORT_RUN if short else FULL_RUN,
        seed=seed,
    )
    if json_:
        print(json.dumps(dataclasses.asdict(report), indent=2))
    else:
        print(format_table(report))
    return int(bool(report.list_missed()))


if __name__ == "__main__":
    sys.exit(app())
