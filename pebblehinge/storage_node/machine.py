"""A shelf as a machine in time, with no sockets and no clock of its own: a stand-in, not a measurement.

Work is counted in milliseconds of one core at speed 1. All cores go at one rate, which changes with warmth,
pauses and troubles, so one running sum of work done a core decides when a job ends. `advance(now)` brings the
machine up to a time and returns what ended; `next_ms()` says when to call it again.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from pebblehinge.settings.policy import RulesBlock
from pebblehinge.settings.schema import KindBlock

GRID_MS = 20.0  # how finely a changing rate is followed


@dataclass(slots=True, eq=False)
class Job:
    """One request in the machine."""

    owner: Any
    units: float
    write: bool
    extent: str
    attempt: int
    until_ms: float  # a request whose time is up is not begun
    cheap: bool = False  # an ended repeat of a label costs next to nothing
    dropped: bool = False
    began: bool = False
    work: float = 0.0


@dataclass(slots=True)
class Strike:
    """Troubles that act on the machine now."""

    slow: float = 1.0
    hang: bool = False
    neighbour: float = 0.0  # share taken while it is on
    neighbour_ms: float = 0.0  # on and off in turn
    pause_ms: float = 0.0
    pause_every_ms: float = 0.0
    errors: float = 0.0


class Machine:
    """Cores, slots, a queue in order of arrival, a memory of extents, flushes, pauses and a cold start."""

    def __init__(self, kind: KindBlock, rules: RulesBlock, rng: random.Random, now: float, warm: bool) -> None:
        self.kind, self.rules, self.rng = kind, rules, rng
        self.now = self.started_ms = now
        self.warm_from = -1e12 if warm else now
        self.speed = rng.uniform(*kind.speed)
        self.strike = Strike()
        self.queue: deque[Job] = deque()
        self.running: list[tuple[float, int, Job | None]] = []  # by the sum of work at which it ends
        self.done = 0.0  # work done by each core since the start
        self.order = 0
        self.extents: deque[str] = deque(maxlen=kind.remembers or None)
        self.put_off = 0.0
        self.flush_ms = now + rng.uniform(0.5, 1.0) * kind.flush
        self.paused_until = 0.0
        self.pause_ms = now + rng.uniform(0.2, 1.0) * kind.pause_every if kind.pause else float("inf")
        self.extra_pause_ms = float("inf")
        self.fell = False
        self.got: deque[tuple[float, float]] = deque()  # when and how much work reached a cold machine
        self.got_sum = 0.0
        self.worst_fill = 0.0  # highest part of the cold budget that was asked

    # ---- what it can do

    def warmth(self, now: float) -> float:
        kind = self.kind
        return min(1.0, kind.cold_from + (1.0 - kind.cold_from) * (now - self.warm_from) / max(1.0, kind.cold))

    def capacity(self, now: float) -> float:
        """Work a millisecond that the machine could do were nothing wrong with it but its being cold."""
        return self.kind.cores * self.speed * self.warmth(now)

    def rate(self, now: float) -> float:
        """Work a millisecond of one core."""
        s = self.strike
        if self.fell or s.hang or now < self.paused_until:
            return 0.0
        rate = self.speed * self.warmth(now) / s.slow
        if s.neighbour and int(now / max(1.0, s.neighbour_ms)) % 2 == 0:
            rate *= 1.0 - s.neighbour
        crowd = (len(self.queue) + len(self.running)) / max(1, self.kind.cores * self.kind.slots)
        if crowd > 1.0:
            rate /= 1.0 + self.kind.thrash * min(1.0, crowd - 1.0)
        return rate

    # ---- requests

    def work_of(self, job: Job) -> float:
        """Draws the work of a job; one on a remembered extent costs less at its first attempt."""
        work = job.units * self.kind.unit_work * self.rng.uniform(1.0 - self.kind.noise, 1.0 + self.kind.noise)
        if job.cheap:
            return min(work, 0.1)
        if job.extent in self.extents and job.attempt == 0:
            work *= 1.0 - self.kind.seek
        return work

    def take(self, now: float, job: Job) -> bool:
        """False where it is turned away unseen."""
        kind = self.kind
        job.work = self.work_of(job)
        self._reached(now, job.work)
        room = kind.queue * kind.cores + max(0, kind.cores - len(self.running))
        if self.fell or len(self.queue) >= room:
            return False
        if kind.remembers:
            if job.extent in self.extents:
                self.extents.remove(job.extent)
            self.extents.append(job.extent)
        self.queue.append(job)
        return True

    def drop(self, job: Job) -> None:
        """Called off: waiting work is dropped, running work goes on."""
        job.dropped = True

    def _reached(self, now: float, work: float) -> None:
        """The cold budget: work that reached it within the window against multiple x capacity x window."""
        if self.fell or self.warmth(now) >= 1.0:
            self.got.clear()
            self.got_sum = 0.0
            return
        window = self.rules.fall_window
        self.got.append((now, work))
        self.got_sum += work
        while self.got and self.got[0][0] <= now - window:
            self.got_sum -= self.got.popleft()[1]
        budget = self.rules.fall_multiple * self.capacity(now) * window
        budget += 2.0 * self.rules.most_units * self.kind.unit_work  # a little slack for chance
        self.worst_fill = max(self.worst_fill, self.got_sum / budget)
        if self.got_sum > budget:
            self.fell = True
            self.queue.clear()
            self.running.clear()

    # ---- time

    def begin(self, now: float) -> None:
        """Work begins on what was taken. A caller that takes several together begins after the last of them, so
        that what is called off among them is never begun."""
        while self.queue and len(self.running) < self.kind.cores:
            job = self.queue.popleft()
            if job.dropped or now >= job.until_ms:
                continue
            job.began = True
            work = job.work
            if job.write:
                self.put_off += work * self.kind.defer
                work *= 1.0 - self.kind.defer
            self.order += 1
            heapq.heappush(self.running, (self.done + work, self.order, job))

    def advance(self, now: float) -> list[Job]:
        """Brings the machine up to `now`; the jobs that ended meanwhile, in order."""
        ended: list[Job] = []
        while True:
            at = min(now, self._turn())
            rate = self.rate(self.now)
            self.done += rate * max(0.0, at - self.now)
            self.now = max(self.now, at)
            while self.running and self.running[0][0] <= self.done + 1e-9:
                _, _, job = heapq.heappop(self.running)
                if job is not None:
                    ended.append(job)
            self._happen()
            self.begin(self.now)
            if at >= now:
                return ended

    def _turn(self) -> float:
        """The next time at which something changes: a job ends, a pause, a flush, a step of warmth."""
        now = self.now
        at = min(self.pause_ms, self.extra_pause_ms, self.flush_ms)
        if now < self.paused_until:
            at = min(at, self.paused_until)
        rate = self.rate(now)
        if self.running and rate > 0.0:
            at = min(at, now + max(0.0, self.running[0][0] - self.done) / rate)
        if self.running and (self.warmth(now) < 1.0 or self.strike.neighbour):
            at = min(at, now + GRID_MS)
        return max(at, now)

    def _happen(self) -> None:
        now, kind, strike = self.now, self.kind, self.strike
        if now >= self.pause_ms:
            self.paused_until = max(self.paused_until, now + kind.pause)
            self.pause_ms = now + kind.pause_every * self.rng.uniform(0.8, 1.2) + kind.pause
        if now >= self.extra_pause_ms:
            self.paused_until = max(self.paused_until, now + strike.pause_ms)
            gap = strike.pause_every_ms * self.rng.uniform(0.8, 1.2) + strike.pause_ms
            self.extra_pause_ms = now + gap if strike.pause_ms else float("inf")
        if now >= self.flush_ms:
            self.flush_ms = now + kind.flush * self.rng.uniform(0.8, 1.2)
            if self.put_off and not self.fell:
                self.order += 1
                heapq.heappush(self.running, (self.done + self.put_off / kind.cores, self.order, None))
                self.put_off = 0.0

    def next_ms(self) -> float:
        """When `advance` is wanted next; infinite where only a new request can change anything."""
        if not self.running or self.fell:
            return float("inf")
        return self._turn()

    def set_strike(self, now: float, **values: float | bool) -> list[Job]:
        """Troubles begin or end; returns what had ended by then."""
        ended = self.advance(now)
        for name, value in values.items():
            setattr(self.strike, name, value)
        s = self.strike
        self.extra_pause_ms = now + self.rng.uniform(0.1, 1.0) * s.pause_every_ms if s.pause_ms else float("inf")
        return ended


@dataclass(slots=True)
class Faults:
    """Troubles of the way rather than of the machine; each is a probability for one attempt or frame."""

    resets: float = 0.0
    garble: float = 0.0
    lost_answers: float = 0.0
    deaf: bool = False
    rng: random.Random = field(default_factory=lambda: random.Random(0))

    def hits(self, chance: float) -> bool:
        return chance > 0.0 and self.rng.random() < chance
