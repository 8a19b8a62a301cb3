"""Many heads of the real decision module in virtual time: a heap of events, shelfs that answer as a scene says.

Each head is `pebblehinge.decide.Head` and knows what its own calls told it; nothing is shared between heads but the
shelfs. Times are virtual milliseconds. A scene derives from `Fleet` and says what an attempt comes to (`answers`), and
may look at each attempt that leaves (`left`) and each request that is over (`over`).
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

EXPECTED_MS, PATIENCE_MS = 400.0, 2_500.0  # doc-read of examples/head.conf
HEADS, SHELFS, REQUESTS_S = 910, 1_500, 790_000.0  # the coming size
PAIR_S = REQUESTS_S / (HEADS * SHELFS)  # requests a second a pair of head and shelf: 0.58

READ = RequestClass(
    "read", 2.0, EXPECTED_MS, PATIENCE_MS, 0.1, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0.0, False
)
FREE = QuotaPlan("free", 1e6, 0.0, 0.0, 0.0, 0.0, 1.0, 1.0)
SETTINGS = Settings(
    request_classes=(READ,),
    quota_plans=(FREE,),
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


def weights_of(shape: str, heads: int) -> list[float]:
    """How demand lies over the heads: running sums. `zipf` is 1/rank; `ten` is all through ten heads, evenly."""
    rows = {"zipf": lambda h: 1.0 / (h + 1), "ten": lambda h: float(h < 10)}
    weigh: Callable[[int], float] = rows.get(shape, lambda h: 1.0)
    return list(itertools.accumulate(weigh(h) for h in range(heads)))


def quantile(rows: list[float], part: float) -> float:
    """Of sorted rows, the one under which this part lies; the last for 1; inf for no rows."""
    return rows[min(len(rows) - 1, int(part * len(rows)))] if rows else math.inf


class Fleet:
    """Heads before shelfs that stand one at a slot. `born` gives each head's start (ms, may lie before 0)."""

    def __init__(self, heads: int, shelfs: int, seed: int, settings: Settings, born: list[float] | None = None) -> None:
        self.rng, self.cfg = random.Random(seed), settings
        self.now, self.order, self.ids = 0.0, itertools.count(), itertools.count(1)
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.wakes = [math.inf] * heads
        entries = [EndpointEntry(f"s{s}", EndpointState.READY, s, 0.0) for s in range(shelfs)]
        self.heads: list[Scheduler] = []
        for h in range(heads):
            begin = born[h] if born else 0.0
            self.heads.append(Scheduler(settings, self.rng.randrange(1 << 30), begin))
            self.heads[h].start(begin)
            self.heads[h].apply_endpoint_list(begin, ListKind.WHOLE, entries)

    # ---- what a scene says

    def answers(self, h: int, request: Any, attempt: Any) -> tuple[float, Outcome]:
        """When an attempt that leaves now ends, and how. One that ends past its time is timed out then."""
        raise NotImplementedError

    def left(self, h: int, request: Any, attempt: Any) -> None:
        """An attempt has left."""

    def over(self, h: int, request: Any, succeeded: bool, why: str) -> None:
        """A request has its answer: succeeded, or the module's own."""

    # ---- the machinery

    def at(self, when: float, what: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.events, (when, next(self.order), what, args))

    def play(self, until: float) -> None:
        """All events before a time."""
        events, pop = self.events, heapq.heappop
        while events and events[0][0] < until:
            self.now, _, what, args = pop(events)
            what(*args)
        self.now = until

    def arrivals(self, rate_s: float, until: float, come: Callable[[], None]) -> None:
        """Calls `come` as a Poisson process does, from now until a time."""
        when = self.now + self.rng.expovariate(rate_s / 1000.0)
        if when < until:
            self.at(when, self._arrive, rate_s, until, come)

    def _arrive(self, rate_s: float, until: float, come: Callable[[], None]) -> None:
        come()
        self.arrivals(rate_s, until, come)

    def draw(self, weights: list[float]) -> int:
        return bisect_left(weights, self.rng.random() * weights[-1])

    def take(
        self, h: int, slot: int, plan: str = "free", volume: str = "v", set_size: int = 1, note: Any = None
    ) -> Any:
        """A client's request comes now, of one unit."""
        until = self.now + PATIENCE_MS
        request, changes = self.heads[h].submit(
            self.now, next(self.ids), None, "read", plan, volume, set_size, slot, 1.0, until, False
        )
        request.note, request.came_ms = note, self.now  # before anything asks for them: changes are acted on here
        self.do(h, changes)
        return request

    def do(self, h: int, changes: Changes) -> None:
        for request in changes.handles:
            attempts, cancellations, answer = request.drain()
            for attempt in attempts:
                self.left(h, request, attempt)
                when, outcome = self.answers(h, request, attempt)
                if when > attempt.deadline_ms:
                    when, outcome = attempt.deadline_ms, Outcome.TIMED_OUT
                self.at(max(when, self.now), self._ends, h, request, request.attempt_count - 1, outcome, self.now)
            if answer is not None:
                self.over(h, request, False, answer.reason if answer.kind is FinalAnswerKind.REJECTED else "terminated")
            for number in cancellations:
                self.at(self.now, self._ends, h, request, number, Outcome.CANCELLED, self.now)
        if changes.wake_ms is not None and changes.wake_ms < self.wakes[h]:
            self.wakes[h] = changes.wake_ms
            self.at(changes.wake_ms, self._woken, h, changes.wake_ms)

    def _woken(self, h: int, asked: float) -> None:
        if self.wakes[h] == asked:  # else a sooner one has come since, and asked anew
            self.wakes[h] = math.inf
            self.do(h, self.heads[h].on_wake_up(self.now))

    def _ends(self, h: int, request: Any, number: int, outcome: Outcome, left: float) -> None:
        if not request.attempt_in_flight or number != request.attempt_count - 1:
            return
        succeeded = outcome is Outcome.SUCCEEDED
        if succeeded and not request.closed:
            self.over(h, request, True, "")
        self.do(h, request.on_attempt_end(self.now, number, outcome, succeeded or request.closed, self.now - left))


def with_plan(limit: float, burst: float, slack: float, **figures: Any) -> Settings:
    """The settings with one plan that has a limit."""
    return replace(
        SETTINGS, quota_plans=(FREE, QuotaPlan("limited", 1e6, 0.0, limit, burst, slack, 1.0, 1.0)), **figures
    )
