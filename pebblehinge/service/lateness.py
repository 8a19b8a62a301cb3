"""How late the loop runs: what is read now may have lain unread for as long."""

from __future__ import annotations

import asyncio
import math

TICK_S = 0.02  # between measures
KEPT = 0.8  # of the last lateness, at each measure
MOST_MS = 100.0  # more than this is no longer taken off a client's time once its turn is over


class Lateness:
    """Measured by a timer; while that is timed out itself, by so much."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.turn_ms = self.usual_ms = 0.0
        self.due = math.inf  # on the loop's clock, when it is measured next

    def start(self) -> None:
        self._tick()

    @property
    def now_ms(self) -> float:
        """How long what is read now may have lain unread: as long as the measure itself is timed out, and as it was
        when it was last made, in the turn that it was made in."""
        return max(self.turn_ms, self.usual_ms, (self.loop.time() - self.due) * 1000.0 - 1.0)

    def _tick(self) -> None:
        late = (self.loop.time() - self.due) * 1000.0 - 1.0  # the loop's own grid
        self.usual_ms = min(MOST_MS, max(0.0, late, self.usual_ms * KEPT - 0.1))
        self.turn_ms = max(0.0, late)
        self.loop.call_soon(self.loop.call_soon, self._turned)  # a timer goes before the turn's reads: one turn later
        self.due = self.loop.time() + TICK_S
        self.loop.call_later(TICK_S, self._tick)

    def _turned(self) -> None:
        self.turn_ms = 0.0
