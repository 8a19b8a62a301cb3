"""Storage nodes and their health: which accept requests, how many at once, which are down or in a slow start."""

from __future__ import annotations

import math
import random

from pebblehinge.decide.request import Request
from pebblehinge.interface import EndpointEntry, EndpointState, ListKind, Outcome
from pebblehinge.scheduler_state import NodeSnapshot, NodeTable, SettingsView

MAX_CONCURRENCY = 4  # attempts in flight per node and gateway
SLOW_ATTEMPT_SHARE = 0.4  # of the shortest latency objective; an attempt that takes longer lowers the limit
LIMIT_STEP_UP = 0.1  # change of the unrounded limit with a fast answer
LIMIT_STEP_DOWN = -0.2  # change of the unrounded limit with a slow answer
LATENCY_SAMPLE_WEIGHT = 0.26  # ten samples replace 95% of an average (see the paper in `anticipation`, 3.3)
MEAN_LATENCY_SAMPLE_WEIGHT = 0.2  # for the steadier average that health checks and load shedding use
MIN_FLEET_SAMPLE_WEIGHT = 0.03  # least weight of one answer or request in averages over all nodes
# Time constants of exponential decay.
NODE_MEAN_DECAY_MS = 2000.0  # of a node's mean latency towards the mean of all nodes
FLEET_MEAN_DECAY_MS = 10_000.0  # of the mean of all nodes towards 0, once no node answers any more
SNAPSHOT_DECAY_MS = 120_000.0  # of the weight of what an earlier incarnation learned
START_TOLERANCE_MS = 1000.0  # closer starts belong to one process: lists tell ages, and arrive with a delay
SILENCE_LATENCIES = 4.0  # a node is silent if it has answered nothing for so many mean latencies plus SILENCE_MS
SILENCE_MS = 400.0  # allows for pauses and flushes
MAX_CONSECUTIVE_LOSSES = 4  # with so many attempts timed out or broken, and no answer between, a node is down
PROBE_INTERVAL_MS = 250.0  # between probes of a node that is down


class NodeHealth(NodeTable[Request]):
    """What one gateway knows of the storage nodes.

    Args:
        settings: The settings in force.
        rng: Draws nodes for new objects.
        now: Current time in milliseconds.
    """

    def __init__(self, settings: SettingsView, rng: random.Random, now: float) -> None:
        super().__init__()
        self.settings = settings
        self.rng = rng
        self.fleet_mean_latency_ms = 0.0  # over all nodes
        self.fleet_mean_updated_ms = now
        self.answer_count = 0  # answers that this mean is based on
        self.low_quartile_ms = 0.0  # estimate, over the latencies of all nodes
        self.restored_nodes: dict[str, NodeSnapshot] = {}  # from an earlier incarnation, until the node is listed
        self.restored_ms = now

    # ---- the endpoint list

    def apply_endpoint_list(self, now: float, kind: ListKind, entries: list[EndpointEntry]) -> list[int]:
        """Applies an endpoint list, or changes to it, and returns the nodes that it may have changed."""
        if now - self.restored_ms > SNAPSHOT_DECAY_MS:
            self.restored_nodes.clear()
        changed_nodes: list[int] = []
        if kind is not ListKind.CHANGES:
            for node in self.rows_except({entry.node_name for entry in entries}):
                changed_nodes += [node] if self.ready[node] else []
                self.ready[node] = False
                self.vacant_rows[node] = None
        for entry in entries:
            known_node = self.index.get(entry.node_name)
            if known_node is None and entry.state is EndpointState.GONE:
                continue
            node = self._add_node(entry, now) if known_node is None else known_node
            self.ready[node] = entry.state is EndpointState.READY  # rule 3: otherwise nothing is sent to it
            if self.ready[node]:
                self._update_process(node, entry, now)
            self.vacant_rows.pop(node, None)
            if entry.state is EndpointState.GONE:
                self.vacant_rows[node] = None
            changed_nodes.append(node)
        self.node_at_slot = {}
        for node, slot in enumerate(self.slots):  # of several that hold a slot, the last started
            if self.ready[node] and self.started_ms[node] >= self.started_ms[self.node_at_slot.get(slot, node)]:
                self.node_at_slot[slot] = node
        self.accepting_nodes = sorted(self.node_at_slot.values())
        return changed_nodes

    def _update_process(self, node: int, entry: EndpointEntry, now: float) -> None:
        """Records which process runs under a node's name.

        A new process is not judged by what was learned of an earlier one. It is in a slow start if it started recently,
        or if its start, where 0 is long ago, is no longer reported. The caller moves what is queued for another slot.
        """
        started_ms = min(entry.started_ms, now)
        previous_start_ms = self.started_ms[node]
        is_new = entry.slot != self.slots[node] or abs(started_ms - previous_start_ms) > START_TOLERANCE_MS
        self.slots[node] = entry.slot
        self.started_ms[node] = started_ms
        if is_new:
            self._reset(node, now)
            if previous_start_ms and not started_ms:
                self.begin_slow_start(node, now)
        slow_start_ms = self.slow_start_since_ms[node]
        is_recent = started_ms and now - started_ms < self.settings.current.slow_start_duration_ms
        if is_recent and (is_new or slow_start_ms is None or started_ms > previous_start_ms):
            since_ms = started_ms if started_ms > previous_start_ms else max(started_ms, slow_start_ms or started_ms)
            self.begin_slow_start(node, since_ms)

    def _reset(self, node: int, now: float) -> None:
        """Forgets all about a node but its name, its slot, and that it may be in a slow start."""
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
        """Adds a row for a new name, with what an earlier incarnation knew of it, and returns the row."""
        node = self.allocate_row(entry.node_name)
        self.slots[node] = entry.slot
        self.started_ms[node] = 0.0
        self._reset(node, now)
        snapshot = self.restored_nodes.pop(entry.node_name, None)
        if snapshot is None:
            return node
        self.slots[node], self.started_ms[node] = snapshot.process or (entry.slot, entry.started_ms)
        self.random_latency_ms[node] = snapshot.random_latency_ms
        self.sequential_latency_ms[node] = snapshot.sequential_latency_ms
        self.mean_latency_ms[node] = snapshot.mean_latency_ms
        self.mean_updated_ms[node] = snapshot.mean_updated_ms
        self.unrounded_limit[node] = MAX_CONCURRENCY + (snapshot.unrounded_limit - MAX_CONCURRENCY) * snapshot.freshness
        self.concurrency_limit[node] = int(self.unrounded_limit[node] + 0.5)
        if (
            snapshot.slow_start_since_ms is not None
            and now - snapshot.slow_start_since_ms < self.settings.current.slow_start_duration_ms
        ):
            self.begin_slow_start(node, snapshot.slow_start_since_ms)
        return node

    def pick_for_new_object(self) -> int:
        """Returns the node for a new object, negative if no node accepts requests.

        Of two nodes drawn at random, it is the one with less load from this gateway, or with the lower latency.
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
        """Returns whether a node is unreachable, loses attempts in a row, or is silent with attempts in flight."""
        is_lost = self.unreachable[node] or self.consecutive_losses[node] >= MAX_CONSECUTIVE_LOSSES
        if is_lost or not self.in_flight[node]:
            return is_lost
        return now - self.last_answer_ms[node] - SILENCE_MS >= SILENCE_LATENCIES * self.mean_latency(node, now)

    def record_outcome(self, request: Request, node: int, now: float, outcome: Outcome, took_ms: float) -> None:
        """Updates a node's health by the outcome of an attempt."""
        if request.sent_ms < self.started_ms[node]:  # it was sent to an earlier process
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
        if self.unreachable[node]:  # it may have restarted as late as this attempt
            self.begin_slow_start(node, request.sent_ms)
        self.unreachable[node] = False
        self.consecutive_losses[node] = 0
        # Load from other gateways, a slow node and thrashing all show as slow attempts. Fewer are then sent at once,
        # down to one, so that requests wait here, where they can still be reordered or shed.
        step = LIMIT_STEP_UP if took_ms < SLOW_ATTEMPT_SHARE * self.settings.shortest_objective_ms else LIMIT_STEP_DOWN
        self.unrounded_limit[node] = min(float(MAX_CONCURRENCY), max(1.0, self.unrounded_limit[node] + step))
        self.concurrency_limit[node] = int(self.unrounded_limit[node] + 0.5)
        latency_ms = self.sequential_latency_ms if request.is_sequential else self.random_latency_ms
        latency_ms[node] += LATENCY_SAMPLE_WEIGHT * (took_ms - latency_ms[node]) if latency_ms[node] else took_ms
        took_ms /= request.relative_duration
        self.record_latency(node, now, took_ms)
        step = max(MIN_FLEET_SAMPLE_WEIGHT, 1 / (1 + self.answer_count))
        is_below = took_ms < self.low_quartile_ms
        self.low_quartile_ms = self.low_quartile_ms * (1 + step * (0.25 - is_below)) or took_ms

    def _record_loss(self, node: int, now: float, outcome: Outcome, took_ms: float) -> None:
        self.consecutive_losses[node] += 1
        # One broken connection says little, since links break while a node is well and answers others. But a process
        # that is gone or unreachable may restart unnoticed, so the node counts as in a slow start.
        no_recent_answer = now - self.mean_updated_ms[node] > SILENCE_MS and outcome is Outcome.CONNECT_FAILED
        if outcome is not Outcome.TIMED_OUT and (
            no_recent_answer or self.consecutive_losses[node] >= MAX_CONSECUTIVE_LOSSES
        ):
            self.unreachable[node] = True
            self.next_probe_ms[node] = now + PROBE_INTERVAL_MS
            self.begin_slow_start(node, now)
        elif self.consecutive_losses[node] > 1 and took_ms > self.mean_latency(node, now):
            self.record_latency(node, now, took_ms)  # a single loss does not mean that the node is slow

    def begin_slow_start(self, node: int, since_ms: float) -> None:
        """Puts a node into a slow start: it gets one attempt at a time until its answers raise the limit."""
        self.slow_start_since_ms[node] = since_ms
        self.unrounded_limit[node] = 1.0
        self.concurrency_limit[node] = 1

    def mean_latency(self, node: int, now: float) -> float:
        """Returns the mean latency of a node (ms), which decays to the mean of all nodes as its answers age.

        Otherwise a gateway that sheds load because of an old answer would never get a new one. Trade-off: a slow node
        is tried again sooner.
        """
        fleet_ms = self.fleet_mean_latency(now)
        freshness = math.exp((self.mean_updated_ms[node] - now) / NODE_MEAN_DECAY_MS)
        return fleet_ms + (self.mean_latency_ms[node] - fleet_ms) * freshness

    def fleet_mean_latency(self, now: float) -> float:
        """Returns the mean latency over all nodes (ms), 0 if unknown.

        It decays to 0 with time. Otherwise, once all nodes were slow, a gateway with little load would shed all of it
        for good. It decays more slowly than a node's mean, but faster the fewer answers it is based on, since the first
        ones may be unusual.
        """
        confidence = min(1.0, max(1, self.answer_count) * MIN_FLEET_SAMPLE_WEIGHT)
        return self.fleet_mean_latency_ms * math.exp(
            (self.fleet_mean_updated_ms - now) / (FLEET_MEAN_DECAY_MS * confidence)
        )

    def record_latency(self, node: int, now: float, took_ms: float) -> None:
        """Adds a latency, per request of mean size, to the averages of a node and of all nodes."""
        old_ms = self.mean_latency(node, now) or took_ms
        self.mean_latency_ms[node] = old_ms + MEAN_LATENCY_SAMPLE_WEIGHT * (took_ms - old_ms)
        self.mean_updated_ms[node] = now
        fleet_ms = self.fleet_mean_latency(now)
        self.fleet_mean_updated_ms = now
        self.answer_count += 1
        step = max(MIN_FLEET_SAMPLE_WEIGHT, 1 / self.answer_count)
        self.fleet_mean_latency_ms = fleet_ms + step * (took_ms - fleet_ms) if fleet_ms else took_ms
