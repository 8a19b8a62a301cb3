"""The command group `pebblehinge lab`, with the commands that play a day and check its records.

The laboratory's packages are imported in the functions that use them (see `pebblehinge.cli`).
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from pebblehinge.cli.base import (
    describe_error,
    exit_with_error,
    main,
    progress_printer,
    read_settings,
    select_block,
)
from pebblehinge.event_log import EventLogError
from pebblehinge.settings import Config

MAX_TRIAL_REQUESTS = 400_000
"""Maximum number of requests in a capacity planner's trial; more would take too long."""
VIRTUAL_LOOPBACK = "127.0.0.1"
BUILT_IN = Path(__file__).parent.parent / "lab" / "days"


if TYPE_CHECKING:
    from pebblehinge.lab.check import DayFacts
    from pebblehinge.lab.faults.script import Fault


@main.group()
def lab() -> None:
    """Run scripted days and load in the laboratory, and check the rules."""


def load_day_facts(records: str) -> DayFacts:
    """Returns the facts of a day from its folder of records; exits if they are missing or unreadable."""
    folder = Path(records)
    if not (folder / "day.conf").is_file():
        exit_with_error(f"{records} holds no day.conf: expected the records of a day")
    config = read_settings(str(folder / "day.conf"))
    try:
        return read_day(folder, config)
    except EventLogError as error:
        exit_with_error(str(error))


def read_day(folder: Path, config: Config) -> DayFacts:
    """Reads the records of a day.

    Raises:
        EventLogError: If they can't be read.
    """
    from pebblehinge.lab.check import DayFacts  # noqa: PLC0415

    facts = DayFacts.read(folder, config)
    # `read` is declared in the base class; it returns an instance of the class on which it is called.
    assert isinstance(facts, DayFacts)
    return facts


def find_day(name: str) -> tuple[Path, str | None]:
    """Returns the file of a day, given by path or by built-in name, and the built-in name; exits if there is none."""
    path = Path(name)
    if path.is_file():
        return path, None
    built_in = BUILT_IN / f"{name}.conf"
    if not built_in.is_file():
        built_in_days = ", ".join(sorted(p.stem for p in BUILT_IN.glob("*.conf") if not p.stem.startswith("_")))
        exit_with_error(f"no day {name!r}: expected a file, or one of {built_in_days}")
    return built_in, name


def read_fault_script(
    config: Config, day_name: str, file: str | None, count: int | None, seed: int
) -> list[Fault] | None:
    """Returns the faults of a run, drawn or read from a file; None if the fleet is not prepared for faults."""
    from pebblehinge.lab.faults.draw import draw, participants_of  # noqa: PLC0415
    from pebblehinge.lab.faults.script import ScriptError, read  # noqa: PLC0415

    cast = participants_of(config)
    if count is not None:
        return draw(cast, seed, config.day[day_name].length, count)
    if file is None:
        return None
    try:
        return read(Path(file).read_text(), cast.names, file)
    except OSError as error:
        exit_with_error(f"{file}: {describe_error(error)}")
    except (ScriptError, UnicodeDecodeError) as error:
        exit_with_error(str(error))


@lab.command()
@click.argument("name", default="bad-day")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Seed of the random generators.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.option("--records", type=click.Path(file_okay=False), help="Folder in which to keep the records.")
@click.option("--quiet", is_flag=True, help="Print no progress.")
@click.option("--virtual", is_flag=True, help="Run in one process in virtual time, instead of processes on sockets.")
@click.option(
    "--faults", type=click.Path(dir_okay=False), help="Script of faults in processes and on the links between them."
)
@click.option("--draw-faults", type=click.IntRange(1, 100), help="Draw this many faults from the seed instead.")
def day(
    name: str,
    seed: int,
    as_json: bool,
    records: str | None,
    quiet: bool,
    virtual: bool,
    faults: str | None,
    draw_faults: int | None,
) -> None:
    """Play a day, given as NAME or FILE, with a fleet of processes, and check the rules from its traffic records."""
    from pebblehinge.lab import simulated_fleet  # noqa: PLC0415
    from pebblehinge.lab.days import DayError  # noqa: PLC0415
    from pebblehinge.lab.processes import ProcessFleet, own_loopback  # noqa: PLC0415
    from pebblehinge.lab.verdict import summary  # noqa: PLC0415

    path, _ = find_day(name)
    loopback = VIRTUAL_LOOPBACK if virtual else own_loopback()
    config = read_settings(str(path), loopback)
    day_name = select_block(config, "day", None)
    if records is not None and any(Path(records).glob("*.jsonl")):
        exit_with_error(f"{records} holds records of another day already")
    progress = progress_printer(quiet)
    fault_script = read_fault_script(config, day_name, faults, draw_faults, seed)

    async def play(loop: asyncio.AbstractEventLoop, folder: Path) -> dict[str, Any]:
        stage = ProcessFleet(loop, config, path, day_name, seed, folder, loopback, progress, fault_script)
        try:
            return await stage.play()
        finally:
            stage.abandon()

    with tempfile.TemporaryDirectory(prefix="pebblehinge-") as temporary:
        folder = Path(records or temporary)
        try:
            if virtual:
                stage, outcome = simulated_fleet.play(config, day_name, seed, progress, script=fault_script)
                if records is not None:
                    stage.write(folder)
                facts = stage.facts()
            else:
                with asyncio.Runner() as runner:
                    outcome = runner.run(play(runner.get_loop(), folder))
                facts = read_day(folder, config)
        except (DayError, EventLogError, OSError) as error:
            exit_with_error(describe_error(error))
        extras = {
            "faults": outcome["faults"],
            "load_late_ms": round(outcome["late_ms"], 1),
            **outcome.get("script", {}),
        }
        verdict = summary(facts, day_name, seed, extras)
    sys.exit(0 if show_verdict(verdict, config.day[day_name].goal, as_json) else 1)


def show_verdict(verdict: dict[str, Any], goal: float, as_json: bool) -> bool:
    """Prints the summary of a day; returns whether all rules hold and the goal is met, without a fault."""
    from pebblehinge.lab.verdict import all_checks_pass, summary_lines  # noqa: PLC0415

    missed: bool = verdict["service"] < goal
    click.echo(json.dumps(verdict) if as_json else "\n".join(summary_lines(verdict)))
    if missed and not as_json:
        click.echo(f"service {verdict['service']:.3f} is under the day's goal of {goal:g}")
    return all_checks_pass(verdict) and not missed and not verdict["faults"]


@lab.command(name="check")
@click.argument("records", type=click.Path(file_okay=False))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def check_records(records: str, as_json: bool) -> None:
    """Check the rules again from a day's RECORDS."""
    from pebblehinge.lab.verdict import all_checks_pass, summary, summary_lines  # noqa: PLC0415

    facts = load_day_facts(records)
    verdict = summary(facts, next(iter(facts.config.day)), 0)
    click.echo(json.dumps(verdict) if as_json else "\n".join(summary_lines(verdict)))
    sys.exit(0 if all_checks_pass(verdict) else 1)
