"""Scene `limits`: a plan's limit that each head keeps by its even part, before demand that comes otherwise.

Beside the heads stands a keeper of the whole limit: one store of burst and slack that is filled at the limit's rate and
lets a request wait as long as a head may. What the keeper lets through and the heads do not is lost by the split alone.
Head and keeper start as they would be found: empty where more than their part is asked, else full.
"""

from __future__ import annotations

import math
from typing import Any

from decisions_fleet import EXPECTED_MS, Fleet, weights_of, with_plan

from pebblehinge.interface import Outcome

LIMITS = (50.0, 500.0, 5_000.0)  # units a second
DEMANDS = (0.5, 0.9, 1.5)  # of the limit
SHAPES = ("even", "zipf", "ten", "bursts")
SLACKS = ("0.1 of burst", "1 a head", "4 a head")
BURST_S = 1.5  # of the limit, as the plan of examples/head.conf has it
SPAN, SHORTEST_S = 6_000.0, 2.4  # a run lasts until the limit has filled so many units, and so long at least
WARM = 0.42  # of it is not counted
IN_STEP = 10  # requests that come at once through one head, in `bursts`
SLOTS, SHELF_MS = 32, 5.0
FLOOR = 1e-6


def slack_of(name: str, burst: float, heads: int) -> float:
    return 0.1 * burst if name == "0.1 of burst" else float(name.split()[0]) * heads


class Keeper:
    """One store for the whole limit."""

    def __init__(self, rate_s: float, most: float, level: float, now: float) -> None:
        self.rate, self.most, self.level, self.at = rate_s / 1000.0, most, level, now

    def lets(self, now: float, wait_ms: float) -> bool:
        self.level = min(self.most, self.level + (now - self.at) * self.rate)
        self.at = now
        if (1.0 - self.level) / self.rate > wait_ms:
            return False
        self.level -= 1.0
        return True


class Limits(Fleet):
    """One case. `set_size` is what the heads are told of how many share the limit: all of them, unless a test lies.
    `full` starts all stores full, whatever is asked."""

    def __init__(
        self,
        heads: int,
        seed: int,
        limit: float,
        demand: float,
        shape: str,
        slack: float,
        set_size: int | None = None,
        full: bool = False,
    ) -> None:
        burst = BURST_S * limit
        self.weights, self.shape = weights_of(shape, heads), shape
        self.set_size, self.limit, self.most, self.asked_s = set_size or heads, limit, burst + slack, demand * limit
        begin = self.most / limit * 1000.0 + 1.0  # by then the store of a head that was started at 0 is full
        span_ms = max(SPAN / limit, SHORTEST_S) * 1000.0
        self.end_ms, self.counted_ms = begin + span_ms, begin + WARM * span_ms
        born = []
        for h in range(heads):
            part = (self.weights[h] - (self.weights[h - 1] if h else 0.0)) / self.weights[-1]
            born.append(0.0 if full or part * demand * heads < 1.0 else begin)
        super().__init__(heads, SLOTS, seed, with_plan(limit, burst, slack), born)
        self.now = begin
        self.keeper = Keeper(limit, self.most, self.most if demand < 1.0 else 0.0, begin)
        self.asked = self.let = self.pushed = self.used = 0
        self.sends: list[float] = []

    def answers(self, h: int, request: Any, attempt: Any) -> tuple[float, Outcome]:
        return self.now + SHELF_MS, Outcome.SUCCEEDED

    def left(self, h: int, request: Any, attempt: Any) -> None:
        if request.attempt_count == 1:
            self.sends.append(self.now)
            self.used += self.counted_ms <= self.now < self.end_ms

    def over(self, h: int, request: Any, succeeded: bool, why: str) -> None:
        self.pushed += request.note and not succeeded

    def come(self) -> None:
        h = self.draw(self.weights)
        for _ in range(IN_STEP if self.shape == "bursts" else 1):
            counted = self.now >= self.counted_ms
            self.asked += counted
            self.let += self.keeper.lets(self.now, EXPECTED_MS - 2 * self.cfg.clock_resolution_ms) and counted
            self.take(h, self.rng.randrange(SLOTS), "limited", "v", self.set_size, counted)

    def figures(self) -> dict[str, float]:
        rate = self.asked_s / (IN_STEP if self.shape == "bursts" else 1)
        self.arrivals(rate, self.end_ms, self.come)
        self.play(self.end_ms + 3_000.0)
        due = self.limit * (self.end_ms - self.counted_ms) / 1000.0
        return {
            "asked": self.asked,
            "used_of_limit": round(self.used / due, 4),
            "keeper_of_limit": round(self.let / due, 4),
            "pushed_back": round(self.pushed / max(1, self.asked), 4),
            "lost_by_split": round((self.let - self.used) / max(1, self.asked), 4),
            "store_used": round(self.deepest(), 4),
        }

    def deepest(self) -> float:
        """Rule 5 over all heads: how much of burst and slack was used at the worst moment. Over 1 breaks the rule."""
        level, at, least = self.most, -math.inf, self.most
        for when in self.sends:
            level = min(self.most, level + (when - at) * self.limit / 1000.0) - 1.0
            at, least = when, min(least, level)
        return (self.most - least) / self.most


def points(heads: int, seed: int, case: str = "") -> list[dict[str, Any]]:
    """All cases of one limit, or of all. At the largest limit a unit a head is less than the stated slack: left out."""
    found = []
    for limit in [float(case)] if case else LIMITS:
        for name in SLACKS if limit < LIMITS[-1] else (SLACKS[0], SLACKS[2]):
            slack = slack_of(name, BURST_S * limit, heads)
            for shape in SHAPES:
                for demand in DEMANDS:
                    x = {
                        "heads": heads,
                        "seed": seed,
                        "limit": limit,
                        "burst": BURST_S * limit,
                        "slack": slack,
                        "slack_as": name,
                        "shape": shape,
                        "demand": demand,
                    }
                    found.append({"x": x, "y": Limits(heads, seed, limit, demand, shape, slack).figures()})
    return found
