"""Plays a drawn run on several heads of one fleet; what crosses goes into a `Day` for the oracles."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from random_runs import GRACE_MS, HEADS, NODE_COUNT
from simulated_fleet import Fleet

from pebblehinge.interface import EndpointEntry, EndpointState, ListKind, Outcome
from pebblehinge.lab.check import DayFacts


class SimulatedRun(Fleet):
    """Plays a run. What crosses between clients, heads, list and shelfs goes into a `Day` for the oracles."""

    def play(self, events: list[tuple[Any, ...]]) -> DayFacts:
        for wait, what, head, *rest in events:
            self._pass(self.now + wait)
            getattr(self, "_" + what)(head, *rest)
        self._pass(self.now + 4000.0)
        day = DayFacts(self.config)
        day.lab(self.rows["lab"])
        day.clients(self.rows["clients"])
        day.listing(self.rows["listing"])
        for name, rows in self.shelfs.items():
            day.shelf(name, sorted(rows, key=lambda r: r["t"]))
        day.extra += [(0.0, what) for what in self.after]
        return day

    # ---- events

    def _take(self, name: str, profile: str, volume: str, extent: str, slot: int, units: float, left: float) -> None:
        life = self.lives[name]
        self.count += 1
        id_, trace, block = self.count, f"c-{self.count}.0", self.config.profile[profile]
        number = f"{volume}-1"
        op = {"op": trace[:-2], "head": name, "profile": profile, "x": extent, "u": units, "volume": number}
        self._note("clients", "op", t=self.now + left - block.patience, plan=volume, **op)
        self._note("clients", "sent", id=trace)
        a, changes = life.head.submit(
            self.now, id_, extent, profile, volume, number, len(HEADS), slot, units, self.now + left, None
        )
        a.trace, a.ended_attempts = trace, set()
        life.open[id_] = a
        self.seen["nearly over"] += left < 50.0
        self._done(name, life, changes)

    def _shelf(self, name: str, index: int, what: str, late: float) -> None:
        shelf = f"s{index}"
        entry, self.old = self.truth[shelf], dict(self.truth)
        self.seen[what] += 1
        if what in ("drain", "gone", "back"):
            standing = {"drain": EndpointState.DRAINING, "gone": EndpointState.GONE, "back": EndpointState.READY}[what]
            self.truth[shelf] = replace(entry, state=standing)
        else:  # another process: what was out at the one before breaks
            for row in self.out.pop(shelf, []):
                self._end(*row, Outcome.CONNECTION_LOST)
            started = {"earlier": self.now - 2000.0, "unstated": 0.0, "future": self.now + 500.0}.get(what, self.now)
            slot = (entry.slot + 1) % NODE_COUNT if what == "moved" else entry.slot
            self.truth[shelf] = EndpointEntry(shelf, EndpointState.READY, slot, started)
            self._up(shelf, what == "restart")
        for head in HEADS:
            self.at(self.now + late, lambda h=head: self._tell(h, "changes", [shelf]))

    def _tell(self, name: str, kind: str, some: list[str] | None = None) -> None:
        life = self.lives[name]
        known = self.old if kind == "stale" else self.truth
        names = some if some is not None else sorted(known)
        entries = [known[n] for n in names if kind == "changes" or known[n].state is not EndpointState.GONE]
        told = {"failed": ListKind.FAILED, "changes": ListKind.CHANGES, "cached": ListKind.CACHED}
        kind_ = told.get(kind, ListKind.WHOLE)
        if kind_ is not ListKind.FAILED:
            rows = [(e.node_name, e.state.value, e.started_ms) for e in entries]
            whole = "changes" if kind == "changes" else "whole"
            self._note("listing", "told", head=name, kind=whole, rows=rows)
        life.slots |= {e.node_name: e.slot for e in entries if kind != "failed"}
        self.seen["list " + kind] += 1
        self._done(
            name, life, life.head.apply_endpoint_list(self.now, kind_, [] if kind_ is ListKind.FAILED else entries)
        )

    def _left(self, name: str, r: float, _: bool) -> None:
        life = self.lives[name]
        open_ = [a for a in life.open.values() if a.trace not in self.finals]
        if open_:
            a = open_[int(r * len(open_))]
            self._note("clients", "left", id=a.trace)
            self.finals[a.trace] = self.now
            self.seen["left"] += 1
            self._done(name, life, a.on_client_disconnect(self.now))

    def _kill(self, name: str, r: float, remembers: bool) -> None:
        life = self.lives[name]
        self._note("lab", "killed", name=name)
        open_ = [a.trace for a in life.open.values() if a.trace not in self.finals]
        self._note("clients", "cut", open=open_)
        self.seen["killed"] += 1
        self._start(name, life.head.snapshot(self.now) if remembers else None)
        self._tell(name, "cached")

    def _adopt(self, name: str, r: float, _: bool) -> None:
        life = self.lives[name]
        plans = tuple(
            replace(p, limit_rate=p.limit_rate * (0.5 if r < 0.5 else 1.0)) for p in life.settings.quota_plans
        )
        self.seen["adopted"] += 1
        life.settings = replace(life.settings, quota_plans=plans)
        self._done(name, life, life.head.replace_settings(self.now, life.settings))

    def _early(self, name: str, *_: Any) -> None:
        self._done(name, self.lives[name], self.lives[name].head.on_wake_up(self.now))

    def _deaf(self, name: str, r: float, _: bool) -> None:
        """Its wakes are missed for a while."""
        self.lives[name].deaf_until = self.now + r * GRACE_MS
        self.seen["deaf"] += 1

    def _twice(self, name: str, r: float, _: bool) -> None:
        """An outcome that was told before, or of an attempt that never was."""
        life = self.lives[name]
        ended = [(a, n) for a in life.open.values() for n in sorted(a.ended_attempts)][-40:]
        if ended:
            a, n = ended[int(r * len(ended))]
            self.seen["told twice"] += 1
            self._done(name, life, a.on_attempt_end(self.now, n, Outcome.SERVER_ERROR, False, 1.0))
