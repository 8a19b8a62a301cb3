"""The planner: asks for trials in batches, and turns what they showed into an answer. No I/O, no clock, no loop.

planner = Planner(demand, config, goal=0.95)
while (batch := planner.ask()):
    planner.told([play(trial) for trial in batch])     # or fewer results: it can stop at any time
planner.answer()
"""

from __future__ import annotations

import math
from dataclasses import replace
from typing import Any

import numpy as np

from pebblehinge.plan.answer import answer
from pebblehinge.plan.demand import Demand
from pebblehinge.plan.evidence import Evidence
from pebblehinge.plan.trial import Trial
from pebblehinge.settings import Config

GRID = (0.75, 0.87, 1.0, 1.15, 1.33)  # around the formulas' multiple, in the first batch


class Planner(Evidence):
    """Reasons over one capture and one fleet."""

    def __init__(
        self,
        demand: Demand,
        config: Config,
        goal: float = 0.95,
        growth: float = 1.0,
        lose: list[str] | None = None,
        head_cost_ms: float = 0.1,
        notes: list[str] | None = None,
        seeds: tuple[int, ...] = (101, 202),
        speeds_from: Demand | None = None,
    ) -> None:
        super().__init__(demand, config, goal, growth, lose, head_cost_ms, notes, speeds_from)
        self.seeds = seeds
        self.asked: set[Trial] = set()
        self.stage = 0
        self.blur_ms = blur_of(demand)

    def ask(self) -> list[Trial]:
        """The next batch, or none. Trials of one batch do not depend on each other."""
        while self.stage < 6:
            batch = [replace(t, blur_ms=self.blur_ms) for t in self._batch(self.stage)]
            batch = [t for t in batch if t not in self.asked]
            self.stage += 1
            if batch:
                self.asked.update(batch)
                return batch
        return []

    def _batch(self, stage: int) -> list[Trial]:
        if stage == 0:
            grid = [Trial(round(self.first_guess * g, 3), s) for g in GRID for s in self.seeds[:1]]
            return [*grid, *(Trial(1.0, s) for s in self.seeds)]
        if stage == 1:  # the crossing may stand outside of the grid
            low, high = self.bracket(None)
            return [Trial(round(m, 3), self.seeds[0]) for m in _between(low, high)]
        if stage == 2:  # narrower, with every seed
            low, high = self.bracket(None)
            middle = math.sqrt(low * high)
            return [Trial(round(m, 3), s) for m in (low, middle, high) for s in self.seeds]
        if stage == 3:
            # What trials showed of the load that the fleet holds says more than the formulas did.
            found = self.crossing()
            guess = self.guess_shelfs
            if found is not None:
                guess = max(1, math.ceil(len(self.slots.order) * self.growth / max(0.05, found[0])))
            spread = sorted({max(1, math.ceil(guess * f)) for f in (0.7, 0.8, 0.9, 1.0, 1.1, 1.25, 1.5)})
            shelf_trials = [Trial(self.growth, self.seeds[0], n) for n in spread]
            return [*shelf_trials, *(Trial(1.0, s, None, what) for what in self.lose for s in self.seeds)]
        low_n, high_n = self.bracket_shelfs()
        step = max(1, (high_n - low_n) // (5 if stage == 4 else 3))
        return [Trial(self.growth, s, n) for n in range(low_n, high_n + 1, step) for s in self.seeds]

    def answer(self) -> dict[str, Any]:
        """What is known by now: the object that `--json` prints."""
        return answer(self)


def blur_of(demand: Demand) -> float:
    """How far copies may stray: a few seconds, so that chance crowding is not copied with the load; a part of a
    second where the load has a spike that is shorter, and that is the design case."""
    tenths = np.bincount((demand.at / 100.0).astype(int), demand.units)
    if len(tenths) < 50:
        return 1_000.0
    smooth = np.convolve(tenths, np.ones(5) / 5, "valid")
    return 300.0 if smooth.max() > 1.8 * tenths.mean() else 3_000.0


def _between(low: float, high: float) -> list[float]:
    """Bounds and four multiples between them, in even steps of their ratio."""
    ratio = (high / low) ** 0.2
    return [low * ratio**k for k in range(6)]
