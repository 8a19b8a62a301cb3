"""The calls from outside: one instance holds what one gateway knows and decides."""

from __future__ import annotations

import math
import random
from bisect import insort
from typing import Any

from pebblehinge.decide.dispatch import Dispatcher
from pebblehinge.decide.node_health import MIN_FLEET_SAMPLE_WEIGHT, SNAPSHOT_DECAY_MS, NodeHealth
from pebblehinge.decide.request import MIN_THINK_TIME_COUNT, ExtentState, Request
from pebblehinge.interface import Changes, DiscoveryCall, EndpointEntry, ListKind, Settings
from pebblehinge.scheduler_state import (
    ChangeSet,
    FleetStatistics,
    NodeSnapshot,
    SettingsView,
    TokenBuckets,
    pack_snapshot,
)

WAKE_UP_WATCH_RETRY = -1  # subjects of wake-ups that are no node's index
WAKE_UP_SHUTDOWN_END = -2
WATCH_RETRY_DELAY_RANGE_MS = (500.0, 1500.0)  # after a failed call to discovery; drawn between these


class Scheduler:
    """One gateway's scheduler.

    Args:
        settings: the settings, until `adopt` replaces them.
        seed: of its random draws.
        now: clock, ms.
    """

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.settings = SettingsView(settings)
        self.rng = random.Random(seed)
        self.change_set = ChangeSet(settings.clock_resolution_ms)
        self.nodes = NodeHealth(self.settings, self.rng, now)
        self.dispatcher = Dispatcher(self.nodes, self.change_set, now)
        self.submit = self.dispatcher.submit

    def start(self, now: float) -> Changes:
        """Begins, with a call to discovery where it has to be asked for a watch."""
        self._ask_for_watch()
        return self.change_set.finish(now)

    def _ask_for_watch(self) -> None:
        if self.settings.current.must_request_watch:
            self.change_set.changes.discovery_calls.append(DiscoveryCall.WATCH)

    def apply_endpoint_list(self, now: float, kind: ListKind, entries: list[EndpointEntry]) -> Changes:
        """Applies an endpoint list, or changes to it.

        A failed call says nothing of whether a watch stands, so it is asked for again.
        """
        if kind is ListKind.FAILED:
            self.change_set.request_wake_up(now + self.rng.uniform(*WATCH_RETRY_DELAY_RANGE_MS), WAKE_UP_WATCH_RETRY)
            return self.change_set.finish(now)
        for node in self.nodes.apply_endpoint_list(now, kind, entries):
            for affected in sorted(self._move_queued(node)):
                self.dispatcher.process_queue(affected, now, None)
        return self.change_set.finish(now)

    def _move_queued(self, node: int) -> set[int]:
        """Moves what is queued for a node that left to its replacement, or gives it up; returns the nodes affected."""
        shelfs = self.nodes
        affected = {node, shelfs.node_at_slot.get(shelfs.slots[node], node)}
        for request in list(shelfs.queues[node]):
            if shelfs.ready[node] and not 0 <= request.slot != shelfs.slots[node]:
                continue
            heir = shelfs.node_at_slot.get(request.slot, -1) if request.slot >= 0 else shelfs.pick_for_new_object()
            if heir < 0 or request.may_have_run_since_ms is not None:
                self.dispatcher.load_shedder.give_up(request, "its shelf left the list")
            else:
                shelfs.queues[node].remove(request)
                request.node = heir
                insort(shelfs.queues[heir], request)
                affected.add(heir)
        return affected

    def on_wake_up(self, now: float) -> Changes:
        """A time that was asked for has come."""
        for subject in self.change_set.pop_due(now):
            if subject >= 0:
                self.dispatcher.process_queue(subject, now, None)
            elif subject == WAKE_UP_SHUTDOWN_END:
                for request in self._open_requests():
                    self.dispatcher.load_shedder.give_up(request, "this head ends")
            else:
                self._ask_for_watch()
        return self.change_set.finish(now)

    def _open_requests(self) -> list[Request]:
        rows = (*self.nodes.queues, *self.nodes.in_flight)
        return [request for row in rows for request in row if not request.closed]

    def snapshot(self, now: float) -> dict[str, Any]:
        """Returns a snapshot of what was learned, for a later incarnation; its form is stored and stays."""
        nodes = self.nodes
        valuation = self.dispatcher.valuation
        fleet = FleetStatistics(
            nodes.fleet_mean_latency_ms,
            nodes.fleet_mean_updated_ms,
            nodes.low_quartile_ms,
            valuation.mean_value_per_unit,
        )
        think_times = {
            extent: state.think_time_counts
            for extent, state in self.dispatcher.extents.items()
            if state.think_time_counts
        }
        return pack_snapshot(now, nodes, fleet, think_times, valuation.buckets, self.dispatcher.limits.retry_times_ms)

    def restore(self, now: float, state: dict[str, Any], age: float, whole: bool) -> None:
        """Restores the snapshot of an earlier incarnation, before the first list.

        Latencies give way as old answers do, the rest counts for less the longer it lay. Harm: a fleet that changed
        meanwhile is judged by what it was, for seconds.

        Args:
            now: clock, ms.
            state: the snapshot.
            age: how long ago it was taken, ms.
            whole: nothing was sent after it was taken; only then is it known what limits have left.
        """
        shelfs = self.nodes
        dispatcher = self.dispatcher
        left = math.exp(-age / SNAPSHOT_DECAY_MS)
        then = now - age
        lives = state.get("lives", {})
        shelfs.restored_ms = now
        shelfs.restored_nodes = {
            name: NodeSnapshot.unpack(row, lives.get(name), then, left) for name, row in state["shelfs"].items()
        }
        shelfs.fleet_mean_latency_ms, mean_age_ms, low_quartile_ms, mean_value = state["every"]
        shelfs.fleet_mean_updated_ms = then - mean_age_ms
        if left > 0.5:
            shelfs.low_quartile_ms = low_quartile_ms
            dispatcher.valuation.mean_value_per_unit = mean_value
            dispatcher.last_seq = int(left / MIN_FLEET_SAMPLE_WEIGHT)
            shelfs.answer_count = dispatcher.last_seq
        for extent, counts in state["thinks"].items():
            extent_state = ExtentState(self.rng.random())
            extent_state.think_time_counts = {
                b: n * left for b, n in counts.items() if n * left >= MIN_THINK_TIME_COUNT
            }
            dispatcher.extents[extent] = extent_state
        if whole:
            for volume, (limit, limit_age_ms) in state["limits"].items():
                buckets = TokenBuckets(limit, then - limit_age_ms, self.settings.current.max_units)
                dispatcher.valuation.buckets[volume] = buckets
        dispatcher.limits.retry_times_ms.extend(then - retry_age_ms for retry_age_ms in state["further"])

    def replace_settings(self, now: float, settings: Settings) -> Changes:
        """Replaces the settings while requests are queued. Harm: a plan that is gone holds for them to their end."""
        self.dispatcher.valuation.before_settings_change(now, settings.quota_plans != self.settings.current.quota_plans)
        self.settings.replace(settings)
        self.change_set.wake_up_grid_ms = settings.clock_resolution_ms or 1.0
        plans = self.settings.quota_plans
        for queued in self.nodes.queues:
            for request in queued:
                request.quota_plan = plans.get(request.quota_plan.name, request.quota_plan)
        for node in range(len(self.nodes.names)):
            self.dispatcher.process_queue(node, now, None)
        return self.change_set.finish(now)

    def begin_shutdown(self, now: float, end_ms: float) -> Changes:
        """Begins a graceful shutdown: all that was taken has its answer by end_ms.

        What can't be sent before is given up now, what is in flight may be answered yet. Harm: what a node would
        have answered after the end is done twice.
        """
        self.dispatcher.shutdown_end_ms = end_ms
        for node, queued in enumerate(self.nodes.queues):
            for request in (*queued, *self.nodes.in_flight[node]):
                request.deadline_ms = min(request.deadline_ms, end_ms)
                request.due_ms = min(request.due_ms, request.deadline_ms)
            queued.sort()
            self.dispatcher.process_queue(node, now, None)
        self.change_set.request_wake_up(end_ms, WAKE_UP_SHUTDOWN_END)
        return self.change_set.finish(now)
