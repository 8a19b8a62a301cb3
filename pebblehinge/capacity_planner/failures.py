"""The service during the failure of a part of the fleet, and after its recovery."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from pebblehinge.capacity_planner.evidence import Evidence


@dataclass(slots=True)
class FailureImpact:
    """The service in trials in which a part of the fleet fails.

    Attributes:
        failure: The failed part: the name of a gateway or a storage node, `rack NAME` or `zone NAME`.
        service: The mean service over the whole run.
        low: The lower bound of `service`.
        high: The upper bound of `service`.
        service_during_failure: The service during the failure.
        service_after_return: The service while the recovered part is warming up.
        by_quota_plan: The service over the whole run, by quota plan name.
        reason: The supporting figures, for the operator.
    """

    failure: str
    service: float
    low: float
    high: float
    service_during_failure: float
    service_after_return: float
    by_quota_plan: dict[str, float]
    reason: str


def failure_impact(evidence: Evidence, failure: str) -> FailureImpact | None:
    """Returns the impact of a failure, or None if no trial of it has been run."""
    results = [result for trial, result in evidence.results.items() if trial.failure == failure]
    if not results:
        return None
    noise = evidence.noise()
    services = [result.service for result in results]
    service_by_plan = {
        name: float(np.mean([result.by_quota_plan.get(name, 0.0) for result in results]))
        for name in results[0].by_quota_plan
    }
    during_failure = float(np.mean([result.service_during_failure for result in results]))
    after_return = float(np.mean([result.service_after_return for result in results]))
    worst_plan = min(service_by_plan, key=service_by_plan.__getitem__) if service_by_plan else "none"
    return FailureImpact(
        failure,
        float(np.mean(services)),
        min(services) - noise,
        max(services) + noise,
        during_failure,
        after_return,
        service_by_plan,
        f"while it is away {during_failure:.3f} is served, in the cold return {after_return:.3f}; "
        f"plan {worst_plan} suffers most",
    )
