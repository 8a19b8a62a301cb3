"""Each of the seven rules, and that no access goes to a shelf without its data, as a property over runs of events from
fixed seeds, on the module's real `Head`; and what a head's `HeadCore` must keep, on runs of its own.

A run is a list of plain events (who, what, with numbers drawn beforehand), so a failing one can be cut down by leaving
events out. `World` plays it on several heads of one fleet: clients come and leave, shelfs restart, drain, move and
lie, lists come late, stale or not at all, wakes come early or late, heads are killed and start empty or from memory.
The oracles are those of `lab/check.py`; they see what went out and what came in, and nothing of a head's own figures.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from dataclasses import replace
from typing import Any

import pytest
from test_rules_can_break import BASE

from pebblehinge.decide import Access, Head
from pebblehinge.head import HeadCore
from pebblehinge.interface import Changes, Entry, Final, ListKind, Outcome, Standing
from pebblehinge.lab.check import RULES, Day
from pebblehinge.settings import Config
from pebblehinge.settings.load import loads

RUNS = 200  # a rule
GRACE_MS = 80.0  # a wake may be late by so much
MARK = "profile mark {\nimportance 2\nexpected 300ms\npatience 1s\nrepeat labelled\ngroup cell\nwindow 700ms\n}\n"
TEXT = BASE.replace("drain-grace", "answer-grace 90ms\ndrain-grace").replace("heads 2", "heads 3") + MARK
RUNNING = (Outcome.ERRED, Outcome.OVERDUE, Outcome.BROKEN, Outcome.RECALLED, Outcome.HONOURED)
CONFIG = loads(TEXT)
COLD = loads(TEXT.replace("cold-share 30%", "cold-share 12%").replace("multiple 2x", "multiple 1.4x"))
PROFILES, VOLUMES, SHELFS, HEADS = ("look", "save", "line", "mark"), ("gold", "capped"), 4, ("h1", "h2", "h3")
OUTCOMES = {
    "usual": {Outcome.HONOURED: 60, Outcome.ERRED: 8, Outcome.FULL: 8, Outcome.BROKEN: 8, Outcome.UNREACHED: 5,
              Outcome.MOOT: 2, Outcome.OVERDUE: 9},
    "well": {Outcome.HONOURED: 100},
}  # fmt: skip
WHAT = ("restart", "restart", "drain", "gone", "back", "moved", "earlier", "unstated", "future")


def events_of(seed: int, rule: str, count: int = 150) -> list[tuple[Any, ...]]:
    """One run: pairs of milliseconds to wait and what happens then."""
    rng = random.Random(f"{seed}/{rule}")
    pace = {"limits": 6.0, "cold": 4.0, "order": 10.0}.get(rule, 14.0)
    weights = {"take": 70, "shelf": 5, "tell": 4, "left": 4, "kill": 2, "adopt": 1, "early": 3, "deaf": 3, "twice": 8}
    if rule in ("limits", "cold"):
        weights |= {"take": 200, "kill": 4}
    found: list[tuple[Any, ...]] = [(0.0, "tell", head, "whole") for head in HEADS]
    for _ in range(count * (2 if rule in ("limits", "cold") else 1)):
        wait, head = rng.expovariate(1.0 / pace), rng.choice(HEADS)
        what = rng.choices(list(weights), list(weights.values()))[0]
        if what == "take":
            odd = rng.random()
            left = rng.choice((-50.0, 0.0, 1.0, 5.0, 40.0, 390.0, 410.0)) if odd < 0.15 else rng.uniform(300.0, 1500.0)
            slot = -1 if rng.random() < 0.05 else rng.randrange(SHELFS + (rng.random() < 0.1))
            profile = "line" if rule == "order" and odd > 0.3 else rng.choice(PROFILES)
            volume = "capped" if rule == "limits" and odd > 0.2 else rng.choice(VOLUMES)
            slot = 0 if rule == "cold" and odd > 0.3 else slot
            extent = f"x{rng.randrange(40 if rule == 'cold' else 3)}"
            rest = (profile, volume, extent, slot, rng.choice((0.5, 1.0, 2.0, 4.0)), left)
        elif what == "shelf":
            done = "restart" if rule == "cold" else rng.choice(WHAT)
            rest = (0 if rule == "cold" else rng.randrange(SHELFS), done, rng.uniform(5.0, 400.0))
        elif what == "tell":
            rest = (rng.choice(("whole", "changes", "cached", "failed", "stale")),)
        else:
            rest = (rng.random(), rng.random() < 0.5)
        found.append((wait, what, head, *rest))
    return found


class Life:
    """One head's process."""

    def __init__(self, head: Any) -> None:
        self.head, self.wake, self.deaf_until = head, None, 0.0
        self.open: dict[int, Access] = {}
        self.slots: dict[str, int] = {}  # as the list told it


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
        self.after: list[str] = []  # trips that left after the final answer
        self.astray: list[str] = []  # trips to a shelf that by the list holds other data
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
        self.shelfs[name].append({
            "e": "up", "t": self.now, "slot": entry.slot, "cores": 2, "speed": 1.0, "started": self.now, "cold": cold,
            "cold_from": rules.cold_share, "warm_ms": rules.warm, "unit_work": 14.0,
        })  # fmt: skip

    def _start(self, name: str, memory: dict[str, Any] | None) -> None:
        head = self.kind(self.config.module_settings(self.config.head["h1"]), self.seed + self.order, self.now)
        life = self.lives[name] = Life(head)
        if memory is not None:
            head.recall(self.now, memory, 50.0, False)
        self._note("lab", "started", name=name)
        self._note("clients", "connected", head=name)
        self._done(name, life, head.start(self.now))

    def _done(self, name: str, life: Life, changes: Changes) -> None:
        for access in changes.handles:
            trips, recalls, answer = access.drain()
            for trip in trips:
                self._trip(name, life, access, trip)
            for number in recalls:
                self.seen["recalled"] += 1
                self.at(self.now, lambda a=access, n=number: self._end(name, life, a, n, Outcome.RECALLED))
            if answer is not None:
                final = "pushed back" if answer.final is Final.PUSHED_BACK else "terminated"
                self._final(access, final, answer.stay_away_ms)
        life.wake = changes.wake_ms

    def _final(self, a: Access, final: str, stay: float) -> None:
        self._note("clients", "answer", id=a.trace, final=final, stay=stay)
        self.finals[a.trace] = self.now
        self.seen[final] += 1

    # ---- trips and their outcomes, drawn by what they are so that a run that is cut down keeps them

    def _trip(self, name: str, life: Life, a: Access, trip: Any) -> None:
        n = a.sent - 1
        if a.trace in self.finals:
            self.after.append(f"{a.trace}: trip {n} to {trip.shelf} after its final answer")
        if a.slot >= 0 and life.slots[trip.shelf] != a.slot:
            self.astray.append(f"{a.trace}, for slot {a.slot}: trip {n} to {trip.shelf} at {self.now:.0f} ms")
        rng = random.Random(f"{self.seed}/{a.trace}/{n}")
        drawn = OUTCOMES["well" if self.rule in ("limits", "cold") else "usual"]
        outcome = rng.choices(list(drawn), list(drawn.values()))[0]
        takes = rng.choice((2.0, 20.0, 60.0, 250.0))
        if self.rule == "cold":  # in turn, as fast as it is warm
            rules, age = self.config.rules, self.now - self.truth[trip.shelf].started_ms
            warmth = min(1.0, rules.cold_share + (1.0 - rules.cold_share) * age / rules.warm)
            begins = max(self.now, self.free_at.get(trip.shelf, 0.0))
            takes = begins + a.units * 14.0 / 2.0 / warmth - self.now
            self.free_at[trip.shelf] = self.now + takes
        if outcome is Outcome.OVERDUE or self.now + takes >= trip.until_ms:
            outcome, takes = Outcome.OVERDUE, max(0.0, trip.until_ms - self.now)
        if outcome not in (Outcome.UNREACHED, Outcome.MOOT):
            age = self.now - self.truth[trip.shelf].started_ms
            self.shelfs[trip.shelf].append({
                "e": "got", "t": self.now, "id": a.trace, "n": n, "head": name, "u": a.units, "w": a.units * 14.0,
                "full": outcome is Outcome.FULL, "op": 1, "x": a.extent, "label": None,
                "cold": age < self.config.rules.warm,
            })  # fmt: skip
            self.seen["to a cold shelf"] += age < self.config.rules.warm
        if outcome in RUNNING and rng.random() < 0.8:
            self.shelfs[trip.shelf].append({"e": "effect", "t": self.now + takes, "id": a.trace})
        self.seen[outcome.value] += 1
        self.seen["further"] += n > 0
        self.out[trip.shelf] = [row for row in self.out.get(trip.shelf, []) if row[3] not in row[2].ended_trips]
        self.out[trip.shelf].append((name, life, a, n))
        self.at(self.now + takes, lambda: self._end(name, life, a, n, outcome, trip.shelf))

    def _end(self, name: str, life: Life, a: Access, n: int, outcome: Outcome, shelf: str = "") -> None:
        if self.lives.get(name) is not life or n in a.ended_trips:
            return
        a.ended_trips.add(n)
        if shelf and outcome is not Outcome.OVERDUE:
            self.shelfs[shelf].append({"e": "said", "t": self.now, "id": a.trace, "n": n})
        if outcome is Outcome.HONOURED and a.trace not in self.finals:
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
        a, changes = life.head.take(self.now, id_, extent, profile, volume, number, len(HEADS), slot, units,
                                    self.now + left, None)  # fmt: skip
        a.trace, a.ended_trips = trace, set()
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
                self._end(*row, Outcome.BROKEN)
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
        cfg = life.head.cfg
        plans = tuple(replace(p, limit_rate=p.limit_rate * (0.5 if r < 0.5 else 1.0)) for p in cfg.plans)
        self.seen["adopted"] += 1
        self._done(name, life, life.head.adopt(self.now, replace(cfg, plans=plans)))

    def _early(self, name: str, *_: Any) -> None:
        self._done(name, self.lives[name], self.lives[name].head.woken(self.now))

    def _deaf(self, name: str, r: float, _: bool) -> None:
        """Its wakes are missed for a while."""
        self.lives[name].deaf_until = self.now + r * GRACE_MS
        self.seen["deaf"] += 1

    def _twice(self, name: str, r: float, _: bool) -> None:
        """An outcome that was told before, or of a trip that never was."""
        life = self.lives[name]
        ended = [(a, n) for a in life.open.values() for n in sorted(a.ended_trips)][-40:]
        if ended:
            a, n = ended[int(r * len(ended))]
            self.seen["told twice"] += 1
            self._done(name, life, a.ended(self.now, n, Outcome.ERRED, False, 1.0))


class Forgets(Head):
    def _give_up(self, a: Access, why: str) -> None:
        super()._give_up(a, why)
        if why == "its time is up":
            a.answer = None


class Repeats(Head):
    def _may_repeat(self, a: Access, now: float, new: int, out: bool = False) -> bool:
        return True


class Drains(Head):
    def listed(self, now: float, kind: ListKind, entries: list[Entry]) -> Changes:
        return super().listed(now, kind, [replace(e, standing=Standing.READY) for e in entries])


class Hot(Head):
    def _chill(self, s: int, since: float) -> None:
        pass


class Rich(Head):
    def _store(self, a: Access, now: float) -> Any:
        st = super()._store(a, now)
        st.limit = max(st.limit, a.units)
        return st


class Mixes(Head):
    def __init__(self, settings: Any, seed: int, now: float) -> None:
        profiles = tuple(replace(p, in_order=False) for p in settings.profiles)
        super().__init__(replace(settings, profiles=profiles), seed, now)


class Spends(Head):
    def _spare_trips(self, now: float) -> float:
        return 99.0


class Strays(Head):
    """Takes a shelf for what its name was first listed as."""

    def listed(self, now: float, kind: ListKind, entries: list[Entry]) -> Changes:
        known = {e.shelf: self.slots[self.index[e.shelf]] for e in entries if e.shelf in self.index}
        return super().listed(now, kind, [replace(e, slot=known.get(e.shelf, e.slot)) for e in entries])


BROKEN = {"final_answer": Forgets, "no_double_effect": Repeats, "drains": Drains, "cold": Hot, "limits": Rich,
          "order": Mixes, "budget": Spends, "data": Strays}  # fmt: skip
# What a rule speaks of must have happened in its runs, at least so often together.
MET = {
    "final_answer": {"nearly over": 500, "left": 300, "killed": 300, "deaf": 300, "told twice": 500, "terminated": 500},
    "no_double_effect": {"broken": 500, "recalled": 5, "moved": 50, "pushed back": 500, "full": 500, "terminated": 500},
    "drains": {"drain": 100, "gone": 100, "list cached": 100, "list stale": 100, "list failed": 100, "moved": 50},
    "cold": {"restart": 200, "to a cold shelf": 2000, "killed": 300},
    "limits": {"killed": 300, "adopted": 100, "honoured": 2000},
    "order": {"overdue": 300, "broken": 300, "honoured": 2000},
    "budget": {"further": 500, "killed": 200},
    "data": {"moved": 100, "further": 500, "list stale": 100},
}


def offence(rule: str, seed: int, kind: type[Head], events: list[tuple[Any, ...]]) -> tuple[str, World, int]:
    world = World(COLD if rule == "cold" else CONFIG, seed, rule, kind)
    day = world.play(events)
    if rule == "data":
        return "; ".join(world.astray[:1]), world, sum(len(trips) for trips in day.trips.values())
    verdict = getattr(day, rule)()
    return verdict.offence, world, verdict.cases


def cut_down(rule: str, seed: int, kind: type[Head], events: list[tuple[Any, ...]]) -> list[tuple[Any, ...]]:
    """The same offence's run with as many events left out as can be in a few hundred tries."""
    size, tries = len(events) // 2, 300
    while size and tries:
        at = 0
        while at < len(events) and tries:
            tries -= 1
            fewer = events[:at] + events[at + size :]
            if offence(rule, seed, kind, fewer)[0]:
                events = fewer
            else:
                at += size
        size //= 2
    return events


def broken_run(rule: str, kind: type[Head], runs: int) -> tuple[str, Counter[str], int]:
    """The first run that breaks the rule, cut down and told; else what was met in all of them."""
    met: Counter[str] = Counter()
    cases = 0
    for seed in range(runs):
        events = events_of(seed, rule)
        said, world, looked = offence(rule, seed, kind, events)
        if said:
            fewer = cut_down(rule, seed, kind, events)
            lines = "\n".join(repr(e) for e in fewer)
            return f"{rule}, seed {seed}: {offence(rule, seed, kind, fewer)[0]}\n{lines}", met, cases
        met += world.seen
        cases += looked
    return "", met, cases


@pytest.mark.parametrize("rule", MET)
def test_a_rule_holds_over_runs_of_events(rule: str) -> None:
    said, met, cases = broken_run(rule, Head, RUNS)
    assert not said, said
    assert set(MET) == {*RULES, "data"}
    assert cases > RUNS, cases
    assert all(met[what] >= least for what, least in MET[rule].items()), met


@pytest.mark.parametrize("rule", BROKEN)
def test_a_head_that_breaks_the_rule_is_caught_by_its_property(rule: str) -> None:
    said, _, _ = broken_run(rule, BROKEN[rule], RUNS)
    assert said.startswith(f"{rule}, seed ") and 2 < len(said.splitlines()) < 60, said


class Client:
    """What a core knows of a connection."""

    inside = False


class Doing:
    """Stands where the sockets are: keeps what the core has done, and what the clients were told."""

    def __init__(self) -> None:
        self.out: list[Any] = []
        self.finals: Counter[int] = Counter()
        self.wake = float("inf")
        self.faults: list[str] = []

    def send_trip(self, taken: Any, shelf: str, trip: int, until_ms: float) -> None:
        if self.finals[taken.id] or taken.trip is not None:
            self.faults.append(f"trip {trip} of {taken.id}: answered, or out already")
        taken.trip = (taken, trip, until_ms)
        self.out.append(taken.trip)

    def drop_trip(self, taken: Any) -> None:
        self.out.remove(taken.trip)

    def answer(self, taken: Any, final: int, stay_ms: float, reason: str, data: bytes) -> None:
        self.finals[taken.id] += 1

    def wake_at(self, at_ms: float) -> None:
        self.wake = min(self.wake, at_ms)

    def call_list(self, call: Any) -> None:
        self.faults.append("a list that is pushed was asked for")


def through_the_core(seed: int, kind: type[HeadCore]) -> tuple[list[str], HeadCore, Doing]:
    """One run of a head's core; what is wrong with it."""
    rng, doing, now, left = random.Random(f"{seed}/core"), Doing(), 1000.0, set()
    core = kind(CONFIG, CONFIG.head["h1"], now, doing)
    core.start(now)
    truth = [Entry(f"s{i}", Standing.READY, i, 0.0) for i in range(SHELFS)]
    core.listed(now, ListKind.WHOLE, truth)
    count, takens = 0, []

    def pass_until(end: float) -> None:
        nonlocal now
        while True:
            due = min(doing.out, key=lambda row: row[2], default=None)
            at = min(due[2] if due else end, doing.wake, end)
            now = max(now, at)
            if doing.wake <= now:
                doing.wake = float("inf")
                core.woken(now)
            elif due and due[2] <= now:
                doing.out.remove(due)
                core.ended(now, due[0], due[1], Outcome.OVERDUE, 1.0)
            else:
                return

    for _ in range(200):
        pass_until(now + rng.expovariate(0.1))
        what = rng.random()
        if what < 0.5:
            count += 1
            taken = core.take(
                now, Client(), count, f"t{count}", rng.choice(("gold-1", "gold-2", "gold-3", "capped-1", "none")), None,
                rng.choice(PROFILES), f"x{rng.randrange(3)}", rng.randrange(-1, SHELFS),
                rng.choice((1.0, 1.0, 1.0, 4.0, 9.0)), rng.choice((0.0, 30.0, 600.0, 900.0)), None, None, 1, 0, 10,
                b"0123456789",
            )  # fmt: skip
            takens += [taken] if taken is not None else []
        elif what < 0.85 and doing.out:
            row = doing.out.pop(rng.randrange(len(doing.out)))
            outcome = Outcome.HONOURED if rng.random() < 0.4 else rng.choice(list(Outcome))
            core.ended(now, row[0], row[1], outcome, rng.uniform(1.0, 100.0))
        elif what < 0.93 and takens:
            open_ = [t for t in takens if not t.answered]
            taken = rng.choice(open_ or takens)
            left |= {taken.id} if not taken.answered else set()
            core.left(now, taken)
        elif what < 0.98:
            i = rng.randrange(SHELFS)
            standing = rng.choice((Standing.READY, *Standing))
            started = rng.choice((0.0, 0.0, now, now - 900.0))
            truth[i] = Entry(f"s{i}", standing, rng.choice((i, i, (i + 1) % SHELFS)), started)
            kind_ = rng.choice((ListKind.WHOLE, ListKind.CHANGES))
            core.listed(now, kind_, [e for e in truth if e.standing is not Standing.GONE])
        else:
            core.take_up(now, CONFIG)
    pass_until(now + 5000.0)
    told = {i: doing.finals[i] for i in range(1, count + 1)}
    faults = doing.faults + [f"{i}: {n} answers" for i, n in told.items() if n != (i not in left)]
    if core.taken or core.open or core.bytes:
        faults.append(f"{len(core.taken)} kept, {core.open} open, {core.bytes} bytes after all had ended")
    return faults, core, doing


def test_the_core_answers_each_access_once_and_keeps_nothing_of_it() -> None:
    met: Counter[str] = Counter()
    for seed in range(RUNS):
        faults, core, _ = through_the_core(seed, HeadCore)
        assert not faults, f"seed {seed}: {faults}"
        met.update({k: n for k, n in core.counts.items()})
        met.update({o.value: n for o, n in core.outcomes.items()})
    assert min(met[k] for k in ("honoured", "pushed back", "terminated", "left", "refused")) > 100, met
    assert min(met[o.value] for o in Outcome) > 50, met


def test_a_core_that_keeps_what_is_over_is_caught() -> None:
    class Keeps(HeadCore):
        def _forget(self, taken: Any) -> None:
            if taken.key % 7:
                super()._forget(taken)

    assert "kept" in through_the_core(0, Keeps)[0][-1]
