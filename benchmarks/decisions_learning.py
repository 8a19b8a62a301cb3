"""Scene `learning`: how fast a gateway detects a fault of a storage node to which it seldom sends requests.

Cases: `slow` (each request takes SLOWDOWN_FACTOR times as long; the node serves requests in order of arrival, and its
capacity without the fault is twice the load), `hang` (no attempt is answered), `err` (each attempt fails at once).
The rate is 0.58 requests a second for each gateway and node or, in `slow-10` and so on, 10 for a third of the time. A
gateway has detected the fault ("learned") at the first request for the node, after the fault began, of which no
attempt is sent within the call of `submit`. It uses the node again ("again") at the first success of a request that
came after the fault ended; at 0.58 a request comes after 1.7 s on average. Each gateway also sends requests to healthy
nodes, fewer than at the planned size (868 a second) to limit the run time. Cost: the faulty node has more weight in
the gateway's averages than it would have there.
"""

from __future__ import annotations

import heapq
import math
from typing import Any

from decisions_fleet import LATENCY_OBJECTIVE_MS, REQUESTS_PER_S_PER_PAIR, SETTINGS, Fleet, cumulative_weights, quantile

from pebblehinge.interface import Outcome

SERVICE_TIME_MS, SLOWDOWN_FACTOR, BACKGROUND_REQUESTS_PER_S, HEALTHY_NODES = 15.0, 5.0, 3.0, 4
FAULT_START_MS, FAULT_END_MS, RUN_END_MS = 3_000.0, 15_000.0, 23_000.0
CASES = ("slow", "hang", "err", "slow-10", "hang-10", "err-10")


class LearningScene(Fleet):
    """One fault of the storage node of slot 0.

    Attributes:
        server_free_ms: Heap of the times at which each server of the node is free.
        detection_times_ms: Virtual time of the detection, by gateway.
        reuse_delays_ms: Time from the end of the fault to the first success, by gateway.
    """

    def __init__(self, gateway_count: int, seed: int, case: str, rate_per_pair: float, shape: str) -> None:
        super().__init__(gateway_count, 1 + HEALTHY_NODES, seed, SETTINGS)
        time_scale = 1.0 if rate_per_pair < 1.0 else 1 / 3
        self.fault_start_ms, self.fault_end_ms, self.end_ms = (
            FAULT_START_MS * time_scale,
            FAULT_END_MS * time_scale,
            RUN_END_MS * time_scale,
        )
        self.case, self.rate_per_pair, self.weights = case, rate_per_pair, cumulative_weights(shape, gateway_count)
        self.server_free_ms = [0.0] * max(1, math.ceil(2 * rate_per_pair * gateway_count * SERVICE_TIME_MS / 1000.0))
        self.detection_times_ms: dict[int, float] = {}
        self.reuse_delays_ms: dict[int, float] = {}
        self.request_count = self.late_before_detection = self.late_after_detection = 0

    def is_faulty(self) -> bool:
        return self.fault_start_ms <= self.now < self.fault_end_ms

    def attempt_result(self, gateway: int, request: Any, attempt: Any) -> tuple[float, Outcome]:
        if attempt.node_name != "s0":
            return self.now + SERVICE_TIME_MS, Outcome.SUCCEEDED
        if self.is_faulty() and self.case != "slow":
            return (math.inf, Outcome.TIMED_OUT) if self.case == "hang" else (self.now + 2.0, Outcome.SERVER_ERROR)
        service_ms = SERVICE_TIME_MS * (SLOWDOWN_FACTOR if self.is_faulty() else 1.0)
        end_ms = max(self.now, heapq.heappop(self.server_free_ms)) + service_ms
        heapq.heappush(self.server_free_ms, end_ms)
        return end_ms, Outcome.SUCCEEDED

    def on_request_end(self, gateway: int, request: Any, succeeded: bool, reason: str) -> None:
        if request.tag is None:
            return
        in_time = succeeded and self.now <= request.submitted_ms + LATENCY_OBJECTIVE_MS
        if request.tag == "sick" and not in_time:
            if request.submitted_ms <= self.detection_times_ms.get(gateway, math.inf):
                self.late_before_detection += 1
            else:
                self.late_after_detection += 1
        if request.tag == "well" and succeeded:
            self.reuse_delays_ms.setdefault(gateway, self.now - self.fault_end_ms)

    def submit_to(self, slot: int) -> None:
        gateway = self.draw_gateway(self.weights)
        if slot:
            self.submit_request(gateway, 1 + self.rng.randrange(HEALTHY_NODES))
            return
        tag = "sick" if self.is_faulty() else "well" if self.now >= self.fault_end_ms else None
        request = self.submit_request(gateway, 0, tag=tag)
        if tag == "sick":
            self.request_count += 1
            if not request.attempt_count:
                self.detection_times_ms.setdefault(gateway, self.now)

    def run(self) -> dict[str, Any]:
        gateway_count = len(self.gateways)
        self.schedule_arrivals(self.rate_per_pair * gateway_count, self.end_ms, lambda: self.submit_to(0))
        self.schedule_arrivals(BACKGROUND_REQUESTS_PER_S * gateway_count, self.end_ms, lambda: self.submit_to(1))
        self.run_until(self.end_ms)
        result: dict[str, Any] = {
            "asked": self.request_count,
            "lost_before": self.late_before_detection,
            "lost_after": self.late_after_detection,
            "learned": round(len(self.detection_times_ms) / gateway_count, 3),
            "again": round(len(self.reuse_delays_ms) / gateway_count, 3),
        }
        for figure, times_by_gateway, reference_ms in (
            ("learned", self.detection_times_ms, self.fault_start_ms),
            ("again", self.reuse_delays_ms, 0.0),
        ):
            times = sorted(t - reference_ms for t in times_by_gateway.values()) + [math.inf] * (
                gateway_count - len(times_by_gateway)
            )
            for fraction in (0.5, 0.99):
                quantile_ms = quantile(times, fraction)
                result[f"{figure}_p{fraction * 100:.0f}_ms"] = (
                    round(quantile_ms) if quantile_ms < math.inf else "not in the run"
                )
        return result


def points(gateway_count: int, seed: int, case: str = "") -> list[dict[str, Any]]:
    """Returns the points of one case, or of all."""
    result = []
    for case_name in (case,) if case else CASES:
        fault, is_frequent = case_name.removesuffix("-10"), case_name.endswith("-10")
        for rate_per_pair, shape in (
            ((10.0, "even"),) if is_frequent else ((REQUESTS_PER_S_PER_PAIR, "even"), (REQUESTS_PER_S_PER_PAIR, "zipf"))
        ):
            x = {
                "heads": gateway_count,
                "seed": seed,
                "fault": fault,
                "pair_s": round(rate_per_pair, 2),
                "shape": shape,
            }
            result.append({"x": x, "y": LearningScene(gateway_count, seed, fault, rate_per_pair, shape).run()})
    return result
