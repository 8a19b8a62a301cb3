"""All decisions of pebblehinge; the types are in interface.py.

How to call it: Head(settings, seed, now), then head.start(now) once. head.take(...) gives the handle of an
access and what changed; all that later happens to that access is a call on its handle: ended (a trip's
outcome), begun (its stream has started), left (the client is gone). head.listed feeds a list of shelfs,
head.woken says that a time asked for has come. Each returns Changes: the handles that changed, in order,
with their new trips, recalls and final answer, then the next wake and the calls to the list.
head.adopt takes new settings in service: what is held goes on under the new figures. head.remembered gives
what was learned, head.recall takes it up in a later life, before the first list.
Times are milliseconds on the caller's clock; nothing here reads another.
"""

from __future__ import annotations

import heapq
import math
import random
from bisect import insort
from collections import OrderedDict, deque

from pebblehinge.interface import Answer, Changes, Entry, Final, Group, ListCall, ListKind, Outcome
from pebblehinge.interface import Repeat, Settings, Standing, Trip

BOUND = 4  # trips out per shelf and head (design: to start)
CROWDED = 0.4  # a trip that takes longer than this part of the shortest expected time narrows the bound
BUCKET_MS = 0.5  # width of a thinktime bucket (paper 3.3)
BUCKETS = 400  # thinktimes past the last bucket count in it
FADE = 0.9  # what is left of the counts at each new thinktime (paper 3.3)
FORGET = 0.26  # weight of a new latency: 95% of the old is gone after ten (paper 3.3)
STEADY = 0.2  # the same for the slower average that health and refusals go by
AGES_MS = 2000.0  # a shelf's mean latency gives way to that of all shelfs at this pace
ALL_AGE_MS = 10_000.0  # that mean, once nothing answers any more, gives way to nothing at this pace
KEEPS_MS = 120_000.0  # what an earlier life learned counts for less the longer it lay, at this pace
SAME_MS = 1000.0  # starts that lie nearer are one process's: lists tell ages, and take their time
REMEMBERED = 4096  # extents, and volumes at rest for a minute: the least recently used goes first
NEVER_RAN = (Outcome.FULL, Outcome.UNREACHED, Outcome.MOOT)
GOES_AGAIN = (Outcome.ERRED, Outcome.FULL, Outcome.UNREACHED, Outcome.BROKEN, Outcome.RECALLED)  # it may be well
MAY_STILL_RUN = (Outcome.OVERDUE, Outcome.BROKEN, Outcome.RECALLED)
LATENCIES = 4.0  # a shelf is silent when it has answered nothing for so many mean latencies ...
SILENT_MS = 400.0  # ... and this on top, so that pauses and flushes pass
LOST = 4  # trips overdue or broken in a row, with no answer between, that make a shelf down
OVERTAKEN = 3  # later trips answered first, after which a trip out for as many latencies counts as lost
TRIAL_GAP_MS = 250.0  # between careful trips to a shelf that is down
SHARE_RATES = 3.0  # a volume's share beyond its reserve, by weight, as a multiple of the plans' usual rates
LEAD = 3.0  # what a volume's lead head gets of it, in even parts
IDLE = 1.7  # what an idle shelf takes, in lower quartiles of the latencies of all shelfs
TEMPER = 2.0  # how much more room what earns less than usual needs
COLD_PART = 0.4  # of the multiple of what a cold shelf surely can do, let through while the usual is asked
FOLLOW = 0.03  # by how much what a head knows over all shelfs follows one answer or access
FLOOR = 1e-9


class Extent:
    """What is known of the thinktimes of one extent."""

    __slots__ = ("counts", "answered_ms", "open", "turn")

    def __init__(self, turn: float) -> None:
        self.turn = turn  # at a cold shelf; a client's next try draws no new one
        self.counts: dict[int, float] = {}
        self.answered_ms: float | None = None
        self.open = 0

    def note(self, thinktime_ms: float) -> None:
        self.counts = {b: n * FADE for b, n in self.counts.items() if n * FADE >= 0.01}
        bucket = min(int(thinktime_ms / BUCKET_MS), BUCKETS)
        self.counts[bucket] = self.counts.get(bucket, 0.0) + 1.0

    def quantile(self, part: float) -> float:
        left = part * sum(self.counts.values())
        for bucket in sorted(self.counts):
            left -= self.counts[bucket]
            if left <= FLOOR:
                break
        return (bucket + 1) * BUCKET_MS


class Store:
    """A volume's stores as this head keeps them: its even part of the limit, and what is still due."""

    __slots__ = ("limit", "reserve", "share", "at_ms")


class Access:
    """The handle of one access. What the last call changed is in trips, recalls and answer."""

    sent, out, over, held, run = 0, False, False, False, False
    risk_ms, sent_ms, overtaken = None, 0.0, 0.0  # when the first that may have run left, when the last

    def __lt__(self, other: Access) -> bool:
        return (self.due_ms, self.seq) < (other.due_ms, other.seq)

    def ended(self, now: float, trip: int, outcome: Outcome, over: bool, took_ms: float) -> Changes:
        """A trip, counted from 0, has its outcome; one that is not out any longer is ignored."""
        if self.out and trip == self.sent - 1:
            self.head._ended(self, now, outcome, over, took_ms)
        return self.head._finish(now)

    def begun(self, now: float) -> Changes:
        """The answer has begun to stream: it ends by its outcome, and nothing is left to decide."""
        return self.head._finish(now)

    def left(self, now: float) -> Changes:
        """The client is gone: nothing more is owed."""
        self.head._left(self, now)
        return self.head._finish(now)

    def drain(self) -> tuple[list[Trip], list[int], Answer | None]:
        """What changed since the last look: new trips, trips to recall, the final answer."""
        changed = self.trips, self.recalls, self.answer
        self.trips, self.recalls, self.answer = [], [], None
        return changed


class Head:
    """One instance: what one head knows and decides."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.cfg, self.born = settings, now
        self.end_ms = math.inf  # once this life ends: nothing is held past it
        self.known_ms = now  # since when the limit of a volume that is not in stores has surely filled
        self.rng, self.seq = random.Random(seed), 0
        self.profiles = {p.name: p for p in settings.profiles}
        self.plans = {p.name: p for p in settings.plans}
        weights = sum(p.weight for p in settings.plans)
        self.rate_by_weight = sum(p.rate for p in settings.plans) / max(FLOOR, weights)
        self.shortest_ms = min(p.expected_ms for p in settings.profiles)
        self.index: dict[str, int] = {}
        self.at_slot: dict[int, int] = {}  # slot -> shelf that holds it and may be sent to
        self.takers: list[int] = []  # these shelfs, in order
        self.vacant: dict[int, None] = {}  # places whose shelf left the list, the first to leave first
        self.extents: OrderedDict[str, Extent] = OrderedDict()
        self.stores: OrderedDict[str, Store] = OrderedDict()
        self.lines: dict[str, list[Access]] = {}  # order by key: accesses not over, or with a trip out
        self.rest_ms: dict[str, float] = {}
        self.takes, self.further = deque(), deque()  # trip budget: when accesses and further trips were
        self.low_ms = 0.0  # lower quartile of the latencies of all shelfs
        self.usual_worth = 0.0  # what a unit of an access earns in the mean
        self.queued = 0  # accesses held for a further trip
        self.wakes: list[tuple[float, int]] = []
        self.asked: set[tuple[float, int]] = set()  # what stands in wakes
        self.changes, self.marked = Changes(), set()  # what a call changed, and by which accesses' seq
        # Parallel arrays, one place a shelf, by its index; cold_ms is since when, or None.
        self.names, self.ready, self.slots, self.started, self.cold_ms = [], [], [], [], []
        self.held, self.away = [], []  # held, earliest due first; with a trip out, oldest first
        self.width, self.bound = [], []  # trips allowed: unrounded, rounded
        self.waits, self.last_extent = [], []  # slots kept for an extent, until when; the last one sent
        self.plain_ms, self.run_ms, self.mean_ms = [], [], []  # latency averages
        self.seen_ms, self.all_ms = [], 0.0  # when the mean was last fed; the mean over all shelfs ...
        self.fed_ms, self.answers = now, 0  # ... when that was, and from how many it was learned
        self.heard_ms, self.lost = [], []  # last answer, or first trip after a rest; trips overdue since
        self.dead, self.trial_ms = [], []  # no connection; when the next careful trip may go
        self.past: dict[str, list[float]] = {}  # what an earlier life knew of shelfs that were not listed yet
        self.recalled_ms = now

    # ---- calls from outside

    def start(self, now: float) -> Changes:
        if self.cfg.asks_for_list:
            self.changes.list_calls.append(ListCall.WATCH)
        return self._finish(now)

    def listed(self, now: float, kind: ListKind, entries: list[Entry]) -> Changes:
        """A list, or changes to it. A failed call says nothing of whether a watch stands: ask again."""
        if kind is ListKind.FAILED:
            self._wake(now + self.rng.uniform(500.0, 1500.0), -1)
            return self._finish(now)
        if now - self.recalled_ms > KEEPS_MS:
            self.past.clear()
        named, touched = {e.shelf for e in entries}, []
        for s, name in enumerate(self.names) if kind is not ListKind.CHANGES else ():
            if name not in named:
                touched += [s] if self.ready[s] else []
                self.ready[s], self.vacant[s] = False, None
        for entry in entries:
            s = self.index.get(entry.shelf)
            if s is None:
                if entry.standing is Standing.GONE:
                    continue
                s = self._add_shelf(entry, now)
            self.ready[s] = entry.standing is Standing.READY  # rule 3: nothing to it once told otherwise
            if self.ready[s]:
                self._meet(s, entry, now)
            self.vacant.pop(s, None)
            if entry.standing is Standing.GONE:
                self.vacant[s] = None
            touched.append(s)
        self.at_slot = {}
        for s, slot in enumerate(self.slots):  # of several that hold a slot, the one that started last
            if self.ready[s] and self.started[s] >= self.started[self.at_slot.get(slot, s)]:
                self.at_slot[slot] = s
        self.takers = sorted(self.at_slot.values())
        for s in touched:  # what is held for a shelf that left moves to its replacement, or is given up
            moved = {s, self.at_slot.get(self.slots[s], s)}
            for a in [a for a in self.held[s] if not self.ready[s] or 0 <= a.slot != self.slots[s]]:
                heir = self.at_slot.get(a.slot, -1) if a.slot >= 0 else self._pick_new()
                if heir < 0 or a.risk_ms is not None:
                    self._give_up(a, "its shelf left the list")
                else:
                    self.held[s].remove(a)
                    a.shelf = heir
                    insort(self.held[heir], a)
                    moved.add(heir)
            for affected in sorted(moved):
                self._serve(affected, now, None)
        return self._finish(now)

    def remembered(self, now: float) -> dict:
        """What this head has learned, for a later life. Times are ages, so that no clock needs to last."""
        shelfs = {
            name: [self.plain_ms[s], self.run_ms[s], self.mean_ms[s], now - self.seen_ms[s], self.width[s],
                   -1.0 if self.cold_ms[s] is None else now - self.cold_ms[s]]
            for s, name in enumerate(self.names) if self.mean_ms[s] or self.cold_ms[s] is not None
        }  # fmt: skip
        lives = {name: [self.slots[s], now - self.started[s] if self.started[s] else -1.0]
                 for name, s in self.index.items() if name in shelfs}  # fmt: skip
        return {"shelfs": shelfs, "lives": lives,
                "every": [self.all_ms, now - self.fed_ms, self.low_ms, self.usual_worth],
                "thinks": {x: e.counts for x, e in self.extents.items() if e.counts},
                "limits": {v: [st.limit, now - st.at_ms] for v, st in self.stores.items()},
                "further": [now - t for t in self.further]}  # fmt: skip

    def recall(self, now: float, state: dict, age: float, whole: bool) -> None:
        """Takes up what an earlier life knew, so many ms ago. Latencies give way as old answers do, the rest
        counts for less the longer it lay. What limits had left is known only where nothing was sent after it
        was written (whole); else they start empty, as ever. Harm: a fleet that changed meanwhile is judged by
        what it was, for some seconds at most."""
        left, lives, self.recalled_ms = math.exp(-age / KEEPS_MS), state.get("lives", {}), now
        self.past = {name: [*row, now - age, left, *lives.get(name, (-1, -1.0))]
                     for name, row in state["shelfs"].items()}  # fmt: skip
        self.all_ms, fed, low, worth = state["every"]
        self.fed_ms = now - age - fed
        if left > 0.5:
            self.low_ms, self.usual_worth, self.seq = low, worth, int(left / FOLLOW)
            self.answers = self.seq
        for extent, counts in state["thinks"].items():
            e = self.extents[extent] = Extent(self.rng.random())
            e.counts = {b: n * left for b, n in counts.items() if n * left >= 0.01}
        for volume, (limit, since) in state["limits"].items() if whole else ():
            st = self.stores[volume] = Store()
            st.limit, st.at_ms = limit, now - age - since
            st.reserve = st.share = self.cfg.most_units
        self.further.extend(now - age - t for t in state["further"])

    def adopt(self, now: float, settings: Settings) -> Changes:
        """New settings while accesses are held. What a limit's store filled since its last look is not
        counted: it would be at a rate not yet in force. Harm: a plan that is gone holds to its end."""
        self.known_ms = now if settings.plans != self.cfg.plans else self.known_ms
        self.cfg = settings
        self.profiles = {p.name: p for p in settings.profiles}
        self.plans = {p.name: p for p in settings.plans}
        weights = sum(p.weight for p in settings.plans)
        self.rate_by_weight = sum(p.rate for p in settings.plans) / max(FLOOR, weights)
        self.shortest_ms = min(p.expected_ms for p in settings.profiles)
        for st in self.stores.values():
            st.at_ms = now
        for a in [a for s in range(len(self.names)) for a in self.held[s]]:
            a.plan = self.plans.get(a.plan.name, a.plan)
        for s in range(len(self.names)):
            self._serve(s, now, None)
        return self._finish(now)

    def leaves(self, now: float, end_ms: float) -> Changes:
        """This life ends, and all that was taken has its answer by end_ms: what can't go before is given up now,
        what is out may still be answered. Harm: what a shelf would have answered after is redone or lost."""
        self.end_ms = end_ms
        for s, held in enumerate(self.held):
            for a in (*held, *self.away[s]):
                a.abandon_ms = min(a.abandon_ms, end_ms)
                a.due_ms = min(a.due_ms, a.abandon_ms)
            held.sort()
            self._serve(s, now, None)
        self._wake(end_ms, -2)
        return self._finish(now)

    def take(self, now: float, id_: int, extent: str | None, profile: str, plan: str, volume: str,
             set_size: int, slot: int, units: float, abandon_ms: float,
             repeat: bool | None = None) -> tuple[Access, Changes]:
        """A client's access has come; a repeat is its further try, None if not told. _serve goes on."""
        a = Access()
        a.head, a.id, a.extent, a.volume, a.slot, a.units = self, id_, extent, volume, slot, units
        a.set_size = max(1, set_size)
        a.turn = self.rng.random()
        a.size = (1.0 + units / (self.cfg.mean_units or units or 1.0)) / 2  # half goes by size
        a.profile, a.plan = self.profiles[profile], self.plans[plan]
        a.abandon_ms = abandon_ms - 2 * self.cfg.step_ms
        # A client's clock runs on over its tries: one with less patience left than its profile's has waited
        # before, here or at a head that died, and is due by so much earlier. But one that leaves before an
        # answer could be late is impatient, not late: due when it leaves. Harm: a last try counts in full.
        again = repeat if repeat is not None else abandon_ms - now >= a.profile.expected_ms
        came = abandon_ms - a.profile.patience_ms if again else now
        a.abandon_ms = min(a.abandon_ms, self.end_ms)
        a.due_ms = min(came + a.profile.expected_ms, a.abandon_ms)
        self.seq += 1
        a.seq, a.trips, a.recalls, a.answer = self.seq, [], [], None
        self.takes.append(now)
        self._spare_trips(now)
        self._price(a, now)
        if a.profile.in_order and extent is not None:
            self.lines.setdefault(extent, []).append(a)
        if extent is not None:
            e = self.extents.pop(extent, None) or Extent(a.turn)
            a.turn = e.turn
            self.extents[extent] = e
            if e.open == 0 and e.answered_ms is not None:
                e.note(now - e.answered_ms)
            e.answered_ms = None
            e.open += 1
            if len(self.extents) > REMEMBERED:
                self.extents.popitem(last=False)
        a.shelf = self.at_slot.get(slot, -1) if slot >= 0 else self._pick_new()
        if a.shelf < 0:  # its shelf is not listed: no other holds its data
            self._give_up(a, "its shelf is not listed")
        else:
            a.held = True
            insort(self.held[a.shelf], a)
            self._serve(a.shelf, now, None)
        return a, self._finish(now)

    def woken(self, now: float) -> Changes:
        due = []
        while self.wakes and self.wakes[0][0] <= now:
            wake = heapq.heappop(self.wakes)
            self.asked.discard(wake)
            due.append(wake[1])
        for s in sorted(set(due)):
            if s >= 0:
                self._serve(s, now, None)
            elif s == -2:
                for a in [a for row in (*self.held, *self.away) for a in row if not a.over]:
                    self._give_up(a, "this head ends")
            elif self.cfg.asks_for_list:
                self.changes.list_calls.append(ListCall.WATCH)
        return self._finish(now)

    # ---- the ordinary path

    def _serve(self, s: int, now: float, done: str | None) -> None:
        """What leaves for a shelf now. done is the extent whose answer has just freed a slot."""
        self._shed(s, now)
        held, waits = self.held[s], self.waits[s]
        if not held:
            waits.clear()  # it waits only while others are queued (design)
            return
        waits[:] = [w for w in waits if w[1] > now]
        if self._down(s, now):  # one trip at a time; a redoable one first, since it may be lost
            free = [] if self.away[s] or now < self.trial_ms[s] else held
            trials = sorted(free, key=lambda a: a.profile.repeat is Repeat.IRREVERSIBLE)
            for a in [a for a in trials if self._may_go(a, now)][:1]:
                self.trial_ms[s] = now + TRIAL_GAP_MS
                self._send(a, now)
            return
        while held and len(self.away[s]) < (BOUND if self.cold_ms[s] is None else self.bound[s]):
            # An access of the finished, awaited or last sent extent goes at once, ahead of the candidate; a
            # narrowed bound keeps no run apart, the shelf saves work on what comes so, but cold ones (rule 4).
            kept = [w[0] for w in waits]
            runs = [done, self.last_extent[s], *kept]
            access = next((a for a in held if a.extent and a.extent in runs and self._may_go(a, now)), None)
            if access is None:
                if len(self.away[s]) < self.bound[s]:
                    access = next((a for a in held if self._may_go(a, now)), None)  # earliest due
                if access is None:
                    break
                urgent = access.due_ms - now < 2 * self._mean(s, now)
                if not urgent and done is not None and self._worth_waiting(s, access, done, now):
                    done = None
                    continue
                if len(self.away[s]) + len(waits) >= self.bound[s]:
                    if not urgent:
                        break
                    waits.pop(0)
            elif access.extent in kept:
                del waits[kept.index(access.extent)]
            done = None if access.extent != done else done
            self._send(access, now)

    def _worth_waiting(self, s: int, candidate: Access, done: str, now: float) -> bool:
        """Benefit against cost (paper 3.3); keeps the freed slot for the extent if the wait pays."""
        e = self.extents.get(done)
        if e is None or e.open or e.answered_ms is None or not e.counts or not self.run_ms[s]:
            return False  # without an average the benefit is 0 (design)
        expected = self.run_ms[s] if candidate.extent == self.last_extent[s] else self.plain_ms[s]
        elapsed = now - e.answered_ms
        until = e.answered_ms + e.quantile(0.95)
        if expected - self.run_ms[s] <= max(0.0, e.quantile(0.5) - elapsed) or until <= now:
            return False
        self.waits[s].append((done, until))
        self._wake(until, s)
        return True

    def _send(self, a: Access, now: float) -> None:
        s = a.shelf
        self.held[s].remove(a)
        a.held = False
        if a.sent:
            self.further.append(now)
            self.queued -= 1
        else:
            self._store(a, now).limit -= a.units if a.plan.limit_rate else 0.0
        a.run = a.extent is not None and a.extent == self.last_extent[s] and not a.sent
        a.sent += 1
        a.out, a.sent_ms, a.overtaken = True, now, 0
        if not self.away[s]:
            self.heard_ms[s] = now
        self.away[s].append(a)
        self.last_extent[s] = a.extent
        # With no mean known it runs until it is due: a shelf that swallows the first trips is soon seen.
        past = math.inf if self.dead[s] else self._mean(s, now) * a.size
        a.trips.append(Trip(self.names[s], min(a.abandon_ms, max(a.due_ms, now + past))))
        self._wake(now + SILENT_MS + LATENCIES * self._mean(s, now), s)
        self._changed(a)

    def _ended(self, a: Access, now: float, outcome: Outcome, over: bool, took: float) -> None:
        s = a.shelf
        a.out = False
        self.away[s].remove(a)
        a.risk_ms = a.sent_ms if a.risk_ms is None and outcome not in NEVER_RAN else a.risk_ms
        if a.profile.in_order and a.extent is not None and outcome in MAY_STILL_RUN:
            if len(self.rest_ms) > REMEMBERED:
                self.rest_ms = {k: until for k, until in self.rest_ms.items() if until > now}
            self.rest_ms[a.extent] = now + self.cfg.order_settle_ms
        self._note_health(a, s, now, outcome, took)
        if outcome is Outcome.HONOURED:
            self._recall_overtaken(a, s, now)
        if over or a.over:
            self._close(a)
        elif not self._go_again(a, s, now, outcome):
            self._give_up(a, "its trip was " + outcome.value)
        e = self.extents.get(a.extent) if a.extent is not None else None
        if e is not None and a.over:
            e.answered_ms = now if e.open == 0 else None
        self._serve(s, now, a.extent if outcome is Outcome.HONOURED else None)

    def _left(self, a: Access, now: float) -> None:
        if not a.over:
            if a.out and self.cfg.may_recall:
                self._recall(a)
            self._close(a)
            if a.shelf >= 0:
                self._serve(a.shelf, now, None)

    # ---- what may go

    def _may_go(self, a: Access, now: float) -> bool:
        s = a.shelf
        if not self.ready[s] or (a.sent and not self._may_repeat(a, now, 0)):
            return False
        if a.profile.in_order and a.extent is not None:  # rule 6
            if self.lines[a.extent][0] is not a:
                return False
            rest = self.rest_ms.get(a.extent, now)
            if rest > now and not a.sent:
                self._wake(rest, s)
                return False
        at = self._earliest(a, now)
        if at > now:
            self._wake(at, s)
        return at <= now

    def _earliest(self, a: Access, now: float) -> float:
        """When an access may go, by its volume's limit and by the warmth of its shelf."""
        at, s, cfg, a.waits_for = now, a.shelf, self.cfg, "its plan's limit"
        if a.plan.limit_rate and not a.sent:  # rule 5: hold for units rather than pass the limit
            lack = a.units - self._store(a, now).limit
            at = now if lack <= FLOOR else now + lack * a.set_size / a.plan.limit_rate * 1000.0 + 1.0
        since = self.cold_ms[s]
        if since is None or now - since >= cfg.warm_ms:
            self.cold_ms[s] = None
            return at
        # Rule 4: of what asks for a cold shelf, all heads let through the part that it surely can do by now,
        # far from the multiple; each draws turns by itself, and what earns more has more of them. Answers
        # tell the rest. Harm: a suspected restart that was none, and much more asked than usual.
        a.waits_for = a.waits_for if at > now else "the cold of its shelf"
        turn = a.turn * self.usual_worth / max(a.density, FLOOR) / max(FLOOR, COLD_PART * cfg.fall_multiple)
        warms = cfg.warm_ms / max(FLOOR, 1.0 - cfg.cold_share)
        return max(at, min(since + cfg.warm_ms, since + (turn - cfg.cold_share) * warms))

    def _go_again(self, a: Access, s: int, now: float, outcome: Outcome) -> bool:
        """Whether a failed access is queued again, for a further trip to the only shelf that has its data."""
        vain = not self.ready[s] or now + self._mean(s, now) * a.size > a.abandon_ms
        vain = vain or 0 <= a.slot != self.slots[s]  # its data is elsewhere by now
        vain = vain or a.sent >= self.cfg.try_limit or outcome not in GOES_AGAIN
        if vain or self._down(s, now) or not self._may_repeat(a, now, 1):
            return False
        self.queued += 1
        a.held = True
        insort(self.held[s], a)
        return True

    def _may_repeat(self, a: Access, now: float, new: int, out: bool = False) -> bool:
        """Rules 2 and 7 for a further trip: looked at when queued (new = 1) and when it leaves."""
        risk = a.sent_ms if out and a.risk_ms is None else a.risk_ms
        if risk is not None and a.profile.repeat is not Repeat.REDOABLE:
            until = risk + a.profile.window_ms - 2 * self.cfg.step_ms
            if a.profile.repeat is Repeat.IRREVERSIBLE or now > until:
                return False
        return self._spare_trips(now) >= 1 + new * self.queued

    def _spare_trips(self, now: float) -> float:
        """Further trips still allowed: those made count a little longer than stated, accesses shorter."""
        cfg = self.cfg
        while self.takes and self.takes[0] <= now - cfg.budget_window_ms + 2 * cfg.step_ms:
            self.takes.popleft()
        while self.further and self.further[0] < now - cfg.budget_window_ms - 2 * cfg.step_ms:
            self.further.popleft()
        left = cfg.budget_free + (cfg.budget_share or 0.0) * len(self.takes) - len(self.further)
        return math.inf if cfg.budget_share is None else left

    # ---- worth, limits and refusals

    def _store(self, a: Access, now: float) -> Store:
        """The volume's stores, filled up to now. The limit's store starts empty with the head and not with
        the volume: a restarted head cannot know what it spent, so it counts on what has surely filled; nor of
        a volume that was forgotten, before the last that was; nor of a plan, before it was adopted."""
        plan, n = a.plan, a.set_size
        st = self.stores.pop(a.volume, None)
        if st is None:
            st = Store()
            st.reserve = st.share = self.cfg.most_units
            st.limit, st.at_ms = 0.0, self.known_ms
            if len(self.stores) > REMEMBERED and now - next(iter(self.stores.values())).at_ms > 60000.0:
                self.known_ms = max(self.known_ms, self.stores.popitem(last=False)[1].at_ms)
        self.stores[a.volume] = st
        passed = (now - st.at_ms) / 1000.0
        st.at_ms = now
        st.limit = min((plan.limit_burst + plan.limit_slack) / n, st.limit + passed * plan.limit_rate / n)
        # None knows what comes through the others, and any may be the volume's lead for a while.
        part = min(1.0, LEAD / n)
        st.reserve = min(part * plan.reserve + self.cfg.most_units, st.reserve + passed * part * plan.reserve)
        rate = SHARE_RATES * self.rate_by_weight * plan.weight * part
        st.share = min(rate + self.cfg.most_units, st.share + passed * rate)
        return st

    def _price(self, a: Access, now: float) -> None:
        """What a unit of the access earns: inside the reserve in full, then the share, then the rest."""
        st = self._store(a, now)
        full = min(a.units, max(0.0, st.reserve)) if a.plan.reserve else 0.0
        part = min(a.units - full, max(0.0, st.share))
        st.reserve -= full
        st.share -= part
        a.taken = (full, part)
        worth = full + self.cfg.share_worth * part + self.cfg.idle_worth * (a.units - full - part)
        a.density = a.profile.importance * a.plan.worth_factor * worth / max(a.units, FLOOR)
        self.usual_worth += max(FOLLOW, 1 / self.seq) * (a.density - self.usual_worth)

    def _shed(self, s: int, now: float) -> None:
        """Refusal under overload. Each held access is placed at the time its turn should end; where one would
        miss its due time, the one among it and those before it that earns least for the work is given up.
        One that can no longer be in time by itself counts with its late worth, due when the client leaves.
        Many heads share a shelf and each holds little to choose from: what earns less than usual here needs
        more room to spare, what earns more needs less. Harm: some that the shelf could have served."""
        held, mean, bound = self.held[s], self._mean(s, now), self.bound[s]
        idle = min(mean, IDLE * self.low_ms)
        down, room, i = self._down(s, now), bound - len(self.away[s]), 0
        least: list[tuple[float, float, int, Access]] = []  # a heap of those up to i, once one must go
        if down and now < self.trial_ms[s]:
            for a in list(held):
                self._give_up(a, "its shelf is down")
            return
        while i < len(held):
            a = held[i]
            ready = self._earliest(a, now)
            needs = a.size * (idle + (mean - idle) * (self.usual_worth / max(a.density, FLOOR)) ** TEMPER)
            if ready > now and ready + needs > a.due_ms:  # at whatever cost to others
                self._give_up(a, "too late by " + a.waits_for)
                continue
            if now + needs >= a.due_ms and a.due_ms < a.abandon_ms:
                if room <= 0 or (bound < BOUND and self.away[s]):  # late worth takes only what nobody wants
                    self._give_up(a, "its shelf is too slow for it")
                    continue
                held.pop(i)
                a.due_ms = a.abandon_ms
                a.density *= a.profile.late_share
                insort(held, a)
                continue
            if least:
                heapq.heappush(least, (a.density, -a.due_ms, -a.seq, a))
            while a.held and ((down and i) or now >= a.abandon_ms
                              or now + needs + mean * max(0, i + 1 - room) / bound > a.due_ms):  # fmt: skip
                if not least:
                    least = [(b.density, -b.due_ms, -b.seq, b) for b in held[: i + 1]]
                    heapq.heapify(least)
                victim = heapq.heappop(least)[-1]
                over = now >= victim.abandon_ms
                self._give_up(victim, "its time is up" if over else "others earn more there")
                i -= victim is not a
            i += a.held
        if held:  # rule 1: whichever shelf an access has come to stand at, the next end is asked for there
            self._wake(min(a.abandon_ms if a.due_ms >= a.abandon_ms else a.due_ms for a in held), s)

    def _give_up(self, a: Access, why: str) -> None:
        """The final answer, at once. Pushed back where trying again is harmless, with a time to stay away."""
        repeat, group = a.profile.repeat, a.profile.group
        clean = (a.risk_ms is None and not a.out) or repeat is Repeat.REDOABLE or (
            repeat is Repeat.LABELLED and group is Group.ALL)  # fmt: skip
        stay = self.cfg.stay_away_max_ms * self.rng.uniform(0.5, 1.0)  # or all come back in step
        a.answer = Answer(Final.PUSHED_BACK, stay, why) if clean else Answer(Final.TERMINATED, why=why)
        st = self.stores.get(a.volume)
        if st is not None and not a.sent:  # what it would have earned is still due to others of its volume
            st.reserve += a.taken[0]
            st.share += a.taken[1]
        self._changed(a)
        self._close(a)

    def _close(self, a: Access) -> None:
        if a.held:
            self.held[a.shelf].remove(a)
            a.held = False
            self.queued -= a.sent > 0
        if not a.over:
            a.over = True
            if a.extent in self.extents:
                self.extents[a.extent].open -= self.extents[a.extent].open > 0
        if a.profile.in_order and a.extent is not None and not a.out:
            line = self.lines.get(a.extent, [])
            if a in line:
                line.remove(a)
            if not line:
                self.lines.pop(a.extent, None)
            elif line[0].shelf >= 0:
                self._wake(self.rest_ms.get(a.extent, self.born), line[0].shelf)

    # ---- health

    def _down(self, s: int, now: float) -> bool:
        """A shelf is down when connections fail or break, or when it has trips out and answers nothing."""
        quiet = now - self.heard_ms[s] - SILENT_MS >= LATENCIES * self._mean(s, now)
        return self.dead[s] or self.lost[s] >= LOST or (quiet and bool(self.away[s]))

    def _note_health(self, a: Access, s: int, now: float, outcome: Outcome, took: float) -> None:
        if a.sent_ms < self.started[s]:  # to the process before this one: it says nothing of it
            return
        if outcome is Outcome.HONOURED:
            self.heard_ms[s] = now
            if self.dead[s]:  # nobody knows since when it runs again: it may have been started for this trip
                self._chill(s, a.sent_ms)
            self.dead[s], self.lost[s] = False, 0
            # Crowding by other heads, slowness and thrashing all show as trips that take long: fewer go out,
            # down to one, so that an access waits here, where it can still be chosen or refused.
            step = 0.1 if took < CROWDED * self.shortest_ms else -0.2
            self.width[s] = min(float(BOUND), max(1.0, self.width[s] + step))
            self.bound[s] = int(self.width[s] + 0.5)
            split = self.run_ms if a.run else self.plain_ms
            split[s] += FORGET * (took - split[s]) if split[s] else took
            took /= a.size
            self._learn(s, now, took)
            step = max(FOLLOW, 1 / (1 + self.answers))
            self.low_ms = self.low_ms * (1 + step * (0.25 - (took < self.low_ms))) or took
        elif outcome in (Outcome.UNREACHED, Outcome.BROKEN, Outcome.OVERDUE):
            self.lost[s] += 1
            # A broken connection says little, new or old: links break here and there while the shelf is well and
            # answers others. But a process gone or out of reach may have restarted untold: it counts as cold.
            silent = now - self.seen_ms[s] > SILENT_MS and outcome is Outcome.UNREACHED
            if outcome is not Outcome.OVERDUE and (silent or self.lost[s] >= LOST):
                self.dead[s], self.trial_ms[s] = True, now + TRIAL_GAP_MS
                self._chill(s, now)
            elif self.lost[s] > 1 and took > self._mean(s, now):  # a lone loss is no sign of a slow shelf
                self._learn(s, now, took)
        elif outcome in (Outcome.ERRED, Outcome.FULL):
            self.heard_ms[s], self.lost[s] = now, 0

    def _chill(self, s: int, since: float) -> None:
        """A shelf is cold from now on, and gets one trip at a time until its answers widen the bound."""
        self.cold_ms[s], self.width[s], self.bound[s] = since, 1.0, 1

    def _mean(self, s: int, now: float) -> float:
        """A shelf's mean latency as far as its answers are fresh; old ones give way to what all shelfs do:
        a head that refuses by an old answer gets no new one. Harm: a slow shelf is tried again sooner."""
        every = self._every(now)
        return every + (self.mean_ms[s] - every) * math.exp((self.seen_ms[s] - now) / AGES_MS)

    def _every(self, now: float) -> float:
        """The mean over all shelfs. It gives way to nothing known, more slowly: where all were slow at once
        a head with little to do would refuse all by it for good. The fewer answers it stands on, the sooner:
        a first one that is odd must not rule a head that started empty. Harm: a few are sent in vain."""
        known = min(1.0, max(1, self.answers) * FOLLOW)
        return self.all_ms * math.exp((self.fed_ms - now) / (ALL_AGE_MS * known))

    def _learn(self, s: int, now: float, took: float) -> None:
        old = self._mean(s, now) or took
        self.mean_ms[s], self.seen_ms[s] = old + STEADY * (took - old), now
        every, self.fed_ms, self.answers = self._every(now), now, self.answers + 1
        self.all_ms = every + max(FOLLOW, 1 / self.answers) * (took - every) if every else took

    def _recall_overtaken(self, answered: Access, s: int, now: float) -> None:
        """A shelf takes accesses in turn: a trip that later ones overtook long ago got lost on the way,
        so it is recalled and goes again. Harm: long work may be done twice; its units are allowed for."""
        for a in self.away[s]:
            if a.sent_ms >= answered.sent_ms:
                break
            a.overtaken += 1
            usual = self._mean(s, now) * max(1.0, a.size)
            lost = a.overtaken >= OVERTAKEN and now - a.sent_ms >= LATENCIES * usual
            useful = not a.over and now + usual <= a.due_ms and a.sent < self.cfg.try_limit
            if lost and useful and self.cfg.may_recall and self._may_repeat(a, now, 1, True):
                self._recall(a)

    def _recall(self, a: Access) -> None:
        a.overtaken = -math.inf  # asked for once
        a.recalls.append(a.sent - 1)
        self._changed(a)

    # ---- small things

    def _meet(self, s: int, entry: Entry, now: float) -> None:
        """Which process has this name. What one before it taught does not judge it; what was held for another
        slot's data moves on. One that started lately is cold, and so is one of which that is told no more."""
        started, known = min(entry.started_ms, now), self.started[s]
        other = entry.slot != self.slots[s] or abs(started - known) > SAME_MS
        self.slots[s], self.started[s] = entry.slot, started
        if other:
            self._forget(s, now)
            if known and not started:
                self._chill(s, now)
        recent = started and now - started < self.cfg.warm_ms  # a start of 0 is long ago
        if recent and (other or self.cold_ms[s] is None or started > known):
            self._chill(s, started if started > known else max(started, self.cold_ms[s] or started))

    def _forget(self, s: int, now: float) -> None:
        """Nothing is known of a shelf but its name, its slot, and that it may be cold."""
        self.width[s], self.bound[s], self.last_extent[s] = float(BOUND), BOUND, None
        self.plain_ms[s] = self.run_ms[s] = self.mean_ms[s] = 0.0
        self.seen_ms[s], self.heard_ms[s], self.lost[s] = -math.inf, now, 0
        self.dead[s], self.trial_ms[s] = False, now

    def _add_shelf(self, entry: Entry, now: float) -> int:
        """A place for a new name; one whose shelf left and has nothing here any more is given away first."""
        s = next((p for p in self.vacant if not self.held[p] and not self.away[p]), len(self.names))
        if s in self.vacant:
            del self.vacant[s], self.index[self.names[s]]
        self.index[entry.shelf] = s
        for column, value in (
            (self.names, entry.shelf), (self.ready, False), (self.slots, entry.slot), (self.started, 0.0),
            (self.cold_ms, None), (self.held, []), (self.away, []), (self.waits, []),
        ):  # fmt: skip
            column[s : s + 1] = [value]
        for learned in (
            self.width, self.bound, self.last_extent, self.plain_ms, self.run_ms, self.mean_ms, self.seen_ms,
            self.heard_ms, self.lost, self.dead, self.trial_ms,
        ):  # fmt: skip
            learned[s : s + 1] = [None]
        self._forget(s, now)
        if entry.shelf in self.past:
            plain, run, mean, seen, width, cold, then, left, slot, since = self.past.pop(entry.shelf)
            self.slots[s] = slot if slot >= 0 else entry.slot
            self.started[s] = entry.started_ms if slot < 0 else then - since if since >= 0 else 0.0
            self.plain_ms[s], self.run_ms[s] = plain, run
            self.mean_ms[s], self.seen_ms[s] = mean, then - seen
            self.width[s] = BOUND + (width - BOUND) * left
            self.bound[s] = int(self.width[s] + 0.5)
            if cold >= 0 and now - then + cold < self.cfg.warm_ms:
                self._chill(s, then - cold)
        return s

    def _pick_new(self) -> int:
        """A new object: two shelfs drawn at random, the one that this head's own counts favour."""
        if not self.takers:
            return -1
        pair = self.rng.sample(self.takers, min(2, len(self.takers)))
        return min(pair, key=lambda s: (self.dead[s], len(self.away[s]) + len(self.held[s]), self.mean_ms[s]))

    def _wake(self, at: float, s: int) -> None:
        step = self.cfg.step_ms or 1.0
        wake = (math.ceil(at / step) * step, s)
        if wake not in self.asked:
            self.asked.add(wake)
            heapq.heappush(self.wakes, wake)

    def _changed(self, a: Access) -> None:
        if a.seq not in self.marked:
            self.marked.add(a.seq)
            self.changes.handles.append(a)

    def _finish(self, now: float) -> Changes:
        changes, self.changes = self.changes, Changes()
        self.marked.clear()
        changes.wake_ms = max(now, self.wakes[0][0]) if self.wakes else None
        return changes
