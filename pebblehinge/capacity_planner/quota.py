"""The fraction of the load that quotas admit."""

from __future__ import annotations

import numpy as np

from pebblehinge.capacity_planner.demand import Demand, Floats
from pebblehinge.settings import Config
from pebblehinge.settings.policy import PlanBlock


def admitted_fractions(demand: Demand, config: Config, multiple: float) -> Floats:
    """Returns for each request the fraction of its volume's demand in that second that the quota plan admits.

    Limitation: a volume's token bucket is split evenly among its gateways while its requests are not, so the busiest
    gateway is limited to less than its share of the load. This estimate ignores that.
    """
    admitted = np.ones(len(demand.arrival_ms))
    seconds = demand.seconds
    for number, name in enumerate(demand.volumes):
        plan = config.plan[config.volume[name].plan]
        if not plan.limit:
            continue
        requests = np.flatnonzero(demand.volume == number)
        second = np.minimum(demand.second[requests], seconds - 1)
        requested_units: Floats = (
            np.bincount(second, demand.units[requests], seconds).astype(float, copy=False) * multiple
        )
        admitted[requests] = _token_bucket(plan, requested_units)[second]
    return admitted


def _token_bucket(plan: PlanBlock, requested_units: Floats) -> Floats:
    """Returns the fraction of the requested units in each second that a plan's token bucket admits."""
    level = plan.burst
    burst = plan.burst + plan.slack
    fractions = np.ones(len(requested_units))
    for second in range(len(requested_units)):
        tokens = min(burst, level + plan.limit)
        if requested_units[second] > 0:
            fractions[second] = min(1.0, tokens / requested_units[second])
        level = max(0.0, tokens - requested_units[second] * fractions[second])
    return fractions
