"""Frames: bytes in, checked values out; values in, bytes out.

A frame is `length u32 | checksum u32 | kind u8 | values`, big-endian. The length counts kind and values, the checksum
is XXH32 (seed 0) over them, the values are one msgpack array whose types each kind fixes (`pebblehinge/wire/kinds.py`).
"""

from __future__ import annotations

import struct
from typing import Any

import msgspec
import xxhash

from pebblehinge.wire.kinds import VALUE_TYPES, Kind

FRAME_HEADER = struct.Struct(">II")
"""Length and checksum of a frame."""

LENGTH_BYTES = 4
"""Bytes of a frame's length, the first part of its header."""

PREFIX_BYTES = FRAME_HEADER.size
"""Bytes of a frame before its kind."""

MIN_BODY_BYTES = 2
"""The least length of a frame: a kind and an empty array."""

READ, WRITE, APPEND, BARRIER, FLUSH = range(5)
"""The operation that TAKE and TRIP ask for, as its number on the wire."""

APPEND_RESULT = struct.Struct(">BQ")
"""The bytes of an append's answer: whether the bytes were appended, and the extent's length."""

_DECODERS = {int(kind): (kind, msgspec.msgpack.Decoder(shape)) for kind, shape in VALUE_TYPES.items()}
_KIND_BYTES = {kind: bytes([kind]) for kind in Kind}
_encode_values = msgspec.msgpack.Encoder().encode


class WireError(Exception):
    """Bytes that the protocol does not allow; the text is the reason, fit to be sent to the peer."""


def encode(kind: Kind, *values: Any) -> bytes:
    """Encodes one frame; `values` are of the types that `SHAPES` names for the kind."""
    body = _KIND_BYTES[kind] + _encode_values(values)
    return FRAME_HEADER.pack(len(body), xxhash.xxh32_intdigest(body)) + body


class FrameDecoder:
    """Cuts a stream of bytes into frames.

    Holds at most one incomplete frame within the limit, and what the last `feed` brought.

    Attributes:
        limit: The greatest length of a frame that is accepted, in bytes.
        buffer: Bytes that were received and not yet dropped.
        at: Where in `buffer` the next frame begins.
    """

    def __init__(self, max_frame_bytes: int) -> None:
        self.max_frame_bytes = max_frame_bytes
        self.buffer = bytearray()
        self.offset = 0

    def feed(self, data: bytes) -> None:
        """Adds bytes as they were received."""
        if self.offset:
            del self.buffer[: self.offset]
            self.offset = 0
        self.buffer += data

    def next(self) -> tuple[Kind, tuple[Any, ...]] | None:
        """Returns kind and values of the next frame, or None if it is not complete yet.

        Raises:
            WireError: The frame is not allowed, and the stream can't be read further.
        """
        available = len(self.buffer) - self.offset
        if available < LENGTH_BYTES:
            return None
        length = int.from_bytes(self.buffer[self.offset : self.offset + LENGTH_BYTES], "big")
        if (
            length > self.max_frame_bytes
        ):  # known from the first four bytes: nothing of the frame is awaited or buffered
            raise WireError(f"a frame of {length} bytes is announced: at most {self.max_frame_bytes} are taken")
        if length < MIN_BODY_BYTES:
            raise WireError(f"a frame of {length} bytes is announced: at least {MIN_BODY_BYTES} are needed")
        if available < PREFIX_BYTES + length:
            return None
        start = self.offset + PREFIX_BYTES
        body = bytes(self.buffer[start : start + length])
        checksum = int.from_bytes(self.buffer[self.offset + LENGTH_BYTES : start], "big")
        self.offset = start + length
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
