"""Writer of captures."""

from __future__ import annotations

import os
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import xxhash

from pebblehinge.capture.format import BLOCK_START, FILE_START, MAGIC, REQUESTS_PER_BLOCK, VERSION, CaptureHeader

COMPRESSION_LEVEL = 6
FILE_MODE = 0o644

_encode = msgspec.msgpack.Encoder().encode


class CaptureWriter:
    """Writes finished requests to a sink in blocks. A failure of the sink ends the capture, but not the gateway.

    Args:
        sink: Writes the next bytes of the file; raises OSError on failure.
        gateway: Name of the gateway.
        wall_ms: Present time of the wall clock, in milliseconds since 1970.
        clock_ms: Present time of the gateway's monotonic clock, in milliseconds.
        on_failure: Called once with the error of the sink.
    """

    def __init__(
        self,
        sink: Callable[[bytes], None],
        gateway: str,
        wall_ms: float,
        clock_ms: float,
        on_failure: Callable[[OSError], None] | None = None,
    ) -> None:
        self.sink = sink
        self.on_failure = on_failure
        self.start_ms = clock_ms
        self.rows: list[tuple[Any, ...]] = []
        self.is_open = True
        self._write(FILE_START.pack(MAGIC, VERSION) + pack_block(CaptureHeader(gateway, wall_ms, clock_ms)))

    def add(self, arrived_ms: float, *values: Any) -> None:
        """Adds a finished request.

        Args:
            arrived_ms: Arrival time by the gateway's monotonic clock, in milliseconds.
            *values: The other fields of `CapturedRequest` in order. They are stored as a plain tuple because this runs
                for every request of the gateway.
        """
        if not self.is_open:
            return
        self.rows.append((round(arrived_ms - self.start_ms, 3), *values))
        if len(self.rows) >= REQUESTS_PER_BLOCK:
            self.flush()

    def flush(self) -> None:
        """Writes the requests added since the last block as a new block."""
        if self.rows and self.is_open:
            rows = self.rows
            self.rows = []
            self._write(pack_block(rows))

    def _write(self, data: bytes) -> None:
        try:
            self.sink(data)
        except OSError as error:
            self.is_open = False
            self.rows.clear()
            if self.on_failure is not None:
                self.on_failure(error)


def pack_block(value: Any) -> bytes:
    """Encodes a value as a block of the file."""
    compressed = zlib.compress(_encode(value), COMPRESSION_LEVEL)
    return BLOCK_START.pack(len(compressed), xxhash.xxh32_intdigest(compressed)) + compressed


def open_sink(path: str | Path) -> Callable[[bytes], None]:
    """Returns a sink that writes to a file, which is created or truncated.

    Raises:
        OSError: The file can't be opened.
    """
    fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, FILE_MODE)

    def write(data: bytes) -> None:
        while data:
            data = data[os.write(fd, data) :]

    return write
