"""The framing of a chunked body (RFC 9112, 7.1): finds pieces that can't extend past the end of the message.

The lines that state the sizes are read here, many at a time, so that a body in very small chunks costs little; llhttp
then checks the syntax of the pieces.
"""

from __future__ import annotations

import re

from pebblehinge.http1.errors import HttpError

MAX_LINE_BYTES = 1024  # of the line that states the size of a chunk, with its extensions
SIZE_LINE_PATTERN = re.compile(rb"([0-9A-Fa-f]{1,16})(?:[ \t]*;[^\r\n]*)?\r\n")
LINE_BREAK_BYTES = 2  # behind the data of a chunk
MAX_PIECE_BYTES = 1024  # of whole chunks; a piece ends with the chunk in which it exceeds this


class ChunkedFraming:
    """Where the parser is within a chunked body.

    Attributes:
        bytes_left: Bytes of the current chunk, with its line break, that are in no piece yet.
        in_trailers: Whether the line of the last chunk is in a piece.
    """

    __slots__ = ("bytes_left", "in_trailers")

    def __init__(self) -> None:
        self.bytes_left = 0
        self.in_trailers = False

    def piece_end(self, buffer: bytearray, start: int) -> int | None:
        """Returns the end of the next piece: of whole chunks, of a part of one, or of a line behind them.

        Returns None if more bytes are needed to tell.

        Raises:
            HttpError: A line that has to state the size of a chunk does not, or is too long.
        """
        if self.in_trailers:
            return _line_end(buffer, start)
        if self.bytes_left:
            end = min(len(buffer), start + self.bytes_left)
            self.bytes_left -= end - start
            return end
        end = start
        while end - start < MAX_PIECE_BYTES:
            line = SIZE_LINE_PATTERN.match(buffer, end)
            if line is None:
                _check_incomplete_line(buffer, end)
                return end if end > start else None
            size = int(line[1], 16)
            if size == 0:
                self.in_trailers = True
                return line.end()
            end = line.end() + size + LINE_BREAK_BYTES
            if end > len(buffer):
                self.bytes_left = end - len(buffer)
                return len(buffer)
        return end


def _check_incomplete_line(buffer: bytearray, start: int) -> None:
    """Raises HttpError if a line that states no size is complete, or too long to become one that does."""
    if buffer.find(b"\n", start) >= 0:
        raise HttpError(400, "the size of a chunk can't be read")
    if len(buffer) - start > MAX_LINE_BYTES:
        raise HttpError(413, f"the size of a chunk in more than {MAX_LINE_BYTES} bytes")


def _line_end(buffer: bytearray, start: int) -> int:
    end = buffer.find(b"\n", start)
    return len(buffer) if end < 0 else end + 1
