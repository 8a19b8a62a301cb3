"""Which ways between processes were struck, and when: what the rules may hold nobody to. From the lab's own records."""

from __future__ import annotations

import math
from typing import Any

AFTER_MS = 100.0  # what stood on a way that heals comes within this


class LinkFaultHistory:
    """Directions that were held (nothing passed, or late), and connections that were cut off under their ends."""

    def __init__(self) -> None:
        self.spans: dict[tuple[str, str], list[tuple[float, float]]] = {}
        self.since: dict[tuple[str, str], float] = {}
        self.cuts: dict[tuple[str, str], list[float]] = {}

    def note(self, row: dict[str, Any]) -> None:
        """A `way` or `cut off` row of the lab, in order of time."""
        pair, t = (row["a"], row["b"]), row["t"]
        if row["e"] == "cut off":
            for way in (pair, pair[::-1]):
                self.cuts.setdefault(way, []).append(t)
        elif row["held"]:
            self.since.setdefault(pair, t)
        elif pair in self.since:
            self.spans.setdefault(pair, []).append((self.since.pop(pair), t))

    def held(self, source: str, to: str, begin: float, end: float) -> bool:
        """Whether something on its way from one to the other at any time in between may have been held."""
        spans = [*self.spans.get((source, to), ()), (self.since.get((source, to), math.inf), math.inf)]
        return any(a <= end and begin <= b + AFTER_MS for a, b in spans)

    def may_have_failed(self, a: str, b: str, t: float, after_ms: float) -> bool:
        """Whether a connection between two that seemed to stand at a time may have been none: either direction was
        held, or it was cut off under one of them, no longer before than `after_ms`."""
        if any(t - after_ms <= at <= t for at in self.cuts.get((a, b), ())):
            return True
        return self.held(a, b, t - after_ms, t) or self.held(b, a, t - after_ms, t)
