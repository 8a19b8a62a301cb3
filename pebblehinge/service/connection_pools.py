"""Pools of connections to storage nodes, dials, and the attempts on them.

The bytes of an attempt are written in one place, `_begin`, and only while that is allowed: its request has no answer
yet and its client is there, its time to begin is not over, and the list has the node as ready at the address that the
connection leads to. An attempt that was settled before ends as `NOT_SENT`: nothing of it was sent.
"""

from __future__ import annotations

import asyncio
import errno

from pebblehinge.interface import Outcome
from pebblehinge.service.client_request import ClientRequest
from pebblehinge.service.context import PoolContext
from pebblehinge.service.node_connection import Attempt, Shelf, ShelfConnection

IDLE_FRACTION = 0.8  # of the time after which a node may close an idle connection; then it is closed here
GRACE_S = 0.003  # from a timer to its effect: the sockets are read once more between
LOCAL_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)  # not the node's fault


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

    def __init__(self, context: PoolContext, idle_ms: float, connect_ms: float, max_connections: int) -> None:
        self.context = context
        self.loop = context.loop
        self.clock = context.clock
        self.idle_ms = idle_ms
        self.connect_ms = connect_ms
        self.max_connections = max_connections
        self.table: dict[str, Shelf] = {}
        self.connections = 0
        self.dialling = 0
        self.buffered_bytes = 0
        self.responses: dict[str, int] = {}
        self.attempts = 0

    def apply_list(self, ready: dict[str, bool], addresses: dict[str, tuple[str, int]], complete: bool) -> None:
        """Apply an update of the node list.

        Args:
            ready: By id, whether the node is ready for requests.
            addresses: Host and port by id.
            complete: Nodes that are not named have left.
        """
        for name, is_ready in ready.items():
            address = addresses[name]
            shelf = self.table.get(name)
            if shelf is None:
                shelf = self.table[name] = Shelf(name, address)
            elif shelf.address != address:
                shelf.address = address
                self._close_idle(shelf)
            shelf.listed = is_ready
        for shelf in list(self.table.values()):
            if complete and shelf.name not in ready:
                shelf.listed = False
            if not shelf.listed:
                self._close_idle(shelf)
                self._forget_unused(shelf)

    def send(self, pending: ClientRequest, name: str, number: int, until_ms: float) -> None:
        """Begin an attempt. Its outcome comes later, never from within this call."""
        now = self.clock()
        shelf = self.table[name]
        attempt = Attempt(pending, number, shelf, until_ms, now)
        pending.attempt = attempt
        shelf.attempts += 1
        self.attempts += 1
        attempt.timer = self.loop.call_later(max(0.0, until_ms - now) / 1000.0, self._attempt_due, attempt)
        conn = self._take_idle(shelf)
        if conn is None:
            attempt.task = self.loop.create_task(self._connect(attempt))
        elif not self._begin(attempt, conn):
            self.loop.call_soon(self.finish, attempt, Outcome.NOT_SENT)

    def cancel(self, attempt: Attempt) -> None:
        """Give up an attempt: its connection is closed; one that is still being made is kept for others."""
        self._detach(attempt)
        self._close_connection(attempt)

    def finish(self, attempt: Attempt, outcome: Outcome, data: bytes = b"") -> None:
        """End an attempt with its outcome, unless it has ended before."""
        if attempt.pending.attempt is attempt:
            took_ms = self.clock() - attempt.sent_ms
            self._detach(attempt)
            self.context.end_attempt(attempt.pending, attempt.number, outcome, took_ms, data)

    def release(self, conn: ShelfConnection) -> None:
        """Keep a connection for further attempts, or close it if the list wants none on it."""
        if conn.is_current() and self.table.get(conn.shelf.name) is conn.shelf:
            conn.idle_ms = self.clock()
            conn.shelf.idle.append(conn)
        else:
            conn.transport.abort()

    def close_expired(self, now: float) -> None:
        """Close connections that the node may soon close; called now and then."""
        for shelf in self.table.values():
            while shelf.idle and now - shelf.idle[0].idle_ms > IDLE_FRACTION * self.idle_ms:
                shelf.idle.pop(0).transport.abort()

    def stop(self) -> None:
        """Close all idle connections."""
        for shelf in self.table.values():
            self._close_idle(shelf)

    def count_response(self, status: str) -> None:
        """Count a response by its status."""
        self.responses[status] = self.responses.get(status, 0) + 1

    # ---- connections

    def _take_idle(self, shelf: Shelf) -> ShelfConnection | None:
        while shelf.idle:
            conn = shelf.idle.pop()
            if conn.is_usable():
                return conn
            conn.transport.abort()
        return None

    def _begin(self, attempt: Attempt, conn: ShelfConnection) -> bool:
        """Write an attempt to a connection if it is still allowed, else release the connection; return which."""
        now = self.clock()
        if now <= attempt.begin_by_ms and conn.is_current() and self.context.is_wanted(attempt.pending):
            conn.send(attempt)
            if not attempt.written and attempt.begin_by_ms < attempt.until_ms:
                self.loop.call_later((attempt.begin_by_ms - now) / 1000.0, self._begin_due, attempt)
            return True
        self.release(conn)
        return False

    async def _connect(self, attempt: Attempt) -> None:
        """Make a connection for an attempt; a further one if the node's address has changed meanwhile."""
        try:
            while attempt.pending.attempt is attempt:
                conn = await self._dial(attempt.shelf, attempt)
                if attempt.pending.attempt is not attempt:
                    self.release(conn)
                elif conn.transport.is_closing():
                    self.finish(attempt, Outcome.CONNECT_FAILED)
                elif conn.address == attempt.shelf.address:
                    if not self._begin(attempt, conn):
                        self.finish(attempt, Outcome.NOT_SENT)
                    return
                else:
                    conn.transport.abort()
        except asyncio.CancelledError:
            self.finish(attempt, Outcome.CONNECT_FAILED)
        except OSError as error:
            self.finish(attempt, Outcome.NOT_SENT if error.errno in LOCAL_ERRORS else Outcome.CONNECT_FAILED)
        finally:
            attempt.task = None

    async def _dial(self, shelf: Shelf, attempt: Attempt) -> ShelfConnection:
        """Return a connection to the node's present address; raises OSError, also if there are too many."""
        if self.connections + self.dialling >= self.max_connections and not self._close_longest_idle():
            raise OSError(errno.EMFILE, "all connections that shelfs may have are in use")
        assert attempt.task is not None
        address = shelf.address
        tasks = [attempt.task]  # emptied once it is over: the second of the two timers can't be cancelled
        due = self.loop.call_later(self.connect_ms / 1000.0, self.loop.call_later, GRACE_S, self._cancel_dial, tasks)
        self.dialling += 1
        try:
            _, conn = await self.loop.create_connection(lambda: ShelfConnection(self, shelf, address), *address)
        finally:
            self.dialling -= 1
            due.cancel()
            tasks.clear()
        return conn

    def _cancel_dial(self, tasks: list[asyncio.Task[None]]) -> None:
        for task in tasks:
            task.cancel()

    def _close_longest_idle(self) -> bool:
        """Close the connection that has been idle for longest; return whether there was one."""
        oldest = [shelf.idle[0] for shelf in self.table.values() if shelf.idle]
        if oldest:
            min(oldest, key=lambda conn: conn.idle_ms).shelf.idle.pop(0).transport.abort()
        return bool(oldest)

    def _close_idle(self, shelf: Shelf) -> None:
        for conn in shelf.idle:
            conn.transport.abort()
        shelf.idle.clear()

    def _forget_unused(self, shelf: Shelf) -> None:
        if not shelf.listed and not shelf.attempts and self.table.get(shelf.name) is shelf:
            del self.table[shelf.name]

    # ---- ends of attempts

    def _attempt_due(self, attempt: Attempt) -> None:
        attempt.timer = self.loop.call_later(GRACE_S, self._time_out, attempt)

    def _time_out(self, attempt: Attempt) -> None:
        self._close_connection(attempt)
        # One whose connection never came up has not been sent at all.
        self.finish(attempt, Outcome.TIMED_OUT if attempt.written else Outcome.NOT_SENT)

    def _begin_due(self, attempt: Attempt) -> None:
        """Its time to begin is over: if part of it is not sent yet, the node can't run it."""
        if not attempt.written and attempt.pending.attempt is attempt:
            self._close_connection(attempt)
            self.finish(attempt, Outcome.NOT_SENT)

    def _close_connection(self, attempt: Attempt) -> None:
        if attempt.conn is not None:
            attempt.conn.attempt = None
            attempt.conn.transport.abort()

    def _detach(self, attempt: Attempt) -> None:
        """Take an attempt out of the books."""
        attempt.pending.attempt = None
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None
        attempt.shelf.attempts -= 1
        self.attempts -= 1
        self._forget_unused(attempt.shelf)
