"""A request of the framed protocol."""

from __future__ import annotations

from typing import Any, Protocol

from pebblehinge.core import FinalStatus, PendingRequest

FINAL_STATUS_LABELS = ("honoured", "pushed back", "terminated")
"""The names of the final answers in records, logs and rsync sessions, by their numbers on the wire."""


class RequestOrigin(Protocol):
    """The sender of a request, which receives its final answer."""

    def deliver_answer(
        self, pending: FramedRequest, final: FinalStatus, retry_after_ms: float, reason: str, data: bytes
    ) -> None:
        """Delivers the final answer."""


class FramedRequest(PendingRequest):
    """One request, with the data that its attempts and its records need.

    Attributes:
        origin: The `RequestOrigin` of the request.
        id: Number of the request, unique among the open ones of its origin.
        trace_id: Identifies the request in logs and records.
        extent: Name of the extent within the volume.
        slot: Slot of placement, -1 for a new extent.
        idempotency_key: The idempotency key.
        op: The operation, one of those of `pebblehinge.wire.frames`.
        offset: Start of the range within the extent, in bytes.
        length: Length of the range, in bytes.
        quota_plan: Name of the quota plan in force for the volume.
        request_class: Name of the request class in the settings.
        is_retry: Whether the client marked the request as a retry.
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
