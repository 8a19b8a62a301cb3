"""The scheduler's interface to its callers. One instance holds all that one gateway knows and decides."""

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

# Subjects of wake-ups that do not concern a node; those that do are the index of the node.
WAKE_UP_WATCH_RETRY = -1
WAKE_UP_SHUTDOWN_END = -2
WATCH_RETRY_DELAY_RANGE_MS = (500.0, 1500.0)  # after a failed call to discovery; drawn at random


class Scheduler:
    """Schedules the requests of one gateway.

    Args:
        settings: The settings, until `replace_settings` is called.
        seed: Seed of its random numbers.
        now: Current time in milliseconds.
    """

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.settings = SettingsView(settings)
        self.rng = random.Random(seed)
        self.change_set = ChangeSet(settings.clock_resolution_ms)
        self.nodes = NodeHealth(self.settings, self.rng, now)
        self.dispatcher = Dispatcher(self.nodes, self.change_set, now)
        self.submit = self.dispatcher.submit

    def limit_caches(self, max_entries: int) -> None:
        """Sets how many extents, and how many volumes, are remembered; must be called before `start`."""
        self.dispatcher.extents.max_rows = max_entries
        self.dispatcher.valuation.max_volumes = max_entries

    def start(self, now: float) -> Changes:
        """Starts the scheduler, with a call to discovery if it has to be asked for a watch."""
        self._request_watch()
        return self.change_set.finish(now)

    def _request_watch(self) -> None:
        if self.settings.current.must_request_watch:
            self.change_set.changes.discovery_calls.append(DiscoveryCall.WATCH)

    def apply_endpoint_list(self, now: float, kind: ListKind, entries: list[EndpointEntry]) -> Changes:
        """Applies an endpoint list, or changes to it.

        A failed call does not tell whether a watch is still active, so a new one is requested after a delay.
        """
        if kind is ListKind.FAILED:
            self.change_set.request_wake_up(now + self.rng.uniform(*WATCH_RETRY_DELAY_RANGE_MS), WAKE_UP_WATCH_RETRY)
            return self.change_set.finish(now)
        for node in self.nodes.apply_endpoint_list(now, kind, entries):
            for affected_node in sorted(self._move_queued(node)):
                self.dispatcher.process_queue(affected_node, now, None)
        return self.change_set.finish(now)

    def _move_queued(self, node: int) -> set[int]:
        """Moves the requests queued for a node that left to its replacement, or gives them up.

        Returns:
            The nodes whose queues are affected.
        """
        nodes = self.nodes
        affected_nodes = {node, nodes.node_at_slot.get(nodes.slots[node], node)}
        for request in list(nodes.queues[node]):
            if nodes.ready[node] and not 0 <= request.slot != nodes.slots[node]:
                continue
            target = nodes.node_at_slot.get(request.slot, -1) if request.slot >= 0 else nodes.pick_for_new_object()
            if target < 0 or request.may_have_run_since_ms is not None:
                self.dispatcher.load_shedder.give_up(request, "its shelf left the list")
            else:
                nodes.queues[node].remove(request)
                request.node = target
                insort(nodes.queues[target], request)
                affected_nodes.add(target)
        return affected_nodes

    def on_wake_up(self, now: float) -> Changes:
        """Handles the wake-ups that are due."""
        for subject in self.change_set.pop_due(now):
            if subject >= 0:
                self.dispatcher.process_queue(subject, now, None)
            elif subject == WAKE_UP_SHUTDOWN_END:
                for request in self._open_requests():
                    self.dispatcher.load_shedder.give_up(request, "this head ends")
            else:
                self._request_watch()
        return self.change_set.finish(now)

    def _open_requests(self) -> list[Request]:
        request_lists = (*self.nodes.queues, *self.nodes.in_flight)
        return [request for requests in request_lists for request in requests if not request.closed]

    def snapshot(self, now: float) -> dict[str, Any]:
        """Returns a snapshot of what was learned, for a later incarnation. Its form is stored and must not change."""
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

    def restore(self, now: float, state: dict[str, Any], age_ms: float, is_complete: bool) -> None:
        """Restores the snapshot of an earlier incarnation, before the first endpoint list.

        Latencies decay as those of old answers do, and the rest counts for less the older the snapshot is. Trade-off: a
        fleet that has changed since is judged by its former state for some seconds.

        Args:
            now: Current time in milliseconds.
            state: The snapshot.
            age_ms: How long ago it was taken.
            is_complete: Whether nothing was sent after it was taken; only then is it known what is left of limits.
        """
        nodes = self.nodes
        dispatcher = self.dispatcher
        freshness = math.exp(-age_ms / SNAPSHOT_DECAY_MS)
        taken_ms = now - age_ms
        processes = state.get("lives", {})
        nodes.restored_ms = now
        nodes.restored_nodes = {
            name: NodeSnapshot.unpack(row, processes.get(name), taken_ms, freshness)
            for name, row in state["shelfs"].items()
        }
        nodes.fleet_mean_latency_ms, mean_age_ms, low_quartile_ms, mean_value = state["every"]
        nodes.fleet_mean_updated_ms = taken_ms - mean_age_ms
        if freshness > 0.5:
            nodes.low_quartile_ms = low_quartile_ms
            dispatcher.valuation.mean_value_per_unit = mean_value
            dispatcher.last_seq = int(freshness / MIN_FLEET_SAMPLE_WEIGHT)
            nodes.answer_count = dispatcher.last_seq
        for extent, counts in state["thinks"].items():
            extent_state = ExtentState(self.rng.random())
            extent_state.think_time_counts = {
                bucket: n * freshness for bucket, n in counts.items() if n * freshness >= MIN_THINK_TIME_COUNT
            }
            dispatcher.extents[extent] = extent_state
        if is_complete:
            for volume, (limit_tokens, limit_age_ms) in state["limits"].items():
                buckets = TokenBuckets(limit_tokens, taken_ms - limit_age_ms, self.settings.current.max_units)
                dispatcher.valuation.buckets[volume] = buckets
        dispatcher.limits.retry_times_ms.extend(taken_ms - retry_age_ms for retry_age_ms in state["further"])

    def replace_settings(self, now: float, settings: Settings) -> Changes:
        """Replaces the settings, also for queued requests.

        Trade-off: a quota plan that no longer exists still holds for requests that are queued under it.
        """
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
        """Begins a graceful shutdown: all accepted requests get their answer by `end_ms`.

        Queued requests that cannot be served in time are given up now; attempts in flight may still be answered.
        Trade-off: work that a node would have finished after the end is done twice.
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
