"""The commands `pebblehinge why`, which queries a gateway's console, and `plan`, the capacity planner.

Packages that only one command needs are imported in the function that uses them (see `pebblehinge.cli`).
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING

import click

from pebblehinge.cli.base import (
    AS_JSON,
    JOBS,
    QUIET,
    describe_error,
    exit_with_error,
    main,
    progress_printer,
    read_settings,
    worker_count,
)
from pebblehinge.cli.days import MAX_TRIAL_REQUESTS
from pebblehinge.settings import Config

if TYPE_CHECKING:
    from pebblehinge.capacity_planner import Planner
    from pebblehinge.capacity_planner.answer import Answer
    from pebblehinge.lab.trials import World


@main.command(name="why")
@click.argument("volume")
@click.option("--console", required=True, metavar="HOST:PORT", help="Console address of the head to query.")
@click.option("--token", default="", help="Access token, if the console requires one.")
def why_command(volume: str, console: str, token: str) -> None:
    """Show where the time of VOLUME's requests went at a head, and which requests they waited for."""
    import urllib.error  # noqa: PLC0415
    import urllib.parse  # noqa: PLC0415
    import urllib.request  # noqa: PLC0415

    url = f"http://{console}/why/{urllib.parse.quote(volume, safe='')}"
    request = urllib.request.Request(url, headers={"Authorization": f"Bearer {token}"} if token else {})
    try:
        with urllib.request.urlopen(request, timeout=10.0) as response:
            click.echo(response.read().decode().rstrip())
    except urllib.error.HTTPError as error:
        exit_with_error(error.read(500).decode("utf-8", "replace").strip())
    except (OSError, ValueError) as error:
        exit_with_error(f"{console}: {getattr(error, 'reason', error)}")


@main.command(name="plan")
@click.argument("captures", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--fleet", required=True, type=click.Path(dir_okay=False), help="Settings file that describes the fleet.")
@click.option("--goal", type=float, default=0.95, show_default=True, help="Service to maintain, between 0 and 1.")
@click.option(
    "--growth", type=float, default=1.0, show_default=True, help="Load to plan for, as a multiple of the captured load."
)
@click.option(
    "--lose-zone", "zones", multiple=True, help="A zone to lose; default: each zone, each rack, a shelf, a head."
)
@click.option(
    "--head-cost", type=float, default=100.0, show_default=True, help="CPU time of an access at a head, in us."
)
@click.option("--formulas", is_flag=True, help="Print only the first answer, without trials.")
@click.option("--html", "page_file", type=click.Path(dir_okay=False), help="Also write an HTML page with a plot.")
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
    """Plan capacity from CAPTURES of heads: the first limit, the shelfs and heads needed, the effect of losses."""
    from pebblehinge.capacity_planner.report import report_lines  # noqa: PLC0415
    from pebblehinge.lab.trials import run_plan  # noqa: PLC0415

    config = read_settings(fleet, "127.0.0.1")
    progress = progress_printer(quiet)
    planner, world = prepare_plan(captures, config, goal, growth, zones, head_cost / 1000.0, formulas)
    evidence = planner.evidence
    progress(f"first answer: the goal is met up to {evidence.estimated_crossing:.2f} times the captured load")
    if not formulas and not run_plan(planner, world, worker_count(jobs), progress):
        evidence.notes.append("interrupted: the answer rests on the trials played so far")
    answer = planner.answer()
    if page_file:
        write_page(page_file, answer)
    click.echo(json.dumps(answer) if as_json else "\n".join(report_lines(answer)))


def prepare_plan(
    captures: tuple[str, ...],
    config: Config,
    goal: float,
    growth: float,
    zones: tuple[str, ...],
    gateway_cost_ms: float,
    formulas: bool,
) -> tuple[Planner, World]:
    """Reads the captures and returns the planner and the data its trials share; exits if the input is unusable.

    Args:
        captures: Paths of the gateways' captures.
        config: Settings that describe the fleet.
        goal: Service to maintain, between 0 and 1.
        growth: Load to plan for, as a multiple of the captured load.
        zones: Zones to lose; if empty, each zone, each rack, one storage node and one gateway.
        gateway_cost_ms: CPU time of a request at a gateway, in milliseconds.
        formulas: Whether no trials are run, so that their size is not limited.
    """
    from pebblehinge.capacity_planner import PlanError, Planner  # noqa: PLC0415
    from pebblehinge.capacity_planner.demand import build_demand, describe_window  # noqa: PLC0415
    from pebblehinge.capacity_planner.evidence import Evidence  # noqa: PLC0415
    from pebblehinge.capture import CaptureError, read_capture  # noqa: PLC0415
    from pebblehinge.lab.replay import merge  # noqa: PLC0415
    from pebblehinge.lab.trials import WINDOW_S, world_of  # noqa: PLC0415

    try:
        rows, notes = merge([read_capture(path) for path in captures])
        captured_demand = build_demand(rows, config)
        begin, end = captured_demand.busiest_window(WINDOW_S)
        world = world_of(config, rows, begin, end)
        demand = build_demand(world.rows, config, min_requests=20, complete=False)
        check_zones(zones, config)
        notes += describe_window(captured_demand, begin, end)
        losses = [f"zone {zone}" for zone in zones] or None
        if len(world.rows) > MAX_TRIAL_REQUESTS and not formulas:
            raise PlanError(
                f"{len(world.rows)} accesses in {WINDOW_S} s: trials of more than {MAX_TRIAL_REQUESTS} would take too "
                "long; --formulas gives the first answer"
            )
        evidence = Evidence(demand, config, goal, growth, losses, gateway_cost_ms, notes, speed_demand=captured_demand)
        planner = Planner(evidence)
    except (CaptureError, PlanError) as error:
        exit_with_error(str(error))
    world.speeds = {slot: speed for slot, (speed, _) in evidence.speeds.items()}
    return planner, world


def check_zones(zones: tuple[str, ...], config: Config) -> None:
    """Checks that the fleet has the zones.

    Raises:
        PlanError: If a zone is not in the fleet.
    """
    from pebblehinge.capacity_planner import PlanError  # noqa: PLC0415

    known = {node.zone for node in config.shelf.values()}
    for zone in zones:
        if zone not in known:
            raise PlanError(f"zone {zone!r} is not in the fleet: expected one of {', '.join(sorted(known))}")


def write_page(path: str, answer: Answer) -> None:
    """Writes a plan's answer as an HTML page; exits if the file can't be written."""
    from pebblehinge.capacity_planner.page import render_page  # noqa: PLC0415

    try:
        Path(path).write_text(render_page(answer))
    except OSError as error:
        exit_with_error(describe_error(error))
