"""Caps and bounds of the whole tree against 1,024 heads and 2,048 shelfs, as a table for docs/CAPACITY.md.

    python benchmarks/caps.py [--json FILE]

Each value is read from the code as it is now, with its line; beside it stand what the size needs and what happens when
it is reached. Exit 1 where a verdict does not agree with its value (tests/test_caps.py holds the same).
"""

from __future__ import annotations

import json
import subprocess
import sys
from datetime import date
from pathlib import Path
from typing import Any

import click
from caps_points import ROOT, Cap, faults
from caps_roles import ROLES
from caps_shared import SHARED

CAPS: list[Cap] = SHARED + ROLES


def fragment() -> dict[str, Any]:
    """The points, with the run that they are of."""
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True, text=True, check=False
    ).stdout.strip()
    run = {
        "id": "caps",
        "command": "python benchmarks/caps.py --json",
        "commit": commit,
        "date": f"{date.today()}",
        "beside": "nothing that matters: counts of the code",
        "kind": "counted",
    }
    return {
        "run": run,
        "points": [cap.point() for cap in CAPS],
        "note": "values are read from the code; needs marked (reckoned) are products of stated figures, not runs",
    }


def row(cap: Cap) -> str:
    needed = "-" if cap.needed is None else f"{cap.needed:,g}" if cap.needed < 1e5 else f"{cap.needed:,.0f}"
    return f"{cap.name} | {cap.file}:{cap.line()} | {cap.value():,} {cap.unit} | {needed} | {cap.verdict}"


@click.command()
@click.option("--json", "to", type=click.Path(dir_okay=False), help="Write the points to this file.")
def main(to: str | None) -> None:
    """Print the table; with --json write its points."""
    for cap in CAPS:
        click.echo(row(cap))
    if to:
        Path(to).write_text(json.dumps(fragment(), indent=1) + "\n")
    wrong = faults(CAPS)
    for line in wrong:
        click.echo(f"pebblehinge: {line}", err=True)
    sys.exit(1 if wrong else 0)


if __name__ == "__main__":
    main()
