"""A trial that the planner asks for, and what it showed."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Trial:
    """One run in virtual time: the captured peak at a multiple, on so many shelfs, with a loss at its middle."""

    multiple: float
    seed: int
    shelfs: int | None = None  # None: the fleet as it stands, with data where it lies
    lose: str = ""  # a head's, shelf's name, `rack NAME`, `zone NAME`
    blur_ms: float = 1_000.0  # how far from their originals the copies of grown load come


@dataclass(slots=True)
class TrialResult:
    """What a trial showed."""

    trial: Trial
    service: float
    by_plan: dict[str, float]
    lost_by_shelf: dict[str, float]  # importance lost, as a part of all due
    lost_by_limit: dict[str, float]  # the same at volumes whose plan has a limit, by their limit
    during: float = 0.0  # service while what was lost is away
    after: float = 0.0  # service in the cold return
