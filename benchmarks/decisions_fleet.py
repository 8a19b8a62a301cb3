"""Discrete-event simulation of many gateways that run the real decision module in virtual time.

Each gateway is a `pebblehinge.decide.Scheduler` and knows only what its own calls tell it; gateways share nothing but
the storage nodes. Times are virtual milliseconds. A scene derives from `Fleet`, defines the result of an attempt
(`attempt_result`), and may observe each attempt that is sent (`on_attempt_sent`) and each request that ends
(`on_request_end`).
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from pebblehinge.decide import Scheduler
from pebblehinge.interface import (
    Changes,
    DeduplicationScope,
    EndpointEntry,
    EndpointState,
    FinalAnswerKind,
    Idempotency,
    ListKind,
    Outcome,
    QuotaPlan,
    RequestClass,
    Settings,
)

LATENCY_OBJECTIVE_MS, MAX_WAIT_MS = 400.0, 2_500.0  # the class `doc-read` of examples/head.conf
GATEWAY_COUNT, NODE_COUNT, REQUESTS_PER_S = 910, 1_500, 790_000.0  # the planned size
REQUESTS_PER_S_PER_PAIR = REQUESTS_PER_S / (GATEWAY_COUNT * NODE_COUNT)  # 0.58 for each gateway and node

READ_CLASS = RequestClass(
    "read", 2.0, LATENCY_OBJECTIVE_MS, MAX_WAIT_MS, 0.1, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0.0, False
)
UNLIMITED_PLAN = QuotaPlan("free", 1e6, 0.0, 0.0, 0.0, 0.0, 1.0, 1.0)
SETTINGS = Settings(
    request_classes=(READ_CLASS,),
    quota_plans=(UNLIMITED_PLAN,),
    mean_units=1.0,
    max_units=1.0,
    share_value=0.35,
    excess_value=0.05,
    must_request_watch=False,
    clients_mark_retries=True,
    cancellation_allowed=True,
    max_retry_after_ms=500.0,
    max_attempts=3,
    clock_resolution_ms=2.0,
    slow_start_initial_share=0.3,
    slow_start_duration_ms=10_000.0,
    slow_start_failure_multiple=2.0,
    order_settle_ms=0.0,
    retry_budget_share=None,
    retry_budget_min_retries=0.0,
    retry_budget_window_ms=5_000.0,
)


def cumulative_weights(shape: str, gateway_count: int) -> list[float]:
    """Returns running sums of the gateways' demand: `zipf` is 1/rank, `ten` even over ten, else even over all."""
    weight_functions = {"zipf": lambda gateway: 1.0 / (gateway + 1), "ten": lambda gateway: float(gateway < 10)}
    weight: Callable[[int], float] = weight_functions.get(shape, lambda gateway: 1.0)
    return list(itertools.accumulate(weight(gateway) for gateway in range(gateway_count)))


def quantile(sorted_values: list[float], fraction: float) -> float:
    """Returns the value below which this fraction of the sorted values lies: the last for 1, infinity for no values."""
    return sorted_values[min(len(sorted_values) - 1, int(fraction * len(sorted_values)))] if sorted_values else math.inf


class Fleet:
    """Gateways, and storage nodes with one slot each.

    Attributes:
        events: Heap of (time, sequence number, callback, arguments).
        wake_up_times_ms: The next wake-up of each gateway; infinity for none.
    """

    def __init__(
        self,
        gateway_count: int,
        node_count: int,
        seed: int,
        settings: Settings,
        start_times_ms: list[float] | None = None,
    ) -> None:
        """Creates and starts the gateways at `start_times_ms`, which may be less than 0, or else at 0."""
        self.rng, self.settings = random.Random(seed), settings
        self.now, self.sequence, self.request_ids = 0.0, itertools.count(), itertools.count(1)
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.wake_up_times_ms = [math.inf] * gateway_count
        entries = [EndpointEntry(f"s{slot}", EndpointState.READY, slot, 0.0) for slot in range(node_count)]
        self.gateways: list[Scheduler] = []
        for gateway in range(gateway_count):
            start_ms = start_times_ms[gateway] if start_times_ms else 0.0
            self.gateways.append(Scheduler(settings, self.rng.randrange(1 << 30), start_ms))
            self.gateways[gateway].start(start_ms)
            self.gateways[gateway].apply_endpoint_list(start_ms, ListKind.WHOLE, entries)

    # ---- defined by a scene

    def attempt_result(self, gateway: int, request: Any, attempt: Any) -> tuple[float, Outcome]:
        """Returns when an attempt sent now ends, and how. An attempt that lasts past its deadline times out there."""
        raise NotImplementedError

    def on_attempt_sent(self, gateway: int, request: Any, attempt: Any) -> None:
        """Called when an attempt is sent."""

    def on_request_end(self, gateway: int, request: Any, succeeded: bool, reason: str) -> None:
        """Called when a request has its answer: a node's success, or a final answer of the decision module."""

    # ---- the simulation

    def schedule(self, time_ms: float, callback: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.events, (time_ms, next(self.sequence), callback, args))

    def run_until(self, until_ms: float) -> None:
        """Runs all events before a time."""
        events, pop = self.events, heapq.heappop
        while events and events[0][0] < until_ms:
            self.now, _, callback, args = pop(events)
            callback(*args)
        self.now = until_ms

    def schedule_arrivals(self, rate_s: float, until_ms: float, on_arrival: Callable[[], None]) -> None:
        """Calls `on_arrival` at the times of a Poisson process, from now until a time."""
        time_ms = self.now + self.rng.expovariate(rate_s / 1000.0)
        if time_ms < until_ms:
            self.schedule(time_ms, self._on_arrival, rate_s, until_ms, on_arrival)

    def _on_arrival(self, rate_s: float, until_ms: float, on_arrival: Callable[[], None]) -> None:
        on_arrival()
        self.schedule_arrivals(rate_s, until_ms, on_arrival)

    def draw_gateway(self, weights: list[float]) -> int:
        return bisect_left(weights, self.rng.random() * weights[-1])

    def submit_request(
        self, gateway: int, slot: int, plan: str = "free", volume: str = "v", set_size: int = 1, tag: Any = None
    ) -> Any:
        """Submits a client's request of one unit now; returns its handle."""
        until_ms = self.now + MAX_WAIT_MS
        request, changes = self.gateways[gateway].submit(
            self.now, next(self.request_ids), None, "read", plan, volume, set_size, slot, 1.0, until_ms, False
        )
        request.tag, request.submitted_ms = tag, self.now  # set before apply_changes calls what reads them
        self.apply_changes(gateway, changes)
        return request

    def apply_changes(self, gateway: int, changes: Changes) -> None:
        for request in changes.handles:
            attempts, cancellations, answer = request.drain()
            for attempt in attempts:
                self.on_attempt_sent(gateway, request, attempt)
                time_ms, outcome = self.attempt_result(gateway, request, attempt)
                if time_ms > attempt.deadline_ms:
                    time_ms, outcome = attempt.deadline_ms, Outcome.TIMED_OUT
                self.schedule(
                    max(time_ms, self.now),
                    self._on_attempt_end,
                    gateway,
                    request,
                    request.attempt_count - 1,
                    outcome,
                    self.now,
                )
            if answer is not None:
                self.on_request_end(
                    gateway, request, False, answer.reason if answer.kind is FinalAnswerKind.REJECTED else "terminated"
                )
            for attempt_number in cancellations:
                self.schedule(
                    self.now, self._on_attempt_end, gateway, request, attempt_number, Outcome.CANCELLED, self.now
                )
        if changes.wake_ms is not None and changes.wake_ms < self.wake_up_times_ms[gateway]:
            self.wake_up_times_ms[gateway] = changes.wake_ms
            self.schedule(changes.wake_ms, self._on_wake_up, gateway, changes.wake_ms)

    def _on_wake_up(self, gateway: int, scheduled_ms: float) -> None:
        if self.wake_up_times_ms[gateway] == scheduled_ms:  # else an earlier wake-up replaced this one
            self.wake_up_times_ms[gateway] = math.inf
            self.apply_changes(gateway, self.gateways[gateway].on_wake_up(self.now))

    def _on_attempt_end(
        self, gateway: int, request: Any, attempt_number: int, outcome: Outcome, sent_ms: float
    ) -> None:
        if not request.attempt_in_flight or attempt_number != request.attempt_count - 1:
            return
        succeeded = outcome is Outcome.SUCCEEDED
        if succeeded and not request.closed:
            self.on_request_end(gateway, request, True, "")
        self.apply_changes(
            gateway,
            request.on_attempt_end(self.now, attempt_number, outcome, succeeded or request.closed, self.now - sent_ms),
        )


def settings_with_limit(limit: float, burst: float, slack: float, **setting_values: Any) -> Settings:
    """Returns the settings with one more quota plan, which has a rate limit."""
    return replace(
        SETTINGS,
        quota_plans=(UNLIMITED_PLAN, QuotaPlan("limited", 1e6, 0.0, limit, burst, slack, 1.0, 1.0)),
        **setting_values,
    )
