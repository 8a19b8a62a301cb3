"""How many storage nodes and gateways the goal needs."""

from __future__ import annotations

import math
from typing import Any

import numpy as np

from pebblehinge.plan.evidence import Evidence, non_increasing_fit
from pebblehinge.plan.limits import HEAD_LOAD


def needed(evidence: Evidence, notes: list[str]) -> dict[str, Any]:
    tried = evidence.shelf_services()
    peak = float(np.bincount((evidence.demand.at / 1000.0).astype(int)).max()) * evidence.growth
    heads = max(1, math.ceil(peak * evidence.head_cost_ms / 1000.0 / HEAD_LOAD))
    if not tried:
        return {
            "shelfs": evidence.guess_shelfs,
            "heads": heads,
            "service": None,
            "low": None,
            "high": None,
            "kind": kind(evidence),
            "reason": "by formulas alone",
        }
    smooth = non_increasing_fit(np.array([s for _, s in tried])[::-1])[::-1]
    good = [i for i, s in enumerate(smooth) if s >= evidence.goal]
    noise = evidence.noise()
    if not good:
        best = int(np.argmax(smooth))
        notes.append(
            f"no number of shelfs that was tried meets the goal: {tried[best][0]} shelfs reach {smooth[best]:.3f}; "
            + why_never(evidence)
        )
        return {
            "shelfs": None,
            "heads": heads,
            "service": round(float(smooth[best]), 4),
            "low": round(float(smooth[best]) - noise, 4),
            "high": round(float(smooth[best]) + noise, 4),
            "kind": kind(evidence),
            "reason": why_never(evidence),
        }
    count, service = tried[good[0]][0], float(smooth[good[0]])
    return {
        "shelfs": count,
        "heads": heads,
        "service": round(service, 4),
        "low": round(service - noise, 4),
        "high": round(min(1.0, service + noise), 4),
        "kind": kind(evidence),
        "reason": f"with {count} shelfs of the fleet's kinds in turn, data laid out anew, {evidence.growth:g} times "
        f"the captured peak reaches {service:.3f}; {heads} heads carry its busiest second",
    }


def kind(evidence: Evidence) -> str:
    """Which kind does most for one shelf."""
    kinds = evidence.config.kind
    return max(
        sorted({s.kind for s in evidence.config.shelf.values()}),
        key=lambda k: kinds[k].cores * sum(kinds[k].speed) / 2 / kinds[k].unit_work,
    )


def why_never(evidence: Evidence) -> str:
    biggest = max((t.shelfs for t in evidence.results if t.shelfs), default=0)
    last = [r for t, r in evidence.results.items() if t.shelfs == biggest]
    limit = sum(sum(r.lost_by_limit.values()) for r in last) / max(1, len(last))
    shelf = max((max(r.lost_by_shelf.values(), default=0.0) for r in last), default=0.0)
    if limit > 0.5 * (1.0 - evidence.goal):
        return f"plans' limits alone take {limit:.3f}, which shelfs can't mend"
    if shelf > 0.4 * (1.0 - evidence.goal):
        return "single shelfs stay hot however many there are: a volume's or an extent's own demand is the limit"
    return "runs on one extent and bursts within a second are more than one shelf's expected time allows"
