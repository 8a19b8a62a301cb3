"""`pebblehinge why`, `rsync` and `capacity_planner`: what asks others or only reckons."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path

import click

from pebblehinge.cli.base import (
    AS_JSON,
    JOBS,
    QUIET,
    describe,
    give_up,
    jobs_of,
    main,
    read_settings,
    run,
    say_progress,
)
from pebblehinge.cli.days import MOST_ROWS
from pebblehinge.net import parse_address


@main.command(name="why")
@click.argument("volume")
@click.option("--console", required=True, metavar="HOST:PORT", help="Of the head that is asked.")
@click.option("--token", default="", help="Where the console wants one.")
def why(volume: str, console: str, token: str) -> None:
    """Where the time of VOLUME's requests went at a head, and behind whom they waited."""
    import urllib.error
    import urllib.parse
    import urllib.request

    url = f"http://{console}/why/{urllib.parse.quote(volume, safe='')}"
    request = urllib.request.Request(url, headers={"Authorization": f"Bearer {token}"} if token else {})
    try:
        with urllib.request.urlopen(request, timeout=10.0) as response:
            click.echo(response.read().decode().rstrip())
    except urllib.error.HTTPError as error:
        give_up(error.read(500).decode("utf-8", "replace").strip())
    except (OSError, ValueError) as error:
        give_up(f"{console}: {getattr(error, 'reason', error)}")


@main.command(name="rsync-client")
@click.argument("verb", type=click.Choice(["modules", "list", "pull", "push"]))
@click.argument("where", metavar="HOST:PORT[/MODULE[/PATH]]")
@click.argument("local", required=False, type=click.Path())
@click.option("--version", type=click.IntRange(27, 31), default=31, show_default=True, help="Of the protocol.")
@click.option("--user", default="", help="Who logs in; the secret comes from --secret-file.")
@click.option("--secret-file", type=click.Path(dir_okay=False), help="Its first line.")
@click.option("--compress", is_flag=True, help="Deflate what is sent.")
@click.option("--checksum", is_flag=True, help="Compare files by their sums.")
@click.option("--delete", is_flag=True, help="With push: remove there what is not here.")
@click.option("--filter", "filters", multiple=True, help="A rule such as '- *.tmp'.")
@AS_JSON
def rsync_client(
    verb: str,
    where: str,
    local: str | None,
    version: int,
    user: str,
    secret_file: str | None,
    compress: bool,
    checksum: bool,
    delete: bool,
    filters: tuple[str, ...],
    as_json: bool,
) -> None:
    """The stand-in rsync client: list modules or files, pull to LOCAL or push LOCAL. Exits as such tools do."""
    from pebblehinge.lab.local import LocalError, read_tree, write_tree
    from pebblehinge.lab.rsync_call import Call
    from pebblehinge.lab.rsync_client import call
    from pebblehinge.rsync.stream_protocol import StreamProtocol

    address, _, path = where.partition("/")
    module, _, path = path.partition("/")
    if verb != "modules" and not module:
        give_up("a module is missing: HOST:PORT/MODULE")
    if verb in ("pull", "push") and local is None:
        give_up(f"{verb} needs a local path")

    async def ask(loop: asyncio.AbstractEventLoop) -> int:
        wanted = Call(module, version, user=user, compress=compress, checksum=checksum, delete=delete)
        wanted.filters = [os.fsencode(f) for f in filters]
        try:
            host, port = parse_address(address)
            if secret_file is not None:
                wanted.secret = Path(secret_file).read_bytes().splitlines()[0]
            if local is not None and (verb == "push" or Path(local).is_dir()):
                wanted.files = read_tree(Path(local))
        except (ValueError, IndexError, LocalError) as error:
            give_up(str(error) or f"{secret_file} is empty")
        line = StreamProtocol(loop, 60_000.0)
        await loop.create_connection(lambda: line, host, port)
        await call(line.stream, wanted, verb, path)
        line.close()
        for text in wanted.lines:
            click.echo(text)
        for _, text in wanted.said:
            click.echo(text, err=True)
        for named in wanted.listed if verb == "list" else ():
            kind = "d" if named.is_directory else "-" if named.is_file else "l"
            click.echo(f"{kind} {named.size:>12} {named.mtime} {os.fsdecode(named.name)}")
        try:
            if verb == "pull" and wanted.code in (0, 23):
                write_tree(Path(local or "."), wanted.files)
        except LocalError as error:
            give_up(str(error))
        if wanted.error:
            click.echo(f"pebblehinge: {wanted.error}", err=True)
        if as_json:
            told = {"code": wanted.code, "error": wanted.error, "files": len(wanted.moved), "literal": wanted.literal}
            click.echo(json.dumps(told | {"matched": wanted.matched}))
        elif verb in ("pull", "push"):
            click.echo(f"{len(wanted.moved)} files, {wanted.literal} bytes sent, {wanted.matched} matched")
        return wanted.code

    run(ask)


@main.command(name="plan")
@click.argument("captures", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--fleet", required=True, type=click.Path(dir_okay=False), help="Settings that describe the fleet.")
@click.option("--goal", type=float, default=0.95, show_default=True, help="Service to be held, between 0 and 1.")
@click.option("--growth", type=float, default=1.0, show_default=True, help="Load to be carried, in captures.")
@click.option("--lose-zone", "zones", multiple=True, help="A zone to lose; else every zone, rack, a shelf, a head.")
@click.option("--head-cost", type=float, default=100.0, show_default=True, help="CPU of an access at a head, in us.")
@click.option("--formulas", is_flag=True, help="The first answer alone, with no trials.")
@click.option("--html", "page_file", type=click.Path(dir_okay=False), help="Write a page with a plot too.")
@JOBS
@AS_JSON
@QUIET
def plan_command(
    captures: tuple[str, ...],
    fleet: str,
    goal: float,
    growth: float,
    zones: tuple[str, ...],
    head_cost: float,
    formulas: bool,
    page_file: str | None,
    jobs: int | None,
    as_json: bool,
    quiet: bool,
) -> None:
    """From CAPTURES of heads and a fleet: the first limit, shelfs and heads needed, what a loss would do."""
    from pebblehinge.capacity_planner import PlanError, Planner
    from pebblehinge.capacity_planner.demand import build_demand, describe_window
    from pebblehinge.capacity_planner.evidence import Evidence
    from pebblehinge.capacity_planner.report import report_lines
    from pebblehinge.capture import CaptureError, read_capture
    from pebblehinge.lab.replay import merge
    from pebblehinge.lab.trials import WINDOW_S, run_plan, world_of

    config = read_settings(fleet, "127.0.0.1")
    said = say_progress(quiet)
    try:
        rows, notes = merge([read_capture(path) for path in captures])
        whole = build_demand(rows, config)
        begin, end = whole.busiest(WINDOW_S)
        world = world_of(config, rows, begin, end)
        demand = build_demand(world.rows, config, min_requests=20, complete=False)
        known = {s.zone for s in config.shelf.values()}
        for zone in zones:
            if zone not in known:
                raise PlanError(f"zone {zone!r} is not in the fleet: expected one of {', '.join(sorted(known))}")
        notes += describe_window(whole, begin, end)
        lose = [f"zone {z}" for z in zones] or None
        if len(world.rows) > MOST_ROWS and not formulas:
            raise PlanError(
                f"{len(world.rows)} accesses in {WINDOW_S} s: trials of more than {MOST_ROWS} would run too "
                "long here; --formulas gives the first answer"
            )
        planner = Planner(Evidence(demand, config, goal, growth, lose, head_cost / 1000.0, notes, speeds_from=whole))
        world.speeds = {slot: speed for slot, (speed, _) in planner.evidence.speeds.items()}
    except (CaptureError, PlanError) as error:
        give_up(str(error))
    said(f"first answer: the goal is met up to {planner.evidence.first_guess:.2f} times the captured load")
    if not formulas and not run_plan(planner, world, jobs_of(jobs), said):
        planner.evidence.notes.append("interrupted: the answer rests on the trials played so far")
    told = planner.answer()
    if page_file:
        from pebblehinge.capacity_planner.page import render_page

        try:
            Path(page_file).write_text(render_page(told))
        except OSError as error:
            give_up(describe(error))
    click.echo(json.dumps(told) if as_json else "\n".join(report_lines(told)))
