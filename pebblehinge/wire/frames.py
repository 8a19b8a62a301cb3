"""Frames: bytes in, checked values out; values in, bytes out.

A frame is `length u32 | checksum u32 | kind u8 | values`, big-endian. The length counts kind and values, the checksum
is XXH32 (seed 0) over them, the values are one msgpack array whose types each kind fixes (`pebblehinge/wire/kinds.py`).
"""

from __future__ import annotations

import struct
from typing import Any

import msgspec
import xxhash

from pebblehinge.wire.kinds import SHAPES, Kind

HEADER = struct.Struct(">II")
"""Length and checksum of a frame."""

LENGTH_BYTES = 4
"""Bytes of a frame's length, the first part of its header."""

PREFIX = HEADER.size
"""Bytes of a frame before its kind."""

SMALLEST = 2
"""The least length of a frame: a kind and an empty array."""

READ, WRITE, APPEND, BARRIER, FLUSH = range(5)
"""The operation that TAKE and TRIP ask for, as its number on the wire."""

APPENDED = struct.Struct(">BQ")
"""The bytes of an append's answer: whether the bytes were appended, and the extent's length."""

_DECODERS = {int(kind): (kind, msgspec.msgpack.Decoder(shape)) for kind, shape in SHAPES.items()}
_KIND_BYTES = {kind: bytes([kind]) for kind in Kind}
_encode_values = msgspec.msgpack.Encoder().encode


class WireError(Exception):
    """Bytes that the protocol does not allow; the text is the reason, fit to be sent to the peer."""


def encode(kind: Kind, *values: Any) -> bytes:
    """Encodes one frame; `values` are of the types that `SHAPES` names for the kind."""
    body = _KIND_BYTES[kind] + _encode_values(values)
    return HEADER.pack(len(body), xxhash.xxh32_intdigest(body)) + body


class Frames:
    """Cuts a stream of bytes into frames.

    Holds at most one incomplete frame within the limit, and what the last `feed` brought.

    Attributes:
        limit: The greatest length of a frame that is accepted, in bytes.
        buffer: Bytes that were received and not yet dropped.
        at: Where in `buffer` the next frame begins.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.buffer = bytearray()
        self.at = 0

    def feed(self, data: bytes) -> None:
        """Adds bytes as they were received."""
        if self.at:
            del self.buffer[: self.at]
            self.at = 0
        self.buffer += data

    def next(self) -> tuple[Kind, tuple[Any, ...]] | None:
        """Returns kind and values of the next frame, or None if it is not complete yet.

        Raises:
            WireError: The frame is not allowed, and the stream can't be read further.
        """
        available = len(self.buffer) - self.at
        if available < LENGTH_BYTES:
            return None
        length = int.from_bytes(self.buffer[self.at : self.at + LENGTH_BYTES], "big")
        if length > self.limit:  # known from the first four bytes: nothing of the frame is awaited or buffered
            raise WireError(f"a frame of {length} bytes is announced: at most {self.limit} are taken")
        if length < SMALLEST:
            raise WireError(f"a frame of {length} bytes is announced: at least {SMALLEST} are needed")
        if available < PREFIX + length:
            return None
        start = self.at + PREFIX
        body = bytes(self.buffer[start : start + length])
        checksum = int.from_bytes(self.buffer[self.at + LENGTH_BYTES : start], "big")
        self.at = start + length
        if xxhash.xxh32_intdigest(body) != checksum:
            raise WireError("the checksum of a frame is wrong: it was damaged on the way")
        return _decode(body)


def _decode(body: bytes) -> tuple[Kind, tuple[Any, ...]]:
    """Decodes kind and values of a frame whose checksum is right; raises WireError."""
    known = _DECODERS.get(body[0])
    if known is None:
        raise WireError(f"kind {body[0]} is not known")
    kind, decoder = known
    try:
        return kind, decoder.decode(memoryview(body)[1:])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise WireError(f"{kind.name}: {error}") from None
