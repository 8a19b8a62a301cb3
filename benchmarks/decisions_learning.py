"""Scene `learning`: what one head can learn of a shelf that it asks seldom, told by what it does.

Cases: `slow` (each request takes the shelf SLOWER times as long; it serves in turn and has twice the capacity that is
asked while well), `hang` (nothing is answered), `err` (each attempt errs at once); at 0.58 requests a second a pair,
or, as `slow-10` and so on, at 10 for a third of the time. A head has learned with the first request for the shelf,
after the fault began, that does not leave within the call that brought it; the shelf is used again with the first
request that came after it was well and was succeeded (one comes after 1.7 s in the mean at 0.58). Beside it each head
asks well shelfs, less than at the size (868 a second), as a run can bear it: the sick one weighs more in the head's
means than it would there.
"""

from __future__ import annotations

import heapq
import math
from typing import Any

from decisions_fleet import EXPECTED_MS, PAIR_S, SETTINGS, Fleet, quantile, weights_of

from pebblehinge.interface import Outcome

SHELF_MS, SLOWER, BESIDE_S, WELL_SHELFS = 15.0, 5.0, 3.0, 4
FAULT_MS, WELL_MS, END_MS = 3_000.0, 15_000.0, 23_000.0
CASES = ("slow", "hang", "err", "slow-10", "hang-10", "err-10")


class Learning(Fleet):
    """One fault at the shelf of slot 0."""

    def __init__(self, heads: int, seed: int, case: str, pair_s: float, shape: str) -> None:
        super().__init__(heads, 1 + WELL_SHELFS, seed, SETTINGS)
        part = 1.0 if pair_s < 1.0 else 1 / 3
        self.fault_ms, self.well_ms, self.end_ms = FAULT_MS * part, WELL_MS * part, END_MS * part
        self.case, self.pair_s, self.weights = case, pair_s, weights_of(shape, heads)
        self.free = [0.0] * max(1, math.ceil(2 * pair_s * heads * SHELF_MS / 1000.0))  # servers, when each is free
        self.learned: dict[int, float] = {}  # head: ms after the fault
        self.again: dict[int, float] = {}
        self.asked = self.lost_before = self.lost_after = 0

    def sick(self) -> bool:
        return self.fault_ms <= self.now < self.well_ms

    def answers(self, h: int, request: Any, attempt: Any) -> tuple[float, Outcome]:
        if attempt.node_name != "s0":
            return self.now + SHELF_MS, Outcome.SUCCEEDED
        if self.sick() and self.case != "slow":
            return (math.inf, Outcome.TIMED_OUT) if self.case == "hang" else (self.now + 2.0, Outcome.SERVER_ERROR)
        takes = SHELF_MS * (SLOWER if self.sick() else 1.0)
        done = max(self.now, heapq.heappop(self.free)) + takes
        heapq.heappush(self.free, done)
        return done, Outcome.SUCCEEDED

    def over(self, h: int, request: Any, succeeded: bool, why: str) -> None:
        if request.note is None:
            return
        in_time = succeeded and self.now <= request.came_ms + EXPECTED_MS
        if request.note == "sick" and not in_time:
            if request.came_ms <= self.learned.get(h, math.inf):
                self.lost_before += 1
            else:
                self.lost_after += 1
        if request.note == "well" and succeeded:
            self.again.setdefault(h, self.now - self.well_ms)

    def come(self, slot: int) -> None:
        h = self.draw(self.weights)
        if slot:
            self.take(h, 1 + self.rng.randrange(WELL_SHELFS))
            return
        note = "sick" if self.sick() else "well" if self.now >= self.well_ms else None
        request = self.take(h, 0, note=note)
        if note == "sick":
            self.asked += 1
            if not request.attempt_count:
                self.learned.setdefault(h, self.now)

    def figures(self) -> dict[str, Any]:
        heads = len(self.heads)
        self.arrivals(self.pair_s * heads, self.end_ms, lambda: self.come(0))
        self.arrivals(BESIDE_S * heads, self.end_ms, lambda: self.come(1))
        self.play(self.end_ms)
        found: dict[str, Any] = {
            "asked": self.asked,
            "lost_before": self.lost_before,
            "lost_after": self.lost_after,
            "learned": round(len(self.learned) / heads, 3),
            "again": round(len(self.again) / heads, 3),
        }
        for name, rows, since in (("learned", self.learned, self.fault_ms), ("again", self.again, 0.0)):
            times = sorted(t - since for t in rows.values()) + [math.inf] * (heads - len(rows))
            for part in (0.5, 0.99):
                at = quantile(times, part)
                found[f"{name}_p{part * 100:.0f}_ms"] = round(at) if at < math.inf else "not in the run"
        return found


def points(heads: int, seed: int, case: str = "") -> list[dict[str, Any]]:
    found = []
    for name in (case,) if case else CASES:
        fault, often = name.removesuffix("-10"), name.endswith("-10")
        for pair_s, shape in ((10.0, "even"),) if often else ((PAIR_S, "even"), (PAIR_S, "zipf")):
            x = {"heads": heads, "seed": seed, "fault": fault, "pair_s": round(pair_s, 2), "shape": shape}
            found.append({"x": x, "y": Learning(heads, seed, fault, pair_s, shape).figures()})
    return found
