"""The part of the load that quotas admit."""

from __future__ import annotations

import numpy as np

from pebblehinge.capacity_planner.demand import Demand, Floats
from pebblehinge.settings import Config
from pebblehinge.settings.policy import PlanBlock


def admitted_fractions(demand: Demand, config: Config, multiple: float) -> Floats:
    """For each request the part of its volume's demand in that second that the quota plan's limit admits.

    A volume's token bucket is dealt out evenly among its gateways while the requests are not: what the busiest gateway
    may send is less than the whole limit, which this leaves out.
    """
    admitted = np.ones(len(demand.arrival_ms))
    seconds = demand.seconds
    for number, name in enumerate(demand.volumes):
        plan = config.plan[config.volume[name].plan]
        if not plan.limit:
            continue
        requests = np.flatnonzero(demand.volume == number)
        second = np.minimum(demand.second[requests], seconds - 1)
        asked: Floats = np.bincount(second, demand.units[requests], seconds).astype(float, copy=False) * multiple
        admitted[requests] = _token_bucket(plan, asked)[second]
    return admitted


def _token_bucket(plan: PlanBlock, asked: Floats) -> Floats:
    """The part of the units asked for in each second that a plan's token bucket admits."""
    level = plan.burst
    burst = plan.burst + plan.slack
    fractions = np.ones(len(asked))
    for second in range(len(asked)):
        tokens = min(burst, level + plan.limit)
        if asked[second] > 0:
            fractions[second] = min(1.0, tokens / asked[second])
        level = max(0.0, tokens - asked[second] * fractions[second])
    return fractions
