"""The planner: asks for trials in batches, and turns what they showed into an answer. No I/O, no clock, no loop.

planner = Planner(demand, config, goal=0.95)
while (batch := planner.ask()):
    planner.told([play(trial) for trial in batch])     # or fewer results: it can stop at any time
planner.answer()
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from typing import Any

import numpy as np

from pebblehinge.plan.demand import Demand, PlanError, fit_speed
from pebblehinge.plan.formulas import HEAD_LOAD, Limit, estimate, other_limits, slots_of
from pebblehinge.settings import Config

GRID = (0.75, 0.87, 1.0, 1.15, 1.33)  # around the formulas' multiple, in the first batch
MOST = 16.0  # multiples beyond which nothing is said
CONCENTRATED = 0.5  # of the loss at one shelf or one volume is a hot one's


@dataclass(slots=True, frozen=True)
class Trial:
    """One run in virtual time: the captured peak at a multiple, on so many shelfs, with a loss at its middle."""

    multiple: float
    seed: int
    shelfs: int | None = None  # None: the fleet as it stands, with data where it lies
    lose: str = ""  # a head's, shelf's name, `rack NAME`, `zone NAME`
    blur_ms: float = 1_000.0  # how far from their originals the copies of grown load come


@dataclass(slots=True)
class TrialResult:
    """What a trial showed."""

    trial: Trial
    service: float
    by_plan: dict[str, float]
    lost_by_shelf: dict[str, float]  # importance lost, as a part of all due
    lost_by_limit: dict[str, float]  # the same at volumes whose plan has a limit, by their limit
    during: float = 0.0  # service while what was lost is away
    after: float = 0.0  # service in the cold return


@dataclass(slots=True)
class Loss:
    what: str
    service: float
    low: float
    high: float
    during: float
    after: float
    by_plan: dict[str, float] = field(default_factory=dict)
    reason: str = ""


class Planner:
    """Reasons over one capture and one fleet."""

    def __init__(
        self,
        demand: Demand,
        config: Config,
        goal: float = 0.95,
        growth: float = 1.0,
        lose: list[str] | None = None,
        head_cost_ms: float = 0.1,
        notes: list[str] | None = None,
        seeds: tuple[int, ...] = (101, 202),
        speeds_from: Demand | None = None,
    ) -> None:
        if not 0.0 < goal < 1.0:
            raise PlanError(f"a goal of {goal:g}: expected a service between 0 and 1")
        if not 0.05 <= growth <= 100.0:
            raise PlanError(f"a growth of {growth:g}: expected 0.05 to 100")
        self.demand, self.config, self.goal, self.growth = demand, config, goal, growth
        self.head_cost_ms, self.seeds = head_cost_ms, seeds
        self.notes = list(notes or [])
        self.speeds = fit_speed(speeds_from or demand, config)
        self.slots = slots_of(config, self.speeds)
        self.lose = losses_of(config) if lose is None else lose
        self.results: dict[Trial, TrialResult] = {}
        self.asked: set[Trial] = set()
        self.first_guess = self._guess_multiple()
        self.guess_shelfs = self._guess_shelfs()
        self.stage = 0
        self.blur_ms = blur_of(demand)

    # ---- by formulas

    def _service(self, multiple: float) -> float:
        return estimate(self.demand, self.config, self.slots, multiple).service

    def _guess_multiple(self) -> float:
        low, high = 0.02, MOST
        if self._service(high) >= self.goal:
            return MOST
        for _ in range(12):
            middle = math.sqrt(low * high)
            low, high = (middle, high) if self._service(middle) >= self.goal else (low, middle)
        return math.sqrt(low * high)

    def _guess_shelfs(self) -> int:
        """By the work of the busiest seconds: as many as hold it at the load that meets the goal now."""
        count = len(self.slots.order)
        return max(1, math.ceil(count * self.growth / max(0.05, self.first_guess)))

    # ---- trials

    def ask(self) -> list[Trial]:
        """The next batch, or none. Trials of one batch do not depend on each other."""
        while self.stage < 6:
            batch = [replace(t, blur_ms=self.blur_ms) for t in self._batch(self.stage)]
            batch = [t for t in batch if t not in self.asked]
            self.stage += 1
            if batch:
                self.asked.update(batch)
                return batch
        return []

    def _batch(self, stage: int) -> list[Trial]:
        if stage == 0:
            grid = [Trial(round(self.first_guess * g, 3), s) for g in GRID for s in self.seeds[:1]]
            return [*grid, *(Trial(1.0, s) for s in self.seeds)]
        if stage == 1:  # the crossing may stand outside of the grid
            low, high = self._bracket(None)
            return [Trial(round(m, 3), self.seeds[0]) for m in _between(low, high)]
        if stage == 2:  # narrower, with every seed
            low, high = self._bracket(None)
            middle = math.sqrt(low * high)
            return [Trial(round(m, 3), s) for m in (low, middle, high) for s in self.seeds]
        if stage == 3:
            # What trials showed of the load that the fleet holds says more than the formulas did.
            found = self._crossing()
            guess = self.guess_shelfs
            if found is not None:
                guess = max(1, math.ceil(len(self.slots.order) * self.growth / max(0.05, found[0])))
            spread = sorted({max(1, math.ceil(guess * f)) for f in (0.7, 0.8, 0.9, 1.0, 1.1, 1.25, 1.5)})
            shelf_trials = [Trial(self.growth, self.seeds[0], n) for n in spread]
            return [*shelf_trials, *(Trial(1.0, s, None, what) for what in self.lose for s in self.seeds)]
        low_n, high_n = self._bracket_shelfs()
        step = max(1, (high_n - low_n) // (5 if stage == 4 else 3))
        return [Trial(self.growth, s, n) for n in range(low_n, high_n + 1, step) for s in self.seeds]

    def told(self, results: list[TrialResult]) -> None:
        for result in results:
            self.results[result.trial] = result

    def _curve(self, lose: str, shelfs: int | None) -> list[tuple[float, float]]:
        """Multiple and mean service over seeds, in order."""
        by: dict[float, list[float]] = {}
        for trial, result in self.results.items():
            if trial.lose == lose and trial.shelfs == shelfs:
                by.setdefault(trial.multiple, []).append(result.service)
        return [(m, float(np.mean(v))) for m, v in sorted(by.items())]

    def _bracket(self, shelfs: int | None) -> tuple[float, float]:
        """Multiples between which the goal is crossed, as far as is known."""
        curve = self._curve("", shelfs)
        below = [m for m, s in curve if s >= self.goal]
        above = [m for m, s in curve if s < self.goal]
        if not curve:
            return self.first_guess * 0.75, self.first_guess * 1.33
        if not below:
            return max(0.02, min(above) * 0.3), min(above)
        if not above:
            return max(below), min(MOST * 2, max(below) * 2.5)
        high = min((m for m in above if m > max(below)), default=max(above))
        low = max((m for m in below if m < high), default=min(below))
        return low, max(high, low * 1.01)

    def _crossing(self) -> tuple[float, float, float] | None:
        """The multiple at which service falls under the goal, with bounds; None where nothing was tried."""
        curve = self._curve("", None)
        if not curve:
            return None
        # Service falls with load but for chance: the line is made to fall before it is read.
        multiples = np.array([m for m, _ in curve])
        falling = _falling(np.array([s for _, s in curve]))

        def read(goal: float) -> float:
            if falling[-1] >= goal:
                return float(multiples[-1])
            if falling[0] < goal:
                return float(multiples[0])
            i = int(np.argmax(falling < goal))
            a, b = falling[i - 1], falling[i]
            part = (a - goal) / max(1e-9, a - b)
            return float(multiples[i - 1] + part * (multiples[i] - multiples[i - 1]))

        noise = self._noise()
        return read(self.goal), read(self.goal + noise), read(self.goal - noise)

    def _noise(self) -> float:
        """How far trials that differ by their seed alone lie apart, at least half a point."""
        by: dict[tuple[Any, ...], list[float]] = {}
        for trial, result in self.results.items():
            by.setdefault((trial.multiple, trial.shelfs, trial.lose), []).append(result.service)
        apart = [np.ptp(v) for v in by.values() if len(v) > 1]
        return max(0.005, float(np.mean(apart)) if apart else 0.01)

    def _bracket_shelfs(self) -> tuple[int, int]:
        tried = self._shelf_services()
        good = [n for n, s in tried if s >= self.goal]
        bad = [n for n, s in tried if s < self.goal]
        if not good:
            top = max(bad, default=self.guess_shelfs)
            return top + 1, math.ceil(top * 1.6) + 1
        low = max((n for n in bad if n < min(good)), default=max(1, min(good) // 2))
        return low, min(good)

    def _shelf_services(self) -> list[tuple[int, float]]:
        by: dict[int, list[float]] = {}
        for trial, result in self.results.items():
            if trial.shelfs is not None and not trial.lose and trial.multiple == self.growth:
                by.setdefault(trial.shelfs, []).append(result.service)
        return [(n, float(np.mean(v))) for n, v in sorted(by.items())]

    # ---- the answer

    def answer(self) -> dict[str, Any]:
        """What is known by now: the object that `--json` prints."""
        notes = list(self.notes)
        found = self._crossing()
        if found is None:
            at, low, high = self.first_guess, self.first_guess * 0.7, self.first_guess * 1.4
            notes.append("no trial was played: the answer is the formulas' alone")
        else:
            at, low, high = found
        doubt = float(np.mean([e for _, e in self.speeds.values()])) if len(self.demand.at) < 2000 else 0.02
        if found is not None:  # no surer than the trials on both sides of it lie apart
            beside = self._bracket(None)
            low, high = min(low, beside[0]), max(high, beside[1])
        low, high = min(low, at * (1 - doubt)), max(high, at * (1 + doubt))
        cause, where, reason = self._cause(at)
        rest = other_limits(self.demand, self.config, self.slots, self.head_cost_ms)
        first = Limit(cause, where, at, reason)
        early = next((x for x in rest if x.name in ("head CPU", "streams", "accesses")), None)
        if early is not None and early.at_multiple < at:
            first, low, high = early, early.at_multiple * 0.85, early.at_multiple * 1.15
        needed = self._needed(notes)
        losses = [loss for what in self.lose if (loss := self._loss(what)) is not None]
        base = self._at_one()
        return {
            "goal": self.goal,
            "growth": self.growth,
            "accesses": len(self.demand.at),
            "service_now": {"service": round(base[0], 4), "low": round(base[1], 4), "high": round(base[2], 4)},
            "first_limit": {
                "name": first.name,
                "where": first.where,
                "at_multiple": round(first.at_multiple, 3),
                "low": round(low, 3),
                "high": round(high, 3),
                "reason": first.reason,
            },
            "other_limits": [
                {"name": x.name, "where": x.where, "at_multiple": round(x.at_multiple, 2), "reason": x.reason}
                for x in rest
                if x is not first
            ],
            "needed": needed,
            "losses": [
                {
                    "what": x.what,
                    "service": round(x.service, 4),
                    "low": round(x.low, 4),
                    "high": round(x.high, 4),
                    "during": round(x.during, 4),
                    "after": round(x.after, 4),
                    "by_plan": {k: round(v, 4) for k, v in x.by_plan.items()},
                    "reason": x.reason,
                }
                for x in losses
            ],
            "next_step": self._next_step(first, needed),
            "curve": [[round(m, 3), round(s, 4)] for m, s in self._curve("", None)],
            "trials": len(self.results),
            "notes": notes,
        }

    def _at_one(self) -> tuple[float, float, float]:
        values = [r.service for t, r in self.results.items() if t.multiple == 1.0 and not t.lose and t.shelfs is None]
        if not values:
            guess = self._service(1.0)
            return guess, guess - 0.05, min(1.0, guess + 0.05)
        noise = self._noise()
        return float(np.mean(values)), min(values) - noise, min(1.0, max(values) + noise)

    def _cause(self, at: float) -> tuple[str, str, str]:
        """What takes the service at the crossing: from trials beside it, else from the formulas."""
        near = sorted(
            (r for t, r in self.results.items() if not t.lose and t.shelfs is None and t.multiple >= at * 0.98),
            key=lambda r: r.trial.multiple,
        )[:3]
        shelf: dict[str, float] = {}
        limit: dict[str, float] = {}
        if near:
            for r in near:
                for into, lost in ((shelf, r.lost_by_shelf), (limit, r.lost_by_limit)):
                    for name, value in lost.items():
                        into[name] = into.get(name, 0.0) + value / len(near)
        else:
            for (what, name), value in estimate(self.demand, self.config, self.slots, at).lost.items():
                into = limit if what == "plan limit" else shelf
                into[name] = into.get(name, 0.0) + value
        return blame(shelf, limit, len(self.slots.order), at)

    def _needed(self, notes: list[str]) -> dict[str, Any]:
        tried = self._shelf_services()
        peak = float(np.bincount((self.demand.at / 1000.0).astype(int)).max()) * self.growth
        heads = max(1, math.ceil(peak * self.head_cost_ms / 1000.0 / HEAD_LOAD))
        if not tried:
            return {
                "shelfs": self.guess_shelfs,
                "heads": heads,
                "service": None,
                "low": None,
                "high": None,
                "kind": self._kind(),
                "reason": "by formulas alone",
            }
        smooth = _falling(np.array([s for _, s in tried])[::-1])[::-1]
        good = [i for i, s in enumerate(smooth) if s >= self.goal]
        noise = self._noise()
        if not good:
            best = int(np.argmax(smooth))
            notes.append(
                f"no number of shelfs that was tried meets the goal: {tried[best][0]} shelfs reach {smooth[best]:.3f}; "
                + self._why_never()
            )
            return {
                "shelfs": None,
                "heads": heads,
                "service": round(float(smooth[best]), 4),
                "low": round(float(smooth[best]) - noise, 4),
                "high": round(float(smooth[best]) + noise, 4),
                "kind": self._kind(),
                "reason": self._why_never(),
            }
        count, service = tried[good[0]][0], float(smooth[good[0]])
        return {
            "shelfs": count,
            "heads": heads,
            "service": round(service, 4),
            "low": round(service - noise, 4),
            "high": round(min(1.0, service + noise), 4),
            "kind": self._kind(),
            "reason": f"with {count} shelfs of the fleet's kinds in turn, data laid out anew, {self.growth:g} times "
            f"the captured peak reaches {service:.3f}; {heads} heads carry its busiest second",
        }

    def _kind(self) -> str:
        """Which kind does most for one shelf."""
        kinds = self.config.kind
        return max(
            sorted({s.kind for s in self.config.shelf.values()}),
            key=lambda k: kinds[k].cores * sum(kinds[k].speed) / 2 / kinds[k].unit_work,
        )

    def _why_never(self) -> str:
        biggest = max((t.shelfs for t in self.results if t.shelfs), default=0)
        last = [r for t, r in self.results.items() if t.shelfs == biggest]
        limit = sum(sum(r.lost_by_limit.values()) for r in last) / max(1, len(last))
        shelf = max((max(r.lost_by_shelf.values(), default=0.0) for r in last), default=0.0)
        if limit > 0.5 * (1.0 - self.goal):
            return f"plans' limits alone take {limit:.3f}, which shelfs can't mend"
        if shelf > 0.4 * (1.0 - self.goal):
            return "single shelfs stay hot however many there are: a volume's or an extent's own demand is the limit"
        return "runs on one extent and bursts within a second are more than one shelf's expected time allows"

    def _loss(self, what: str) -> Loss | None:
        mine = [r for t, r in self.results.items() if t.lose == what]
        if not mine:
            return None
        noise = self._noise()
        services = [r.service for r in mine]
        service = float(np.mean(services))
        plans = {p: float(np.mean([r.by_plan.get(p, 0.0) for r in mine])) for p in mine[0].by_plan}
        during, after = float(np.mean([r.during for r in mine])), float(np.mean([r.after for r in mine]))
        worst = min(plans, key=plans.__getitem__) if plans else "none"
        return Loss(
            what,
            service,
            min(services) - noise,
            max(services) + noise,
            during,
            after,
            plans,
            f"while it is away {during:.3f} is served, in the cold return {after:.3f}; plan {worst} suffers most",
        )

    def _next_step(self, first: Limit, needed: dict[str, Any]) -> str:
        if first.name == "plan limit":
            return f"raise the limit of {first.where}'s plan, or accept it: more shelfs change nothing"
        if first.name == "hot shelf":
            return f"spread what lies on {first.where} over more shelfs: the others have room"
        if first.name in ("head CPU", "streams", "accesses"):
            return f"add heads: {needed['heads']} carry the peak"
        if needed["shelfs"] is None:
            return needed["reason"]
        more = needed["shelfs"] - len(self.slots.order)
        return f"add {more} shelfs of kind {needed['kind']}" if more > 0 else "nothing now: the fleet holds the goal"


def blame(shelf: dict[str, float], limit: dict[str, float], shelfs: int, at: float) -> tuple[str, str, str]:
    """Name, place and reason of the limit that takes the service, from what was lost where."""
    of_shelfs, of_limits = sum(shelf.values()), sum(limit.values())
    total = max(1e-9, of_shelfs + of_limits)
    if of_limits > of_shelfs:
        name = max(limit, key=limit.__getitem__)
        return (
            "plan limit",
            name,
            (
                f"at {at:.2f} times the captured load {of_limits / total:.0%} of what is lost is asked beyond plans' "
                f"limits, most by {name}"
            ),
        )
    if not shelf:
        return "shelf time", "all shelfs", f"nothing is lost up to {at:.2f} times the captured load"
    name = max(shelf, key=shelf.__getitem__)
    part = shelf[name] / max(1e-9, of_shelfs)
    top_two = sum(sorted(shelf.values())[-2:]) / max(1e-9, of_shelfs)
    if shelfs > 2 and (part > max(CONCENTRATED, 2.0 / shelfs) or (shelfs > 4 and top_two > 0.7)):
        return "hot shelf", name, f"at {at:.2f} times the captured load {part:.0%} of what is lost is lost at {name}"
    return (
        "shelf time",
        "all shelfs",
        (
            f"at {at:.2f} times the captured load the shelfs' time is used up in the busiest seconds; "
            f"{name} loses most, {part:.0%} of it"
        ),
    )


def blur_of(demand: Demand) -> float:
    """How far copies may stray: a few seconds, so that chance crowding is not copied with the load; a part of a
    second where the load has a spike that is shorter, and that is the design case."""
    tenths = np.bincount((demand.at / 100.0).astype(int), demand.units)
    if len(tenths) < 50:
        return 1_000.0
    smooth = np.convolve(tenths, np.ones(5) / 5, "valid")
    return 300.0 if smooth.max() > 1.8 * tenths.mean() else 3_000.0


def losses_of(config: Config) -> list[str]:
    """What may be lost at once: every zone and rack that is not all, one shelf, one head."""
    found = []
    for what in ("zone", "rack"):
        names = sorted({getattr(s, what) for s in config.shelf.values()})
        if len(names) > 1:
            found += [f"{what} {name}" for name in names[:6]]
    if len(config.shelf) > 1:
        found.append(next(iter(config.shelf)))
    if len(config.head) > 1:
        found.append(next(iter(config.head)))
    return found


def _falling(values: np.ndarray) -> np.ndarray:
    """The nearest line that never rises (pool adjacent violators)."""
    blocks: list[list[float]] = []
    for v in values:
        blocks.append([float(v), 1.0])
        while len(blocks) > 1 and blocks[-2][0] < blocks[-1][0]:
            (a, n), (b, m) = blocks[-2], blocks[-1]
            blocks[-2:] = [[(a * n + b * m) / (n + m), n + m]]
    return np.array([v for v, n in blocks for _ in range(int(n))])


def _between(low: float, high: float) -> list[float]:
    """Bounds and four multiples between them, in even steps of their ratio."""
    ratio = (high / low) ** 0.2
    return [low * ratio**k for k in range(6)]
