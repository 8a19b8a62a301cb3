"""One self-contained HTML file for a day: load, service, latencies, refusals, heat of the shelfs, troubles marked."""

from __future__ import annotations

import base64
import html
import io
from collections import defaultdict
from typing import Any

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402
import numpy as np  # noqa: E402

from pebblehinge.lab.check import DayFacts  # noqa: E402
from pebblehinge.lab.verdict import service_shares  # noqa: E402

STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; margin: 2em auto; max-width: 72em; padding: 0 1em; color: #222 }
img { max-width: 100% } table { border-collapse: collapse } td, th { padding: .2em .8em; text-align: left;
border-bottom: 1px solid #ddd } .bad { font-weight: bold } .num { text-align: right }
"""


def _picture(figure: Any) -> str:
    out = io.BytesIO()
    figure.savefig(out, format="svg", bbox_inches="tight", metadata={"Date": None})
    plt.close(figure)
    return base64.b64encode(out.getvalue()).decode()


def series(day: DayFacts) -> dict[str, np.ndarray]:
    """Second by second: requests by end, service, latency percentiles."""
    if not day.ops:
        return {}
    seconds = int((max(op["t"] for op in day.ops.values()) - day.begin) / 1000.0) + 1
    counts: dict[str, np.ndarray] = defaultdict(lambda: np.zeros(seconds))
    took: list[list[float]] = [[] for _ in range(seconds)]
    for name, op in day.ops.items():
        s = min(seconds - 1, max(0, int((op["t"] - day.begin) / 1000.0)))
        done = day.done.get(name)
        end = done["final"] if done else "no end"
        counts[end][s] += 1
        if end == "honoured":
            took[s].append(done["took"])
    found = {f"end {k}": v for k, v in sorted(counts.items())}
    found["service"] = np.array(service_shares(day)[2])
    for q in (50, 99):
        found[f"p{q}"] = np.array([np.percentile(t, q) if t else np.nan for t in took])
    return found


def heat(day: DayFacts) -> tuple[list[str], np.ndarray]:
    """Work that reached each shelf, second by second, as a part of what it could do warm."""
    end = max((op["t"] for op in day.ops.values()), default=day.begin)
    seconds = int((end - day.begin) / 1000.0) + 1
    power = {life.name: life.capacity for life in day.lives}
    names = sorted(power, key=lambda n: (len(n), n))
    table = np.zeros((len(names), seconds))
    row = {n: i for i, n in enumerate(names)}
    for attempts in day.attempts.values():
        for got in attempts:
            s = int((got.t - day.begin) / 1000.0)
            if 0 <= s < seconds and got.shelf in row:
                table[row[got.shelf], s] += got.work / (power[got.shelf] * 1000.0)
    return names, table


def spans(day: DayFacts) -> list[tuple[float, float, str]]:
    """Troubles of the day: from, until (seconds), name."""
    by: dict[str, list[float]] = defaultdict(list)
    for step in day.steps:
        by[step["trouble"]].append((step["t"] - day.begin) / 1000.0)
    found = [(min(t), max(t), name.partition("#")[0]) for name, t in by.items() if name]
    for block in day.config.day.values():
        found += [
            (t.at / 1000.0, (t.at + (t.last or 0.0)) / 1000.0, t.name)
            for t in block.at
            if t.name in ("burst", "hot-key", "scan", "give-up", "client-cuts")
        ]
    return sorted(found)


def page(day: DayFacts, told: dict[str, Any], title: str) -> str:
    """The report as one HTML text."""
    lines = series(day)
    marks = spans(day)
    pictures = []
    ends = {k.removeprefix("end "): v for k, v in lines.items() if k.startswith("end ")}
    figure, (top, middle, low) = plt.subplots(3, 1, figsize=(12, 8.5), sharex=True)
    seconds = np.arange(len(lines["service"]))
    hatches = ["", "//", "xx", "..", "\\\\", "++", "oo"]
    bottom = np.zeros(len(seconds))
    for i, (end, values) in enumerate(sorted(ends.items(), key=lambda e: e[0] != "honoured")):
        top.bar(
            seconds,
            values,
            bottom=bottom,
            width=1.0,
            align="edge",
            label=end,
            hatch=hatches[i % len(hatches)],
            edgecolor="white",
            linewidth=0.2,
        )
        bottom += values
    top.set_ylabel("accesses a second, by end")
    top.legend(loc="upper right", fontsize=8)
    middle.step(seconds, lines["service"], where="post", color="black")
    middle.set_ylim(0, 1.05)
    middle.set_ylabel("service")
    for i, (begin, end, name) in enumerate(marks):
        middle.axvspan(begin, max(end, begin + 0.2), alpha=0.12)
        middle.text(begin, 0.04 + 0.075 * (i % 8), name, fontsize=7)
    low.plot(seconds, lines["p50"], label="p50")
    low.plot(seconds, lines["p99"], label="p99", linestyle="--")
    low.set_yscale("log")
    low.set_ylabel("latency of honoured, ms")
    low.set_xlabel("seconds of the day")
    low.legend(fontsize=8)
    pictures.append(("Load, service and latency; troubles are shaded and named", _picture(figure)))
    names, table = heat(day)
    if names:
        figure, axis = plt.subplots(figsize=(12, 0.6 + 0.22 * len(names)))
        image = axis.imshow(table, aspect="auto", interpolation="nearest", cmap="magma", vmin=0, vmax=1.2)
        axis.set_yticks(range(len(names)), names, fontsize=7)
        axis.set_xlabel("seconds of the day")
        figure.colorbar(image, label="work over what it can do warm")
        pictures.append(("Heat of each shelf", _picture(figure)))
    rules = "".join(
        f"<tr><td>{rule.replace('_', ' ')}</td><td class='{'' if said['kept'] else 'bad'}'>"
        f"{'kept' if said['kept'] else 'BROKEN'}</td><td class=num>{said['cases']}</td>"
        f"<td class=num>{said['nearest']:.2f}</td><td>{html.escape(said.get('first', ''))}</td></tr>"
        for rule, said in told["rules"].items()
    )
    figures = "".join(
        f"<tr><td>{html.escape(str(k))}</td><td>{html.escape(str(v))}</td></tr>"
        for k, v in told.items()
        if k not in ("rules",)
    )
    images = "".join(f"<h2>{t}</h2><img alt='{t}' src='data:image/svg+xml;base64,{data}'>" for t, data in pictures)
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><meta name=viewport content='width=device-width'>"
        f"<title>{html.escape(title)}</title><style>{STYLE}</style><h1>{html.escape(title)}</h1>"
        f"<p>Shelfs are stand-ins: all figures are simulated.</p><h2>Rules</h2><table><tr><th>rule<th>verdict<th>cases"
        f"<th>nearest to the edge (1)<th>first offence</tr>{rules}</table>{images}<h2>Figures</h2>"
        f"<table>{figures}</table></html>\n"
    )
