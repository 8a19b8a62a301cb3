"""How many storage nodes and gateways the goal needs."""

from __future__ import annotations

import math
from typing import TypedDict

import numpy as np

from pebblehinge.capacity_planner.evidence import Evidence, non_increasing_fit
from pebblehinge.capacity_planner.limits import GATEWAY_UTILIZATION

QUOTA_LOSS_FRACTION = 0.5
"""Quotas alone miss the goal if they take more than this part of what may be lost."""

NODE_LOSS_FRACTION = 0.4
"""A single storage node misses the goal if it takes more than this part of what may be lost."""


class Sizing(TypedDict):
    """The fleet that meets the goal; the keys are those of the printed plan.

    `shelfs` is the number of storage nodes, None if no number that was tried meets the goal. `heads` is the number of
    gateways, `kind` the kind of storage nodes that does most. `service`, `low` and `high` are None without trials.
    """

    shelfs: int | None
    heads: int
    service: float | None
    low: float | None
    high: float | None
    kind: str
    reason: str


def size_fleet(evidence: Evidence, notes: list[str]) -> Sizing:
    """The fleet that meets the goal at the growth; adds a note if none does."""
    tried = evidence.service_by_node_count()
    peak = evidence.demand.peak_requests() * evidence.growth
    gateways = max(1, math.ceil(peak * evidence.gateway_cost_ms / 1000.0 / GATEWAY_UTILIZATION))
    kind = best_kind(evidence)
    if not tried:
        return Sizing(
            shelfs=evidence.estimated_node_count,
            heads=gateways,
            service=None,
            low=None,
            high=None,
            kind=kind,
            reason="by formulas alone",
        )
    rising = non_increasing_fit(np.array([service for _, service in tried])[::-1])[::-1]
    enough = [number for number, service in enumerate(rising) if service >= evidence.goal]
    best = enough[0] if enough else int(np.argmax(rising))
    count, service, noise = tried[best][0], float(rising[best]), evidence.noise()
    if enough:
        high = min(1.0, service + noise)
        reason = (
            f"with {count} shelfs of the fleet's kinds in turn, data laid out anew, {evidence.growth:g} times "
            f"the captured peak reaches {service:.3f}; {gateways} heads carry its busiest second"
        )
    else:
        high = service + noise
        reason = reason_for_missed_goal(evidence)
        notes.append(f"no number of shelfs that was tried meets the goal: {count} shelfs reach {service:.3f}; {reason}")
    return Sizing(
        shelfs=count if enough else None,
        heads=gateways,
        service=round(service, 4),
        low=round(service - noise, 4),
        high=round(high, 4),
        kind=kind,
        reason=reason,
    )


def best_kind(evidence: Evidence) -> str:
    """The kind of storage node in the fleet that does most work per time."""
    kinds = evidence.config.kind
    return max(
        sorted({node.kind for node in evidence.config.shelf.values()}),
        key=lambda name: kinds[name].cores * sum(kinds[name].speed) / 2 / kinds[name].unit_work,
    )


def reason_for_missed_goal(evidence: Evidence) -> str:
    """Why more storage nodes don't meet the goal, from the trials with most of them."""
    most = max((trial.node_count for trial in evidence.results if trial.node_count), default=0)
    results = [result for trial, result in evidence.results.items() if trial.node_count == most]
    to_quotas = sum(sum(result.lost_by_quota.values()) for result in results) / max(1, len(results))
    at_worst_node = max((max(result.lost_by_node.values(), default=0.0) for result in results), default=0.0)
    allowed = 1.0 - evidence.goal
    if to_quotas > QUOTA_LOSS_FRACTION * allowed:
        return f"plans' limits alone take {to_quotas:.3f}, which shelfs can't mend"
    if at_worst_node > NODE_LOSS_FRACTION * allowed:
        return "single shelfs stay hot however many there are: a volume's or an extent's own demand is the limit"
    return "runs on one extent and bursts within a second are more than one shelf's expected time allows"
