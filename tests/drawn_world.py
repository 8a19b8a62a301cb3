"""Plays a drawn run on several heads of one fleet; what crosses goes into a `Day` for the oracles."""

from __future__ import annotations

import heapq
import math
from collections import Counter
from dataclasses import replace
from typing import Any

from drawn import GRACE_MS, HEADS, RUNNING, SHELFS, Life, end_of

from pebblehinge.decide import Access, Head
from pebblehinge.interface import Changes, Entry, Final, ListKind, Outcome, Standing
from pebblehinge.lab.check import Day
from pebblehinge.settings import Config


class World:
    """Plays a run. What crosses between clients, heads, list and shelfs goes into a `Day` for the oracles."""

    def __init__(self, config: Config, seed: int, rule: str, kind: type[Head] = Head) -> None:
        self.config, self.seed, self.rule, self.kind = config, seed, rule, kind
        self.now, self.count, self.order = 1000.0, 0, 0
        self.truth = {f"s{i}": Entry(f"s{i}", Standing.READY, i, 0.0) for i in range(SHELFS)}
        self.old = dict(self.truth)
        self.lives: dict[str, Life] = {}
        self.agenda: list[tuple[float, int, Any]] = []  # time, order, call
        self.rows: dict[str, list[dict[str, Any]]] = {"clients": [], "lab": [{"e": "begin", "t": 0.0}], "listing": []}
        self.shelfs: dict[str, list[dict[str, Any]]] = {name: [] for name in self.truth}
        self.finals: dict[str, float] = {}
        self.free_at: dict[str, float] = {}
        self.out: dict[str, list[tuple[str, Life, Access, int]]] = {}
        self.after: list[str] = []  # attempts that left after the final answer
        self.astray: list[str] = []  # attempts to a shelf that by the list holds other data
        self.seen: Counter[str] = Counter()
        for name in self.truth:
            self._up(name, False)
        for name in HEADS:
            self._start(name, None)

    # ---- the world's own part

    def at(self, when: float, call: Any) -> None:
        self.order += 1
        heapq.heappush(self.agenda, (when, self.order, call))

    def play(self, events: list[tuple[Any, ...]]) -> Day:
        for wait, what, head, *rest in events:
            self._pass(self.now + wait)
            getattr(self, "_" + what)(head, *rest)
        self._pass(self.now + 4000.0)
        day = Day(self.config)
        day.lab(self.rows["lab"])
        day.clients(self.rows["clients"])
        day.listing(self.rows["listing"])
        for name, rows in self.shelfs.items():
            day.shelf(name, sorted(rows, key=lambda r: r["t"]))
        day.extra += [(0.0, what) for what in self.after]
        return day

    def _pass(self, until: float) -> None:
        while True:
            woken = [(name, life) for name, life in self.lives.items() if life.wake is not None]
            at, name = min(((max(life.wake, life.deaf_until), name) for name, life in woken), default=(math.inf, ""))
            if self.agenda and self.agenda[0][0] <= min(at, until):
                when, _, call = heapq.heappop(self.agenda)
                self.now = max(self.now, when)
                call()
            elif at <= until:
                self.now = max(self.now, at)
                life = self.lives[name]
                life.wake = None
                self._done(name, life, life.head.woken(self.now))
            else:
                self.now = until
                return

    def _note(self, where: str, event: str, t: float | None = None, **values: Any) -> None:
        self.rows[where].append({"e": event, "t": self.now if t is None else t, **values})

    def _up(self, name: str, cold: bool) -> None:
        rules, entry = self.config.rules, self.truth[name]
        self.shelfs[name].append(
            {
                "e": "up",
                "t": self.now,
                "slot": entry.slot,
                "cores": 2,
                "speed": 1.0,
                "started": self.now,
                "cold": cold,
                "cold_from": rules.cold_share,
                "warm_ms": rules.warm,
                "unit_work": 14.0,
            }
        )

    def _start(self, name: str, memory: dict[str, Any] | None) -> None:
        settings = self.config.module_settings(self.config.head["h1"])
        head = self.kind(settings, self.seed + self.order, self.now)
        life = self.lives[name] = Life(head, settings)
        if memory is not None:
            head.recall(self.now, memory, 50.0, False)
        self._note("lab", "started", name=name)
        self._note("clients", "connected", head=name)
        self._done(name, life, head.start(self.now))

    def _done(self, name: str, life: Life, changes: Changes) -> None:
        for access in changes.handles:
            attempts, cancellations, answer = access.drain()
            for attempt in attempts:
                self._attempt(name, life, access, attempt)
            for number in cancellations:
                self.seen["recalled"] += 1
                self.at(self.now, lambda a=access, n=number: self._end(name, life, a, n, Outcome.CANCELLED))
            if answer is not None:
                final = "pushed back" if answer.final is Final.REJECTED else "terminated"
                self._final(access, final, answer.stay_away_ms)
        life.wake = changes.wake_ms

    def _final(self, a: Access, final: str, stay: float) -> None:
        self._note("clients", "answer", id=a.trace, final=final, stay=stay)
        self.finals[a.trace] = self.now
        self.seen[final] += 1

    def _attempt(self, name: str, life: Life, a: Access, attempt: Any) -> None:
        n = a.sent - 1
        if a.trace in self.finals:
            self.after.append(f"{a.trace}: trip {n} to {attempt.shelf} after its final answer")
        if a.slot >= 0 and life.slots[attempt.shelf] != a.slot:
            self.astray.append(f"{a.trace}, for slot {a.slot}: trip {n} to {attempt.shelf} at {self.now:.0f} ms")
        rng, outcome, takes = end_of(self.seed, self.rule, a.trace, n)
        if self.rule == "cold":  # in turn, as fast as it is warm
            rules, age = self.config.rules, self.now - self.truth[attempt.shelf].started_ms
            warmth = min(1.0, rules.cold_share + (1.0 - rules.cold_share) * age / rules.warm)
            begins = max(self.now, self.free_at.get(attempt.shelf, 0.0))
            takes = begins + a.units * 14.0 / 2.0 / warmth - self.now
            self.free_at[attempt.shelf] = self.now + takes
        if outcome is Outcome.TIMED_OUT or self.now + takes >= attempt.until_ms:
            outcome, takes = Outcome.TIMED_OUT, max(0.0, attempt.until_ms - self.now)
        if outcome not in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT):
            age = self.now - self.truth[attempt.shelf].started_ms
            self.shelfs[attempt.shelf].append(
                {
                    "e": "got",
                    "t": self.now,
                    "id": a.trace,
                    "n": n,
                    "head": name,
                    "u": a.units,
                    "w": a.units * 14.0,
                    "full": outcome is Outcome.OVERLOADED,
                    "op": 1,
                    "x": a.extent,
                    "label": None,
                    "cold": age < self.config.rules.warm,
                }
            )
            self.seen["to a cold shelf"] += age < self.config.rules.warm
        if outcome in RUNNING and rng.random() < 0.8:
            self.shelfs[attempt.shelf].append({"e": "effect", "t": self.now + takes, "id": a.trace})
        self.seen[outcome.value] += 1
        self.seen["further"] += n > 0
        self.out[attempt.shelf] = [
            row for row in self.out.get(attempt.shelf, []) if row[3] not in row[2].ended_attempts
        ]
        self.out[attempt.shelf].append((name, life, a, n))
        self.at(self.now + takes, lambda: self._end(name, life, a, n, outcome, attempt.shelf))

    def _end(self, name: str, life: Life, a: Access, n: int, outcome: Outcome, shelf: str = "") -> None:
        if self.lives.get(name) is not life or n in a.ended_attempts:
            return
        a.ended_attempts.add(n)
        if shelf and outcome is not Outcome.TIMED_OUT:
            self.shelfs[shelf].append({"e": "said", "t": self.now, "id": a.trace, "n": n})
        if outcome is Outcome.SUCCEEDED and a.trace not in self.finals:
            self._final(a, "honoured", 0.0)
        over = a.trace in self.finals
        self._done(name, life, a.ended(self.now, n, outcome, over, self.now - a.sent_ms))

    # ---- events

    def _take(self, name: str, profile: str, volume: str, extent: str, slot: int, units: float, left: float) -> None:
        life = self.lives[name]
        self.count += 1
        id_, trace, block = self.count, f"c-{self.count}.0", self.config.profile[profile]
        number = f"{volume}-1"
        op = {"op": trace[:-2], "head": name, "profile": profile, "x": extent, "u": units, "volume": number}
        self._note("clients", "op", t=self.now + left - block.patience, plan=volume, **op)
        self._note("clients", "sent", id=trace)
        a, changes = life.head.take(
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
            standing = {"drain": Standing.DRAINING, "gone": Standing.GONE, "back": Standing.READY}[what]
            self.truth[shelf] = replace(entry, standing=standing)
        else:  # another process: what was out at the one before breaks
            for row in self.out.pop(shelf, []):
                self._end(*row, Outcome.CONNECTION_LOST)
            started = {"earlier": self.now - 2000.0, "unstated": 0.0, "future": self.now + 500.0}.get(what, self.now)
            slot = (entry.slot + 1) % SHELFS if what == "moved" else entry.slot
            self.truth[shelf] = Entry(shelf, Standing.READY, slot, started)
            self._up(shelf, what == "restart")
        for head in HEADS:
            self.at(self.now + late, lambda h=head: self._tell(h, "changes", [shelf]))

    def _tell(self, name: str, kind: str, some: list[str] | None = None) -> None:
        life = self.lives[name]
        known = self.old if kind == "stale" else self.truth
        names = some if some is not None else sorted(known)
        entries = [known[n] for n in names if kind == "changes" or known[n].standing is not Standing.GONE]
        told = {"failed": ListKind.FAILED, "changes": ListKind.CHANGES, "cached": ListKind.CACHED}
        kind_ = told.get(kind, ListKind.WHOLE)
        if kind_ is not ListKind.FAILED:
            rows = [(e.shelf, e.standing.value, e.started_ms) for e in entries]
            whole = "changes" if kind == "changes" else "whole"
            self._note("listing", "told", head=name, kind=whole, rows=rows)
        life.slots |= {e.shelf: e.slot for e in entries if kind != "failed"}
        self.seen["list " + kind] += 1
        self._done(name, life, life.head.listed(self.now, kind_, [] if kind_ is ListKind.FAILED else entries))

    def _left(self, name: str, r: float, _: bool) -> None:
        life = self.lives[name]
        open_ = [a for a in life.open.values() if a.trace not in self.finals]
        if open_:
            a = open_[int(r * len(open_))]
            self._note("clients", "left", id=a.trace)
            self.finals[a.trace] = self.now
            self.seen["left"] += 1
            self._done(name, life, a.left(self.now))

    def _kill(self, name: str, r: float, remembers: bool) -> None:
        life = self.lives[name]
        self._note("lab", "killed", name=name)
        open_ = [a.trace for a in life.open.values() if a.trace not in self.finals]
        self._note("clients", "cut", open=open_)
        self.seen["killed"] += 1
        self._start(name, life.head.remembered(self.now) if remembers else None)
        self._tell(name, "cached")

    def _adopt(self, name: str, r: float, _: bool) -> None:
        life = self.lives[name]
        plans = tuple(replace(p, limit_rate=p.limit_rate * (0.5 if r < 0.5 else 1.0)) for p in life.settings.plans)
        self.seen["adopted"] += 1
        life.settings = replace(life.settings, plans=plans)
        self._done(name, life, life.head.adopt(self.now, life.settings))

    def _early(self, name: str, *_: Any) -> None:
        self._done(name, self.lives[name], self.lives[name].head.woken(self.now))

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
            self._done(name, life, a.ended(self.now, n, Outcome.SERVER_ERROR, False, 1.0))
