"""Scene `sums`: the load of all gateways together on one storage node, and their retries.

Cases: `dead` (probe attempts a second to a node that can't be reached), `cold` (load on a node in its slow start,
relative to the bound of tests/slow_start_fleet.py, N + 2 sqrt(N) + 2), `budget` (retries a second while a tenth of the
storage nodes fail).
"""

from __future__ import annotations

import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from decisions_fleet import REQUESTS_PER_S_PER_PAIR, SETTINGS, Fleet, cumulative_weights  # noqa: E402
from slow_start_fleet import SlowStartFleet  # noqa: E402

from pebblehinge.interface import Outcome  # noqa: E402

SERVICE_TIME_MS = 15.0
FAULT_START_MS, COUNTING_START_MS, END_MS = 2_000.0, 4_000.0, 10_000.0
RETRY_BUDGET = {
    "retry_budget_share": 0.15,
    "retry_budget_min_retries": 3.0,
    "retry_budget_window_ms": 5_000.0,
}  # as in lab/days/_booking.conf
ERROR_REQUEST_SHARE = 0.1  # share of the requests that are for failing nodes


class SumsScene(Fleet):
    """One storage node whose attempts end with `outcome` from FAULT_START_MS on, and a healthy one.

    Attributes:
        rate: Requests a second for the faulty node, per gateway.
        background_rate: Requests a second for the healthy node, per gateway.
    """

    def __init__(
        self,
        gateway_count: int,
        seed: int,
        rate: float,
        background_rate: float,
        outcome: Outcome,
        shape: str,
        budget: dict[str, float],
    ) -> None:
        super().__init__(gateway_count, 2, seed, replace(SETTINGS, **budget))
        self.weights, self.rate, self.background_rate, self.outcome = (
            cumulative_weights(shape, gateway_count),
            rate,
            background_rate,
            outcome,
        )
        self.attempt_count = self.retry_count = self.request_count = 0

    def attempt_result(self, gateway: int, request: Any, attempt: Any) -> tuple[float, Outcome]:
        if attempt.node_name == "s0" and self.now >= FAULT_START_MS:
            return self.now + 1.0, self.outcome
        return self.now + SERVICE_TIME_MS, Outcome.SUCCEEDED

    def on_attempt_sent(self, gateway: int, request: Any, attempt: Any) -> None:
        if self.now >= COUNTING_START_MS:
            self.attempt_count += attempt.node_name == "s0"
            self.retry_count += request.attempt_count > 1

    def run(self) -> dict[str, float]:
        gateway_count = len(self.gateways)
        self.schedule_arrivals(self.rate * gateway_count, END_MS, lambda: self.submit_to(0))
        if self.background_rate:
            self.schedule_arrivals(self.background_rate * gateway_count, END_MS, lambda: self.submit_to(1))
        self.run_until(END_MS)
        span_s = (END_MS - COUNTING_START_MS) / 1000.0
        result = {
            "asked_s": self.request_count / span_s,
            "trips_s": self.attempt_count / span_s,
            "further_s": self.retry_count / span_s,
        }
        return {k: round(v, 1) for k, v in result.items()}

    def submit_to(self, slot: int) -> None:
        self.request_count += slot == 0 and self.now >= COUNTING_START_MS
        self.submit_request(self.draw_gateway(self.weights), slot)


def slow_start_figures(gateway_count: int, seed: int, shape: str, load: float) -> dict[str, float]:
    """Simulates a node that starts mid-run, at the planned rate; `load` is that rate as a share of full capacity."""
    fleet = SlowStartFleet(seed, gateway_count, load, shape)
    fleet.units_per_s = REQUESTS_PER_S_PER_PAIR * gateway_count * fleet.settings.mean_units / load
    fleet.requests_per_ms = REQUESTS_PER_S_PER_PAIR * gateway_count / 1000.0
    max_load, served = fleet.play()
    return {"of_line": round(max_load, 3), "served": round(served, 3)}


def points(gateway_count: int, seed: int, case: str = "") -> list[dict[str, Any]]:
    """Returns the points of one case, or of all."""
    result = []
    for shape in ("even", "zipf"):
        x = {"heads": gateway_count, "seed": seed, "shape": shape}
        if case in ("", "dead"):
            y = SumsScene(gateway_count, seed, REQUESTS_PER_S_PER_PAIR, 0.0, Outcome.CONNECT_FAILED, shape, {}).run()
            result.append({"x": {**x, "case": "dead", "pair_s": round(REQUESTS_PER_S_PER_PAIR, 2)}, "y": y})
        for load in (0.9, 1.2, 2.0) if case in ("", "cold") else ():
            y = slow_start_figures(gateway_count, seed, "skewed" if shape == "zipf" else "even", load)
            result.append({"x": {**x, "case": "cold", "asked": load}, "y": y})
        for budget in ({}, RETRY_BUDGET) if case in ("", "budget") else ():
            rate = 2.0  # requests a second per gateway; the planned size has 868, which would take too long to run
            y = SumsScene(
                gateway_count,
                seed,
                ERROR_REQUEST_SHARE * rate,
                (1 - ERROR_REQUEST_SHARE) * rate,
                Outcome.SERVER_ERROR,
                shape,
                budget,
            ).run()
            if budget:
                window_s = budget["retry_budget_window_ms"] / 1000.0
                y["allowed_s"] = round(
                    gateway_count
                    * (budget["retry_budget_min_retries"] / window_s + budget["retry_budget_share"] * rate),
                    1,
                )
                y["allowed_free_s"] = round(gateway_count * budget["retry_budget_min_retries"] / window_s, 1)
            result.append({"x": {**x, "case": "budget", "budget": bool(budget), "head_s": rate}, "y": y})
    return result
