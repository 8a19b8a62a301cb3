"""The planner's answer: the object that `pebblehinge plan --json` prints. Its keys and texts are a public format."""

from __future__ import annotations

from typing import TypedDict

import numpy as np

from pebblehinge.capacity_planner.bottleneck import HOT_NODE, QUOTA, find_bottleneck
from pebblehinge.capacity_planner.demand import MIN_REQUESTS_FOR_NARROW_BOUNDS
from pebblehinge.capacity_planner.evidence import Crossing, Evidence
from pebblehinge.capacity_planner.failures import FailureImpact, failure_impact
from pebblehinge.capacity_planner.limits import GATEWAY_LIMITS, Limit, other_limits
from pebblehinge.capacity_planner.sizing import Sizing, size_fleet

MIN_CROSSING_ERROR = 0.02
"""Relative error of the crossing if the capture has at least MIN_REQUESTS_FOR_NARROW_BOUNDS requests."""

FORMULA_CROSSING_FACTORS = (0.7, 1.4)
"""Factors that give the lower and upper bound of a crossing estimated by formulas alone."""

LIMIT_BOUND_FACTORS = (0.85, 1.15)
"""Factors that give the lower and upper bound of a limit that trials do not cover."""

FORMULA_SERVICE_ERROR = 0.05
"""Absolute error of a service estimated by formulas alone."""

CAPTURED_LOAD_MULTIPLE = 1.0


class ServiceRange(TypedDict):
    """A service with its lower and upper bound, each between 0 and 1."""

    service: float
    low: float
    high: float


class FirstLimit(TypedDict):
    """The limit that the fleet reaches first, and the multiple of the captured load at which it does."""

    name: str
    where: str
    at_multiple: float
    low: float
    high: float
    reason: str


class OtherLimit(TypedDict):
    """A further limit, and the multiple of the captured load at which it is reached."""

    name: str
    where: str
    at_multiple: float
    reason: str


class Loss(TypedDict):
    """The service with a failed part of the fleet: over the whole run, during the failure, and after the recovery."""

    what: str
    service: float
    low: float
    high: float
    during: float
    after: float
    by_plan: dict[str, float]
    reason: str


class Answer(TypedDict):
    """The whole plan. `curve` holds pairs of a multiple of the captured load and the service at it."""

    goal: float
    growth: float
    accesses: int
    service_now: ServiceRange
    first_limit: FirstLimit
    other_limits: list[OtherLimit]
    needed: Sizing
    losses: list[Loss]
    next_step: str
    curve: list[list[float]]
    trials: int
    notes: list[str]


def make_answer(evidence: Evidence) -> Answer:
    """Returns the plan that follows from the evidence collected so far."""
    notes = list(evidence.notes)
    crossing = _crossing(evidence, notes)
    others = other_limits(evidence.demand, evidence.config, evidence.nodes, evidence.gateway_cost_ms)
    bottleneck = find_bottleneck(evidence, crossing.multiple)
    first = Limit(bottleneck.name, bottleneck.location, crossing.multiple, bottleneck.reason)
    low, high = crossing.low, crossing.high
    nearest = next((limit for limit in others if limit.name in GATEWAY_LIMITS), None)
    if nearest is not None and nearest.at_multiple < crossing.multiple:
        first = nearest
        low, high = nearest.at_multiple * LIMIT_BOUND_FACTORS[0], nearest.at_multiple * LIMIT_BOUND_FACTORS[1]
    needed = size_fleet(evidence, notes)
    impacts = [failure_impact(evidence, failure) for failure in evidence.failures]
    return Answer(
        goal=evidence.goal,
        growth=evidence.growth,
        accesses=len(evidence.demand.arrival_ms),
        service_now=service_at_captured_load(evidence),
        first_limit=FirstLimit(
            name=first.name,
            where=first.location,
            at_multiple=round(first.at_multiple, 3),
            low=round(low, 3),
            high=round(high, 3),
            reason=first.reason,
        ),
        other_limits=[_other_limit(limit) for limit in others if limit is not first],
        needed=needed,
        losses=[_loss(impact) for impact in impacts if impact is not None],
        next_step=next_step(evidence, first, needed),
        curve=[[round(multiple, 3), round(service, 4)] for multiple, service in evidence.service_by_multiple()],
        trials=len(evidence.results),
        notes=notes,
    )


def service_at_captured_load(evidence: Evidence) -> ServiceRange:
    """Returns the service at the captured load, from trials or, without any, from the formulas."""
    services = [
        result.service
        for trial, result in evidence.results.items()
        if trial.multiple == CAPTURED_LOAD_MULTIPLE and not trial.failure and trial.node_count is None
    ]
    if services:
        noise = evidence.noise()
        service, low, high = float(np.mean(services)), min(services) - noise, max(services) + noise
    else:
        service = evidence.estimated_service(CAPTURED_LOAD_MULTIPLE)
        low, high = service - FORMULA_SERVICE_ERROR, service + FORMULA_SERVICE_ERROR
    return ServiceRange(service=round(service, 4), low=round(low, 4), high=round(min(1.0, high), 4))


def next_step(evidence: Evidence, first: Limit, needed: Sizing) -> str:
    """Returns the recommended next action of the operator."""
    if first.name == QUOTA:
        return f"raise the limit of {first.location}'s plan, or accept it: more shelfs change nothing"
    if first.name == HOT_NODE:
        return f"spread what lies on {first.location} over more shelfs: the others have room"
    if first.name in GATEWAY_LIMITS:
        return f"add heads: {needed['heads']} carry the peak"
    if needed["shelfs"] is None:
        return needed["reason"]
    missing_nodes = needed["shelfs"] - len(evidence.nodes.slots)
    return (
        f"add {missing_nodes} shelfs of kind {needed['kind']}"
        if missing_nodes > 0
        else "nothing now: the fleet holds the goal"
    )


def _crossing(evidence: Evidence, notes: list[str]) -> Crossing:
    """Returns the crossing with bounds that cover all errors; adds a note if it comes from the formulas alone."""
    crossing = evidence.crossing()
    if crossing is None:
        notes.append("no trial was played: the answer is the formulas' alone")
        multiple = evidence.estimated_crossing
        low, high = multiple * FORMULA_CROSSING_FACTORS[0], multiple * FORMULA_CROSSING_FACTORS[1]
    else:  # The bounds are at least as wide as the gap between the trials on both sides of the crossing.
        multiple, low, high = crossing
        bracket_low, bracket_high = evidence.crossing_bracket()
        low, high = min(low, bracket_low), max(high, bracket_high)
    relative_error = MIN_CROSSING_ERROR
    if len(evidence.demand.arrival_ms) < MIN_REQUESTS_FOR_NARROW_BOUNDS:
        relative_error = float(np.mean([estimate.relative_error for estimate in evidence.speeds.values()]))
    return Crossing(multiple, min(low, multiple * (1 - relative_error)), max(high, multiple * (1 + relative_error)))


def _other_limit(limit: Limit) -> OtherLimit:
    at_multiple = round(limit.at_multiple, 2)
    return OtherLimit(name=limit.name, where=limit.location, at_multiple=at_multiple, reason=limit.reason)


def _loss(impact: FailureImpact) -> Loss:
    return Loss(
        what=impact.failure,
        service=round(impact.service, 4),
        low=round(impact.low, 4),
        high=round(impact.high, 4),
        during=round(impact.service_during_failure, 4),
        after=round(impact.service_after_return, 4),
        by_plan={name: round(service, 4) for name, service in impact.by_quota_plan.items()},
        reason=impact.reason,
    )
