"""Simulates many gateways and one node in a slow start: what they send it together, against what it can handle.

Each gateway is a real scheduler, and knows only what its own calls tell it. The node starts at
`slow_start_initial_share` of its capacity and reaches all of it, at a constant rate, after `slow_start_duration_ms`. It
must never get more than `n + 2 * sqrt(n) + 2` requests of mean cost in any window of `WINDOW_MS`, where `n` is
`slow_start_failure_multiple` times what it can do in that window.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from bisect import bisect_left
from collections.abc import Callable
from typing import Any

from service_rig import SETTINGS

from pebblehinge.decide import Scheduler
from pebblehinge.interface import Changes, EndpointEntry, EndpointState, FinalAnswerKind, ListKind, Outcome, Settings
from pebblehinge.platform_settings import read_settings

SCENES = ("even", "skewed", "hot extent", "queue released", "late lists", "suspected", "returns at once")
START_MS, END_MS = 8_000.0, 28_000.0  # start of the node in a slow start, end of the simulation
WINDOW_MS = 1_000.0
UNREACHABLE_MS = 4_000.0  # how long a node that returns was unreachable before


def random_settings(rng: random.Random) -> Settings:
    """Returns random settings, over the range of real deployments."""
    initial_share, failure_multiple = rng.uniform(0.25, 0.5), rng.choice((1.5, 2.0, 3.0))
    platform_settings: dict[str, Any] = {
        **SETTINGS,
        "rules": {
            "cold_share": initial_share,
            "fall_multiple": failure_multiple,
            "warm_after_s": rng.uniform(6.0, 17.0),
        },
        "classes": [{**request_class, "give_up_s": 2.5} for request_class in SETTINGS["classes"]],
    }
    return read_settings(platform_settings)


class SlowStartFleet:
    """One random fleet.

    Attributes:
        units_per_s: Capacity of the node after its slow start.
        requests_per_ms: Rate of the requests for the node.
        is_up: Whether each node can be reached: "old", and "new" that replaces it.
        attempts: Time and cost, in requests of mean cost, of each attempt sent to the node in its slow start.
        request_count: Number of requests since the node's start.
        served_count: Number of attempts sent since then that were served.
    """

    def __init__(self, seed: int, gateway_count: int, load: float, scene: str) -> None:
        """Creates the fleet; `load` is the load on the node, as a share of its capacity after the slow start."""
        self.rng, self.scene = random.Random(seed), scene
        settings = self.settings = random_settings(self.rng)
        self.units_per_s = self.rng.uniform(8.0, 60.0)
        self.requests_per_ms = load * self.units_per_s / settings.mean_units / 1000.0
        self.now, self.sequence_numbers, self.event_queue = 0.0, itertools.count(), []  # type: ignore[var-annotated]
        self.schedulers = [Scheduler(settings, self.rng.randrange(1 << 30), 0.0) for _ in range(gateway_count)]
        self.wake_ups_ms = [math.inf] * gateway_count
        self.is_up: dict[str, bool] = {"old": True, "new": True}
        self.attempts: list[tuple[float, float]] = []
        self.request_ids, self.request_count, self.served_count = itertools.count(1), 0, 0
        weights = [1.0] * gateway_count if scene != "skewed" else [1.0 / (n + 1) for n in range(gateway_count)]
        self.cumulative_weights = list(itertools.accumulate(weights))
        for gateway in range(gateway_count):
            self.apply_changes(gateway, self.schedulers[gateway].start(0.0))
            entries = [
                EndpointEntry("old", EndpointState.READY, 0, 0.0),
                EndpointEntry("b", EndpointState.READY, 1, 0.0),
            ]
            self.apply_changes(gateway, self.schedulers[gateway].apply_endpoint_list(0.0, ListKind.WHOLE, entries))

    def schedule(self, time_ms: float, call: Callable[[], None]) -> None:
        """Schedules a call for a time."""
        heapq.heappush(self.event_queue, (time_ms, next(self.sequence_numbers), call))

    def play(self) -> tuple[float, float]:
        """Plays the simulation; returns the worst window's load over the bound, and the share of requests served."""
        rng = self.rng
        self.schedule(0.0, self.add_request)
        if self.scene in ("suspected", "returns at once"):  # the node restarts unannounced, under the same name
            self.schedule(START_MS - UNREACHABLE_MS, lambda: self.is_up.update(old=False))
            self.schedule(START_MS, lambda: self.is_up.update(old=True))
        else:
            max_list_delay_ms = 4000.0 if self.scene == "late lists" else 300.0
            self.schedule(START_MS, lambda: self.is_up.update(old=False))
            entries = [
                EndpointEntry("old", EndpointState.GONE, 0, 0.0),
                EndpointEntry("new", EndpointState.READY, 0, START_MS),
            ]
            if self.scene == "queue released":  # the old node has not answered for a while: the queue moves at once
                self.schedule(START_MS - 1500.0, lambda: self.is_up.update(old=False))
            for gateway, scheduler in enumerate(self.schedulers):
                time_ms = START_MS + (rng.uniform(0.0, max_list_delay_ms) if self.scene != "queue released" else 0.0)
                self.schedule(
                    time_ms,
                    lambda gateway=gateway, scheduler=scheduler: self.apply_changes(
                        gateway, scheduler.apply_endpoint_list(self.now, ListKind.CHANGES, entries)
                    ),
                )
        while self.event_queue and self.event_queue[0][0] < END_MS:
            self.now, _, call = heapq.heappop(self.event_queue)
            call()
        return self.worst_window(), self.served_count / max(1, self.request_count)

    def add_request(self) -> None:
        """Submits a client's first request at a random gateway, and schedules the next one."""
        is_hot = self.scene == "hot extent" and START_MS + 1000.0 < self.now < START_MS + 8000.0
        rate_factor = 1.0 if self.scene != "hot extent" else 1.0 if is_hot else 0.5
        self.schedule(self.now + self.rng.expovariate(self.requests_per_ms * rate_factor), self.add_request)
        gateway = bisect_left(self.cumulative_weights, self.rng.random() * self.cumulative_weights[-1])
        extent = self.rng.randrange(200)
        if is_hot and self.rng.random() < 0.5:
            gateway, extent = gateway % 3, 7  # an extent of one volume, through three gateways
        self.submit(gateway, f"e{extent}", self.now + 2500.0, 2)

    def submit(self, gateway: int, extent: str, deadline_ms: float, remaining_retries: int) -> None:
        """Submits a request, which its client retries up to `remaining_retries` times until the deadline."""
        if self.now >= START_MS:
            self.request_count += 1
        units, request_id = self.rng.choice((1.0, 2.0, 2.0, 3.0)), next(self.request_ids)
        request_class = "look" if self.rng.random() < 0.7 else "save"
        request, changes = self.schedulers[gateway].submit(
            self.now,
            request_id,
            extent,
            request_class,
            "gold",
            f"v{extent}",
            3,
            0,
            units,
            deadline_ms,
            remaining_retries < 2,
        )
        request.submit_arguments = (gateway, extent, deadline_ms, remaining_retries)
        self.apply_changes(gateway, changes)

    def apply_changes(self, gateway: int, changes: Changes) -> None:
        """Carries out what a call to a scheduler changed."""
        for request in changes.handles:
            attempts, cancellations, answer = request.drain()
            for attempt in attempts:
                self.send_attempt(gateway, request, attempt)
            if answer is not None:
                _, extent, deadline_ms, remaining_retries = request.submit_arguments
                retry_ms = self.now + answer.retry_after_ms
                if answer.kind is FinalAnswerKind.REJECTED and remaining_retries and retry_ms < deadline_ms:
                    self.schedule(
                        retry_ms,
                        lambda extent=extent, deadline_ms=deadline_ms, remaining_retries=remaining_retries - 1: (
                            self.submit(gateway, extent, deadline_ms, remaining_retries)
                        ),
                    )
            for number in cancellations:
                self.schedule(
                    self.now, lambda request=request, number=number: self.cancel_attempt(gateway, request, number)
                )
        if changes.wake_ms is not None and changes.wake_ms < self.wake_ups_ms[gateway]:
            self.wake_ups_ms[gateway] = changes.wake_ms
            self.schedule(changes.wake_ms, lambda: self.wake_up(gateway))

    def cancel_attempt(self, gateway: int, request: Any, number: int) -> None:
        """Ends an attempt as cancelled."""
        self.apply_changes(gateway, request.on_attempt_end(self.now, number, Outcome.CANCELLED, request.closed, 1.0))

    def wake_up(self, gateway: int) -> None:
        """Wakes up a gateway's scheduler."""
        self.wake_ups_ms[gateway] = math.inf
        self.apply_changes(gateway, self.schedulers[gateway].on_wake_up(self.now))

    def send_attempt(self, gateway: int, request: Any, attempt: Any) -> None:
        """Sends an attempt to its node, and schedules its end."""
        number, sent_ms = request.attempt_count - 1, self.now
        is_up = self.is_up.get(attempt.node_name, True)
        nodes = self.schedulers[gateway].nodes
        # A gateway that was not told of the start, and does not suspect it, cannot hold back.
        knows_start = nodes.slow_start_since_ms[request.node] is not None
        if is_up and self.now >= START_MS and knows_start:
            self.attempts.append((self.now, request.units / self.settings.mean_units))
        if not is_up and self.scene == "queue released":
            end_ms, outcome = attempt.deadline_ms, Outcome.TIMED_OUT
        elif not is_up:
            end_ms, outcome = self.now + (1.0 if self.scene == "suspected" else 250.0), Outcome.CONNECT_FAILED
        else:
            end_ms, outcome = self.now + self.rng.uniform(20.0, 60.0), Outcome.SUCCEEDED

        def end_attempt() -> None:
            if request.attempt_in_flight and number == request.attempt_count - 1:
                if outcome is Outcome.SUCCEEDED and not request.closed and sent_ms >= START_MS:
                    self.served_count += 1
                answered = outcome is Outcome.SUCCEEDED or request.closed
                self.apply_changes(
                    gateway, request.on_attempt_end(self.now, number, outcome, answered, self.now - sent_ms)
                )

        self.schedule(max(end_ms, self.now), end_attempt)

    def worst_window(self) -> float:
        """Returns the largest load of any window, over the bound that allows for chance."""
        settings, worst, first, total = self.settings, 0.0, 0, 0.0
        for time_ms, cost in self.attempts:
            total += cost
            while self.attempts[first][0] < time_ms - WINDOW_MS:
                total -= self.attempts[first][1]
                first += 1
            capacity_share = (
                settings.slow_start_initial_share
                + (1 - settings.slow_start_initial_share)
                * max(0.0, time_ms - WINDOW_MS - START_MS)
                / settings.slow_start_duration_ms
            )
            if time_ms < START_MS + settings.slow_start_duration_ms:
                n = (
                    settings.slow_start_failure_multiple
                    * capacity_share
                    * self.units_per_s
                    * WINDOW_MS
                    / 1000.0
                    / settings.mean_units
                )
                worst = max(worst, total / (n + 2 * math.sqrt(n) + 2))
        return worst
