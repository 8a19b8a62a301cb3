"""What stand-ins do with a scenario's own load, which never sees the capture. Used by `plan_check.py`."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import msgspec

from pebblehinge.capacity_planner import Trial
from pebblehinge.lab.load import Draw
from pebblehinge.lab.simulated_fleet import play
from pebblehinge.lab.trials import AWAY_MS, WINDOW_S, fleet_of, read
from pebblehinge.settings import Config, ScheduledFault, render_settings
from pebblehinge.settings.load import loads


def altered(config: Config, multiple: float, at: list[ScheduledFault] | None = None) -> Config:
    load = msgspec.structs.replace(config.load, rate=config.load.rate * multiple)
    day = config.day["d"]
    day = msgspec.structs.replace(day, at=[*day.at, *(at or [])])
    return msgspec.structs.replace(config, load=load, day={"d": day})


class Relaid(Draw):
    """The scenario's own load on another fleet: the same runs, their data laid out anew."""

    def __init__(self, config: Config, fleet: Config, places: dict[str, list[int]], seed: int) -> None:
        super().__init__(config, "d", seed)
        for ways in self.ways:
            ways.slots = places.get(ways.name, ways.slots)
            ways.heads = [h for h in ways.heads if h in fleet.head]


def truth(job: tuple[str, float, int, int | None, str, dict[str, list[int]] | None]) -> Any:
    """One run of the stand-ins in virtual time."""
    text, multiple, seed, shelfs, lose, places = job
    config = loads(text)
    at = []
    if lose:
        name = "head-crash" if lose in config.head else "mass-restart"
        half = 0.35 * min(WINDOW_S * 1000.0, config.day["d"].length)
        at = [ScheduledFault(at=half, name=name, target=lose.split(), last=AWAY_MS)]
    config = altered(config, multiple, at)
    draw = None
    if shelfs is not None:
        fleet = fleet_of(config, shelfs)
        # What draws the runs must not change: the load is that of the fleet as it was described.
        draw = Relaid(config, fleet, places or {}, SAME_WAYS)
        draw.rng.seed(f"{seed}/truth")
        config = fleet
    else:
        draw = Draw(config, "d", SAME_WAYS)
        draw.rng.seed(f"{seed}/truth")
    village, _ = play(config, "d", seed, draw=draw, fleet_seed=SAME_WAYS)
    return read(village.facts(), Trial(multiple, seed, shelfs, lose))


SAME_WAYS = 1  # volumes keep their shelfs and heads, shelfs their speed, over all runs; what is asked differs


SEEDS = (501, 502)


def crossing(services: dict[float, float], goal: float) -> float:
    points = sorted(services.items())
    for (a, x), (b, y) in zip(points, points[1:], strict=False):
        if x >= goal > y:
            return a + (x - goal) / (x - y) * (b - a)
    return points[-1][0] if points[-1][1] >= goal else points[0][0]


def on_sockets(text: str, multiple: float, seed: int) -> float:
    """Service of processes on sockets."""
    config = altered(loads(text), multiple)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "d.conf"
        bare = msgspec.structs.replace(config, head={}, shelf={})
        path.write_text("\n".join(render_settings(bare)) + "\n")
        done = subprocess.run(
            [sys.executable, "-m", "pebblehinge", "lab", "day", str(path), "--json", "--quiet", "--seed", str(seed)],
            capture_output=True,
            text=True,
            check=False,
        )
        if not done.stdout:
            raise RuntimeError(done.stderr)
        return float(json.loads(done.stdout)["service"])
