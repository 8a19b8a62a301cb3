"""The gateway's end of a client connection on the framed protocol."""

from __future__ import annotations

import asyncio
from typing import Any

from pebblehinge.core import FinalStatus
from pebblehinge.gateway.context import GatewayContext
from pebblehinge.gateway.framed_request import FramedRequest
from pebblehinge.net import Peer
from pebblehinge.store.records import Write
from pebblehinge.wire import Kind, Session, WireError
from pebblehinge.wire.frames import READ

STOPPING_PING_TOKEN = 1
"""The token of the PING that follows STOPPING; the token of keepalive PINGs is 0."""

MAX_TRACE_ID_CHARS, MAX_EXTENT_CHARS = 200, 500


class ClientConnection(Peer):
    """A client connection and its open requests.

    Attributes:
        open_requests: The open requests by the client's ids; None for a request that is not in the request table.
        shutdown_acknowledged: Whether the client has answered the PING after STOPPING, so that every request that it
            sent before has been received.
    """

    ACCEPTED_KINDS = frozenset({Kind.TAKE, Kind.CANCEL})

    def __init__(self, context: GatewayContext) -> None:
        limits = context.config.limits
        session = Session("head", context.name, limits.frame, limits.streams, dialed=False)
        super().__init__(context.loop, session, limits.stall, limits.keepalive)
        self.context = context
        self.open_requests: dict[int, FramedRequest | None] = {}
        self.shutdown_acknowledged = False
        # For each read of a buffered volume that is in progress, the dirty writes that its result must include.
        self._dirty_writes: dict[int, tuple[Write, ...]] = {}

    # ---- connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection, or fails it if the gateway has too many."""
        super().connection_made(transport)
        self.context.client_connections[self] = None
        limit = self.context.config.limits.connections
        if len(self.context.client_connections) > limit:
            self.fail(f"{limit} connections are open here already")

    def on_batch_start(self) -> None:
        """Reads the clock once for all requests that were received together."""
        self.context.now = self.context.clock()

    def on_ready(self) -> None:
        """Sends STOPPING to a client that connected during a graceful shutdown."""
        if self.context.core.stopping:
            self.send_stopping()

    def on_disconnect(self, exc: Exception | None) -> None:
        """Unregisters the connection and withdraws its open requests."""
        self.context.on_connection_closed(self)

    def fail(self, reason: str) -> None:
        """Sends one ERROR frame with the reason, then closes the connection, and counts this in the metrics."""
        if not self.failed:
            self.context.log.warning("client connection failed", peer=self.session.peer_name, reason=reason)
            self.context.failed_connection_count += 1
        super().fail(reason)

    # ---- graceful shutdown

    def send_stopping(self) -> None:
        """Sends STOPPING and a PING to the client.

        Requests that the client sent before it received STOPPING may still be in transit, and closing now would lose
        them. The client sends no request after STOPPING, so its answer to the PING follows the last of them.
        """
        self.send(Kind.STOPPING, "this head is stopping")
        self.send(Kind.PING, STOPPING_PING_TOKEN)

    def on_pong(self, token: int) -> None:
        """Marks the shutdown as acknowledged if this answers the PING after STOPPING."""
        if token == STOPPING_PING_TOKEN and self.context.core.stopping:
            self.shutdown_acknowledged = True
            self.context.stop_if_done()

    # ---- requests

    def on_take(
        self,
        id_: int,
        trace_id: str,
        volume: str,
        stated_plan: str | None,
        request_class: str,
        extent: str,
        *values: Any,
    ) -> None:
        """Handles a request, through the write-back if its volume is buffered.

        Args:
            id_: The client's id of the request.
            trace_id: Identifies the request in logs and records.
            volume: Name of the volume.
            stated_plan: Name of the quota plan that the client expects, or None.
            request_class: Name of the request class.
            extent: Name of the extent.
            *values: The other values of the frame, from the slot on.

        Raises:
            WireError: The request violates the protocol.
        """
        if id_ in self.open_requests:
            raise WireError(f"TAKE: id {id_} is open already")
        if len(self.open_requests) >= self.session.max_streams:
            raise WireError(f"TAKE: more than {self.session.max_streams} accesses open on one connection")
        if len(trace_id) > MAX_TRACE_ID_CHARS or len(extent) > MAX_EXTENT_CHARS or not extent:
            raise WireError("TAKE: an id of at most 200 and an extent of 1 to 500 characters are taken")
        context = self.context
        self.open_requests[id_] = None  # registered before the calls below, which may answer the request at once
        context.record_event(context.now, "take", id=trace_id, client=self.session.peer_name)
        write_back = context.write_back
        dirty_writes: tuple[Write, ...] = ()
        if write_back is not None and write_back.is_buffered(volume):
            slot, units, time_limit_ms, _, idempotency_key, op, offset, length, data = values
            request_values = (slot, units, time_limit_ms, idempotency_key, op, offset, length, data)
            if write_back.try_handle(self, id_, trace_id, volume, request_class, extent, *request_values):
                return
            dirty_writes = write_back.dirty_writes_of_extent(volume, extent)
        pending = context.core.admit(
            context.now, self, id_, trace_id, volume, stated_plan, request_class, extent, *values
        )
        if pending is not None and dirty_writes:
            self._dirty_writes[id_] = dirty_writes
        if pending is not None and not pending.answered:
            self.open_requests[id_] = pending

    def on_cancel(self, id_: int) -> None:
        """Cancels a request for the client, unless it was answered while the frame was in transit."""
        pending = self.open_requests.pop(id_, None)
        if pending is not None:
            self.context.core.on_client_disconnect(self.context.now, pending)

    def deliver_answer(
        self, pending: FramedRequest, final: FinalStatus, retry_after_ms: float, reason: str, data: bytes
    ) -> None:
        """Sends the final answer to a request from the request table.

        The data of a successful read of a buffered volume is overlaid with the dirty writes that it must include.
        """
        self.open_requests.pop(pending.id, None)
        dirty_writes = self._dirty_writes.pop(pending.id, ())
        write_back = self.context.write_back
        if (
            write_back is not None
            and final is FinalStatus.SUCCEEDED
            and pending.op == READ
            and write_back.is_buffered(pending.volume)
        ):
            data = write_back.overlay_dirty_writes(pending, dirty_writes, data)
        self.send(Kind.ANSWER, pending.id, final, retry_after_ms, reason, pending.slot, data)

    def deliver_buffered_answer(
        self, id_: int, final: FinalStatus, retry_after_ms: float, reason: str, slot: int, data: bytes
    ) -> None:
        """Sends the final answer to a request that the write-back handled."""
        if id_ in self.open_requests:
            del self.open_requests[id_]
            self.send(Kind.ANSWER, id_, final, retry_after_ms, reason, slot, data)
