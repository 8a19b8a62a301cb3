"""Frames: bytes in, checked values out; values in, bytes out.

A frame is `length u32 | checksum u32 | kind u8 | values`, big-endian. The length counts kind and values, the
checksum is XXH32 (seed 0) over them, the values are one msgpack array whose types each kind fixes.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import Any

import msgspec
import xxhash

HEADER = struct.Struct(">II")
PREFIX = HEADER.size
SMALLEST = 2  # a kind and an empty array
READ, WRITE, APPEND, BARRIER, FLUSH = range(5)  # what TAKE and TRIP ask for
APPENDED = struct.Struct(">BQ")  # bytes of an append's answer: whether it landed, and the extent's length


class Kind(IntEnum):
    """What a frame says; the number is the byte on the wire."""

    HELLO = 1
    ERROR = 2
    PING = 3
    PONG = 4
    STOPPING = 5
    TAKE = 16
    CANCEL = 17
    ANSWER = 18
    TRIP = 32
    RECALL = 33
    OUTCOME = 34
    WATCH = 48
    LIST = 50
    REGISTER = 51
    STANDING = 52
    CONTROL = 64
    CONTROLLED = 65
    RAFT = 80
    RENEW = 81
    GRANT = 82
    ASK = 83
    TOLD = 84
    NEWS = 85


ENTRY = tuple[str, str, str, int, float]  # shelf, address, standing, slot, milliseconds since its start or -1

# The values of each kind in order; docs/protocol.md names them.
SHAPES: dict[Kind, Any] = {
    Kind.HELLO: tuple[str, int, int, str, str, int, int],
    Kind.ERROR: tuple[str],
    Kind.PING: tuple[int],
    Kind.PONG: tuple[int],
    Kind.STOPPING: tuple[str],
    Kind.TAKE: tuple[
        int, str, str, str | None, str, str, int, float, float, bool | None, str | None, int, int, int, bytes
    ],
    Kind.CANCEL: tuple[int],
    Kind.ANSWER: tuple[int, int, float, str, int, bytes],
    Kind.TRIP: tuple[int, str, int, str, int, int, int, float, str | None, float, bytes],
    Kind.RECALL: tuple[int],
    Kind.OUTCOME: tuple[int, int, str, bytes],
    Kind.WATCH: tuple[int],
    Kind.LIST: tuple[int, str, list[ENTRY]],
    Kind.REGISTER: tuple[str, str, int, str, float],
    Kind.STANDING: tuple[str],
    Kind.CONTROL: tuple[int, str, dict[str, float | str]],
    Kind.CONTROLLED: tuple[int, str],
    Kind.RAFT: tuple[bytes],
    Kind.RENEW: tuple[int, str, int, int, int, str],
    Kind.GRANT: tuple[int, float, int, str, int, str, dict[str, tuple[float, float]], str],
    Kind.ASK: tuple[int, str, dict[str, str | int]],
    Kind.TOLD: tuple[int, bool, str, str],
    Kind.NEWS: tuple[int],
}
_DECODERS = {int(kind): (kind, msgspec.msgpack.Decoder(shape)) for kind, shape in SHAPES.items()}
_encode = msgspec.msgpack.Encoder().encode
_KIND_BYTES = {kind: bytes([kind]) for kind in Kind}


class WireError(Exception):
    """Bytes that the protocol does not allow; the text is the reason, fit to be sent to the peer."""


def encode(kind: Kind, *values: Any) -> bytes:
    """The bytes of one frame."""
    body = _KIND_BYTES[kind] + _encode(values)
    return HEADER.pack(len(body), xxhash.xxh32_intdigest(body)) + body


class Frames:
    """Cuts a stream into frames. Holds at most one frame of the limit and what the last feed brought."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.buffer = bytearray()
        self.at = 0

    def feed(self, data: bytes) -> None:
        if self.at:
            del self.buffer[: self.at]
            self.at = 0
        self.buffer += data

    def next(self) -> tuple[Kind, tuple[Any, ...]] | None:
        """The next whole frame, or None; raises WireError where the stream can't be read further."""
        have = len(self.buffer) - self.at
        if have < 4:
            return None
        length = int.from_bytes(self.buffer[self.at : self.at + 4], "big")
        if length > self.limit:  # told from the first four bytes: nothing of it is awaited or kept
            raise WireError(f"a frame of {length} bytes is announced: at most {self.limit} are taken")
        if length < SMALLEST:
            raise WireError(f"a frame of {length} bytes is announced: at least {SMALLEST} are needed")
        if have < PREFIX + length:
            return None
        start = self.at + PREFIX
        body = bytes(self.buffer[start : start + length])
        wanted = int.from_bytes(self.buffer[self.at + 4 : start], "big")
        self.at = start + length
        if xxhash.xxh32_intdigest(body) != wanted:
            raise WireError("the checksum of a frame is wrong: it was damaged on the way")
        known = _DECODERS.get(body[0])
        if known is None:
            raise WireError(f"kind {body[0]} is not known")
        kind, decoder = known
        try:
            return kind, decoder.decode(memoryview(body)[1:])
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise WireError(f"{kind.name}: {error}") from None
