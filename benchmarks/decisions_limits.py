"""Scene `limits`: a rate limit of a quota plan that is split evenly over the gateways, under demand that may be uneven.

For comparison, one shared token bucket enforces the whole limit: it holds burst and slack, is refilled at the limit
rate, and lets a request wait as long as a gateway may. What it admits and the gateways do not is lost by the split
alone. Gateways and shared bucket start in their steady state: empty where demand exceeds their part, else full.
"""

from __future__ import annotations

import math
from typing import Any

from decisions_fleet import LATENCY_OBJECTIVE_MS, Fleet, cumulative_weights, settings_with_limit

from pebblehinge.interface import Outcome

LIMITS_PER_S = (50.0, 500.0, 5_000.0)  # in units
DEMAND_FRACTIONS = (0.5, 0.9, 1.5)  # as fractions of the limit
SHAPES = ("even", "zipf", "ten", "bursts")
SLACK_NAMES = ("0.1 of burst", "1 a head", "4 a head")
BURST_S = 1.5  # burst in seconds of the limit rate, as in the plan of examples/head.conf
RUN_LIMIT_UNITS, MIN_RUN_S = 6_000.0, 2.4  # a run lasts until the limit has allowed so many units, and at least so long
WARM_UP_FRACTION = 0.42  # share of the run that is not counted
REQUESTS_PER_BURST = 10  # in the shape `bursts`, requests that come at once through one gateway
SLOTS, SERVICE_TIME_MS = 32, 5.0
FLOOR = 1e-6


def slack_units(slack_name: str, burst: float, gateway_count: int) -> float:
    return 0.1 * burst if slack_name == "0.1 of burst" else float(slack_name.split()[0]) * gateway_count


class SharedTokenBucket:
    """A token bucket for the whole limit, shared by all gateways."""

    def __init__(self, rate_s: float, capacity: float, level: float, now: float) -> None:
        self.rate, self.capacity, self.level, self.updated_ms = rate_s / 1000.0, capacity, level, now

    def admit(self, now: float, wait_ms: float) -> bool:
        self.level = min(self.capacity, self.level + (now - self.updated_ms) * self.rate)
        self.updated_ms = now
        if (1.0 - self.level) / self.rate > wait_ms:
            return False
        self.level -= 1.0
        return True


class LimitsScene(Fleet):
    """One case of limit, demand and slack.

    Attributes:
        set_size: How many gateways share the limit, as the gateways are told: all of them, unless a test sets another.
        shared_admitted: Number of counted requests that the shared bucket admits.
    """

    def __init__(
        self,
        gateway_count: int,
        seed: int,
        limit: float,
        demand: float,
        shape: str,
        slack: float,
        set_size: int | None = None,
        starts_full: bool = False,
    ) -> None:
        """Creates the gateways; with `starts_full` all their buckets start full, whatever the demand."""
        burst = BURST_S * limit
        self.weights, self.shape = cumulative_weights(shape, gateway_count), shape
        self.set_size, self.limit, self.capacity, self.demand_per_s = (
            set_size or gateway_count,
            limit,
            burst + slack,
            demand * limit,
        )
        start_ms = self.capacity / limit * 1000.0 + 1.0  # by then the bucket of a gateway started at 0 is full
        span_ms = max(RUN_LIMIT_UNITS / limit, MIN_RUN_S) * 1000.0
        self.end_ms, self.counting_start_ms = start_ms + span_ms, start_ms + WARM_UP_FRACTION * span_ms
        start_times_ms = []
        for gateway in range(gateway_count):
            demand_share = (self.weights[gateway] - (self.weights[gateway - 1] if gateway else 0.0)) / self.weights[-1]
            start_times_ms.append(0.0 if starts_full or demand_share * demand * gateway_count < 1.0 else start_ms)
        super().__init__(gateway_count, SLOTS, seed, settings_with_limit(limit, burst, slack), start_times_ms)
        self.now = start_ms
        self.shared_bucket = SharedTokenBucket(limit, self.capacity, self.capacity if demand < 1.0 else 0.0, start_ms)
        self.request_count = self.shared_admitted = self.failed_count = self.sent_count = 0
        self.send_times_ms: list[float] = []

    def attempt_result(self, gateway: int, request: Any, attempt: Any) -> tuple[float, Outcome]:
        return self.now + SERVICE_TIME_MS, Outcome.SUCCEEDED

    def on_attempt_sent(self, gateway: int, request: Any, attempt: Any) -> None:
        if request.attempt_count == 1:
            self.send_times_ms.append(self.now)
            self.sent_count += self.counting_start_ms <= self.now < self.end_ms

    def on_request_end(self, gateway: int, request: Any, succeeded: bool, reason: str) -> None:
        self.failed_count += request.tag and not succeeded

    def submit_next(self) -> None:
        gateway = self.draw_gateway(self.weights)
        for _ in range(REQUESTS_PER_BURST if self.shape == "bursts" else 1):
            is_counted = self.now >= self.counting_start_ms
            self.request_count += is_counted
            self.shared_admitted += (
                self.shared_bucket.admit(self.now, LATENCY_OBJECTIVE_MS - 2 * self.settings.clock_resolution_ms)
                and is_counted
            )
            self.submit_request(gateway, self.rng.randrange(SLOTS), "limited", "v", self.set_size, is_counted)

    def run(self) -> dict[str, float]:
        rate = self.demand_per_s / (REQUESTS_PER_BURST if self.shape == "bursts" else 1)
        self.schedule_arrivals(rate, self.end_ms, self.submit_next)
        self.run_until(self.end_ms + 3_000.0)
        limit_units = self.limit * (self.end_ms - self.counting_start_ms) / 1000.0
        return {
            "asked": self.request_count,
            "used_of_limit": round(self.sent_count / limit_units, 4),
            "keeper_of_limit": round(self.shared_admitted / limit_units, 4),
            "pushed_back": round(self.failed_count / max(1, self.request_count), 4),
            "lost_by_split": round((self.shared_admitted - self.sent_count) / max(1, self.request_count), 4),
            "store_used": round(self.max_store_use(), 4),
        }

    def max_store_use(self) -> float:
        """Returns the largest share of burst and slack in use by all gateways at once; above 1 it violates rule 5."""
        level, updated_ms, lowest_level = self.capacity, -math.inf, self.capacity
        for sent_ms in self.send_times_ms:
            level = min(self.capacity, level + (sent_ms - updated_ms) * self.limit / 1000.0) - 1.0
            updated_ms, lowest_level = sent_ms, min(lowest_level, level)
        return (self.capacity - lowest_level) / self.capacity


def points(gateway_count: int, seed: int, case: str = "") -> list[dict[str, Any]]:
    """Returns all cases of one limit, or of all.

    The largest limit omits the slack of 1 unit per gateway, which is less than 0.1 of the burst below 750 gateways.
    """
    result = []
    for limit in [float(case)] if case else LIMITS_PER_S:
        for slack_name in SLACK_NAMES if limit < LIMITS_PER_S[-1] else (SLACK_NAMES[0], SLACK_NAMES[2]):
            slack = slack_units(slack_name, BURST_S * limit, gateway_count)
            for shape in SHAPES:
                for demand in DEMAND_FRACTIONS:
                    x = {
                        "heads": gateway_count,
                        "seed": seed,
                        "limit": limit,
                        "burst": BURST_S * limit,
                        "slack": slack,
                        "slack_as": slack_name,
                        "shape": shape,
                        "demand": demand,
                    }
                    result.append({"x": x, "y": LimitsScene(gateway_count, seed, limit, demand, shape, slack).run()})
    return result
