"""The ordinary path of a request, from top to bottom: taken, held, sent, answered or given up."""

from __future__ import annotations

import math
from bisect import insort

from pebblehinge.decide.limits import Limits
from pebblehinge.decide.load_shedding import LoadShedder
from pebblehinge.decide.node_health import CONCURRENCY_LIMIT, LATENCIES, PROBE_INTERVAL_MS, SILENT_MS, NodeHealth
from pebblehinge.decide.request import REMEMBERED, Extent, Request
from pebblehinge.decide.valuation import Valuation
from pebblehinge.interface import Attempt, Changes, Idempotency, Outcome
from pebblehinge.scheduler_state import ChangeSet, LruCache

NEVER_RAN = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
RETRYABLE = (
    Outcome.SERVER_ERROR,
    Outcome.OVERLOADED,
    Outcome.CONNECT_FAILED,
    Outcome.CONNECTION_LOST,
    Outcome.CANCELLED,
)  # may be well
OVERTAKEN = 3  # later attempts answered first, after which an attempt out for as many latencies counts as lost


class Dispatcher:
    """What one head does with its requests."""

    def __init__(self, shelfs: NodeHealth, notes: ChangeSet, now: float) -> None:
        self.given, self.rng, self.shelfs, self.notes = shelfs.given, shelfs.rng, shelfs, notes
        self.end_ms, self.seq = math.inf, 0  # once this life ends: nothing is held past it
        self.extents: LruCache[Extent] = LruCache(REMEMBERED)
        self.valuation = Valuation(self.given, now)
        self.limits = Limits(shelfs, self.valuation, notes, now)
        self.refusal = LoadShedder(self.limits, self.extents)

    def take(
        self,
        now: float,
        id_: int,
        extent: str | None,
        request_class: str,
        quota_plan: str,
        volume: str,
        set_size: int,
        slot: int,
        units: float,
        deadline_ms: float,
        repeat: bool | None = None,
    ) -> tuple[Request, Changes]:
        """A client's request has come; a repeat is its further try, None if not told. serve goes on."""
        a, cfg = Request(), self.given.cfg
        a.path, a.id, a.extent, a.volume, a.slot, a.units = self, id_, extent, volume, slot, units
        a.set_size = max(1, set_size)
        a.slow_start_turn = self.rng.random()
        a.size = (1.0 + units / (cfg.mean_units or units or 1.0)) / 2  # half goes by size
        a.request_class, a.quota_plan = self.given.request_classes[request_class], self.given.quota_plans[quota_plan]
        a.deadline_ms = min(deadline_ms - 2 * cfg.step_ms, self.end_ms)
        # A client's clock runs on over its tries: one with less patience left than its profile's has waited
        # before, here or at a head that died, and is due by so much earlier. But one that leaves before an
        # answer could be late is impatient, not late: due when it leaves. Harm: a last try counts in full.
        again = repeat if repeat is not None else deadline_ms - now >= a.request_class.latency_objective_ms
        came = deadline_ms - a.request_class.max_wait_ms if again else now
        a.due_ms = min(came + a.request_class.latency_objective_ms, a.deadline_ms)
        self.seq += 1
        a.seq, a.attempts, a.cancellations, a.answer = self.seq, [], [], None
        self.limits.came(a, now)
        self.valuation.price(a, now)
        if extent is not None:
            e = self.extents.use(extent, Extent(a.slow_start_turn))
            e.slow_start_turn = a.slow_start_turn if repeat is False else e.slow_start_turn
            a.slow_start_turn = e.slow_start_turn
            if e.open == 0 and e.answered_ms is not None:
                e.note(now - e.answered_ms)
            e.answered_ms = None
            e.open += 1
        a.shelf = self.shelfs.at_slot.get(slot, -1) if slot >= 0 else self.shelfs.pick_new()
        if a.shelf < 0:  # its shelf is not listed: no other holds its data
            self.refusal.give_up(a, "its shelf is not listed")
        else:
            a.queued = True
            insort(self.shelfs.queued[a.shelf], a)
            self.serve(a.shelf, now, None)
        return a, self.notes.finish(now)

    def serve(self, s: int, now: float, done: str | None) -> None:
        """What leaves for a shelf now. done is the extent whose answer has just freed a slot."""
        self.refusal.shed(s, now)
        shelfs, may_go = self.shelfs, self.limits.may_go
        queued, in_flight, reserved_slots = shelfs.queued[s], shelfs.in_flight[s], shelfs.reserved_slots[s]
        if not queued:
            reserved_slots.clear()  # it waits only while others are queued (design)
            return
        reserved_slots[:] = [w for w in reserved_slots if w[1] > now]
        if shelfs.is_down(s, now):  # one attempt at a time; an idempotent one first, since it may be lost
            free = [] if in_flight or now < shelfs.next_probe_ms[s] else queued
            probes = sorted(free, key=lambda a: a.request_class.repeat is Idempotency.NON_IDEMPOTENT)
            for a in [a for a in probes if may_go(a, now)][:1]:
                shelfs.next_probe_ms[s] = now + PROBE_INTERVAL_MS
                self.send(a, now)
            return
        while queued and len(in_flight) < (
            CONCURRENCY_LIMIT if shelfs.slow_start_ms[s] is None else shelfs.concurrency_limit[s]
        ):
            # A request of the finished, awaited or last sent extent goes at once, ahead of the candidate; a
            # narrowed bound keeps no run apart, as the shelf saves work on it, but at cold ones (rule 4).
            kept = [w[0] for w in reserved_slots]
            runs = [done, shelfs.last_extent[s], *kept]
            request = next((a for a in queued if a.extent and a.extent in runs and may_go(a, now)), None)
            if request is None:
                if len(in_flight) < shelfs.concurrency_limit[s]:
                    request = next((a for a in queued if may_go(a, now)), None)  # earliest due
                if request is None:
                    break
                urgent = request.due_ms - now < 2 * shelfs.mean(s, now)
                if not urgent and done is not None and self.pays_to_wait(s, request, done, now):
                    done = None
                    continue
                if len(in_flight) + len(reserved_slots) >= shelfs.concurrency_limit[s]:
                    if not urgent:
                        break
                    reserved_slots.pop(0)
            elif request.extent in kept:
                del reserved_slots[kept.index(request.extent)]
            done = None if request.extent != done else done
            self.send(request, now)

    def pays_to_wait(self, s: int, candidate: Request, done: str, now: float) -> bool:
        """Benefit against cost (paper 3.3); keeps the freed slot for the extent if the wait pays."""
        e, sequential_latency_ms = self.extents.get(done), self.shelfs.sequential_latency_ms[s]
        if e is None or e.open or e.answered_ms is None or not e.counts or not sequential_latency_ms:
            return False  # without an average the benefit is 0 (design)
        expected = (
            sequential_latency_ms
            if candidate.extent == self.shelfs.last_extent[s]
            else self.shelfs.random_latency_ms[s]
        )
        elapsed = now - e.answered_ms
        until = e.answered_ms + e.quantile(0.95)
        if expected - sequential_latency_ms <= max(0.0, e.quantile(0.5) - elapsed) or until <= now:
            return False
        self.shelfs.reserved_slots[s].append((done, until))
        self.notes.wake(until, s)
        return True

    def send(self, a: Request, now: float) -> None:
        s, shelfs = a.shelf, self.shelfs
        shelfs.queued[s].remove(a)
        a.queued = False
        self.limits.sent(a, now)
        a.run = a.extent is not None and a.extent == shelfs.last_extent[s] and not a.sent
        a.sent += 1
        a.out, a.sent_ms, a.overtaken = True, now, 0
        if not shelfs.in_flight[s]:
            shelfs.last_answer_ms[s] = now
        shelfs.in_flight[s].append(a)
        shelfs.last_extent[s] = a.extent
        # With no mean known it runs until it is due: a shelf that swallows the first attempts is soon seen.
        mean = shelfs.mean(s, now)
        past = math.inf if shelfs.unreachable[s] else mean * a.size
        until = min(a.deadline_ms, max(a.due_ms, now + past))
        a.attempts.append(Attempt(shelfs.names[s], until, self.limits.retry_until(a, a.risk_ms)))
        self.notes.wake(now + SILENT_MS + LATENCIES * mean, s)
        self.notes.changed(a)

    def ended(self, a: Request, now: float, outcome: Outcome, over: bool, took: float) -> None:
        """Its attempt is over: answered already, or it goes again, or it is given up; the freed slot is used."""
        s = a.shelf
        a.out = False
        self.shelfs.in_flight[s].remove(a)
        a.risk_ms = a.sent_ms if a.risk_ms is None and outcome not in NEVER_RAN else a.risk_ms
        self.limits.ended(a, now, outcome)
        self.shelfs.note(a, s, now, outcome, took)
        if outcome is Outcome.SUCCEEDED:
            self.cancel_overtaken(a, s, now)
        if over or a.over:
            self.refusal.close(a)
        elif not self.retry(a, s, now, outcome):
            self.refusal.give_up(a, "its trip was " + outcome.value)
        e = self.extents.get(a.extent) if a.extent is not None else None
        if e is not None and a.over:
            e.answered_ms = now if e.open == 0 else None
        self.serve(s, now, a.extent if outcome is Outcome.SUCCEEDED else None)

    def left(self, a: Request, now: float) -> None:
        if not a.over:
            if a.out and self.given.cfg.may_cancel:
                self.cancel(a)
            self.refusal.close(a)
            if a.shelf >= 0:
                self.serve(a.shelf, now, None)

    def retry(self, a: Request, s: int, now: float, outcome: Outcome) -> bool:
        """Whether a failed request is queued again, for a retry to the only shelf that has its data."""
        shelfs = self.shelfs
        vain = not shelfs.ready[s] or now + shelfs.mean(s, now) * a.size > a.deadline_ms
        vain = vain or 0 <= a.slot != shelfs.slots[s]  # its data is elsewhere by now
        vain = vain or a.sent >= self.given.cfg.try_limit or outcome not in RETRYABLE
        if vain or shelfs.is_down(s, now) or not self.limits.may_retry(a, now, 1):
            return False
        self.limits.queued_retries += 1
        a.queued = True
        insort(shelfs.queued[s], a)
        return True

    def cancel_overtaken(self, answered: Request, s: int, now: float) -> None:
        """A shelf takes requests in turn: an attempt that later ones overtook long ago got lost on the way,
        so it is cancelled and goes again. Harm: long work may be done twice; its units are allowed for."""
        cfg = self.given.cfg
        for a in self.shelfs.in_flight[s]:
            if a.sent_ms >= answered.sent_ms:
                break
            a.overtaken += 1
            usual = self.shelfs.mean(s, now) * max(1.0, a.size)
            lost = a.overtaken >= OVERTAKEN and now - a.sent_ms >= LATENCIES * usual
            useful = not a.over and now + usual <= a.due_ms and a.sent < cfg.try_limit
            if lost and useful and cfg.may_cancel and self.limits.may_retry(a, now, 1, True):
                self.cancel(a)

    def cancel(self, a: Request) -> None:
        a.overtaken = -math.inf  # asked for once
        a.cancellations.append(a.sent - 1)
        self.notes.changed(a)
