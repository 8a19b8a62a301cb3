"""Storage nodes and their health: who accepts requests, with how many at once, who is down or in a slow start."""

from __future__ import annotations

import math
import random

from pebblehinge.decide.request import Request
from pebblehinge.interface import EndpointEntry, EndpointState, ListKind, Outcome
from pebblehinge.scheduler_state import NodeSnapshot, NodeTable, SettingsView

MAX_CONCURRENCY = 4  # attempts in flight per node and gateway (design: to start)
SLOW_ATTEMPT_SHARE = (
    0.4  # an attempt that takes longer than this part of the shortest latency objective narrows the limit
)
FAST_ANSWER_LIMIT_STEP = 0.1  # by how much a quick answer raises the unrounded limit
SLOW_ANSWER_LIMIT_STEP = -0.2  # the same of a slow one
LATENCY_SAMPLE_WEIGHT = 0.26  # weight of a new latency: 95% of the old is gone after ten (paper 3.3)
MEAN_LATENCY_SAMPLE_WEIGHT = 0.2  # the same for the slower average that health and load shedding go by
MIN_FLEET_SAMPLE_WEIGHT = 0.03  # by how much what a gateway knows over all nodes follows one answer or request
NODE_MEAN_DECAY_MS = 2000.0  # a node's mean latency gives way to that of all nodes at this pace
FLEET_MEAN_DECAY_MS = 10_000.0  # that mean, once nothing answers any more, gives way to nothing at this pace
SNAPSHOT_DECAY_MS = 120_000.0  # what an earlier incarnation learned counts for less the longer it lay, at this pace
START_TOLERANCE_MS = 1000.0  # starts that lie nearer are one process's: lists tell ages, and take their time
SILENCE_LATENCIES = 4.0  # a node is silent when it has answered nothing for so many mean latencies ...
SILENCE_MS = 400.0  # ... and this on top, so that pauses and flushes pass
MAX_CONSECUTIVE_LOSSES = 4  # attempts timed out or broken in a row, with no answer between, that make a node down
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
        self.fleet_mean_latency_ms = 0.0  # mean latency over all nodes
        self.fleet_mean_updated_ms = now
        self.answer_count = 0  # that the mean stands on
        self.low_quartile_ms = 0.0  # lower quartile of the latencies of all nodes
        self.restored_nodes: dict[
            str, NodeSnapshot
        ] = {}  # of an earlier incarnation, by nodes that were not listed yet
        self.restored_ms = now

    # ---- the endpoint list

    def apply_endpoint_list(self, now: float, kind: ListKind, entries: list[EndpointEntry]) -> list[int]:
        """Applies an endpoint list, or changes to it; returns the nodes that it may have changed."""
        if now - self.restored_ms > SNAPSHOT_DECAY_MS:
            self.restored_nodes.clear()
        touched: list[int] = []
        if kind is not ListKind.CHANGES:
            for node in self.rows_except({entry.node_name for entry in entries}):
                touched += [node] if self.ready[node] else []
                self.ready[node] = False
                self.vacant_rows[node] = None
        for entry in entries:
            known = self.index.get(entry.node_name)
            if known is None and entry.state is EndpointState.GONE:
                continue
            node = self._add_node(entry, now) if known is None else known
            self.ready[node] = entry.state is EndpointState.READY  # rule 3: nothing is sent to it once told otherwise
            if self.ready[node]:
                self._update_process(node, entry, now)
            self.vacant_rows.pop(node, None)
            if entry.state is EndpointState.GONE:
                self.vacant_rows[node] = None
            touched.append(node)
        self.node_at_slot = {}
        for node, slot in enumerate(self.slots):  # of several that hold a slot, the one that started last
            if self.ready[node] and self.started_ms[node] >= self.started_ms[self.node_at_slot.get(slot, node)]:
                self.node_at_slot[slot] = node
        self.accepting_nodes = sorted(self.node_at_slot.values())
        return touched

    def _update_process(self, node: int, entry: EndpointEntry, now: float) -> None:
        """Notes which process has a node's name.

        What one before it taught does not judge it; what was queued for another slot's data moves on. One that
        started lately is in a slow start, and so is one whose start is no longer told.
        """
        started_ms = min(entry.started_ms, now)
        known_ms = self.started_ms[node]
        other = entry.slot != self.slots[node] or abs(started_ms - known_ms) > START_TOLERANCE_MS
        self.slots[node] = entry.slot
        self.started_ms[node] = started_ms
        if other:
            self._reset(node, now)
            if known_ms and not started_ms:
                self.begin_slow_start(node, now)
        slow_start_ms = self.slow_start_since_ms[node]
        recent = (
            started_ms and now - started_ms < self.settings.current.slow_start_duration_ms
        )  # a start of 0 is long ago
        if recent and (other or slow_start_ms is None or started_ms > known_ms):
            since_ms = started_ms if started_ms > known_ms else max(started_ms, slow_start_ms or started_ms)
            self.begin_slow_start(node, since_ms)

    def _reset(self, node: int, now: float) -> None:
        """Nothing is known of a node but its name, its slot, and that it may be in a slow start."""
        self.unrounded_limit[node] = float(MAX_CONCURRENCY)
        self.concurrency_limit[node] = MAX_CONCURRENCY
        self.last_extent[node] = None
        self.random_latency_ms[node] = 0.0
        self.sequential_latency_ms[node] = 0.0
        self.mean_latency_ms[node] = 0.0
        self.mean_updated_ms[node] = -math.inf
        self.last_answer_ms[node] = now
        self.consecutive_losses[node] = 0
        self.unreachable[node] = False
        self.next_probe_ms[node] = now

    def _add_node(self, entry: EndpointEntry, now: float) -> int:
        """Gives a new name a row, with what an earlier incarnation knew of it; returns the row."""
        node = self.allocate_row(entry.node_name)
        self.slots[node] = entry.slot
        self.started_ms[node] = 0.0
        self._reset(node, now)
        past = self.restored_nodes.pop(entry.node_name, None)
        if past is None:
            return node
        self.slots[node], self.started_ms[node] = past.process or (entry.slot, entry.started_ms)
        self.random_latency_ms[node] = past.random_latency_ms
        self.sequential_latency_ms[node] = past.sequential_latency_ms
        self.mean_latency_ms[node] = past.mean_latency_ms
        self.mean_updated_ms[node] = past.mean_updated_ms
        self.unrounded_limit[node] = MAX_CONCURRENCY + (past.unrounded_limit - MAX_CONCURRENCY) * past.freshness
        self.concurrency_limit[node] = int(self.unrounded_limit[node] + 0.5)
        if (
            past.slow_start_since_ms is not None
            and now - past.slow_start_since_ms < self.settings.current.slow_start_duration_ms
        ):
            self.begin_slow_start(node, past.slow_start_since_ms)
        return node

    def pick_for_new_object(self) -> int:
        """Returns a node for a new object: of two drawn at random, the one that this gateway's counts favour.

        Under 0 if none accepts requests.
        """
        if not self.accepting_nodes:
            return -1
        pair = self.rng.sample(self.accepting_nodes, min(2, len(self.accepting_nodes)))
        return min(
            pair,
            key=lambda node: (
                self.unreachable[node],
                len(self.in_flight[node]) + len(self.queues[node]),
                self.mean_latency_ms[node],
            ),
        )

    # ---- health

    def is_down(self, node: int, now: float) -> bool:
        """Whether connections to a node fail or break, or it has attempts in flight and answers nothing."""
        gone = self.unreachable[node] or self.consecutive_losses[node] >= MAX_CONSECUTIVE_LOSSES
        if gone or not self.in_flight[node]:
            return gone
        return now - self.last_answer_ms[node] - SILENCE_MS >= SILENCE_LATENCIES * self.mean_latency(node, now)

    def record_outcome(self, request: Request, node: int, now: float, outcome: Outcome, took_ms: float) -> None:
        """Takes what an attempt's outcome says of its node's health."""
        if request.sent_ms < self.started_ms[node]:  # sent to the process before this one: it says nothing of it
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
        step = (
            FAST_ANSWER_LIMIT_STEP
            if took_ms < SLOW_ATTEMPT_SHARE * self.settings.shortest_latency_objective_ms
            else SLOW_ANSWER_LIMIT_STEP
        )
        self.unrounded_limit[node] = min(float(MAX_CONCURRENCY), max(1.0, self.unrounded_limit[node] + step))
        self.concurrency_limit[node] = int(self.unrounded_limit[node] + 0.5)
        latency_ms = self.sequential_latency_ms if request.is_sequential else self.random_latency_ms
        latency_ms[node] += LATENCY_SAMPLE_WEIGHT * (took_ms - latency_ms[node]) if latency_ms[node] else took_ms
        took_ms /= request.relative_duration
        self.record_latency(node, now, took_ms)
        step = max(MIN_FLEET_SAMPLE_WEIGHT, 1 / (1 + self.answer_count))
        below = took_ms < self.low_quartile_ms
        self.low_quartile_ms = self.low_quartile_ms * (1 + step * (0.25 - below)) or took_ms

    def _record_loss(self, node: int, now: float, outcome: Outcome, took_ms: float) -> None:
        self.consecutive_losses[node] += 1
        # A broken connection says little: links break here and there while the node is well and answers
        # others. But a process gone or out of reach may have restarted unnoticed: it counts as in a slow start.
        silent = now - self.mean_updated_ms[node] > SILENCE_MS and outcome is Outcome.CONNECT_FAILED
        if outcome is not Outcome.TIMED_OUT and (silent or self.consecutive_losses[node] >= MAX_CONSECUTIVE_LOSSES):
            self.unreachable[node] = True
            self.next_probe_ms[node] = now + PROBE_INTERVAL_MS
            self.begin_slow_start(node, now)
        elif self.consecutive_losses[node] > 1 and took_ms > self.mean_latency(node, now):
            self.record_latency(node, now, took_ms)  # a lone loss does not mean slow

    def begin_slow_start(self, node: int, since_ms: float) -> None:
        """A node is in a slow start: it gets one attempt at a time until its answers raise the limit."""
        self.slow_start_since_ms[node] = since_ms
        self.unrounded_limit[node] = 1.0
        self.concurrency_limit[node] = 1

    def mean_latency(self, node: int, now: float) -> float:
        """Returns a node's mean latency (ms) as far as its answers are fresh; old ones give way to the fleet's.

        A gateway that sheds load by an old answer gets no new one. Harm: a slow node is tried again sooner.
        """
        fleet_ms = self.fleet_mean_latency(now)
        freshness = math.exp((self.mean_updated_ms[node] - now) / NODE_MEAN_DECAY_MS)
        return fleet_ms + (self.mean_latency_ms[node] - fleet_ms) * freshness

    def fleet_mean_latency(self, now: float) -> float:
        """Returns the mean latency over all nodes (ms), 0 where nothing is known.

        It gives way to 0 with time, or where all were slow a gateway with little to do would shed all for good;
        slower than a node's, but sooner the fewer answers it stands on (the first may be odd).
        """
        known = min(1.0, max(1, self.answer_count) * MIN_FLEET_SAMPLE_WEIGHT)
        return self.fleet_mean_latency_ms * math.exp((self.fleet_mean_updated_ms - now) / (FLEET_MEAN_DECAY_MS * known))

    def record_latency(self, node: int, now: float, took_ms: float) -> None:
        """Adds a latency, per request of mean size, to the averages of a node and of all."""
        old_ms = self.mean_latency(node, now) or took_ms
        self.mean_latency_ms[node] = old_ms + MEAN_LATENCY_SAMPLE_WEIGHT * (took_ms - old_ms)
        self.mean_updated_ms[node] = now
        fleet_ms = self.fleet_mean_latency(now)
        self.fleet_mean_updated_ms = now
        self.answer_count += 1
        step = max(MIN_FLEET_SAMPLE_WEIGHT, 1 / self.answer_count)
        self.fleet_mean_latency_ms = fleet_ms + step * (took_ms - fleet_ms) if fleet_ms else took_ms
