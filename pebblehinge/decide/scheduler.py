"""The calls from outside: one instance, what one head knows and decides."""

from __future__ import annotations

import math
import random
from bisect import insort

from pebblehinge.decide.dispatch import Dispatcher
from pebblehinge.decide.node_health import FOLLOW, KEEPS_MS, NodeHealth
from pebblehinge.decide.request import Extent
from pebblehinge.interface import Changes, Entry, ListCall, ListKind, Settings
from pebblehinge.scheduler_state import ChangeSet, FleetFigures, NodeSnapshot, SettingsView, TokenBuckets, pack


class Scheduler:
    """One instance. Its parts: shelfs and their health, the path of requests, notes of what changed."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.given, self.rng, self.notes = SettingsView(settings), random.Random(seed), ChangeSet(settings.step_ms)
        self.shelfs = NodeHealth(self.given, self.rng, now)
        self.path = Dispatcher(self.shelfs, self.notes, now)
        self.take = self.path.take

    def start(self, now: float) -> Changes:
        if self.given.cfg.asks_for_list:
            self.notes.changes.list_calls.append(ListCall.WATCH)
        return self.notes.finish(now)

    def listed(self, now: float, kind: ListKind, entries: list[Entry]) -> Changes:
        """A list, or changes to it. A failed call says nothing of whether a watch stands: ask again."""
        if kind is ListKind.FAILED:
            self.notes.wake(now + self.rng.uniform(500.0, 1500.0), -1)
            return self.notes.finish(now)
        shelfs = self.shelfs
        for s in shelfs.listed(now, kind, entries):
            # What is held for a shelf that left moves to its replacement, or is given up.
            moved = {s, shelfs.at_slot.get(shelfs.slots[s], s)}
            for a in [a for a in shelfs.queued[s] if not shelfs.ready[s] or 0 <= a.slot != shelfs.slots[s]]:
                heir = shelfs.at_slot.get(a.slot, -1) if a.slot >= 0 else shelfs.pick_new()
                if heir < 0 or a.risk_ms is not None:
                    self.path.refusal.give_up(a, "its shelf left the list")
                else:
                    shelfs.queued[s].remove(a)
                    a.shelf = heir
                    insort(shelfs.queued[heir], a)
                    moved.add(heir)
            for affected in sorted(moved):
                self.path.serve(affected, now, None)
        return self.notes.finish(now)

    def woken(self, now: float) -> Changes:
        for what in self.notes.due(now):
            if what >= 0:
                self.path.serve(what, now, None)
            elif what == -2:
                for a in [a for row in (*self.shelfs.queued, *self.shelfs.in_flight) for a in row if not a.over]:
                    self.path.refusal.give_up(a, "this head ends")
            elif self.given.cfg.asks_for_list:
                self.notes.changes.list_calls.append(ListCall.WATCH)
        return self.notes.finish(now)

    def remembered(self, now: float) -> dict:
        """What this head has learned, for a later life."""
        nodes = self.shelfs
        mean_value = self.path.valuation.mean_value_per_unit
        fleet = FleetFigures(nodes.fleet_mean_ms, nodes.fleet_mean_updated_ms, nodes.low_quartile_ms, mean_value)
        think_times = {extent: known.counts for extent, known in self.path.extents.items() if known.counts}
        return pack(now, nodes, fleet, think_times, self.path.valuation.stores, self.path.limits.retries)

    def recall(self, now: float, state: dict, age: float, whole: bool) -> None:
        """Takes up what an earlier life knew, so many ms ago. Latencies give way as old answers do, the rest
        counts for less the longer it lay. What limits had left is known only where nothing was sent after it
        was written (whole). Harm: a fleet that changed meanwhile is judged by what it was, for seconds."""
        shelfs, path, left, lives = self.shelfs, self.path, math.exp(-age / KEEPS_MS), state.get("lives", {})
        shelfs.restored_ms = now
        shelfs.past = {
            name: NodeSnapshot.of(row, lives.get(name), now - age, left) for name, row in state["shelfs"].items()
        }
        shelfs.fleet_mean_ms, fed, low_quartile, mean_value = state["every"]
        shelfs.fleet_mean_updated_ms = now - age - fed
        if left > 0.5:
            shelfs.low_quartile_ms, path.valuation.mean_value_per_unit, path.seq = (
                low_quartile,
                mean_value,
                int(left / FOLLOW),
            )
            shelfs.answers = path.seq
        for extent, counts in state["thinks"].items():
            e = path.extents[extent] = Extent(self.rng.random())
            e.counts = {b: n * left for b, n in counts.items() if n * left >= 0.01}
        for volume, (limit, since) in state["limits"].items() if whole else ():
            path.valuation.stores[volume] = TokenBuckets(limit, now - age - since, self.given.cfg.most_units)
        path.limits.retries.extend(now - age - t for t in state["further"])

    def adopt(self, now: float, settings: Settings) -> Changes:
        """New settings while requests are held. Harm: a plan that is gone holds to its end."""
        self.path.valuation.adopt(now, settings.quota_plans != self.given.cfg.quota_plans)
        self.given.adopt(settings)
        self.notes.step_ms = settings.step_ms or 1.0
        for a in [a for queued in self.shelfs.queued for a in queued]:
            a.quota_plan = self.given.quota_plans.get(a.quota_plan.name, a.quota_plan)
        for s in range(len(self.shelfs.names)):
            self.path.serve(s, now, None)
        return self.notes.finish(now)

    def leaves(self, now: float, end_ms: float) -> Changes:
        """This life ends, and all that was taken has its answer by end_ms: what can't go before is given up
        now, what is out may be answered yet. Harm: what a shelf would have answered after is redone."""
        self.path.end_ms = end_ms
        for s, queued in enumerate(self.shelfs.queued):
            for a in (*queued, *self.shelfs.in_flight[s]):
                a.deadline_ms = min(a.deadline_ms, end_ms)
                a.due_ms = min(a.due_ms, a.deadline_ms)
            queued.sort()
            self.path.serve(s, now, None)
        self.notes.wake(end_ms, -2)
        return self.notes.finish(now)
