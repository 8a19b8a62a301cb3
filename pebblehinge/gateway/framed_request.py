"""A client's request as the framed protocol brings it."""

from __future__ import annotations

from typing import Any, Protocol

from pebblehinge.core import FinalStatus, PendingRequest

FINAL_STATUS_LABELS = ("honoured", "pushed back", "terminated")
"""What records, logs and the rsync sessions call the final answers, by their numbers on the wire."""


class RequestOrigin(Protocol):
    """Where a request came from, and its final answer goes to."""

    def deliver_answer(
        self, pending: FramedRequest, final: FinalStatus, retry_after_ms: float, reason: str, data: bytes
    ) -> None:
        """Takes the final answer."""


class FramedRequest(PendingRequest):
    """One request, with what its attempts and its records need.

    Attributes:
        origin: The request's `RequestOrigin`.
        id: The request's number, unique among the open ones of its origin.
        trace: Names the request in all logs.
        extent: The extent's name within the volume.
        slot: The placement slot, or -1 for a new extent.
        label: The idempotency key.
        op: The operation, one of those of `pebblehinge.wire.frames`.
        offset: Where to read or write in the extent, in bytes.
        length: How many bytes.
        plan: The quota plan in force for the volume.
        profile: The request class, as the settings name it.
        again: Whether the client says that it is a retry.
    """

    __slots__ = (
        "trace_id",
        "extent",
        "slot",
        "idempotency_key",
        "op",
        "offset",
        "length",
        "quota_plan",
        "request_class",
        "is_retry",
    )

    origin: Any
    id: int
    trace_id: str
    extent: str
    slot: int
    idempotency_key: str
    op: int
    offset: int
    length: int
    quota_plan: str
    request_class: str
    is_retry: bool
