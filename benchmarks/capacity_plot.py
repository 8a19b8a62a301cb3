"""The plot of the page's slopes: a small picture for each fit, its points and its line, as one SVG."""

from __future__ import annotations

from html import escape
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from capacity_fits import Data, Fit

WIDE, HIGH, COLUMNS = 300, 190, 3
LEFT, RIGHT, TOP, BOTTOM = 62, 14, 34, 30
SCALES = {"µs": 1e-6, "ms": 1e-3, "KB": 1e3, "MB": 1e6, "GB": 1e9, "% of a core": 0.01, "KB/s": 1e3, "MB/s": 1e6}


def picture(fit: Fit, x0: int, y0: int) -> list[str]:
    """One fit; the axes begin at 0 and end at its largest figures."""
    scale = SCALES.get(fit.unit, 1.0)
    most_x = fit.range[1] or 1.0
    most_y = max(max(abs(y) for _, y in fit.points), max(fit(x) for x, _ in fit.points)) or 1.0
    inner_x, inner_y = WIDE - LEFT - RIGHT, HIGH - TOP - BOTTOM

    def at(x: float, y: float) -> tuple[str, str]:
        return f"{x0 + LEFT + inner_x * x / most_x:.1f}", f"{y0 + HIGH - BOTTOM - inner_y * y / most_y:.1f}"

    left, floor, right, top = *at(0, 0), *at(most_x, most_y)
    found = [
        f'<text x="{x0 + 8}" y="{y0 + 16}" class="t">{escape(fit.name)}</text>',
        f'<text x="{x0 + 8}" y="{y0 + 28}">{escape(f"{fit.what}, {fit.unit}" if fit.unit else fit.what)}</text>',
        f'<path d="M{left} {top}V{floor}H{right}" class="a"/>',
        f'<text x="{right}" y="{y0 + HIGH - 14}" text-anchor="end">{escape(f"{most_x:,.4g} {fit.x}s")}</text>',
        f'<text x="{x0 + LEFT - 5}" y="{top}" dy="8" text-anchor="end">{most_y / scale:,.4g}</text>',
        f'<text x="{x0 + LEFT - 5}" y="{floor}" text-anchor="end">0</text>',
    ]
    steps = [at(most_x * n / 24, max(0.0, fit(most_x * n / 24))) for n in range(25)]
    found.append('<polyline class="f" points="' + " ".join(f"{x},{y}" for x, y in steps) + '"/>')
    for x, y in fit.points:
        cx, cy = at(x, max(0.0, y))
        found.append(f'<circle cx="{cx}" cy="{cy}" r="3"/>')
    return found


def plot(data: Data) -> str:
    """The whole SVG, the same text for the same data."""
    fits = [fit for fit in data.fits.values() if fit.form != "constant"]
    high = HIGH * max(1, -(-len(fits) // COLUMNS))
    lines = [
        f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {WIDE * COLUMNS} {high}" font-family="sans-serif" '
        'font-size="10" fill="#333">',
        "<title>Slopes of docs/CAPACITY.md: points as measured, lines as fitted</title>",
        "<style>.t{font-weight:bold;font-size:11px}.a{fill:none;stroke:#888}.f{fill:none;stroke:#06c;stroke-width:1.5}"
        "circle{fill:#c30}</style>",
        f'<rect width="{WIDE * COLUMNS}" height="{high}" fill="#fff"/>',
    ]
    for n, fit in enumerate(fits):
        lines += picture(fit, n % COLUMNS * WIDE, n // COLUMNS * HIGH)
    return "\n".join([*lines, "</svg>"]) + "\n"
