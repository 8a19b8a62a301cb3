"""Several heads of one fleet in virtual time: their lives, wakes and attempts, and shelfs whose outcomes are drawn."""

from __future__ import annotations

import heapq
import math
from collections import Counter
from typing import Any

from random_runs import HEADS, NODE_COUNT, RUNNING, Life, end_of

from pebblehinge.decide import Request, Scheduler
from pebblehinge.interface import Changes, EndpointEntry, EndpointState, FinalAnswerKind, Outcome
from pebblehinge.settings import Config


class Fleet:
    """Heads, shelfs and time; the rows of what crosses between clients, heads, list and shelfs."""

    def __init__(self, config: Config, seed: int, rule: str, kind: type[Scheduler] = Scheduler) -> None:
        self.config, self.seed, self.rule, self.kind = config, seed, rule, kind
        self.now, self.count, self.order = 1000.0, 0, 0
        self.truth = {f"s{i}": EndpointEntry(f"s{i}", EndpointState.READY, i, 0.0) for i in range(NODE_COUNT)}
        self.old = dict(self.truth)
        self.lives: dict[str, Life] = {}
        self.agenda: list[tuple[float, int, Any]] = []  # time, order, call
        self.rows: dict[str, list[dict[str, Any]]] = {"clients": [], "lab": [{"e": "begin", "t": 0.0}], "listing": []}
        self.shelfs: dict[str, list[dict[str, Any]]] = {name: [] for name in self.truth}
        self.finals: dict[str, float] = {}
        self.free_at: dict[str, float] = {}
        self.out: dict[str, list[tuple[str, Life, Request, int]]] = {}
        self.after: list[str] = []  # attempts that left after the final answer
        self.astray: list[str] = []  # attempts to a shelf that by the list holds other data
        self.seen: Counter[str] = Counter()
        for name in self.truth:
            self._up(name, False)
        for name in HEADS:
            self._start(name, None)

    def at(self, when: float, call: Any) -> None:
        self.order += 1
        heapq.heappush(self.agenda, (when, self.order, call))

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
                self._done(name, life, life.head.on_wake_up(self.now))
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
        settings = self.config.scheduler_settings(self.config.head["h1"])
        head = self.kind(settings, self.seed + self.order, self.now)
        life = self.lives[name] = Life(head, settings)
        if memory is not None:
            head.restore(self.now, memory, 50.0, False)
        self._note("lab", "started", name=name)
        self._note("clients", "connected", head=name)
        self._done(name, life, head.start(self.now))

    def _done(self, name: str, life: Life, changes: Changes) -> None:
        for request in changes.handles:
            attempts, cancellations, answer = request.drain()
            for attempt in attempts:
                self._attempt(name, life, request, attempt)
            for number in cancellations:
                self.seen["recalled"] += 1
                self.at(self.now, lambda a=request, n=number: self._end(name, life, a, n, Outcome.CANCELLED))
            if answer is not None:
                final = "pushed back" if answer.kind is FinalAnswerKind.REJECTED else "terminated"
                self._final(request, final, answer.retry_after_ms)
        life.wake = changes.wake_ms

    def _final(self, a: Request, final: str, stay: float) -> None:
        self._note("clients", "answer", id=a.trace, final=final, stay=stay)
        self.finals[a.trace] = self.now
        self.seen[final] += 1

    def _attempt(self, name: str, life: Life, a: Request, attempt: Any) -> None:
        n = a.attempt_count - 1
        if a.trace in self.finals:
            self.after.append(f"{a.trace}: trip {n} to {attempt.node_name} after its final answer")
        if a.slot >= 0 and life.slots[attempt.node_name] != a.slot:
            self.astray.append(f"{a.trace}, for slot {a.slot}: trip {n} to {attempt.node_name} at {self.now:.0f} ms")
        rng, outcome, takes = end_of(self.seed, self.rule, a.trace, n)
        if self.rule == "cold":  # in turn, as fast as it is warm
            rules, age = self.config.rules, self.now - self.truth[attempt.node_name].started_ms
            warmth = min(1.0, rules.cold_share + (1.0 - rules.cold_share) * age / rules.warm)
            begins = max(self.now, self.free_at.get(attempt.node_name, 0.0))
            takes = begins + a.units * 14.0 / 2.0 / warmth - self.now
            self.free_at[attempt.node_name] = self.now + takes
        if outcome is Outcome.TIMED_OUT or self.now + takes >= attempt.deadline_ms:
            outcome, takes = Outcome.TIMED_OUT, max(0.0, attempt.deadline_ms - self.now)
        if outcome not in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT):
            age = self.now - self.truth[attempt.node_name].started_ms
            self.shelfs[attempt.node_name].append(
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
            self.shelfs[attempt.node_name].append({"e": "effect", "t": self.now + takes, "id": a.trace})
        self.seen[outcome.value] += 1
        self.seen["further"] += n > 0
        self.out[attempt.node_name] = [
            row for row in self.out.get(attempt.node_name, []) if row[3] not in row[2].ended_attempts
        ]
        self.out[attempt.node_name].append((name, life, a, n))
        self.at(self.now + takes, lambda: self._end(name, life, a, n, outcome, attempt.node_name))

    def _end(self, name: str, life: Life, a: Request, n: int, outcome: Outcome, shelf: str = "") -> None:
        if self.lives.get(name) is not life or n in a.ended_attempts:
            return
        a.ended_attempts.add(n)
        if shelf and outcome is not Outcome.TIMED_OUT:
            self.shelfs[shelf].append({"e": "said", "t": self.now, "id": a.trace, "n": n})
        if outcome is Outcome.SUCCEEDED and a.trace not in self.finals:
            self._final(a, "honoured", 0.0)
        over = a.trace in self.finals
        self._done(name, life, a.on_attempt_end(self.now, n, outcome, over, self.now - a.sent_ms))
