"""A plan for people: lines for a terminal, a page with a plot. No I/O."""

from __future__ import annotations

import base64
import html
import io
from typing import Any


def lines(told: dict[str, Any]) -> list[str]:
    """The answer as sentences, each with its uncertainty."""
    first, needed, now = told["first_limit"], told["needed"], told["service_now"]
    out = [
        f"{told['accesses']} accesses in the busiest window; goal {told['goal']:g}, growth {told['growth']:g}",
        f"service now: {now['service']:.3f} ({now['low']:.3f} to {now['high']:.3f})",
        f"first limit: {first['name']} ({first['where']}) at {first['at_multiple']:.2f} times the captured load "
        f"({first['low']:.2f} to {first['high']:.2f}): {first['reason']}",
    ]
    if needed["shelfs"] is None:
        out.append(f"needed: no number of shelfs meets the goal; best {needed['service']:.3f}: {needed['reason']}")
    elif needed["service"] is None:
        out.append(f"needed: about {needed['shelfs']} shelfs and {needed['heads']} heads, by formulas alone")
    else:
        out.append(
            f"needed: {needed['shelfs']} shelfs (best kind: {needed['kind']}) and {needed['heads']} heads, service "
            f"{needed['service']:.3f} ({needed['low']:.3f} to {needed['high']:.3f}): {needed['reason']}"
        )
    for loss in told["losses"]:
        out.append(
            f"losing {loss['what']}: service {loss['service']:.3f} ({loss['low']:.3f} to {loss['high']:.3f}); "
            f"{loss['reason']}"
        )
    out.append(f"next: {told['next_step']}")
    out += [
        f"  then {x['name']} ({x['where']}) at {x['at_multiple']:.1f} times: {x['reason']}"
        for x in told["other_limits"][:4]
    ]
    return out + [f"note: {note}" for note in told["notes"]]


def page(told: dict[str, Any]) -> str:
    """One self-contained HTML text."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axis = plt.subplots(figsize=(9, 4))
    curve = told["curve"]
    axis.plot([m for m, _ in curve], [s for _, s in curve], marker="o", color="black", label="service of trials")
    axis.axhline(told["goal"], linestyle="--", label=f"goal {told['goal']:g}")
    first = told["first_limit"]
    axis.axvspan(first["low"], first["high"], alpha=0.15)
    axis.axvline(first["at_multiple"], linestyle=":", label=f"{first['name']} at {first['at_multiple']:.2f}")
    axis.set_xlabel("multiple of the captured load")
    axis.set_ylabel("service")
    axis.legend()
    out = io.BytesIO()
    figure.savefig(out, format="svg", bbox_inches="tight", metadata={"Date": None})
    plt.close(figure)
    data = base64.b64encode(out.getvalue()).decode()
    text = "".join(f"<p>{html.escape(line)}</p>" for line in lines(told))
    return (
        "<!doctype html><html lang=en><meta charset=utf-8><title>Capacity plan</title>"
        "<style>body{font:15px/1.5 system-ui;max-width:60em;margin:2em auto;padding:0 1em}img{max-width:100%}</style>"
        f"<h1>Capacity plan</h1><p>From trials in virtual time against stand-ins: simulated figures.</p>{text}"
        f"<img alt='service over the multiple of the captured load' src='data:image/svg+xml;base64,{data}'></html>\n"
    )
