"""The ordinary path of an access, from top to bottom: taken, held, sent, answered or given up."""

from __future__ import annotations

import math
from bisect import insort

from pebblehinge.decide.access import REMEMBERED, Access, Extent
from pebblehinge.decide.limits import Limits
from pebblehinge.decide.refusal import Refusal
from pebblehinge.decide.shelfs import BOUND, LATENCIES, SILENT_MS, TRIAL_GAP_MS, Shelfs
from pebblehinge.decide.worth import Worth
from pebblehinge.interface import Attempt, Changes, Idempotency, Outcome
from pebblehinge.kept import Notes, Recent

NEVER_RAN = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
RETRYABLE = (
    Outcome.SERVER_ERROR,
    Outcome.OVERLOADED,
    Outcome.CONNECT_FAILED,
    Outcome.CONNECTION_LOST,
    Outcome.CANCELLED,
)  # may be well
OVERTAKEN = 3  # later attempts answered first, after which an attempt out for as many latencies counts as lost


class Path:
    """What one head does with its accesses."""

    def __init__(self, shelfs: Shelfs, notes: Notes, now: float) -> None:
        self.given, self.rng, self.shelfs, self.notes = shelfs.given, shelfs.rng, shelfs, notes
        self.end_ms, self.seq = math.inf, 0  # once this life ends: nothing is held past it
        self.extents: Recent[Extent] = Recent(REMEMBERED)
        self.worth = Worth(self.given, now)
        self.limits = Limits(shelfs, self.worth, notes, now)
        self.refusal = Refusal(self.limits, self.extents)

    def take(
        self,
        now: float,
        id_: int,
        extent: str | None,
        profile: str,
        plan: str,
        volume: str,
        set_size: int,
        slot: int,
        units: float,
        abandon_ms: float,
        repeat: bool | None = None,
    ) -> tuple[Access, Changes]:
        """A client's access has come; a repeat is its further try, None if not told. serve goes on."""
        a, cfg = Access(), self.given.cfg
        a.path, a.id, a.extent, a.volume, a.slot, a.units = self, id_, extent, volume, slot, units
        a.set_size = max(1, set_size)
        a.turn = self.rng.random()
        a.size = (1.0 + units / (cfg.mean_units or units or 1.0)) / 2  # half goes by size
        a.profile, a.plan = self.given.profiles[profile], self.given.plans[plan]
        a.abandon_ms = min(abandon_ms - 2 * cfg.step_ms, self.end_ms)
        # A client's clock runs on over its tries: one with less patience left than its profile's has waited
        # before, here or at a head that died, and is due by so much earlier. But one that leaves before an
        # answer could be late is impatient, not late: due when it leaves. Harm: a last try counts in full.
        again = repeat if repeat is not None else abandon_ms - now >= a.profile.expected_ms
        came = abandon_ms - a.profile.patience_ms if again else now
        a.due_ms = min(came + a.profile.expected_ms, a.abandon_ms)
        self.seq += 1
        a.seq, a.attempts, a.cancellations, a.answer = self.seq, [], [], None
        self.limits.came(a, now)
        self.worth.price(a, now)
        if extent is not None:
            e = self.extents.use(extent, Extent(a.turn))
            e.turn = a.turn if repeat is False else e.turn
            a.turn = e.turn
            if e.open == 0 and e.answered_ms is not None:
                e.note(now - e.answered_ms)
            e.answered_ms = None
            e.open += 1
        a.shelf = self.shelfs.at_slot.get(slot, -1) if slot >= 0 else self.shelfs.pick_new()
        if a.shelf < 0:  # its shelf is not listed: no other holds its data
            self.refusal.give_up(a, "its shelf is not listed")
        else:
            a.held = True
            insort(self.shelfs.held[a.shelf], a)
            self.serve(a.shelf, now, None)
        return a, self.notes.finish(now)

    def serve(self, s: int, now: float, done: str | None) -> None:
        """What leaves for a shelf now. done is the extent whose answer has just freed a slot."""
        self.refusal.shed(s, now)
        shelfs, may_go = self.shelfs, self.limits.may_go
        held, away, waits = shelfs.held[s], shelfs.away[s], shelfs.waits[s]
        if not held:
            waits.clear()  # it waits only while others are queued (design)
            return
        waits[:] = [w for w in waits if w[1] > now]
        if shelfs.down(s, now):  # one attempt at a time; an idempotent one first, since it may be lost
            free = [] if away or now < shelfs.trial_ms[s] else held
            trials = sorted(free, key=lambda a: a.profile.repeat is Idempotency.NON_IDEMPOTENT)
            for a in [a for a in trials if may_go(a, now)][:1]:
                shelfs.trial_ms[s] = now + TRIAL_GAP_MS
                self.send(a, now)
            return
        while held and len(away) < (BOUND if shelfs.cold_ms[s] is None else shelfs.bound[s]):
            # An access of the finished, awaited or last sent extent goes at once, ahead of the candidate; a
            # narrowed bound keeps no run apart, as the shelf saves work on it, but at cold ones (rule 4).
            kept = [w[0] for w in waits]
            runs = [done, shelfs.last_extent[s], *kept]
            access = next((a for a in held if a.extent and a.extent in runs and may_go(a, now)), None)
            if access is None:
                if len(away) < shelfs.bound[s]:
                    access = next((a for a in held if may_go(a, now)), None)  # earliest due
                if access is None:
                    break
                urgent = access.due_ms - now < 2 * shelfs.mean(s, now)
                if not urgent and done is not None and self.worth_waiting(s, access, done, now):
                    done = None
                    continue
                if len(away) + len(waits) >= shelfs.bound[s]:
                    if not urgent:
                        break
                    waits.pop(0)
            elif access.extent in kept:
                del waits[kept.index(access.extent)]
            done = None if access.extent != done else done
            self.send(access, now)

    def worth_waiting(self, s: int, candidate: Access, done: str, now: float) -> bool:
        """Benefit against cost (paper 3.3); keeps the freed slot for the extent if the wait pays."""
        e, run_ms = self.extents.get(done), self.shelfs.run_ms[s]
        if e is None or e.open or e.answered_ms is None or not e.counts or not run_ms:
            return False  # without an average the benefit is 0 (design)
        expected = run_ms if candidate.extent == self.shelfs.last_extent[s] else self.shelfs.plain_ms[s]
        elapsed = now - e.answered_ms
        until = e.answered_ms + e.quantile(0.95)
        if expected - run_ms <= max(0.0, e.quantile(0.5) - elapsed) or until <= now:
            return False
        self.shelfs.waits[s].append((done, until))
        self.notes.wake(until, s)
        return True

    def send(self, a: Access, now: float) -> None:
        s, shelfs = a.shelf, self.shelfs
        shelfs.held[s].remove(a)
        a.held = False
        self.limits.sent(a, now)
        a.run = a.extent is not None and a.extent == shelfs.last_extent[s] and not a.sent
        a.sent += 1
        a.out, a.sent_ms, a.overtaken = True, now, 0
        if not shelfs.away[s]:
            shelfs.heard_ms[s] = now
        shelfs.away[s].append(a)
        shelfs.last_extent[s] = a.extent
        # With no mean known it runs until it is due: a shelf that swallows the first attempts is soon seen.
        mean = shelfs.mean(s, now)
        past = math.inf if shelfs.dead[s] else mean * a.size
        until = min(a.abandon_ms, max(a.due_ms, now + past))
        a.attempts.append(Attempt(shelfs.names[s], until, self.limits.retry_until(a, a.risk_ms)))
        self.notes.wake(now + SILENT_MS + LATENCIES * mean, s)
        self.notes.changed(a)

    def ended(self, a: Access, now: float, outcome: Outcome, over: bool, took: float) -> None:
        """Its attempt is over: answered already, or it goes again, or it is given up; the freed slot is used."""
        s = a.shelf
        a.out = False
        self.shelfs.away[s].remove(a)
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

    def left(self, a: Access, now: float) -> None:
        if not a.over:
            if a.out and self.given.cfg.may_cancel:
                self.cancel(a)
            self.refusal.close(a)
            if a.shelf >= 0:
                self.serve(a.shelf, now, None)

    def retry(self, a: Access, s: int, now: float, outcome: Outcome) -> bool:
        """Whether a failed access is queued again, for a retry to the only shelf that has its data."""
        shelfs = self.shelfs
        vain = not shelfs.ready[s] or now + shelfs.mean(s, now) * a.size > a.abandon_ms
        vain = vain or 0 <= a.slot != shelfs.slots[s]  # its data is elsewhere by now
        vain = vain or a.sent >= self.given.cfg.try_limit or outcome not in RETRYABLE
        if vain or shelfs.down(s, now) or not self.limits.may_retry(a, now, 1):
            return False
        self.limits.queued += 1
        a.held = True
        insort(shelfs.held[s], a)
        return True

    def cancel_overtaken(self, answered: Access, s: int, now: float) -> None:
        """A shelf takes accesses in turn: an attempt that later ones overtook long ago got lost on the way,
        so it is cancelled and goes again. Harm: long work may be done twice; its units are allowed for."""
        cfg = self.given.cfg
        for a in self.shelfs.away[s]:
            if a.sent_ms >= answered.sent_ms:
                break
            a.overtaken += 1
            usual = self.shelfs.mean(s, now) * max(1.0, a.size)
            lost = a.overtaken >= OVERTAKEN and now - a.sent_ms >= LATENCIES * usual
            useful = not a.over and now + usual <= a.due_ms and a.sent < cfg.try_limit
            if lost and useful and cfg.may_cancel and self.limits.may_retry(a, now, 1, True):
                self.cancel(a)

    def cancel(self, a: Access) -> None:
        a.overtaken = -math.inf  # asked for once
        a.cancellations.append(a.sent - 1)
        self.notes.changed(a)
