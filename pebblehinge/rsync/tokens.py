"""A file as it is sent: literals and numbers of the receiver's blocks, plain or deflated.

Plain: a positive number and so many bytes, or -(n + 1) for block n, or 0 at the end. Deflated (the form in which
matched blocks are no part of the history, named zlibx): one byte says what follows. 01xxxxxx yyyyyyyy: that many bytes
of raw deflate, whose flush `00 00 ff ff` is left out; 1yxxxxxx: block at so many after the last one, y: the first of a
run whose further count follows in 16 bits; 0010000y: the same with the number in 32 bits; 0: the end.
"""

from __future__ import annotations

import zlib

from pebblehinge.rsync.numbers import int32, read_byte, read_int, read_short, short
from pebblehinge.rsync.stream import RsyncError, Stream

LITERAL = 1 << 15
FLUSH = b"\x00\x00\xff\xff"
MOST_DEFLATED = 0x3FFF
END_FLAG, LONG, RUN_LONG, DEFLATED, RELATIVE, RUN_RELATIVE = 0, 0x20, 0x21, 0x40, 0x80, 0xC0


class PlainOut:
    """Literals and block numbers to bytes."""

    def literal(self, data: bytes) -> bytes:
        return b"".join(
            int32(len(piece)) + piece for piece in (data[at : at + LITERAL] for at in range(0, len(data), LITERAL))
        )

    def match(self, index: int) -> bytes:
        return int32(-(index + 1))

    def end(self) -> bytes:
        return int32(0)


class DeflatedOut:
    """The same, deflated. A run of blocks is written when it is known to end."""

    def __init__(self, level: int = 6) -> None:
        self.packer = zlib.compressobj(level, zlib.DEFLATED, -15, 8)
        self.dirty = False  # literals went in that were not flushed
        self.first = self.last = -1  # the open run
        self.before = 0  # last block of the run before

    def literal(self, data: bytes) -> bytes:
        out = self._run()
        self.dirty = True
        return out + self._frames(self.packer.compress(data))

    def match(self, index: int) -> bytes:
        out = self._flush()
        if self.first >= 0 and (index != self.last + 1 or index >= self.first + 65536):
            out += self._run()
        if self.first < 0:
            self.first = index
        self.last = index
        return out

    def end(self) -> bytes:
        return self._flush() + self._run() + bytes([END_FLAG])

    def _flush(self) -> bytes:
        if not self.dirty:
            return b""
        self.dirty = False
        packed = self.packer.flush(zlib.Z_SYNC_FLUSH)
        assert packed.endswith(FLUSH)
        return self._frames(packed[:-4])

    @staticmethod
    def _frames(packed: bytes) -> bytes:
        return b"".join(
            bytes([DEFLATED | len(piece) >> 8, len(piece) & 0xFF]) + piece
            for piece in (packed[at : at + MOST_DEFLATED] for at in range(0, len(packed), MOST_DEFLATED))
        )

    def _run(self) -> bytes:
        if self.first < 0:
            return b""
        ahead, more = self.first - self.before, self.last - self.first
        if 0 <= ahead <= 63:
            out = bytes([(RUN_RELATIVE if more else RELATIVE) | ahead])
        else:
            out = bytes([RUN_LONG if more else LONG]) + int32(self.first)
        if more:
            out += short(more)
        self.before, self.first = self.last, -1
        return out


class PlainIn:
    """Bytes to literals (bytes), block numbers (int) and the end (None)."""

    def __init__(self) -> None:
        self.left = 0

    async def next(self, stream: Stream) -> bytes | int | None:
        if not self.left:
            token = await read_int(stream)
            if token == 0:
                return None
            if token < 0:
                return -(token + 1)
            self.left = token
        piece = await stream.some(min(self.left, LITERAL))
        self.left -= len(piece)
        return piece


class DeflatedIn:
    """The same, deflated; what one call gives is bounded whatever the bytes unpack to."""

    def __init__(self) -> None:
        self.unpacker = zlib.decompressobj(-15)
        self.pending = b""  # deflated bytes that are not unpacked yet
        self.inflating = False
        self.flag = -1  # a byte that was read too early
        self.token = self.run = 0

    async def next(self, stream: Stream) -> bytes | int | None:
        while True:
            if self.run:
                self.run -= 1
                self.token += 1
                return self.token
            if self.pending:
                if piece := self._unpack():
                    return piece
                continue
            flag, self.flag = self.flag, -1
            if flag < 0:
                flag = await read_byte(stream)
            if flag & 0xC0 == DEFLATED:
                self.pending = await stream.take((flag & 0x3F) << 8 | await read_byte(stream))
                self.inflating = True
            elif self.inflating:  # the flush that was left out: once it is unpacked, all before it is
                self.inflating, self.flag, self.pending = False, flag, FLUSH
            elif flag == END_FLAG:
                return None
            else:
                return await self._block(stream, flag)

    def _unpack(self) -> bytes:
        try:
            piece = self.unpacker.decompress(self.pending, LITERAL)
        except zlib.error as error:
            raise RsyncError(f"deflated data is damaged: {error}") from None
        if self.unpacker.eof:
            raise RsyncError("deflated data ends before the file does")
        self.pending = self.unpacker.unconsumed_tail
        return piece

    async def _block(self, stream: Stream, flag: int) -> int:
        if flag & 0x80:
            self.token += flag & 0x3F
            run = bool(flag & 0x40)
        elif flag in (LONG, RUN_LONG):
            self.token = await read_int(stream)
            run = flag == RUN_LONG
        else:
            raise RsyncError(f"a token of an unknown kind, {flag:#04x}")
        if self.token < 0:
            raise RsyncError(f"block {self.token} is no block")
        if run:
            self.run = await read_short(stream)
        return self.token
