"""The state machine of a graceful shutdown, from SIGTERM to the exit. It does no I/O.

Each call passes the clock time in milliseconds. `ShutdownEffects` reads the state of the gateway and carries out the
steps. A shutdown never ends while anything that the gateway received has no answer: neither a connection in the listen
queue, nor a request that is unread or partly read, nor an answer that is being written. The scheduler decides which
requests fail and when; it is told the time by which all requests must be answered.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

# After SIGTERM, clients continue to use open connections. The process is killed no earlier than the longest time that a
# client waits, which counts as 3 s at most, plus 0.7 s. The gateway serves requests until shortly before that.
MAX_CLIENT_WAIT_MS = 3000.0
KILL_DELAY_MS = 700.0
CLOSING_LEAD_MS = 250.0  # From this time before the kill, connections without an open request are closed.
ANSWER_LEAD_MS = 120.0  # At this time before the kill, every received request has its answer.
STEP_INTERVAL_MS = 20.0


class Stage(Enum):
    """Stage of a shutdown."""

    SERVING = "serving"
    DRAINING = "draining"  # Requests are served as before, but none stays queued beyond the answer deadline.
    CLOSING = "closing"  # Each answer closes its connection, and connections without an open request are closed.
    STOPPED = "stopped"


class ShutdownEffects(Protocol):
    """The actions and queries by which a shutdown controls the gateway."""

    def set_answer_deadline(self, deadline_ms: float) -> None:
        """Sets the clock time by which all current and future requests must be answered."""

    def accept_queued_connections(self) -> bool:
        """Accepts connections that wait in the listen queue; returns whether there were any."""

    def close_inactive_connections(self, reject_partial: bool) -> None:
        """Closes connections without an open request or unread data; rejects partial requests if `reject_partial`."""

    def count_unanswered_connections(self) -> int:
        """Returns the number of connections that may still owe an answer."""

    def finish(self) -> None:
        """Stops the gateway, which owes no answer any more."""


class Shutdown:
    """The shutdown of one gateway; times are clock times in milliseconds.

    Attributes:
        stage: The current stage.
        kill_ms: The earliest time at which the process may be killed.
    """

    __slots__ = ("effects", "stage", "kill_ms")

    def __init__(self, effects: ShutdownEffects) -> None:
        self.effects = effects
        self.stage = Stage.SERVING
        self.kill_ms = float("inf")

    def begin(self, now: float, lateness_ms: float, longest_wait_ms: float) -> float | None:
        """Begins to drain; a further call changes nothing.

        Args:
            now: The current time.
            lateness_ms: How long ago the signal may have arrived.
            longest_wait_ms: The longest time that a client may wait for its answer.

        Returns:
            The time of the first call of `step`, or None if the shutdown has already begun.
        """
        if self.stage is not Stage.SERVING:
            return None
        self.stage = Stage.DRAINING
        self.kill_ms = now - lateness_ms + min(MAX_CLIENT_WAIT_MS, longest_wait_ms) + KILL_DELAY_MS
        self.effects.set_answer_deadline(self.kill_ms - ANSWER_LEAD_MS)
        return self.kill_ms - CLOSING_LEAD_MS

    def step(self, now: float) -> float | None:
        """Advances the shutdown as far as possible; returns the time of the next call, or None once stopped."""
        if self.stage is Stage.DRAINING and now >= self.kill_ms - CLOSING_LEAD_MS:
            self.stage = Stage.CLOSING
        if self.stage is Stage.CLOSING:
            has_accepted = self.effects.accept_queued_connections()
            self.effects.close_inactive_connections(now >= self.kill_ms - ANSWER_LEAD_MS / 2)
            if not has_accepted and not self.effects.count_unanswered_connections():
                self.stage = Stage.STOPPED
                self.effects.finish()
        return None if self.stage is Stage.STOPPED else now + STEP_INTERVAL_MS
