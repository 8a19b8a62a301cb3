"""Whole messages out of bytes in any pieces, on llhttp's strict grammar.

A reader stops at a message's end and keeps what follows. llhttp bounds nothing and judges lengths leniently in
places: bytes of the head, count of headers, body, and how a body's length is told are looked at here.
"""

from __future__ import annotations

from collections.abc import Callable

import httptools

HEAD_END = b"\r\n\r\n"
HEAD_LIMIT = 16 * 1024  # bytes of a head, from its first byte, and of trailers
HEADERS_LIMIT = 64
BODY_LIMIT = 64 * 1024  # bytes of a request's body, as the platform's protocol states
ANSWER_LIMIT = 1024 * 1024  # bytes of an answer's: shelfs in service send more than the protocol says
FRAMING = 8  # times the most bytes of a body may come with its chunks' framing: those of one byte cost five more
INFORMATIONAL_LIMIT = 8  # 1xx answers passed over in front of one answer


class HttpError(Exception):
    """A message that can't be read further; `status` is what its sender may be told."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class _Message:
    """One whole message. Names of headers are in small letters, values as they came."""

    __slots__ = ("headers", "body", "keep_alive")

    def __init__(self, headers: list[tuple[bytes, bytes]], body: bytes, keep_alive: bool) -> None:
        self.headers, self.body, self.keep_alive = headers, body, keep_alive

    def all(self, name: bytes) -> list[bytes]:
        return [v for n, v in self.headers if n == name]


class _Reader:
    """What both directions share: pieces are handed to the parser so that none goes past a message's end."""

    __slots__ = (
        "buffer",
        "parser",
        "headers",
        "parts",
        "size",
        "head",
        "tail",
        "length",
        "chunked",
        "began",
        "done",
        "keeps",
        "fault",
        "wire",
    )

    most = BODY_LIMIT

    def __init__(self, parser: Callable[[object], object]) -> None:
        self.buffer = b""
        self.parser = parser(self)
        self._renew()

    def _renew(self) -> None:
        self.headers: list[tuple[bytes, bytes]] = []
        self.parts: list[bytes] = []
        self.size = self.head = self.wire = 0
        self.tail = b""
        self.length = -1  # of the body; -1 until the head is whole
        self.chunked = self.began = self.done = self.keeps = False
        self.fault: tuple[int, str] | None = None

    @property
    def partial(self) -> bool:
        """Part of a message has come, and not all of it."""
        return self.head > 0 or bool(self.buffer)

    def feed(self, data: bytes) -> None:
        self.buffer = self.buffer + data if self.buffer else data

    def _next(self) -> bool:
        """Reads on to the end of one message, if it is there; raises HttpError where it can't be read."""
        buffer, at = self.buffer, 0
        while at < len(buffer):
            heading, end = self.length < 0, self._end(buffer, at)
            if end == at:  # all of it has come by its length, and the parser waits for more: no piece would ever end it
                self.buffer = b""
                raise HttpError(502, "a message whose end can't be told")
            piece, at = buffer[at:end], end
            try:
                self.parser.feed_data(piece)
            except httptools.HttpParserUpgrade:
                self.fault = self.fault or (400, "no other protocol is spoken here")
            except httptools.HttpParserError as error:
                self.fault = self.fault or (400, f"not HTTP/1.1: {str(error)[:80]}")
            if self.fault is None:
                self._bound(len(piece), heading)
            if self.fault is not None:
                self.buffer = b""
                raise HttpError(*self.fault)
            if self.done:
                break
        self.buffer = buffer[at:]  # once a message, however many pieces it has
        return self.done

    def _end(self, buffer: bytes, at: int) -> int:
        """Up to where the buffer, from here on, can't go past the end of this message."""
        if self.length < 0:  # in the head
            over = (self.tail + buffer[at : at + 3]).find(HEAD_END)  # it may have begun in what came before
            found = at + over - len(self.tail) if over >= 0 else buffer.find(HEAD_END, at)
            end = len(buffer) if over < 0 and found < 0 else found + len(HEAD_END)
            self.tail = (self.tail + buffer[max(at, end - 3) : end])[-3:]
            return end
        if self.chunked:  # a message's end is a line's end
            end = buffer.find(b"\n", at)
            return len(buffer) if end < 0 else end + 1
        return min(len(buffer), at + self.length - self.size)

    def _bound(self, count: int, heading: bool) -> None:
        if heading:
            self.head += count
            if self.head > HEAD_LIMIT:
                self.fault = (431, f"a head of more than {HEAD_LIMIT} bytes")
        elif self.chunked:
            self.wire += count
            if self.wire > FRAMING * self.most:
                self.fault = (413, f"a body of more than {FRAMING * self.most} bytes with its framing")

    def _frame(self, bodyless: bool) -> bool:
        """How the body's length is told, and whether it is; two ways at once may hide a message in another."""
        lengths = [v for n, v in self.headers if n == b"content-length"]
        codings = [v for n, v in self.headers if n == b"transfer-encoding"]
        self.length = 0
        if len(lengths) + len(codings) > 1:
            self.fault = (400, "the body's length is told twice")
        elif codings:
            self.chunked = codings[0].strip().lower() == b"chunked"
            if not self.chunked or bodyless:
                self.fault = (400, "a transfer coding that is not taken here")
        elif lengths:
            if not lengths[0].isdigit() or len(lengths[0]) > 15:
                self.fault = (400, "a content length that is no plain number")
            else:
                self.length = int(lengths[0])
                if self.length > self.most:
                    self.fault = (413, f"a body of more than {self.most} bytes")
        return bool(lengths or codings)

    # ---- what the parser calls

    def on_message_begin(self) -> None:
        if self.began and self.fault is None:
            self.fault = (400, "a message within a message")
        self.began = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.length >= 0:  # a trailer
            self.head += len(name) + len(value)
            if self.head > HEAD_LIMIT and self.fault is None:
                self.fault = (431, f"trailers of more than {HEAD_LIMIT} bytes")
        elif len(self.headers) < HEADERS_LIMIT:
            self.headers.append((name.lower(), value))
        elif self.fault is None:
            self.fault = (431, f"more than {HEADERS_LIMIT} headers")

    def on_body(self, data: bytes) -> None:
        self.size += len(data)
        if self.size > self.most:
            self.fault = self.fault or (413, f"a body of more than {self.most} bytes")
        else:
            self.parts.append(data)

    def on_message_complete(self) -> None:
        self.done = True
        self.keeps = self.parser.should_keep_alive()
