"""`pebblehinge lab`: days, loads, records."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from pathlib import Path
from typing import Any

import click

from pebblehinge.cli.base import (
    FILE,
    LOOPBACK,
    RECORDS,
    SEED,
    clock_of,
    describe,
    give_up,
    main,
    pick,
    read_settings,
    ready,
    records_for,
    run,
    say_progress,
)
from pebblehinge.event_log import EventLogError
from pebblehinge.settings import Config

MOST_ROWS = 400_000  # of a trial that this program is ready to play
BUILT_IN = Path(__file__).parent.parent / "lab" / "days"


@main.group()
def lab() -> None:
    """The laboratory: scripted days, load, and the checker of the rules."""


def day_facts(records: str) -> Any:
    """What a folder of records holds of its day."""
    from pebblehinge.lab.check import Day

    folder = Path(records)
    if not (folder / "day.conf").is_file():
        give_up(f"{records} holds no day.conf: expected the records of a day")
    config = read_settings(str(folder / "day.conf"))
    try:
        return Day.read(folder, config)
    except EventLogError as error:
        give_up(str(error))


def find_day(name: str) -> tuple[Path, str | None]:
    """A day's file by path or by the name of one that ships."""
    path = Path(name)
    if path.is_file():
        return path, None
    built_in = BUILT_IN / f"{name}.conf"
    if built_in.is_file():
        return built_in, name
    known = ", ".join(sorted(p.stem for p in BUILT_IN.glob("*.conf") if not p.stem.startswith("_")))
    give_up(f"no day {name!r}: expected a file, or one of {known}")


def script_of(config: Config, day_name: str, file: str | None, count: int | None, seed: int) -> list[Any] | None:
    """The faults of a run; None: the fleet is not prepared for any."""
    from pebblehinge.lab.faults.draw import cast_of, draw
    from pebblehinge.lab.faults.script import ScriptError, read

    cast = cast_of(config)
    if count is not None:
        return draw(cast, seed, config.day[day_name].length, count)
    if file is None:
        return None
    try:
        return read(Path(file).read_text(), cast.names, file)
    except OSError as error:
        give_up(f"{file}: {describe(error)}")
    except (ScriptError, UnicodeDecodeError) as error:
        give_up(str(error))


@lab.command()
@click.argument("name", default="bad-day")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Start of all chance.")
@click.option("--json", "as_json", is_flag=True, help="Print one object.")
@click.option("--records", type=click.Path(file_okay=False), help="Keep the records in this folder.")
@click.option("--quiet", is_flag=True, help="No progress.")
@click.option("--virtual", is_flag=True, help="In one process and in virtual time, instead of processes on sockets.")
@click.option("--faults", type=click.Path(dir_okay=False), help="A script of faults between and in processes.")
@click.option("--draw-faults", type=click.IntRange(1, 100), help="Draw so many faults by the seed instead.")
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
    """Play a day, NAME or FILE, with a fleet of processes, and judge the rules from what crossed the sockets."""
    from pebblehinge.lab import village
    from pebblehinge.lab.check import Day
    from pebblehinge.lab.days import DayError
    from pebblehinge.lab.processes import Processes, own_loopback
    from pebblehinge.lab.verdict import kept, lines, summary

    path, _ = find_day(name)
    loopback = "127.0.0.1" if virtual else own_loopback()
    config = read_settings(str(path), loopback)
    day_name = pick(config, "day", None)
    if records is not None and any(Path(records).glob("*.jsonl")):
        give_up(f"{records} holds records of another day already")
    said = say_progress(quiet)
    script = script_of(config, day_name, faults, draw_faults, seed)

    async def play(loop: asyncio.AbstractEventLoop, folder: Path) -> dict[str, Any]:
        stage = Processes(loop, config, path, day_name, seed, folder, loopback, said, script)
        try:
            return await stage.play()
        finally:
            stage.abandon()

    with tempfile.TemporaryDirectory(prefix="pebblehinge-") as temporary:
        folder = Path(records or temporary)
        try:
            if virtual:
                stage, more = village.play(config, day_name, seed, said, script=script)
                if records is not None:
                    stage.write(folder)
                facts = stage.facts()
            else:
                with asyncio.Runner() as runner:
                    more = runner.run(play(runner.get_loop(), folder))
                facts = Day.read(folder, config)
        except (DayError, EventLogError, OSError) as error:
            give_up(describe(error))
        told = summary(
            facts,
            day_name,
            seed,
            {"faults": more["faults"], "load_late_ms": round(more["late_ms"], 1), **more.get("script", {})},
        )
    goal = config.day[day_name].goal
    missed = told["service"] < goal
    click.echo(json.dumps(told) if as_json else "\n".join(lines(told)))
    if missed and not as_json:
        click.echo(f"service {told['service']:.3f} is under the day's goal of {goal:g}")
    sys.exit(0 if kept(told) and not missed and not told["faults"] else 1)


@lab.command(name="load")
@FILE
@click.option("--day", "day_name", required=True, help="Which day block.")
@click.option("--part", type=click.IntRange(0), default=0, help="Which of the processes this is.")
@click.option("--parts", type=click.IntRange(1), default=1, help="How many there are.")
@click.option("--start", type=float, help="When to begin, on the machine's monotonic clock in ms; else in a second.")
@click.option("--replay", multiple=True, type=click.Path(dir_okay=False), help="Captures, in place of the day's load.")
@click.option("--speed", type=click.FloatRange(0.01, 1000.0), default=1.0, help="Replay so many times as fast.")
@click.option("--multiple", type=click.FloatRange(0.001, 100.0), default=1.0, help="Under 1 thins, over 1 grows.")
@LOOPBACK
@RECORDS
@SEED
def load_command(
    file: str,
    day_name: str,
    part: int,
    parts: int,
    start: float | None,
    replay: tuple[str, ...],
    speed: float,
    multiple: float,
    loopback: str | None,
    records: str | None,
    seed: int,
) -> None:
    """Ask as a day's clients do, or as captures say; prints what became of the requests."""
    from pebblehinge.capture import CaptureError, read_capture
    from pebblehinge.lab.clients import Crowd
    from pebblehinge.lab.replay import Replay, merge
    from pebblehinge.lab.rsync_load import Copies

    config = read_settings(file, loopback)
    pick(config, "day", day_name)
    draw = None
    if replay:
        try:
            rows, notes = merge([read_capture(path) for path in replay])
        except CaptureError as error:
            give_up(str(error))
        for note in notes:
            click.echo(f"note: {note}", err=True)
        draw = Replay(config, rows, seed, multiple, speed, part=part, parts=parts)

    async def ask(loop: asyncio.AbstractEventLoop) -> int:
        clock = clock_of(loop)
        notes = records_for(records, f"load{part + 1}", loop)
        crowd = Crowd(loop, clock, config, day_name, seed, notes, part, parts, draw)
        await crowd.connect_all()
        ready()
        begin = start if start is not None else clock() + 1000.0
        crowd.start(begin)
        if part == 0 and config.copies is not None and not replay:
            copies = Copies(loop, clock, config, day_name, seed, notes)
            copies.start(begin)
            await copies.ended
        await crowd.ended
        await crowd.close()
        click.echo(json.dumps({"ends": crowd.done, "late_ms": round(crowd.late_ms, 3)}))
        return 0

    run(ask)


@lab.command(name="check")
@click.argument("records", type=click.Path(file_okay=False))
@click.option("--json", "as_json", is_flag=True, help="Print one object.")
def check_records(records: str, as_json: bool) -> None:
    """Judge the rules again from a day's RECORDS."""
    from pebblehinge.lab.verdict import kept, lines, summary

    facts = day_facts(records)
    told = summary(facts, next(iter(facts.config.day)), 0)
    click.echo(json.dumps(told) if as_json else "\n".join(lines(told)))
    sys.exit(0 if kept(told) else 1)
