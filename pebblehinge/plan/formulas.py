"""A first answer by queueing formulas, in a second or two for a million accesses.

Each shelf is c cores before one queue. Second by second and shelf by shelf the demand's load (work over what the
cores can do) gives the part that is answered in time: below saturation by the waiting time of M/G/c (Allen and
Cunneen's form of Erlang C, with an exponential tail), above it by what the shelf can do at all, since the heads
turn away the rest at once. Neighbouring seconds share their backlog through a carried rest. `docs/planner.md`
says where this is off and by how much; trials confirm what stands near a boundary.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import numpy as np

from pebblehinge.plan.demand import Demand
from pebblehinge.settings import Config

SURE = 0.90  # of a saturated shelf's work ends in time: the rest is what heads with part of the view let through


@dataclass(slots=True)
class Slots:
    """What each slot's shelf can do: arrays in the order of `order`."""

    order: list[int]
    cores: np.ndarray
    speed: np.ndarray
    unit_work: np.ndarray
    seek: np.ndarray
    queue: np.ndarray
    racks: list[str]
    zones: list[str]
    names: list[str]


def slots_of(config: Config, speeds: dict[int, tuple[float, float]]) -> Slots:
    rows = sorted(config.shelf.items(), key=lambda item: item[1].slot)
    kinds = [config.kind[s.kind] for _, s in rows]
    return Slots(
        order=[s.slot for _, s in rows],
        cores=np.array([k.cores for k in kinds], float),
        speed=np.array([speeds.get(s.slot, (sum(k.speed) / 2, 0.1))[0] for (_, s), k in zip(rows, kinds, strict=True)]),
        unit_work=np.array([k.unit_work for k in kinds]),
        seek=np.array([k.seek if k.remembers else 0.0 for k in kinds]),
        queue=np.array([k.queue * k.cores for k in kinds], float),
        racks=[s.rack for _, s in rows],
        zones=[s.zone for _, s in rows],
        names=[name for name, _ in rows],
    )


def erlang_c(cores: int, load: float) -> float:
    """Chance to wait; `load` is work offered in cores."""
    if load >= cores:
        return 1.0
    term = total = 1.0
    for k in range(1, cores):
        term *= load / k
        total += term
    term *= load / cores
    last = term * cores / (cores - load)
    return last / (total + last)


def in_time(cores: int, rho: float, mean_ms: float, allowed_ms: float, spread: float) -> float:
    """The part of accesses whose wait and service end within what is allowed; `spread` is (ca^2 + cs^2) / 2."""
    slack = allowed_ms - 1.6 * mean_ms
    if slack <= 0:
        return max(0.0, 1.0 - math.exp(-allowed_ms / max(mean_ms, 1e-6)))
    if rho >= 1.0:
        return SURE / rho
    waits = erlang_c(cores, rho * cores)
    tail = math.exp(-cores * (1.0 - rho) * slack / max(mean_ms, 1e-6) / max(0.2, spread))
    # Near saturation the tail says less than the heads' own refusals: never below what a full shelf does.
    return max(1.0 - waits * tail, SURE / max(rho, 1.0) if rho > 0.95 else 0.0)


@dataclass(slots=True)
class Estimate:
    """Service at one multiple, and what is lost by cause."""

    service: float
    by_plan: dict[str, float]
    lost: dict[tuple[str, str], float]  # (cause, where) -> importance lost, as a part of all
    rho: np.ndarray  # by slot and second


def estimate(
    demand: Demand, config: Config, slots: Slots, multiple: float = 1.0, gone: frozenset[int] = frozenset()
) -> Estimate:
    """What the fleet makes of the demand at a multiple; `gone` slots answer nothing."""
    seconds, count = demand.seconds, len(slots.order)
    index = {slot: i for i, slot in enumerate(slots.order)}
    where = np.array([index[s] for s in demand.slot])
    second = np.minimum((demand.at / 1000.0).astype(int), seconds - 1)
    importance = np.array([config.profile[p].importance for p in demand.profiles])[demand.profile]
    let = limit_parts(demand, config, multiple)
    work = demand.units * slots.unit_work[where] * np.where(demand.run, 1.0 - slots.seek[where], 1.0)
    flat = where * seconds + second
    shape = (count, seconds)
    offered = np.bincount(flat, work * let, count * seconds).reshape(shape) * multiple
    power = (slots.cores * slots.speed)[:, None] * 1000.0
    # A second's surplus is refused within the expected times, not kept for long: about a third of a second of it
    # is carried, as what heads hold back until its due time.
    rho = offered / power
    carried = np.zeros(count)
    smooth = np.empty_like(rho)
    for s in range(seconds):
        smooth[:, s] = rho[:, s] + carried
        carried = np.clip(smooth[:, s] - 1.0, 0.0, 0.35)
    mean_ms = np.bincount(where, work, count) / np.maximum(1, np.bincount(where, minlength=count)) / slots.speed
    square = np.bincount(where, work**2, count) / np.maximum(1, np.bincount(where, minlength=count))
    mean_work = np.bincount(where, work, count) / np.maximum(1, np.bincount(where, minlength=count))
    cs2 = np.maximum(0.05, square / np.maximum(mean_work, 1e-9) ** 2 - 1.0)
    expected = np.array([config.profile[p].expected for p in demand.profiles])
    parts = np.zeros((len(expected), count, seconds))
    for f, allowed in enumerate(expected):
        for i in range(count):
            spread = (1.6 + cs2[i]) / 2  # arrivals come in runs: more uneven than Poisson
            cache: dict[float, float] = {}
            for s in range(seconds):
                key = round(float(smooth[i, s]), 2)
                if key not in cache:
                    cache[key] = in_time(int(slots.cores[i]), key, float(mean_ms[i]), float(allowed), spread)
                parts[f, i, s] = cache[key]
    dead = np.array([slot in gone for slot in slots.order])
    parts[:, dead, :] = 0.0
    ok = parts[demand.profile, where, second]
    total = float(importance.sum()) or 1.0
    lost: dict[tuple[str, str], float] = {}
    by_slot = np.bincount(where, importance * let * (1.0 - ok), count) / total
    for i, value in enumerate(by_slot):
        if value > 0:
            lost[("shelf", slots.names[i])] = float(value)
    by_volume = np.bincount(demand.volume, importance * (1.0 - let), len(demand.volumes)) / total
    for v, value in enumerate(by_volume):
        if value > 0:
            lost[("plan limit", demand.volumes[v])] = float(value)
    by_plan = {}
    for p, plan in enumerate(demand.plans):
        mine = demand.plan == p
        by_plan[plan] = float((importance * let * ok)[mine].sum() / max(1e-9, importance[mine].sum()))
    return Estimate(1.0 - sum(lost.values()), by_plan, lost, rho)


def limit_parts(demand: Demand, config: Config, multiple: float) -> np.ndarray:
    """For each access the part of its volume's demand in that second that the plan's limit lets through.

    A volume's store is dealt out evenly among its heads while the accesses are not: what the busiest head may
    send is less than the whole limit, so the level is reckoned with the even parts and the uneven use.
    """
    let = np.ones(len(demand.at))
    seconds = demand.seconds
    for v, name in enumerate(demand.volumes):
        volume = config.volume[name]
        plan = config.plan[volume.plan]
        if not plan.limit:
            continue
        mine = np.flatnonzero(demand.volume == v)
        second = np.minimum((demand.at[mine] / 1000.0).astype(int), seconds - 1)
        asked = np.bincount(second, demand.units[mine], seconds) * multiple
        level, burst = plan.burst, plan.burst + plan.slack
        part = np.ones(seconds)
        for s in range(seconds):
            have = min(burst, level + plan.limit)
            if asked[s] > 0:
                part[s] = min(1.0, have / asked[s])
            level = max(0.0, have - asked[s] * part[s])
        let[mine] = part[second]
    return let
