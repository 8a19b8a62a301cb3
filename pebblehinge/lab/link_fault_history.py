"""When links between processes were faulty, from the lab's records: the rules excuse what such links explain."""

from __future__ import annotations

import math
from typing import Any

AFTER_MS = 100.0  # data held back on a link arrives within this time after the fault ends


class LinkFaultHistory:
    """Directions that were blocked or delayed, and connections that were cut without notice to an end."""

    def __init__(self) -> None:
        self.spans: dict[tuple[str, str], list[tuple[float, float]]] = {}
        self.since: dict[tuple[str, str], float] = {}
        self.cuts: dict[tuple[str, str], list[float]] = {}

    def note(self, row: dict[str, Any]) -> None:
        """Adds a `way` or `cut off` row of the lab; rows come in order of time."""
        pair, t = (row["a"], row["b"]), row["t"]
        if row["e"] == "cut off":
            for way in (pair, pair[::-1]):
                self.cuts.setdefault(way, []).append(t)
        elif row["held"]:
            self.since.setdefault(pair, t)
        elif pair in self.since:
            self.spans.setdefault(pair, []).append((self.since.pop(pair), t))

    def may_have_been_held(self, source: str, to: str, begin: float, end: float) -> bool:
        """Returns whether data sent in this direction between `begin` and `end` may have been held back."""
        spans = [*self.spans.get((source, to), ()), (self.since.get((source, to), math.inf), math.inf)]
        return any(a <= end and begin <= b + AFTER_MS for a, b in spans)

    def may_have_failed(self, a: str, b: str, t: float, after_ms: float) -> bool:
        """Returns whether a connection that seemed open at time `t` may have been broken.

        That is so if within the last `after_ms` either direction was held back or the connection was cut.
        """
        if any(t - after_ms <= at <= t for at in self.cuts.get((a, b), ())):
            return True
        return self.may_have_been_held(a, b, t - after_ms, t) or self.may_have_been_held(b, a, t - after_ms, t)
