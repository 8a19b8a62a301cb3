"""Graceful shutdown: from SIGTERM over the last accepts, reads and answers to the exit. No I/O.

The clock is handed in with each call; the state of the gateway is read, and the steps are carried out, through
`ShutdownEffects`. A shutdown never ends while anything that was taken has no answer: neither in the listen queue, nor
unread or partly read on a connection, nor on its way to a client. Which requests fail, and when, is the scheduler's
decision: it is given the time by which all must be answered.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

# After SIGTERM clients go on using open connections, and the process is killed no earlier than the longest time a
# client waits, of at most 3 s, and 0.7 s on top. Until shortly before that it serves them.
MAX_CLIENT_WAIT_MS = 3000.0
KILL_DELAY_MS = 700.0
CLOSING_LEAD_MS = 250.0  # before the kill, connections without an open request are closed
ANSWER_LEAD_MS = 120.0  # before the kill, all that was taken has its answer
STEP_INTERVAL_MS = 20.0  # between checks of what is left


class Stage(Enum):
    """How far a shutdown has come."""

    SERVING = "serving"
    DRAINING = "draining"  # serving as before, but nothing is queued past the end
    CLOSING = "closing"  # each answer ends its connection, and connections without an open request are closed
    STOPPED = "stopped"


class ShutdownEffects(Protocol):
    """What the gateway does for its shutdown."""

    def set_answer_deadline(self, deadline_ms: float) -> None:
        """Have all requests, present and future, answered by a time of the gateway's clock."""

    def accept_queued_connections(self) -> bool:
        """Accept what waits in the listen queue; return whether anything did."""

    def close_inactive_connections(self, reject_partial: bool) -> None:
        """Close connections with nothing open or unread; if `reject_partial`, those with part of a request too."""

    def count_unanswered_connections(self) -> int:
        """Return the number of connections on which an answer is, or may be, owed."""

    def finish(self) -> None:
        """Stop: nothing is owed any more."""


class Shutdown:
    """State of the shutdown of one gateway. Times are ms of its clock."""

    __slots__ = ("effects", "stage", "kill_ms")

    def __init__(self, effects: ShutdownEffects) -> None:
        self.effects = effects
        self.stage = Stage.SERVING
        self.kill_ms = float("inf")  # the earliest time of a kill

    def begin(self, now: float, lateness_ms: float, longest_wait_ms: float) -> float | None:
        """Begin to drain; a further call changes nothing.

        Args:
            now: The time.
            lateness_ms: How long ago the signal may have arrived.
            longest_wait_ms: The longest time that a client may wait for its answer.

        Returns:
            When to call `step` first, or None if the shutdown had begun before.
        """
        if self.stage is not Stage.SERVING:
            return None
        self.stage = Stage.DRAINING
        self.kill_ms = now - lateness_ms + min(MAX_CLIENT_WAIT_MS, longest_wait_ms) + KILL_DELAY_MS
        self.effects.set_answer_deadline(self.kill_ms - ANSWER_LEAD_MS)
        return self.kill_ms - CLOSING_LEAD_MS

    def step(self, now: float) -> float | None:
        """Go on as far as possible; return when to call this again, or None once stopped."""
        if self.stage is Stage.DRAINING and now >= self.kill_ms - CLOSING_LEAD_MS:
            self.stage = Stage.CLOSING
        if self.stage is Stage.CLOSING:
            accepted = self.effects.accept_queued_connections()
            self.effects.close_inactive_connections(now >= self.kill_ms - ANSWER_LEAD_MS / 2)
            if not accepted and not self.effects.count_unanswered_connections():
                self.stage = Stage.STOPPED
                self.effects.finish()
        return None if self.stage is Stage.STOPPED else now + STEP_INTERVAL_MS
