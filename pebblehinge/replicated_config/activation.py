"""Limits between versions: what a gateway may send for a volume, whichever version other gateways act on.

This module is pure arithmetic. A gateway's allowance of a volume's limit is rate / heads and (burst + slack) / heads,
where `heads` is the number of gateways that share the volume. Three modes keep the sum of all gateways' allowances at
or below the limit at every moment:

- *transitional* (between versions N and N+1): each allowance is the smaller of N's and of N+1's less the floor's share.
  That share is left for gateways that may be unreachable on an older version (see `reservations_fit`): reservations
  for them come with N+1 itself, and until then all transitional gateways act without them. A gateway is transitional
  from the time it has acknowledged N+1 until it learns that N+1 is active.
- *cut off* (no lease): a configured share, the floor, of its allowance in the last version that it knows. The leader
  reserves this share for each gateway that may be cut off.
- *active*: the version as it stands, less what is reserved for unreachable gateways.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from pebblehinge.replicated_config.commands import Reservations
from pebblehinge.settings import Config
from pebblehinge.settings.policy import PlanBlock, VolumeBlock

MIN_RATE = 1e-6  # units per second; a limit of 0 would mean no limit at all


class Allowance(NamedTuple):
    """Rate in units per second, and burst in units. Sent and stored as an array."""

    rate: float
    burst: float


class UnreachableGateway(NamedTuple):
    """A gateway whose lease has expired, and the last version that it acknowledged."""

    name: str
    config: Config


NO_ALLOWANCE = Allowance(0.0, 0.0)


def allowances_of(config: Config, gateway: str) -> dict[str, Allowance]:
    """Returns what one gateway may send, by volume with a limit; nothing for volumes that other gateways serve."""
    allowances: dict[str, Allowance] = {}
    for name, volume in config.volume.items():
        plan = config.plan[volume.plan]
        if not plan.limit:
            continue
        if volume.through and gateway not in volume.through:
            allowances[name] = NO_ALLOWANCE
        else:
            allowances[name] = Allowance(plan.limit / volume.heads, (plan.burst + plan.slack) / volume.heads)
    return allowances


def transitional_config(old: Config, new: Config, gateway: str, floor: float = 0.0) -> Config:
    """Returns the old version with each allowance no greater than the new one's less the floor's share.

    A limit that only the new version has applies already; a volume or limit that the new version lacks keeps its old
    values until the new version is active.
    """
    share = 1.0 - floor
    old_allowances = allowances_of(old, gateway)
    new_allowances = {
        volume: Allowance(rate * share, burst * share) for volume, (rate, burst) in allowances_of(new, gateway).items()
    }
    plans: dict[str, PlanBlock] = dict(old.plan)
    volumes: dict[str, VolumeBlock] = {}
    for name, volume in old.volume.items():
        allowance = _min_allowance(old_allowances.get(name), new_allowances.get(name))
        if allowance is None:
            volumes[name] = volume
            continue
        volumes[name], plan = _with_allowance(volume, old.plan[volume.plan], allowance)
        plans[volumes[name].plan] = plan
    return msgspec.structs.replace(old, plan=plans, volume=volumes)


def _min_allowance(old: Allowance | None, new: Allowance | None) -> Allowance | None:
    """Returns the smaller allowance, or None if neither version has a limit."""
    if old is None or new is None:
        return new if old is None else old
    return Allowance(min(old.rate, new.rate), min(old.burst, new.burst))


def _with_allowance(volume: VolumeBlock, plan: PlanBlock, allowance: Allowance) -> tuple[VolumeBlock, PlanBlock]:
    """Returns the volume on a quota plan of its own that gives one gateway exactly this allowance, and that plan."""
    rate, burst = allowance
    heads = volume.heads
    name = f"{volume.plan}~{rate:g}~{burst:g}~{heads}"
    own_plan = msgspec.structs.replace(
        plan, limit=max(rate, MIN_RATE) * heads, burst=max(0.0, burst * heads), slack=0.0
    )
    return msgspec.structs.replace(volume, plan=name), own_plan


def config_without_lease(config: Config, floor: float) -> Config:
    """Returns what a gateway without a lease acts on: the floor's share of every limit."""
    plans = dict(config.plan)
    for name, plan in config.plan.items():
        if plan.limit:
            plans[name] = msgspec.structs.replace(
                plan, limit=plan.limit * floor, burst=plan.burst * floor, slack=plan.slack * floor
            )
    return msgspec.structs.replace(config, plan=plans)


def reservations_for(unreachable: Sequence[UnreachableGateway], floor: float) -> Reservations:
    """Returns what unreachable gateways may still send, by volume, each under the last version that it acknowledged."""
    total: Reservations = {}
    for gateway, config in unreachable:
        for volume, (rate, burst) in allowances_of(config, gateway).items():
            previous = total.get(volume, NO_ALLOWANCE)
            total[volume] = Allowance(previous[0] + rate * floor, previous[1] + burst * floor)
    return dict(sorted(total.items()))


def subtract_reservations(config: Config, reservations: Reservations) -> Config:
    """Returns the active version less the reservations."""
    if not reservations:
        return config
    plans = dict(config.plan)
    volumes = dict(config.volume)
    for name, (rate, burst) in reservations.items():
        volume = config.volume.get(name)
        plan = config.plan[volume.plan] if volume is not None else None
        if volume is None or plan is None or not plan.limit or (rate == 0 and burst == 0):
            continue
        allowance = Allowance(
            max(0.0, plan.limit - rate) / volume.heads, max(0.0, plan.burst + plan.slack - burst) / volume.heads
        )
        volumes[name], own_plan = _with_allowance(volume, plan, allowance)
        plans[volumes[name].plan] = own_plan
    return msgspec.structs.replace(config, plan=plans, volume=volumes)


def find_conflict(config: Config, reservations: Reservations) -> str | None:
    """Returns why a version can't be active with these reservations, or None if it can."""
    for name, (rate, burst) in reservations.items():
        volume = config.volume.get(name)
        if volume is None:
            if rate > 0:
                return f"volume {name} would be removed while a head that is cut off may still send for it"
            continue
        plan = config.plan[volume.plan]
        if plan.limit and (rate > plan.limit or burst > plan.burst + plan.slack):
            return (
                f"volume {name}: heads that are cut off may send {rate:g} per second and {burst:g} at once, the new "
                f"limit is {plan.limit:g} and {plan.burst + plan.slack:g}"
            )
    return None


def reservations_fit(config: Config, reservations: Reservations, floor: float, unreachable: Sequence[str]) -> bool:
    """Returns whether a version may become active with these reservations although no gateway knows of them yet.

    Until they know, transitional gateways act on its allowances less the floor's share, and unreachable gateways use
    none of it: the reservations have to fit into what both leave.
    """
    for name, (rate, burst) in reservations.items():
        volume = config.volume.get(name)
        plan = config.plan[volume.plan] if volume is not None else None
        if volume is None or plan is None or not plan.limit:
            continue
        # Only `through` names the gateways that may send; without it no unreachable gateway's share counts as unused.
        unreachable_share = sum(gateway in volume.through for gateway in unreachable) / volume.heads
        capacity = floor + (1.0 - floor) * min(1.0, unreachable_share)
        if rate > plan.limit * capacity or burst > (plan.burst + plan.slack) * capacity:
            return False
    return True
