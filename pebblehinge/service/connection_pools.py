"""Pools of connections to storage nodes, and the attempts that are sent on them.

The bytes of an attempt are written in one place, `_start_attempt`, and only if all of these hold: the request has no
answer yet, its client is connected, the attempt's `begin_by_ms` has not passed, and the node list states that the node
is ready at the address of the connection. Otherwise the attempt ends as `NOT_SENT`: no byte of it was sent.
"""

from __future__ import annotations

import asyncio
import errno

from pebblehinge.interface import Outcome
from pebblehinge.service.client_request import ClientRequest
from pebblehinge.service.context import PoolContext
from pebblehinge.service.idle_connections import close_idle, close_longest_idle, take_idle
from pebblehinge.service.node_attempt import NodeAttempt
from pebblehinge.service.node_connection import NodeConnection, StorageNode
from pebblehinge.service.reasons import NodeCloseReason, ReasonCounts
from pebblehinge.service.response_flow import ResponseFlow

IDLE_CLOSE_FRACTION = 0.8  # Idle connections are closed after this part of the node's own idle timeout.
TIMER_GRACE_S = 0.003  # Delay from a timer to its effect, so that the sockets are read once more before that.
READ_BUFFER_BYTES = 16 * 1024  # What is read from one socket before the loop turns to the next.
# Errors of the local host, which are no fault of the storage node.
LOCAL_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class ConnectionPools:
    """The storage nodes of the node list with their connections and attempts.

    Attributes:
        idle_timeout_ms: Time after which a storage node may close an idle connection.
        connect_timeout_ms: Time limit for opening a connection.
        response_flow: Limits the memory of incomplete responses.
        closes: Counts of closed connections by reason.
        read_buffer: The buffer into which all connections read.
        max_connections: Maximum number of connections, including those that are being opened.
        nodes: The storage nodes, by id.
        connection_count: Number of established connections.
        dialing_count: Number of connections that are being opened.
        buffered_bytes: Bytes of incomplete responses on all connections.
        response_counts: Number of responses, by status.
        attempt_count: Number of attempts in flight.
    """

    def __init__(
        self, context: PoolContext, idle_timeout_ms: float, connect_timeout_ms: float, response_flow: ResponseFlow
    ) -> None:
        self.context = context
        self.loop = context.loop
        self.clock = context.clock
        self.idle_timeout_ms = idle_timeout_ms
        self.connect_timeout_ms = connect_timeout_ms
        self.max_connections = 0
        self.response_flow = response_flow
        self.closes = ReasonCounts("shelf-close")
        self.read_buffer = bytearray(READ_BUFFER_BYTES)
        self.nodes: dict[str, StorageNode] = {}
        self.connection_count = 0
        self.dialing_count = 0
        self.buffered_bytes = 0
        self.response_counts: dict[str, int] = {}
        self.attempt_count = 0

    def apply_node_list(self, ready: dict[str, bool], addresses: dict[str, tuple[str, int]], complete: bool) -> None:
        """Applies an update of the node list.

        Args:
            ready: Whether a node is ready for requests, by its id.
            addresses: Host and port of each node in `ready`, by its id.
            complete: Whether the update is the complete list, so that all other nodes have left.
        """
        for name, is_ready in ready.items():
            address = addresses[name]
            node = self.nodes.get(name)
            if node is None:
                node = self.nodes[name] = StorageNode(name, address)
            elif node.address != address:
                node.address = address
                close_idle(node, NodeCloseReason.NODE_UNLISTED)
            node.is_ready = is_ready
        for node in list(self.nodes.values()):
            if complete and node.name not in ready:
                node.is_ready = False
            if not node.is_ready:
                close_idle(node, NodeCloseReason.NODE_UNLISTED)
                self._remove_unused_node(node)

    def send(self, pending: ClientRequest, node_name: str, number: int, deadline_ms: float) -> None:
        """Starts an attempt. Its outcome is reported later, never during this call."""
        now = self.clock()
        node = self.nodes[node_name]
        attempt = NodeAttempt(pending, number, node, deadline_ms, now)
        pending.attempt = attempt
        node.attempt_count += 1
        self.attempt_count += 1
        attempt.deadline_timer = self.loop.call_later(
            max(0.0, deadline_ms - now) / 1000.0, self._on_attempt_deadline, attempt
        )
        conn = take_idle(node)
        if conn is None:
            attempt.connect_task = self.loop.create_task(self._connect_and_start(attempt))
        elif not self._start_attempt(attempt, conn):
            self.loop.call_soon(self.finish_attempt, attempt, Outcome.NOT_SENT)

    def cancel(self, attempt: NodeAttempt) -> None:
        """Cancels an attempt and closes its connection; one that is still being opened is kept for other attempts."""
        self._detach(attempt)
        self._close_connection(attempt, NodeCloseReason.ATTEMPT_CANCELLED)

    def finish_attempt(self, attempt: NodeAttempt, outcome: Outcome, data: bytes = b"") -> None:
        """Ends an attempt with its outcome, unless it has already ended."""
        if attempt.pending.attempt is attempt:
            duration_ms = self.clock() - attempt.start_ms
            self._detach(attempt)
            self.context.end_attempt(attempt.pending, attempt.number, outcome, duration_ms, data)

    def release(self, conn: NodeConnection) -> None:
        """Keeps a connection for further attempts, or closes it if the node list no longer allows any on it."""
        if conn.is_current() and self.nodes.get(conn.node.name) is conn.node:
            conn.idle_since_ms = self.clock()
            conn.node.idle_connections.append(conn)
        else:
            conn.abort(NodeCloseReason.NODE_UNLISTED)

    def close_expired(self, now: float) -> None:
        """Closes idle connections that the node might soon close; called periodically."""
        for node in self.nodes.values():
            while (
                node.idle_connections
                and now - node.idle_connections[0].idle_since_ms > IDLE_CLOSE_FRACTION * self.idle_timeout_ms
            ):
                node.idle_connections.pop(0).abort(NodeCloseReason.IDLE)

    def stop(self) -> None:
        """Closes all idle connections."""
        for node in self.nodes.values():
            close_idle(node, NodeCloseReason.SHUTDOWN)

    def count_response(self, status: str) -> None:
        """Counts a response by its status."""
        self.response_counts[status] = self.response_counts.get(status, 0) + 1

    # ---- connections

    def _start_attempt(self, attempt: NodeAttempt, conn: NodeConnection) -> bool:
        """Writes an attempt if it is still allowed, or else releases the connection; returns whether it was written."""
        now = self.clock()
        if now <= attempt.begin_by_ms and conn.is_current() and self.context.begin_attempt(attempt.pending):
            conn.send(attempt)
            if not attempt.is_written and attempt.begin_by_ms < attempt.deadline_ms:
                self.loop.call_later((attempt.begin_by_ms - now) / 1000.0, self._on_begin_deadline, attempt)
            return True
        self.release(conn)
        return False

    async def _connect_and_start(self, attempt: NodeAttempt) -> None:
        """Opens a connection for an attempt and starts it; opens another if the node's address changes meanwhile."""
        try:
            while attempt.pending.attempt is attempt:
                conn = await self._open_connection(attempt.node, attempt)
                if attempt.pending.attempt is not attempt:
                    self.release(conn)
                elif conn.transport.is_closing():
                    self.finish_attempt(attempt, Outcome.CONNECT_FAILED)
                elif conn.address == attempt.node.address:
                    if not self._start_attempt(attempt, conn):
                        self.finish_attempt(attempt, Outcome.NOT_SENT)
                    return
                else:
                    conn.abort(NodeCloseReason.NODE_UNLISTED)
        except asyncio.CancelledError:
            self.finish_attempt(attempt, Outcome.CONNECT_FAILED)
        except OSError as error:
            self.finish_attempt(attempt, Outcome.NOT_SENT if error.errno in LOCAL_ERRNOS else Outcome.CONNECT_FAILED)
        finally:
            attempt.connect_task = None

    async def _open_connection(self, node: StorageNode, attempt: NodeAttempt) -> NodeConnection:
        """Returns a new connection to the node's current address; raises OSError on failure or at the limit."""
        if self.connection_count + self.dialing_count >= self.max_connections and not close_longest_idle(
            self.nodes.values()
        ):
            raise OSError(errno.EMFILE, "the maximum number of connections to storage nodes is in use")
        assert attempt.connect_task is not None
        address = node.address
        # The list is cleared once the connection is open or has failed, as the second of the two timers can't be
        # cancelled.
        tasks = [attempt.connect_task]
        connect_timer = self.loop.call_later(
            self.connect_timeout_ms / 1000.0, self.loop.call_later, TIMER_GRACE_S, self._cancel_connecting, tasks
        )
        self.dialing_count += 1
        try:
            _, conn = await self.loop.create_connection(lambda: NodeConnection(self, node, address), *address)
        finally:
            self.dialing_count -= 1
            connect_timer.cancel()
            tasks.clear()
        return conn

    def _cancel_connecting(self, tasks: list[asyncio.Task[None]]) -> None:
        for task in tasks:
            task.cancel()

    def _remove_unused_node(self, node: StorageNode) -> None:
        if not node.is_ready and not node.attempt_count and self.nodes.get(node.name) is node:
            del self.nodes[node.name]

    # ---- deadlines and ends of attempts

    def _on_attempt_deadline(self, attempt: NodeAttempt) -> None:
        attempt.deadline_timer = self.loop.call_later(TIMER_GRACE_S, self._time_out_attempt, attempt)

    def _time_out_attempt(self, attempt: NodeAttempt) -> None:
        self._close_connection(attempt, NodeCloseReason.ATTEMPT_TIMEOUT)
        # A node can't have run an attempt that was not completely written, or that never got a connection.
        self.finish_attempt(attempt, Outcome.TIMED_OUT if attempt.is_written else Outcome.NOT_SENT)

    def _on_begin_deadline(self, attempt: NodeAttempt) -> None:
        """Cancels an attempt that is not completely written by `begin_by_ms`, so that the node can't run it."""
        if not attempt.is_written and attempt.pending.attempt is attempt:
            self._close_connection(attempt, NodeCloseReason.ATTEMPT_TIMEOUT)
            self.finish_attempt(attempt, Outcome.NOT_SENT)

    def _close_connection(self, attempt: NodeAttempt, reason: NodeCloseReason) -> None:
        if attempt.conn is not None:
            attempt.conn.attempt = None
            attempt.conn.abort(reason)

    def _detach(self, attempt: NodeAttempt) -> None:
        """Removes an attempt from its request, from the node and from the counts."""
        attempt.pending.attempt = None
        if attempt.deadline_timer is not None:
            attempt.deadline_timer.cancel()
            attempt.deadline_timer = None
        attempt.node.attempt_count -= 1
        self.attempt_count -= 1
        self._remove_unused_node(attempt.node)
