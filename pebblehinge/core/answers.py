"""The final answers to requests with their numbers on the wire, and the request counters of a gateway."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from pebblehinge.interface import FinalAnswerKind


class FinalStatus(IntEnum):
    """A final answer to a request; its value is the number used on the wire and in captures."""

    SUCCEEDED = 0
    REJECTED = 1
    FAILED = 2


# The final answers that the scheduler gives. SUCCEEDED is not among them: the request table gives that answer when an
# attempt succeeds.
STATUS_OF_FINAL = {FinalAnswerKind.REJECTED: FinalStatus.REJECTED, FinalAnswerKind.FAILED: FinalStatus.FAILED}


@dataclass(slots=True)
class RequestCounts:
    """Counts of requests since the start. Each one counts in `received` and, once it has ended, in one other field.

    Attributes:
        received: Requests that clients sent.
        succeeded: Requests answered with SUCCEEDED.
        rejected: Requests answered with REJECTED by the scheduler.
        failed: Requests answered with FAILED.
        client_gone: Requests without an answer, as the client disconnected or cancelled the request.
        not_admitted: Requests answered with REJECTED by the frontend, and never given to the scheduler.
    """

    received: int = 0
    succeeded: int = 0
    rejected: int = 0
    failed: int = 0
    client_gone: int = 0
    not_admitted: int = 0

    def count_final(self, status: FinalStatus) -> None:
        """Counts one request that was given this final answer."""
        if status is FinalStatus.SUCCEEDED:
            self.succeeded += 1
        elif status is FinalStatus.REJECTED:
            self.rejected += 1
        else:
            self.failed += 1

    def by_label(self) -> dict[str, int]:
        """Returns the counters by their labels in metrics, the console's JSON and logs.

        Returns:
            A new dict, in the order in which the counters are displayed.
        """
        return {label: getattr(self, counter) for counter, label in COUNTER_LABELS.items()}


# Maps each field of RequestCounts to its label in metrics (with "_" for a space), in the console's JSON and in logs.
COUNTER_LABELS = {
    "received": "taken",
    "succeeded": "honoured",
    "rejected": "pushed back",
    "failed": "terminated",
    "client_gone": "left",
    "not_admitted": "refused",
}
