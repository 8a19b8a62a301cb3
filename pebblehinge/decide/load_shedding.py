"""Who is given up, and with what answer."""

from __future__ import annotations

import heapq
from bisect import insort

from pebblehinge.decide.limits import Limits
from pebblehinge.decide.node_health import CONCURRENCY_LIMIT
from pebblehinge.decide.request import FLOOR, Extent, Request
from pebblehinge.interface import Answer, DeduplicationScope, Final, Idempotency

IDLE = 1.7  # what an idle shelf takes, in lower quartiles of the latencies of all shelfs
TEMPER = 2.0  # how much more room what earns less than usual needs


class LoadShedder:
    """Places what is held for a shelf and gives up what can't be in time; the one end of a request."""

    def __init__(self, limits: Limits, extents: dict[str, Extent]) -> None:
        self.limits, self.extents, self.notes = limits, extents, limits.notes
        self.shelfs, self.valuation = limits.shelfs, limits.valuation

    def shed(self, s: int, now: float) -> None:
        """Refusal under overload. Each held request is placed at the time its turn should end; where one would
        miss its due time, the one among it and those before it that earns least for the work is given up.
        One that can no longer be in time by itself counts with its late worth, due when the client leaves.
        Many heads share a shelf and each holds little to choose from: what earns less than usual here needs
        more room to spare, what earns more needs less. Harm: some that the shelf could have served."""
        shelfs = self.shelfs
        queued, mean, concurrency_limit = shelfs.queued[s], shelfs.mean(s, now), shelfs.concurrency_limit[s]
        if not queued:
            return
        idle = min(mean, IDLE * shelfs.low_quartile_ms)
        is_down, room, i = shelfs.is_down(s, now), concurrency_limit - len(shelfs.in_flight[s]), 0
        least: list[tuple[float, float, int, Request]] = []  # a heap of those up to i, once one must go
        if is_down and now < shelfs.next_probe_ms[s]:
            for a in list(queued):
                self.give_up(a, "its shelf is down")
            return
        while i < len(queued):
            a = queued[i]
            ready = self.limits.earliest(a, now)
            rest = (mean - idle) * (self.valuation.mean_value_per_unit / max(a.value_per_unit, FLOOR)) ** TEMPER
            needs = a.size * (idle + rest)
            if ready > now and ready + needs > a.due_ms:  # at whatever cost to others
                self.give_up(a, "too late by " + a.waits_for)
                continue
            if now + needs >= a.due_ms and a.due_ms < a.deadline_ms:
                if room <= 0 or (
                    concurrency_limit < CONCURRENCY_LIMIT and shelfs.in_flight[s]
                ):  # late worth takes only what nobody wants
                    self.give_up(a, "its shelf is too slow for it")
                    continue
                queued.pop(i)
                a.due_ms = a.deadline_ms
                a.value_per_unit *= a.request_class.late_value_share
                insort(queued, a)
                continue
            if least:
                heapq.heappush(least, (a.value_per_unit, -a.due_ms, -a.seq, a))
            while a.queued and (
                (is_down and i)
                or now >= a.deadline_ms
                or now + needs + mean * max(0, i + 1 - room) / concurrency_limit > a.due_ms
            ):
                if not least:
                    least = [(b.value_per_unit, -b.due_ms, -b.seq, b) for b in queued[: i + 1]]
                    heapq.heapify(least)
                victim = heapq.heappop(least)[-1]
                over = now >= victim.deadline_ms
                self.give_up(victim, "its time is up" if over else "others earn more there")
                i -= victim is not a
            i += a.queued
        if queued:  # rule 1: whichever shelf a request has come to stand at, the next end is asked for there
            self.notes.wake(min(a.deadline_ms if a.due_ms >= a.deadline_ms else a.due_ms for a in queued), s)

    def give_up(self, a: Request, why: str) -> None:
        """The final answer, at once. Rejected where trying again is harmless, with a time to stay away,
        drawn, or all come back in step."""
        repeat, group = a.request_class.repeat, a.request_class.group
        clean = (
            (a.risk_ms is None and not a.out)
            or repeat is Idempotency.IDEMPOTENT
            or (repeat is Idempotency.IDEMPOTENT_WITH_KEY and group is DeduplicationScope.ALL)
        )
        stay = self.shelfs.given.cfg.stay_away_max_ms * self.shelfs.rng.uniform(0.5, 1.0)
        a.answer = Answer(Final.REJECTED, stay, why) if clean else Answer(Final.FAILED, why=why)
        self.valuation.give_back(a)
        self.notes.changed(a)
        self.close(a)

    def close(self, a: Request) -> None:
        if a.queued:
            self.shelfs.queued[a.shelf].remove(a)
            a.queued = False
            self.limits.queued_retries -= a.sent > 0
        if not a.over:
            a.over = True
            if a.extent in self.extents:
                self.extents[a.extent].open -= self.extents[a.extent].open > 0
        self.limits.over(a)
