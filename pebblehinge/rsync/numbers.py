"""Numbers as the protocol writes them. All are little-endian unless said; functions that read raise RsyncError."""

from __future__ import annotations

import struct

from pebblehinge.rsync.errors import RsyncError
from pebblehinge.rsync.stream import Stream

I32 = struct.Struct("<i")
I64 = struct.Struct("<q")
U16 = struct.Struct("<H")

DONE = -1
"""The index that ends a phase."""

MAX_I32 = 0x7FFFFFFF
MAX_U16 = 0xFFFF
MAX_VSTRING_BYTES = 0x7FFF
MAX_READ_VSTRING_BYTES = 4096
MAX_EXTRA_BYTES = 6
"""Bytes that may follow the first of a number of variable length."""

LONGINT_MARK = b"\xff\xff\xff\xff"
"""Stands before a `longint` of 8 bytes."""

NEGATIVE_INDEX = 0xFF
LONG_INDEX = 0xFE
HIGH_BIT = 0x80
LOW_BITS = 0x7F
MAX_SHORT_DIFFERENCE = 0x7FFF


def int32(value: int) -> bytes:
    """Returns 4 bytes."""
    return I32.pack(value)


def short(value: int) -> bytes:
    """Returns the lowest 16 bits, in 2 bytes."""
    return U16.pack(value & MAX_U16)


def longint(value: int) -> bytes:
    """Returns a long number as before version 30: 4 bytes, or ff ff ff ff and 8."""
    return I32.pack(value) if 0 <= value <= MAX_I32 else LONGINT_MARK + I64.pack(value)


def varint(value: int) -> bytes:
    """Returns up to 32 bits in 1 byte or more.

    The first byte's leading ones say how many bytes follow, the rest of it are the highest bits.
    """
    return _encode_variable(I32.pack(_to_signed(value)), 1)


def varlong(value: int, min_bytes: int) -> bytes:
    """Returns up to 64 bits in at least `min_bytes`."""
    return _encode_variable(I64.pack(value), min_bytes)


def _to_signed(value: int) -> int:
    return value - (1 << 32) if value > MAX_I32 else value


def _encode_variable(raw: bytes, min_bytes: int) -> bytes:
    count = len(raw)
    while count > min_bytes and raw[count - 1] == 0:
        count -= 1
    bit = 1 << (7 - count + min_bytes)
    top = raw[count - 1]
    if top >= bit:  # no room beside the leading ones: one byte more
        return bytes([~(bit - 1) & 0xFF]) + raw[:count]
    if count > min_bytes:
        return bytes([top | (~(bit * 2 - 1) & 0xFF)]) + raw[: count - 1]
    return bytes([top]) + raw[: count - 1]


def _extra_bytes(first: int) -> int:
    """Returns the leading ones of the first byte, six at most: its two lowest bits always carry figures."""
    count = 0
    while count < MAX_EXTRA_BYTES and first & (HIGH_BIT >> count):
        count += 1
    return count


async def read_byte(stream: Stream) -> int:
    """Reads one byte."""
    return (await stream.take(1))[0]


async def read_short(stream: Stream) -> int:
    """Reads 16 bits without a sign."""
    return int.from_bytes(await stream.take(2), "little")


async def read_int(stream: Stream) -> int:
    """Reads 32 bits with a sign."""
    return int(I32.unpack(await stream.take(4))[0])


async def read_longint(stream: Stream) -> int:
    """Reads what `longint` returns."""
    value = await read_int(stream)
    return value if value != -1 else int(I64.unpack(await stream.take(8))[0])


async def read_varint(stream: Stream) -> int:
    """Reads what `varint` returns, with a sign."""
    first = await read_byte(stream)
    extra = _extra_bytes(first)
    if not extra:
        return first
    if extra > 4:
        raise RsyncError("a number of more than 32 bits")
    rest = await stream.take(extra)
    top = first & ((1 << (8 - extra)) - 1) if extra < 4 else 0
    raw = rest + bytes([top]) if extra < 4 else rest
    return int(I32.unpack(raw.ljust(4, b"\0")[:4])[0])


async def read_varlong(stream: Stream, min_bytes: int) -> int:
    """Reads what `varlong` returns for the same `min_bytes`."""
    head = await stream.take(min_bytes)
    first, extra = head[0], _extra_bytes(head[0])
    if min_bytes + extra > 9:
        raise RsyncError("a number of more than 64 bits")
    rest = await stream.take(extra) if extra else b""
    top = first & ((1 << (8 - extra)) - 1)
    raw = head[1:] + rest + bytes([top])
    if any(raw[8:]):
        raise RsyncError("a number of more than 64 bits")
    return int(I64.unpack(raw[:8].ljust(8, b"\0"))[0])


def vstring(text: bytes) -> bytes:
    """Returns a text after its length, of one byte, or of two with the highest bit set in the first."""
    length = len(text)
    if length > MAX_VSTRING_BYTES:
        raise RsyncError(f"a string of {length} bytes: at most {MAX_VSTRING_BYTES} can be sent")
    return (bytes([length]) if length < HIGH_BIT else bytes([length >> 8 | HIGH_BIT, length & 0xFF])) + text


async def read_vstring(stream: Stream, max_bytes: int = MAX_READ_VSTRING_BYTES) -> bytes:
    """Reads what `vstring` returns, for a text of at most `max_bytes`."""
    length = await read_byte(stream)
    if length & HIGH_BIT:
        length = (length & LOW_BITS) << 8 | await read_byte(stream)
    if length > max_bytes:
        raise RsyncError(f"a string of {length} bytes: at most {max_bytes} are taken")
    return await stream.take(length)


class FileIndexWriter:
    """Encodes file indexes as one side sends them: from version 30 on as differences to the one before."""

    def __init__(self, version: int) -> None:
        self._version = version
        self._positive = -1  # the indexes before, without the sign
        self._negative = 1

    def __call__(self, index: int) -> bytes:
        """Returns the bytes of the next index."""
        if self._version < 30:
            return I32.pack(index)
        if index == DONE:
            return b"\0"
        sign = b""
        if index >= 0:
            difference, self._positive = index - self._positive, index
        else:
            sign = bytes([NEGATIVE_INDEX])
            index = -index
            difference, self._negative = index - self._negative, index
        if 0 < difference < LONG_INDEX:
            return sign + bytes([difference])
        head = sign + bytes([LONG_INDEX])
        if difference < 0 or difference > MAX_SHORT_DIFFERENCE:
            return head + bytes([index >> 24 | HIGH_BIT, index & 0xFF, index >> 8 & 0xFF, index >> 16 & 0xFF])
        return head + bytes([difference >> 8, difference & 0xFF])


class FileIndexReader:
    """Decodes what `FileIndexWriter` encodes."""

    def __init__(self, version: int) -> None:
        self._version = version
        self._positive = -1
        self._negative = 1

    async def __call__(self, stream: Stream) -> int:
        """Reads the next index."""
        if self._version < 30:
            return await read_int(stream)
        first = await read_byte(stream)
        if first == 0:
            return DONE
        is_negative = first == NEGATIVE_INDEX
        if is_negative:
            first = await read_byte(stream)
        previous = self._negative if is_negative else self._positive
        value = await self._read_long(stream, previous) if first == LONG_INDEX else previous + first
        if value > MAX_I32:
            raise RsyncError("a file index beyond 31 bits")
        if is_negative:
            self._negative = value
            return -value
        self._positive = value
        return value

    @staticmethod
    async def _read_long(stream: Stream, previous: int) -> int:
        high, low = await stream.take(2)
        if not high & HIGH_BIT:
            return previous + (high << 8 | low)
        middle = await stream.take(2)
        return (high & LOW_BITS) << 24 | middle[1] << 16 | middle[0] << 8 | low
