"""The limit that takes the service, named from what was lost where."""

from __future__ import annotations

from pebblehinge.plan.evidence import Evidence
from pebblehinge.plan.formulas import estimate

CONCENTRATED = 0.5  # of the loss at one shelf or one volume is a hot one's


def cause(evidence: Evidence, at: float) -> tuple[str, str, str]:
    """What takes the service at the crossing: from trials beside it, else from the formulas."""
    near = sorted(
        (r for t, r in evidence.results.items() if not t.lose and t.shelfs is None and t.multiple >= at * 0.98),
        key=lambda r: r.trial.multiple,
    )[:3]
    shelf: dict[str, float] = {}
    limit: dict[str, float] = {}
    if near:
        for r in near:
            for into, lost in ((shelf, r.lost_by_shelf), (limit, r.lost_by_limit)):
                for name, value in lost.items():
                    into[name] = into.get(name, 0.0) + value / len(near)
    else:
        for (what, name), value in estimate(evidence.demand, evidence.config, evidence.slots, at).lost.items():
            into = limit if what == "plan limit" else shelf
            into[name] = into.get(name, 0.0) + value
    return blame(shelf, limit, len(evidence.slots.order), at)


def blame(shelf: dict[str, float], limit: dict[str, float], shelfs: int, at: float) -> tuple[str, str, str]:
    """Name, place and reason of the limit that takes the service, from what was lost where."""
    of_shelfs, of_limits = sum(shelf.values()), sum(limit.values())
    total = max(1e-9, of_shelfs + of_limits)
    if of_limits > of_shelfs:
        name = max(limit, key=limit.__getitem__)
        return (
            "plan limit",
            name,
            (
                f"at {at:.2f} times the captured load {of_limits / total:.0%} of what is lost is asked beyond plans' "
                f"limits, most by {name}"
            ),
        )
    if not shelf:
        return "shelf time", "all shelfs", f"nothing is lost up to {at:.2f} times the captured load"
    name = max(shelf, key=shelf.__getitem__)
    part = shelf[name] / max(1e-9, of_shelfs)
    top_two = sum(sorted(shelf.values())[-2:]) / max(1e-9, of_shelfs)
    if shelfs > 2 and (part > max(CONCENTRATED, 2.0 / shelfs) or (shelfs > 4 and top_two > 0.7)):
        return "hot shelf", name, f"at {at:.2f} times the captured load {part:.0%} of what is lost is lost at {name}"
    return (
        "shelf time",
        "all shelfs",
        (
            f"at {at:.2f} times the captured load the shelfs' time is used up in the busiest seconds; "
            f"{name} loses most, {part:.0%} of it"
        ),
    )
