"""How late the event loop runs, which is for how long bytes read now may have been waiting."""

from __future__ import annotations

import asyncio
import math

MEASUREMENT_INTERVAL_S = 0.02  # between measurements
DECAY_FACTOR = 0.8  # what is left of the smoothed lateness at each measurement
DECAY_STEP_MS = 0.1  # and less by this
MAX_SMOOTHED_MS = 100.0  # bound of the smoothed lateness; within its own turn a greater one counts in full
TIMER_RESOLUTION_MS = 1.0  # resolution of the loop's timers


class Lateness:
    """Lateness of a loop, measured by a timer that repeats."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.measured_ms = 0.0  # as measured, until the turn of the measurement is over
        self.smoothed_ms = 0.0
        self.next_measurement_s = math.inf  # time of the next measurement by the loop's clock

    def start(self) -> None:
        """Begin measuring."""
        self._measure()

    @property
    def current_ms(self) -> float:
        """For how long what is read now may have been unread.

        The greatest of the last measurement within its turn, the smoothed value, and how overdue the timer itself is.
        """
        return max(self.measured_ms, self.smoothed_ms, self._overdue_ms())

    def _overdue_ms(self) -> float:
        return (self.loop.time() - self.next_measurement_s) * 1000.0 - TIMER_RESOLUTION_MS

    def _measure(self) -> None:
        overdue_ms = self._overdue_ms()
        self.smoothed_ms = min(MAX_SMOOTHED_MS, max(0.0, overdue_ms, self.smoothed_ms * DECAY_FACTOR - DECAY_STEP_MS))
        self.measured_ms = max(0.0, overdue_ms)
        self.loop.call_soon(
            self.loop.call_soon, self._reset_measured
        )  # timers run before a turn's reads: one turn later
        self.next_measurement_s = self.loop.time() + MEASUREMENT_INTERVAL_S
        self.loop.call_later(MEASUREMENT_INTERVAL_S, self._measure)

    def _reset_measured(self) -> None:
        self.measured_ms = 0.0
