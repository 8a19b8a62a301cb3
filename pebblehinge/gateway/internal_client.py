"""Requests that a gateway makes itself: for rsync clients, and to commit confirmed writes to their storage nodes."""

from __future__ import annotations

import asyncio

from pebblehinge.core import FinalStatus
from pebblehinge.gateway.context import GatewayContext
from pebblehinge.gateway.framed_request import FINAL_STATUS_LABELS, FramedRequest


class InternalResult:
    """How such a request ended.

    Attributes:
        final: One of `FINAL_WORDS`.
        stay_ms: How long to wait before a retry, in milliseconds; 0 is no such wish.
        reason: Why it did not succeed.
        data: The bytes read.
    """

    __slots__ = ("final", "retry_after_ms", "reason", "data")

    def __init__(self, final: str, retry_after_ms: float, reason: str, data: bytes) -> None:
        self.final = final
        self.retry_after_ms = retry_after_ms
        self.reason = reason
        self.data = data


class InternalClient:
    """One more client to the request table.

    Its requests are admitted during a graceful shutdown as well: what they belong to was admitted before.

    Attributes:
        ids: The number of its last request.
        waiting: The requests without a result, by their numbers.
    """

    is_internal = True

    def __init__(self, context: GatewayContext, name: str) -> None:
        """Makes requests as `name`, which the records show."""
        self.context = context
        self.name = name
        self.last_id = 0
        self.result_futures: dict[int, asyncio.Future[InternalResult]] = {}

    async def request(
        self,
        volume: str,
        *,
        op: int,
        extent: str,
        slot: int,
        request_class: str,
        units: float,
        time_limit_ms: float,
        trace_id: str,
        is_retry: bool,
        offset: int,
        length: int,
        data: bytes,
        idempotency_key: str | None,
    ) -> InternalResult:
        """Makes one request; its arguments are those of `GatewayCore.take`. Cancelled, it is withdrawn."""
        context = self.context
        future: asyncio.Future[InternalResult] = context.loop.create_future()
        self.last_id += 1
        id_ = self.last_id
        self.result_futures[id_] = future
        now = context.now = context.clock()
        context.record_event(now, "take", id=trace_id, client=self.name)
        pending = context.core.admit(
            now,
            self,
            id_,
            trace_id,
            volume,
            None,
            request_class,
            extent,
            slot,
            units,
            time_limit_ms,
            is_retry,
            idempotency_key,
            op,
            offset,
            length,
            data,
        )
        try:
            return await future
        except asyncio.CancelledError:
            self.result_futures.pop(id_, None)
            if pending is not None and not pending.answered:
                context.now = context.clock()
                context.core.on_client_disconnect(context.now, pending)
            raise

    def deliver_answer(
        self, pending: FramedRequest, final: FinalStatus, retry_after_ms: float, reason: str, data: bytes
    ) -> None:
        """Takes the final answer to a request."""
        future = self.result_futures.pop(pending.id, None)
        if future is not None and not future.done():
            future.set_result(InternalResult(FINAL_STATUS_LABELS[final], retry_after_ms, reason, data))
