"""How requests end: the final answers with their numbers on the wire, and the counters of a gateway."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from pebblehinge.interface import FinalAnswerKind


class FinalStatus(IntEnum):
    """The final answer to a request; the value is its number on the wire and in captures."""

    SUCCEEDED = 0
    REJECTED = 1
    FAILED = 2


# The final answers that the scheduler gives. SUCCEEDED is not among them: the request table gives it, on the outcome of
# an attempt.
STATUS_OF_FINAL = {FinalAnswerKind.REJECTED: FinalStatus.REJECTED, FinalAnswerKind.FAILED: FinalStatus.FAILED}


@dataclass(slots=True)
class RequestCounts:
    """Requests since the start, each counted in `received` and, once it is over, in one of the others.

    Attributes:
        received: Requests that a client sent.
        succeeded: Answered with SUCCEEDED.
        rejected: Answered with REJECTED by the scheduler.
        failed: Answered with FAILED.
        client_gone: Not answered, as the client left or cancelled the request.
        not_admitted: Answered with REJECTED by the front, and never given to the scheduler.
    """

    received: int = 0
    succeeded: int = 0
    rejected: int = 0
    failed: int = 0
    client_gone: int = 0
    not_admitted: int = 0

    def count_final(self, status: FinalStatus) -> None:
        """Counts one request that got a final answer."""
        if status is FinalStatus.SUCCEEDED:
            self.succeeded += 1
        elif status is FinalStatus.REJECTED:
            self.rejected += 1
        else:
            self.failed += 1

    def by_word(self) -> dict[str, int]:
        """The counters by their words in metrics, the console's JSON and logs.

        Returns:
            A new dict, in the order in which the counters are shown.
        """
        return {word: getattr(self, counter) for counter, word in COUNTER_WORDS.items()}


# The term in the code: the word in metrics (with "_" for a space), in the console's JSON and in logs.
COUNTER_WORDS = {
    "received": "taken",
    "succeeded": "honoured",
    "rejected": "pushed back",
    "failed": "terminated",
    "client_gone": "left",
    "not_admitted": "refused",
}
