"""Base class of the parsers: reads complete HTTP messages from pieces of any size, by llhttp's strict grammar.

A reader stops at the end of a message and keeps the bytes that follow it. llhttp limits no sizes and accepts some
invalid lengths, so the size of the head, the number of headers, the size of the body and its framing are checked here.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import httptools

from pebblehinge.http1.chunked import ChunkedFraming
from pebblehinge.http1.errors import HttpError
from pebblehinge.http1.head import MAX_HEAD_BYTES, MAX_HEADERS, HeadFraming

MAX_REQUEST_BODY_BYTES = 64 * 1024  # the limit that the platform's protocol states
MAX_RESPONSE_BODY_BYTES = 1024 * 1024  # storage nodes send more than the protocol states
MAX_CHUNKED_SIZE_RATIO = 8  # of a chunked body on the wire to the limit of the body; 1-byte chunks need a ratio of 6
MAX_CONTENT_LENGTH_DIGITS = 15
HEADER_OVERHEAD_BYTES = 160  # of the objects that hold one header


class LlhttpParser(Protocol):
    """The interface that the request parser and the response parser of httptools share."""

    def feed_data(self, data: bytes | memoryview) -> None:
        """Parses a piece and calls the `on_` methods of the reader for its contents."""

    def get_http_version(self) -> str:
        """Returns the HTTP version of the message, such as "1.1"."""

    def should_keep_alive(self) -> bool:
        """Returns whether the connection stays open after the message."""


class MessageReader:
    """The framing of requests and responses: passes llhttp pieces that never extend past the end of a message.

    Attributes:
        buffer: Received bytes that are not parsed yet.
        body: The body parsed so far.
        body_size: Its length; a stream counts here the body that it has passed on.
        length: Value of Content-Length in bytes; 0 until the head is complete, and for a chunked body.
        error: The first error of the message; it is raised once the piece is parsed.
        head_framing: Tells where the pieces of the head end; None once it is complete.
        chunked_framing: Tells where the pieces of a chunked body end; None without one.
        is_interrupted: Whether the last call of `next` stopped at its limit, with bytes left to parse.
    """

    __slots__ = (
        "buffer",
        "parser",
        "headers",
        "body",
        "body_size",
        "head_size",
        "length",
        "message_begun",
        "complete",
        "keep_alive",
        "error",
        "wire_size",
        "head_framing",
        "chunked_framing",
        "is_interrupted",
    )

    parser: LlhttpParser
    max_body_bytes = MAX_REQUEST_BODY_BYTES  # bytes

    def __init__(self, parser_type: Callable[[object], LlhttpParser]) -> None:
        self.buffer = bytearray()
        self.parser = parser_type(self)
        self.is_interrupted = False
        self._reset()

    def _reset(self) -> None:
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.body_size = 0
        self.head_size = 0
        self.wire_size = 0  # bytes of a chunked body including its framing
        self.head_framing: HeadFraming | None = HeadFraming()
        self.length = 0
        self.message_begun = False
        self.complete = False
        self.keep_alive = False
        self.error: HttpError | None = None
        self.chunked_framing: ChunkedFraming | None = None

    @property
    def has_partial_message(self) -> bool:
        """Whether a message was received in part, but not completely."""
        return self.head_size > 0 or bool(self.buffer)

    @property
    def held_bytes(self) -> int:
        """Memory that the incomplete message and the buffer take, in bytes."""
        return len(self.buffer) + len(self.body) + self.head_size + HEADER_OVERHEAD_BYTES * len(self.headers)

    def discard(self) -> None:
        """Drops all bytes and the message that they began; the reader can't be used any more.

        This frees its memory at once, which llhttp's references to the reader would otherwise delay until a collection.
        """
        self.buffer.clear()
        self._reset()
        del self.parser

    def feed(self, data: bytes | memoryview) -> None:
        """Appends received bytes to the buffer; `next` of the subclass parses them."""
        self.buffer += data

    def _read_message(self, max_bytes: int | None = None) -> bool:
        """Parses up to the end of one message; returns whether the message is complete, or raises HttpError.

        Stops after about `max_bytes` bytes, if given.
        """
        buffer = self.buffer
        start = 0
        self.is_interrupted = False
        while start < len(buffer):
            if max_bytes is not None and start >= max_bytes:
                self.is_interrupted = True
                break
            in_head = self.head_framing is not None
            end = self._piece_end(start)
            if end is None:
                break
            if end == start:  # complete by Content-Length, but llhttp expects more: no further piece could end it
                buffer.clear()
                raise HttpError(502, "the end of the message can't be determined")
            with memoryview(buffer) as view, view[start:end] as piece:
                self._parse(piece, in_head)
            start = end
            if self.error is not None:
                buffer.clear()
                # Raises a copy, since the traceback of the original would keep a reference to this reader.
                raise HttpError(self.error.status, str(self.error))
            if self.complete:
                break
        del buffer[:start]  # once per call, not once per piece
        return self.complete

    def _parse(self, piece: memoryview, in_head: bool) -> None:
        """Passes a piece to llhttp and checks the sizes; stores any error in `error`."""
        try:
            self.parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            self.error = self.error or HttpError(400, "no other protocol is spoken here")
        except httptools.HttpParserError as error:
            self.error = self.error or HttpError(400, f"not HTTP/1.1: {str(error)[:80]}")
        if self.error is None:
            self._check_size(len(piece), in_head)

    def _piece_end(self, start: int) -> int | None:
        """Returns the end of the longest piece from `start` on that can't extend past this message.

        Returns None if more bytes are needed to tell.
        """
        if self.head_framing is not None:
            return self.head_framing.piece_end(self.buffer, start)
        if self.chunked_framing is not None:
            return self.chunked_framing.piece_end(self.buffer, start)
        return min(len(self.buffer), start + self.length - self.body_size)

    def _check_size(self, byte_count: int, in_head: bool) -> None:
        if in_head:
            self.head_size += byte_count
            if self.head_size > MAX_HEAD_BYTES:
                self.error = HttpError(431, f"a head of more than {MAX_HEAD_BYTES} bytes")
        elif self.chunked_framing is not None:
            self.wire_size += byte_count
            if self.wire_size > MAX_CHUNKED_SIZE_RATIO * self.max_body_bytes:
                self.error = HttpError(
                    413, f"a body of more than {MAX_CHUNKED_SIZE_RATIO * self.max_body_bytes} bytes with its framing"
                )

    def _read_framing(self, forbid_transfer_coding: bool) -> bool:
        """Reads how the length of the body is stated; returns whether it is stated at all.

        A length that is stated twice is an error (RFC 9112, 6.3), as it can hide a request in the body of another.
        """
        content_lengths = [value for name, value in self.headers if name == b"content-length"]
        transfer_codings = [value for name, value in self.headers if name == b"transfer-encoding"]
        self.head_framing = None
        self.length = 0
        if len(content_lengths) + len(transfer_codings) > 1:
            self.error = HttpError(400, "the body's length is told twice")
        elif transfer_codings:
            self.chunked_framing = ChunkedFraming()
            if transfer_codings[0].strip().lower() != b"chunked" or forbid_transfer_coding:
                self.error = HttpError(400, "a transfer coding that is not taken here")
        elif content_lengths:
            self._read_length(content_lengths[0])
        return bool(content_lengths or transfer_codings)

    def _read_length(self, value: bytes) -> None:
        """Parses the value of Content-Length."""
        if not value.isdigit() or len(value) > MAX_CONTENT_LENGTH_DIGITS:
            self.error = HttpError(400, "a content length that is no plain number")
            return
        self.length = int(value)
        if self.length > self.max_body_bytes:
            self.error = HttpError(413, f"a body of more than {self.max_body_bytes} bytes")

    # ---- callbacks of llhttp

    def on_message_begin(self) -> None:
        """Marks the start of a message; a second start before the end of the message is an error."""
        if self.message_begun and self.error is None:
            self.error = HttpError(400, "a message within a message")
        self.message_begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; a trailer only counts towards the size of the head."""
        if self.head_framing is None:
            self.head_size += len(name) + len(value)
            if self.head_size > MAX_HEAD_BYTES and self.error is None:
                self.error = HttpError(431, f"trailers of more than {MAX_HEAD_BYTES} bytes")
        elif len(self.headers) < MAX_HEADERS:
            self.headers.append((name.lower(), value))
        elif self.error is None:
            self.error = HttpError(431, f"more than {MAX_HEADERS} headers")

    def on_body(self, data: bytes) -> None:
        """Stores a part of the body."""
        self.body_size += len(data)
        if self.body_size > self.max_body_bytes:
            self.error = self.error or HttpError(413, f"a body of more than {self.max_body_bytes} bytes")
        else:
            self.body += data

    def on_message_complete(self) -> None:
        """Marks the message as complete."""
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()
