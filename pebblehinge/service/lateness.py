"""How late the event loop runs, which is for how long bytes read now may have been waiting."""

from __future__ import annotations

import asyncio
import math

TICK_S = 0.02  # between measurements
DECAY = 0.8  # what is left of the smoothed lateness at each measurement
DECAY_MS = 0.1  # and less by this
MAX_MS = 100.0  # bound of the smoothed lateness; within its own turn a greater one counts in full
GRID_MS = 1.0  # resolution of the loop's timers


class Lateness:
    """Lateness of a loop, measured by a timer that repeats."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.turn_ms = 0.0  # as measured, until the turn of the measurement is over
        self.smoothed_ms = 0.0
        self.due_s = math.inf  # time of the next measurement by the loop's clock

    def start(self) -> None:
        """Begin measuring."""
        self._tick()

    @property
    def current_ms(self) -> float:
        """For how long what is read now may have been unread.

        The greatest of the last measurement within its turn, the smoothed value, and how overdue the timer itself is.
        """
        return max(self.turn_ms, self.smoothed_ms, self._overdue_ms())

    def _overdue_ms(self) -> float:
        return (self.loop.time() - self.due_s) * 1000.0 - GRID_MS

    def _tick(self) -> None:
        late_ms = self._overdue_ms()
        self.smoothed_ms = min(MAX_MS, max(0.0, late_ms, self.smoothed_ms * DECAY - DECAY_MS))
        self.turn_ms = max(0.0, late_ms)
        self.loop.call_soon(self.loop.call_soon, self._end_turn)  # timers run before a turn's reads: one turn later
        self.due_s = self.loop.time() + TICK_S
        self.loop.call_later(TICK_S, self._tick)

    def _end_turn(self) -> None:
        self.turn_ms = 0.0
