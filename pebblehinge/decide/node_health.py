"""Shelfs and their health: what they take, how many attempts they get at once, which are down or cold."""

from __future__ import annotations

import math
import random

from pebblehinge.decide.request import Request
from pebblehinge.interface import Entry, ListKind, Outcome, Standing
from pebblehinge.scheduler_state import NodeSnapshot, NodeTable, SettingsView

CONCURRENCY_LIMIT = 4  # attempts out per shelf and head (design: to start)
CROWDED = 0.4  # an attempt that takes longer than this part of the shortest latency objective narrows the bound
FORGET = 0.26  # weight of a new latency: 95% of the old is gone after ten (paper 3.3)
STEADY = 0.2  # the same for the slower average that health and refusals go by
FOLLOW = 0.03  # by how much what a head knows over all shelfs follows one answer or request
AGES_MS = 2000.0  # a shelf's mean latency gives way to that of all shelfs at this pace
ALL_AGE_MS = 10_000.0  # that mean, once nothing answers any more, gives way to nothing at this pace
KEEPS_MS = 120_000.0  # what an earlier life learned counts for less the longer it lay, at this pace
SAME_MS = 1000.0  # starts that lie nearer are one process's: lists tell ages, and take their time
LATENCIES = 4.0  # a shelf is silent when it has answered nothing for so many mean latencies ...
SILENT_MS = 400.0  # ... and this on top, so that pauses and flushes pass
LOST = 4  # attempts timed out or broken in a row, with no answer between, that make a shelf down
PROBE_INTERVAL_MS = 250.0  # between careful attempts to a shelf that is down


class NodeHealth(NodeTable[Request]):
    """What one head knows of them, in parallel arrays, one place a shelf."""

    def __init__(self, given: SettingsView, rng: random.Random, now: float) -> None:
        super().__init__()
        self.given, self.rng = given, rng
        self.fleet_mean_ms, self.fleet_mean_updated_ms, self.answers = (
            0.0,
            now,
            0,
        )  # mean over all, when last fed, by how many
        self.low_quartile_ms = 0.0  # lower quartile of the latencies of all shelfs
        self.past: dict[str, NodeSnapshot] = {}  # what an earlier life knew of shelfs that were not listed yet
        self.restored_ms = now

    # ---- what lists say

    def listed(self, now: float, kind: ListKind, entries: list[Entry]) -> list[int]:
        """A list, or changes to it. Returns the places that it may have changed."""
        if now - self.restored_ms > KEEPS_MS:
            self.past.clear()
        touched: list[int] = []
        for s in self.all_but({e.shelf for e in entries}) if kind is not ListKind.CHANGES else ():
            touched += [s] if self.ready[s] else []
            self.ready[s], self.vacant[s] = False, None
        for entry in entries:
            s = self.index.get(entry.shelf)
            if s is None:
                if entry.standing is Standing.GONE:
                    continue
                s = self._add(entry, now)
            self.ready[s] = entry.standing is Standing.READY  # rule 3: nothing to it once told otherwise
            if self.ready[s]:
                self._meet(s, entry, now)
            self.vacant.pop(s, None)
            if entry.standing is Standing.GONE:
                self.vacant[s] = None
            touched.append(s)
        self.at_slot = {}
        for s, slot in enumerate(self.slots):  # of several that hold a slot, the one that started last
            if self.ready[s] and self.started[s] >= self.started[self.at_slot.get(slot, s)]:
                self.at_slot[slot] = s
        self.accepting = sorted(self.at_slot.values())
        return touched

    def _meet(self, s: int, entry: Entry, now: float) -> None:
        """Which process has this name. What one before it taught does not judge it; what was held for another
        slot's data moves on. One that started lately is cold, and so is one of which that is told no more."""
        started, known = min(entry.started_ms, now), self.started[s]
        other = entry.slot != self.slots[s] or abs(started - known) > SAME_MS
        self.slots[s], self.started[s] = entry.slot, started
        if other:
            self._forget(s, now)
            if known and not started:
                self.begin_slow_start(s, now)
        recent = started and now - started < self.given.cfg.warm_ms  # a start of 0 is long ago
        if recent and (other or self.slow_start_ms[s] is None or started > known):
            self.begin_slow_start(s, started if started > known else max(started, self.slow_start_ms[s] or started))

    def _forget(self, s: int, now: float) -> None:
        """Nothing is known of a shelf but its name, its slot, and that it may be cold."""
        self.unrounded_limit[s], self.concurrency_limit[s], self.last_extent[s] = (
            float(CONCURRENCY_LIMIT),
            CONCURRENCY_LIMIT,
            None,
        )
        self.random_latency_ms[s] = self.sequential_latency_ms[s] = self.mean_latency_ms[s] = 0.0
        self.mean_updated_ms[s], self.last_answer_ms[s], self.consecutive_losses[s] = -math.inf, now, 0
        self.unreachable[s], self.next_probe_ms[s] = False, now

    def _add(self, entry: Entry, now: float) -> int:
        """A new name; what an earlier life knew of its process is taken up."""
        s = self.place(entry.shelf)
        self.slots[s], self.started[s] = entry.slot, 0.0
        self._forget(s, now)
        past = self.past.pop(entry.shelf, None)
        if past is not None:
            self.slots[s], self.started[s] = past.life or (entry.slot, entry.started_ms)
            self.random_latency_ms[s], self.sequential_latency_ms[s], self.mean_latency_ms[s] = (
                past.random_latency_ms,
                past.sequential_latency_ms,
                past.mean_latency_ms,
            )
            self.mean_updated_ms[s], self.unrounded_limit[s] = (
                past.mean_updated_ms,
                CONCURRENCY_LIMIT + (past.unrounded_limit - CONCURRENCY_LIMIT) * past.left,
            )
            self.concurrency_limit[s] = int(self.unrounded_limit[s] + 0.5)
            if past.slow_start_ms is not None and now - past.slow_start_ms < self.given.cfg.warm_ms:
                self.begin_slow_start(s, past.slow_start_ms)
        return s

    def pick_new(self) -> int:
        """A new object: two shelfs drawn at random, the one that this head's own counts favour."""
        if not self.accepting:
            return -1
        pair = self.rng.sample(self.accepting, min(2, len(self.accepting)))
        return min(
            pair,
            key=lambda s: (self.unreachable[s], len(self.in_flight[s]) + len(self.queued[s]), self.mean_latency_ms[s]),
        )

    # ---- health

    def is_down(self, s: int, now: float) -> bool:
        """A shelf is down when connections fail or break, or when it has attempts out and answers nothing."""
        gone = self.unreachable[s] or self.consecutive_losses[s] >= LOST
        if gone or not self.in_flight[s]:
            return gone
        return now - self.last_answer_ms[s] - SILENT_MS >= LATENCIES * self.mean(s, now)

    def note(self, a: Request, s: int, now: float, outcome: Outcome, took: float) -> None:
        """What an attempt's outcome says of the shelf's health."""
        if a.sent_ms < self.started[s]:  # to the process before this one: it says nothing of it
            return
        if outcome is Outcome.SUCCEEDED:
            self.last_answer_ms[s] = now
            if self.unreachable[s]:  # nobody knows since when it runs again: it may have been started for this attempt
                self.begin_slow_start(s, a.sent_ms)
            self.unreachable[s], self.consecutive_losses[s] = False, 0
            # Crowding by other heads, slowness and thrashing all show as attempts that take long: fewer go out,
            # down to one, so that a request waits here, where it can still be chosen or refused.
            step = 0.1 if took < CROWDED * self.given.shortest_ms else -0.2
            self.unrounded_limit[s] = min(float(CONCURRENCY_LIMIT), max(1.0, self.unrounded_limit[s] + step))
            self.concurrency_limit[s] = int(self.unrounded_limit[s] + 0.5)
            split = self.sequential_latency_ms if a.run else self.random_latency_ms
            split[s] += FORGET * (took - split[s]) if split[s] else took
            took /= a.size
            self.learn(s, now, took)
            step = max(FOLLOW, 1 / (1 + self.answers))
            self.low_quartile_ms = self.low_quartile_ms * (1 + step * (0.25 - (took < self.low_quartile_ms))) or took
        elif outcome in (Outcome.CONNECT_FAILED, Outcome.CONNECTION_LOST, Outcome.TIMED_OUT):
            self.consecutive_losses[s] += 1
            # A broken connection says little: links break here and there while the shelf is well and answers
            # others. But a process gone or out of reach may have restarted untold: it counts as cold.
            silent = now - self.mean_updated_ms[s] > SILENT_MS and outcome is Outcome.CONNECT_FAILED
            if outcome is not Outcome.TIMED_OUT and (silent or self.consecutive_losses[s] >= LOST):
                self.unreachable[s], self.next_probe_ms[s] = True, now + PROBE_INTERVAL_MS
                self.begin_slow_start(s, now)
            elif self.consecutive_losses[s] > 1 and took > self.mean(s, now):  # a lone loss does not mean slow
                self.learn(s, now, took)
        elif outcome in (Outcome.SERVER_ERROR, Outcome.OVERLOADED):
            self.last_answer_ms[s], self.consecutive_losses[s] = now, 0

    def begin_slow_start(self, s: int, since: float) -> None:
        """A shelf is cold from now on, and gets one attempt at a time until its answers widen the bound."""
        self.slow_start_ms[s], self.unrounded_limit[s], self.concurrency_limit[s] = since, 1.0, 1

    def mean(self, s: int, now: float) -> float:
        """A shelf's mean latency as far as its answers are fresh; old ones give way to what all shelfs do:
        a head that refuses by an old answer gets no new one. Harm: a slow shelf is tried again sooner."""
        every = self.every(now)
        return every + (self.mean_latency_ms[s] - every) * math.exp((self.mean_updated_ms[s] - now) / AGES_MS)

    def every(self, now: float) -> float:
        """The mean over all shelfs. It gives way to nothing known, more slowly, or where all were slow a head
        with little to do would refuse all for good; sooner, the fewer answers it stands on (an odd first)."""
        known = min(1.0, max(1, self.answers) * FOLLOW)
        return self.fleet_mean_ms * math.exp((self.fleet_mean_updated_ms - now) / (ALL_AGE_MS * known))

    def learn(self, s: int, now: float, took: float) -> None:
        old = self.mean(s, now) or took
        self.mean_latency_ms[s], self.mean_updated_ms[s] = old + STEADY * (took - old), now
        every, self.fleet_mean_updated_ms, self.answers = self.every(now), now, self.answers + 1
        self.fleet_mean_ms = every + max(FOLLOW, 1 / self.answers) * (took - every) if every else took
