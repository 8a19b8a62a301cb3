"""Storage nodes and their health: who accepts requests, with how many at once, who is down or in a slow start."""

from __future__ import annotations

import math
import random

from pebblehinge.decide.request import Request
from pebblehinge.interface import Entry, ListKind, Outcome, Standing
from pebblehinge.scheduler_state import NodeSnapshot, NodeTable, SettingsView

CONCURRENCY_LIMIT = 4  # attempts in flight per node and gateway (design: to start)
CROWDED = 0.4  # an attempt that takes longer than this part of the shortest latency objective narrows the limit
WIDEN = 0.1  # by how much a quick answer raises the unrounded limit
NARROW = -0.2  # the same of a slow one
FORGET = 0.26  # weight of a new latency: 95% of the old is gone after ten (paper 3.3)
STEADY = 0.2  # the same for the slower average that health and load shedding go by
FOLLOW = 0.03  # by how much what a gateway knows over all nodes follows one answer or request
AGES_MS = 2000.0  # a node's mean latency gives way to that of all nodes at this pace
ALL_AGE_MS = 10_000.0  # that mean, once nothing answers any more, gives way to nothing at this pace
KEEPS_MS = 120_000.0  # what an earlier incarnation learned counts for less the longer it lay, at this pace
SAME_MS = 1000.0  # starts that lie nearer are one process's: lists tell ages, and take their time
LATENCIES = 4.0  # a node is silent when it has answered nothing for so many mean latencies ...
SILENT_MS = 400.0  # ... and this on top, so that pauses and flushes pass
LOST = 4  # attempts timed out or broken in a row, with no answer between, that make a node down
PROBE_INTERVAL_MS = 250.0  # between probes of a node that is down


class NodeHealth(NodeTable[Request]):
    """What one gateway knows of the nodes.

    Args:
        settings: the settings in force.
        rng: draws nodes for new objects.
        now: clock, ms.
    """

    def __init__(self, settings: SettingsView, rng: random.Random, now: float) -> None:
        super().__init__()
        self.settings = settings
        self.rng = rng
        self.fleet_mean_ms = 0.0  # mean latency over all nodes
        self.fleet_mean_updated_ms = now
        self.answers = 0  # that the mean stands on
        self.low_quartile_ms = 0.0  # lower quartile of the latencies of all nodes
        self.past: dict[str, NodeSnapshot] = {}  # of an earlier incarnation, by nodes that were not listed yet
        self.restored_ms = now

    # ---- the endpoint list

    def update(self, now: float, kind: ListKind, entries: list[Entry]) -> list[int]:
        """Applies an endpoint list, or changes to it; returns the nodes that it may have changed."""
        if now - self.restored_ms > KEEPS_MS:
            self.past.clear()
        touched: list[int] = []
        if kind is not ListKind.CHANGES:
            for node in self.all_but({entry.shelf for entry in entries}):
                touched += [node] if self.ready[node] else []
                self.ready[node] = False
                self.vacant[node] = None
        for entry in entries:
            known = self.index.get(entry.shelf)
            if known is None and entry.standing is Standing.GONE:
                continue
            node = self._add(entry, now) if known is None else known
            self.ready[node] = entry.standing is Standing.READY  # rule 3: nothing is sent to it once told otherwise
            if self.ready[node]:
                self._update_process(node, entry, now)
            self.vacant.pop(node, None)
            if entry.standing is Standing.GONE:
                self.vacant[node] = None
            touched.append(node)
        self.at_slot = {}
        for node, slot in enumerate(self.slots):  # of several that hold a slot, the one that started last
            if self.ready[node] and self.started[node] >= self.started[self.at_slot.get(slot, node)]:
                self.at_slot[slot] = node
        self.accepting = sorted(self.at_slot.values())
        return touched

    def _update_process(self, node: int, entry: Entry, now: float) -> None:
        """Notes which process has a node's name.

        What one before it taught does not judge it; what was queued for another slot's data moves on. One that
        started lately is in a slow start, and so is one whose start is no longer told.
        """
        started_ms = min(entry.started_ms, now)
        known_ms = self.started[node]
        other = entry.slot != self.slots[node] or abs(started_ms - known_ms) > SAME_MS
        self.slots[node] = entry.slot
        self.started[node] = started_ms
        if other:
            self._forget(node, now)
            if known_ms and not started_ms:
                self.begin_slow_start(node, now)
        slow_start_ms = self.slow_start_ms[node]
        recent = started_ms and now - started_ms < self.settings.current.warm_ms  # a start of 0 is long ago
        if recent and (other or slow_start_ms is None or started_ms > known_ms):
            since_ms = started_ms if started_ms > known_ms else max(started_ms, slow_start_ms or started_ms)
            self.begin_slow_start(node, since_ms)

    def _forget(self, node: int, now: float) -> None:
        """Nothing is known of a node but its name, its slot, and that it may be in a slow start."""
        self.unrounded_limit[node] = float(CONCURRENCY_LIMIT)
        self.concurrency_limit[node] = CONCURRENCY_LIMIT
        self.last_extent[node] = None
        self.random_latency_ms[node] = 0.0
        self.sequential_latency_ms[node] = 0.0
        self.mean_latency_ms[node] = 0.0
        self.mean_updated_ms[node] = -math.inf
        self.last_answer_ms[node] = now
        self.consecutive_losses[node] = 0
        self.unreachable[node] = False
        self.next_probe_ms[node] = now

    def _add(self, entry: Entry, now: float) -> int:
        """Gives a new name a row, with what an earlier incarnation knew of it; returns the row."""
        node = self.place(entry.shelf)
        self.slots[node] = entry.slot
        self.started[node] = 0.0
        self._forget(node, now)
        past = self.past.pop(entry.shelf, None)
        if past is None:
            return node
        self.slots[node], self.started[node] = past.life or (entry.slot, entry.started_ms)
        self.random_latency_ms[node] = past.random_latency_ms
        self.sequential_latency_ms[node] = past.sequential_latency_ms
        self.mean_latency_ms[node] = past.mean_latency_ms
        self.mean_updated_ms[node] = past.mean_updated_ms
        self.unrounded_limit[node] = CONCURRENCY_LIMIT + (past.unrounded_limit - CONCURRENCY_LIMIT) * past.left
        self.concurrency_limit[node] = int(self.unrounded_limit[node] + 0.5)
        if past.slow_start_ms is not None and now - past.slow_start_ms < self.settings.current.warm_ms:
            self.begin_slow_start(node, past.slow_start_ms)
        return node

    def pick_new(self) -> int:
        """Returns a node for a new object: of two drawn at random, the one that this gateway's counts favour.

        Under 0 if none accepts requests.
        """
        if not self.accepting:
            return -1
        pair = self.rng.sample(self.accepting, min(2, len(self.accepting)))
        return min(
            pair,
            key=lambda node: (
                self.unreachable[node],
                len(self.in_flight[node]) + len(self.queued[node]),
                self.mean_latency_ms[node],
            ),
        )

    # ---- health

    def is_down(self, node: int, now: float) -> bool:
        """Whether connections to a node fail or break, or it has attempts in flight and answers nothing."""
        gone = self.unreachable[node] or self.consecutive_losses[node] >= LOST
        if gone or not self.in_flight[node]:
            return gone
        return now - self.last_answer_ms[node] - SILENT_MS >= LATENCIES * self.mean_latency(node, now)

    def record_outcome(self, request: Request, node: int, now: float, outcome: Outcome, took_ms: float) -> None:
        """Takes what an attempt's outcome says of its node's health."""
        if request.sent_ms < self.started[node]:  # sent to the process before this one: it says nothing of it
            return
        if outcome is Outcome.SUCCEEDED:
            self._record_success(request, node, now, took_ms)
        elif outcome in (Outcome.CONNECT_FAILED, Outcome.CONNECTION_LOST, Outcome.TIMED_OUT):
            self._record_loss(node, now, outcome, took_ms)
        elif outcome in (Outcome.SERVER_ERROR, Outcome.OVERLOADED):
            self.last_answer_ms[node] = now
            self.consecutive_losses[node] = 0

    def _record_success(self, request: Request, node: int, now: float, took_ms: float) -> None:
        self.last_answer_ms[node] = now
        if self.unreachable[node]:  # since when it runs again is not known: perhaps only since this attempt
            self.begin_slow_start(node, request.sent_ms)
        self.unreachable[node] = False
        self.consecutive_losses[node] = 0
        # Crowding by other gateways, slowness and thrashing all show as attempts that take long: fewer are sent,
        # down to one, so that a request waits here, where it can still be chosen or shed.
        step = WIDEN if took_ms < CROWDED * self.settings.shortest_ms else NARROW
        self.unrounded_limit[node] = min(float(CONCURRENCY_LIMIT), max(1.0, self.unrounded_limit[node] + step))
        self.concurrency_limit[node] = int(self.unrounded_limit[node] + 0.5)
        latency_ms = self.sequential_latency_ms if request.sequential else self.random_latency_ms
        latency_ms[node] += FORGET * (took_ms - latency_ms[node]) if latency_ms[node] else took_ms
        took_ms /= request.size
        self.learn(node, now, took_ms)
        step = max(FOLLOW, 1 / (1 + self.answers))
        below = took_ms < self.low_quartile_ms
        self.low_quartile_ms = self.low_quartile_ms * (1 + step * (0.25 - below)) or took_ms

    def _record_loss(self, node: int, now: float, outcome: Outcome, took_ms: float) -> None:
        self.consecutive_losses[node] += 1
        # A broken connection says little: links break here and there while the node is well and answers
        # others. But a process gone or out of reach may have restarted unnoticed: it counts as in a slow start.
        silent = now - self.mean_updated_ms[node] > SILENT_MS and outcome is Outcome.CONNECT_FAILED
        if outcome is not Outcome.TIMED_OUT and (silent or self.consecutive_losses[node] >= LOST):
            self.unreachable[node] = True
            self.next_probe_ms[node] = now + PROBE_INTERVAL_MS
            self.begin_slow_start(node, now)
        elif self.consecutive_losses[node] > 1 and took_ms > self.mean_latency(node, now):
            self.learn(node, now, took_ms)  # a lone loss does not mean slow

    def begin_slow_start(self, node: int, since_ms: float) -> None:
        """A node is in a slow start: it gets one attempt at a time until its answers raise the limit."""
        self.slow_start_ms[node] = since_ms
        self.unrounded_limit[node] = 1.0
        self.concurrency_limit[node] = 1

    def mean_latency(self, node: int, now: float) -> float:
        """Returns a node's mean latency (ms) as far as its answers are fresh; old ones give way to the fleet's.

        A gateway that sheds load by an old answer gets no new one. Harm: a slow node is tried again sooner.
        """
        fleet_ms = self.fleet_mean(now)
        freshness = math.exp((self.mean_updated_ms[node] - now) / AGES_MS)
        return fleet_ms + (self.mean_latency_ms[node] - fleet_ms) * freshness

    def fleet_mean(self, now: float) -> float:
        """Returns the mean latency over all nodes (ms), 0 where nothing is known.

        It gives way to 0 with time, or where all were slow a gateway with little to do would shed all for good;
        slower than a node's, but sooner the fewer answers it stands on (the first may be odd).
        """
        known = min(1.0, max(1, self.answers) * FOLLOW)
        return self.fleet_mean_ms * math.exp((self.fleet_mean_updated_ms - now) / (ALL_AGE_MS * known))

    def learn(self, node: int, now: float, took_ms: float) -> None:
        """Adds a latency, per request of mean size, to the averages of a node and of all."""
        old_ms = self.mean_latency(node, now) or took_ms
        self.mean_latency_ms[node] = old_ms + STEADY * (took_ms - old_ms)
        self.mean_updated_ms[node] = now
        fleet_ms = self.fleet_mean(now)
        self.fleet_mean_updated_ms = now
        self.answers += 1
        step = max(FOLLOW, 1 / self.answers)
        self.fleet_mean_ms = fleet_ms + step * (took_ms - fleet_ms) if fleet_ms else took_ms
