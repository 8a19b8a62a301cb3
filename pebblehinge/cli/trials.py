"""The commands of `pebblehinge lab` that search, model, crash, attribute causes, report and compare.

Packages that only one command needs are imported in the function that uses them (see `pebblehinge.cli`).
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

from pebblehinge.cli.base import (
    AS_JSON,
    JOBS,
    QUIET,
    SEED,
    describe_error,
    exit_with_error,
    progress_printer,
    read_settings,
    worker_count,
)
from pebblehinge.cli.days import find_day, lab, load_day_facts
from pebblehinge.settings import Config

if TYPE_CHECKING:
    from pebblehinge.lab.search import Find

MAX_SAVED_FAILING_DAYS = 5
"""Maximum number of days with a broken rule or a fault that a search saves."""
MAX_SAVED_SLOW_DAYS = 2
"""Maximum number of days with the worst service that a search saves if no day has a broken rule or a fault."""
SHRINK_SERVICE_TOLERANCE = 0.03
"""How much better the service of a shrunk day may be than that of the original find."""


@lab.command(name="search")
@click.argument("name", default="quiet")
@click.option("--days", type=click.IntRange(1, 100_000), default=40, show_default=True, help="Number of days to draw.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Seed of the first day.")
@click.option(
    "--length", type=click.IntRange(4, 600), default=20, show_default=True, help="Length of a day, in seconds."
)
@click.option(
    "--save", "folder", type=click.Path(file_okay=False), help="Folder in which to save shrunk finds as day files."
)
@JOBS
@AS_JSON
@QUIET
def search_days(
    name: str, days: int, seed: int, length: int, folder: str | None, jobs: int | None, as_json: bool, quiet: bool
) -> None:
    """Draw days with overlapping faults on the fleet of day NAME; search for broken rules and the worst service."""
    from pebblehinge.lab import search as day_search  # noqa: PLC0415

    path, _ = find_day(name)
    config = read_settings(str(path), "127.0.0.1")
    progress = progress_printer(quiet)
    length_ms = length * 1000.0
    finds = day_search.search(config, seed, days, length_ms, worker_count(jobs), progress)
    broken = [find for find in finds if find.broken or find.faults]
    if folder is not None:
        for find in broken[:MAX_SAVED_FAILING_DAYS] or finds[:MAX_SAVED_SLOW_DAYS]:
            save_find(config, find, length_ms, Path(folder), path.stem, progress)
    summary = day_search.told(finds)
    if as_json:
        click.echo(json.dumps(summary))
    else:
        show_finds(summary)
    sys.exit(1 if broken else 0)


def save_find(
    config: Config, find: Find, length_ms: float, folder: Path, source: str, progress: Callable[[str], None]
) -> None:
    """Shrinks a find and saves it as a day file, named by its source, seed and kind."""
    from pebblehinge.lab import search as day_search  # noqa: PLC0415

    shrunk_find = day_search.shrink(config, find, length_ms, find.service + SHRINK_SERVICE_TOLERANCE, progress)
    kind = "-".join(shrunk_find.broken) or ("fault" if shrunk_find.faults else "service")
    target = folder / f"{source}-{find.seed}-{kind}.conf"
    day_search.save(config, shrunk_find, length_ms, target, source)
    progress(f"saved {target}")


def show_finds(summary: dict[str, Any]) -> None:
    """Prints what a search found: its totals, and a line or two for each of the worst days."""
    click.echo(
        f"{summary['days']} days, {summary['broken']} with a broken rule, {summary['faults']} with a fault; "
        f"service {summary['service']['mean']:.3f} in the mean, {summary['service']['worst']:.3f} at worst"
    )
    for row in summary["worst"]:
        broken_rules = ", ".join(row["broken"]) or "no rule broken"
        click.echo(f"  seed {row['seed']}: {row['service']:.3f}, {broken_rules}; {', '.join(row['troubles'])}")
        if row["why"]:
            click.echo(f"      {row['why'][:200]}")


@lab.command(name="model")
@click.option("--terms", type=click.IntRange(1, 5), default=1, show_default=True, help="Maximum number of elections.")
@click.option("--proposals", type=click.IntRange(0, 5), default=1, show_default=True)
@click.option("--crashes", type=click.IntRange(0, 5), default=1, show_default=True)
@click.option("--beats", type=click.IntRange(0, 5), default=0, show_default=True, help="Heartbeats beyond appends.")
@click.option(
    "--way", type=click.IntRange(1, 20), default=3, show_default=True, help="Maximum number of messages in flight."
)
@click.option(
    "--states",
    type=click.IntRange(10, 10_000_000),
    default=100_000,
    show_default=True,
    help="Maximum number of states.",
)
@QUIET
def model(terms: int, proposals: int, crashes: int, beats: int, way: int, states: int, quiet: bool) -> None:
    """Explore every order of events of three Raft instances, within bounds."""
    from pebblehinge.raft.errors import SafetyViolationError  # noqa: PLC0415
    from pebblehinge.raft.model import Bounds, explore  # noqa: PLC0415

    bounds = Bounds(3, terms, proposals, crashes, beats, states, way)
    try:
        exploration = explore(bounds, progress_printer(quiet))
    except SafetyViolationError as error:
        click.echo(str(error))
        sys.exit(1)
    except KeyboardInterrupt:
        exit_with_error("interrupted: no violation found so far")
    extent = "all within the bounds" if exploration.complete else "as many as were asked"
    click.echo(f"{exploration.states} states, {exploration.transitions} transitions, {extent}")


@lab.command(name="crash")
@click.option("--rounds", type=click.IntRange(1, 100_000), default=20, show_default=True)
@SEED
@click.option("--virtual", is_flag=True, help="Run in virtual time, with a disk that loses unsynced data.")
@AS_JSON
@click.option("--quiet", is_flag=True, help="Print no progress.")
def crash_rounds(rounds: int, seed: int, virtual: bool, as_json: bool, quiet: bool) -> None:
    """Kill a head at random times under buffered writes; check that each confirmed write is applied exactly once."""
    from concurrent.futures import ProcessPoolExecutor  # noqa: PLC0415

    from pebblehinge.lab.crash import verdict  # noqa: PLC0415
    from pebblehinge.lab.crash.processes import ProcessCrashTrial  # noqa: PLC0415
    from pebblehinge.lab.crash.virtual import one as one_round  # noqa: PLC0415
    from pebblehinge.lab.processes import own_loopback  # noqa: PLC0415

    progress = progress_printer(quiet)
    if virtual:
        results = []
        with ProcessPoolExecutor(worker_count(None)) as executor:
            for n, round_result in enumerate(executor.map(one_round, range(seed, seed + rounds), chunksize=5)):
                results.append(round_result)
                if n % 100 == 99:
                    progress(f"{n + 1} of {rounds}")
        totals = verdict.sum_rounds(results)
    else:
        with tempfile.TemporaryDirectory(prefix="pebblehinge-") as folder:
            totals = asyncio.run(ProcessCrashTrial(Path(folder), own_loopback(), seed).play(rounds, progress))
    if as_json:
        click.echo(json.dumps(totals))
    else:
        click.echo(", ".join(f"{k.replace('_', ' ')} {v}" for k, v in totals.items() if v != ""))
    sys.exit(0 if verdict.sound(totals) else 1)


@lab.command(name="blame")
@click.option("--days", type=click.IntRange(1, 10_000), default=50, show_default=True)
@SEED
@click.option("--jobs", type=click.IntRange(1, 256), default=None, help="Parallel processes; default: one per core.")
@AS_JSON
def blame_days(days: int, seed: int, jobs: int | None, as_json: bool) -> None:
    """Draw days with a slow shelf, a noisy tenant or both; check that the wait accounting names the right cause."""
    from concurrent.futures import ProcessPoolExecutor  # noqa: PLC0415

    from pebblehinge.lab import blame  # noqa: PLC0415

    with ProcessPoolExecutor(worker_count(jobs)) as executor:
        results = list(executor.map(blame.drawn, range(seed, seed + days)))
    misses = [d for d in results if not d["right"]]
    if as_json:
        click.echo(json.dumps({"days": days, "right": days - len(misses), "wrong": len(misses), "which": misses[:20]}))
    else:
        click.echo(f"{days} days, {days - len(misses)} right")
        for day in misses[:20]:
            click.echo(f"  seed {day['seed']}: {', '.join(day['wanted'])}; named were {', '.join(day['named'])}")
    sys.exit(1 if misses else 0)


@lab.command(name="report")
@click.argument("records", type=click.Path(file_okay=False))
@click.option("-o", "--output", required=True, type=click.Path(dir_okay=False), help="HTML file to write.")
def report(records: str, output: str) -> None:
    """Write one self-contained HTML report from a day's RECORDS."""
    from pebblehinge.lab.report import page  # noqa: PLC0415
    from pebblehinge.lab.verdict import summary  # noqa: PLC0415

    facts = load_day_facts(records)
    name = next(iter(facts.config.day))
    try:
        Path(output).write_text(page(facts, summary(facts, name, 0), f"Day {name}"))
    except OSError as error:
        exit_with_error(describe_error(error))
    click.echo(f"{output}: written")


@lab.command(name="compare")
@click.argument("a")
@click.argument("b")
@click.option("--seeds", type=click.IntRange(2, 1000), default=8, show_default=True, help="Number of pairs of days.")
@click.option(
    "--build-a", type=click.Path(file_okay=False), help="Checkout of the build that plays A; default: this one."
)
@click.option("--build-b", type=click.Path(file_okay=False), help="The same for B.")
@JOBS
@AS_JSON
def compare_days(
    a: str, b: str, seeds: int, build_a: str | None, build_b: str | None, jobs: int | None, as_json: bool
) -> None:
    """Compare day A with day B, or one day on two builds, with confidence intervals from repeated seeds."""
    from pebblehinge.lab.compare import build_root, compare  # noqa: PLC0415

    paths = [str(find_day(name)[0].resolve()) for name in (a, b)]
    try:
        results = compare(
            paths[0], paths[1], build_root(build_a), build_root(build_b), list(range(1, seeds + 1)), worker_count(jobs)
        )
    except RuntimeError as error:
        exit_with_error(str(error))
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
