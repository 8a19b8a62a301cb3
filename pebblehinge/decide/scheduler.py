"""The calls from outside: one instance holds what one gateway knows and decides."""

from __future__ import annotations

import math
import random
from bisect import insort
from typing import Any

from pebblehinge.decide.dispatch import Dispatcher
from pebblehinge.decide.node_health import FOLLOW, KEEPS_MS, NodeHealth
from pebblehinge.decide.request import LEAST_COUNT, ExtentState, Request
from pebblehinge.interface import Changes, Entry, ListCall, ListKind, Settings
from pebblehinge.scheduler_state import ChangeSet, FleetFigures, NodeSnapshot, SettingsView, TokenBuckets, pack

WATCH_AGAIN = -1  # subjects of wake-ups that are no node's index
SHUTDOWN_ENDS = -2
WATCH_RETRY_MS = (500.0, 1500.0)  # after a failed call to discovery; drawn between these


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
        self.notes = ChangeSet(settings.step_ms)
        self.shelfs = NodeHealth(self.settings, self.rng, now)
        self.dispatcher = Dispatcher(self.shelfs, self.notes, now)
        self.take = self.dispatcher.take

    def start(self, now: float) -> Changes:
        """Begins, with a call to discovery where it has to be asked for a watch."""
        self._ask_for_watch()
        return self.notes.finish(now)

    def _ask_for_watch(self) -> None:
        if self.settings.current.asks_for_list:
            self.notes.changes.list_calls.append(ListCall.WATCH)

    def listed(self, now: float, kind: ListKind, entries: list[Entry]) -> Changes:
        """Applies an endpoint list, or changes to it.

        A failed call says nothing of whether a watch stands, so it is asked for again.
        """
        if kind is ListKind.FAILED:
            self.notes.wake(now + self.rng.uniform(*WATCH_RETRY_MS), WATCH_AGAIN)
            return self.notes.finish(now)
        for node in self.shelfs.update(now, kind, entries):
            for affected in sorted(self._move_queued(node)):
                self.dispatcher.serve(affected, now, None)
        return self.notes.finish(now)

    def _move_queued(self, node: int) -> set[int]:
        """Moves what is queued for a node that left to its replacement, or gives it up; returns the nodes affected."""
        shelfs = self.shelfs
        affected = {node, shelfs.at_slot.get(shelfs.slots[node], node)}
        for request in list(shelfs.queued[node]):
            if shelfs.ready[node] and not 0 <= request.slot != shelfs.slots[node]:
                continue
            heir = shelfs.at_slot.get(request.slot, -1) if request.slot >= 0 else shelfs.pick_new()
            if heir < 0 or request.risk_ms is not None:
                self.dispatcher.load_shedder.give_up(request, "its shelf left the list")
            else:
                shelfs.queued[node].remove(request)
                request.shelf = heir
                insort(shelfs.queued[heir], request)
                affected.add(heir)
        return affected

    def woken(self, now: float) -> Changes:
        """A time that was asked for has come."""
        for subject in self.notes.due(now):
            if subject >= 0:
                self.dispatcher.serve(subject, now, None)
            elif subject == SHUTDOWN_ENDS:
                for request in self._open_requests():
                    self.dispatcher.load_shedder.give_up(request, "this head ends")
            else:
                self._ask_for_watch()
        return self.notes.finish(now)

    def _open_requests(self) -> list[Request]:
        rows = (*self.shelfs.queued, *self.shelfs.in_flight)
        return [request for row in rows for request in row if not request.over]

    def remembered(self, now: float) -> dict[str, Any]:
        """Returns a snapshot of what was learned, for a later incarnation; its form is stored and stays."""
        nodes = self.shelfs
        valuation = self.dispatcher.valuation
        fleet = FleetFigures(
            nodes.fleet_mean_ms, nodes.fleet_mean_updated_ms, nodes.low_quartile_ms, valuation.mean_value_per_unit
        )
        think_times = {extent: state.counts for extent, state in self.dispatcher.extents.items() if state.counts}
        return pack(now, nodes, fleet, think_times, valuation.buckets, self.dispatcher.limits.retries)

    def recall(self, now: float, state: dict[str, Any], age: float, whole: bool) -> None:
        """Restores the snapshot of an earlier incarnation, before the first list.

        Latencies give way as old answers do, the rest counts for less the longer it lay. Harm: a fleet that changed
        meanwhile is judged by what it was, for seconds.

        Args:
            now: clock, ms.
            state: the snapshot.
            age: how long ago it was taken, ms.
            whole: nothing was sent after it was taken; only then is it known what limits have left.
        """
        shelfs = self.shelfs
        dispatcher = self.dispatcher
        left = math.exp(-age / KEEPS_MS)
        then = now - age
        lives = state.get("lives", {})
        shelfs.restored_ms = now
        shelfs.past = {name: NodeSnapshot.of(row, lives.get(name), then, left) for name, row in state["shelfs"].items()}
        shelfs.fleet_mean_ms, mean_age_ms, low_quartile_ms, mean_value = state["every"]
        shelfs.fleet_mean_updated_ms = then - mean_age_ms
        if left > 0.5:
            shelfs.low_quartile_ms = low_quartile_ms
            dispatcher.valuation.mean_value_per_unit = mean_value
            dispatcher.seq = int(left / FOLLOW)
            shelfs.answers = dispatcher.seq
        for extent, counts in state["thinks"].items():
            extent_state = ExtentState(self.rng.random())
            extent_state.counts = {b: n * left for b, n in counts.items() if n * left >= LEAST_COUNT}
            dispatcher.extents[extent] = extent_state
        if whole:
            for volume, (limit, limit_age_ms) in state["limits"].items():
                buckets = TokenBuckets(limit, then - limit_age_ms, self.settings.current.most_units)
                dispatcher.valuation.buckets[volume] = buckets
        dispatcher.limits.retries.extend(then - retry_age_ms for retry_age_ms in state["further"])

    def adopt(self, now: float, settings: Settings) -> Changes:
        """Replaces the settings while requests are queued. Harm: a plan that is gone holds for them to their end."""
        self.dispatcher.valuation.adopt(now, settings.quota_plans != self.settings.current.quota_plans)
        self.settings.adopt(settings)
        self.notes.step_ms = settings.step_ms or 1.0
        plans = self.settings.quota_plans
        for queued in self.shelfs.queued:
            for request in queued:
                request.quota_plan = plans.get(request.quota_plan.name, request.quota_plan)
        for node in range(len(self.shelfs.names)):
            self.dispatcher.serve(node, now, None)
        return self.notes.finish(now)

    def leaves(self, now: float, end_ms: float) -> Changes:
        """Begins a graceful shutdown: all that was taken has its answer by end_ms.

        What can't be sent before is given up now, what is in flight may be answered yet. Harm: what a node would
        have answered after the end is done twice.
        """
        self.dispatcher.end_ms = end_ms
        for node, queued in enumerate(self.shelfs.queued):
            for request in (*queued, *self.shelfs.in_flight[node]):
                request.deadline_ms = min(request.deadline_ms, end_ms)
                request.due_ms = min(request.due_ms, request.deadline_ms)
            queued.sort()
            self.dispatcher.serve(node, now, None)
        self.notes.wake(end_ms, SHUTDOWN_ENDS)
        return self.notes.finish(now)
