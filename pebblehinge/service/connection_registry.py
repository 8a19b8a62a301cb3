"""All clients' connections: admission of their requests, and the end of connections that have lasted too long."""

from __future__ import annotations

import itertools
from typing import cast

from pebblehinge.core import FinalStatus, PendingRequest
from pebblehinge.service.client_connection import ClientConnection
from pebblehinge.service.client_request import ClientRequest, ParsedRequest
from pebblehinge.service.context import ServiceContext

Group = dict[ClientConnection, None]  # in the order of coming into it

CLOSING_RECLAIM_MS = 100.0  # closing for so long: may be reclaimed first
INCOMPLETE_RECLAIM_MS = 300.0  # with no complete request for so long: may be reclaimed next


def retry_after_header(delay_ms: float) -> bytes:
    """Return the header that says when to retry, or nothing for a delay of 0."""
    return b"Retry-After: %.3f\r\n" % (delay_ms / 1000.0) if delay_ms > 0 else b""


class ConnectionRegistry:
    """Connections in groups, the one that has been longest in its group first.

    Attributes:
        incomplete: Connections on which nothing or part of a request has come.
        idle: Connections that have no request open.
        active: Connections that have one open.
        closing: Connections on which our side has ended.
        ids: Ids of the open requests.
        count: Number of connections.
        protocol_errors: Requests answered with an error of form.
        reclaimed: Connections aborted to make place for others.
        unserved: Connections closed before any request on them was complete.
        abandoned: Requests of which an attempt was not begun, since their client had closed.
        draining: SIGTERM has come: a client that is closed could not come back.
        close_after_response: Every response ends its connection.
    """

    READ_TIMEOUT_MS = 2400.0  # for a request to come complete; bad clients are owed an end within 3 s
    IDLE_TIMEOUT_MS = (
        10_000.0  # without an open request; the protocol lets a gateway close such a connection at any time ...
    )
    # ... and of the descriptors this part at most is used for clients that have sent a request: new clients get a third
    # at most, and could not send any while the others stay.
    MAX_PERSISTENT_FRACTION = 1 / 4
    UNREAD_GRACE_MS = 300.0  # beyond READ_TIMEOUT_MS, if something is unread since the loop is late
    CLOSE_TIMEOUT_MS = 1500.0  # for a client to end its side once ours has ended
    FLUSH_GRACE_MS = 50.0  # ... or, at shutdown, this
    STALL_TIMEOUT_MS = 3000.0  # for a client to read any answer, and at least until it waits no longer
    ANSWER_MARGIN_MS = 4.0  # an answer is sent by so much before the client stops waiting

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
        """Put a connection last into a group, out of the one that it was in."""
        if conn.group is not None:
            conn.group.pop(conn, None)
        conn.group = group
        conn.timeout_start_ms = self.context.clock()
        group[conn] = None
        if group is self.idle_group:
            self.trim_idle()

    def stop_counting(self, conn: ClientConnection) -> None:
        """Count a connection no more; may be called repeatedly."""
        if conn.is_counted:
            conn.is_counted = False
            self.connection_count -= 1

    # ---- requests

    def admit(self, conn: ClientConnection, parsed: ParsedRequest, body: bytes) -> None:
        """Hand a request to the core, or reject it if too many are open."""
        context = self.context
        now = context.clock()
        if context.core.open_count >= context.config.max_open_requests:
            conn.respond(503, extra_headers=retry_after_header(context.config.settings.max_retry_after_ms))
            return
        pending = ClientRequest()
        pending.origin = conn
        pending.id = parsed.id
        pending.volume = parsed.volume
        pending.units = parsed.units
        pending.data = body
        pending.head = parsed.head
        conn.pending = pending
        self.open_request_ids.add(parsed.id)
        self.move_to_group(conn, self.active_group)
        context.core.counts.received += 1
        # It may have been unread for as long as the loop is late.
        deadline_ms = now - context.lateness_ms + parsed.max_wait_ms - self.ANSWER_MARGIN_MS
        conn.answer_deadline_ms = min(deadline_ms, now + context.config.longest_wait_ms)
        context.core.accept(
            now,
            pending,
            parsed.extent,
            parsed.request_class,
            parsed.quota_plan,
            parsed.set_size,
            parsed.slot,
            deadline_ms,
            parsed.is_retry if context.config.settings.clients_mark_retries else None,
        )

    def answer(self, pending: PendingRequest, final: FinalStatus, retry_after_ms: float, data: bytes) -> None:
        """Write the final answer of a request, unless its client has gone."""
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
        """Return whether an attempt may be begun for a request: it has no answer, and its client is there."""
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

    # ---- bounds

    def close_expired(self, now: float) -> None:
        """Close connections that have been in their group for too long; called now and then."""
        for conn in [c for c in self.incomplete_group if now - c.timeout_start_ms > self.READ_TIMEOUT_MS]:
            if now - conn.timeout_start_ms > self.READ_TIMEOUT_MS + self.UNREAD_GRACE_MS or not conn.has_unread_data():
                self.time_out_request(conn)
        # While draining, a client that is closed could not come back: idle ones stay to the end.
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
        """End a connection whose next request has not come complete in time."""
        if conn.parser.has_partial_message:
            conn.reject(408, "the request did not come whole in time")
        else:
            self.unserved_count += 1
            conn.close()

    def trim_idle(self) -> None:
        """Close the connections idle for longest if there are too many, but none on which something is unread."""
        excess = (
            len(self.idle_group)
            + len(self.active_group)
            - int(self.MAX_PERSISTENT_FRACTION * self.context.config.max_sockets)
        )
        if excess > 0 and not self.is_draining:
            for conn in [c for c in itertools.islice(self.idle_group, 2 * excess) if not c.has_unread_data()][:excess]:
                conn.close()

    def reclaim_connection(self, now: float) -> bool:
        """Abort one connection without an open request, if there is one; return whether there was.

        Preferred is one that is closing, then one that has been silent for a while, then the one idle for longest.
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
        """Close connections with nothing open and nothing unread; the others end with their answer.

        Part of a request may still become complete, unless this is the last time.
        """
        self.close_after_response = True
        for conn in [c for c in (*self.idle_group, *self.incomplete_group) if not c.has_unread_data()]:
            if not conn.parser.has_partial_message:
                self.unserved_count += conn.group is self.incomplete_group
                conn.close()
            elif reject_partial:
                conn.reject(503, "this head ends")

    def count_unanswered_connections(self, now: float) -> int:
        """Return on how many connections an answer is, or may be, owed: all but those whose last one was sent."""
        flushed = sum(
            not conn.transport.get_write_buffer_size() and now - conn.timeout_start_ms > self.FLUSH_GRACE_MS
            for conn in self.closing_group
        )
        return self.connection_count - flushed
