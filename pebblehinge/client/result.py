"""Result of a request, as a client sees it."""

from __future__ import annotations

from dataclasses import dataclass

SUCCEEDED = "honoured"
REJECTED = "pushed back"  # a retry is safe
FAILED = "terminated"  # whether it took effect is unknown
LOST = "lost"  # the connection broke before the answer: whether it took effect is unknown
TIMED_OUT = "out of time"  # no answer within the timeout, although a correct gateway always answers by then

FINAL_STATUSES = (SUCCEEDED, REJECTED, FAILED)
"""Statuses of a gateway's final answers; the index of each is its number on the wire."""


@dataclass(slots=True, frozen=True)
class Result:
    """Result of one request.

    Attributes:
        final: `SUCCEEDED`, `REJECTED`, `FAILED`, `LOST` or `TIMED_OUT`.
        stay_ms: How long to wait at least before a retry, in milliseconds; 0 if the gateway asks for no delay.
        reason: Why the request did not succeed, as a text for people.
        slot: The placement slot that served the request, or -1.
        data: The bytes that were read.
        took_ms: Time from sending the request to its end, in milliseconds.
    """

    final: str
    stay_ms: float = 0.0
    reason: str = ""
    slot: int = -1
    data: bytes = b""
    took_ms: float = 0.0

    @property
    def succeeded(self) -> bool:
        """Whether the request was executed."""
        return self.final == SUCCEEDED
