"""The calls on the handle of a request."""

from __future__ import annotations

from typing import Any, Protocol

from pebblehinge.interface import Answer, Attempt, Changes, Outcome
from pebblehinge.scheduler_state.change_set import ChangeSet


class RequestOwner(Protocol):
    """Decides what a call on a handle means; `notes` collects what it changed."""

    notes: ChangeSet

    def ended(self, request: Any, now: float, outcome: Outcome, over: bool, took: float, /) -> None:
        """The attempt in flight has its outcome."""

    def left(self, request: Any, now: float, /) -> None:
        """The client is gone."""


class RequestHandle:
    """A handle: passes its calls to the owner of its request, and keeps what changed until it is drained."""

    def __init__(self, dispatcher: RequestOwner) -> None:
        self.dispatcher = dispatcher
        self.attempts: list[Attempt] = []  # new ones since the last drain, like the two below
        self.cancellations: list[int] = []
        self.answer: Answer | None = None
        self.sent = 0  # attempts so far
        self.out = False  # one is in flight

    def ended(self, now: float, attempt: int, outcome: Outcome, over: bool, took_ms: float) -> Changes:
        """Takes the outcome of an attempt, counted from 0; one that is no longer in flight is ignored.

        Args:
            now: clock, ms.
            attempt: its number.
            outcome: how it ended.
            over: the client has its answer, nothing more is owed.
            took_ms: from its start to its end.
        """
        if self.out and attempt == self.sent - 1:
            self.dispatcher.ended(self, now, outcome, over, took_ms)
        return self.dispatcher.notes.finish(now)

    def begun(self, now: float) -> Changes:
        """The answer has begun to stream: nothing is left to decide until its outcome."""
        return self.dispatcher.notes.finish(now)

    def left(self, now: float) -> Changes:
        """The client is gone: nothing more is owed."""
        self.dispatcher.left(self, now)
        return self.dispatcher.notes.finish(now)

    def drain(self) -> tuple[list[Attempt], list[int], Answer | None]:
        """Returns what is new since the last call: attempts, numbers of attempts to cancel, the final answer."""
        changed = self.attempts, self.cancellations, self.answer
        self.attempts = []
        self.cancellations = []
        self.answer = None
        return changed
