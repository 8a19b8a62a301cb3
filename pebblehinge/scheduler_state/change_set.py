"""What a call to the scheduler changed, and the times at which it wants to be woken."""

from __future__ import annotations

import heapq
import math

from pebblehinge.interface import Changes, Handle


class ChangeSet:
    """Collects the handles that one call changes, each once in the order of its first change; wake-ups outlast calls.

    Args:
        step_ms: the grid of wake-ups, so that one timer serves many; 0 means 1 ms.
    """

    def __init__(self, step_ms: float) -> None:
        self.wake_up_grid_ms = step_ms or 1.0
        self.wake_ups: list[tuple[float, int]] = []  # a heap of (time, subject)
        self.requested_wake_ups: set[tuple[float, int]] = set()  # the same rows, for the look-up
        self.changes = Changes()
        self.changed_seqs: set[int] = set()  # sequence numbers of the handles in changes

    def request_wake_up(self, at_ms: float, subject: int) -> None:
        """Requests a wake-up.

        Args:
            at_ms: when, rounded up to the grid; the same time and subject twice is one wake-up.
            subject: what is to be looked at then: a node's index, or one of the scheduler's numbers under 0.
        """
        wake = (math.ceil(at_ms / self.wake_up_grid_ms) * self.wake_up_grid_ms, subject)
        if wake not in self.requested_wake_ups:
            self.requested_wake_ups.add(wake)
            heapq.heappush(self.wake_ups, wake)

    def pop_due(self, now: float) -> list[int]:
        """Takes out the wake-ups due by now (ms) and returns their subjects, each once, in ascending order."""
        due = set()
        while self.wake_ups and self.wake_ups[0][0] <= now:
            wake = heapq.heappop(self.wake_ups)
            self.requested_wake_ups.discard(wake)
            due.add(wake[1])
        return sorted(due)

    def add_handle(self, handle: Handle) -> None:
        """Notes that a handle has something new to drain."""
        if handle.seq not in self.changed_seqs:
            self.changed_seqs.add(handle.seq)
            self.changes.handles.append(handle)

    def finish(self, now: float) -> Changes:
        """Ends a call and returns what it changed, with the time of the next wake-up (ms, never before now)."""
        changes = self.changes
        self.changes = Changes()
        self.changed_seqs.clear()
        changes.wake_ms = max(now, self.wake_ups[0][0]) if self.wake_ups else None
        return changes
