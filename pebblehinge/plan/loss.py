"""What service is left while a part of the fleet is away, and after its return."""

from __future__ import annotations

from dataclasses import dataclass, field

import numpy as np

from pebblehinge.plan.evidence import Evidence


@dataclass(slots=True)
class Loss:
    what: str
    service: float
    low: float
    high: float
    during: float
    after: float
    by_plan: dict[str, float] = field(default_factory=dict)
    reason: str = ""


def loss(evidence: Evidence, what: str) -> Loss | None:
    mine = [r for t, r in evidence.results.items() if t.lose == what]
    if not mine:
        return None
    noise = evidence.noise()
    services = [r.service for r in mine]
    service = float(np.mean(services))
    plans = {p: float(np.mean([r.by_plan.get(p, 0.0) for r in mine])) for p in mine[0].by_plan}
    during, after = float(np.mean([r.during for r in mine])), float(np.mean([r.after for r in mine]))
    worst = min(plans, key=plans.__getitem__) if plans else "none"
    return Loss(
        what,
        service,
        min(services) - noise,
        max(services) + noise,
        during,
        after,
        plans,
        f"while it is away {during:.3f} is served, in the cold return {after:.3f}; plan {worst} suffers most",
    )
