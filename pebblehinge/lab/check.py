"""The seven rules, judged from the records of clients, shelfs, the list and the lab. Never from a head's account.

Nothing here knows how heads decide. Each rule is a class that is fed the day's facts and says: kept or broken,
how many cases it looked at, how near the nearest came (1 is at the edge, above is broken), the first offence.
"""

from __future__ import annotations

import bisect
from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from pebblehinge.records import RecordsError, read_records
from pebblehinge.settings import Config
from pebblehinge.wire.frames import APPEND

TRANSIT_MS = 50.0  # between a head's sending and a shelf's record of it, at the most, on one machine
RULES = ("final_answer", "no_double_effect", "drains", "cold", "limits", "order", "budget")


@dataclass(slots=True)
class Verdict:
    """What the checker says of one rule."""

    kept: bool = True
    cases: int = 0
    nearest: float = 0.0
    offence: str = ""
    offences: int = 0

    def look(self, part: float, course: str = "") -> None:
        """One case, as a part of what is allowed; above 1 it breaks the rule."""
        self.cases += 1
        if part > self.nearest:
            self.nearest = part
        if part > 1.0 + 1e-9:
            self.offences += 1
            if self.kept:
                self.kept, self.offence = False, course

    def told(self) -> dict[str, Any]:
        said: dict[str, Any] = {"kept": self.kept, "cases": self.cases, "nearest": round(self.nearest, 4)}
        if not self.kept:
            said |= {"offences": self.offences, "first": self.offence}
        return said


@dataclass(slots=True)
class Try:
    """One access as its client saw it."""

    id: str
    op: dict[str, Any]
    sent: float
    conn: int  # which connection of its client to that head, counted
    answers: list[tuple[float, str, float]] = field(default_factory=list)
    left: float | None = None


@dataclass(slots=True)
class Got:
    """One trip as a shelf saw it."""

    t: float
    shelf: str
    slot: int
    head: str
    n: int
    units: float
    work: float
    full: bool
    op: int
    extent: str
    label: str | None
    said: float | None = None
    unseen: bool = False
    late: bool = False  # lay in the socket of a shelf that was stopped: when it was sent is not known


@dataclass(slots=True)
class Life:
    """One life of a shelf's process."""

    name: str
    slot: int
    start: float
    cold: bool
    capacity: float
    cold_from: float
    warm_ms: float
    unit_work: float
    got: list[tuple[float, float, str]] = field(default_factory=list)
    fell: float | None = None


class Day:
    """All facts of a day, read from a folder of records or handed over."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.tries: dict[str, Try] = {}
        self.ops: dict[str, dict[str, Any]] = {}
        self.done: dict[str, dict[str, Any]] = {}
        self.extra: list[tuple[float, str]] = []
        self.trips: dict[str, list[Got]] = defaultdict(list)
        self.effects: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self.lives: list[Life] = []
        self.told: dict[str, list[tuple[float, str, str, float]]] = defaultdict(list)  # head -> t, shelf, standing
        self.away: dict[str, list[tuple[float, float, str]]] = defaultdict(list)  # dead or frozen: from, until
        self.cuts: set[str] = set()
        self.steps: list[dict[str, Any]] = []
        self.begin = self.end = 0.0
        self.copies: list[dict[str, Any]] = []  # what members who copy folders noted
        self.saves: list[dict[str, Any]] = []  # what shelfs noted of appends, which their saves are

    # ---- reading

    @classmethod
    def read(cls, folder: Path, config: Config) -> Day:
        day = cls(config)
        names = sorted(p.name for p in folder.glob("*.jsonl"))
        if not names:
            raise RecordsError(f"records: {folder} holds none")
        for name in names:
            rows = read_records(folder / name)
            stem = name.removesuffix(".jsonl")
            if stem.startswith("load"):
                day.clients(rows)
            elif stem == "lab":
                day.lab(rows)
            elif stem == "listing":
                day.listing(rows)
            elif stem.startswith("shelf-"):
                day.shelf(stem.removeprefix("shelf-"), rows)
        if not day.ops:
            raise RecordsError(f"records: {folder} holds no client's records")
        return day

    def clients(self, rows: Iterable[dict[str, Any]]) -> None:
        conns: dict[str, int] = defaultdict(int)
        for row in rows:
            event = row["e"]
            if event == "op":
                self.ops[row["op"]] = row
            elif event == "done":
                self.done[row["op"]] = row
            elif event == "sent":
                op = self.ops[row["id"].rpartition(".")[0]]
                self.tries[row["id"]] = Try(row["id"], op, row["t"], conns[op["head"]])
            elif event == "answer":
                self.tries[row["id"]].answers.append((row["t"], row["final"], row["stay"]))
            elif event == "left":
                self.tries[row["id"]].left = row["t"]
            elif event == "extra":
                self.extra.append((row["t"], f"answer {row['final']} to {row['id']}, which was over"))
            elif event in ("copy", "tried", "copied"):
                self.copies.append(row)
            elif event == "connected":
                conns[row["head"]] += 1
            elif event == "cut":
                self.cuts.update(row["open"])

    def lab(self, rows: Iterable[dict[str, Any]]) -> None:
        since: dict[str, float] = {}
        for row in rows:
            event, t = row["e"], row["t"]
            if event == "begin":
                self.begin = t
            elif event == "end":
                self.end = t
            elif event == "step":
                self.steps.append(row)
            elif event in ("killed", "frozen", "stopped"):
                # A head that is told to stop owes its answers until it has stopped.
                since.setdefault(row["name"], t)
                if event == "killed":
                    self.away[row["name"]].append((t, t, "killed"))
            elif event in ("started", "thawed") and row["name"] in since:
                kind = "frozen" if event == "thawed" else "down"
                self.away[row["name"]].append((since.pop(row["name"]), t, kind))

    def listing(self, rows: Iterable[dict[str, Any]]) -> None:
        for row in rows:
            if row["e"] == "told":
                named = set()
                for shelf, standing, started in row["rows"]:
                    named.add(shelf)
                    self.told[row["head"]].append((row["t"], shelf, standing, started))
                if row["kind"] == "whole":  # what the whole list leaves out is gone
                    known = {s for _, s, standing, _ in self.told[row["head"]] if standing != "gone"}
                    for shelf in sorted(known - named):
                        self.told[row["head"]].append((row["t"], shelf, "gone", -1.0))

    def shelf(self, name: str, rows: Iterable[dict[str, Any]]) -> None:
        life: Life | None = None
        out: dict[tuple[str, int], Got] = {}
        for row in rows:
            event, t = row["e"], row["t"]
            if event in ("effect", "beside") or row.get("op") == APPEND:
                self.saves.append(row)
            if event == "up":
                capacity = row["cores"] * row["speed"]
                life = Life(name, row["slot"], row["started"], row["cold"], capacity, row["cold_from"], row["warm_ms"],
                            row["unit_work"])  # fmt: skip
                self.lives.append(life)
                out.clear()
            elif event == "got":
                assert life is not None
                got = Got(t, name, life.slot, row["head"], row["n"], row["u"], row["w"], row["full"], row["op"],
                          row["x"], row["label"])  # fmt: skip
                self.trips[row["id"]].append(got)
                out[(row["id"], row["n"])] = got
                if row["cold"]:
                    life.got.append((t, row["w"], row["head"]))
                if row["full"]:
                    got.said = t
            elif event == "said" and (row["id"], row["n"]) in out:
                out.pop((row["id"], row["n"])).said = t
            elif event == "reset":
                self.trips[row["id"]].append(
                    Got(t, name, life.slot if life else 0, row["head"], row["n"], 0.0, 0.0, False, 0, "", None,
                        unseen=True)  # fmt: skip
                )
            elif event == "effect":
                self.effects[row["id"]].append((t, name))
            elif event == "fell" and life is not None:
                life.fell = t

    # ---- helpers

    def settle_late(self) -> None:
        """Marks trips that a stopped shelf read only when it went on."""
        for trips in self.trips.values():
            for got in trips:
                name = got.shelf.partition(".")[0]
                got.late = any(
                    kind == "frozen" and b <= got.t <= b + 2 * TRANSIT_MS for _, b, kind in self.away.get(name, ())
                )

    def head_away(self, head: str, begin: float, end: float, kinds: tuple[str, ...]) -> bool:
        return any(a <= end and begin <= b and kind in kinds for a, b, kind in self.away.get(head, ()))

    def earned(self, name: str) -> tuple[float, float]:
        """Importance that one op was due, and what it earned: all in time, a part late, nothing otherwise."""
        profile, done = self.config.profile[self.ops[name]["profile"]], self.done.get(name)
        if done is None or done["final"] != "honoured":
            return profile.importance, 0.0
        in_time = done["took"] <= profile.expected
        return profile.importance, profile.importance * (1.0 if in_time else profile.late_share)

    # ---- the rules

    def judge(self) -> dict[str, Verdict]:
        self.settle_late()
        return {
            "final_answer": self.final_answer(),
            "no_double_effect": self.no_double_effect(),
            "drains": self.drains(),
            "cold": self.cold(),
            "limits": self.limits(),
            "order": self.order(),
            "budget": self.budget(),
        }

    def final_answer(self) -> Verdict:
        """Rule 1: exactly one final answer in the client's own time, nothing after."""
        v = Verdict()
        grace, most_stay = self.config.rules.answer_grace, self.config.rules.stay_away_max
        for t, what in self.extra:
            v.look(2.0, f"at {t - self.begin:.0f} ms: {what}")
        for a in self.tries.values():
            head, patience = a.op["head"], self.config.profile[a.op["profile"]].patience
            due = a.op["t"] + patience if a.id.endswith(".0") else a.sent + patience
            if a.left is not None or a.id in self.cuts:
                v.look(0.0)
                continue
            if not a.answers:
                v.look(2.0, f"{a.id} by {head}: sent at {a.sent - self.begin:.0f} ms, never answered")
                continue
            t, final, stay = a.answers[0]
            excused = self.head_away(head, a.sent - 5.0, t + 5.0, ("killed", "down", "frozen"))
            if len(a.answers) > 1:
                v.look(2.0, f"{a.id} by {head}: {len(a.answers)} answers, {', '.join(f for _, f, _ in a.answers)}")
            elif final in ("lost", "out of time"):
                course = f"{a.id} by {head}: {final} at {t - self.begin:.0f} ms, sent at {a.sent - self.begin:.0f} ms"
                v.look(0.0 if excused else 2.0, course)
            elif stay > most_stay:
                v.look(2.0, f"{a.id} by {head}: told to keep away {stay:.0f} ms, at most {most_stay:.0f} allowed")
            else:
                allowed = max(1.0, due + grace - a.sent)
                v.look(0.0 if excused else (t - a.sent) / allowed,
                       f"{a.id} by {head}: {final} after {t - a.sent:.0f} ms, allowed {allowed:.0f}")  # fmt: skip
        return v

    def no_double_effect(self) -> Verdict:
        """Rule 2, from what shelfs got, did and what clients were told."""
        v = Verdict()
        zones = {s.slot: s.zone for s in self.config.shelf.values()}
        for a in self.tries.values():
            profile = self.config.profile[a.op["profile"]]
            if profile.repeat == "redoable":
                continue
            trips = sorted(self.trips.get(a.id, ()), key=lambda g: (g.n, g.t))
            may = [g for g in trips if not g.full]  # may have run: taken, or the connection broke after it came
            final = a.answers[0][1] if a.answers else "none"
            course = f"{a.id} ({a.op['profile']}) by {a.op['head']}: " + "; ".join(
                f"trip {g.n} to {g.shelf} at {g.t - self.begin:.0f} ms{' turned away' if g.full else ''}" for g in trips
            ) + f"; {final}, {len(self.effects.get(a.id, ()))} effects"  # fmt: skip
            if profile.repeat == "irreversible":
                effects = len(self.effects.get(a.id, ()))
                if effects > 1 or (may and any(g.n > may[0].n or g.t > may[0].t for g in trips)):
                    v.look(2.0, course)
                elif final == "pushed back" and may:
                    v.look(2.0, course + ": told that trying again is harmless")
                else:
                    v.look(float(min(1, len(may))))
                continue
            part = 0.0
            if may:
                part = (trips[-1].t - may[0].t) / profile.window
                same = profile.group == "all" or all(
                    g.slot == may[0].slot if profile.group == "cell" else zones.get(g.slot) == zones.get(may[0].slot)
                    for g in trips
                    if g.t > may[0].t
                )
                if not same or (final == "pushed back" and profile.group != "all"):
                    part = 2.0
            v.look(part, course)
        # The same over a client's tries: a pushback made the next one harmless, so none may have had an effect.
        by_op: dict[str, list[str]] = defaultdict(list)
        for id_ in self.effects:
            op = id_.rpartition(".")[0]
            if op in self.ops and self.config.profile[self.ops[op]["profile"]].repeat == "irreversible":
                by_op[op].append(id_)
        for op, ids in by_op.items():
            v.look(2.0 if len(ids) > 1 else 1.0, f"{op}: effects by its tries {', '.join(sorted(ids))}")
        return v

    def drains(self) -> Verdict:
        """Rule 3: nothing to a shelf later than the grace after this head was told that it drains or is gone."""
        v = Verdict()
        grace = self.config.rules.drain_grace + TRANSIT_MS
        stand: dict[tuple[str, str], list[tuple[float, str]]] = defaultdict(list)
        for head, rows in self.told.items():
            for t, shelf, standing, _ in rows:
                stand[(head, shelf)].append((t, standing))
                if standing != "ready":
                    v.look(0.0)  # a telling, kept until a trip says otherwise
        for id_, trips in self.trips.items():
            for got in trips:
                rows = stand.get((got.head, got.shelf), [])
                i = bisect.bisect_right(rows, got.t, key=lambda r: r[0]) - 1
                if i < 0 or got.late:
                    continue
                while i > 0 and rows[i][1] != "ready" and rows[i - 1][1] != "ready":
                    i -= 1  # from the first telling
                if rows[i][1] == "ready":
                    continue
                if self.head_away(got.head, rows[i][0], got.t, ("frozen",)):
                    continue
                late = got.t - rows[i][0]
                course = f"{id_} by {got.head}: to {got.shelf} {late:.0f} ms after it was told {rows[i][1]}"
                v.look(late / grace, course)
        return v

    def cold(self) -> Verdict:
        """Rule 4: the work that reached a cold shelf within any window against what it could bear."""
        v = Verdict()
        rules = self.config.rules
        for life in self.lives:
            if not life.cold:
                continue
            window: deque[tuple[float, float, str]] = deque()
            total = 0.0
            for t, work, head in life.got:
                window.append((t, work, head))
                total += work
                while window and window[0][0] <= t - rules.fall_window:
                    total -= window.popleft()[1]
                warmth = min(1.0, life.cold_from + (1 - life.cold_from) * (t - life.start) / max(1.0, life.warm_ms))
                budget = rules.fall_multiple * life.capacity * warmth * rules.fall_window
                budget += 2.0 * rules.most_units * life.unit_work
                course = f"{life.name} got {total:.0f} of {budget:.0f} ms of work, {t - life.start:.0f} ms old"
                if total > budget:
                    knew = sum(w for at, w, h in window if self._knew(h, life, at))
                    if knew < total * 2 / 3:  # most came from heads that could not know
                        total_part = knew / max(1.0, total * 2 / 3)
                        v.look(min(1.0, total_part), course)
                        continue
                v.look(total / budget, course)
            if life.fell is not None and v.kept:
                v.look(2.0, f"{life.name} fell over {life.fell - life.start:.0f} ms after its start")
        return v

    def _knew(self, head: str, life: Life, at: float) -> bool:
        """Whether a head had been told of this start by then."""
        return any(
            t <= at and shelf == life.name and abs(started - life.start) < 1000.0
            for t, shelf, _, started in self.told.get(head, ())
        )

    def limits(self) -> Verdict:
        """Rule 5: the store of each volume with a limit, over all heads and shelfs."""
        v = Verdict()
        firsts: dict[str, list[tuple[float, float, str]]] = defaultdict(list)
        for id_, trips in self.trips.items():
            op = self.ops.get(id_.rpartition(".")[0])
            if op is None or not self.config.plan[op["plan"]].limit:
                continue
            first = min(trips, key=lambda g: g.t)
            if first.late:
                continue
            firsts[op["volume"]].append((first.t, op["u"], id_))
        for volume, rows in firsts.items():
            plan = self.config.plan[self.config.volume[volume].plan]
            rows.sort()
            level, at = plan.burst, rows[0][0]
            slack = plan.slack + plan.limit * TRANSIT_MS / 1000.0
            for t, units, id_ in rows:
                level = min(plan.burst, level + (t - at) * plan.limit / 1000.0) - units
                at = t
                used = (plan.burst - level) / (plan.burst + slack)
                course = f"{volume} at {t - self.begin:.0f} ms: {id_} took its store to {level:.1f}"
                v.look(used, course)
        return v

    def order(self) -> Verdict:
        """Rule 6: accesses of one key at one head run one at a time, in the order in which they came."""
        v = Verdict()
        ordered = {name for name, p in self.config.profile.items() if p.in_order}
        if not ordered:
            return v
        settle = self.config.rules.order_settle
        lines: dict[tuple[str, str, str, int], list[Try]] = defaultdict(list)
        for a in self.tries.values():
            if a.op["profile"] in ordered:
                client = a.id.partition("-")[0]
                lines[(a.op["head"], a.op["x"], client, a.conn)].append(a)
        for (head, key, _, _), line in lines.items():
            line.sort(key=lambda a: a.sent)
            before: list[Got] = []
            for a in line:
                trips = sorted((g for g in self.trips.get(a.id, ()) if not g.unseen and not g.late), key=lambda g: g.t)
                for got in trips:
                    for b in before:
                        course = f"{key} by {head}: {a.id} reached {got.shelf} at {got.t - self.begin:.0f} ms, "
                        course += f"an earlier one's trip came at {b.t - self.begin:.0f} ms"
                        if b.t > got.t:
                            v.look(2.0, course)
                        elif b.said is None or b.said > got.t + 1.0:
                            # Its outcome was told no earlier than it came; after that the key rests.
                            v.look(settle / max(1e-3, got.t - b.t + TRANSIT_MS) if settle else 2.0, course)
                        else:
                            v.look(0.0)
                before = (before + trips)[-4:]
        return v

    def budget(self) -> Verdict:
        """Rule 7: further trips of one head within any window against its few and its share."""
        v = Verdict()
        rules = self.config.rules
        if rules.budget_share is None:
            return v
        takes: dict[str, list[float]] = defaultdict(list)
        further: dict[str, list[tuple[float, str]]] = defaultdict(list)
        for a in self.tries.values():
            takes[a.op["head"]].append(a.sent)
        for id_, trips in self.trips.items():
            for got in trips:
                if got.n > 0 and not got.late:
                    further[got.head].append((got.t, id_))
        for head, rows in further.items():
            rows.sort()
            taken = sorted(takes[head])
            times = [t for t, _ in rows]
            ends = sorted(a for a, _, kind in self.away.get(head, ()) if kind == "down")
            for i, (t, id_) in enumerate(rows):
                # One that stood on its way for a while may have been sent earlier: the window is a little shorter.
                since = t - rules.budget_window + TRANSIT_MS
                # A head counts from its own start: it can't know what it did before it was killed.
                since = max([since, *(at for at in ends if at <= t)])
                made = i + 1 - bisect.bisect_right(times, since)
                came = bisect.bisect_right(taken, t) - bisect.bisect_right(taken, since - 2 * TRANSIT_MS)
                allowed = rules.budget_free + rules.budget_share * came
                course = f"{id_} by {head}: {made} further trips in the window, {allowed:.1f} allowed"
                v.look(made / max(1e-3, allowed), course)
        return v
