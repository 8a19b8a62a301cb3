"""One cap of the tree: where it stands, what it is now, what the coming size needs of it. Used by `caps.py`."""

from __future__ import annotations

import ast
import importlib
import re
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from msgspec.structs import fields

ROOT = Path(__file__).resolve().parents[1]
ENOUGH, RAISED, LOW, NAMED = "enough", "raised", "too low, named", "named"


@dataclass(slots=True, frozen=True)
class Cap:
    """`mark` is what its line in `file` holds, `value` reads it from the code, `needed` is what HEADS heads and SHELFS
    shelfs (or the size that `why` tells) need of it; None where that says nothing. `verdict`: ENOUGH and LOW must agree
    with value and need; RAISED was too low before; NAMED has no need that is one figure."""

    name: str
    file: str
    mark: str
    value: Callable[[], float]
    unit: str
    bounds: str
    needed: float | None
    why: str
    reached: str
    verdict: str
    memory: str = ""

    def line(self) -> int:
        """The line of the mark; it must stand in the file once."""
        lines = (ROOT / self.file).read_text().splitlines()
        found = [n for n, text in enumerate(lines, 1) if self.mark in text]
        if len(found) != 1:
            raise LookupError(f"{self.file}: {self.mark!r} stands in {len(found)} lines, expected one")
        return found[0]

    def point(self) -> dict[str, Any]:
        y = {
            "line": self.line(),
            "value": self.value(),
            "unit": self.unit,
            "bounds": self.bounds,
            "needed": self.needed,
            "why": self.why,
            "reached": self.reached,
            "verdict": self.verdict,
            "memory": self.memory,
        }
        return {"x": {"cap": self.name, "file": self.file}, "y": y}


def constant(module: str, name: str) -> Callable[[], float]:
    """A module's constant."""
    return lambda: getattr(importlib.import_module(module), name)


def default(block: type, name: str) -> Callable[[], float]:
    """What a settings block has where the file says nothing."""
    return lambda: next(f.default for f in fields(block) if f.name == name)


def inline(file: str, pattern: str) -> Callable[[], float]:
    """A figure that stands in an expression: what the pattern's group finds, read as a literal."""

    def read() -> float:
        found = re.findall(pattern, (ROOT / file).read_text())
        if len(found) != 1:
            raise LookupError(f"{file}: {pattern!r} is found {len(found)} times, expected once")
        return ast.literal_eval(found[0])

    return read


def faults(caps: list[Cap]) -> list[str]:
    """What of the list is not so: values under what is needed, and verdicts that the values do not bear out."""
    found = []
    for cap in caps:
        value = cap.value()
        if cap.needed is None:
            if cap.verdict in (ENOUGH, LOW) and not cap.why:
                found.append(f"{cap.name}: {cap.verdict} with neither a need nor a reason")
        elif cap.verdict in (ENOUGH, RAISED) and value < cap.needed:
            found.append(f"{cap.name}: {value:g} is called {cap.verdict}, {cap.needed:g} are needed")
        elif cap.verdict == LOW and value >= cap.needed:
            found.append(f"{cap.name}: {value:g} is called too low, {cap.needed:g} are needed")
    return found
