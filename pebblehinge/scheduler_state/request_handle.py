"""The calls on the handle of a request."""

from __future__ import annotations

from typing import Any, Protocol

from pebblehinge.interface import Attempt, Changes, FinalAnswer, Outcome
from pebblehinge.scheduler_state.change_set import ChangeSet


class RequestOwner(Protocol):
    """Decides what a call on a handle means; `notes` collects what it changed."""

    change_set: ChangeSet

    def on_attempt_end(self, request: Any, now: float, outcome: Outcome, over: bool, took: float, /) -> None:
        """The attempt in flight has its outcome."""

    def on_client_disconnect(self, request: Any, now: float, /) -> None:
        """The client is gone."""


class RequestHandle:
    """A handle: passes its calls to the owner of its request, and keeps what changed until it is drained."""

    def __init__(self, dispatcher: RequestOwner) -> None:
        self.dispatcher = dispatcher
        self.attempts: list[Attempt] = []  # new ones since the last drain, like the two below
        self.cancellations: list[int] = []
        self.answer: FinalAnswer | None = None
        self.attempt_count = 0  # attempts so far
        self.attempt_in_flight = False  # one is in flight

    def on_attempt_end(self, now: float, attempt: int, outcome: Outcome, over: bool, took_ms: float) -> Changes:
        """Takes the outcome of an attempt, counted from 0; one that is no longer in flight is ignored.

        Args:
            now: clock, ms.
            attempt: its number.
            outcome: how it ended.
            over: the client has its answer, nothing more is owed.
            took_ms: from its start to its end.
        """
        if self.attempt_in_flight and attempt == self.attempt_count - 1:
            self.dispatcher.on_attempt_end(self, now, outcome, over, took_ms)
        return self.dispatcher.change_set.finish(now)

    def on_response_start(self, now: float) -> Changes:
        """The answer has begun to stream: nothing is left to decide until its outcome."""
        return self.dispatcher.change_set.finish(now)

    def on_client_disconnect(self, now: float) -> Changes:
        """The client is gone: nothing more is owed."""
        self.dispatcher.on_client_disconnect(self, now)
        return self.dispatcher.change_set.finish(now)

    def drain(self) -> tuple[list[Attempt], list[int], FinalAnswer | None]:
        """Returns what is new since the last call: attempts, numbers of attempts to cancel, the final answer."""
        changed = self.attempts, self.cancellations, self.answer
        self.attempts = []
        self.cancellations = []
        self.answer = None
        return changed
