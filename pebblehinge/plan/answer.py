"""The planner's answer: the object that `--json` prints."""

from __future__ import annotations

from typing import Any

import numpy as np

from pebblehinge.plan.bottleneck import cause
from pebblehinge.plan.evidence import Evidence
from pebblehinge.plan.limits import Limit, other_limits
from pebblehinge.plan.loss import loss
from pebblehinge.plan.sizing import needed


def answer(evidence: Evidence) -> dict[str, Any]:
    """What is known by now: the object that `--json` prints."""
    notes = list(evidence.notes)
    found = evidence.crossing()
    if found is None:
        at, low, high = evidence.first_guess, evidence.first_guess * 0.7, evidence.first_guess * 1.4
        notes.append("no trial was played: the answer is the formulas' alone")
    else:
        at, low, high = found
    doubt = float(np.mean([e for _, e in evidence.speeds.values()])) if len(evidence.demand.at) < 2000 else 0.02
    if found is not None:  # no surer than the trials on both sides of it lie apart
        beside = evidence.bracket(None)
        low, high = min(low, beside[0]), max(high, beside[1])
    low, high = min(low, at * (1 - doubt)), max(high, at * (1 + doubt))
    name, where, reason = cause(evidence, at)
    rest = other_limits(evidence.demand, evidence.config, evidence.slots, evidence.head_cost_ms)
    first = Limit(name, where, at, reason)
    early = next((x for x in rest if x.name in ("head CPU", "streams", "accesses")), None)
    if early is not None and early.at_multiple < at:
        first, low, high = early, early.at_multiple * 0.85, early.at_multiple * 1.15
    need = needed(evidence, notes)
    losses = [found_loss for what in evidence.lose if (found_loss := loss(evidence, what)) is not None]
    base = at_one(evidence)
    return {
        "goal": evidence.goal,
        "growth": evidence.growth,
        "accesses": len(evidence.demand.at),
        "service_now": {"service": round(base[0], 4), "low": round(base[1], 4), "high": round(base[2], 4)},
        "first_limit": {
            "name": first.name,
            "where": first.where,
            "at_multiple": round(first.at_multiple, 3),
            "low": round(low, 3),
            "high": round(high, 3),
            "reason": first.reason,
        },
        "other_limits": [
            {"name": x.name, "where": x.where, "at_multiple": round(x.at_multiple, 2), "reason": x.reason}
            for x in rest
            if x is not first
        ],
        "needed": need,
        "losses": [
            {
                "what": x.what,
                "service": round(x.service, 4),
                "low": round(x.low, 4),
                "high": round(x.high, 4),
                "during": round(x.during, 4),
                "after": round(x.after, 4),
                "by_plan": {k: round(v, 4) for k, v in x.by_plan.items()},
                "reason": x.reason,
            }
            for x in losses
        ],
        "next_step": next_step(evidence, first, need),
        "curve": [[round(m, 3), round(s, 4)] for m, s in evidence.curve("", None)],
        "trials": len(evidence.results),
        "notes": notes,
    }


def at_one(evidence: Evidence) -> tuple[float, float, float]:
    values = [r.service for t, r in evidence.results.items() if t.multiple == 1.0 and not t.lose and t.shelfs is None]
    if not values:
        guess = evidence.service(1.0)
        return guess, guess - 0.05, min(1.0, guess + 0.05)
    noise = evidence.noise()
    return float(np.mean(values)), min(values) - noise, min(1.0, max(values) + noise)


def next_step(evidence: Evidence, first: Limit, needed: dict[str, Any]) -> str:
    if first.name == "plan limit":
        return f"raise the limit of {first.where}'s plan, or accept it: more shelfs change nothing"
    if first.name == "hot shelf":
        return f"spread what lies on {first.where} over more shelfs: the others have room"
    if first.name in ("head CPU", "streams", "accesses"):
        return f"add heads: {needed['heads']} carry the peak"
    if needed["shelfs"] is None:
        return needed["reason"]
    more = needed["shelfs"] - len(evidence.slots.order)
    return f"add {more} shelfs of kind {needed['kind']}" if more > 0 else "nothing now: the fleet holds the goal"
