"""Requests that a gateway makes itself: for rsync clients, and to write back confirmed writes."""

from __future__ import annotations

import asyncio

from pebblehinge.core import FinalStatus
from pebblehinge.gateway.context import GatewayContext
from pebblehinge.gateway.framed_request import FINAL_STATUS_LABELS, FramedRequest


class InternalResult:
    """The final answer to such a request.

    Attributes:
        final: One of `FINAL_STATUS_LABELS`.
        retry_after_ms: The least delay before a retry in milliseconds, 0 for none.
        reason: Why the request did not succeed.
        data: The bytes read.
    """

    __slots__ = ("final", "retry_after_ms", "reason", "data")

    def __init__(self, final: str, retry_after_ms: float, reason: str, data: bytes) -> None:
        self.final = final
        self.retry_after_ms = retry_after_ms
        self.reason = reason
        self.data = data


class InternalClient:
    """A client within the gateway's process.

    Its requests are admitted even during a graceful shutdown, as they belong to transfers or writes that were accepted
    before it.

    Attributes:
        is_internal: Marks the origin of a request as internal, for admission control.
        name: Name of the client in records.
        last_id: Number of its last request.
        result_futures: The futures of the requests without an answer, by number.
    """

    is_internal = True

    def __init__(self, context: GatewayContext, name: str) -> None:
        """Creates a client whose requests appear in records under `name`."""
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
        """Makes one request with the arguments of `GatewayCore.admit`; withdraws it if this call is cancelled."""
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
        """Completes the future of the request with its final answer."""
        future = self.result_futures.pop(pending.id, None)
        if future is not None and not future.done():
            future.set_result(InternalResult(FINAL_STATUS_LABELS[final], retry_after_ms, reason, data))
