"""Measures the lateness of the event loop: how long bytes that are read now may have been waiting in the socket."""

from __future__ import annotations

import asyncio
import math

MEASUREMENT_INTERVAL_S = 0.02
# At each measurement the smoothed lateness is multiplied by DECAY_FACTOR and then reduced by DECAY_STEP_MS.
DECAY_FACTOR = 0.8
DECAY_STEP_MS = 0.1
MAX_SMOOTHED_MS = 100.0  # Within its own loop iteration a greater measured lateness counts in full.
TIMER_RESOLUTION_MS = 1.0


class Lateness:
    """The lateness of an event loop, measured by a periodic timer.

    Attributes:
        measured_ms: The last measured lateness, 0 once the loop iteration of that measurement is over.
        smoothed_ms: The smoothed lateness.
        longest_turn_ms: The longest time by which a measurement was late since the last summary. The turn of the event
            loop that delayed it took up to MEASUREMENT_INTERVAL_S longer.
        next_measurement_s: Time of the next measurement by the loop's clock.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.measured_ms = 0.0
        self.smoothed_ms = 0.0
        self.longest_turn_ms = 0.0
        self.next_measurement_s = math.inf

    def start(self) -> None:
        """Starts the periodic measurement."""
        self._measure()

    @property
    def current_ms(self) -> float:
        """How long bytes that are read now may have been unread, in milliseconds.

        This is the maximum of the measured lateness, the smoothed lateness, and the delay of the overdue timer.
        """
        return max(self.measured_ms, self.smoothed_ms, self._overdue_ms())

    def take_longest_turn_ms(self) -> float:
        """Returns the longest turn of the event loop since the last call, in milliseconds."""
        longest_turn_ms = self.longest_turn_ms
        self.longest_turn_ms = 0.0
        return longest_turn_ms

    def _overdue_ms(self) -> float:
        return (self.loop.time() - self.next_measurement_s) * 1000.0 - TIMER_RESOLUTION_MS

    def _measure(self) -> None:
        overdue_ms = self._overdue_ms()
        self.smoothed_ms = min(MAX_SMOOTHED_MS, max(0.0, overdue_ms, self.smoothed_ms * DECAY_FACTOR - DECAY_STEP_MS))
        self.measured_ms = max(0.0, overdue_ms)
        self.longest_turn_ms = max(self.longest_turn_ms, overdue_ms)
        # The loop runs timers before the reads of the same iteration, so the reset waits for the next iteration.
        self.loop.call_soon(self.loop.call_soon, self._reset_measured)
        self.next_measurement_s = self.loop.time() + MEASUREMENT_INTERVAL_S
        self.loop.call_later(MEASUREMENT_INTERVAL_S, self._measure)

    def _reset_measured(self) -> None:
        self.measured_ms = 0.0
