"""What a call to the scheduler changed, and the times at which the scheduler wants to be woken."""

from __future__ import annotations

import heapq
import math

from pebblehinge.interface import Changes, Handle


class ChangeSet:
    """Collects the handles that one call changes, each once, in order of their first change. Wake-ups outlast calls.

    Args:
        wake_up_grid_ms: Wake-ups are rounded up to multiples of this, so that one timer serves many; 0 means 1 ms.
    """

    def __init__(self, wake_up_grid_ms: float) -> None:
        self.wake_up_grid_ms = wake_up_grid_ms or 1.0
        self.wake_ups: list[tuple[float, int]] = []  # heap of (time, subject)
        self.requested_wake_ups: set[tuple[float, int]] = set()  # the same rows, for look-ups
        self.changes = Changes()
        self.changed_seqs: set[int] = set()  # sequence numbers of the handles in changes

    def request_wake_up(self, at_ms: float, subject: int) -> None:
        """Requests a wake-up. Requests for the same time and subject give one wake-up.

        Args:
            at_ms: When to be woken, rounded up to the grid.
            subject: What to look at then: the index of a node, or one of the scheduler's negative numbers.
        """
        wake_up = (math.ceil(at_ms / self.wake_up_grid_ms) * self.wake_up_grid_ms, subject)
        if wake_up not in self.requested_wake_ups:
            self.requested_wake_ups.add(wake_up)
            heapq.heappush(self.wake_ups, wake_up)

    def pop_due(self, now: float) -> list[int]:
        """Removes the wake-ups due by now (ms) and returns their subjects, each once, in ascending order."""
        subjects = set()
        while self.wake_ups and self.wake_ups[0][0] <= now:
            wake_up = heapq.heappop(self.wake_ups)
            self.requested_wake_ups.discard(wake_up)
            subjects.add(wake_up[1])
        return sorted(subjects)

    def add_handle(self, handle: Handle) -> None:
        """Records that a handle has changes to drain."""
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
