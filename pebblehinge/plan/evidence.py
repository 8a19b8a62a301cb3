"""What the planner knows: the formulas' first answer, the results of trials, and the curve through them."""

from __future__ import annotations

import math
from typing import Any

import numpy as np

from pebblehinge.plan.demand import Demand, PlanError, fit_speed
from pebblehinge.plan.formulas import estimate, slots_of
from pebblehinge.plan.trial import Trial, TrialResult
from pebblehinge.settings import Config

MOST = 16.0  # multiples beyond which nothing is said


class Evidence:
    """What is known of one capture and one fleet: the formulas' first answer, and the results of trials."""

    def __init__(
        self,
        demand: Demand,
        config: Config,
        goal: float = 0.95,
        growth: float = 1.0,
        lose: list[str] | None = None,
        head_cost_ms: float = 0.1,
        notes: list[str] | None = None,
        speeds_from: Demand | None = None,
    ) -> None:
        if not 0.0 < goal < 1.0:
            raise PlanError(f"a goal of {goal:g}: expected a service between 0 and 1")
        if not 0.05 <= growth <= 100.0:
            raise PlanError(f"a growth of {growth:g}: expected 0.05 to 100")
        self.demand, self.config, self.goal, self.growth = demand, config, goal, growth
        self.head_cost_ms = head_cost_ms
        self.notes = list(notes or [])
        self.speeds = fit_speed(speeds_from or demand, config)
        self.slots = slots_of(config, self.speeds)
        self.lose = losses_of(config) if lose is None else lose
        self.results: dict[Trial, TrialResult] = {}
        self.first_guess = self._guess_multiple()
        self.guess_shelfs = self._guess_shelfs()

    def service(self, multiple: float) -> float:
        return estimate(self.demand, self.config, self.slots, multiple).service

    def _guess_multiple(self) -> float:
        low, high = 0.02, MOST
        if self.service(high) >= self.goal:
            return MOST
        for _ in range(12):
            middle = math.sqrt(low * high)
            low, high = (middle, high) if self.service(middle) >= self.goal else (low, middle)
        return math.sqrt(low * high)

    def _guess_shelfs(self) -> int:
        """By the work of the busiest seconds: as many as hold it at the load that meets the goal now."""
        count = len(self.slots.order)
        return max(1, math.ceil(count * self.growth / max(0.05, self.first_guess)))

    def told(self, results: list[TrialResult]) -> None:
        for result in results:
            self.results[result.trial] = result

    def curve(self, lose: str, shelfs: int | None) -> list[tuple[float, float]]:
        """Multiple and mean service over seeds, in order."""
        by: dict[float, list[float]] = {}
        for trial, result in self.results.items():
            if trial.lose == lose and trial.shelfs == shelfs:
                by.setdefault(trial.multiple, []).append(result.service)
        return [(m, float(np.mean(v))) for m, v in sorted(by.items())]

    def bracket(self, shelfs: int | None) -> tuple[float, float]:
        """Multiples between which the goal is crossed, as far as is known."""
        curve = self.curve("", shelfs)
        below = [m for m, s in curve if s >= self.goal]
        above = [m for m, s in curve if s < self.goal]
        if not curve:
            return self.first_guess * 0.75, self.first_guess * 1.33
        if not below:
            return max(0.02, min(above) * 0.3), min(above)
        if not above:
            return max(below), min(MOST * 2, max(below) * 2.5)
        high = min((m for m in above if m > max(below)), default=max(above))
        low = max((m for m in below if m < high), default=min(below))
        return low, max(high, low * 1.01)

    def crossing(self) -> tuple[float, float, float] | None:
        """The multiple at which service falls under the goal, with bounds; None where nothing was tried."""
        curve = self.curve("", None)
        if not curve:
            return None
        # Service falls with load but for chance: the line is made to fall before it is read.
        multiples = np.array([m for m, _ in curve])
        falling = non_increasing_fit(np.array([s for _, s in curve]))

        def read(goal: float) -> float:
            if falling[-1] >= goal:
                return float(multiples[-1])
            if falling[0] < goal:
                return float(multiples[0])
            i = int(np.argmax(falling < goal))
            a, b = falling[i - 1], falling[i]
            part = (a - goal) / max(1e-9, a - b)
            return float(multiples[i - 1] + part * (multiples[i] - multiples[i - 1]))

        noise = self.noise()
        return read(self.goal), read(self.goal + noise), read(self.goal - noise)

    def noise(self) -> float:
        """How far trials that differ by their seed alone lie apart, at least half a point."""
        by: dict[tuple[Any, ...], list[float]] = {}
        for trial, result in self.results.items():
            by.setdefault((trial.multiple, trial.shelfs, trial.lose), []).append(result.service)
        apart = [np.ptp(v) for v in by.values() if len(v) > 1]
        return max(0.005, float(np.mean(apart)) if apart else 0.01)

    def bracket_shelfs(self) -> tuple[int, int]:
        tried = self.shelf_services()
        good = [n for n, s in tried if s >= self.goal]
        bad = [n for n, s in tried if s < self.goal]
        if not good:
            top = max(bad, default=self.guess_shelfs)
            return top + 1, math.ceil(top * 1.6) + 1
        low = max((n for n in bad if n < min(good)), default=max(1, min(good) // 2))
        return low, min(good)

    def shelf_services(self) -> list[tuple[int, float]]:
        by: dict[int, list[float]] = {}
        for trial, result in self.results.items():
            if trial.shelfs is not None and not trial.lose and trial.multiple == self.growth:
                by.setdefault(trial.shelfs, []).append(result.service)
        return [(n, float(np.mean(v))) for n, v in sorted(by.items())]


def losses_of(config: Config) -> list[str]:
    """What may be lost at once: every zone and rack that is not all, one shelf, one head."""
    found = []
    for what in ("zone", "rack"):
        names = sorted({getattr(s, what) for s in config.shelf.values()})
        if len(names) > 1:
            found += [f"{what} {name}" for name in names[:6]]
    if len(config.shelf) > 1:
        found.append(next(iter(config.shelf)))
    if len(config.head) > 1:
        found.append(next(iter(config.head)))
    return found


def non_increasing_fit(values: np.ndarray) -> np.ndarray:
    """The nearest line that never rises (pool adjacent violators)."""
    blocks: list[list[float]] = []
    for v in values:
        blocks.append([float(v), 1.0])
        while len(blocks) > 1 and blocks[-2][0] < blocks[-1][0]:
            (a, n), (b, m) = blocks[-2], blocks[-1]
            blocks[-2:] = [[(a * n + b * m) / (n + m), n + m]]
    return np.array([v for v, n in blocks for _ in range(int(n))])
