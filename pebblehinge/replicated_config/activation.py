"""Limits between versions. Pure arithmetic: what a head may send for a volume, whichever version others act on.

A head's part of a volume's limit is rate / heads and (burst + slack) / heads. Three modes keep the sum of all heads'
parts at or under the limit at every moment:

- *careful* (between N and N+1): each volume's part is the smaller of N's and N+1's less the floor's share. That share
  is left for heads that may be cut off on an older version (`leaves_room`): what is set aside for them is heard of
  with N+1 itself, and until then all who are careful act without it. A head is careful from the time that it has
  acknowledged N+1 until it hears that N+1 is active.
- *cut off* (no lease): a stated share, the floor, of its part of the last version it knows. Whoever may be cut off
  is counted for so much.
- *active*: the version as it stands, less what is set aside for heads that are cut off.
"""

from __future__ import annotations

import msgspec

from pebblehinge.settings import Config
from pebblehinge.settings.policy import PlanBlock, VolumeBlock

Parts = dict[str, tuple[float, float]]  # volume -> rate and burst of one head


def parts_of(config: Config, head: str) -> Parts:
    """What one head may send for each volume with a limit; nothing for volumes that do not come through it."""
    found: Parts = {}
    for name, volume in config.volume.items():
        plan = config.plan[volume.plan]
        if plan.limit:
            if volume.through and head not in volume.through:
                found[name] = (0.0, 0.0)
            else:
                found[name] = (plan.limit / volume.heads, (plan.burst + plan.slack) / volume.heads)
    return found


def careful(old: Config, new: Config, head: str, floor: float = 0.0) -> Config:
    """The old version, with each volume's part no greater than the new one's less the floor's share. What only the new
    one limits is limited already; what is gone in the new one keeps the old figures until it is gone."""
    now, left = parts_of(old, head), 1.0 - floor
    then = {name: (rate * left, burst * left) for name, (rate, burst) in parts_of(new, head).items()}
    plans: dict[str, PlanBlock] = dict(old.plan)
    volumes: dict[str, VolumeBlock] = {}
    for name, volume in old.volume.items():
        old_part, new_part = now.get(name), then.get(name)
        if new_part is None and (name not in new.volume or old_part is None or not _unlimited(new, name)):
            if old_part is None:
                volumes[name] = volume
                continue
            new_part = old_part
        if old_part is None and new_part is not None:
            part = new_part
        elif new_part is None:
            part = old_part
        else:
            part = (min(old_part[0], new_part[0]), min(old_part[1], new_part[1]))
        assert part is not None
        volumes[name], plan = _with_part(volume, old.plan[volume.plan], part)
        plans[volumes[name].plan] = plan
    return msgspec.structs.replace(old, plan=plans, volume=volumes)


def _unlimited(config: Config, volume: str) -> bool:
    block = config.volume.get(volume)
    return block is not None and not config.plan[block.plan].limit


def _with_part(volume: VolumeBlock, plan: PlanBlock, part: tuple[float, float]) -> tuple[VolumeBlock, PlanBlock]:
    """A plan of this volume's own whose part for one head is exactly so much."""
    rate, burst = part
    heads = volume.heads
    name = f"{volume.plan}~{rate:g}~{burst:g}~{heads}"
    # The module gives a volume without a rate no limit at all: a part of nothing is the smallest one instead.
    own = msgspec.structs.replace(plan, limit=max(rate, 1e-6) * heads, burst=max(0.0, burst * heads), slack=0.0)
    return msgspec.structs.replace(volume, plan=name), own


def cut_off(config: Config, floor: float) -> Config:
    """What a head without a lease acts on: the floor's share of every limit."""
    plans = {
        name: msgspec.structs.replace(p, limit=p.limit * floor, burst=p.burst * floor, slack=p.slack * floor)
        if p.limit
        else p
        for name, p in config.plan.items()
    }
    return msgspec.structs.replace(config, plan=plans)


Aside = dict[str, tuple[float, float]]  # volume -> rate and burst set aside, over all heads that may be cut off


def aside_of(missing: list[tuple[str, Config]], floor: float) -> Aside:
    """What heads that may be cut off could still send, each by the last version that it acknowledged."""
    found: dict[str, tuple[float, float]] = {}
    for head, config in missing:
        for volume, (rate, burst) in parts_of(config, head).items():
            have = found.get(volume, (0.0, 0.0))
            found[volume] = (have[0] + rate * floor, have[1] + burst * floor)
    return dict(sorted(found.items()))


def leave(config: Config, aside: Aside) -> Config:
    """The active version, less what is set aside."""
    if not aside:
        return config
    plans, volumes = dict(config.plan), dict(config.volume)
    for name, (rate, burst) in aside.items():
        volume = config.volume.get(name)
        plan = config.plan[volume.plan] if volume is not None else None
        if volume is None or plan is None or not plan.limit or (rate == 0 and burst == 0):
            continue
        part = (max(0.0, plan.limit - rate) / volume.heads, max(0.0, plan.burst + plan.slack - burst) / volume.heads)
        volumes[name], own = _with_part(volume, plan, part)
        plans[volumes[name].plan] = own
    return msgspec.structs.replace(config, plan=plans, volume=volumes)


def fits(config: Config, aside: Aside) -> str | None:
    """Why a version can't be active while so much is set aside, or None."""
    for name, (rate, burst) in aside.items():
        volume = config.volume.get(name)
        if volume is None:
            if rate > 0:
                return f"volume {name} would go while a head that is cut off may still send for it"
            continue
        plan = config.plan[volume.plan]
        if plan.limit and (rate > plan.limit or burst > plan.burst + plan.slack):
            return (
                f"volume {name}: heads that are cut off may send {rate:g} a second and {burst:g} at once, the new "
                f"limit is {plan.limit:g} and {plan.burst + plan.slack:g}"
            )
    return None


def leaves_room(config: Config, aside: Aside, floor: float, away: list[str]) -> bool:
    """Whether a version may be active with so much set aside though nobody has heard of that yet: heads that are
    careful act on its parts less the floor's share, and those that are away on none of it."""
    for name, (rate, burst) in aside.items():
        volume = config.volume.get(name)
        if volume is None or not (plan := config.plan[volume.plan]).limit:
            continue
        unused = sum(head in volume.through for head in away) / volume.heads  # who may send is known by name alone
        room = floor + (1.0 - floor) * min(1.0, unused)
        if rate > plan.limit * room or burst > (plan.burst + plan.slack) * room:
            return False
    return True
