"""Encoder and decoder of frames.

A frame is `length u32 | checksum u32 | kind u8 | values`, big-endian. The length counts kind and values, the checksum
is XXH32 (seed 0) over them, and the values are one msgpack array whose types the kind determines
(`pebblehinge/wire/kinds.py`).
"""

from __future__ import annotations

import struct
from typing import Any

import msgspec
import xxhash

from pebblehinge.wire.kinds import VALUE_TYPES, Kind

FRAME_HEADER = struct.Struct(">II")
"""The length and the checksum of a frame."""

LENGTH_BYTES = 4
"""Size of the length, which is the first field of the header."""

PREFIX_BYTES = FRAME_HEADER.size
"""Size of a frame up to its kind."""

MIN_BODY_BYTES = 2
"""The least length of a frame, which is a kind and an empty array."""

READ, WRITE, APPEND, BARRIER, FLUSH = range(5)
"""The operations that TAKE and TRIP request, by their numbers on the wire."""

APPEND_RESULT = struct.Struct(">BQ")
"""The data of the answer to an append: whether the data was appended, and the length of the extent."""

_DECODERS = {int(kind): (kind, msgspec.msgpack.Decoder(value_types)) for kind, value_types in VALUE_TYPES.items()}
_KIND_BYTES = {kind: bytes([kind]) for kind in Kind}
_encode_values = msgspec.msgpack.Encoder().encode


class WireError(Exception):
    """The received bytes violate the protocol; the message is suitable for an ERROR frame to the peer."""


def encode(kind: Kind, *values: Any) -> bytes:
    """Encodes one frame; `values` must have the types that `VALUE_TYPES` states for the kind."""
    body = _KIND_BYTES[kind] + _encode_values(values)
    return FRAME_HEADER.pack(len(body), xxhash.xxh32_intdigest(body)) + body


class FrameDecoder:
    """Decodes the frames in a stream of bytes.

    The decoder buffers at most one incomplete frame within the limit, and the data of the last `feed`.

    Attributes:
        max_frame_bytes: The greatest length of a frame that is accepted, in bytes.
        buffer: Received bytes, including decoded frames that the next `feed` removes.
        offset: Offset of the next frame in `buffer`.
    """

    def __init__(self, max_frame_bytes: int) -> None:
        self.max_frame_bytes = max_frame_bytes
        self.buffer = bytearray()
        self.offset = 0

    def feed(self, data: bytes) -> None:
        """Appends received bytes to the buffer."""
        if self.offset:
            del self.buffer[: self.offset]
            self.offset = 0
        self.buffer += data

    def next(self) -> tuple[Kind, tuple[Any, ...]] | None:
        """Returns the kind and the values of the next frame, or None if it is not complete yet.

        Raises:
            WireError: The frame violates the protocol, and the stream can't be decoded further.
        """
        available = len(self.buffer) - self.offset
        if available < LENGTH_BYTES:
            return None
        length = int.from_bytes(self.buffer[self.offset : self.offset + LENGTH_BYTES], "big")
        # The first four bytes suffice for this check, so an oversized frame is neither awaited nor buffered.
        if length > self.max_frame_bytes:
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
    """Decodes the kind and the values of a frame whose checksum is correct; raises WireError."""
    entry = _DECODERS.get(body[0])
    if entry is None:
        raise WireError(f"kind {body[0]} is not known")
    kind, decoder = entry
    try:
        return kind, decoder.decode(memoryview(body)[1:])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise WireError(f"{kind.name}: {error}") from None
