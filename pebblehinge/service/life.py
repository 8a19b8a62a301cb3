"""The one end of a life: from SIGTERM over the last accepts, reads and answers to the exit, without I/O.

The clock is handed in with each call; what the head holds is asked of `Held`, and what is to be done is done there.
A life never ends while something that was taken has no answer: neither in the listen queue, nor on a connection that
has not been read, nor half read, nor on its way to a client. Whom to give up, and when, is the module's to say: it is
told by when all must have its answer.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

# After SIGTERM clients go on using the connections they have while those stay open, and the process is killed no
# earlier than the longest patience, of at most 3 s, and 0.7 s on top. Until shortly before that it serves them.
MOST_PATIENCE_MS, KILL_MS = 3000.0, 700.0
CLOSING_MS = 250.0  # before the kill, connections with nothing open are closed
ANSWERED_MS = 120.0  # before the kill, all that was taken has its answer
STEP_MS = 20.0  # between looks at what is left


class Stage(Enum):
    SERVING = "serving"
    LEAVING = "leaving"  # as before, but nothing is held past the end
    CLOSING = "closing"  # each answer ends its connection, and what has nothing open is closed
    OVER = "over"


class Held(Protocol):
    """What the head does for the end of its life."""

    def answer_by(self, end_ms: float) -> None: ...  # all that is and will be taken
    def take_in(self) -> bool: ...  # what waits in the listen queue; whether anything did
    def close_quiet(self, last: bool) -> None: ...  # what has nothing open and nothing unread; last: half read too
    def unanswered(self) -> int: ...  # connections on which something is, or may be, owed
    def over(self) -> None: ...


class Life:
    """Where a head's life stands. Times are ms of the head's clock."""

    __slots__ = ("held", "stage", "kill_ms")

    def __init__(self, held: Held) -> None:
        self.held = held
        self.stage = Stage.SERVING
        self.kill_ms = float("inf")  # no kill comes earlier

    def leave(self, now: float, late_ms: float, longest_ms: float) -> float | None:
        """SIGTERM, seen `late_ms` after it came, under a longest patience; returns when to step. A second one
        changes nothing."""
        if self.stage is not Stage.SERVING:
            return None
        self.stage = Stage.LEAVING
        self.kill_ms = now - late_ms + min(MOST_PATIENCE_MS, longest_ms) + KILL_MS
        self.held.answer_by(self.kill_ms - ANSWERED_MS)
        return self.kill_ms - CLOSING_MS

    def step(self, now: float) -> float | None:
        """Goes on as far as it may; returns when to step again, or None once the life is over."""
        if self.stage is Stage.LEAVING and now >= self.kill_ms - CLOSING_MS:
            self.stage = Stage.CLOSING
        if self.stage is Stage.CLOSING:
            came = self.held.take_in()
            self.held.close_quiet(now >= self.kill_ms - ANSWERED_MS / 2)
            if not came and not self.held.unanswered():
                self.stage = Stage.OVER
                self.held.over()
        return None if self.stage is Stage.OVER else now + STEP_MS
