"""The reasons for which the gateway closes connections and refuses requests, as they are counted in its log."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum


class ClientCloseReason(StrEnum):
    """Why a client's connection ended; one that does not confirm its close counts once more."""

    CLIENT_LEFT = "client-left"  # The client closed or reset its connection.
    CLIENT_ASKED = "client-asked-to-close"
    PROTOCOL_ERROR = "protocol-error"
    REQUEST_TIMEOUT = "request-incomplete-in-time"
    SILENT = "no-request-in-time"
    IDLE = "idle-for-long"
    TOO_MANY_IDLE = "too-many-idle"
    SHUTDOWN = "shutdown"
    MEMORY = "memory"  # Its incomplete request was refused to free memory.
    MEMORY_UNREAD = "memory-answer-unread"  # It was aborted with an answer that the client did not read.
    DESCRIPTORS = "descriptors"  # It was ended to make room for another connection.
    ANSWER_UNREAD = "answer-unread-for-long"
    CLOSE_TIMEOUT = "close-unconfirmed-for-long"


class NodeCloseReason(StrEnum):
    """Why a connection to a storage node ended."""

    NODE_CLOSED = "node-closed"
    ANSWER_INVALID = "answer-invalid"
    ANSWER_LAST = "answer-last"  # The node's answer allows no other request on the connection.
    UNSOLICITED_BYTES = "unsolicited-bytes"
    ATTEMPT_TIMEOUT = "attempt-timed-out"
    ATTEMPT_CANCELLED = "attempt-cancelled"
    IDLE = "idle-for-long"
    NODE_UNLISTED = "node-unlisted"  # It left the node list, drains or has another address.
    DESCRIPTORS = "descriptors"
    SHUTDOWN = "shutdown"


class RefusalReason(StrEnum):
    """Why the frontend refused a request that the scheduler has not seen."""

    TOO_MANY_OPEN = "too-many-open"
    MEMORY = "memory"
    DESCRIPTORS = "descriptors"
    TOO_MANY_IDS = "too-many-ids"  # No room to remember the id of another request that must not run twice.


class ReasonCounts:
    """Counts of events by their reason, for the log.

    Attributes:
        label: The first part of each counter's name.
    """

    __slots__ = ("label", "counter")

    def __init__(self, label: str) -> None:
        self.label = label
        self.counter: Counter[StrEnum] = Counter()

    def add(self, reason: StrEnum) -> None:
        """Counts one event."""
        self.counter[reason] += 1

    def by_label(self) -> dict[str, int]:
        """Returns the counts by their names in the log."""
        return {f"{self.label}-{reason.value}": count for reason, count in self.counter.items()}
