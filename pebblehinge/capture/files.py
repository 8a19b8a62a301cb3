"""The capture format, version 1.

    magic "PHCAPTUR" | version u16 | blocks
    block: length u32 | XXH32 of the packed bytes u32 | zlib of one msgpack value

The first block is the heading: head, start by the wall clock (ms since 1970), start by the head's clock (ms). Every
other block is a list of rows. A block that is cut off ends the reading; one that is damaged, and what comes
after it, is told of and left out, since rows without their neighbours would look like a gap in the load.
"""

from __future__ import annotations

import os
import struct
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import xxhash

MAGIC = b"PHCAPTUR"
VERSION = 1
START = struct.Struct(">8sH")
BLOCK = struct.Struct(">II")
LARGEST = 1 << 26
ROWS_A_BLOCK = 2000
FINALS = ("honoured", "pushed back", "terminated", "left")


class CaptureError(Exception):
    """A capture that can't be read; the text is one plain line."""


class Row(msgspec.Struct, array_like=True, frozen=True):
    """One request that was over. Times in ms from the capture's start; `attempt_ms` is its last attempt's, or 0."""

    t: float
    volume: str
    plan: str
    profile: str
    extent: str
    slot: int
    units: float
    write: bool
    again: bool
    bytes: int
    final: int  # index of FINALS
    took_ms: float
    attempt_ms: float
    attempts: int


class Heading(msgspec.Struct, array_like=True, frozen=True):
    head: str
    wall_ms: float
    clock_ms: float


_encode = msgspec.msgpack.Encoder().encode
_rows = msgspec.msgpack.Decoder(list[Row]).decode
_heading = msgspec.msgpack.Decoder(Heading).decode


def _block(value: Any) -> bytes:
    packed = zlib.compress(_encode(value), 6)
    return BLOCK.pack(len(packed), xxhash.xxh32_intdigest(packed)) + packed


class CaptureWriter:
    """Packs rows into blocks and hands bytes to `sink`; a fault of the sink ends the capture, not the head."""

    def __init__(
        self,
        sink: Callable[[bytes], None],
        head: str,
        wall_ms: float,
        clock_ms: float,
        failed: Callable[[OSError], None] | None = None,
    ) -> None:
        self.sink, self.failed = sink, failed
        self.start_ms = clock_ms
        self.rows: list[tuple[Any, ...]] = []
        self.on = True
        self._put(START.pack(MAGIC, VERSION) + _block((head, wall_ms, clock_ms)))

    def add(self, *row: Any) -> None:
        """One row, in the order of Row's fields; `t` still by the head's clock."""
        if self.on:
            self.rows.append((round(row[0] - self.start_ms, 3), *row[1:]))
            if len(self.rows) >= ROWS_A_BLOCK:
                self.flush()

    def flush(self) -> None:
        if self.rows and self.on:
            rows, self.rows = self.rows, []
            self._put(_block(rows))

    def _put(self, data: bytes) -> None:
        try:
            self.sink(data)
        except OSError as error:
            self.on = False
            self.rows.clear()
            if self.failed is not None:
                self.failed(error)


def file_sink(path: str | Path) -> Callable[[bytes], None]:
    """A sink that appends to a new file; raises OSError where it can't be made."""
    fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o644)

    def put(data: bytes) -> None:
        while data:
            data = data[os.write(fd, data) :]

    return put


@dataclass(slots=True)
class Capture:
    """What one file held."""

    head: str
    wall_ms: float
    clock_ms: float
    rows: list[Row] = field(default_factory=list)
    cut: str = ""  # why it ends before its end, if it does


def parse_capture(data: bytes, name: str = "capture") -> Capture:
    """A capture from bytes; raises CaptureError where not even its heading can be read."""
    if len(data) < START.size or data[:8] != MAGIC:
        raise CaptureError(f"{name} is no capture: it does not begin with {MAGIC.decode()}")
    version = START.unpack_from(data)[1]
    if version != VERSION:
        raise CaptureError(f"{name} is a capture of version {version}: version {VERSION} is read here")
    at, found = START.size, None
    cut = ""
    while at < len(data):
        if at + BLOCK.size > len(data):
            cut = "it was cut off in the middle of a block"
            break
        length, wanted = BLOCK.unpack_from(data, at)
        packed = data[at + BLOCK.size : at + BLOCK.size + length]
        if length > LARGEST or (len(packed) == length and xxhash.xxh32_intdigest(packed) != wanted):
            cut = f"the block at byte {at} is damaged"
            break
        if len(packed) < length:
            cut = "it was cut off in the middle of a block"
            break
        try:
            raw = zlib.decompress(packed)
            if found is None:
                heading = _heading(raw)
                found = Capture(heading.head, heading.wall_ms, heading.clock_ms)
            else:
                found.rows += _rows(raw)
        except (zlib.error, msgspec.DecodeError) as error:
            cut = f"the block at byte {at} can't be read ({error})"
            break
        at += BLOCK.size + length
    if found is None:
        raise CaptureError(f"{name} holds no heading: {cut or 'it is empty'}")
    found.cut = cut
    return found


def read_capture(path: str | Path) -> Capture:
    """A capture from a file; raises CaptureError with one plain line."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise CaptureError(f"{path} can't be read ({error.strerror})") from None
    return parse_capture(data, str(path))
