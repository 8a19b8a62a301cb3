"""Closes client connections whose time in their state is over, and idle ones beyond the number that may stay."""

from __future__ import annotations

import itertools

from pebblehinge.service.client_connection import ClientConnection
from pebblehinge.service.connection_groups import ConnectionGroups
from pebblehinge.service.reasons import ClientCloseReason


class ConnectionExpiry:
    """The timeouts of client connections, whose lengths are attributes of the registry."""

    def __init__(self, registry: ConnectionGroups) -> None:
        self.registry = registry

    def close_expired(self, now: float) -> None:
        """Closes connections whose time in their group is over; called periodically."""
        registry = self.registry
        self._close_incomplete(now)
        # While draining, idle connections stay open until the end, as their clients could not reconnect.
        if not registry.is_draining:
            self._close_idle(now)
        for conn in (*registry.closing_group, *registry.idle_group, *registry.incomplete_group):
            conn.input.resume_dropping()
        for conn in [c for c in registry.closing_group if now - c.timeout_start_ms > registry.CLOSE_TIMEOUT_MS]:
            if not conn.transport.get_write_buffer_size():
                conn.abort(ClientCloseReason.CLOSE_TIMEOUT)
            elif self._is_stalled(conn, now):
                conn.abort(ClientCloseReason.ANSWER_UNREAD)
        for conn in [c for c in registry.idle_group if c.write_paused and self._is_stalled(c, now)]:
            conn.abort(ClientCloseReason.ANSWER_UNREAD)

    def _close_incomplete(self, now: float) -> None:
        timeout_ms = self.registry.READ_TIMEOUT_MS
        for conn in [c for c in self.registry.incomplete_group if now - c.timeout_start_ms > timeout_ms]:
            is_late = now - conn.timeout_start_ms > timeout_ms + self.registry.UNREAD_GRACE_MS
            if is_late or not (conn.has_unread_data() or conn.is_queued):
                self.time_out_request(conn)

    def _close_idle(self, now: float) -> None:
        timeout_ms = self.registry.IDLE_TIMEOUT_MS
        for conn in [c for c in self.registry.idle_group if now - c.timeout_start_ms > timeout_ms]:
            if not conn.has_unread_data():
                conn.close(ClientCloseReason.IDLE)

    def _is_stalled(self, conn: ClientConnection, now: float) -> bool:
        return now > max(conn.answer_deadline_ms, conn.timeout_start_ms + self.registry.STALL_TIMEOUT_MS)

    def time_out_request(self, conn: ClientConnection) -> None:
        """Closes a connection whose next request has not arrived completely in time."""
        if conn.input.has_partial_request:
            conn.reject(408, "the request did not come whole in time", ClientCloseReason.REQUEST_TIMEOUT)
        else:
            self.registry.unserved_count += 1
            conn.close(ClientCloseReason.SILENT)

    def trim_idle(self) -> None:
        """Closes the connections idle for longest if there are too many, but none with unread data."""
        registry = self.registry
        max_persistent = int(registry.MAX_PERSISTENT_FRACTION * registry.context.config.max_sockets)
        excess = len(registry.idle_group) + len(registry.active_group) - max_persistent
        if excess <= 0 or registry.is_draining:
            return
        oldest = itertools.islice(registry.idle_group, 2 * excess)
        for conn in [c for c in oldest if not (c.has_unread_data() or c.input.has_unhandled)][:excess]:
            conn.close(ClientCloseReason.TOO_MANY_IDLE)
