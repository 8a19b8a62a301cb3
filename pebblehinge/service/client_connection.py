"""A client's connection: reads requests, holds at most one open request, writes its answer.

A request that is not of the protocol's form is answered with an error, and its connection is closed behind it. Nothing
of it has been sent anywhere.

Reading is never paused: that a client has closed is seen at the end of its sending, which is behind whatever it sent. A
client that sends more ahead than is kept is answered for what is kept, then gets an error.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from pebblehinge.http1 import MAX_REQUEST_BODY_BYTES, HttpError, HttpRequest, RequestParser, write_response
from pebblehinge.service.client_request import ClientRequest, read_request
from pebblehinge.service.context import Registry
from pebblehinge.service.socket_state import is_peer_closed, is_readable

MAX_PIPELINED_BYTES = 2 * MAX_REQUEST_BODY_BYTES  # bytes of requests sent ahead; clients send one request at a time
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
LIVE_TARGET = b"/health/live"
READY_TARGET = b"/health/ready"


class ClientConnection(asyncio.Protocol):
    """One client's connection. At most one request of it is open; those sent ahead wait for its answer.

    Attributes:
        pending: The request that is open.
        keep_alive: The client lets the connection go on behind the last request.
        timeout_start_ms: When it came into its group, or when writing was paused.
        input_overflowed: More was sent ahead than is kept; what comes now is read and dropped.
        read_scheduled: `read_requests` is due once the loop has read more.
        write_paused: The client reads too slowly.
        closing: Our side has ended, or the client has gone.
        group: The registry's group that it is in.
        is_counted: It counts among the registry's connections.
        answer_deadline_ms: Until when the client of the last request waits for its answer.
    """

    __slots__ = (
        "registry",
        "transport",
        "sock",
        "parser",
        "pending",
        "keep_alive",
        "timeout_start_ms",
        "input_overflowed",
        "read_scheduled",
        "write_paused",
        "output_ended",
        "group",
        "is_counted",
        "answer_deadline_ms",
    )

    def __init__(self, registry: Registry[ClientConnection], sock: socket.socket) -> None:
        self.registry = registry
        self.sock = sock
        self.transport: Any = None
        self.parser = RequestParser()
        self.pending: ClientRequest | None = None
        self.keep_alive = True
        self.is_counted = True
        self.read_scheduled = False
        self.input_overflowed = False
        self.write_paused = False
        self.output_ended = False
        self.timeout_start_ms = 0.0
        self.answer_deadline_ms = 0.0
        self.group: dict[ClientConnection, None] | None = None

    # ---- reading

    def connection_made(self, transport: Any) -> None:
        """Wait for the first request."""
        self.transport = transport
        self.registry.move_to_group(self, self.registry.incomplete_group)

    def data_received(self, data: bytes) -> None:
        """Read on, unless a request is open."""
        if (
            self.output_ended or self.input_overflowed
        ):  # read and dropped: a close over unread bytes would lose the last answer
            return
        self.parser.feed(data)
        if self.pending is None:
            self.read_requests()
        if not self.output_ended and len(self.parser.buffer) > MAX_PIPELINED_BYTES:
            self.input_overflowed = True
            self.parser.buffer = self.parser.buffer[:MAX_PIPELINED_BYTES]
            if self.pending is None:
                self.read_requests()

    def read_requests(self) -> None:
        """Handle the requests that have come, one after the other, as far as each is answered at once.

        If more is unread on the socket, that is read first: it may be the client's end, or much more than is kept.
        """
        if (
            self.pending is None
            and not (self.output_ended or self.write_paused or self.input_overflowed)
            and self.has_unread_data()
        ):
            if not self.read_scheduled:
                self.read_scheduled = True
                self.registry.context.loop.call_soon(self._run_scheduled_read)
            return
        while self.pending is None and not self.output_ended and not self.write_paused:
            try:
                request = self.parser.next()
                if request is None:
                    self._handle_incomplete_request()
                    break
                self._handle_request(request)
            except HttpError as error:
                self.reject(error.status, str(error))
        if not self.output_ended and self.pending is None:
            group = self.registry.incomplete_group if self.parser.has_partial_message else self.registry.idle_group
            if self.group is not group:
                self.registry.move_to_group(self, group)

    def _run_scheduled_read(self) -> None:
        self.read_scheduled = False
        self.read_requests()

    def _handle_incomplete_request(self) -> None:
        """No request is complete: let a client that asks for it go on, and refuse one that sent too much."""
        if self.input_overflowed:
            raise HttpError(413, f"more than {MAX_PIPELINED_BYTES} bytes were sent ahead")
        if self.parser.expects_continue:
            self.parser.expects_continue = False
            self.transport.write(CONTINUE_RESPONSE)

    def _handle_request(self, request: HttpRequest) -> None:
        registry = self.registry
        if request.version not in ("1.0", "1.1"):
            raise HttpError(400, "not HTTP/1.1")
        self.keep_alive = request.keep_alive
        if request.method == b"GET" and request.target in (READY_TARGET, LIVE_TARGET):
            healthy = request.target == LIVE_TARGET or registry.context.is_ready()
            self.respond(200 if healthy else 503)
            return
        parsed = read_request(request, registry.context.config)
        if parsed.id in registry.open_request_ids:
            raise HttpError(400, "X-Request-Id: open already")
        registry.admit(self, parsed, request.body)

    # ---- answers

    def answer(self, status: int, body: bytes = b"", extra_headers: bytes = b"") -> None:
        """Write the final answer of the open request; what was sent ahead is handled in a turn of its own."""
        self.release_request()
        self.respond(status, body, extra_headers)
        if not self.output_ended:
            self.registry.move_to_group(self, self.registry.idle_group)
            if self.parser.buffer or self.input_overflowed:
                self.registry.context.loop.call_soon(self.read_requests)

    def release_request(self) -> None:
        """Have no request open any more."""
        if self.pending is not None:
            self.registry.open_request_ids.discard(self.pending.id)
            self.pending = None

    def respond(self, status: int, body: bytes = b"", extra_headers: bytes = b"") -> None:
        """Write a complete response; one that ends the connection says so."""
        if self.output_ended:
            return
        # While the gateway shuts down, a request sent behind this one is still owed an answer.
        last = self.registry.close_after_response and not self.parser.buffer and not self.has_unread_data()
        keep_alive = self.keep_alive and not last
        self.transport.write(write_response(status, body, keep_alive, extra_headers))
        if not keep_alive:
            self.close()

    def reject(self, status: int, text: str) -> None:
        """Answer a request that is not of the protocol's form, and read no further one."""
        self.keep_alive = False
        self.registry.protocol_error_count += 1
        self.respond(status, text.encode("latin-1", "replace") + b"\n")

    def pause_writing(self) -> None:
        """Handle no further request until the client has read."""
        self.write_paused = True
        self.timeout_start_ms = self.registry.context.clock()

    def resume_writing(self) -> None:
        """Handle what was sent meanwhile."""
        self.write_paused = False
        if self.pending is None and not self.output_ended:
            self.registry.context.loop.call_soon(self.read_requests)

    # ---- the end

    def close(self) -> None:
        """End our side once what was written has gone; the client's is read until its end, or for CLOSE_TIMEOUT_MS."""
        if not self.output_ended:
            self.output_ended = True
            self.parser.buffer = b""
            self.registry.move_to_group(self, self.registry.closing_group)
            if not self.transport.is_closing():
                self.transport.write_eof()

    def has_unread_data(self) -> bool:
        """Return whether anything is unread on the socket, which the loop may not have seen yet."""
        return not self.transport.is_closing() and is_readable(self.sock.fileno())

    def is_client_gone(self) -> bool:
        """Return whether the client has closed, seen by the loop or not: nothing more is begun for it then."""
        return self.transport.is_closing() or is_peer_closed(self.sock)

    def on_client_disconnect(self) -> None:
        """Drop what is open, as the client has gone; may be called repeatedly."""
        pending = self.pending
        self.output_ended = True
        self.parser.buffer = b""
        self.release_request()
        if pending is not None:
            self.registry.context.core.on_client_disconnect(self.registry.context.clock(), pending)

    def eof_received(self) -> None:
        """Treat the end of the client's sending as its leaving.

        `connection_lost` would be too late: it waits for what was written and is not read.
        """
        if not self.output_ended:
            self.registry.move_to_group(self, self.registry.closing_group)
        self.on_client_disconnect()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        if self.group is not None:
            self.group.pop(self, None)
            self.group = None
        self.registry.stop_counting(self)
        self.on_client_disconnect()
