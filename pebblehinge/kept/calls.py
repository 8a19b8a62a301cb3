"""The calls on the handle of an access."""

from __future__ import annotations

from typing import Any

from pebblehinge.interface import Answer, Attempt, Changes, Outcome


class Calls:
    """A handle: its calls go to the path that its access is on. What the last one changed is in attempts, cancellations
    and answer."""

    path: Any  # decides what a call means: ended, left, and the notes of what changed
    sent, out = 0, False  # attempts so far; whether one is out
    attempts: list[Attempt]
    cancellations: list[int]
    answer: Answer | None

    def ended(self, now: float, attempt: int, outcome: Outcome, over: bool, took_ms: float) -> Changes:
        """An attempt, counted from 0, has its outcome; one that is not out any longer is ignored."""
        if self.out and attempt == self.sent - 1:
            self.path.ended(self, now, outcome, over, took_ms)
        return self.path.notes.finish(now)

    def begun(self, now: float) -> Changes:
        """The answer has begun to stream: it ends by its outcome, and nothing is left to decide."""
        return self.path.notes.finish(now)

    def left(self, now: float) -> Changes:
        """The client is gone: nothing more is owed."""
        self.path.left(self, now)
        return self.path.notes.finish(now)

    def drain(self) -> tuple[list[Attempt], list[int], Answer | None]:
        """What changed since the last look: new attempts, attempts to cancel, the final answer."""
        changed = self.attempts, self.cancellations, self.answer
        self.attempts, self.cancellations, self.answer = [], [], None
        return changed
