"""The command `pebblehinge lab load`: sends the requests of a day's clients, or of captures.

The laboratory's packages are imported in the functions that use them (see `pebblehinge.cli`).
"""

from __future__ import annotations

import asyncio
import json

import click

from pebblehinge.cli.base import (
    FILE,
    LOOPBACK,
    RECORDS,
    SEED,
    exit_with_error,
    ms_clock,
    open_event_log,
    print_ready,
    read_settings,
    run,
    select_block,
)
from pebblehinge.cli.days import lab


@lab.command(name="load")
@FILE
@click.option("--day", "day_name", required=True, help="Day block of the file.")
@click.option("--part", type=click.IntRange(0), default=0, help="Index of this load process, from 0.")
@click.option("--parts", type=click.IntRange(1), default=1, help="Number of load processes.")
@click.option("--start", type=float, help="Start on the machine's monotonic clock, in ms; default: in 1 s.")
@click.option(
    "--replay", multiple=True, type=click.Path(dir_okay=False), help="Capture to replay instead of the day's load."
)
@click.option(
    "--speed",
    type=click.FloatRange(0.01, 1000.0),
    default=1.0,
    help="Speed of the replay, as a multiple of the original.",
)
@click.option(
    "--multiple", type=click.FloatRange(0.001, 100.0), default=1.0, help="Load, as a multiple of the captured load."
)
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
    """Send the requests of a day's clients, or of captures, and print their outcomes."""
    from pebblehinge.capture import CaptureError, read_capture  # noqa: PLC0415
    from pebblehinge.lab.clients import Crowd  # noqa: PLC0415
    from pebblehinge.lab.replay import Replay, merge  # noqa: PLC0415
    from pebblehinge.lab.rsync_load import Copies  # noqa: PLC0415

    config = read_settings(file, loopback)
    select_block(config, "day", day_name)
    replay_load = None
    if replay:
        try:
            rows, notes = merge([read_capture(path) for path in replay])
        except CaptureError as error:
            exit_with_error(str(error))
        for note in notes:
            click.echo(f"note: {note}", err=True)
        replay_load = Replay(config, rows, seed, multiple, speed, part=part, parts=parts)

    async def send_requests(loop: asyncio.AbstractEventLoop) -> int:
        clock = ms_clock(loop)
        event_log = open_event_log(records, f"load{part + 1}", loop)
        crowd = Crowd(loop, clock, config, day_name, seed, event_log, part, parts, replay_load)
        await crowd.connect_all()
        print_ready()
        begin_ms = start if start is not None else clock() + 1000.0
        crowd.start(begin_ms)
        if part == 0 and config.copies is not None and not replay:
            copies = Copies(loop, clock, config, day_name, seed, event_log)
            copies.start(begin_ms)
            await copies.ended
        await crowd.ended
        await crowd.close()
        click.echo(json.dumps({"ends": crowd.done, "late_ms": round(crowd.late_ms, 3)}))
        return 0

    run(send_requests)
