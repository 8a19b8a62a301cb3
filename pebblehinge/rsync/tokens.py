"""A file as it is sent: literals and numbers of the receiver's blocks, plain or deflated.

Plain: a positive number and so many bytes, or -(n + 1) for block n, or 0 at the end. Deflated (the form in which
matched blocks are no part of the history, named zlibx): one byte says what follows. 01xxxxxx yyyyyyyy: that many bytes
of raw deflate, whose flush `00 00 ff ff` is left out; 1yxxxxxx: block at so many after the last one, y: the first of a
run whose further count follows in 16 bits; 0010000y: the same with the number in 32 bits; 0: the end.
"""

from __future__ import annotations

import zlib

from pebblehinge.rsync.errors import RsyncError
from pebblehinge.rsync.numbers import int32, read_byte, read_int, read_short, short
from pebblehinge.rsync.stream import Stream

LITERAL_BYTES = 1 << 15
"""Bytes in one literal, at most."""

FLUSH = b"\x00\x00\xff\xff"
"""What a flush of raw deflate ends with."""

MAX_DEFLATED_BYTES = 0x3FFF
RAW_DEFLATE_BITS = -15
DEFLATE_LEVEL = 6
DEFLATE_MEMORY_LEVEL = 8

FLAG_END = 0
FLAG_LONG = 0x20
FLAG_LONG_RUN = 0x21
FLAG_DEFLATED = 0x40
FLAG_RELATIVE = 0x80
FLAG_RELATIVE_RUN = 0xC0
KIND_MASK = 0xC0
VALUE_MASK = 0x3F
RUN_BIT = 0x40

MAX_RELATIVE = 63
MAX_RUN = 1 << 16


class PlainTokenWriter:
    """Encodes literals and block numbers."""

    def literal(self, data: bytes) -> bytes:
        """Returns the bytes of a literal."""
        pieces = (data[start : start + LITERAL_BYTES] for start in range(0, len(data), LITERAL_BYTES))
        return b"".join(int32(len(piece)) + piece for piece in pieces)

    def match(self, index: int) -> bytes:
        """Returns the bytes of a block's number."""
        return int32(-(index + 1))

    def end(self) -> bytes:
        """Returns the bytes of the end."""
        return int32(0)


class DeflatedTokenWriter:
    """Encodes literals and block numbers, deflated. A run of blocks is written when it is known to end."""

    def __init__(self, level: int = DEFLATE_LEVEL) -> None:
        self._compressor = zlib.compressobj(level, zlib.DEFLATED, RAW_DEFLATE_BITS, DEFLATE_MEMORY_LEVEL)
        self._has_unflushed = False
        self._run_first = -1  # first block of the open run
        self._run_last = -1
        self._previous_last = 0  # last block of the run before

    def literal(self, data: bytes) -> bytes:
        """Returns bytes to send for a literal; some of it may come with the next token."""
        run = self._end_run()
        self._has_unflushed = True
        return run + self._encode_deflated(self._compressor.compress(data))

    def match(self, index: int) -> bytes:
        """Returns bytes to send before a block's number, which comes when its run ends."""
        encoded = self._flush()
        if self._run_first >= 0 and (index != self._run_last + 1 or index >= self._run_first + MAX_RUN):
            encoded += self._end_run()
        if self._run_first < 0:
            self._run_first = index
        self._run_last = index
        return encoded

    def end(self) -> bytes:
        """Returns the bytes that are left, and the end."""
        return self._flush() + self._end_run() + bytes([FLAG_END])

    def _flush(self) -> bytes:
        if not self._has_unflushed:
            return b""
        self._has_unflushed = False
        deflated = self._compressor.flush(zlib.Z_SYNC_FLUSH)
        assert deflated.endswith(FLUSH)
        return self._encode_deflated(deflated[: -len(FLUSH)])

    @staticmethod
    def _encode_deflated(deflated: bytes) -> bytes:
        pieces = (deflated[at : at + MAX_DEFLATED_BYTES] for at in range(0, len(deflated), MAX_DEFLATED_BYTES))
        return b"".join(bytes([FLAG_DEFLATED | len(piece) >> 8, len(piece) & 0xFF]) + piece for piece in pieces)

    def _end_run(self) -> bytes:
        if self._run_first < 0:
            return b""
        relative = self._run_first - self._previous_last
        further = self._run_last - self._run_first
        if 0 <= relative <= MAX_RELATIVE:
            encoded = bytes([(FLAG_RELATIVE_RUN if further else FLAG_RELATIVE) | relative])
        else:
            encoded = bytes([FLAG_LONG_RUN if further else FLAG_LONG]) + int32(self._run_first)
        if further:
            encoded += short(further)
        self._previous_last, self._run_first = self._run_last, -1
        return encoded


class PlainTokenReader:
    """Decodes what `PlainTokenWriter` encodes."""

    def __init__(self) -> None:
        self._literal_left = 0

    async def next(self, stream: Stream) -> bytes | int | None:
        """Reads a literal or a piece of one (bytes), a block's number (int) or the end (None)."""
        if not self._literal_left:
            token = await read_int(stream)
            if token == 0:
                return None
            if token < 0:
                return -(token + 1)
            self._literal_left = token
        piece = await stream.take_available(min(self._literal_left, LITERAL_BYTES))
        self._literal_left -= len(piece)
        return piece


class DeflatedTokenReader:
    """Decodes what `DeflatedTokenWriter` encodes; a piece is bounded whatever the bytes inflate to."""

    def __init__(self) -> None:
        self._decompressor = zlib.decompressobj(RAW_DEFLATE_BITS)
        self._deflated = b""  # bytes that are not inflated yet
        self._flush_is_due = False  # the flush that was left out is still to be inflated
        self._next_flag = -1  # a flag that was read too early
        self._index = 0  # the last block
        self._run_left = 0

    async def next(self, stream: Stream) -> bytes | int | None:
        """Reads a literal or a piece of one (bytes), a block's number (int) or the end (None)."""
        while True:
            if self._run_left:
                self._run_left -= 1
                self._index += 1
                return self._index
            if self._deflated:
                if piece := self._inflate():
                    return piece
                continue
            flag = await self._read_flag(stream)
            if flag & KIND_MASK == FLAG_DEFLATED:
                self._deflated = await stream.take((flag & VALUE_MASK) << 8 | await read_byte(stream))
                self._flush_is_due = True
            elif self._flush_is_due:  # once it is inflated, all before it is
                self._flush_is_due, self._next_flag, self._deflated = False, flag, FLUSH
            elif flag == FLAG_END:
                return None
            else:
                return await self._read_block(stream, flag)

    async def _read_flag(self, stream: Stream) -> int:
        flag, self._next_flag = self._next_flag, -1
        return flag if flag >= 0 else await read_byte(stream)

    def _inflate(self) -> bytes:
        try:
            piece = self._decompressor.decompress(self._deflated, LITERAL_BYTES)
        except zlib.error as error:
            raise RsyncError(f"deflated data is damaged: {error}") from None
        if self._decompressor.eof:
            raise RsyncError("deflated data ends before the file does")
        self._deflated = self._decompressor.unconsumed_tail
        return piece

    async def _read_block(self, stream: Stream, flag: int) -> int:
        if flag & FLAG_RELATIVE:
            self._index += flag & VALUE_MASK
            is_run = bool(flag & RUN_BIT)
        elif flag in (FLAG_LONG, FLAG_LONG_RUN):
            self._index = await read_int(stream)
            is_run = flag == FLAG_LONG_RUN
        else:
            raise RsyncError(f"a token of an unknown kind, {flag:#04x}")
        if self._index < 0:
            raise RsyncError(f"block {self._index} is no block")
        if is_run:
            self._run_left = await read_short(stream)
        return self._index
