"""Reader of captures, up to the first block that is cut off or damaged.

The blocks after a damaged one are ignored as well, since missing requests in between would look like a gap in the load.
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
    """A block is unreadable, which ends the reading; the message becomes `Capture.incomplete_reason`."""


@dataclass(slots=True)
class Capture:
    """The readable content of one capture file.

    Attributes:
        gateway: Name of the gateway that wrote the capture.
        wall_ms: Start of the capture by the wall clock, in milliseconds since 1970.
        clock_ms: Start of the capture by the gateway's monotonic clock, in milliseconds.
        requests: The requests in the order in which they finished.
        incomplete_reason: Why the reading ended before the end of the file; None if all of it was read.
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
        name: The capture's name for error messages.

    Raises:
        CaptureError: The capture's header is unreadable.
    """
    _check_file_start(data, name)
    capture: Capture | None = None
    incomplete_reason: str | None = None
    try:
        for offset, compressed in _read_blocks(data):
            try:
                value = zlib.decompress(compressed)
                if capture is None:
                    header = _decode_header(value)
                    capture = Capture(header.gateway, header.wall_ms, header.clock_ms)
                else:
                    capture.requests += _decode_requests(value)
            except (zlib.error, msgspec.DecodeError) as error:
                raise _BlockError(f"the block at byte {offset} can't be read ({error})") from None
    except _BlockError as error:
        incomplete_reason = str(error)
    if capture is None:
        raise CaptureError(f"{name} has no header: {incomplete_reason or 'it is empty'}")
    capture.incomplete_reason = incomplete_reason
    return capture


def read_capture(path: str | Path) -> Capture:
    """Reads a capture from a file.

    Raises:
        CaptureError: The file, or its header, can't be read.
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
        raise CaptureError(f"{name} is a capture of version {version}: version {VERSION} is supported")


def _read_blocks(data: bytes) -> Iterator[tuple[int, bytes]]:
    """Yields the offset and the compressed bytes of each block.

    Raises:
        _BlockError: A block is cut off or damaged.
    """
    offset = FILE_START.size
    while offset < len(data):
        if offset + BLOCK_START.size > len(data):
            raise _BlockError("it was cut off in the middle of a block")
        length, checksum = BLOCK_START.unpack_from(data, offset)
        start = offset + BLOCK_START.size
        compressed = data[start : start + length]
        is_complete = len(compressed) == length
        if length > MAX_BLOCK_BYTES or (is_complete and xxhash.xxh32_intdigest(compressed) != checksum):
            raise _BlockError(f"the block at byte {offset} is damaged")
        if not is_complete:
            raise _BlockError("it was cut off in the middle of a block")
        yield offset, compressed
        offset = start + length
