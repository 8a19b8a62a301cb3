"""How docs/CAPACITY.md writes figures and tables."""

from __future__ import annotations

from typing import Any

UNITS = {
    "": 1.0,
    "/s": 1.0,
    "s": 1.0,
    "ms": 1e-3,
    "µs": 1e-6,
    "B": 1.0,
    "KB": 1e3,
    "MB": 1e6,
    "GB": 1e9,
    "B/s": 1.0,
    "KB/s": 1e3,
    "MB/s": 1e6,
    "% of a core": 0.01,
    "cores": 1.0,
}
FAMILIES = (("s", "ms", "µs"), ("GB", "MB", "KB", "B"), ("MB/s", "KB/s", "B/s"))


def number(value: float) -> str:
    """Three figures, four below ten thousand; thousands apart."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        digits = len(f"{abs(value):.0f}")
        return f"{round(value, 4 - digits if digits == 4 else 3 - digits):,.0f}"
    return f"{value:.3g}" if abs(value) >= 0.001 else f"{value:.2e}"


def quantity(value: float, unit: str) -> str:
    """A value in base units, shown in its unit or in the one of its family that suits it best."""
    family = next((f for f in FAMILIES if unit in f), (unit,))
    unit = next((u for u in family if abs(value) >= UNITS[u]), family[-1])
    if unit == "cores" and value == 1:
        return "1 core"
    return f"{number(value / UNITS[unit])}{' ' if unit and unit[0] not in '/%' else ''}{unit}"


def figure(value: Any) -> str:
    """A run's own figure, as it was told."""
    if value is None or value == "":
        return "-"
    if isinstance(value, bool) or not isinstance(value, int | float):
        return str(value)
    return f"{value:,}" if isinstance(value, int) else f"{value:,.4g}" if abs(value) < 1000 else f"{value:,.0f}"


def rows(head: list[str], body: list[list[str]]) -> str:
    lines = [head, ["---"] * len(head), *body]
    return "".join("| " + " | ".join(cell.replace("|", "/") for cell in line) + " |\n" for line in lines)
