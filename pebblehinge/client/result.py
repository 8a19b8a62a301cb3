"""How a request ended, as a client sees it."""

from __future__ import annotations

from dataclasses import dataclass

SUCCEEDED = "honoured"
REJECTED = "pushed back"  # trying again is harmless
FAILED = "terminated"  # nothing is known of the effect
LOST = "lost"  # the connection broke first: nothing is known of the effect
TIMED_OUT = "out of time"  # the client's patience ended with no answer, which no sound gateway lets happen

FINAL_STATUSES = (SUCCEEDED, REJECTED, FAILED)
"""The final answers of a gateway, by their numbers on the wire."""


@dataclass(slots=True, frozen=True)
class Result:
    """How one request ended.

    Attributes:
        status: `SUCCEEDED`, `REJECTED`, `FAILED`, `LOST` or `TIMED_OUT`.
        retry_after_ms: How long to wait before a retry, in milliseconds; 0 is no such wish.
        reason: Why it did not succeed, for people to read.
        slot: The placement slot that served it, or -1.
        data: The bytes read.
        duration_ms: Time from the request to its end, in milliseconds.
    """

    status: str
    retry_after_ms: float = 0.0
    reason: str = ""
    slot: int = -1
    data: bytes = b""
    duration_ms: float = 0.0

    @property
    def succeeded(self) -> bool:
        """Whether the request was done."""
        return self.status == SUCCEEDED
