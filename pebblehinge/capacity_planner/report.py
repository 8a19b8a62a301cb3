"""Formatting of a plan as lines for a terminal, without I/O."""

from __future__ import annotations

from pebblehinge.capacity_planner.answer import Answer

MAX_OTHER_LIMITS = 4
"""The largest number of limits listed after the first one."""


def report_lines(answer: Answer) -> list[str]:
    """Returns the answer as lines of text, each figure with its bounds."""
    first, needed, current = answer["first_limit"], answer["needed"], answer["service_now"]
    lines = [
        f"{answer['accesses']} accesses in the busiest window; goal {answer['goal']:g}, growth {answer['growth']:g}",
        f"service now: {current['service']:.3f} ({current['low']:.3f} to {current['high']:.3f})",
        f"first limit: {first['name']} ({first['where']}) at {first['at_multiple']:.2f} times the captured load "
        f"({first['low']:.2f} to {first['high']:.2f}): {first['reason']}",
    ]
    if needed["shelfs"] is None:
        lines.append(f"needed: no number of shelfs meets the goal; best {needed['service']:.3f}: {needed['reason']}")
    elif needed["service"] is None:
        lines.append(f"needed: about {needed['shelfs']} shelfs and {needed['heads']} heads, by formulas alone")
    else:
        lines.append(
            f"needed: {needed['shelfs']} shelfs (best kind: {needed['kind']}) and {needed['heads']} heads, service "
            f"{needed['service']:.3f} ({needed['low']:.3f} to {needed['high']:.3f}): {needed['reason']}"
        )
    for loss in answer["losses"]:
        lines.append(
            f"losing {loss['what']}: service {loss['service']:.3f} ({loss['low']:.3f} to {loss['high']:.3f}); "
            f"{loss['reason']}"
        )
    lines.append(f"next: {answer['next_step']}")
    lines += [
        f"  then {limit['name']} ({limit['where']}) at {limit['at_multiple']:.1f} times: {limit['reason']}"
        for limit in answer["other_limits"][:MAX_OTHER_LIMITS]
    ]
    return lines + [f"note: {note}" for note in answer["notes"]]
