"""Complete HTTP messages from bytes in pieces of any size, by llhttp's strict grammar.

A reader stops at the end of a message and keeps the bytes behind it. llhttp bounds nothing and is lenient about lengths
in places, so the size of the head, the number of headers, the size of the body and its framing are checked here.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import httptools

HEAD_END = b"\r\n\r\n"
MAX_HEAD_BYTES = 16 * 1024  # bytes of a head, from its first byte, and of trailers
MAX_HEADERS = 64
MAX_REQUEST_BODY_BYTES = 64 * 1024  # bytes of a request's body, as the platform's protocol states
MAX_RESPONSE_BODY_BYTES = 1024 * 1024  # bytes of a response's body: storage nodes send more than the protocol says
MAX_CHUNKED_SIZE_RATIO = 8  # a chunked body may take this many times its limit on the wire: chunks of one byte take six
MAX_CONTENT_LENGTH_DIGITS = 15  # of a Content-Length


class HttpError(Exception):
    """A message that can't be read further; `status` is what its sender may be answered."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class LlhttpParser(Protocol):
    """What the parsers of httptools for requests and for responses have in common."""

    def feed_data(self, data: bytes) -> None:
        """Parse a piece, calling the reader's `on_` methods meanwhile."""

    def get_http_version(self) -> str:
        """Return the version of the message, such as "1.1"."""

    def should_keep_alive(self) -> bool:
        """Return whether the connection goes on after the message."""


class MessageReader:
    """Framing shared by both directions: llhttp gets pieces that never go past the end of a message.

    Attributes:
        buffer: Bytes received and not parsed yet.
        body_size: Bytes of the body parsed so far.
        length: Bytes of the body by Content-Length; 0 until the head is complete, and for a chunked body.
        error: What is wrong with the message; raised once the piece is parsed.
    """

    __slots__ = (
        "buffer",
        "parser",
        "headers",
        "body_parts",
        "body_size",
        "head_size",
        "head_tail",
        "head_complete",
        "length",
        "chunked",
        "message_begun",
        "complete",
        "keep_alive",
        "error",
        "wire_size",
    )

    parser: LlhttpParser
    max_body_bytes = MAX_REQUEST_BODY_BYTES  # bytes

    def __init__(self, parser_type: Callable[[object], LlhttpParser]) -> None:
        self.buffer = b""
        self.parser = parser_type(self)
        self._reset()

    def _reset(self) -> None:
        self.headers: list[tuple[bytes, bytes]] = []
        self.body_parts: list[bytes] = []
        self.body_size = 0
        self.head_size = 0
        self.wire_size = 0  # bytes of a chunked body with its framing
        self.head_tail = b""  # the last three bytes of an incomplete head
        self.head_complete = False
        self.length = 0
        self.chunked = False
        self.message_begun = False
        self.complete = False
        self.keep_alive = False
        self.error: HttpError | None = None

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a message has come, and not all of it."""
        return self.head_size > 0 or bool(self.buffer)

    def feed(self, data: bytes) -> None:
        """Append received bytes to the buffer; they are parsed by `next` of the subclass."""
        self.buffer = self.buffer + data if self.buffer else data

    def _read_message(self) -> bool:
        """Parse up to the end of one message, if it has come; return whether it has, or raise HttpError."""
        buffer = self.buffer
        start = 0
        while start < len(buffer):
            in_head = not self.head_complete
            end = self._piece_end(buffer, start)
            if end == start:  # complete by its length, while llhttp waits for more: no piece would ever end it
                self.buffer = b""
                raise HttpError(502, "a message whose end can't be told")
            piece = buffer[start:end]
            start = end
            self._parse(piece, in_head)
            if self.error is not None:
                self.buffer = b""
                raise HttpError(self.error.status, str(self.error))  # a new one: its traceback would hold the reader
            if self.complete:
                break
        self.buffer = buffer[start:]  # cut once a message, however many pieces it has
        return self.complete

    def _parse(self, piece: bytes, in_head: bool) -> None:
        """Pass a piece to llhttp and check the sizes; what is wrong is left in `error`."""
        try:
            self.parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            self.error = self.error or HttpError(400, "no other protocol is spoken here")
        except httptools.HttpParserError as error:
            self.error = self.error or HttpError(400, f"not HTTP/1.1: {str(error)[:80]}")
        if self.error is None:
            self._check_size(len(piece), in_head)

    def _piece_end(self, buffer: bytes, start: int) -> int:
        """Return up to where the buffer, from `start` on, can't go past the end of this message."""
        if not self.head_complete:
            return self._head_piece_end(buffer, start)
        if self.chunked:  # a message's end is a line's end
            end = buffer.find(b"\n", start)
            return len(buffer) if end < 0 else end + 1
        return min(len(buffer), start + self.length - self.body_size)

    def _head_piece_end(self, buffer: bytes, start: int) -> int:
        """Return the end of the head, whose last line end may have begun in an earlier piece, or of the buffer."""
        across = (self.head_tail + buffer[start : start + 3]).find(HEAD_END)
        found = start + across - len(self.head_tail) if across >= 0 else buffer.find(HEAD_END, start)
        end = len(buffer) if across < 0 and found < 0 else found + len(HEAD_END)
        self.head_tail = (self.head_tail + buffer[max(start, end - 3) : end])[-3:]
        return end

    def _check_size(self, count: int, in_head: bool) -> None:
        if in_head:
            self.head_size += count
            if self.head_size > MAX_HEAD_BYTES:
                self.error = HttpError(431, f"a head of more than {MAX_HEAD_BYTES} bytes")
        elif self.chunked:
            self.wire_size += count
            if self.wire_size > MAX_CHUNKED_SIZE_RATIO * self.max_body_bytes:
                self.error = HttpError(
                    413, f"a body of more than {MAX_CHUNKED_SIZE_RATIO * self.max_body_bytes} bytes with its framing"
                )

    def _read_framing(self, bodyless: bool) -> bool:
        """Read how the body's length is given; return whether it is.

        One that is given twice is an error (RFC 9112, 6.3): it may hide a message within another.
        """
        lengths = [value for name, value in self.headers if name == b"content-length"]
        codings = [value for name, value in self.headers if name == b"transfer-encoding"]
        self.head_complete = True
        self.length = 0
        if len(lengths) + len(codings) > 1:
            self.error = HttpError(400, "the body's length is told twice")
        elif codings:
            self.chunked = codings[0].strip().lower() == b"chunked"
            if not self.chunked or bodyless:
                self.error = HttpError(400, "a transfer coding that is not taken here")
        elif lengths:
            self._read_length(lengths[0])
        return bool(lengths or codings)

    def _read_length(self, value: bytes) -> None:
        """Read a Content-Length."""
        if not value.isdigit() or len(value) > MAX_CONTENT_LENGTH_DIGITS:
            self.error = HttpError(400, "a content length that is no plain number")
            return
        self.length = int(value)
        if self.length > self.max_body_bytes:
            self.error = HttpError(413, f"a body of more than {self.max_body_bytes} bytes")

    # ---- called by llhttp

    def on_message_begin(self) -> None:
        """Begin a message."""
        if self.message_begun and self.error is None:
            self.error = HttpError(400, "a message within a message")
        self.message_begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; a trailer is only counted."""
        if self.head_complete:
            self.head_size += len(name) + len(value)
            if self.head_size > MAX_HEAD_BYTES and self.error is None:
                self.error = HttpError(431, f"trailers of more than {MAX_HEAD_BYTES} bytes")
        elif len(self.headers) < MAX_HEADERS:
            self.headers.append((name.lower(), value))
        elif self.error is None:
            self.error = HttpError(431, f"more than {MAX_HEADERS} headers")

    def on_body(self, data: bytes) -> None:
        """Keep a piece of the body."""
        self.body_size += len(data)
        if self.body_size > self.max_body_bytes:
            self.error = self.error or HttpError(413, f"a body of more than {self.max_body_bytes} bytes")
        else:
            self.body_parts.append(data)

    def on_message_complete(self) -> None:
        """End the message."""
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()
