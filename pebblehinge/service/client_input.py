"""The bytes that a client has sent and that are not handled yet.

While many bytes of one request wait to be parsed, reading is paused. The bytes behind a complete request are read all
the same, since the client's end of stream, by which the gateway notices that it has closed, comes after them; they are
limited. A client that exceeds the limit gets answers to the requests within it, then an error.
"""

from __future__ import annotations

from typing import Any

from pebblehinge.http1 import HEADER_OVERHEAD_BYTES, MAX_REQUEST_BODY_BYTES, HttpError, HttpRequest, RequestParser

MAX_PIPELINED_BYTES = 2 * MAX_REQUEST_BODY_BYTES  # Limit of bytes sent ahead; clients send one request at a time.
MAX_UNPARSED_BYTES = MAX_REQUEST_BODY_BYTES  # Reading is paused beyond this, until all of it is parsed.
MAX_DROPPED_BYTES = 64 * 1024  # Of input that is not wanted: reading is paused after as much, until the next check.
STEP_BYTES = 1024  # About what one step parses, as a chunked body may take a quarter of a microsecond a byte.


class ClientInput:
    """The input of one client connection.

    Attributes:
        transport: The transport of the connection, None before it is made.
        parser: The parser, with the bytes that are not parsed yet.
        last_read_ms: Clock time before which the last bytes arrived, at the latest.
        complete_request: A request that is parsed and not handled yet, or None.
        has_overflowed: Whether too much was sent ahead; further bytes are read and dropped.
        is_dropped_for_memory: Whether that was less than the limit, but there was no memory for it.
        is_read_paused: Whether reading is paused, as many bytes wait to be parsed.
        is_cleared: Whether no input is wanted any more.
        dropped_bytes: Bytes that were read and dropped since the last check.
    """

    __slots__ = (
        "transport",
        "parser",
        "last_read_ms",
        "complete_request",
        "has_overflowed",
        "is_dropped_for_memory",
        "is_read_paused",
        "is_cleared",
        "dropped_bytes",
    )

    def __init__(self) -> None:
        self.transport: Any = None
        self.parser = RequestParser()
        self.last_read_ms = 0.0
        self.complete_request: HttpRequest | None = None
        self.has_overflowed = False
        self.is_dropped_for_memory = False
        self.is_read_paused = False
        self.is_cleared = False
        self.dropped_bytes = 0

    @property
    def has_unhandled(self) -> bool:
        """Whether bytes or a request wait to be handled, or an error for dropped ones is due."""
        return bool(self.parser.buffer) or self.has_overflowed or self.complete_request is not None

    @property
    def has_partial_request(self) -> bool:
        """Whether a part of a request, or one that is not handled yet, has arrived."""
        return self.complete_request is not None or self.parser.has_partial_message

    @property
    def held_bytes(self) -> int:
        """Memory that the input takes, in bytes."""
        request = self.complete_request
        request_bytes = len(request.body) + HEADER_OVERHEAD_BYTES * len(request.headers) if request is not None else 0
        return request_bytes + self.parser.held_bytes

    def add(self, data: bytes | memoryview, is_sent_ahead: bool) -> None:
        """Appends received bytes.

        Args:
            data: The bytes.
            is_sent_ahead: Whether they can't be handled yet, as an answer has to come first.
        """
        self.parser.feed(data)
        if is_sent_ahead or self.complete_request is not None:
            if len(self.parser.buffer) > MAX_PIPELINED_BYTES:
                self._drop_beyond(MAX_PIPELINED_BYTES)
        elif not self.is_read_paused and len(self.parser.buffer) > MAX_UNPARSED_BYTES:
            self.is_read_paused = True
            self.transport.pause_reading()

    def drop(self, byte_count: int, can_pause: bool) -> None:
        """Notes that bytes were read and dropped, as a close over unread bytes could lose the last answer.

        Args:
            byte_count: Their number; after many of them reading is paused.
            can_pause: Whether it may be; the client of an open request must be seen to leave.
        """
        self.dropped_bytes += byte_count
        is_much = self.dropped_bytes > MAX_DROPPED_BYTES
        if can_pause and is_much and not self.is_read_paused and not self.transport.is_closing():
            self.is_read_paused = True
            self.transport.pause_reading()

    def resume_dropping(self) -> None:
        """Reads and drops bytes again; called periodically."""
        if self.dropped_bytes:
            self.dropped_bytes = 0
            self.resume_reading()

    def drop_sent_ahead(self) -> None:
        """Drops all bytes that were sent ahead, to free memory."""
        self.is_dropped_for_memory = True
        self._drop_beyond(0)

    def _drop_beyond(self, kept_bytes: int) -> None:
        self.has_overflowed = True
        del self.parser.buffer[kept_bytes:]
        self.resume_reading()

    def parse_step(self) -> bool:
        """Parses STEP_BYTES, unless a complete request waits to be handled; returns whether one does now.

        Raises:
            HttpError: The bytes are no valid request, or bytes behind them were dropped.
        """
        if self.complete_request is None:
            self.complete_request = self.parser.next(STEP_BYTES)
        if self.complete_request is not None:
            self.resume_reading()
            return True
        if not self.parser.is_interrupted:
            self.resume_reading()
            if self.has_overflowed:
                self._raise_overflow()
        return False

    def _raise_overflow(self) -> None:
        if self.is_dropped_for_memory:
            raise HttpError(503, "no memory for what was sent ahead")
        raise HttpError(413, f"more than {MAX_PIPELINED_BYTES} bytes were sent ahead")

    def take_request(self) -> HttpRequest:
        """Returns the complete request, to be handled now."""
        request = self.complete_request
        assert request is not None
        self.complete_request = None
        return request

    def resume_reading(self) -> None:
        """Reads from the socket again."""
        if self.is_read_paused and not self.transport.is_closing():
            self.is_read_paused = False
            self.transport.resume_reading()

    def clear(self) -> None:
        """Drops all bytes and the request that they began; the caller drops further ones, and parses no more."""
        if not self.is_cleared:
            self.is_cleared = True
            self.parser.discard()
            self.complete_request = None
            self.has_overflowed = False
            self.resume_reading()
