"""What service is left while a part of the fleet has failed, and after its return."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from pebblehinge.capacity_planner.evidence import Evidence


@dataclass(slots=True)
class FailureImpact:
    """The service of trials in which a part of the fleet failed.

    Attributes:
        failure: What failed: the name of a gateway or a storage node, `rack NAME` or `zone NAME`.
        service: The mean service over the whole run.
        low: Its lower bound.
        high: Its upper bound.
        service_during_failure: The service while the failure lasts.
        service_after_return: The service while what had failed is warming up.
        by_quota_plan: The service over the whole run by the name of a quota plan.
        reason: The figures behind it, for the operator.
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
    """The impact of a failure, or None if no trial of it has been played."""
    results = [result for trial, result in evidence.results.items() if trial.failure == failure]
    if not results:
        return None
    noise = evidence.noise()
    services = [result.service for result in results]
    plans = {
        name: float(np.mean([result.by_quota_plan.get(name, 0.0) for result in results]))
        for name in results[0].by_quota_plan
    }
    during = float(np.mean([result.service_during_failure for result in results]))
    after = float(np.mean([result.service_after_return for result in results]))
    worst = min(plans, key=plans.__getitem__) if plans else "none"
    return FailureImpact(
        failure,
        float(np.mean(services)),
        min(services) - noise,
        max(services) + noise,
        during,
        after,
        plans,
        f"while it is away {during:.3f} is served, in the cold return {after:.3f}; plan {worst} suffers most",
    )
