"""Scene `sums`: what all heads together do to one shelf, and spend beyond the requests that they were asked for.

Cases: `dead` (careful attempts to a shelf that can't be reached, a second), `cold` (what a cold shelf gets against the
line of tests/slow_start_fleet.py, N + 2 sqrt(N) + 2), `budget` (retries a second while a tenth of the shelfs err).
"""

from __future__ import annotations

import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from decisions_fleet import PAIR_S, SETTINGS, Fleet, weights_of  # noqa: E402
from slow_start_fleet import SlowStartFleet as ColdFleet  # noqa: E402

from pebblehinge.interface import Outcome  # noqa: E402

SHELF_MS = 15.0
DIES_MS, SETTLED_MS, END_MS = 2_000.0, 4_000.0, 10_000.0
BUDGET = {
    "retry_budget_share": 0.15,
    "retry_budget_min_retries": 3.0,
    "retry_budget_window_ms": 5_000.0,
}  # lab/days/_booking.conf
ERRING = 0.1  # of the requests asked for shelfs that err


class Sums(Fleet):
    """One shelf that is dead or errs from DIES_MS on, beside one that is well; `rate` is requests a second a head for
    the one, `beside` for the other."""

    def __init__(
        self, heads: int, seed: int, rate: float, beside: float, outcome: Outcome, shape: str, budget: dict[str, float]
    ) -> None:
        super().__init__(heads, 2, seed, replace(SETTINGS, **budget))
        self.weights, self.rate, self.beside, self.outcome = weights_of(shape, heads), rate, beside, outcome
        self.attempts = self.retries = self.asked = 0

    def answers(self, h: int, request: Any, attempt: Any) -> tuple[float, Outcome]:
        if attempt.node_name == "s0" and self.now >= DIES_MS:
            return self.now + 1.0, self.outcome
        return self.now + SHELF_MS, Outcome.SUCCEEDED

    def left(self, h: int, request: Any, attempt: Any) -> None:
        if self.now >= SETTLED_MS:
            self.attempts += attempt.node_name == "s0"
            self.retries += request.attempt_count > 1

    def figures(self) -> dict[str, float]:
        heads = len(self.heads)
        self.arrivals(self.rate * heads, END_MS, lambda: self.come(0))
        if self.beside:
            self.arrivals(self.beside * heads, END_MS, lambda: self.come(1))
        self.play(END_MS)
        span_s = (END_MS - SETTLED_MS) / 1000.0
        found = {"asked_s": self.asked / span_s, "trips_s": self.attempts / span_s, "further_s": self.retries / span_s}
        return {k: round(v, 1) for k, v in found.items()}

    def come(self, slot: int) -> None:
        self.asked += slot == 0 and self.now >= SETTLED_MS
        self.take(self.draw(self.weights), slot)


def cold(heads: int, seed: int, shape: str, asked: float) -> dict[str, float]:
    """A shelf whose warm self can do the coming size's requests a second over `asked`, started in the middle."""
    fleet = ColdFleet(seed, heads, asked, shape)
    fleet.units_per_s = PAIR_S * heads * fleet.settings.mean_units / asked
    fleet.requests_per_ms = PAIR_S * heads / 1000.0
    worst, served = fleet.play()
    return {"of_line": round(worst, 3), "served": round(served, 3)}


def points(heads: int, seed: int, case: str = "") -> list[dict[str, Any]]:
    found = []
    for shape in ("even", "zipf"):
        x = {"heads": heads, "seed": seed, "shape": shape}
        if case in ("", "dead"):
            y = Sums(heads, seed, PAIR_S, 0.0, Outcome.CONNECT_FAILED, shape, {}).figures()
            found.append({"x": {**x, "case": "dead", "pair_s": round(PAIR_S, 2)}, "y": y})
        for asked in (0.9, 1.2, 2.0) if case in ("", "cold") else ():
            y = cold(heads, seed, "skewed" if shape == "zipf" else "even", asked)
            found.append({"x": {**x, "case": "cold", "asked": asked}, "y": y})
        for budget in ({}, BUDGET) if case in ("", "budget") else ():
            rate = 2.0  # a head, of requests in all: of the 868 a second at the size, what a run can bear
            y = Sums(heads, seed, ERRING * rate, (1 - ERRING) * rate, Outcome.SERVER_ERROR, shape, budget).figures()
            if budget:
                window_s = budget["retry_budget_window_ms"] / 1000.0
                y["allowed_s"] = round(
                    heads * (budget["retry_budget_min_retries"] / window_s + budget["retry_budget_share"] * rate), 1
                )
                y["allowed_free_s"] = round(heads * budget["retry_budget_min_retries"] / window_s, 1)
            found.append({"x": {**x, "case": "budget", "budget": bool(budget), "head_s": rate}, "y": y})
    return found
