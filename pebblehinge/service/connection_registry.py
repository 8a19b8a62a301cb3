"""The registry of client connections: their groups, counts and limits, and the answers to their requests."""

from __future__ import annotations

from collections import Counter
from typing import cast

from pebblehinge.core import FinalStatus, PendingRequest
from pebblehinge.service.admission import Admission, retry_after_header
from pebblehinge.service.client_connection import ClientConnection
from pebblehinge.service.client_request import ClientRequest
from pebblehinge.service.connection_expiry import ConnectionExpiry
from pebblehinge.service.connection_groups import Group
from pebblehinge.service.connection_reclaim import ConnectionReclaimer
from pebblehinge.service.context import ServiceContext
from pebblehinge.service.memory_budget import MIB, MemoryBudget
from pebblehinge.service.process_memory import ProcessMemory
from pebblehinge.service.reasons import ClientCloseReason, ReasonCounts, RefusalReason
from pebblehinge.service.work_queue import WorkQueue

READ_BUFFER_BYTES = 16 * 1024  # What is read from one socket before the loop turns to the next.


class ConnectionRegistry:
    """All client connections, each in the group of its state.

    Attributes:
        incomplete_group: Connections whose next request has arrived in part, or that have sent nothing yet.
        idle_group: Connections without an open request.
        active_group: Connections with an open request.
        closing_group: Connections whose gateway side has been closed.
        unwritten_group: Connections of any group with bytes of answers in their transport.
        admission: Admits or refuses requests.
        connection_count: Number of connections.
        protocol_error_count: Number of requests that were answered with an error before they were admitted.
        error_counts: These by status.
        client_closes: Counts of closed connections by reason.
        work_queue: The connections with bytes to parse.
        memory_budget: The memory that all connections share.
        read_buffer: The buffer into which all connections read.
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
        self.unwritten_group: Group = {}
        self.connection_count = 0
        self.protocol_error_count = 0
        self.error_counts: Counter[int] = Counter()
        self.client_closes = ReasonCounts("close")
        self.work_queue = WorkQueue(context.loop)
        process_memory = ProcessMemory()
        process_memory.map_large_blocks()
        self.memory_budget = MemoryBudget(process_memory, context.config.memory_limit_mb * MIB)
        self.read_buffer = bytearray(READ_BUFFER_BYTES)
        self.admission = Admission(context, self.memory_budget)
        self.expiry = ConnectionExpiry(self)
        self.reclaimer = ConnectionReclaimer(self)
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
            self.expiry.trim_idle()

    def update_group(self, conn: ClientConnection) -> None:
        """Moves a connection without an open request to the group that its input calls for."""
        group = self.incomplete_group if conn.input.has_partial_request else self.idle_group
        if conn.group is not group:
            self.move_to_group(conn, group)

    def remove(self, conn: ClientConnection) -> None:
        """Removes a connection from its group, the queue and the connection count; may be called repeatedly."""
        if conn.group is not None:
            conn.group.pop(conn, None)
            conn.group = None
        self.work_queue.discard(conn)
        self.stop_counting(conn)

    def stop_counting(self, conn: ClientConnection) -> None:
        """Removes a connection from the connection count; may be called repeatedly."""
        if conn.is_counted:
            conn.is_counted = False
            self.connection_count -= 1

    # ---- requests

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

    def begin_attempt(self, pending: ClientRequest) -> bool:
        """Returns whether an attempt may begin now: the request has no answer yet and its client is connected.

        If so, the request counts as one that may have run.
        """
        if pending.answered:
            return False
        conn = cast(ClientConnection, pending.origin)
        if conn.is_client_gone():
            self.context.loop.call_soon(self._abort, conn)
            self.skipped_attempt_count += 1
            return False
        self.admission.note_attempt(pending)
        return True

    def _abort(self, conn: ClientConnection) -> None:
        conn.on_client_disconnect()
        conn.transport.abort()

    # ---- limits

    def close_expired(self, now: float) -> None:
        """Closes connections whose time in their group is over; called periodically."""
        self.expiry.close_expired(now)

    def free_descriptor(self, now: float) -> bool:
        """Aborts one connection without an open request to make room for another; returns whether there was one."""
        return self.reclaimer.free_descriptor(now)

    def measure_memory(self, now: float) -> None:
        """Updates the memory budget and what connections hold of it; called periodically."""
        for conn in list(self.unwritten_group):
            self.charge(conn)
        self.memory_budget.measure(now)
        self.free_memory()

    def earliest_arrival_ms(self) -> float:
        """Returns the clock time since which bytes that are read now may have been unread."""
        return self.context.clock() - self.context.lateness_ms

    def charge(self, conn: ClientConnection) -> None:
        """Charges what a connection holds now to the memory budget."""
        unwritten_bytes = conn.transport.get_write_buffer_size()
        if unwritten_bytes and conn.is_counted:
            self.unwritten_group[conn] = None
        else:
            self.unwritten_group.pop(conn, None)
        change_bytes = conn.memory.update(conn.input.held_bytes, conn.pending, unwritten_bytes, self.context.clock())
        self.memory_budget.charge(change_bytes)

    def free_memory(self, reader: ClientConnection | None = None) -> None:
        """Ends what bad clients hold, if the memory budget is exceeded; `reader` is who has just read more."""
        if self.memory_budget.is_exceeded:
            self.reclaimer.free_memory(self.context.clock(), reader)

    def set_memory_limit(self, limit_mb: int) -> None:
        """Sets the memory limit of the process, in MiB."""
        self.memory_budget.process_limit_bytes = limit_mb * MIB
        self.admission.set_memory_limit(limit_mb)

    def refuse_incomplete(
        self, conn: ClientConnection, refusal: RefusalReason, close_reason: ClientCloseReason
    ) -> None:
        """Refuses a request that is not complete, to free what it holds."""
        self.admission.refusals.add(refusal)
        conn.reject(503, "no room for the request", close_reason, self.admission.retry_after())

    def count_error(self, status: int) -> None:
        """Counts a request that is answered with an error before it is admitted."""
        self.protocol_error_count += 1
        self.error_counts[status] += 1

    # ---- shutdown

    def close_inactive_connections(self, reject_partial: bool) -> None:
        """Closes connections with no open request and no unread data; the others close after their answer.

        A partly received request may still become complete, unless `reject_partial` is set: then it is rejected.
        """
        self.close_after_response = True
        for conn in [c for c in (*self.idle_group, *self.incomplete_group) if not c.has_unread_data()]:
            if not conn.input.has_partial_request:
                self.unserved_count += conn.group is self.incomplete_group
                conn.close(ClientCloseReason.SHUTDOWN)
            elif reject_partial:
                conn.reject(503, "this head ends", ClientCloseReason.SHUTDOWN)

    def count_unanswered_connections(self, now: float) -> int:
        """Returns the number of connections that may still owe an answer: all but the closing ones that are flushed."""
        flushed_count = sum(
            not conn.transport.get_write_buffer_size() and now - conn.timeout_start_ms > self.FLUSH_GRACE_MS
            for conn in self.closing_group
        )
        return self.connection_count - flushed_count
