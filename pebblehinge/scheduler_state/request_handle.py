"""The calls on the handle of a request."""

from __future__ import annotations

from typing import Any, Protocol

from pebblehinge.interface import Attempt, Changes, FinalAnswer, Outcome
from pebblehinge.scheduler_state.change_set import ChangeSet


class RequestOwner(Protocol):
    """Handles the calls on the handles of its requests; `change_set` collects what they changed."""

    change_set: ChangeSet

    def on_attempt_end(self, request: Any, now: float, outcome: Outcome, answered: bool, took_ms: float, /) -> None:
        """Handles the outcome of the attempt in flight."""

    def on_client_disconnect(self, request: Any, now: float, /) -> None:
        """Handles the loss of the client."""


class RequestHandle:
    """Passes its calls to the owner of its request, and keeps what changed until it is drained.

    Attributes:
        dispatcher: The owner of the request.
        attempts: New attempts since the last drain.
        cancellations: Numbers of the attempts to cancel, new since the last drain.
        answer: The final answer, if it is new since the last drain.
        attempt_count: Number of attempts so far.
        attempt_in_flight: Whether the last of them is in flight.
    """

    def __init__(self, dispatcher: RequestOwner) -> None:
        self.dispatcher = dispatcher
        self.attempts: list[Attempt] = []
        self.cancellations: list[int] = []
        self.answer: FinalAnswer | None = None
        self.attempt_count = 0
        self.attempt_in_flight = False

    def on_attempt_end(self, now: float, attempt: int, outcome: Outcome, answered: bool, took_ms: float) -> Changes:
        """Reports the outcome of an attempt. An attempt that is no longer in flight is ignored.

        Args:
            now: Current time in milliseconds.
            attempt: Number of the attempt, counted from 0.
            outcome: How it ended.
            answered: Whether the client needs no further answer.
            took_ms: Time from its start to its end.
        """
        if self.attempt_in_flight and attempt == self.attempt_count - 1:
            self.dispatcher.on_attempt_end(self, now, outcome, answered, took_ms)
        return self.dispatcher.change_set.finish(now)

    def on_response_start(self, now: float) -> Changes:
        """Reports that the response has started to stream. Nothing is decided before the attempt's outcome."""
        return self.dispatcher.change_set.finish(now)

    def on_client_disconnect(self, now: float) -> Changes:
        """Reports that the client has disconnected, so that it needs no answer."""
        self.dispatcher.on_client_disconnect(self, now)
        return self.dispatcher.change_set.finish(now)

    def drain(self) -> tuple[list[Attempt], list[int], FinalAnswer | None]:
        """Returns what is new since the last call: attempts, numbers of attempts to cancel, the final answer."""
        changes = self.attempts, self.cancellations, self.answer
        self.attempts = []
        self.cancellations = []
        self.answer = None
        return changes
