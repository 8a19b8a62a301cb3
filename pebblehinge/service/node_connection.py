"""Connections to storage nodes, each with at most one attempt in flight, and the outcomes of these attempts.

Each way in which an attempt can end is mapped to the one outcome that the protocol defines for it. A connection that
received bytes while no attempt was in flight on it is never used again.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from typing import Any, Protocol

from pebblehinge.http1 import HttpError, HttpResponse, ResponseParser
from pebblehinge.interface import Outcome
from pebblehinge.service.node_attempt import NodeAttempt
from pebblehinge.service.reasons import NodeCloseReason, ReasonCounts
from pebblehinge.service.response_flow import ResponseFlow

MAX_BUFFERED_BYTES = 16 * 1024 * 1024  # Limit of all incomplete responses together.
CHUNKED_READ_BYTES = 4096  # What is read at once of a chunked answer, which may take a microsecond a chunk.
UNREADABLE_STATUS = "unreadable"  # Counts invalid responses, in place of a status code.
NOT_RUN_STATUSES = (503, 504)  # Only with these can a storage node state that it has not run the request.


class ConnectionOwner(Protocol):
    """The part of `ConnectionPools` that a connection uses.

    Attributes:
        clock: Returns the clock time in milliseconds.
        connection_count: Number of established connections.
        buffered_bytes: Bytes of incomplete responses on all connections.
        closes: Counts of closed connections by reason.
        response_flow: Limits the memory of incomplete responses.
        read_buffer: The buffer into which all connections read.
    """

    clock: Callable[[], float]
    connection_count: int
    buffered_bytes: int
    closes: ReasonCounts
    response_flow: ResponseFlow
    read_buffer: bytearray

    def count_response(self, status: str) -> None:
        """Counts a response by its status."""

    def release(self, conn: NodeConnection) -> None:
        """Keeps a connection for further attempts, or closes it."""

    def finish_attempt(self, attempt: NodeAttempt, outcome: Outcome, data: bytes = b"") -> None:
        """Ends an attempt with its outcome."""


class StorageNode:
    """One storage node of the node list.

    Attributes:
        name: Id of the node.
        address: Host and port of the node.
        idle_connections: Idle connections; the most recently used is last and reused first, so that few stay open.
        attempt_count: Number of attempts in flight.
        is_ready: Whether the node list states that the node is ready for requests.
    """

    __slots__ = ("name", "address", "idle_connections", "attempt_count", "is_ready")

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        self.name = name
        self.address = address
        self.idle_connections: list[NodeConnection] = []
        self.attempt_count = 0
        self.is_ready = True


class NodeConnection(asyncio.BufferedProtocol):
    """One connection to a storage node.

    Attributes:
        address: Host and port to which the connection was opened.
        attempt: The attempt in flight on the connection, or None.
        idle_since_ms: Clock time at which the connection became idle.
        poll: Polls the socket for unread data.
        buffered_bytes: Bytes of an incomplete response.
        close_reason: Why the gateway closed the connection, None while it has not.
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
        "close_reason",
    )

    def __init__(self, owner: ConnectionOwner, node: StorageNode, address: tuple[str, int]) -> None:
        self.owner = owner
        self.node = node
        self.address = address
        self.parser = ResponseParser()
        self.attempt: NodeAttempt | None = None
        self.idle_since_ms = 0.0
        self.buffered_bytes = 0
        self.close_reason: NodeCloseReason | None = None
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Prepares the connection for attempts."""
        self.transport = transport
        # A limit of 0 makes the transport write at once, and call `resume_writing` once the kernel has all bytes.
        transport.set_write_buffer_limits(high=0)
        self.owner.connection_count += 1
        self.poll = select.poll()
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def is_current(self) -> bool:
        """Returns whether the node list states that the node is ready, at the address of this connection."""
        return self.node.is_ready and self.address == self.node.address

    def is_usable(self) -> bool:
        """Returns whether the connection is open without unread data, by the state of the socket itself."""
        return not self.transport.is_closing() and not self.poll.poll(0)

    def send(self, attempt: NodeAttempt) -> None:
        """Writes an attempt, with its remaining time in X-Deadline-Ms."""
        self.attempt = attempt
        attempt.conn = self
        remaining_ms = max(1, int(attempt.deadline_ms - self.owner.clock()))
        head = attempt.pending.head + b"X-Deadline-Ms: %d\r\n\r\n" % remaining_ms
        self.transport.writelines([head, attempt.pending.data])
        if not self.transport.is_closing() and not self.transport.get_write_buffer_size():
            attempt.is_written = True

    def resume_writing(self) -> None:
        """Marks the attempt as completely written."""
        if self.attempt is not None and not self.transport.is_closing():
            self.attempt.is_written = True

    def get_buffer(self, sizehint: int) -> bytearray | memoryview:
        """Returns the buffer into which the transport reads, a part of it for what takes long to parse."""
        if self.parser.chunked_framing is not None:
            return memoryview(self.owner.read_buffer)[:CHUNKED_READ_BYTES]
        return self.owner.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Takes the bytes that the transport has read into the buffer."""
        with memoryview(self.owner.read_buffer) as view, view[:nbytes] as data:
            self.data_received(data)

    def data_received(self, data: bytes | memoryview) -> None:
        """Reads the response to the attempt."""
        attempt = self.attempt
        if attempt is None:
            self.abort(NodeCloseReason.UNSOLICITED_BYTES)
            return
        try:
            self.parser.feed(data)
            response = self.parser.next()
            self._set_buffered_bytes(self.parser.body_size)
            self.owner.response_flow.update(self, self.parser.held_bytes)
        except HttpError:
            self.owner.count_response(UNREADABLE_STATUS)
            self.attempt = None
            self.abort(NodeCloseReason.ANSWER_INVALID)
            # The node has run the attempt, but its response is unusable.
            self.owner.finish_attempt(attempt, Outcome.SERVER_ERROR)
            return
        if response is None:
            if self.parser.chunked_framing is not None:
                self.owner.response_flow.yield_turn(self)
            return
        self.attempt = None
        self.owner.count_response(str(response.status))
        if response.keep_alive and attempt.is_written and not self.parser.buffer:
            self.owner.release(self)
        else:
            self.abort(NodeCloseReason.ANSWER_LAST)
        self.owner.finish_attempt(attempt, outcome_of(response), response.body)

    def abort(self, reason: NodeCloseReason) -> None:
        """Closes the connection at once."""
        self.close_reason = self.close_reason or reason
        self.transport.abort()

    def _set_buffered_bytes(self, size: int) -> None:
        """Updates the size of the incomplete response; raises HttpError if all of them together exceed the limit."""
        self.owner.buffered_bytes += size - self.buffered_bytes
        self.buffered_bytes = size
        if self.owner.buffered_bytes > MAX_BUFFERED_BYTES:
            raise HttpError(502, f"more than {MAX_BUFFERED_BYTES} bytes of incomplete responses are buffered")

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the attempt in flight, if any."""
        self.owner.connection_count -= 1
        self.owner.buffered_bytes -= self.buffered_bytes
        self.owner.response_flow.end(self)
        self.parser.discard()
        self.owner.closes.add(self.close_reason or NodeCloseReason.NODE_CLOSED)
        attempt = self.attempt
        self.attempt = None
        if self in self.node.idle_connections:
            self.node.idle_connections.remove(self)
        if attempt is not None:
            self.owner.finish_attempt(
                attempt, Outcome.CONNECTION_LOST if attempt.is_written else Outcome.CONNECT_FAILED
            )


def outcome_of(response: HttpResponse) -> Outcome:
    """Returns the outcome that a complete response stands for."""
    if response.status == 200:
        return Outcome.SUCCEEDED
    if response.status in NOT_RUN_STATUSES and response.header_values(b"x-not-run") == [b"1"]:
        return Outcome.OVERLOADED
    return Outcome.SERVER_ERROR
