"""Many heads before one cold shelf, in virtual time: what they send it together, beside what it bears.

Each head is the real module and knows what its own calls told it. The shelf starts at `cold_share` of its capacity and
is warm, evenly, after `warm_ms`; what is never safe is more than `N + 2 * sqrt(N) + 2` requests of mean work in any
window of `WINDOW_MS`, N being `fall_multiple` times what it can do meanwhile.
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
START_MS, END_MS = 8_000.0, 28_000.0  # when the cold shelf starts, in the middle of service
WINDOW_MS = 1_000.0
AWAY_MS = 4_000.0  # so long a shelf that returns was out of reach before


def settings(rng: random.Random) -> Settings:
    """Drawn as deployments differ."""
    share, multiple = rng.uniform(0.25, 0.5), rng.choice((1.5, 2.0, 3.0))
    platform_settings: dict[str, Any] = {
        **SETTINGS,
        "rules": {"cold_share": share, "fall_multiple": multiple, "warm_after_s": rng.uniform(6.0, 17.0)},
        "classes": [{**c, "give_up_s": 2.5} for c in SETTINGS["classes"]],
    }
    return read_settings(platform_settings)


class SlowStartFleet:
    """One drawn fleet; `play` returns how far past the line the worst window was, as a ratio, and what was served."""

    def __init__(self, seed: int, heads: int, asked: float, scene: str) -> None:
        """`asked` is what is asked of the shelf, of what it can do once it is warm."""
        self.rng, self.scene = random.Random(seed), scene
        cfg = self.settings = settings(self.rng)
        self.units_per_s = self.rng.uniform(8.0, 60.0)  # that the warm shelf can do
        self.requests_per_ms = asked * self.units_per_s / cfg.mean_units / 1000.0  # requests a ms for this shelf
        self.now, self.order, self.events = 0.0, itertools.count(), []  # type: ignore[var-annotated]
        self.heads = [Scheduler(cfg, self.rng.randrange(1 << 30), 0.0) for _ in range(heads)]
        self.wakes = [math.inf] * heads
        self.up: dict[str, bool] = {"old": True, "new": True}
        self.sends: list[tuple[float, float]] = []  # to the cold shelf, from its start on
        self.ids, self.asks, self.served = itertools.count(1), 0, 0
        weights = [1.0] * heads if scene != "skewed" else [1.0 / (n + 1) for n in range(heads)]
        self.weights = list(itertools.accumulate(weights))
        for h in range(heads):
            self.do(h, self.heads[h].start(0.0))
            listed = [
                EndpointEntry("old", EndpointState.READY, 0, 0.0),
                EndpointEntry("b", EndpointState.READY, 1, 0.0),
            ]
            self.do(h, self.heads[h].apply_endpoint_list(0.0, ListKind.WHOLE, listed))

    def at(self, when: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when, next(self.order), what))

    def play(self) -> tuple[float, float]:
        rng = self.rng
        self.at(0.0, self.come)
        if self.scene in ("suspected", "returns at once"):  # the same shelf goes and comes back cold, no list tells
            self.at(START_MS - AWAY_MS, lambda: self.up.update(old=False))
            self.at(START_MS, lambda: self.up.update(old=True))
        else:
            late = 4000.0 if self.scene == "late lists" else 300.0
            self.at(START_MS, lambda: self.up.update(old=False))
            entries = [
                EndpointEntry("old", EndpointState.GONE, 0, 0.0),
                EndpointEntry("new", EndpointState.READY, 0, START_MS),
            ]
            if self.scene == "queue released":  # the one before has hung for a while: what is held moves at once
                self.at(START_MS - 1500.0, lambda: self.up.update(old=False))
            for h, head in enumerate(self.heads):
                when = START_MS + (rng.uniform(0.0, late) if self.scene != "queue released" else 0.0)
                self.at(
                    when,
                    lambda h=h, head=head: self.do(h, head.apply_endpoint_list(self.now, ListKind.CHANGES, entries)),
                )
        while self.events and self.events[0][0] < END_MS:
            self.now, _, what = heapq.heappop(self.events)
            what()
        return self.worst(), self.served / max(1, self.asks)

    def come(self) -> None:
        hot = self.scene == "hot extent" and START_MS + 1000.0 < self.now < START_MS + 8000.0
        burst = 1.0 if self.scene != "hot extent" else 1.0 if hot else 0.5
        self.at(self.now + self.rng.expovariate(self.requests_per_ms * burst), self.come)
        h = bisect_left(self.weights, self.rng.random() * self.weights[-1])
        extent = self.rng.randrange(200)
        if hot and self.rng.random() < 0.5:
            h, extent = h % 3, 7  # one volume's, through three heads
        self.take(h, f"e{extent}", self.now + 2500.0, 2)

    def take(self, h: int, extent: str, leaves: float, again: int) -> None:
        if self.now >= START_MS:
            self.asks += 1
        units, key = self.rng.choice((1.0, 2.0, 2.0, 3.0)), next(self.ids)
        kind = "look" if self.rng.random() < 0.7 else "save"
        request, changes = self.heads[h].submit(
            self.now, key, extent, kind, "gold", f"v{extent}", 3, 0, units, leaves, again < 2
        )
        request.story = (h, extent, leaves, again)
        self.do(h, changes)

    def do(self, h: int, changes: Changes) -> None:
        for request in changes.handles:
            attempts, cancellations, answer = request.drain()
            for attempt in attempts:
                self.send(h, request, attempt)
            if answer is not None:
                _, extent, leaves, again = request.story
                back = self.now + answer.retry_after_ms
                if answer.kind is FinalAnswerKind.REJECTED and again and back < leaves:
                    self.at(back, lambda x=extent, at=leaves, n=again - 1: self.take(h, x, at, n))
            for number in cancellations:
                self.at(self.now, lambda a=request, n=number: self.recalled(h, a, n))
        if changes.wake_ms is not None and changes.wake_ms < self.wakes[h]:
            self.wakes[h] = changes.wake_ms
            self.at(changes.wake_ms, lambda: self.woken(h))

    def recalled(self, h: int, request: Any, number: int) -> None:
        self.do(h, request.on_attempt_end(self.now, number, Outcome.CANCELLED, request.closed, 1.0))

    def woken(self, h: int) -> None:
        self.wakes[h] = math.inf
        self.do(h, self.heads[h].on_wake_up(self.now))

    def send(self, h: int, request: Any, attempt: Any) -> None:
        number, left = request.attempt_count - 1, self.now
        up = self.up.get(attempt.node_name, True)
        shelfs = self.heads[h].nodes
        knows = shelfs.slow_start_since_ms[request.node] is not None  # told, or suspected: no other head can hold back
        if up and self.now >= START_MS and knows:
            self.sends.append((self.now, request.units / self.settings.mean_units))
        if not up and self.scene == "queue released":
            when, outcome = attempt.deadline_ms, Outcome.TIMED_OUT
        elif not up:
            when, outcome = self.now + (1.0 if self.scene == "suspected" else 250.0), Outcome.CONNECT_FAILED
        else:
            when, outcome = self.now + self.rng.uniform(20.0, 60.0), Outcome.SUCCEEDED

        def ends() -> None:
            if request.attempt_in_flight and number == request.attempt_count - 1:
                if outcome is Outcome.SUCCEEDED and not request.closed and left >= START_MS:
                    self.served += 1
                over = outcome is Outcome.SUCCEEDED or request.closed
                self.do(h, request.on_attempt_end(self.now, number, outcome, over, self.now - left))

        self.at(max(when, self.now), ends)

    def worst(self) -> float:
        """The largest sum in any window, over what is still put down to chance then."""
        cfg, worst, first, total = self.settings, 0.0, 0, 0.0
        for at, work in self.sends:
            total += work
            while self.sends[first][0] < at - WINDOW_MS:
                total -= self.sends[first][1]
                first += 1
            warmth = (
                cfg.slow_start_initial_share
                + (1 - cfg.slow_start_initial_share) * max(0.0, at - WINDOW_MS - START_MS) / cfg.slow_start_duration_ms
            )
            if at < START_MS + cfg.slow_start_duration_ms:
                n = cfg.slow_start_failure_multiple * warmth * self.units_per_s * WINDOW_MS / 1000.0 / cfg.mean_units
                worst = max(worst, total / (n + 2 * math.sqrt(n) + 2))
        return worst
