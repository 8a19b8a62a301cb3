"""The registry of client connections, which admits their requests and closes connections whose time is over."""

from __future__ import annotations

import itertools
from typing import cast

from pebblehinge.core import FinalStatus, PendingRequest
from pebblehinge.service.client_connection import ClientConnection
from pebblehinge.service.client_request import ClientRequest, ParsedRequest
from pebblehinge.service.context import ServiceContext

Group = dict[ClientConnection, None]  # An ordered set: the connection that entered the group first comes first.

CLOSING_RECLAIM_MS = 100.0  # A connection that has been closing for this time is the first to be reclaimed.
INCOMPLETE_RECLAIM_MS = 300.0  # One without a complete request for this time comes next.


def retry_after_header(delay_ms: float) -> bytes:
    """Returns the Retry-After header line, or no bytes for a delay of 0."""
    return b"Retry-After: %.3f\r\n" % (delay_ms / 1000.0) if delay_ms > 0 else b""


class ConnectionRegistry:
    """All client connections, each in the group of its state.

    Attributes:
        incomplete_group: Connections whose next request has arrived in part, or that have sent nothing yet.
        idle_group: Connections without an open request.
        active_group: Connections with an open request.
        closing_group: Connections whose gateway side has been closed.
        open_request_ids: Ids of the open requests.
        connection_count: Number of connections.
        protocol_error_count: Number of requests that were answered with a protocol error.
        reclaimed_count: Number of connections aborted to make room for others.
        unserved_count: Number of connections closed before any request on them was complete.
        skipped_attempt_count: Number of attempts that were not started because the client had closed.
        is_draining: Whether the gateway is shutting down, so that a client could not reconnect after a close.
        close_after_response: Whether every response closes its connection.
    """

    # Time for a request to arrive completely; faulty clients must be disconnected within 3 s.
    READ_TIMEOUT_MS = 2400.0
    # Time without an open request; the protocol lets a gateway close such a connection at any time.
    IDLE_TIMEOUT_MS = 10_000.0
    # Maximum part of the descriptors for clients that have sent a request before. New clients get a third at most, and
    # could not send any request while the others stay.
    MAX_PERSISTENT_FRACTION = 1 / 4
    UNREAD_GRACE_MS = 300.0  # Added to READ_TIMEOUT_MS if data is unread, as the event loop may be late.
    CLOSE_TIMEOUT_MS = 1500.0  # Time for a client to close its side once the gateway's side is closed.
    FLUSH_GRACE_MS = 50.0  # The time that replaces CLOSE_TIMEOUT_MS during shutdown.
    STALL_TIMEOUT_MS = 3000.0  # Time for a client to read an answer; it lasts at least until the client's deadline.
    ANSWER_MARGIN_MS = 4.0  # Answers are due this long before the client stops waiting.

    def __init__(self, context: ServiceContext) -> None:
        self.context = context
        self.incomplete_group: Group = {}
        self.idle_group: Group = {}
        self.active_group: Group = {}
        self.closing_group: Group = {}
        self.open_request_ids: set[str] = set()
        self.connection_count = 0
        self.protocol_error_count = 0
        self.reclaimed_count = 0
        self.unserved_count = 0
        self.skipped_attempt_count = 0
        self.is_draining = False
        self.close_after_response = False

    def move_to_group(self, conn: ClientConnection, group: Group) -> None:
        """Removes a connection from its group, if any, and appends it to `group`."""
        if conn.group is not None:
            conn.group.pop(conn, None)
        conn.group = group
        conn.timeout_start_ms = self.context.clock()
        group[conn] = None
        if group is self.idle_group:
            self.trim_idle()

    def stop_counting(self, conn: ClientConnection) -> None:
        """Removes a connection from the connection count; may be called repeatedly."""
        if conn.is_counted:
            conn.is_counted = False
            self.connection_count -= 1

    # ---- requests

    def admit(self, conn: ClientConnection, parsed_request: ParsedRequest, body: bytes) -> None:
        """Passes a request to the request table, or rejects it if too many requests are open."""
        context = self.context
        now = context.clock()
        if context.core.open_count >= context.config.max_open_requests:
            conn.respond(503, extra_headers=retry_after_header(context.config.settings.max_retry_after_ms))
            return
        pending = ClientRequest()
        pending.origin = conn
        pending.id = parsed_request.id
        pending.volume = parsed_request.volume
        pending.units = parsed_request.units
        pending.data = body
        pending.head = parsed_request.head
        conn.pending = pending
        self.open_request_ids.add(parsed_request.id)
        self.move_to_group(conn, self.active_group)
        context.core.counts.received += 1
        # The request may have been unread for as long as the event loop is late.
        deadline_ms = now - context.lateness_ms + parsed_request.max_wait_ms - self.ANSWER_MARGIN_MS
        conn.answer_deadline_ms = min(deadline_ms, now + context.config.longest_wait_ms)
        context.core.accept(
            now,
            pending,
            parsed_request.extent,
            parsed_request.request_class,
            parsed_request.quota_plan,
            parsed_request.set_size,
            parsed_request.slot,
            deadline_ms,
            parsed_request.is_retry if context.config.settings.clients_mark_retries else None,
        )

    def answer(self, pending: PendingRequest, final: FinalStatus, retry_after_ms: float, data: bytes) -> None:
        """Writes the final answer of a request, unless its client is gone."""
        conn = cast(ClientConnection, pending.origin)
        if conn.pending is not pending:
            return
        if final is FinalStatus.SUCCEEDED:
            conn.answer(200, data)
        elif final is FinalStatus.REJECTED:
            conn.answer(503, extra_headers=retry_after_header(retry_after_ms))
        else:
            conn.answer(502)

    def can_start_attempt(self, pending: PendingRequest) -> bool:
        """Returns whether an attempt may be started: the request has no answer yet and its client is connected."""
        if pending.answered:
            return False
        conn = cast(ClientConnection, pending.origin)
        if conn.is_client_gone():
            self.context.loop.call_soon(self._abort, conn)
            self.skipped_attempt_count += 1
            return False
        return True

    def _abort(self, conn: ClientConnection) -> None:
        conn.on_client_disconnect()
        conn.transport.abort()

    # ---- timeouts and limits

    def close_expired(self, now: float) -> None:
        """Closes connections whose time in their group is over; called periodically."""
        for conn in [c for c in self.incomplete_group if now - c.timeout_start_ms > self.READ_TIMEOUT_MS]:
            if now - conn.timeout_start_ms > self.READ_TIMEOUT_MS + self.UNREAD_GRACE_MS or not conn.has_unread_data():
                self.time_out_request(conn)
        # While draining, idle connections stay open until the end, as their clients could not reconnect.
        for conn in (
            [] if self.is_draining else [c for c in self.idle_group if now - c.timeout_start_ms > self.IDLE_TIMEOUT_MS]
        ):
            if not conn.has_unread_data():
                conn.close()
        for conn in [c for c in self.closing_group if now - c.timeout_start_ms > self.CLOSE_TIMEOUT_MS]:
            if not conn.transport.get_write_buffer_size() or self._is_stalled(conn, now):
                conn.transport.abort()
        for conn in [c for c in self.idle_group if c.write_paused and self._is_stalled(c, now)]:
            conn.transport.abort()

    def _is_stalled(self, conn: ClientConnection, now: float) -> bool:
        return now > max(conn.answer_deadline_ms, conn.timeout_start_ms + self.STALL_TIMEOUT_MS)

    def time_out_request(self, conn: ClientConnection) -> None:
        """Closes a connection whose next request has not arrived completely in time."""
        if conn.parser.has_partial_message:
            conn.reject(408, "the request did not come whole in time")
        else:
            self.unserved_count += 1
            conn.close()

    def trim_idle(self) -> None:
        """Closes the connections idle for longest if there are too many, but none with unread data."""
        excess = (
            len(self.idle_group)
            + len(self.active_group)
            - int(self.MAX_PERSISTENT_FRACTION * self.context.config.max_sockets)
        )
        if excess > 0 and not self.is_draining:
            for conn in [c for c in itertools.islice(self.idle_group, 2 * excess) if not c.has_unread_data()][:excess]:
                conn.close()

    def reclaim_connection(self, now: float) -> bool:
        """Aborts one connection without an open request to make room for another; returns whether there was one.

        Closing connections come first, then those without a complete request for a while, then the longest idle.
        """
        preferences = (
            (self.closing_group, CLOSING_RECLAIM_MS),
            (self.incomplete_group, INCOMPLETE_RECLAIM_MS),
            (self.idle_group, 0.0),
            (self.incomplete_group, 0.0),
        )
        for group, min_age_ms in preferences:
            for conn in group:
                if now - conn.timeout_start_ms < min_age_ms:
                    break
                if conn.transport.get_write_buffer_size() or not (conn.output_ended or not conn.has_unread_data()):
                    continue
                self._reclaim(conn, group)
                return True
        return False

    def _reclaim(self, conn: ClientConnection, group: Group) -> None:
        self.unserved_count += group is self.incomplete_group
        del group[conn]
        conn.group = None
        conn.output_ended = True
        self.reclaimed_count += 1
        self.stop_counting(conn)
        conn.transport.abort()

    # ---- shutdown

    def close_inactive_connections(self, reject_partial: bool) -> None:
        """Closes connections with no open request and no unread data; the others close after their answer.

        A partly received request may still become complete, unless `reject_partial` is set: then it is rejected.
        """
        self.close_after_response = True
        for conn in [c for c in (*self.idle_group, *self.incomplete_group) if not c.has_unread_data()]:
            if not conn.parser.has_partial_message:
                self.unserved_count += conn.group is self.incomplete_group
                conn.close()
            elif reject_partial:
                conn.reject(503, "this head ends")

    def count_unanswered_connections(self, now: float) -> int:
        """Returns the number of connections that may still owe an answer: all but the closing ones that are flushed."""
        flushed_count = sum(
            not conn.transport.get_write_buffer_size() and now - conn.timeout_start_ms > self.FLUSH_GRACE_MS
            for conn in self.closing_group
        )
        return self.connection_count - flushed_count
