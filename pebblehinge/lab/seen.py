"""What clients and shelfs saw, one piece each, and what a rule says of it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class Verdict:
    """What the checker says of one rule."""

    kept: bool = True
    cases: int = 0
    nearest: float = 0.0
    offence: str = ""
    offences: int = 0

    def look(self, part: float, course: str = "") -> None:
        """One case, as a part of what is allowed; above 1 it breaks the rule."""
        self.cases += 1
        if part > self.nearest:
            self.nearest = part
        if part > 1.0 + 1e-9:
            self.offences += 1
            if self.kept:
                self.kept, self.offence = False, course

    def told(self) -> dict[str, Any]:
        said: dict[str, Any] = {"kept": self.kept, "cases": self.cases, "nearest": round(self.nearest, 4)}
        if not self.kept:
            said |= {"offences": self.offences, "first": self.offence}
        return said


@dataclass(slots=True)
class Try:
    """One access as its client saw it."""

    id: str
    op: dict[str, Any]
    sent: float
    conn: int  # which connection of its client to that head, counted
    answers: list[tuple[float, str, float]] = field(default_factory=list)
    left: float | None = None


@dataclass(slots=True)
class Got:
    """One attempt as a shelf saw it."""

    t: float
    shelf: str
    slot: int
    head: str
    n: int
    units: float
    work: float
    full: bool
    op: int
    extent: str
    label: str | None
    said: float | None = None
    unseen: bool = False
    late: bool = False  # lay in the socket of a shelf that was stopped: when it was sent is not known


@dataclass(slots=True)
class Life:
    """One life of a shelf's process."""

    name: str
    slot: int
    start: float
    cold: bool
    capacity: float
    cold_from: float
    warm_ms: float
    unit_work: float
    got: list[tuple[float, float, str]] = field(default_factory=list)
    fell: float | None = None
