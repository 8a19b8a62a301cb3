"""Reads captures up to the first block that is cut off or damaged.

What comes after a damaged block is left out as well, since a hole among the requests would look like a gap in the load.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import xxhash

from pebblehinge.capture.errors import CaptureError
from pebblehinge.capture.format import (
    BLOCK_START,
    FILE_START,
    MAGIC,
    MAX_BLOCK_BYTES,
    VERSION,
    CapturedRequest,
    CaptureHeader,
)

_decode_requests = msgspec.msgpack.Decoder(list[CapturedRequest]).decode
_decode_header = msgspec.msgpack.Decoder(CaptureHeader).decode


class _BlockError(Exception):
    """A block ends the reading; the message says why, for `Capture.incomplete_reason`."""


@dataclass(slots=True)
class Capture:
    """What one file held.

    Attributes:
        gateway: The name of the gateway that wrote it.
        wall_ms: Its start by the wall clock, in milliseconds since 1970.
        clock_ms: Its start by the gateway's monotonic clock, in milliseconds.
        requests: The requests in the order in which they were finished.
        incomplete_reason: Why the reading ended before the file's end; None if it didn't.
    """

    gateway: str
    wall_ms: float
    clock_ms: float
    requests: list[CapturedRequest] = field(default_factory=list)
    incomplete_reason: str | None = None


def parse_capture(data: bytes, name: str = "capture") -> Capture:
    """Reads a capture from bytes.

    Args:
        data: The content of the file.
        name: What to call it in errors.

    Raises:
        CaptureError: Not even its heading can be read.
    """
    _check_file_start(data, name)
    capture: Capture | None = None
    incomplete: str | None = None
    try:
        for at, packed in _read_blocks(data):
            try:
                value = zlib.decompress(packed)
                if capture is None:
                    header = _decode_header(value)
                    capture = Capture(header.gateway, header.wall_ms, header.clock_ms)
                else:
                    capture.requests += _decode_requests(value)
            except (zlib.error, msgspec.DecodeError) as error:
                raise _BlockError(f"the block at byte {at} can't be read ({error})") from None
    except _BlockError as error:
        incomplete = str(error)
    if capture is None:
        raise CaptureError(f"{name} holds no heading: {incomplete or 'it is empty'}")
    capture.incomplete_reason = incomplete
    return capture


def read_capture(path: str | Path) -> Capture:
    """Reads a capture from a file.

    Raises:
        CaptureError: The file, or its heading, can't be read.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise CaptureError(f"{path} can't be read ({error.strerror})") from None
    return parse_capture(data, str(path))


def _check_file_start(data: bytes, name: str) -> None:
    if len(data) < FILE_START.size or not data.startswith(MAGIC):
        raise CaptureError(f"{name} is no capture: it does not begin with {MAGIC.decode()}")
    version = FILE_START.unpack_from(data)[1]
    if version != VERSION:
        raise CaptureError(f"{name} is a capture of version {version}: version {VERSION} is read here")


def _read_blocks(data: bytes) -> Iterator[tuple[int, bytes]]:
    """Yields the position and the packed bytes of each block; raises _BlockError at one that is cut or damaged."""
    at = FILE_START.size
    while at < len(data):
        if at + BLOCK_START.size > len(data):
            raise _BlockError("it was cut off in the middle of a block")
        length, checksum = BLOCK_START.unpack_from(data, at)
        start = at + BLOCK_START.size
        packed = data[start : start + length]
        complete = len(packed) == length
        if length > MAX_BLOCK_BYTES or (complete and xxhash.xxh32_intdigest(packed) != checksum):
            raise _BlockError(f"the block at byte {at} is damaged")
        if not complete:
            raise _BlockError("it was cut off in the middle of a block")
        yield at, packed
        at = start + length
