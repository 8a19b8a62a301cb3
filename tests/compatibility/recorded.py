"""A small day in virtual time, played and judged by the commands of 6837705."""

from __future__ import annotations

import functools
import hashlib
import json
from pathlib import Path
from typing import Any

from click.testing import CliRunner
from plain import plain

from pebblehinge.cli import main
from pebblehinge.lab.check import DayFacts
from pebblehinge.settings import Config
from pebblehinge.settings.load import loads

DAY = Path(__file__).parent / "day.conf"


def _called(*words: str) -> tuple[int, Any]:
    """The exit status, and the object that is printed less the program's version."""
    result = CliRunner().invoke(main, words)
    told = json.loads(result.stdout)
    told.pop("program")
    return result.exit_code, told


def played(folder: Path) -> tuple[int, Any]:
    """Plays the day; its records and captures go to a new folder."""
    folder.mkdir()
    words = ("--virtual", "--seed", "4", "--quiet", "--json", "--records", str(folder))
    return _called("lab", "day", str(DAY), *words)


def judged(folder: Path) -> tuple[int, Any]:
    """Judges the rules from records."""
    return _called("lab", "check", "--json", str(folder))


@functools.cache
def settings(text: str) -> Config:
    """What is in force in a day, read once."""
    return loads(text)


def facts(folder: Path) -> dict[str, str]:
    """A digest of each sort of facts that are read from records, by place."""
    day = DayFacts.read(folder, settings((folder / "day.conf").read_text()))
    parts = {
        "tries": day.tries,
        "operations": day.ops,
        "ends": day.done,
        "more answers": day.extra,
        "attempts": day.attempts,
        "effects": day.effects,
        "lives": day.lives,
        "told": day.told,
        "away": day.away,
        "cuts": sorted(day.cuts),
        "steps": day.steps,
        "times": [day.begin, day.end],
        "saves": day.saves,
    }
    return {name: hashlib.sha256(json.dumps(plain(part)).encode()).hexdigest()[:16] for name, part in parts.items()}
