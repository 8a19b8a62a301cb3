"""Rendering of a plan as a self-contained HTML page with a plot, without I/O."""

from __future__ import annotations

import base64
import html
import io

from matplotlib.figure import Figure

from pebblehinge.capacity_planner.answer import Answer
from pebblehinge.capacity_planner.report import report_lines

FIGURE_INCHES = (9, 4)


def render_page(answer: Answer) -> str:
    """Returns the HTML text of the page."""
    figure = Figure(figsize=FIGURE_INCHES)
    axis = figure.subplots()
    curve = answer["curve"]
    axis.plot(
        [multiple for multiple, _ in curve],
        [service for _, service in curve],
        marker="o",
        color="black",
        label="service of trials",
    )
    axis.axhline(answer["goal"], linestyle="--", label=f"goal {answer['goal']:g}")
    first = answer["first_limit"]
    axis.axvspan(first["low"], first["high"], alpha=0.15)
    axis.axvline(first["at_multiple"], linestyle=":", label=f"{first['name']} at {first['at_multiple']:.2f}")
    axis.set_xlabel("multiple of the captured load")
    axis.set_ylabel("service")
    axis.legend()
    svg = io.BytesIO()
    figure.savefig(svg, format="svg", bbox_inches="tight", metadata={"Date": None})
    data = base64.b64encode(svg.getvalue()).decode()
    text = "".join(f"<p>{html.escape(line)}</p>" for line in report_lines(answer))
    return (
        "<!doctype html><html lang=en><meta charset=utf-8><title>Capacity plan</title>"
        "<style>body{font:15px/1.5 system-ui;max-width:60em;margin:2em auto;padding:0 1em}img{max-width:100%}</style>"
        f"<h1>Capacity plan</h1><p>From trials in virtual time against stand-ins: simulated figures.</p>{text}"
        f"<img alt='service over the multiple of the captured load' src='data:image/svg+xml;base64,{data}'></html>\n"
    )
