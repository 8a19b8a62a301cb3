"""`pebblehinge lab`: searches, models, crashes, reports, comparisons.

Packages of one command are imported in the function that uses them (see `pebblehinge.cli`).
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from pebblehinge.cli.base import AS_JSON, JOBS, QUIET, SEED, describe, give_up, jobs_of, read_settings, say_progress
from pebblehinge.cli.days import day_facts, find_day, lab
from pebblehinge.settings import Config

if TYPE_CHECKING:
    from pebblehinge.lab.search import Find

SAVED_BROKEN = 5
"""How many days with a broken rule or a fault a search saves."""
SAVED_WORST = 2
"""How many days it saves where none is broken: those of the worst service."""
SHRINK_TOLERANCE = 0.03
"""By how much the service of a shrunk day may be better than that of the find."""


@lab.command(name="search")
@click.argument("name", default="quiet")
@click.option("--days", type=click.IntRange(1, 100_000), default=40, show_default=True, help="How many are drawn.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Of the first day drawn.")
@click.option("--length", type=click.IntRange(4, 600), default=20, show_default=True, help="Seconds of a day.")
@click.option("--save", "folder", type=click.Path(file_okay=False), help="Shrink and save finds as day files here.")
@JOBS
@AS_JSON
@QUIET
def search_days(
    name: str, days: int, seed: int, length: int, folder: str | None, jobs: int | None, as_json: bool, quiet: bool
) -> None:
    """Draw days with overlapping troubles on the fleet of day NAME, and hunt for broken rules and the worst service."""
    from pebblehinge.lab import search as hunt  # noqa: PLC0415

    path, _ = find_day(name)
    config = read_settings(str(path), "127.0.0.1")
    progress = say_progress(quiet)
    length_ms = length * 1000.0
    finds = hunt.search(config, seed, days, length_ms, jobs_of(jobs), progress)
    broken = [find for find in finds if find.broken or find.faults]
    if folder is not None:
        for find in broken[:SAVED_BROKEN] or finds[:SAVED_WORST]:
            save_find(config, find, length_ms, Path(folder), path.stem, progress)
    summary = hunt.told(finds)
    if as_json:
        click.echo(json.dumps(summary))
    else:
        show_finds(summary)
    sys.exit(1 if broken else 0)


def save_find(
    config: Config, find: Find, length_ms: float, folder: Path, source: str, progress: Callable[[str], None]
) -> None:
    """Shrinks a find and saves it as a day file, named by its source, seed and kind."""
    from pebblehinge.lab import search as hunt  # noqa: PLC0415

    small = hunt.shrink(config, find, length_ms, find.service + SHRINK_TOLERANCE, progress)
    kind = "-".join(small.broken) or ("fault" if small.faults else "service")
    target = folder / f"{source}-{find.seed}-{kind}.conf"
    hunt.save(config, small, length_ms, target, source)
    progress(f"saved {target}")


def show_finds(summary: dict[str, Any]) -> None:
    """Prints what a search found: its totals, and a line or two for each of the worst days."""
    click.echo(
        f"{summary['days']} days, {summary['broken']} with a broken rule, {summary['faults']} with a fault; "
        f"service {summary['service']['mean']:.3f} in the mean, {summary['service']['worst']:.3f} at worst"
    )
    for row in summary["worst"]:
        what = ", ".join(row["broken"]) or "no rule broken"
        click.echo(f"  seed {row['seed']}: {row['service']:.3f}, {what}; {', '.join(row['troubles'])}")
        if row["why"]:
            click.echo(f"      {row['why'][:200]}")


@lab.command(name="model")
@click.option("--terms", type=click.IntRange(1, 5), default=1, show_default=True, help="Elections that may begin.")
@click.option("--proposals", type=click.IntRange(0, 5), default=1, show_default=True)
@click.option("--crashes", type=click.IntRange(0, 5), default=1, show_default=True)
@click.option("--beats", type=click.IntRange(0, 5), default=0, show_default=True, help="Heartbeats beyond appends.")
@click.option("--way", type=click.IntRange(1, 20), default=3, show_default=True, help="Messages on their way at once.")
@click.option("--states", type=click.IntRange(10, 10_000_000), default=100_000, show_default=True, help="At most.")
@QUIET
def model(terms: int, proposals: int, crashes: int, beats: int, way: int, states: int, quiet: bool) -> None:
    """Every order of events of three Raft instances, within bounds."""
    from pebblehinge.raft.errors import SafetyViolationError  # noqa: PLC0415
    from pebblehinge.raft.model import Bounds, explore  # noqa: PLC0415

    bounds = Bounds(3, terms, proposals, crashes, beats, states, way)
    try:
        found = explore(bounds, say_progress(quiet))
    except SafetyViolationError as error:
        click.echo(str(error))
        sys.exit(1)
    except KeyboardInterrupt:
        give_up("interrupted: nothing broken so far")
    extent = "all within the bounds" if found.complete else "as many as were asked"
    click.echo(f"{found.states} states, {found.transitions} transitions, {extent}")


@lab.command(name="crash")
@click.option("--rounds", type=click.IntRange(1, 100_000), default=20, show_default=True)
@SEED
@click.option("--virtual", is_flag=True, help="In virtual time, with a disk that loses what was not synced.")
@AS_JSON
@click.option("--quiet", is_flag=True, help="No progress.")
def crash_rounds(rounds: int, seed: int, virtual: bool, as_json: bool, quiet: bool) -> None:
    """Kill a head at random moments under buffered writes; every confirmed one must stand exactly once."""
    from concurrent.futures import ProcessPoolExecutor  # noqa: PLC0415

    from pebblehinge.lab.crash import verdict  # noqa: PLC0415
    from pebblehinge.lab.crash.processes import ProcessCrashTrial  # noqa: PLC0415
    from pebblehinge.lab.crash.virtual import one as one_round  # noqa: PLC0415
    from pebblehinge.lab.processes import own_loopback  # noqa: PLC0415

    said = say_progress(quiet)
    if virtual:
        results = []
        with ProcessPoolExecutor(jobs_of(None)) as executor:
            for n, one in enumerate(executor.map(one_round, range(seed, seed + rounds), chunksize=5)):
                results.append(one)
                if n % 100 == 99:
                    said(f"{n + 1} of {rounds}")
        total = verdict.sum_rounds(results)
    else:
        with tempfile.TemporaryDirectory(prefix="pebblehinge-") as folder:
            total = asyncio.run(ProcessCrashTrial(Path(folder), own_loopback(), seed).play(rounds, said))
    if as_json:
        click.echo(json.dumps(total))
    else:
        click.echo(", ".join(f"{k.replace('_', ' ')} {v}" for k, v in total.items() if v != ""))
    sys.exit(0 if verdict.sound(total) else 1)


@lab.command(name="blame")
@click.option("--days", type=click.IntRange(1, 10_000), default=50, show_default=True)
@SEED
@click.option("--jobs", type=click.IntRange(1, 256), default=None, help="Parallel processes; else all cores.")
@AS_JSON
def blame_days(days: int, seed: int, jobs: int | None, as_json: bool) -> None:
    """Draw days with a slow shelf, a noisy tenant or both: does the account name the right cause?"""
    from concurrent.futures import ProcessPoolExecutor  # noqa: PLC0415

    from pebblehinge.lab import blame  # noqa: PLC0415

    with ProcessPoolExecutor(jobs_of(jobs)) as executor:
        results = list(executor.map(blame.drawn, range(seed, seed + days)))
    wrong = [d for d in results if not d["right"]]
    if as_json:
        click.echo(json.dumps({"days": days, "right": days - len(wrong), "wrong": len(wrong), "which": wrong[:20]}))
    else:
        click.echo(f"{days} days, {days - len(wrong)} right")
        for day in wrong[:20]:
            click.echo(f"  seed {day['seed']}: {', '.join(day['wanted'])}; named were {', '.join(day['named'])}")
    sys.exit(1 if wrong else 0)


@lab.command(name="report")
@click.argument("records", type=click.Path(file_okay=False))
@click.option("-o", "--output", required=True, type=click.Path(dir_okay=False), help="The HTML file.")
def report(records: str, output: str) -> None:
    """One self-contained HTML file from a day's RECORDS."""
    from pebblehinge.lab.report import page  # noqa: PLC0415
    from pebblehinge.lab.verdict import summary  # noqa: PLC0415

    facts = day_facts(records)
    name = next(iter(facts.config.day))
    try:
        Path(output).write_text(page(facts, summary(facts, name, 0), f"Day {name}"))
    except OSError as error:
        give_up(describe(error))
    click.echo(f"{output}: written")


@lab.command(name="compare")
@click.argument("a")
@click.argument("b")
@click.option("--seeds", type=click.IntRange(2, 1000), default=8, show_default=True, help="Pairs of days.")
@click.option("--build-a", type=click.Path(file_okay=False), help="Checkout of the build that plays A; else this one.")
@click.option("--build-b", type=click.Path(file_okay=False), help="The same for B.")
@JOBS
@AS_JSON
def compare_days(
    a: str, b: str, seeds: int, build_a: str | None, build_b: str | None, jobs: int | None, as_json: bool
) -> None:
    """Day A against day B (two settings) or one day by two builds, with confidence from repeated seeds."""
    from pebblehinge.lab.compare import build_root, compare  # noqa: PLC0415

    paths = [str(find_day(name)[0].resolve()) for name in (a, b)]
    try:
        results = compare(
            paths[0], paths[1], build_root(build_a), build_root(build_b), list(range(1, seeds + 1)), jobs_of(jobs)
        )
    except RuntimeError as error:
        give_up(str(error))
    if as_json:
        click.echo(json.dumps(results))
        return
    for name in ("service", "p99_ms", "pushed_back"):
        row = results[name]
        click.echo(
            f"{name:12} A {row['a']:.3f}  B {row['b']:.3f}  B-A {row['difference']:+.4f} "
            f"[{row['low']:+.4f}, {row['high']:+.4f}] {'clear' if row['clear'] else 'may be chance'}"
        )
    for side, rules in results["broken"].items():
        if rules:
            click.echo(f"{side.upper()} breaks {', '.join(rules)}")
    sys.exit(1 if any(results["broken"].values()) else 0)
