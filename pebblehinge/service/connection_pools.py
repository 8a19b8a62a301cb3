"""Pools of connections to storage nodes, dials, and the attempts on them.

The bytes of an attempt are written in one place, `_start_attempt`, and only while that is allowed: its request has no
answer yet and its client is there, its time to begin is not over, and the list has the node as ready at the address
that the connection leads to. An attempt that was settled before ends as `NOT_SENT`: nothing of it was sent.
"""

from __future__ import annotations

import asyncio
import errno

from pebblehinge.interface import Outcome
from pebblehinge.service.client_request import ClientRequest
from pebblehinge.service.context import PoolContext
from pebblehinge.service.node_connection import NodeAttempt, NodeConnection, StorageNode

IDLE_CLOSE_FRACTION = 0.8  # of the time after which a node may close an idle connection; then it is closed here
TIMER_GRACE_S = 0.003  # from a timer to its effect: the sockets are read once more between
LOCAL_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)  # not the node's fault


class ConnectionPools:
    """The storage nodes of the list, by id, each with its connections.

    Attributes:
        max_connections: Bound of the connections, those that are being made among them.
        connections: Number of connections that are up.
        dialling: Number of connections that are being made.
        buffered_bytes: Bytes of incomplete responses.
        responses: Number of responses by status.
        attempts: Number of attempts that are out.
    """

    def __init__(
        self, context: PoolContext, idle_timeout_ms: float, connect_timeout_ms: float, max_connections: int
    ) -> None:
        self.context = context
        self.loop = context.loop
        self.clock = context.clock
        self.idle_timeout_ms = idle_timeout_ms
        self.connect_timeout_ms = connect_timeout_ms
        self.max_connections = max_connections
        self.nodes: dict[str, StorageNode] = {}
        self.connection_count = 0
        self.dialing_count = 0
        self.buffered_bytes = 0
        self.response_counts: dict[str, int] = {}
        self.attempt_count = 0

    def apply_node_list(self, ready: dict[str, bool], addresses: dict[str, tuple[str, int]], complete: bool) -> None:
        """Apply an update of the node list.

        Args:
            ready: By id, whether the node is ready for requests.
            addresses: Host and port by id.
            complete: Nodes that are not named have left.
        """
        for name, is_ready in ready.items():
            address = addresses[name]
            node = self.nodes.get(name)
            if node is None:
                node = self.nodes[name] = StorageNode(name, address)
            elif node.address != address:
                node.address = address
                self._close_idle(node)
            node.is_ready = is_ready
        for node in list(self.nodes.values()):
            if complete and node.name not in ready:
                node.is_ready = False
            if not node.is_ready:
                self._close_idle(node)
                self._remove_unused_node(node)

    def send(self, pending: ClientRequest, name: str, number: int, deadline_ms: float) -> None:
        """Begin an attempt. Its outcome comes later, never from within this call."""
        now = self.clock()
        node = self.nodes[name]
        attempt = NodeAttempt(pending, number, node, deadline_ms, now)
        pending.attempt = attempt
        node.attempt_count += 1
        self.attempt_count += 1
        attempt.deadline_timer = self.loop.call_later(
            max(0.0, deadline_ms - now) / 1000.0, self._on_attempt_deadline, attempt
        )
        conn = self._take_idle_connection(node)
        if conn is None:
            attempt.connect_task = self.loop.create_task(self._connect_and_start(attempt))
        elif not self._start_attempt(attempt, conn):
            self.loop.call_soon(self.finish_attempt, attempt, Outcome.NOT_SENT)

    def cancel(self, attempt: NodeAttempt) -> None:
        """Give up an attempt: its connection is closed; one that is still being made is kept for others."""
        self._detach(attempt)
        self._close_connection(attempt)

    def finish_attempt(self, attempt: NodeAttempt, outcome: Outcome, data: bytes = b"") -> None:
        """End an attempt with its outcome, unless it has ended before."""
        if attempt.pending.attempt is attempt:
            duration_ms = self.clock() - attempt.start_ms
            self._detach(attempt)
            self.context.end_attempt(attempt.pending, attempt.number, outcome, duration_ms, data)

    def release(self, conn: NodeConnection) -> None:
        """Keep a connection for further attempts, or close it if the list wants none on it."""
        if conn.is_current() and self.nodes.get(conn.node.name) is conn.node:
            conn.idle_since_ms = self.clock()
            conn.node.idle_connections.append(conn)
        else:
            conn.transport.abort()

    def close_expired(self, now: float) -> None:
        """Close connections that the node may soon close; called now and then."""
        for node in self.nodes.values():
            while (
                node.idle_connections
                and now - node.idle_connections[0].idle_since_ms > IDLE_CLOSE_FRACTION * self.idle_timeout_ms
            ):
                node.idle_connections.pop(0).transport.abort()

    def stop(self) -> None:
        """Close all idle connections."""
        for node in self.nodes.values():
            self._close_idle(node)

    def count_response(self, status: str) -> None:
        """Count a response by its status."""
        self.response_counts[status] = self.response_counts.get(status, 0) + 1

    # ---- connections

    def _take_idle_connection(self, node: StorageNode) -> NodeConnection | None:
        while node.idle_connections:
            conn = node.idle_connections.pop()
            if conn.is_usable():
                return conn
            conn.transport.abort()
        return None

    def _start_attempt(self, attempt: NodeAttempt, conn: NodeConnection) -> bool:
        """Write an attempt to a connection if it is still allowed, else release the connection; return which."""
        now = self.clock()
        if now <= attempt.begin_by_ms and conn.is_current() and self.context.can_start_attempt(attempt.pending):
            conn.send(attempt)
            if not attempt.is_written and attempt.begin_by_ms < attempt.deadline_ms:
                self.loop.call_later((attempt.begin_by_ms - now) / 1000.0, self._on_begin_deadline, attempt)
            return True
        self.release(conn)
        return False

    async def _connect_and_start(self, attempt: NodeAttempt) -> None:
        """Make a connection for an attempt; a further one if the node's address has changed meanwhile."""
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
                    conn.transport.abort()
        except asyncio.CancelledError:
            self.finish_attempt(attempt, Outcome.CONNECT_FAILED)
        except OSError as error:
            self.finish_attempt(attempt, Outcome.NOT_SENT if error.errno in LOCAL_ERRNOS else Outcome.CONNECT_FAILED)
        finally:
            attempt.connect_task = None

    async def _open_connection(self, node: StorageNode, attempt: NodeAttempt) -> NodeConnection:
        """Return a connection to the node's present address; raises OSError, also if there are too many."""
        if self.connection_count + self.dialing_count >= self.max_connections and not self._close_longest_idle():
            raise OSError(errno.EMFILE, "all connections that shelfs may have are in use")
        assert attempt.connect_task is not None
        address = node.address
        tasks = [attempt.connect_task]  # emptied once it is over: the second of the two timers can't be cancelled
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

    def _close_longest_idle(self) -> bool:
        """Close the connection that has been idle for longest; return whether there was one."""
        oldest = [node.idle_connections[0] for node in self.nodes.values() if node.idle_connections]
        if oldest:
            min(oldest, key=lambda conn: conn.idle_since_ms).node.idle_connections.pop(0).transport.abort()
        return bool(oldest)

    def _close_idle(self, node: StorageNode) -> None:
        for conn in node.idle_connections:
            conn.transport.abort()
        node.idle_connections.clear()

    def _remove_unused_node(self, node: StorageNode) -> None:
        if not node.is_ready and not node.attempt_count and self.nodes.get(node.name) is node:
            del self.nodes[node.name]

    # ---- ends of attempts

    def _on_attempt_deadline(self, attempt: NodeAttempt) -> None:
        attempt.deadline_timer = self.loop.call_later(TIMER_GRACE_S, self._time_out_attempt, attempt)

    def _time_out_attempt(self, attempt: NodeAttempt) -> None:
        self._close_connection(attempt)
        # One whose connection never came up has not been sent at all.
        self.finish_attempt(attempt, Outcome.TIMED_OUT if attempt.is_written else Outcome.NOT_SENT)

    def _on_begin_deadline(self, attempt: NodeAttempt) -> None:
        """Its time to begin is over: if part of it is not sent yet, the node can't run it."""
        if not attempt.is_written and attempt.pending.attempt is attempt:
            self._close_connection(attempt)
            self.finish_attempt(attempt, Outcome.NOT_SENT)

    def _close_connection(self, attempt: NodeAttempt) -> None:
        if attempt.conn is not None:
            attempt.conn.attempt = None
            attempt.conn.transport.abort()

    def _detach(self, attempt: NodeAttempt) -> None:
        """Take an attempt out of the books."""
        attempt.pending.attempt = None
        if attempt.deadline_timer is not None:
            attempt.deadline_timer.cancel()
            attempt.deadline_timer = None
        attempt.node.attempt_count -= 1
        self.attempt_count -= 1
        self._remove_unused_node(attempt.node)
