"""Limits that trials in virtual time do not show, or that are promises rather than load."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from pebblehinge.plan.demand import Demand
from pebblehinge.plan.formulas import Slots, estimate
from pebblehinge.settings import Config

HEAD_LOAD = 0.6  # of a core that a head may use and still answer in time


@dataclass(slots=True)
class Limit:
    """One limit: at which multiple of the captured load it is reached."""

    name: str
    where: str
    at_multiple: float
    reason: str


def other_limits(demand: Demand, config: Config, slots: Slots, head_cost_ms: float) -> list[Limit]:
    """Limits that trials in virtual time do not show, or that are promises rather than load."""
    found = []
    by_second = np.bincount((demand.at / 1000.0).astype(int), minlength=demand.seconds)
    peak = float(by_second.max())
    heads = max(1, len(config.head))
    at = HEAD_LOAD * 1000.0 * heads / max(1e-9, peak * head_cost_ms)
    found.append(
        Limit(
            "head CPU",
            f"{heads} heads",
            at,
            f"a second of {peak:.0f} accesses at {head_cost_ms * 1000:.0f} us over {heads} heads may use "
            f"{HEAD_LOAD:.0%} of a core",
        )
    )
    power = float((slots.cores * slots.speed / slots.unit_work).sum() * 1000.0)
    reserved = sum(config.plan[v.plan].reserve for v in config.volume.values())
    if reserved:
        found.append(
            Limit(
                "reserves",
                "all plans",
                0.9 * power / reserved,
                f"reserves of {reserved:.0f} units a second against 0.9 of {power:.0f}",
            )
        )
    streams = config.limits.streams
    busy = peak * 0.2 / heads  # open at once at a head, were every request open for 200 ms
    found.append(
        Limit(
            "streams",
            "a client's connection",
            streams / max(1e-9, busy),
            f"{busy:.0f} accesses open at a head, {streams} allowed on a connection",
        )
    )
    found.append(
        Limit(
            "accesses",
            "a head",
            config.limits.accesses / max(1e-9, busy),
            f"{busy:.0f} accesses open at a head, {config.limits.accesses} allowed",
        )
    )
    rho = estimate(demand, config, slots).rho.max(axis=1)
    hot = int(np.argmax(rho))
    found.append(
        Limit(
            "queue",
            slots.names[hot],
            float(slots.queue[hot] / max(1e-9, rho[hot] * slots.cores[hot])),
            f"its queue of {slots.queue[hot]:.0f} against what its busiest second brings",
        )
    )
    bound = 4.0 * heads / slots.cores
    found.append(
        Limit(
            "slot bound",
            "all heads",
            float(bound.min()) / max(1e-9, float(rho.max())),
            f"{heads} heads keep at most {4 * heads} accesses out at a shelf",
        )
    )
    return sorted(found, key=lambda limit: limit.at_multiple)
