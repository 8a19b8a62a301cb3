"""Connections to storage nodes: one attempt at a time on each, and the outcome that each end of an attempt means.

Each way an attempt may end becomes the one outcome that the protocol names for it. A connection on which anything came
while no attempt was out on it is never used again.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from typing import Any, Protocol

from pebblehinge.http1 import HttpError, HttpResponse, ResponseParser
from pebblehinge.interface import Outcome
from pebblehinge.service.client_request import ClientRequest

MAX_BUFFERED_BYTES = 16 * 1024 * 1024  # bytes of incomplete responses, over all connections
UNREADABLE_STATUS = "unreadable"  # counted among the statuses of responses
NOT_RUN_STATUSES = (503, 504)  # only with these a storage node can say that it has not run the request


class ConnectionOwner(Protocol):
    """What a connection needs of the pools that it belongs to; see `ConnectionPools`.

    Attributes:
        clock: Returns the time in ms.
        connections: Number of connections that are up.
        buffered_bytes: Bytes of incomplete responses.
    """

    clock: Callable[[], float]
    connection_count: int
    buffered_bytes: int

    def count_response(self, status: str) -> None:
        """Count a response by its status."""

    def release(self, conn: NodeConnection) -> None:
        """Keep a connection for further attempts, or close it."""

    def finish_attempt(self, attempt: NodeAttempt, outcome: Outcome, data: bytes = b"") -> None:
        """End an attempt with its outcome."""


class NodeAttempt:
    """One attempt that is out.

    Attributes:
        pending: Its request.
        number: Its number within the request, from 0.
        node: The storage node that it goes to.
        deadline_ms: When it times out.
        begin_by_ms: When its last byte has to be sent, or it is not sent at all.
        conn: The connection that it is on.
        timer: Its time-out.
        task: Makes a connection for it.
        start_ms: When it began.
        is_written: Its last byte is with the kernel.
    """

    __slots__ = (
        "pending",
        "number",
        "node",
        "deadline_ms",
        "begin_by_ms",
        "conn",
        "deadline_timer",
        "connect_task",
        "start_ms",
        "is_written",
    )

    def __init__(self, pending: ClientRequest, number: int, node: StorageNode, deadline_ms: float, now: float) -> None:
        self.pending = pending
        self.number = number
        self.node = node
        self.deadline_ms = deadline_ms
        self.start_ms = now
        self.begin_by_ms = pending.begin_by_ms
        self.conn: NodeConnection | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.is_written = False


class StorageNode:
    """One storage node of the list.

    Attributes:
        name: Its id.
        address: Host and port.
        idle: Idle connections; the one used last is at the end and used first, so that few stay open.
        attempts: Number of attempts that are out.
        is_ready: The list has it as ready for requests.
    """

    __slots__ = ("name", "address", "idle_connections", "attempt_count", "is_ready")

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        self.name = name
        self.address = address
        self.idle_connections: list[NodeConnection] = []
        self.attempt_count = 0
        self.is_ready = True


class NodeConnection(asyncio.Protocol):
    """One connection to a storage node.

    Attributes:
        attempt: The attempt that is out on it.
        idle_ms: When it became idle.
        buffered_bytes: Bytes of an incomplete response.
    """

    __slots__ = (
        "owner",
        "node",
        "address",
        "transport",
        "parser",
        "attempt",
        "idle_since_ms",
        "poll",
        "buffered_bytes",
    )

    def __init__(self, owner: ConnectionOwner, node: StorageNode, address: tuple[str, int]) -> None:
        self.owner = owner
        self.node = node
        self.address = address
        self.parser = ResponseParser()
        self.attempt: NodeAttempt | None = None
        self.idle_since_ms = 0.0
        self.buffered_bytes = 0
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Prepare the connection for attempts."""
        self.transport = transport
        # With no room in the buffer a write goes out at once, and `resume_writing` says when all of it has gone.
        transport.set_write_buffer_limits(high=0)
        self.owner.connection_count += 1
        self.poll = select.poll()
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def is_current(self) -> bool:
        """Return whether it leads to where the list has the node, and has it as ready."""
        return self.node.is_ready and self.address == self.node.address

    def is_usable(self) -> bool:
        """Return whether it is open and nothing has come on it, by the socket and not by what the loop has read."""
        return not self.transport.is_closing() and not self.poll.poll(0)

    def send(self, attempt: NodeAttempt) -> None:
        """Write an attempt, with the time that is left for it."""
        self.attempt = attempt
        attempt.conn = self
        remaining_ms = max(1, int(attempt.deadline_ms - self.owner.clock()))
        self.transport.write(attempt.pending.head + b"X-Deadline-Ms: %d\r\n\r\n" % remaining_ms + attempt.pending.data)
        if not self.transport.is_closing() and not self.transport.get_write_buffer_size():
            attempt.is_written = True

    def resume_writing(self) -> None:
        """Note that all of the attempt has gone."""
        if self.attempt is not None and not self.transport.is_closing():
            self.attempt.is_written = True

    def data_received(self, data: bytes) -> None:
        """Read the response of the attempt."""
        attempt = self.attempt
        if attempt is None:
            self.transport.abort()
            return
        try:
            self.parser.feed(data)
            response = self.parser.next()
            self._set_buffered_bytes(self.parser.body_size)
        except HttpError:
            self.owner.count_response(UNREADABLE_STATUS)
            self.attempt = None
            self.transport.abort()
            self.owner.finish_attempt(attempt, Outcome.SERVER_ERROR)  # it has run, and its response is of no use
            return
        if response is None:
            return
        self.attempt = None
        self.owner.count_response(str(response.status))
        if response.keep_alive and attempt.is_written and not self.parser.buffer:
            self.owner.release(self)
        else:
            self.transport.abort()
        self.owner.finish_attempt(attempt, outcome_of(response), response.body)

    def _set_buffered_bytes(self, size: int) -> None:
        """Count an incomplete response; all of them together are bounded, whatever length each announces."""
        self.owner.buffered_bytes += size - self.buffered_bytes
        self.buffered_bytes = size
        if self.owner.buffered_bytes > MAX_BUFFERED_BYTES:
            raise HttpError(502, f"more than {MAX_BUFFERED_BYTES} bytes of answers that are not whole yet")

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempt that is out."""
        self.owner.connection_count -= 1
        self.owner.buffered_bytes -= self.buffered_bytes
        attempt = self.attempt
        self.attempt = None
        if self in self.node.idle_connections:
            self.node.idle_connections.remove(self)
        if attempt is not None:
            self.owner.finish_attempt(
                attempt, Outcome.CONNECTION_LOST if attempt.is_written else Outcome.CONNECT_FAILED
            )


def outcome_of(response: HttpResponse) -> Outcome:
    """Return the outcome that a complete response means."""
    if response.status == 200:
        return Outcome.SUCCEEDED
    if response.status in NOT_RUN_STATUSES and response.header_values(b"x-not-run") == [b"1"]:
        return Outcome.OVERLOADED
    return Outcome.SERVER_ERROR
