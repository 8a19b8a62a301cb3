"""The calls on the handle of an access."""

from __future__ import annotations

from typing import Any

from pebblehinge.interface import Answer, Changes, Outcome, Trip


class Calls:
    """A handle: its calls go to the path that its access is on. What the last one changed is in trips, recalls and
    answer."""

    path: Any  # decides what a call means: ended, left, and the notes of what changed
    sent, out = 0, False  # trips so far; whether one is out
    trips: list[Trip]
    recalls: list[int]
    answer: Answer | None

    def ended(self, now: float, trip: int, outcome: Outcome, over: bool, took_ms: float) -> Changes:
        """A trip, counted from 0, has its outcome; one that is not out any longer is ignored."""
        if self.out and trip == self.sent - 1:
            self.path.ended(self, now, outcome, over, took_ms)
        return self.path.notes.finish(now)

    def begun(self, now: float) -> Changes:
        """The answer has begun to stream: it ends by its outcome, and nothing is left to decide."""
        return self.path.notes.finish(now)

    def left(self, now: float) -> Changes:
        """The client is gone: nothing more is owed."""
        self.path.left(self, now)
        return self.path.notes.finish(now)

    def drain(self) -> tuple[list[Trip], list[int], Answer | None]:
        """What changed since the last look: new trips, trips to recall, the final answer."""
        changed = self.trips, self.recalls, self.answer
        self.trips, self.recalls, self.answer = [], [], None
        return changed
