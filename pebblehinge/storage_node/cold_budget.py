"""Limit on the work that arrives at a machine during its warm-up; more than that crashes the machine."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class Arrival(NamedTuple):
    """Work that arrived at the machine, and its time of arrival, both in milliseconds."""

    time_ms: float
    work_ms: float


class ColdBudget:
    """The work that arrived within a sliding window, compared with a limit.

    Args:
        window_ms: Length of the window, in milliseconds.

    Attributes:
        peak_load: Highest ratio of work to limit so far; above 1 if the limit was exceeded.
    """

    def __init__(self, window_ms: float) -> None:
        self.window_ms = window_ms
        self.peak_load = 0.0
        self._arrivals: deque[Arrival] = deque()
        self._window_work_ms = 0.0

    def clear(self) -> None:
        """Removes all arrivals; the peak stays."""
        self._arrivals.clear()
        self._window_work_ms = 0.0

    def add(self, now_ms: float, work_ms: float, limit_ms: float) -> bool:
        """Adds an arrival, and returns whether the work within the window now exceeds the limit."""
        self._arrivals.append(Arrival(now_ms, work_ms))
        self._window_work_ms += work_ms
        while self._arrivals and self._arrivals[0].time_ms <= now_ms - self.window_ms:
            self._window_work_ms -= self._arrivals.popleft().work_ms
        self.peak_load = max(self.peak_load, self._window_work_ms / limit_ms)
        return self._window_work_ms > limit_ms
