"""From a day's script to steps in time: who is struck, when it begins, when it ends. No I/O and no clock."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from typing import Any

from pebblehinge.settings import Config, ScheduledFault
from pebblehinge.settings.scheduled_faults import FAULT_KINDS

CONTROLS = {  # troubles that a shelf brings upon itself when it is told, with the names of their figures
    "slow": ("slow",),
    "hang": (),
    "fast-errors": ("errors",),
    "pauses": ("pause_ms", "pause_every_ms"),
    "neighbour": ("neighbour", "neighbour_ms"),
    "resets": ("by",),
    "garble": ("by",),
    "lost-answers": ("by",),
    "half-open": (),
    "drain": (),
}
FLAGS = {"hang": {"hang": 1.0}}


class DayError(Exception):
    """A day that can't be played: one plain line."""


@dataclass(slots=True, frozen=True)
class Step:
    """One thing to do to one part of the fleet, at a time from the load's beginning."""

    at_ms: float
    verb: str  # kill, start, freeze, thaw, stop, control, release, list
    target: str
    values: dict[str, Any] = field(default_factory=dict)
    trouble: str = ""


def struck(config: Config, trouble: ScheduledFault, rng: random.Random) -> list[str]:
    """The names that a trouble strikes: names, `rack NAME`, `zone NAME`, a share such as 25%, or `all`."""
    pool = list(config.shelf if FAULT_KINDS[trouble.name].target == "shelf" else config.head)
    chosen: list[str] = []
    words = list(trouble.target)
    while words:
        word = words.pop(0)
        if word == "all":
            chosen += pool
        elif word in ("rack", "zone"):
            if not words:
                raise DayError(f"{trouble.name}: {word} names none")
            name = words.pop(0)
            found = [s for s in pool if s in config.shelf and getattr(config.shelf[s], word) == name]
            if not found:
                raise DayError(f"{trouble.name}: no shelf stands in {word} {name!r}")
            chosen += found
        elif word.endswith("%"):
            count = max(1, round(len(pool) * float(word[:-1]) / 100.0))
            chosen += sorted(rng.sample(pool, min(count, len(pool))))
        elif word in pool:
            chosen.append(word)
        else:
            raise DayError(f"{trouble.name}: {word!r} is not there: expected one of {', '.join(pool)}")
    return list(dict.fromkeys(chosen))


def timeline(config: Config, day: str, seed: int) -> list[Step]:
    """All steps of a day but those of the load, in order of time."""
    if day not in config.day:
        raise DayError(f"day {day!r} is not there: expected one of {', '.join(config.day) or 'a day block'}")
    block = config.day[day]
    rng = random.Random(f"{seed}/{day}/troubles")
    steps: list[Step] = []
    for number, trouble in enumerate(block.at):
        where = FAULT_KINDS[trouble.name].target
        if where == "load":
            continue
        last = trouble.last or 0.0
        names = [] if where == "list" else struck(config, trouble, rng)
        steps += _steps(trouble, names, last, rng, f"{trouble.name}#{number}")
    return sorted(steps, key=lambda s: s.at_ms)


def _steps(t: ScheduledFault, names: list[str], last: float, rng: random.Random, mark: str) -> list[Step]:
    at, end = t.at, t.at + last
    if t.name == "list-stale":
        by = {"by": t.by or 0.0}
        return [
            Step(at, "list", "listing", {"verb": t.name, **by}, mark),
            Step(end, "list", "listing", {"verb": t.name, "off": 1}, mark),
        ]
    steps: list[Step] = []
    if t.name in CONTROLS:
        figures = dict(zip(CONTROLS[t.name], (t.by, t.every), strict=False)) | FLAGS.get(t.name, {})
        for name in names:
            steps.append(Step(at, "control", name, {"verb": t.name, **figures}, mark))
            steps.append(Step(end, "control", name, {"verb": t.name, "off": 1}, mark))
    elif t.name == "list-wrong":
        for name in names:
            steps.append(Step(at, "list", "listing", {"verb": t.name, "shelf": name}, mark))
            steps.append(Step(end, "list", "listing", {"verb": t.name, "shelf": name, "off": 1}, mark))
    elif t.name in ("crash", "mass-restart", "head-crash"):
        spread = (t.by or 0.0) if t.name == "mass-restart" else 0.0
        for name in names:
            late = rng.uniform(0.0, spread)
            steps.append(Step(at + late, "kill", name, {}, mark))
            steps.append(Step(end + rng.uniform(0.0, spread), "start", name, {"cold": True}, mark))
    elif t.name in ("freeze", "head-freeze"):
        for name in names:
            steps.append(Step(at, "freeze", name, {}, mark))
            steps.append(Step(end, "thaw", name, {}, mark))
    elif t.name == "head-stop":
        for name in names:
            steps.append(Step(at, "stop", name, {}, mark))
            steps.append(Step(end, "start", name, {}, mark))
    elif t.name == "head-roll":
        share = t.by if t.by is not None and t.by <= 1 else 0.3
        batch = max(1, math.floor(len(names) * share))
        turns = [names[i : i + batch] for i in range(0, len(names), batch)]
        each = last / max(1, len(turns))
        for turn, batch_names in enumerate(turns):
            for name in batch_names:
                steps.append(Step(at + turn * each, "kill", name, {}, mark))
                steps.append(Step(at + (turn + 0.6) * each, "start", name, {}, mark))
    elif t.name == "release":
        for name in names:
            steps.append(Step(at, "control", name, {"verb": "drain"}, mark))
            steps.append(Step(at + 0.6 * last, "release", name, {}, mark))
    else:
        raise DayError(f"{t.name}: no steps are known for it")
    return steps
