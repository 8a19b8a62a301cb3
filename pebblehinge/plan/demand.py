"""Captured load as arrays: who asked for how much, when, and where. Refused load counts, tries twice do not."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from pebblehinge.capture import CapturedRequest
from pebblehinge.capture.format import SUCCEEDED
from pebblehinge.settings import Config

FEWEST = 60  # requests below which no answer is honest
WAY_MS = 0.3  # of an attempt, on the network of one site
REMEMBER_MS = 2_000.0  # a further request of an extent within this counts as one of a run


class PlanError(Exception):
    """What makes a plan impossible: one plain line."""


@dataclass(slots=True)
class Demand:
    """One row a request, in order of time; `at` in ms from 0."""

    at: np.ndarray
    volume: np.ndarray
    plan: np.ndarray
    profile: np.ndarray
    slot: np.ndarray
    units: np.ndarray
    write: np.ndarray
    run: np.ndarray  # a request of an extent that its shelf surely remembers
    attempt_ms: np.ndarray  # 0 where no attempt was succeeded
    first: np.ndarray  # succeeded at the first attempt
    volumes: list[str]
    plans: list[str]
    profiles: list[str]
    slots: list[int]

    @property
    def seconds(self) -> int:
        return int(self.at[-1] / 1000.0) + 1

    def busiest(self, window_s: int) -> tuple[float, float]:
        """Begin and end (ms) of the window with most units: the design case, never the mean."""
        by_second = np.bincount((self.at / 1000.0).astype(int), self.units, self.seconds)
        if len(by_second) <= 1.25 * window_s:  # hardly longer than the window: all of it
            return 0.0, float(self.at[-1]) + 1.0
        sums = np.convolve(by_second, np.ones(window_s), "valid")
        begin = int(np.argmax(sums))
        return begin * 1000.0, (begin + window_s) * 1000.0


def demand_of(
    rows: list[tuple[float, str, CapturedRequest]], config: Config, fewest: int = FEWEST, whole: bool = True
) -> Demand:
    """Arrays from merged rows; raises PlanError where they do not fit the fleet. `whole`: all of a capture."""
    if len(rows) < fewest:
        raise PlanError(f"{len(rows)} accesses are captured: under {fewest} no answer would be honest")
    volumes = sorted({r.volume for _, _, r in rows})
    plans = sorted({r.quota_plan for _, _, r in rows})
    profiles = sorted({r.request_class for _, _, r in rows})
    slots = sorted({r.slot for _, _, r in rows})
    known = {s.slot for s in config.shelf.values()}
    for what, asked, there in (
        ("volume", volumes, config.volume),
        ("plan", plans, config.plan),
        ("profile", profiles, config.profile),
    ):
        missing = [name for name in asked if name not in there]
        if missing:
            raise PlanError(f"the capture has {what} {missing[0]!r}, which the fleet's settings do not know")
    strange = [s for s in slots if s not in known]
    if strange:
        raise PlanError(f"the capture names slot {strange[0]}, which no shelf of the fleet holds")
    unasked = sorted(known - set(slots))
    if whole and len(rows) > 50 * len(known) and len(unasked) > len(known) / 2:
        raise PlanError(f"{len(unasked)} of {len(known)} shelfs are not in the capture: is it this fleet's?")
    index = {
        kind: {name: i for i, name in enumerate(names)}
        for kind, names in (("v", volumes), ("p", plans), ("f", profiles))
    }
    last: dict[str, float] = {}
    run = np.zeros(len(rows), bool)
    for i, (at, _, r) in enumerate(rows):
        key = f"{r.volume}/{r.extent}"
        run[i] = at - last.get(key, -1e12) < REMEMBER_MS
        last[key] = at
    return Demand(
        at=np.array([at for at, _, _ in rows]),
        volume=np.array([index["v"][r.volume] for _, _, r in rows]),
        plan=np.array([index["p"][r.quota_plan] for _, _, r in rows]),
        profile=np.array([index["f"][r.request_class] for _, _, r in rows]),
        slot=np.array([r.slot for _, _, r in rows]),
        units=np.array([r.units for _, _, r in rows]),
        write=np.array([r.write for _, _, r in rows]),
        run=run,
        attempt_ms=np.array([r.last_attempt_ms if r.outcome == SUCCEEDED else 0.0 for _, _, r in rows]),
        first=np.array([r.outcome == SUCCEEDED and r.attempts == 1 for _, _, r in rows]),
        volumes=volumes,
        plans=plans,
        profiles=profiles,
        slots=slots,
    )


def window_of(demand: Demand, begin: float, end: float) -> list[str]:
    """What is to be said of the window that the plan is made for."""
    by_second = np.bincount((demand.at / 1000.0).astype(int), demand.units, demand.seconds)
    mean, top = float(by_second.mean()), float(by_second.max())
    notes = [
        f"planned for the busiest {(end - begin) / 1000:.0f} s, from {begin / 1000:.0f} s on: the busiest second asks "
        f"{top:.0f} units, {top / max(1e-9, mean):.1f} times the mean"
    ]
    fine = np.bincount((demand.at / 100.0).astype(int), demand.units)
    if fine.size and fine.max() * 10 > 3 * top:
        notes.append(f"a spike shorter than a second: {fine.max() * 10:.0f} units a second for a tenth of one")
    if len(demand.at) < 2000:
        notes.append(f"{len(demand.at)} accesses are few: bounds are wide")
    return notes


def fit_speed(demand: Demand, config: Config) -> dict[int, tuple[float, float]]:
    """Speed of each slot's cores and its relative error, from attempts that met an idle shelf.

    The quickest attempts for their size met nobody and drew the least work that the noise allows. With noise of +-n the
    work of a part q of undisturbed attempts is under 1 - n + 2nq of its mean; a few per cent from the top that is the
    same whether half of all attempts had to wait or none. Attempts on remembered extents are far quicker than any speed
    explains, and are left out. A slot with few attempts leans on what its kind states.
    """
    found = {}
    for shelf in config.shelf.values():
        kind = config.kind[shelf.kind]
        low, high = kind.speed
        stated, doubt = (low + high) / 2, (high - low) / (low + high) / 2
        mine = (demand.slot == shelf.slot) & demand.first & ~demand.run & ~demand.write & (demand.attempt_ms > 0)
        count = int(mine.sum())
        if count < 8:
            found[shelf.slot] = (stated, max(doubt, 0.05))
            continue
        big = mine & (demand.units >= np.median(demand.units[mine]))  # the way there and back counts less
        pace = demand.units[big] * kind.unit_work / np.maximum(0.1, demand.attempt_ms[big] - WAY_MS)
        pace = pace[pace < 1.25 * high / (1.0 - kind.noise)]
        if len(pace) < 4:
            found[shelf.slot] = (stated, max(doubt, 0.05))
            continue
        top = 0.95
        seen = float(np.quantile(pace, top)) * (1.0 - kind.noise + 2 * kind.noise * (1.0 - top) * 2.2)
        weight = count / (count + 20.0)
        # A capture taken during a trouble shows a shelf slower than it is: what its kind states bounds the fit.
        speed = min(max(weight * seen + (1 - weight) * stated, 0.97 * low), 1.03 * high)
        found[shelf.slot] = (speed, max(0.02, doubt * (1 - weight) + 0.1 / np.sqrt(count)))
    return found
