"""What a call to the decision module changed, and the times at which it wants to be woken."""

from __future__ import annotations

import heapq
import math

from pebblehinge.interface import Changes, Handle


class ChangeSet:
    """Collects what one call changes, each handle once, in the order of its first change; keeps wakes over calls."""

    def __init__(self, step_ms: float) -> None:
        self.step_ms = step_ms or 1.0  # wakes are asked for on this grid, so that one serves many
        self.wakes: list[tuple[float, int]] = []  # a heap of times and of what is to be looked at then
        self.asked: set[tuple[float, int]] = set()  # what stands in wakes
        self.changes, self.marked = Changes(), set()  # marked: the handles' seq

    def wake(self, at: float, what: int) -> None:
        """Asks to be woken at a time (ms) to look at something; the same twice is once."""
        wake = (math.ceil(at / self.step_ms) * self.step_ms, what)
        if wake not in self.asked:
            self.asked.add(wake)
            heapq.heappush(self.wakes, wake)

    def due(self, now: float) -> list[int]:
        """What has come due by now, each once, in order of its number."""
        due = set()
        while self.wakes and self.wakes[0][0] <= now:
            wake = heapq.heappop(self.wakes)
            self.asked.discard(wake)
            due.add(wake[1])
        return sorted(due)

    def changed(self, handle: Handle) -> None:
        if handle.seq not in self.marked:
            self.marked.add(handle.seq)
            self.changes.handles.append(handle)

    def finish(self, now: float) -> Changes:
        """Ends a call: what it changed, and when the next wake is (ms, never before now)."""
        changes, self.changes = self.changes, Changes()
        self.marked.clear()
        changes.wake_ms = max(now, self.wakes[0][0]) if self.wakes else None
        return changes
