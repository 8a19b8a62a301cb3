"""`pebblehinge lab load`: the requests of a day's clients, or of captures.

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
