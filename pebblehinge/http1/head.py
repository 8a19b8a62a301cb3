"""The framing of the head of a message: finds pieces that can't extend past its end.

The first line is passed to llhttp as it arrives, so that noise is noticed at once. The headers are held back until all
have arrived: as bytes they take a fraction of the memory that the parsed headers take.
"""

from __future__ import annotations

import re

from pebblehinge.http1.errors import HttpError

HEAD_END = b"\r\n\r\n"
MAX_HEAD_BYTES = 16 * 1024  # of the head, leading empty lines included, and the trailers
MAX_HEADERS = 64
BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
EMPTY_LINE = b"\r\n"


class HeadFraming:
    """Where the parser is within the head.

    Attributes:
        tail: The last bytes of the head that are in a piece, with which its end may begin.
        first_line_complete: Whether the first line, with its line break, is in a piece.
        checked_bytes: Bytes at the start of the buffer that are held back and known not to hold the end of the head.
        line_count: Number of line breaks among them.
    """

    __slots__ = ("tail", "first_line_complete", "checked_bytes", "line_count")

    def __init__(self) -> None:
        self.tail = b""
        self.first_line_complete = False
        self.checked_bytes = 0
        self.line_count = 0

    def piece_end(self, buffer: bytearray, start: int) -> int | None:
        """Returns the end of the next piece, None if more bytes are needed.

        Raises:
            HttpError: The head is too long, has too many headers, or breaks its lines in another way.
        """
        end = self._headers_end(buffer, start) if self.first_line_complete else self._first_line_end(buffer, start)
        if end is not None:
            self.tail = (self.tail + buffer[max(start, end - len(HEAD_END)) : end])[-len(HEAD_END) :]
            self.checked_bytes = 0
        return end

    def _first_line_end(self, buffer: bytearray, start: int) -> int:
        end = buffer.find(b"\n", start) + 1
        if end == 0:
            return len(buffer)
        line = (self.tail + buffer[start:end])[-len(HEAD_END) :]
        self.first_line_complete = line not in (EMPTY_LINE, HEAD_END)  # Empty lines may precede the first.
        return end

    def _headers_end(self, buffer: bytearray, start: int) -> int | None:
        """Returns the end of the head, None if it has not arrived; raises HttpError if it can't become valid."""
        if self.tail.endswith(EMPTY_LINE) and buffer.startswith(EMPTY_LINE, start):
            return start + len(EMPTY_LINE)
        checked_end = start + self.checked_bytes
        index = buffer.find(HEAD_END, max(start, checked_end - len(HEAD_END) + 1))
        if index >= 0:
            return index + len(HEAD_END)
        self.line_count += buffer.count(b"\n", checked_end)
        if len(buffer) - start > MAX_HEAD_BYTES:
            raise HttpError(431, f"a head of more than {MAX_HEAD_BYTES} bytes")
        if self.line_count > MAX_HEADERS:
            raise HttpError(431, f"more than {MAX_HEADERS} headers")
        if BARE_LINE_FEED.search(buffer, max(start, checked_end - 1)) is not None:
            raise HttpError(400, "not HTTP/1.1: a line that ends without a carriage return")
        self.checked_bytes = len(buffer) - start
        return None
