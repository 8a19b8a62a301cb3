"""The connection of a client: handles its requests, one open request at a time, and writes the answers.

A request that violates the protocol is answered with an error, after which the connection is closed. No part of such a
request is sent to a storage node. Received bytes are parsed in the short steps of the work queue.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from pebblehinge.http1 import HttpError, response_head
from pebblehinge.service.client_input import ClientInput
from pebblehinge.service.client_memory import ClientMemory
from pebblehinge.service.client_request import ClientRequest
from pebblehinge.service.context import Registry
from pebblehinge.service.reasons import ClientCloseReason
from pebblehinge.service.request_handling import answer_expectation, handle_request
from pebblehinge.service.socket_state import is_peer_closed, is_readable
from pebblehinge.service.work_queue import StepResult


class ClientConnection(asyncio.BufferedProtocol):
    """The connection of one client, with at most one open request; requests sent ahead wait for its answer.

    Attributes:
        pending: The open request, or None.
        keep_alive: Whether the connection may stay open after the answer to the last request.
        timeout_start_ms: Clock time from which timeouts count: its entry into the group, or the last pause of writing.
        input: The bytes that the client has sent and that are not handled yet.
        memory: What the connection charges to the memory budget.
        is_queued: Whether the connection is in the work queue.
        write_paused: Whether the write buffer is full, as the client reads too slowly.
        output_ended: Whether nothing more is written: the gateway closed its side, or the client is gone.
        group: The registry's group that contains the connection, or None.
        is_counted: Whether the registry's connection count includes the connection.
        answer_deadline_ms: Clock time until which the client waits for the answer to its last request.
    """

    __slots__ = (
        "registry",
        "transport",
        "sock",
        "input",
        "memory",
        "pending",
        "keep_alive",
        "timeout_start_ms",
        "is_queued",
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
        self.input = ClientInput()
        self.memory = ClientMemory()
        self.pending: ClientRequest | None = None
        self.keep_alive = True
        self.is_counted = True
        self.is_queued = False
        self.write_paused = False
        self.output_ended = False
        self.timeout_start_ms = 0.0
        self.answer_deadline_ms = 0.0
        self.group: dict[ClientConnection, None] | None = None

    # ---- reading requests

    def connection_made(self, transport: Any) -> None:
        """Adds the connection to the group of those without a complete request."""
        self.transport = self.input.transport = transport
        self.registry.move_to_group(self, self.registry.incomplete_group)
        self.registry.charge(self)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Returns the buffer into which the transport reads."""
        return self.registry.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Takes the bytes that the transport has read into the buffer."""
        with memoryview(self.registry.read_buffer) as view, view[:nbytes] as data:
            self.data_received(data)

    def data_received(self, data: bytes | memoryview) -> None:
        """Buffers received bytes, and queues the connection for a step."""
        if self.output_ended or self.input.has_overflowed:
            self.input.drop(len(data), can_pause=self.pending is None)
            if self.input.complete_request is not None:
                self.registry.work_queue.add(self)
            return
        self.input.last_read_ms = self.registry.earliest_arrival_ms()
        self.input.add(data, self.is_sent_ahead)
        self.registry.work_queue.add(self)
        self.registry.charge(self)
        self.registry.free_memory(self)

    @property
    def is_sent_ahead(self) -> bool:
        """Whether input has to wait for an answer to an earlier request."""
        return self.pending is not None or self.write_paused

    def step(self) -> StepResult:
        """Parses a part of the buffered bytes, or handles a complete request."""
        if self.is_sent_ahead or self.output_ended:
            return StepResult.DONE
        try:
            if self.input.parse_step():
                if self.has_unread_data():  # It is read first, as it may be the end of stream; that queues a step.
                    self.registry.update_group(self)
                    return StepResult.DONE
                handle_request(self, self.input.take_request(), self.registry.context, self.registry.admission)
                has_more = self.input.has_unhandled
            else:
                answer_expectation(self)
                has_more = self.input.parser.is_interrupted
        except HttpError as error:
            self.reject(error.status, str(error))
        self.registry.charge(self)
        if self.is_sent_ahead or self.output_ended:
            return StepResult.DONE
        self.registry.update_group(self)
        return StepResult.MORE if has_more else StepResult.DONE

    def enter_active_group(self) -> None:
        """Moves the connection to the group of those with an open request."""
        self.registry.move_to_group(self, self.registry.active_group)

    # ---- writing answers

    def answer(self, status: int, body: bytes = b"", extra_headers: bytes = b"") -> None:
        """Writes the final answer of the open request; requests sent ahead are handled in a later loop iteration."""
        self.release_request()
        self.respond(status, body, extra_headers)
        if not self.output_ended:
            self.registry.move_to_group(self, self.registry.idle_group)
            if self.input.has_unhandled:
                self.registry.work_queue.add(self)

    def release_request(self) -> None:
        """Removes the open request, if any, and its id."""
        if self.pending is not None:
            self.registry.admission.release_id(self.pending)
            self.pending = None

    def respond(
        self,
        status: int,
        body: bytes = b"",
        extra_headers: bytes = b"",
        close_reason: ClientCloseReason | None = None,
    ) -> None:
        """Writes a complete response; the last one on the connection has `Connection: close`."""
        if self.output_ended:
            return
        # During shutdown, a request sent after this one must still be answered.
        is_last = self.registry.close_after_response and not self.input.parser.buffer and not self.has_unread_data()
        keep_alive = self.keep_alive and not is_last
        head = response_head(status, len(body), keep_alive, extra_headers)
        self.transport.writelines([head, body])
        self.memory.answer_bytes += len(head) + len(body)
        self.registry.charge(self)
        if not keep_alive:
            self.close(close_reason or (ClientCloseReason.SHUTDOWN if is_last else ClientCloseReason.CLIENT_ASKED))

    def reject(
        self,
        status: int,
        text: str,
        reason: ClientCloseReason = ClientCloseReason.PROTOCOL_ERROR,
        extra_headers: bytes = b"",
    ) -> None:
        """Answers a request that violates the protocol, is incomplete or has no room, and closes the connection."""
        self.keep_alive = False
        self.registry.count_error(status)
        self.respond(status, text.encode("latin-1", "replace") + b"\n", extra_headers, reason)

    def pause_writing(self) -> None:
        """Stops the handling of requests until the client has read the answers."""
        self.write_paused = True
        self.timeout_start_ms = self.registry.context.clock()

    def resume_writing(self) -> None:
        """Queues the requests that arrived during the pause."""
        self.write_paused = False
        self.registry.charge(self)
        if self.pending is None and not self.output_ended:
            self.registry.work_queue.add(self)

    # ---- closing

    def close(self, reason: ClientCloseReason) -> None:
        """Closes the gateway's side once all is written; reads the client's until its end, or for CLOSE_TIMEOUT_MS."""
        if not self.output_ended:
            self.output_ended = True
            self.registry.client_closes.add(reason)
            self.input.clear()
            self.registry.move_to_group(self, self.registry.closing_group)
            if not self.transport.is_closing():
                self.transport.write_eof()
            self.registry.charge(self)

    def abort(self, reason: ClientCloseReason) -> None:
        """Ends the connection at once, with what is not written."""
        if not self.output_ended or self.group is self.registry.closing_group:
            self.registry.client_closes.add(reason)
        self.output_ended = True
        self.registry.remove(self)
        self.transport.abort()

    def has_unread_data(self) -> bool:
        """Returns whether the socket has unread data, even if the event loop has not noticed it yet."""
        return not self.transport.is_closing() and is_readable(self.sock.fileno())

    def is_client_gone(self) -> bool:
        """Returns whether the client has closed, even if the loop has not noticed it yet."""
        return self.transport.is_closing() or is_peer_closed(self.sock)

    def on_client_disconnect(self) -> None:
        """Drops the buffered and open requests of a client that is gone; may be called repeatedly."""
        pending = self.pending
        if not self.output_ended:
            self.output_ended = True
            self.registry.client_closes.add(ClientCloseReason.CLIENT_LEFT)
        self.release_request()
        self.input.clear()
        self.registry.charge(self)
        if pending is not None:
            self.registry.context.core.on_client_disconnect(self.registry.context.clock(), pending)

    def eof_received(self) -> None:
        """Treats the client's end of stream as its disconnection.

        `connection_lost` comes too late for that, as it waits until the client has read all written bytes.
        """
        if not self.output_ended:
            self.registry.move_to_group(self, self.registry.closing_group)
        self.on_client_disconnect()

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection from the registry."""
        self.registry.remove(self)
        self.memory.answer_bytes = 0  # The transport keeps no answer any longer.
        self.on_client_disconnect()
