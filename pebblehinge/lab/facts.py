"""What a day left behind: the records of clients, shelfs, the list and the lab, as facts for the rules. Never a head's
account."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from pebblehinge.event_log import EventLogError, read_events
from pebblehinge.lab.link_fault_history import LinkFaultHistory
from pebblehinge.lab.seen import Got, Life, Try
from pebblehinge.settings import Config
from pebblehinge.wire.frames import APPEND

TRANSIT_MS = 50.0  # between a head's sending and a shelf's record of it, at the most, on one machine


class Facts:
    """All facts of a day, read from a folder of records or handed over."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.tries: dict[str, Try] = {}
        self.ops: dict[str, dict[str, Any]] = {}
        self.done: dict[str, dict[str, Any]] = {}
        self.extra: list[tuple[float, str]] = []
        self.attempts: dict[str, list[Got]] = defaultdict(list)
        self.effects: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self.lives: list[Life] = []
        self.told: dict[str, list[tuple[float, str, str, float]]] = defaultdict(list)  # head -> t, shelf, standing
        self.away: dict[str, list[tuple[float, float, str]]] = defaultdict(list)  # dead or frozen: from, until
        self.cuts: set[str] = set()
        self.ways = LinkFaultHistory()
        self.transit_ms = TRANSIT_MS  # and what the laboratory itself was late with what passed through it
        self.steps: list[dict[str, Any]] = []
        self.begin = self.end = 0.0
        self.copies: list[dict[str, Any]] = []  # what members who copy folders noted
        self.saves: list[dict[str, Any]] = []  # what shelfs noted of appends, which their saves are

    # ---- reading

    @classmethod
    def read(cls, folder: Path, config: Config) -> Facts:
        day = cls(config)
        names = sorted(p.name for p in folder.glob("*.jsonl"))
        if not names:
            raise EventLogError(f"records: {folder} holds none")
        for name in names:
            rows = read_events(folder / name)
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
            raise EventLogError(f"records: {folder} holds no client's records")
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
            elif event in ("way", "cut off"):
                self.ways.note(row)
            elif event == "relay":
                self.transit_ms += row["late"]
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
                life = Life(
                    name,
                    row["slot"],
                    row["started"],
                    row["cold"],
                    capacity,
                    row["cold_from"],
                    row["warm_ms"],
                    row["unit_work"],
                )
                self.lives.append(life)
                out.clear()
            elif event == "got":
                assert life is not None
                got = Got(
                    t,
                    name,
                    life.slot,
                    row["head"],
                    row["n"],
                    row["u"],
                    row["w"],
                    row["full"],
                    row["op"],
                    row["x"],
                    row["label"],
                )
                self.attempts[row["id"]].append(got)
                out[(row["id"], row["n"])] = got
                if row["cold"]:
                    life.got.append((t, row["w"], row["head"]))
                if row["full"]:
                    got.said = t
            elif event == "said" and (row["id"], row["n"]) in out:
                out.pop((row["id"], row["n"])).said = t
            elif event == "reset":
                self.attempts[row["id"]].append(
                    Got(
                        t,
                        name,
                        life.slot if life else 0,
                        row["head"],
                        row["n"],
                        0.0,
                        0.0,
                        False,
                        0,
                        "",
                        None,
                        unseen=True,
                    )
                )
            elif event == "effect":
                self.effects[row["id"]].append((t, name))
            elif event == "fell" and life is not None:
                life.fell = t

    # ---- helpers

    def settle_late(self) -> None:
        """Marks attempts that a stopped shelf read only when it went on, and those that stood on their way."""
        for attempts in self.attempts.values():
            for got in attempts:
                name = got.shelf.partition(".")[0]
                got.late = any(
                    kind == "frozen" and b <= got.t <= b + 2 * self.transit_ms for _, b, kind in self.away.get(name, ())
                ) or self.ways.may_have_been_held(got.head, name, got.t - self.transit_ms, got.t)

    @property
    def doubt_ms(self) -> float:
        """For so long (ms) a connection that is none may seem to stand to an end: it asks, and waits three times."""
        return 4.0 * self.config.limits.keepalive + self.transit_ms

    def unheard(self, head: str, begin: float, end: float) -> bool:
        """Whether what passed between a head and any of its clients may have been held meanwhile."""
        loads = [f"load{n + 1}" for n in range(self.config.load.processes)]
        return any(self.ways.may_have_failed(load, head, end, end - begin + self.doubt_ms) for load in loads)

    def untold(self, head: str, t: float) -> bool:
        """Whether what the list told a head at a time may never have come, or late."""
        return self.ways.may_have_failed("listing", head, t, self.doubt_ms)

    def head_away(self, head: str, begin: float, end: float, kinds: tuple[str, ...]) -> bool:
        return any(a <= end and begin <= b and kind in kinds for a, b, kind in self.away.get(head, ()))

    def earned(self, name: str) -> tuple[float, float]:
        """Importance that one op was due, and what it earned: all in time, a part late, nothing otherwise."""
        profile, done = self.config.profile[self.ops[name]["profile"]], self.done.get(name)
        if done is None or done["final"] != "honoured":
            return profile.importance, 0.0
        in_time = done["took"] <= profile.expected
        return profile.importance, profile.importance * (1.0 if in_time else profile.late_share)
