"""The numbers of storage nodes and gateways that the goal requires."""

from __future__ import annotations

import math
from typing import TypedDict

import numpy as np

from pebblehinge.capacity_planner.evidence import Evidence, non_increasing_fit
from pebblehinge.capacity_planner.limits import GATEWAY_UTILIZATION

QUOTA_LOSS_FRACTION = 0.5
"""Quotas are the reason for a missed goal if they cause more than this fraction of the allowed loss."""

NODE_LOSS_FRACTION = 0.4
"""A hot storage node is the reason for a missed goal if it causes more than this fraction of the allowed loss."""


class Sizing(TypedDict):
    """The fleet that meets the goal; the keys are those of the printed plan.

    `shelfs` is the number of storage nodes, None if no number in the trials meets the goal. `heads` is the number of
    gateways, `kind` the kind of storage node with the highest capacity. `service`, `low` and `high` are None without
    trials.
    """

    shelfs: int | None
    heads: int
    service: float | None
    low: float | None
    high: float | None
    kind: str
    reason: str


def size_fleet(evidence: Evidence, notes: list[str]) -> Sizing:
    """Returns the fleet that meets the goal at the growth; adds a note if no fleet does."""
    services = evidence.service_by_node_count()
    peak_requests = evidence.demand.peak_requests() * evidence.growth
    gateways = max(1, math.ceil(peak_requests * evidence.gateway_cost_ms / 1000.0 / GATEWAY_UTILIZATION))
    kind = best_kind(evidence)
    if not services:
        return Sizing(
            shelfs=evidence.estimated_node_count,
            heads=gateways,
            service=None,
            low=None,
            high=None,
            kind=kind,
            reason="by formulas alone",
        )
    fitted_services = non_increasing_fit(np.array([service for _, service in services])[::-1])[::-1]
    sufficient = [number for number, service in enumerate(fitted_services) if service >= evidence.goal]
    best_index = sufficient[0] if sufficient else int(np.argmax(fitted_services))
    count, service, noise = services[best_index][0], float(fitted_services[best_index]), evidence.noise()
    if sufficient:
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
        shelfs=count if sufficient else None,
        heads=gateways,
        service=round(service, 4),
        low=round(service - noise, 4),
        high=round(high, 4),
        kind=kind,
        reason=reason,
    )


def best_kind(evidence: Evidence) -> str:
    """Returns the kind of storage node in the fleet with the highest capacity."""
    kinds = evidence.config.kind
    return max(
        sorted({node.kind for node in evidence.config.shelf.values()}),
        key=lambda name: kinds[name].cores * sum(kinds[name].speed) / 2 / kinds[name].unit_work,
    )


def reason_for_missed_goal(evidence: Evidence) -> str:
    """Returns why more storage nodes do not meet the goal, judged by the trials with the largest number of them."""
    largest_count = max((trial.node_count for trial in evidence.results if trial.node_count), default=0)
    results = [result for trial, result in evidence.results.items() if trial.node_count == largest_count]
    quota_loss = sum(sum(result.lost_by_quota.values()) for result in results) / max(1, len(results))
    worst_node_loss = max((max(result.lost_by_node.values(), default=0.0) for result in results), default=0.0)
    allowed_loss = 1.0 - evidence.goal
    if quota_loss > QUOTA_LOSS_FRACTION * allowed_loss:
        return f"plans' limits alone take {quota_loss:.3f}, which shelfs can't mend"
    if worst_node_loss > NODE_LOSS_FRACTION * allowed_loss:
        return "single shelfs stay hot however many there are: a volume's or an extent's own demand is the limit"
    return "runs on one extent and bursts within a second are more than one shelf's expected time allows"
