"""Who is given up, and with what answer."""

from __future__ import annotations

import heapq
from bisect import insort

from pebblehinge.decide.access import FLOOR, Access, Extent
from pebblehinge.decide.limits import Limits
from pebblehinge.decide.shelfs import BOUND
from pebblehinge.interface import Answer, DeduplicationScope, Final, Idempotency

IDLE = 1.7  # what an idle shelf takes, in lower quartiles of the latencies of all shelfs
TEMPER = 2.0  # how much more room what earns less than usual needs


class Refusal:
    """Places what is held for a shelf and gives up what can't be in time; the one end of an access."""

    def __init__(self, limits: Limits, extents: dict[str, Extent]) -> None:
        self.limits, self.extents, self.notes = limits, extents, limits.notes
        self.shelfs, self.worth = limits.shelfs, limits.worth

    def shed(self, s: int, now: float) -> None:
        """Refusal under overload. Each held access is placed at the time its turn should end; where one would
        miss its due time, the one among it and those before it that earns least for the work is given up.
        One that can no longer be in time by itself counts with its late worth, due when the client leaves.
        Many heads share a shelf and each holds little to choose from: what earns less than usual here needs
        more room to spare, what earns more needs less. Harm: some that the shelf could have served."""
        shelfs = self.shelfs
        held, mean, bound = shelfs.held[s], shelfs.mean(s, now), shelfs.bound[s]
        if not held:
            return
        idle = min(mean, IDLE * shelfs.low_ms)
        down, room, i = shelfs.down(s, now), bound - len(shelfs.away[s]), 0
        least: list[tuple[float, float, int, Access]] = []  # a heap of those up to i, once one must go
        if down and now < shelfs.trial_ms[s]:
            for a in list(held):
                self.give_up(a, "its shelf is down")
            return
        while i < len(held):
            a = held[i]
            ready = self.limits.earliest(a, now)
            rest = (mean - idle) * (self.worth.usual / max(a.density, FLOOR)) ** TEMPER
            needs = a.size * (idle + rest)
            if ready > now and ready + needs > a.due_ms:  # at whatever cost to others
                self.give_up(a, "too late by " + a.waits_for)
                continue
            if now + needs >= a.due_ms and a.due_ms < a.abandon_ms:
                if room <= 0 or (bound < BOUND and shelfs.away[s]):  # late worth takes only what nobody wants
                    self.give_up(a, "its shelf is too slow for it")
                    continue
                held.pop(i)
                a.due_ms = a.abandon_ms
                a.density *= a.profile.late_share
                insort(held, a)
                continue
            if least:
                heapq.heappush(least, (a.density, -a.due_ms, -a.seq, a))
            while a.held and (
                (down and i) or now >= a.abandon_ms or now + needs + mean * max(0, i + 1 - room) / bound > a.due_ms
            ):
                if not least:
                    least = [(b.density, -b.due_ms, -b.seq, b) for b in held[: i + 1]]
                    heapq.heapify(least)
                victim = heapq.heappop(least)[-1]
                over = now >= victim.abandon_ms
                self.give_up(victim, "its time is up" if over else "others earn more there")
                i -= victim is not a
            i += a.held
        if held:  # rule 1: whichever shelf an access has come to stand at, the next end is asked for there
            self.notes.wake(min(a.abandon_ms if a.due_ms >= a.abandon_ms else a.due_ms for a in held), s)

    def give_up(self, a: Access, why: str) -> None:
        """The final answer, at once. Rejected where trying again is harmless, with a time to stay away,
        drawn, or all come back in step."""
        repeat, group = a.profile.repeat, a.profile.group
        clean = (
            (a.risk_ms is None and not a.out)
            or repeat is Idempotency.IDEMPOTENT
            or (repeat is Idempotency.IDEMPOTENT_WITH_KEY and group is DeduplicationScope.ALL)
        )
        stay = self.shelfs.given.cfg.stay_away_max_ms * self.shelfs.rng.uniform(0.5, 1.0)
        a.answer = Answer(Final.REJECTED, stay, why) if clean else Answer(Final.FAILED, why=why)
        self.worth.give_back(a)
        self.notes.changed(a)
        self.close(a)

    def close(self, a: Access) -> None:
        if a.held:
            self.shelfs.held[a.shelf].remove(a)
            a.held = False
            self.limits.queued -= a.sent > 0
        if not a.over:
            a.over = True
            if a.extent in self.extents:
                self.extents[a.extent].open -= self.extents[a.extent].open > 0
        self.limits.over(a)
